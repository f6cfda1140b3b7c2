//! Promotion lock: a lease in the store that lets at most one instance order promotions at a time.

use std::sync::Arc;
use std::time::{Duration, Instant};

use slog::info;

use super::{Coordinator, encode};
use crate::store::{ConditionalWrite, Error, ErrorKind, Lease, WriteOutcome};
use crate::view::{PROMOTION_LOCK_KEY, PromotionLockHolder};

/// Time to live of the lock. The holder keeps it that long after its last change of primary, so that
/// the lock does not alternate between instances.
const LOCK_TTL: Duration = Duration::from_secs(3);

/// Interval between two renewals of the lock during a change of primary.
const LOCK_RENEWAL_INTERVAL: Duration = Duration::from_millis(900);

/// Promotion lock as held by this instance. `fence` is the fencing token: the revision of the entry.
#[derive(Clone, Copy, Debug)]
pub(super) struct PromotionLock {
    pub(super) fence: u64,
    lease: Lease,
    renewed_at: Instant,
    is_renewal_due: bool,
}

impl Coordinator {
    /// Acquires or renews the promotion lock. Returns `None` while another instance holds it.
    pub(super) async fn acquire_lock(&self) -> Result<Option<PromotionLock>, Error> {
        let mut slot = self.promotion_lock.lock().await;
        let store = &self.instance.drivers.store;
        if let Some(lock) = slot.as_mut() {
            let sent_at = self.instance.now();
            match store.renew(lock.lease).await {
                Ok(()) => {
                    lock.renewed_at = sent_at;
                    lock.is_renewal_due = false;
                    return Ok(Some(*lock));
                }
                Err(error) => {
                    info!(self.instance.log, "promotion lock lost"; "error" => %error);
                    *slot = None;
                }
            }
        }
        if self
            .instance
            .view
            .borrow()
            .promotion_lock_holder()
            .is_some()
        {
            return Ok(None);
        }
        let renewed_at = self.instance.now();
        let lease = store.open_lease(LOCK_TTL).await?;
        let holder = PromotionLockHolder {
            instance: Arc::clone(&self.instance.settings().name),
        };
        let change = ConditionalWrite {
            key: PROMOTION_LOCK_KEY,
            expected: Some(0),
            value: Some(encode(&holder)?),
            lease: Some(lease),
        };
        match store.swap(change).await? {
            WriteOutcome::Done(fence) => {
                info!(self.instance.log, "hold on promotions taken"; "fence" => fence);
                let lock = PromotionLock {
                    fence,
                    lease,
                    renewed_at,
                    is_renewal_due: false,
                };
                *slot = Some(lock);
                Ok(Some(lock))
            }
            WriteOutcome::Conflict => Ok(None),
        }
    }

    /// Makes the next [`Coordinator::renew_lock`] ask the store.
    pub(super) async fn expect_renewal(&self) {
        if let Some(lock) = self.promotion_lock.lock().await.as_mut() {
            lock.is_renewal_due = true;
        }
    }

    /// Renews the lock if that is due. Returns whether it is held for some time longer for certain.
    pub(super) async fn renew_lock(&self) -> bool {
        let mut slot = self.promotion_lock.lock().await;
        let Some(lock) = slot.as_mut() else {
            return false;
        };
        let now = self.instance.now();
        if now < lock.renewed_at + LOCK_RENEWAL_INTERVAL && !lock.is_renewal_due {
            return true;
        }
        match self.instance.drivers.store.renew(lock.lease).await {
            Ok(()) => {
                lock.renewed_at = now;
                lock.is_renewal_due = false;
                true
            }
            Err(error) if error.kind() == ErrorKind::Ended => {
                info!(self.instance.log, "promotion lock expired"; "error" => %error);
                *slot = None;
                false
            }
            // The lock is held for its time to live after the last renewal.
            Err(_) => now + LOCK_RENEWAL_INTERVAL < lock.renewed_at + LOCK_TTL,
        }
    }
}
