//! Tests of the scheduler with full racks, lost workers, quotas, failing jobs and gangs, on a cell
//! in this process.

mod common;

use common::{catalogue, eventually, get, job, post, TestCell};
use currantgw::entry::jobs::job_id;
use currantgw::entry::rows::{self, QuotaRow};
use currantgw::entry::{members, Entry};
use currantgw::kernel::clock::Clock;
use currantgw::kernel::res::Resources;
use currantgw::kernel::stop;
use currantgw::standin::faults::{Fault, FaultKind, Target};
use currantgw::standin::PlaceRow;
use proptest::prelude::*;
use std::sync::Arc;
use std::time::Duration;

/// Starts a cell with the example catalogue and waits until it is ready.
async fn ready_cell(entries: usize, racks: u32) -> TestCell {
    let c = TestCell::start(common::cell(entries, 1, racks)).await;
    c.ready().await;
    assert_eq!(post(&format!("{}/catalogue", c.url(0)), &catalogue(0)).await.0, 200);
    c
}

/// A job whose tasks need `cpu` thousandths of a core each.
fn sized_job(entry: &str, tasks: u32, cpu: u64, run_ms: u64, key: &str) -> serde_json::Value {
    let mut j = job(entry, tasks, run_ms, key);
    j["demand"]["cpu"] = cpu.into();
    j
}

async fn submit(c: &TestCell, entry: usize, j: &serde_json::Value) {
    let (status, body) = post(&format!("{}/jobs", c.url(entry)), j).await;
    assert_eq!(status, 200, "{body}");
}

/// Reads the row of the job with this key.
async fn row(c: &TestCell, key: &str) -> serde_json::Value {
    get(&format!("{}/jobs/{}", c.url(0), job_id(key))).await.1
}

/// Waits up to 20 s for the job with this key to reach `state`.
async fn reaches_state(c: &TestCell, key: &str, state: &str) -> bool {
    eventually(400, || async { row(c, key).await["state"] == state }).await
}

/// Guards against a task that runs twice or never ends after its worker became unreachable. This
/// happens if its tasks are placed again before their leases on the worker expire, or never. The
/// worker keeps running and is reachable again after 4 s. Its tasks must be placed elsewhere only
/// after it has killed them by its own clock.
#[async_std::test]
async fn tasks_of_an_unreachable_worker_expire_and_move_without_running_twice() {
    let mut cell = common::cell(1, 1, 1);
    cell.timing.hold_ms = 1_000;
    let c = TestCell::start(cell).await;
    c.ready().await;
    assert_eq!(post(&format!("{}/catalogue", c.url(0)), &catalogue(0)).await.0, 200);
    submit(&c, 0, &sized_job("sabgha/archive", 4, 4_000, 3_000, "cut")).await;
    assert!(eventually(100, || async { c.platform.stats().started == 4 }).await);
    let cut = FaultKind::Cut { worker: "a-r0-w0".into() };
    c.platform.add_faults(vec![Fault::now(Target::Workers, cut, 4_000)]);
    assert!(
        eventually(200, || async { c.platform.stats().lapsed > 0 }).await,
        "no task lease expired"
    );
    assert!(reaches_state(&c, "cut", "finished").await, "{}", row(&c, "cut").await);
    let s = c.platform.stats();
    assert_eq!((s.double_runs, s.overcommitted_workers), (0, 0));
    assert_eq!(s.started, 4 + s.lapsed, "only expired tasks were started again");
    c.stop().await;
}

/// Guards against a task that runs twice because its worker is taken for lost by the contact of an
/// earlier term: another instance held the shard since, and extended the task leases.
#[async_std::test]
async fn a_worker_is_not_lost_by_a_contact_from_before_another_holder() {
    let mut cell = common::cell(2, 1, 1);
    cell.timing.hold_ms = 1_500;
    let ids = cell.entries.iter().map(|e| e.id.clone()).collect();
    let owner = members::owner("a-r0", &ids).unwrap().clone();
    let (second, first) = cell.entries.drain(..).partition(|e| e.id == owner);
    cell.entries = first;
    let mut c = TestCell::start(cell).await;
    c.ready().await;
    assert_eq!(post(&format!("{}/catalogue", c.url(0)), &catalogue(0)).await.0, 200);
    submit(&c, 0, &sized_job("sabgha/archive", 4, 4_000, 60_000, "held")).await;
    assert!(eventually(100, || async { c.platform.stats().started == 4 }).await);
    c.cell.entries.extend(second);
    let (mut trigger, stop) = stop::pair();
    let other = Entry::new(&c.cell, &owner, Clock::real(), stop).unwrap();
    let run = async_std::task::spawn(other.clone().run());
    let holds = |e: Arc<Entry>| async move { e.members.lock().await.held.contains_key("a-r0") };
    assert!(eventually(100, || holds(other.clone())).await, "not taken over");
    // Longer than the time after which an unreachable worker is taken for lost.
    async_std::task::sleep(Duration::from_millis(3_000)).await;
    let cut = FaultKind::Cut { worker: "a-r0-w0".into() };
    c.platform.add_faults(vec![Fault::now(Target::Workers, cut, 20_000)]);
    trigger.fire();
    run.await.unwrap();
    assert!(eventually(100, || holds(c.entries[0].clone())).await, "not taken back");
    assert!(eventually(200, || async { c.platform.stats().started == 8 }).await);
    let s = c.platform.stats();
    assert_eq!((s.lapsed, s.double_runs), (4, 0));
    c.stop().await;
}

/// Guards against a task that runs twice because its worker's silence is counted from the poll before
/// the start: the start took effect much later, and extended the task leases.
#[async_std::test]
async fn a_worker_is_not_lost_before_the_leases_of_its_last_start_expire() {
    let mut cell = common::cell(1, 1, 1);
    cell.timing.hold_ms = 4_200;
    cell.timing.round_ms = 200;
    let c = TestCell::start(cell).await;
    c.ready().await;
    assert_eq!(post(&format!("{}/catalogue", c.url(0)), &catalogue(0)).await.0, 200);
    let late = FaultKind::Delay { ms: 1_850 };
    c.platform.add_faults(vec![Fault::now(Target::Starts, late, 1_800)]);
    submit(&c, 0, &sized_job("sabgha/archive", 4, 4_000, 60_000, "late")).await;
    assert!(eventually(100, || async { c.platform.stats().started == 4 }).await);
    let cut = FaultKind::Cut { worker: "a-r0-w0".into() };
    c.platform.add_faults(vec![Fault::now(Target::Workers, cut, 20_000)]);
    assert!(eventually(300, || async { c.platform.stats().started == 8 }).await);
    let s = c.platform.stats();
    assert_eq!((s.lapsed, s.double_runs), (4, 0));
    c.stop().await;
}

/// Guards against running tasks that are killed by a table outage of twice the task lease. This
/// happens if the extension of task leases depends on the renewal of shard leases, which fails
/// during the outage.
#[async_std::test]
async fn long_table_outage_kills_no_running_task() {
    let c = ready_cell(2, 2).await;
    submit(&c, 0, &job("cronometria/tracker", 6, 0, "svc")).await;
    assert!(eventually(100, || async { c.platform.stats().running == 6 }).await);
    c.platform.add_faults(vec![Fault::now(Target::Table, FaultKind::Outage, 6_000)]);
    async_std::task::sleep(Duration::from_millis(6_500)).await;
    submit_after_outage(&c).await;
    assert!(reaches_state(&c, "after", "finished").await, "placement resumed");
    let s = c.platform.stats();
    assert_eq!((s.lapsed, s.double_runs), (0, 0));
    assert_eq!(s.started, 7, "no service was started again");
    c.stop().await;
}

/// Submits the job `after`, with retries until the table is available again.
async fn submit_after_outage(c: &TestCell) {
    let j = job("cronometria/splits", 1, 50, "after");
    let url = format!("{}/jobs", c.url(1));
    assert!(eventually(100, || async { post(&url, &j).await.0 == 200 }).await);
}

/// Guards against urgent work that waits behind batch work which fills all workers. A batch task
/// must be stopped after a checkpoint, the urgent job must start, and the batch task must resume
/// from the checkpoint instead of failing.
#[async_std::test]
async fn urgent_work_preempts_batch_which_resumes() {
    let c = ready_cell(1, 1).await;
    submit(&c, 0, &sized_job("sabgha/archive", 4, 16_000, 3_000, "night")).await;
    assert!(eventually(100, || async { c.platform.stats().started == 4 }).await);
    async_std::task::sleep(Duration::from_millis(500)).await;
    submit(&c, 0, &job("cronometria/medic", 1, 100, "medic")).await;
    assert!(reaches_state(&c, "medic", "finished").await, "{}", row(&c, "medic").await);
    assert!(reaches_state(&c, "night", "finished").await, "{}", row(&c, "night").await);
    let night = row(&c, "night").await;
    assert_eq!(night["failed"], 0);
    let attempts: Vec<u64> =
        night["tasks"].as_array().unwrap().iter().map(|t| t["attempt"].as_u64().unwrap()).collect();
    assert_eq!(attempts.iter().sum::<u64>(), 5, "one batch task was preempted: {attempts:?}");
    assert_eq!(c.platform.stats().overcommitted_workers, 0);
    c.stop().await;
}

/// Guards against a job that waits on a full rack while another rack has free capacity. Batch work
/// fills all workers except one of a rack. A job must not stay bound to the rack that the hash of
/// its id selects.
#[async_std::test]
async fn job_on_a_full_rack_moves_to_one_with_free_capacity() {
    let c = ready_cell(2, 2).await;
    for i in 0..7 {
        let fill = sized_job("sabgha/archive", 1, 16_000, 60_000, &format!("fill-{i}"));
        submit(&c, i % 2, &fill).await;
    }
    assert!(eventually(200, || async { c.platform.stats().started == 7 }).await);
    for i in 0..4 {
        submit(&c, i % 2, &sized_job("cronometria/splits", 1, 4_000, 50, &format!("move-{i}")))
            .await;
        submit(&c, i % 2, &job("cronometria/medic", 1, 50, &format!("medic-{i}"))).await;
    }
    for i in 0..4 {
        for key in [format!("move-{i}"), format!("medic-{i}")] {
            assert!(reaches_state(&c, &key, "finished").await, "{}", row(&c, &key).await);
        }
    }
    assert_eq!(c.platform.stats().overcommitted_workers, 0);
    assert_eq!(c.platform.stats().started, 15, "urgent work moved, and stopped no batch task");
    c.stop().await;
}

/// Guards against a team that exceeds its quota because two instances place its tasks at the same
/// time, each with a sum that the other changes. Two instances hold three racks, and one team
/// submits far more than its quota through both. Grants must keep the sum of all commitments within
/// the quota at every moment, and all jobs must run in the end.
#[async_std::test]
async fn team_quota_holds_across_shards_and_instances() {
    let c = ready_cell(2, 3).await;
    let mut edit = serde_json::json!({ "base": 1, "entries": [catalogue(0)["entries"][0]] });
    edit["entries"][0]["quota"] = serde_json::json!({ "cpu": 10_000, "mem": 40_960, "acc": 0 });
    assert_eq!(post(&format!("{}/catalogue", c.url(0)), &edit).await.0, 200);
    async_std::task::sleep(Duration::from_millis(400)).await;
    for i in 0..30 {
        let j = sized_job("cronometria/splits", 2, 1_000, 150, &format!("quota-{i}"));
        submit(&c, i % 2, &j).await;
    }
    let quota = Resources { cpu: 10_000, mem: 40_960, acc: 0 };
    let key = rows::quota_key("a", "timing");
    for _ in 0..100 {
        let used = c
            .platform
            .scan("place/")
            .unwrap()
            .values()
            .filter_map(|r| rows::decode::<PlaceRow>(&r.value))
            .fold(Resources::ZERO, |sum, r| sum.add(&r.demand));
        assert!(used.fits(&quota), "committed {used:?} of {quota:?}");
        let stored = c.platform.get(std::slice::from_ref(&key)).unwrap();
        let granted: QuotaRow =
            stored.get(&key).and_then(|r| rows::decode(&r.value)).unwrap_or_default();
        assert!(granted.others("").fits(&quota), "granted {granted:?} of {quota:?}");
        async_std::task::sleep(Duration::from_millis(15)).await;
    }
    for i in 0..30 {
        let key = format!("quota-{i}");
        assert!(reaches_state(&c, &key, "finished").await, "{}", row(&c, &key).await);
    }
    c.stop().await;
}

/// Guards against a gang that runs with a member missing. One worker fails every task that it
/// starts, and a member of a gang is placed there. A restart of this member alone is not enough:
/// the other members must be stopped and the whole gang placed again, without the failing worker
/// once its failures are recorded.
#[async_std::test]
async fn gang_with_a_failed_member_is_placed_whole_again() {
    let c = ready_cell(1, 1).await;
    let broken = FaultKind::Broken { worker: "a-r0-w0".into() };
    c.platform.add_faults(vec![Fault::now(Target::Workers, broken, 0)]);
    submit(&c, 0, &sized_job("cronometria/ranking", 6, 8_000, 800, "gang")).await;
    assert!(reaches_state(&c, "gang", "finished").await, "{}", row(&c, "gang").await);
    let gang = row(&c, "gang").await;
    assert_eq!(gang["failed"], 0, "{gang}");
    let attempts = |t: &serde_json::Value| t["attempt"].as_u64().unwrap();
    let least = gang["tasks"].as_array().unwrap().iter().map(attempts).min().unwrap();
    assert!(least >= 2, "every member was placed again: {gang}");
    c.stop().await;
}

/// Guards against use of a removed catalogue entry. A job waits for capacity when an operator
/// removes its entry; a check at submission alone would still place it.
#[async_std::test]
async fn waiting_job_of_a_removed_entry_is_refused_as_not_run() {
    let c = ready_cell(1, 1).await;
    submit(&c, 0, &sized_job("sabgha/archive", 4, 16_000, 60_000, "fill")).await;
    assert!(eventually(100, || async { c.platform.stats().started == 4 }).await);
    submit(&c, 0, &sized_job("sabgha/shades", 1, 4_000, 50, "late")).await;
    let edit = serde_json::json!({ "base": 1, "remove": ["sabgha/shades"] });
    assert_eq!(post(&format!("{}/catalogue", c.url(0)), &edit).await.0, 200);
    assert!(reaches_state(&c, "late", "refused").await, "{}", row(&c, "late").await);
    assert_eq!(c.platform.stats().started, 4);
    c.stop().await;
}

/// Guards against a table that grows with every job. After the retention time the rows of ended
/// jobs and writes must be removed, and the outcomes of the jobs kept in a report in the object
/// store.
#[async_std::test]
async fn old_outcomes_are_removed_after_a_report() {
    let mut cell = common::cell(1, 1, 1);
    cell.timing.keep_ms = 3_000;
    cell.timing.sweep_ms = 200;
    let c = TestCell::start(cell).await;
    c.ready().await;
    assert_eq!(post(&format!("{}/catalogue", c.url(0)), &catalogue(0)).await.0, 200);
    submit(&c, 0, &job("cronometria/splits", 2, 20, "old")).await;
    let write = serde_json::json!({ "id": "w-old", "body": "x" });
    assert_eq!(post(&format!("{}/write", c.url(0)), &write).await.0, 200);
    assert!(reaches_state(&c, "old", "finished").await);
    let url = format!("{}/jobs/{}", c.url(0), job_id("old"));
    assert!(eventually(200, || async { get(&url).await.0 == 404 }).await, "the row stayed");
    let record_removed =
        || async { c.platform.get(&[rows::write_key("w-old")]).unwrap().is_empty() };
    assert!(eventually(100, record_removed).await, "the write record stayed");
    assert!(c.platform.objects("report-a-r0-").iter().any(|o| o.contains(&job_id("old"))));
    assert!(c.platform.get_object("catalogue-a").is_some(), "the catalogue was saved");
    c.stop().await;
}

/// Guards against a rack without usable workers after a burst of jobs that fail on every worker.
/// This happens if their failures count against the workers. A job that fails on two workers must
/// count as faulty itself, and most workers of a shard must stay usable.
#[async_std::test]
async fn poison_jobs_leave_the_workers_usable() {
    let c = ready_cell(1, 1).await;
    let poison: Vec<Fault> = (0..12)
        .map(|i| FaultKind::Poison { job: job_id(&format!("poison-{i}")) })
        .map(|kind| Fault::now(Target::Workers, kind, 0))
        .collect();
    c.platform.add_faults(poison);
    for i in 0..12 {
        submit(&c, 0, &job("cronometria/splits", 2, 50, &format!("poison-{i}"))).await;
    }
    for i in 0..12 {
        submit(&c, 0, &job("cronometria/medic", 1, 50, &format!("good-{i}"))).await;
    }
    for i in 0..12 {
        let (good, bad) = (format!("good-{i}"), format!("poison-{i}"));
        assert!(reaches_state(&c, &good, "finished").await, "{}", row(&c, &good).await);
        assert_eq!(row(&c, &good).await["failed"], 0);
        assert!(reaches_state(&c, &bad, "finished").await, "{}", row(&c, &bad).await);
        assert_eq!(row(&c, &bad).await["failed"], 2, "both failed tasks are counted");
    }
    let workers = &c.entries[0].dump().await["sched"]["workers"];
    let avoided = |w: &serde_json::Value| w["avoid_until"].as_u64() > Some(0);
    assert!(!workers.as_object().unwrap().values().any(avoided), "no worker is avoided: {workers}");
    c.stop().await;
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2, max_shrink_iters: 0, ..ProptestConfig::default() })]

    /// Under 1,000 random submissions (2 cases of 500), no worker is committed beyond its
    /// processors, memory or accelerators, no task runs twice, and every accepted job has an
    /// outcome.
    #[test]
    fn random_submissions_never_overcommit(
        jobs in proptest::collection::vec(
            (0usize..5, 1u32..5, 200u64..8_000, 100u64..16_000, 0u64..2, 10u64..400), 500)
    ) {
        async_std::task::block_on(random_load(jobs))?;
    }
}

/// Submits the jobs (entry, tasks, cpu, mem, acc, run time in ms) and checks their outcomes.
async fn random_load(jobs: Vec<(usize, u32, u64, u64, u64, u64)>) -> Result<(), TestCaseError> {
    let entries = [
        "cronometria/splits",
        "cronometria/ranking",
        "cronometria/medic",
        "sabgha/archive",
        "sabgha/shades",
    ];
    let c = ready_cell(2, 3).await;
    let mut accepted = Vec::new();
    for (i, (entry, tasks, cpu, mem, acc, run_ms)) in jobs.into_iter().enumerate() {
        let key = format!("random-{i}");
        let j = serde_json::json!({
            "entry": entries[entry], "tasks": tasks, "run_ms": run_ms, "key": key,
            "demand": { "cpu": cpu, "mem": mem, "acc": acc },
        });
        let (status, body) = post(&format!("{}/jobs", c.url(i % 2)), &j).await;
        prop_assert!(status == 200 || status == 422 || status == 503, "{} {}", status, body);
        if status == 200 {
            accepted.push(key);
        }
    }
    let all = || async {
        for key in &accepted {
            let state = row(&c, key).await["state"].clone();
            if state != "finished" && state != "refused" {
                return false;
            }
        }
        true
    };
    let ended = eventually(400, all).await;
    let s = c.platform.stats();
    c.stop().await;
    prop_assert!(ended, "some accepted job has no outcome");
    prop_assert_eq!((s.overcommitted_workers, s.double_runs), (0, 0));
    Ok(())
}
