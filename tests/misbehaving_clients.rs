//! Crowds of clients that exceed limits, against one instance as a process: it stays within the
//! memory and the descriptors of its machine, and still answers an ordinary caller.

mod common {
    pub mod crowd;
    pub mod ports;
    #[allow(dead_code)]
    pub mod soak;
    pub mod users;
}

use common::crowd::{crowd, status, Payload, Server};
use std::net::TcpStream;

const POST: &str = "POST /plain/00000000000000b1 HTTP/1.1\r\nHost: h.example\r\n";

/// A request with a body of `len` bytes, of which all but the last are sent.
fn one_byte_short(len: usize) -> Payload {
    let mut head = format!("{POST}Content-Length: {len}\r\n\r\n").into_bytes();
    head.resize(head.len() + len - 1, b' ');
    Payload::head(head)
}

/// A chunked request of `times` chunks of `size` bytes, without its end.
fn chunks(size: usize, times: usize) -> Payload {
    let head = format!("{POST}Transfer-Encoding: chunked\r\n\r\n").into_bytes();
    let part = format!("{size:x}\r\n{}\r\n", " ".repeat(size)).into_bytes();
    Payload { head, part, times, ..Payload::default() }
}

/// `times` times 64 KiB of `byte` after `head`.
fn endless(head: &str, byte: u8, times: usize) -> Payload {
    Payload { head: head.into(), part: vec![byte; 64 * 1024], times, ..Payload::default() }
}

/// Guards against a request line without end filling the memory.
#[async_std::test]
async fn request_lines_without_end_on_the_front() {
    let server = Server::start().await;
    let open = crowd(server.instance.front, 40, endless("GET /", b'a', 80)).await;
    server.check(open).await;
}

/// Guards against a header line without end filling the memory.
#[async_std::test]
async fn header_lines_without_end_on_the_front() {
    let server = Server::start().await;
    let open = crowd(server.instance.front, 40, endless(&format!("{POST}X: "), b'a', 80)).await;
    server.check(open).await;
}

/// Guards against the readiness check being open to what the front refuses.
#[async_std::test]
async fn header_lines_without_end_on_the_readiness_check() {
    let server = Server::start().await;
    let head = "GET /v1/readyz HTTP/1.1\r\nHost: h\r\nX: ";
    let open = crowd(server.instance.ready, 40, endless(head, b'a', 80)).await;
    server.check(open).await;
}

/// Guards against the metrics being open to what the front refuses.
#[async_std::test]
async fn request_lines_without_end_on_the_metrics() {
    let server = Server::start().await;
    let open = crowd(server.instance.metrics, 40, endless("GET /", b'a', 80)).await;
    server.check(open).await;
}

/// Guards against a handshake of a link without end filling the memory.
#[async_std::test]
async fn handshakes_without_end_on_the_links() {
    let server = Server::start().await;
    let open = crowd(server.instance.links, 40, endless("GET /", b'a', 80)).await;
    server.check(open).await;
}

/// Guards against heads beyond the limit, line by line, holding memory.
#[async_std::test]
async fn heads_over_the_limit() {
    let server = Server::start().await;
    let part = format!("X: {}\r\n", "a".repeat(1_000)).into_bytes();
    let payload = Payload { part, times: 5_000, ..Payload::head(POST) };
    let open = crowd(server.instance.front, 40, payload).await;
    server.check(open).await;
}

/// Guards against messages over a link that are longer than any of an instance.
#[async_std::test]
async fn long_messages_over_links() {
    let server = Server::start().await;
    let upgrade = "GET / HTTP/1.1\r\nHost: h\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n\
        Sec-WebSocket-Version: 13\r\nSec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n";
    // A masked binary frame of 8 MiB, of which 5 MiB follow.
    let head = [0x82, 0xff, 0, 0, 0, 0, 0, 0x80, 0, 0, 1, 2, 3, 4];
    let payload = Payload { upgrade: upgrade.into(), head: head.to_vec(), ..endless("", b'a', 80) };
    let open = crowd(server.instance.links, 40, payload).await;
    server.check(open).await;
}

/// Guards against empty lines before a request holding a connection, or the process.
#[async_std::test]
async fn empty_lines_without_end() {
    let server = Server::start().await;
    let open = crowd(server.instance.front, 40, endless("\r\n", b'\n', 80)).await;
    server.check(open).await;
}

/// Guards against header values that the library cannot represent ending the process.
#[async_std::test]
async fn headers_that_are_not_ascii() {
    let server = Server::start().await;
    let head = format!("{POST}X: é\r\n\r\n");
    let open = crowd(server.instance.front, 400, Payload::head(head)).await;
    server.check(open).await;
}

/// As above, for values in the trailers of a body.
#[async_std::test]
async fn trailers_that_are_not_ascii() {
    let server = Server::start().await;
    let head = format!("{POST}Transfer-Encoding: chunked\r\n\r\n0\r\nX: é\r\n\r\n");
    let open = crowd(server.instance.front, 400, Payload::head(head)).await;
    server.check(open).await;
}

/// Guards against incomplete trailers that keep their connections open forever.
#[async_std::test]
async fn trailers_without_end() {
    let server = Server::start().await;
    let head = format!("{POST}Transfer-Encoding: chunked\r\n\r\n0\r\nX: a");
    let open = crowd(server.instance.front, 800, Payload::head(head)).await;
    server.check(open).await;
}

/// Guards against a chunked body being read whole before its size is checked.
#[async_std::test]
async fn bodies_in_large_chunks() {
    let server = Server::start().await;
    let open = crowd(server.instance.front, 40, chunks(64 * 1024, 80)).await;
    server.check(open).await;
}

/// As above, for chunks of one byte, of which a body takes several times its size on the wire.
#[async_std::test]
async fn bodies_in_chunks_of_one_byte() {
    let server = Server::start().await;
    let chunk = chunks(1, 4_096);
    let part = chunk.part.repeat(chunk.times);
    let open = crowd(server.instance.front, 100, Payload { part, times: 300, ..chunk }).await;
    server.check(open).await;
}

/// Guards against bodies that are valid in size, never end, and fill the memory and the descriptors
/// together.
#[async_std::test]
async fn bodies_one_byte_short() {
    let server = Server::start().await;
    let open = crowd(server.instance.front, 800, one_byte_short(60_000)).await;
    server.check(open).await;
}

/// As above, in chunks.
#[async_std::test]
async fn chunked_bodies_one_byte_short() {
    let server = Server::start().await;
    let open = crowd(server.instance.front, 800, chunks(6_000, 10)).await;
    server.check(open).await;
}

/// Guards against connections that send nothing taking the descriptors of the store and the links.
#[async_std::test]
async fn idle_connections_to_every_listener() {
    let server = Server::start().await;
    let mut open = Vec::new();
    let i = &server.instance;
    for to in [i.ready, i.metrics, i.links, i.front] {
        open.extend(crowd(to, 220, Payload::default()).await);
    }
    server.check(open).await;
}

/// Guards against requests that are refused unread being read without end.
#[async_std::test]
async fn long_bodies_of_requests_that_are_refused() {
    let server = Server::start().await;
    let head = "POST /nowhere/1 HTTP/1.1\r\nHost: h.example\r\nContent-Length: 99999999999\r\n\r\n";
    let open = crowd(server.instance.front, 800, endless(head, b'a', 8)).await;
    server.check(open).await;
}

/// Guards against the memory of bytes that arrive while a request before them is handled.
#[async_std::test]
async fn requests_sent_without_waiting_for_answers() {
    let server = Server::start().await;
    let get = "GET /plain/00000000000000c1 HTTP/1.1\r\nHost: h.example\r\n\r\n".repeat(1_000);
    let open = crowd(server.instance.front, 300, Payload::head(get)).await;
    server.check(open).await;
}

/// Guards against a refusal being lost because the connection is reset with a part of the body unread.
#[async_std::test]
async fn refusals_reach_clients_that_send_a_whole_body() {
    let server = Server::start().await;
    let front = server.instance.front;
    for _ in 0..20 {
        let head = "POST /plain/00000000000000b1 HTTP/1.1\r\nHost: h.example\r\nContent-Length: 131072\r\n\r\n";
        assert_eq!(status(front, endless(head, b' ', 2)).await.unwrap(), 413);
        let head = head.replace("/plain/", "/nowhere/");
        assert_eq!(status(front, endless(&head, b' ', 2)).await.unwrap(), 404);
    }
    server.check(Vec::new()).await;
}

/// As above, for a head that is too long.
#[async_std::test]
async fn refusals_reach_clients_that_send_a_long_head() {
    let server = Server::start().await;
    for _ in 0..20 {
        let long = Payload::head(format!("{POST}X: {}\r\n\r\n", "a".repeat(100_000)));
        assert_eq!(status(server.instance.front, long).await.unwrap(), 431);
    }
    server.check(Vec::new()).await;
}

/// Guards against the bodies of refused requests being read to their ends.
#[async_std::test]
async fn refused_bodies_are_not_read_to_their_ends() {
    let server = Server::start().await;
    let head = "POST /nowhere/1 HTTP/1.1\r\nHost: h.example\r\nContent-Length: 99999999999\r\n\r\n";
    let payload = endless(head, b'a', 1_024);
    let mut stream = TcpStream::connect(server.instance.front).unwrap();
    assert!(!payload.send(&mut stream), "64 MB were read");
    server.check(vec![stream]).await;
}

/// Guards against a limit that refuses what the interface allows: the longest body, however it is sent.
#[async_std::test]
async fn the_longest_body_is_served_in_calm() {
    let server = Server::start().await;
    let job =
        br#"{"spec": "s", "phases": [{"count": 1, "cpu": 1, "mem_mb": 1, "estimate_ms": 1}]}"#;
    let mut body = job.to_vec();
    body.resize(64 * 1024, b' ');
    let whole = format!("{POST}Content-Length: {}\r\n\r\n", body.len()).into_bytes();
    assert_eq!(
        status(server.instance.front, Payload::head([whole, body.clone()].concat())).await.unwrap(),
        200
    );
    let mut chunked =
        format!("{POST}Transfer-Encoding: chunked\r\n\r\n").replace("b1", "b2").into_bytes();
    for byte in &body {
        chunked.extend([b"1\r\n".as_slice(), &[*byte], b"\r\n"].concat());
    }
    chunked.extend(b"0\r\n\r\n");
    assert_eq!(status(server.instance.front, Payload::head(chunked)).await.unwrap(), 200);
    server.check(Vec::new()).await;
}
