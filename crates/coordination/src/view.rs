//! View that an instance has of a database group.
//!
//! The control plane builds a view from the status answers of the members and publishes it as a
//! whole to the data plane. A view is only used to route statements; each decider verifies its
//! safety conditions itself.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use filbertbay_state::document::Availability;
use filbertbay_state::position::{Position, Term};
use filbertbay_state::status::Status;

/// View of a database group.
#[derive(Clone, Debug)]
pub struct Group {
    /// Name of the group.
    pub name: Arc<str>,
    /// Term of [`Group::primary`].
    pub term: Term,
    /// Index into [`Group::members`] of the member that leads `term`, if one is known.
    pub primary: Option<usize>,
    /// Members in a stable order: the index of a member does not change while the instance runs.
    ///
    /// Members that a patch has removed stay here with [`Availability::Out`].
    pub members: Vec<Member>,
    /// Whether new writes are held back because a planned switchover is in progress.
    pub is_switching_over: bool,
    /// Confirmed positions of the primary, oldest first.
    pub watermarks: Vec<Watermark>,
}

/// Limit of watermarks in a view; older watermarks are thinned out.
pub const MAX_WATERMARKS: usize = 64;

/// Position of a primary, proven by a round of status queries.
///
/// Every write that the group acknowledged before `asked` is at or before `position`. The data of a
/// member that has applied `position` is therefore at most as old as the time since `asked`.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Watermark {
    /// When the queries of the round were sent.
    pub asked: Instant,
    /// Position in the primary's answer.
    pub position: Position,
}

impl Group {
    /// Adds a watermark, and drops every other one of the older half above [`MAX_WATERMARKS`].
    ///
    /// A watermark that is not newer than the last one is ignored.
    pub fn push_watermark(&mut self, watermark: Watermark) {
        if self
            .watermarks
            .last()
            .is_some_and(|last| last.asked >= watermark.asked)
        {
            return;
        }
        self.watermarks.push(watermark);
        if self.watermarks.len() > MAX_WATERMARKS {
            let mut index = 0;
            self.watermarks.retain(|_| {
                index += 1;
                index > MAX_WATERMARKS / 2 || index % 2 == 0
            });
        }
    }

    /// Returns the index of the member with this name.
    pub fn member(&self, name: &str) -> Option<usize> {
        self.members.iter().position(|m| m.name.as_ref() == name)
    }

    /// Returns an upper bound of the position that the named member had applied at `moment`.
    ///
    /// The bound is the position in the member's last status answer if that query was sent at
    /// `moment` or later, else the first watermark queried since then, because no member is ahead
    /// of a confirmed primary. Returns `None` if there is neither.
    pub fn position_bound(&self, name: &str, moment: Instant) -> Option<Position> {
        let member = self.members.iter().find(|m| m.name.as_ref() == name);
        let observation = member.and_then(|member| member.observation);
        let recent = observation.filter(|observation| observation.asked >= moment);
        let watermark = self
            .watermarks
            .iter()
            .find(|watermark| watermark.asked >= moment);
        recent
            .map(|observation| observation.status.applied)
            .or(watermark.map(|watermark| watermark.position))
    }

    /// Returns the maximum age of a member's data at `now`, or `None` if the member has applied no
    /// watermark.
    pub fn data_age(&self, member: usize, now: Instant) -> Option<Duration> {
        let applied = self.members.get(member)?.observation?.status.applied;
        let newest_applied = self
            .watermarks
            .iter()
            .rev()
            .find(|watermark| watermark.position <= applied)?;
        Some(now.saturating_duration_since(newest_applied.asked))
    }
}

/// View of one member of a group.
#[derive(Clone, Debug)]
pub struct Member {
    /// Name of the member.
    pub name: Arc<str>,
    /// Data centre of the member.
    pub data_centre: Arc<str>,
    /// Address of the member.
    pub address: SocketAddr,
    /// Whether operators allow new work on the member and in its data centre.
    pub availability: Availability,
    /// Latest status answer of the member, if any.
    pub observation: Option<Observation>,
}

/// Status answer of a member and the time at which the query was sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Observation {
    /// Status in the answer.
    pub status: Status,
    /// When the query was sent; the status is at least as recent.
    pub asked: Instant,
}
