//! The daemon: accepts requests, records them and places work in its share of the cell.
//!
//! All state belongs to one [`Node`] actor on a `stakker` event loop. Everything outside
//! is behind trait objects: the platform's services, the [`Mesh`] of peers, and the
//! [`Front`] for callers. Tests replace these with fakes and run several nodes in one
//! process.

pub mod args;
pub mod event;
pub mod front;
pub mod logger;
pub mod mesh;
pub mod node;
pub mod run;
pub mod telemetry;

pub use front::Front;
pub use mesh::Mesh;
pub use node::Node;
