//! Stand-in for the platform: table, objects, workers, executors, list of VMs.
//!
//! One process serves all of them over HTTP for tests, the quickstart and measurements.
//! Tests can make it lose replies, delay them or fail every call. It counts the calls and
//! the violations that it observes, independently of the daemons. `docs/BORDERS.md` describes
//! the interface. [`platform`] simulates the users' platform in that platform's own protocol.

pub mod executors;
pub mod faults;
pub mod objects;
pub mod platform;
pub mod server;
pub mod table;
pub mod work;
pub mod workers;
