//! What a payload asks the stand-in to do: words such as `ms=200`, `fail`, `once`.

use std::time::Duration;

/// The work that a payload describes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Work {
    /// How long it takes; none stands for work that never ends.
    pub length: Option<Duration>,
    /// Whether it fails.
    pub fails: bool,
    /// Whether the caller holds it to be not repeatable.
    pub is_once: bool,
}

/// Reads a payload; words that are not known are ignored.
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
