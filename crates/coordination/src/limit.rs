//! Adaptive concurrency limit on the statements that an instance has in flight to an endpoint.
//!
//! An endpoint runs only as many statements at once as it has slots, and others use them too.
//! Statements beyond that queue at the endpoint, where neither priority nor fairness nor deadlines
//! are enforced. The limit answers two loads: more statements than the slots serve, and an endpoint
//! whose speed changes long before its connections are used up.
//!
//! It starts from the endpoint's slots and learns from two signals:
//!
//! - **Latency under load against latency at rest.** Service times differ by kind of statement and
//!   are widely spread, so each kind has its own baseline: the average latency of statements at
//!   whose start at most half of the slots were in use from here. The ratio of a latency to the
//!   baseline of its kind, averaged over some 16 statements and clipped, is the *slowdown*. While it is
//!   low and the limit is reached, the limit grows by one per round of statements; while it is high,
//!   the limit shrinks. A limit that shrank to half of the slots measures baselines again: an endpoint
//!   that serves well and slowly gets its concurrency back.
//! - **Refusals.** An endpoint that refuses because its own queue is full multiplies the limit by
//!   0.75, once per 100 ms, as such refusals come in bunches.
//!
//! A statement that is not answered ends without effect on the limit: its connection was lost, or the
//! endpoint is dark, and neither says how much the endpoint takes.
//!
//! # Examples
//!
//! ```
//! use std::time::{Duration, Instant};
//! use filbertbay_coordination::limit::{ConcurrencyLimit, Config, Outcome};
//!
//! let now = Instant::now();
//! let mut limit = ConcurrencyLimit::new(now, Config { slots: 2, max: 8 });
//! assert!(limit.try_acquire(now));
//! let later = now + Duration::from_millis(3);
//! limit.release(later, Outcome::Answered { kind: 0, latency: later - now });
//! assert_eq!(limit.current(), 2);
//! ```

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

/// Slowdown below which the limit grows.
const GROW_BELOW: f64 = 1.2;

/// Slowdown above which the limit shrinks.
const SHRINK_ABOVE: f64 = 1.5;

/// Slowdown below which the endpoint has become faster than its baselines.
const FASTER_BELOW: f64 = 0.7;

/// Weight of a new sample in the slowdown.
const SLOWDOWN_WEIGHT: f64 = 1.0 / 16.0;

/// Highest slowdown of one statement that counts, so that a few slow ones don't lower the limit.
const MAX_SAMPLE: f64 = 4.0;

/// Least weight of a new sample in a baseline; the first samples are averaged plainly.
const BASELINE_WEIGHT: f64 = 1.0 / 12.0;

/// Samples that a baseline needs before latencies are compared to it.
const MIN_BASELINE_SAMPLES: u32 = 6;

/// Changes of the load that are remembered, more than one long statement sees.
const MAX_TRANSITIONS: usize = 64;

/// Factor by which a refusal multiplies the limit.
const DECREASE_FACTOR: f64 = 0.75;

/// Least time between two decreases for refusals.
const DECREASE_INTERVAL: Duration = Duration::from_millis(100);

/// Time after a refusal in which the limit does not grow.
const GROWTH_PAUSE: Duration = Duration::from_millis(250);

/// Configuration of a [`ConcurrencyLimit`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Config {
    /// Statements that the endpoint runs at once; the limit starts here. Zero counts as one.
    pub slots: u32,
    /// Upper bound of the limit; the lower one is 1.
    pub max: u32,
}

/// How a statement in flight ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The endpoint answered.
    Answered {
        /// Kind of the statement; latencies are compared within a kind only.
        kind: u8,
        /// Time from sending the statement until the answer.
        latency: Duration,
    },
    /// The endpoint refused because its queue was full.
    Refused,
    /// The statement was not answered or not sent, or its answer says nothing about the load.
    Unknown,
}

/// Concurrency limit of one endpoint.
#[derive(Clone, Debug)]
pub struct ConcurrencyLimit {
    config: Config,
    limit: f64,
    in_flight: u32,
    baselines: BTreeMap<u8, Baseline>,
    slowdown: f64,
    /// Times at which the load rose above half of the slots (true) or fell to it, the newest last.
    transitions: VecDeque<(Instant, bool)>,
    last_refused: Option<Instant>,
    last_decrease: Option<Instant>,
}

/// Average latency of one kind of statement at rest, in seconds.
#[derive(Clone, Copy, Debug, Default)]
struct Baseline {
    average: f64,
    samples: u32,
}

impl Baseline {
    fn record(&mut self, latency: f64) {
        self.samples = self.samples.saturating_add(1);
        let weight = BASELINE_WEIGHT.max(1.0 / f64::from(self.samples));
        self.average += weight * (latency - self.average);
    }
}

impl ConcurrencyLimit {
    /// Creates a limit that starts at the endpoint's slots.
    pub fn new(now: Instant, config: Config) -> Self {
        let mut limit = Self {
            config,
            limit: 1.0,
            in_flight: 0,
            baselines: BTreeMap::new(),
            slowdown: 1.0,
            transitions: VecDeque::new(),
            last_refused: None,
            last_decrease: None,
        };
        limit.configure(now, config);
        limit.limit = f64::from(config.slots.max(1)).min(limit.max());
        limit
    }

    /// Applies a new configuration. Other slots than before start the limit anew from there.
    pub fn configure(&mut self, now: Instant, config: Config) {
        if config.slots != self.config.slots {
            self.limit = f64::from(config.slots.max(1));
            self.baselines.clear();
            self.slowdown = 1.0;
        }
        self.config = config;
        self.limit = self.limit.min(self.max());
        self.note_load(now);
    }

    /// Returns the current limit, at least 1.
    pub fn current(&self) -> u32 {
        self.limit as u32
    }

    /// Returns the number of statements in flight.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns whether another statement may start.
    pub fn has_room(&self) -> bool {
        self.in_flight < self.current()
    }

    /// Counts a statement as in flight if the limit allows it, and returns whether it does.
    pub fn try_acquire(&mut self, now: Instant) -> bool {
        let is_allowed = self.has_room();
        if is_allowed {
            self.acquire(now);
        }
        is_allowed
    }

    /// Counts a statement as in flight whatever the limit, for the statements of a transaction that
    /// holds a connection already.
    pub fn acquire(&mut self, now: Instant) {
        self.in_flight += 1;
        self.note_load(now);
    }

    /// Ends a statement in flight and adjusts the limit.
    pub fn release(&mut self, now: Instant, outcome: Outcome) {
        let was_saturated = self.in_flight >= self.current();
        self.in_flight = self.in_flight.saturating_sub(1);
        self.note_load(now);
        match outcome {
            Outcome::Answered { kind, latency } => self.update(now, kind, latency, was_saturated),
            Outcome::Refused => self.decrease(now),
            Outcome::Unknown => {}
        }
    }

    fn decrease(&mut self, now: Instant) {
        self.last_refused = Some(now);
        if is_within(self.last_decrease, now, DECREASE_INTERVAL) {
            return;
        }
        self.last_decrease = Some(now);
        self.limit = (self.limit * DECREASE_FACTOR).max(1.0);
    }

    fn update(&mut self, now: Instant, kind: u8, latency: Duration, was_saturated: bool) {
        let seconds = latency.as_secs_f64().max(f64::MIN_POSITIVE);
        // Judged by its start: most of the long statements see load before they end, and a baseline of
        // the others would be too low.
        let is_at_rest = now
            .checked_sub(latency)
            .is_some_and(|start| self.is_at_rest(start));
        let baseline = self.baselines.entry(kind).or_default();
        if baseline.samples >= MIN_BASELINE_SAMPLES {
            let ratio = (seconds / baseline.average).min(MAX_SAMPLE);
            self.slowdown += SLOWDOWN_WEIGHT * (ratio - self.slowdown);
        }
        // Until a baseline is known, load within the slots is the best that can be had.
        if is_at_rest || baseline.samples < MIN_BASELINE_SAMPLES {
            baseline.record(seconds);
        }
        if self.slowdown < FASTER_BELOW {
            for baseline in self.baselines.values_mut() {
                baseline.average *= self.slowdown;
            }
            self.slowdown = 1.0;
        }
        let may_grow = was_saturated && !is_within(self.last_refused, now, GROWTH_PAUSE);
        if self.slowdown < GROW_BELOW && may_grow {
            self.limit = (self.limit + 1.0 / self.limit).min(self.max());
        } else if self.slowdown > SHRINK_ABOVE && !is_at_rest {
            let step = (self.slowdown - 1.0) / self.limit;
            self.limit = (self.limit - step).max(1.0);
        }
    }

    fn max(&self) -> f64 {
        f64::from(self.config.max.max(1))
    }

    /// Records whether more than half of the slots are in use from here.
    fn note_load(&mut self, now: Instant) {
        let is_loaded = self.in_flight > (self.config.slots / 2).max(1);
        if let Some(last) = self.transitions.back_mut()
            && last.0 == now
        {
            last.1 = is_loaded;
        } else if self.transitions.back().map(|last| last.1) != Some(is_loaded) {
            self.transitions.push_back((now, is_loaded));
        }
        if self.transitions.len() > MAX_TRANSITIONS {
            self.transitions.pop_front();
        }
    }

    /// Returns whether at most half of the slots were in use from here at `moment`; false if that is too
    /// long ago to know.
    fn is_at_rest(&self, moment: Instant) -> bool {
        let mut known = self.transitions.iter().rev();
        known
            .find(|(at, _)| *at <= moment)
            .is_some_and(|(_, is_loaded)| !is_loaded)
    }
}

fn is_within(moment: Option<Instant>, now: Instant, span: Duration) -> bool {
    moment.is_some_and(|moment| now.saturating_duration_since(moment) < span)
}
