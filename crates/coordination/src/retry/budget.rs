/// Millionths of a retry, the unit of the token bucket, in one retry.
const MICRORETRIES_PER_RETRY: u64 = 1_000_000;

/// Token bucket that limits the retries to one endpoint to a ratio of its first attempts.
///
/// Each first attempt deposits a fraction of a retry, up to a reserve; each retry withdraws one. In
/// any period with `n` first attempts there are at most `reserve + ratio * n` retries. The budget
/// has no windows, hence no boundary around which twice the budget could be spent.
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
    balance: u64,
    ratio: u64,
    reserve: u64,
}

impl RetryBudget {
    /// Creates a full budget; `ratio` is clamped to between zero and one, `reserve` is in retries.
    pub fn new(ratio: f64, reserve: u32) -> Self {
        let reserve = u64::from(reserve) * MICRORETRIES_PER_RETRY;
        Self {
            balance: reserve,
            ratio: (ratio.clamp(0.0, 1.0) * MICRORETRIES_PER_RETRY as f64) as u64,
            reserve,
        }
    }

    /// Deposits the fraction of a retry that a first attempt earns.
    pub fn deposit(&mut self) {
        self.balance = (self.balance + self.ratio).min(self.reserve);
    }

    /// Withdraws one retry if the budget has one, and returns whether it had.
    pub fn try_withdraw(&mut self) -> bool {
        if self.balance < MICRORETRIES_PER_RETRY {
            return false;
        }
        self.balance -= MICRORETRIES_PER_RETRY;
        true
    }
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new(0.1, 10)
    }
}
