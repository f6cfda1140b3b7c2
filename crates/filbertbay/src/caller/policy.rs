//! Interface between caller sessions and the control thread.

use std::fmt::Debug;
use std::sync::Arc;
use std::time::Instant;

use async_trait::async_trait;
use filbertbay_coordination::authority::confirm::Outcome;
use filbertbay_coordination::view::Group;
use filbertbay_state::document::{Durability, Rate};
use filbertbay_state::position::Term;
use filbertbay_state::snapshot::Snapshot;
use tokio::sync::watch;

/// Executed statements whose result is held until the primary is confirmed.
#[derive(Clone, Debug)]
pub struct ConfirmationRequest {
    /// Name of the group that ran the statements.
    pub group: Arc<str>,
    /// Index of the member that ran the statements.
    pub member: usize,
    /// Term in which the member was believed to be primary when the statements were sent.
    pub term: Term,
    /// Members that must have the writes before they are acknowledged.
    pub durability: Durability,
    /// Time after which the outcome is unknown.
    pub deadline: Instant,
}

/// Statements to be admitted by the rate limiter.
#[derive(Clone, Debug)]
pub struct AdmissionRequest {
    /// Name of the workspace.
    pub workspace: Arc<str>,
    /// Rate of the workspace over all instances.
    pub rate: Rate,
    /// Number of statements.
    pub cost: u64,
    /// Time after which the statements are refused.
    pub deadline: Instant,
}

/// Decisions of the control thread that sessions depend on.
#[async_trait]
pub trait Policy: Debug + Send + Sync {
    /// Returns the configuration in force.
    fn snapshot(&self) -> Snapshot;

    /// Returns the current view of a group, or `None` if the group is not known.
    fn group(&self, name: &str) -> Option<Arc<Group>>;

    /// Returns a receiver that changes with each new configuration.
    fn subscribe_snapshot(&self) -> watch::Receiver<Snapshot>;

    /// Returns a receiver of the isolation: true while this instance may have missed the withdrawal
    /// of a key.
    fn subscribe_isolated(&self) -> watch::Receiver<bool>;

    /// Requests a new view of a group, for statements that wait for a usable member.
    async fn refresh(&self, group: &str);

    /// Waits until the result may be acknowledged or its outcome is unknown.
    async fn confirm(&self, finished: ConfirmationRequest) -> Outcome;

    /// Waits for admission, and returns whether the statements are within the workspace's rate.
    async fn admit(&self, request: AdmissionRequest) -> bool;
}
