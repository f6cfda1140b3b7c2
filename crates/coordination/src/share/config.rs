//! Options of the rate limiter.

use std::time::Duration;

/// Options of a [`RateLimiter`](super::RateLimiter).
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use filbertbay_coordination::share::Config;
///
/// let config = Config::default().refill_lease(Duration::from_secs(5));
/// assert_eq!(config.refill_lease, Duration::from_secs(5));
/// ```
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Config {
    /// Duration of a loan with refill.
    pub refill_lease: Duration,
    /// Duration of a loan of tokens without refill.
    pub token_lease: Duration,
    /// Time after which an unanswered loan request times out.
    pub request_timeout: Duration,
    /// Longest time for which a statement waits for tokens before it is refused.
    pub max_wait: Duration,
    /// Time since the last proof of ownership after which an instance stops spending its lanes.
    pub ownership_timeout: Duration,
    /// Tokens beyond the burst of a workspace that all instances together may hold. The burst of a
    /// small rate is less than one token a lane, so that without these its lanes refuse statements
    /// while tokens are left elsewhere.
    pub tolerance: u64,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            refill_lease: Duration::from_secs(2),
            token_lease: Duration::from_millis(250),
            request_timeout: Duration::from_millis(150),
            max_wait: Duration::from_millis(400),
            ownership_timeout: Duration::from_secs(8),
            tolerance: 0,
        }
    }
}

impl Config {
    /// Sets the duration of a loan with refill.
    #[must_use]
    pub fn refill_lease(mut self, refill_lease: Duration) -> Self {
        self.refill_lease = refill_lease;
        self
    }

    /// Sets the duration of a loan of tokens without refill.
    #[must_use]
    pub fn token_lease(mut self, token_lease: Duration) -> Self {
        self.token_lease = token_lease;
        self
    }

    /// Sets the time after which an unanswered loan request times out.
    #[must_use]
    pub fn request_timeout(mut self, request_timeout: Duration) -> Self {
        self.request_timeout = request_timeout;
        self
    }

    /// Sets the longest time for which a statement waits for tokens before it is refused.
    #[must_use]
    pub fn max_wait(mut self, max_wait: Duration) -> Self {
        self.max_wait = max_wait;
        self
    }

    /// Sets the tokens beyond the burst of a workspace that all instances together may hold.
    #[must_use]
    pub fn tolerance(mut self, tolerance: u64) -> Self {
        self.tolerance = tolerance;
        self
    }

    /// Sets the time since the last proof of ownership after which an instance stops spending its
    /// lanes.
    #[must_use]
    pub fn ownership_timeout(mut self, ownership_timeout: Duration) -> Self {
        self.ownership_timeout = ownership_timeout;
        self
    }
}
