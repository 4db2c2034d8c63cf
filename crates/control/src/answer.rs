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
    }

    /// A caller's request.
    pub struct Call {
        /// The host that it names.
        pub host: Name,
        /// Its whole path.
        pub path: Name,
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
