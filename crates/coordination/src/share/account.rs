//! Token bucket of one workspace on one instance, with its borrowed and lent loans.

use std::sync::Arc;
use std::time::{Duration, Instant};

use filbertbay_state::document::Rate;

use super::loan::{lender_lease, max_borrower_lease};
use super::meter::DemandMeter;
use super::shortfall::Shortfall;
use super::{
    Config, Fraction, LANES, Loan, LoanGrant, LoanRequest, LoanReturn, MICRO_TOKENS_PER_TOKEN,
};

/// Period whose expected demand a borrower requests ahead and a lender keeps for itself.
const DEMAND_HORIZON: Duration = Duration::from_millis(50);

/// Tokens that missing refill must be worth over one lease before a borrower requests refill.
const MIN_TOKENS_PER_REFILL_LOAN: u64 = 4;

/// Divisor of a token that gives the smallest grant worth a message to a borrower with steady
/// demand.
const MIN_GRANT_DIVISOR: u64 = 20;

/// Capacity that a lender with demand of its own withholds from loans with refill, in percent of a
/// token.
const RESERVED_CAPACITY_PERCENT: u64 = 125;

/// Part of the burst of a lane that a lender is expected to have available, in percent.
const EXPECTED_LANE_FILL_PERCENT: u64 = 75;

/// Divisor of a lane that gives the smallest grant of refill worth a message.
const MIN_REFILL_DIVISOR: usize = 32;

/// Maximum number of loans that one bucket has lent at the same time.
const MAX_LENT_LOANS: usize = 256;

/// Shortest lease worth a message.
const MIN_LEASE: Duration = Duration::from_millis(20);

/// Remaining time of a loan below which unused tokens are returned. A return must reach the lender
/// before the loan ends, and the periodic work that sends it runs every 50 ms at least.
const RETURN_BEFORE_EXPIRY: Duration = Duration::from_millis(100);

/// Divisor of a token that gives the least demand in a token lease for which tokens are borrowed
/// ahead.
const MIN_DEMAND_AHEAD_DIVISOR: u64 = 2;

/// Longest time for which one refill is computed; a bucket is full long before.
const MAX_REFILL_TIME: Duration = Duration::from_hours(1);

/// Divisor of the lease that gives the remaining time at which a loan still in use is renewed.
const RENEWAL_DIVISOR: u32 = 2;

/// Token bucket of one workspace on one instance. Loans change its capacity and its refill.
#[derive(Debug)]
pub(super) struct Bucket {
    rate: Rate,
    /// Fraction of the lanes that this instance holds and may spend.
    owned: Fraction,
    /// Available micro-tokens.
    tokens: u64,
    /// Fraction of a micro-token gained but not yet in `tokens`, as a numerator over
    /// `Fraction::ONE * MICRO_TOKENS_PER_TOKEN`.
    remainder: u128,
    refilled: Instant,
    /// Demand of the statements on this instance.
    local: DemandMeter,
    /// Tokens lent to other instances without refill.
    remote: DemandMeter,
    borrowed: Vec<Loan>,
    lent: Vec<Loan>,
}

impl Bucket {
    /// Creates a bucket without demand; `tokens` is the number of micro-tokens that its lanes have
    /// gained so far.
    pub(super) fn new(now: Instant, rate: Rate, owned: Fraction, tokens: u64) -> Self {
        let no_demand = DemandMeter {
            micro_tokens: 0.0,
            decayed_at: now,
        };
        let mut bucket = Self {
            rate,
            owned,
            tokens,
            remainder: 0,
            refilled: now,
            local: no_demand,
            remote: no_demand,
            borrowed: Vec::new(),
            lent: Vec::new(),
        };
        bucket.cap_tokens();
        bucket
    }

    /// Refills the bucket up to `now`, expires loans, and applies a changed rate or number of
    /// lanes.
    pub(super) fn refresh(&mut self, now: Instant, rate: Rate, owned: Fraction) {
        // The rate may have changed at any time since the last refill, so the lower one is applied.
        self.rate.per_second = self.rate.per_second.min(rate.per_second);
        if self.borrowed.is_empty() && self.lent.is_empty() {
            self.refill(now);
        } else {
            self.refill_with_loans(now);
        }
        if self.rate != rate || self.owned != owned {
            self.rate = rate;
            self.owned = owned;
            self.remainder = 0;
        }
        self.cap_tokens();
    }

    /// Returns the configured rate of the workspace.
    pub(super) fn rate(&self) -> Rate {
        self.rate
    }

    /// Sets the owned fraction after new lanes came, and adds the `micro_tokens` that these
    /// lanes had gained before.
    pub(super) fn add_lanes(&mut self, now: Instant, owned: Fraction, micro_tokens: u64) {
        self.refresh(now, self.rate, owned);
        self.tokens = self.tokens.saturating_add(micro_tokens);
        self.cap_tokens();
    }

    /// Spends `micro_tokens` for a statement and returns true, or returns false if the
    /// bucket has too few. The first attempt of a statement counts as demand.
    pub(super) fn try_acquire(&mut self, now: Instant, micro_tokens: u64, first: bool) -> bool {
        if first {
            self.local.add(now, micro_tokens);
        }
        if self.tokens < micro_tokens {
            return false;
        }
        self.tokens -= micro_tokens;
        true
    }

    /// Returns the shortfall for a statement of `micro_tokens` and for the demand.
    pub(super) fn shortfall(
        &mut self,
        now: Instant,
        micro_tokens: u64,
        config: &Config,
    ) -> Shortfall {
        let expected_demand = scale(self.local.per_second(now), DEMAND_HORIZON);
        let tokens = micro_tokens
            .saturating_sub(self.tokens)
            .max(expected_demand);
        let refill = self.missing_refill(now, config);
        let lenders_for_refill = refill.numerator().div_ceil(Fraction::LANE.numerator());
        let lane = Fraction::LANE.of(self.burst_micro_tokens()).max(1);
        let lenders_for_tokens = tokens.div_ceil(lane);
        // Borrowers that each hold a part of a token block each other, so a borrower without steady
        // demand requests whole tokens where a lane can hold one.
        let min_tokens = if self.has_low_demand(now, config) {
            tokens.min(lane / 100 * EXPECTED_LANE_FILL_PERCENT)
        } else {
            MICRO_TOKENS_PER_TOKEN / MIN_GRANT_DIVISOR
        };
        Shortfall {
            tokens,
            min_tokens,
            refill,
            lender_count: lenders_for_refill
                .max(lenders_for_tokens)
                .clamp(1, LANES as u64) as usize,
        }
    }

    /// Returns the refill missing for the local demand, or zero if it is too little for a loan.
    fn missing_refill(&mut self, now: Instant, config: &Config) -> Fraction {
        let needed =
            Fraction::from_ratio_ceil(self.local.per_second(now), self.micro_tokens_per_second());
        let missing = needed.saturating_sub(self.refill_fraction());
        let gained = scale(
            missing.of(self.micro_tokens_per_second()),
            config.refill_lease,
        );
        if gained < MIN_TOKENS_PER_REFILL_LOAN * MICRO_TOKENS_PER_TOKEN {
            return Fraction::ZERO;
        }
        missing
    }

    /// Returns the micro-tokens per second that are spent here or lent without refill.
    fn demand(&mut self, now: Instant) -> u64 {
        self.local
            .per_second(now)
            .saturating_add(self.remote.per_second(now))
    }

    /// Grants a request up to the spare tokens and refill, and deducts the grant from the bucket.
    ///
    /// # Errors
    ///
    /// Returns the time after which the borrower should send another request.
    pub(super) fn lend(
        &mut self,
        now: Instant,
        peer: &Arc<str>,
        request: &LoanRequest,
        id: u64,
        config: &Config,
    ) -> Result<LoanGrant, Duration> {
        if let Some(loan) = request.renews {
            return self.renew(now, peer, request, loan, config);
        }
        let demand = self.demand(now);
        let reserve = scale(self.local.per_second(now), DEMAND_HORIZON);
        let spare = self.tokens.saturating_sub(reserve);
        let refill = self.spare_refill(demand).min(request.refill);
        let min_refill = Fraction::LANE.div_ceil(MIN_REFILL_DIVISOR);
        let refill = if refill < min_refill {
            Fraction::ZERO
        } else {
            refill
        };
        let mut tokens = spare.min(request.tokens);
        let min_tokens = request.min_tokens.min(request.tokens);
        let too_few = tokens == 0 || tokens < min_tokens;
        if self.lent.len() >= MAX_LENT_LOANS || (too_few && refill == Fraction::ZERO) {
            // Without refill the lanes are with another instance, or will be soon.
            return Err(if self.refill_fraction() == Fraction::ZERO {
                config.token_lease
            } else {
                self.time_until_refilled(min_tokens)
            });
        }
        let capacity = self.capacity_for_grant(demand, tokens, refill);
        let wanted = if refill > Fraction::ZERO {
            config.refill_lease
        } else {
            config.token_lease
        };
        let lease = self
            .backed_lease(now, capacity, refill, wanted)
            .ok_or(config.token_lease)?;
        // The lender's capacity shrinks; tokens that no longer fit go to the borrower with it.
        let remaining_capacity = self
            .capacity()
            .saturating_sub(capacity)
            .of(self.burst_micro_tokens());
        tokens = tokens
            .max(self.tokens.saturating_sub(remaining_capacity))
            .min(capacity.of(self.burst_micro_tokens()));
        self.tokens -= tokens.min(self.tokens);
        self.lent.push(Loan {
            id,
            request_id: request.id,
            peer: Arc::clone(peer),
            capacity,
            refill,
            expires: now + lender_lease(lease),
        });
        if refill == Fraction::ZERO {
            self.remote.add(now, tokens);
        }
        Ok(grant(request, id, tokens, capacity, refill, lease))
    }

    /// Returns whether a loan granted for this request is still lent.
    pub(super) fn has_granted(&self, peer: &Arc<str>, request_id: u64) -> bool {
        let is_same_request = |loan: &Loan| loan.request_id == request_id && loan.peer == *peer;
        self.lent.iter().any(is_same_request)
    }

    /// Returns the refill that exceeds nine eighths of `demand`.
    fn spare_refill(&self, demand: u64) -> Fraction {
        let reserved =
            Fraction::from_ratio_ceil(demand + demand / 8, self.micro_tokens_per_second());
        self.refill_fraction().saturating_sub(reserved)
    }

    /// Returns the capacity to lend with a grant.
    ///
    /// A lender with demand of its own keeps capacity for the tokens that it gains until a loan
    /// with refill expires.
    fn capacity_for_grant(&self, demand: u64, tokens: u64, refill: Fraction) -> Fraction {
        let burst = self.burst_micro_tokens();
        let reserved = if demand < MICRO_TOKENS_PER_TOKEN / 2 || refill == Fraction::ZERO {
            Fraction::ZERO
        } else {
            Fraction::from_ratio_ceil(
                MICRO_TOKENS_PER_TOKEN / 100 * RESERVED_CAPACITY_PERCENT,
                burst,
            )
        };
        let capacity = Fraction::from_ratio_ceil(tokens, burst).max(refill);
        capacity.min(self.capacity().saturating_sub(reserved))
    }

    /// Returns the time until refill brings the bucket to `micro_tokens`.
    pub(super) fn time_until_refilled(&self, micro_tokens: u64) -> Duration {
        let gain = self
            .refill_fraction()
            .of(self.micro_tokens_per_second())
            .max(1);
        let missing = micro_tokens.saturating_sub(self.tokens);
        Duration::from_micros(missing.saturating_mul(MICRO_TOKENS_PER_TOKEN) / gain)
    }

    /// Returns the longest lease, up to `wanted`, that a grant can have.
    ///
    /// A grant that exceeds the owned lanes must expire before the borrowed loans that back it.
    /// Returns `None` if that leaves less than [`MIN_LEASE`].
    fn backed_lease(
        &self,
        now: Instant,
        capacity: Fraction,
        refill: Fraction,
        wanted: Duration,
    ) -> Option<Duration> {
        let capacities: Fraction = self.lent.iter().map(|loan| loan.capacity).sum();
        let refills: Fraction = self.lent.iter().map(|loan| loan.refill).sum();
        if capacities.saturating_add(capacity) <= self.owned
            && refills.saturating_add(refill) <= self.owned
        {
            return Some(wanted);
        }
        let backing = self.borrowed.iter().map(|loan| loan.expires).min()?;
        let longest = max_borrower_lease(backing.saturating_duration_since(now));
        let lease = wanted.min(longest);
        (lease >= MIN_LEASE).then_some(lease)
    }

    /// Extends a lent loan unless the lender needs the refill itself.
    fn renew(
        &mut self,
        now: Instant,
        peer: &Arc<str>,
        request: &LoanRequest,
        renewed: u64,
        config: &Config,
    ) -> Result<LoanGrant, Duration> {
        let demand = self.demand(now);
        let needed = Fraction::from_ratio_ceil(demand + demand / 8, self.micro_tokens_per_second());
        let in_need = needed > self.refill_fraction();
        let lease = self.backed_lease(now, Fraction::ZERO, Fraction::ZERO, config.refill_lease);
        let matches = |loan: &&mut Loan| loan.id == renewed && loan.peer == *peer;
        let loan = self
            .lent
            .iter_mut()
            .find(matches)
            .ok_or(config.refill_lease)?;
        let lease = lease.filter(|_| !in_need).ok_or(config.refill_lease)?;
        loan.expires = loan.expires.max(now + lender_lease(lease));
        Ok(grant(
            request,
            renewed,
            0,
            loan.capacity,
            loan.refill,
            lease,
        ))
    }

    /// Adds or extends a loan that was granted for a request sent at `sent_at`; an expired one is
    /// ignored, and one out of range is bounded by the longest lease and the whole rate.
    pub(super) fn add_borrowed(
        &mut self,
        now: Instant,
        lender: &Arc<str>,
        grant: &LoanGrant,
        sent_at: Instant,
        config: &Config,
    ) {
        let longest = config.refill_lease.max(config.token_lease);
        let expires = sent_at + grant.lease.min(longest);
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
            request_id: grant.request_id,
            peer: Arc::clone(lender),
            capacity: grant.capacity.min(Fraction::ONE),
            refill: grant.refill.min(Fraction::ONE),
            expires,
        });
        // If the burst was lowered meanwhile, the granted tokens may exceed the lent capacity.
        let max_tokens = grant
            .capacity
            .min(Fraction::ONE)
            .of(self.burst_micro_tokens());
        self.tokens = self.tokens.saturating_add(grant.tokens.min(max_tokens));
        self.cap_tokens();
    }

    /// Ends a lent loan that the borrower returned; a loan that has already expired adds no tokens.
    pub(super) fn accept_return(&mut self, borrower: &Arc<str>, returned: &LoanReturn) {
        let matches = |loan: &Loan| loan.id == returned.loan && loan.peer == *borrower;
        let Some(index) = self.lent.iter().position(matches) else {
            return;
        };
        let loan = self.lent.swap_remove(index);
        let max_tokens = loan.capacity.of(self.burst_micro_tokens());
        self.tokens = self.tokens.saturating_add(returned.tokens.min(max_tokens));
        self.cap_tokens();
    }

    /// Ends borrowed loans without refill whose capacity is no longer used, and returns the
    /// messages to their lenders.
    ///
    /// With `has_low_demand` the tokens left over are returned as well. So are those of a loan that
    /// ends soon, as far as the demand will not use them before: they would be lost with the loan.
    pub(super) fn return_unused(
        &mut self,
        now: Instant,
        workspace: &Arc<str>,
        has_low_demand: bool,
    ) -> Vec<(Arc<str>, LoanReturn)> {
        let per_second = self.local.per_second(now);
        let mut returns = Vec::new();
        let mut index = 0;
        while index < self.borrowed.len() {
            let loan = &self.borrowed[index];
            let left = self
                .capacity()
                .saturating_sub(loan.capacity)
                .of(self.burst_micro_tokens());
            let remaining = loan.expires.saturating_duration_since(now);
            let ends_unused = remaining < RETURN_BEFORE_EXPIRY
                && self.tokens > left.saturating_add(scale(per_second, remaining));
            let unused = has_low_demand || self.tokens <= left || ends_unused;
            if loan.refill > Fraction::ZERO || !unused || self.backs_lent_loans(loan) {
                index += 1;
                continue;
            }
            let loan = self.borrowed.swap_remove(index);
            let tokens = self.tokens.saturating_sub(left);
            self.tokens -= tokens;
            let returned = LoanReturn {
                loan: loan.id,
                workspace: Arc::clone(workspace),
                tokens,
            };
            returns.push((loan.peer, returned));
        }
        returns
    }

    /// Returns whether local demand is below one token for each token lease, too low to keep
    /// borrowed tokens.
    pub(super) fn has_low_demand(&mut self, now: Instant, config: &Config) -> bool {
        scale(self.local.per_second(now), config.token_lease) < MICRO_TOKENS_PER_TOKEN
    }

    /// Returns whether a token that is borrowed ahead is likely enough to be used during its loan.
    pub(super) fn has_demand_ahead(&mut self, now: Instant, config: &Config) -> bool {
        let expected = scale(self.local.per_second(now), config.token_lease);
        expected >= MICRO_TOKENS_PER_TOKEN / MIN_DEMAND_AHEAD_DIVISOR
    }

    /// Returns whether lent loans depend on the capacity of the borrowed `loan`.
    fn backs_lent_loans(&self, loan: &Loan) -> bool {
        let lent: Fraction = self.lent.iter().map(|loan| loan.capacity).sum();
        let borrowed: Fraction = self.borrowed.iter().map(|loan| loan.capacity).sum();
        lent > self
            .owned
            .saturating_add(borrowed)
            .saturating_sub(loan.capacity)
    }

    /// Returns the borrowed loans with refill that expire soon and are still needed.
    pub(super) fn loans_to_renew(&mut self, now: Instant, config: &Config) -> Vec<Loan> {
        let demand = self.demand(now);
        let needed = Fraction::from_ratio_ceil(demand, self.micro_tokens_per_second());
        let own = self.refill_fraction();
        let soon = now + config.refill_lease / RENEWAL_DIVISOR;
        let due = |loan: &&Loan| {
            let steady = loan.refill > Fraction::ZERO;
            steady && loan.expires <= soon && needed > own.saturating_sub(loan.refill)
        };
        self.borrowed.iter().filter(due).cloned().collect()
    }

    /// Returns whether the bucket is full, without loans and without demand, so that it can be
    /// dropped.
    pub(super) fn is_idle(&self) -> bool {
        let full = self.tokens == self.capacity().of(self.burst_micro_tokens());
        let quiet = self.local.micro_tokens + self.remote.micro_tokens
            < MICRO_TOKENS_PER_TOKEN as f64 / 100.0;
        full && quiet && self.borrowed.is_empty() && self.lent.is_empty()
    }

    /// Returns whether the bucket is likely to be empty before another instance could answer a
    /// request.
    pub(super) fn is_low(&mut self, now: Instant) -> bool {
        let max_tokens = self.capacity().of(self.burst_micro_tokens());
        self.tokens < max_tokens / 2
            && self.tokens < scale(self.local.per_second(now), DEMAND_HORIZON) / 2
    }

    /// Returns whether the bucket has borrowed loans.
    pub(super) fn has_borrowed(&self) -> bool {
        !self.borrowed.is_empty()
    }

    /// Returns the capacity of the bucket as a fraction of the burst.
    pub(super) fn capacity(&self) -> Fraction {
        let borrowed: Fraction = self.borrowed.iter().map(|loan| loan.capacity).sum();
        let lent: Fraction = self.lent.iter().map(|loan| loan.capacity).sum();
        self.owned.saturating_add(borrowed).saturating_sub(lent)
    }

    /// Returns the refill of the bucket as a fraction of the rate.
    pub(super) fn refill_fraction(&self) -> Fraction {
        let borrowed: Fraction = self.borrowed.iter().map(|loan| loan.refill).sum();
        let lent: Fraction = self.lent.iter().map(|loan| loan.refill).sum();
        self.owned.saturating_add(borrowed).saturating_sub(lent)
    }

    /// Refills up to `now`, expiring loans at their time.
    fn refill_with_loans(&mut self, now: Instant) {
        while let Some(end) = self.next_expiry().filter(|end| *end <= now) {
            self.refill(end);
            self.borrowed.retain(|loan| loan.expires > end);
            self.lent.retain(|loan| loan.expires > end);
            self.cap_tokens();
        }
        self.refill(now);
    }

    fn next_expiry(&self) -> Option<Instant> {
        let loans = self.borrowed.iter().chain(&self.lent);
        loans.map(|loan| loan.expires).min()
    }

    /// Adds the tokens gained since the last refill.
    fn refill(&mut self, now: Instant) {
        let passed = now.saturating_duration_since(self.refilled);
        let micros = passed.min(MAX_REFILL_TIME).as_micros();
        if micros == 0 {
            return;
        }
        // The remainder below a microsecond is carried over to the next refill.
        self.refilled += Duration::from_micros(passed.as_micros() as u64);
        let rate = u128::from(self.micro_tokens_per_second())
            .saturating_mul(u128::from(self.refill_fraction().numerator()));
        let whole = u128::from(Fraction::ONE.numerator()) * u128::from(MICRO_TOKENS_PER_TOKEN);
        let gained = rate.saturating_mul(micros).saturating_add(self.remainder);
        self.remainder = gained % whole;
        let tokens = u64::try_from(gained / whole).unwrap_or(u64::MAX);
        self.tokens = self.tokens.saturating_add(tokens);
        self.cap_tokens();
    }

    /// Drops the tokens above the capacity.
    fn cap_tokens(&mut self) {
        let max_tokens = self.capacity().of(self.burst_micro_tokens());
        if self.tokens >= max_tokens {
            self.tokens = max_tokens;
            self.remainder = 0;
        }
    }

    fn micro_tokens_per_second(&self) -> u64 {
        self.rate.per_second.saturating_mul(MICRO_TOKENS_PER_TOKEN)
    }

    fn burst_micro_tokens(&self) -> u64 {
        self.rate.burst.saturating_mul(MICRO_TOKENS_PER_TOKEN)
    }
}

fn grant(
    request: &LoanRequest,
    loan: u64,
    tokens: u64,
    capacity: Fraction,
    refill: Fraction,
    lease: Duration,
) -> LoanGrant {
    LoanGrant {
        request_id: request.id,
        loan,
        workspace: Arc::clone(&request.workspace),
        tokens,
        capacity,
        refill,
        lease,
    }
}

/// Returns the amount that `per_second` yields in `time`.
fn scale(per_second: u64, time: Duration) -> u64 {
    (u128::from(per_second) * time.as_micros() / 1_000_000) as u64
}
