//! Weighted fair queue of the statements that wait for one of a member's slots.
//!
//! Each workspace has its own flow, a FIFO of waiting statements. Flows are scheduled by start-time
//! fair queueing: each flow has a start tag in virtual time, the flow with the smallest start tag
//! is served next, and serving a statement advances the tag by the service time divided by the
//! workspace's weight. A flow that becomes active starts at the current virtual time, so an idle
//! workspace neither accumulates credit nor waits behind the backlog of other workspaces.
//!
//! The queue is bounded. When it is full, the flow that is longest relative to its weight loses its
//! newest statement. A statement that is not expected to start before its deadline is refused at
//! once. Every queued ticket leaves the queue exactly once, through [`Queue::pop`],
//! [`Queue::expire`], [`Queue::cancel`] or [`PushOutcome::QueuedEvicting`]; only a popped ticket
//! may run.
//!
//! # Examples
//!
//! ```
//! use std::time::{Duration, Instant};
//!
//! use filbertbay_coordination::queue::{Config, PushOutcome, Queue, Request, Ticket};
//!
//! let now = Instant::now();
//! let mut queue = Queue::new(Config::default());
//! let request = Request {
//!     ticket: Ticket(1),
//!     workspace: "shop".into(),
//!     weight: 1,
//!     deadline: now + Duration::from_secs(1),
//! };
//! assert_eq!(queue.push(now, 2, request), PushOutcome::Queued);
//! assert_eq!(queue.pop(now), Some(Ticket(1)));
//! ```

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Virtual time that one microsecond of service costs a flow of weight one.
const VIRTUAL_TIME_PER_MICROSECOND: u64 = 1_000;

/// Inverse of the weight of a new sample in the moving average of service times.
const AVERAGE_DIVISOR: u32 = 8;

/// Average service times by which a preferred workspace may be served early.
const MAX_LEAD: u64 = 4;

/// Service time assumed until the first statement has completed.
const INITIAL_SERVICE_TIME: Duration = Duration::from_millis(1);

/// Maximum service time that is charged to a workspace for one statement.
const MAX_SERVICE_TIME: Duration = Duration::from_mins(1);

/// Identifier that the caller of the queue assigns to a statement.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Ord, PartialOrd, Hash)]
pub struct Ticket(pub u64);

/// Options of a [`Queue`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Config {
    /// Maximum number of waiting statements.
    pub capacity: usize,
}

impl Default for Config {
    fn default() -> Self {
        Self { capacity: 1_024 }
    }
}

impl Config {
    /// Sets the maximum number of waiting statements.
    #[must_use]
    pub fn capacity(mut self, capacity: usize) -> Self {
        self.capacity = capacity;
        self
    }
}

/// Statement to be queued.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Request {
    /// Identifier of the statement, unique among the waiting statements.
    pub ticket: Ticket,
    /// Workspace that the statement runs for.
    pub workspace: Arc<str>,
    /// Weight of the workspace; zero counts as one. A change takes effect once its flow is empty.
    pub weight: u32,
    /// Time from which on the statement must not start.
    pub deadline: Instant,
}

/// Result of [`Queue::push`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PushOutcome {
    /// The statement was queued.
    Queued,
    /// The statement was queued; the given one was evicted to make room and must be refused.
    QueuedEvicting(Ticket),
    /// The statement was not queued and must be refused.
    Refused {
        /// Expected wait of the statement, after which a retry may be queued.
        retry_after: Duration,
    },
}

/// Weighted fair queue of the statements that wait for one member.
#[derive(Debug)]
pub struct Queue {
    config: Config,
    flows: HashMap<Arc<str>, Flow>,
    schedule: BTreeSet<(u64, Arc<str>)>,
    waiting: usize,
    virtual_time: u64,
    average_service_time: Duration,
    active_weight: u64,
}

#[derive(Debug)]
struct Flow {
    weight: u32,
    is_active: bool,
    start_tag: u64,
    waiting: VecDeque<Waiting>,
}

#[derive(Clone, Copy, Debug)]
struct Waiting {
    ticket: Ticket,
    deadline: Instant,
}

impl Queue {
    /// Creates an empty queue.
    pub fn new(config: Config) -> Self {
        Self {
            config,
            flows: HashMap::new(),
            schedule: BTreeSet::new(),
            waiting: 0,
            virtual_time: 0,
            average_service_time: INITIAL_SERVICE_TIME,
            active_weight: 0,
        }
    }

    /// Returns the number of waiting statements.
    pub fn len(&self) -> usize {
        self.waiting
    }

    /// Returns true if no statement waits.
    pub fn is_empty(&self) -> bool {
        self.waiting == 0
    }

    /// Queues a statement, or refuses it if it is not expected to start before its deadline.
    ///
    /// A full queue evicts a statement of a longer flow, or refuses the new one if there is none.
    ///
    /// `slots` is the number of statements that the member runs concurrently.
    pub fn push(&mut self, now: Instant, slots: u32, request: Request) -> PushOutcome {
        let wait = self.expected_wait(slots, &request);
        if now + wait >= request.deadline {
            return PushOutcome::Refused { retry_after: wait };
        }
        let evicted = if self.waiting >= self.config.capacity {
            match self.evict_for(&request.workspace, request.weight) {
                Some(ticket) => Some(ticket),
                None => return PushOutcome::Refused { retry_after: wait },
            }
        } else {
            None
        };
        self.append(request);
        evicted.map_or(PushOutcome::Queued, PushOutcome::QueuedEvicting)
    }

    /// Removes and returns the next statement to run, or `None` if none is runnable.
    ///
    /// Skips statements whose deadline has passed; they stay queued until [`Queue::expire`].
    pub fn pop(&mut self, now: Instant) -> Option<Ticket> {
        self.pop_preferring(now, |_| false)
    }

    /// Like [`Queue::pop`], but serves a workspace that `is_preferred` ahead of its turn, for example
    /// because it has an open connection.
    ///
    /// A workspace is served early by at most four average service times of its own, so that the
    /// others are not passed over for long.
    pub fn pop_preferring<F>(&mut self, now: Instant, is_preferred: F) -> Option<Ticket>
    where
        F: Fn(&Arc<str>) -> bool,
    {
        let has_runnable = |name: &Arc<str>| {
            let flow = &self.flows[name];
            flow.waiting.iter().any(|waiting| waiting.deadline > now)
        };
        let mut runnable = self.schedule.iter().filter(|(_, name)| has_runnable(name));
        let first = runnable.next()?;
        let max_lead = virtual_cost(self.average_service_time, 1).saturating_mul(MAX_LEAD);
        let latest_tag = first.0.saturating_add(max_lead);
        let mut early = runnable.take_while(|(start_tag, _)| *start_tag <= latest_tag);
        let preferred = if is_preferred(&first.1) {
            None
        } else {
            early.find(|(_, name)| is_preferred(name))
        };
        let (start_tag, name) = preferred.unwrap_or(first).clone();
        // Serving a flow early must not move the virtual time past the start tags of the others.
        let first_tag = first.0;
        let flow = self.flows.get_mut(&name)?;
        let index = flow
            .waiting
            .iter()
            .position(|waiting| waiting.deadline > now)?;
        let waiting = flow.waiting.remove(index)?;
        self.schedule.remove(&(start_tag, Arc::clone(&name)));
        flow.start_tag =
            start_tag.saturating_add(virtual_cost(self.average_service_time, flow.weight));
        self.virtual_time = self.virtual_time.max(first_tag);
        self.waiting -= 1;
        self.reschedule(&name);
        Some(waiting.ticket)
    }

    /// Records the service time of a completed statement.
    ///
    /// [`Queue::pop`] charges the workspace the average service time; this replaces that charge by
    /// the actual service time, up to one minute.
    pub fn complete(&mut self, workspace: &Arc<str>, service_time: Duration) {
        let service_time = service_time.min(MAX_SERVICE_TIME);
        let average = self.average_service_time;
        if let Some(flow) = self.flows.get_mut(workspace) {
            let old_key = (flow.start_tag, Arc::clone(workspace));
            let uncharged_tag = flow
                .start_tag
                .saturating_sub(virtual_cost(average, flow.weight));
            flow.start_tag = uncharged_tag.saturating_add(virtual_cost(service_time, flow.weight));
            let was_scheduled = self.schedule.remove(&old_key);
            if was_scheduled {
                self.schedule
                    .insert((flow.start_tag, Arc::clone(workspace)));
            }
        }
        self.average_service_time =
            (average * (AVERAGE_DIVISOR - 1) + service_time) / AVERAGE_DIVISOR;
    }

    /// Removes a statement whose caller no longer waits, and returns whether it was still queued.
    pub fn cancel(&mut self, workspace: &Arc<str>, ticket: Ticket) -> bool {
        let Some(flow) = self.flows.get_mut(workspace) else {
            return false;
        };
        let matches = |waiting: &Waiting| waiting.ticket == ticket;
        let Some(index) = flow.waiting.iter().position(matches) else {
            return false;
        };
        flow.waiting.remove(index);
        self.waiting -= 1;
        self.unschedule(workspace);
        self.reschedule(workspace);
        true
    }

    /// Removes and returns the statements whose deadline has passed; they must be refused.
    pub fn expire(&mut self, now: Instant) -> Vec<Ticket> {
        let mut expired = Vec::new();
        let names: Vec<Arc<str>> = self.flows.keys().cloned().collect();
        for name in names {
            let Some(flow) = self.flows.get_mut(&name) else {
                continue;
            };
            let before = expired.len();
            let overdue = flow
                .waiting
                .iter()
                .filter(|waiting| waiting.deadline <= now);
            expired.extend(overdue.map(|waiting| waiting.ticket));
            flow.waiting.retain(|waiting| waiting.deadline > now);
            self.waiting -= expired.len() - before;
            self.unschedule(&name);
            self.reschedule(&name);
        }
        expired
    }

    /// Returns the earliest deadline among the waiting statements.
    pub fn next_deadline(&self) -> Option<Instant> {
        let waiting = self.flows.values().flat_map(|flow| &flow.waiting);
        waiting.map(|waiting| waiting.deadline).min()
    }

    /// Estimates the wait of a new statement: the statements ahead of it times the average service
    /// time, divided by the slots.
    fn expected_wait(&self, slots: u32, request: &Request) -> Duration {
        let statements_ahead = self.statements_ahead(&request.workspace, request.weight);
        let rounds = u32::try_from(statements_ahead / u64::from(slots.max(1))).unwrap_or(u32::MAX);
        self.average_service_time.saturating_mul(rounds)
    }

    /// Returns how many waiting statements would be served before a new one of the workspace.
    pub fn statements_ahead(&self, workspace: &Arc<str>, weight: u32) -> u64 {
        let own_flow = self.flows.get(workspace);
        let own_waiting = own_flow.map_or(0, |flow| flow.waiting.len() as u64);
        let weight = u64::from(weight.max(1));
        let total_weight = match own_flow {
            Some(flow) if !flow.waiting.is_empty() => self.active_weight,
            _ => self.active_weight + weight,
        };
        (own_waiting * total_weight / weight).min(self.waiting as u64)
    }

    /// Removes and returns the newest statement of the flow that is longest relative to its weight, to
    /// make room for a new statement of a workspace.
    ///
    /// Returns `None` if that is the flow of the new statement or is no longer than it.
    pub fn evict_for(&mut self, workspace: &Arc<str>, weight: u32) -> Option<Ticket> {
        let own_flow = self.flows.get(workspace);
        let own_waiting = own_flow.map_or(0, |flow| flow.waiting.len()) + 1;
        let own_weighted_length = own_waiting as f64 / f64::from(weight.max(1));
        let (name, flow) = self.longest_flow()?;
        if flow.weighted_length() <= own_weighted_length || name == workspace {
            return None;
        }
        self.evict_longest()
    }

    /// Removes and returns the newest statement of the flow that is longest relative to its weight;
    /// it must be refused. Returns `None` if the queue is empty.
    pub fn evict_longest(&mut self) -> Option<Ticket> {
        let name = Arc::clone(self.longest_flow()?.0);
        let newest = self.flows.get_mut(&name)?.waiting.pop_back()?;
        self.waiting -= 1;
        self.unschedule(&name);
        self.reschedule(&name);
        Some(newest.ticket)
    }

    fn longest_flow(&self) -> Option<(&Arc<str>, &Flow)> {
        let compare_lengths = |left: &(&Arc<str>, &Flow), right: &(&Arc<str>, &Flow)| {
            let by_length = left
                .1
                .weighted_length()
                .total_cmp(&right.1.weighted_length());
            by_length.then_with(|| left.0.cmp(right.0))
        };
        self.flows.iter().max_by(compare_lengths)
    }

    fn append(&mut self, request: Request) {
        let name = request.workspace;
        let flow = self.flows.entry(Arc::clone(&name)).or_insert_with(|| Flow {
            weight: 1,
            is_active: false,
            start_tag: 0,
            waiting: VecDeque::new(),
        });
        if flow.waiting.is_empty() {
            flow.weight = request.weight.max(1);
            flow.is_active = true;
            flow.start_tag = flow.start_tag.max(self.virtual_time);
            self.active_weight += u64::from(flow.weight);
            self.schedule.insert((flow.start_tag, Arc::clone(&name)));
        }
        flow.waiting.push_back(Waiting {
            ticket: request.ticket,
            deadline: request.deadline,
        });
        self.waiting += 1;
    }

    /// Removes a flow from the schedule until [`Queue::reschedule`] inserts it again.
    fn unschedule(&mut self, name: &Arc<str>) {
        if let Some(flow) = self.flows.get(name) {
            self.schedule.remove(&(flow.start_tag, Arc::clone(name)));
        }
    }

    /// Inserts a flow into the schedule if it has waiting statements, else deactivates it.
    ///
    /// An inactive flow is kept while its start tag lies in the virtual future, so that a workspace
    /// is not served again for free once its flow is empty.
    fn reschedule(&mut self, name: &Arc<str>) {
        let Some(flow) = self.flows.get_mut(name) else {
            return;
        };
        if !flow.waiting.is_empty() {
            self.schedule.insert((flow.start_tag, Arc::clone(name)));
            return;
        }
        if flow.is_active {
            self.active_weight -= u64::from(flow.weight);
            flow.is_active = false;
        }
        if flow.start_tag <= self.virtual_time {
            self.flows.remove(name);
        }
    }
}

impl Flow {
    fn weighted_length(&self) -> f64 {
        self.waiting.len() as f64 / f64::from(self.weight.max(1))
    }
}

fn virtual_cost(service_time: Duration, weight: u32) -> u64 {
    let micros = u64::try_from(service_time.as_micros()).unwrap_or(u64::MAX);
    micros.max(1).saturating_mul(VIRTUAL_TIME_PER_MICROSECOND) / u64::from(weight.max(1))
}
