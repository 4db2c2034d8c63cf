//! Actions of a node, performed by its host.

use std::time::Duration;

use common::Name;

use crate::answer::Answer;
use crate::frame::{Frame, RequestLimits};
use crate::store::Transaction;

common::key! {
    /// Target of a watch on the platform.
    pub enum WatchTarget {
        /// Rules set by the operator.
        Rules,
        /// List of workers.
        Workers,
    }
}

common::data! {
    /// Operation for the host; the result of a call returns as an input with the same number.
    pub enum Action {
        /// Answer a local caller.
        Answer {
            /// Token that identifies the caller.
            token: u64,
            /// Answer to the caller's request.
            answer: Answer,
        },
        /// Open a connection to a peer.
        Connect {
            /// Number of the new link.
            link: u64,
            /// Address of the peer.
            address: Name,
        },
        /// Send a frame on a link.
        Send {
            /// Number of the link.
            link: u64,
            /// Frame to send.
            frame: Frame,
        },
        /// Close a link.
        Close {
            /// Number of the link.
            link: u64,
        },
        /// Read a range of rows in the pool's part of a table.
        Read {
            /// Number of the call.
            call: u64,
            /// Table to read.
            table: &'static str,
            /// Inclusive start of the key range.
            from: Name,
            /// Exclusive end of the key range.
            to: Name,
            /// Timeout for the answer.
            timeout: Duration,
        },
        /// Commit a transaction.
        Commit {
            /// Number of the call.
            call: u64,
            /// Transaction to commit.
            transaction: Transaction,
            /// Timeout for the answer.
            timeout: Duration,
        },
        /// Read the rules or the list of workers, or wait for their next change.
        Watch {
            /// Number of the call.
            call: u64,
            /// What is watched.
            target: WatchTarget,
            /// Position to continue from; none to read everything.
            cursor: Option<u64>,
            /// Maximum time to wait for a change.
            max_wait: Duration,
        },
        /// Order a worker to start a run.
        Start {
            /// Number of the call.
            call: u64,
            /// Run to start, and its worker.
            start: scheduler::StartOrder,
            /// Address at which the worker accepts orders.
            address: Name,
            /// Connections that the worker's service allows; none if unknown.
            max_connections: Option<u32>,
            /// Payload passed to the task.
            payload: String,
            /// Fencing token of the leader.
            fencing_token: u64,
            /// End of the lease by the worker's clock, in ms.
            lease_end_ms: u64,
            /// Checkpoint to resume from; empty for none.
            checkpoint: Name,
            /// Ticket of the advice service; none if the queue uses no advice.
            ticket: Option<Name>,
            /// Timeout for the answer.
            timeout: Duration,
        },
        /// Order a worker to stop a run.
        Stop {
            /// Number of the call.
            call: u64,
            /// Run to stop, and its worker.
            stop: scheduler::StopOrder,
            /// Address at which the worker accepts orders.
            address: Name,
            /// Connections that the worker's service allows; none if unknown.
            max_connections: Option<u32>,
            /// Fencing token of the leader.
            fencing_token: u64,
            /// Timeout for the answer.
            timeout: Duration,
        },
        /// Renew a worker's lease and request its running and finished runs.
        Renew {
            /// Number of the call.
            call: u64,
            /// Id of the worker.
            worker: Name,
            /// Address at which the worker accepts orders.
            address: Name,
            /// Connections that the worker's service allows; none if unknown.
            max_connections: Option<u32>,
            /// Fencing token of the leader.
            fencing_token: u64,
            /// End of the lease by the worker's clock, in ms; none to leave it unchanged.
            lease_end_ms: Option<u64>,
            /// Position up to which finished runs are acknowledged; 0 for none.
            ///
            /// Sent only on a connection to the process of `incarnation`, and otherwise left out:
            /// a new incarnation would forget finished runs that the leader has not seen.
            acked_position: u64,
            /// Incarnation that listed the acknowledged runs, in ms of Unix time.
            incarnation: u64,
            /// Maximum time for which the worker waits for a run to finish.
            max_wait: Duration,
            /// Timeout for the answer.
            timeout: Duration,
        },
        /// Request advice on which workers may run a step.
        RequestAdvice {
            /// Number of the call.
            call: u64,
            /// Id of the job.
            job: Name,
            /// Index of the step in the job.
            step: u32,
            /// Candidate workers.
            workers: Vec<Name>,
            /// Timeout for the answer.
            timeout: Duration,
        },
        /// Apply limits to callers' requests.
        SetRequestLimits(RequestLimits),
        /// Set the answer to the readiness check.
        SetReady(bool),
        /// Exit the process.
        Exit,
    }
}
