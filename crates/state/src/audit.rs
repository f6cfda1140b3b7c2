//! Audit entries, which record each submitted patch: author, time, reason, versions and changes.
//!
//! Entries never contain a caller key. Free text is redacted. Entries of refused patches list the
//! changed pointers without values, since a refused value may be anything, even a key that redaction
//! doesn't recognise.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use serde_json::Value;
use strum::{Display, EnumString};

use crate::check;
use crate::key;
use crate::version::Version;

/// Maximum number of changes that an entry lists; further changes are only counted.
pub const MAX_CHANGES: usize = 16;

/// Maximum length of a value in an entry, in bytes of JSON.
const MAX_VALUE_BYTES: usize = 120;

/// Result of a submitted patch.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize, Display, EnumString)]
#[serde(rename_all = "lowercase")]
#[strum(serialize_all = "lowercase")]
pub enum Outcome {
    /// The patch created a new version.
    Applied,
    /// The patch was refused and changed nothing.
    Refused,
}

/// Record of one submitted patch.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Entry {
    /// Id of the patch.
    pub patch: Arc<str>,
    /// SHA-256 digest of the patch, which distinguishes patches that use the same id.
    pub digest: Arc<str>,
    /// Author of the patch.
    pub author: Arc<str>,
    /// Time of submission by the author's clock, in milliseconds since 1970.
    pub at: u64,
    /// Reason that the author gave.
    pub reason: Arc<str>,
    /// Result of the patch.
    pub outcome: Outcome,
    /// Version that the patch was submitted against.
    pub from: Version,
    /// Version in force after the submission.
    pub to: Version,
    /// Error message of a refused patch.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub refusal: Option<Arc<str>>,
    /// Changes that the patch made, or would have made if it is refused.
    pub changes: Vec<Change>,
    /// Number of changes that `changes` does not list.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub omitted: usize,
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde passes a reference"
)]
fn is_zero(count: &usize) -> bool {
    *count == 0
}

/// Change of one value of the document.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    /// JSON pointer (RFC 6901) to the value.
    pub pointer: Arc<str>,
    /// Old value as truncated JSON; `None` if there was none or the patch was refused.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub before: Option<Arc<str>>,
    /// New value as truncated JSON; `None` if there is none or the patch was refused.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub after: Option<Arc<str>>,
}

/// Returns the changes between two JSON values, and the number of changes beyond [`MAX_CHANGES`].
///
/// # Examples
///
/// ```
/// use filbertbay_state::audit;
/// use serde_json::json;
///
/// let before = json!({"rate": {"burst": 5, "per_second": 1}});
/// let after = json!({"rate": {"burst": 9, "per_second": 1}});
/// let (changes, omitted) = audit::diff(&before, &after);
/// assert_eq!(changes[0].pointer.as_ref(), "/rate/burst");
/// assert_eq!(changes[0].after.as_deref(), Some("9"));
/// assert_eq!((changes.len(), omitted), (1, 0));
/// ```
pub fn diff(before: &Value, after: &Value) -> (Vec<Change>, usize) {
    let mut differ = Differ::default();
    differ.compare("", Some(before), Some(after));
    (differ.changes, differ.omitted)
}

#[derive(Default)]
struct Differ {
    changes: Vec<Change>,
    omitted: usize,
}

impl Differ {
    fn compare(&mut self, pointer: &str, before: Option<&Value>, after: Option<&Value>) {
        if before == after {
            return;
        }
        let (Some(Value::Object(old)), Some(Value::Object(new))) = (before, after) else {
            self.push(pointer, before, after);
            return;
        };
        for (name, value) in old {
            let child = format!("{pointer}{}", check::pointer(&[name]));
            self.compare(&child, Some(value), new.get(name));
        }
        for (name, value) in new.iter().filter(|(name, _)| !old.contains_key(*name)) {
            let child = format!("{pointer}{}", check::pointer(&[name]));
            self.compare(&child, None, Some(value));
        }
    }

    fn push(&mut self, pointer: &str, before: Option<&Value>, after: Option<&Value>) {
        if self.changes.len() == MAX_CHANGES {
            self.omitted += 1;
            return;
        }
        self.changes.push(Change {
            pointer: key::redact(pointer).into(),
            before: before.map(summarize),
            after: after.map(summarize),
        });
    }
}

/// Returns the value as redacted JSON, truncated to [`MAX_VALUE_BYTES`].
fn summarize(value: &Value) -> Arc<str> {
    let text = value.to_string();
    let redacted = key::redact(&text);
    if redacted.len() <= MAX_VALUE_BYTES {
        return redacted.into();
    }
    let mut end = MAX_VALUE_BYTES;
    while !redacted.is_char_boundary(end) {
        end -= 1;
    }
    format!("{}..", &redacted[..end]).into()
}
