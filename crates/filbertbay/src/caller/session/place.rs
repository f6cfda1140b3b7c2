//! Selection of the member that runs a pipeline, and checkout of a connection to it.

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

/// Delay before a group's view is evaluated again.
const VIEW_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Longest wait for a connection on behalf of a peer.
const PEER_QUEUE_TIMEOUT: Duration = Duration::from_secs(1);

/// Member that runs a pipeline.
#[derive(Clone, Debug)]
pub struct Target {
    /// View of the group in which the member was chosen.
    pub group: Arc<view::Group>,
    /// Index of the member in the group.
    pub member: usize,
    /// Whether the member was believed to be the primary.
    pub is_primary: bool,
}

impl Target {
    /// Returns the name of the member.
    pub fn name(&self) -> &str {
        &self.group.members[self.member].name
    }
}

/// Constraints on the selection of a member.
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
    /// Selects a member and checks out a connection to it; sends nothing yet.
    pub(super) async fn checkout(
        &mut self,
        pipeline: &Pipeline,
        excluded: &[usize],
    ) -> Result<Box<ActiveConnection>, Refusal> {
        if let SessionKind::Peer { group, member } = &self.kind {
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

    /// Checks out a connection from this instance's own share on behalf of a peer.
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
        let claim = pool::AcquireRequest {
            workspace: group.into(),
            weight: 1,
            deadline: Instant::now() + PEER_QUEUE_TIMEOUT,
        };
        let taken = self
            .context
            .pool
            .acquire_for_peer(&view, member, &claim)
            .await;
        let lease = taken.map_err(|error| pool_refusal(error.kind()))?;
        // The peer knows the member's role. Here its statements count as changes.
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

    /// Returns the group's view with the excluded members marked as out of service.
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

    /// Confirms that a member is the primary, and raises the session's min position to its
    /// position.
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
        let claim = pool::AcquireRequest {
            workspace: Arc::clone(&selection.workspace),
            weight: selection.weight,
            deadline: selection.deadline,
        };
        let pool = &self.context.pool;
        let taken = pool.acquire(&target.group, target.member, &claim).await;
        let lease = taken.map_err(|error| error.kind())?;
        Ok(ActiveConnection::new(lease, target))
    }
}

impl ActiveConnection {
    fn new(lease: pool::PooledConnection, target: Target) -> Box<Self> {
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

/// Returns the error for a failed checkout.
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
