//! Simulates queueing disciplines in front of a member: FIFO, weighted fair, and weighted fair with
//! the adaptive concurrency limit.
//!
//! Eight workspaces of equal weight share a member with two slots. One of them sends 8/15 of the
//! load, each of the other seven 1/15. Statements beyond the slots wait at the member in FIFO
//! order. Prints one JSON object per line. Run it with
//! `cargo run --release --locked -p filbertbay-coordination --example queues`.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use filbertbay_coordination::limit::{ConcurrencyLimit, Config as LimitConfig, Outcome};
use filbertbay_coordination::queue::{Config, PushOutcome, Queue, Request, Ticket};
use serde_json::json;

const WORKSPACES: usize = 8;
const SLOTS: u32 = 2;
const CONNECTIONS: u32 = 16;
const SERVICE_TIME: Duration = Duration::from_millis(4);
const TIMEOUT: Duration = Duration::from_millis(200);
const STEP: Duration = Duration::from_micros(100);
const SECONDS: u64 = 30;

/// Queueing discipline under test; the names of the variants are printed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Discipline {
    Fifo,
    Fair,
    FairLimited,
}

#[derive(Clone, Copy)]
struct Statement {
    workspace: usize,
    arrived: Instant,
    sent: Instant,
}

/// Simulated member, the queue in front of it and the queue at the member.
struct Simulation {
    discipline: Discipline,
    now: Instant,
    fifo: VecDeque<u64>,
    queue: Queue,
    limit: ConcurrencyLimit,
    statements: BTreeMap<u64, Statement>,
    at_member: VecDeque<u64>,
    running: Vec<(Instant, u64)>,
    in_time: [u64; WORKSPACES],
    late: u64,
    refused: u64,
}

fn main() {
    for load in [1, 2, 8] {
        for discipline in [Discipline::Fifo, Discipline::Fair, Discipline::FairLimited] {
            run(discipline, load);
        }
    }
}

fn run(discipline: Discipline, load: u64) {
    let now = Instant::now();
    let mut simulation = Simulation {
        discipline,
        now,
        fifo: VecDeque::new(),
        queue: Queue::new(Config::default()),
        limit: ConcurrencyLimit::new(
            now,
            LimitConfig {
                slots: SLOTS,
                max: CONNECTIONS,
            },
        ),
        statements: BTreeMap::new(),
        at_member: VecDeque::new(),
        running: Vec::new(),
        in_time: [0; WORKSPACES],
        late: 0,
        refused: 0,
    };
    let capacity = f64::from(SLOTS) / SERVICE_TIME.as_secs_f64();
    let arrivals_per_step = capacity * load as f64 * STEP.as_secs_f64();
    let (mut pending_arrivals, mut id) = (0.0, 0_u64);
    for _ in 0..SECONDS * 1_000_000 / STEP.as_micros() as u64 {
        pending_arrivals += arrivals_per_step;
        while pending_arrivals >= 1.0 {
            pending_arrivals -= 1.0;
            id += 1;
            simulation.arrive(
                id,
                (id.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 40) as usize % 15,
            );
        }
        simulation.now += STEP;
        simulation.step();
    }
    simulation.report(load, capacity);
}

impl Simulation {
    fn arrive(&mut self, id: u64, choice: usize) {
        let workspace = choice.saturating_sub(7);
        let statement = Statement {
            workspace,
            arrived: self.now,
            sent: self.now,
        };
        self.statements.insert(id, statement);
        if self.discipline == Discipline::Fifo {
            return self.fifo.push_back(id);
        }
        let request = Request {
            ticket: Ticket(id),
            workspace: workspace_name(workspace),
            weight: 1,
            deadline: self.now + TIMEOUT,
        };
        match self.queue.push(self.now, SLOTS, request) {
            PushOutcome::Queued => {}
            PushOutcome::QueuedEvicting(Ticket(evicted)) => self.refuse(evicted),
            PushOutcome::Refused { .. } => self.refuse(id),
        }
    }

    fn refuse(&mut self, id: u64) {
        self.statements.remove(&id);
        self.refused += 1;
    }

    fn step(&mut self) {
        let now = self.now;
        let completed: Vec<_> = self
            .running
            .extract_if(.., |(end, _)| *end <= now)
            .collect();
        for (_, id) in completed {
            self.complete(id);
        }
        for Ticket(id) in self.queue.expire(now) {
            self.refuse(id);
        }
        while self.can_send() {
            let Some(id) = self.next() else {
                break;
            };
            if let Some(statement) = self.statements.get_mut(&id) {
                statement.sent = now;
            }
            if self.discipline == Discipline::FairLimited {
                self.limit.try_acquire(now);
            }
            self.at_member.push_back(id);
        }
        while self.running.len() < SLOTS as usize {
            let Some(id) = self.at_member.pop_front() else {
                return;
            };
            self.running.push((now + SERVICE_TIME, id));
        }
    }

    fn can_send(&self) -> bool {
        let sent = self.at_member.len() + self.running.len();
        match self.discipline {
            Discipline::FairLimited => self.limit.in_flight() < self.limit.current(),
            Discipline::Fifo | Discipline::Fair => sent < CONNECTIONS as usize,
        }
    }

    fn next(&mut self) -> Option<u64> {
        match self.discipline {
            Discipline::Fifo => self.fifo.pop_front(),
            Discipline::Fair | Discipline::FairLimited => {
                self.queue.pop(self.now).map(|ticket| ticket.0)
            }
        }
    }

    fn complete(&mut self, id: u64) {
        let Some(statement) = self.statements.remove(&id) else {
            return;
        };
        let latency = self.now - statement.sent;
        if self.discipline == Discipline::FairLimited {
            self.limit
                .release(self.now, Outcome::Answered { kind: 0, latency });
        }
        self.queue
            .complete(&workspace_name(statement.workspace), SERVICE_TIME);
        // The caller has timed out by then, so the member's work is wasted.
        if self.now - statement.arrived > TIMEOUT + SERVICE_TIME {
            self.late += 1;
        } else {
            self.in_time[statement.workspace] += 1;
        }
    }

    fn report(&self, load: u64, capacity: f64) {
        let total = capacity * SECONDS as f64;
        let goodput = self.in_time.iter().sum::<u64>() as f64 / total;
        // A light workspace sends 1/15 of the load and is entitled to 1/8 of the member's capacity.
        let fair_share = (total * load as f64 / 15.0).min(total / 8.0);
        let worst = self.in_time[1..].iter().min().copied().unwrap_or(0) as f64 / fair_share;
        let line = json!({
            "way": format!("{:?}", self.discipline), "load": load, "goodput": goodput,
            "worst_light_share": worst, "late": self.late, "refused": self.refused,
            "limit": self.limit.current(),
        });
        println!("{line}");
    }
}

fn workspace_name(workspace: usize) -> Arc<str> {
    format!("workspace-{workspace}").into()
}
