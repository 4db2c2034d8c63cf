//! Configuration of a node: its identity, and the limits of the platform.

use std::time::Duration;

use common::Name;

common::data! {
    /// Settings of a daemon, with all defaults applied.
    pub struct Config {
        /// Member name, unique in the pool.
        pub member: Name,
        /// Address at which peers reach the daemon.
        pub peer_address: Name,
        /// Incarnation of the process; increases with each start.
        pub incarnation: u64,
        /// Seed of the generator of random delays and choices.
        pub seed: u64,
        /// Longest lease that workers grant.
        pub max_lease: Duration,
        /// Time for which the state of an ended job is kept.
        pub ended_job_retention: Duration,
        /// Grace period between SIGTERM and SIGKILL.
        pub grace_period: Duration,
        /// Maximum number of rows in a transaction.
        pub max_transaction_rows: usize,
        /// Maximum size of a transaction before encoding, in bytes.
        pub max_transaction_bytes: usize,
        /// Maximum size of a row before encoding, in bytes.
        pub max_row_bytes: usize,
        /// Number of journal rows from which the jobs of the oldest rows are rewritten.
        pub compaction_row_limit: usize,
        /// Latency of a transaction as stated by the store.
        pub initial_commit_latency: Duration,
    }
}

impl Config {
    /// Applies new settings, except for the identity and the seed of the running daemon.
    pub(crate) fn reload(&mut self, settings: Self) {
        let former = std::mem::replace(self, settings);
        self.member = former.member;
        self.peer_address = former.peer_address;
        self.incarnation = former.incarnation;
        self.seed = former.seed;
    }
}
