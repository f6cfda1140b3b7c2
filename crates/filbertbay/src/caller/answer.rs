//! Messages that the proxy itself answers to callers.

use filbertbay_transport::wire::Frame;
use pgwire::messages::Message;
use pgwire::messages::response::{
    CommandComplete, EmptyQueryResponse, ErrorResponse, ReadyForQuery, TransactionStatus,
};
use pgwire::messages::startup::ParameterStatus;
use strum::IntoStaticStr;

/// SQLSTATE of an answer that the proxy itself gives.
#[derive(Clone, Copy, Debug, Eq, PartialEq, IntoStaticStr)]
pub enum SqlState {
    /// The caller broke the protocol.
    #[strum(serialize = "08P01")]
    ProtocolViolation,
    /// The connection to the endpoint broke.
    #[strum(serialize = "08006")]
    ConnectionLost,
    /// It is not known whether the work took effect.
    #[strum(serialize = "08007")]
    OutcomeUnknown,
    /// Not available on pooled connections.
    #[strum(serialize = "0A000")]
    Unsupported,
    /// The transaction has failed.
    #[strum(serialize = "25P02")]
    FailedTransaction,
    /// A prepared statement is not known.
    #[strum(serialize = "26000")]
    UnknownStatement,
    /// The key was withdrawn.
    #[strum(serialize = "28000")]
    KeyWithdrawn,
    /// Workspace, key or route is wrong.
    #[strum(serialize = "28P01")]
    InvalidKey,
    /// A prepared statement exists already.
    #[strum(serialize = "42P05")]
    DuplicateStatement,
    /// Too many callers or statements wait.
    #[strum(serialize = "53300")]
    TooManyConnections,
    /// The workspace is at its rate.
    #[strum(serialize = "53400")]
    RateLimited,
    /// A message or a pipeline is too long.
    #[strum(serialize = "54000")]
    TooLarge,
    /// The instance or its data centre is being taken out.
    #[strum(serialize = "57P01")]
    ShuttingDown,
    /// No endpoint can take the work now.
    #[strum(serialize = "57P03")]
    Unavailable,
}

/// Error that the proxy itself answers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// SQLSTATE.
    pub sqlstate: SqlState,
    /// Message for a person.
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

    /// Creates a refusal of work that surely did not run.
    pub fn not_run<M>(sqlstate: SqlState, reason: M) -> Self
    where
        M: std::fmt::Display,
    {
        Self::new(sqlstate, format!("not run: {reason}"))
    }

    /// Returns the message of an error after which the session goes on.
    pub fn error(&self) -> Frame {
        self.frame("ERROR")
    }

    /// Returns the message of an error after which the connection is closed.
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

/// Returns the readiness message with a transaction status.
pub fn ready(status: TransactionStatus) -> Frame {
    frame(&ReadyForQuery::new(status))
}

/// Returns the completion of a statement with its tag.
pub fn complete(tag: &str) -> Frame {
    frame(&CommandComplete::new(tag.to_owned()))
}

/// Returns the answer to an empty statement.
pub fn empty() -> Frame {
    frame(&EmptyQueryResponse::new())
}

/// Returns the announcement of a run-time parameter.
pub fn parameter(name: &str, value: &str) -> Frame {
    frame(&ParameterStatus::new(name.to_owned(), value.to_owned()))
}

/// Encodes a message that the proxy wrote itself.
///
/// # Panics
///
/// Panics if the message is longer than its kind allows; the proxy's own messages are short.
pub fn frame<M>(message: &M) -> Frame
where
    M: Message,
{
    Frame::from_message(message).expect("messages of the proxy are short")
}
