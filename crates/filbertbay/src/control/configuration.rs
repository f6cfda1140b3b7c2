//! Actor that keeps the configuration in force and spreads it.

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
use crate::published::Published;

/// Longest wait for the list of instances before the configuration is asked for.
pub const LIST_WAIT: Duration = Duration::from_secs(1);

/// Longest wait for the first configuration from another instance, if this one is no watcher.
const PEER_WAIT: Duration = Duration::from_secs(3);

/// Longest wait of one watch on the platform.
const WATCH_WAIT: Duration = Duration::from_secs(30);

/// Time after which an instance looks again whether it should watch.
const WATCHER_INTERVAL: Duration = Duration::from_secs(1);

/// Longest wait for one answer during a pull.
const PULL_TIMEOUT: Duration = Duration::from_secs(1);

/// Time after which a pull is taken for lost.
const PULL_DEADLINE: Duration = Duration::from_secs(5);

/// Longest wait for an announcement to be taken.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_millis(500);

/// Shortest wait after a watch that failed.
const RETRY_FLOOR: Duration = Duration::from_millis(100);

/// Longest wait after a watch that failed.
const RETRY_CEILING: Duration = Duration::from_secs(2);

/// Actor that keeps the configuration in force.
#[derive(Debug)]
pub struct Configuration {
    spread: Disseminator,
    bundle: Bundle,
    pool: Arc<PeerPool>,
    published: Arc<Published>,
    log: Logger,
}

impl Configuration {
    /// Spawns the actor without a configuration, and the task that follows the platform.
    ///
    /// The task starts when `listed` ends, at the latest after [`LIST_WAIT`]: an instance that knows
    /// others takes the configuration from them rather than from the platform.
    pub fn spawn(
        store: Arc<dyn Store>,
        pool: Arc<PeerPool>,
        published: Arc<Published>,
        listed: oneshot::Receiver<()>,
        log: &Logger,
    ) -> Address<Self> {
        let actor = Self {
            spread: Disseminator::new(PULL_DEADLINE),
            bundle: Bundle::default(),
            pool,
            published: Arc::clone(&published),
            log: log.clone(),
        };
        let address = xtra::spawn_tokio(actor, Mailbox::bounded(super::MAILBOX));
        let (own, log) = (address.downgrade(), log.clone());
        tokio::spawn(async move {
            let _ = timeout(LIST_WAIT, listed).await;
            follow(Repository::new(store), own, published, log).await;
        });
        address
    }

    fn act(&self, address: &WeakAddress<Self>, from: Option<&Instance>, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Pull { newer_than, .. } => {
                    if let Some(from) = from.cloned() {
                        let pull = Pull {
                            pool: Arc::clone(&self.pool),
                            from,
                            present: self.bundle.clone(),
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
        let own = &self.published.own().name;
        let others: Vec<&Instance> = instances.iter().filter(|i| i.name != *own).collect();
        for to in others.choose_multiple(&mut rand::rng(), FANOUT) {
            let (pool, to, own) = (Arc::clone(&self.pool), to.peer_address, Arc::clone(own));
            tokio::spawn(async move {
                // Probes carry the version too, so a lost announcement only costs time.
                let _ = pool
                    .call(to, ANNOUNCE_TIMEOUT, |client, context| async move {
                        client.announce(context, own, version).await
                    })
                    .await;
            });
        }
    }

    /// Puts a bundle in force if it is newer and sound.
    ///
    /// A large document takes long to compile, so that runs beside the control thread.
    async fn adopt(&mut self, bundle: Bundle) -> Vec<Action> {
        let version = bundle.version();
        if version.0 <= self.spread.version() {
            return Vec::new();
        }
        let (newer, earlier) = (bundle.clone(), self.bundle.clone());
        let present = self.published.snapshot();
        let compile = move || newer.snapshot_incremental(&earlier, &present);
        let compiled = tokio::task::spawn_blocking(compile).await;
        let snapshot = match compiled {
            Ok(Ok(snapshot)) => snapshot,
            Ok(Err(error)) => {
                warn!(self.log, "configuration not usable, the present one stays";
                    "version" => version.0, "error" => %error);
                metrics::counter!("filbertbay_configuration_refused_total").increment(1);
                return self.spread.on_event(Instant::now(), Event::PullFailed);
            }
            // The thread only ends early when the daemon does.
            Err(_) => return Vec::new(),
        };
        self.bundle = bundle;
        self.published.set_snapshot(snapshot);
        metrics::gauge!("filbertbay_configuration_version").set(version.0 as f64);
        info!(self.log, "configuration in force"; "version" => version.0);
        self.spread
            .on_event(Instant::now(), Event::Loaded { version: version.0 })
    }
}

impl Actor for Configuration {
    type Stop = ();

    async fn stopped(self) {}
}

/// Another instance said which version it has.
#[derive(Debug)]
pub struct Heard {
    /// Instance that said so.
    pub from: Instance,
    /// Its version.
    pub version: u64,
}

impl Handler<Heard> for Configuration {
    type Return = ();

    async fn handle(&mut self, message: Heard, context: &mut Context<Self>) {
        let Heard { from, version } = message;
        let event = Event::PeerVersion {
            from: Arc::clone(&from.name),
            version,
        };
        let actions = self.spread.on_event(Instant::now(), event);
        self.act(&context.mailbox().address(), Some(&from), actions);
    }
}

/// A bundle was read whole.
#[derive(Debug)]
struct Loaded(Bundle);

impl Handler<Loaded> for Configuration {
    type Return = ();

    async fn handle(&mut self, message: Loaded, context: &mut Context<Self>) {
        let actions = self.adopt(message.0).await;
        self.act(&context.mailbox().address(), None, actions);
    }
}

/// A pull ended without a bundle.
#[derive(Debug)]
struct Failed;

impl Handler<Failed> for Configuration {
    type Return = ();

    async fn handle(&mut self, _: Failed, _: &mut Context<Self>) {
        self.spread.on_event(Instant::now(), Event::PullFailed);
    }
}

/// Asks for the bundle in force.
#[derive(Debug)]
pub struct Present;

impl Handler<Present> for Configuration {
    type Return = Bundle;

    async fn handle(&mut self, _: Present, _: &mut Context<Self>) -> Bundle {
        self.bundle.clone()
    }
}

/// Asks for the head as stored, if its version is above the given one.
#[derive(Debug)]
pub struct Head {
    /// Version that the head must exceed.
    pub above: u64,
}

impl Handler<Head> for Configuration {
    type Return = Option<Vec<u8>>;

    async fn handle(&mut self, message: Head, _: &mut Context<Self>) -> Option<Vec<u8>> {
        let newer = self.bundle.version().0 > message.above;
        newer.then(|| self.bundle.head_bytes().to_vec())
    }
}

/// Asks for a part as stored.
#[derive(Debug)]
pub struct Part {
    /// Digest of the part.
    pub digest: Arc<str>,
}

impl Handler<Part> for Configuration {
    type Return = Option<Vec<u8>>;

    async fn handle(&mut self, message: Part, _: &mut Context<Self>) -> Option<Vec<u8>> {
        self.bundle
            .part(&message.digest)
            .map(|bytes| bytes.to_vec())
    }
}

/// Pull of a configuration from another instance.
struct Pull {
    pool: Arc<PeerPool>,
    from: Instance,
    present: Bundle,
}

impl Pull {
    async fn run(self, address: WeakAddress<Configuration>, above: u64) {
        let _ = match self.pull(above).await {
            Some(bundle) => address.send(Loaded(bundle)).await,
            None => address.send(Failed).await,
        };
    }

    async fn pull(&self, above: u64) -> Option<Bundle> {
        let bytes = self
            .pool
            .call(
                self.from.peer_address,
                PULL_TIMEOUT,
                |client, context| async move { client.head(context, above).await },
            )
            .await
            .ok()
            .flatten()?;
        let head = bundle::parse_head(&bytes).ok()?;
        let mut pulled = std::collections::BTreeMap::new();
        for digest in self.present.missing(&head) {
            pulled.insert(Arc::clone(digest), self.part(Arc::clone(digest)).await?);
        }
        let part_of = |digest: &str| pulled.get(digest).cloned();
        self.present.assemble_incremental(&bytes, part_of).ok()
    }

    async fn part(&self, digest: Arc<str>) -> Option<Arc<[u8]>> {
        self.pool
            .call(
                self.from.peer_address,
                PULL_TIMEOUT,
                |client, context| async move { client.part(context, digest).await },
            )
            .await
            .ok()
            .flatten()
            .map(Arc::from)
    }
}

/// Follows the platform while this instance is a watcher, or got no configuration from others.
async fn follow(
    repository: Repository,
    address: WeakAddress<Configuration>,
    published: Arc<Published>,
    log: Logger,
) {
    let mut watcher = repository.watch(Bundle::default());
    let mut retry = RETRY_FLOOR;
    if !roster::is_watcher(&published) {
        let mut snapshots = published.subscribe();
        let arrived = snapshots.wait_for(|snapshot| snapshot.version().0 > 0);
        let _ = timeout(PEER_WAIT, arrived).await;
    }
    loop {
        let Ok(present) = address.send(Present).await else {
            return;
        };
        let empty = present.version().0 == 0;
        watcher.update_if_newer(present);
        if !empty && !roster::is_watcher(&published) {
            tokio::time::sleep(WATCHER_INTERVAL).await;
            continue;
        }
        match watcher.next(WATCH_WAIT).await {
            Ok(loaded) => {
                published.hear_platform(Instant::now());
                retry = RETRY_FLOOR;
                if let Some(bundle) = loaded
                    && address.send(Loaded(bundle)).await.is_err()
                {
                    return;
                }
            }
            Err(error) => {
                info!(log, "configuration not read from the platform"; "error" => %error);
                tokio::time::sleep(roster::jittered(retry)).await;
                retry = (retry * 2).min(RETRY_CEILING);
            }
        }
    }
}
