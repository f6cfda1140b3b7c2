//! `filbertctl explain`: the log records of one statement from all instances, ordered by time.
//!
//! Each record is preceded by the latest changes that its instance logged to its own state, such as
//! its configuration or the primary that it uses.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

use bpaf::Bpaf;
use serde_json::{Map, Value};

use crate::exit::{Code, Failure};

/// Messages that log the state of an instance, with the field that identifies its subject.
///
/// An empty field means that an instance has one such state; a later record replaces it.
const STATE_MESSAGES: [(&str, &str); 9] = [
    ("configuration in force", ""),
    ("record of a primary changed", "service"),
    ("record of shares changed", ""),
    ("store lost", ""),
    ("store reached", ""),
    ("primary lease valid", ""),
    ("primary lease ended", ""),
    ("release of a primary requested", "service"),
    ("readiness changed", ""),
];

/// Fields that are printed at the start of the line already, or omitted as uninformative.
const OMITTED_FIELDS: [&str; 5] = ["msg", "ts", "level", "instance", "data_centre"];

/// Shows the timeline of a statement from the logs of all instances.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(options))]
pub struct Options {
    /// Id of the statement.
    #[bpaf(positional("ID"))]
    id: String,
    /// Log of an instance, with one JSON object on each line.
    #[bpaf(positional("LOG"), some("name at least one log"))]
    logs: Vec<PathBuf>,
}

type Record = Map<String, Value>;

/// Runs `filbertctl explain`.
pub fn run(options: &Options) -> Result<(), Failure> {
    let mut records = Vec::new();
    for path in &options.logs {
        records.extend(read(path)?);
    }
    let lines = timeline(&options.id, records);
    if lines.is_empty() {
        let message = format!("no log record has the id {:?}", options.id);
        return Err(Failure::new(Code::Failed, message));
    }
    for line in lines {
        println!("{line}");
    }
    Ok(())
}

fn read(path: &Path) -> Result<Vec<Record>, Failure> {
    let text = std::fs::read_to_string(path).map_err(|error| {
        let message = format!("log {} can't be read: {error}", path.display());
        Failure::new(Code::Input, message)
    })?;
    // Text before the object, such as a timestamp added by a log collector, is skipped, and so
    // are lines without a valid object.
    let objects = text
        .lines()
        .filter_map(|line| line.find('{').map(|at| &line[at..]));
    Ok(objects
        .filter_map(|object| serde_json::from_str(object).ok())
        .collect())
}

/// Returns the lines of a statement by time, each after the state records of its instance that
/// precede it and are not printed yet.
fn timeline(id: &str, mut records: Vec<Record>) -> Vec<String> {
    records.sort_by(|left, right| str_field(left, "ts").cmp(str_field(right, "ts")));
    let mut states: BTreeMap<(String, &str, String), Record> = BTreeMap::new();
    let mut lines = Vec::new();
    for record in records {
        let message = str_field(&record, "msg").to_owned();
        if str_field(&record, "id") == id {
            let instance = str_field(&record, "instance");
            let preceding = states.extract_if(.., |(name, _, _), _| name == instance);
            let mut preceding: Vec<Record> = preceding.map(|(_, record)| record).collect();
            preceding.sort_by(|left, right| str_field(left, "ts").cmp(str_field(right, "ts")));
            lines.extend(
                preceding
                    .iter()
                    .map(|state| format!("  {}", format_record(state))),
            );
            lines.push(format_record(&record));
        } else if let Some((kind, field)) = STATE_MESSAGES.iter().find(|(kind, _)| *kind == message)
        {
            let instance = str_field(&record, "instance").to_owned();
            let subject = str_field(&record, field).to_owned();
            states.insert((instance, *kind, subject), record);
        }
    }
    lines
}

fn str_field<'a>(record: &'a Record, field: &str) -> &'a str {
    record
        .get(field)
        .and_then(Value::as_str)
        .unwrap_or_default()
}

fn format_record(record: &Record) -> String {
    let fields = record.iter();
    let fields =
        fields.filter(|(name, value)| !OMITTED_FIELDS.contains(&name.as_str()) && !value.is_null());
    let fields: Vec<String> = fields
        .map(|(name, value)| format!("{name}={value}"))
        .collect();
    let (at, instance) = (str_field(record, "ts"), str_field(record, "instance"));
    format!(
        "{at} {instance} {} {}",
        str_field(record, "msg"),
        fields.join(" ")
    )
}
