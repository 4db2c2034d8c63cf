//! Messages between daemons: prost messages written by hand, so no generator runs.

use scheduler::{Limits, Submission};

/// First message of a follower.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Hello {
    /// The follower's name.
    #[prost(string, tag = "1")]
    pub member: String,
    /// The epoch in which it takes the other for the leader.
    #[prost(uint64, tag = "2")]
    pub epoch: u64,
    /// Where peers reach the follower.
    #[prost(string, tag = "3")]
    pub address: String,
}

/// The leader's reply to [`Hello`].
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Welcome {
    /// The epoch in which it leads; 0 where it does not lead.
    #[prost(uint64, tag = "1")]
    pub epoch: u64,
    /// Whether it takes requests already.
    #[prost(bool, tag = "2")]
    pub is_serving: bool,
    /// The latest epoch of which a daemon that does not lead knows.
    #[prost(uint64, tag = "3")]
    pub known_epoch: u64,
    /// Where that epoch's leader is; empty where it is not known or not reached.
    #[prost(string, tag = "4")]
    pub known_leader: String,
}

/// Bounds on callers' requests, from the operator's rules.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct Bounds {
    /// Largest header, in bytes.
    #[prost(uint32, tag = "1")]
    pub header_bytes: u32,
    /// Largest body, in bytes.
    #[prost(uint32, tag = "2")]
    pub body_bytes: u32,
    /// How long a header may take to arrive, in ms.
    #[prost(uint32, tag = "3")]
    pub header_ms: u32,
    /// How long a connection may be idle, in ms.
    #[prost(uint32, tag = "4")]
    pub idle_ms: u32,
}

/// What all daemons should know, as the leader knows it.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Members {
    /// Where peers reach the daemons that the leader hears of.
    #[prost(string, repeated, tag = "1")]
    pub addresses: Vec<String>,
    /// Bounds on callers' requests, once the rules are known.
    #[prost(message, optional, tag = "2")]
    pub bounds: Option<Bounds>,
}

impl From<&Limits> for Bounds {
    fn from(limits: &Limits) -> Self {
        Self {
            header_bytes: limits.header_bytes as u32,
            body_bytes: limits.body_bytes as u32,
            header_ms: limits.header_timeout.as_millis() as u32,
            idle_ms: limits.idle_timeout.as_millis() as u32,
        }
    }
}

/// A new leader tells a daemon that may not know of it.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Announce {
    /// The epoch in which it leads.
    #[prost(uint64, tag = "1")]
    pub epoch: u64,
    /// Where peers reach it.
    #[prost(string, tag = "2")]
    pub address: String,
}

/// The leader's heartbeat; followers send it back.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Beat {
    /// The epoch in which it leads.
    #[prost(uint64, tag = "1")]
    pub epoch: u64,
    /// Time since the store last took a commit, in ms.
    #[prost(uint32, tag = "2")]
    pub store_age_ms: u32,
    /// Whether it takes requests already.
    #[prost(bool, tag = "3")]
    pub is_serving: bool,
    /// Mean lateness of the sender's timer, in us.
    #[prost(uint32, tag = "4")]
    pub lag_us: u32,
}

/// A caller's request on its way to the leader.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Request {
    /// The sender's number of it.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// The host that the caller named.
    #[prost(string, tag = "2")]
    pub host: String,
    /// The path that the caller named.
    #[prost(string, tag = "3")]
    pub path: String,
    /// 1 submit, 2 state, 3 cancel, 4 pending; views: 5 job, 6 queues, 7 workers, 8 members.
    #[prost(uint32, tag = "4")]
    pub op: u32,
    /// The job's id, for state, cancel and the view of a job.
    #[prost(string, tag = "5")]
    pub job: String,
    /// The job, for submit.
    #[prost(message, optional, tag = "6")]
    pub submission: Option<Submission>,
    /// The queue's name, where host and path are empty.
    #[prost(string, tag = "7")]
    pub queue: String,
}

/// The leader's answer to a [`Request`].
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Reply {
    /// The request's number.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// 1 accepted, 2 state, 3 cancelled, 4 pending, 5 no queue, 6 no job, 7 refused, 8 unknown,
    /// 9 view.
    #[prost(uint32, tag = "2")]
    pub answer: u32,
    /// The state's number, the count, or when to come back in ms.
    #[prost(uint64, tag = "3")]
    pub value: u64,
    /// The view, as JSON.
    #[prost(string, tag = "4")]
    pub text: String,
}

/// An advice call that a follower makes for the leader.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Ask {
    /// The leader's number of it.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// The job.
    #[prost(string, tag = "2")]
    pub job: String,
    /// Number of the step.
    #[prost(uint32, tag = "3")]
    pub step: u32,
    /// Workers to ask about.
    #[prost(string, repeated, tag = "4")]
    pub workers: Vec<String>,
    /// How long to wait for the answer, in ms.
    #[prost(uint32, tag = "5")]
    pub timeout_ms: u32,
}

/// A worker that may run a step.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Ticket {
    /// The worker.
    #[prost(string, tag = "1")]
    pub worker: String,
    /// What a start must carry.
    #[prost(string, tag = "2")]
    pub ticket: String,
}

/// The answer to [`Ask`].
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Advice {
    /// The leader's number of the call.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// Whether the service answered.
    #[prost(bool, tag = "2")]
    pub is_answered: bool,
    /// Workers that may run the step.
    #[prost(message, repeated, tag = "3")]
    pub allowed: Vec<Ticket>,
    /// How long the tickets last, in ms.
    #[prost(uint32, tag = "4")]
    pub validity_ms: u32,
}

/// The leader gives its place up.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Resign {
    /// The epoch that ends.
    #[prost(uint64, tag = "1")]
    pub epoch: u64,
    /// The member that is to claim first.
    #[prost(string, tag = "2")]
    pub successor: String,
}

/// What a frame says.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Body {
    /// First message of a follower.
    #[prost(message, tag = "1")]
    Hello(Hello),
    /// The leader's reply to it.
    #[prost(message, tag = "2")]
    Welcome(Welcome),
    /// The leader's heartbeat.
    #[prost(message, tag = "3")]
    Beat(Beat),
    /// A caller's request.
    #[prost(message, tag = "4")]
    Request(Request),
    /// The answer to a request.
    #[prost(message, tag = "5")]
    Reply(Reply),
    /// An advice call to make.
    #[prost(message, tag = "6")]
    Ask(Ask),
    /// The answer of an advice call.
    #[prost(message, tag = "7")]
    Advice(Advice),
    /// The leader gives its place up.
    #[prost(message, tag = "8")]
    Resign(Resign),
    /// The daemons that the leader hears of.
    #[prost(message, tag = "9")]
    Members(Members),
    /// A new leader makes itself known.
    #[prost(message, tag = "10")]
    Announce(Announce),
}

/// One message between daemons.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Frame {
    /// What it says; none from a newer version.
    #[prost(oneof = "Body", tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10")]
    pub body: Option<Body>,
}

impl From<Body> for Frame {
    fn from(body: Body) -> Self {
        Self { body: Some(body) }
    }
}
