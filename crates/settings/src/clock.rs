//! Conversion between instants and local time, with operator-defined UTC offset changes.
//!
//! A listed change applies until the next listed change of the same zone, or without end;
//! it overrides the time-zone database. Before the first listed change the database
//! applies. A local time that is skipped (such as when daylight saving starts) maps to the
//! first instant after the gap; one that occurs twice maps to its first instant.

use common::Name;
use jiff::civil::DateTime;
use jiff::tz::{Offset, TimeZone};
use jiff::{SignedDuration, Timestamp};

/// Bound on how far an instant is from its local time read as UTC, in seconds.
const MAX_OFFSET_S: i64 = 26 * 3600;

common::data! {
    /// A change of a zone's UTC offset, listed by the operators.
    pub struct OffsetChange {
        /// Name of the zone in the time-zone database.
        pub zone: Name,
        /// First instant at which the new offset applies.
        pub effective_from: Timestamp,
        /// UTC offset from that instant on.
        pub offset: Offset,
    }

    /// Converts between instants and the local time of one zone.
    pub struct Clock {
        zone: TimeZone,
        changes: Vec<(Timestamp, Offset)>,
    }
}

impl Clock {
    /// Creates a clock for a zone; changes of other zones are ignored.
    ///
    /// # Errors
    ///
    /// A message that names the zone if the time-zone database does not contain it.
    pub fn new(zone: &str, changes: &[OffsetChange]) -> Result<Self, String> {
        let time_zone = TimeZone::get(zone).map_err(|error| error.to_string())?;
        let zone_changes = changes.iter().filter(|change| &*change.zone == zone);
        let mut changes: Vec<_> =
            zone_changes.map(|change| (change.effective_from, change.offset)).collect();
        changes.sort_unstable_by_key(|(at, _)| *at);
        Ok(Self { zone: time_zone, changes })
    }

    /// Creates a clock for UTC.
    pub fn utc() -> Self {
        Self { zone: TimeZone::UTC, changes: Vec::new() }
    }

    /// The UTC offset that applies at an instant.
    pub fn offset_at(&self, at: Timestamp) -> Offset {
        let listed = self.changes.iter().rev().find(|(from, _)| *from <= at);
        listed.map_or_else(|| self.zone.to_offset(at), |(_, offset)| *offset)
    }

    /// Converts an instant to local date and time.
    pub fn to_local(&self, at: Timestamp) -> DateTime {
        self.offset_at(at).to_datetime(at)
    }

    /// The first instant whose local time is at or after the given one.
    pub fn to_instant(&self, local: DateTime) -> Timestamp {
        let as_utc = Offset::UTC.to_timestamp(local).unwrap_or(Timestamp::MAX);
        let max_offset = SignedDuration::from_secs(MAX_OFFSET_S);
        let low = as_utc.saturating_sub(max_offset).unwrap_or(Timestamp::MIN);
        let high = as_utc.saturating_add(max_offset).unwrap_or(Timestamp::MAX);
        let mut transitions = self.transitions_between(low, high);
        transitions.push(high);
        let mut from = low;
        for until in transitions {
            let matching = self.offset_at(from).to_timestamp(local).unwrap_or(high);
            let candidate = matching.max(from);
            if candidate < until {
                return candidate;
            }
            from = until;
        }
        high
    }

    /// Instants between `low` and `high`, both excluded, at which the offset may change.
    fn transitions_between(&self, low: Timestamp, high: Timestamp) -> Vec<Timestamp> {
        let database = self.zone.following(low).map(|transition| transition.timestamp());
        let database = database.take_while(|at| *at < high);
        let listed = self.changes.iter().map(|(at, _)| *at);
        let mut transitions: Vec<_> =
            database.chain(listed.filter(|at| *at > low && *at < high)).collect();
        transitions.sort_unstable();
        transitions
    }
}
