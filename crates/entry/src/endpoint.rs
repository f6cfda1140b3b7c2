//! Interface between an instance and the driver of the endpoints' protocol: directory entries,
//! requests, replies and the [`Connector`] and [`EndpointConnection`] traits.

use std::net::SocketAddr;
use std::sync::Arc;

use async_trait::async_trait;
use bytes::Bytes;
use filbertbay_state::position::{Position, Term};
use filbertbay_state::status::Role;
use serde::{Deserialize, Serialize};

use crate::caller::{Refusal, TransactionState};

/// Entry of an endpoint in the directory.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Endpoint {
    /// Identity of the endpoint. The address does not identify it, because another endpoint may
    /// reuse the address.
    pub id: Arc<str>,
    /// Start of the endpoint's process in Unix milliseconds, if it states it. One that starts again under
    /// its id may have lost what it held.
    pub incarnation: Option<u64>,
    /// Number of this report since then.
    pub reports: u64,
    /// Service that the endpoint belongs to.
    pub service: Arc<str>,
    /// Address that the endpoint listens on.
    pub address: SocketAddr,
    /// Data centre that the endpoint runs in.
    pub data_centre: Arc<str>,
    /// Statements that the endpoint runs concurrently.
    pub slots: usize,
    /// Whether the endpoint is draining.
    pub is_draining: bool,
    /// Role that the endpoint reports.
    pub role: Role,
    /// Whether the endpoint was cold when it last reported.
    pub is_cold: bool,
}

impl Endpoint {
    /// Returns whether `other` is the same but for its process, which matters to what its log holds and
    /// not to the work that it may be sent.
    pub fn serves_like(&self, other: &Self) -> bool {
        let other = Self {
            incarnation: self.incarnation,
            reports: self.reports,
            ..other.clone()
        };
        *self == other
    }
}

/// Whether a prepared statement reads or writes.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Access {
    /// The statement reads.
    Read,
    /// The statement writes.
    Write,
}

/// Operation that an endpoint performs for a request.
#[derive(Clone, Debug)]
pub enum RequestKind<'a> {
    /// Runs a caller's text, unchanged.
    Text(&'a str),
    /// Starts a transaction.
    Begin {
        /// Whether the transaction is declared read-only.
        read_only: bool,
    },
    /// Rolls the transaction back.
    Rollback,
    /// Sets a session value: name and value.
    Set(&'a str, &'a str),
    /// Prepares a statement: name, access and template.
    Prepare(&'a str, Access, &'a str),
    /// Runs a prepared statement: name and arguments.
    Execute(&'a str, &'a str),
    /// Removes all session values and prepared statements of the connection.
    Reset,
    /// Queries the status of the endpoint.
    Status,
    /// Demotes the endpoint to a replica if it is primary in a term lower than this one.
    Demote(Term),
}

/// Request to an endpoint.
#[derive(Clone, Debug)]
pub struct Request<'a> {
    /// Id of the caller's statement; `None` for the instance's own requests.
    pub id: Option<&'a str>,
    /// Position that the endpoint must have reached to run the request.
    pub min_position: Option<Position>,
    /// Operation to run.
    pub kind: RequestKind<'a>,
}

impl<'a> Request<'a> {
    /// Creates a request of the instance itself.
    pub fn internal(kind: RequestKind<'a>) -> Self {
        Self {
            id: None,
            min_position: None,
            kind,
        }
    }
}

/// Complete reply of an endpoint to one request.
#[derive(Clone, Debug)]
pub struct Reply {
    /// Rows as received.
    pub rows: Vec<Bytes>,
    /// Signature of the endpoint, or the refusal.
    pub result: Result<Arc<str>, Refusal>,
    /// Transaction state of the connection.
    pub state: TransactionState,
    /// Log position that the endpoint reported.
    pub position: Option<Position>,
}

/// Status that an endpoint reports.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Status {
    /// Role that the endpoint reports.
    pub role: Role,
    /// Term that the endpoint leads or follows.
    pub term: Term,
    /// Term of the last pause or demotion, which a further one must exceed.
    pub fenced_term: Term,
    /// Last position that the endpoint received, applied or not.
    pub received: Position,
}

/// Open connection to an endpoint.
///
/// A connection on which a call failed or was cancelled must be dropped.
#[async_trait(?Send)]
pub trait EndpointConnection {
    /// Sends requests without waiting for their replies.
    async fn send(&mut self, requests: &[Request<'_>]) -> std::io::Result<()>;

    /// Waits for the reply to the oldest unanswered request.
    async fn receive(&mut self) -> std::io::Result<Reply>;

    /// Returns whether the endpoint has closed the connection or sent unsolicited data.
    fn is_stale(&self) -> bool;
}

/// Why a connection could not be opened.
#[derive(Debug)]
pub enum ConnectError {
    /// The endpoint refused the connection.
    Refused(Refusal),
    /// No process listens at the address.
    NotListening,
    /// The connection attempt failed or timed out.
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

    /// Parses the reply to a status query; `None` if the reply holds no valid status.
    fn parse_status(&self, reply: &Reply) -> Option<Status>;
}
