//! Histories of instances, a store and a holder that changes a primary.
//!
//! Instances are cut from the store and from each other, are frozen, and lose their entries; the
//! holder collects consents and promotes when its barrier says so. From then on no instance may still
//! hold a tenure without knowing of the change.

use std::sync::Arc;
use std::time::{Duration, Instant};

use check::runner;
use filbertbay_coordination::succession::{
    BASE_PRIMARY_LEASE, Candidate, FailureDetector, MAX_PRIMARY_LEASE, PrimaryLease,
    ReleaseBarrier, choose_successor,
};
use filbertbay_state::position::{Position, Term};
use quickcheck::{Arbitrary, Gen};

const STEP: Duration = Duration::from_millis(100);

/// Steps of one history, 40 s.
const STEPS: usize = 400;

/// Instances of one history; the first is the holder.
const INSTANCES: usize = 8;

/// Steps between two contacts of an instance with the store or the others.
const CONTACT_STEPS: usize = 10;

/// Faults of one instance, as spans of steps.
#[derive(Clone, Debug)]
struct Faults {
    /// Cut from the store.
    store: (usize, usize),
    /// Cut from the instances of the other side.
    side: (usize, usize),
    /// Stands still.
    frozen: (usize, usize),
}

#[derive(Clone, Debug)]
struct History {
    faults: Vec<Faults>,
    /// Which instances are on the holder's side of a partition.
    near: Vec<bool>,
    moved: usize,
}

fn span(g: &mut Gen, often: u8) -> (usize, usize) {
    if u8::arbitrary(g) >= often {
        return (0, 0);
    }
    let start = usize::arbitrary(g) % STEPS;
    (start, start + usize::arbitrary(g) % 150)
}

impl Arbitrary for History {
    fn arbitrary(g: &mut Gen) -> Self {
        let fault = |g: &mut Gen| Faults {
            store: span(g, 150),
            side: span(g, 150),
            frozen: span(g, 60),
        };
        let moved = 50 + usize::arbitrary(g) % 200;
        let mut faults: Vec<Faults> = (0..INSTANCES).map(|_| fault(g)).collect();
        let near: Vec<bool> = (0..INSTANCES).map(|_| u8::arbitrary(g) > 128).collect();
        if bool::arbitrary(g) {
            // A partition that cuts one side off from the store and from the holder together.
            let start = moved - usize::arbitrary(g) % 40;
            let cut = (start, start + 40 + usize::arbitrary(g) % 100);
            for (fault, is_near) in faults.iter_mut().zip(&near) {
                if *is_near != near[0] {
                    fault.store = cut;
                    fault.side = cut;
                }
            }
        }
        Self {
            faults,
            near,
            moved,
        }
    }
}

impl History {
    fn is_in(span: (usize, usize), step: usize) -> bool {
        (span.0..span.1).contains(&step)
    }

    fn is_frozen(&self, one: usize, step: usize) -> bool {
        one != 0 && Self::is_in(self.faults[one].frozen, step)
    }

    fn reaches_store(&self, one: usize, step: usize) -> bool {
        one == 0 || !Self::is_in(self.faults[one].store, step)
    }

    fn reach(&self, one: usize, other: usize, step: usize) -> bool {
        let cut = |one: usize| one != 0 && Self::is_in(self.faults[one].side, step);
        let parted = self.near[one] != self.near[other] && (cut(one) || cut(other));
        !parted && !self.is_frozen(other, step)
    }
}

/// Plays a history and tells whether somebody could use the old primary after the promotion.
fn is_safe(history: &History) -> bool {
    let start = Instant::now();
    let at = |step: usize| start + STEP * u32::try_from(step).unwrap();
    let names: Vec<Arc<str>> = (0..INSTANCES)
        .map(|one| format!("i-{one}").into())
        .collect();
    let mut leases = vec![PrimaryLease::default(); INSTANCES];
    for lease in &mut leases {
        lease.set_listed(true);
        lease.record_contact(start);
    }
    let mut knows = [false; INSTANCES];
    let mut barrier = ReleaseBarrier::new(at(history.moved), names.iter().cloned());
    for step in 1..STEPS {
        let now = at(step);
        for one in 0..INSTANCES {
            if history.is_frozen(one, step) || step % CONTACT_STEPS != one % CONTACT_STEPS {
                continue;
            }
            if history.reaches_store(one, step) {
                leases[one].record_contact(now);
                knows[one] |= step >= history.moved;
                continue;
            }
            let others = (0..INSTANCES).filter(|other| *other != one);
            let answering: Vec<usize> = others
                .filter(|other| history.reach(one, *other, step))
                .collect();
            knows[one] |= answering.iter().any(|other| knows[*other]);
            if answering.len() * 2 >= INSTANCES - 1 {
                leases[one].record_peer_confirmation(now);
            }
        }
        if step < history.moved {
            continue;
        }
        knows[0] = true;
        for one in 0..INSTANCES {
            if history.reach(0, one, step) {
                knows[one] = true;
                barrier.acknowledge(&names[one]);
            }
        }
        if barrier.is_complete(now) {
            let uses = |one: &usize| {
                let awake = (step..STEPS).find(|step| !history.is_frozen(*one, *step));
                // A frozen instance compares its limit when it wakes.
                !knows[*one] && awake.is_some_and(|step| leases[*one].is_valid(at(step)))
            };
            return !(0..INSTANCES).any(|one| uses(&one));
        }
    }
    true
}

#[test]
fn nobody_uses_the_old_primary_after_a_promotion() {
    #[expect(clippy::needless_pass_by_value, reason = "quickcheck passes values")]
    fn property(history: History) -> bool {
        is_safe(&history)
    }
    runner(60).quickcheck(property as fn(History) -> bool);
}

#[test]
fn a_lone_instance_stops_after_the_solitary_time_and_others_extend_it() {
    let start = Instant::now();
    let mut lease = PrimaryLease::default();
    lease.record_contact(start);
    assert!(!lease.is_valid(start), "the store does not list it");
    lease.set_listed(true);
    assert!(lease.is_valid(start + BASE_PRIMARY_LEASE.saturating_sub(STEP)));
    assert!(!lease.is_valid(start + BASE_PRIMARY_LEASE));
    lease.record_peer_confirmation(start + BASE_PRIMARY_LEASE);
    assert!(lease.is_valid(start + BASE_PRIMARY_LEASE + STEP));
    lease.record_peer_confirmation(start + MAX_PRIMARY_LEASE);
    assert!(!lease.is_valid(start + MAX_PRIMARY_LEASE));
}

#[test]
fn a_ballot_that_misses_many_waits_for_the_whole_tenure() {
    let start = Instant::now();
    let names: Vec<Arc<str>> = (0..8).map(|one| format!("i-{one}").into()).collect();
    let mut barrier = ReleaseBarrier::new(start, names.iter().cloned());
    names
        .iter()
        .take(5)
        .for_each(|name| barrier.acknowledge(name));
    assert!(!barrier.is_complete(start + BASE_PRIMARY_LEASE));
    barrier.acknowledge(&names[5]);
    assert!(!barrier.is_complete(start + BASE_PRIMARY_LEASE.saturating_sub(STEP)));
    assert!(barrier.is_complete(start + BASE_PRIMARY_LEASE));
    let young = ReleaseBarrier::new(start, []).not_before(start + STEP);
    assert!(!young.is_complete(start) && young.is_complete(start + STEP));
}

#[test]
fn the_heir_stays_and_has_the_furthest_log() {
    let candidate = |id: &str, index, is_available, is_same_data_centre| Candidate {
        id: id.into(),
        received: Position::new(Term(1), index),
        is_available,
        is_same_data_centre,
    };
    let all = [
        candidate("leaving", 9, false, true),
        candidate("far", 8, true, false),
        candidate("near", 8, true, true),
        candidate("behind", 7, true, true),
    ];
    assert_eq!(choose_successor(&all).unwrap().id.as_ref(), "near");
    assert_eq!(choose_successor(&[]), None);
}

#[test]
fn one_lost_answer_raises_no_suspicion() {
    let start = Instant::now();
    let mut detector = FailureDetector::default();
    detector.record_failure(start);
    assert!(!detector.is_suspect(start + MAX_PRIMARY_LEASE));
    detector.record_failure(start + STEP);
    assert!(!detector.is_suspect(start + STEP));
    assert!(detector.is_suspect(start + STEP * 2));
    detector.record_answer(start + STEP * 2);
    assert!(!detector.is_suspect(start + STEP * 2) && !detector.is_failing());
}
