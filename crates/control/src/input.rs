//! Inputs of a node: ticks, requests, peer events and the results of its actions.

use std::time::Duration;

use common::Name;
use scheduler::{Listing, Refusal, Registration, Rules};

use crate::action::Watch;
use crate::answer::Call;
use crate::config::Config;
use crate::frame::Frame;
use crate::store::{Commit, Page};

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
            why: Refusal,
        },
        /// Another incarnation answered at the worker's address.
        OtherLife,
        /// No connection could be established.
        Unreachable,
        /// No answer; the order may have been carried out, or may be later.
        Unknown,
    }

    /// Result of a lease renewal.
    pub enum RenewReply {
        /// The worker listed its running and finished runs.
        Listed {
            /// The worker's clock, in ms.
            clock_ms: u64,
            /// Running and finished runs.
            listing: Listing,
        },
        /// The worker has seen a higher fencing token.
        Fenced,
        /// Another incarnation answered at the worker's address.
        OtherLife,
        /// No answer, or an invalid one.
        Failed,
    }

    /// Answer of the advice service.
    pub struct Advised {
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
        pub is_whole: bool,
        /// New rules; none if they have not changed.
        pub rules: Option<Rules>,
        /// Reports of new and changed workers, or of all in a snapshot.
        pub registrations: Vec<Registration>,
        /// Workers removed from the list.
        pub gone: Vec<Name>,
        /// The store's clock, in ms.
        pub store_ms: u64,
    }

    /// Result of a watch.
    pub enum WatchResult {
        /// The changes since the cursor.
        Changed(Change),
        /// The cursor is too old; everything must be read again.
        HistoryGone,
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
            call: Call,
        },
        /// A local caller disconnected.
        Gone {
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
            commit: Commit,
        },
        /// Result of [`Action::Watch`](crate::Action::Watch).
        Watch {
            /// Number of the call.
            call: u64,
            /// Object of the watch.
            what: Watch,
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
        /// Result of [`Action::Advise`](crate::Action::Advise).
        Advised {
            /// Number of the call.
            call: u64,
            /// Answer of the service; none if it did not answer.
            advised: Option<Advised>,
        },
        /// New settings; the daemon's identity remains unchanged.
        Configure(Config),
        /// Request to stop the process gracefully.
        Stop,
        /// The process resumed after a suspension.
        Woken {
            /// Length of the suspension.
            gap: Duration,
        },
    }
}
