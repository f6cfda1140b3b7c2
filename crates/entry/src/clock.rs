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
    start: Duration,
}

impl Clock {
    /// Starts the clock.
    pub fn start() -> Self {
        Self {
            base: Instant::now(),
            start: boot_time(),
        }
    }

    /// Returns the present time.
    pub fn now(&self) -> Instant {
        self.base + boot_time().saturating_sub(self.start)
    }

    /// Returns the time since the start.
    pub fn uptime(&self) -> Duration {
        boot_time().saturating_sub(self.start)
    }

    /// Returns when the clock was started.
    pub fn started(&self) -> Instant {
        self.base
    }
}

fn boot_time() -> Duration {
    // The kernel has had this clock since 2.6.39; without it no limit would hold.
    clock_gettime(ClockId::CLOCK_BOOTTIME)
        .expect("the kernel has a clock that counts suspension")
        .into()
}
