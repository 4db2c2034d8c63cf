//! Run times and advice results observed in each queue.

use std::collections::HashMap;
use std::time::Duration;

use common::Name;

/// Weight of a new run time in the moving average.
///
/// An advice result has twice this weight.
const OBSERVATION_WEIGHT: f64 = 0.05;

/// Run time assumed if the caller gave no estimate.
const DEFAULT_RUN_TIME: Duration = Duration::from_secs(1);

/// Moving averages of run times and advice results, by queue.
#[derive(Debug, Default)]
pub struct Estimator {
    /// Measured run time divided by the estimate.
    run_time_factors: HashMap<Name, f64>,
    /// Share of workers named for the first time that advice allowed.
    allowed_shares: HashMap<Name, f64>,
}

/// Share of allowed workers assumed before the first advice.
const DEFAULT_ALLOWED_SHARE: f64 = 0.5;

impl Estimator {
    /// Expected run time of a task; `estimate_ms` is 0 if the caller gave none.
    pub fn run_time(&self, queue: &str, estimate_ms: u32) -> Duration {
        let base = match estimate_ms {
            0 => DEFAULT_RUN_TIME,
            ms => Duration::from_millis(ms.into()),
        };
        base.mul_f64(self.run_time_factors.get(queue).copied().unwrap_or(1.0))
    }

    /// Records the run time of a successful run.
    pub fn observe_run(&mut self, queue: &Name, estimate_ms: u32, measured: Duration) {
        if estimate_ms == 0 {
            return;
        }
        let ratio = measured.as_secs_f64() * 1000.0 / f64::from(estimate_ms);
        let factor = self.run_time_factors.entry(queue.clone()).or_insert(1.0);
        *factor += (ratio.clamp(0.1, 10.0) - *factor) * OBSERVATION_WEIGHT;
    }

    /// Expected share of workers that advice allows, from 0.05 to 1.
    pub fn allowed_share(&self, queue: &str) -> f64 {
        self.allowed_shares.get(queue).copied().unwrap_or(DEFAULT_ALLOWED_SHARE)
    }

    /// Records how many of the workers named for the first time an advice call allowed.
    pub fn observe_advice(&mut self, queue: &Name, named: usize, allowed: usize) {
        if named == 0 {
            return;
        }
        let ratio = allowed as f64 / named as f64;
        let share = self.allowed_shares.entry(queue.clone()).or_insert(ratio.clamp(0.1, 1.0));
        *share += (ratio - *share) * OBSERVATION_WEIGHT * 2.0;
        *share = share.clamp(0.05, 1.0);
    }
}
