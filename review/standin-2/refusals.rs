//! Clients execute statements that they have not prepared, under long names. Each is refused, and the refusal
//! is logged with the whole name. The records wait for the writer of the log, whose queue is bounded by their
//! number and not by their bytes.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use crate::client::Client;
use crate::daemon::{Daemon, Deployment};
use crate::member::Group;
use crate::store::Store;
use crate::{Stage, Verdict, config};

/// Memory and descriptors of a machine of armor-etang.
const MEMORY_MB: usize = 260;
const MAX_FDS: usize = 4_200;

/// Length of the names: a message has 1 MiB at most.
const NAME_BYTES: usize = (1 << 20) - 128;

/// Clients at a time, each with one session.
const CLIENTS: usize = 2;

/// Time of one round; the record of a machine that stays within its memory ends then.
const ROUND: Duration = Duration::from_secs(12);

const ZONES: [&str; 2] = ["quimper", "nantes"];
const ENDS: usize = 3;
const TIME: Duration = Duration::from_secs(90);

pub fn run(stage: &Stage) -> Verdict {
    let record = &stage.record;
    let store = Store::start(record);
    let group = Group::start("catalogue", &["quimper", "nantes", "caen"], 16, &[0, 0, 0], &store, record);
    let promoting = Arc::clone(&group);
    store.set_failover(Arc::new(move |service, id, _, _| promoting.promote(service, id)));
    store.put("op/config", &config(1, &["catalogue"], 16, &[("shop", "key-of-shop")]));
    let deployment = Deployment {
        store: store.address,
        failover: store.address,
        memory_mb: MEMORY_MB,
        max_fds: MAX_FDS,
        folder: stage.folder.clone(),
    };
    let mut daemons: Vec<Daemon> = ZONES
        .iter()
        .map(|zone| Daemon::start(&deployment, &format!("front-{zone}-1"), zone, record))
        .collect();
    let started_at = Instant::now();
    let mut ends = [0; ZONES.len()];
    for (index, daemon) in daemons.iter_mut().enumerate() {
        daemon.wait_until_ready();
        std::thread::sleep(Duration::from_millis(500));
        record.say(&format!("{}: ready, {} MiB resident", daemon.name, daemon.resident_kib() >> 10));
        while ends[index] < ENDS && started_at.elapsed() < TIME {
            let peak = play(stage, daemon);
            record.say(&format!("{}: {peak} MiB resident of {MEMORY_MB}", daemon.name));
            if peak <= MEMORY_MB {
                break;
            }
            // The platform kills a process that exceeds its memory, and starts it again.
            ends[index] += 1;
            daemon.kill();
            record.say(&format!("{}: over its memory, end {} of this process", daemon.name, ends[index]));
            std::thread::sleep(Duration::from_millis(300));
            daemon.spawn();
            daemon.wait_until_ready();
        }
    }
    if ends.iter().all(|ends| *ends >= ENDS) {
        return Verdict::Broken(format!(
            "Fault: processes ended {ENDS} times on each of {} machines, over their memory",
            ZONES.len()
        ));
    }
    Verdict::Held
}

/// Plays one round, and returns the highest resident memory in MiB.
fn play(stage: &Stage, daemon: &Daemon) -> usize {
    let record = &stage.record;
    let stop = AtomicBool::new(false);
    let refused = AtomicUsize::new(0);
    let mut peak = 0;
    std::thread::scope(|scope| {
        for number in 0..CLIENTS {
            let (stop, refused, record) = (&stop, &refused, record.clone());
            scope.spawn(move || {
                let length = if stage.trouble { NAME_BYTES } else { 63 };
                let name = "{\"lily\":\"red\"}".repeat(length / 14);
                let opened = Client::open(daemon.callers, "primary-catalogue", "key-of-shop", Duration::from_secs(10));
                let Ok(mut client) = opened else { return };
                let mut count = 0;
                while !stop.load(Ordering::Relaxed) {
                    count += 1;
                    match client.query(&format!("n{number}x{count}"), &format!("EXECUTE {name} 1a4")) {
                        Ok(answer) => {
                            refused.fetch_add(1, Ordering::Relaxed);
                            if count % 20 == 1 {
                                let described = answer.describe();
                                record.line(&format!("client {number}: statement {count} answered {described}"));
                            }
                        }
                        Err(problem) => {
                            record.line(&format!("client {number}: statement {count}: {problem}"));
                            return;
                        }
                    }
                    if !stage.trouble {
                        std::thread::sleep(Duration::from_millis(5));
                    }
                }
            });
        }
        let end = Instant::now() + ROUND;
        while Instant::now() < end && peak <= MEMORY_MB {
            peak = peak.max(daemon.resident_kib() >> 10);
            std::thread::sleep(Duration::from_millis(20));
        }
        stop.store(true, Ordering::Relaxed);
    });
    record.line(&format!("{}: {} statements refused", daemon.name, refused.load(Ordering::Relaxed)));
    peak
}
