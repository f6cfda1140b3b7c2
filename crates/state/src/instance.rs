//! Proxy instances as they announce themselves to the platform and to each other.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

/// Whether an instance accepts new work or is shutting down.
#[derive(
    Clone, Copy, Debug, Default, Eq, PartialEq, Hash, Serialize, Deserialize, Display, EnumString,
)]
#[serde(rename_all = "lowercase")]
#[strum(serialize_all = "lowercase")]
pub enum Presence {
    /// Accepts new work.
    #[default]
    Live,
    /// Finishes the work in flight and accepts no new work.
    Leaving,
}

/// Announcement of an instance: its identity, addresses and presence.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Instance {
    /// Name, unique in the fleet.
    pub name: Arc<str>,
    /// Start time of the instance, in milliseconds since 1970; a later start has a higher number.
    pub incarnation: u64,
    /// Data centre that the instance runs in.
    pub data_centre: Arc<str>,
    /// Address on which the instance accepts caller connections.
    #[serde(rename = "callers")]
    pub caller_address: SocketAddr,
    /// Address on which the instance accepts control messages of other instances.
    #[serde(rename = "peers")]
    pub peer_address: SocketAddr,
    /// Address on which the instance accepts statements that other instances forward.
    #[serde(rename = "forwards")]
    pub forward_address: SocketAddr,
    /// Whether the instance accepts new work or is shutting down.
    pub presence: Presence,
}
