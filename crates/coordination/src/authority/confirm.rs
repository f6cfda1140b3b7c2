//! Decides whether what ran on a primary may be acknowledged.
//!
//! A request names the member that ran it and the term in which that member was believed to lead.
//! After it ran, a round of questions goes to all members. The request is confirmed when
//!
//! - the primary itself has answered that it still leads the same term, and
//! - a majority of the members has answered with no higher term, and
//! - on a durable route, a majority of them holds the position that the primary answered.
//!
//! Fences and logs only grow, so answers of several rounds add up, as long as each round started
//! after the request had run. A fence on the primary alone does not stop a confirmation: its log
//! still holds all that ran there, and no later primary exists without a majority. One round serves all requests that wait in a group. Requests that
//! finish while a round is in flight join the next one.
//!
//! What is not confirmed has an unknown outcome: it may have run and must not run again.
//!
//! # Examples
//!
//! ```
//! use std::time::{Duration, Instant};
//!
//! use filbertbay_coordination::authority::confirm::{
//!     Action, Config, Decider, Event, Outcome, Request, Ticket,
//! };
//! use filbertbay_coordination::quorum::{Rule, Set};
//! use filbertbay_coordination::view::Mark;
//! use filbertbay_state::document::Durability;
//! use filbertbay_state::position::{Position, Term};
//! use filbertbay_state::status::{Role, Status};
//!
//! let now = Instant::now();
//! let mut decider = Decider::new(Config::default(), Rule::new(Set::first(3)));
//! let request = Request {
//!     ticket: Ticket(1),
//!     primary: 0,
//!     term: Term(4),
//!     durability: Durability::Majority,
//!     deadline: now + Duration::from_secs(1),
//! };
//! let round = match decider.on_event(now, Event::Finished(request)).as_slice() {
//!     [Action::Ask(round)] => *round,
//!     other => panic!("{other:?}"),
//! };
//!
//! let position = Position::new(Term(4), 90);
//! let primary = Status { received: position, fenced_term: Term(4), role: Role::Primary, ..Status::default() };
//! let replica = Status { received: position, ..Status::default() };
//! decider.on_event(now, Event::Answered { round, member: 0, status: primary });
//! let actions = decider.on_event(now, Event::Answered { round, member: 2, status: replica });
//! let settled = Action::Settle(Ticket(1), Outcome::Confirmed(position));
//! assert_eq!(actions, [Action::Mark(Mark { asked: now, position }), settled]);
//! ```

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use filbertbay_state::document::Durability;
use filbertbay_state::position::{Position, Term};
use filbertbay_state::status::{Role, Status};
use strum::Display;

use crate::quorum::{Rule, Set};
use crate::view::Mark;

/// Options of a [`Decider`].
#[derive(Clone, Copy, Debug)]
pub struct Config {
    first_repeat: Duration,
    max_repeat: Duration,
    max_requests: usize,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            first_repeat: Duration::from_millis(1),
            max_repeat: Duration::from_millis(40),
            max_requests: 65_536,
        }
    }
}

impl Config {
    /// Sets the time after which an undecided round is followed by another one.
    ///
    /// Each further round waits twice as long, up to `max`.
    #[must_use]
    pub fn repeat(mut self, first: Duration, max: Duration) -> Self {
        self.first_repeat = first;
        self.max_repeat = max;
        self
    }

    /// Sets how many requests may wait; more are settled as [`Cause::Overload`].
    #[must_use]
    pub fn max_requests(mut self, count: usize) -> Self {
        self.max_requests = count;
        self
    }
}

/// Number that the driver gives to a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Ord, PartialOrd, Hash)]
pub struct Ticket(pub u64);

/// Number of a round of questions; it grows with each round.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Ord, PartialOrd, Hash)]
pub struct Round(pub u64);

/// What ran on a member and waits to be confirmed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Request {
    /// Number by which the driver knows the request.
    pub ticket: Ticket,
    /// Member that ran it.
    pub primary: usize,
    /// Term that the member was believed to lead when the request was sent.
    pub term: Term,
    /// What must hold the write.
    pub durability: Durability,
    /// When the outcome becomes unknown for want of answers.
    pub deadline: Instant,
}

/// What happened.
#[derive(Clone, Copy, Debug)]
pub enum Event {
    /// A request has run; the member's answer has arrived.
    Finished(Request),
    /// A member answered a question of a round.
    Answered {
        /// Round that the question belonged to.
        round: Round,
        /// Member that answered.
        member: usize,
        /// What it answered.
        status: Status,
    },
    /// The members that count have changed.
    Changed(Rule),
    /// The time of [`Decider::next_deadline`] has come.
    Elapsed,
}

/// What the driver has to do.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Action {
    /// Ask every member for its status; the questions leave now.
    Ask(Round),
    /// Note a proven position of the primary in the view.
    Mark(Mark),
    /// Tell the owner of a request what became of it.
    Settle(Ticket, Outcome),
}

/// What is known about a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The request ran on the primary; its effects lie at or before the position.
    Confirmed(Position),
    /// The request may have run, and its effects may not last.
    Unknown(Cause),
}

/// Why an outcome is unknown.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum Cause {
    /// The member does not lead the term, or a majority knows a higher one.
    Superseded,
    /// Too few members answered in time.
    Deadline,
    /// More requests wait than the decider holds.
    Overload,
}

/// Requests that one round after another tries to confirm.
#[derive(Debug)]
struct Cohort {
    primary: usize,
    term: Term,
    first: Round,
    /// When the questions of the first round left.
    asked: Instant,
    /// Whether a mark has been made of the target.
    is_marked: bool,
    /// Position that the primary answered first after the requests had run.
    target: Option<Position>,
    /// What each member holds that answered without a higher term.
    received: Vec<(usize, Position)>,
    /// Members that answered with a higher term.
    beyond: Set,
    /// Whether the primary answered that it does not lead the term.
    is_deposed: bool,
    requests: Vec<Request>,
}

/// Confirms what runs in one group on one instance.
#[derive(Debug)]
pub struct Decider {
    config: Config,
    rule: Rule,
    round: Round,
    repeat: Duration,
    next_round: Option<Instant>,
    /// Requests that finished after the last round started.
    waiting: Vec<Request>,
    cohorts: VecDeque<Cohort>,
    /// Members that answered the last round.
    answered: Set,
}

impl Decider {
    /// Creates a decider for the members that count.
    pub fn new(config: Config, rule: Rule) -> Self {
        Self {
            config,
            rule,
            round: Round::default(),
            repeat: config.first_repeat,
            next_round: None,
            waiting: Vec::new(),
            cohorts: VecDeque::new(),
            answered: Set::default(),
        }
    }

    /// Takes an event and returns what has to be done.
    pub fn on_event(&mut self, now: Instant, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::Finished(request) => self.finish(request, &mut actions),
            Event::Answered {
                round,
                member,
                status,
            } => self.answer(round, member, status),
            Event::Changed(rule) => self.rule = rule,
            Event::Elapsed => {}
        }
        self.settle(now, &mut actions);
        self.start_round(now, &mut actions);
        actions
    }

    /// Returns when the decider next wants [`Event::Elapsed`].
    pub fn next_deadline(&self) -> Option<Instant> {
        let requests = self.cohorts.iter().flat_map(|cohort| &cohort.requests);
        let earliest = requests.chain(&self.waiting).map(|r| r.deadline).min();
        earliest.into_iter().chain(self.next_round).min()
    }

    /// Returns how many requests wait to be settled.
    pub fn len(&self) -> usize {
        let joined: usize = self.cohorts.iter().map(|c| c.requests.len()).sum();
        joined + self.waiting.len()
    }

    /// Tells whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn finish(&mut self, request: Request, actions: &mut Vec<Action>) {
        if self.len() < self.config.max_requests {
            self.waiting.push(request);
            return;
        }
        let outcome = Outcome::Unknown(Cause::Overload);
        actions.push(Action::Settle(request.ticket, outcome));
    }

    fn answer(&mut self, round: Round, member: usize, status: Status) {
        if round > self.round {
            return;
        }
        if round == self.round {
            self.answered.insert(member);
        }
        for cohort in &mut self.cohorts {
            if cohort.first <= round {
                cohort.answer(member, status);
            }
        }
    }

    fn settle(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let rule = self.rule;
        for cohort in &mut self.cohorts {
            cohort.settle(now, rule, actions);
        }
        self.cohorts.retain(|cohort| !cohort.requests.is_empty());
        self.waiting.retain(|request| {
            let live = now < request.deadline;
            if !live {
                let outcome = Outcome::Unknown(Cause::Deadline);
                actions.push(Action::Settle(request.ticket, outcome));
            }
            live
        });
    }

    /// Starts a round if requests wait and the last round is over or has taken its time.
    fn start_round(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if self.cohorts.is_empty() && self.waiting.is_empty() {
            self.next_round = None;
            return;
        }
        let due = self.next_round.is_some_and(|at| at <= now);
        let idle = self.cohorts.is_empty() || self.next_round.is_none();
        let fresh = !self.waiting.is_empty();
        if !(due || fresh && (idle || self.is_round_over())) {
            return;
        }
        self.repeat = if self.cohorts.is_empty() {
            self.config.first_repeat
        } else {
            (self.repeat * 2).min(self.config.max_repeat)
        };
        self.round.0 += 1;
        self.answered = Set::default();
        self.next_round = Some(now + self.repeat);
        self.join_round(now);
        actions.push(Action::Ask(self.round));
    }

    fn is_round_over(&self) -> bool {
        self.rule.members().without(self.answered).is_empty()
    }

    fn join_round(&mut self, now: Instant) {
        for request in std::mem::take(&mut self.waiting) {
            let first = self.round;
            let fits = |cohort: &&mut Cohort| {
                cohort.first == first
                    && cohort.primary == request.primary
                    && cohort.term == request.term
            };
            match self.cohorts.iter_mut().rev().find(fits) {
                Some(cohort) => cohort.requests.push(request),
                None => self.cohorts.push_back(Cohort::new(first, now, request)),
            }
        }
    }
}

impl Cohort {
    fn new(first: Round, asked: Instant, request: Request) -> Self {
        Self {
            primary: request.primary,
            term: request.term,
            first,
            asked,
            is_marked: false,
            target: None,
            received: Vec::new(),
            beyond: Set::default(),
            is_deposed: false,
            requests: vec![request],
        }
    }

    fn answer(&mut self, member: usize, status: Status) {
        if member == self.primary {
            self.answer_of_primary(status);
        }
        if status.fenced_term.max(status.received.term) > self.term {
            self.beyond.insert(member);
            return;
        }
        match self.received.iter_mut().find(|(known, _)| *known == member) {
            Some((_, received)) => *received = status.received.max(*received),
            None => self.received.push((member, status.received)),
        }
    }

    fn answer_of_primary(&mut self, status: Status) {
        let leads = status.role == Role::Primary && status.received.term == self.term;
        if !leads {
            self.is_deposed = true;
        } else if self.target.is_none() {
            self.target = Some(status.received);
        }
    }

    fn settle(&mut self, now: Instant, rule: Rule, actions: &mut Vec<Action>) {
        let superseded = self.is_deposed || rule.is_blocked_by(self.beyond);
        let confirmed = [Durability::Majority, Durability::Primary]
            .map(|durability| (durability, self.confirmed(durability, rule)));
        self.mark(confirmed[1].1.filter(|_| !superseded), actions);
        self.requests.retain(|request| {
            let position = confirmed.iter().find(|(d, _)| *d == request.durability);
            let outcome = match position.and_then(|(_, position)| *position) {
                Some(position) if !superseded => Outcome::Confirmed(position),
                _ if superseded => Outcome::Unknown(Cause::Superseded),
                _ if request.deadline <= now => Outcome::Unknown(Cause::Deadline),
                _ => return true,
            };
            actions.push(Action::Settle(request.ticket, outcome));
            false
        });
    }

    /// Makes a mark of the target once the primary is proven.
    fn mark(&mut self, position: Option<Position>, actions: &mut Vec<Action>) {
        let Some(position) = position.filter(|_| !self.is_marked) else {
            return;
        };
        self.is_marked = true;
        let asked = self.asked;
        actions.push(Action::Mark(Mark { asked, position }));
    }

    fn confirmed(&self, durability: Durability, rule: Rule) -> Option<Position> {
        let target = self.target?;
        let holds = |received: Position| match durability {
            Durability::Majority => received >= target,
            Durability::Primary => true,
        };
        let answers = self.received.iter();
        let set: Set = answers
            .filter(|(_, received)| holds(*received))
            .map(|(member, _)| *member)
            .collect();
        rule.is_met_by(set.without(self.beyond)).then_some(target)
    }
}
