//! Answers of workers to lease renewals: active runs and finished runs.

use common::Name;

use crate::job::TaskKey;

common::key! {
    /// Outcome of a run.
    pub enum Outcome {
        /// It succeeded.
        Done,
        /// It failed; the cause may be the task or the worker.
        Failed,
        /// It was stopped on request, or did not start.
        Stopped,
        /// Its lease expired, or its worker no longer lists it.
        LeaseExpired,
        /// Another member of its gang ended.
        GangBroken,
        /// It timed out waiting for the other members of its gang.
        GangTimedOut,
    }
}

common::data! {
    /// A finished run, as listed by its worker.
    pub struct FinishedRun {
        /// Position in the worker's list; increases within an incarnation.
        pub position: u64,
        /// The task; `None` if its name cannot be parsed.
        pub key: Option<TaskKey>,
        /// Number of the run.
        pub run: u32,
        /// Outcome; `None` if the worker sent an unknown one.
        pub outcome: Option<Outcome>,
        /// Last checkpoint; empty for none.
        pub checkpoint: Name,
    }

    /// An active run, as listed by its worker.
    pub struct ActiveRun {
        /// The task; `None` if its name cannot be parsed.
        pub key: Option<TaskKey>,
        /// Number of the run.
        pub run: u32,
        /// Latest checkpoint; empty for none.
        pub checkpoint: Name,
        /// Progress, in percent.
        pub percent: u32,
    }

    /// A worker's answer to a lease renewal.
    pub struct Listing {
        /// Start of the worker's incarnation, in ms of Unix time; 0 if not given.
        pub incarnation: u64,
        /// Active runs.
        pub running: Vec<ActiveRun>,
        /// Finished runs that were not acknowledged, or the first of them.
        pub finished: Vec<FinishedRun>,
        /// Whether each run that the worker knows is listed. If not, one that is missing may be
        /// active or have ended with any outcome.
        pub is_complete: bool,
    }
}
