//! What a node wants done outside.

use std::time::Duration;

use common::Name;

use crate::answer::Answer;
use crate::frame::{Bounds, Frame};
use crate::store::Transaction;

common::key! {
    /// What the platform can be watched for.
    pub enum Watch {
        /// The operator's rules.
        Rules,
        /// The list of workers.
        Roster,
    }
}

common::data! {
    /// Something to do outside; its outcome comes back as an input with the same number.
    pub enum Action {
        /// Tell a local caller.
        Answer {
            /// The caller's token.
            token: u64,
            /// What it is told.
            answer: Answer,
        },
        /// Open a connection to a peer.
        Connect {
            /// The link's number.
            link: u64,
            /// The peer's address.
            address: Name,
        },
        /// Send a frame on a link.
        Send {
            /// The link's number.
            link: u64,
            /// The frame.
            frame: Frame,
        },
        /// Close a link.
        Close {
            /// The link's number.
            link: u64,
        },
        /// Read rows of the pool's part.
        Read {
            /// Number of the call.
            call: u64,
            /// The table.
            table: &'static str,
            /// First key.
            from: Name,
            /// First key that is not read.
            to: Name,
            /// How long to wait.
            timeout: Duration,
        },
        /// Commit a transaction.
        Commit {
            /// Number of the call.
            call: u64,
            /// The transaction.
            transaction: Transaction,
            /// How long to wait.
            timeout: Duration,
        },
        /// Read the rules or the list of workers, or wait for a change of them.
        Watch {
            /// Number of the call.
            call: u64,
            /// Which.
            what: Watch,
            /// The position to go on from; none to read everything.
            cursor: Option<u64>,
            /// How long to wait for a change.
            wait: Duration,
        },
        /// Order a worker to start a run.
        Start {
            /// Number of the call.
            call: u64,
            /// The order.
            start: scheduler::Start,
            /// Where the worker takes orders.
            address: Name,
            /// The text handed to the task.
            payload: String,
            /// The fencing token.
            fence: u64,
            /// End of the lease by the worker's clock, in ms.
            lease_end: u64,
            /// The checkpoint to go on from; empty for none.
            saved: Name,
            /// The ticket; none where the queue needs none.
            ticket: Option<Name>,
            /// How long to wait.
            timeout: Duration,
        },
        /// Order a worker to stop a run.
        Stop {
            /// Number of the call.
            call: u64,
            /// The order.
            stop: scheduler::Stop,
            /// Where the worker takes orders.
            address: Name,
            /// The fencing token.
            fence: u64,
            /// How long to wait.
            timeout: Duration,
        },
        /// Renew a worker's lease and ask for its lists.
        Renew {
            /// Number of the call.
            call: u64,
            /// The worker.
            worker: Name,
            /// Where the worker takes orders.
            address: Name,
            /// The fencing token.
            fence: u64,
            /// End of the lease by the worker's clock, in ms; none to leave it.
            lease_end: Option<u64>,
            /// Ends up to this position are acknowledged.
            seen: u64,
            /// How long the worker waits for an end.
            wait: Duration,
            /// How long to wait for its answer.
            timeout: Duration,
        },
        /// Ask the advice service.
        Advise {
            /// Number of the call.
            call: u64,
            /// The job.
            job: Name,
            /// Number of the step.
            step: u32,
            /// Workers to ask about.
            workers: Vec<Name>,
            /// How long to wait.
            timeout: Duration,
        },
        /// Bound callers' requests.
        Bound(Bounds),
        /// Begin to answer the readiness check with yes or no.
        Ready(bool),
        /// End the process.
        Exit,
    }
}
