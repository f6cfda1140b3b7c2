//! Sends statements through the egress instances of their endpoints.
//!
//! Where an endpoint accepts fewer than two connections an instance,
//! [`filbertbay_coordination::egress`] names the instances that hold its connections. The other
//! instances forward their statements to these. The egress instance
//! [checks everything itself](lease::handle_first) at the moment of use and keeps the connection of
//! a transaction as a [lease](lease::Leases) until the transaction ends.
//!
//! A forwarded statement certainly did not run if the egress instance says so, or if no connection
//! to it could be opened. Otherwise its outcome is unknown, as with a silent endpoint.

pub mod lease;
mod message;

pub use self::lease::ConnectionId;
pub use self::message::{ForwardError, ForwardReply, Forwarded, ForwardedStatement};

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use filbertbay_coordination::egress::{self, Candidate, Plan, Suspicion, Suspicions};
use slog::{debug, info};

use self::lease::Leases;
use crate::caller::Code;
use crate::endpoint::{Access, Endpoint, Reply};
use crate::execution::{AttemptError, Execution, Problem, Work};
use crate::instance::Instance;
use crate::peer::{self, Unanswered};
use crate::pool::{EndpointPool, InFlightGuard};
use crate::primary::{PrimaryRef, PrimaryUse};

/// Time for which a sender waits longer than the egress instance may take: a round trip between the
/// users' regions and a turn of either process.
const ANSWER_MARGIN: Duration = Duration::from_millis(60);

/// Time without any answer of an egress instance after which it is probed.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(120);

/// Timeout of a probe; an instance with a tenth of a core may need some turns for its answer.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);

/// Interval between two probes of an instance that did not answer.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// Plans, suspicions and leases of one instance.
#[derive(Debug, Default)]
pub struct Forwards {
    plans: RefCell<BTreeMap<Arc<str>, Rc<Plan>>>,
    suspicions: RefCell<Suspicions>,
    /// Time of the last answer of each egress instance.
    last_answers: RefCell<BTreeMap<Arc<str>, Instant>>,
    /// Transactions of other instances that are open on connections of this one.
    pub leases: Leases,
}

impl Forwards {
    /// Uses an instance again whose entry changed, such as after its restart.
    pub fn clear_suspicion(&self, name: &str) {
        self.suspicions.borrow_mut().clear(name);
    }

    /// Discards the plan of an endpoint whose entry changed.
    pub fn discard_plan(&self, endpoint: &str) {
        self.plans.borrow_mut().remove(endpoint);
    }

    /// Discards the plans after a change of the configuration or the instances.
    pub fn discard_plans(&self) {
        self.plans.borrow_mut().clear();
    }
}

/// Instance that sends the statements of a workspace to an endpoint.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Path {
    /// This instance.
    Direct,
    /// Another instance, with its address.
    Egress(Arc<str>, SocketAddr),
}

/// Returns the egress instances of an endpoint.
pub fn plan(instance: &Instance, endpoint: &Endpoint) -> Rc<Plan> {
    if let Some(plan) = instance.forwards.plans.borrow().get(&endpoint.id) {
        return Rc::clone(plan);
    }
    let settings = instance.settings();
    let view = instance.view.borrow();
    let region = |data_centre: &str| settings.data_centres.get(data_centre).map(AsRef::as_ref);
    let service = view
        .catalog()
        .and_then(|catalog| catalog.services.get(&endpoint.service));
    let candidates = view.peers().iter().map(|(name, peer)| Candidate {
        name,
        data_centre: &peer.data_centre,
        region: region(&peer.data_centre),
        weight: peer.weight,
    });
    let described = egress::Endpoint {
        id: &endpoint.id,
        data_centre: &endpoint.data_centre,
        region: region(&endpoint.data_centre),
        max_connections: service.map_or(1, |service| service.max_connections),
    };
    let plan = Rc::new(Plan::new(&described, candidates));
    let mut plans = instance.forwards.plans.borrow_mut();
    plans.insert(Arc::clone(&endpoint.id), Rc::clone(&plan));
    plan
}

/// Returns the path of a workspace's statement to an endpoint.
pub fn path(instance: &Instance, endpoint: &Endpoint, workspace: &str) -> Path {
    let plan = plan(instance, endpoint);
    let now = instance.now();
    let suspicions = instance.forwards.suspicions.borrow();
    let view = instance.view.borrow();
    let own_name = &instance.settings().name;
    for name in plan.order(workspace) {
        if name == own_name {
            return Path::Direct;
        }
        if let Some(peer) = view.peers().get(name)
            && !suspicions.is_suspected(now, name, &endpoint.id)
        {
            return Path::Egress(Arc::clone(name), peer.address);
        }
    }
    Path::Direct
}

/// Why a forwarded statement was not answered with success.
#[derive(Debug)]
pub enum SendError {
    /// The statement did not run; another path has to be chosen.
    NotSent,
    /// The attempt did not succeed; [`Problem::EgressLost`] says nothing about the endpoint.
    Attempt(AttemptError),
}

/// Forwards a statement that is not in an open transaction.
///
/// Returns the reply, and the transaction that it began, if any.
///
/// # Errors
///
/// Returns an error that states whether the statement may have run.
pub async fn send(
    instance: &Rc<Instance>,
    egress: (&Arc<str>, SocketAddr),
    endpoint_pool: &Rc<EndpointPool>,
    execution: &Execution<'_>,
) -> Result<(Reply, Option<Remote>), SendError> {
    let (name, address) = egress;
    let endpoint = &endpoint_pool.endpoint().id;
    let client = match instance.peers.forward_client(address).await {
        Ok(client) => client,
        Err(error) => {
            debug!(instance.log, "egress instance not reached"; "peer" => name.as_ref(),
                "error" => %error);
            suspect(instance, egress, endpoint, Suspicion::Silent);
            return Err(SendError::NotSent);
        }
    };
    let _in_flight = InFlightGuard::new(endpoint_pool);
    let primary_ref = execution.primary_ref;
    let _primary_use = primary_ref.map(|primary| PrimaryUse::begin(instance, primary));
    if primary_ref.is_some_and(|primary| !primary.is_current(instance)) {
        return Err(SendError::Attempt(AttemptError::NotRun(Code::Busy)));
    }
    let sent_at = instance.now();
    let forwarded = Forwarded::new(execution, endpoint, sent_at);
    let timeout = forwarded.statement.time + ANSWER_MARGIN;
    metrics::counter!("filbertbay_forwarded_total").increment(1);
    // Without its answer the outcome of a lone write stays open, so that is waited for.
    let can_repeat = execution.work.access == Access::Read || execution.begin.is_some();
    let call = client.forward(timeout, forwarded);
    let answer = wait_for_answer(instance, egress, endpoint_pool, call, can_repeat).await;
    match answer {
        Ok(Ok(answer)) => {
            record_answer(instance, endpoint_pool, primary_ref, sent_at, &answer);
            let remote = answer.lease.map(|lease| Remote {
                client,
                lease,
                egress: (Arc::clone(name), address),
                endpoint_pool: Rc::clone(endpoint_pool),
            });
            Ok((answer.into_reply(), remote))
        }
        Ok(Err(ForwardError::Declined(cause))) => {
            suspect(instance, egress, endpoint, cause);
            Err(SendError::NotSent)
        }
        Ok(Err(ForwardError::LeaseEnded)) => {
            Err(SendError::Attempt(AttemptError::NotRun(Code::Busy)))
        }
        Ok(Err(ForwardError::Attempt(error))) => {
            record_error(endpoint_pool, execution, &error, instance.now());
            Err(SendError::Attempt(error))
        }
        Err(problem) => {
            if problem == Problem::EgressLost {
                instance.peers.replace_forward_client(address, &client);
            }
            let error = AttemptError::OutcomeUnknown(problem);
            Err(SendError::Attempt(error))
        }
    }
}

/// Waits for the answer of an egress instance, and probes that meanwhile if it is silent. With
/// `can_repeat` the wait ends when the probe fails.
///
/// An instance that answers others in time, but not this call, waits for the endpoint: that counts
/// as a failure of the endpoint.
async fn wait_for_answer<F, T>(
    instance: &Rc<Instance>,
    egress: (&Arc<str>, SocketAddr),
    endpoint_pool: &EndpointPool,
    call: F,
    can_repeat: bool,
) -> Result<T, Problem>
where
    F: Future<Output = Result<T, Unanswered>>,
{
    let (name, address) = egress;
    let endpoint = &endpoint_pool.endpoint().id;
    let mut aborts = endpoint_pool.subscribe_aborts();
    let mut call = std::pin::pin!(call);
    let mut silence = std::pin::pin!(watch(instance, name, address));
    let mut is_silent = false;
    loop {
        tokio::select! {
            answer = &mut call => {
                let now = instance.now();
                return match answer {
                    Ok(answer) => {
                        let mut last_answers = instance.forwards.last_answers.borrow_mut();
                        last_answers.insert(Arc::clone(name), now);
                        Ok(answer)
                    }
                    Err(Unanswered::TimedOut) if !is_silent => {
                        endpoint_pool.record_failure(now);
                        Err(Problem::NoAnswer)
                    }
                    Err(_) => {
                        suspect(instance, egress, endpoint, Suspicion::Silent);
                        Err(Problem::EgressLost)
                    }
                };
            }
            () = &mut silence, if !is_silent => {
                is_silent = true;
                suspect(instance, egress, endpoint, Suspicion::Silent);
                if can_repeat {
                    return Err(Problem::EgressLost);
                }
            }
            _ = aborts.changed() => return Err(Problem::PrimaryChanging),
        }
    }
}

fn record_answer(
    instance: &Instance,
    endpoint_pool: &EndpointPool,
    primary_ref: Option<&PrimaryRef>,
    sent_at: Instant,
    answer: &ForwardReply,
) {
    let now = instance.now();
    endpoint_pool.record_answer(now);
    if answer.result.is_ok() {
        endpoint_pool.record_latency(now, now.saturating_duration_since(sent_at));
    }
    if let Some(primary) = primary_ref {
        let refusal = answer.result.as_ref().err().map(|refusal| refusal.code);
        primary.record_answer(instance, sent_at, answer.position, refusal);
    }
}

/// Records what the egress instance learnt about the endpoint.
fn record_error(
    endpoint_pool: &EndpointPool,
    execution: &Execution<'_>,
    error: &AttemptError,
    now: Instant,
) {
    match error {
        AttemptError::Unreachable => endpoint_pool.record_failure(now),
        AttemptError::OutcomeUnknown(problem) if problem.is_endpoint_failure() => {
            endpoint_pool.record_failure(now);
        }
        AttemptError::NotRun(Code::Lagging) => {
            if let Some(min_position) = execution.min_position {
                endpoint_pool.record_missing_position(now, min_position);
            }
        }
        _ => {}
    }
}

/// Skips an instance as egress instance; probes one that was not reached.
fn suspect(
    instance: &Rc<Instance>,
    egress: (&Arc<str>, SocketAddr),
    endpoint: &Arc<str>,
    cause: Suspicion,
) {
    let (name, address) = egress;
    let now = instance.now();
    let is_new = instance
        .forwards
        .suspicions
        .borrow_mut()
        .add(now, name, endpoint, cause);
    let label: &'static str = cause.into();
    metrics::counter!("filbertbay_egress_suspected_total", "cause" => label).increment(1);
    if !is_new {
        return;
    }
    info!(instance.log, "egress instance skipped"; "peer" => name.as_ref(), "cause" => label);
    if cause == Suspicion::Silent {
        let (instance, endpoint) = (Rc::clone(instance), Arc::clone(endpoint));
        let name = Arc::clone(name);
        tokio::task::spawn_local(probe(instance, name, endpoint, address));
    }
}

/// Waits until an egress instance answers neither statements nor a probe.
async fn watch(instance: &Instance, name: &Arc<str>, address: SocketAddr) {
    let mut last = instance.now();
    loop {
        let answered = instance.forwards.last_answers.borrow().get(name).copied();
        last = last.max(answered.unwrap_or(last));
        let now = instance.now();
        let wait = (last + SILENCE_TIMEOUT).saturating_duration_since(now);
        if wait > Duration::ZERO {
            tokio::time::sleep(wait).await;
        } else if instance.peers.is_alive(address, PROBE_TIMEOUT).await {
            last = instance.now();
            let mut last_answers = instance.forwards.last_answers.borrow_mut();
            last_answers.insert(Arc::clone(name), last);
        } else {
            return;
        }
    }
}

/// Calls a suspected instance until it answers, its suspicion has ended or its entry is gone.
async fn probe(instance: Rc<Instance>, name: Arc<str>, endpoint: Arc<str>, address: SocketAddr) {
    loop {
        tokio::time::sleep(PROBE_INTERVAL).await;
        let now = instance.now();
        let is_suspected = instance
            .forwards
            .suspicions
            .borrow()
            .is_suspected(now, &name, &endpoint);
        if !is_suspected || !instance.view.borrow().peers().contains_key(&name) {
            return;
        }
        if instance.peers.is_alive(address, PROBE_TIMEOUT).await {
            instance.forwards.suspicions.borrow_mut().clear(&name);
            info!(instance.log, "egress instance answers again"; "peer" => name.as_ref());
            return;
        }
    }
}

/// Transaction that is open on a connection of another instance.
///
/// It is rolled back there if this is dropped, once the lease or the connection ends.
#[derive(Debug)]
pub struct Remote {
    client: peer::Client,
    lease: u64,
    egress: (Arc<str>, SocketAddr),
    endpoint_pool: Rc<EndpointPool>,
}

impl Remote {
    /// Runs the next statement of the transaction.
    ///
    /// # Errors
    ///
    /// Returns the cause if no answer came before `deadline`. Only after [`Problem::LeaseEnded`] the
    /// statement certainly did not run.
    pub async fn run(
        &self,
        instance: &Rc<Instance>,
        primary_ref: Option<&PrimaryRef>,
        work: Work<'_>,
        deadline: Instant,
    ) -> Result<Reply, Problem> {
        let _in_flight = InFlightGuard::new(&self.endpoint_pool);
        let _primary_use = primary_ref.map(|primary| PrimaryUse::begin(instance, primary));
        let sent_at = instance.now();
        let time = deadline.saturating_duration_since(sent_at);
        let statement = ForwardedStatement::new(work, time);
        let (name, address) = &self.egress;
        let call = self
            .client
            .forward_next(time + ANSWER_MARGIN, self.lease, statement);
        let egress = (name, *address);
        let answer = wait_for_answer(instance, egress, &self.endpoint_pool, call, false).await;
        match answer {
            Ok(Ok(answer)) => {
                record_answer(instance, &self.endpoint_pool, primary_ref, sent_at, &answer);
                Ok(answer.into_reply())
            }
            Ok(Err(ForwardError::Attempt(AttemptError::OutcomeUnknown(problem)))) => {
                if problem.is_endpoint_failure() {
                    self.endpoint_pool.record_failure(instance.now());
                    instance.primary_suspected.notify_one();
                }
                Err(problem)
            }
            Ok(Err(_)) => Err(Problem::LeaseEnded),
            Err(problem) => {
                if problem == Problem::EgressLost {
                    instance
                        .peers
                        .replace_forward_client(*address, &self.client);
                }
                Err(problem)
            }
        }
    }

    /// Rolls the transaction back in the background.
    pub fn roll_back(self) {
        tokio::task::spawn_local(async move {
            // Without an answer the lease ends by its timeout.
            let _ = self.client.forward_end(self.lease).await;
        });
    }
}
