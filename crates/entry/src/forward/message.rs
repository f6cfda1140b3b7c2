//! Messages of forwarded statements. Times are durations, since instances share no clock.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use filbertbay_coordination::egress::Suspicion;
use filbertbay_state::position::Position;
use serde::{Deserialize, Serialize};

use crate::caller::{Refusal, TransactionState};
use crate::endpoint::{Access, Reply};
use crate::execution::{AttemptError, Execution, Work};

/// Statement of a caller of another instance.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ForwardedStatement {
    /// Id that the caller assigned.
    pub id: Box<str>,
    /// Text as received; empty if the statement is prepared.
    pub text: Box<str>,
    /// Whether the statement reads or writes.
    pub access: Access,
    /// Template and arguments of a prepared statement.
    pub prepared: Option<(Arc<str>, Box<str>)>,
    /// Session values of the caller.
    pub values: BTreeMap<Arc<str>, Arc<str>>,
    /// Time for the statement, with the wait for a connection.
    pub time: Duration,
}

impl ForwardedStatement {
    /// Creates the message for a statement that may take `time`.
    pub fn new(work: Work<'_>, time: Duration) -> Self {
        let text = if work.prepared.is_some() {
            ""
        } else {
            work.text
        };
        Self {
            id: work.id.into(),
            text: text.into(),
            access: work.access,
            prepared: work
                .prepared
                .map(|(template, arguments)| (Arc::clone(template), arguments.into())),
            values: work.values.clone(),
            time,
        }
    }

    /// Returns the statement as it is run.
    pub fn work(&self) -> Work<'_> {
        let prepared = self.prepared.as_ref();
        Work {
            id: &self.id,
            text: &self.text,
            access: self.access,
            prepared: prepared.map(|(template, arguments)| (template, &**arguments)),
            values: &self.values,
        }
    }
}

/// Statement outside a transaction, or the first of one, with what its endpoint needs.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Forwarded {
    /// The statement.
    pub statement: ForwardedStatement,
    /// Workspace whose connection is used.
    pub workspace: Arc<str>,
    /// Endpoint that runs the statement.
    pub endpoint: Arc<str>,
    /// Position that the endpoint must have reached.
    pub min_position: Option<Position>,
    /// For the first statement of a transaction, whether that is read-only.
    pub begin: Option<bool>,
    /// Revision of the record under which the endpoint must be primary; `None` if it need not be.
    pub primary_revision: Option<u64>,
    /// Priority in the queue for a connection; 0 is the highest.
    pub priority: u8,
    /// Longest wait for a connection.
    pub queue_time: Duration,
}

impl Forwarded {
    /// Creates the message for a statement that is sent at `now`.
    pub fn new(execution: &Execution<'_>, endpoint: &Arc<str>, now: Instant) -> Self {
        let time = execution.deadline.saturating_duration_since(now);
        Self {
            statement: ForwardedStatement::new(execution.work, time),
            workspace: Arc::clone(execution.workspace),
            endpoint: Arc::clone(endpoint),
            min_position: execution.min_position,
            begin: execution.begin,
            primary_revision: execution.primary_ref.map(|primary| primary.revision),
            priority: execution.priority,
            queue_time: execution.queue_end.saturating_duration_since(now),
        }
    }
}

/// Reply of the endpoint to a forwarded statement.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ForwardReply {
    /// Rows as received.
    pub rows: Vec<Vec<u8>>,
    /// Signature of the endpoint, or the refusal.
    pub result: Result<Arc<str>, Refusal>,
    /// Transaction state of the connection.
    pub state: TransactionState,
    /// Log position that the endpoint reported.
    pub position: Option<Position>,
    /// Lease of the transaction that is open now.
    pub lease: Option<u64>,
}

impl ForwardReply {
    /// Creates the message for an endpoint's reply.
    pub fn new(reply: Reply, lease: Option<u64>) -> Self {
        Self {
            rows: reply.rows.into_iter().map(Vec::from).collect(),
            result: reply.result,
            state: reply.state,
            position: reply.position,
            lease,
        }
    }

    /// Returns the endpoint's reply.
    pub fn into_reply(self) -> Reply {
        Reply {
            rows: self.rows.into_iter().map(Bytes::from).collect(),
            result: self.result,
            state: self.state,
            position: self.position,
        }
    }
}

/// Why an egress instance has no reply to a forwarded statement.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum ForwardError {
    /// The statement did not run, and the sender should choose another path for some time.
    Declined(Suspicion),
    /// The lease of the transaction has ended, so that the endpoint rolled it back; the statement
    /// did not run.
    LeaseEnded,
    /// The attempt at the endpoint did not succeed.
    Attempt(AttemptError),
}
