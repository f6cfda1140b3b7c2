//! Connections to endpoints.
//!
//! An endpoint accepts few connections from all instances together, and each belongs to the
//! workspace that it was opened for. Every instance keeps to its part of them. A statement takes an
//! idle connection of its workspace, opens one, or closes the idle one of another workspace that was
//! used least lately; when all are in use it waits, by priority and then in order.

mod held;

pub use self::held::{Carried, Held};

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
use crate::endpoint::{Access, ConnectError, Connector, Endpoint, Link};

/// Longest wait for a new connection; an endpoint needs 12 ms when idle, and queues 16 statements.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);

/// Time for which no connection is opened after the endpoint had none left.
const FULL_PAUSE: Duration = Duration::from_millis(40);

/// Part of an instance's connections that are kept idle, as a divisor. An endpoint holds connections
/// of a machine without power for 3 s, and the next process needs places beside them.
const KEPT_DIVISOR: usize = 4;

/// Share of a new latency in the moving average, as a divisor.
const AVERAGE_DIVISOR: u32 = 8;

/// Time after which half of what is known of an endpoint's latency is forgotten.
const LATENCY_HALF_LIFE: Duration = Duration::from_secs(1);

/// Connection with the session state that it carries.
struct Connection {
    link: Box<dyn Link>,
    workspace: Arc<str>,
    values: BTreeMap<Arc<str>, Arc<str>>,
    prepared: HashMap<(Access, Arc<str>), Arc<str>>,
    names: u64,
}

/// What a waiting statement is given.
enum Grant {
    Connection(Connection),
    Slot,
}

struct Waiter {
    workspace: Arc<str>,
    grant: oneshot::Sender<Grant>,
}

#[derive(Default)]
struct State {
    idle: Vec<Connection>,
    open: usize,
    limit: usize,
    /// Whether there are fewer connections than instances, so that none is kept.
    is_scarce: bool,
    waiting: BTreeMap<(u8, u64), Waiter>,
    pulse: FailureDetector,
    latency: Option<(Duration, Instant)>,
    in_flight: usize,
    behind: Option<(Position, Instant)>,
    full_until: Option<Instant>,
}

/// Connections to one endpoint.
pub struct Member {
    endpoint: RefCell<Rc<Endpoint>>,
    state: RefCell<State>,
    /// Counts how often everything in flight was given up.
    doom: watch::Sender<u64>,
}

/// Why a statement got no connection.
#[derive(Debug)]
pub enum AcquireError {
    /// All connections stayed in use.
    Busy,
    /// The endpoint refused with a code that says so.
    Refused(Code),
    /// Nobody answers at the address, or another endpoint does.
    Unreachable(String),
}

impl Member {
    fn new(endpoint: Rc<Endpoint>) -> Self {
        Self {
            endpoint: RefCell::new(endpoint),
            state: RefCell::default(),
            doom: watch::Sender::new(0),
        }
    }

    /// Returns the endpoint.
    pub fn endpoint(&self) -> Rc<Endpoint> {
        Rc::clone(&self.endpoint.borrow())
    }

    /// Returns the signs of life.
    pub fn pulse(&self) -> FailureDetector {
        self.state.borrow().pulse
    }

    /// Notes an answer of the endpoint.
    pub fn answered(&self, now: Instant) {
        self.state.borrow_mut().pulse.record_answer(now);
    }

    /// Notes that the endpoint failed to answer.
    pub fn failed(&self, now: Instant) {
        self.state.borrow_mut().pulse.record_failure(now);
    }

    /// Notes how long an answer took.
    pub fn took(&self, now: Instant, time: Duration) {
        let mut state = self.state.borrow_mut();
        let old = state.latency.map_or(time, |(average, _)| average);
        let average = (old * (AVERAGE_DIVISOR - 1) + time) / AVERAGE_DIVISOR;
        state.latency = Some((average, now));
    }

    /// Returns the time that an answer is likely to take; what was seen long ago counts less than
    /// the `usual` time, so that an endpoint that was slow is tried again.
    pub fn latency(&self, now: Instant, usual: Duration) -> Duration {
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

    /// Tells whether an idle connection of a workspace is at hand.
    pub fn is_connected(&self, workspace: &str) -> bool {
        let state = self.state.borrow();
        state
            .idle
            .iter()
            .any(|one| one.workspace.as_ref() == workspace)
    }

    /// Tells whether no connection can be had now.
    pub fn is_full(&self, now: Instant) -> bool {
        let state = self.state.borrow();
        let paused = state.full_until.is_some_and(|until| now < until);
        state.idle.is_empty() && (state.open >= state.limit || paused)
    }

    /// Notes that the log lacked a position.
    pub fn lags(&self, now: Instant, position: Position) {
        self.state.borrow_mut().behind = Some((position, now));
    }

    /// Returns the position that the log lacked, and when.
    pub fn behind(&self) -> Option<(Position, Instant)> {
        self.state.borrow().behind
    }

    /// Returns a receiver that changes when everything in flight is given up.
    pub fn doom(&self) -> watch::Receiver<u64> {
        self.doom.subscribe()
    }

    /// Gives up everything in flight and closes idle connections.
    pub fn give_up(&self) {
        let idle = std::mem::take(&mut self.state.borrow_mut().idle);
        for _ in idle {
            self.close_one();
        }
        self.doom.send_modify(|count| *count += 1);
    }

    /// Takes the place of a closed connection, or passes it on to the first that waits.
    fn close_one(&self) {
        let mut state = self.state.borrow_mut();
        while let Some((_, waiter)) = state.waiting.pop_first() {
            if waiter.grant.send(Grant::Slot).is_ok() {
                return;
            }
        }
        state.open = state.open.saturating_sub(1);
    }

    /// Passes a connection to a waiting statement or keeps it.
    fn put_back(&self, mut connection: Connection) {
        if connection.link.is_stale() {
            return self.close_one();
        }
        loop {
            let mut state = self.state.borrow_mut();
            let is_spare = state.is_scarce && state.waiting.is_empty();
            if is_spare || state.open > state.limit {
                drop(state);
                return self.close_one();
            }
            let Some(key) = next_waiter(&state.waiting, &connection.workspace) else {
                state.idle.push(connection);
                if state.idle.len() > (state.limit / KEPT_DIVISOR).max(1) {
                    // The least lately used one closes.
                    drop(state.idle.remove(0));
                    drop(state);
                    self.close_one();
                }
                return;
            };
            let Some(waiter) = state.waiting.remove(&key) else {
                continue;
            };
            let grant = if waiter.workspace == connection.workspace {
                Grant::Connection(connection)
            } else {
                // Closing another workspace's connection frees its place at the endpoint.
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

/// Returns the waiter that a free connection goes to: the first, or one of its own workspace and the
/// same priority, which saves a new connection.
fn next_waiter(waiting: &BTreeMap<(u8, u64), Waiter>, workspace: &Arc<str>) -> Option<(u8, u64)> {
    let (first, _) = waiting.first_key_value()?;
    let same = waiting
        .range((first.0, 0)..=(first.0, u64::MAX))
        .find(|(_, waiter)| waiter.workspace == *workspace);
    Some(same.map_or(*first, |(key, _)| *key))
}

/// Counts a statement in flight while it lives.
#[derive(Debug)]
pub struct Flight {
    member: Rc<Member>,
}

impl std::fmt::Debug for Member {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let id = &self.endpoint.borrow().id;
        f.debug_struct("Member")
            .field("id", id)
            .finish_non_exhaustive()
    }
}

impl Flight {
    /// Starts to count.
    pub fn start(member: &Rc<Member>) -> Self {
        member.state.borrow_mut().in_flight += 1;
        Self {
            member: Rc::clone(member),
        }
    }
}

impl Drop for Flight {
    fn drop(&mut self) {
        self.member.state.borrow_mut().in_flight -= 1;
    }
}

/// Connections to all endpoints.
pub struct Pool {
    connector: Rc<dyn Connector>,
    clock: Clock,
    members: RefCell<BTreeMap<Arc<str>, Rc<Member>>>,
    tickets: Cell<u64>,
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
            members: RefCell::default(),
            tickets: Cell::new(0),
        }
    }

    /// Returns what is known of an endpoint, under its present entry.
    pub fn member(&self, endpoint: &Rc<Endpoint>) -> Rc<Member> {
        let mut members = self.members.borrow_mut();
        let known = members.entry(Arc::clone(&endpoint.id));
        let member = known.or_insert_with(|| Rc::new(Member::new(Rc::clone(endpoint))));
        if !Rc::ptr_eq(&member.endpoint.borrow(), endpoint) {
            *member.endpoint.borrow_mut() = Rc::clone(endpoint);
        }
        Rc::clone(member)
    }

    /// Returns every member that has been used.
    pub fn members(&self) -> Vec<Rc<Member>> {
        self.members.borrow().values().cloned().collect()
    }

    /// Forgets an endpoint that left.
    pub fn forget(&self, id: &str) {
        let member = self.members.borrow_mut().remove(id);
        if let Some(member) = member {
            member.give_up();
        }
    }

    /// Closes the idle connections to an endpoint.
    pub fn close_idle(&self, id: &str) {
        let member = self.members.borrow().get(id).cloned();
        if let Some(member) = member {
            let idle = std::mem::take(&mut member.state.borrow_mut().idle);
            for _ in idle {
                member.close_one();
            }
        }
    }

    /// Returns a connection of a workspace to a member.
    ///
    /// `limit` is this instance's part of the endpoint's connections, zero if there are fewer than
    /// instances; the wait ends at `until`.
    ///
    /// # Errors
    ///
    /// Returns an error if all connections stayed in use or none could be opened.
    pub async fn acquire(
        &self,
        member: &Rc<Member>,
        workspace: &Arc<str>,
        limit: usize,
        priority: u8,
        until: Instant,
    ) -> Result<Held, AcquireError> {
        if let Some(connection) = take_idle(member, workspace) {
            return Ok(hold(member, connection));
        }
        if !reserve(member, limit) {
            let (sender, receiver) = oneshot::channel();
            let ticket = (priority, self.tickets.get());
            self.tickets.set(ticket.1 + 1);
            let waiter = Waiter {
                workspace: Arc::clone(workspace),
                grant: sender,
            };
            member.state.borrow_mut().waiting.insert(ticket, waiter);
            let wait = until.saturating_duration_since(self.clock.now());
            let granted = tokio::time::timeout(wait, receiver).await;
            member.state.borrow_mut().waiting.remove(&ticket);
            match granted {
                Ok(Ok(Grant::Connection(connection))) => return Ok(hold(member, connection)),
                Ok(Ok(Grant::Slot)) => {}
                Ok(Err(_)) | Err(_) => return Err(AcquireError::Busy),
            }
        }
        self.connect(member, workspace).await
    }

    /// Returns any connection to a member, for questions of the instance itself.
    ///
    /// # Errors
    ///
    /// Returns an error if none could be had.
    pub async fn acquire_any(
        &self,
        member: &Rc<Member>,
        workspace: &Arc<str>,
    ) -> Result<Held, AcquireError> {
        let idle = member.state.borrow_mut().idle.pop();
        if let Some(connection) = idle {
            if !connection.link.is_stale() {
                return Ok(hold(member, connection));
            }
            member.close_one();
        }
        // A question about a primary must not wait behind statements.
        member.state.borrow_mut().open += 1;
        self.connect(member, workspace).await
    }

    async fn connect(
        &self,
        member: &Rc<Member>,
        workspace: &Arc<str>,
    ) -> Result<Held, AcquireError> {
        let mut place = Held {
            connection: None,
            member: Rc::clone(member),
        };
        let mut guard = PlaceGuard(Some(Rc::clone(member)));
        let endpoint = member.endpoint();
        let mut doom = member.doom();
        metrics::counter!("filbertbay_endpoint_connects_total").increment(1);
        let connecting = self.connector.connect(&endpoint, workspace);
        let connected = tokio::select! {
            connected = tokio::time::timeout(CONNECT_TIMEOUT, connecting) => connected,
            _ = doom.changed() => {
                return Err(AcquireError::Unreachable("given up".to_owned()));
            }
        };
        let now = self.clock.now();
        let error = match connected {
            Ok(Ok(link)) => {
                member.answered(now);
                guard.0 = None;
                place.connection = Some(Connection {
                    link,
                    workspace: Arc::clone(workspace),
                    values: BTreeMap::new(),
                    prepared: HashMap::new(),
                    names: 0,
                });
                return Ok(place);
            }
            Ok(Err(error)) => error,
            Err(_) => {
                let late = std::io::Error::from(std::io::ErrorKind::TimedOut);
                ConnectError::Failed(late)
            }
        };
        Err(refused(member, now, error))
    }
}

/// Notes why no connection could be opened.
fn refused(member: &Rc<Member>, now: Instant, error: ConnectError) -> AcquireError {
    match error {
        ConnectError::Refused(refusal) => {
            if refusal.code == Code::TooManyConnections {
                member.state.borrow_mut().full_until = Some(now + FULL_PAUSE);
                member.answered(now);
            } else {
                member.failed(now);
            }
            AcquireError::Refused(refusal.code)
        }
        ConnectError::Absent => {
            member.failed(now);
            AcquireError::Unreachable("connection refused".to_owned())
        }
        ConnectError::Failed(error) => {
            member.failed(now);
            AcquireError::Unreachable(error.to_string())
        }
    }
}

/// Frees the place of a connection that is never opened.
struct PlaceGuard(Option<Rc<Member>>);

impl Drop for PlaceGuard {
    fn drop(&mut self) {
        if let Some(member) = &self.0 {
            member.close_one();
        }
    }
}

fn hold(member: &Rc<Member>, connection: Connection) -> Held {
    Held {
        connection: Some(connection),
        member: Rc::clone(member),
    }
}

fn take_idle(member: &Rc<Member>, workspace: &Arc<str>) -> Option<Connection> {
    loop {
        let mut state = member.state.borrow_mut();
        let place = state
            .idle
            .iter()
            .rposition(|one| one.workspace == *workspace)?;
        let connection = state.idle.remove(place);
        drop(state);
        if !connection.link.is_stale() {
            return Some(connection);
        }
        member.close_one();
    }
}

/// Takes a place for a new connection, if need be that of an idle one.
fn reserve(member: &Rc<Member>, limit: usize) -> bool {
    let mut state = member.state.borrow_mut();
    state.limit = limit.max(1);
    state.is_scarce = limit == 0;
    if state.open < state.limit {
        state.open += 1;
        return true;
    }
    if state.idle.is_empty() {
        return false;
    }
    // The least lately used idle connection closes, and its place is taken over.
    drop(state.idle.remove(0));
    true
}
