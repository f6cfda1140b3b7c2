//! Tests of changes of the record of lane holders: every lane keeps one holder, and the instances
//! approach equal numbers of lanes.

#![allow(
    clippy::needless_pass_by_value,
    reason = "quickcheck passes cases by value"
)]

use std::sync::Arc;

use filbertbay_coordination::share::{Allocation, Holder, LANES, SHARDS};
use quickcheck::{Arbitrary, Gen};

#[derive(Clone, Debug)]
struct Fleet(Vec<Holder>);

impl Arbitrary for Fleet {
    fn arbitrary(g: &mut Gen) -> Self {
        let size = 1 + usize::arbitrary(g) % 12;
        Self((0..size).map(|number| holder(number, 1)).collect())
    }
}

fn holder(number: usize, incarnation: u64) -> Holder {
    Holder {
        instance: format!("i{number}").into(),
        incarnation,
        data_centre: format!("dc{}", number % 3).into(),
    }
}

fn even(live: &[Holder]) -> Allocation {
    let parts: Vec<_> = live
        .iter()
        .map(|one| {
            (
                one.instance.as_ref(),
                one.incarnation,
                one.data_centre.as_ref(),
            )
        })
        .collect();
    Allocation::even(&parts)
}

fn lane_count(record: &Allocation, one: &Holder) -> usize {
    record.lane_count(&one.instance, one.incarnation)
}

/// A dead holder loses all lanes if its data centre has a live instance. No other holder loses a
/// lane, every lane keeps a holder, and no lane leaves its data centre.
#[test]
fn reclaiming_moves_only_lanes_of_dead_holders() {
    fn property(fleet: Fleet, deaths: Vec<bool>) -> bool {
        let all = fleet.0;
        let record = even(&all);
        let dies = |n: usize| deaths.get(n).copied().unwrap_or(false);
        let live: Vec<Holder> = (0..all.len())
            .filter(|n| !dies(*n))
            .map(|n| all[n].clone())
            .collect();
        let is_dead = |one: &Holder| !live.contains(one);
        let Some(next) = record.reclaimed(&live, is_dead) else {
            return all.iter().filter(|one| is_dead(one)).all(|one| {
                lane_count(&record, one) == 0
                    || live.iter().all(|l| l.data_centre != one.data_centre)
            });
        };
        let total: usize = next.holders.iter().map(|one| lane_count(&next, one)).sum();
        let kept = live
            .iter()
            .all(|one| lane_count(&next, one) >= lane_count(&record, one));
        let in_place = (0..SHARDS * LANES).all(|lane_index| {
            let data_centre = |of: &Allocation| {
                of.holder(lane_index)
                    .map(|one| Arc::clone(&one.data_centre))
            };
            data_centre(&record) == data_centre(&next)
        });
        total == SHARDS * LANES && kept && in_place && next.epoch == record.epoch + 1
    }
    check::runner(16).quickcheck(property as fn(Fleet, Vec<bool>) -> bool);
}

/// Each lane of a dead holder goes to the next incarnation of the same instance if it is live.
#[test]
fn lanes_go_to_the_next_incarnation_of_their_holder() {
    fn property(fleet: Fleet, restarts: Vec<bool>) -> bool {
        let record = even(&fleet.0);
        let restarts = |n: usize| restarts.get(n).copied().unwrap_or(false);
        let live: Vec<Holder> = (0..fleet.0.len())
            .map(|n| holder(n, if restarts(n) { 2 } else { 1 }))
            .collect();
        let next = record.reclaimed(&live, |one| !live.contains(one));
        let next = next.unwrap_or_else(|| record.clone());
        (0..fleet.0.len()).all(|n| lane_count(&next, &live[n]) == lane_count(&record, &fleet.0[n]))
    }
    check::runner(16).quickcheck(property as fn(Fleet, Vec<bool>) -> bool);
}

/// After instances join, transfers lead to near-equal numbers of lanes within four rounds, and
/// every lane keeps a holder.
#[test]
fn transfers_reach_equal_parts() {
    fn property(fleet: Fleet, joined: u8) -> bool {
        let mut live = fleet.0;
        let mut record = even(&live);
        let first = live.len();
        live.extend((first..first + usize::from(joined % 6)).map(|n| holder(n, 1)));
        for _ in 0..4 {
            for one in &live.clone() {
                let lane_indices = record.surplus(one, &live);
                if !lane_indices.is_empty() {
                    record = record.transferred(one, &lane_indices, &live);
                }
            }
        }
        let total: usize = live.iter().map(|one| lane_count(&record, one)).sum();
        let is_below_fair_share = |one: &Holder| {
            let local_holders = live
                .iter()
                .filter(|l| l.data_centre == one.data_centre)
                .count();
            let mut data_centres: Vec<_> = live.iter().map(|l| &l.data_centre).collect();
            data_centres.sort();
            data_centres.dedup();
            let fair_share = SHARDS * LANES / (local_holders * data_centres.len());
            fair_share.saturating_sub(lane_count(&record, one)) > LANES
        };
        total == SHARDS * LANES && !live.iter().any(is_below_fair_share)
    }
    check::runner(16).quickcheck(property as fn(Fleet, u8) -> bool);
}
