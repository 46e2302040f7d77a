use std::process::ExitCode;

fn main() -> ExitCode {
    shedtally::cli::main(std::env::args_os())
}
