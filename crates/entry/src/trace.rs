//! Log records that show on which evidence this instance used primaries.
//!
//! Served statements leave no record, so that a log stays small. A statement that relies on an old
//! contact with the store is the exception: it may run on a primary that others have replaced, and
//! the first one of each service after a contact is logged with what this instance knew.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use slog::{info, warn};

use crate::instance::Instance;
use crate::primary::PrimaryRef;

/// What has been logged about the primary lease of this instance.
#[derive(Debug, Default)]
pub struct Trace {
    was_valid: Cell<bool>,
    /// Revision of the record and last contact of the latest logged use, by service.
    logged_uses: RefCell<BTreeMap<Arc<str>, (u64, Instant)>>,
}

impl Trace {
    /// Logs the start or the end of the primary lease of `instance` since the last call.
    pub fn record_lease(&self, instance: &Instance) {
        let lease = instance.view.borrow().primary_lease;
        let now = instance.now();
        let is_valid = lease.is_valid(now);
        if self.was_valid.replace(is_valid) == is_valid {
            return;
        }
        let contact_age_ms = lease.contact_age(now).map(as_millis);
        let confirmation_age_ms = lease.confirmation_age(now).map(as_millis);
        if is_valid {
            info!(instance.log, "primary lease valid"; "contact_age_ms" => contact_age_ms,
                "confirmation_age_ms" => confirmation_age_ms);
        } else {
            warn!(instance.log, "primary lease ended"; "listed" => lease.is_listed(),
                "contact_age_ms" => contact_age_ms, "confirmation_age_ms" => confirmation_age_ms);
        }
    }

    /// Logs that the statement `id` relies on `primary`, if the last contact with the store is old and
    /// no statement was logged for the same record since then.
    pub fn record_use(&self, instance: &Instance, primary: &PrimaryRef, id: &str) {
        let lease = instance.view.borrow().primary_lease;
        let now = instance.now();
        if !lease.is_contact_old(now) {
            return;
        }
        let Some(contact_age) = lease.contact_age(now) else {
            return;
        };
        let Some(contact) = now.checked_sub(contact_age) else {
            return;
        };
        let logged = (primary.revision, contact);
        let mut logged_uses = self.logged_uses.borrow_mut();
        if logged_uses.insert(Arc::clone(&primary.service), logged) == Some(logged) {
            return;
        }
        info!(instance.log, "primary used on an old contact"; "id" => id,
            "service" => primary.service.as_ref(), "endpoint" => primary.endpoint.as_ref(),
            "record_revision" => primary.revision, "contact_age_ms" => as_millis(contact_age),
            "confirmation_age_ms" => lease.confirmation_age(now).map(as_millis));
    }
}

fn as_millis(duration: Duration) -> u64 {
    duration.as_millis() as u64
}
