//! Ends sessions of a draining instance so that no statement is cut.

use std::rc::Rc;
use std::time::Instant;

use filbertbay_coordination::drain::Schedule;
use slog::info;

use super::Session;
use crate::caller::{Answer, Code, Command, Refusal, Statement, TransactionState};
use crate::endpoint::Access;
use crate::instance::{Instance, Phase};

/// Text of the refusal that ends an open transaction.
const ROLLED_BACK: &str = "the instance shuts down; the transaction was rolled back";

/// Counts a statement as unanswered until it is dropped.
pub(super) struct UnansweredStatement(Rc<Instance>);

impl UnansweredStatement {
    pub(super) fn new(instance: &Rc<Instance>) -> Self {
        let count = &instance.unanswered_statements;
        count.set(count.get() + 1);
        Self(Rc::clone(instance))
    }
}

impl Drop for UnansweredStatement {
    fn drop(&mut self) {
        let count = &self.0.unanswered_statements;
        count.set(count.get() - 1);
    }
}

impl Session {
    fn schedule(&self) -> Option<Schedule> {
        match *self.instance.phase.borrow() {
            Phase::Serving => None,
            Phase::Draining(schedule) => Some(schedule),
        }
    }

    /// Returns when a draining instance closes this session if no statement arrives before then. An open
    /// transaction has until the last answers to commit.
    pub(super) fn close_at(&self, waiting_since: Instant) -> Option<Instant> {
        let schedule = self.schedule()?;
        Some(if self.transaction.is_none() {
            schedule.close_idle_at(waiting_since)
        } else {
            schedule.answers_until()
        })
    }

    /// Returns whether the session is closed together with the answer to `statement`.
    ///
    /// The caller sees the close with the answer, before it sends another statement. Statements that
    /// only prepare the session for an operation leave it open.
    pub(super) fn closes_after(&self, statement: &Statement) -> bool {
        let is_preparation = matches!(
            statement.command,
            Command::Set { .. } | Command::Prepare { .. } | Command::Deallocate { .. }
        );
        let is_due = self
            .schedule()
            .is_some_and(|schedule| schedule.closes_after_answer(self.instance.now()));
        is_due && self.transaction.is_none() && !is_preparation && !self.caller.has_input()
    }

    /// Handles a statement; while the instance drains, refuses it if there is no time left, and answers
    /// that its outcome is unknown if it runs for too long.
    ///
    /// Returns the answer, and whether the session stays open.
    pub(super) async fn handle_before_exit(
        &mut self,
        statement: &Statement,
        arrived: Instant,
    ) -> (Answer, bool) {
        if let Some(refusal) = self.shutdown_refusal(statement, arrived) {
            return (Answer::refused(refusal, TransactionState::Idle), false);
        }
        let is_write = self.may_write(statement);
        let instance = Rc::clone(&self.instance);
        tokio::select! {
            biased;
            outcome = self.handle(statement, arrived) => outcome,
            () = wait_for_last_answers(&instance) => {
                let code = if is_write { Code::Unknown } else { Code::Timeout };
                let text = "the instance shuts down before the statement ended; its outcome is unknown";
                let refusal = Refusal::new(code, text);
                (Answer::refused(refusal, TransactionState::Idle), false)
            }
        }
    }

    /// Returns the refusal of a statement that can't end before the process does.
    fn shutdown_refusal(&self, statement: &Statement, now: Instant) -> Option<Refusal> {
        let schedule = self.schedule()?;
        if !self.transaction.is_none() {
            let is_late = now >= schedule.answers_until();
            return is_late.then(|| Refusal::new(Code::Aborted, ROLLED_BACK));
        }
        let is_begin = matches!(statement.command, Command::Begin { .. });
        let is_in_time = schedule.can_answer(now, self.route.latency_objective)
            && (!is_begin || schedule.can_begin(now));
        let text = "the instance shuts down; the statement was not run; connect again";
        (!is_in_time).then(|| Refusal::new(Code::Busy, text))
    }

    /// Returns whether a statement may change data, now or as the end of a transaction.
    fn may_write(&self, statement: &Statement) -> bool {
        match &statement.command {
            Command::Write | Command::Commit => true,
            Command::Execute { name, .. } => self
                .prepared
                .get(name)
                .is_some_and(|(access, _)| *access == Access::Write),
            _ => false,
        }
    }

    /// Rolls back the transaction that is open when the process ends, and tells the caller so.
    pub(super) async fn abort_at_exit(&mut self) -> std::io::Result<()> {
        if !self.transaction.is_open() {
            return Ok(());
        }
        info!(self.log, "transaction ended by the shutdown");
        self.close();
        let refusal = Refusal::new(Code::Aborted, ROLLED_BACK);
        self.caller.terminate(&refusal).await
    }
}

/// Waits until a draining instance must answer every statement; never ends while it serves.
async fn wait_for_last_answers(instance: &Instance) {
    let mut phase = instance.phase.subscribe();
    loop {
        let current = *phase.borrow_and_update();
        if let Phase::Draining(schedule) = current {
            let wait = schedule
                .answers_until()
                .saturating_duration_since(instance.now());
            return tokio::time::sleep(wait).await;
        }
        if phase.changed().await.is_err() {
            return std::future::pending().await;
        }
    }
}
