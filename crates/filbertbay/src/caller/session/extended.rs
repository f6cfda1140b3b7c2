//! Extended protocol of a session, and what the proxy answers itself.

use std::sync::Arc;

use bytes::Buf;
use filbertbay_protocol::sql::{self, StatementClass};
use filbertbay_transport::wire::{Frame, kind};
use futures::SinkExt;
use pgwire::messages::data::{NoData, ParameterDescription};
use pgwire::messages::extendedquery::{CloseComplete, ParseComplete};

use super::super::answer::{self, Refusal, State};
use super::super::relay;
use super::super::work::{Step, Work};
use super::{Close, Session, Transaction, protocol};
use crate::pool::Prepared;

/// Bytes that a caller may send before a sync or flush.
const MAX_PENDING_BYTES: usize = 16 << 20;

/// Statements that one session may keep prepared.
const MAX_STATEMENTS: usize = 4_096;

/// Target of a describe or close: a prepared statement.
const STATEMENT: u8 = b'S';

impl Session {
    /// Takes a message of the extended protocol up to the next sync or flush.
    pub(super) async fn take_extended(&mut self, frame: Frame) -> Result<(), Close> {
        if self.is_skipping {
            return Ok(());
        }
        self.pending.bytes += frame.len();
        if self.pending.bytes > MAX_PENDING_BYTES {
            let message = "the pipeline is too long; sync more often";
            return self.skip(&Refusal::not_run(State::TooLong, message)).await;
        }
        let added = match frame.kind() {
            kind::PARSE => self.add_parse(&frame)?,
            kind::BIND => self.add_bind(frame)?,
            kind::DESCRIBE => self.add_describe(frame)?,
            kind::EXECUTE => {
                self.pending.cost += 1;
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

    /// Runs what is pending.
    pub(super) async fn run_pending(&mut self, ends: bool) -> Result<(), Close> {
        let mut work = std::mem::take(&mut self.pending);
        work.ends = ends;
        if self.is_skipping || (work.steps.is_empty() && !ends) {
            return Ok(());
        }
        self.execute(work).await
    }

    /// Drops what is pending and skips to the next sync; nothing of it has run.
    async fn skip(&mut self, refusal: &Refusal) -> Result<(), Close> {
        self.pending = Work::default();
        self.is_skipping = true;
        Ok(self.caller.send(refusal.error()).await?)
    }

    fn add_parse(&mut self, frame: &Frame) -> Result<Result<Step, Refusal>, Close> {
        let malformed = || protocol("malformed parse");
        let name = frame.str_at(0).ok_or_else(malformed)?;
        let sql = frame.str_at(name.len() + 1).ok_or_else(malformed)?;
        let types =
            read_types(&frame.body()[name.len() + sql.len() + 2..]).ok_or_else(malformed)?;
        let is_named = !name.is_empty();
        if is_named && self.statements.contains_key(name) {
            let message = format!("prepared statement \"{name}\" exists already");
            return Ok(Err(Refusal::not_run(State::DuplicateStatement, message)));
        }
        if self.statements.len() >= MAX_STATEMENTS {
            let message = "too many prepared statements in the session";
            return Ok(Err(Refusal::not_run(State::TooLong, message)));
        }
        let hasher = self.context.pool.hasher();
        let batch = sql::classify(sql);
        let statement = Arc::new(Prepared::new(hasher, is_named, sql, &types, batch));
        self.statements.insert(name.into(), Arc::clone(&statement));
        self.note_prepared(&statement);
        Ok(Ok(Step::Parse(statement)))
    }

    fn add_bind(&mut self, frame: Frame) -> Result<Result<Step, Refusal>, Close> {
        let malformed = || protocol("malformed bind");
        let portal = frame.str_at(0).ok_or_else(malformed)?;
        let name = frame.str_at(portal.len() + 1).ok_or_else(malformed)?;
        let Some(statement) = self.statements.get(name).cloned() else {
            return Ok(Err(unknown(name)));
        };
        let batch = &statement.batch;
        self.pending.classes.extend_from_slice(batch.classes());
        self.pending.staleness = self.pending.staleness.or(batch.max_staleness());
        Ok(Ok(Step::Bind(frame, statement)))
    }

    fn add_describe(&mut self, frame: Frame) -> Result<Result<Step, Refusal>, Close> {
        let target = frame.body().first().copied();
        let name = frame
            .str_at(1)
            .ok_or_else(|| protocol("malformed describe"))?;
        if target != Some(STATEMENT) {
            return Ok(Ok(Step::DescribePortal(frame)));
        }
        let Some(statement) = self.statements.get(name).cloned() else {
            return Ok(Err(unknown(name)));
        };
        self.note_prepared(&statement);
        Ok(Ok(Step::Describe(statement)))
    }

    fn add_close(&mut self, frame: Frame) -> Result<Step, Close> {
        let target = frame.body().first().copied();
        let name = frame.str_at(1).ok_or_else(|| protocol("malformed close"))?;
        if target != Some(STATEMENT) {
            return Ok(Step::ClosePortal(frame));
        }
        self.statements.remove(name);
        Ok(Step::CloseStatement)
    }

    fn note_prepared(&mut self, statement: &Prepared) {
        self.pending
            .prepared
            .extend_from_slice(statement.batch.classes());
        self.pending.staleness = self.pending.staleness.or(statement.batch.max_staleness());
    }

    /// Answers work that needs no endpoint.
    pub(super) async fn answer_local(&mut self, work: &Work) -> Result<(), Close> {
        let is_unsynced = matches!(&self.transaction, Transaction::Open(open) if open.is_unsynced);
        if is_unsynced && work.ends {
            return self.sync_endpoint(work).await;
        }
        let class = work.classes.first().or(work.prepared.first()).cloned();
        let tag = match &class {
            Some(StatementClass::Acknowledged(tag)) => *tag,
            Some(StatementClass::SetMaxStaleness(_)) => "SET",
            Some(StatementClass::Deallocate(Some(name))) if !self.statements.contains_key(name) => {
                return self.refuse(work, &unknown(name)).await;
            }
            Some(StatementClass::Deallocate(Some(_))) => "DEALLOCATE",
            Some(StatementClass::Deallocate(None)) => "DEALLOCATE ALL",
            _ => "",
        };
        if work.cost > 0 {
            self.apply(class.as_ref());
        }
        self.answer_steps(work, tag).await
    }

    /// Passes a sync on for steps that ran without one.
    async fn sync_endpoint(&mut self, work: &Work) -> Result<(), Close> {
        if work.steps.is_empty() {
            return self.run_on_endpoint(work).await;
        }
        let message = "a setting of the proxy must be in a pipeline of its own";
        self.skip(&Refusal::not_run(State::Unsupported, message))
            .await?;
        self.is_skipping = false;
        let sync = Work {
            ends: true,
            ..Work::default()
        };
        self.run_on_endpoint(&sync).await
    }

    fn apply(&mut self, class: Option<&StatementClass>) {
        match class {
            Some(StatementClass::SetMaxStaleness(age)) => self.staleness = *age,
            Some(StatementClass::Acknowledged("DISCARD ALL")) => {
                self.staleness = None;
                self.statements.clear();
            }
            Some(StatementClass::Deallocate(None)) => self.statements.clear(),
            Some(StatementClass::Deallocate(Some(name))) => {
                self.statements.remove(name);
            }
            _ => {}
        }
    }

    /// Answers each step as if it had run and completed with a tag.
    pub(super) async fn answer_steps(&mut self, work: &Work, tag: &str) -> Result<(), Close> {
        for step in &work.steps {
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
        if work.ends {
            self.answer_ready().await
        } else {
            Ok(SinkExt::<Frame>::flush(&mut self.caller).await?)
        }
    }
}

fn unknown(name: &str) -> Refusal {
    let message = format!("prepared statement \"{name}\" does not exist");
    Refusal::not_run(State::UnknownStatement, message)
}

/// Reads the parameter types at the end of a parse.
fn read_types(mut bytes: &[u8]) -> Option<Vec<u32>> {
    let count = bytes.try_get_u16().ok()?;
    (0..count).map(|_| bytes.try_get_u32().ok()).collect()
}
