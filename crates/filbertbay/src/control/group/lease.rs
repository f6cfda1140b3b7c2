//! Platform lease that serialises changes of a group's primary between instances.

use std::sync::Arc;
use std::time::Duration;

use filbertbay_coordination::authority::failover;
use filbertbay_protocol::platform::LeaseId;
use xtra::WeakAddress;

use super::{Dependencies, GroupActor, LeaseAnswered};

/// Timeout to open and acquire a lease.
const LEASE_TIMEOUT: Duration = Duration::from_millis(500);

/// Time after which the platform expires a lease that its holder did not release.
const LEASE_TTL: Duration = Duration::from_secs(10);

/// Requests the group's lease from the platform and sends the result to the actor.
pub(super) async fn acquire_lease(
    deps: Dependencies,
    group: Arc<str>,
    address: WeakAddress<GroupActor>,
) {
    let acquired = tokio::time::timeout(LEASE_TIMEOUT, try_acquire(&deps, &group)).await;
    let (result, lease) = acquired.unwrap_or((failover::LeaseResult::NoAnswer, None));
    if let Err(_gone) = address.send(LeaseAnswered(result, lease.clone())).await
        && let Some(lease) = lease
    {
        let _ = deps.store.close_lease(&lease).await;
    }
}

async fn try_acquire(deps: &Dependencies, group: &str) -> (failover::LeaseResult, Option<LeaseId>) {
    let store = &deps.store;
    let key = format!("filbertbay/propose/{group}");
    let own = &deps.published.local_instance().name;
    let Ok(lease) = store.open_lease(&key, LEASE_TTL).await else {
        return (failover::LeaseResult::NoAnswer, None);
    };
    match store.acquire(&key, own.as_bytes().to_vec(), &lease).await {
        Ok(true) => (failover::LeaseResult::Granted, Some(lease)),
        Ok(false) => {
            let _ = store.close_lease(&lease).await;
            (failover::LeaseResult::HeldByOther, None)
        }
        // The lease may have been acquired. It is released at the end of the change of primary.
        Err(_) => (failover::LeaseResult::NoAnswer, Some(lease)),
    }
}
