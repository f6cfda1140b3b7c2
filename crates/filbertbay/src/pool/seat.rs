//! Task that acquires a seat of one member and holds it.
//!
//! A seat is an advisory lock at the member. It allows the instance an equal share of the member's
//! connections for as long as the connection that took the lock is open.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Weak};
use std::time::{Duration, Instant};

use filbertbay_coordination::seat::{Action, Config, Decider, Event, Plan};
use filbertbay_transport::endpoint::{self, Target, parse_row};
use metrics::gauge;
use tokio::task::JoinHandle;
use tokio::time::{sleep_until, timeout};

use super::EndpointPool;

/// Time limit for one attempt to take a lock.
const LOCK_TIMEOUT: Duration = Duration::from_secs(1);

/// Handle of the task; dropping it ends the task and releases its lock.
#[derive(Debug)]
pub(super) struct Task {
    plan: Plan,
    locked: Arc<AtomicBool>,
    handle: JoinHandle<()>,
}

impl Task {
    /// Returns how the member's connections are divided into seats.
    pub(super) fn plan(&self) -> Plan {
        self.plan
    }

    /// Returns whether the member has granted a lock.
    pub(super) fn is_locked(&self) -> bool {
        self.locked.load(Ordering::Acquire)
    }
}

impl Drop for Task {
    fn drop(&mut self) {
        self.handle.abort();
    }
}

/// Spawns a task that requests a seat until it is granted, and then holds it.
pub(super) fn spawn(endpoint_pool: Weak<EndpointPool>, plan: Plan, rank: u32) -> Task {
    let decider = Decider::new(Config::default(), plan, rank, Instant::now());
    let locked = Arc::new(AtomicBool::new(false));
    let handle = tokio::spawn(hold(endpoint_pool, decider, Arc::clone(&locked)));
    Task {
        plan,
        locked,
        handle,
    }
}

async fn hold(endpoint_pool: Weak<EndpointPool>, mut decider: Decider, locked: Arc<AtomicBool>) {
    let mut connection = None;
    loop {
        let deadline = decider.next_deadline();
        let mut event = tokio::select! {
            () = sleep_until_deadline(deadline) => Event::Elapsed,
            () = wait_until_closed(&mut connection) => {
                connection = None;
                Event::LockConnectionLost
            }
        };
        loop {
            let Some(endpoint_pool) = endpoint_pool.upgrade() else {
                return;
            };
            let Some(action) = decider.on_event(Instant::now(), event).first().copied() else {
                break;
            };
            match action {
                Action::OpenConnections(connections) => open(&endpoint_pool, connections),
                Action::CloseConnections => close(&endpoint_pool),
                Action::TryLock(seat) => {
                    event = try_lock(&endpoint_pool.target, &mut connection, seat).await;
                    continue;
                }
            }
            break;
        }
        locked.store(!decider.is_waiting(), Ordering::Release);
        // Without a lock the connection is closed, as it takes a slot at the member that another
        // instance may need.
        if decider.is_waiting() {
            connection = None;
        }
    }
}

fn open(endpoint_pool: &EndpointPool, connections: u32) {
    endpoint_pool.allow_direct(connections);
    gauge!("filbertbay_seats").increment(1.0);
}

fn close(endpoint_pool: &EndpointPool) {
    endpoint_pool.close_direct();
    gauge!("filbertbay_seats").decrement(1.0);
}

/// Sleeps until the deadline; without one it never returns.
async fn sleep_until_deadline(deadline: Option<Instant>) {
    match deadline {
        Some(deadline) => sleep_until(deadline.into()).await,
        None => std::future::pending().await,
    }
}

/// Waits until the connection is closed; without one it never returns.
async fn wait_until_closed(connection: &mut Option<endpoint::Connection>) {
    let Some(connection) = connection else {
        return std::future::pending().await;
    };
    while connection.receive().await.is_ok() {}
}

/// Tries to take the lock of a seat, and drops the connection if that fails or times out.
async fn try_lock(
    target: &Target,
    lock_connection: &mut Option<endpoint::Connection>,
    seat: u32,
) -> Event {
    let reply = timeout(LOCK_TIMEOUT, query_lock(target, lock_connection, seat)).await;
    let Some(granted) = reply.ok().flatten() else {
        *lock_connection = None;
        return Event::LockConnectionLost;
    };
    Event::LockReply { seat, granted }
}

/// Sends the lock request, on a new connection if there is none; returns whether it was granted,
/// or nothing if the connection failed.
async fn query_lock(
    target: &Target,
    lock_connection: &mut Option<endpoint::Connection>,
    seat: u32,
) -> Option<bool> {
    let mut connection = match lock_connection.take() {
        Some(connection) => connection,
        None => endpoint::Connection::open(target, LOCK_TIMEOUT)
            .await
            .ok()?,
    };
    let sql = format!("SELECT pg_try_advisory_lock({seat})");
    let frames = connection.query(&sql).await.ok()?;
    let row = parse_row(&frames).ok()?;
    *lock_connection = Some(connection);
    Some(matches!(row.first()?.as_deref(), Some("t" | "true" | "1")))
}
