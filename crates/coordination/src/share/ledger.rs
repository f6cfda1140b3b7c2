use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use filbertbay_state::document::Rate;

use super::account::{Account, Need};
use super::entry::{Entry, LONGEST_PAUSE, Pending};
use super::{
    Allocation, Config, Fraction, Holder, LANES, LoanDenial, LoanGrant, LoanRequest, LoanReturn,
    MICROTOKENS_PER_TOKEN, Message, SHARDS,
};

/// Messages that wait for the driver; with more waiting no further question is asked.
const MAX_OUTBOX: usize = 4_096;

/// Shortest time after which a waiting statement is decided again.
const SHORTEST_WAIT: Duration = Duration::from_millis(1);

/// Time for which an instance that left a question unanswered is asked after all others; a statement
/// waits for one answer or two.
const SILENCE: Duration = Duration::from_secs(2);

/// Number of bits by which an incarnation is shifted to start the numbers of its questions.
const INCARNATION_SHIFT: u32 = 20;

/// Decision on one statement.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// The statement may run; its tokens are spent.
    Admitted,
    /// Tokens have been asked for or are about to be there; [`RateLimiter::retry_acquire`] decides again when
    /// an answer came, at the latest after `wait`.
    Wait {
        /// Time after which to decide again.
        timeout: Duration,
    },
    /// The workspace is at its rate; the statement must not run.
    Refused {
        /// Time after which tokens may be there.
        retry_after: Duration,
    },
}

/// Message and the instance that it goes to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Envelope {
    /// Name of the instance.
    pub to: Arc<str>,
    /// What it is told.
    pub message: Message,
}

/// Buckets of all workspaces that are active on one instance.
///
/// Workspaces are independent of each other, so a driver may keep several ledgers and give each the
/// workspaces of some groups, to let threads decide side by side.
#[derive(Debug)]
pub struct RateLimiter {
    name: Arc<str>,
    data_centre: Arc<str>,
    incarnation: u64,
    config: Config,
    allocation: Arc<Allocation>,
    counts: Vec<u8>,
    since: BTreeMap<usize, Instant>,
    inherits_from: Option<Instant>,
    fenced_from: Option<Instant>,
    entries: HashMap<Arc<str>, Entry>,
    /// Instances that left the last question unanswered, and when that showed.
    silent: BTreeMap<Arc<str>, Instant>,
    outbox: VecDeque<Envelope>,
    next_id: u64,
}

impl RateLimiter {
    /// Opens an empty ledger, which holds no lanes yet.
    pub fn new<N, D>(name: N, data_centre: D, incarnation: u64, config: Config) -> Self
    where
        N: Into<Arc<str>>,
        D: Into<Arc<str>>,
    {
        Self {
            name: name.into(),
            data_centre: data_centre.into(),
            incarnation,
            config,
            allocation: Arc::default(),
            counts: vec![0; SHARDS],
            since: BTreeMap::new(),
            inherits_from: None,
            fenced_from: None,
            entries: HashMap::new(),
            silent: BTreeMap::new(),
            outbox: VecDeque::new(),
            next_id: incarnation << INCARNATION_SHIFT,
        }
    }

    /// Notes a moment from which neither an earlier incarnation of this instance nor a loan of its
    /// lanes can have spent anything. Lanes that pass on from it have filled since then.
    pub fn set_unspent_since(&mut self, since: Instant) {
        self.inherits_from = Some(since);
    }

    /// Takes a record of holders into use, unless a newer one is.
    ///
    /// Buckets of lanes that are new to this instance start empty, but for those of its own earlier
    /// incarnation after [`RateLimiter::set_unspent_since`].
    pub fn apply_allocation(&mut self, now: Instant, allocation: Arc<Allocation>) {
        if allocation.epoch < self.allocation.epoch {
            return;
        }
        let held = |slot: &usize| {
            let holder = allocation.holder(*slot);
            holder.is_some_and(|holder| holder.is_incarnation(&self.name, self.incarnation))
        };
        let slots: Vec<usize> = (0..SHARDS * LANES).filter(held).collect();
        // A record that was missed may have named another holder, who spent what the lanes gained.
        let follows = allocation.epoch == self.allocation.epoch + 1;
        let inherits_from = self.inherits_from.filter(|since| follows && *since < now);
        let known = std::mem::take(&mut self.since);
        let fresh: BTreeMap<usize, Instant> = slots
            .iter()
            .filter(|slot| !known.contains_key(slot))
            .map(|slot| (*slot, self.filling_since(now, *slot, inherits_from)))
            .collect();
        let since = |slot: usize| Some((slot, *known.get(&slot).or(fresh.get(&slot))?));
        self.since = slots.into_iter().filter_map(since).collect();
        self.allocation = allocation;
        self.count_lanes();
        self.credit(now, &fresh);
    }

    /// Returns since when a lane that is new to this instance has filled.
    fn filling_since(&self, now: Instant, slot: usize, inherits_from: Option<Instant>) -> Instant {
        let former = self.allocation.holder(slot);
        let is_own = former.is_some_and(|former| former.instance == self.name);
        inherits_from.filter(|_| is_own).unwrap_or(now)
    }

    /// Adds what new lanes have gained to the accounts that are open already.
    fn credit(&mut self, now: Instant, fresh: &BTreeMap<usize, Instant>) {
        let fenced = self.fenced_from.is_none_or(|from| now >= from);
        for entry in self.entries.values_mut() {
            let micros = gained(fresh, now, entry.group, entry.account.rate());
            if micros > 0 {
                let base = owned_fraction(&self.counts, entry.group, fenced);
                entry.account.credit(now, base, micros);
            }
        }
    }

    /// Stops spending a lane that is about to pass to another instance.
    ///
    /// Adopting a record that still names this instance takes the lane up again, empty; a driver that
    /// adopts records while it gives lanes away must release them again before the next decision.
    ///
    /// Loans that rest on the lane have ended after [`RateLimiter::max_loan_duration`]; only then may the record
    /// name another holder.
    pub fn release(&mut self, slot: usize) {
        self.since.remove(&slot);
        self.count_lanes();
    }

    /// Returns the time after which no loan rests on a released lane any more.
    pub fn max_loan_duration(&self) -> Duration {
        super::loan::guarded(self.config.refill_lease.max(self.config.token_lease))
    }

    /// Notes proof, as fresh as `proved`, that this instance still holds its lanes.
    ///
    /// Without fresh proof the lanes are not spent from [`Config::ownership_timeout`] after the last one. The
    /// limit is compared with the time of each decision, so a pause of the process is noticed by
    /// the first decision after it.
    pub fn confirm_ownership(&mut self, proved: Instant) {
        let until = proved + self.config.ownership_timeout;
        self.fenced_from = Some(self.fenced_from.map_or(until, |from| from.max(until)));
    }

    /// Decides whether a new statement of a workspace may run.
    pub fn try_acquire(
        &mut self,
        now: Instant,
        workspace: &Arc<str>,
        rate: Rate,
        cost: u64,
    ) -> Admission {
        self.decide(now, workspace, rate, cost, true)
    }

    /// Decides again on a statement that waited after [`Admission::Wait`].
    pub fn retry_acquire(
        &mut self,
        now: Instant,
        workspace: &Arc<str>,
        rate: Rate,
        cost: u64,
    ) -> Admission {
        self.decide(now, workspace, rate, cost, false)
    }

    /// Handles a message of another instance, and tells whether waiting statements of the
    /// workspace should be decided again.
    ///
    /// `rate` is the workspace's rate in this instance's configuration, if it has the workspace.
    pub fn handle_message(
        &mut self,
        now: Instant,
        from: &Arc<str>,
        message: &Message,
        rate: Option<Rate>,
    ) -> bool {
        let Some(rate) = rate else {
            self.deny_unknown(from, message);
            return false;
        };
        self.refresh(now, message.workspace(), rate);
        self.silent.remove(from);
        match message {
            Message::Request(ask) => self.answer(now, from, ask),
            Message::Grant(grant) => return self.accept(now, from, grant),
            Message::Deny(deny) => return self.pause(now, from, deny),
            Message::Return(back) => self.recover(from, back),
        }
        false
    }

    /// Renews loans that are still needed and drops the buckets of idle workspaces.
    ///
    /// The driver calls this a few times in each lease and when the configuration has changed, so
    /// that a lower rate is in force at once. `rate_of` tells the present rate of a workspace.
    pub fn tick<F>(&mut self, now: Instant, rate_of: F)
    where
        F: Fn(&Arc<str>) -> Option<Rate>,
    {
        let names: Vec<Arc<str>> = self.entries.keys().cloned().collect();
        for name in names {
            self.maintain(now, &name, rate_of(&name).unwrap_or_default());
        }
        self.entries.retain(|_, entry| !entry.is_idle());
    }

    /// Removes and returns the messages that the driver must send.
    pub fn drain(&mut self) -> impl Iterator<Item = Envelope> {
        self.outbox.drain(..)
    }

    /// Returns whether messages wait for the driver.
    pub fn has_messages(&self) -> bool {
        !self.outbox.is_empty()
    }

    /// Returns the number of workspaces with a bucket of their own.
    pub fn active_workspaces(&self) -> usize {
        self.entries.len()
    }

    fn decide(
        &mut self,
        now: Instant,
        workspace: &Arc<str>,
        rate: Rate,
        cost: u64,
        first: bool,
    ) -> Admission {
        self.refresh(now, workspace, rate);
        let Some(entry) = self.entries.get_mut(workspace) else {
            return Admission::Refused {
                retry_after: LONGEST_PAUSE,
            };
        };
        let micros = cost.saturating_mul(MICROTOKENS_PER_TOKEN);
        let runs = entry.account.take(now, micros, first);
        let low = !runs || entry.account.is_low(now);
        if runs && entry.account.has_borrowed() {
            let sparse = entry.account.is_sparse(now, &self.config);
            self.give_back(workspace, sparse);
        }
        if low && cost <= rate.burst {
            self.ask(now, workspace, micros);
        }
        if runs {
            return Admission::Admitted;
        }
        self.wait_or_refuse(now, workspace, micros)
    }

    fn wait_or_refuse(&self, now: Instant, workspace: &Arc<str>, micros: u64) -> Admission {
        let entry = &self.entries[workspace];
        let open = entry.pending.iter().filter(|pending| !pending.renews);
        if let Some(last) = open.map(|pending| pending.asked).max() {
            let deadline = last + self.config.request_timeout;
            return Admission::Wait {
                timeout: deadline.saturating_duration_since(now),
            };
        }
        let own = entry.account.wait_for(micros);
        let pauses = entry.pauses.iter();
        let other = pauses
            .map(|pause| pause.until.saturating_duration_since(now))
            .min();
        let wait = own.min(other.unwrap_or(own));
        if wait < self.config.max_wait {
            return Admission::Wait {
                timeout: wait.max(SHORTEST_WAIT),
            };
        }
        Admission::Refused {
            retry_after: wait.min(LONGEST_PAUSE),
        }
    }

    /// Opens the account of a workspace if need be and brings it to `now`.
    fn refresh(&mut self, now: Instant, workspace: &Arc<str>, rate: Rate) {
        let fenced = self.fenced_from.is_none_or(|from| now >= from);
        if let Some(entry) = self.entries.get_mut(workspace) {
            let base = owned_fraction(&self.counts, entry.group, fenced);
            entry.account.refresh(now, rate, base);
            let lost = entry.forget(now, self.config.request_timeout);
            self.silent.extend(lost.into_iter().map(|peer| (peer, now)));
            return;
        }
        let group = Allocation::shard_of(workspace);
        let base = owned_fraction(&self.counts, group, fenced);
        let tokens = gained(&self.since, now, group, rate);
        let entry = Entry {
            account: Account::open(now, rate, base, tokens),
            group,
            pending: Vec::new(),
            pauses: Vec::new(),
        };
        self.entries.insert(Arc::clone(workspace), entry);
    }

    fn ask(&mut self, now: Instant, workspace: &Arc<str>, micros: u64) {
        let Some(entry) = self.entries.get_mut(workspace) else {
            return;
        };
        let need = entry.account.need(now, micros, &self.config);
        let targets = targets(&self.allocation, entry.group, &self.name, &self.data_centre);
        let mut free: Vec<Arc<str>> = targets.filter(|peer| entry.may_ask(now, peer)).collect();
        // Another workspace may have found out that an instance is gone or cut off.
        free.sort_by_key(|peer| {
            let silent = self.silent.get(peer);
            silent.is_some_and(|since| now.saturating_duration_since(*since) < SILENCE)
        });
        let open = entry
            .pending
            .iter()
            .filter(|pending| !pending.renews)
            .count();
        let count = need.lenders.saturating_sub(open);
        let need = Need {
            rate: need.rate.split(need.lenders),
            ..need
        };
        for peer in free.into_iter().take(count) {
            self.send_ask(now, workspace, peer, need, None);
        }
    }

    fn send_ask(
        &mut self,
        now: Instant,
        workspace: &Arc<str>,
        peer: Arc<str>,
        need: Need,
        renews: Option<u64>,
    ) {
        if self.outbox.len() >= MAX_OUTBOX {
            return;
        }
        let id = self.new_id();
        if let Some(entry) = self.entries.get_mut(workspace) {
            entry.pending.push(Pending {
                ask: id,
                peer: Arc::clone(&peer),
                asked: now,
                renews: renews.is_some(),
            });
        }
        let ask = LoanRequest {
            id,
            workspace: Arc::clone(workspace),
            tokens: need.tokens,
            least: need.least,
            rate: need.rate,
            renews,
        };
        self.send(peer, Message::Request(ask));
    }

    fn answer(&mut self, now: Instant, from: &Arc<str>, ask: &LoanRequest) {
        let id = self.new_id();
        let Some(entry) = self.entries.get_mut(&ask.workspace) else {
            return;
        };
        // A doubled question must not be granted twice, nor refused ahead of its grant.
        if self.outbox.len() >= MAX_OUTBOX || entry.account.has_answered(from, ask.id) {
            return;
        }
        let message = match entry.account.lend(now, from, ask, id, &self.config) {
            Ok(grant) => Message::Grant(grant),
            Err(retry_after) => Message::Deny(deny(ask, retry_after)),
        };
        self.send(Arc::clone(from), message);
    }

    fn accept(&mut self, now: Instant, from: &Arc<str>, grant: &LoanGrant) -> bool {
        let Some(entry) = self.entries.get_mut(&grant.workspace) else {
            return false;
        };
        let Some(pending) = entry.close(from, grant.ask) else {
            return false;
        };
        entry.pauses.retain(|pause| pause.peer != *from);
        entry.account.borrow(now, from, grant, pending.asked);
        true
    }

    fn pause(&mut self, now: Instant, from: &Arc<str>, deny: &LoanDenial) -> bool {
        let Some(entry) = self.entries.get_mut(&deny.workspace) else {
            return false;
        };
        match entry.close(from, deny.ask) {
            Some(pending) if !pending.renews => entry.leave_alone(now, from, deny.retry_after),
            Some(_) | None => return false,
        }
        true
    }

    fn recover(&mut self, from: &Arc<str>, back: &LoanReturn) {
        if let Some(entry) = self.entries.get_mut(&back.workspace) {
            entry.account.recover(from, back);
        }
    }

    fn give_back(&mut self, workspace: &Arc<str>, sparse: bool) {
        let Some(entry) = self.entries.get_mut(workspace) else {
            return;
        };
        for (peer, back) in entry.account.give_back(workspace, sparse) {
            self.send(peer, Message::Return(back));
        }
    }

    fn maintain(&mut self, now: Instant, workspace: &Arc<str>, rate: Rate) {
        self.refresh(now, workspace, rate);
        let Some(entry) = self.entries.get_mut(workspace) else {
            return;
        };
        let mut due = entry.account.due(now, &self.config);
        due.retain(|loan| !entry.renews(&loan.peer));
        for loan in due {
            let need = Need::of_rate(loan.rate);
            self.send_ask(now, workspace, loan.peer, need, Some(loan.id));
        }
        self.give_back(workspace, false);
    }

    fn deny_unknown(&mut self, from: &Arc<str>, message: &Message) {
        if let Message::Request(ask) = message {
            self.send(Arc::clone(from), Message::Deny(deny(ask, LONGEST_PAUSE)));
        }
    }

    fn send(&mut self, to: Arc<str>, message: Message) {
        if self.outbox.len() < MAX_OUTBOX {
            self.outbox.push_back(Envelope { to, message });
        }
    }

    fn new_id(&mut self) -> u64 {
        self.next_id += 1;
        self.next_id
    }

    fn count_lanes(&mut self) {
        self.counts = vec![0; SHARDS];
        for slot in self.since.keys() {
            self.counts[slot / LANES] += 1;
        }
    }
}

/// Returns the micro-tokens that the lanes of a group have gained in silence since the given moments.
fn gained(since: &BTreeMap<usize, Instant>, now: Instant, group: usize, rate: Rate) -> u64 {
    let slots = since.range(group * LANES..(group + 1) * LANES);
    let burst = rate.burst.saturating_mul(MICROTOKENS_PER_TOKEN);
    let gain = |since: &Instant| {
        let micros = now.saturating_duration_since(*since).as_micros();
        let gained = u128::from(rate.per_second).saturating_mul(micros);
        u64::try_from(gained).unwrap_or(u64::MAX).min(burst)
    };
    slots.map(|(_, since)| gain(since)).sum::<u64>() / LANES as u64
}

fn owned_fraction(counts: &[u8], group: usize, fenced: bool) -> Fraction {
    if fenced {
        return Fraction::ZERO;
    }
    Fraction::from_lanes(usize::from(counts[group]))
}

/// Returns the holders to ask, those of the own data centre first and each once.
fn targets(
    allocation: &Allocation,
    group: usize,
    name: &Arc<str>,
    data_centre: &Arc<str>,
) -> impl Iterator<Item = Arc<str>> {
    let mut found: Vec<&Holder> = Vec::with_capacity(LANES);
    for holder in allocation.holders_of(group) {
        let known = found.iter().any(|other| other.instance == holder.instance);
        if !known && holder.instance != *name {
            found.push(holder);
        }
    }
    found.sort_by_key(|holder| holder.data_centre != *data_centre);
    let names: Vec<_> = found
        .iter()
        .map(|holder| Arc::clone(&holder.instance))
        .collect();
    names.into_iter()
}

fn deny(ask: &LoanRequest, retry_after: Duration) -> LoanDenial {
    LoanDenial {
        ask: ask.id,
        workspace: Arc::clone(&ask.workspace),
        retry_after,
    }
}
