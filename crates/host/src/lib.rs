//! Runs a node: its event loop, HTTP server and client, and connections to other daemons.
//!
//! The node's state is held by one `stakker` actor. I/O runs as tasks of a `tokio` runtime
//! on the same thread; they queue inputs for the actor and wake its loop. See
//! `docs/decisions/014-hyper-beside-stakker.md`.

pub mod client;
mod connections;
pub mod intake;
pub mod log;
pub mod mesh;
pub mod operator_api;
pub mod pending_calls;
pub mod run;
pub mod server;
pub mod telemetry;
