//! Interface to the workers, which run tasks under leases.
//!
//! Every call carries a fencing token: the epoch of the caller's ownership of the rack. A
//! worker remembers the highest token it has seen and rejects calls with a lower one.

use std::fmt;

use common::Name;
use settings::quantity::Resources;
use stakker::Ret;

use crate::Error;

common::record! {
    /// Identifies one attempt to run one task of a request.
    #[derive(Eq, Hash, PartialOrd, Ord)]
    pub struct AttemptId {
        /// Customer that submitted the request.
        pub customer: Name,
        /// Request id, unique per customer.
        pub id: Name,
        /// Index of the task in the request, starting at 0.
        pub task: u32,
        /// Attempt number, starting at 1.
        pub attempt: u32,
    }

    /// Parameters for starting a task.
    pub struct StartRequest {
        /// The attempt to start.
        pub run: AttemptId,
        /// Fencing token: the epoch of the rack's owner.
        pub fence: u64,
        /// Lease duration, in milliseconds; the task is stopped without renewal.
        pub lease_ms: u64,
        /// Resources that the task may use.
        pub size: Resources,
        /// Input of the task.
        pub payload: String,
        /// Trace context, in the format of the `traceparent` header.
        pub trace: String,
    }

    /// Parameters for renewing all leases on a worker.
    pub struct RenewRequest {
        /// Fencing token: the epoch of the rack's owner.
        pub fence: u64,
        /// New duration of each lease, in milliseconds.
        pub lease_ms: u64,
        /// Ended attempts whose outcome is already stored; the worker drops them.
        pub forget: Vec<AttemptId>,
    }

    /// Parameters for stopping a task.
    pub struct StopRequest {
        /// The attempt to stop.
        pub run: AttemptId,
        /// Fencing token: the epoch of the rack's owner.
        pub fence: u64,
        /// Whether to save a checkpoint from which the task can resume.
        pub checkpoint: bool,
    }

    /// Parameters for limiting a task's processor use.
    pub struct ThrottleRequest {
        /// The attempt to throttle.
        pub run: AttemptId,
        /// Fencing token: the epoch of the rack's owner.
        pub fence: u64,
        /// Limit on processors, in thousandths of one.
        pub cpu: u64,
    }

    /// State and resource use of one attempt, as reported by its worker.
    pub struct AttemptReport {
        /// The attempt.
        pub run: AttemptId,
        /// Its current state.
        pub state: AttemptState,
        /// Resources reserved for it.
        pub size: Resources,
        /// Result, or the error message of a failed attempt.
        #[serde(default)]
        pub result: String,
        /// Processor time used so far, in milliseconds; may be out of date.
        #[serde(default)]
        pub cpu_ms: u64,
        /// Memory in use, in MiB; may be out of date.
        #[serde(default)]
        pub memory: u64,
    }

    /// State of an attempt on its worker.
    #[derive(Copy, Eq)]
    pub enum AttemptState {
        /// The task is running.
        Running,
        /// The task completed with a result.
        Done,
        /// The task ran and failed.
        Failed,
        /// The task was stopped on request.
        Stopped,
        /// The task was stopped because its lease expired.
        #[serde(rename = "Lapsed")]
        LeaseExpired,
    }
}

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}/{}/{}", self.customer, self.id, self.task, self.attempt)
    }
}

/// Result of a renewal: all attempts that the worker was not asked to forget.
pub type RenewResult = Result<Vec<AttemptReport>, Error>;

/// Result of a start, stop or throttle call.
pub type CommandResult = Result<(), Error>;

/// Client of the workers of all racks.
pub trait Workers {
    /// Starts a task; idempotent for the same attempt.
    fn start(&mut self, worker: Name, start: StartRequest, ret: Ret<CommandResult>);

    /// Renews all leases on a worker and lists its attempts.
    fn renew(&mut self, worker: Name, renew: RenewRequest, ret: Ret<RenewResult>);

    /// Stops a task.
    fn stop(&mut self, worker: Name, stop: StopRequest, ret: Ret<CommandResult>);

    /// Limits a task's processor use.
    fn throttle(&mut self, worker: Name, throttle: ThrottleRequest, ret: Ret<CommandResult>);
}
