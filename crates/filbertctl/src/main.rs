//! Operators' tool of filbertbay.
//!
//! Each command has a file in `command`; exit codes are listed in `exit`.

mod command;
mod exit;
mod output;

use std::process::ExitCode;

#[tokio::main]
async fn main() -> ExitCode {
    let command = command::options().run();
    match command.run().await {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => failure.report(),
    }
}
