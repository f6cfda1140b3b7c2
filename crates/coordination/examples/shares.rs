//! Measures shares: time of a decision, messages and wrongful refusals by skew and fleet size.
//!
//! Prints one JSON object a line. Run it with
//! `cargo run --release --locked -p filbertbay-coordination --example shares`.

#[path = "../tests/fleet/mod.rs"]
#[expect(dead_code, reason = "the tests use the rest")]
mod fleet;

use std::collections::BTreeMap;
use std::hint::black_box;
use std::sync::Arc;
use std::time::{Duration, Instant};

use filbertbay_coordination::share::{Admission, Allocation, Config, RateLimiter};
use filbertbay_state::document::Rate;
use fleet::Fleet;
use serde_json::json;

const SETTLE_SECONDS: u32 = 5;
const MEASURE_SECONDS: u32 = 20;

/// One load on one fleet.
#[derive(Clone, Copy)]
struct Scenario {
    name: &'static str,
    instances: usize,
    centres: usize,
    /// Part of the load that goes to one instance, in percent; the rest is spread evenly.
    skew: u32,
    /// Load as a percentage of the rate.
    load: u32,
    greedy: bool,
    rate: Rate,
}

fn main() {
    let sizes: Vec<usize> = std::env::args()
        .skip(1)
        .filter_map(|size| size.parse().ok())
        .collect();
    let sizes = if sizes.is_empty() {
        vec![9, 840]
    } else {
        sizes
    };
    for instances in sizes {
        let centres = if instances == 9 { 3 } else { 6 };
        for skew in [0, 50, 100] {
            for greedy in [false, true] {
                let rate = Rate {
                    per_second: 50,
                    burst: 20,
                };
                measure(Scenario {
                    name: "steady",
                    instances,
                    centres,
                    skew,
                    load: 90,
                    greedy,
                    rate,
                });
            }
        }
    }
    nanoseconds_per_take();
}

fn measure(scenario: Scenario) {
    let shop: Arc<str> = "shop".into();
    let noisy: Arc<str> = "noisy".into();
    let rates: BTreeMap<_, _> = [
        (Arc::clone(&shop), scenario.rate),
        (Arc::clone(&noisy), scenario.rate),
    ]
    .into();
    let mut fleet = Fleet::start(scenario.instances, scenario.centres, &rates);
    fleet.pass(Duration::from_secs(2));
    run(&mut fleet, scenario, &shop, &noisy, SETTLE_SECONDS);
    let before = (count(&fleet, &shop), count(&fleet, &noisy), fleet.messages);
    run(&mut fleet, scenario, &shop, &noisy, MEASURE_SECONDS);
    let shop_after = count(&fleet, &shop);
    let noisy_after = count(&fleet, &noisy);
    let (ran, refused) = (shop_after.0 - before.0.0, shop_after.1 - before.0.1);
    let seconds = f64::from(MEASURE_SECONDS);
    let line = json!({
        "scenario": scenario.name, "instances": scenario.instances, "skew_percent": scenario.skew,
        "load_percent": scenario.load, "greedy_neighbour": scenario.greedy,
        "admitted_per_second": ran as f64 / seconds,
        "wrongful_refusals": refused as f64 / (ran + refused) as f64,
        "static_split_refusals": static_refusals(scenario),
        "greedy_admitted_per_second": (noisy_after.0 - before.1.0) as f64 / seconds,
        "messages_per_second": (fleet.messages - before.2) as f64 / seconds,
    });
    println!("{line}");
}

/// Returns the part that a static even split refuses at the same load and skew.
fn static_refusals(scenario: Scenario) -> f64 {
    let count = scenario.instances as f64;
    let burst = scenario.rate.burst as f64 / count;
    let mut buckets = vec![(burst, 0.0); scenario.instances];
    let per_second = scenario.rate.per_second as u32 * scenario.load / 100;
    let total = (SETTLE_SECONDS + MEASURE_SECONDS) * per_second;
    let mut refused = 0;
    for number in 0..total {
        let now = f64::from(number) / f64::from(per_second);
        let (level, at) = &mut buckets[target(scenario, number)];
        *level = burst.min(*level + (now - *at) * scenario.rate.per_second as f64 / count);
        *at = now;
        if *level < 1.0 {
            refused += 1;
        } else {
            *level -= 1.0;
        }
    }
    f64::from(refused) / f64::from(total)
}

/// Returns the instance at which a statement arrives.
fn target(scenario: Scenario, number: u32) -> usize {
    let random = number.wrapping_mul(2_654_435_761) >> 8;
    if random % 100 < scenario.skew {
        return 0;
    }
    (random / 100) as usize % scenario.instances
}

fn count(fleet: &Fleet, workspace: &Arc<str>) -> (u64, u64) {
    let ran = fleet.admitted.get(workspace).map_or(0, Vec::len) as u64;
    (ran, fleet.refused.get(workspace).copied().unwrap_or(0))
}

fn run(fleet: &mut Fleet, scenario: Scenario, shop: &Arc<str>, noisy: &Arc<str>, seconds: u32) {
    let per_second = scenario.rate.per_second as u32 * scenario.load / 100;
    for number in 0..seconds * per_second {
        let index = target(scenario, number);
        fleet.arrive(index, shop);
        if scenario.greedy {
            for burst in 0..9 {
                let random = (number * 9 + burst).wrapping_mul(2_246_822_519) >> 8;
                fleet.arrive(random as usize % scenario.instances, noisy);
            }
        }
        fleet.pass(Duration::from_secs(1) / per_second);
    }
}

fn nanoseconds_per_take() {
    const TAKES: u32 = 2_000_000;
    let start = Instant::now();
    let mut ledger = RateLimiter::new("instance-0", "centre-0", 1, Config::default());
    ledger.apply_allocation(
        start,
        Arc::new(Allocation::even(&[("instance-0", 1, "centre-0")])),
    );
    ledger.confirm_ownership(start + Duration::from_hours(1));
    let workspaces: Vec<Arc<str>> = (0..1_000)
        .map(|n| format!("workspace-{n}").into())
        .collect();
    let rate = Rate {
        per_second: 1_000_000,
        burst: 1_000_000,
    };
    let mut now = start + Duration::from_secs(2);
    let began = Instant::now();
    for number in 0..TAKES {
        now += Duration::from_micros(1);
        let workspace = &workspaces[number as usize % workspaces.len()];
        let admission = black_box(ledger.try_acquire(now, workspace, rate, 1));
        assert_eq!(admission, Admission::Admitted, "the rate is wide enough");
    }
    let nanoseconds = began.elapsed().as_nanos() as f64 / f64::from(TAKES);
    println!(
        "{}",
        json!({"decision": "take", "nanoseconds": nanoseconds, "active": 1_000})
    );
}
