//! Replaces a lost primary, and moves the primary role in planned switchovers.
//!
//! Every instance that polls a group runs a [`Decider`]. A primary counts as lost when this
//! instance can't reach it *and* most other members have not heard from it: the replicas of a
//! primary that is slow, or unreachable only from this instance, still hear from it. Instances
//! delay their proposals by rank, and acquire the platform's lease if the platform answers. Safety
//! depends on neither; both keep proposers from undoing each other's work.
//!
//! A proposal fences the members with a term above all known terms. Once a majority has accepted
//! the fence, the proposer promotes the member with the highest position among those that accepted.
//! A member accepts a fencing term once, so no other proposer gets a majority for the same term.
//! Every write that a majority holds is held by some member that accepted. A failed proposal is
//! abandoned and never retried with the same term.
//!
//! A switchover first fences only the primary. The primary then refuses new writes, while writes
//! that it has already run can still be confirmed by the other members. Once the target has
//! received the primary's whole log, the other members are fenced and the target is promoted.
//!
//! # Examples
//!
//! ```
//! use std::time::{Duration, Instant};
//!
//! use filbertbay_coordination::authority::failover::{
//!     Action, Config, Decider, Event, GroupConfig, Order, OrderResult,
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
//!     primary_contact_age: Some(Duration::from_secs(4)),
//!     ..Status::default()
//! };
//! decider.on_event(now, Event::StatusReceived { member: 1, status: replica(8), asked: now });
//! let event = Event::StatusReceived { member: 2, status: replica(9), asked: now };
//! let actions = decider.on_event(now, event);
//! assert_eq!(actions, [Action::AcquireLease]);
//!
//! // If the platform does not answer, the proposal continues after the lease timeout.
//! let now = decider.next_deadline().unwrap();
//! let fence = Order::Fence(Term(2));
//! assert!(decider.on_event(now, Event::Elapsed).contains(&Action::Order(2, fence)));
//! let accepted = |index| OrderResult::Accepted(Status { fenced_term: Term(2), ..replica(index) });
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

/// Configuration of a group; members are given by index.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct GroupConfig {
    /// Members of the group.
    pub members: MemberSet,
    /// Members that take no new work because they or their data centre are taken out.
    pub unavailable: MemberSet,
    /// Member that operators prefer as primary while it is available.
    pub preferred: Option<usize>,
    /// Rank of this instance among the proposers; rank zero proposes first.
    pub rank: u32,
}

impl GroupConfig {
    /// Creates the configuration of a group whose members are all available.
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
    /// Accept no log entry of a term lower than this.
    Fence(Term),
    /// Become the primary of this term.
    Promote(Term),
    /// Follow the member with this index, which leads this term.
    Follow(usize, Term),
}

/// Answer of a member to an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderResult {
    /// The member carried out the order; contains its status afterwards.
    Accepted(Status),
    /// The member refused the order and changed nothing.
    Refused,
}

/// Answer of the platform to a request for the group's lease.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LeaseResult {
    /// This instance holds the lease.
    Granted,
    /// Another instance holds the lease.
    HeldByOther,
    /// The platform did not answer.
    NoAnswer,
}

/// Input of a [`Decider`].
#[derive(Clone, Copy, Debug)]
pub enum Event {
    /// A member answered a status query.
    StatusReceived {
        /// Member that answered.
        member: usize,
        /// Status of the member.
        status: Status,
        /// When the query was sent.
        asked: Instant,
    },
    /// A member answered an order.
    OrderAnswered(usize, Order, OrderResult),
    /// The platform answered the request for the lease.
    LeaseAnswered(LeaseResult),
    /// The configuration of the group or the rank of this instance has changed.
    Configured(GroupConfig),
    /// [`Decider::next_deadline`] has been reached.
    Elapsed,
}

/// Work for the driver.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Action {
    /// Acquire the group's lease from the platform.
    AcquireLease,
    /// Release the group's lease.
    ReleaseLease,
    /// Send a status query to every member now.
    Poll,
    /// Send an order to a member.
    Order(usize, Order),
}

/// Reason for a change of the primary.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum Reason {
    /// Neither this instance nor most other members reach the primary.
    Lost,
    /// This instance reaches the primary, but most other members do not.
    #[strum(serialize = "cut")]
    Isolated,
    /// A member is fenced above the primary's term, and no member leads the higher term.
    Stalled,
    /// The configuration requires a planned switchover to this member.
    #[strum(serialize = "move")]
    Switchover(usize),
}

/// Watches one group and changes its primary when needed.
#[derive(Debug)]
pub struct Decider {
    config: Config,
    group: GroupConfig,
    quorum: Quorum,
    /// When the member list changed, while the previous list is still part of the quorum.
    list_changed_at: Option<Instant>,
    observations: Observations,
    pending_reason: Option<(Reason, Instant)>,
    proposal: Option<Proposal>,
    /// No proposal starts before this time.
    backoff_until: Option<Instant>,
    /// Whether the next proposal proceeds although another instance holds the lease.
    ignores_held_lease: bool,
    /// When the last follow order was sent to each member.
    follow_sent_at: Vec<Option<Instant>>,
    rng: StdRng,
}

impl Decider {
    /// Creates a decider without observations.
    ///
    /// `seed` feeds the jitter of the backoff; each instance passes a different one.
    pub fn new(config: Config, group: GroupConfig, seed: u64) -> Self {
        Self {
            config,
            group,
            quorum: Quorum::new(group.members),
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

    /// Handles an event and returns the resulting actions.
    pub fn on_event(&mut self, now: Instant, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        let highest = self.observations.highest_term();
        match event {
            Event::StatusReceived {
                member,
                status,
                asked,
            } => self.observations.record(member, status, asked),
            Event::OrderAnswered(member, order, result) => {
                self.on_order_answer(now, member, order, result, &mut actions);
            }
            Event::LeaseAnswered(result) => self.on_lease_result(now, result, &mut actions),
            Event::Configured(group) => self.configure(now, group),
            Event::Elapsed => {}
        }
        if self.observations.highest_term() > highest {
            // Another proposer is active; restart the delay before this instance proposes.
            self.pending_reason = None;
        }
        self.finish_member_change(now);
        self.advance(now, &mut actions);
        self.propose_if_due(now, &mut actions);
        self.repair_followers(now, &mut actions);
        actions
    }

    /// Returns the time at which [`Event::Elapsed`] is due, if any.
    ///
    /// The silence of a member is detected only when an event is handled, so the driver also sends
    /// [`Event::Elapsed`] with each round of polls.
    pub fn next_deadline(&self) -> Option<Instant> {
        let due = self
            .pending_reason
            .map(|(reason, since)| self.proposal_due_at(reason, since));
        let due = due.filter(|_| self.proposal.is_none());
        let deadline = self.proposal.as_ref().map(Proposal::deadline);
        due.into_iter().chain(deadline).min()
    }

    /// Returns the member that leads the highest term known, and the term.
    ///
    /// The result routes writes; [`confirm`](super::confirm) proves the leader for each write.
    pub fn leader(&self) -> Option<(usize, Term)> {
        self.observations.leader()
    }

    /// Returns the member lists of which a decision currently needs a majority each.
    pub fn quorum(&self) -> Quorum {
        self.quorum
    }

    /// Returns true while this instance performs a switchover, during which new writes should wait.
    pub fn is_switching_over(&self) -> bool {
        let proposal = self.proposal.as_ref();
        proposal.is_some_and(|p| matches!(p.reason, Reason::Switchover(_)) && p.step != Step::Lease)
    }

    /// Returns the reason of the proposal that is running or due, if any.
    pub fn reason(&self) -> Option<Reason> {
        let proposal = self.proposal.as_ref().map(|proposal| proposal.reason);
        proposal.or(self.pending_reason.map(|(reason, _)| reason))
    }

    fn configure(&mut self, now: Instant, group: GroupConfig) {
        if group.members != self.group.members {
            self.quorum = self.quorum.begin_transition(group.members);
            self.list_changed_at = Some(now);
        }
        self.group = group;
    }

    /// Drops the previous member list once a quorum has received entries of the current term.
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

    /// Records the reason for a change of the primary, and starts a proposal after its delay.
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
        let due = since + wait + self.config.stagger * self.group.rank;
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

    /// Returns the target of a planned switchover, if one is needed and a ready member exists.
    fn find_switchover_target(
        &self,
        leader: usize,
        term: Term,
        recent: MemberSet,
    ) -> Option<usize> {
        let available = self.group.members.without(self.group.unavailable);
        let follows = |member: &usize| {
            let is_ready = self
                .observations
                .heard_within(*member, self.config.refollow_after);
            is_ready && self.observations.received(*member).term == term
        };
        let ready = recent.iter().filter(|member| available.contains(*member));
        let ready: MemberSet = ready.filter(follows).collect();
        let preferred = self.group.preferred.filter(|p| ready.contains(*p));
        if available.contains(leader) && (preferred.is_none() || preferred == Some(leader)) {
            return None;
        }
        let most_advanced = ready
            .iter()
            .max_by_key(|member| self.observations.received(*member));
        preferred.or(most_advanced)
    }

    fn on_lease_result(&mut self, now: Instant, result: LeaseResult, actions: &mut Vec<Action>) {
        let Some(proposal) = self.proposal.as_ref().filter(|p| p.step == Step::Lease) else {
            if result == LeaseResult::Granted && self.proposal.is_none() {
                actions.push(Action::ReleaseLease);
            }
            return;
        };
        if result == LeaseResult::HeldByOther && !self.ignores_held_lease {
            // The lease holder may be paused, so the next proposal proceeds without the lease.
            self.ignores_held_lease = true;
            self.proposal = None;
            self.back_off(now);
        } else if now < proposal.deadline() {
            self.start_fencing(now, actions);
        }
    }

    fn back_off(&mut self, now: Instant) {
        let jitter = self.rng.random_range(0.0..1.0);
        let rank = self.config.stagger * self.group.rank;
        self.backoff_until = Some(now + self.config.backoff.mul_f64(1.0 + jitter) + rank);
    }

    fn abandon_proposal(&mut self, now: Instant, actions: &mut Vec<Action>) {
        self.proposal = None;
        self.back_off(now);
        actions.push(Action::ReleaseLease);
    }

    /// Orders former primaries, and members that hear from no primary, to follow the leader.
    fn repair_followers(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let Some((leader, term)) = self.leader().filter(|_| self.proposal.is_none()) else {
            return;
        };
        let follow_timeout = self.config.refollow_after + self.config.stagger * self.group.rank;
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
            if recent.contains(member) && needs_follow && status.fenced_term <= term {
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
