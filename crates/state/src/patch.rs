//! Patches, which are changes that operators submit against a version of the configuration.
//!
//! [`Patch::apply`] is a pure function. It applies a patch only to the version that the patch
//! names, and otherwise returns an error with the current version. Unknown fields are rejected, and
//! the complete resulting document is validated.
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

/// Maximum length of the id of a patch in bytes.
pub const MAX_ID_BYTES: usize = 64;

/// Maximum length of the author of a patch in bytes.
pub const MAX_AUTHOR_BYTES: usize = 128;

/// Maximum length of the reason of a patch in bytes.
pub const MAX_REASON_BYTES: usize = 512;

/// Change that an operator submits.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Patch {
    /// Id of the patch, never reused. If the response is lost, the id shows whether the patch was
    /// applied.
    pub id: Arc<str>,
    /// Version that the patch applies to.
    pub against: Version,
    /// Author of the patch.
    pub author: Arc<str>,
    /// Reason for the patch, for the audit trail.
    pub reason: Arc<str>,
    /// Time of submission, in milliseconds since 1970.
    pub at: u64,
    /// Change of the document.
    pub change: Change,
}

/// Change of a document, in one of two formats.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Change {
    /// JSON merge patch (RFC 7396).
    Merge(Value),
    /// JSON patch operations (RFC 6902).
    Operations(json_patch::Patch),
}

/// Result of an applied patch.
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
    /// The patch names a version other than the current one.
    Stale,
    /// Another patch has used the id.
    Reused,
    /// The id, author or reason is empty, too long or contains a key.
    #[strum(serialize = "unlabelled")]
    InvalidMetadata,
    /// An operation can't be applied to the document, such as removing a missing value.
    Inapplicable,
    /// The result can't be parsed as a document: a field is unknown, missing or of the wrong type.
    #[strum(serialize = "misshapen")]
    InvalidSchema,
    /// The result is a document that fails validation.
    #[strum(serialize = "unsound")]
    InvalidDocument,
}

/// Refusal of a patch; the message never contains a value of the patch, which might be a key.
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

    /// Returns the error for a patch whose id another patch has used.
    pub fn reused(current: Version) -> Self {
        let message = "another patch has used this id";
        Self::new(ErrorKind::Reused, current, message)
    }

    /// Returns why the patch was refused.
    pub fn kind(&self) -> ErrorKind {
        self.kind
    }

    /// Returns the version that was in force when the patch was refused.
    pub fn current_version(&self) -> Version {
        self.current_version
    }

    /// Returns the validation problems of the resulting document; empty for all other errors.
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
    /// Applies the patch to the document of the current version and returns the new document.
    ///
    /// # Errors
    ///
    /// Returns the reason of the refusal and the current version.
    pub fn apply(&self, current: Version, document: &Document) -> Result<Applied, Error> {
        self.check_metadata(current)?;
        if self.against != current {
            let message = format!(
                "the patch names version {}, the present one is {current}",
                self.against
            );
            return Err(Error::new(ErrorKind::Stale, current, message));
        }
        let scope = Scope::of(&self.change);
        let before = to_json(&scope.select(document), current)?;
        let after = self.apply_change(current, before.clone())?;
        let changed = parse(current, &after)?;
        let after = to_json(&changed, current)?;
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

    /// Returns the SHA-256 digest of the patch, which distinguishes patches that use the same id.
    ///
    /// The time of submission is not included, so that the same patch may be submitted again.
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

    /// Returns the audit entry for the refusal of this patch; the entry contains no values.
    pub fn refused_entry(&self, error: &Error) -> Entry {
        Entry {
            outcome: Outcome::Refused,
            to: error.current_version,
            refusal: Some(key::redact(&error.to_string()).into()),
            changes: self.changes_without_values(),
            ..self.base_entry()
        }
    }

    fn applied_entry(&self, before: &Value, after: &Value) -> Entry {
        let (changes, omitted) = audit::diff(before, after);
        Entry {
            outcome: Outcome::Applied,
            to: self.against.next(),
            changes,
            omitted,
            ..self.base_entry()
        }
    }

    /// Returns the fields that the entries of applied and refused patches share.
    fn base_entry(&self) -> Entry {
        Entry {
            patch: redact_and_truncate(&self.id, MAX_ID_BYTES),
            digest: self.digest(),
            author: redact_and_truncate(&self.author, MAX_AUTHOR_BYTES),
            at: self.at,
            reason: redact_and_truncate(&self.reason, MAX_REASON_BYTES),
            outcome: Outcome::Refused,
            from: self.against,
            to: self.against,
            refusal: None,
            changes: Vec::new(),
            omitted: 0,
        }
    }

    fn check_metadata(&self, current: Version) -> Result<(), Error> {
        let fields = [
            (&self.id, MAX_ID_BYTES, "an id of 1 to 64 bytes"),
            (
                &self.author,
                MAX_AUTHOR_BYTES,
                "an author of 1 to 128 bytes",
            ),
            (&self.reason, MAX_REASON_BYTES, "a reason of 1 to 512 bytes"),
        ];
        for (text, max_bytes, expected) in fields {
            let is_valid = (1..=max_bytes).contains(&text.len()) && !key::contains_secret(text);
            if !is_valid {
                let message = format!("expected {expected} without a key");
                return Err(Error::new(ErrorKind::InvalidMetadata, current, message));
            }
        }
        Ok(())
    }

    fn apply_change(&self, current: Version, mut value: Value) -> Result<Value, Error> {
        match &self.change {
            Change::Merge(merge) => json_patch::merge(&mut value, merge),
            Change::Operations(operations) => {
                json_patch::patch(&mut value, operations).map_err(|error| {
                    let pointer = key::redact(error.path.as_str()).into_owned();
                    let message =
                        format!("operation {} at {pointer}: {}", error.operation, error.kind);
                    Error::new(ErrorKind::Inapplicable, current, message)
                })?;
            }
        }
        Ok(value)
    }

    /// Returns the pointers that the patch names, without values, at most [`audit::MAX_CHANGES`].
    fn changes_without_values(&self) -> Vec<audit::Change> {
        let mut pointers = match &self.change {
            Change::Merge(Value::Object(sections)) => {
                sections.iter().flat_map(item_pointers).collect()
            }
            Change::Merge(_) => vec![String::new()],
            Change::Operations(operations) => operations
                .iter()
                .map(|operation| operation.path().to_string())
                .collect(),
        };
        pointers.truncate(audit::MAX_CHANGES);
        pointers
            .iter()
            .map(|pointer| change_without_values(pointer))
            .collect()
    }
}

/// Returns the pointers to the items that a merge patch names in one section.
///
/// Returns the pointer to the section if the patch replaces or removes the complete section.
fn item_pointers((section, value): (&String, &Value)) -> Vec<String> {
    let Value::Object(items) = value else {
        return vec![check::pointer(&[section])];
    };
    items
        .keys()
        .map(|name| check::pointer(&[section, name]))
        .collect()
}

fn change_without_values(pointer: &str) -> audit::Change {
    audit::Change {
        pointer: redact_and_truncate(pointer, MAX_REASON_BYTES),
        before: None,
        after: None,
    }
}

/// Redacts keys in a text and truncates the result to at most `max_bytes`.
fn redact_and_truncate(text: &str, max_bytes: usize) -> Arc<str> {
    let text = key::redact(text);
    let mut end = text.len().min(max_bytes);
    while !text.is_char_boundary(end) {
        end -= 1;
    }
    text[..end].into()
}

fn to_json(document: &Document, current: Version) -> Result<Value, Error> {
    let invalid_schema =
        |error: serde_json::Error| Error::new(ErrorKind::InvalidSchema, current, error.to_string());
    serde_json::to_value(document).map_err(invalid_schema)
}

fn parse(current: Version, value: &Value) -> Result<Document, Error> {
    serde_path_to_error::deserialize(value).map_err(|error| {
        let path = key::redact(&error.path().to_string()).into_owned();
        let reason = key::redact_value(&error.inner().to_string());
        let message = format!("{path}: {reason}");
        Error::new(ErrorKind::InvalidSchema, current, message)
    })
}
