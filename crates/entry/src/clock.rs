//! Time that also passes while the machine is suspended.

use std::time::{Duration, Instant};

use nix::time::{ClockId, clock_gettime};

/// Clock of one process.
///
/// `Instant::now` stands still while a machine is suspended, so a permission counted by it would
/// outlive its limit. This clock counts suspension and never jumps with the time of day.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    base: Instant,
    start_since_boot: Duration,
}

impl Clock {
    /// Starts the clock.
    pub fn start() -> Self {
        Self {
            base: Instant::now(),
            start_since_boot: time_since_boot(),
        }
    }

    /// Returns the present time.
    pub fn now(&self) -> Instant {
        self.base + time_since_boot().saturating_sub(self.start_since_boot)
    }

    /// Returns the time since the start.
    pub fn uptime(&self) -> Duration {
        time_since_boot().saturating_sub(self.start_since_boot)
    }

    /// Returns when the clock was started.
    pub fn started_at(&self) -> Instant {
        self.base
    }
}

fn time_since_boot() -> Duration {
    // The kernel has had this clock since 2.6.39; without it no limit would hold.
    clock_gettime(ClockId::CLOCK_BOOTTIME)
        .expect("the kernel has a clock that counts suspension")
        .into()
}
