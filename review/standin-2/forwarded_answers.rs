//! Clients of an instance that forwards its statements ask for large items and don't read the answers. The
//! instance charges rows that it receives from members to its memory budget, but not rows that it
//! receives from the egress instance.

use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::client::Client;
use crate::daemon::{Daemon, Deployment};
use crate::member::Group;
use crate::store::Store;
use crate::{Stage, Verdict, config};

const MEMORY_MB: usize = 260;
const MAX_FDS: usize = 4_200;

/// Length of the item: a message has 1 MiB at most.
const ITEM_BYTES: usize = (1 << 20) - 128;

/// Clients, and the reads that each sends ahead.
const CLIENTS: usize = 200;
const AHEAD: usize = 10;

/// Connections of a member. Fewer than two an instance are held by egress instances.
const MAX_CONNECTIONS: usize = 5;

const ZONES: [&str; 3] = ["quimper", "nantes", "caen"];

pub fn run(stage: &Stage) -> Verdict {
    let record = &stage.record;
    let store = Store::start(record);
    let group = Group::start("catalogue", &ZONES, MAX_CONNECTIONS, &[0, 0, 0], &store, record);
    let promoting = Arc::clone(&group);
    store.set_failover(Arc::new(move |service, id, _, _| promoting.promote(service, id)));
    store.put("op/config", &config(1, &["catalogue"], MAX_CONNECTIONS, &[("shop", "key-of-shop")]));
    let deployment = Deployment {
        store: store.address,
        failover: store.address,
        memory_mb: MEMORY_MB,
        max_fds: MAX_FDS,
        folder: stage.folder.clone(),
    };
    let daemons: Vec<Daemon> = ZONES
        .iter()
        .map(|zone| Daemon::start(&deployment, &format!("front-{zone}-1"), zone, record))
        .collect();
    daemons.iter().for_each(Daemon::wait_until_ready);
    std::thread::sleep(Duration::from_millis(2_500));
    let limit = Duration::from_secs(5);
    let length = if stage.trouble { ITEM_BYTES } else { 63 };
    let open = |index: usize| Client::open(daemons[index].callers, "primary-catalogue", "key-of-shop", limit);
    let written = open(0).and_then(|mut client| client.query("w1", &format!("WRITE big {}", "x".repeat(length))));
    match written {
        Ok(answer) if answer.is_success() => {}
        other => crate::cannot_run(&format!("the item was not written: {other:?}")),
    }
    // The primary is in the first zone, whose instance is its egress instance; the clients use the second.
    let mut crowd = Vec::new();
    let mut peak = 0;
    for number in 0..CLIENTS {
        if let Ok(mut client) = open(1) {
            for ahead in 0..AHEAD {
                // Fails if the instance has closed the connection.
                let _ = client.send(&format!("QUERY r{number}x{ahead} READ big"));
            }
            crowd.push(client);
        }
        std::thread::sleep(Duration::from_millis(30));
        peak = peak.max(daemons[1].resident_kib() >> 10);
    }
    let end = Instant::now() + Duration::from_secs(3);
    while Instant::now() < end {
        peak = peak.max(daemons[1].resident_kib() >> 10);
        std::thread::sleep(Duration::from_millis(20));
    }
    record.say(&format!("{} clients, {peak} MiB resident of {MEMORY_MB}", crowd.len()));
    if peak > MEMORY_MB {
        return Verdict::Broken(format!("the process exceeds its memory with {peak} MiB"));
    }
    Verdict::Held
}
