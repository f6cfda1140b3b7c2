//! Connection pool for endpoints, shared by the sessions of this instance.
//!
//! A session checks out one connection for a transaction and releases it without an open
//! transaction or unread answers. A connection that is dropped instead is closed, and the endpoint
//! rolls back its open transaction.
//!
//! With a [`ForwardDirectory`] the instance opens connections to a member only while it holds one
//! of the member's seats (see [`seat`](filbertbay_coordination::seat)); otherwise it forwards
//! statements through an instance that holds one. Without a directory it opens a fixed number of
//! connections.

mod connection;
mod gate;
mod seat;
mod stock;

use std::collections::HashMap;
use std::fmt::Debug;
use std::hash::RandomState;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use filbertbay_coordination::replica::Load;
use filbertbay_coordination::retry::RetryBudget;
use filbertbay_coordination::seat::Plan;
use filbertbay_coordination::view;
use filbertbay_transport::endpoint::{self, Target};
use filbertbay_transport::tls::Identity;
use parking_lot::Mutex;
use tokio::time::sleep;

pub use self::connection::{Connection, PreparedStatement};
pub use self::gate::AcquireRequest;
use self::stock::BoundedPool;
pub use self::stock::PooledConnection;

/// SQLSTATE with which an endpoint refuses a connection beyond its limit.
const TOO_MANY_CONNECTIONS: &str = "53300";

/// Delay before the first retry of acquiring a connection; it doubles with each retry.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(5);

/// Longest delay between two retries of acquiring a connection.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Retries allowed per first attempt on a member.
const RETRY_RATIO: f64 = 0.1;

/// Retries beyond that ratio that a member's retry budget holds for a burst.
const RETRY_BURST: u32 = 10;

/// Most connections to one member through other instances.
const MAX_FORWARDED_CONNECTIONS: u32 = 8;

/// Options of a [`Pool`].
#[derive(Clone, Debug)]
pub struct Config {
    user: Arc<str>,
    password: Arc<str>,
    application: Arc<str>,
    peer_tls: Option<Arc<Identity>>,
    connect_timeout: Duration,
    connections: u32,
}

impl Config {
    /// Creates options with the credentials that the pool presents to endpoints.
    pub fn new(user: Arc<str>, password: Arc<str>, application: Arc<str>) -> Self {
        Self {
            user,
            password,
            application,
            peer_tls: None,
            connect_timeout: Duration::from_secs(2),
            connections: 2,
        }
    }

    /// Sets the TLS identity that is presented to other instances; without one, connections to them
    /// are in plaintext.
    #[must_use]
    pub fn peer_tls(mut self, identity: Option<Arc<Identity>>) -> Self {
        self.peer_tls = identity;
        self
    }

    /// Sets the time limit for opening one connection.
    #[must_use]
    pub fn connect_timeout(mut self, timeout: Duration) -> Self {
        self.connect_timeout = timeout;
        self
    }

    /// Sets the largest number of connections to one member; used only without a directory.
    #[must_use]
    pub fn connections(mut self, connections: u32) -> Self {
        self.connections = connections;
        self
    }
}

/// Reason why no connection could be acquired; nothing was sent to an endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq, strum::Display)]
#[strum(serialize_all = "snake_case")]
#[non_exhaustive]
pub enum ErrorKind {
    /// Every connection was in use until the deadline.
    Busy,
    /// The endpoint could not be reached.
    Unreachable,
}

/// Failure to acquire a connection; nothing was sent to an endpoint.
#[derive(Debug, thiserror::Error)]
#[error("no connection to {member}: {kind}")]
pub struct Error {
    kind: ErrorKind,
    member: Arc<str>,
}

impl Error {
    /// Returns the reason of the failure.
    pub fn kind(&self) -> ErrorKind {
        self.kind
    }
}

/// Finds the instances that statements can be forwarded through.
pub trait ForwardDirectory: Debug + Send + Sync {
    /// Returns the forward addresses of instances for a member, the likeliest holder of a seat
    /// first.
    fn forward_addresses(&self, group: &str, member: &view::Member) -> Vec<SocketAddr>;
}

/// Connections to the members of all groups.
#[derive(Debug)]
pub struct Pool {
    config: Config,
    directory: Option<Arc<dyn ForwardDirectory>>,
    endpoint_pools: Mutex<HashMap<Key, Arc<EndpointPool>>>,
    hasher: RandomState,
}

#[derive(Clone, Debug, Eq, PartialEq, Hash)]
struct Key {
    group: Arc<str>,
    member: Arc<str>,
    address: SocketAddr,
}

/// This instance's connections to one member of a group, with its load and retry budget.
#[derive(Debug)]
struct EndpointPool {
    target: Target,
    /// Direct connections to the member; none while this instance holds no seat.
    direct: Mutex<Option<Arc<BoundedPool>>>,
    /// Connections through other instances.
    forwarded: Arc<BoundedPool>,
    load: Arc<Mutex<Load>>,
    retry_budget: Mutex<RetryBudget>,
    seat: Mutex<Option<seat::Task>>,
}

impl Pool {
    /// Creates a pool without connections.
    pub fn new(config: Config) -> Self {
        Self {
            config,
            directory: None,
            endpoint_pools: Mutex::default(),
            hasher: RandomState::new(),
        }
    }

    /// Makes the pool open direct connections only while it holds a seat, and forward through the
    /// directory's instances otherwise.
    #[must_use]
    pub fn directory(mut self, directory: Arc<dyn ForwardDirectory>) -> Self {
        self.directory = Some(directory);
        self
    }

    /// Returns the hasher from which the names of prepared statements at endpoints are derived.
    pub fn hasher(&self) -> &RandomState {
        &self.hasher
    }

    /// Returns the load of each member of a group, in the order of the view.
    pub fn load(&self, group: &view::Group) -> Vec<Load> {
        let members = group.members.iter();
        members
            .map(|member| *self.endpoint_pool(&group.name, member).load.lock())
            .collect()
    }

    /// Records the first attempt of a statement on a member, which adds to its retry budget.
    pub fn deposit_retry(&self, group: &view::Group, member: usize) {
        self.endpoint_pool(&group.name, &group.members[member])
            .retry_budget
            .lock()
            .deposit();
    }

    /// Takes one retry from a member's budget; returns false if the budget is exhausted.
    pub fn try_withdraw_retry(&self, group: &view::Group, member: usize) -> bool {
        self.endpoint_pool(&group.name, &group.members[member])
            .retry_budget
            .lock()
            .try_withdraw()
    }

    /// Requests a seat of a member until it is granted, and holds it then; `rank` is this
    /// instance's position among all candidates.
    pub fn request_seat(&self, group: &Arc<str>, member: &view::Member, plan: Plan, rank: u32) {
        let endpoint_pool = self.endpoint_pool(group, member);
        let mut seat = endpoint_pool.seat.lock();
        if seat.as_ref().is_none_or(|task| task.plan() != plan) {
            *seat = Some(seat::spawn(Arc::downgrade(&endpoint_pool), plan, rank));
        }
    }

    /// Stops requesting a seat of a member; a seat that was granted is kept.
    pub fn cancel_seat_request(&self, group: &Arc<str>, member: &view::Member) {
        let endpoint_pool = self.endpoint_pool(group, member);
        let mut seat = endpoint_pool.seat.lock();
        if seat.as_ref().is_some_and(|task| !task.is_locked()) {
            *seat = None;
        }
    }

    /// Returns whether this instance holds a seat of a member and so may connect to it directly.
    pub fn has_seat(&self, group: &Arc<str>, member: &view::Member) -> bool {
        self.endpoint_pool(group, member).direct.lock().is_some()
    }

    /// Acquires a connection to a member, through another instance if this one has no seat.
    ///
    /// # Errors
    ///
    /// Returns an error if no connection becomes available before the deadline.
    pub async fn acquire(
        &self,
        group: &view::Group,
        member: usize,
        request: &AcquireRequest,
    ) -> Result<PooledConnection, Error> {
        let view = &group.members[member];
        let endpoint_pool = self.endpoint_pool(&group.name, view);
        let mut delay = MIN_RETRY_DELAY;
        loop {
            let direct = self.direct(&endpoint_pool);
            let has_seat = direct.is_some();
            let acquired = match direct {
                Some(connections) => {
                    self.acquire_direct(&endpoint_pool, &connections, request)
                        .await
                }
                None => {
                    self.acquire_forwarded(&group.name, view, &endpoint_pool, request)
                        .await
                }
            };
            let kind = match acquired {
                Ok(connection) => return Ok(connection),
                Err(kind) => kind,
            };
            // Retried because another instance may be granted a seat in the meantime.
            if has_seat || Instant::now() + delay >= request.deadline {
                return Err(Error {
                    kind,
                    member: Arc::clone(&view.name),
                });
            }
            sleep(delay).await;
            delay = (delay * 2).min(MAX_RETRY_DELAY);
        }
    }

    /// Acquires a direct connection to a member on behalf of another instance.
    ///
    /// # Errors
    ///
    /// Returns an error if this instance has no seat, or no connection becomes available before the
    /// deadline.
    pub async fn acquire_for_peer(
        &self,
        group: &view::Group,
        member: usize,
        request: &AcquireRequest,
    ) -> Result<PooledConnection, Error> {
        let view = &group.members[member];
        let endpoint_pool = self.endpoint_pool(&group.name, view);
        let fail = |kind| Error {
            kind,
            member: Arc::clone(&view.name),
        };
        let connections = self
            .direct(&endpoint_pool)
            .ok_or_else(|| fail(ErrorKind::Unreachable))?;
        self.acquire_direct(&endpoint_pool, &connections, request)
            .await
            .map_err(fail)
    }

    /// Returns the direct connections; none if a directory is set and this instance has no seat.
    fn direct(&self, endpoint_pool: &EndpointPool) -> Option<Arc<BoundedPool>> {
        let mut direct = endpoint_pool.direct.lock();
        if direct.is_none() && self.directory.is_none() {
            *direct = Some(Arc::new(BoundedPool::new(self.config.connections)));
        }
        direct.clone()
    }

    async fn acquire_direct(
        &self,
        endpoint_pool: &EndpointPool,
        connections: &Arc<BoundedPool>,
        request: &AcquireRequest,
    ) -> Result<PooledConnection, ErrorKind> {
        let permit = connections.acquire_permit(request).await?;
        let connection = match connections.pop_where(|_| true) {
            Some(connection) => connection,
            None => connections.track(self.open(&endpoint_pool.target, request.deadline).await?),
        };
        Ok(PooledConnection::new(
            Arc::clone(connections),
            Arc::clone(&endpoint_pool.load),
            connection,
            permit,
        ))
    }

    async fn acquire_forwarded(
        &self,
        group: &str,
        view: &view::Member,
        endpoint_pool: &EndpointPool,
        request: &AcquireRequest,
    ) -> Result<PooledConnection, ErrorKind> {
        let Some(directory) = &self.directory else {
            return Err(ErrorKind::Unreachable);
        };
        let connections = &endpoint_pool.forwarded;
        let permit = connections.acquire_permit(request).await?;
        let addresses = directory.forward_addresses(group, view);
        // A connection through an instance that is no longer listed, such as a draining one, is not
        // used again although it is still open.
        let may_use = |connection: &Connection| addresses.contains(&connection.endpoint.address());
        let connection = match connections.pop_where(may_use) {
            Some(connection) => connection,
            None => connections.track(
                self.open_forwarded(&addresses, view, endpoint_pool, request.deadline)
                    .await?,
            ),
        };
        Ok(PooledConnection::new(
            Arc::clone(connections),
            Arc::clone(&endpoint_pool.load),
            connection,
            permit,
        ))
    }

    /// Opens a connection through the first instance that accepts one because it holds a seat.
    async fn open_forwarded(
        &self,
        addresses: &[SocketAddr],
        view: &view::Member,
        endpoint_pool: &EndpointPool,
        deadline: Instant,
    ) -> Result<Connection, ErrorKind> {
        for address in addresses {
            let target = Target {
                address: *address,
                member: Some(Arc::clone(&view.name)),
                tls: self.config.peer_tls.clone(),
                ..endpoint_pool.target.clone()
            };
            if let Ok(connection) = self.open_once(&target, deadline).await {
                return Ok(connection);
            }
        }
        Err(ErrorKind::Unreachable)
    }

    /// Opens a connection to an endpoint, and retries while the endpoint is at its connection
    /// limit.
    async fn open(&self, target: &Target, deadline: Instant) -> Result<Connection, ErrorKind> {
        let mut delay = MIN_RETRY_DELAY;
        loop {
            let error = match self.open_once(target, deadline).await {
                Ok(connection) => return Ok(connection),
                Err(error) => error,
            };
            let is_full = error.sqlstate() == Some(TOO_MANY_CONNECTIONS);
            if !is_full {
                return Err(ErrorKind::Unreachable);
            }
            if Instant::now() + delay >= deadline {
                return Err(ErrorKind::Busy);
            }
            sleep(delay).await;
            delay = (delay * 2).min(MAX_RETRY_DELAY);
        }
    }

    async fn open_once(
        &self,
        target: &Target,
        deadline: Instant,
    ) -> Result<Connection, endpoint::Error> {
        let remaining = deadline.saturating_duration_since(Instant::now());
        let timeout = remaining.min(self.config.connect_timeout);
        let connection = endpoint::Connection::open(target, timeout).await?;
        Ok(Connection::new(connection))
    }

    /// Returns the connections to a member, which are created on first use.
    fn endpoint_pool(&self, group: &Arc<str>, member: &view::Member) -> Arc<EndpointPool> {
        let key = Key {
            group: Arc::clone(group),
            member: Arc::clone(&member.name),
            address: member.address,
        };
        let mut endpoint_pools = self.endpoint_pools.lock();
        let entry = endpoint_pools
            .entry(key)
            .or_insert_with(|| Arc::new(EndpointPool::new(self.target(group, member))));
        Arc::clone(entry)
    }

    fn target(&self, group: &Arc<str>, member: &view::Member) -> Target {
        Target {
            address: member.address,
            database: Arc::clone(group),
            user: Arc::clone(&self.config.user),
            password: Arc::clone(&self.config.password),
            application: Arc::clone(&self.config.application),
            member: None,
            tls: None,
        }
    }
}

impl EndpointPool {
    fn new(target: Target) -> Self {
        Self {
            target,
            direct: Mutex::default(),
            forwarded: Arc::new(BoundedPool::new(MAX_FORWARDED_CONNECTIONS)),
            load: Arc::default(),
            retry_budget: Mutex::new(RetryBudget::new(RETRY_RATIO, RETRY_BURST)),
            seat: Mutex::default(),
        }
    }

    /// Allows up to `max_connections` direct connections.
    fn allow_direct(&self, max_connections: u32) {
        *self.direct.lock() = Some(Arc::new(BoundedPool::new(max_connections)));
    }

    /// Aborts all direct connections, also those in use, and allows no new ones.
    fn close_direct(&self) {
        if let Some(connections) = self.direct.lock().take() {
            connections.close();
        }
    }
}
