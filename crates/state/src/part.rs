//! Parts of a configuration, small enough for the platform's values.
//!
//! Each section of the document is cut into a fixed number of buckets by the hash of the items'
//! names, so that a patch rewrites few parts. A part is named by the SHA-256 digest of its bytes.
//! It also carries the version and the patch that wrote it: no two patches ever write the same
//! part, so that a part which has been dropped is never needed again.

use std::collections::{BTreeMap, BTreeSet};
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

/// Splits a document into the contents of its parts, by name.
///
/// # Examples
///
/// ```
/// use filbertbay_state::{document::Document, part};
///
/// assert!(part::split(&Document::default()).is_empty());
/// ```
pub fn split(document: &Document) -> BTreeMap<Arc<str>, Document> {
    changed(&Document::default(), document)
}

/// Returns the contents of the parts in which two documents differ, by name, as `after` has them.
///
/// A part that `after` no longer needs is there with no items.
///
/// # Examples
///
/// ```
/// use filbertbay_state::{document::Document, part};
///
/// let empty = Document::default();
/// let document: Document =
///     serde_json::from_str(r#"{"data_centres": {"caen": {"region": "normandie"}}}"#)?;
/// assert_eq!(part::changed(&empty, &document)["data_centres/0"], document);
/// assert_eq!(part::changed(&document, &empty)["data_centres/0"], empty);
/// assert!(part::changed(&document, &document).is_empty());
/// # Ok::<(), serde_json::Error>(())
/// ```
pub fn changed(before: &Document, after: &Document) -> BTreeMap<Arc<str>, Document> {
    let mut parts = BTreeMap::new();
    let section = Section::DataCentres;
    fill(
        &mut parts,
        section,
        &before.data_centres,
        &after.data_centres,
        |part| &mut part.data_centres,
    );
    fill(
        &mut parts,
        Section::Groups,
        &before.groups,
        &after.groups,
        |part| &mut part.groups,
    );
    fill(
        &mut parts,
        Section::Routes,
        &before.routes,
        &after.routes,
        |part| &mut part.routes,
    );
    let section = Section::Workspaces;
    fill(
        &mut parts,
        section,
        &before.workspaces,
        &after.workspaces,
        |part| &mut part.workspaces,
    );
    parts
}

/// Adds the parts of one section that differ, with the items that they hold afterwards.
fn fill<T, F>(
    parts: &mut BTreeMap<Arc<str>, Document>,
    section: Section,
    before: &BTreeMap<Arc<str>, T>,
    after: &BTreeMap<Arc<str>, T>,
    items_of: F,
) where
    T: Clone + PartialEq,
    F: Fn(&mut Document) -> &mut BTreeMap<Arc<str>, T>,
{
    let is_changed = |name: &&Arc<str>| before.get(*name) != after.get(*name);
    let names = before.keys().chain(after.keys()).filter(is_changed);
    let differing: BTreeSet<_> = names.map(|name| section.part_of(name)).collect();
    for name in &differing {
        parts.insert(Arc::clone(name), Document::default());
    }
    if differing.is_empty() {
        return;
    }
    for (name, item) in after {
        if let Some(part) = parts.get_mut(&section.part_of(name)) {
            items_of(part).insert(Arc::clone(name), item.clone());
        }
    }
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
