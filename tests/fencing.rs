//! Tests of leases, fencing epochs and idempotency keys in the table and on the workers, on a
//! manual clock. Together they prevent a paused holder from placing or starting tasks after its
//! lease expired.

use currantgw::kernel::clock::Clock;
use currantgw::kernel::res::Resources;
use currantgw::options::{DomainSpec, PlatformSettings};
use currantgw::standin::api::StopReq;
use currantgw::standin::table::{Cond, Op, Outcome, Txn};
use currantgw::standin::tasks::{EndKind, ShardPoll, StartRefusal, StartReq};
use currantgw::standin::{place_key, PlaceRow, Platform};
use serde_json::json;

/// A platform with one domain `a`, one rack and two workers.
fn platform(clock: &Clock) -> Platform {
    let settings = PlatformSettings {
        listen: "127.0.0.1:1".parse().unwrap(),
        writes: 1000,
        reads: 1000,
        usage_lag_ms: 0,
        instance_lag_ms: 0,
        domains: vec![DomainSpec {
            name: "a".into(),
            region: "andes".into(),
            racks: 1,
            workers: 2,
            worker: Resources { cpu: 4000, mem: 4096, acc: 0 },
        }],
    };
    Platform::new(settings, &[], clock.clone())
}

/// Acquires the lease of shard `a-r0`; returns its epoch, or none if it is held.
fn acquire(p: &Platform, holder_id: &str) -> Option<u64> {
    let op = Op::Acquire { key: "shard/a-r0".into(), holder: holder_id.into(), ttl_ms: 1000 };
    match p.txn(&Txn { conds: vec![], ops: vec![op], idem: None }).unwrap() {
        Outcome::Committed { epochs, .. } => Some(epochs[0]),
        Outcome::Conflict { .. } => None,
    }
}

/// Commits the placement of task `j1.0` on `worker` under the lease.
fn place(p: &Platform, holder_id: &str, epoch: u64, worker: &str) -> Outcome {
    let demand = Resources { cpu: 1000, mem: 1024, acc: 0 };
    let row = PlaceRow { worker: worker.into(), epoch, attempt: 1, demand };
    let txn = Txn {
        conds: vec![Cond::Lease { key: "shard/a-r0".into(), holder: holder_id.into(), epoch }],
        ops: vec![Op::Put { key: place_key("a-r0", "j1.0"), value: row.value() }],
        idem: None,
    };
    p.txn(&txn).unwrap()
}

/// The order to start task `j1.0` on `worker`.
fn start(worker: &str, epoch: u64) -> StartReq {
    StartReq {
        task: "j1.0".into(),
        attempt: 1,
        worker: worker.into(),
        lease: "shard/a-r0".into(),
        epoch,
        demand: Resources { cpu: 1000, mem: 1024, acc: 0 },
        run_ms: 10_000,
        saved: 0,
        valid_until: 0,
        hold_ms: 0,
    }
}

/// Guards against a task that runs on two workers because a holder uses an expired lease. Holder A
/// places the task under epoch 1 and pauses before the start. Its lease expires, and B acquires the
/// shard (epoch 2), places the task elsewhere and starts it. When A resumes, the lease condition in
/// the table and the epoch check of the worker must both refuse its commit and its start.
#[test]
fn holder_resuming_after_lease_expiry_is_fenced() {
    let clock = Clock::manual();
    let p = platform(&clock);
    assert_eq!(acquire(&p, "A"), Some(1));
    assert!(matches!(place(&p, "A", 1, "a-r0-w0"), Outcome::Committed { .. }));
    assert_eq!(acquire(&p, "B"), None, "the lease is held");
    clock.advance(1500);
    assert_eq!(acquire(&p, "B"), Some(2));
    assert!(matches!(place(&p, "B", 2, "a-r0-w1"), Outcome::Committed { .. }));
    assert_eq!(p.start(&[start("a-r0-w1", 2)])[0].refused, None);
    // A resumes.
    assert!(matches!(place(&p, "A", 1, "a-r0-w0"), Outcome::Conflict { index: 0, .. }));
    assert_eq!(p.start(&[start("a-r0-w0", 1)])[0].refused, Some(StartRefusal::StaleEpoch));
    let stats = p.stats();
    assert_eq!(stats.started, 1);
    assert_eq!(stats.double_runs, 0);
}

/// Guards against the start of a refused or cancelled task. A start order with a current epoch can
/// arrive without a placement row for that worker, so the worker must check the row first.
#[test]
fn worker_refuses_a_task_without_placement() {
    let clock = Clock::manual();
    let p = platform(&clock);
    assert_eq!(acquire(&p, "A"), Some(1));
    assert_eq!(p.start(&[start("a-r0-w0", 1)])[0].refused, Some(StartRefusal::NotPlaced));
    assert!(matches!(place(&p, "A", 1, "a-r0-w0"), Outcome::Committed { .. }));
    assert_eq!(
        p.start(&[start("a-r0-w1", 1)])[0].refused,
        Some(StartRefusal::NotPlaced),
        "placed elsewhere"
    );
    assert_eq!(p.start(&[start("a-r0-w0", 1)])[0].refused, None);
    assert_eq!(p.start(&[start("a-r0-w0", 1)])[0].refused, Some(StartRefusal::AlreadyRunning));
    assert_eq!(p.stats().double_runs, 0);
}

/// Guards against a task that runs in two places because a start order is delayed. It arrives after
/// its worker was considered lost and the task was placed elsewhere (found by the model
/// spec/place.pml, variant NOEXPIRY). A worker must refuse an expired order.
#[test]
fn delayed_start_order_is_refused() {
    let clock = Clock::manual();
    let p = platform(&clock);
    let epoch = acquire(&p, "A").unwrap();
    assert!(matches!(place(&p, "A", epoch, "a-r0-w0"), Outcome::Committed { .. }));
    let order = StartReq { valid_until: clock.now() + 500, ..start("a-r0-w0", epoch) };
    clock.advance(501);
    assert_eq!(p.start(std::slice::from_ref(&order))[0].refused, Some(StartRefusal::Late));
    let fresh_order = StartReq { valid_until: clock.now() + 400, ..order };
    assert_eq!(p.start(&[fresh_order])[0].refused, None);
}

/// Guards against a completion that is lost with the holder that read it, and against one of an
/// earlier attempt that is applied to a later one. A holder can fail after it was sent a completion
/// and before it commits it, and the next holder can start the next attempt on the same worker.
/// Workers must therefore report a completion until it is acknowledged under a current epoch, and
/// the completion must contain the attempt.
#[test]
fn completions_are_reported_until_acknowledged_with_their_attempt() {
    let clock = Clock::manual();
    let p = platform(&clock);
    let poll = |epoch, acked| {
        let shard = "a-r0".into();
        p.poll(&[ShardPoll { shard, epoch, acked, hold_ms: 60_000, inventory: true }]).remove(0)
    };
    let e1 = acquire(&p, "A").unwrap();
    place(&p, "A", e1, "a-r0-w0");
    assert_eq!(p.start(&[start("a-r0-w0", e1)])[0].refused, None);
    p.stop(&[StopReq { task: "j1.0".into(), attempt: 1, worker: "a-r0-w0".into() }]);
    let reported = poll(e1, 0).ended;
    assert_eq!((reported.len(), reported[0].attempt, reported[0].how), (1, 1, EndKind::Stopped));
    clock.advance(1500);
    let e2 = acquire(&p, "B").unwrap();
    assert!(poll(e1, reported[0].seq).stale, "a superseded holder cannot acknowledge");
    assert_eq!(poll(e2, 0).ended, reported, "reported again");
    assert_eq!(
        p.start(&[StartReq { epoch: e2, ..start("a-r0-w0", e2) }])[0].refused,
        Some(StartRefusal::NotPlaced),
        "the placement row has an earlier epoch"
    );
    place(&p, "B", e2, "a-r0-w0");
    assert_eq!(
        p.start(&[start("a-r0-w0", e2)])[0].refused,
        Some(StartRefusal::AlreadyEnded),
        "attempt 1 never starts twice"
    );
    assert!(poll(e2, reported[0].seq).ended.is_empty(), "not reported after the acknowledgement");
}

/// Guards against two jobs from one submission. The answer to a committed transaction is lost, and
/// the client sends it again with the same idempotency key. The recorded outcome must be returned,
/// and the transaction not applied again.
#[test]
fn retry_with_same_idempotency_key_applies_once() {
    let clock = Clock::manual();
    let p = platform(&clock);
    let txn = Txn {
        conds: vec![Cond::Version { key: "job/j1".into(), version: 0 }],
        ops: vec![Op::Put { key: "job/j1".into(), value: json!({ "n": 1 }) }],
        idem: Some("submit/k1".into()),
    };
    let first = p.txn(&txn).unwrap();
    let again = p.txn(&txn).unwrap();
    assert!(matches!(first, Outcome::Committed { replay: false, .. }));
    assert!(matches!(again, Outcome::Committed { replay: true, .. }));
    let stats = p.stats();
    assert_eq!(stats.table.writes, 1);
    assert_eq!(stats.table.replays, 1);
    assert_eq!(p.get(&["job/j1".into()]).unwrap()["job/j1"].version, 1);
}

/// Guards against an overloaded table that slows down all callers. Writes beyond the budget of a
/// second must be refused at once, with the time after which a retry succeeds.
#[test]
fn budget_refuses_excess_with_retry_time() {
    let clock = Clock::manual();
    let p = platform(&clock);
    for i in 0..1000 {
        let op = Op::Put { key: format!("k{i}"), value: json!(i) };
        p.txn(&Txn { conds: vec![], ops: vec![op], idem: None }).unwrap();
    }
    let op = Op::Put { key: "one-too-many".into(), value: json!(0) };
    let refused = p.txn(&Txn { conds: vec![], ops: vec![op.clone()], idem: None }).unwrap_err();
    assert!(refused.retry_ms > 0 && refused.retry_ms <= 1000);
    clock.advance(refused.retry_ms);
    assert!(p.txn(&Txn { conds: vec![], ops: vec![op], idem: None }).is_ok());
}

/// Guards against tests on the manual clock that hang or wake up early. A sleep of 100 ms must be
/// pending after an advance of 50 ms and ready after 100 ms.
#[async_std::test]
async fn manual_clock_sleeps_until_advanced() {
    let clock = Clock::manual();
    let mut sleep = Box::pin(clock.sleep(100));
    assert!(futures::poll!(&mut sleep).is_pending());
    clock.advance(50);
    assert!(futures::poll!(&mut sleep).is_pending());
    clock.advance(50);
    assert!(futures::poll!(&mut sleep).is_ready());
    assert_eq!(clock.now(), 100);
}
