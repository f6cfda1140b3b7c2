//! Orders a promotion and waits until it is in effect.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use filbertbay_coordination::succession::promotion::Baseline;
use filbertbay_state::position::Term;
use filbertbay_state::status::Role;
use slog::{info, warn};

use super::Coordinator;
use super::evidence::status;
use crate::endpoint::Endpoint;
use crate::instance::Instance;
use crate::lock::Held;
use crate::store::{ErrorKind, Promotion};

/// Longest wait for a promoted member to become primary.
const PROMOTION_TIMEOUT: Duration = Duration::from_secs(3);

/// Longest wait for a promoted member to report its role before its status is queried.
const ROLE_REPORT_TIMEOUT: Duration = Duration::from_millis(900);

/// Interval between two status queries to a promoted member.
const QUERY_INTERVAL: Duration = Duration::from_millis(150);

/// Why an order did not lead to a known primary.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum OrderError {
    /// The order was not sent, or was rejected; it will have no effect.
    Ineffective(&'static str),
    /// The order may take effect later.
    Pending(&'static str),
}

impl Coordinator {
    /// Orders the promotion, waits until the member proves that it is primary, and returns its term.
    pub(super) async fn promote(
        &self,
        service: &str,
        next: &Rc<Endpoint>,
        baseline: Baseline,
        lock: Held,
    ) -> Result<Term, OrderError> {
        // Another change of this instance may have acquired the lock again, under a higher token.
        let confirmed = self.promotion_lock.confirm(&self.instance).await;
        if confirmed.is_none_or(|held| held.fence != lock.fence) {
            return Err(OrderError::Ineffective(
                "the promotion lock was lost before the promotion",
            ));
        }
        let holder = Arc::clone(&self.instance.settings().name);
        let failover = &self.instance.drivers.failover;
        match failover
            .promote(service, &next.id, &holder, lock.fence)
            .await
        {
            Ok(Promotion::Accepted) => self
                .wait_for_effect(next, baseline)
                .await
                .map_err(OrderError::Pending),
            Ok(Promotion::Absent) => Err(OrderError::Ineffective("the successor is not running")),
            Err(error) => {
                warn!(self.instance.log, "promotion not confirmed"; "error" => %error);
                let problem = "the platform did not confirm the promotion";
                Err(match error.kind() {
                    ErrorKind::Refused => OrderError::Ineffective(problem),
                    ErrorKind::Unanswered | ErrorKind::Ended => OrderError::Pending(problem),
                })
            }
        }
    }

    /// Waits until the status of the successor proves that the order is in effect. The role that it
    /// reports through the store may be old, so it only determines when to query the status.
    async fn wait_for_effect(
        &self,
        next: &Rc<Endpoint>,
        baseline: Baseline,
    ) -> Result<Term, &'static str> {
        let accepted_at = self.instance.now();
        let deadline = accepted_at + PROMOTION_TIMEOUT;
        let mut changed = self.instance.view_changed.subscribe();
        let mut is_reported = reports_primary(&self.instance, &next.id);
        let mut query_at = if is_reported {
            accepted_at + QUERY_INTERVAL
        } else {
            accepted_at + ROLE_REPORT_TIMEOUT
        };
        loop {
            if !self.renew_lock().await {
                return Err("the promotion lock was lost before the successor became primary");
            }
            let was_reported = is_reported;
            is_reported = reports_primary(&self.instance, &next.id);
            let now = self.instance.now();
            if now >= deadline {
                return Err("the successor did not become primary in time");
            }
            if now < query_at && (was_reported || !is_reported) {
                let wait = query_at.saturating_duration_since(now);
                // A timeout needs no handling: the status is queried then.
                let _ = tokio::time::timeout(wait, changed.changed()).await;
                continue;
            }
            let answer = status(&self.instance, next).await;
            let now = self.instance.now();
            if let Some(status) = answer.status()
                && baseline.is_effective(accepted_at, now, status.role, status.term)
            {
                info!(self.instance.log, "successor leads"; "endpoint" => next.id.as_ref(),
                    "term" => status.term.0, "baseline" => ?baseline);
                return Ok(status.term);
            }
            query_at = now + QUERY_INTERVAL;
        }
    }
}

/// Returns whether the entry of a member in the store states that it is primary.
fn reports_primary(instance: &Instance, id: &str) -> bool {
    let view = instance.view.borrow();
    view.endpoint(id)
        .is_some_and(|endpoint| endpoint.role == Role::Primary)
}
