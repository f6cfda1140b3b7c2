//! Replays loads on the admission of one endpoint in virtual time, and compares with the endpoint's own
//! first-come queue: a burst of an unworthy kind beside a worthy one, hot workspaces, all callers back
//! at once, and a primary that is away for seconds.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use filbertbay_coordination::admission::{Admission, Decision, Request};
use filbertbay_coordination::limit::Outcome;
use filbertbay_coordination::queue::Ticket;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const SLOTS: usize = 4;
const STEP: Duration = Duration::from_micros(500);
const SECONDS: u32 = 6;

/// Statements that an endpoint queues before it refuses.
const ENDPOINT_QUEUE: usize = 16;

/// Callers of one workspace that send statements of one kind.
#[derive(Clone, Copy)]
struct Load {
    workspace: &'static str,
    priority: u8,
    per_second: f64,
    service_ms: f64,
    objective_ms: u64,
}

struct Statement {
    load: usize,
    arrived: Instant,
    sent: Instant,
}

/// Endpoint with slots and a first-come queue, behind the admission or without it.
struct Endpoint<'a> {
    loads: &'a [Load],
    now: Instant,
    rng: ChaCha8Rng,
    admission: Option<Admission>,
    statements: HashMap<u64, Statement>,
    queue: VecDeque<u64>,
    running: Vec<(Instant, u64)>,
    /// Statements served within their objective.
    served: Vec<u32>,
    offered: Vec<u32>,
}

/// Returns the share of each load that is served within its objective.
fn play(loads: &[Load], is_admitted: bool) -> Vec<f64> {
    let now = Instant::now();
    let mut endpoint = Endpoint {
        loads,
        now,
        rng: ChaCha8Rng::seed_from_u64(7),
        admission: is_admitted.then(|| Admission::new(now, SLOTS as u32)),
        statements: HashMap::new(),
        queue: VecDeque::new(),
        running: Vec::new(),
        served: vec![0; loads.len()],
        offered: vec![0; loads.len()],
    };
    let mut next_id = 0;
    for _ in 0..u64::from(SECONDS) * 2_000 {
        endpoint.now += STEP;
        for (index, load) in loads.iter().enumerate() {
            if endpoint
                .rng
                .random_bool(load.per_second * STEP.as_secs_f64())
            {
                next_id += 1;
                endpoint.arrive(next_id, index);
            }
        }
        endpoint.step();
    }
    let shares = endpoint.served.iter().zip(&endpoint.offered);
    shares
        .map(|(served, offered)| f64::from(*served) / f64::from(*offered))
        .collect()
}

impl Endpoint<'_> {
    fn arrive(&mut self, id: u64, index: usize) {
        let load = self.loads[index];
        let now = self.now;
        let statement = Statement {
            load: index,
            arrived: now,
            sent: now,
        };
        self.offered[index] += 1;
        self.statements.insert(id, statement);
        let Some(admission) = &mut self.admission else {
            return self.send(id);
        };
        let request = Request {
            ticket: Ticket(id),
            workspace: load.workspace.into(),
            priority: load.priority,
            deadline: now + Duration::from_millis(load.objective_ms / 4),
            service_hint: None,
        };
        if admission.runs_at_once(load.priority) {
            return self.start(id);
        }
        match admission.push(now, request, &mut self.rng) {
            Decision::Wait { evicted } => {
                evicted.and_then(|ticket| self.statements.remove(&ticket.0))
            }
            Decision::Refuse { .. } => self.statements.remove(&id),
        };
    }

    fn start(&mut self, id: u64) {
        self.admission.as_mut().expect("admitted").start(self.now);
        self.statements.get_mut(&id).expect("waiting").sent = self.now;
        self.send(id);
    }

    fn send(&mut self, id: u64) {
        if self.queue.len() < ENDPOINT_QUEUE {
            return self.queue.push_back(id);
        }
        self.statements.remove(&id);
        if let Some(admission) = &mut self.admission {
            admission.finish(self.now, Outcome::Refused);
        }
    }

    fn step(&mut self) {
        let now = self.now;
        let ended: Vec<(Instant, u64)> = self
            .running
            .extract_if(.., |(end, _)| *end <= now)
            .collect();
        for (_, id) in ended {
            let statement = self.statements.remove(&id).expect("running");
            let load = self.loads[statement.load];
            let is_in_time = now - statement.arrived <= Duration::from_millis(load.objective_ms);
            self.served[statement.load] += u32::from(is_in_time);
            if let Some(admission) = &mut self.admission {
                let latency = now - statement.sent;
                let kind = load.priority;
                admission.finish(now, Outcome::Answered { kind, latency });
            }
        }
        if let Some(admission) = &mut self.admission {
            for Ticket(id) in admission.expire(now) {
                self.statements.remove(&id);
            }
        }
        while let Some(admission) = &mut self.admission
            && admission.has_room()
            && let Some(Ticket(id)) = admission.pop(now, |_| false)
        {
            self.start(id);
        }
        while self.running.len() < SLOTS
            && let Some(id) = self.queue.pop_front()
        {
            let mean = self.loads[self.statements[&id].load].service_ms;
            // Exponential: a tenth of the statements takes more than twice the mean.
            let millis = -mean * (1.0 - self.rng.random::<f64>()).ln();
            let end = now + Duration::from_secs_f64(millis / 1_000.0);
            self.running.push((end, id));
        }
    }
}

#[test]
fn a_burst_of_low_priority_leaves_the_high_priority_its_service() {
    let worthy = Load {
        workspace: "booking",
        priority: 0,
        per_second: 100.0,
        service_ms: 4.5,
        objective_ms: 250,
    };
    let burst = Load {
        workspace: "lookup",
        priority: 2,
        per_second: 500.0,
        service_ms: 22.0,
        objective_ms: 1_200,
    };
    let without = play(&[worthy, burst], false);
    let with = play(&[worthy, burst], true);
    println!("worthy and burst without {without:.3?}, with {with:.3?}");
    assert!(with[0] > 0.95, "{with:?}");
    assert!(with[0] > without[0] + 0.2, "{without:?} {with:?}");
    // The endpoint is still used up by the burst.
    assert!(with[1] > 0.75 * without[1], "{without:?} {with:?}");
}

#[test]
fn hot_workspaces_leave_the_others_their_share() {
    let calm = ["a", "b", "c", "d", "e"].map(|workspace| Load {
        workspace,
        priority: 1,
        per_second: 15.0,
        service_ms: 14.0,
        objective_ms: 500,
    });
    let hot = ["x", "y", "z"].map(|workspace| Load {
        workspace,
        per_second: 200.0,
        ..calm[0]
    });
    let loads: Vec<Load> = calm.into_iter().chain(hot).collect();
    let worst = |shares: &[f64]| shares[..5].iter().copied().fold(1.0, f64::min);
    let (without, with) = (play(&loads, false), play(&loads, true));
    println!("workspaces without {without:.3?}, with {with:.3?}");
    assert!(worst(&with) > 0.9, "{with:?}");
    assert!(worst(&with) > worst(&without) + 0.3, "{without:?} {with:?}");
}

#[test]
fn without_contention_every_statement_runs_at_once() {
    let load = Load {
        workspace: "a",
        priority: 1,
        per_second: 60.0,
        service_ms: 14.0,
        objective_ms: 500,
    };
    let (without, with) = (play(&[load], false), play(&[load], true));
    assert!(with[0] >= without[0] - 0.005, "{without:?} {with:?}");
}

fn request(ticket: u64, priority: u8, deadline: Instant) -> Request {
    let workspace: Arc<str> = format!("workspace-{}", ticket % 7).into();
    Request {
        ticket: Ticket(ticket),
        workspace,
        priority,
        deadline,
        service_hint: Some(Duration::from_millis(15)),
    }
}

#[test]
fn callers_that_are_all_back_at_once_are_told_to_return_spread_out() {
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    let now = Instant::now();
    let mut admission = Admission::new(now, 4);
    let mut returns = Vec::new();
    for ticket in 0..1_000 {
        let deadline = now + Duration::from_millis(125);
        let decision = admission.push(now, request(ticket, 1, deadline), &mut rng);
        if let Decision::Refuse { retry_after, .. } = decision {
            returns.push(retry_after.as_millis());
        }
    }
    assert!(returns.len() > 700, "{} refused", returns.len());
    let (first, last) = (
        *returns.iter().min().unwrap(),
        *returns.iter().max().unwrap(),
    );
    let mut by_tenth = [0; 11];
    for millis in &returns {
        by_tenth[((millis - first) * 10 / (last - first)) as usize] += 1;
    }
    // With one time for all, they would return in the same tenth of a second.
    assert!(last - first > 80, "from {first} to {last} ms");
    assert!(
        *by_tenth.iter().max().unwrap() < returns.len() / 6,
        "{by_tenth:?}"
    );
}

/// The primary answers nothing for three seconds, with every connection in use, and is back then.
#[test]
fn statements_behind_a_silent_primary_are_refused_at_once() {
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    let mut now = Instant::now();
    let mut admission = Admission::new(now, 2);
    while admission.has_room() {
        admission.start(now);
    }
    let mut waits = 0;
    for ticket in 0..300 {
        now += Duration::from_millis(10);
        let deadline = now + Duration::from_millis(60);
        let request = request(ticket, 0, deadline);
        let workspace = Arc::clone(&request.workspace);
        if let Decision::Wait { .. } = admission.push(now, request, &mut rng) {
            waits += 1;
            // Its caller leaves at the deadline, which the next six statements outlive.
            if ticket % 6 == 5 {
                assert!(admission.cancel(0, &workspace, Ticket(ticket)));
            }
        }
    }
    assert!(waits < 20, "{waits} waited");
    admission.finish(now, Outcome::Unknown);
    assert!(admission.has_room());
}

#[test]
fn the_newest_of_the_lowest_priority_leaves_a_full_list() {
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    let now = Instant::now();
    let mut admission = Admission::new(now, 4);
    let deadline = now + Duration::from_mins(1);
    let mut ticket = 0;
    loop {
        match admission.push(now, request(ticket, 2, deadline), &mut rng) {
            Decision::Wait { evicted: None } => ticket += 1,
            Decision::Wait { evicted } => panic!("{evicted:?} left for one of its own priority"),
            Decision::Refuse { .. } => break,
        }
    }
    let capacity = admission.waiting();
    let decision = admission.push(now, request(5_000, 0, deadline), &mut rng);
    let Decision::Wait {
        evicted: Some(evicted),
    } = decision
    else {
        panic!("{decision:?}");
    };
    assert!(
        evicted.0 + 7 >= ticket,
        "{evicted:?} is not the newest of its workspace"
    );
    assert_eq!(admission.waiting(), capacity);
    assert_eq!(admission.pop(now, |_| false), Some(Ticket(5_000)));
}
