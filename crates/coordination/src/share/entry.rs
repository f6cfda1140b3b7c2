use std::sync::Arc;
use std::time::{Duration, Instant};

use super::account::Account;

/// Shortest time before a lender that refused is asked again.
const SHORTEST_PAUSE: Duration = Duration::from_millis(20);

/// Longest time to which refusals in a row extend a pause that the lender wanted shorter.
const LONGEST_DOUBLED: Duration = Duration::from_millis(100);

/// Longest time before a lender that refused is asked again.
pub(super) const LONGEST_PAUSE: Duration = Duration::from_secs(1);

/// Account of a workspace with its open questions.
#[derive(Debug)]
pub(super) struct Entry {
    pub(super) account: Account,
    pub(super) group: usize,
    pub(super) pending: Vec<Pending>,
    pub(super) pauses: Vec<Pause>,
}

/// Question that is not answered yet.
#[derive(Clone, Debug)]
pub(super) struct Pending {
    pub(super) ask: u64,
    pub(super) peer: Arc<str>,
    pub(super) asked: Instant,
    pub(super) renews: bool,
}

/// Time during which a lender that refused is left alone.
#[derive(Clone, Debug)]
pub(super) struct Pause {
    pub(super) peer: Arc<str>,
    pub(super) until: Instant,
    pub(super) length: Duration,
}

impl Entry {
    pub(super) fn is_idle(&self) -> bool {
        self.pending.is_empty() && self.pauses.is_empty() && self.account.is_idle()
    }

    pub(super) fn may_ask(&self, now: Instant, peer: &Arc<str>) -> bool {
        let pauses = |pause: &Pause| pause.peer == *peer && pause.until > now;
        let paused = self.pauses.iter().any(pauses);
        let mut open = self.pending.iter().filter(|pending| !pending.renews);
        !paused && open.all(|pending| pending.peer != *peer)
    }

    pub(super) fn renews(&self, peer: &Arc<str>) -> bool {
        let mut open = self.pending.iter();
        open.any(|pending| pending.renews && pending.peer == *peer)
    }

    /// Closes an open question and returns it.
    pub(super) fn close(&mut self, peer: &Arc<str>, ask: u64) -> Option<Pending> {
        let matches = |pending: &Pending| pending.ask == ask && pending.peer == *peer;
        let index = self.pending.iter().position(matches)?;
        Some(self.pending.swap_remove(index))
    }

    /// Leaves a lender alone for at least the time it asked for, longer with each refusal.
    pub(super) fn leave_alone(&mut self, now: Instant, peer: &Arc<str>, asked_for: Duration) {
        let last = self.pauses.iter().find(|pause| pause.peer == *peer);
        let doubled = last.map_or(SHORTEST_PAUSE, |pause| pause.length * 2);
        let length = asked_for
            .max(doubled.min(LONGEST_DOUBLED))
            .min(LONGEST_PAUSE);
        self.pauses.retain(|pause| pause.peer != *peer);
        self.pauses.push(Pause {
            peer: Arc::clone(peer),
            until: now + length,
            length,
        });
    }

    /// Drops questions that went unanswered and pauses that are over, and returns who did not answer.
    pub(super) fn forget(&mut self, now: Instant, answer: Duration) -> Vec<Arc<str>> {
        // A pause that is over is remembered for as long as it was, so that the next one is longer.
        self.pauses.retain(|pause| pause.until + pause.length > now);
        let late = |pending: &Pending| pending.asked + answer <= now;
        let lost: Vec<Pending> = self
            .pending
            .extract_if(.., |pending| late(pending))
            .collect();
        for pending in lost.iter().filter(|pending| !pending.renews) {
            self.leave_alone(now, &pending.peer, answer);
        }
        lost.into_iter().map(|pending| pending.peer).collect()
    }
}
