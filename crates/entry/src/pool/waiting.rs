//! Statements that wait for an endpoint, and what is handed to the one whose turn it is.
//!
//! [`Admission`] decides; this carries out. A turn needs two things at the same moment: room under the
//! learnt concurrency, and a connection or a slot to open one. Everything that is handed over frees
//! itself when it is dropped, so a statement whose caller leaves at any moment loses nothing.
//!
//! [`Admission`]: filbertbay_coordination::admission::Admission

use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use filbertbay_coordination::admission::{Decision, Request};
use filbertbay_coordination::limit::Outcome;
use filbertbay_coordination::queue::Ticket;
use tokio::sync::oneshot;

use super::{AcquireError, EndpointPool, PooledConnection, SlotGuard, check_out, take_idle};

/// What a statement that wants a connection asks for.
#[derive(Clone, Copy, Debug)]
pub struct Demand<'a> {
    /// Workspace that the statement runs for.
    pub workspace: &'a Arc<str>,
    /// This instance's share of the endpoint's connections. It is zero if there are fewer
    /// connections than instances, and one connection is allowed even then.
    pub limit: usize,
    /// Priority; zero is the highest.
    pub priority: u8,
    /// Time until which the statement may wait. Opening a connection has a timeout of its own.
    pub deadline: Instant,
    /// Expected time of the statement at the endpoint, if known.
    pub service_hint: Option<Duration>,
}

/// Connection, or slot to open one, that a statement was given.
pub(super) enum Resource {
    Connection(PooledConnection),
    Slot(SlotGuard),
}

/// What a statement is handed when it is its turn.
pub(super) struct Turn {
    pub(super) resource: Resource,
    pub(super) permit: InFlightGuard,
}

/// Statements that wait for their turn.
#[derive(Default)]
pub(super) struct Waiters {
    by_ticket: HashMap<Ticket, Waiter>,
    next_ticket: u64,
}

struct Waiter {
    workspace: Arc<str>,
    priority: u8,
    grant: oneshot::Sender<Turn>,
}

/// Statement that waits; dropping it gives up the wait.
struct Waiting<'a> {
    endpoint_pool: &'a Rc<EndpointPool>,
    demand: &'a Demand<'a>,
    ticket: Ticket,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        let mut state = self.endpoint_pool.state.borrow_mut();
        let demand = self.demand;
        state
            .admission
            .cancel(demand.priority, demand.workspace, self.ticket);
        state.waiters.by_ticket.remove(&self.ticket);
        metrics::gauge!("filbertbay_admission_waiting").decrement(1.0);
    }
}

/// Statement in flight at an endpoint, counted until this is dropped.
#[derive(Debug)]
pub struct InFlightGuard {
    endpoint_pool: Rc<EndpointPool>,
    /// Kind of the statement, whose latencies teach the limit; none for statements of an open
    /// transaction.
    kind: Option<u8>,
    outcome: Outcome,
}

impl InFlightGuard {
    /// Counts a statement of an open transaction as in flight, ahead of all new work.
    pub fn new(endpoint_pool: &Rc<EndpointPool>) -> Self {
        Self::started(endpoint_pool, None)
    }

    fn started(endpoint_pool: &Rc<EndpointPool>, kind: Option<u8>) -> Self {
        let now = endpoint_pool.clock.now();
        endpoint_pool.state.borrow_mut().admission.start(now);
        Self {
            endpoint_pool: Rc::clone(endpoint_pool),
            kind,
            outcome: Outcome::Unknown,
        }
    }

    /// Records that the endpoint served the statement in the given time.
    pub fn record_latency(&mut self, latency: Duration) {
        if let Some(kind) = self.kind {
            self.outcome = Outcome::Answered { kind, latency };
        }
    }

    /// Records that the endpoint refused the statement because it is busy.
    pub fn record_refusal(&mut self) {
        self.outcome = Outcome::Refused;
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let now = self.endpoint_pool.clock.now();
        let mut state = self.endpoint_pool.state.borrow_mut();
        let before = state.admission.limit().current();
        state.admission.finish(now, self.outcome);
        let limit = state.admission.limit().current();
        drop(state);
        if limit != before {
            let id = self.endpoint_pool.endpoint().id.to_string();
            metrics::gauge!("filbertbay_endpoint_learnt_limit", "endpoint" => id)
                .set(f64::from(limit));
        }
        self.endpoint_pool.serve_waiting();
    }
}

impl EndpointPool {
    /// Returns the turn of a statement, at once or after a wait.
    ///
    /// # Errors
    ///
    /// Returns [`AcquireError::Busy`] if the turn can't come, or did not come, before the deadline.
    pub(super) async fn turn(self: &Rc<Self>, demand: &Demand<'_>) -> Result<Turn, AcquireError> {
        let runs_at_once = {
            let mut state = self.state.borrow_mut();
            state.set_limit(demand.limit);
            state.admission.runs_at_once(demand.priority)
        };
        if runs_at_once && let Some(resource) = self.take_resource(demand.workspace) {
            let permit = InFlightGuard::started(self, Some(demand.priority));
            return Ok(Turn { resource, permit });
        }
        let (ticket, mut granted) = self.enqueue(demand)?;
        let waiting = Waiting {
            endpoint_pool: self,
            demand,
            ticket,
        };
        let wait = demand.deadline.saturating_duration_since(self.clock.now());
        let turn = tokio::time::timeout(wait, &mut granted).await;
        drop(waiting);
        match turn {
            Ok(Ok(turn)) => Ok(turn),
            // The sender is dropped when the statement is evicted.
            Ok(Err(_)) => Err(self.refusal(demand, "full")),
            Err(_) => Err(self.refusal(demand, "expired")),
        }
    }

    /// Queues a statement, and returns the receiver of its turn.
    fn enqueue(
        &self,
        demand: &Demand<'_>,
    ) -> Result<(Ticket, oneshot::Receiver<Turn>), AcquireError> {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        let ticket = Ticket(state.waiters.next_ticket);
        state.waiters.next_ticket += 1;
        let request = Request {
            ticket,
            workspace: Arc::clone(demand.workspace),
            priority: demand.priority,
            deadline: demand.deadline,
            service_hint: demand.service_hint,
        };
        match state.admission.push(now, request, &mut rand::rng()) {
            Decision::Wait { evicted } => {
                if let Some(evicted) = evicted {
                    state.waiters.by_ticket.remove(&evicted);
                }
            }
            Decision::Refuse { cause, retry_after } => {
                count_refusal(cause.into());
                return Err(AcquireError::Busy { retry_after });
            }
        }
        let (grant, granted) = oneshot::channel();
        let waiter = Waiter {
            workspace: Arc::clone(demand.workspace),
            priority: demand.priority,
            grant,
        };
        state.waiters.by_ticket.insert(ticket, waiter);
        metrics::counter!("filbertbay_admission_waits_total").increment(1);
        metrics::gauge!("filbertbay_admission_waiting").increment(1.0);
        Ok((ticket, granted))
    }

    fn refusal(&self, demand: &Demand<'_>, cause: &'static str) -> AcquireError {
        count_refusal(cause);
        let now = self.clock.now();
        let state = self.state.borrow();
        let hint = demand.service_hint;
        let retry_after = state.admission.retry_after(now, hint, &mut rand::rng());
        AcquireError::Busy { retry_after }
    }

    /// Hands turns to waiting statements for as long as the learnt concurrency has room and there is
    /// a connection or a slot.
    pub(super) fn serve_waiting(self: &Rc<Self>) {
        loop {
            // Not in a `while let`, whose borrow would last while the turn is handed over.
            let waiter = self.state.borrow_mut().next_waiter(self.clock.now());
            let Some(waiter) = waiter else {
                return;
            };
            // Nothing runs in between, so what `next_waiter` saw is still there, unless an idle
            // connection turned out closed; then its slot is free.
            let Some(resource) = self.take_resource(&waiter.workspace) else {
                continue;
            };
            let permit = InFlightGuard::started(self, Some(waiter.priority));
            // A turn whose waiter has left frees itself.
            drop(waiter.grant.send(Turn { resource, permit }));
        }
    }

    /// Takes an idle connection of the workspace, or a slot to open one.
    fn take_resource(self: &Rc<Self>, workspace: &Arc<str>) -> Option<Resource> {
        if let Some(connection) = take_idle(self, workspace) {
            return Some(Resource::Connection(check_out(self, connection)));
        }
        let is_reserved = self.state.borrow_mut().reserve_slot();
        is_reserved.then(|| Resource::Slot(SlotGuard::new(self)))
    }

    /// Returns the expected wait of a new statement for the learnt concurrency and a connection.
    pub fn expected_wait(&self, now: Instant, priority: u8) -> Duration {
        self.state.borrow().admission.expected_wait(now, priority)
    }
}

impl super::PoolState {
    /// Removes the waiter whose turn it is, if there is room and a connection or slot for it.
    ///
    /// Workspaces with an idle connection are preferred, which saves opening one.
    fn next_waiter(&mut self, now: Instant) -> Option<Waiter> {
        loop {
            let has_resource = self.open < self.limit || !self.idle.is_empty();
            if !has_resource || !self.admission.has_room() {
                return None;
            }
            let idle = &self.idle;
            let is_preferred = |workspace: &Arc<str>| {
                idle.iter()
                    .any(|connection| connection.workspace == *workspace)
            };
            let ticket = self.admission.pop(now, is_preferred)?;
            if let Some(waiter) = self.waiters.by_ticket.remove(&ticket) {
                return Some(waiter);
            }
        }
    }
}

fn count_refusal(cause: &'static str) {
    metrics::counter!("filbertbay_admission_refused_total", "cause" => cause).increment(1);
}
