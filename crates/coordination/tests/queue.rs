//! Tests of the weighted fair queue: no ticket is lost or answered twice, no statement starts after
//! its deadline, and backlogged workspaces are served in proportion to their weights.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use filbertbay_coordination::queue::{Config, PushOutcome, Queue, Request, Ticket};
use quickcheck::{Arbitrary, Gen};

const CAPACITY: usize = 16;

#[derive(Clone, Copy, Debug)]
enum Step {
    Push { workspace: u8, ttl_ms: u16 },
    Pop,
    Expire,
    Cancel { ticket: u8 },
    Complete { workspace: u8, run_ms: u8 },
    AdvanceTime { ms: u8 },
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        match u8::arbitrary(g) % 8 {
            0..=2 => Self::Push {
                workspace: u8::arbitrary(g) % 5,
                ttl_ms: u16::arbitrary(g) % 200,
            },
            3 | 4 => Self::Pop,
            5 => Self::Expire,
            6 if bool::arbitrary(g) => Self::Cancel {
                ticket: u8::arbitrary(g),
            },
            6 => Self::Complete {
                workspace: u8::arbitrary(g) % 5,
                run_ms: u8::arbitrary(g) % 20,
            },
            _ => Self::AdvanceTime {
                ms: u8::arbitrary(g),
            },
        }
    }
}

fn workspace_name(workspace: u8) -> Arc<str> {
    format!("workspace-{workspace}").into()
}

/// Tickets that are queued and tickets that have left the queue.
#[derive(Default)]
struct Model {
    queued: BTreeMap<Ticket, (u8, Instant)>,
    removed: BTreeSet<Ticket>,
}

impl Model {
    fn remove(&mut self, ticket: Ticket) -> (u8, Instant) {
        assert!(self.removed.insert(ticket), "{ticket:?} left twice");
        self.queued.remove(&ticket).expect("the ticket is queued")
    }
}

fn each_ticket_leaves_the_queue_once(steps: Vec<Step>) -> bool {
    let mut now = Instant::now();
    let mut queue = Queue::new(Config::default().capacity(CAPACITY));
    let mut model = Model::default();
    for (index, step) in steps.into_iter().enumerate() {
        match step {
            Step::Push { workspace, ttl_ms } => {
                let ticket = Ticket(index as u64);
                let deadline = now + Duration::from_millis(ttl_ms.into());
                let request = Request {
                    ticket,
                    workspace: workspace_name(workspace),
                    weight: u32::from(workspace),
                    deadline,
                };
                match queue.push(now, 2, request) {
                    PushOutcome::Queued => drop(model.queued.insert(ticket, (workspace, deadline))),
                    PushOutcome::QueuedEvicting(evicted) => {
                        model.remove(evicted);
                        model.queued.insert(ticket, (workspace, deadline));
                    }
                    PushOutcome::Refused { .. } => {}
                }
            }
            Step::Pop => {
                if let Some(ticket) = queue.pop(now) {
                    assert!(model.remove(ticket).1 > now, "started after its deadline");
                }
            }
            Step::Expire => {
                for ticket in queue.expire(now) {
                    assert!(model.remove(ticket).1 <= now, "expired before its deadline");
                }
            }
            Step::Cancel { ticket } => {
                let ticket = Ticket(ticket.into());
                if let Some((workspace, _)) = model.queued.get(&ticket).copied() {
                    assert!(queue.cancel(&workspace_name(workspace), ticket));
                    model.remove(ticket);
                }
            }
            Step::Complete { workspace, run_ms } => {
                queue.complete(
                    &workspace_name(workspace),
                    Duration::from_millis(run_ms.into()),
                );
            }
            Step::AdvanceTime { ms } => now += Duration::from_millis(ms.into()),
        }
        assert_eq!(queue.len(), model.queued.len());
        assert!(queue.len() <= CAPACITY);
    }
    while let Some(ticket) = queue.pop(now) {
        model.remove(ticket);
    }
    for ticket in queue.expire(now) {
        model.remove(ticket);
    }
    model.queued.is_empty()
}

#[test]
fn queued_statements_start_or_are_refused_exactly_once() {
    check::runner(200).quickcheck(each_ticket_leaves_the_queue_once as fn(Vec<Step>) -> bool);
}

/// Keeps every workspace backlogged, serves one statement at a time and checks that each workspace
/// receives at least 95 % of its weighted share of the service time.
#[expect(clippy::needless_pass_by_value, reason = "quickcheck passes values")]
fn service_time_follows_weights(weights: Vec<u8>, costs: Vec<u8>) -> bool {
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
    let mut service_received = vec![Duration::ZERO; weights.len()];
    let mut tickets = 0..;
    let mut owners = BTreeMap::new();
    let mut push = |queue: &mut Queue, owners: &mut BTreeMap<Ticket, usize>, index: usize| {
        let ticket = Ticket(tickets.next().expect("the range is infinite"));
        owners.insert(ticket, index);
        let request = Request {
            ticket,
            workspace: workspace_name(index as u8),
            weight: weights[index],
            deadline: now + Duration::from_hours(24),
        };
        assert_eq!(queue.push(now, 1, request), PushOutcome::Queued);
    };
    for index in 0..weights.len() {
        push(&mut queue, &mut owners, index);
        push(&mut queue, &mut owners, index);
    }
    for _ in 0..4_000 {
        let ticket = queue.pop(now).expect("every flow has a backlog");
        let index = owners[&ticket];
        let service_time = Duration::from_micros(200 + 10 * u64::from(costs[index % costs.len()]));
        queue.complete(&workspace_name(index as u8), service_time);
        service_received[index] += service_time;
        push(&mut queue, &mut owners, index);
    }
    let total: Duration = service_received.iter().sum();
    let fair_share = total.as_secs_f64() / f64::from(weights.iter().sum::<u32>());
    let shares = service_received.iter().zip(&weights);
    shares
        .map(|(time, weight)| time.as_secs_f64() / f64::from(*weight))
        .all(|share| share > 0.95 * fair_share)
}

#[test]
fn backlogged_workspaces_are_served_by_weight() {
    let property = service_time_follows_weights as fn(Vec<u8>, Vec<u8>) -> bool;
    check::runner(16).quickcheck(property);
}
