//! Command-line tool for operators of filbertbay.
//!
//! Each command has a file in `command`; `exit` lists the exit codes.

mod command;
mod exit;
mod fleet;
mod locate;
mod operator;
mod output;

use std::process::ExitCode;

use bpaf::ParseFailure;

use crate::exit::Code;

/// Column at which help and command-line errors are wrapped.
const HELP_WIDTH: usize = 100;

#[tokio::main]
async fn main() -> ExitCode {
    let command = match command::options().run_inner(bpaf::Args::current_args()) {
        Ok(command) => command,
        Err(failure) => return print_parse_failure(&failure),
    };
    match command.run().await {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => failure.print(),
    }
}

/// Prints the requested help or the command-line error, and returns the exit code.
fn print_parse_failure(failure: &ParseFailure) -> ExitCode {
    failure.print_message(HELP_WIDTH);
    match failure {
        ParseFailure::Stderr(_) => ExitCode::from(Code::Input as u8),
        ParseFailure::Stdout(..) | ParseFailure::Completion(_) => ExitCode::SUCCESS,
    }
}
