//! The HTTP client and listener that every process uses, with `TCP_NODELAY` on both ends.
//!
//! Without it a body, written after its head, waits for the peer's delayed acknowledgement of
//! the head: noticed as some 40 ms added to every call that carries a body.

use std::net::SocketAddr;

/// An HTTP/1.1 client that pools its connections.
pub fn client() -> surf::Client {
    let config = surf::Config::new().set_tcp_no_delay(true);
    config.try_into().unwrap_or_else(|_| surf::Client::new())
}

/// A listener on `addr`; accepted sockets inherit `TCP_NODELAY` from it.
pub fn listen(addr: SocketAddr) -> std::io::Result<async_std::net::TcpListener> {
    let socket = std::net::TcpListener::bind(addr)?;
    socket2::SockRef::from(&socket).set_tcp_nodelay(true)?;
    Ok(async_std::net::TcpListener::from(socket))
}
