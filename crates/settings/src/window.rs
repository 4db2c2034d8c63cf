//! Daily time windows in local time.

use std::str::FromStr;

use jiff::civil::{DateTime, Time, Weekday};
use jiff::{Timestamp, ToSpan};

use crate::Clock;

/// A time of day, written as `20:30`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct TimeOfDay(pub Time);

impl Default for TimeOfDay {
    fn default() -> Self {
        Self(Time::midnight())
    }
}

impl FromStr for TimeOfDay {
    type Err = &'static str;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let message = "expected a time of day such as 20:30";
        let (hour, minute) = text.split_once(':').ok_or(message)?;
        let hour = hour.parse().map_err(|_parse| message)?;
        let minute = minute.parse().map_err(|_parse| message)?;
        Time::new(hour, minute, 0, 0).map(Self).map_err(|_range| message)
    }
}

/// A day of the week, written as `mon`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DayOfWeek(pub Weekday);

impl Default for DayOfWeek {
    fn default() -> Self {
        Self(Weekday::Monday)
    }
}

impl FromStr for DayOfWeek {
    type Err = &'static str;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let day = match text {
            "mon" => Weekday::Monday,
            "tue" => Weekday::Tuesday,
            "wed" => Weekday::Wednesday,
            "thu" => Weekday::Thursday,
            "fri" => Weekday::Friday,
            "sat" => Weekday::Saturday,
            "sun" => Weekday::Sunday,
            _ => return Err("expected mon, tue, wed, thu, fri, sat or sun"),
        };
        Ok(Self(day))
    }
}

common::data! {
    /// A daily period in which tasks may start; it may extend past midnight.
    pub struct Window {
        /// Time of day at which the window opens.
        pub from: Time,
        /// Time of day at which the window closes, excluded.
        pub until: Time,
        /// Days on which the window opens; every day if empty.
        pub days: Vec<Weekday>,
    }
}

impl Window {
    /// Whether the window is open at an instant.
    pub fn is_open(&self, clock: &Clock, now: Timestamp) -> bool {
        let local = clock.to_local(now);
        let time = local.time();
        if self.from <= self.until {
            return self.opens_on(local) && time >= self.from && time < self.until;
        }
        let yesterday = local.saturating_sub(1.day());
        (self.opens_on(local) && time >= self.from)
            || (self.opens_on(yesterday) && time < self.until)
    }

    /// First instant from `now` on at which the window is open; `None` if not found.
    pub fn next_opening(&self, clock: &Clock, now: Timestamp) -> Option<Timestamp> {
        if self.is_open(clock, now) {
            return Some(now);
        }
        let today = clock.to_local(now).date();
        let days = (0..=7).filter_map(|days_ahead| today.checked_add(days_ahead.days()).ok());
        let openings = days.map(|day| day.to_datetime(self.from));
        let on_listed_days = openings.filter(|opening| self.opens_on(*opening));
        on_listed_days.map(|opening| clock.to_instant(opening)).find(|at| *at > now)
    }

    /// Whether the window opens on the day of a local time.
    fn opens_on(&self, local: DateTime) -> bool {
        self.days.is_empty() || self.days.contains(&local.weekday())
    }
}

/// Next instant after `now` at which the local clock shows a time of day.
pub fn next_occurrence(clock: &Clock, now: Timestamp, time: Time) -> Timestamp {
    let today = clock.to_local(now).date();
    let days = (0..=2).filter_map(|days_ahead| today.checked_add(days_ahead.days()).ok());
    let mut instants = days.map(|day| clock.to_instant(day.to_datetime(time)));
    instants.find(|at| *at > now).unwrap_or(now)
}
