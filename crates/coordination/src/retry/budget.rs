/// Micro-retries of one retry.
const MICROS: u64 = 1_000_000;

/// Bound on the retries towards one endpoint, as a ratio of first tries.
///
/// Each first try earns a part of a retry, up to a reserve; each retry spends one. In any stretch
/// of work with `n` first tries there are at most `reserve + ratio * n` retries. There is no window
/// and thus no boundary at which twice the budget could be spent.
///
/// # Examples
///
/// ```
/// use filbertbay_coordination::retry::RetryBudget;
///
/// let mut budget = RetryBudget::new(0.1, 2);
/// assert!(budget.try_withdraw() && budget.try_withdraw());
/// assert!(!budget.try_withdraw());
/// (0..10).for_each(|_| budget.deposit());
/// assert!(budget.try_withdraw());
/// ```
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RetryBudget {
    earned: u64,
    ratio: u64,
    reserve: u64,
}

impl RetryBudget {
    /// Opens a full budget with the given ratio, cut to at most one, and reserve.
    pub fn new(ratio: f64, reserve: u32) -> Self {
        let reserve = u64::from(reserve) * MICROS;
        Self {
            earned: reserve,
            ratio: (ratio.clamp(0.0, 1.0) * MICROS as f64) as u64,
            reserve,
        }
    }

    /// Notes a first try.
    pub fn deposit(&mut self) {
        self.earned = (self.earned + self.ratio).min(self.reserve);
    }

    /// Spends a retry if the budget has one, and tells whether it had.
    pub fn try_withdraw(&mut self) -> bool {
        if self.earned < MICROS {
            return false;
        }
        self.earned -= MICROS;
        true
    }
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new(0.1, 10)
    }
}
