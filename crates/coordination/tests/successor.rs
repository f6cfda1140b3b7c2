//! Properties of the choice of a successor.

use check::runner;
use filbertbay_coordination::succession::successor::{Candidate, Requirement, Shortfall, choose};
use filbertbay_state::position::{Position, Term};
use quickcheck::{Arbitrary, Gen};

fn position(index: u64) -> Position {
    Position::new(Term(1), index)
}

fn candidate(id: &str, index: u64) -> Candidate {
    Candidate {
        id: id.into(),
        received: position(index),
        is_exact: true,
        is_listed: true,
        is_available: true,
        is_same_data_centre: false,
        is_previous: false,
    }
}

fn draining(id: &str, index: u64) -> Candidate {
    Candidate {
        is_available: false,
        ..candidate(id, index)
    }
}

fn busy(id: &str, index: u64) -> Candidate {
    Candidate {
        is_exact: false,
        ..candidate(id, index)
    }
}

fn previous(id: &str, index: u64) -> Candidate {
    Candidate {
        is_previous: true,
        ..candidate(id, index)
    }
}

/// Three members, of which the primary is unknown to have answered.
fn requirement(synchronous_replicas: usize) -> Requirement {
    Requirement {
        members: 3,
        synchronous_replicas,
        previous_position: None,
    }
}

fn choice(candidates: &[Candidate], requirement: &Requirement) -> Result<String, Shortfall> {
    choose(candidates, requirement, false).map(|best| best.id.to_string())
}

#[test]
fn the_successor_is_available_and_has_the_highest_position() {
    let near = Candidate {
        is_same_data_centre: true,
        ..candidate("near", 8)
    };
    let all = [
        draining("leaving", 9),
        candidate("far", 8),
        near,
        candidate("behind", 7),
    ];
    assert_eq!(choice(&all, &requirement(0)), Ok("near".to_owned()));
    assert_eq!(choice(&[], &requirement(0)), Err(Shortfall::NoAnswer));
}

/// Guards against a member that answers BUSY being passed over for one that has received less: with a
/// synchronous replica, it may hold the only copy of acknowledged commits.
#[test]
fn a_busy_member_is_waited_for_until_it_can_be_compared() {
    let ahead = [candidate("deaf", 4), busy("busy", 9)];
    assert_eq!(choice(&ahead, &requirement(1)), Ok("busy".to_owned()));
    assert_eq!(choice(&ahead, &requirement(0)), Ok("busy".to_owned()));
    let unknown = [candidate("deaf", 4), busy("busy", 2)];
    let waits = choose(&unknown, &requirement(1), true);
    assert_eq!(waits, Err(Shortfall::TooFewAnswers));
    assert_eq!(choice(&unknown, &requirement(0)), Err(Shortfall::Undecided));
    let last = choose(&unknown, &requirement(0), true).unwrap();
    assert_eq!(last.id.as_ref(), "deaf");
}

/// Guards against a promotion on the answers of too few members, one of which may lack acknowledged
/// commits.
#[test]
fn too_few_answers_prevent_a_promotion_with_synchronous_replicas() {
    let one = [candidate("deaf", 4)];
    for is_last_round in [false, true] {
        let chosen = choose(&one, &requirement(1), is_last_round);
        assert_eq!(chosen, Err(Shortfall::TooFewAnswers));
        assert!(choose(&one, &requirement(0), is_last_round).is_ok());
    }
    // Both replicas of three members must have every commit.
    assert!(choose(&one, &requirement(2), false).is_ok());
}

/// Guards against a primary that came back without its log: its answer says nothing about commits that
/// it had acknowledged before.
#[test]
fn a_previous_primary_without_its_log_proves_nothing() {
    let known = Requirement {
        previous_position: Some(position(0)),
        ..requirement(1)
    };
    let restarted = [previous("i-0", 0), candidate("deaf", 4)];
    let chosen = choose(&restarted, &known, true);
    assert_eq!(chosen, Err(Shortfall::TooFewAnswers));
    let returned = Requirement {
        previous_position: Some(position(9)),
        ..requirement(1)
    };
    let answers = [previous("i-0", 9), candidate("deaf", 4)];
    assert_eq!(choice(&answers, &returned), Ok("i-0".to_owned()));
}

#[test]
fn the_best_member_may_catch_up_until_the_last_round() {
    let known = Requirement {
        previous_position: Some(position(9)),
        ..requirement(0)
    };
    let behind = [candidate("behind", 8)];
    assert_eq!(choice(&behind, &known), Err(Shortfall::Behind));
    assert!(choose(&behind, &known, true).is_ok());
}

/// Guards against an available member being promoted in place of a draining one that alone has
/// acknowledged commits.
#[test]
fn a_draining_member_with_acknowledged_commits_goes_before_an_available_one() {
    let answers = [candidate("deaf", 4), draining("leaving", 9)];
    assert_eq!(choice(&answers, &requirement(1)), Ok("leaving".to_owned()));
    assert_eq!(choice(&answers, &requirement(0)), Ok("deaf".to_owned()));
    let equal = [candidate("staying", 9), draining("leaving", 9)];
    assert_eq!(choice(&equal, &requirement(1)), Ok("staying".to_owned()));
}

/// Guards against a planned change that promotes a draining member although an available one is about
/// to catch up.
#[test]
fn an_available_member_may_catch_up_with_a_draining_one() {
    let known = Requirement {
        previous_position: Some(position(9)),
        ..requirement(1)
    };
    let answers = [candidate("behind", 8), draining("leaving", 9)];
    assert_eq!(choice(&answers, &known), Err(Shortfall::Behind));
    let last = choose(&answers, &known, true).unwrap();
    assert_eq!(last.id.as_ref(), "leaving");
}

/// Members of a service with their positions, the commits that each has received, and which of them
/// answer a status query.
#[derive(Clone, Debug)]
struct Service {
    synchronous_replicas: usize,
    acknowledged: u64,
    received: Vec<u64>,
    answers: Vec<Option<bool>>,
    is_draining: Vec<bool>,
}

impl Arbitrary for Service {
    fn arbitrary(g: &mut Gen) -> Self {
        let replicas = 2 + usize::arbitrary(g) % 4;
        let synchronous_replicas = 1 + usize::arbitrary(g) % replicas;
        let mut received: Vec<u64> = (0..replicas).map(|_| u64::arbitrary(g) % 50).collect();
        let mut sorted = received.clone();
        sorted.sort_unstable_by(|one, other| other.cmp(one));
        // The newest commit that so many replicas have received.
        let acknowledged = sorted[synchronous_replicas - 1];
        received.insert(0, sorted[0]);
        let answer = |g: &mut Gen| match u8::arbitrary(g) % 4 {
            0 => None,
            1 => Some(false),
            _ => Some(true),
        };
        let mut answers: Vec<Option<bool>> = (0..=replicas).map(|_| answer(g)).collect();
        if u8::arbitrary(g) < 200 {
            answers[0] = None;
        }
        Self {
            synchronous_replicas,
            acknowledged,
            received,
            answers,
            is_draining: (0..=replicas).map(|_| bool::arbitrary(g)).collect(),
        }
    }
}

/// Guards against the loss of a commit that was acknowledged once some replicas had received it: the
/// promoted member lacked it, whichever members were silent, busy or draining.
#[test]
fn a_promoted_member_has_every_acknowledged_commit() {
    #[expect(clippy::needless_pass_by_value, reason = "quickcheck passes values")]
    fn property(service: Service) -> bool {
        let members = service.received.iter().zip(&service.answers);
        let candidates: Vec<Candidate> = members
            .enumerate()
            .filter_map(|(index, (received, answer))| {
                let is_exact = (*answer)?;
                let known = if is_exact { *received } else { received / 2 };
                Some(Candidate {
                    is_exact,
                    is_available: !service.is_draining[index],
                    is_previous: index == 0,
                    ..candidate(&format!("i-{index}"), known)
                })
            })
            .collect();
        let requirement = Requirement {
            members: service.received.len(),
            synchronous_replicas: service.synchronous_replicas,
            previous_position: (service.answers[0] == Some(true))
                .then(|| position(service.received[0])),
        };
        [false, true].into_iter().all(|is_last_round| {
            let chosen = choose(&candidates, &requirement, is_last_round);
            chosen.map_or(true, |best| {
                let index: usize = best.id[2..].parse().unwrap();
                service.received[index] >= service.acknowledged
            })
        })
    }
    runner(60).quickcheck(property as fn(Service) -> bool);
}
