//! The command line: argument parsing, dispatch to the subcommands (one file each), and exit
//! codes.
//!
//! | command | file | action |
//! | --- | --- | --- |
//! | `--config FILE` | `serve` | runs a controller until the process is killed |
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

/// A cluster scheduler. With --config, runs as one of several controllers until
/// it is killed.
#[derive(Debug, Parser)]
#[command(name = "shedtally", version, about, args_conflicts_with_subcommands = true)]
struct Arguments {
    /// Run a controller with this settings file
    #[arg(long, value_name = "FILE")]
    config: Option<PathBuf>,
    /// Policy file; parameters that it does not set keep their default values
    #[arg(long, value_name = "FILE", requires = "config")]
    policy: Option<PathBuf>,
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Validate a settings file and, if given, a policy, and report the first error
    Check {
        /// The settings file
        file: PathBuf,
        /// Policy file to validate against the settings
        #[arg(long, value_name = "FILE")]
        policy: Option<PathBuf>,
    },
    /// Compare all stored records with their rows; exit code 0 only if they are consistent
    Audit {
        /// The settings file of a controller
        file: PathBuf,
        /// Repair inconsistencies whose correct state is certain; refused while a controller leads
        #[arg(long)]
        repair: bool,
    },
    /// Print the metrics of the running controller that uses these settings
    Status {
        /// The settings file of the controller
        file: PathBuf,
    },
}

/// Runs the program. The first argument is the program's name.
///
/// Prints errors to standard error. With `--config`, returns only if the controller cannot
/// start or if its controller actor ends.
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

/// Prints clap's message: a usage error to standard error, or the help or version text, which
/// clap also returns as an error, to standard output.
fn print_usage(error: &clap::Error) -> ExitStatus {
    let _ = error.print();
    if error.use_stderr() { ExitStatus::BadInput } else { ExitStatus::Success }
}

/// Runs the command that the arguments select.
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

/// Reads and validates the settings file, then the policy against these settings. Without a
/// policy file, the default policy applies.
fn load_config(file: &Path, policy: Option<&Path>) -> Result<Config, CliError> {
    let settings = Settings::load(file)?;
    let tuning = Tuning::load(&settings.cluster, policy)?;
    Ok(Config { settings, tuning })
}

/// Runs a command to completion on a single-threaded runtime. Tasks that it spawned are
/// dropped when it returns.
fn block_on(command: impl Future<Output = Result<ExitStatus, CliError>>) -> Result<ExitStatus, CliError> {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(CliError::Runtime)?;
    runtime.block_on(command)
}

#[cfg(test)]
mod tests;
