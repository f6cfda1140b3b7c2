//! Transaction of a session, pinned to one endpoint connection from its first statement to its end.

use std::rc::Rc;
use std::time::{Duration, Instant};

use slog::info;

use super::attempt::PendingStatement;
use super::{QUEUE_WAIT_DIVISOR, Session};
use crate::caller::{Answer, Code, Command, Refusal, Statement, TransactionState};
use crate::endpoint::{Access, Reply};
use crate::execution::{self, Problem, Work};
use crate::forward::Remote;
use crate::instance::Instance;
use crate::pool::PooledConnection;
use crate::primary::PrimaryRef;

/// Delay before a statement that was refused by a busy endpoint is sent again.
const BUSY_RETRY_DELAY: Duration = Duration::from_millis(15);

/// Time that a commit may take beyond the route's timeout, because its outcome can't be queried
/// later.
const COMMIT_MARGIN: Duration = Duration::from_millis(50);

/// Progress of a session's transaction.
#[derive(Debug, Default)]
pub(super) enum Transaction {
    /// No transaction is open.
    #[default]
    None,
    /// The transaction was begun, but none of its statements has run.
    Begun {
        /// Whether the transaction was declared read-only.
        read_only: bool,
        /// When the caller last used the transaction.
        last_used: Instant,
    },
    /// The transaction is open on an endpoint connection.
    Pinned(Pinned),
    /// The transaction was rolled back, and the caller has not ended it yet.
    Failed,
}

/// Transaction that is open on an endpoint connection.
#[derive(Debug)]
pub(super) struct Pinned {
    channel: Channel,
    /// Primary that the transaction runs on; `None` on a replica.
    primary_ref: Option<PrimaryRef>,
    has_written: bool,
    last_used: Instant,
}

impl Transaction {
    pub(super) fn begun(read_only: bool, now: Instant) -> Self {
        Self::Begun {
            read_only,
            last_used: now,
        }
    }

    pub(super) fn is_none(&self) -> bool {
        matches!(self, Self::None)
    }

    pub(super) fn is_open(&self) -> bool {
        matches!(self, Self::Begun { .. } | Self::Pinned(_))
    }

    pub(super) fn is_pinned(&self) -> bool {
        matches!(self, Self::Pinned(_))
    }

    pub(super) fn is_failed(&self) -> bool {
        matches!(self, Self::Failed)
    }

    /// Returns whether the transaction is read-only if its next statement must begin it at an
    /// endpoint; otherwise `None`.
    pub(super) fn pending_begin(&self) -> Option<bool> {
        match self {
            Self::Begun { read_only, .. } => Some(*read_only),
            _ => None,
        }
    }

    pub(super) fn state(&self) -> TransactionState {
        match self {
            Self::None => TransactionState::Idle,
            Self::Begun { .. } | Self::Pinned(_) => TransactionState::Open,
            Self::Failed => TransactionState::Failed,
        }
    }

    pub(super) fn pin(
        &mut self,
        channel: Channel,
        primary_ref: Option<PrimaryRef>,
        has_written: bool,
        now: Instant,
    ) {
        *self = Self::Pinned(Pinned {
            channel,
            primary_ref,
            has_written,
            last_used: now,
        });
    }

    /// Returns the time at which an open transaction reaches the idle timeout; `None` if `limit` is
    /// zero or no transaction is open.
    pub(super) fn idle_deadline(&self, limit: Duration) -> Option<Instant> {
        let last_used = match self {
            Self::Begun { last_used, .. } => *last_used,
            Self::Pinned(pinned) => pinned.last_used,
            _ => return None,
        };
        (limit > Duration::ZERO).then(|| last_used + limit)
    }

    /// Returns whether the transaction runs on a primary that the instance may not use any more.
    pub(super) fn is_primary_lost(&self, instance: &Instance) -> bool {
        let Self::Pinned(pinned) = self else {
            return false;
        };
        let mut primary_ref = pinned.primary_ref.iter();
        primary_ref.any(|primary| !primary.is_current(instance))
    }
}

impl Session {
    /// Rolls back the open transaction at the end of the session.
    pub(super) fn close(&mut self) {
        if let Transaction::Pinned(pinned) = std::mem::take(&mut self.transaction) {
            pinned.channel.roll_back();
        }
    }

    /// Rolls the transaction back. The answer to the next statement reports this to the caller.
    pub(super) fn fail_transaction(&mut self) {
        let previous = std::mem::replace(&mut self.transaction, Transaction::Failed);
        if let Transaction::Pinned(pinned) = previous {
            pinned.channel.roll_back();
        }
    }

    /// Rolls the transaction back, and returns `refusal` as the answer to the current statement.
    pub(super) fn fail_transaction_with(&mut self, refusal: Refusal) -> Answer {
        self.fail_transaction();
        Answer::refused(refusal, TransactionState::Failed)
    }

    /// Returns the answer to a statement in a transaction that was rolled back.
    pub(super) fn answer_failed(&mut self, statement: &Statement) -> Answer {
        match statement.command {
            Command::Rollback => {
                self.transaction = Transaction::None;
                Answer::local(TransactionState::Idle)
            }
            Command::Commit => {
                self.transaction = Transaction::None;
                let refusal = Refusal::new(Code::Aborted, "the transaction was rolled back");
                Answer::refused(refusal, TransactionState::Idle)
            }
            _ => {
                let refusal = Refusal::new(Code::Aborted, "the transaction was rolled back");
                Answer::refused(refusal, TransactionState::Failed)
            }
        }
    }

    pub(super) fn rollback(&mut self) -> Answer {
        match std::mem::take(&mut self.transaction) {
            Transaction::None => self.refuse(Code::Malformed, "no transaction is open"),
            Transaction::Pinned(pinned) => {
                pinned.channel.roll_back();
                Answer::local(TransactionState::Idle)
            }
            Transaction::Begun { .. } | Transaction::Failed => {
                Answer::local(TransactionState::Idle)
            }
        }
    }

    /// Runs a statement of a pinned transaction on its connection.
    pub(super) async fn run_pinned(&mut self, pending: &PendingStatement<'_>) -> Answer {
        if self.transaction.is_primary_lost(&self.instance) {
            let refusal = Refusal::new(Code::Aborted, "the primary is being changed");
            return self.fail_transaction_with(refusal);
        }
        let deadline = pending.arrived + self.route.timeout;
        let queue_end = pending.arrived + self.route.latency_objective / QUEUE_WAIT_DIVISOR;
        loop {
            let Transaction::Pinned(pinned) = &mut self.transaction else {
                return self.refuse(Code::Aborted, "the transaction was rolled back");
            };
            let work = pending.work(&self.values);
            let outcome = pinned.run(&self.instance, work, deadline).await;
            let now = self.instance.now();
            let reply = match outcome {
                Ok(reply) => reply,
                Err(problem) => {
                    info!(self.log, "transaction lost its endpoint"; "id" => pending.statement.id.as_ref(),
                        "problem" => %problem);
                    let refusal = Refusal::new(Code::Aborted, problem.to_string());
                    return self.fail_transaction_with(refusal);
                }
            };
            pinned.last_used = now;
            match reply.result {
                Ok(signature) => {
                    pinned.has_written |= pending.access == Access::Write;
                    return Answer {
                        rows: reply.rows,
                        result: Ok(Some(signature)),
                        state: TransactionState::Open,
                        position: reply.position,
                    };
                }
                Err(refusal)
                    if refusal.code == Code::Busy && reply.state == TransactionState::Open =>
                {
                    if now + BUSY_RETRY_DELAY < queue_end {
                        tokio::time::sleep(BUSY_RETRY_DELAY).await;
                        continue;
                    }
                    let text = "the endpoint is busy, retry after 50 ms";
                    return self.fail_transaction_with(Refusal::new(Code::Aborted, text));
                }
                Err(refusal) => {
                    // Any refusal aborts the whole transaction.
                    info!(self.log, "transaction failed at its endpoint";
                        "id" => pending.statement.id.as_ref(), "code" => %refusal.code);
                    return self.fail_transaction_with(Refusal::new(Code::Aborted, refusal.text));
                }
            }
        }
    }

    pub(super) async fn commit(&mut self, statement: &Statement, arrived: Instant) -> Answer {
        if self.transaction.is_none() {
            return self.refuse(Code::Malformed, "no transaction is open");
        }
        let pending = PendingStatement {
            statement,
            access: Access::Read,
            prepared: None,
            arrived,
        };
        if let Some(read_only) = self.transaction.pending_begin() {
            // Only an endpoint can sign a commit, even that of an empty transaction.
            return match self.run_with_retries(&pending, Some(read_only)).await {
                Ok(served) => {
                    self.transaction = Transaction::None;
                    served.channel.release();
                    Answer {
                        rows: served.reply.rows,
                        result: served.reply.result.map(Some),
                        state: TransactionState::Idle,
                        position: served.reply.position,
                    }
                }
                Err(refusal) => {
                    self.transaction = Transaction::None;
                    Answer::refused(refusal, TransactionState::Idle)
                }
            };
        }
        if self.transaction.is_primary_lost(&self.instance) {
            self.fail_transaction();
            return self.answer_failed(statement);
        }
        self.commit_pinned(&pending).await
    }

    async fn commit_pinned(&mut self, pending: &PendingStatement<'_>) -> Answer {
        let deadline = pending.arrived + self.route.timeout + COMMIT_MARGIN;
        let queue_end = pending.arrived + self.route.latency_objective / QUEUE_WAIT_DIVISOR;
        let Transaction::Pinned(mut pinned) = std::mem::take(&mut self.transaction) else {
            return self.refuse(Code::Aborted, "the transaction was rolled back");
        };
        loop {
            let work = pending.work(&self.values);
            let reply = match pinned.run(&self.instance, work, deadline).await {
                Ok(reply) => reply,
                Err(problem) if pinned.has_written && !problem.is_not_run() => {
                    let text = format!("the outcome of the commit is unknown: {problem}");
                    return self.refuse(Code::Unknown, text);
                }
                Err(problem) => return self.refuse(Code::Aborted, problem.to_string()),
            };
            let refusal = match reply.result {
                Ok(signature) => {
                    if pinned.has_written {
                        self.raise_min_position(reply.position);
                    }
                    pinned.channel.release();
                    return Answer {
                        rows: reply.rows,
                        result: Ok(Some(signature)),
                        state: TransactionState::Idle,
                        position: reply.position,
                    };
                }
                Err(refusal) => refusal,
            };
            let can_retry = refusal.code == Code::Busy && reply.state == TransactionState::Open;
            if can_retry && self.instance.now() + BUSY_RETRY_DELAY < queue_end {
                tokio::time::sleep(BUSY_RETRY_DELAY).await;
                continue;
            }
            return match refusal.code {
                // Rolls back what the refused commit left open; the connection is closed if that
                // fails.
                code if code.is_not_run() || code == Code::Aborted => {
                    pinned.channel.roll_back();
                    self.refuse(Code::Aborted, refusal.text)
                }
                _ if !pinned.has_written => self.refuse(Code::Aborted, refusal.text),
                code => self.refuse(code, refusal.text),
            };
        }
    }
}

impl Pinned {
    /// Runs a statement of the transaction.
    ///
    /// Returns the cause as an error if no answer came before `deadline`.
    async fn run(
        &mut self,
        instance: &Rc<Instance>,
        work: Work<'_>,
        deadline: Instant,
    ) -> Result<Reply, Problem> {
        let primary_ref = self.primary_ref.as_ref();
        match &mut self.channel {
            Channel::Pooled(connection) => {
                execution::execute_next(instance, connection, primary_ref, work, deadline).await
            }
            Channel::Remote(remote) => remote.run(instance, primary_ref, work, deadline).await,
            Channel::Ended => Err(Problem::LeaseEnded),
        }
    }
}

/// Connection on which a statement ran, and on which its transaction is open.
#[derive(Debug)]
pub(super) enum Channel {
    /// Connection of this instance.
    Pooled(PooledConnection),
    /// Lease at an egress instance.
    Remote(Remote),
    /// Connection of an egress instance that needs it no more.
    Ended,
}

impl Channel {
    /// Returns the connection to the pool; a lease ends with its transaction.
    pub(super) fn release(self) {
        if let Self::Pooled(connection) = self {
            connection.release();
        }
    }

    /// Rolls the transaction back in the background.
    fn roll_back(self) {
        match self {
            Self::Pooled(connection) => execution::roll_back(connection),
            Self::Remote(remote) => remote.roll_back(),
            Self::Ended => {}
        }
    }
}
