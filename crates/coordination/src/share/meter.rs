use std::time::{Duration, Instant};

/// Time over which demand is averaged.
const DEMAND_WINDOW: Duration = Duration::from_secs(1);

/// Time within which demand is added up without decay.
const DEMAND_STEP: Duration = Duration::from_millis(1);

/// Tokens wanted per window, decaying exponentially in steps of time.
#[derive(Clone, Copy, Debug)]
pub(super) struct Meter {
    pub(super) micros: f64,
    pub(super) at: Instant,
}

impl Meter {
    pub(super) fn add(&mut self, now: Instant, micros: u64) {
        self.decay(now);
        self.micros += micros as f64;
    }

    pub(super) fn decay(&mut self, now: Instant) {
        let passed = now.saturating_duration_since(self.at);
        if passed < DEMAND_STEP {
            return;
        }
        self.micros *= (-passed.as_secs_f64() / DEMAND_WINDOW.as_secs_f64()).exp();
        self.at = now;
    }

    /// Returns micro-tokens a second.
    pub(super) fn per_second(&mut self, now: Instant) -> u64 {
        self.decay(now);
        (self.micros / DEMAND_WINDOW.as_secs_f64()) as u64
    }
}
