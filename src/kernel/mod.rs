//! The kernel: small keys and arenas, the one clock, resources, classes of work and the
//! registry that placement plug-ins add themselves to.

pub mod arena;
pub mod clock;
pub mod registry;
pub mod res;
pub mod stop;
