//! Task that carries questions and orders to one member, one at a time.

use std::sync::Arc;
use std::time::Instant;

use filbertbay_coordination::authority::confirm::Round;
use filbertbay_coordination::authority::failover;
use filbertbay_protocol::endpoint::{Endpoint, Order};
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;
use xtra::WeakAddress;

use super::{Answered, Group, Ordered};

/// Orders that wait for a member at most; more are dropped like those whose answer is lost.
const MAX_ORDERS: usize = 8;

/// Way to one member; dropping it ends the task.
#[derive(Debug)]
pub(super) struct Link {
    questions: watch::Sender<Round>,
    orders: mpsc::Sender<(failover::Order, Order)>,
    task: JoinHandle<()>,
}

impl Link {
    pub(super) fn spawn(
        address: WeakAddress<Group>,
        member: usize,
        endpoint: Arc<dyn Endpoint>,
    ) -> Self {
        let (questions, rounds) = watch::channel(Round::default());
        let (orders, ordered) = mpsc::channel(MAX_ORDERS);
        let carrier = Carrier {
            address,
            member,
            endpoint,
        };
        let task = tokio::spawn(carrier.run(rounds, ordered));
        Self {
            questions,
            orders,
            task,
        }
    }

    /// Asks for the status in a round.
    ///
    /// A question that has not left yet is replaced: its answer serves the earlier rounds too.
    pub(super) fn ask(&self, round: Round) {
        self.questions.send_replace(round);
    }

    /// Sends an order.
    pub(super) fn order(&self, order: failover::Order, sent: Order) {
        // A full queue means that the member does not answer; the decider expects lost orders.
        let _ = self.orders.try_send((order, sent));
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.task.abort();
    }
}

struct Carrier {
    address: WeakAddress<Group>,
    member: usize,
    endpoint: Arc<dyn Endpoint>,
}

impl Carrier {
    async fn run(
        self,
        mut rounds: watch::Receiver<Round>,
        mut orders: mpsc::Receiver<(failover::Order, Order)>,
    ) {
        loop {
            let is_alive = tokio::select! {
                biased;
                Some((order, sent)) = orders.recv() => self.order(order, &sent).await,
                Ok(()) = rounds.changed() => {
                    let round = *rounds.borrow_and_update();
                    self.ask(round).await
                }
                else => return,
            };
            if !is_alive {
                return;
            }
        }
    }

    async fn ask(&self, round: Round) -> bool {
        let asked = Instant::now();
        let Ok(status) = self.endpoint.status().await else {
            return self.address.is_connected();
        };
        let member = self.member;
        let answer = Answered {
            member,
            round,
            asked,
            status,
        };
        self.address.send(answer).await.is_ok()
    }

    async fn order(&self, order: failover::Order, sent: &Order) -> bool {
        let answer = self.endpoint.order(sent).await;
        let answer = answer.map_err(|error| error.kind());
        let member = self.member;
        let answer = Ordered {
            member,
            order,
            answer,
        };
        self.address.send(answer).await.is_ok()
    }
}
