//! Measurements of real processes on loopback, and of the placement decision alone.

pub mod bench;
pub mod caller;
pub mod capacity;
pub mod decide;
pub mod environment;
pub mod estimates;
pub mod faults;
pub mod fit;
pub mod leader;
pub mod load;
pub mod pass;
pub mod path;
pub mod plot;
pub mod process;
