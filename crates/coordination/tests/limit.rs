//! Tests of the adaptive concurrency limit: it converges to the slots of the member, follows a loss
//! of slots, and stays within its bounds.

use std::time::{Duration, Instant};

use filbertbay_coordination::limit::{ConcurrencyLimit, Config};

const SERVICE_TIME: Duration = Duration::from_millis(4);

/// Simulated member whose slots are shared by the statements in flight.
struct Member {
    now: Instant,
    limit: ConcurrencyLimit,
}

impl Member {
    fn new(max: u32) -> Self {
        let now = Instant::now();
        let limit = ConcurrencyLimit::new(now, Config { max });
        Self { now, limit }
    }

    /// Runs statements on `slots` slots for the given rounds and returns the mean limit.
    fn run(&mut self, slots: u32, rounds: u32) -> f64 {
        let mut sum = 0;
        for _ in 0..rounds {
            while self.limit.try_acquire() {}
            self.now += SERVICE_TIME;
            let in_flight = self.limit.in_flight();
            let slowdown = f64::from(in_flight.max(slots)) / f64::from(slots);
            for _ in 0..in_flight.min(slots) {
                self.limit
                    .release(self.now, Some(SERVICE_TIME.mul_f64(slowdown)));
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

#[expect(clippy::needless_pass_by_value, reason = "quickcheck passes values")]
fn limit_is_enforced_and_bounded(steps: Vec<(bool, Option<u8>)>, max: u8) -> bool {
    let mut now = Instant::now();
    let max = u32::from(max % 9) + 1;
    let mut limit = ConcurrencyLimit::new(now, Config { max });
    steps.iter().all(|(acquire, latency)| {
        now += Duration::from_millis(1);
        let before = limit.in_flight();
        if *acquire {
            let acquired = limit.try_acquire();
            assert_eq!(acquired, limit.in_flight() > before);
            assert!(!acquired || limit.in_flight() <= limit.current());
        } else {
            limit.release(now, latency.map(|ms| Duration::from_millis(ms.into())));
        }
        (1..=max).contains(&limit.current())
    })
}

#[test]
fn in_flight_statements_stay_within_the_limit() {
    let property = limit_is_enforced_and_bounded as fn(Vec<(bool, Option<u8>)>, u8) -> bool;
    check::runner(200).quickcheck(property);
}
