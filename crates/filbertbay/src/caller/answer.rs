//! Messages that the proxy itself sends to callers, among them its errors.

use filbertbay_transport::wire::Frame;
use pgwire::messages::Message;
use pgwire::messages::response::{
    CommandComplete, EmptyQueryResponse, ErrorResponse, ReadyForQuery, TransactionStatus,
};
use pgwire::messages::startup::ParameterStatus;
use strum::IntoStaticStr;

/// SQLSTATE of an error that the proxy reports.
#[derive(Clone, Copy, Debug, Eq, PartialEq, IntoStaticStr)]
pub enum SqlState {
    /// The caller violated the protocol.
    #[strum(serialize = "08P01")]
    ProtocolViolation,
    /// The endpoint connection was lost.
    #[strum(serialize = "08006")]
    ConnectionLost,
    /// It is unknown whether the statements took effect.
    #[strum(serialize = "08007")]
    OutcomeUnknown,
    /// Not supported on pooled connections.
    #[strum(serialize = "0A000")]
    Unsupported,
    /// The transaction has failed.
    #[strum(serialize = "25P02")]
    FailedTransaction,
    /// The prepared statement does not exist.
    #[strum(serialize = "26000")]
    UnknownStatement,
    /// The key or the route was withdrawn.
    #[strum(serialize = "28000")]
    KeyWithdrawn,
    /// The workspace, key or route is wrong.
    #[strum(serialize = "28P01")]
    InvalidKey,
    /// A prepared statement of that name exists.
    #[strum(serialize = "42P05")]
    DuplicateStatement,
    /// Too many callers are connected, or too many statements wait for a connection.
    #[strum(serialize = "53300")]
    TooManyConnections,
    /// The workspace exceeds its rate.
    #[strum(serialize = "53400")]
    RateLimited,
    /// A message, pipeline or session exceeds a size limit.
    #[strum(serialize = "54000")]
    TooLarge,
    /// The instance is draining or isolated, or its data centre is out of service.
    #[strum(serialize = "57P01")]
    ShuttingDown,
    /// No endpoint can run the statements now.
    #[strum(serialize = "57P03")]
    Unavailable,
}

/// Error that the proxy reports to a caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// SQLSTATE of the error.
    pub sqlstate: SqlState,
    /// Human-readable message.
    pub message: String,
}

impl Refusal {
    /// Creates a refusal.
    pub fn new<M>(sqlstate: SqlState, message: M) -> Self
    where
        M: Into<String>,
    {
        let message = message.into();
        Self { sqlstate, message }
    }

    /// Creates a refusal of statements that are guaranteed not to have run.
    pub fn not_run<M>(sqlstate: SqlState, reason: M) -> Self
    where
        M: std::fmt::Display,
    {
        Self::new(sqlstate, format!("not run: {reason}"))
    }

    /// Returns an error message after which the session continues.
    pub fn error(&self) -> Frame {
        self.frame("ERROR")
    }

    /// Returns an error message after which the connection is closed.
    pub fn fatal(&self) -> Frame {
        self.frame("FATAL")
    }

    fn frame(&self, severity: &str) -> Frame {
        let sqlstate: &'static str = self.sqlstate.into();
        let field = |code: u8, text: &str| (code, text.to_owned());
        frame(&ErrorResponse::new(vec![
            field(b'S', severity),
            field(b'V', severity),
            field(b'C', sqlstate),
            field(b'M', &self.message),
        ]))
    }
}

/// Returns the `ReadyForQuery` message with a transaction status.
pub fn ready(status: TransactionStatus) -> Frame {
    frame(&ReadyForQuery::new(status))
}

/// Returns the `CommandComplete` message with a tag.
pub fn complete(tag: &str) -> Frame {
    frame(&CommandComplete::new(tag.to_owned()))
}

/// Returns the `EmptyQueryResponse` message.
pub fn empty() -> Frame {
    frame(&EmptyQueryResponse::new())
}

/// Returns the `ParameterStatus` message of a run-time parameter.
pub fn parameter(name: &str, value: &str) -> Frame {
    frame(&ParameterStatus::new(name.to_owned(), value.to_owned()))
}

/// Encodes a message of the proxy.
///
/// # Panics
///
/// Panics if the message exceeds the size limit of its kind, which the proxy's messages never do.
pub fn frame<M>(message: &M) -> Frame
where
    M: Message,
{
    Frame::from_message(message).expect("messages of the proxy are short")
}
