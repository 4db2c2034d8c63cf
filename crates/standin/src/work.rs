//! Parses payloads: words such as `ms=200`, `forever`, `fail` and `once`.

use std::time::Duration;

/// Behaviour of the work that a payload describes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Work {
    /// How long the work takes; `None` if it never ends.
    pub length: Option<Duration>,
    /// Whether the work fails at its end.
    pub fails: bool,
    /// Whether the caller submitted the work as not repeatable.
    pub is_once: bool,
}

/// Parses a payload; unknown words are ignored, and the default duration is zero.
pub fn parse(payload: &str) -> Work {
    let mut work = Work { length: Some(Duration::ZERO), ..Work::default() };
    for word in payload.split_whitespace() {
        match word.split_once('=') {
            Some(("ms", value)) => {
                let millis = value.parse().unwrap_or(0);
                work.length = Some(Duration::from_millis(millis));
            }
            None if word == "forever" => work.length = None,
            None if word == "fail" => work.fails = true,
            None if word == "once" => work.is_once = true,
            _ => {}
        }
    }
    work
}
