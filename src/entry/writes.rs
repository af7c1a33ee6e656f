//! Non-idempotent writes, at most once.
//!
//! What goes wrong otherwise: a write runs, its answer is lost, the caller repeats it through
//! another entry instance, and it runs again on another runner. So the ledger names the runner
//! before the write is sent; the frame is sent at most once to a runner; a repeat asks that
//! runner what became of it. "Busy" from the runner means not run there, for good, and only
//! then is the record moved and the write sent elsewhere. A runner that has restarted has
//! forgotten what it ran: then the outcome is unknown, and is said so.

use crate::entry::ledger::{Claimed, Ledger, LedgerError};
use crate::entry::route::{Pool, RouteError, RunnerKey};
use crate::entry::rows::WriteRow;
use crate::kernel::clock::Clock;
use crate::wire::Frame;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Most runners that one request moves a write through.
const MOVES: usize = 3;

/// When to ask again about a write whose outcome is not known, ms.
const UNKNOWN_MS: u64 = 1_000;

/// Outcome of a write.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WriteDone {
    /// Write id.
    pub write: String,
    /// Executions of this id on that runner.
    pub runs: u64,
    /// Runner that ran it.
    pub runner: String,
}

/// Why a write has no outcome.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum WriteError {
    /// Not run: no record of it could be made.
    #[error("not run: {0}")]
    Ledger(#[from] LedgerError),
    /// Not run: no runner takes it now.
    #[error("not run: {0}")]
    Refused(RouteError),
    /// Sent, and the outcome is not known: it may have run, and is not run again. Ask again with
    /// the same id after `retry_ms`.
    #[error("outcome unknown: sent to {runner}, ask again with the same id")]
    Unknown {
        /// Runner it was sent to.
        runner: String,
        /// When to ask again.
        retry_ms: u64,
    },
}

/// Where a write stands.
enum Step {
    /// Settled.
    Done(WriteDone),
    /// The record at this version may be moved: the runner refused for good.
    Refused(u64, RunnerKey, RouteError),
}

/// The write path of one entry instance.
pub struct Writes {
    /// Connections to runners.
    pub pool: Arc<Pool>,
    /// The ledger.
    pub ledger: Arc<Ledger>,
    /// The process clock.
    pub clock: Clock,
    /// Deadline of one write, ms.
    pub write_ms: u64,
}

impl Writes {
    /// Runs write `id` at most once, or says what became of it.
    pub async fn run(&self, id: &str, body: &str) -> Result<WriteDone, WriteError> {
        let deadline = self.clock.now() + self.write_ms;
        let mut tried: Vec<RunnerKey> = Vec::new();
        let mut version = 0;
        let mut last = RouteError::NoRunner { retry_ms: self.pool.retry_ms() };
        for _ in 0..MOVES {
            let Some(k) = self.pool.pick(&tried) else { break };
            let Some((runner, incarnation)) = self.pool.identity(k) else { break };
            let row = WriteRow { runner, incarnation, runs: None };
            let step = match self.ledger.record(id, row.clone(), version).await? {
                Claimed::Recorded(v) => self.send(k, &row, v, id, body, deadline).await?,
                Claimed::Other(row, v) => self.ask(&row, v, id, deadline).await?,
            };
            match step {
                Step::Done(done) => return Ok(done),
                Step::Refused(v, k, e) => {
                    version = v;
                    last = e;
                    tried.push(k);
                }
            }
        }
        Err(WriteError::Refused(last))
    }

    /// Sends the write to the runner just recorded.
    async fn send(
        &self,
        k: RunnerKey,
        row: &WriteRow,
        version: u64,
        id: &str,
        body: &str,
        deadline: u64,
    ) -> Result<Step, WriteError> {
        let left = deadline.saturating_sub(self.clock.now()).max(1);
        let make = |n| Frame::Write { id: n, write: id.to_string(), body: body.to_string() };
        match self.pool.exchange(k, row.incarnation, left, make).await {
            // Never left this process, and whoever asks about it will be told "busy" by the
            // runner for good, or find the runner gone.
            Err(e @ RouteError::NoRunner { .. }) => Ok(Step::Refused(version, k, e)),
            other => self.settle(k, row, version, id, other),
        }
    }

    /// Asks the runner that the record names what became of the write.
    async fn ask(
        &self,
        row: &WriteRow,
        version: u64,
        id: &str,
        deadline: u64,
    ) -> Result<Step, WriteError> {
        if let Some(runs) = row.runs {
            let runner = row.runner.clone();
            return Ok(Step::Done(WriteDone { write: id.to_string(), runs, runner }));
        }
        let Some(k) = self.pool.find(&row.runner, row.incarnation) else {
            return Err(unknown(row));
        };
        let left = deadline.saturating_sub(self.clock.now()).max(1);
        let make = |n| Frame::Query { id: n, write: id.to_string() };
        let got = self.pool.exchange(k, row.incarnation, left, make).await;
        self.settle(k, row, version, id, got)
    }

    fn settle(
        &self,
        k: RunnerKey,
        row: &WriteRow,
        version: u64,
        id: &str,
        got: Result<Frame, RouteError>,
    ) -> Result<Step, WriteError> {
        match got {
            Ok(Frame::Done { write, runs, .. }) if write == id => {
                self.pool.note(k, true);
                let done = WriteRow { runs: Some(runs), ..row.clone() };
                self.ledger.note(id, done, version);
                let runner = row.runner.clone();
                Ok(Step::Done(WriteDone { write, runs, runner }))
            }
            Ok(Frame::Busy { retry_ms, .. }) => {
                Ok(Step::Refused(version, k, RouteError::Busy { retry_ms }))
            }
            _ => {
                self.pool.note(k, false);
                Err(unknown(row))
            }
        }
    }
}

fn unknown(row: &WriteRow) -> WriteError {
    WriteError::Unknown { runner: row.runner.clone(), retry_ms: UNKNOWN_MS }
}
