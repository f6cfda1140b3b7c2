//! Properties of the adaptive limit.

use std::time::{Duration, Instant};

use filbertbay_coordination::limit::{ConcurrencyLimit, Config};

const SERVICE: Duration = Duration::from_millis(4);

/// Plays a member whose slots are shared by the statements in flight.
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

    /// Runs statements over the given slots and returns the mean limit.
    fn run(&mut self, slots: u32, rounds: u32) -> f64 {
        let mut sum = 0;
        for _ in 0..rounds {
            while self.limit.try_acquire() {}
            self.now += SERVICE;
            let running = self.limit.in_flight();
            let stretch = f64::from(running.max(slots)) / f64::from(slots);
            for _ in 0..running.min(slots) {
                self.limit.release(self.now, Some(SERVICE.mul_f64(stretch)));
            }
            sum += self.limit.current();
        }
        f64::from(sum) / f64::from(rounds)
    }
}

fn bounds_hold_and_slots_are_found(slots: u8, extra: u8) -> bool {
    let slots = u32::from(slots % 6) + 1;
    let max = slots + u32::from(extra % 40);
    let mut member = Member::new(max);
    member.run(slots, 2_000);
    let limit = member.run(slots, 2_000);
    limit >= f64::from(slots) * 0.99 && limit <= f64::from(max.min(slots + 3))
}

#[test]
fn the_limit_settles_near_the_slots() {
    check::runner(16).quickcheck(bounds_hold_and_slots_are_found as fn(u8, u8) -> bool);
}

/// Takes slots away from a member whose limit has settled.
fn lost_slots_are_noticed(slots: u8, lost: u8) -> bool {
    let slots = u32::from(slots % 6) + 3;
    let left = slots - (u32::from(lost) % (slots - 1) + 1);
    let mut member = Member::new(40);
    member.run(slots, 2_000);
    member.run(left, 500);
    member.run(left, 500) <= f64::from(left + 3)
}

#[test]
fn the_limit_shrinks_with_the_slots() {
    check::runner(16).quickcheck(lost_slots_are_noticed as fn(u8, u8) -> bool);
}

#[expect(clippy::needless_pass_by_value, reason = "quickcheck passes values")]
fn never_more_than_the_limit_runs(steps: Vec<(bool, Option<u8>)>, max: u8) -> bool {
    let mut now = Instant::now();
    let max = u32::from(max % 9) + 1;
    let mut limit = ConcurrencyLimit::new(now, Config { max });
    steps.iter().all(|(acquire, took)| {
        now += Duration::from_millis(1);
        let before = limit.in_flight();
        if *acquire {
            let taken = limit.try_acquire();
            assert_eq!(taken, limit.in_flight() > before);
            assert!(!taken || limit.in_flight() <= limit.current());
        } else {
            limit.release(now, took.map(|ms| Duration::from_millis(ms.into())));
        }
        (1..=max).contains(&limit.current())
    })
}

#[test]
fn the_limit_keeps_its_bounds() {
    let property = never_more_than_the_limit_runs as fn(Vec<(bool, Option<u8>)>, u8) -> bool;
    check::runner(200).quickcheck(property);
}
