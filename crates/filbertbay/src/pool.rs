//! Connections to endpoints, shared by the sessions of this instance.
//!
//! A session leases one connection for a transaction and gives it back clean. A connection that is
//! not given back clean is closed, and the endpoint rolls back what was open on it.

mod connection;

use std::collections::HashMap;
use std::hash::RandomState;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use filbertbay_coordination::replica::Load;
use filbertbay_coordination::view;
use filbertbay_transport::endpoint::{self, Target};
use parking_lot::Mutex;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::{sleep, timeout_at};

pub use self::connection::{Connection, Prepared};

/// SQLSTATE of an endpoint that accepts no further connection.
const TOO_MANY_CONNECTIONS: &str = "53300";

/// First wait before a connection is asked for again at an endpoint that is full.
const FIRST_REPEAT: Duration = Duration::from_millis(5);

/// Longest wait before a connection is asked for again at an endpoint that is full.
const MAX_REPEAT: Duration = Duration::from_millis(100);

/// Weight of the newest statement in a member's mean latency, as one part in this many.
const LATENCY_PARTS: u32 = 8;

/// Options of a [`Pool`].
#[derive(Clone, Debug)]
pub struct Config {
    user: Arc<str>,
    password: Arc<str>,
    application: Arc<str>,
    connect_timeout: Duration,
    connections: usize,
}

impl Config {
    /// Creates options with the credentials that endpoints are shown.
    pub fn new(user: Arc<str>, password: Arc<str>, application: Arc<str>) -> Self {
        Self {
            user,
            password,
            application,
            connect_timeout: Duration::from_secs(2),
            connections: 2,
        }
    }

    /// Sets the longest wait for one connection to open.
    #[must_use]
    pub fn connect_timeout(mut self, timeout: Duration) -> Self {
        self.connect_timeout = timeout;
        self
    }

    /// Sets the number of connections to one member.
    #[must_use]
    pub fn connections(mut self, connections: usize) -> Self {
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

/// Connections to the members of all groups.
#[derive(Debug)]
pub struct Pool {
    config: Config,
    members: Mutex<HashMap<Key, Arc<Member>>>,
    hasher: RandomState,
}

#[derive(Clone, Debug, Eq, PartialEq, Hash)]
struct Key {
    group: Arc<str>,
    member: Arc<str>,
    address: SocketAddr,
}

#[derive(Debug)]
struct Member {
    name: Arc<str>,
    target: Target,
    permits: Arc<Semaphore>,
    idle: Mutex<Vec<Connection>>,
    load: Mutex<Load>,
}

impl Pool {
    /// Creates a pool without connections.
    pub fn new(config: Config) -> Self {
        let members = Mutex::default();
        Self {
            config,
            members,
            hasher: RandomState::new(),
        }
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

    /// Leases a connection to a member.
    ///
    /// # Errors
    ///
    /// Returns an error if none is to be had until the deadline.
    pub async fn take(
        &self,
        group: &view::Group,
        member: usize,
        deadline: Instant,
    ) -> Result<Lease, Error> {
        let view = &group.members[member];
        let member = self.member(&group.name, view);
        let fail = |kind| Error {
            kind,
            member: Arc::clone(&view.name),
        };
        let waiting = Arc::clone(&member.permits).acquire_owned();
        let permit = timeout_at(deadline.into(), waiting)
            .await
            .ok()
            .and_then(Result::ok)
            .ok_or_else(|| fail(ErrorKind::Busy))?;
        let connection = match member.pop_idle() {
            Some(connection) => connection,
            None => self.open(&member, deadline).await.map_err(fail)?,
        };
        Ok(Lease::new(member, connection, permit))
    }

    async fn open(&self, member: &Member, deadline: Instant) -> Result<Connection, ErrorKind> {
        let mut wait = FIRST_REPEAT;
        loop {
            let error = match self.open_once(member, deadline).await {
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
        member: &Member,
        deadline: Instant,
    ) -> Result<Connection, endpoint::Error> {
        let left = deadline.saturating_duration_since(Instant::now());
        let limit = left.min(self.config.connect_timeout);
        let connection = endpoint::Connection::open(&member.target, limit).await?;
        Ok(Connection::new(connection))
    }

    fn member(&self, group: &Arc<str>, member: &view::Member) -> Arc<Member> {
        let key = Key {
            group: Arc::clone(group),
            member: Arc::clone(&member.name),
            address: member.address,
        };
        let mut members = self.members.lock();
        let entry = members.entry(key).or_insert_with(|| {
            let target = self.target(group, member);
            Arc::new(Member::new(&member.name, target, self.config.connections))
        });
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
        }
    }

    /// Closes idle connections to members that are not among those given, and forgets the members.
    pub fn retain<F>(&self, is_known: F)
    where
        F: Fn(&str, SocketAddr) -> bool,
    {
        self.members
            .lock()
            .retain(|key, _| is_known(&key.group, key.address));
    }
}

impl Member {
    fn new(name: &Arc<str>, target: Target, connections: usize) -> Self {
        Self {
            name: Arc::clone(name),
            target,
            permits: Arc::new(Semaphore::new(connections)),
            idle: Mutex::default(),
            load: Mutex::default(),
        }
    }

    /// Takes an idle connection, dropping those that the endpoint has closed meanwhile.
    fn pop_idle(&self) -> Option<Connection> {
        let mut idle = self.idle.lock();
        while let Some(connection) = idle.pop() {
            if connection.is_quiet() {
                return Some(connection);
            }
        }
        None
    }
}

/// Connection that one session holds; dropped, it is closed.
#[derive(Debug)]
pub struct Lease {
    member: Arc<Member>,
    connection: Option<Connection>,
    started: Instant,
    _permit: OwnedSemaphorePermit,
}

impl Lease {
    fn new(member: Arc<Member>, connection: Connection, permit: OwnedSemaphorePermit) -> Self {
        let mut load = member.load.lock();
        load.started += 1;
        load.in_flight += 1;
        drop(load);
        let connection = Some(connection);
        Self {
            member,
            connection,
            started: Instant::now(),
            _permit: permit,
        }
    }

    /// Returns the name of the member.
    pub fn member(&self) -> &Arc<str> {
        &self.member.name
    }

    /// Returns the connection.
    ///
    /// # Panics
    ///
    /// Never, as the connection leaves the lease only when the lease ends.
    pub fn connection(&mut self) -> &mut Connection {
        self.connection
            .as_mut()
            .expect("a lease holds its connection")
    }

    /// Gives a clean connection back: no open transaction and no answer unread.
    pub fn give_back(mut self) {
        if let Some(connection) = self.connection.take().filter(Connection::is_quiet) {
            self.member.idle.lock().push(connection);
        }
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        let took = self.started.elapsed();
        let mut load = self.member.load.lock();
        load.in_flight = load.in_flight.saturating_sub(1);
        load.latency = (load.latency * (LATENCY_PARTS - 1) + took) / LATENCY_PARTS;
    }
}
