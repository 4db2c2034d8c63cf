//! Who is a member, judged by the beats of the member rows.
//!
//! A member renews its row with a growing beat. Its own lease counts from when it sent
//! the renewal; others count from when they saw the beat change. Neither compares
//! clocks of two machines.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use border::table::Row;
use common::Name;

use crate::mesh::Peer;

/// Prefix of the member rows.
pub const PREFIX: &str = "member/";

/// Drift of monotonic clocks and time between a check and the act that it permits.
pub const MARGIN: Duration = Duration::from_millis(300);

common::record! {
    /// A member's row.
    pub struct Member {
        /// Its name.
        pub name: Name,
        /// Tells one start of the daemon from the next.
        pub incarnation: u64,
        /// Its failure domain.
        pub domain: Name,
        /// Where other daemons reach it.
        pub peer_address: SocketAddr,
        /// Where callers reach it.
        pub http_address: SocketAddr,
        /// Grows with each renewal.
        pub beat: u64,
        /// Whether it is stopping.
        pub is_leaving: bool,
    }
}

/// One start of one member.
pub type Incarnation = (Name, u64);

#[derive(Debug, Clone)]
struct Seen {
    beat: u64,
    at: Instant,
}

/// What changed with a look at the rows.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Change {
    /// Members that are new.
    pub joined: Vec<Name>,
    /// Members whose lease ran out.
    pub gone: Vec<Name>,
}

/// The members as this daemon knows them.
#[derive(Debug)]
pub struct Membership {
    me: Member,
    lease: Duration,
    started: Instant,
    valid_until: Option<Instant>,
    /// Version of our own row.
    pub version: u64,
    rows: HashMap<Name, Member>,
    seen: HashMap<Incarnation, Seen>,
    live: Vec<Name>,
    /// When the set of live members last changed.
    pub changed_at: Instant,
    /// When the rows were last read.
    pub read_at: Option<Instant>,
}

impl Membership {
    /// Membership before the first renewal.
    pub fn new(me: Member, lease: Duration, now: Instant) -> Self {
        Self {
            me,
            lease,
            started: now,
            valid_until: None,
            version: 0,
            rows: HashMap::new(),
            seen: HashMap::new(),
            live: Vec::new(),
            changed_at: now,
            read_at: None,
        }
    }

    /// Our own row.
    pub fn me(&self) -> &Member {
        &self.me
    }

    /// Our own row's key.
    pub fn my_key(&self) -> Name {
        Name::from(format!("{PREFIX}{}", self.me.name))
    }

    /// The row to write for the next renewal.
    pub fn next_row(&mut self) -> String {
        self.me.beat += 1;
        serde_json::to_string(&self.me).unwrap_or_default()
    }

    /// Marks ourselves as leaving, from the next renewal on.
    pub fn leave(&mut self) {
        self.me.is_leaving = true;
    }

    /// Takes a renewal that was sent at a time and took effect.
    pub fn renewed(&mut self, sent: Instant, version: u64) {
        self.version = version;
        let until = sent + self.lease;
        self.valid_until = Some(self.valid_until.map_or(until, |old| old.max(until)));
    }

    /// Whether our lease holds, with a margin for the act that follows.
    pub fn is_valid(&self, now: Instant) -> bool {
        self.valid_until.is_some_and(|until| now + MARGIN < until)
    }

    /// Takes the rows read from the table.
    pub fn observe(&mut self, rows: &[Row], now: Instant) -> Change {
        self.forgive_gap(now);
        let parsed = rows.iter().filter_map(|row| serde_json::from_str(&row.value).ok());
        self.rows = parsed.map(|member: Member| (member.name.clone(), member)).collect();
        for member in self.rows.values() {
            let key = (member.name.clone(), member.incarnation);
            let seen = self.seen.entry(key).or_insert(Seen { beat: member.beat, at: now });
            if seen.beat != member.beat {
                *seen = Seen { beat: member.beat, at: now };
            }
        }
        self.read_at = Some(now);
        self.judge(now)
    }

    /// Nobody can be judged by a time in which we did not look.
    fn forgive_gap(&mut self, now: Instant) {
        let gap = self.read_at.map(|at| now.saturating_duration_since(at));
        if gap.is_some_and(|gap| gap > self.lease / 2) {
            for seen in self.seen.values_mut() {
                seen.at = now;
            }
            self.started = now;
        }
    }

    fn judge(&mut self, now: Instant) -> Change {
        let names = self
            .rows
            .values()
            .filter(|member| self.is_alive(&member.name, member.incarnation, now));
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

    /// Whether an incarnation may still act under a lease.
    ///
    /// One that was never seen may have been alive until we started to look.
    pub fn is_alive(&self, name: &Name, incarnation: u64, now: Instant) -> bool {
        if *name == self.me.name && incarnation == self.me.incarnation {
            return true;
        }
        let seen = self.seen.get(&(name.clone(), incarnation));
        let last = seen.map_or(self.started, |seen| seen.at);
        now.saturating_duration_since(last) < self.lease + MARGIN
    }

    /// Names of the live members, ourselves among them once our row is read.
    pub fn live(&self) -> &[Name] {
        &self.live
    }

    /// Live members that are not leaving.
    pub fn staying(&self) -> Vec<Name> {
        let is_staying = |name: &&Name| {
            self.rows.get(*name).is_some_and(|member| !member.is_leaving)
                && !(**name == self.me.name && self.me.is_leaving)
        };
        self.live.iter().filter(is_staying).cloned().collect()
    }

    /// A live member's row.
    pub fn get(&self, name: &str) -> Option<&Member> {
        self.rows.get(name)
    }

    /// The live members other than ourselves, with their addresses.
    pub fn peers(&self) -> Vec<Peer> {
        let others = self.live.iter().filter(|name| **name != self.me.name);
        let rows = others.filter_map(|name| self.rows.get(name));
        rows.map(|member| Peer { name: member.name.clone(), address: member.peer_address })
            .collect()
    }
}
