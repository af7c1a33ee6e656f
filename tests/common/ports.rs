//! Loopback addresses for the servers that tests start.

#![allow(dead_code)]

use socket2::{Domain, Socket, Type};
use std::net::{SocketAddr, TcpListener};
use std::sync::Mutex;

/// First port used. The range lies below the ephemeral ports of the system: otherwise an outgoing
/// connection could occupy a port before its listener is bound.
const FIRST_PORT: u16 = 10_000;

/// Number of blocks of ports; each test process starts at a different one.
const BLOCKS: u16 = 200;

/// Number of ports in a block.
const BLOCK_PORTS: u16 = 100;

/// A block of ports that no other test process uses while the listener on its first port is open.
struct Block {
    _guard: TcpListener,
    first: u16,
    used: u16,
}

/// Blocks of this process; the last one is in use.
static TAKEN: Mutex<Vec<Block>> = Mutex::new(Vec::new());

fn addr(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

/// Whether no socket listens on an address. The check itself never listens: a process that another
/// thread starts meanwhile keeps a copy of the socket for a moment, and a copy that listens would
/// occupy the address.
fn is_free(at: SocketAddr) -> bool {
    let bind = || -> std::io::Result<()> {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
        socket.set_reuse_address(true)?;
        socket.bind(&at.into())
    };
    bind().is_ok()
}

/// Takes a block that no test process uses.
fn take_block() -> Block {
    let start = std::process::id() as u16;
    for n in 0..BLOCKS {
        let first = FIRST_PORT + (start.wrapping_add(n) % BLOCKS) * BLOCK_PORTS;
        if let Ok(guard) = TcpListener::bind(addr(first)) {
            return Block { _guard: guard, first, used: 1 };
        }
    }
    panic!("no free block of ports");
}

/// Returns a free loopback address that no other test uses.
pub fn free_addr() -> SocketAddr {
    let mut taken = TAKEN.lock().unwrap_or_else(|e| e.into_inner());
    loop {
        if taken.last().is_none_or(|block| block.used == BLOCK_PORTS) {
            let block = take_block();
            taken.push(block);
        }
        let block = taken.last_mut().expect("a block was taken");
        let at = addr(block.first + block.used);
        block.used += 1;
        if is_free(at) {
            return at;
        }
    }
}
