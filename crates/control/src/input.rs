//! Inputs of a node: ticks, requests, peer events and the results of its actions.

use std::time::Duration;

use common::Name;
use scheduler::{Listing, Refusal, Registration, Rules};

use crate::action::WatchTarget;
use crate::answer::CallerRequest;
use crate::config::Config;
use crate::frame::Frame;
use crate::store::{CommitResult, Page};

common::data! {
    /// Event on a link to a peer.
    pub enum PeerEvent {
        /// A connection opened by this daemon is established.
        Connected,
        /// A peer opened a connection.
        Accepted,
        /// A frame arrived.
        Frame(Frame),
        /// The peer refused the connection, or reset it.
        Refused,
        /// The connection ended in another way.
        Closed,
    }

    /// Result of an order to start or stop a run.
    pub enum OrderReply {
        /// The worker carried out the order, now or earlier.
        Done {
            /// The worker's clock, in ms.
            clock_ms: u64,
        },
        /// The worker did not carry out the order.
        Refused {
            /// The worker's clock, in ms; 0 if it was not sent.
            clock_ms: u64,
            /// Reason for the refusal.
            reason: Refusal,
        },
        /// Another incarnation answered at the worker's address.
        OtherIncarnation,
        /// No connection could be established.
        Unreachable,
        /// No connection was free in time, so that nothing was sent.
        NotSent,
        /// No answer; the order may have been carried out, or may be later.
        OutcomeUnknown,
    }

    /// Result of a lease renewal.
    pub enum RenewReply {
        /// The worker listed its running and finished runs.
        Renewed {
            /// The worker's clock, in ms.
            clock_ms: u64,
            /// Running and finished runs.
            listing: Listing,
        },
        /// The worker has seen a higher fencing token.
        Fenced,
        /// Another incarnation answered at the worker's address.
        OtherIncarnation,
        /// The worker refused a connection, so that nothing was sent.
        Refused,
        /// No answer, or an invalid one.
        Failed,
    }

    /// Answer of the advice service.
    pub struct AdviceResult {
        /// Workers that may run the step, with their tickets.
        pub allowed: Vec<(Name, Name)>,
        /// Time for which the tickets are valid.
        pub validity: Duration,
    }

    /// Changes found by a watch.
    pub struct Change {
        /// Position from which the next watch continues.
        pub cursor: u64,
        /// Whether this is a full snapshot instead of a difference.
        pub is_snapshot: bool,
        /// Whether further changes wait after the cursor.
        pub has_more: bool,
        /// New rules; none if they have not changed.
        pub rules: Option<Box<Rules>>,
        /// Registrations of new and changed workers, or of all in a snapshot.
        pub registrations: Vec<Registration>,
        /// Workers removed from the list.
        pub removed: Vec<Name>,
        /// The store's clock, in ms.
        pub store_clock_ms: u64,
    }

    /// Result of a watch.
    pub enum WatchResult {
        /// The changes since the cursor.
        Changed(Change),
        /// The cursor is too old; everything must be read again.
        HistoryTruncated,
        /// The store did not answer.
        Failed,
    }

    /// Event that a node processes.
    pub enum Input {
        /// Periodic timer event.
        Tick,
        /// Request of a local caller.
        Call {
            /// Token that identifies the caller.
            token: u64,
            /// The caller's request.
            call: CallerRequest,
        },
        /// A local caller disconnected.
        CallerDisconnected {
            /// Token that identifies the caller.
            token: u64,
        },
        /// Event on a link to a peer.
        Peer {
            /// Number of the link.
            link: u64,
            /// Event on the link.
            event: PeerEvent,
        },
        /// Result of [`Action::Read`](crate::Action::Read).
        Read {
            /// Number of the call.
            call: u64,
            /// Rows read; none if the store did not answer.
            page: Option<Page>,
        },
        /// Result of [`Action::Commit`](crate::Action::Commit).
        Commit {
            /// Number of the call.
            call: u64,
            /// Result of the transaction.
            commit: CommitResult,
        },
        /// Result of [`Action::Watch`](crate::Action::Watch).
        Watch {
            /// Number of the call.
            call: u64,
            /// What was watched.
            target: WatchTarget,
            /// Changes found.
            result: WatchResult,
        },
        /// Result of an order to start or stop a run.
        Order {
            /// Number of the call.
            call: u64,
            /// Result of the order.
            reply: OrderReply,
        },
        /// Result of [`Action::Renew`](crate::Action::Renew).
        Renew {
            /// Number of the call.
            call: u64,
            /// Result of the renewal.
            reply: RenewReply,
        },
        /// Result of [`Action::RequestAdvice`](crate::Action::RequestAdvice).
        Advice {
            /// Number of the call.
            call: u64,
            /// Answer of the service; none if it did not answer.
            result: Option<AdviceResult>,
        },
        /// New settings; the daemon's identity remains unchanged.
        Reload(Config),
        /// Request to stop the process gracefully.
        Stop,
        /// The process resumed after a suspension.
        Resumed {
            /// Length of the suspension.
            suspended_for: Duration,
        },
    }
}
