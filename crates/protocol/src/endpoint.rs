//! What a member of a database group answers about itself, and the orders that it takes.
//!
//! Members speak the PostgreSQL protocol. The functions below are called as ordinary statements on
//! a control connection and use no slot:
//!
//! | statement | answer |
//! |---|---|
//! | `SELECT * FROM group_status()` | one row, see [`Status`] |
//! | `SELECT group_fence(term)` | the row of `group_status()` after the fence |
//! | `SELECT group_promote(term)` | the row of `group_status()` after the promotion |
//! | `SELECT group_follow('ip:port', term)` | the row of `group_status()` |
//!
//! - A fence is accepted if its term is higher than the member's own term and than every fence
//!   before; from then on the member takes no entry from a primary of a lower term.
//! - A promotion is accepted if its term is higher than the member's own term and not lower than
//!   the fence. The member applies all that it received and writes a marker of the new term.
//! - An order to follow is accepted if its term is not lower than the fence.
//!   It acts as a fence of its term, so that an older order which comes late is refused.
//! - A refused order answers SQLSTATE 55000 and changes nothing.
//!
//! A row has the columns `received_term`, `received_index`, `applied_term`, `applied_index`,
//! `fenced_term`, `role` (`primary` or `replica`) and `heard_ms` (null on a primary).

use std::fmt::Debug;

use async_trait::async_trait;
use filbertbay_state::position::Term;
use filbertbay_state::status::Status;
use strum::Display;

/// Statement that asks a member for its status.
pub const STATUS_SQL: &str = "SELECT * FROM group_status()";

/// SQLSTATE of an order that a member refused.
pub const ORDER_REFUSED_SQLSTATE: &str = "55000";

/// Names of the status columns, in their order.
pub const STATUS_COLUMNS: [&str; 7] = [
    "received_term",
    "received_index",
    "applied_term",
    "applied_index",
    "fenced_term",
    "role",
    "heard_ms",
];

/// Order that a member takes on a control connection.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Order {
    /// Take no entry of a term lower than this.
    Fence(Term),
    /// Become the primary of this term.
    Promote(Term),
    /// Follow the primary of this term at this address.
    Follow(std::net::SocketAddr, Term),
}

impl Order {
    /// Returns the statement that carries the order.
    ///
    /// # Examples
    ///
    /// ```
    /// use filbertbay_protocol::endpoint::Order;
    /// use filbertbay_state::position::Term;
    ///
    /// assert_eq!(Order::Fence(Term(7)).to_sql(), "SELECT group_fence(7)");
    /// ```
    pub fn to_sql(&self) -> String {
        match self {
            Self::Fence(term) => format!("SELECT group_fence({term})"),
            Self::Promote(term) => format!("SELECT group_promote({term})"),
            Self::Follow(address, term) => format!("SELECT group_follow('{address}', {term})"),
        }
    }
}

/// What went wrong with a question or an order to a member.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Display)]
#[strum(serialize_all = "snake_case")]
#[non_exhaustive]
pub enum ErrorKind {
    /// The member could not be reached; an order had no effect.
    Unreachable,
    /// No answer came; an order may have taken effect.
    Unanswered,
    /// The member refused; an order had no effect.
    Refused,
    /// The answer could not be understood; an order may have taken effect.
    Malformed,
}

/// Failure of a question or an order to a member.
#[derive(Debug, thiserror::Error)]
#[error("member: {kind}: {message}")]
pub struct Error {
    kind: ErrorKind,
    message: String,
}

impl Error {
    /// Creates an error.
    pub fn new<M>(kind: ErrorKind, message: M) -> Self
    where
        M: Into<String>,
    {
        let message = message.into();
        Self { kind, message }
    }

    /// Returns what went wrong.
    pub fn kind(&self) -> ErrorKind {
        self.kind
    }
}

/// Member of a database group on a control connection.
#[async_trait]
pub trait Endpoint: Send + Sync + Debug {
    /// Asks the member for its status.
    async fn status(&self) -> Result<Status, Error>;

    /// Gives the member an order and returns its status after it.
    async fn order(&self, order: &Order) -> Result<Status, Error>;
}
