//! A primary is replaced as planned while the platform's promotion call is slow for a moment. The first order
//! gets no answer in time, and takes effect after another member was promoted by a second one.

use std::collections::HashSet;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::client::Client;
use crate::daemon::{Daemon, Deployment};
use crate::member::Group;
use crate::store::Store;
use crate::{Stage, Verdict, config};

/// Delay of a replica behind the primary; SYSTEM.md states 60 ms, with a tail to 360 ms in the site file.
const LAGS_MS: [u64; 3] = [0, 60, 300];

/// Time for which the promotion call is slow, and time that it takes then.
const SLOW_FOR: Duration = Duration::from_millis(1_500);
const SLOW_CALL: Duration = Duration::from_millis(3_500);

/// Time between two writes of a client.
const WRITE_INTERVAL: Duration = Duration::from_millis(25);

const ZONES: [&str; 3] = ["quimper", "nantes", "caen"];

pub fn run(stage: &Stage) -> Verdict {
    let record = &stage.record;
    let store = Store::start(record);
    let group = Group::start("catalogue", &ZONES, 16, &LAGS_MS, &store, record);
    let slow_until: Arc<Mutex<Option<Instant>>> = Arc::default();
    let (promoting, slow) = (Arc::clone(&group), Arc::clone(&slow_until));
    let slow_record = record.clone();
    store.set_failover(Arc::new(move |service, id, _, _| {
        let is_slow = slow.lock().unwrap().is_some_and(|until| Instant::now() < until);
        if is_slow {
            slow_record.line(&format!("cloud: slow, executes the order for {id} in {} ms", SLOW_CALL.as_millis()));
            std::thread::sleep(SLOW_CALL);
        }
        promoting.promote(service, id)
    }));
    store.put("op/config", &config(1, &["catalogue"], 16, &[("shop", "key-of-shop")]));
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
    let acknowledged: Mutex<HashSet<String>> = Mutex::default();
    let sent = AtomicUsize::new(0);
    std::thread::scope(|scope| {
        for (index, daemon) in daemons.iter().enumerate() {
            let (stop, acknowledged, sent, record) = (&stop, &acknowledged, &sent, record.clone());
            scope.spawn(move || {
                let mut number = 0;
                let mut client = None;
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
                                acknowledged.lock().unwrap().insert(id);
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
        if stage.trouble {
            *slow_until.lock().unwrap() = Some(Instant::now() + SLOW_FOR);
            record.say("the promotion call of the platform turns slow");
        }
        group.drain(0);
        record.say("the primary reports that it drains, as in a release");
        std::thread::sleep(Duration::from_secs(12));
        stop.store(true, Ordering::Relaxed);
    });
    std::thread::sleep(Duration::from_millis(500));

    let acknowledged = acknowledged.lock().unwrap();
    let promotions = group.promotions.lock().unwrap();
    let commits = group.commits.lock().unwrap();
    for promotion in promotions.iter() {
        record.say(&format!("promotion of {} to term {}", promotion.member, promotion.term));
    }
    let late: Vec<_> = commits
        .iter()
        .filter(|run| promotions.iter().any(|one| one.term > run.term && one.at < run.at))
        .collect();
    let broken = late.iter().filter(|run| acknowledged.contains(&run.id));
    let broken: Vec<_> = broken.collect();
    let primary = group.primary();
    let lost = acknowledged.iter().filter(|id| !group.holds(primary, id)).count();
    record.say(&format!(
        "{} writes sent, {} acknowledged, {} committed at a former primary after a promotion took effect, {} of these acknowledged; \
         {lost} acknowledged writes are not in the log of the last primary",
        sent.load(Ordering::Relaxed),
        acknowledged.len(),
        late.len(),
        broken.len()
    ));
    if let Some(first) = broken.first() {
        record.say(&format!("first: {} as {}.{} at {}", first.id, first.term, first.number, first.member));
        return Verdict::Broken(format!("ONE: {} acknowledged writes were committed at the old primary", broken.len()));
    }
    Verdict::Held
}
