//! Whether and when a failed statement is tried again.
//!
//! Three deciders work together, one of each for an endpoint:
//!
//! - [`decide`] tells whether another try is safe at all: what did not run may be tried again, a read
//!   may be tried on another member, and a write that may have run never is.
//! - [`RetryBudget`] bounds the extra load. It is a token bucket that first tries fill by a ratio, so
//!   that retries stay a fixed part of the work in any window, and never more than a small reserve
//!   above it.
//! - [`CircuitBreaker`] stops asking an endpoint that fails again and again, and probes it at widening
//!   intervals. [`OutlierDetector`] does the same for one that is much slower than its peers.
//!
//! The widening half-open probe and full jitter follow "Retries & resilience" of `AniLink`, as does
//! the rule that only failures to answer count against an endpoint. Its budget of fixed windows is
//! not taken: failures near a boundary can spend twice the budget within one window.
//!
//! # Examples
//!
//! ```
//! use filbertbay_coordination::retry::{self, Effect, Statement, RetryDecision};
//!
//! // A write whose connection broke after it was sent may have run.
//! let lost = retry::decide(Statement::Write { idempotent: false }, Effect::Unknown);
//! assert_eq!(lost, RetryDecision::DoNotRetry);
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

/// Kind of a statement, as far as another try is concerned.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Statement {
    /// Changes nothing.
    Read,
    /// Changes data.
    Write {
        /// Whether running it more than once does no harm.
        idempotent: bool,
    },
    /// Belongs to a transaction that is already open on a connection.
    InTransaction,
}

/// What is known about a failed try.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Effect {
    /// The endpoint surely did not run the statement.
    NotRun,
    /// The endpoint may have run the statement.
    Unknown,
    /// The endpoint ran the statement and answered with an error of the statement itself.
    Answered,
}

/// Whether and where a statement may be tried again.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RetryDecision {
    /// On any member that may run it.
    AnyMember,
    /// On a member other than the one that failed.
    OtherMember,
    /// Not again; the failure goes to the caller.
    DoNotRetry,
}

/// Decides whether a statement may be tried again.
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

/// Wait before a try, exponential with full jitter.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use filbertbay_coordination::retry::Backoff;
/// use rand::SeedableRng;
///
/// let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(1);
/// let backoff = Backoff { base_delay: Duration::from_millis(10), max_delay: Duration::from_millis(50) };
/// assert!(backoff.delay(7, &mut rng) <= Duration::from_millis(50));
/// ```
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Backoff {
    /// Longest wait before the first retry.
    pub base_delay: Duration,
    /// Longest wait before any retry.
    pub max_delay: Duration,
}

impl Backoff {
    /// Returns the wait before the given retry, counted from zero.
    pub fn delay<R>(&self, retry: u32, rng: &mut R) -> Duration
    where
        R: Rng,
    {
        let factor = 1_u32.checked_shl(retry).unwrap_or(u32::MAX);
        let longest = self.base_delay.saturating_mul(factor).min(self.max_delay);
        longest.mul_f64(rng.random::<f64>())
    }
}
