//! Local view of the store, kept up to date by a watch or by snapshots from other instances.
//!
//! The raw items are kept beside the decoded values, so that instances that can't reach the store
//! can copy them. An item is only replaced by one of a higher revision, so the configuration never
//! reverts while the process runs. After the store has returned from a copy, `remembered` keeps what
//! the copy may not take back.

mod record;
mod remembered;
mod roster;

pub use self::record::VersionedRecord;
pub use self::roster::{InstanceEntry, Roster};

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use filbertbay_coordination::share::Allocation;
use filbertbay_coordination::succession::extent::Extent;
use filbertbay_coordination::succession::replica_set;
use filbertbay_coordination::succession::{Phase, PrimaryLease};
use filbertbay_coordination::usage::Record;
use filbertbay_state::status::Role;
use serde::{Deserialize, Serialize};

use crate::catalog::Catalog;
use crate::endpoint::Endpoint;
use crate::store::{Dialect, Event, Item, KeyKind, Listing, era_of};

/// Prefix of the keys that instances write.
pub const PREFIX: &str = "filbertbay/";

/// Prefix of the records of the primaries, followed by the service.
pub const PRIMARY_RECORD_PREFIX: &str = "filbertbay/lead/";

/// Prefix of the records of the members that may hold acknowledged commits, followed by the service.
pub const REPLICA_SET_PREFIX: &str = "filbertbay/replicas/";

/// Prefix of the entries of instances, followed by the name.
pub const INSTANCE_PREFIX: &str = "filbertbay/instance/";

/// Key of the promotion lock.
pub const PROMOTION_LOCK_KEY: &str = "filbertbay/holder";

/// Key of the usage lock, which names the instance that reports usage.
pub const USAGE_LOCK_KEY: &str = "filbertbay/reporter";

/// Key of the record of sealed usage windows.
pub const USAGE_RECORD_KEY: &str = "filbertbay/usage";

/// Key of the allocation of rate limit lanes to instances.
pub const ALLOCATION_KEY: &str = "filbertbay/shares";

/// Key of the newest era in which the records were confirmed, see [`crate::era`].
pub const ERA_KEY: &str = "filbertbay/era";

/// Age of the contact with the store up to which a change counts from when it is seen. The margin at
/// the end of a drain period covers this age.
const MAX_USUAL_CONTACT_AGE: Duration = Duration::from_millis(2_500);

/// Time for which an endpoint whose entry was removed is still used. Entries that expired while the
/// store was unavailable are written again about two seconds after its return.
const GONE_ENDPOINT_RETENTION: Duration = Duration::from_millis(2_300);

/// Stored value of a lock, which names the instance that holds it.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct LockHolder {
    /// Name of the instance that holds the lock.
    pub instance: Arc<str>,
}

/// Stored value of [`ERA_KEY`].
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ConfirmedEra {
    /// Newest era whose records were compared with what the instances remember.
    pub era: u64,
}

/// Endpoint with the times at which its drain and the removal of its entry were first seen.
#[derive(Clone, Debug)]
struct EndpointEntry {
    endpoint: Rc<Endpoint>,
    draining_since: Option<Instant>,
    gone_since: Option<Instant>,
}

/// Change of the view that other tasks of the process act on.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Change {
    /// The configuration changed to the version.
    Catalog(u64),
    /// An endpoint was added, changed or removed.
    Endpoint(Arc<str>),
    /// The evacuation of a data centre began or ended.
    Evacuation(Arc<str>),
    /// The record of a primary changed.
    PrimaryRecord(Arc<str>),
    /// The record of the members of a service that may hold acknowledged commits changed.
    ReplicaSet {
        /// Service of the members.
        service: Arc<str>,
        /// Whether an operator has accepted a loss since the last known record.
        is_loss_accepted: bool,
    },
    /// An instance was added, changed or removed.
    Instance(Arc<str>),
    /// The holder of the promotion lock changed.
    PromotionLock,
    /// The holder of the usage lock changed.
    UsageLock,
    /// The record of sealed usage windows changed.
    UsageRecord,
    /// The allocation of rate limit lanes changed.
    Allocation,
    /// The records of the era were confirmed.
    EraConfirmed(u64),
    /// The value of the key is invalid, for the given reason.
    Unusable(Arc<str>, String),
}

/// Local view of the store.
#[derive(Default)]
pub struct View {
    items: BTreeMap<Arc<str>, Item>,
    revision: u64,
    /// Lease of this instance to use primaries.
    pub primary_lease: PrimaryLease,
    catalog: Option<Rc<Catalog>>,
    endpoints: BTreeMap<Arc<str>, EndpointEntry>,
    evacuated: BTreeSet<Arc<str>>,
    primary_records: BTreeMap<Arc<str>, VersionedRecord>,
    replica_sets: BTreeMap<Arc<str>, Rc<replica_set::Record>>,
    /// Instances, listed and former.
    pub roster: Roster,
    /// Holder of each lock with the revision of its entry, by key.
    lock_holders: BTreeMap<Arc<str>, (LockHolder, u64)>,
    usage_record: Option<Rc<Record>>,
    allocation: Option<Arc<Allocation>>,
    remembered: remembered::Remembered,
}

impl std::fmt::Debug for View {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("View").finish_non_exhaustive()
    }
}

impl View {
    /// Applies a full listing and returns the changes; items that it lacks have been removed.
    pub fn apply_listing(
        &mut self,
        now: Instant,
        listing: Listing,
        dialect: &dyn Dialect,
    ) -> Vec<Change> {
        let listed: BTreeSet<Arc<str>> = listing
            .items
            .iter()
            .map(|item| Arc::clone(&item.key))
            .collect();
        let gone = self.items.values().filter(|item| {
            // An item above the listing's revision was added by a later event.
            !listed.contains(&item.key) && item.revision <= listing.revision
        });
        let revision = listing.revision;
        let gone = gone.map(|item| Event::Removed(Arc::clone(&item.key), revision));
        let events: Vec<Event> = gone.collect();
        if era_of(revision) > self.era() {
            self.remembered.begin_era(now);
        }
        let mut changes = self.apply_events(now, events, 0, dialect);
        let puts = listing.items.into_iter().map(Event::Put).collect();
        changes.extend(self.apply_events(now, puts, revision, dialect));
        changes
    }

    /// Applies events up to a revision and returns the changes; events of revisions up to which all
    /// changes are known and events older than a known item are ignored.
    pub fn apply_events(
        &mut self,
        now: Instant,
        events: Vec<Event>,
        revision: u64,
        dialect: &dyn Dialect,
    ) -> Vec<Change> {
        let mut changes = Vec::new();
        for event in events {
            match event {
                // Replaced or removed since, so the sender is behind this instance.
                Event::Put(item) if item.revision <= self.revision => {}
                Event::Put(item) => self.put(now, item, dialect, &mut changes),
                Event::Removed(key, revision) => {
                    let known = self.items.get(&key).map(|item| item.revision);
                    let Some(known) = known.filter(|known| *known <= revision) else {
                        continue;
                    };
                    let is_lost = era_of(revision) > era_of(known);
                    if is_lost && self.keep_lost(now, &key, dialect) {
                        continue;
                    }
                    self.items.remove(&key);
                    self.remembered.forget(&key);
                    self.remove(now, &key, dialect, &mut changes);
                }
            }
        }
        self.revision = self.revision.max(revision);
        changes
    }

    fn put(&mut self, now: Instant, item: Item, dialect: &dyn Dialect, changes: &mut Vec<Change>) {
        let known = self.items.get(&item.key);
        if known.is_some_and(|known| item.revision <= known.revision) {
            return;
        }
        if self.keep_newer(now, &item, dialect) {
            return;
        }
        self.remembered.forget(&item.key);
        let key = Arc::clone(&item.key);
        let change = match dialect.classify_key(&key) {
            KeyKind::Catalog => self.put_catalog(&item, dialect),
            KeyKind::Endpoint(id) => self.put_endpoint(now, id, &item, dialect),
            KeyKind::Evacuation(data_centre) => {
                self.evacuated.insert(Arc::clone(&data_centre));
                Ok(Some(Change::Evacuation(data_centre)))
            }
            KeyKind::Other => self.put_instance_key(now, &item),
        };
        match change {
            Ok(change) => changes.extend(change),
            Err(problem) => changes.push(Change::Unusable(Arc::clone(&key), problem)),
        }
        self.items.insert(key, item);
    }

    fn put_catalog(
        &mut self,
        item: &Item,
        dialect: &dyn Dialect,
    ) -> Result<Option<Change>, String> {
        let catalog = dialect.catalog(&item.value)?;
        let version = catalog.version;
        self.catalog = Some(Rc::new(catalog));
        Ok(Some(Change::Catalog(version)))
    }

    fn put_endpoint(
        &mut self,
        now: Instant,
        id: Arc<str>,
        item: &Item,
        dialect: &dyn Dialect,
    ) -> Result<Option<Change>, String> {
        let endpoint = match dialect.endpoint(&id, &item.value) {
            Ok(endpoint) => endpoint,
            Err(problem) => {
                // Only the endpoint itself writes a valid entry, so an invalid one names no endpoint.
                self.endpoints.remove(&id);
                return Err(problem);
            }
        };
        let old = self.endpoints.get_mut(&id);
        if let Some(old) = old
            && old.gone_since.is_none()
            && old.endpoint.serves_like(&endpoint)
        {
            old.endpoint = Rc::new(endpoint);
            return Ok(None);
        }
        let old = self.endpoints.get(&id);
        let since = old
            .and_then(|old| old.draining_since)
            .unwrap_or_else(|| self.earliest_change(now));
        let draining_since = endpoint.is_draining.then_some(since);
        let entry = EndpointEntry {
            endpoint: Rc::new(endpoint),
            draining_since,
            gone_since: None,
        };
        self.endpoints.insert(Arc::clone(&id), entry);
        Ok(Some(Change::Endpoint(id)))
    }

    /// Returns the time since which a change that is seen at `now` may have been in force. After a
    /// while without contact it may be as old as the last contact.
    fn earliest_change(&self, now: Instant) -> Instant {
        let age = self.primary_lease.contact_age(now).unwrap_or_default();
        if age < MAX_USUAL_CONTACT_AGE {
            return now;
        }
        now.checked_sub(age).unwrap_or(now)
    }

    /// Decodes and stores a value that instances write.
    fn put_instance_key(&mut self, now: Instant, item: &Item) -> Result<Option<Change>, String> {
        let unreadable = |error: serde_json::Error| error.to_string();
        let key = item.key.as_ref();
        if let Some(service) = key.strip_prefix(PRIMARY_RECORD_PREFIX) {
            let service: Arc<str> = service.into();
            let record = serde_json::from_slice(&item.value).map_err(unreadable)?;
            let revision = item.revision;
            let known = self.primary_records.get(&service);
            if known.is_some_and(|known| known.record == record) {
                return Ok(None);
            }
            let stored = VersionedRecord {
                record,
                revision,
                known_since: now,
            };
            self.primary_records.insert(Arc::clone(&service), stored);
            return Ok(Some(Change::PrimaryRecord(service)));
        }
        if let Some(service) = key.strip_prefix(REPLICA_SET_PREFIX) {
            return self.put_replica_set(service.into(), &item.value).map(Some);
        }
        if let Some(name) = key.strip_prefix(INSTANCE_PREFIX) {
            let name: Arc<str> = name.into();
            let entry = serde_json::from_slice(&item.value).map_err(unreadable)?;
            self.roster.put(now, &name, entry);
            return Ok(Some(Change::Instance(name)));
        }
        if let Some(change) = lock_change(key) {
            let holder = serde_json::from_slice(&item.value).map_err(unreadable)?;
            self.lock_holders
                .insert(Arc::clone(&item.key), (holder, item.revision));
            return Ok(Some(change));
        }
        if key == USAGE_RECORD_KEY {
            let record = serde_json::from_slice(&item.value).map_err(unreadable)?;
            self.usage_record = Some(Rc::new(record));
            return Ok(Some(Change::UsageRecord));
        }
        if key == ALLOCATION_KEY {
            let allocation: Allocation = serde_json::from_slice(&item.value).map_err(unreadable)?;
            if !allocation.is_valid() {
                return Err("the record of lane holders is inconsistent".to_owned());
            }
            self.allocation = Some(Arc::new(allocation));
            return Ok(Some(Change::Allocation));
        }
        if key == ERA_KEY {
            let confirmed: ConfirmedEra =
                serde_json::from_slice(&item.value).map_err(unreadable)?;
            self.remembered.confirm_era(confirmed.era);
            return Ok(Some(Change::EraConfirmed(confirmed.era)));
        }
        Ok(None)
    }

    fn put_replica_set(&mut self, service: Arc<str>, value: &[u8]) -> Result<Change, String> {
        let record: replica_set::Record =
            serde_json::from_slice(value).map_err(|error| error.to_string())?;
        let last = record.accepted_losses.last().cloned();
        let known = self
            .replica_sets
            .insert(Arc::clone(&service), Rc::new(record));
        let is_loss_accepted =
            known.is_some_and(|known| known.accepted_losses.last() != last.as_ref());
        Ok(Change::ReplicaSet {
            service,
            is_loss_accepted,
        })
    }

    fn remove(
        &mut self,
        now: Instant,
        key: &str,
        dialect: &dyn Dialect,
        changes: &mut Vec<Change>,
    ) {
        match dialect.classify_key(key) {
            // A configuration stays in force when its key is removed.
            KeyKind::Catalog => {}
            KeyKind::Endpoint(id) => {
                if let Some(entry) = self.endpoints.get_mut(&id) {
                    entry.gone_since.get_or_insert(now);
                    changes.push(Change::Endpoint(id));
                }
            }
            KeyKind::Evacuation(data_centre) => {
                self.evacuated.remove(&data_centre);
                changes.push(Change::Evacuation(data_centre));
            }
            KeyKind::Other => self.remove_instance_key(now, key, changes),
        }
    }

    fn remove_instance_key(&mut self, now: Instant, key: &str, changes: &mut Vec<Change>) {
        if let Some(service) = key.strip_prefix(PRIMARY_RECORD_PREFIX) {
            self.primary_records.remove(service);
            changes.push(Change::PrimaryRecord(service.into()));
        } else if let Some(service) = key.strip_prefix(REPLICA_SET_PREFIX) {
            self.replica_sets.remove(service);
            changes.push(Change::ReplicaSet {
                service: service.into(),
                is_loss_accepted: false,
            });
        } else if let Some(name) = key.strip_prefix(INSTANCE_PREFIX) {
            let name: Arc<str> = name.into();
            self.roster.remove(now, &name);
            changes.push(Change::Instance(name));
        } else if let Some(change) = lock_change(key) {
            self.lock_holders.remove(key);
            changes.push(change);
        } else if key == USAGE_RECORD_KEY {
            self.usage_record = None;
            changes.push(Change::UsageRecord);
        } else if key == ALLOCATION_KEY {
            self.allocation = None;
            changes.push(Change::Allocation);
        }
    }

    /// Removes endpoints that stayed removed and instances whose primary lease has expired, and returns
    /// the ids of these endpoints.
    ///
    /// While the store is unreachable (`is_connected` is false), the last known endpoints stay.
    pub fn expire(&mut self, now: Instant, is_connected: bool) -> Vec<Arc<str>> {
        self.roster.expire(now);
        if !is_connected {
            self.remembered.extend_evacuations(now);
            return Vec::new();
        }
        for data_centre in self.remembered.expire_evacuations(now) {
            self.evacuated.remove(&data_centre);
        }
        let is_gone = |entry: &EndpointEntry| {
            entry
                .gone_since
                .is_some_and(|since| now >= since + GONE_ENDPOINT_RETENTION)
        };
        let gone = self.endpoints.iter().filter(|(_, entry)| is_gone(entry));
        let gone: Vec<Arc<str>> = gone.map(|(id, _)| Arc::clone(id)).collect();
        for id in &gone {
            self.endpoints.remove(id);
        }
        gone
    }

    /// Returns the revision up to which all changes are known.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns which writes of the store are known, including items that another instance sent before the
    /// watch reported them.
    pub fn extent(&self) -> Extent {
        let items = self.items.values();
        let ahead = items.filter(|item| item.revision > self.revision);
        let ahead = ahead.map(|item| (Arc::clone(&item.key), item.revision));
        Extent::new(self.revision, ahead)
    }

    /// Returns all items, for an instance that can't reach the store.
    pub fn listing(&self) -> Listing {
        Listing {
            items: self.items.values().cloned().collect(),
            revision: self.revision,
        }
    }

    /// Returns the item with the key.
    pub fn item(&self, key: &str) -> Option<&Item> {
        self.items.get(key)
    }

    /// Returns the configuration in force.
    pub fn catalog(&self) -> Option<&Rc<Catalog>> {
        self.catalog.as_ref()
    }

    /// Returns the endpoint with the id.
    pub fn endpoint(&self, id: &str) -> Option<&Rc<Endpoint>> {
        self.endpoints.get(id).map(|entry| &entry.endpoint)
    }

    /// Returns the endpoints of a service.
    pub fn endpoints<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Rc<Endpoint>> {
        let entries = self.endpoints.values().map(|entry| &entry.endpoint);
        entries.filter(move |endpoint| endpoint.service.as_ref() == service)
    }

    /// Returns the endpoints of all services whose entries are present.
    pub fn listed_endpoints(&self) -> impl Iterator<Item = &Rc<Endpoint>> {
        let listed = self
            .endpoints
            .values()
            .filter(|entry| entry.gone_since.is_none());
        listed.map(|entry| &entry.endpoint)
    }

    /// Returns the time since which an endpoint has been draining.
    pub fn draining_since(&self, id: &str) -> Option<Instant> {
        self.endpoints
            .get(id)
            .and_then(|entry| entry.draining_since)
    }

    /// Returns whether an endpoint is unknown or its entry has been removed.
    pub fn is_gone(&self, id: &str) -> bool {
        self.endpoints
            .get(id)
            .is_none_or(|entry| entry.gone_since.is_some())
    }

    /// Returns whether operators have evacuated a data centre.
    pub fn is_evacuated(&self, data_centre: &str) -> bool {
        self.evacuated.contains(data_centre)
    }

    /// Returns the record of a service's primary.
    pub fn primary_record(&self, service: &str) -> Option<&VersionedRecord> {
        self.primary_records.get(service)
    }

    /// Returns the record of the members of a service that may hold acknowledged commits.
    pub fn replica_set(&self, service: &str) -> Option<&Rc<replica_set::Record>> {
        self.replica_sets.get(service)
    }

    /// Returns the revision at which the store holds a key, zero if it doesn't.
    pub fn stored_revision(&self, key: &str) -> u64 {
        self.items.get(key).map_or(0, |item| item.revision)
    }

    /// Returns the revision at which the record of a service's primary was first known, zero if there is
    /// none. Differs from the stored revision after the record was written again unchanged.
    pub fn record_revision(&self, service: &str) -> u64 {
        self.primary_records
            .get(service)
            .map_or(0, |stored| stored.revision)
    }

    /// Returns the primary of a service, unless it is being changed.
    ///
    /// While the service has no record, this is the only endpoint that reports the role of primary, or
    /// `None` if several do.
    pub fn primary(&self, service: &str) -> Option<Arc<str>> {
        if let Some(stored) = self.primary_records.get(service) {
            return match &stored.record.phase {
                Phase::Leading(id) => Some(Arc::clone(id)),
                Phase::Moving => None,
            };
        }
        let mut claimants = self
            .endpoints(service)
            .filter(|endpoint| endpoint.role == Role::Primary);
        let first = claimants.next()?;
        claimants.next().is_none().then(|| Arc::clone(&first.id))
    }

    /// Returns the instances that the store lists.
    pub fn peers(&self) -> &BTreeMap<Arc<str>, InstanceEntry> {
        self.roster.listed()
    }

    /// Returns the holder of the lock with the key and the revision of the entry.
    pub fn lock_holder(&self, key: &str) -> Option<&(LockHolder, u64)> {
        self.lock_holders.get(key)
    }

    /// Returns the record of sealed usage windows and its revision.
    pub fn usage_record(&self) -> Option<(Rc<Record>, u64)> {
        let record = self.usage_record.clone()?;
        Some((record, self.stored_revision(USAGE_RECORD_KEY)))
    }

    /// Returns the allocation of rate limit lanes to instances.
    pub fn allocation(&self) -> Option<&Arc<Allocation>> {
        self.allocation.as_ref()
    }
}

/// Returns the change that a new value of `key` means if it is the key of a lock.
fn lock_change(key: &str) -> Option<Change> {
    match key {
        PROMOTION_LOCK_KEY => Some(Change::PromotionLock),
        USAGE_LOCK_KEY => Some(Change::UsageLock),
        _ => None,
    }
}
