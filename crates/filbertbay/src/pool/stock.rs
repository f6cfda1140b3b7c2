//! Bounded stock of connections, and the lease of one.

use std::sync::{Arc, Weak};
use std::time::Instant;

use filbertbay_coordination::replica::Load;
use filbertbay_transport::endpoint::AbortHandle;
use parking_lot::Mutex;

use super::gate::{AcquireRequest, Gate, Permit};
use super::{Connection, ErrorKind};

/// Weight of the newest statement in a member's mean latency, as one part in this many.
const LATENCY_PARTS: u32 = 8;

/// Bounded stock of connections to one member.
#[derive(Debug)]
pub(super) struct Stock {
    gate: Arc<Gate>,
    idle: Mutex<Vec<Connection>>,
    breakers: Mutex<Vec<Weak<AbortHandle>>>,
}

impl Stock {
    /// Creates a stock of at most this many connections.
    pub(super) fn new(connections: u32) -> Self {
        Self {
            gate: Arc::new(Gate::new(connections)),
            idle: Mutex::default(),
            breakers: Mutex::default(),
        }
    }

    /// Waits for the right to use one connection.
    pub(super) async fn permit(&self, claim: &AcquireRequest) -> Result<Permit, ErrorKind> {
        self.gate.pass(claim).await
    }

    /// Takes an idle connection, dropping those that were closed meanwhile or may not be used.
    pub(super) fn pop_where<F>(&self, may_use: F) -> Option<Connection>
    where
        F: Fn(&Connection) -> bool,
    {
        let mut idle = self.idle.lock();
        while let Some(connection) = idle.pop() {
            if connection.is_reusable() && may_use(&connection) {
                return Some(connection);
            }
        }
        None
    }

    /// Notes a fresh connection, so that [`Stock::end`] reaches it.
    pub(super) fn adopt(&self, connection: Connection) -> Connection {
        let mut breakers = self.breakers.lock();
        breakers.retain(|breaker| breaker.strong_count() > 0);
        breakers.push(Arc::downgrade(connection.endpoint.abort_handle()));
        if self.gate.is_closed() {
            connection.endpoint.abort_handle().abort();
        }
        drop(breakers);
        connection
    }

    /// Ends every connection, also those that are leased.
    pub(super) fn end(&self) {
        self.gate.close();
        let breakers = self.breakers.lock();
        breakers
            .iter()
            .filter_map(Weak::upgrade)
            .for_each(|breaker| breaker.abort());
        self.idle.lock().clear();
    }
}

/// Connection that one session holds; dropped, it is closed.
#[derive(Debug)]
pub struct PooledConnection {
    stock: Arc<Stock>,
    load: Arc<Mutex<Load>>,
    connection: Option<Connection>,
    started: Instant,
    _permit: Permit,
}

impl PooledConnection {
    pub(super) fn new(
        stock: Arc<Stock>,
        load: Arc<Mutex<Load>>,
        connection: Connection,
        permit: Permit,
    ) -> Self {
        {
            let mut load = load.lock();
            load.started += 1;
            load.in_flight += 1;
        }
        let connection = Some(connection);
        Self {
            stock,
            load,
            connection,
            started: Instant::now(),
            _permit: permit,
        }
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
    pub fn release(mut self) {
        if let Some(connection) = self.connection.take().filter(Connection::is_reusable) {
            self.stock.idle.lock().push(connection);
        }
    }
}

impl Drop for PooledConnection {
    fn drop(&mut self) {
        let took = self.started.elapsed();
        let mut load = self.load.lock();
        load.in_flight = load.in_flight.saturating_sub(1);
        load.latency = (load.latency * (LATENCY_PARTS - 1) + took) / LATENCY_PARTS;
    }
}
