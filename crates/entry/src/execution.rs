//! Runs one statement on one endpoint, without a session.
//!
//! Sessions run statements this way on connections of their own instance, and instances run the
//! statements that others forward to them.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use filbertbay_state::position::Position;
use serde::{Deserialize, Serialize};
use slog::debug;

use crate::caller::{Code, Refusal, TransactionState};
use crate::endpoint::{Access, Reply, Request, RequestKind};
use crate::instance::Instance;
use crate::pool::{
    AcquireError, Demand, EndpointPool, InFlightGuard, PooledConnection, SessionState,
};
use crate::primary::{PrimaryRef, PrimaryUse};

/// Longest wait for the reply to a rollback, after which the connection is closed.
const ROLLBACK_TIMEOUT: Duration = Duration::from_millis(300);

/// Statement of a caller, with the session state that it needs.
#[derive(Clone, Copy, Debug)]
pub struct Work<'a> {
    /// Id that the caller assigned.
    pub id: &'a str,
    /// Text as received; not used if the statement is prepared.
    pub text: &'a str,
    /// Whether the statement reads or writes; a commit counts as a read.
    pub access: Access,
    /// Template and arguments of a prepared statement.
    pub prepared: Option<(&'a Arc<str>, &'a str)>,
    /// Session values that the caller set.
    pub values: &'a BTreeMap<Arc<str>, Arc<str>>,
}

impl<'a> Work<'a> {
    /// Returns the request to an endpoint. `name` is the name of the prepared statement on the
    /// connection, if it is one.
    fn request<'r>(&'r self, name: Option<&'r str>, min_position: Option<Position>) -> Request<'r> {
        let kind = match (self.prepared, name) {
            (Some((_, arguments)), Some(name)) => RequestKind::Execute(name, arguments),
            _ => RequestKind::Text(self.text),
        };
        Request {
            id: Some(self.id),
            min_position,
            kind,
        }
    }

    fn state(&self) -> SessionState<'a> {
        SessionState {
            values: self.values,
            prepared: self.prepared.map(|(template, _)| (self.access, template)),
        }
    }
}

/// Statement outside a transaction, or the first of one, with all that its endpoint needs.
#[derive(Clone, Debug)]
pub struct Execution<'a> {
    /// Statement to run.
    pub work: Work<'a>,
    /// Workspace whose connection is used.
    pub workspace: &'a Arc<str>,
    /// Priority in the queue for a connection; 0 is the highest.
    pub priority: u8,
    /// Connections that this instance may have open to the endpoint; zero allows one.
    pub limit: usize,
    /// Position that the endpoint must have reached.
    pub min_position: Option<Position>,
    /// For the first statement of a transaction, whether that is read-only.
    pub begin: Option<bool>,
    /// Primary that the endpoint must still be.
    pub primary_ref: Option<&'a PrimaryRef>,
    /// End of the wait for a connection.
    pub queue_end: Instant,
    /// End of the wait for the reply.
    pub deadline: Instant,
}

/// Successful reply of an endpoint, and the connection on which it came.
#[derive(Debug)]
pub struct Executed {
    /// Reply of the endpoint.
    pub reply: Reply,
    /// Connection, with an open transaction if the statement began one.
    pub connection: PooledConnection,
}

/// Why an attempt did not succeed.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum AttemptError {
    /// The statement certainly did not run.
    NotRun(Code),
    /// The statement certainly did not run, because the endpoint could not be reached.
    Unreachable,
    /// The statement ran and failed, or the refusal's code states its outcome.
    Failed(Refusal),
    /// The statement may or may not have run.
    OutcomeUnknown(Problem),
    /// The statement did not run, because its turn at the endpoint could not come in time.
    Overloaded {
        /// Time after which the caller should come back.
        retry_after: Duration,
    },
}

/// Why no reply to a statement came.
#[derive(Clone, Copy, Debug, Eq, PartialEq, strum::Display, Serialize, Deserialize)]
pub enum Problem {
    /// The primary that the statement relied on is being replaced.
    #[strum(to_string = "the primary is being changed")]
    PrimaryChanging,
    /// The connection to the endpoint broke.
    #[strum(to_string = "the connection to the endpoint broke")]
    ConnectionBroke,
    /// The endpoint did not answer before the deadline.
    #[strum(to_string = "the endpoint did not answer in time")]
    NoAnswer,
    /// The endpoint ran the read and reported a failure.
    #[strum(to_string = "the endpoint failed the read")]
    ReadFailed,
    /// The instance that the statement was forwarded to did not answer.
    #[strum(to_string = "the egress instance did not answer")]
    EgressLost,
    /// The transaction was rolled back before the statement reached it, so the statement did not
    /// run.
    #[strum(to_string = "the transaction was rolled back at the egress instance")]
    LeaseEnded,
    /// The instance may not use the primary any more, so the statement was not sent.
    #[strum(to_string = "the primary is not known for certain")]
    PrimaryUncertain,
}

impl Problem {
    /// Returns whether the endpoint's failure detector counts this.
    pub fn is_endpoint_failure(self) -> bool {
        matches!(self, Self::ConnectionBroke | Self::NoAnswer)
    }

    /// Returns whether the statement certainly did not run.
    pub fn is_not_run(self) -> bool {
        matches!(self, Self::LeaseEnded | Self::PrimaryUncertain)
    }
}

/// Runs a statement on an endpoint.
///
/// # Errors
///
/// Returns an error that states whether the statement may have run.
pub async fn execute(
    instance: &Rc<Instance>,
    endpoint_pool: &Rc<EndpointPool>,
    execution: &Execution<'_>,
) -> Result<Executed, AttemptError> {
    let mut connection = acquire(instance, endpoint_pool, execution).await?;
    let primary_ref = execution.primary_ref;
    let primary_use = primary_ref.map(|primary| PrimaryUse::begin(instance, primary));
    // The primary may have changed during the wait for a connection.
    if primary_ref.is_some_and(|primary| !primary.is_current(instance)) {
        connection.release();
        return Err(AttemptError::NotRun(Code::Busy));
    }
    if let Some(primary) = primary_ref {
        instance
            .trace
            .record_use(instance, primary, execution.work.id);
    }
    let exchanged = exchange_before(instance, endpoint_pool, execution, &mut connection);
    let reply = exchanged.await?;
    let may_commit = execution.work.access == Access::Write && execution.begin.is_none();
    if may_commit && reply.result.is_ok() && !is_covered(instance, primary_use.as_ref()) {
        connection.release();
        return Err(AttemptError::OutcomeUnknown(Problem::PrimaryChanging));
    }
    drop(primary_use);
    match &reply.result {
        Ok(_) => Ok(Executed { reply, connection }),
        Err(refusal) => {
            let error = classify_refusal(execution, endpoint_pool, refusal, instance.now());
            if reply.state == TransactionState::Idle {
                connection.release();
            } else {
                roll_back(connection);
            }
            Err(error)
        }
    }
}

/// Waits for a connection on which a statement may run.
async fn acquire(
    instance: &Rc<Instance>,
    endpoint_pool: &Rc<EndpointPool>,
    execution: &Execution<'_>,
) -> Result<PooledConnection, AttemptError> {
    let demand = Demand {
        workspace: execution.workspace,
        limit: execution.limit,
        priority: execution.priority,
        deadline: execution.queue_end,
        service_hint: Some(instance.expected_latency(endpoint_pool, instance.now())),
    };
    // On the heap, as it would make the future of every session larger.
    let acquired = Box::pin(instance.pool.acquire(endpoint_pool, &demand));
    let time = execution.deadline.saturating_duration_since(instance.now());
    let acquired = tokio::select! {
        acquired = tokio::time::timeout(time, acquired) => acquired,
        // A statement that still waits holds up no change of the primary.
        () = wait_until_replaced(instance, execution.primary_ref) => {
            return Err(AttemptError::NotRun(Code::Busy));
        }
    };
    match acquired {
        Ok(Ok(connection)) => Ok(connection),
        Ok(Err(AcquireError::Busy { retry_after })) => {
            Err(AttemptError::Overloaded { retry_after })
        }
        Ok(Err(AcquireError::Refused(code))) => Err(AttemptError::NotRun(code)),
        Ok(Err(AcquireError::Unreachable(problem))) => {
            let endpoint = endpoint_pool.endpoint();
            debug!(instance.log, "endpoint not reached"; "endpoint" => endpoint.id.as_ref(),
                "problem" => problem);
            instance.primary_suspected.notify_one();
            Err(AttemptError::Unreachable)
        }
        Err(_) => {
            endpoint_pool.record_failure(instance.now());
            instance.primary_suspected.notify_one();
            Err(AttemptError::Unreachable)
        }
    }
}

/// Returns whether a statement may be sent as far as its primary is concerned.
fn may_use(instance: &Instance, primary_ref: Option<&PrimaryRef>) -> bool {
    primary_ref.is_none_or(|primary| primary.is_current(instance))
}

fn is_covered(instance: &Instance, primary_use: Option<&PrimaryUse>) -> bool {
    primary_use.is_none_or(|primary_use| primary_use.is_covered(instance))
}

/// Waits until the instance may not use the primary any more; forever without one.
async fn wait_until_replaced(instance: &Instance, primary_ref: Option<&PrimaryRef>) {
    let Some(primary_ref) = primary_ref else {
        return std::future::pending().await;
    };
    let mut changed = instance.view_changed.subscribe();
    while primary_ref.is_current(instance) {
        if changed.changed().await.is_err() {
            return std::future::pending().await;
        }
    }
}

/// Runs a statement of an open transaction on its connection.
///
/// # Errors
///
/// Returns the cause if no answer came before `deadline`, or if the outcome of a commit would be
/// unknown because the instance may not use the primary any more. The connection must then be dropped.
pub async fn execute_next(
    instance: &Rc<Instance>,
    connection: &mut PooledConnection,
    primary_ref: Option<&PrimaryRef>,
    work: Work<'_>,
    deadline: Instant,
) -> Result<Reply, Problem> {
    let endpoint_pool = Rc::clone(connection.endpoint_pool());
    let mut aborts = endpoint_pool.subscribe_aborts();
    let _in_flight = InFlightGuard::new(&endpoint_pool);
    let primary_use = primary_ref.map(|primary| PrimaryUse::begin(instance, primary));
    if !may_use(instance, primary_ref) {
        return Err(Problem::PrimaryUncertain);
    }
    if let Some(primary) = primary_ref {
        instance.trace.record_use(instance, primary, work.id);
    }
    let sent_at = instance.now();
    let limit = deadline.saturating_duration_since(sent_at);
    let running = async {
        let name = connection.apply_session_state(work.state()).await?;
        if !may_use(instance, primary_ref) {
            return Ok(None);
        }
        let request = work.request(name.as_deref(), None);
        connection.run(&request).await.map(Some)
    };
    let outcome = tokio::select! {
        outcome = tokio::time::timeout(limit, running) => outcome,
        _ = aborts.changed() => return Err(Problem::PrimaryChanging),
    };
    let now = instance.now();
    match outcome {
        Ok(Ok(None)) => Err(Problem::PrimaryUncertain),
        Ok(Ok(Some(reply))) => {
            endpoint_pool.record_answer(now);
            endpoint_pool.record_latency(now, now.saturating_duration_since(sent_at));
            if reply.result.is_ok() && !is_covered(instance, primary_use.as_ref()) {
                return Err(Problem::PrimaryChanging);
            }
            if let Some(primary) = primary_ref {
                let refusal = reply.result.as_ref().err().map(|refusal| refusal.code);
                primary.record_answer(instance, sent_at, reply.position, refusal);
            }
            Ok(reply)
        }
        Ok(Err(_)) => {
            endpoint_pool.record_failure(now);
            instance.primary_suspected.notify_one();
            Err(Problem::ConnectionBroke)
        }
        Err(_) => {
            endpoint_pool.record_failure(now);
            instance.primary_suspected.notify_one();
            Err(Problem::NoAnswer)
        }
    }
}

/// Rolls back the transaction on a connection in the background, then returns the connection to the
/// pool.
pub fn roll_back(mut connection: PooledConnection) {
    tokio::task::spawn_local(async move {
        let request = Request::internal(RequestKind::Rollback);
        let reply = tokio::time::timeout(ROLLBACK_TIMEOUT, connection.run(&request)).await;
        let is_clean = matches!(&reply, Ok(Ok(reply)) if reply.state == TransactionState::Idle);
        // Otherwise the connection is closed, on which the endpoint rolls back as well.
        if is_clean {
            connection.release();
        }
    });
}

async fn exchange_before(
    instance: &Rc<Instance>,
    endpoint_pool: &Rc<EndpointPool>,
    execution: &Execution<'_>,
    connection: &mut PooledConnection,
) -> Result<Reply, AttemptError> {
    let mut permit = connection.take_permit();
    let mut aborts = endpoint_pool.subscribe_aborts();
    let sent_at = instance.now();
    let counted = instance.usage.count(sent_at, execution.workspace);
    let limit = execution.deadline.saturating_duration_since(sent_at);
    let running = exchange(instance, execution, connection);
    let unknown = |problem| Err(AttemptError::OutcomeUnknown(problem));
    let outcome = tokio::select! {
        outcome = tokio::time::timeout(limit, running) => outcome,
        _ = aborts.changed() => return unknown(Problem::PrimaryChanging),
    };
    let now = instance.now();
    let reply = match outcome {
        Ok(Ok(reply)) => reply,
        Ok(Err(Interruption::PrimaryUncertain)) => {
            instance.usage.retract(&counted);
            return Err(AttemptError::NotRun(Code::Busy));
        }
        Ok(Err(Interruption::BeforeSend)) => {
            instance.usage.retract(&counted);
            endpoint_pool.record_failure(now);
            return Err(AttemptError::NotRun(Code::Busy));
        }
        Ok(Err(Interruption::AfterSend)) => {
            // An endpoint that goes down has begun only the few statements in its slots.
            instance.usage.retract(&counted);
            endpoint_pool.record_failure(now);
            return unknown(Problem::ConnectionBroke);
        }
        Err(_) => {
            endpoint_pool.record_failure(now);
            return unknown(Problem::NoAnswer);
        }
    };
    endpoint_pool.record_answer(now);
    if let Some(primary) = execution.primary_ref {
        let refusal = reply.result.as_ref().err().map(|refusal| refusal.code);
        primary.record_answer(instance, sent_at, reply.position, refusal);
    }
    match &reply.result {
        Ok(_) => {
            let latency = now.saturating_duration_since(sent_at);
            endpoint_pool.record_latency(now, latency);
            if let Some(permit) = &mut permit {
                permit.record_latency(latency);
            }
        }
        Err(refusal) if refusal.code.is_not_run() => {
            instance.usage.retract(&counted);
            if refusal.code == Code::Busy
                && let Some(permit) = &mut permit
            {
                permit.record_refusal();
            }
        }
        Err(_) => {}
    }
    Ok(reply)
}

/// Sends the statement, preceded by `BEGIN` if it is the first of a transaction.
async fn exchange(
    instance: &Instance,
    execution: &Execution<'_>,
    connection: &mut PooledConnection,
) -> Result<Reply, Interruption> {
    let work = &execution.work;
    let name = connection
        .apply_session_state(work.state())
        .await
        .map_err(|_| Interruption::BeforeSend)?;
    if !may_use(instance, execution.primary_ref) {
        return Err(Interruption::PrimaryUncertain);
    }
    let Some(read_only) = execution.begin else {
        let request = work.request(name.as_deref(), execution.min_position);
        return connection
            .run(&request)
            .await
            .map_err(|_| Interruption::AfterSend);
    };
    let begin_request = Request {
        id: None,
        min_position: execution.min_position,
        kind: RequestKind::Begin { read_only },
    };
    let reply = connection
        .run(&begin_request)
        .await
        .map_err(|_| Interruption::BeforeSend)?;
    if reply.result.is_err() {
        return Ok(reply);
    }
    if !may_use(instance, execution.primary_ref) {
        return Err(Interruption::PrimaryUncertain);
    }
    let request = work.request(name.as_deref(), None);
    // The endpoint rolls back a transaction whose connection breaks before the commit.
    connection
        .run(&request)
        .await
        .map_err(|_| Interruption::AfterSend)
}

/// Converts a refusal to the error of the attempt, and records the position that a lagging replica
/// had not reached.
fn classify_refusal(
    execution: &Execution<'_>,
    endpoint_pool: &EndpointPool,
    refusal: &Refusal,
    now: Instant,
) -> AttemptError {
    if refusal.code == Code::Lagging
        && let Some(min_position) = execution.min_position
    {
        endpoint_pool.record_missing_position(now, min_position);
    }
    if refusal.code.is_not_run() {
        return AttemptError::NotRun(refusal.code);
    }
    if execution.work.access == Access::Read && refusal.code == Code::Failed {
        return AttemptError::OutcomeUnknown(Problem::ReadFailed);
    }
    AttemptError::Failed(refusal.clone())
}

/// Why an exchange with an endpoint ended without a reply.
#[derive(Clone, Copy, Debug)]
enum Interruption {
    /// The connection broke before the statement was sent.
    BeforeSend,
    /// The connection broke after the statement was sent.
    AfterSend,
    /// The instance may not use the primary any more; the statement was not sent.
    PrimaryUncertain,
}
