//! Standby instances: how they are chosen, who else becomes eligible and when, and what the instances
//! of a cell cost together.

mod common {
    pub mod ports;
    pub mod table;
    pub mod users;
}

use async_std::task;
use common::table::MemoryStore;
use common::users::{route, Cell};
use currantgw::control::election::Election;
use currantgw::control::policy::standbys::{choose, Applicant, STANDBYS};
use currantgw::control::rows::{self, LeaderRow, StandbysRow};
use currantgw::control::settings::NodeSettings;
use currantgw::kernel::clock::Clock;
use futures::task as poll;
use serde_json::json;
use std::collections::BTreeSet;
use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::time::Duration;

/// Size of the instances, thousandths of a processor.
const SIZE: u64 = 1_000;

/// Number of failure domains.
const DOMAINS: usize = 6;

/// Instances of equal size, spread over the failure domains; each started a millisecond after the
/// one before.
fn cell_of(count: usize) -> Vec<Applicant> {
    let instance = |n: usize| Applicant {
        node: format!("n{n:04}"),
        domain: format!("z{}", n % DOMAINS),
        size: SIZE,
        age: 60_000 - n as u64,
    };
    (0..count).map(instance).collect()
}

fn chosen(current: &[&str], applicants: &[Applicant]) -> BTreeSet<String> {
    let current = current.iter().map(|n| n.to_string()).collect();
    choose(&current, applicants, "z0", SIZE)
}

/// Guards against a cost that grows with the square of the number of instances: each instance that
/// follows the tables reads every row, and is sent every state.
#[test]
fn the_number_of_standby_instances_does_not_grow_with_the_cell() {
    for count in [6, 60, 600, 1_200] {
        let nodes = chosen(&[], &cell_of(count));
        assert_eq!(nodes.len(), STANDBYS, "of {count} instances");
        let domain = |node: &String| node[1..].parse::<usize>().unwrap() % DOMAINS;
        let domains: BTreeSet<usize> = nodes.iter().map(domain).collect();
        assert!(domains.len() == STANDBYS && !domains.contains(&0), "{nodes:?}");
    }
    assert_eq!(chosen(&[], &cell_of(2)).len(), 2);
}

#[test]
fn standby_instances_are_kept_while_they_can_be() {
    let cell = cell_of(60);
    let before = ["n0007", "n0013", "n0019", "n0025"];
    assert_eq!(chosen(&before, &cell), before.iter().map(|n| n.to_string()).collect());
    // One of them is gone: all are in one failure domain, so that the new one is in another.
    let rest: Vec<Applicant> = cell.into_iter().filter(|a| a.node != "n0013").collect();
    let after = chosen(&before, &rest);
    assert!(["n0007", "n0019", "n0025"].iter().all(|n| after.contains(*n)), "{after:?}");
    assert_eq!(after.len(), STANDBYS);
    assert!(!after.iter().any(|n| n[1..].parse::<usize>().unwrap() % DOMAINS == 0));
}

/// The largest and youngest instances of a failure domain go first, and none smaller than the leader
/// is chosen.
#[test]
fn instances_smaller_than_the_leader_are_not_chosen() {
    let instance =
        |node: &str, size, age| Applicant { node: node.into(), domain: "z1".into(), size, age };
    let all = [
        instance("small", 120, 1),
        instance("old", SIZE, 900),
        instance("young", SIZE, 100),
        instance("large", 2 * SIZE, 950),
    ];
    assert_eq!(chosen(&[], &all), ["large", "old", "young"].map(String::from).into());
    assert_eq!(chosen(&["small"], &all).len(), 3);
}

fn settings(id: &str) -> NodeSettings {
    let text = json!({"id": id, "domain": "z", "front": "127.0.0.1:1", "ready": "127.0.0.1:1",
        "links": "127.0.0.1:1", "metrics": "127.0.0.1:1", "store": "127.0.0.1:1", "advice": null,
        "hold_max_ms": 10_000, "grace_ms": 2_600, "keep_ms": 120_000});
    NodeSettings::parse(&text.to_string()).unwrap()
}

/// An instance that follows the election of a cell whose leader has chosen the instance `standby`, and
/// which has stored its last heartbeat at the start. The clock has advanced by `ms`.
fn eligible_after(id: &str, ms: u64) -> bool {
    let clock = Clock::manual();
    let store = Arc::new(MemoryStore::default());
    let (node, links) = ("leader".to_string(), Some("127.0.0.1:2".parse().unwrap()));
    let leader =
        LeaderRow { node, life: 1, links, size: SIZE, next: String::new(), prior_ms: None };
    store.put(rows::leader_key(), rows::encode(&leader));
    store.put(rows::heartbeat_key(), rows::encode(&1u64));
    let standbys = StandbysRow(["standby".to_string()].into());
    store.put(rows::standbys_key(), rows::encode(&standbys));
    let election = Election::new(store, clock.clone(), &settings(id));
    let mut campaign = std::pin::pin!(election.campaign(|| false, || false));
    let mut cx = Context::from_waker(poll::noop_waker_ref());
    for _ in 0..ms {
        assert!(Pin::as_mut(&mut campaign).poll(&mut cx).is_pending());
        clock.advance(1);
    }
    election.is_eligible()
}

/// Guards against every instance reading all jobs after a power loss, and against a cell that never
/// elects a leader again once all standby instances are lost.
#[test]
fn other_instances_become_eligible_only_after_the_standby_instances_failed() {
    for id in ["standby", "leader"] {
        assert!(eligible_after(id, 100), "{id}");
    }
    assert!(!eligible_after("other", 1_900));
    assert!(eligible_after("other", 2_200));
}

/// Guards against hundreds of instances that read all jobs although there is a leader: they hear of it
/// over their links, and poll the store less often than the time without a heartbeat after which they
/// become eligible.
#[test]
fn a_leader_that_is_named_over_the_link_is_not_absent() {
    let clock = Clock::manual();
    let store = Arc::new(MemoryStore::default());
    let leader = LeaderRow {
        node: "leader".into(),
        life: 1,
        links: None,
        size: SIZE,
        next: String::new(),
        prior_ms: None,
    };
    let version = store.put(rows::leader_key(), rows::encode(&leader));
    let standbys = StandbysRow(["standby".to_string()].into());
    store.put(rows::standbys_key(), rows::encode(&standbys));
    let election = Election::new(store, clock.clone(), &settings("other"));
    election.set_idle_ms(3_000);
    let mut campaign = std::pin::pin!(election.campaign(|| true, || false));
    let mut cx = Context::from_waker(poll::noop_waker_ref());
    for ms in 0..6_000 {
        assert!(Pin::as_mut(&mut campaign).poll(&mut cx).is_pending());
        clock.advance(1);
        if ms % 250 == 0 {
            election.record_leader(leader.clone(), version);
        }
        assert!(!election.is_eligible(), "after {ms} ms");
    }
}

/// Bytes of the catalogue that the instances of a cell have received from the store.
async fn catalogue_bytes(cell: &Cell, nodes: usize) -> u64 {
    let mut bytes = 0;
    for n in 0..nodes {
        let traffic = cell.dump(n).await["traffic"].clone();
        for (kind, volume) in traffic.as_object().expect("the dump shows the traffic") {
            if kind.starts_with("/v1/rows") && kind.contains("table=op") {
                bytes += volume["received"].as_u64().unwrap();
            }
        }
    }
    bytes
}

/// Guards against the load on the store that grows with the square of the number of instances: each
/// of them read every job and its progress, and each new catalogue.
#[async_std::test]
async fn a_few_instances_follow_the_jobs_and_one_reads_a_new_catalogue() {
    const NODES: usize = 8;
    let cell = Cell::start(NODES, 1, 50).await;
    let following = || async {
        let mut count = 0;
        for n in 0..NODES {
            count += usize::from(cell.dump(n).await["follows"] == true);
        }
        count
    };
    cell.wait("standby instances are chosen", || async { following().await == STANDBYS + 1 }).await;
    // While the leader confirms the catalogue, no instance requests it.
    let leader = cell.leader().await.expect("there is a leader");
    let requests =
        || async { cell.dump(leader).await["traffic"]["link catalogue"]["messages"].as_u64() };
    let asked = requests().await;
    task::sleep(Duration::from_millis(2_000)).await;
    assert_eq!(requests().await, asked);
    let before = catalogue_bytes(&cell, NODES).await;
    let routes: Vec<_> = (0..400).map(|n| route(&format!("queue-{n}"), true)).collect();
    let config = json!({"version": 9, "services": [], "limits": {}, "routes": routes});
    let size = config.to_string().len() as u64 * 4 / 3;
    cell.platform.put("op", "config", &config);
    for n in 0..NODES {
        let current = || async { cell.dump(n).await["catalogue"]["version"] == 9 };
        cell.wait("the new catalogue is in force", current).await;
    }
    let read = catalogue_bytes(&cell, NODES).await - before;
    assert!(read < 3 * size, "{read} bytes for a catalogue of {size}");
    cell.end().await;
}
