//! Tests that no read runs on a superseded primary. An isolated primary keeps writing in its old
//! term, so that its position looks recent although its writes are not part of the group's history.

use std::time::{Duration, Instant};

use filbertbay_coordination::replica::{self, Choice, Config, ReadRequest};
use filbertbay_coordination::session::Session;
use filbertbay_coordination::view::{Group, Member, Observation, Watermark};
use filbertbay_state::document::Availability;
use filbertbay_state::position::{Position, Term};
use filbertbay_state::status::{Role, Status};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const GROUP: &str = "orders";

fn member(name: &str, role: Role, position: Position, asked: Instant) -> Member {
    let status = Status {
        received: position,
        applied: position,
        fenced_term: position.term,
        role,
        primary_contact_age: (role == Role::Replica).then_some(Duration::ZERO),
    };
    Member {
        name: name.into(),
        data_centre: name.into(),
        address: ([127, 0, 0, 1], 5432).into(),
        availability: Availability::In,
        observation: Some(Observation { status, asked }),
    }
}

/// Returns a group whose primary of term 1 is isolated and still writes, while another member is
/// the primary of term 2.
fn split_brain(now: Instant, former_position: Position) -> Group {
    let current_position = Position::new(Term(2), 101);
    Group {
        name: GROUP.into(),
        term: Term(2),
        primary: Some(1),
        members: vec![
            member("former", Role::Primary, former_position, now),
            member("current", Role::Primary, current_position, now),
            member("replica", Role::Replica, current_position, now),
        ],
        is_switching_over: false,
        watermarks: vec![Watermark {
            asked: now,
            position: current_position,
        }],
    }
}

#[test]
fn superseded_primary_serves_no_read() {
    fn property(index: u64, min_position: u64, has_staleness_limit: bool, seed: u64) -> bool {
        let now = Instant::now();
        let view = split_brain(now, Position::new(Term(1), index));
        let mut session = Session::new();
        session.raise_min_position(GROUP, Position::new(Term(1), min_position.min(index)));
        let read = ReadRequest {
            constraint: session.read_constraint(GROUP),
            max_staleness: has_staleness_limit.then_some(Duration::from_mins(1)),
            arrived: now,
        };
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        // Members in the caller's data centre, here that of the former primary, are preferred.
        let choice = replica::choose(
            &Config::default(),
            &view,
            &read,
            now,
            "former",
            &[],
            &mut rng,
        );
        choice == Choice::Replica(2)
    }
    let property = property as fn(u64, u64, bool, u64) -> bool;
    check::runner(32).quickcheck(property);
}

#[test]
fn session_pinned_to_superseded_primary_is_moved() {
    let now = Instant::now();
    let view = split_brain(now, Position::new(Term(1), 105));
    let mut session = Session::new();
    session.raise_min_position(GROUP, Position::new(Term(1), 100));
    session.record_read(GROUP, "former", now);
    let read = ReadRequest {
        constraint: session.read_constraint(GROUP),
        max_staleness: None,
        arrived: now,
    };
    let mut rng = ChaCha8Rng::seed_from_u64(check::seed());
    let choice = replica::choose(
        &Config::default(),
        &view,
        &read,
        now,
        "former",
        &[],
        &mut rng,
    );
    assert_ne!(choice, Choice::Replica(0));
}
