//! Tasks that keep the view of the store fresh and this instance listed in it.
//!
//! One long watch sees every change. In a data centre with many instances a few of them watch, and the
//! others follow one of these, so that calls to the store do not grow with the fleet. While the store
//! does not answer, or turns this instance away, the view comes from another instance, with its age.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use filbertbay_coordination::rendezvous;
use futures::future::join_all;
use rand::Rng;
use rand::seq::SliceRandom;
use slog::{debug, info, warn};

use crate::instance::Instance;
use crate::peer::Sight;
use crate::store::{Change, Changes, Error, ErrorKind, Lease, Listing, Swap};
use crate::view::{INSTANCE_PREFIX, Peer};

/// Longest wait of one watch. Its answer renews the tenure of an instance by itself, which is over
/// twice as long.
const WATCH_WAIT: Duration = Duration::from_millis(1_500);

/// Longest wait of a watch while the store was away the last time.
const PROBE_WAIT: Duration = Duration::from_millis(200);

/// Instances of a data centre up to which each watches the store itself.
const MANY: usize = 6;

/// Instances of a larger data centre that watch the store.
const WATCHERS: usize = 2;

/// Longest wait at a watcher. With the age of the watcher's own contact, 3 s at most, it stays below the
/// time for which an instance keeps primaries by itself.
const FOLLOW_WAIT: Duration = Duration::from_millis(500);

/// Age of a watcher's contact above which this instance watches the store itself.
const OLDEST_SIGHT: Duration = Duration::from_secs(3);

/// Time by which the store may end a watch too early by its own clock.
const WATCH_SLACK: Duration = Duration::from_millis(50);

/// Pause after a failed call to the store; half of it is random.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// Longest pause between two failed calls, while other instances tell what is new.
const LONGEST_PAUSE: Duration = Duration::from_millis(600);

/// Instances that are asked for their word beyond the half that is needed, as some may not answer.
const SPARE_WITNESSES: usize = 2;

/// Time to live of this instance's entry; as long as the permission to use primaries.
const ENTRY_TTL: Duration = Duration::from_secs(10);

/// Time between two renewals of the entry.
const RENEWAL: Duration = Duration::from_secs(3);

/// Time between two looks at entries that vanished.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(500);

/// Time without an entry after which this instance writes it anew.
const UNLISTED: Duration = Duration::from_millis(600);

/// Instances that are asked for their view before all others.
const FIRST_ASKED: usize = 2;

/// Spawns the tasks.
pub fn spawn(instance: &Rc<Instance>) {
    tokio::task::spawn_local(follow(Rc::clone(instance)));
    tokio::task::spawn_local(register(Rc::clone(instance)));
    tokio::task::spawn_local(expire(Rc::clone(instance)));
}

/// Lists the store and then watches it.
async fn follow(instance: Rc<Instance>) {
    let mut is_listed = false;
    let mut pause = RETRY_PAUSE;
    loop {
        if is_listed && follow_watcher(&instance).await {
            continue;
        }
        let asked = instance.now();
        let outcome = if is_listed {
            watch(&instance, asked).await
        } else {
            list(&instance, asked).await
        };
        match outcome {
            Ok(listed) => {
                is_listed = listed;
                pause = RETRY_PAUSE;
                note_store(&instance, None);
            }
            Err(error) => {
                note_store(&instance, Some(&error));
                pull(&instance).await;
                tokio::time::sleep(jittered(pause)).await;
                pause = (pause * 2).min(LONGEST_PAUSE);
            }
        }
    }
}

/// Follows a watcher of the data centre for a moment, and tells whether that took the place of a
/// watch of our own.
async fn follow_watcher(instance: &Rc<Instance>) -> bool {
    let Some(watcher) = some_watcher(instance) else {
        return false;
    };
    let asked = instance.now();
    let seen = instance.view.borrow().newest();
    let answer = instance.peers.follow(watcher, seen, FOLLOW_WAIT).await;
    let Ok(Some(sight)) = answer else {
        return false;
    };
    if sight.age > OLDEST_SIGHT {
        return false;
    }
    let waited = sight.items.is_none() && instance.now() >= asked + FOLLOW_WAIT;
    let stated = if waited {
        asked + FOLLOW_WAIT.saturating_sub(WATCH_SLACK)
    } else {
        asked
    };
    take_sight(instance, stated, sight, watcher);
    note_store(instance, None);
    true
}

/// Returns an instance of the data centre that watches the store; none if this one does.
fn some_watcher(instance: &Instance) -> Option<SocketAddr> {
    let settings = instance.settings();
    let view = instance.view.borrow();
    let mates = view.peers().iter();
    let mates = mates.filter(|(_, peer)| peer.data_centre == settings.data_centre);
    let mates: Vec<(&Arc<str>, &Peer)> = mates.collect();
    if mates.len() <= MANY {
        return None;
    }
    let ranked = rendezvous::rank("watchers", mates, |(name, _)| name);
    let watchers = &ranked[..WATCHERS];
    if watchers.iter().any(|(name, _)| **name == settings.name) {
        return None;
    }
    let choice = rand::rng().random_range(0..watchers.len());
    watchers.get(choice).map(|(_, peer)| peer.address)
}

async fn list(instance: &Rc<Instance>, asked: Instant) -> Result<bool, Error> {
    let listing = instance.drivers.store.list("").await?;
    info!(instance.log, "store listed"; "items" => listing.items.len(),
        "revision" => listing.revision);
    instance.take_listing(asked, listing);
    Ok(true)
}

async fn watch(instance: &Rc<Instance>, asked: Instant) -> Result<bool, Error> {
    let after = instance.view.borrow().revision();
    let wait = if instance.store_up.get() {
        WATCH_WAIT
    } else {
        PROBE_WAIT
    };
    match instance.drivers.store.watch("", after, wait).await? {
        Changes::Events(events, revision) => {
            // An answer without events was given at the end of the wait.
            let waited = instance.now() >= asked + wait && events.is_empty();
            let stated = if waited {
                asked + wait.saturating_sub(WATCH_SLACK)
            } else {
                asked
            };
            instance.take_events(stated, events, revision);
            Ok(true)
        }
        Changes::Compacted => {
            warn!(instance.log, "history of the store dropped"; "after" => after);
            Ok(false)
        }
    }
}

/// Logs when the store is lost and regained.
fn note_store(instance: &Instance, error: Option<&Error>) {
    let was_up = instance.store_up.replace(error.is_none());
    match error {
        Some(error) if was_up => {
            let age = instance
                .view
                .borrow()
                .primary_lease
                .contact_age(instance.now());
            warn!(instance.log, "store lost"; "error" => %error,
                "contact_age_ms" => age.map(|age| age.as_millis() as u64));
        }
        Some(error) => slog::debug!(instance.log, "store still away"; "error" => %error),
        None if !was_up => info!(instance.log, "store reached"),
        None => {}
    }
}

/// Takes the store as other instances see it, and notes when enough of them know nothing newer.
async fn pull(instance: &Rc<Instance>) {
    let asked = instance.now();
    let peers = some_peers(instance);
    // The first ones may bring a newer view, which the others then need not send again.
    let (first, rest) = peers.split_at(FIRST_ASKED.min(peers.len()));
    let mut answered = ask_all(instance, first).await;
    if peers.is_empty()
        || !instance
            .view
            .borrow()
            .primary_lease
            .needs_peer_confirmation(instance.now())
    {
        return;
    }
    let needed = peers.len().div_ceil(2);
    let some = (needed.saturating_sub(answered) + SPARE_WITNESSES).min(rest.len());
    let (near, far) = rest.split_at(some);
    answered += ask_all(instance, near).await;
    if answered < needed {
        answered += ask_all(instance, far).await;
    }
    if answered >= needed {
        instance
            .view
            .borrow_mut()
            .primary_lease
            .record_peer_confirmation(asked);
    }
}

/// Asks instances for their view and returns how many answered.
async fn ask_all(instance: &Rc<Instance>, peers: &[SocketAddr]) -> usize {
    let asked = instance.now();
    let seen = instance.view.borrow().newest();
    let answers = peers.iter().map(|peer| instance.peers.view(*peer, seen));
    let answers = join_all(answers).await;
    let mut answered = 0;
    for (peer, answer) in peers.iter().zip(answers) {
        if let Ok(Some(sight)) = answer {
            answered += 1;
            take_sight(instance, asked, sight, *peer);
        }
    }
    answered
}

fn take_sight(instance: &Rc<Instance>, asked: Instant, sight: Sight, from: SocketAddr) {
    let Some(known_at) = asked.checked_sub(sight.age) else {
        return;
    };
    match sight.items {
        Some(items) => {
            debug!(instance.log, "view taken from another instance"; "peer" => %from,
                "revision" => sight.revision, "age_ms" => sight.age.as_millis() as u64);
            let revision = sight.revision;
            instance.take_listing(known_at, Listing { items, revision });
        }
        None => instance.take_events(known_at, Vec::new(), 0),
    }
}

/// Returns the other instances, the nearest first; seeds if none is known.
fn some_peers(instance: &Instance) -> Vec<SocketAddr> {
    let settings = instance.settings();
    let view = instance.view.borrow();
    let others = view
        .peers()
        .iter()
        .filter(|(name, _)| **name != settings.name);
    let mut others: Vec<&Peer> = others.map(|(_, peer)| peer).collect();
    others.shuffle(&mut rand::rng());
    let region = settings.data_centres.get(&settings.data_centre);
    others.sort_by_key(|peer| {
        let is_local = peer.data_centre == settings.data_centre;
        (
            !is_local,
            settings.data_centres.get(&peer.data_centre) != region,
        )
    });
    let mut addresses: Vec<SocketAddr> = others.iter().map(|peer| peer.address).collect();
    if addresses.is_empty() {
        addresses.clone_from(&settings.seeds);
        addresses.retain(|address| *address != settings.peers);
        addresses.shuffle(&mut rand::rng());
    }
    addresses
}

/// Keeps this instance listed in the store.
async fn register(instance: Rc<Instance>) {
    loop {
        match enter(&instance).await {
            Ok(Some(lease)) => keep(&instance, lease).await,
            Ok(None) => {}
            Err(error) => {
                info!(instance.log, "entry of this instance not written"; "error" => %error);
            }
        }
        if instance.is_draining() {
            return;
        }
        tokio::time::sleep(jittered(RETRY_PAUSE)).await;
    }
}

async fn enter(instance: &Rc<Instance>) -> Result<Option<Lease>, Error> {
    let store = &instance.drivers.store;
    let lease = store.open_lease(ENTRY_TTL).await?;
    let settings = instance.settings();
    let peer = Peer {
        address: settings.peers,
        data_centre: Arc::clone(&settings.data_centre),
        incarnation: instance.incarnation,
    };
    let value = serde_json::to_vec(&peer)
        .map_err(|error| Error::new(ErrorKind::Refused, "swap", error.to_string()))?;
    let key = format!("{INSTANCE_PREFIX}{}", settings.name);
    let change = Change {
        key: &key,
        expected: None,
        value: Some(Bytes::from(value)),
        lease: Some(lease),
    };
    match store.swap(change).await? {
        Swap::Done(revision) => {
            info!(instance.log, "entry of this instance written"; "revision" => revision);
            Ok(Some(lease))
        }
        Swap::Conflict => Ok(None),
    }
}

/// Renews the entry until it has ended or the instance ends.
async fn keep(instance: &Rc<Instance>, lease: Lease) {
    let mut phase = instance.phase.subscribe();
    let mut unlisted_since: Option<Instant> = None;
    loop {
        tokio::select! {
            () = tokio::time::sleep(RENEWAL) => {}
            () = unlisted(instance, &mut unlisted_since) => {
                warn!(instance.log, "entry of this instance vanished");
                return;
            }
            _ = phase.wait_for(|phase| *phase != crate::instance::Phase::Serving) => return,
        }
        let renewed = instance.drivers.store.renew(lease).await;
        match renewed {
            Ok(()) => {}
            Err(error) if error.kind() == ErrorKind::Ended => {
                warn!(instance.log, "lease of this instance has ended");
                return;
            }
            Err(error) => {
                info!(instance.log, "lease of this instance not renewed"; "error" => %error);
                for address in some_peers(instance).into_iter().take(FIRST_ASKED) {
                    if instance.peers.vouch(address, lease).await == Ok(true) {
                        break;
                    }
                }
            }
        }
    }
}

/// Waits until the store has not listed this instance for a while.
async fn unlisted(instance: &Instance, since: &mut Option<Instant>) {
    loop {
        let now = instance.now();
        let name = Arc::clone(&instance.settings().name);
        let is_listed = {
            let view = instance.view.borrow();
            let own = view.peers().get(&name);
            own.is_some_and(|peer| peer.incarnation == instance.incarnation)
        };
        if is_listed || !instance.store_up.get() {
            *since = None;
        } else if now.saturating_duration_since(*since.get_or_insert(now)) >= UNLISTED {
            return;
        }
        tokio::time::sleep(EXPIRY_INTERVAL).await;
    }
}

/// Removes the entry of this instance, so that others need not wait for its lease.
pub async fn withdraw(instance: &Rc<Instance>) {
    let key = format!("{INSTANCE_PREFIX}{}", instance.settings().name);
    let revision = {
        let view = instance.view.borrow();
        view.item(&key).map(|item| item.revision)
    };
    let change = Change {
        key: &key,
        expected: revision,
        value: None,
        lease: None,
    };
    if let Err(error) = instance.drivers.store.swap(change).await {
        info!(instance.log, "entry of this instance not removed"; "error" => %error);
    }
}

/// Forgets endpoints whose entries stayed away.
async fn expire(instance: Rc<Instance>) {
    loop {
        tokio::time::sleep(EXPIRY_INTERVAL).await;
        let now = instance.now();
        let is_connected = instance.store_up.get();
        let gone = instance.view.borrow_mut().expire(now, is_connected);
        for id in &gone {
            info!(instance.log, "endpoint is gone"; "endpoint" => id.as_ref());
            instance.pool.remove(id);
        }
        if !gone.is_empty() {
            instance.view_changed.send_modify(|count| *count += 1);
        }
    }
}

/// Returns a time between half of `time` and all of it.
fn jittered(time: Duration) -> Duration {
    time.mul_f64(rand::rng().random_range(0.5..1.0))
}
