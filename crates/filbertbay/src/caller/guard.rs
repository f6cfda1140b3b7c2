//! Monitor that decides whether a session may continue.
//!
//! A session ends when its key is withdrawn, its route is no longer allowed, its data centre is
//! taken out, the instance drains, or the instance is isolated and can't check the session's key.
//! An idle session ends at once; an open transaction or a running statement may finish until a
//! deadline.

use std::sync::Arc;
use std::time::{Duration, Instant};

use filbertbay_state::document::Availability;
use filbertbay_state::id;
use filbertbay_state::snapshot::Snapshot;
use tokio::sync::watch;

use super::answer::{Refusal, SqlState};
use super::policy::Policy;

/// Time that an open transaction or a running statement has once the session must end.
pub const TERMINATION_GRACE: Duration = Duration::from_secs(2);

/// Identity of a caller, as authenticated at its startup.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Identity {
    /// Name of the workspace.
    pub workspace: Arc<str>,
    /// Id of the key that the caller presented; `None` on a route that allows anonymous callers.
    pub key: Option<Arc<str>>,
    /// Name of the route that the caller requested.
    pub route: Arc<str>,
}

/// Ids of a caller's workspace and route in one snapshot.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ConfigurationIds {
    /// Id of the workspace.
    pub workspace: id::Workspace,
    /// Id of the route.
    pub route: id::Route,
}

/// Phase of the instance.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Phase {
    /// Accepts new statements.
    Serving,
    /// Accepts no new transactions; open ones may finish until the given time.
    Draining(Instant),
}

/// Reason and deadline of a session's termination.
#[derive(Clone, Debug)]
pub struct Termination {
    /// Error that the caller receives.
    pub refusal: Refusal,
    /// Time at which running statements are cancelled.
    pub deadline: Instant,
}

/// Tracks whether one session may continue.
#[derive(Debug)]
pub struct SessionMonitor {
    policy: Arc<dyn Policy>,
    data_centre: Arc<str>,
    identity: Option<Identity>,
    snapshots: watch::Receiver<Snapshot>,
    phase: watch::Receiver<Phase>,
    isolated: watch::Receiver<bool>,
    snapshot: Snapshot,
    ids: Option<ConfigurationIds>,
    termination: Option<Termination>,
}

impl SessionMonitor {
    /// Creates the monitor of a session; a peer's session has no identity.
    pub fn new(
        policy: Arc<dyn Policy>,
        data_centre: Arc<str>,
        identity: Option<Identity>,
        phase: watch::Receiver<Phase>,
        now: Instant,
    ) -> Self {
        let snapshots = policy.subscribe_snapshot();
        let isolated = policy.subscribe_isolated();
        let snapshot = policy.snapshot();
        let ids = None;
        let termination = None;
        let mut monitor = Self {
            policy,
            data_centre,
            identity,
            snapshots,
            phase,
            isolated,
            snapshot,
            ids,
            termination,
        };
        monitor.evaluate(now);
        monitor
    }

    /// Returns the identity of the caller, or `None` for a peer.
    pub fn identity(&self) -> Option<&Identity> {
        self.identity.as_ref()
    }

    /// Returns the configuration that the session follows, with the ids of its workspace and route.
    /// Returns `None` for a peer and for a caller whose key or route was withdrawn.
    pub fn configuration(&self) -> Option<(&Snapshot, ConfigurationIds)> {
        self.ids.map(|ids| (&self.snapshot, ids))
    }

    /// Returns the reason and deadline of the session's termination, if it must end.
    pub fn termination(&self) -> Option<&Termination> {
        self.termination.as_ref()
    }

    /// Reevaluates the session if the configuration, the phase or the isolation has changed.
    pub fn refresh(&mut self, now: Instant) {
        let snapshot_changed = self.snapshots.has_changed().unwrap_or(false);
        let phase_changed = self.phase.has_changed().unwrap_or(false);
        if snapshot_changed || phase_changed || self.isolated.has_changed().unwrap_or(false) {
            self.evaluate(now);
        }
    }

    /// Waits until the configuration, the phase or the isolation has changed.
    pub async fn wait_for_change(&mut self) {
        tokio::select! {
            result = self.snapshots.changed() => if result.is_err() { std::future::pending().await },
            result = self.phase.changed() => if result.is_err() { std::future::pending().await },
            result = self.isolated.changed() => if result.is_err() { std::future::pending().await },
        }
        // Marks the change that was consumed here as unseen, so that the next `refresh`
        // reevaluates.
        self.snapshots.mark_changed();
    }

    fn evaluate(&mut self, now: Instant) {
        self.snapshots.mark_unchanged();
        let phase = *self.phase.borrow_and_update();
        let is_isolated = *self.isolated.borrow_and_update();
        self.snapshot = self.policy.snapshot();
        let identity = self.identity.as_ref();
        self.ids = identity.and_then(|identity| resolve(&self.snapshot, identity));
        // A peer checks its callers' keys itself, so its sessions don't depend on this isolation.
        let refusal = self.refusal(phase, is_isolated && identity.is_some());
        let deadline = match phase {
            Phase::Draining(deadline) if self.is_authorized() => deadline,
            _ => now + TERMINATION_GRACE,
        };
        self.termination = match (refusal, self.termination.take()) {
            (None, _) => None,
            // Later changes never postpone the deadline.
            (Some(refusal), previous) => {
                let deadline =
                    previous.map_or(deadline, |previous| previous.deadline.min(deadline));
                Some(Termination { refusal, deadline })
            }
        };
    }

    /// Returns whether the session's key and route are still valid; always true for a peer.
    fn is_authorized(&self) -> bool {
        self.identity.is_none() || self.ids.is_some()
    }

    fn refusal(&self, phase: Phase, is_isolated: bool) -> Option<Refusal> {
        let data_centre = self.snapshot.data_centre(&self.data_centre);
        let is_out =
            data_centre.is_some_and(|id| self.snapshot[id].availability == Availability::Out);
        if !self.is_authorized() {
            Some(Refusal::new(
                SqlState::KeyWithdrawn,
                "the key or the route was withdrawn",
            ))
        } else if is_out && self.identity.is_some() {
            Some(Refusal::new(
                SqlState::ShuttingDown,
                "the data centre is taken out; what was not answered was not run; connect again",
            ))
        } else if is_isolated
            && self
                .identity
                .as_ref()
                .is_some_and(|identity| identity.key.is_some())
        {
            Some(Refusal::new(
                SqlState::ShuttingDown,
                "the instance is cut off and can't check the key; what was not answered was not run; \
                 connect elsewhere",
            ))
        } else if phase != Phase::Serving {
            Some(Refusal::new(
                SqlState::ShuttingDown,
                "the instance is shutting down; what was not answered was not run; connect again",
            ))
        } else {
            None
        }
    }
}

/// Returns the ids of an identity in a snapshot, if its key is granted and its route allowed there.
fn resolve(snapshot: &Snapshot, identity: &Identity) -> Option<ConfigurationIds> {
    let workspace = snapshot.workspace(&identity.workspace)?;
    let route = snapshot.route(&identity.route)?;
    let ids = ConfigurationIds { workspace, route };
    match &identity.key {
        Some(key) => {
            let is_granted = snapshot.is_granted(workspace, key);
            (is_granted && snapshot.allows(workspace, route)).then_some(ids)
        }
        None => allows_anonymous(snapshot, route).then_some(ids),
    }
}

/// Returns whether a route accepts callers without a key.
pub fn allows_anonymous(snapshot: &Snapshot, route: id::Route) -> bool {
    snapshot[route].settings.access == filbertbay_state::document::Access::Open
}
