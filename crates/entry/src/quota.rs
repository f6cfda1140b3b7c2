//! Rates of workspaces over all instances: the ledger of shares with its driver.
//!
//! The record of holders lies in the store and comes with the view. Messages between instances go
//! over their links. Nothing here waits for the store: without it the record stays as it is.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use filbertbay_coordination::share::{
    Admission, Allocation, Config, Envelope, Holder, Message, RateLimiter,
};
use filbertbay_coordination::succession::MAX_PRIMARY_LEASE;
use rand::Rng;
use slog::{info, warn};
use tokio::sync::Notify;

use crate::catalog::{Catalog, Workspace};
use crate::instance::Instance;
use crate::peer::CallError;
use crate::settings::Settings;
use crate::store::{Change, Swap};
use crate::view::SHARES_KEY;

/// Length of a loan, four round trips between the users' regions. The lanes of a restarted holder rest
/// for a little longer, during which nobody spends what they gain.
const LOAN: Duration = Duration::from_millis(160);

/// Time without proof after which an instance stops spending its lanes; shorter than the time after
/// which those of an instance that left the list pass on.
const FENCE: Duration = Duration::from_millis(9_500);

/// Time after a holder left the list before its lanes pass on; longer than a tenure.
const RECLAIM_AFTER: Duration = Duration::from_secs(12);

/// Time for which a workspace that is at its rate is refused without asking other instances again;
/// what its lanes gain meanwhile is kept for later.
const REFUSED_PAUSE: Duration = Duration::from_millis(60);

/// Time between two decisions on a statement that waits for the lanes of a process that has just
/// started; a workspace of 20 operations a second gains one token of its rate meanwhile.
const START_STEP: Duration = Duration::from_millis(50);

/// Time between two looks at loans.
const TICK: Duration = Duration::from_millis(200);

/// Time between two looks at the record of holders.
const RECORD_INTERVAL: Duration = Duration::from_millis(700);

/// Time for which no instance has come before the first record is written, so that a fleet that
/// starts together shares evenly.
const FIRST_RECORD_AFTER: Duration = Duration::from_millis(1_500);

/// Time by which each further instance waits for the one before it to write the record.
const STAGGER: Duration = Duration::from_millis(100);

/// Time by which claims of lanes are spread for each instance; a write takes 5 to 45 ms.
const CLAIM_STEP: Duration = Duration::from_millis(10);

/// Longest pause before a claim, in a large fleet; one write claims for all that are due.
const LONGEST_CLAIM_PAUSE: Duration = Duration::from_millis(200);

/// Time between two looks at the record while this instance holds no lanes.
const LANELESS_INTERVAL: Duration = Duration::from_millis(100);

/// Rates of the workspaces on one instance.
pub struct Quota {
    ledger: RefCell<RateLimiter>,
    rates: RefCell<BTreeMap<Arc<str>, filbertbay_state::document::Rate>>,
    /// Messages that arose while those of another instance were handled.
    posted: RefCell<Vec<Envelope>>,
    proven: Cell<Option<Instant>>,
    /// Workspaces at their rate, and until when nothing is asked for them again.
    refused: RefCell<BTreeMap<Arc<str>, (Instant, Duration)>>,
    /// Instances that left the last messages unanswered.
    silent: RefCell<BTreeSet<Arc<str>>>,
    answered: Notify,
    outgoing: Notify,
}

impl std::fmt::Debug for Quota {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Quota").finish_non_exhaustive()
    }
}

impl Quota {
    /// Creates the rates of an instance that was started at `started` and holds no lanes yet.
    pub fn new(settings: &Settings, incarnation: u64, started: Instant) -> Self {
        let config = Config::default()
            .refill_lease(LOAN)
            .token_lease(LOAN)
            .ownership_timeout(FENCE);
        let name = Arc::clone(&settings.name);
        let data_centre = Arc::clone(&settings.data_centre);
        let mut ledger = RateLimiter::new(name, data_centre, incarnation, config);
        ledger.set_unspent_since(started + ledger.max_loan_duration());
        Self {
            ledger: RefCell::new(ledger),
            rates: RefCell::default(),
            posted: RefCell::default(),
            proven: Cell::default(),
            refused: RefCell::default(),
            silent: RefCell::default(),
            answered: Notify::new(),
            outgoing: Notify::new(),
        }
    }

    /// Notes proof that this instance still holds its lanes.
    pub fn prove(&self, at: Instant) {
        self.ledger.borrow_mut().confirm_ownership(at);
        self.proven.set(self.proven.get().max(Some(at)));
    }

    /// Tells whether the proof is fresh enough for the lanes to be spent.
    pub fn is_ownership_confirmed(&self, now: Instant) -> bool {
        self.proven.get().is_some_and(|at| now < at + FENCE)
    }

    /// Takes a record of holders into use.
    pub fn adopt(&self, now: Instant, allocation: Option<&Arc<Allocation>>) {
        if let Some(allocation) = allocation {
            self.ledger
                .borrow_mut()
                .apply_allocation(now, Arc::clone(allocation));
        }
    }

    /// Takes the rates of a configuration into use.
    pub fn retune(&self, now: Instant, catalog: Option<&Catalog>) {
        let Some(catalog) = catalog else {
            return;
        };
        let rates = catalog.workspaces.iter();
        let rates = rates.map(|(name, workspace)| (Arc::clone(name), workspace.rate));
        *self.rates.borrow_mut() = rates.collect();
        self.tick(now);
    }

    /// Waits until an operation of a workspace may run, at most until `until`.
    ///
    /// # Errors
    ///
    /// Returns the time after which to come back if the workspace is at its rate.
    pub async fn admit(
        &self,
        instance: &Instance,
        workspace: &Workspace,
        until: Instant,
    ) -> Result<(), Duration> {
        let name = &workspace.name;
        let known = self.refused.borrow().get(name).copied();
        let known = known.filter(|(until, _)| instance.now() < *until);
        if let Some((_, retry_after)) = known.filter(|_| !instance.is_starting()) {
            return Err(retry_after);
        }
        let mut first = true;
        loop {
            let now = instance.now();
            let answered = self.answered.notified();
            let admission = {
                let mut ledger = self.ledger.borrow_mut();
                if first {
                    ledger.try_acquire(now, name, workspace.rate, 1)
                } else {
                    ledger.retry_acquire(now, name, workspace.rate, 1)
                }
            };
            first = false;
            self.signal();
            match admission {
                Admission::Admitted => return Ok(()),
                // The lanes of a process that has just started are still empty.
                Admission::Refused { .. } if instance.is_starting() && now + START_STEP < until => {
                    tokio::time::sleep(START_STEP).await;
                }
                Admission::Refused { retry_after } => {
                    let until = now + retry_after.min(REFUSED_PAUSE);
                    let mut refused = self.refused.borrow_mut();
                    refused.insert(Arc::clone(name), (until, retry_after));
                    return Err(retry_after);
                }
                Admission::Wait { timeout: wait } if now >= until => return Err(wait),
                Admission::Wait { timeout: wait } => {
                    let wait = wait.min(until.saturating_duration_since(now));
                    // Either end of the wait leads to the next decision.
                    let _ = tokio::time::timeout(wait, answered).await;
                }
            }
        }
    }

    /// Handles messages of another instance and returns the answers to it.
    pub fn receive(&self, now: Instant, from: &Arc<str>, messages: &[Message]) -> Vec<Message> {
        let mut ledger = self.ledger.borrow_mut();
        let mut is_answered = false;
        for message in messages {
            let rate = self.rates.borrow().get(message.workspace()).copied();
            is_answered |= ledger.handle_message(now, from, message, rate);
        }
        let (back, rest): (Vec<_>, Vec<_>) =
            ledger.drain().partition(|envelope| envelope.to == *from);
        drop(ledger);
        if is_answered {
            self.answered.notify_waiters();
        }
        self.posted.borrow_mut().extend(rest);
        self.signal();
        back.into_iter().map(|envelope| envelope.message).collect()
    }

    fn signal(&self) {
        let waits = self.ledger.borrow().has_messages() || !self.posted.borrow().is_empty();
        if waits {
            self.outgoing.notify_one();
        }
    }

    /// Removes and returns the messages that must be sent.
    fn drain(&self) -> Vec<Envelope> {
        let mut envelopes = std::mem::take(&mut *self.posted.borrow_mut());
        envelopes.extend(self.ledger.borrow_mut().drain());
        envelopes
    }

    fn tick(&self, now: Instant) {
        let rates = self.rates.borrow();
        let rate_of = |name: &Arc<str>| rates.get(name).copied();
        self.ledger.borrow_mut().tick(now, rate_of);
        self.signal();
    }
}

/// Spawns the tasks that carry messages and keep the record of holders.
pub fn spawn(instance: &Rc<Instance>) {
    tokio::task::spawn_local(send_all(Rc::clone(instance)));
    tokio::task::spawn_local(tick_all(Rc::clone(instance)));
    let keeper = Keeper {
        instance: Rc::clone(instance),
        live: Vec::new(),
        changed: instance.now(),
        absent: BTreeMap::new(),
    };
    tokio::task::spawn_local(keeper.run());
}

async fn tick_all(instance: Rc<Instance>) {
    loop {
        tokio::time::sleep(TICK).await;
        if instance.quota.ledger.borrow().active_workspaces() > 0 {
            instance.quota.tick(instance.now());
        }
    }
}

async fn send_all(instance: Rc<Instance>) {
    loop {
        instance.quota.outgoing.notified().await;
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
    // A message to an instance that is gone is lost, as any message may be.
    let Some(address) = address else {
        return;
    };
    let own = Arc::clone(&instance.settings().name);
    let answers = instance.peers.share(address, own, messages).await;
    note_answer(&instance, &to, answers.as_ref().err());
    if let Ok(answers) = answers {
        let rest = instance.quota.receive(instance.now(), &to, &answers);
        instance
            .quota
            .posted
            .borrow_mut()
            .extend(rest.into_iter().map(|message| Envelope {
                to: Arc::clone(&to),
                message,
            }));
        instance.quota.signal();
    }
}

/// Logs when an instance stops to answer about shares, and when it answers again.
fn note_answer(instance: &Instance, peer: &Arc<str>, error: Option<&CallError>) {
    let mut silent = instance.quota.silent.borrow_mut();
    silent.retain(|name| instance.view.borrow().peers().contains_key(name));
    match error {
        Some(error) if silent.insert(Arc::clone(peer)) => {
            info!(instance.log, "shares of an instance lost"; "peer" => peer.as_ref(),
                "error" => %error);
        }
        None if silent.remove(peer) => {
            info!(instance.log, "shares of an instance reached"; "peer" => peer.as_ref());
        }
        _ => {}
    }
}

/// Keeps the record of holders.
struct Keeper {
    instance: Rc<Instance>,
    /// Live instances at the last look, and when they last changed.
    live: Vec<Holder>,
    changed: Instant,
    absent: BTreeMap<(Arc<str>, u64), Instant>,
}

impl Keeper {
    async fn run(mut self) {
        loop {
            tokio::time::sleep(self.interval()).await;
            let now = self.instance.now();
            let live = self.look(now);
            let is_known = self.instance.view.borrow().primary_lease.is_valid(now);
            if !is_known || self.instance.is_draining() {
                continue;
            }
            let record = self.instance.view.borrow().shares().cloned();
            self.note_absent(now, record.as_deref(), &live);
            match record {
                None => self.write_first(now, &live).await,
                Some(record) => self.maintain(now, &record, &live).await,
            }
        }
    }

    fn interval(&self) -> Duration {
        let name = Arc::clone(&self.instance.settings().name);
        let view = self.instance.view.borrow();
        let holds = view
            .shares()
            .is_some_and(|record| record.lane_count(&name, self.instance.incarnation) > 0);
        if holds {
            RECORD_INTERVAL
        } else {
            LANELESS_INTERVAL
        }
    }

    /// Returns the live instances in the order of their names.
    fn look(&mut self, now: Instant) -> Vec<Holder> {
        let view = self.instance.view.borrow();
        let live: Vec<Holder> = view
            .peers()
            .iter()
            .map(|(name, peer)| Holder {
                instance: Arc::clone(name),
                incarnation: peer.incarnation,
                data_centre: Arc::clone(&peer.data_centre),
            })
            .collect();
        drop(view);
        if self.live != live {
            self.live.clone_from(&live);
            self.changed = now;
        }
        live
    }

    fn note_absent(&mut self, now: Instant, record: Option<&Allocation>, live: &[Holder]) {
        let holders = record.map_or(&[][..], |record| &record.holders);
        let absent = holders.iter().filter(|one| !live.contains(one));
        let noted = absent.map(|one| {
            let key = (Arc::clone(&one.instance), one.incarnation);
            let since = self.absent.get(&key).copied().unwrap_or(now);
            (key, since)
        });
        self.absent = noted.collect();
    }

    /// Waits for the instances before this one to act, and tells whether they did not.
    async fn takes_turn(&self, live: &[Holder]) -> bool {
        let name = &self.instance.settings().name;
        let before = live.iter().take_while(|one| one.instance != *name).count();
        let epoch = || self.instance.view.borrow().shares().map(|one| one.epoch);
        let seen = epoch();
        tokio::time::sleep(STAGGER * u32::try_from(before).unwrap_or(u32::MAX)).await;
        epoch() == seen
    }

    async fn write_first(&self, now: Instant, live: &[Holder]) {
        let is_settled = now.saturating_duration_since(self.changed) >= FIRST_RECORD_AFTER;
        if !is_settled || !self.takes_turn(live).await {
            return;
        }
        let instances: Vec<(&str, u64, &str)> = live
            .iter()
            .map(|one| {
                let data_centre = one.data_centre.as_ref();
                (one.instance.as_ref(), one.incarnation, data_centre)
            })
            .collect();
        self.swap(Allocation::even(&instances), 0).await;
    }

    /// Passes lanes of dead holders on, and gives lanes away.
    async fn maintain(&self, now: Instant, record: &Allocation, live: &[Holder]) {
        if self.reclaimed(now, record, live).is_some() {
            let has_own = record.holders.iter().any(|one| self.precedes(one));
            if has_own {
                tokio::time::sleep(claim_pause(live)).await;
            } else if !self.takes_turn(live).await {
                return;
            }
            // Others may have claimed theirs meanwhile.
            let record = self.instance.view.borrow().shares().cloned();
            let now = self.instance.now();
            if let Some(next) = record.and_then(|record| self.reclaimed(now, &record, live)) {
                self.swap(next, self.revision()).await;
            }
            return;
        }
        let name = Arc::clone(&self.instance.settings().name);
        let Some(own) = live.iter().find(|one| one.instance == name) else {
            return;
        };
        let slots = record.surplus(own, live);
        if !slots.is_empty() {
            self.give(own, &slots, live).await;
        }
    }

    /// Returns the record in which the lanes of dead holders pass on, if there are any.
    fn reclaimed(&self, now: Instant, record: &Allocation, live: &[Holder]) -> Option<Allocation> {
        let all_dead = !record.holders.iter().any(|one| live.contains(one));
        record.reclaimed(live, |one| self.is_dead(now, one, live, all_dead))
    }

    fn is_dead(&self, now: Instant, one: &Holder, live: &[Holder], all_dead: bool) -> bool {
        let key = (Arc::clone(&one.instance), one.incarnation);
        let Some(since) = self.absent.get(&key) else {
            return false;
        };
        if self.precedes(one) && !all_dead {
            return now >= self.instance.clock.started_at() + self.settling();
        }
        let has_successor = live
            .iter()
            .any(|other| other.instance == one.instance && other.incarnation != one.incarnation);
        // Loans of the dead rest with live holders only; where there are none, nothing is waited for.
        let wait = match (has_successor, all_dead) {
            (true, true) => Duration::ZERO,
            (true, false) => self.settling(),
            (false, _) => RECLAIM_AFTER,
        };
        now.saturating_duration_since(*since) >= wait
    }

    /// Returns the time after the end of a process until no loan of its lanes stands.
    fn settling(&self) -> Duration {
        self.instance.quota.ledger.borrow().max_loan_duration()
    }

    /// Tells whether this is an earlier incarnation of this instance.
    fn precedes(&self, one: &Holder) -> bool {
        let name = &self.instance.settings().name;
        one.instance == *name && one.incarnation != self.instance.incarnation
    }

    /// Gives lanes away: stops spending them, waits, then names the heirs.
    async fn give(&self, own: &Holder, slots: &[usize], live: &[Holder]) {
        {
            let mut ledger = self.instance.quota.ledger.borrow_mut();
            for slot in slots {
                ledger.release(*slot);
            }
        }
        tokio::time::sleep(self.settling()).await;
        let record = self.instance.view.borrow().shares().cloned();
        let Some(record) = record else {
            return;
        };
        // A swap without an answer may still take effect, so the lanes rest until the record shows
        // who holds them; an unchanged record gives them back.
        let next = record.transferred(own, slots, live);
        if !self.swap(next, self.revision()).await {
            tokio::time::sleep(MAX_PRIMARY_LEASE).await;
            let now = self.instance.now();
            self.instance
                .quota
                .adopt(now, self.instance.view.borrow().shares());
        }
    }

    fn revision(&self) -> u64 {
        let view = self.instance.view.borrow();
        view.item(SHARES_KEY).map_or(0, |item| item.revision)
    }

    /// Replaces the record, and tells whether the store confirmed it.
    async fn swap(&self, next: Allocation, expected: u64) -> bool {
        let value = match serde_json::to_vec(&next) {
            Ok(value) => Bytes::from(value),
            Err(error) => {
                warn!(self.instance.log, "record of shares can't be written"; "error" => %error);
                return false;
            }
        };
        let change = Change {
            key: SHARES_KEY,
            expected: Some(expected),
            value: Some(value),
            lease: None,
        };
        match self.instance.drivers.store.swap(change).await {
            Ok(Swap::Done(revision)) => {
                info!(self.instance.log, "record of shares written"; "epoch" => next.epoch,
                    "revision" => revision);
                self.instance
                    .quota
                    .adopt(self.instance.now(), Some(&Arc::new(next)));
                true
            }
            Ok(Swap::Conflict) => false,
            Err(error) => {
                warn!(self.instance.log, "record of shares not confirmed"; "error" => %error);
                false
            }
        }
    }
}

/// Returns the pause before the lanes of an earlier incarnation are claimed, which spreads the claims
/// of a fleet that starts together.
fn claim_pause(live: &[Holder]) -> Duration {
    let claims = u32::try_from(live.len()).unwrap_or(u32::MAX);
    let longest = (CLAIM_STEP * claims).min(LONGEST_CLAIM_PAUSE);
    longest.mul_f64(rand::rng().random())
}
