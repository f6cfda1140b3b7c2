//! Actors of all groups, kept in step with the configuration.

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

use super::{Configured, Confirm, Group, Parts, Refresh};
use crate::caller::policy::Finished;

/// Longest wait for a member's answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);

/// What the daemon presents to members.
#[derive(Clone)]
pub struct Credentials {
    /// Name of this instance.
    pub application: Arc<str>,
    /// User.
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
    /// Opens the way to a member; it connects at the first question.
    pub(super) fn open(&self, group: &Arc<str>, address: SocketAddr) -> Arc<dyn Endpoint> {
        let target = Target {
            address,
            database: Arc::clone(group),
            user: Arc::clone(&self.user),
            password: Arc::clone(&self.password),
            application: Arc::clone(&self.application),
            member: None,
            tls: None,
        };
        Arc::new(ControlConnection::new(target, ANSWER_TIMEOUT))
    }
}

/// Addresses of the groups' actors, shared with traffic.
#[derive(Debug, Default)]
pub struct Directory {
    groups: ArcSwap<BTreeMap<Arc<str>, Entry>>,
}

/// Actor of one group.
#[derive(Clone, Debug)]
struct Entry {
    address: Address<Group>,
    /// Whether a request to refresh is under way; more of them would only fill the mailbox.
    is_refreshing: Arc<AtomicBool>,
}

impl Directory {
    /// Waits until it is known whether finished work may be acknowledged.
    pub async fn confirm(&self, finished: Finished) -> Outcome {
        let unknown = Outcome::Unknown(Cause::Deadline);
        let Some(entry) = self.groups.load().get(&finished.group).cloned() else {
            return unknown;
        };
        let deadline = finished.deadline;
        let (sender, receiver) = oneshot::channel();
        let proof = async {
            entry.address.send(Confirm(finished, sender)).await.ok()?;
            receiver.await.ok()
        };
        let proof = timeout_at(deadline.into(), proof).await;
        proof.ok().flatten().unwrap_or(unknown)
    }

    /// Asks for a fresh view of a group; it is published when members have answered.
    pub async fn refresh(&self, group: &str) {
        let Some(entry) = self.groups.load().get(group).cloned() else {
            return;
        };
        if !entry.is_refreshing.swap(true, Ordering::Relaxed) {
            let refresh = Refresh(Arc::clone(&entry.is_refreshing));
            // An actor that is gone has no view to refresh.
            let _ = entry.address.send(refresh).await;
        }
    }

    /// Spawns an actor for each group of the configuration on a runtime.
    ///
    /// They end with that runtime.
    pub fn spawn(runtime: &Handle, parts: Parts) -> Arc<Self> {
        let directory = Arc::new(Self::default());
        runtime.spawn(Arc::clone(&directory).run(parts));
        directory
    }

    async fn run(self: Arc<Self>, parts: Parts) {
        let mut changes = parts.published.subscribe();
        loop {
            let snapshot = changes.borrow_and_update().clone();
            self.adopt(&parts, &snapshot).await;
            if changes.changed().await.is_err() {
                return;
            }
        }
    }

    async fn adopt(&self, parts: &Parts, snapshot: &Snapshot) {
        let mut groups = BTreeMap::clone(&self.groups.load());
        groups.retain(|name, _| snapshot.group(name).is_some());
        for index in 0..snapshot.groups.len() {
            let id = id::Group(index as u32);
            let name = &snapshot[id].name;
            let entry = groups.entry(Arc::clone(name)).or_insert_with(|| Entry {
                address: Group::spawn(parts.clone(), Arc::clone(name)),
                is_refreshing: Arc::default(),
            });
            // An actor ends only with its last address, which is in this map.
            let _ = entry.address.send(Configured(snapshot.clone(), id)).await;
        }
        self.groups.store(Arc::new(groups));
        parts
            .published
            .retain_groups(|name| snapshot.group(name).is_some());
    }
}
