//! Lag of the daemon's timer and stalls of its event loop, from too little CPU time.

use std::time::Duration;

/// Time constant of the exponential moving average.
const AVERAGING_TIME: Duration = Duration::from_millis(800);

/// Longest time between two inputs that is not a stall; some ticks of a follower.
const MAX_INPUT_GAP: Duration = Duration::from_millis(100);

/// Clock that stands still while the event loop is stalled.
///
/// Messages that arrive during a stall are handled after it. The silence of a peer is measured
/// by this clock, so that they are handled before the peer counts as silent.
#[derive(Debug, Default)]
pub(crate) struct LoopClock {
    last_input: Duration,
    elapsed: Duration,
}

impl LoopClock {
    /// Creates a clock that counts from the time of the first input on.
    pub fn new(now: Duration) -> Self {
        Self { last_input: now, elapsed: Duration::ZERO }
    }

    /// Records that an input is handled.
    pub fn record_input(&mut self, now: Duration) {
        self.elapsed += now.saturating_sub(self.last_input).min(MAX_INPUT_GAP);
        self.last_input = now;
    }

    /// Time that has passed without the stalls.
    pub fn now(&self) -> Duration {
        self.elapsed
    }
}

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
