//! Waits until no instance can use the previous primary of a service any more.
//!
//! Only two things prove that an instance uses a primary no longer: its own word, or the end of its
//! lease. A refused connection proves neither, because a partition may answer with resets. After a
//! crash, the next process at the same address gives its word: it can't listen there before the
//! crashed one has ended, and it knows of the change when it acknowledges.
//!
//! If at most a quarter of the instances are missing, none of them can be confirmed by half of the
//! others without learning of the change, so [`BASE_PRIMARY_LEASE`] is long enough to wait. Otherwise
//! the wait is [`MAX_PRIMARY_LEASE`].
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
//! barrier.record("quimper-1", Answer::Released);
//! barrier.record("nantes-1", Answer::Refused);
//! assert!(!barrier.is_complete(now));
//! assert!(barrier.is_complete(now + MAX_PRIMARY_LEASE));
//! barrier.record("nantes-1", Answer::Released);
//! assert!(barrier.is_complete(now));
//! ```

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Instant;

use super::{BASE_PRIMARY_LEASE, MAX_PRIMARY_LEASE};

/// At most one in this many instances may be missing for a change after [`BASE_PRIMARY_LEASE`].
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
    recorded_at: Instant,
    not_before: Option<Instant>,
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
        Self {
            answers: instances.into_iter().map(unanswered).collect(),
            recorded_at,
            not_before: None,
        }
    }

    /// Keeps the barrier incomplete until `at`, for a caller that may not know every instance yet.
    #[must_use]
    pub fn not_before(mut self, at: Instant) -> Self {
        self.not_before = Some(at);
        self
    }

    /// Records the answer of an instance. One that has released the primary doesn't take it back.
    pub fn record(&mut self, instance: &str, answer: Answer) {
        if let Some(last) = self.answers.get_mut(instance)
            && *last != Answer::Released
        {
            *last = answer;
        }
    }

    /// Returns true if no instance can use the old primary any more.
    ///
    /// Always true [`MAX_PRIMARY_LEASE`] after the record, when every lease has expired.
    pub fn is_complete(&self, now: Instant) -> bool {
        if now >= self.recorded_at + MAX_PRIMARY_LEASE {
            return true;
        }
        let pending = self.pending().count();
        let is_early = self.not_before.is_some_and(|at| now < at);
        let is_few_pending = pending * MISSING_DIVISOR <= self.answers.len();
        let is_base_expired = is_few_pending && now >= self.recorded_at + BASE_PRIMARY_LEASE;
        !is_early && (pending == 0 || is_base_expired)
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
