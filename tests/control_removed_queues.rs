//! Jobs of queues that a newer configuration no longer has, or has under another name.

mod common {
    pub mod control;
    pub mod runner;
}

use common::control::{queue, step, Cell};
use currantgw::control::model::{
    Approval, EndKind, JobId, JobSpec, JobState, Queue, Step, StepId, TaskId,
};
use currantgw::control::queue_row::QueueRow;
use currantgw::control::rows::{self, InvalidValue, JobRow};

/// Time in which each of the jobs below ends once its tasks can start, ms.
const ENOUGH_MS: u64 = 30_000;

fn other_queue() -> Vec<Queue> {
    vec![queue("other", 1, 3, None)]
}

fn state(cell: &Cell, id: JobId) -> JobState {
    cell.engine.job(id).unwrap().state
}

/// A job of each shape on queue `patient` or `asked`, with work left after 2.5 s.
fn submit_shapes(cell: &mut Cell) -> Vec<JobId> {
    let first = step(2, 1_000, 2_000);
    let next = |s: Step| Step { after: vec![0], ..s };
    let shapes = [
        next(step(2, 1_000, 2_000)),
        next(Step { gang: true, ..step(4, 3_000, 2_000) }),
        next(Step { saves: true, ..step(2, 1_000, 6_000) }),
        next(Step { per_runner: 1, ..step(3, 1_000, 2_000) }),
    ];
    let mut ids = Vec::new();
    for (n, shape) in shapes.into_iter().enumerate() {
        for (m, queue) in ["patient", "asked"].into_iter().enumerate() {
            let id = (n * 2 + m) as u64;
            ids.push(cell.submit(id, queue, vec![first.clone(), shape.clone()]));
        }
    }
    let row = cell.new_row("patient", vec![step(1, 1_000, 1_000)]);
    let spec = JobSpec { times: 4, first_ms: cell.now, every_ms: 2_000, ..row.spec };
    ids.push(cell.submit_row(100, JobRow { spec, ..row }));
    ids
}

/// Guards against accepted jobs that never run again once a configuration has removed their queue.
#[test]
fn jobs_of_a_removed_queue_run_to_their_end() {
    for leader_changes in [false, true] {
        let mut cell = Cell::new(4, 1);
        let mut ids = submit_shapes(&mut cell);
        cell.run(2_500);
        cell.configure(other_queue());
        // Accepted by an instance that has not read the new configuration yet.
        let late = JobRow { definition: None, ..cell.new_row("patient", vec![step(1, 500, 500)]) };
        ids.push(cell.submit_row(200, late));
        if leader_changes {
            cell.run(100);
            cell.change_leader();
        }
        cell.run(ENOUGH_MS);
        for id in ids {
            assert_eq!(state(&cell, id), JobState::Completed, "{id}, {leader_changes}");
        }
        cell.check();
    }
}

/// Guards against a service that is not started again after a failure once its queue was removed.
#[test]
fn a_lasting_task_of_a_removed_queue_is_started_again() {
    let mut cell = Cell::new(2, 1);
    let id = cell.submit(1, "patient", vec![Step { lasts: true, ..step(1, 1_000, 600_000) }]);
    cell.run(1_000);
    cell.configure(other_queue());
    let task = TaskId { step: StepId { job: id, occurrence: 0, step: 0 }, index: 0 };
    for _ in 0..2 {
        let on = cell.runners_of(task)[0];
        let now = cell.now;
        cell.runners[on].end(task, EndKind::Failed, now);
        cell.run(2_000);
        assert_eq!(cell.runners_of(task).len(), 1);
        cell.change_leader();
        cell.run(1_000);
    }
    cell.cancel(id);
    cell.run(3_000);
    assert_eq!(cell.running(), 0);
    cell.check();
}

/// Guards against tasks that are started without end because the limit of failures was that of the
/// removed queue.
#[test]
fn the_limit_of_failures_of_a_removed_queue_still_holds() {
    let mut cell = Cell::new(2, 1);
    let id = cell.submit(1, "patient", vec![step(1, 1_000, 1_000)]);
    cell.poison(id);
    cell.run(100);
    cell.configure(other_queue());
    cell.run(ENOUGH_MS);
    assert_eq!(state(&cell, id), JobState::Failed);
    assert_eq!(cell.starts.values().sum::<u32>(), 3);
}

/// Guards against a new leader that runs a job by the definition of its queue when the job was
/// accepted, although the queue had moved to other runners before it was removed. Rows of earlier
/// versions hold no definition at all.
#[test]
fn a_new_leader_knows_where_a_removed_queue_had_moved() {
    for accepted_by_earlier_version in [false, true] {
        let mut cell = Cell::new(2, 1);
        let moved = Queue { service: "retired".into(), ..queue("moved", 1, 3, None) };
        cell.configure(vec![moved.clone()]);
        let mut row = cell.new_row("moved", vec![step(2, 1_000, 1_000)]);
        if accepted_by_earlier_version {
            row.definition = None;
        }
        let id = cell.submit_row(1, row);
        cell.run(500);
        assert_eq!(cell.running(), 0, "its service has no runners");
        cell.configure(vec![Queue { service: "svc".into(), ..moved }]);
        cell.configure(other_queue());
        for runner in 0..2 {
            cell.register(runner, false);
        }
        cell.run(200);
        cell.change_leader();
        // A restart of all, and a configuration that changes nothing for the queue.
        cell.configure(other_queue());
        cell.run(200);
        cell.change_leader();
        cell.run(ENOUGH_MS);
        assert_eq!(state(&cell, id), JobState::Completed, "{accepted_by_earlier_version}");
        cell.check();
    }
}

/// Guards against a job that waits because the leader has never read the one configuration that had
/// its queue: two versions within milliseconds.
#[test]
fn a_job_runs_though_its_queue_was_never_read_by_the_leader() {
    for known_before_catalogue in [false, true] {
        let mut cell = Cell::new(2, 1);
        let definition = Some(QueueRow::new(&queue("brief", 1, 3, None), 2));
        let row = cell.new_row("brief", vec![step(1, 1_000, 1_000)]);
        let id = cell.submit_row(1, JobRow { definition, ..row });
        if known_before_catalogue {
            cell.configure(other_queue());
            cell.configure(other_queue());
        }
        cell.run(5_000);
        assert_eq!(state(&cell, id), JobState::Completed, "{known_before_catalogue}");
    }
}

/// Guards against a queue that keeps the definition of its removal after it has come back.
#[test]
fn a_queue_that_comes_back_runs_its_jobs_by_the_new_definition() {
    let mut cell = Cell::new(2, 1);
    let retired = Queue { service: "retired".into(), ..queue("back", 1, 3, None) };
    cell.configure(vec![retired.clone()]);
    let id = cell.submit(1, "back", vec![step(1, 1_000, 1_000)]);
    cell.configure(other_queue());
    cell.run(1_000);
    assert_eq!(state(&cell, id), JobState::Queued);
    cell.configure(vec![Queue { service: "svc".into(), ..retired }]);
    cell.run(200);
    cell.change_leader();
    cell.run(5_000);
    assert_eq!(state(&cell, id), JobState::Completed);
    cell.check();
}

/// Guards against a row whose definition would corrupt the order of every queue.
#[test]
fn rows_with_impossible_definitions_are_unreadable() {
    let cell = Cell::new(1, 1);
    let row = cell.new_row("asked", vec![step(1, 1_000, 1_000)]);
    assert_eq!(rows::decode(&rows::encode(&row)), Ok(row.clone()));
    let valid = row.definition.clone().unwrap();
    let too_slow = valid.approval.map(|a| Approval { each_ms: f64::INFINITY, ..a });
    for definition in [
        QueueRow { slack: f64::NAN, ..valid.clone() },
        QueueRow { slack: -1.0, ..valid.clone() },
        QueueRow { service: String::new(), ..valid.clone() },
        QueueRow { max_fails: 0, ..valid.clone() },
        QueueRow { latency_ms: u64::MAX, ..valid.clone() },
        QueueRow { approval: too_slow, ..valid.clone() },
    ] {
        let row = JobRow { definition: Some(definition), ..row.clone() };
        let read = rows::decode::<JobRow>(&rows::encode(&row));
        assert!(read.unwrap_err().to_string().contains(&InvalidValue::Queue.to_string()));
    }
}

/// Guards against a job that runs only until the next change of the leader: a job that arrives late
/// shows that their removed queue had moved, and the last definition is stored with that job alone.
#[test]
fn a_definition_that_arrives_late_is_stored_with_every_job_of_its_queue() {
    let mut cell = Cell::new(2, 1);
    let retired = Queue { service: "retired".into(), ..queue("moved", 1, 3, None) };
    cell.configure(vec![retired.clone()]);
    let next = Step { after: vec![0], ..step(1, 1_000, 1_000) };
    let early = cell.submit(1, "moved", vec![step(1, 1_000, 8_000), next]);
    // The version with which the queue moved was never read by the leader.
    let moved = QueueRow::new(&Queue { service: "svc".into(), ..retired }, 3);
    let late = cell.new_row("moved", vec![step(1, 1_000, 1_000)]);
    cell.configure(other_queue());
    let late = cell.submit_row(2, JobRow { definition: Some(moved), ..late });
    cell.run(4_000);
    assert_eq!(state(&cell, late), JobState::Completed);
    cell.change_leader();
    cell.run(ENOUGH_MS);
    assert_eq!(state(&cell, early), JobState::Completed);
    cell.check();
}
