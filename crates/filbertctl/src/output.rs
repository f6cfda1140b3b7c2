//! Output of the commands on standard output: text, or one JSON value with `--json`.

use serde::Serialize;

use crate::exit::{Code, Failure};

/// Prints `value` as pretty JSON if `json` is set, else the text that `text` returns for it.
pub fn print<T, F>(json: bool, value: &T, text: F) -> Result<(), Failure>
where
    T: Serialize,
    F: FnOnce(&T) -> String,
{
    let line = if json {
        let serialized = serde_json::to_string_pretty(value);
        serialized.map_err(|error| Failure::new(Code::Failed, error))?
    } else {
        text(value)
    };
    println!("{}", line.trim_end());
    Ok(())
}
