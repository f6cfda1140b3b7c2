//! Keys, leases and instances in memory.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

/// Index of the empty table, so that a call may wait for the first change above it.
const FIRST_INDEX: u64 = 1;

/// States of the list that are kept while it lags.
const KEPT_LISTS: usize = 1_024;

/// Value of a key.
#[derive(Clone, Debug)]
pub(crate) struct Slot {
    pub(crate) value: Vec<u8>,
    pub(crate) index: u64,
    pub(crate) lease: Option<String>,
}

#[derive(Debug)]
struct Lease {
    name: String,
    ttl: Duration,
    lapses: Instant,
}

#[derive(Clone, Debug)]
struct Service {
    meta: serde_json::Value,
    lapses: Instant,
}

type Services = BTreeMap<String, Service>;

/// Whole state of the stand-in.
#[derive(Debug)]
pub(crate) struct Table {
    index: u64,
    next_lease: u64,
    slots: BTreeMap<String, Slot>,
    leases: BTreeMap<String, Lease>,
    services: Services,
    lag: Duration,
    /// Earlier states of the list, with the moment at which each ended.
    earlier: VecDeque<(Instant, Services)>,
}

impl Default for Table {
    fn default() -> Self {
        Self {
            index: FIRST_INDEX,
            next_lease: 0,
            slots: BTreeMap::new(),
            leases: BTreeMap::new(),
            services: Services::new(),
            lag: Duration::ZERO,
            earlier: VecDeque::new(),
        }
    }
}

impl Table {
    pub(crate) fn index(&self) -> u64 {
        self.index
    }

    pub(crate) fn read(&self, key: &str) -> Option<&Slot> {
        self.slots.get(key)
    }

    pub(crate) fn list<'a>(
        &'a self,
        prefix: &'a str,
    ) -> impl Iterator<Item = (&'a String, &'a Slot)> {
        let from = self.slots.range(prefix.to_owned()..);
        from.take_while(move |(key, _)| key.starts_with(prefix))
    }

    /// Writes a key, if its index is `expected` where one is given.
    pub(crate) fn write(&mut self, key: &str, value: Vec<u8>, expected: Option<u64>) -> bool {
        if !self.has_index(key, expected) {
            return false;
        }
        let lease = self.slots.get(key).and_then(|slot| slot.lease.clone());
        self.put(key, value, lease);
        true
    }

    /// Deletes a key, if its index is `expected` where one is given.
    pub(crate) fn remove(&mut self, key: &str, expected: Option<u64>) -> bool {
        if !self.has_index(key, expected) {
            return false;
        }
        if self.slots.remove(key).is_some() {
            self.index += 1;
        }
        true
    }

    /// Takes a key for a lease; `None` if there is no such lease.
    pub(crate) fn acquire(&mut self, key: &str, value: Vec<u8>, lease: &str) -> Option<bool> {
        if !self.leases.contains_key(lease) {
            return None;
        }
        let holder = self.slots.get(key).and_then(|slot| slot.lease.as_deref());
        if holder.is_some_and(|holder| holder != lease) {
            return Some(false);
        }
        self.put(key, value, Some(lease.to_owned()));
        Some(true)
    }

    pub(crate) fn open_lease(&mut self, name: &str, ttl: Duration, now: Instant) -> String {
        self.next_lease += 1;
        let id = format!("lease-{}", self.next_lease);
        let lease = Lease {
            name: name.to_owned(),
            ttl,
            lapses: now + ttl,
        };
        self.leases.insert(id.clone(), lease);
        id
    }

    pub(crate) fn renew_lease(&mut self, id: &str, now: Instant) -> bool {
        let Some(lease) = self.leases.get_mut(id) else {
            return false;
        };
        lease.lapses = now + lease.ttl;
        true
    }

    /// Ends a lease and releases its keys, whose values stay.
    pub(crate) fn close_lease(&mut self, id: &str) {
        self.leases.remove(id);
        let held = |slot: &&mut Slot| slot.lease.as_deref() == Some(id);
        for slot in self.slots.values_mut().filter(held) {
            self.index += 1;
            slot.index = self.index;
            slot.lease = None;
        }
    }

    /// Ends the leases of a name or id.
    pub(crate) fn expire_lease(&mut self, name: &str) {
        let leases = self.leases.iter();
        let matching = leases.filter(|(id, lease)| id.as_str() == name || lease.name == name);
        let ids: Vec<_> = matching.map(|(id, _)| id.clone()).collect();
        for id in ids {
            self.close_lease(&id);
        }
    }

    /// Ends leases and registrations that were not renewed in time.
    pub(crate) fn sweep(&mut self, now: Instant) {
        let lapsed = self.leases.iter().filter(|(_, lease)| lease.lapses <= now);
        let ids: Vec<_> = lapsed.map(|(id, _)| id.clone()).collect();
        for id in ids {
            self.close_lease(&id);
        }
        if self.services.values().any(|service| service.lapses <= now) {
            self.keep_list(now);
            self.services.retain(|_, service| service.lapses > now);
        }
    }

    pub(crate) fn register(
        &mut self,
        id: &str,
        meta: serde_json::Value,
        ttl: Duration,
        now: Instant,
    ) {
        self.keep_list(now);
        let lapses = now + ttl;
        self.services
            .insert(id.to_owned(), Service { meta, lapses });
    }

    pub(crate) fn set_lag(&mut self, lag: Duration) {
        self.lag = lag;
    }

    /// Returns the list as it was one lag ago.
    pub(crate) fn instances(&self, now: Instant) -> Vec<serde_json::Value> {
        let shown = now.checked_sub(self.lag).unwrap_or(now);
        let earlier = self.earlier.iter().find(|(end, _)| *end > shown);
        let services = earlier.map_or(&self.services, |(_, services)| services);
        services
            .values()
            .map(|service| service.meta.clone())
            .collect()
    }

    fn keep_list(&mut self, now: Instant) {
        let kept = now.checked_sub(self.lag).unwrap_or(now);
        while self.earlier.front().is_some_and(|(end, _)| *end <= kept) {
            self.earlier.pop_front();
        }
        if self.lag.is_zero() {
            return;
        }
        if self.earlier.len() == KEPT_LISTS {
            self.earlier.pop_front();
        }
        self.earlier.push_back((now, self.services.clone()));
    }

    fn has_index(&self, key: &str, expected: Option<u64>) -> bool {
        let index = self.slots.get(key).map_or(0, |slot| slot.index);
        expected.is_none_or(|expected| expected == index)
    }

    fn put(&mut self, key: &str, value: Vec<u8>, lease: Option<String>) {
        self.index += 1;
        let index = self.index;
        let slot = Slot {
            value,
            index,
            lease,
        };
        self.slots.insert(key.to_owned(), slot);
    }
}
