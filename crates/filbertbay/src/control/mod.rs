//! Control thread of a daemon.
//!
//! One thread runs every decider of shared state as an actor on a current-thread runtime, next to
//! the server of control links. It talks to traffic only through [`Published`].

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

use self::configuration::Configuration;
use self::membership::Membership;
use self::service::Service;
use crate::published::Published;
use crate::share::Shares;

/// Messages that wait for an actor at most; senders wait when it is full.
const MAILBOX: usize = 1_024;

/// Longest wait for others to hear that this instance leaves.
const LEAVE_TIMEOUT: Duration = Duration::from_millis(500);

/// What the control thread works with.
#[derive(Debug)]
pub struct Parts {
    /// The platform.
    pub store: Arc<dyn Store>,
    /// Identity of control links; without it they are in the clear.
    pub identity: Option<Arc<Identity>>,
    /// Addresses of control links to try when the platform does not answer at start-up.
    pub seeds: Vec<SocketAddr>,
    /// Longest time for which a change of the configuration may go unheard before callers with a
    /// key are refused.
    pub silence_limit: Option<Duration>,
    /// State shared with traffic; its own instance names the address to bind.
    pub published: Arc<Published>,
    /// Log.
    pub log: Logger,
}

/// Running control thread; it ends when the handle is dropped.
#[derive(Debug)]
pub struct Control {
    shares: Arc<Shares>,
    runtime: tokio::runtime::Handle,
    leave: Option<oneshot::Sender<()>>,
    thread: Option<thread::JoinHandle<()>>,
}

impl Control {
    /// Spawns the control thread and returns once its control links are bound.
    ///
    /// # Errors
    ///
    /// Returns an error if the thread cannot be started or the address cannot be bound.
    pub async fn spawn(parts: Parts) -> io::Result<Self> {
        let (leave, left) = oneshot::channel();
        let (started, bound) = oneshot::channel();
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        let handle = runtime.handle().clone();
        let shares = Arc::new(Shares::open(Arc::clone(&parts.published)));
        let kept = Arc::clone(&shares);
        let thread = thread::Builder::new()
            .name("control".to_owned())
            .spawn(move || {
                LocalSet::new().block_on(&runtime, run(parts, kept, started, left));
            })?;
        bound
            .await
            .map_err(|_| io::Error::other("control thread ended"))??;
        Ok(Self {
            shares,
            runtime: handle,
            leave: Some(leave),
            thread: Some(thread),
        })
    }

    /// Returns this instance's part of the rates.
    pub fn shares(&self) -> &Arc<Shares> {
        &self.shares
    }

    /// Returns the runtime of the control thread, for further actors.
    pub fn runtime(&self) -> &tokio::runtime::Handle {
        &self.runtime
    }

    /// Tells others that this instance leaves, then ends the control thread.
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
    parts: Parts,
    shares: Arc<Shares>,
    started: oneshot::Sender<io::Result<()>>,
    leave: oneshot::Receiver<()>,
) {
    let log = parts.log.new(o!("part" => "control"));
    let pool = Arc::new(PeerPool::new(parts.identity.clone()));
    let (ready, listed) = oneshot::channel();
    let service = spawn_actors(&parts, &pool, &shares, listed, &log);
    let membership = service.membership.clone();
    let bound = Server::bind(parts.published.own().peer_address, parts.identity, service).await;
    let server = match bound {
        Ok(server) => server,
        Err(error) => return drop(started.send(Err(error))),
    };
    let _ = started.send(Ok(()));
    for seed in parts.seeds {
        let _ = membership.send(membership::Greet(seed)).await;
    }
    let (store, published) = (parts.store, parts.published);
    let roster = roster::run(
        Arc::clone(&store),
        Arc::clone(&published),
        membership.clone(),
        ready,
        log.clone(),
    );
    let roster = tokio::spawn(roster);
    share::spawn(&share::Parts {
        shares,
        store: Arc::clone(&store),
        pool,
        published: Arc::clone(&published),
        membership: membership.clone(),
        log: log.clone(),
    });
    // A dropped handle ends the thread as a request to leave does, without the farewell.
    if leave.await.is_ok() {
        roster.abort();
        say_farewell(store.as_ref(), &published, &membership, &log).await;
    }
    drop(server);
}

/// Spawns the actors and returns the service that answers other instances with them.
fn spawn_actors(
    parts: &Parts,
    pool: &Arc<PeerPool>,
    shares: &Arc<Shares>,
    listed: oneshot::Receiver<()>,
    log: &Logger,
) -> Service {
    let configuration = Configuration::spawn(
        Arc::clone(&parts.store),
        Arc::clone(pool),
        Arc::clone(&parts.published),
        listed,
        log,
    );
    let membership = Membership::spawn(
        Arc::clone(pool),
        Arc::clone(&parts.published),
        configuration.clone(),
        Arc::clone(shares),
        parts.silence_limit,
    );
    Service {
        pool: Arc::clone(pool),
        membership,
        configuration,
        shares: Arc::clone(shares),
    }
}

async fn say_farewell(
    store: &dyn Store,
    published: &Published,
    membership: &Address<Membership>,
    log: &Logger,
) {
    let _ = membership.send(membership::Leave).await;
    let farewell = roster::leave(store, published.own(), log);
    let _ = tokio::time::timeout(LEAVE_TIMEOUT, farewell).await;
}
