//! What callers were told, and its comparison with the rows that the groups hold.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use serde::Serialize;
use tokio_postgres::error::SqlState;
use tokio_postgres::{Client, NoTls, SimpleQueryMessage};

use crate::group::{self, Member};

/// Longest wait for a member whose connections are all in use.
const FULL_PATIENCE: Duration = Duration::from_secs(10);

/// Pause between two tries to connect to such a member.
const FULL_PAUSE: Duration = Duration::from_millis(20);

/// What a caller tried.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// Connect to an instance.
    Connect,
    /// Read the session's highest number.
    Read,
    /// Write the row with this number.
    Write(i64),
}

/// What a caller was told.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The statement ran.
    Done,
    /// The answer lacks a row whose write was acknowledged to the session.
    Stale,
    /// The answer lacks a row that the session saw before, but was never acknowledged.
    Regressed,
    /// The answer can't be understood.
    Garbled,
    /// The statement did not run, with the SQLSTATE.
    NotRun(Arc<str>),
    /// The statement failed, with the SQLSTATE.
    Failed(Arc<str>),
    /// Nobody knows whether the statement ran.
    Unknown,
}

impl Outcome {
    /// Reads the outcome from an error.
    pub(super) fn of(cause: &tokio_postgres::Error) -> Self {
        let Some(error) = cause.as_db_error() else {
            return Self::Unknown;
        };
        let code = error.code().code();
        if error.message().contains("not run") {
            return Self::NotRun(code.into());
        }
        // Connection exceptions and ends of the session leave a statement in doubt.
        if code.starts_with("08") || code.starts_with("57P") {
            return Self::Unknown;
        }
        Self::Failed(code.into())
    }
}

/// One statement or connection of a caller.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// When it began, since the load did.
    pub at: Duration,
    /// How long its answer took.
    pub took: Duration,
    /// Session that made it.
    pub session: i64,
    /// Workspace of the session.
    pub workspace: Arc<str>,
    /// Route of the session.
    pub route: Arc<str>,
    /// Instance that it went to.
    pub instance: Arc<str>,
    /// What was tried.
    pub kind: Kind,
    /// What the caller was told.
    pub outcome: Outcome,
}

/// Everything that callers were told, in the order of time.
#[derive(Clone, Debug)]
pub struct Record {
    /// Attempts of all sessions.
    pub attempts: Vec<Attempt>,
}

/// What a comparison with the groups found.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct Verdict {
    /// Statements that were answered.
    pub done: usize,
    /// Writes that were acknowledged.
    pub acknowledged: usize,
    /// Writes whose outcome is unknown.
    pub unknown: usize,
    /// Statements that were refused as not run.
    pub not_run: usize,
    /// Statements that failed otherwise.
    pub failed: usize,
    /// Acknowledged writes that no primary holds.
    pub lost: usize,
    /// Writes that are there more than once.
    pub doubled: usize,
    /// Reads that lacked a row whose write was acknowledged to their session.
    pub stale: usize,
    /// Reads that lacked an unacknowledged row which their session saw before.
    pub regressed: usize,
    /// Writes that were refused as not run and are there.
    pub false_refusals: usize,
    /// Answers that can't be understood.
    pub garbled: usize,
}

impl Verdict {
    /// Tells whether everything that must always hold did.
    pub fn holds(&self) -> bool {
        let broken = self.lost + self.doubled + self.stale + self.regressed;
        broken + self.false_refusals + self.garbled == 0
    }
}

impl Record {
    /// Compares what callers were told with the rows at the primaries.
    ///
    /// # Errors
    ///
    /// Fails if a primary can't be read.
    pub async fn check(
        &self,
        groups: &[group::Handle],
        credentials: &(&str, &str),
    ) -> Result<Verdict, tokio_postgres::Error> {
        let mut rows = BTreeMap::new();
        for group in groups {
            read_rows(group.primary(), credentials, &mut rows).await?;
        }
        let mut verdict = Verdict::default();
        for attempt in &self.attempts {
            verdict.count(attempt, &rows);
        }
        verdict.doubled = rows.values().filter(|count| **count > 1).count();
        Ok(verdict)
    }
}

impl Verdict {
    fn count(&mut self, attempt: &Attempt, rows: &BTreeMap<(i64, i64), usize>) {
        let write = match attempt.kind {
            Kind::Write(seq) => Some(rows.contains_key(&(attempt.session, seq))),
            _ => None,
        };
        match attempt.outcome {
            Outcome::Done => {
                self.done += 1;
                self.acknowledged += usize::from(write.is_some());
                self.lost += usize::from(write == Some(false));
            }
            Outcome::Stale => self.stale += 1,
            Outcome::Regressed => self.regressed += 1,
            Outcome::Garbled => self.garbled += 1,
            Outcome::NotRun(_) => {
                self.not_run += 1;
                self.false_refusals += usize::from(write == Some(true));
            }
            Outcome::Failed(_) => self.failed += 1,
            Outcome::Unknown => self.unknown += usize::from(write.is_some()),
        }
    }
}

/// Creates the table of numbered rows, in which a doubled row is visible.
pub(super) async fn create_table(
    primary: &Member,
    credentials: &(&str, &str),
) -> Result<(), tokio_postgres::Error> {
    let client = connect(primary, "", credentials).await?;
    let table = "CREATE TABLE IF NOT EXISTS load (session int8, seq int8)";
    client.batch_execute(table).await?;
    let index = "CREATE INDEX IF NOT EXISTS load_session ON load (session, seq)";
    client.batch_execute(index).await
}

async fn read_rows(
    primary: &Member,
    credentials: &(&str, &str),
    rows: &mut BTreeMap<(i64, i64), usize>,
) -> Result<(), tokio_postgres::Error> {
    let client = connect(primary, "", credentials).await?;
    for message in client.simple_query("SELECT session, seq FROM load").await? {
        if let SimpleQueryMessage::Row(row) = message {
            let number = |index| row.get(index).and_then(|text: &str| text.parse().ok());
            if let (Some(session), Some(seq)) = (number(0), number(1)) {
                *rows.entry((session, seq)).or_default() += 1;
            }
        }
    }
    Ok(())
}

/// Connects to a member, and waits for a free connection where all are in use.
///
/// # Errors
///
/// Fails if the member doesn't answer, or has no free connection for long.
pub async fn connect(
    member: &Member,
    origin: &str,
    (user, password): &(&str, &str),
) -> Result<Client, tokio_postgres::Error> {
    let mut config = tokio_postgres::Config::new();
    config
        .host(member.address().ip().to_string())
        .port(member.address().port())
        .user(*user)
        .password(password)
        .dbname("load")
        .application_name(origin);
    let start = Instant::now();
    loop {
        match config.connect(NoTls).await {
            Ok((client, connection)) => {
                tokio::spawn(connection);
                return Ok(client);
            }
            Err(cause) if is_full(&cause) && start.elapsed() < FULL_PATIENCE => {
                tokio::time::sleep(FULL_PAUSE).await;
            }
            Err(cause) => return Err(cause),
        }
    }
}

fn is_full(cause: &tokio_postgres::Error) -> bool {
    cause.code() == Some(&SqlState::TOO_MANY_CONNECTIONS)
}
