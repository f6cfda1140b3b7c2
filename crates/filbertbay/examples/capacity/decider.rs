//! Slopes of the deciders on the path of a statement.

use std::sync::Arc;
use std::time::{Duration, Instant};

use filbertbay::published::PublishedState;
use filbertbay_coordination::authority::confirm;
use filbertbay_coordination::queue::{self, Queue};
use filbertbay_coordination::quorum::{MemberSet, Quorum};
use filbertbay_coordination::share::{Allocation, Config, RateLimiter};
use filbertbay_coordination::view;
use filbertbay_state::document::{Durability, Rate};
use filbertbay_state::instance::{Instance, Presence};
use filbertbay_state::position::{Position, Term};
use filbertbay_state::status::{Role, Status};

use crate::{Series, bytes_of};

/// Workspaces that are active on one instance at the size that the fleet is designed for.
const DESIGN_WORKSPACES: usize = 5_000;

/// Groups that one instance has a view of at that size.
const DESIGN_GROUPS: usize = 1_400;

const MEMBERS: usize = 3;

/// Repetitions of a decision in one measurement.
const REPEATS: usize = 200;

pub(crate) fn series() -> Vec<Series> {
    vec![
        Series::measure(
            "share: state of active workspaces",
            "bytes",
            "workspaces",
            &[1_250, 2_500, 5_000, 10_000],
            DESIGN_WORKSPACES,
            |size| bytes_of(|| ledger(size)),
        ),
        Series::measure(
            "share: one admission",
            "ns",
            "workspaces",
            &[1_250, 2_500, 5_000, 10_000],
            DESIGN_WORKSPACES,
            admission_ns,
        ),
        Series::measure(
            "authority: one confirmation round",
            "ns",
            "writes in flight",
            &[1, 8, 32, 128],
            32,
            round_ns,
        ),
        Series::measure(
            "queue: push and pop",
            "ns",
            "statements waiting",
            &[16, 64, 256, 1_000],
            64,
            queue_ns,
        ),
        Series::measure(
            "view: replace one of",
            "ns",
            "groups",
            &[175, 350, 700, 1_400],
            DESIGN_GROUPS,
            replace_ns,
        ),
        Series::measure(
            "view: state",
            "bytes",
            "groups",
            &[350, 700, 1_400, 2_800],
            DESIGN_GROUPS,
            |size| bytes_of(|| published(size)),
        ),
    ]
}

fn workspace(number: usize) -> Arc<str> {
    format!("workspace-{number}").into()
}

fn ledger(workspaces: usize) -> RateLimiter {
    let now = Instant::now();
    let mut ledger = RateLimiter::new("instance-0", "data-centre-0", 1, Config::default());
    let allocation = Allocation::even(&[("instance-0", 1, "data-centre-0")]);
    ledger.apply_allocation(now, Arc::new(allocation));
    ledger.confirm_ownership(now);
    let rate = Rate {
        per_second: 1_000,
        burst: 1_000,
    };
    for number in 0..workspaces {
        ledger.try_acquire(now + Duration::from_secs(1), &workspace(number), rate, 1);
    }
    ledger
}

fn admission_ns(workspaces: usize) -> f64 {
    let mut ledger = ledger(workspaces);
    let names: Vec<Arc<str>> = (0..workspaces).map(workspace).collect();
    let rate = Rate {
        per_second: 1_000,
        burst: 1_000,
    };
    let now = Instant::now() + Duration::from_secs(2);
    per_repeat(names.len(), || {
        for name in &names {
            std::hint::black_box(ledger.try_acquire(now, name, rate, 1));
        }
    })
}

/// Time of a round that confirms several writes, from the first write to the last answer.
fn round_ns(writes: usize) -> f64 {
    let rule = Quorum::new(MemberSet::first(MEMBERS));
    let mut decider = confirm::Decider::new(confirm::Config::default(), rule);
    let now = Instant::now();
    let mut ticket = 0;
    per_repeat(1, || {
        let mut round = None;
        for _ in 0..writes {
            ticket += 1;
            let request = confirm::Request {
                id: confirm::RequestId(ticket),
                primary: 0,
                term: Term(1),
                durability: Durability::Majority,
                deadline: now + Duration::from_mins(1),
            };
            for action in decider.on_event(now, confirm::Event::Executed(request)) {
                if let confirm::Action::Poll(asked) = action {
                    round = Some(asked);
                }
            }
        }
        while let Some(asked) = round.take() {
            for member in 0..MEMBERS {
                let status = status(member);
                let event = confirm::Event::StatusReceived {
                    round: asked,
                    member,
                    status,
                };
                for action in decider.on_event(now, event) {
                    if let confirm::Action::Poll(next) = action {
                        round = Some(next);
                    }
                }
            }
        }
    })
}

fn status(member: usize) -> Status {
    let position = Position::new(Term(1), 100);
    Status {
        received: position,
        applied: position,
        fenced_term: Term(1),
        role: if member == 0 {
            Role::Primary
        } else {
            Role::Replica
        },
        primary_contact_age: (member > 0).then_some(Duration::from_millis(1)),
    }
}

/// Time to add a statement to a full queue and to take the next one out.
fn queue_ns(waiting: usize) -> f64 {
    let now = Instant::now();
    let deadline = now + Duration::from_mins(1);
    let mut queue = Queue::new(queue::Config::default().capacity(waiting + 1));
    let names: Vec<Arc<str>> = (0..waiting).map(workspace).collect();
    let mut ticket = 0;
    let mut push = |queue: &mut Queue, number: usize| {
        ticket += 1;
        let request = queue::Request {
            ticket: queue::Ticket(ticket),
            workspace: Arc::clone(&names[number % names.len()]),
            weight: 1,
            deadline,
        };
        queue.push(now, 2, request);
    };
    for number in 0..waiting {
        push(&mut queue, number);
    }
    let mut number = 0;
    per_repeat(1, || {
        number += 1;
        push(&mut queue, number);
        std::hint::black_box(queue.pop(now));
    })
}

fn published(groups: usize) -> PublishedState {
    let published = PublishedState::new(instance());
    for number in 0..groups {
        published.set_group(group(number));
    }
    published
}

fn replace_ns(groups: usize) -> f64 {
    let published = published(groups);
    let views: Vec<view::Group> = (0..groups).map(group).collect();
    per_repeat(groups, || {
        for view in &views {
            published.set_group(view.clone());
        }
    })
}

fn group(number: usize) -> view::Group {
    let members = (0..MEMBERS).map(|place| view::Member {
        name: format!("database-{number}-{place}").into(),
        data_centre: format!("data-centre-{place}").into(),
        address: ([127, 0, 0, 1], 5432).into(),
        availability: <_>::default(),
        observation: Some(view::Observation {
            status: status(place),
            asked: Instant::now(),
        }),
    });
    view::Group {
        name: format!("database-{number}").into(),
        term: Term(1),
        primary: Some(0),
        members: members.collect(),
        is_switching_over: false,
        watermarks: <_>::default(),
    }
}

fn instance() -> Instance {
    let address = ([127, 0, 0, 1], 1).into();
    Instance {
        name: "instance-0".into(),
        incarnation: 1,
        data_centre: "data-centre-0".into(),
        caller_address: address,
        peer_address: address,
        forward_address: address,
        presence: Presence::Live,
    }
}

/// Returns the nanoseconds of one of `parts` equal parts of a repeated piece of work.
fn per_repeat<F>(parts: usize, mut work: F) -> f64
where
    F: FnMut(),
{
    work();
    let since = Instant::now();
    for _ in 0..REPEATS {
        work();
    }
    since.elapsed().as_nanos() as f64 / (REPEATS * parts) as f64
}
