use serde::{Deserialize, Serialize};

use super::LANES;

/// Exact fraction of a workspace's rate or burst.
///
/// Fractions are fixed-point numbers, so that sums over instances have no rounding error.
///
/// # Examples
///
/// ```
/// use filbertbay_coordination::share::Fraction;
///
/// let half = Fraction::from_ratio_ceil(1, 2);
/// assert_eq!(half.of(50), 25);
/// assert_eq!(half.saturating_add(half), Fraction::ONE);
/// ```
#[derive(
    Clone, Copy, Debug, Default, Eq, PartialEq, Ord, PartialOrd, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Fraction(u64);

impl Fraction {
    /// Nothing.
    pub const ZERO: Self = Self(0);

    /// One lane.
    pub const LANE: Self = Self(1 << 40);

    /// The whole.
    pub const ONE: Self = Self(Self::LANE.0 * LANES as u64);

    /// Returns the given number of lanes.
    pub fn from_lanes(count: usize) -> Self {
        Self(Self::LANE.0 * count as u64)
    }

    /// Returns the smallest fraction of `whole` that is at least `part`, and at most one.
    pub fn from_ratio_ceil(part: u64, whole: u64) -> Self {
        if part >= whole {
            return Self::ONE;
        }
        let scaled = u128::from(part) * u128::from(Self::ONE.0);
        Self(scaled.div_ceil(u128::from(whole)) as u64)
    }

    /// Returns this fraction of `whole`, rounded down.
    pub fn of(self, whole: u64) -> u64 {
        (u128::from(whole) * u128::from(self.0) / u128::from(Self::ONE.0)) as u64
    }

    /// Returns the sum of two fractions.
    #[must_use]
    pub fn saturating_add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }

    /// Returns the difference of two fractions, or zero if the other is larger.
    #[must_use]
    pub fn saturating_sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }

    /// Returns one of `count` equal parts, rounded up.
    #[must_use]
    pub fn split(self, count: usize) -> Self {
        Self(self.0.div_ceil(count.max(1) as u64))
    }

    /// Returns the numerator over [`Fraction::ONE`].
    pub fn numerator(self) -> u64 {
        self.0
    }
}

impl std::iter::Sum for Fraction {
    fn sum<I>(fractions: I) -> Self
    where
        I: Iterator<Item = Self>,
    {
        fractions.fold(Self::ZERO, Self::saturating_add)
    }
}
