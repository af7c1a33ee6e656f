//! The edges of the control plane: what it asks of a store, of runners and of the advice
//! service. `platform/` implements them over the users' protocol, tests in memory.

use super::model::{Attempt, EndKind, StepId, TaskId};
use crate::kernel::res::Resources;
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// Names a row. Rows of one part, of any tables, can be written in one transaction.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Key {
    /// Table.
    pub table: String,
    /// Part.
    pub part: String,
    /// Key within the part.
    pub key: String,
}

impl Key {
    /// A key from its three names.
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
    /// The transaction that wrote it; 0 stands for a row that does not exist.
    pub version: u64,
}

/// A conditional transaction: all of it is applied, or nothing.
#[derive(Clone, Debug, Default)]
pub struct Txn {
    /// Versions that rows must have (0: the row must not exist).
    pub expect: Vec<(Key, u64)>,
    /// Rows to write.
    pub put: Vec<(Key, Vec<u8>)>,
    /// Rows to remove.
    pub remove: Vec<Key>,
}

/// What became of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Commit {
    /// Applied, with this version.
    Done(u64),
    /// A condition did not hold: nothing was applied. The expected rows that exist, as they are.
    Conflict(Vec<Row>),
}

/// Why the outcome of a transaction is not known, or why it was not applied.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CommitError {
    /// Nothing was applied and nothing will be.
    #[error("not done: {0}")]
    NotDone(String),
    /// It may have been applied, or may be later if its conditions still hold.
    #[error("outcome unknown: {0}")]
    Unknown(String),
    /// The store will never take it.
    #[error("rejected with status {0}")]
    Rejected(u16),
    /// Applied or not, its answer cannot be read.
    #[error("malformed answer")]
    Malformed,
}

/// Why a read failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ReadError {
    /// The feed no longer has the changes asked for: read the table anew.
    #[error("history gone")]
    HistoryGone,
    /// Refused with this status.
    #[error("refused with status {0}")]
    Refused(u16),
    /// No answer.
    #[error("unreachable: {0}")]
    Unreachable(String),
    /// The answer cannot be read.
    #[error("malformed answer")]
    Malformed,
}

/// One page of rows in key order.
#[derive(Clone, Debug, Default)]
pub struct Page {
    /// The rows.
    pub rows: Vec<Row>,
    /// Whether more follow.
    pub more: bool,
    /// The store's newest version at that moment.
    pub version: u64,
}

/// One change of a row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// Written.
    Put(Row),
    /// Removed.
    Gone(Key),
}

/// Changes of a table in order.
#[derive(Clone, Debug, Default)]
pub struct Changes {
    /// The changes.
    pub rows: Vec<Change>,
    /// Go on after this version.
    pub version: u64,
}

/// The transactional store that keeps what must last.
#[tide::utils::async_trait]
pub trait Store: Send + Sync + 'static {
    /// Applies a transaction, waiting at most `ms` for the answer.
    async fn commit(&self, txn: &Txn, ms: u64) -> Result<Commit, CommitError>;

    /// Reads rows of a part with keys in `from..to`, at most `limit`.
    async fn page(
        &self,
        table: &str,
        part: &str,
        from: &str,
        to: Option<&str>,
        limit: usize,
    ) -> Result<Page, ReadError>;

    /// Changes of a table after a version; waits up to `wait_ms` for the first.
    async fn changes(&self, table: &str, after: u64, wait_ms: u64) -> Result<Changes, ReadError>;
}

/// A runner as its registry entry describes it.
#[derive(Clone, Debug, PartialEq)]
pub struct RunnerEntry {
    /// The service it runs tasks for.
    pub service: String,
    /// Where it takes orders.
    pub addr: SocketAddr,
    /// It is leaving: nothing new may start there.
    pub draining: bool,
    /// Its capacity.
    pub room: Resources,
    /// Its rack.
    pub rack: String,
    /// Labels that steps may require.
    pub labels: BTreeSet<String>,
}

/// Whom a call to a runner is meant for.
#[derive(Clone, Debug)]
pub struct RunnerCall {
    /// Address.
    pub addr: SocketAddr,
    /// Id of the incarnation; another one at that address refuses.
    pub id: String,
}

/// An order to start a task.
#[derive(Clone, Debug)]
pub struct Start {
    /// The task.
    pub task: TaskId,
    /// Number of this start.
    pub attempt: Attempt,
    /// What the caller gave to run.
    pub payload: String,
    /// End of the lease, ms on the runner's clock.
    pub until: u64,
    /// Fencing token.
    pub fence: u64,
    /// Checkpoint to resume from; empty for none.
    pub saved: String,
    /// Ticket that the queue's policy asks for.
    pub ticket: Option<String>,
}

/// An order about a started task.
#[derive(Clone, Copy, Debug)]
pub struct Order {
    /// The task.
    pub task: TaskId,
    /// Number of the start.
    pub attempt: Attempt,
    /// Fencing token.
    pub fence: u64,
}

/// Extends the lease of all that runs on a runner and asks what runs and what has ended.
#[derive(Clone, Copy, Debug)]
pub struct Hold {
    /// Fencing token.
    pub fence: u64,
    /// Ends up to this number have been stored and may be forgotten.
    pub acked: u64,
    /// New end of the lease, ms on the runner's clock; none leaves it.
    pub until: Option<u64>,
    /// The runner waits this long for an end before it answers, ms.
    pub wait_ms: u64,
}

/// A task that runs.
#[derive(Clone, Debug, PartialEq)]
pub struct Active {
    /// The task.
    pub task: TaskId,
    /// Number of its start.
    pub attempt: Attempt,
    /// Newest checkpoint; empty for none.
    pub saved: String,
    /// Progress, percent.
    pub percent: f64,
    /// Tail latency in ms of a task that serves, else processor in use.
    pub load: f64,
}

/// A task that ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct End {
    /// Number of the end in this incarnation, from 1.
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

/// What a runner says of itself.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    /// Its clock, ms.
    pub clock: u64,
    /// What runs.
    pub active: Vec<Active>,
    /// Ends not yet acknowledged, oldest first.
    pub ends: Vec<End>,
}

/// Why a runner did not do as told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// It has seen a higher fencing token.
    #[error("fenced off")]
    Fenced,
    /// A start of this number or a higher one was stopped or has ended there.
    #[error("superseded")]
    Superseded,
    /// The lease offered had already ended.
    #[error("lease expired")]
    Expired,
    /// No room; nothing was started.
    #[error("no room")]
    NoRoom,
    /// The ticket is missing or too old; nothing was started.
    #[error("ticket refused")]
    Ticket,
    /// The order cannot be read; nothing was started.
    #[error("invalid order")]
    Invalid,
    /// It is unhealthy and has done nothing.
    #[error("unhealthy")]
    Unhealthy,
    /// Another incarnation answers at that address.
    #[error("another incarnation")]
    OtherLife,
    /// No connection: nothing was sent.
    #[error("unreachable")]
    Unreachable,
    /// No answer: it may have been done, or may be done later.
    #[error("no answer")]
    NoAnswer,
}

/// The runners of the cell. Orders answer with the runner's clock, ms.
#[tide::utils::async_trait]
pub trait Runners: Send + Sync + 'static {
    /// Starts a task; a repetition of an order carried out is no error.
    async fn start(&self, to: &RunnerCall, s: &Start) -> Result<u64, Refusal>;
    /// Stops a task, or refuses its start in advance.
    async fn stop(&self, to: &RunnerCall, o: &Order) -> Result<u64, Refusal>;
    /// Extends the lease and looks.
    async fn hold(&self, to: &RunnerCall, h: &Hold) -> Result<Report, Refusal>;
}

/// Leave to run a step on a runner.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Ticket {
    /// The runner's id.
    pub id: String,
    /// What the start must carry.
    pub ticket: String,
}

/// Which of the runners asked about may run a step.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Advice {
    /// Those that may.
    pub approved: Vec<Ticket>,
    /// Life of the tickets, ms; 0 where the service does not say.
    pub valid_ms: u64,
}

/// Why there is no advice.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, thiserror::Error, serde::Serialize, serde::Deserialize,
)]
pub enum AdviceError {
    /// Too many calls wait for this caller.
    #[error("advice service busy")]
    Busy,
    /// Refused with this status.
    #[error("advice refused with status {0}")]
    Refused(u16),
    /// No answer.
    #[error("advice service unreachable")]
    Unreachable,
    /// The answer cannot be read.
    #[error("malformed advice")]
    Malformed,
}

/// The service that knows a queue's policy.
#[tide::utils::async_trait]
pub trait Advisor: Send + Sync + 'static {
    /// Asks which of the runners `ids` may run `step`, waiting at most `ms`.
    async fn ask(&self, step: StepId, ids: &[String], ms: u64) -> Result<Advice, AdviceError>;
}
