//! Which jobs' lines are logged when there are more lines than the budget allows.
//!
//! A job is chosen by a hash of its id, the same on each daemon, so that a chosen job's
//! lines are all there. The share of jobs that is chosen falls as the lines go over the
//! budget and rises again slowly.

use std::time::Duration;

/// Lines about jobs that a daemon logs in a second, roughly; at 250 bytes each, 75 KB.
const LINES: u32 = 300;

/// Period over which lines are counted.
const PERIOD: Duration = Duration::from_secs(1);

/// Smallest share of the jobs that is logged, in percent.
const LEAST_PERCENT: u64 = 4;

/// Decides which lines are logged.
#[derive(Debug)]
pub(crate) struct Sampler {
    percent: u64,
    began: Duration,
    lines: u32,
    left_out: u64,
}

impl Sampler {
    /// Everything is logged at first.
    pub fn new() -> Self {
        Self { percent: 100, began: Duration::ZERO, lines: 0, left_out: 0 }
    }

    /// Whether a line about a job is logged.
    pub fn takes(&mut self, job: &str, now: Duration) -> bool {
        if now >= self.began + PERIOD {
            self.adapt();
            self.began = now;
        }
        let is_chosen = common::stable_hash(job.as_bytes()) % 100 < self.percent;
        if is_chosen {
            self.lines += 1;
            if self.lines > LINES {
                self.adapt();
            }
        } else {
            self.left_out += 1;
        }
        is_chosen
    }

    fn adapt(&mut self) {
        if self.lines > LINES {
            self.percent = (self.percent / 2).max(LEAST_PERCENT);
        } else if self.lines < LINES / 3 {
            self.percent = (self.percent * 2).min(100);
        }
        self.lines = 0;
    }

    /// Lines left out since the last call.
    pub fn take_left_out(&mut self) -> u64 {
        std::mem::take(&mut self.left_out)
    }
}
