//! Clients without a key: long names of databases that don't exist, and long keys on a route that needs none.

use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::client::Client;
use crate::daemon::{Daemon, Deployment};
use crate::member::Group;
use crate::store::Store;
use crate::{Stage, Verdict, config};

const MEMORY_MB: usize = 260;
const MAX_FDS: usize = 4_200;
const TEXT_BYTES: usize = (1 << 20) - 128;

/// Sessions that stay open, of the 3,600 that the settings allow.
const SESSIONS: usize = 400;

const TIME: Duration = Duration::from_secs(20);

pub fn run(stage: &Stage, keeps_sessions: bool) -> Verdict {
    let record = &stage.record;
    let store = Store::start(record);
    let group = Group::start("catalogue", &["quimper", "nantes", "caen"], 16, &[0, 0, 0], &store, record);
    let promoting = Arc::clone(&group);
    store.set_failover(Arc::new(move |service, id, _, _| promoting.promote(service, id)));
    let config = config(1, &["catalogue"], 16, &[("shop", "key-of-shop")]);
    store.put("op/config", &config.replace("\"anonymous\":false", "\"anonymous\":true"));
    let deployment = Deployment {
        store: store.address,
        failover: store.address,
        memory_mb: MEMORY_MB,
        max_fds: MAX_FDS,
        folder: stage.folder.clone(),
    };
    let daemon = Daemon::start(&deployment, "front-quimper-1", "quimper", record);
    daemon.wait_until_ready();
    let length = if stage.trouble { TEXT_BYTES } else { 63 };
    let text = "{\"lily\":\"red\"}".repeat(length / 14);
    let limit = Duration::from_secs(10);
    let end = Instant::now() + TIME;
    let (mut peak, mut opened, mut refused, mut sessions) = (0, 0, 0, Vec::new());
    while Instant::now() < end && peak <= MEMORY_MB && opened < SESSIONS {
        let session = if keeps_sessions {
            Client::open(daemon.callers, "primary-catalogue", &text, limit)
        } else {
            Client::open(daemon.callers, &text, "-", limit)
        };
        match session {
            Ok(session) => {
                opened += 1;
                sessions.push(session);
            }
            Err(_) => refused += 1,
        }
        peak = peak.max(daemon.resident_kib() >> 10);
    }
    record.say(&format!("{opened} sessions open, {refused} refused, {peak} MiB resident of {MEMORY_MB}"));
    if peak > MEMORY_MB {
        return Verdict::Broken(format!("the process exceeds its memory with {peak} MiB"));
    }
    Verdict::Held
}
