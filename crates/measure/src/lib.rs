//! The measures of the brief, taken from real processes on loopback or from one package.

pub mod bench;
pub mod caller;
pub mod capacity;
pub mod decide;
pub mod faults;
pub mod fit;
pub mod load;
pub mod path;
pub mod plot;
pub mod process;
pub mod setting;
