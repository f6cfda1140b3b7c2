//! Properties of retries, budgets, breakers and ejection.

use std::time::{Duration, Instant};

use filbertbay_coordination::retry::{
    self, CircuitBreaker, Effect, OutlierDetector, Permit, RetryBudget, RetryDecision, Statement,
};
use quickcheck::TestResult;

const RATIO: f64 = 0.1;
const RESERVE: u32 = 5;

/// Runs a statement until it is given up; each outcome says whether the member ran it and answered.
fn runs_of_a_write(outcomes: &[(bool, bool)]) -> u32 {
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
fn a_write_runs_at_most_once(outcomes: Vec<(bool, bool)>) -> bool {
    runs_of_a_write(&outcomes) <= 1
}

#[test]
fn no_retry_repeats_a_write_that_may_have_run() {
    check::runner(16).quickcheck(a_write_runs_at_most_once as fn(Vec<(bool, bool)>) -> bool);
    for effect in [Effect::NotRun, Effect::Unknown, Effect::Answered] {
        assert_eq!(
            retry::decide(Statement::InTransaction, effect),
            RetryDecision::DoNotRetry
        );
    }
}

/// Counts, in every stretch of the history, first tries and the retries that were let through.
fn retries_stay_below_the_ratio(history: Vec<bool>) -> bool {
    let mut budget = RetryBudget::new(RATIO, RESERVE);
    let mut counts = vec![(0_u32, 0_u32)];
    let (mut tries, mut retries) = (0, 0);
    for is_retry in history {
        if is_retry {
            retries += u32::from(budget.try_withdraw());
        } else {
            tries += 1;
            budget.deposit();
        }
        counts.push((tries, retries));
    }
    let stretches = counts.iter().enumerate();
    stretches
        .flat_map(|(end, last)| counts[..end].iter().map(move |first| (first, last)))
        .all(|(first, last)| {
            let allowed = f64::from(RESERVE) + RATIO * f64::from(last.0 - first.0);
            f64::from(last.1 - first.1) <= allowed + 1e-6
        })
}

#[test]
fn extra_load_stays_within_the_budget_in_any_stretch() {
    check::runner(400).quickcheck(retries_stay_below_the_ratio as fn(Vec<bool>) -> bool);
}

/// Feeds an endpoint that never answers; probes must come alone and at widening distances.
fn probes_are_single_and_widen(gaps: Vec<u8>) -> TestResult {
    let cooldown = Duration::from_millis(100);
    let mut now = Instant::now();
    let mut breaker = CircuitBreaker::new(3, cooldown);
    (0..3).for_each(|_| breaker.record_failure(now));
    let mut last: Option<Instant> = None;
    let mut widening = 1;
    for gap in gaps {
        now += Duration::from_millis(gap.into());
        match breaker.try_acquire(now) {
            Permit::Allow => return TestResult::error("a broken endpoint was asked freely"),
            Permit::Reject(rest) => {
                if last.is_some_and(|last| now + rest > last + cooldown * widening) {
                    return TestResult::error("a probe is put off for too long");
                }
                continue;
            }
            Permit::Probe => {}
        }
        if matches!(breaker.try_acquire(now), Permit::Probe | Permit::Allow) {
            return TestResult::error("two probes at once");
        }
        if last.is_some_and(|last| now < last + cooldown * widening) {
            return TestResult::error("a probe came too early");
        }
        breaker.record_failure(now);
        // A statement that was sent before the breaker opened fails late.
        breaker.record_failure(now);
        widening = (widening * 2).min(8);
        last = Some(now);
    }
    breaker.record_success();
    TestResult::from_bool(breaker.try_acquire(now) == Permit::Allow)
}

#[test]
fn a_broken_endpoint_is_probed_alone_and_ever_less() {
    check::runner(200).quickcheck(probes_are_single_and_widen as fn(Vec<u8>) -> TestResult);
}

#[expect(clippy::needless_pass_by_value, reason = "quickcheck passes values")]
fn a_majority_of_endpoints_stays(latencies: Vec<(u8, u16)>, count: u8) -> bool {
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
fn a_minority_of_endpoints_is_ejected_at_most() {
    let property = a_majority_of_endpoints_stays as fn(Vec<(u8, u16)>, u8) -> bool;
    check::runner(300).quickcheck(property);
}
