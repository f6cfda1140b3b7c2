//! Which members this instance holds seats of, and over which instances it forwards otherwise.
//!
//! For each member the live instances are ranked: those of the member's data centre first, then by
//! rendezvous hashing. The first ranks ask for seats; everyone forwards over them in that order. A
//! ranking only steers: the member gives the seats, and an instance without one says so.

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

/// Time between two looks at the ranking.
const INTERVAL: Duration = Duration::from_millis(500);

/// Ranks beyond the number of seats that ask for one too, in case that a better one is dead.
const SPARE: usize = 1;

/// Rankings of instances from what control publishes.
#[derive(Debug)]
pub struct Ranking {
    published: Arc<PublishedState>,
}

impl Ranking {
    /// Creates rankings that follow what control publishes.
    pub fn new(published: Arc<PublishedState>) -> Self {
        Self { published }
    }

    /// Returns the live instances in the order in which they should hold seats of a member.
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

impl pool::Directory for Ranking {
    fn forwards(&self, group: &str, member: &view::Member) -> Vec<SocketAddr> {
        let ranked = self.rank(group, &member.name, &member.data_centre);
        let own = &self.published.local_instance().name;
        let others = ranked.iter().filter(|instance| instance.name != *own);
        others.map(|instance| instance.forward_address).collect()
    }
}

/// Task that asks for seats; it ends when dropped.
#[derive(Debug)]
pub struct Handle(JoinHandle<()>);

impl Drop for Handle {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Starts to ask for the seats that this instance should hold, and to give up others.
pub fn spawn(pool: Arc<Pool>, published: Arc<PublishedState>) -> Handle {
    Handle(tokio::spawn(async move {
        let ranking = Ranking::new(Arc::clone(&published));
        loop {
            let snapshot = published.snapshot();
            // A draining instance keeps its seats until its work and that of others has ended.
            let count = if published.is_draining() {
                0
            } else {
                snapshot.members.len()
            };
            for index in 0..count {
                settle(&pool, &ranking, &snapshot, id::Member(index as u32));
            }
            sleep(INTERVAL).await;
        }
    }))
}

fn settle(pool: &Pool, ranking: &Ranking, snapshot: &Snapshot, id: id::Member) {
    let member = &snapshot[id];
    let group = &snapshot[member.group].name;
    let view = view(snapshot, member);
    let plan = Plan::for_connections(member.connections);
    let own = &ranking.published.local_instance().name;
    let ranked = ranking.rank(group, &view.name, &view.data_centre);
    let rank = ranked.iter().position(|instance| instance.name == *own);
    let wanted = plan.seats() as usize + SPARE;
    match rank.filter(|rank| *rank < wanted) {
        Some(rank) => pool.hold_seat(group, &view, plan, rank as u32),
        // A seat that was given is kept until the instance leaves.
        None => pool.stop_asking(group, &view),
    }
}

fn view(snapshot: &Snapshot, member: &snapshot::Member) -> view::Member {
    view::Member {
        name: Arc::clone(&member.name),
        data_centre: Arc::clone(&snapshot[member.data_centre].name),
        address: member.address,
        availability: Availability::In,
        observation: None,
    }
}
