//! Order in which endpoints are tried for a statement.
//!
//! The cost of an endpoint is the time after which its answer is likely to come: the way there, the
//! service time times the work ahead, and a new connection where no idle one fits. An endpoint
//! that failed its last try, or is cold, comes after those that did not.
//!
//! # Examples
//!
//! ```
//! use std::time::Duration;
//! use filbertbay_coordination::placement::{EndpointEstimate, rank};
//!
//! let near = EndpointEstimate { round_trip: Duration::from_millis(1), ..EndpointEstimate::default() };
//! let far = EndpointEstimate { round_trip: Duration::from_millis(16), ..EndpointEstimate::default() };
//! let busy = EndpointEstimate { latency: Duration::from_millis(40), ..near };
//! assert_eq!(rank(&[far, busy, near]), [2, 0, 1]);
//! ```

use std::time::Duration;

/// Time that an endpoint needs for a new connection.
const HANDSHAKE: Duration = Duration::from_millis(12);

/// What a try at an endpoint promises.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct EndpointEstimate {
    /// Round trip to the endpoint's data centre.
    pub round_trip: Duration,
    /// Moving average of the time that its answers take, without the way.
    pub latency: Duration,
    /// Statements of this instance that it works on.
    pub in_flight: usize,
    /// Statements that it runs at once.
    pub slots: usize,
    /// Whether an idle connection of the workspace is at hand.
    pub has_idle_connection: bool,
    /// Whether every connection is in use.
    pub is_full: bool,
    /// Whether the last try failed.
    pub is_failing: bool,
    /// Whether it is about to leave, or was just started and is slow.
    pub is_draining_or_cold: bool,
}

impl EndpointEstimate {
    fn cost(&self) -> (bool, bool, bool, Duration) {
        let ahead = self.in_flight / self.slots.max(1);
        let work = self.latency * (1 + u32::try_from(ahead).unwrap_or(u32::MAX));
        let connect = if self.has_idle_connection {
            Duration::ZERO
        } else {
            self.round_trip + HANDSHAKE
        };
        let cost = self.round_trip + work + connect;
        (
            self.is_failing,
            self.is_draining_or_cold,
            self.is_full,
            cost,
        )
    }
}

/// Returns the indices of the offers, the best first.
pub fn rank(offers: &[EndpointEstimate]) -> Vec<usize> {
    let mut indices: Vec<usize> = (0..offers.len()).collect();
    indices.sort_by_key(|index| offers[*index].cost());
    indices
}
