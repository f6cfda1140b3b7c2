//! Whether a session may go on.
//!
//! A session ends when its key is withdrawn, its route is taken away, its data centre is taken out
//! or the instance drains. Between statements it ends at once; an open transaction has until a
//! limit to finish.

use std::sync::Arc;
use std::time::{Duration, Instant};

use filbertbay_state::document::Availability;
use filbertbay_state::id;
use filbertbay_state::snapshot::Snapshot;
use tokio::sync::watch;

use super::answer::{Refusal, State};
use super::policy::Policy;

/// Time that an open transaction or a running statement has after the session's right has ended.
pub const GRACE: Duration = Duration::from_secs(2);

/// Who the caller is, as checked at its startup.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Identity {
    /// Workspace that the work runs for.
    pub workspace: Arc<str>,
    /// Id of the key that the caller presented; none on a route open to all.
    pub key: Option<Arc<str>>,
    /// Route that the caller named.
    pub route: Arc<str>,
}

/// Ids of an identity in one snapshot.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Place {
    /// Workspace.
    pub workspace: id::Workspace,
    /// Route.
    pub route: id::Route,
}

/// Phase of the instance.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Phase {
    /// Takes new work.
    Serving,
    /// Finishes what runs until the given time.
    Draining(Instant),
}

/// End of a session's right to go on.
#[derive(Clone, Debug)]
pub struct End {
    /// What the caller is told.
    pub refusal: Refusal,
    /// When running work is cut off.
    pub limit: Instant,
}

/// Watches over one session.
#[derive(Debug)]
pub struct Guard {
    policy: Arc<dyn Policy>,
    data_centre: Arc<str>,
    identity: Option<Identity>,
    changes: watch::Receiver<Snapshot>,
    phase: watch::Receiver<Phase>,
    cut_off: watch::Receiver<bool>,
    snapshot: Snapshot,
    place: Option<Place>,
    end: Option<End>,
}

impl Guard {
    /// Starts to watch over a session; one of another instance has no identity.
    pub fn new(
        policy: Arc<dyn Policy>,
        data_centre: Arc<str>,
        identity: Option<Identity>,
        phase: watch::Receiver<Phase>,
        now: Instant,
    ) -> Self {
        let changes = policy.subscribe_snapshot();
        let cut_off = policy.subscribe_isolated();
        let snapshot = policy.snapshot();
        let place = None;
        let end = None;
        let mut guard = Self {
            policy,
            data_centre,
            identity,
            changes,
            phase,
            cut_off,
            snapshot,
            place,
            end,
        };
        guard.evaluate(now);
        guard
    }

    /// Returns the identity of the caller; none for another instance.
    pub fn identity(&self) -> Option<&Identity> {
        self.identity.as_ref()
    }

    /// Returns the configuration that the session follows, and its place in it.
    pub fn place(&self) -> Option<(&Snapshot, Place)> {
        self.place.map(|place| (&self.snapshot, place))
    }

    /// Returns why and when the session must end, if it must.
    pub fn end(&self) -> Option<&End> {
        self.end.as_ref()
    }

    /// Follows the newest configuration and phase.
    pub fn refresh(&mut self, now: Instant) {
        let is_new = self.changes.has_changed().unwrap_or(false);
        let is_moved = self.phase.has_changed().unwrap_or(false);
        if is_new || is_moved || self.cut_off.has_changed().unwrap_or(false) {
            self.evaluate(now);
        }
    }

    /// Waits until the configuration or the phase has changed.
    pub async fn changed(&mut self) {
        tokio::select! {
            result = self.changes.changed() => if result.is_err() { std::future::pending().await },
            result = self.phase.changed() => if result.is_err() { std::future::pending().await },
            result = self.cut_off.changed() => if result.is_err() { std::future::pending().await },
        }
        // The next refresh must see the change that this call has consumed.
        self.changes.mark_changed();
    }

    fn evaluate(&mut self, now: Instant) {
        self.changes.mark_unchanged();
        let phase = *self.phase.borrow_and_update();
        let is_cut_off = *self.cut_off.borrow_and_update();
        self.snapshot = self.policy.snapshot();
        let identity = self.identity.as_ref();
        self.place = identity.and_then(|who| locate(&self.snapshot, who));
        // Another instance decides for itself whether it is cut off.
        let refusal = self.refusal(phase, is_cut_off && identity.is_some());
        let limit = match phase {
            Phase::Draining(limit) if self.has_right() => limit,
            _ => now + GRACE,
        };
        self.end = match (refusal, self.end.take()) {
            (None, _) => None,
            // A limit that runs already is never pushed out.
            (Some(refusal), before) => {
                let limit = before.map_or(limit, |before| before.limit.min(limit));
                Some(End { refusal, limit })
            }
        };
    }

    /// Returns whether the caller may go on; another instance always may.
    fn has_right(&self) -> bool {
        self.identity.is_none() || self.place.is_some()
    }

    fn refusal(&self, phase: Phase, is_cut_off: bool) -> Option<Refusal> {
        let centre = self.snapshot.data_centre(&self.data_centre);
        let is_out = centre.is_some_and(|id| self.snapshot[id].availability == Availability::Out);
        if !self.has_right() {
            Some(Refusal::new(
                State::Withdrawn,
                "the key or the route was withdrawn",
            ))
        } else if is_out && self.identity.is_some() {
            Some(Refusal::new(
                State::Leaving,
                "the data centre is taken out; what was not answered was not run; connect again",
            ))
        } else if is_cut_off && self.identity.as_ref().is_some_and(|who| who.key.is_some()) {
            Some(Refusal::new(
                State::Leaving,
                "the instance is cut off and can't check the key; what was not answered was not run; \
                 connect elsewhere",
            ))
        } else if phase != Phase::Serving {
            Some(Refusal::new(
                State::Leaving,
                "the instance is shutting down; what was not answered was not run; connect again",
            ))
        } else {
            None
        }
    }
}

/// Finds an identity in a snapshot, if its key is granted and its route allowed there.
fn locate(snapshot: &Snapshot, identity: &Identity) -> Option<Place> {
    let workspace = snapshot.workspace(&identity.workspace)?;
    let route = snapshot.route(&identity.route)?;
    let place = Place { workspace, route };
    match &identity.key {
        Some(key) => {
            let is_granted = snapshot.is_granted(workspace, key);
            (is_granted && snapshot.allows(workspace, route)).then_some(place)
        }
        None => is_open(snapshot, route).then_some(place),
    }
}

/// Tells whether a route takes callers without a key.
pub fn is_open(snapshot: &Snapshot, route: id::Route) -> bool {
    snapshot[route].settings.access == filbertbay_state::document::Access::Open
}
