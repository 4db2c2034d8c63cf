//! A small stand-in for the platform: table, objects, workers, executors, list of VMs.
//!
//! One process serves all of them over HTTP, for tests, the quickstart and measures. It
//! can lose answers, answer late and go down, and it counts for itself what it was asked
//! to run. `docs/BORDERS.md` describes the interface. [`platform`] stands in for the users'
//! platform in its own protocol.

pub mod executors;
pub mod faults;
pub mod objects;
pub mod platform;
pub mod server;
pub mod table;
pub mod work;
pub mod workers;
