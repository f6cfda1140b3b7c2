//! Semaphore that bounds the connections in use to a member, with fair queueing over workspaces.
//!
//! Requests that find no free permit wait in a [`Queue`]; a dropped permit goes to the next one. A
//! request that can't get a permit before its deadline is refused at once.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Instant;

use filbertbay_coordination::queue::{Config, PushOutcome, Queue, Request, Ticket};
use parking_lot::Mutex;
use tokio::sync::oneshot;
use tokio::time::timeout_at;

use super::ErrorKind;

/// Request for a connection on behalf of a workspace.
#[derive(Clone, Debug)]
pub struct AcquireRequest {
    /// Workspace that the work runs for.
    pub workspace: Arc<str>,
    /// Weight of the workspace in the fair queue.
    pub weight: u32,
    /// Time until which the request may wait.
    pub deadline: Instant,
}

/// Semaphore whose waiters are served in the order of a fair queue.
#[derive(Debug)]
pub(super) struct FairSemaphore {
    permits: u32,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    queue: Queue,
    available: u32,
    next_ticket: u64,
    waiters: HashMap<Ticket, oneshot::Sender<()>>,
    is_closed: bool,
}

/// Permission to use one connection; dropping it serves the next waiter.
#[derive(Debug)]
pub(super) struct Permit {
    semaphore: Arc<FairSemaphore>,
    workspace: Arc<str>,
    acquired_at: Instant,
}

/// Request that waits for a permit; dropping it cancels the request.
struct Waiter<'a> {
    semaphore: &'a Arc<FairSemaphore>,
    request: &'a AcquireRequest,
    ticket: Ticket,
    granted: oneshot::Receiver<()>,
    has_permit: bool,
}

impl FairSemaphore {
    /// Creates a semaphore with the given number of permits.
    pub(super) fn new(permits: u32) -> Self {
        let state = State {
            queue: Queue::new(Config::default()),
            available: permits,
            next_ticket: 0,
            waiters: HashMap::new(),
            is_closed: false,
        };
        Self {
            permits,
            state: Mutex::new(state),
        }
    }

    /// Waits for a permit until the deadline of the request.
    pub(super) async fn acquire(
        self: &Arc<Self>,
        request: &AcquireRequest,
    ) -> Result<Permit, ErrorKind> {
        let (ticket, granted) = self.enqueue(request, Instant::now())?;
        let mut waiter = Waiter {
            semaphore: self,
            request,
            ticket,
            granted,
            has_permit: false,
        };
        match timeout_at(request.deadline.into(), &mut waiter.granted).await {
            Ok(Ok(())) => {
                waiter.has_permit = true;
                Ok(self.permit(request))
            }
            Ok(Err(_)) if self.is_closed() => Err(ErrorKind::Unreachable),
            Ok(Err(_)) | Err(_) => Err(ErrorKind::Busy),
        }
    }

    fn enqueue(
        &self,
        request: &AcquireRequest,
        now: Instant,
    ) -> Result<(Ticket, oneshot::Receiver<()>), ErrorKind> {
        let mut state = self.state.lock();
        if state.is_closed {
            return Err(ErrorKind::Unreachable);
        }
        let ticket = Ticket(state.next_ticket);
        state.next_ticket += 1;
        let queued = Request {
            ticket,
            workspace: Arc::clone(&request.workspace),
            weight: request.weight,
            deadline: request.deadline,
        };
        match state.queue.push(now, self.permits, queued) {
            PushOutcome::Queued => {}
            PushOutcome::QueuedEvicting(evicted) => drop(state.waiters.remove(&evicted)),
            PushOutcome::Refused { .. } => return Err(ErrorKind::Busy),
        }
        let (grant, granted) = oneshot::channel();
        state.waiters.insert(ticket, grant);
        state.grant_permits(now);
        Ok((ticket, granted))
    }

    fn permit(self: &Arc<Self>, request: &AcquireRequest) -> Permit {
        let workspace = Arc::clone(&request.workspace);
        Permit {
            semaphore: Arc::clone(self),
            workspace,
            acquired_at: Instant::now(),
        }
    }

    /// Returns whether the semaphore has been closed.
    pub(super) fn is_closed(&self) -> bool {
        self.state.lock().is_closed
    }

    /// Refuses all waiting and future requests.
    pub(super) fn close(&self) {
        let mut state = self.state.lock();
        state.is_closed = true;
        state.waiters.clear();
    }
}

impl State {
    /// Grants the available permits to waiters in the order of the queue.
    fn grant_permits(&mut self, now: Instant) {
        while self.available > 0 {
            let Some(ticket) = self.queue.pop(now) else {
                return;
            };
            let waiter = self.waiters.remove(&ticket);
            if waiter.is_some_and(|waiter| waiter.send(()).is_ok()) {
                self.available -= 1;
            }
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let now = Instant::now();
        let mut state = self.semaphore.state.lock();
        state
            .queue
            .complete(&self.workspace, now - self.acquired_at);
        state.available += 1;
        state.grant_permits(now);
    }
}

impl Drop for Waiter<'_> {
    fn drop(&mut self) {
        if self.has_permit {
            return;
        }
        let mut state = self.semaphore.state.lock();
        state.queue.cancel(&self.request.workspace, self.ticket);
        state.waiters.remove(&self.ticket);
        // A permit that was granted while the wait timed out goes to the next waiter.
        if self.granted.try_recv().is_ok() {
            state.available += 1;
            state.grant_permits(Instant::now());
        }
    }
}
