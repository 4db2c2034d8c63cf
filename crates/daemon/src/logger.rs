//! Log output: JSON lines or text on stderr, off the loop's thread.

use std::str::FromStr;

use slog::{Drain, Level, LevelFilter, Logger, o};
use slog_async::{Async, OverflowStrategy};

/// Lines that wait for output before the oldest writers drop theirs.
const QUEUE_LINES: usize = 8192;

/// The form of log lines.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Format {
    /// One JSON object a line.
    #[default]
    Json,
    /// Text for people.
    Text,
}

impl FromStr for Format {
    type Err = &'static str;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "json" => Ok(Self::Json),
            "text" => Ok(Self::Text),
            _ => Err("expected json or text"),
        }
    }
}

/// Starts the log; lines stop where the returned logger and its clones are dropped.
pub fn start(format: Format, level: Level, member: &str) -> Logger {
    let member = member.to_owned();
    match format {
        Format::Json => {
            let drain = slog_json::Json::default(std::io::stderr()).ignore_res();
            Logger::root(queue(drain, level), o!("member" => member))
        }
        Format::Text => {
            let plain = slog_term::PlainDecorator::new(std::io::stderr());
            let drain = slog_term::FullFormat::new(plain).build().ignore_res();
            Logger::root(queue(drain, level), o!("member" => member))
        }
    }
}

fn queue<D>(drain: D, level: Level) -> slog::Fuse<LevelFilter<slog::Fuse<Async>>>
where
    D: Drain<Ok = (), Err = slog::Never> + Send + 'static,
{
    let queue = Async::new(drain).chan_size(QUEUE_LINES);
    let queue = queue.overflow_strategy(OverflowStrategy::DropAndReport).build().fuse();
    LevelFilter::new(queue, level).fuse()
}
