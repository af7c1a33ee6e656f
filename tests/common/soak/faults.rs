//! Faults from outside, in series that overlap.

use super::instances::{self, Instance};
use super::load::KINDS;
use super::runner::{Fleet, LOST};
use crate::common::users::{Platform, StoreMode};
use async_std::task;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::{json, Value};
use std::collections::BTreeSet;
use std::str::FromStr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Time until a leader that was killed in a series is started again.
const SERIES_DOWN: Duration = Duration::from_millis(500);

/// A kind of fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Fault {
    /// An instance is killed and started again.
    Kill,
    /// An instance is stopped and continued.
    Freeze,
    /// Instances are terminated and started again in turn.
    Term,
    /// All instances are killed at once.
    KillAll,
    /// The store answers no call, or refuses all.
    StoreDown,
    StoreSlow,
    /// Writes are executed and not answered, some of them late.
    StoreLost,
    /// The store refuses the leader.
    StoreCut,
    /// Runners receive nothing and run on.
    RunnerCut,
    RunnerCrash,
    /// Runners crash and do not come back.
    RunnerLost,
    /// Leaders are killed in series, each soon after its term has begun.
    LeaderSeries,
    /// A route is removed, renamed or moved, and brought back.
    Config,
    /// Calls to runners are executed seconds later.
    Late,
    /// Answers of runners are lost.
    Lost,
}

impl Fault {
    pub const ALL: [(&'static str, Self); 15] = [
        ("kill", Self::Kill),
        ("freeze", Self::Freeze),
        ("term", Self::Term),
        ("kill-all", Self::KillAll),
        ("store-down", Self::StoreDown),
        ("store-slow", Self::StoreSlow),
        ("store-lost", Self::StoreLost),
        ("store-cut", Self::StoreCut),
        ("runner-cut", Self::RunnerCut),
        ("runner-crash", Self::RunnerCrash),
        ("runner-lost", Self::RunnerLost),
        ("leader-series", Self::LeaderSeries),
        ("config", Self::Config),
        ("late", Self::Late),
        ("lost", Self::Lost),
    ];
}

impl FromStr for Fault {
    type Err = String;

    fn from_str(name: &str) -> Result<Self, String> {
        let found = Self::ALL.iter().find(|(n, _)| *n == name);
        found.map(|(_, fault)| *fault).ok_or_else(|| format!("no fault {name:?}"))
    }
}

/// What faults act on.
#[derive(Clone)]
pub struct Target {
    pub instances: Arc<Vec<Instance>>,
    pub fleet: Arc<Fleet>,
    pub platform: Arc<Platform>,
    pub runners: usize,
    pub config: Arc<Mutex<Value>>,
}

impl Target {
    /// Brings about the faults of `script`, each at its time in ms, then faults of these kinds until
    /// `time`, and waits until the last one is over.
    pub async fn run(
        self,
        kinds: BTreeSet<Fault>,
        script: &'static [(u64, Fault)],
        time: Duration,
        mut rng: StdRng,
    ) {
        let kinds: Vec<Fault> = kinds.into_iter().collect();
        let (began, mut running) = (Instant::now(), Vec::new());
        for (at_ms, fault) in script {
            task::sleep(Duration::from_millis(*at_ms).saturating_sub(began.elapsed())).await;
            let own = StdRng::seed_from_u64(rng.gen());
            running.push(task::spawn(self.clone().cause_noted(*fault, own)));
        }
        while !kinds.is_empty() {
            task::sleep(Duration::from_millis(rng.gen_range(300..3_500))).await;
            if began.elapsed() >= time {
                break;
            }
            let fault = kinds[rng.gen_range(0..kinds.len())];
            let own = StdRng::seed_from_u64(rng.gen());
            running.push(task::spawn(self.clone().cause_noted(fault, own)));
        }
        futures::future::join_all(running).await;
    }

    /// Causes a fault, and tells the judge when it begins and is over.
    async fn cause_noted(self, fault: Fault, rng: StdRng) {
        let fleet = self.fleet.clone();
        fleet.world.lock().unwrap().fault_begins(Instant::now());
        self.cause(fault, rng).await;
        fleet.world.lock().unwrap().fault_ends(Instant::now());
    }

    async fn restart(&self, n: usize, down: Duration) {
        self.instances[n].kill();
        task::sleep(down).await;
        if !self.instances[n].is_up() {
            self.instances[n].boot();
        }
    }

    async fn cause(self, fault: Fault, mut rng: StdRng) {
        let mut some_ms = |least: u64, most: u64| Duration::from_millis(rng.gen_range(least..most));
        let (short, long) = (some_ms(200, 2_500), some_ms(3_000, 6_000));
        // Some outages are longer than a leader holds out.
        let outage = some_ms(3_000, 14_000);
        let all = self.instances.len();
        // The leader is hit more often than others.
        let n = match rng.gen_bool(0.6) {
            true => instances::leader(&self.instances).await,
            false => rng.gen_range(0..all),
        };
        match fault {
            Fault::Kill => self.restart(n, short).await,
            Fault::Freeze => {
                self.instances[n].signal("STOP");
                task::sleep(Duration::from_secs(4)).await;
                self.instances[n].signal("CONT");
            }
            Fault::Term => {
                for i in 0..all.min(3) {
                    let instance = &self.instances[(n + i) % all];
                    instance.terminate().await;
                    task::sleep(Duration::from_millis(rng.gen_range(50..1_500))).await;
                    if !instance.is_up() {
                        instance.boot();
                    }
                }
            }
            Fault::KillAll => {
                self.instances.iter().for_each(Instance::kill);
                task::sleep(short).await;
                for instance in self.instances.iter().filter(|i| !i.is_up()) {
                    instance.boot();
                }
            }
            Fault::StoreDown => {
                let refusing = rng.gen_bool(0.5);
                let mode = if refusing { StoreMode::Refusing } else { StoreMode::Unresponsive };
                self.store(mode, outage).await;
            }
            Fault::StoreSlow => self.store(StoreMode::Slow(240), long).await,
            Fault::StoreLost => {
                let late = StoreMode::LateWrites(rng.gen_range(1_000..4_000));
                let mode = if rng.gen_bool(0.5) { StoreMode::NoWriteAnswers } else { late };
                self.store(mode, long).await;
            }
            Fault::StoreCut => {
                self.instances[n].gate.close();
                task::sleep(outage).await;
                self.instances[n].gate.open();
            }
            Fault::RunnerCut => {
                for _ in 0..self.runners.div_ceil(6) {
                    let (r, now) = (rng.gen_range(0..self.runners), Instant::now());
                    self.fleet.world.lock().unwrap().cut(r, short + long, now);
                }
                task::sleep(short + long).await;
            }
            Fault::RunnerCrash => self.fleet.crash(rng.gen_range(0..self.runners), short).await,
            Fault::RunnerLost => self.lose_runners(&mut rng).await,
            Fault::LeaderSeries => {
                let mut restarts = Vec::new();
                for _ in 0..4 {
                    let n = instances::next_leader(&self.instances).await;
                    let target = self.clone();
                    restarts.push(task::spawn(async move { target.restart(n, SERIES_DOWN).await }));
                    task::sleep(Duration::from_millis(rng.gen_range(1_200..1_600))).await;
                }
                futures::future::join_all(restarts).await;
            }
            Fault::Config => {
                let (route, change) = (rng.gen_range(0..KINDS.len()), rng.gen_range(0..3));
                self.change_config(|config| {
                    let routes = config["routes"].as_array_mut().expect("routes");
                    match change {
                        0 => drop(routes.remove(route.min(routes.len() - 1))),
                        1 => routes[route]["name"] = json!("renamed"),
                        _ => routes[route]["path_prefix"] = json!("/moved/"),
                    }
                });
                task::sleep(short).await;
                self.change_config(|_| {});
            }
            Fault::Late => {
                self.fleet.world.lock().unwrap().late_share = 0.05;
                task::sleep(long).await;
                self.fleet.world.lock().unwrap().late_share = 0.0;
            }
            Fault::Lost => {
                self.fleet.world.lock().unwrap().lost_share = 0.05;
                task::sleep(long).await;
                self.fleet.world.lock().unwrap().lost_share = 0.0;
            }
        }
    }

    /// Loses a quarter of the runners that are left, as long as half of all are left.
    async fn lose_runners(&self, rng: &mut StdRng) {
        let lost: Vec<usize> = {
            let now = Instant::now();
            let world = self.fleet.world.lock().unwrap();
            let is_left = |n: &usize| !world.runners[*n].is_lost(now);
            let mut left: Vec<usize> = (0..self.runners).filter(is_left).collect();
            let count = (left.len() / 4).min(left.len() - self.runners.div_ceil(2));
            (0..count).map(|_| left.swap_remove(rng.gen_range(0..left.len()))).collect()
        };
        let crashes = lost.into_iter().map(|n| self.fleet.crash(n, LOST));
        futures::future::join_all(crashes).await;
    }

    /// Puts a new version of the configuration: the first one, changed.
    fn change_config(&self, change: impl FnOnce(&mut Value)) {
        let mut config = self.config.lock().unwrap();
        config["version"] = json!(config["version"].as_u64().unwrap_or(0) + 1);
        let mut changed = config.clone();
        change(&mut changed);
        self.platform.put("op", "config", &changed);
    }

    async fn store(&self, mode: StoreMode, time: Duration) {
        self.platform.set_store_mode(mode);
        task::sleep(time).await;
        self.platform.set_store_mode(super::STORE);
    }
}
