//! Basic types shared by all processes: arenas and their keys, the clock, the stop signal,
//! resources, classes of work and the registry of placement policies.

pub mod arena;
pub mod clock;
pub mod registry;
pub mod res;
pub mod stop;
