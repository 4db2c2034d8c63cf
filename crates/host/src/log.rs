//! Structured logs on standard output, written by a thread of their own.

use std::fmt;
use std::sync::mpsc;
use std::time::Duration;

use slog::{Drain, Logger, o};
use slog_async::{Async, AsyncGuard, OverflowStrategy};

/// Lines that wait for output before further ones are dropped.
const WAITING_LINES: usize = 4096;

/// How long the last lines may take at the end of the process; a reader that has stopped
/// reading takes none.
const LAST_LINES: Duration = Duration::from_millis(300);

/// The writer of a process's log; the loop never waits for it.
pub struct Log {
    /// Where lines go.
    pub logger: Logger,
    guard: AsyncGuard,
}

impl fmt::Debug for Log {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Log").finish_non_exhaustive()
    }
}

impl Log {
    /// Starts to write JSON lines that carry a daemon's name.
    pub fn start(member: &str) -> Self {
        let drain = slog_json::Json::new(std::io::stdout()).add_default_keys().build().ignore_res();
        let drain = Async::new(drain).chan_size(WAITING_LINES);
        let drain = drain.overflow_strategy(OverflowStrategy::DropAndReport);
        let (drain, guard) = drain.build_with_guard();
        let logger = Logger::root(drain.ignore_res(), o!("member" => member.to_owned()));
        Self { logger, guard }
    }

    /// Writes the lines that wait, if somebody reads them.
    pub fn finish(self) {
        let (done, is_done) = mpsc::channel();
        let guard = self.guard;
        std::thread::spawn(move || {
            drop(guard);
            // Nobody waits any longer where the lines took too long.
            let _ = done.send(());
        });
        // Lines that nobody reads are lost with the process.
        let _ = is_done.recv_timeout(LAST_LINES);
    }
}
