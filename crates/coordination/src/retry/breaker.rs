use std::time::{Duration, Instant};

/// Maximum factor by which failed probes extend the cooldown.
const MAX_COOLDOWN_FACTOR: u32 = 8;

/// Time after which another probe is allowed if the result of the last one was never recorded.
const PROBE_TIMEOUT: Duration = Duration::from_secs(5);

/// Result of [`CircuitBreaker::try_acquire`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Permit {
    /// The circuit is closed; the statement may be sent.
    Allow,
    /// The circuit is half-open; this one statement may be sent as a probe.
    Probe,
    /// The circuit is open, or a probe is in flight; retry after the given time at the earliest.
    Reject(Duration),
}

/// Circuit breaker of one endpoint.
///
/// After `threshold` consecutive failures to answer, the circuit opens for a cooldown; then it lets
/// one probe at a time through. A failed probe opens the circuit again and doubles the cooldown, up
/// to eight times its initial length. Any answer closes the circuit, including an error of the
/// statement.
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
    cooldown_factor: u32,
    open_until: Option<Instant>,
    probe_started: Option<Instant>,
}

impl CircuitBreaker {
    /// Creates a closed circuit breaker; a `threshold` of zero counts as one.
    pub fn new(threshold: u32, cooldown: Duration) -> Self {
        Self {
            threshold: threshold.max(1),
            cooldown,
            failures: 0,
            cooldown_factor: 1,
            open_until: None,
            probe_started: None,
        }
    }

    /// Returns whether a statement may be sent to the endpoint.
    pub fn try_acquire(&mut self, now: Instant) -> Permit {
        let Some(until) = self.open_until else {
            return Permit::Allow;
        };
        if now < until {
            return Permit::Reject(until - now);
        }
        if let Some(started) = self.probe_started {
            let timeout = started + PROBE_TIMEOUT;
            if now < timeout {
                return Permit::Reject(timeout - now);
            }
        }
        self.probe_started = Some(now);
        Permit::Probe
    }

    /// Records that the endpoint answered, which closes the circuit.
    pub fn record_success(&mut self) {
        *self = Self::new(self.threshold, self.cooldown);
    }

    /// Records that the endpoint failed to answer.
    pub fn record_failure(&mut self, now: Instant) {
        if self.open_until.is_some() {
            // Without a probe in flight, the statement was sent before the circuit opened.
            if self.probe_started.take().is_some() {
                self.cooldown_factor = (self.cooldown_factor * 2).min(MAX_COOLDOWN_FACTOR);
                self.open_until = Some(now + self.cooldown * self.cooldown_factor);
            }
            return;
        }
        self.failures += 1;
        if self.failures >= self.threshold {
            self.open_until = Some(now + self.cooldown);
        }
    }
}
