//! Change of the primary of a service whose members do not vote.
//!
//! Whoever changes a primary first writes into the store that the service is [moving](Phase::Moving).
//! An instance uses a primary only under a [`PrimaryLease`], which rests on its last contact with the store
//! and lapses [`BASE_PRIMARY_LEASE`] after it. While the store is away, the tenure goes on for as long as half of
//! the other instances have said in the last moments that they know of no newer record, and for
//! [`MAX_PRIMARY_LEASE`] at most.
//!
//! So before another member is promoted, every instance has either said that it stopped using the old
//! primary, or is known to run no process, or its tenure has lapsed. The [`ReleaseBarrier`] tells when that is
//! so. As long as no more than a quarter of the instances are missing, half of the others can't have
//! answered a missing one without knowing of the change, and [`BASE_PRIMARY_LEASE`] is enough; else it takes
//! [`MAX_PRIMARY_LEASE`]. Nothing rests on the time of day or on membership being right, only on the list of
//! instances that the store gave after the change and on those that vanished from it less than a
//! tenure ago.
//!
//! # Examples
//!
//! ```
//! use std::time::Instant;
//! use filbertbay_coordination::succession::{ReleaseBarrier, MAX_PRIMARY_LEASE};
//!
//! let now = Instant::now();
//! let mut barrier = ReleaseBarrier::new(now, ["quimper-1".into(), "nantes-1".into()]);
//! barrier.acknowledge("quimper-1");
//! assert!(!barrier.is_complete(now));
//! assert!(barrier.is_complete(now + MAX_PRIMARY_LEASE));
//! barrier.acknowledge("nantes-1");
//! assert!(barrier.is_complete(now));
//! ```

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::{Duration, Instant};

use filbertbay_state::position::Position;
use serde::{Deserialize, Serialize};

/// Longest time since the last contact with the store for which an instance may use a primary; longer
/// than the outages of the store that the users' days hold (4 to 9 s).
pub const MAX_PRIMARY_LEASE: Duration = Duration::from_secs(10);

/// Time since the last contact with the store for which an instance that reaches no others may use a
/// primary; longer than the 3 s between two answers of a watch at most.
pub const BASE_PRIMARY_LEASE: Duration = Duration::from_secs(4);

/// Time for which the word of the other instances extends a tenure; twice the time between two
/// rounds of questions while the store is away.
const PEER_CONFIRMATION_TTL: Duration = Duration::from_secs(2);

/// Part of the instances that may be missing for a change to be made after [`BASE_PRIMARY_LEASE`].
const MISSING_DIVISOR: usize = 4;

/// Failures in a row after which a primary is suspected.
const SUSPECT_FAILURES: u32 = 2;

/// Time over which failures must stretch, so that one dropped packet raises no suspicion.
const SUSPECT_AFTER: Duration = Duration::from_millis(150);

/// Whether a service has a primary.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// The primary is being changed; nobody may use any.
    Moving,
    /// The member leads.
    Leading(Arc<str>),
}

/// What the store holds of the primary of a service.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct PrimaryRecord {
    /// Fencing token of the holder that wrote it.
    pub fence: u64,
    /// Whether there is a primary.
    pub phase: Phase,
    /// Primary before the change, if one was known.
    pub from: Option<Arc<str>>,
    /// Instance that wrote the record.
    pub holder: Arc<str>,
}

/// Permission to use primaries.
#[derive(Clone, Copy, Debug, Default)]
pub struct PrimaryLease {
    last_contact: Option<Instant>,
    last_peer_confirmation: Option<Instant>,
    is_listed: bool,
}

impl PrimaryLease {
    /// Notes that the state of the store at `at` or later is known.
    pub fn record_contact(&mut self, at: Instant) {
        self.last_contact = self.last_contact.max(Some(at));
    }

    /// Notes that at `at` or later at least half of the other instances knew of no newer record than
    /// this one knows now.
    pub fn record_peer_confirmation(&mut self, at: Instant) {
        self.last_peer_confirmation = self.last_peer_confirmation.max(Some(at));
    }

    /// Tells whether the word of other instances is about to be needed for the tenure to go on.
    pub fn needs_peer_confirmation(&self, now: Instant) -> bool {
        let is_old = |at: Option<Instant>, age: Duration| at.is_none_or(|at| now >= at + age);
        is_old(self.last_contact, BASE_PRIMARY_LEASE / 2)
            && is_old(self.last_peer_confirmation, PEER_CONFIRMATION_TTL / 4)
    }

    /// Notes whether the store lists this instance, so that a change of primary waits for it.
    pub fn set_listed(&mut self, is_listed: bool) {
        self.is_listed = is_listed;
    }

    /// Tells whether primaries may be used.
    pub fn is_valid(&self, now: Instant) -> bool {
        let Some(last_contact) = self.last_contact.filter(|_| self.is_listed) else {
            return false;
        };
        let is_peer_confirmed = self
            .last_peer_confirmation
            .is_some_and(|at| now < at + PEER_CONFIRMATION_TTL);
        now < last_contact + BASE_PRIMARY_LEASE
            || (is_peer_confirmed && now < last_contact + MAX_PRIMARY_LEASE)
    }

    /// Returns the time since the last contact.
    pub fn contact_age(&self, now: Instant) -> Option<Duration> {
        self.last_contact
            .map(|at| now.saturating_duration_since(at))
    }
}

/// Instances whose consent a change of primary needs.
#[derive(Clone, Debug)]
pub struct ReleaseBarrier {
    pending: BTreeSet<Arc<str>>,
    total: usize,
    recorded_at: Instant,
    earliest: Option<Instant>,
}

impl ReleaseBarrier {
    /// Opens a barrier; `recorded_at` is a moment not before the store took the record.
    pub fn new<I>(recorded_at: Instant, instances: I) -> Self
    where
        I: IntoIterator<Item = Arc<str>>,
    {
        let pending: BTreeSet<Arc<str>> = instances.into_iter().collect();
        Self {
            total: pending.len(),
            pending,
            recorded_at,
            earliest: None,
        }
    }

    /// Holds the change back until `at`, for a holder that may not know of every instance yet.
    #[must_use]
    pub fn not_before(mut self, at: Instant) -> Self {
        self.earliest = Some(at);
        self
    }

    /// Notes that an instance stopped using the old primary, or runs no process.
    pub fn acknowledge(&mut self, instance: &str) {
        self.pending.remove(instance);
    }

    /// Tells whether nobody can use the old primary any more.
    pub fn is_complete(&self, now: Instant) -> bool {
        if now >= self.recorded_at + MAX_PRIMARY_LEASE {
            return true;
        }
        let is_early = self.earliest.is_some_and(|at| now < at);
        let few = self.pending.len() * MISSING_DIVISOR <= self.total;
        let lapsed = few && now >= self.recorded_at + BASE_PRIMARY_LEASE;
        !is_early && (self.pending.is_empty() || lapsed)
    }

    /// Returns the instances that have not answered.
    pub fn pending(&self) -> impl Iterator<Item = &Arc<str>> {
        self.pending.iter()
    }
}

/// Member that may take over.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Candidate {
    /// Identity.
    pub id: Arc<str>,
    /// Last position that it received.
    pub received: Position,
    /// Whether it is to stay: neither draining nor in a data centre that is taken out.
    pub is_available: bool,
    /// Whether it stands in the data centre of the old primary.
    pub is_same_data_centre: bool,
}

/// Chooses the member that takes over: one that stays, with the furthest log, near the old primary.
pub fn choose_successor(candidates: &[Candidate]) -> Option<&Candidate> {
    let rank = |one: &&Candidate| (one.is_available, one.received, one.is_same_data_centre);
    candidates.iter().max_by_key(rank)
}

/// Signs of life of one endpoint, from the answers that came anyway.
#[derive(Clone, Copy, Debug, Default)]
pub struct FailureDetector {
    last_answer: Option<Instant>,
    failing_since: Option<Instant>,
    failures: u32,
}

impl FailureDetector {
    /// Notes an answer.
    pub fn record_answer(&mut self, now: Instant) {
        *self = Self {
            last_answer: Some(now),
            ..Self::default()
        };
    }

    /// Notes that a connection was refused or broken, or that no answer came.
    pub fn record_failure(&mut self, now: Instant) {
        self.failing_since.get_or_insert(now);
        self.failures += 1;
    }

    /// Tells whether the endpoint seems to be gone.
    pub fn is_suspect(&self, now: Instant) -> bool {
        let long = |since| now.saturating_duration_since(since) >= SUSPECT_AFTER;
        self.failures >= SUSPECT_FAILURES && self.failing_since.is_some_and(long)
    }

    /// Tells whether the last try failed.
    pub fn is_failing(&self) -> bool {
        self.failures > 0
    }

    /// Returns the time since the last answer.
    pub fn time_since_answer(&self, now: Instant) -> Option<Duration> {
        self.last_answer.map(|at| now.saturating_duration_since(at))
    }
}
