//! Maintains the record of lane holders in the store: first allocation, claims of the lanes of dead
//! holders, and transfers of surplus lanes.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use filbertbay_coordination::share::{Allocation, Holder};
use filbertbay_coordination::succession::MAX_PRIMARY_LEASE;
use rand::Rng;
use slog::{info, warn};

use crate::instance::Instance;
use crate::store::{ConditionalWrite, WriteOutcome, era_of, number_of, revision_in};
use crate::view::ALLOCATION_KEY;

/// Time after the removal of a holder's entry before its lanes are reassigned; longer than a primary
/// lease.
pub(super) const RECLAIM_DELAY: Duration = Duration::from_secs(12);

/// Interval at which the allocation is checked.
const ALLOCATION_INTERVAL: Duration = Duration::from_millis(700);

/// Time without a change of the live instances before the first allocation is written, so that a
/// fleet that starts together shares the lanes evenly.
const FIRST_ALLOCATION_DELAY: Duration = Duration::from_millis(1_500);

/// Delay per rank before an instance writes the allocation, so that instances earlier in name order
/// write first.
const STAGGER_PER_RANK: Duration = Duration::from_millis(100);

/// Jitter of lane claims per live instance; a write takes 5 to 45 ms.
const CLAIM_JITTER_PER_INSTANCE: Duration = Duration::from_millis(10);

/// Upper limit of the claim jitter in a large fleet; one write reassigns the lanes of all holders that
/// are due.
const MAX_CLAIM_JITTER: Duration = Duration::from_millis(200);

/// Interval at which the allocation is checked while this instance holds no lanes.
const LANELESS_INTERVAL: Duration = Duration::from_millis(100);

/// Outcome of a write of the allocation.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Swap {
    /// The store confirmed the write.
    Written,
    /// Nothing was written and nothing will be.
    Conflict,
    /// The write may still take effect.
    Unknown,
}

/// Task that maintains the allocation of lanes in the store.
pub(super) struct AllocationKeeper {
    instance: Rc<Instance>,
    /// Live instances at the last check.
    live: Vec<Holder>,
    live_changed_at: Instant,
    /// Time since which each holder, by name and incarnation, has not been live.
    absent_since: BTreeMap<(Arc<str>, u64), Instant>,
}

impl AllocationKeeper {
    pub(super) fn new(instance: Rc<Instance>) -> Self {
        Self {
            live: Vec::new(),
            live_changed_at: instance.now(),
            absent_since: BTreeMap::new(),
            instance,
        }
    }

    /// Checks the allocation as long as the process runs.
    pub(super) async fn run(mut self) {
        loop {
            tokio::time::sleep(self.interval()).await;
            let now = self.instance.now();
            let live = self.update_live(now);
            let has_lease = self.instance.view.borrow().primary_lease.is_valid(now);
            let is_era_confirmed = self.instance.view.borrow().is_era_confirmed();
            if !has_lease || !is_era_confirmed || self.instance.is_draining() {
                continue;
            }
            let record = self.instance.view.borrow().allocation().cloned();
            self.track_absent(now, record.as_deref(), &live);
            match record {
                None => self.write_first_allocation(now, &live).await,
                Some(record) => self.maintain(now, &record, &live).await,
            }
        }
    }

    fn interval(&self) -> Duration {
        let name = Arc::clone(&self.instance.settings().name);
        let view = self.instance.view.borrow();
        let has_lanes = view
            .allocation()
            .is_some_and(|record| record.lane_count(&name, self.instance.incarnation) > 0);
        if has_lanes {
            ALLOCATION_INTERVAL
        } else {
            LANELESS_INTERVAL
        }
    }

    /// Returns the live instances in the order of their names, and records when they change.
    fn update_live(&mut self, now: Instant) -> Vec<Holder> {
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
            self.live_changed_at = now;
        }
        live
    }

    /// Records the time since which each holder of the allocation has not been live.
    fn track_absent(&mut self, now: Instant, record: Option<&Allocation>, live: &[Holder]) {
        let holders = record.map_or(&[][..], |record| &record.holders);
        let absent = holders.iter().filter(|holder| !live.contains(holder));
        let since_by_holder = absent.map(|holder| {
            let key = (Arc::clone(&holder.instance), holder.incarnation);
            let since = self.absent_since.get(&key).copied().unwrap_or(now);
            (key, since)
        });
        self.absent_since = since_by_holder.collect();
    }

    /// Waits for the instances that precede this one by name. Returns true if the allocation did not
    /// change meanwhile.
    async fn wait_for_turn(&self, live: &[Holder]) -> bool {
        let name = &self.instance.settings().name;
        let rank = live
            .iter()
            .take_while(|holder| holder.instance != *name)
            .count();
        let epoch = || {
            self.instance
                .view
                .borrow()
                .allocation()
                .map(|record| record.epoch)
        };
        let epoch_before = epoch();
        tokio::time::sleep(STAGGER_PER_RANK * u32::try_from(rank).unwrap_or(u32::MAX)).await;
        epoch() == epoch_before
    }

    async fn write_first_allocation(&self, now: Instant, live: &[Holder]) {
        let is_stable =
            now.saturating_duration_since(self.live_changed_at) >= FIRST_ALLOCATION_DELAY;
        if !is_stable || !self.wait_for_turn(live).await {
            return;
        }
        let instances: Vec<(&str, u64, &str)> = live
            .iter()
            .map(|holder| {
                let data_centre = holder.data_centre.as_ref();
                (holder.instance.as_ref(), holder.incarnation, data_centre)
            })
            .collect();
        self.swap(Allocation::even(&instances), 0).await;
    }

    /// Reassigns lanes of dead holders, or transfers surplus lanes of this instance.
    async fn maintain(&self, now: Instant, record: &Allocation, live: &[Holder]) {
        if self.reclaimed(now, record, live).is_some() {
            let has_predecessor = record
                .holders
                .iter()
                .any(|holder| self.is_own_predecessor(holder));
            if has_predecessor {
                tokio::time::sleep(claim_jitter(live)).await;
            } else if !self.wait_for_turn(live).await {
                return;
            }
            // Other instances may have claimed their lanes meanwhile.
            let record = self.instance.view.borrow().allocation().cloned();
            let now = self.instance.now();
            if let Some(next) = record.and_then(|record| self.reclaimed(now, &record, live)) {
                self.swap(next, self.revision()).await;
            }
            return;
        }
        let name = Arc::clone(&self.instance.settings().name);
        let Some(own) = live.iter().find(|holder| holder.instance == name) else {
            return;
        };
        let lanes = record.surplus(own, live);
        if !lanes.is_empty() {
            self.transfer_lanes(own, &lanes, live).await;
        }
    }

    /// Returns the allocation with the lanes of dead holders reassigned, or `None` if there are none.
    fn reclaimed(&self, now: Instant, record: &Allocation, live: &[Holder]) -> Option<Allocation> {
        let all_dead = !record.holders.iter().any(|holder| live.contains(holder));
        record.reclaimed(live, |holder| self.is_dead(now, holder, live, all_dead))
    }

    fn is_dead(&self, now: Instant, holder: &Holder, live: &[Holder], all_dead: bool) -> bool {
        let key = (Arc::clone(&holder.instance), holder.incarnation);
        let Some(since) = self.absent_since.get(&key) else {
            return false;
        };
        if self.is_own_predecessor(holder) && !all_dead {
            return now >= self.instance.clock.started_at() + self.max_loan_duration();
        }
        let has_successor = live.iter().any(|candidate| {
            candidate.instance == holder.instance && candidate.incarnation != holder.incarnation
        });
        // Only live holders can still spend lanes borrowed from dead holders; without any, no wait is
        // needed.
        let min_absence = match (has_successor, all_dead) {
            (true, true) => Duration::ZERO,
            (true, false) => self.max_loan_duration(),
            (false, _) => RECLAIM_DELAY,
        };
        now.saturating_duration_since(*since) >= min_absence
    }

    /// Returns the time from the end of a process until every loan of its lanes has expired.
    fn max_loan_duration(&self) -> Duration {
        self.instance.quota.limiter.borrow().max_loan_duration()
    }

    /// Returns whether the holder is another incarnation of this instance.
    fn is_own_predecessor(&self, holder: &Holder) -> bool {
        let name = &self.instance.settings().name;
        holder.instance == *name && holder.incarnation != self.instance.incarnation
    }

    /// Transfers lanes: stops spending them, waits until their loans have expired, then writes the new
    /// holders.
    async fn transfer_lanes(&self, own: &Holder, lanes: &[usize], live: &[Holder]) {
        {
            let mut limiter = self.instance.quota.limiter.borrow_mut();
            for lane in lanes {
                limiter.release(*lane);
            }
        }
        tokio::time::sleep(self.max_loan_duration()).await;
        let record = self.instance.view.borrow().allocation().cloned();
        let Some(record) = record else {
            return;
        };
        // A write without an answer may still take effect, so the lanes stay unused until the
        // allocation shows their holder; an unchanged allocation returns them to this instance.
        let next = record.transferred(own, lanes, live);
        match self.swap(next, self.revision()).await {
            Swap::Written => return,
            // Another instance changed the allocation first.
            Swap::Conflict => {}
            Swap::Unknown => tokio::time::sleep(MAX_PRIMARY_LEASE).await,
        }
        let now = self.instance.now();
        self.instance
            .quota
            .apply_allocation(now, self.instance.view.borrow().allocation());
    }

    fn revision(&self) -> u64 {
        let view = self.instance.view.borrow();
        view.item(ALLOCATION_KEY).map_or(0, |item| item.revision)
    }

    /// Replaces the allocation if its revision is `expected`.
    async fn swap(&self, mut next: Allocation, expected: u64) -> Swap {
        let (era, is_confirmed) = {
            let view = self.instance.view.borrow();
            (view.era(), view.is_era_confirmed())
        };
        // The era may have changed since the allocation was decided.
        if !is_confirmed {
            return Swap::Conflict;
        }
        if era_of(next.epoch) < era {
            next.epoch = revision_in(era, number_of(next.epoch));
        }
        let value = match serde_json::to_vec(&next) {
            Ok(value) => Bytes::from(value),
            Err(error) => {
                warn!(self.instance.log, "allocation of lanes can't be encoded"; "error" => %error);
                return Swap::Conflict;
            }
        };
        let change = ConditionalWrite {
            key: ALLOCATION_KEY,
            expected: Some(expected),
            value: Some(value),
            lease: None,
        };
        match self.instance.drivers.store.swap(change).await {
            Ok(WriteOutcome::Done(revision)) => {
                info!(self.instance.log, "record of shares written"; "epoch" => next.epoch,
                    "revision" => revision);
                self.instance
                    .quota
                    .apply_allocation(self.instance.now(), Some(&Arc::new(next)));
                Swap::Written
            }
            Ok(WriteOutcome::Conflict) => Swap::Conflict,
            Err(error) => {
                warn!(self.instance.log, "write of the allocation of lanes not confirmed"; "error" => %error);
                Swap::Unknown
            }
        }
    }
}

/// Returns a random delay before the lanes of an earlier incarnation are claimed, which spreads the
/// claims of a fleet that starts together.
fn claim_jitter(live: &[Holder]) -> Duration {
    let claims = u32::try_from(live.len()).unwrap_or(u32::MAX);
    let longest = (CLAIM_JITTER_PER_INSTANCE * claims).min(MAX_CLAIM_JITTER);
    longest.mul_f64(rand::rng().random())
}
