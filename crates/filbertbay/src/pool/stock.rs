//! Bounded pool of connections to one member, and a connection that is checked out of it.

use std::sync::{Arc, Weak};
use std::time::Instant;

use filbertbay_coordination::replica::Load;
use filbertbay_transport::endpoint::AbortHandle;
use parking_lot::Mutex;

use super::gate::{AcquireRequest, FairSemaphore, Permit};
use super::{Connection, ErrorKind};

/// The weight of a new latency in a member's moving average is one divided by this.
const LATENCY_AVERAGE_DIVISOR: u32 = 8;

/// Bounded pool of connections to one member.
#[derive(Debug)]
pub(super) struct BoundedPool {
    semaphore: Arc<FairSemaphore>,
    idle: Mutex<Vec<Connection>>,
    abort_handles: Mutex<Vec<Weak<AbortHandle>>>,
}

impl BoundedPool {
    /// Creates an empty pool of at most `max_connections` connections.
    pub(super) fn new(max_connections: u32) -> Self {
        Self {
            semaphore: Arc::new(FairSemaphore::new(max_connections)),
            idle: Mutex::default(),
            abort_handles: Mutex::default(),
        }
    }

    /// Waits for permission to use one connection.
    pub(super) async fn acquire_permit(
        &self,
        request: &AcquireRequest,
    ) -> Result<Permit, ErrorKind> {
        self.semaphore.acquire(request).await
    }

    /// Returns an idle connection, and drops those that can't be reused or that `may_use` rejects.
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

    /// Registers a new connection, so that [`BoundedPool::close`] aborts it.
    pub(super) fn track(&self, connection: Connection) -> Connection {
        let mut abort_handles = self.abort_handles.lock();
        abort_handles.retain(|handle| handle.strong_count() > 0);
        abort_handles.push(Arc::downgrade(connection.endpoint.abort_handle()));
        if self.semaphore.is_closed() {
            connection.endpoint.abort_handle().abort();
        }
        drop(abort_handles);
        connection
    }

    /// Aborts every connection, also those in use, and refuses further requests.
    pub(super) fn close(&self) {
        self.semaphore.close();
        let abort_handles = self.abort_handles.lock();
        abort_handles
            .iter()
            .filter_map(Weak::upgrade)
            .for_each(|handle| handle.abort());
        self.idle.lock().clear();
    }
}

/// Connection that is checked out by one session; closed on drop unless it was released.
#[derive(Debug)]
pub struct PooledConnection {
    pool: Arc<BoundedPool>,
    load: Arc<Mutex<Load>>,
    connection: Option<Connection>,
    acquired_at: Instant,
    _permit: Permit,
}

impl PooledConnection {
    pub(super) fn new(
        pool: Arc<BoundedPool>,
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
            pool,
            load,
            connection,
            acquired_at: Instant::now(),
            _permit: permit,
        }
    }

    /// Returns the connection.
    ///
    /// # Panics
    ///
    /// Never, as the connection is taken out only by [`PooledConnection::release`], which consumes
    /// the value.
    pub fn connection(&mut self) -> &mut Connection {
        self.connection
            .as_mut()
            .expect("the connection is present until release")
    }

    /// Returns the connection to the pool; it must have no open transaction. A connection that the
    /// endpoint has closed or that has unread data is dropped instead.
    pub fn release(mut self) {
        if let Some(connection) = self.connection.take().filter(Connection::is_reusable) {
            self.pool.idle.lock().push(connection);
        }
    }
}

impl Drop for PooledConnection {
    fn drop(&mut self) {
        let elapsed = self.acquired_at.elapsed();
        let mut load = self.load.lock();
        load.in_flight = load.in_flight.saturating_sub(1);
        load.latency =
            (load.latency * (LATENCY_AVERAGE_DIVISOR - 1) + elapsed) / LATENCY_AVERAGE_DIVISOR;
    }
}
