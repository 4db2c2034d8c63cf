//! Reads the logs of all daemons of a cell and summarizes them.
//!
//! [`read`] takes JSON lines in any order; a collector may have put its own prefix before the
//! JSON. [`JobHistory`] holds the lines of one job in time order, its longest wait and the
//! events that may have caused it. [`CellReport`] counts jobs of the whole cell by second and
//! lists outages.

mod job;
mod line;
mod report;

pub use job::{JobHistory, Wait};
pub use line::{Line, SkippedLines, read};
pub use report::{CellReport, ChartError, Outage, SecondCounts};
