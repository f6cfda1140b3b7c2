//! Retry policy: whether, where and when a failed statement is attempted again.
//!
//! - [`decide`] returns whether another attempt is safe. A statement that did not run may be
//!   retried, a read may be retried on another member, and a write that may have run is only
//!   retried if it is idempotent.
//! - [`RetryBudget`] bounds the extra load of retries to an endpoint. It is a token bucket that
//!   first attempts fill by a ratio, so that retries stay within a fixed share of the first
//!   attempts plus a small reserve in any period.
//! - [`CircuitBreaker`] stops the traffic to an endpoint that repeatedly fails to answer, and
//!   probes the endpoint with an increasing cooldown. [`OutlierDetector`] ejects an endpoint that
//!   is much slower than its peers.
//! - [`Backoff`] delays attempts exponentially with full jitter.
//!
//! The half-open probe with an increasing cooldown, full jitter and the rule that only failures to
//! answer count against an endpoint follow "Retries & resilience" of `AniLink`. Its retry budget
//! per fixed window is not used, because failures around a window boundary can spend twice the
//! budget within the length of one window.
//!
//! # Examples
//!
//! ```
//! use filbertbay_coordination::retry::{self, Effect, Statement, RetryDecision};
//!
//! // A write whose connection broke after it was sent may have run.
//! let decision = retry::decide(Statement::Write { idempotent: false }, Effect::Unknown);
//! assert_eq!(decision, RetryDecision::DoNotRetry);
//! assert_eq!(retry::decide(Statement::Read, Effect::Unknown), RetryDecision::OtherMember);
//! assert_eq!(
//!     retry::decide(Statement::Write { idempotent: false }, Effect::NotRun),
//!     RetryDecision::AnyMember,
//! );
//! ```

mod breaker;
mod budget;
mod ejection;

use std::time::Duration;

use rand::Rng;

pub use self::breaker::{CircuitBreaker, Permit};
pub use self::budget::RetryBudget;
pub use self::ejection::OutlierDetector;

/// Kind of a statement, which determines whether a retry is safe.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Statement {
    /// Changes nothing.
    Read,
    /// Changes data.
    Write {
        /// Whether running the statement more than once has the same effect as running it once.
        idempotent: bool,
    },
    /// Is part of a transaction that is open on a connection.
    InTransaction,
}

/// What is known about the execution of a statement whose attempt failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Effect {
    /// The endpoint did not run the statement.
    NotRun,
    /// The endpoint may have run the statement.
    Unknown,
    /// The endpoint ran the statement, which failed with an error of its own.
    Answered,
}

/// Result of [`decide`]: whether and where a statement may be retried.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RetryDecision {
    /// Retry on any eligible member.
    AnyMember,
    /// Retry on a member other than the one that failed.
    OtherMember,
    /// Do not retry; report the failure to the caller.
    DoNotRetry,
}

/// Returns whether and where a statement may be retried.
pub fn decide(statement: Statement, effect: Effect) -> RetryDecision {
    match (statement, effect) {
        (Statement::InTransaction, _)
        | (_, Effect::Answered)
        | (Statement::Write { idempotent: false }, Effect::Unknown) => RetryDecision::DoNotRetry,
        (Statement::Read, Effect::Unknown) => RetryDecision::OtherMember,
        (_, Effect::NotRun) | (Statement::Write { idempotent: true }, Effect::Unknown) => {
            RetryDecision::AnyMember
        }
    }
}

/// Exponential backoff with full jitter.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use filbertbay_coordination::retry::Backoff;
/// use rand::SeedableRng;
///
/// let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(1); let backoff = Backoff { base_delay:
/// Duration::from_millis(10), max_delay: Duration::from_millis(50) }; assert!(backoff.delay(7, &mut
/// rng) <= Duration::from_millis(50));
/// ```
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Backoff {
    /// Maximum delay before the first retry.
    pub base_delay: Duration,
    /// Maximum delay before any retry.
    pub max_delay: Duration,
}

impl Backoff {
    /// Returns a random delay before the given retry, counted from zero.
    ///
    /// The delay is uniform between zero and `base_delay * 2^retry`, capped at `max_delay`.
    pub fn delay<R>(&self, retry: u32, rng: &mut R) -> Duration
    where
        R: Rng,
    {
        let factor = 1_u32.checked_shl(retry).unwrap_or(u32::MAX);
        let max_delay = self.base_delay.saturating_mul(factor).min(self.max_delay);
        max_delay.mul_f64(rng.random::<f64>())
    }
}
