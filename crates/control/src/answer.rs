//! What callers ask and what they are told.

use std::time::Duration;

use common::Name;
use scheduler::{Shown, Submission};

common::data! {
    /// What a caller wants.
    pub enum Op {
        /// Take a job in.
        Submit(Submission),
        /// Tell a job's state.
        State(Name),
        /// Cancel a job.
        Cancel(Name),
        /// Count the queue's jobs that wait for their first start.
        Pending,
        /// Show the leader's state to an operator.
        View(View),
    }

    /// What an operator wants to see.
    pub enum View {
        /// A job: its steps, and what it waits for.
        Job(Name),
        /// The queues and their open jobs.
        Queues,
        /// The workers.
        Workers,
        /// The daemons.
        Members,
    }

    /// Where a request is meant for.
    pub enum Target {
        /// The queue of a host and a path.
        Route {
            /// The host that the caller names.
            host: Name,
            /// The whole path.
            path: Name,
        },
        /// The queue of a name; empty where the request concerns none.
        Queue(Name),
    }

    /// A caller's request.
    pub struct Call {
        /// The queue that it is for.
        pub target: Target,
        /// What it wants.
        pub op: Op,
        /// How long the caller waits.
        pub patience: Duration,
    }

    /// What a caller is told.
    pub enum Answer {
        /// The job is stored.
        Accepted,
        /// The job's state.
        State(Shown),
        /// The job is cancelled.
        Cancelled,
        /// How many jobs wait.
        Pending(u64),
        /// No queue has such a host and path.
        NoQueue,
        /// No such job.
        NoJob,
        /// What an operator asked to see, as JSON.
        View(String),
        /// Nothing was done; worth another try after a while.
        Refused {
            /// When to come back.
            retry_after: Duration,
            /// Whether another daemon is the better choice.
            elsewhere: bool,
        },
        /// The outcome is not known; the connection is to end without a response.
        Unknown,
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
