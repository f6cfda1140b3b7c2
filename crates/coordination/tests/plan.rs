//! Changes of the record of holders: every lane has one holder, and parts become equal.

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

fn held(record: &Allocation, one: &Holder) -> usize {
    record.lane_count(&one.instance, one.incarnation)
}

/// Dead holders lose all lanes where a mate lives; no other holder loses any, and none is lost.
#[test]
fn reclaim_moves_only_what_the_dead_held() {
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
                held(&record, one) == 0 || live.iter().all(|l| l.data_centre != one.data_centre)
            });
        };
        let total: usize = next.holders.iter().map(|one| held(&next, one)).sum();
        let kept = live
            .iter()
            .all(|one| held(&next, one) >= held(&record, one));
        let in_place = (0..SHARDS * LANES).all(|slot| {
            let centre = |of: &Allocation| of.holder(slot).map(|one| Arc::clone(&one.data_centre));
            centre(&record) == centre(&next)
        });
        total == SHARDS * LANES && kept && in_place && next.epoch == record.epoch + 1
    }
    check::runner(16).quickcheck(property as fn(Fleet, Vec<bool>) -> bool);
}

/// Each lane of a dead holder goes to its next incarnation where that one lives.
#[test]
fn lanes_pass_to_the_next_incarnation() {
    fn property(fleet: Fleet, restarts: Vec<bool>) -> bool {
        let record = even(&fleet.0);
        let restarts = |n: usize| restarts.get(n).copied().unwrap_or(false);
        let live: Vec<Holder> = (0..fleet.0.len())
            .map(|n| holder(n, if restarts(n) { 2 } else { 1 }))
            .collect();
        let next = record.reclaimed(&live, |one| !live.contains(one));
        let next = next.unwrap_or_else(|| record.clone());
        (0..fleet.0.len()).all(|n| held(&next, &live[n]) == held(&record, &fleet.0[n]))
    }
    check::runner(16).quickcheck(property as fn(Fleet, Vec<bool>) -> bool);
}

/// When instances join, gifts lead to near-equal parts within a few rounds, with one holder a lane.
#[test]
fn gifts_reach_equal_parts() {
    fn property(fleet: Fleet, joined: u8) -> bool {
        let mut live = fleet.0;
        let mut record = even(&live);
        let first = live.len();
        live.extend((first..first + usize::from(joined % 6)).map(|n| holder(n, 1)));
        for _ in 0..4 {
            for one in &live.clone() {
                let slots = record.surplus(one, &live);
                if !slots.is_empty() {
                    record = record.transferred(one, &slots, &live);
                }
            }
        }
        let total: usize = live.iter().map(|one| held(&record, one)).sum();
        let lacks = |one: &Holder| {
            let mates = live
                .iter()
                .filter(|l| l.data_centre == one.data_centre)
                .count();
            let mut centres: Vec<_> = live.iter().map(|l| &l.data_centre).collect();
            centres.sort();
            centres.dedup();
            let part = SHARDS * LANES / (mates * centres.len());
            part.saturating_sub(held(&record, one)) > LANES
        };
        total == SHARDS * LANES && !live.iter().any(lacks)
    }
    check::runner(16).quickcheck(property as fn(Fleet, u8) -> bool);
}
