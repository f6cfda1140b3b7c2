//! Hold on promotions: at most one instance orders them at a time.

use std::sync::Arc;
use std::time::{Duration, Instant};

use slog::info;

use super::{Coordinator, encode};
use crate::store::{ConditionalWrite, Error, ErrorKind, Lease, WriteOutcome};
use crate::view::{PROMOTION_LOCK_KEY, PromotionLockHolder};

/// Time to live of the hold. The holder keeps it that long after its last change, so that holders
/// do not take turns.
const LOCK_TTL: Duration = Duration::from_secs(3);

/// Time between two renewals of the hold during a change.
const LOCK_RENEWAL_INTERVAL: Duration = Duration::from_millis(900);

/// Hold on promotions.
#[derive(Clone, Copy, Debug)]
pub(super) struct PromotionLock {
    pub(super) fence: u64,
    lease: Lease,
    renewed_at: Instant,
}

impl Coordinator {
    /// Takes the hold on promotions, or keeps it; none while another instance has it.
    pub(super) async fn acquire_lock(&self) -> Result<Option<PromotionLock>, Error> {
        let mut slot = self.promotion_lock.lock().await;
        let store = &self.instance.drivers.store;
        if let Some(lock) = slot.as_mut() {
            let sent_at = self.instance.now();
            match store.renew(lock.lease).await {
                Ok(()) => {
                    lock.renewed_at = sent_at;
                    return Ok(Some(*lock));
                }
                Err(error) => {
                    info!(self.instance.log, "hold on promotions lost"; "error" => %error);
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
                };
                *slot = Some(lock);
                Ok(Some(lock))
            }
            WriteOutcome::Conflict => Ok(None),
        }
    }

    /// Renews the hold if it is due, and tells whether it is certain to last a moment longer.
    pub(super) async fn renew_lock(&self) -> bool {
        let mut slot = self.promotion_lock.lock().await;
        let Some(lock) = slot.as_mut() else {
            return false;
        };
        let now = self.instance.now();
        if now < lock.renewed_at + LOCK_RENEWAL_INTERVAL {
            return true;
        }
        match self.instance.drivers.store.renew(lock.lease).await {
            Ok(()) => {
                lock.renewed_at = now;
                true
            }
            Err(error) if error.kind() == ErrorKind::Ended => {
                info!(self.instance.log, "hold on promotions ended"; "error" => %error);
                *slot = None;
                false
            }
            // The hold lasts for its time to live after the last renewal.
            Err(_) => now + LOCK_RENEWAL_INTERVAL < lock.renewed_at + LOCK_TTL,
        }
    }
}
