//! Stand-in database groups.
//!
//! A member is a PostgreSQL server over SQLite in memory, on an address of its own. Replicas pull
//! the primary's log. Members take the statements of [`filbertbay_protocol::endpoint`], and nothing
//! but those moves the lead once the group runs: an isolated primary goes on believing that it
//! leads.
//!
//! Log entries are statements, which every copy runs again. A statement whose result depends on the
//! clock or on chance would differ between copies, so SQL for a stand-in names its values.
//!
//! # Examples
//!
//! ```
//! use standin::group::{Config, Place};
//!
//! # tokio::runtime::Runtime::new()?.block_on(async {
//! let places = ["a", "b", "c"].map(|name| Place::new(name, "quimper"));
//! let group = Config::new("orders", "secret").places(places).spawn().await?;
//! assert_eq!(group.members().len(), 3);
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! # })?;
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

mod answer;
mod function;
mod handler;
mod member;
pub mod network;
mod replication;
mod row;
mod server;
mod session;
mod sql;
mod store;

use std::fmt;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};

use filbertbay_state::position::Term;
use filbertbay_state::status::Role;
use tokio::net::TcpListener;
use tokio::task::JoinSet;

pub use member::{Member, Reads};
use network::{End, Latency, Network};
use server::Server;

/// Options of a group.
#[derive(Clone, Debug)]
pub struct Config {
    name: Arc<str>,
    password: Arc<str>,
    places: Vec<Place>,
    network: Arc<Network>,
    connections: u32,
    slots: u32,
    connect_time: Duration,
    record: bool,
}

/// Name, data centre and address of a member to be.
#[derive(Clone, Debug)]
pub struct Place {
    name: Arc<str>,
    data_centre: Arc<str>,
    address: SocketAddr,
}

impl Place {
    /// Creates a place on a free loopback port.
    pub fn new(name: &str, data_centre: &str) -> Self {
        Self {
            name: Arc::from(name),
            data_centre: Arc::from(data_centre),
            address: SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0),
        }
    }

    /// Sets the address; port zero takes a free port.
    #[must_use]
    pub fn address(mut self, address: SocketAddr) -> Self {
        self.address = address;
        self
    }
}

impl Config {
    /// Starts the options of a group whose members ask for a password.
    pub fn new(name: &str, password: &str) -> Self {
        Self {
            name: Arc::from(name),
            password: Arc::from(password),
            places: Vec::new(),
            network: Network::new(Latency::default(), []),
            connections: 16,
            slots: 2,
            connect_time: Duration::ZERO,
            record: false,
        }
    }

    /// Sets the members; the first leads term 1.
    #[must_use]
    pub fn places<I>(mut self, places: I) -> Self
    where
        I: IntoIterator<Item = Place>,
    {
        self.places = places.into_iter().collect();
        self
    }

    /// Sets the network that the members share with other groups.
    #[must_use]
    pub fn network(mut self, network: Arc<Network>) -> Self {
        self.network = network;
        self
    }

    /// Sets the connections that each member accepts.
    #[must_use]
    pub fn connections(mut self, connections: u32) -> Self {
        self.connections = connections;
        self
    }

    /// Sets the statements that each member runs at once.
    #[must_use]
    pub fn slots(mut self, slots: u32) -> Self {
        self.slots = slots;
        self
    }

    /// Sets the time that a new connection takes.
    #[must_use]
    pub fn connect_time(mut self, connect_time: Duration) -> Self {
        self.connect_time = connect_time;
        self
    }

    /// Sets whether members keep every byte that callers send.
    #[must_use]
    pub fn record(mut self, record: bool) -> Self {
        self.record = record;
        self
    }

    /// Starts the members and returns the running group.
    ///
    /// # Errors
    ///
    /// Fails if an address can't be bound.
    pub async fn spawn(self) -> io::Result<Handle> {
        let mut listeners = Vec::with_capacity(self.places.len());
        let mut members = Vec::with_capacity(self.places.len());
        for place in &self.places {
            let listener = TcpListener::bind(place.address).await?;
            members.push(self.member(place, listener.local_addr()?)?);
            listeners.push(listener);
        }
        introduce(&members);
        let mut tasks = JoinSet::new();
        for (index, listener) in listeners.into_iter().enumerate() {
            let server = self.server(Arc::clone(&members[index]));
            tasks.spawn(Arc::new(server).run(listener));
            tasks.spawn(replication::run(members.clone(), index));
        }
        Ok(Handle {
            name: self.name,
            members,
            _tasks: tasks,
        })
    }

    fn member(&self, place: &Place, address: SocketAddr) -> io::Result<Arc<Member>> {
        let parts = member::Parts {
            end: End {
                member: Arc::clone(&place.name),
                data_centre: Arc::clone(&place.data_centre),
            },
            address,
            connections: self.connections,
            slots: self.slots,
            record: self.record,
            network: Arc::clone(&self.network),
        };
        Member::new(parts, Instant::now()).map_err(io::Error::other)
    }

    fn server(&self, member: Arc<Member>) -> Server {
        Server {
            member,
            password: Arc::clone(&self.password),
            connect_time: self.connect_time,
            cancels: Arc::default(),
            keys: pgwire::api::RandomPidSecretKeyGenerator::default(),
        }
    }
}

/// Tells members of each other; the first leads and the rest follow it.
fn introduce(members: &[Arc<Member>]) {
    let addresses: Vec<SocketAddr> = members.iter().map(|member| member.address()).collect();
    for (index, member) in members.iter().enumerate() {
        member.set_peers(addresses.clone());
        let order = match index {
            0 => member.promote(Term(1)),
            _ => member.follow(addresses[0], Term(1)),
        };
        order.expect("a new member takes the first order");
    }
}

/// Running group; dropping it ends its members.
pub struct Handle {
    name: Arc<str>,
    members: Vec<Arc<Member>>,
    _tasks: JoinSet<()>,
}

impl fmt::Debug for Handle {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let members = &self.members;
        let mut out = f.debug_struct("Handle");
        out.field("name", &self.name).field("members", members);
        out.finish_non_exhaustive()
    }
}

impl Handle {
    /// Returns the group's name.
    pub fn name(&self) -> &Arc<str> {
        &self.name
    }

    /// Returns the members in the order of their places.
    pub fn members(&self) -> &[Arc<Member>] {
        &self.members
    }

    /// Returns the member with the given name.
    pub fn member(&self, name: &str) -> Option<&Arc<Member>> {
        let members = self.members.iter();
        members.into_iter().find(|member| **member.name() == *name)
    }

    /// Returns the member that leads the highest term.
    pub fn primary(&self) -> &Arc<Member> {
        let now = Instant::now();
        let leads = |member: &&Arc<Member>| member.status(now).role == Role::Primary;
        let leaders = self.members.iter().filter(leads);
        let newest = leaders.max_by_key(|member| member.status(now).received.term);
        newest.unwrap_or(&self.members[0])
    }
}
