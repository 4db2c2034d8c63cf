//! Whom to trust: failures that decay, quarantine, and a trial with one task.

use std::time::{Duration, Instant};

/// Failures, weighted by age, that put a worker into quarantine.
const QUARANTINE_SCORE: f64 = 3.0;

/// Time in which a failure loses half of its weight.
const HALF_LIFE: Duration = Duration::from_mins(1);

/// First quarantine; each further one is twice as long.
const QUARANTINE_BASE: Duration = Duration::from_secs(15);

/// Longest quarantine.
const QUARANTINE_MAX: Duration = Duration::from_mins(10);

/// The standing of one worker or executor.
#[derive(Debug, Clone, Default)]
pub struct Health {
    score: f64,
    scored_at: Option<Instant>,
    quarantines: u32,
    until: Option<Instant>,
    is_on_trial: bool,
}

impl Health {
    /// Whether work may go there; in a trial, one piece at a time.
    pub fn allows(&self, now: Instant, running: usize) -> bool {
        match self.until {
            None => true,
            Some(until) if now < until => false,
            Some(_) => !self.is_on_trial && running == 0,
        }
    }

    /// Whether neither quarantine nor trial is in the way, now or later.
    pub fn is_plain(&self) -> bool {
        self.until.is_none()
    }

    /// Notes that work was sent there.
    pub fn sent(&mut self, now: Instant) {
        if self.until.is_some_and(|until| now >= until) {
            self.is_on_trial = true;
        }
    }

    /// Notes that work succeeded there.
    pub fn succeeded(&mut self) {
        self.score /= 2.0;
        self.is_on_trial = false;
        if self.until.take().is_some() {
            self.score = 0.0;
            self.quarantines = 0;
        }
    }

    /// Notes that work ended there with no verdict on the place.
    pub fn withdrawn(&mut self) {
        self.is_on_trial = false;
    }

    /// Notes that work failed there.
    pub fn failed(&mut self, now: Instant) {
        self.score = self.decayed(now) + 1.0;
        self.scored_at = Some(now);
        if self.is_on_trial || self.score >= QUARANTINE_SCORE {
            let length = QUARANTINE_BASE.saturating_mul(1 << self.quarantines.min(8));
            self.until = Some(now + length.min(QUARANTINE_MAX));
            self.quarantines += 1;
            self.is_on_trial = false;
            self.score = 0.0;
        }
    }

    /// Whether it is in quarantine.
    pub fn is_quarantined(&self, now: Instant) -> bool {
        self.until.is_some_and(|until| now < until)
    }

    fn decayed(&self, now: Instant) -> f64 {
        let Some(at) = self.scored_at else {
            return self.score;
        };
        let age = now.saturating_duration_since(at).as_secs_f64();
        self.score * 0.5_f64.powf(age / HALF_LIFE.as_secs_f64())
    }
}
