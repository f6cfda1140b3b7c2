//! Parts of a configuration, small enough for the platform's values.
//!
//! Each section of the document is cut into a fixed number of buckets by the hash of the items'
//! names, so that a patch rewrites few parts. A part is named by the SHA-256 digest of its bytes.
//! It also carries the version and the patch that wrote it: no two patches ever write the same
//! part, so that a part which has been dropped is never needed again.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};
use strum::Display;

use crate::document::Document;
use crate::version::Version;

/// Section of a document.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Ord, PartialOrd, Display)]
#[strum(serialize_all = "snake_case")]
enum Section {
    DataCentres,
    Groups,
    Routes,
    Workspaces,
}

impl Section {
    /// Number of buckets that the section is cut into.
    fn buckets(self) -> u8 {
        match self {
            Self::DataCentres => 1,
            Self::Groups | Self::Routes => 32,
            Self::Workspaces => 128,
        }
    }

    /// Name of the part that holds an item of this section.
    fn part_of(self, item: &str) -> Arc<str> {
        let hash = Sha256::digest(item.as_bytes());
        format!("{self}/{}", hash[0] % self.buckets()).into()
    }
}

/// Tells whether a part of this name holds workspaces.
pub(crate) fn holds_workspaces(name: &str) -> bool {
    name.starts_with("workspaces/")
}

/// Part of a configuration.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Part {
    /// Name of the part: its section and bucket.
    pub name: Arc<str>,
    /// Version that wrote the part.
    pub since: Version,
    /// Id of the patch that wrote the part.
    pub patch: Arc<str>,
    /// Items of the part; the other sections are empty.
    pub content: Document,
}

/// Returns the digest of a stored part.
///
/// # Examples
///
/// ```
/// use filbertbay_state::part;
///
/// assert!(part::digest(b"abc").starts_with("ba7816bf"));
/// ```
pub fn digest(bytes: &[u8]) -> Arc<str> {
    hex::encode(Sha256::digest(bytes)).into()
}

/// Splits a document into the contents of its parts, by name; empty parts are left out.
///
/// # Examples
///
/// ```
/// use filbertbay_state::{document::Document, part};
///
/// let document: Document =
///     serde_json::from_str(r#"{"data_centres": {"caen": {"region": "normandie"}}}"#)?;
/// let contents = part::split(&document);
/// assert_eq!(contents["data_centres/0"], document);
/// # Ok::<(), serde_json::Error>(())
/// ```
pub fn split(document: &Document) -> BTreeMap<Arc<str>, Document> {
    let mut parts: BTreeMap<Arc<str>, Document> = BTreeMap::new();
    for (name, item) in &document.data_centres {
        let part = parts.entry(Section::DataCentres.part_of(name)).or_default();
        part.data_centres.insert(Arc::clone(name), item.clone());
    }
    for (name, item) in &document.groups {
        let part = parts.entry(Section::Groups.part_of(name)).or_default();
        part.groups.insert(Arc::clone(name), item.clone());
    }
    for (name, item) in &document.routes {
        let part = parts.entry(Section::Routes.part_of(name)).or_default();
        part.routes.insert(Arc::clone(name), item.clone());
    }
    for (name, item) in &document.workspaces {
        let part = parts.entry(Section::Workspaces.part_of(name)).or_default();
        part.workspaces.insert(Arc::clone(name), item.clone());
    }
    parts
}

/// Adds the items of a part to a document, and tells whether each of them was new.
pub fn join(document: &mut Document, content: Document) -> bool {
    let items = count(document) + count(&content);
    document.data_centres.extend(content.data_centres);
    document.groups.extend(content.groups);
    document.routes.extend(content.routes);
    document.workspaces.extend(content.workspaces);
    count(document) == items
}

fn count(document: &Document) -> usize {
    document.data_centres.len()
        + document.groups.len()
        + document.routes.len()
        + document.workspaces.len()
}
