//! Frames between entry instances and runners: websocket binary messages carrying CBOR.
//!
//! [`Frame`] is what the code handles; [`WireFrame`] is what travels, with a version field, and
//! the two convert by `From` and `TryFrom` so that a malformed or foreign frame is a typed
//! [`FrameError`], never a panic or a guess.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3;

/// Version of the frame format; a frame of another version is refused.
pub const VERSION: u16 = 1;

/// A frame as the code sees it. `id` is the correlation id of a request and its answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Frame {
    /// Look `key` up (idempotent).
    Lookup {
        /// Correlation id.
        id: u64,
        /// What to look up.
        key: String,
    },
    /// Execute the write `write` once (not idempotent).
    Write {
        /// Correlation id.
        id: u64,
        /// The write's own id, by which the runner counts executions.
        write: String,
        /// Its payload.
        body: String,
    },
    /// Ask what became of a write sent earlier: answered with [`Frame::Done`] once it has run,
    /// or with [`Frame::Busy`], and then it is never executed by this life of the runner.
    Query {
        /// Correlation id.
        id: u64,
        /// The write id.
        write: String,
    },
    /// The whole answer to lookup `id`.
    Answer {
        /// Correlation id.
        id: u64,
        /// The key asked for, echoed.
        key: String,
        /// The value.
        value: String,
    },
    /// Write `id` executed; `runs` is how often this write id has run on this runner.
    Done {
        /// Correlation id.
        id: u64,
        /// The write id.
        write: String,
        /// Executions so far.
        runs: u64,
    },
    /// First frame of a connection: which life of the runner this is. A runner that restarted
    /// has forgotten which writes it ran.
    Hello {
        /// Random number drawn at the runner's start.
        incarnation: u64,
    },
    /// The runner shuts down: send it nothing new on any connection.
    Leaving {
        /// The runner's incarnation.
        incarnation: u64,
    },
    /// Not taken (full, or shutting down): nothing was executed, and a write refused so is never
    /// executed by this life of the runner. Try elsewhere, or again after `retry_ms`.
    Busy {
        /// Correlation id.
        id: u64,
        /// When to come back.
        retry_ms: u64,
    },
    /// Liveness probe of an idle connection.
    Ping {
        /// Echoed in the pong.
        nonce: u64,
    },
    /// Answer to a ping.
    Pong {
        /// The ping's nonce.
        nonce: u64,
    },
}

/// Kinds of frame on the wire.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum WireKind {
    /// [`Frame::Lookup`].
    Lookup,
    /// [`Frame::Write`].
    Write,
    /// [`Frame::Query`].
    Query,
    /// [`Frame::Answer`].
    Answer,
    /// [`Frame::Done`].
    Done,
    /// [`Frame::Hello`].
    Hello,
    /// [`Frame::Leaving`].
    Leaving,
    /// [`Frame::Busy`].
    Busy,
    /// [`Frame::Ping`].
    Ping,
    /// [`Frame::Pong`].
    Pong,
}

/// The frame as it travels: flat, versioned, optional fields by kind.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireFrame {
    /// Format version, [`VERSION`].
    pub v: u16,
    /// Kind.
    pub kind: WireKind,
    /// Correlation id or nonce.
    pub id: u64,
    /// Key or write id.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub key: Option<String>,
    /// Body or value.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub body: Option<String>,
    /// A count or a delay.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub n: Option<u64>,
}

/// Why bytes are not a frame.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// Not CBOR, or not the shape of a [`WireFrame`].
    #[error("not a frame: {0}")]
    Decode(String),
    /// Another version of the format.
    #[error("frame version {0}, expected {VERSION}")]
    Version(u16),
    /// A field that this kind needs is absent.
    #[error("{kind:?} frame without {field}")]
    Missing {
        /// The frame kind.
        kind: WireKind,
        /// The field.
        field: &'static str,
    },
}

impl From<Frame> for WireFrame {
    fn from(f: Frame) -> Self {
        let w = |kind, id, key: Option<String>, body: Option<String>, n: Option<u64>| Self {
            v: VERSION,
            kind,
            id,
            key,
            body,
            n,
        };
        match f {
            Frame::Lookup { id, key } => w(WireKind::Lookup, id, Some(key), None, None),
            Frame::Write { id, write, body } => {
                w(WireKind::Write, id, Some(write), Some(body), None)
            }
            Frame::Query { id, write } => w(WireKind::Query, id, Some(write), None, None),
            Frame::Answer { id, key, value } => {
                w(WireKind::Answer, id, Some(key), Some(value), None)
            }
            Frame::Done { id, write, runs } => w(WireKind::Done, id, Some(write), None, Some(runs)),
            Frame::Hello { incarnation } => w(WireKind::Hello, incarnation, None, None, None),
            Frame::Leaving { incarnation } => w(WireKind::Leaving, incarnation, None, None, None),
            Frame::Busy { id, retry_ms } => w(WireKind::Busy, id, None, None, Some(retry_ms)),
            Frame::Ping { nonce } => w(WireKind::Ping, nonce, None, None, None),
            Frame::Pong { nonce } => w(WireKind::Pong, nonce, None, None, None),
        }
    }
}

impl TryFrom<WireFrame> for Frame {
    type Error = FrameError;

    fn try_from(w: WireFrame) -> Result<Self, Self::Error> {
        if w.v != VERSION {
            return Err(FrameError::Version(w.v));
        }
        let kind = w.kind;
        let need = |v: Option<String>, field| v.ok_or(FrameError::Missing { kind, field });
        let count = |v: Option<u64>, field| v.ok_or(FrameError::Missing { kind, field });
        let id = w.id;
        Ok(match kind {
            WireKind::Lookup => Self::Lookup { id, key: need(w.key, "key")? },
            WireKind::Write => {
                Self::Write { id, write: need(w.key, "key")?, body: need(w.body, "body")? }
            }
            WireKind::Query => Self::Query { id, write: need(w.key, "key")? },
            WireKind::Answer => {
                Self::Answer { id, key: need(w.key, "key")?, value: need(w.body, "body")? }
            }
            WireKind::Done => Self::Done { id, write: need(w.key, "key")?, runs: count(w.n, "n")? },
            WireKind::Hello => Self::Hello { incarnation: id },
            WireKind::Leaving => Self::Leaving { incarnation: id },
            WireKind::Busy => Self::Busy { id, retry_ms: count(w.n, "n")? },
            WireKind::Ping => Self::Ping { nonce: id },
            WireKind::Pong => Self::Pong { nonce: id },
        })
    }
}

/// CBOR bytes of a frame.
pub fn encode(f: Frame) -> Vec<u8> {
    let mut out = Vec::with_capacity(64);
    ciborium::into_writer(&WireFrame::from(f), &mut out).expect("writing to a Vec cannot fail");
    out
}

/// The frame in CBOR bytes.
pub fn decode(bytes: &[u8]) -> Result<Frame, FrameError> {
    let w: WireFrame =
        ciborium::from_reader(bytes).map_err(|e| FrameError::Decode(e.to_string()))?;
    Frame::try_from(w)
}

/// The value that every runner holds for `key`: the smoke driver checks each answer against it,
/// so a crossed or partial answer is caught.
pub fn value_for(key: &str) -> String {
    format!("{key}={:016x}", xxh3::xxh3_64(key.as_bytes()))
}
