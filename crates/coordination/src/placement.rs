//! Ranking of the endpoints that a statement is attempted on.
//!
//! The cost of an endpoint is its expected response time: the round trip, the wait for the learnt
//! concurrency, its latency multiplied by the rounds of statements ahead, the setup of a connection if
//! no idle one is available, and the time that its recent share of failures is expected to cost.
//! Endpoints whose last attempt failed rank last. Among the remaining ones, draining and cold
//! endpoints rank last, then those with every connection in use.
//!
//! [`rank`] answers a load that no health check shows: an endpoint that fails, sheds or loses a part
//! of its statements while it says that it is well. Its cost grows with the [`FailureShare`] that this
//! instance observed, which decays, so that it is tried again now and then.
//! [`rank_randomized`] keeps many instances that observe the same costs from moving together: it picks
//! two of the nearly equal best endpoints at random and puts the cheaper one first. It
//! also lets a small share of the statements try an endpoint that is passed over for its failures alone.
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

use std::time::{Duration, Instant};

use rand::Rng;
use rand::seq::index;

/// Time that an endpoint takes to set up a connection, without the round trip.
const CONNECTION_SETUP: Duration = Duration::from_millis(12);

/// Time that a failed attempt costs its statement beyond the attempt at another endpoint.
const FAILURE_COST: Duration = Duration::from_millis(120);

/// Share of the statements that try an endpoint which is passed over for its failures alone.
const PROBE_SHARE: f64 = 0.02;

/// Weight of a new result in the share of failures.
const FAILURE_WEIGHT: f64 = 1.0 / 8.0;

/// Time without results in which the share of failures halves.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(2);

/// Share of the choices that the second one of only two nearly equal endpoints gets. Drawing two of two
/// would always choose the first.
const SECOND_OF_TWO_SHARE: f64 = 0.25;

/// Costs are nearly equal up to this factor of the lowest one.
const NEARLY_EQUAL_FACTOR: f64 = 1.25;

/// State of an endpoint that determines the expected response time of a statement.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct EndpointEstimate {
    /// Round-trip time to the endpoint's data centre.
    pub round_trip: Duration,
    /// Moving average of the endpoint's response time, without the round trip.
    pub latency: Duration,
    /// Expected wait until the learnt concurrency lets the statement start.
    pub wait: Duration,
    /// Share of the recent attempts that failed, in thousandths.
    pub failures_per_mille: u16,
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
    /// Whether the endpoint is the primary, which carries the writes as well and is not drawn.
    pub is_primary: bool,
}

/// Share of the recent attempts at an endpoint that failed, as this instance observed it.
///
/// # Examples
///
/// ```
/// use std::time::{Duration, Instant};
/// use filbertbay_coordination::placement::FailureShare;
///
/// let now = Instant::now();
/// let mut share = FailureShare::default();
/// share.record(now, true);
/// assert_eq!(share.per_mille(now), 125);
/// assert_eq!(share.per_mille(now + Duration::from_secs(4)), 31);
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct FailureShare {
    share: f64,
    recorded_at: Option<Instant>,
}

impl FailureShare {
    /// Records the result of an attempt: whether it failed, was shed or was lost.
    pub fn record(&mut self, now: Instant, has_failed: bool) {
        let result = if has_failed { 1.0 } else { 0.0 };
        let share = self.at(now);
        self.share = share + FAILURE_WEIGHT * (result - share);
        self.recorded_at = Some(now);
    }

    /// Returns the share in thousandths; it decays while nothing is recorded.
    pub fn per_mille(&self, now: Instant) -> u16 {
        (self.at(now) * 1_000.0) as u16
    }

    fn at(&self, now: Instant) -> f64 {
        let Some(recorded_at) = self.recorded_at else {
            return 0.0;
        };
        let age = now.saturating_duration_since(recorded_at);
        self.share * 0.5_f64.powf(age.as_secs_f64() / FAILURE_HALF_LIFE.as_secs_f64())
    }
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
        let failures = FAILURE_COST * u32::from(self.failures_per_mille) / 1_000;
        let cost = self.round_trip + self.wait + work + connect + failures;
        (
            self.is_failing,
            self.is_draining_or_cold,
            self.is_full,
            cost,
        )
    }

    /// Returns whether the endpoint is as good as the best one, whose key is `best`.
    fn is_nearly(&self, best: (bool, bool, bool, Duration)) -> bool {
        let cost = self.cost();
        let flags = (cost.0, cost.1, cost.2);
        flags == (best.0, best.1, best.2) && cost.3 <= best.3.mul_f64(NEARLY_EQUAL_FACTOR)
    }
}

/// Returns the indices of the endpoints by increasing cost; ties keep their order.
pub fn rank(endpoints: &[EndpointEstimate]) -> Vec<usize> {
    let mut indices: Vec<usize> = (0..endpoints.len()).collect();
    indices.sort_by_key(|index| endpoints[*index].cost());
    indices
}

/// Like [`rank`], but draws two of the replicas that are nearly as good as the best endpoint, and puts
/// the cheaper one of these first.
pub fn rank_randomized<R>(endpoints: &[EndpointEstimate], rng: &mut R) -> Vec<usize>
where
    R: Rng,
{
    let mut ranked = rank(endpoints);
    let Some(first) = ranked.first() else {
        return ranked;
    };
    let best = endpoints[*first].cost();
    let is_passed_over = |index: &usize| {
        let without_failures = EndpointEstimate {
            failures_per_mille: 0,
            ..endpoints[*index]
        };
        !endpoints[*index].is_nearly(best) && without_failures.is_nearly(best)
    };
    if let Some(position) = ranked.iter().position(is_passed_over)
        && rng.random_bool(PROBE_SHARE)
    {
        let probed = ranked.remove(position);
        ranked.insert(0, probed);
        return ranked;
    }
    let is_candidate =
        |index: &usize| !endpoints[*index].is_primary && endpoints[*index].is_nearly(best);
    // Positions are by increasing cost, so the lower of two positions is the cheaper endpoint.
    let candidates: Vec<usize> = (0..ranked.len())
        .filter(|position| is_candidate(&ranked[*position]))
        .collect();
    if candidates.len() > 2 {
        let drawn = index::sample(rng, candidates.len(), 2);
        let position = candidates[drawn.iter().min().unwrap_or(0)];
        let chosen = ranked.remove(position);
        ranked.insert(0, chosen);
    } else if candidates.len() == 2 && rng.random_bool(SECOND_OF_TWO_SHARE) {
        let chosen = ranked.remove(candidates[1]);
        ranked.insert(0, chosen);
    }
    ranked
}
