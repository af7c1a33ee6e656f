//! Request queues of the connections to the advice service: which one takes a request, and when it
//! is refused.

mod common {
    pub mod leader;
}

use async_std::net::TcpListener;
use async_std::task::{self, JoinHandle};
use common::leader::{self, Empty};
use currantgw::control::admission::AdmissionView;
use currantgw::control::election::Election;
use currantgw::control::links::advice_queues::{self, QueueLoad};
use currantgw::control::links::client::LinkClient;
use currantgw::control::links::server::{LinkAcceptor, LinkServer};
use currantgw::control::mirror::Mirror;
use currantgw::control::model::{JobId, StepId};
use currantgw::control::ports::{Advice, AdviceError, Advisor};
use currantgw::control::rows::LeaderRow;
use currantgw::control::store_health::StoreHealth;
use currantgw::control::submissions::SubmissionWriter;
use currantgw::ingress::budget::Budget;
use currantgw::ingress::limits::Limits;
use currantgw::kernel::clock::Clock;
use futures::future::join_all;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Service time of an advice request for a gang, ms.
const GANG_MS: f64 = 767.0;

/// Service time of an advice request for a lookup, ms.
const LOOKUP_MS: f64 = 10.0;

/// Longest expected time to its answer with which a request is accepted, ms.
const MAX_ANSWER_MS: u64 = 2_500;

/// A service that answers the calls of its caller one after the other.
struct Serial(async_std::sync::Mutex<()>);

#[tide::utils::async_trait]
impl Advisor for Serial {
    async fn request(&self, _: StepId, _: &[String], ms: u64) -> Result<Advice, AdviceError> {
        let served = async {
            let _turn = self.0.lock().await;
            task::sleep(Duration::from_millis(GANG_MS as u64)).await;
        };
        let answer = async_std::future::timeout(Duration::from_millis(ms), served).await;
        answer.map(|()| Advice::default()).map_err(|_| AdviceError::Unreachable)
    }
}

fn step(n: u64) -> StepId {
    StepId { job: JobId(n), occurrence: 0, step: 0 }
}

/// Guards against gangs that don't start for half a minute in an empty cell, while all other
/// requests are refused. With few instances linked after a power loss, each queue was filled with
/// 30 requests of 767 ms. Their answers came after up to 23 s, when the reservations had expired:
/// a queue was limited by the number of its requests, not by their service time.
#[async_std::test]
async fn a_request_that_would_be_answered_too_late_is_refused_at_once() {
    let service = Arc::new(Serial(async_std::sync::Mutex::new(())));
    let server = LinkServer::new(Some(service), Arc::default(), Clock::real());
    let began = Instant::now();
    let requests = (0..20).map(|n| server.request(step(n), Vec::new(), GANG_MS));
    let answers = join_all(requests).await;
    let answered = answers.iter().filter(|a| a.is_ok()).count();
    let refused = answers.iter().filter(|a| **a == Err(AdviceError::Busy)).count();
    assert_eq!((answered, refused), (3, 17));
    assert!(began.elapsed() < Duration::from_millis(MAX_ANSWER_MS + 300), "{:?}", began.elapsed());
}

/// Guards against lookups that wait 0.3 s for an answer that takes 10 ms, also under low load.
/// Queues were compared by the estimated time of their last answer. Once that had passed while
/// requests were still queued, all queues seemed free, and one after the other was filled to its
/// limit.
#[test]
fn lookups_take_the_shortest_queue() {
    let mut queues: Vec<VecDeque<f64>> = vec![VecDeque::new(); 29];
    let loads = |queues: &[VecDeque<f64>]| -> Vec<QueueLoad> {
        let load = |q: &VecDeque<f64>| QueueLoad {
            waiting: q.len(),
            cost: q.iter().copied().sum::<f64>(),
            failing: false,
        };
        queues.iter().map(load).collect()
    };
    let (mut worst, mut refused) = (0.0_f64, 0);
    for ms in 0..20_000_u64 {
        // The service takes twice the estimated cost of each request.
        for q in &mut queues {
            if let Some(first) = q.front_mut() {
                *first -= 0.5;
                if *first <= 0.0 {
                    q.pop_front();
                }
            }
        }
        if ms % 7 == 0 {
            let all = loads(&queues);
            let n = advice_queues::pick_queue(&all, LOOKUP_MS).expect("a lookup is always taken");
            worst = worst.max(all[n].cost);
            queues[n].push_back(LOOKUP_MS);
        }
        if ms % 100 == 0 {
            let all = loads(&queues);
            match advice_queues::pick_queue(&all, GANG_MS) {
                Some(n) => {
                    assert!(all[n].cost + GANG_MS <= MAX_ANSWER_MS as f64 || all[n].waiting == 0);
                    queues[n].push_back(GANG_MS);
                }
                None => refused += 1,
            }
        }
    }
    assert!(worst <= 50.0, "a lookup had {worst} ms before it");
    assert!(refused < 100, "{refused} of 200 gangs refused");
}

/// Request queues of a cell of 29 instances, with the cost of each request, ms.
struct Queues(Vec<VecDeque<f64>>);

impl Queues {
    /// Queues a request, and returns the time until its answer, ms; none if no queue takes it.
    fn request(&mut self, cost: f64) -> Option<f64> {
        let load = |q: &VecDeque<f64>| QueueLoad {
            waiting: q.len(),
            cost: q.iter().sum(),
            failing: false,
        };
        let loads: Vec<QueueLoad> = self.0.iter().map(load).collect();
        let queue = &mut self.0[advice_queues::pick_queue(&loads, cost)?];
        queue.push_back(cost);
        Some(queue.iter().sum())
    }

    /// Serves all queues for one millisecond.
    fn serve(&mut self) {
        for queue in &mut self.0 {
            if let Some(first) = queue.front_mut() {
                *first -= 1.0;
            }
            if queue.front().is_some_and(|first| *first <= 0.0) {
                queue.pop_front();
            }
        }
    }
}

/// Guards against slow lookups in a large cell. Gangs filled all queues that take long requests,
/// while 230 requests a second for lookups need 2.3 queues and had two: as many queues were kept
/// free of long requests on 29 instances as on seven.
#[test]
fn lookups_have_enough_queues_beside_gangs_that_fill_the_others() {
    let mut queues = Queues(vec![VecDeque::new(); 29]);
    let mut waits = Vec::new();
    for ms in 0..20_000u64 {
        while queues.request(GANG_MS).is_some() {}
        if ms % 1_000 * 230 / 1_000 != (ms + 1) % 1_000 * 230 / 1_000 {
            waits.extend(queues.request(LOOKUP_MS));
        }
        queues.serve();
    }
    waits.sort_by(f64::total_cmp);
    assert!(waits.len() > 4_500, "{} answered", waits.len());
    let late = waits[waits.len() * 9 / 10];
    assert!(late < 5.0 * LOOKUP_MS, "one in ten waits for {late} ms");
}

/// A path to the advice service: answers at once, or fails at once while it is lost.
#[derive(Default)]
struct Path {
    lost: AtomicBool,
    requests: AtomicUsize,
}

#[tide::utils::async_trait]
impl Advisor for Path {
    async fn request(&self, _: StepId, _: &[String], _: u64) -> Result<Advice, AdviceError> {
        self.requests.fetch_add(1, Ordering::Relaxed);
        match self.lost.load(Ordering::Relaxed) {
            true => Err(AdviceError::Unreachable),
            false => Ok(Advice::default()),
        }
    }
}

/// The link server of a leader and the instances linked to it, each with its path to the service.
struct Linked {
    server: Arc<LinkServer>,
    local: Arc<Path>,
    /// Paths of the linked instances, oldest link first.
    paths: Vec<Arc<Path>>,
    tasks: Vec<JoinHandle<()>>,
}

fn link_client(advisor: Option<Arc<dyn Advisor>>, to: Option<SocketAddr>) -> LinkClient {
    let (clock, store) = (Clock::real(), Arc::new(Empty::default()));
    let health = Arc::new(StoreHealth::new(clock.clone()));
    let mirror = Arc::new(Mirror::new(store.clone(), health.clone(), clock.clone()));
    let election = Arc::new(Election::new(store, clock.clone(), &leader::settings()));
    let row = LeaderRow {
        node: "leader".into(),
        life: 1,
        links: to,
        size: 500,
        next: "".into(),
        prior_ms: None,
    };
    election.record_leader(row, 1);
    let admission = Arc::new(AdmissionView::new(false, clock.clone()));
    LinkClient::new(advisor, mirror, election, health, admission, Arc::default(), clock)
}

impl Linked {
    async fn start(instances: usize) -> Self {
        let (clock, store) = (Clock::real(), Arc::new(Empty::default()));
        let local = Arc::new(Path::default());
        let server = LinkServer::new(Some(local.clone()), Arc::default(), clock.clone());
        let server = Arc::new(server);
        let store_health = Arc::new(StoreHealth::new(clock.clone()));
        let mirror = Arc::new(Mirror::new(store.clone(), store_health.clone(), clock.clone()));
        let (submissions, _) = SubmissionWriter::new(
            store.clone(),
            store_health.clone(),
            mirror.clone(),
            Arc::new(link_client(None, None)),
            clock.clone(),
        );
        let acceptor = LinkAcceptor {
            server: server.clone(),
            mirror,
            submissions: Arc::new(submissions),
            election: Arc::new(Election::new(store, clock.clone(), &leader::settings())),
            store_health,
            budget: Arc::new(Budget::new(Limits::cell("links"), clock.clone())),
            clock,
        };
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let at = listener.local_addr().unwrap();
        let tasks = vec![task::spawn(async move { acceptor.serve(listener).await })];
        let mut linked = Self { server, local, paths: Vec::new(), tasks };
        for _ in 0..instances {
            linked.link(at).await;
        }
        linked
    }

    /// Links another instance.
    async fn link(&mut self, at: SocketAddr) {
        let path = Arc::new(Path::default());
        let client = link_client(Some(path.clone()), Some(at));
        self.tasks.push(task::spawn(async move { client.run().await }));
        self.paths.push(path);
        let linked = async {
            while self.server.advice_connections() <= self.paths.len() {
                task::sleep(Duration::from_millis(5)).await;
            }
        };
        async_std::future::timeout(Duration::from_secs(5), linked).await.expect("it links");
    }

    /// Makes `n` requests, each after the answer to the last one; returns how many failed.
    async fn failures(&self, n: u64, cost: f64) -> usize {
        let mut failed = 0;
        for job in 0..n {
            let answer = self.server.request(step(job), Vec::new(), cost).await;
            failed += usize::from(answer == Err(AdviceError::Unreachable));
        }
        failed
    }

    /// Makes ten requests, of which each of `lost` connections may fail one a second.
    async fn assert_few_failures(&self, lost: usize, cost: f64) {
        let began = Instant::now();
        let failed = self.failures(10, cost).await;
        let allowed = lost * (1 + began.elapsed().as_secs() as usize);
        assert!(failed <= allowed, "{failed} of 10 requests failed, {allowed} allowed");
    }

    async fn end(self) {
        for task in self.tasks {
            task.cancel().await;
        }
    }
}

/// Guards against gangs that never get advice in an idle cell: a connection whose requests fail at
/// once has the shortest queue again after each failure.
#[async_std::test]
async fn a_linked_instance_without_the_advice_service_does_not_take_every_long_request() {
    let cell = Linked::start(3).await;
    cell.paths[0].lost.store(true, Ordering::Relaxed);
    cell.paths[1].lost.store(true, Ordering::Relaxed);
    cell.assert_few_failures(2, GANG_MS).await;
    cell.end().await;
}

/// Guards against lookups that get no advice from a leader which cannot reach the service itself.
#[async_std::test]
async fn a_leader_without_the_advice_service_does_not_take_every_lookup() {
    let cell = Linked::start(2).await;
    cell.local.lost.store(true, Ordering::Relaxed);
    cell.assert_few_failures(1, LOOKUP_MS).await;
    cell.end().await;
}

/// Guards against gangs that never get advice while only the queues kept for lookups reach the
/// service.
#[async_std::test]
async fn long_requests_take_a_queue_for_lookups_if_all_others_fail() {
    let cell = Linked::start(2).await;
    cell.paths.iter().for_each(|p| p.lost.store(true, Ordering::Relaxed));
    cell.assert_few_failures(2, GANG_MS).await;
    cell.end().await;
}

/// Guards against a connection that is never used again after one failure.
#[async_std::test]
async fn a_connection_that_regains_the_advice_service_is_used_again() {
    let cell = Linked::start(2).await;
    cell.paths[0].lost.store(true, Ordering::Relaxed);
    cell.failures(2, GANG_MS).await;
    cell.paths[0].lost.store(false, Ordering::Relaxed);
    let before = cell.paths[0].requests.load(Ordering::Relaxed);
    task::sleep(Duration::from_millis(1_200)).await;
    assert_eq!(cell.failures(2, GANG_MS).await, 0);
    assert_eq!(cell.paths[0].requests.load(Ordering::Relaxed), before + 2);
    cell.end().await;
}

/// Guards against refused requests while no connection reaches the service: the first that regains
/// it must be tried.
#[async_std::test]
async fn all_connections_are_tried_while_all_fail() {
    let cell = Linked::start(2).await;
    cell.local.lost.store(true, Ordering::Relaxed);
    cell.paths.iter().for_each(|p| p.lost.store(true, Ordering::Relaxed));
    assert_eq!(cell.failures(6, GANG_MS).await, 6);
    cell.paths[0].lost.store(false, Ordering::Relaxed);
    assert_eq!(cell.failures(6, GANG_MS).await, 0);
    cell.end().await;
}
