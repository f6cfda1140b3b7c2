//! Monotonic clock that also advances while the machine is suspended.

use std::time::{Duration, Instant};

use nix::time::{ClockId, clock_gettime};

/// Monotonic clock of one process.
///
/// `Instant::now` does not advance while a machine is suspended, so a lease measured by it would
/// outlive its duration. This clock includes suspended time and is not affected by changes of the
/// time of day.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    base: Instant,
    start_since_boot: Duration,
}

impl Clock {
    /// Creates a clock whose uptime is zero.
    pub fn start() -> Self {
        Self {
            base: Instant::now(),
            start_since_boot: time_since_boot(),
        }
    }

    /// Returns the current time.
    pub fn now(&self) -> Instant {
        self.base + time_since_boot().saturating_sub(self.start_since_boot)
    }

    /// Returns the time since the clock was started.
    pub fn uptime(&self) -> Duration {
        time_since_boot().saturating_sub(self.start_since_boot)
    }

    /// Returns when the clock was started.
    pub fn started_at(&self) -> Instant {
        self.base
    }
}

fn time_since_boot() -> Duration {
    // Linux has had this clock since 2.6.39. Without it no lease or time limit would hold.
    clock_gettime(ClockId::CLOCK_BOOTTIME)
        .expect("the kernel has a clock that counts suspension")
        .into()
}
