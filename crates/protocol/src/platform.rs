//! Client interface of the platform's key-value service, which holds durable state.
//!
//! The service offers compare-and-swap on a modification index, leases with a time to live, and
//! watches. Each call counts against the users' quota of calls; a blocking watch counts as one.
//!
//! The transport package implements [`Store`] over HTTP; tests use an implementation in memory.

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use serde::{Deserialize, Serialize};
use strum::Display;

pub use filbertbay_state::instance::{Instance, Presence};

/// Maximum size of a value, in bytes.
pub const MAX_VALUE_BYTES: usize = 1 << 20;

/// Time after which the platform drops an instance from its list unless it registers again.
pub const REGISTRATION_TTL: Duration = Duration::from_mins(1);

/// Modification index of a key; zero means that the key does not exist.
#[derive(
    Clone, Copy, Debug, Default, Eq, PartialEq, Ord, PartialOrd, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct ModifyIndex(pub u64);

/// Stored key with its value and modification index.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Entry {
    /// Key, with slashes between its segments.
    pub key: Arc<str>,
    /// Value, at most [`MAX_VALUE_BYTES`] long.
    pub value: Vec<u8>,
    /// Index of the last modification.
    pub index: ModifyIndex,
    /// Lease that holds the key, if any.
    pub lease: Option<LeaseId>,
}

/// Id of a lease; the platform calls a lease a session.
#[derive(Clone, Debug, Eq, PartialEq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct LeaseId(pub Arc<str>);

/// Kind of failure of a call to the platform.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Display)]
#[strum(serialize_all = "snake_case")]
#[non_exhaustive]
pub enum ErrorKind {
    /// No connection to the platform; the call had no effect.
    Unreachable,
    /// No answer came; the call may have taken effect.
    Unanswered,
    /// The platform refused the call, which had no effect.
    Refused,
    /// The answer could not be parsed.
    Malformed,
}

/// Failure of a call to the platform.
#[derive(Debug, thiserror::Error)]
#[error("platform call {call}: {kind}: {message}")]
pub struct Error {
    kind: ErrorKind,
    call: &'static str,
    message: String,
}

impl Error {
    /// Creates an error for the named call.
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

    /// Returns the kind of the failure.
    pub fn kind(&self) -> ErrorKind {
        self.kind
    }
}

/// The platform's key-value service.
#[async_trait]
pub trait Store: Send + Sync + std::fmt::Debug {
    /// Reads one key.
    async fn read(&self, key: &str) -> Result<Option<Entry>, Error>;

    /// Reads every key with a prefix, sorted by key.
    async fn list(&self, prefix: &str) -> Result<Vec<Entry>, Error>;

    /// Writes a key if its index equals `expected`; returns whether the key was written.
    async fn compare_and_swap(
        &self,
        key: &str,
        value: Vec<u8>,
        expected: ModifyIndex,
    ) -> Result<bool, Error>;

    /// Deletes a key if its index equals `expected`; returns whether the key was deleted.
    async fn compare_and_delete(&self, key: &str, expected: ModifyIndex) -> Result<bool, Error>;

    /// Waits until the index of a key differs from `seen` or `wait` has passed, then reads the key.
    async fn watch(
        &self,
        key: &str,
        seen: ModifyIndex,
        wait: Duration,
    ) -> Result<Option<Entry>, Error>;

    /// Opens a lease that expires unless it is renewed within `ttl`.
    async fn open_lease(&self, name: &str, ttl: Duration) -> Result<LeaseId, Error>;

    /// Renews a lease; returns false if the lease has expired.
    async fn renew_lease(&self, lease: &LeaseId) -> Result<bool, Error>;

    /// Ends a lease and releases its keys.
    async fn close_lease(&self, lease: &LeaseId) -> Result<(), Error>;

    /// Acquires a key for a lease and writes it, unless another lease holds the key; returns
    /// whether the key was acquired.
    async fn acquire(&self, key: &str, value: Vec<u8>, lease: &LeaseId) -> Result<bool, Error>;

    /// Registers this instance in the list of instances for [`REGISTRATION_TTL`].
    async fn register(&self, instance: &Instance) -> Result<(), Error>;

    /// Reads the list of registered instances, which lags behind their registrations.
    async fn instances(&self) -> Result<Vec<Instance>, Error>;
}
