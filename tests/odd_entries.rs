//! One odd entry among those that other programs write or answer: nested deeply, with a number that is
//! too large, with a port out of range, or under an odd key. No process ends, the odd entry names
//! nothing, and the others hold.

mod common {
    pub mod odd;
    pub mod ports;
    #[allow(dead_code)]
    pub mod soak;
    pub mod users;
}

use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use async_tungstenite::tungstenite::Message;
use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use common::odd;
use common::ports::free_addr;
use common::soak::instances::{self, Instance};
use common::users::advice::Advice;
use common::users::{self, Cell};
use currantgw::control::model::Attempt;
use currantgw::control::ports::{Change, PollRequest, ReadError, RunnerCall, Runners, Store};
use currantgw::control::rows::{self, JobRow, LeaderRow, ProgressRow};
use currantgw::control::speeds_row::SpeedsRow;
use currantgw::http::ConnPool;
use currantgw::kernel::clock::Clock;
use currantgw::platform::runners::{self, BadEntry, RunnerCalls};
use currantgw::platform::store::RowStore;
use currantgw::platform::{advice, callers, catalogue, reports};
use futures::{AsyncReadExt, AsyncWriteExt};
use serde_json::{json, Value};
use std::time::Duration;

const TASK: &str = "5c0e7a21d94b36f8.0.1.17";

/// Guards against an odd entry that ends the process or names a runner that cannot be called, and
/// against one that is refused for an unknown field.
#[async_std::test]
async fn an_odd_registry_entry_names_no_runner() {
    for body in odd::entries() {
        let start = String::from_utf8_lossy(&body[..body.len().min(80)]).into_owned();
        assert!(runners::entry(&body).is_err(), "{start}");
    }
    let ids =
        odd::keys().into_iter().filter(|id| runners::named_entry(id, b"{}") == Err(BadEntry::Id));
    assert_eq!(ids.count(), 7);
    for value in odd::values() {
        let start = value.get(..20).unwrap_or(&value);
        assert!(runners::entry(odd::entry("other", &value).as_bytes()).is_ok(), "{start}");
    }
}

/// Guards against one odd route, completion or approval that makes the whole configuration, report or
/// advice an error, so that it is not followed any more.
#[async_std::test]
async fn an_odd_item_of_a_list_does_not_affect_the_others() {
    for v in odd::values() {
        let start = v.get(..20).unwrap_or(&v);
        let route = r#"{"name":"a","host":"h","path_prefix":"/a/","service":"s""#;
        let body =
            format!(r#"{{"version":3,"x":{v},"routes":[{route}}},{v},{route},"priority":{v}}}]}}"#);
        let read = catalogue::read(body.as_bytes()).unwrap_or_else(|e| panic!("{start}: {e}"));
        assert_eq!((read.catalogue.queues.len(), read.bad.len()), (1, 2), "{start}");
        let tenants = format!(r#"{{"version":3,"tenants":[{{"name":"t","api_keys":["k"]}},{v}]}}"#);
        let read = catalogue::read(tenants.as_bytes()).unwrap_or_else(|e| panic!("{start}: {e}"));
        assert_eq!((read.catalogue.teams.iter().count(), read.bad_teams.len()), (1, 1), "{start}");
        let end = format!(r#"[1,"{TASK}",1,"done",""]"#);
        let body = format!(r#"{{"clock_ms":5,"x":{v},"finished":[{end},{v},[2,"{TASK}",{v}]]}}"#);
        let read = reports::report(body.as_bytes()).unwrap_or_else(|e| panic!("{start}: {e}"));
        assert_eq!((read.report.ends.len(), read.report.unreadable), (1, 2), "{start}");
        // The progress and the load of a run are no reason to take the run for unknown.
        let body = format!(r#"{{"clock_ms":5,"active":[["{TASK}",1,"",{v},{v}]]}}"#);
        let read = reports::report(body.as_bytes()).unwrap_or_else(|e| panic!("{start}: {e}"));
        assert_eq!(read.report.active[0].attempt, Attempt(1));
        let body =
            format!(r#"{{"x":{v},"validity_ms":{v},"approved":[["i-0","t"],{v},["i-1",{v}]]}}"#);
        let ids = ["i-0".to_string(), "i-1".to_string()];
        let read = advice::decode(body.as_bytes(), &ids).unwrap_or_else(|e| panic!("{start}: {e}"));
        assert_eq!(read.advice.approved[0].id, "i-0", "{start}");
        for field in ["phases", "first_run_ms"] {
            let body = format!(r#"{{"spec":"s","{field}":{v}}}"#);
            assert!(callers::job(body.as_bytes()).is_err(), "{start}");
        }
    }
}

/// Guards against rows of this system's own tables, or frames on its links, that end the process
/// which decodes them when another program has written them.
#[async_std::test]
async fn odd_rows_and_frames_are_typed_errors() {
    for odd in odd::cbor() {
        for name in ["steps", "queue", "node", "speeds", "States", "Leader", "other"] {
            let field = [&[0xa1, 0x60 | name.len() as u8], name.as_bytes(), &odd].concat();
            for value in [&odd, &field] {
                let why = [
                    rows::decode::<JobRow>(value).err(),
                    rows::decode::<ProgressRow>(value).err(),
                    rows::decode::<LeaderRow>(value).err(),
                    rows::decode::<SpeedsRow>(value).err(),
                    rows::decode::<rows::StandbysRow>(value).err(),
                ];
                assert!(why.iter().all(Option::is_some), "{name}: {why:?}");
            }
        }
    }
}

/// A store that gives `body` as the answer to every call, `calls` times.
async fn fixed_store(body: Vec<u8>, calls: usize) -> (RowStore, task::JoinHandle<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let at = listener.local_addr().unwrap();
    let server = task::spawn(async move {
        for _ in 0..calls {
            let (mut stream, _) = listener.accept().await.unwrap();
            let _ = stream.read(&mut [0; 4_096]).await;
            let head = "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length";
            let head = format!("{head}: {}\r\n\r\n", body.len());
            let _ = stream.write_all(&[head.as_bytes(), &body].concat()).await;
        }
    });
    (RowStore::new(ConnPool::new(Clock::real()), at), server)
}

/// Guards against a table that is not followed any more because one row of an answer has a key or a
/// value that is no text, and against an odd version that is taken for the position in the feed.
#[async_std::test]
async fn an_odd_row_of_an_answer_does_not_affect_the_others() {
    let good = r#"{"table":"servers","key":"b","value":"e30=","schema_version":4}"#;
    let mut odd: Vec<Vec<u8>> = [r#""\ud800""#, r#""\udfff\ud800x""#].map(|k| k.into()).into();
    odd.push(b"\"a\xff\"".to_vec());
    let with_key = |key: &Vec<u8>| [br#""value":"e30=","key":"#, &key[..]].concat();
    let mut odd: Vec<Vec<u8>> = odd.iter().map(with_key).collect();
    odd.extend(odd::values().iter().map(|v| format!(r#""key":"a","value":{v}"#).into_bytes()));
    odd.extend(odd::values().iter().map(|v| format!(r#""key":"a","other":{v}"#).into_bytes()));
    for fields in odd {
        let start = String::from_utf8_lossy(&fields[..fields.len().min(50)]).into_owned();
        let head = br#"{"schema_version":9,"rows":[{"table":"servers","schema_version":3,"#;
        let body = [head, &fields[..], b"},", good.as_bytes(), b"]}"].concat();
        let (store, server) = fixed_store(body, 2).await;
        let page = store.page("servers", "", "", None, 500).await;
        let page = page.unwrap_or_else(|e| panic!("{start}: {e}"));
        let last = page.rows.last().unwrap();
        assert_eq!((page.version, last.key.key.as_str(), &last.value[..]), (9, "b", &b"{}"[..]));
        let changes = store.changes("servers", 1, 0).await.unwrap();
        assert!(matches!(changes.rows.last(), Some(Change::Put(row)) if row.key.key == "b"));
        server.await;
    }
    for version in odd::values().into_iter().chain(["null".to_string()]) {
        let body = format!(r#"{{"schema_version":{version},"rows":[{good}]}}"#);
        let (store, server) = fixed_store(body.into_bytes(), 1).await;
        assert_eq!(store.changes("servers", 1, 0).await.err(), Some(ReadError::Malformed));
        server.await;
    }
}

/// Guards against a call that ends the process because of the id of the runner that it is meant for,
/// and against an id that adds headers to the call.
#[async_std::test]
async fn an_odd_runner_id_does_not_end_the_caller() {
    let cell = Cell::start(0, 1, 10).await;
    let calls = RunnerCalls::new(ConnPool::new(Clock::real()));
    for id in odd::keys() {
        let to = RunnerCall { addr: free_addr(), id };
        let request = PollRequest { fence: 1, acked: 0, until: None, wait_ms: 0 };
        assert!(calls.poll(&to, &request).await.is_err(), "{to:?}");
    }
    cell.end().await;
}

/// Guards against a registry that is never read to its end, or not in full, because a page of it ends
/// with an odd key.
#[async_std::test]
async fn a_table_is_read_on_from_an_odd_key() {
    let cell = Cell::empty().await;
    for key in odd::keys() {
        cell.platform.put("servers", &key, &json!({}));
    }
    let store = cell.store_client();
    for key in odd::keys() {
        let page = store.page("servers", "", &key, None, 1).await.unwrap();
        assert_eq!(page.rows[0].key.key, key);
    }
    cell.end().await;
}

fn config(version: u64) -> Value {
    json!({"version": version, "services": [], "limits": {}, "routes": [users::route("plain", false)]})
}

/// Waits until a job is accepted and completed; none of `processes` may end meanwhile.
async fn completes(cell: &Cell, n: usize, id: &str, processes: &[Instance]) {
    let alive = || {
        let ended = processes.iter().filter(|p| p.has_ended()).count();
        assert_eq!(ended, 0, "processes have ended by themselves");
        true
    };
    let accepted = || async { alive() && cell.submit(n, "plain", id, 3).await.0 == 200 };
    cell.wait("a job is accepted", accepted).await;
    let completed = || async { alive() && cell.state(n, "plain", id).await == "completed" };
    cell.wait("a job is completed", completed).await;
}

/// Guards against instances that end, stand still or read without pause because of odd rows of any
/// table or odd frames on a link, at their start, while they run, or when they take over.
#[async_std::test]
async fn a_cell_works_on_beside_odd_rows_of_every_table() {
    let mut cell = Cell::start(0, 2, 50).await;
    let (closed, silent) = (free_addr(), std::net::TcpListener::bind("127.0.0.1:0").unwrap());
    odd::write_rows(&cell.platform, closed);
    cell.platform.put("op", "config", &config(5));
    for n in 0..2 {
        cell.add(cell.store);
        cell.wait("an instance is ready", || async { cell.ready(n).await }).await;
    }
    completes(&cell, 0, "00000000000000a1", &[]).await;
    odd::write_rows(&cell.platform, silent.local_addr().unwrap());
    let leader = cell.leader().await.unwrap();
    let stream = TcpStream::connect(cell.links(leader)).await.unwrap();
    let url = format!("ws://{}/", cell.links(leader));
    let (mut link, _) = async_tungstenite::client_async(url, stream).await.unwrap();
    let candidate = json!({"node": "x", "able": true, "age": u64::MAX, "size": u64::MAX});
    let odd = rows::encode(&json!({"Follows": {"yes": true, "candidate": candidate}}));
    for frame in odd::cbor().into_iter().chain([odd]) {
        link.send(Message::binary(frame)).await.unwrap();
    }
    completes(&cell, 1, "00000000000000a2", &[]).await;
    let reads = cell.platform.reads("servers");
    task::sleep(Duration::from_secs(2)).await;
    let reads = cell.platform.reads("servers") - reads;
    assert!((1..=15).contains(&reads), "{reads} reads of the registry in 2 s");
    assert!(cell.metrics(leader).await.contains("control_bad_entries"));
    cell.platform.put("op", "config", &config(6));
    cell.stop(leader).await;
    completes(&cell, 1 - leader, "00000000000000a3", &[]).await;
    cell.end().await;
}

/// Guards against a runner whose runs are started again, or that is never used again, after its entry
/// was odd for a while.
#[async_std::test]
async fn runs_outlast_an_odd_entry_of_their_runner() {
    let cell = Cell::start(1, 1, 3_500).await;
    assert_eq!(cell.submit(0, "plain", "00000000000000b1", 2).await.0, 200);
    cell.wait("both tasks run", || async { cell.platform.starts().len() == 2 }).await;
    cell.platform.put_row("servers", "", "i-0", STANDARD.encode(odd::nested(1_000)));
    task::sleep(Duration::from_millis(800)).await;
    cell.submit(0, "plain", "00000000000000b2", 1).await;
    task::sleep(Duration::from_millis(800)).await;
    assert_eq!(cell.platform.starts().len(), 2, "a runner without a valid entry gets no task");
    cell.platform.register("i-0");
    for id in ["00000000000000b1", "00000000000000b2"] {
        cell.wait_state(0, "plain", id, "completed").await;
    }
    assert!(cell.platform.starts().values().all(|n| *n == 1), "{:?}", cell.platform.starts());
    cell.end().await;
}

/// Guards against processes that end by themselves, one after the other, as each becomes the leader
/// and reads the odd rows; and against logs that fill with them.
#[async_std::test]
async fn no_process_ends_because_of_odd_rows() {
    let mut cell = Cell::start(0, 3, 50).await;
    let (conns, dir) = (ConnPool::new(Clock::real()), std::env::temp_dir());
    let dir = dir.join(format!("odd-entries-{}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    odd::write_rows(&cell.platform, free_addr());
    cell.platform.put("op", "config", &config(5));
    let new = |n| Instance::new(n, &cell.platform, Advice::new(100), &dir);
    let nodes: Vec<Instance> = (0..3).map(new).collect();
    nodes.iter().for_each(Instance::boot);
    cell.fronts = nodes.iter().map(|n| n.front).collect();
    for n in &nodes {
        cell.wait("an instance is ready", || async { n.ready(&conns).await }).await;
    }
    completes(&cell, 0, "00000000000000c1", &nodes).await;
    odd::write_rows(&cell.platform, free_addr());
    completes(&cell, 1, "00000000000000c2", &nodes).await;
    let killed = instances::leader(&nodes).await;
    nodes[killed].kill();
    let next = (killed + 1) % 3;
    cell.wait("another leads", || async {
        let led = instances::leader(&nodes).await;
        led != killed && nodes[led].leads(&conns).await
    })
    .await;
    completes(&cell, next, "00000000000000c3", &nodes).await;
    for n in &nodes {
        let log = std::fs::read_to_string(&n.log).unwrap();
        let longest = log.lines().map(str::len).max().unwrap();
        let odd = log.lines().filter(|l| l.contains("names no runner")).count();
        assert!(longest < 2_000 && odd <= 1_000, "{longest} bytes, {odd} lines");
        n.end().await;
    }
    std::fs::remove_dir_all(&dir).unwrap();
    cell.end().await;
}
