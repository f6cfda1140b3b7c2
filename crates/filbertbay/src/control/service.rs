//! Answers to the calls of other instances.

use std::sync::Arc;
use std::time::{Duration, Instant};

use filbertbay_coordination::membership::MembershipUpdate;
use filbertbay_coordination::share::{Allocation, Message};
use filbertbay_protocol::peer::{Heartbeat, Peer, Relay};
use filbertbay_transport::peer::PeerPool;
use tarpc::context;
use xtra::Address;

use super::configuration::{self, Configuration};
use super::membership::{self, Membership};
use crate::share::Shares;

/// Longest wait for the answer of a probe that is sent on for another instance.
const RELAY_DEADLINE: Duration = Duration::from_millis(500);

/// Answers calls by asking the actors of the control thread.
#[derive(Clone, Debug)]
pub(super) struct Service {
    pub(super) pool: Arc<PeerPool>,
    pub(super) membership: Address<Membership>,
    pub(super) configuration: Address<Configuration>,
    pub(super) shares: Arc<Shares>,
}

impl Peer for Service {
    async fn probe(self, _: context::Context, heartbeat: Heartbeat) -> Option<Heartbeat> {
        self.membership
            .send(membership::Probed(heartbeat))
            .await
            .ok()
            .flatten()
    }

    async fn relay(self, _: context::Context, relay: Relay) -> Option<Heartbeat> {
        let to = self
            .membership
            .send(membership::Find(relay.to))
            .await
            .ok()
            .flatten()?;
        let heartbeat = relay.heartbeat;
        self.pool
            .call(
                to.peer_address,
                RELAY_DEADLINE,
                |client, context| async move { client.probe(context, heartbeat).await },
            )
            .await
            .ok()
            .flatten()
    }

    async fn members(self, _: context::Context) -> Vec<MembershipUpdate> {
        self.membership
            .send(membership::Members)
            .await
            .unwrap_or_default()
    }

    async fn announce(self, _: context::Context, from: Arc<str>, version: u64) {
        let Ok(Some(from)) = self.membership.send(membership::Find(from)).await else {
            return;
        };
        let _ = self
            .configuration
            .send(configuration::Heard { from, version })
            .await;
    }

    async fn head(self, _: context::Context, above: u64) -> Option<Vec<u8>> {
        self.configuration
            .send(configuration::Head { above })
            .await
            .ok()
            .flatten()
    }

    async fn part(self, _: context::Context, digest: Arc<str>) -> Option<Vec<u8>> {
        self.configuration
            .send(configuration::Part { digest })
            .await
            .ok()
            .flatten()
    }

    async fn share(
        self,
        _: context::Context,
        from: Arc<str>,
        messages: Vec<Message>,
    ) -> Vec<Message> {
        self.shares.receive(Instant::now(), &from, &messages)
    }

    async fn allocation(self, _: context::Context, above: u64) -> Option<Allocation> {
        let allocation = self.shares.allocation();
        (allocation.epoch > above).then(|| Allocation::clone(&allocation))
    }
}
