//! Waits until no instance can use the previous primary of a service any more.
//!
//! Only two things prove that an instance uses a primary no longer: its own acknowledgement, or the end
//! of its lease. A refused connection proves neither, because a partition may answer with resets. After
//! a crash, the next process at the same address acknowledges: it can't listen there before the crashed
//! one has ended, and it knows of the change by then.
//!
//! Once at most a quarter of the instances are missing, none of them can be confirmed by half of the
//! others without learning of the change. A confirmation from before that counts for
//! [`PEER_CONFIRMATION_TTL`], and without one a lease ends [`BASE_PRIMARY_LEASE`] after the record. As
//! long as more are missing, the wait is [`MAX_PRIMARY_LEASE`].
//!
//! # Examples
//!
//! ```
//! use std::time::Instant;
//! use filbertbay_coordination::succession::MAX_PRIMARY_LEASE;
//! use filbertbay_coordination::succession::release::{Answer, Barrier};
//!
//! let now = Instant::now();
//! let mut barrier = Barrier::new(now, ["quimper-1".into(), "nantes-1".into()]);
//! barrier.record(now, "quimper-1", Answer::Released);
//! barrier.record(now, "nantes-1", Answer::Refused);
//! assert!(!barrier.is_complete(now));
//! assert!(barrier.is_complete(now + MAX_PRIMARY_LEASE));
//! barrier.record(now, "nantes-1", Answer::Released);
//! assert!(barrier.is_complete(now));
//! ```

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Instant;

use super::{BASE_PRIMARY_LEASE, MAX_PRIMARY_LEASE, PEER_CONFIRMATION_TTL};

/// At most one in this many instances may be missing for a change before [`MAX_PRIMARY_LEASE`].
const MISSING_DIVISOR: usize = 4;

/// Last answer of an instance to the request to release the previous primary.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Answer {
    /// The instance uses the primary no longer.
    Released,
    /// Statements of the instance still rely on the primary.
    InUse,
    /// The connection was refused; the instance may run all the same.
    Refused,
    /// No answer arrived in time.
    #[default]
    Unanswered,
}

/// Barrier that is complete once no instance can use the previous primary.
#[derive(Clone, Debug)]
pub struct Barrier {
    answers: BTreeMap<Arc<str>, Answer>,
    /// Instances that have not released the primary.
    pending_count: usize,
    recorded_at: Instant,
    /// Since when so few instances are missing that they can't be confirmed by half of the others.
    few_pending_since: Option<Instant>,
    not_before: Option<Instant>,
    /// Smallest number that an instance may take for the size of the fleet.
    fleet: usize,
}

impl Barrier {
    /// Creates a barrier for `instances`.
    ///
    /// `recorded_at` must not be earlier than the time at which the store accepted the record.
    pub fn new<I>(recorded_at: Instant, instances: I) -> Self
    where
        I: IntoIterator<Item = Arc<str>>,
    {
        let unanswered = |name| (name, Answer::default());
        let answers: BTreeMap<Arc<str>, Answer> = instances.into_iter().map(unanswered).collect();
        Self {
            pending_count: answers.len(),
            fleet: answers.len(),
            answers,
            recorded_at,
            few_pending_since: None,
            not_before: None,
        }
    }

    /// Keeps the barrier incomplete until `at`, for a caller that may not know every instance yet.
    #[must_use]
    pub fn not_before(mut self, at: Instant) -> Self {
        self.not_before = Some(at);
        self
    }

    /// Counts at most a quarter of `size` as few, if the fleet has had that size lately: an instance that
    /// knows no later list asks half of that one for confirmations.
    #[must_use]
    pub fn smallest_fleet(mut self, size: usize) -> Self {
        self.fleet = self.fleet.min(size);
        self
    }

    /// Records the answer of an instance that arrived at `now` or before. One that has released the
    /// primary doesn't take it back.
    pub fn record(&mut self, now: Instant, instance: &str, answer: Answer) {
        let Some(last) = self.answers.get_mut(instance) else {
            return;
        };
        if *last == Answer::Released {
            return;
        }
        *last = answer;
        if answer == Answer::Released {
            self.pending_count -= 1;
        }
        if self.pending_count * MISSING_DIVISOR <= self.fleet {
            self.few_pending_since.get_or_insert(now);
        }
    }

    /// Returns true if no instance can use the old primary any more.
    ///
    /// Always true [`MAX_PRIMARY_LEASE`] after the record, when every lease has expired.
    pub fn is_complete(&self, now: Instant) -> bool {
        if now >= self.recorded_at + MAX_PRIMARY_LEASE {
            return true;
        }
        let is_early = self.not_before.is_some_and(|at| now < at);
        let is_base_expired = now >= self.recorded_at + BASE_PRIMARY_LEASE;
        let is_unconfirmed = self
            .few_pending_since
            .is_some_and(|since| now >= since + PEER_CONFIRMATION_TTL);
        let is_expired = is_base_expired && is_unconfirmed;
        !is_early && (self.pending_count == 0 || is_expired)
    }

    /// Returns the instances that have not released the primary.
    pub fn pending(&self) -> impl Iterator<Item = &Arc<str>> {
        let answers = self.answers.iter();
        let pending = answers.filter(|(_, answer)| **answer != Answer::Released);
        pending.map(|(name, _)| name)
    }

    /// Returns every instance with its last answer.
    pub fn answers(&self) -> impl Iterator<Item = (&Arc<str>, Answer)> {
        self.answers.iter().map(|(name, answer)| (name, *answer))
    }
}
