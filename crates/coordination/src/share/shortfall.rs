//! What a bucket lacks for its demand.

use super::Fraction;

/// Tokens and refill that a bucket lacks for its demand.
#[derive(Clone, Copy, Debug)]
pub(super) struct Shortfall {
    /// Micro-tokens wanted at once.
    pub(super) tokens: u64,
    /// Smallest useful number of micro-tokens in a grant without refill.
    pub(super) min_tokens: u64,
    /// Fraction of the rate wanted for the duration of a lease.
    pub(super) refill: Fraction,
    /// Number of lenders that together are likely to cover the shortfall.
    pub(super) lender_count: usize,
}

impl Shortfall {
    /// Returns the shortfall to request when a loan with this refill is renewed.
    pub(super) fn for_renewal(refill: Fraction) -> Self {
        Self {
            tokens: 0,
            min_tokens: 0,
            refill,
            lender_count: 1,
        }
    }
}
