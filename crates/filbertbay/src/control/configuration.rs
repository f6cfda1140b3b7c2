//! Actor that holds the configuration in force and disseminates it to peers.
//!
//! The watchers of each data centre load the configuration from the platform. Other instances pull
//! it from a peer that advertises a newer version.

use std::sync::Arc;
use std::time::{Duration, Instant};

use filbertbay_coordination::spread::{Action, Disseminator, Event, FANOUT};
use filbertbay_protocol::platform::Store;
use filbertbay_protocol::repository::Repository;
use filbertbay_state::bundle::{self, Bundle};
use filbertbay_state::instance::Instance;
use filbertbay_transport::peer::PeerPool;
use rand::seq::IndexedRandom;
use slog::{Logger, info, warn};
use tokio::sync::oneshot;
use tokio::time::timeout;
use xtra::WeakAddress;
use xtra::prelude::*;

use super::roster;
use crate::published::PublishedState;

/// Maximum wait for the instance list before the configuration is requested.
pub const MAX_LIST_WAIT: Duration = Duration::from_secs(1);

/// Maximum wait of a non-watcher for its first configuration from a peer. After it, the instance
/// loads the configuration from the platform.
const MAX_PEER_WAIT: Duration = Duration::from_secs(3);

/// Duration of one long poll of the platform.
const WATCH_TIMEOUT: Duration = Duration::from_secs(30);

/// Time between two checks of whether this instance is a watcher.
const WATCHER_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Timeout of each call of a pull.
const PULL_CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Time after which an unfinished pull counts as failed.
const PULL_DEADLINE: Duration = Duration::from_secs(5);

/// Timeout of an announcement.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_millis(500);

/// Initial delay after a failed watch; it doubles up to [`MAX_RETRY_DELAY`].
const MIN_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Maximum delay after a failed watch.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(2);

/// Actor that holds the configuration in force.
#[derive(Debug)]
pub struct ConfigurationActor {
    disseminator: Disseminator,
    bundle: Bundle,
    pool: Arc<PeerPool>,
    published: Arc<PublishedState>,
    log: Logger,
}

impl ConfigurationActor {
    /// Spawns the actor without a configuration, and the task that watches the platform.
    ///
    /// The task starts when `list_read` resolves, at the latest after [`MAX_LIST_WAIT`], because an
    /// instance that knows peers pulls the configuration from them rather than from the platform.
    pub fn spawn(
        store: Arc<dyn Store>,
        pool: Arc<PeerPool>,
        published: Arc<PublishedState>,
        list_read: oneshot::Receiver<()>,
        log: &Logger,
    ) -> Address<Self> {
        let actor = Self {
            disseminator: Disseminator::new(PULL_DEADLINE),
            bundle: Bundle::default(),
            pool,
            published: Arc::clone(&published),
            log: log.clone(),
        };
        let address = xtra::spawn_tokio(actor, Mailbox::bounded(super::MAILBOX_CAPACITY));
        let (own, log) = (address.downgrade(), log.clone());
        tokio::spawn(async move {
            let _ = timeout(MAX_LIST_WAIT, list_read).await;
            watch_platform(Repository::new(store), own, published, log).await;
        });
        address
    }

    fn execute(&self, address: &WeakAddress<Self>, from: Option<&Instance>, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Pull { newer_than, .. } => {
                    if let Some(from) = from.cloned() {
                        let pull = Pull {
                            pool: Arc::clone(&self.pool),
                            from,
                            current: self.bundle.clone(),
                        };
                        tokio::spawn(pull.run(address.clone(), newer_than));
                    }
                }
                Action::Announce { version } => self.announce(version),
            }
        }
    }

    fn announce(&self, version: u64) {
        let instances = self.published.instances();
        let own = &self.published.local_instance().name;
        let peers: Vec<&Instance> = instances.iter().filter(|i| i.name != *own).collect();
        for to in peers.choose_multiple(&mut rand::rng(), FANOUT) {
            let (pool, to, own) = (Arc::clone(&self.pool), to.peer_address, Arc::clone(own));
            tokio::spawn(async move {
                // Probes carry the version too, so a lost announcement only delays the peer's pull.
                let _ = pool
                    .call(to, ANNOUNCE_TIMEOUT, |client, context| async move {
                        client.announce(context, own, version).await
                    })
                    .await;
            });
        }
    }

    /// Puts a bundle in force if it is newer and compiles.
    ///
    /// Compiling a large document takes long, so it runs on a blocking thread.
    async fn apply_bundle(&mut self, bundle: Bundle) -> Vec<Action> {
        let version = bundle.version();
        if version.0 <= self.disseminator.version() {
            return Vec::new();
        }
        let (newer, previous) = (bundle.clone(), self.bundle.clone());
        let current = self.published.snapshot();
        let compile = move || newer.snapshot_incremental(&previous, &current);
        let compiled = tokio::task::spawn_blocking(compile).await;
        let snapshot = match compiled {
            Ok(Ok(snapshot)) => snapshot,
            Ok(Err(error)) => {
                warn!(self.log, "configuration not usable, the present one stays";
                    "version" => version.0, "error" => %error);
                metrics::counter!("filbertbay_configuration_refused_total").increment(1);
                return self
                    .disseminator
                    .on_event(Instant::now(), Event::PullFailed);
            }
            // The task fails only while the daemon shuts down.
            Err(_) => return Vec::new(),
        };
        self.bundle = bundle;
        self.published.set_snapshot(snapshot);
        metrics::gauge!("filbertbay_configuration_version").set(version.0 as f64);
        info!(self.log, "configuration in force"; "version" => version.0);
        self.disseminator
            .on_event(Instant::now(), Event::Loaded { version: version.0 })
    }
}

impl Actor for ConfigurationActor {
    type Stop = ();

    async fn stopped(self) {}
}

/// Reports the configuration version that a peer advertised.
#[derive(Debug)]
pub struct PeerVersion {
    /// Peer that advertised the version.
    pub from: Instance,
    /// Version in force at the peer.
    pub version: u64,
}

impl Handler<PeerVersion> for ConfigurationActor {
    type Return = ();

    async fn handle(&mut self, message: PeerVersion, context: &mut Context<Self>) {
        let PeerVersion { from, version } = message;
        let event = Event::PeerVersion {
            from: Arc::clone(&from.name),
            version,
        };
        let actions = self.disseminator.on_event(Instant::now(), event);
        self.execute(&context.mailbox().address(), Some(&from), actions);
    }
}

/// Delivers a complete bundle from a pull or from the platform.
#[derive(Debug)]
struct BundleLoaded(Bundle);

impl Handler<BundleLoaded> for ConfigurationActor {
    type Return = ();

    async fn handle(&mut self, message: BundleLoaded, context: &mut Context<Self>) {
        let actions = self.apply_bundle(message.0).await;
        self.execute(&context.mailbox().address(), None, actions);
    }
}

/// Reports that a pull failed.
#[derive(Debug)]
struct PullFailed;

impl Handler<PullFailed> for ConfigurationActor {
    type Return = ();

    async fn handle(&mut self, _: PullFailed, _: &mut Context<Self>) {
        self.disseminator
            .on_event(Instant::now(), Event::PullFailed);
    }
}

/// Returns the bundle in force.
#[derive(Debug)]
pub struct GetBundle;

impl Handler<GetBundle> for ConfigurationActor {
    type Return = Bundle;

    async fn handle(&mut self, _: GetBundle, _: &mut Context<Self>) -> Bundle {
        self.bundle.clone()
    }
}

/// Returns the encoded head if the version in force is newer than the given one.
#[derive(Debug)]
pub struct GetHead {
    /// Version that the head must exceed.
    pub newer_than: u64,
}

impl Handler<GetHead> for ConfigurationActor {
    type Return = Option<Vec<u8>>;

    async fn handle(&mut self, message: GetHead, _: &mut Context<Self>) -> Option<Vec<u8>> {
        let is_newer = self.bundle.version().0 > message.newer_than;
        is_newer.then(|| self.bundle.head_bytes().to_vec())
    }
}

/// Returns the encoded part with the given digest, if the bundle has one.
#[derive(Debug)]
pub struct GetPart {
    /// Digest of the part.
    pub digest: Arc<str>,
}

impl Handler<GetPart> for ConfigurationActor {
    type Return = Option<Vec<u8>>;

    async fn handle(&mut self, message: GetPart, _: &mut Context<Self>) -> Option<Vec<u8>> {
        self.bundle
            .part(&message.digest)
            .map(|bytes| bytes.to_vec())
    }
}

/// Pulls a newer configuration from a peer: its head, then the parts that are missing here.
struct Pull {
    pool: Arc<PeerPool>,
    from: Instance,
    current: Bundle,
}

impl Pull {
    async fn run(self, address: WeakAddress<ConfigurationActor>, newer_than: u64) {
        let _ = match self.pull(newer_than).await {
            Some(bundle) => address.send(BundleLoaded(bundle)).await,
            None => address.send(PullFailed).await,
        };
    }

    async fn pull(&self, newer_than: u64) -> Option<Bundle> {
        let bytes = self
            .pool
            .call(
                self.from.peer_address,
                PULL_CALL_TIMEOUT,
                |client, context| async move { client.head(context, newer_than).await },
            )
            .await
            .ok()
            .flatten()?;
        let head = bundle::parse_head(&bytes).ok()?;
        let mut pulled = std::collections::BTreeMap::new();
        for digest in self.current.missing(&head) {
            pulled.insert(Arc::clone(digest), self.part(Arc::clone(digest)).await?);
        }
        let part_of = |digest: &str| pulled.get(digest).cloned();
        self.current.assemble_incremental(&bytes, part_of).ok()
    }

    async fn part(&self, digest: Arc<str>) -> Option<Arc<[u8]>> {
        self.pool
            .call(
                self.from.peer_address,
                PULL_CALL_TIMEOUT,
                |client, context| async move { client.part(context, digest).await },
            )
            .await
            .ok()
            .flatten()
            .map(Arc::from)
    }
}

/// Watches the platform while this instance is a watcher or has no configuration yet.
async fn watch_platform(
    repository: Repository,
    address: WeakAddress<ConfigurationActor>,
    published: Arc<PublishedState>,
    log: Logger,
) {
    let mut watcher = repository.watch(Bundle::default());
    let mut retry_delay = MIN_RETRY_DELAY;
    if !roster::is_watcher(&published) {
        let mut snapshots = published.subscribe_snapshot();
        let arrived = snapshots.wait_for(|snapshot| snapshot.version().0 > 0);
        let _ = timeout(MAX_PEER_WAIT, arrived).await;
    }
    loop {
        let Ok(current) = address.send(GetBundle).await else {
            return;
        };
        let is_empty = current.version().0 == 0;
        watcher.update_if_newer(current);
        if !is_empty && !roster::is_watcher(&published) {
            tokio::time::sleep(WATCHER_CHECK_INTERVAL).await;
            continue;
        }
        match watcher.next(WATCH_TIMEOUT).await {
            Ok(loaded) => {
                published.record_platform_contact(Instant::now());
                retry_delay = MIN_RETRY_DELAY;
                if let Some(bundle) = loaded
                    && address.send(BundleLoaded(bundle)).await.is_err()
                {
                    return;
                }
            }
            Err(error) => {
                info!(log, "failed to read the configuration from the platform"; "error" => %error);
                tokio::time::sleep(roster::jittered(retry_delay)).await;
                retry_delay = (retry_delay * 2).min(MAX_RETRY_DELAY);
            }
        }
    }
}
