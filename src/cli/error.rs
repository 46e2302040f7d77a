//! Errors of commands.

use std::net::SocketAddr;

use thiserror::Error;

use super::exit_status::ExitStatus;
use crate::policy::PolicyError;
use crate::settings::SettingsError;
use crate::transport::client::ClientError;

/// An error that ends a command. Its text is printed as one line to standard error, after the
/// program's name.
#[derive(Debug, Error)]
pub(super) enum CliError {
    /// Neither `--config` nor a subcommand was given.
    #[error("--config FILE or a command is needed; see --help")]
    NoCommand,
    /// The settings file cannot be read or is invalid.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The policy file cannot be read or is invalid.
    #[error(transparent)]
    Policy(#[from] PolicyError),
    /// The asynchronous runtime could not be built.
    #[error("cannot start the asynchronous runtime: {0}")]
    Runtime(#[source] std::io::Error),
    /// The address for workers and users (`serve_on`) cannot be bound.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// The address that could not be bound.
        address: SocketAddr,
        /// The operating system's error.
        source: std::io::Error,
    },
    /// The controller actor ended, which happens only if the election task has ended.
    #[error("the controller stopped because its election task ended")]
    ControllerEnded,
    /// The state service gave no usable response.
    #[error("the state service gave no usable response")]
    StateServiceUnavailable,
    /// A repair was refused because it needs the leader's lease, which a controller holds.
    #[error("{leader} leads; stop the controllers before a repair")]
    ControllerLeads {
        /// The name of the controller that leads.
        leader: String,
    },
    /// The command's output could not be written.
    #[error("cannot write the output: {0}")]
    Output(#[source] std::io::Error),
    /// The controller did not answer a request for its metrics.
    #[error("{address}: {source}")]
    NoResponse {
        /// The controller's address.
        address: SocketAddr,
        /// Why the request failed.
        source: ClientError,
    },
    /// The controller's response to a request for its metrics contains none.
    #[error("{address}: no metrics in the response (HTTP status {status})")]
    NoMetrics {
        /// The controller's address.
        address: SocketAddr,
        /// The HTTP status of the response.
        status: u16,
    },
}

impl CliError {
    /// The exit code, from which scripts can tell whether to correct the input or to retry.
    pub(super) fn exit_status(&self) -> ExitStatus {
        match self {
            CliError::NoCommand | CliError::Settings(_) | CliError::Policy(_) => ExitStatus::BadInput,
            CliError::Runtime(_)
            | CliError::Listen { .. }
            | CliError::ControllerEnded
            | CliError::StateServiceUnavailable
            | CliError::ControllerLeads { .. }
            | CliError::Output(_)
            | CliError::NoResponse { .. }
            | CliError::NoMetrics { .. } => ExitStatus::Failure,
        }
    }
}
