//! Loopback addresses for the servers that tests start.

#![allow(dead_code)]

use std::net::SocketAddr;

/// First port used. The range lies below the ephemeral ports of the system: otherwise an outgoing
/// connection could occupy a port before its listener is bound.
const FIRST_PORT: u16 = 10_000;

/// Number of ports used by a test process; each process starts at a different offset.
const PORTS: u16 = 20_000;

static NEXT_PORT: std::sync::atomic::AtomicU16 = std::sync::atomic::AtomicU16::new(0);

/// Returns a free loopback address that no other test of this process uses.
pub fn free_addr() -> SocketAddr {
    let start = (std::process::id() as u16).wrapping_mul(101) % PORTS;
    for _ in 0..PORTS {
        let n = NEXT_PORT.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        let addr = SocketAddr::from(([127, 0, 0, 1], FIRST_PORT + (start + n % PORTS) % PORTS));
        if std::net::TcpListener::bind(addr).is_ok() {
            return addr;
        }
    }
    panic!("no free port");
}
