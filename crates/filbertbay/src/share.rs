//! Rate limiter of this instance, shared by traffic and the control thread.
//!
//! A workspace's rate is divided into lanes, which instances hold. Traffic takes tokens from the
//! limiter under a short lock. When tokens must be borrowed, the control thread exchanges the
//! limiter's messages with other instances, and a grant or denial wakes the waiting statements.

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

/// Rate limiter of this instance, with notifications for waiting statements and outgoing messages.
#[derive(Debug)]
pub struct SharedRateLimiter {
    published: Arc<PublishedState>,
    state: Mutex<State>,
    /// Wakes statements that wait for tokens.
    tokens_changed: Notify,
    /// Wakes the sender of messages.
    messages_queued: Notify,
    is_available: watch::Sender<bool>,
}

#[derive(Debug)]
struct State {
    limiter: RateLimiter,
    allocation: Arc<Allocation>,
    /// Lanes that this instance has stopped spending because it transfers them.
    transferring: Vec<usize>,
    /// Messages that a received message caused but that go to an instance other than its sender.
    outbox: Vec<Envelope>,
}

impl SharedRateLimiter {
    /// Creates the rate limiter of an instance that holds no lanes yet.
    pub fn new(published: Arc<PublishedState>) -> Self {
        let local = published.local_instance();
        let limiter = RateLimiter::new(
            Arc::clone(&local.name),
            Arc::clone(&local.data_centre),
            local.incarnation,
            Config::default(),
        );
        let state = State {
            limiter,
            allocation: Arc::default(),
            transferring: Vec::new(),
            outbox: Vec::new(),
        };
        Self {
            published,
            state: Mutex::new(state),
            tokens_changed: Notify::new(),
            messages_queued: Notify::new(),
            is_available: watch::Sender::new(false),
        }
    }

    /// Waits until a demand is admitted or refused, and returns whether it is within the
    /// workspace's rate. Returns false if this is not known before the deadline.
    pub async fn admit(&self, demand: AdmissionRequest) -> bool {
        // Until this instance or a peer is known to hold lanes, no rate can be enforced.
        let mut is_available = self.is_available.subscribe();
        let available = is_available.wait_for(|is_available| *is_available);
        if timeout_at(demand.deadline.into(), available).await.is_err() {
            return false;
        }
        let mut is_new = true;
        loop {
            // Registered before the decision, so that a grant in between still wakes this task.
            let tokens_changed = self.tokens_changed.notified();
            let now = Instant::now();
            match self.try_admit(now, &demand, is_new) {
                Admission::Admitted => return true,
                Admission::Refused { .. } => return false,
                Admission::Wait { timeout } => {
                    let wait_deadline = demand.deadline.min(now + timeout);
                    if now >= demand.deadline {
                        return false;
                    }
                    let _ = timeout_at(wait_deadline.into(), tokens_changed).await;
                }
            }
            is_new = false;
        }
    }

    /// Takes tokens for a demand, or requests a loan; `is_new` is false for a repeated attempt.
    fn try_admit(&self, now: Instant, demand: &AdmissionRequest, is_new: bool) -> Admission {
        let AdmissionRequest {
            workspace,
            rate,
            cost,
            ..
        } = demand;
        let mut state = self.state.lock();
        let admission = if is_new {
            state.limiter.try_acquire(now, workspace, *rate, *cost)
        } else {
            state.limiter.retry_acquire(now, workspace, *rate, *cost)
        };
        let has_messages = state.limiter.has_messages();
        drop(state);
        if has_messages {
            self.messages_queued.notify_one();
        }
        admission
    }

    /// Handles messages of another instance and returns the replies to it. Resulting messages to
    /// other instances are queued.
    pub fn handle_messages(
        &self,
        now: Instant,
        from: &Arc<str>,
        messages: &[Message],
    ) -> Vec<Message> {
        let mut state = self.state.lock();
        let mut has_new_tokens = false;
        for message in messages {
            let rate = self.rate_of(message.workspace());
            has_new_tokens |= state.limiter.handle_message(now, from, message, rate);
        }
        drop(state);
        if has_new_tokens {
            self.tokens_changed.notify_waiters();
        }
        let (replies, others): (Vec<_>, Vec<_>) = self
            .drain_messages()
            .into_iter()
            .partition(|envelope| envelope.to == *from);
        self.queue_messages(others);
        replies
            .into_iter()
            .map(|envelope| envelope.message)
            .collect()
    }

    /// Removes and returns the messages to send.
    pub fn drain_messages(&self) -> Vec<Envelope> {
        let mut state = self.state.lock();
        let mut envelopes = std::mem::take(&mut state.outbox);
        envelopes.extend(state.limiter.drain());
        envelopes
    }

    fn queue_messages(&self, envelopes: Vec<Envelope>) {
        if !envelopes.is_empty() {
            self.state.lock().outbox.extend(envelopes);
            self.messages_queued.notify_one();
        }
    }

    /// Waits until there are messages to send.
    pub async fn wait_for_messages(&self) {
        self.messages_queued.notified().await;
    }

    /// Renews loans, drops idle buckets and applies changed rates.
    pub fn tick(&self, now: Instant) {
        let mut state = self.state.lock();
        state.limiter.tick(now, |workspace| self.rate_of(workspace));
        let has_messages = state.limiter.has_messages();
        metrics::gauge!("filbertbay_share_workspaces")
            .set(state.limiter.active_workspaces() as f64);
        drop(state);
        self.update_availability();
        if has_messages {
            self.messages_queued.notify_one();
        }
    }

    /// Returns the record of lane holders in use.
    pub fn allocation(&self) -> Arc<Allocation> {
        Arc::clone(&self.state.lock().allocation)
    }

    /// Returns a receiver of whether this instance can take or borrow tokens; it never turns false
    /// again.
    pub fn subscribe_available(&self) -> watch::Receiver<bool> {
        self.is_available.subscribe()
    }

    /// Applies a record of lane holders, unless its epoch is not newer than the one in use.
    pub fn apply_allocation(&self, now: Instant, allocation: Arc<Allocation>) {
        let mut state = self.state.lock();
        if allocation.epoch <= state.allocation.epoch {
            return;
        }
        metrics::gauge!("filbertbay_share_epoch").set(allocation.epoch as f64);
        state.limiter.apply_allocation(now, Arc::clone(&allocation));
        state.allocation = allocation;
        // Lanes that are being transferred must not be spent again.
        let State {
            limiter,
            transferring,
            ..
        } = &mut *state;
        for lane_index in transferring.iter() {
            limiter.release(*lane_index);
        }
        drop(state);
        self.update_availability();
        // Waiting statements may now be able to take or borrow tokens.
        self.tokens_changed.notify_waiters();
    }

    fn update_availability(&self) {
        if !*self.is_available.borrow() && self.has_reachable_lanes(&self.allocation()) {
            self.is_available.send_replace(true);
        }
    }

    /// Returns whether this instance or a peer that it can borrow from holds lanes.
    fn has_reachable_lanes(&self, allocation: &Allocation) -> bool {
        let local = self.published.local_instance();
        let instances = self.published.instances();
        allocation.lane_count(&local.name, local.incarnation) > 0
            || instances
                .iter()
                .any(|peer| allocation.lane_count(&peer.name, peer.incarnation) > 0)
    }

    /// Stops spending lanes that are about to be transferred, and returns the longest time for
    /// which loans backed by them may still be in use.
    pub fn begin_transfer(&self, lane_indices: &[usize]) -> Duration {
        let mut state = self.state.lock();
        for lane_index in lane_indices {
            state.limiter.release(*lane_index);
        }
        state.transferring = lane_indices.to_vec();
        state.limiter.max_loan_duration()
    }

    /// Ends a transfer of lanes. Lanes that the record still assigns to this instance are spent
    /// again, from empty buckets.
    pub fn end_transfer(&self, now: Instant) {
        let mut state = self.state.lock();
        state.transferring.clear();
        let allocation = Arc::clone(&state.allocation);
        state.limiter.apply_allocation(now, allocation);
    }

    /// Records that this instance was proven at `proven_at` to still hold its lanes.
    pub fn confirm_ownership(&self, proven_at: Instant) {
        self.state.lock().limiter.confirm_ownership(proven_at);
    }

    fn rate_of(&self, workspace: &str) -> Option<Rate> {
        let snapshot = self.published.snapshot();
        let id = snapshot.workspace(workspace)?;
        Some(snapshot[id].rate)
    }
}

/// Returns an instance in the form that the allocation names lane holders.
pub fn lane_holder(instance: &Instance) -> Holder {
    Holder {
        instance: Arc::clone(&instance.name),
        incarnation: instance.incarnation,
        data_centre: Arc::clone(&instance.data_centre),
    }
}
