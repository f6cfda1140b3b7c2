//! Rows of the membership table and the gossiped updates that change them.

use std::time::Instant;

use filbertbay_state::instance::Instance;
use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

/// State of an instance according to the failure detector.
#[derive(
    Clone,
    Copy,
    Debug,
    Eq,
    PartialEq,
    Ord,
    PartialOrd,
    Hash,
    Serialize,
    Deserialize,
    Display,
    EnumString,
)]
#[serde(rename_all = "lowercase")]
#[strum(serialize_all = "lowercase")]
pub enum Health {
    /// Not suspected: acknowledges probes, or has not been probed yet.
    Alive,
    /// Left a probe unacknowledged; removed unless it refutes the suspicion in time.
    Suspect,
    /// Removed from the fleet.
    Dead,
}

/// Gossiped state of one instance.
///
/// Originates from the instance itself, from the platform's list of instances, or from another
/// instance that suspects or removes it.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct MembershipUpdate {
    /// Instance that the update is about.
    pub instance: Instance,
    /// Version of the state within one incarnation; raised only by the instance itself.
    pub counter: u64,
    /// State according to the failure detector of the update's origin.
    pub health: Health,
}

impl MembershipUpdate {
    /// Creates the initial update of an incarnation: alive, with counter zero.
    pub fn first(instance: Instance) -> Self {
        Self {
            instance,
            counter: 0,
            health: Health::Alive,
        }
    }

    /// Returns true if this update replaces `other`, an update about the same instance.
    ///
    /// The later incarnation takes precedence, then the higher counter, then the worse health.
    pub fn supersedes(&self, other: &Self) -> bool {
        self.precedence() > other.precedence()
    }

    fn precedence(&self) -> (u64, u64, Health) {
        (self.instance.incarnation, self.counter, self.health)
    }
}

/// Entry of the membership table: the current update about one instance.
#[derive(Debug)]
pub(super) struct Row {
    pub(super) update: MembershipUpdate,
    /// Time at which the update was applied.
    pub(super) updated_at: Instant,
    /// Arrival time of the instance's last message.
    pub(super) last_message_at: Option<Instant>,
    /// Number of times that the update was sent.
    pub(super) transmissions: u32,
}

impl Row {
    pub(super) fn new(update: MembershipUpdate, now: Instant) -> Self {
        Self {
            update,
            updated_at: now,
            last_message_at: None,
            transmissions: 0,
        }
    }

    pub(super) fn replace(&mut self, update: MembershipUpdate, now: Instant) {
        self.update = update;
        self.updated_at = now;
        self.transmissions = 0;
    }

    /// Returns true if a message to the instance `to` should carry the update.
    pub(super) fn should_send(&self, to: &str, limit: u32) -> bool {
        self.transmissions < limit || self.reports_failure_of(to)
    }

    /// Returns true if the update suspects or removes the instance `name`.
    pub(super) fn reports_failure_of(&self, name: &str) -> bool {
        self.update.health != Health::Alive && *self.update.instance.name == *name
    }

    /// Counts a transmission and returns the update to send.
    pub(super) fn next_transmission(&mut self) -> MembershipUpdate {
        self.transmissions = self.transmissions.saturating_add(1);
        self.update.clone()
    }
}
