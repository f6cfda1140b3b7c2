//! Runs a statement on an endpoint, with attempts at other endpoints until one succeeds or the
//! deadline passes.
//!
//! An attempt has one of four outcomes: it succeeds; the statement certainly did not run and may be
//! sent to any endpoint; the statement ran and failed; or the outcome is unknown. After an unknown
//! outcome a read is sent to another endpoint under the same id, a write never is.

use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use filbertbay_coordination::admission::spread;
use filbertbay_coordination::placement::{EndpointEstimate, rank_randomized};
use filbertbay_state::position::Position;
use slog::{debug, info};

use super::transaction::roll_back;
use super::{PRIMARY_CHANGE_WAIT_FRACTION, QUEUE_WAIT_DIVISOR, Session};
use crate::caller::{Code, Refusal, Statement, TransactionState};
use crate::catalog::Consistency;
use crate::endpoint::{Access, Endpoint, Reply, Request, RequestKind};
use crate::instance::Instance;
use crate::pool::{
    AcquireError, Demand, EndpointPool, InFlightGuard, PooledConnection, SessionState,
};

/// Pause between two rounds of attempts over all endpoints.
const ROUND_INTERVAL: Duration = Duration::from_millis(12);

/// A read waits for one endpoint at least the route's latency objective divided by this before it
/// is sent to another. Long statements and a full queue at the endpoint take less than that.
const MIN_ATTEMPT_DIVISOR: u32 = 2;

/// Least time before the deadline for which another attempt is made.
const MIN_ATTEMPT_TIME: Duration = Duration::from_millis(50);

/// A read is sent to another endpoint after the expected latency times this.
const ATTEMPT_LATENCY_FACTOR: u32 = 5;

/// Time after which a caller comes back that no endpoint served, if no endpoint told one.
const CAPACITY_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Time around which callers come back, spread, while a primary is being changed.
const PRIMARY_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Time for which a replica that lacked a position gets no reads that need it.
const LAG_BACKOFF: Duration = Duration::from_millis(120);

/// Statement that waits for its execution on an endpoint.
#[derive(Clone, Debug)]
pub(super) struct PendingStatement<'a> {
    pub(super) statement: &'a Statement,
    pub(super) access: Access,
    /// Template and arguments of a prepared statement.
    pub(super) prepared: Option<(Arc<str>, Arc<str>)>,
    pub(super) arrived: Instant,
}

impl PendingStatement<'_> {
    /// Returns the request to an endpoint. `name` is the name of the prepared statement on the
    /// connection, if it is one.
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

/// Primary of a service, with the revision of the stored record that names it.
#[derive(Clone, Debug)]
pub(super) struct PrimaryRef {
    pub(super) service: Arc<str>,
    pub(super) endpoint: Arc<str>,
    pub(super) revision: u64,
}

impl PrimaryRef {
    /// Records the position that the endpoint reported, if the same record still names it primary.
    pub(super) fn record_position(
        &self,
        instance: &Instance,
        sent_at: Instant,
        position: Position,
    ) {
        instance.record_position(
            &self.service,
            &self.endpoint,
            self.revision,
            sent_at,
            position,
        );
    }
}

/// Reply of an endpoint, and the connection on which it came.
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

/// Why an attempt did not succeed.
#[derive(Debug)]
enum AttemptError {
    /// The statement certainly did not run.
    NotRun(Code),
    /// The statement did not run, because its turn at the endpoint could not come in time.
    Overloaded {
        /// Time after which the caller should come back.
        retry_after: Duration,
    },
    /// The statement ran and failed, or the refusal's code states its outcome.
    Failed(Refusal),
    /// The statement may or may not have run.
    OutcomeUnknown(&'static str),
}

impl Session {
    /// Runs a statement outside a pinned transaction, at as many endpoints as needed until one
    /// succeeds.
    ///
    /// `begin` is `None` for a statement on its own. For the first statement of a transaction `begin`
    /// holds whether the transaction is read-only.
    ///
    /// Returns a refusal if the statement failed, if the outcome of a write is unknown, or if no
    /// endpoint ran it in time.
    pub(super) async fn run_with_retries(
        &mut self,
        pending: &PendingStatement<'_>,
        begin: Option<bool>,
    ) -> Result<EndpointReply, Refusal> {
        let queue_end = pending.arrived + self.route.latency_objective / QUEUE_WAIT_DIVISOR;
        let deadline = pending.arrived + self.route.timeout;
        let mut attempted: Vec<Arc<str>> = Vec::new();
        let mut last_code = Code::Busy;
        // Shortest time to come back that an endpoint without a turn for the statement told, and the
        // number of endpoints of this round that had none.
        let mut retry_after: Option<Duration> = None;
        let mut overloaded = 0;
        let mut was_sent = false;
        let mut may_have_run = false;
        loop {
            let targets = self.targets(pending.access, begin);
            let next_target = targets
                .into_iter()
                .find(|target| !attempted.contains(&target.endpoint.id));
            let now = self.instance.now();
            let Some(target) = next_target else {
                // An endpoint that was just recorded as primary may refuse as read-only until it is
                // promoted.
                let no_primary =
                    last_code == Code::ReadOnly || self.no_primary(pending.access, begin);
                let limit = self.wait_limit(pending, no_primary, was_sent, queue_end);
                let has_no_turn = overloaded > 0 && overloaded == attempted.len();
                if now + ROUND_INTERVAL >= limit || has_no_turn && !no_primary {
                    return Err(if may_have_run {
                        // An attempt without an answer may have run.
                        Refusal::new(Code::Timeout, "no endpoint answered in time")
                    } else {
                        let retry_after = retry_after
                            .unwrap_or_else(|| spread(CAPACITY_RETRY_AFTER, &mut rand::rng()));
                        no_endpoint_refusal(last_code, no_primary, attempted.len(), retry_after)
                    });
                }
                attempted.clear();
                overloaded = 0;
                self.wait_round(no_primary, limit).await;
                continue;
            };
            let until = self.attempt_deadline(pending, &target, now, deadline);
            let id = Arc::clone(&target.endpoint.id);
            match self.attempt(pending, begin, target, queue_end, until).await {
                Ok(served) => return Ok(served),
                Err(AttemptError::NotRun(code)) => {
                    debug!(self.log, "attempt did not run"; "id" => pending.statement.id.as_ref(),
                        "endpoint" => id.as_ref(), "code" => %code);
                    was_sent |= code == Code::Busy;
                    last_code = code;
                    attempted.push(id);
                }
                Err(AttemptError::Overloaded { retry_after: told }) => {
                    last_code = Code::TooManyConnections;
                    retry_after = Some(retry_after.map_or(told, |known| known.min(told)));
                    overloaded += 1;
                    attempted.push(id);
                }
                Err(AttemptError::Failed(refusal)) => return Err(refusal),
                Err(AttemptError::OutcomeUnknown(problem)) => {
                    info!(self.log, "try lost"; "id" => pending.statement.id.as_ref(),
                        "endpoint" => id.as_ref(), "problem" => problem,
                        "service" => self.route.service.as_ref(),
                        "took_ms" => self.instance.now().saturating_duration_since(now).as_millis() as u64);
                    self.instance.primary_suspected.notify_one();
                    if pending.access == Access::Write && begin.is_none() {
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

    /// Returns the time until which a statement waits for a usable endpoint.
    fn wait_limit(
        &self,
        pending: &PendingStatement<'_>,
        no_primary: bool,
        was_sent: bool,
        queue_end: Instant,
    ) -> Instant {
        if no_primary {
            return pending.arrived + self.route.timeout.mul_f64(PRIMARY_CHANGE_WAIT_FRACTION);
        }
        if was_sent {
            return pending.arrived + self.route.latency_objective / 2;
        }
        queue_end
    }

    /// Waits for the next round of attempts or, without a primary, for the next change of the view.
    async fn wait_round(&self, no_primary: bool, limit: Instant) {
        if !no_primary {
            tokio::time::sleep(ROUND_INTERVAL).await;
            return;
        }
        let mut changed = self.instance.view_changed.subscribe();
        let wait = limit.saturating_duration_since(self.instance.now());
        let wait = wait.min(ROUND_INTERVAL * 4);
        // A timeout needs no handling: the next round starts in both cases.
        let _ = tokio::time::timeout(wait, changed.changed()).await;
    }

    /// Returns true if the statement needs a primary and must wait: no primary is recorded, or the
    /// instance is still starting.
    fn no_primary(&self, access: Access, begin: Option<bool>) -> bool {
        self.needs_primary(access, begin) && {
            let view = self.instance.view.borrow();
            self.instance.is_starting()
                || view.primary_lease.is_valid(self.instance.now())
                    && view.primary(&self.route.service).is_none()
        }
    }

    fn needs_primary(&self, access: Access, begin: Option<bool>) -> bool {
        self.route.consistency == Consistency::Latest
            || access == Access::Write
            || begin == Some(false)
    }

    /// Returns the deadline of one attempt. A read that other endpoints can serve gets an earlier
    /// deadline, which leaves time for attempts at those.
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
        let expected = self.instance.expected_latency(&target.endpoint_pool, now);
        let min_time = self.route.latency_objective / MIN_ATTEMPT_DIVISOR;
        deadline.min(now + (expected * ATTEMPT_LATENCY_FACTOR).max(min_time))
    }

    /// Returns the endpoints that may run the statement, the best first.
    fn targets(&self, access: Access, begin: Option<bool>) -> Vec<Target> {
        let now = self.instance.now();
        let primary = self.primary_target(now);
        if self.needs_primary(access, begin) {
            return primary.into_iter().collect();
        }
        let mut targets = self.replicas(now);
        targets.extend(primary);
        let estimates: Vec<EndpointEstimate> = targets
            .iter()
            .map(|target| self.estimate(target, now))
            .collect();
        let mut remaining: Vec<Option<Target>> = targets.into_iter().map(Some).collect();
        let ranked = rank_randomized(&estimates, &mut rand::rng()).into_iter();
        ranked.filter_map(|index| remaining[index].take()).collect()
    }

    fn primary_target(&self, now: Instant) -> Option<Target> {
        let service = &self.route.service;
        let id = self.instance.primary(service)?;
        let (endpoint, revision) = {
            let view = self.instance.view.borrow();
            (view.endpoint(&id).cloned()?, view.record_revision(service))
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

    /// Returns the replicas that may have reached the position that a read requires.
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
        let replicas = endpoints
            .into_iter()
            .filter(|endpoint| Some(&endpoint.id) != primary.as_ref());
        let usable = replicas.filter(|endpoint| self.is_usable(endpoint, now));
        let targets = usable.map(|endpoint| Target {
            endpoint_pool: self.instance.pool.for_endpoint(&endpoint),
            min_position: Some(min_position),
            primary_ref: None,
            endpoint,
        });
        targets
            .filter(|target| !is_known_to_lag(&target.endpoint_pool, min_position, now))
            .collect()
    }

    /// Returns the position that a replica must have applied: the highest of the session's own
    /// writes and the position that proves the data's age within the route's bound.
    ///
    /// Returns `None` if no position proves that, or if only the primary may run the read.
    fn required_position(&self) -> Option<Position> {
        let service = &self.route.service;
        let min_position = self.min_positions.get(service).copied();
        match self.route.consistency {
            Consistency::Latest => None,
            Consistency::Bounded(age) => self.instance.min_position(service, age),
            Consistency::OwnWrites(age) => {
                let bound = self.instance.min_position(service, age)?;
                Some(min_position.map_or(bound, |min_position| min_position.max(bound)))
            }
        }
    }

    fn is_usable(&self, endpoint: &Endpoint, now: Instant) -> bool {
        self.instance
            .is_allowed(endpoint, &self.route, &self.workspace)
            && !self.instance.is_past_drain(endpoint, now)
    }

    fn estimate(&self, target: &Target, now: Instant) -> EndpointEstimate {
        let endpoint = &target.endpoint;
        let endpoint_pool = &target.endpoint_pool;
        EndpointEstimate {
            round_trip: self.instance.round_trip(endpoint),
            latency: self.instance.expected_latency(endpoint_pool, now),
            wait: endpoint_pool.expected_wait(now, self.route.priority),
            failures_per_mille: endpoint_pool.failures_per_mille(now),
            in_flight: endpoint_pool.in_flight(),
            slots: endpoint.slots,
            has_idle_connection: endpoint_pool.has_idle_connection(&self.workspace.name),
            is_full: endpoint_pool.is_full(now),
            is_failing: endpoint_pool.failure_detector().is_failing(),
            is_draining_or_cold: endpoint.is_draining || endpoint.is_cold,
            is_primary: target.primary_ref.is_some(),
        }
    }

    /// Makes one attempt at `target`.
    async fn attempt(
        &self,
        pending: &PendingStatement<'_>,
        begin: Option<bool>,
        target: Target,
        queue_end: Instant,
        deadline: Instant,
    ) -> Result<EndpointReply, AttemptError> {
        let instance = &self.instance;
        let endpoint_pool = &target.endpoint_pool;
        let demand = Demand {
            workspace: &self.workspace.name,
            limit: instance.connection_limit(&self.route.service),
            priority: self.route.priority,
            deadline: queue_end,
            service_hint: Some(instance.expected_latency(endpoint_pool, instance.now())),
        };
        let mut connection = match instance.pool.acquire(endpoint_pool, &demand).await {
            Ok(connection) => connection,
            Err(AcquireError::Busy { retry_after }) => {
                return Err(AttemptError::Overloaded { retry_after });
            }
            Err(AcquireError::Refused(code)) => return Err(AttemptError::NotRun(code)),
            Err(AcquireError::Unreachable(problem)) => {
                debug!(self.log, "endpoint not reached"; "endpoint" => target.endpoint.id.as_ref(),
                    "problem" => problem);
                instance.primary_suspected.notify_one();
                return Err(AttemptError::NotRun(Code::Busy));
            }
        };
        let primary_use = target.primary_ref.as_ref();
        let primary_use =
            primary_use.map(|primary_ref| instance.track_primary_use(&primary_ref.service));
        // The primary may have changed during the wait for a connection.
        if !self.is_still_primary(target.primary_ref.as_ref()) {
            connection.release();
            return Err(AttemptError::NotRun(Code::Busy));
        }
        let reply = self
            .exchange_before(pending, begin, &target, &mut connection, deadline)
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
                && view.record_revision(&primary_ref.service) == primary_ref.revision
        })
    }

    async fn exchange_before(
        &self,
        pending: &PendingStatement<'_>,
        begin: Option<bool>,
        target: &Target,
        connection: &mut PooledConnection,
        deadline: Instant,
    ) -> Result<Reply, AttemptError> {
        let instance = &self.instance;
        let endpoint_pool = &target.endpoint_pool;
        let mut permit = connection.take_permit();
        let mut aborts = endpoint_pool.subscribe_aborts();
        let sent_at = instance.now();
        let limit = deadline.saturating_duration_since(sent_at);
        let running = self.exchange(pending, begin, target, connection);
        let outcome = tokio::select! {
            outcome = tokio::time::timeout(limit, running) => outcome,
            _ = aborts.changed() => return Err(AttemptError::OutcomeUnknown("the primary is being changed")),
        };
        let now = instance.now();
        let reply = match outcome {
            Ok(Ok(reply)) => reply,
            Ok(Err(ConnectionLost::BeforeSend)) => {
                endpoint_pool.record_failure(now);
                endpoint_pool.record_result(now, true);
                return Err(AttemptError::NotRun(Code::Busy));
            }
            Ok(Err(ConnectionLost::AfterSend)) => {
                endpoint_pool.record_failure(now);
                endpoint_pool.record_result(now, true);
                return Err(AttemptError::OutcomeUnknown(
                    "the connection to the endpoint broke",
                ));
            }
            Err(_) => {
                endpoint_pool.record_failure(now);
                endpoint_pool.record_result(now, true);
                return Err(AttemptError::OutcomeUnknown(
                    "the endpoint did not answer in time",
                ));
            }
        };
        endpoint_pool.record_answer(now);
        if let (Some(primary_ref), Some(position)) = (&target.primary_ref, reply.position) {
            primary_ref.record_position(instance, sent_at, position);
        }
        match &reply.result {
            Ok(_) => {
                let latency = now.saturating_duration_since(sent_at);
                endpoint_pool.record_latency(now, latency);
                endpoint_pool.record_result(now, false);
                permit
                    .iter_mut()
                    .for_each(|permit| permit.record_latency(latency));
            }
            Err(refusal) if refusal.code == Code::Busy => {
                endpoint_pool.record_result(now, true);
                permit.iter_mut().for_each(InFlightGuard::record_refusal);
            }
            Err(refusal) => endpoint_pool.record_result(now, refusal.code == Code::Failed),
        }
        Ok(reply)
    }

    /// Sends the statement, preceded by `BEGIN` if it is the first of a transaction.
    async fn exchange(
        &self,
        pending: &PendingStatement<'_>,
        begin: Option<bool>,
        target: &Target,
        connection: &mut PooledConnection,
    ) -> Result<Reply, ConnectionLost> {
        let state = SessionState {
            values: &self.values,
            prepared: pending
                .prepared
                .as_ref()
                .map(|(template, _)| (pending.access, template)),
        };
        let name = connection
            .apply_session_state(state)
            .await
            .map_err(|_| ConnectionLost::BeforeSend)?;
        let Some(read_only) = begin else {
            let request = pending.request(name.as_deref(), target.min_position);
            return connection
                .run(&request)
                .await
                .map_err(|_| ConnectionLost::AfterSend);
        };
        let begin_request = Request {
            id: None,
            min_position: target.min_position,
            kind: RequestKind::Begin { read_only },
        };
        let reply = connection
            .run(&begin_request)
            .await
            .map_err(|_| ConnectionLost::BeforeSend)?;
        if reply.result.is_err() {
            return Ok(reply);
        }
        let request = pending.request(name.as_deref(), None);
        // The endpoint rolls back a transaction whose connection breaks before the commit.
        connection
            .run(&request)
            .await
            .map_err(|_| ConnectionLost::AfterSend)
    }
}

/// Returns the refusal of a statement that no endpoint ran, and counts it.
fn no_endpoint_refusal(
    last_code: Code,
    no_primary: bool,
    endpoint_count: usize,
    retry_after: Duration,
) -> Refusal {
    let cause = if no_primary { "moving" } else { "capacity" };
    metrics::counter!("filbertbay_refused_total", "cause" => cause).increment(1);
    let text = if no_primary {
        let millis = spread(PRIMARY_RETRY_AFTER, &mut rand::rng()).as_millis();
        format!("the primary is being changed, retry after {millis} ms")
    } else {
        let millis = retry_after.as_millis();
        format!(
            "no endpoint took it, {endpoint_count} tried, last {last_code}, retry after {millis} ms"
        )
    };
    Refusal::new(Code::Busy, text)
}

/// Converts a refusal to the error of the attempt, and records the position that a lagging replica
/// had not reached.
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

/// Connection to an endpoint that broke before or after the statement was sent.
#[derive(Clone, Copy, Debug)]
enum ConnectionLost {
    BeforeSend,
    AfterSend,
}

/// Returns true if a replica refused a read within the last [`LAG_BACKOFF`] because it had not
/// reached this position or a lower one.
fn is_known_to_lag(endpoint_pool: &EndpointPool, min_position: Position, now: Instant) -> bool {
    endpoint_pool
        .missing_position()
        .is_some_and(|(position, refused_at)| {
            min_position >= position && now.saturating_duration_since(refused_at) < LAG_BACKOFF
        })
}
