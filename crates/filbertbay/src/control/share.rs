//! Tasks that carry the messages of shares and keep the record of holders.
//!
//! The record lives in the platform. The watchers of a data centre read it and pass the lanes of
//! dead instances on; a live instance gives lanes away itself. Other instances learn of a newer
//! record from probes and pull it. Nothing here waits for the platform: without it the record
//! stays as it is, and instances go on with the lanes that they hold.

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

use super::membership::{Census, Membership};
use super::roster;
use crate::published::Published;
use crate::share::{Shares, holder};

/// Key of the record of holders.
const RECORD_KEY: &str = "filbertbay/shares";

/// Longest wait for an instance to take messages.
const SEND_TIMEOUT: Duration = Duration::from_millis(150);

/// Time between two looks at loans and changed rates.
const TICK: Duration = Duration::from_millis(250);

/// Time between two looks at the proof of tenure.
const PROOF_INTERVAL: Duration = Duration::from_millis(500);

/// Time between two readings of the record by a watcher.
const RECORD_INTERVAL: Duration = Duration::from_secs(3);

/// Time for which no instance has come or gone before the first record is written, so that a fleet
/// that starts together shares evenly from the first record on.
const FIRST_RECORD_AFTER: Duration = Duration::from_secs(3);

/// Time between two readings of the record while this instance holds no lanes.
const LANELESS_INTERVAL: Duration = Duration::from_millis(300);

/// Time without a sign of an instance before its lanes pass on; longer than the time after which
/// it stops spending them for want of proof.
const RECLAIM_AFTER: Duration = Duration::from_secs(30);

/// Time after the end of an incarnation, known from its successor, before its lanes pass on; longer
/// than any loan that may rest on them.
const SUCCEEDED_AFTER: Duration = Duration::from_secs(3);

/// What the tasks work with.
#[derive(Clone, Debug)]
pub(super) struct Parts {
    pub(super) shares: Arc<Shares>,
    pub(super) store: Arc<dyn Store>,
    pub(super) pool: Arc<PeerPool>,
    pub(super) published: Arc<Published>,
    pub(super) membership: Address<Membership>,
    pub(super) log: Logger,
}

/// Spawns the tasks on the present runtime.
pub(super) fn spawn(parts: &Parts) {
    tokio::spawn(send_all(parts.clone()));
    tokio::spawn(tick(Arc::clone(&parts.shares)));
    tokio::spawn(prove(parts.clone()));
    tokio::spawn(Keeper::new(parts.clone()).run());
}

/// Pulls the record of holders from an instance that has a newer one.
pub(super) async fn pull(pool: Arc<PeerPool>, shares: Arc<Shares>, from: Instance) {
    let above = shares.allocation().epoch;
    let answer = pool
        .call(
            from.peer_address,
            SEND_TIMEOUT,
            |client, context| async move { client.allocation(context, above).await },
        )
        .await;
    if let Ok(Some(allocation)) = answer {
        shares.adopt(Instant::now(), Arc::new(allocation));
    }
}

async fn tick(shares: Arc<Shares>) {
    loop {
        sleep(TICK).await;
        shares.tick(Instant::now());
    }
}

async fn send_all(parts: Parts) {
    loop {
        parts.shares.outgoing().await;
        let mut by_instance: BTreeMap<Arc<str>, Vec<Message>> = BTreeMap::new();
        for envelope in parts.shares.drain() {
            by_instance
                .entry(envelope.to)
                .or_default()
                .push(envelope.message);
        }
        let instances = parts.published.instances();
        for (name, messages) in by_instance {
            // A message to an instance that is gone is lost, as any message may be.
            if let Some(to) = instances.iter().find(|instance| instance.name == name) {
                tokio::spawn(send(parts.clone(), to.clone(), messages));
            }
        }
    }
}

async fn send(parts: Parts, to: Instance, messages: Vec<Message>) {
    metrics::counter!("filbertbay_share_messages_total").increment(messages.len() as u64);
    let own = Arc::clone(&parts.published.own().name);
    let answer = parts
        .pool
        .call(
            to.peer_address,
            SEND_TIMEOUT,
            |client, context| async move { client.share(context, own, messages).await },
        )
        .await;
    if let Ok(messages) = answer {
        parts.shares.receive(Instant::now(), &to.name, &messages);
    }
}

/// Extends the tenure of this instance's lanes while it can't have been taken for dead.
async fn prove(parts: Parts) {
    loop {
        sleep(PROOF_INTERVAL).await;
        let Ok(census) = parts.membership.send(Census).await else {
            return;
        };
        let own = holder(parts.published.own());
        let allocation = parts.shares.allocation();
        if let Some(proved) = proof(Instant::now(), &own, &allocation, &census) {
            parts.shares.extend(proved);
        }
    }
}

/// Returns the latest moment at which a majority of the data centre's holders, or the platform, was
/// in contact with this instance.
///
/// Only a mate that reaches half of them passes lanes on, and a majority and a half share an instance
/// that knows of both.
fn proof(
    now: Instant,
    own: &Holder,
    allocation: &Allocation,
    census: &super::membership::Count,
) -> Option<Instant> {
    let mates = allocation
        .holders
        .iter()
        .filter(|one| one.data_centre == own.data_centre);
    let mut heard: Vec<Option<Instant>> = mates
        .map(|one| {
            if one == own {
                Some(now)
            } else {
                census.heard(one)
            }
        })
        .collect();
    heard.sort();
    let minority = heard.len().saturating_sub(1) / 2;
    let majority = heard.get(minority).copied().unwrap_or(Some(now));
    let platform = census.platform_age.and_then(|age| now.checked_sub(age));
    majority.max(platform)
}

/// Keeps the record of holders while this instance is a watcher, and gives lanes away.
struct Keeper {
    parts: Parts,
    /// Live instances at the last look, and when they last changed.
    live: Vec<Holder>,
    changed: Instant,
    absent: HashMap<(Arc<str>, u64), Instant>,
}

impl Keeper {
    fn new(parts: Parts) -> Self {
        Self {
            parts,
            live: Vec::new(),
            changed: Instant::now(),
            absent: HashMap::new(),
        }
    }

    async fn run(mut self) {
        loop {
            let own = self.parts.published.own();
            let held = self
                .parts
                .shares
                .allocation()
                .lane_count(&own.name, own.incarnation);
            let interval = if held > 0 {
                RECORD_INTERVAL
            } else {
                LANELESS_INTERVAL
            };
            sleep(roster::jittered(interval)).await;
            let Ok(census) = self.parts.membership.send(Census).await else {
                return;
            };
            let live: Vec<Holder> = self
                .parts
                .published
                .instances()
                .iter()
                .map(holder)
                .collect();
            self.note_absent(&census);
            self.note_live(&live);
            if roster::is_watcher(&self.parts.published) {
                self.keep(&live).await;
            }
            self.give(&live).await;
        }
    }

    /// Notes since when holders of this data centre are absent.
    fn note_absent(&mut self, census: &super::membership::Count) {
        let now = Instant::now();
        let own = &self.parts.published.own().data_centre;
        let allocation = self.parts.shares.allocation();
        let mates = allocation
            .holders
            .iter()
            .filter(|one| one.data_centre == *own);
        let absent = mates.filter(|one| !census.is_present(one));
        let noted = absent.map(|one| {
            let since = self.absent.get(&key(one)).copied().unwrap_or(now);
            (key(one), since)
        });
        self.absent = noted.collect();
    }

    /// Notes when the live instances last changed.
    fn note_live(&mut self, live: &[Holder]) {
        if self.live != live {
            self.live = live.to_vec();
            self.changed = Instant::now();
        }
    }

    fn is_dead(&self, live: &[Holder], one: &Holder) -> bool {
        let wait = if has_successor(live, one) {
            SUCCEEDED_AFTER
        } else {
            RECLAIM_AFTER
        };
        self.absent
            .get(&key(one))
            .is_some_and(|since| since.elapsed() >= wait)
    }

    /// Reads the record, writes the first one, and passes lanes of dead holders on.
    async fn keep(&self, live: &[Holder]) {
        let Ok(entry) = self.parts.store.read(RECORD_KEY).await else {
            return;
        };
        self.parts.published.hear_platform(Instant::now());
        let (record, index) = match entry {
            Some(entry) => match parse(&entry) {
                Some(record) => (record, entry.index),
                None => return info!(self.parts.log, "record of shares can't be understood"),
            },
            None if self.changed.elapsed() < FIRST_RECORD_AFTER => return,
            None => (first(live), ModifyIndex(0)),
        };
        let reaches_half = self.reaches_half(&record, live);
        let next = if index == ModifyIndex(0) {
            Some(record.clone())
        } else {
            record
                .reclaimed(live, |one| self.is_dead(live, one))
                .filter(|_| reaches_half)
        };
        match next {
            Some(next) => {
                self.swap(next, index).await;
            }
            None => self.parts.shares.adopt(Instant::now(), Arc::new(record)),
        }
    }

    /// Tells whether at least half of the data centre's holders are live.
    ///
    /// A holder proves its tenure by more than half of them, so that some instance knows of both.
    fn reaches_half(&self, record: &Allocation, live: &[Holder]) -> bool {
        let own = &self.parts.published.own().data_centre;
        let mates = record.holders.iter().filter(|one| one.data_centre == *own);
        // A holder with a successor is known to have ended, and takes no part.
        let mates: Vec<&Holder> = mates.filter(|one| !has_successor(live, one)).collect();
        let reached = mates.iter().filter(|one| live.contains(one)).count();
        2 * reached >= mates.len()
    }

    /// Gives lanes beyond this instance's part away: stops spending, waits, then names the heirs.
    async fn give(&self, live: &[Holder]) {
        let own = holder(self.parts.published.own());
        let slots = self.parts.shares.allocation().surplus(&own, live);
        if slots.is_empty() {
            return;
        }
        sleep(self.parts.shares.release(&slots)).await;
        // A swap without an answer may take effect at any later time. Only the success of a swap
        // after it proves that it can't any more, so until then the lanes stay unspent.
        while !self.name_heirs(&own, &slots, live).await {
            sleep(roster::jittered(RECORD_INTERVAL)).await;
        }
        self.parts.shares.end_release(Instant::now());
    }

    /// Names the heirs of lanes, and tells whether the platform has confirmed a record.
    async fn name_heirs(&self, own: &Holder, slots: &[usize], live: &[Holder]) -> bool {
        let entry = match self.parts.store.read(RECORD_KEY).await {
            Ok(Some(entry)) => entry,
            Ok(None) => return true,
            Err(_) => return false,
        };
        match parse(&entry) {
            Some(record) => {
                self.swap(record.transferred(own, slots, live), entry.index)
                    .await
            }
            None => false,
        }
    }

    /// Replaces the record, and tells whether the platform has confirmed it.
    async fn swap(&self, next: Allocation, index: ModifyIndex) -> bool {
        let Ok(bytes) = serde_json::to_vec(&next) else {
            return false;
        };
        let swapped = self
            .parts
            .store
            .compare_and_swap(RECORD_KEY, bytes, index)
            .await;
        // Whoever was faster, or an answer that was lost, shows at the next reading.
        let is_confirmed = swapped.unwrap_or(false);
        if is_confirmed {
            info!(self.parts.log, "record of shares changed"; "epoch" => next.epoch);
            self.parts.shares.adopt(Instant::now(), Arc::new(next));
        }
        is_confirmed
    }
}

/// Tells whether a later incarnation of a holder is live.
fn has_successor(live: &[Holder], one: &Holder) -> bool {
    live.iter()
        .any(|other| other.instance == one.instance && other.incarnation > one.incarnation)
}

fn key(holder: &Holder) -> (Arc<str>, u64) {
    (Arc::clone(&holder.instance), holder.incarnation)
}

fn parse(entry: &Entry) -> Option<Allocation> {
    serde_json::from_slice(&entry.value).ok()
}

fn first(live: &[Holder]) -> Allocation {
    let parts: Vec<(&str, u64, &str)> = live
        .iter()
        .map(|one| {
            (
                one.instance.as_ref(),
                one.incarnation,
                one.data_centre.as_ref(),
            )
        })
        .collect();
    Allocation::even(&parts)
}
