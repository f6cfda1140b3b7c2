//! Byte spans in a JSON text, found by a JSON pointer or a parser error, for annotated reports.
//!
//! `config check` and `config patch` use them to show problems in the source text.

use std::collections::BTreeMap;

use miette::{LabeledSpan, MietteDiagnostic, NamedSource, Report, SourceSpan};
use serde_json::value::RawValue;

/// Message attached to a span of a text.
#[derive(Clone, Debug)]
pub struct Annotation {
    /// Byte offset and length in bytes.
    pub span: (usize, usize),
    /// Description of the problem at the span.
    pub message: String,
}

/// Returns the span of the value at a JSON pointer, or of its closest ancestor in the text.
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

/// Returns the span of the byte at the line and column of a parser error.
pub fn error_span(text: &str, error: &serde_json::Error) -> (usize, usize) {
    let preceding = text
        .split_inclusive('\n')
        .take(error.line().saturating_sub(1));
    let start = preceding.map(str::len).sum::<usize>() + error.column().saturating_sub(1);
    (start.min(text.len().saturating_sub(1)), 1)
}

/// Returns a report that shows the annotations in the text, which is called `name`.
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
