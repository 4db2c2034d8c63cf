//! Local time, with the operators' own clock changes before the time-zone database.
//!
//! A listed change holds from its instant until the next listed change of the same zone,
//! or for ever. Before the first listed change the database decides. A local time that
//! is skipped stands for the first instant after the gap; one that comes twice stands
//! for its first instant.

use common::Name;
use jiff::civil::DateTime;
use jiff::tz::{Offset, TimeZone};
use jiff::{SignedDuration, Timestamp};

/// Widest stretch around a local time in which its instant can lie, in seconds.
const OFFSET_REACH_S: i64 = 26 * 3600;

common::data! {
    /// A change of a zone's offset that the operators announce.
    pub struct Change {
        /// The zone, as the time-zone database names it.
        pub zone: Name,
        /// When the offset changes, in microseconds since 1970.
        pub at: Timestamp,
        /// The offset from then on.
        pub offset: Offset,
    }

    /// One zone's clock.
    pub struct Clock {
        zone: TimeZone,
        changes: Vec<(Timestamp, Offset)>,
    }
}

impl Clock {
    /// A clock for a zone of the database, with the listed changes of that zone.
    ///
    /// # Errors
    ///
    /// A text that names the zone where the database does not have it.
    pub fn new(zone: &str, changes: &[Change]) -> Result<Self, String> {
        let found = TimeZone::get(zone).map_err(|error| error.to_string())?;
        let own = changes.iter().filter(|change| &*change.zone == zone);
        let mut changes: Vec<_> = own.map(|change| (change.at, change.offset)).collect();
        changes.sort_unstable_by_key(|(at, _)| *at);
        Ok(Self { zone: found, changes })
    }

    /// A clock that shows UTC.
    pub fn utc() -> Self {
        Self { zone: TimeZone::UTC, changes: Vec::new() }
    }

    /// The offset in force at an instant.
    pub fn offset(&self, at: Timestamp) -> Offset {
        let listed = self.changes.iter().rev().find(|(from, _)| *from <= at);
        listed.map_or_else(|| self.zone.to_offset(at), |(_, offset)| *offset)
    }

    /// The local date and time at an instant.
    pub fn local(&self, at: Timestamp) -> DateTime {
        self.offset(at).to_datetime(at)
    }

    /// The first instant whose local time is at or after the given one.
    pub fn instant(&self, local: DateTime) -> Timestamp {
        let middle = Offset::UTC.to_timestamp(local).unwrap_or(Timestamp::MAX);
        let reach = SignedDuration::from_secs(OFFSET_REACH_S);
        let low = middle.saturating_sub(reach).unwrap_or(Timestamp::MIN);
        let high = middle.saturating_add(reach).unwrap_or(Timestamp::MAX);
        let mut edges = self.edges(low, high);
        edges.push(high);
        let mut from = low;
        for until in edges {
            let here = self.offset(from).to_timestamp(local).unwrap_or(high);
            let candidate = here.max(from);
            if candidate < until {
                return candidate;
            }
            from = until;
        }
        high
    }

    fn edges(&self, low: Timestamp, high: Timestamp) -> Vec<Timestamp> {
        let database = self.zone.following(low).map(|transition| transition.timestamp());
        let database = database.take_while(|at| *at < high);
        let listed = self.changes.iter().map(|(at, _)| *at);
        let mut edges: Vec<_> =
            database.chain(listed.filter(|at| *at > low && *at < high)).collect();
        edges.sort_unstable();
        edges
    }
}
