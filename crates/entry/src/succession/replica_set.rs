//! Keeps the record of the members of each service that may hold acknowledged commits.
//!
//! Every instance adds a member to the record when it first sees it. The holder of the promotion lock
//! removes members that have ended, once the primary and enough others have what these may have held.
//! A service without synchronous replicas has no record and costs nothing.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use filbertbay_coordination::succession::Phase;
use filbertbay_coordination::succession::replica_set::{
    Evidence, Key, Member, Record, Step, Upkeep,
};
use filbertbay_state::position::Position;
use filbertbay_state::status::Role;
use futures::future::join_all;
use slog::{info, warn};

use super::evidence::{Answer, status};
use super::{Coordinator, encode};
use crate::endpoint::Endpoint;
use crate::instance::Instance;
use crate::store::{ConditionalWrite, Item, WriteOutcome};
use crate::view::{PRIMARY_RECORD_PREFIX, REPLICA_SET_PREFIX};

/// Interval between two attempts to change a record.
const ATTEMPT_INTERVAL: Duration = Duration::from_secs(1);

/// Changes of the record of one service by this instance.
#[derive(Debug)]
pub(super) struct Maintenance {
    upkeep: Upkeep,
    /// Since when the record is to be changed.
    due_since: Option<Instant>,
    last_attempt: Option<Instant>,
    is_running: bool,
}

impl Maintenance {
    fn new(now: Instant, demand: usize) -> Self {
        Self {
            upkeep: Upkeep::new(now, demand),
            due_since: None,
            last_attempt: None,
            is_running: false,
        }
    }

    /// Returns whether a change that is due may begin: this instance's turn has come, and none runs or
    /// began a moment ago.
    fn begin(&mut self, now: Instant, stagger: Duration) -> bool {
        let since = *self.due_since.get_or_insert(now);
        let is_recent = self
            .last_attempt
            .is_some_and(|at| now < at + ATTEMPT_INTERVAL);
        if self.is_running || is_recent || now < since + stagger {
            return false;
        }
        self.is_running = true;
        self.last_attempt = Some(now);
        true
    }
}

impl Coordinator {
    /// Returns the synchronous replicas with which every commit that counts was acknowledged: the lower
    /// of the demand in force and the recorded one, or the recorded one after a demand has ended.
    pub(super) fn synchronous_replicas(&self, service: &str, record: Option<&Record>) -> usize {
        let demand = self.demand(service);
        let recorded = record.map_or(0, |record| record.synchronous_replicas);
        match (demand, recorded) {
            (0, recorded) => recorded,
            (demand, 0) => demand,
            (demand, recorded) => demand.min(recorded),
        }
    }

    fn demand(&self, service: &str) -> usize {
        let catalog = self.instance.catalog();
        let service = catalog.and_then(|catalog| catalog.services.get(service).copied());
        service.map_or(0, |service| service.synchronous_replicas)
    }

    /// Returns the newest record of a service as the store holds it, for a change of primary. `None` if
    /// nothing is demanded, or nothing was recorded yet.
    pub(super) async fn stored_replica_set(
        &self,
        service: &str,
    ) -> Result<Option<Rc<Record>>, &'static str> {
        let known = self.instance.view.borrow().replica_set(service).cloned();
        if self.synchronous_replicas(service, known.as_deref()) == 0 {
            return Ok(None);
        }
        let key = key_of(service);
        let listing = self.instance.drivers.store.list(&key).await;
        let listing = listing.map_err(|_| "the store did not list the replica set")?;
        let item = listing.items.into_iter().find(|item| item.key == key);
        let Some(item) = item else {
            return Ok(known);
        };
        let stored: Record = serde_json::from_slice(&item.value)
            .map_err(|_| "the record of the replica set can't be read")?;
        // A store that returned from a copy may hold an older one.
        let is_newer = known.as_ref().is_none_or(|known| known.precedes(&stored));
        Ok(if is_newer {
            Some(Rc::new(stored))
        } else {
            known
        })
    }

    /// Starts a change of the record of a service if one is due.
    pub(super) fn maintain_replica_set(self: &Rc<Self>, service: &Arc<str>, now: Instant) {
        let Some(step) = self.next_step(service, now) else {
            return;
        };
        let has_fault = matches!(step, Step::Settle { .. }) && self.detect_fault(service).is_some();
        let stagger = self.stagger(service);
        let mut maintenances = self.maintenances.borrow_mut();
        let Some(maintenance) = maintenances.get_mut(service) else {
            return;
        };
        if has_fault || !maintenance.begin(now, stagger) {
            return;
        }
        let (coordinator, service) = (Rc::clone(self), Arc::clone(service));
        tokio::task::spawn_local(async move {
            let outcome = match step {
                Step::Admit(next) => coordinator.write_replica_set(&service, &next).await,
                Step::Settle {
                    ended,
                    synchronous_replicas,
                } => {
                    coordinator
                        .settle(&service, ended, synchronous_replicas)
                        .await
                }
            };
            if let Err(problem) = outcome {
                info!(coordinator.instance.log, "replica set not changed"; "service" => service.as_ref(),
                    "problem" => problem);
            }
            if let Some(maintenance) = coordinator.maintenances.borrow_mut().get_mut(&service) {
                maintenance.is_running = false;
            }
        });
    }

    /// Returns the change of the record of a service that is due, if any.
    fn next_step(&self, service: &Arc<str>, now: Instant) -> Option<Step> {
        let view = self.instance.view.borrow();
        let record = view.replica_set(service).map(AsRef::as_ref);
        let demand = self.demand(service);
        let mut maintenances = self.maintenances.borrow_mut();
        if self.synchronous_replicas(service, record) == 0 {
            if maintenances.remove(service).is_some() {
                unlisted_gauge(service).set(0.0);
            }
            return None;
        }
        // A record that is older than the one that others remember must not be continued.
        if !view.is_era_confirmed() {
            return None;
        }
        let maintenance = maintenances
            .entry(Arc::clone(service))
            .or_insert_with(|| Maintenance::new(now, demand));
        let record = record.cloned().unwrap_or_default();
        let listed = view.listed_endpoints();
        let listed = listed.map(|endpoint| (identify(Some(&record), endpoint), endpoint.address));
        let listed: BTreeMap<Key, SocketAddr> = listed.collect();
        let upkeep = &mut maintenance.upkeep;
        for key in upkeep.observe(now, demand, &record, &listed.keys().cloned().collect()) {
            warn!(self.instance.log, "member without an entry may hold acknowledged commits";
                "service" => service.as_ref(), "member" => %key);
        }
        unlisted_gauge(service).set(upkeep.unlisted_count() as f64);
        let members = view
            .endpoints(service)
            .map(|endpoint| member_of(&record, endpoint));
        let members: Vec<Member> = members.collect();
        let addresses = listed.iter().map(|(key, address)| (key, *address));
        let step = upkeep.next_step(now, &record, &members, addresses);
        if step.is_none() {
            maintenance.due_since = None;
        }
        step
    }

    /// Drops the members in `ended` from the record if the primary and enough others have all that these
    /// may have received.
    async fn settle(
        &self,
        service: &Arc<str>,
        mut ended: BTreeSet<Key>,
        synchronous_replicas: usize,
    ) -> Result<(), &'static str> {
        let was_held = self.promotion_lock.is_held().await;
        let lock = self.promotion_lock.acquire(&self.instance).await;
        let Ok(Some(lock)) = lock else {
            return Err("another instance holds the promotion lock");
        };
        let outcome = async {
            let primary = self.stored_primary(service).await?;
            ended.retain(|key| *key != primary);
            let evidence = self
                .settling_evidence(service, &primary, ended, synchronous_replicas)
                .await?;
            let known = self.instance.view.borrow().replica_set(service).cloned();
            let known = known.ok_or("no replica set is recorded")?;
            let next = known.settle(&evidence);
            let next = next.ok_or("too few members have what the primary has")?;
            let held = self.promotion_lock.confirm(&self.instance).await;
            let is_held = held.is_some_and(|held| held.fence == lock.fence);
            let is_same = self.instance.view.borrow().primary(service) == Some(primary.id);
            if !is_held || !is_same || self.in_progress.borrow().contains(service) {
                return Err("a change of primary may have begun");
            }
            self.write_replica_set(service, &next).await
        };
        let outcome = outcome.await;
        // A lock that was taken for this alone must not delay a change by another instance.
        if !was_held && self.in_progress.borrow().is_empty() {
            self.promotion_lock.release(&self.instance).await;
        }
        outcome
    }

    /// Returns the primary of a service if the store names the same one as the view.
    async fn stored_primary(&self, service: &str) -> Result<Key, &'static str> {
        let key: Arc<str> = format!("{PRIMARY_RECORD_PREFIX}{service}").into();
        let listing = self.instance.drivers.store.list(&key).await;
        let listing = listing.map_err(|_| "the store did not list the record of the primary")?;
        let stored = listing.items.into_iter().find(|item| item.key == key);
        let view = self.instance.view.borrow();
        let is_same =
            stored.as_ref().map(|item| &item.value) == view.item(&key).map(|item| &item.value);
        let is_leading = view
            .primary_record(service)
            .is_none_or(|stored| matches!(stored.record.phase, Phase::Leading(_)));
        let primary = view.primary(service).filter(|_| is_same && is_leading);
        let endpoint = primary.and_then(|id| view.endpoint(&id));
        let endpoint = endpoint.ok_or("the primary is being changed")?;
        let record = view.replica_set(service).map(AsRef::as_ref);
        Ok(identify(record, endpoint))
    }

    /// Asks the primary for its position, then the other members for what they have received.
    async fn settling_evidence(
        &self,
        service: &str,
        primary: &Key,
        mut ended: BTreeSet<Key>,
        synchronous_replicas: usize,
    ) -> Result<Evidence, &'static str> {
        let (members, record) = {
            let view = self.instance.view.borrow();
            let members: Vec<Rc<Endpoint>> = view.endpoints(service).cloned().collect();
            (members, view.replica_set(service).cloned())
        };
        let record = record.ok_or("no replica set is recorded")?;
        // A member that is only cut off from the store still answers.
        let drained = lapsed_endpoints(&record, service, &members);
        for endpoint in drained {
            let key = identify(Some(&record), &endpoint);
            if ended.contains(&key) && status(&self.instance, &endpoint).await != Answer::Silent {
                ended.remove(&key);
            }
            self.instance.pool.remove(&endpoint.id);
        }
        let leader = members.iter().find(|member| member.id == primary.id);
        let leader = leader.ok_or("the primary is being changed")?;
        let stated = status(&self.instance, leader).await.status();
        let stated = stated.filter(|status| status.role == Role::Primary);
        let position = stated
            .ok_or("the primary does not state its position")?
            .received;
        let others = members.iter().filter(|member| member.id != primary.id);
        let answers = others.map(|member| async {
            let answer = status(&self.instance, member).await;
            Some((identify(Some(&record), member), answer.status()?.received))
        });
        let received: Vec<Option<(Key, Position)>> = join_all(answers).await;
        Ok(Evidence {
            synchronous_replicas,
            primary: primary.clone(),
            position,
            received: received.into_iter().flatten().collect(),
            ended,
        })
    }

    /// Writes the record of a service if no other instance has changed it, and applies it to the view.
    async fn write_replica_set(
        &self,
        service: &Arc<str>,
        record: &Record,
    ) -> Result<(), &'static str> {
        let key = key_of(service);
        let expected = self.instance.view.borrow().stored_revision(&key);
        let value = encode(record).map_err(|_| "the record can't be encoded")?;
        let change = ConditionalWrite {
            key: &key,
            expected: Some(expected),
            value: Some(value.clone()),
            lease: None,
        };
        match self.instance.drivers.store.swap(change).await {
            Ok(WriteOutcome::Done(revision)) => {
                self.instance.apply_item(Item {
                    key,
                    value: value.to_vec(),
                    revision,
                });
                Ok(())
            }
            Ok(WriteOutcome::Conflict) => Err("the record was changed by another instance"),
            Err(error) => {
                info!(self.instance.log, "replica set not confirmed"; "error" => %error);
                Err("the store did not confirm the record")
            }
        }
    }

    /// Names the members that a change of primary waits for, in the metric; none once it has ended.
    pub(super) fn set_awaited(&self, service: &str, awaited: BTreeSet<Arc<str>>) {
        let mut known = self.awaited.borrow_mut();
        let before = known.remove(service).unwrap_or_default();
        for id in before.difference(&awaited) {
            awaited_gauge(service, id).set(0.0);
        }
        for id in &awaited {
            awaited_gauge(service, id).set(1.0);
        }
        if !awaited.is_empty() {
            known.insert(service.into(), awaited);
        }
    }
}

fn key_of(service: &str) -> Arc<str> {
    format!("{REPLICA_SET_PREFIX}{service}").into()
}

/// Returns the identity of an endpoint's log.
pub(super) fn identify(record: Option<&Record>, endpoint: &Endpoint) -> Key {
    let unrecorded = Record::default();
    let record = record.unwrap_or(&unrecorded);
    record.identify(&endpoint.id, endpoint.incarnation, endpoint.reports)
}

fn member_of(record: &Record, endpoint: &Endpoint) -> Member {
    Member {
        key: identify(Some(record), endpoint),
        address: endpoint.address,
        data_centre: Arc::clone(&endpoint.data_centre),
        slots: endpoint.slots,
        reports: endpoint.reports,
        is_draining: endpoint.is_draining,
    }
}

/// Returns the recorded members whose ids are not among `listed`, at their last known addresses.
pub(super) fn lapsed_endpoints(
    record: &Record,
    service: &str,
    listed: &[Rc<Endpoint>],
) -> Vec<Rc<Endpoint>> {
    let mut lapsed: Vec<Rc<Endpoint>> = Vec::new();
    // The last incarnation of an id is the one that may answer.
    for member in record.members.iter().rev() {
        let has_id = |endpoint: &Rc<Endpoint>| endpoint.id == member.key.id;
        if !listed.iter().any(has_id) && !lapsed.iter().any(has_id) {
            lapsed.push(Rc::new(Endpoint {
                id: Arc::clone(&member.key.id),
                incarnation: member.key.incarnation,
                reports: member.reports,
                service: service.into(),
                address: member.address,
                data_centre: Arc::clone(&member.data_centre),
                slots: member.slots,
                is_draining: member.is_draining,
                role: Role::Replica,
                is_cold: false,
            }));
        }
    }
    lapsed
}

fn awaited_gauge(service: &str, id: &str) -> metrics::Gauge {
    metrics::gauge!("filbertbay_promotion_awaits", "service" => service.to_owned(),
        "endpoint" => id.to_owned())
}

fn unlisted_gauge(service: &str) -> metrics::Gauge {
    metrics::gauge!("filbertbay_replica_set_unlisted", "service" => service.to_owned())
}

impl Instance {
    /// Logs the members that may hold acknowledged commits of a service, and the loss that an operator
    /// accepted with this change, if any.
    pub(crate) fn log_replica_set(&self, service: &str, is_loss_accepted: bool) {
        let record = self.view.borrow().replica_set(service).cloned();
        let Some(record) = record else {
            info!(self.log, "replica set removed"; "service" => service);
            return;
        };
        info!(self.log, "replica set changed"; "service" => service, "change" => record.change,
            "members" => join(record.members.iter().map(|member| &member.key)),
            "synchronous_replicas" => record.synchronous_replicas);
        if let Some(accepted) = record.accepted_losses.last().filter(|_| is_loss_accepted) {
            metrics::counter!("filbertbay_accepted_losses_total").increment(1);
            warn!(self.log, "loss of commits accepted by an operator"; "service" => service,
                "author" => accepted.author.as_ref(), "reason" => accepted.reason.as_ref(),
                "members" => join(&accepted.members));
        }
    }
}

/// Returns the identities as the log names them.
pub(super) fn join<'a, I>(keys: I) -> String
where
    I: IntoIterator<Item = &'a Key>,
{
    let keys: Vec<String> = keys.into_iter().map(ToString::to_string).collect();
    keys.join(",")
}
