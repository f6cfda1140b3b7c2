//! Operators' tool of filbertbay.
//!
//! Each command has a file in `command`; exit codes are listed in `exit`.

mod command;
mod exit;
mod fleet;
mod locate;
mod operator;
mod output;

use std::process::ExitCode;

use bpaf::ParseFailure;

use crate::exit::Code;

/// Columns that help and errors of the command line are wrapped at.
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

/// Prints the help that was asked for, or what is wrong with the command line.
fn print_parse_failure(failure: &ParseFailure) -> ExitCode {
    failure.print_message(HELP_WIDTH);
    match failure {
        ParseFailure::Stderr(_) => ExitCode::from(Code::Input as u8),
        ParseFailure::Stdout(..) | ParseFailure::Completion(_) => ExitCode::SUCCESS,
    }
}
