//! Measures the decision state machines that a statement passes through.

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

/// Active workspaces of one instance at the design size.
const DESIGN_WORKSPACES: usize = 5_000;

/// Groups whose views one instance holds at the design size.
const DESIGN_GROUPS: usize = 1_400;

const MEMBERS_PER_GROUP: usize = 3;

/// Repetitions in one measurement.
const REPETITIONS: usize = 200;

pub(crate) fn series() -> Vec<Series> {
    vec![
        Series::measure(
            "share: state of active workspaces",
            "bytes",
            "workspaces",
            &[1_250, 2_500, 5_000, 10_000],
            DESIGN_WORKSPACES,
            |size| bytes_of(|| rate_limiter(size)),
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
            |size| bytes_of(|| published_groups(size)),
        ),
    ]
}

fn workspace(number: usize) -> Arc<str> {
    format!("workspace-{number}").into()
}

fn rate_limiter(workspaces: usize) -> RateLimiter {
    let now = Instant::now();
    let mut rate_limiter = RateLimiter::new("instance-0", "data-centre-0", 1, Config::default());
    let allocation = Allocation::even(&[("instance-0", 1, "data-centre-0")]);
    rate_limiter.apply_allocation(now, Arc::new(allocation));
    rate_limiter.confirm_ownership(now);
    let rate = Rate {
        per_second: 1_000,
        burst: 1_000,
    };
    for number in 0..workspaces {
        rate_limiter.try_acquire(now + Duration::from_secs(1), &workspace(number), rate, 1);
    }
    rate_limiter
}

fn admission_ns(workspaces: usize) -> f64 {
    let mut rate_limiter = rate_limiter(workspaces);
    let names: Vec<Arc<str>> = (0..workspaces).map(workspace).collect();
    let rate = Rate {
        per_second: 1_000,
        burst: 1_000,
    };
    let now = Instant::now() + Duration::from_secs(2);
    ns_per_operation(names.len(), || {
        for name in &names {
            std::hint::black_box(rate_limiter.try_acquire(now, name, rate, 1));
        }
    })
}

/// Returns the time of a round that confirms `writes` writes, from the first write to the last
/// status response, in nanoseconds.
fn round_ns(writes: usize) -> f64 {
    let quorum = Quorum::new(MemberSet::first(MEMBERS_PER_GROUP));
    let mut decider = confirm::Decider::new(confirm::Config::default(), quorum);
    let now = Instant::now();
    let mut request_id = 0;
    ns_per_operation(1, || {
        let mut round = None;
        for _ in 0..writes {
            request_id += 1;
            let request = confirm::Request {
                id: confirm::RequestId(request_id),
                primary: 0,
                term: Term(1),
                durability: Durability::Majority,
                deadline: now + Duration::from_mins(1),
            };
            for action in decider.on_event(now, confirm::Event::Executed(request)) {
                if let confirm::Action::Poll(current) = action {
                    round = Some(current);
                }
            }
        }
        while let Some(current) = round.take() {
            for member in 0..MEMBERS_PER_GROUP {
                let status = status(member);
                let event = confirm::Event::StatusReceived {
                    round: current,
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

/// Returns the time to push a statement onto a queue that holds `waiting` others and to pop the
/// next one, in nanoseconds.
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
    ns_per_operation(1, || {
        number += 1;
        push(&mut queue, number);
        std::hint::black_box(queue.pop(now));
    })
}

fn published_groups(groups: usize) -> PublishedState {
    let published = PublishedState::new(instance());
    for number in 0..groups {
        published.set_group(group(number));
    }
    published
}

fn replace_ns(groups: usize) -> f64 {
    let published = published_groups(groups);
    let views: Vec<view::Group> = (0..groups).map(group).collect();
    ns_per_operation(groups, || {
        for view in &views {
            published.set_group(view.clone());
        }
    })
}

fn group(number: usize) -> view::Group {
    let members = (0..MEMBERS_PER_GROUP).map(|index| view::Member {
        name: format!("database-{number}-{index}").into(),
        data_centre: format!("data-centre-{index}").into(),
        address: ([127, 0, 0, 1], 5432).into(),
        availability: <_>::default(),
        observation: Some(view::Observation {
            status: status(index),
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

/// Runs `work` repeatedly and returns the mean time of each of its `operations` operations, in
/// nanoseconds.
fn ns_per_operation<F>(operations: usize, mut work: F) -> f64
where
    F: FnMut(),
{
    work();
    let since = Instant::now();
    for _ in 0..REPETITIONS {
        work();
    }
    since.elapsed().as_nanos() as f64 / (REPETITIONS * operations) as f64
}
