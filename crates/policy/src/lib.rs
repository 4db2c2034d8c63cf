//! Scheduling decisions: placement, queue order, preemption, ownership and worker health.
//!
//! The package does no I/O and reads no clock: callers pass in the state and the time. The
//! same calls give the same decisions.

pub mod health;
pub mod index;
pub mod order;
pub mod preemption;
pub mod rack;
pub mod rendezvous;

pub use health::Health;
pub use index::CapacityIndex;
pub use rack::Rack;
