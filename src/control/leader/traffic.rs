//! Log of what the leader sends and receives, by kind of message.
//!
//! The link of a small instance can be the bottleneck of the cell. Its calls are then answered late,
//! which looks like slow runners and a slow store.

use crate::kernel::traffic::{Traffic, Volume};
use std::collections::BTreeMap;

/// Interval between two log lines, ms.
const REPORT_INTERVAL_MS: u64 = 5_000;

/// Kinds that are logged: those with most bytes.
const MAX_KINDS: usize = 12;

/// Logs the traffic at regular intervals.
pub(super) struct TrafficLog {
    /// Totals at the last line.
    last: BTreeMap<String, Volume>,
    /// When that was, local ms.
    at: u64,
}

impl TrafficLog {
    pub fn new(traffic: &Traffic, now: u64) -> Self {
        Self { last: traffic.totals(), at: now }
    }

    /// Logs the bytes a second since the last line, if one is due.
    pub fn report(&mut self, traffic: &Traffic, now: u64) {
        let elapsed = now.saturating_sub(self.at);
        if elapsed < REPORT_INTERVAL_MS {
            return;
        }
        let totals = traffic.totals();
        let rate = |n: u64| n * 1_000 / elapsed;
        let mut kinds: Vec<(u64, String)> = totals
            .iter()
            .map(|(kind, total)| {
                let last = self.last.get(kind).copied().unwrap_or_default();
                let (sent, received) = (total.sent - last.sent, total.received - last.received);
                let messages = total.messages - last.messages;
                let text = format!("{kind}: {}/{}/{}", rate(messages), rate(sent), rate(received));
                (sent + received, text)
            })
            .collect();
        kinds.sort_unstable_by(|a, b| b.cmp(a));
        let bytes = rate(kinds.iter().map(|(bytes, _)| bytes).sum());
        let kinds: Vec<String> = kinds.into_iter().take(MAX_KINDS).map(|(_, text)| text).collect();
        log::info!(bytes, kinds:? = kinds;
            "bytes a second of the leader, by kind: messages, sent, received");
        (self.last, self.at) = (totals, now);
    }
}
