//! Control messages between instances.
//!
//! Each call has a deadline, and a request id of the connection matches its response, so that
//! responses may arrive late or out of order. A heartbeat carries the protocol version of its
//! sender; an instance answers an unknown version with `None`.

use std::sync::Arc;
use std::time::Duration;

use filbertbay_coordination::membership::MembershipUpdate;
use filbertbay_coordination::share::{Allocation, Message};
use serde::{Deserialize, Serialize};

/// Version of the messages in this module.
pub const PROTOCOL_VERSION: u16 = 1;

/// State of an instance that each probe and each acknowledgement carries.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Protocol version of the sender, see [`PROTOCOL_VERSION`].
    pub protocol: u16,
    /// Membership state of the sender.
    pub from: MembershipUpdate,
    /// Configuration version in force at the sender.
    #[serde(rename = "version")]
    pub config_version: u64,
    /// Time since the last platform contact that the sender knows of, its own or another instance's;
    /// `None` if it knows of none.
    #[serde(rename = "platform_age")]
    pub platform_contact_age: Option<Duration>,
    /// Epoch of the rate allocation in use at the sender.
    #[serde(rename = "shares")]
    pub allocation_epoch: u64,
    /// Membership updates about other instances.
    #[serde(rename = "rumours")]
    pub updates: Vec<MembershipUpdate>,
}

/// Request to probe another instance on behalf of the sender.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Relay {
    /// Heartbeat of the sender, which the probe carries.
    pub heartbeat: Heartbeat,
    /// Name of the instance to probe.
    pub to: Arc<str>,
}

pub use self::service::{Peer, PeerClient, PeerRequest, PeerResponse, ServePeer};

#[allow(
    missing_docs,
    reason = "the macro documents neither its requests nor its responses"
)]
mod service {
    use super::{Allocation, Arc, Heartbeat, MembershipUpdate, Message, Relay};

    /// Calls that an instance serves for other instances.
    #[tarpc::service]
    pub trait Peer {
        /// Acknowledges a probe; `None` if the protocol version is unknown.
        async fn probe(heartbeat: Heartbeat) -> Option<Heartbeat>;

        /// Probes another instance on behalf of the sender and returns its acknowledgement, if any.
        async fn relay(relay: Relay) -> Option<Heartbeat>;

        /// Returns every instance that is present in the membership table of the callee.
        async fn members() -> Vec<MembershipUpdate>;

        /// Records the configuration version of the instance `from`.
        async fn announce(from: Arc<str>, version: u64);

        /// Returns the stored bytes of the configuration head if its version is higher than `above`.
        async fn head(above: u64) -> Option<Vec<u8>>;

        /// Returns the stored bytes of the configuration part with the given digest.
        async fn part(digest: Arc<str>) -> Option<Vec<u8>>;

        /// Delivers rate-limiter messages and returns the immediate replies.
        async fn share(from: Arc<str>, messages: Vec<Message>) -> Vec<Message>;

        /// Returns the rate allocation if its epoch is higher than `above`.
        async fn allocation(above: u64) -> Option<Allocation>;
    }
}
