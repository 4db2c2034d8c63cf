//! The head row, which decides leadership: current leader, epoch and commit count.

use std::time::Duration;

use common::Name;
use prost::Message;

use crate::action::Action;
use crate::config::Capacity;

/// Table that holds the pool's rows.
pub(crate) const POOL_TABLE: &str = "bronzerail";

/// Key of the head row.
pub(crate) const HEAD_KEY: &str = "head";

/// Exclusive end of a key range that holds only the head row.
const HEAD_KEY_END: &str = "head0";

/// Key prefix of journal rows.
pub(crate) const JOURNAL_KEY_PREFIX: &str = "log/";

/// Exclusive end of the key range of journal rows.
pub(crate) const JOURNAL_KEY_END: &str = "log0";

/// Start of the row's value: a zero and the format of the journal's rows.
///
/// No message starts with a zero, so daemons that know only earlier formats cannot decode the
/// row and do not claim leadership with a part of the jobs.
const FORMAT: [u8; 2] = [0, 1];

/// Value of the head row.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Head {
    /// Increases with each change of leader; fencing token of the leader's orders.
    #[prost(uint64, tag = "1")]
    pub epoch: u64,
    /// Member name of the leader.
    #[prost(string, tag = "2")]
    pub member: String,
    /// Address at which peers reach the leader.
    #[prost(string, tag = "3")]
    pub address: String,
    /// Incarnation of the leader's process; increases with each start.
    #[prost(uint64, tag = "4")]
    pub incarnation: u64,
    /// Number of the latest commit in this epoch.
    #[prost(uint64, tag = "5")]
    pub commit: u64,
    /// Whether the leader released its leadership.
    #[prost(bool, tag = "6")]
    pub is_released: bool,
    /// Store time of the latest release due to timer lag, in ms; 0 for never.
    #[prost(uint64, tag = "7")]
    pub slow_ms: u64,
    /// Processor speed of the leader, in thousandths of a core; 0 if unknown.
    #[prost(uint32, tag = "8")]
    pub cpu_millis: u32,
    /// Bandwidth of the leader's network link, in kbit/s; 0 if unknown.
    #[prost(uint32, tag = "9")]
    pub link_kbps: u32,
    /// Store time of the latest release to a larger daemon, in ms; 0 for never.
    #[prost(uint64, tag = "10")]
    pub promotion_ms: u64,
}

impl Head {
    /// Decodes the row's value, with or without a format.
    ///
    /// # Errors
    ///
    /// The decoder's error, also for formats of later versions; the daemon must then not claim.
    pub fn from_row(value: &[u8]) -> Result<Self, prost::DecodeError> {
        Self::decode(value.strip_prefix(&FORMAT).unwrap_or(value))
    }

    /// Encodes the row's value.
    pub fn to_row(&self) -> Vec<u8> {
        [FORMAT.as_slice(), &self.encode_to_vec()].concat()
    }

    /// Capacity of the leader.
    pub fn capacity(&self) -> Capacity {
        Capacity { cpu_millis: self.cpu_millis, link_kbps: self.link_kbps }
    }
}

/// Returns the action that reads the head row.
pub(crate) fn read_head(call: u64, timeout: Duration) -> Action {
    let (from, to) = (Name::new(HEAD_KEY), Name::new(HEAD_KEY_END));
    Action::Read { call, table: POOL_TABLE, from, to, timeout }
}
