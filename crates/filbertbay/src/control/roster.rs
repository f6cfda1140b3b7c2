//! Task that registers this instance with the platform and reads the platform's instance list.
//!
//! The list bootstraps the membership protocol: a joining instance learns of its first peers from
//! the list, and of all others from these peers.

use std::sync::Arc;
use std::time::{Duration, Instant};

use filbertbay_coordination::spread;
use filbertbay_protocol::platform::{Presence, Store};
use filbertbay_state::instance::Instance;
use rand::Rng;
use slog::{Logger, debug, info};
use tokio::sync::oneshot;
use xtra::Address;

use super::membership::{MembershipActor, PlatformList};
use crate::published::PublishedState;

/// Time between two reads of the list by a watcher.
const LIST_INTERVAL: Duration = Duration::from_secs(10);

/// Time after which a watcher renews its registration, which the platform removes after a minute.
const REGISTRATION_INTERVAL: Duration = Duration::from_secs(20);

/// Initial delay between attempts and between reads of the list; each delay doubles the last.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Maximum delay between attempts, and between reads until the list contains this instance.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(2);

/// Registers this instance, retrying until the platform accepts, then reads the list periodically.
///
/// The platform removes registrations that are not renewed. Only watchers renew theirs: a joining
/// instance needs to find just a few peers, and learns of the rest from them.
///
/// Every instance reads the list until it contains the instance itself, and with it all instances
/// that registered before. After that only the watchers of each data centre read it, so that the
/// number of calls grows with the number of data centres. `first_read` is signalled after the first
/// read, whether or not it succeeded.
pub(super) async fn run(
    store: Arc<dyn Store>,
    published: Arc<PublishedState>,
    membership: Address<MembershipActor>,
    first_read: oneshot::Sender<()>,
    log: Logger,
) {
    let own = published.local_instance();
    // The list is read first, so that peers can be asked while the platform is slow to register.
    read_list(store.as_ref(), own, &membership, &log).await;
    let _ = first_read.send(());
    register_with_retry(store.as_ref(), own, &log).await;
    let mut registered_at = Instant::now();
    let mut is_listed = false;
    let mut delay = MIN_RETRY_DELAY;
    loop {
        tokio::time::sleep(jittered(delay)).await;
        let is_watcher = is_watcher(&published);
        if is_watcher && registered_at.elapsed() >= REGISTRATION_INTERVAL {
            register_with_retry(store.as_ref(), own, &log).await;
            registered_at = Instant::now();
        }
        if !is_listed || is_watcher {
            is_listed |= read_list(store.as_ref(), own, &membership, &log).await;
        }
        let max_delay = if is_listed {
            LIST_INTERVAL
        } else {
            MAX_RETRY_DELAY
        };
        delay = (delay * 2).min(max_delay);
    }
}

/// Registers this instance as leaving; one attempt only, since the list lags anyway.
pub(super) async fn announce_leaving(store: &dyn Store, own: &Instance, log: &Logger) {
    let leaving = Instance {
        presence: Presence::Leaving,
        ..own.clone()
    };
    if let Err(error) = store.register(&leaving).await {
        info!(log, "failed to register this instance as leaving"; "error" => %error);
    }
}

/// Returns whether this instance watches the platform for its data centre.
pub(super) fn is_watcher(published: &PublishedState) -> bool {
    let own = published.local_instance();
    let instances = published.instances();
    let local_names = instances
        .iter()
        .filter(|instance| instance.data_centre == own.data_centre)
        .map(|instance| instance.name.as_ref());
    spread::is_watcher(&own.name, local_names)
}

async fn register_with_retry(store: &dyn Store, own: &Instance, log: &Logger) {
    let mut delay = MIN_RETRY_DELAY;
    while let Err(error) = store.register(own).await {
        debug!(log, "failed to register this instance"; "error" => %error);
        tokio::time::sleep(jittered(delay)).await;
        delay = (delay * 2).min(MAX_RETRY_DELAY);
    }
}

/// Passes the instance list to the membership actor. Returns whether it contains this instance.
async fn read_list(
    store: &dyn Store,
    own: &Instance,
    membership: &Address<MembershipActor>,
    log: &Logger,
) -> bool {
    match store.instances().await {
        Ok(list) => {
            let is_listed = list
                .iter()
                .any(|other| other.name == own.name && other.incarnation == own.incarnation);
            membership.send(PlatformList(list)).await.is_ok() && is_listed
        }
        Err(error) => {
            debug!(log, "failed to read the instance list"; "error" => %error);
            false
        }
    }
}

/// Returns a random time between half of `delay` and `delay`, which spreads the calls of instances.
pub(super) fn jittered(delay: Duration) -> Duration {
    rand::rng().random_range(delay / 2..=delay)
}
