//! State of one workspace in the rate limiter: its bucket, pending loan requests and backoffs.

use std::sync::Arc;
use std::time::{Duration, Instant};

use super::account::Bucket;

/// Backoff after the first refusal, unless the denial carries a longer one.
const MIN_BACKOFF: Duration = Duration::from_millis(20);

/// Upper limit of the doubled backoff. The backoff that a denial carries may exceed this.
const MAX_DOUBLED_BACKOFF: Duration = Duration::from_millis(100);

/// Upper limit of every backoff, including the backoff that a denial carries.
pub(super) const MAX_BACKOFF: Duration = Duration::from_secs(1);

/// Bucket of a workspace with its pending loan requests and backoffs.
#[derive(Debug)]
pub(super) struct WorkspaceState {
    pub(super) bucket: Bucket,
    pub(super) shard: usize,
    pub(super) pending: Vec<PendingRequest>,
    pub(super) backoffs: Vec<Backoff>,
}

/// Loan request that has been neither granted nor denied.
#[derive(Clone, Debug)]
pub(super) struct PendingRequest {
    pub(super) request_id: u64,
    pub(super) peer: Arc<str>,
    pub(super) sent_at: Instant,
    pub(super) renews: bool,
}

/// Time during which a lender that refused or did not answer gets no request for a new loan.
#[derive(Clone, Debug)]
pub(super) struct Backoff {
    pub(super) peer: Arc<str>,
    pub(super) until: Instant,
    pub(super) length: Duration,
}

impl WorkspaceState {
    /// Returns whether the state can be dropped without loss.
    pub(super) fn is_idle(&self) -> bool {
        self.pending.is_empty() && self.backoffs.is_empty() && self.bucket.is_idle()
    }

    /// Returns whether a new loan may be requested from `peer`: no backoff applies, and no request
    /// for a new loan is pending.
    pub(super) fn can_request_from(&self, now: Instant, peer: &Arc<str>) -> bool {
        let applies = |backoff: &Backoff| backoff.peer == *peer && backoff.until > now;
        let backing_off = self.backoffs.iter().any(applies);
        let mut open = self.pending.iter().filter(|pending| !pending.renews);
        !backing_off && open.all(|pending| pending.peer != *peer)
    }

    /// Returns whether a renewal by `peer` is pending.
    pub(super) fn is_renewing_with(&self, peer: &Arc<str>) -> bool {
        let mut open = self.pending.iter();
        open.any(|pending| pending.renews && pending.peer == *peer)
    }

    /// Removes a pending request and returns it, or `None` if it is not pending.
    pub(super) fn take_pending(
        &mut self,
        peer: &Arc<str>,
        request_id: u64,
    ) -> Option<PendingRequest> {
        let matches =
            |pending: &PendingRequest| pending.request_id == request_id && pending.peer == *peer;
        let index = self.pending.iter().position(matches)?;
        Some(self.pending.swap_remove(index))
    }

    /// Backs off from a lender for at least `min_length`, up to [`MAX_BACKOFF`]. Backoffs in a row
    /// double the length, up to [`MAX_DOUBLED_BACKOFF`].
    pub(super) fn back_off(&mut self, now: Instant, peer: &Arc<str>, min_length: Duration) {
        let previous = self.backoffs.iter().find(|backoff| backoff.peer == *peer);
        let doubled = previous.map_or(MIN_BACKOFF, |backoff| backoff.length * 2);
        let length = min_length
            .max(doubled.min(MAX_DOUBLED_BACKOFF))
            .min(MAX_BACKOFF);
        self.backoffs.retain(|backoff| backoff.peer != *peer);
        self.backoffs.push(Backoff {
            peer: Arc::clone(peer),
            until: now + length,
            length,
        });
    }

    /// Drops expired backoffs and the requests that got no answer within `timeout`, and returns the
    /// lenders of these requests.
    pub(super) fn expire_requests(&mut self, now: Instant, timeout: Duration) -> Vec<Arc<str>> {
        // An expired backoff is kept for as long again, so that the next backoff can double its
        // length.
        self.backoffs
            .retain(|backoff| backoff.until + backoff.length > now);
        let is_late = |pending: &PendingRequest| pending.sent_at + timeout <= now;
        let timed_out: Vec<PendingRequest> = self
            .pending
            .extract_if(.., |pending| is_late(pending))
            .collect();
        for pending in timed_out.iter().filter(|pending| !pending.renews) {
            self.back_off(now, &pending.peer, timeout);
        }
        timed_out.into_iter().map(|pending| pending.peer).collect()
    }
}
