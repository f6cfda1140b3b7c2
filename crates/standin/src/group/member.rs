//! Member of a database group: its store, its limits and its faults.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};

use filbertbay_state::position::Term;
use filbertbay_state::status::{Role, Status};
use parking_lot::Mutex;
use tokio::sync::{OwnedSemaphorePermit, Semaphore, watch};

use super::network::{End, Network};
use super::store::{Refusal, Store};

/// Bytes of received messages that a member keeps for [`Member::received`].
const MAX_RECORD_BYTES: usize = 64 << 20;

/// Running member of a database group.
#[derive(Debug)]
pub struct Member {
    end: End,
    address: SocketAddr,
    connections: u32,
    slots: u32,
    store: Mutex<Store>,
    changes: watch::Sender<u64>,
    slot: Arc<Semaphore>,
    connection: Arc<Semaphore>,
    locks: Mutex<HashMap<u64, u64>>,
    faults: watch::Sender<Faults>,
    record: Option<Mutex<Vec<u8>>>,
    network: Arc<Network>,
    peers: OnceLock<Vec<SocketAddr>>,
    primary_reads: AtomicU64,
    replica_reads: AtomicU64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Faults {
    stopped: bool,
    slowness: Duration,
}

/// Reads served in each role.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Reads {
    /// Served while the member led.
    pub primary: u64,
    /// Served while the member followed.
    pub replica: u64,
}

/// What a member is made of.
pub(crate) struct Parts {
    pub(crate) end: End,
    pub(crate) address: SocketAddr,
    pub(crate) connections: u32,
    pub(crate) slots: u32,
    pub(crate) record: bool,
    pub(crate) network: Arc<Network>,
}

impl Member {
    pub(crate) fn new(parts: Parts, now: Instant) -> rusqlite::Result<Arc<Self>> {
        Ok(Arc::new(Self {
            end: parts.end,
            address: parts.address,
            connections: parts.connections,
            slots: parts.slots,
            store: Mutex::new(Store::open(now)?),
            changes: watch::Sender::new(0),
            slot: Arc::new(Semaphore::new(parts.slots as usize)),
            connection: Arc::new(Semaphore::new(parts.connections as usize)),
            locks: Mutex::default(),
            faults: watch::Sender::new(Faults::default()),
            record: parts.record.then(Mutex::default),
            network: parts.network,
            peers: OnceLock::new(),
            primary_reads: AtomicU64::new(0),
            replica_reads: AtomicU64::new(0),
        }))
    }

    /// Returns the member's name.
    pub fn name(&self) -> &Arc<str> {
        &self.end.member
    }

    /// Returns the data centre that the member lies in.
    pub fn data_centre(&self) -> &Arc<str> {
        &self.end.data_centre
    }

    /// Returns the address that the member listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the number of connections that the member accepts.
    pub fn connections(&self) -> u32 {
        self.connections
    }

    /// Returns the number of statements that the member runs at once.
    pub fn slots(&self) -> u32 {
        self.slots
    }

    /// Returns the number of connections that are open now.
    pub fn open_connections(&self) -> usize {
        self.connections as usize - self.connection.available_permits()
    }

    /// Returns the number of reads that the member has served in each role.
    pub fn reads(&self) -> Reads {
        Reads {
            primary: self.primary_reads.load(Ordering::Relaxed),
            replica: self.replica_reads.load(Ordering::Relaxed),
        }
    }

    pub(crate) fn count_read(&self, role: Role) {
        let count = match role {
            Role::Primary => &self.primary_reads,
            Role::Replica => &self.replica_reads,
        };
        count.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns what the member would say about itself now.
    pub fn status(&self, now: Instant) -> Status {
        self.store.lock().status(now)
    }

    /// Returns every byte that callers sent, up to a limit, if the group records them.
    pub fn received(&self) -> Vec<u8> {
        let record = self.record.as_ref();
        record
            .map(|record| record.lock().clone())
            .unwrap_or_default()
    }

    /// Sets how long received entries wait until reads see them.
    pub fn set_lag(&self, lag: Duration) {
        self.store.lock().set_lag(lag);
    }

    /// Sets how much longer each statement takes.
    pub fn set_slowness(&self, slowness: Duration) {
        self.faults.send_modify(|faults| faults.slowness = slowness);
    }

    /// Closes every connection and takes no new one, or starts the member again with its log.
    pub fn set_stopped(&self, stopped: bool) {
        self.faults.send_modify(|faults| faults.stopped = stopped);
    }

    /// Cuts the member off from the other members and from callers in the given data centres.
    ///
    /// Connections stay open and fall silent.
    pub fn isolate(&self, from: &[Arc<str>]) {
        self.network.isolate(&self.end.member, from);
    }

    /// Heals a member that was isolated.
    pub fn restore(&self) {
        self.network.restore(&self.end.member);
    }

    pub(crate) fn end(&self) -> &End {
        &self.end
    }

    pub(crate) fn network(&self) -> &Arc<Network> {
        &self.network
    }

    pub(crate) fn store(&self) -> &Mutex<Store> {
        &self.store
    }

    pub(crate) fn set_peers(&self, peers: Vec<SocketAddr>) {
        // Members meet their peers once, when the group is spawned.
        let _ = self.peers.set(peers);
    }

    pub(crate) fn record(&self, bytes: &[u8]) {
        if let Some(record) = &self.record {
            let mut record = record.lock();
            if record.len() + bytes.len() <= MAX_RECORD_BYTES {
                record.extend_from_slice(bytes);
            }
        }
    }

    pub(crate) fn is_stopped(&self) -> bool {
        self.faults.borrow().stopped
    }

    pub(crate) fn slowness(&self) -> Duration {
        self.faults.borrow().slowness
    }

    /// Waits until the member is stopped.
    pub(crate) async fn stopped(&self) {
        let mut faults = self.faults.subscribe();
        // The sender lives as long as the member.
        let _ = faults.wait_for(|faults| faults.stopped).await;
    }

    pub(crate) async fn slot(&self) -> OwnedSemaphorePermit {
        let slot = Arc::clone(&self.slot).acquire_owned().await;
        slot.expect("the semaphore is never closed")
    }

    pub(crate) fn connection(&self) -> Option<OwnedSemaphorePermit> {
        Arc::clone(&self.connection).try_acquire_owned().ok()
    }

    /// Tells replicas that the log has grown.
    pub(crate) fn announce(&self) {
        self.changes.send_modify(|count| *count += 1);
    }

    pub(crate) fn changes(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    pub(crate) fn fence(&self, term: Term) -> Result<(), Refusal> {
        self.store.lock().fence(term)
    }

    pub(crate) fn promote(&self, term: Term) -> Result<(), Refusal> {
        self.store.lock().promote(term)?;
        self.announce();
        Ok(())
    }

    pub(crate) fn follow(&self, address: SocketAddr, term: Term) -> Result<(), Refusal> {
        let peers = self.peers.get().into_iter().flatten();
        let upstream = peers.into_iter().position(|peer| *peer == address);
        let upstream = upstream.filter(|_| address != self.address);
        let upstream = upstream.ok_or_else(|| Refusal::new("no such member to follow"))?;
        self.store.lock().follow(upstream, term)?;
        self.announce();
        Ok(())
    }

    pub(crate) fn try_lock(&self, number: u64, session: u64) -> bool {
        *self.locks.lock().entry(number).or_insert(session) == session
    }

    pub(crate) fn unlock(&self, number: u64, session: u64) -> bool {
        let mut locks = self.locks.lock();
        let held = locks.get(&number) == Some(&session);
        if held {
            locks.remove(&number);
        }
        held
    }

    pub(crate) fn release_locks(&self, session: u64) {
        self.locks.lock().retain(|_, holder| *holder != session);
    }
}
