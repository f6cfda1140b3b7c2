//! What instances and members say of a primary.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;
use slog::info;

use super::Driver;
use crate::endpoint::{Endpoint, Request, RequestKind, Status};
use crate::instance::Instance;
use crate::peer::Reach;

/// Longest wait for the status of a member.
const STATUS_TIMEOUT: Duration = Duration::from_millis(400);

/// Part of the instances that may be unheard for a silent primary to be replaced at once.
const UNHEARD_DIVISOR: usize = 4;

/// Time for which a primary must be silent where more instances are unheard; most partitions of the
/// users' days end within 7 s.
const PARTITION_PATIENCE: Duration = Duration::from_secs(7);

/// Age of an answer up to which an endpoint counts as reached.
const REACHED_AGE: Duration = Duration::from_millis(300);

/// Time for which an instance leaves statements at a former primary to end before it consents.
const LEAVE_PATIENCE: Duration = Duration::from_millis(450);

/// Waits until no statement relies on the primary of a service under an older record, and tells
/// whether that is so.
pub async fn left(instance: &Rc<Instance>, service: &str, revision: u64) -> bool {
    let until = instance.now() + LEAVE_PATIENCE;
    loop {
        let known = instance.view.borrow().record_revision(service);
        if known >= revision && instance.primary_use_count(service) == 0 {
            return true;
        }
        if instance.now() >= until {
            return false;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// Tells whether this instance gets answers of an endpoint, and asks it if that is not known.
pub async fn reach(instance: &Rc<Instance>, id: &str) -> Reach {
    let endpoint = instance.view.borrow().endpoint(id).cloned();
    let Some(endpoint) = endpoint else {
        return Reach::Silent;
    };
    let endpoint_pool = instance.pool.for_endpoint(&endpoint);
    let detector = endpoint_pool.failure_detector();
    let is_recent = detector
        .time_since_answer(instance.now())
        .is_some_and(|silence| silence <= REACHED_AGE);
    if is_recent && !detector.is_failing() {
        return Reach::Answers;
    }
    match status(instance, &endpoint).await {
        Some(_) => Reach::Answers,
        None => Reach::Silent,
    }
}

/// Asks a member for its status.
pub(super) async fn status(instance: &Rc<Instance>, endpoint: &Rc<Endpoint>) -> Option<Status> {
    let request = Request::internal(RequestKind::Status);
    ask(instance, endpoint, &request).await
}

/// Sends a question of the instance itself to a member, and reads the status row of its answer.
pub(super) async fn ask(
    instance: &Rc<Instance>,
    endpoint: &Rc<Endpoint>,
    request: &Request<'_>,
) -> Option<Status> {
    let endpoint_pool = instance.pool.for_endpoint(endpoint);
    let workspace = instance.catalog()?.workspaces.keys().next().cloned()?;
    metrics::counter!("filbertbay_status_questions_total").increment(1);
    let asking = async {
        let mut connection = instance
            .pool
            .acquire_any(&endpoint_pool, &workspace)
            .await
            .ok()?;
        let reply = connection.run(request).await.ok()?;
        endpoint_pool.record_answer(instance.now());
        let status = instance.drivers.connector.parse_status(&reply);
        connection.release();
        status
    };
    let answer = tokio::time::timeout(STATUS_TIMEOUT, asking).await;
    if answer.is_err() {
        endpoint_pool.record_failure(instance.now());
    }
    answer.ok().flatten()
}

impl Driver {
    /// Tells whether no instance gets answers of the primary of a service.
    pub(super) async fn is_silent_for_all(&self, service: &str) -> bool {
        let Some(id) = self.instance.view.borrow().primary(service) else {
            return true;
        };
        let own = Arc::clone(&self.instance.settings().name);
        let peers = self.instance.view.borrow().peers().clone();
        let others = peers.iter().filter(|(name, _)| **name != own);
        let asked =
            others.map(|(_, peer)| self.instance.peers.reach(peer.address, Arc::clone(&id)));
        let answers = join_all(asked).await;
        let reached = answers
            .iter()
            .filter(|answer| **answer == Ok(Reach::Answers))
            .count();
        let silent = answers
            .iter()
            .filter(|answer| **answer == Ok(Reach::Silent))
            .count();
        let own_reach = reach(&self.instance, &id).await;
        info!(self.instance.log, "primary suspected"; "service" => service,
            "endpoint" => id.as_ref(), "reached_by" => reached, "silent_for" => silent,
            "unheard" => answers.len() - reached - silent, "own" => ?own_reach);
        let unheard = answers.len() - reached - silent;
        // Where many instances are not heard, the primary may serve them behind a partition.
        let few_unheard = unheard * UNHEARD_DIVISOR <= answers.len();
        let since = self.wrong_since.borrow().get(service).copied();
        let is_long = since.is_some_and(|since| self.instance.now() >= since + PARTITION_PATIENCE);
        reached == 0 && own_reach == Reach::Silent && (few_unheard || is_long)
    }
}
