//! Checks of a primary: status queries to members, the release of a previous primary by this instance,
//! and the reachability of a primary from all instances.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use filbertbay_state::position::Position;
use futures::future::join_all;
use slog::info;

use super::Coordinator;
use crate::caller::Code;
use crate::endpoint::{Endpoint, Request, RequestKind, Status};
use crate::instance::Instance;
use crate::peer::Reach;
use crate::pool::AcquireError;

/// Timeout of a status query.
const STATUS_TIMEOUT: Duration = Duration::from_millis(400);

/// An unresponsive primary is replaced at once if at most this fraction (one in four) of the instances
/// did not reply.
const NO_REPLY_DIVISOR: usize = 4;

/// Time for which a primary must be unresponsive if more instances did not reply. Most partitions of
/// the users end within 7 s.
const PARTITION_DELAY: Duration = Duration::from_secs(7);

/// Age of the last answer up to which an endpoint counts as reachable.
const MAX_ANSWER_AGE: Duration = Duration::from_millis(300);

/// Longest wait for the statements in flight at a previous primary to end.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(450);

/// Waits until no statement relies on the primary of a service under a record older than `revision`.
/// Returns false if that takes longer than the release timeout.
pub async fn wait_until_released(instance: &Rc<Instance>, service: &str, revision: u64) -> bool {
    let deadline = instance.now() + RELEASE_TIMEOUT;
    loop {
        let known_revision = instance.view.borrow().record_revision(service);
        if known_revision >= revision && instance.primary_uses.count(service) == 0 {
            return true;
        }
        if instance.now() >= deadline {
            return false;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// Returns whether this instance gets answers from an endpoint; queries its status unless a recent
/// answer is known.
pub async fn check_reachability(instance: &Rc<Instance>, id: &str) -> Reach {
    let endpoint = instance.view.borrow().endpoint(id).cloned();
    let Some(endpoint) = endpoint else {
        return Reach::Silent;
    };
    let endpoint_pool = instance.pool.for_endpoint(&endpoint);
    let failure_detector = endpoint_pool.failure_detector();
    let is_recent = failure_detector
        .time_since_answer(instance.now())
        .is_some_and(|silence| silence <= MAX_ANSWER_AGE);
    if is_recent && !failure_detector.is_failing() {
        return Reach::Answers;
    }
    match status(instance, &endpoint).await {
        Answer::Status(_) | Answer::Busy(_) => Reach::Answers,
        Answer::Silent => Reach::Silent,
    }
}

/// Answer of a member to a request of the instance itself.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Answer {
    /// The member stated its status.
    Status(Status),
    /// The member runs but is too busy to answer; the position is one that its log has reached.
    Busy(Option<Position>),
    /// There was no answer in time, or none that states a status.
    Silent,
}

impl Answer {
    /// Returns the status, if the member stated it.
    pub(crate) fn status(self) -> Option<Status> {
        match self {
            Self::Status(status) => Some(status),
            Self::Busy(_) | Self::Silent => None,
        }
    }
}

/// Queries the status of a member.
pub(crate) async fn status(instance: &Rc<Instance>, endpoint: &Rc<Endpoint>) -> Answer {
    let request = Request::internal(RequestKind::Status);
    query(instance, endpoint, &request).await
}

/// Sends a request of the instance itself to a member, whose reply holds a status row.
pub(super) async fn query(
    instance: &Rc<Instance>,
    endpoint: &Rc<Endpoint>,
    request: &Request<'_>,
) -> Answer {
    let endpoint_pool = instance.pool.for_endpoint(endpoint);
    let workspace = instance
        .catalog()
        .and_then(|catalog| catalog.workspaces.keys().next().cloned());
    let Some(workspace) = workspace else {
        return Answer::Silent;
    };
    metrics::counter!("filbertbay_status_questions_total").increment(1);
    let exchange = async {
        let mut connection = match instance.pool.acquire_any(&endpoint_pool, &workspace).await {
            Ok(connection) => connection,
            // The member runs, but accepts no connection.
            Err(AcquireError::Refused(Code::TooManyConnections | Code::Busy)) => {
                return Answer::Busy(None);
            }
            Err(_) => return Answer::Silent,
        };
        let Ok(reply) = connection.run(request).await else {
            return Answer::Silent;
        };
        endpoint_pool.record_answer(instance.now());
        let status = instance.drivers.connector.parse_status(&reply);
        connection.release();
        match (status, &reply.result) {
            (Some(status), _) => Answer::Status(status),
            (None, Err(refusal)) if refusal.code == Code::Busy => Answer::Busy(reply.position),
            (None, result) => {
                info!(instance.log, "reply without a status"; "endpoint" => endpoint.id.as_ref(),
                    "code" => result.as_ref().err().map(|refusal| refusal.code.to_string()));
                Answer::Silent
            }
        }
    };
    let outcome = tokio::time::timeout(STATUS_TIMEOUT, exchange).await;
    if outcome.is_err() {
        endpoint_pool.record_failure(instance.now());
    }
    outcome.unwrap_or(Answer::Silent)
}

impl Coordinator {
    /// Returns whether no instance gets answers from the primary of a service, according to this
    /// instance and its peers.
    pub(super) async fn is_unresponsive_for_all(&self, service: &str) -> bool {
        let Some(id) = self.instance.view.borrow().primary(service) else {
            return true;
        };
        let own = Arc::clone(&self.instance.settings().name);
        let peers = self.instance.view.borrow().peers().clone();
        let peers = peers.iter().filter(|(name, _)| **name != own);
        let requests =
            peers.map(|(_, peer)| self.instance.peers.reach(peer.address, Arc::clone(&id)));
        let answers = join_all(requests).await;
        let reached = answers
            .iter()
            .filter(|answer| **answer == Ok(Reach::Answers))
            .count();
        let unreachable = answers
            .iter()
            .filter(|answer| **answer == Ok(Reach::Silent))
            .count();
        let own_reach = check_reachability(&self.instance, &id).await;
        info!(self.instance.log, "primary suspected"; "service" => service,
            "endpoint" => id.as_ref(), "reached_by" => reached, "silent_for" => unreachable,
            "unheard" => answers.len() - reached - unreachable, "own" => ?own_reach);
        let no_reply = answers.len() - reached - unreachable;
        // Many instances without a reply may be partitioned from this one and still use the primary.
        let few_without_reply = no_reply * NO_REPLY_DIVISOR <= answers.len();
        let since = self.fault_since.borrow().get(service).copied();
        let is_prolonged =
            since.is_some_and(|since| self.instance.now() >= since + PARTITION_DELAY);
        reached == 0 && own_reach == Reach::Silent && (few_without_reply || is_prolonged)
    }
}
