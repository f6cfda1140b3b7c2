//! The platform's key-value service, as filbertbay uses it.
//!
//! The service compares and swaps on a modification index, keeps leases with a time to live and
//! answers watches. Each call counts against the users' budget, a waiting watch as one.
//!
//! [`Store`] is the border: the transport package implements it over HTTP, tests over memory.

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use serde::{Deserialize, Serialize};
use strum::Display;

pub use filbertbay_state::instance::{Instance, Presence};

/// Largest value that the platform holds, in bytes.
pub const MAX_VALUE_BYTES: usize = 1 << 20;

/// Time after which an instance leaves the list unless it announces itself again.
pub const REGISTRATION_TTL: Duration = Duration::from_mins(1);

/// Modification index of a key; zero stands for a key that does not exist.
#[derive(
    Clone, Copy, Debug, Default, Eq, PartialEq, Ord, PartialOrd, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct ModifyIndex(pub u64);

/// Key, value and index as the platform holds them.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Entry {
    /// Key, with slashes between its parts.
    pub key: Arc<str>,
    /// Value, at most [`MAX_VALUE_BYTES`] long.
    pub value: Vec<u8>,
    /// Index of the last modification.
    pub index: ModifyIndex,
    /// Lease that holds the key, if one does.
    pub lease: Option<LeaseId>,
}

/// Identity of a lease; the platform calls it a session.
#[derive(Clone, Debug, Eq, PartialEq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct LeaseId(pub Arc<str>);

/// What went wrong with a call to the platform.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Display)]
#[strum(serialize_all = "snake_case")]
#[non_exhaustive]
pub enum ErrorKind {
    /// The platform could not be reached; the call had no effect.
    Unreachable,
    /// No answer came; the call may have taken effect.
    Unanswered,
    /// The platform refused the call, which had no effect.
    Refused,
    /// The answer could not be understood.
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

    /// Returns what went wrong.
    pub fn kind(&self) -> ErrorKind {
        self.kind
    }
}

/// The platform's key-value service.
#[async_trait]
pub trait Store: Send + Sync + std::fmt::Debug {
    /// Reads one key.
    async fn read(&self, key: &str) -> Result<Option<Entry>, Error>;

    /// Reads every key under a prefix, in the order of the keys.
    async fn list(&self, prefix: &str) -> Result<Vec<Entry>, Error>;

    /// Writes a key if its index is still `expected`, and tells whether it did.
    async fn compare_and_swap(
        &self,
        key: &str,
        value: Vec<u8>,
        expected: ModifyIndex,
    ) -> Result<bool, Error>;

    /// Deletes a key if its index is still `expected`, and tells whether it did.
    async fn compare_and_delete(&self, key: &str, expected: ModifyIndex) -> Result<bool, Error>;

    /// Waits until the index of a key differs from `seen` or `wait` has passed, then reads it.
    async fn watch(
        &self,
        key: &str,
        seen: ModifyIndex,
        wait: Duration,
    ) -> Result<Option<Entry>, Error>;

    /// Opens a lease that lapses when it is not renewed within `ttl`.
    async fn open_lease(&self, name: &str, ttl: Duration) -> Result<LeaseId, Error>;

    /// Renews a lease, and tells whether it still stood.
    async fn renew_lease(&self, lease: &LeaseId) -> Result<bool, Error>;

    /// Ends a lease and releases the keys that it holds.
    async fn close_lease(&self, lease: &LeaseId) -> Result<(), Error>;

    /// Takes a key for a lease if no other lease holds it, and tells whether it did.
    async fn acquire(&self, key: &str, value: Vec<u8>, lease: &LeaseId) -> Result<bool, Error>;

    /// Announces this instance in the list of instances, for [`REGISTRATION_TTL`].
    async fn register(&self, instance: &Instance) -> Result<(), Error>;

    /// Reads the lagging list of instances.
    async fn instances(&self) -> Result<Vec<Instance>, Error>;
}
