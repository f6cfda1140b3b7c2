use std::time::{Duration, Instant};

/// Share of a new latency in the running average, as a divisor.
const AVERAGE_DIVISOR: u32 = 16;

/// Answers after which an average counts.
const MIN_ANSWERS: u32 = 20;

/// Factor above the median of the others at which an endpoint is ejected.
const SLOW_FACTOR: u32 = 4;

/// Latency below which no endpoint is called slow.
const FLOOR: Duration = Duration::from_millis(5);

/// Factor by which the time of ejection grows at most.
const MAX_WIDENING: u32 = 8;

/// Ejection of endpoints that are much slower than their peers.
///
/// At most a minority of the endpoints is ejected at a time, so that a fault that slows them all
/// never leaves reads without an endpoint. An endpoint returns after its time and starts with no
/// latency on record; one that is ejected again stays out longer.
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
    time: Duration,
}

#[derive(Clone, Copy, Debug)]
struct Endpoint {
    average: Duration,
    answers: u32,
    until: Option<Instant>,
    widening: u32,
}

impl OutlierDetector {
    /// Opens the record of `count` endpoints; `time` is the length of a first ejection.
    pub fn new(count: usize, time: Duration) -> Self {
        let endpoint = Endpoint {
            average: Duration::ZERO,
            answers: 0,
            until: None,
            widening: 1,
        };
        Self {
            endpoints: vec![endpoint; count],
            time,
        }
    }

    /// Notes the latency of an answer, and ejects the endpoint if it is too slow.
    ///
    /// # Panics
    ///
    /// Panics if `index` is not below the number of endpoints.
    pub fn record_latency(&mut self, now: Instant, index: usize, latency: Duration) {
        let endpoint = &mut self.endpoints[index];
        let known = endpoint.answers > 0;
        let before = if known { endpoint.average } else { latency };
        endpoint.average = (before * (AVERAGE_DIVISOR - 1) + latency) / AVERAGE_DIVISOR;
        endpoint.answers = endpoint.answers.saturating_add(1);
        if self.is_slow(now, index) && self.may_eject(now) {
            self.eject(now, index);
        }
    }

    /// Returns whether an endpoint should be passed over.
    ///
    /// # Panics
    ///
    /// Panics if `index` is not below the number of endpoints.
    pub fn is_ejected(&self, now: Instant, index: usize) -> bool {
        self.endpoints[index].until.is_some_and(|until| now < until)
    }

    fn is_slow(&self, now: Instant, index: usize) -> bool {
        let endpoint = &self.endpoints[index];
        if endpoint.answers < MIN_ANSWERS || self.is_ejected(now, index) {
            return false;
        }
        let others = self.endpoints.iter().enumerate();
        let counted = others.filter(|(other, one)| *other != index && one.answers >= MIN_ANSWERS);
        let mut averages: Vec<Duration> = counted.map(|(_, one)| one.average).collect();
        averages.sort();
        let median = averages.get(averages.len().saturating_sub(1) / 2);
        median.is_some_and(|median| endpoint.average > FLOOR.max(*median * SLOW_FACTOR))
    }

    fn may_eject(&self, now: Instant) -> bool {
        let count = self.endpoints.len();
        let ejected = (0..count)
            .filter(|index| self.is_ejected(now, *index))
            .count();
        (ejected + 1) * 2 < count
    }

    fn eject(&mut self, now: Instant, index: usize) {
        let endpoint = &mut self.endpoints[index];
        endpoint.until = Some(now + self.time * endpoint.widening);
        endpoint.widening = (endpoint.widening * 2).min(MAX_WIDENING);
        endpoint.answers = 0;
    }
}
