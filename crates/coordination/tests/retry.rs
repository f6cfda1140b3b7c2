//! Tests of the retry policy: no write runs twice, retries stay within their budget, an unavailable
//! endpoint is probed by one statement at a time, and most endpoints stay in use.

use std::time::{Duration, Instant};

use filbertbay_coordination::retry::{
    self, CircuitBreaker, Effect, OutlierDetector, Permit, RetryBudget, RetryDecision, Statement,
};
use quickcheck::TestResult;

const RATIO: f64 = 0.1;
const RESERVE: u32 = 5;

/// Attempts a write until it is no longer retried, and returns how often it ran.
///
/// Each outcome tells whether the member ran the write and whether it answered.
fn count_write_executions(outcomes: &[(bool, bool)]) -> u32 {
    let mut runs = 0;
    for (ran, answered) in outcomes {
        runs += u32::from(*ran);
        let effect = match (ran, answered) {
            (true, true) => return runs,
            (false, true) => Effect::NotRun,
            (_, false) => Effect::Unknown,
        };
        let write = Statement::Write { idempotent: false };
        if retry::decide(write, effect) == RetryDecision::DoNotRetry {
            return runs;
        }
    }
    runs
}

#[expect(clippy::needless_pass_by_value, reason = "quickcheck passes values")]
fn write_runs_at_most_once(outcomes: Vec<(bool, bool)>) -> bool {
    count_write_executions(&outcomes) <= 1
}

#[test]
fn writes_that_may_have_run_are_not_retried() {
    check::runner(16).quickcheck(write_runs_at_most_once as fn(Vec<(bool, bool)>) -> bool);
    for effect in [Effect::NotRun, Effect::Unknown, Effect::Answered] {
        assert_eq!(
            retry::decide(Statement::InTransaction, effect),
            RetryDecision::DoNotRetry
        );
    }
}

/// Compares first attempts and granted retries in every interval of the history.
fn retries_stay_within_ratio_and_reserve(history: Vec<bool>) -> bool {
    let mut budget = RetryBudget::new(RATIO, RESERVE);
    let mut counts = vec![(0_u32, 0_u32)];
    let (mut attempts, mut retries) = (0, 0);
    for is_retry in history {
        if is_retry {
            retries += u32::from(budget.try_withdraw());
        } else {
            attempts += 1;
            budget.deposit();
        }
        counts.push((attempts, retries));
    }
    let intervals = counts.iter().enumerate();
    intervals
        .flat_map(|(end, last)| counts[..end].iter().map(move |first| (first, last)))
        .all(|(first, last)| {
            let allowed = f64::from(RESERVE) + RATIO * f64::from(last.0 - first.0);
            f64::from(last.1 - first.1) <= allowed + 1e-6
        })
}

#[test]
fn retries_stay_within_the_budget_in_any_interval() {
    check::runner(400).quickcheck(retries_stay_within_ratio_and_reserve as fn(Vec<bool>) -> bool);
}

/// Simulates an endpoint that never answers, and checks that probes are single and that the
/// cooldown doubles up to eight times its initial length.
fn probes_are_single_with_growing_cooldown(gaps: Vec<u8>) -> TestResult {
    let cooldown = Duration::from_millis(100);
    let mut now = Instant::now();
    let mut breaker = CircuitBreaker::new(3, cooldown);
    (0..3).for_each(|_| breaker.record_failure(now));
    let mut last_probe: Option<Instant> = None;
    let mut cooldown_factor = 1;
    for gap in gaps {
        now += Duration::from_millis(gap.into());
        match breaker.try_acquire(now) {
            Permit::Allow => return TestResult::error("the circuit closed without an answer"),
            Permit::Reject(retry_after) => {
                if last_probe
                    .is_some_and(|last| now + retry_after > last + cooldown * cooldown_factor)
                {
                    return TestResult::error("the wait for the next probe exceeds the cooldown");
                }
                continue;
            }
            Permit::Probe => {}
        }
        if matches!(breaker.try_acquire(now), Permit::Probe | Permit::Allow) {
            return TestResult::error("two probes in flight");
        }
        if last_probe.is_some_and(|last| now < last + cooldown * cooldown_factor) {
            return TestResult::error("a probe was allowed before the cooldown had passed");
        }
        breaker.record_failure(now);
        // Failure of a statement that was sent before the circuit opened.
        breaker.record_failure(now);
        cooldown_factor = (cooldown_factor * 2).min(8);
        last_probe = Some(now);
    }
    breaker.record_success();
    TestResult::from_bool(breaker.try_acquire(now) == Permit::Allow)
}

#[test]
fn open_circuit_allows_one_probe_per_growing_cooldown() {
    check::runner(200)
        .quickcheck(probes_are_single_with_growing_cooldown as fn(Vec<u8>) -> TestResult);
}

#[expect(clippy::needless_pass_by_value, reason = "quickcheck passes values")]
fn majority_of_endpoints_stays_in_use(latencies: Vec<(u8, u16)>, count: u8) -> bool {
    let count = usize::from(count % 7) + 1;
    let mut now = Instant::now();
    let mut detector = OutlierDetector::new(count, Duration::from_secs(1));
    latencies.iter().all(|(index, micros)| {
        now += Duration::from_millis(1);
        let index = usize::from(*index) % count;
        for _ in 0..10 {
            detector.record_latency(now, index, Duration::from_micros(u64::from(*micros) * 10));
        }
        let ejected = (0..count)
            .filter(|index| detector.is_ejected(now, *index))
            .count();
        ejected == 0 || ejected * 2 < count
    })
}

#[test]
fn at_most_a_minority_of_endpoints_is_ejected() {
    let property = majority_of_endpoints_stays_in_use as fn(Vec<(u8, u16)>, u8) -> bool;
    check::runner(300).quickcheck(property);
}
