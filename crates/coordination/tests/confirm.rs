//! Confirmation rounds: one round for many requests, and only answers that came after them.

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

fn finished(ticket: u64, durability: Durability, now: Instant) -> Event {
    Event::Executed(Request {
        id: RequestId(ticket),
        primary: 0,
        term: Term(2),
        durability,
        deadline: now + SECOND,
    })
}

fn answered(round: u64, member: usize, index: u64, fenced: u64) -> Event {
    let role = if member == 0 {
        Role::Primary
    } else {
        Role::Replica
    };
    let status = Status {
        received: Position::new(Term(2), index),
        fenced: Term(fenced),
        role,
        ..Status::default()
    };
    Event::StatusReceived {
        round: Round(round),
        member,
        status,
    }
}

/// Drops the marks, which the tests of views look at.
fn settled(actions: Vec<Action>) -> Vec<Action> {
    let is_mark = |action: &Action| matches!(action, Action::PushWatermark(_));
    actions.into_iter().filter(|a| !is_mark(a)).collect()
}

fn confirmed(ticket: u64, index: u64) -> Action {
    let position = Position::new(Term(2), index);
    Action::Complete(RequestId(ticket), Outcome::Confirmed(position))
}

#[test]
fn one_round_serves_all_that_finished_before_it() {
    let now = Instant::now();
    let mut decider = decider();
    let first = decider.on_event(now, finished(1, Durability::Primary, now));
    assert_eq!(first, [Action::Poll(Round(1))]);
    for ticket in 2..100 {
        let actions = decider.on_event(now, finished(ticket, Durability::Primary, now));
        assert_eq!(actions, []);
    }
    assert_eq!(decider.on_event(now, answered(1, 0, 5, 2)), []);
    let actions = settled(decider.on_event(now, answered(1, 1, 4, 2)));
    assert_eq!(actions, [confirmed(1, 5), Action::Poll(Round(2))]);

    // Answers of the round before say nothing about the requests of this one.
    assert_eq!(decider.on_event(now, answered(1, 2, 9, 2)), []);
    assert_eq!(decider.on_event(now, answered(2, 0, 80, 2)), []);
    let actions = settled(decider.on_event(now, answered(2, 2, 4, 2)));
    let expected: Vec<_> = (2..100).map(|ticket| confirmed(ticket, 80)).collect();
    assert_eq!(actions, expected);
    assert!(decider.is_empty());
}

#[test]
fn a_durable_request_waits_until_a_majority_holds_it() {
    let now = Instant::now();
    let mut decider = decider();
    decider.on_event(now, finished(1, Durability::Majority, now));
    decider.on_event(now, answered(1, 0, 7, 2));
    let marked = decider.on_event(now, answered(1, 1, 6, 0));
    let mark = Watermark {
        asked: now,
        position: Position::new(Term(2), 7),
    };
    assert_eq!(marked, [Action::PushWatermark(mark)]);
    let later = decider.next_deadline().unwrap();
    let asked = decider.on_event(later, Event::Elapsed);
    assert_eq!(asked, [Action::Poll(Round(2))]);
    // The primary has moved on; what it answered first is what counts.
    assert_eq!(decider.on_event(later, answered(2, 0, 20, 2)), []);
    let settled = decider.on_event(later, answered(2, 1, 7, 0));
    assert_eq!(settled, [confirmed(1, 7)]);
}

#[test]
fn a_higher_term_makes_the_outcome_unknown() {
    let now = Instant::now();
    let unknown = Action::Complete(RequestId(1), Outcome::Unknown(Cause::Superseded));
    let mut decider = decider();
    decider.on_event(now, finished(1, Durability::Primary, now));
    decider.on_event(now, answered(1, 0, 7, 2));
    assert_eq!(decider.on_event(now, answered(1, 1, 7, 3)), []);
    // The same member counts once, however often it answers.
    assert_eq!(decider.on_event(now, answered(1, 1, 7, 3)), []);
    let settled = decider.on_event(now, answered(1, 2, 7, 3));
    assert_eq!(settled, [unknown]);

    // A fence on the primary alone is no proof; together with another member's it is.
    decider.on_event(now, finished(1, Durability::Primary, now));
    assert_eq!(decider.on_event(now, answered(2, 0, 7, 3)), []);
    let settled = decider.on_event(now, answered(2, 1, 7, 3));
    assert_eq!(settled, [unknown]);

    // A primary that has been deposed says so itself.
    decider.on_event(now, finished(1, Durability::Primary, now));
    let replica = Event::StatusReceived {
        round: Round(3),
        member: 0,
        status: Status::default(),
    };
    assert_eq!(decider.on_event(now, replica), [unknown]);
}

#[test]
fn what_ran_before_a_planned_move_is_confirmed_by_the_others() {
    let now = Instant::now();
    let mut decider = decider();
    decider.on_event(now, finished(1, Durability::Majority, now));
    assert_eq!(decider.on_event(now, answered(1, 0, 7, 3)), []);
    assert_eq!(decider.on_event(now, answered(1, 1, 7, 2)), []);
    let settled = settled(decider.on_event(now, answered(1, 2, 7, 0)));
    assert_eq!(settled, [confirmed(1, 7)]);
}

#[test]
fn without_a_majority_the_deadline_ends_the_wait() {
    let now = Instant::now();
    let mut decider = decider();
    decider.on_event(now, finished(1, Durability::Primary, now));
    for _ in 0..3 {
        assert_eq!(decider.on_event(now, answered(1, 0, 7, 2)), []);
    }
    let actions = decider.on_event(now + SECOND, Event::Elapsed);
    let unknown = Action::Complete(RequestId(1), Outcome::Unknown(Cause::Deadline));
    assert_eq!(actions, [unknown]);
    assert_eq!(decider.next_deadline(), None);
}
