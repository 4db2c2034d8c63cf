//! Sampling of log lines about jobs, by job, to keep within a budget of lines.
//!
//! Whether a job is sampled is decided at its first line, by a hash of its id that is the same
//! on each daemon, and holds until the job ends. The share of new jobs that are sampled is halved
//! whenever the sampled ones are expected to exceed the budget, and doubled at most once per
//! period while there are few lines.

use std::collections::HashMap;
use std::time::Duration;

/// Approximate number of job lines that a daemon logs per period; 37 KB at 250 bytes per line.
const LINE_BUDGET: u32 = 150;

/// Maximum number of job lines per period; above it, lines of sampled jobs are dropped too.
const MAX_LINES: u32 = 4 * LINE_BUDGET;

/// Period to which the line budget applies.
const BUDGET_PERIOD: Duration = Duration::from_secs(1);

/// Share that stands for all jobs; shares are in thousandths.
const SHARE_SCALE: u64 = 1000;

/// Minimum share of jobs that are sampled, in thousandths.
const MIN_SHARE: u64 = 2;

/// Assumed number of lines per job until jobs have ended.
const INITIAL_LINES_PER_JOB: f64 = 10.0;

/// Weight of an ended job in the moving average of lines per job.
const LINES_PER_JOB_WEIGHT: f64 = 0.05;

/// Maximum number of tracked jobs; lines of further jobs may be logged in part.
const MAX_TRACKED_JOBS: usize = 20_000;

/// Decides which lines about jobs are logged.
#[derive(Debug)]
pub struct Sampler {
    /// Share of new jobs that are sampled, in thousandths.
    sampled_share: u64,
    period_start: Duration,
    /// Lines logged in the current period.
    lines_in_period: u32,
    /// Lines expected from the jobs sampled in the current period.
    expected_lines: f64,
    /// Moving average of the lines per sampled job.
    lines_per_job: f64,
    /// Open jobs by hash of their id; the value counts a sampled job's lines.
    tracked_jobs: HashMap<u64, Option<u32>>,
    dropped_lines: u64,
}

impl Default for Sampler {
    fn default() -> Self {
        Self::new()
    }
}

impl Sampler {
    /// Creates a sampler that samples all jobs at first.
    pub fn new() -> Self {
        Self {
            sampled_share: SHARE_SCALE,
            period_start: Duration::ZERO,
            lines_in_period: 0,
            expected_lines: 0.0,
            lines_per_job: INITIAL_LINES_PER_JOB,
            tracked_jobs: HashMap::new(),
            dropped_lines: 0,
        }
    }

    /// Whether to log the start of a run; later runs of a task are always logged.
    pub fn should_log_start(&mut self, job: &str, run: u32, now: Duration) -> bool {
        self.should_log(job, now) || run > 1
    }

    /// Whether to log a line about a job; counts the line.
    pub fn should_log(&mut self, job: &str, now: Duration) -> bool {
        if now >= self.period_start + BUDGET_PERIOD {
            self.start_period(now);
        }
        let is_logged = self.is_job_sampled(job) && self.lines_in_period < MAX_LINES;
        if is_logged {
            self.lines_in_period += 1;
        } else {
            self.dropped_lines += 1;
        }
        is_logged
    }

    /// Whether a job is sampled; decides it for a new job.
    fn is_job_sampled(&mut self, job: &str) -> bool {
        let hash = common::stable_hash(job.as_bytes());
        if let Some(tracked) = self.tracked_jobs.get_mut(&hash) {
            if let Some(lines) = tracked {
                *lines += 1;
            }
            return tracked.is_some();
        }
        let is_sampled = hash % SHARE_SCALE < self.sampled_share;
        if is_sampled {
            self.reserve_lines();
        }
        if self.tracked_jobs.len() < MAX_TRACKED_JOBS {
            self.tracked_jobs.insert(hash, is_sampled.then_some(1));
        }
        is_sampled
    }

    /// Adds the expected lines of a sampled job; halves the share if they exceed the budget.
    fn reserve_lines(&mut self) {
        self.expected_lines += self.lines_per_job;
        if self.expected_lines > f64::from(LINE_BUDGET) {
            self.expected_lines = 0.0;
            self.sampled_share = (self.sampled_share / 2).max(MIN_SHARE);
        }
    }

    /// Starts a new period and adapts the share to the previous one.
    fn start_period(&mut self, now: Duration) {
        if self.lines_in_period > LINE_BUDGET {
            self.sampled_share = (self.sampled_share / 2).max(MIN_SHARE);
        } else if self.lines_in_period < LINE_BUDGET / 3
            && self.expected_lines < f64::from(LINE_BUDGET / 3)
        {
            self.sampled_share = (self.sampled_share * 2).min(SHARE_SCALE);
        }
        self.period_start = now;
        self.lines_in_period = 0;
        self.expected_lines = 0.0;
    }

    /// Stops tracking a job that has ended.
    pub fn end_job(&mut self, job: &str) {
        let hash = common::stable_hash(job.as_bytes());
        if let Some(Some(lines)) = self.tracked_jobs.remove(&hash) {
            self.lines_per_job += (f64::from(lines) - self.lines_per_job) * LINES_PER_JOB_WEIGHT;
        }
    }

    /// Returns the number of lines dropped since the last call.
    pub fn take_dropped_lines(&mut self) -> u64 {
        std::mem::take(&mut self.dropped_lines)
    }
}
