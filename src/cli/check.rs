//! `check`: validates settings and policy without starting anything.

use std::path::Path;

use super::error::CliError;
use super::exit_status::ExitStatus;
use super::load_config;
use crate::settings::{KvLimits, KvSettings};

/// Reads and validates the settings and, if given, the policy. Prints that they are valid,
/// and the limits of the state service.
///
/// # Errors
///
/// [`CliError::Settings`] or [`CliError::Policy`], which names the file and what is wrong in
/// it.
pub(super) fn check(file: &Path, policy: Option<&Path>) -> Result<ExitStatus, CliError> {
    let config = load_config(file, policy)?;
    println!("{}: ok", file.display());
    println!("{}", describe_limits(&config.settings.cluster.kv));
    if let Some(policy) = policy {
        println!("{}: ok", policy.display());
    }
    Ok(ExitStatus::Success)
}

/// One line with the state service's present limits and, if there are any, the limits
/// announced for later.
pub(super) fn describe_limits(kv: &KvSettings) -> String {
    let describe = |limits: KvLimits| {
        format!(
            "{} requests and {} changes a second, values up to {} KiB, {} changes a transaction",
            limits.rps, limits.write_rps, limits.value_kb, limits.txn_ops
        )
    };
    let present = describe(kv.initial());
    match kv.next {
        Some(_) => format!("state service: {present}; later: {}", describe(kv.announced())),
        None => format!("state service: {present}"),
    }
}
