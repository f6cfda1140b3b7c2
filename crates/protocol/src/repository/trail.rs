//! Audit trail of applied and refused patches.
//!
//! The entry of an applied patch is written twice: into the head, by the swap that applies the
//! patch, and then under a key of its own. The head evicts an entry only after its key is written,
//! so that a process that dies between the two writes loses nothing.

use std::collections::BTreeMap;

use filbertbay_state::audit::Entry;
use filbertbay_state::version::Version;

use super::{Error, ErrorKind, HEAD_KEY, Repository};
use crate::platform::ModifyIndex;

/// Key prefix of the applied entries, followed by the version.
const APPLIED_PREFIX: &str = "filbertbay/audit/applied/";

/// Key of the latest refused entries.
const REFUSED_KEY: &str = "filbertbay/audit/refused";

/// Number of applied entries to keep.
const MAX_APPLIED: u64 = 8_192;

/// Number of versions between two deletions of old entries.
const TRIM_INTERVAL: u64 = 64;

/// Number of refused entries to keep.
const MAX_REFUSED: usize = 256;

/// Maximum number of attempts to add a refused entry while other submitters change the key.
const MAX_ATTEMPTS: usize = 8;

impl Repository {
    /// Reads the audit trail: applied entries by version, then the latest refused ones.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform doesn't answer or a stored entry is invalid.
    pub async fn audit_trail(&self) -> Result<Vec<Entry>, Error> {
        let mut applied = BTreeMap::new();
        for stored in self.store.list(APPLIED_PREFIX).await? {
            let entry: Entry = parse(&stored.value)?;
            applied.insert(entry.to, entry);
        }
        if let Some(stored) = self.store.read(HEAD_KEY).await? {
            let head = filbertbay_state::bundle::parse_head(&stored.value)?;
            let patches = head.patches.into_iter();
            applied.extend(patches.map(|entry| (entry.to, entry)));
        }
        let (_, refused) = self.read_refused().await?;
        Ok(applied.into_values().chain(refused).collect())
    }

    /// Writes the entry of an applied patch under its own key, unless the key exists.
    pub(super) async fn record_applied(&self, entry: &Entry) -> Result<(), Error> {
        let value = to_bytes(entry)?;
        self.store
            .compare_and_swap(&applied_key(entry.to), value, ModifyIndex(0))
            .await?;
        Ok(())
    }

    /// Returns the entry of the patch that created version `to`, if the trail has it.
    pub(super) async fn find_applied(&self, to: Version) -> Result<Option<Entry>, Error> {
        let stored = self.store.read(&applied_key(to)).await?;
        stored.map(|stored| parse(&stored.value)).transpose()
    }

    /// Adds the entry of a refused patch and drops the oldest beyond [`MAX_REFUSED`].
    pub(super) async fn record_refused(&self, entry: &Entry) -> Result<(), Error> {
        for _ in 0..MAX_ATTEMPTS {
            let (index, mut entries) = self.read_refused().await?;
            entries.push(entry.clone());
            let excess = entries.len().saturating_sub(MAX_REFUSED);
            entries.drain(..excess);
            if self
                .store
                .compare_and_swap(REFUSED_KEY, to_bytes(&entries)?, index)
                .await?
            {
                return Ok(());
            }
        }
        Err(Error::new(
            ErrorKind::Unanswered,
            "the refusal was not recorded",
        ))
    }

    /// Deletes entries more than [`MAX_APPLIED`] versions old, once every [`TRIM_INTERVAL`] versions.
    ///
    /// Stops at the first error; the next deletion retries.
    pub(super) async fn trim_applied(&self, current: Version) {
        if !current.0.is_multiple_of(TRIM_INTERVAL) || current.0 <= MAX_APPLIED {
            return;
        }
        let oldest = applied_key(Version(current.0 - MAX_APPLIED));
        let Ok(entries) = self.store.list(APPLIED_PREFIX).await else {
            return;
        };
        for entry in entries.iter().take_while(|entry| *entry.key < *oldest) {
            if self
                .store
                .compare_and_delete(&entry.key, entry.index)
                .await
                .is_err()
            {
                return;
            }
        }
    }

    async fn read_refused(&self) -> Result<(ModifyIndex, Vec<Entry>), Error> {
        match self.store.read(REFUSED_KEY).await? {
            Some(stored) => Ok((stored.index, parse(&stored.value)?)),
            None => Ok((ModifyIndex(0), Vec::new())),
        }
    }
}

fn applied_key(version: Version) -> String {
    format!("{APPLIED_PREFIX}{:020}", version.0)
}

fn parse<T>(bytes: &[u8]) -> Result<T, Error>
where
    T: for<'de> serde::Deserialize<'de>,
{
    let malformed = |error: serde_json::Error| {
        Error::new(ErrorKind::Malformed, format!("audit entry: {error}"))
    };
    serde_json::from_slice(bytes).map_err(malformed)
}

pub(super) fn to_bytes<T>(value: &T) -> Result<Vec<u8>, Error>
where
    T: serde::Serialize,
{
    let malformed = |error: serde_json::Error| Error::new(ErrorKind::Malformed, error.to_string());
    serde_json::to_vec(value).map_err(malformed)
}
