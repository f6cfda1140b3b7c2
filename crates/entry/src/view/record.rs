//! Record of a primary as an instance knows it.

use std::sync::Arc;
use std::time::Instant;

use filbertbay_coordination::succession::PrimaryRecord;
use filbertbay_coordination::succession::promotion::ORDER_LIFETIME;

/// Record of a primary, with the revision at which it was written.
#[derive(Clone, Debug)]
pub struct VersionedRecord {
    /// Newest known record, which a store that returned from a copy may lack.
    pub record: PrimaryRecord,
    /// Revision at which the record was first known; kept if it is written again unchanged.
    pub revision: u64,
    /// Time at which this instance first knew it.
    pub known_since: Instant,
}

impl VersionedRecord {
    /// Returns the member whose promotion was ordered and may still take effect.
    pub fn pending_order(&self, now: Instant) -> Option<&Arc<str>> {
        let is_pending = now < self.known_since + ORDER_LIFETIME;
        self.record.pending_order.as_ref().filter(|_| is_pending)
    }
}
