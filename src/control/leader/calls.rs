//! Calls of the scheduler to the store, the runners and the advice service. Each is a future that
//! ends in an [`Event`].

use super::{Event, Leader, HEARTBEAT_MS, RETRY_MS};
use crate::control::election::Term;
use crate::control::engine::{Action, Batch, Outcome};
use crate::control::mirror::Table;
use crate::control::model::JobId;
use crate::control::partitions::{Partition, PartitionScope};
use crate::control::ports::{Commit, CommitError, Key, Txn};
use crate::control::rows;
use futures::future::{BoxFuture, FutureExt};
use std::collections::BTreeSet;

/// Minimum timeout of a commit, ms: twice that of the submission writer.
const COMMIT_MS: u64 = 900;

/// Longest time that a poll of the feed waits for a change, ms.
const POLL_MS: u64 = 1_000;

/// Time between two garbage collections of ended jobs, ms.
const GC_INTERVAL_MS: u64 = 500;

impl Leader {
    /// Keeps a table up to date by polling its feed; never completes.
    pub(super) fn follow(&self, table: Table, interval_ms: u64) -> BoxFuture<'_, Event> {
        async move {
            loop {
                let began = self.clock.mono();
                if self.mirror.poll(table, POLL_MS).await.is_err() {
                    self.clock.sleep(RETRY_MS).await;
                }
                let spent = self.clock.mono() - began;
                self.clock.sleep(interval_ms.saturating_sub(spent).max(1)).await;
            }
        }
        .boxed()
    }

    pub(super) fn heartbeat(&self, term: Term) -> BoxFuture<'_, Event> {
        async move {
            let sent = self.clock.mono();
            Event::Heartbeat(self.election.send_heartbeat(term).await, sent)
        }
        .boxed()
    }

    /// Triggers the next heartbeat after a fixed time, whether or not the previous one was
    /// answered: heartbeats that wait for a lost answer could cost the leader its term.
    pub(super) fn heartbeat_later(&self) -> BoxFuture<'_, Event> {
        async move {
            self.clock.sleep(HEARTBEAT_MS).await;
            Event::HeartbeatDue
        }
        .boxed()
    }

    pub(super) fn gc_later(&self) -> BoxFuture<'_, Event> {
        async move {
            self.clock.sleep(GC_INTERVAL_MS).await;
            Event::GcDue(Vec::new())
        }
        .boxed()
    }

    /// Deletes the rows of ended jobs. Jobs whose rows may still be stored stay in the cache: a job
    /// found in the store and not in the cache would appear to be a new one.
    pub(super) fn collect_garbage(&self, expired: Vec<JobId>) -> BoxFuture<'_, Event> {
        async move {
            let mut remaining = Vec::new();
            for id in expired {
                match self.delete_job(id).await {
                    Ok(version) => self.mirror.delete_job(id, version),
                    Err(e) => {
                        log::warn!(job:% = id, why:% = e; "ended job not removed");
                        remaining.push(id);
                    }
                }
            }
            self.clock.sleep(GC_INTERVAL_MS).await;
            Event::GcDue(remaining)
        }
        .boxed()
    }

    /// Deletes the rows of a job, and returns the version of the deletion. The job's own row goes
    /// first: a job without progress would appear never to have started.
    async fn delete_job(&self, id: JobId) -> Result<u64, CommitError> {
        let keys = vec![rows::job_key(id), rows::cancel_key(id)];
        let job = Txn { remove: keys, ..Txn::default() };
        let progress = Txn { remove: vec![rows::progress_key(id)], ..Txn::default() };
        let mut deleted = 0;
        for txn in [job, progress] {
            if let Commit::Done(version) = self.store.commit(&txn, COMMIT_MS).await? {
                deleted = version;
            }
        }
        Ok(deleted)
    }

    pub(super) fn commit(
        &self,
        term: Term,
        scope: PartitionScope,
        batch: Batch,
    ) -> BoxFuture<'_, Event> {
        async move {
            let partitions: BTreeSet<Partition> =
                batch.writes.iter().map(|w| Partition::of(w.job)).collect();
            let fence = |p: &Partition| (rows::fence_key(*p), term.fence_versions[p.index()]);
            let expect = partitions.iter().map(fence).collect();
            let mut txn = Txn { expect, ..Txn::default() };
            for w in &batch.writes {
                let key = rows::progress_key(w.job);
                txn.expect.push((key.clone(), w.version));
                txn.put.push((key, w.value.clone()));
            }
            let sent = self.clock.mono();
            let res = self.store.commit(&txn, self.mirror.write_timeout_ms(COMMIT_MS)).await;
            let ms = self.clock.mono() - sent;
            metrics::histogram!("control_commit_seconds").record(ms as f64 / 1000.0);
            let outcome = match res {
                Ok(Commit::Done(version)) => Outcome::Done(version),
                Ok(Commit::Conflict(found)) => {
                    let matches = |(key, version): (Key, u64)| {
                        found.iter().any(|r| r.key == key && r.version == version)
                    };
                    if !partitions.iter().map(fence).all(matches) {
                        return Event::Replaced;
                    }
                    Outcome::Conflict(found)
                }
                Err(e) => {
                    log::debug!(why:% = e, rows = batch.writes.len(), ms = ms; "commit failed");
                    Outcome::Unknown
                }
            };
            Event::Committed(scope, batch, outcome, sent)
        }
        .boxed()
    }

    pub(super) fn perform(&self, action: Action) -> BoxFuture<'_, Event> {
        async move {
            match action {
                Action::Start { runner, to, start, after_ms, .. } => {
                    if after_ms > 0 {
                        self.clock.sleep(after_ms).await;
                    }
                    let res = self.runners.start(&to, &start).await;
                    Event::Started(runner, start.task, start.attempt, res)
                }
                Action::Stop { runner, to, order } => {
                    let res = self.runners.stop(&to, &order).await;
                    Event::Stopped(runner, order.task, order.attempt, res)
                }
                Action::Poll { runner, to, poll } => {
                    Event::Polled(runner, self.runners.poll(&to, &poll).await)
                }
                Action::RequestAdvice { step, runners, ids, cost_ms } => {
                    let res = self.server.request(step, ids, cost_ms).await;
                    Event::Advised(step, runners, res)
                }
            }
        }
        .boxed()
    }
}
