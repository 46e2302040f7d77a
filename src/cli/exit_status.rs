//! The program's exit codes.

use std::process::ExitCode;

/// How a command ended. The numbers are documented in `docs/operations.md`, and scripts of
/// operators rely on them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub(super) enum ExitStatus {
    /// The command did what was asked. For `audit`: all records are consistent at its end.
    Success = 0,
    /// The command could not be carried out, or `audit` leaves inconsistent records behind.
    Failure = 1,
    /// The arguments, the settings file or the policy cannot be used; nothing was started.
    BadInput = 2,
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> Self {
        ExitCode::from(status as u8)
    }
}
