//! What a member of a database group says about itself.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

use crate::position::{Position, Term};

/// Role that a member believes it has.
#[derive(
    Clone, Copy, Debug, Default, Eq, PartialEq, Hash, Serialize, Deserialize, Display, EnumString,
)]
#[serde(rename_all = "lowercase")]
#[strum(serialize_all = "lowercase")]
pub enum Role {
    /// Takes writes.
    Primary,
    /// Follows a primary.
    #[default]
    Replica,
}

/// What a member says about itself, read at one moment.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// Last entry in the member's log.
    pub received: Position,
    /// Last entry that reads see.
    pub applied: Position,
    /// Highest term that the member was fenced with or leads.
    #[serde(rename = "fenced")]
    pub fenced_term: Term,
    /// Role that the member believes it has.
    pub role: Role,
    /// Time since a replica last heard from its primary; reads are at most this much older than
    /// what was received.
    #[serde(rename = "heard")]
    pub primary_contact_age: Option<Duration>,
}
