//! Decisions: which worker, which request first, whom to trust.
//!
//! Pure: the state and the time go in, a decision comes out. The same calls give the
//! same decisions.

pub mod health;
pub mod index;
pub mod order;
pub mod rack;
pub mod rendezvous;
pub mod yielding;

pub use health::Health;
pub use index::Index;
pub use rack::Rack;
