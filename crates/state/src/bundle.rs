//! Configuration of one version as it is stored: the head and its parts.
//!
//! An instance keeps the bundle of its version, so that it can hand the head and any part to
//! another instance byte for byte. Bytes from anywhere are checked against their digests.
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

/// What is wrong with stored bytes.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Display)]
#[strum(serialize_all = "snake_case")]
#[non_exhaustive]
pub enum ErrorKind {
    /// The bytes can't be parsed, or the parsed value contradicts itself.
    Malformed,
    /// A part is missing.
    Incomplete,
    /// A part's bytes don't have its digest.
    Mismatched,
    /// The document has problems.
    #[strum(serialize = "unsound")]
    InvalidDocument,
}

/// Stored bytes that are not a configuration.
#[derive(Clone, Debug, thiserror::Error)]
#[error("{place}: {message}")]
pub struct Error {
    kind: ErrorKind,
    place: String,
    message: String,
}

impl Error {
    fn new<M>(kind: ErrorKind, place: &str, message: M) -> Self
    where
        M: Into<String>,
    {
        Self {
            kind,
            place: place.to_owned(),
            message: message.into(),
        }
    }

    /// Returns what is wrong.
    pub fn kind(&self) -> ErrorKind {
        self.kind
    }
}

/// Bytes of the parts of a version, by digest.
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
/// Returns an error if the bytes are not a head, or name a part twice.
pub fn parse_head(bytes: &[u8]) -> Result<Head, Error> {
    let malformed = |message: String| Error::new(ErrorKind::Malformed, "head", message);
    let head: Head = serde_json::from_slice(bytes).map_err(|error| malformed(shown(&error)))?;
    let names: BTreeSet<_> = head.parts.iter().map(|part| &part.name).collect();
    if names.len() != head.parts.len() {
        return Err(malformed("a part is named twice".to_owned()));
    }
    Ok(head)
}

impl Bundle {
    /// Assembles a version from its stored head and a source of parts by digest.
    ///
    /// # Errors
    ///
    /// Returns an error if the head or a part can't be parsed, a part is missing, or a part's bytes
    /// don't have its digest.
    pub fn assemble<F>(head_bytes: &[u8], part_of: F) -> Result<Self, Error>
    where
        F: FnMut(&str) -> Option<Arc<[u8]>>,
    {
        Self::default().assemble_incremental(head_bytes, part_of)
    }

    /// Assembles another version, and asks `part_of` only for the parts that this one lacks.
    ///
    /// # Errors
    ///
    /// Returns an error as [`assemble`](Self::assemble) does.
    pub fn assemble_incremental<F>(&self, head_bytes: &[u8], mut part_of: F) -> Result<Self, Error>
    where
        F: FnMut(&str) -> Option<Arc<[u8]>>,
    {
        let head = parse_head(head_bytes)?;
        let mut parts = Parts::new();
        for reference in &head.parts {
            // Parts of this version were checked when it was assembled.
            let bytes = match self.part(&reference.digest) {
                Some(bytes) => bytes,
                None => check_part(reference, part_of(&reference.digest))?,
            };
            parts.insert(Arc::clone(&reference.digest), bytes);
        }
        Ok(Self {
            head: Arc::new(head),
            head_bytes: head_bytes.into(),
            parts,
        })
    }

    /// Returns the version.
    pub fn version(&self) -> Version {
        self.head.version
    }

    /// Returns the head.
    pub fn head(&self) -> &Head {
        &self.head
    }

    /// Returns the head as stored, empty for version zero.
    pub fn head_bytes(&self) -> &Arc<[u8]> {
        &self.head_bytes
    }

    /// Returns a part as stored.
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
    /// Returns an error if a part can't be parsed, has another name than the head gives, or holds
    /// an item that another part holds as well.
    pub fn document(&self) -> Result<Document, Error> {
        let mut document = Document::default();
        for reference in &self.head.parts {
            let part = self.parse_part(reference)?;
            if !part::join(&mut document, part.content) {
                return Err(twice(&reference.name));
            }
        }
        Ok(document)
    }

    /// Parses, checks and compiles the configuration.
    ///
    /// # Errors
    ///
    /// Returns an error as [`document`](Self::document) does, or if the document has problems.
    pub fn snapshot(&self) -> Result<Snapshot, Error> {
        let document = self.document()?;
        let compiled = Snapshot::compile(self.version(), &document);
        compiled.map_err(|error| unsound(&error))
    }

    /// Compiles the configuration, and takes from an earlier version what has not changed.
    ///
    /// `compiled` is the snapshot of `earlier`. Only the parts that differ are parsed, unless one
    /// of them holds something else than workspaces.
    ///
    /// # Errors
    ///
    /// Returns an error as [`snapshot`](Self::snapshot) does.
    pub fn snapshot_incremental(
        &self,
        earlier: &Self,
        compiled: &Snapshot,
    ) -> Result<Snapshot, Error> {
        let (old, new) = (earlier.references(self), self.references(earlier));
        let all = old.iter().chain(&new);
        let only_workspaces = all.clone().all(|part| part::holds_workspaces(&part.name));
        if !only_workspaces || earlier.version() != compiled.version() {
            return self.snapshot();
        }
        let removed = earlier.parse_workspaces(&old)?.into_keys().collect();
        let changed = self.parse_workspaces(&new)?;
        let snapshot = compiled.with_workspaces(self.version(), &removed, &changed);
        let snapshot = snapshot.map_err(|error| unsound(&error))?;
        let mut pairs = snapshot.workspaces.windows(2);
        if pairs.any(|pair| pair[0].name == pair[1].name) {
            return Err(twice("document"));
        }
        Ok(snapshot)
    }

    /// Returns the parts that another version doesn't have.
    fn references(&self, other: &Self) -> Vec<&Reference> {
        let parts = self.head.parts.iter();
        parts
            .filter(|part| !other.parts.contains_key(&part.digest))
            .collect()
    }

    fn parse_workspaces(&self, parts: &[&Reference]) -> Result<Workspaces, Error> {
        let mut document = Document::default();
        for reference in parts {
            let part = self.parse_part(reference)?;
            if !part::join(&mut document, part.content) {
                return Err(twice(&reference.name));
            }
        }
        Ok(document.workspaces)
    }

    fn parse_part(&self, reference: &Reference) -> Result<Part, Error> {
        let bytes = self.parts.get(&reference.digest).map(AsRef::as_ref);
        let malformed = |message| Error::new(ErrorKind::Malformed, &reference.name, message);
        let part: Part = serde_json::from_slice(bytes.unwrap_or_default())
            .map_err(|error| malformed(shown(&error)))?;
        if part.name != reference.name {
            return Err(malformed("the part has another name".to_owned()));
        }
        Ok(part)
    }
}

fn twice(place: &str) -> Error {
    Error::new(ErrorKind::Malformed, place, "an item is in two parts")
}

fn unsound(error: &snapshot::Error) -> Error {
    Error::new(ErrorKind::InvalidDocument, "document", error.to_string())
}

fn shown(error: &serde_json::Error) -> String {
    key::redact_value(&error.to_string())
}

fn check_part(reference: &Reference, bytes: Option<Arc<[u8]>>) -> Result<Arc<[u8]>, Error> {
    let missing = || Error::new(ErrorKind::Incomplete, &reference.name, "no such part");
    let bytes = bytes.ok_or_else(missing)?;
    if part::digest(&bytes) == reference.digest {
        return Ok(bytes);
    }
    let message = "the bytes don't have the digest that the head gives";
    Err(Error::new(ErrorKind::Mismatched, &reference.name, message))
}
