//! Bytes that this process sends and receives, by kind of message.
//!
//! Heads and frames are included, overhead of TCP and IP is not.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;

/// Maximum number of kinds that are counted; all further ones are counted as [`OTHER`]. Bounds the
/// number of metrics.
const MAX_KINDS: usize = 64;

/// Kind of the messages that are not counted by their own kind.
const OTHER: &str = "other";

/// What was sent and received of one kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct Volume {
    /// Number of messages: calls of a client, or frames in either direction.
    pub messages: u64,
    /// Bytes sent.
    pub sent: u64,
    /// Bytes received.
    pub received: u64,
}

/// Volume of a kind, and its metrics.
#[derive(Debug)]
struct Entry {
    volume: Volume,
    sent: metrics::Counter,
    received: metrics::Counter,
}

impl Entry {
    fn new(kind: &str) -> Self {
        let counter = |way: &'static str| metrics::counter!("control_bytes", "kind" => kind.to_string(), "way" => way);
        let (sent, received) = (counter("sent"), counter("received"));
        Self { volume: Volume::default(), sent, received }
    }
}

/// Counts the traffic of a process.
#[derive(Debug, Default)]
pub struct Traffic {
    kinds: Mutex<BTreeMap<String, Entry>>,
    sent: AtomicU64,
}

impl Traffic {
    /// Counts one message of a kind, and `sent` and `received` bytes.
    pub fn record(&self, kind: &str, sent: usize, received: usize) {
        self.record_many(kind, 1, sent, received);
    }

    /// Counts `messages` messages of a kind, and `sent` and `received` bytes in all.
    pub fn record_many(&self, kind: &str, messages: usize, sent: usize, received: usize) {
        self.sent.fetch_add(sent as u64, Ordering::Relaxed);
        let mut kinds = self.kinds.lock().unwrap();
        let known = kinds.contains_key(kind) || kinds.len() < MAX_KINDS;
        let kind = if known { kind } else { OTHER };
        if !kinds.contains_key(kind) {
            kinds.insert(kind.to_string(), Entry::new(kind));
        }
        if let Some(entry) = kinds.get_mut(kind) {
            entry.volume.messages += messages as u64;
            entry.volume.sent += sent as u64;
            entry.volume.received += received as u64;
            entry.sent.increment(sent as u64);
            entry.received.increment(received as u64);
        }
    }

    /// Bytes sent since the process started.
    pub fn sent(&self) -> u64 {
        self.sent.load(Ordering::Relaxed)
    }

    /// The totals since the process started.
    pub fn totals(&self) -> BTreeMap<String, Volume> {
        self.kinds.lock().unwrap().iter().map(|(kind, e)| (kind.clone(), e.volume)).collect()
    }
}
