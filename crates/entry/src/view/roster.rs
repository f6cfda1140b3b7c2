//! Instances that the store lists, and those that may still hold a primary lease without being listed.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use filbertbay_coordination::succession::MAX_PRIMARY_LEASE;
use serde::{Deserialize, Serialize};

/// Stored entry of an instance.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct InstanceEntry {
    /// Address for calls from other instances.
    pub address: SocketAddr,
    /// Data centre of the instance.
    pub data_centre: Arc<str>,
    /// Incarnation, which grows with each start.
    pub incarnation: u64,
    /// Processor time of the instance in thousandths of a core; zero if it is of an earlier version,
    /// which takes no statements of others.
    #[serde(default)]
    pub weight: u32,
    /// Whether the process uses no primary any more and is about to exit.
    #[serde(default)]
    pub is_stopped: bool,
}

/// Instances by name, with the former ones whose primary lease may still be valid.
#[derive(Debug, Default)]
pub struct Roster {
    listed: BTreeMap<Arc<str>, InstanceEntry>,
    /// Entries that were removed or replaced, with the time at which that was seen.
    former: Vec<(Arc<str>, InstanceEntry, Instant)>,
}

impl Roster {
    /// Applies the entry of an instance.
    ///
    /// An entry at the same address ends the one before: the process listens there, so the former
    /// one has ended. One at another address does not, as the former process may be cut off.
    pub fn put(&mut self, now: Instant, name: &Arc<str>, entry: InstanceEntry) {
        if let Some(last) = self.listed.remove(name) {
            self.former.push((Arc::clone(name), last, now));
        }
        self.former
            .retain(|(other, former, _)| other != name || former.address != entry.address);
        if !entry.is_stopped {
            self.listed.insert(Arc::clone(name), entry);
        }
    }

    /// Removes the entry of an instance, whose process may still run.
    pub fn remove(&mut self, now: Instant, name: &Arc<str>) {
        if let Some(entry) = self.listed.remove(name) {
            self.former.push((Arc::clone(name), entry, now));
        }
    }

    /// Forgets former entries whose primary lease has expired.
    pub fn expire(&mut self, now: Instant) {
        self.former
            .retain(|(_, _, since)| now < *since + MAX_PRIMARY_LEASE);
    }

    /// Returns the instances that the store lists.
    pub fn listed(&self) -> &BTreeMap<Arc<str>, InstanceEntry> {
        &self.listed
    }

    /// Returns the instances whose primary lease may still be valid: those listed here or in `listing`,
    /// and those removed or replaced less than [`MAX_PRIMARY_LEASE`] ago.
    ///
    /// Two processes of one name are told apart by their addresses.
    pub fn possible_lease_holders<I>(&self, listing: I) -> BTreeMap<Arc<str>, InstanceEntry>
    where
        I: IntoIterator<Item = (Arc<str>, InstanceEntry)>,
    {
        let former = self.former.iter();
        let former = former.map(|(name, entry, _)| (Arc::clone(name), entry.clone()));
        let listed = self.listed.clone().into_iter();
        let mut by_address: BTreeMap<(Arc<str>, SocketAddr), InstanceEntry> = former
            .chain(listed)
            .chain(listing)
            .map(|(name, entry)| ((name, entry.address), entry))
            .collect();
        by_address.retain(|_, entry| !entry.is_stopped);
        let mut holders = BTreeMap::new();
        for ((name, address), entry) in by_address {
            let is_listed = self
                .listed
                .get(&name)
                .is_none_or(|known| known.address == address);
            let label = if is_listed && !holders.contains_key(&name) {
                name
            } else {
                format!("{name}@{address}").into()
            };
            holders.insert(label, entry);
        }
        holders
    }
}
