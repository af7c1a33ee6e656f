//! Background loops of an entry instance: heartbeats, scheduling rounds with garbage collection,
//! and updates of the catalogue and the instance list. Each loop ends when the instance stops.

use super::{jobs, sched, snapshot, view, Entry};
use crate::kernel::clock::Millis;
use crate::standin::client::PlatformError;
use crate::standin::instances::InstanceState;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::Ordering;
use std::sync::Arc;

/// Factor on the interval between rounds, by activity. Most calls of an instance are polls; while
/// no job waits they only detect completions and new work. Urgent work that arrives at an idle
/// instance waits accordingly longer for its first round, well within the 8.7 s in which it must
/// start.
const fn round_factor(activity: sched::Activity) -> u64 {
    match activity {
        sched::Activity::Busy => 1,
        sched::Activity::Running => 2,
        sched::Activity::Idle => 3,
    }
}

/// Number of heartbeats from one read of the racks' free capacity to the next. The capacity is only
/// a hint for the choice of a shard.
const RACK_CAPACITY_HEARTBEATS: u64 = 3;

/// Interval between attempts to read the worker list, ms.
const WORKER_LIST_RETRY_MS: u64 = 300;

impl Entry {
    /// Reads the worker list, with retries until it has workers of this domain, and returns a
    /// scheduler for them. Returns none once stopped.
    async fn read_workers(&self) -> Option<sched::Sched> {
        loop {
            match self.platform.workers().await {
                Ok(all) => {
                    let sched = sched::Sched::new(&self.addr.domain, &all);
                    let caps = |n: &String| Some((n.clone(), sched.capacity(n)?));
                    let shards: Vec<_> = sched
                        .shards
                        .keys()
                        .filter_map(caps)
                        .map(|(n, (total, largest))| (n, total, largest))
                        .collect();
                    if !shards.is_empty() {
                        let names = shards.iter().map(|(n, _, _)| n.clone()).collect();
                        self.members.lock().await.shards = names;
                        let inventory = jobs::Inventory { shards };
                        *self.inventory.lock().unwrap() = Some(Arc::new(inventory));
                        return Some(sched);
                    }
                    log::debug!("domain {} has no workers yet", self.addr.domain);
                }
                Err(e) => log::debug!("cannot read the worker list: {e}"),
            }
            if !self.sleep_unless_stopped(WORKER_LIST_RETRY_MS).await {
                return None;
            }
        }
    }

    /// Sends heartbeats and reads the free capacity of the racks.
    pub(super) async fn heartbeat(self: Arc<Self>) {
        for n in 0u64.. {
            let now = self.clock.now();
            let renewed = {
                let mut m = self.members.lock().await;
                let renewed = m.heartbeat(&self.platform, now).await;
                // All instances commit write records, so the interval grows with their number.
                let interval_ms = self.timing.ledger_ms * m.members.len().max(1) as u64;
                self.writes.ledger.interval_ms.store(interval_ms, Ordering::Relaxed);
                renewed
            };
            if let Err(e) = renewed {
                log::debug!("heartbeat failed: {e}");
            }
            if n.is_multiple_of(RACK_CAPACITY_HEARTBEATS) {
                self.read_rack_capacities().await;
            }
            if !self.sleep_unless_stopped(self.timing.heartbeat_ms).await {
                return;
            }
        }
    }

    /// Reads the free capacity of the domain's racks; keeps the last one on an error.
    async fn read_rack_capacities(&self) {
        if let Ok(racks) = self.platform.rack_capacity(&self.addr.domain).await {
            let by_shard = racks.into_iter().map(|r| (r.shard.clone(), r)).collect();
            *self.rack_capacities.lock().unwrap() = by_shard;
        }
    }

    /// Runs scheduling rounds, and garbage collection every `sweep_ms`.
    pub(super) async fn schedule(self: Arc<Self>) {
        let Some(mut s) = self.read_workers().await else { return };
        let mut last_pass = self.clock.now();
        loop {
            if let Err(e) = self.round(&mut s).await {
                log::debug!("round failed: {e}");
            }
            *self.view.lock().unwrap() = view(&s);
            let now = self.clock.now();
            if now >= last_pass + self.timing.sweep_ms {
                last_pass = now;
                if let Err(e) = self.collect_garbage(now).await {
                    log::debug!("garbage collection failed: {e}");
                }
            }
            if !self.sleep_unless_stopped(self.timing.round_ms * round_factor(s.activity())).await {
                return;
            }
        }
    }

    /// Returns the epochs of the shards held, and the shards whose leases were renewed recently
    /// enough to be used.
    async fn held_shards(&self) -> (BTreeMap<String, u64>, BTreeSet<String>) {
        let m = self.members.lock().await;
        let now = self.clock.now();
        let held: BTreeMap<String, u64> =
            m.held.iter().map(|(s, h)| (s.clone(), h.epoch)).collect();
        let usable = |s: &&String| m.usable(s, now, self.timing.heartbeat_ms);
        let usable = held.keys().filter(usable).cloned().collect();
        (held, usable)
    }

    /// Runs one scheduling round and drops the shards whose leases it found to be lost.
    async fn round(&self, s: &mut sched::Sched) -> Result<(), PlatformError> {
        let (held, usable) = self.held_shards().await;
        if held.is_empty() {
            return Ok(());
        }
        s.rack_capacities = self.rack_capacities.lock().unwrap().clone();
        let cat = self.catalogue();
        let cx = sched::Ctx {
            platform: &self.platform,
            clock: &self.clock,
            me: &self.addr.id,
            domain: &self.addr.domain,
            cat: &cat,
            hold_ms: self.timing.hold_ms,
        };
        let result = s.round(&cx, &held, &usable).await?;
        let mut m = self.members.lock().await;
        for shard in &result.lost {
            // The heartbeat may have acquired it again in the meantime, under a new epoch.
            if m.held.get(shard).map(|h| h.epoch) == held.get(shard).copied() {
                log::warn!("shard {shard} lost: fenced out");
                metrics::counter!("entry_shards_lost").increment(1);
                m.held.remove(shard);
            }
        }
        Ok(())
    }

    /// Removes old rows of the shards held. The holder of the domain's first shard also removes old
    /// write records and saves the catalogue snapshot.
    async fn collect_garbage(&self, now: Millis) -> Result<(), PlatformError> {
        let (held, usable) = self.held_shards().await;
        let first = self.inventory.lock().unwrap().as_ref().map(|i| i.shards[0].0.clone());
        let pass = sched::gc::Pass {
            platform: &self.platform,
            me: &self.addr.id,
            domain: &self.addr.domain,
            before: now.saturating_sub(self.timing.keep_ms),
        };
        for (shard, &epoch) in held.iter().filter(|(s, _)| usable.contains(*s)) {
            let mut removed = pass.jobs(shard, epoch).await?;
            if Some(shard) == first.as_ref() {
                removed += pass.writes(shard, epoch).await?;
                snapshot::save(&self.platform, &self.addr.domain, &self.catalogue()).await?;
            }
            metrics::counter!("entry_rows_swept").increment(removed as u64);
        }
        Ok(())
    }

    /// Keeps the catalogue up to date with the table.
    pub(super) async fn watch_catalogue(self: Arc<Self>) {
        loop {
            let cat = self.refresh_catalogue().await;
            if cat.version == 0 {
                // The table has been unavailable since the start; use the last snapshot.
                if let Some(cat) = snapshot::load(&self.platform, &self.addr.domain).await {
                    self.install_catalogue(cat);
                }
            }
            if !self.sleep_unless_stopped(self.timing.watch_ms).await {
                return;
            }
        }
    }

    /// Marks the runners that the platform's instance list shows as leaving.
    pub(super) async fn follow_instances(self: Arc<Self>) {
        loop {
            if let Ok(list) = self.platform.instances().await {
                let leaving: BTreeSet<String> = list
                    .into_iter()
                    .filter(|(_, s)| *s == InstanceState::Leaving)
                    .map(|(n, _)| n)
                    .collect();
                self.pool.set_leaving(&leaving);
            }
            if !self.sleep_unless_stopped(self.timing.instances_ms).await {
                return;
            }
        }
    }
}
