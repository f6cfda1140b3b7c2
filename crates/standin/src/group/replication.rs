//! Asynchronous replication from the primary that a member follows.

use std::sync::Arc;
use std::time::{Duration, Instant};

use super::member::Member;

/// Longest pause between two messages of a primary.
const HEARTBEAT: Duration = Duration::from_millis(5);

/// Pulls entries into the member with the given index, for as long as the group runs.
pub(crate) async fn run(members: Vec<Arc<Member>>, index: usize) {
    let replica = &members[index];
    let mut orders = replica.changes();
    loop {
        let upstream = replica.store().lock().upstream();
        let Some(primary) = upstream.map(|upstream| &members[upstream]) else {
            // An error would mean that the member is gone, which this task keeps alive.
            let _ = orders.changed().await;
            continue;
        };
        let mut changes = primary.changes();
        pull(replica, primary).await;
        replica.store().lock().apply_due(Instant::now());
        // Either a change or the heartbeat is due; both lead to the next message.
        let _ = tokio::time::timeout(HEARTBEAT, changes.changed()).await;
    }
}

async fn pull(replica: &Member, primary: &Member) {
    if !is_linked(replica, primary) {
        return;
    }
    let sent = Instant::now();
    let ends = replica.store().lock().term_ends();
    let Some(batch) = primary.store().lock().missing(&ends) else {
        return;
    };
    let network = replica.network();
    let latency = network.latency(primary.data_centre(), replica.data_centre());
    if !latency.is_zero() {
        tokio::time::sleep(latency).await;
    }
    if is_linked(replica, primary) {
        let now = Instant::now();
        replica.store().lock().receive(batch, sent, now);
    }
}

fn is_linked(replica: &Member, primary: &Member) -> bool {
    let cut = replica
        .network()
        .is_stream_cut(primary.end(), replica.end());
    !cut && !replica.is_stopped() && !primary.is_stopped()
}
