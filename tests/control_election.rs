//! Leader election, and fencing of the partitions of the progress table.

mod common {
    pub mod table;
}

use async_std::task;
use common::table::MemoryStore;
use currantgw::control::election::{Election, Term};
use currantgw::control::model::JobId;
use currantgw::control::partitions::{self, Partition};
use currantgw::control::policy::place::Placement;
use currantgw::control::ports::{Changes, Commit, CommitError, Page, ReadError, Row, Store, Txn};
use currantgw::control::rows::{self, FenceRow, LeaderRow};
use currantgw::control::settings::NodeSettings;
use currantgw::kernel::clock::Clock;
use futures::task as poll;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

/// When the instance of the test has read what it needs to lead, ms.
const ABLE_AT_MS: u64 = 330;

/// Time in which it must become leader after that, ms: the delay between candidates and a margin.
const ELECTED_MS: u64 = 250;

/// Fencing token of the term that is won.
const FENCE: u64 = 9;

/// A store whose leader's row names an earlier incarnation of the instance.
struct StaleLeader;

#[tide::utils::async_trait]
impl Store for StaleLeader {
    async fn commit(&self, _: &Txn, _: u64) -> Result<Commit, CommitError> {
        Ok(Commit::Done(FENCE))
    }

    async fn page(
        &self,
        _: &str,
        _: &str,
        _: &str,
        _: Option<&str>,
        _: usize,
    ) -> Result<Page, ReadError> {
        let row = LeaderRow {
            node: "n".into(),
            life: 1,
            links: None,
            size: 1_000,
            next: String::new(),
            prior_ms: None,
        };
        let row = Row { key: rows::leader_key(), value: rows::encode(&row), version: 5 };
        Ok(Page { rows: vec![row], has_more: false, version: 7 })
    }

    async fn changes(&self, _: &str, _: u64, wait_ms: u64) -> Result<Changes, ReadError> {
        task::sleep(Duration::from_millis(wait_ms)).await;
        Ok(Changes { rows: Vec::new(), version: 7 })
    }
}

fn settings() -> NodeSettings {
    let at = "127.0.0.1:1".parse().unwrap();
    NodeSettings {
        id: "n".into(),
        domain: "z".into(),
        front: at,
        ready: at,
        links: at,
        metrics: at,
        share: 1.0,
        memory_mb: 256.0,
        max_fds: 4_096,
        link_mbps: None,
        store: at,
        cross_part: true,
        advice: None,
        hold_max_ms: 10_000,
        stop_ms: 400,
        checkpoint_s: None,
        restore_ms: None,
        scheduling: Default::default(),
        grace_ms: 2_600,
        keep_ms: 120_000,
        contracts: Default::default(),
        config_apply_ms: 2_000,
        max_stretch_ms: 5_000,
        revoke_strict: false,
        revoke_ms: 5_000,
        placement: Placement::default(),
    }
}

/// Guards against a delay of 0.4 s of the election after a power loss of all instances. An instance
/// had read all that it needs, but its first poll of the election, which shows that there is no
/// leader, waited for a change like the later ones.
#[async_std::test]
async fn an_instance_that_becomes_able_is_elected_at_once() {
    let election = Election::new(Arc::new(StaleLeader), Clock::real(), &settings());
    let able = Arc::new(AtomicBool::new(false));
    let flag = able.clone();
    let setter = task::spawn(async move {
        task::sleep(Duration::from_millis(ABLE_AT_MS)).await;
        flag.store(true, Ordering::Relaxed);
        Instant::now()
    });
    let term = election.campaign(|| false, || able.load(Ordering::Relaxed)).await;
    let waited = setter.await.elapsed().as_millis() as u64;
    assert_eq!((term.fence, term.fence_versions), (FENCE, [FENCE; partitions::COUNT]));
    assert!(waited < ELECTED_MS, "elected {waited} ms after it could be");
}

/// Runs an instance that is able to lead as a candidate at `store`, and returns its term.
async fn campaign(store: &Arc<MemoryStore>) -> Term {
    let election = Election::new(store.clone(), Clock::real(), &settings());
    election.campaign(|| false, || true).await
}

/// Whether a transaction with a term's fence of a partition is applied.
async fn may_write(store: &MemoryStore, term: &Term, partition: Partition) -> bool {
    let expect = vec![(rows::fence_key(partition), term.fence_versions[partition.index()])];
    let put = vec![(rows::progress_key(JobId(partition.jobs().start().0 | 1)), Vec::new())];
    let txn = Txn { expect, put, remove: Vec::new() };
    matches!(store.commit(&txn, 1_000).await, Ok(Commit::Done(_)))
}

/// Guards against a task that runs twice after a takeover. A leader that had not noticed its
/// replacement stored a placement after its successor had read that partition, and started the task
/// on a runner that the successor could not reach: its transaction checked no row written by the
/// successor.
#[async_std::test]
async fn a_new_leader_fences_every_partition_against_the_last_one() {
    let store = Arc::new(MemoryStore::default());
    let first = campaign(&store).await;
    for partition in Partition::all() {
        assert!(may_write(&store, &first, partition).await);
    }
    // Another incarnation of the same instance doesn't wait for missing heartbeats.
    let second = campaign(&store).await;
    assert!(second.fence > first.fence && second.version() > first.version());
    for partition in Partition::all() {
        assert!(!may_write(&store, &first, partition).await, "{}", partition.name());
        assert!(may_write(&store, &second, partition).await, "{}", partition.name());
    }
}

/// Guards against late orders and commits of a term that are accepted in the next term of the same
/// process, which found itself named as leader and began with the same token.
#[async_std::test]
async fn a_second_term_of_a_process_has_a_token_of_its_own() {
    let store = Arc::new(MemoryStore::default());
    let election = Election::new(store.clone(), Clock::real(), &settings());
    let first = election.campaign(|| false, || true).await;
    election.reset();
    let second = election.campaign(|| false, || true).await;
    assert!(second.fence > first.fence, "{} after {}", second.fence, first.fence);
    assert_eq!(election.terms(), 2);
    for partition in Partition::all() {
        assert!(!may_write(&store, &first, partition).await, "{}", partition.name());
        assert!(may_write(&store, &second, partition).await, "{}", partition.name());
    }
    assert_eq!(election.send_heartbeat(first).await, Ok(false));
    assert_eq!(election.send_heartbeat(second).await, Ok(true));
}

/// A late write of an earlier term that steps down doesn't end the next term of the process.
#[async_std::test]
async fn a_late_step_down_leaves_the_next_term_of_the_process_in_force() {
    let store = Arc::new(MemoryStore::default());
    let election = Election::new(store.clone(), Clock::real(), &settings());
    let first = election.campaign(|| false, || true).await;
    election.reset();
    let second = election.campaign(|| false, || true).await;
    assert_eq!(election.step_down(first, String::new()).await, None);
    assert_eq!(store.row(&rows::leader_key()).map(|r| r.version), Some(second.fence));
}

/// A term doesn't begin before all partitions are fenced.
#[async_std::test]
async fn an_unavailable_partition_keeps_a_term_from_beginning() {
    let store = Arc::new(MemoryStore::default());
    let lost = Partition::all().nth(3).unwrap();
    store.set_unavailable([lost.name()]);
    let waiting = {
        let store = store.clone();
        task::spawn(async move { campaign(&store).await })
    };
    task::sleep(Duration::from_millis(500)).await;
    assert!(store.row(&rows::leader_key()).is_some());
    assert!(store.row(&rows::fence_key(lost)).is_none());
    store.set_unavailable([]);
    let term = waiting.await;
    assert!(may_write(&store, &term, lost).await);
}

/// Guards against two leaders that replace each other repeatedly. One still fences partitions, one
/// of which is unavailable, when another becomes leader and fences that partition; the first one
/// must not fence it again.
#[async_std::test]
async fn a_fence_of_a_later_term_is_kept() {
    let store = Arc::new(MemoryStore::default());
    let partition = Partition::all().nth(5).unwrap();
    store.set_unavailable([partition.name()]);
    let waiting = {
        let store = store.clone();
        task::spawn(async move { campaign(&store).await })
    };
    task::sleep(Duration::from_millis(300)).await;
    let other = LeaderRow {
        node: "other".into(),
        life: 1,
        links: None,
        size: 1_000,
        next: String::new(),
        prior_ms: None,
    };
    let token = store.put(rows::leader_key(), rows::encode(&other));
    let fenced = store.put(rows::fence_key(partition), rows::encode(&FenceRow(token)));
    store.set_unavailable([]);
    task::sleep(Duration::from_millis(500)).await;
    assert_eq!(store.row(&rows::fence_key(partition)).unwrap().version, fenced);
    waiting.cancel().await;
}

/// Guards against tasks that run twice since a new leader takes leases for expired that earlier leaders
/// sent: the last one, those before it, or one of a version that extended leases without heartbeats.
#[async_std::test]
async fn leases_of_all_earlier_leaders_are_waited_for() {
    // Time from the row of the last leader, and from its last heartbeat, ms.
    for (prior_ms, row_ms, beat_ms) in
        [(Some(0), 0, 8_364), (Some(15_000), 15_000, 8_364), (None, 0, 18_364)]
    {
        let (store, clock) = (Arc::new(MemoryStore::default()), Clock::real());
        let (node, next) = ("other".into(), String::new());
        let other = LeaderRow { node, life: 1, links: None, size: 1_000, next, prior_ms };
        store.put(rows::leader_key(), rows::encode(&other));
        let began = clock.mono();
        let beats = {
            let (store, clock) = (store.clone(), clock.clone());
            task::spawn(async move {
                for _ in 0..4 {
                    task::sleep(Duration::from_millis(250)).await;
                    store.put(rows::heartbeat_key(), rows::encode(&clock.wall()));
                }
                clock.mono()
            })
        };
        let election = Election::new(store.clone(), clock.clone(), &settings());
        let term = election.campaign(|| false, || true).await;
        let least = (began + row_ms).max(beats.await + beat_ms);
        assert!((least..least + 2_000).contains(&term.prior_end), "{prior_ms:?}");
        let stored_prior_ms = || {
            let row = store.row(&rows::leader_key()).expect("there is a leader");
            rows::decode::<LeaderRow>(&row.value).expect("the row is readable").prior_ms
        };
        let waits_until = |stored: Option<u64>| clock.mono() + stored.expect("it is stored");
        assert!(waits_until(stored_prior_ms()) >= term.prior_end);
        assert!(election.step_down(term, String::new()).await.is_some());
        assert!(waits_until(stored_prior_ms()) >= term.prior_end);
    }
}

/// Guards against leases that count from a heartbeat whose answer was lost, or from one of an earlier
/// term of the process.
#[async_std::test]
async fn leases_count_from_acknowledged_heartbeats_of_the_term() {
    let (store, clock) = (Arc::new(MemoryStore::default()), Clock::real());
    let election = Election::new(store.clone(), clock.clone(), &settings());
    let began = clock.mono();
    let term = election.campaign(|| false, || true).await;
    let elected = election.renewed_at();
    assert!((began..=clock.mono()).contains(&elected));
    task::sleep(Duration::from_millis(20)).await;
    store.set_unavailable([rows::ELECTION_PARTITION.to_string()]);
    assert!(election.send_heartbeat(term).await.is_err());
    assert_eq!(election.renewed_at(), elected);
    store.set_unavailable([]);
    let sent = clock.mono();
    assert_eq!(election.send_heartbeat(term).await, Ok(true));
    assert!((sent..=clock.mono()).contains(&election.renewed_at()));
    election.reset();
    assert_eq!(election.renewed_at(), 0);
}

/// A fence row with an impossible token doesn't block its partition.
#[async_std::test]
async fn an_unreadable_or_impossible_fence_is_replaced() {
    for value in [rows::encode(&FenceRow(u64::MAX)), b"junk".to_vec()] {
        let store = Arc::new(MemoryStore::default());
        let partition = Partition::all().nth(5).unwrap();
        store.put(rows::fence_key(partition), value);
        let term = campaign(&store).await;
        assert!(may_write(&store, &term, partition).await);
    }
}

/// Silence after which a suspect leader is replaced, ms: with the delay between candidates.
const SUSPECT_MS: u64 = 500 + 80;

/// A store that answers at once, and holds polls of its feed on the clock of the test.
struct TimedStore {
    rows: MemoryStore,
    clock: Clock,
}

#[tide::utils::async_trait]
impl Store for TimedStore {
    async fn commit(&self, txn: &Txn, ms: u64) -> Result<Commit, CommitError> {
        self.rows.commit(txn, ms).await
    }

    async fn page(
        &self,
        table: &str,
        part: &str,
        from: &str,
        to: Option<&str>,
        limit: usize,
    ) -> Result<Page, ReadError> {
        self.rows.page(table, part, from, to, limit).await
    }

    async fn changes(&self, table: &str, after: u64, wait_ms: u64) -> Result<Changes, ReadError> {
        let until = self.clock.mono() + wait_ms;
        loop {
            let found = self.rows.changed(table, after);
            if !found.rows.is_empty() || self.clock.mono() >= until {
                return Ok(found);
            }
            self.clock.sleep(1).await;
        }
    }
}

/// A leader on a manual clock, and an instance that is linked to it.
struct Pair {
    store: Arc<TimedStore>,
    clock: Clock,
    links: SocketAddr,
    candidate: Election,
}

impl Pair {
    fn new() -> Self {
        let clock = Clock::manual();
        let store = Arc::new(TimedStore { rows: MemoryStore::default(), clock: clock.clone() });
        let links = "127.0.0.1:2".parse().unwrap();
        let (life, size, next) = (1, 1_000, String::new());
        let leader = LeaderRow {
            node: "leader".into(),
            life,
            links: Some(links),
            size,
            next,
            prior_ms: None,
        };
        store.rows.put(rows::leader_key(), rows::encode(&leader));
        let candidate = Election::new(store.clone(), clock.clone(), &settings());
        Self { store, clock, links, candidate }
    }

    /// Stores a heartbeat of the leader, and returns its version.
    fn beat(&self) -> u64 {
        self.store.rows.put(rows::heartbeat_key(), rows::encode(&self.clock.wall()))
    }

    /// Whether the candidate has written itself as the leader.
    fn replaced(&self) -> bool {
        let row = self.store.rows.row(&rows::leader_key()).expect("there is a leader");
        rows::decode::<LeaderRow>(&row.value).expect("the row is readable").node == "n"
    }
}

/// Polls a future every millisecond of a manual clock, until it is ready or `ms` have passed.
fn run_for<F: Future>(clock: &Clock, mut future: Pin<&mut F>, ms: u64) -> Option<F::Output> {
    let mut cx = Context::from_waker(poll::noop_waker_ref());
    for _ in 0..ms {
        if let Poll::Ready(out) = future.as_mut().poll(&mut cx) {
            return Some(out);
        }
        clock.advance(1);
    }
    None
}

/// Guards against a delay of up to 0.4 s of the takeover from a leader that the store refuses. Its
/// report woke the candidate, whose next poll of the election waited for a change beyond the time
/// of the takeover, which the report had advanced.
#[test]
fn a_poll_after_a_report_does_not_delay_the_takeover() {
    for report_ms in (50..500).step_by(50) {
        let pair = Pair::new();
        pair.beat();
        let mut campaign = std::pin::pin!(pair.candidate.campaign(|| true, || true));
        run_for(&pair.clock, campaign.as_mut(), report_ms);
        pair.candidate.suspect_leader(pair.links);
        run_for(&pair.clock, campaign.as_mut(), SUSPECT_MS - report_ms);
        assert!(pair.replaced(), "not replaced {SUSPECT_MS} ms after its heartbeat");
    }
}

/// Guards against a takeover from a leader that the store refuses up to 0.4 s later than due. A poll
/// of the election showed its last heartbeat late, as if it were new: the time without one began
/// again, and the candidate forgot the leader's report.
#[test]
fn a_poll_that_shows_the_last_heartbeat_late_does_not_delay_the_takeover() {
    for last_ms in (100..560).step_by(20) {
        let pair = Pair::new();
        pair.beat();
        let mut campaign = std::pin::pin!(pair.candidate.campaign(|| true, || true));
        run_for(&pair.clock, campaign.as_mut(), last_ms);
        let version = pair.beat();
        let age = 300;
        run_for(&pair.clock, campaign.as_mut(), age);
        pair.candidate.record_heartbeat(pair.links, version, age);
        pair.candidate.suspect_leader(pair.links);
        run_for(&pair.clock, campaign.as_mut(), SUSPECT_MS - age);
        assert!(pair.replaced(), "not replaced {SUSPECT_MS} ms after its heartbeat at {last_ms}");
    }
}

/// A leader that stores heartbeats knows the version and the age of the last one, which it reports
/// once the store refuses it.
#[test]
fn a_leader_knows_its_last_heartbeat() {
    let clock = Clock::manual();
    let store = Arc::new(TimedStore { rows: MemoryStore::default(), clock: clock.clone() });
    let election = Election::new(store.clone(), clock.clone(), &settings());
    assert_eq!(election.last_heartbeat(), None);
    let campaign = std::pin::pin!(election.campaign(|| false, || true));
    let term = run_for(&clock, campaign, 1_000).expect("nobody else is a candidate");
    clock.advance(250);
    let beat = std::pin::pin!(election.send_heartbeat(term));
    assert_eq!(run_for(&clock, beat, 1), Some(Ok(true)));
    let stored = store.rows.row(&rows::heartbeat_key()).expect("there is a heartbeat").version;
    clock.advance(90);
    assert_eq!(election.last_heartbeat(), Some((stored, 90)));
    election.reset();
    assert_eq!(election.last_heartbeat(), None);
}

/// A report about an earlier leader, or of an earlier heartbeat than the newest known, has no effect.
#[test]
fn a_report_that_is_out_of_date_has_no_effect() {
    let pair = Pair::new();
    let earlier = pair.beat();
    let newest = pair.beat();
    let mut campaign = std::pin::pin!(pair.candidate.campaign(|| true, || true));
    run_for(&pair.clock, campaign.as_mut(), 300);
    pair.candidate.record_heartbeat(pair.links, earlier, 5_000);
    pair.candidate.record_heartbeat("127.0.0.1:3".parse().unwrap(), newest, 5_000);
    pair.candidate.suspect_leader(pair.links);
    run_for(&pair.clock, campaign.as_mut(), 199);
    assert!(!pair.replaced(), "replaced before 500 ms without a heartbeat");
}
