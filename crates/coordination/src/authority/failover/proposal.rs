//! One attempt to change the primary: lease, fencing, promotion and repointing of the replicas.

use std::time::Instant;

use filbertbay_state::position::{Position, Term};
use filbertbay_state::status::{Role, Status};

use super::{Action, Decider, Order, OrderResult, Reason};
use crate::quorum::MemberSet;

/// Current step of a proposal.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Step {
    /// Waits for the platform's lease.
    Lease,
    /// Waits until the primary is fenced and the target has received its whole log.
    Drain,
    /// Waits for a majority to accept the fence.
    Fence,
    /// Waits until the chosen member leads.
    Promote(usize),
}

/// One attempt to change the primary.
#[derive(Debug)]
pub(super) struct Proposal {
    pub(super) reason: Reason,
    pub(super) step: Step,
    term: Term,
    /// When the step continues without further answers.
    next_check: Instant,
    /// When the step times out.
    step_deadline: Instant,
    /// Members that accepted the fence, with their status at that time.
    accepted: Vec<(usize, Status)>,
}

impl Proposal {
    pub(super) fn new(reason: Reason, deadline: Instant) -> Self {
        Self {
            reason,
            step: Step::Lease,
            term: Term::default(),
            next_check: deadline,
            step_deadline: deadline,
            accepted: Vec::new(),
        }
    }

    pub(super) fn deadline(&self) -> Instant {
        self.next_check.min(self.step_deadline)
    }

    fn fenced_members(&self) -> MemberSet {
        self.accepted.iter().map(|(member, _)| *member).collect()
    }

    fn received(&self, member: usize) -> Option<Position> {
        let accepted = self.accepted.iter().find(|(known, _)| *known == member);
        accepted.map(|(_, status)| status.received)
    }

    fn accept(&mut self, member: usize, status: Status) {
        if !self.fenced_members().contains(member) {
            self.accepted.push((member, status));
        }
    }
}

impl Decider {
    /// Handles the answer to an order.
    pub(super) fn on_order_answer(
        &mut self,
        now: Instant,
        member: usize,
        order: Order,
        result: OrderResult,
        actions: &mut Vec<Action>,
    ) {
        let OrderResult::Accepted(status) = result else {
            return;
        };
        let Some(proposal) = self.proposal.as_mut().filter(|p| now < p.step_deadline) else {
            return;
        };
        let is_fencing = matches!(proposal.step, Step::Drain | Step::Fence);
        if is_fencing && order == Order::Fence(proposal.term) {
            proposal.accept(member, status);
            if proposal.step == Step::Drain {
                proposal.next_check = now + self.config.drain_wait;
                actions.push(Action::Poll);
            }
        }
        if order == Order::Promote(proposal.term) && proposal.step == Step::Promote(member) {
            self.observations.record(member, status, now);
        }
    }

    /// Fences only the primary in a switchover, and all members otherwise.
    pub(super) fn start_fencing(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let leader = self.leader();
        let reason = self.proposal.as_ref().map(|proposal| proposal.reason);
        // The reason may be gone if this instance was paused or another proposer has acted.
        if self.find_reason(now) != reason {
            self.abandon_proposal(now, actions);
            return;
        }
        let term = self.observations.highest_term().next();
        let Some(proposal) = &mut self.proposal else {
            return;
        };
        self.observations.record_term(term);
        proposal.term = term;
        proposal.step_deadline = now + self.config.order_timeout;
        proposal.next_check = proposal.step_deadline;
        self.ignores_held_lease = false;
        match (proposal.reason, leader) {
            (Reason::Switchover(_), Some((leader, _))) => {
                proposal.step = Step::Drain;
                actions.push(Action::Order(leader, Order::Fence(term)));
            }
            _ => self.fence_others(now, actions),
        }
    }

    fn fence_others(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let Some(proposal) = &mut self.proposal else {
            return;
        };
        proposal.step = Step::Fence;
        proposal.step_deadline = now + self.config.order_timeout;
        proposal.next_check = proposal.step_deadline;
        let fence = Order::Fence(proposal.term);
        let unfenced = self.quorum.members().without(proposal.fenced_members());
        actions.extend(unfenced.iter().map(|member| Action::Order(member, fence)));
    }

    /// Advances the current proposal as far as the answers allow.
    pub(super) fn advance(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let Some(proposal) = &self.proposal else {
            return;
        };
        match proposal.step {
            Step::Lease if proposal.next_check <= now => self.start_fencing(now, actions),
            Step::Lease => {}
            Step::Drain => self.await_catch_up(now, actions),
            Step::Fence => self.await_majority(now, actions),
            Step::Promote(member) => self.complete_promotion(now, member, actions),
        }
    }

    /// Fences the other members once the target has received the primary's whole log.
    fn await_catch_up(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let Some(proposal) = &mut self.proposal else {
            return;
        };
        let Some((_, status)) = proposal.accepted.first() else {
            if proposal.step_deadline <= now {
                self.abandon_proposal(now, actions);
            }
            return;
        };
        let Reason::Switchover(target) = proposal.reason else {
            return;
        };
        let is_target_caught_up = self.observations.received(target) >= status.received;
        if proposal.next_check > now {
            return;
        }
        if is_target_caught_up || proposal.step_deadline <= now {
            self.fence_others(now, actions);
            return;
        }
        proposal.next_check = now + self.config.drain_wait / 4;
        actions.push(Action::Poll);
    }

    /// Promotes once a majority has accepted and the other members have answered or timed out.
    fn await_majority(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let Some(proposal) = &mut self.proposal else {
            return;
        };
        let fenced = proposal.fenced_members();
        let is_majority = self.quorum.is_met_by(fenced);
        let is_late = proposal.step_deadline <= now;
        // A proposer that was paused must not promote on outdated answers.
        if is_late && !is_majority || now > proposal.step_deadline + self.config.order_timeout {
            self.abandon_proposal(now, actions);
            return;
        }
        if !is_majority {
            return;
        }
        proposal.next_check = proposal.next_check.min(now + self.config.straggler_wait);
        let recent = self.observations.recent(now, self.config.lost_after);
        let unfenced = self.quorum.members().without(fenced);
        let is_every_recent_member_fenced = !unfenced.iter().any(|member| recent.contains(member));
        if is_every_recent_member_fenced || proposal.next_check <= now {
            self.promote(now, actions);
        }
    }

    fn promote(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let Some(target) = self.choose_target() else {
            self.abandon_proposal(now, actions);
            return;
        };
        let Some(proposal) = &mut self.proposal else {
            return;
        };
        proposal.step = Step::Promote(target);
        proposal.step_deadline = now + self.config.order_timeout;
        proposal.next_check = proposal.step_deadline;
        actions.push(Action::Order(target, Order::Promote(proposal.term)));
    }

    /// Returns the member with the highest position among those that accepted the fence.
    ///
    /// An isolated primary is not eligible if the other members are a majority without it.
    fn choose_target(&self) -> Option<usize> {
        let proposal = self.proposal.as_ref()?;
        let leader = self.leader().map(|(member, _)| member);
        let mut candidates = proposal.fenced_members();
        if proposal.reason == Reason::Isolated {
            let others = candidates.without(leader.into_iter().collect());
            if self.quorum.is_met_by(others) {
                candidates = others;
            }
        }
        let favoured = match proposal.reason {
            Reason::Switchover(target) => Some(target),
            _ => leader,
        };
        let is_unavailable = |member: usize| self.group.unavailable.contains(member);
        let rank = |member: &usize| {
            let received = proposal.received(*member);
            (
                received,
                !is_unavailable(*member),
                Some(*member) == favoured,
            )
        };
        candidates.iter().max_by_key(rank)
    }

    /// Ends the proposal and orders the other members to follow the new primary once it leads.
    fn complete_promotion(&mut self, now: Instant, target: usize, actions: &mut Vec<Action>) {
        let Some(proposal) = &self.proposal else {
            return;
        };
        let term = proposal.term;
        let status = self.observations.status(target).unwrap_or_default();
        let leads = status.role == Role::Primary && status.received.term == term;
        if !leads {
            if proposal.step_deadline <= now || self.observations.highest_term() > term {
                self.abandon_proposal(now, actions);
            }
            return;
        }
        self.proposal = None;
        actions.push(Action::ReleaseLease);
        for member in self.quorum.members().iter().filter(|m| *m != target) {
            actions.push(Action::Order(member, Order::Follow(target, term)));
        }
    }
}
