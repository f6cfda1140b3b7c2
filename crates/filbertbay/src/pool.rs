//! Connections to endpoints, shared by the sessions of this instance.
//!
//! A session leases one connection for a transaction and gives it back clean. A connection that is
//! not given back clean is closed, and the endpoint rolls back what was open on it.
//!
//! With a [`ForwardDirectory`] the instance opens connections to a member only while it holds one of the
//! member's seats, see [`seat`](filbertbay_coordination::seat), and forwards over an instance that
//! holds one otherwise. Without one it opens a fixed number of connections.

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
pub use self::stock::PooledConnection;
use self::stock::Stock;

/// SQLSTATE of an endpoint that accepts no further connection.
const TOO_MANY_CONNECTIONS: &str = "53300";

/// First wait before a connection is asked for again.
const FIRST_REPEAT: Duration = Duration::from_millis(5);

/// Longest wait before a connection is asked for again.
const MAX_REPEAT: Duration = Duration::from_millis(100);

/// Retries per first try that a member may cause.
const RETRY_RATIO: f64 = 0.1;

/// Retries beyond that ratio that a member may cause at once.
const RETRY_RESERVE: u32 = 10;

/// Connections to one member over other instances.
const MAX_FORWARDED: u32 = 8;

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
    /// Creates options with the credentials that endpoints are shown.
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

    /// Sets the identity that other instances are shown; without it links to them are in the clear.
    #[must_use]
    pub fn peer_tls(mut self, identity: Option<Arc<Identity>>) -> Self {
        self.peer_tls = identity;
        self
    }

    /// Sets the longest wait for one connection to open.
    #[must_use]
    pub fn connect_timeout(mut self, timeout: Duration) -> Self {
        self.connect_timeout = timeout;
        self
    }

    /// Sets the number of connections to one member.
    #[must_use]
    pub fn connections(mut self, connections: u32) -> Self {
        self.connections = connections;
        self
    }
}

/// Why no connection could be leased; the work was not sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq, strum::Display)]
#[strum(serialize_all = "snake_case")]
#[non_exhaustive]
pub enum ErrorKind {
    /// Every connection was in use until the deadline.
    Busy,
    /// The endpoint could not be reached.
    Unreachable,
}

/// Failure to lease a connection; the work was not sent.
#[derive(Debug, thiserror::Error)]
#[error("no connection to {member}: {kind}")]
pub struct Error {
    kind: ErrorKind,
    member: Arc<str>,
}

impl Error {
    /// Returns what went wrong.
    pub fn kind(&self) -> ErrorKind {
        self.kind
    }
}

/// Border to what control knows about other instances.
pub trait ForwardDirectory: Debug + Send + Sync {
    /// Returns where statements for a member may be forwarded, the likeliest holder of a seat
    /// first.
    fn forward_addresses(&self, group: &str, member: &view::Member) -> Vec<SocketAddr>;
}

/// Connections to the members of all groups.
#[derive(Debug)]
pub struct Pool {
    config: Config,
    directory: Option<Arc<dyn ForwardDirectory>>,
    members: Mutex<HashMap<Key, Arc<Member>>>,
    hasher: RandomState,
}

#[derive(Clone, Debug, Eq, PartialEq, Hash)]
struct Key {
    group: Arc<str>,
    member: Arc<str>,
    address: SocketAddr,
}

/// Member of a group with this instance's connections to it.
#[derive(Debug)]
struct Member {
    target: Target,
    /// Connections of this instance's own; none while it holds no seat.
    own: Mutex<Option<Arc<Stock>>>,
    /// Connections over other instances.
    forwarded: Arc<Stock>,
    load: Arc<Mutex<Load>>,
    retries: Mutex<RetryBudget>,
    seat: Mutex<Option<seat::Task>>,
}

impl Pool {
    /// Creates a pool without connections.
    pub fn new(config: Config) -> Self {
        Self {
            config,
            directory: None,
            members: Mutex::default(),
            hasher: RandomState::new(),
        }
    }

    /// Lets the pool open connections only with seats, and forward otherwise.
    #[must_use]
    pub fn directory(mut self, directory: Arc<dyn ForwardDirectory>) -> Self {
        self.directory = Some(directory);
        self
    }

    /// Returns the hasher that names prepared statements at endpoints.
    pub fn hasher(&self) -> &RandomState {
        &self.hasher
    }

    /// Returns the load of each member of a group, in the order of the view.
    pub fn load(&self, group: &view::Group) -> Vec<Load> {
        let members = group.members.iter();
        members
            .map(|member| *self.member(&group.name, member).load.lock())
            .collect()
    }

    /// Notes the first try of a statement on a member.
    pub fn deposit_retry(&self, group: &view::Group, member: usize) {
        self.member(&group.name, &group.members[member])
            .retries
            .lock()
            .deposit();
    }

    /// Tells whether a statement that failed on a member may be tried once more.
    pub fn try_withdraw_retry(&self, group: &view::Group, member: usize) -> bool {
        self.member(&group.name, &group.members[member])
            .retries
            .lock()
            .try_withdraw()
    }

    /// Tries to hold a seat of a member from now on, at the given rank among all instances.
    pub fn request_seat(&self, group: &Arc<str>, member: &view::Member, plan: Plan, rank: u32) {
        let member = self.member(group, member);
        let mut seat = member.seat.lock();
        if seat.as_ref().is_none_or(|task| task.plan() != plan) {
            *seat = Some(seat::spawn(Arc::downgrade(&member), plan, rank));
        }
    }

    /// Asks no longer for a seat of a member, unless the member has given one.
    pub fn cancel_seat_request(&self, group: &Arc<str>, member: &view::Member) {
        let member = self.member(group, member);
        let mut seat = member.seat.lock();
        if seat.as_ref().is_some_and(|task| !task.is_locked()) {
            *seat = None;
        }
    }

    /// Returns whether this instance may open connections to a member.
    pub fn has_seat(&self, group: &Arc<str>, member: &view::Member) -> bool {
        self.member(group, member).own.lock().is_some()
    }

    /// Leases a connection to a member, over another instance where this one has no seat.
    ///
    /// # Errors
    ///
    /// Returns an error if none is to be had until the deadline.
    pub async fn acquire(
        &self,
        group: &view::Group,
        member: usize,
        claim: &AcquireRequest,
    ) -> Result<PooledConnection, Error> {
        let view = &group.members[member];
        let member = self.member(&group.name, view);
        let mut wait = FIRST_REPEAT;
        loop {
            let own = self.own(&member);
            let has_seat = own.is_some();
            let taken = match own {
                Some(stock) => self.take_own(&member, &stock, claim).await,
                None => self.take_forwarded(&group.name, view, &member, claim).await,
            };
            let kind = match taken {
                Ok(lease) => return Ok(lease),
                Err(kind) => kind,
            };
            // Another instance's seat may come or move meanwhile.
            if has_seat || Instant::now() + wait >= claim.deadline {
                return Err(Error {
                    kind,
                    member: Arc::clone(&view.name),
                });
            }
            sleep(wait).await;
            wait = (wait * 2).min(MAX_REPEAT);
        }
    }

    /// Leases a connection of this instance's own to a member, for another instance.
    ///
    /// # Errors
    ///
    /// Returns an error if this instance has no seat, or none is to be had until the deadline.
    pub async fn acquire_for_peer(
        &self,
        group: &view::Group,
        member: usize,
        claim: &AcquireRequest,
    ) -> Result<PooledConnection, Error> {
        let view = &group.members[member];
        let member = self.member(&group.name, view);
        let fail = |kind| Error {
            kind,
            member: Arc::clone(&view.name),
        };
        let stock = self
            .own(&member)
            .ok_or_else(|| fail(ErrorKind::Unreachable))?;
        self.take_own(&member, &stock, claim).await.map_err(fail)
    }

    fn own(&self, member: &Member) -> Option<Arc<Stock>> {
        let mut own = member.own.lock();
        if own.is_none() && self.directory.is_none() {
            *own = Some(Arc::new(Stock::new(self.config.connections)));
        }
        own.clone()
    }

    async fn take_own(
        &self,
        member: &Member,
        stock: &Arc<Stock>,
        claim: &AcquireRequest,
    ) -> Result<PooledConnection, ErrorKind> {
        let permit = stock.permit(claim).await?;
        let connection = match stock.pop_where(|_| true) {
            Some(connection) => connection,
            None => stock.adopt(self.open(&member.target, claim.deadline).await?),
        };
        Ok(PooledConnection::new(
            Arc::clone(stock),
            Arc::clone(&member.load),
            connection,
            permit,
        ))
    }

    async fn take_forwarded(
        &self,
        group: &str,
        view: &view::Member,
        member: &Member,
        claim: &AcquireRequest,
    ) -> Result<PooledConnection, ErrorKind> {
        let Some(directory) = &self.directory else {
            return Err(ErrorKind::Unreachable);
        };
        let stock = &member.forwarded;
        let permit = stock.permit(claim).await?;
        let addresses = directory.forward_addresses(group, view);
        // An instance that leaves is not used again, although its connection still stands.
        let may_use = |connection: &Connection| addresses.contains(&connection.endpoint.address());
        let connection = match stock.pop_where(may_use) {
            Some(connection) => connection,
            None => stock.adopt(
                self.forward(&addresses, view, member, claim.deadline)
                    .await?,
            ),
        };
        Ok(PooledConnection::new(
            Arc::clone(stock),
            Arc::clone(&member.load),
            connection,
            permit,
        ))
    }

    /// Connects over the first instance that holds a seat.
    async fn forward(
        &self,
        addresses: &[SocketAddr],
        view: &view::Member,
        member: &Member,
        deadline: Instant,
    ) -> Result<Connection, ErrorKind> {
        for address in addresses {
            let target = Target {
                address: *address,
                member: Some(Arc::clone(&view.name)),
                tls: self.config.peer_tls.clone(),
                ..member.target.clone()
            };
            if let Ok(connection) = self.open_once(&target, deadline).await {
                return Ok(connection);
            }
        }
        Err(ErrorKind::Unreachable)
    }

    async fn open(&self, target: &Target, deadline: Instant) -> Result<Connection, ErrorKind> {
        let mut wait = FIRST_REPEAT;
        loop {
            let error = match self.open_once(target, deadline).await {
                Ok(connection) => return Ok(connection),
                Err(error) => error,
            };
            let is_full = error.sqlstate() == Some(TOO_MANY_CONNECTIONS);
            if !is_full {
                return Err(ErrorKind::Unreachable);
            }
            if Instant::now() + wait >= deadline {
                return Err(ErrorKind::Busy);
            }
            sleep(wait).await;
            wait = (wait * 2).min(MAX_REPEAT);
        }
    }

    async fn open_once(
        &self,
        target: &Target,
        deadline: Instant,
    ) -> Result<Connection, endpoint::Error> {
        let left = deadline.saturating_duration_since(Instant::now());
        let limit = left.min(self.config.connect_timeout);
        let connection = endpoint::Connection::open(target, limit).await?;
        Ok(Connection::new(connection))
    }

    fn member(&self, group: &Arc<str>, member: &view::Member) -> Arc<Member> {
        let key = Key {
            group: Arc::clone(group),
            member: Arc::clone(&member.name),
            address: member.address,
        };
        let mut members = self.members.lock();
        let entry = members
            .entry(key)
            .or_insert_with(|| Arc::new(Member::new(self.target(group, member))));
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

impl Member {
    fn new(target: Target) -> Self {
        Self {
            target,
            own: Mutex::default(),
            forwarded: Arc::new(Stock::new(MAX_FORWARDED)),
            load: Arc::default(),
            retries: Mutex::new(RetryBudget::new(RETRY_RATIO, RETRY_RESERVE)),
            seat: Mutex::default(),
        }
    }

    /// Lets connections of this instance's own be opened.
    fn open_own(&self, connections: u32) {
        *self.own.lock() = Some(Arc::new(Stock::new(connections)));
    }

    /// Ends every connection of this instance's own at once.
    fn close_own(&self) {
        if let Some(stock) = self.own.lock().take() {
            stock.end();
        }
    }
}
