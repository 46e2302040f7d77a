//! The program's exit codes.

use std::process::ExitCode;

/// The outcome of a command. The numbers are documented in `docs/operations.md`, and
/// operators' scripts rely on them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub(super) enum ExitStatus {
    /// The command succeeded. For `audit`: all records are consistent when it returns.
    Success = 0,
    /// The command failed, or `audit` left inconsistent records unrepaired.
    Failure = 1,
    /// The arguments, the settings file or the policy are invalid; nothing was started.
    BadInput = 2,
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> Self {
        ExitCode::from(status as u8)
    }
}
