//! The head row: who leads, and how far its commits are.

use std::time::Duration;

use common::Name;

use crate::action::Action;

/// Table of the pool's rows.
pub(crate) const TABLE: &str = "bronzerail";

/// Key of the head row.
pub(crate) const HEAD: &str = "head";

/// First key after the head row's.
const HEAD_END: &str = "head0";

/// Prefix of the keys of journal rows.
pub(crate) const JOURNAL: &str = "log/";

/// First key after all journal rows.
pub(crate) const JOURNAL_END: &str = "log0";

/// The head row's value.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Head {
    /// Rises with each change of leader; the fencing token of its orders.
    #[prost(uint64, tag = "1")]
    pub epoch: u64,
    /// The leader's name.
    #[prost(string, tag = "2")]
    pub member: String,
    /// Where peers reach the leader.
    #[prost(string, tag = "3")]
    pub address: String,
    /// Number of the leader's start.
    #[prost(uint64, tag = "4")]
    pub incarnation: u64,
    /// Rises with each commit of the epoch.
    #[prost(uint64, tag = "5")]
    pub commit: u64,
    /// Whether the leader gave its place up.
    #[prost(bool, tag = "6")]
    pub is_released: bool,
    /// When a leader last gave its place up for slowness, by the store's clock, in ms.
    #[prost(uint64, tag = "7")]
    pub slow_ms: u64,
}

/// A read of the head row.
pub(crate) fn read_head(call: u64, timeout: Duration) -> Action {
    let (from, to) = (Name::new(HEAD), Name::new(HEAD_END));
    Action::Read { call, table: TABLE, from, to, timeout }
}
