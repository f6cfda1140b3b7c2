//! Announces this instance to the platform and reads the platform's list of instances.

use std::sync::Arc;
use std::time::{Duration, Instant};

use filbertbay_coordination::spread;
use filbertbay_protocol::platform::{Presence, Store};
use filbertbay_state::instance::Instance;
use rand::Rng;
use slog::{Logger, debug, info};
use tokio::sync::oneshot;
use xtra::Address;

use super::membership::{Listed, Membership};
use crate::published::PublishedState;

/// Time between two readings of the list by a watcher.
const LIST_INTERVAL: Duration = Duration::from_secs(10);

/// Time after which a watcher announces itself again; the platform forgets it after a minute.
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(20);

/// Shortest wait after a failed call.
const RETRY_FLOOR: Duration = Duration::from_millis(200);

/// Longest wait after a failed call.
const RETRY_CEILING: Duration = Duration::from_secs(2);

/// Announces this instance until the platform has heard, then reads the list from time to time.
///
/// The platform forgets who does not announce itself again. Only watchers do: an instance that
/// joins needs to find some others, and learns of the rest from them.
///
/// Every instance reads the list until it shows the instance itself, and with it all that came
/// before; after that only the watchers of a data centre read it, so that the calls grow with data
/// centres. `ready` ends after the first reading, whether or not it succeeded.
pub(super) async fn run(
    store: Arc<dyn Store>,
    published: Arc<PublishedState>,
    membership: Address<Membership>,
    ready: oneshot::Sender<()>,
    log: Logger,
) {
    let own = published.local_instance();
    // The list comes first: while the platform is slow, other instances can already be asked.
    read_list(store.as_ref(), own, &membership, &log).await;
    let _ = ready.send(());
    register(store.as_ref(), own, &log).await;
    let mut announced = Instant::now();
    let mut is_listed = false;
    let mut wait = RETRY_FLOOR;
    loop {
        tokio::time::sleep(jittered(wait)).await;
        let is_watcher = is_watcher(&published);
        if is_watcher && announced.elapsed() >= ANNOUNCE_INTERVAL {
            register(store.as_ref(), own, &log).await;
            announced = Instant::now();
        }
        if !is_listed || is_watcher {
            is_listed |= read_list(store.as_ref(), own, &membership, &log).await;
        }
        let longest = if is_listed {
            LIST_INTERVAL
        } else {
            RETRY_CEILING
        };
        wait = (wait * 2).min(longest);
    }
}

/// Tells the platform that this instance is leaving; one attempt, since the list lags anyway.
pub(super) async fn leave(store: &dyn Store, own: &Instance, log: &Logger) {
    let leaving = Instance {
        presence: Presence::Leaving,
        ..own.clone()
    };
    if let Err(error) = store.register(&leaving).await {
        info!(log, "platform did not hear that this instance leaves"; "error" => %error);
    }
}

/// Tells whether this instance watches the platform for its data centre.
pub(super) fn is_watcher(published: &PublishedState) -> bool {
    let own = published.local_instance();
    let instances = published.instances();
    let mates = instances
        .iter()
        .filter(|instance| instance.data_centre == own.data_centre)
        .map(|instance| instance.name.as_ref());
    spread::is_watcher(&own.name, mates)
}

async fn register(store: &dyn Store, own: &Instance, log: &Logger) {
    let mut wait = RETRY_FLOOR;
    while let Err(error) = store.register(own).await {
        debug!(log, "platform did not take the announcement"; "error" => %error);
        tokio::time::sleep(jittered(wait)).await;
        wait = (wait * 2).min(RETRY_CEILING);
    }
}

/// Passes the list on, and tells whether it shows this instance.
async fn read_list(
    store: &dyn Store,
    own: &Instance,
    membership: &Address<Membership>,
    log: &Logger,
) -> bool {
    match store.instances().await {
        Ok(list) => {
            let shown = list
                .iter()
                .any(|one| one.name == own.name && one.incarnation == own.incarnation);
            membership.send(Listed(list)).await.is_ok() && shown
        }
        Err(error) => {
            debug!(log, "list of instances not read"; "error" => %error);
            false
        }
    }
}

/// Returns a random time between half of `wait` and `wait`, so that instances spread their calls.
pub(super) fn jittered(wait: Duration) -> Duration {
    rand::rng().random_range(wait / 2..=wait)
}
