//! Log output on stderr, as JSON lines or text, written by a thread of its own.

use std::str::FromStr;

use slog::{Drain, Level, LevelFilter, Logger, o};
use slog_async::{Async, OverflowStrategy};

/// Maximum number of lines queued for output; further lines are dropped and counted in the log.
const QUEUE_LINES: usize = 8192;

/// Format of log lines.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Format {
    /// One JSON object per line.
    #[default]
    Json,
    /// Human-readable text.
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

/// Starts the log; it ends when the returned logger and all its clones are dropped.
pub fn start(format: Format, level: Level, member: &str) -> Logger {
    let member = member.to_owned();
    match format {
        Format::Json => {
            let drain = slog_json::Json::default(std::io::stderr()).ignore_res();
            Logger::root(async_drain(drain, level), o!("member" => member))
        }
        Format::Text => {
            let plain = slog_term::PlainDecorator::new(std::io::stderr());
            let drain = slog_term::FullFormat::new(plain).build().ignore_res();
            Logger::root(async_drain(drain, level), o!("member" => member))
        }
    }
}

/// Drain that drops lines below the level and queues the rest for the output thread.
fn async_drain<D>(drain: D, level: Level) -> slog::Fuse<LevelFilter<slog::Fuse<Async>>>
where
    D: Drain<Ok = (), Err = slog::Never> + Send + 'static,
{
    let queue = Async::new(drain).chan_size(QUEUE_LINES);
    let queue = queue.overflow_strategy(OverflowStrategy::DropAndReport).build().fuse();
    LevelFilter::new(queue, level).fuse()
}
