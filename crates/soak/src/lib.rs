//! Fault soak of a cell: real daemons and workers as processes, a store, and proxies between them.
//!
//! Faults come from signals and from the proxies alone, so any build of the daemon can be run.
//! What clients and workers saw decides whether the guarantees held; daemons' logs are only kept.

pub mod address;
pub mod cell;
pub mod check;
pub mod client;
pub mod effect;
pub mod keys;
pub mod link;
pub mod plan;
pub mod run;
