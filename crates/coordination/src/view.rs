//! What an instance knows about a database group.
//!
//! A view is built by control from the answers of members and is published to traffic as a whole.
//! It steers where statements run; what must hold is proved again by each decider.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use filbertbay_state::document::Availability;
use filbertbay_state::position::Term;
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
    /// Members in the order of their names.
    pub members: Vec<Member>,
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
