//! Endpoints: what is known of them, and what an endpoint driver can do.

use std::net::SocketAddr;
use std::sync::Arc;

use async_trait::async_trait;
use bytes::Bytes;
use filbertbay_state::position::{Position, Term};
use filbertbay_state::status::Role;

use crate::caller::{Refusal, TransactionState};

/// Entry of an endpoint in the directory.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Endpoint {
    /// Identity; an address may pass to another endpoint.
    pub id: Arc<str>,
    /// Service that it belongs to.
    pub service: Arc<str>,
    /// Where it listens.
    pub address: SocketAddr,
    /// Data centre that it stands in.
    pub data_centre: Arc<str>,
    /// Statements that it runs at once.
    pub slots: usize,
    /// Whether it is about to leave.
    pub is_draining: bool,
    /// Role that it sees itself in.
    pub role: Role,
    /// Whether it was still cold when it reported.
    pub is_cold: bool,
}

/// Whether a prepared statement reads or writes.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Hash, PartialOrd, Ord)]
pub enum Access {
    /// Reads.
    Read,
    /// Writes.
    Write,
}

/// What an endpoint is asked to do.
#[derive(Clone, Debug)]
pub enum RequestKind<'a> {
    /// Text of a caller, unchanged.
    Text(&'a str),
    /// Starts a transaction.
    Begin {
        /// Whether it promises not to write.
        read_only: bool,
    },
    /// Rolls a transaction back.
    Rollback,
    /// Sets a session value.
    Set(&'a str, &'a str),
    /// Prepares a statement.
    Prepare(&'a str, Access, &'a str),
    /// Runs a prepared statement with the rest of its text.
    Execute(&'a str, &'a str),
    /// Drops session values and prepared statements.
    Reset,
    /// Asks for the status row.
    Status,
    /// Makes a primary of a lower term a replica.
    Demote(Term),
}

/// Request to an endpoint.
#[derive(Clone, Debug)]
pub struct Request<'a> {
    /// Id of the caller's statement; none for what the instance asks itself.
    pub id: Option<&'a str>,
    /// Position that the log must have.
    pub min_position: Option<Position>,
    /// What to do.
    pub kind: RequestKind<'a>,
}

impl<'a> Request<'a> {
    /// Request of the instance itself.
    pub fn internal(kind: RequestKind<'a>) -> Self {
        Self {
            id: None,
            min_position: None,
            kind,
        }
    }
}

/// Whole answer of an endpoint.
#[derive(Clone, Debug)]
pub struct Reply {
    /// Rows as they came.
    pub rows: Vec<Bytes>,
    /// Signature, or the refusal.
    pub result: Result<Arc<str>, Refusal>,
    /// State of the connection.
    pub state: TransactionState,
    /// Position of the endpoint's log.
    pub position: Option<Position>,
}

/// What an endpoint says of itself.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Status {
    /// Role that it sees itself in.
    pub role: Role,
    /// Newest term that it knows.
    pub term: Term,
    /// Last position that it received, applied or not.
    pub received: Position,
}

/// Open connection to an endpoint.
///
/// A connection on which a call failed or was given up must be dropped.
#[async_trait(?Send)]
pub trait EndpointConnection {
    /// Sends requests without waiting for answers.
    async fn send(&mut self, requests: &[Request<'_>]) -> std::io::Result<()>;

    /// Waits for the answer to the oldest unanswered request.
    async fn receive(&mut self) -> std::io::Result<Reply>;

    /// Tells whether the endpoint has closed the connection or sent something unasked.
    fn is_stale(&self) -> bool;
}

/// Why a connection could not be opened.
#[derive(Debug)]
pub enum ConnectError {
    /// The endpoint refused.
    Refused(Refusal),
    /// No process listens at the address.
    NotListening,
    /// The network failed or nobody answered.
    Io(std::io::Error),
}

/// Opens connections to endpoints.
#[async_trait(?Send)]
pub trait Connector {
    /// Opens a connection for a workspace and waits until the endpoint accepts it.
    async fn connect(
        &self,
        endpoint: &Endpoint,
        workspace: &str,
    ) -> Result<Box<dyn EndpointConnection>, ConnectError>;

    /// Reads the status out of a reply.
    fn parse_status(&self, reply: &Reply) -> Option<Status>;
}
