//! Gate before the connections of a stock, fair over workspaces.
//!
//! A bounded number of leases stands at once. Who waits stands in a [`Queue`]; a lease that ends
//! lets the next one in. A wait that can't end before its deadline is refused at once.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Instant;

use filbertbay_coordination::queue::{Config, PushOutcome, Queue, Request, Ticket};
use parking_lot::Mutex;
use tokio::sync::oneshot;
use tokio::time::timeout_at;

use super::ErrorKind;

/// On whose behalf a connection is asked for.
#[derive(Clone, Debug)]
pub struct AcquireRequest {
    /// Workspace that the work runs for.
    pub workspace: Arc<str>,
    /// Weight of the workspace.
    pub weight: u32,
    /// When the wait ends.
    pub deadline: Instant,
}

/// Gate that lets a bounded number of leases through.
#[derive(Debug)]
pub(super) struct Gate {
    places: u32,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    queue: Queue,
    free: u32,
    next: u64,
    waiters: HashMap<Ticket, oneshot::Sender<()>>,
    is_closed: bool,
}

/// Right to use one connection; dropped, it lets the next one in.
#[derive(Debug)]
pub(super) struct Permit {
    gate: Arc<Gate>,
    workspace: Arc<str>,
    since: Instant,
}

/// Wait for a permit; dropped, it leaves the queue.
struct Wait<'a> {
    gate: &'a Arc<Gate>,
    claim: &'a AcquireRequest,
    ticket: Ticket,
    granted: oneshot::Receiver<()>,
    has_passed: bool,
}

impl Gate {
    /// Creates a gate that lets this many leases through at once.
    pub(super) fn new(places: u32) -> Self {
        let state = State {
            queue: Queue::new(Config::default()),
            free: places,
            next: 0,
            waiters: HashMap::new(),
            is_closed: false,
        };
        Self {
            places,
            state: Mutex::new(state),
        }
    }

    /// Waits for the right to use one connection.
    pub(super) async fn pass(
        self: &Arc<Self>,
        claim: &AcquireRequest,
    ) -> Result<Permit, ErrorKind> {
        let (ticket, granted) = self.enter(claim, Instant::now())?;
        let mut wait = Wait {
            gate: self,
            claim,
            ticket,
            granted,
            has_passed: false,
        };
        match timeout_at(claim.deadline.into(), &mut wait.granted).await {
            Ok(Ok(())) => {
                wait.has_passed = true;
                Ok(self.permit(claim))
            }
            Ok(Err(_)) if self.is_closed() => Err(ErrorKind::Unreachable),
            Ok(Err(_)) | Err(_) => Err(ErrorKind::Busy),
        }
    }

    fn enter(
        &self,
        claim: &AcquireRequest,
        now: Instant,
    ) -> Result<(Ticket, oneshot::Receiver<()>), ErrorKind> {
        let mut state = self.state.lock();
        if state.is_closed {
            return Err(ErrorKind::Unreachable);
        }
        let ticket = Ticket(state.next);
        state.next += 1;
        let request = Request {
            ticket,
            workspace: Arc::clone(&claim.workspace),
            weight: claim.weight,
            deadline: claim.deadline,
        };
        match state.queue.push(now, self.places, request) {
            PushOutcome::Queued => {}
            PushOutcome::QueuedEvicting(other) => drop(state.waiters.remove(&other)),
            PushOutcome::Refused { .. } => return Err(ErrorKind::Busy),
        }
        let (grant, granted) = oneshot::channel();
        state.waiters.insert(ticket, grant);
        state.admit(now);
        Ok((ticket, granted))
    }

    fn permit(self: &Arc<Self>, claim: &AcquireRequest) -> Permit {
        let workspace = Arc::clone(&claim.workspace);
        Permit {
            gate: Arc::clone(self),
            workspace,
            since: Instant::now(),
        }
    }

    /// Returns whether the gate lets nobody through any more.
    pub(super) fn is_closed(&self) -> bool {
        self.state.lock().is_closed
    }

    /// Lets nobody through any more.
    pub(super) fn close(&self) {
        let mut state = self.state.lock();
        state.is_closed = true;
        state.waiters.clear();
    }
}

impl State {
    /// Lets waiters in while there are free places.
    fn admit(&mut self, now: Instant) {
        while self.free > 0 {
            let Some(ticket) = self.queue.pop(now) else {
                return;
            };
            let waiter = self.waiters.remove(&ticket);
            if waiter.is_some_and(|waiter| waiter.send(()).is_ok()) {
                self.free -= 1;
            }
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let now = Instant::now();
        let mut state = self.gate.state.lock();
        state.queue.complete(&self.workspace, now - self.since);
        state.free += 1;
        state.admit(now);
    }
}

impl Drop for Wait<'_> {
    fn drop(&mut self) {
        if self.has_passed {
            return;
        }
        let mut state = self.gate.state.lock();
        state.queue.cancel(&self.claim.workspace, self.ticket);
        state.waiters.remove(&self.ticket);
        // A place that was given while the wait ended goes to the next one.
        if self.granted.try_recv().is_ok() {
            state.free += 1;
            state.admit(Instant::now());
        }
    }
}
