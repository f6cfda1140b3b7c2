//! Ranking of the endpoints that a statement is attempted on.
//!
//! The cost of an endpoint is its expected response time: the round trip, its latency multiplied
//! by the rounds of statements ahead, and the setup of a connection if no idle one is available.
//! Endpoints whose last attempt failed rank last. Among the remaining ones, draining and cold
//! endpoints rank last, then those with every connection in use.
//!
//! # Examples
//!
//! ```
//! use std::time::Duration;
//! use filbertbay_coordination::placement::{EndpointEstimate, rank};
//!
//! let near = EndpointEstimate {
//!     round_trip: Duration::from_millis(1),
//!     ..EndpointEstimate::default()
//! };
//! let far = EndpointEstimate { round_trip: Duration::from_millis(16), ..near };
//! let busy = EndpointEstimate { latency: Duration::from_millis(40), ..near };
//! assert_eq!(rank(&[far, busy, near]), [2, 0, 1]);
//! ```

use std::time::Duration;

/// Time that an endpoint takes to set up a connection, without the round trip.
const CONNECTION_SETUP: Duration = Duration::from_millis(12);

/// State of an endpoint that determines the expected response time of a statement.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct EndpointEstimate {
    /// Round-trip time to the endpoint's data centre.
    pub round_trip: Duration,
    /// Moving average of the endpoint's response time, without the round trip.
    pub latency: Duration,
    /// Statements that this instance has in flight to the endpoint.
    pub in_flight: usize,
    /// Statements that the endpoint runs concurrently; zero counts as one.
    pub slots: usize,
    /// Whether the workspace has an idle connection to the endpoint.
    pub has_idle_connection: bool,
    /// Whether every connection to the endpoint is in use.
    pub is_full: bool,
    /// Whether the last attempt failed.
    pub is_failing: bool,
    /// Whether the endpoint is draining, or was started recently and is still slow.
    pub is_draining_or_cold: bool,
}

impl EndpointEstimate {
    /// Returns the sort key of the endpoint; flags take precedence over the response time.
    fn cost(&self) -> (bool, bool, bool, Duration) {
        let rounds_ahead = self.in_flight / self.slots.max(1);
        let work = self.latency * (1 + u32::try_from(rounds_ahead).unwrap_or(u32::MAX));
        let connect = if self.has_idle_connection {
            Duration::ZERO
        } else {
            self.round_trip + CONNECTION_SETUP
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

/// Returns the indices of the endpoints by increasing cost; ties keep their order.
pub fn rank(endpoints: &[EndpointEstimate]) -> Vec<usize> {
    let mut indices: Vec<usize> = (0..endpoints.len()).collect();
    indices.sort_by_key(|index| endpoints[*index].cost());
    indices
}
