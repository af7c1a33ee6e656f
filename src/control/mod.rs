//! The control plane on the platform: every instance takes jobs and answers for them, and one of
//! them, the holder of the scheduler's office, places their tasks on runners.
//!
//! `engine` decides without I/O; `leader` drives it; `office` elects who does; `mirror` keeps
//! what the store says of jobs; `intake` writes submissions in groups; `front` answers callers;
//! `links` connects the other instances with the scheduler's; `pulse` knows whether the store answers;
//! `evict` picks tasks that make room; `crashes` finds tasks that
//! crash their runners; `pace` learns what estimates are worth; `parts` spreads progress over the store; `health` logs dependencies lost and regained.

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
