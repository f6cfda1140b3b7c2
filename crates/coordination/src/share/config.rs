use std::time::Duration;

/// Options of a [`Ledger`](super::Ledger).
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use filbertbay_coordination::share::Config;
///
/// let config = Config::default().lease(Duration::from_secs(5));
/// assert_eq!(config.lease, Duration::from_secs(5));
/// ```
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Config {
    /// Length of a loan that carries refill.
    pub lease: Duration,
    /// Length of a loan that carries tokens alone.
    pub escrow: Duration,
    /// Longest wait for the answer to a question.
    pub answer: Duration,
    /// Longest wait of a statement for tokens.
    pub patience: Duration,
    /// Time without proof of tenure after which an instance stops spending its lanes.
    pub fence: Duration,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            lease: Duration::from_secs(2),
            escrow: Duration::from_millis(250),
            answer: Duration::from_millis(150),
            patience: Duration::from_millis(400),
            fence: Duration::from_secs(8),
        }
    }
}

impl Config {
    /// Sets the length of a loan that carries refill.
    #[must_use]
    pub fn lease(mut self, lease: Duration) -> Self {
        self.lease = lease;
        self
    }

    /// Sets the length of a loan that carries tokens alone.
    #[must_use]
    pub fn escrow(mut self, escrow: Duration) -> Self {
        self.escrow = escrow;
        self
    }

    /// Sets the longest wait for an answer.
    #[must_use]
    pub fn answer(mut self, answer: Duration) -> Self {
        self.answer = answer;
        self
    }

    /// Sets the longest wait of a statement for tokens.
    #[must_use]
    pub fn patience(mut self, patience: Duration) -> Self {
        self.patience = patience;
        self
    }

    /// Sets the time after which an instance without proof of tenure stops spending.
    #[must_use]
    pub fn fence(mut self, fence: Duration) -> Self {
        self.fence = fence;
        self
    }
}
