//! Log of a member and the two databases that follow from it.
//!
//! An entry holds the statements of one committed transaction. The `head` database has every entry
//! that the member received, and on a primary the open write transaction as well. The `view`
//! database has the entries that reads see. Reads of other sessions thus never meet an uncommitted
//! row, and a log that diverges is mended by building both databases again.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::{Duration, Instant};

use filbertbay_state::position::{Position, Term};
use filbertbay_state::status::{Role, Status};
use rusqlite::types::Value;
use rusqlite::{Connection, params_from_iter};
use tokio::sync::Mutex;

/// Statements that stay prepared in each database.
const CACHED_STATEMENTS: usize = 256;

/// Statement of a transaction with the values that were bound to it.
#[derive(Clone, Debug)]
pub(crate) struct Statement {
    pub(crate) sql: Arc<str>,
    pub(crate) values: Vec<Value>,
}

/// Committed write transaction; without statements it is the marker of a promotion.
#[derive(Debug)]
pub(crate) struct Entry {
    pub(crate) term: Term,
    pub(crate) statements: Vec<Statement>,
}

/// Order that was refused, as SQLSTATE 55000 reports it.
#[derive(Debug, thiserror::Error)]
#[error("{0}")]
pub(crate) struct Refusal(String);

impl Refusal {
    pub(crate) fn new(message: &str) -> Self {
        Self(message.to_owned())
    }
}

/// Everything that a member of a group holds.
#[derive(Debug)]
pub(crate) struct Store {
    log: Vec<Arc<Entry>>,
    /// Entries that were received and wait for the apply lag, with their due time.
    pending: VecDeque<Instant>,
    /// Term that this member leads, or that its primary leads.
    term: Term,
    fenced: Term,
    role: Role,
    upstream: Option<usize>,
    heard: Instant,
    /// Held by the open write transaction; replaced when that transaction is lost.
    writer: Arc<Mutex<()>>,
    lag: Duration,
    head: Connection,
    view: Connection,
}

impl Store {
    pub(crate) fn open(now: Instant) -> rusqlite::Result<Self> {
        Ok(Self {
            log: Vec::new(),
            pending: VecDeque::new(),
            term: Term::default(),
            fenced: Term::default(),
            role: Role::Replica,
            upstream: None,
            heard: now,
            writer: Arc::default(),
            lag: Duration::ZERO,
            head: open_database()?,
            view: open_database()?,
        })
    }

    pub(crate) fn status(&self, now: Instant) -> Status {
        let replica = self.role == Role::Replica;
        Status {
            received: self.position(self.log.len()),
            applied: self.position(self.log.len() - self.pending.len()),
            fenced_term: self.fenced,
            role: self.role,
            primary_contact_age: replica.then(|| now.saturating_duration_since(self.heard)),
        }
    }

    fn position(&self, entries: usize) -> Position {
        let last = entries.checked_sub(1).map(|index| self.log[index].term);
        Position::new(last.unwrap_or_default(), entries as u64)
    }

    pub(crate) fn set_lag(&mut self, lag: Duration) {
        self.lag = lag;
    }

    /// Takes a fence if its term is above all terms that the member knows.
    pub(crate) fn fence(&mut self, term: Term) -> Result<(), Refusal> {
        if term <= self.fenced || term <= self.own_term() {
            return Err(Refusal(format!(
                "fence {term} is not above {}",
                self.fenced
            )));
        }
        self.fenced = term;
        self.lose_transaction();
        Ok(())
    }

    /// Becomes the primary of a term and writes its marker.
    pub(crate) fn promote(&mut self, term: Term) -> Result<(), Refusal> {
        if term <= self.own_term() || term < self.fenced {
            return Err(Refusal(format!(
                "promotion {term} is not above {} or below the fence {}",
                self.own_term(),
                self.fenced
            )));
        }
        self.lose_transaction();
        self.apply(self.pending.len());
        self.term = term;
        self.fenced = term;
        self.role = Role::Primary;
        self.upstream = None;
        let statements = Vec::new();
        self.log.push(Arc::new(Entry { term, statements }));
        Ok(())
    }

    /// Follows the primary of a term, which is the member with the given index.
    pub(crate) fn follow(&mut self, upstream: usize, term: Term) -> Result<(), Refusal> {
        let leads = self.role == Role::Primary && term <= self.term;
        if term < self.fenced || leads {
            return Err(Refusal(format!(
                "term {term} is below the fence {} or led by this member",
                self.fenced
            )));
        }
        self.lose_transaction();
        self.fenced = term;
        self.role = Role::Replica;
        self.upstream = Some(upstream);
        Ok(())
    }

    fn own_term(&self) -> Term {
        self.term.max(self.position(self.log.len()).term)
    }

    fn lose_transaction(&mut self) {
        self.writer = Arc::default();
        if !self.head.is_autocommit() {
            run(&self.head, "ROLLBACK");
        }
    }

    pub(crate) fn role(&self) -> Role {
        self.role
    }

    pub(crate) fn upstream(&self) -> Option<usize> {
        self.upstream
    }

    pub(crate) fn writer(&self) -> &Arc<Mutex<()>> {
        &self.writer
    }

    pub(crate) fn head(&self) -> &Connection {
        &self.head
    }

    pub(crate) fn view(&self) -> &Connection {
        &self.view
    }

    /// Tells whether the member takes writes: it leads, and no fence is above its term.
    pub(crate) fn takes_writes(&self) -> bool {
        self.role == Role::Primary && self.fenced <= self.term
    }

    /// Commits the open transaction of `head` as one entry of the log.
    pub(crate) fn commit(&mut self, statements: Vec<Statement>) -> rusqlite::Result<()> {
        self.head.execute_batch("COMMIT")?;
        if statements.is_empty() {
            return Ok(());
        }
        let term = self.term;
        self.log.push(Arc::new(Entry { term, statements }));
        replay(&self.view, &self.log[self.log.len() - 1]);
        Ok(())
    }

    /// Returns what a replica with the given log lacks: where its log ends to agree, and the rest.
    pub(crate) fn missing(&self, theirs: &[(u64, Term)]) -> Option<Batch> {
        if self.role != Role::Primary {
            return None;
        }
        let agrees = |&&(index, term): &&(u64, Term)| {
            index <= self.log.len() as u64 && self.position(index as usize).term == term
        };
        let from = theirs.iter().rev().find(agrees).map_or(0, |point| point.0);
        Some(Batch {
            term: self.term,
            from,
            entries: self.log[from as usize..].to_vec(),
        })
    }

    /// Returns the end of each term in the log, oldest first.
    pub(crate) fn term_ends(&self) -> Vec<(u64, Term)> {
        let mut ends = vec![(0, Term::default())];
        let mut start = 0;
        while start < self.log.len() {
            let term = self.log[start].term;
            start += self.log[start..].partition_point(|entry| entry.term <= term);
            ends.push((start as u64, term));
        }
        ends
    }

    /// Takes what the primary sent at `sent`, unless a fence forbids it.
    pub(crate) fn receive(&mut self, batch: Batch, sent: Instant, now: Instant) {
        if self.role == Role::Primary || batch.term < self.fenced {
            return;
        }
        self.term = batch.term;
        self.heard = sent;
        let from = batch.from as usize;
        let agreed = from + self.agreement(from, &batch.entries);
        if agreed < self.log.len() {
            self.truncate(agreed);
        }
        let known = self.log.len() - from;
        for entry in batch.entries.into_iter().skip(known) {
            replay(&self.head, &entry);
            self.log.push(entry);
            self.pending.push_back(now + self.lag);
        }
        self.apply_due(now);
    }

    /// Returns how many of these entries the log already has after `from`.
    fn agreement(&self, from: usize, entries: &[Arc<Entry>]) -> usize {
        let pairs = self.log[from..].iter().zip(entries);
        pairs.take_while(|(a, b)| Arc::ptr_eq(a, b)).count()
    }

    /// Drops the entries after the first `length` and builds both databases again.
    fn truncate(&mut self, length: usize) {
        let applied = (self.log.len() - self.pending.len()).min(length);
        self.log.truncate(length);
        self.pending.truncate(length - applied);
        self.lose_transaction();
        self.head = open_database().expect("an in-memory database opens");
        self.view = open_database().expect("an in-memory database opens");
        for (index, entry) in self.log.iter().enumerate() {
            replay(&self.head, entry);
            if index < applied {
                replay(&self.view, entry);
            }
        }
    }

    /// Makes visible what has waited out the apply lag.
    pub(crate) fn apply_due(&mut self, now: Instant) {
        let due = self.pending.iter().take_while(|due| **due <= now).count();
        self.apply(due);
    }

    fn apply(&mut self, count: usize) {
        let applied = self.log.len() - self.pending.len();
        for entry in &self.log[applied..applied + count] {
            replay(&self.view, entry);
        }
        self.pending.drain(..count);
    }
}

/// Entries on their way from a primary to a replica.
#[derive(Debug)]
pub(crate) struct Batch {
    term: Term,
    from: u64,
    entries: Vec<Arc<Entry>>,
}

fn open_database() -> rusqlite::Result<Connection> {
    let database = Connection::open_in_memory()?;
    database.set_prepared_statement_cache_capacity(CACHED_STATEMENTS);
    super::function::register(&database)?;
    Ok(database)
}

fn replay(database: &Connection, entry: &Entry) {
    for statement in &entry.statements {
        let result = database
            .prepare_cached(&statement.sql)
            .and_then(|mut prepared| {
                let mut rows = prepared.query(params_from_iter(&statement.values))?;
                while rows.next()?.is_some() {}
                Ok(())
            });
        result.expect("a committed statement runs on every copy");
    }
}

fn run(database: &Connection, sql: &str) {
    database.execute_batch(sql).expect("a rollback succeeds");
}
