//! What a scheduler has under way: each call a future that ends in an event.

use super::{Event, Leader, BEAT_MS, RETRY_MS};
use crate::control::engine::{Action, Batch, Outcome};
use crate::control::mirror::Table;
use crate::control::model::JobId;
use crate::control::office::Term;
use crate::control::parts::{Part, Scope};
use crate::control::ports::{Commit, Key, Txn};
use crate::control::rows;
use futures::future::{BoxFuture, FutureExt};
use std::collections::BTreeSet;

/// A commit is waited for at least this long, ms: see the intake's.
const COMMIT_MS: u64 = 900;

/// Longest wait of a poll for a change, ms.
const POLL_MS: u64 = 1_000;

/// Time between two goes at removing ended jobs, ms.
const SWEEP_MS: u64 = 500;

impl Leader {
    pub(super) fn follow(&self, table: Table, pace: u64) -> BoxFuture<'_, Event> {
        async move {
            loop {
                let began = self.clock.mono();
                if self.mirror.poll(table, POLL_MS).await.is_err() {
                    self.clock.sleep(RETRY_MS).await;
                }
                let spent = self.clock.mono() - began;
                self.clock.sleep(pace.saturating_sub(spent).max(1)).await;
            }
        }
        .boxed()
    }

    pub(super) fn beat(&self, term: Term) -> BoxFuture<'_, Event> {
        async move {
            let sent = self.clock.mono();
            Event::Beat(self.office.beat(term).await, sent)
        }
        .boxed()
    }

    /// The next sign of life is due at its time, whether or not the last one was answered: one
    /// that waits for a lost answer would look like silence.
    pub(super) fn beat_later(&self) -> BoxFuture<'_, Event> {
        async move {
            self.clock.sleep(BEAT_MS).await;
            Event::BeatDue
        }
        .boxed()
    }

    pub(super) fn sweep_later(&self) -> BoxFuture<'_, Event> {
        async move {
            self.clock.sleep(SWEEP_MS).await;
            Event::Swept
        }
        .boxed()
    }

    /// Removes ended jobs: the job first, so that no progress is ever missing for one.
    pub(super) fn sweep(&self, gone: Vec<JobId>) -> BoxFuture<'_, Event> {
        async move {
            for id in gone {
                let jobs = vec![rows::job_key(id), rows::cancel_key(id)];
                let first = Txn { remove: jobs, ..Txn::default() };
                let then = Txn { remove: vec![rows::progress_key(id)], ..Txn::default() };
                for txn in [first, then] {
                    if let Err(e) = self.store.commit(&txn, COMMIT_MS).await {
                        log::warn!(job:% = id, why:% = e; "ended job not removed");
                        break;
                    }
                }
                self.mirror.forget(id);
            }
            self.clock.sleep(SWEEP_MS).await;
            Event::Swept
        }
        .boxed()
    }

    pub(super) fn commit(&self, term: Term, scope: Scope, batch: Batch) -> BoxFuture<'_, Event> {
        async move {
            let parts: BTreeSet<Part> = batch.writes.iter().map(|w| Part::of(w.job)).collect();
            let fence = |p: &Part| (rows::fence_key(*p), term.parts[p.index()]);
            let expect = parts.iter().map(fence).collect();
            let mut txn = Txn { expect, ..Txn::default() };
            for w in &batch.writes {
                let key = rows::progress_key(w.job);
                txn.expect.push((key.clone(), w.version));
                txn.put.push((key, w.value.clone()));
            }
            let sent = self.clock.mono();
            let res = self.store.commit(&txn, self.mirror.patience(COMMIT_MS)).await;
            let ms = self.clock.mono() - sent;
            metrics::histogram!("control_commit_seconds").record(ms as f64 / 1000.0);
            let out = match res {
                Ok(Commit::Done(version)) => Outcome::Done(version),
                Ok(Commit::Conflict(found)) => {
                    let holds = |(key, version): (Key, u64)| {
                        found.iter().any(|r| r.key == key && r.version == version)
                    };
                    if !parts.iter().map(fence).all(holds) {
                        return Event::Deposed;
                    }
                    log::info!(rows = batch.writes.len(); "commit met an earlier write of ours");
                    Outcome::Conflict(found)
                }
                Err(e) => {
                    log::debug!(why:% = e, rows = batch.writes.len(), ms = ms; "commit failed");
                    Outcome::Unknown
                }
            };
            Event::Committed(scope, batch, out, sent)
        }
        .boxed()
    }

    pub(super) fn perform(&self, act: Action) -> BoxFuture<'_, Event> {
        async move {
            match act {
                Action::Start { runner, to, start, after_ms } => {
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
                Action::Hold { runner, to, hold } => {
                    Event::Looked(runner, self.runners.hold(&to, &hold).await)
                }
                Action::Ask { step, ids, cost_ms } => {
                    let res = self.desk.ask(step, ids.clone(), cost_ms).await;
                    Event::Advised(step, ids, res)
                }
            }
        }
        .boxed()
    }
}
