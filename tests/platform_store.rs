//! Client of the platform's store, on answers that are incomplete.

use async_std::net::TcpListener;
use async_std::task::{self, JoinHandle};
use currantgw::control::ports::{Commit, CommitError, ReadError, Store, Txn};
use currantgw::http::{CallError, ConnPool, Method};
use currantgw::kernel::clock::Clock;
use currantgw::platform::store::RowStore;
use futures::{AsyncReadExt, AsyncWriteExt};
use std::net::SocketAddr;
use std::time::Duration;

/// Timeout of a call, ms.
const CALL_MS: u64 = 2_000;

/// An answer with `body`, whose head gives the length `len`.
fn answer(body: &str, len: usize) -> String {
    let head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nConnection: close";
    format!("{head}\r\nContent-Length: {len}\r\n\r\n{body}")
}

/// A server that sends each of `answers` on a connection of its own, and then closes it.
async fn serve(answers: Vec<String>) -> (SocketAddr, JoinHandle<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let task = task::spawn(async move {
        for answer in answers {
            let (mut stream, _) = listener.accept().await.unwrap();
            let mut request = [0; 4_096];
            let _ = stream.read(&mut request).await;
            stream.write_all(answer.as_bytes()).await.unwrap();
        }
    });
    (addr, task)
}

/// A body that ends early is not an answer.
#[async_std::test]
async fn an_answer_that_ends_early_is_a_broken_call() {
    let body = r#"{"rows":[]}"#;
    let (addr, server) = serve(vec![answer(body, 100), answer(body, body.len())]).await;
    let conns = ConnPool::new(Clock::real());
    let first = conns.call(addr, Method::Get, "/", &[], None, CALL_MS).await;
    assert!(matches!(first, Err(CallError::Broken(_))), "{first:?}");
    let second = conns.call(addr, Method::Get, "/", &[], None, CALL_MS).await;
    assert_eq!(second.unwrap().body, body.as_bytes());
    server.await;
}

/// Guards against orders of unknown outcome: the other side had closed an idle connection, and the
/// next call was sent on it.
#[async_std::test]
async fn a_connection_that_was_closed_while_idle_is_not_used() {
    let body = r#"{"rows":[]}"#;
    let open = answer(body, body.len()).replace("\r\nConnection: close", "");
    let (addr, server) = serve(vec![open, answer(body, body.len())]).await;
    let conns = ConnPool::new(Clock::real());
    for _ in 0..2 {
        let reply = conns.call(addr, Method::Post, "/", &[], Some(Vec::new()), CALL_MS).await;
        assert_eq!(reply.unwrap().body, body.as_bytes());
        task::sleep(Duration::from_millis(50)).await;
    }
    server.await;
}

/// Guards against a table that counts as read although its rows are missing: an answer without the
/// store's version holds no rows either.
#[async_std::test]
async fn an_answer_without_a_version_is_malformed() {
    let (addr, server) = serve(vec![answer("{}", 2); 3]).await;
    let store = RowStore::new(ConnPool::new(Clock::real()), addr);
    let page = store.page("jobs", "00", "", None, 500).await;
    assert_eq!(page.err(), Some(ReadError::Malformed));
    let changes = store.changes("jobs", 7, 0).await;
    assert_eq!(changes.err(), Some(ReadError::Malformed));
    let stored = store.commit(&Txn::default(), CALL_MS).await;
    assert!(matches!(stored, Err(CommitError::Malformed)), "{stored:?}");
    server.await;
}

#[async_std::test]
async fn an_answer_with_a_version_is_read() {
    let body = r#"{"schema_version":9}"#;
    let (addr, server) = serve(vec![answer(body, body.len()); 2]).await;
    let store = RowStore::new(ConnPool::new(Clock::real()), addr);
    assert_eq!(store.page("jobs", "00", "", None, 500).await.unwrap().version, 9);
    let stored = store.commit(&Txn::default(), CALL_MS).await;
    assert!(matches!(stored, Ok(Commit::Done(9))), "{stored:?}");
    server.await;
}

/// Guards against an answer without end filling the memory, in its head or in its body.
#[async_std::test]
async fn an_answer_without_end_is_a_broken_call() {
    const PART: usize = 1 << 20;
    const PARTS: usize = 256;
    let heads = ["HTTP/1.1 200 OK\r\nX: ", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"];
    for (head, fetched) in [(heads[0], false), (heads[1], false), (heads[1], true)] {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        let server = task::spawn(async move {
            let (mut stream, _) = listener.accept().await.unwrap();
            let _ = stream.write_all(head.as_bytes()).await;
            let part = format!("{PART:x}\r\n{}\r\n", "a".repeat(PART));
            for n in 0..PARTS {
                if stream.write_all(part.as_bytes()).await.is_err() {
                    return n;
                }
            }
            PARTS
        });
        let conns = ConnPool::new(Clock::real());
        let reply = match fetched {
            true => conns.fetch(addr, "/", 60_000).await,
            false => conns.call(addr, Method::Get, "/", &[], None, 60_000).await,
        };
        assert!(matches!(reply, Err(CallError::Broken(_))), "{:?}", reply.map(|r| r.status));
        assert!(server.await < PARTS, "all was read");
    }
}
