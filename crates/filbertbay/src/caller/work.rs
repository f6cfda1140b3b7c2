//! Work that a caller has sent and that runs as one piece.

use std::sync::Arc;
use std::time::Duration;

use bytes::BytesMut;
use filbertbay_protocol::sql::StatementClass;
use filbertbay_transport::wire::Frame;
use pgwire::messages::extendedquery::{Close, Describe, Parse};

use super::answer;
use crate::pool::Prepared;

/// One message of a caller, with the prepared statement that it names.
#[derive(Clone, Debug)]
pub enum Step {
    /// Simple query.
    Query(Frame),
    /// Preparation of a statement.
    Parse(Arc<Prepared>),
    /// Binding of a statement's portal.
    Bind(Frame, Arc<Prepared>),
    /// Description of a statement.
    Describe(Arc<Prepared>),
    /// Description of a portal.
    DescribePortal(Frame),
    /// Execution of a portal.
    Execute(Frame),
    /// Close of a portal.
    ClosePortal(Frame),
    /// Close of a statement, which only the proxy knows by the caller's name.
    CloseStatement,
}

/// Steps up to the next sync or flush.
#[derive(Clone, Debug, Default)]
pub struct Work {
    /// Steps in the order in which they came.
    pub steps: Vec<Step>,
    /// Classes of the statements that the steps run.
    pub classes: Vec<StatementClass>,
    /// Classes of the statements that the steps prepare or describe.
    pub prepared: Vec<StatementClass>,
    /// Age that a comment accepts.
    pub staleness: Option<Duration>,
    /// Statements that the steps run.
    pub cost: u64,
    /// Whether the work ends with a sync, as a simple query always does.
    pub ends: bool,
    /// Whether a simple query makes up the work.
    pub is_simple: bool,
    /// Bytes of all messages.
    pub bytes: usize,
}

impl Work {
    /// Returns whether the work changes nothing, alone or in a read-only transaction.
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
        runs_reads && !self.prepared.contains(&StatementClass::Write)
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
        let mut all = self.classes.iter().chain(&self.prepared).peekable();
        all.peek().is_some() && all.all(is_local)
    }

    /// Returns whether there is nothing to ask an endpoint: no step, or empty statements alone.
    pub fn is_blank(&self) -> bool {
        let closes = |step: &Step| matches!(step, Step::CloseStatement);
        let is_empty_query = self.is_simple && self.classes.is_empty();
        is_empty_query || self.steps.iter().all(closes)
    }

    /// Returns why the work can't run on a pooled connection, if it can't.
    pub fn refusal(&self) -> Option<&'static str> {
        let is_single = self.is_local() && (!self.is_simple || self.classes.len() == 1);
        self.classes
            .iter()
            .chain(&self.prepared)
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

    /// Returns whether the work only ends a transaction.
    pub fn is_ending(&self) -> bool {
        let ends = |class: &StatementClass| {
            matches!(class, StatementClass::Commit | StatementClass::Rollback)
        };
        !self.classes.is_empty() && self.classes.iter().all(ends)
    }

    /// Returns whether the work may commit a transaction that was open before it.
    ///
    /// A portal that was bound earlier may hold a commit.
    pub fn may_commit(&self) -> bool {
        let runs_earlier_portal = self.classes.is_empty() && self.cost > 0;
        runs_earlier_portal || self.classes.contains(&StatementClass::Commit)
    }

    /// Returns the number of statements that count against the rate.
    pub fn charge(&self) -> u64 {
        let is_free = |class: &&StatementClass| {
            matches!(
                class,
                StatementClass::Commit
                    | StatementClass::Rollback
                    | StatementClass::TransactionLocal
            )
        };
        let free = self.classes.iter().filter(is_free).count() as u64;
        self.cost.saturating_sub(free)
    }
}

/// Returns the message that prepares a statement at an endpoint.
pub fn parse(statement: &Prepared) -> Frame {
    let name = (!statement.name.is_empty()).then(|| statement.name.to_string());
    answer::frame(&Parse::new(
        name,
        statement.sql.to_string(),
        statement.types.to_vec(),
    ))
}

/// Returns the message that closes a statement at an endpoint.
pub fn close(statement: &Prepared) -> Frame {
    answer::frame(&Close::new(b'S', Some(statement.name.to_string())))
}

/// Returns a bind with the statement's name replaced by its name at endpoints.
pub fn rename_bind(bind: &Frame, statement: &Prepared) -> Frame {
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

/// Returns the message that asks an endpoint to describe a statement.
pub fn describe(statement: &Prepared) -> Frame {
    let name = (!statement.name.is_empty()).then(|| statement.name.to_string());
    answer::frame(&Describe::new(b'S', name))
}
