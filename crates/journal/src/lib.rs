//! Durable accounting of patient requests.
//!
//! One partition's requests form a [`Book`]. Every change of the book is an
//! [`Event`]; events go into [`segment`]s, one table row each, through a [`Log`] that
//! commits many at once and fences them with the partition's epoch. A [`snapshot`] in
//! the object store replaces the segments that it covers. Nothing here does I/O or
//! keeps a clock.

pub mod book;
pub mod event;
pub mod log;
pub mod segment;
pub mod snapshot;

pub use book::Book;
pub use event::Event;
pub use log::Log;
