//! Decides whether a request that ran on a primary may be acknowledged.
//!
//! A request names the member that ran it and the term which that member was believed to lead.
//! After the request has run, a round of status queries goes to all members. The request is
//! confirmed when
//!
//! - the primary has answered that it still leads the same term, and
//! - a majority of the members has answered without a higher term, and
//! - on a durable route, a majority holds the position that the primary answered.
//!
//! Fencing terms and logs only grow, so the answers of several rounds can be combined if each round
//! started after the request had run. A fence on the primary alone does not prevent confirmation:
//! the primary's log still holds every request that ran there, and no later primary exists without
//! a majority. One round serves all waiting requests of a group. Requests that finish while a round
//! is in flight are assigned to the next round.
//!
//! A request that is not confirmed has an unknown outcome: it may have run and must not be retried.
//!
//! # Examples
//!
//! ```
//! use std::time::{Duration, Instant};
//!
//! use filbertbay_coordination::authority::confirm::{
//!     Action, Config, Decider, Event, Outcome, Request, RequestId,
//! };
//! use filbertbay_coordination::quorum::{MemberSet, Quorum};
//! use filbertbay_coordination::view::Watermark;
//! use filbertbay_state::document::Durability;
//! use filbertbay_state::position::{Position, Term};
//! use filbertbay_state::status::{Role, Status};
//!
//! let now = Instant::now();
//! let mut decider = Decider::new(Config::default(), Quorum::new(MemberSet::first(3)));
//! let request = Request {
//!     id: RequestId(1),
//!     primary: 0,
//!     term: Term(4),
//!     durability: Durability::Majority,
//!     deadline: now + Duration::from_secs(1),
//! };
//! let round = match decider.on_event(now, Event::Executed(request)).as_slice() {
//!     [Action::Poll(round)] => *round,
//!     other => panic!("{other:?}"),
//! };
//!
//! let position = Position::new(Term(4), 90);
//! let role = Role::Primary;
//! let primary = Status { received: position, fenced_term: Term(4), role, ..Status::default() };
//! let replica = Status { received: position, ..Status::default() };
//! decider.on_event(now, Event::StatusReceived { round, member: 0, status: primary });
//! let event = Event::StatusReceived { round, member: 2, status: replica };
//! let actions = decider.on_event(now, event);
//! let completed = Action::Complete(RequestId(1), Outcome::Confirmed(position));
//! assert_eq!(actions, [Action::PushWatermark(Watermark { asked: now, position }), completed]);
//! ```

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use filbertbay_state::document::Durability;
use filbertbay_state::position::{Position, Term};
use filbertbay_state::status::{Role, Status};
use strum::Display;

use crate::quorum::{MemberSet, Quorum};
use crate::view::Watermark;

/// Options of a [`Decider`].
#[derive(Clone, Copy, Debug)]
pub struct Config {
    initial_interval: Duration,
    max_interval: Duration,
    max_requests: usize,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            initial_interval: Duration::from_millis(1),
            max_interval: Duration::from_millis(40),
            max_requests: 65_536,
        }
    }
}

impl Config {
    /// Sets the interval between rounds while requests are unconfirmed.
    ///
    /// The interval doubles with each further round, up to `max`.
    #[must_use]
    pub fn retry_interval(mut self, initial: Duration, max: Duration) -> Self {
        self.initial_interval = initial;
        self.max_interval = max;
        self
    }

    /// Sets the limit of waiting requests; further ones complete with [`Cause::Overload`].
    #[must_use]
    pub fn max_requests(mut self, count: usize) -> Self {
        self.max_requests = count;
        self
    }
}

/// Identifier of a request, assigned by the driver.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Ord, PartialOrd, Hash)]
pub struct RequestId(pub u64);

/// Sequence number of a round of status queries.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Ord, PartialOrd, Hash)]
pub struct Round(pub u64);

/// Request that has run on a member and is not yet confirmed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Request {
    /// Identifier that [`Action::Complete`] returns to the driver.
    pub id: RequestId,
    /// Member that ran the request.
    pub primary: usize,
    /// Term that the member was believed to lead when the request was sent.
    pub term: Term,
    /// Members that must hold the write before it is acknowledged.
    pub durability: Durability,
    /// Time at which an unconfirmed request completes with [`Cause::Deadline`].
    pub deadline: Instant,
}

/// Input of a [`Decider`].
#[derive(Clone, Copy, Debug)]
pub enum Event {
    /// A request has run and the member's answer has arrived.
    Executed(Request),
    /// A member answered a status query of a round.
    StatusReceived {
        /// Round of the status query.
        round: Round,
        /// Member that answered.
        member: usize,
        /// Status of the member.
        status: Status,
    },
    /// The member lists that form the quorum have changed.
    QuorumChanged(Quorum),
    /// [`Decider::next_deadline`] has been reached.
    Elapsed,
}

/// Work for the driver.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Action {
    /// Send a status query to every member now.
    Poll(Round),
    /// Add a proven position of the primary to the view.
    PushWatermark(Watermark),
    /// Report the outcome of a request to its owner.
    Complete(RequestId, Outcome),
}

/// Outcome of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The request ran on the primary; its effects are at or before this position.
    Confirmed(Position),
    /// The request may have run, and its effects may be lost.
    Unknown(Cause),
}

/// Why an outcome is unknown.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum Cause {
    /// The member does not lead the term, or no majority without a higher term is left.
    Superseded,
    /// Too few members answered before the deadline.
    Deadline,
    /// The limit of waiting requests was reached.
    Overload,
}

/// Requests of one primary and term that are confirmed by the same rounds.
#[derive(Debug)]
struct Batch {
    primary: usize,
    term: Term,
    first_round: Round,
    /// When the queries of the first round were sent.
    asked: Instant,
    /// Whether a watermark has been pushed for `primary_position`.
    has_pushed_watermark: bool,
    /// Position in the primary's first answer after the requests had run.
    primary_position: Option<Position>,
    /// Last received position of each member that answered without a higher term.
    received: Vec<(usize, Position)>,
    /// Members that have answered with a higher term.
    superseding: MemberSet,
    /// Whether the primary has answered that it does not lead the term.
    is_demoted: bool,
    requests: Vec<Request>,
}

/// Confirms the requests that one instance runs in one group.
#[derive(Debug)]
pub struct Decider {
    config: Config,
    quorum: Quorum,
    round: Round,
    interval: Duration,
    next_round: Option<Instant>,
    /// Requests that have run since the last round started.
    queued: Vec<Request>,
    batches: VecDeque<Batch>,
    /// Members that have answered the last round.
    round_answers: MemberSet,
}

impl Decider {
    /// Creates a decider without waiting requests.
    pub fn new(config: Config, quorum: Quorum) -> Self {
        Self {
            config,
            quorum,
            round: Round::default(),
            interval: config.initial_interval,
            next_round: None,
            queued: Vec::new(),
            batches: VecDeque::new(),
            round_answers: MemberSet::default(),
        }
    }

    /// Handles an event and returns the resulting actions.
    pub fn on_event(&mut self, now: Instant, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::Executed(request) => self.enqueue(request, &mut actions),
            Event::StatusReceived {
                round,
                member,
                status,
            } => self.record_status(round, member, status),
            Event::QuorumChanged(quorum) => self.quorum = quorum,
            Event::Elapsed => {}
        }
        self.complete(now, &mut actions);
        self.start_round_if_due(now, &mut actions);
        actions
    }

    /// Returns the time at which [`Event::Elapsed`] is due, or `None` if no request waits.
    pub fn next_deadline(&self) -> Option<Instant> {
        let requests = self.batches.iter().flat_map(|batch| &batch.requests);
        let earliest = requests.chain(&self.queued).map(|r| r.deadline).min();
        earliest.into_iter().chain(self.next_round).min()
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        let batched: usize = self.batches.iter().map(|batch| batch.requests.len()).sum();
        batched + self.queued.len()
    }

    /// Returns true if no request waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn enqueue(&mut self, request: Request, actions: &mut Vec<Action>) {
        if self.len() < self.config.max_requests {
            self.queued.push(request);
            return;
        }
        let outcome = Outcome::Unknown(Cause::Overload);
        actions.push(Action::Complete(request.id, outcome));
    }

    fn record_status(&mut self, round: Round, member: usize, status: Status) {
        if round > self.round {
            return;
        }
        if round == self.round {
            self.round_answers.insert(member);
        }
        for batch in &mut self.batches {
            if batch.first_round <= round {
                batch.record_status(member, status);
            }
        }
    }

    fn complete(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let quorum = self.quorum;
        for batch in &mut self.batches {
            batch.complete(now, quorum, actions);
        }
        self.batches.retain(|batch| !batch.requests.is_empty());
        self.queued.retain(|request| {
            let is_pending = now < request.deadline;
            if !is_pending {
                let outcome = Outcome::Unknown(Cause::Deadline);
                actions.push(Action::Complete(request.id, outcome));
            }
            is_pending
        });
    }

    /// Starts a round if requests wait and the last round is complete or its interval has elapsed.
    fn start_round_if_due(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if self.batches.is_empty() && self.queued.is_empty() {
            self.next_round = None;
            return;
        }
        let is_due = self.next_round.is_some_and(|at| at <= now);
        let is_idle = self.batches.is_empty() || self.next_round.is_none();
        let has_queued = !self.queued.is_empty();
        if !(is_due || has_queued && (is_idle || self.is_round_complete())) {
            return;
        }
        self.interval = if self.batches.is_empty() {
            self.config.initial_interval
        } else {
            (self.interval * 2).min(self.config.max_interval)
        };
        self.round.0 += 1;
        self.round_answers = MemberSet::default();
        self.next_round = Some(now + self.interval);
        self.assign_to_batches(now);
        actions.push(Action::Poll(self.round));
    }

    fn is_round_complete(&self) -> bool {
        self.quorum.members().without(self.round_answers).is_empty()
    }

    fn assign_to_batches(&mut self, now: Instant) {
        for request in std::mem::take(&mut self.queued) {
            let first_round = self.round;
            let is_same_batch = |batch: &&mut Batch| {
                batch.first_round == first_round
                    && batch.primary == request.primary
                    && batch.term == request.term
            };
            match self.batches.iter_mut().rev().find(is_same_batch) {
                Some(batch) => batch.requests.push(request),
                None => self
                    .batches
                    .push_back(Batch::new(first_round, now, request)),
            }
        }
    }
}

impl Batch {
    fn new(first_round: Round, asked: Instant, request: Request) -> Self {
        Self {
            primary: request.primary,
            term: request.term,
            first_round,
            asked,
            has_pushed_watermark: false,
            primary_position: None,
            received: Vec::new(),
            superseding: MemberSet::default(),
            is_demoted: false,
            requests: vec![request],
        }
    }

    fn record_status(&mut self, member: usize, status: Status) {
        if member == self.primary {
            self.record_primary_status(status);
        }
        if status.fenced_term.max(status.received.term) > self.term {
            self.superseding.insert(member);
            return;
        }
        match self.received.iter_mut().find(|(known, _)| *known == member) {
            Some((_, received)) => *received = status.received.max(*received),
            None => self.received.push((member, status.received)),
        }
    }

    fn record_primary_status(&mut self, status: Status) {
        let leads = status.role == Role::Primary && status.received.term == self.term;
        if !leads {
            self.is_demoted = true;
        } else if self.primary_position.is_none() {
            self.primary_position = Some(status.received);
        }
    }

    fn complete(&mut self, now: Instant, quorum: Quorum, actions: &mut Vec<Action>) {
        let superseded = self.is_demoted || quorum.is_blocked_by(self.superseding);
        let confirmed = [Durability::Majority, Durability::Primary]
            .map(|durability| (durability, self.confirmed_position(durability, quorum)));
        self.push_watermark(confirmed[1].1.filter(|_| !superseded), actions);
        self.requests.retain(|request| {
            let position = confirmed.iter().find(|(d, _)| *d == request.durability);
            let outcome = match position.and_then(|(_, position)| *position) {
                Some(position) if !superseded => Outcome::Confirmed(position),
                _ if superseded => Outcome::Unknown(Cause::Superseded),
                _ if request.deadline <= now => Outcome::Unknown(Cause::Deadline),
                _ => return true,
            };
            actions.push(Action::Complete(request.id, outcome));
            false
        });
    }

    /// Pushes one watermark once the primary is confirmed.
    fn push_watermark(&mut self, position: Option<Position>, actions: &mut Vec<Action>) {
        let Some(position) = position.filter(|_| !self.has_pushed_watermark) else {
            return;
        };
        self.has_pushed_watermark = true;
        let asked = self.asked;
        actions.push(Action::PushWatermark(Watermark { asked, position }));
    }

    fn confirmed_position(&self, durability: Durability, quorum: Quorum) -> Option<Position> {
        let primary_position = self.primary_position?;
        let holds = |received: Position| match durability {
            Durability::Majority => received >= primary_position,
            Durability::Primary => true,
        };
        let answers = self.received.iter();
        let set: MemberSet = answers
            .filter(|(_, received)| holds(*received))
            .map(|(member, _)| *member)
            .collect();
        quorum
            .is_met_by(set.without(self.superseding))
            .then_some(primary_position)
    }
}
