//! Links between instances: a websocket with CBOR frames from each instance to the leader.
//!
//! Most of what they carry can also be read from the store, only later: an instance sends the
//! leader the jobs that it has stored, and the leader sends every instance the job states that it
//! has stored. Three kinds of calls go over links alone: advice requests, because the advice service
//! serves one call at a time for each calling instance, and writes and reads of the catalogue of an
//! instance whose calls the store refuses. An instance that doesn't cache jobs requests from the
//! leader the state of a job and the number of waiting jobs.

pub mod admission;
pub mod advice_queues;
pub mod client;
pub mod server;

use super::access::Caller;
use super::model::{JobId, JobState, StepId};
use super::ports::{Advice, AdviceError};
use super::rows::{self, LeaderRow};
use crate::control::submissions::WriteOutcome;
use crate::kernel::clock::Clock;
use crate::kernel::traffic::Traffic;
use async_std::channel;
use async_std::net::TcpStream;
use async_tungstenite::tungstenite::protocol::WebSocketConfig;
use async_tungstenite::tungstenite::Message;
use async_tungstenite::WebSocketSender;
use serde::{Deserialize, Serialize};

/// A link without a frame for this long is closed, ms.
const LINK_TIMEOUT_MS: u64 = 1_200;

/// Interval of idle frames, ms: several within [`LINK_TIMEOUT_MS`].
const PING_INTERVAL_MS: u64 = 250;

/// Most frames queued on a link: about two seconds of the heaviest load. A link that falls further
/// behind is closed, and its instance reads the missed changes from the store.
const QUEUED_FRAMES: usize = 1_024;

/// Size of the read buffer of a link, bytes. The library clears it before each read, and its default
/// of 128 KiB is a large part of the memory of a leader with hundreds of links.
const READ_BUFFER: usize = 8 * 1024;

/// Longest message to a leader, bytes: a relayed job, whose row is an array of numbers in CBOR.
const CALL_BYTES: usize = 512 * 1024;

/// Longest message from a leader, bytes: a catalogue.
const LEADER_BYTES: usize = 16 << 20;

/// Kind under which frames that cannot be decoded are counted.
const UNKNOWN_KIND: &str = "link unknown";

/// A write that the leader stores for an instance whose calls the store refuses.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Relay {
    /// Id of the job.
    pub job: JobId,
    /// The job's encoded row, or none for a cancellation.
    pub row: Option<Vec<u8>>,
    /// On whose behalf the job is submitted; none from versions that knew no teams.
    #[serde(default)]
    pub caller: Option<Caller>,
}

/// What a leader that steps down must know of a linked instance to propose it as its successor.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Candidate {
    /// Id of the instance.
    pub node: String,
    /// Its failure domain; empty from versions that did not send it.
    pub domain: String,
    /// Whether it has read all tables, and is not stopping.
    pub able: bool,
    /// Age of its process, ms.
    pub age: u64,
    /// Thousandths of a processor that it may use.
    pub size: u64,
}

/// The instance that a leader of `size` which steps down proposes as its successor: of those that could
/// begin at once and are no smaller, the one whose process is youngest, since instances that are
/// restarted in turn are stopped oldest first.
pub fn choose_successor<'a>(
    candidates: impl Iterator<Item = &'a Candidate>,
    size: u64,
) -> Option<&'a str> {
    let able = candidates.filter(|c| c.able && c.size >= size);
    able.min_by_key(|c| (c.age, &c.node)).map(|c| c.node.as_str())
}

/// A message over a link. A call and its answer have the same `id`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) enum Frame {
    /// Request advice on a step, with a timeout of `ms`. The leader sends it, all other calls are
    /// sent to the leader.
    #[serde(rename = "Ask")]
    RequestAdvice { id: u64, step: StepId, ids: Vec<String>, ms: u64 },
    /// Answer to [`Self::RequestAdvice`].
    Answer { id: u64, res: Result<Advice, AdviceError> },
    /// A job that the sender has stored, with its encoded row.
    Job { id: JobId, row: Vec<u8> },
    /// A cancellation that the sender has stored.
    Cancel { id: JobId },
    /// Store a write for the sender.
    Write { id: u64, relay: Relay },
    /// Outcome of [`Self::Write`].
    Written { id: u64, out: WriteOutcome },
    /// Job states that the leader has stored, with the version of their rows.
    States { list: Vec<(JobId, u64, JobState)> },
    /// Whether the sender caches jobs, and is to be sent their states; and what makes it a successor
    /// of the leader.
    Follows {
        yes: bool,
        #[serde(default)]
        candidate: Candidate,
    },
    /// Request the state of a job for a caller; none from versions that knew no teams.
    Find {
        id: u64,
        job: JobId,
        #[serde(default)]
        caller: Option<Caller>,
    },
    /// Answer to [`Self::Find`]; none if the sender does not have the state, or the caller may not
    /// see it. `checked` is whether the sender has checked that.
    Found {
        id: u64,
        state: Option<JobState>,
        #[serde(default)]
        checked: bool,
    },
    /// Request the catalogue if it is newer than `version`. `deflated` is whether the sender accepts
    /// it compressed.
    Config {
        id: u64,
        version: u64,
        #[serde(default)]
        deflated: bool,
    },
    /// Answer to [`Self::Config`]: the encoded catalogue if it is newer, as it is or compressed, and
    /// how long ago the sender knew that it was the newest, ms; none if the sender has none.
    ConfigIs {
        id: u64,
        newer: Option<Vec<u8>>,
        age: Option<u64>,
        #[serde(default)]
        deflated: Option<serde_bytes::ByteBuf>,
    },
    /// Request the number of waiting jobs of a queue.
    Count { id: u64, queue: String },
    /// Answer to [`Self::Count`]; none if the sender lacks some jobs.
    Counted { id: u64, waiting: Option<u64> },
    /// What instances need to decide on submissions, as of now. Versions that do not know it admit
    /// all jobs.
    Admission {
        #[serde(default)]
        list: Vec<admission::QueueAdmission>,
        #[serde(default)]
        teams: Vec<admission::TeamAdmission>,
    },
    /// The leader known to the sender, and the version of its row.
    #[serde(rename = "Holder")]
    Leader {
        row: LeaderRow,
        version: u64,
        /// Version of the sender's catalogue, and how long ago it was known to be the newest, ms.
        #[serde(default)]
        catalogue: Option<(u64, u64)>,
        /// Number of instances that are linked to the sender.
        #[serde(default)]
        instances: u64,
    },
    /// Version and age, ms, of the last heartbeat that the sender has stored as leader. Sent when it
    /// loses the store, before [`Self::StoreUnreachable`].
    LastHeartbeat { version: u64, age: u64 },
    /// The sender cannot reach the store.
    #[serde(rename = "Deaf")]
    StoreUnreachable,
    /// Heartbeat.
    Ping,
}

impl Frame {
    /// Whether this is a call to the leader.
    fn is_call(&self) -> bool {
        matches!(
            self,
            Self::Write { .. } | Self::Find { .. } | Self::Count { .. } | Self::Config { .. }
        )
    }

    /// Kind under which its bytes are counted.
    fn kind(&self) -> &'static str {
        match self {
            Self::RequestAdvice { .. } => "link advice request",
            Self::Answer { .. } => "link advice answer",
            Self::Job { .. } => "link job",
            Self::Cancel { .. } => "link cancellation",
            Self::Write { .. } | Self::Written { .. } => "link write",
            Self::States { .. } => "link states",
            Self::Follows { .. } => "link role",
            Self::Find { .. } | Self::Found { .. } => "link state query",
            Self::Config { .. } | Self::ConfigIs { .. } => "link catalogue",
            Self::Count { .. } | Self::Counted { .. } => "link count",
            Self::Admission { .. } => "link admission",
            Self::Leader { .. } => "link leader",
            Self::LastHeartbeat { .. } | Self::StoreUnreachable | Self::Ping => "link ping",
        }
    }
}

/// Configuration of the websocket of a link that reads messages of at most `message` bytes.
fn websocket(message: usize) -> Option<WebSocketConfig> {
    let config = WebSocketConfig::default().read_buffer_size(READ_BUFFER);
    Some(config.max_message_size(Some(message)).max_frame_size(Some(message)))
}

/// An encoded frame.
#[derive(Clone, Debug)]
struct EncodedFrame {
    kind: &'static str,
    message: Message,
}

fn encode(frame: &Frame) -> EncodedFrame {
    EncodedFrame { kind: frame.kind(), message: Message::binary(rows::encode(frame)) }
}

/// Decodes a received frame, and counts it in `traffic`.
fn decode(m: &Message, traffic: &Traffic) -> Option<Frame> {
    let frame: Option<Frame> = match m {
        Message::Binary(b) => rows::decode(b).ok(),
        _ => None,
    };
    traffic.record(frame.as_ref().map_or(UNKNOWN_KIND, Frame::kind), 0, m.len());
    frame
}

/// Sends the encoded frames of `rx`, and `idle_frame` at regular intervals, until the channel or the
/// link closes or a send times out. A busy link has idle frames, too: they confirm the catalogue.
async fn write_frames(
    mut out: WebSocketSender<TcpStream>,
    rx: channel::Receiver<EncodedFrame>,
    clock: &Clock,
    traffic: &Traffic,
    idle_frame: impl Fn() -> Frame,
) {
    let mut idle_at = clock.mono() + PING_INTERVAL_MS;
    loop {
        let now = clock.mono();
        let frame = if now >= idle_at {
            idle_at = now + PING_INTERVAL_MS;
            encode(&idle_frame())
        } else {
            match clock.timeout(idle_at - now, rx.recv()).await {
                Ok(Ok(f)) => f,
                Ok(Err(_)) => return,
                Err(_) => continue,
            }
        };
        traffic.record(frame.kind, frame.message.len(), 0);
        match clock.timeout(LINK_TIMEOUT_MS, out.send(frame.message)).await {
            Ok(Ok(())) => {}
            _ => return,
        }
    }
}
