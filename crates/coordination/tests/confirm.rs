//! Confirmation rounds: batching, the conditions for an acknowledgement, and unknown outcomes.

use std::time::{Duration, Instant};

use filbertbay_coordination::authority::confirm::{
    Action, Cause, Config, Decider, Event, Outcome, Request, RequestId, Round,
};
use filbertbay_coordination::quorum::{MemberSet, Quorum};
use filbertbay_coordination::view::Watermark;
use filbertbay_state::document::Durability;
use filbertbay_state::position::{Position, Term};
use filbertbay_state::status::{Role, Status};

const SECOND: Duration = Duration::from_secs(1);

fn decider() -> Decider {
    Decider::new(Config::default(), Quorum::new(MemberSet::first(3)))
}

fn executed(id: u64, durability: Durability, now: Instant) -> Event {
    Event::Executed(Request {
        id: RequestId(id),
        primary: 0,
        term: Term(2),
        durability,
        deadline: now + SECOND,
    })
}

fn status_received(round: u64, member: usize, index: u64, fenced: u64) -> Event {
    let role = if member == 0 {
        Role::Primary
    } else {
        Role::Replica
    };
    let status = Status {
        received: Position::new(Term(2), index),
        fenced_term: Term(fenced),
        role,
        ..Status::default()
    };
    Event::StatusReceived {
        round: Round(round),
        member,
        status,
    }
}

/// Returns the actions without the watermarks, which the tests of `view` cover.
fn without_watermarks(actions: Vec<Action>) -> Vec<Action> {
    let is_watermark = |action: &Action| matches!(action, Action::PushWatermark(_));
    actions.into_iter().filter(|a| !is_watermark(a)).collect()
}

fn confirmed(id: u64, index: u64) -> Action {
    let position = Position::new(Term(2), index);
    Action::Complete(RequestId(id), Outcome::Confirmed(position))
}

#[test]
fn one_round_confirms_every_request_that_ran_before_it() {
    let now = Instant::now();
    let mut decider = decider();
    let first = decider.on_event(now, executed(1, Durability::Primary, now));
    assert_eq!(first, [Action::Poll(Round(1))]);
    for id in 2..100 {
        let actions = decider.on_event(now, executed(id, Durability::Primary, now));
        assert_eq!(actions, []);
    }
    assert_eq!(decider.on_event(now, status_received(1, 0, 5, 2)), []);
    let actions = without_watermarks(decider.on_event(now, status_received(1, 1, 4, 2)));
    assert_eq!(actions, [confirmed(1, 5), Action::Poll(Round(2))]);

    // A late answer of the previous round does not count for the requests of this round.
    assert_eq!(decider.on_event(now, status_received(1, 2, 9, 2)), []);
    assert_eq!(decider.on_event(now, status_received(2, 0, 80, 2)), []);
    let actions = without_watermarks(decider.on_event(now, status_received(2, 2, 4, 2)));
    let expected: Vec<_> = (2..100).map(|id| confirmed(id, 80)).collect();
    assert_eq!(actions, expected);
    assert!(decider.is_empty());
}

#[test]
fn a_durable_request_waits_until_a_majority_has_received_it() {
    let now = Instant::now();
    let mut decider = decider();
    decider.on_event(now, executed(1, Durability::Majority, now));
    decider.on_event(now, status_received(1, 0, 7, 2));
    let actions = decider.on_event(now, status_received(1, 1, 6, 0));
    let watermark = Watermark {
        asked: now,
        position: Position::new(Term(2), 7),
    };
    assert_eq!(actions, [Action::PushWatermark(watermark)]);
    let later = decider.next_deadline().unwrap();
    let actions = decider.on_event(later, Event::Elapsed);
    assert_eq!(actions, [Action::Poll(Round(2))]);
    // The primary has run more writes; its first answered position is the required one.
    assert_eq!(decider.on_event(later, status_received(2, 0, 20, 2)), []);
    let actions = decider.on_event(later, status_received(2, 1, 7, 0));
    assert_eq!(actions, [confirmed(1, 7)]);
}

#[test]
fn a_higher_term_makes_the_outcome_unknown() {
    let now = Instant::now();
    let unknown = Action::Complete(RequestId(1), Outcome::Unknown(Cause::Superseded));
    let mut decider = decider();
    decider.on_event(now, executed(1, Durability::Primary, now));
    decider.on_event(now, status_received(1, 0, 7, 2));
    assert_eq!(decider.on_event(now, status_received(1, 1, 7, 3)), []);
    // Repeated answers of a member count once.
    assert_eq!(decider.on_event(now, status_received(1, 1, 7, 3)), []);
    let actions = decider.on_event(now, status_received(1, 2, 7, 3));
    assert_eq!(actions, [unknown]);

    // A fence on the primary alone does not supersede it; a fence on a second member does.
    decider.on_event(now, executed(1, Durability::Primary, now));
    assert_eq!(decider.on_event(now, status_received(2, 0, 7, 3)), []);
    let actions = decider.on_event(now, status_received(2, 1, 7, 3));
    assert_eq!(actions, [unknown]);

    // A demoted primary reports that it does not lead.
    decider.on_event(now, executed(1, Durability::Primary, now));
    let replica = Event::StatusReceived {
        round: Round(3),
        member: 0,
        status: Status::default(),
    };
    assert_eq!(decider.on_event(now, replica), [unknown]);
}

#[test]
fn a_write_before_a_switchover_is_confirmed_by_the_other_members() {
    let now = Instant::now();
    let mut decider = decider();
    decider.on_event(now, executed(1, Durability::Majority, now));
    assert_eq!(decider.on_event(now, status_received(1, 0, 7, 3)), []);
    assert_eq!(decider.on_event(now, status_received(1, 1, 7, 2)), []);
    let actions = without_watermarks(decider.on_event(now, status_received(1, 2, 7, 0)));
    assert_eq!(actions, [confirmed(1, 7)]);
}

#[test]
fn without_a_majority_the_outcome_is_unknown_at_the_deadline() {
    let now = Instant::now();
    let mut decider = decider();
    decider.on_event(now, executed(1, Durability::Primary, now));
    for _ in 0..3 {
        assert_eq!(decider.on_event(now, status_received(1, 0, 7, 2)), []);
    }
    let actions = decider.on_event(now + SECOND, Event::Elapsed);
    let unknown = Action::Complete(RequestId(1), Outcome::Unknown(Cause::Deadline));
    assert_eq!(actions, [unknown]);
    assert_eq!(decider.next_deadline(), None);
}
