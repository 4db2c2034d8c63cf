//! Lag of the daemon's timer, which grows when the process gets too little CPU time.

use std::time::Duration;

/// Time constant of the exponential moving average.
const AVERAGING_TIME: Duration = Duration::from_millis(800);

/// Exponential moving average of the delay between due and actual ticks.
#[derive(Debug, Default)]
pub(crate) struct TimerLag {
    next_due: Option<Duration>,
    last_tick: Duration,
    mean: Duration,
}

impl TimerLag {
    /// Records a tick; the next one is due after `pause`.
    pub fn record_tick(&mut self, now: Duration, pause: Duration) {
        if let Some(due) = self.next_due {
            let late = now.saturating_sub(due);
            let span = now.saturating_sub(self.last_tick).as_secs_f64();
            let weight = 1.0 - (-span / AVERAGING_TIME.as_secs_f64()).exp();
            let mean = self.mean.as_secs_f64();
            self.mean = Duration::from_secs_f64(mean + (late.as_secs_f64() - mean) * weight);
        }
        self.last_tick = now;
        self.next_due = Some(now + pause);
    }

    /// Discards all measurements, for example after a suspension of the process.
    pub fn reset(&mut self) {
        *self = Self::default();
    }

    /// Mean lag; zero before the second tick.
    pub fn mean(&self) -> Duration {
        self.mean
    }
}
