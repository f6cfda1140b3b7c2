//! Simulation that drives the deciders of several instances against the members of one group.
//!
//! Members follow the semantics of the endpoint commands. Messages are lost, late, duplicated and
//! reordered; nodes are partitioned, crash and pause; the platform goes down and returns.

mod fault;
mod link;
pub mod member;
pub mod session;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::time::{Duration, Instant};

use filbertbay_coordination::authority::{confirm, failover};
use filbertbay_coordination::quorum::{MemberSet, Quorum};
use filbertbay_coordination::view;
use filbertbay_state::document::{Availability, Durability};
use filbertbay_state::position::{Position, Term};
use filbertbay_state::status::Status;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use member::{Member, WriteIds};
use session::Caller;

const POLL: Duration = Duration::from_millis(60);
const TICK: Duration = Duration::from_millis(10);
const DEADLINE: Duration = Duration::from_secs(2);
const POLL_REQUEST: u64 = 0;
/// Delay in milliseconds until an instance receives a configuration change, without its pauses.
const CONFIG_DELAY_MS: std::ops::Range<u64> = 0..1_500;
const MAX_PAUSE: Duration = Duration::from_secs(4);
/// Longer than the delay of a configuration change and a pause together.
const LIST_OVERLAP: Duration = Duration::from_secs(6);

/// Size and fault rates of a history.
#[derive(Clone, Copy, Debug)]
pub struct Shape {
    pub members: usize,
    pub instances: usize,
    pub fault_period: Duration,
    pub recovery_period: Duration,
    pub loss_probability: f64,
    /// Whether operators remove two members at once and later add them again.
    pub changes_list: bool,
}

/// Request to a member.
#[derive(Clone, Copy, Debug)]
pub enum Call {
    Status(confirm::Round),
    Order(failover::Order),
    Write {
        id: u64,
        term: Term,
        durability: Durability,
    },
    Read {
        caller: usize,
        min_position: Option<Position>,
    },
}

/// Reply of a member.
#[derive(Clone, Debug)]
enum Reply {
    Status(Option<Status>),
    Wrote(Option<Instant>),
    Read(Position, WriteIds),
}

#[derive(Clone, Debug)]
enum Event {
    Poll(usize),
    Tick(usize),
    Replicate(usize),
    Fault,
    Write(usize),
    CallerStep(usize),
    Call {
        from: usize,
        to: usize,
        sent: Instant,
        call: Call,
    },
    Reply {
        from: usize,
        to: usize,
        sent: Instant,
        call: Call,
        reply: Reply,
    },
    LeaseRequest(usize),
    LeaseReply(usize, failover::LeaseResult),
    Configure(usize, failover::GroupConfig),
}

/// Instance with its deciders.
pub struct Instance {
    pub confirm: confirm::Decider,
    pub failover: failover::Decider,
    pub view: view::Group,
    paused_until: Instant,
    /// Requests that wait for confirmation, by id.
    requests: BTreeMap<u64, RequestKind>,
}

#[derive(Clone, Copy, Debug)]
enum RequestKind {
    Write {
        id: u64,
        ran: Instant,
        term: Term,
        durability: Durability,
    },
    MinPosition {
        caller: usize,
    },
}

/// Acknowledged write.
#[derive(Clone, Copy, Debug)]
pub struct Acknowledged {
    pub id: u64,
    pub term: Term,
    pub position: Position,
    pub durability: Durability,
    pub ran: Instant,
    pub at: Instant,
}

/// Promotion of a member, with the writes in its log at that time.
#[derive(Clone, Debug)]
pub struct Promotion {
    pub term: Term,
    pub member: usize,
    pub at: Instant,
    pub log: WriteIds,
}

/// State of the simulation: group, instances, callers and pending events.
pub struct World {
    shape: Shape,
    pub now: Instant,
    end_of_faults: Instant,
    rng: ChaCha8Rng,
    queue: BinaryHeap<Reverse<(Instant, u64)>>,
    events: BTreeMap<u64, Event>,
    sequence: u64,
    pub writes: u64,
    pub members: Vec<Member>,
    pub instances: Vec<Instance>,
    pub callers: Vec<Caller>,
    cut_links: BTreeSet<(usize, usize)>,
    list: MemberSet,
    list_changed: Instant,
    is_platform_up: bool,
    share_first_rank: bool,
    lease: Option<(usize, Instant)>,
    pub acknowledged: Vec<Acknowledged>,
    /// Acknowledged writes of durable routes.
    durable: WriteIds,
    pub promotions: Vec<Promotion>,
    pub violations: Vec<String>,
}

impl World {
    pub fn new(shape: Shape, seed: u64) -> Self {
        let now = Instant::now();
        let setting = failover::GroupConfig::new(MemberSet::first(shape.members));
        // Instances that know only themselves all have rank zero, and propose at the same time.
        let share_first_rank = seed.is_multiple_of(2);
        let rank = |instance: usize| if share_first_rank { 0 } else { instance as u32 };
        let instance = |index: usize| Instance {
            confirm: confirm::Decider::new(
                confirm::Config::default(),
                Quorum::new(setting.members),
            ),
            failover: failover::Decider::new(
                failover::Config::default()
                    .lost_after(Duration::from_millis(400))
                    .isolated_after(Duration::from_millis(900))
                    .stagger(Duration::from_millis(100))
                    .list_overlap(LIST_OVERLAP),
                failover::GroupConfig {
                    rank: rank(index),
                    ..setting
                },
                index as u64,
            ),
            view: view(shape.members),
            paused_until: now,
            requests: BTreeMap::new(),
        };
        let mut world = Self {
            shape,
            now,
            end_of_faults: now + shape.fault_period,
            rng: ChaCha8Rng::seed_from_u64(seed),
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            sequence: 0,
            writes: 0,
            members: (0..shape.members)
                .map(|index| Member::new(index, now))
                .collect(),
            instances: (0..shape.instances).map(instance).collect(),
            callers: (0..2 * shape.instances)
                .map(|c| Caller::new(c % shape.instances))
                .collect(),
            cut_links: BTreeSet::new(),
            list: setting.members,
            list_changed: now,
            is_platform_up: !share_first_rank,
            share_first_rank,
            lease: None,
            acknowledged: Vec::new(),
            durable: WriteIds::default(),
            promotions: vec![Promotion {
                term: Term(1),
                member: 0,
                at: now,
                log: WriteIds::default(),
            }],
            violations: Vec::new(),
        };
        world.start();
        world
    }

    fn start(&mut self) {
        for instance in 0..self.instances.len() {
            self.after(0..100, Event::Poll(instance));
            self.after(0..10, Event::Tick(instance));
            self.after(0..100, Event::Write(instance));
        }
        for member in 0..self.members.len() {
            self.after(0..10, Event::Replicate(member));
        }
        for caller in 0..self.callers.len() {
            self.after(0..100, Event::CallerStep(caller));
        }
        self.after(100..1_000, Event::Fault);
    }

    /// Runs the history to its end.
    pub fn run(&mut self) {
        let end = self.end_of_faults + self.shape.recovery_period;
        while let Some(Reverse((at, key))) = self.queue.pop() {
            if at >= end {
                return;
            }
            self.now = at;
            if let Some(event) = self.events.remove(&key) {
                self.handle(event);
            }
        }
    }

    pub fn after(&mut self, millis: std::ops::Range<u64>, event: impl Into<OpaqueEvent>) {
        let delay = Duration::from_millis(self.rng.random_range(millis));
        self.at(self.now + delay, event.into().0);
    }

    fn at(&mut self, at: Instant, event: Event) {
        self.sequence += 1;
        self.queue.push(Reverse((at, self.sequence)));
        self.events.insert(self.sequence, event);
    }

    fn handle(&mut self, event: Event) {
        let owner = match &event {
            Event::Poll(i)
            | Event::Tick(i)
            | Event::Write(i)
            | Event::LeaseReply(i, _)
            | Event::Configure(i, _) => Some(*i),
            Event::Reply { to, .. } => Some(*to),
            _ => None,
        };
        // A paused instance receives its messages when it resumes.
        if let Some(until) = owner
            .map(|i| self.instances[i].paused_until)
            .filter(|u| *u > self.now)
        {
            self.at(until, event);
            return;
        }
        match event {
            Event::Poll(instance) => self.poll(instance),
            Event::Tick(instance) => self.tick(instance),
            Event::Replicate(member) => self.replicate(member),
            Event::Fault => self.inject_fault(),
            Event::Write(instance) => self.write(instance),
            Event::CallerStep(caller) => self.step(caller),
            Event::Call {
                from,
                to,
                sent,
                call,
            } => self.serve_call(from, to, sent, call),
            Event::Reply {
                from,
                to,
                sent,
                call,
                reply,
            } => self.receive_reply(from, to, sent, call, reply),
            Event::LeaseRequest(instance) => self.answer_lease_request(instance),
            Event::Configure(instance, setting) => {
                self.failover(instance, failover::Event::Configured(setting));
            }
            Event::LeaseReply(instance, lease) => {
                self.failover(instance, failover::Event::LeaseAnswered(lease));
            }
        }
    }

    fn poll(&mut self, instance: usize) {
        self.at(self.now + POLL, Event::Poll(instance));
        self.confirm_request(instance, POLL_REQUEST, None, Durability::Primary);
    }

    /// Starts a confirmation; `sent` is the leader and its term when the request was sent, and
    /// defaults to the current ones.
    pub fn confirm_request(
        &mut self,
        instance: usize,
        request_id: u64,
        sent: Option<(usize, Term)>,
        durability: Durability,
    ) {
        let leader = sent.or(self.instances[instance].failover.leader());
        let (primary, term) = leader.unwrap_or((0, Term(0)));
        let request = confirm::Request {
            id: confirm::RequestId(request_id),
            primary,
            term,
            durability,
            deadline: self.now + DEADLINE,
        };
        self.confirm(instance, confirm::Event::Executed(request));
    }

    fn tick(&mut self, instance: usize) {
        self.at(self.now + TICK, Event::Tick(instance));
        self.confirm(instance, confirm::Event::Elapsed);
        self.failover(instance, failover::Event::Elapsed);
    }

    fn confirm(&mut self, instance: usize, event: confirm::Event) {
        let actions = self.instances[instance].confirm.on_event(self.now, event);
        for action in actions {
            match action {
                confirm::Action::Poll(round) => self.query_all(instance, round),
                confirm::Action::PushWatermark(watermark) => {
                    self.instances[instance].view.push_watermark(watermark);
                }
                confirm::Action::Complete(id, outcome) => self.complete(instance, id, outcome),
            }
        }
    }

    fn query_all(&mut self, instance: usize, round: confirm::Round) {
        for member in 0..self.members.len() {
            self.send(instance, member, Call::Status(round));
        }
    }

    fn failover(&mut self, instance: usize, event: failover::Event) {
        let actions = self.instances[instance].failover.on_event(self.now, event);
        for action in actions {
            match action {
                failover::Action::AcquireLease => self.after(1..20, Event::LeaseRequest(instance)),
                failover::Action::ReleaseLease => {
                    self.lease = self.lease.filter(|l| l.0 != instance);
                }
                failover::Action::Poll => {
                    self.confirm_request(instance, POLL_REQUEST, None, Durability::Primary);
                }
                failover::Action::Order(member, order) => {
                    self.send(instance, member, Call::Order(order));
                }
            }
        }
        let quorum = self.instances[instance].failover.quorum();
        self.confirm(instance, confirm::Event::QuorumChanged(quorum));
        let leader = self.instances[instance].failover.leader();
        let view = &mut self.instances[instance].view;
        view.primary = leader.map(|(member, _)| member);
        view.term = leader.map_or(Term(0), |(_, term)| term);
    }

    fn answer_lease_request(&mut self, instance: usize) {
        let answer = match self.lease {
            _ if !self.is_platform_up => failover::LeaseResult::NoAnswer,
            Some((holder, until)) if holder != instance && until > self.now => {
                failover::LeaseResult::HeldByOther
            }
            _ => failover::LeaseResult::Granted,
        };
        if answer == failover::LeaseResult::Granted {
            self.lease = Some((instance, self.now + Duration::from_secs(1)));
        }
        // The answer may be lost after the lease was granted.
        if !self.is_lost() {
            self.after(1..20, Event::LeaseReply(instance, answer));
        }
    }

    fn write(&mut self, instance: usize) {
        self.after(20..200, Event::Write(instance));
        let Some((member, term)) = self.instances[instance].failover.leader() else {
            return;
        };
        self.writes += 1;
        let durability = if self.rng.random_bool(0.7) {
            Durability::Majority
        } else {
            Durability::Primary
        };
        let write = Call::Write {
            id: self.writes,
            term,
            durability,
        };
        self.send(instance, member, write);
    }

    fn new_request(&mut self, instance: usize, request: RequestKind) -> u64 {
        self.sequence += 1;
        self.instances[instance]
            .requests
            .insert(self.sequence, request);
        self.sequence
    }

    /// Starts a confirmation whose position becomes the minimum position of a caller's read.
    pub fn query_min_position(&mut self, caller: usize, instance: usize) {
        let request_id = self.new_request(instance, RequestKind::MinPosition { caller });
        self.confirm_request(instance, request_id, None, Durability::Primary);
    }

    fn observe(&mut self, instance: usize, member: usize, asked: Instant, status: Status) {
        let event = failover::Event::StatusReceived {
            member,
            status,
            asked,
        };
        self.failover(instance, event);
        let slot = &mut self.instances[instance].view.members[member].observation;
        if slot.is_none_or(|known| known.asked <= asked) {
            *slot = Some(view::Observation { status, asked });
        }
    }

    fn complete(&mut self, instance: usize, id: confirm::RequestId, outcome: confirm::Outcome) {
        let request = self.instances[instance].requests.get(&id.0).copied();
        let position = match outcome {
            confirm::Outcome::Confirmed(position) => Some(position),
            confirm::Outcome::Unknown(_) => None,
        };
        match (request, position) {
            (
                Some(RequestKind::Write {
                    id,
                    ran,
                    term,
                    durability,
                }),
                Some(position),
            ) => {
                let at = self.now;
                let write = Acknowledged {
                    id,
                    term,
                    position,
                    durability,
                    ran,
                    at,
                };
                self.acknowledged.push(write);
                if durability == Durability::Majority {
                    self.durable.insert(id);
                }
                self.finish_write(id, Some(write));
            }
            (Some(RequestKind::Write { id, .. }), None) => self.finish_write(id, None),
            (Some(RequestKind::MinPosition { caller }), position) => {
                self.finish_query(caller, instance, position);
            }
            (None, _) => {}
        }
    }

    fn replicate(&mut self, index: usize) {
        self.after(2..12, Event::Replicate(index));
        let Some(upstream) = self.members[index].upstream else {
            return;
        };
        let is_up = self.members[index].is_up && self.members[upstream].is_up;
        if is_up && !self.is_link_cut(index, upstream) {
            let primary = self.members[upstream].clone();
            let entries = self.rng.random_range(1..20);
            self.members[index].pull(&primary, entries, self.now);
        }
    }
}

/// Event that other modules can schedule but not inspect.
pub struct OpaqueEvent(Event);

impl From<Event> for OpaqueEvent {
    fn from(event: Event) -> Self {
        Self(event)
    }
}

/// Returns the event of a caller's next step.
pub fn step(caller: usize) -> OpaqueEvent {
    OpaqueEvent(Event::CallerStep(caller))
}

fn view(members: usize) -> view::Group {
    let member = |index: usize| view::Member {
        name: format!("member-{index}").into(),
        data_centre: format!("centre-{index}").into(),
        address: ([127, 0, 0, 1], 5_432).into(),
        availability: Availability::In,
        observation: None,
    };
    view::Group {
        name: "orders".into(),
        term: Term(0),
        primary: None,
        members: (0..members).map(member).collect(),
        is_switching_over: false,
        watermarks: Vec::new(),
    }
}
