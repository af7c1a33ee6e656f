//! Reads the inputs of a round: polls of the workers, pending-job entries, job rows, and the
//! placement rows of a newly acquired shard.

use super::{Cached, Commitments, Ctx, Sched};
use crate::entry::rows::{self, JobRow};
use crate::standin::client::PlatformError;
use crate::standin::tasks::ShardPoll;
use crate::standin::{place_prefix, PlaceRow};
use std::collections::{BTreeMap, BTreeSet};

impl Sched {
    /// Polls the workers of all held shards. Returns the shards whose epoch was superseded.
    pub(super) async fn poll(
        &mut self,
        cx: &Ctx<'_>,
        held: &BTreeMap<String, u64>,
    ) -> Result<Vec<String>, PlatformError> {
        let polls: Vec<ShardPoll> = held
            .iter()
            .filter_map(|(name, &epoch)| {
                let s = self.shards.get(name)?;
                Some(ShardPoll {
                    shard: name.clone(),
                    epoch,
                    acked: s.acked,
                    hold_ms: cx.hold_ms,
                    inventory: s.loaded.is_none(),
                })
            })
            .collect();
        let reports = match cx.platform.poll(polls.clone()).await {
            Ok(r) => r,
            Err(e) => {
                // The poll may have taken effect although its answer was lost. Task leases may
                // last until now plus the lease period, so no worker of these shards may be
                // considered lost before that time.
                let now = cx.clock.now();
                for (name, &epoch) in held {
                    self.record_contact(name, epoch, &BTreeSet::new(), now);
                }
                return Err(e);
            }
        };
        let now = cx.clock.now();
        let mut lost = Vec::new();
        for (p, r) in polls.iter().zip(reports) {
            self.polled = self.polled.max(r.now);
            if r.stale {
                log::warn!("shard {}: epoch {} superseded at the workers", p.shard, p.epoch);
                lost.push(p.shard.clone());
                continue;
            }
            let unreachable: BTreeSet<String> = r.unreachable.into_iter().collect();
            self.record_contact(&p.shard, p.epoch, &unreachable, now);
            let Some(s) = self.shards.get_mut(&p.shard) else { continue };
            s.ended = r.ended;
            if p.inventory {
                s.running = Some(r.running.into_iter().map(|(t, a, w)| (t, (a, w))).collect());
            }
        }
        Ok(lost)
    }

    /// Records which workers of `shard` are unreachable, and `now` as the last contact with the
    /// others and with workers that have none yet under `epoch`: the last holder may have extended
    /// their task leases until now.
    fn record_contact(
        &mut self,
        shard: &str,
        epoch: u64,
        unreachable: &BTreeSet<String>,
        now: u64,
    ) {
        let Some(s) = self.shards.get_mut(shard) else { return };
        let first = s.polled.replace(epoch) != Some(epoch);
        for &k in &s.workers {
            let w = self.workers.get_mut(k);
            let was_unreachable = w.unreachable;
            w.unreachable = unreachable.contains(&w.info.name);
            if w.unreachable != was_unreachable {
                log::info!("worker {} reachable={}", w.info.name, was_unreachable);
            }
            if !w.unreachable || first {
                w.last_contact = now;
            }
        }
    }

    /// Updates the pending-job entries of the domain from the table's feed, which returns only the
    /// changes since the last call.
    pub(super) async fn follow_pending(&mut self, cx: &Ctx<'_>) -> Result<(), PlatformError> {
        let prefix = rows::pending_prefix(cx.domain);
        let feed = cx.platform.feed(&prefix, self.revision).await?;
        self.revision = feed.revision;
        if feed.reset {
            self.pending.clear();
            self.jobs.clear();
        }
        let now = cx.clock.now();
        let split = |key: &str| {
            let (shard, id) = key.strip_prefix(&prefix)?.split_once('/')?;
            Some((shard.to_string(), id.to_string()))
        };
        for (shard, id) in feed.rows.keys().filter_map(|k| split(k)) {
            // The writer of the entry also changed the job row, so it must be read again.
            self.jobs.remove(&id);
            self.pending.entry(shard).or_default().entry(id).or_insert(now);
        }
        for (shard, id) in feed.gone.iter().filter_map(|k| split(k)) {
            if let Some(m) = self.pending.get_mut(&shard) {
                m.remove(&id);
            }
        }
        Ok(())
    }

    /// Reads the placement rows of the shards that are not loaded yet, with one scan per shard.
    pub(super) async fn load(
        &mut self,
        cx: &Ctx<'_>,
        plannable: &BTreeMap<String, u64>,
    ) -> Result<(), PlatformError> {
        for (name, &epoch) in plannable {
            if self.shards.get(name).is_none_or(|s| s.loaded.is_some()) {
                continue;
            }
            let prefix = place_prefix(name);
            let rows = cx.platform.scan(&prefix).await?;
            let Some(s) = self.shards.get_mut(name) else { continue };
            for &k in &s.workers {
                self.workers.get_mut(k).commitments = Commitments::default();
            }
            s.loaded = Some(epoch);
            for (key, r) in rows {
                let Some(task) = key.strip_prefix(&prefix) else { continue };
                let Some(place) = rows::decode::<PlaceRow>(&r.value) else { continue };
                if let Some(&k) = self.names.get(&place.worker) {
                    self.workers.get_mut(k).commitments.add(task, place.demand);
                }
            }
        }
        Ok(())
    }

    /// Reads the rows of all jobs that this round may change, unless they are cached.
    pub(super) async fn read_jobs(
        &mut self,
        cx: &Ctx<'_>,
        plannable: &BTreeMap<String, u64>,
    ) -> Result<(), PlatformError> {
        let mut needed: BTreeSet<String> = BTreeSet::new();
        for name in plannable.keys() {
            needed.extend(self.pending.get(name).into_iter().flat_map(|m| m.keys().cloned()));
            let Some(s) = self.shards.get(name) else { continue };
            let ended = s.ended.iter().map(|e| &e.task);
            let committed =
                s.workers.iter().flat_map(|&k| self.workers.get(k).commitments.tasks.keys());
            let tasks = ended.chain(committed);
            needed.extend(tasks.filter_map(|t| Some(rows::task_parts(t)?.0.to_string())));
        }
        let keys: Vec<String> = needed
            .iter()
            .filter(|id| !self.jobs.contains_key(*id))
            .map(|id| rows::job_key(id))
            .collect();
        if keys.is_empty() {
            return Ok(());
        }
        for r in cx.platform.get(keys).await?.into_values() {
            if let Some(row) = rows::decode::<JobRow>(&r.value) {
                self.jobs.insert(row.id.clone(), Cached { version: r.version, row });
            }
        }
        Ok(())
    }
}
