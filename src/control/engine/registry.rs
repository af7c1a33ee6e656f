//! The registry of runners: which there are, with their addresses and capacities.

use super::runners::Runner;
use super::{Engine, RunnerKey};
use crate::control::ports::RunnerEntry;
use std::collections::BTreeSet;

impl Engine {
    /// The newest known incarnation of the runner with this id, created if it does not exist.
    pub(super) fn runner_named(&mut self, id: &str) -> RunnerKey {
        if let Some(&k) = self.by_id.get(id) {
            return k;
        }
        self.add_runner(id)
    }

    fn add_runner(&mut self, id: &str) -> RunnerKey {
        let k = self.runners.push(Runner::new(id));
        self.by_id.insert(id.to_string(), k);
        k
    }

    /// Applies a change of a runner's registry entry; `None` if the entry was removed.
    pub fn register(&mut self, id: &str, entry: Option<RunnerEntry>) {
        let known = self.runner_named(id);
        let names_other = |r: &Runner| entry.as_ref().is_some_and(|e| r.differs(e));
        let last = self.runners.get(known);
        let k = if last.replaced && names_other(last) { self.add_runner(id) } else { known };
        let next_rack = self.racks.len() as u32;
        let runner = self.runners.get_mut(k);
        let before = (runner.listed, runner.entry.as_ref().is_some_and(|e| e.draining));
        let names_other = names_other(runner);
        runner.listed = entry.is_some() && !names_other;
        match entry {
            Some(e) if names_other => {
                if runner.announced.as_ref().is_none_or(|last| last.born != e.born) {
                    log::info!(runner = id, born:? = e.born, was_born:? = runner.born,
                        tasks = runner.tasks.len();
                        "registry shows another incarnation of a runner");
                }
                runner.announced = Some(e);
                runner.next_poll = 0;
            }
            Some(e) => {
                let (capacity, used) = (runner.capacity(), runner.used);
                if runner.entry.is_some() && capacity != e.capacity {
                    log::info!(runner = id, cpu = e.capacity.cpu, mem = e.capacity.mem,
                        was_cpu = capacity.cpu, was_mem = capacity.mem, used_cpu = used.cpu,
                        used_mem = used.mem;
                        "capacity changed");
                }
                runner.rack = *self.racks.entry(e.rack.clone()).or_insert(next_rack);
                runner.born = runner.born.or(e.born);
                runner.announced = None;
                runner.entry = Some(e);
            }
            None => runner.announced = None,
        }
        let after = (runner.listed, runner.entry.as_ref().is_some_and(|e| e.draining));
        // A new leader reads the entries of all runners, which are nothing new.
        if before != after && (self.registry_read || after.1) {
            log::info!(runner = id, listed = after.0, draining = after.1, tasks = runner.tasks.len();
                "registry entry changed");
        }
    }

    /// Unlists the runners that a full read of the registry did not return.
    pub fn retain_registered(&mut self, ids: &BTreeSet<String>) {
        let unlisted: Vec<String> = self
            .runners
            .iter()
            .filter(|(_, r)| (r.listed || r.announced.is_some()) && !ids.contains(&r.id))
            .map(|(_, r)| r.id.clone())
            .collect();
        for id in unlisted {
            self.register(&id, None);
        }
        if !self.registry_read {
            let unlisted = self.runners.iter().filter(|(_, r)| !r.listed && !r.tasks.is_empty());
            let tasks: Vec<usize> = unlisted.map(|(_, r)| r.tasks.len()).collect();
            log::info!(runners = ids.len(), unlisted = tasks.len(),
                unlisted_tasks = tasks.iter().sum::<usize>(); "registry read");
        }
        self.registry_read = true;
    }
}
