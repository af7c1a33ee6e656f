//! Learned speeds of runners: samples from completed tasks, the classes of runners that placement
//! uses, and the row that a new leader starts with.
//!
//! Speeds are kept by runner id and not by incarnation: a runner that restarts on the same machine
//! has the same speed. With the feature off nothing is recorded and no runner is slow, so that
//! placement is as without speeds.

use super::runners::Runner;
use super::runs::Stage;
use super::{Engine, Now, RunnerKey};
use crate::control::model::{Attempt, Born, Queue, StepId, TaskId};
use crate::control::policy::queue::Rank;
use crate::control::policy::speeds::{
    self, Estimate, Preference, PreferenceInput, Samples, Timing,
};
use crate::control::rows;
use crate::control::speeds_row::{RunnerSpeed, SpeedsRow};
use std::collections::BTreeMap;
use xxhash_rust::xxh3;

/// Interval between two evaluations of all speeds, ms: short against the time in which a speed is
/// learned, and long enough that the evaluation of hundreds of runners costs nothing.
const REFRESH_MS: u64 = 500;

/// Shortest interval between two writes of the row, ms.
const WRITE_INTERVAL_MS: u64 = 5_000;

/// Most changes of a runner's class that are logged at an evaluation.
const MAX_LOGGED: usize = 8;

/// Speed of one runner.
#[derive(Debug)]
struct RunnerSamples {
    samples: Samples,
    /// Fingerprint of the address, the capacity and the labels of the runner.
    kind: u64,
    /// Its incarnation, if the platform says.
    born: Option<Born>,
}

/// Learned speeds of all runners.
#[derive(Debug, Default)]
pub(super) struct Speeds {
    by_id: BTreeMap<String, RunnerSamples>,
    /// Speeds against the average, of the runners whose speed is known.
    factors: BTreeMap<RunnerKey, f64>,
    /// Those of them that are slow.
    slow: BTreeMap<RunnerKey, f64>,
    /// When all speeds are evaluated next, local ms.
    refresh_at: u64,
    /// When the row may be written next, local ms.
    write_at: u64,
    /// Whether samples were added since the row was last written.
    changed: bool,
    /// Whether a write of the row is in flight.
    writing: bool,
}

impl Speeds {
    /// The speed of a slow runner against the average; `None` for any other.
    pub fn slow(&self, k: RunnerKey) -> Option<f64> {
        self.slow.get(&k).copied()
    }
}

/// Fingerprint of what a runner keeps while it is the same kind of runner; `None` if the registry
/// has not listed it.
fn kind(runner: &Runner) -> Option<u64> {
    let e = runner.entry.as_ref()?;
    let labels: Vec<&str> = e.labels.iter().map(String::as_str).collect();
    let capacity = [e.capacity.cpu, e.capacity.mem, e.capacity.acc];
    Some(xxh3::xxh3_64(&rows::encode(&(e.addr, capacity, labels))))
}

impl RunnerSamples {
    /// Adapts the samples to the runner as it is now: a new incarnation of the same kind keeps half
    /// of them, one of another kind none. The registry may show the kind later than an answer shows
    /// the incarnation.
    fn adapt(&mut self, kind: u64, born: Option<Born>) {
        if self.kind != kind {
            self.samples = Samples::default();
        } else if self.born.zip(born).is_some_and(|(known, now)| known != now) {
            self.samples.halve();
        }
        self.kind = kind;
        self.born = born.or(self.born);
    }
}

impl Engine {
    /// Records how long a task took that has completed at `clock`, ms of its runner's clock. Called
    /// before its run is released. Not recorded: runs that an earlier leader has started, at a time
    /// that is not known, and tasks that were started before, since they may have resumed from a
    /// checkpoint. Members of a gang all take as long as the slowest. Neither is a task whose completion
    /// may have been listed long after its end, for which `prompt` is false.
    pub(super) fn record_timing(&mut self, id: TaskId, clock: u64, prompt: bool) {
        let Some(job) = self.jobs.get_mut(&id.step.job) else { return };
        if !self.rules.features.runner_speeds || !prompt || job.spec(id.step).gang {
            return;
        }
        let Some(step) = job.step_mut(id.step) else { return };
        let Some(task) = step.tasks.get(id.index as usize) else { return };
        let first = task.attempt <= Attempt::default().next();
        let Some(run) = task.run.as_ref().filter(|r| first && !r.inherited && !task.done) else {
            return;
        };
        if let Stage::Running { clock: began } = run.stage {
            let timing = Timing { runner: run.runner, took: clock.saturating_sub(began) };
            step.timings.push(timing);
        }
    }

    /// Adds samples from the tasks of a step that has just completed. Earlier, the tasks that have
    /// completed would all be the fast ones.
    pub(super) fn learn_speeds(&mut self, id: StepId, now: Now) {
        let Some(step) = self.step_mut(id) else { return };
        let timings = std::mem::take(&mut step.timings);
        let factor = |k: RunnerKey| self.speeds.factors.get(&k).copied().unwrap_or(1.0);
        for (k, log) in speeds::samples(&timings, factor) {
            let runner = self.runners.get(k);
            let Some(kind) = kind(runner).filter(|_| self.by_id.get(&runner.id) == Some(&k)) else {
                continue;
            };
            let known = self.speeds.by_id.entry(runner.id.clone());
            let known = known.or_insert_with(|| RunnerSamples {
                samples: Samples::default(),
                kind,
                born: runner.born,
            });
            known.adapt(kind, runner.born);
            known.samples.record(log, now.mono);
            self.speeds.changed = true;
        }
    }

    /// Evaluates all speeds, if that is due.
    pub(super) fn refresh_speeds(&mut self, now: Now) {
        if !self.rules.features.runner_speeds || self.speeds.refresh_at > now.mono {
            return;
        }
        self.speeds.refresh_at = now.mono + REFRESH_MS;
        let mut estimates: BTreeMap<RunnerKey, Estimate> = BTreeMap::new();
        let (runners, by_id) = (&self.runners, &self.by_id);
        self.speeds.by_id.retain(|id, known| {
            let Some(&k) = by_id.get(id) else { return !known.samples.expired(now.mono) };
            let runner = runners.get(k);
            if let Some(kind) = kind(runner) {
                known.adapt(kind, runner.born);
            }
            if let Some(estimate) = known.samples.estimate(now.mono).filter(|_| runner.listed) {
                estimates.insert(k, estimate);
            }
            !known.samples.expired(now.mono)
        });
        let factors = speeds::factors(&estimates);
        let is_slow = |(k, factor): (&RunnerKey, &f64)| {
            let was_slow = self.speeds.slow.contains_key(k);
            speeds::slow(*factor, estimates[k].samples, was_slow).then_some((*k, *factor))
        };
        let slow: BTreeMap<RunnerKey, f64> = factors.iter().filter_map(is_slow).collect();
        let changed = |k: &&RunnerKey| slow.contains_key(k) != self.speeds.slow.contains_key(k);
        let known = slow.keys().chain(self.speeds.slow.keys().filter(|k| !slow.contains_key(k)));
        for k in known.filter(changed).take(MAX_LOGGED) {
            log::info!(runner = self.runners.get(*k).id, slow = slow.contains_key(k),
                factor:? = factors.get(k), samples = estimates.get(k).map_or(0, |e| e.samples);
                "speed class of a runner changed");
        }
        metrics::gauge!("control_runner_speeds_known").set(factors.len() as f64);
        metrics::gauge!("control_runners_slow").set(slow.len() as f64);
        (self.speeds.factors, self.speeds.slow) = (factors, slow);
    }

    /// The speed of runners that a step prefers; none while no runner is known to be slow.
    pub(super) fn speed_preference(
        &self,
        id: StepId,
        queue: &Queue,
        rank: Rank,
        now: Now,
    ) -> Preference {
        let Some(job) = self.jobs.get(&id.job).filter(|_| !self.speeds.slow.is_empty()) else {
            return Preference::Any;
        };
        let due = job.begin(id.occurrence) + job.objective(queue);
        let (step, key) = (job.spec(id), [id.job.0, id.occurrence.into(), id.step.into()]);
        speeds::preference(&PreferenceInput {
            urgent: !rank.non_urgent && !rank.excess,
            gang: step.gang,
            lasts: step.lasts,
            tasks: step.count as usize,
            no_value: rank.no_value,
            chain: job.path_ms[id.step as usize],
            remaining: due.saturating_sub(now.wall),
            slowest: self.speeds.slow.values().copied().fold(1.0, f64::min),
            hash: xxh3::xxh3_64(&key.map(u64::to_le_bytes).concat()),
        })
    }

    /// Restores speeds that an earlier leader has stored. A row that cannot be read is ignored, and
    /// so are speeds whose last sample is too old.
    pub fn restore_speeds(&mut self, row: &[u8], now: Now) {
        if !self.rules.features.runner_speeds {
            return;
        }
        let row = match rows::decode::<SpeedsRow>(row) {
            Ok(row) => row,
            Err(why) => {
                log::warn!(why:% = why; "stored speeds of runners ignored");
                return;
            }
        };
        let listed = row.speeds.len();
        for RunnerSpeed(id, permille, count, newest, kind, born) in row.speeds {
            let age = now.wall.saturating_sub(newest);
            if age >= speeds::EXPIRY_MS {
                continue;
            }
            let log = (f64::from(permille) / 1000.0).ln();
            let estimate = Estimate { log, samples: count as usize };
            // The machine of this leader may have started after the sample was recorded.
            let samples = Samples::restored(estimate, now.mono.saturating_sub(age));
            self.speeds.by_id.insert(id, RunnerSamples { samples, kind, born });
        }
        log::info!(stored = listed, restored = self.speeds.by_id.len();
            "stored speeds of runners read");
    }

    /// The row of the speeds to write now; `None` if nothing has changed, the last write was too
    /// recent, or it is still in flight. [`Self::speeds_written`] has to be called with the outcome.
    pub fn take_speeds_row(&mut self, now: Now) -> Option<Vec<u8>> {
        let s = &mut self.speeds;
        if !s.changed || s.writing || s.write_at > now.mono || s.factors.is_empty() {
            return None;
        }
        (s.changed, s.writing, s.write_at) = (false, true, now.mono + WRITE_INTERVAL_MS);
        let stored = |(k, factor): (&RunnerKey, &f64)| {
            let id = &self.runners.get(*k).id;
            let known = s.by_id.get(id)?;
            let estimate = known.samples.estimate(now.mono)?;
            let newest = now.wall.saturating_sub(now.mono.saturating_sub(known.samples.newest()));
            let (permille, count) = ((factor * 1000.0) as u32, estimate.samples as u32);
            Some(RunnerSpeed(id.clone(), permille, count, newest, known.kind, known.born))
        };
        let speeds = s.factors.iter().filter_map(stored).collect();
        Some(rows::encode(&SpeedsRow::new(speeds)))
    }

    /// Records the outcome of a write of the row. After a failed one the row is written again.
    pub fn speeds_written(&mut self, stored: bool) {
        self.speeds.writing = false;
        self.speeds.changed |= !stored;
    }

    /// Speed of a runner against the average, if it is known, and whether it is slow; for tests and
    /// the state dump.
    pub fn speed_of(&self, k: RunnerKey) -> Option<(f64, bool)> {
        let factor = self.speeds.factors.get(&k)?;
        Some((*factor, self.speeds.slow.contains_key(&k)))
    }
}
