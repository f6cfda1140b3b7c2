//! Interface of the platform's key-value store: revisions, watches, compare-and-swap writes and
//! leases.

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
pub use filbertbay_coordination::usage::Counts as UsageCounts;
use serde::{Deserialize, Serialize};

/// Bits of a revision that hold its number within an era; those above hold the era.
const NUMBER_BITS: u32 = 40;

/// Returns the revision with a number in an era of the store.
///
/// A store that returns from a copy starts an era and gives numbers out again. Revisions here hold the
/// era above the number, so that each is above all revisions of earlier eras. In era 0, where stores
/// that never return from a copy stay, a revision is its number.
///
/// # Examples
///
/// ```
/// use filbertbay_entry::store::{era_of, number_of, revision_in};
///
/// assert_eq!(revision_in(0, 17), 17);
/// assert!(revision_in(1, 3) > revision_in(0, 17));
/// assert_eq!((era_of(revision_in(1, 3)), number_of(revision_in(1, 3))), (1, 3));
/// ```
pub fn revision_in(era: u64, number: u64) -> u64 {
    (era << NUMBER_BITS) | number
}

/// Returns the era of a revision.
pub fn era_of(revision: u64) -> u64 {
    revision >> NUMBER_BITS
}

/// Returns the number of a revision within its era.
pub fn number_of(revision: u64) -> u64 {
    revision & ((1 << NUMBER_BITS) - 1)
}

/// Key with its value and the revision of its last change.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Item {
    /// Key.
    pub key: Arc<str>,
    /// Value.
    pub value: Vec<u8>,
    /// Revision of the last change.
    pub revision: u64,
}

/// Change of one key as reported by a watch.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Event {
    /// The key has a new value.
    Put(Item),
    /// The key was removed at the revision.
    Removed(Arc<str>, u64),
}

/// All items under a prefix.
#[derive(Clone, Debug, Default)]
pub struct Listing {
    /// Items in the order of their keys.
    pub items: Vec<Item>,
    /// Revision of the listing; a watch after it misses no change.
    pub revision: u64,
}

/// Result of a watch.
#[derive(Clone, Debug)]
pub enum WatchResult {
    /// Events up to the revision, possibly none.
    Events(Vec<Event>, u64),
    /// The store has dropped events after the requested revision; list again.
    Compacted,
}

/// Outcome of a conditional write.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WriteOutcome {
    /// Written at the revision.
    Done(u64),
    /// The condition did not hold, the lease has ended, or either is of an earlier era; nothing was
    /// written.
    Conflict,
}

/// Lease; keys attached to it are removed when it expires.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Lease {
    /// Id, which may be given out again in a later era.
    pub id: u64,
    /// Era in which the lease was opened; it has ended in any later one.
    pub era: u64,
}

/// Write or removal of one key under a condition.
#[derive(Clone, Debug)]
pub struct ConditionalWrite<'a> {
    /// Key.
    pub key: &'a str,
    /// Revision that the key must have: `Some(0)` if it must not exist, `None` for no condition.
    pub expected: Option<u64>,
    /// New value; `None` removes the key.
    pub value: Option<Bytes>,
    /// Lease that the key is attached to.
    pub lease: Option<Lease>,
}

/// Kind of a failed call.
#[derive(Clone, Copy, Debug, Eq, PartialEq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum ErrorKind {
    /// The store rejected the call, which had no effect.
    Refused,
    /// No usable response arrived, or one of another era than that of the call; the call may take
    /// effect now or later.
    Unanswered,
    /// The lease has ended.
    Ended,
}

/// Error of a call to the store.
#[derive(Debug, thiserror::Error)]
#[error("store call {call}: {kind}: {message}")]
pub struct Error {
    kind: ErrorKind,
    call: &'static str,
    message: String,
}

impl Error {
    /// Creates an error of the call named `call`.
    pub fn new<M>(kind: ErrorKind, call: &'static str, message: M) -> Self
    where
        M: Into<String>,
    {
        Self {
            kind,
            call,
            message: message.into(),
        }
    }

    /// Returns the kind of the error.
    pub fn kind(&self) -> ErrorKind {
        self.kind
    }
}

/// Client of the store.
#[async_trait(?Send)]
pub trait Store {
    /// Returns every item under a prefix.
    async fn list(&self, prefix: &str) -> Result<Listing, Error>;

    /// Returns the changes after a revision, waiting up to `wait` for the first one;
    /// [`WatchResult::Compacted`] if the store is in a later era than the revision.
    async fn watch(&self, prefix: &str, after: u64, wait: Duration) -> Result<WatchResult, Error>;

    /// Writes or removes one key if the condition of `write` holds.
    async fn swap(&self, write: ConditionalWrite<'_>) -> Result<WriteOutcome, Error>;

    /// Opens a lease that expires `ttl` after its last renewal.
    async fn open_lease(&self, ttl: Duration) -> Result<Lease, Error>;

    /// Renews a lease for its time to live.
    async fn renew(&self, lease: Lease) -> Result<(), Error>;
}

/// Outcome of an order to promote an endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Promotion {
    /// The platform accepted the order.
    Accepted,
    /// The endpoint is not running.
    Absent,
}

/// Orders promotions at the platform.
#[async_trait(?Send)]
pub trait Failover {
    /// Orders the promotion of `endpoint` to the primary of `service`, with the fencing token `fence`
    /// of the promotion lock that `holder` has.
    async fn promote(
        &self,
        service: &str,
        endpoint: &str,
        holder: &str,
        fence: u64,
    ) -> Result<Promotion, Error>;
}

/// Outcome of a usage report that was answered.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Delivery {
    /// The platform accepted the report, now or before.
    Accepted,
    /// The platform rejects the report for good.
    Rejected,
}

/// Reports usage to the platform.
#[async_trait(?Send)]
pub trait Metering {
    /// Reports the statements of each workspace in a window, with the fencing token `fence` of the usage
    /// lock that `holder` has. A repeated report must have the same counts.
    async fn report(
        &self,
        window: u64,
        counts: &UsageCounts,
        holder: &str,
        fence: u64,
    ) -> Result<Delivery, Error>;
}

/// Meaning of a key of the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum KeyKind {
    /// The configuration.
    Catalog,
    /// Entry of the endpoint with the id.
    Endpoint(Arc<str>),
    /// Evacuation of the data centre.
    Evacuation(Arc<str>),
    /// Any other key, such as those that instances write.
    Other,
}

/// Decodes the keys and values that other programs write.
pub trait Dialect {
    /// Returns the meaning of a key.
    fn classify_key(&self, key: &str) -> KeyKind;

    /// Decodes a configuration.
    ///
    /// # Errors
    ///
    /// Returns a description of the problem if the value is invalid.
    fn catalog(&self, value: &[u8]) -> Result<crate::catalog::Catalog, String>;

    /// Decodes the entry of an endpoint.
    ///
    /// # Errors
    ///
    /// Returns a description of the problem if the value is invalid; the endpoint is then not used.
    fn endpoint(&self, id: &str, value: &[u8]) -> Result<crate::endpoint::Endpoint, String>;
}
