//! One version of the configuration as it is stored: the serialised head and its parts.
//!
//! An instance retains the bundle of its version, so that it can send the head and any part to
//! another instance byte for byte. Parts from every source are checked against their digests.
//!
//! # Examples
//!
//! ```
//! use filbertbay_state::bundle::Bundle;
//! use filbertbay_state::head::Head;
//!
//! let bytes = serde_json::to_vec(&Head::default())?;
//! let bundle = Bundle::assemble(&bytes, |_| None)?;
//! assert_eq!(bundle.version(), bundle.snapshot()?.version());
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use strum::Display;

use crate::document::{Document, Workspace};
use crate::head::{Head, Reference};
use crate::key;
use crate::part::{self, Part};
use crate::snapshot::{self, Snapshot};
use crate::version::Version;

/// Why stored bytes are not a valid configuration.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Display)]
#[strum(serialize_all = "snake_case")]
#[non_exhaustive]
pub enum ErrorKind {
    /// The bytes can't be parsed, or the parsed value is inconsistent, such as a duplicate item.
    Malformed,
    /// A part is missing.
    Incomplete,
    /// The digest of a part's bytes differs from the digest in the head.
    Mismatched,
    /// The document fails validation.
    #[strum(serialize = "unsound")]
    InvalidDocument,
}

/// Error for stored bytes that are not a valid configuration.
#[derive(Clone, Debug, thiserror::Error)]
#[error("{location}: {message}")]
pub struct Error {
    kind: ErrorKind,
    location: String,
    message: String,
}

impl Error {
    fn new<M>(kind: ErrorKind, location: &str, message: M) -> Self
    where
        M: Into<String>,
    {
        Self {
            kind,
            location: location.to_owned(),
            message: message.into(),
        }
    }

    /// Returns why the bytes are not a valid configuration.
    pub fn kind(&self) -> ErrorKind {
        self.kind
    }
}

/// Serialised parts of a version, by digest.
pub type Parts = BTreeMap<Arc<str>, Arc<[u8]>>;

type Workspaces = BTreeMap<Arc<str>, Workspace>;

/// Configuration of one version as it is stored.
#[derive(Clone, Debug, Default)]
pub struct Bundle {
    head: Arc<Head>,
    head_bytes: Arc<[u8]>,
    parts: Parts,
}

/// Parses a stored head.
///
/// # Errors
///
/// Returns an error if the bytes are not a head, or if the head names a part twice.
pub fn parse_head(bytes: &[u8]) -> Result<Head, Error> {
    let malformed = |message: String| Error::new(ErrorKind::Malformed, "head", message);
    let head: Head =
        serde_json::from_slice(bytes).map_err(|error| malformed(redacted_message(&error)))?;
    let names: BTreeSet<_> = head.parts.iter().map(|part| &part.name).collect();
    if names.len() != head.parts.len() {
        return Err(malformed("a part is named twice".to_owned()));
    }
    Ok(head)
}

impl Bundle {
    /// Assembles a version from its serialised head and its parts.
    ///
    /// `fetch_part` returns the serialised part with the given digest.
    ///
    /// # Errors
    ///
    /// Returns an error if the head or a part can't be parsed, a part is missing, or a part's bytes
    /// don't have its digest.
    pub fn assemble<F>(head_bytes: &[u8], fetch_part: F) -> Result<Self, Error>
    where
        F: FnMut(&str) -> Option<Arc<[u8]>>,
    {
        Self::default().assemble_incremental(head_bytes, fetch_part)
    }

    /// Assembles another version, and calls `fetch_part` only for the parts that this bundle lacks.
    ///
    /// # Errors
    ///
    /// Returns the same errors as [`assemble`](Self::assemble).
    pub fn assemble_incremental<F>(
        &self,
        head_bytes: &[u8],
        mut fetch_part: F,
    ) -> Result<Self, Error>
    where
        F: FnMut(&str) -> Option<Arc<[u8]>>,
    {
        let head = parse_head(head_bytes)?;
        let mut parts = Parts::new();
        for reference in &head.parts {
            // The digests of the parts of this bundle were checked when it was assembled.
            let bytes = match self.part(&reference.digest) {
                Some(bytes) => bytes,
                None => check_part(reference, fetch_part(&reference.digest))?,
            };
            parts.insert(Arc::clone(&reference.digest), bytes);
        }
        Ok(Self {
            head: Arc::new(head),
            head_bytes: head_bytes.into(),
            parts,
        })
    }

    /// Returns the version of the configuration.
    pub fn version(&self) -> Version {
        self.head.version
    }

    /// Returns the parsed head.
    pub fn head(&self) -> &Head {
        &self.head
    }

    /// Returns the serialised head; empty for the default bundle of version zero.
    pub fn head_bytes(&self) -> &Arc<[u8]> {
        &self.head_bytes
    }

    /// Returns the serialised part with the given digest.
    pub fn part(&self, digest: &str) -> Option<Arc<[u8]>> {
        self.parts.get(digest).cloned()
    }

    /// Returns the digests of the parts of `head` that this bundle lacks.
    pub fn missing<'a>(&self, head: &'a Head) -> Vec<&'a Arc<str>> {
        let digests = head.parts.iter().map(|part| &part.digest);
        digests
            .filter(|digest| !self.parts.contains_key(*digest))
            .collect()
    }

    /// Parses all parts into one document.
    ///
    /// # Errors
    ///
    /// Returns an error if a part can't be parsed, has a name other than the one in the head, or
    /// contains an item that another part contains as well.
    pub fn document(&self) -> Result<Document, Error> {
        let mut document = Document::default();
        for reference in &self.head.parts {
            let part = self.parse_part(reference)?;
            if !part::merge(&mut document, part.content) {
                return Err(duplicate_item(&reference.name));
            }
        }
        Ok(document)
    }

    /// Parses, validates and compiles the configuration.
    ///
    /// # Errors
    ///
    /// Returns the same errors as [`document`](Self::document), and an error if the document fails
    /// validation.
    pub fn snapshot(&self) -> Result<Snapshot, Error> {
        let document = self.document()?;
        let compiled = Snapshot::compile(self.version(), &document);
        compiled.map_err(|error| invalid_document(&error))
    }

    /// Compiles the configuration, reusing the unchanged workspaces and sections of `compiled`.
    ///
    /// `compiled` is the snapshot of `earlier`. Only the parts that differ are parsed if all of them
    /// contain workspaces; otherwise, or if the version of `compiled` is not that of `earlier`, the
    /// complete configuration is compiled.
    ///
    /// # Errors
    ///
    /// Returns the same errors as [`snapshot`](Self::snapshot).
    pub fn snapshot_incremental(
        &self,
        earlier: &Self,
        compiled: &Snapshot,
    ) -> Result<Snapshot, Error> {
        let (old, new) = (
            earlier.references_not_in(self),
            self.references_not_in(earlier),
        );
        let differing = old.iter().chain(&new);
        let only_workspaces = differing
            .clone()
            .all(|part| part::contains_workspaces(&part.name));
        if !only_workspaces || earlier.version() != compiled.version() {
            return self.snapshot();
        }
        let removed = earlier.parse_workspaces(&old)?.into_keys().collect();
        let changed = self.parse_workspaces(&new)?;
        let snapshot = compiled.with_workspaces(self.version(), &removed, &changed);
        let snapshot = snapshot.map_err(|error| invalid_document(&error))?;
        let mut neighbours = snapshot.workspaces.windows(2);
        if neighbours.any(|pair| pair[0].name == pair[1].name) {
            return Err(duplicate_item("document"));
        }
        Ok(snapshot)
    }

    /// Returns the references to the parts that `other` lacks.
    fn references_not_in(&self, other: &Self) -> Vec<&Reference> {
        let parts = self.head.parts.iter();
        parts
            .filter(|part| !other.parts.contains_key(&part.digest))
            .collect()
    }

    /// Parses the given parts and returns their workspaces.
    fn parse_workspaces(&self, parts: &[&Reference]) -> Result<Workspaces, Error> {
        let mut document = Document::default();
        for reference in parts {
            let part = self.parse_part(reference)?;
            if !part::merge(&mut document, part.content) {
                return Err(duplicate_item(&reference.name));
            }
        }
        Ok(document.workspaces)
    }

    /// Parses a part and checks that its name is the one in the head.
    fn parse_part(&self, reference: &Reference) -> Result<Part, Error> {
        let bytes = self.parts.get(&reference.digest).map(AsRef::as_ref);
        let malformed = |message| Error::new(ErrorKind::Malformed, &reference.name, message);
        let part: Part = serde_json::from_slice(bytes.unwrap_or_default())
            .map_err(|error| malformed(redacted_message(&error)))?;
        if part.name != reference.name {
            return Err(malformed("the part has another name".to_owned()));
        }
        Ok(part)
    }
}

fn duplicate_item(location: &str) -> Error {
    Error::new(ErrorKind::Malformed, location, "an item is in two parts")
}

fn invalid_document(error: &snapshot::Error) -> Error {
    Error::new(ErrorKind::InvalidDocument, "document", error.to_string())
}

/// Returns the message of a parser without the rejected value, which might be a key.
fn redacted_message(error: &serde_json::Error) -> String {
    key::redact_value(&error.to_string())
}

/// Returns the bytes of a part if their digest equals the digest in the head.
fn check_part(reference: &Reference, bytes: Option<Arc<[u8]>>) -> Result<Arc<[u8]>, Error> {
    let missing = || Error::new(ErrorKind::Incomplete, &reference.name, "no such part");
    let bytes = bytes.ok_or_else(missing)?;
    if part::digest(&bytes) == reference.digest {
        return Ok(bytes);
    }
    let message = "the bytes don't have the digest that the head gives";
    Err(Error::new(ErrorKind::Mismatched, &reference.name, message))
}
