//! Properties of the deadlines of a graceful shutdown.

use std::time::{Duration, Instant};

use check::runner;
use filbertbay_coordination::drain::Schedule;

/// Guards against a grace period that is so short or so long that the deadlines of the shutdown come
/// in the wrong order or after the kill.
#[test]
fn deadlines_are_in_order_and_before_the_kill() {
    fn property(grace_ms: u32) -> bool {
        let grace = Duration::from_millis(u64::from(grace_ms % 600_000));
        let start = Instant::now();
        let schedule = Schedule::new(start, grace);
        start <= schedule.close_from()
            && schedule.close_from() <= schedule.accept_until()
            && schedule.accept_until() <= schedule.begin_until()
            && schedule.begin_until() <= schedule.answers_until()
            && schedule.answers_until() <= schedule.exit_at()
            && schedule.exit_at() + schedule.exit_time() <= start + grace
    }
    runner(64).quickcheck(property as fn(u32) -> bool);
}

/// Guards against a statement that is accepted although its route's objective ends after the exit, and
/// against one that is refused while the load balancer still sends callers.
#[test]
fn statements_are_refused_only_near_the_exit() {
    let start = Instant::now();
    let schedule = Schedule::new(start, Duration::from_secs(6));
    let objective = Duration::from_millis(500);
    let at = |ms| start + Duration::from_millis(ms);
    assert!(schedule.can_answer(at(0), Duration::from_mins(1)));
    assert!(schedule.can_answer(at(4_400), objective));
    assert!(!schedule.can_answer(at(4_500), objective));
    assert!(schedule.can_begin(at(2_900)));
    assert!(!schedule.can_begin(at(3_000)));
}

/// Guards against sessions that stay open because they never pause.
#[test]
fn a_session_is_closed_with_an_answer_or_when_idle() {
    let start = Instant::now();
    let schedule = Schedule::new(start, Duration::from_secs(6));
    let at = |ms| start + Duration::from_millis(ms);
    assert!(!schedule.closes_after_answer(at(2_599)));
    assert!(schedule.closes_after_answer(at(2_600)));
    assert_eq!(schedule.close_idle_at(at(0)), at(2_600));
    assert_eq!(schedule.close_idle_at(at(2_900)), at(3_150));
}
