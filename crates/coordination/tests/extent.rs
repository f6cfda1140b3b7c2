//! What one instance knows compared with what another knows.

use std::collections::BTreeMap;
use std::sync::Arc;

use check::runner;
use filbertbay_coordination::succession::extent::Extent;
use quickcheck::{Arbitrary, Gen};

/// Keys of the store.
const KEYS: usize = 4;

/// Writes of the store; the revision of each is its index and one more.
const WRITES: usize = 12;

/// Store with what two instances know of it.
#[derive(Clone, Debug)]
struct Case {
    /// Key of each write.
    keys: Vec<usize>,
    instances: [Knowledge; 2],
}

/// Writes that one instance knows.
#[derive(Clone, Debug)]
struct Knowledge {
    complete: usize,
    /// Indices of single writes that the instance received.
    received: Vec<usize>,
}

impl Arbitrary for Case {
    fn arbitrary(g: &mut Gen) -> Self {
        let mut below = |limit: usize| usize::arbitrary(g) % limit;
        let keys = (0..WRITES).map(|_| below(KEYS)).collect();
        let mut knowledge = || Knowledge {
            complete: below(WRITES + 1),
            received: (0..below(3)).map(|_| below(WRITES)).collect(),
        };
        let instances = [knowledge(), knowledge()];
        Self { keys, instances }
    }
}

impl Case {
    /// Returns the revision of each key that an instance knows.
    fn items(&self, knowledge: &Knowledge) -> BTreeMap<Arc<str>, u64> {
        let known = (0..knowledge.complete).chain(knowledge.received.iter().copied());
        let mut items: BTreeMap<Arc<str>, u64> = BTreeMap::new();
        for index in known {
            let revision = items
                .entry(format!("lead/{}", self.keys[index]).into())
                .or_default();
            *revision = (*revision).max(index as u64 + 1);
        }
        items
    }

    fn extent(&self, knowledge: &Knowledge) -> Extent {
        Extent::new(knowledge.complete as u64, self.items(knowledge))
    }
}

/// Returns whether `own` has each key of `other` at the same revision or a later one.
fn has_all(own: &BTreeMap<Arc<str>, u64>, other: &BTreeMap<Arc<str>, u64>) -> bool {
    let mut other = other.iter();
    other.all(|(key, revision)| own.get(key).is_some_and(|known| known >= revision))
}

/// Guards against a primary lease that another instance extends although it knows of a record that the
/// holder of the lease lacks.
#[test]
fn an_instance_that_covers_another_has_each_of_its_records() {
    #[expect(clippy::needless_pass_by_value, reason = "quickcheck passes values")]
    fn property(case: Case) -> bool {
        let [own, other] = &case.instances;
        let (items, other_items) = (case.items(own), case.items(other));
        let (extent, other_extent) = (case.extent(own), case.extent(other));
        let is_confirmed = extent.covers(&other_extent);
        let is_contact = extent.is_as_current_as(&other_extent);
        // All that the store had when the other was in contact with it.
        let at_contact = Knowledge {
            received: Vec::new(),
            ..other.clone()
        };
        (!is_confirmed || has_all(&items, &other_items))
            && (!is_contact || has_all(&items, &case.items(&at_contact)))
            && (is_confirmed || !is_contact || !has_all(&items, &other_items))
    }
    runner(60).quickcheck(property as fn(Case) -> bool);
}

/// Guards against a primary lease that is extended by an instance which knows of an earlier record of
/// another service, because a later record was sent ahead.
#[test]
fn a_record_sent_ahead_does_not_stand_for_earlier_ones() {
    let ahead = Extent::new(90, [("lead/catalogue".into(), 100)]);
    let peer = Extent::new(95, []);
    assert!(!ahead.is_as_current_as(&peer) && !ahead.covers(&peer));
}

/// Guards against a store outage that ends all primary leases, because each instance received a record
/// ahead of its view.
#[test]
fn instances_that_received_the_same_record_ahead_confirm_each_other() {
    let extent = || {
        Extent::new(
            90,
            [("lead/catalogue".into(), 100), ("op/config".into(), 7)],
        )
    };
    assert!(extent().covers(&extent()));
    assert!(!Extent::new(90, []).covers(&extent()));
    assert!(Extent::new(100, []).covers(&extent()));
}
