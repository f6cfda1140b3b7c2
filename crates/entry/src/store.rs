//! Key-value store of the platform: revisions, watches, conditional changes and leases.

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use serde::{Deserialize, Serialize};

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

/// Change of one key.
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
    /// Revision from which a watch misses nothing.
    pub revision: u64,
}

/// Answer of a watch.
#[derive(Clone, Debug)]
pub enum WatchResult {
    /// Events up to the revision, possibly none.
    Events(Vec<Event>, u64),
    /// The history was dropped; list again.
    Compacted,
}

/// Outcome of a conditional change.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WriteOutcome {
    /// Done at the revision.
    Done(u64),
    /// A condition did not hold or the lease has ended; nothing was done.
    Conflict,
}

/// Lease that holds keys.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Lease(pub u64);

/// Conditional change of one key.
#[derive(Clone, Debug)]
pub struct ConditionalWrite<'a> {
    /// Key.
    pub key: &'a str,
    /// Revision that the key must have; zero if it must not exist, none for no condition.
    pub expected: Option<u64>,
    /// New value; none removes the key.
    pub value: Option<Bytes>,
    /// Lease that holds the key.
    pub lease: Option<Lease>,
}

/// What is known of a call that failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum ErrorKind {
    /// The store refused the call, which had no effect.
    Refused,
    /// No usable answer came; the call may take effect now or later.
    Unanswered,
    /// The lease has ended.
    Ended,
}

/// Failure of a call to the store.
#[derive(Debug, thiserror::Error)]
#[error("store call {call}: {kind}: {message}")]
pub struct Error {
    kind: ErrorKind,
    call: &'static str,
    message: String,
}

impl Error {
    /// Creates an error of the named call.
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

    /// Returns what is known.
    pub fn kind(&self) -> ErrorKind {
        self.kind
    }
}

/// Client of the store.
#[async_trait(?Send)]
pub trait Store {
    /// Reads every item under a prefix.
    async fn list(&self, prefix: &str) -> Result<Listing, Error>;

    /// Waits up to `wait` for changes after a revision.
    async fn watch(&self, prefix: &str, after: u64, wait: Duration) -> Result<WatchResult, Error>;

    /// Makes one conditional change.
    async fn swap(&self, write: ConditionalWrite<'_>) -> Result<WriteOutcome, Error>;

    /// Opens a lease.
    async fn open_lease(&self, ttl: Duration) -> Result<Lease, Error>;

    /// Renews a lease.
    async fn renew(&self, lease: Lease) -> Result<(), Error>;
}

/// Outcome of an order to promote an endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Promotion {
    /// Accepted.
    Accepted,
    /// The endpoint is not running.
    Absent,
}

/// Orders a change of primary.
#[async_trait(?Send)]
pub trait Failover {
    /// Names the endpoint that takes over a service.
    async fn promote(
        &self,
        service: &str,
        endpoint: &str,
        holder: &str,
        fence: u64,
    ) -> Result<Promotion, Error>;
}

/// What a key of the store stands for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum KeyKind {
    /// The configuration.
    Catalog,
    /// Entry of the endpoint with the id.
    Endpoint(Arc<str>),
    /// Request to take a data centre out.
    Evacuation(Arc<str>),
    /// Something else, such as what instances write themselves.
    Other,
}

/// Reads the keys and values that others write.
pub trait Dialect {
    /// Tells what a key stands for.
    fn classify_key(&self, key: &str) -> KeyKind;

    /// Reads a configuration.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with the value.
    fn catalog(&self, value: &[u8]) -> Result<crate::catalog::Catalog, String>;

    /// Reads the entry of an endpoint.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with the value; such an entry names no endpoint to use.
    fn endpoint(&self, id: &str, value: &[u8]) -> Result<crate::endpoint::Endpoint, String>;
}
