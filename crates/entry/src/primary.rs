//! Use of the primaries of services by statements.
//!
//! A statement relies on a primary only as long as its instance holds the primary lease and the record
//! that names the primary stays. Both are checked right before each request to the endpoint, and once
//! more before the success of a write or commit is reported: once the lease has ended, others may have
//! promoted another member without asking this instance.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Instant;

use filbertbay_coordination::succession::PrimaryLease;
use filbertbay_state::position::Position;

use crate::caller::Code;
use crate::instance::Instance;

/// Primary of a service, with the revision of the stored record that names it.
#[derive(Clone, Debug)]
pub struct PrimaryRef {
    /// Service of the primary.
    pub service: Arc<str>,
    /// Endpoint that is the primary.
    pub endpoint: Arc<str>,
    /// Revision of the record; zero if there is none.
    pub revision: u64,
}

impl PrimaryRef {
    /// Records the state of the endpoint from an answer to a request that was sent at `sent_at`, if the same
    /// record still names it primary: its position, or that it is a replica.
    pub fn record_answer(
        &self,
        instance: &Instance,
        sent_at: Instant,
        position: Option<Position>,
        refusal: Option<Code>,
    ) {
        if !self.is_current(instance) {
            return;
        }
        let term = position.map(|position| position.term);
        let is_read_only = refusal == Some(Code::ReadOnly);
        let leaders = &instance.leaders;
        let (is_suspect, is_new) = leaders.record_answer(instance, self, term, is_read_only);
        if is_new {
            instance.primary_suspected.notify_one();
        }
        // The position of a replica proves nothing about the age of its data.
        if let Some(position) = position.filter(|_| !is_suspect) {
            instance.record_position(
                &self.service,
                &self.endpoint,
                self.revision,
                sent_at,
                position,
            );
        }
    }

    /// Returns whether the instance may use this primary: its primary lease is valid and the same
    /// record still names it.
    pub fn is_current(&self, instance: &Instance) -> bool {
        let primary = instance.primary(&self.service);
        let view = instance.view.borrow();
        primary.as_ref() == Some(&self.endpoint)
            && view.record_revision(&self.service) == self.revision
    }
}

/// Numbers of statements in flight that rely on the primary of each service.
#[derive(Debug, Default)]
pub struct Uses {
    counts: RefCell<BTreeMap<Arc<str>, Rc<Cell<usize>>>>,
}

impl Uses {
    /// Returns the number of statements in flight that rely on the primary of a service.
    pub fn count(&self, service: &str) -> usize {
        self.counts
            .borrow()
            .get(service)
            .map_or(0, |count| count.get())
    }
}

/// Use of a primary by one statement; dropping it ends the use.
#[derive(Debug)]
pub struct PrimaryUse {
    primary: PrimaryRef,
    /// Lease of the instance when the use began.
    lease: PrimaryLease,
    count: Rc<Cell<usize>>,
}

impl PrimaryUse {
    /// Counts a statement that relies on a primary.
    pub fn begin(instance: &Instance, primary: &PrimaryRef) -> Self {
        let mut counts = instance.primary_uses.counts.borrow_mut();
        let count = counts.entry(Arc::clone(&primary.service)).or_default();
        count.set(count.get() + 1);
        Self {
            primary: primary.clone(),
            lease: instance.view.borrow().primary_lease,
            count: Rc::clone(count),
        }
    }

    /// Returns whether no other member can have been promoted since the use began.
    ///
    /// A change of primary waits for the end of this use as long as the lease of its beginning is
    /// valid. If the lease was renewed, the same record must still be in force.
    pub fn is_covered(&self, instance: &Instance) -> bool {
        self.lease.is_valid(instance.now()) || self.primary.is_current(instance)
    }
}

impl Drop for PrimaryUse {
    fn drop(&mut self) {
        self.count.set(self.count.get() - 1);
    }
}
