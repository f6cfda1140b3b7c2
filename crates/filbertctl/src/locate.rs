//! Places in a JSON text: from a JSON pointer, or a line and column, to a span of bytes.

use std::collections::BTreeMap;

use miette::{LabeledSpan, MietteDiagnostic, NamedSource, Report, SourceSpan};
use serde_json::value::RawValue;

/// Error in a text, with the place that it points to.
#[derive(Clone, Debug)]
pub struct Annotation {
    /// Byte at which the place starts, and its length.
    pub span: (usize, usize),
    /// What is wrong there.
    pub message: String,
}

/// Returns the span of the value that a JSON pointer leads to, or of the closest one above it.
pub fn pointer_span(text: &str, pointer: &str) -> (usize, usize) {
    let mut value = text.trim();
    for part in pointer.split('/').skip(1) {
        let name = part.replace("~1", "/").replace("~0", "~");
        match child_value(value, &name) {
            Some(next) => value = next,
            None => break,
        }
    }
    let start = value.as_ptr() as usize - text.as_ptr() as usize;
    (start, value.len())
}

fn child_value<'a>(value: &'a str, name: &str) -> Option<&'a str> {
    if let Ok(fields) = serde_json::from_str::<BTreeMap<String, &RawValue>>(value) {
        return fields.get(name).map(|raw| raw.get());
    }
    let items: Vec<&RawValue> = serde_json::from_str(value).ok()?;
    let index: usize = name.parse().ok()?;
    items.get(index).map(|raw| raw.get())
}

/// Returns the span of the byte that a parser's error points to.
pub fn error_span(text: &str, error: &serde_json::Error) -> (usize, usize) {
    let preceding = text
        .split_inclusive('\n')
        .take(error.line().saturating_sub(1));
    let start = preceding.map(str::len).sum::<usize>() + error.column().saturating_sub(1);
    (start.min(text.len().saturating_sub(1)), 1)
}

/// Returns a report that shows the marks in the text.
pub fn annotated_report(
    message: &str,
    name: &str,
    text: &str,
    annotations: Vec<Annotation>,
) -> Report {
    let labels = annotations.into_iter().map(|annotation| {
        let span = SourceSpan::from(annotation.span);
        LabeledSpan::new_with_span(Some(annotation.message), span)
    });
    let diagnostic = MietteDiagnostic::new(message).with_labels(labels);
    Report::new(diagnostic).with_source_code(NamedSource::new(name, text.to_owned()))
}
