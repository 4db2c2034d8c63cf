//! Stand-in for the platform: table, objects, workers, executors, list of VMs.
//!
//! One process serves all of them over HTTP for tests, the quickstart and measurements.
//! Tests can make it lose replies, delay them or fail every call, and it counts on its own
//! what it was asked to run. `docs/BORDERS.md` describes the interface. [`platform`] simulates the
//! users' platform in that platform's own protocol.

pub mod executors;
pub mod faults;
pub mod objects;
pub mod platform;
pub mod server;
pub mod table;
pub mod work;
pub mod workers;
