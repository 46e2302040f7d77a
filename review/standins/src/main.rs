//! Stand-ins of users, workers, cloud and state service, and the scenarios of the review's cases.
//!
//! `review-standins SCENARIO FOLDER` starts the controllers as the deploy file says, plays the scenario,
//! writes `record.txt` into the folder and exits with 1 if the rule was broken, 0 if it held, and 2 if
//! the scenario could not run. With `TROUBLE=0` in the environment it leaves the disruption out.

#![allow(dead_code, reason = "each scenario uses a part of the stand-ins")]

mod cloud;
mod controllers;
#[path = "../../../tests/soak/history.rs"]
mod history;
#[path = "../../../tests/soak/http.rs"]
mod http;
#[path = "../../../tests/soak/kv_server.rs"]
mod kv_server;
mod record;
mod scenarios;
mod users;
mod workers;

use std::path::Path;
use std::process::ExitCode;

/// The outcome of a scenario that could be played.
pub enum Verdict {
    /// The rule held.
    Held,
    /// The rule was broken.
    Broken,
}

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (Some(scenario), Some(folder)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: review-standins SCENARIO FOLDER");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |text| text != "0");
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("no runtime: {error}");
            return ExitCode::from(2);
        }
    };
    let outcome = runtime.block_on(scenarios::play(&scenario, Path::new(&folder), trouble));
    match outcome {
        Ok(Verdict::Held) => ExitCode::SUCCESS,
        Ok(Verdict::Broken) => ExitCode::from(1),
        Err(error) => {
            eprintln!("the scenario could not run: {error}");
            ExitCode::from(2)
        }
    }
}
