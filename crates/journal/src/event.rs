//! State changes of a request, as stored in the journal.

use std::fmt;

use common::{ErrorKind, Name};
use settings::RequestSpec;
use settings::quantity::Resources;
use settings::rules::{Class, Mode};

common::record! {
    /// Identifies a request by customer and the customer's own id.
    #[derive(Eq, Hash, PartialOrd, Ord)]
    pub struct RequestKey {
        /// Customer that submitted the request.
        pub customer: Name,
        /// Request id, unique within the customer.
        pub id: Name,
    }

    /// Terms of a request, fixed at admission.
    pub struct Terms {
        /// Execution mode.
        pub mode: Mode,
        /// Priority class.
        pub class: Class,
        /// Whether the work may safely run more than once.
        pub is_repeatable: bool,
        /// Maximum number of attempts per task.
        pub attempts: u32,
        /// Capacity that each task needs.
        pub size: Resources,
        /// Number of tasks.
        pub tasks: u32,
        /// Admission time, in Unix milliseconds.
        pub admitted_ms: i64,
        /// Start deadline, in Unix milliseconds; `None` if it has none.
        pub start_by_ms: Option<i64>,
    }

    /// Where one attempt of a task runs.
    pub struct AttemptPlacement {
        /// Index of the task.
        pub task: u32,
        /// Number of the attempt, from 1.
        pub attempt: u32,
        /// Rack of the worker.
        pub rack: Name,
        /// Name of the worker or executor.
        pub worker: Name,
        /// Epoch of the rack's owner that granted the reservation.
        pub rack_epoch: u64,
    }

    /// Final answer to the caller.
    pub struct Answer {
        /// Code of the [`ErrorKind`]; zero for success.
        pub code: u32,
        /// Human-readable explanation.
        pub text: String,
        /// Results of the tasks, by index.
        pub results: Vec<String>,
        /// Time of the answer, in Unix milliseconds.
        pub at_ms: i64,
    }

    /// How a task ended.
    #[derive(Copy, Eq)]
    pub enum Outcome {
        /// The task ended with a result.
        Done,
        /// The task ran and failed.
        Failed,
        /// The task was stopped at the caller's request.
        Stopped,
        /// The task may have run; its outcome is lost.
        Unknown,
    }

    /// One state change of one request.
    pub enum Event {
        /// The request was admitted.
        Admitted {
            /// Key of the request.
            key: RequestKey,
            /// Specification that the caller submitted.
            spec: RequestSpec,
            /// Terms fixed at admission.
            terms: Terms,
        },
        /// Attempts may be started; recorded before any start is sent.
        Started {
            /// Key of the request.
            key: RequestKey,
            /// Place of each attempt.
            places: Vec<AttemptPlacement>,
        },
        /// An attempt ended without a final outcome, and its task waits for another attempt.
        #[serde(rename = "Again")]
        Requeued {
            /// Key of the request.
            key: RequestKey,
            /// Index of the task.
            task: u32,
            /// Number of the attempt, from 1.
            attempt: u32,
            /// Whether the attempt may have run.
            may_have_run: bool,
            /// Whether it was preempted by more urgent work, which is not a failure.
            #[serde(default)]
            has_yielded: bool,
            /// Why the attempt ended.
            reason: String,
        },
        /// A task ended for good.
        Ended {
            /// Key of the request.
            key: RequestKey,
            /// Index of the task.
            task: u32,
            /// Number of the attempt, from 1.
            attempt: u32,
            /// How the task ended.
            outcome: Outcome,
            /// Result of the task, or the reason it has none.
            result: String,
        },
        /// The caller asked to cancel the request.
        Cancelling {
            /// Key of the request.
            key: RequestKey,
        },
        /// The request got its final answer.
        Closed {
            /// Key of the request.
            key: RequestKey,
            /// Final answer to the caller.
            answer: Answer,
        },
    }
}

impl Event {
    /// Key of the request that the event changes.
    pub fn key(&self) -> &RequestKey {
        match self {
            Self::Admitted { key, .. }
            | Self::Started { key, .. }
            | Self::Requeued { key, .. }
            | Self::Ended { key, .. }
            | Self::Cancelling { key }
            | Self::Closed { key, .. } => key,
        }
    }
}

impl Answer {
    /// Error kind; `None` for success.
    pub fn kind(&self) -> Option<ErrorKind> {
        ErrorKind::from_code(self.code)
    }
}

impl RequestKey {
    /// Builds the key of a submitted request.
    pub fn from_spec(spec: &RequestSpec) -> Self {
        Self { customer: spec.customer.clone(), id: spec.id.clone() }
    }

    /// Hash that is the same on every daemon; names never contain the separator `/`.
    pub fn stable_hash(&self) -> u64 {
        common::stable_hash(self.to_string().as_bytes())
    }

    /// Partition that the request belongs to, out of `partitions`.
    pub fn partition(&self, partitions: u32) -> u32 {
        (self.stable_hash() % u64::from(partitions)) as u32
    }
}

impl fmt::Display for RequestKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.customer, self.id)
    }
}
