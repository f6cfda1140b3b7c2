//! Pipelines: the messages of a caller that run together, up to a sync or flush.

use std::sync::Arc;
use std::time::Duration;

use bytes::BytesMut;
use filbertbay_protocol::sql::StatementClass;
use filbertbay_transport::wire::Frame;
use pgwire::messages::extendedquery::{Close, Describe, Parse};

use super::answer;
use crate::pool::PreparedStatement;

/// One message of a caller, with the prepared statement that it refers to.
#[derive(Clone, Debug)]
pub enum Step {
    /// Simple query.
    Query(Frame),
    /// `Parse` of a statement.
    Parse(Arc<PreparedStatement>),
    /// `Bind` of a portal, with its statement.
    Bind(Frame, Arc<PreparedStatement>),
    /// `Describe` of a statement.
    Describe(Arc<PreparedStatement>),
    /// `Describe` of a portal.
    DescribePortal(Frame),
    /// `Execute` of a portal.
    Execute(Frame),
    /// `Close` of a portal.
    ClosePortal(Frame),
    /// `Close` of a statement. The proxy answers it, since statements have other names at
    /// endpoints.
    CloseStatement,
}

/// Messages up to the next sync or flush, or a simple query.
#[derive(Clone, Debug, Default)]
pub struct Pipeline {
    /// Messages in order of arrival.
    pub steps: Vec<Step>,
    /// Classes of the statements that the pipeline runs.
    pub classes: Vec<StatementClass>,
    /// Classes of the statements that the pipeline prepares or describes.
    pub prepared_classes: Vec<StatementClass>,
    /// Maximum staleness that a comment of a statement allows.
    pub max_staleness: Option<Duration>,
    /// Number of statements that the pipeline runs.
    pub statement_count: u64,
    /// Whether the pipeline ends with a sync; always true for a simple query.
    pub ends_with_sync: bool,
    /// Whether the pipeline is a simple query.
    pub is_simple_query: bool,
    /// Total size of the messages, in bytes.
    pub bytes: usize,
}

impl Pipeline {
    /// Returns whether the pipeline only reads, on its own or within a read-only transaction.
    pub fn is_read(&self) -> bool {
        let opens = self.classes.first() == Some(&StatementClass::Begin { read_only: true });
        let runs_reads = self.classes.iter().all(|class| match class {
            StatementClass::Read => true,
            StatementClass::Begin { read_only } => *read_only,
            StatementClass::Commit
            | StatementClass::Rollback
            | StatementClass::TransactionLocal => opens,
            _ => false,
        });
        runs_reads && !self.prepared_classes.contains(&StatementClass::Write)
    }

    /// Returns whether the proxy answers every statement itself.
    pub fn is_local(&self) -> bool {
        let is_local = |class: &StatementClass| {
            matches!(
                class,
                StatementClass::SetMaxStaleness(_)
                    | StatementClass::Acknowledged(_)
                    | StatementClass::Deallocate(_)
            )
        };
        let mut all = self.classes.iter().chain(&self.prepared_classes).peekable();
        all.peek().is_some() && all.all(is_local)
    }

    /// Returns whether no endpoint is needed: only empty statements, closed statements or no step.
    pub fn has_nothing_to_run(&self) -> bool {
        let closes = |step: &Step| matches!(step, Step::CloseStatement);
        let is_empty_query = self.is_simple_query && self.classes.is_empty();
        is_empty_query || self.steps.iter().all(closes)
    }

    /// Returns the reason why the pipeline can't run on a pooled connection, if there is one.
    pub fn unsupported_reason(&self) -> Option<&'static str> {
        let is_single = self.is_local() && (!self.is_simple_query || self.classes.len() == 1);
        self.classes
            .iter()
            .chain(&self.prepared_classes)
            .find_map(|class| match class {
                StatementClass::Refused(reason) => Some(*reason),
                StatementClass::SetMaxStaleness(_)
                | StatementClass::Acknowledged(_)
                | StatementClass::Deallocate(_)
                    if !is_single =>
                {
                    Some("a setting of the proxy must be a statement of its own")
                }
                _ => None,
            })
    }

    /// Returns whether the pipeline only commits or rolls back.
    pub fn only_ends_transaction(&self) -> bool {
        let ends_with_sync = |class: &StatementClass| {
            matches!(class, StatementClass::Commit | StatementClass::Rollback)
        };
        !self.classes.is_empty() && self.classes.iter().all(ends_with_sync)
    }

    /// Returns whether the pipeline may commit a transaction that was open before.
    ///
    /// An execute of an earlier portal counts, because that portal may hold a commit.
    pub fn may_commit(&self) -> bool {
        let runs_earlier_portal = self.classes.is_empty() && self.statement_count > 0;
        runs_earlier_portal || self.classes.contains(&StatementClass::Commit)
    }

    /// Returns the number of statements that count against the workspace's rate. Commits, rollbacks
    /// and transaction-local settings do not.
    pub fn rate_cost(&self) -> u64 {
        let is_free = |class: &&StatementClass| {
            matches!(
                class,
                StatementClass::Commit
                    | StatementClass::Rollback
                    | StatementClass::TransactionLocal
            )
        };
        let free = self.classes.iter().filter(is_free).count() as u64;
        self.statement_count.saturating_sub(free)
    }
}

/// Returns the `Parse` message of a statement under its name at endpoints.
pub fn parse(statement: &PreparedStatement) -> Frame {
    let name = (!statement.name.is_empty()).then(|| statement.name.to_string());
    answer::frame(&Parse::new(
        name,
        statement.sql.to_string(),
        statement.types.to_vec(),
    ))
}

/// Returns the `Close` message of a statement under its name at endpoints.
pub fn close(statement: &PreparedStatement) -> Frame {
    answer::frame(&Close::new(b'S', Some(statement.name.to_string())))
}

/// Returns a `Bind` message with the caller's statement name replaced by the name at endpoints.
pub fn rename_bind(bind: &Frame, statement: &PreparedStatement) -> Frame {
    let portal = bind.str_at(0).map_or(0, str::len) + 1;
    let old = bind.str_at(portal).map_or(0, str::len) + 1;
    let body = bind.body();
    let mut renamed = BytesMut::with_capacity(body.len() + statement.name.len() + 1);
    renamed.extend_from_slice(&body[..portal]);
    renamed.extend_from_slice(statement.name.as_bytes());
    renamed.extend_from_slice(&[0]);
    renamed.extend_from_slice(&body[portal + old..]);
    Frame::new(bind.kind(), &renamed)
}

/// Returns the `Describe` message of a statement under its name at endpoints.
pub fn describe(statement: &PreparedStatement) -> Frame {
    let name = (!statement.name.is_empty()).then(|| statement.name.to_string());
    answer::frame(&Describe::new(b'S', name))
}
