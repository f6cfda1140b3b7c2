//! What commands print: text for a person or one JSON value.

use serde::Serialize;

use crate::exit::{Code, Failure};

/// Prints a result as JSON, or as the text that `text` makes of it.
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
