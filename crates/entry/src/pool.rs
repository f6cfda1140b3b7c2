//! Pool of connections to all endpoints.
//!
//! An endpoint accepts few connections from all instances together, and each connection belongs to
//! the workspace for which it was opened. Every instance keeps to its share of the connections. A
//! statement takes an idle connection of its workspace, opens a new one, or closes the least
//! recently used idle connection of another workspace to open its own. When all connections are in
//! use it waits, ordered by priority and then by arrival.

mod held;

pub use self::held::{PooledConnection, SessionState};

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use filbertbay_coordination::succession::FailureDetector;
use filbertbay_state::position::Position;
use tokio::sync::oneshot;
use tokio::sync::watch;

use crate::caller::Code;
use crate::clock::Clock;
use crate::endpoint::{Access, ConnectError, Connector, Endpoint, EndpointConnection};

/// Longest wait for a new connection. An idle endpoint needs 12 ms, and an endpoint queues 16
/// statements.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);

/// Time for which no connection is opened after the endpoint refused one because it had none left.
const FULL_BACKOFF: Duration = Duration::from_millis(40);

/// At most the instance's connection limit divided by this is kept idle. An endpoint holds the
/// connections of a machine that lost power for 3 s, and the next process needs slots besides them.
const MAX_IDLE_DIVISOR: usize = 4;

/// The weight of a new latency in the moving average is one divided by this.
const LATENCY_AVERAGE_DIVISOR: u32 = 8;

/// Time in which the weight of an endpoint's measured latency halves.
const LATENCY_HALF_LIFE: Duration = Duration::from_secs(1);

/// Open connection, with the session state that was applied to it.
struct Connection {
    inner: Box<dyn EndpointConnection>,
    workspace: Arc<str>,
    values: BTreeMap<Arc<str>, Arc<str>>,
    prepared: HashMap<(Access, Arc<str>), Arc<str>>,
    prepare_count: u64,
}

/// Resource that is handed to a waiting statement: a connection of its workspace, or a slot to open
/// one.
enum Grant {
    Connection(Connection),
    Slot,
}

struct Waiter {
    workspace: Arc<str>,
    grant: oneshot::Sender<Grant>,
}

#[derive(Default)]
struct PoolState {
    idle: Vec<Connection>,
    open: usize,
    limit: usize,
    /// Whether no connection is kept idle, because the endpoint accepts fewer connections than
    /// there are instances.
    keep_no_idle: bool,
    /// Whether as many connections are kept idle as the limit allows, because this instance sends
    /// the statements of others too.
    keep_all_idle: bool,
    waiting: BTreeMap<(u8, u64), Waiter>,
    failure_detector: FailureDetector,
    latency: Option<(Duration, Instant)>,
    in_flight: usize,
    missing_position: Option<(Position, Instant)>,
    full_until: Option<Instant>,
}

impl PoolState {
    /// Sets this instance's share of the endpoint's connections; zero if there are fewer connections
    /// than instances, and one connection is allowed even then.
    fn set_limit(&mut self, limit: usize) {
        self.limit = limit.max(1);
        self.keep_no_idle = limit == 0;
    }

    /// Returns how many connections are kept idle.
    fn max_idle(&self) -> usize {
        if self.keep_all_idle {
            return self.limit;
        }
        (self.limit / MAX_IDLE_DIVISOR).max(1)
    }
}

/// Connections to one endpoint, with its failure detector and its measured latency.
pub struct EndpointPool {
    endpoint: RefCell<Rc<Endpoint>>,
    state: RefCell<PoolState>,
    /// Number of times that all statements in flight were aborted.
    aborts: watch::Sender<u64>,
}

/// Why a statement got no connection.
#[derive(Debug)]
pub enum AcquireError {
    /// All connections stayed in use until the deadline.
    Busy,
    /// The endpoint refused the connection with this code.
    Refused(Code),
    /// The connection could not be opened for the given cause, such as a network failure or a
    /// timeout.
    Unreachable(String),
}

impl EndpointPool {
    fn new(endpoint: Rc<Endpoint>) -> Self {
        Self {
            endpoint: RefCell::new(endpoint),
            state: RefCell::default(),
            aborts: watch::Sender::new(0),
        }
    }

    /// Returns the directory entry of the endpoint.
    pub fn endpoint(&self) -> Rc<Endpoint> {
        Rc::clone(&self.endpoint.borrow())
    }

    /// Returns the state of the endpoint's failure detector.
    pub fn failure_detector(&self) -> FailureDetector {
        self.state.borrow().failure_detector
    }

    /// Records an answer of the endpoint.
    pub fn record_answer(&self, now: Instant) {
        self.state.borrow_mut().failure_detector.record_answer(now);
    }

    /// Records that the endpoint failed to answer.
    pub fn record_failure(&self, now: Instant) {
        self.state.borrow_mut().failure_detector.record_failure(now);
    }

    /// Records the latency of an answer.
    pub fn record_latency(&self, now: Instant, latency: Duration) {
        let mut state = self.state.borrow_mut();
        let previous_average = state.latency.map_or(latency, |(average, _)| average);
        let average =
            (previous_average * (LATENCY_AVERAGE_DIVISOR - 1) + latency) / LATENCY_AVERAGE_DIVISOR;
        state.latency = Some((average, now));
    }

    /// Returns the expected duration of an answer: the measured average, weighted by its age
    /// against `usual`. The average decays so that an endpoint that was slow receives statements
    /// again.
    pub fn expected_latency(&self, now: Instant, usual: Duration) -> Duration {
        let Some((average, seen)) = self.state.borrow().latency else {
            return usual;
        };
        let age = now.saturating_duration_since(seen).as_secs_f64();
        let weight = 0.5_f64.powf(age / LATENCY_HALF_LIFE.as_secs_f64());
        average.mul_f64(weight) + usual.mul_f64(1.0 - weight)
    }

    /// Returns the number of statements in flight.
    pub fn in_flight(&self) -> usize {
        self.state.borrow().in_flight
    }

    /// Returns whether there is an idle connection of the workspace.
    pub fn has_idle_connection(&self, workspace: &str) -> bool {
        let state = self.state.borrow();
        state
            .idle
            .iter()
            .any(|connection| connection.workspace.as_ref() == workspace)
    }

    /// Returns whether a statement would have to wait for a connection.
    pub fn is_full(&self, now: Instant) -> bool {
        let state = self.state.borrow();
        let is_backing_off = state.full_until.is_some_and(|full_until| now < full_until);
        state.idle.is_empty() && (state.open >= state.limit || is_backing_off)
    }

    /// Records that the endpoint had not reached `position`.
    pub fn record_missing_position(&self, now: Instant, position: Position) {
        self.state.borrow_mut().missing_position = Some((position, now));
    }

    /// Returns the last position that the endpoint had not reached when it refused a read, and the
    /// time of that refusal.
    pub fn missing_position(&self) -> Option<(Position, Instant)> {
        self.state.borrow().missing_position
    }

    /// Returns a receiver that changes when all statements in flight are aborted.
    pub fn subscribe_aborts(&self) -> watch::Receiver<u64> {
        self.aborts.subscribe()
    }

    /// Aborts all statements in flight and closes the idle connections.
    pub fn abort_all(&self) {
        let idle = std::mem::take(&mut self.state.borrow_mut().idle);
        for _ in idle {
            self.release_slot();
        }
        self.aborts.send_modify(|count| *count += 1);
    }

    /// Sets whether as many connections are kept idle as the limit allows.
    pub fn keep_all_idle(&self, keep: bool) {
        self.state.borrow_mut().keep_all_idle = keep;
    }

    /// Sets the limit and closes the least recently used idle connections beyond it.
    fn apply_limit(&self, limit: usize) {
        let surplus: Vec<Connection> = {
            let mut state = self.state.borrow_mut();
            state.set_limit(limit);
            let kept = if state.keep_no_idle {
                0
            } else {
                state.max_idle()
            };
            let excess = state.idle.len().saturating_sub(kept);
            state.idle.drain(..excess).collect()
        };
        for connection in surplus {
            drop(connection);
            self.release_slot();
        }
    }

    /// Frees the slot of a closed connection, or hands it to the first waiting statement.
    fn release_slot(&self) {
        let mut state = self.state.borrow_mut();
        while let Some((_, waiter)) = state.waiting.pop_first() {
            if waiter.grant.send(Grant::Slot).is_ok() {
                return;
            }
        }
        state.open = state.open.saturating_sub(1);
    }

    /// Hands a connection to a waiting statement, keeps it idle or closes it.
    fn return_connection(&self, mut connection: Connection) {
        if connection.inner.is_stale() {
            return self.release_slot();
        }
        loop {
            let mut state = self.state.borrow_mut();
            let is_spare = state.keep_no_idle && state.waiting.is_empty();
            if is_spare || state.open > state.limit {
                drop(state);
                return self.release_slot();
            }
            let Some(key) = next_waiter(&state.waiting, &connection.workspace) else {
                state.idle.push(connection);
                if state.idle.len() > state.max_idle() {
                    // The least recently used connection is closed.
                    drop(state.idle.remove(0));
                    drop(state);
                    self.release_slot();
                }
                return;
            };
            let Some(waiter) = state.waiting.remove(&key) else {
                continue;
            };
            let grant = if waiter.workspace == connection.workspace {
                Grant::Connection(connection)
            } else {
                // A connection of another workspace is closed, which frees a slot for the waiter.
                match waiter.grant.send(Grant::Slot) {
                    Ok(()) => return,
                    Err(_) => continue,
                }
            };
            match waiter.grant.send(grant) {
                Ok(()) | Err(Grant::Slot) => return,
                Err(Grant::Connection(returned)) => connection = returned,
            }
        }
    }
}

/// Returns the key of the waiter that gets a free connection: the first of the highest priority
/// that has the connection's workspace, which saves opening a connection, or else the first waiter.
fn next_waiter(waiting: &BTreeMap<(u8, u64), Waiter>, workspace: &Arc<str>) -> Option<(u8, u64)> {
    let (first, _) = waiting.first_key_value()?;
    let same_workspace = waiting
        .range((first.0, 0)..=(first.0, u64::MAX))
        .find(|(_, waiter)| waiter.workspace == *workspace);
    Some(same_workspace.map_or(*first, |(key, _)| *key))
}

/// Counts a statement in flight until it is dropped.
#[derive(Debug)]
pub struct InFlightGuard {
    endpoint_pool: Rc<EndpointPool>,
}

impl std::fmt::Debug for EndpointPool {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let id = &self.endpoint.borrow().id;
        f.debug_struct("EndpointPool")
            .field("id", id)
            .finish_non_exhaustive()
    }
}

impl InFlightGuard {
    /// Increments the count of statements in flight.
    pub fn new(endpoint_pool: &Rc<EndpointPool>) -> Self {
        endpoint_pool.state.borrow_mut().in_flight += 1;
        Self {
            endpoint_pool: Rc::clone(endpoint_pool),
        }
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.endpoint_pool.state.borrow_mut().in_flight -= 1;
    }
}

/// Connections to all endpoints, grouped by endpoint.
pub struct Pool {
    connector: Rc<dyn Connector>,
    clock: Clock,
    endpoint_pools: RefCell<BTreeMap<Arc<str>, Rc<EndpointPool>>>,
    next_waiter_id: Cell<u64>,
}

impl std::fmt::Debug for Pool {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Pool").finish_non_exhaustive()
    }
}

impl Pool {
    /// Creates a pool without connections.
    pub fn new(connector: Rc<dyn Connector>, clock: Clock) -> Self {
        Self {
            connector,
            clock,
            endpoint_pools: RefCell::default(),
            next_waiter_id: Cell::new(0),
        }
    }

    /// Returns the connections to an endpoint, and replaces their directory entry if it differs.
    pub fn for_endpoint(&self, endpoint: &Rc<Endpoint>) -> Rc<EndpointPool> {
        let mut endpoint_pools = self.endpoint_pools.borrow_mut();
        let known = endpoint_pools.entry(Arc::clone(&endpoint.id));
        let endpoint_pool =
            known.or_insert_with(|| Rc::new(EndpointPool::new(Rc::clone(endpoint))));
        if !Rc::ptr_eq(&endpoint_pool.endpoint.borrow(), endpoint) {
            *endpoint_pool.endpoint.borrow_mut() = Rc::clone(endpoint);
        }
        Rc::clone(endpoint_pool)
    }

    /// Returns the connections of every endpoint that has been used.
    pub fn endpoint_pools(&self) -> Vec<Rc<EndpointPool>> {
        self.endpoint_pools.borrow().values().cloned().collect()
    }

    /// Removes an endpoint, aborts its statements in flight and closes its idle connections.
    pub fn remove(&self, id: &str) {
        let endpoint_pool = self.endpoint_pools.borrow_mut().remove(id);
        if let Some(endpoint_pool) = endpoint_pool {
            endpoint_pool.abort_all();
        }
    }

    /// Applies this instance's share of an endpoint's connections, and closes the idle connections
    /// beyond it.
    pub fn apply_limits<F>(&self, limit_of: F)
    where
        F: Fn(&Rc<Endpoint>) -> usize,
    {
        for endpoint_pool in self.endpoint_pools() {
            let limit = limit_of(&endpoint_pool.endpoint());
            endpoint_pool.apply_limit(limit);
        }
    }

    /// Closes the idle connections to an endpoint.
    pub fn close_idle(&self, id: &str) {
        let endpoint_pool = self.endpoint_pools.borrow().get(id).cloned();
        if let Some(endpoint_pool) = endpoint_pool {
            let idle = std::mem::take(&mut endpoint_pool.state.borrow_mut().idle);
            for _ in idle {
                endpoint_pool.release_slot();
            }
        }
    }

    /// Returns a connection of a workspace to an endpoint.
    ///
    /// `limit` is this instance's share of the endpoint's connections. It is zero if there are fewer
    /// connections than instances, and one connection is allowed even then. The wait for a
    /// connection in use ends at `deadline`; opening a new connection has a timeout of its own.
    ///
    /// # Errors
    ///
    /// Returns an error if all connections stayed in use or none could be opened.
    pub async fn acquire(
        &self,
        endpoint_pool: &Rc<EndpointPool>,
        workspace: &Arc<str>,
        limit: usize,
        priority: u8,
        deadline: Instant,
    ) -> Result<PooledConnection, AcquireError> {
        if let Some(connection) = take_idle(endpoint_pool, workspace) {
            return Ok(check_out(endpoint_pool, connection));
        }
        if !reserve_slot(endpoint_pool, limit) {
            let (sender, receiver) = oneshot::channel();
            let waiter_key = (priority, self.next_waiter_id.get());
            self.next_waiter_id.set(waiter_key.1 + 1);
            let waiter = Waiter {
                workspace: Arc::clone(workspace),
                grant: sender,
            };
            endpoint_pool
                .state
                .borrow_mut()
                .waiting
                .insert(waiter_key, waiter);
            let wait = deadline.saturating_duration_since(self.clock.now());
            let granted = tokio::time::timeout(wait, receiver).await;
            endpoint_pool.state.borrow_mut().waiting.remove(&waiter_key);
            match granted {
                Ok(Ok(Grant::Connection(connection))) => {
                    return Ok(check_out(endpoint_pool, connection));
                }
                Ok(Ok(Grant::Slot)) => {}
                Ok(Err(_)) | Err(_) => return Err(AcquireError::Busy),
            }
        }
        self.connect(endpoint_pool, workspace).await
    }

    /// Returns a connection of any workspace to an endpoint, for the instance's own requests.
    ///
    /// # Errors
    ///
    /// Returns an error if no connection is idle and none could be opened.
    pub async fn acquire_any(
        &self,
        endpoint_pool: &Rc<EndpointPool>,
        workspace: &Arc<str>,
    ) -> Result<PooledConnection, AcquireError> {
        let idle = endpoint_pool.state.borrow_mut().idle.pop();
        if let Some(connection) = idle {
            if !connection.inner.is_stale() {
                return Ok(check_out(endpoint_pool, connection));
            }
            endpoint_pool.release_slot();
        }
        // A status query must not wait behind statements, so the limit does not apply.
        endpoint_pool.state.borrow_mut().open += 1;
        self.connect(endpoint_pool, workspace).await
    }

    async fn connect(
        &self,
        endpoint_pool: &Rc<EndpointPool>,
        workspace: &Arc<str>,
    ) -> Result<PooledConnection, AcquireError> {
        let mut pooled = PooledConnection {
            connection: None,
            endpoint_pool: Rc::clone(endpoint_pool),
        };
        let mut guard = SlotGuard(Some(Rc::clone(endpoint_pool)));
        let endpoint = endpoint_pool.endpoint();
        let mut aborts = endpoint_pool.subscribe_aborts();
        metrics::counter!("filbertbay_endpoint_connects_total").increment(1);
        let connecting = self.connector.connect(&endpoint, workspace);
        let connected = tokio::select! {
            connected = tokio::time::timeout(CONNECT_TIMEOUT, connecting) => connected,
            _ = aborts.changed() => {
                return Err(AcquireError::Unreachable("connect aborted".to_owned()));
            }
        };
        let now = self.clock.now();
        let error = match connected {
            Ok(Ok(inner)) => {
                endpoint_pool.record_answer(now);
                guard.0 = None;
                pooled.connection = Some(Connection {
                    inner,
                    workspace: Arc::clone(workspace),
                    values: BTreeMap::new(),
                    prepared: HashMap::new(),
                    prepare_count: 0,
                });
                return Ok(pooled);
            }
            Ok(Err(error)) => error,
            Err(_) => {
                let late = std::io::Error::from(std::io::ErrorKind::TimedOut);
                ConnectError::Io(late)
            }
        };
        Err(record_connect_error(endpoint_pool, now, error))
    }
}

/// Records the outcome of a failed connect and returns its cause.
fn record_connect_error(
    endpoint_pool: &Rc<EndpointPool>,
    now: Instant,
    error: ConnectError,
) -> AcquireError {
    match error {
        ConnectError::Refused(refusal) => {
            if refusal.code == Code::TooManyConnections {
                endpoint_pool.state.borrow_mut().full_until = Some(now + FULL_BACKOFF);
                endpoint_pool.record_answer(now);
            } else {
                endpoint_pool.record_failure(now);
            }
            AcquireError::Refused(refusal.code)
        }
        ConnectError::NotListening => {
            endpoint_pool.record_failure(now);
            AcquireError::Unreachable("connection refused".to_owned())
        }
        ConnectError::Io(error) => {
            endpoint_pool.record_failure(now);
            AcquireError::Unreachable(error.to_string())
        }
    }
}

/// Frees the slot of a connection that was not opened.
struct SlotGuard(Option<Rc<EndpointPool>>);

impl Drop for SlotGuard {
    fn drop(&mut self) {
        if let Some(endpoint_pool) = &self.0 {
            endpoint_pool.release_slot();
        }
    }
}

fn check_out(endpoint_pool: &Rc<EndpointPool>, connection: Connection) -> PooledConnection {
    PooledConnection {
        connection: Some(connection),
        endpoint_pool: Rc::clone(endpoint_pool),
    }
}

fn take_idle(endpoint_pool: &Rc<EndpointPool>, workspace: &Arc<str>) -> Option<Connection> {
    loop {
        let mut state = endpoint_pool.state.borrow_mut();
        let index = state
            .idle
            .iter()
            .rposition(|connection| connection.workspace == *workspace)?;
        let connection = state.idle.remove(index);
        drop(state);
        if !connection.inner.is_stale() {
            return Some(connection);
        }
        endpoint_pool.release_slot();
    }
}

/// Reserves a slot for a new connection, and closes an idle one for it if needed.
///
/// Returns false if all slots are taken by connections in use.
fn reserve_slot(endpoint_pool: &Rc<EndpointPool>, limit: usize) -> bool {
    let mut state = endpoint_pool.state.borrow_mut();
    state.set_limit(limit);
    if state.open < state.limit {
        state.open += 1;
        return true;
    }
    if state.idle.is_empty() {
        return false;
    }
    // The new connection takes the slot of the least recently used idle one.
    drop(state.idle.remove(0));
    true
}
