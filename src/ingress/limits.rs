//! Limits of the HTTP listeners of a process, derived from the memory and the descriptors that it has.

/// Descriptors that the platform reserves for files.
const FILE_FDS: usize = 200;

/// Connections of the load balancer, or of operators, to one listener.
const INTERNAL_CONNS: usize = 32;

/// Longest body of a request to a listener whose requests have none, bytes.
const INTERNAL_BODY: usize = 4 * 1024;

/// Memory of a connection without a request: its task, its socket and its place in the budget, bytes.
pub const CONN_BYTES: usize = 8 * 1024;

/// Additional memory of a request in progress, without its body: buffers of the HTTP library, bytes.
pub const REQUEST_BYTES: usize = 32 * 1024;

/// Size of the receive buffer that is requested for a connection; the system may use twice as much,
/// bytes.
pub const RECEIVE_BYTES: usize = 32 * 1024;

/// Smallest memory for connections, bytes: several of the longest requests at once.
const MIN_MEMORY: usize = 4 << 20;

/// Smallest number of connections of a listener for callers.
const MIN_CONNS: usize = 16;

/// What a process may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Machine {
    /// Memory, bytes.
    pub memory: usize,
    /// Descriptors.
    pub fds: usize,
}

/// Limits of one listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Name of the listener in logs and metrics.
    pub listener: &'static str,
    /// Most connections.
    pub connections: usize,
    /// Most memory for connections and requests in progress, bytes.
    pub memory: usize,
    /// Longest body of a request, bytes.
    pub body: usize,
}

impl Limits {
    /// Limits of the listener for callers on `machine`, with bodies of at most `body` bytes.
    ///
    /// A quarter of the descriptors: a caller's request can need one more, to the store, and the rest
    /// is for runners and links. A quarter of the memory for what has been read, and another one for
    /// what the system has received and is not read yet.
    pub fn callers(machine: Machine, body: usize) -> Self {
        let memory = (machine.memory / 4).max(MIN_MEMORY);
        let by_fds = machine.fds.saturating_sub(FILE_FDS) / 4;
        let by_memory = memory / (2 * RECEIVE_BYTES);
        Self { listener: "front", connections: by_fds.min(by_memory).max(MIN_CONNS), memory, body }
    }

    /// Limits of the listener for links of other instances on `machine`, of which a leader has one for
    /// each.
    pub fn links(machine: Machine) -> Self {
        let connections = (machine.fds.saturating_sub(FILE_FDS) * 2 / 5).max(MIN_CONNS);
        let memory = (machine.memory / 8).max(MIN_MEMORY);
        Self { listener: "links", connections, memory, body: 0 }
    }

    /// Limits of a listener for the load balancer or for operators.
    pub const fn internal(listener: &'static str) -> Self {
        Self { listener, connections: INTERNAL_CONNS, memory: MIN_MEMORY, body: INTERNAL_BODY }
    }

    /// Limits of a listener of the small cell, whose clients are its own processes.
    pub const fn cell(listener: &'static str) -> Self {
        Self { listener, connections: 2_048, memory: 256 << 20, body: 16 << 20 }
    }
}
