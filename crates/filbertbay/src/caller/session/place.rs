//! Where a session's work runs.

use std::sync::Arc;
use std::time::{Duration, Instant};

use filbertbay_coordination::replica::{self, Choice, ReadRequest};
use filbertbay_coordination::view;
use filbertbay_state::document::Availability;
use filbertbay_transport::wire::transaction_status;
use tokio::time::sleep;

use super::super::answer::{Refusal, SqlState};
use super::super::work::Pipeline;
use super::{ActiveConnection, Session, SessionKind};
use crate::pool;

/// Wait before the view of a group is looked at again.
const VIEW_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Longest wait for a connection for another instance.
const PEER_QUEUE_TIMEOUT: Duration = Duration::from_secs(1);

/// Member on which work runs.
#[derive(Clone, Debug)]
pub struct Target {
    /// Group as it was seen when the member was chosen.
    pub group: Arc<view::Group>,
    /// Index of the member in the group.
    pub member: usize,
    /// Whether the member was believed to lead the group.
    pub is_primary: bool,
}

impl Target {
    /// Returns the name of the member.
    pub fn name(&self) -> &str {
        &self.group.members[self.member].name
    }
}

/// What the search for a place follows.
struct Selection {
    group: Arc<str>,
    arrived: Instant,
    deadline: Instant,
    workspace: Arc<str>,
    weight: u32,
    max_staleness: Option<Duration>,
    excluded: Vec<usize>,
}

impl Session {
    /// Chooses a member and leases a connection to it; nothing is sent yet.
    pub(super) async fn checkout(
        &mut self,
        pipeline: &Pipeline,
        excluded: &[usize],
    ) -> Result<Box<ActiveConnection>, Refusal> {
        if let SessionKind::Peer { group, member } = &self.session_kind {
            return self.checkout_for_peer(group, member).await;
        }
        let mut selection = self.selection(pipeline, excluded)?;
        loop {
            let Some(view) = self.view(&selection) else {
                if Instant::now() >= selection.deadline {
                    return Err(unavailable("the group is not known yet"));
                }
                sleep(VIEW_POLL_INTERVAL).await;
                continue;
            };
            self.consistency.update_from_view(&view);
            let choice = self.choose(pipeline, &view, &selection);
            let now = Instant::now();
            let (member, is_primary) = match choice {
                Choice::Replica(member) => (member, false),
                Choice::Primary(member) => (member, true),
                Choice::ConfirmPrimary(member) if self.confirm_primary(&view, member).await => {
                    (member, true)
                }
                Choice::WaitUntil(_) | Choice::ConfirmPrimary(_) | Choice::Unavailable
                    if now < selection.deadline =>
                {
                    self.context.policy.refresh(&selection.group).await;
                    sleep(VIEW_POLL_INTERVAL).await;
                    continue;
                }
                _ => return Err(unavailable("no member can take the work")),
            };
            let target = Target {
                group: view,
                member,
                is_primary,
            };
            match self.acquire(target, &selection).await {
                Ok(active) => return Ok(active),
                Err(pool::ErrorKind::Unreachable) if !is_primary => selection.excluded.push(member),
                Err(pool::ErrorKind::Unreachable) if Instant::now() < selection.deadline => {
                    sleep(VIEW_POLL_INTERVAL).await;
                }
                Err(kind) => return Err(pool_refusal(kind)),
            }
        }
    }

    /// Leases a connection of this instance's own for another instance.
    async fn checkout_for_peer(
        &self,
        group: &str,
        member: &str,
    ) -> Result<Box<ActiveConnection>, Refusal> {
        let view = self.context.policy.group(group);
        let view = view.ok_or_else(|| unavailable("the group is not known yet"))?;
        let member = view
            .member(member)
            .ok_or_else(|| unavailable("the member is not known"))?;
        let claim = pool::Claim {
            workspace: group.into(),
            weight: 1,
            deadline: Instant::now() + PEER_QUEUE_TIMEOUT,
        };
        let taken = self.context.pool.take_for_peer(&view, member, &claim).await;
        let lease = taken.map_err(|error| pool_refusal(error.kind()))?;
        // The other instance decides what the member is; here its work counts as a change.
        let target = Target {
            group: view,
            member,
            is_primary: true,
        };
        Ok(ActiveConnection::new(lease, target))
    }

    fn selection(&self, pipeline: &Pipeline, excluded: &[usize]) -> Result<Selection, Refusal> {
        let (snapshot, ids) = self
            .monitor
            .configuration()
            .ok_or_else(|| unavailable("the route was taken away"))?;
        let route = &snapshot[ids.route];
        let now = Instant::now();
        let default = route.settings.staleness_ms.map(Duration::from_millis);
        Ok(Selection {
            group: Arc::clone(&snapshot[route.group].name),
            arrived: now,
            deadline: now + Duration::from_millis(route.settings.queue_ms),
            workspace: Arc::clone(&snapshot[ids.workspace].name),
            weight: snapshot[ids.workspace].weight,
            max_staleness: pipeline.max_staleness.or(self.max_staleness).or(default),
            excluded: excluded.to_vec(),
        })
    }

    /// Returns the view of the group without the members that have failed.
    fn view(&self, selection: &Selection) -> Option<Arc<view::Group>> {
        let mut view = self.context.policy.group(&selection.group)?;
        if !selection.excluded.is_empty() {
            let group = Arc::make_mut(&mut view);
            for member in &selection.excluded {
                if let Some(member) = group.members.get_mut(*member) {
                    member.availability = Availability::Out;
                }
            }
        }
        Some(view)
    }

    fn choose(&self, pipeline: &Pipeline, view: &view::Group, selection: &Selection) -> Choice {
        if !pipeline.is_read() {
            let primary = view.primary.filter(|_| !view.is_switching_over);
            return primary.map_or(Choice::Unavailable, Choice::Primary);
        }
        let read = ReadRequest {
            constraint: self.consistency.read_constraint(&view.name),
            max_staleness: selection.max_staleness,
            arrived: selection.arrived,
        };
        let load = self.context.pool.load(view);
        replica::choose(
            &self.context.replicas,
            view,
            &read,
            Instant::now(),
            &self.context.data_centre,
            &load,
            &mut rand::rng(),
        )
    }

    /// Proves that a member leads, and takes its position as the session's floor.
    async fn confirm_primary(&mut self, view: &Arc<view::Group>, member: usize) -> bool {
        let group = Arc::clone(view);
        let target = Target {
            group,
            member,
            is_primary: true,
        };
        self.confirm(&target).await.is_ok()
    }

    async fn acquire(
        &self,
        target: Target,
        selection: &Selection,
    ) -> Result<Box<ActiveConnection>, pool::ErrorKind> {
        let claim = pool::Claim {
            workspace: Arc::clone(&selection.workspace),
            weight: selection.weight,
            deadline: selection.deadline,
        };
        let pool = &self.context.pool;
        let taken = pool.take(&target.group, target.member, &claim).await;
        let lease = taken.map_err(|error| error.kind())?;
        Ok(ActiveConnection::new(lease, target))
    }
}

impl ActiveConnection {
    fn new(lease: pool::Lease, target: Target) -> Box<Self> {
        Box::new(Self {
            lease,
            target,
            status: transaction_status::IDLE,
            has_changes: false,
            is_unsynced: false,
            is_cancelled: false,
        })
    }
}

/// Returns what a caller is told when no connection could be leased.
fn pool_refusal(kind: pool::ErrorKind) -> Refusal {
    match kind {
        pool::ErrorKind::Busy => {
            let message = "every connection to the endpoint was in use";
            Refusal::not_run(SqlState::TooManyConnections, message)
        }
        _ => unavailable("the endpoint can't be reached"),
    }
}

fn unavailable(reason: &str) -> Refusal {
    Refusal::not_run(SqlState::Unavailable, reason)
}
