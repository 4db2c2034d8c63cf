//! What the finished runs of one kind of step show: two predictors of the next run time and their
//! errors.
//!
//! All times are logarithms of ms, of a worker of speed 1.

use super::Source;
use super::histogram::Histogram;

/// Buckets of run times: 16 ms to 20 hours.
const TIME_BUCKETS: usize = 192;
const MIN_TIME: f32 = 2.77;

/// Buckets of ratios of run times to estimates: a factor of 24 either way.
const RATIO_BUCKETS: usize = 80;
const MIN_RATIO: f32 = -3.2;

/// Runs from which a history counts.
pub(super) const MIN_RUNS: u32 = 20;

/// Weight from which a history counts; the runs of one large step do not reach it.
const MIN_WEIGHT: f32 = 8.0;

/// Weight of observations from which a predictor predicts and its error is measured.
const MIN_PREDICTOR_WEIGHT: f32 = 3.0;

/// Most steps over which errors are averaged.
const ERROR_STEPS: u32 = 32;

/// Most error of a prediction that counts, as a logarithm, so that single runs do not decide.
const MAX_ERROR: f32 = 1.5;

/// Steps from which the error of a predictor is known, and the variance assumed before.
const MIN_ERROR_STEPS: u32 = 8;
const UNMEASURED_VARIANCE: f32 = 0.36;

/// Least difference between errors that is of use, as a logarithm.
const MIN_GAIN: f32 = 0.1;

/// Standard errors by which a gain must exceed 0.
const GAIN_CERTAINTY: f32 = 2.0;

/// Weight of a step in the shift of the predictions, and the most that it shifts them.
const SHIFT_WEIGHT: f32 = 0.125;
const MAX_SHIFT: f32 = 1.0;

/// Shift from which the work has changed, if it exceeds the usual error too.
const CHANGED_WORK_SHIFT: f32 = 0.3;

/// Weight that earlier runs keep once the work has changed.
const KEPT_WEIGHT: f32 = 6.0;

/// Deviation of the runs of one step from each other that is assumed at first.
const STEP_DEVIATION: f32 = 0.2;

/// Weight of a run in the deviation of the runs of one step.
const STEP_DEVIATION_WEIGHT: f32 = 1.0 / 64.0;

/// Latest steps of which the level of run times is kept.
const STEPS: usize = 8;

/// Ratio of a standard deviation to a mean absolute error.
const DEVIATION_PER_ERROR: f32 = 1.25;

/// How far a predictor was off lately, and by how much it beats the assumption.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Score {
    /// Mean absolute error.
    pub error: f32,
    /// Mean of the differences between the error of the assumption and its own, and of their squares.
    pub gain: f32,
    pub gain_square: f32,
    /// Number of steps, up to the maximum.
    pub steps: u32,
}

/// Run times of one step: a mean with the precision, the inverse of its variance.
#[derive(Debug, Clone, Copy, Default)]
struct Level {
    step: u64,
    mean: f32,
    precision: f32,
    runs: u32,
    /// Identifies the worker of the latest run.
    worker: u64,
}

/// What is expected of a run, as a logarithm with its variance.
#[derive(Debug, Clone, Copy)]
pub(super) struct Expectation {
    pub mean: f32,
    pub variance: f32,
}

/// A finished run.
#[derive(Debug, Clone, Copy)]
pub(super) struct Finished {
    /// Identifies its step.
    pub step: u64,
    /// Number of tasks of the step.
    pub tasks: u32,
    /// Identifies its worker.
    pub worker: u64,
    /// Its run time.
    pub time: f32,
    /// The caller's estimate, if any.
    pub estimate: Option<f32>,
    /// The run time assumed without a history.
    pub assumed: f32,
}

/// Finished runs of a kind.
#[derive(Debug, Clone)]
pub(super) struct History {
    pub runs: u32,
    pub times: Histogram<TIME_BUCKETS>,
    pub ratios: Histogram<RATIO_BUCKETS>,
    pub time_score: Score,
    pub ratio_score: Score,
    /// Moving average of how much longer runs take than predicted.
    shift: f32,
    /// Mean absolute deviation of runs from the level of their step.
    step_error: f32,
    /// Levels of the latest steps, and the index of the one to replace next.
    levels: [Level; STEPS],
    next_level: usize,
}

impl Score {
    fn record(&mut self, error: f32, assumed_error: f32) {
        self.steps = (self.steps + 1).min(ERROR_STEPS);
        let weight = 1.0 / self.steps as f32;
        let gain = assumed_error - error;
        self.error += (error - self.error) * weight;
        self.gain += (gain - self.gain) * weight;
        self.gain_square += (gain * gain - self.gain_square) * weight;
    }

    /// Whether the predictor beats the assumption beyond chance.
    fn is_better(&self) -> bool {
        let variance = (self.gain_square - self.gain * self.gain).max(0.0);
        let standard_error = (variance / self.steps.max(1) as f32).sqrt();
        self.gain > MIN_GAIN.max(GAIN_CERTAINTY * standard_error)
    }
}

impl History {
    pub fn new() -> Self {
        Self {
            runs: 0,
            times: Histogram::new(MIN_TIME),
            ratios: Histogram::new(MIN_RATIO),
            time_score: Score::default(),
            ratio_score: Score::default(),
            shift: 0.0,
            step_error: STEP_DEVIATION / DEVIATION_PER_ERROR,
            levels: [Level::default(); STEPS],
            next_level: 0,
        }
    }

    /// Whether it has enough runs, of several steps.
    pub fn is_sufficient(&self) -> bool {
        self.runs >= MIN_RUNS && self.times.weight() >= MIN_WEIGHT
    }

    /// The predictor with the smaller error; `None` if the assumption is as good.
    pub fn predictor(&self, has_estimate: bool) -> Option<Source> {
        let best = self.best(has_estimate);
        let score = if best == Source::History { &self.time_score } else { &self.ratio_score };
        score.is_better().then_some(best)
    }

    /// Whether predictions differ from the assumption, with or without an estimate.
    pub fn is_corrected(&self) -> bool {
        self.is_sufficient() && (self.predictor(true).is_some() || self.predictor(false).is_some())
    }

    fn best(&self, has_estimate: bool) -> Source {
        let is_ratio = has_estimate
            && self.ratio_score.steps > 0
            && self.ratio_score.error < self.time_score.error;
        if is_ratio { Source::Ratio } else { Source::History }
    }

    /// What the better predictor says of a run's time; `None` with too few runs.
    pub fn expectation(&self, estimate: Option<f32>) -> Option<Expectation> {
        let (mean, score) = match (self.best(estimate.is_some()), estimate) {
            (Source::Ratio, Some(estimate)) => (self.ratios.median() + estimate, self.ratio_score),
            _ => (self.times.median(), self.time_score),
        };
        let variance = (score.error * DEVIATION_PER_ERROR).powi(2);
        let is_measured = score.steps >= MIN_ERROR_STEPS;
        let variance = if is_measured { variance } else { variance.max(UNMEASURED_VARIANCE) };
        (score.steps > 0).then_some(Expectation { mean, variance })
    }

    /// Variance of the runs of one step.
    fn step_variance(&self) -> f32 {
        (self.step_error * DEVIATION_PER_ERROR).max(0.02).powi(2)
    }

    fn is_first(&self, step: u64) -> bool {
        self.levels.iter().all(|level| level.runs == 0 || level.step != step)
    }

    /// What is expected of a run, given the earlier runs of its step.
    ///
    /// `None` if the latest of those ran on the same worker, so that they say nothing of its speed.
    pub fn step_expectation(&self, run: &Finished, prior: Expectation) -> Option<Expectation> {
        let variance = self.step_variance();
        let known = self.levels.iter().find(|level| level.runs > 0 && level.step == run.step);
        let Some(level) = known else {
            let mean = prior.mean + self.shift;
            return Some(Expectation { mean, variance: prior.variance.max(variance) });
        };
        let variance = variance + 1.0 / level.precision;
        (level.worker != run.worker).then_some(Expectation { mean: level.mean, variance })
    }

    /// Records a run.
    pub fn record(&mut self, run: &Finished, prior: Expectation) {
        let is_first = self.is_first(run.step);
        if is_first {
            self.record_errors(run);
        }
        self.record_level(run, prior);
        self.runs = self.runs.saturating_add(1);
        // The runs of a large step are alike, so they count less than those of as many steps.
        let tasks = run.tasks.max(1) as f32;
        let weight = ((1.0 + tasks.ln()) / tasks).max(0.125);
        self.times.add(run.time, weight);
        if let Some(estimate) = run.estimate {
            self.ratios.add(run.time - estimate, weight);
        }
    }

    /// Compares the predictors on the first run of a step, of which they know nothing yet.
    fn record_errors(&mut self, run: &Finished) {
        let error = |predicted: f32| (run.time - predicted).abs().min(MAX_ERROR);
        let assumed_error = error(run.assumed);
        if self.times.weight() < MIN_PREDICTOR_WEIGHT {
            return;
        }
        let best = self.expectation(run.estimate);
        self.time_score.record(error(self.times.median()), assumed_error);
        if let Some(estimate) = run.estimate
            && self.ratios.weight() >= MIN_PREDICTOR_WEIGHT
        {
            self.ratio_score.record(error(self.ratios.median() + estimate), assumed_error);
        }
        let Some(best) = best else { return };
        let shift = (run.time - best.mean).clamp(-MAX_SHIFT, MAX_SHIFT);
        self.shift += (shift - self.shift) * SHIFT_WEIGHT;
        let usual_error = best.variance.sqrt() / DEVIATION_PER_ERROR;
        if self.shift.abs() > CHANGED_WORK_SHIFT.max(usual_error) {
            self.shift = 0.0;
            self.times.reduce_to(KEPT_WEIGHT);
            self.ratios.reduce_to(KEPT_WEIGHT);
        }
    }

    /// Updates the level of a run's step.
    fn record_level(&mut self, run: &Finished, prior: Expectation) {
        let variance = self.step_variance();
        let known = self.levels.iter().position(|level| level.runs > 0 && level.step == run.step);
        let index = known.unwrap_or_else(|| {
            let index = self.next_level;
            self.next_level = (index + 1) % STEPS;
            let between = (prior.variance - variance).max(0.0025);
            let mean = prior.mean + self.shift;
            let precision = 1.0 / between;
            self.levels[index] = Level { step: run.step, mean, precision, ..Level::default() };
            index
        });
        let level = &mut self.levels[index];
        let deviation = (run.time - level.mean).clamp(-MAX_SHIFT, MAX_SHIFT);
        if level.runs >= 2 {
            self.step_error += (deviation.abs() - self.step_error) * STEP_DEVIATION_WEIGHT;
        }
        level.precision += 1.0 / variance;
        level.mean += deviation / (variance * level.precision);
        level.runs = level.runs.saturating_add(1);
        level.worker = run.worker;
    }
}
