//! Control messages between instances.
//!
//! Each call carries a deadline and is matched to its answer by a request id of the link, so that
//! answers may come late or crossed. A message names the protocol version that its sender speaks;
//! an instance answers a version that it does not know with nothing.

use std::sync::Arc;
use std::time::Duration;

use filbertbay_coordination::membership::MembershipUpdate;
use filbertbay_coordination::share::{Allocation, Message};
use serde::{Deserialize, Serialize};

/// Version of the messages in this module.
pub const PROTOCOL_VERSION: u16 = 1;

/// What an instance tells another one with each probe and each answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Version of the messages, see [`PROTOCOL_VERSION`].
    pub protocol: u16,
    /// The sender itself.
    pub from: MembershipUpdate,
    /// Configuration version that is in force at the sender.
    #[serde(rename = "version")]
    pub config_version: u64,
    /// Time since the platform answered the sender or an instance that it heard of.
    #[serde(rename = "platform_age")]
    pub platform_contact_age: Option<Duration>,
    /// Epoch of the record of shares that is in use at the sender.
    #[serde(rename = "shares")]
    pub allocation_epoch: u64,
    /// Rumours about other instances.
    #[serde(rename = "rumours")]
    pub updates: Vec<MembershipUpdate>,
}

/// Request to probe another instance in the sender's place.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Relay {
    /// The sender.
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

    /// Calls that an instance answers to other instances.
    #[tarpc::service]
    pub trait Peer {
        /// Answers a probe.
        async fn probe(heartbeat: Heartbeat) -> Option<Heartbeat>;

        /// Probes another instance for the sender and returns its answer.
        async fn relay(relay: Relay) -> Option<Heartbeat>;

        /// Returns every instance that the answering one holds to be present.
        async fn members() -> Vec<MembershipUpdate>;

        /// Takes note of the configuration version of an instance.
        async fn announce(from: Arc<str>, version: u64);

        /// Returns the configuration head as stored, if its version is above the given one.
        async fn head(above: u64) -> Option<Vec<u8>>;

        /// Returns the configuration part of the given digest as stored.
        async fn part(digest: Arc<str>) -> Option<Vec<u8>>;

        /// Hands over messages about shares and returns those that answer them at once.
        async fn share(from: Arc<str>, messages: Vec<Message>) -> Vec<Message>;

        /// Returns the record of holders of shares, if its epoch is above the given one.
        async fn allocation(above: u64) -> Option<Allocation>;
    }
}
