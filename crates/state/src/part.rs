//! Parts of a configuration, each small enough for one value of the key-value store.
//!
//! Each section of the document is partitioned into a fixed number of buckets by the hash of the
//! items' names, so that a patch rewrites few parts. A part is addressed by the SHA-256 digest of
//! its bytes. A part also contains the version and the patch that wrote it, so that no two patches
//! write identical parts and a retired part is never referred to again.

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
    /// Returns the number of buckets of the section.
    fn bucket_count(self) -> u8 {
        match self {
            Self::DataCentres => 1,
            Self::Groups | Self::Routes => 32,
            Self::Workspaces => 128,
        }
    }

    /// Returns the name of the part that contains the item with the given name.
    fn part_name(self, item: &str) -> Arc<str> {
        let hash = Sha256::digest(item.as_bytes());
        format!("{self}/{}", hash[0] % self.bucket_count()).into()
    }
}

/// Returns true if the part with this name contains workspaces.
pub(crate) fn contains_workspaces(name: &str) -> bool {
    name.starts_with("workspaces/")
}

/// Part of a configuration: the items in one bucket of one section.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Part {
    /// Name of the part, such as `workspaces/17`: its section and bucket.
    pub name: Arc<str>,
    /// Version that introduced these contents of the part.
    pub since: Version,
    /// Id of the patch that wrote the part.
    pub patch: Arc<str>,
    /// Items of the part; all other sections are empty.
    pub content: Document,
}

/// Returns the SHA-256 digest of a serialised part, as 64 hexadecimal digits.
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

/// Splits a document into the contents of its parts, by part name; empty parts are omitted.
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

/// Returns the contents in `after` of all parts in which the two documents differ, by part name.
///
/// A part that has no items in `after` is included as an empty document.
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
    add_changed_parts(
        &mut parts,
        section,
        &before.data_centres,
        &after.data_centres,
        |part| &mut part.data_centres,
    );
    add_changed_parts(
        &mut parts,
        Section::Groups,
        &before.groups,
        &after.groups,
        |part| &mut part.groups,
    );
    add_changed_parts(
        &mut parts,
        Section::Routes,
        &before.routes,
        &after.routes,
        |part| &mut part.routes,
    );
    let section = Section::Workspaces;
    add_changed_parts(
        &mut parts,
        section,
        &before.workspaces,
        &after.workspaces,
        |part| &mut part.workspaces,
    );
    parts
}

/// Adds the differing parts of one section, with their items in `after`.
fn add_changed_parts<T, F>(
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
    let changed_parts: BTreeSet<_> = names.map(|name| section.part_name(name)).collect();
    for name in &changed_parts {
        parts.insert(Arc::clone(name), Document::default());
    }
    if changed_parts.is_empty() {
        return;
    }
    for (name, item) in after {
        if let Some(part) = parts.get_mut(&section.part_name(name)) {
            items_of(part).insert(Arc::clone(name), item.clone());
        }
    }
}

/// Adds the items of a part to a document.
///
/// Returns false if the document already contained one of the items, which is then replaced.
pub fn merge(document: &mut Document, content: Document) -> bool {
    let expected_count = item_count(document) + item_count(&content);
    document.data_centres.extend(content.data_centres);
    document.groups.extend(content.groups);
    document.routes.extend(content.routes);
    document.workspaces.extend(content.workspaces);
    item_count(document) == expected_count
}

fn item_count(document: &Document) -> usize {
    document.data_centres.len()
        + document.groups.len()
        + document.routes.len()
        + document.workspaces.len()
}
