//! Non-idempotent writes, at most once.
//!
//! A write whose answer is lost could run a second time on another runner when the caller repeats
//! it through another entry instance. The ledger therefore records the runner before the write is
//! sent, the frame is sent to a runner at most once, and a repeat queries that runner
//! for the outcome. A `Busy` answer means that the runner has not run the write and never will;
//! only then is the record changed to another runner and the write sent there. A restarted runner
//! no longer has the outcomes of its previous incarnation, so the outcome is then reported
//! as unknown.

use crate::entry::ledger::{Ledger, LedgerError, RecordResult};
use crate::entry::route::{Pool, RouteError, RunnerKey};
use crate::entry::rows::WriteRow;
use crate::kernel::clock::Clock;
use crate::wire::Frame;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Most runners that are tried for one request.
const MAX_RUNNERS_TRIED: usize = 3;

/// Retry delay sent to the caller of a write with unknown outcome, ms.
const UNKNOWN_RETRY_MS: u64 = 1_000;

/// Outcome of a write.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WriteDone {
    /// Id of the write.
    pub write: String,
    /// Number of executions of the write on that runner.
    pub runs: u64,
    /// Runner that executed the write.
    pub runner: String,
}

/// Reason why a write has no outcome.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum WriteError {
    /// The write did not run, as no record could be committed.
    #[error("not run: {0}")]
    Ledger(#[from] LedgerError),
    /// The write did not run, as no runner accepts it now.
    #[error("not run: {0}")]
    Refused(RouteError),
    /// The write was sent and may have run; it will not run again. The caller may repeat it with
    /// the same id after `retry_ms` to query the outcome.
    #[error("outcome unknown: sent to {runner}, ask again with the same id")]
    Unknown {
        /// Runner to which the write was sent.
        runner: String,
        /// Delay before a repeat, ms.
        retry_ms: u64,
    },
}

/// Result of one attempt to run a write or to query its outcome.
enum Progress {
    /// The write has run.
    Done(WriteDone),
    /// The runner has refused the write permanently, so the record at this version may be changed
    /// to another runner.
    Refused(u64, RunnerKey, RouteError),
}

/// The write path of one entry instance.
pub struct Writes {
    /// Connections to the runners.
    pub pool: Arc<Pool>,
    /// Ledger of writes.
    pub ledger: Arc<Ledger>,
    /// The process clock.
    pub clock: Clock,
    /// Deadline of one write, ms.
    pub write_ms: u64,
}

impl Writes {
    /// Runs write `id` at most once, and returns its outcome or the one of an earlier request.
    pub async fn run(&self, id: &str, body: &str) -> Result<WriteDone, WriteError> {
        let deadline = self.clock.now() + self.write_ms;
        let mut tried: Vec<RunnerKey> = Vec::new();
        let mut version = 0;
        let mut last_refusal = RouteError::NoRunner { retry_ms: self.pool.retry_ms() };
        for _ in 0..MAX_RUNNERS_TRIED {
            let Some(k) = self.pool.pick(&tried) else { break };
            let Some((runner, incarnation)) = self.pool.identity(k) else { break };
            let row = WriteRow { runner, incarnation, runs: None };
            let progress = match self.ledger.record(id, row.clone(), version).await? {
                RecordResult::Recorded(v) => self.send(k, &row, v, id, body, deadline).await?,
                RecordResult::VersionMismatch(row, v) => self.query(&row, v, id, deadline).await?,
            };
            match progress {
                Progress::Done(done) => return Ok(done),
                Progress::Refused(v, k, e) => {
                    version = v;
                    last_refusal = e;
                    tried.push(k);
                }
            }
        }
        Err(WriteError::Refused(last_refusal))
    }

    /// Sends the write to runner `k`, for which the record was just committed.
    async fn send(
        &self,
        k: RunnerKey,
        row: &WriteRow,
        version: u64,
        id: &str,
        body: &str,
        deadline: u64,
    ) -> Result<Progress, WriteError> {
        let remaining = deadline.saturating_sub(self.clock.now()).max(1);
        let make = |n| Frame::Write { id: n, write: id.to_string(), body: body.to_string() };
        match self.pool.exchange(k, row.incarnation, remaining, make).await {
            // Nothing was sent. A later query for the write gets `Busy` from the runner, or finds
            // that the runner has restarted.
            Err(e @ RouteError::NoRunner { .. }) => Ok(Progress::Refused(version, k, e)),
            reply => self.handle_reply(k, row, version, id, reply),
        }
    }

    /// Returns the recorded outcome of the write, or queries the runner named in the record.
    async fn query(
        &self,
        row: &WriteRow,
        version: u64,
        id: &str,
        deadline: u64,
    ) -> Result<Progress, WriteError> {
        if let Some(runs) = row.runs {
            let runner = row.runner.clone();
            return Ok(Progress::Done(WriteDone { write: id.to_string(), runs, runner }));
        }
        let Some(k) = self.pool.find(&row.runner, row.incarnation) else {
            return Err(unknown(row));
        };
        let remaining = deadline.saturating_sub(self.clock.now()).max(1);
        let make = |n| Frame::Query { id: n, write: id.to_string() };
        let reply = self.pool.exchange(k, row.incarnation, remaining, make).await;
        self.handle_reply(k, row, version, id, reply)
    }

    /// Converts the reply of runner `k` to a write or a query, and records the outcome.
    fn handle_reply(
        &self,
        k: RunnerKey,
        row: &WriteRow,
        version: u64,
        id: &str,
        reply: Result<Frame, RouteError>,
    ) -> Result<Progress, WriteError> {
        match reply {
            Ok(Frame::Done { write, runs, .. }) if write == id => {
                self.pool.record_result(k, true);
                let done = WriteRow { runs: Some(runs), ..row.clone() };
                self.ledger.record_outcome(id, done, version);
                let runner = row.runner.clone();
                Ok(Progress::Done(WriteDone { write, runs, runner }))
            }
            Ok(Frame::Busy { retry_ms, .. }) => {
                Ok(Progress::Refused(version, k, RouteError::Busy { retry_ms }))
            }
            _ => {
                self.pool.record_result(k, false);
                Err(unknown(row))
            }
        }
    }
}

/// Builds the error for a write with unknown outcome.
fn unknown(row: &WriteRow) -> WriteError {
    WriteError::Unknown { runner: row.runner.clone(), retry_ms: UNKNOWN_RETRY_MS }
}
