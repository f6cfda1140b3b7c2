//! Runs the statements that other instances forward, and keeps the connections of their
//! transactions.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use filbertbay_coordination::egress::Suspicion;
use slog::info;

use super::{ForwardError, ForwardReply, Forwarded, ForwardedStatement, plan};
use crate::caller::{Code, TransactionState};
use crate::endpoint::Endpoint;
use crate::execution::{self, AttemptError, Execution};
use crate::instance::{Instance, Phase};
use crate::pool::PooledConnection;
use crate::primary::PrimaryRef;
use crate::task;

/// Longest time without a statement after which a lease ends, if the configuration has no timeout
/// of idle transactions.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Time by which a lease outlives the timeout of idle transactions, so that the instance of the
/// caller ends the transaction first.
const IDLE_MARGIN: Duration = Duration::from_millis(500);

/// Longest wait for a record of a primary that the sender of a statement knows already.
const MAX_RECORD_WAIT: Duration = Duration::from_millis(150);

/// Interval at which leases are checked for their timeout.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Connection from another instance.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ConnectionId(u64);

/// Open transaction of another instance.
#[derive(Debug)]
struct Lease {
    connection: PooledConnection,
    owner: ConnectionId,
    primary_ref: Option<PrimaryRef>,
    last_used: Instant,
}

/// Open transactions of other instances.
#[derive(Debug, Default)]
pub struct Leases {
    /// Leases without a statement in flight.
    idle: RefCell<BTreeMap<u64, Lease>>,
    last_lease: Cell<u64>,
    last_connection: Cell<u64>,
    in_flight: Cell<usize>,
}

impl Leases {
    /// Returns the id of a new connection.
    pub fn next_connection(&self) -> ConnectionId {
        let next = self.last_connection.get() + 1;
        self.last_connection.set(next);
        ConnectionId(next)
    }

    /// Returns whether a forwarded statement is in flight or a transaction open.
    pub fn is_in_use(&self) -> bool {
        self.in_flight.get() > 0 || !self.idle.borrow().is_empty()
    }

    fn keep(&self, lease: Lease) -> u64 {
        let id = self.last_lease.get() + 1;
        self.last_lease.set(id);
        self.put_back(id, lease);
        id
    }

    fn put_back(&self, id: u64, lease: Lease) {
        let mut idle = self.idle.borrow_mut();
        idle.insert(id, lease);
        metrics::gauge!("filbertbay_leases").set(idle.len() as f64);
    }

    /// Takes a lease of a connection for one statement or to end it.
    fn take(&self, id: u64, owner: ConnectionId) -> Option<Lease> {
        let mut idle = self.idle.borrow_mut();
        if idle.get(&id)?.owner != owner {
            return None;
        }
        let lease = idle.remove(&id);
        metrics::gauge!("filbertbay_leases").set(idle.len() as f64);
        lease
    }

    /// Takes all leases for which `is_over` holds.
    fn take_all<F>(&self, is_over: F) -> Vec<Lease>
    where
        F: Fn(&Lease) -> bool,
    {
        let mut idle = self.idle.borrow_mut();
        let ended = idle.extract_if(.., |_, lease| is_over(lease));
        let ended: Vec<Lease> = ended.map(|(_, lease)| lease).collect();
        metrics::gauge!("filbertbay_leases").set(idle.len() as f64);
        ended
    }
}

/// Counts a forwarded statement in flight until it is dropped.
struct InFlight(Rc<Instance>);

impl InFlight {
    fn new(instance: &Rc<Instance>) -> Self {
        let count = &instance.forwards.leases.in_flight;
        count.set(count.get() + 1);
        Self(Rc::clone(instance))
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        let count = &self.0.forwards.leases.in_flight;
        count.set(count.get() - 1);
    }
}

/// Runs a forwarded statement that is not in an open transaction.
///
/// Everything on which the statement relies is checked on this instance's own view at the moment of
/// use: that it sends for the endpoint, that the endpoint may get work, and the primary.
///
/// # Errors
///
/// Returns an error that states whether the statement may have run.
pub async fn handle_first(
    instance: &Rc<Instance>,
    owner: ConnectionId,
    forwarded: Forwarded,
) -> Result<ForwardReply, ForwardError> {
    let now = instance.now();
    let (endpoint, limit) = find_endpoint(instance, &forwarded.endpoint)?;
    let primary_ref = forwarded.primary_revision.map(|revision| PrimaryRef {
        service: Arc::clone(&endpoint.service),
        endpoint: Arc::clone(&endpoint.id),
        revision,
    });
    if let Some(primary) = &primary_ref {
        check_primary(instance, primary, forwarded.queue_time).await?;
    }
    let is_evacuated = instance.view.borrow().is_evacuated(&endpoint.data_centre);
    if is_evacuated || instance.is_past_drain(&endpoint, now) {
        return Err(ForwardError::Attempt(AttemptError::NotRun(Code::Busy)));
    }
    let _in_flight = InFlight::new(instance);
    let endpoint_pool = instance.pool.for_endpoint(&endpoint);
    endpoint_pool.keep_all_idle(true);
    let execution = Execution {
        work: forwarded.statement.work(),
        workspace: &forwarded.workspace,
        priority: forwarded.priority,
        limit,
        min_position: forwarded.min_position,
        begin: forwarded.begin,
        primary_ref: primary_ref.as_ref(),
        queue_end: now + forwarded.queue_time,
        deadline: now + forwarded.statement.time,
    };
    metrics::counter!("filbertbay_forwards_served_total").increment(1);
    let executed = execution::execute(instance, &endpoint_pool, &execution)
        .await
        .map_err(ForwardError::Attempt)?;
    if executed.reply.state != TransactionState::Open {
        if executed.reply.state == TransactionState::Idle {
            executed.connection.release();
        } else {
            execution::roll_back(executed.connection);
        }
        return Ok(ForwardReply::new(executed.reply, None));
    }
    let lease = instance.forwards.leases.keep(Lease {
        connection: executed.connection,
        owner,
        primary_ref,
        last_used: instance.now(),
    });
    Ok(ForwardReply::new(executed.reply, Some(lease)))
}

/// Returns an endpoint for which this instance sends the statements of others, and its connections.
fn find_endpoint(instance: &Instance, id: &str) -> Result<(Rc<Endpoint>, usize), ForwardError> {
    if instance.is_draining() {
        return Err(ForwardError::Declined(Suspicion::Draining));
    }
    let endpoint = instance.view.borrow().endpoint(id).cloned();
    let endpoint = endpoint.ok_or(ForwardError::Declined(Suspicion::Disagrees))?;
    let plan = plan(instance, &endpoint);
    let limit = plan.allotment(&instance.settings().name);
    if plan.is_direct() || limit == 0 {
        return Err(ForwardError::Declined(Suspicion::Disagrees));
    }
    Ok((endpoint, limit))
}

/// Checks that this instance may use a primary. The record may arrive here later than at the sender,
/// so this waits for it for a moment.
async fn check_primary(
    instance: &Instance,
    primary: &PrimaryRef,
    queue_time: Duration,
) -> Result<(), ForwardError> {
    let revision = || instance.view.borrow().record_revision(&primary.service);
    if revision() < primary.revision {
        let mut changed = instance.view_changed.subscribe();
        let newer = changed.wait_for(|_| revision() >= primary.revision);
        // A timeout needs no handling: the check below fails then.
        let _ = tokio::time::timeout(MAX_RECORD_WAIT.min(queue_time), newer).await;
    }
    if primary.is_current(instance) {
        Ok(())
    } else if revision() > primary.revision {
        // The sender is about to learn of the change itself.
        Err(ForwardError::Attempt(AttemptError::NotRun(Code::Busy)))
    } else {
        Err(ForwardError::Declined(Suspicion::Disagrees))
    }
}

/// Runs the next statement of a forwarded transaction. A transaction that the endpoint has ended
/// releases its connection.
///
/// # Errors
///
/// Returns an error that states whether the statement may have run; the transaction has ended then.
pub async fn handle_next(
    instance: &Rc<Instance>,
    owner: ConnectionId,
    id: u64,
    statement: ForwardedStatement,
) -> Result<ForwardReply, ForwardError> {
    let now = instance.now();
    // While the statement runs the lease is not in the map: a call that is cancelled drops the
    // connection, and the endpoint rolls back.
    let Some(mut lease) = instance.forwards.leases.take(id, owner) else {
        return Err(ForwardError::LeaseEnded);
    };
    let _in_flight = InFlight::new(instance);
    let mut deadline = now + statement.time;
    if let Phase::Draining(schedule) = *instance.phase.borrow() {
        if now >= schedule.answers_until() {
            return Err(ForwardError::LeaseEnded);
        }
        deadline = deadline.min(schedule.answers_until());
    }
    let primary_ref = lease.primary_ref.as_ref();
    if primary_ref.is_some_and(|primary| !primary.is_current(instance)) {
        execution::roll_back(lease.connection);
        return Err(ForwardError::LeaseEnded);
    }
    let connection = &mut lease.connection;
    let work = statement.work();
    let reply = execution::execute_next(instance, connection, primary_ref, work, deadline)
        .await
        .map_err(|problem| match problem {
            problem if problem.is_not_run() => ForwardError::LeaseEnded,
            problem => ForwardError::Attempt(AttemptError::OutcomeUnknown(problem)),
        })?;
    match reply.state {
        TransactionState::Open => {
            lease.last_used = instance.now();
            instance.forwards.leases.put_back(id, lease);
            Ok(ForwardReply::new(reply, Some(id)))
        }
        TransactionState::Idle => {
            lease.connection.release();
            Ok(ForwardReply::new(reply, None))
        }
        TransactionState::Failed => {
            execution::roll_back(lease.connection);
            Ok(ForwardReply::new(reply, None))
        }
    }
}

/// Rolls a forwarded transaction back.
pub fn handle_end(instance: &Instance, owner: ConnectionId, id: u64) {
    if let Some(lease) = instance.forwards.leases.take(id, owner) {
        execution::roll_back(lease.connection);
    }
}

/// Rolls back the transactions that were forwarded over a connection that has ended.
pub fn handle_disconnect(instance: &Instance, owner: ConnectionId) {
    let leases = &instance.forwards.leases;
    for lease in leases.take_all(|lease| lease.owner == owner) {
        execution::roll_back(lease.connection);
    }
}

/// Spawns the task that ends leases by their timeout.
pub fn spawn(instance: &Rc<Instance>) {
    let shared = Rc::clone(instance);
    task::spawn(&instance.log, "leases", move || {
        end_expired(Rc::clone(&shared))
    });
}

async fn end_expired(instance: Rc<Instance>) {
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        let configured = instance
            .catalog()
            .map(|catalog| catalog.idle_transaction_timeout);
        let configured = configured.filter(|limit| *limit > Duration::ZERO);
        let limit = configured.unwrap_or(DEFAULT_IDLE_TIMEOUT) + IDLE_MARGIN;
        let now = instance.now();
        let is_over = |lease: &Lease| now >= lease.last_used + limit;
        for lease in instance.forwards.leases.take_all(is_over) {
            info!(instance.log, "forwarded transaction ended by its timeout";
                "limit_ms" => limit.as_millis() as u64);
            execution::roll_back(lease.connection);
        }
    }
}
