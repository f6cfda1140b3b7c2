//! Extended query protocol of a session, and the pipelines that the proxy answers itself.

use std::sync::Arc;

use bytes::Buf;
use filbertbay_protocol::sql::{self, StatementClass};
use filbertbay_transport::wire::{Frame, kind};
use futures::SinkExt;
use pgwire::messages::data::{NoData, ParameterDescription};
use pgwire::messages::extendedquery::{CloseComplete, ParseComplete};

use super::super::answer::{self, Refusal, SqlState};
use super::super::relay;
use super::super::work::{Pipeline, Step};
use super::{Session, SessionEnd, Transaction, protocol_error};
use crate::pool::PreparedStatement;

/// Largest pipeline before a sync or flush, in bytes.
const MAX_PENDING_BYTES: usize = 16 << 20;

/// Prepared statements per session.
const MAX_STATEMENTS: usize = 4_096;

/// Marks a prepared statement, as opposed to a portal, in a describe or close.
const STATEMENT: u8 = b'S';

impl Session {
    /// Adds a message of the extended protocol to the pending pipeline.
    pub(super) async fn handle_extended(&mut self, frame: Frame) -> Result<(), SessionEnd> {
        if self.is_skipping {
            return Ok(());
        }
        self.pending.bytes += frame.len();
        if self.pending.bytes > MAX_PENDING_BYTES {
            let message = "the pipeline is too long; sync more often";
            return self
                .skip(&Refusal::not_run(SqlState::TooLarge, message))
                .await;
        }
        let added = match frame.kind() {
            kind::PARSE => self.add_parse(&frame)?,
            kind::BIND => self.add_bind(frame)?,
            kind::DESCRIBE => self.add_describe(frame)?,
            kind::EXECUTE => {
                self.pending.statement_count += 1;
                Ok(Step::Execute(frame))
            }
            _ => Ok(self.add_close(frame)?),
        };
        match added {
            Ok(step) => {
                self.pending.steps.push(step);
                Ok(())
            }
            Err(refusal) => self.skip(&refusal).await,
        }
    }

    /// Runs the pending pipeline.
    pub(super) async fn run_pending(&mut self, ends_with_sync: bool) -> Result<(), SessionEnd> {
        let mut pipeline = std::mem::take(&mut self.pending);
        pipeline.ends_with_sync = ends_with_sync;
        if self.is_skipping || (pipeline.steps.is_empty() && !ends_with_sync) {
            return Ok(());
        }
        self.execute(pipeline).await
    }

    /// Discards the pending pipeline, of which nothing has run, and skips messages up to the next
    /// sync.
    async fn skip(&mut self, refusal: &Refusal) -> Result<(), SessionEnd> {
        self.pending = Pipeline::default();
        self.is_skipping = true;
        Ok(self.caller.send(refusal.error()).await?)
    }

    fn add_parse(&mut self, frame: &Frame) -> Result<Result<Step, Refusal>, SessionEnd> {
        let malformed = || protocol_error("malformed parse");
        let name = frame.str_at(0).ok_or_else(malformed)?;
        let sql = frame.str_at(name.len() + 1).ok_or_else(malformed)?;
        let types =
            read_types(&frame.body()[name.len() + sql.len() + 2..]).ok_or_else(malformed)?;
        let is_named = !name.is_empty();
        if is_named && self.statements.contains_key(name) {
            let message = format!("prepared statement \"{name}\" exists already");
            return Ok(Err(Refusal::not_run(SqlState::DuplicateStatement, message)));
        }
        if self.statements.len() >= MAX_STATEMENTS {
            let message = "too many prepared statements in the session";
            return Ok(Err(Refusal::not_run(SqlState::TooLarge, message)));
        }
        let hasher = self.context.pool.hasher();
        let batch = sql::classify(sql);
        let statement = Arc::new(PreparedStatement::new(hasher, is_named, sql, &types, batch));
        self.statements.insert(name.into(), Arc::clone(&statement));
        self.record_prepared(&statement);
        Ok(Ok(Step::Parse(statement)))
    }

    fn add_bind(&mut self, frame: Frame) -> Result<Result<Step, Refusal>, SessionEnd> {
        let malformed = || protocol_error("malformed bind");
        let portal = frame.str_at(0).ok_or_else(malformed)?;
        let name = frame.str_at(portal.len() + 1).ok_or_else(malformed)?;
        let Some(statement) = self.statements.get(name).cloned() else {
            return Ok(Err(unknown(name)));
        };
        let batch = &statement.batch;
        self.pending.classes.extend_from_slice(batch.classes());
        self.pending.max_staleness = self.pending.max_staleness.or(batch.max_staleness());
        Ok(Ok(Step::Bind(frame, statement)))
    }

    fn add_describe(&mut self, frame: Frame) -> Result<Result<Step, Refusal>, SessionEnd> {
        let target = frame.body().first().copied();
        let name = frame
            .str_at(1)
            .ok_or_else(|| protocol_error("malformed describe"))?;
        if target != Some(STATEMENT) {
            return Ok(Ok(Step::DescribePortal(frame)));
        }
        let Some(statement) = self.statements.get(name).cloned() else {
            return Ok(Err(unknown(name)));
        };
        self.record_prepared(&statement);
        Ok(Ok(Step::Describe(statement)))
    }

    fn add_close(&mut self, frame: Frame) -> Result<Step, SessionEnd> {
        let target = frame.body().first().copied();
        let name = frame
            .str_at(1)
            .ok_or_else(|| protocol_error("malformed close"))?;
        if target != Some(STATEMENT) {
            return Ok(Step::ClosePortal(frame));
        }
        self.statements.remove(name);
        Ok(Step::CloseStatement)
    }

    fn record_prepared(&mut self, statement: &PreparedStatement) {
        self.pending
            .prepared_classes
            .extend_from_slice(statement.batch.classes());
        self.pending.max_staleness = self
            .pending
            .max_staleness
            .or(statement.batch.max_staleness());
    }

    /// Responds to a pipeline that needs no endpoint.
    pub(super) async fn answer_local(&mut self, pipeline: &Pipeline) -> Result<(), SessionEnd> {
        let is_unsynced =
            matches!(&self.transaction, Transaction::Open(active) if active.is_unsynced);
        if is_unsynced && pipeline.ends_with_sync {
            return self.sync_endpoint(pipeline).await;
        }
        let class = pipeline
            .classes
            .first()
            .or(pipeline.prepared_classes.first())
            .cloned();
        let tag = match &class {
            Some(StatementClass::Acknowledged(tag)) => *tag,
            Some(StatementClass::SetMaxStaleness(_)) => "SET",
            Some(StatementClass::Deallocate(Some(name))) if !self.statements.contains_key(name) => {
                return self.refuse(pipeline, &unknown(name)).await;
            }
            Some(StatementClass::Deallocate(Some(_))) => "DEALLOCATE",
            Some(StatementClass::Deallocate(None)) => "DEALLOCATE ALL",
            _ => "",
        };
        if pipeline.statement_count > 0 {
            self.apply(class.as_ref());
        }
        self.answer_steps(pipeline, tag).await
    }

    /// Forwards the sync of a pipeline whose earlier steps ran without one.
    async fn sync_endpoint(&mut self, pipeline: &Pipeline) -> Result<(), SessionEnd> {
        if pipeline.steps.is_empty() {
            return self.run_on_endpoint(pipeline).await;
        }
        let message = "a setting of the proxy must be in a pipeline of its own";
        self.skip(&Refusal::not_run(SqlState::Unsupported, message))
            .await?;
        self.is_skipping = false;
        let sync = Pipeline {
            ends_with_sync: true,
            ..Pipeline::default()
        };
        self.run_on_endpoint(&sync).await
    }

    fn apply(&mut self, class: Option<&StatementClass>) {
        match class {
            Some(StatementClass::SetMaxStaleness(age)) => self.max_staleness = *age,
            Some(StatementClass::Acknowledged("DISCARD ALL")) => {
                self.max_staleness = None;
                self.statements.clear();
            }
            Some(StatementClass::Deallocate(None)) => self.statements.clear(),
            Some(StatementClass::Deallocate(Some(name))) => {
                self.statements.remove(name);
            }
            _ => {}
        }
    }

    /// Responds to each step as if it had completed with a tag; an empty tag stands for an empty
    /// query.
    pub(super) async fn answer_steps(
        &mut self,
        pipeline: &Pipeline,
        tag: &str,
    ) -> Result<(), SessionEnd> {
        for step in &pipeline.steps {
            let frames = match step {
                Step::Query(_) | Step::Execute(_) if tag.is_empty() => vec![answer::empty()],
                Step::Query(_) | Step::Execute(_) => vec![answer::complete(tag)],
                Step::Parse(_) => vec![answer::frame(&ParseComplete::new())],
                Step::Bind(..) => vec![relay::bind_complete()],
                Step::Describe(_) => vec![
                    answer::frame(&ParameterDescription::new(Vec::new())),
                    answer::frame(&NoData::new()),
                ],
                Step::DescribePortal(_) => vec![answer::frame(&NoData::new())],
                Step::ClosePortal(_) | Step::CloseStatement => {
                    vec![answer::frame(&CloseComplete::new())]
                }
            };
            for frame in frames {
                self.caller.feed(frame).await?;
            }
        }
        if pipeline.ends_with_sync {
            self.answer_ready().await
        } else {
            Ok(SinkExt::<Frame>::flush(&mut self.caller).await?)
        }
    }
}

fn unknown(name: &str) -> Refusal {
    let message = format!("prepared statement \"{name}\" does not exist");
    Refusal::not_run(SqlState::UnknownStatement, message)
}

/// Parses the parameter types at the end of a `Parse` message; `None` if they are truncated.
fn read_types(mut bytes: &[u8]) -> Option<Vec<u32>> {
    let count = bytes.try_get_u16().ok()?;
    (0..count).map(|_| bytes.try_get_u32().ok()).collect()
}
