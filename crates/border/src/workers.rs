//! Workers: tasks under leases, started, renewed, stopped and listed.
//!
//! Every call carries a fence, the epoch of the caller's ownership of the rack. A worker
//! remembers the highest fence it saw and refuses calls with a lower one.

use std::fmt;

use common::Name;
use settings::quantity::Size;
use stakker::Ret;

use crate::Error;

common::record! {
    /// Names one attempt at one task of one request.
    #[derive(Eq, Hash, PartialOrd, Ord)]
    pub struct Run {
        /// The customer.
        pub customer: Name,
        /// The customer's id of the request.
        pub id: Name,
        /// The task's index in the request.
        pub task: u32,
        /// The attempt's number, from 1.
        pub attempt: u32,
    }

    /// A task to start.
    pub struct Start {
        /// Which attempt this is.
        pub run: Run,
        /// Epoch of the rack's owner.
        pub fence: u64,
        /// How long the task may run without a renewal, in milliseconds.
        pub lease_ms: u64,
        /// What the task may use.
        pub size: Size,
        /// What the task is to do.
        pub payload: String,
        /// Trace context, as `traceparent` has it.
        pub trace: String,
    }

    /// Renewal of every lease on a worker, and a look at its tasks.
    pub struct Renew {
        /// Epoch of the rack's owner.
        pub fence: u64,
        /// New length of each lease, in milliseconds.
        pub lease_ms: u64,
        /// Ended attempts whose outcome is safe elsewhere and may be forgotten.
        pub forget: Vec<Run>,
    }

    /// A task to stop.
    pub struct Stop {
        /// Which attempt.
        pub run: Run,
        /// Epoch of the rack's owner.
        pub fence: u64,
        /// Whether to keep a checkpoint to resume from.
        pub checkpoint: bool,
    }

    /// A bound on a task's use of processors.
    pub struct Throttle {
        /// Which attempt.
        pub run: Run,
        /// Epoch of the rack's owner.
        pub fence: u64,
        /// Processors that it may use, in thousandths.
        pub cpu: u64,
    }

    /// What a worker says of one attempt.
    pub struct Task {
        /// Which attempt.
        pub run: Run,
        /// Where it stands.
        pub state: State,
        /// What was reserved for it.
        pub size: Size,
        /// The result, or the failure's text.
        #[serde(default)]
        pub result: String,
        /// Processor time used so far, in milliseconds; it lags.
        #[serde(default)]
        pub cpu_ms: u64,
        /// Memory in use, in MiB; it lags.
        #[serde(default)]
        pub memory: u64,
    }

    /// Where an attempt stands.
    #[derive(Copy, Eq)]
    pub enum State {
        /// It runs.
        Running,
        /// It ended with a result.
        Done,
        /// It ran and failed.
        Failed,
        /// It was stopped on request.
        Stopped,
        /// Its lease lapsed and it was stopped.
        Lapsed,
    }
}

impl fmt::Display for Run {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}/{}/{}", self.customer, self.id, self.task, self.attempt)
    }
}

/// What a renewal gives: every attempt that the worker has not been told to forget.
pub type Tasks = Result<Vec<Task>, Error>;

/// What a start, stop or throttle gives.
pub type Done = Result<(), Error>;

/// The workers of all racks.
pub trait Workers {
    /// Starts a task; the same attempt again is no second start.
    fn start(&mut self, worker: Name, start: Start, ret: Ret<Done>);

    /// Renews every lease on a worker and lists its attempts.
    fn renew(&mut self, worker: Name, renew: Renew, ret: Ret<Tasks>);

    /// Stops a task.
    fn stop(&mut self, worker: Name, stop: Stop, ret: Ret<Done>);

    /// Bounds a task's use of processors.
    fn throttle(&mut self, worker: Name, throttle: Throttle, ret: Ret<Done>);
}
