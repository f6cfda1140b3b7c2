//! Audit entries: who changed what, when, from which version to which, and why.
//!
//! Entries never hold a caller key. Free text is redacted, and entries of refused patches name
//! places without values, since a refused value may be anything.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use serde_json::Value;
use strum::{Display, EnumString};

use crate::check;
use crate::key;
use crate::version::Version;

/// Most changes that one entry lists; the others are counted.
pub const MAX_CHANGES: usize = 16;

/// Longest value that an entry shows, in bytes of JSON.
const MAX_SHOWN_BYTES: usize = 120;

/// What became of a patch.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize, Display, EnumString)]
#[serde(rename_all = "lowercase")]
#[strum(serialize_all = "lowercase")]
pub enum Outcome {
    /// The patch made a new version.
    Applied,
    /// The patch changed nothing.
    Refused,
}

/// Record of one submitted patch.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Entry {
    /// Id of the patch.
    pub patch: Arc<str>,
    /// SHA-256 digest of the patch, by which another patch of the same id is told apart.
    pub digest: Arc<str>,
    /// Who submitted it.
    pub author: Arc<str>,
    /// When it was submitted, in milliseconds since 1970 by the author's clock.
    pub at: u64,
    /// Why it was submitted.
    pub reason: Arc<str>,
    /// What became of it.
    pub outcome: Outcome,
    /// Version that it named.
    pub from: Version,
    /// Version that was in force afterwards.
    pub to: Version,
    /// Why it was refused.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub refusal: Option<Arc<str>>,
    /// Places that it changed, or would have changed.
    pub changes: Vec<Change>,
    /// Number of changes beyond those listed.
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

/// Change of one place of the document.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    /// JSON pointer (RFC 6901) to the place.
    pub pointer: Arc<str>,
    /// Value before, as JSON cut to a short length; none where there was no value.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub before: Option<Arc<str>>,
    /// Value after, as JSON cut to a short length; none where there is no value.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub after: Option<Arc<str>>,
}

/// Lists the changes between two JSON values, and counts those beyond [`MAX_CHANGES`].
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
            let place = format!("{pointer}{}", check::pointer(&[name]));
            self.compare(&place, Some(value), new.get(name));
        }
        for (name, value) in new.iter().filter(|(name, _)| !old.contains_key(*name)) {
            let place = format!("{pointer}{}", check::pointer(&[name]));
            self.compare(&place, None, Some(value));
        }
    }

    fn push(&mut self, pointer: &str, before: Option<&Value>, after: Option<&Value>) {
        if self.changes.len() == MAX_CHANGES {
            self.omitted += 1;
            return;
        }
        self.changes.push(Change {
            pointer: key::redact(pointer).into(),
            before: before.map(show),
            after: after.map(show),
        });
    }
}

fn show(value: &Value) -> Arc<str> {
    let text = value.to_string();
    let clean = key::redact(&text);
    if clean.len() <= MAX_SHOWN_BYTES {
        return clean.into();
    }
    let mut end = MAX_SHOWN_BYTES;
    while !clean.is_char_boundary(end) {
        end -= 1;
    }
    format!("{}..", &clean[..end]).into()
}
