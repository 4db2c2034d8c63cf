//! Callers' requests and their answers.

use std::time::Duration;

use common::Name;
use scheduler::{JobState, KeyDigest, Submission};

common::data! {
    /// Operation requested by a caller.
    pub enum Operation {
        /// Submit a job.
        Submit(Submission),
        /// Return the state of the job with this id.
        GetState(Name),
        /// Cancel the job with this id.
        Cancel(Name),
        /// Count the queue's jobs that have not started yet.
        CountPending,
        /// Check only that the caller may use the queue; the request is refused for another reason.
        CheckAccess,
        /// Show a part of the leader's state to an operator.
        View(View),
    }

    /// Part of the leader's state that an operator can view.
    pub enum View {
        /// The job with this id: its steps, and why they wait.
        Job(Name),
        /// All queues, with their numbers of open jobs.
        Queues,
        /// All workers.
        Workers,
        /// All daemons of the pool.
        Members,
        /// All workspaces, with their limits and usage.
        Workspaces,
        /// Learned run times and worker speeds.
        Estimates,
    }

    /// Queue that a request addresses.
    pub enum Target {
        /// Queue to which a host and a path are routed.
        Route {
            /// Host named by the caller.
            host: Name,
            /// Complete path of the request.
            path: Name,
        },
        /// Queue with this name; empty if the request concerns no queue.
        Queue(Name),
    }

    /// What a request shows of its caller.
    pub enum Credential {
        /// It came over the operators' interface, which needs no key.
        Operator,
        /// It has no key, or one that cannot be read.
        Missing,
        /// It has the key with this digest.
        Key(KeyDigest),
    }

    /// A caller's request.
    pub struct CallerRequest {
        /// Queue that the request addresses.
        pub target: Target,
        /// Requested operation.
        pub op: Operation,
        /// What the request shows of its caller.
        pub credential: Credential,
        /// Time for which the caller waits for an answer.
        pub timeout: Duration,
    }

    /// Answer to a caller.
    pub enum Answer {
        /// The job is stored durably.
        Accepted,
        /// State of the job.
        State(JobState),
        /// The job is cancelled.
        Cancelled,
        /// Number of jobs that have not started yet.
        Pending(u64),
        /// No queue matches the target.
        QueueNotFound,
        /// No job has this id.
        JobNotFound,
        /// Requested view, as JSON.
        View(String),
        /// The request had no effect; the caller may retry.
        Refused {
            /// Time after which to retry.
            retry_after: Duration,
            /// Whether to retry at another daemon.
            try_other_daemon: bool,
        },
        /// The job is too large to be stored; it never runs.
        TooLarge,
        /// The caller may use the queue; answers [`Operation::CheckAccess`].
        Authorized,
        /// The call needs a key that the rules know; it had no effect.
        Unauthorized,
        /// Another workspace has a job with this id; the job is not accepted.
        IdInUse,
        /// The job can never start under its workspace's limit, for this reason; it never runs.
        NeverFits(String),
        /// The outcome is unknown; the connection must be closed without a response.
        OutcomeUnknown,
    }
}

impl std::fmt::Display for Target {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Route { path, .. } => f.write_str(path),
            Self::Queue(name) => f.write_str(name),
        }
    }
}
