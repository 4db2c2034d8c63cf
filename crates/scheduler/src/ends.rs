//! What workers list: runs that are there and runs that have ended.

use common::Name;

use crate::job::TaskKey;

common::key! {
    /// How a run ended.
    pub enum How {
        /// It succeeded.
        Done,
        /// It failed through its own fault or the worker's.
        Failed,
        /// It was stopped by an order.
        Stopped,
        /// Its lease lapsed.
        Lapsed,
        /// Another member of its gang ended.
        Broken,
        /// It waited too long for the other members of its gang.
        Alone,
    }
}

common::data! {
    /// A run that has ended.
    pub struct End {
        /// Position in the worker's list, rising within its life.
        pub number: u64,
        /// The task; none where its name makes no sense here.
        pub key: Option<TaskKey>,
        /// The run's number.
        pub run: u32,
        /// How it ended; none where the word is not known.
        pub how: Option<How>,
        /// The checkpoint that it left; empty for none.
        pub saved: Name,
    }

    /// A run that is there.
    pub struct Run {
        /// The task; none where its name makes no sense here.
        pub key: Option<TaskKey>,
        /// The run's number.
        pub run: u32,
        /// Its latest checkpoint; empty for none.
        pub saved: Name,
        /// Share of its work that is done, in percent.
        pub percent: u32,
    }

    /// A worker's answer to a renewal.
    pub struct Listing {
        /// Start of the worker's life, in ms of Unix time; 0 where it did not say.
        pub born: u64,
        /// What runs there.
        pub running: Vec<Run>,
        /// What has ended there and was not acknowledged.
        pub finished: Vec<End>,
    }
}
