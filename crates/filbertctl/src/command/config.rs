//! `filbertctl config`.

use std::path::{Path, PathBuf};

use bpaf::Bpaf;
use filbertbay_state::audit::{self, Outcome};
use filbertbay_state::check;
use filbertbay_state::document::Document;
use filbertbay_state::patch::Change;
use filbertbay_state::version::Version;
use serde_json::{Value, json};

use crate::exit::{Code, Failure};
use crate::locate::{self, Mark};
use crate::operator::{self, Labels, Operator, Target, labels, target};
use crate::output;

/// File name that stands for standard input.
const STDIN: &str = "-";

/// What to do with the configuration.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(options))]
pub enum Options {
    /// Prints the present version and its document.
    #[bpaf(command)]
    Show(#[bpaf(external(target))] Target),
    /// Lists what would change if a document replaced the present one.
    #[bpaf(command)]
    Diff {
        #[bpaf(external)]
        target: Target,
        /// Document to compare with; "-" reads standard input.
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Checks a document without submitting it.
    #[bpaf(command)]
    Check {
        /// Print JSON.
        #[bpaf(long)]
        json: bool,
        /// Document to check; "-" reads standard input.
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Submits a patch: an object is a merge patch (RFC 7396), an array holds operations (RFC 6902).
    #[bpaf(
        command,
        footer("Example: filbertctl config patch --against 7 --reason 'double rate' change.json")
    )]
    Patch {
        #[bpaf(external)]
        target: Target,
        #[bpaf(external)]
        labels: Labels,
        /// Patch to submit; "-" reads standard input.
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Lists the versions and the patches that made them.
    #[bpaf(command)]
    History(#[bpaf(external(target))] Target),
    /// Deletes what submissions that were cut short have left in the platform.
    #[bpaf(command)]
    Collect(#[bpaf(external(target))] Target),
}

/// Runs `filbertctl config`.
pub async fn run(options: Options) -> Result<(), Failure> {
    match options {
        Options::Show(target) => show(&target).await,
        Options::Diff { target, file } => diff(&target, &file).await,
        Options::Check { json, file } => check_file(json, &file),
        Options::Patch {
            target,
            labels,
            file,
        } => submit(&target, &labels, &file).await,
        Options::History(target) => history(&target).await,
        Options::Collect(target) => collect(&target).await,
    }
}

async fn show(target: &Target) -> Result<(), Failure> {
    let present = Operator::open(target)?.load().await?;
    let value = json!({"version": present.version, "document": present.document});
    output::print(target.json, &value, |value| {
        let document = serde_json::to_string_pretty(&value["document"]).unwrap_or_default();
        format!("version {}\n{document}", present.version)
    })
}

async fn diff(target: &Target, file: &Path) -> Result<(), Failure> {
    let text = read(file)?;
    let after = parse_document(file, &text)?;
    let present = Operator::open(target)?.load().await?;
    let (changes, omitted) = audit::diff(&to_value(&present.document)?, &to_value(&after)?);
    let value = json!({"version": present.version, "changes": changes, "omitted": omitted});
    output::print(target.json, &value, |_| {
        let lines: Vec<_> = changes.iter().map(operator::show_change).collect();
        let more = format!("and {omitted} more");
        let more = Some(more).filter(|_| omitted > 0);
        let heading = format!("against version {}", present.version);
        let lines = std::iter::once(heading).chain(lines).chain(more);
        lines.collect::<Vec<_>>().join("\n")
    })
}

fn check_file(json: bool, file: &Path) -> Result<(), Failure> {
    let text = read(file)?;
    let document = parse_document(file, &text)?;
    let counts = json!({
        "data_centres": document.data_centres.len(),
        "groups": document.groups.len(),
        "routes": document.routes.len(),
        "workspaces": document.workspaces.len(),
    });
    output::print(json, &counts, |counts| format!("no problems: {counts}"))
}

async fn submit(target: &Target, labels: &Labels, file: &Path) -> Result<(), Failure> {
    let missing = |option| Failure::new(Code::Input, format!("give {option} with a patch"));
    let against = labels.against.ok_or_else(|| missing("--against VERSION"))?;
    let reason = labels
        .reason
        .as_deref()
        .ok_or_else(|| missing("--reason TEXT"))?;
    let text = read(file)?;
    let change = parse_change(file, &text)?;
    let operator = Operator::open(target)?;
    operator
        .change(labels, Version(against), change, reason)
        .await
}

async fn history(target: &Target) -> Result<(), Failure> {
    let mut entries = Operator::open(target)?.audit().await?;
    entries.retain(|entry| entry.outcome == Outcome::Applied);
    output::print(target.json, &entries, |entries| {
        let lines: Vec<_> = entries.iter().map(operator::show_entry).collect();
        lines.join("\n")
    })
}

async fn collect(target: &Target) -> Result<(), Failure> {
    let deleted = Operator::open(target)?.collect().await?;
    let value = json!({"deleted_parts": deleted});
    output::print(target.json, &value, |_| format!("{deleted} parts deleted"))
}

fn read(file: &Path) -> Result<String, Failure> {
    let text = if file == Path::new(STDIN) {
        std::io::read_to_string(std::io::stdin())
    } else {
        std::fs::read_to_string(file)
    };
    text.map_err(|error| Failure::new(Code::Input, format!("{}: {error}", file.display())))
}

fn parse_change(file: &Path, text: &str) -> Result<Change, Failure> {
    let value: Value = serde_json::from_str(text).map_err(|error| broken(file, text, &error))?;
    if value.is_object() {
        return Ok(Change::Merge(value));
    }
    let operations = serde_json::from_str(text).map_err(|error| broken(file, text, &error))?;
    Ok(Change::Operations(operations))
}

fn parse_document(file: &Path, text: &str) -> Result<Document, Failure> {
    let document: Document =
        serde_json::from_str(text).map_err(|error| broken(file, text, &error))?;
    let problems = check::check(&document);
    if problems.is_empty() {
        return Ok(document);
    }
    let marks = problems.iter().map(|problem| Mark {
        span: locate::find_pointer(text, &problem.pointer),
        message: problem.to_string(),
    });
    let message = format!("{} problems", problems.len());
    let name = file.display().to_string();
    let report = locate::report(&message, &name, text, marks.collect());
    Err(Failure::from_report(Code::Input, report))
}

fn broken(file: &Path, text: &str, error: &serde_json::Error) -> Failure {
    let mark = Mark {
        span: locate::find_error(text, error),
        message: error.to_string(),
    };
    let name = file.display().to_string();
    let report = locate::report("the file can't be understood", &name, text, vec![mark]);
    Failure::from_report(Code::Input, report)
}

fn to_value(document: &Document) -> Result<Value, Failure> {
    serde_json::to_value(document).map_err(|error| Failure::new(Code::Failed, error))
}
