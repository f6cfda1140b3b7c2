//! Serves the session of one caller, independent of the caller's protocol.
//!
//! The instance itself answers everything that needs no endpoint: `BEGIN`, session values and the
//! names of prepared statements. A transaction is pinned to an endpoint connection only by its
//! first statement, so that another endpoint can be tried if that statement does not run.

mod attempt;
mod shutdown;
mod transaction;

use std::collections::BTreeMap;
use std::io::ErrorKind;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use filbertbay_state::position::Position;
use futures::FutureExt;
use slog::{Logger, debug, info};

use self::attempt::{EndpointReply, PendingStatement};
use self::shutdown::UnansweredStatement;
use self::transaction::Transaction;
use crate::caller::{
    Answer, Caller, Code, Command, Refusal, StartupRequest, Statement, TransactionState,
};
use crate::catalog::{Catalog, Route, Workspace};
use crate::endpoint::Access;
use crate::instance::Instance;
use crate::memory::{Charge, Input, answer_charge};

/// A statement that no endpoint has received waits at most the route's latency objective divided by
/// this.
const QUEUE_WAIT_DIVISOR: u32 = 4;

/// Fraction of a route's timeout for which a statement waits for a change of primary to end, or for
/// a starting instance to learn the primary.
const PRIMARY_CHANGE_WAIT_FRACTION: f64 = 0.8;

/// An operation waits for rate tokens at most the route's latency objective divided by this.
/// Shorter than the wait that [`QUEUE_WAIT_DIVISOR`] allows, which starts at the same time.
const RATE_WAIT_DIVISOR: u32 = 5;

/// Fraction of a route's timeout for which an operation waits for the rate of a starting instance;
/// the rest of the timeout is left for the endpoint.
const STARTUP_RATE_WAIT_FRACTION: f64 = 0.5;

/// Longest wait for rate tokens that other instances may lend. Two round trips between the users'
/// regions take up to 80 ms.
const MAX_RATE_WAIT: Duration = Duration::from_millis(100);

/// Longest wait for the startup request of a caller, and for the delivery of a refusal.
const STARTUP_TIMEOUT: Duration = Duration::from_secs(10);

/// Longest wait for the first configuration. Callers give up on a session after 2 s.
const CATALOG_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Longest wait for the delivery of the refusal of a message for which there is no memory.
const REFUSAL_TIMEOUT: Duration = Duration::from_secs(1);

/// Text of the refusal for which there is no memory.
const NO_MEMORY: &str = "no memory for a large message, retry after 500 ms";

/// Session values that one session may keep, and prepared statements likewise.
const MAX_SESSION_ITEMS: usize = 256;

/// Session of one caller, with the state that outlives a single statement.
pub struct Session {
    instance: Rc<Instance>,
    caller: Box<dyn Caller>,
    input: Rc<Input>,
    /// Charge of the session values and prepared statements.
    kept: Charge,
    startup: StartupRequest,
    route: Arc<Route>,
    workspace: Arc<Workspace>,
    catalog: Rc<Catalog>,
    values: BTreeMap<Arc<str>, Arc<str>>,
    prepared: BTreeMap<Arc<str>, (Access, Arc<str>)>,
    min_positions: BTreeMap<Arc<str>, Position>,
    transaction: Transaction,
    log: Logger,
}

impl std::fmt::Debug for Session {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Session").finish_non_exhaustive()
    }
}

/// Why a session ends.
enum EndReason {
    /// The caller disconnected, or the instance closed the session.
    Closed,
    /// The connection to the caller failed.
    Failed(std::io::Error),
}

impl From<std::io::Error> for EndReason {
    fn from(error: std::io::Error) -> Self {
        Self::Failed(error)
    }
}

/// Serves one caller until either side closes the session.
pub async fn serve(instance: Rc<Instance>, mut caller: Box<dyn Caller>, input: Rc<Input>) {
    metrics::gauge!("filbertbay_sessions").increment(1.0);
    match open(&instance, caller.as_mut()).await {
        Ok(Ok((startup, catalog, route, workspace))) => {
            let log = instance
                .log
                .new(slog::o!("workspace" => workspace.name.to_string()));
            let kept = instance.drivers.memory.charge();
            let mut session = Session {
                instance,
                caller,
                input,
                kept,
                startup,
                route,
                workspace,
                catalog,
                values: BTreeMap::new(),
                prepared: BTreeMap::new(),
                min_positions: BTreeMap::new(),
                transaction: Transaction::None,
                log,
            };
            let end = session.run().await;
            if let Err(EndReason::Failed(error)) = end {
                session.report_failure(&error).await;
            }
            session.close();
        }
        Ok(Err(refusal)) => {
            info!(instance.log, "session refused"; "code" => %refusal.code, "reason" => &*refusal.text);
            let closing = caller.finish_startup(Err(refusal));
            if let Ok(Err(error)) = tokio::time::timeout(STARTUP_TIMEOUT, closing).await {
                debug!(instance.log, "refusal not delivered"; "error" => %error);
            }
        }
        Err(error) => debug!(instance.log, "session not begun"; "error" => %error),
    }
    metrics::gauge!("filbertbay_sessions").decrement(1.0);
}

type Opened = (StartupRequest, Rc<Catalog>, Arc<Route>, Arc<Workspace>);

async fn open(
    instance: &Rc<Instance>,
    caller: &mut dyn Caller,
) -> std::io::Result<Result<Opened, Refusal>> {
    let startup = tokio::time::timeout(STARTUP_TIMEOUT, caller.receive_startup()).await??;
    let startup = match startup {
        Ok(startup) => startup,
        Err(refusal) => return Ok(Err(refusal)),
    };
    let Some(catalog) = first_catalog(instance).await else {
        let refusal = Refusal::new(Code::Busy, "no configuration yet, retry after 500 ms");
        return Ok(Err(refusal));
    };
    match look_up(&catalog, &startup) {
        Ok((route, workspace)) => {
            caller.finish_startup(Ok(())).await?;
            Ok(Ok((startup, catalog, route, workspace)))
        }
        Err(refusal) => Ok(Err(refusal)),
    }
}

/// Returns the configuration; a starting instance waits up to [`CATALOG_TIMEOUT`] for the first.
async fn first_catalog(instance: &Rc<Instance>) -> Option<Rc<Catalog>> {
    let mut changed = instance.view_changed.subscribe();
    let waiting = changed.wait_for(|_| instance.catalog().is_some());
    // A timeout needs no handling: `catalog` returns `None` then.
    let _ = tokio::time::timeout(CATALOG_TIMEOUT, waiting).await;
    instance.catalog()
}

fn look_up(
    catalog: &Catalog,
    startup: &StartupRequest,
) -> Result<(Arc<Route>, Arc<Workspace>), Refusal> {
    let route = catalog.routes.get(&startup.database).ok_or_else(|| {
        let text = format!(
            "database {:?} is not in version {}",
            startup.database, catalog.version
        );
        Refusal::new(Code::NoDatabase, text)
    })?;
    let workspace = catalog.keys.get(&startup.key).cloned();
    let workspace = workspace.or_else(|| route.allows_anonymous.then(Workspace::anonymous));
    let workspace = workspace.ok_or_else(|| {
        let text = format!("the key is not in version {}", catalog.version);
        Refusal::new(Code::Unauthorized, text)
    })?;
    Ok((Arc::clone(route), workspace))
}

impl Session {
    async fn run(&mut self) -> Result<(), EndReason> {
        loop {
            let Some(statement) = self.next().await? else {
                return Err(EndReason::Closed);
            };
            let arrived = self.instance.now();
            let unanswered = UnansweredStatement::new(&self.instance);
            // On the heap, so that the tasks of idle sessions stay small.
            let handled = Box::pin(self.handle_before_exit(&statement, arrived));
            let (answer, stays_open) = handled.await;
            self.report(&statement, arrived, &answer);
            let limit = self.instance.settings().caller_timeout();
            let answered = tokio::time::timeout(limit, self.caller.answer(&answer)).await;
            answered.map_err(|_| std::io::Error::from(std::io::ErrorKind::TimedOut))??;
            drop(unanswered);
            if !stays_open || self.closes_after(&statement) {
                return Err(EndReason::Closed);
            }
        }
    }

    /// Waits for the next statement. Returns `None` if the caller disconnected or the session must
    /// be closed because the instance is draining.
    async fn next(&mut self) -> Result<Option<Statement>, EndReason> {
        let mut phase = self.instance.phase.subscribe();
        let mut changed = self.instance.view_changed.subscribe();
        let waiting_since = self.instance.now();
        loop {
            let now = self.instance.now();
            let close_at = self.close_at(waiting_since);
            if close_at.is_some_and(|at| now >= at) && !self.caller.has_input() {
                // A statement may have arrived that this task has not read yet.
                tokio::task::yield_now().await;
                if let Some(statement) = self.caller.next().now_or_never() {
                    return Ok(statement?);
                }
                self.abort_at_exit().await?;
                return Ok(None);
            }
            let idle_deadline = self
                .transaction
                .idle_deadline(self.catalog.idle_transaction_timeout);
            let limit = self.instance.settings().caller_timeout();
            let message_deadline = self.input.held_since().map(|since| since + limit);
            if message_deadline.is_some_and(|at| now >= at) {
                return Err(std::io::Error::from(std::io::ErrorKind::TimedOut).into());
            }
            let deadlines = [close_at, idle_deadline, message_deadline];
            let wake = deadlines.into_iter().flatten().min();
            let wait = wake.map(|at| at.saturating_duration_since(now));
            let watches_view = self.transaction.is_open();
            tokio::select! {
                statement = self.caller.next() => return Ok(statement?),
                _ = phase.changed() => {}
                () = self.input.wait_for_hold() => {}
                _ = changed.changed(), if watches_view => {}
                () = sleep_optional(wait), if wait.is_some() => {}
            }
            self.end_idle_transaction();
        }
    }

    /// Rolls back a transaction that has been idle for too long or whose primary is being replaced.
    fn end_idle_transaction(&mut self) {
        let now = self.instance.now();
        let limit = self.catalog.idle_transaction_timeout;
        let is_expired = self
            .transaction
            .idle_deadline(limit)
            .is_some_and(|end| now >= end);
        if is_expired {
            info!(self.log, "idle transaction ended"; "limit_ms" => limit.as_millis() as u64);
            self.fail_transaction();
        } else if self.transaction.is_primary_lost(&self.instance) {
            self.fail_transaction();
        }
    }

    /// Returns the answer to a statement, and whether the session stays open.
    async fn handle(&mut self, statement: &Statement, arrived: Instant) -> (Answer, bool) {
        if self.transaction.is_none()
            && let Err(refusal) = self.update_catalog()
        {
            return (Answer::refused(refusal, TransactionState::Idle), false);
        }
        if self.transaction.is_failed() {
            return (self.answer_failed(statement), true);
        }
        let answer = match &statement.command {
            Command::Begin { read_only } => self.begin(*read_only, arrived).await,
            Command::Commit => self.commit(statement, arrived).await,
            Command::Rollback => self.rollback(),
            Command::Read => {
                self.run_statement(statement, Access::Read, None, arrived)
                    .await
            }
            Command::Write => {
                self.run_statement(statement, Access::Write, None, arrived)
                    .await
            }
            Command::Set { name, value } => self.set(name, value),
            Command::Prepare {
                name,
                access,
                template,
            } => self.prepare(name, *access, template),
            Command::Execute { name, arguments } => {
                self.execute(statement, name, arguments, arrived).await
            }
            Command::Deallocate { name } => self.deallocate(name),
            Command::Unknown => self.refuse(Code::Malformed, "the statement is not known"),
        };
        (answer, true)
    }

    /// Logs and counts why a session failed, and sends the caller the reason if the instance ended it.
    async fn report_failure(&mut self, error: &std::io::Error) {
        let cause = match error.kind() {
            ErrorKind::OutOfMemory => "memory",
            ErrorKind::TimedOut => "slow",
            ErrorKind::InvalidData => "malformed",
            _ => {
                debug!(self.log, "session failed"; "error" => %error);
                return;
            }
        };
        metrics::counter!("filbertbay_callers_closed_total", "cause" => cause).increment(1);
        info!(self.log, "session closed by the instance"; "cause" => cause, "error" => %error,
            "charged_bytes" => self.instance.drivers.memory.used());
        if cause == "memory" {
            let refusal = Refusal::new(Code::Busy, NO_MEMORY);
            let sent = tokio::time::timeout(REFUSAL_TIMEOUT, self.caller.terminate(&refusal)).await;
            if let Ok(Err(error)) = sent {
                debug!(self.log, "refusal not delivered"; "error" => %error);
            }
        }
    }

    /// Switches to the newest configuration.
    ///
    /// Returns a refusal if the new configuration lacks the route or the key.
    fn update_catalog(&mut self) -> Result<(), Refusal> {
        let Some(catalog) = self.instance.catalog() else {
            return Ok(());
        };
        if Rc::ptr_eq(&catalog, &self.catalog) {
            return Ok(());
        }
        let (route, workspace) = look_up(&catalog, &self.startup)?;
        self.route = route;
        self.workspace = workspace;
        self.catalog = catalog;
        Ok(())
    }

    fn refuse<T>(&self, code: Code, text: T) -> Answer
    where
        T: Into<Arc<str>>,
    {
        Answer::refused(Refusal::new(code, text), self.transaction.state())
    }

    fn set(&mut self, name: &Arc<str>, value: &Arc<str>) -> Answer {
        if self.values.len() >= MAX_SESSION_ITEMS && !self.values.contains_key(name) {
            return self.refuse(Code::TooLarge, "the session has too many values");
        }
        if !self.has_room_for(name, value) {
            return self.refuse(Code::TooLarge, NO_MEMORY);
        }
        self.values.insert(Arc::clone(name), Arc::clone(value));
        Answer::local(self.transaction.state())
    }

    fn prepare(&mut self, name: &Arc<str>, access: Access, template: &Arc<str>) -> Answer {
        if self.prepared.len() >= MAX_SESSION_ITEMS && !self.prepared.contains_key(name) {
            return self.refuse(
                Code::TooLarge,
                "the session has too many prepared statements",
            );
        }
        if !self.has_room_for(name, template) {
            return self.refuse(Code::TooLarge, NO_MEMORY);
        }
        let statement = (access, Arc::clone(template));
        self.prepared.insert(Arc::clone(name), statement);
        Answer::local(self.transaction.state())
    }

    /// Charges the session's values and prepared statements with one more, and returns whether the
    /// budget had room. One that is replaced or removed stays charged until the next.
    fn has_room_for(&mut self, name: &str, text: &str) -> bool {
        let values = self.values.iter();
        let values = values.map(|(name, value)| name.len() + value.len());
        let prepared = self.prepared.iter();
        let prepared = prepared.map(|(name, (_, template))| name.len() + template.len());
        let kept: usize = values.chain(prepared).sum();
        let bytes = kept + name.len() + text.len();
        self.kept.try_resize(answer_charge(bytes))
    }

    fn deallocate(&mut self, name: &Arc<str>) -> Answer {
        if self.prepared.remove(name).is_none() {
            let text = format!("prepared statement {name:?} does not exist");
            return self.refuse(Code::NoStatement, text);
        }
        Answer::local(self.transaction.state())
    }

    async fn execute(
        &mut self,
        statement: &Statement,
        name: &Arc<str>,
        arguments: &Arc<str>,
        arrived: Instant,
    ) -> Answer {
        let Some((access, template)) = self.prepared.get(name).cloned() else {
            let text = format!("prepared statement {name:?} does not exist");
            return self.refuse(Code::NoStatement, text);
        };
        let prepared = Some((template, Arc::clone(arguments)));
        self.run_statement(statement, access, prepared, arrived)
            .await
    }

    async fn begin(&mut self, read_only: bool, arrived: Instant) -> Answer {
        if self.transaction.is_open() {
            return self.refuse(Code::Malformed, "a transaction is open already");
        }
        if let Err(refusal) = self.acquire_rate(arrived).await {
            return Answer::refused(refusal, TransactionState::Idle);
        }
        self.transaction = Transaction::begun(read_only, self.instance.now());
        Answer::local(TransactionState::Open)
    }

    /// Acquires one operation of the workspace's rate, or returns a refusal with a time to retry
    /// after.
    async fn acquire_rate(&self, arrived: Instant) -> Result<(), Refusal> {
        if self.workspace.is_anonymous() {
            return Ok(());
        }
        // A starting instance gets its share of the rates within a second.
        let deadline = if self.instance.is_starting() {
            arrived + self.route.timeout.mul_f64(STARTUP_RATE_WAIT_FRACTION)
        } else {
            arrived + (self.route.latency_objective / RATE_WAIT_DIVISOR).min(MAX_RATE_WAIT)
        };
        let quota = &self.instance.quota;
        let admitted = quota.admit(&self.instance, &self.workspace, deadline).await;
        admitted.map_err(|retry_after| {
            metrics::counter!("filbertbay_refused_total", "cause" => "rate").increment(1);
            let after = retry_after.as_millis().max(1);
            let cause = if self
                .instance
                .quota
                .is_ownership_confirmed(self.instance.now())
            {
                "the workspace is at its rate"
            } else {
                "the part of the rate can't be proven without the store"
            };
            let text = format!("{cause}, retry after {after} ms");
            Refusal::new(Code::Busy, text)
        })
    }

    /// Runs a read or a write, in the open transaction or on its own.
    async fn run_statement(
        &mut self,
        statement: &Statement,
        access: Access,
        prepared: Option<(Arc<str>, Arc<str>)>,
        arrived: Instant,
    ) -> Answer {
        let pending = PendingStatement {
            statement,
            access,
            prepared,
            arrived,
        };
        if self.transaction.is_pinned() {
            return self.run_pinned(&pending).await;
        }
        let begin = self.transaction.pending_begin();
        if begin.is_none()
            && let Err(refusal) = self.acquire_rate(arrived).await
        {
            return Answer::refused(refusal, TransactionState::Idle);
        }
        match self.run_with_retries(&pending, begin).await {
            Ok(served) => self.complete(&pending, served, begin),
            Err(refusal) if begin.is_some() => self.fail_transaction_with(refusal),
            Err(refusal) => Answer::refused(refusal, TransactionState::Idle),
        }
    }

    /// Turns an endpoint's reply into the answer. Pins the connection if a transaction was started;
    /// otherwise releases it and raises the session's min position after a write.
    fn complete(
        &mut self,
        pending: &PendingStatement<'_>,
        served: EndpointReply,
        begin: Option<bool>,
    ) -> Answer {
        let reply = served.reply;
        if begin.is_some() {
            let now = self.instance.now();
            let has_written = pending.access == Access::Write;
            self.transaction
                .pin(served.channel, served.primary_ref, has_written, now);
        } else {
            if pending.access == Access::Write {
                self.raise_min_position(reply.position);
            }
            served.channel.release();
        }
        Answer {
            rows: reply.rows,
            result: reply.result.map(Some),
            state: self.transaction.state(),
            position: reply.position,
        }
    }

    /// Raises the min position of the session's reads to that of its own write.
    fn raise_min_position(&mut self, position: Option<Position>) {
        let Some(position) = position else {
            return;
        };
        let min_position = self.min_positions.entry(Arc::clone(&self.route.service));
        let min_position = min_position.or_insert(position);
        *min_position = (*min_position).max(position);
    }

    /// Logs refusals and failures, and records the statement's outcome and duration as metrics.
    fn report(&self, statement: &Statement, arrived: Instant, answer: &Answer) {
        let took = self.instance.now().saturating_duration_since(arrived);
        let outcome = match &answer.result {
            Ok(_) => "served",
            Err(refusal) => refusal.code.into(),
        };
        metrics::counter!("filbertbay_statements_total", "outcome" => outcome).increment(1);
        if let Err(refusal) = &answer.result {
            let view = self.instance.view.borrow();
            info!(self.log, "statement refused"; "id" => statement.id.as_ref(),
                "code" => outcome, "reason" => &*refusal.text,
                "service" => self.route.service.as_ref(), "database" => self.startup.database.as_ref(),
                "version" => self.catalog.version, "record_revision" => view.record_revision(&self.route.service),
                "contact_age_ms" => view.primary_lease.contact_age(self.instance.now()).map(|age| age.as_millis() as u64),
                "took_ms" => took.as_millis() as u64);
        }
        if answer.result.as_ref().is_ok_and(Option::is_some) {
            metrics::histogram!("filbertbay_statement_seconds").record(took.as_secs_f64());
        }
    }
}

async fn sleep_optional(time: Option<Duration>) {
    if let Some(time) = time {
        tokio::time::sleep(time).await;
    }
}
