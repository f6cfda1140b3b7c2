//! Endpoint connection with the statements that are prepared on it.

use std::collections::VecDeque;
use std::hash::{BuildHasher, RandomState};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use filbertbay_protocol::sql::Batch;
use filbertbay_transport::endpoint;

/// Statements that stay prepared on one connection; the oldest makes room.
const MAX_PREPARED: usize = 256;

/// Statement that a caller has prepared.
#[derive(Debug)]
pub struct PreparedStatement {
    /// Name at endpoints; empty for the unnamed statement.
    pub name: Box<str>,
    /// Number, unique among the statements of this process.
    pub id: u64,
    /// Text.
    pub sql: Box<str>,
    /// Types of the parameters that the caller has given.
    pub types: Box<[u32]>,
    /// Classes of the text.
    pub batch: Batch,
}

impl PreparedStatement {
    /// Creates a statement.
    ///
    /// A statement that the caller has named is named by its content at endpoints, so that sessions
    /// which prepare the same text share it. The hash is keyed at random, so that callers can't
    /// construct two texts of one name.
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

/// Endpoint connection and what is prepared on it.
#[derive(Debug)]
pub struct Connection {
    /// Connection to the endpoint.
    pub endpoint: endpoint::Connection,
    unnamed: Option<u64>,
    named: VecDeque<Arc<PreparedStatement>>,
}

impl Connection {
    /// Wraps a fresh connection.
    pub fn new(endpoint: endpoint::Connection) -> Self {
        Self {
            endpoint,
            unnamed: None,
            named: VecDeque::new(),
        }
    }

    /// Returns whether nothing unread waits and the endpoint has not closed the connection.
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

    /// Notes that a statement is being prepared, and returns one that must be closed for it.
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

    /// Notes that a statement was not prepared after all.
    pub fn remove_prepared(&mut self, statement: &PreparedStatement) {
        if self.unnamed == Some(statement.id) {
            self.unnamed = None;
        }
        self.named.retain(|known| known.name != statement.name);
    }
}
