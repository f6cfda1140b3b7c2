//! Lease of a proposal, which keeps proposers from colliding.

use std::sync::Arc;
use std::time::Duration;

use filbertbay_coordination::authority::failover;
use filbertbay_protocol::platform::LeaseId;
use xtra::WeakAddress;

use super::{Group, Leased, Parts};

/// Longest wait for the platform's answer about a lease.
const LEASE_TIMEOUT: Duration = Duration::from_millis(500);

/// Time after which the platform gives up a lease that its holder did not give back.
const LEASE_TTL: Duration = Duration::from_secs(10);

/// Asks the platform for the group's lease and tells the actor what came of it.
pub(super) async fn take(parts: Parts, group: Arc<str>, address: WeakAddress<Group>) {
    let acquired = tokio::time::timeout(LEASE_TIMEOUT, acquire(&parts, &group)).await;
    let (answer, lease) = acquired.unwrap_or((failover::LeaseResult::NoAnswer, None));
    if let Err(_gone) = address.send(Leased(answer, lease.clone())).await
        && let Some(lease) = lease
    {
        let _ = parts.store.close_lease(&lease).await;
    }
}

async fn acquire(parts: &Parts, group: &str) -> (failover::LeaseResult, Option<LeaseId>) {
    let store = &parts.store;
    let key = format!("filbertbay/propose/{group}");
    let own = &parts.published.own().name;
    let Ok(lease) = store.open_lease(&key, LEASE_TTL).await else {
        return (failover::LeaseResult::NoAnswer, None);
    };
    match store.acquire(&key, own.as_bytes().to_vec(), &lease).await {
        Ok(true) => (failover::LeaseResult::Granted, Some(lease)),
        Ok(false) => {
            let _ = store.close_lease(&lease).await;
            (failover::LeaseResult::HeldByOther, None)
        }
        // The lease may have been taken; it is given back with the proposal.
        Err(_) => (failover::LeaseResult::NoAnswer, Some(lease)),
    }
}
