//! The leader's loop: its fairness under load, towards the other tasks of its process and between
//! planning and events. Begin and end of its terms are tested in `control_leader_terms.rs`, faults of
//! the store in `control_leader_store.rs`.

mod common {
    pub mod leader;
}

use common::leader::{leader, longest_poll, Empty};
use currantgw::control::election::Term;
use currantgw::control::mirror::Table;
use currantgw::control::model::{JobId, JobSpec, Step};
use currantgw::control::partitions;
use currantgw::control::rows::{self, JobRow};
use currantgw::kernel::clock::Clock;
use currantgw::kernel::stop;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Events queued for the scheduler: seconds of work.
const EVENTS: u64 = 1_000_000;

/// Longest time that one poll may block the process: a link times out after 1.2 s.
const MAX_POLL: Duration = Duration::from_millis(250);

/// Number of cancellations of unknown jobs, which are cheap events.
const CHEAP_EVENTS: u64 = 300_000;

/// Number of jobs that wait for runners while there are none: planning takes many times the 8 ms of
/// a round.
const WAITING_JOBS: u64 = 6_000;

/// Guards against all links to the leader closing at the same time, with all advice requests on
/// them lost. Under load there was always one more answer to handle, and the scheduler's task,
/// which yielded only when idle, blocked the only processor of its instance for 1.2 s, the timeout
/// of a link.
#[test]
fn a_busy_scheduler_lets_the_rest_of_its_process_run() {
    let clock = Clock::real();
    let (_trigger, stop) = stop::pair();
    let leader = leader(&clock, Arc::new(Empty::default()));
    let mut serve = Box::pin(
        leader
            .serve(Term { fence: 5, fence_versions: [5; partitions::COUNT], prior_end: 0 }, &stop),
    );
    longest_poll(&mut serve, Duration::from_millis(200));
    for id in 0..EVENTS {
        leader.mirror.put_cancel(JobId(id));
    }
    let longest = longest_poll(&mut serve, Duration::from_millis(500));
    assert!(longest < MAX_POLL, "one poll took {longest:?}");
}

/// Time until a cancellation that is queued behind [`CHEAP_EVENTS`] others is stored, while
/// `waiting` jobs wait for runners.
fn cancelled_after(waiting: u64) -> Duration {
    let clock = Clock::real();
    let (_trigger, stop) = stop::pair();
    let store = Arc::new(Empty::default());
    let leader = leader(&clock, store.clone());
    async_std::task::block_on(leader.mirror.poll(Table::Config, 0)).unwrap();
    let mut serve = Box::pin(
        leader
            .serve(Term { fence: 5, fence_versions: [5; partitions::COUNT], prior_end: 0 }, &stop),
    );
    longest_poll(&mut serve, Duration::from_millis(100));
    let steps = vec![Step { count: 1, ..Step::default() }];
    let spec = JobSpec { steps, ..JobSpec::default() };
    let row = Arc::new(JobRow {
        queue: "q".into(),
        team: None,
        at: clock.wall(),
        spec,
        definition: None,
    });
    let last = JobId(u64::MAX);
    for id in (0..waiting).map(JobId).chain([last]) {
        leader.mirror.put_job(id, row.clone());
    }
    longest_poll(&mut serve, Duration::from_millis(1_500));
    let began = Instant::now();
    for id in 0..CHEAP_EVENTS {
        leader.mirror.put_cancel(JobId(WAITING_JOBS + id));
    }
    leader.mirror.put_cancel(last);
    let key = rows::progress_key(last).key;
    loop {
        longest_poll(&mut serve, Duration::from_millis(1));
        if let Some(at) = store.written.lock().unwrap().get(&key) {
            return at.duration_since(began);
        }
    }
}

/// Guards against tickets that expire before their tasks start, while nearly all capacity is free.
/// With 3,000 open steps, planning took 70 ms, and between two rounds events were handled for a
/// fixed 8 ms, so that answers of the store waited behind 2,000 other events for ten rounds: a
/// placement was stored, and its start sent, a second after the decision.
#[test]
fn events_get_as_much_time_as_planning() {
    let idle = cancelled_after(0);
    let busy = cancelled_after(WAITING_JOBS);
    assert!(busy < 4 * idle, "{busy:?}, {idle:?} with nothing to plan");
}
