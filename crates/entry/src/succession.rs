//! Coordinates changes of primary: planned switchover and failover.
//!
//! An instance that detects that a primary is draining, evacuated or unresponsive for every instance
//! acquires the promotion lock, a lease in the store, and then runs the change: it writes a record
//! with the phase `Moving`, waits until every instance has released the previous primary, demotes that
//! primary if it answers, promotes the member with the highest position and writes it into the
//! record. If the lock holder fails midway, the record stays in `Moving`, and the next lock holder
//! starts the change again.
//!
//! An order without an answer may still take effect, so the record names its member from before the order
//! until it is answered. While it is pending, no other member is ordered.
//!
//! In a service with synchronous replicas, a successor is chosen among the members that may hold
//! acknowledged commits. Which these are stands in a record of its own, since a member's entry may lapse.

mod evidence;
pub mod loss;
mod overtaken;
mod previous;
mod promotion;
mod release;
mod replica_set;
mod selection;

pub(crate) use self::evidence::{Answer, status};
pub use self::evidence::{check_reachability, wait_until_released};
pub use self::overtaken::Leaders;
use self::promotion::OrderError;
use self::replica_set::Maintenance;

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use filbertbay_coordination::rendezvous;
use filbertbay_coordination::succession::{Phase, PrimaryRecord};
use slog::{info, warn};

use crate::endpoint::Endpoint;
use crate::instance::Instance;
use crate::lock::{self, Held, Lock};
use crate::store::{ConditionalWrite, Error, ErrorKind, Item, WriteOutcome};
use crate::task;
use crate::view::{PRIMARY_RECORD_PREFIX, PROMOTION_LOCK_KEY};

/// Time that an instance waits for each instance before it to act first.
const STAGGER_PER_RANK: Duration = Duration::from_millis(150);

/// Upper limit of the stagger in a large fleet.
const MAX_STAGGER: Duration = Duration::from_millis(1_500);

/// Interval of the checks while some service has a fault.
const FAULT_CHECK_INTERVAL: Duration = Duration::from_millis(150);

/// Interval of the checks while all services are healthy; finds faults that no event reports.
const HEALTHY_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Time for which a service may be without a known primary before one is promoted.
const LEADERLESS_DELAY: Duration = Duration::from_millis(2_500);

/// Interval between two rounds of requests to instances or members during a change.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Lock on promotions. The holder keeps it for its time to live after its last change of primary, so that
/// it does not alternate between instances.
const PROMOTION_LOCK: lock::Terms = lock::Terms {
    key: PROMOTION_LOCK_KEY,
    ttl: Duration::from_secs(3),
    renewal_interval: Duration::from_millis(900),
    margin: Duration::from_millis(900),
};

/// Why a primary is changed.
#[derive(Clone, Copy, Debug, Eq, PartialEq, strum::Display)]
#[strum(serialize_all = "snake_case")]
enum Reason {
    /// The primary reports that it is draining.
    Draining,
    /// The primary's data centre is evacuated.
    Evacuated,
    /// The primary's entry has been removed.
    Gone,
    /// No instance gets answers from the primary.
    Silent,
    /// The primary states that it is a replica.
    Overtaken,
    /// An earlier change was not completed.
    Unfinished,
    /// No primary is known.
    Leaderless,
}

impl Reason {
    /// Returns whether the change is a switchover, in which the previous primary still works.
    fn is_planned(self) -> bool {
        matches!(self, Self::Draining | Self::Evacuated)
    }
}

struct Coordinator {
    instance: Rc<Instance>,
    promotion_lock: Lock,
    /// Services whose primary this instance is changing.
    in_progress: RefCell<BTreeSet<Arc<str>>>,
    /// Time since which each service has had a fault without interruption.
    fault_since: RefCell<BTreeMap<Arc<str>, Instant>>,
    /// Last known endpoint of the primary of each service.
    known_primaries: RefCell<BTreeMap<Arc<str>, Rc<Endpoint>>>,
    /// Changes of the records of replica sets, by service.
    maintenances: RefCell<BTreeMap<Arc<str>, Maintenance>>,
    /// Members that the last failed change of each service waited for.
    awaited: RefCell<BTreeMap<Arc<str>, BTreeSet<Arc<str>>>>,
}

/// Change of a primary by this instance; ends on drop, also after a panic.
struct ChangeGuard(Rc<Coordinator>, Arc<str>);

impl Drop for ChangeGuard {
    fn drop(&mut self) {
        self.0.in_progress.borrow_mut().remove(&self.1);
        self.0.instance.primary_suspected.notify_one();
    }
}

/// Spawns the task that monitors the primaries.
pub fn spawn(instance: &Rc<Instance>) {
    let shared = Rc::clone(instance);
    task::spawn(&instance.log, "succession", move || {
        let coordinator = Rc::new(Coordinator {
            instance: Rc::clone(&shared),
            promotion_lock: Lock::new(PROMOTION_LOCK),
            in_progress: RefCell::default(),
            fault_since: RefCell::default(),
            known_primaries: RefCell::default(),
            maintenances: RefCell::default(),
            awaited: RefCell::default(),
        });
        coordinator.run()
    });
}

impl Coordinator {
    async fn run(self: Rc<Self>) {
        let mut changed = self.instance.view_changed.subscribe();
        loop {
            let is_healthy = self.check_services();
            let interval = if is_healthy {
                HEALTHY_CHECK_INTERVAL
            } else {
                FAULT_CHECK_INTERVAL
            };
            tokio::select! {
                _ = changed.changed() => {}
                () = self.instance.primary_suspected.notified() => {}
                () = tokio::time::sleep(interval) => {}
            }
        }
    }

    /// Checks every service and starts the changes that are due. Returns whether all are healthy.
    fn check_services(self: &Rc<Self>) -> bool {
        let now = self.instance.now();
        let Some(catalog) = self.instance.catalog() else {
            return true;
        };
        if self.instance.is_draining() || !self.instance.view.borrow().primary_lease.is_valid(now) {
            return true;
        }
        let mut is_healthy = true;
        self.forget_primaries(&catalog);
        for service in catalog.services.keys() {
            self.remember_primary(service);
            self.maintain_replica_set(service, now);
            let Some(reason) = self.detect_fault(service) else {
                self.fault_since.borrow_mut().remove(service);
                self.set_awaited(service, BTreeSet::new());
                continue;
            };
            is_healthy = false;
            let since = *self
                .fault_since
                .borrow_mut()
                .entry(Arc::clone(service))
                .or_insert(now);
            let wait = self.stagger(service) + Self::confirmation_delay(reason);
            let is_free = !self.in_progress.borrow().contains(service);
            if is_free && now.saturating_duration_since(since) >= wait {
                self.in_progress.borrow_mut().insert(Arc::clone(service));
                let (coordinator, service) = (Rc::clone(self), Arc::clone(service));
                let change = ChangeGuard(Rc::clone(self), Arc::clone(&service));
                tokio::task::spawn_local(async move {
                    if !coordinator.try_change(&service, reason).await {
                        // The fault persists while another instance changes the primary.
                        tokio::time::sleep(FAULT_CHECK_INTERVAL).await;
                    }
                    drop(change);
                });
            }
        }
        is_healthy
    }

    /// Returns how long a fault must last before a change begins.
    fn confirmation_delay(reason: Reason) -> Duration {
        match reason {
            Reason::Leaderless => LEADERLESS_DELAY,
            _ => Duration::ZERO,
        }
    }

    /// Returns the delay before this instance starts a change: the lock holder starts at once, the
    /// other instances are staggered in an order that differs by service.
    fn stagger(&self, service: &str) -> Duration {
        let own = Arc::clone(&self.instance.settings().name);
        let view = self.instance.view.borrow();
        if view
            .lock_holder(PROMOTION_LOCK_KEY)
            .is_some_and(|(holder, _)| holder.instance == own)
        {
            return Duration::ZERO;
        }
        let names: Vec<&str> = view.peers().keys().map(AsRef::as_ref).collect();
        let order = rendezvous::rank(service, names, |name| name);
        let rank = order.iter().position(|name| *name == own.as_ref());
        let rank = rank.unwrap_or(0);
        let held = usize::from(view.lock_holder(PROMOTION_LOCK_KEY).is_some());
        let steps = u32::try_from(rank + held).unwrap_or(u32::MAX);
        STAGGER_PER_RANK.saturating_mul(steps).min(MAX_STAGGER)
    }

    /// Returns the reason to change the primary of a service, or `None` if there is none.
    fn detect_fault(&self, service: &Arc<str>) -> Option<Reason> {
        let view = self.instance.view.borrow();
        if let Some(stored) = view.primary_record(service)
            && stored.record.phase == Phase::Moving
        {
            return Some(Reason::Unfinished);
        }
        view.endpoints(service).next()?;
        let Some(id) = view.primary(service) else {
            return Some(Reason::Leaderless);
        };
        let Some(endpoint) = view.endpoint(&id) else {
            return Some(Reason::Gone);
        };
        let alternatives = view.endpoints(service).filter(|member| member.id != id);
        let mut alternatives = alternatives
            .filter(|member| !member.is_draining && !view.is_evacuated(&member.data_centre));
        let has_successor = alternatives.next().is_some();
        if view.is_evacuated(&endpoint.data_centre) && has_successor {
            return Some(Reason::Evacuated);
        }
        if endpoint.is_draining && has_successor {
            return Some(Reason::Draining);
        }
        let failure_detector = self.instance.pool.for_endpoint(endpoint).failure_detector();
        if failure_detector.is_suspect(self.instance.now()) {
            return Some(Reason::Silent);
        }
        self.may_be_overtaken(service).then_some(Reason::Overtaken)
    }

    /// Runs a change if the fault is confirmed and this instance gets the promotion lock. Returns
    /// whether the fault has ended.
    async fn try_change(&self, service: &Arc<str>, reason: Reason) -> bool {
        if reason == Reason::Silent && !self.is_unresponsive_for_all(service).await {
            return false;
        }
        if reason == Reason::Overtaken && !self.is_overtaken(service).await {
            return false;
        }
        // A pending order may only be repeated, which would lead back to the same primary.
        if reason.is_planned() && self.pending_order(service).is_some() {
            return false;
        }
        if reason.is_planned() && !self.can_switch_over(service).await {
            return false;
        }
        let lock = match self.promotion_lock.acquire(&self.instance).await {
            Ok(Some(lock)) => lock,
            Ok(None) => return false,
            Err(error) => {
                info!(self.instance.log, "promotion lock not acquired"; "error" => %error);
                return false;
            }
        };
        // Another instance may have completed the change before the lock was acquired.
        if self.detect_fault(service).is_none() {
            return true;
        }
        info!(self.instance.log, "change of primary begins"; "service" => service.as_ref(),
            "reason" => %reason, "fence" => lock.fence);
        let started_at = self.instance.now();
        let outcome = self.change(service, reason, lock).await;
        let took = self.instance.now().saturating_duration_since(started_at);
        let took = took.as_millis() as u64;
        let is_changed = outcome.is_ok();
        match outcome {
            Ok(primary) => {
                metrics::counter!("filbertbay_promotions_total").increment(1);
                info!(self.instance.log, "change of primary ends"; "service" => service.as_ref(),
                    "primary" => primary.as_ref(), "took_ms" => took, "fence" => lock.fence);
            }
            Err(problem) => {
                warn!(self.instance.log, "change of primary failed"; "service" => service.as_ref(),
                    "problem" => problem, "took_ms" => took);
            }
        }
        is_changed
    }

    /// Runs a change of primary, and returns the new primary or the problem that prevented it.
    async fn change(
        &self,
        service: &Arc<str>,
        reason: Reason,
        lock: Held,
    ) -> Result<Arc<str>, &'static str> {
        let from = self.previous_primary(service);
        let pending_order = self.pending_order(service);
        let record = PrimaryRecord {
            fence: lock.fence,
            phase: Phase::Moving,
            from: from.clone(),
            holder: Arc::clone(&self.instance.settings().name),
            change: self.next_change(service),
            term: None,
            pending_order: pending_order.clone(),
        };
        let release_record = self.write_record(service, &record).await?;
        self.wait_for_release(service, &release_record).await?;
        let previous = from
            .as_ref()
            .and_then(|id| self.previous_endpoint(service, id));
        let demoted = self.demote(previous.as_ref(), reason).await;
        let (next, baseline) = self
            .select_successor(service, from.as_ref(), demoted, pending_order.as_ref())
            .await?;
        let ordered = PrimaryRecord {
            change: record.change + 1,
            pending_order: Some(Arc::clone(&next.id)),
            ..record.clone()
        };
        self.write_record(service, &ordered).await?;
        let (phase, term) = match self.promote(service, &next, baseline, lock).await {
            Ok(term) => (Phase::Leading(Arc::clone(&next.id)), Some(term)),
            Err(OrderError::Ineffective(problem)) => {
                info!(self.instance.log, "order to promote had no effect"; "service" => service.as_ref(),
                    "endpoint" => next.id.as_ref(), "problem" => problem);
                (Phase::Moving, None)
            }
            Err(OrderError::Pending(problem)) => return Err(problem),
        };
        let is_leading = term.is_some();
        let record = PrimaryRecord {
            phase,
            change: ordered.change + 1,
            term,
            // An earlier order for the same member may still be pending.
            ..record
        };
        self.write_record(service, &record).await?;
        if !is_leading {
            return Err("the order to promote had no effect");
        }
        Ok(Arc::clone(&next.id))
    }

    /// Renews the promotion lock if that is due. Returns whether it is held for some time longer for
    /// certain.
    async fn renew_lock(&self) -> bool {
        self.promotion_lock.renew(&self.instance).await.is_some()
    }

    /// Returns the member whose promotion was ordered without an answer and may still take effect.
    fn pending_order(&self, service: &str) -> Option<Arc<str>> {
        let view = self.instance.view.borrow();
        let stored = view.primary_record(service)?;
        stored.pending_order(self.instance.now()).cloned()
    }

    fn next_change(&self, service: &str) -> u64 {
        let view = self.instance.view.borrow();
        let stored = view.primary_record(service);
        stored.map_or(0, |stored| stored.record.change + 1)
    }

    /// Writes the record of a service if no other instance has changed it, and applies it to the view.
    async fn write_record(
        &self,
        service: &Arc<str>,
        record: &PrimaryRecord,
    ) -> Result<Item, &'static str> {
        let key: Arc<str> = format!("{PRIMARY_RECORD_PREFIX}{service}").into();
        let expected = self.instance.view.borrow().stored_revision(&key);
        let value = encode(record).map_err(|_| "the record can't be encoded")?;
        let held = self.promotion_lock.renew(&self.instance).await;
        // Another change of this instance may have acquired the lock again, under a higher token.
        if held.is_none_or(|held| held.fence != record.fence) {
            return Err("the promotion lock was lost before the record was written");
        }
        let change = ConditionalWrite {
            key: &key,
            expected: Some(expected),
            value: Some(value.clone()),
            lease: None,
        };
        match self.instance.drivers.store.swap(change).await {
            Ok(WriteOutcome::Done(revision)) => {
                let item = Item {
                    key,
                    value: value.to_vec(),
                    revision,
                };
                self.instance.apply_item(item.clone());
                Ok(item)
            }
            Ok(WriteOutcome::Conflict) => Err("the record was changed by another instance"),
            Err(error) => {
                info!(self.instance.log, "record of a primary not confirmed"; "error" => %error);
                Err("the store did not confirm the record")
            }
        }
    }
}

fn encode<T>(value: &T) -> Result<Bytes, Error>
where
    T: serde::Serialize,
{
    let bytes = serde_json::to_vec(value)
        .map_err(|error| Error::new(ErrorKind::Refused, "swap", error.to_string()))?;
    Ok(Bytes::from(bytes))
}
