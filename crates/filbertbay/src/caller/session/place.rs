//! Where a session's work runs.

use std::sync::Arc;
use std::time::{Duration, Instant};

use filbertbay_coordination::replica::{self, Choice, ReadRequest};
use filbertbay_coordination::view;
use filbertbay_state::document::Availability;
use filbertbay_transport::wire::transaction_status;
use tokio::time::sleep;

use super::super::answer::{Refusal, State};
use super::super::work::Work;
use super::{Open, Purpose, Session};
use crate::pool;

/// Wait before the view of a group is looked at again.
const REPEAT: Duration = Duration::from_millis(2);

/// Longest wait for a connection for another instance.
const PEER_QUEUE_LIMIT: Duration = Duration::from_secs(1);

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
struct Search {
    group: Arc<str>,
    since: Instant,
    deadline: Instant,
    workspace: Arc<str>,
    weight: u32,
    staleness: Option<Duration>,
    avoided: Vec<usize>,
}

impl Session {
    /// Chooses a member and leases a connection to it; nothing is sent yet.
    pub(super) async fn place(
        &mut self,
        work: &Work,
        avoided: &[usize],
    ) -> Result<Box<Open>, Refusal> {
        if let Purpose::Peer { group, member } = &self.purpose {
            return self.place_for_peer(group, member).await;
        }
        let mut search = self.search(work, avoided)?;
        loop {
            let Some(view) = self.view(&search) else {
                if Instant::now() >= search.deadline {
                    return Err(unavailable("the group is not known yet"));
                }
                sleep(REPEAT).await;
                continue;
            };
            self.consistency.update_from_view(&view);
            let choice = self.choose(work, &view, &search);
            let now = Instant::now();
            let (member, is_primary) = match choice {
                Choice::Replica(member) => (member, false),
                Choice::Primary(member) => (member, true),
                Choice::ConfirmPrimary(member) if self.prove(&view, member).await => (member, true),
                Choice::WaitUntil(_) | Choice::ConfirmPrimary(_) | Choice::Unavailable
                    if now < search.deadline =>
                {
                    self.context.policy.refresh(&search.group).await;
                    sleep(REPEAT).await;
                    continue;
                }
                _ => return Err(unavailable("no member can take the work")),
            };
            let target = Target {
                group: view,
                member,
                is_primary,
            };
            match self.lease(target, &search).await {
                Ok(open) => return Ok(open),
                Err(pool::ErrorKind::Unreachable) if !is_primary => search.avoided.push(member),
                Err(pool::ErrorKind::Unreachable) if Instant::now() < search.deadline => {
                    sleep(REPEAT).await;
                }
                Err(kind) => return Err(refusal(kind)),
            }
        }
    }

    /// Leases a connection of this instance's own for another instance.
    async fn place_for_peer(&self, group: &str, member: &str) -> Result<Box<Open>, Refusal> {
        let view = self.context.policy.group(group);
        let view = view.ok_or_else(|| unavailable("the group is not known yet"))?;
        let member = view
            .member(member)
            .ok_or_else(|| unavailable("the member is not known"))?;
        let claim = pool::Claim {
            workspace: group.into(),
            weight: 1,
            deadline: Instant::now() + PEER_QUEUE_LIMIT,
        };
        let taken = self.context.pool.take_for_peer(&view, member, &claim).await;
        let lease = taken.map_err(|error| refusal(error.kind()))?;
        // The other instance decides what the member is; here its work counts as a change.
        let target = Target {
            group: view,
            member,
            is_primary: true,
        };
        Ok(Open::new(lease, target))
    }

    fn search(&self, work: &Work, avoided: &[usize]) -> Result<Search, Refusal> {
        let (snapshot, place) = self
            .guard
            .place()
            .ok_or_else(|| unavailable("the route was taken away"))?;
        let route = &snapshot[place.route];
        let now = Instant::now();
        let default = route.settings.staleness_ms.map(Duration::from_millis);
        Ok(Search {
            group: Arc::clone(&snapshot[route.group].name),
            since: now,
            deadline: now + Duration::from_millis(route.settings.queue_ms),
            workspace: Arc::clone(&snapshot[place.workspace].name),
            weight: snapshot[place.workspace].weight,
            staleness: work.staleness.or(self.staleness).or(default),
            avoided: avoided.to_vec(),
        })
    }

    /// Returns the view of the group without the members that have failed.
    fn view(&self, search: &Search) -> Option<Arc<view::Group>> {
        let mut view = self.context.policy.group(&search.group)?;
        if !search.avoided.is_empty() {
            let group = Arc::make_mut(&mut view);
            for member in &search.avoided {
                if let Some(member) = group.members.get_mut(*member) {
                    member.availability = Availability::Out;
                }
            }
        }
        Some(view)
    }

    fn choose(&self, work: &Work, view: &view::Group, search: &Search) -> Choice {
        if !work.is_read() {
            let primary = view.primary.filter(|_| !view.is_switching_over);
            return primary.map_or(Choice::Unavailable, Choice::Primary);
        }
        let read = ReadRequest {
            constraint: self.consistency.read_constraint(&view.name),
            max_staleness: search.staleness,
            arrived: search.since,
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
    async fn prove(&mut self, view: &Arc<view::Group>, member: usize) -> bool {
        let group = Arc::clone(view);
        let target = Target {
            group,
            member,
            is_primary: true,
        };
        self.confirm(&target).await.is_ok()
    }

    async fn lease(&self, target: Target, search: &Search) -> Result<Box<Open>, pool::ErrorKind> {
        let claim = pool::Claim {
            workspace: Arc::clone(&search.workspace),
            weight: search.weight,
            deadline: search.deadline,
        };
        let pool = &self.context.pool;
        let taken = pool.take(&target.group, target.member, &claim).await;
        let lease = taken.map_err(|error| error.kind())?;
        Ok(Open::new(lease, target))
    }
}

impl Open {
    fn new(lease: pool::Lease, target: Target) -> Box<Self> {
        Box::new(Self {
            lease,
            target,
            status: transaction_status::IDLE,
            changed: false,
            is_unsynced: false,
            is_cancelled: false,
        })
    }
}

/// Returns what a caller is told when no connection could be leased.
fn refusal(kind: pool::ErrorKind) -> Refusal {
    match kind {
        pool::ErrorKind::Busy => {
            let message = "every connection to the endpoint was in use";
            Refusal::not_run(State::TooMany, message)
        }
        _ => unavailable("the endpoint can't be reached"),
    }
}

fn unavailable(reason: &str) -> Refusal {
    Refusal::not_run(State::Unavailable, reason)
}
