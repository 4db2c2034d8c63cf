//! Write-ahead log of durable requests.
//!
//! The requests of one partition form a [`Book`], and every change to it is an [`Event`].
//! A [`Log`] commits events in groups, fenced by the claim on the partition; each group is
//! a [`segment`] in one table row. A [`snapshot`] in the object store replaces the segments
//! that it covers. The package does no I/O and reads no clock.

pub mod book;
pub mod event;
pub mod log;
pub mod segment;
pub mod snapshot;

pub use book::Book;
pub use event::Event;
pub use log::Log;
