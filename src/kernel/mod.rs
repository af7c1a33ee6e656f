//! Basic types shared by all processes: arenas and their keys, the clock, the stop signal,
//! resources, classes of work, the registry of placement policies and the count of bytes sent and
//! received.

pub mod arena;
pub mod clock;
pub mod registry;
pub mod res;
pub mod stop;
pub mod traffic;
