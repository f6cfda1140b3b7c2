//! Queue before a member's slots, fair over workspaces by weight.
//!
//! Each workspace has a line of its own. A virtual clock (start-time fair queueing) decides which
//! line is served next: a statement moves its line's start forward by its service time divided by
//! the workspace's weight, and the line with the earliest start is served. A workspace that was idle
//! starts at the present virtual time, so it neither saves up service nor waits behind a backlog
//! of others.
//!
//! The queue is bounded. When it is full, the longest line relative to its weight gives up its newest
//! statement. A statement whose deadline would pass before its turn is refused at once. Every ticket
//! that entered leaves exactly once, by [`Queue::pop`], [`Queue::expire`], [`Queue::cancel`] or as
//! [`PushOutcome::QueuedEvicting`]; only a popped ticket may run.
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

/// Virtual time that a service time of one microsecond takes at weight one.
const SCALE: u64 = 1_000;

/// Share of a new service time in the running average, as a divisor.
const AVERAGE_DIVISOR: u32 = 8;

/// Service time that is assumed before one has been seen.
const FIRST_SERVICE: Duration = Duration::from_millis(1);

/// Longest service time that is charged to a workspace.
const LONGEST_SERVICE: Duration = Duration::from_mins(1);

/// Number by which the driver knows a waiting statement.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Ord, PartialOrd, Hash)]
pub struct Ticket(pub u64);

/// Options of a [`Queue`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Config {
    /// Statements that may wait.
    pub capacity: usize,
}

impl Default for Config {
    fn default() -> Self {
        Self { capacity: 1_024 }
    }
}

impl Config {
    /// Sets the number of statements that may wait.
    #[must_use]
    pub fn capacity(mut self, capacity: usize) -> Self {
        self.capacity = capacity;
        self
    }
}

/// Statement that wants a slot.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Request {
    /// Number of the statement, unique among those that wait.
    pub ticket: Ticket,
    /// Workspace that the statement runs for.
    pub workspace: Arc<str>,
    /// Weight of the workspace; zero counts as one.
    pub weight: u32,
    /// Moment from which the statement must not start.
    pub deadline: Instant,
}

/// Answer to a request for a place.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PushOutcome {
    /// The statement waits.
    Queued,
    /// The statement waits, and the given one must be refused in its place.
    QueuedEvicting(Ticket),
    /// The statement was not queued and must be refused.
    Refused {
        /// Time after which a new request may find a place.
        retry_after: Duration,
    },
}

/// Waiting statements of one member.
#[derive(Debug)]
pub struct Queue {
    config: Config,
    lines: HashMap<Arc<str>, Line>,
    order: BTreeSet<(u64, Arc<str>)>,
    waiting: usize,
    virtual_now: u64,
    service: Duration,
    weights: u64,
}

#[derive(Debug)]
struct Line {
    weight: u32,
    counted: bool,
    start: u64,
    waiting: VecDeque<Waiting>,
}

#[derive(Clone, Copy, Debug)]
struct Waiting {
    ticket: Ticket,
    deadline: Instant,
}

impl Queue {
    /// Opens an empty queue.
    pub fn new(config: Config) -> Self {
        Self {
            config,
            lines: HashMap::new(),
            order: BTreeSet::new(),
            waiting: 0,
            virtual_now: 0,
            service: FIRST_SERVICE,
            weights: 0,
        }
    }

    /// Returns the number of statements that wait.
    pub fn len(&self) -> usize {
        self.waiting
    }

    /// Returns whether no statement waits.
    pub fn is_empty(&self) -> bool {
        self.waiting == 0
    }

    /// Asks for a place; `slots` is the number of statements that run at once.
    pub fn push(&mut self, now: Instant, slots: u32, request: Request) -> PushOutcome {
        let wait = self.expected_wait(slots, &request);
        if now + wait >= request.deadline {
            return PushOutcome::Refused { retry_after: wait };
        }
        let displaced = if self.waiting >= self.config.capacity {
            match self.displace(&request) {
                Some(ticket) => Some(ticket),
                None => return PushOutcome::Refused { retry_after: wait },
            }
        } else {
            None
        };
        self.append(request);
        displaced.map_or(PushOutcome::Queued, PushOutcome::QueuedEvicting)
    }

    /// Removes the statement that runs next; those whose deadline has passed stay for
    /// [`Queue::expire`].
    pub fn pop(&mut self, now: Instant) -> Option<Ticket> {
        let ready = |name: &Arc<str>| {
            let line = &self.lines[name];
            line.waiting.iter().any(|waiting| waiting.deadline > now)
        };
        let (start, name) = self.order.iter().find(|(_, name)| ready(name))?.clone();
        let line = self.lines.get_mut(&name)?;
        let index = line
            .waiting
            .iter()
            .position(|waiting| waiting.deadline > now)?;
        let waiting = line.waiting.remove(index)?;
        self.order.remove(&(start, Arc::clone(&name)));
        line.start = start.saturating_add(charge(self.service, line.weight));
        self.virtual_now = self.virtual_now.max(start);
        self.waiting -= 1;
        self.settle_line(&name);
        Some(waiting.ticket)
    }

    /// Notes that a statement of a workspace has run for `took`.
    ///
    /// The workspace was charged an average when its statement started; this puts the charge right.
    pub fn complete(&mut self, workspace: &Arc<str>, took: Duration) {
        let took = took.min(LONGEST_SERVICE);
        let assumed = self.service;
        if let Some(line) = self.lines.get_mut(workspace) {
            let old = (line.start, Arc::clone(workspace));
            let paid = line.start.saturating_sub(charge(assumed, line.weight));
            line.start = paid.saturating_add(charge(took, line.weight));
            let queued = self.order.remove(&old);
            if queued {
                self.order.insert((line.start, Arc::clone(workspace)));
            }
        }
        self.service = (assumed * (AVERAGE_DIVISOR - 1) + took) / AVERAGE_DIVISOR;
    }

    /// Removes a statement whose caller no longer waits, and tells whether it still waited.
    pub fn cancel(&mut self, workspace: &Arc<str>, ticket: Ticket) -> bool {
        let Some(line) = self.lines.get_mut(workspace) else {
            return false;
        };
        let matches = |waiting: &Waiting| waiting.ticket == ticket;
        let Some(index) = line.waiting.iter().position(matches) else {
            return false;
        };
        line.waiting.remove(index);
        self.waiting -= 1;
        self.drop_order(workspace);
        self.settle_line(workspace);
        true
    }

    /// Removes the statements whose deadline has passed; they must be refused.
    pub fn expire(&mut self, now: Instant) -> Vec<Ticket> {
        let mut expired = Vec::new();
        let names: Vec<Arc<str>> = self.lines.keys().cloned().collect();
        for name in names {
            let Some(line) = self.lines.get_mut(&name) else {
                continue;
            };
            let before = expired.len();
            let late = line
                .waiting
                .iter()
                .filter(|waiting| waiting.deadline <= now);
            expired.extend(late.map(|waiting| waiting.ticket));
            line.waiting.retain(|waiting| waiting.deadline > now);
            self.waiting -= expired.len() - before;
            self.drop_order(&name);
            self.settle_line(&name);
        }
        expired
    }

    /// Returns the earliest deadline of a waiting statement.
    pub fn next_deadline(&self) -> Option<Instant> {
        let waiting = self.lines.values().flat_map(|line| &line.waiting);
        waiting.map(|waiting| waiting.deadline).min()
    }

    fn expected_wait(&self, slots: u32, request: &Request) -> Duration {
        let own = self.lines.get(&request.workspace);
        let own_waiting = own.map_or(0, |line| line.waiting.len() as u64);
        let weight = u64::from(request.weight.max(1));
        let others = match own {
            Some(line) if !line.waiting.is_empty() => self.weights,
            _ => self.weights + weight,
        };
        let turns = (own_waiting * others / weight).min(self.waiting as u64);
        let rounds = u32::try_from(turns / u64::from(slots.max(1))).unwrap_or(u32::MAX);
        self.service.saturating_mul(rounds)
    }

    /// Removes the newest statement of the longest line, unless that is the newcomer's own.
    fn displace(&mut self, request: &Request) -> Option<Ticket> {
        let own = self.lines.get(&request.workspace);
        let own_waiting = own.map_or(0, |line| line.waiting.len()) + 1;
        let own_length = own_waiting as f64 / f64::from(request.weight.max(1));
        let longest = |one: &(&Arc<str>, &Line), other: &(&Arc<str>, &Line)| {
            let by_length = one.1.length().total_cmp(&other.1.length());
            by_length.then_with(|| one.0.cmp(other.0))
        };
        let (name, line) = self.lines.iter().max_by(longest)?;
        if line.length() <= own_length || *name == request.workspace {
            return None;
        }
        let name = Arc::clone(name);
        let newest = self.lines.get_mut(&name)?.waiting.pop_back()?;
        self.waiting -= 1;
        self.drop_order(&name);
        self.settle_line(&name);
        Some(newest.ticket)
    }

    fn append(&mut self, request: Request) {
        let name = request.workspace;
        let line = self.lines.entry(Arc::clone(&name)).or_insert_with(|| Line {
            weight: 1,
            counted: false,
            start: 0,
            waiting: VecDeque::new(),
        });
        if line.waiting.is_empty() {
            line.weight = request.weight.max(1);
            line.counted = true;
            line.start = line.start.max(self.virtual_now);
            self.weights += u64::from(line.weight);
            self.order.insert((line.start, Arc::clone(&name)));
        }
        line.waiting.push_back(Waiting {
            ticket: request.ticket,
            deadline: request.deadline,
        });
        self.waiting += 1;
    }

    /// Takes a line out of the order, so that [`Queue::settle_line`] can place it anew.
    fn drop_order(&mut self, name: &Arc<str>) {
        if let Some(line) = self.lines.get(name) {
            self.order.remove(&(line.start, Arc::clone(name)));
        }
    }

    /// Places a line that has just lost statements, or forgets it.
    fn settle_line(&mut self, name: &Arc<str>) {
        let Some(line) = self.lines.get_mut(name) else {
            return;
        };
        if !line.waiting.is_empty() {
            self.order.insert((line.start, Arc::clone(name)));
            return;
        }
        if line.counted {
            self.weights -= u64::from(line.weight);
            line.counted = false;
        }
        if line.start <= self.virtual_now {
            self.lines.remove(name);
        }
    }
}

impl Line {
    fn length(&self) -> f64 {
        self.waiting.len() as f64 / f64::from(self.weight.max(1))
    }
}

fn charge(service: Duration, weight: u32) -> u64 {
    let micros = u64::try_from(service.as_micros()).unwrap_or(u64::MAX);
    micros.max(1).saturating_mul(SCALE) / u64::from(weight.max(1))
}
