//! Task that sends status queries and orders to one member, one at a time.

use std::sync::Arc;
use std::time::Instant;

use filbertbay_coordination::authority::confirm::Round;
use filbertbay_coordination::authority::failover;
use filbertbay_protocol::endpoint::{Endpoint, Order};
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;
use xtra::WeakAddress;

use super::{GroupActor, OrderAnswered, StatusReceived};

/// Maximum number of queued orders to a member; further ones are dropped, as if they were lost.
const MAX_ORDERS: usize = 8;

/// Handle to the task of one member, which ends when the handle is dropped.
#[derive(Debug)]
pub(super) struct MemberHandle {
    rounds: watch::Sender<Round>,
    orders: mpsc::Sender<(failover::Order, Order)>,
    task: JoinHandle<()>,
}

impl MemberHandle {
    pub(super) fn spawn(
        address: WeakAddress<GroupActor>,
        member: usize,
        endpoint: Arc<dyn Endpoint>,
    ) -> Self {
        let (rounds, round_receiver) = watch::channel(Round::default());
        let (orders, order_receiver) = mpsc::channel(MAX_ORDERS);
        let member_task = MemberTask {
            address,
            member,
            endpoint,
        };
        let task = tokio::spawn(member_task.run(round_receiver, order_receiver));
        Self {
            rounds,
            orders,
            task,
        }
    }

    /// Requests the member's status for a round.
    ///
    /// Replaces a request that has not been sent yet: the response to a later round also answers
    /// earlier rounds.
    pub(super) fn request_status(&self, round: Round) {
        self.rounds.send_replace(round);
    }

    /// Queues an order for the member; `order` identifies it in the result.
    pub(super) fn send_order(&self, order: failover::Order, endpoint_order: Order) {
        // A full queue means that the member does not respond. The decider tolerates lost orders.
        let _ = self.orders.try_send((order, endpoint_order));
    }
}

impl Drop for MemberHandle {
    fn drop(&mut self) {
        self.task.abort();
    }
}

struct MemberTask {
    address: WeakAddress<GroupActor>,
    member: usize,
    endpoint: Arc<dyn Endpoint>,
}

impl MemberTask {
    async fn run(
        self,
        mut rounds: watch::Receiver<Round>,
        mut orders: mpsc::Receiver<(failover::Order, Order)>,
    ) {
        loop {
            let is_connected = tokio::select! {
                biased;
                Some((order, endpoint_order)) = orders.recv() => {
                    self.execute_order(order, &endpoint_order).await
                }
                Ok(()) = rounds.changed() => {
                    let round = *rounds.borrow_and_update();
                    self.query_status(round).await
                }
                else => return,
            };
            if !is_connected {
                return;
            }
        }
    }

    async fn query_status(&self, round: Round) -> bool {
        let asked = Instant::now();
        let Ok(status) = self.endpoint.status().await else {
            return self.address.is_connected();
        };
        let member = self.member;
        let message = StatusReceived {
            member,
            round,
            asked,
            status,
        };
        self.address.send(message).await.is_ok()
    }

    async fn execute_order(&self, order: failover::Order, endpoint_order: &Order) -> bool {
        let result = self.endpoint.order(endpoint_order).await;
        let result = result.map_err(|error| error.kind());
        let member = self.member;
        let message = OrderAnswered {
            member,
            order,
            result,
        };
        self.address.send(message).await.is_ok()
    }
}
