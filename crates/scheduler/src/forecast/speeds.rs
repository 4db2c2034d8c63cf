//! Speeds of workers, learned from how far their runs deviate from what is expected of them.

use std::time::Duration;

use common::Name;
use lru::LruCache;

use super::MAX_WORKERS;

/// Variance of the logarithm of a speed of which nothing is known: a factor of 1.3 either way.
const PRIOR_VARIANCE: f32 = 0.07;

/// Variance that a speed gains with each run, so that the last 60 or so count.
const VARIANCE_PER_RUN: f32 = 0.000_02;

/// Part of the prior variance, as a divisor, that a speed keeps at least after a restart.
const RESTART_DIVISOR: f32 = 2.0;

/// Runs from which a speed counts.
const MIN_RUNS: u32 = 8;

/// Workers from which speeds are compared.
const MIN_WORKERS: u32 = 8;

/// Ratio of the variance between workers to that of their speeds' errors from which speeds differ,
/// and below which they no longer do.
///
/// The errors alone give a ratio below 1.
const DIFFERENCE_RATIOS: (f64, f64) = (2.5, 1.5);

/// Least deviation between workers, as a logarithm, that is of use.
const MIN_DEVIATION: f64 = 0.05;

/// Weight of a run in the recent speed, and the most that it deviates.
///
/// At 3 in 100 runs that take seven times as long, five of them in a row look like a slow worker.
const RECENT_WEIGHT: f32 = 0.125;
const MAX_DEVIATION: f32 = 1.0;

/// Variance of a deviation above which it counts less in the recent speed.
const RECENT_VARIANCE: f32 = 0.06;

/// Runs from which a worker's former speed is known.
const FORMER_RUNS: u32 = 20;

/// Logarithm of the factor from which a worker is slower than it was: two thirds of its speed.
const SLOWER_THAN_FORMER: f32 = -0.45;

/// Logarithm of the factor from which a worker is slower than the others: half of their speed.
const SLOWER_THAN_OTHERS: f32 = -0.69;

/// Time without runs after which a slow worker is tried again.
const RETRY_AFTER: Duration = Duration::from_secs(30);

/// Speed of a worker.
#[derive(Debug, Clone)]
pub(super) struct Speed {
    /// Its logarithm.
    pub log: f32,
    /// Variance of its error.
    pub variance: f32,
    /// Moving average over the last few runs.
    recent: f32,
    pub runs: u32,
    pub incarnation: u64,
    /// When it last finished a run.
    pub updated_at: Duration,
}

/// Speeds of all workers; the mean of their logarithms is the speed 1.
#[derive(Debug)]
pub(super) struct Speeds {
    workers: LruCache<Name, Speed>,
    /// Number of speeds that count, and sums over them.
    counted: u32,
    sum: f64,
    sum_of_squares: f64,
    sum_of_variances: f64,
    /// Whether they differ beyond what their errors explain.
    differ: bool,
}

impl Speed {
    fn new(incarnation: u64) -> Self {
        let updated_at = Duration::ZERO;
        Self { log: 0.0, variance: PRIOR_VARIANCE, recent: 0.0, runs: 0, incarnation, updated_at }
    }

    /// A speed learned earlier.
    pub fn restored(log: f32, variance: f32, runs: u32, incarnation: u64) -> Self {
        let variance = variance.clamp(0.0, PRIOR_VARIANCE);
        Self { log, variance, recent: log, runs, incarnation, updated_at: Duration::ZERO }
    }

    fn observe(&mut self, deviation: f32, variance: f32) {
        let deviation = (deviation - self.log).clamp(-MAX_DEVIATION, MAX_DEVIATION);
        let weight = RECENT_WEIGHT * (RECENT_VARIANCE / variance).min(1.0);
        self.recent += (self.log + deviation - self.recent) * weight;
        let gain = self.variance / (self.variance + variance);
        self.log += gain * deviation;
        self.variance *= 1.0 - gain;
        self.variance = (self.variance + VARIANCE_PER_RUN).min(PRIOR_VARIANCE);
        self.runs = self.runs.saturating_add(1);
    }

    fn restart(&mut self, incarnation: u64) {
        self.incarnation = incarnation;
        self.recent = self.log;
        self.variance = self.variance.max(PRIOR_VARIANCE / RESTART_DIVISOR);
    }

    fn is_slower_than_former(&self) -> bool {
        self.runs >= FORMER_RUNS && self.recent < self.log + SLOWER_THAN_FORMER
    }

    /// Its present logarithm.
    fn present(&self) -> f32 {
        if self.is_slower_than_former() { self.recent } else { self.log }
    }
}

impl Default for Speeds {
    fn default() -> Self {
        Self {
            workers: LruCache::unbounded(),
            counted: 0,
            sum: 0.0,
            sum_of_squares: 0.0,
            sum_of_variances: 0.0,
            differ: false,
        }
    }
}

impl Speeds {
    /// Records how much faster than expected a run was, as a logarithm with its variance.
    pub fn observe(
        &mut self,
        worker: &Name,
        incarnation: u64,
        deviation: f32,
        variance: f32,
        now: Duration,
    ) {
        let mut speed = self.take(worker).unwrap_or_else(|| Speed::new(incarnation));
        if speed.incarnation != incarnation {
            speed.restart(incarnation);
        }
        speed.observe(deviation + self.mean(), variance);
        speed.updated_at = now;
        self.insert(worker.clone(), speed);
    }

    /// Adds a worker's speed and makes it the latest one.
    pub fn insert(&mut self, worker: Name, speed: Speed) {
        self.take(&worker);
        self.count(&speed, 1.0);
        self.workers.put(worker, speed);
        if self.workers.len() > MAX_WORKERS
            && let Some((_, evicted)) = self.workers.pop_lru()
        {
            self.count(&evicted, -1.0);
        }
        self.compare();
    }

    fn take(&mut self, worker: &Name) -> Option<Speed> {
        let speed = self.workers.pop(worker)?;
        self.count(&speed, -1.0);
        Some(speed)
    }

    /// Adds a speed to the sums, or subtracts it.
    fn count(&mut self, speed: &Speed, sign: f64) {
        if speed.runs < MIN_RUNS {
            return;
        }
        self.counted = if sign > 0.0 { self.counted + 1 } else { self.counted - 1 };
        if self.counted == 0 {
            (self.sum, self.sum_of_squares, self.sum_of_variances) = (0.0, 0.0, 0.0);
            return;
        }
        let log = f64::from(speed.log);
        self.sum += sign * log;
        self.sum_of_squares += sign * log * log;
        self.sum_of_variances += sign * f64::from(speed.variance);
    }

    /// Mean of the logarithms.
    fn mean(&self) -> f32 {
        if self.counted == 0 { 0.0 } else { (self.sum / f64::from(self.counted)) as f32 }
    }

    fn compare(&mut self) {
        if self.counted < MIN_WORKERS {
            self.differ = false;
            return;
        }
        let count = f64::from(self.counted);
        let variance = self.sum_of_squares / count - (self.sum / count).powi(2);
        let ratio = variance / (self.sum_of_variances / count);
        let (on, off) = DIFFERENCE_RATIOS;
        let is_of_use = variance > MIN_DEVIATION * MIN_DEVIATION;
        self.differ = is_of_use && ratio > if self.differ { off } else { on };
    }

    /// Whether speeds differ beyond what their errors explain.
    pub fn differ(&self) -> bool {
        self.differ
    }

    /// Logarithm of a worker's speed; 0 if it is unknown or speeds do not differ.
    pub fn log(&self, worker: &str) -> f32 {
        let speed = if self.differ { self.workers.peek(worker) } else { None };
        let speed = speed.filter(|speed| speed.runs >= MIN_RUNS);
        speed.map_or(0.0, |speed| speed.present() - self.mean())
    }

    /// Whether a worker is far slower than the others, or than it was.
    pub fn is_slow(&self, worker: &str, now: Duration) -> bool {
        let Some(speed) = self.workers.peek(worker) else { return false };
        if speed.runs < MIN_RUNS || now > speed.updated_at + RETRY_AFTER {
            return false;
        }
        let relative = speed.present() - self.mean();
        let is_certain = relative < -4.0 * speed.variance.sqrt();
        let is_outlier = self.counted >= MIN_WORKERS && relative < SLOWER_THAN_OTHERS && is_certain;
        speed.is_slower_than_former() || is_outlier
    }

    /// Workers with their speeds, the latest first.
    pub fn iter(&self) -> impl ExactSizeIterator<Item = (&Name, &Speed)> {
        self.workers.iter()
    }

    /// Logarithm of a speed relative to the others.
    pub fn relative(&self, speed: &Speed) -> f32 {
        speed.present() - self.mean()
    }
}
