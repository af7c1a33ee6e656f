//! The control plane on the platform: every instance accepts jobs and answers queries about them,
//! and one of them, the elected leader, runs the scheduler, which places tasks on runners.
//!
//! - `engine` decides without I/O, `leader` drives it, and `office` elects the leader.
//! - `queue`, `place`, `evict`, `crashes` and `pace` are policies of the engine: queue order,
//!   placement, preemption, crash-loop detection and the run-time model.
//! - `mirror` is the local cache of the store's tables, `intake` writes submissions in batches,
//!   `parts` spreads progress over the partitions of the store, and `rows` encodes the rows.
//! - `front` handles callers' requests, and `links` connects the other instances to the leader.
//! - `pulse` tracks the health of the store, and `health` logs dependencies lost and regained.
//! - `model` and `ports` hold the data model and the interfaces to the platform; `node` and
//!   `settings` assemble and configure an instance.

pub mod crashes;
pub mod engine;
pub mod evict;
pub mod front;
pub mod health;
pub mod intake;
pub mod leader;
pub mod links;
pub mod mirror;
pub mod model;
pub mod node;
pub mod office;
pub mod pace;
pub mod parts;
pub mod place;
pub mod ports;
pub mod pulse;
pub mod queue;
pub mod rows;
pub mod settings;
