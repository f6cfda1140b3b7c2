//! Adaptive concurrency limit on the statements that an instance has in flight to a member.
//!
//! A member runs only as many statements as it has slots. Statements beyond that queue at the
//! member, where neither fairness nor deadlines are enforced. Like TCP Vegas, the limit estimates
//! the length of that queue from the ratio of the lowest recent latency to the current one: a short
//! queue raises the limit by one per round of statements, a long one lowers it, and an unanswered
//! statement multiplies it by 0.75.
//!
//! # Examples
//!
//! ```
//! use std::time::{Duration, Instant};
//! use filbertbay_coordination::limit::{Config, ConcurrencyLimit};
//!
//! let now = Instant::now();
//! let mut limit = ConcurrencyLimit::new(now, Config { max: 4 });
//! assert!(limit.try_acquire());
//! limit.release(now, Some(Duration::from_millis(3)));
//! assert!(limit.current() >= 1);
//! ```

use std::time::{Duration, Instant};

/// Estimated number of statements queued at the member above which the limit shrinks.
const MAX_QUEUED: f64 = 1.0;

/// Estimated number of statements queued at the member below which the limit grows.
const MIN_QUEUED: f64 = 0.3;

/// Weight of a new sample in the moving average of latencies.
const SAMPLE_WEIGHT: f64 = 0.1;

/// Factor by which an unanswered statement multiplies the limit.
const DECREASE_FACTOR: f64 = 0.75;

/// Length of a window for the lowest latency; the current and the previous window count.
const BASELINE_WINDOW: Duration = Duration::from_secs(10);

/// Configuration of a [`ConcurrencyLimit`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Config {
    /// Upper bound of the limit, such as the instance's connections to the member.
    pub max: u32,
}

/// Concurrency limit of one member.
#[derive(Clone, Copy, Debug)]
pub struct ConcurrencyLimit {
    max: f64,
    limit: f64,
    in_flight: u32,
    average_latency: f64,
    /// Lowest average latency of the current window and of the previous one.
    baselines: [f64; 2],
    window_start: Instant,
}

impl ConcurrencyLimit {
    /// Creates a limit that starts at one statement.
    pub fn new(now: Instant, config: Config) -> Self {
        Self {
            max: f64::from(config.max.max(1)),
            limit: 1.0,
            in_flight: 0,
            average_latency: 0.0,
            baselines: [f64::INFINITY; 2],
            window_start: now,
        }
    }

    /// Returns the current limit.
    pub fn current(&self) -> u32 {
        self.limit as u32
    }

    /// Returns the number of statements in flight.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Counts a statement as in flight if the limit allows it, and returns whether it does.
    pub fn try_acquire(&mut self) -> bool {
        let is_allowed = self.in_flight < self.current();
        self.in_flight += u32::from(is_allowed);
        is_allowed
    }

    /// Ends a statement in flight and adjusts the limit.
    ///
    /// `latency` is the time until the answer, or `None` if the statement was not answered.
    pub fn release(&mut self, now: Instant, latency: Option<Duration>) {
        let was_saturated = self.in_flight >= self.current();
        self.in_flight = self.in_flight.saturating_sub(1);
        match latency {
            Some(latency) => self.update(now, latency.as_secs_f64(), was_saturated),
            None => self.limit = (self.limit * DECREASE_FACTOR).max(1.0),
        }
    }

    fn update(&mut self, now: Instant, latency: f64, was_saturated: bool) {
        let has_average = self.average_latency > 0.0;
        let previous = if has_average {
            self.average_latency
        } else {
            latency
        };
        self.average_latency = previous + SAMPLE_WEIGHT * (latency - previous);
        if now.saturating_duration_since(self.window_start) >= BASELINE_WINDOW {
            self.window_start = now;
            self.baselines = [f64::INFINITY, self.baselines[0]];
        }
        self.baselines[0] = self.baselines[0].min(self.average_latency);
        let baseline = self.baselines[0].min(self.baselines[1]);
        let queued = self.limit * (1.0 - baseline / self.average_latency.max(f64::MIN_POSITIVE));
        // While the limit is not reached, latencies do not show whether a higher one is safe.
        if queued < MIN_QUEUED && was_saturated {
            self.limit = (self.limit + 1.0 / self.limit).min(self.max);
        } else if queued > MAX_QUEUED {
            self.limit = (self.limit - 1.0 / self.limit).max(1.0);
        }
    }
}
