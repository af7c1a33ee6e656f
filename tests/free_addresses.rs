//! Addresses that tests give to their servers.

#[path = "common/ports.rs"]
mod ports;

use std::net::{SocketAddr, TcpListener};
use std::process::Command;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;

/// Number of threads that start processes meanwhile.
const SPAWNERS: usize = 4;

/// Number of addresses taken.
const ADDRESSES: usize = 3_000;

/// Guards against servers of tests that fail with "Address already in use" since a process started by
/// another thread still has a copy of the socket that showed the address to be free.
#[test]
fn a_free_address_can_be_bound_while_processes_are_started() {
    let first = ports::free_addr();
    let taken = SocketAddr::new(first.ip(), first.port() + 1);
    let _listener = TcpListener::bind(taken).unwrap();
    assert_ne!(ports::free_addr(), taken);
    let over = AtomicBool::new(false);
    let in_use = thread::scope(|scope| {
        for _ in 0..SPAWNERS {
            scope.spawn(|| {
                while !over.load(Ordering::Relaxed) {
                    assert!(Command::new("true").status().unwrap().success());
                }
            });
        }
        let bind = |_| TcpListener::bind(ports::free_addr());
        let in_use = (0..ADDRESSES).map(bind).filter(Result::is_err).count();
        over.store(true, Ordering::Relaxed);
        in_use
    });
    assert_eq!(in_use, 0);
}
