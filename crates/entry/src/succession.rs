//! Driver of changes of primary.
//!
//! An instance that finds a primary leaving, taken out or silent for everyone takes the hold on
//! promotions, which a lease in the store guards, and then walks through the change: it marks the
//! service as moving, collects the consent of every instance, demotes the old primary if it
//! answers, promotes the member with the furthest log and names it in the record. A holder that dies
//! on the way leaves the service moving; whoever takes the hold next starts over.

mod evidence;
mod hold;

use self::evidence::{ask, status};
pub use self::evidence::{left, reach};
use self::hold::Hold;

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use filbertbay_coordination::rendezvous;
use filbertbay_coordination::succession::{
    BASE_PRIMARY_LEASE, Candidate, Phase, PrimaryRecord, ReleaseBarrier, choose_successor,
};
use filbertbay_state::position::Position;
use filbertbay_state::status::Role;
use futures::future::join_all;
use slog::{info, warn};

use crate::endpoint::{Endpoint, Request, RequestKind, Status};
use crate::instance::Instance;
use crate::peer::CallError;
use crate::store::{Change, Error, ErrorKind, Item, Promotion, Swap};
use crate::view::{INSTANCE_PREFIX, LEAD_PREFIX, Peer};

/// Time by which each further instance waits for the one before it to act.
const STAGGER: Duration = Duration::from_millis(150);

/// Longest wait of an instance for those before it, in a large fleet.
const LONGEST_STAGGER: Duration = Duration::from_millis(1_500);

/// Time between two looks while something is wrong.
const LOOK_INTERVAL: Duration = Duration::from_millis(150);

/// Time between two looks while all is well, for what no event tells.
const IDLE_INTERVAL: Duration = Duration::from_secs(1);

/// Time for which a service may be without a known primary before one is promoted.
const LEADERLESS: Duration = Duration::from_millis(2_500);

/// Longest wait for a replica to receive what the old primary had.
const CATCH_UP: Duration = Duration::from_millis(1_200);

/// Time between two questions to members during a change.
const STEP: Duration = Duration::from_millis(50);

/// Longest wait for a promoted member to lead.
const LEAD_WAIT: Duration = Duration::from_secs(3);

/// Longest wait for the report of a promoted member before it is asked.
const ROLE_WAIT: Duration = Duration::from_millis(900);

/// Why a primary is changed.
#[derive(Clone, Copy, Debug, Eq, PartialEq, strum::Display)]
#[strum(serialize_all = "snake_case")]
enum Reason {
    /// It said that it leaves.
    Draining,
    /// Its data centre is taken out.
    Evacuated,
    /// Its entry is gone.
    Gone,
    /// No instance gets answers of it.
    Silent,
    /// A change was begun and not ended.
    Unfinished,
    /// No member is known to lead.
    Leaderless,
}

impl Reason {
    /// Tells whether the old primary still works.
    fn is_planned(self) -> bool {
        matches!(self, Self::Draining | Self::Evacuated)
    }
}

struct Driver {
    instance: Rc<Instance>,
    hold: tokio::sync::Mutex<Option<Hold>>,
    busy: RefCell<BTreeSet<Arc<str>>>,
    wrong_since: RefCell<BTreeMap<Arc<str>, Instant>>,
}

/// Spawns the task that watches the primaries.
pub fn spawn(instance: &Rc<Instance>) {
    let driver = Rc::new(Driver {
        instance: Rc::clone(instance),
        hold: tokio::sync::Mutex::default(),
        busy: RefCell::default(),
        wrong_since: RefCell::default(),
    });
    tokio::task::spawn_local(driver.run());
}

impl Driver {
    async fn run(self: Rc<Self>) {
        let mut changed = self.instance.view_changed.subscribe();
        loop {
            let is_calm = self.look();
            let interval = if is_calm {
                IDLE_INTERVAL
            } else {
                LOOK_INTERVAL
            };
            tokio::select! {
                _ = changed.changed() => {}
                () = self.instance.primary_suspected.notified() => {}
                () = tokio::time::sleep(interval) => {}
            }
        }
    }

    /// Looks at every service, and tells whether all is well.
    fn look(self: &Rc<Self>) -> bool {
        let now = self.instance.now();
        let Some(catalog) = self.instance.catalog() else {
            return true;
        };
        if self.instance.is_draining() || !self.instance.view.borrow().primary_lease.is_valid(now) {
            return true;
        }
        let mut is_calm = true;
        for service in catalog.services.keys() {
            let Some(reason) = self.trouble(service) else {
                self.wrong_since.borrow_mut().remove(service);
                continue;
            };
            is_calm = false;
            let since = *self
                .wrong_since
                .borrow_mut()
                .entry(Arc::clone(service))
                .or_insert(now);
            let wait = self.turn(service) + Self::patience(reason);
            let is_free = !self.busy.borrow().contains(service);
            if is_free && now.saturating_duration_since(since) >= wait {
                self.busy.borrow_mut().insert(Arc::clone(service));
                let (driver, service) = (Rc::clone(self), Arc::clone(service));
                tokio::task::spawn_local(async move {
                    driver.attempt(&service, reason).await;
                    driver.busy.borrow_mut().remove(&service);
                    driver.instance.primary_suspected.notify_one();
                });
            }
        }
        is_calm
    }

    fn patience(reason: Reason) -> Duration {
        match reason {
            Reason::Leaderless => LEADERLESS,
            _ => Duration::ZERO,
        }
    }

    /// Returns how long this instance leaves a change to others: the holder goes first, the rest
    /// in an order that differs by service.
    fn turn(&self, service: &str) -> Duration {
        let own = Arc::clone(&self.instance.settings().name);
        let view = self.instance.view.borrow();
        if view
            .holder()
            .is_some_and(|(holder, _)| holder.instance == own)
        {
            return Duration::ZERO;
        }
        let names: Vec<&str> = view.peers().keys().map(AsRef::as_ref).collect();
        let order = rendezvous::rank(service, names, |name| name);
        let place = order.iter().position(|name| *name == own.as_ref());
        let place = place.unwrap_or(0);
        let held = usize::from(view.holder().is_some());
        let steps = u32::try_from(place + held).unwrap_or(u32::MAX);
        STAGGER.saturating_mul(steps).min(LONGEST_STAGGER)
    }

    /// Returns what is wrong with the primary of a service.
    fn trouble(&self, service: &str) -> Option<Reason> {
        let view = self.instance.view.borrow();
        if let Some(lead) = view.primary_record(service)
            && lead.record.phase == Phase::Moving
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
        let others = view.endpoints(service).filter(|one| one.id != id);
        let mut others =
            others.filter(|one| !one.is_draining && !view.is_evacuated(&one.data_centre));
        let has_heir = others.next().is_some();
        if view.is_evacuated(&endpoint.data_centre) && has_heir {
            return Some(Reason::Evacuated);
        }
        if endpoint.is_draining && has_heir {
            return Some(Reason::Draining);
        }
        let detector = self.instance.pool.for_endpoint(endpoint).failure_detector();
        detector
            .is_suspect(self.instance.now())
            .then_some(Reason::Silent)
    }

    async fn attempt(&self, service: &Arc<str>, reason: Reason) {
        if reason == Reason::Silent && !self.is_silent_for_all(service).await {
            return;
        }
        let hold = match self.take_hold().await {
            Ok(Some(hold)) => hold,
            Ok(None) => return,
            Err(error) => {
                info!(self.instance.log, "hold on promotions not taken"; "error" => %error);
                return;
            }
        };
        // Another instance may have ended the change while the hold was taken.
        if self.trouble(service).is_none() {
            return;
        }
        info!(self.instance.log, "change of primary begins"; "service" => service.as_ref(),
            "reason" => %reason, "fence" => hold.fence);
        let begun = self.instance.now();
        let outcome = self.change(service, reason, hold).await;
        let took = self.instance.now().saturating_duration_since(begun);
        let took = took.as_millis() as u64;
        match outcome {
            Ok(primary) => {
                metrics::counter!("filbertbay_promotions_total").increment(1);
                info!(self.instance.log, "change of primary ends"; "service" => service.as_ref(),
                    "primary" => primary.as_ref(), "took_ms" => took, "fence" => hold.fence);
            }
            Err(problem) => {
                warn!(self.instance.log, "change of primary stuck"; "service" => service.as_ref(),
                    "problem" => problem, "took_ms" => took);
            }
        }
    }

    /// Walks through a change, and returns the new primary or what stands in the way.
    async fn change(
        &self,
        service: &Arc<str>,
        reason: Reason,
        hold: Hold,
    ) -> Result<Arc<str>, &'static str> {
        let from = self.former(service);
        let record = PrimaryRecord {
            fence: hold.fence,
            phase: Phase::Moving,
            from: from.clone(),
            holder: Arc::clone(&self.instance.settings().name),
        };
        let moving = self.write(service, &record).await?;
        self.collect(service, &moving).await?;
        let former = from.as_ref().and_then(|id| {
            let view = self.instance.view.borrow();
            view.endpoint(id).cloned()
        });
        let last = self.retire(former.as_ref(), reason).await;
        let next = self.heir(service, former.as_ref(), last).await?;
        self.promote(service, &next, hold).await?;
        let record = PrimaryRecord {
            phase: Phase::Leading(Arc::clone(&next.id)),
            ..record
        };
        self.write(service, &record).await?;
        Ok(Arc::clone(&next.id))
    }

    /// Returns the primary that is to be replaced.
    fn former(&self, service: &str) -> Option<Arc<str>> {
        let view = self.instance.view.borrow();
        match view.primary_record(service).map(|lead| &lead.record) {
            Some(record) if record.phase == Phase::Moving => record.from.clone(),
            _ => view.primary(service),
        }
    }

    /// Writes the record of a service under the condition that nobody else did.
    async fn write(
        &self,
        service: &Arc<str>,
        record: &PrimaryRecord,
    ) -> Result<Item, &'static str> {
        let key: Arc<str> = format!("{LEAD_PREFIX}{service}").into();
        let expected = self.instance.view.borrow().record_revision(service);
        let value = encode(record).map_err(|_| "the record can't be encoded")?;
        if !self.keep_hold().await {
            return Err("the hold was lost");
        }
        let change = Change {
            key: &key,
            expected: Some(expected),
            value: Some(value.clone()),
            lease: None,
        };
        match self.instance.drivers.store.swap(change).await {
            Ok(Swap::Done(revision)) => {
                let item = Item {
                    key,
                    value: value.to_vec(),
                    revision,
                };
                self.instance.take_item(item.clone());
                Ok(item)
            }
            Ok(Swap::Conflict) => Err("the record was changed by another instance"),
            Err(error) => {
                info!(self.instance.log, "record of a primary not confirmed"; "error" => %error);
                Err("the store did not confirm the record")
            }
        }
    }

    /// Waits until no instance can use the old primary.
    async fn collect(&self, service: &Arc<str>, moving: &Item) -> Result<(), &'static str> {
        let moved = self.instance.now();
        let electorate = self.electorate().await?;
        let names = electorate.keys().cloned();
        let known_all = self.instance.clock.started_at() + BASE_PRIMARY_LEASE;
        let mut ballot = ReleaseBarrier::new(moved, names).not_before(known_all);
        let own = Arc::clone(&self.instance.settings().name);
        loop {
            let missing: Vec<Arc<str>> = ballot.pending().cloned().collect();
            let asked = missing.iter().map(|name| {
                let peer = &electorate[name];
                self.consent(peer, *name == own, service, moving)
            });
            let consents = join_all(asked).await;
            for (name, _) in missing.iter().zip(consents).filter(|(_, given)| *given) {
                ballot.acknowledge(name);
            }
            let now = self.instance.now();
            if ballot.is_complete(now) {
                let missing: Vec<&str> = ballot.pending().map(AsRef::as_ref).collect();
                info!(self.instance.log, "former primary out of use"; "service" => service.as_ref(),
                    "asked" => electorate.len(), "lapsed" => missing.join(","),
                    "took_ms" => now.saturating_duration_since(moved).as_millis() as u64);
                return Ok(());
            }
            if !self.keep_hold().await {
                return Err("the hold was lost while consents were collected");
            }
            tokio::time::sleep(STEP).await;
        }
    }

    /// Returns every instance that may still use a primary.
    async fn electorate(&self) -> Result<BTreeMap<Arc<str>, Peer>, &'static str> {
        let listing = self.instance.drivers.store.list(INSTANCE_PREFIX).await;
        let listing = listing.map_err(|_| "the store did not list the instances")?;
        let mut all = self.instance.view.borrow().electorate();
        for item in listing.items {
            let name = item.key.strip_prefix(INSTANCE_PREFIX);
            let peer = serde_json::from_slice(&item.value).ok();
            if let (Some(name), Some(peer)) = (name, peer) {
                all.insert(name.into(), peer);
            }
        }
        Ok(all)
    }

    async fn consent(&self, peer: &Peer, is_own: bool, service: &Arc<str>, moving: &Item) -> bool {
        if is_own {
            return left(&self.instance, service, moving.revision).await;
        }
        let asked = (Arc::clone(service), moving.clone());
        match self
            .instance
            .peers
            .leave(peer.address, asked.0, asked.1)
            .await
        {
            Ok(given) => given,
            // A process that starts at the address later reads the record first.
            Err(CallError::Absent) => true,
            Err(CallError::Unanswered) => false,
        }
    }

    /// Makes the old primary a replica if it answers, and returns its last position.
    async fn retire(&self, former: Option<&Rc<Endpoint>>, reason: Reason) -> Option<Position> {
        let endpoint = former?;
        let known = match status(&self.instance, endpoint).await {
            Some(status) => status,
            None if reason.is_planned() => status(&self.instance, endpoint).await?,
            None => return None,
        };
        let request = Request::internal(RequestKind::Demote(known.term.next()));
        let after = ask(&self.instance, endpoint, &request).await;
        info!(self.instance.log, "former primary demoted"; "endpoint" => endpoint.id.as_ref(),
            "term" => known.term.0, "answered" => after.is_some(),
            "position" => after.map(|status| status.received.to_string()));
        Some(after.unwrap_or(known).received)
    }

    /// Returns the member that is to lead, once it has received what the old primary had.
    async fn heir(
        &self,
        service: &str,
        former: Option<&Rc<Endpoint>>,
        last: Option<Position>,
    ) -> Result<Rc<Endpoint>, &'static str> {
        let until = self.instance.now() + CATCH_UP;
        loop {
            let members: Vec<Rc<Endpoint>> = {
                let view = self.instance.view.borrow();
                view.endpoints(service).cloned().collect()
            };
            let asked = members.iter().map(|one| status(&self.instance, one));
            let answers = join_all(asked).await;
            let candidates: Vec<Candidate> = members
                .iter()
                .zip(&answers)
                .filter_map(|(member, status)| Some(self.candidate(member, former, (*status)?)))
                .collect();
            let best = choose_successor(&candidates).cloned();
            let is_level = best
                .as_ref()
                .is_some_and(|best| last.is_none_or(|last| best.received >= last));
            if is_level || self.instance.now() >= until {
                let best = best.ok_or("no member answers")?;
                info!(self.instance.log, "heir chosen"; "service" => service,
                    "endpoint" => best.id.as_ref(), "received" => %best.received,
                    "former_position" => last.map(|last| last.to_string()),
                    "candidates" => candidates.len());
                let found = members.into_iter().find(|member| member.id == best.id);
                return found.ok_or("the heir left");
            }
            if !self.keep_hold().await {
                return Err("the hold was lost while an heir was sought");
            }
            tokio::time::sleep(STEP).await;
        }
    }

    fn candidate(
        &self,
        member: &Endpoint,
        former: Option<&Rc<Endpoint>>,
        status: Status,
    ) -> Candidate {
        let view = self.instance.view.borrow();
        let is_out = view.is_evacuated(&member.data_centre);
        Candidate {
            id: Arc::clone(&member.id),
            received: status.received,
            is_available: !member.is_draining && !is_out && !view.is_gone(&member.id),
            is_same_data_centre: former
                .is_some_and(|former| former.data_centre == member.data_centre),
        }
    }

    /// Orders the promotion and waits until the member leads.
    async fn promote(
        &self,
        service: &str,
        next: &Rc<Endpoint>,
        hold: Hold,
    ) -> Result<(), &'static str> {
        if !self.keep_hold().await {
            return Err("the hold was lost before the promotion");
        }
        let holder = Arc::clone(&self.instance.settings().name);
        let failover = &self.instance.drivers.failover;
        match failover
            .promote(service, &next.id, &holder, hold.fence)
            .await
        {
            Ok(Promotion::Accepted) => {}
            Ok(Promotion::Absent) => return Err("the heir is not running"),
            Err(error) => {
                warn!(self.instance.log, "promotion not confirmed"; "error" => %error);
                return Err("the platform did not confirm the promotion");
            }
        }
        let until = self.instance.now() + LEAD_WAIT;
        let mut changed = self.instance.view_changed.subscribe();
        while self.instance.now() < until {
            let says_so = {
                let view = self.instance.view.borrow();
                let endpoint = view.endpoint(&next.id);
                endpoint.is_some_and(|endpoint| endpoint.role == Role::Primary)
            };
            if says_so {
                return Ok(());
            }
            if !self.keep_hold().await {
                return Err("the hold was lost before the heir led");
            }
            // The member reports its role at once; a question is the second way to hear of it.
            if tokio::time::timeout(ROLE_WAIT, changed.changed())
                .await
                .is_err()
                && status(&self.instance, next)
                    .await
                    .is_some_and(|status| status.role == Role::Primary)
            {
                return Ok(());
            }
        }
        Err("the heir does not lead")
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
