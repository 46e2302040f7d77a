//! Why a command could not be carried out.

use std::net::SocketAddr;

use thiserror::Error;

use super::exit_status::ExitStatus;
use crate::policy::PolicyError;
use crate::settings::SettingsError;
use crate::transport::client::ClientError;

/// An error that ends a command. Its text is the one line that operators see on standard
/// error, behind the program's name.
#[derive(Debug, Error)]
pub(super) enum CliError {
    /// Neither `--config` nor a subcommand was given.
    #[error("--config FILE or a command is needed; see --help")]
    NoCommand,
    /// The settings file cannot be read or used.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The policy file cannot be read or used.
    #[error(transparent)]
    Policy(#[from] PolicyError),
    /// The asynchronous runtime could not be built.
    #[error("cannot start: {0}")]
    Runtime(#[source] std::io::Error),
    /// The address for workers and users (`serve_on`) cannot be bound.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// The address that was to be bound.
        address: SocketAddr,
        /// The operating system's reason.
        source: std::io::Error,
    },
    /// The controller actor ended, which it does only if the election task has.
    #[error("the controller's own parts have ended")]
    ControllerEnded,
    /// The state service gave no usable answer.
    #[error("the state service does not answer")]
    StateServiceUnavailable,
    /// A repair was refused, as it needs the leader's lease, and a controller holds it.
    #[error("{leader} leads; stop the controllers before a repair")]
    ControllerLeads {
        /// The name of the controller that leads.
        leader: String,
    },
    /// The command's output could not be written.
    #[error("{0}")]
    Output(#[source] std::io::Error),
    /// The controller did not answer a request for its metrics.
    #[error("{address}: {source}")]
    NoAnswer {
        /// The address that was asked.
        address: SocketAddr,
        /// How the request failed.
        source: ClientError,
    },
    /// The controller answered a request for its metrics with something else.
    #[error("{address}: no figures in the answer (status {status})")]
    NoMetrics {
        /// The address that was asked.
        address: SocketAddr,
        /// The HTTP status of its answer.
        status: u16,
    },
}

impl CliError {
    /// The exit code that tells scripts whether to mend the input or to try again.
    pub(super) fn exit_status(&self) -> ExitStatus {
        match self {
            CliError::NoCommand | CliError::Settings(_) | CliError::Policy(_) => ExitStatus::BadInput,
            CliError::Runtime(_)
            | CliError::Listen { .. }
            | CliError::ControllerEnded
            | CliError::StateServiceUnavailable
            | CliError::ControllerLeads { .. }
            | CliError::Output(_)
            | CliError::NoAnswer { .. }
            | CliError::NoMetrics { .. } => ExitStatus::Failure,
        }
    }
}
