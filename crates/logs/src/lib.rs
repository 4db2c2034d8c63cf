//! What happened, from the logs that all daemons of a cell wrote.
//!
//! [`read`] takes lines in any order and from any collector that puts its own words before
//! the JSON. [`Story`] is what concerns one job, in the order of time, with the longest wait
//! and what went on meanwhile; [`Day`] is the whole cell over time.

mod day;
mod line;
mod story;

pub use day::{ChartError, Day, Second, Span};
pub use line::{Line, Unread, read};
pub use story::{Story, Wait};
