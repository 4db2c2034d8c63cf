//! Write-ahead log of durable requests.
//!
//! The requests of one partition form a [`RequestTable`], and every change to it is an [`Event`].
//! A [`Writer`] commits events in groups, fenced by the claim on the partition; each group is
//! a [`segment`] in one table row. A [`snapshot`] in the object store replaces the segments
//! that it covers. The package does no I/O and reads no clock.

pub mod event;
pub mod request_table;
pub mod segment;
pub mod snapshot;
pub mod writer;

pub use event::Event;
pub use request_table::RequestTable;
pub use writer::Writer;
