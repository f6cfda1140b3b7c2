//! Load of many small workspaces on a fleet of a hundred instances: each instance sees a workspace every
//! few seconds, and a data centre holds two of the twelve lanes of its rate.

#[expect(dead_code, reason = "the tests of share use the rest")]
mod fleet;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use filbertbay_coordination::share::Config;
use filbertbay_state::document::Rate;
use fleet::Fleet;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{RngCore, SeedableRng};

const INSTANCES: usize = 96;
const DATA_CENTRES: usize = 6;
const WORKSPACES: usize = 12;
const MEASURE_SECONDS: u64 = 60;

/// Rate of every workspace; on average five eighths of it are used.
const RATE: Rate = Rate {
    per_second: 8,
    burst: 8,
};
const LOAD_PER_SECOND: f64 = 5.0;

/// Tokens beyond the burst that the operators tolerate.
const TOLERANCE: u64 = 10;

/// Options of the entry instances.
fn config() -> Config {
    Config::default()
        .refill_lease(Duration::from_millis(160))
        .token_lease(Duration::from_millis(160))
        .tolerance(TOLERANCE)
}

fn workspaces() -> Vec<Arc<str>> {
    (0..WORKSPACES)
        .map(|number| format!("workspace-{number}").into())
        .collect()
}

/// Returns a number in the half-open unit interval.
fn unit(random: &mut ChaCha8Rng) -> f64 {
    f64::from(random.next_u32()) / (f64::from(u32::MAX) + 1.0)
}

/// Submits statements at random times to random instances. Returns the admissions of each workspace
/// and the number of submitted and refused statements.
fn apply_random_load(
    seed: u64,
    load_per_second: f64,
) -> (BTreeMap<Arc<str>, Vec<Instant>>, u64, u64) {
    let workspaces = workspaces();
    let rates = workspaces.iter().map(|name| (Arc::clone(name), RATE));
    let mut fleet = Fleet::with_config(INSTANCES, DATA_CENTRES, &rates.collect(), config());
    fleet.max_wait = Duration::from_millis(100);
    fleet.advance(Duration::from_secs(3));
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let end = fleet.now + Duration::from_secs(MEASURE_SECONDS);
    let mut submitted = 0;
    while fleet.now < end {
        let pause = -(1.0 - unit(&mut random)).ln() / (load_per_second * WORKSPACES as f64);
        fleet.advance(Duration::from_secs_f64(pause));
        let workspace = &workspaces[random.next_u32() as usize % WORKSPACES];
        fleet.submit(random.next_u32() as usize % INSTANCES, workspace);
        submitted += 1;
    }
    fleet.advance(Duration::from_secs(1));
    let refused = fleet.refused.values().sum();
    (fleet.admitted, submitted, refused)
}

/// Returns the highest number of admissions in any interval of `length`.
fn most_in_any(admitted: &[Instant], length: Duration) -> usize {
    let ends = admitted.iter().enumerate();
    let counts = ends.map(|(last, end)| {
        let first = admitted.partition_point(|at| *at + length <= *end);
        last + 1 - first
    });
    counts.max().unwrap_or(0)
}

/// Guards against refusals below the rate because the tokens of a small rate are spread over many
/// holders, none of which has a whole one.
#[test]
fn small_rates_below_their_limit_are_not_refused() {
    for seed in [1, 2, 3, 4, 5, 6] {
        let (_, submitted, refused) = apply_random_load(seed, LOAD_PER_SECOND);
        let share = refused as f64 / submitted as f64;
        assert!(
            share < 0.001,
            "{refused} of {submitted} statements were refused, seed {seed}"
        );
    }
}

/// The tolerance is given once over all instances, also if each of them is asked for more than the
/// rate.
#[test]
fn tolerance_is_granted_once_over_all_instances() {
    let window = Duration::from_secs(5);
    let (admitted, ..) = apply_random_load(4, LOAD_PER_SECOND * 4.0);
    for (workspace, admitted) in &admitted {
        let most = most_in_any(admitted, window) as u64;
        let bound = RATE.per_second * window.as_secs() + RATE.burst + TOLERANCE;
        assert!(
            most <= bound,
            "{most} of {workspace} in {window:?}, bound {bound}"
        );
    }
}
