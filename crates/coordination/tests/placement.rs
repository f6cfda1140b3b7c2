//! Tests of the ranking of endpoints: no endpoint is lost or listed twice, endpoints whose last
//! attempt failed come last, and the cost of a new connection is taken into account.

use std::time::Duration;

use check::runner;
use filbertbay_coordination::placement::{EndpointEstimate, rank};

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
