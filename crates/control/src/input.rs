//! What reaches a node from outside.

use std::time::Duration;

use common::Name;
use scheduler::{Listing, Refusal, Report, Rules};

use crate::action::Watch;
use crate::answer::Call;
use crate::config::Config;
use crate::frame::Frame;
use crate::store::{Commit, Page};

common::data! {
    /// What happens on a link to a peer.
    pub enum PeerEvent {
        /// A connection that this daemon opened is up.
        Connected,
        /// A peer opened a connection.
        Accepted,
        /// A frame has come.
        Frame(Frame),
        /// The peer refused the connection, or reset it.
        Refused,
        /// The connection ended otherwise.
        Closed,
    }

    /// How an order to a worker ended.
    pub enum OrderReply {
        /// The worker carried it out, or had done so before.
        Done {
            /// The worker's clock, in ms.
            clock_ms: u64,
        },
        /// The worker did not carry it out.
        Refused {
            /// The worker's clock, in ms; 0 where it did not say.
            clock_ms: u64,
            /// Why.
            why: Refusal,
        },
        /// Another life answers at the worker's address.
        OtherLife,
        /// No connection could be made.
        Unreachable,
        /// No answer; it may have been carried out, or may yet be.
        Unknown,
    }

    /// How a renewal ended.
    pub enum RenewReply {
        /// The worker's lists.
        Listed {
            /// The worker's clock, in ms.
            clock_ms: u64,
            /// The lists.
            listing: Listing,
        },
        /// The worker has seen a higher fencing token.
        Fenced,
        /// Another life answers at the worker's address.
        OtherLife,
        /// No answer, or one that makes no sense.
        Failed,
    }

    /// The answer of the advice service.
    pub struct Advised {
        /// Workers that may run the step, with their tickets.
        pub allowed: Vec<(Name, Name)>,
        /// How long the tickets last.
        pub validity: Duration,
    }

    /// What a watch found.
    pub struct Change {
        /// The position to go on from.
        pub cursor: u64,
        /// Whether this is everything rather than what changed.
        pub is_whole: bool,
        /// New rules, if any.
        pub rules: Option<Rules>,
        /// Workers' reports.
        pub reports: Vec<Report>,
        /// Workers no longer listed.
        pub gone: Vec<Name>,
        /// The store's clock, in ms.
        pub store_ms: u64,
    }

    /// How a watch ended.
    pub enum WatchResult {
        /// What was found.
        Changed(Change),
        /// The history needed is gone; everything must be read again.
        HistoryGone,
        /// The store did not answer.
        Failed,
    }

    /// Something that happened outside.
    pub enum Input {
        /// Time has passed.
        Tick,
        /// A local caller asks something.
        Call {
            /// The caller's token.
            token: u64,
            /// What it asks.
            call: Call,
        },
        /// A local caller left.
        Gone {
            /// The caller's token.
            token: u64,
        },
        /// Something happened on a link to a peer.
        Peer {
            /// The link's number.
            link: u64,
            /// What happened.
            event: PeerEvent,
        },
        /// Rows were read; none where the store did not answer.
        Read {
            /// Number of the call.
            call: u64,
            /// The rows.
            page: Option<Page>,
        },
        /// A transaction ended.
        Commit {
            /// Number of the call.
            call: u64,
            /// How.
            commit: Commit,
        },
        /// A watch ended.
        Watch {
            /// Number of the call.
            call: u64,
            /// What was watched.
            what: Watch,
            /// What it found.
            result: WatchResult,
        },
        /// An order to start or stop a run ended.
        Order {
            /// Number of the call.
            call: u64,
            /// How.
            reply: OrderReply,
        },
        /// A renewal ended.
        Renew {
            /// Number of the call.
            call: u64,
            /// How.
            reply: RenewReply,
        },
        /// An advice call ended; none where there was no answer.
        Advised {
            /// Number of the call.
            call: u64,
            /// The answer.
            advised: Option<Advised>,
        },
        /// The settings changed; what identifies the daemon stays as it was.
        Configure(Config),
        /// The process is to stop gracefully.
        Stop,
        /// The process was suspended for a while.
        Woken {
            /// For how long.
            gap: Duration,
        },
    }
}
