//! Session of a caller, whatever protocol it speaks.
//!
//! The instance answers everything that needs no endpoint itself: the start of a transaction,
//! session values and prepared names. A transaction takes a connection with its first statement, so
//! that it can still be placed elsewhere when that one does not run.

mod attempt;
mod transaction;

use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use filbertbay_state::position::Position;
use slog::{Logger, debug, info};

use self::attempt::{Served, Work};
use self::transaction::Transaction;
use crate::caller::{
    Answer, Caller, Code, Command, Refusal, StartupRequest, Statement, TransactionState,
};
use crate::catalog::{Catalog, Route, Workspace};
use crate::endpoint::Access;
use crate::instance::{Instance, Phase};

/// Part of a route's objective for which a statement waits that has not been offered to an endpoint.
const PATIENCE_DIVISOR: u32 = 4;

/// Part of a route's timeout within which a statement waits for a primary that is being changed, or
/// for what a process that has just started does not have yet.
const MOVE_PATIENCE: f64 = 0.8;

/// Part of a route's objective for which an operation waits for a part of the rate; less than what it
/// may wait unoffered.
const RATE_DIVISOR: u32 = 5;

/// Part of a route's timeout within which an operation waits for the rate of a process that has just
/// started; the rest is left for the endpoint.
const START_PATIENCE: f64 = 0.5;

/// Longest wait for a part of the rate that other instances may lend; two round trips between the
/// users' regions take up to 80 ms.
const RATE_PATIENCE: Duration = Duration::from_millis(100);

/// Longest wait for the first words of a caller.
const HELLO_TIMEOUT: Duration = Duration::from_secs(10);

/// Longest wait for the first configuration; callers give up on a session after 2 s.
const CATALOG_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Time after SIGTERM until idle sessions are closed; the balancer has then taken the instance out.
const IDLE_CLOSE_AFTER: Duration = Duration::from_millis(2_600);

/// Time without a statement after which a session is closed because the instance ends, so that a
/// caller that was just answered or welcomed can go on.
const IDLE_BEFORE_CLOSE: Duration = Duration::from_millis(250);

/// Session values or prepared statements that one caller may keep.
const MAX_KEPT: usize = 256;

/// Session of one caller.
pub struct Session {
    instance: Rc<Instance>,
    caller: Box<dyn Caller>,
    startup: StartupRequest,
    route: Arc<Route>,
    workspace: Arc<Workspace>,
    catalog: Rc<Catalog>,
    values: BTreeMap<Arc<str>, Arc<str>>,
    prepared: BTreeMap<Arc<str>, (Access, Arc<str>)>,
    floors: BTreeMap<Arc<str>, Position>,
    transaction: Transaction,
    log: Logger,
}

impl std::fmt::Debug for Session {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Session").finish_non_exhaustive()
    }
}

/// Why a session ends.
enum End {
    /// The caller left, or the instance closes the session.
    Closed,
    /// The connection failed.
    Failed(std::io::Error),
}

impl From<std::io::Error> for End {
    fn from(error: std::io::Error) -> Self {
        Self::Failed(error)
    }
}

/// Serves one caller until either side closes.
pub async fn serve(instance: Rc<Instance>, mut caller: Box<dyn Caller>) {
    metrics::gauge!("filbertbay_sessions").increment(1.0);
    match open(&instance, caller.as_mut()).await {
        Ok(Ok((startup, catalog, route, workspace))) => {
            let log = instance
                .log
                .new(slog::o!("workspace" => workspace.name.to_string()));
            let mut session = Session {
                instance,
                caller,
                startup,
                route,
                workspace,
                catalog,
                values: BTreeMap::new(),
                prepared: BTreeMap::new(),
                floors: BTreeMap::new(),
                transaction: Transaction::None,
                log,
            };
            let end = session.run().await;
            if let Err(End::Failed(error)) = end {
                debug!(session.log, "session failed"; "error" => %error);
            }
            session.abandon();
        }
        Ok(Err(refusal)) => {
            info!(instance.log, "session refused"; "code" => %refusal.code, "reason" => &*refusal.text);
            let closing = caller.finish_startup(Err(refusal));
            if let Ok(Err(error)) = tokio::time::timeout(HELLO_TIMEOUT, closing).await {
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
    let startup = tokio::time::timeout(HELLO_TIMEOUT, caller.receive_startup()).await??;
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

/// Returns the configuration, for which a process that has just started waits a little.
async fn first_catalog(instance: &Rc<Instance>) -> Option<Rc<Catalog>> {
    let mut changed = instance.view_changed.subscribe();
    let waiting = changed.wait_for(|_| instance.catalog().is_some());
    // After the wait the catalog itself tells how it ended.
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
    async fn run(&mut self) -> Result<(), End> {
        loop {
            let Some(statement) = self.next().await? else {
                return Err(End::Closed);
            };
            let arrived = self.instance.now();
            let (answer, goes_on) = self.handle(&statement, arrived).await;
            self.report(&statement, arrived, &answer);
            self.caller.answer(&answer).await?;
            if !goes_on {
                return Err(End::Closed);
            }
        }
    }

    /// Waits for the next statement, or for a reason to close the session.
    async fn next(&mut self) -> Result<Option<Statement>, End> {
        let mut phase = self.instance.phase.subscribe();
        let mut changed = self.instance.view_changed.subscribe();
        let waiting_since = self.instance.now();
        loop {
            let now = self.instance.now();
            let close_at = self.close_at(waiting_since);
            if close_at.is_some_and(|at| now >= at) && !self.caller.has_input() {
                return Ok(None);
            }
            let idle_end = self
                .transaction
                .idle_end(self.catalog.idle_transaction_timeout);
            let wake = [close_at, idle_end].into_iter().flatten().min();
            let wait = wake.map(|at| at.saturating_duration_since(now));
            let watches_view = self.transaction.is_open();
            tokio::select! {
                statement = self.caller.next() => return Ok(statement?),
                _ = phase.changed() => {}
                _ = changed.changed(), if watches_view => {}
                () = sleep_for(wait), if wait.is_some() => {}
            }
            self.end_idle_transaction();
        }
    }

    /// Returns when an idle session is closed because the instance ends.
    fn close_at(&self, waiting_since: Instant) -> Option<Instant> {
        let phase = *self.instance.phase.borrow();
        match phase {
            Phase::Serving => None,
            Phase::Draining(since) if self.transaction.is_none() => {
                let settled = waiting_since + IDLE_BEFORE_CLOSE;
                Some(settled.max(since + IDLE_CLOSE_AFTER))
            }
            Phase::Draining(since) => Some(since + self.instance.settings().grace() / 2),
        }
    }

    /// Rolls back a transaction that has been idle for too long, or whose endpoint leaves.
    fn end_idle_transaction(&mut self) {
        let now = self.instance.now();
        let limit = self.catalog.idle_transaction_timeout;
        let is_late = self
            .transaction
            .idle_end(limit)
            .is_some_and(|end| now >= end);
        if is_late {
            info!(self.log, "idle transaction ended"; "limit_ms" => limit.as_millis() as u64);
            self.fail_transaction();
        } else if self
            .transaction
            .is_superseded(&self.instance, &self.route.service)
        {
            self.fail_transaction();
        }
    }

    /// Answers a statement, and tells whether the session goes on.
    async fn handle(&mut self, statement: &Statement, arrived: Instant) -> (Answer, bool) {
        if self.transaction.is_none()
            && let Err(refusal) = self.refresh()
        {
            return (Answer::refused(refusal, TransactionState::Idle), false);
        }
        if self.transaction.is_failed() {
            return (self.end_failed(statement), true);
        }
        let answer = match &statement.command {
            Command::Begin { read_only } => self.begin(*read_only, arrived).await,
            Command::Commit => self.commit(statement, arrived).await,
            Command::Rollback => self.rollback(),
            Command::Read => self.work(statement, Access::Read, None, arrived).await,
            Command::Write => self.work(statement, Access::Write, None, arrived).await,
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

    /// Takes a newer configuration into use, which may have dropped the route or the key.
    fn refresh(&mut self) -> Result<(), Refusal> {
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
        if self.values.len() >= MAX_KEPT && !self.values.contains_key(name) {
            return self.refuse(Code::TooLarge, "the session has too many values");
        }
        self.values.insert(Arc::clone(name), Arc::clone(value));
        Answer::local(self.transaction.state())
    }

    fn prepare(&mut self, name: &Arc<str>, access: Access, template: &Arc<str>) -> Answer {
        if self.prepared.len() >= MAX_KEPT && !self.prepared.contains_key(name) {
            return self.refuse(
                Code::TooLarge,
                "the session has too many prepared statements",
            );
        }
        let statement = (access, Arc::clone(template));
        self.prepared.insert(Arc::clone(name), statement);
        Answer::local(self.transaction.state())
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
        self.work(statement, access, prepared, arrived).await
    }

    async fn begin(&mut self, read_only: bool, arrived: Instant) -> Answer {
        if self.transaction.is_open() {
            return self.refuse(Code::Malformed, "a transaction is open already");
        }
        if let Err(refusal) = self.admit(arrived).await {
            return Answer::refused(refusal, TransactionState::Idle);
        }
        self.transaction = Transaction::begun(read_only, self.instance.now());
        Answer::local(TransactionState::Open)
    }

    /// Asks whether the workspace's rate allows one more operation.
    async fn admit(&self, arrived: Instant) -> Result<(), Refusal> {
        if self.workspace.is_anonymous() {
            return Ok(());
        }
        // A process that has just started gets its part of the rates within a second.
        let until = if self.instance.is_starting() {
            arrived + self.route.timeout.mul_f64(START_PATIENCE)
        } else {
            arrived + (self.route.latency_objective / RATE_DIVISOR).min(RATE_PATIENCE)
        };
        let quota = &self.instance.quota;
        let admitted = quota.admit(&self.instance, &self.workspace, until).await;
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

    /// Runs a read or a write, in a transaction or by itself.
    async fn work(
        &mut self,
        statement: &Statement,
        access: Access,
        prepared: Option<(Arc<str>, Arc<str>)>,
        arrived: Instant,
    ) -> Answer {
        let work = Work {
            statement,
            access,
            prepared,
            arrived,
        };
        if self.transaction.is_pinned() {
            return self.run_pinned(&work).await;
        }
        let begins = self.transaction.begins();
        if begins.is_none()
            && let Err(refusal) = self.admit(arrived).await
        {
            return Answer::refused(refusal, TransactionState::Idle);
        }
        match self.place(&work, begins).await {
            Ok(served) => self.served(&work, served, begins),
            Err(refusal) if begins.is_some() => self.fail_with(refusal),
            Err(refusal) => Answer::refused(refusal, TransactionState::Idle),
        }
    }

    /// Notes what an answer proves, and keeps the connection for a transaction.
    fn served(&mut self, work: &Work<'_>, served: Served, begins: Option<bool>) -> Answer {
        let reply = served.reply;
        if begins.is_some() {
            let now = self.instance.now();
            let wrote = work.access == Access::Write;
            self.transaction
                .pin(served.connection, served.leads, wrote, now);
        } else {
            if work.access == Access::Write {
                self.raise_floor(reply.position);
            }
            served.connection.release();
        }
        Answer {
            rows: reply.rows,
            result: reply.result.map(Some),
            state: self.transaction.state(),
            position: reply.position,
        }
    }

    /// Notes that the session has written up to a position, which its later reads must show.
    fn raise_floor(&mut self, position: Option<Position>) {
        let Some(position) = position else {
            return;
        };
        let floor = self.floors.entry(Arc::clone(&self.route.service));
        let floor = floor.or_insert(position);
        *floor = (*floor).max(position);
    }

    /// Logs refusals and failures, and one in some good answers.
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

async fn sleep_for(time: Option<Duration>) {
    if let Some(time) = time {
        tokio::time::sleep(time).await;
    }
}
