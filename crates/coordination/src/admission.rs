//! Decides which statements of one endpoint run now, wait or are refused.
//!
//! This answers three loads that the endpoint's own queue handles badly, as it knows neither worth nor
//! deadlines: a burst of statements of low priority beside few of high priority; some workspaces that
//! send many times their usual; and all callers at once after an outage.
//!
//! - A statement runs at once while the learnt [`ConcurrencyLimit`] allows it and nothing of its or a
//!   higher priority waits. Otherwise it waits.
//! - Waiting statements are served by priority, zero first, and within a priority by the fair
//!   [`Queue`] over workspaces.
//! - A statement whose turn can't come before its deadline is refused at once. Its expected turn is the
//!   number of statements ahead of it, at its own or a higher priority, times the measured time
//!   between two turns. That time covers whatever bounds the turns: the learnt limit, the
//!   connections, or transactions that hold these.
//! - When the list is full, the newest statement of the lowest priority leaves; a new statement is
//!   refused only if it is itself of the lowest priority.
//! - A refusal carries a time after which to come back, derived from the backlog and drawn from the
//!   caller's generator, so that refused callers return spread out.
//! - Statements of open transactions run at once and only count as in flight, because the transaction
//!   holds a connection.
//!
//! # Examples
//!
//! ```
//! use std::time::{Duration, Instant};
//! use filbertbay_coordination::admission::{Admission, Decision, Request};
//! use filbertbay_coordination::limit::Outcome;
//! use filbertbay_coordination::queue::Ticket;
//! use rand::SeedableRng;
//!
//! let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(1);
//! let now = Instant::now();
//! let mut admission = Admission::new(now, 1);
//! assert!(admission.runs_at_once(0));
//! admission.start(now);
//! let request = Request {
//!     ticket: Ticket(1),
//!     workspace: "shop".into(),
//!     priority: 0,
//!     deadline: now + Duration::from_secs(1),
//!     service_hint: None,
//! };
//! assert_eq!(admission.push(now, request, &mut rng), Decision::Wait { evicted: None });
//! admission.finish(now, Outcome::Unknown);
//! assert_eq!(admission.pop(now, |_| false), Some(Ticket(1)));
//! ```

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::Rng;
use strum::IntoStaticStr;

use crate::limit::{self, ConcurrencyLimit, Outcome};
use crate::queue::{self, PushOutcome, Queue, Ticket};

/// Waiting statements of one endpoint, over all priorities.
const CAPACITY: usize = 256;

/// Statements in flight from here that each slot of the endpoint allows at most.
const MAX_LIMIT_PER_SLOT: u32 = 8;

/// Inverse of the weight of a new sample in the average time between turns.
const TURN_AVERAGE_DIVISOR: u32 = 8;

/// One turn counts at most as this many times the average, or [`MIN_LONG_TURN`] if that is longer.
const MAX_TURN_FACTOR: u32 = 4;

/// Average below which the bound on one turn no longer shrinks.
const MIN_LONG_TURN: Duration = Duration::from_millis(5);

/// Service time assumed while neither turns nor a hint give one.
const DEFAULT_SERVICE_TIME: Duration = Duration::from_millis(15);

/// Bounds of the time after which a refused caller should retry, before it is spread.
const RETRY_AFTER_MS: std::ops::RangeInclusive<u64> = 50..=2_000;

/// Statement that wants to run on the endpoint.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Request {
    /// Identifier of the statement, unique among the waiting statements.
    pub ticket: Ticket,
    /// Workspace that the statement runs for.
    pub workspace: Arc<str>,
    /// Priority; zero is the highest.
    pub priority: u8,
    /// Time from which on the statement must not start.
    pub deadline: Instant,
    /// Expected time of the statement at the endpoint, used until turns have been measured.
    pub service_hint: Option<Duration>,
}

/// Why a statement was refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Cause {
    /// Its turn could not come before its deadline.
    Deadline,
    /// The waiting list was full of statements of its or a higher priority.
    Full,
}

/// Result of [`Admission::push`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Decision {
    /// The statement waits until [`Admission::pop`] returns it.
    Wait {
        /// Statement that left the full list and must be refused.
        evicted: Option<Ticket>,
    },
    /// The statement must be refused; it did not run.
    Refuse {
        /// Why it was refused.
        cause: Cause,
        /// Time after which the caller should come back, spread at random.
        retry_after: Duration,
    },
}

/// Waiting list and concurrency limit of one endpoint.
#[derive(Debug)]
pub struct Admission {
    limit: ConcurrencyLimit,
    /// Waiting statements by priority.
    queues: BTreeMap<u8, Queue>,
    waiting: usize,
    /// Average time between two turns while statements wait.
    turn_interval: Option<Duration>,
    /// Start of the current turn; none while no statement waits.
    last_turn: Option<Instant>,
}

impl Admission {
    /// Creates the admission of an endpoint that runs `slots` statements at once.
    pub fn new(now: Instant, slots: u32) -> Self {
        Self {
            limit: ConcurrencyLimit::new(now, limit_config(slots)),
            queues: BTreeMap::new(),
            waiting: 0,
            turn_interval: None,
            last_turn: None,
        }
    }

    /// Applies the number of slots that the endpoint's entry states.
    pub fn set_slots(&mut self, now: Instant, slots: u32) {
        self.limit.configure(now, limit_config(slots));
    }

    /// Returns the learnt concurrency limit.
    pub fn limit(&self) -> &ConcurrencyLimit {
        &self.limit
    }

    /// Returns the number of waiting statements.
    pub fn waiting(&self) -> usize {
        self.waiting
    }

    /// Returns whether the learnt limit lets another statement start.
    pub fn has_room(&self) -> bool {
        self.limit.has_room()
    }

    /// Returns whether a new statement need not wait: the limit has room and no statement of its or a
    /// higher priority waits.
    pub fn runs_at_once(&self, priority: u8) -> bool {
        self.has_room() && self.ahead_of(priority.saturating_add(1)) == 0
    }

    /// Counts a statement as in flight. Statements of open transactions start whatever the limit.
    pub fn start(&mut self, now: Instant) {
        self.limit.acquire(now);
    }

    /// Ends a statement in flight.
    pub fn finish(&mut self, now: Instant, outcome: Outcome) {
        self.limit.release(now, outcome);
    }

    /// Lets a statement wait for its turn, or refuses it.
    pub fn push<R>(&mut self, now: Instant, request: Request, rng: &mut R) -> Decision
    where
        R: Rng,
    {
        let ahead = self.statements_ahead(&request);
        let interval = self.interval(now, request.service_hint);
        let wait = interval.saturating_mul(u32::try_from(ahead).unwrap_or(u32::MAX));
        if now + wait >= request.deadline {
            return self.refuse(now, Cause::Deadline, request.service_hint, rng);
        }
        let mut evicted = None;
        if self.waiting >= CAPACITY {
            let lowest = self.queues.last_entry();
            evicted = lowest
                .filter(|lowest| *lowest.key() > request.priority)
                .and_then(|mut lowest| lowest.get_mut().evict_longest());
            if evicted.is_none() {
                // Inside one priority the longest flow loses its newest statement.
                let queue = self.queues.get_mut(&request.priority);
                let longest = queue.and_then(|queue| queue.evict_for(&request.workspace, 1));
                if longest.is_none() {
                    return self.refuse(now, Cause::Full, request.service_hint, rng);
                }
                evicted = longest;
            }
            self.waiting -= 1;
        }
        let queue = self.queues.entry(request.priority);
        let queue = queue.or_insert_with(|| Queue::new(queue::Config { capacity: CAPACITY }));
        let queued = queue::Request {
            ticket: request.ticket,
            workspace: request.workspace,
            weight: 1,
            deadline: request.deadline,
        };
        // The wait was judged above, over all priorities.
        let outcome = queue.push(now, u32::MAX, queued);
        if let PushOutcome::Refused { .. } = outcome {
            return self.refuse(now, Cause::Deadline, request.service_hint, rng);
        }
        if self.waiting == 0 {
            self.last_turn = Some(now);
        }
        self.waiting += 1;
        self.remove_empty();
        Decision::Wait { evicted }
    }

    /// Removes and returns the statement whose turn it is, or `None` if none is runnable.
    ///
    /// Among those of the highest priority it prefers workspaces that `is_preferred`, such as those
    /// that have a connection, within the bound of [`Queue::pop_preferring`]. The caller checks
    /// [`Admission::has_room`] and counts the statement with [`Admission::start`]. A statement whose
    /// deadline has passed is skipped; it stays until [`Admission::expire`] or [`Admission::cancel`].
    pub fn pop<F>(&mut self, now: Instant, is_preferred: F) -> Option<Ticket>
    where
        F: Fn(&Arc<str>) -> bool,
    {
        let mut queues = self.queues.values_mut();
        let ticket = queues.find_map(|queue| queue.pop_preferring(now, &is_preferred))?;
        self.waiting -= 1;
        self.record_turn(now);
        self.remove_empty();
        Some(ticket)
    }

    /// Removes a statement whose caller no longer waits, and returns whether it was still waiting.
    pub fn cancel(&mut self, priority: u8, workspace: &Arc<str>, ticket: Ticket) -> bool {
        let queue = self.queues.get_mut(&priority);
        let was_waiting = queue.is_some_and(|queue| queue.cancel(workspace, ticket));
        self.waiting -= usize::from(was_waiting);
        self.remove_empty();
        was_waiting
    }

    /// Removes and returns the statements whose deadline has passed; they must be refused.
    pub fn expire(&mut self, now: Instant) -> Vec<Ticket> {
        let queues = self.queues.values_mut();
        let expired: Vec<Ticket> = queues.flat_map(|queue| queue.expire(now)).collect();
        self.waiting -= expired.len();
        self.remove_empty();
        expired
    }

    /// Returns the expected wait of a new statement of the given priority; zero if it would run at
    /// once.
    pub fn expected_wait(&self, now: Instant, priority: u8) -> Duration {
        if self.runs_at_once(priority) {
            return Duration::ZERO;
        }
        let ahead = self.ahead_of(priority.saturating_add(1)) + 1;
        let interval = self.interval(now, None);
        interval.saturating_mul(u32::try_from(ahead).unwrap_or(u32::MAX))
    }

    /// Returns the time after which a refused caller should come back: about the time in which the
    /// present backlog is served, spread from half to one and a half of it.
    pub fn retry_after<R>(&self, now: Instant, hint: Option<Duration>, rng: &mut R) -> Duration
    where
        R: Rng,
    {
        let backlog = u32::try_from(self.waiting).unwrap_or(u32::MAX);
        let drained = self.interval(now, hint).saturating_mul(backlog);
        let millis = u64::try_from(drained.as_millis()).unwrap_or(u64::MAX);
        let millis = millis.clamp(*RETRY_AFTER_MS.start(), *RETRY_AFTER_MS.end());
        spread(Duration::from_millis(millis), rng)
    }

    fn refuse<R>(&self, now: Instant, cause: Cause, hint: Option<Duration>, rng: &mut R) -> Decision
    where
        R: Rng,
    {
        let retry_after = self.retry_after(now, hint, rng);
        Decision::Refuse { cause, retry_after }
    }

    /// Returns the number of waiting statements of priorities before `priority`.
    fn ahead_of(&self, priority: u8) -> usize {
        let queues = self.queues.range(..priority);
        queues.map(|(_, queue)| queue.len()).sum()
    }

    fn statements_ahead(&self, request: &Request) -> u64 {
        let own = self.queues.get(&request.priority);
        let own = own.map_or(0, |queue| queue.statements_ahead(&request.workspace, 1));
        self.ahead_of(request.priority) as u64 + own
    }

    /// Returns the expected time between two turns: the measured average, but no less than the present
    /// turn has taken; or the service time over the limit until turns have been measured.
    fn interval(&self, now: Instant, hint: Option<Duration>) -> Duration {
        let service_time = hint.unwrap_or(DEFAULT_SERVICE_TIME);
        let unmeasured = service_time / self.limit.current().max(1);
        let average = self.turn_interval.unwrap_or(unmeasured);
        let current = self
            .last_turn
            .map_or(Duration::ZERO, |turn| now.saturating_duration_since(turn));
        average.max(current)
    }

    fn record_turn(&mut self, now: Instant) {
        if let Some(last_turn) = self.last_turn {
            let average = self.turn_interval.unwrap_or(DEFAULT_SERVICE_TIME);
            // One long outage must not refuse what comes after it.
            let longest = average.max(MIN_LONG_TURN) * MAX_TURN_FACTOR;
            let elapsed = now.saturating_duration_since(last_turn).min(longest);
            self.turn_interval =
                Some((average * (TURN_AVERAGE_DIVISOR - 1) + elapsed) / TURN_AVERAGE_DIVISOR);
        }
        self.last_turn = (self.waiting > 0).then_some(now);
    }

    /// Removes the queues without waiting statements; what their workspaces were served of late no
    /// longer matters then.
    fn remove_empty(&mut self) {
        self.queues.retain(|_, queue| !queue.is_empty());
        if self.waiting == 0 {
            self.last_turn = None;
        }
    }
}

/// Returns a duration drawn evenly from half to one and a half of `duration`.
pub fn spread<R>(duration: Duration, rng: &mut R) -> Duration
where
    R: Rng,
{
    duration.mul_f64(rng.random_range(0.5..1.5))
}

fn limit_config(slots: u32) -> limit::Config {
    let slots = slots.max(1);
    limit::Config {
        slots,
        max: slots.saturating_mul(MAX_LIMIT_PER_SLOT),
    }
}
