//! Compares budgets of retries: none, fixed windows and a ratio, under an intermittent fault and
//! under an outage.
//!
//! The fixed window is that of "Retries & resilience" (`AniLink`): a window starts with the first
//! failure after the one before has ended. Prints one JSON object a line. Run it with
//! `cargo run --release --locked -p filbertbay-coordination --example retries`.

use filbertbay_coordination::retry::RetryBudget;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::json;

const SECONDS: u64 = 120;
const PER_SECOND: u64 = 200;
const MAX_RETRIES: u32 = 3;

/// Size of the budget in any ten seconds: a tenth of the first tries.
const WINDOW_MS: u64 = 10_000;
const PER_WINDOW: u32 = 200;

/// RetryBudget under test.
enum Way {
    Unbounded,
    FixedWindow { since: Option<u64>, spent: u32 },
    Ratio(RetryBudget),
}

/// Chance that a try fails at the given moment.
type Fault = fn(u64) -> f64;

fn main() {
    let faults: [(&str, Fault); 3] = [
        ("intermittent", |_| 0.05),
        ("outage", |ms| {
            f64::from(u8::from((30_000..90_000).contains(&ms)))
        }),
        // One failure opens a window; the fault then lies across its end.
        ("across a boundary", |ms| {
            f64::from(u8::from(ms == 0 || (9_000..11_000).contains(&ms)))
        }),
    ];
    for (fault, chance) in faults {
        run(fault, chance, "unbounded", Way::Unbounded);
        run(
            fault,
            chance,
            "fixed window",
            Way::FixedWindow {
                since: None,
                spent: 0,
            },
        );
        run(
            fault,
            chance,
            "ratio",
            Way::Ratio(RetryBudget::new(0.1, 10)),
        );
    }
}

fn run(fault: &str, chance: Fault, name: &str, mut way: Way) {
    let mut rng = ChaCha8Rng::seed_from_u64(20_261_204);
    let (mut failed, mut retries) = (0_u64, Vec::new());
    for number in 0..SECONDS * PER_SECOND {
        let now = number * 1_000 / PER_SECOND;
        way.first_try();
        let mut fails = rng.random_bool(chance(now));
        let mut tries = 0;
        while fails && tries < MAX_RETRIES && way.spend(now) {
            tries += 1;
            retries.push(now);
            fails = rng.random_bool(chance(now));
        }
        failed += u64::from(fails);
    }
    let line = json!({
        "fault": fault, "budget": name,
        "failed_share": failed as f64 / (SECONDS * PER_SECOND) as f64,
        "extra_load": retries.len() as f64 / (SECONDS * PER_SECOND) as f64,
        "most_retries_in_a_second": most_within(&retries, 1_000),
        "most_retries_in_ten_seconds": most_within(&retries, WINDOW_MS),
    });
    println!("{line}");
}

fn most_within(retries: &[u64], window: u64) -> usize {
    let from = |start: &u64| retries.partition_point(|at| at < start);
    let to = |start: &u64| retries.partition_point(|at| *at < start + window);
    retries
        .iter()
        .map(|start| to(start) - from(start))
        .max()
        .unwrap_or(0)
}

impl Way {
    fn first_try(&mut self) {
        if let Self::Ratio(budget) = self {
            budget.deposit();
        }
    }

    fn spend(&mut self, now: u64) -> bool {
        match self {
            Self::Unbounded => true,
            Self::Ratio(budget) => budget.try_withdraw(),
            Self::FixedWindow { since, spent } => {
                if since.is_none_or(|since| now >= since + WINDOW_MS) {
                    *since = Some(now);
                    *spent = 0;
                }
                *spent += 1;
                *spent <= PER_WINDOW
            }
        }
    }
}
