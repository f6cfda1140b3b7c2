//! Members that may hold acknowledged commits, through histories of commits, lapsed entries, restarts,
//! replacements and changes of primary.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::{Duration, Instant};

use check::runner;
use filbertbay_coordination::succession::replica_set::{
    DEMAND_DELAY, DRAINED_MEMBER_TIMEOUT, Evidence, Key, Member, Record, Step, Upkeep, electorate,
};
use filbertbay_coordination::succession::successor::{Candidate, Requirement, choose};
use filbertbay_state::position::{Position, Term};
use quickcheck::{Arbitrary, Gen};

fn member(id: usize, incarnation: u64) -> Member {
    Member {
        key: Key {
            id: format!("i-{id}").into(),
            incarnation: Some(incarnation),
        },
        address: ([127, 0, 0, 1], 1_000 + id as u16).into(),
        data_centre: "quimper".into(),
        slots: 2,
        reports: 1,
        is_draining: false,
    }
}

fn record_of(synchronous_replicas: usize, members: &[Member]) -> Record {
    let mut record = Record::default();
    assert!(record.admit(synchronous_replicas, members));
    record
}

fn evidence(synchronous_replicas: usize, received: &[(usize, u64)], ended: &[usize]) -> Evidence {
    let position = |index| Position::new(Term(1), index);
    let received = received.iter();
    Evidence {
        synchronous_replicas,
        primary: member(0, 1).key,
        position: position(9),
        received: received
            .map(|(id, index)| (member(*id, 1).key, position(*index)))
            .collect(),
        ended: ended.iter().map(|id| member(*id, 1).key).collect(),
    }
}

/// Guards against a member being dropped although it may be the only replica with a commit: the others
/// are behind the primary, are unknown, or have ended as well.
#[test]
fn a_member_is_dropped_only_if_enough_others_have_its_commits() {
    let record = record_of(1, &[member(0, 1), member(1, 1), member(2, 1)]);
    assert_eq!(record.settle(&evidence(1, &[(1, 8)], &[2])), None);
    assert_eq!(record.settle(&evidence(1, &[(7, 9)], &[2])), None);
    assert_eq!(record.settle(&evidence(1, &[(1, 9)], &[1, 2])), None);
    assert_eq!(record.settle(&evidence(1, &[(1, 9)], &[0, 2])), None);
    let settled = record.settle(&evidence(1, &[(1, 9)], &[2])).unwrap();
    assert_eq!(settled.members, [member(0, 1), member(1, 1)]);
    assert!(record.precedes(&settled));
}

/// Guards against a process that started again without its log being taken for the recorded one, and
/// against one that continues being taken for another because its stated start varies.
#[test]
fn a_process_that_counts_its_reports_anew_is_another_member() {
    let mut record = record_of(1, &[member(0, 1)]);
    let id = member(0, 1).key.id;
    assert_eq!(record.identify(&id, Some(2), 1), member(0, 2).key);
    assert_eq!(record.identify(&id, Some(2), 7), member(0, 1).key);
    assert!(record.admit(1, &[member(0, 2)]));
    assert_eq!(record.identify(&id, Some(1), 9), member(0, 1).key);
    assert_eq!(record.identify(&id, Some(3), 9), member(0, 2).key);
}

/// Guards against a demand that rises before members follow it, or that falls for earlier commits.
#[test]
fn a_changed_demand_waits_for_the_proof_that_the_next_one_needs() {
    let start = Instant::now();
    let members = [member(0, 1), member(1, 1), member(2, 1)];
    let mut record = record_of(2, &members);
    assert!(record.admit(1, &members), "a lower one is recorded at once");
    assert_eq!(record.synchronous_replicas, 1);
    let mut upkeep = Upkeep::new(start, 1);
    let addresses: Vec<_> = members.iter().map(|one| (&one.key, one.address)).collect();
    let listed: BTreeSet<Key> = members.iter().map(|one| one.key.clone()).collect();
    let mut step = |now, demand| {
        upkeep.observe(now, demand, &record, &listed);
        upkeep.next_step(now, &record, &members, addresses.iter().copied())
    };
    assert_eq!(step(start, 2), None);
    let raised = Step::Settle {
        ended: BTreeSet::new(),
        synchronous_replicas: 2,
    };
    assert_eq!(step(start + DEMAND_DELAY, 2), Some(raised));
    assert_eq!(record.settle(&evidence(2, &[(1, 9)], &[])), None);
    let both = record.settle(&evidence(2, &[(1, 9), (2, 9)], &[])).unwrap();
    assert_eq!(both.synchronous_replicas, 2);
    assert_eq!(record.settle(&evidence(0, &[(1, 9)], &[])), None);
    let none = record.settle(&evidence(0, &[(1, 9), (2, 9)], &[])).unwrap();
    assert_eq!(none.members, []);
}

/// Guards against a replaced member that is waited for without end, and against one that ended as
/// planned and was not replaced.
#[test]
fn only_evidence_of_its_end_makes_a_member_dispensable() {
    let start = Instant::now();
    let drained = Member {
        is_draining: true,
        ..member(2, 1)
    };
    let record = record_of(1, &[member(0, 1), member(1, 1), drained.clone()]);
    let step = |now, listed: &[Member]| {
        let keys = listed.iter().map(|one| one.key.clone()).collect();
        let mut upkeep = Upkeep::new(start, 1);
        upkeep.observe(start, 1, &record, &keys);
        let addresses = listed.iter().map(|one| (&one.key, one.address));
        upkeep.next_step(now, &record, &listed[..1], addresses)
    };
    let ended = |member: &Member| {
        Some(Step::Settle {
            ended: [member.key.clone()].into(),
            synchronous_replicas: 1,
        })
    };
    let rest = [member(0, 1), member(1, 1)];
    assert_eq!(step(start + DRAINED_MEMBER_TIMEOUT / 2, &rest), None);
    assert_eq!(step(start + DRAINED_MEMBER_TIMEOUT, &rest), ended(&drained));
    let again = [member(0, 1), member(1, 2), drained.clone()];
    assert_eq!(step(start, &again), ended(&member(1, 1)));
    let other = Member {
        address: drained.address,
        ..member(7, 1)
    };
    let replaced = [member(0, 1), member(1, 1), other];
    assert_eq!(step(start, &replaced), ended(&drained));
    assert_eq!(
        step(start + Duration::from_hours(1), &rest[..1]),
        ended(&drained)
    );
}

/// Process of a member with its log.
#[derive(Clone, Debug)]
struct Process {
    member: Member,
    position: Position,
    is_up: bool,
    is_listed: bool,
    is_deaf: bool,
}

/// Service with the record that its deciders keep.
struct Service {
    demand: usize,
    processes: Vec<Process>,
    next_id: usize,
    primary: usize,
    term: u64,
    acknowledged: Position,
    record: Record,
    upkeep: Upkeep,
}

impl Service {
    fn new(demand: usize) -> Self {
        let processes = (0..3).map(|id| Process {
            member: member(id, 1),
            position: Position::default(),
            is_up: true,
            is_listed: true,
            is_deaf: false,
        });
        Self {
            demand,
            processes: processes.collect(),
            next_id: 3,
            primary: 0,
            term: 1,
            acknowledged: Position::default(),
            record: Record::default(),
            upkeep: Upkeep::new(Instant::now(), demand),
        }
    }

    /// Lets the replicas that receive follow the primary.
    fn replicate(&mut self) {
        let primary = self.processes[self.primary].clone();
        for process in self.processes.iter_mut().filter(|one| one.is_up) {
            if primary.is_up && !process.is_deaf {
                process.position = primary.position;
            }
        }
    }

    fn commit(&mut self) {
        let primary = &mut self.processes[self.primary];
        if !primary.is_up {
            return;
        }
        primary.position = Position::new(Term(self.term), primary.position.index + 1);
        let position = primary.position;
        self.replicate();
        let receives = |one: &&Process| one.is_up && one.position == position;
        if self.processes.iter().filter(receives).count() > self.demand {
            self.acknowledged = position;
        }
    }

    fn apply(&mut self, (event, index): (u8, u8)) {
        let index = usize::from(index) % self.processes.len();
        let is_primary = index == self.primary;
        let next_id = self.next_id;
        let process = &mut self.processes[index];
        match event % 12 {
            0..=3 => self.commit(),
            4 => process.is_deaf = !is_primary && !process.is_deaf,
            5 => process.is_listed = false,
            6 => process.is_listed = process.is_up,
            7 => process.is_up = false,
            8 => {
                process.is_up = true;
                process.is_listed = true;
            }
            9 if !is_primary => {
                let incarnation = process.member.key.incarnation.unwrap_or(1) + 1;
                process.member.key.incarnation = Some(incarnation);
                process.position = Position::default();
                (process.is_up, process.is_listed, process.is_deaf) = (true, true, false);
            }
            10 if !process.is_up && !is_primary => {
                let address = process.member.address;
                let mut next = process.clone();
                next.member = member(next_id, 1);
                next.member.address = address;
                next.position = Position::default();
                (next.is_up, next.is_listed, next.is_deaf) = (true, true, false);
                self.processes[index] = next;
                self.next_id += 1;
            }
            _ => {}
        }
        self.replicate();
    }

    fn maintain(&mut self) {
        let now = Instant::now();
        let listed = self.processes.iter().filter(|one| one.is_listed);
        let listed: Vec<Member> = listed.map(|one| one.member.clone()).collect();
        let keys = listed.iter().map(|one| one.key.clone()).collect();
        self.upkeep.observe(now, self.demand, &self.record, &keys);
        let addresses = listed.iter().map(|one| (&one.key, one.address));
        let step = self.upkeep.next_step(now, &self.record, &listed, addresses);
        match step {
            Some(Step::Admit(next)) => self.record = next,
            Some(Step::Settle {
                ended,
                synchronous_replicas,
            }) if self.processes[self.primary].is_up => {
                let primary = &self.processes[self.primary];
                let answers = self
                    .processes
                    .iter()
                    .filter(|one| one.is_up && one.is_listed);
                let received = answers.map(|one| (one.member.key.clone(), one.position));
                let evidence = Evidence {
                    synchronous_replicas,
                    primary: primary.member.key.clone(),
                    position: primary.position,
                    received: received.collect(),
                    ended,
                };
                self.record = self.record.settle(&evidence).unwrap_or(self.record.clone());
            }
            _ => {}
        }
    }

    /// Promotes a successor if one may be chosen, and returns whether it has every acknowledged commit.
    fn change_primary(&mut self) -> bool {
        if self.processes[self.primary].is_up {
            return true;
        }
        let from = Arc::clone(&self.processes[self.primary].member.key.id);
        let listed = self.processes.iter().filter(|one| one.is_listed);
        let listed: Vec<Key> = listed.map(|one| one.member.key.clone()).collect();
        let is_known = |one: &&Process| {
            let mut recorded = self.record.members.iter();
            one.is_listed || recorded.any(|known| known.key == one.member.key)
        };
        let answers = self
            .processes
            .iter()
            .filter(|one| one.is_up)
            .filter(is_known);
        let candidates: Vec<Candidate> = answers
            .map(|one| Candidate {
                id: Arc::clone(&one.member.key.id),
                received: one.position,
                is_exact: true,
                is_listed: one.is_listed,
                is_available: true,
                is_same_data_centre: false,
                is_previous: one.member.key.id == from,
            })
            .collect();
        let requirement = Requirement {
            members: electorate(Some(&self.record), &listed, Some(&from)).len(),
            synchronous_replicas: self.record.synchronous_replicas,
            previous_position: None,
        };
        let Ok(best) = choose(&candidates, &requirement, true) else {
            return true;
        };
        let chosen = self.processes.iter();
        let chosen = chosen
            .enumerate()
            .find(|(_, one)| one.member.key.id == best.id);
        let Some((index, process)) = chosen else {
            return false;
        };
        let has_all = process.position >= self.acknowledged;
        self.primary = index;
        self.term += 1;
        self.processes[index].is_deaf = false;
        self.replicate();
        has_all
    }
}

#[derive(Clone, Debug)]
struct History {
    demand: usize,
    events: Vec<(u8, u8)>,
}

impl Arbitrary for History {
    fn arbitrary(g: &mut Gen) -> Self {
        Self {
            demand: 1 + usize::arbitrary(g) % 2,
            events: Vec::arbitrary(g),
        }
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        let demand = self.demand;
        let shrunk = self.events.shrink();
        Box::new(shrunk.map(move |events| Self { demand, events }))
    }
}

/// Guards against the loss of acknowledged commits whatever happens to the entries, processes and logs of
/// replicas between two changes of primary.
#[test]
fn every_promoted_member_has_every_acknowledged_commit() {
    #[expect(clippy::needless_pass_by_value, reason = "quickcheck passes values")]
    fn property(history: History) -> bool {
        let mut service = Service::new(history.demand);
        service.maintain();
        history.events.iter().all(|event| {
            service.apply(*event);
            service.maintain();
            service.change_primary()
        })
    }
    runner(200).quickcheck(property as fn(History) -> bool);
}
