//! How late a daemon's timer fires: the sign of a processor that cannot keep up.

use std::time::Duration;

/// Time over which lateness is averaged.
const MEMORY: Duration = Duration::from_millis(800);

/// Mean lateness of the ticks.
#[derive(Debug, Default)]
pub(crate) struct Lag {
    due: Option<Duration>,
    last: Duration,
    mean: Duration,
}

impl Lag {
    /// Takes a tick; the next one is due after a pause.
    pub fn tick(&mut self, now: Duration, pause: Duration) {
        if let Some(due) = self.due {
            let late = now.saturating_sub(due);
            let span = now.saturating_sub(self.last).as_secs_f64();
            let weight = 1.0 - (-span / MEMORY.as_secs_f64()).exp();
            let mean = self.mean.as_secs_f64();
            self.mean = Duration::from_secs_f64(mean + (late.as_secs_f64() - mean) * weight);
        }
        self.last = now;
        self.due = Some(now + pause);
    }

    /// Forgets what was measured, for example after a suspension.
    pub fn reset(&mut self) {
        *self = Self::default();
    }

    /// The mean lateness.
    pub fn mean(&self) -> Duration {
        self.mean
    }
}
