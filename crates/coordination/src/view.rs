//! What an instance knows about a database group.
//!
//! A view is built by control from the answers of members and is published to traffic as a whole.
//! It steers where statements run; what must hold is proved again by each decider.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use filbertbay_state::document::Availability;
use filbertbay_state::position::{Position, Term};
use filbertbay_state::status::Status;

/// Database group as an instance sees it.
#[derive(Clone, Debug)]
pub struct Group {
    /// Name of the group.
    pub name: Arc<str>,
    /// Term of [`Group::primary`].
    pub term: Term,
    /// Index into [`Group::members`] of the member that leads `term`, if one is known.
    pub primary: Option<usize>,
    /// Members in a stable order: an index keeps its meaning while the instance runs.
    ///
    /// Members that a patch has removed stay here with [`Availability::Out`].
    pub members: Vec<Member>,
    /// Whether new writes are held back at the entry, because the lead is being moved.
    pub is_switching_over: bool,
    /// Positions that a confirmed primary had, oldest first; see [`Watermark`].
    pub watermarks: Vec<Watermark>,
}

/// Marks that a view keeps; of older ones fewer are kept than of recent ones.
pub const MAX_WATERMARKS: usize = 64;

/// Position that a primary had, proven by a round of questions.
///
/// All that was acknowledged in the group before `asked` lies at or before `position`. A member
/// that has applied `position` is therefore at most as old as the time since `asked`.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Watermark {
    /// When the questions of the round left.
    pub asked: Instant,
    /// Position that the primary answered.
    pub position: Position,
}

impl Group {
    /// Adds a mark and thins out the older half when there are too many.
    ///
    /// A mark that is older than the last one is dropped.
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

    /// Returns the index of a member by its name.
    pub fn member(&self, name: &str) -> Option<usize> {
        self.members.iter().position(|m| m.name.as_ref() == name)
    }

    /// Returns a position that the named member can't have passed at `moment`.
    ///
    /// The member's own answer gives it if the question left at `moment` or later, and so does a
    /// mark of that age, for no member is ahead of a confirmed primary.
    pub fn position_bound(&self, name: &str, moment: Instant) -> Option<Position> {
        let own = self.members.iter().find(|m| m.name.as_ref() == name);
        let own = own.and_then(|member| member.observation);
        let own = own.filter(|observation| observation.asked >= moment);
        let watermark = self
            .watermarks
            .iter()
            .find(|watermark| watermark.asked >= moment);
        own.map(|observation| observation.status.applied)
            .or(watermark.map(|watermark| watermark.position))
    }

    /// Returns how old the data of a member can be at `now`, if a mark tells.
    pub fn data_age(&self, member: usize, now: Instant) -> Option<Duration> {
        let applied = self.members.get(member)?.observation?.status.applied;
        let reached = self
            .watermarks
            .iter()
            .rev()
            .find(|m| m.position <= applied)?;
        Some(now.saturating_duration_since(reached.asked))
    }
}

/// Member of a group as an instance sees it.
#[derive(Clone, Debug)]
pub struct Member {
    /// Name of the member.
    pub name: Arc<str>,
    /// Data centre that the member lies in.
    pub data_centre: Arc<str>,
    /// Address of the member.
    pub address: SocketAddr,
    /// Whether operators let the member take new work, itself and its data centre.
    pub availability: Availability,
    /// Last answer of the member, if it ever answered.
    pub observation: Option<Observation>,
}

/// Answer of a member and the moment at which it was asked.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Observation {
    /// What the member answered.
    pub status: Status,
    /// When the question left, so that the answer is never older than this says.
    pub asked: Instant,
}
