//! Selection of the members that this instance requests seats of, and of the instances that it
//! forwards statements through otherwise.
//!
//! For each member the live instances are ranked: those in the member's data centre first, then by
//! rendezvous hashing. The highest ranks request seats; all instances forward through them in that
//! order. The ranking is only a hint: the member grants the seats, and an instance without a seat
//! refuses forwarded statements.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use filbertbay_coordination::rendezvous;
use filbertbay_coordination::seat::Plan;
use filbertbay_coordination::view;
use filbertbay_state::document::Availability;
use filbertbay_state::instance::{Instance, Presence};
use filbertbay_state::snapshot::Snapshot;
use filbertbay_state::{id, snapshot};
use tokio::task::JoinHandle;
use tokio::time::sleep;

use crate::pool::{self, Pool};
use crate::published::PublishedState;

/// Interval between two evaluations of the ranking.
const RANKING_INTERVAL: Duration = Duration::from_millis(500);

/// Instances ranked beyond the number of seats that request one too, in case a higher rank is dead.
const SPARE_CANDIDATES: usize = 1;

/// Ranks the live instances as seat holders of a member, from the published state.
#[derive(Debug)]
pub struct SeatRanking {
    published: Arc<PublishedState>,
}

impl SeatRanking {
    /// Creates a ranking that follows the published state.
    pub fn new(published: Arc<PublishedState>) -> Self {
        Self { published }
    }

    /// Returns the live instances in descending preference as seat holders of a member.
    fn rank(&self, group: &str, member: &str, data_centre: &str) -> Vec<Instance> {
        let instances = self.published.instances();
        let live = instances
            .iter()
            .filter(|instance| instance.presence == Presence::Live);
        let key = format!("{group}/{member}");
        let mut ranked = rendezvous::rank(&key, live.cloned(), |instance| &instance.name);
        ranked.sort_by_key(|instance| instance.data_centre.as_ref() != data_centre);
        ranked
    }
}

impl pool::ForwardDirectory for SeatRanking {
    fn forward_addresses(&self, group: &str, member: &view::Member) -> Vec<SocketAddr> {
        let ranked = self.rank(group, &member.name, &member.data_centre);
        let local = &self.published.local_instance().name;
        let peers = ranked.iter().filter(|instance| instance.name != *local);
        peers.map(|instance| instance.forward_address).collect()
    }
}

/// Handle of the task that requests seats; dropping it ends the task.
#[derive(Debug)]
pub struct Handle(JoinHandle<()>);

impl Drop for Handle {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Spawns a task that requests the seats that this instance ranks for, and cancels its other
/// requests.
pub fn spawn(pool: Arc<Pool>, published: Arc<PublishedState>) -> Handle {
    Handle(tokio::spawn(async move {
        let ranking = SeatRanking::new(Arc::clone(&published));
        loop {
            let snapshot = published.snapshot();
            // A draining instance keeps its seats until its own and forwarded work has finished.
            let count = if published.is_draining() {
                0
            } else {
                snapshot.members.len()
            };
            for index in 0..count {
                update_request(&pool, &ranking, &snapshot, id::Member(index as u32));
            }
            sleep(RANKING_INTERVAL).await;
        }
    }))
}

/// Requests a seat of a member, or cancels the request, according to this instance's rank.
fn update_request(pool: &Pool, ranking: &SeatRanking, snapshot: &Snapshot, id: id::Member) {
    let member = &snapshot[id];
    let group = &snapshot[member.group].name;
    let view = member_view(snapshot, member);
    let plan = Plan::for_connections(member.connections);
    let local = &ranking.published.local_instance().name;
    let ranked = ranking.rank(group, &view.name, &view.data_centre);
    let rank = ranked.iter().position(|instance| instance.name == *local);
    let candidates = plan.seats() as usize + SPARE_CANDIDATES;
    match rank.filter(|rank| *rank < candidates) {
        Some(rank) => pool.request_seat(group, &view, plan, rank as u32),
        // A seat that was granted is kept until the instance shuts down.
        None => pool.cancel_seat_request(group, &view),
    }
}

/// Returns a configured member as a view member that is available and has no observation.
fn member_view(snapshot: &Snapshot, member: &snapshot::Member) -> view::Member {
    view::Member {
        name: Arc::clone(&member.name),
        data_centre: Arc::clone(&snapshot[member.data_centre].name),
        address: member.address,
        availability: Availability::In,
        observation: None,
    }
}
