//! The scenarios of the cases.

mod circle;
mod cluster;
mod fan_in;
mod mistake;
mod pipeline;
mod release;

use std::path::Path;

use crate::Verdict;

/// Plays a scenario; `trouble`: with its disruption.
pub async fn play(name: &str, folder: &Path, trouble: bool) -> std::io::Result<Verdict> {
    match name {
        "fan-in" => fan_in::play(folder, trouble).await,
        "mistake" => mistake::play(folder, trouble).await,
        "circle" => circle::play(folder, trouble).await,
        "release" => release::play(folder, trouble).await,
        "pipeline" => pipeline::play(folder, trouble).await,
        _ => Err(std::io::Error::other(format!("there is no scenario {name}"))),
    }
}
