//! Compares retry budgets (none, fixed windows, ratio of first attempts) under an intermittent
//! fault, an outage and a fault that spans the boundary of a window.
//!
//! The fixed window is that of "Retries & resilience" (`AniLink`): a window starts with the first
//! failure after the previous window has ended. Prints one JSON object per line. Run it with
//! `cargo run --release --locked -p filbertbay-coordination --example retries`.

use filbertbay_coordination::retry::RetryBudget;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::json;

const SECONDS: u64 = 120;
const ATTEMPTS_PER_SECOND: u64 = 200;
const MAX_RETRIES: u32 = 3;

/// Length of a window. The budget of a window is a tenth of its first attempts.
const WINDOW_MS: u64 = 10_000;
const RETRIES_PER_WINDOW: u32 = 200;

/// Retry budget under test.
enum Policy {
    Unbounded,
    FixedWindow {
        window_start: Option<u64>,
        spent: u32,
    },
    Ratio(RetryBudget),
}

/// Probability that an attempt fails at the given time in milliseconds.
type FailureProbability = fn(u64) -> f64;

fn main() {
    let faults: [(&str, FailureProbability); 3] = [
        ("intermittent", |_| 0.05),
        ("outage", |ms| {
            f64::from(u8::from((30_000..90_000).contains(&ms)))
        }),
        // A failure at time zero starts a window; the fault then spans the end of that window.
        ("across a boundary", |ms| {
            f64::from(u8::from(ms == 0 || (9_000..11_000).contains(&ms)))
        }),
    ];
    for (fault, probability) in faults {
        run(fault, probability, "unbounded", Policy::Unbounded);
        run(
            fault,
            probability,
            "fixed window",
            Policy::FixedWindow {
                window_start: None,
                spent: 0,
            },
        );
        run(
            fault,
            probability,
            "ratio",
            Policy::Ratio(RetryBudget::new(0.1, 10)),
        );
    }
}

fn run(fault: &str, probability: FailureProbability, name: &str, mut policy: Policy) {
    let mut rng = ChaCha8Rng::seed_from_u64(20_261_204);
    let (mut failed, mut retries) = (0_u64, Vec::new());
    for index in 0..SECONDS * ATTEMPTS_PER_SECOND {
        let now = index * 1_000 / ATTEMPTS_PER_SECOND;
        policy.record_first_attempt();
        let mut has_failed = rng.random_bool(probability(now));
        let mut attempts = 0;
        while has_failed && attempts < MAX_RETRIES && policy.try_retry(now) {
            attempts += 1;
            retries.push(now);
            has_failed = rng.random_bool(probability(now));
        }
        failed += u64::from(has_failed);
    }
    let line = json!({
        "fault": fault, "budget": name,
        "failed_share": failed as f64 / (SECONDS * ATTEMPTS_PER_SECOND) as f64,
        "extra_load": retries.len() as f64 / (SECONDS * ATTEMPTS_PER_SECOND) as f64,
        "most_retries_in_a_second": max_in_window(&retries, 1_000),
        "most_retries_in_ten_seconds": max_in_window(&retries, WINDOW_MS),
    });
    println!("{line}");
}

fn max_in_window(retries: &[u64], window: u64) -> usize {
    let from = |start: &u64| retries.partition_point(|at| at < start);
    let to = |start: &u64| retries.partition_point(|at| *at < start + window);
    retries
        .iter()
        .map(|start| to(start) - from(start))
        .max()
        .unwrap_or(0)
}

impl Policy {
    fn record_first_attempt(&mut self) {
        if let Self::Ratio(budget) = self {
            budget.deposit();
        }
    }

    fn try_retry(&mut self, now: u64) -> bool {
        match self {
            Self::Unbounded => true,
            Self::Ratio(budget) => budget.try_withdraw(),
            Self::FixedWindow {
                window_start,
                spent,
            } => {
                if window_start.is_none_or(|window_start| now >= window_start + WINDOW_MS) {
                    *window_start = Some(now);
                    *spent = 0;
                }
                *spent += 1;
                *spent <= RETRIES_PER_WINDOW
            }
        }
    }
}
