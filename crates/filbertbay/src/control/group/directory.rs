//! Directory of the group actors, which follows the groups of the configuration.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use arc_swap::ArcSwap;
use filbertbay_coordination::authority::confirm::{Cause, Outcome};
use filbertbay_protocol::endpoint::Endpoint;
use filbertbay_state::id;
use filbertbay_state::snapshot::Snapshot;
use filbertbay_transport::endpoint::{ControlConnection, Target};
use tokio::runtime::Handle;
use tokio::sync::oneshot;
use tokio::time::timeout_at;
use xtra::Address;

use super::{Configure, Confirm, Dependencies, GroupActor, Refresh};
use crate::caller::policy::ConfirmationRequest;

/// Timeout of a query or order to a member.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(500);

/// Credentials with which the daemon logs in to members.
#[derive(Clone)]
pub struct Credentials {
    /// Application name, which is the name of this instance.
    pub application: Arc<str>,
    /// User name.
    pub user: Arc<str>,
    /// Password.
    pub password: Arc<str>,
}

impl std::fmt::Debug for Credentials {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Credentials")
            .field("application", &self.application)
            .field("user", &self.user)
            .finish_non_exhaustive()
    }
}

impl Credentials {
    /// Returns a control connection to a member, which connects at its first use.
    pub(super) fn connect(&self, group: &Arc<str>, address: SocketAddr) -> Arc<dyn Endpoint> {
        let target = Target {
            address,
            database: Arc::clone(group),
            user: Arc::clone(&self.user),
            password: Arc::clone(&self.password),
            application: Arc::clone(&self.application),
            member: None,
            tls: None,
        };
        Arc::new(ControlConnection::new(target, RESPONSE_TIMEOUT))
    }
}

/// Addresses of the group actors, shared with the threads that serve statements.
#[derive(Debug, Default)]
pub struct GroupDirectory {
    groups: ArcSwap<BTreeMap<Arc<str>, Entry>>,
}

/// Address of one group actor.
#[derive(Clone, Debug)]
struct Entry {
    address: Address<GroupActor>,
    /// Whether a refresh request is in the mailbox; further requests would only fill it.
    is_refreshing: Arc<AtomicBool>,
}

impl GroupDirectory {
    /// Waits for the confirmation of an executed statement, which decides whether it may be
    /// acknowledged.
    ///
    /// The outcome is unknown if the group is not known or the deadline passes.
    pub async fn confirm(&self, finished: ConfirmationRequest) -> Outcome {
        let timed_out = Outcome::Unknown(Cause::Deadline);
        let Some(entry) = self.groups.load().get(&finished.group).cloned() else {
            return timed_out;
        };
        let deadline = finished.deadline;
        let (sender, receiver) = oneshot::channel();
        let confirmation = async {
            entry.address.send(Confirm(finished, sender)).await.ok()?;
            receiver.await.ok()
        };
        let outcome = timeout_at(deadline.into(), confirmation).await;
        outcome.ok().flatten().unwrap_or(timed_out)
    }

    /// Requests a new view of a group, which is published when its members have responded.
    pub async fn refresh(&self, group: &str) {
        let Some(entry) = self.groups.load().get(group).cloned() else {
            return;
        };
        if !entry.is_refreshing.swap(true, Ordering::Relaxed) {
            let refresh = Refresh(Arc::clone(&entry.is_refreshing));
            // An actor that has ended has no view to refresh.
            let _ = entry.address.send(refresh).await;
        }
    }

    /// Spawns an actor for each group of the configuration on `runtime`, now and after each change.
    ///
    /// The actors end with the runtime.
    pub fn spawn(runtime: &Handle, deps: Dependencies) -> Arc<Self> {
        let directory = Arc::new(Self::default());
        runtime.spawn(Arc::clone(&directory).run(deps));
        directory
    }

    async fn run(self: Arc<Self>, deps: Dependencies) {
        let mut snapshots = deps.published.subscribe_snapshot();
        loop {
            let snapshot = snapshots.borrow_and_update().clone();
            self.apply_snapshot(&deps, &snapshot).await;
            if snapshots.changed().await.is_err() {
                return;
            }
        }
    }

    async fn apply_snapshot(&self, deps: &Dependencies, snapshot: &Snapshot) {
        let mut groups = BTreeMap::clone(&self.groups.load());
        groups.retain(|name, _| snapshot.group(name).is_some());
        for index in 0..snapshot.groups.len() {
            let id = id::Group(index as u32);
            let name = &snapshot[id].name;
            let entry = groups.entry(Arc::clone(name)).or_insert_with(|| Entry {
                address: GroupActor::spawn(deps.clone(), Arc::clone(name)),
                is_refreshing: Arc::default(),
            });
            // An actor ends only when its last address is dropped, and this map holds one.
            let _ = entry.address.send(Configure(snapshot.clone(), id)).await;
        }
        self.groups.store(Arc::new(groups));
        deps.published
            .retain_groups(|name| snapshot.group(name).is_some());
    }
}
