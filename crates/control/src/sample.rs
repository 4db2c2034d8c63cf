//! Which jobs' lines are logged when there are more lines than the budget allows.
//!
//! A job is chosen when its first line comes, by a hash of its id that is the same on each
//! daemon, and stays chosen to its end. The share of new jobs that is chosen falls as the
//! chosen ones are expected to go over the budget, and rises again slowly.

use std::collections::HashMap;
use std::time::Duration;

/// Lines about jobs that a daemon logs in a second, roughly; at 250 bytes each, 37 KB.
const LINES: u32 = 150;

/// Lines in a second above which even chosen jobs lose lines, so that a flood stays bounded.
const MOST_LINES: u32 = 4 * LINES;

/// Period over which lines are counted.
const PERIOD: Duration = Duration::from_secs(1);

/// Shares are in thousandths.
const WHOLE: u64 = 1000;

/// Smallest share of the jobs that is logged.
const LEAST_SHARE: u64 = 2;

/// Lines of a job before any has ended.
const FIRST_GUESS: f64 = 10.0;

/// Weight of a job that has ended in the running mean of lines a job.
const WEIGHT: f64 = 0.05;

/// Jobs remembered at the most; above that, a job's lines may be there in part.
const MOST_KNOWN: usize = 20_000;

/// Decides which lines are logged.
#[derive(Debug)]
pub struct Sampler {
    share: u64,
    began: Duration,
    /// Lines logged in the period.
    lines: u32,
    /// Lines that the jobs chosen in the period are expected to write.
    expected: f64,
    lines_a_job: f64,
    /// Jobs seen and not ended, by hash: the number of lines of those that are chosen.
    known: HashMap<u64, Option<u32>>,
    left_out: u64,
}

impl Default for Sampler {
    fn default() -> Self {
        Self::new()
    }
}

impl Sampler {
    /// Everything is logged at first.
    pub fn new() -> Self {
        Self {
            share: WHOLE,
            began: Duration::ZERO,
            lines: 0,
            expected: 0.0,
            lines_a_job: FIRST_GUESS,
            known: HashMap::new(),
            left_out: 0,
        }
    }

    /// Whether a line about a job is logged.
    pub fn takes(&mut self, job: &str, now: Duration) -> bool {
        if now >= self.began + PERIOD {
            self.begin_period(now);
        }
        let is_taken = self.is_chosen(job) && self.lines < MOST_LINES;
        if is_taken {
            self.lines += 1;
        } else {
            self.left_out += 1;
        }
        is_taken
    }

    fn is_chosen(&mut self, job: &str) -> bool {
        let hash = common::stable_hash(job.as_bytes());
        if let Some(known) = self.known.get_mut(&hash) {
            if let Some(lines) = known {
                *lines += 1;
            }
            return known.is_some();
        }
        let is_chosen = hash % WHOLE < self.share;
        if is_chosen {
            self.expect();
        }
        if self.known.len() < MOST_KNOWN {
            self.known.insert(hash, is_chosen.then_some(1));
        }
        is_chosen
    }

    /// Counts a chosen job's lines to come, and chooses fewer where they go over the budget.
    fn expect(&mut self) {
        self.expected += self.lines_a_job;
        if self.expected > f64::from(LINES) {
            self.expected = 0.0;
            self.share = (self.share / 2).max(LEAST_SHARE);
        }
    }

    fn begin_period(&mut self, now: Duration) {
        if self.lines > LINES {
            self.share = (self.share / 2).max(LEAST_SHARE);
        } else if self.lines < LINES / 3 && self.expected < f64::from(LINES / 3) {
            self.share = (self.share * 2).min(WHOLE);
        }
        self.began = now;
        self.lines = 0;
        self.expected = 0.0;
    }

    /// Forgets a job that has ended.
    pub fn forget(&mut self, job: &str) {
        let hash = common::stable_hash(job.as_bytes());
        if let Some(Some(lines)) = self.known.remove(&hash) {
            self.lines_a_job += (f64::from(lines) - self.lines_a_job) * WEIGHT;
        }
    }

    /// Lines left out since the last call.
    pub fn take_left_out(&mut self) -> u64 {
        std::mem::take(&mut self.left_out)
    }
}
