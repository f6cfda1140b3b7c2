//! Safety of leader changes, writes and session reads over random histories of failures.

mod model;

use std::collections::BTreeMap;
use std::time::Duration;

use filbertbay_state::document::Durability;
use model::{Shape, World};
use quickcheck::{Arbitrary, Gen};

/// Seed of a history. Seeds do not shrink, because a smaller seed is not a simpler history.
#[derive(Clone, Copy, Debug)]
struct Seed(u64);

impl Arbitrary for Seed {
    fn arbitrary(g: &mut Gen) -> Self {
        Self(u64::arbitrary(g))
    }
}

const FAULTY: Shape = Shape {
    members: 3,
    instances: 3,
    fault_period: Duration::from_secs(12),
    recovery_period: Duration::from_secs(5),
    loss_probability: 0.03,
    changes_list: false,
};

/// Returns the violations of the safety properties.
fn violations(world: &World) -> Vec<String> {
    let mut violations = world.violations.clone();
    let mut leaders = BTreeMap::new();
    for promotion in &world.promotions {
        if let Some(other) = leaders.insert(promotion.term, promotion.member) {
            let (term, member) = (promotion.term, promotion.member);
            violations.push(format!("members {other} and {member} both led term {term}"));
        }
    }
    for write in &world.acknowledged {
        for later in world.promotions.iter().filter(|p| p.term > write.term) {
            if later.at <= write.ran {
                violations.push(format!(
                    "{write:?} ran after the promotion of {}",
                    later.term
                ));
            }
            if write.durability == Durability::Majority && !later.log.contains(write.id) {
                violations.push(format!("{write:?} is missing in term {}", later.term));
            }
        }
    }
    violations
}

/// Returns true if a history violates nothing and writes are acknowledged in its last 2 s.
fn is_safe_and_live(shape: Shape, seed: u64) -> bool {
    let mut world = World::new(shape, seed);
    world.run();
    let violations = violations(&world);
    let last_seconds = world.now.checked_sub(Duration::from_secs(2)).unwrap();
    let is_serving = world
        .acknowledged
        .iter()
        .any(|write| write.at >= last_seconds);
    if !violations.is_empty() || !is_serving {
        let first = violations.first();
        let count = violations.len();
        let terms = world.promotions.len();
        println!(
            "seed {seed}: {count} violations, {first:?}, {terms} terms, serves again: {is_serving}"
        );
        return false;
    }
    true
}

#[test]
fn three_members_are_safe_and_recover() {
    fn property(Seed(seed): Seed) -> bool {
        is_safe_and_live(FAULTY, seed)
    }
    check::runner(64).quickcheck(property as fn(Seed) -> bool);
}

#[test]
fn five_members_are_safe_and_recover() {
    fn property(Seed(seed): Seed) -> bool {
        let members = 5;
        is_safe_and_live(Shape { members, ..FAULTY }, seed)
    }
    check::runner(64).quickcheck(property as fn(Seed) -> bool);
}

#[test]
fn a_changing_member_list_is_safe_and_recovers() {
    fn property(Seed(seed): Seed) -> bool {
        let shape = Shape {
            members: 5,
            fault_period: Duration::from_secs(18),
            changes_list: true,
            ..FAULTY
        };
        is_safe_and_live(shape, seed)
    }
    check::runner(64).quickcheck(property as fn(Seed) -> bool);
}

/// Guards against histories in which too little happens for the other tests to check anything.
#[test]
fn histories_contain_promotions_writes_and_reads() {
    let mut counts = [0; 4];
    for seed in 0..10 {
        let mut world = World::new(FAULTY, seed);
        world.run();
        let replica_reads: u64 = world.callers.iter().map(|c| c.replica_reads).sum();
        let primary_reads: u64 = world.callers.iter().map(|c| c.primary_reads).sum();
        counts[0] += world.promotions.len() as u64;
        counts[1] += world.acknowledged.len() as u64;
        counts[2] += replica_reads;
        counts[3] += primary_reads;
    }
    println!("promotions, writes, replica reads, primary reads: {counts:?}");
    let enough = [30, 1_000, 1_000, 20];
    assert!(
        counts
            .iter()
            .zip(enough)
            .all(|(count, enough)| *count > enough),
        "{counts:?}"
    );
}
