//! Cost of the decisions about groups and sessions, and effect of the replica policies.
//!
//! ```text
//! cargo bench --locked -p filbertbay-coordination --bench authority
//! ```
//!
//! Prints one JSON object.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::hint::black_box;
use std::time::{Duration, Instant};

use filbertbay_coordination::authority::{confirm, failover};
use filbertbay_coordination::quorum::{MemberSet, Quorum};
use filbertbay_coordination::replica::{self, Choice, Config, Load, Policy, ReadRequest};
use filbertbay_coordination::session::{ReadConstraint, Session};
use filbertbay_coordination::view::{Group, Member, Observation, Watermark};
use filbertbay_state::document::{Availability, Durability};
use filbertbay_state::position::{Position, Term};
use filbertbay_state::status::{Role, Status};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};

const GROUPS: usize = 1_400;
const MEMBERS: usize = 3;
const SEED: u64 = 20_261_204;

fn main() {
    // The test runner passes `--test`, for which few iterations are enough.
    let is_test = std::env::args().any(|argument| argument == "--test");
    let reads = if is_test { 1_000 } else { 200_000 };
    let result = json!({
        "confirm_ns_per_write": confirm_costs(if is_test { 10 } else { 2_000 }),
        "failover": failover_costs(if is_test { 2 } else { 50 }),
        "choose_ns": choose_cost(reads),
        "one_slow_replica": policy_latencies(reads),
        "replica_after_write": replica_share_after_write(reads / 20),
    });
    println!("{result:#}");
}

fn status(term: u64, index: u64, is_primary: bool) -> Status {
    Status {
        received: Position::new(Term(term), index),
        applied: Position::new(Term(term), index),
        fenced_term: Term(term),
        role: if is_primary {
            Role::Primary
        } else {
            Role::Replica
        },
        primary_contact_age: (!is_primary).then_some(Duration::from_millis(1)),
    }
}

fn nanos_per_item(since: Instant, count: usize) -> f64 {
    since.elapsed().as_nanos() as f64 / count as f64
}

/// Returns the cost per write for rounds of several sizes, with the poll and three answers.
fn confirm_costs(rounds: usize) -> Value {
    let costs = [1, 8, 64].map(|writes| {
        let mut decider =
            confirm::Decider::new(confirm::Config::default(), Quorum::new(MemberSet::first(3)));
        let now = Instant::now();
        let since = Instant::now();
        for round in 0..rounds {
            run_round(&mut decider, now, round * writes, writes);
        }
        json!({"writes_in_round": writes, "ns": nanos_per_item(since, rounds * writes)})
    });
    costs.to_vec().into()
}

fn run_round(decider: &mut confirm::Decider, now: Instant, first: usize, writes: usize) {
    let mut round = confirm::Round::default();
    for id in first..first + writes {
        let request = confirm::Request {
            id: confirm::RequestId(id as u64),
            primary: 0,
            term: Term(1),
            durability: Durability::Majority,
            deadline: now + Duration::from_secs(1),
        };
        round = polled_round(&decider.on_event(now, confirm::Event::Executed(request)))
            .unwrap_or(round);
    }
    // The first write starts a round alone; the other writes wait for the next round.
    for _ in 0..2 {
        let mut next = None;
        for member in 0..MEMBERS {
            let status = status(1, 9, member == 0);
            let event = confirm::Event::StatusReceived {
                round,
                member,
                status,
            };
            next = next.or(polled_round(&decider.on_event(now, event)));
        }
        round = next.unwrap_or(round);
    }
    assert!(decider.is_empty(), "every write is completed");
}

fn polled_round(actions: &[confirm::Action]) -> Option<confirm::Round> {
    actions.iter().find_map(|action| match action {
        confirm::Action::Poll(round) => Some(*round),
        _ => None,
    })
}

/// Returns the cost of polling all groups without a failure, and the memory of a group's deciders.
fn failover_costs(polls: usize) -> Value {
    let setting = failover::GroupConfig::new(MemberSet::first(MEMBERS));
    let new_decider = |seed| failover::Decider::new(failover::Config::default(), setting, seed);
    let mut deciders: Vec<_> = (0..GROUPS as u64).map(new_decider).collect();
    let since = Instant::now();
    let mut now = since;
    for poll in 0..polls {
        now += Duration::from_millis(100);
        for decider in &mut deciders {
            observe_all(decider, now, poll as u64);
        }
    }
    let ns = nanos_per_item(since, polls * GROUPS * MEMBERS);
    let info = allocation_counter::measure(|| {
        let mut failover = new_decider(1);
        observe_all(&mut failover, now, 1);
        let quorum = Quorum::new(MemberSet::first(MEMBERS));
        let mut confirm = confirm::Decider::new(confirm::Config::default(), quorum);
        run_round(&mut confirm, now, 0, 8);
        std::mem::forget((failover, confirm));
    });
    let inline = size_of::<failover::Decider>() + size_of::<confirm::Decider>();
    let bytes = info.bytes_current.unsigned_abs() + inline as u64;
    json!({"groups": GROUPS, "ns_per_answer": ns, "bytes_per_group": bytes})
}

fn observe_all(decider: &mut failover::Decider, now: Instant, index: u64) {
    for member in 0..MEMBERS {
        let status = status(1, index, member == 0);
        let event = failover::Event::StatusReceived {
            member,
            status,
            asked: now,
        };
        black_box(decider.on_event(now, event));
    }
}

fn view(replicas: usize, now: Instant) -> Group {
    let member = |index: usize| Member {
        name: format!("orders-{index}").into(),
        data_centre: "nantes".into(),
        address: ([127, 0, 0, 1], 5_432).into(),
        availability: Availability::In,
        observation: Some(Observation {
            status: status(1, 9, index == 0),
            asked: now,
        }),
    };
    Group {
        name: "orders".into(),
        term: Term(1),
        primary: Some(0),
        members: (0..=replicas).map(member).collect(),
        is_switching_over: false,
        watermarks: vec![Watermark {
            asked: now,
            position: Position::new(Term(1), 9),
        }],
    }
}

fn choose_cost(reads: usize) -> f64 {
    let now = Instant::now();
    let view = view(2, now);
    let mut session = Session::new();
    session.raise_min_position("orders", Position::new(Term(1), 9));
    let mut rng = ChaCha8Rng::seed_from_u64(SEED);
    let read = ReadRequest {
        constraint: session.read_constraint("orders"),
        max_staleness: None,
        arrived: now,
    };
    let config = Config::default();
    let since = Instant::now();
    for _ in 0..reads {
        black_box(replica::choose(
            &config,
            &view,
            &read,
            now,
            "nantes",
            &[],
            &mut rng,
        ));
    }
    nanos_per_item(since, reads)
}

/// Returns the read latency of each policy with four replicas of two slots each, of which one is ten
/// times slower.
fn policy_latencies(reads: usize) -> Value {
    let policies = [
        Policy::RoundRobin,
        Policy::LeastInFlight,
        Policy::TwoChoices,
    ];
    let rows = policies.map(|policy| {
        let mut latencies = QueueModel::new(policy).run(reads);
        latencies.sort_unstable();
        let at = |share: f64| latencies[(latencies.len() as f64 * share) as usize];
        let millis = |share| at(share).as_secs_f64() * 1e3;
        json!({"policy": policy.to_string(), "p50_ms": millis(0.5), "p99_ms": millis(0.99),
            "p999_ms": millis(0.999)})
    });
    rows.to_vec().into()
}

/// Queueing model of replicas with two servers each.
struct QueueModel {
    config: Config,
    view: Group,
    load: Vec<Load>,
    /// When each slot of each replica becomes free.
    slots: Vec<[Duration; 2]>,
    completions: BinaryHeap<Reverse<(Duration, usize, Duration)>>,
    rng: ChaCha8Rng,
}

impl QueueModel {
    const REPLICAS: usize = 4;
    const MEAN_SERVICE_TIME: Duration = Duration::from_millis(2);
    const MEAN_ARRIVAL_GAP: Duration = Duration::from_micros(500);

    fn new(policy: Policy) -> Self {
        Self {
            config: Config::default().policy(policy),
            view: view(Self::REPLICAS, Instant::now()),
            load: vec![Load::default(); Self::REPLICAS + 1],
            slots: vec![[Duration::ZERO; 2]; Self::REPLICAS + 1],
            completions: BinaryHeap::new(),
            rng: ChaCha8Rng::seed_from_u64(SEED),
        }
    }

    fn run(&mut self, reads: usize) -> Vec<Duration> {
        let mut now = Duration::ZERO;
        let mut latencies = Vec::with_capacity(reads);
        for _ in 0..reads {
            now += self.exponential(Self::MEAN_ARRIVAL_GAP);
            self.finish_until(now);
            let member = self.choose();
            let mean = if member == 1 {
                Self::MEAN_SERVICE_TIME * 10
            } else {
                Self::MEAN_SERVICE_TIME
            };
            let service = self.exponential(mean);
            let slot = self.slots[member].iter_mut().min().expect("two slots");
            let end = now.max(*slot) + service;
            *slot = end;
            let latency = end.saturating_sub(now);
            latencies.push(latency);
            self.load[member].started += 1;
            self.load[member].in_flight += 1;
            self.completions.push(Reverse((end, member, latency)));
        }
        latencies
    }

    fn finish_until(&mut self, now: Duration) {
        while let Some(Reverse((end, member, latency))) = self.completions.peek().copied() {
            if end > now {
                return;
            }
            self.completions.pop();
            let load = &mut self.load[member];
            load.in_flight -= 1;
            load.latency = (load.latency * 7 + latency) / 8;
        }
    }

    fn choose(&mut self) -> usize {
        let now = Instant::now();
        let need = ReadConstraint {
            min_position: Some(Position::new(Term(1), 9)),
            pinned: None,
        };
        let read = ReadRequest {
            constraint: need,
            max_staleness: None,
            arrived: now,
        };
        let (config, view, load) = (&self.config, &self.view, &self.load);
        match replica::choose(config, view, &read, now, "nantes", load, &mut self.rng) {
            Choice::Replica(member) => member,
            other => panic!("a replica is fresh: {other:?}"),
        }
    }

    fn exponential(&mut self, mean: Duration) -> Duration {
        let uniform: f64 = self.rng.random_range(f64::EPSILON..1.0);
        mean.mul_f64(-uniform.ln())
    }
}

/// Returns the share of reads that a replica serves after a write of the same session, by replica
/// lag and maximum wait.
///
/// The view is refreshed by a poll every 100 ms and by the round that confirms each write of the
/// group, at twenty writes a second. With `on_demand`, a waiting read also refreshes the view.
fn replica_share_after_write(reads: usize) -> Value {
    let lags = [1, 5, 20, 50];
    let limits = [0, 5, 20, 60];
    let mut rows = Vec::new();
    for on_demand in [false, true] {
        for (lag, limit) in lags
            .into_iter()
            .flat_map(|lag| limits.map(|limit| (lag, limit)))
        {
            let times = (Duration::from_millis(lag), Duration::from_millis(limit));
            let (share, wait) = run_reads_after_write(reads, times, on_demand);
            rows.push(
                json!({"on_demand": on_demand, "lag_ms": lag, "max_wait_ms": limit,
                "replica_share": share, "mean_wait_ms": wait}),
            );
        }
    }
    rows.into()
}

fn run_reads_after_write(
    reads: usize,
    (lag, limit): (Duration, Duration),
    on_demand: bool,
) -> (f64, f64) {
    const STEP: Duration = Duration::from_millis(1);
    let mut rng = ChaCha8Rng::seed_from_u64(SEED);
    let config = Config::default().max_wait(limit);
    let start = Instant::now();
    let mut view = view(2, start);
    let (mut replicas, mut waited) = (0, Duration::ZERO);
    for read in 0..reads {
        // The write was confirmed at `start`; the read comes up to 40 ms later.
        let since = start + Duration::from_millis(rng.random_range(0..40));
        let poll = Duration::from_millis(rng.random_range(0..100));
        let floor = Position::new(Term(1), 10 + read as u64);
        let mut now = since;
        loop {
            // A query that the read triggers is answered a millisecond later.
            let asked = (on_demand && now > since).then(|| (now - start).saturating_sub(STEP));
            refresh(&mut view, start, now, (poll, asked), lag, floor);
            let need = ReadConstraint {
                min_position: Some(floor),
                pinned: None,
            };
            let read = ReadRequest {
                constraint: need,
                max_staleness: None,
                arrived: since,
            };
            match replica::choose(&config, &view, &read, now, "nantes", &[], &mut rng) {
                Choice::WaitUntil(_) => now += STEP,
                Choice::Replica(_) => break replicas += 1,
                _ => break,
            }
        }
        waited += now - since;
    }
    let mean = waited.as_secs_f64() * 1e3 / reads as f64;
    (f64::from(replicas) / reads as f64, mean)
}

/// Updates the view to the state after the last poll or round before `now`.
fn refresh(
    view: &mut Group,
    start: Instant,
    now: Instant,
    (poll, asked): (Duration, Option<Duration>),
    lag: Duration,
    floor: Position,
) {
    let since = now - start;
    let polls = since.saturating_sub(poll).as_millis() / 100;
    let last_poll = (since >= poll).then(|| poll + Duration::from_millis(100 * polls as u64));
    let last_round = Duration::from_millis(since.as_millis() as u64 / 50 * 50);
    let seen = last_poll.max(asked).unwrap_or_default().max(last_round);
    let applied = if seen >= lag {
        floor.index
    } else {
        floor.index - 1
    };
    for member in 1..view.members.len() {
        let status = status(1, applied, false);
        view.members[member].observation = Some(Observation {
            status,
            asked: start + seen,
        });
    }
}
