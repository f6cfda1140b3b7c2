//! Holds the usage lock, seals windows in the store and reports them.

use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use filbertbay_coordination::rendezvous;
use filbertbay_coordination::usage::{Collector, Record, Schedule, SealedWindow};
use slog::{info, warn};

use super::TICK_INTERVAL;
use crate::instance::Instance;
use crate::lock::{Held, Lock, Terms};
use crate::settings;
use crate::store::{ConditionalWrite, Delivery, ErrorKind, WriteOutcome};
use crate::view::{USAGE_LOCK_KEY, USAGE_RECORD_KEY};

/// Lock on usage reports. A report takes a second at most, so that none is on its way when the lock ends.
const USAGE_LOCK: Terms = Terms {
    key: USAGE_LOCK_KEY,
    ttl: Duration::from_secs(4),
    renewal_interval: Duration::from_secs(1),
    margin: Duration::from_millis(1_200),
};

/// Time that an instance waits for each instance ranked before it to take a free lock.
const STAGGER_PER_RANK: Duration = Duration::from_millis(100);

/// Upper limit of the stagger in a large fleet.
const MAX_STAGGER: Duration = Duration::from_millis(1_500);

/// Time without an answer to reports after which another instance, which may reach the platform, takes over.
const RESIGN_AFTER: Duration = Duration::from_secs(4);

/// Time for which an instance that gave up the lock does not take it again.
const RESIGNATION: Duration = Duration::from_secs(10);

/// Windows whose acceptance is remembered after their report.
const MAX_REPORTED: usize = 128;

/// Task that reports usage while this instance holds the usage lock.
pub(super) struct Reporter {
    instance: Rc<Instance>,
    schedule: Schedule,
    /// Time after acquiring the lock before the first report. Twice this is above the time within which
    /// reports must not come from two holders by turns.
    settling_time: Duration,
    lock: Lock,
    vacant_since: Option<Instant>,
    /// Time since which no report was answered.
    unanswered_since: Option<Instant>,
    resigned_at: Option<Instant>,
    /// Windows whose reports were accepted or rejected.
    reported: Vec<u64>,
    /// Record as this instance wrote it last, with its revision.
    written: Option<(Record, u64)>,
    /// Revision of the record that was not the newest one when it was to be replaced.
    stale_revision: Option<u64>,
}

impl Reporter {
    pub(super) fn new(instance: Rc<Instance>, usage: settings::Usage) -> Self {
        let schedule = Schedule::new(
            Duration::from_secs(usage.window_s),
            Duration::from_secs(usage.late_s),
        );
        Self {
            instance,
            schedule,
            settling_time: Duration::from_millis(usage.lease_ms / 2 + 100),
            lock: Lock::new(USAGE_LOCK),
            vacant_since: None,
            unanswered_since: None,
            resigned_at: None,
            reported: Vec::new(),
            written: None,
            stale_revision: None,
        }
    }

    pub(super) async fn run(mut self) {
        loop {
            tokio::time::sleep(TICK_INTERVAL).await;
            if let Some(held) = self.hold().await {
                self.prepare(held);
                self.seal(held).await;
                self.report(held).await;
            } else if !self.lock.is_held().await {
                *self.instance.usage.collector.borrow_mut() = None;
            }
        }
    }

    /// Returns the lock if this instance holds it, renewed or acquired if that is due.
    async fn hold(&mut self) -> Option<Held> {
        let instance = &self.instance;
        // The record of windows must be the newest that any instance remembers.
        if !instance.view.borrow().is_era_confirmed() {
            return None;
        }
        if instance.is_draining() {
            self.lock.release(instance).await;
            return None;
        }
        if self.lock.is_held().await {
            return self.lock.renew(instance).await;
        }
        if !self.is_due() {
            return None;
        }
        self.vacant_since = None;
        self.unanswered_since = None;
        match self.lock.acquire(&self.instance).await {
            Ok(held) => held,
            Err(error) => {
                info!(self.instance.log, "usage lock not acquired"; "error" => %error);
                None
            }
        }
    }

    /// Returns whether the lock has been free for so long that this instance takes it.
    fn is_due(&mut self) -> bool {
        let instance = &self.instance;
        let now = instance.now();
        let view = instance.view.borrow();
        let has_resigned = self.resigned_at.is_some_and(|at| now < at + RESIGNATION);
        let is_vacant = !has_resigned
            && view.lock_holder(USAGE_LOCK_KEY).is_none()
            && instance.is_store_reachable.get()
            && view.primary_lease.is_valid(now);
        if !is_vacant {
            self.vacant_since = None;
            return false;
        }
        let own = Arc::clone(&instance.settings().name);
        let names: Vec<&str> = view.peers().keys().map(AsRef::as_ref).collect();
        let order = rendezvous::rank(USAGE_LOCK_KEY, names, |name| name);
        let rank = order.iter().position(|name| *name == own.as_ref());
        let Some(rank) = rank else {
            return false;
        };
        let stagger = STAGGER_PER_RANK.saturating_mul(u32::try_from(rank).unwrap_or(u32::MAX));
        let since = *self.vacant_since.get_or_insert(now);
        now >= since + stagger.min(MAX_STAGGER)
    }

    /// Begins to collect counts under a new fencing token.
    fn prepare(&mut self, held: Held) {
        let mut collector = self.instance.usage.collector.borrow_mut();
        if collector
            .as_ref()
            .is_none_or(|(fence, _)| *fence != held.fence)
        {
            let settled_at = self
                .instance
                .usage
                .clock
                .at(held.since + self.settling_time);
            let empty = Collector::new(self.schedule).incomplete_from(settled_at);
            *collector = Some((held.fence, empty));
            self.written = None;
            self.stale_revision = None;
        }
    }

    /// Returns the newest record that this instance knows, and its revision; zero if there is none.
    fn record(&self) -> (Record, u64) {
        let view = self.instance.view.borrow();
        let seen = view.usage_record();
        let written = self.written.as_ref();
        // Revisions don't order records of different eras of the store.
        match (seen, written) {
            (Some((seen, _)), Some((written, at)))
                if written.sealed_through > seen.sealed_through =>
            {
                (written.clone(), *at)
            }
            (Some((seen, revision)), _) => (Record::clone(&seen), revision),
            (None, Some((written, at))) => (written.clone(), *at),
            (None, None) => {
                let started_at = self.instance.clock.started_at();
                let started_at = self.instance.usage.clock.at(started_at);
                (Record::starting_at(self.schedule, started_at), 0)
            }
        }
    }

    /// Seals the windows whose counts are complete or that can't wait any longer.
    async fn seal(&mut self, held: Held) {
        loop {
            let (record, revision) = self.record();
            if self.stale_revision == Some(revision) {
                return;
            }
            let now = self.instance.usage.clock.at(self.instance.now());
            let window = record.next_window(self.schedule, now);
            let seal = {
                let view = self.instance.view.borrow();
                let live = view.peers().iter();
                let live = live.map(|(name, peer)| (name.as_ref(), peer.incarnation));
                let collector = self.instance.usage.collector.borrow();
                collector
                    .as_ref()
                    .and_then(|(_, collector)| collector.seal(window, now, live))
            };
            let Some(seal) = seal else {
                return;
            };
            if !seal.missing.is_empty() {
                metrics::counter!("filbertbay_usage_windows_total", "outcome" => "incomplete")
                    .increment(1);
                warn!(self.instance.log, "usage window sealed without some counts"; "window" => window,
                    "missing" => seal.missing.join(","), "fence" => held.fence);
            }
            let sealed = SealedWindow {
                window,
                counts: seal.counts,
            };
            let (next, dropped) = record.with(sealed, |window| self.reported.contains(&window));
            if dropped > 0 {
                metrics::counter!("filbertbay_usage_windows_total", "outcome" => "dropped")
                    .increment(dropped as u64);
                warn!(self.instance.log, "usage windows given up"; "count" => dropped);
            }
            if !self.write(next, revision).await {
                return;
            }
        }
    }

    /// Writes the record in place of the one with the revision. Returns whether it is known to be stored.
    async fn write(&mut self, record: Record, expected: u64) -> bool {
        let Ok(value) = serde_json::to_vec(&record) else {
            warn!(self.instance.log, "record of usage can't be encoded");
            return false;
        };
        let change = ConditionalWrite {
            key: USAGE_RECORD_KEY,
            expected: Some(expected),
            value: Some(Bytes::from(value)),
            lease: None,
        };
        match self.instance.drivers.store.swap(change).await {
            Ok(WriteOutcome::Done(revision)) => {
                self.forget_through(record.sealed_through);
                self.written = Some((record, revision));
                true
            }
            Ok(WriteOutcome::Conflict) => {
                // An earlier write of this instance or one of its predecessor took effect. The view
                // will show it.
                info!(self.instance.log, "record of usage changed meanwhile"; "revision" => expected);
                self.stale_revision = Some(expected);
                false
            }
            Err(error) => {
                info!(self.instance.log, "record of usage not confirmed"; "error" => %error);
                false
            }
        }
    }

    fn forget_through(&self, window: u64) {
        let view = self.instance.view.borrow();
        let is_live = |name: &str, incarnation: u64| {
            let peer = view.peers().get(name);
            peer.is_some_and(|peer| peer.incarnation == incarnation)
        };
        if let Some((_, collector)) = self.instance.usage.collector.borrow_mut().as_mut() {
            collector.forget_through(window, is_live);
        }
        let mut clocks = self.instance.usage.clocks.borrow_mut();
        clocks.retain(|name| view.peers().contains_key(name));
        // This instance's clock is corrected like those of the others.
        let error_ms = clocks.error(0);
        clocks.set_back(error_ms);
        self.instance.usage.correct_clock(&self.instance, error_ms);
    }

    /// Reports the sealed windows that were not accepted yet.
    async fn report(&mut self, held: Held) {
        if self.instance.now() < held.since + self.settling_time {
            return;
        }
        let (record, revision) = self.record();
        if revision == 0 {
            return;
        }
        for sealed in &record.unreported {
            if self.reported.contains(&sealed.window) {
                continue;
            }
            // The lock may have ended during the calls before.
            let Some(confirmed) = self.lock.confirm(&self.instance).await else {
                return;
            };
            if confirmed.fence != held.fence {
                return;
            }
            if !self.send(sealed, confirmed).await {
                self.resign_if_unanswered().await;
                return;
            }
            self.unanswered_since = None;
        }
    }

    /// Gives up the lock if the platform has not answered this instance for a while.
    async fn resign_if_unanswered(&mut self) {
        let now = self.instance.now();
        let since = *self.unanswered_since.get_or_insert(now);
        let has_peers = self.instance.view.borrow().peers().len() > 1;
        if has_peers && now >= since + RESIGN_AFTER {
            info!(
                self.instance.log,
                "usage lock given up, reports are not answered"
            );
            self.resigned_at = Some(now);
            self.lock.release(&self.instance).await;
        }
    }

    /// Reports one window. Returns whether the platform answered.
    async fn send(&mut self, sealed: &SealedWindow, held: Held) -> bool {
        let instance = &self.instance;
        let window = sealed.window;
        let holder = Arc::clone(&instance.settings().name);
        let metering = &instance.drivers.metering;
        let answer = metering.report(window, &sealed.counts, &holder, held.fence);
        let is_accepted = match answer.await {
            Ok(delivery) => delivery == Delivery::Accepted,
            Err(error) => {
                info!(instance.log, "usage report not confirmed"; "window" => window,
                    "refused" => error.kind() == ErrorKind::Refused, "error" => %error);
                return false;
            }
        };
        self.reported.push(window);
        let surplus = self.reported.len().saturating_sub(MAX_REPORTED);
        self.reported.drain(..surplus);
        let now = instance.usage.clock.at(instance.now());
        let outcome = match (is_accepted, now <= self.schedule.due(window)) {
            (false, _) => "rejected",
            (true, false) => "late",
            (true, true) => "reported",
        };
        metrics::counter!("filbertbay_usage_windows_total", "outcome" => outcome).increment(1);
        let after = now.saturating_sub(self.schedule.end(window));
        let statements: u64 = sealed.counts.values().sum();
        info!(instance.log, "usage window reported"; "window" => window, "outcome" => outcome,
            "statements" => statements, "workspaces" => sealed.counts.len(),
            "after_ms" => after.as_millis() as u64, "fence" => held.fence);
        true
    }
}
