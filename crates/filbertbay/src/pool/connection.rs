//! Endpoint connection that tracks the statements prepared on it.

use std::collections::VecDeque;
use std::hash::{BuildHasher, RandomState};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use filbertbay_protocol::sql::Batch;
use filbertbay_transport::endpoint;

/// Most named statements that stay prepared on one connection; beyond this the oldest is closed.
const MAX_PREPARED: usize = 256;

/// Statement that a caller has prepared.
#[derive(Debug)]
pub struct PreparedStatement {
    /// Name at endpoints; empty for the unnamed statement.
    pub name: Box<str>,
    /// Identifier, unique within this process.
    pub id: u64,
    /// SQL text.
    pub sql: Box<str>,
    /// Object identifiers of the parameter types that the caller specified.
    pub types: Box<[u32]>,
    /// Classification of the statements in the text.
    pub batch: Batch,
}

impl PreparedStatement {
    /// Creates a statement.
    ///
    /// The name of a named statement at endpoints is a hash of its text and parameter types, so
    /// that sessions which prepare the same statement share it. The hash has a random key, so that
    /// callers can't construct collisions.
    pub fn new(
        hasher: &RandomState,
        is_named: bool,
        sql: &str,
        types: &[u32],
        batch: Batch,
    ) -> Self {
        static NEXT: AtomicU64 = AtomicU64::new(1);
        let first = hasher.hash_one((sql, types));
        let second = hasher.hash_one((first, types, sql));
        let name = if is_named {
            format!("f{first:016x}{second:016x}")
        } else {
            String::new()
        };
        Self {
            name: name.into(),
            id: NEXT.fetch_add(1, Ordering::Relaxed),
            sql: sql.into(),
            types: types.into(),
            batch,
        }
    }
}

/// Endpoint connection and the statements prepared on it.
#[derive(Debug)]
pub struct Connection {
    /// Connection to the endpoint.
    pub endpoint: endpoint::Connection,
    /// Identifier of the unnamed statement.
    unnamed: Option<u64>,
    /// Named statements, oldest first.
    named: VecDeque<Arc<PreparedStatement>>,
}

impl Connection {
    /// Wraps a connection on which nothing is prepared.
    pub fn new(endpoint: endpoint::Connection) -> Self {
        Self {
            endpoint,
            unnamed: None,
            named: VecDeque::new(),
        }
    }

    /// Returns whether the connection is open and has no unread data.
    pub fn is_reusable(&self) -> bool {
        self.endpoint.is_reusable()
    }

    /// Returns whether a statement is prepared on this connection.
    pub fn is_prepared(&self, statement: &PreparedStatement) -> bool {
        if statement.name.is_empty() {
            return self.unnamed == Some(statement.id);
        }
        self.named.iter().any(|known| known.name == statement.name)
    }

    /// Records that a statement is being prepared, and returns the evicted statement that must be
    /// closed, if any.
    pub fn insert_prepared(
        &mut self,
        statement: &Arc<PreparedStatement>,
    ) -> Option<Arc<PreparedStatement>> {
        if statement.name.is_empty() {
            self.unnamed = Some(statement.id);
            return None;
        }
        self.named.push_back(Arc::clone(statement));
        (self.named.len() > MAX_PREPARED)
            .then(|| self.named.pop_front())
            .flatten()
    }

    /// Records that preparing a statement failed.
    pub fn remove_prepared(&mut self, statement: &PreparedStatement) {
        if self.unnamed == Some(statement.id) {
            self.unnamed = None;
        }
        self.named.retain(|known| known.name != statement.name);
    }
}
