//! Rows of the membership table and the rumours that change them.

use std::time::Instant;

use filbertbay_state::instance::Instance;
use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

/// How an instance does, as others see it.
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
    /// Answers, or was never probed.
    Alive,
    /// Missed a probe; removed unless it refutes the suspicion.
    Suspect,
    /// Removed.
    Dead,
}

/// What one instance tells about another, or about itself.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct MembershipUpdate {
    /// Instance that the rumour is about.
    pub instance: Instance,
    /// Number that the instance itself raises within one incarnation.
    pub counter: u64,
    /// How it does.
    pub health: Health,
}

impl MembershipUpdate {
    /// Creates the first rumour of an instance.
    pub fn first(instance: Instance) -> Self {
        Self {
            instance,
            counter: 0,
            health: Health::Alive,
        }
    }

    /// Tells whether this rumour is newer than another one about the same instance.
    ///
    /// A later incarnation goes first, then a higher counter, then the worse health.
    pub fn supersedes(&self, other: &Self) -> bool {
        self.rank() > other.rank()
    }

    fn rank(&self) -> (u64, u64, Health) {
        (self.instance.incarnation, self.counter, self.health)
    }
}

#[derive(Debug)]
pub(super) struct Row {
    pub(super) rumour: MembershipUpdate,
    /// When the rumour came in.
    pub(super) since: Instant,
    /// When a message of the instance last came in.
    pub(super) heard: Option<Instant>,
    /// Messages that carried the rumour.
    pub(super) sends: u32,
}

impl Row {
    pub(super) fn new(rumour: MembershipUpdate, now: Instant) -> Self {
        Self {
            rumour,
            since: now,
            heard: None,
            sends: 0,
        }
    }

    pub(super) fn replace(&mut self, rumour: MembershipUpdate, now: Instant) {
        self.rumour = rumour;
        self.since = now;
        self.sends = 0;
    }

    /// Tells whether a message to an instance should carry the rumour.
    pub(super) fn is_due(&self, to: &str, limit: u32) -> bool {
        self.sends < limit || self.accuses(to)
    }

    /// Tells whether the rumour suspects or removes the instance that it would be sent to.
    pub(super) fn accuses(&self, to: &str) -> bool {
        self.rumour.health != Health::Alive && *self.rumour.instance.name == *to
    }

    pub(super) fn send(&mut self) -> MembershipUpdate {
        self.sends = self.sends.saturating_add(1);
        self.rumour.clone()
    }
}
