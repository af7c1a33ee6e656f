//! The control plane on the platform: every instance accepts jobs and answers queries about them,
//! and one of them, the elected leader, runs the scheduler, which places tasks on runners.
//!
//! - `engine` decides without I/O, `leader` drives it, and `election` elects the leader.
//! - `policy` holds the engine's decisions that need no state of the cell: queue order, shares of
//!   teams, placement, preemption, crash-loop detection and the run-time model.
//! - `mirror` is the local cache of the store's tables, `submissions` writes submissions in
//!   batches, `partitions` spreads progress over the partitions of the store, and `rows` (with
//!   `queue_row` and `speeds_row`) encodes the rows.
//! - `front` handles callers' requests, `access` and `teams` decide who may make them, `admission`
//!   holds what the leader has said about the backlog, and `links` connects the other instances to
//!   the leader.
//! - `leases` bounds how long the leases last that a leader has sent to runners.
//! - `store_health` tracks the health of the store, and `health` logs dependencies lost and
//!   regained.
//! - `model` and `ports` hold the data model and the interfaces to the platform; `node` and
//!   `settings` assemble and configure an instance.

pub mod access;
pub mod admission;
pub mod election;
pub mod engine;
pub mod front;
pub mod health;
pub mod leader;
pub mod leases;
pub mod links;
pub mod mirror;
pub mod model;
pub mod node;
pub mod partitions;
pub mod policy;
pub mod ports;
pub mod queue_row;
pub mod rows;
pub mod settings;
pub mod speeds_row;
pub mod store_health;
pub mod submissions;
pub mod teams;
