//! RPC service for peers, which forwards each call to an actor of the control thread.

use std::sync::Arc;
use std::time::{Duration, Instant};

use filbertbay_coordination::membership::MembershipUpdate;
use filbertbay_coordination::share::{Allocation, Message};
use filbertbay_protocol::peer::{Heartbeat, Peer, Relay};
use filbertbay_transport::peer::PeerPool;
use tarpc::context;
use xtra::Address;

use super::configuration::{self, ConfigurationActor};
use super::membership::{self, MembershipActor};
use crate::share::Shares;

/// Timeout of a probe that is relayed for a peer.
const RELAY_DEADLINE: Duration = Duration::from_millis(500);

/// RPC service for peers.
#[derive(Clone, Debug)]
pub(super) struct Service {
    pub(super) pool: Arc<PeerPool>,
    pub(super) membership: Address<MembershipActor>,
    pub(super) configuration: Address<ConfigurationActor>,
    pub(super) shares: Arc<Shares>,
}

impl Peer for Service {
    async fn probe(self, _: context::Context, heartbeat: Heartbeat) -> Option<Heartbeat> {
        self.membership
            .send(membership::ReceiveProbe(heartbeat))
            .await
            .ok()
            .flatten()
    }

    async fn relay(self, _: context::Context, relay: Relay) -> Option<Heartbeat> {
        let to = self
            .membership
            .send(membership::FindInstance(relay.to))
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
            .send(membership::GetTable)
            .await
            .unwrap_or_default()
    }

    async fn announce(self, _: context::Context, from: Arc<str>, version: u64) {
        let Ok(Some(from)) = self.membership.send(membership::FindInstance(from)).await else {
            return;
        };
        let _ = self
            .configuration
            .send(configuration::PeerVersion { from, version })
            .await;
    }

    async fn head(self, _: context::Context, above: u64) -> Option<Vec<u8>> {
        self.configuration
            .send(configuration::GetHead { newer_than: above })
            .await
            .ok()
            .flatten()
    }

    async fn part(self, _: context::Context, digest: Arc<str>) -> Option<Vec<u8>> {
        self.configuration
            .send(configuration::GetPart { digest })
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
