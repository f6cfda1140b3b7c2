//! What the control thread publishes and traffic threads read.
//!
//! Each value is immutable once published and is replaced as a whole. A reader takes one atomic load
//! and never waits for control; a session that must notice a change subscribes to it.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Instant;

use arc_swap::ArcSwap;
use filbertbay_coordination::view;
use filbertbay_state::instance::Instance;
use filbertbay_state::snapshot::Snapshot;
use parking_lot::Mutex;
use tokio::sync::watch;

/// Group views by the name of the group; a view is replaced without touching the map.
type Groups = BTreeMap<Arc<str>, Arc<ArcSwap<view::Group>>>;

/// Shared state of one daemon, written by control and read by traffic.
#[derive(Debug)]
pub struct PublishedState {
    own: Instance,
    snapshot: watch::Sender<Snapshot>,
    groups: ArcSwap<Groups>,
    instances: ArcSwap<Vec<Instance>>,
    draining: watch::Sender<bool>,
    cut_off: watch::Sender<bool>,
    last_platform_contact: Mutex<Option<Instant>>,
}

impl PublishedState {
    /// Creates the shared state of an instance, with an empty configuration.
    pub fn new(own: Instance) -> Self {
        Self {
            instances: ArcSwap::from_pointee(vec![own.clone()]),
            own,
            snapshot: watch::Sender::new(Snapshot::empty()),
            groups: ArcSwap::default(),
            draining: watch::Sender::new(false),
            cut_off: watch::Sender::new(false),
            last_platform_contact: Mutex::default(),
        }
    }

    /// Returns this instance as it announces itself.
    pub fn local_instance(&self) -> &Instance {
        &self.own
    }

    /// Returns the configuration in force here.
    pub fn snapshot(&self) -> Snapshot {
        self.snapshot.borrow().clone()
    }

    /// Returns a receiver that wakes at each new configuration.
    pub fn subscribe_snapshot(&self) -> watch::Receiver<Snapshot> {
        self.snapshot.subscribe()
    }

    /// Puts a configuration in force if it is newer, and tells whether it was.
    pub fn set_snapshot(&self, snapshot: Snapshot) -> bool {
        self.snapshot.send_if_modified(|present| {
            let newer = snapshot.version() > present.version();
            if newer {
                *present = snapshot;
            }
            newer
        })
    }

    /// Returns the view of a group, if control has one.
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

    /// Drops the views of groups that `keep` refuses.
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

    /// Returns the live instances in the order of their names, this one included.
    pub fn instances(&self) -> Arc<Vec<Instance>> {
        self.instances.load_full()
    }

    /// Replaces the list of live instances.
    pub fn set_instances(&self, instances: Vec<Instance>) {
        self.instances.store(Arc::new(instances));
    }

    /// Tells whether this instance takes no new work.
    pub fn is_draining(&self) -> bool {
        *self.draining.borrow()
    }

    /// Lets this instance take no new work from now on.
    pub fn drain(&self) {
        self.draining.send_replace(true);
    }

    /// Returns a receiver that tells whether this instance may have missed that a key was withdrawn.
    pub fn subscribe_isolated(&self) -> watch::Receiver<bool> {
        self.cut_off.subscribe()
    }

    /// Sets whether this instance may have missed that a key was withdrawn.
    pub fn set_isolated(&self, cut_off: bool) {
        self.cut_off.send_if_modified(|present| {
            let changed = *present != cut_off;
            *present = cut_off;
            changed
        });
    }

    /// Returns when the platform last answered this instance.
    pub fn last_platform_contact(&self) -> Option<Instant> {
        *self.last_platform_contact.lock()
    }

    /// Notes that the platform answered this instance.
    pub fn record_platform_contact(&self, now: Instant) {
        let mut heard = self.last_platform_contact.lock();
        *heard = heard.max(Some(now));
    }
}
