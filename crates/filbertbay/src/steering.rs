//! Policy that applies the decisions of the control thread to the statements of callers.
//!
//! Snapshots and group views are read from the published state, confirmations come from the group
//! actors, and admission from the rate limiter of this instance.

use std::sync::Arc;

use async_trait::async_trait;
use filbertbay_coordination::authority::confirm::Outcome;
use filbertbay_coordination::view::Group;
use filbertbay_state::snapshot::Snapshot;
use tokio::sync::watch;

use crate::caller::policy::{AdmissionRequest, ConfirmationRequest, Policy};
use crate::control::group::GroupDirectory;
use crate::published::PublishedState;
use crate::share::Shares;

/// Caller policy that is backed by the control thread.
#[derive(Debug)]
pub struct ControlPolicy {
    published: Arc<PublishedState>,
    directory: Arc<GroupDirectory>,
    shares: Arc<Shares>,
}

impl ControlPolicy {
    /// Creates the policy from the handles of a running control thread.
    pub fn new(
        published: Arc<PublishedState>,
        directory: Arc<GroupDirectory>,
        shares: Arc<Shares>,
    ) -> Self {
        Self {
            published,
            directory,
            shares,
        }
    }
}

#[async_trait]
impl Policy for ControlPolicy {
    fn snapshot(&self) -> Snapshot {
        self.published.snapshot()
    }

    fn group(&self, name: &str) -> Option<Arc<Group>> {
        self.published.group(name)
    }

    fn subscribe_snapshot(&self) -> watch::Receiver<Snapshot> {
        self.published.subscribe_snapshot()
    }

    fn subscribe_isolated(&self) -> watch::Receiver<bool> {
        self.published.subscribe_isolated()
    }

    async fn refresh(&self, group: &str) {
        self.directory.refresh(group).await;
    }

    async fn confirm(&self, finished: ConfirmationRequest) -> Outcome {
        self.directory.confirm(finished).await
    }

    async fn admit(&self, demand: AdmissionRequest) -> bool {
        self.shares.admit(demand).await
    }
}
