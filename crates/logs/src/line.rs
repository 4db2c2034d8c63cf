//! One line of a daemon's log.

use jiff::Timestamp;
use serde_json::{Map, Value};

/// Fields that every line has; they are not repeated among a line's own.
const COMMON: [&str; 5] = ["msg", "level", "ts", "member", "event"];

common::data! {
    /// A line that a daemon wrote.
    pub struct Line {
        /// When it was written, by the daemon's clock.
        pub at: Timestamp,
        /// The daemon.
        pub member: String,
        /// The event's number.
        pub event: u32,
        /// What it says.
        pub text: String,
        /// Its other fields.
        pub fields: Map<String, Value>,
    }
}

/// Number of lines that hold no event.
pub type Unread = usize;

impl Line {
    /// Reads a line; none where it holds no event.
    fn parse(text: &str) -> Option<Self> {
        let json = &text[text.find('{')?..];
        let mut fields: Map<String, Value> = serde_json::from_str(json).ok()?;
        let text_of = |name: &str| fields.get(name).and_then(Value::as_str).map(str::to_owned);
        let at = text_of("ts")?.parse().ok()?;
        let (member, text) = (text_of("member")?, text_of("msg")?);
        let event = u32::try_from(fields.get("event")?.as_u64()?).ok()?;
        fields.retain(|name, _| !COMMON.contains(&name.as_str()));
        Some(Self { at, member, event, text, fields })
    }

    /// A field that holds a text; empty where there is none.
    pub fn text_of(&self, name: &str) -> &str {
        self.fields.get(name).and_then(Value::as_str).unwrap_or_default()
    }

    /// A field that holds a whole number.
    pub fn number_of(&self, name: &str) -> Option<u64> {
        self.fields.get(name).and_then(Value::as_u64)
    }

    /// The job that it concerns; for a request that was not answered, the end of its path.
    pub fn job(&self) -> &str {
        match self.text_of("job") {
            "" => self.text_of("path").rsplit('/').next().unwrap_or_default(),
            job => job,
        }
    }

    /// Its own fields, in the form `name=value`.
    pub fn detail(&self) -> String {
        let own_fields = self.fields.iter().filter(|(name, _)| *name != "job");
        let words = own_fields.map(|(name, value)| match value {
            Value::String(text) if !text.contains(' ') => format!("{name}={text}"),
            other => format!("{name}={other}"),
        });
        words.collect::<Vec<_>>().join(" ")
    }
}

/// Reads lines of any number of daemons and puts them in the order of time.
pub fn read<'a>(texts: impl IntoIterator<Item = &'a str>) -> (Vec<Line>, Unread) {
    let (mut lines, mut unread) = (Vec::new(), 0);
    for text in texts.into_iter().filter(|text| !text.trim().is_empty()) {
        match Line::parse(text) {
            Some(line) => lines.push(line),
            None => unread += 1,
        }
    }
    lines.sort_by_key(|line| line.at);
    (lines, unread)
}
