//! Options of the failover decider.

use std::time::Duration;

/// Options of a [`Decider`](super::Decider).
#[derive(Clone, Copy, Debug)]
pub struct Config {
    pub(super) lost_after: Duration,
    pub(super) isolated_after: Duration,
    pub(super) stalled_after: Duration,
    pub(super) stagger: Duration,
    pub(super) lease_timeout: Duration,
    pub(super) order_timeout: Duration,
    pub(super) straggler_wait: Duration,
    pub(super) drain_wait: Duration,
    pub(super) backoff: Duration,
    pub(super) refollow_after: Duration,
    pub(super) list_overlap: Duration,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            lost_after: Duration::from_secs(1),
            isolated_after: Duration::from_secs(3),
            stalled_after: Duration::from_secs(1),
            stagger: Duration::from_millis(200),
            lease_timeout: Duration::from_millis(200),
            order_timeout: Duration::from_millis(400),
            straggler_wait: Duration::from_millis(60),
            drain_wait: Duration::from_millis(60),
            backoff: Duration::from_millis(400),
            refollow_after: Duration::from_millis(400),
            list_overlap: Duration::from_secs(30),
        }
    }
}

impl Config {
    /// Sets for how long an unreachable primary must be silent to count as lost.
    #[must_use]
    pub fn lost_after(mut self, limit: Duration) -> Self {
        self.lost_after = limit;
        self
    }

    /// Sets the time after which a reachable primary is replaced because the replicas receive
    /// nothing from it.
    #[must_use]
    pub fn isolated_after(mut self, limit: Duration) -> Self {
        self.isolated_after = limit;
        self
    }

    /// Sets the additional delay of each rank before it proposes.
    #[must_use]
    pub fn stagger(mut self, step: Duration) -> Self {
        self.stagger = step;
        self
    }

    /// Sets how long a proposal waits for the platform's lease before it continues without one.
    #[must_use]
    pub fn lease_timeout(mut self, limit: Duration) -> Self {
        self.lease_timeout = limit;
        self
    }

    /// Sets how long a quorum needs a majority of both the old and the new member list after a
    /// change.
    ///
    /// The time must be longer than a configuration change takes to reach every instance.
    #[must_use]
    pub fn list_overlap(mut self, limit: Duration) -> Self {
        self.list_overlap = limit;
        self
    }

    /// Sets how long each step of a proposal waits for answers to its orders.
    #[must_use]
    pub fn order_timeout(mut self, limit: Duration) -> Self {
        self.order_timeout = limit;
        self
    }
}
