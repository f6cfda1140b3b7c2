//! Tasks that exchange the rate limiter's messages with peers and maintain the lane allocation.
//!
//! The allocation is a record in the platform of the instance that holds each lane of the rate
//! limits. The watchers of a data centre read it and reassign the lanes of dead instances; a live
//! instance transfers surplus lanes itself. Other instances learn of a newer record from probes and pull it.
//! Rate limiting does not depend on the platform: while it is down the record does not change, and
//! instances continue with the lanes that they hold.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

use filbertbay_coordination::share::{Allocation, Holder, Message};
use filbertbay_protocol::platform::{Entry, ModifyIndex, Store};
use filbertbay_state::instance::Instance;
use filbertbay_transport::peer::PeerPool;
use slog::{Logger, info};
use tokio::time::sleep;
use xtra::Address;

use super::membership::{GetPresentInstances, MembershipActor};
use super::roster;
use crate::published::PublishedState;
use crate::share::{Shares, holder};

/// Key of the allocation record in the platform.
const RECORD_KEY: &str = "filbertbay/shares";

/// Timeout of a call to a peer.
const SEND_TIMEOUT: Duration = Duration::from_millis(150);

/// Time between two ticks of the rate limiter.
const TICK: Duration = Duration::from_millis(250);

/// Time between two attempts to confirm that this instance still owns its lanes.
const OWNERSHIP_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Time between two reads of the record by a watcher.
const RECORD_INTERVAL: Duration = Duration::from_secs(3);

/// Time without a change of the live instances before the first record is written.
///
/// Instances that start together thus get equal parts from the first record on.
const FIRST_RECORD_DELAY: Duration = Duration::from_secs(3);

/// Time between two reads of the record while this instance holds no lanes.
const RECORD_INTERVAL_WITHOUT_LANES: Duration = Duration::from_millis(300);

/// Time for which a holder is absent before its lanes are reassigned.
///
/// It is longer than the time after which a holder that cannot confirm its ownership stops spending
/// them.
const RECLAIM_DELAY: Duration = Duration::from_secs(30);

/// Time for which a holder is absent before its lanes are reassigned, if a later incarnation of the
/// holder is live.
///
/// It is longer than any loan that the lanes may back.
const REPLACED_RECLAIM_DELAY: Duration = Duration::from_secs(3);

/// Dependencies of the tasks.
#[derive(Clone, Debug)]
pub(super) struct Dependencies {
    pub(super) shares: Arc<Shares>,
    pub(super) store: Arc<dyn Store>,
    pub(super) pool: Arc<PeerPool>,
    pub(super) published: Arc<PublishedState>,
    pub(super) membership: Address<MembershipActor>,
    pub(super) log: Logger,
}

/// Spawns the tasks on the current runtime.
pub(super) fn spawn(deps: &Dependencies) {
    tokio::spawn(send_outgoing(deps.clone()));
    tokio::spawn(tick(Arc::clone(&deps.shares)));
    tokio::spawn(confirm_ownership(deps.clone()));
    tokio::spawn(AllocationMaintainer::new(deps.clone()).run());
}

/// Pulls the allocation from a peer that has a newer one.
pub(super) async fn pull_record(pool: Arc<PeerPool>, shares: Arc<Shares>, from: Instance) {
    let above = shares.allocation().epoch;
    let response = pool
        .call(
            from.peer_address,
            SEND_TIMEOUT,
            |client, context| async move { client.allocation(context, above).await },
        )
        .await;
    if let Ok(Some(allocation)) = response {
        shares.adopt(Instant::now(), Arc::new(allocation));
    }
}

async fn tick(shares: Arc<Shares>) {
    loop {
        sleep(TICK).await;
        shares.tick(Instant::now());
    }
}

async fn send_outgoing(deps: Dependencies) {
    loop {
        deps.shares.outgoing().await;
        let mut by_instance: BTreeMap<Arc<str>, Vec<Message>> = BTreeMap::new();
        for envelope in deps.shares.drain() {
            by_instance
                .entry(envelope.to)
                .or_default()
                .push(envelope.message);
        }
        let instances = deps.published.instances();
        for (name, messages) in by_instance {
            // Messages to removed instances are dropped; the protocol tolerates lost messages.
            if let Some(to) = instances.iter().find(|instance| instance.name == name) {
                tokio::spawn(send_messages(deps.clone(), to.clone(), messages));
            }
        }
    }
}

async fn send_messages(deps: Dependencies, to: Instance, messages: Vec<Message>) {
    metrics::counter!("filbertbay_share_messages_total").increment(messages.len() as u64);
    let own = Arc::clone(&deps.published.local_instance().name);
    let response = deps
        .pool
        .call(
            to.peer_address,
            SEND_TIMEOUT,
            |client, context| async move { client.share(context, own, messages).await },
        )
        .await;
    if let Ok(messages) = response {
        deps.shares.receive(Instant::now(), &to.name, &messages);
    }
}

/// Confirms the ownership of this instance's lanes periodically, while no peer can have declared
/// it dead.
async fn confirm_ownership(deps: Dependencies) {
    loop {
        sleep(OWNERSHIP_CHECK_INTERVAL).await;
        let Ok(present_instances) = deps.membership.send(GetPresentInstances).await else {
            return;
        };
        let own = holder(deps.published.local_instance());
        let allocation = deps.shares.allocation();
        if let Some(proven_at) =
            last_ownership_proof(Instant::now(), &own, &allocation, &present_instances)
        {
            deps.shares.extend(proven_at);
        }
    }
}

/// Returns the latest time at which this instance was in contact with the platform, or with a
/// majority of the holders in its data centre.
///
/// An instance reassigns lanes only while at least half of the holders in its data centre are live.
/// Any majority and any half have an instance in common, which knows of both.
fn last_ownership_proof(
    now: Instant,
    own: &Holder,
    allocation: &Allocation,
    present_instances: &super::membership::PresentInstances,
) -> Option<Instant> {
    let local_holders = allocation
        .holders
        .iter()
        .filter(|holder| holder.data_centre == own.data_centre);
    let mut last_messages: Vec<Option<Instant>> = local_holders
        .map(|holder| {
            if holder == own {
                Some(now)
            } else {
                present_instances.last_message_at(holder)
            }
        })
        .collect();
    last_messages.sort();
    let minority = last_messages.len().saturating_sub(1) / 2;
    let majority = last_messages.get(minority).copied().unwrap_or(Some(now));
    let platform = present_instances
        .platform_contact_age
        .and_then(|age| now.checked_sub(age));
    majority.max(platform)
}

/// Maintains the allocation in the platform while this instance is a watcher, and transfers its
/// surplus lanes.
struct AllocationMaintainer {
    deps: Dependencies,
    /// Live instances at the last check.
    live: Vec<Holder>,
    live_changed_at: Instant,
    /// Time since which each holder, by name and incarnation, is absent.
    absent_since: HashMap<(Arc<str>, u64), Instant>,
}

impl AllocationMaintainer {
    fn new(deps: Dependencies) -> Self {
        Self {
            deps,
            live: Vec::new(),
            live_changed_at: Instant::now(),
            absent_since: HashMap::new(),
        }
    }

    async fn run(mut self) {
        loop {
            let own = self.deps.published.local_instance();
            let own_lanes = self
                .deps
                .shares
                .allocation()
                .lane_count(&own.name, own.incarnation);
            let interval = if own_lanes > 0 {
                RECORD_INTERVAL
            } else {
                RECORD_INTERVAL_WITHOUT_LANES
            };
            sleep(roster::jittered(interval)).await;
            let Ok(present_instances) = self.deps.membership.send(GetPresentInstances).await else {
                return;
            };
            let live: Vec<Holder> = self.deps.published.instances().iter().map(holder).collect();
            self.record_absent(&present_instances);
            self.record_live(&live);
            if roster::is_watcher(&self.deps.published) {
                self.maintain_record(&live).await;
            }
            self.transfer_surplus(&live).await;
        }
    }

    /// Records since when holders in this data centre are absent.
    fn record_absent(&mut self, present_instances: &super::membership::PresentInstances) {
        let now = Instant::now();
        let own = &self.deps.published.local_instance().data_centre;
        let allocation = self.deps.shares.allocation();
        let local_holders = allocation
            .holders
            .iter()
            .filter(|holder| holder.data_centre == *own);
        let absent = local_holders.filter(|holder| !present_instances.contains(holder));
        let absent_since = absent.map(|holder| {
            let since = self
                .absent_since
                .get(&holder_key(holder))
                .copied()
                .unwrap_or(now);
            (holder_key(holder), since)
        });
        self.absent_since = absent_since.collect();
    }

    /// Records when the live instances last changed.
    fn record_live(&mut self, live: &[Holder]) {
        if self.live != live {
            self.live = live.to_vec();
            self.live_changed_at = Instant::now();
        }
    }

    fn may_reclaim(&self, live: &[Holder], holder: &Holder) -> bool {
        let delay = if has_later_incarnation(live, holder) {
            REPLACED_RECLAIM_DELAY
        } else {
            RECLAIM_DELAY
        };
        self.absent_since
            .get(&holder_key(holder))
            .is_some_and(|since| since.elapsed() >= delay)
    }

    /// Reads the record, and writes the first one or reassigns the lanes of dead holders.
    async fn maintain_record(&self, live: &[Holder]) {
        let Ok(entry) = self.deps.store.read(RECORD_KEY).await else {
            return;
        };
        self.deps.published.record_platform_contact(Instant::now());
        let (record, index) = match entry {
            Some(entry) => match parse_record(&entry) {
                Some(record) => (record, entry.index),
                None => return info!(self.deps.log, "record of shares cannot be parsed"),
            },
            None if self.live_changed_at.elapsed() < FIRST_RECORD_DELAY => return,
            None => (initial_allocation(live), ModifyIndex(0)),
        };
        let is_half_live = self.is_half_live(&record, live);
        let next = if index == ModifyIndex(0) {
            Some(record.clone())
        } else {
            record
                .reclaimed(live, |holder| self.may_reclaim(live, holder))
                .filter(|_| is_half_live)
        };
        match next {
            Some(next) => {
                self.write_record(next, index).await;
            }
            None => self.deps.shares.adopt(Instant::now(), Arc::new(record)),
        }
    }

    /// Returns whether at least half of the holders in this data centre are live.
    ///
    /// A holder confirms its ownership with more than half of them, so some instance knows of both.
    fn is_half_live(&self, record: &Allocation, live: &[Holder]) -> bool {
        let own = &self.deps.published.local_instance().data_centre;
        let local_holders = record
            .holders
            .iter()
            .filter(|holder| holder.data_centre == *own);
        // A holder with a later incarnation is known to have ended, and does not count.
        let local_holders: Vec<&Holder> = local_holders
            .filter(|holder| !has_later_incarnation(live, holder))
            .collect();
        let live_count = local_holders
            .iter()
            .filter(|holder| live.contains(holder))
            .count();
        2 * live_count >= local_holders.len()
    }

    /// Transfers surplus lanes: stops spending them, waits until the loans that they back have
    /// expired, then writes their new holders.
    async fn transfer_surplus(&self, live: &[Holder]) {
        let own = holder(self.deps.published.local_instance());
        let lane_indices = self.deps.shares.allocation().surplus(&own, live);
        if lane_indices.is_empty() {
            return;
        }
        sleep(self.deps.shares.release(&lane_indices)).await;
        // A write without a response may take effect at any later time. Only the success of a later
        // write proves that it no longer can, so the lanes stay unspent until then.
        while !self.write_transfer(&own, &lane_indices, live).await {
            sleep(roster::jittered(RECORD_INTERVAL)).await;
        }
        self.deps.shares.end_release(Instant::now());
    }

    /// Writes the new holders of lanes. Returns whether the platform has confirmed the record or
    /// has none.
    async fn write_transfer(&self, own: &Holder, lane_indices: &[usize], live: &[Holder]) -> bool {
        let entry = match self.deps.store.read(RECORD_KEY).await {
            Ok(Some(entry)) => entry,
            Ok(None) => return true,
            Err(_) => return false,
        };
        match parse_record(&entry) {
            Some(record) => {
                self.write_record(record.transferred(own, lane_indices, live), entry.index)
                    .await
            }
            None => false,
        }
    }

    /// Replaces the record if it is still at `index`. Returns whether the platform confirmed it.
    async fn write_record(&self, next: Allocation, index: ModifyIndex) -> bool {
        let Ok(bytes) = serde_json::to_vec(&next) else {
            return false;
        };
        let outcome = self
            .deps
            .store
            .compare_and_swap(RECORD_KEY, bytes, index)
            .await;
        // The next read returns a faster writer's record, or this one if its response was lost.
        let is_confirmed = outcome.unwrap_or(false);
        if is_confirmed {
            info!(self.deps.log, "record of shares changed"; "epoch" => next.epoch);
            self.deps.shares.adopt(Instant::now(), Arc::new(next));
        }
        is_confirmed
    }
}

/// Returns whether a later incarnation of `holder` is live.
fn has_later_incarnation(live: &[Holder], holder: &Holder) -> bool {
    live.iter()
        .any(|other| other.instance == holder.instance && other.incarnation > holder.incarnation)
}

fn holder_key(holder: &Holder) -> (Arc<str>, u64) {
    (Arc::clone(&holder.instance), holder.incarnation)
}

fn parse_record(entry: &Entry) -> Option<Allocation> {
    serde_json::from_slice(&entry.value).ok()
}

fn initial_allocation(live: &[Holder]) -> Allocation {
    let instances: Vec<(&str, u64, &str)> = live
        .iter()
        .map(|holder| {
            (
                holder.instance.as_ref(),
                holder.incarnation,
                holder.data_centre.as_ref(),
            )
        })
        .collect();
    Allocation::even(&instances)
}
