//! Daily windows in local time.

use std::str::FromStr;

use jiff::civil::{DateTime, Time, Weekday};
use jiff::{Timestamp, ToSpan};

use crate::Clock;

/// A time of day, such as `20:30`.
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
        let bad = "expected a time of day such as 20:30";
        let (hour, minute) = text.split_once(':').ok_or(bad)?;
        let hour = hour.parse().map_err(|_bad| bad)?;
        let minute = minute.parse().map_err(|_bad| bad)?;
        Time::new(hour, minute, 0, 0).map(Self).map_err(|_range| bad)
    }
}

/// A day of the week, such as `mon`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Day(pub Weekday);

impl Default for Day {
    fn default() -> Self {
        Self(Weekday::Monday)
    }
}

impl FromStr for Day {
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
    /// A part of the day in which work may start; it may run over midnight.
    pub struct Window {
        /// First time of day within.
        pub from: Time,
        /// First time of day after.
        pub until: Time,
        /// Days on which the window opens; empty stands for every day.
        pub days: Vec<Weekday>,
    }
}

impl Window {
    /// Whether the window is open at an instant.
    pub fn is_open(&self, clock: &Clock, now: Timestamp) -> bool {
        let local = clock.local(now);
        let time = local.time();
        if self.from <= self.until {
            return self.opens_on(local) && time >= self.from && time < self.until;
        }
        let yesterday = local.saturating_sub(1.day());
        (self.opens_on(local) && time >= self.from)
            || (self.opens_on(yesterday) && time < self.until)
    }

    /// The first instant at or after `now` at which the window is open.
    pub fn next_open(&self, clock: &Clock, now: Timestamp) -> Option<Timestamp> {
        if self.is_open(clock, now) {
            return Some(now);
        }
        let today = clock.local(now).date();
        let days = (0..=7).filter_map(|ahead| today.checked_add(ahead.days()).ok());
        let starts = days.map(|day| day.to_datetime(self.from));
        let on_days = starts.filter(|start| self.opens_on(*start));
        on_days.map(|start| clock.instant(start)).find(|at| *at > now)
    }

    fn opens_on(&self, local: DateTime) -> bool {
        self.days.is_empty() || self.days.contains(&local.weekday())
    }
}

/// The next instant after `now` at which the local clock shows a time of day.
pub fn next_time(clock: &Clock, now: Timestamp, time: Time) -> Timestamp {
    let today = clock.local(now).date();
    let days = (0..=2).filter_map(|ahead| today.checked_add(ahead.days()).ok());
    let mut instants = days.map(|day| clock.instant(day.to_datetime(time)));
    instants.find(|at| *at > now).unwrap_or(now)
}
