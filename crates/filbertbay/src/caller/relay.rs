//! Runs one pipeline on an endpoint connection and relays the response to the caller.
//!
//! Rows are forwarded as they arrive, with bounded memory. Two kinds of responses are buffered:
//!
//! - the response to a read, up to its first row, so that another member can still run the read;
//! - the response of a primary from the completion of a change on, until the primary is confirmed.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use filbertbay_transport::endpoint;
use filbertbay_transport::wire::{Frame, kind, transaction_status};
use futures::SinkExt;
use pgwire::messages::extendedquery::{BindComplete, CloseComplete, ParseComplete};
use tokio::time::{sleep_until, timeout_at};

use super::answer::{Refusal, SqlState};
use super::guard::SessionMonitor;
use super::work::{self, Pipeline, Step};
use super::{Caller, answer, cancel};
use crate::pool::{Connection, PreparedStatement};

/// Bytes of messages that are sent before their responses are read.
///
/// The socket buffers hold this much, so that sending can't deadlock with an endpoint that waits
/// for its own output to be read.
const CHUNK_BYTES: usize = 32 << 10;

/// Largest response that is buffered, in bytes.
const MAX_BUFFERED_BYTES: usize = 4 << 20;

/// Time that an endpoint has to respond after a cancel request.
const CANCEL_GRACE: Duration = Duration::from_secs(2);

/// Time that a caller has to read its response after the statement's deadline.
const CALLER_READ_GRACE: Duration = Duration::from_secs(5);

/// SQLSTATE of a write on a read-only member.
const READ_ONLY: &str = "25006";

/// Part of the response that is buffered instead of forwarded.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Buffering {
    /// No part.
    Off,
    /// Up to the first row; until then the pipeline may run on another member.
    UntilFirstRow,
    /// From the completion of a change on.
    AfterChange,
}

/// Cause of an incomplete response.
#[derive(Clone, Copy, Debug, Eq, PartialEq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Cause {
    /// The endpoint connection broke.
    Broken,
    /// The statement exceeded its deadline, and the endpoint did not respond to the cancel request.
    Deadline,
    /// The response to a change exceeds the buffer limit.
    TooLong,
}

/// Outcome of a run.
#[derive(Debug)]
pub enum RelayOutcome {
    /// The endpoint is ready for the next pipeline.
    Ready {
        /// Transaction status that the endpoint reported.
        status: u8,
        /// Messages that were buffered.
        buffered: Vec<Frame>,
        /// Whether a change may have been committed.
        has_changes: bool,
    },
    /// All responses arrived; the pipeline did not end with a sync.
    Flushed {
        /// Whether a step failed, so that messages up to the next sync are skipped.
        failed: bool,
        /// Whether the next sync may commit a change.
        has_changes: bool,
    },
    /// A replica refused the pipeline as a write; nothing was sent to the caller.
    ReadOnly,
    /// The response is incomplete, and the connection is unusable.
    Lost {
        /// Cause of the loss.
        cause: Cause,
        /// Whether nothing of the response was sent to the caller.
        nothing_sent: bool,
    },
    /// The caller closed its connection or did not read its response in time.
    Disconnected,
}

/// Response that is still due from the endpoint, or from the proxy in its place.
#[derive(Debug)]
enum Expected {
    /// Response to a `Parse`, forwarded only if the caller requested it.
    Parse(Arc<PreparedStatement>, bool),
    /// Response to a `Close` that the proxy sent to evict a statement.
    InternalClose,
    /// Response of one message of this kind.
    Message(u8),
    /// Response to a `Describe`; for a statement, its parameters come first.
    Description,
    /// Response to an `Execute`.
    Execution,
    /// Response that the proxy generates.
    Local(Frame),
    /// `ReadyForQuery`.
    Ready,
}

/// Execution of one pipeline on an endpoint connection.
pub struct Relay<'a> {
    /// Connection of the caller.
    pub caller: &'a mut Caller,
    /// Endpoint connection.
    pub connection: &'a mut Connection,
    /// Registration for cancel requests.
    pub registration: &'a cancel::Registration,
    /// Monitor of the caller's session.
    pub monitor: &'a mut SessionMonitor,
    /// Part of the response to buffer.
    pub buffering: Buffering,
    /// Whether the caller has opened a transaction.
    pub in_transaction: bool,
    /// Whether an earlier pipeline, which did not end with a sync, made a change.
    pub has_changes: bool,
    /// Time at which the statement is cancelled.
    pub deadline: Instant,
    progress: Progress,
}

/// State of a run.
#[derive(Debug, Default)]
struct Progress {
    expected: VecDeque<Expected>,
    buffered: Vec<Frame>,
    buffered_bytes: usize,
    is_buffering: bool,
    has_sent: bool,
    has_changes: bool,
    failed: bool,
    refused_as_write: bool,
    ready_status: Option<u8>,
    cancel_deadline: Option<Instant>,
}

/// Early termination of a run.
enum RelayError {
    Lost(Cause),
    Disconnected,
}

impl From<endpoint::Error> for RelayError {
    fn from(_: endpoint::Error) -> Self {
        Self::Lost(Cause::Broken)
    }
}

impl<'a> Relay<'a> {
    /// Creates a run that buffers nothing.
    pub fn new(
        caller: &'a mut Caller,
        connection: &'a mut Connection,
        registration: &'a cancel::Registration,
        monitor: &'a mut SessionMonitor,
        deadline: Instant,
    ) -> Self {
        Self {
            caller,
            connection,
            registration,
            monitor,
            buffering: Buffering::Off,
            in_transaction: false,
            has_changes: false,
            deadline,
            progress: Progress::default(),
        }
    }

    /// Runs the pipeline and returns its outcome.
    pub async fn run(mut self, pipeline: &Pipeline) -> RelayOutcome {
        self.progress.is_buffering = self.buffering == Buffering::UntilFirstRow || self.has_changes;
        self.progress.has_changes = self.has_changes;
        let result = self.exchange(pipeline).await;
        let progress = self.progress;
        match result {
            Err(RelayError::Disconnected) => RelayOutcome::Disconnected,
            Err(RelayError::Lost(cause)) => RelayOutcome::Lost {
                cause,
                nothing_sent: !progress.has_sent,
            },
            Ok(()) if progress.refused_as_write => RelayOutcome::ReadOnly,
            Ok(()) => match progress.ready_status {
                Some(status) => RelayOutcome::Ready {
                    status,
                    buffered: progress.buffered,
                    has_changes: progress.has_changes,
                },
                None => RelayOutcome::Flushed {
                    failed: progress.failed,
                    has_changes: progress.has_changes,
                },
            },
        }
    }

    async fn exchange(&mut self, pipeline: &Pipeline) -> Result<(), RelayError> {
        let mut rest = pipeline.steps.as_slice();
        loop {
            rest = self.send_chunk(rest, pipeline).await?;
            while !self.progress.expected.is_empty() {
                let frame = self.receive().await?;
                self.handle_frame(frame).await?;
            }
            if self.progress.failed {
                rest = &[];
            }
            let must_sync = pipeline.ends_with_sync || self.progress.refused_as_write;
            if rest.is_empty() && (self.progress.ready_status.is_some() || !must_sync) {
                break;
            }
        }
        // Without a sync nothing is committed yet, so the response needs no confirmation.
        if !pipeline.ends_with_sync && !self.progress.refused_as_write {
            self.send_buffered().await?;
            self.flush_caller().await?;
        }
        Ok(())
    }

    /// Sends at least one step, up to the size of a chunk, and returns the remaining ones.
    async fn send_chunk<'w>(
        &mut self,
        steps: &'w [Step],
        pipeline: &Pipeline,
    ) -> Result<&'w [Step], RelayError> {
        let mut rest = steps;
        let mut bytes = 0;
        while let Some((step, remaining)) = rest.split_first() {
            bytes += self.send(step).await?;
            rest = remaining;
            if bytes >= CHUNK_BYTES {
                break;
            }
        }
        let must_sync = pipeline.ends_with_sync || self.progress.refused_as_write;
        if !pipeline.is_simple_query {
            let is_end = rest.is_empty() && must_sync;
            if is_end {
                self.progress.expected.push_back(Expected::Ready);
            }
            let last = if is_end { kind::SYNC } else { kind::FLUSH };
            self.connection.endpoint.feed(Frame::new(last, &[])).await?;
        }
        self.connection.endpoint.flush().await?;
        self.send_local_responses().await?;
        Ok(rest)
    }

    async fn send(&mut self, step: &Step) -> Result<usize, RelayError> {
        let (frame, expected) = match step {
            Step::Query(frame) => (frame.clone(), Expected::Ready),
            Step::Parse(statement) => return self.send_parse(statement).await,
            Step::Bind(frame, statement) => {
                self.ensure_prepared(statement).await?;
                (
                    work::rename_bind(frame, statement),
                    Expected::Message(kind::BIND_COMPLETE),
                )
            }
            Step::Describe(statement) => {
                self.ensure_prepared(statement).await?;
                (work::describe(statement), Expected::Description)
            }
            Step::DescribePortal(frame) => (frame.clone(), Expected::Description),
            Step::Execute(frame) => (frame.clone(), Expected::Execution),
            Step::ClosePortal(frame) => (frame.clone(), Expected::Message(kind::CLOSE_COMPLETE)),
            Step::CloseStatement => {
                let response = answer::frame(&CloseComplete::new());
                self.progress.expected.push_back(Expected::Local(response));
                return Ok(0);
            }
        };
        let bytes = frame.len();
        self.progress.expected.push_back(expected);
        self.connection.endpoint.feed(frame).await?;
        Ok(bytes)
    }

    async fn send_parse(
        &mut self,
        statement: &Arc<PreparedStatement>,
    ) -> Result<usize, RelayError> {
        if self.connection.is_prepared(statement) {
            let response = answer::frame(&ParseComplete::new());
            self.progress.expected.push_back(Expected::Local(response));
            return Ok(0);
        }
        self.send_prepare(statement, true).await
    }

    /// Prepares a statement on this connection if it is not prepared yet.
    async fn ensure_prepared(
        &mut self,
        statement: &Arc<PreparedStatement>,
    ) -> Result<(), RelayError> {
        if !self.connection.is_prepared(statement) {
            self.send_prepare(statement, false).await?;
        }
        Ok(())
    }

    async fn send_prepare(
        &mut self,
        statement: &Arc<PreparedStatement>,
        is_requested: bool,
    ) -> Result<usize, RelayError> {
        if let Some(oldest) = self.connection.insert_prepared(statement) {
            self.progress.expected.push_back(Expected::InternalClose);
            self.connection.endpoint.feed(work::close(&oldest)).await?;
        }
        let frame = work::parse(statement);
        let bytes = frame.len();
        let expected = Expected::Parse(Arc::clone(statement), is_requested);
        self.progress.expected.push_back(expected);
        self.connection.endpoint.feed(frame).await?;
        Ok(bytes)
    }

    /// Receives the next message; cancels the statement at its deadline.
    async fn receive(&mut self) -> Result<Frame, RelayError> {
        if !self.connection.endpoint.has_buffered_input() {
            self.flush_caller().await?;
        }
        loop {
            let deadline = self.effective_deadline();
            tokio::select! {
                biased;
                frame = self.connection.endpoint.receive() => return Ok(frame?),
                () = sleep_until(deadline.into()) => self.handle_deadline().await?,
                () = self.monitor.wait_for_change() => self.monitor.refresh(Instant::now()),
            }
        }
    }

    fn effective_deadline(&self) -> Instant {
        let limit = self
            .monitor
            .termination()
            .map(|termination| termination.deadline);
        let deadline = limit.map_or(self.deadline, |limit| limit.min(self.deadline));
        self.progress.cancel_deadline.unwrap_or(deadline)
    }

    async fn handle_deadline(&mut self) -> Result<(), RelayError> {
        if self.progress.cancel_deadline.is_some() {
            return Err(RelayError::Lost(Cause::Deadline));
        }
        self.progress.cancel_deadline = Some(Instant::now() + CANCEL_GRACE);
        self.registration.cancel().await;
        Ok(())
    }

    async fn handle_frame(&mut self, frame: Frame) -> Result<(), RelayError> {
        match frame.kind() {
            kind::NOTIFICATION => Ok(()),
            kind::NOTICE | kind::PARAMETER_STATUS => self.forward(frame).await,
            kind::ERROR => self.handle_error(frame).await,
            kind::READY => {
                self.handle_ready(&frame);
                Ok(())
            }
            // Copies are refused by their class; this aborts one that reaches the endpoint
            // nevertheless.
            kind::COPY_IN => self.refuse_copy().await,
            _ => self.handle_response(frame).await,
        }
    }

    fn handle_ready(&mut self, frame: &Frame) {
        self.progress.expected.clear();
        self.progress.ready_status = Some(
            frame
                .transaction_status()
                .unwrap_or(transaction_status::FAILED),
        );
    }

    async fn handle_error(&mut self, frame: Frame) -> Result<(), RelayError> {
        let awaits_ready = matches!(self.progress.expected.back(), Some(Expected::Ready));
        for expected in self.progress.expected.drain(..) {
            if let Expected::Parse(statement, _) = expected {
                self.connection.remove_prepared(&statement);
            }
        }
        if awaits_ready {
            self.progress.expected.push_back(Expected::Ready);
        }
        self.progress.failed = true;
        let is_read_only_error = frame.error_field(b'C') == Some(READ_ONLY);
        if is_read_only_error
            && self.buffering == Buffering::UntilFirstRow
            && self.progress.is_buffering
        {
            self.progress.refused_as_write = true;
            return Ok(());
        }
        if self.buffering == Buffering::UntilFirstRow {
            self.stop_buffering().await?;
        }
        // Outside of a transaction only a demoted member refuses a change like this, and it rolls
        // the whole message back.
        if is_read_only_error && self.buffering == Buffering::AfterChange && !self.in_transaction {
            let refusal = Refusal::not_run(SqlState::Unavailable, "the primary is being replaced");
            return self.forward(refusal.error()).await;
        }
        self.forward(frame).await
    }

    async fn refuse_copy(&mut self) -> Result<(), RelayError> {
        let reason = Bytes::from_static(b"not available through the proxy\0");
        self.connection
            .endpoint
            .feed(Frame::new(kind::COPY_FAIL, &reason))
            .await?;
        Ok(self.connection.endpoint.flush().await?)
    }

    async fn handle_response(&mut self, frame: Frame) -> Result<(), RelayError> {
        let kind = frame.kind();
        let is_last = match self.progress.expected.front() {
            Some(Expected::Parse(_, is_requested)) if !is_requested => return self.discard().await,
            Some(Expected::InternalClose) => return self.discard().await,
            Some(Expected::Parse(..)) => kind == kind::PARSE_COMPLETE,
            Some(Expected::Message(expected)) => kind == *expected,
            Some(Expected::Description) => matches!(kind, b'T' | b'n'),
            Some(Expected::Execution) => {
                matches!(
                    kind,
                    kind::COMMAND_COMPLETE | kind::EMPTY_QUERY | kind::PORTAL_SUSPENDED
                )
            }
            _ => false,
        };
        self.track_completion(&frame);
        if self.buffering == Buffering::UntilFirstRow
            && matches!(kind, kind::DATA_ROW | kind::COMMAND_COMPLETE)
        {
            self.stop_buffering().await?;
        }
        self.forward(frame).await?;
        if is_last {
            self.progress.expected.pop_front();
            self.send_local_responses().await?;
        }
        Ok(())
    }

    async fn discard(&mut self) -> Result<(), RelayError> {
        self.progress.expected.pop_front();
        self.send_local_responses().await
    }

    /// Forwards the proxy's own responses at the head of the queue.
    async fn send_local_responses(&mut self) -> Result<(), RelayError> {
        while let Some(Expected::Local(_)) = self.progress.expected.front() {
            if let Some(Expected::Local(frame)) = self.progress.expected.pop_front() {
                self.forward(frame).await?;
            }
        }
        Ok(())
    }

    /// Tracks transactions by the tags of completions, and starts buffering after a change.
    fn track_completion(&mut self, frame: &Frame) {
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
                self.record_change();
            }
            _ if !self.in_transaction => self.record_change(),
            _ => {}
        }
    }

    fn record_change(&mut self) {
        if self.buffering == Buffering::AfterChange {
            self.progress.has_changes = true;
            self.progress.is_buffering = true;
        }
    }

    /// Forwards or buffers a message.
    async fn forward(&mut self, frame: Frame) -> Result<(), RelayError> {
        if !self.progress.is_buffering {
            return self.send_to_caller(frame).await;
        }
        self.progress.buffered_bytes += frame.len();
        self.progress.buffered.push(frame);
        if self.progress.buffered_bytes <= MAX_BUFFERED_BYTES {
            return Ok(());
        }
        match self.buffering {
            Buffering::UntilFirstRow => self.stop_buffering().await,
            _ => Err(RelayError::Lost(Cause::TooLong)),
        }
    }

    /// Sends the buffered start of a read; the read can't run on another member from then on.
    async fn stop_buffering(&mut self) -> Result<(), RelayError> {
        if self.buffering != Buffering::UntilFirstRow || !self.progress.is_buffering {
            return Ok(());
        }
        self.send_buffered().await
    }

    async fn send_buffered(&mut self) -> Result<(), RelayError> {
        self.progress.is_buffering = false;
        for frame in std::mem::take(&mut self.progress.buffered) {
            self.send_to_caller(frame).await?;
        }
        Ok(())
    }

    async fn send_to_caller(&mut self, frame: Frame) -> Result<(), RelayError> {
        self.progress.has_sent = true;
        let deadline = self.effective_deadline() + CALLER_READ_GRACE;
        let fed = timeout_at(deadline.into(), self.caller.feed(frame)).await;
        fed.ok()
            .and_then(Result::ok)
            .ok_or(RelayError::Disconnected)
    }

    async fn flush_caller(&mut self) -> Result<(), RelayError> {
        let deadline = self.effective_deadline() + CALLER_READ_GRACE;
        let flush = SinkExt::<Frame>::flush(&mut *self.caller);
        let flushed = timeout_at(deadline.into(), flush).await;
        flushed
            .ok()
            .and_then(Result::ok)
            .ok_or(RelayError::Disconnected)
    }
}

impl std::fmt::Debug for Relay<'_> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Relay")
            .field("buffering", &self.buffering)
            .field("progress", &self.progress)
            .finish_non_exhaustive()
    }
}

/// Returns the `BindComplete` message, for pipelines that the proxy answers itself.
pub fn bind_complete() -> Frame {
    answer::frame(&BindComplete::new())
}
