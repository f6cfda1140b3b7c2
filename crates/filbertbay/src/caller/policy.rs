//! What control decides for caller sessions.

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

/// What ran on a primary and waits for its acknowledgement.
#[derive(Clone, Debug)]
pub struct ConfirmationRequest {
    /// Group that it ran in.
    pub group: Arc<str>,
    /// Index of the member that ran it.
    pub member: usize,
    /// Term in which the member was believed to lead when the work was sent.
    pub term: Term,
    /// What must hold the work.
    pub durability: Durability,
    /// When the outcome counts as unknown.
    pub deadline: Instant,
}

/// Statements that ask for admission.
#[derive(Clone, Debug)]
pub struct AdmissionRequest {
    /// Workspace that the statements run for.
    pub workspace: Arc<str>,
    /// Rate of the workspace over the whole fleet.
    pub rate: Rate,
    /// Number of statements.
    pub cost: u64,
    /// When the statements are refused at the latest.
    pub deadline: Instant,
}

/// Border between caller sessions and control.
#[async_trait]
pub trait Policy: Debug + Send + Sync {
    /// Returns the configuration in force.
    fn snapshot(&self) -> Snapshot;

    /// Returns what is known about a group.
    fn group(&self, name: &str) -> Option<Arc<Group>>;

    /// Returns a receiver that changes with each new configuration.
    fn subscribe_snapshot(&self) -> watch::Receiver<Snapshot>;

    /// Returns a receiver that tells whether this instance may have missed that a key was withdrawn.
    fn subscribe_isolated(&self) -> watch::Receiver<bool>;

    /// Asks for a fresh view of a group, because a read waits for a replica.
    async fn refresh(&self, group: &str);

    /// Waits until it is known whether finished work may be acknowledged.
    async fn confirm(&self, finished: ConfirmationRequest) -> Outcome;

    /// Waits until it is known whether statements are within the workspace's rate.
    async fn admit(&self, request: AdmissionRequest) -> bool;
}
