//! Hold on promotions: at most one instance orders them at a time.

use std::sync::Arc;
use std::time::{Duration, Instant};

use slog::info;

use super::{Driver, encode};
use crate::store::{Change, Error, ErrorKind, Lease, Swap};
use crate::view::{HOLDER_KEY, Holder};

/// Time to live of the hold. The holder keeps it that long after its last change, so that holders
/// do not take turns.
const HOLD_TTL: Duration = Duration::from_secs(3);

/// Time between two renewals of the hold during a change.
const HOLD_RENEWAL: Duration = Duration::from_millis(900);

/// Hold on promotions.
#[derive(Clone, Copy, Debug)]
pub(super) struct Hold {
    pub(super) fence: u64,
    lease: Lease,
    renewed: Instant,
}

impl Driver {
    /// Takes the hold on promotions, or keeps it; none while another instance has it.
    pub(super) async fn take_hold(&self) -> Result<Option<Hold>, Error> {
        let mut slot = self.hold.lock().await;
        let store = &self.instance.drivers.store;
        if let Some(hold) = slot.as_mut() {
            let asked = self.instance.now();
            match store.renew(hold.lease).await {
                Ok(()) => {
                    hold.renewed = asked;
                    return Ok(Some(*hold));
                }
                Err(error) => {
                    info!(self.instance.log, "hold on promotions lost"; "error" => %error);
                    *slot = None;
                }
            }
        }
        if self.instance.view.borrow().holder().is_some() {
            return Ok(None);
        }
        let renewed = self.instance.now();
        let lease = store.open_lease(HOLD_TTL).await?;
        let holder = Holder {
            instance: Arc::clone(&self.instance.settings().name),
        };
        let change = Change {
            key: HOLDER_KEY,
            expected: Some(0),
            value: Some(encode(&holder)?),
            lease: Some(lease),
        };
        match store.swap(change).await? {
            Swap::Done(fence) => {
                info!(self.instance.log, "hold on promotions taken"; "fence" => fence);
                let hold = Hold {
                    fence,
                    lease,
                    renewed,
                };
                *slot = Some(hold);
                Ok(Some(hold))
            }
            Swap::Conflict => Ok(None),
        }
    }

    /// Renews the hold if it is due, and tells whether it is certain to last a moment longer.
    pub(super) async fn keep_hold(&self) -> bool {
        let mut slot = self.hold.lock().await;
        let Some(hold) = slot.as_mut() else {
            return false;
        };
        let now = self.instance.now();
        if now < hold.renewed + HOLD_RENEWAL {
            return true;
        }
        match self.instance.drivers.store.renew(hold.lease).await {
            Ok(()) => {
                hold.renewed = now;
                true
            }
            Err(error) if error.kind() == ErrorKind::Ended => {
                info!(self.instance.log, "hold on promotions ended"; "error" => %error);
                *slot = None;
                false
            }
            // The hold lasts for its time to live after the last renewal.
            Err(_) => now + HOLD_RENEWAL < hold.renewed + HOLD_TTL,
        }
    }
}
