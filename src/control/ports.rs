//! Interfaces of the control plane to the store, the runners and the advice service. `platform/`
//! implements them over the users' protocol; tests implement them in memory.

use super::model::{Attempt, Born, EndKind, StepId, TaskId};
use crate::kernel::res::Resources;
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// Key of a row. Rows of one partition, of any tables, can be written in one transaction.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Key {
    /// Table.
    pub table: String,
    /// Partition.
    pub part: String,
    /// Key within the partition.
    pub key: String,
}

impl Key {
    /// Builds a key.
    pub fn new(table: &str, part: &str, key: &str) -> Self {
        Self { table: table.into(), part: part.into(), key: key.into() }
    }
}

/// A row as read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    /// Its key.
    pub key: Key,
    /// Its value.
    pub value: Vec<u8>,
    /// Version: number of the transaction that wrote the row; 0 if the row does not exist.
    pub version: u64,
}

/// A conditional transaction, applied in full or not at all.
#[derive(Clone, Debug, Default)]
pub struct Txn {
    /// Versions that rows must have; 0 if the row must not exist.
    pub expect: Vec<(Key, u64)>,
    /// Rows to write.
    pub put: Vec<(Key, Vec<u8>)>,
    /// Rows to remove.
    pub remove: Vec<Key>,
}

/// Outcome of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Commit {
    /// Applied; the version that it created.
    Done(u64),
    /// A condition did not hold and nothing was applied. Holds those of the expected rows that
    /// exist, with their current contents.
    Conflict(Vec<Row>),
}

/// Error of a transaction: it was not applied, or its outcome is unknown.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CommitError {
    /// Not applied, and it will not be applied later.
    #[error("not applied: {0}")]
    NotDone(String),
    /// It may have been applied, or may be applied later if its conditions still hold.
    #[error("outcome unknown: {0}")]
    Unknown(String),
    /// The store rejects it permanently, with this status.
    #[error("rejected with status {0}")]
    Rejected(u16),
    /// The response cannot be decoded, so that the outcome is unknown.
    #[error("malformed response")]
    Malformed,
}

/// Error of a read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ReadError {
    /// The feed no longer has these changes; the table must be read in full.
    #[error("changes are no longer available")]
    HistoryExpired,
    /// Refused with this status.
    #[error("refused with status {0}")]
    Refused(u16),
    /// No response.
    #[error("unreachable: {0}")]
    Unreachable(String),
    /// The response cannot be decoded.
    #[error("malformed response")]
    Malformed,
}

/// One page of rows in key order.
#[derive(Clone, Debug, Default)]
pub struct Page {
    /// The rows.
    pub rows: Vec<Row>,
    /// Whether more rows follow.
    pub has_more: bool,
    /// The store's newest version at the time of the read.
    pub version: u64,
}

/// One change of a row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// Written.
    Put(Row),
    /// Removed.
    Removed(Key),
}

/// Changes of a table in order.
#[derive(Clone, Debug, Default)]
pub struct Changes {
    /// The changes.
    pub rows: Vec<Change>,
    /// Version to continue after.
    pub version: u64,
}

/// The transactional store that holds all durable state.
#[tide::utils::async_trait]
pub trait Store: Send + Sync + 'static {
    /// Applies a transaction and waits at most `ms` for the response.
    async fn commit(&self, txn: &Txn, ms: u64) -> Result<Commit, CommitError>;

    /// Reads at most `limit` rows of a partition with keys in `from..to`.
    async fn page(
        &self,
        table: &str,
        part: &str,
        from: &str,
        to: Option<&str>,
        limit: usize,
    ) -> Result<Page, ReadError>;

    /// Reads the changes of a table after a version; waits up to `wait_ms` for the first one.
    async fn changes(&self, table: &str, after: u64, wait_ms: u64) -> Result<Changes, ReadError>;
}

/// A runner as described by its registry entry.
#[derive(Clone, Debug, PartialEq)]
pub struct RunnerEntry {
    /// The service it runs tasks for.
    pub service: String,
    /// Address for calls.
    pub addr: SocketAddr,
    /// When the incarnation that the entry describes started; `None` if the platform does not say.
    pub born: Option<Born>,
    /// It is draining: nothing new may start there.
    pub draining: bool,
    /// Its capacity.
    pub capacity: Resources,
    /// Its rack.
    pub rack: String,
    /// Labels that steps may require.
    pub labels: BTreeSet<String>,
}

/// Destination of a call to a runner.
#[derive(Clone, Debug)]
pub struct RunnerCall {
    /// Address.
    pub addr: SocketAddr,
    /// Its id; a runner with another id refuses the call, the next incarnation of this one does not.
    pub id: String,
}

/// An order to start a task.
#[derive(Clone, Debug)]
pub struct StartOrder {
    /// The task.
    pub task: TaskId,
    /// Number of this start.
    pub attempt: Attempt,
    /// Payload of the job.
    pub payload: String,
    /// End of the lease, ms on the runner's clock.
    pub until: u64,
    /// Fencing token.
    pub fence: u64,
    /// Checkpoint to resume from; empty for none.
    pub saved: String,
    /// Ticket from the advice service, if the queue's policy requires one.
    pub ticket: Option<String>,
}

/// An order about a started task.
#[derive(Clone, Copy, Debug)]
pub struct StopOrder {
    /// The task.
    pub task: TaskId,
    /// Number of the start.
    pub attempt: Attempt,
    /// Fencing token.
    pub fence: u64,
}

/// Request that extends the lease on a runner, and with it all runs there, and asks for its active
/// runs and completions.
#[derive(Clone, Copy, Debug)]
pub struct PollRequest {
    /// Fencing token.
    pub fence: u64,
    /// Completions up to this number have been stored; the runner may forget them.
    pub acked: u64,
    /// New end of the lease, ms on the runner's clock; none leaves the lease as it is.
    pub until: Option<u64>,
    /// Time that the runner waits for a completion before it answers, ms.
    pub wait_ms: u64,
}

/// An active run of a task.
#[derive(Clone, Debug, PartialEq)]
pub struct ActiveRun {
    /// The task.
    pub task: TaskId,
    /// Number of its start.
    pub attempt: Attempt,
    /// Newest checkpoint; empty for none.
    pub saved: String,
    /// Progress, percent.
    pub percent: f64,
    /// For a task that serves requests its tail latency, ms; else its processor use.
    pub load: f64,
}

/// A completion of a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct End {
    /// Number of the completion in this incarnation, from 1.
    pub number: u64,
    /// The task.
    pub task: TaskId,
    /// Number of its start.
    pub attempt: Attempt,
    /// How it ended.
    pub kind: EndKind,
    /// Newest checkpoint; empty for none.
    pub saved: String,
}

/// Response of a runner to [`Runners::poll`].
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    /// When the incarnation that answered started; `None` if the platform does not say.
    pub born: Option<Born>,
    /// Its clock, ms.
    pub clock: u64,
    /// Whether it has no list, which may mean that both are empty, or that they are missing.
    pub without_lists: bool,
    /// Active runs.
    pub active: Vec<ActiveRun>,
    /// Completions that have not been acknowledged, oldest first.
    pub ends: Vec<End>,
    /// Number of completions that the runner listed and that cannot be decoded.
    pub unreadable: usize,
}

/// Error of a call to a runner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// The runner has seen a higher fencing token.
    #[error("fenced by a higher token")]
    Fenced,
    /// A start with this attempt number or a higher one was stopped or has ended on the runner.
    #[error("superseded")]
    Superseded,
    /// The lease in the order has already expired.
    #[error("lease expired")]
    Expired,
    /// Not enough free capacity; nothing was started.
    #[error("insufficient capacity")]
    InsufficientCapacity,
    /// The ticket is missing or too old; nothing was started.
    #[error("ticket refused")]
    Ticket,
    /// The order cannot be decoded; nothing was started.
    #[error("invalid order")]
    Invalid,
    /// The runner is unhealthy and has done nothing.
    #[error("unhealthy")]
    Unhealthy,
    /// A runner with another id answers at that address.
    #[error("another runner")]
    OtherRunner,
    /// No connection: nothing was sent.
    #[error("unreachable")]
    Unreachable,
    /// No response: the order may have been carried out, or may be later.
    #[error("no response")]
    NoResponse,
}

/// Calls to the runners of the cell. `start` and `stop` return the time on the runner's clock, ms.
#[tide::utils::async_trait]
pub trait Runners: Send + Sync + 'static {
    /// Starts a task; repeating an order that was carried out is not an error.
    async fn start(&self, to: &RunnerCall, order: &StartOrder) -> Result<u64, Refusal>;
    /// Stops a task; if it has not started, its start is refused from then on.
    async fn stop(&self, to: &RunnerCall, order: &StopOrder) -> Result<u64, Refusal>;
    /// Extends the lease and returns the active runs and completions.
    async fn poll(&self, to: &RunnerCall, request: &PollRequest) -> Result<Report, Refusal>;
}

/// Permission to run a step on a runner.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Ticket {
    /// The runner's id.
    pub id: String,
    /// Token that the start order must carry.
    pub ticket: String,
}

/// Response to an advice request: which of the named runners may run a step.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Advice {
    /// The approved runners.
    pub approved: Vec<Ticket>,
    /// Validity of the tickets, ms; 0 if the service does not give it.
    pub valid_ms: u64,
}

/// Error of an advice request.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, thiserror::Error, serde::Serialize, serde::Deserialize,
)]
pub enum AdviceError {
    /// Too many requests of this caller are waiting.
    #[error("advice service busy")]
    Busy,
    /// Refused with this status.
    #[error("advice refused with status {0}")]
    Refused(u16),
    /// No response.
    #[error("advice service unreachable")]
    Unreachable,
    /// The response cannot be decoded.
    #[error("malformed advice")]
    Malformed,
}

/// The service that applies a queue's policy.
#[tide::utils::async_trait]
pub trait Advisor: Send + Sync + 'static {
    /// Requests advice: which of the runners `ids` may run `step`. Waits at most `ms`.
    async fn request(&self, step: StepId, ids: &[String], ms: u64) -> Result<Advice, AdviceError>;
}
