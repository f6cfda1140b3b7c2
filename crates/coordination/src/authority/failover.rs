//! Replaces a primary that is lost and moves the lead away from a member that is to leave.
//!
//! Every instance that polls a group runs a [`Decider`]. A primary counts as lost when this
//! instance can't reach it *and* most other members have not heard from it: a slow primary, or one
//! that only this instance can't reach, is still heard by its replicas. Instances wait by their
//! rank before they propose, and take the platform's lease if the platform answers. Neither is
//! needed for what must hold; they keep proposers from undoing each other's work.
//!
//! A proposal fences the members with a term above all that are known. The proposer that a majority
//! has accepted promotes the member with the highest position among those that accepted. A member
//! accepts a fence once, so no other proposer finds a majority for that term; and all that a
//! majority holds is held by some member that accepted. A proposal that fails is given up, never
//! tried again with the same term.
//!
//! To move the lead, the primary alone is fenced first. It refuses new writes, and what has run
//! there can still be confirmed by the others. Once the target holds all that the primary has, the
//! others are fenced and the target is promoted.
//!
//! # Examples
//!
//! ```
//! use std::time::{Duration, Instant};
//!
//! use filbertbay_coordination::authority::failover::{
//!     Action, Answer, Config, Decider, Event, Order, Setting,
//! };
//! use filbertbay_coordination::quorum::Set;
//! use filbertbay_state::position::{Position, Term};
//! use filbertbay_state::status::Status;
//!
//! let start = Instant::now();
//! let mut decider = Decider::new(Config::default(), Setting::new(Set::first(3)), 1);
//! let now = start + Duration::from_secs(5);
//! let replica = |index| Status {
//!     received: Position::new(Term(1), index),
//!     primary_contact_age: Some(Duration::from_secs(4)),
//!     ..Status::default()
//! };
//! decider.on_event(now, Event::Observed { member: 1, status: replica(8), asked: now });
//! let actions = decider.on_event(now, Event::Observed { member: 2, status: replica(9), asked: now });
//! assert_eq!(actions, [Action::Lease]);
//!
//! // Without an answer of the platform the proposal goes on after a while.
//! let now = decider.next_deadline().unwrap();
//! let fence = Order::Fence(Term(2));
//! assert!(decider.on_event(now, Event::Elapsed).contains(&Action::Order(2, fence)));
//! let accepted = |index| Answer::Accepted(Status { fenced_term: Term(2), ..replica(index) });
//! decider.on_event(now, Event::Answered(1, fence, accepted(8)));
//! let actions = decider.on_event(now, Event::Answered(2, fence, accepted(9)));
//! assert_eq!(actions, [Action::Order(2, Order::Promote(Term(2)))]);
//! ```

mod config;
mod evidence;
mod proposal;

use std::time::{Duration, Instant};

use filbertbay_state::position::Term;
use filbertbay_state::status::{Role, Status};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use strum::Display;

pub use self::config::Config;
use self::evidence::Evidence;
use self::proposal::{Proposal, Step};
use crate::quorum::{Rule, Set};

/// What the configuration says about a group, by member index.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Setting {
    /// Members of the group.
    pub members: Set,
    /// Members that take no new work, themselves or with their data centre.
    pub out: Set,
    /// Member that operators want as primary while it is available.
    pub preferred: Option<usize>,
    /// Rank of this instance among those that may propose; zero goes first.
    pub rank: u32,
}

impl Setting {
    /// Creates the setting of a group whose members all take work.
    #[must_use]
    pub fn new(members: Set) -> Self {
        Self {
            members,
            out: Set::default(),
            preferred: None,
            rank: 0,
        }
    }
}

/// Order to one member.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Order {
    /// Take no entry of a term lower than this.
    Fence(Term),
    /// Become the primary of this term.
    Promote(Term),
    /// Follow the member with this index, which leads this term.
    Follow(usize, Term),
}

/// What a member made of an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Answer {
    /// The member took the order; this is its status afterwards.
    Accepted(Status),
    /// The member refused the order and changed nothing.
    Refused,
}

/// What the platform made of the request for the lease.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Lease {
    /// This instance holds the lease.
    Granted,
    /// Another instance holds the lease.
    Held,
    /// The platform did not answer.
    Unanswered,
}

/// What happened.
#[derive(Clone, Copy, Debug)]
pub enum Event {
    /// A member answered a question that left at `asked`.
    Observed {
        /// Member that answered.
        member: usize,
        /// What it answered.
        status: Status,
        /// When the question left.
        asked: Instant,
    },
    /// A member answered an order.
    Answered(usize, Order, Answer),
    /// The platform answered the request for the lease.
    Leased(Lease),
    /// The configuration of the group has changed.
    Configured(Setting),
    /// The time of [`Decider::next_deadline`] has come.
    Elapsed,
}

/// What the driver has to do.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Action {
    /// Take the group's lease at the platform.
    Lease,
    /// Give the lease back.
    Release,
    /// Ask all members for their status at once.
    Poll,
    /// Send an order to a member.
    Order(usize, Order),
}

/// Why the lead has to change.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum Reason {
    /// Neither this instance nor most other members reach the primary.
    Lost,
    /// This instance reaches the primary, but most other members do not.
    Cut,
    /// A member is fenced above the primary's term, and nobody leads that term.
    Stalled,
    /// Operators want the lead elsewhere.
    Move(usize),
}

/// Watches one group and changes its primary when needed.
#[derive(Debug)]
pub struct Decider {
    config: Config,
    setting: Setting,
    rule: Rule,
    /// When the list of members changed, as long as the list before still counts.
    changed: Option<Instant>,
    evidence: Evidence,
    suspicion: Option<(Reason, Instant)>,
    proposal: Option<Proposal>,
    /// No proposal starts before this moment.
    quiet_until: Option<Instant>,
    /// Whether the next proposal goes ahead although another instance holds the lease.
    overrules_lease: bool,
    /// When each member was last told to follow.
    followed: Vec<Option<Instant>>,
    rng: StdRng,
}

impl Decider {
    /// Creates a decider that has heard nothing yet.
    ///
    /// `seed` spreads the retries of instances; each instance passes another one.
    pub fn new(config: Config, setting: Setting, seed: u64) -> Self {
        Self {
            config,
            setting,
            rule: Rule::new(setting.members),
            changed: None,
            evidence: Evidence::default(),
            suspicion: None,
            proposal: None,
            quiet_until: None,
            overrules_lease: false,
            followed: Vec::new(),
            rng: StdRng::seed_from_u64(seed),
        }
    }

    /// Takes an event and returns what has to be done.
    pub fn on_event(&mut self, now: Instant, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        let highest = self.evidence.highest();
        match event {
            Event::Observed {
                member,
                status,
                asked,
            } => self.evidence.observe(member, status, asked),
            Event::Answered(member, order, answer) => {
                self.answer(now, member, order, answer, &mut actions);
            }
            Event::Leased(lease) => self.lease(now, lease, &mut actions),
            Event::Configured(setting) => self.configure(now, setting),
            Event::Elapsed => {}
        }
        if self.evidence.highest() > highest {
            // Another proposer is at work; give it time.
            self.suspicion = None;
        }
        self.settle_rule(now);
        self.advance(now, &mut actions);
        self.consider(now, &mut actions);
        self.heal(now, &mut actions);
        actions
    }

    /// Returns when the decider next wants [`Event::Elapsed`].
    ///
    /// Silence of members is noticed at the next event after it, so the driver sends
    /// [`Event::Elapsed`] with each round of polls as well.
    pub fn next_deadline(&self) -> Option<Instant> {
        let due = self
            .suspicion
            .map(|(reason, since)| self.due(reason, since));
        let due = due.filter(|_| self.proposal.is_none());
        let deadline = self.proposal.as_ref().map(Proposal::deadline);
        due.into_iter().chain(deadline).min()
    }

    /// Returns the member that leads the highest term known, with the term.
    ///
    /// It steers where writes are sent; [`confirm`](super::confirm) proves it for each.
    pub fn leader(&self) -> Option<(usize, Term)> {
        self.evidence.leader()
    }

    /// Returns the lists of members that count now.
    pub fn rule(&self) -> Rule {
        self.rule
    }

    /// Tells whether this instance is moving the lead, so that new writes had better wait.
    pub fn is_moving(&self) -> bool {
        let proposal = self.proposal.as_ref();
        proposal.is_some_and(|p| matches!(p.reason, Reason::Move(_)) && p.step != Step::Lease)
    }

    /// Returns why the lead is about to change, if it is.
    pub fn reason(&self) -> Option<Reason> {
        let proposal = self.proposal.as_ref().map(|proposal| proposal.reason);
        proposal.or(self.suspicion.map(|(reason, _)| reason))
    }

    fn configure(&mut self, now: Instant, setting: Setting) {
        if setting.members != self.setting.members {
            self.rule = self.rule.replaced_by(setting.members);
            self.changed = Some(now);
        }
        self.setting = setting;
    }

    /// Drops the list before the present one once a majority of the present one holds the term.
    fn settle_rule(&mut self, now: Instant) {
        let is_due = |at: Instant| at + self.config.settled_after <= now;
        let Some((_, term)) = self.leader().filter(|_| self.changed.is_some_and(is_due)) else {
            return;
        };
        let recent = self.evidence.recent(now, self.config.lost_after);
        let holds = |member: &usize| self.evidence.received(*member).term == term;
        if self.rule.is_met_by(recent.iter().filter(holds).collect()) {
            self.rule = self.rule.settled();
            self.changed = None;
        }
    }

    /// Notes why the lead should change, and starts a proposal when its time has come.
    fn consider(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if self.proposal.is_some() {
            return;
        }
        let Some(reason) = self.find_reason(now) else {
            self.suspicion = None;
            return;
        };
        let since = match self.suspicion {
            Some((known, since)) if known == reason => since,
            _ => now,
        };
        self.suspicion = Some((reason, since));
        if self.due(reason, since) <= now {
            self.suspicion = None;
            self.proposal = Some(Proposal::new(reason, now + self.config.lease_wait));
            actions.push(Action::Lease);
        }
    }

    fn due(&self, reason: Reason, since: Instant) -> Instant {
        let wait = match reason {
            Reason::Stalled => self.config.stalled_after,
            Reason::Lost | Reason::Cut | Reason::Move(_) => Duration::ZERO,
        };
        let due = since + wait + self.config.stagger * self.setting.rank;
        due.max(self.quiet_until.unwrap_or(due))
    }

    fn find_reason(&self, now: Instant) -> Option<Reason> {
        let limit = self.config.lost_after;
        let recent = self.evidence.recent(now, limit);
        if !self.rule.is_met_by(recent) {
            return None;
        }
        let leader = self.leader();
        let leader_set: Set = leader.iter().map(|(member, _)| *member).collect();
        let misses_leader = !leader_set.without(recent).is_empty();
        let unheard = |limit| {
            let evidence = &self.evidence;
            evidence.is_unheard(now, limit, self.rule, leader_set)
        };
        let Some((member, term)) = leader.filter(|_| !misses_leader) else {
            return unheard(limit).then_some(Reason::Lost);
        };
        if self.evidence.fence(recent) > term {
            return Some(Reason::Stalled);
        }
        if unheard(self.config.cut_after) && self.rule.is_met_by(recent.without(leader_set)) {
            return Some(Reason::Cut);
        }
        self.find_target(member, term, recent).map(Reason::Move)
    }

    /// Returns where the lead should move to, if it should and can.
    fn find_target(&self, leader: usize, term: Term, recent: Set) -> Option<usize> {
        let available = self.setting.members.without(self.setting.out);
        let follows = |member: &usize| {
            let is_ready = self.evidence.hears(*member, self.config.follow_after);
            is_ready && self.evidence.received(*member).term == term
        };
        let ready = recent.iter().filter(|member| available.contains(*member));
        let ready: Set = ready.filter(follows).collect();
        let preferred = self.setting.preferred.filter(|p| ready.contains(*p));
        if available.contains(leader) && (preferred.is_none() || preferred == Some(leader)) {
            return None;
        }
        let furthest = ready
            .iter()
            .max_by_key(|member| self.evidence.received(*member));
        preferred.or(furthest)
    }

    fn lease(&mut self, now: Instant, lease: Lease, actions: &mut Vec<Action>) {
        let Some(proposal) = self.proposal.as_ref().filter(|p| p.step == Step::Lease) else {
            if lease == Lease::Granted && self.proposal.is_none() {
                actions.push(Action::Release);
            }
            return;
        };
        if lease == Lease::Held && !self.overrules_lease {
            // The holder may be paused, so the next proposal does not wait for it.
            self.overrules_lease = true;
            self.proposal = None;
            self.pause(now);
        } else if now < proposal.deadline() {
            self.start_fencing(now, actions);
        }
    }

    fn pause(&mut self, now: Instant) {
        let spread = self.rng.random_range(0.0..1.0);
        let rank = self.config.stagger * self.setting.rank;
        self.quiet_until = Some(now + self.config.backoff.mul_f64(1.0 + spread) + rank);
    }

    fn give_up(&mut self, now: Instant, actions: &mut Vec<Action>) {
        self.proposal = None;
        self.pause(now);
        actions.push(Action::Release);
    }

    /// Tells replicas that follow nobody, or a former primary, whom to follow.
    fn heal(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let Some((leader, term)) = self.leader().filter(|_| self.proposal.is_none()) else {
            return;
        };
        let patience = self.config.follow_after + self.config.stagger * self.setting.rank;
        let recent = self.evidence.recent(now, self.config.lost_after);
        if !recent.contains(leader) {
            return;
        }
        for member in self.rule.members().iter().filter(|m| *m != leader) {
            let Some(status) = self.evidence.status(member) else {
                continue;
            };
            let is_astray = status.role == Role::Primary || !self.evidence.hears(member, patience);
            if recent.contains(member) && is_astray && status.fenced_term <= term {
                self.follow(now, member, leader, term, patience, actions);
            }
        }
    }

    fn follow(
        &mut self,
        now: Instant,
        member: usize,
        leader: usize,
        term: Term,
        patience: Duration,
        actions: &mut Vec<Action>,
    ) {
        if self.followed.len() <= member {
            self.followed.resize(member + 1, None);
        }
        let last = &mut self.followed[member];
        if last.is_none_or(|at| at + patience <= now) {
            *last = Some(now);
            actions.push(Action::Order(member, Order::Follow(leader, term)));
        }
    }
}
