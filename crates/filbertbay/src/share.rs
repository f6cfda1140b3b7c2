//! This instance's part of the rates of all workspaces.
//!
//! Traffic takes tokens here under a short lock. Where tokens have to be borrowed, control carries
//! the ledger's messages to other instances and wakes whoever waits when an answer has come.

use std::sync::Arc;
use std::time::{Duration, Instant};

use filbertbay_coordination::share::{
    Admission, Allocation, Config, Envelope, Holder, Message, RateLimiter,
};
use filbertbay_state::document::Rate;
use filbertbay_state::instance::Instance;
use parking_lot::Mutex;
use tokio::sync::{Notify, watch};
use tokio::time::timeout_at;

use crate::caller::policy::AdmissionRequest;
use crate::published::PublishedState;

/// Buckets of this instance, shared by traffic and control.
#[derive(Debug)]
pub struct Shares {
    published: Arc<PublishedState>,
    state: Mutex<State>,
    answered: Notify,
    outgoing: Notify,
    served: watch::Sender<bool>,
}

#[derive(Debug)]
struct State {
    ledger: RateLimiter,
    allocation: Arc<Allocation>,
    /// Lanes that this instance has stopped spending to give them away.
    giving: Vec<usize>,
    /// Messages that were no answer to the instance whose call brought them about.
    queued: Vec<Envelope>,
}

impl Shares {
    /// Opens the buckets of an instance that holds no lanes yet.
    pub fn open(published: Arc<PublishedState>) -> Self {
        let own = published.local_instance();
        let ledger = RateLimiter::new(
            Arc::clone(&own.name),
            Arc::clone(&own.data_centre),
            own.incarnation,
            Config::default(),
        );
        let state = State {
            ledger,
            allocation: Arc::default(),
            giving: Vec::new(),
            queued: Vec::new(),
        };
        Self {
            published,
            state: Mutex::new(state),
            answered: Notify::new(),
            outgoing: Notify::new(),
            served: watch::Sender::new(false),
        }
    }

    /// Waits until it is known whether statements are within the workspace's rate.
    pub async fn admit(&self, demand: AdmissionRequest) -> bool {
        // Without lanes here or elsewhere nobody can tell what is within the rate.
        let mut served = self.served.subscribe();
        let known = served.wait_for(|served| *served);
        if timeout_at(demand.deadline.into(), known).await.is_err() {
            return false;
        }
        let mut is_new = true;
        loop {
            // Registered before the decision, so that an answer in between still wakes this task.
            let answered = self.answered.notified();
            let now = Instant::now();
            match self.decide(now, &demand, is_new) {
                Admission::Admitted => return true,
                Admission::Refused { .. } => return false,
                Admission::Wait { timeout: wait } => {
                    let until = demand.deadline.min(now + wait);
                    if now >= demand.deadline {
                        return false;
                    }
                    let _ = timeout_at(until.into(), answered).await;
                }
            }
            is_new = false;
        }
    }

    fn decide(&self, now: Instant, demand: &AdmissionRequest, is_new: bool) -> Admission {
        let AdmissionRequest {
            workspace,
            rate,
            cost,
            ..
        } = demand;
        let mut state = self.state.lock();
        let admission = if is_new {
            state.ledger.try_acquire(now, workspace, *rate, *cost)
        } else {
            state.ledger.retry_acquire(now, workspace, *rate, *cost)
        };
        let has_messages = state.ledger.has_messages();
        drop(state);
        if has_messages {
            self.outgoing.notify_one();
        }
        admission
    }

    /// Handles messages of another instance and returns those that answer them at once.
    pub fn receive(&self, now: Instant, from: &Arc<str>, messages: &[Message]) -> Vec<Message> {
        let mut state = self.state.lock();
        let mut wakes = false;
        for message in messages {
            let rate = self.rate_of(message.workspace());
            wakes |= state.ledger.handle_message(now, from, message, rate);
        }
        drop(state);
        if wakes {
            self.answered.notify_waiters();
        }
        let (back, onward): (Vec<_>, Vec<_>) = self
            .drain()
            .into_iter()
            .partition(|envelope| envelope.to == *from);
        self.requeue(onward);
        back.into_iter().map(|envelope| envelope.message).collect()
    }

    /// Removes and returns the messages that must be sent.
    pub fn drain(&self) -> Vec<Envelope> {
        let mut state = self.state.lock();
        let mut envelopes = std::mem::take(&mut state.queued);
        envelopes.extend(state.ledger.drain());
        envelopes
    }

    fn requeue(&self, envelopes: Vec<Envelope>) {
        if !envelopes.is_empty() {
            self.state.lock().queued.extend(envelopes);
            self.outgoing.notify_one();
        }
    }

    /// Waits until messages must be sent.
    pub async fn outgoing(&self) {
        self.outgoing.notified().await;
    }

    /// Renews loans, drops idle buckets and follows changed rates.
    pub fn tick(&self, now: Instant) {
        let mut state = self.state.lock();
        state.ledger.tick(now, |workspace| self.rate_of(workspace));
        let has_messages = state.ledger.has_messages();
        metrics::gauge!("filbertbay_share_workspaces").set(state.ledger.active_workspaces() as f64);
        drop(state);
        self.note_served();
        if has_messages {
            self.outgoing.notify_one();
        }
    }

    /// Returns the record of holders in use.
    pub fn allocation(&self) -> Arc<Allocation> {
        Arc::clone(&self.state.lock().allocation)
    }

    /// Returns a receiver that tells whether tokens can be taken or borrowed here.
    pub fn subscribe_served(&self) -> watch::Receiver<bool> {
        self.served.subscribe()
    }

    /// Takes a newer record of holders into use.
    pub fn adopt(&self, now: Instant, allocation: Arc<Allocation>) {
        let mut state = self.state.lock();
        if allocation.epoch <= state.allocation.epoch {
            return;
        }
        metrics::gauge!("filbertbay_share_epoch").set(allocation.epoch as f64);
        state.ledger.apply_allocation(now, Arc::clone(&allocation));
        state.allocation = allocation;
        // Lanes on their way to another instance must not be spent again.
        let State { ledger, giving, .. } = &mut *state;
        for slot in giving.iter() {
            ledger.release(*slot);
        }
        // Whoever waits for tokens can now take or borrow them.
        drop(state);
        self.note_served();
        self.answered.notify_waiters();
    }

    fn note_served(&self) {
        if !*self.served.borrow() && self.can_serve(&self.allocation()) {
            self.served.send_replace(true);
        }
    }

    /// Tells whether this instance holds lanes, or others do that it can borrow from.
    fn can_serve(&self, allocation: &Allocation) -> bool {
        let own = self.published.local_instance();
        let instances = self.published.instances();
        allocation.lane_count(&own.name, own.incarnation) > 0
            || instances
                .iter()
                .any(|one| allocation.lane_count(&one.name, one.incarnation) > 0)
    }

    /// Stops spending lanes that are about to pass on; returns how long loans may rest on them.
    pub fn release(&self, slots: &[usize]) -> Duration {
        let mut state = self.state.lock();
        for slot in slots {
            state.ledger.release(*slot);
        }
        state.giving = slots.to_vec();
        state.ledger.max_loan_duration()
    }

    /// Ends the giving away of lanes; those that the record still gives to this instance are spent
    /// again, from empty buckets.
    pub fn end_release(&self, now: Instant) {
        let mut state = self.state.lock();
        state.giving.clear();
        let allocation = Arc::clone(&state.allocation);
        state.ledger.apply_allocation(now, allocation);
    }

    /// Notes proof that this instance still holds its lanes.
    pub fn extend(&self, proved: Instant) {
        self.state.lock().ledger.confirm_ownership(proved);
    }

    fn rate_of(&self, workspace: &str) -> Option<Rate> {
        let snapshot = self.published.snapshot();
        let id = snapshot.workspace(workspace)?;
        Some(snapshot[id].rate)
    }
}

/// Returns an instance as a holder of lanes.
pub fn holder(instance: &Instance) -> Holder {
    Holder {
        instance: Arc::clone(&instance.name),
        incarnation: instance.incarnation,
        data_centre: Arc::clone(&instance.data_centre),
    }
}
