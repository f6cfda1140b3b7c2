//! Meter of token demand with exponential decay.

use std::time::{Duration, Instant};

/// Time constant of the exponential decay.
const DECAY_TIME_CONSTANT: Duration = Duration::from_secs(1);

/// Shortest interval after which the decay is applied; within it demand is only added up.
const MIN_DECAY_STEP: Duration = Duration::from_millis(1);

/// Demand for micro-tokens, averaged with exponential decay.
#[derive(Clone, Copy, Debug)]
pub(super) struct DemandMeter {
    /// Micro-tokens demanded in the time constant, after decay up to `decayed_at`.
    pub(super) micro_tokens: f64,
    pub(super) decayed_at: Instant,
}

impl DemandMeter {
    /// Adds `micro_tokens` of demand at `now`.
    pub(super) fn add(&mut self, now: Instant, micro_tokens: u64) {
        self.decay(now);
        self.micro_tokens += micro_tokens as f64;
    }

    /// Applies the decay for the time since the last update.
    pub(super) fn decay(&mut self, now: Instant) {
        let passed = now.saturating_duration_since(self.decayed_at);
        if passed < MIN_DECAY_STEP {
            return;
        }
        self.micro_tokens *= (-passed.as_secs_f64() / DECAY_TIME_CONSTANT.as_secs_f64()).exp();
        self.decayed_at = now;
    }

    /// Returns the average demand in micro-tokens a second.
    pub(super) fn per_second(&mut self, now: Instant) -> u64 {
        self.decay(now);
        (self.micro_tokens / DECAY_TIME_CONSTANT.as_secs_f64()) as u64
    }
}
