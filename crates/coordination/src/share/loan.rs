use std::sync::Arc;
use std::time::{Duration, Instant};

use super::Fraction;

/// Fixed part of the margin by which a lender outwaits a borrower.
const MARGIN: Duration = Duration::from_millis(5);

/// Share of the lease that a lender adds for clocks that run at different speeds.
const DRIFT_DIVISOR: u32 = 16;

/// Room and refill that one instance has passed to another for a time.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Loan {
    /// Number that the lender gave the loan.
    pub id: u64,
    /// Number that the borrower gave the question.
    pub ask: u64,
    /// The other side's name.
    pub peer: Arc<str>,
    /// Fraction of the burst that the borrower may hold.
    pub room: Fraction,
    /// Fraction of the rate at which the borrower's bucket fills.
    pub rate: Fraction,
    /// When this side regards the loan as ended.
    pub expires: Instant,
}

/// Returns how long a lender waits for a loan that it granted for `lease`.
pub(super) fn guarded(lease: Duration) -> Duration {
    lease + lease / DRIFT_DIVISOR + MARGIN
}

/// Returns the longest lease whose guarded time fits into `remaining`.
pub(super) fn within(remaining: Duration) -> Duration {
    remaining.saturating_sub(MARGIN) * DRIFT_DIVISOR / (DRIFT_DIVISOR + 1)
}
