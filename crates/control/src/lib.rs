//! Control plane of a pool: leader election, forwarding of requests, and orders to workers.
//!
//! One daemon leads: it schedules the pool's jobs on the workers, commits its state to the
//! platform's store, and sends orders to the workers. The followers accept callers' requests,
//! forward them to the leader, make advice calls on its behalf, and take over on failover. The
//! head row in the store decides which daemon leads; each commit is conditional on its version,
//! so a former leader's writes fail, and each order carries the epoch as a fencing token.
//!
//! [`Node`] is free of I/O: it processes an [`Input`] and returns [`Action`]s.

mod action;
mod answer;
mod backlog;
mod config;
mod event;
mod follow;
mod frame;
mod head;
mod in_flight;
mod input;
mod lag;
mod lead;
mod load;
mod meter;
mod node;
mod pending;
mod request_codec;
mod sampler;
mod store;
mod usage;

pub use action::{Action, WatchTarget};
pub use answer::{Answer, CallerRequest, Credential, Operation, Target, View};
pub use backlog::{Backlog, QueuedInput};
pub use config::{Capacity, Config};
pub use event::Event;
pub use frame::{
    Advice, AdviceRequest, Announcement, Body, Frame, Heartbeat, Hello, Members, Reply, Request,
    RequestLimits, Resignation, Ticket, Welcome,
};
pub use head::Head;
pub use input::{AdviceResult, Change, Input, OrderReply, PeerEvent, RenewReply, WatchResult};
pub use meter::{
    Counter, Gauge, Meter, NoopMeter, OTHER_WORKSPACES, Timing, WorkspaceGauge, WorkspaceValues,
};
pub use node::{Node, Role};
pub use sampler::Sampler;
pub use store::{CommitResult, Page, Row, RowKey, RowWrite, Transaction};
