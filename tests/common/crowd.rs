//! One instance as a process, crowds of clients that exceed limits, and what the process uses under
//! them.

use super::soak::instances::Instance;
use super::users::advice::Advice;
use super::users::{route, Platform};
use async_std::{sync, task};
use currantgw::http::{ConnPool, Method};
use currantgw::kernel::clock::Clock;
use serde_json::json;
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// Memory of the machine, MB.
pub const MEMORY_MB: u64 = 96;

/// Descriptors of the machine.
pub const MAX_FDS: usize = 600;

/// Descriptors that the machine reserves for files.
const FILE_FDS: usize = 200;

/// A client gives up a connection whose server reads nothing for this long.
const STALLED: Duration = Duration::from_millis(500);

/// Time limit of an ordinary request, ms: finds a process that hangs.
const REQUEST_MS: u64 = 30_000;

/// Number of threads that send for a crowd.
const SENDERS: usize = 20;

/// Interval between two samples of what the process uses.
const SAMPLE: Duration = Duration::from_millis(5);

/// Crowds would be judged by each other's load.
static ONE_AT_A_TIME: sync::Mutex<()> = sync::Mutex::new(());

/// Number of the next instance, for its directory.
static NEXT: AtomicU32 = AtomicU32::new(0);

/// Largest use seen.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage {
    /// Resident memory and bytes that were received and not read yet, bytes.
    pub memory: u64,
    /// Descriptors.
    pub fds: usize,
}

impl Usage {
    fn add(&mut self, now: Self) {
        self.memory = self.memory.max(now.memory);
        self.fds = self.fds.max(now.fds);
    }
}

fn ports(instance: &Instance) -> [u16; 4] {
    [&instance.front, &instance.ready, &instance.links, &instance.metrics].map(SocketAddr::port)
}

/// What each client of a crowd sends: `upgrade`, whose answer it waits for, `head`, and `part` several
/// times.
#[derive(Clone, Debug, Default)]
pub struct Payload {
    pub upgrade: Vec<u8>,
    pub head: Vec<u8>,
    pub part: Vec<u8>,
    pub times: usize,
}

/// An instance under a crowd: the only one of its cell, and so its leader.
pub struct Server {
    pub instance: Instance,
    usage: Arc<Mutex<Usage>>,
    done: Arc<AtomicBool>,
    sampler: Option<JoinHandle<()>>,
    _turn: sync::MutexGuard<'static, ()>,
}

impl Server {
    /// Starts the instance, and waits until it is ready and the leader.
    pub async fn start() -> Self {
        let turn = ONE_AT_A_TIME.lock().await;
        let n = NEXT.fetch_add(1, Ordering::Relaxed);
        let name = format!("crowd-{}-{n}", std::process::id());
        let dir = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
        std::fs::create_dir_all(&dir).unwrap();
        let platform = Arc::new(Platform::default());
        let routes = [route("plain", false)];
        platform.put(
            "op",
            "config",
            &json!({"version": 3, "services": [], "limits": {}, "routes": routes}),
        );
        let instance = Instance::new(0, &platform, Advice::new(60), &dir);
        instance.set(&json!({"memory_mb": MEMORY_MB, "max_fds": MAX_FDS}));
        instance.boot();
        let conns = ConnPool::new(Clock::real());
        while !instance.ready(&conns).await || !instance.leads(&conns).await {
            assert!(!instance.has_ended(), "the instance has ended");
            task::sleep(Duration::from_millis(50)).await;
        }
        let (usage, done) = (Arc::<Mutex<Usage>>::default(), Arc::<AtomicBool>::default());
        let sampler = {
            let (usage, done, pid, ports) =
                (usage.clone(), done.clone(), instance.pid(), ports(&instance));
            thread::spawn(move || {
                while !done.load(Ordering::Relaxed) {
                    let now = sample(pid, &ports);
                    usage.lock().unwrap().add(now);
                    thread::sleep(SAMPLE);
                }
            })
        };
        Self { instance, usage, done, sampler: Some(sampler), _turn: turn }
    }

    /// Checks what must hold while the clients of `crowd` still hold what they have open: the
    /// process lives within its machine's memory and descriptors, and answers an ordinary caller.
    pub async fn check(mut self, crowd: Vec<TcpStream>) {
        assert!(!self.instance.has_ended(), "the process has ended");
        self.serves_a_caller().await;
        assert!(!self.instance.has_ended(), "the process has ended");
        // The crowd may have been faster than the sampler.
        let now = sample(self.instance.pid(), &ports(&self.instance));
        self.usage.lock().unwrap().add(now);
        let usage = *self.usage.lock().unwrap();
        println!(
            "{} connections, {} kB, {} descriptors",
            crowd.len(),
            usage.memory >> 10,
            usage.fds
        );
        assert!(usage.memory < MEMORY_MB << 20, "memory: {} bytes", usage.memory);
        assert!(usage.fds < MAX_FDS - FILE_FDS, "descriptors: {}", usage.fds);
        drop(crowd);
        self.done.store(true, Ordering::Relaxed);
        if let Some(sampler) = self.sampler.take() {
            sampler.join().unwrap();
        }
        self.instance.end().await;
    }
}

impl Server {
    /// Submits a job and reads its state over a new connection.
    async fn serves_a_caller(&self) {
        let conns = ConnPool::new(Clock::real());
        let path = "/plain/00000000000000a1";
        let headers = [("Host", "h.example")];
        let body =
            json!({"spec": "s", "phases": [{"count": 1, "cpu": 1, "mem_mb": 1, "estimate_ms": 1}]});
        for (method, body) in
            [(Method::Post, Some(body.to_string().into_bytes())), (Method::Get, None)]
        {
            let reply =
                conns.call(self.instance.front, method, path, &headers, body, REQUEST_MS).await;
            let reply = reply.expect("an ordinary caller is answered");
            assert_eq!(reply.status, 200, "{}", String::from_utf8_lossy(&reply.body));
        }
    }
}

/// Descriptors that the process has open now, its memory, and what its `ports` have not read.
fn sample(pid: u32, ports: &[u16]) -> Usage {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let kilobytes = |field: &str| -> u64 {
        let line = status.lines().find(|l| l.starts_with(field));
        line.and_then(|l| l.split_whitespace().nth(1)?.parse().ok()).unwrap_or(0)
    };
    let table = std::fs::read_to_string(format!("/proc/{pid}/net/tcp")).unwrap_or_default();
    let unread: u64 = table.lines().filter_map(|line| unread(line, ports)).sum();
    let memory = (kilobytes("VmHWM:") << 10).max((kilobytes("VmRSS:") << 10) + unread);
    let fds = std::fs::read_dir(format!("/proc/{pid}/fd")).map_or(0, Iterator::count);
    Usage { memory, fds }
}

/// Unread bytes of a connection in the system's table, if its local port is one of `ports`.
fn unread(line: &str, ports: &[u16]) -> Option<u64> {
    const LISTEN: &str = "0A";
    let mut fields = line.split_whitespace().skip(1);
    let (_, port) = fields.next()?.split_once(':')?;
    let state = fields.nth(1)?;
    let (_, unread) = fields.next()?.split_once(':')?;
    let is_ours = ports.contains(&u16::from_str_radix(port, 16).ok()?) && state != LISTEN;
    is_ours.then(|| u64::from_str_radix(unread, 16).ok())?
}

impl Payload {
    /// A head, and nothing else.
    pub fn head(head: impl Into<Vec<u8>>) -> Self {
        Self { head: head.into(), ..Self::default() }
    }

    /// Sends all of it, or as much as the server takes. Returns whether it did take all.
    pub fn send(&self, stream: &mut TcpStream) -> bool {
        if !self.upgrade.is_empty() {
            stream.set_read_timeout(Some(STALLED)).unwrap();
            let sent = stream.write_all(&self.upgrade).and_then(|()| stream.read(&mut [0; 1_024]));
            if !matches!(sent, Ok(1..)) {
                return false;
            }
        }
        let parts = std::iter::repeat_n(&self.part, self.times);
        std::iter::once(&self.head).chain(parts).all(|bytes| stream.write_all(bytes).is_ok())
    }
}

/// Opens `count` connections to `to` and sends `payload` on each. Returns those that could be opened,
/// still open on this side.
pub async fn crowd(to: SocketAddr, count: usize, payload: Payload) -> Vec<TcpStream> {
    let payload = Arc::new(payload);
    let senders: Vec<_> = (0..SENDERS)
        .map(|n| {
            let (payload, share) = (payload.clone(), (count + n) / SENDERS);
            task::spawn_blocking(move || {
                let mut open = Vec::new();
                for _ in 0..share {
                    let Ok(mut stream) = TcpStream::connect(to) else { continue };
                    stream.set_write_timeout(Some(STALLED)).unwrap();
                    payload.send(&mut stream);
                    open.push(stream);
                }
                open
            })
        })
        .collect();
    let mut open = Vec::new();
    for sender in senders {
        open.extend(sender.await);
    }
    open
}

/// Sends `payload` on a new connection, and returns the status of the answer; an error if the
/// connection is reset, since a client may then not see the answer.
pub async fn status(to: SocketAddr, payload: Payload) -> std::io::Result<u16> {
    task::spawn_blocking(move || {
        let mut stream = TcpStream::connect(to)?;
        stream.set_write_timeout(Some(STALLED))?;
        stream.set_read_timeout(Some(Duration::from_millis(REQUEST_MS)))?;
        payload.send(&mut stream);
        stream.shutdown(Shutdown::Write)?;
        let mut answer = Vec::new();
        stream.read_to_end(&mut answer)?;
        let status = String::from_utf8_lossy(&answer).get(9..12).unwrap_or_default().parse();
        status.map_err(|_| ErrorKind::InvalidData.into())
    })
    .await
}
