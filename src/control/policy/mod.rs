//! Decisions of the scheduler as functions of their inputs. No I/O.
//!
//! Modules here import neither the engine, which holds the state and calls them, nor the links
//! between instances, so that each decision is tested by itself under the load that it answers.

pub mod admission;
pub mod backlog;
pub mod crashes;
pub mod deferral;
pub mod fair_share;
pub mod features;
pub mod headroom;
pub mod link_budget;
pub mod place;
pub mod preemption;
pub mod queue;
pub mod run_times;
pub mod speeds;
pub mod standbys;
pub mod urgent_preemption;
