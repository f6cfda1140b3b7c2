//! Ordinary statements on machines whose metrics nobody fetches. The process keeps a sample of every served
//! statement until the metrics are fetched.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use crate::client::Client;
use crate::daemon::{Daemon, Deployment};
use crate::member::Group;
use crate::store::Store;
use crate::{Stage, Verdict, config};

/// Memory of a machine: the least that the settings accept, so that 110 s are enough.
const MEMORY_MB: usize = 48;
const MAX_FDS: usize = 4_200;

/// Sessions that stand open and idle on each machine, with a session value each.
const IDLE_SESSIONS: usize = 1_200;
const VALUE_BYTES: usize = 7_900;

/// Sessions that run transactions of reads, one after the other.
const BUSY_SESSIONS: usize = 4;

/// Statements of a transaction (PROTOCOL.md: up to 12).
const STATEMENTS: usize = 12;

/// Interval at which metrics are fetched while an incident is examined (DEPLOY.md).
const FETCH_INTERVAL: Duration = Duration::from_secs(5);

const ZONES: [&str; 2] = ["quimper", "nantes"];
const ENDS: usize = 3;
const TIME: Duration = Duration::from_secs(105);
const CONTROL_TIME: Duration = Duration::from_secs(60);

pub fn run(stage: &Stage) -> Verdict {
    let record = &stage.record;
    let store = Store::start(record);
    let group = Group::start_fast("catalogue", &["quimper", "nantes", "caen"], 37, &store, record);
    let promoting = Arc::clone(&group);
    store.set_failover(Arc::new(move |service, id, _, _| promoting.promote(service, id)));
    // A route for callers without a key, to which no rate applies.
    let config = config(1, &["catalogue"], 37, &[("shop", "key-of-shop")]);
    store.put("op/config", &config.replace("\"anonymous\":false", "\"anonymous\":true"));
    let deployment = Deployment {
        store: store.address,
        failover: store.address,
        memory_mb: MEMORY_MB,
        max_fds: MAX_FDS,
        folder: stage.folder.clone(),
    };
    let deadline = Instant::now() + if stage.trouble { TIME } else { CONTROL_TIME };
    let mut daemons: Vec<Daemon> = ZONES
        .iter()
        .map(|zone| Daemon::start(&deployment, &format!("front-{zone}-1"), zone, record))
        .collect();
    let mut ends = Vec::new();
    std::thread::scope(|scope| {
        let watching = daemons.iter_mut().map(|daemon| scope.spawn(|| watch(stage, daemon, deadline)));
        let watching: Vec<_> = watching.collect();
        ends = watching.into_iter().map(|one| one.join().unwrap_or_else(|problem| std::panic::resume_unwind(problem))).collect();
    });
    if ends.iter().all(|ends| *ends >= ENDS) {
        return Verdict::Broken(format!(
            "Fault: processes ended {ENDS} times on each of {} machines, over their memory, without any disruption",
            ZONES.len()
        ));
    }
    record.say(&format!("ends of the processes: {ends:?}"));
    Verdict::Held
}

/// Runs the load on a machine until its process has ended [`ENDS`] times, and returns how often it did.
fn watch(stage: &Stage, daemon: &mut Daemon, deadline: Instant) -> usize {
    let record = &stage.record;
    let mut ends = 0;
    while ends < ENDS && Instant::now() < deadline {
        daemon.wait_until_ready();
        std::thread::sleep(Duration::from_millis(1_500));
        let limit = Duration::from_secs(10);
        let value = "v".repeat(VALUE_BYTES);
        let mut idle = Vec::new();
        for number in 0..IDLE_SESSIONS {
            if let Ok(mut client) = Client::open(daemon.callers, "own-catalogue", "-", limit)
                && client.query(&format!("i{number}"), &format!("SET time_zone {value}")).is_ok()
            {
                idle.push(client);
            }
        }
        record.say(&format!("{}: {} idle sessions, {} MiB resident of {MEMORY_MB}", daemon.name, idle.len(), daemon.resident_kib() >> 10));
        let stop = AtomicBool::new(false);
        let served = AtomicU64::new(0);
        let mut peak = 0;
        std::thread::scope(|scope| {
            for number in 0..BUSY_SESSIONS {
                let (daemon, stop, served) = (&*daemon, &stop, &served);
                scope.spawn(move || work(daemon, number, stop, served));
            }
            let started_at = Instant::now();
            let (mut fetched_at, mut noted_at) = (started_at, started_at);
            while Instant::now() < deadline && peak <= MEMORY_MB {
                std::thread::sleep(Duration::from_millis(50));
                peak = peak.max(daemon.resident_kib() >> 10);
                if !stage.trouble && fetched_at.elapsed() >= FETCH_INTERVAL {
                    fetched_at = Instant::now();
                    let bytes = fetch(daemon);
                    record.line(&format!("{}: metrics fetched, {bytes} bytes", daemon.name));
                }
                if noted_at.elapsed() >= FETCH_INTERVAL {
                    noted_at = Instant::now();
                    let served = served.load(Ordering::Relaxed);
                    record.line(&format!("{}: {served} statements served, {} KiB resident", daemon.name, daemon.resident_kib()));
                }
            }
            stop.store(true, Ordering::Relaxed);
        });
        let served = served.load(Ordering::Relaxed);
        record.say(&format!("{}: {served} statements served, at most {peak} MiB resident of {MEMORY_MB}", daemon.name));
        drop(idle);
        if peak > MEMORY_MB {
            // The platform kills a process that exceeds its memory, and starts it again.
            ends += 1;
            daemon.kill();
            record.say(&format!("{}: over its memory, end {ends} of this process", daemon.name));
            std::thread::sleep(Duration::from_millis(300));
            daemon.spawn();
        }
    }
    ends
}

/// Runs transactions of reads until `stop`.
fn work(daemon: &Daemon, number: usize, stop: &AtomicBool, served: &AtomicU64) {
    let Ok(mut client) = Client::open(daemon.callers, "own-catalogue", "-", Duration::from_secs(10)) else {
        return;
    };
    let mut count = 0_u64;
    while !stop.load(Ordering::Relaxed) {
        let mut texts = vec!["BEGIN READ"];
        texts.extend([const { "READ 1a4" }; STATEMENTS]);
        texts.push("COMMIT");
        for text in texts {
            count += 1;
            match client.query(&format!("b{number}x{count}"), text) {
                Ok(answer) => {
                    served.fetch_add(u64::from(answer.is_success()), Ordering::Relaxed);
                }
                Err(_) => return,
            }
        }
    }
}

/// Fetches the metrics, and returns their length.
fn fetch(daemon: &Daemon) -> usize {
    let Ok(mut stream) = TcpStream::connect_timeout(&daemon.metrics, Duration::from_secs(1)) else {
        return 0;
    };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(2)));
    let request = "GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
    let mut answer = Vec::new();
    let sent = stream.write_all(request.as_bytes()).and_then(|()| stream.read_to_end(&mut answer));
    sent.unwrap_or(0)
}
