//! Tests of the adaptive concurrency limit: it converges to the slots of the member, follows a loss
//! of slots, and stays within its bounds.

use std::time::{Duration, Instant};

use filbertbay_coordination::limit::{ConcurrencyLimit, Config, Outcome};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const SERVICE_TIME: Duration = Duration::from_millis(4);

/// Simulated member whose slots are shared by the statements in flight.
struct Member {
    now: Instant,
    limit: ConcurrencyLimit,
}

impl Member {
    /// Creates a member whose entry doesn't state its slots, so that the limit starts at one.
    fn new(max: u32) -> Self {
        let now = Instant::now();
        let limit = ConcurrencyLimit::new(now, Config { slots: 1, max });
        Self { now, limit }
    }

    /// Runs statements on `slots` slots for the given rounds and returns the mean limit.
    fn run(&mut self, slots: u32, rounds: u32) -> f64 {
        let mut sum = 0;
        for _ in 0..rounds {
            while self.limit.try_acquire(self.now) {}
            self.now += SERVICE_TIME;
            let in_flight = self.limit.in_flight();
            let slowdown = f64::from(in_flight.max(slots)) / f64::from(slots);
            for _ in 0..in_flight.min(slots) {
                let latency = SERVICE_TIME.mul_f64(slowdown);
                self.limit
                    .release(self.now, Outcome::Answered { kind: 0, latency });
            }
            sum += self.limit.current();
        }
        f64::from(sum) / f64::from(rounds)
    }
}

fn limit_converges_to_slots(slots: u8, extra: u8) -> bool {
    let slots = u32::from(slots % 6) + 1;
    let max = slots + u32::from(extra % 40);
    let mut member = Member::new(max);
    member.run(slots, 2_000);
    let limit = member.run(slots, 2_000);
    limit >= f64::from(slots) * 0.99 && limit <= f64::from(max.min(slots + 3))
}

#[test]
fn limit_converges_to_the_slots_of_the_member() {
    check::runner(16).quickcheck(limit_converges_to_slots as fn(u8, u8) -> bool);
}

/// Removes slots of the member after the limit has converged.
fn limit_follows_lost_slots(slots: u8, lost: u8) -> bool {
    let slots = u32::from(slots % 6) + 3;
    let remaining = slots - (u32::from(lost) % (slots - 1) + 1);
    let mut member = Member::new(40);
    member.run(slots, 2_000);
    member.run(remaining, 500);
    member.run(remaining, 500) <= f64::from(remaining + 3)
}

#[test]
fn limit_shrinks_when_slots_are_lost() {
    check::runner(16).quickcheck(limit_follows_lost_slots as fn(u8, u8) -> bool);
}

/// Returns a refusal, a lost answer or an answer after the given milliseconds.
fn outcome(latency: Option<u8>) -> Outcome {
    match latency {
        None => Outcome::Refused,
        Some(0) => Outcome::Unknown,
        Some(ms) => Outcome::Answered {
            kind: ms % 3,
            latency: Duration::from_millis(ms.into()),
        },
    }
}

#[expect(clippy::needless_pass_by_value, reason = "quickcheck passes values")]
fn limit_is_enforced_and_bounded(steps: Vec<(bool, Option<u8>)>, max: u8) -> bool {
    let mut now = Instant::now();
    let max = u32::from(max % 9) + 1;
    let mut limit = ConcurrencyLimit::new(now, Config { slots: max, max });
    steps.iter().all(|(acquire, latency)| {
        now += Duration::from_millis(1);
        let before = limit.in_flight();
        if *acquire {
            let acquired = limit.try_acquire(now);
            assert_eq!(acquired, limit.in_flight() > before);
            assert!(!acquired || limit.in_flight() <= limit.current());
        } else {
            limit.release(now, outcome(*latency));
        }
        (1..=max).contains(&limit.current())
    })
}

#[test]
fn in_flight_statements_stay_within_the_limit() {
    let property = limit_is_enforced_and_bounded as fn(Vec<(bool, Option<u8>)>, u8) -> bool;
    check::runner(200).quickcheck(property);
}

/// Endpoint that shares its slots evenly among the statements in flight, whose service times are
/// exponential; more than `queue` waiting ones are refused.
struct Endpoint {
    now: Instant,
    slots: f64,
    service_time: Duration,
    limit: ConcurrencyLimit,
    rng: ChaCha8Rng,
    running: Vec<(Instant, Instant)>,
}

impl Endpoint {
    fn new() -> Self {
        let now = Instant::now();
        Self {
            now,
            slots: 4.0,
            service_time: Duration::from_millis(15),
            limit: ConcurrencyLimit::new(now, Config { slots: 4, max: 32 }),
            rng: ChaCha8Rng::seed_from_u64(5),
            running: Vec::new(),
        }
    }

    /// Keeps the endpoint saturated for some milliseconds and returns the mean limit.
    fn run(&mut self, millis: u32) -> f64 {
        let mut sum = 0.0;
        for _ in 0..millis {
            self.now += Duration::from_millis(1);
            let now = self.now;
            for (_, sent) in self.running.extract_if(.., |(end, _)| *end <= now) {
                let latency = now - sent;
                self.limit
                    .release(now, Outcome::Answered { kind: 0, latency });
            }
            while self.limit.try_acquire(now) {
                let share = (f64::from(self.limit.in_flight()) / self.slots).max(1.0);
                let factor = -(1.0 - self.rng.random::<f64>()).ln() * share;
                self.running
                    .push((now + self.service_time.mul_f64(factor), now));
            }
            sum += f64::from(self.limit.current());
        }
        sum / f64::from(millis)
    }
}

#[test]
fn widely_spread_service_times_do_not_lower_the_limit() {
    let mut endpoint = Endpoint::new();
    endpoint.run(2_000);
    let limit = endpoint.run(20_000);
    assert!((3.0..10.0).contains(&limit), "mean limit {limit}");
}

/// Without a limit 32 statements wait on an endpoint that takes 120 ms for each, about a second.
#[test]
fn an_endpoint_that_turns_slow_is_followed_and_gets_its_concurrency_back() {
    let mut endpoint = Endpoint::new();
    endpoint.run(3_000);
    // It loses its slots but one and runs at half the speed: 8 times slower under this load.
    (endpoint.slots, endpoint.service_time) = (1.0, Duration::from_millis(30));
    endpoint.run(1_000);
    let slow = endpoint.run(2_000);
    assert!(slow < 4.0, "mean limit {slow} while slow");
    (endpoint.slots, endpoint.service_time) = (4.0, Duration::from_millis(15));
    endpoint.run(1_000);
    let recovered = endpoint.run(3_000);
    assert!(recovered > 3.0, "mean limit {recovered} after recovery");
}

/// Each statement takes 8 times as long and the slots stay: less in flight would only waste them.
#[test]
fn an_endpoint_that_serves_well_and_slowly_keeps_its_slots() {
    let mut endpoint = Endpoint::new();
    endpoint.run(3_000);
    endpoint.service_time = Duration::from_millis(120);
    endpoint.run(4_000);
    let limit = endpoint.run(10_000);
    assert!(limit > 3.0, "mean limit {limit}");
}

#[test]
fn refusals_lower_the_limit_and_lost_answers_do_not() {
    let mut now = Instant::now();
    let mut limit = ConcurrencyLimit::new(now, Config { slots: 8, max: 32 });
    for _ in 0..50 {
        assert!(limit.try_acquire(now));
        limit.release(now, Outcome::Unknown);
    }
    assert_eq!(limit.current(), 8);
    // A bunch of refusals counts once.
    for _ in 0..8 {
        assert!(limit.try_acquire(now) || limit.current() < 8);
        limit.release(now, Outcome::Refused);
    }
    assert_eq!(limit.current(), 6);
    for _ in 0..10 {
        now += Duration::from_millis(100);
        limit.acquire(now);
        limit.release(now, Outcome::Refused);
    }
    assert_eq!(limit.current(), 1);
}
