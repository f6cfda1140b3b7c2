use std::time::{Duration, Instant};

/// Factor by which the cooldown grows with failed probes at most.
const MAX_WIDENING: u32 = 8;

/// Time after which a probe that was never reported is taken for failed.
const PROBE_TIMEOUT: Duration = Duration::from_secs(5);

/// What a breaker lets through.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Permit {
    /// The endpoint may be asked.
    Allow,
    /// The endpoint may be asked by this one statement.
    Probe,
    /// The endpoint must not be asked before the given time has passed.
    Reject(Duration),
}

/// CircuitBreaker of one endpoint.
///
/// After `threshold` failures to answer in a row the endpoint is left alone for a cooldown; then
/// one probe at a time goes through. A probe that fails doubles the cooldown, up to eight times. An
/// answer of any kind closes the breaker, also one that refuses the statement.
///
/// # Examples
///
/// ```
/// use std::time::{Duration, Instant};
/// use filbertbay_coordination::retry::{CircuitBreaker, Permit};
///
/// let now = Instant::now();
/// let mut breaker = CircuitBreaker::new(2, Duration::from_millis(100));
/// breaker.record_failure(now);
/// breaker.record_failure(now);
/// assert_eq!(breaker.try_acquire(now), Permit::Reject(Duration::from_millis(100)));
/// assert_eq!(breaker.try_acquire(now + Duration::from_millis(100)), Permit::Probe);
/// ```
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CircuitBreaker {
    threshold: u32,
    cooldown: Duration,
    failures: u32,
    widening: u32,
    stopped_until: Option<Instant>,
    probe_since: Option<Instant>,
}

impl CircuitBreaker {
    /// Opens a breaker for a working endpoint.
    pub fn new(threshold: u32, cooldown: Duration) -> Self {
        Self {
            threshold: threshold.max(1),
            cooldown,
            failures: 0,
            widening: 1,
            stopped_until: None,
            probe_since: None,
        }
    }

    /// Asks whether a statement may be sent to the endpoint.
    pub fn try_acquire(&mut self, now: Instant) -> Permit {
        let Some(until) = self.stopped_until else {
            return Permit::Allow;
        };
        if now < until {
            return Permit::Reject(until - now);
        }
        if let Some(since) = self.probe_since {
            let timeout = since + PROBE_TIMEOUT;
            if now < timeout {
                return Permit::Reject(timeout - now);
            }
        }
        self.probe_since = Some(now);
        Permit::Probe
    }

    /// Notes that the endpoint answered, be it with an error of the statement.
    pub fn record_success(&mut self) {
        *self = Self::new(self.threshold, self.cooldown);
    }

    /// Notes that the endpoint failed to answer.
    pub fn record_failure(&mut self, now: Instant) {
        if self.stopped_until.is_some() {
            // Failures of statements that were sent before the breaker opened change nothing.
            if self.probe_since.take().is_some() {
                self.widening = (self.widening * 2).min(MAX_WIDENING);
                self.stopped_until = Some(now + self.cooldown * self.widening);
            }
            return;
        }
        self.failures += 1;
        if self.failures >= self.threshold {
            self.stopped_until = Some(now + self.cooldown);
        }
    }
}
