//! Control thread of a daemon.
//!
//! One thread runs the actors that decide on configuration, membership, quotas and failover, and
//! the server for calls from other instances, on a current-thread runtime. Threads that serve
//! statements read its decisions from [`PublishedState`].

pub mod configuration;
pub mod group;
pub mod membership;
mod roster;
mod service;
mod share;

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use filbertbay_protocol::platform::Store;
use filbertbay_transport::peer::{PeerPool, Server};
use filbertbay_transport::tls::Identity;
use slog::{Logger, o};
use tokio::sync::oneshot;
use tokio::task::LocalSet;
use xtra::Address;

use self::configuration::ConfigurationActor;
use self::membership::MembershipActor;
use self::service::Service;
use crate::published::PublishedState;
use crate::share::Shares;

/// Maximum number of messages in the mailbox of an actor; senders wait while it is full.
const MAILBOX_CAPACITY: usize = 1_024;

/// Maximum time to announce to the platform and to peers that this instance leaves.
const LEAVE_TIMEOUT: Duration = Duration::from_millis(500);

/// Dependencies and settings of the control thread.
#[derive(Debug)]
pub struct Dependencies {
    /// Client of the platform.
    pub store: Arc<dyn Store>,
    /// TLS identity for peer connections; `None` leaves them unencrypted.
    pub identity: Option<Arc<Identity>>,
    /// Peer addresses to contact at start-up, for use while the platform does not respond.
    pub seeds: Vec<SocketAddr>,
    /// Maximum time for which this instance may have missed configuration changes before callers
    /// with a key are refused; `None` sets no limit.
    pub isolation_limit: Option<Duration>,
    /// State shared with the threads that serve statements; the server binds to the peer address
    /// of its local instance.
    pub published: Arc<PublishedState>,
    /// Logger.
    pub log: Logger,
}

/// Handle to the running control thread, which ends when the handle is dropped.
#[derive(Debug)]
pub struct ControlThread {
    shares: Arc<Shares>,
    runtime: tokio::runtime::Handle,
    leave: Option<oneshot::Sender<()>>,
    thread: Option<thread::JoinHandle<()>>,
}

impl ControlThread {
    /// Spawns the control thread and returns once its server for peers is bound.
    ///
    /// # Errors
    ///
    /// Returns an error if the thread cannot be started or the address cannot be bound.
    pub async fn spawn(deps: Dependencies) -> io::Result<Self> {
        let (leave, leave_receiver) = oneshot::channel();
        let (started, start_result) = oneshot::channel();
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        let handle = runtime.handle().clone();
        let shares = Arc::new(Shares::open(Arc::clone(&deps.published)));
        let thread_shares = Arc::clone(&shares);
        let thread = thread::Builder::new()
            .name("control".to_owned())
            .spawn(move || {
                LocalSet::new()
                    .block_on(&runtime, run(deps, thread_shares, started, leave_receiver));
            })?;
        start_result
            .await
            .map_err(|_| io::Error::other("control thread ended"))??;
        Ok(Self {
            shares,
            runtime: handle,
            leave: Some(leave),
            thread: Some(thread),
        })
    }

    /// Returns this instance's share of the rate limits.
    pub fn shares(&self) -> &Arc<Shares> {
        &self.shares
    }

    /// Returns the runtime of the control thread, for further actors.
    pub fn runtime(&self) -> &tokio::runtime::Handle {
        &self.runtime
    }

    /// Announces that this instance leaves, then ends the control thread.
    pub async fn shutdown(mut self) {
        if let Some(leave) = self.leave.take() {
            let _ = leave.send(());
        }
        if let Some(thread) = self.thread.take() {
            let _ = tokio::task::spawn_blocking(move || thread.join()).await;
        }
    }
}

async fn run(
    deps: Dependencies,
    shares: Arc<Shares>,
    started: oneshot::Sender<io::Result<()>>,
    leave: oneshot::Receiver<()>,
) {
    let log = deps.log.new(o!("part" => "control"));
    let pool = Arc::new(PeerPool::new(deps.identity.clone()));
    let (first_read, list_read) = oneshot::channel();
    let service = spawn_actors(&deps, &pool, &shares, list_read, &log);
    let membership = service.membership.clone();
    let server = Server::bind(
        deps.published.local_instance().peer_address,
        deps.identity,
        service,
    )
    .await;
    let server = match server {
        Ok(server) => server,
        Err(error) => return drop(started.send(Err(error))),
    };
    let _ = started.send(Ok(()));
    for seed in deps.seeds {
        let _ = membership.send(membership::ContactSeed(seed)).await;
    }
    let (store, published) = (deps.store, deps.published);
    let roster_task = roster::run(
        Arc::clone(&store),
        Arc::clone(&published),
        membership.clone(),
        first_read,
        log.clone(),
    );
    let roster_task = tokio::spawn(roster_task);
    share::spawn(&share::Dependencies {
        shares,
        store: Arc::clone(&store),
        pool,
        published: Arc::clone(&published),
        membership: membership.clone(),
        log: log.clone(),
    });
    // Dropping the handle ends the thread without an announcement.
    if leave.await.is_ok() {
        roster_task.abort();
        announce_leaving(store.as_ref(), &published, &membership, &log).await;
    }
    drop(server);
}

/// Spawns the actors and returns the service through which peers call them.
fn spawn_actors(
    deps: &Dependencies,
    pool: &Arc<PeerPool>,
    shares: &Arc<Shares>,
    list_read: oneshot::Receiver<()>,
    log: &Logger,
) -> Service {
    let configuration = ConfigurationActor::spawn(
        Arc::clone(&deps.store),
        Arc::clone(pool),
        Arc::clone(&deps.published),
        list_read,
        log,
    );
    let membership = MembershipActor::spawn(
        Arc::clone(pool),
        Arc::clone(&deps.published),
        configuration.clone(),
        Arc::clone(shares),
        deps.isolation_limit,
    );
    Service {
        pool: Arc::clone(pool),
        membership,
        configuration,
        shares: Arc::clone(shares),
    }
}

async fn announce_leaving(
    store: &dyn Store,
    published: &PublishedState,
    membership: &Address<MembershipActor>,
    log: &Logger,
) {
    let _ = membership.send(membership::Leave).await;
    let registration = roster::announce_leaving(store, published.local_instance(), log);
    let _ = tokio::time::timeout(LEAVE_TIMEOUT, registration).await;
}
