//! Rate limiter of one instance: its token buckets, and the loan messages to other instances.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use filbertbay_state::document::Rate;

use super::account::Bucket;
use super::entry::{MAX_BACKOFF, PendingRequest, WorkspaceState};
use super::lane::{accrued_tokens, denial, lenders, owned_fraction};
use super::shortfall::Shortfall;
use super::{
    Allocation, Config, LANES, LoanDenial, LoanGrant, LoanRequest, LoanReturn,
    MICRO_TOKENS_PER_TOKEN, Message, SHARDS,
};

/// Maximum number of messages in the outbox. While it is full, no loan is requested or granted, and
/// further messages are dropped.
const MAX_OUTBOX: usize = 4_096;

/// Shortest timeout of [`Admission::Wait`].
const MIN_WAIT: Duration = Duration::from_millis(1);

/// Time for which an instance that left a request unanswered ranks last as a lender. A statement
/// waits long enough for one or two answers only.
const UNRESPONSIVE_FOR: Duration = Duration::from_secs(2);

/// Number of bits by which the incarnation is shifted to give the first identifier of its requests
/// and loans.
const INCARNATION_SHIFT: u32 = 20;

/// Decision on one statement.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// The statement may run; its tokens have been deducted.
    Admitted,
    /// Tokens were requested or will be refilled soon. Call [`RateLimiter::retry_acquire`] when an
    /// answer arrives, at the latest after `timeout`.
    Wait {
        /// Longest time until the next attempt.
        timeout: Duration,
    },
    /// The workspace has used up its rate; the statement must not run.
    Refused {
        /// Time after which tokens may be available.
        retry_after: Duration,
    },
}

/// Message with its recipient.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Envelope {
    /// Name of the receiving instance.
    pub to: Arc<str>,
    /// Message to send.
    pub message: Message,
}

/// Token buckets of all workspaces that are active on one instance.
///
/// Workspaces are independent of each other, so a driver may keep one rate limiter per thread, each
/// for the workspaces of some shards.
#[derive(Debug)]
pub struct RateLimiter {
    name: Arc<str>,
    data_centre: Arc<str>,
    incarnation: u64,
    config: Config,
    allocation: Arc<Allocation>,
    /// Number of lanes held in each shard.
    lane_counts: Vec<u8>,
    /// Held lanes by index, each with the time since which it has gained tokens.
    fill_starts: BTreeMap<usize, Instant>,
    /// Time since which no instance can have spent lanes inherited from an earlier incarnation.
    unspent_since: Option<Instant>,
    /// Time from which the lanes are not spent until the next proof of ownership. `None` before the
    /// first proof, when they are not spent either.
    ownership_expires: Option<Instant>,
    workspaces: HashMap<Arc<str>, WorkspaceState>,
    /// Instances that left their last request unanswered, with the time at which the request timed
    /// out.
    unresponsive: BTreeMap<Arc<str>, Instant>,
    outbox: VecDeque<Envelope>,
    next_id: u64,
}

impl RateLimiter {
    /// Creates a rate limiter that holds no lanes.
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
            lane_counts: vec![0; SHARDS],
            fill_starts: BTreeMap::new(),
            unspent_since: None,
            ownership_expires: None,
            workspaces: HashMap::new(),
            unresponsive: BTreeMap::new(),
            outbox: VecDeque::new(),
            next_id: incarnation << INCARNATION_SHIFT,
        }
    }

    /// Sets the moment since which neither an earlier incarnation of this instance nor a borrower
    /// of its lanes can have spent tokens. Lanes inherited from that incarnation have gained tokens
    /// since then.
    pub fn set_unspent_since(&mut self, since: Instant) {
        self.unspent_since = Some(since);
    }

    /// Applies a record of lane holders, unless its epoch is below that of the current one.
    ///
    /// Lanes that are new to this instance start empty, except those of its own earlier incarnation
    /// after [`RateLimiter::set_unspent_since`].
    pub fn apply_allocation(&mut self, now: Instant, allocation: Arc<Allocation>) {
        if allocation.epoch < self.allocation.epoch {
            return;
        }
        let held = |lane_index: &usize| {
            let holder = allocation.holder(*lane_index);
            holder.is_some_and(|holder| holder.is_incarnation(&self.name, self.incarnation))
        };
        let lane_indices: Vec<usize> = (0..SHARDS * LANES).filter(held).collect();
        // A missed record may have named another holder, which has spent the tokens of the lanes.
        let follows = allocation.epoch == self.allocation.epoch + 1;
        let unspent_since = self.unspent_since.filter(|since| follows && *since < now);
        let held_before = std::mem::take(&mut self.fill_starts);
        let new_lanes: BTreeMap<usize, Instant> = lane_indices
            .iter()
            .filter(|lane_index| !held_before.contains_key(lane_index))
            .map(|lane_index| {
                (
                    *lane_index,
                    self.fill_start(now, *lane_index, unspent_since),
                )
            })
            .collect();
        let since = |lane_index: usize| {
            Some((
                lane_index,
                *held_before
                    .get(&lane_index)
                    .or(new_lanes.get(&lane_index))?,
            ))
        };
        self.fill_starts = lane_indices.into_iter().filter_map(since).collect();
        if allocation.epoch > self.allocation.epoch {
            // Lenders that had no lanes may have some now, and others may have taken their place.
            for state in self.workspaces.values_mut() {
                state.backoffs.clear();
            }
        }
        self.allocation = allocation;
        self.count_lanes();
        self.add_accrued(now, &new_lanes);
    }

    /// Returns the time since which a new lane of this instance has gained tokens.
    fn fill_start(
        &self,
        now: Instant,
        lane_index: usize,
        unspent_since: Option<Instant>,
    ) -> Instant {
        let previous = self.allocation.holder(lane_index);
        let is_own = previous.is_some_and(|previous| previous.instance == self.name);
        unspent_since.filter(|_| is_own).unwrap_or(now)
    }

    /// Adds the tokens that new lanes have gained to the existing buckets.
    fn add_accrued(&mut self, now: Instant, new_lanes: &BTreeMap<usize, Instant>) {
        let fenced = self.ownership_expires.is_none_or(|expires| now >= expires);
        for state in self.workspaces.values_mut() {
            let micro_tokens = accrued_tokens(new_lanes, now, state.shard, state.bucket.rate());
            if micro_tokens > 0 {
                let owned = owned_fraction(&self.lane_counts, state.shard, fenced);
                state.bucket.add_lanes(now, owned, micro_tokens);
            }
        }
    }

    /// Stops spending a lane before it is transferred to another instance. `lane_index` is the
    /// index of the lane over all shards.
    ///
    /// The record may name another holder only after [`RateLimiter::max_loan_duration`], when every
    /// loan backed by the lane has expired.
    ///
    /// Applying a record that still names this instance takes the lane back, empty. A driver that
    /// applies records during a transfer must therefore release the lane again before the next
    /// decision.
    pub fn release(&mut self, lane_index: usize) {
        self.fill_starts.remove(&lane_index);
        self.count_lanes();
    }

    /// Returns the time after which every loan backed by a released lane has expired.
    pub fn max_loan_duration(&self) -> Duration {
        super::loan::lender_lease(self.config.refill_lease.max(self.config.token_lease))
    }

    /// Records a proof that this instance still held its lanes at `proved_at`.
    ///
    /// The lanes are not spent once [`Config::ownership_timeout`] has passed since the latest
    /// proof. Each decision compares this limit with its own time, so the first decision after a
    /// pause of the process respects it.
    pub fn confirm_ownership(&mut self, proved_at: Instant) {
        let new_expiry = proved_at + self.config.ownership_timeout;
        self.ownership_expires = Some(
            self.ownership_expires
                .map_or(new_expiry, |expires| expires.max(new_expiry)),
        );
    }

    /// Decides whether a new statement of a workspace may run, at a cost of `cost` tokens.
    pub fn try_acquire(
        &mut self,
        now: Instant,
        workspace: &Arc<str>,
        rate: Rate,
        cost: u64,
    ) -> Admission {
        self.acquire(now, workspace, rate, cost, true)
    }

    /// Decides again on a statement for which the last decision was [`Admission::Wait`].
    pub fn retry_acquire(
        &mut self,
        now: Instant,
        workspace: &Arc<str>,
        rate: Rate,
        cost: u64,
    ) -> Admission {
        self.acquire(now, workspace, rate, cost, false)
    }

    /// Handles a message of another instance, and returns whether the driver should retry the
    /// waiting statements of the workspace.
    ///
    /// `rate` is the workspace's rate in this instance's configuration, or `None` if the workspace
    /// is unknown here.
    pub fn handle_message(
        &mut self,
        now: Instant,
        from: &Arc<str>,
        message: &Message,
        rate: Option<Rate>,
    ) -> bool {
        let Some(rate) = rate else {
            self.deny_unknown_workspace(from, message);
            return false;
        };
        self.refresh(now, message.workspace(), rate);
        self.unresponsive.remove(from);
        match message {
            Message::Request(request) => self.handle_request(now, from, request),
            Message::Grant(grant) => return self.handle_grant(now, from, grant),
            Message::Deny(denial) => return self.handle_denial(now, from, denial),
            Message::Return(returned) => self.handle_return(from, returned),
        }
        false
    }

    /// Renews loans that are still needed, returns unused ones and drops the buckets of idle
    /// workspaces.
    ///
    /// The driver calls this several times in each lease, and after a change of the configuration
    /// so that a lower rate applies at once. `rate_of` returns the configured rate of a workspace.
    pub fn tick<F>(&mut self, now: Instant, rate_of: F)
    where
        F: Fn(&Arc<str>) -> Option<Rate>,
    {
        let names: Vec<Arc<str>> = self.workspaces.keys().cloned().collect();
        for name in names {
            self.maintain(now, &name, rate_of(&name).unwrap_or_default());
        }
        self.workspaces.retain(|_, state| !state.is_idle());
    }

    /// Removes and returns the messages that the driver must send.
    pub fn drain(&mut self) -> impl Iterator<Item = Envelope> {
        self.outbox.drain(..)
    }

    /// Returns whether there are messages to send.
    pub fn has_messages(&self) -> bool {
        !self.outbox.is_empty()
    }

    /// Returns the number of workspaces that have a bucket here.
    pub fn active_workspaces(&self) -> usize {
        self.workspaces.len()
    }

    fn acquire(
        &mut self,
        now: Instant,
        workspace: &Arc<str>,
        rate: Rate,
        cost: u64,
        first: bool,
    ) -> Admission {
        self.refresh(now, workspace, rate);
        let Some(state) = self.workspaces.get_mut(workspace) else {
            return Admission::Refused {
                retry_after: MAX_BACKOFF,
            };
        };
        let micro_tokens = cost.saturating_mul(MICRO_TOKENS_PER_TOKEN);
        let admitted = state.bucket.try_acquire(now, micro_tokens, first);
        let has_low_demand = state.bucket.has_low_demand(now, &self.config);
        let has_demand_ahead = state.bucket.has_demand_ahead(now, &self.config);
        let low = !admitted || (has_demand_ahead && state.bucket.is_low(now));
        if admitted && state.bucket.has_borrowed() {
            self.return_unused(now, workspace, has_low_demand);
        }
        if low && cost <= self.with_tolerance(rate).burst {
            self.request_loans(now, workspace, micro_tokens);
        }
        if admitted {
            return Admission::Admitted;
        }
        self.wait_or_refuse(now, workspace, micro_tokens)
    }

    fn wait_or_refuse(&self, now: Instant, workspace: &Arc<str>, micro_tokens: u64) -> Admission {
        let state = &self.workspaces[workspace];
        let open = state.pending.iter().filter(|pending| !pending.renews);
        if let Some(last) = open.map(|pending| pending.sent_at).max() {
            let deadline = last + self.config.request_timeout;
            return Admission::Wait {
                timeout: deadline.saturating_duration_since(now),
            };
        }
        let until_refilled = state.bucket.time_until_refilled(micro_tokens);
        let backoffs = state.backoffs.iter();
        let until_backoff_ends = backoffs
            .map(|backoff| backoff.until.saturating_duration_since(now))
            .min();
        let wait = until_refilled.min(until_backoff_ends.unwrap_or(until_refilled));
        if wait < self.config.max_wait {
            return Admission::Wait {
                timeout: wait.max(MIN_WAIT),
            };
        }
        Admission::Refused {
            retry_after: wait.min(MAX_BACKOFF),
        }
    }

    /// Brings the bucket of a workspace up to `now`, creating it if needed, and expires its
    /// requests.
    fn refresh(&mut self, now: Instant, workspace: &Arc<str>, rate: Rate) {
        let rate = self.with_tolerance(rate);
        let fenced = self.ownership_expires.is_none_or(|expires| now >= expires);
        if let Some(state) = self.workspaces.get_mut(workspace) {
            let owned = owned_fraction(&self.lane_counts, state.shard, fenced);
            state.bucket.refresh(now, rate, owned);
            let timed_out = state.expire_requests(now, self.config.request_timeout);
            self.unresponsive
                .extend(timed_out.into_iter().map(|peer| (peer, now)));
            return;
        }
        let shard = Allocation::shard_of(workspace);
        let owned = owned_fraction(&self.lane_counts, shard, fenced);
        let tokens = accrued_tokens(&self.fill_starts, now, shard, rate);
        let state = WorkspaceState {
            bucket: Bucket::new(now, rate, owned, tokens),
            shard,
            pending: Vec::new(),
            backoffs: Vec::new(),
        };
        self.workspaces.insert(Arc::clone(workspace), state);
    }

    /// Returns the rate with the tolerance added to its burst; a rate of zero stays zero.
    fn with_tolerance(&self, rate: Rate) -> Rate {
        if rate.per_second == 0 {
            return rate;
        }
        Rate {
            burst: rate.burst.saturating_add(self.config.tolerance),
            ..rate
        }
    }

    /// Requests loans from as many lenders as the shortfall needs, less the requests that are
    /// already pending.
    fn request_loans(&mut self, now: Instant, workspace: &Arc<str>, micro_tokens: u64) {
        let Some(state) = self.workspaces.get_mut(workspace) else {
            return;
        };
        let shortfall = state.bucket.shortfall(now, micro_tokens, &self.config);
        let lenders = lenders(&self.allocation, state.shard, &self.name, &self.data_centre);
        let mut available: Vec<Arc<str>> = lenders
            .filter(|peer| state.can_request_from(now, peer))
            .collect();
        // Requests of another workspace may have shown that an instance is dead or isolated.
        available.sort_by_key(|peer| {
            let unresponsive = self.unresponsive.get(peer);
            unresponsive
                .is_some_and(|since| now.saturating_duration_since(*since) < UNRESPONSIVE_FOR)
        });
        let open = state
            .pending
            .iter()
            .filter(|pending| !pending.renews)
            .count();
        let count = shortfall.lender_count.saturating_sub(open);
        let shortfall = Shortfall {
            refill: shortfall.refill.div_ceil(shortfall.lender_count),
            ..shortfall
        };
        for peer in available.into_iter().take(count) {
            self.send_request(now, workspace, peer, shortfall, None);
        }
    }

    fn send_request(
        &mut self,
        now: Instant,
        workspace: &Arc<str>,
        peer: Arc<str>,
        shortfall: Shortfall,
        renews: Option<u64>,
    ) {
        if self.outbox.len() >= MAX_OUTBOX {
            return;
        }
        let id = self.new_id();
        if let Some(state) = self.workspaces.get_mut(workspace) {
            state.pending.push(PendingRequest {
                request_id: id,
                peer: Arc::clone(&peer),
                sent_at: now,
                renews: renews.is_some(),
            });
        }
        let request = LoanRequest {
            id,
            workspace: Arc::clone(workspace),
            tokens: shortfall.tokens,
            min_tokens: shortfall.min_tokens,
            refill: shortfall.refill,
            renews,
        };
        self.send(peer, Message::Request(request));
    }

    fn handle_request(&mut self, now: Instant, from: &Arc<str>, request: &LoanRequest) {
        let id = self.new_id();
        let Some(state) = self.workspaces.get_mut(&request.workspace) else {
            return;
        };
        // A duplicate of a request must not be granted twice, nor denied before its grant arrives.
        if self.outbox.len() >= MAX_OUTBOX || state.bucket.has_granted(from, request.id) {
            return;
        }
        let message = match state.bucket.lend(now, from, request, id, &self.config) {
            Ok(grant) => Message::Grant(grant),
            Err(retry_after) => Message::Deny(denial(request, retry_after)),
        };
        self.send(Arc::clone(from), message);
    }

    fn handle_grant(&mut self, now: Instant, from: &Arc<str>, grant: &LoanGrant) -> bool {
        let Some(state) = self.workspaces.get_mut(&grant.workspace) else {
            return false;
        };
        let Some(pending) = state.take_pending(from, grant.request_id) else {
            return false;
        };
        state.backoffs.retain(|backoff| backoff.peer != *from);
        state
            .bucket
            .add_borrowed(now, from, grant, pending.sent_at, &self.config);
        true
    }

    fn handle_denial(&mut self, now: Instant, from: &Arc<str>, denial: &LoanDenial) -> bool {
        let Some(state) = self.workspaces.get_mut(&denial.workspace) else {
            return false;
        };
        match state.take_pending(from, denial.request_id) {
            Some(pending) if !pending.renews => state.back_off(now, from, denial.retry_after),
            Some(_) | None => return false,
        }
        true
    }

    fn handle_return(&mut self, from: &Arc<str>, returned: &LoanReturn) {
        if let Some(state) = self.workspaces.get_mut(&returned.workspace) {
            state.bucket.accept_return(from, returned);
        }
    }

    fn return_unused(&mut self, now: Instant, workspace: &Arc<str>, has_low_demand: bool) {
        let Some(state) = self.workspaces.get_mut(workspace) else {
            return;
        };
        for (peer, returned) in state.bucket.return_unused(now, workspace, has_low_demand) {
            self.send(peer, Message::Return(returned));
        }
    }

    fn maintain(&mut self, now: Instant, workspace: &Arc<str>, rate: Rate) {
        self.refresh(now, workspace, rate);
        let Some(state) = self.workspaces.get_mut(workspace) else {
            return;
        };
        let mut due = state.bucket.loans_to_renew(now, &self.config);
        due.retain(|loan| !state.is_renewing_with(&loan.peer));
        for loan in due {
            let shortfall = Shortfall::for_renewal(loan.refill);
            self.send_request(now, workspace, loan.peer, shortfall, Some(loan.id));
        }
        self.return_unused(now, workspace, false);
    }

    fn deny_unknown_workspace(&mut self, from: &Arc<str>, message: &Message) {
        if let Message::Request(request) = message {
            self.send(
                Arc::clone(from),
                Message::Deny(denial(request, MAX_BACKOFF)),
            );
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
        self.lane_counts = vec![0; SHARDS];
        for lane_index in self.fill_starts.keys() {
            self.lane_counts[lane_index / LANES] += 1;
        }
    }
}
