//! Where reads run: a member that believes it leads is no replica, however fresh it looks.

use std::time::{Duration, Instant};

use filbertbay_coordination::replica::{self, Choice, Config, Read};
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
        fenced: position.term,
        role,
        heard: (role == Role::Replica).then_some(Duration::ZERO),
    };
    Member {
        name: name.into(),
        data_centre: name.into(),
        address: ([127, 0, 0, 1], 5432).into(),
        availability: Availability::In,
        observation: Some(Observation { status, asked }),
    }
}

/// Returns a group whose primary of term 1 is cut off and writes on, while another one leads term 2.
fn split(now: Instant, former: Position) -> Group {
    let leads = Position::new(Term(2), 101);
    Group {
        name: GROUP.into(),
        term: Term(2),
        primary: Some(1),
        members: vec![
            member("former", Role::Primary, former, now),
            member("present", Role::Primary, leads, now),
            member("replica", Role::Replica, leads, now),
        ],
        is_switching_over: false,
        watermarks: vec![Watermark {
            asked: now,
            position: leads,
        }],
    }
}

#[test]
fn a_superseded_primary_serves_no_read() {
    fn property(index: u64, floor: u64, stated: bool, seed: u64) -> bool {
        let now = Instant::now();
        let view = split(now, Position::new(Term(1), index));
        let mut session = Session::new();
        session.confirm(GROUP, Position::new(Term(1), floor.min(index)));
        let read = Read {
            need: session.need(GROUP),
            staleness: stated.then_some(Duration::from_mins(1)),
            since: now,
        };
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        // Callers sit in the former primary's data centre, which is preferred.
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
fn a_session_leaves_a_primary_that_was_superseded() {
    let now = Instant::now();
    let view = split(now, Position::new(Term(1), 105));
    let mut session = Session::new();
    session.confirm(GROUP, Position::new(Term(1), 100));
    session.read(GROUP, "former", now);
    let read = Read {
        need: session.need(GROUP),
        staleness: None,
        since: now,
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
