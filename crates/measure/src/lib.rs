//! The measures of the brief, taken from real processes on loopback or from one package.

pub mod bench;
pub mod caller;
pub mod decide;
pub mod faults;
pub mod load;
pub mod path;
pub mod process;
pub mod setting;
