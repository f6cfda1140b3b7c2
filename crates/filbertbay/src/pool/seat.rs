//! Task that holds a seat of one member.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Weak};
use std::time::{Duration, Instant};

use filbertbay_coordination::seat::{Action, Config, Decider, Event, Plan};
use filbertbay_transport::endpoint::{self, Target, parse_row};
use metrics::gauge;
use tokio::task::JoinHandle;
use tokio::time::{sleep_until, timeout};

use super::Member;

/// Longest wait for the answer to a request for a lock.
const LOCK_TIMEOUT: Duration = Duration::from_secs(1);

/// Running task; it ends, and its lock with it, when dropped.
#[derive(Debug)]
pub(super) struct Task {
    plan: Plan,
    locked: Arc<AtomicBool>,
    handle: JoinHandle<()>,
}

impl Task {
    /// Returns how the member's connections are cut.
    pub(super) fn plan(&self) -> Plan {
        self.plan
    }

    /// Returns whether the member has given a lock.
    pub(super) fn is_locked(&self) -> bool {
        self.locked.load(Ordering::Acquire)
    }
}

impl Drop for Task {
    fn drop(&mut self) {
        self.handle.abort();
    }
}

/// Starts to ask for a seat, and to hold it once it was given.
pub(super) fn spawn(member: Weak<Member>, plan: Plan, rank: u32) -> Task {
    let decider = Decider::new(Config::default(), plan, rank, Instant::now());
    let locked = Arc::new(AtomicBool::new(false));
    let handle = tokio::spawn(hold(member, decider, Arc::clone(&locked)));
    Task {
        plan,
        locked,
        handle,
    }
}

async fn hold(member: Weak<Member>, mut decider: Decider, locked: Arc<AtomicBool>) {
    let mut connection = None;
    loop {
        let deadline = decider.next_deadline();
        let mut event = tokio::select! {
            () = until(deadline) => Event::Elapsed,
            () = ended(&mut connection) => {
                connection = None;
                Event::LockConnectionLost
            }
        };
        loop {
            let Some(member) = member.upgrade() else {
                return;
            };
            let Some(action) = decider.on_event(Instant::now(), event).first().copied() else {
                break;
            };
            match action {
                Action::OpenConnections(connections) => open(&member, connections),
                Action::CloseConnections => close(&member),
                Action::TryLock(seat) => {
                    event = lock(&member.target, &mut connection, seat).await;
                    continue;
                }
            }
            break;
        }
        locked.store(!decider.is_waiting(), Ordering::Release);
        // Without a lock the connection only takes a place that another instance may need.
        if decider.is_waiting() {
            connection = None;
        }
    }
}

fn open(member: &Member, connections: u32) {
    member.open_own(connections);
    gauge!("filbertbay_seats").increment(1.0);
}

fn close(member: &Member) {
    member.close_own();
    gauge!("filbertbay_seats").decrement(1.0);
}

async fn until(deadline: Option<Instant>) {
    match deadline {
        Some(deadline) => sleep_until(deadline.into()).await,
        None => std::future::pending().await,
    }
}

/// Waits until the connection has ended, if there is one.
async fn ended(connection: &mut Option<endpoint::Connection>) {
    let Some(connection) = connection else {
        return std::future::pending().await;
    };
    while connection.receive().await.is_ok() {}
}

async fn lock(target: &Target, slot: &mut Option<endpoint::Connection>, seat: u32) -> Event {
    let asked = timeout(LOCK_TIMEOUT, ask(target, slot, seat)).await;
    let Some(locked) = asked.ok().flatten() else {
        *slot = None;
        return Event::LockConnectionLost;
    };
    Event::LockReply {
        seat,
        granted: locked,
    }
}

async fn ask(target: &Target, slot: &mut Option<endpoint::Connection>, seat: u32) -> Option<bool> {
    let mut connection = match slot.take() {
        Some(connection) => connection,
        None => endpoint::Connection::open(target, LOCK_TIMEOUT)
            .await
            .ok()?,
    };
    let sql = format!("SELECT pg_try_advisory_lock({seat})");
    let frames = connection.query(&sql).await.ok()?;
    let row = parse_row(&frames).ok()?;
    *slot = Some(connection);
    Some(matches!(row.first()?.as_deref(), Some("t" | "true" | "1")))
}
