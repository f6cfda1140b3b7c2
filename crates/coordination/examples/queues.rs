//! Compares ways to queue before a member: first come first served, fair, and fair with the adaptive
//! limit.
//!
//! Eight workspaces of equal weight share a member with two slots. One of them sends eight parts of
//! the load, the others one each. Statements beyond the slots wait at the member in the order in
//! which they came. Prints one JSON object a line. Run it with
//! `cargo run --release --locked -p filbertbay-coordination --example queues`.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use filbertbay_coordination::limit::{ConcurrencyLimit, Config as LimitConfig};
use filbertbay_coordination::queue::{Config, PushOutcome, Queue, Request, Ticket};
use serde_json::json;

const WORKSPACES: usize = 8;
const SLOTS: u32 = 2;
const CONNECTIONS: u32 = 16;
const SERVICE: Duration = Duration::from_millis(4);
const PATIENCE: Duration = Duration::from_millis(200);
const STEP: Duration = Duration::from_micros(100);
const SECONDS: u64 = 30;

/// Way to queue.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Way {
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

/// Member with what waits before it and at it.
struct Bench {
    way: Way,
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
        for way in [Way::Fifo, Way::Fair, Way::FairLimited] {
            run(way, load);
        }
    }
}

fn run(way: Way, load: u64) {
    let now = Instant::now();
    let mut bench = Bench {
        way,
        now,
        fifo: VecDeque::new(),
        queue: Queue::new(Config::default()),
        limit: ConcurrencyLimit::new(now, LimitConfig { max: CONNECTIONS }),
        statements: BTreeMap::new(),
        at_member: VecDeque::new(),
        running: Vec::new(),
        in_time: [0; WORKSPACES],
        late: 0,
        refused: 0,
    };
    let capacity = f64::from(SLOTS) / SERVICE.as_secs_f64();
    let per_step = capacity * load as f64 * STEP.as_secs_f64();
    let (mut due, mut number) = (0.0, 0_u64);
    for _ in 0..SECONDS * 1_000_000 / STEP.as_micros() as u64 {
        due += per_step;
        while due >= 1.0 {
            due -= 1.0;
            number += 1;
            bench.arrive(
                number,
                (number.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 40) as usize % 15,
            );
        }
        bench.now += STEP;
        bench.step();
    }
    bench.report(load, capacity);
}

impl Bench {
    fn arrive(&mut self, number: u64, part: usize) {
        let workspace = part.saturating_sub(7);
        let statement = Statement {
            workspace,
            arrived: self.now,
            sent: self.now,
        };
        self.statements.insert(number, statement);
        if self.way == Way::Fifo {
            return self.fifo.push_back(number);
        }
        let request = Request {
            ticket: Ticket(number),
            workspace: name(workspace),
            weight: 1,
            deadline: self.now + PATIENCE,
        };
        match self.queue.push(self.now, SLOTS, request) {
            PushOutcome::Queued => {}
            PushOutcome::QueuedEvicting(Ticket(other)) => self.refuse(other),
            PushOutcome::Refused { .. } => self.refuse(number),
        }
    }

    fn refuse(&mut self, number: u64) {
        self.statements.remove(&number);
        self.refused += 1;
    }

    fn step(&mut self) {
        let now = self.now;
        let done: Vec<_> = self
            .running
            .extract_if(.., |(end, _)| *end <= now)
            .collect();
        for (_, number) in done {
            self.finish(number);
        }
        for Ticket(number) in self.queue.expire(now) {
            self.refuse(number);
        }
        while self.has_place() {
            let Some(number) = self.next() else {
                break;
            };
            if let Some(statement) = self.statements.get_mut(&number) {
                statement.sent = now;
            }
            if self.way == Way::FairLimited {
                self.limit.try_acquire();
            }
            self.at_member.push_back(number);
        }
        while self.running.len() < SLOTS as usize {
            let Some(number) = self.at_member.pop_front() else {
                return;
            };
            self.running.push((now + SERVICE, number));
        }
    }

    fn has_place(&self) -> bool {
        let sent = self.at_member.len() + self.running.len();
        match self.way {
            Way::FairLimited => self.limit.in_flight() < self.limit.current(),
            Way::Fifo | Way::Fair => sent < CONNECTIONS as usize,
        }
    }

    fn next(&mut self) -> Option<u64> {
        match self.way {
            Way::Fifo => self.fifo.pop_front(),
            Way::Fair | Way::FairLimited => self.queue.pop(self.now).map(|ticket| ticket.0),
        }
    }

    fn finish(&mut self, number: u64) {
        let Some(statement) = self.statements.remove(&number) else {
            return;
        };
        let took = self.now - statement.sent;
        if self.way == Way::FairLimited {
            self.limit.release(self.now, Some(took));
        }
        self.queue.complete(&name(statement.workspace), SERVICE);
        // The caller has given up by then; the member worked for nothing.
        if self.now - statement.arrived > PATIENCE + SERVICE {
            self.late += 1;
        } else {
            self.in_time[statement.workspace] += 1;
        }
    }

    fn report(&self, load: u64, capacity: f64) {
        let total = capacity * SECONDS as f64;
        let goodput = self.in_time.iter().sum::<u64>() as f64 / total;
        // A light workspace sends a fifteenth of the load and may have an eighth of the member.
        let fair = (total * load as f64 / 15.0).min(total / 8.0);
        let worst = self.in_time[1..].iter().min().copied().unwrap_or(0) as f64 / fair;
        let line = json!({
            "way": format!("{:?}", self.way), "load": load, "goodput": goodput,
            "worst_light_share": worst, "late": self.late, "refused": self.refused,
            "limit": self.limit.current(),
        });
        println!("{line}");
    }
}

fn name(workspace: usize) -> Arc<str> {
    format!("workspace-{workspace}").into()
}
