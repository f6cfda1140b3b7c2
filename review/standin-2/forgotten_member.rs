//! A service whose commits one replica must have received. One replica receives nothing for a while and the
//! primary crashes, while the other replica is down. Both come back with their logs.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::client::Client;
use crate::daemon::{Daemon, Deployment};
use crate::member::Group;
use crate::store::Store;
use crate::{Stage, Verdict, config};

const ZONES: [&str; 3] = ["quimper", "nantes", "caen"];

/// Time by which replicas are behind the primary.
const LAGS_MS: [u64; 3] = [0, 20, 20];

/// Time for which members are down, the longest of `srv_crash` in the site files.
const DOWN: Duration = Duration::from_secs(7);

/// Time for which a replica has received nothing when the primary crashes.
const DEAF: Duration = Duration::from_secs(2);

const WRITE_INTERVAL: Duration = Duration::from_millis(25);

const PRIMARY: usize = 0;
const DEAF_REPLICA: usize = 1;
const DOWN_REPLICA: usize = 2;

pub fn run(stage: &Stage) -> Verdict {
    let record = &stage.record;
    let store = Store::start(record);
    let group = Group::start("catalogue", &ZONES, 16, &LAGS_MS, &store, record);
    group.sync_replicas.store(1, Ordering::SeqCst);
    let promoting = Arc::clone(&group);
    store.set_failover(Arc::new(move |service, id, _, _| promoting.promote(service, id)));
    let config = config(1, &["catalogue"], 16, &[("shop", "key-of-shop")]);
    store.put("op/config", &config.replace("\"sync_replicas\":0", "\"sync_replicas\":1"));
    let deployment = Deployment {
        store: store.address,
        failover: store.address,
        memory_mb: 260,
        max_fds: 4_200,
        folder: stage.folder.clone(),
    };
    let daemons: Vec<Daemon> = ZONES
        .iter()
        .map(|zone| Daemon::start(&deployment, &format!("front-{zone}-1"), zone, record))
        .collect();
    daemons.iter().for_each(Daemon::wait_until_ready);
    std::thread::sleep(Duration::from_millis(2_500));

    let stop = AtomicBool::new(false);
    let acknowledged: Mutex<HashMap<String, Instant>> = Mutex::default();
    let sent = AtomicUsize::new(0);
    std::thread::scope(|scope| {
        for (index, daemon) in daemons.iter().enumerate() {
            let (stop, acknowledged, sent, record) = (&stop, &acknowledged, &sent, record.clone());
            scope.spawn(move || {
                let (mut number, mut client) = (0, None);
                while !stop.load(Ordering::Relaxed) {
                    std::thread::sleep(WRITE_INTERVAL);
                    if client.is_none() {
                        let opened = Client::open(daemon.callers, "primary-catalogue", "key-of-shop", Duration::from_secs(5));
                        client = opened.map_err(|problem| record.line(&format!("client {index}: {problem}"))).ok();
                    }
                    let Some(session) = &mut client else { continue };
                    number += 1;
                    let id = format!("c{index}w{number}");
                    sent.fetch_add(1, Ordering::Relaxed);
                    match session.query(&id, &format!("WRITE {id} lily")) {
                        Ok(answer) => {
                            record.line(&format!("client {index}: {id} answered {}", answer.describe()));
                            if answer.is_success() {
                                acknowledged.lock().unwrap().insert(id, Instant::now());
                            }
                        }
                        Err(problem) => {
                            record.line(&format!("client {index}: {id}: {problem}"));
                            client = None;
                        }
                    }
                }
            });
        }
        std::thread::sleep(Duration::from_secs(3));
        record.say("one replica receives nothing for a while");
        group.set_deaf(DEAF_REPLICA, true);
        std::thread::sleep(DEAF);
        if stage.trouble {
            record.say("the other replica crashes, and so does the primary");
            group.crash(DOWN_REPLICA);
        } else {
            record.say("the primary crashes");
        }
        group.crash(PRIMARY);
        group.set_deaf(DEAF_REPLICA, false);
        std::thread::sleep(DOWN);
        group.restart(PRIMARY);
        if stage.trouble {
            group.restart(DOWN_REPLICA);
        }
        record.say("the members are back with their logs");
        std::thread::sleep(Duration::from_secs(6));
        stop.store(true, Ordering::Relaxed);
    });
    std::thread::sleep(Duration::from_millis(500));

    let acknowledged = acknowledged.lock().unwrap();
    let mut worst = 0;
    for promotion in group.promotions.lock().unwrap().iter() {
        let before = acknowledged.iter().filter(|(_, at)| **at < promotion.at);
        let missing = before.filter(|(id, _)| !promotion.log.contains(*id)).count();
        worst = worst.max(missing);
        record.say(&format!(
            "promotion of {} to term {}: {missing} writes that were acknowledged before are not in its log",
            promotion.member, promotion.term
        ));
    }
    let primary = group.primary();
    let lost = acknowledged.keys().filter(|id| !group.holds(primary, id)).count();
    record.say(&format!(
        "{} writes sent, {} acknowledged, {lost} of these are not in the log of the last primary",
        sent.load(Ordering::Relaxed),
        acknowledged.len()
    ));
    if worst > 0 {
        return Verdict::Broken(format!("LOST: {worst} acknowledged commits are not in the log of the promoted member"));
    }
    Verdict::Held
}
