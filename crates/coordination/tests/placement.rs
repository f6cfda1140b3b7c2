//! Tests of the ranking of endpoints: no endpoint is lost or listed twice, endpoints whose last
//! attempt failed come last, and the cost of a new connection is taken into account.

use std::time::{Duration, Instant};

use check::runner;
use filbertbay_coordination::placement::{EndpointEstimate, FailureShare, rank, rank_randomized};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

fn endpoint(seed: u32) -> EndpointEstimate {
    EndpointEstimate {
        round_trip: Duration::from_millis(u64::from(seed % 40)),
        latency: Duration::from_millis(u64::from(seed / 40 % 100)),
        in_flight: (seed / 4_000 % 8) as usize,
        slots: (seed / 32_000 % 4) as usize,
        has_idle_connection: seed & 1 == 0,
        is_full: seed & 2 == 0,
        is_failing: seed & 4 == 0,
        is_draining_or_cold: seed & 8 == 0,
        wait: Duration::from_millis(u64::from(seed % 7)),
        failures_per_mille: (seed % 1_000) as u16,
        is_primary: seed & 16 == 0,
    }
}

#[test]
fn ranking_is_a_permutation_with_failing_endpoints_last() {
    fn property(seeds: Vec<u32>) -> bool {
        let endpoints: Vec<EndpointEstimate> = seeds.into_iter().map(endpoint).collect();
        let ranked = rank(&endpoints);
        let mut sorted = ranked.clone();
        sorted.sort_unstable();
        let failing: Vec<bool> = ranked
            .iter()
            .map(|index| endpoints[*index].is_failing)
            .collect();
        let mut randomized = rank_randomized(&endpoints, &mut ChaCha8Rng::seed_from_u64(1));
        let is_failing = |index: &usize| endpoints[*index].is_failing;
        assert!(randomized.iter().map(is_failing).is_sorted());
        randomized.sort_unstable();
        assert_eq!(randomized, sorted);
        sorted == (0..endpoints.len()).collect::<Vec<_>>() && failing.is_sorted()
    }
    runner(20).quickcheck(property as fn(Vec<u32>) -> bool);
}

#[test]
fn idle_connection_outweighs_shorter_round_trip() {
    let near = EndpointEstimate {
        round_trip: Duration::from_millis(1),
        ..EndpointEstimate::default()
    };
    let connected = EndpointEstimate {
        round_trip: Duration::from_millis(5),
        has_idle_connection: true,
        ..EndpointEstimate::default()
    };
    assert_eq!(rank(&[near, connected]), [1, 0]);
}

/// Three endpoints answer at the same speed, and one of them fails 40% of its statements for five
/// seconds while its health check is good. Returns its share of the statements in the second second of
/// that, and in the third second after it. Without the share of failures nothing tells the three apart.
fn shares_of_failing_endpoint(records_failures: bool) -> [f64; 2] {
    let mut rng = ChaCha8Rng::seed_from_u64(11);
    let mut shares = [FailureShare::default(); 3];
    let start = Instant::now();
    let mut sent = [[0_u32; 3]; 10];
    for millis in 0..10_000_u64 {
        let now = start + Duration::from_millis(millis);
        let endpoints = shares.map(|share| EndpointEstimate {
            latency: Duration::from_millis(rng.random_range(14..18)),
            failures_per_mille: share.per_mille(now),
            has_idle_connection: true,
            ..EndpointEstimate::default()
        });
        let chosen = rank_randomized(&endpoints, &mut rng)[0];
        sent[(millis / 1_000) as usize][chosen] += 1;
        let fails = chosen == 0 && millis < 5_000 && rng.random_bool(0.4);
        if records_failures {
            shares[chosen].record(now, fails);
        }
    }
    [1, 7].map(|second| f64::from(sent[second][0]) / 1_000.0)
}

#[test]
fn an_endpoint_that_fails_in_part_is_left_and_tried_again() {
    let without = shares_of_failing_endpoint(false);
    let with = shares_of_failing_endpoint(true);
    assert!(without[0] > 0.25, "{without:?}");
    assert!((0.0001..0.08).contains(&with[0]), "{with:?}");
    assert!(with[1] > 0.2, "{with:?}");
}

/// Twenty instances see the same costs, of which one endpoint's is a little lower.
#[test]
fn instances_that_see_the_same_costs_do_not_move_together() {
    let endpoints = [16, 15, 17].map(|millis| EndpointEstimate {
        latency: Duration::from_millis(millis),
        has_idle_connection: true,
        ..EndpointEstimate::default()
    });
    assert_eq!(rank(&endpoints)[0], 1);
    let mut chosen = [0_u32; 3];
    for seed in 0..200 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        chosen[rank_randomized(&endpoints, &mut rng)[0]] += 1;
    }
    assert!(chosen[1] < 160 && chosen[0] > 30, "{chosen:?}");
}
