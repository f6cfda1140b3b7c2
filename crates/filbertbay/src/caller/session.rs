//! Session of one caller or peer after its startup: runs its pipelines and tracks its transaction.

mod extended;
mod place;

use std::borrow::Cow;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

use filbertbay_coordination::authority::confirm::Outcome;
use filbertbay_coordination::retry::{self, Effect, RetryDecision, Statement};
use filbertbay_coordination::session::Session as Consistency;
use filbertbay_protocol::sql::{self, StatementClass};
use filbertbay_transport::wire::{Frame, kind, transaction_status};
use futures::{SinkExt, StreamExt};
use metrics::counter;
use pgwire::messages::response::TransactionStatus;
use tokio::time::{sleep_until, timeout};

use self::place::Target;
use super::answer::{self, Refusal, SqlState};
use super::guard::SessionMonitor;
use super::policy::{AdmissionRequest, ConfirmationRequest};
use super::relay::{Buffering, Cause, Relay, RelayOutcome};
use super::work::{Pipeline, Step};
use super::{Caller, SessionContext, cancel};
use crate::pool::{PooledConnection, PreparedStatement};

/// Startup parameter and parameter status that carry the session's token from instance to instance.
pub const TOKEN_PARAMETER: &str = "filbertbay.token";

/// Attempts of a read before its failure is reported to the caller.
const MAX_ATTEMPTS: u32 = 3;

/// Longest run of a peer's statement; the peer normally cancels it much earlier.
const PEER_STATEMENT_TIMEOUT: Duration = Duration::from_hours(1);

/// Longest time to send the last message of a session.
const FINAL_MESSAGE_TIMEOUT: Duration = Duration::from_secs(2);

/// Longest wait for a caller to close its side after the last message.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);

/// Session of one caller or peer.
#[derive(Debug)]
pub struct Session {
    context: Arc<SessionContext>,
    kind: SessionKind,
    caller: Caller,
    monitor: SessionMonitor,
    registration: cancel::Registration,
    consistency: Consistency,
    max_staleness: Option<Duration>,
    statements: HashMap<Box<str>, Arc<PreparedStatement>>,
    pending: Pipeline,
    is_skipping: bool,
    transaction: Transaction,
}

/// Kind of client that a session serves.
#[derive(Clone, Debug, Default)]
pub enum SessionKind {
    /// A caller.
    #[default]
    Caller,
    /// A peer, which has already chosen a member and admitted the statements.
    Peer {
        /// Group of the member.
        group: Arc<str>,
        /// Name of the member.
        member: Arc<str>,
    },
}

/// Parameters that startup passes to a session.
#[derive(Debug, Default)]
pub struct SessionParameters {
    /// Kind of client.
    pub kind: SessionKind,
    /// Consistency state from the session token.
    pub consistency: Consistency,
    /// Maximum staleness of the session's reads.
    pub max_staleness: Option<Duration>,
}

/// Transaction of a session.
#[derive(Debug)]
enum Transaction {
    /// No transaction is open.
    Idle,
    /// A transaction or an unsynced pipeline is open on an endpoint connection.
    Open(Box<ActiveConnection>),
    /// The connection of the transaction broke, and the transaction did not commit.
    Lost,
}

/// Endpoint connection in use by the session.
#[derive(Debug)]
struct ActiveConnection {
    lease: PooledConnection,
    target: Target,
    /// Transaction status that the endpoint last reported.
    status: u8,
    /// Whether a pipeline without a sync has made a change.
    has_changes: bool,
    /// Whether a sync is still due.
    is_unsynced: bool,
    /// Whether a cancel request was sent to the connection.
    is_cancelled: bool,
}

/// Reason for the end of a session.
#[derive(Debug)]
pub enum SessionEnd {
    /// The caller has disconnected.
    Disconnected,
    /// The session is refused with an error for the caller.
    Refused(Refusal),
}

impl From<std::io::Error> for SessionEnd {
    fn from(error: std::io::Error) -> Self {
        if error.kind() == std::io::ErrorKind::InvalidData {
            let message = "a message is too long or malformed";
            Self::Refused(Refusal::new(SqlState::ProtocolViolation, message))
        } else {
            Self::Disconnected
        }
    }
}

impl Session {
    /// Creates the session of a client that has completed its startup.
    pub fn new(
        context: Arc<SessionContext>,
        caller: Caller,
        monitor: SessionMonitor,
        registration: cancel::Registration,
        parameters: SessionParameters,
    ) -> Self {
        Self {
            context,
            kind: parameters.kind,
            caller,
            monitor,
            registration,
            consistency: parameters.consistency,
            max_staleness: parameters.max_staleness,
            statements: HashMap::new(),
            pending: Pipeline::default(),
            is_skipping: false,
            transaction: Transaction::Idle,
        }
    }

    /// Serves the client until the session ends.
    pub async fn run(mut self) {
        let end = loop {
            if let Err(end) = self.handle_next().await {
                break end;
            }
        };
        // Dropping the lease closes its connection, so the endpoint rolls back.
        self.transaction = Transaction::Idle;
        if let SessionEnd::Refused(refusal) = end {
            let session_end = self.caller.send(refusal.fatal());
            let _ = timeout(FINAL_MESSAGE_TIMEOUT, session_end).await;
        }
        let _ = timeout(
            FINAL_MESSAGE_TIMEOUT,
            SinkExt::<Frame>::close(&mut self.caller),
        )
        .await;
        // Closing a socket with unread bytes resets the connection, which can discard the last
        // message.
        let rest = async { while let Some(Ok(_)) = self.caller.next().await {} };
        let _ = timeout(LINGER_TIMEOUT, rest).await;
    }

    /// Handles the next message, or returns the reason for the end of the session.
    async fn handle_next(&mut self) -> Result<(), SessionEnd> {
        let is_idle = matches!(self.transaction, Transaction::Idle);
        let limit = match self.monitor.termination() {
            Some(termination) if is_idle && self.pending.steps.is_empty() => {
                return Err(SessionEnd::Refused(termination.refusal.clone()));
            }
            Some(termination) => Some(termination.deadline),
            None => None,
        };
        tokio::select! {
            biased;
            frame = self.caller.next() => match frame {
                Some(frame) => self.handle_frame(frame?).await,
                None => Err(SessionEnd::Disconnected),
            },
            () = self.monitor.wait_for_change() => {
                self.monitor.refresh(Instant::now());
                Ok(())
            }
            () = wait_until(limit) => Err(self.session_end()),
        }
    }

    fn session_end(&self) -> SessionEnd {
        let refusal = self
            .monitor
            .termination()
            .map(|termination| termination.refusal.clone());
        refusal.map_or(SessionEnd::Disconnected, SessionEnd::Refused)
    }

    async fn handle_frame(&mut self, frame: Frame) -> Result<(), SessionEnd> {
        match frame.kind() {
            kind::TERMINATE => Err(SessionEnd::Disconnected),
            kind::QUERY => self.handle_query(frame).await,
            kind::PARSE | kind::BIND | kind::DESCRIBE | kind::EXECUTE | kind::CLOSE => {
                self.handle_extended(frame).await
            }
            kind::FLUSH => self.run_pending(false).await,
            kind::SYNC => {
                self.is_skipping = false;
                self.run_pending(true).await
            }
            // Remaining messages of a refused copy.
            kind::COPY_DATA | kind::COPY_DONE | kind::COPY_FAIL => Ok(()),
            _ => Err(protocol_error("unexpected message")),
        }
    }

    async fn handle_query(&mut self, frame: Frame) -> Result<(), SessionEnd> {
        let text = frame
            .str_at(0)
            .ok_or_else(|| protocol_error("a query is not valid UTF-8"))?;
        let batch = sql::classify(text);
        let pipeline = Pipeline {
            classes: batch.classes().to_vec(),
            max_staleness: batch.max_staleness(),
            statement_count: batch.classes().len() as u64,
            ends_with_sync: true,
            is_simple_query: true,
            bytes: frame.len(),
            steps: vec![Step::Query(frame)],
            ..Pipeline::default()
        };
        self.execute(pipeline).await
    }

    /// Runs one pipeline and responds to it.
    async fn execute(&mut self, pipeline: Pipeline) -> Result<(), SessionEnd> {
        self.monitor.refresh(Instant::now());
        if self.monitor.termination().is_some() && matches!(self.transaction, Transaction::Idle) {
            return Err(self.session_end());
        }
        if self.is_peer() && !pipeline.has_nothing_to_run() {
            return self.run_on_endpoint(&pipeline).await;
        }
        if let Some(reason) = pipeline.unsupported_reason() {
            return self
                .refuse(&pipeline, &Refusal::not_run(SqlState::Unsupported, reason))
                .await;
        }
        if matches!(self.transaction, Transaction::Lost) {
            return self.answer_in_lost_transaction(&pipeline).await;
        }
        if pipeline.is_local() || pipeline.has_nothing_to_run() {
            return self.answer_local(&pipeline).await;
        }
        if let Err(refusal) = self.admit(&pipeline).await {
            return self.refuse(&pipeline, &refusal).await;
        }
        self.run_on_endpoint(&pipeline).await
    }

    fn is_peer(&self) -> bool {
        matches!(self.kind, SessionKind::Peer { .. })
    }

    async fn admit(&self, pipeline: &Pipeline) -> Result<(), Refusal> {
        let cost = pipeline.rate_cost();
        let Some((snapshot, ids)) = self.monitor.configuration().filter(|_| cost > 0) else {
            return Ok(());
        };
        let workspace = &snapshot[ids.workspace];
        let queue = Duration::from_millis(snapshot[ids.route].settings.queue_ms);
        let request = AdmissionRequest {
            workspace: Arc::clone(&workspace.name),
            rate: workspace.rate,
            cost,
            deadline: Instant::now() + queue,
        };
        if self.context.policy.admit(request).await {
            return Ok(());
        }
        Err(Refusal::not_run(
            SqlState::RateLimited,
            "the workspace is at its rate",
        ))
    }

    async fn run_on_endpoint(&mut self, pipeline: &Pipeline) -> Result<(), SessionEnd> {
        let mut pipeline = Cow::Borrowed(pipeline);
        let mut excluded = Vec::new();
        for attempt in 1.. {
            let active = match std::mem::replace(&mut self.transaction, Transaction::Idle) {
                Transaction::Open(active) => active,
                _ => match self.checkout(&pipeline, &excluded).await {
                    Ok(active) => active,
                    Err(refusal) => return self.refuse(&pipeline, &refusal).await,
                },
            };
            let is_clean = active.status == transaction_status::IDLE && !active.is_unsynced;
            let target = active.target.clone();
            if attempt == 1 {
                self.context
                    .pool
                    .deposit_retry(&target.group, target.member);
            }
            let started = Instant::now();
            let (outcome, active) = self.relay(active, &pipeline, is_clean).await;
            count_statement(target.is_primary, started.elapsed());
            let may_retry = is_clean && attempt < MAX_ATTEMPTS;
            match outcome {
                // The replica is more reliable than the classification: the pipeline writes.
                RelayOutcome::ReadOnly if may_retry => {
                    pipeline.to_mut().classes.push(StatementClass::Write);
                }
                RelayOutcome::Lost {
                    nothing_sent: true,
                    cause: Cause::Broken,
                } if may_retry && self.may_retry_on_other_member(&pipeline, &target) => {
                    excluded.push(target.member);
                }
                outcome => return self.handle_outcome(outcome, active, &pipeline).await,
            }
        }
        unreachable!("the loop returns on its last attempt")
    }

    /// Returns whether a pipeline whose connection broke may run on another member, and withdraws a
    /// retry from the budget if so.
    fn may_retry_on_other_member(&self, pipeline: &Pipeline, target: &Target) -> bool {
        let statement = if pipeline.is_read() {
            Statement::Read
        } else {
            // The write may have run. Callers of idempotent routes retry on their own.
            Statement::Write { idempotent: false }
        };
        let decision = retry::decide(statement, Effect::Unknown);
        decision == RetryDecision::OtherMember
            && self
                .context
                .pool
                .try_withdraw_retry(&target.group, target.member)
    }

    /// Relays a pipeline on an endpoint connection.
    async fn relay(
        &mut self,
        mut active: Box<ActiveConnection>,
        pipeline: &Pipeline,
        is_clean: bool,
    ) -> (RelayOutcome, Box<ActiveConnection>) {
        let deadline = Instant::now() + self.statement_timeout();
        let is_peer = self.is_peer();
        let connection = active.lease.connection();
        self.registration
            .set_target(connection.endpoint.cancel_key().clone())
            .await;
        let mut relay = Relay::new(
            &mut self.caller,
            connection,
            &self.registration,
            &mut self.monitor,
            deadline,
        );
        relay.buffering = match active.target.is_primary {
            // The peer buffers what needs buffering.
            _ if is_peer => Buffering::Off,
            // Reads of a primary wait for confirmation too, since a failover can lose data that
            // only the primary has.
            true => Buffering::AfterChange,
            false if is_clean => Buffering::UntilFirstRow,
            _ => Buffering::Off,
        };
        relay.in_transaction = active.status != transaction_status::IDLE;
        relay.has_changes = active.has_changes;
        let outcome = relay.run(pipeline).await;
        if matches!(outcome, RelayOutcome::Disconnected) {
            self.registration.cancel().await;
        }
        active.is_cancelled |= self.registration.clear_target().await;
        (outcome, active)
    }

    fn statement_timeout(&self) -> Duration {
        let limit = self.monitor.configuration().map(|(snapshot, ids)| {
            Duration::from_millis(snapshot[ids.route].settings.statement_ms)
        });
        limit.unwrap_or(PEER_STATEMENT_TIMEOUT)
    }

    async fn handle_outcome(
        &mut self,
        outcome: RelayOutcome,
        active: Box<ActiveConnection>,
        pipeline: &Pipeline,
    ) -> Result<(), SessionEnd> {
        match outcome {
            RelayOutcome::Ready {
                status,
                buffered,
                has_changes,
            } => {
                let is_read = pipeline.is_read();
                self.handle_ready(status, buffered, has_changes, is_read, active)
                    .await
            }
            RelayOutcome::Flushed {
                failed,
                has_changes,
            } => {
                let mut active = active;
                active.has_changes = has_changes;
                active.is_unsynced = true;
                self.is_skipping = failed;
                self.transaction = Transaction::Open(active);
                Ok(())
            }
            RelayOutcome::ReadOnly => {
                drop(active);
                let message = "no member takes the statement as a read";
                self.refuse(pipeline, &Refusal::not_run(SqlState::Unavailable, message))
                    .await
            }
            RelayOutcome::Lost { cause, .. } => self.handle_lost(cause, &active, pipeline).await,
            RelayOutcome::Disconnected => Err(SessionEnd::Disconnected),
        }
    }

    async fn handle_ready(
        &mut self,
        status: u8,
        buffered: Vec<Frame>,
        has_changes: bool,
        is_read: bool,
        mut active: Box<ActiveConnection>,
    ) -> Result<(), SessionEnd> {
        let target = active.target.clone();
        active.status = status;
        active.is_unsynced = false;
        active.has_changes = false;
        let is_idle = status == transaction_status::IDLE;
        if !is_idle {
            self.transaction = Transaction::Open(active);
        } else if !active.is_cancelled {
            active.lease.release();
        }
        if has_changes && is_idle {
            if let Err(refusal) = self.confirm(&target).await {
                let message = "the primary could not be confirmed, so the read may show lost data";
                let refusal = if is_read {
                    Refusal::new(SqlState::Unavailable, message)
                } else {
                    refusal
                };
                return self.answer_error(&refusal).await;
            }
        } else if self
            .consistency
            .record_read(&target.group.name, target.name(), Instant::now())
        {
            self.send_token().await?;
        }
        for frame in buffered {
            self.caller.feed(frame).await?;
        }
        self.answer_ready().await
    }

    /// Waits for confirmation that the primary was not superseded, and raises the session's min
    /// position.
    async fn confirm(&mut self, target: &Target) -> Result<(), Refusal> {
        let outcome = self
            .context
            .policy
            .confirm(self.confirmation_request(target))
            .await;
        let Outcome::Confirmed(position) = outcome else {
            let message = "the outcome is unknown: the primary could not be confirmed";
            return Err(Refusal::new(SqlState::OutcomeUnknown, message));
        };
        if self
            .consistency
            .raise_min_position(&target.group.name, position)
        {
            // A disconnected caller is detected by the response that follows.
            let _ = self.send_token().await;
        }
        Ok(())
    }

    fn confirmation_request(&self, target: &Target) -> ConfirmationRequest {
        let settings = self
            .monitor
            .configuration()
            .map(|(s, ids)| s[ids.route].settings.clone());
        ConfirmationRequest {
            group: Arc::clone(&target.group.name),
            member: target.member,
            term: target.group.term,
            durability: settings
                .map(|settings| settings.durability)
                .unwrap_or_default(),
            deadline: Instant::now() + self.statement_timeout(),
        }
    }

    async fn send_token(&mut self) -> Result<(), SessionEnd> {
        let Some(identity) = self.monitor.identity() else {
            return Ok(());
        };
        let workspace = &identity.workspace;
        let token = self
            .context
            .signer
            .sign(workspace, &self.consistency, SystemTime::now());
        Ok(self
            .caller
            .feed(answer::parameter(TOKEN_PARAMETER, &token))
            .await?)
    }

    async fn handle_lost(
        &mut self,
        cause: Cause,
        active: &ActiveConnection,
        pipeline: &Pipeline,
    ) -> Result<(), SessionEnd> {
        let is_primary = active.target.is_primary;
        let was_open = active.status != transaction_status::IDLE;
        let may_commit = if was_open {
            pipeline.may_commit()
        } else {
            !pipeline.is_read() || active.has_changes || active.is_unsynced
        };
        let refusal = if is_primary && may_commit {
            Refusal::new(
                SqlState::OutcomeUnknown,
                format!("the outcome is unknown: the endpoint connection was lost ({cause})"),
            )
        } else {
            Refusal::new(
                SqlState::ConnectionLost,
                format!("the endpoint connection was lost ({cause}); nothing was committed"),
            )
        };
        if was_open {
            self.transaction = Transaction::Lost;
        }
        self.refuse(pipeline, &refusal).await
    }

    /// Responds while the transaction is lost; only a commit or rollback is accepted.
    async fn answer_in_lost_transaction(&mut self, pipeline: &Pipeline) -> Result<(), SessionEnd> {
        if pipeline.only_ends_transaction() && pipeline.is_simple_query {
            self.transaction = Transaction::Idle;
            self.caller.feed(answer::complete("ROLLBACK")).await?;
            return self.answer_ready().await;
        }
        if pipeline.only_ends_transaction() {
            self.transaction = Transaction::Idle;
            return self.answer_steps(pipeline, "ROLLBACK").await;
        }
        if pipeline.has_nothing_to_run() {
            return self.answer_local(pipeline).await;
        }
        let message = "the transaction was lost with its endpoint connection; roll it back";
        self.refuse(
            pipeline,
            &Refusal::not_run(SqlState::FailedTransaction, message),
        )
        .await
    }

    /// Sends an error, and `ReadyForQuery` if the pipeline ended with a sync.
    async fn refuse(&mut self, pipeline: &Pipeline, refusal: &Refusal) -> Result<(), SessionEnd> {
        if pipeline.ends_with_sync {
            return self.answer_error(refusal).await;
        }
        self.is_skipping = true;
        count_refusal(refusal);
        Ok(self.caller.send(refusal.error()).await?)
    }

    async fn answer_error(&mut self, refusal: &Refusal) -> Result<(), SessionEnd> {
        count_refusal(refusal);
        self.caller.feed(refusal.error()).await?;
        self.answer_ready().await
    }

    async fn answer_ready(&mut self) -> Result<(), SessionEnd> {
        let status = match &self.transaction {
            Transaction::Idle => TransactionStatus::Idle,
            Transaction::Open(active) => match active.status {
                transaction_status::IDLE => TransactionStatus::Idle,
                transaction_status::IN_TRANSACTION => TransactionStatus::Transaction,
                _ => TransactionStatus::Error,
            },
            Transaction::Lost => TransactionStatus::Error,
        };
        Ok(self.caller.send(answer::ready(status)).await?)
    }
}

/// Waits until a deadline, or forever without one.
async fn wait_until(limit: Option<Instant>) {
    match limit {
        Some(limit) => sleep_until(limit.into()).await,
        None => std::future::pending().await,
    }
}

fn protocol_error(message: &str) -> SessionEnd {
    SessionEnd::Refused(Refusal::new(SqlState::ProtocolViolation, message))
}

fn count_statement(is_primary: bool, elapsed: Duration) {
    let target = if is_primary { "primary" } else { "replica" };
    counter!("filbertbay_statements_total", "target" => target).increment(1);
    let micros = elapsed.as_micros() as u64;
    counter!("filbertbay_statement_microseconds_total", "target" => target).increment(micros);
}

fn count_refusal(refusal: &Refusal) {
    let sqlstate: &'static str = refusal.sqlstate.into();
    counter!("filbertbay_refusals_total", "sqlstate" => sqlstate).increment(1);
}
