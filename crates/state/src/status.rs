//! Status that a member of a database group reports, which failure detection and read routing use.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

use crate::position::{Position, Term};

/// Role that a member reports; two members may both report to be primary during a failover.
#[derive(
    Clone, Copy, Debug, Default, Eq, PartialEq, Hash, Serialize, Deserialize, Display, EnumString,
)]
#[serde(rename_all = "lowercase")]
#[strum(serialize_all = "lowercase")]
pub enum Role {
    /// Accepts writes.
    Primary,
    /// Replicates the log of a primary.
    #[default]
    Replica,
}

/// Status of a member at one moment.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// Position of the last entry in the member's log.
    pub received: Position,
    /// Position of the last applied entry, which is the last one visible to reads.
    pub applied: Position,
    /// Highest term that the member was fenced with, or in which the member is primary.
    #[serde(rename = "fenced")]
    pub fenced_term: Term,
    /// Role that the member reports.
    pub role: Role,
    /// Time since a replica last received a message from its primary.
    ///
    /// Data read from the replica is at most this much older than the log that it has received.
    #[serde(rename = "heard")]
    pub primary_contact_age: Option<Duration>,
}
