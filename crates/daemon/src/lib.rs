//! The daemon: takes requests, accounts for them, places work, and shares the cell.
//!
//! All state lives in one [`Node`] actor on a `stakker` loop. Everything outside is
//! behind a trait object: the platform's services, the [`Mesh`] of peers, the [`Front`]
//! that callers reach. Tests run several nodes in one loop with fakes in those places.

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
