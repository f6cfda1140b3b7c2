//! `filbertctl config`: shows, checks and patches the configuration document.

use std::path::{Path, PathBuf};

use bpaf::Bpaf;
use filbertbay_state::audit::{self, Outcome};
use filbertbay_state::check;
use filbertbay_state::document::Document;
use filbertbay_state::patch::Change;
use filbertbay_state::version::Version;
use serde_json::{Value, json};

use crate::exit::{Code, Failure};
use crate::locate::{self, Annotation};
use crate::operator::{self, CommonOptions, ConfigClient, PatchMetadata, common, metadata};
use crate::output;

/// File name that denotes standard input.
const STDIN: &str = "-";

/// Subcommands of `filbertctl config`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(options))]
pub enum Options {
    /// Prints the current version and its document.
    #[bpaf(command)]
    Show(#[bpaf(external(common))] CommonOptions),
    /// Lists the changes between the current document and a file.
    #[bpaf(command)]
    Diff {
        #[bpaf(external)]
        common: CommonOptions,
        /// Document to compare with; "-" reads standard input.
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Checks a document without submitting it.
    #[bpaf(command)]
    Check {
        /// Print the result as JSON.
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
        common: CommonOptions,
        #[bpaf(external)]
        metadata: PatchMetadata,
        /// Patch to submit; "-" reads standard input.
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Lists the versions and the patches that created them.
    #[bpaf(command)]
    History(#[bpaf(external(common))] CommonOptions),
    /// Deletes the parts that interrupted submissions have left on the platform.
    #[bpaf(command)]
    Collect(#[bpaf(external(common))] CommonOptions),
}

/// Runs `filbertctl config`.
pub async fn run(options: Options) -> Result<(), Failure> {
    match options {
        Options::Show(common) => show(&common).await,
        Options::Diff { common, file } => diff(&common, &file).await,
        Options::Check { json, file } => check_file(json, &file),
        Options::Patch {
            common,
            metadata,
            file,
        } => submit(&common, &metadata, &file).await,
        Options::History(common) => history(&common).await,
        Options::Collect(common) => collect(&common).await,
    }
}

async fn show(common: &CommonOptions) -> Result<(), Failure> {
    let current = ConfigClient::new(common)?.load().await?;
    let value = json!({"version": current.version, "document": current.document});
    output::print(common.json, &value, |value| {
        let document = serde_json::to_string_pretty(&value["document"]).unwrap_or_default();
        format!("version {}\n{document}", current.version)
    })
}

async fn diff(common: &CommonOptions, file: &Path) -> Result<(), Failure> {
    let text = read_input(file)?;
    let after = parse_document(file, &text)?;
    let current = ConfigClient::new(common)?.load().await?;
    let (changes, omitted) = audit::diff(&to_value(&current.document)?, &to_value(&after)?);
    let value = json!({"version": current.version, "changes": changes, "omitted": omitted});
    output::print(common.json, &value, |_| {
        let lines: Vec<_> = changes.iter().map(operator::format_change).collect();
        let more = format!("and {omitted} more");
        let more = Some(more).filter(|_| omitted > 0);
        let heading = format!("against version {}", current.version);
        let lines = std::iter::once(heading).chain(lines).chain(more);
        lines.collect::<Vec<_>>().join("\n")
    })
}

fn check_file(json: bool, file: &Path) -> Result<(), Failure> {
    let text = read_input(file)?;
    let document = parse_document(file, &text)?;
    let counts = json!({
        "data_centres": document.data_centres.len(),
        "groups": document.groups.len(),
        "routes": document.routes.len(),
        "workspaces": document.workspaces.len(),
    });
    output::print(json, &counts, |counts| format!("no problems: {counts}"))
}

async fn submit(
    common: &CommonOptions,
    metadata: &PatchMetadata,
    file: &Path,
) -> Result<(), Failure> {
    let missing = |option| Failure::new(Code::Input, format!("a patch needs {option}"));
    let against = metadata
        .against
        .ok_or_else(|| missing("--against VERSION"))?;
    let reason = metadata
        .reason
        .as_deref()
        .ok_or_else(|| missing("--reason TEXT"))?;
    let text = read_input(file)?;
    let change = parse_change(file, &text)?;
    let client = ConfigClient::new(common)?;
    client
        .change(metadata, Version(against), change, reason)
        .await
}

async fn history(common: &CommonOptions) -> Result<(), Failure> {
    let mut entries = ConfigClient::new(common)?.audit().await?;
    entries.retain(|entry| entry.outcome == Outcome::Applied);
    output::print(common.json, &entries, |entries| {
        let lines: Vec<_> = entries.iter().map(operator::format_entry).collect();
        lines.join("\n")
    })
}

async fn collect(common: &CommonOptions) -> Result<(), Failure> {
    let deleted = ConfigClient::new(common)?.collect().await?;
    let value = json!({"deleted_parts": deleted});
    output::print(common.json, &value, |_| format!("{deleted} parts deleted"))
}

fn read_input(file: &Path) -> Result<String, Failure> {
    let text = if file == Path::new(STDIN) {
        std::io::read_to_string(std::io::stdin())
    } else {
        std::fs::read_to_string(file)
    };
    text.map_err(|error| Failure::new(Code::Input, format!("{}: {error}", file.display())))
}

fn parse_change(file: &Path, text: &str) -> Result<Change, Failure> {
    let value: Value =
        serde_json::from_str(text).map_err(|error| syntax_failure(file, text, &error))?;
    if value.is_object() {
        return Ok(Change::Merge(value));
    }
    let operations =
        serde_json::from_str(text).map_err(|error| syntax_failure(file, text, &error))?;
    Ok(Change::Operations(operations))
}

fn parse_document(file: &Path, text: &str) -> Result<Document, Failure> {
    let document: Document =
        serde_json::from_str(text).map_err(|error| syntax_failure(file, text, &error))?;
    let problems = check::check(&document);
    if problems.is_empty() {
        return Ok(document);
    }
    let annotations = problems.iter().map(|problem| Annotation {
        span: locate::pointer_span(text, &problem.pointer),
        message: problem.to_string(),
    });
    let message = format!("{} problems", problems.len());
    let name = file.display().to_string();
    let report = locate::annotated_report(&message, &name, text, annotations.collect());
    Err(Failure::from_report(Code::Input, report))
}

fn syntax_failure(file: &Path, text: &str, error: &serde_json::Error) -> Failure {
    let annotation = Annotation {
        span: locate::error_span(text, error),
        message: error.to_string(),
    };
    let name = file.display().to_string();
    let report =
        locate::annotated_report("the file can't be parsed", &name, text, vec![annotation]);
    Failure::from_report(Code::Input, report)
}

fn to_value(document: &Document) -> Result<Value, Failure> {
    serde_json::to_value(document).map_err(|error| Failure::new(Code::Failed, error))
}
