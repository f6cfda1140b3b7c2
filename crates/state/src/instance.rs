//! Entry instances as they announce themselves to the platform and to each other.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

/// Whether an instance takes part.
#[derive(
    Clone, Copy, Debug, Default, Eq, PartialEq, Hash, Serialize, Deserialize, Display, EnumString,
)]
#[serde(rename_all = "lowercase")]
#[strum(serialize_all = "lowercase")]
pub enum Presence {
    /// Takes new work.
    #[default]
    Live,
    /// Finishes what runs.
    Leaving,
}

/// Instance of the fleet, as it announces itself.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Instance {
    /// Name, unique in the fleet.
    pub name: Arc<str>,
    /// Number that grows with each start of the instance: milliseconds since 1970 at its start.
    pub incarnation: u64,
    /// Data centre that the instance runs in.
    pub data_centre: Arc<str>,
    /// Address that callers connect to.
    #[serde(rename = "callers")]
    pub caller_address: SocketAddr,
    /// Address that other instances send control messages to.
    #[serde(rename = "peers")]
    pub peer_address: SocketAddr,
    /// Address that other instances forward statements to.
    #[serde(rename = "forwards")]
    pub forward_address: SocketAddr,
    /// Whether the instance takes part.
    pub presence: Presence,
}
