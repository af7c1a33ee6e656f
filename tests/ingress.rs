//! Limits of the HTTP listeners: which connection is closed at a limit, and what limits add up to.

use async_std::task;
use currantgw::ingress::budget::{Budget, Place, Reason, Report};
use currantgw::ingress::limits::{Limits, Machine, CONN_BYTES, RECEIVE_BYTES, REQUEST_BYTES};
use currantgw::kernel::clock::Clock;
use futures::future::{AbortRegistration, Abortable};
use futures::FutureExt;
use std::sync::Arc;

type Open = (Place, AbortRegistration);

fn budget(connections: usize, requests: usize) -> (Arc<Budget>, Clock) {
    let memory = connections * CONN_BYTES + requests * REQUEST_BYTES;
    let limits = Limits { listener: "test", connections, memory, body: 1_024 };
    let clock = Clock::manual();
    (Arc::new(Budget::new(limits, clock.clone())), clock)
}

/// Opens `n` connections, 1 ms apart.
fn open(budget: &Arc<Budget>, clock: &Clock, n: usize) -> Vec<Open> {
    let one = |_| {
        clock.advance(1);
        budget.open()
    };
    (0..n).map(one).collect()
}

fn is_closed(open: &Open) -> bool {
    open.1.handle().is_aborted()
}

fn closed(opened: &[Open]) -> Vec<usize> {
    (0..opened.len()).filter(|n| is_closed(&opened[*n])).collect()
}

fn count(report: &Report, reason: Reason) -> u64 {
    report.closed.get(&reason).copied().unwrap_or(0)
}

/// Guards against a crowd that stands still keeping new callers out, and against closing a connection
/// whose request is being handled.
#[async_std::test]
async fn the_longest_wait_makes_room_for_a_new_connection() {
    let (budget, clock) = budget(4, 4);
    let mut conns = open(&budget, &clock, 4);
    assert!(conns[0].0.begin_request() && conns[0].0.begin_serving());
    clock.advance(1);
    assert!(conns[1].0.begin_request());
    let room = task::spawn({
        let budget = budget.clone();
        async move { budget.make_room().await }
    });
    while closed(&conns).is_empty() {
        task::yield_now().await;
    }
    assert_eq!(closed(&conns), [2], "the one that waits longest for its client");
    conns.remove(2);
    assert!(room.await);
    assert_eq!(count(&budget.report(), Reason::Connections), 1);
}

/// Guards against an accept loop that waits forever while all connections are being served.
#[async_std::test]
async fn there_is_no_room_while_all_are_served() {
    let (budget, clock) = budget(2, 2);
    let conns = open(&budget, &clock, 2);
    assert!(conns.iter().all(|(p, _)| p.begin_request() && p.begin_serving()));
    let mut room = Box::pin(budget.make_room());
    assert!((&mut room).now_or_never().is_none());
    conns[0].0.begin_answer();
    assert!((&mut room).now_or_never().is_none());
    assert_eq!(closed(&conns), [0], "an answered one may go");
    clock.advance(1_001);
    assert!(!room.await);
}

/// Guards against requests that stop short of their end using up the memory.
#[test]
fn a_request_takes_the_memory_of_the_one_that_waits_longest() {
    let (budget, clock) = budget(6, 3);
    let conns = open(&budget, &clock, 6);
    for (place, _) in &conns[2..5] {
        clock.advance(1);
        assert!(place.begin_request());
    }
    assert!(conns[2].0.begin_serving());
    assert!(conns[1].0.begin_request());
    assert_eq!(closed(&conns), [3], "idle ones free no memory, served ones stay");
    assert!(!conns[3].0.begin_serving(), "what is being closed is not handled any more");
    assert!(!conns[3].0.reserve(1));
    assert!(conns[4].0.begin_serving() && conns[1].0.begin_serving());
    assert!(!conns[0].0.begin_request(), "all others are served");
    conns[4].0.begin_answer();
    conns[4].0.end_request();
    assert!(conns[0].0.begin_request());
    let report = budget.report();
    assert_eq!((report.connections, count(&report, Reason::Memory)), (6, 1));
    drop(conns);
    assert_eq!(budget.report(), Report::default());
}

/// Guards against clients that send or read byte by byte, and against connections without requests.
#[test]
fn overdue_connections_are_closed() {
    let (budget, clock) = budget(5, 4);
    let conns = open(&budget, &clock, 5);
    assert!(conns[1..4].iter().all(|(p, _)| p.begin_request()));
    assert!(conns[2..4].iter().all(|(p, _)| p.begin_serving()));
    conns[3].0.begin_answer();
    clock.advance(9_000);
    budget.close_overdue();
    assert!(closed(&conns).is_empty());
    clock.advance(2_000);
    assert!(conns[4].0.begin_request());
    budget.close_overdue();
    assert_eq!(closed(&conns), [1, 3]);
    clock.advance(50_000);
    budget.close_overdue();
    assert_eq!(closed(&conns), [0, 1, 3, 4], "a request that is being handled has no limit here");
    let report = budget.report();
    assert_eq!((count(&report, Reason::Idle), count(&report, Reason::Slow)), (1, 3));
    budget.close_overdue();
    assert!(budget.report().closed.is_empty(), "each is closed once");
}

/// Guards against an abort that reaches a task only after it has gone on.
#[async_std::test]
async fn the_task_of_a_closed_connection_ends() {
    let (budget, clock) = budget(1, 1);
    let (place, registration) = open(&budget, &clock, 1).remove(0);
    let connection = Abortable::new(
        async move {
            let _place = place;
            futures::future::pending::<()>().await
        },
        registration,
    );
    let connection = task::spawn(connection);
    budget.close_all();
    assert!(connection.await.is_err());
    assert_eq!(budget.connections(), 0);
}

/// Guards against limits that add up to more than a machine of the pages has.
#[test]
fn clients_leave_most_of_every_machine() {
    for (memory_mb, fds) in [(120, 3_075), (160, 4_100), (260, 4_200), (512, 8_192), (512, 10_250)]
    {
        let machine = Machine { memory: memory_mb << 20, fds };
        let all = [
            Limits::callers(machine, 64 * 1024),
            Limits::internal("ready"),
            Limits::internal("metrics"),
            Limits::links(machine),
        ];
        let conns: usize = all.iter().map(|l| l.connections).sum();
        let http = &all[..3];
        let unread: usize = http.iter().map(|l| l.connections * 2 * RECEIVE_BYTES).sum();
        let memory = unread + all.iter().map(|l| l.memory).sum::<usize>();
        assert!(conns <= (fds - 200) * 7 / 10, "{conns} of {fds} descriptors");
        assert!(memory <= machine.memory * 3 / 4, "{memory} bytes of {memory_mb} MB");
    }
}
