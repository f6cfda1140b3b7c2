//! Patches: changes that operators submit against a version of the configuration.
//!
//! [`Patch::apply`] is pure. It applies to the version that the patch names or is refused with the
//! current one; it refuses unknown fields, and it checks the resulting document whole.
//!
//! # Examples
//!
//! ```
//! use filbertbay_state::document::Document;
//! use filbertbay_state::patch::{Change, ErrorKind, Patch};
//! use filbertbay_state::version::Version;
//! use serde_json::json;
//!
//! let patch = Patch {
//!     id: "p-1".into(),
//!     against: Version(4),
//!     author: "yann".into(),
//!     reason: "new data centre".into(),
//!     at: 1_765_000_000_000,
//!     change: Change::Merge(json!({"data_centres": {"caen": {"region": "normandie"}}})),
//! };
//! let applied = patch.apply(Version(4), &Document::default())?;
//! assert!(applied.document.data_centres.contains_key("caen"));
//!
//! let refused = patch.apply(Version(5), &applied.document).unwrap_err();
//! assert_eq!(refused.kind(), ErrorKind::Stale);
//! # Ok::<(), filbertbay_state::patch::Error>(())
//! ```

mod scope;

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use serde_json::Value;
use sha2::{Digest as _, Sha256};
use strum::Display;

use crate::audit::{self, Entry, Outcome};
use crate::check::{self, Problem};
use crate::document::Document;
use crate::key;
use crate::version::Version;

use scope::Scope;

/// Longest id of a patch in bytes.
pub const MAX_ID_BYTES: usize = 64;

/// Longest author in bytes.
pub const MAX_AUTHOR_BYTES: usize = 128;

/// Longest reason in bytes.
pub const MAX_REASON_BYTES: usize = 512;

/// Change that an operator submits.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Patch {
    /// Id, unique for all time; a lost answer is resolved by it.
    pub id: Arc<str>,
    /// Version that the patch applies to.
    pub against: Version,
    /// Who submits it.
    pub author: Arc<str>,
    /// Why it is submitted.
    pub reason: Arc<str>,
    /// When it is submitted, in milliseconds since 1970.
    pub at: u64,
    /// What it changes.
    pub change: Change,
}

/// What a patch changes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Change {
    /// JSON merge patch (RFC 7396).
    Merge(Value),
    /// JSON patch operations (RFC 6902).
    Operations(json_patch::Patch),
}

/// Result of a patch that applies.
#[derive(Clone, Debug)]
pub struct Applied {
    /// Document of the new version.
    pub document: Document,
    /// Entry for the audit trail.
    pub entry: Entry,
}

/// Why a patch is refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Display)]
#[strum(serialize_all = "snake_case")]
#[non_exhaustive]
pub enum ErrorKind {
    /// The patch names a version that is not the current one.
    Stale,
    /// The id belongs to another patch.
    Reused,
    /// The id, author or reason is out of bounds.
    #[strum(serialize = "unlabelled")]
    InvalidMetadata,
    /// An operation can't be carried out on the document.
    Inapplicable,
    /// The result is not a document: a field is unknown, missing or of the wrong type.
    #[strum(serialize = "misshapen")]
    InvalidSchema,
    /// The result is a document with problems.
    #[strum(serialize = "unsound")]
    InvalidDocument,
}

/// Refusal of a patch; it never repeats a value of the patch.
#[derive(Clone, Debug, thiserror::Error)]
pub struct Error {
    kind: ErrorKind,
    current_version: Version,
    problems: Vec<Problem>,
    message: String,
}

impl Error {
    fn new<M>(kind: ErrorKind, current: Version, message: M) -> Self
    where
        M: Into<String>,
    {
        Self {
            kind,
            current_version: current,
            problems: Vec::new(),
            message: message.into(),
        }
    }

    /// Creates the refusal of an id that another patch has used.
    pub fn reused(current: Version) -> Self {
        let message = "another patch has used this id";
        Self::new(ErrorKind::Reused, current, message)
    }

    /// Returns why the patch was refused.
    pub fn kind(&self) -> ErrorKind {
        self.kind
    }

    /// Returns the version in force, which the patch did not change.
    pub fn current_version(&self) -> Version {
        self.current_version
    }

    /// Returns the problems of the result, if it was a document.
    pub fn problems(&self) -> &[Problem] {
        &self.problems
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.message)?;
        for problem in &self.problems {
            write!(f, "\n{problem}")?;
        }
        Ok(())
    }
}

impl Patch {
    /// Applies the patch to the document of the current version.
    ///
    /// # Errors
    ///
    /// Returns why the patch is refused, with the current version; the document is unchanged.
    pub fn apply(&self, current: Version, document: &Document) -> Result<Applied, Error> {
        self.check_labels(current)?;
        if self.against != current {
            let message = format!(
                "the patch names version {}, the present one is {current}",
                self.against
            );
            return Err(Error::new(ErrorKind::Stale, current, message));
        }
        let scope = Scope::of(&self.change);
        let before = to_value(&scope.select(document), current)?;
        let after = self.change_value(current, before.clone())?;
        let changed = parse(current, &after)?;
        let after = to_value(&changed, current)?;
        let document = scope.replace(document, changed);
        let problems = check::check(&document);
        if !problems.is_empty() {
            let message = format!("the result has {} problems", problems.len());
            let error = Error::new(ErrorKind::InvalidDocument, current, message);
            return Err(Error { problems, ..error });
        }
        let entry = self.applied_entry(&before, &after);
        Ok(Applied { document, entry })
    }

    /// Returns the digest by which a patch is told from another of the same id.
    ///
    /// The time of submission does not count, so that the same patch may be submitted again.
    pub fn digest(&self) -> Arc<str> {
        let content = (
            &self.id,
            self.against,
            &self.author,
            &self.reason,
            &self.change,
        );
        let text = serde_json::to_vec(&content).unwrap_or_default();
        hex::encode(Sha256::digest(text)).into()
    }

    /// Returns the audit entry of this patch after its refusal.
    pub fn refused_entry(&self, error: &Error) -> Entry {
        Entry {
            outcome: Outcome::Refused,
            to: error.current_version,
            refusal: Some(key::redact(&error.to_string()).into()),
            changes: self.touched(),
            ..self.entry()
        }
    }

    fn applied_entry(&self, before: &Value, after: &Value) -> Entry {
        let (changes, omitted) = audit::diff(before, after);
        Entry {
            outcome: Outcome::Applied,
            to: self.against.next(),
            changes,
            omitted,
            ..self.entry()
        }
    }

    fn entry(&self) -> Entry {
        Entry {
            patch: clean(&self.id, MAX_ID_BYTES),
            digest: self.digest(),
            author: clean(&self.author, MAX_AUTHOR_BYTES),
            at: self.at,
            reason: clean(&self.reason, MAX_REASON_BYTES),
            outcome: Outcome::Refused,
            from: self.against,
            to: self.against,
            refusal: None,
            changes: Vec::new(),
            omitted: 0,
        }
    }

    fn check_labels(&self, current: Version) -> Result<(), Error> {
        let labels = [
            (&self.id, MAX_ID_BYTES, "an id of 1 to 64 bytes"),
            (
                &self.author,
                MAX_AUTHOR_BYTES,
                "an author of 1 to 128 bytes",
            ),
            (&self.reason, MAX_REASON_BYTES, "a reason of 1 to 512 bytes"),
        ];
        for (text, longest, expected) in labels {
            let holds = (1..=longest).contains(&text.len()) && !key::contains_secret(text);
            if !holds {
                let message = format!("expected {expected} without a key");
                return Err(Error::new(ErrorKind::InvalidMetadata, current, message));
            }
        }
        Ok(())
    }

    fn change_value(&self, current: Version, mut value: Value) -> Result<Value, Error> {
        match &self.change {
            Change::Merge(merge) => json_patch::merge(&mut value, merge),
            Change::Operations(operations) => {
                json_patch::patch(&mut value, operations).map_err(|error| {
                    let place = key::redact(error.path.as_str()).into_owned();
                    let message =
                        format!("operation {} at {place}: {}", error.operation, error.kind);
                    Error::new(ErrorKind::Inapplicable, current, message)
                })?;
            }
        }
        Ok(value)
    }

    /// Returns the sections and items that the patch names, without any value.
    fn touched(&self) -> Vec<audit::Change> {
        let mut pointers = match &self.change {
            Change::Merge(Value::Object(sections)) => sections.iter().flat_map(items).collect(),
            Change::Merge(_) => vec![String::new()],
            Change::Operations(operations) => operations
                .iter()
                .map(|operation| operation.path().to_string())
                .collect(),
        };
        pointers.truncate(audit::MAX_CHANGES);
        pointers.iter().map(|pointer| touch(pointer)).collect()
    }
}

/// Returns pointers to the items that a merge patch names in one section.
fn items((section, value): (&String, &Value)) -> Vec<String> {
    let Value::Object(items) = value else {
        return vec![check::pointer(&[section])];
    };
    items
        .keys()
        .map(|name| check::pointer(&[section, name]))
        .collect()
}

fn touch(pointer: &str) -> audit::Change {
    audit::Change {
        pointer: clean(pointer, MAX_REASON_BYTES),
        before: None,
        after: None,
    }
}

/// Removes keys from a text and cuts it to a length in bytes.
fn clean(text: &str, longest: usize) -> Arc<str> {
    let text = key::redact(text);
    let mut end = text.len().min(longest);
    while !text.is_char_boundary(end) {
        end -= 1;
    }
    text[..end].into()
}

fn to_value(document: &Document, current: Version) -> Result<Value, Error> {
    let misshapen =
        |error: serde_json::Error| Error::new(ErrorKind::InvalidSchema, current, error.to_string());
    serde_json::to_value(document).map_err(misshapen)
}

fn parse(current: Version, value: &Value) -> Result<Document, Error> {
    serde_path_to_error::deserialize(value).map_err(|error| {
        let place = key::redact(&error.path().to_string()).into_owned();
        let reason = key::redact_value(&error.inner().to_string());
        let message = format!("{place}: {reason}");
        Error::new(ErrorKind::InvalidSchema, current, message)
    })
}
