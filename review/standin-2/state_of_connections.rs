//! Clients prepare large statements, run each once and deallocate it. The statements stay in the memory of
//! the instance, with its connections to the members.

use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::client::Client;
use crate::daemon::{Daemon, Deployment};
use crate::member::Group;
use crate::store::Store;
use crate::{Stage, Verdict, config};

/// Memory and descriptors of a machine of armor-etang.
const MEMORY_MB: usize = 260;
const MAX_FDS: usize = 4_200;

/// Longest shape of a prepared statement: a message has 1 MiB at most.
const SHAPE_BYTES: usize = (1 << 20) - 128;

/// Statements that a session prepares, one after the other.
const STATEMENTS: usize = 128;

/// Databases, as on armor-etang.
const SERVICES: [&str; 3] = ["catalogue-a", "catalogue-b", "catalogue-c"];

/// Machines, and the times that each may end before the rule is broken.
const MACHINES: usize = 2;
const ENDS: usize = 3;

const TIME: Duration = Duration::from_secs(90);

pub fn run(stage: &Stage) -> Verdict {
    let record = &stage.record;
    let store = Store::start(record);
    let groups: Vec<Arc<Group>> = SERVICES
        .iter()
        .map(|service| Group::start(service, &["quimper", "nantes", "caen"], 16, &[0, 0, 0], &store, record))
        .collect();
    store.set_failover(Arc::new(move |service, id, _, _| {
        let answers = groups.iter().map(|group| group.promote(service, id));
        answers.min().unwrap_or(409)
    }));
    store.put("op/config", &config(1, &SERVICES, 16, &[("shop", "key-of-shop")]));
    let deployment = Deployment {
        store: store.address,
        failover: store.address,
        memory_mb: MEMORY_MB,
        max_fds: MAX_FDS,
        folder: stage.folder.clone(),
    };
    let zones = ["quimper", "nantes"];
    let mut daemons: Vec<Daemon> = (0..MACHINES)
        .map(|index| Daemon::start(&deployment, &format!("front-{}-1", zones[index]), zones[index], record))
        .collect();
    let started_at = Instant::now();
    let mut ends = [0; MACHINES];
    for (index, daemon) in daemons.iter_mut().enumerate() {
        daemon.wait_until_ready();
        std::thread::sleep(Duration::from_millis(500));
        record.say(&format!("{}: ready, {} MiB resident", daemon.name, daemon.resident_kib() >> 10));
        while ends[index] < ENDS && started_at.elapsed() < TIME {
            let peak = play(stage, daemon, ends[index]);
            record.say(&format!("{}: {} MiB resident of {MEMORY_MB}", daemon.name, peak >> 10));
            if peak >> 10 <= MEMORY_MB && daemon.ended().is_none() {
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
        return Verdict::Broken(format!("Fault: processes ended {ENDS} times on each of {MACHINES} machines, over their memory"));
    }
    Verdict::Held
}

/// Plays one session after the other, each at another database, and returns the highest resident memory
/// in KiB.
fn play(stage: &Stage, daemon: &mut Daemon, round: usize) -> usize {
    let record = &stage.record;
    let mut peak = 0;
    for (session, service) in SERVICES.iter().enumerate() {
        let database = format!("primary-{service}");
        let client = Client::open(daemon.callers, &database, "key-of-shop", Duration::from_secs(5));
        let mut client = match client {
            Ok(client) => client,
            Err(problem) => {
                record.line(&format!("client: {database} not opened: {problem}"));
                continue;
            }
        };
        let (mut served, mut refused) = (0, 0);
        for number in 0..STATEMENTS {
            let length = if stage.trouble { SHAPE_BYTES } else { 63 };
            let shape = format!("{:x}", number + 256).repeat(length / 3);
            let texts = [
                format!("PREPARE s1 WRITE {shape}"),
                format!("EXECUTE s1 1a{number} lily"),
                "DEALLOCATE s1".to_owned(),
            ];
            for (step, text) in texts.iter().enumerate() {
                let id = format!("{}{round}{session}{number:02x}{step}", daemon.name);
                match client.query(&id, text) {
                    Ok(answer) if answer.result.is_ok() => served += usize::from(step == 1),
                    Ok(answer) => {
                        refused += 1;
                        record.line(&format!("client: {id} answered {}", answer.describe()));
                    }
                    Err(problem) => {
                        record.line(&format!("client: {id}: {problem}"));
                        return peak.max(daemon.resident_kib());
                    }
                }
            }
            peak = peak.max(daemon.resident_kib());
            if peak >> 10 > MEMORY_MB {
                record.line(&format!("client: {database}: {served} statements served, {refused} refused"));
                return peak;
            }
        }
        record.line(&format!("client: {database}: {served} statements served, {refused} refused, {} MiB", peak >> 10));
    }
    peak
}
