//! The command line: arguments, dispatch to one file a subcommand, and exit codes.
//!
//! | command | file | what it does |
//! | --- | --- | --- |
//! | `--config FILE` | `serve` | runs a controller until it is killed |
//! | `check` | `check` | validates settings and policy |
//! | `status` | `status` | prints the metrics of a running controller |
//! | `audit` | `audit` | compares stored records with their summary rows, and repairs them |
//!
//! A subcommand returns an `ExitStatus`, or a `CliError` that is printed as one line on
//! standard error. It never ends the process itself.

mod audit;
mod check;
mod error;
mod exit_status;
mod serve;
mod status;

use std::ffi::OsString;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{Parser, Subcommand};

use crate::coordination::config::Config;
use crate::policy::Tuning;
use crate::settings::Settings;
use error::CliError;
use exit_status::ExitStatus;

/// A cluster scheduler. Run with --config, it is one of several controllers
/// and goes on until it is killed.
#[derive(Debug, Parser)]
#[command(name = "shedtally", version, about, args_conflicts_with_subcommands = true)]
struct Arguments {
    /// Run as a controller with this settings file
    #[arg(long, value_name = "FILE")]
    config: Option<PathBuf>,
    /// Use this policy instead of the default one
    #[arg(long, value_name = "FILE", requires = "config")]
    policy: Option<PathBuf>,
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Check a settings file, and a policy, and say what is wrong with them
    Check {
        /// The settings file
        file: PathBuf,
        /// A policy to check against it
        #[arg(long, value_name = "FILE")]
        policy: Option<PathBuf>,
    },
    /// Compare all records and rows; exit code 0 only if they are consistent
    Audit {
        /// The settings file of a controller
        file: PathBuf,
        /// Repair what can be derived soundly; refused while a controller leads
        #[arg(long)]
        repair: bool,
    },
    /// Print the figures of the controller that these settings are for
    Status {
        /// The settings file of the controller
        file: PathBuf,
    },
}

/// Runs the program with these arguments, of which the first is its own name.
///
/// Prints errors on standard error. With `--config` it returns only if the controller
/// could not start or one of its actors ended.
pub fn main(arguments: impl IntoIterator<Item = OsString>) -> ExitCode {
    let status = match Arguments::try_parse_from(arguments) {
        Ok(arguments) => dispatch(arguments).unwrap_or_else(|error| {
            eprintln!("shedtally: {error}");
            error.exit_status()
        }),
        Err(error) => print_usage(&error),
    };
    status.into()
}

/// Prints what clap made of the arguments. Help and version count as its errors too, but go
/// to standard output.
fn print_usage(error: &clap::Error) -> ExitStatus {
    let _ = error.print();
    if error.use_stderr() { ExitStatus::BadInput } else { ExitStatus::Success }
}

/// Carries out the command that the arguments name.
fn dispatch(arguments: Arguments) -> Result<ExitStatus, CliError> {
    match (arguments.command, arguments.config) {
        (Some(Command::Check { file, policy }), _) => check::check(&file, policy.as_deref()),
        (Some(Command::Audit { file, repair }), _) => {
            let config = load_config(&file, None)?;
            block_on(audit::audit(config, repair, &mut std::io::stdout()))
        }
        (Some(Command::Status { file }), _) => {
            let config = load_config(&file, None)?;
            block_on(status::status(config.settings))
        }
        (None, Some(file)) => {
            let config = load_config(&file, arguments.policy.as_deref())?;
            serve::start_logging();
            block_on(serve::serve(config))
        }
        (None, None) => Err(CliError::NoCommand),
    }
}

/// Reads and validates settings, and the policy against them; without a policy file the
/// default policy holds.
fn load_config(file: &Path, policy: Option<&Path>) -> Result<Config, CliError> {
    let settings = Settings::load(file)?;
    let tuning = Tuning::load(&settings.cluster, policy)?;
    Ok(Config { settings, tuning })
}

/// Runs a command to its end on a single-threaded runtime. Tasks that it has spawned are
/// dropped when it ends.
fn block_on(command: impl Future<Output = Result<ExitStatus, CliError>>) -> Result<ExitStatus, CliError> {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(CliError::Runtime)?;
    runtime.block_on(command)
}

#[cfg(test)]
mod tests;
