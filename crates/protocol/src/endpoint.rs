//! Status queries and orders to the members of a database group.
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
//! - A member accepts a fence if its term is higher than the member's own term and than every
//!   earlier fence. From then on the member takes no log entry from a primary of a lower term.
//! - A member accepts a promotion if its term is higher than the member's own term and not lower
//!   than the fence. The member applies every entry received and writes a marker of the new term.
//! - A member accepts an order to follow if its term is not lower than the fence. The order also
//!   fences the member with its term, so that an older order that arrives late is refused.
//! - A refused order fails with SQLSTATE 55000 and changes nothing.
//!
//! A row has the columns `received_term`, `received_index`, `applied_term`, `applied_index`,
//! `fenced_term`, `role` (`primary` or `replica`) and `heard_ms` (null on a primary).

use std::fmt::Debug;

use async_trait::async_trait;
use filbertbay_state::position::Term;
use filbertbay_state::status::Status;
use strum::Display;

/// Statement that returns the status of a member.
pub const STATUS_SQL: &str = "SELECT * FROM group_status()";

/// SQLSTATE of a refused order.
pub const ORDER_REFUSED_SQLSTATE: &str = "55000";

/// Names of the status columns, in the order of the row.
pub const STATUS_COLUMNS: [&str; 7] = [
    "received_term",
    "received_index",
    "applied_term",
    "applied_index",
    "fenced_term",
    "role",
    "heard_ms",
];

/// Order to a member on a control connection.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Order {
    /// Take no log entry from a primary of a term lower than this.
    Fence(Term),
    /// Become the primary in this term.
    Promote(Term),
    /// Replicate from the primary at this address, which leads this term.
    Follow(std::net::SocketAddr, Term),
}

impl Order {
    /// Returns the order as an SQL statement.
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

/// Kind of failure of a status query or an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Display)]
#[strum(serialize_all = "snake_case")]
#[non_exhaustive]
pub enum ErrorKind {
    /// No connection to the member; an order had no effect.
    Unreachable,
    /// No answer came; an order may have taken effect.
    Unanswered,
    /// The member refused the statement; an order had no effect.
    Refused,
    /// The answer could not be parsed; an order may have taken effect.
    Malformed,
}

/// Failure of a status query or an order to a member.
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

    /// Returns the kind of the failure.
    pub fn kind(&self) -> ErrorKind {
        self.kind
    }
}

/// Control connection to a member of a database group.
#[async_trait]
pub trait Endpoint: Send + Sync + Debug {
    /// Queries the status of the member.
    async fn status(&self) -> Result<Status, Error>;

    /// Sends an order to the member and returns the status after the order took effect.
    async fn order(&self, order: &Order) -> Result<Status, Error>;
}
