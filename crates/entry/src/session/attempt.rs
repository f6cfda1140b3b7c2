//! Runs a statement on an endpoint, with attempts at other endpoints until one succeeds or the
//! deadline passes.
//!
//! An attempt has one of four outcomes: it succeeds; the statement certainly did not run and may be
//! sent to any endpoint; the statement ran and failed; or the outcome is unknown. After an unknown
//! outcome a read is sent to another endpoint under the same id, a write never is.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use filbertbay_coordination::admission::spread;
use filbertbay_coordination::egress;
use filbertbay_coordination::placement::{EndpointEstimate, rank_randomized};
use filbertbay_state::position::Position;
use slog::{debug, info};

use super::transaction::Channel;
use super::{PRIMARY_CHANGE_WAIT_FRACTION, QUEUE_WAIT_DIVISOR, Session};
use crate::caller::{Code, Refusal, Statement};
use crate::catalog::Consistency;
use crate::endpoint::{Access, Endpoint, Reply};
use crate::execution::{self, AttemptError, Execution, Problem, Work};
use crate::forward::{self, Path, SendError};
use crate::pool::EndpointPool;
use crate::primary::PrimaryRef;

/// Pause between two rounds of attempts over all endpoints.
const ROUND_INTERVAL: Duration = Duration::from_millis(12);

/// A read waits for one endpoint at least the route's latency objective divided by this before it
/// is sent to another. Long statements and a full queue at the endpoint take less than that.
const MIN_ATTEMPT_DIVISOR: u32 = 2;

/// Least time before the deadline for which another attempt is made.
const MIN_ATTEMPT_TIME: Duration = Duration::from_millis(50);

/// A read is sent to another endpoint after the expected latency times this.
const ATTEMPT_LATENCY_FACTOR: u32 = 5;

/// Time after which a caller that no endpoint served should retry, if no endpoint stated one.
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
    /// Returns the statement with the session values that it needs.
    pub(super) fn work<'w>(&'w self, values: &'w BTreeMap<Arc<str>, Arc<str>>) -> Work<'w> {
        let prepared = self.prepared.as_ref();
        Work {
            id: &self.statement.id,
            text: &self.statement.text,
            access: self.access,
            prepared: prepared.map(|(template, arguments)| (template, &**arguments)),
            values,
        }
    }
}

/// Reply of an endpoint, and the connection on which it came.
#[derive(Debug)]
pub(super) struct EndpointReply {
    pub(super) reply: Reply,
    pub(super) channel: Channel,
    pub(super) primary_ref: Option<PrimaryRef>,
}

/// Endpoint that a statement may run on.
#[derive(Debug)]
struct Target {
    endpoint: Rc<Endpoint>,
    endpoint_pool: Rc<EndpointPool>,
    path: Path,
    min_position: Option<Position>,
    primary_ref: Option<PrimaryRef>,
}

/// What the attempts at a statement have shown so far.
#[derive(Debug, Default)]
struct Progress {
    /// Endpoints that were attempted in this round.
    attempted: Vec<Arc<str>>,
    /// Endpoints of this round that had no turn for the statement in time.
    overloaded: usize,
    /// Shortest time to retry after that an endpoint without a turn stated.
    retry_after: Option<Duration>,
    /// Why the last attempt did not run; none before the first.
    last_code: Option<Code>,
    was_sent: bool,
    may_have_run: bool,
}

impl Progress {
    fn begin_round(&mut self) {
        self.attempted.clear();
        self.overloaded = 0;
    }

    /// Returns whether every endpoint refused the statement because its turn can't come in time.
    fn has_no_turn(&self) -> bool {
        self.overloaded > 0 && self.overloaded == self.attempted.len() && !self.may_have_run
    }

    fn record(&mut self, endpoint: Arc<str>, error: &AttemptError) {
        match error {
            AttemptError::Unreachable => {
                self.last_code = Some(Code::Busy);
                self.was_sent = true;
            }
            AttemptError::NotRun(code) => {
                self.last_code = Some(*code);
                self.was_sent |= *code == Code::Busy;
            }
            AttemptError::Overloaded { retry_after } => {
                self.last_code = Some(Code::TooManyConnections);
                self.overloaded += 1;
                let shortest = self.retry_after.unwrap_or(*retry_after);
                self.retry_after = Some(shortest.min(*retry_after));
            }
            AttemptError::OutcomeUnknown(problem) => {
                self.was_sent = true;
                self.may_have_run = true;
                // The endpoint of a silent egress instance is tried again on another path.
                if *problem == Problem::EgressLost {
                    return;
                }
            }
            AttemptError::Failed(_) => {}
        }
        self.attempted.push(endpoint);
    }

    /// Returns the refusal of a statement that no endpoint answered.
    fn refusal(&self, no_primary: bool) -> Refusal {
        if self.may_have_run {
            return Refusal::new(Code::Timeout, "no endpoint answered in time");
        }
        let retry_after = self
            .retry_after
            .unwrap_or_else(|| spread(CAPACITY_RETRY_AFTER, &mut rand::rng()));
        let last_code = self.last_code.unwrap_or(Code::Busy);
        no_endpoint_refusal(last_code, no_primary, self.attempted.len(), retry_after)
    }
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
        let mut progress = Progress::default();
        loop {
            let targets = self.targets(pending.access, begin);
            let next_target = targets
                .into_iter()
                .find(|target| !progress.attempted.contains(&target.endpoint.id));
            let now = self.instance.now();
            let Some(target) = next_target else {
                // An endpoint that was just recorded as primary may refuse as read-only until it is
                // promoted.
                let no_primary = progress.last_code == Some(Code::ReadOnly)
                    || self.no_primary(pending.access, begin);
                let limit = self.wait_limit(pending, no_primary, progress.was_sent, queue_end);
                let is_refused = progress.has_no_turn() && !no_primary;
                if is_refused || now + ROUND_INTERVAL >= limit {
                    return Err(progress.refusal(no_primary));
                }
                progress.begin_round();
                self.wait_round(no_primary, limit).await;
                continue;
            };
            let until = self.attempt_deadline(pending, &target, now, deadline);
            let id = Arc::clone(&target.endpoint.id);
            // On the heap, so that the tasks of idle sessions stay small.
            let attempt = Box::pin(self.attempt(pending, begin, target, queue_end, until));
            let error = match attempt.await {
                Ok(served) => return Ok(served),
                Err(error) => error,
            };
            self.log_attempt(pending, &id, &error, now);
            match error {
                AttemptError::Failed(refusal) => return Err(refusal),
                AttemptError::OutcomeUnknown(problem) => {
                    if pending.access == Access::Write && begin.is_none() {
                        let text = format!("the outcome of the write is unknown: {problem}");
                        return Err(Refusal::new(Code::Unknown, text));
                    }
                    if self.instance.now() + MIN_ATTEMPT_TIME >= deadline {
                        return Err(Refusal::new(Code::Timeout, "no endpoint answered in time"));
                    }
                }
                _ => {}
            }
            progress.record(id, &error);
        }
    }

    /// Logs an attempt that did not succeed, and wakes the succession task if its endpoint may be down.
    fn log_attempt(
        &self,
        pending: &PendingStatement<'_>,
        endpoint: &str,
        error: &AttemptError,
        started_at: Instant,
    ) {
        let id = pending.statement.id.as_ref();
        match error {
            AttemptError::Unreachable => {
                debug!(self.log, "endpoint not reached"; "id" => id, "endpoint" => endpoint);
                self.instance.primary_suspected.notify_one();
            }
            AttemptError::NotRun(code) => {
                debug!(self.log, "attempt did not run"; "id" => id, "endpoint" => endpoint,
                    "code" => %code);
            }
            AttemptError::Overloaded { retry_after } => {
                debug!(self.log, "no turn at the endpoint"; "id" => id, "endpoint" => endpoint,
                    "retry_after_ms" => retry_after.as_millis() as u64);
            }
            AttemptError::OutcomeUnknown(problem) => {
                let took = self.instance.now().saturating_duration_since(started_at);
                info!(self.log, "try lost"; "id" => id, "endpoint" => endpoint,
                    "problem" => %problem, "service" => self.route.service.as_ref(),
                    "took_ms" => took.as_millis() as u64);
                // A silent egress instance says nothing about the endpoint.
                if *problem != Problem::EgressLost {
                    self.instance.primary_suspected.notify_one();
                }
            }
            AttemptError::Failed(_) => {}
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
            path: forward::path(&self.instance, &endpoint, &self.workspace.name),
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
            path: forward::path(&self.instance, &endpoint, &self.workspace.name),
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
        // An egress instance keeps connections of the workspaces that it sends for.
        let is_forwarded = target.path != Path::Direct;
        EndpointEstimate {
            round_trip: self.instance.round_trip(endpoint),
            latency: self.instance.expected_latency(endpoint_pool, now),
            wait: endpoint_pool.expected_wait(now, self.route.priority),
            failures_per_mille: endpoint_pool.failures_per_mille(now),
            in_flight: endpoint_pool.in_flight(),
            slots: endpoint.slots,
            has_idle_connection: is_forwarded
                || endpoint_pool.has_idle_connection(&self.workspace.name),
            is_full: !is_forwarded && endpoint_pool.is_full(now),
            is_failing: endpoint_pool.failure_detector().is_failing(),
            is_draining_or_cold: endpoint.is_draining || endpoint.is_cold,
            is_primary: target.primary_ref.is_some(),
        }
    }

    /// Makes one attempt at `target`, and records its result for the next choice of an endpoint.
    async fn attempt(
        &self,
        pending: &PendingStatement<'_>,
        begin: Option<bool>,
        target: Target,
        queue_end: Instant,
        deadline: Instant,
    ) -> Result<EndpointReply, AttemptError> {
        let endpoint_pool = Rc::clone(&target.endpoint_pool);
        let is_forwarded = target.path != Path::Direct;
        let outcome = self.send(pending, begin, target, queue_end, deadline).await;
        let has_failed = match &outcome {
            Ok(_) => Some(false),
            Err(AttemptError::NotRun(Code::Busy) | AttemptError::Unreachable) => Some(true),
            // The wait before an own connection is estimated, that at an egress instance is not.
            Err(AttemptError::Overloaded { .. }) => is_forwarded.then_some(true),
            Err(AttemptError::OutcomeUnknown(problem)) => {
                (problem.is_endpoint_failure() || *problem == Problem::ReadFailed).then_some(true)
            }
            Err(AttemptError::Failed(refusal)) => Some(refusal.code == Code::Failed),
            Err(AttemptError::NotRun(_)) => None,
        };
        if let Some(has_failed) = has_failed {
            endpoint_pool.record_result(self.instance.now(), has_failed);
        }
        outcome
    }

    /// Sends a statement to `target`, through the egress instance of the endpoint or directly.
    async fn send(
        &self,
        pending: &PendingStatement<'_>,
        begin: Option<bool>,
        target: Target,
        queue_end: Instant,
        deadline: Instant,
    ) -> Result<EndpointReply, AttemptError> {
        let instance = &self.instance;
        let mut execution = Execution {
            work: pending.work(&self.values),
            workspace: &self.workspace.name,
            priority: self.route.priority,
            limit: 0,
            min_position: target.min_position,
            begin,
            primary_ref: target.primary_ref.as_ref(),
            queue_end,
            deadline,
        };
        let endpoint_pool = &target.endpoint_pool;
        // An egress instance that is not reached or declines is skipped in the next turn.
        let mut path = target.path.clone();
        for _ in 0..egress::INSTANCES {
            let Path::Egress(name, address) = &path else {
                break;
            };
            match forward::send(instance, (name, *address), endpoint_pool, &execution).await {
                Ok((reply, remote)) => {
                    let channel = remote.map_or(Channel::Ended, Channel::Remote);
                    return Ok(EndpointReply {
                        reply,
                        channel,
                        primary_ref: target.primary_ref,
                    });
                }
                Err(SendError::NotSent) => {}
                Err(SendError::Attempt(error)) => return Err(error),
            }
            path = forward::path(instance, &target.endpoint, &self.workspace.name);
        }
        execution.limit = instance.allot(&target.endpoint);
        let executed = execution::execute(instance, endpoint_pool, &execution).await?;
        Ok(EndpointReply {
            reply: executed.reply,
            channel: Channel::Pooled(executed.connection),
            primary_ref: target.primary_ref,
        })
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

/// Returns true if a replica refused a read within the last [`LAG_BACKOFF`] because it had not
/// reached this position or a lower one.
fn is_known_to_lag(endpoint_pool: &EndpointPool, min_position: Position, now: Instant) -> bool {
    endpoint_pool
        .missing_position()
        .is_some_and(|(position, refused_at)| {
            min_position >= position && now.saturating_duration_since(refused_at) < LAG_BACKOFF
        })
}
