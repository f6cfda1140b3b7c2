//! Safe change of the primary of a service whose members do not vote.
//!
//! The instance that changes a primary first writes to the store that the service is
//! [moving](Phase::Moving). An instance uses a primary only under a [`PrimaryLease`], which expires
//! [`BASE_PRIMARY_LEASE`] after the instance's last contact with the store. While the store is
//! unreachable, the lease is extended as long as half of the other instances keep confirming that
//! they know of no newer record, up to [`MAX_PRIMARY_LEASE`].
//!
//! Before another member is promoted, every instance must therefore have acknowledged that it no
//! longer uses the old primary, or its lease must have expired. The [`release::Barrier`] checks this.
//!
//! Safety depends neither on the time of day nor on correct membership. It depends only on the list
//! of instances that the store returned after the change, and on the instances that disappeared
//! from this list less than [`MAX_PRIMARY_LEASE`] ago.

pub mod extent;
pub mod overtaken;
pub mod promotion;
pub mod release;
pub mod replica_set;
pub mod successor;

use std::sync::Arc;
use std::time::{Duration, Instant};

use filbertbay_state::position::Term;
use serde::{Deserialize, Serialize};

/// Longest time since the last contact with the store for which an instance may use a primary.
///
/// The limit is longer than the store outages in the users' daily runs, which last 4 to 9 s.
pub const MAX_PRIMARY_LEASE: Duration = Duration::from_secs(10);

/// Time since the last contact with the store for which an instance may use a primary without
/// confirmation by other instances.
///
/// The time is longer than the 3 s that can pass between two answers of a watch.
pub const BASE_PRIMARY_LEASE: Duration = Duration::from_secs(4);

/// Time for which a confirmation by other instances extends a lease; twice the interval between
/// queries to them while the store is unreachable.
pub const PEER_CONFIRMATION_TTL: Duration = Duration::from_secs(2);

/// Consecutive failures after which a primary is suspected.
const SUSPECT_FAILURES: u32 = 2;

/// Time since the first failure before a primary is suspected, so that one dropped packet raises no
/// suspicion.
const SUSPECT_AFTER: Duration = Duration::from_millis(150);

/// State of a service's primary role.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// The primary is being changed; no instance may use any primary.
    Moving,
    /// This member is the primary.
    Leading(Arc<str>),
}

/// Stored record of the primary of a service.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct PrimaryRecord {
    /// Fencing token of the instance that wrote the record.
    pub fence: u64,
    /// Current state of the primary role.
    pub phase: Phase,
    /// Primary before the change, if one was known.
    pub from: Option<Arc<str>>,
    /// Instance that wrote the record.
    pub holder: Arc<str>,
    /// Number of changes of this record before this one.
    #[serde(default)]
    pub change: u64,
    /// Term that the primary stated when it was recorded, if it is known.
    #[serde(default)]
    pub term: Option<Term>,
    /// Member whose promotion was ordered and may still take effect, see [`promotion::ORDER_LIFETIME`].
    #[serde(default)]
    pub pending_order: Option<Arc<str>>,
}

impl PrimaryRecord {
    /// Returns whether this record was written before `other`, as far as fencing tokens and numbers of
    /// changes tell. Unlike revisions, these don't go back with a store that returns from a copy.
    pub fn precedes(&self, other: &Self) -> bool {
        (self.fence, self.change) < (other.fence, other.change)
    }
}

/// Lease of one instance to use primaries.
#[derive(Clone, Copy, Debug, Default)]
pub struct PrimaryLease {
    first_contact: Option<Instant>,
    last_contact: Option<Instant>,
    last_peer_confirmation: Option<Instant>,
    is_listed: bool,
    was_listed: bool,
    is_ended: bool,
}

impl PrimaryLease {
    /// Records that this instance knows the state of the store as of `at` or later.
    pub fn record_contact(&mut self, at: Instant) {
        self.first_contact.get_or_insert(at);
        self.last_contact = self.last_contact.max(Some(at));
    }

    /// Records that at `at` or later at least half of the other instances knew of no newer record
    /// than this instance knows now.
    pub fn record_peer_confirmation(&mut self, at: Instant) {
        self.last_peer_confirmation = self.last_peer_confirmation.max(Some(at));
    }

    /// Returns true if a confirmation by other instances will soon be needed to extend the lease.
    pub fn needs_peer_confirmation(&self, now: Instant) -> bool {
        let is_confirmation_old = self
            .confirmation_age(now)
            .is_none_or(|age| age >= PEER_CONFIRMATION_TTL / 4);
        self.is_contact_old(now) && is_confirmation_old
    }

    /// Records whether the store lists this instance.
    ///
    /// A change of primary waits only for listed instances, so the lease of an unlisted instance is
    /// not valid.
    pub fn set_listed(&mut self, is_listed: bool) {
        self.is_listed = is_listed;
        self.was_listed |= is_listed;
    }

    /// Returns whether this process may confirm the leases of others.
    ///
    /// An earlier process of this instance may have released a primary. This one knows of that for
    /// certain once it knows the store as of its own entry, which was written after its start. Before,
    /// it may know only what an instance that is behind has sent. A process that is about to exit is
    /// not asked to release primaries, so it may not know of a change.
    pub fn can_confirm(&self) -> bool {
        self.was_listed && !self.is_ended
    }

    /// Ends the lease for good, for a process that is about to exit.
    pub fn end(&mut self) {
        self.is_ended = true;
    }

    /// Returns true if primaries may be used at `now`.
    pub fn is_valid(&self, now: Instant) -> bool {
        let is_listed = self.is_listed && !self.is_ended;
        let Some(last_contact) = self.last_contact.filter(|_| is_listed) else {
            return false;
        };
        let is_peer_confirmed = self
            .last_peer_confirmation
            .is_some_and(|at| now < at + PEER_CONFIRMATION_TTL);
        now < last_contact + BASE_PRIMARY_LEASE
            || (is_peer_confirmed && now < last_contact + MAX_PRIMARY_LEASE)
    }

    /// Returns the time of the first contact with the store.
    pub fn first_contact(&self) -> Option<Instant> {
        self.first_contact
    }

    /// Returns the time since the last contact with the store, or `None` before the first.
    pub fn contact_age(&self, now: Instant) -> Option<Duration> {
        self.last_contact
            .map(|at| now.saturating_duration_since(at))
    }

    /// Returns the time since the last confirmation by other instances, or `None` before the first.
    pub fn confirmation_age(&self, now: Instant) -> Option<Duration> {
        self.last_peer_confirmation
            .map(|at| now.saturating_duration_since(at))
    }

    /// Returns whether the store lists this instance.
    pub fn is_listed(&self) -> bool {
        self.is_listed
    }

    /// Returns whether the last contact with the store is so old that regular watches must have failed.
    pub fn is_contact_old(&self, now: Instant) -> bool {
        self.contact_age(now)
            .is_none_or(|age| age >= BASE_PRIMARY_LEASE / 2)
    }
}

/// Passive failure detector of one endpoint, fed by the results of regular requests.
#[derive(Clone, Copy, Debug, Default)]
pub struct FailureDetector {
    last_answer: Option<Instant>,
    failing_since: Option<Instant>,
    failures: u32,
}

impl FailureDetector {
    /// Records an answer, which clears earlier failures.
    pub fn record_answer(&mut self, now: Instant) {
        *self = Self {
            last_answer: Some(now),
            ..Self::default()
        };
    }

    /// Records a refused or broken connection or a missing answer.
    pub fn record_failure(&mut self, now: Instant) {
        self.failing_since.get_or_insert(now);
        self.failures += 1;
    }

    /// Returns true if the endpoint is suspected to be down.
    pub fn is_suspect(&self, now: Instant) -> bool {
        let is_long = |since| now.saturating_duration_since(since) >= SUSPECT_AFTER;
        self.failures >= SUSPECT_FAILURES && self.failing_since.is_some_and(is_long)
    }

    /// Returns true if the last request failed.
    pub fn is_failing(&self) -> bool {
        self.failures > 0
    }

    /// Returns the time since the last answer, or `None` before the first one.
    pub fn time_since_answer(&self, now: Instant) -> Option<Duration> {
        self.last_answer.map(|at| now.saturating_duration_since(at))
    }
}
