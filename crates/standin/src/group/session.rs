//! One connection's statements on a member.

use std::fmt::Debug;
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_trait::async_trait;
use filbertbay_protocol::endpoint;
use filbertbay_state::position::Term;
use futures::{Sink, stream};
use pgwire::api::portal::{Format, Portal};
use pgwire::api::query::{ExtendedQueryHandler, SimpleQueryHandler};
use pgwire::api::results::{
    DataRowEncoder, DescribePortalResponse, DescribeStatementResponse, FieldInfo, QueryResponse,
    Response, Tag,
};
use pgwire::api::stmt::{QueryParser, StoredStatement};
use pgwire::api::store::PortalStore;
use pgwire::api::{ClientInfo, ClientPortalStore, Type};
use pgwire::error::{ErrorInfo, PgWireError, PgWireResult};
use pgwire::messages::PgWireBackendMessage;
use pgwire::messages::response::TransactionStatus;
use rusqlite::types::Value;
use tokio::sync::{Mutex, OwnedMutexGuard, OwnedSemaphorePermit};

use super::member::Member;
use super::row::{self, Rows, error, sqlite_error};
use super::sql::{self, Kind, Pause};
use super::store;

/// Connection's own state on a member.
#[derive(Debug)]
pub(crate) struct Session {
    id: u64,
    member: Arc<Member>,
    transaction: Mutex<Option<Transaction>>,
}

/// Statement as the extended protocol keeps it.
#[derive(Clone, Debug)]
pub(crate) struct Prepared {
    statement: sql::Statement,
    types: Vec<Type>,
}

#[derive(Debug, Default)]
struct Transaction {
    read_only: bool,
    failed: bool,
    /// Made by a query of several statements, and ended with it.
    implicit: bool,
    write: Option<Write>,
}

/// Open write transaction, which holds the member's writer lock.
#[derive(Debug)]
struct Write {
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

    async fn run(
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
                Ok(Response::Execution(setting_tag(&statement.verb)))
            }
            Kind::Show(name) => show(name, format),
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
        drop(store);
        Ok(answer(statement, rows))
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
            return Err(read_only_error(&statement.verb));
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
            return Err(read_only_error(&statement.verb));
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
        Ok(answer(statement, rows))
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
                return lock_row(name, self.try_lock(number(0)?), format);
            }
            "pg_advisory_unlock" => {
                let held = self.member.unlock(number(0)?, self.id);
                return lock_row(name, held, format);
            }
            _ => return Err(error("42883", format!("function {name} does not exist"))),
        };
        order.map_err(|refusal| error(endpoint::ORDER_REFUSED, refusal.to_string()))?;
        self.status_row(format)
    }

    fn try_lock(&self, number: u64) -> bool {
        self.member.try_lock(number, self.id)
    }

    fn status_row(&self, format: &Format) -> PgWireResult<Response> {
        let status = self.member.status(Instant::now());
        one_row(control_schema("group_status", format), |encoder| {
            encoder.encode_field(&status.received.term.0.cast_signed())?;
            encoder.encode_field(&status.received.index.cast_signed())?;
            encoder.encode_field(&status.applied.term.0.cast_signed())?;
            encoder.encode_field(&status.applied.index.cast_signed())?;
            encoder.encode_field(&status.fenced.0.cast_signed())?;
            encoder.encode_field(&status.role.to_string())?;
            let heard = status.heard.map(|heard| heard.as_millis() as i64);
            encoder.encode_field(&heard)
        })
    }

    async fn schema(&self, target: &Prepared, format: &Format) -> PgWireResult<Vec<FieldInfo>> {
        match &target.statement.kind {
            Kind::Control(name, _) => Ok(control_schema(name, format)),
            Kind::Show(name) => Ok(vec![show_field(name, format)]),
            Kind::Plain => {
                let open = self.transaction.lock().await;
                let writing = open.as_ref().is_some_and(|open| open.write.is_some());
                let store = self.member.store().lock();
                let database = if writing { store.head() } else { store.view() };
                row::schema(database, &target.statement, format)
            }
            _ => Ok(Vec::new()),
        }
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

    /// Makes a failed COMMIT report no transaction.
    fn close_failed<C>(
        client: &mut C,
        open: Option<&Transaction>,
        mut responses: Vec<Response>,
    ) -> PgWireResult<Vec<Response>>
    where
        C: ClientInfo,
    {
        let began = |response: &Response| matches!(response, Response::TransactionStart(_));
        let reported = client.transaction_status() != TransactionStatus::Idle;
        if open.is_some() || !(reported || responses.iter().any(began)) {
            return Ok(responses);
        }
        match responses.pop() {
            Some(Response::Error(info)) => {
                client.set_transaction_status(TransactionStatus::Idle);
                Err(PgWireError::UserError(info))
            }
            last => {
                responses.extend(last);
                Ok(responses)
            }
        }
    }

    /// Runs the statements of one simple query, as one transaction unless they say otherwise.
    async fn run_all(
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

#[async_trait]
impl SimpleQueryHandler for Session {
    async fn do_query<C>(&self, client: &mut C, query: &str) -> PgWireResult<Vec<Response>>
    where
        C: ClientInfo + ClientPortalStore + Sink<PgWireBackendMessage> + Unpin + Send + Sync,
        C::PortalStore: PortalStore,
        C::Error: Debug,
        PgWireError: From<<C as Sink<PgWireBackendMessage>>::Error>,
    {
        let mut open = self.transaction.lock().await;
        let statements = sql::parse(query).map_err(|message| error("42601", message))?;
        if statements.is_empty() {
            return Ok(vec![Response::EmptyQuery]);
        }
        let responses = self.run_all(&mut open, &statements).await;
        Self::close_failed(client, open.as_ref(), responses)
    }
}

#[async_trait]
impl ExtendedQueryHandler for Session {
    type Statement = Arc<Prepared>;
    type QueryParser = Parser;

    fn query_parser(&self) -> Arc<Parser> {
        Arc::new(Parser {
            member: Arc::clone(&self.member),
        })
    }

    async fn do_query<C>(
        &self,
        client: &mut C,
        portal: &Portal<Self::Statement>,
        _max_rows: usize,
    ) -> PgWireResult<Response>
    where
        C: ClientInfo + ClientPortalStore + Sink<PgWireBackendMessage> + Unpin + Send + Sync,
        C::PortalStore: PortalStore<Statement = Self::Statement>,
        C::Error: Debug,
        PgWireError: From<<C as Sink<PgWireBackendMessage>>::Error>,
    {
        let mut open = self.transaction.lock().await;
        let prepared = &portal.statement.statement;
        let values = row::values(portal, &prepared.types)?;
        let format = &portal.result_column_format;
        let result = self
            .run(&mut open, &prepared.statement, values, format)
            .await;
        if result.is_err() && open.is_none() {
            client.set_transaction_status(TransactionStatus::Idle);
        }
        result
    }

    async fn do_describe_statement<C>(
        &self,
        _client: &mut C,
        target: &StoredStatement<Self::Statement>,
    ) -> PgWireResult<DescribeStatementResponse>
    where
        C: ClientInfo + ClientPortalStore + Sink<PgWireBackendMessage> + Unpin + Send + Sync,
        C::PortalStore: PortalStore<Statement = Self::Statement>,
        C::Error: Debug,
        PgWireError: From<<C as Sink<PgWireBackendMessage>>::Error>,
    {
        let prepared = &target.statement;
        let given = |index: usize| target.parameter_types.get(index).cloned().flatten();
        let count = prepared.types.len().max(target.parameter_types.len());
        let types = (0..count).map(|index| {
            let given = given(index).filter(|found| *found != Type::UNKNOWN);
            let found = given.or_else(|| prepared.types.get(index).cloned());
            found.unwrap_or(Type::TEXT)
        });
        let fields = self.schema(prepared, &Format::UnifiedText).await?;
        Ok(DescribeStatementResponse::new(types.collect(), fields))
    }

    async fn do_describe_portal<C>(
        &self,
        _client: &mut C,
        target: &Portal<Self::Statement>,
    ) -> PgWireResult<DescribePortalResponse>
    where
        C: ClientInfo + ClientPortalStore + Sink<PgWireBackendMessage> + Unpin + Send + Sync,
        C::PortalStore: PortalStore<Statement = Self::Statement>,
        C::Error: Debug,
        PgWireError: From<<C as Sink<PgWireBackendMessage>>::Error>,
    {
        let format = &target.result_column_format;
        let fields = self.schema(&target.statement.statement, format).await?;
        Ok(DescribePortalResponse::new(fields))
    }
}

/// Parser of the extended protocol.
#[derive(Debug)]
pub(crate) struct Parser {
    member: Arc<Member>,
}

#[async_trait]
impl QueryParser for Parser {
    type Statement = Arc<Prepared>;

    async fn parse_sql<C>(
        &self,
        _client: &C,
        query: &str,
        _types: &[Option<Type>],
    ) -> PgWireResult<Option<Self::Statement>>
    where
        C: ClientInfo + Unpin + Send + Sync,
    {
        let mut statements = sql::parse(query).map_err(|message| error("42601", message))?;
        if statements.len() > 1 {
            let message = "cannot insert multiple commands into a prepared statement";
            return Err(error("42601", message));
        }
        Ok(statements.pop().map(|statement| {
            let store = self.member.store().lock();
            let types = row::parameter_types(store.head(), &statement);
            Arc::new(Prepared { statement, types })
        }))
    }

    fn get_parameter_types(&self, statement: &Self::Statement) -> PgWireResult<Vec<Type>> {
        Ok(statement.types.clone())
    }

    fn get_result_schema(
        &self,
        _statement: &Self::Statement,
        _format: Option<&Format>,
    ) -> PgWireResult<Vec<FieldInfo>> {
        Ok(Vec::new())
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

fn setting_tag(verb: &str) -> Tag {
    match verb {
        "DISCARD" => Tag::new("DISCARD ALL"),
        verb => Tag::new(verb),
    }
}

fn answer(statement: &sql::Statement, rows: Rows) -> Response {
    if rows.schema.is_empty() {
        return Response::Execution(tag(statement, rows.changed));
    }
    let data = stream::iter(rows.data.into_iter().map(Ok));
    let mut response = QueryResponse::new(rows.schema, data);
    match statement.verb.as_str() {
        "INSERT" => response.set_command_tag("INSERT 0"),
        verb @ ("UPDATE" | "DELETE") => response.set_command_tag(verb),
        _ => {}
    }
    Response::Query(response)
}

fn tag(statement: &sql::Statement, changed: usize) -> Tag {
    match statement.verb.as_str() {
        "INSERT" => Tag::new("INSERT").with_oid(0).with_rows(changed),
        verb @ ("UPDATE" | "DELETE") => Tag::new(verb).with_rows(changed),
        "TRUNCATE" => Tag::new("TRUNCATE TABLE"),
        "CREATE" | "DROP" | "ALTER" => {
            let words: Vec<&str> = statement.sql.split(' ').take(2).collect();
            Tag::new(&words.join(" ").to_ascii_uppercase())
        }
        verb => Tag::new(verb),
    }
}

fn read_only_error(verb: &str) -> PgWireError {
    let message = format!("cannot execute {verb} in a read-only transaction");
    error("25006", message)
}

fn lock_row(name: &str, value: bool, format: &Format) -> PgWireResult<Response> {
    one_row(control_schema(name, format), |encoder| {
        encoder.encode_field(&value)
    })
}

fn show_field(name: &str, format: &Format) -> FieldInfo {
    FieldInfo::new(
        name.to_owned(),
        None,
        None,
        Type::TEXT,
        format.format_for(0),
    )
}

fn show(name: &str, format: &Format) -> PgWireResult<Response> {
    let Some(value) = sql::setting(name) else {
        let message = format!("unrecognized configuration parameter \"{name}\"");
        return Err(error("42704", message));
    };
    one_row(vec![show_field(name, format)], |encoder| {
        encoder.encode_field(&value)
    })
}

/// Describes the answer of a function of the group or of advisory locks.
fn control_schema(name: &str, format: &Format) -> Vec<FieldInfo> {
    if name.starts_with("pg_") {
        let field = FieldInfo::new(
            name.to_owned(),
            None,
            None,
            Type::BOOL,
            format.format_for(0),
        );
        return vec![field];
    }
    let columns = endpoint::STATUS_COLUMNS.iter().enumerate();
    columns
        .map(|(index, column)| {
            let found = if *column == "role" {
                Type::TEXT
            } else {
                Type::INT8
            };
            FieldInfo::new(
                (*column).to_owned(),
                None,
                None,
                found,
                format.format_for(index),
            )
        })
        .collect()
}

fn one_row<F>(schema: Vec<FieldInfo>, fill: F) -> PgWireResult<Response>
where
    F: FnOnce(&mut DataRowEncoder) -> PgWireResult<()>,
{
    let schema = Arc::new(schema);
    let mut encoder = DataRowEncoder::new(Arc::clone(&schema));
    fill(&mut encoder)?;
    let row = encoder.take_row();
    let rows = stream::once(async move { Ok(row) });
    Ok(Response::Query(QueryResponse::new(schema, rows)))
}
