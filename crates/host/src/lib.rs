//! Runs a node: its event loop, HTTP server and client, and links to peers.
//!
//! The node's state lives in one `stakker` actor. I/O runs as tasks of a `tokio` runtime
//! on the same thread, which queue inputs for the actor and wake its loop; see
//! `docs/decisions/014-hyper-beside-stakker.md`.

pub mod client;
pub mod console;
pub mod log;
pub mod mesh;
pub mod run;
pub mod server;
pub mod telemetry;
pub mod waiting;
