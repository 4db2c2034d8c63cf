//! Cell membership, derived from the beats in the member rows.
//!
//! A member renews its lease by writing its row with an incremented beat. It measures its
//! own lease from when it sent the renewal; the others measure it from when they saw the
//! beat change. Clocks of different machines are never compared.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use border::table::Row;
use common::Name;

use crate::mesh::Peer;

/// Key prefix of the member rows.
pub const PREFIX: &str = "member/";

/// Lease safety margin: covers clock drift and the delay between a check and the action.
pub const LEASE_MARGIN: Duration = Duration::from_millis(300);

common::record! {
    /// Value of a member row.
    pub struct Member {
        /// Unique name in the cell.
        pub name: Name,
        /// Identifies one start; grows with each start unless the clock runs backwards.
        pub incarnation: u64,
        /// Failure domain of its VM.
        pub domain: Name,
        /// Address for other daemons.
        pub peer_address: SocketAddr,
        /// Address for callers.
        pub http_address: SocketAddr,
        /// Renewal counter.
        pub beat: u64,
        /// Whether the member is shutting down gracefully.
        pub is_leaving: bool,
    }
}

/// Member name and incarnation.
pub type Incarnation = (Name, u64);

/// Last beat seen of an incarnation, and when it was first seen.
#[derive(Debug, Clone)]
struct SeenBeat {
    beat: u64,
    at: Instant,
}

/// Change of the live members after a read of the rows.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Change {
    /// Members that became live.
    pub joined: Vec<Name>,
    /// Members whose lease expired or whose row was deleted.
    pub gone: Vec<Name>,
}

/// Members of the cell as seen by this daemon.
#[derive(Debug)]
pub struct Membership {
    own_member: Member,
    lease: Duration,
    /// Start of the current observation; reset after a gap between reads.
    observed_since: Instant,
    /// Expiry of this daemon's lease; `None` before the first renewal.
    valid_until: Option<Instant>,
    /// Table version of this daemon's row; 0 before the first renewal.
    pub version: u64,
    rows: HashMap<Name, Member>,
    seen_beats: HashMap<Incarnation, SeenBeat>,
    live: Vec<Name>,
    /// When the set of live members last changed.
    pub changed_at: Instant,
    /// When the rows were last read; `None` before the first read.
    pub read_at: Option<Instant>,
}

impl Membership {
    /// Creates the state before the first renewal; no lease is held.
    pub fn new(own_member: Member, lease: Duration, now: Instant) -> Self {
        Self {
            own_member,
            lease,
            observed_since: now,
            valid_until: None,
            version: 0,
            rows: HashMap::new(),
            seen_beats: HashMap::new(),
            live: Vec::new(),
            changed_at: now,
            read_at: None,
        }
    }

    /// This daemon's row.
    pub fn own_member(&self) -> &Member {
        &self.own_member
    }

    /// Key of this daemon's row.
    pub fn my_key(&self) -> Name {
        Name::from(format!("{PREFIX}{}", self.own_member.name))
    }

    /// Increments the beat and returns the row to write.
    pub fn next_row(&mut self) -> String {
        self.own_member.beat += 1;
        serde_json::to_string(&self.own_member).unwrap_or_default()
    }

    /// Marks this daemon as leaving; published by the next renewal.
    pub fn mark_leaving(&mut self) {
        self.own_member.is_leaving = true;
    }

    /// Records a committed renewal; the lease counts from when it was sent.
    pub fn record_renewal(&mut self, sent: Instant, version: u64) {
        self.version = version;
        let until = sent + self.lease;
        self.valid_until = Some(self.valid_until.map_or(until, |old| old.max(until)));
    }

    /// Whether the lease is valid for at least the safety margin.
    pub fn is_valid(&self, now: Instant) -> bool {
        self.valid_until.is_some_and(|until| now + LEASE_MARGIN < until)
    }

    /// Applies the member rows and updates the live members.
    pub fn apply_rows(&mut self, rows: &[Row], now: Instant) -> Change {
        self.restart_timers_after_gap(now);
        let parsed = rows.iter().filter_map(|row| serde_json::from_str(&row.value).ok());
        self.rows = parsed.map(|member: Member| (member.name.clone(), member)).collect();
        for member in self.rows.values() {
            let key = (member.name.clone(), member.incarnation);
            let seen =
                self.seen_beats.entry(key).or_insert(SeenBeat { beat: member.beat, at: now });
            if seen.beat != member.beat {
                *seen = SeenBeat { beat: member.beat, at: now };
            }
        }
        self.read_at = Some(now);
        self.update_live(now)
    }

    /// Restarts all lease timers if the rows were not read for over half a lease.
    fn restart_timers_after_gap(&mut self, now: Instant) {
        let gap = self.read_at.map(|at| now.saturating_duration_since(at));
        if gap.is_some_and(|gap| gap > self.lease / 2) {
            for seen in self.seen_beats.values_mut() {
                seen.at = now;
            }
            self.observed_since = now;
        }
    }

    /// Recomputes the live members.
    fn update_live(&mut self, now: Instant) -> Change {
        let names = self
            .rows
            .values()
            .filter(|member| self.may_hold_lease(&member.name, member.incarnation, now));
        let mut live: Vec<Name> = names.map(|member| member.name.clone()).collect();
        live.sort();
        let joined = live.iter().filter(|name| !self.live.contains(name)).cloned().collect();
        let gone = self.live.iter().filter(|name| !live.contains(name)).cloned().collect();
        if live != self.live {
            self.changed_at = now;
        }
        self.live = live;
        Change { joined, gone }
    }

    /// Whether an incarnation may still hold a valid lease.
    ///
    /// An incarnation that was never seen is assumed to have been alive when observation began.
    pub fn may_hold_lease(&self, name: &Name, incarnation: u64, now: Instant) -> bool {
        if *name == self.own_member.name && incarnation == self.own_member.incarnation {
            return true;
        }
        let seen = self.seen_beats.get(&(name.clone(), incarnation));
        let last = seen.map_or(self.observed_since, |seen| seen.at);
        now.saturating_duration_since(last) < self.lease + LEASE_MARGIN
    }

    /// Sorted names of the live members; includes this daemon once its row is read.
    pub fn live(&self) -> &[Name] {
        &self.live
    }

    /// Names of the live members that are not leaving.
    pub fn staying(&self) -> Vec<Name> {
        let is_staying = |name: &&Name| {
            self.rows.get(*name).is_some_and(|member| !member.is_leaving)
                && !(**name == self.own_member.name && self.own_member.is_leaving)
        };
        self.live.iter().filter(is_staying).cloned().collect()
    }

    /// Row of a member; `None` if it has none.
    pub fn get(&self, name: &str) -> Option<&Member> {
        self.rows.get(name)
    }

    /// Live members other than this daemon, with their addresses.
    pub fn peers(&self) -> Vec<Peer> {
        let others = self.live.iter().filter(|name| **name != self.own_member.name);
        let rows = others.filter_map(|name| self.rows.get(name));
        rows.map(|member| Peer { name: member.name.clone(), address: member.peer_address })
            .collect()
    }
}
