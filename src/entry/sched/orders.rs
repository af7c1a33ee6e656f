//! Sends the orders of committed plans to the workers: starts under the epoch of the shard, and
//! stops. Each order is repeated until the workers have answered it.

use super::{Ctx, Sched};
use crate::standin::client::PlatformError;
use crate::standin::tasks::{StartRefusal, StartReq, StartResult};
use crate::standin::LEASE_PREFIX;
use std::collections::BTreeSet;

impl Sched {
    /// Sends stops, then starts. Returns the shards whose epoch the workers refused as stale.
    pub(super) async fn send_orders(&mut self, cx: &Ctx<'_>) -> Result<Vec<String>, PlatformError> {
        self.send_stops(cx).await?;
        self.send_starts(cx).await
    }

    async fn send_stops(&mut self, cx: &Ctx<'_>) -> Result<(), PlatformError> {
        let stops: Vec<_> =
            self.shards.values().flat_map(|s| s.stopping.values().cloned()).collect();
        if stops.is_empty() {
            return Ok(());
        }
        // Stops stay queued until the completion is reported, so a lost answer needs no handling.
        cx.platform.stop(stops).await.map(drop)
    }

    async fn send_starts(&mut self, cx: &Ctx<'_>) -> Result<Vec<String>, PlatformError> {
        // An order is valid for half a task lease from the last poll, and none is sent to a worker
        // that this poll did not reach. The last order has therefore expired before the worker is
        // considered lost, and cannot start a task that was placed again elsewhere.
        let valid_until = self.polled + cx.hold_ms / 2;
        let reached = |r: &&StartReq| {
            self.names.get(&r.worker).is_some_and(|&k| !self.workers.get(k).unreachable)
        };
        let orders = self.shards.values().flat_map(|s| s.unstarted.values());
        let batch: Vec<StartReq> =
            orders.filter(reached).map(|r| StartReq { valid_until, ..r.clone() }).collect();
        if batch.is_empty() {
            return Ok(Vec::new());
        }
        let answers = cx.platform.start(batch.clone()).await;
        let now = cx.clock.now();
        // The starts may have taken effect up to now, also if their answer was lost, and with them the
        // task leases that they carry.
        for req in &batch {
            if let Some(&k) = self.names.get(&req.worker) {
                self.workers.get_mut(k).last_contact = now;
            }
        }
        let mut lost = BTreeSet::new();
        for (req, answer) in batch.iter().zip(answers?) {
            self.handle_answer(req, &answer, &mut lost);
        }
        Ok(lost.into_iter().collect())
    }

    fn handle_answer(&mut self, req: &StartReq, a: &StartResult, lost: &mut BTreeSet<String>) {
        let shard = req.lease.strip_prefix(LEASE_PREFIX).unwrap_or(&req.lease).to_string();
        match a.refused {
            None | Some(StartRefusal::AlreadyRunning) => self.counts.started += 1,
            // The workers will report the completion.
            Some(StartRefusal::AlreadyEnded) => {}
            // Cancelled in the meantime; the pending-job entry set by the cancellation leads to
            // the remaining steps.
            Some(StartRefusal::NotPlaced | StartRefusal::UnknownWorker) => {}
            Some(StartRefusal::StaleEpoch) => drop(lost.insert(shard.clone())),
            // Sent again until the worker is reachable or considered lost.
            Some(StartRefusal::Unreachable | StartRefusal::Late) => return,
        }
        if let Some(s) = self.shards.get_mut(&shard) {
            s.unstarted.remove(&req.task);
        }
    }
}
