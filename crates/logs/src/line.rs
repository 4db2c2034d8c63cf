//! Parses log lines of daemons.

use jiff::Timestamp;
use serde_json::{Map, Value};

/// Fields that every line has; [`Line::fields`] does not hold them.
const COMMON_FIELDS: [&str; 5] = ["msg", "level", "ts", "member", "event"];

common::data! {
    /// A log line that holds an event.
    pub struct Line {
        /// Time when it was written, by the daemon's clock.
        pub time: Timestamp,
        /// Name of the daemon that wrote it.
        pub member: String,
        /// Number of the event.
        pub event: u32,
        /// Message text.
        pub message: String,
        /// Fields besides those that every line has.
        pub fields: Map<String, Value>,
    }
}

/// Number of non-empty lines skipped because they hold no event.
pub type SkippedLines = usize;

impl Line {
    /// Parses a line, skipping any prefix before the JSON; `None` if it holds no event.
    fn parse(text: &str) -> Option<Self> {
        let json = &text[text.find('{')?..];
        let mut fields: Map<String, Value> = serde_json::from_str(json).ok()?;
        let str_field = |name: &str| fields.get(name).and_then(Value::as_str).map(str::to_owned);
        let time = str_field("ts")?.parse().ok()?;
        let (member, message) = (str_field("member")?, str_field("msg")?);
        let event = u32::try_from(fields.get("event")?.as_u64()?).ok()?;
        fields.retain(|name, _| !COMMON_FIELDS.contains(&name.as_str()));
        Some(Self { time, member, event, message, fields })
    }

    /// Value of a string field; empty if the line has no such field.
    pub fn str_field(&self, name: &str) -> &str {
        self.fields.get(name).and_then(Value::as_str).unwrap_or_default()
    }

    /// Value of an unsigned integer field; `None` if the line has no such field.
    pub fn u64_field(&self, name: &str) -> Option<u64> {
        self.fields.get(name).and_then(Value::as_u64)
    }

    /// Id of its job; falls back to the last segment of the request's path.
    pub fn job(&self) -> &str {
        match self.str_field("job") {
            "" => self.str_field("path").rsplit('/').next().unwrap_or_default(),
            job => job,
        }
    }

    /// Formats its fields, except the job, as `name=value` separated by spaces.
    pub fn format_fields(&self) -> String {
        let shown = self.fields.iter().filter(|(name, _)| *name != "job");
        let pairs = shown.map(|(name, value)| match value {
            Value::String(text) if !text.contains(' ') => format!("{name}={text}"),
            other => format!("{name}={other}"),
        });
        pairs.collect::<Vec<_>>().join(" ")
    }
}

/// Parses lines of any number of daemons and sorts them by time.
pub fn read<'a>(texts: impl IntoIterator<Item = &'a str>) -> (Vec<Line>, SkippedLines) {
    let (mut lines, mut skipped) = (Vec::new(), 0);
    for text in texts.into_iter().filter(|text| !text.trim().is_empty()) {
        match Line::parse(text) {
            Some(line) => lines.push(line),
            None => skipped += 1,
        }
    }
    lines.sort_by_key(|line| line.time);
    (lines, skipped)
}
