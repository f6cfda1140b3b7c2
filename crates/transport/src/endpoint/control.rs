//! Control connection to a member, for status queries and orders such as a promotion.

use std::time::Duration;

use async_trait::async_trait;
use bytes::Buf;
use filbertbay_protocol::endpoint::{
    Endpoint, Error, ErrorKind, ORDER_REFUSED_SQLSTATE, Order, STATUS_COLUMNS, STATUS_SQL,
};
use filbertbay_state::position::{Position, Term};
use filbertbay_state::status::Status;
use tokio::sync::Mutex;
use tokio::time::timeout;

use super::{Connection, Target};
use crate::wire::{Frame, kind};

/// Control connection to a member that reconnects after a failure.
///
/// Status queries and orders run one at a time.
#[derive(Debug)]
pub struct ControlConnection {
    target: Target,
    call_timeout: Duration,
    connection: Mutex<Option<Connection>>,
}

impl ControlConnection {
    /// Creates a control connection whose calls time out after `call_timeout`.
    ///
    /// The first call connects.
    pub fn new(target: Target, call_timeout: Duration) -> Self {
        let connection = Mutex::new(None);
        Self {
            target,
            call_timeout,
            connection,
        }
    }

    /// Runs a statement and returns the columns of its first row as text, `None` for null.
    ///
    /// # Errors
    ///
    /// Returns an error if the member can't be reached, does not respond in time or refuses.
    pub async fn query_row(&self, sql: &str) -> Result<Vec<Option<String>>, Error> {
        let mut sent = false;
        match timeout(self.call_timeout, self.exchange(sql, &mut sent)).await {
            Ok(result) => result,
            Err(_) if sent => Err(Error::new(ErrorKind::Unanswered, "no answer in time")),
            Err(_) => Err(Error::new(ErrorKind::Unreachable, "not reached in time")),
        }
    }

    async fn exchange(&self, sql: &str, sent: &mut bool) -> Result<Vec<Option<String>>, Error> {
        let mut slot = self.connection.lock().await;
        // The connection is taken out of the slot while in use, so that a call that times out drops
        // it together with the response that is still outstanding.
        let mut connection = match slot.take().filter(Connection::is_reusable) {
            Some(connection) => connection,
            None => self.connect().await?,
        };
        *sent = true;
        let frames = connection
            .query(sql)
            .await
            .map_err(|error| Error::new(ErrorKind::Unanswered, error.to_string()))?;
        *slot = Some(connection);
        parse_row(&frames)
    }

    async fn connect(&self) -> Result<Connection, Error> {
        Connection::open(&self.target, self.call_timeout)
            .await
            .map_err(|error| Error::new(ErrorKind::Unreachable, error.to_string()))
    }
}

#[async_trait]
impl Endpoint for ControlConnection {
    async fn status(&self) -> Result<Status, Error> {
        parse_status(&self.query_row(STATUS_SQL).await?)
    }

    async fn order(&self, order: &Order) -> Result<Status, Error> {
        parse_status(&self.query_row(&order.to_sql()).await?)
    }
}

/// Returns the columns of the first row of a response as text, `None` for null.
///
/// # Errors
///
/// Returns an error if the response is an error or has no row. The kind is
/// [`ErrorKind::Refused`] if the member refused an order, and otherwise [`ErrorKind::Malformed`].
pub fn parse_row(frames: &[Frame]) -> Result<Vec<Option<String>>, Error> {
    if let Some(error) = frames.iter().find(|frame| frame.kind() == kind::ERROR) {
        let refused = error.error_field(b'C') == Some(ORDER_REFUSED_SQLSTATE);
        let message = error.error_field(b'M').unwrap_or("no reason given");
        let kind = if refused {
            ErrorKind::Refused
        } else {
            ErrorKind::Malformed
        };
        return Err(Error::new(kind, message));
    }
    let row = frames.iter().find(|frame| frame.kind() == kind::DATA_ROW);
    row.and_then(|frame| parse_columns(frame.body()))
        .ok_or_else(|| malformed("the response has no row"))
}

/// Parses the columns of a row in text format, or returns `None` if the row is malformed.
fn parse_columns(mut body: &[u8]) -> Option<Vec<Option<String>>> {
    const NULL: i32 = -1;
    let count = body.try_get_u16().ok()?;
    let mut columns = Vec::new();
    for _ in 0..count {
        let length = body.try_get_i32().ok()?;
        if length == NULL {
            columns.push(None);
            continue;
        }
        let value = body.split_off(..usize::try_from(length).ok()?)?;
        columns.push(Some(String::from_utf8(value.to_vec()).ok()?));
    }
    Some(columns)
}

/// Parses a status row.
///
/// A single column holds the row as a composite value, which `SELECT group_fence(1)` returns from a
/// server that does not expand the function's result into columns.
fn parse_status(row: &[Option<String>]) -> Result<Status, Error> {
    let composite: Vec<Option<String>>;
    let row = match row {
        [Some(text)] => {
            let inner = text.trim_start_matches('(').trim_end_matches(')');
            let column = |text: &str| (!text.is_empty()).then(|| text.to_owned());
            composite = inner.split(',').map(column).collect();
            &composite
        }
        row => row,
    };
    if row.len() != STATUS_COLUMNS.len() {
        return Err(malformed("the status has the wrong number of columns"));
    }
    let number = |index: usize| parse_number(row, index);
    let role = row[5].as_deref().and_then(|text| text.parse().ok());
    let contact_age_ms = row[6].is_some().then(|| number(6)).transpose()?;
    Ok(Status {
        received: Position::new(Term(number(0)?), number(1)?),
        applied: Position::new(Term(number(2)?), number(3)?),
        fenced_term: Term(number(4)?),
        role: role.ok_or_else(|| malformed("the role is unknown"))?,
        primary_contact_age: contact_age_ms.map(Duration::from_millis),
    })
}

fn parse_number(row: &[Option<String>], index: usize) -> Result<u64, Error> {
    let text = row[index].as_deref().unwrap_or_default();
    let column = STATUS_COLUMNS[index];
    text.parse()
        .map_err(|_| malformed(&format!("column {column} is not a number")))
}

fn malformed(message: &str) -> Error {
    Error::new(ErrorKind::Malformed, message)
}
