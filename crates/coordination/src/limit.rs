//! Adaptive limit on the statements that an instance sends to a member at once.
//!
//! A member runs only as many statements as it has slots; what is sent beyond that waits at the
//! member, where no fairness holds and no deadline is seen. The limit grows by one while statements
//! come back about as fast as the fastest seen of late, and shrinks when they take so much longer
//! that they must have waited. A statement that was not answered cuts it by a quarter.
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

/// Statements that may wait at the member before the limit shrinks.
const MAX_WAITING: f64 = 1.0;

/// Statements waiting at the member below which the limit grows.
const MIN_WAITING: f64 = 0.3;

/// Share of a new run time in the running average.
const AVERAGE_SHARE: f64 = 0.1;

/// Factor to which a statement without an answer cuts the limit.
const CUT: f64 = 0.75;

/// Time after which the fastest run is looked for anew.
const BASE_WINDOW: Duration = Duration::from_secs(10);

/// Options of a [`ConcurrencyLimit`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Config {
    /// Largest limit, such as the connections that the instance has to the member.
    pub max: u32,
}

/// ConcurrencyLimit towards one member.
#[derive(Clone, Copy, Debug)]
pub struct ConcurrencyLimit {
    max: f64,
    size: f64,
    in_flight: u32,
    average: f64,
    /// Fastest averages of the present window and of the one before.
    base: [f64; 2],
    window_since: Instant,
}

impl ConcurrencyLimit {
    /// Opens a limit that starts at one statement.
    pub fn new(now: Instant, config: Config) -> Self {
        Self {
            max: f64::from(config.max.max(1)),
            size: 1.0,
            in_flight: 0,
            average: 0.0,
            base: [f64::INFINITY; 2],
            window_since: now,
        }
    }

    /// Returns how many statements may run at once.
    pub fn current(&self) -> u32 {
        self.size as u32
    }

    /// Returns how many statements run.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Takes a place for a statement, and tells whether there was one.
    pub fn try_acquire(&mut self) -> bool {
        let free = self.in_flight < self.current();
        self.in_flight += u32::from(free);
        free
    }

    /// Gives a place back; `took` is the run time of a statement that was answered.
    pub fn release(&mut self, now: Instant, took: Option<Duration>) {
        let was_full = self.in_flight >= self.current();
        self.in_flight = self.in_flight.saturating_sub(1);
        match took {
            Some(took) => self.learn(now, took.as_secs_f64(), was_full),
            None => self.size = (self.size * CUT).max(1.0),
        }
    }

    fn learn(&mut self, now: Instant, took: f64, was_full: bool) {
        let known = self.average > 0.0;
        let before = if known { self.average } else { took };
        self.average = before + AVERAGE_SHARE * (took - before);
        if now.saturating_duration_since(self.window_since) >= BASE_WINDOW {
            self.window_since = now;
            self.base = [f64::INFINITY, self.base[0]];
        }
        self.base[0] = self.base[0].min(self.average);
        let base = self.base[0].min(self.base[1]);
        let waiting = self.size * (1.0 - base / self.average.max(f64::MIN_POSITIVE));
        // A limit that is not reached says nothing about a higher one.
        if waiting < MIN_WAITING && was_full {
            self.size = (self.size + 1.0 / self.size).min(self.max);
        } else if waiting > MAX_WAITING {
            self.size = (self.size - 1.0 / self.size).max(1.0);
        }
    }
}
