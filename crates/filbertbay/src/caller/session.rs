//! Session of one caller after its startup.

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
use super::answer::{self, Refusal, State};
use super::guard::Guard;
use super::policy::{AdmissionRequest, ConfirmationRequest};
use super::relay::{Cause, End, Hold, Relay};
use super::work::{Step, Work};
use super::{Caller, SessionContext, cancel};
use crate::pool::{Lease, Prepared};

/// Parameter that carries what the session has seen to another instance.
pub const TOKEN_PARAMETER: &str = "filbertbay.token";

/// Runs of a read before its failure is told to the caller.
const MAX_ATTEMPTS: u32 = 3;

/// Longest run of a statement for another instance, which cancels it much earlier itself.
const PEER_STATEMENT_LIMIT: Duration = Duration::from_hours(1);

/// Time that a caller has to take the last message of its session.
const FAREWELL_TIMEOUT: Duration = Duration::from_secs(2);

/// Longest wait for a caller to close its side after the farewell.
const LINGER: Duration = Duration::from_secs(1);

/// Session of one caller.
#[derive(Debug)]
pub struct Session {
    context: Arc<SessionContext>,
    purpose: Purpose,
    caller: Caller,
    guard: Guard,
    registration: cancel::Registration,
    consistency: Consistency,
    staleness: Option<Duration>,
    statements: HashMap<Box<str>, Arc<Prepared>>,
    pending: Work,
    is_skipping: bool,
    transaction: Transaction,
}

/// Whom a session serves.
#[derive(Clone, Debug, Default)]
pub enum Purpose {
    /// A caller.
    #[default]
    Caller,
    /// Another instance, which has decided already, with a connection to one member.
    Peer {
        /// Group of the member.
        group: Arc<str>,
        /// Name of the member.
        member: Arc<str>,
    },
}

/// What a session brings from its startup.
#[derive(Debug, Default)]
pub struct Start {
    /// Whom the session serves.
    pub purpose: Purpose,
    /// What the session has seen elsewhere.
    pub consistency: Consistency,
    /// Age that the session's reads accept.
    pub staleness: Option<Duration>,
}

/// Transaction of a session.
#[derive(Debug)]
enum Transaction {
    /// None is open.
    Idle,
    /// One is open on an endpoint connection.
    Open(Box<Open>),
    /// One was open on a connection that broke; it did not commit.
    Broken,
}

/// Transaction that is open on an endpoint connection.
#[derive(Debug)]
struct Open {
    lease: Lease,
    target: Target,
    /// Status that the endpoint reported last.
    status: u8,
    /// Whether steps without a sync have made a change.
    changed: bool,
    /// Whether a sync is still to come.
    is_unsynced: bool,
    /// Whether a cancel request was sent to the connection.
    is_cancelled: bool,
}

/// Why a session ends.
#[derive(Debug)]
pub enum Close {
    /// The caller has gone.
    Gone,
    /// The caller is told why.
    Refused(Refusal),
}

impl From<std::io::Error> for Close {
    fn from(error: std::io::Error) -> Self {
        if error.kind() == std::io::ErrorKind::InvalidData {
            let message = "a message is too long or malformed";
            Self::Refused(Refusal::new(State::Protocol, message))
        } else {
            Self::Gone
        }
    }
}

impl Session {
    /// Creates the session of a caller whose startup is over.
    pub fn new(
        context: Arc<SessionContext>,
        caller: Caller,
        guard: Guard,
        registration: cancel::Registration,
        start: Start,
    ) -> Self {
        Self {
            context,
            purpose: start.purpose,
            caller,
            guard,
            registration,
            consistency: start.consistency,
            staleness: start.staleness,
            statements: HashMap::new(),
            pending: Work::default(),
            is_skipping: false,
            transaction: Transaction::Idle,
        }
    }

    /// Serves the caller until the session ends.
    pub async fn run(mut self) {
        let close = loop {
            if let Err(close) = self.serve().await {
                break close;
            }
        };
        // Dropping the lease closes its connection, and the endpoint rolls back.
        self.transaction = Transaction::Idle;
        if let Close::Refused(refusal) = close {
            let farewell = self.caller.send(refusal.fatal());
            let _ = timeout(FAREWELL_TIMEOUT, farewell).await;
        }
        let _ = timeout(FAREWELL_TIMEOUT, SinkExt::<Frame>::close(&mut self.caller)).await;
        // Closing with unread bytes resets the connection, and the farewell could be lost on its way.
        let rest = async { while let Some(Ok(_)) = self.caller.next().await {} };
        let _ = timeout(LINGER, rest).await;
    }

    /// Takes one message, or notes that the session must end.
    async fn serve(&mut self) -> Result<(), Close> {
        let is_idle = matches!(self.transaction, Transaction::Idle);
        let limit = match self.guard.end() {
            Some(end) if is_idle && self.pending.steps.is_empty() => {
                return Err(Close::Refused(end.refusal.clone()));
            }
            Some(end) => Some(end.limit),
            None => None,
        };
        tokio::select! {
            biased;
            frame = self.caller.next() => match frame {
                Some(frame) => self.take(frame?).await,
                None => Err(Close::Gone),
            },
            () = self.guard.changed() => {
                self.guard.refresh(Instant::now());
                Ok(())
            }
            () = until(limit) => Err(self.farewell()),
        }
    }

    fn farewell(&self) -> Close {
        let end = self.guard.end().map(|end| end.refusal.clone());
        end.map_or(Close::Gone, Close::Refused)
    }

    async fn take(&mut self, frame: Frame) -> Result<(), Close> {
        match frame.kind() {
            kind::TERMINATE => Err(Close::Gone),
            kind::QUERY => self.take_query(frame).await,
            kind::PARSE | kind::BIND | kind::DESCRIBE | kind::EXECUTE | kind::CLOSE => {
                self.take_extended(frame).await
            }
            kind::FLUSH => self.run_pending(false).await,
            kind::SYNC => {
                self.is_skipping = false;
                self.run_pending(true).await
            }
            // What is left of a copy that was refused.
            kind::COPY_DATA | kind::COPY_DONE | kind::COPY_FAIL => Ok(()),
            _ => Err(protocol("unexpected message")),
        }
    }

    async fn take_query(&mut self, frame: Frame) -> Result<(), Close> {
        let text = frame
            .str_at(0)
            .ok_or_else(|| protocol("a query is not valid UTF-8"))?;
        let batch = sql::classify(text);
        let work = Work {
            classes: batch.classes().to_vec(),
            staleness: batch.max_staleness(),
            cost: batch.classes().len() as u64,
            ends: true,
            is_simple: true,
            bytes: frame.len(),
            steps: vec![Step::Query(frame)],
            ..Work::default()
        };
        self.execute(work).await
    }

    /// Runs one piece of work and answers it.
    async fn execute(&mut self, work: Work) -> Result<(), Close> {
        self.guard.refresh(Instant::now());
        if self.guard.end().is_some() && matches!(self.transaction, Transaction::Idle) {
            return Err(self.farewell());
        }
        if self.is_peer() && !work.is_blank() {
            return self.run_on_endpoint(&work).await;
        }
        if let Some(reason) = work.refusal() {
            return self
                .refuse(&work, &Refusal::not_run(State::Unsupported, reason))
                .await;
        }
        if matches!(self.transaction, Transaction::Broken) {
            return self.answer_broken(&work).await;
        }
        if work.is_local() || work.is_blank() {
            return self.answer_local(&work).await;
        }
        if let Err(refusal) = self.admit(&work).await {
            return self.refuse(&work, &refusal).await;
        }
        self.run_on_endpoint(&work).await
    }

    fn is_peer(&self) -> bool {
        matches!(self.purpose, Purpose::Peer { .. })
    }

    async fn admit(&self, work: &Work) -> Result<(), Refusal> {
        let cost = work.charge();
        let Some((snapshot, place)) = self.guard.place().filter(|_| cost > 0) else {
            return Ok(());
        };
        let workspace = &snapshot[place.workspace];
        let queue = Duration::from_millis(snapshot[place.route].settings.queue_ms);
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
            State::OverRate,
            "the workspace is at its rate",
        ))
    }

    async fn run_on_endpoint(&mut self, work: &Work) -> Result<(), Close> {
        let mut work = Cow::Borrowed(work);
        let mut avoided = Vec::new();
        for attempt in 1.. {
            let open = match std::mem::replace(&mut self.transaction, Transaction::Idle) {
                Transaction::Open(open) => open,
                _ => match self.place(&work, &avoided).await {
                    Ok(open) => open,
                    Err(refusal) => return self.refuse(&work, &refusal).await,
                },
            };
            let fresh = open.status == transaction_status::IDLE && !open.is_unsynced;
            let target = open.target.clone();
            if attempt == 1 {
                self.context.pool.earn_retry(&target.group, target.member);
            }
            let since = Instant::now();
            let (end, open) = self.relay(open, &work, fresh).await;
            count_statement(target.is_primary, since.elapsed());
            let may_repeat = fresh && attempt < MAX_ATTEMPTS;
            match end {
                // The replica knows better than the class: the work changes something.
                End::ReadOnly if may_repeat => work.to_mut().classes.push(StatementClass::Write),
                End::Lost {
                    unseen: true,
                    cause: Cause::Broken,
                } if may_repeat && self.may_repeat_elsewhere(&work, &target) => {
                    avoided.push(target.member);
                }
                end => return self.finish(end, open, &work).await,
            }
        }
        unreachable!("the loop returns on its last attempt")
    }

    /// Tells whether work whose connection broke may run on another member.
    fn may_repeat_elsewhere(&self, work: &Work, target: &Target) -> bool {
        let statement = if work.is_read() {
            Statement::Read
        } else {
            // A write may have run; whether its route is idempotent is for the caller to use.
            Statement::Write { idempotent: false }
        };
        let verdict = retry::decide(statement, Effect::Unknown);
        verdict == RetryDecision::OtherMember
            && self.context.pool.spend_retry(&target.group, target.member)
    }

    /// Relays work on an endpoint connection.
    async fn relay(&mut self, mut open: Box<Open>, work: &Work, fresh: bool) -> (End, Box<Open>) {
        let deadline = Instant::now() + self.statement_limit();
        let is_peer = self.is_peer();
        let connection = open.lease.connection();
        self.registration
            .start(connection.endpoint.cancel_key().clone())
            .await;
        let mut relay = Relay::new(
            &mut self.caller,
            connection,
            &self.registration,
            &mut self.guard,
            deadline,
        );
        relay.hold = match open.target.is_primary {
            // Another instance keeps back itself what must be kept back.
            _ if is_peer => Hold::Nothing,
            // Reads of a primary wait for the proof too: what it holds alone may be lost with it.
            true => Hold::Changes,
            false if fresh => Hold::Start,
            _ => Hold::Nothing,
        };
        relay.in_transaction = open.status != transaction_status::IDLE;
        relay.changed = open.changed;
        let end = relay.run(work).await;
        if matches!(end, End::Gone) {
            self.registration.cancel().await;
        }
        open.is_cancelled |= self.registration.stop().await;
        (end, open)
    }

    fn statement_limit(&self) -> Duration {
        let limit = self.guard.place().map(|(snapshot, place)| {
            Duration::from_millis(snapshot[place.route].settings.statement_ms)
        });
        limit.unwrap_or(PEER_STATEMENT_LIMIT)
    }

    async fn finish(&mut self, end: End, open: Box<Open>, work: &Work) -> Result<(), Close> {
        match end {
            End::Ready {
                status,
                held,
                changed,
            } => {
                let is_read = work.is_read();
                self.finish_ready(status, held, changed, is_read, open)
                    .await
            }
            End::Flushed { failed, changed } => {
                let mut open = open;
                open.changed = changed;
                open.is_unsynced = true;
                self.is_skipping = failed;
                self.transaction = Transaction::Open(open);
                Ok(())
            }
            End::ReadOnly => {
                drop(open);
                let message = "no member takes the statement as a read";
                self.refuse(work, &Refusal::not_run(State::Unavailable, message))
                    .await
            }
            End::Lost { cause, .. } => self.finish_lost(cause, &open, work).await,
            End::Gone => Err(Close::Gone),
        }
    }

    async fn finish_ready(
        &mut self,
        status: u8,
        held: Vec<Frame>,
        changed: bool,
        is_read: bool,
        mut open: Box<Open>,
    ) -> Result<(), Close> {
        let target = open.target.clone();
        open.status = status;
        open.is_unsynced = false;
        open.changed = false;
        let is_idle = status == transaction_status::IDLE;
        if !is_idle {
            self.transaction = Transaction::Open(open);
        } else if !open.is_cancelled {
            open.lease.give_back();
        }
        if changed && is_idle {
            if let Err(refusal) = self.confirm(&target).await {
                let message = "the primary could not be confirmed, so the read may show lost data";
                let refusal = if is_read {
                    Refusal::new(State::Unavailable, message)
                } else {
                    refusal
                };
                return self.answer_error(&refusal).await;
            }
        } else if self
            .consistency
            .record_read(&target.group.name, target.name(), Instant::now())
        {
            self.announce_token().await?;
        }
        for frame in held {
            self.caller.feed(frame).await?;
        }
        self.answer_ready().await
    }

    /// Waits for the proof that the primary was not superseded.
    async fn confirm(&mut self, target: &Target) -> Result<(), Refusal> {
        let outcome = self.context.policy.confirm(self.finished(target)).await;
        let Outcome::Confirmed(position) = outcome else {
            let message = "the outcome is unknown: the primary could not be confirmed";
            return Err(Refusal::new(State::Unknown, message));
        };
        if self
            .consistency
            .raise_min_position(&target.group.name, position)
        {
            // A caller that has gone is noticed by the answer that follows.
            let _ = self.announce_token().await;
        }
        Ok(())
    }

    fn finished(&self, target: &Target) -> ConfirmationRequest {
        let settings = self
            .guard
            .place()
            .map(|(s, place)| s[place.route].settings.clone());
        ConfirmationRequest {
            group: Arc::clone(&target.group.name),
            member: target.member,
            term: target.group.term,
            durability: settings
                .map(|settings| settings.durability)
                .unwrap_or_default(),
            deadline: Instant::now() + self.statement_limit(),
        }
    }

    async fn announce_token(&mut self) -> Result<(), Close> {
        let Some(identity) = self.guard.identity() else {
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

    async fn finish_lost(&mut self, cause: Cause, open: &Open, work: &Work) -> Result<(), Close> {
        let is_primary = open.target.is_primary;
        let was_open = open.status != transaction_status::IDLE;
        let may_commit = if was_open {
            work.may_commit()
        } else {
            !work.is_read() || open.changed || open.is_unsynced
        };
        let refusal = if is_primary && may_commit {
            Refusal::new(
                State::Unknown,
                format!("the outcome is unknown: the endpoint connection was lost ({cause})"),
            )
        } else {
            Refusal::new(
                State::Broken,
                format!("the endpoint connection was lost ({cause}); nothing was committed"),
            )
        };
        if was_open {
            self.transaction = Transaction::Broken;
        }
        self.refuse(work, &refusal).await
    }

    /// Answers work while the transaction is broken: only its end is taken.
    async fn answer_broken(&mut self, work: &Work) -> Result<(), Close> {
        if work.is_ending() && work.is_simple {
            self.transaction = Transaction::Idle;
            self.caller.feed(answer::complete("ROLLBACK")).await?;
            return self.answer_ready().await;
        }
        if work.is_ending() {
            self.transaction = Transaction::Idle;
            return self.answer_steps(work, "ROLLBACK").await;
        }
        if work.is_blank() {
            return self.answer_local(work).await;
        }
        let message = "the transaction was lost with its endpoint connection; roll it back";
        self.refuse(work, &Refusal::not_run(State::FailedTransaction, message))
            .await
    }

    /// Answers an error, and readiness if the work ended with a sync.
    async fn refuse(&mut self, work: &Work, refusal: &Refusal) -> Result<(), Close> {
        if work.ends {
            return self.answer_error(refusal).await;
        }
        self.is_skipping = true;
        count_refusal(refusal);
        Ok(self.caller.send(refusal.error()).await?)
    }

    async fn answer_error(&mut self, refusal: &Refusal) -> Result<(), Close> {
        count_refusal(refusal);
        self.caller.feed(refusal.error()).await?;
        self.answer_ready().await
    }

    async fn answer_ready(&mut self) -> Result<(), Close> {
        let status = match &self.transaction {
            Transaction::Idle => TransactionStatus::Idle,
            Transaction::Open(open) => match open.status {
                transaction_status::IDLE => TransactionStatus::Idle,
                transaction_status::IN_TRANSACTION => TransactionStatus::Transaction,
                _ => TransactionStatus::Error,
            },
            Transaction::Broken => TransactionStatus::Error,
        };
        Ok(self.caller.send(answer::ready(status)).await?)
    }
}

/// Waits until a moment, or for ever.
async fn until(limit: Option<Instant>) {
    match limit {
        Some(limit) => sleep_until(limit.into()).await,
        None => std::future::pending().await,
    }
}

fn protocol(message: &str) -> Close {
    Close::Refused(Refusal::new(State::Protocol, message))
}

fn count_statement(is_primary: bool, took: Duration) {
    let target = if is_primary { "primary" } else { "replica" };
    counter!("filbertbay_statements_total", "target" => target).increment(1);
    let micros = took.as_micros() as u64;
    counter!("filbertbay_statement_microseconds_total", "target" => target).increment(micros);
}

fn count_refusal(refusal: &Refusal) {
    let state: &'static str = refusal.state.into();
    counter!("filbertbay_refusals_total", "sqlstate" => state).increment(1);
}
