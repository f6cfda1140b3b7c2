//! Properties of the queue before a member's slots.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use filbertbay_coordination::queue::{Config, EnqueueOutcome, Queue, Request, Ticket};
use quickcheck::{Arbitrary, Gen};

const LENGTH: usize = 16;

#[derive(Clone, Copy, Debug)]
enum Step {
    Push { workspace: u8, wait_ms: u16 },
    Pop,
    Expire,
    Cancel { ticket: u8 },
    Complete { workspace: u8, took_ms: u8 },
    Pass { ms: u8 },
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        match u8::arbitrary(g) % 8 {
            0..=2 => Self::Push {
                workspace: u8::arbitrary(g) % 5,
                wait_ms: u16::arbitrary(g) % 200,
            },
            3 | 4 => Self::Pop,
            5 => Self::Expire,
            6 if bool::arbitrary(g) => Self::Cancel {
                ticket: u8::arbitrary(g),
            },
            6 => Self::Complete {
                workspace: u8::arbitrary(g) % 5,
                took_ms: u8::arbitrary(g) % 20,
            },
            _ => Self::Pass {
                ms: u8::arbitrary(g),
            },
        }
    }
}

fn name(workspace: u8) -> Arc<str> {
    format!("workspace-{workspace}").into()
}

/// Follows every ticket that entered until it left.
#[derive(Default)]
struct Book {
    waiting: BTreeMap<Ticket, (u8, Instant)>,
    left: BTreeSet<Ticket>,
}

impl Book {
    fn leave(&mut self, ticket: Ticket) -> (u8, Instant) {
        assert!(self.left.insert(ticket), "{ticket:?} left twice");
        self.waiting.remove(&ticket).expect("a ticket that waits")
    }
}

fn every_ticket_leaves_once(steps: Vec<Step>) -> bool {
    let mut now = Instant::now();
    let mut queue = Queue::new(Config::default().capacity(LENGTH));
    let mut book = Book::default();
    for (number, step) in steps.into_iter().enumerate() {
        match step {
            Step::Push { workspace, wait_ms } => {
                let ticket = Ticket(number as u64);
                let deadline = now + Duration::from_millis(wait_ms.into());
                let request = Request {
                    ticket,
                    workspace: name(workspace),
                    weight: u32::from(workspace),
                    deadline,
                };
                match queue.push(now, 2, request) {
                    EnqueueOutcome::Queued => {
                        drop(book.waiting.insert(ticket, (workspace, deadline)))
                    }
                    EnqueueOutcome::QueuedEvicting(other) => {
                        book.leave(other);
                        book.waiting.insert(ticket, (workspace, deadline));
                    }
                    EnqueueOutcome::Refused { .. } => {}
                }
            }
            Step::Pop => {
                if let Some(ticket) = queue.pop(now) {
                    assert!(book.leave(ticket).1 > now, "a late statement was started");
                }
            }
            Step::Expire => {
                for ticket in queue.expire(now) {
                    assert!(
                        book.leave(ticket).1 <= now,
                        "a statement was refused in time"
                    );
                }
            }
            Step::Cancel { ticket } => {
                let ticket = Ticket(ticket.into());
                if let Some((workspace, _)) = book.waiting.get(&ticket).copied() {
                    assert!(queue.cancel(&name(workspace), ticket));
                    book.leave(ticket);
                }
            }
            Step::Complete { workspace, took_ms } => {
                queue.complete(&name(workspace), Duration::from_millis(took_ms.into()));
            }
            Step::Pass { ms } => now += Duration::from_millis(ms.into()),
        }
        assert_eq!(queue.len(), book.waiting.len());
        assert!(queue.len() <= LENGTH);
    }
    while let Some(ticket) = queue.pop(now) {
        book.leave(ticket);
    }
    for ticket in queue.expire(now) {
        book.leave(ticket);
    }
    book.waiting.is_empty()
}

#[test]
fn accepted_statements_start_or_are_refused_exactly_once() {
    check::runner(200).quickcheck(every_ticket_leaves_once as fn(Vec<Step>) -> bool);
}

/// Keeps a backlog of every workspace, serves one statement at a time and compares what each got.
#[expect(clippy::needless_pass_by_value, reason = "quickcheck passes values")]
fn backlogged_workspaces_share_by_weight(weights: Vec<u8>, costs: Vec<u8>) -> bool {
    let weights: Vec<u32> = weights
        .iter()
        .take(6)
        .map(|weight| u32::from(weight % 4) + 1)
        .collect();
    if weights.is_empty() || costs.is_empty() {
        return true;
    }
    let now = Instant::now();
    let mut queue = Queue::new(Config::default());
    let mut served = vec![Duration::ZERO; weights.len()];
    let mut tickets = 0..;
    let mut owners = BTreeMap::new();
    let mut push = |queue: &mut Queue, owners: &mut BTreeMap<Ticket, usize>, index: usize| {
        let ticket = Ticket(tickets.next().expect("endless"));
        owners.insert(ticket, index);
        let request = Request {
            ticket,
            workspace: name(index as u8),
            weight: weights[index],
            deadline: now + Duration::from_hours(24),
        };
        assert_eq!(queue.push(now, 1, request), EnqueueOutcome::Queued);
    };
    for index in 0..weights.len() {
        push(&mut queue, &mut owners, index);
        push(&mut queue, &mut owners, index);
    }
    for _ in 0..4_000 {
        let ticket = queue.pop(now).expect("a backlog");
        let index = owners[&ticket];
        let took = Duration::from_micros(200 + 10 * u64::from(costs[index % costs.len()]));
        queue.complete(&name(index as u8), took);
        served[index] += took;
        push(&mut queue, &mut owners, index);
    }
    let total: Duration = served.iter().sum();
    let fair = total.as_secs_f64() / f64::from(weights.iter().sum::<u32>());
    let shares = served.iter().zip(&weights);
    shares
        .map(|(time, weight)| time.as_secs_f64() / f64::from(*weight))
        .all(|share| share > 0.95 * fair)
}

#[test]
fn no_workspace_falls_below_its_weight() {
    let property = backlogged_workspaces_share_by_weight as fn(Vec<u8>, Vec<u8>) -> bool;
    check::runner(16).quickcheck(property);
}
