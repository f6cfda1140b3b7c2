//! Head of the configuration: the one value that a patch swaps.
//!
//! The head names its version and the digests of all parts, so that a version is there as a whole
//! or not at all. It also holds the audit entries of the latest patches: an applied patch and its
//! entry appear in the same swap.

use std::collections::{BTreeSet, VecDeque};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::audit::Entry;
use crate::version::Version;

/// Latest applied patches that the head holds.
pub const MAX_RECENT_PATCHES: usize = 32;

/// Time after which a part that has left the head may be deleted, in milliseconds.
pub const RETENTION_MS: u64 = 3_600_000;

/// Most retired parts that the head names; beyond it the oldest are deleted early.
pub const MAX_RETIRED: usize = 4_096;

/// Head of the configuration.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Head {
    /// Version of the configuration.
    pub version: Version,
    /// Parts of the version, in the order of their names.
    pub parts: Vec<Reference>,
    /// Entries of the latest applied patches, oldest first.
    pub patches: VecDeque<Entry>,
    /// Parts that have left the head and are not yet deleted, oldest first.
    pub retired: VecDeque<Retired>,
}

/// Name and digest of a part.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Reference {
    /// Name of the part.
    pub name: Arc<str>,
    /// Digest of the part as stored.
    pub digest: Arc<str>,
}

/// Part that has left the head.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Retired {
    /// Digest of the part as stored.
    pub digest: Arc<str>,
    /// When it left, in milliseconds since 1970.
    pub at: u64,
}

impl Head {
    /// Finds the entry of an applied patch among the latest.
    pub fn find_patch(&self, id: &str) -> Option<&Entry> {
        self.patches.iter().find(|entry| entry.patch.as_ref() == id)
    }

    /// Returns the entry that the next patch pushes out of the head.
    pub fn next_evicted(&self) -> Option<&Entry> {
        let full = self.patches.len() >= MAX_RECENT_PATCHES;
        self.patches.front().filter(|_| full)
    }

    /// Returns the retired parts that may be deleted at `now`, in milliseconds since 1970.
    pub fn deletable(&self, now: u64) -> impl Iterator<Item = &Retired> {
        let excess = self.retired.len().saturating_sub(MAX_RETIRED);
        let parts = self.retired.iter().enumerate();
        let due = move |index: usize, retired: &Retired| {
            index < excess || retired.at.saturating_add(RETENTION_MS) <= now
        };
        parts
            .filter(move |(index, retired)| due(*index, retired))
            .map(|(_, retired)| retired)
    }

    /// Returns the head that follows this one once a patch applies.
    ///
    /// `deleted` names the retired parts that the submitter has deleted.
    #[must_use]
    pub fn next(&self, parts: Vec<Reference>, entry: Entry, deleted: &BTreeSet<Arc<str>>) -> Self {
        let kept: BTreeSet<_> = parts.iter().map(|part| &part.digest).collect();
        let left = self
            .parts
            .iter()
            .filter(|part| !kept.contains(&part.digest));
        let at = entry.at;
        let retired = left.map(|part| Retired {
            digest: Arc::clone(&part.digest),
            at,
        });
        let earlier = self.retired.iter();
        let earlier = earlier
            .filter(|retired| !deleted.contains(&retired.digest))
            .cloned();
        let retired = earlier.chain(retired).collect();
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
