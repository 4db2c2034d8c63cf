//! Configuration of a node: its identity, its capacity, and the limits of the platform.

use std::time::Duration;

use common::Name;

/// Least ratio of two processors or links that counts as a difference, in percent.
const MIN_ADVANTAGE_PERCENT: u64 = 125;

/// Longest time that a transaction of several jobs may take on the daemon's network link.
///
/// Heartbeats and other commits wait behind it, and followers suspect a leader that is late.
const MAX_TRANSACTION_TIME: Duration = Duration::from_millis(120);

/// Size that a transaction may always have, in bytes.
const MIN_TRANSACTION_BYTES: usize = 16_000;

common::key! {
    /// Processor and network link of a daemon; 0 if unknown.
    pub struct Capacity {
        /// Processor speed, in thousandths of a core.
        pub cpu_millis: u32,
        /// Bandwidth of the network link, in kbit/s.
        pub link_kbps: u32,
    }
}

impl Capacity {
    /// Capacity of a daemon that has not stated any; it outranks no other and is not outranked.
    pub const UNKNOWN: Self = Self { cpu_millis: 0, link_kbps: 0 };

    /// Whether a daemon with this capacity is better suited to lead than one with the other.
    ///
    /// The processor or the link is larger by a clear margin, and neither is smaller.
    pub fn outranks(self, other: Self) -> bool {
        let cpu = (self.cpu_millis, other.cpu_millis);
        let link = (self.link_kbps, other.link_kbps);
        (is_larger(cpu) && !is_smaller(link)) || (is_larger(link) && !is_smaller(cpu))
    }

    /// Time that bytes take on the network link; zero if its bandwidth is unknown.
    pub(crate) fn transfer_time(self, bytes: usize) -> Duration {
        let micros = (bytes as u64 * 8 * 1000).checked_div(self.link_kbps.into());
        Duration::from_micros(micros.unwrap_or(0))
    }

    /// Number of bytes that the network link carries in a time; none if unknown.
    fn bytes_within(self, time: Duration) -> Option<usize> {
        let bytes = u64::from(self.link_kbps) * time.as_millis() as u64 / 8;
        (self.link_kbps > 0).then_some(bytes as usize)
    }
}

/// Whether the first of two values is larger by a clear margin; false if one is unknown.
fn is_larger((first, second): (u32, u32)) -> bool {
    let (first, second) = (u64::from(first), u64::from(second));
    second > 0 && first * 100 >= second * MIN_ADVANTAGE_PERCENT
}

/// Whether the first of two values is smaller; false if one is unknown.
fn is_smaller((first, second): (u32, u32)) -> bool {
    first > 0 && first < second
}

common::data! {
    /// Settings of a daemon, with all defaults applied.
    pub struct Config {
        /// Member name, unique in the pool.
        pub member: Name,
        /// Address at which peers reach the daemon.
        pub peer_address: Name,
        /// Processor and network link of the daemon.
        pub capacity: Capacity,
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
    /// Size of a transaction at which no further job is added to it, in bytes.
    ///
    /// The network link carries that much in a short time.
    pub(crate) fn group_commit_bytes(&self) -> usize {
        let carried = self.capacity.bytes_within(MAX_TRANSACTION_TIME);
        let carried = carried.map_or(usize::MAX, |bytes| bytes.max(MIN_TRANSACTION_BYTES));
        self.max_transaction_bytes.min(carried)
    }

    /// Applies new settings, except for the identity and the seed of the running daemon.
    pub(crate) fn reload(&mut self, settings: Self) {
        let former = std::mem::replace(self, settings);
        self.member = former.member;
        self.peer_address = former.peer_address;
        self.incarnation = former.incarnation;
        self.seed = former.seed;
    }
}
