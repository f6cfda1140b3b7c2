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
use super::{MOVE_PATIENCE, PATIENCE_DIVISOR, Session};
use crate::caller::{Code, Refusal, Statement, TransactionState};
use crate::catalog::Consistency;
use crate::endpoint::{Access, Endpoint, Reply, Request, RequestKind};
use crate::instance::Instance;
use crate::pool::{AcquireError, EndpointPool, InFlightGuard, PooledConnection, SessionState};

/// Pause between two rounds over the members.
const ROUND_PAUSE: Duration = Duration::from_millis(12);

/// Part of a route's objective for which a read waits at one member, at least, before it goes to
/// another; long statements and a full queue stay below it.
const TRY_DIVISOR: u32 = 2;

/// Time that must be left for another try to make sense.
const LEAST_TRY: Duration = Duration::from_millis(50);

/// Usual times of an answer after which a read goes to another member.
const TRY_FACTOR: u32 = 5;

/// Time for which a replica that lacked a position is not asked for it again.
const LAG_PAUSE: Duration = Duration::from_millis(120);

/// Statement with what is needed to run it.
#[derive(Clone, Debug)]
pub(super) struct Work<'a> {
    pub(super) statement: &'a Statement,
    pub(super) access: Access,
    /// Shape and arguments of a prepared statement.
    pub(super) prepared: Option<(Arc<str>, Arc<str>)>,
    pub(super) arrived: Instant,
}

impl Work<'_> {
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
pub(super) struct Leads {
    pub(super) service: Arc<str>,
    pub(super) endpoint: Arc<str>,
    pub(super) revision: u64,
}

impl Leads {
    /// Notes the position that the endpoint stated, if it still leads under the same record.
    pub(super) fn note(&self, instance: &Instance, asked: Instant, position: Position) {
        instance.record_position(
            &self.service,
            &self.endpoint,
            self.revision,
            asked,
            position,
        );
    }
}

/// Answer of an endpoint with the connection that it came over.
#[derive(Debug)]
pub(super) struct Served {
    pub(super) reply: Reply,
    pub(super) connection: PooledConnection,
    pub(super) leads: Option<Leads>,
}

/// Endpoint that a statement may run on.
#[derive(Debug)]
struct Target {
    endpoint: Rc<Endpoint>,
    endpoint_pool: Rc<EndpointPool>,
    min_position: Option<Position>,
    leads: Option<Leads>,
}

/// How a try ended without being served.
#[derive(Debug)]
enum Miss {
    /// The statement surely did not run.
    NotRun(Code),
    /// It ran and failed, or its state is what the refusal says.
    Failed(Refusal),
    /// Nobody knows.
    Lost(&'static str),
}

impl Session {
    /// Runs the first statement of an operation; `begins` tells that it opens a transaction, and
    /// whether that one promises not to write.
    pub(super) async fn place(
        &mut self,
        work: &Work<'_>,
        begins: Option<bool>,
    ) -> Result<Served, Refusal> {
        let patience = work.arrived + self.route.latency_objective / PATIENCE_DIVISOR;
        let until = work.arrived + self.route.timeout;
        let mut tried: Vec<Arc<str>> = Vec::new();
        let mut last = Code::Busy;
        let mut was_offered = false;
        let mut was_lost = false;
        loop {
            let targets = self.targets(work.access, begins);
            let fresh = targets
                .into_iter()
                .find(|one| !tried.contains(&one.endpoint.id));
            let now = self.instance.now();
            let Some(target) = fresh else {
                // A member that was just named may need a moment until it leads.
                let is_moving = last == Code::ReadOnly || self.is_moving(work.access, begins);
                let limit = self.wait_limit(work, is_moving, was_offered, patience);
                if now + ROUND_PAUSE >= limit {
                    return Err(if was_lost {
                        // A try whose answer never came may have run.
                        Refusal::new(Code::Timeout, "no endpoint answered in time")
                    } else {
                        not_run(last, is_moving, tried.len())
                    });
                }
                tried.clear();
                self.wait_round(is_moving, limit).await;
                continue;
            };
            let try_until = self.try_until(work, &target, now, until);
            let id = Arc::clone(&target.endpoint.id);
            match self.try_at(work, begins, target, patience, try_until).await {
                Ok(served) => return Ok(served),
                Err(Miss::NotRun(code)) => {
                    debug!(self.log, "try did not run"; "id" => work.statement.id.as_ref(),
                        "endpoint" => id.as_ref(), "code" => %code);
                    was_offered |= code == Code::Busy;
                    last = code;
                    tried.push(id);
                }
                Err(Miss::Failed(refusal)) => return Err(refusal),
                Err(Miss::Lost(problem)) => {
                    info!(self.log, "try lost"; "id" => work.statement.id.as_ref(),
                        "endpoint" => id.as_ref(), "problem" => problem,
                        "service" => self.route.service.as_ref(),
                        "took_ms" => self.instance.now().saturating_duration_since(now).as_millis() as u64);
                    self.instance.primary_suspected.notify_one();
                    if work.access == Access::Write && begins.is_none() {
                        let text = format!("the outcome of the write is unknown: {problem}");
                        return Err(Refusal::new(Code::Unknown, text));
                    }
                    was_offered = true;
                    was_lost = true;
                    tried.push(id);
                    if self.instance.now() + LEAST_TRY >= until {
                        return Err(Refusal::new(Code::Timeout, "no endpoint answered in time"));
                    }
                }
            }
        }
    }

    /// Returns until when a statement that found no member may go on looking.
    fn wait_limit(
        &self,
        work: &Work<'_>,
        is_moving: bool,
        was_offered: bool,
        patience: Instant,
    ) -> Instant {
        if is_moving {
            return work.arrived + self.route.timeout.mul_f64(MOVE_PATIENCE);
        }
        if was_offered {
            return work.arrived + self.route.latency_objective / 2;
        }
        patience
    }

    /// Waits for the next round, or for a change of the view.
    async fn wait_round(&self, is_moving: bool, limit: Instant) {
        if !is_moving {
            tokio::time::sleep(ROUND_PAUSE).await;
            return;
        }
        let mut changed = self.instance.view_changed.subscribe();
        let wait = limit.saturating_duration_since(self.instance.now());
        let wait = wait.min(ROUND_PAUSE * 4);
        // Either end of the wait leads to the next round.
        let _ = tokio::time::timeout(wait, changed.changed()).await;
    }

    /// Tells whether the statement needs a primary and there is none for the moment.
    fn is_moving(&self, access: Access, begins: Option<bool>) -> bool {
        self.needs_primary(access, begins) && {
            let view = self.instance.view.borrow();
            self.instance.is_starting()
                || view.primary_lease.is_valid(self.instance.now())
                    && view.primary(&self.route.service).is_none()
        }
    }

    fn needs_primary(&self, access: Access, begins: Option<bool>) -> bool {
        self.route.consistency == Consistency::Latest
            || access == Access::Write
            || begins == Some(false)
    }

    /// Returns until when to wait for an answer; a read that others can serve leaves time for them.
    fn try_until(&self, work: &Work<'_>, target: &Target, now: Instant, until: Instant) -> Instant {
        if work.access == Access::Write || self.route.consistency == Consistency::Latest {
            return until;
        }
        let usual = self.instance.expected_latency(&target.endpoint_pool, now);
        let least = self.route.latency_objective / TRY_DIVISOR;
        until.min(now + (usual * TRY_FACTOR).max(least))
    }

    /// Returns the members that the statement may run on, the best first.
    fn targets(&self, access: Access, begins: Option<bool>) -> Vec<Target> {
        let now = self.instance.now();
        let primary = self.primary_target(now);
        if self.needs_primary(access, begins) {
            return primary.into_iter().collect();
        }
        let mut targets = self.replicas(now);
        targets.extend(primary);
        let offers: Vec<EndpointEstimate> =
            targets.iter().map(|one| self.offer(one, now)).collect();
        let mut places: Vec<Option<Target>> = targets.into_iter().map(Some).collect();
        let ranked = rank(&offers).into_iter();
        ranked.filter_map(|index| places[index].take()).collect()
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
            leads: Some(Leads {
                service: Arc::clone(service),
                endpoint: id,
                revision,
            }),
            endpoint,
        })
    }

    /// Returns the replicas that may be fresh enough for a read.
    fn replicas(&self, now: Instant) -> Vec<Target> {
        let Some(min_position) = self.required() else {
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
            leads: None,
            endpoint,
        });
        targets
            .filter(|one| !lags(&one.endpoint_pool, min_position, now))
            .collect()
    }

    /// Returns the position that a replica must have: what the session wrote, and what proves the
    /// data young enough. None if nothing proves that.
    fn required(&self) -> Option<Position> {
        let service = &self.route.service;
        let floor = self.floors.get(service).copied();
        match self.route.consistency {
            Consistency::Latest => None,
            Consistency::Bounded(age) => self.instance.min_position(service, age),
            Consistency::OwnWrites(age) => {
                let bound = self.instance.min_position(service, age)?;
                Some(floor.map_or(bound, |floor| floor.max(bound)))
            }
        }
    }

    fn is_usable(&self, endpoint: &Endpoint, now: Instant) -> bool {
        self.instance
            .is_allowed(endpoint, &self.route, &self.workspace)
            && !self.instance.is_past_drain(endpoint, now)
    }

    fn offer(&self, target: &Target, now: Instant) -> EndpointEstimate {
        let endpoint = &target.endpoint;
        let endpoint_pool = &target.endpoint_pool;
        EndpointEstimate {
            round_trip: self.instance.round_trip(endpoint),
            latency: self.instance.expected_latency(endpoint_pool, now),
            in_flight: endpoint_pool.in_flight(),
            slots: endpoint.slots,
            has_idle_connection: endpoint_pool.has_idle_connection(&self.workspace.name),
            is_full: endpoint_pool.is_full(now),
            is_failing: endpoint_pool.failure_detector().is_failing(),
            is_draining_or_cold: endpoint.is_draining || endpoint.is_cold,
        }
    }

    /// Makes one try.
    async fn try_at(
        &self,
        work: &Work<'_>,
        begins: Option<bool>,
        target: Target,
        patience: Instant,
        until: Instant,
    ) -> Result<Served, Miss> {
        let instance = &self.instance;
        let limit = instance.connection_limit(&self.route.service);
        let name = &self.workspace.name;
        let priority = self.route.priority;
        let acquired =
            instance
                .pool
                .acquire(&target.endpoint_pool, name, limit, priority, patience);
        let mut connection = match acquired.await {
            Ok(connection) => connection,
            Err(AcquireError::Busy) => return Err(Miss::NotRun(Code::TooManyConnections)),
            Err(AcquireError::Refused(code)) => return Err(Miss::NotRun(code)),
            Err(AcquireError::Unreachable(problem)) => {
                debug!(self.log, "endpoint not reached"; "endpoint" => target.endpoint.id.as_ref(),
                    "problem" => problem);
                instance.primary_suspected.notify_one();
                return Err(Miss::NotRun(Code::Busy));
            }
        };
        let used = target.leads.as_ref();
        let used = used.map(|leads| instance.track_primary_use(&leads.service));
        // The primary may have been changed while a connection was waited for.
        if !self.still_leads(target.leads.as_ref()) {
            connection.release();
            return Err(Miss::NotRun(Code::Busy));
        }
        let reply = self
            .run_at(work, begins, &target, &mut connection, until)
            .await?;
        drop(used);
        match &reply.result {
            Ok(_) => Ok(Served {
                reply,
                connection,
                leads: target.leads,
            }),
            Err(refusal) => {
                let miss = missed(work, &target, refusal, instance.now());
                if reply.state == TransactionState::Idle {
                    connection.release();
                } else {
                    roll_back(connection);
                }
                Err(miss)
            }
        }
    }

    fn still_leads(&self, leads: Option<&Leads>) -> bool {
        leads.is_none_or(|leads| {
            let primary = self.instance.primary(&leads.service);
            let view = self.instance.view.borrow();
            primary.as_ref() == Some(&leads.endpoint)
                && view.record_revision(&leads.service) == leads.revision
        })
    }

    async fn run_at(
        &self,
        work: &Work<'_>,
        begins: Option<bool>,
        target: &Target,
        connection: &mut PooledConnection,
        until: Instant,
    ) -> Result<Reply, Miss> {
        let instance = &self.instance;
        let endpoint_pool = &target.endpoint_pool;
        let _in_flight = InFlightGuard::new(endpoint_pool);
        let mut aborts = endpoint_pool.subscribe_aborts();
        let asked = instance.now();
        let limit = until.saturating_duration_since(asked);
        let running = self.exchange(work, begins, target, connection);
        let outcome = tokio::select! {
            outcome = tokio::time::timeout(limit, running) => outcome,
            _ = aborts.changed() => return Err(Miss::Lost("the primary is being changed")),
        };
        let now = instance.now();
        let reply = match outcome {
            Ok(Ok(reply)) => reply,
            Ok(Err(Broken::Before)) => {
                endpoint_pool.record_failure(now);
                return Err(Miss::NotRun(Code::Busy));
            }
            Ok(Err(Broken::After)) => {
                endpoint_pool.record_failure(now);
                return Err(Miss::Lost("the connection to the endpoint broke"));
            }
            Err(_) => {
                endpoint_pool.record_failure(now);
                return Err(Miss::Lost("the endpoint did not answer in time"));
            }
        };
        endpoint_pool.record_answer(now);
        if let (Some(leads), Some(position)) = (&target.leads, reply.position) {
            leads.note(instance, asked, position);
        }
        if reply.result.is_ok() {
            endpoint_pool.record_latency(now, now.saturating_duration_since(asked));
        }
        Ok(reply)
    }

    /// Sends the statement, after the start of its transaction if it opens one.
    async fn exchange(
        &self,
        work: &Work<'_>,
        begins: Option<bool>,
        target: &Target,
        connection: &mut PooledConnection,
    ) -> Result<Reply, Broken> {
        let session_state = SessionState {
            values: &self.values,
            prepared: work
                .prepared
                .as_ref()
                .map(|(template, _)| (work.access, template)),
        };
        let name = connection
            .apply_session_state(session_state)
            .await
            .map_err(|_| Broken::Before)?;
        let Some(read_only) = begins else {
            let request = work.request(name.as_deref(), target.min_position);
            return connection.run(&request).await.map_err(|_| Broken::After);
        };
        let begin = Request {
            id: None,
            min_position: target.min_position,
            kind: RequestKind::Begin { read_only },
        };
        let reply = connection.run(&begin).await.map_err(|_| Broken::Before)?;
        if reply.result.is_err() {
            return Ok(reply);
        }
        let request = work.request(name.as_deref(), None);
        // A transaction whose connection breaks before its commit leaves nothing.
        connection.run(&request).await.map_err(|_| Broken::After)
    }
}

/// Returns the refusal of a statement that did not run.
fn not_run(last: Code, is_moving: bool, tried: usize) -> Refusal {
    let cause = if is_moving { "moving" } else { "capacity" };
    metrics::counter!("filbertbay_refused_total", "cause" => cause).increment(1);
    let text = if is_moving {
        "the primary is being changed, retry after 300 ms".to_owned()
    } else {
        format!("no endpoint took it, {tried} tried, last {last}, retry after 100 ms")
    };
    Refusal::new(Code::Busy, text)
}

/// Tells what a refusal means for the statement.
fn missed(work: &Work<'_>, target: &Target, refusal: &Refusal, now: Instant) -> Miss {
    if refusal.code == Code::Lagging
        && let Some(min_position) = target.min_position
    {
        target
            .endpoint_pool
            .record_missing_position(now, min_position);
    }
    if refusal.code.is_not_run() {
        return Miss::NotRun(refusal.code);
    }
    if work.access == Access::Read && refusal.code == Code::Failed {
        return Miss::Lost("the endpoint failed the read");
    }
    Miss::Failed(refusal.clone())
}

/// Whether a connection broke before the statement was sent.
#[derive(Clone, Copy, Debug)]
enum Broken {
    Before,
    After,
}

/// Tells whether a replica lacked the position, or a lower one, a moment ago.
fn lags(endpoint_pool: &EndpointPool, min_position: Position, now: Instant) -> bool {
    endpoint_pool
        .missing_position()
        .is_some_and(|(position, seen)| {
            min_position >= position && now.saturating_duration_since(seen) < LAG_PAUSE
        })
}
