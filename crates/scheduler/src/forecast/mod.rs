//! Run times and speeds of workers, learned from finished runs.
//!
//! A model without a clock and without the scheduler's state. For each kind of step, two predictors
//! compete: the caller's estimate times a learned ratio, and the history of run times alone. A
//! prediction differs from the one assumed without history only if at least 20 runs show that the better
//! predictor beats it. The speed of a worker is learned from how far its runs deviate from what is
//! expected of their steps; the logarithm of a run's time is that of its work minus that of the speed.
//!
//! The number of kinds and workers is bounded; those that finished no run for longest are forgotten.

mod histogram;
mod history;
mod snapshot;
mod speeds;

use std::time::Duration;

use common::Name;
use lru::LruCache;

use histogram::Histogram;
use history::{Expectation, Finished, History};
use speeds::{Speed, Speeds};

pub use snapshot::SnapshotError;

/// Most kinds of steps with a history.
pub const MAX_KINDS: usize = 500;

/// Most workers with a speed.
pub const MAX_WORKERS: usize = 2000;

/// Most queues with a history of their own.
const MAX_QUEUES: usize = 64;

/// Shortest run that counts; the time until it is listed exceeds shorter ones.
const MIN_TIME: Duration = Duration::from_millis(20);

/// Shortest run from which speeds are learned, as the delay of its listing does not depend on them.
const MIN_SPEED_TIME: Duration = Duration::from_millis(200);

/// Variance of the logarithm of a run time of which only the assumption is known.
const ASSUMED_VARIANCE: f32 = 0.36;

/// Slowest and fastest speed that a prediction uses, as a logarithm.
const MAX_SPEED_LOG: f32 = 1.6;

/// Steps whose run times are expected to be alike.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Kind {
    /// Name of the queue.
    pub queue: Name,
    /// Name of the workspace; empty for none.
    pub workspace: Name,
    /// Logarithm to base 2 of the thousandths of a core that a task needs.
    pub cpu_class: u32,
    /// Whether it is a gang.
    pub is_gang: bool,
}

common::key! {
    /// What a prediction relies on.
    pub enum Source {
        /// The estimate and the queue's factor, as without history.
        Assumption,
        /// The estimate times a learned ratio.
        Ratio,
        /// The run times of earlier runs.
        History,
    }
}

/// A run that ended successfully.
#[derive(Debug, Clone, Copy)]
pub struct Sample<'a> {
    /// Kind of its step.
    pub kind: &'a Kind,
    /// Identifies its step.
    pub step: u64,
    /// Number of tasks of the step.
    pub tasks: u32,
    /// Id of its worker.
    pub worker: &'a Name,
    /// Start of the worker's incarnation.
    pub incarnation: u64,
    /// The caller's estimate, in ms; 0 for none.
    pub estimate_ms: u32,
    /// The run time that is assumed without history.
    pub assumed: Duration,
    /// How long it ran.
    pub run_time: Duration,
}

/// Distribution of the logarithm of a run time in ms.
#[derive(Debug, Clone, Copy)]
enum Distribution<'a> {
    Times(&'a Histogram<192>),
    Ratios(&'a Histogram<80>, f32),
}

/// A predicted run time.
#[derive(Debug, Clone, Copy)]
pub struct Prediction<'a> {
    /// The time that half of such runs take at most.
    pub expected: Duration,
    /// What it relies on.
    pub source: Source,
    /// Whether it relies on the runs of all kinds of the queue.
    pub is_of_queue: bool,
    /// Number of runs that it relies on.
    pub runs: u32,
    /// Logarithm of the worker's speed.
    speed: f32,
    distribution: Option<Distribution<'a>>,
}

common::data! {
    /// What is learned of a kind.
    pub struct KindSummary {
        /// The kind; of a queue's history, it has no workspace and the class 0.
        pub kind: Kind,
        /// Whether it is the history of a whole queue.
        pub is_of_queue: bool,
        /// Number of runs.
        pub runs: u32,
        /// Median run time.
        pub median: Duration,
        /// Time that 95 of 100 runs take at most.
        pub high: Duration,
        /// Median ratio of a run time to its estimate.
        pub ratio: f64,
        /// Mean error of the estimate times the ratio, as a share.
        pub ratio_error: f64,
        /// Mean error of the history, as a share.
        pub history_error: f64,
        /// What predictions of steps with an estimate rely on.
        pub source: Source,
    }

    /// Sizes of the model.
    pub struct Counts {
        /// Kinds.
        pub kinds: usize,
        /// Kinds whose predictions differ from the assumption.
        pub corrected_kinds: usize,
        /// Queues with a history of their own.
        pub queues: usize,
        /// Workers.
        pub workers: usize,
        /// Workers that are far slower than the others, or than they were.
        pub slow_workers: usize,
    }

    /// What is learned of a worker.
    pub struct SpeedSummary {
        /// Id of the worker.
        pub worker: Name,
        /// Its speed relative to the others.
        pub speed: f64,
        /// Standard deviation of the speed's error, as a share.
        pub deviation: f64,
        /// Number of runs.
        pub runs: u32,
        /// When it last finished a run.
        pub updated_at: Duration,
        /// Whether it is far slower than the others, or than it was.
        pub is_slow: bool,
    }
}

/// The model.
#[derive(Debug)]
pub struct Forecast {
    kinds: LruCache<Kind, History>,
    queues: LruCache<Name, History>,
    /// Histories among them whose predictions differ from the assumption.
    corrected: usize,
    speeds: Speeds,
}

impl Kind {
    /// The kind of a step whose tasks need `cpu` thousandths of a core.
    pub fn new(queue: Name, workspace: Name, cpu: u32, is_gang: bool) -> Self {
        Self { queue, workspace, cpu_class: cpu.max(1).ilog2(), is_gang }
    }
}

impl Source {
    /// Its name in views and logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Assumption => "estimate",
            Self::Ratio => "corrected estimate",
            Self::History => "history",
        }
    }
}

impl Distribution<'_> {
    fn quantile(&self, share: f32) -> f32 {
        match self {
            Self::Times(times) => times.quantile(share),
            Self::Ratios(ratios, estimate) => ratios.quantile(share) + estimate,
        }
    }

    fn median(&self) -> f32 {
        match self {
            Self::Times(times) => times.median(),
            Self::Ratios(ratios, estimate) => ratios.median() + estimate,
        }
    }

    fn median_above(&self, value: f32) -> Option<f32> {
        match self {
            Self::Times(times) => times.median_above(value),
            Self::Ratios(ratios, estimate) => {
                ratios.median_above(value - estimate).map(|ratio| ratio + estimate)
            }
        }
    }
}

impl Prediction<'_> {
    /// The assumption, without a history.
    pub fn assumed(run_time: Duration) -> Self {
        Self {
            expected: run_time,
            source: Source::Assumption,
            is_of_queue: false,
            runs: 0,
            speed: 0.0,
            distribution: None,
        }
    }

    /// The time that a share of such runs takes at most; `None` without history.
    pub fn quantile(&self, share: f64) -> Option<Duration> {
        let time = self.distribution?.quantile(share as f32);
        Some(duration(time - self.speed))
    }

    /// The expected time of a run that has not ended after a time; `None` without history of any
    /// that took longer.
    pub fn expected_beyond(&self, elapsed: Duration) -> Option<Duration> {
        let time = self.distribution?.median_above(log_ms(elapsed) + self.speed)?;
        Some(duration(time - self.speed))
    }
}

impl Default for Forecast {
    fn default() -> Self {
        Self {
            kinds: LruCache::unbounded(),
            queues: LruCache::unbounded(),
            corrected: 0,
            speeds: Speeds::default(),
        }
    }
}

impl Forecast {
    /// Learns from a run.
    pub fn record(&mut self, sample: &Sample<'_>, now: Duration) {
        if sample.run_time < MIN_TIME {
            return;
        }
        let time = log_ms(sample.run_time);
        // The members of a gang end together, whatever the speed of each worker.
        let is_gang = sample.kind.is_gang;
        let run = Finished {
            step: sample.step,
            tasks: sample.tasks,
            worker: common::stable_hash(sample.worker.as_bytes()),
            time: time + if is_gang { 0.0 } else { self.speed_log(sample.worker) },
            estimate: estimate_log(sample.estimate_ms),
            assumed: log_ms(sample.assumed),
        };
        let assumption = Expectation { mean: run.assumed, variance: ASSUMED_VARIANCE };
        let (key, corrected) = (&sample.kind.queue, &mut self.corrected);
        let queue_prior = update(&mut self.queues, key, MAX_QUEUES, corrected, |queue| {
            let prior = queue.expectation(run.estimate).unwrap_or(assumption);
            queue.record(&run, prior);
            prior
        });
        let expected = update(&mut self.kinds, sample.kind, MAX_KINDS, corrected, |kind| {
            let prior = kind.expectation(run.estimate).unwrap_or(queue_prior);
            let expected = kind.step_expectation(&run, prior);
            kind.record(&run, prior);
            expected
        });
        if let Some(expected) = expected
            && sample.run_time >= MIN_SPEED_TIME
            && !is_gang
        {
            let deviation = expected.mean - time;
            let Sample { worker, incarnation, .. } = sample;
            self.speeds.observe(worker, *incarnation, deviation, expected.variance, now);
        }
    }

    /// Whether any prediction differs from the assumption.
    pub fn has_effect(&self) -> bool {
        self.corrected > 0 || self.speeds_differ()
    }

    /// Predicts the run time of a step on a worker of speed 1.
    ///
    /// `assumed` is the prediction if no history contradicts it.
    pub fn predict(&self, kind: &Kind, estimate_ms: u32, assumed: Duration) -> Prediction<'_> {
        let own = self.kinds.peek(kind).filter(|history| history.is_sufficient());
        let queue = || self.queues.peek(&kind.queue).filter(|history| history.is_sufficient());
        let history = own.or_else(queue);
        let runs = history.map_or(0, |history| history.runs);
        let is_of_queue = own.is_none() && history.is_some();
        let estimate = estimate_log(estimate_ms);
        let predictor = history.and_then(|history| {
            let source = history.predictor(estimate.is_some())?;
            let distribution = match (source, estimate) {
                (Source::Ratio, Some(estimate)) => Distribution::Ratios(&history.ratios, estimate),
                _ => Distribution::Times(&history.times),
            };
            Some((source, distribution))
        });
        let source = predictor.map_or(Source::Assumption, |(source, _)| source);
        let distribution = predictor.map(|(_, distribution)| distribution);
        let expected = distribution.map_or(assumed, |distribution| duration(distribution.median()));
        Prediction { expected, source, is_of_queue, runs, speed: 0.0, distribution }
    }

    /// Predicts the run time of a step on a worker.
    pub fn predict_on(
        &self,
        worker: &str,
        kind: &Kind,
        estimate_ms: u32,
        assumed: Duration,
    ) -> Prediction<'_> {
        let prediction = self.predict(kind, estimate_ms, assumed);
        let speed = self.speed_log(worker);
        let expected = prediction.expected.div_f64(f64::from(speed.exp()));
        Prediction { expected, speed, ..prediction }
    }

    fn speed_log(&self, worker: &str) -> f32 {
        self.speeds.log(worker).clamp(-MAX_SPEED_LOG, MAX_SPEED_LOG)
    }

    /// Speed of a worker relative to the others; 1 if it is unknown or speeds do not differ.
    pub fn speed(&self, worker: &str) -> f64 {
        f64::from(self.speed_log(worker).exp())
    }

    /// Whether the speeds of workers differ beyond what their errors explain.
    pub fn speeds_differ(&self) -> bool {
        self.speeds.differ()
    }

    /// Whether a worker is far slower than the others, or than it was, by recent runs.
    pub fn is_slow(&self, worker: &str, now: Duration) -> bool {
        self.speeds.is_slow(worker, now)
    }

    /// What is learned of kinds and queues, those with the latest runs first.
    pub fn kind_summaries(&self) -> impl Iterator<Item = KindSummary> {
        let kinds = self.kinds.iter().map(|(kind, history)| summary(kind.clone(), false, history));
        let queues = self.queues.iter().map(|(queue, history)| {
            let kind = Kind {
                queue: queue.clone(),
                workspace: Name::default(),
                cpu_class: 0,
                is_gang: false,
            };
            summary(kind, true, history)
        });
        kinds.chain(queues)
    }

    /// What is learned of workers, those with the latest runs first.
    pub fn speed_summaries(&self, now: Duration) -> impl Iterator<Item = SpeedSummary> {
        self.speeds.iter().map(move |(worker, speed)| SpeedSummary {
            worker: worker.clone(),
            speed: f64::from(self.speeds.relative(speed).exp()),
            deviation: f64::from(speed.variance.sqrt()),
            runs: speed.runs,
            updated_at: speed.updated_at,
            is_slow: self.is_slow(worker, now),
        })
    }

    /// Upper bound of the bytes that a full model uses.
    pub fn max_bytes() -> usize {
        // A list node has two pointers; names are counted with 64 bytes, hash table entries with 48.
        let overhead = 2 * size_of::<usize>() + 48 + 64;
        let kind = size_of::<Kind>() + size_of::<History>() + overhead;
        let worker = size_of::<Name>() + size_of::<Speed>() + overhead;
        (MAX_KINDS + MAX_QUEUES) * kind + MAX_WORKERS * worker
    }

    /// Sizes of what it knows.
    pub fn counts(&self, now: Duration) -> Counts {
        let kinds = self.kinds.iter();
        let workers = self.speeds.iter();
        Counts {
            kinds: self.kinds.len(),
            corrected_kinds: kinds.filter(|(_, history)| history.is_corrected()).count(),
            queues: self.queues.len(),
            workers: workers.len(),
            slow_workers: self.speeds.iter().filter(|(id, _)| self.is_slow(id, now)).count(),
        }
    }
}

fn summary(kind: Kind, is_of_queue: bool, history: &History) -> KindSummary {
    let source = if history.is_sufficient() { history.predictor(true) } else { None };
    KindSummary {
        kind,
        is_of_queue,
        runs: history.runs,
        median: duration(history.times.median()),
        high: duration(history.times.quantile(0.95)),
        ratio: f64::from(history.ratios.median().exp()),
        ratio_error: f64::from(history.ratio_score.error.exp_m1()),
        history_error: f64::from(history.time_score.error.exp_m1()),
        source: source.unwrap_or(Source::Assumption),
    }
}

/// Changes the history of a key and makes it the latest one; the one unused for longest is evicted.
///
/// `corrected` counts the histories that correct the assumption.
fn update<K: Clone + Eq + std::hash::Hash, R>(
    histories: &mut LruCache<K, History>,
    key: &K,
    most: usize,
    corrected: &mut usize,
    change: impl FnOnce(&mut History) -> R,
) -> R {
    if !histories.contains(key)
        && histories.len() >= most
        && let Some((_, evicted)) = histories.pop_lru()
    {
        *corrected -= usize::from(evicted.is_corrected());
    }
    let history = histories.get_or_insert_mut_ref(key, History::new);
    *corrected -= usize::from(history.is_corrected());
    let result = change(history);
    *corrected += usize::from(history.is_corrected());
    result
}

fn log_ms(time: Duration) -> f32 {
    (time.as_secs_f32() * 1000.0).max(1.0).ln()
}

fn estimate_log(estimate_ms: u32) -> Option<f32> {
    (estimate_ms > 0).then(|| (estimate_ms as f32).ln())
}

fn duration(log_ms: f32) -> Duration {
    Duration::from_secs_f32(log_ms.exp() / 1000.0)
}
