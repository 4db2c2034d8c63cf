//! Messages between daemons, as protobuf messages.
//!
//! The prost types are written by hand, so that the build needs no code generator.

use scheduler::{Limits, Submission};

use crate::config::Capacity;

/// A follower's first message on a new link.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Hello {
    /// Member name of the follower.
    #[prost(string, tag = "1")]
    pub member: String,
    /// Epoch of the latest leader known to the follower; 0 for none.
    #[prost(uint64, tag = "2")]
    pub epoch: u64,
    /// Address at which peers reach the follower.
    #[prost(string, tag = "3")]
    pub address: String,
    /// Processor speed of the follower, in thousandths of a core; 0 if unknown.
    #[prost(uint32, tag = "4")]
    pub cpu_millis: u32,
    /// Bandwidth of the follower's network link, in kbit/s; 0 if unknown.
    #[prost(uint32, tag = "5")]
    pub link_kbps: u32,
}

impl Hello {
    /// Capacity of the follower.
    pub fn capacity(&self) -> Capacity {
        Capacity { cpu_millis: self.cpu_millis, link_kbps: self.link_kbps }
    }
}

/// Reply to [`Hello`], which also names the leader if the sender does not lead.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Welcome {
    /// Epoch in which the sender leads; 0 if it does not lead.
    #[prost(uint64, tag = "1")]
    pub epoch: u64,
    /// Whether the sender accepts requests.
    #[prost(bool, tag = "2")]
    pub is_serving: bool,
    /// Epoch of the leader that a follower is connected to; 0 if there is none.
    #[prost(uint64, tag = "3")]
    pub known_epoch: u64,
    /// Address of that leader; empty if there is none.
    #[prost(string, tag = "4")]
    pub known_leader: String,
}

/// Limits on callers' requests, from the operator's rules.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct RequestLimits {
    /// Maximum size of a request header, in bytes.
    #[prost(uint32, tag = "1")]
    pub header_bytes: u32,
    /// Maximum size of a request body, in bytes.
    #[prost(uint32, tag = "2")]
    pub body_bytes: u32,
    /// Timeout for receiving a request header, in ms.
    #[prost(uint32, tag = "3")]
    pub header_ms: u32,
    /// Timeout for an idle connection, in ms.
    #[prost(uint32, tag = "4")]
    pub idle_ms: u32,
}

/// Membership and request limits, as sent by the leader to all followers.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Members {
    /// Peer addresses of the leader and its connected followers.
    #[prost(string, repeated, tag = "1")]
    pub addresses: Vec<String>,
    /// Limits on callers' requests; none until the leader knows the rules.
    #[prost(message, optional, tag = "2")]
    pub bounds: Option<RequestLimits>,
    /// Processor speed of each daemon in `addresses`; empty from an older version.
    #[prost(uint32, repeated, tag = "3")]
    pub cpu_millis: Vec<u32>,
    /// Bandwidth of the link of each daemon in `addresses`; empty from an older version.
    #[prost(uint32, repeated, tag = "4")]
    pub link_kbps: Vec<u32>,
    /// Whether the rules have workspaces, so that calls need keys; of no meaning without `bounds`.
    #[prost(bool, tag = "5")]
    pub needs_keys: bool,
}

impl Members {
    /// Adds a daemon.
    pub fn push(&mut self, address: &str, capacity: Capacity) {
        self.addresses.push(address.to_owned());
        self.cpu_millis.push(capacity.cpu_millis);
        self.link_kbps.push(capacity.link_kbps);
    }

    /// Address and capacity of each daemon.
    pub fn iter(&self) -> impl Iterator<Item = (&str, Capacity)> {
        self.addresses.iter().enumerate().map(|(index, address)| {
            let value = |values: &[u32]| values.get(index).copied().unwrap_or_default();
            let cpu_millis = value(&self.cpu_millis);
            (address.as_str(), Capacity { cpu_millis, link_kbps: value(&self.link_kbps) })
        })
    }
}

impl From<&Limits> for RequestLimits {
    fn from(limits: &Limits) -> Self {
        Self {
            header_bytes: limits.header_bytes as u32,
            body_bytes: limits.body_bytes as u32,
            header_ms: limits.header_timeout.as_millis() as u32,
            idle_ms: limits.idle_timeout.as_millis() as u32,
        }
    }
}

/// Announcement of a leader to daemons that have not joined it.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Announcement {
    /// Epoch in which the sender leads.
    #[prost(uint64, tag = "1")]
    pub epoch: u64,
    /// Address at which peers reach the leader.
    #[prost(string, tag = "2")]
    pub address: String,
}

/// Heartbeat of the leader; followers reply with one of their own.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Heartbeat {
    /// Epoch in which the leader leads.
    #[prost(uint64, tag = "1")]
    pub epoch: u64,
    /// Time since the leader's last commit, in ms; 0 from a follower.
    #[prost(uint32, tag = "2")]
    pub store_age_ms: u32,
    /// Whether the leader accepts requests; false from a follower.
    #[prost(bool, tag = "3")]
    pub is_serving: bool,
    /// Mean lag of the follower's timer, in us; 0 from the leader.
    #[prost(uint32, tag = "4")]
    pub lag_us: u32,
    /// Whether the follower is stopping and makes no claim; false from the leader.
    #[prost(bool, tag = "5")]
    pub is_stopping: bool,
}

/// A caller's request, forwarded to the leader.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Request {
    /// Id of the request, unique at the sender.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// Host named by the caller.
    #[prost(string, tag = "2")]
    pub host: String,
    /// Path named by the caller.
    #[prost(string, tag = "3")]
    pub path: String,
    /// Operation: 1 submit, 2 state, 3 cancel, 4 pending; views: 5 job, 6 queues, 7 workers,
    /// 8 members, 9 workspaces, 11 estimates; 10 check of access.
    #[prost(uint32, tag = "4")]
    pub op: u32,
    /// Job id, for state, cancel and the view of a job; otherwise empty.
    #[prost(string, tag = "5")]
    pub job: String,
    /// Submitted job; none for other operations.
    #[prost(message, optional, boxed, tag = "6")]
    pub submission: Option<Box<Submission>>,
    /// Queue name, if host and path are empty.
    #[prost(string, tag = "7")]
    pub queue: String,
    /// Digest of the caller's key; empty for none.
    #[prost(bytes = "vec", tag = "8")]
    pub key_digest: Vec<u8>,
    /// Whether it came over the operators' interface, which needs no key.
    #[prost(bool, tag = "9")]
    pub is_operator: bool,
}

/// The leader's answer to a [`Request`].
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Reply {
    /// Id of the request.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// Answer code: 1 accepted, 2 state, 3 cancelled, 4 pending, 5 no queue, 6 no job, 7 refused,
    /// 8 unknown, 9 view, 10 too large, 11 unauthorized, 12 id in use, 13 never fits,
    /// 14 authorized.
    #[prost(uint32, tag = "2")]
    pub answer: u32,
    /// Job state, number of pending jobs, or retry delay in ms; 0 for other answers.
    #[prost(uint64, tag = "3")]
    pub value: u64,
    /// View, as JSON, or the reason that a job never fits; empty for other answers.
    #[prost(string, tag = "4")]
    pub text: String,
    /// Time for which the request was queued at the leader, in us.
    #[prost(uint64, tag = "5")]
    pub queued_us: u64,
}

/// An advice call that a follower makes on behalf of the leader.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct AdviceRequest {
    /// The leader's call number.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// Id of the job.
    #[prost(string, tag = "2")]
    pub job: String,
    /// Index of the step in the job.
    #[prost(uint32, tag = "3")]
    pub step: u32,
    /// Ids of the candidate workers.
    #[prost(string, repeated, tag = "4")]
    pub workers: Vec<String>,
    /// Timeout for the answer, in ms.
    #[prost(uint32, tag = "5")]
    pub timeout_ms: u32,
}

/// A ticket that allows a worker to run a step.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Ticket {
    /// Id of the worker.
    #[prost(string, tag = "1")]
    pub worker: String,
    /// Ticket to send with the start order.
    #[prost(string, tag = "2")]
    pub ticket: String,
}

/// Answer to [`AdviceRequest`].
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Advice {
    /// The leader's call number.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// Whether the advice service answered.
    #[prost(bool, tag = "2")]
    pub is_answered: bool,
    /// Tickets of the workers that may run the step.
    #[prost(message, repeated, tag = "3")]
    pub allowed: Vec<Ticket>,
    /// Time for which the tickets are valid, in ms.
    #[prost(uint32, tag = "4")]
    pub validity_ms: u32,
}

/// Resignation of the leader.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Resignation {
    /// Epoch that ends.
    #[prost(uint64, tag = "1")]
    pub epoch: u64,
    /// Member that may claim first; empty if there is no successor.
    #[prost(string, tag = "2")]
    pub successor: String,
}

/// Content of a frame.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Body {
    /// A follower's first message.
    #[prost(message, tag = "1")]
    Hello(Hello),
    /// Reply to [`Hello`].
    #[prost(message, tag = "2")]
    Welcome(Welcome),
    /// Heartbeat of the leader or a follower's reply to it.
    #[prost(message, tag = "3")]
    Beat(Heartbeat),
    /// Forwarded request of a caller.
    #[prost(message, tag = "4")]
    Request(Request),
    /// Answer to a request.
    #[prost(message, tag = "5")]
    Reply(Reply),
    /// Advice call to be made by a follower.
    #[prost(message, tag = "6")]
    Ask(AdviceRequest),
    /// Result of an advice call.
    #[prost(message, tag = "7")]
    Advice(Advice),
    /// Resignation of the leader.
    #[prost(message, tag = "8")]
    Resign(Resignation),
    /// Membership and request limits.
    #[prost(message, tag = "9")]
    Members(Members),
    /// Announcement of a new leader.
    #[prost(message, tag = "10")]
    Announce(Announcement),
}

/// A message between daemons.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Frame {
    /// Content; none if the sender's version is newer and its type unknown.
    #[prost(oneof = "Body", tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10")]
    pub body: Option<Body>,
}

impl From<Body> for Frame {
    fn from(body: Body) -> Self {
        Self { body: Some(body) }
    }
}
