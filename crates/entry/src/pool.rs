//! Pool of connections to all endpoints.
//!
//! An endpoint accepts few connections from all instances together, and each connection belongs to
//! the workspace for which it was opened. Every instance keeps to its share of the connections. A
//! statement takes an idle connection of its workspace, opens a new one, or closes the least
//! recently used idle connection of another workspace to open its own. While all connections are in
//! use, or the endpoint has as many statements in flight as it takes well, it waits for its turn:
//! `coordination::admission` decides, and `waiting` carries out.

mod held;
mod waiting;

pub use self::held::{PooledConnection, SessionState};
use self::waiting::Resource;
pub use self::waiting::{Demand, InFlightGuard};

use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use filbertbay_coordination::admission::Admission;
use filbertbay_coordination::placement::FailureShare;
use filbertbay_coordination::succession::FailureDetector;
use filbertbay_state::position::Position;
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
    admission: Admission,
    waiters: waiting::Waiters,
    failure_detector: FailureDetector,
    failures: FailureShare,
    latency: Option<(Duration, Instant)>,
    missing_position: Option<(Position, Instant)>,
    full_until: Option<Instant>,
}

impl PoolState {
    fn new(now: Instant, slots: usize) -> Self {
        Self {
            idle: Vec::new(),
            open: 0,
            limit: 0,
            keep_no_idle: false,
            keep_all_idle: false,
            admission: Admission::new(now, saturating_slots(slots)),
            waiters: waiting::Waiters::default(),
            failure_detector: FailureDetector::default(),
            failures: FailureShare::default(),
            latency: None,
            missing_position: None,
            full_until: None,
        }
    }

    /// Reserves a slot for a new connection, and closes an idle one for it if needed.
    ///
    /// Returns false if all slots are taken by connections in use.
    fn reserve_slot(&mut self) -> bool {
        if self.open < self.limit {
            self.open += 1;
            return true;
        }
        if self.idle.is_empty() {
            return false;
        }
        // The new connection takes the slot of the least recently used idle one.
        drop(self.idle.remove(0));
        true
    }

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
    clock: Clock,
    endpoint: RefCell<Rc<Endpoint>>,
    state: RefCell<PoolState>,
    /// Number of times that all statements in flight were aborted.
    aborts: watch::Sender<u64>,
}

/// Why a statement got no connection.
#[derive(Debug)]
pub enum AcquireError {
    /// The statement's turn can't come, or did not come, before the deadline.
    Busy {
        /// Time after which the caller should come back, spread at random.
        retry_after: Duration,
    },
    /// The endpoint refused the connection with this code.
    Refused(Code),
    /// The connection could not be opened for the given cause, such as a network failure or a
    /// timeout.
    Unreachable(String),
}

impl EndpointPool {
    fn new(endpoint: Rc<Endpoint>, clock: Clock) -> Self {
        let state = PoolState::new(clock.now(), endpoint.slots);
        Self {
            clock,
            endpoint: RefCell::new(endpoint),
            state: RefCell::new(state),
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

    /// Records whether an attempt failed, was shed or was lost, or served its statement.
    pub fn record_result(&self, now: Instant, has_failed: bool) {
        self.state.borrow_mut().failures.record(now, has_failed);
    }

    /// Returns the share of the recent attempts that failed, in thousandths.
    pub fn failures_per_mille(&self, now: Instant) -> u16 {
        self.state.borrow().failures.per_mille(now)
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
        self.state.borrow().admission.limit().in_flight() as usize
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
        let has_no_connection =
            state.idle.is_empty() && (state.open >= state.limit || is_backing_off);
        has_no_connection || !state.admission.has_room()
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
    pub fn abort_all(self: &Rc<Self>) {
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
    fn apply_limit(self: &Rc<Self>, limit: usize) {
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

    /// Frees the slot of a closed connection, which may serve a waiting statement.
    fn release_slot(self: &Rc<Self>) {
        {
            let mut state = self.state.borrow_mut();
            state.open = state.open.saturating_sub(1);
        }
        self.serve_waiting();
    }

    /// Hands a connection to a waiting statement, keeps it idle or closes it.
    fn return_connection(self: &Rc<Self>, connection: Connection) {
        let is_surplus = {
            let state = self.state.borrow();
            state.open > state.limit || state.keep_no_idle && state.admission.waiting() == 0
        };
        if is_surplus || connection.inner.is_stale() {
            drop(connection);
            return self.release_slot();
        }
        self.state.borrow_mut().idle.push(connection);
        self.serve_waiting();
        let surplus = {
            let mut state = self.state.borrow_mut();
            // The least recently used connection is closed.
            (state.idle.len() > state.max_idle()).then(|| state.idle.remove(0))
        };
        if surplus.is_some() {
            drop(surplus);
            self.release_slot();
        }
    }
}

fn saturating_slots(slots: usize) -> u32 {
    u32::try_from(slots).unwrap_or(u32::MAX)
}

impl std::fmt::Debug for EndpointPool {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let id = &self.endpoint.borrow().id;
        f.debug_struct("EndpointPool")
            .field("id", id)
            .finish_non_exhaustive()
    }
}

/// Connections to all endpoints, grouped by endpoint.
pub struct Pool {
    connector: Rc<dyn Connector>,
    clock: Clock,
    endpoint_pools: RefCell<BTreeMap<Arc<str>, Rc<EndpointPool>>>,
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
        }
    }

    /// Returns the connections to an endpoint, and replaces their directory entry if it differs.
    pub fn for_endpoint(&self, endpoint: &Rc<Endpoint>) -> Rc<EndpointPool> {
        let mut endpoint_pools = self.endpoint_pools.borrow_mut();
        let known = endpoint_pools.entry(Arc::clone(&endpoint.id));
        let endpoint_pool =
            known.or_insert_with(|| Rc::new(EndpointPool::new(Rc::clone(endpoint), self.clock)));
        if !Rc::ptr_eq(&endpoint_pool.endpoint.borrow(), endpoint) {
            let mut state = endpoint_pool.state.borrow_mut();
            let slots = saturating_slots(endpoint.slots);
            state.admission.set_slots(self.clock.now(), slots);
            *endpoint_pool.endpoint.borrow_mut() = Rc::clone(endpoint);
        }
        Rc::clone(endpoint_pool)
    }

    /// Returns the connections of every endpoint that has been used.
    pub fn endpoint_pools(&self) -> Vec<Rc<EndpointPool>> {
        self.endpoint_pools.borrow().values().cloned().collect()
    }

    /// Aborts the statements in flight at an endpoint and closes its idle connections.
    pub fn abort(&self, id: &str) {
        let endpoint_pool = self.endpoint_pools.borrow().get(id).cloned();
        if let Some(endpoint_pool) = endpoint_pool {
            endpoint_pool.abort_all();
        }
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

    /// Returns a connection of a workspace to an endpoint, when the statement may run on it.
    ///
    /// The connection carries the permission to run one statement, see
    /// [`PooledConnection::take_permit`].
    ///
    /// # Errors
    ///
    /// Returns an error if the statement was refused, its turn did not come before its deadline, or no
    /// connection could be opened.
    pub async fn acquire(
        &self,
        endpoint_pool: &Rc<EndpointPool>,
        demand: &Demand<'_>,
    ) -> Result<PooledConnection, AcquireError> {
        let turn = endpoint_pool.turn(demand).await?;
        let mut connection = match turn.resource {
            Resource::Connection(connection) => connection,
            Resource::Slot(slot) => self.connect(slot, demand.workspace).await?,
        };
        connection.permit = Some(Box::new(turn.permit));
        Ok(connection)
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
        let slot = SlotGuard::new(endpoint_pool);
        self.connect(slot, workspace).await
    }

    /// Opens a connection in a reserved slot, which is freed if that fails.
    async fn connect(
        &self,
        slot: SlotGuard,
        workspace: &Arc<str>,
    ) -> Result<PooledConnection, AcquireError> {
        let endpoint_pool = &Rc::clone(&slot.endpoint_pool);
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
                let connection = Connection {
                    inner,
                    workspace: Arc::clone(workspace),
                    values: BTreeMap::new(),
                    prepared: HashMap::new(),
                    prepare_count: 0,
                };
                slot.keep();
                return Ok(check_out(endpoint_pool, connection));
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

/// Slot that is reserved for a connection; freed on drop unless the connection was opened.
struct SlotGuard {
    endpoint_pool: Rc<EndpointPool>,
    is_kept: bool,
}

impl SlotGuard {
    /// Guards a slot that the caller has counted as open.
    fn new(endpoint_pool: &Rc<EndpointPool>) -> Self {
        Self {
            endpoint_pool: Rc::clone(endpoint_pool),
            is_kept: false,
        }
    }

    /// Leaves the slot to the opened connection.
    fn keep(mut self) {
        self.is_kept = true;
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        if !self.is_kept {
            self.endpoint_pool.release_slot();
        }
    }
}

fn check_out(endpoint_pool: &Rc<EndpointPool>, connection: Connection) -> PooledConnection {
    PooledConnection {
        connection: Some(connection),
        endpoint_pool: Rc::clone(endpoint_pool),
        permit: None,
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
