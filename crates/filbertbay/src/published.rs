//! State that the control thread publishes to the threads that serve statements.
//!
//! Each value is immutable once published and is replaced as a whole. Readers of group views and of
//! the instance list use atomic loads and never wait for the control thread. Sessions that must
//! react to a change subscribe to it.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Instant;

use arc_swap::ArcSwap;
use filbertbay_coordination::view;
use filbertbay_state::instance::Instance;
use filbertbay_state::snapshot::Snapshot;
use parking_lot::Mutex;
use tokio::sync::watch;

/// Group views by group name; replacing the view of a known group leaves the map unchanged.
type Groups = BTreeMap<Arc<str>, Arc<ArcSwap<view::Group>>>;

/// Shared state of one daemon, written by the control thread and read by sessions.
#[derive(Debug)]
pub struct PublishedState {
    local_instance: Instance,
    snapshot: watch::Sender<Snapshot>,
    groups: ArcSwap<Groups>,
    instances: ArcSwap<Vec<Instance>>,
    draining: watch::Sender<bool>,
    isolated: watch::Sender<bool>,
    last_platform_contact: Mutex<Option<Instant>>,
}

impl PublishedState {
    /// Creates the shared state of an instance, with an empty configuration.
    pub fn new(local_instance: Instance) -> Self {
        Self {
            instances: ArcSwap::from_pointee(vec![local_instance.clone()]),
            local_instance,
            snapshot: watch::Sender::new(Snapshot::empty()),
            groups: ArcSwap::default(),
            draining: watch::Sender::new(false),
            isolated: watch::Sender::new(false),
            last_platform_contact: Mutex::default(),
        }
    }

    /// Returns this instance as it is registered with the platform.
    pub fn local_instance(&self) -> &Instance {
        &self.local_instance
    }

    /// Returns the configuration in force at this instance.
    pub fn snapshot(&self) -> Snapshot {
        self.snapshot.borrow().clone()
    }

    /// Returns a receiver of the configuration in force, notified of each change.
    pub fn subscribe_snapshot(&self) -> watch::Receiver<Snapshot> {
        self.snapshot.subscribe()
    }

    /// Replaces the configuration if `snapshot` is newer. Returns whether it was.
    pub fn set_snapshot(&self, snapshot: Snapshot) -> bool {
        self.snapshot.send_if_modified(|current| {
            let is_newer = snapshot.version() > current.version();
            if is_newer {
                *current = snapshot;
            }
            is_newer
        })
    }

    /// Returns the view of a group, if one was published.
    pub fn group(&self, name: &str) -> Option<Arc<view::Group>> {
        self.groups.load().get(name).map(|slot| slot.load_full())
    }

    /// Replaces the view of one group.
    pub fn set_group(&self, view: view::Group) {
        let view = Arc::new(view);
        if let Some(slot) = self.groups.load().get(&view.name) {
            return slot.store(view);
        }
        self.groups.rcu(|groups| {
            let mut groups = Groups::clone(groups);
            let slot = Arc::new(ArcSwap::new(Arc::clone(&view)));
            groups.insert(Arc::clone(&view.name), slot);
            groups
        });
    }

    /// Removes the views of groups for which `keep` returns false.
    pub fn retain_groups<F>(&self, keep: F)
    where
        F: Fn(&str) -> bool,
    {
        self.groups.rcu(|groups| {
            let mut groups = Groups::clone(groups);
            groups.retain(|name, _| keep(name));
            groups
        });
    }

    /// Returns the live instances, including this one, sorted by name.
    pub fn instances(&self) -> Arc<Vec<Instance>> {
        self.instances.load_full()
    }

    /// Replaces the list of live instances.
    pub fn set_instances(&self, instances: Vec<Instance>) {
        self.instances.store(Arc::new(instances));
    }

    /// Returns true if this instance is draining and takes no new work.
    pub fn is_draining(&self) -> bool {
        *self.draining.borrow()
    }

    /// Starts to drain this instance, which then takes no new work.
    pub fn drain(&self) {
        self.draining.send_replace(true);
    }

    /// Returns a receiver of whether this instance is isolated and may have missed the withdrawal
    /// of a key.
    pub fn subscribe_isolated(&self) -> watch::Receiver<bool> {
        self.isolated.subscribe()
    }

    /// Sets whether this instance is isolated and may have missed the withdrawal of a key.
    ///
    /// Receivers are notified only if the value changes.
    pub fn set_isolated(&self, isolated: bool) {
        self.isolated.send_if_modified(|current| {
            let changed = *current != isolated;
            *current = isolated;
            changed
        });
    }

    /// Returns the time of the platform's last response to this instance.
    pub fn last_platform_contact(&self) -> Option<Instant> {
        *self.last_platform_contact.lock()
    }

    /// Records that the platform responded to this instance at `now`.
    pub fn record_platform_contact(&self, now: Instant) {
        let mut last_contact = self.last_platform_contact.lock();
        *last_contact = last_contact.max(Some(now));
    }
}
