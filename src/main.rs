//! The program `shedtally`. All of it is in the library, where tests reach it; see
//! `shedtally::cli` for commands and exit codes.

use std::process::ExitCode;

fn main() -> ExitCode {
    shedtally::cli::main(std::env::args_os())
}
