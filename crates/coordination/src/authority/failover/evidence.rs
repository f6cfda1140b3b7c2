//! Latest status answers of the members of a group, and the facts that failover derives from them.

use std::time::{Duration, Instant};

use filbertbay_state::position::{Position, Term};
use filbertbay_state::status::{Role, Status};

use crate::quorum::{MAX_MEMBERS, MemberSet, Quorum};

/// Latest status answer of each member of one group.
#[derive(Debug, Default)]
pub(super) struct Observations {
    latest: Vec<Option<Observation>>,
    /// Highest term in any answer or proposal.
    highest_term: Term,
}

/// Status answer and the time at which the query was sent.
#[derive(Clone, Copy, Debug)]
struct Observation {
    status: Status,
    asked: Instant,
}

impl Observations {
    /// Records an answer unless a later query has been answered already.
    ///
    /// An index of [`MAX_MEMBERS`] or more is ignored.
    pub(super) fn record(&mut self, member: usize, status: Status, asked: Instant) {
        if member >= MAX_MEMBERS {
            return;
        }
        if self.latest.len() <= member {
            self.latest.resize(member + 1, None);
        }
        let slot = &mut self.latest[member];
        if slot.is_none_or(|known| known.asked <= asked) {
            *slot = Some(Observation { status, asked });
        }
        self.record_term(status.fenced_term.max(status.received.term));
    }

    /// Records a term that has been seen or proposed.
    pub(super) fn record_term(&mut self, term: Term) {
        self.highest_term = self.highest_term.max(term);
    }

    pub(super) fn highest_term(&self) -> Term {
        self.highest_term
    }

    pub(super) fn status(&self, member: usize) -> Option<Status> {
        let answer = self.latest.get(member).copied().flatten();
        answer.map(|answer| answer.status)
    }

    pub(super) fn received(&self, member: usize) -> Position {
        self.status(member).unwrap_or_default().received
    }

    /// Returns the member that leads the highest term known, and the term.
    pub(super) fn leader(&self) -> Option<(usize, Term)> {
        let leads = |(member, answer): (usize, &Option<Observation>)| {
            let status = answer.as_ref()?.status;
            (status.role == Role::Primary).then_some((member, status.received.term))
        };
        let leaders = self.latest.iter().enumerate().filter_map(leads);
        leaders.max_by_key(|(_, term)| *term)
    }

    /// Returns the members that have answered a query sent less than `limit` ago.
    pub(super) fn recent(&self, now: Instant, limit: Duration) -> MemberSet {
        let latest = self.latest.iter().enumerate();
        latest
            .filter(|(_, answer)| answer.is_some_and(|a| now < a.asked + limit))
            .map(|(member, _)| member)
            .collect()
    }

    /// Returns true if more than half of the members other than `leader` have answered within
    /// `limit` that they have not heard from their primary for `limit`.
    pub(super) fn majority_lost_contact(
        &self,
        now: Instant,
        limit: Duration,
        quorum: Quorum,
        leader: MemberSet,
    ) -> bool {
        let followers = quorum.members().without(leader);
        let recent = self.recent(now, limit);
        let disconnected: MemberSet = followers
            .iter()
            .filter(|member| recent.contains(*member) && !self.heard_within(*member, limit))
            .collect();
        2 * disconnected.len() > followers.len()
    }

    /// Returns true if the replica has answered that it heard from its primary within `limit`.
    pub(super) fn heard_within(&self, member: usize, limit: Duration) -> bool {
        let contact_age = self
            .status(member)
            .and_then(|status| status.primary_contact_age);
        contact_age.is_some_and(|contact_age| contact_age <= limit)
    }

    /// Returns the highest fencing term of `members`.
    pub(super) fn highest_fence(&self, members: MemberSet) -> Term {
        let fences = members.iter().filter_map(|member| self.status(member));
        fences
            .map(|status| status.fenced_term)
            .max()
            .unwrap_or_default()
    }
}
