//! Construction of a cell: its queues, runners and steps.

use super::super::runner::FakeRunner;
use super::ends::Ends;
use super::{queue, Cell, Crashes, Faults, RULES};
use currantgw::control::engine::{Engine, Now, Rules};
use currantgw::control::leader::CommitBatching;
use currantgw::control::model::{Approval, Catalogue, Queue};
use currantgw::control::partitions;
use currantgw::control::ports::RunnerEntry;
use currantgw::kernel::res::Resources;
use rand::rngs::StdRng;
use rand::SeedableRng;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

impl Cell {
    /// A cell of `n` runners of 16 cores, with queues `urgent`, `patient` and `asked` (whose policy
    /// approves runners).
    pub fn new(n: usize, seed: u64) -> Self {
        let capacity = Resources { cpu: 16_000, mem: 64_000, acc: 0 };
        let approval = Approval { base_ms: 10.0, each_ms: 1.0, valid_ms: 2_000 };
        let queues = [
            queue("urgent", 0, 2, None),
            queue("patient", 2, 3, None),
            queue("asked", 1, 3, Some(approval)),
        ];
        Self::with(RULES, n, capacity, queues.into(), seed)
    }

    /// A cell of `n` runners with capacity `capacity`, with the given queues, under `rules`.
    pub fn with(
        rules: Rules,
        n: usize,
        capacity: Resources,
        queues: Vec<Queue>,
        seed: u64,
    ) -> Self {
        let queues = queues.into_iter().map(|q| (q.name.clone(), q)).collect();
        let cat = Arc::new(Catalogue { version: 1, queues, ..Catalogue::default() });
        let now = 1_000;
        let mut cell = Self {
            engine: Engine::new(rules, 1, 0, Now { mono: now, wall: now }),
            capacity,
            runners: Vec::new(),
            faults: Faults::default(),
            now,
            heartbeat: 0,
            violations: Vec::new(),
            starts: BTreeMap::new(),
            listed: BTreeMap::new(),
            writes: BTreeMap::new(),
            requests: Vec::new(),
            approves: |_, _| true,
            connections: Vec::new(),
            short_connections: 0,
            queue_limit: f64::INFINITY,
            refused: 0,
            stale_tickets: 0,
            unavailable: None,
            times: None,
            work_percent: BTreeMap::new(),
            own_faults: 0.0,
            work_spread: 0,
            long_tail: 0,
            speeds_row: None,
            crashes: Crashes::default(),
            ended: BTreeMap::new(),
            began: BTreeMap::new(),
            planning: Vec::new(),
            caps: BTreeMap::new(),
            cat,
            jobs: BTreeMap::new(),
            cancelled: BTreeSet::new(),
            store: BTreeMap::new(),
            version: 1,
            batching: CommitBatching::new(true, now),
            free: [0; partitions::COUNT],
            term: 1,
            events: BTreeMap::new(),
            seq: 0,
            ends: Ends::default(),
            done: BTreeMap::new(),
            poisoned: BTreeSet::new(),
            rng: StdRng::seed_from_u64(seed),
        };
        for _ in 0..n {
            cell.add_runner();
        }
        cell.engine.set_catalogue(cell.cat.clone());
        cell
    }

    /// Replaces the configuration by one with these queues, which the leader and its successors read.
    pub fn configure(&mut self, queues: Vec<Queue>) {
        let queues = queues.into_iter().map(|q| (q.name.clone(), q)).collect();
        let version = self.cat.version + 1;
        self.cat = Arc::new(Catalogue { version, queues, ..Catalogue::default() });
        self.engine.set_catalogue(self.cat.clone());
    }

    /// Adds a runner and registers it.
    pub fn add_runner(&mut self) -> usize {
        let i = self.runners.len();
        self.runners.push(FakeRunner::new(i, self.capacity));
        self.register(i, true);
        i
    }

    /// Adds a runner to the registry, or removes it.
    pub fn register(&mut self, i: usize, listed: bool) {
        let r = &self.runners[i];
        let entry = RunnerEntry {
            service: "svc".into(),
            addr: format!("127.0.0.1:{}", 1000 + i).parse().unwrap(),
            born: Some(r.born),
            draining: false,
            capacity: r.capacity,
            rack: format!("rack{}", i / 6),
            labels: BTreeSet::new(),
        };
        let id = r.id.clone();
        self.engine.register(&id, listed.then_some(entry));
    }
}
