//! Runs one piece of work on an endpoint connection and relays the answer.
//!
//! Rows are passed on as they come, with bounded memory. Two kinds of answers are kept back:
//!
//! - the first messages of a read, up to its first row, so that another member can still run it;
//! - what a primary answers from the completion of a change on, until control confirms it.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use filbertbay_transport::endpoint;
use filbertbay_transport::wire::{Frame, kind, transaction_status};
use futures::SinkExt;
use pgwire::messages::extendedquery::{BindComplete, CloseComplete, ParseComplete};
use tokio::time::{sleep_until, timeout_at};

use super::answer::{Refusal, State};
use super::guard::Guard;
use super::work::{self, Step, Work};
use super::{Caller, answer, cancel};
use crate::pool::{Connection, PreparedStatement};

/// Bytes of messages that are sent before their answers are read.
///
/// The sockets' buffers hold this much, so neither side waits for the other to read.
const CHUNK_BYTES: usize = 32 << 10;

/// Bytes of an answer that are kept back at most.
const MAX_HELD_BYTES: usize = 4 << 20;

/// Time that an endpoint has to answer after its statement was cancelled.
const CANCEL_GRACE: Duration = Duration::from_secs(2);

/// Time that a caller has to take an answer after the statement's deadline.
const TAKE_GRACE: Duration = Duration::from_secs(5);

/// SQLSTATE of a write that a replica refused.
const READ_ONLY: &str = "25006";

/// What is kept back.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Hold {
    /// Nothing.
    Nothing,
    /// The answer up to its first row; the work may run elsewhere until then.
    Start,
    /// The answer from the completion of a change on.
    Changes,
}

/// Why the answer did not come to its end.
#[derive(Clone, Copy, Debug, Eq, PartialEq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Cause {
    /// The endpoint connection broke.
    Broken,
    /// The statement was cut off after its deadline.
    Deadline,
    /// The answer to a change is longer than what may be kept back.
    TooLong,
}

/// How the run ended.
#[derive(Debug)]
pub enum End {
    /// The endpoint is ready for the next work.
    Ready {
        /// Transaction status that the endpoint reported.
        status: u8,
        /// Messages that were kept back.
        held: Vec<Frame>,
        /// Whether a change may have been committed.
        changed: bool,
    },
    /// Every answer came; the work did not end with a sync.
    Flushed {
        /// Whether a step failed, so that the rest up to the sync is skipped.
        failed: bool,
        /// Whether the sync to come may commit a change.
        changed: bool,
    },
    /// A replica refused the work as a write; the caller has seen nothing of it.
    ReadOnly,
    /// The answer broke off; the connection can't be used any more.
    Lost {
        /// Why.
        cause: Cause,
        /// Whether the caller has seen nothing of the answer.
        unseen: bool,
    },
    /// The caller does not take its answer.
    Gone,
}

/// Answer that must still come, or that the proxy gives in its turn.
#[derive(Debug)]
enum Expected {
    /// Preparation; it is passed on if the caller asked for it.
    Parse(Arc<PreparedStatement>, bool),
    /// Close that the caller did not ask for.
    HiddenClose,
    /// One message of this kind.
    One(u8),
    /// Description, with the parameters of a statement before it.
    Description,
    /// Execution of a portal.
    Execution,
    /// Message that the proxy gives itself.
    Given(Frame),
    /// Readiness.
    Ready,
}

/// One run.
pub struct Relay<'a> {
    /// Caller that sent the work.
    pub caller: &'a mut Caller,
    /// Endpoint connection that runs it.
    pub connection: &'a mut Connection,
    /// Registration for cancel requests.
    pub registration: &'a cancel::Registration,
    /// Watch over the caller's right.
    pub guard: &'a mut Guard,
    /// What is kept back.
    pub hold: Hold,
    /// Whether a transaction is open that the caller has begun.
    pub in_transaction: bool,
    /// Whether an earlier piece of work, which did not end with a sync, made a change.
    pub changed: bool,
    /// When the statement is cancelled.
    pub deadline: Instant,
    run: Run,
}

/// Progress of a run.
#[derive(Debug, Default)]
struct Run {
    expected: VecDeque<Expected>,
    held: Vec<Frame>,
    held_bytes: usize,
    is_holding: bool,
    seen: bool,
    changed: bool,
    failed: bool,
    read_only: bool,
    ready: Option<u8>,
    cancelled_until: Option<Instant>,
}

/// Early end of a run.
enum Stop {
    Lost(Cause),
    Gone,
}

impl From<endpoint::Error> for Stop {
    fn from(_: endpoint::Error) -> Self {
        Self::Lost(Cause::Broken)
    }
}

impl<'a> Relay<'a> {
    /// Prepares a run.
    pub fn new(
        caller: &'a mut Caller,
        connection: &'a mut Connection,
        registration: &'a cancel::Registration,
        guard: &'a mut Guard,
        deadline: Instant,
    ) -> Self {
        Self {
            caller,
            connection,
            registration,
            guard,
            hold: Hold::Nothing,
            in_transaction: false,
            changed: false,
            deadline,
            run: Run::default(),
        }
    }

    /// Runs the work to its end.
    pub async fn run(mut self, work: &Work) -> End {
        self.run.is_holding = self.hold == Hold::Start || self.changed;
        self.run.changed = self.changed;
        let result = self.exchange(work).await;
        let run = self.run;
        match result {
            Err(Stop::Gone) => End::Gone,
            Err(Stop::Lost(cause)) => End::Lost {
                cause,
                unseen: !run.seen,
            },
            Ok(()) if run.read_only => End::ReadOnly,
            Ok(()) => match run.ready {
                Some(status) => End::Ready {
                    status,
                    held: run.held,
                    changed: run.changed,
                },
                None => End::Flushed {
                    failed: run.failed,
                    changed: run.changed,
                },
            },
        }
    }

    async fn exchange(&mut self, work: &Work) -> Result<(), Stop> {
        let mut rest = work.steps.as_slice();
        loop {
            rest = self.send_chunk(rest, work).await?;
            while !self.run.expected.is_empty() {
                let frame = self.receive().await?;
                self.take(frame).await?;
            }
            if self.run.failed {
                rest = &[];
            }
            let must_end = work.ends || self.run.read_only;
            if rest.is_empty() && (self.run.ready.is_some() || !must_end) {
                break;
            }
        }
        // Without a sync nothing is committed yet, so completions need no proof.
        if !work.ends && !self.run.read_only {
            self.give_held().await?;
            self.flush_caller().await?;
        }
        Ok(())
    }

    /// Sends steps up to the size of a chunk and returns the others.
    async fn send_chunk<'w>(&mut self, steps: &'w [Step], work: &Work) -> Result<&'w [Step], Stop> {
        let mut rest = steps;
        let mut bytes = 0;
        while let Some((step, others)) = rest.split_first() {
            bytes += self.send(step).await?;
            rest = others;
            if bytes >= CHUNK_BYTES {
                break;
            }
        }
        let must_end = work.ends || self.run.read_only;
        if !work.is_simple {
            let is_end = rest.is_empty() && must_end;
            if is_end {
                self.run.expected.push_back(Expected::Ready);
            }
            let last = if is_end { kind::SYNC } else { kind::FLUSH };
            self.connection.endpoint.feed(Frame::new(last, &[])).await?;
        }
        self.connection.endpoint.flush().await?;
        self.advance().await?;
        Ok(rest)
    }

    async fn send(&mut self, step: &Step) -> Result<usize, Stop> {
        let (frame, expected) = match step {
            Step::Query(frame) => (frame.clone(), Expected::Ready),
            Step::Parse(statement) => return self.send_parse(statement).await,
            Step::Bind(frame, statement) => {
                self.prepare(statement).await?;
                (
                    work::rename_bind(frame, statement),
                    Expected::One(kind::BIND_COMPLETE),
                )
            }
            Step::Describe(statement) => {
                self.prepare(statement).await?;
                (work::describe(statement), Expected::Description)
            }
            Step::DescribePortal(frame) => (frame.clone(), Expected::Description),
            Step::Execute(frame) => (frame.clone(), Expected::Execution),
            Step::ClosePortal(frame) => (frame.clone(), Expected::One(kind::CLOSE_COMPLETE)),
            Step::CloseStatement => {
                let given = answer::frame(&CloseComplete::new());
                self.run.expected.push_back(Expected::Given(given));
                return Ok(0);
            }
        };
        let bytes = frame.len();
        self.run.expected.push_back(expected);
        self.connection.endpoint.feed(frame).await?;
        Ok(bytes)
    }

    async fn send_parse(&mut self, statement: &Arc<PreparedStatement>) -> Result<usize, Stop> {
        if self.connection.is_prepared(statement) {
            let given = answer::frame(&ParseComplete::new());
            self.run.expected.push_back(Expected::Given(given));
            return Ok(0);
        }
        self.send_preparation(statement, true).await
    }

    /// Prepares a statement on this connection if it is not prepared there.
    async fn prepare(&mut self, statement: &Arc<PreparedStatement>) -> Result<(), Stop> {
        if !self.connection.is_prepared(statement) {
            self.send_preparation(statement, false).await?;
        }
        Ok(())
    }

    async fn send_preparation(
        &mut self,
        statement: &Arc<PreparedStatement>,
        is_asked: bool,
    ) -> Result<usize, Stop> {
        if let Some(oldest) = self.connection.insert_prepared(statement) {
            self.run.expected.push_back(Expected::HiddenClose);
            self.connection.endpoint.feed(work::close(&oldest)).await?;
        }
        let frame = work::parse(statement);
        let bytes = frame.len();
        let expected = Expected::Parse(Arc::clone(statement), is_asked);
        self.run.expected.push_back(expected);
        self.connection.endpoint.feed(frame).await?;
        Ok(bytes)
    }

    /// Receives the next message, or cancels the statement when its time is over.
    async fn receive(&mut self) -> Result<Frame, Stop> {
        if !self.connection.endpoint.has_buffered_input() {
            self.flush_caller().await?;
        }
        loop {
            let limit = self.limit();
            tokio::select! {
                biased;
                frame = self.connection.endpoint.receive() => return Ok(frame?),
                () = sleep_until(limit.into()) => self.expire().await?,
                () = self.guard.changed() => self.guard.refresh(Instant::now()),
            }
        }
    }

    fn limit(&self) -> Instant {
        let end = self.guard.end().map(|end| end.limit);
        let limit = end.map_or(self.deadline, |end| end.min(self.deadline));
        self.run.cancelled_until.unwrap_or(limit)
    }

    async fn expire(&mut self) -> Result<(), Stop> {
        if self.run.cancelled_until.is_some() {
            return Err(Stop::Lost(Cause::Deadline));
        }
        self.run.cancelled_until = Some(Instant::now() + CANCEL_GRACE);
        self.registration.cancel().await;
        Ok(())
    }

    async fn take(&mut self, frame: Frame) -> Result<(), Stop> {
        match frame.kind() {
            kind::NOTIFICATION => Ok(()),
            kind::NOTICE | kind::PARAMETER_STATUS => self.pass(frame).await,
            kind::ERROR => self.take_error(frame).await,
            kind::READY => {
                self.take_ready(&frame);
                Ok(())
            }
            // Copies are refused by their class; one that comes all the same is ended.
            kind::COPY_IN => self.refuse_copy().await,
            _ => self.take_answer(frame).await,
        }
    }

    fn take_ready(&mut self, frame: &Frame) {
        self.run.expected.clear();
        self.run.ready = Some(
            frame
                .transaction_status()
                .unwrap_or(transaction_status::FAILED),
        );
    }

    async fn take_error(&mut self, frame: Frame) -> Result<(), Stop> {
        let is_ready_due = matches!(self.run.expected.back(), Some(Expected::Ready));
        for expected in self.run.expected.drain(..) {
            if let Expected::Parse(statement, _) = expected {
                self.connection.remove_prepared(&statement);
            }
        }
        if is_ready_due {
            self.run.expected.push_back(Expected::Ready);
        }
        self.run.failed = true;
        let is_refused = frame.error_field(b'C') == Some(READ_ONLY);
        if is_refused && self.hold == Hold::Start && self.run.is_holding {
            self.run.read_only = true;
            return Ok(());
        }
        if self.hold == Hold::Start {
            self.release().await?;
        }
        // Outside of a transaction only a member that no longer leads refuses a change like this,
        // and the whole message is rolled back.
        if is_refused && self.hold == Hold::Changes && !self.in_transaction {
            let refusal = Refusal::not_run(State::Unavailable, "the primary is being replaced");
            return self.pass(refusal.error()).await;
        }
        self.pass(frame).await
    }

    async fn refuse_copy(&mut self) -> Result<(), Stop> {
        let reason = Bytes::from_static(b"not available through the proxy\0");
        self.connection
            .endpoint
            .feed(Frame::new(kind::COPY_FAIL, &reason))
            .await?;
        Ok(self.connection.endpoint.flush().await?)
    }

    async fn take_answer(&mut self, frame: Frame) -> Result<(), Stop> {
        let kind = frame.kind();
        let is_last = match self.run.expected.front() {
            Some(Expected::Parse(_, is_asked)) if !is_asked => return self.hide().await,
            Some(Expected::HiddenClose) => return self.hide().await,
            Some(Expected::Parse(..)) => kind == kind::PARSE_COMPLETE,
            Some(Expected::One(expected)) => kind == *expected,
            Some(Expected::Description) => matches!(kind, b'T' | b'n'),
            Some(Expected::Execution) => {
                matches!(
                    kind,
                    kind::COMMAND_COMPLETE | kind::EMPTY_QUERY | kind::PORTAL_SUSPENDED
                )
            }
            _ => false,
        };
        self.note_completion(&frame);
        if self.hold == Hold::Start && matches!(kind, kind::DATA_ROW | kind::COMMAND_COMPLETE) {
            self.release().await?;
        }
        self.pass(frame).await?;
        if is_last {
            self.run.expected.pop_front();
            self.advance().await?;
        }
        Ok(())
    }

    async fn hide(&mut self) -> Result<(), Stop> {
        self.run.expected.pop_front();
        self.advance().await
    }

    /// Gives the proxy's own messages whose turn has come.
    async fn advance(&mut self) -> Result<(), Stop> {
        while let Some(Expected::Given(_)) = self.run.expected.front() {
            if let Some(Expected::Given(frame)) = self.run.expected.pop_front() {
                self.pass(frame).await?;
            }
        }
        Ok(())
    }

    /// Follows transactions by the tags of completions, and starts to keep back after a change.
    fn note_completion(&mut self, frame: &Frame) {
        let is_complete = frame.kind() == kind::COMMAND_COMPLETE;
        let is_suspended = frame.kind() == kind::PORTAL_SUSPENDED;
        if !is_complete && !is_suspended {
            return;
        }
        let tag = if is_complete {
            frame.str_at(0).unwrap_or_default()
        } else {
            ""
        };
        match tag {
            "BEGIN" | "START TRANSACTION" => self.in_transaction = true,
            "COMMIT" | "PREPARE TRANSACTION" => {
                self.in_transaction = false;
                self.change();
            }
            _ if !self.in_transaction => self.change(),
            _ => {}
        }
    }

    fn change(&mut self) {
        if self.hold == Hold::Changes {
            self.run.changed = true;
            self.run.is_holding = true;
        }
    }

    /// Passes a message on, or keeps it back.
    async fn pass(&mut self, frame: Frame) -> Result<(), Stop> {
        if !self.run.is_holding {
            return self.give(frame).await;
        }
        self.run.held_bytes += frame.len();
        self.run.held.push(frame);
        if self.run.held_bytes <= MAX_HELD_BYTES {
            return Ok(());
        }
        match self.hold {
            Hold::Start => self.release().await,
            _ => Err(Stop::Lost(Cause::TooLong)),
        }
    }

    /// Gives up the chance to run the work elsewhere, and passes on what was kept back for it.
    async fn release(&mut self) -> Result<(), Stop> {
        if self.hold != Hold::Start || !self.run.is_holding {
            return Ok(());
        }
        self.give_held().await
    }

    async fn give_held(&mut self) -> Result<(), Stop> {
        self.run.is_holding = false;
        for frame in std::mem::take(&mut self.run.held) {
            self.give(frame).await?;
        }
        Ok(())
    }

    async fn give(&mut self, frame: Frame) -> Result<(), Stop> {
        self.run.seen = true;
        let limit = self.limit() + TAKE_GRACE;
        let fed = timeout_at(limit.into(), self.caller.feed(frame)).await;
        fed.ok().and_then(Result::ok).ok_or(Stop::Gone)
    }

    async fn flush_caller(&mut self) -> Result<(), Stop> {
        let limit = self.limit() + TAKE_GRACE;
        let flush = SinkExt::<Frame>::flush(&mut *self.caller);
        let flushed = timeout_at(limit.into(), flush).await;
        flushed.ok().and_then(Result::ok).ok_or(Stop::Gone)
    }
}

impl std::fmt::Debug for Relay<'_> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Relay")
            .field("hold", &self.hold)
            .field("run", &self.run)
            .finish_non_exhaustive()
    }
}

/// Returns the completion of a bind, for work that the proxy answers itself.
pub fn bind_complete() -> Frame {
    answer::frame(&BindComplete::new())
}
