//! What a daemon knows of itself and of the platform's bounds.

use std::time::Duration;

use common::Name;

common::data! {
    /// A daemon's settings, resolved.
    pub struct Config {
        /// Its name.
        pub member: Name,
        /// Where peers reach it.
        pub address: Name,
        /// Number of its start; rises.
        pub incarnation: u64,
        /// Seed of its random pauses.
        pub seed: u64,
        /// Longest lease that workers grant.
        pub max_lease: Duration,
        /// How long the state of an ended job is kept.
        pub keep_ended: Duration,
        /// Time between SIGTERM and SIGKILL.
        pub grace: Duration,
        /// Most rows in a transaction.
        pub max_writes: usize,
        /// Most bytes in a transaction, before encoding.
        pub max_bytes: usize,
        /// Most bytes in a row, before encoding.
        pub max_row: usize,
        /// Journal rows from which on the jobs of the oldest are written again.
        pub most_rows: usize,
        /// Time of a transaction by the store's own account.
        pub commit_time: Duration,
    }
}

impl Config {
    /// Takes new settings, but for what identifies the running daemon.
    pub(crate) fn renew(&mut self, settings: Self) {
        let former = std::mem::replace(self, settings);
        self.member = former.member;
        self.address = former.address;
        self.incarnation = former.incarnation;
        self.seed = former.seed;
    }
}
