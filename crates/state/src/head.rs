//! Head of the stored configuration, which a patch replaces in one compare-and-swap.
//!
//! The head contains its version and the digests of all parts, so that a version becomes visible
//! completely or not at all. The head also contains the audit entries of the latest patches, so
//! that an applied patch and its entry become visible in the same swap.

use std::collections::{BTreeSet, VecDeque};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::audit::Entry;
use crate::version::Version;

/// Maximum number of applied patches whose audit entries the head retains.
pub const MAX_RECENT_PATCHES: usize = 32;

/// Time for which a retired part is retained, in milliseconds.
pub const RETENTION_MS: u64 = 3_600_000;

/// Maximum number of retired parts; beyond it, the oldest may be deleted before [`RETENTION_MS`].
pub const MAX_RETIRED: usize = 4_096;

/// Head of the configuration: the manifest of its current version.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Head {
    /// Version of the configuration.
    pub version: Version,
    /// Parts of the version, sorted by name.
    pub parts: Vec<Reference>,
    /// Audit entries of the latest applied patches, oldest first.
    pub patches: VecDeque<Entry>,
    /// Parts that no longer belong to the version and are not yet deleted, oldest first.
    pub retired: VecDeque<Retired>,
}

/// Name and digest of a part.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Reference {
    /// Name of the part.
    pub name: Arc<str>,
    /// SHA-256 digest of the serialised part.
    pub digest: Arc<str>,
}

/// Part that belonged to an earlier version and may be deleted later.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Retired {
    /// SHA-256 digest of the serialised part.
    pub digest: Arc<str>,
    /// Time at which the part was retired, in milliseconds since 1970.
    pub at: u64,
}

impl Head {
    /// Returns the audit entry of the patch with the given id, if the head still contains the entry.
    pub fn find_patch(&self, id: &str) -> Option<&Entry> {
        self.patches.iter().find(|entry| entry.patch.as_ref() == id)
    }

    /// Returns the audit entry that the next patch evicts from the head; `None` while there is room.
    pub fn next_evicted(&self) -> Option<&Entry> {
        let full = self.patches.len() >= MAX_RECENT_PATCHES;
        self.patches.front().filter(|_| full)
    }

    /// Returns the retired parts that may be deleted at `now` (milliseconds since 1970).
    ///
    /// These are the parts whose retention has ended and the oldest beyond [`MAX_RETIRED`].
    pub fn deletable(&self, now: u64) -> impl Iterator<Item = &Retired> {
        let excess = self.retired.len().saturating_sub(MAX_RETIRED);
        let parts = self.retired.iter().enumerate();
        let is_deletable = move |index: usize, retired: &Retired| {
            index < excess || retired.at.saturating_add(RETENTION_MS) <= now
        };
        parts
            .filter(move |(index, retired)| is_deletable(*index, retired))
            .map(|(_, retired)| retired)
    }

    /// Returns the head of the next version, after an applied patch.
    ///
    /// `parts` are all parts of the next version, `entry` is the audit entry of the patch, and
    /// `deleted` contains the digests of the retired parts that the submitter has deleted. Parts of
    /// this head that are not among `parts` are retired at the time of `entry`.
    #[must_use]
    pub fn next(&self, parts: Vec<Reference>, entry: Entry, deleted: &BTreeSet<Arc<str>>) -> Self {
        let kept: BTreeSet<_> = parts.iter().map(|part| &part.digest).collect();
        let removed = self
            .parts
            .iter()
            .filter(|part| !kept.contains(&part.digest));
        let at = entry.at;
        let newly_retired = removed.map(|part| Retired {
            digest: Arc::clone(&part.digest),
            at,
        });
        let still_retired = self.retired.iter();
        let still_retired = still_retired
            .filter(|retired| !deleted.contains(&retired.digest))
            .cloned();
        let retired = still_retired.chain(newly_retired).collect();
        let mut patches = self.patches.clone();
        patches.push_back(entry);
        while patches.len() > MAX_RECENT_PATCHES {
            patches.pop_front();
        }
        Self {
            version: self.version.next(),
            parts,
            patches,
            retired,
        }
    }
}
