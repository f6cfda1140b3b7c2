use std::sync::Arc;
use std::time::{Duration, Instant};

use filbertbay_state::document::Rate;

use super::loan::{guarded, within};
use super::meter::Meter;
use super::{
    Config, Fraction, LANES, Loan, LoanGrant, LoanRequest, LoanReturn, MICROTOKENS_PER_TOKEN,
};

/// Micro-tokens that an instance asks for beyond what it needs at once, as time of its demand.
const LOOK_AHEAD: Duration = Duration::from_millis(50);

/// Tokens that a borrower must expect to use in one lease before it asks for refill.
const STEADY_TOKENS: u64 = 4;

/// Smallest grant of tokens that is worth a message to a steady borrower, as parts of a token.
const CRUMBS_PER_TOKEN: u64 = 20;

/// Room that a lender with demand of its own keeps from loans with refill, in percent of a token.
const KEPT_PERCENT: u64 = 125;

/// Part of a lane's burst that a lender can be expected to have, in percent.
const LANE_PERCENT: u64 = 75;

/// Smallest grant of refill that is worth a message, as parts of a lane.
const SLIVERS_PER_LANE: usize = 32;

/// Loans to others that one account may have at once.
const MAX_LENT: usize = 256;

/// Shortest lease that is worth a message.
const SHORTEST_LEASE: Duration = Duration::from_millis(20);

/// Longest refill that is worked out at once; a bucket is full long before.
const LONGEST_REFILL: Duration = Duration::from_hours(1);

/// Share of the lease after which a loan that is still needed is renewed.
const RENEWAL_DIVISOR: u32 = 2;

/// Token bucket of one workspace on one instance, with the loans that change its size.
#[derive(Debug)]
pub(super) struct Account {
    rate: Rate,
    base: Fraction,
    tokens: u64,
    /// Part of a micro-token not yet counted, over `Fraction::ONE * MICROTOKENS_PER_TOKEN`.
    remainder: u128,
    refilled: Instant,
    /// Tokens that statements of this instance want.
    local: Meter,
    /// Tokens that other instances were lent.
    remote: Meter,
    borrowed: Vec<Loan>,
    lent: Vec<Loan>,
}

/// What an account lacks.
#[derive(Clone, Copy, Debug)]
pub(super) struct Need {
    /// Micro-tokens wanted now.
    pub(super) tokens: u64,
    /// Smallest grant of tokens that is of use.
    pub(super) least: u64,
    /// Fraction of the rate wanted for the time of a lease.
    pub(super) rate: Fraction,
    /// Lenders that are likely to bring it together.
    pub(super) lenders: usize,
}

impl Need {
    /// Returns the need of a loan that is to be renewed.
    pub(super) fn of_rate(rate: Fraction) -> Self {
        Self {
            tokens: 0,
            least: 0,
            rate,
            lenders: 1,
        }
    }
}

impl Account {
    /// Opens an account that has been filling in silence; `tokens` is what its lanes gained.
    pub(super) fn open(now: Instant, rate: Rate, base: Fraction, tokens: u64) -> Self {
        let silent = Meter {
            micros: 0.0,
            at: now,
        };
        let mut account = Self {
            rate,
            base,
            tokens,
            remainder: 0,
            refilled: now,
            local: silent,
            remote: silent,
            borrowed: Vec::new(),
            lent: Vec::new(),
        };
        account.clip();
        account
    }

    /// Brings the account to `now` under the given rate and lanes.
    pub(super) fn refresh(&mut self, now: Instant, rate: Rate, base: Fraction) {
        // When the rate changed in between, the time since the last decision counts at the lower one.
        self.rate.per_second = self.rate.per_second.min(rate.per_second);
        if self.borrowed.is_empty() && self.lent.is_empty() {
            self.refill(now);
        } else {
            self.refill_with_loans(now);
        }
        if self.rate != rate || self.base != base {
            self.rate = rate;
            self.base = base;
            self.remainder = 0;
        }
        self.clip();
    }

    /// Returns the rate of the workspace.
    pub(super) fn rate(&self) -> Rate {
        self.rate
    }

    /// Takes lanes over that gained `micros` before they came.
    pub(super) fn credit(&mut self, now: Instant, base: Fraction, micros: u64) {
        self.refresh(now, self.rate, base);
        self.tokens = self.tokens.saturating_add(micros);
        self.clip();
    }

    /// Takes tokens for a statement, and tells whether there were enough.
    pub(super) fn take(&mut self, now: Instant, micros: u64, first: bool) -> bool {
        if first {
            self.local.add(now, micros);
        }
        if self.tokens < micros {
            return false;
        }
        self.tokens -= micros;
        true
    }

    /// Returns what the account lacks for a statement of `micros` and for its demand.
    pub(super) fn need(&mut self, now: Instant, micros: u64, config: &Config) -> Need {
        let ahead = scale(self.local.per_second(now), LOOK_AHEAD);
        let tokens = micros.saturating_sub(self.tokens).max(ahead);
        let rate = self.missing_rate(now, config);
        let by_rate = rate.numerator().div_ceil(Fraction::LANE.numerator());
        let lane = Fraction::LANE.of(self.burst_micros()).max(1);
        let by_tokens = tokens.div_ceil(lane);
        // Borrowers that each hold a part of a token keep each other waiting, so a borrower without
        // steady demand takes whole tokens where a lane can hold one.
        let least = if self.is_sparse(now, config) {
            tokens.min(lane / 100 * LANE_PERCENT)
        } else {
            MICROTOKENS_PER_TOKEN / CRUMBS_PER_TOKEN
        };
        Need {
            tokens,
            least,
            rate,
            lenders: by_rate.max(by_tokens).clamp(1, LANES as u64) as usize,
        }
    }

    fn missing_rate(&mut self, now: Instant, config: &Config) -> Fraction {
        let needed =
            Fraction::from_ratio_ceil(self.local.per_second(now), self.micros_per_second());
        let missing = needed.saturating_sub(self.refill_fraction());
        let gained = scale(missing.of(self.micros_per_second()), config.refill_lease);
        if gained < STEADY_TOKENS * MICROTOKENS_PER_TOKEN {
            return Fraction::ZERO;
        }
        missing
    }

    /// Returns the micro-tokens a second that the account spends or lends without refill.
    fn demand(&mut self, now: Instant) -> u64 {
        self.local
            .per_second(now)
            .saturating_add(self.remote.per_second(now))
    }

    /// Gives up what a question may have, or tells when to ask again.
    pub(super) fn lend(
        &mut self,
        now: Instant,
        peer: &Arc<str>,
        ask: &LoanRequest,
        id: u64,
        config: &Config,
    ) -> Result<LoanGrant, Duration> {
        if let Some(loan) = ask.renews {
            return self.renew(now, peer, ask, loan, config);
        }
        let demand = self.demand(now);
        let reserve = scale(self.local.per_second(now), LOOK_AHEAD);
        let spare = self.tokens.saturating_sub(reserve);
        let rate = self.spare_rate(demand).min(ask.rate);
        let sliver = Fraction::LANE.split(SLIVERS_PER_LANE);
        let rate = if rate < sliver { Fraction::ZERO } else { rate };
        let mut tokens = spare.min(ask.tokens);
        let least = ask.least.min(ask.tokens);
        let crumbs = tokens == 0 || tokens < least;
        if self.lent.len() >= MAX_LENT || (crumbs && rate == Fraction::ZERO) {
            return Err(self.wait_for(least));
        }
        let room = self.room_for(demand, tokens, rate);
        let wanted = if rate > Fraction::ZERO {
            config.refill_lease
        } else {
            config.token_lease
        };
        let lease = self
            .lease(now, room, rate, wanted)
            .ok_or(config.token_lease)?;
        // Tokens that no longer fit into the lender's bucket travel with the room that they filled.
        let rest = self.room().saturating_sub(room).of(self.burst_micros());
        tokens = tokens
            .max(self.tokens.saturating_sub(rest))
            .min(room.of(self.burst_micros()));
        self.tokens -= tokens.min(self.tokens);
        self.lent.push(Loan {
            id,
            ask: ask.id,
            peer: Arc::clone(peer),
            room,
            rate,
            expires: now + guarded(lease),
        });
        if rate == Fraction::ZERO {
            self.remote.add(now, tokens);
        }
        Ok(grant(ask, id, tokens, room, rate, lease))
    }

    /// Returns whether a question has already been answered with a loan that still stands.
    pub(super) fn has_answered(&self, peer: &Arc<str>, ask: u64) -> bool {
        let answers = |loan: &Loan| loan.ask == ask && loan.peer == *peer;
        self.lent.iter().any(answers)
    }

    fn spare_rate(&self, demand: u64) -> Fraction {
        let kept = Fraction::from_ratio_ceil(demand + demand / 8, self.micros_per_second());
        self.refill_fraction().saturating_sub(kept)
    }

    /// Returns the room that goes with a grant.
    ///
    /// A lender that fills on its own account keeps room for what it gains until the loan ends.
    fn room_for(&self, demand: u64, tokens: u64, rate: Fraction) -> Fraction {
        let burst = self.burst_micros();
        let kept = if demand < MICROTOKENS_PER_TOKEN / 2 || rate == Fraction::ZERO {
            Fraction::ZERO
        } else {
            Fraction::from_ratio_ceil(MICROTOKENS_PER_TOKEN / 100 * KEPT_PERCENT, burst)
        };
        let room = Fraction::from_ratio_ceil(tokens, burst).max(rate);
        room.min(self.room().saturating_sub(kept))
    }

    /// Returns the time until the account's own refill brings `micros`.
    pub(super) fn wait_for(&self, micros: u64) -> Duration {
        let gain = self.refill_fraction().of(self.micros_per_second()).max(1);
        let missing = micros.saturating_sub(self.tokens);
        Duration::from_micros(missing.saturating_mul(MICROTOKENS_PER_TOKEN) / gain)
    }

    /// Returns how much of a wanted lease the loans that back a grant allow.
    fn lease(
        &self,
        now: Instant,
        room: Fraction,
        rate: Fraction,
        wanted: Duration,
    ) -> Option<Duration> {
        let rooms: Fraction = self.lent.iter().map(|loan| loan.room).sum();
        let rates: Fraction = self.lent.iter().map(|loan| loan.rate).sum();
        if rooms.saturating_add(room) <= self.base && rates.saturating_add(rate) <= self.base {
            return Some(wanted);
        }
        let backing = self.borrowed.iter().map(|loan| loan.expires).min()?;
        let longest = within(backing.saturating_duration_since(now));
        let lease = wanted.min(longest);
        (lease >= SHORTEST_LEASE).then_some(lease)
    }

    fn renew(
        &mut self,
        now: Instant,
        peer: &Arc<str>,
        ask: &LoanRequest,
        renewed: u64,
        config: &Config,
    ) -> Result<LoanGrant, Duration> {
        let demand = self.demand(now);
        let needed = Fraction::from_ratio_ceil(demand + demand / 8, self.micros_per_second());
        let in_need = needed > self.refill_fraction();
        let lease = self.lease(now, Fraction::ZERO, Fraction::ZERO, config.refill_lease);
        let matches = |loan: &&mut Loan| loan.id == renewed && loan.peer == *peer;
        let loan = self
            .lent
            .iter_mut()
            .find(matches)
            .ok_or(config.refill_lease)?;
        let lease = lease.filter(|_| !in_need).ok_or(config.refill_lease)?;
        loan.expires = loan.expires.max(now + guarded(lease));
        Ok(grant(ask, renewed, 0, loan.room, loan.rate, lease))
    }

    /// Adds a loan that this instance was granted for a question that left at `asked`.
    pub(super) fn borrow(
        &mut self,
        now: Instant,
        lender: &Arc<str>,
        grant: &LoanGrant,
        asked: Instant,
    ) {
        let expires = asked + grant.lease;
        if expires <= now {
            return;
        }
        let known = |loan: &&mut Loan| loan.id == grant.loan && loan.peer == *lender;
        if let Some(loan) = self.borrowed.iter_mut().find(known) {
            loan.expires = loan.expires.max(expires);
            return;
        }
        self.borrowed.push(Loan {
            id: grant.loan,
            ask: grant.ask,
            peer: Arc::clone(lender),
            room: grant.room,
            rate: grant.rate,
            expires,
        });
        // After a cut of the burst the tokens on their way may be more than their own room.
        let most = grant.room.of(self.burst_micros());
        self.tokens = self.tokens.saturating_add(grant.tokens.min(most));
        self.clip();
    }

    /// Ends a loan that the borrower gave back; one that has ended already gives nothing.
    pub(super) fn recover(&mut self, borrower: &Arc<str>, back: &LoanReturn) {
        let matches = |loan: &Loan| loan.id == back.loan && loan.peer == *borrower;
        let Some(index) = self.lent.iter().position(matches) else {
            return;
        };
        let loan = self.lent.swap_remove(index);
        let most = loan.room.of(self.burst_micros());
        self.tokens = self.tokens.saturating_add(back.tokens.min(most));
        self.clip();
    }

    /// Gives back loans without refill whose room is no longer used.
    ///
    /// An account whose demand is `sparse` also gives back the tokens that it has left over.
    pub(super) fn give_back(
        &mut self,
        workspace: &Arc<str>,
        sparse: bool,
    ) -> Vec<(Arc<str>, LoanReturn)> {
        let mut returns = Vec::new();
        let mut index = 0;
        while index < self.borrowed.len() {
            let loan = &self.borrowed[index];
            let left = self
                .room()
                .saturating_sub(loan.room)
                .of(self.burst_micros());
            let unused = sparse || self.tokens <= left;
            if loan.rate > Fraction::ZERO || !unused || self.lends_on(loan) {
                index += 1;
                continue;
            }
            let loan = self.borrowed.swap_remove(index);
            let tokens = self.tokens.saturating_sub(left);
            self.tokens -= tokens;
            let back = LoanReturn {
                loan: loan.id,
                workspace: Arc::clone(workspace),
                tokens,
            };
            returns.push((loan.peer, back));
        }
        returns
    }

    /// Returns whether the instance's own statements are too rare to keep borrowed tokens for.
    pub(super) fn is_sparse(&mut self, now: Instant, config: &Config) -> bool {
        scale(self.local.per_second(now), config.token_lease) < MICROTOKENS_PER_TOKEN
    }

    /// Returns whether loans to others rest on `loan`.
    fn lends_on(&self, loan: &Loan) -> bool {
        let lent: Fraction = self.lent.iter().map(|loan| loan.room).sum();
        let borrowed: Fraction = self.borrowed.iter().map(|loan| loan.room).sum();
        lent > self.base.saturating_add(borrowed).saturating_sub(loan.room)
    }

    /// Returns the loans that are due for renewal and still needed.
    pub(super) fn due(&mut self, now: Instant, config: &Config) -> Vec<Loan> {
        let demand = self.demand(now);
        let needed = Fraction::from_ratio_ceil(demand, self.micros_per_second());
        let own = self.refill_fraction();
        let soon = now + config.refill_lease / RENEWAL_DIVISOR;
        let due = |loan: &&Loan| {
            let steady = loan.rate > Fraction::ZERO;
            steady && loan.expires <= soon && needed > own.saturating_sub(loan.rate)
        };
        self.borrowed.iter().filter(due).cloned().collect()
    }

    /// Returns whether dropping the account loses nothing.
    pub(super) fn is_idle(&self) -> bool {
        let full = self.tokens == self.room().of(self.burst_micros());
        let quiet = self.local.micros + self.remote.micros < MICROTOKENS_PER_TOKEN as f64 / 100.0;
        full && quiet && self.borrowed.is_empty() && self.lent.is_empty()
    }

    /// Returns whether the bucket will run dry before another instance could have answered.
    pub(super) fn is_low(&mut self, now: Instant) -> bool {
        let most = self.room().of(self.burst_micros());
        self.tokens < most / 2 && self.tokens < scale(self.local.per_second(now), LOOK_AHEAD) / 2
    }

    /// Returns whether the account holds loans of others.
    pub(super) fn has_borrowed(&self) -> bool {
        !self.borrowed.is_empty()
    }

    /// Returns the fraction of the burst that the bucket may hold.
    pub(super) fn room(&self) -> Fraction {
        let borrowed: Fraction = self.borrowed.iter().map(|loan| loan.room).sum();
        let lent: Fraction = self.lent.iter().map(|loan| loan.room).sum();
        self.base.saturating_add(borrowed).saturating_sub(lent)
    }

    /// Returns the fraction of the rate at which the bucket fills.
    pub(super) fn refill_fraction(&self) -> Fraction {
        let borrowed: Fraction = self.borrowed.iter().map(|loan| loan.rate).sum();
        let lent: Fraction = self.lent.iter().map(|loan| loan.rate).sum();
        self.base.saturating_add(borrowed).saturating_sub(lent)
    }

    fn refill_with_loans(&mut self, now: Instant) {
        while let Some(end) = self.next_end().filter(|end| *end <= now) {
            self.refill(end);
            self.borrowed.retain(|loan| loan.expires > end);
            self.lent.retain(|loan| loan.expires > end);
            self.clip();
        }
        self.refill(now);
    }

    fn next_end(&self) -> Option<Instant> {
        let loans = self.borrowed.iter().chain(&self.lent);
        loans.map(|loan| loan.expires).min()
    }

    fn refill(&mut self, now: Instant) {
        let passed = now.saturating_duration_since(self.refilled);
        let micros = passed.min(LONGEST_REFILL).as_micros();
        if micros == 0 {
            return;
        }
        // Less than a microsecond stays to be counted next time.
        self.refilled += Duration::from_micros(passed.as_micros() as u64);
        let speed = u128::from(self.micros_per_second())
            .saturating_mul(u128::from(self.refill_fraction().numerator()));
        let whole = u128::from(Fraction::ONE.numerator()) * u128::from(MICROTOKENS_PER_TOKEN);
        let gained = speed.saturating_mul(micros).saturating_add(self.remainder);
        self.remainder = gained % whole;
        let tokens = u64::try_from(gained / whole).unwrap_or(u64::MAX);
        self.tokens = self.tokens.saturating_add(tokens);
        self.clip();
    }

    fn clip(&mut self) {
        let most = self.room().of(self.burst_micros());
        if self.tokens >= most {
            self.tokens = most;
            self.remainder = 0;
        }
    }

    fn micros_per_second(&self) -> u64 {
        self.rate.per_second.saturating_mul(MICROTOKENS_PER_TOKEN)
    }

    fn burst_micros(&self) -> u64 {
        self.rate.burst.saturating_mul(MICROTOKENS_PER_TOKEN)
    }
}

fn grant(
    ask: &LoanRequest,
    loan: u64,
    tokens: u64,
    room: Fraction,
    rate: Fraction,
    lease: Duration,
) -> LoanGrant {
    LoanGrant {
        ask: ask.id,
        loan,
        workspace: Arc::clone(&ask.workspace),
        tokens,
        room,
        rate,
        lease,
    }
}

fn scale(per_second: u64, time: Duration) -> u64 {
    (u128::from(per_second) * time.as_micros() / 1_000_000) as u64
}
