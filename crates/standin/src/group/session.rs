//! One connection's statements on a member.

use std::fmt::Debug;
use std::sync::Arc;
use std::time::{Duration, Instant};

use filbertbay_protocol::endpoint;
use filbertbay_state::position::Term;
use pgwire::api::portal::Format;
use pgwire::api::results::{Response, Tag};
use pgwire::error::{ErrorInfo, PgWireResult};
use pgwire::messages::response::TransactionStatus;
use rusqlite::types::Value;
use tokio::sync::{Mutex, OwnedMutexGuard, OwnedSemaphorePermit};

use super::answer;
use super::member::Member;
use super::row::{self, error, sqlite_error};
use super::sql::{self, Kind, Pause};
use super::store;

/// Connection's own state on a member.
#[derive(Debug)]
pub(crate) struct Session {
    id: u64,
    pub(crate) member: Arc<Member>,
    pub(crate) transaction: Mutex<Option<Transaction>>,
}

#[derive(Debug, Default)]
pub(crate) struct Transaction {
    read_only: bool,
    failed: bool,
    /// Made by a query of several statements, and ended with it.
    implicit: bool,
    pub(crate) write: Option<Write>,
}

/// Open write transaction, which holds the member's writer lock.
#[derive(Debug)]
pub(crate) struct Write {
    guard: OwnedMutexGuard<()>,
    statements: Vec<store::Statement>,
}

impl Drop for Session {
    fn drop(&mut self) {
        let transaction = self.transaction.get_mut().take();
        self.roll_back(transaction);
        self.member.release_locks(self.id);
    }
}

impl Session {
    pub(crate) fn new(id: u64, member: Arc<Member>) -> Self {
        Self {
            id,
            member,
            transaction: Mutex::new(None),
        }
    }

    pub(crate) async fn run(
        &self,
        open: &mut Option<Transaction>,
        statement: &sql::Statement,
        values: Vec<Value>,
        format: &Format,
    ) -> PgWireResult<Response> {
        match &statement.kind {
            Kind::Begin { read_only } => {
                let transaction = open.get_or_insert_default();
                transaction.implicit = false;
                transaction.read_only |= read_only;
                return Ok(Response::TransactionStart(Tag::new("BEGIN")));
            }
            Kind::Commit => return self.commit(open),
            Kind::Rollback => {
                self.roll_back(open.take());
                return Ok(Response::TransactionEnd(Tag::new("ROLLBACK")));
            }
            _ => {}
        }
        if open.as_ref().is_some_and(|transaction| transaction.failed) {
            return Err(error(
                "25P02",
                "current transaction is aborted, commands ignored until end of transaction block",
            ));
        }
        let result = self.run_inside(open, statement, values, format).await;
        if let (Err(_), Some(transaction)) = (&result, open) {
            transaction.failed = true;
        }
        result
    }

    async fn run_inside(
        &self,
        open: &mut Option<Transaction>,
        statement: &sql::Statement,
        values: Vec<Value>,
        format: &Format,
    ) -> PgWireResult<Response> {
        match &statement.kind {
            Kind::Setting => {
                if statement.verb == "DISCARD" {
                    self.member.release_locks(self.id);
                }
                Ok(Response::Execution(answer::setting_tag(&statement.verb)))
            }
            Kind::Show(name) => answer::show(name, format),
            Kind::Control(name, arguments) => {
                let arguments = bind(arguments, &values);
                self.control(name, &arguments, format)
            }
            Kind::Unsupported => {
                let message = format!("{} is not offered by the stand-in", statement.verb);
                Err(error("0A000", message))
            }
            _ if self.reads(open.as_ref(), statement)? => {
                self.read(open.as_ref(), statement, &values, format).await
            }
            _ => self.write(open, statement, values, format).await,
        }
    }

    fn reads(&self, open: Option<&Transaction>, statement: &sql::Statement) -> PgWireResult<bool> {
        let store = self.member.store().lock();
        let writing = open.is_some_and(|transaction| transaction.write.is_some());
        let database = if writing { store.head() } else { store.view() };
        Ok(row::prepare(database, statement)?.readonly())
    }

    async fn read(
        &self,
        open: Option<&Transaction>,
        statement: &sql::Statement,
        values: &[Value],
        format: &Format,
    ) -> PgWireResult<Response> {
        let _slot = self.slot(statement, values).await;
        let store = self.member.store().lock();
        let write = open.and_then(|transaction| transaction.write.as_ref());
        let database = match write {
            Some(write) => self.head(&store, write)?,
            None => store.view(),
        };
        let rows = row::run(database, statement, values, format)?;
        let role = store.role();
        drop(store);
        self.member.count_read(role);
        Ok(answer::answer(statement, rows))
    }

    async fn write(
        &self,
        open: &mut Option<Transaction>,
        statement: &sql::Statement,
        values: Vec<Value>,
        format: &Format,
    ) -> PgWireResult<Response> {
        let read_only = open.as_ref().is_some_and(|open| open.read_only);
        if read_only || !self.member.store().lock().takes_writes() {
            return Err(answer::read_only_error(&statement.verb));
        }
        if let Some(transaction) = open {
            return self
                .write_inside(transaction, statement, values, format)
                .await;
        }
        // A cancellation drops the transaction before its first change, so nothing is left behind.
        let mut alone = Transaction::default();
        match self
            .write_inside(&mut alone, statement, values, format)
            .await
        {
            Ok(response) => self.commit(&mut Some(alone)).map(|_| response),
            Err(cause) => {
                self.roll_back(Some(alone));
                Err(cause)
            }
        }
    }

    async fn write_inside(
        &self,
        transaction: &mut Transaction,
        statement: &sql::Statement,
        values: Vec<Value>,
        format: &Format,
    ) -> PgWireResult<Response> {
        if transaction.write.is_none() {
            let writer = Arc::clone(self.member.store().lock().writer());
            transaction.write = Some(Write {
                guard: writer.lock_owned().await,
                statements: Vec::new(),
            });
        }
        let _slot = self.slot(statement, &values).await;
        let store = self.member.store().lock();
        let Some(write) = transaction.write.as_mut() else {
            return Err(error("XX000", "the write transaction is gone"));
        };
        if !store.takes_writes() {
            return Err(answer::read_only_error(&statement.verb));
        }
        let head = self.head(&store, write)?;
        if head.is_autocommit() {
            let begun = head.execute_batch("BEGIN");
            begun.map_err(|cause| sqlite_error(&cause))?;
        }
        let rows = row::run(head, statement, &values, format)?;
        let sql = Arc::clone(&statement.sql);
        write.statements.push(store::Statement { sql, values });
        drop(store);
        Ok(answer::answer(statement, rows))
    }

    /// Returns the database of an open write transaction, unless a fence or an order took it away.
    fn head<'a>(
        &self,
        store: &'a store::Store,
        write: &Write,
    ) -> PgWireResult<&'a rusqlite::Connection> {
        let writer = OwnedMutexGuard::mutex(&write.guard);
        if Arc::ptr_eq(writer, store.writer()) {
            Ok(store.head())
        } else {
            let message = format!("{} lost the lead; not committed", self.member.name());
            Err(error("25006", message))
        }
    }

    fn commit(&self, open: &mut Option<Transaction>) -> PgWireResult<Response> {
        let Some(transaction) = open.take() else {
            return Ok(Response::TransactionEnd(Tag::new("COMMIT")));
        };
        if transaction.failed {
            self.roll_back(Some(transaction));
            return Ok(Response::TransactionEnd(Tag::new("ROLLBACK")));
        }
        if let Some(write) = transaction.write {
            let mut store = self.member.store().lock();
            self.head(&store, &write)?;
            let committed = store.commit(write.statements);
            committed.map_err(|cause| sqlite_error(&cause))?;
            drop(store);
            self.member.announce();
        }
        Ok(Response::TransactionEnd(Tag::new("COMMIT")))
    }

    fn roll_back(&self, transaction: Option<Transaction>) {
        let Some(write) = transaction.and_then(|transaction| transaction.write) else {
            return;
        };
        let store = self.member.store().lock();
        if let Ok(head) = self.head(&store, &write)
            && !head.is_autocommit()
        {
            // A rollback of an in-memory database has nothing that could fail.
            let _ = head.execute_batch("ROLLBACK");
        }
    }

    /// Waits for a slot, then for the pause that the statement asks for.
    async fn slot(&self, statement: &sql::Statement, values: &[Value]) -> OwnedSemaphorePermit {
        let slot = self.member.slot().await;
        let seconds = match statement.pause {
            Some(Pause::Seconds(seconds)) => seconds,
            Some(Pause::Parameter(index)) => match values.get(index) {
                Some(Value::Real(seconds)) => *seconds,
                _ => 0.0,
            },
            None => 0.0,
        };
        let pause = Duration::try_from_secs_f64(seconds).unwrap_or_default();
        let pause = pause + self.member.slowness();
        if !pause.is_zero() {
            tokio::time::sleep(pause).await;
        }
        slot
    }

    /// Runs a function of the group or of advisory locks, which takes no slot.
    fn control(&self, name: &str, arguments: &[String], format: &Format) -> PgWireResult<Response> {
        let number = |index: usize| -> PgWireResult<u64> {
            let text = arguments.get(index);
            let number = text.and_then(|text| text.parse().ok());
            number.ok_or_else(|| error("22023", format!("{name} takes a number")))
        };
        let order = match name {
            "group_status" => Ok(()),
            "group_fence" => self.member.fence(Term(number(0)?)),
            "group_promote" => self.member.promote(Term(number(0)?)),
            "group_follow" => {
                let address = arguments.first().and_then(|text| text.parse().ok());
                let address = address.ok_or_else(|| error("22023", "address is not IP:port"))?;
                self.member.follow(address, Term(number(1)?))
            }
            "pg_try_advisory_lock" => {
                return answer::lock_row(name, self.try_lock(number(0)?), format);
            }
            "pg_advisory_unlock" => {
                let held = self.member.unlock(number(0)?, self.id);
                return answer::lock_row(name, held, format);
            }
            _ => return Err(error("42883", format!("function {name} does not exist"))),
        };
        order.map_err(|refusal| error(endpoint::ORDER_REFUSED_SQLSTATE, refusal.to_string()))?;
        answer::status_row(&self.member.status(Instant::now()), format)
    }

    fn try_lock(&self, number: u64) -> bool {
        self.member.try_lock(number, self.id)
    }

    /// Ends what a cancelled query left, and notes a failure that the protocol layer met.
    pub(crate) async fn settle(&self, status: TransactionStatus) {
        let mut open = self.transaction.lock().await;
        if status == TransactionStatus::Idle {
            self.roll_back(open.take());
        } else if let Some(open) = open.as_mut() {
            open.failed = true;
        }
    }

    /// Runs the statements of one simple query, as one transaction unless they say otherwise.
    pub(crate) async fn run_all(
        &self,
        open: &mut Option<Transaction>,
        statements: &[sql::Statement],
    ) -> Vec<Response> {
        let mut responses = Vec::with_capacity(statements.len());
        if statements.len() > 1 && open.is_none() {
            *open = Some(Transaction {
                implicit: true,
                ..Transaction::default()
            });
        }
        for statement in statements {
            let run = self.run(open, statement, Vec::new(), &Format::UnifiedText);
            match run.await {
                Ok(response) => responses.push(response),
                Err(cause) => {
                    responses.push(Response::Error(Box::new(ErrorInfo::from(cause))));
                    break;
                }
            }
        }
        if open.as_ref().is_some_and(|open| open.implicit) {
            let failed = open.as_ref().is_some_and(|open| open.failed);
            if let (Err(cause), false) = (self.commit(open), failed) {
                responses.push(Response::Error(Box::new(ErrorInfo::from(cause))));
            }
        }
        responses
    }
}

/// Puts bound values in the place of placeholders.
fn bind(arguments: &[String], values: &[Value]) -> Vec<String> {
    let bound = |argument: &String| match sql::placeholder(argument).and_then(|at| values.get(at)) {
        Some(Value::Integer(number)) => number.to_string(),
        Some(Value::Text(text)) => text.clone(),
        _ => argument.clone(),
    };
    arguments.iter().map(bound).collect()
}
