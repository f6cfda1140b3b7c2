//! Loans of bucket capacity and refill, and the margins that make a loan end at the borrower first.

use std::sync::Arc;
use std::time::{Duration, Instant};

use super::Fraction;

/// Fixed part of the margin by which a loan expires later at the lender than at the borrower.
const EXPIRY_MARGIN: Duration = Duration::from_millis(5);

/// Divisor of the lease that gives the part of the margin for clocks that run at different speeds.
const CLOCK_DRIFT_DIVISOR: u32 = 16;

/// Bucket capacity and refill that one instance has lent to another until the loan expires.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Loan {
    /// Identifier of the loan, assigned by the lender.
    pub id: u64,
    /// Identifier of the request, assigned by the borrower.
    pub request_id: u64,
    /// Name of the other instance: the lender of a borrowed loan, the borrower of a lent one.
    pub peer: Arc<str>,
    /// Fraction of the burst by which the capacity of the borrower's bucket grows.
    pub capacity: Fraction,
    /// Fraction of the workspace's rate by which the refill of the borrower's bucket grows.
    pub refill: Fraction,
    /// Moment at which this instance regards the loan as expired.
    pub expires: Instant,
}

/// Returns the duration for which the lender regards a loan of `lease` as lent: the lease with the
/// margin.
pub(super) fn lender_lease(lease: Duration) -> Duration {
    lease + lease / CLOCK_DRIFT_DIVISOR + EXPIRY_MARGIN
}

/// Returns the longest lease that, with the margin, ends within `remaining`.
pub(super) fn max_borrower_lease(remaining: Duration) -> Duration {
    remaining.saturating_sub(EXPIRY_MARGIN) * CLOCK_DRIFT_DIVISOR / (CLOCK_DRIFT_DIVISOR + 1)
}
