//! Placing a statement: tries at endpoints until one serves it or time is up.
//!
//! A try ends in one of four ways. It is served; or it surely did not run and may be tried anywhere; or
//! it ran and failed; or nobody knows. A read whose fate is unknown goes to another member under the
//! same id, a write never does.

use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use filbertbay_coordination::placement::{EndpointEstimate, rank};
use filbertbay_state::position::Position;
use slog::{debug, info};

use super::transaction::roll_back;
use super::{PRIMARY_CHANGE_WAIT_FRACTION, QUEUE_WAIT_DIVISOR, Session};
use crate::caller::{Code, Refusal, Statement, TransactionState};
use crate::catalog::Consistency;
use crate::endpoint::{Access, Endpoint, Reply, Request, RequestKind};
use crate::instance::Instance;
use crate::pool::{AcquireError, EndpointPool, InFlightGuard, PooledConnection, SessionState};

/// Pause between two rounds over the members.
const ROUND_INTERVAL: Duration = Duration::from_millis(12);

/// Part of a route's objective for which a read waits at one member, at least, before it goes to
/// another; long statements and a full queue stay below it.
const MIN_ATTEMPT_DIVISOR: u32 = 2;

/// Time that must be left for another try to make sense.
const MIN_ATTEMPT_TIME: Duration = Duration::from_millis(50);

/// Usual times of an answer after which a read goes to another member.
const ATTEMPT_LATENCY_FACTOR: u32 = 5;

/// Time for which a replica that lacked a position is not asked for it again.
const LAG_BACKOFF: Duration = Duration::from_millis(120);

/// Statement with what is needed to run it.
#[derive(Clone, Debug)]
pub(super) struct PendingStatement<'a> {
    pub(super) statement: &'a Statement,
    pub(super) access: Access,
    /// Shape and arguments of a prepared statement.
    pub(super) prepared: Option<(Arc<str>, Arc<str>)>,
    pub(super) arrived: Instant,
}

impl PendingStatement<'_> {
    /// Returns the request to an endpoint; `name` is that of the prepared statement there.
    pub(super) fn request<'r>(
        &'r self,
        name: Option<&'r str>,
        min_position: Option<Position>,
    ) -> Request<'r> {
        let kind = match (&self.prepared, name) {
            (Some((_, arguments)), Some(name)) => RequestKind::Execute(name, arguments),
            _ => RequestKind::Text(&self.statement.text),
        };
        Request {
            id: Some(&self.statement.id),
            min_position,
            kind,
        }
    }
}

/// Record under which an endpoint leads a service.
#[derive(Clone, Debug)]
pub(super) struct PrimaryRef {
    pub(super) service: Arc<str>,
    pub(super) endpoint: Arc<str>,
    pub(super) revision: u64,
}

impl PrimaryRef {
    /// Notes the position that the endpoint stated, if it still leads under the same record.
    pub(super) fn record_position(
        &self,
        instance: &Instance,
        sent_at: Instant,
        position: Position,
    ) {
        instance.note_position(
            &self.service,
            &self.endpoint,
            self.revision,
            sent_at,
            position,
        );
    }
}

/// Answer of an endpoint with the connection that it came over.
#[derive(Debug)]
pub(super) struct EndpointReply {
    pub(super) reply: Reply,
    pub(super) connection: PooledConnection,
    pub(super) primary_ref: Option<PrimaryRef>,
}

/// Endpoint that a statement may run on.
#[derive(Debug)]
struct Target {
    endpoint: Rc<Endpoint>,
    endpoint_pool: Rc<EndpointPool>,
    min_position: Option<Position>,
    primary_ref: Option<PrimaryRef>,
}

/// How a try ended without being served.
#[derive(Debug)]
enum AttemptError {
    /// The statement surely did not run.
    NotRun(Code),
    /// It ran and failed, or its state is what the refusal says.
    Failed(Refusal),
    /// Nobody knows.
    OutcomeUnknown(&'static str),
}

impl Session {
    /// Runs the first statement of an operation; `begins` tells that it opens a transaction, and
    /// whether that one promises not to write.
    pub(super) async fn run_with_retries(
        &mut self,
        pending: &PendingStatement<'_>,
        begin_read_only: Option<bool>,
    ) -> Result<EndpointReply, Refusal> {
        let queue_deadline = pending.arrived + self.route.latency_objective / QUEUE_WAIT_DIVISOR;
        let deadline = pending.arrived + self.route.timeout;
        let mut attempted: Vec<Arc<str>> = Vec::new();
        let mut last = Code::Busy;
        let mut was_sent = false;
        let mut may_have_run = false;
        loop {
            let targets = self.targets(pending.access, begin_read_only);
            let next_target = targets
                .into_iter()
                .find(|one| !attempted.contains(&one.endpoint.id));
            let now = self.instance.now();
            let Some(target) = next_target else {
                // A member that was just named may need a moment until it leads.
                let is_primary_changing = last == Code::ReadOnly
                    || self.is_primary_changing(pending.access, begin_read_only);
                let limit = self.wait_limit(pending, is_primary_changing, was_sent, queue_deadline);
                if now + ROUND_INTERVAL >= limit {
                    return Err(if may_have_run {
                        // A try whose answer never came may have run.
                        Refusal::new(Code::Timeout, "no endpoint answered in time")
                    } else {
                        no_endpoint_refusal(last, is_primary_changing, attempted.len())
                    });
                }
                attempted.clear();
                self.wait_round(is_primary_changing, limit).await;
                continue;
            };
            let attempt_deadline = self.attempt_deadline(pending, &target, now, deadline);
            let id = Arc::clone(&target.endpoint.id);
            match self
                .attempt(
                    pending,
                    begin_read_only,
                    target,
                    queue_deadline,
                    attempt_deadline,
                )
                .await
            {
                Ok(served) => return Ok(served),
                Err(AttemptError::NotRun(code)) => {
                    debug!(self.log, "try did not run"; "id" => pending.statement.id.as_ref(),
                        "endpoint" => id.as_ref(), "code" => %code);
                    was_sent |= code == Code::Busy;
                    last = code;
                    attempted.push(id);
                }
                Err(AttemptError::Failed(refusal)) => return Err(refusal),
                Err(AttemptError::OutcomeUnknown(problem)) => {
                    info!(self.log, "try lost"; "id" => pending.statement.id.as_ref(),
                        "endpoint" => id.as_ref(), "problem" => problem,
                        "service" => self.route.service.as_ref(),
                        "took_ms" => self.instance.now().saturating_duration_since(now).as_millis() as u64);
                    self.instance.suspicion.notify_one();
                    if pending.access == Access::Write && begin_read_only.is_none() {
                        let text = format!("the outcome of the write is unknown: {problem}");
                        return Err(Refusal::new(Code::Unknown, text));
                    }
                    was_sent = true;
                    may_have_run = true;
                    attempted.push(id);
                    if self.instance.now() + MIN_ATTEMPT_TIME >= deadline {
                        return Err(Refusal::new(Code::Timeout, "no endpoint answered in time"));
                    }
                }
            }
        }
    }

    /// Returns until when a statement that found no member may go on looking.
    fn wait_limit(
        &self,
        pending: &PendingStatement<'_>,
        is_primary_changing: bool,
        was_sent: bool,
        queue_deadline: Instant,
    ) -> Instant {
        if is_primary_changing {
            return pending.arrived + self.route.timeout.mul_f64(PRIMARY_CHANGE_WAIT_FRACTION);
        }
        if was_sent {
            return pending.arrived + self.route.latency_objective / 2;
        }
        queue_deadline
    }

    /// Waits for the next round, or for a change of the view.
    async fn wait_round(&self, is_primary_changing: bool, limit: Instant) {
        if !is_primary_changing {
            tokio::time::sleep(ROUND_INTERVAL).await;
            return;
        }
        let mut changed = self.instance.changed.subscribe();
        let wait = limit.saturating_duration_since(self.instance.now());
        let wait = wait.min(ROUND_INTERVAL * 4);
        // Either end of the wait leads to the next round.
        let _ = tokio::time::timeout(wait, changed.changed()).await;
    }

    /// Tells whether the statement needs a primary and there is none for the moment.
    fn is_primary_changing(&self, access: Access, begin_read_only: Option<bool>) -> bool {
        self.needs_primary(access, begin_read_only) && {
            let view = self.instance.view.borrow();
            self.instance.is_starting()
                || view.tenure.is_valid(self.instance.now())
                    && view.primary(&self.route.service).is_none()
        }
    }

    fn needs_primary(&self, access: Access, begin_read_only: Option<bool>) -> bool {
        self.route.consistency == Consistency::Latest
            || access == Access::Write
            || begin_read_only == Some(false)
    }

    /// Returns until when to wait for an answer; a read that others can serve leaves time for them.
    fn attempt_deadline(
        &self,
        pending: &PendingStatement<'_>,
        target: &Target,
        now: Instant,
        deadline: Instant,
    ) -> Instant {
        if pending.access == Access::Write || self.route.consistency == Consistency::Latest {
            return deadline;
        }
        let usual = self.instance.answer_time(&target.endpoint_pool, now);
        let least = self.route.latency_objective / MIN_ATTEMPT_DIVISOR;
        deadline.min(now + (usual * ATTEMPT_LATENCY_FACTOR).max(least))
    }

    /// Returns the members that the statement may run on, the best first.
    fn targets(&self, access: Access, begin_read_only: Option<bool>) -> Vec<Target> {
        let now = self.instance.now();
        let primary = self.primary_target(now);
        if self.needs_primary(access, begin_read_only) {
            return primary.into_iter().collect();
        }
        let mut targets = self.replicas(now);
        targets.extend(primary);
        let estimates: Vec<EndpointEstimate> =
            targets.iter().map(|one| self.estimate(one, now)).collect();
        let mut remaining: Vec<Option<Target>> = targets.into_iter().map(Some).collect();
        let ranked = rank(&estimates).into_iter();
        ranked.filter_map(|index| remaining[index].take()).collect()
    }

    fn primary_target(&self, now: Instant) -> Option<Target> {
        let service = &self.route.service;
        let id = self.instance.primary(service)?;
        let (endpoint, revision) = {
            let view = self.instance.view.borrow();
            (view.endpoint(&id).cloned()?, view.lead_revision(service))
        };
        if !self.is_usable(&endpoint, now) {
            return None;
        }
        Some(Target {
            endpoint_pool: self.instance.pool.for_endpoint(&endpoint),
            min_position: None,
            primary_ref: Some(PrimaryRef {
                service: Arc::clone(service),
                endpoint: id,
                revision,
            }),
            endpoint,
        })
    }

    /// Returns the replicas that may be fresh enough for a read.
    fn replicas(&self, now: Instant) -> Vec<Target> {
        let Some(min_position) = self.required_position() else {
            return Vec::new();
        };
        let service = &self.route.service;
        let (endpoints, primary): (Vec<Rc<Endpoint>>, Option<Arc<str>>) = {
            let view = self.instance.view.borrow();
            (
                view.endpoints(service).cloned().collect(),
                view.primary(service),
            )
        };
        let others = endpoints
            .into_iter()
            .filter(|one| Some(&one.id) != primary.as_ref());
        let usable = others.filter(|one| self.is_usable(one, now));
        let targets = usable.map(|endpoint| Target {
            endpoint_pool: self.instance.pool.for_endpoint(&endpoint),
            min_position: Some(min_position),
            primary_ref: None,
            endpoint,
        });
        targets
            .filter(|one| !is_known_to_lag(&one.endpoint_pool, min_position, now))
            .collect()
    }

    /// Returns the position that a replica must have: what the session wrote, and what proves the
    /// data young enough. None if nothing proves that.
    fn required_position(&self) -> Option<Position> {
        let service = &self.route.service;
        let min_position = self.min_positions.get(service).copied();
        match self.route.consistency {
            Consistency::Latest => None,
            Consistency::Bounded(age) => self.instance.bound(service, age),
            Consistency::OwnWrites(age) => {
                let bound = self.instance.bound(service, age)?;
                Some(min_position.map_or(bound, |min_position| min_position.max(bound)))
            }
        }
    }

    fn is_usable(&self, endpoint: &Endpoint, now: Instant) -> bool {
        self.instance
            .is_allowed(endpoint, &self.route, &self.workspace)
            && !self.instance.has_left(endpoint, now)
    }

    fn estimate(&self, target: &Target, now: Instant) -> EndpointEstimate {
        let endpoint = &target.endpoint;
        let endpoint_pool = &target.endpoint_pool;
        EndpointEstimate {
            round_trip: self.instance.way(endpoint),
            latency: self.instance.answer_time(endpoint_pool, now),
            in_flight: endpoint_pool.in_flight(),
            slots: endpoint.slots,
            has_idle_connection: endpoint_pool.has_idle_connection(&self.workspace.name),
            is_full: endpoint_pool.is_full(now),
            is_failing: endpoint_pool.failure_detector().is_failing(),
            is_draining_or_cold: endpoint.is_draining || endpoint.is_cold,
        }
    }

    /// Makes one try.
    async fn attempt(
        &self,
        pending: &PendingStatement<'_>,
        begin_read_only: Option<bool>,
        target: Target,
        queue_deadline: Instant,
        deadline: Instant,
    ) -> Result<EndpointReply, AttemptError> {
        let instance = &self.instance;
        let limit = instance.connection_limit(&self.route.service);
        let name = &self.workspace.name;
        let priority = self.route.priority;
        let acquired =
            instance
                .pool
                .acquire(&target.endpoint_pool, name, limit, priority, queue_deadline);
        let mut connection = match acquired.await {
            Ok(connection) => connection,
            Err(AcquireError::Busy) => return Err(AttemptError::NotRun(Code::TooManyConnections)),
            Err(AcquireError::Refused(code)) => return Err(AttemptError::NotRun(code)),
            Err(AcquireError::Unreachable(problem)) => {
                debug!(self.log, "endpoint not reached"; "endpoint" => target.endpoint.id.as_ref(),
                    "problem" => problem);
                instance.suspicion.notify_one();
                return Err(AttemptError::NotRun(Code::Busy));
            }
        };
        let primary_use = target.primary_ref.as_ref();
        let primary_use = primary_use.map(|primary_ref| instance.use_primary(&primary_ref.service));
        // The primary may have been changed while a connection was waited for.
        if !self.is_still_primary(target.primary_ref.as_ref()) {
            connection.release();
            return Err(AttemptError::NotRun(Code::Busy));
        }
        let reply = self
            .exchange_before(pending, begin_read_only, &target, &mut connection, deadline)
            .await?;
        drop(primary_use);
        match &reply.result {
            Ok(_) => Ok(EndpointReply {
                reply,
                connection,
                primary_ref: target.primary_ref,
            }),
            Err(refusal) => {
                let error = classify_refusal(pending, &target, refusal, instance.now());
                if reply.state == TransactionState::Idle {
                    connection.release();
                } else {
                    roll_back(connection);
                }
                Err(error)
            }
        }
    }

    fn is_still_primary(&self, primary_ref: Option<&PrimaryRef>) -> bool {
        primary_ref.is_none_or(|primary_ref| {
            let primary = self.instance.primary(&primary_ref.service);
            let view = self.instance.view.borrow();
            primary.as_ref() == Some(&primary_ref.endpoint)
                && view.lead_revision(&primary_ref.service) == primary_ref.revision
        })
    }

    async fn exchange_before(
        &self,
        pending: &PendingStatement<'_>,
        begin_read_only: Option<bool>,
        target: &Target,
        connection: &mut PooledConnection,
        deadline: Instant,
    ) -> Result<Reply, AttemptError> {
        let instance = &self.instance;
        let endpoint_pool = &target.endpoint_pool;
        let _in_flight = InFlightGuard::new(endpoint_pool);
        let mut aborts = endpoint_pool.subscribe_aborts();
        let sent_at = instance.now();
        let limit = deadline.saturating_duration_since(sent_at);
        let running = self.exchange(pending, begin_read_only, target, connection);
        let outcome = tokio::select! {
            outcome = tokio::time::timeout(limit, running) => outcome,
            _ = aborts.changed() => return Err(AttemptError::OutcomeUnknown("the primary is being changed")),
        };
        let now = instance.now();
        let reply = match outcome {
            Ok(Ok(reply)) => reply,
            Ok(Err(ConnectionLost::BeforeSend)) => {
                endpoint_pool.record_failure(now);
                return Err(AttemptError::NotRun(Code::Busy));
            }
            Ok(Err(ConnectionLost::AfterSend)) => {
                endpoint_pool.record_failure(now);
                return Err(AttemptError::OutcomeUnknown(
                    "the connection to the endpoint broke",
                ));
            }
            Err(_) => {
                endpoint_pool.record_failure(now);
                return Err(AttemptError::OutcomeUnknown(
                    "the endpoint did not answer in time",
                ));
            }
        };
        endpoint_pool.record_answer(now);
        if let (Some(primary_ref), Some(position)) = (&target.primary_ref, reply.position) {
            primary_ref.record_position(instance, sent_at, position);
        }
        if reply.result.is_ok() {
            endpoint_pool.record_latency(now, now.saturating_duration_since(sent_at));
        }
        Ok(reply)
    }

    /// Sends the statement, after the start of its transaction if it opens one.
    async fn exchange(
        &self,
        pending: &PendingStatement<'_>,
        begin_read_only: Option<bool>,
        target: &Target,
        connection: &mut PooledConnection,
    ) -> Result<Reply, ConnectionLost> {
        let session_state = SessionState {
            values: &self.values,
            prepared: pending
                .prepared
                .as_ref()
                .map(|(template, _)| (pending.access, template)),
        };
        let name = connection
            .apply_session_state(session_state)
            .await
            .map_err(|_| ConnectionLost::BeforeSend)?;
        let Some(read_only) = begin_read_only else {
            let request = pending.request(name.as_deref(), target.min_position);
            return connection
                .run(&request)
                .await
                .map_err(|_| ConnectionLost::AfterSend);
        };
        let begin = Request {
            id: None,
            min_position: target.min_position,
            kind: RequestKind::Begin { read_only },
        };
        let reply = connection
            .run(&begin)
            .await
            .map_err(|_| ConnectionLost::BeforeSend)?;
        if reply.result.is_err() {
            return Ok(reply);
        }
        let request = pending.request(name.as_deref(), None);
        // A transaction whose connection breaks before its commit leaves nothing.
        connection
            .run(&request)
            .await
            .map_err(|_| ConnectionLost::AfterSend)
    }
}

/// Returns the refusal of a statement that did not run.
fn no_endpoint_refusal(last: Code, is_primary_changing: bool, tried: usize) -> Refusal {
    let cause = if is_primary_changing {
        "moving"
    } else {
        "capacity"
    };
    metrics::counter!("filbertbay_refused_total", "cause" => cause).increment(1);
    let text = if is_primary_changing {
        "the primary is being changed, retry after 300 ms".to_owned()
    } else {
        format!("no endpoint took it, {tried} tried, last {last}, retry after 100 ms")
    };
    Refusal::new(Code::Busy, text)
}

/// Tells what a refusal means for the statement.
fn classify_refusal(
    pending: &PendingStatement<'_>,
    target: &Target,
    refusal: &Refusal,
    now: Instant,
) -> AttemptError {
    if refusal.code == Code::Lagging
        && let Some(min_position) = target.min_position
    {
        target
            .endpoint_pool
            .record_missing_position(now, min_position);
    }
    if refusal.code.is_not_run() {
        return AttemptError::NotRun(refusal.code);
    }
    if pending.access == Access::Read && refusal.code == Code::Failed {
        return AttemptError::OutcomeUnknown("the endpoint failed the read");
    }
    AttemptError::Failed(refusal.clone())
}

/// Whether a connection broke before the statement was sent.
#[derive(Clone, Copy, Debug)]
enum ConnectionLost {
    BeforeSend,
    AfterSend,
}

/// Tells whether a replica lacked the position, or a lower one, a moment ago.
fn is_known_to_lag(endpoint_pool: &EndpointPool, min_position: Position, now: Instant) -> bool {
    endpoint_pool
        .missing_position()
        .is_some_and(|(position, seen)| {
            min_position >= position && now.saturating_duration_since(seen) < LAG_BACKOFF
        })
}
