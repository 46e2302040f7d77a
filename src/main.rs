//! The `shedtally` program. Its code is in the library, where tests can use it; see
//! `shedtally::cli` for commands and exit codes.

use std::process::ExitCode;

fn main() -> ExitCode {
    shedtally::cli::main(std::env::args_os())
}
