//! What a view keeps against a store that has returned from a copy.
//!
//! Revisions order items only in one era. Across eras a configuration is compared by its version, a
//! record of a primary by fencing token and number of changes, a replica set by its number of changes, an
//! allocation by its epoch, the record of usage by its last window. A value that
//! is newer than that of the copy is kept at the stored revision, so that it can be written over it.
//! Operators and endpoints write their values again; until then evacuations and drains are kept.

use std::collections::{BTreeMap, BTreeSet};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;
use std::time::{Duration, Instant};

use filbertbay_coordination::share::Allocation;
use filbertbay_coordination::succession::{PrimaryRecord, replica_set};
use filbertbay_coordination::usage;

use super::{
    ALLOCATION_KEY, Change, PRIMARY_RECORD_PREFIX, REPLICA_SET_PREFIX, USAGE_RECORD_KEY, View,
};
use crate::store::{Dialect, Item, KeyKind, era_of};

/// Time for which an evacuation that the copy lacks is kept. Operators write it again before.
const EVACUATION_RETENTION: Duration = Duration::from_secs(15);

/// Time after the start of an era during which an endpoint that drained before counts as draining,
/// since its entry may be that of the copy.
const DRAIN_RETENTION: Duration = Duration::from_secs(5);

/// State of a [`View`] that concerns the eras of the store.
#[derive(Debug, Default)]
pub(super) struct Remembered {
    era_since: Option<Instant>,
    confirmed_era: u64,
    /// Keys whose value in the store is older than the one known here.
    outdated: BTreeSet<Arc<str>>,
    /// Evacuations that the copy lacks, by data centre, with the time until which they are kept.
    evacuations: BTreeMap<Arc<str>, Instant>,
    /// Entries of endpoints that may be of the copy and are not believed yet, by key.
    withheld: BTreeMap<Arc<str>, Item>,
}

impl Remembered {
    pub(super) fn begin_era(&mut self, now: Instant) {
        self.era_since = Some(now);
    }

    pub(super) fn confirm_era(&mut self, era: u64) {
        self.confirmed_era = self.confirmed_era.max(era);
    }

    /// Records that the store holds the newest known value of a key, or that none is known.
    pub(super) fn forget(&mut self, key: &str) {
        self.outdated.remove(key);
        self.withheld.remove(key);
    }

    /// Keeps the evacuations for the whole time from `now` on, because operators can't write them again
    /// while the store is unreachable.
    pub(super) fn extend_evacuations(&mut self, now: Instant) {
        for until in self.evacuations.values_mut() {
            *until = now + EVACUATION_RETENTION;
        }
    }

    /// Removes and returns the data centres whose evacuation was not written again.
    pub(super) fn expire_evacuations(&mut self, now: Instant) -> Vec<Arc<str>> {
        let due = self.evacuations.iter().filter(|(_, until)| now >= **until);
        let due: Vec<Arc<str>> = due.map(|(name, _)| Arc::clone(name)).collect();
        for name in &due {
            self.evacuations.remove(name);
        }
        due
    }
}

/// Returns whether an instance wrote the key and remembers its value over eras.
fn is_own_record(key: &str) -> bool {
    key == ALLOCATION_KEY
        || key == USAGE_RECORD_KEY
        || key.starts_with(PRIMARY_RECORD_PREFIX)
        || key.starts_with(REPLICA_SET_PREFIX)
}

/// Returns whether `older` is a usable value of an own record that precedes `newer`.
fn is_older_record(key: &str, older: &[u8], newer: &[u8]) -> bool {
    if key == ALLOCATION_KEY {
        let epoch = |value: &[u8]| {
            let allocation = serde_json::from_slice::<Allocation>(value).ok();
            allocation.filter(Allocation::is_valid).map(|one| one.epoch)
        };
        return epoch(newer).is_some_and(|newer| epoch(older).is_none_or(|older| older < newer));
    }
    if key == USAGE_RECORD_KEY {
        let sealed = |value: &[u8]| {
            let record = serde_json::from_slice::<usage::Record>(value).ok();
            record.map(|one| one.sealed_through)
        };
        return sealed(newer).is_some_and(|newer| sealed(older).is_none_or(|older| older < newer));
    }
    if key.starts_with(REPLICA_SET_PREFIX) {
        let record = |value: &[u8]| serde_json::from_slice::<replica_set::Record>(value).ok();
        return record(newer)
            .is_some_and(|newer| record(older).is_none_or(|older| older.precedes(&newer)));
    }
    let record = |value: &[u8]| serde_json::from_slice::<PrimaryRecord>(value).ok();
    let Some(newer) = record(newer) else {
        return false;
    };
    record(older).is_none_or(|older| older.precedes(&newer))
}

impl View {
    /// Returns the newest era of the store whose listing is known.
    pub fn era(&self) -> u64 {
        era_of(self.revision)
    }

    /// Returns when the first listing of the current era was applied; `None` in era 0.
    pub fn era_since(&self) -> Option<Instant> {
        self.remembered.era_since
    }

    /// Returns whether the records of the current era were compared with what the instances remember.
    /// Always true in era 0.
    pub fn is_era_confirmed(&self) -> bool {
        self.remembered.confirmed_era >= self.era()
    }

    /// Returns the own records whose value in the store is older than the one known here. Their
    /// revision is the stored one, zero if the store lacks the key.
    pub fn outdated(&self) -> Vec<Item> {
        let keys = self.remembered.outdated.iter();
        keys.filter_map(|key| self.items.get(key).cloned())
            .collect()
    }

    /// Returns the records of primaries, replica sets and usage and the allocation of lanes, as known
    /// here.
    pub fn own_records(&self) -> Vec<Item> {
        let items = self.items.values();
        items
            .filter(|item| is_own_record(&item.key))
            .cloned()
            .collect()
    }

    /// Returns a digest of [`View::own_records`], equal in instances that know the same ones.
    pub fn records_digest(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        let records = self.items.values().filter(|item| is_own_record(&item.key));
        records.for_each(|item| (&item.key, &item.value).hash(&mut hasher));
        hasher.finish()
    }

    /// Applies a value of an own record that another instance remembers, or that replaces one of an
    /// earlier era, if it is newer than the one known here. It is then outdated in the store.
    pub fn remember(
        &mut self,
        now: Instant,
        key: &Arc<str>,
        value: Vec<u8>,
        dialect: &dyn Dialect,
    ) -> Vec<Change> {
        let mut changes = Vec::new();
        let known = self.items.get(key);
        let is_newer = known.is_none_or(|known| is_older_record(key, &known.value, &value));
        if !is_own_record(key) || !is_newer {
            return changes;
        }
        let revision = self.stored_revision(key);
        let item = Item {
            key: Arc::clone(key),
            value,
            revision,
        };
        self.items.remove(key);
        self.put(now, item, dialect, &mut changes);
        self.remembered.outdated.insert(Arc::clone(key));
        changes
    }

    /// Returns whether the known value of a key stays in force although a later era's value has a higher
    /// revision, because that value is of the copy. The known one is then kept at the new revision.
    pub(super) fn keep_newer(&mut self, now: Instant, item: &Item, dialect: &dyn Dialect) -> bool {
        if era_of(item.revision) == 0 {
            return false;
        }
        let Some(known) = self.items.get(&item.key) else {
            return false;
        };
        let is_kept = match dialect.classify_key(&item.key) {
            KeyKind::Catalog => {
                let version = dialect.catalog(&item.value).map(|catalog| catalog.version);
                let known = self.catalog.as_ref().map(|catalog| catalog.version);
                matches!((version, known), (Ok(version), Some(known)) if version < known)
            }
            KeyKind::Endpoint(id) => self.is_drain_of_copy(now, &id, item, dialect),
            KeyKind::Evacuation(data_centre) => {
                self.remembered.evacuations.remove(&data_centre);
                false
            }
            KeyKind::Other => {
                is_own_record(&item.key) && is_older_record(&item.key, &item.value, &known.value)
            }
        };
        if is_kept && let Some(known) = self.items.get_mut(&item.key) {
            known.revision = item.revision;
            if is_own_record(&item.key) {
                self.remembered.outdated.insert(Arc::clone(&item.key));
            } else if let KeyKind::Endpoint(_) = dialect.classify_key(&item.key) {
                let key = Arc::clone(&item.key);
                self.remembered.withheld.insert(key, item.clone());
            }
        }
        is_kept
    }

    /// Applies the entries of endpoints that were taken for those of a copy and have not been written
    /// again since, and returns the changes.
    pub fn apply_withheld(&mut self, now: Instant, dialect: &dyn Dialect) -> Vec<Change> {
        let since = self.remembered.era_since;
        let mut changes = Vec::new();
        if since.is_none_or(|since| now < since + DRAIN_RETENTION) {
            return changes;
        }
        for (key, item) in std::mem::take(&mut self.remembered.withheld) {
            self.items.remove(&key);
            self.put(now, item, dialect, &mut changes);
        }
        changes
    }

    /// Returns whether an entry that doesn't drain may be the copy of one that drained since.
    fn is_drain_of_copy(
        &mut self,
        now: Instant,
        id: &str,
        item: &Item,
        dialect: &dyn Dialect,
    ) -> bool {
        let since = self.remembered.era_since;
        if since.is_none_or(|since| now >= since + DRAIN_RETENTION) {
            return false;
        }
        let Some(entry) = self.endpoints.get_mut(id) else {
            return false;
        };
        let is_same = dialect.endpoint(id, &item.value).is_ok_and(|endpoint| {
            !endpoint.is_draining && endpoint.address == entry.endpoint.address
        });
        let is_kept = is_same && entry.draining_since.is_some();
        if is_kept {
            entry.gone_since = None;
        }
        is_kept
    }

    /// Returns whether the value of a key that a later era lacks stays in force.
    pub(super) fn keep_lost(
        &mut self,
        now: Instant,
        key: &Arc<str>,
        dialect: &dyn Dialect,
    ) -> bool {
        if is_own_record(key) {
            if let Some(item) = self.items.get_mut(key) {
                item.revision = 0;
            }
            self.remembered.outdated.insert(Arc::clone(key));
            return true;
        }
        if let KeyKind::Evacuation(data_centre) = dialect.classify_key(key) {
            let until = now + EVACUATION_RETENTION;
            self.remembered.evacuations.insert(data_centre, until);
            self.items.remove(key);
            return true;
        }
        false
    }
}
