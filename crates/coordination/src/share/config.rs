use std::time::Duration;

/// Options of a [`RateLimiter`](super::RateLimiter).
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use filbertbay_coordination::share::Config;
///
/// let config = Config::default().refill_lease(Duration::from_secs(5));
/// assert_eq!(config.refill_lease, Duration::from_secs(5));
/// ```
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Config {
    /// Length of a loan that carries refill.
    pub refill_lease: Duration,
    /// Length of a loan that carries tokens alone.
    pub token_lease: Duration,
    /// Longest wait for the answer to a question.
    pub request_timeout: Duration,
    /// Longest wait of a statement for tokens.
    pub max_wait: Duration,
    /// Time without proof of tenure after which an instance stops spending its lanes.
    pub ownership_timeout: Duration,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            refill_lease: Duration::from_secs(2),
            token_lease: Duration::from_millis(250),
            request_timeout: Duration::from_millis(150),
            max_wait: Duration::from_millis(400),
            ownership_timeout: Duration::from_secs(8),
        }
    }
}

impl Config {
    /// Sets the length of a loan that carries refill.
    #[must_use]
    pub fn refill_lease(mut self, refill_lease: Duration) -> Self {
        self.refill_lease = refill_lease;
        self
    }

    /// Sets the length of a loan that carries tokens alone.
    #[must_use]
    pub fn token_lease(mut self, token_lease: Duration) -> Self {
        self.token_lease = token_lease;
        self
    }

    /// Sets the longest wait for an answer.
    #[must_use]
    pub fn request_timeout(mut self, request_timeout: Duration) -> Self {
        self.request_timeout = request_timeout;
        self
    }

    /// Sets the longest wait of a statement for tokens.
    #[must_use]
    pub fn max_wait(mut self, max_wait: Duration) -> Self {
        self.max_wait = max_wait;
        self
    }

    /// Sets the time after which an instance without proof of tenure stops spending.
    #[must_use]
    pub fn ownership_timeout(mut self, ownership_timeout: Duration) -> Self {
        self.ownership_timeout = ownership_timeout;
        self
    }
}
