//! Structured log on standard output, written by a separate thread.

use std::fmt;
use std::sync::mpsc;
use std::time::Duration;

use slog::{Drain, Logger, o};
use slog_async::{Async, AsyncGuard, OverflowStrategy};

/// Most log lines queued for output; further ones are dropped and their number is logged.
const MAX_QUEUED_LINES: usize = 4096;

/// Longest wait for queued lines to be written at exit; a reader of standard output that
/// has stopped reading must not block the exit.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(300);

/// Log writer of the process; logging never blocks the event loop.
pub struct Log {
    /// Logger that queues lines for the writer.
    pub logger: Logger,
    guard: AsyncGuard,
}

impl fmt::Debug for Log {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Log").finish_non_exhaustive()
    }
}

impl Log {
    /// Starts the writer; each line is a JSON object with the daemon's name.
    pub fn start(member: &str) -> Self {
        let drain = slog_json::Json::new(std::io::stdout()).add_default_keys().build().ignore_res();
        let drain = Async::new(drain).chan_size(MAX_QUEUED_LINES);
        let drain = drain.overflow_strategy(OverflowStrategy::DropAndReport);
        let (drain, guard) = drain.build_with_guard();
        let logger = Logger::root(drain.ignore_res(), o!("member" => member.to_owned()));
        Self { logger, guard }
    }

    /// Writes the queued lines, giving up after a short timeout.
    pub fn finish(self) {
        let (flushed, flush_result) = mpsc::channel();
        let guard = self.guard;
        std::thread::spawn(move || {
            drop(guard);
            // Sending fails if the timeout has passed.
            let _ = flushed.send(());
        });
        // Lines that are not written by the timeout are lost.
        let _ = flush_result.recv_timeout(FLUSH_TIMEOUT);
    }
}
