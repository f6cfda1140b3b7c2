//! Control connection to a member.

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

/// Control connection that opens itself again after a failure.
///
/// Questions and orders run one after another.
#[derive(Debug)]
pub struct ControlConnection {
    target: Target,
    limit: Duration,
    connection: Mutex<Option<Connection>>,
}

impl ControlConnection {
    /// Creates a control connection whose calls take at most `limit`; it connects at the first call.
    pub fn new(target: Target, limit: Duration) -> Self {
        let connection = Mutex::new(None);
        Self {
            target,
            limit,
            connection,
        }
    }

    /// Runs a statement and returns the texts of its only row.
    ///
    /// # Errors
    ///
    /// Returns an error if the member can't be reached, does not answer in time or refuses.
    pub async fn query_row(&self, sql: &str) -> Result<Vec<Option<String>>, Error> {
        let mut sent = false;
        match timeout(self.limit, self.exchange(sql, &mut sent)).await {
            Ok(result) => result,
            Err(_) if sent => Err(Error::new(ErrorKind::Unanswered, "no answer in time")),
            Err(_) => Err(Error::new(ErrorKind::Unreachable, "not reached in time")),
        }
    }

    async fn exchange(&self, sql: &str, sent: &mut bool) -> Result<Vec<Option<String>>, Error> {
        let mut slot = self.connection.lock().await;
        // The connection leaves the slot while it is used, so that a call which is given up drops
        // it together with the answer that it still owes.
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
        Connection::open(&self.target, self.limit)
            .await
            .map_err(|error| Error::new(ErrorKind::Unreachable, error.to_string()))
    }
}

#[async_trait]
impl Endpoint for ControlConnection {
    async fn status(&self) -> Result<Status, Error> {
        read_status(&self.query_row(STATUS_SQL).await?)
    }

    async fn order(&self, order: &Order) -> Result<Status, Error> {
        read_status(&self.query_row(&order.to_sql()).await?)
    }
}

/// Returns the texts of the only row of an answer.
///
/// # Errors
///
/// Returns an error if the answer is an error or has no row.
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
    row.and_then(|frame| read_columns(frame.body()))
        .ok_or_else(|| malformed("the answer has no row"))
}

/// Reads the columns of a row in text format.
fn read_columns(mut body: &[u8]) -> Option<Vec<Option<String>>> {
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

/// Reads a status row.
///
/// An answer in one column holds the row as a composite, which `SELECT group_fence(1)` yields on a
/// server that does not expand it.
fn read_status(row: &[Option<String>]) -> Result<Status, Error> {
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
    let number = |index: usize| number(row, index);
    let role = row[5].as_deref().and_then(|text| text.parse().ok());
    let heard = row[6].is_some().then(|| number(6)).transpose()?;
    Ok(Status {
        received: Position::new(Term(number(0)?), number(1)?),
        applied: Position::new(Term(number(2)?), number(3)?),
        fenced_term: Term(number(4)?),
        role: role.ok_or_else(|| malformed("the role is unknown"))?,
        primary_contact_age: heard.map(Duration::from_millis),
    })
}

fn number(row: &[Option<String>], index: usize) -> Result<u64, Error> {
    let text = row[index].as_deref().unwrap_or_default();
    let column = STATUS_COLUMNS[index];
    text.parse()
        .map_err(|_| malformed(&format!("column {column} is not a number")))
}

fn malformed(message: &str) -> Error {
    Error::new(ErrorKind::Malformed, message)
}
