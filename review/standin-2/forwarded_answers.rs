//! Clients of an instance that forwards its statements ask for large items and don't read the answers.

use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::client::Client;
use crate::daemon::{Daemon, Deployment};
use crate::member::Group;
use crate::store::Store;
use crate::{Stage, Verdict, config};

const MEMORY_MB: usize = 260;
const MAX_FDS: usize = 4_200;
const ITEM_BYTES: usize = (1 << 20) - 128;
const CLIENTS: usize = 200;
const AHEAD: usize = 10;

pub fn run(stage: &Stage) -> Verdict {
    let record = &stage.record;
    let store = Store::start(record);
    let conns: usize = std::env::var("CONNS").ok().and_then(|c| c.parse().ok()).unwrap_or(5);
    let group = Group::start("catalogue", &["quimper", "nantes", "caen"], conns, &[0, 0, 0], &store, record);
    let promoting = Arc::clone(&group);
    store.set_failover(Arc::new(move |service, id, _, _| promoting.promote(service, id)));
    store.put("op/config", &config(1, &["catalogue"], conns, &[("shop", "key-of-shop")]));
    let deployment = Deployment {
        store: store.address,
        failover: store.address,
        memory_mb: MEMORY_MB,
        max_fds: MAX_FDS,
        folder: stage.folder.clone(),
    };
    let mut daemons: Vec<Daemon> = ["quimper", "nantes", "caen"]
        .iter()
        .map(|zone| Daemon::start(&deployment, &format!("front-{zone}-1"), zone, record))
        .collect();
    daemons.iter().for_each(Daemon::wait_until_ready);
    std::thread::sleep(Duration::from_millis(2500));
    let at: usize = std::env::var("AT").ok().and_then(|c| c.parse().ok()).unwrap_or(1);
    let limit = Duration::from_secs(5);
    let length = if stage.trouble { ITEM_BYTES } else { 63 };
    let mut writer = Client::open(daemons[0].callers, "primary-catalogue", "key-of-shop", limit).unwrap();
    println!("{}", writer.query("w1", &format!("WRITE big {}", "x".repeat(length))).unwrap().describe());
    let mut crowd = Vec::new();
    let mut peak = 0;
    for number in 0..CLIENTS {
        if let Ok(mut client) = Client::open(daemons[at].callers, "primary-catalogue", "key-of-shop", limit) {
            for ahead in 0..AHEAD {
                let _ = client.send(&format!("QUERY r{number}x{ahead} READ big"));
            }
            crowd.push(client);
        }
        std::thread::sleep(Duration::from_millis(30));
        let now = daemons[at].resident_kib() >> 10;
        peak = peak.max(now);
        if number % 20 == 0 {
            record.say(&format!("{number} clients, {now} MiB, others {} {}", daemons[0].resident_kib() >> 10, daemons[2].resident_kib() >> 10));
        }
    }
    let end = Instant::now() + Duration::from_secs(5);
    while Instant::now() < end {
        peak = peak.max(daemons[at].resident_kib() >> 10);
        std::thread::sleep(Duration::from_millis(20));
    }
    println!("peak {peak} {:?} others {} {}", daemons[at].ended(), daemons[0].resident_kib() >> 10, daemons[2].resident_kib() >> 10);
    if peak > MEMORY_MB { Verdict::Broken(format!("{peak} MiB")) } else { Verdict::Held }
}
