//! `filbertctl config`.

use std::path::PathBuf;

use bpaf::Bpaf;
use filbertbay_state::check;
use filbertbay_state::document::Document;

use crate::exit::{Code, Failure};
use crate::output;

/// Options of `filbertctl config`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(options))]
pub enum Options {
    /// Checks a configuration document without submitting it.
    #[bpaf(command)]
    Check {
        /// Print JSON.
        json: bool,
        /// Document to check.
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
}

/// Runs `filbertctl config`.
pub async fn run(options: Options) -> Result<(), Failure> {
    match options {
        Options::Check { json, file } => check_file(json, &file).await,
    }
}

async fn check_file(json: bool, file: &PathBuf) -> Result<(), Failure> {
    let input = |error: std::io::Error| Failure::new(Code::Input, error);
    let text = tokio::fs::read_to_string(file).await.map_err(input)?;
    let document: Document =
        serde_json::from_str(&text).map_err(|error| Failure::new(Code::Input, error))?;
    let problems: Vec<_> = check::check(&document)
        .iter()
        .map(ToString::to_string)
        .collect();
    output::print(json, &problems, |problems| {
        if problems.is_empty() {
            return "no problems".to_owned();
        }
        problems.join("\n")
    })?;
    if problems.is_empty() {
        return Ok(());
    }
    Err(Failure::new(
        Code::Input,
        format!("{} problems", problems.len()),
    ))
}
