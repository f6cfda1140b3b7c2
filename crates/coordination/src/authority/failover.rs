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
//!     Action, OrderResult, Config, Decider, Event, Order, GroupConfig,
//! };
//! use filbertbay_coordination::quorum::MemberSet;
//! use filbertbay_state::position::{Position, Term};
//! use filbertbay_state::status::Status;
//!
//! let start = Instant::now();
//! let mut decider = Decider::new(Config::default(), GroupConfig::new(MemberSet::first(3)), 1);
//! let now = start + Duration::from_secs(5);
//! let replica = |index| Status {
//!     received: Position::new(Term(1), index),
//!     heard: Some(Duration::from_secs(4)),
//!     ..Status::default()
//! };
//! decider.on_event(now, Event::StatusReceived { member: 1, status: replica(8), asked: now });
//! let actions = decider.on_event(now, Event::StatusReceived { member: 2, status: replica(9), asked: now });
//! assert_eq!(actions, [Action::AcquireLease]);
//!
//! // Without an answer of the platform the proposal goes on after a while.
//! let now = decider.next_deadline().unwrap();
//! let fence = Order::Fence(Term(2));
//! assert!(decider.on_event(now, Event::Elapsed).contains(&Action::Order(2, fence)));
//! let accepted = |index| OrderResult::Accepted(Status { fenced: Term(2), ..replica(index) });
//! decider.on_event(now, Event::OrderAnswered(1, fence, accepted(8)));
//! let actions = decider.on_event(now, Event::OrderAnswered(2, fence, accepted(9)));
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
use self::evidence::Observations;
use self::proposal::{Proposal, Step};
use crate::quorum::{MemberSet, Quorum};

/// What the configuration says about a group, by member index.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct GroupConfig {
    /// Members of the group.
    pub members: MemberSet,
    /// Members that take no new work, themselves or with their data centre.
    pub unavailable: MemberSet,
    /// Member that operators want as primary while it is available.
    pub preferred: Option<usize>,
    /// Rank of this instance among those that may propose; zero goes first.
    pub rank: u32,
}

impl GroupConfig {
    /// Creates the setting of a group whose members all take work.
    #[must_use]
    pub fn new(members: MemberSet) -> Self {
        Self {
            members,
            unavailable: MemberSet::default(),
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
pub enum OrderResult {
    /// The member took the order; this is its status afterwards.
    Accepted(Status),
    /// The member refused the order and changed nothing.
    Refused,
}

/// What the platform made of the request for the lease.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LeaseResult {
    /// This instance holds the lease.
    Granted,
    /// Another instance holds the lease.
    HeldByOther,
    /// The platform did not answer.
    NoAnswer,
}

/// What happened.
#[derive(Clone, Copy, Debug)]
pub enum Event {
    /// A member answered a question that left at `asked`.
    StatusReceived {
        /// Member that answered.
        member: usize,
        /// What it answered.
        status: Status,
        /// When the question left.
        asked: Instant,
    },
    /// A member answered an order.
    OrderAnswered(usize, Order, OrderResult),
    /// The platform answered the request for the lease.
    LeaseAnswered(LeaseResult),
    /// The configuration of the group has changed.
    Configured(GroupConfig),
    /// The time of [`Decider::next_deadline`] has come.
    Elapsed,
}

/// What the driver has to do.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Action {
    /// Take the group's lease at the platform.
    AcquireLease,
    /// Give the lease back.
    ReleaseLease,
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
    #[strum(serialize = "cut")]
    Isolated,
    /// A member is fenced above the primary's term, and nobody leads that term.
    Stalled,
    /// Operators want the lead elsewhere.
    #[strum(serialize = "move")]
    Switchover(usize),
}

/// Watches one group and changes its primary when needed.
#[derive(Debug)]
pub struct Decider {
    config: Config,
    setting: GroupConfig,
    quorum: Quorum,
    /// When the list of members changed, as long as the list before still counts.
    list_changed_at: Option<Instant>,
    observations: Observations,
    pending_reason: Option<(Reason, Instant)>,
    proposal: Option<Proposal>,
    /// No proposal starts before this moment.
    backoff_until: Option<Instant>,
    /// Whether the next proposal goes ahead although another instance holds the lease.
    ignores_held_lease: bool,
    /// When each member was last told to follow.
    follow_sent_at: Vec<Option<Instant>>,
    rng: StdRng,
}

impl Decider {
    /// Creates a decider that has heard nothing yet.
    ///
    /// `seed` spreads the retries of instances; each instance passes another one.
    pub fn new(config: Config, setting: GroupConfig, seed: u64) -> Self {
        Self {
            config,
            setting,
            quorum: Quorum::new(setting.members),
            list_changed_at: None,
            observations: Observations::default(),
            pending_reason: None,
            proposal: None,
            backoff_until: None,
            ignores_held_lease: false,
            follow_sent_at: Vec::new(),
            rng: StdRng::seed_from_u64(seed),
        }
    }

    /// Takes an event and returns what has to be done.
    pub fn on_event(&mut self, now: Instant, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        let highest = self.observations.highest_term();
        match event {
            Event::StatusReceived {
                member,
                status,
                asked,
            } => self.observations.observe(member, status, asked),
            Event::OrderAnswered(member, order, result) => {
                self.on_order_answer(now, member, order, result, &mut actions);
            }
            Event::LeaseAnswered(result) => self.on_lease_result(now, result, &mut actions),
            Event::Configured(setting) => self.configure(now, setting),
            Event::Elapsed => {}
        }
        if self.observations.highest_term() > highest {
            // Another proposer is at work; give it time.
            self.pending_reason = None;
        }
        self.finish_member_change(now);
        self.advance(now, &mut actions);
        self.propose_if_due(now, &mut actions);
        self.repair_followers(now, &mut actions);
        actions
    }

    /// Returns when the decider next wants [`Event::Elapsed`].
    ///
    /// Silence of members is noticed at the next event after it, so the driver sends
    /// [`Event::Elapsed`] with each round of polls as well.
    pub fn next_deadline(&self) -> Option<Instant> {
        let due = self
            .pending_reason
            .map(|(reason, since)| self.proposal_due_at(reason, since));
        let due = due.filter(|_| self.proposal.is_none());
        let deadline = self.proposal.as_ref().map(Proposal::deadline);
        due.into_iter().chain(deadline).min()
    }

    /// Returns the member that leads the highest term known, with the term.
    ///
    /// It steers where writes are sent; [`confirm`](super::confirm) proves it for each.
    pub fn leader(&self) -> Option<(usize, Term)> {
        self.observations.leader()
    }

    /// Returns the lists of members that count now.
    pub fn quorum(&self) -> Quorum {
        self.quorum
    }

    /// Tells whether this instance is moving the lead, so that new writes had better wait.
    pub fn is_switching_over(&self) -> bool {
        let proposal = self.proposal.as_ref();
        proposal.is_some_and(|p| matches!(p.reason, Reason::Switchover(_)) && p.step != Step::Lease)
    }

    /// Returns why the lead is about to change, if it is.
    pub fn reason(&self) -> Option<Reason> {
        let proposal = self.proposal.as_ref().map(|proposal| proposal.reason);
        proposal.or(self.pending_reason.map(|(reason, _)| reason))
    }

    fn configure(&mut self, now: Instant, setting: GroupConfig) {
        if setting.members != self.setting.members {
            self.quorum = self.quorum.begin_transition(setting.members);
            self.list_changed_at = Some(now);
        }
        self.setting = setting;
    }

    /// Drops the list before the present one once a majority of the present one holds the term.
    fn finish_member_change(&mut self, now: Instant) {
        let is_due = |at: Instant| at + self.config.list_overlap <= now;
        let Some((_, term)) = self
            .leader()
            .filter(|_| self.list_changed_at.is_some_and(is_due))
        else {
            return;
        };
        let recent = self.observations.recent(now, self.config.lost_after);
        let holds = |member: &usize| self.observations.received(*member).term == term;
        if self.quorum.is_met_by(recent.iter().filter(holds).collect()) {
            self.quorum = self.quorum.end_transition();
            self.list_changed_at = None;
        }
    }

    /// Notes why the lead should change, and starts a proposal when its time has come.
    fn propose_if_due(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if self.proposal.is_some() {
            return;
        }
        let Some(reason) = self.find_reason(now) else {
            self.pending_reason = None;
            return;
        };
        let since = match self.pending_reason {
            Some((known, since)) if known == reason => since,
            _ => now,
        };
        self.pending_reason = Some((reason, since));
        if self.proposal_due_at(reason, since) <= now {
            self.pending_reason = None;
            self.proposal = Some(Proposal::new(reason, now + self.config.lease_timeout));
            actions.push(Action::AcquireLease);
        }
    }

    fn proposal_due_at(&self, reason: Reason, since: Instant) -> Instant {
        let wait = match reason {
            Reason::Stalled => self.config.stalled_after,
            Reason::Lost | Reason::Isolated | Reason::Switchover(_) => Duration::ZERO,
        };
        let due = since + wait + self.config.stagger * self.setting.rank;
        due.max(self.backoff_until.unwrap_or(due))
    }

    fn find_reason(&self, now: Instant) -> Option<Reason> {
        let limit = self.config.lost_after;
        let recent = self.observations.recent(now, limit);
        if !self.quorum.is_met_by(recent) {
            return None;
        }
        let leader = self.leader();
        let leader_set: MemberSet = leader.iter().map(|(member, _)| *member).collect();
        let is_leader_silent = !leader_set.without(recent).is_empty();
        let is_leader_unheard = |limit| {
            let observations = &self.observations;
            observations.majority_lost_contact(now, limit, self.quorum, leader_set)
        };
        let Some((member, term)) = leader.filter(|_| !is_leader_silent) else {
            return is_leader_unheard(limit).then_some(Reason::Lost);
        };
        if self.observations.highest_fence(recent) > term {
            return Some(Reason::Stalled);
        }
        if is_leader_unheard(self.config.isolated_after)
            && self.quorum.is_met_by(recent.without(leader_set))
        {
            return Some(Reason::Isolated);
        }
        self.find_switchover_target(member, term, recent)
            .map(Reason::Switchover)
    }

    /// Returns where the lead should move to, if it should and can.
    fn find_switchover_target(
        &self,
        leader: usize,
        term: Term,
        recent: MemberSet,
    ) -> Option<usize> {
        let available = self.setting.members.without(self.setting.unavailable);
        let follows = |member: &usize| {
            let is_ready = self
                .observations
                .heard_within(*member, self.config.refollow_after);
            is_ready && self.observations.received(*member).term == term
        };
        let ready = recent.iter().filter(|member| available.contains(*member));
        let ready: MemberSet = ready.filter(follows).collect();
        let preferred = self.setting.preferred.filter(|p| ready.contains(*p));
        if available.contains(leader) && (preferred.is_none() || preferred == Some(leader)) {
            return None;
        }
        let furthest = ready
            .iter()
            .max_by_key(|member| self.observations.received(*member));
        preferred.or(furthest)
    }

    fn on_lease_result(&mut self, now: Instant, result: LeaseResult, actions: &mut Vec<Action>) {
        let Some(proposal) = self.proposal.as_ref().filter(|p| p.step == Step::Lease) else {
            if result == LeaseResult::Granted && self.proposal.is_none() {
                actions.push(Action::ReleaseLease);
            }
            return;
        };
        if result == LeaseResult::HeldByOther && !self.ignores_held_lease {
            // The holder may be paused, so the next proposal does not wait for it.
            self.ignores_held_lease = true;
            self.proposal = None;
            self.back_off(now);
        } else if now < proposal.deadline() {
            self.start_fencing(now, actions);
        }
    }

    fn back_off(&mut self, now: Instant) {
        let spread = self.rng.random_range(0.0..1.0);
        let rank = self.config.stagger * self.setting.rank;
        self.backoff_until = Some(now + self.config.backoff.mul_f64(1.0 + spread) + rank);
    }

    fn abandon_proposal(&mut self, now: Instant, actions: &mut Vec<Action>) {
        self.proposal = None;
        self.back_off(now);
        actions.push(Action::ReleaseLease);
    }

    /// Tells replicas that follow nobody, or a former primary, whom to follow.
    fn repair_followers(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let Some((leader, term)) = self.leader().filter(|_| self.proposal.is_none()) else {
            return;
        };
        let follow_timeout = self.config.refollow_after + self.config.stagger * self.setting.rank;
        let recent = self.observations.recent(now, self.config.lost_after);
        if !recent.contains(leader) {
            return;
        }
        for member in self.quorum.members().iter().filter(|m| *m != leader) {
            let Some(status) = self.observations.status(member) else {
                continue;
            };
            let needs_follow = status.role == Role::Primary
                || !self.observations.heard_within(member, follow_timeout);
            if recent.contains(member) && needs_follow && status.fenced <= term {
                self.send_follow(now, member, leader, term, follow_timeout, actions);
            }
        }
    }

    fn send_follow(
        &mut self,
        now: Instant,
        member: usize,
        leader: usize,
        term: Term,
        follow_timeout: Duration,
        actions: &mut Vec<Action>,
    ) {
        if self.follow_sent_at.len() <= member {
            self.follow_sent_at.resize(member + 1, None);
        }
        let last = &mut self.follow_sent_at[member];
        if last.is_none_or(|at| at + follow_timeout <= now) {
            *last = Some(now);
            actions.push(Action::Order(member, Order::Follow(leader, term)));
        }
    }
}
