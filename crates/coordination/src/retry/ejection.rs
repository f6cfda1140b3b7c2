use std::time::{Duration, Instant};

/// Inverse of the weight of a new sample in the moving average of latencies.
const AVERAGE_DIVISOR: u32 = 16;

/// Number of answers from which on the average latency of an endpoint is used.
const MIN_ANSWERS: u32 = 20;

/// Multiple of the median of the other endpoints' average latencies above which one is ejected.
const SLOW_FACTOR: u32 = 4;

/// Latency up to which no endpoint is ejected.
const MIN_SLOW_LATENCY: Duration = Duration::from_millis(5);

/// Maximum factor by which repeated ejections are extended.
const MAX_EJECTION_FACTOR: u32 = 8;

/// Latency outlier detector, which ejects endpoints that are much slower than their peers.
///
/// Only a minority of the endpoints is ejected at a time, so that a fault that slows all of them
/// never leaves reads without an endpoint. An endpoint returns when its ejection time is over, with
/// its latency history cleared. Each further ejection of an endpoint lasts twice as long, up to
/// eight times the first one.
///
/// # Examples
///
/// ```
/// use std::time::{Duration, Instant};
/// use filbertbay_coordination::retry::OutlierDetector;
///
/// let now = Instant::now();
/// let mut detector = OutlierDetector::new(3, Duration::from_secs(1));
/// for _ in 0..50 {
///     detector.record_latency(now, 0, Duration::from_millis(2));
///     detector.record_latency(now, 1, Duration::from_millis(2));
///     detector.record_latency(now, 2, Duration::from_millis(90));
/// }
/// assert!(detector.is_ejected(now, 2));
/// assert!(!detector.is_ejected(now + Duration::from_secs(1), 2));
/// ```
#[derive(Clone, Debug)]
pub struct OutlierDetector {
    endpoints: Vec<Endpoint>,
    ejection_time: Duration,
}

#[derive(Clone, Copy, Debug)]
struct Endpoint {
    average_latency: Duration,
    answers: u32,
    ejected_until: Option<Instant>,
    ejection_factor: u32,
}

impl OutlierDetector {
    /// Creates a detector for `count` endpoints; the first ejection of each lasts `ejection_time`.
    pub fn new(count: usize, ejection_time: Duration) -> Self {
        let endpoint = Endpoint {
            average_latency: Duration::ZERO,
            answers: 0,
            ejected_until: None,
            ejection_factor: 1,
        };
        Self {
            endpoints: vec![endpoint; count],
            ejection_time,
        }
    }

    /// Records the latency of an answer, and ejects the endpoint if its average is too high.
    ///
    /// # Panics
    ///
    /// Panics if `index` is not below the number of endpoints.
    pub fn record_latency(&mut self, now: Instant, index: usize, latency: Duration) {
        let endpoint = &mut self.endpoints[index];
        let has_average = endpoint.answers > 0;
        let previous = if has_average {
            endpoint.average_latency
        } else {
            latency
        };
        endpoint.average_latency = (previous * (AVERAGE_DIVISOR - 1) + latency) / AVERAGE_DIVISOR;
        endpoint.answers = endpoint.answers.saturating_add(1);
        if self.is_slow(now, index) && self.may_eject(now) {
            self.eject(now, index);
        }
    }

    /// Returns whether an endpoint is ejected at `now`.
    ///
    /// # Panics
    ///
    /// Panics if `index` is not below the number of endpoints.
    pub fn is_ejected(&self, now: Instant, index: usize) -> bool {
        self.endpoints[index]
            .ejected_until
            .is_some_and(|until| now < until)
    }

    /// Returns whether the average latency of an endpoint that is not ejected is an outlier.
    fn is_slow(&self, now: Instant, index: usize) -> bool {
        let endpoint = &self.endpoints[index];
        if endpoint.answers < MIN_ANSWERS || self.is_ejected(now, index) {
            return false;
        }
        let indexed = self.endpoints.iter().enumerate();
        let peers = indexed
            .filter(|(peer_index, peer)| *peer_index != index && peer.answers >= MIN_ANSWERS);
        let mut latencies: Vec<Duration> = peers.map(|(_, peer)| peer.average_latency).collect();
        latencies.sort();
        let median = latencies.get(latencies.len().saturating_sub(1) / 2);
        median.is_some_and(|median| {
            endpoint.average_latency > MIN_SLOW_LATENCY.max(*median * SLOW_FACTOR)
        })
    }

    /// Returns true if the ejected endpoints remain a minority after one more ejection.
    fn may_eject(&self, now: Instant) -> bool {
        let count = self.endpoints.len();
        let ejected = (0..count)
            .filter(|index| self.is_ejected(now, *index))
            .count();
        (ejected + 1) * 2 < count
    }

    fn eject(&mut self, now: Instant, index: usize) {
        let endpoint = &mut self.endpoints[index];
        endpoint.ejected_until = Some(now + self.ejection_time * endpoint.ejection_factor);
        endpoint.ejection_factor = (endpoint.ejection_factor * 2).min(MAX_EJECTION_FACTOR);
        endpoint.answers = 0;
    }
}
