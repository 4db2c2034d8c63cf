//! Health of workers and executors.
//!
//! Each failure adds to a score that decays over time. A score at the threshold leads to
//! quarantine, and one trial task after it decides whether the quarantine ends.

use std::time::{Duration, Instant};

/// Failure score at which quarantine begins; one failure adds 1.
const QUARANTINE_THRESHOLD: f64 = 3.0;

/// Time after which a failure counts half.
const FAILURE_HALF_LIFE: Duration = Duration::from_mins(1);

/// Length of the first quarantine; each further one in a row is twice as long.
const INITIAL_QUARANTINE: Duration = Duration::from_secs(15);

/// Maximum length of a quarantine.
const MAX_QUARANTINE: Duration = Duration::from_mins(10);

/// Failure score and quarantine of one worker or executor.
#[derive(Debug, Clone, Default)]
pub struct Health {
    /// Score at the time of the last failure, halved by each success since.
    failure_score: f64,
    last_failure_at: Option<Instant>,
    /// Quarantines since the last successful trial.
    consecutive_quarantines: u32,
    /// End of the quarantine; `None` once a task has succeeded after it.
    quarantined_until: Option<Instant>,
    /// Whether a trial task was sent after the quarantine and has not ended.
    has_trial_task: bool,
}

impl Health {
    /// Whether new work is allowed; after a quarantine, one task at a time.
    pub fn allows(&self, now: Instant, running: usize) -> bool {
        match self.quarantined_until {
            None => true,
            Some(until) if now < until => false,
            Some(_) => !self.has_trial_task && running == 0,
        }
    }

    /// Whether it is neither in quarantine nor due for a trial.
    pub fn is_unrestricted(&self) -> bool {
        self.quarantined_until.is_none()
    }

    /// Records that a task was sent; after a quarantine it is the trial task.
    pub fn record_dispatch(&mut self, now: Instant) {
        if self.quarantined_until.is_some_and(|until| now >= until) {
            self.has_trial_task = true;
        }
    }

    /// Records a success, which halves the score and ends any quarantine.
    pub fn record_success(&mut self) {
        self.failure_score /= 2.0;
        self.has_trial_task = false;
        if self.quarantined_until.take().is_some() {
            self.failure_score = 0.0;
            self.consecutive_quarantines = 0;
        }
    }

    /// Records that work ended without evidence for or against its health.
    pub fn record_inconclusive(&mut self) {
        self.has_trial_task = false;
    }

    /// Records a failure, which may start a quarantine.
    pub fn record_failure(&mut self, now: Instant) {
        self.failure_score = self.decayed_score(now) + 1.0;
        self.last_failure_at = Some(now);
        if self.has_trial_task || self.failure_score >= QUARANTINE_THRESHOLD {
            let length =
                INITIAL_QUARANTINE.saturating_mul(1 << self.consecutive_quarantines.min(8));
            self.quarantined_until = Some(now + length.min(MAX_QUARANTINE));
            self.consecutive_quarantines += 1;
            self.has_trial_task = false;
            self.failure_score = 0.0;
        }
    }

    /// Whether a quarantine is in force at `now`.
    pub fn is_quarantined(&self, now: Instant) -> bool {
        self.quarantined_until.is_some_and(|until| now < until)
    }

    /// Failure score after decay since the last failure.
    fn decayed_score(&self, now: Instant) -> f64 {
        let Some(failed_at) = self.last_failure_at else {
            return self.failure_score;
        };
        let age = now.saturating_duration_since(failed_at).as_secs_f64();
        self.failure_score * 0.5_f64.powf(age / FAILURE_HALF_LIFE.as_secs_f64())
    }
}
