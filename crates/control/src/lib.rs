//! How the daemons of a pool act together.
//!
//! One daemon leads: it holds the pool's jobs and workers, writes what must last to the
//! platform's store, and gives the workers their orders. The others take callers' requests,
//! pass them on, make advice calls for the leader and stand ready to take over. The head
//! row in the store decides who leads; each commit is conditional on its version, so a
//! former leader's writes fail, and each order carries the epoch as a fencing token.
//!
//! [`Node`] decides without I/O: it takes an [`Input`] and leaves [`Action`]s.

mod action;
mod answer;
mod config;
mod entry;
mod event;
mod follow;
mod frame;
mod head;
mod input;
mod lag;
mod lead;
mod meter;
mod node;
mod sample;
mod store;

pub use action::{Action, Watch};
pub use answer::{Answer, Call, Op, Target, View};
pub use config::Config;
pub use event::Event;
pub use frame::{
    Advice, Ask, Beat, Body, Bounds, Frame, Hello, Members, Reply, Request, Resign, Ticket, Welcome,
};
pub use head::Head;
pub use input::{Advised, Change, Input, OrderReply, PeerEvent, RenewReply, WatchResult};
pub use meter::{Count, Hop, Level, Meter, NoMeter};
pub use node::{Node, Role};
pub use sample::Sampler;
pub use store::{Commit, Key, Page, Row, Transaction, Write};
