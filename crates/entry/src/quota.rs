//! Rate limits of workspaces across all instances: drives the distributed rate limiter.
//!
//! The allocation of lanes to instances is kept in the store and arrives with the view. Instances
//! exchange messages about loans over their peer connections. Admission never waits for the store;
//! while it is unavailable, the allocation stays unchanged.

mod keeper;

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use filbertbay_coordination::share::{
    Admission, Allocation, Config, Envelope, Message, RateLimiter,
};
use slog::info;
use tokio::sync::Notify;

use self::keeper::AllocationKeeper;
use crate::catalog::{Catalog, Workspace};
use crate::instance::Instance;
use crate::peer::CallError;
use crate::settings::Settings;
use crate::task;

/// Duration of a loan, four round trips between the users' regions. After a restart of the holder its
/// lanes stay unused for slightly longer, and no instance spends their refill meanwhile.
const LOAN_DURATION: Duration = Duration::from_millis(160);

/// Time without proof of ownership after which an instance stops spending its lanes. Shorter than
/// [`keeper::RECLAIM_DELAY`], so that a lane is never spent by two instances.
const OWNERSHIP_TIMEOUT: Duration = Duration::from_millis(9_500);

/// The part of [`Settings::rate_slack`] that rate limiters grant is one divided by this. The rest
/// covers reads that are sent to a second endpoint, and statements that reach theirs late.
const RATE_SLACK_DIVISOR: u64 = 2;

/// Longest time for which a workspace at its rate limit is refused without new loan requests. Its
/// lanes keep gaining tokens meanwhile.
const MAX_REFUSAL_CACHE_TIME: Duration = Duration::from_millis(60);

/// Interval at which a refused statement is retried while the process starts and its lanes are still
/// empty. A workspace of 20 operations a second gains one token in this time.
const STARTUP_RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Interval of the rate limiter's periodic work.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Rate limits of the workspaces on one instance.
pub struct Quota {
    limiter: RefCell<RateLimiter>,
    rates: RefCell<BTreeMap<Arc<str>, filbertbay_state::document::Rate>>,
    /// Outgoing messages produced while messages of another instance were handled.
    outbox: RefCell<Vec<Envelope>>,
    ownership_confirmed_at: Cell<Option<Instant>>,
    /// Workspaces at their rate limit, with the end of the cached refusal and the retry delay reported
    /// to callers.
    refusals: RefCell<BTreeMap<Arc<str>, (Instant, Duration)>>,
    /// Instances that did not answer the last messages.
    unresponsive: RefCell<BTreeSet<Arc<str>>>,
    reply_received: Notify,
    outbox_ready: Notify,
}

impl std::fmt::Debug for Quota {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Quota").finish_non_exhaustive()
    }
}

impl Quota {
    /// Creates the rate limits of an instance that started at `started` and holds no lanes yet.
    pub fn new(settings: &Settings, incarnation: u64, started: Instant) -> Self {
        let config = Config::default()
            .refill_lease(LOAN_DURATION)
            .token_lease(LOAN_DURATION)
            .ownership_timeout(OWNERSHIP_TIMEOUT)
            .tolerance(settings.rate_slack / RATE_SLACK_DIVISOR);
        let name = Arc::clone(&settings.name);
        let data_centre = Arc::clone(&settings.data_centre);
        let mut limiter = RateLimiter::new(name, data_centre, incarnation, config);
        limiter.set_unspent_since(started + limiter.max_loan_duration());
        Self {
            limiter: RefCell::new(limiter),
            rates: RefCell::default(),
            outbox: RefCell::default(),
            ownership_confirmed_at: Cell::default(),
            refusals: RefCell::default(),
            unresponsive: RefCell::default(),
            reply_received: Notify::new(),
            outbox_ready: Notify::new(),
        }
    }

    /// Records proof, as of `at`, that this instance still owns its lanes.
    pub fn confirm_ownership(&self, at: Instant) {
        self.limiter.borrow_mut().confirm_ownership(at);
        self.ownership_confirmed_at
            .set(self.ownership_confirmed_at.get().max(Some(at)));
    }

    /// Returns whether the proof of ownership is recent enough for the lanes to be spent.
    pub fn is_ownership_confirmed(&self, now: Instant) -> bool {
        self.ownership_confirmed_at
            .get()
            .is_some_and(|at| now < at + OWNERSHIP_TIMEOUT)
    }

    /// Applies an allocation of lanes to instances.
    pub fn apply_allocation(&self, now: Instant, allocation: Option<&Arc<Allocation>>) {
        if let Some(allocation) = allocation {
            self.limiter
                .borrow_mut()
                .apply_allocation(now, Arc::clone(allocation));
        }
    }

    /// Applies the rates of a configuration.
    pub fn apply_rates(&self, now: Instant, catalog: Option<&Catalog>) {
        let Some(catalog) = catalog else {
            return;
        };
        let rates = catalog.workspaces.iter();
        let rates = rates.map(|(name, workspace)| (Arc::clone(name), workspace.rate));
        *self.rates.borrow_mut() = rates.collect();
        self.tick(now);
    }

    /// Waits until the rate limit admits an operation of a workspace, at most until `until`.
    ///
    /// # Errors
    ///
    /// Returns the delay after which to retry if the workspace is at its rate limit.
    pub async fn admit(
        &self,
        instance: &Instance,
        workspace: &Workspace,
        until: Instant,
    ) -> Result<(), Duration> {
        let name = &workspace.name;
        let known = self.refusals.borrow().get(name).copied();
        let known = known.filter(|(until, _)| instance.now() < *until);
        if let Some((_, retry_after)) = known.filter(|_| !instance.is_starting()) {
            return Err(retry_after);
        }
        let mut is_first_attempt = true;
        loop {
            let now = instance.now();
            let reply_received = self.reply_received.notified();
            let admission = {
                let mut limiter = self.limiter.borrow_mut();
                if is_first_attempt {
                    limiter.try_acquire(now, name, workspace.rate, 1)
                } else {
                    limiter.retry_acquire(now, name, workspace.rate, 1)
                }
            };
            is_first_attempt = false;
            self.notify_sender();
            match admission {
                Admission::Admitted => return Ok(()),
                // The lanes of a starting process are still empty.
                Admission::Refused { .. }
                    if instance.is_starting() && now + STARTUP_RETRY_INTERVAL < until =>
                {
                    tokio::time::sleep(STARTUP_RETRY_INTERVAL).await;
                }
                Admission::Refused { retry_after } => {
                    let until = now + retry_after.min(MAX_REFUSAL_CACHE_TIME);
                    let mut refusals = self.refusals.borrow_mut();
                    refusals.insert(Arc::clone(name), (until, retry_after));
                    return Err(retry_after);
                }
                Admission::Wait { timeout: wait } if now >= until => return Err(wait),
                Admission::Wait { timeout: wait } => {
                    let wait = wait.min(until.saturating_duration_since(now));
                    // A timeout and a reply both lead to the next decision.
                    let _ = tokio::time::timeout(wait, reply_received).await;
                }
            }
        }
    }

    /// Handles messages of another instance and returns the replies to it; messages to further
    /// instances are queued.
    pub fn handle_messages(
        &self,
        now: Instant,
        from: &Arc<str>,
        messages: &[Message],
    ) -> Vec<Message> {
        let mut limiter = self.limiter.borrow_mut();
        let mut has_reply = false;
        for message in messages {
            let rate = self.rates.borrow().get(message.workspace()).copied();
            has_reply |= limiter.handle_message(now, from, message, rate);
        }
        let (replies, rest): (Vec<_>, Vec<_>) =
            limiter.drain().partition(|envelope| envelope.to == *from);
        drop(limiter);
        if has_reply {
            self.reply_received.notify_waiters();
        }
        self.outbox.borrow_mut().extend(rest);
        self.notify_sender();
        replies
            .into_iter()
            .map(|envelope| envelope.message)
            .collect()
    }

    fn notify_sender(&self) {
        let has_outgoing = self.limiter.borrow().has_messages() || !self.outbox.borrow().is_empty();
        if has_outgoing {
            self.outbox_ready.notify_one();
        }
    }

    /// Removes and returns all outgoing messages.
    fn drain(&self) -> Vec<Envelope> {
        let mut envelopes = std::mem::take(&mut *self.outbox.borrow_mut());
        envelopes.extend(self.limiter.borrow_mut().drain());
        envelopes
    }

    fn tick(&self, now: Instant) {
        let rates = self.rates.borrow();
        let rate_of = |name: &Arc<str>| rates.get(name).copied();
        self.limiter.borrow_mut().tick(now, rate_of);
        self.notify_sender();
    }
}

/// Spawns the tasks that send messages and maintain the allocation.
pub fn spawn(instance: &Rc<Instance>) {
    let shared = Rc::clone(instance);
    task::spawn(&instance.log, "rate messages", move || {
        send_all(Rc::clone(&shared))
    });
    let shared = Rc::clone(instance);
    task::spawn(&instance.log, "rate ticks", move || {
        tick_all(Rc::clone(&shared))
    });
    let shared = Rc::clone(instance);
    task::spawn(&instance.log, "allocation", move || {
        AllocationKeeper::new(Rc::clone(&shared)).run()
    });
}

async fn tick_all(instance: Rc<Instance>) {
    loop {
        tokio::time::sleep(TICK_INTERVAL).await;
        if instance.quota.limiter.borrow().active_workspaces() > 0 {
            instance.quota.tick(instance.now());
        }
    }
}

async fn send_all(instance: Rc<Instance>) {
    loop {
        instance.quota.outbox_ready.notified().await;
        let mut by_instance: BTreeMap<Arc<str>, Vec<Message>> = BTreeMap::new();
        for envelope in instance.quota.drain() {
            let messages = by_instance.entry(envelope.to).or_default();
            messages.push(envelope.message);
        }
        for (name, messages) in by_instance {
            tokio::task::spawn_local(send(Rc::clone(&instance), name, messages));
        }
    }
}

async fn send(instance: Rc<Instance>, to: Arc<str>, messages: Vec<Message>) {
    metrics::counter!("filbertbay_share_messages_total").increment(messages.len() as u64);
    let address = instance
        .view
        .borrow()
        .peers()
        .get(&to)
        .map(|peer| peer.address);
    // Messages may be lost; one to a removed instance always is.
    let Some(address) = address else {
        return;
    };
    let own = Arc::clone(&instance.settings().name);
    let answers = instance.peers.share(address, own, messages).await;
    log_reachability(&instance, &to, answers.as_ref().err());
    if let Ok(answers) = answers {
        let rest = instance
            .quota
            .handle_messages(instance.now(), &to, &answers);
        instance
            .quota
            .outbox
            .borrow_mut()
            .extend(rest.into_iter().map(|message| Envelope {
                to: Arc::clone(&to),
                message,
            }));
        instance.quota.notify_sender();
    }
}

/// Records whether an instance answers rate limiter messages, and logs the transitions.
fn log_reachability(instance: &Instance, peer: &Arc<str>, error: Option<&CallError>) {
    let mut unresponsive = instance.quota.unresponsive.borrow_mut();
    unresponsive.retain(|name| instance.view.borrow().peers().contains_key(name));
    match error {
        Some(error) if unresponsive.insert(Arc::clone(peer)) => {
            info!(instance.log, "shares of an instance lost"; "peer" => peer.as_ref(),
                "error" => %error);
        }
        None if unresponsive.remove(peer) => {
            info!(instance.log, "shares of an instance reached"; "peer" => peer.as_ref());
        }
        _ => {}
    }
}
