//! currantgw: a cluster scheduler and request gateway for unlike workloads on one shared cell.
//!
//! The crate is a library with one small binary. Its modules:
//!
//! - `control`: the control plane on the users' platform; `platform` (in the root folder of that
//!   name): the adapter to that platform.
//! - `entry`: the entry instance, with API, catalogue, scheduler and routing to runners.
//! - `standin`: the stand-in of the platform and its client; `runner`: the stand-in of a backend
//!   server; `wire`: the frames between entry instances and runners.
//! - `kernel`: basic types shared by all processes, such as the clock and resources.
//! - `options`: settings of a cell; `cli`: the command line; `smoke`: the load driver.
//! - `ingress`: HTTP listeners with limits on what clients may use; `http`: HTTP clients; `admin`:
//!   metrics and JSON answers; `logs`: structured logs.

pub mod admin;
pub mod cli;
pub mod control;
pub mod entry;
pub mod http;
pub mod ingress;
pub mod kernel;
pub mod logs;
pub mod options;
#[path = "../platform/mod.rs"]
pub mod platform;
pub mod runner;
pub mod smoke;
pub mod standin;
pub mod wire;
