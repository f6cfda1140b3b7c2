//! Exclusive lock in the store with a fencing token, such as the one on promotions and the one on usage
//! reports.
//!
//! A lock is a key under a store lease that names its holder; the revision of the entry is the fencing
//! token, so that it grows with each change of the holder. The lock counts from before the call that
//! renewed it was sent, and is judged at the moment of use, after all calls that precede this.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use slog::info;

use crate::instance::Instance;
use crate::store::{ConditionalWrite, Error, ErrorKind, Lease, WriteOutcome};
use crate::view::LockHolder;

/// Key of a lock and times of its lease.
#[derive(Clone, Copy, Debug)]
pub struct Terms {
    /// Key of the entry in the store.
    pub key: &'static str,
    /// Time to live after the last renewal.
    pub ttl: Duration,
    /// Interval between two renewals while the lock is in use.
    pub renewal_interval: Duration,
    /// Time that must be left of the lease whenever the lock is used.
    pub margin: Duration,
}

/// Lock as held by this instance. `fence` is the fencing token: the revision of the entry.
#[derive(Clone, Copy, Debug)]
pub struct Held {
    /// Fencing token.
    pub fence: u64,
    /// Time at which the lock was acquired.
    pub since: Instant,
    lease: Lease,
    renewed_at: Instant,
}

/// Exclusive lock of which at most one instance is the holder.
#[derive(Debug)]
pub struct Lock {
    terms: Terms,
    held: tokio::sync::Mutex<Option<Held>>,
}

impl Lock {
    /// Creates a lock that is not held.
    pub fn new(terms: Terms) -> Self {
        Self {
            terms,
            held: tokio::sync::Mutex::default(),
        }
    }

    /// Acquires or renews the lock. Returns `None` while another instance holds it.
    ///
    /// # Errors
    ///
    /// Returns an error if a call to the store failed.
    pub async fn acquire(&self, instance: &Instance) -> Result<Option<Held>, Error> {
        let mut slot = self.held.lock().await;
        let store = &instance.drivers.store;
        if let Some(held) = slot.as_mut() {
            let sent_at = instance.now();
            match store.renew(held.lease).await {
                Ok(()) => {
                    held.renewed_at = sent_at;
                    if self.terms.is_valid(held, instance.now()) {
                        return Ok(Some(*held));
                    }
                    return Ok(None);
                }
                Err(error) => {
                    info!(instance.log, "lock lost"; "key" => self.terms.key, "error" => %error);
                    *slot = None;
                }
            }
        }
        let is_held = instance.view.borrow().lock_holder(self.terms.key).is_some();
        if is_held {
            return Ok(None);
        }
        let renewed_at = instance.now();
        let lease = store.open_lease(self.terms.ttl).await?;
        let holder = LockHolder {
            instance: Arc::clone(&instance.settings().name),
        };
        let value = serde_json::to_vec(&holder)
            .map_err(|error| Error::new(ErrorKind::Refused, "swap", error.to_string()))?;
        let change = ConditionalWrite {
            key: self.terms.key,
            expected: Some(0),
            value: Some(Bytes::from(value)),
            lease: Some(lease),
        };
        let WriteOutcome::Done(fence) = store.swap(change).await? else {
            return Ok(None);
        };
        info!(instance.log, "lock acquired"; "key" => self.terms.key, "fence" => fence);
        let since = instance.now();
        let held = Held {
            fence,
            since,
            lease,
            renewed_at,
        };
        *slot = Some(held);
        Ok(self.terms.is_valid(&held, since).then_some(held))
    }

    /// Renews the lock if that is due. Returns it if it is held for the margin at least from now on.
    pub async fn renew(&self, instance: &Instance) -> Option<Held> {
        let mut slot = self.held.lock().await;
        let held = slot.as_mut()?;
        let sent_at = instance.now();
        if sent_at >= held.renewed_at + self.terms.renewal_interval {
            match instance.drivers.store.renew(held.lease).await {
                Ok(()) => held.renewed_at = sent_at,
                Err(error) if error.kind() == ErrorKind::Ended => {
                    info!(instance.log, "lock expired"; "key" => self.terms.key, "error" => %error);
                    *slot = None;
                    return None;
                }
                // The lock is held for its time to live after the last renewal.
                Err(error) => {
                    info!(instance.log, "lock not renewed"; "key" => self.terms.key, "error" => %error);
                }
            }
        }
        // The call may have taken longer than the lease.
        self.terms.is_valid(held, instance.now()).then_some(*held)
    }

    /// Renews the lock now, and returns it if the store confirmed that.
    ///
    /// Unlike [`Lock::renew`] this does not rely on an earlier renewal, because a store that has
    /// returned from a copy holds the lock no longer, however recent that was. To be used right before
    /// an order that carries the fencing token.
    pub async fn confirm(&self, instance: &Instance) -> Option<Held> {
        let mut slot = self.held.lock().await;
        let held = slot.as_mut()?;
        let sent_at = instance.now();
        match instance.drivers.store.renew(held.lease).await {
            Ok(()) => held.renewed_at = sent_at,
            Err(error) => {
                info!(instance.log, "lock not confirmed"; "key" => self.terms.key, "error" => %error);
                if error.kind() == ErrorKind::Ended {
                    *slot = None;
                }
                return None;
            }
        }
        // The call may have taken longer than the lease.
        self.terms.is_valid(held, instance.now()).then_some(*held)
    }

    /// Returns whether this instance has not lost the lock, although it may not be valid now.
    pub async fn is_held(&self) -> bool {
        self.held.lock().await.is_some()
    }

    /// Gives up the lock, so that another instance need not wait for the lease to expire.
    pub async fn release(&self, instance: &Instance) {
        let Some(held) = self.held.lock().await.take() else {
            return;
        };
        let change = ConditionalWrite {
            key: self.terms.key,
            expected: Some(held.fence),
            value: None,
            lease: None,
        };
        match instance.drivers.store.swap(change).await {
            Ok(_) => info!(instance.log, "lock released"; "key" => self.terms.key),
            Err(error) => {
                info!(instance.log, "lock not released"; "key" => self.terms.key, "error" => %error);
            }
        }
    }
}

impl Terms {
    fn is_valid(&self, held: &Held, now: Instant) -> bool {
        now + self.margin < held.renewed_at + self.ttl
    }
}
