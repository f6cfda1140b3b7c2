//! One attempt to change the primary, from the lease to the promotion.

use std::time::Instant;

use filbertbay_state::position::{Position, Term};
use filbertbay_state::status::{Role, Status};

use super::{Action, Answer, Decider, Order, Reason};
use crate::quorum::Set;

/// How far a proposal has come.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Step {
    /// Waits for the platform.
    Lease,
    /// Waits until the primary is fenced and the target holds all that it has.
    Drain,
    /// Waits for a majority to accept the fence.
    Fence,
    /// Waits for the chosen member to lead.
    Promote(usize),
}

/// One attempt to change the primary.
#[derive(Debug)]
pub(super) struct Proposal {
    pub(super) reason: Reason,
    pub(super) step: Step,
    term: Term,
    /// When the attempt goes on without further answers, or is given up.
    deadline: Instant,
    /// When the attempt is given up at this step.
    limit: Instant,
    /// What the members that accepted the fence held then.
    accepted: Vec<(usize, Status)>,
}

impl Proposal {
    pub(super) fn new(reason: Reason, deadline: Instant) -> Self {
        Self {
            reason,
            step: Step::Lease,
            term: Term::default(),
            deadline,
            limit: deadline,
            accepted: Vec::new(),
        }
    }

    pub(super) fn deadline(&self) -> Instant {
        self.deadline.min(self.limit)
    }

    fn fenced(&self) -> Set {
        self.accepted.iter().map(|(member, _)| *member).collect()
    }

    fn received(&self, member: usize) -> Option<Position> {
        let accepted = self.accepted.iter().find(|(known, _)| *known == member);
        accepted.map(|(_, status)| status.received)
    }

    fn accept(&mut self, member: usize, status: Status) {
        if !self.fenced().contains(member) {
            self.accepted.push((member, status));
        }
    }
}

impl Decider {
    /// Takes the answer to an order.
    pub(super) fn answer(
        &mut self,
        now: Instant,
        member: usize,
        order: Order,
        answer: Answer,
        actions: &mut Vec<Action>,
    ) {
        let Answer::Accepted(status) = answer else {
            return;
        };
        let Some(proposal) = self.proposal.as_mut().filter(|p| now < p.limit) else {
            return;
        };
        let is_fencing = matches!(proposal.step, Step::Drain | Step::Fence);
        if is_fencing && order == Order::Fence(proposal.term) {
            proposal.accept(member, status);
            if proposal.step == Step::Drain {
                proposal.deadline = now + self.config.drain;
                actions.push(Action::Poll);
            }
        }
        if order == Order::Promote(proposal.term) && proposal.step == Step::Promote(member) {
            self.evidence.observe(member, status, now);
        }
    }

    /// Fences the primary alone if the lead moves, and all members otherwise.
    pub(super) fn start_fencing(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let leader = self.leader();
        let reason = self.proposal.as_ref().map(|proposal| proposal.reason);
        // A proposer that was paused, or that waited while others acted, may have no reason left.
        if self.find_reason(now) != reason {
            self.give_up(now, actions);
            return;
        }
        let term = self.evidence.highest().next();
        let Some(proposal) = &mut self.proposal else {
            return;
        };
        self.evidence.raise(term);
        proposal.term = term;
        proposal.limit = now + self.config.order_wait;
        proposal.deadline = proposal.limit;
        self.overrules_lease = false;
        match (proposal.reason, leader) {
            (Reason::Move(_), Some((leader, _))) => {
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
        proposal.limit = now + self.config.order_wait;
        proposal.deadline = proposal.limit;
        let fence = Order::Fence(proposal.term);
        let others = self.rule.members().without(proposal.fenced());
        actions.extend(others.iter().map(|member| Action::Order(member, fence)));
    }

    /// Takes the present proposal as far as the answers allow.
    pub(super) fn advance(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let Some(proposal) = &self.proposal else {
            return;
        };
        match proposal.step {
            Step::Lease if proposal.deadline <= now => self.start_fencing(now, actions),
            Step::Lease => {}
            Step::Drain => self.drain(now, actions),
            Step::Fence => self.gather(now, actions),
            Step::Promote(member) => self.finish(now, member, actions),
        }
    }

    /// Fences the other members once the target holds all that the primary has.
    fn drain(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let Some(proposal) = &mut self.proposal else {
            return;
        };
        let Some((_, status)) = proposal.accepted.first() else {
            if proposal.limit <= now {
                self.give_up(now, actions);
            }
            return;
        };
        let Reason::Move(target) = proposal.reason else {
            return;
        };
        let is_caught_up = self.evidence.received(target) >= status.received;
        if proposal.deadline > now {
            return;
        }
        if is_caught_up || proposal.limit <= now {
            self.fence_others(now, actions);
            return;
        }
        proposal.deadline = now + self.config.drain / 4;
        actions.push(Action::Poll);
    }

    /// Promotes once a majority has accepted and the others had their time.
    fn gather(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let Some(proposal) = &mut self.proposal else {
            return;
        };
        let fenced = proposal.fenced();
        let is_majority = self.rule.is_met_by(fenced);
        let is_late = proposal.limit <= now;
        // A proposer that was paused must not promote on answers that it slept over.
        if is_late && !is_majority || now > proposal.limit + self.config.order_wait {
            self.give_up(now, actions);
            return;
        }
        if !is_majority {
            return;
        }
        proposal.deadline = proposal.deadline.min(now + self.config.gather);
        let recent = self.evidence.recent(now, self.config.lost_after);
        let awaited = self.rule.members().without(fenced);
        let is_complete = !awaited.iter().any(|member| recent.contains(member));
        if is_complete || proposal.deadline <= now {
            self.promote(now, actions);
        }
    }

    fn promote(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let Some(target) = self.choose_target() else {
            self.give_up(now, actions);
            return;
        };
        let Some(proposal) = &mut self.proposal else {
            return;
        };
        proposal.step = Step::Promote(target);
        proposal.limit = now + self.config.order_wait;
        proposal.deadline = proposal.limit;
        actions.push(Action::Order(target, Order::Promote(proposal.term)));
    }

    /// Returns the furthest of the members that accepted.
    ///
    /// A primary that its replicas do not hear is left out if the others are a majority themselves.
    fn choose_target(&self) -> Option<usize> {
        let proposal = self.proposal.as_ref()?;
        let leader = self.leader().map(|(member, _)| member);
        let mut candidates = proposal.fenced();
        if proposal.reason == Reason::Cut {
            let others = candidates.without(leader.into_iter().collect());
            if self.rule.is_met_by(others) {
                candidates = others;
            }
        }
        let wanted = match proposal.reason {
            Reason::Move(target) => Some(target),
            _ => leader,
        };
        let is_out = |member: usize| self.setting.out.contains(member);
        let rank = |member: &usize| {
            let received = proposal.received(*member);
            (received, !is_out(*member), Some(*member) == wanted)
        };
        candidates.iter().max_by_key(rank)
    }

    /// Sends the others after the new primary once it leads.
    fn finish(&mut self, now: Instant, target: usize, actions: &mut Vec<Action>) {
        let Some(proposal) = &self.proposal else {
            return;
        };
        let term = proposal.term;
        let status = self.evidence.status(target).unwrap_or_default();
        let leads = status.role == Role::Primary && status.received.term == term;
        if !leads {
            if proposal.limit <= now || self.evidence.highest() > term {
                self.give_up(now, actions);
            }
            return;
        }
        self.proposal = None;
        actions.push(Action::Release);
        for member in self.rule.members().iter().filter(|m| *m != target) {
            actions.push(Action::Order(member, Order::Follow(target, term)));
        }
    }
}
