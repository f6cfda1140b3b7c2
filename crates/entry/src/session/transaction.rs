//! Transaction of a session, pinned to one connection from its first statement on.

use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use filbertbay_coordination::succession::Phase;
use slog::info;

use super::attempt::{Leads, Work};
use super::{PATIENCE_DIVISOR, Session};
use crate::caller::{Answer, Code, Command, Refusal, Statement, TransactionState};
use crate::endpoint::{Access, Reply, Request, RequestKind};
use crate::instance::Instance;
use crate::pool::{InFlightGuard, PooledConnection, SessionState};

/// Pause before a statement that found its endpoint busy is sent again.
const BUSY_PAUSE: Duration = Duration::from_millis(15);

/// Longest wait for the answer to a rollback before the connection is closed instead.
const ROLLBACK_TIMEOUT: Duration = Duration::from_millis(300);

/// Longest wait for a commit beyond the time left, as its outcome can't be asked for later.
const COMMIT_MARGIN: Duration = Duration::from_millis(50);

/// What a session's transaction is at.
#[derive(Debug, Default)]
pub(super) enum Transaction {
    /// None is open.
    #[default]
    None,
    /// Begun, and no statement has run.
    Begun {
        /// Whether it promised not to write.
        read_only: bool,
        /// When it was last used.
        used: Instant,
    },
    /// On a connection.
    Pinned(Pinned),
    /// Rolled back; the caller has not ended it yet.
    Failed,
}

/// Transaction on a connection.
#[derive(Debug)]
pub(super) struct Pinned {
    connection: PooledConnection,
    /// Record under which its endpoint leads, if it relies on that.
    leads: Option<Leads>,
    wrote: bool,
    used: Instant,
}

impl Transaction {
    pub(super) fn begun(read_only: bool, now: Instant) -> Self {
        Self::Begun {
            read_only,
            used: now,
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

    /// Tells whether the next statement begins the transaction at an endpoint, and whether that one
    /// promises not to write.
    pub(super) fn begins(&self) -> Option<bool> {
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
        connection: PooledConnection,
        leads: Option<Leads>,
        wrote: bool,
        now: Instant,
    ) {
        *self = Self::Pinned(Pinned {
            connection,
            leads,
            wrote,
            used: now,
        });
    }

    /// Returns when an open transaction has been idle for too long.
    pub(super) fn idle_end(&self, limit: Duration) -> Option<Instant> {
        let used = match self {
            Self::Begun { used, .. } => *used,
            Self::Pinned(pinned) => pinned.used,
            _ => return None,
        };
        (limit > Duration::ZERO).then(|| used + limit)
    }

    /// Tells whether the transaction relies on a primary that is being or was replaced.
    pub(super) fn is_superseded(&self, instance: &Instance, service: &str) -> bool {
        let Self::Pinned(pinned) = self else {
            return false;
        };
        let Some(leads) = &pinned.leads else {
            return false;
        };
        let view = instance.view.borrow();
        let lead = view.primary_record(service);
        let names_it = lead
            .is_none_or(|lead| lead.record.phase == Phase::Leading(Arc::clone(&leads.endpoint)));
        !names_it || view.record_revision(service) != leads.revision
    }
}

impl Session {
    /// Gives up whatever is open, as the session ends.
    pub(super) fn abandon(&mut self) {
        if let Transaction::Pinned(pinned) = std::mem::take(&mut self.transaction) {
            roll_back(pinned.connection);
        }
    }

    /// Rolls the transaction back; the caller hears of it with its next statement.
    pub(super) fn fail_transaction(&mut self) {
        let old = std::mem::replace(&mut self.transaction, Transaction::Failed);
        if let Transaction::Pinned(pinned) = old {
            roll_back(pinned.connection);
        }
    }

    /// Answers a statement that ended the transaction.
    pub(super) fn fail_with(&mut self, refusal: Refusal) -> Answer {
        self.fail_transaction();
        Answer::refused(refusal, TransactionState::Failed)
    }

    /// Answers a statement of a transaction that was rolled back.
    pub(super) fn end_failed(&mut self, statement: &Statement) -> Answer {
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
                roll_back(pinned.connection);
                Answer::local(TransactionState::Idle)
            }
            Transaction::Begun { .. } | Transaction::Failed => {
                Answer::local(TransactionState::Idle)
            }
        }
    }

    /// Runs a statement of a transaction on its connection.
    pub(super) async fn run_pinned(&mut self, work: &Work<'_>) -> Answer {
        if self
            .transaction
            .is_superseded(&self.instance, &self.route.service)
        {
            let refusal = Refusal::new(Code::Aborted, "the primary is being changed");
            return self.fail_with(refusal);
        }
        let until = work.arrived + self.route.timeout;
        let patience = work.arrived + self.route.latency_objective / PATIENCE_DIVISOR;
        loop {
            let Transaction::Pinned(pinned) = &mut self.transaction else {
                return self.refuse(Code::Aborted, "the transaction was rolled back");
            };
            let session_state = SessionState {
                values: &self.values,
                prepared: work
                    .prepared
                    .as_ref()
                    .map(|(template, _)| (work.access, template)),
            };
            let outcome = pinned.run(&self.instance, work, session_state, until).await;
            let now = self.instance.now();
            let reply = match outcome {
                Ok(reply) => reply,
                Err(problem) => {
                    info!(self.log, "transaction lost its endpoint"; "id" => work.statement.id.as_ref(),
                        "problem" => problem);
                    return self.fail_with(Refusal::new(Code::Aborted, problem));
                }
            };
            pinned.used = now;
            match reply.result {
                Ok(signature) => {
                    pinned.wrote |= work.access == Access::Write;
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
                    if now + BUSY_PAUSE < patience {
                        tokio::time::sleep(BUSY_PAUSE).await;
                        continue;
                    }
                    let text = "the endpoint is busy, retry after 50 ms";
                    return self.fail_with(Refusal::new(Code::Aborted, text));
                }
                Err(refusal) => {
                    // Whatever the reason, nothing of the transaction is kept.
                    info!(self.log, "transaction failed at its endpoint";
                        "id" => work.statement.id.as_ref(), "code" => %refusal.code);
                    return self.fail_with(Refusal::new(Code::Aborted, refusal.text));
                }
            }
        }
    }

    pub(super) async fn commit(&mut self, statement: &Statement, arrived: Instant) -> Answer {
        if self.transaction.is_none() {
            return self.refuse(Code::Malformed, "no transaction is open");
        }
        let work = Work {
            statement,
            access: Access::Read,
            prepared: None,
            arrived,
        };
        if let Some(read_only) = self.transaction.begins() {
            // Only an endpoint can sign a commit, also one of nothing.
            return match self.place(&work, Some(read_only)).await {
                Ok(served) => {
                    self.transaction = Transaction::None;
                    served.connection.release();
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
        if self
            .transaction
            .is_superseded(&self.instance, &self.route.service)
        {
            self.fail_transaction();
            return self.end_failed(statement);
        }
        self.commit_pinned(&work).await
    }

    async fn commit_pinned(&mut self, work: &Work<'_>) -> Answer {
        let until = work.arrived + self.route.timeout + COMMIT_MARGIN;
        let patience = work.arrived + self.route.latency_objective / PATIENCE_DIVISOR;
        let Transaction::Pinned(mut pinned) = std::mem::take(&mut self.transaction) else {
            return self.refuse(Code::Aborted, "the transaction was rolled back");
        };
        loop {
            let session_state = SessionState {
                values: &self.values,
                prepared: None,
            };
            let reply = match pinned.run(&self.instance, work, session_state, until).await {
                Ok(reply) => reply,
                Err(problem) if pinned.wrote => {
                    let text = format!("the outcome of the commit is unknown: {problem}");
                    return self.refuse(Code::Unknown, text);
                }
                Err(problem) => return self.refuse(Code::Aborted, problem),
            };
            let refusal = match reply.result {
                Ok(signature) => {
                    if pinned.wrote {
                        self.raise_floor(reply.position);
                    }
                    pinned.connection.release();
                    return Answer {
                        rows: reply.rows,
                        result: Ok(Some(signature)),
                        state: TransactionState::Idle,
                        position: reply.position,
                    };
                }
                Err(refusal) => refusal,
            };
            let again = refusal.code == Code::Busy && reply.state == TransactionState::Open;
            if again && self.instance.now() + BUSY_PAUSE < patience {
                tokio::time::sleep(BUSY_PAUSE).await;
                continue;
            }
            return match refusal.code {
                // The connection closes with what was left open on it.
                code if code.is_not_run() || code == Code::Aborted => {
                    roll_back(pinned.connection);
                    self.refuse(Code::Aborted, refusal.text)
                }
                _ if !pinned.wrote => self.refuse(Code::Aborted, refusal.text),
                code => self.refuse(code, refusal.text),
            };
        }
    }
}

impl Pinned {
    /// Runs a statement on the connection, and says what failed where no answer came.
    async fn run(
        &mut self,
        instance: &Rc<Instance>,
        work: &Work<'_>,
        session_state: SessionState<'_>,
        until: Instant,
    ) -> Result<Reply, &'static str> {
        let endpoint_pool = Rc::clone(self.connection.endpoint_pool());
        let mut aborts = endpoint_pool.subscribe_aborts();
        let _in_flight = InFlightGuard::new(&endpoint_pool);
        let leads = self.leads.as_ref();
        let _use = leads.map(|leads| instance.track_primary_use(&leads.service));
        let asked = instance.now();
        let limit = until.saturating_duration_since(asked);
        let connection = &mut self.connection;
        let running = async {
            let name = connection.apply_session_state(session_state).await?;
            connection.run(&work.request(name.as_deref(), None)).await
        };
        let outcome = tokio::select! {
            outcome = tokio::time::timeout(limit, running) => outcome,
            _ = aborts.changed() => return Err("the primary is being changed"),
        };
        let now = instance.now();
        match outcome {
            Ok(Ok(reply)) => {
                endpoint_pool.record_answer(now);
                endpoint_pool.record_latency(now, now.saturating_duration_since(asked));
                if let (Some(leads), Some(position)) = (leads, reply.position) {
                    leads.note(instance, asked, position);
                }
                Ok(reply)
            }
            Ok(Err(_)) => {
                endpoint_pool.record_failure(now);
                instance.primary_suspected.notify_one();
                Err("the connection to the endpoint broke")
            }
            Err(_) => {
                endpoint_pool.record_failure(now);
                instance.primary_suspected.notify_one();
                Err("the endpoint did not answer in time")
            }
        }
    }
}

/// Rolls back what is open on a connection and gives it back, without anybody waiting for it.
pub(super) fn roll_back(mut connection: PooledConnection) {
    tokio::task::spawn_local(async move {
        let request = Request::internal(RequestKind::Rollback);
        let reply = tokio::time::timeout(ROLLBACK_TIMEOUT, connection.run(&request)).await;
        let is_clean = matches!(&reply, Ok(Ok(reply)) if reply.state == TransactionState::Idle);
        // A connection in any other state is closed, which rolls back as well.
        if is_clean {
            connection.release();
        }
    });
}
