//! Tasks that keep the view of the store up to date and this instance's entry in the store.
//!
//! A long-polling watch reports every change. In a data centre with many instances only a few watch
//! the store and the rest follow one of these, so that calls to the store do not grow with the fleet.
//! While the store does not answer or refuses this instance, snapshots of the view, with their age,
//! come from other instances.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use filbertbay_coordination::rendezvous;
use futures::FutureExt;
use futures::future::{LocalBoxFuture, join_all};
use rand::Rng;
use rand::seq::{IndexedRandom, SliceRandom};
use slog::{debug, info, warn};

use crate::era;
use crate::instance::Instance;
use crate::peer::ViewSnapshot;
use crate::store::{
    ConditionalWrite, Error, ErrorKind, Lease, Listing, WatchResult, WriteOutcome, era_of,
};
use crate::task;
use crate::view::{INSTANCE_PREFIX, InstanceEntry};

/// Longest wait of one watch. Its answer renews the primary lease without confirmation by peers,
/// which is more than twice as long.
const WATCH_WAIT: Duration = Duration::from_millis(1_500);

/// Longest wait of a watch after a failed call, so that the return of the store is noticed soon.
const RECONNECT_WATCH_WAIT: Duration = Duration::from_millis(200);

/// Number of instances of a data centre up to which each watches the store itself.
const MAX_DIRECT_WATCHERS: usize = 6;

/// Number of instances that watch the store in a larger data centre.
const WATCHERS: usize = 2;

/// Longest wait of a call that follows a watcher. Together with the age of the watcher's contact with
/// the store, 3 s at most, it stays below the primary lease without confirmation by peers.
const FOLLOW_WAIT: Duration = Duration::from_millis(500);

/// Age of a watcher's snapshot above which this instance watches the store itself.
const MAX_SNAPSHOT_AGE: Duration = Duration::from_secs(3);

/// Least time between the starts of two watches of a large fleet, in which changes in quick
/// succession, such as the entries of instances that start, are read together.
const MIN_WATCH_INTERVAL: Duration = Duration::from_millis(150);

/// Tolerance for a watch that ends early because the store's clock differs.
const WATCH_SLACK: Duration = Duration::from_millis(50);

/// Delay after the first failed call to the store; up to half of it is subtracted as jitter.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// Upper limit of the backoff between failed calls, during which peers supply the view.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(600);

/// Peers queried for confirmation beyond the half that is needed, since some may not answer.
const EXTRA_CONFIRMATIONS: usize = 2;

/// Time to live of this instance's entry, equal to the longest primary lease.
const ENTRY_TTL: Duration = Duration::from_secs(10);

/// Interval between two renewals of the entry's lease.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(3);

/// Interval at which removed entries are checked.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(500);

/// Time without an entry after which this instance writes it again.
const REWRITE_AFTER: Duration = Duration::from_millis(600);

/// Number of peers queried first; their answers may spare the rest from sending the same items.
const FIRST_BATCH: usize = 2;

/// Spawns the tasks that follow the store, keep the entry and remove expired endpoints.
pub fn spawn(instance: &Rc<Instance>) {
    let run = |name, start: fn(Rc<Instance>) -> LocalBoxFuture<'static, ()>| {
        let shared = Rc::clone(instance);
        task::spawn(&instance.log, name, move || start(Rc::clone(&shared)));
    };
    run("sync", |instance| sync(instance).boxed_local());
    run("register", |instance| register(instance).boxed_local());
    run("expire", |instance| expire_loop(instance).boxed_local());
}

/// Lists the store and then watches it, or follows a watcher; falls back to peers on errors.
async fn sync(instance: Rc<Instance>) {
    let mut is_listed = false;
    let mut delay = RETRY_DELAY;
    loop {
        if is_listed && follow_watcher(&instance).await {
            continue;
        }
        let queried_at = instance.now();
        let outcome = if is_listed {
            watch(&instance, queried_at).await
        } else {
            list(&instance, queried_at).await
        };
        match outcome {
            Ok(listed) => {
                is_listed = listed;
                delay = RETRY_DELAY;
                log_store_state(&instance, None);
                if is_large_fleet(&instance) {
                    let took = instance.now().saturating_duration_since(queried_at);
                    tokio::time::sleep(MIN_WATCH_INTERVAL.saturating_sub(took)).await;
                }
            }
            Err(error) => {
                log_store_state(&instance, Some(&error));
                pull_from_peers(&instance).await;
                tokio::time::sleep(jittered(delay)).await;
                delay = (delay * 2).min(MAX_RETRY_DELAY);
            }
        }
    }
}

/// Waits for one snapshot from a watcher of the data centre. Returns false if this instance has to
/// watch the store itself.
async fn follow_watcher(instance: &Rc<Instance>) -> bool {
    let Some(watcher) = choose_watcher(instance) else {
        return false;
    };
    let queried_at = instance.now();
    let known = instance.view.borrow().extent();
    let answer = instance.peers.follow(watcher, known, FOLLOW_WAIT).await;
    let Ok(Some(snapshot)) = answer else {
        return false;
    };
    if snapshot.age > MAX_SNAPSHOT_AGE {
        return false;
    }
    let waited = snapshot.items.is_none() && instance.now() >= queried_at + FOLLOW_WAIT;
    let known_at = if waited {
        queried_at + FOLLOW_WAIT.saturating_sub(WATCH_SLACK)
    } else {
        queried_at
    };
    let applied = apply_snapshot(instance, known_at, snapshot, watcher);
    if applied.is_contact {
        log_store_state(instance, None);
    }
    applied.is_contact
}

/// Returns a random watcher of the data centre, or `None` if this instance watches the store itself.
pub fn choose_watcher(instance: &Instance) -> Option<SocketAddr> {
    let settings = instance.settings();
    let view = instance.view.borrow();
    let local = view.peers().iter();
    let local = local.filter(|(_, peer)| peer.data_centre == settings.data_centre);
    let local: Vec<(&Arc<str>, &InstanceEntry)> = local.collect();
    if local.len() <= MAX_DIRECT_WATCHERS {
        return None;
    }
    let ranked = rendezvous::rank("watchers", local, |(name, _)| name);
    let watchers = &ranked[..WATCHERS];
    if watchers.iter().any(|(name, _)| **name == settings.name) {
        return None;
    }
    let index = rand::rng().random_range(0..watchers.len());
    watchers.get(index).map(|(_, peer)| peer.address)
}

/// Returns whether most data centres have more instances than watch the store themselves.
fn is_large_fleet(instance: &Instance) -> bool {
    let data_centres = instance.settings().data_centres.len();
    instance.view.borrow().peers().len() > MAX_DIRECT_WATCHERS * data_centres
}

/// Lists the store and applies the listing. Returns true, because the store can be watched from
/// that revision.
async fn list(instance: &Rc<Instance>, queried_at: Instant) -> Result<bool, Error> {
    let listing = instance.drivers.store.list("").await?;
    info!(instance.log, "store listed"; "items" => listing.items.len(),
        "revision" => listing.revision);
    instance.apply_listing(queried_at, listing);
    Ok(true)
}

/// Waits for changes of the store and applies them. Returns false if the store must be listed again.
async fn watch(instance: &Rc<Instance>, queried_at: Instant) -> Result<bool, Error> {
    let after = instance.view.borrow().revision();
    let wait = if instance.is_store_reachable.get() {
        WATCH_WAIT
    } else {
        RECONNECT_WATCH_WAIT
    };
    match instance.drivers.store.watch("", after, wait).await? {
        WatchResult::Events(events, revision) => {
            // An answer without events that took the whole wait shows the state at its end.
            let waited = instance.now() >= queried_at + wait && events.is_empty();
            let known_at = if waited {
                queried_at + wait.saturating_sub(WATCH_SLACK)
            } else {
                queried_at
            };
            instance.apply_events(known_at, events, revision);
            Ok(true)
        }
        WatchResult::Compacted => {
            warn!(instance.log, "watch history compacted, listing the store again"; "after" => after);
            Ok(false)
        }
    }
}

/// Records whether the store is reachable, and logs the transitions.
fn log_store_state(instance: &Instance, error: Option<&Error>) {
    let was_up = instance.is_store_reachable.replace(error.is_none());
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
        Some(error) => slog::debug!(instance.log, "store still unreachable"; "error" => %error),
        None if !was_up => info!(instance.log, "store reached"),
        None => {}
    }
}

/// Updates the view from peers, and confirms the primary lease if at least half of them answered.
async fn pull_from_peers(instance: &Rc<Instance>) {
    let queried_at = instance.now();
    let peers = peers_by_distance(instance);
    // The first batch may supply a newer view, which the rest then need not send again.
    let (first, rest) = peers.split_at(FIRST_BATCH.min(peers.len()));
    let mut answered = pull_views(instance, first).await;
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
    let batch = (needed.saturating_sub(answered) + EXTRA_CONFIRMATIONS).min(rest.len());
    let (near, far) = rest.split_at(batch);
    answered += confirm(instance, near).await;
    if answered < needed {
        answered += confirm(instance, far).await;
    }
    if answered >= needed {
        instance
            .view
            .borrow_mut()
            .primary_lease
            .record_peer_confirmation(queried_at);
    }
}

/// Queries peers for their view, applies the answers and returns how many know nothing newer then.
async fn pull_views(instance: &Rc<Instance>, peers: &[SocketAddr]) -> usize {
    let queried_at = instance.now();
    let known = instance.view.borrow().extent();
    let snapshots = peers
        .iter()
        .map(|peer| instance.peers.view(*peer, known.clone()));
    let snapshots = join_all(snapshots).await;
    let mut answered = 0;
    for (peer, result) in peers.iter().zip(snapshots) {
        if let Ok(Some(snapshot)) = result {
            let applied = apply_snapshot(instance, queried_at, snapshot, *peer);
            answered += usize::from(applied.is_confirmation);
        }
    }
    answered
}

/// Asks peers what they know of the store, and returns how many know nothing that this instance doesn't.
/// If some do, the view of one of them is pulled first.
async fn confirm(instance: &Rc<Instance>, peers: &[SocketAddr]) -> usize {
    let queried_at = instance.now();
    let replies = join_all(peers.iter().map(|peer| instance.peers.confirm(*peer))).await;
    let answered = peers.iter().zip(replies);
    let answered: Vec<(SocketAddr, ViewSnapshot)> = answered
        .filter_map(|(peer, reply)| Some((*peer, reply.ok()??)))
        .collect();
    let known = instance.view.borrow().extent();
    let newer: Vec<SocketAddr> = answered
        .iter()
        .filter(|(_, reply)| !known.covers(&reply.extent))
        .map(|(peer, _)| *peer)
        .collect();
    // If all chose the newest, one instance would have to send its view to the whole fleet.
    if let Some(peer) = newer.choose(&mut rand::rng()) {
        pull_views(instance, &[*peer]).await;
    }
    let mut count = 0;
    for (peer, reply) in answered {
        let applied = apply_snapshot(instance, queried_at, reply, peer);
        count += usize::from(applied.is_confirmation);
    }
    count
}

/// What a snapshot of a peer shows once it was applied.
#[derive(Clone, Copy, Debug, Default)]
struct Applied {
    /// This instance knows all that the store had at the peer's last contact with it.
    is_contact: bool,
    /// This instance knows all that the peer knows, and the peer may confirm it.
    is_confirmation: bool,
}

/// Applies a snapshot of a peer, dated back by its age. It shows nothing if the peer has not seen the era
/// of the store that this instance knows.
fn apply_snapshot(
    instance: &Rc<Instance>,
    queried_at: Instant,
    snapshot: ViewSnapshot,
    from: SocketAddr,
) -> Applied {
    let era = instance.view.borrow().era();
    let Some(known_at) = queried_at.checked_sub(snapshot.age) else {
        return Applied::default();
    };
    let revision = snapshot.extent.complete();
    if era_of(revision) < era {
        debug!(instance.log, "view of an earlier era ignored"; "peer" => %from,
            "revision" => revision, "era" => era);
        return Applied::default();
    }
    let is_current = {
        let known = instance.view.borrow().extent();
        known.is_as_current_as(&snapshot.extent)
    };
    if let Some(items) = snapshot.items {
        debug!(instance.log, "view updated from another instance"; "peer" => %from,
            "revision" => revision, "age_ms" => snapshot.age.as_millis() as u64);
        instance.apply_listing(known_at, Listing { items, revision });
    } else if is_current {
        instance.apply_events(known_at, Vec::new(), 0);
    }
    let known = instance.view.borrow().extent();
    Applied {
        is_contact: known.is_as_current_as(&snapshot.extent),
        is_confirmation: snapshot.can_confirm && known.covers(&snapshot.extent),
    }
}

/// Returns the addresses of the other instances in random order, those of this data centre first,
/// then those of this region. Returns the seeds if no instance is known.
fn peers_by_distance(instance: &Instance) -> Vec<SocketAddr> {
    let settings = instance.settings();
    let view = instance.view.borrow();
    let peers = view
        .peers()
        .iter()
        .filter(|(name, _)| **name != settings.name);
    let mut peers: Vec<&InstanceEntry> = peers.map(|(_, peer)| peer).collect();
    peers.shuffle(&mut rand::rng());
    let region = settings.data_centres.get(&settings.data_centre);
    peers.sort_by_key(|peer| {
        let is_local = peer.data_centre == settings.data_centre;
        (
            !is_local,
            settings.data_centres.get(&peer.data_centre) != region,
        )
    });
    let mut addresses: Vec<SocketAddr> = peers.iter().map(|peer| peer.address).collect();
    if addresses.is_empty() {
        addresses.clone_from(&settings.seeds);
        addresses.retain(|address| *address != settings.peers);
        addresses.shuffle(&mut rand::rng());
    }
    addresses
}

/// Keeps the entry of this instance in the store until the drain begins.
async fn register(instance: Rc<Instance>) {
    loop {
        match write_entry(&instance).await {
            Ok(Some(lease)) => {
                instance.entry_lease.set(Some(lease));
                renew_entry(&instance, lease).await;
            }
            Ok(None) => {}
            Err(error) => {
                info!(instance.log, "entry of this instance not written"; "error" => %error);
            }
        }
        if instance.is_draining() {
            return;
        }
        tokio::time::sleep(jittered(RETRY_DELAY)).await;
    }
}

/// Writes the entry of this instance under a new lease. Returns `None` if the lease ended before.
async fn write_entry(instance: &Rc<Instance>) -> Result<Option<Lease>, Error> {
    let store = &instance.drivers.store;
    let lease = store.open_lease(ENTRY_TTL).await?;
    let (key, value) = own_entry(instance, false)?;
    let change = ConditionalWrite {
        key: &key,
        expected: None,
        value: Some(value),
        lease: Some(lease),
    };
    match store.swap(change).await? {
        WriteOutcome::Done(revision) => {
            info!(instance.log, "entry of this instance written"; "revision" => revision);
            Ok(Some(lease))
        }
        WriteOutcome::Conflict => Ok(None),
    }
}

/// Renews the lease of the entry. Returns when the lease has ended, the entry has vanished or the
/// drain begins. Peers renew the lease while this instance can't.
async fn renew_entry(instance: &Rc<Instance>, lease: Lease) {
    let mut phase = instance.phase.subscribe();
    let mut unlisted_since: Option<Instant> = None;
    loop {
        tokio::select! {
            () = tokio::time::sleep(RENEWAL_INTERVAL) => {}
            () = wait_until_unlisted(instance, &mut unlisted_since) => {
                warn!(instance.log, "entry of this instance vanished");
                return;
            }
            () = era::wait_for_later(instance, lease.era) => {
                warn!(instance.log, "entry of this instance is of an earlier era of the store";
                    "era" => lease.era);
                let spread = era::spread(instance);
                tokio::time::sleep(spread.mul_f64(rand::rng().random())).await;
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
                for address in peers_by_distance(instance).into_iter().take(FIRST_BATCH) {
                    if instance.peers.vouch(address, lease).await == Ok(true) {
                        break;
                    }
                }
            }
        }
    }
}

/// Waits until the entry of this instance has been missing for [`REWRITE_AFTER`] in a reachable store.
async fn wait_until_unlisted(instance: &Instance, since: &mut Option<Instant>) {
    loop {
        let now = instance.now();
        let name = Arc::clone(&instance.settings().name);
        let is_listed = {
            let view = instance.view.borrow();
            let own_entry = view.peers().get(&name);
            own_entry.is_some_and(|peer| peer.incarnation == instance.incarnation)
        };
        if is_listed || !instance.is_store_reachable.get() {
            *since = None;
        } else if now.saturating_duration_since(*since.get_or_insert(now)) >= REWRITE_AFTER {
            return;
        }
        tokio::time::sleep(EXPIRY_INTERVAL).await;
    }
}

/// Returns the key and the value of the entry of this instance.
fn own_entry(instance: &Instance, is_stopped: bool) -> Result<(String, Bytes), Error> {
    let settings = instance.settings();
    let entry = InstanceEntry {
        address: instance.peer_address,
        data_centre: Arc::clone(&settings.data_centre),
        incarnation: instance.incarnation,
        weight: settings.weight(),
        is_stopped,
    };
    let value = serde_json::to_vec(&entry)
        .map_err(|error| Error::new(ErrorKind::Refused, "swap", error.to_string()))?;
    let key = format!("{INSTANCE_PREFIX}{}", settings.name);
    Ok((key, Bytes::from(value)))
}

/// Takes the entry of this instance back, so that other instances need not wait for its lease to expire.
///
/// A removal alone doesn't tell a stopped process from one whose lease has ended while it is cut off.
/// If no session or forwarded transaction is left (`is_idle`), the entry therefore states that this
/// process has stopped and uses no primary, until its lease ends; otherwise it is removed.
///
/// # Errors
///
/// Returns an error if the call to the store failed.
pub async fn withdraw(instance: &Rc<Instance>, is_idle: bool) -> Result<(), Error> {
    let (key, value) = own_entry(instance, true)?;
    let expected = {
        let view = instance.view.borrow();
        let own_entry = view.peers().get(&instance.settings().name);
        if own_entry.is_none_or(|entry| entry.incarnation != instance.incarnation) {
            return Ok(());
        }
        view.item(&key).map(|item| item.revision)
    };
    let lease = instance.entry_lease.get().filter(|_| is_idle);
    if lease.is_some() {
        instance.view.borrow_mut().primary_lease.end();
    }
    let change = ConditionalWrite {
        key: &key,
        expected,
        value: lease.is_some().then_some(value),
        lease,
    };
    instance.drivers.store.swap(change).await?;
    Ok(())
}

/// Periodically removes endpoints whose entries stayed removed, with their connection pools.
async fn expire_loop(instance: Rc<Instance>) {
    loop {
        tokio::time::sleep(EXPIRY_INTERVAL).await;
        instance.trace.record_lease(&instance);
        let now = instance.now();
        let is_connected = instance.is_store_reachable.get();
        let dialect = Rc::clone(&instance.drivers.dialect);
        let mut view = instance.view.borrow_mut();
        let changes = view.apply_withheld(now, dialect.as_ref());
        let removed = view.expire(now, is_connected);
        drop(view);
        instance.dispatch_changes(&changes);
        for id in &removed {
            info!(instance.log, "endpoint is gone"; "endpoint" => id.as_ref());
            instance.pool.remove(id);
        }
        if !removed.is_empty() {
            instance.view_changed.send_modify(|count| *count += 1);
        }
    }
}

/// Returns a random duration between half of `time` and all of it.
fn jittered(time: Duration) -> Duration {
    time.mul_f64(rand::rng().random_range(0.5..1.0))
}
