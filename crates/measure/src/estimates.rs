//! Errors of predicted run times, and the cost of learning them.

use std::time::{Duration, Instant};

use comfy_table::{Table, presets};
use common::Name;
use rand::rngs::StdRng;
use rand::{RngExt as _, SeedableRng as _};
use scheduler::forecast::{Forecast, Kind, MAX_KINDS, MAX_WORKERS, Sample};
use serde_json::{Value, json};

use crate::bench::Result;

/// Workers of the pool, and the range of their speeds.
const WORKERS: usize = 35;
const SPEEDS: std::ops::Range<f64> = 0.6..1.6;

/// Median run time on a worker of speed 1, in ms, before and after the work changes.
const MEDIAN_MS: f64 = 2000.0;
const CHANGED_MEDIAN_MS: f64 = 6000.0;

/// Most relative error of an estimate.
const ESTIMATE_ERROR: f64 = 0.9;

/// Share of runs that take longer, and by what factor.
const STRAGGLER_SHARE: f64 = 0.03;
const STRAGGLER_FACTOR: f64 = 7.0;

/// Deviation of the logarithm of run times within a step.
const STEP_DEVIATION: f64 = 0.1;

/// Predictions of which the errors are measured each time, in each of so many pools.
const PREDICTIONS: usize = 2000;
const POOLS: u64 = 20;

/// Runs recorded to measure the cost.
const COST_RUNS: usize = 200_000;

/// Weight of a run in the queue's factor before learned run times, and its bounds.
const FACTOR_WEIGHT: f64 = 0.05;
const FACTOR_BOUNDS: (f64, f64) = (0.1, 10.0);

/// A pool whose runs are learned.
struct Pool {
    random: StdRng,
    forecast: Forecast,
    factor: f64,
    kind: Kind,
    workers: Vec<(Name, f64)>,
    /// Deviation of the logarithm of run times between steps.
    deviation: f64,
    steps: u64,
}

/// A run that is to be predicted.
struct Run {
    estimate_ms: u32,
    worker: usize,
    /// Its run time, unless it takes longer than usual.
    usual_ms: f64,
}

/// Errors of the estimate, the factor and the model.
type Errors = [Vec<f64>; 3];

impl Pool {
    fn new(seed: u64, deviation: f64) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let workers = (0..WORKERS)
            .map(|number| (Name::new(&format!("w{number}")), random.random_range(SPEEDS)));
        let workers = workers.collect();
        let kind = Kind::new(Name::new("q"), Name::new("a"), 1000, false);
        let forecast = Forecast::default();
        Self { random, forecast, factor: 1.0, kind, workers, deviation, steps: 0 }
    }

    /// A log-normal factor with median 1.
    fn factor(&mut self, deviation: f64) -> f64 {
        let uniform: f64 = self.random.random_range(f64::MIN_POSITIVE..1.0);
        let angle: f64 = self.random.random_range(0.0..std::f64::consts::TAU);
        ((-2.0 * uniform.ln()).sqrt() * angle.cos() * deviation).exp()
    }

    fn next_run(&mut self, median_ms: f64) -> Run {
        self.steps += 1;
        let work = median_ms * self.factor(self.deviation);
        let bounds = 1.0 - ESTIMATE_ERROR..1.0 + ESTIMATE_ERROR;
        let estimate_ms = (work * self.random.random_range(bounds)).max(1.0) as u32;
        let worker = self.random.random_range(0..WORKERS);
        let usual_ms = work * self.factor(STEP_DEVIATION) / self.workers[worker].1;
        Run { estimate_ms, worker, usual_ms }
    }

    fn learn(&mut self, runs: u32, median_ms: f64) {
        for _ in 0..runs {
            let run = self.next_run(median_ms);
            let is_straggler = self.random.random_bool(STRAGGLER_SHARE);
            let run_ms = run.usual_ms * if is_straggler { STRAGGLER_FACTOR } else { 1.0 };
            let estimate = f64::from(run.estimate_ms);
            let sample = Sample {
                kind: &self.kind,
                step: self.steps,
                tasks: 1,
                worker: &self.workers[run.worker].0,
                incarnation: 1,
                estimate_ms: run.estimate_ms,
                assumed: millis(estimate * self.factor),
                run_time: millis(run_ms),
            };
            self.forecast.record(&sample, Duration::from_secs(self.steps));
            let (least, most) = FACTOR_BOUNDS;
            self.factor += ((run_ms / estimate).clamp(least, most) - self.factor) * FACTOR_WEIGHT;
        }
    }

    /// Adds the errors of predictions of runs that are not learned; none takes longer than usual.
    fn add_errors(&mut self, median_ms: f64, errors: &mut Errors) {
        for _ in 0..PREDICTIONS {
            let run = self.next_run(median_ms);
            let estimate = f64::from(run.estimate_ms);
            let assumed = millis(estimate * self.factor);
            let (worker, _) = &self.workers[run.worker];
            let prediction = self.forecast.predict_on(worker, &self.kind, run.estimate_ms, assumed);
            let predicted = prediction.expected.as_secs_f64() * 1000.0;
            let predictions = [estimate, estimate * self.factor, predicted];
            for (errors, predicted) in errors.iter_mut().zip(predictions) {
                errors.push((predicted - run.usual_ms).abs() / run.usual_ms);
            }
        }
    }
}

fn millis(ms: f64) -> Duration {
    Duration::from_secs_f64(ms / 1000.0)
}

/// Measures the errors of predictions and the cost of the model.
///
/// # Errors
///
/// Never fails; the result is that of all measurements.
pub fn run() -> Result<Value> {
    let mut table = Table::new();
    table.load_preset(presets::ASCII_MARKDOWN);
    let error_columns =
        ["estimate", "factor", "learned"].map(|name| format!("{name}: median, 95%"));
    let columns = ["steps vary by", "runs"].map(str::to_owned);
    table.set_header(columns.into_iter().chain(error_columns));
    let mut rows = Vec::new();
    for deviation in [0.2, 0.5] {
        for (label, learned, changed) in [
            ("20", 20, None),
            ("100", 100, None),
            ("1,000", 1000, None),
            ("changed work, 0", 1000, Some(0)),
            ("changed work, 20", 1000, Some(20)),
            ("changed work, 100", 1000, Some(100)),
        ] {
            let mut errors = Errors::default();
            for seed in 0..POOLS {
                let mut pool = Pool::new(seed, deviation);
                pool.learn(learned, MEDIAN_MS);
                if let Some(runs) = changed {
                    pool.learn(runs, CHANGED_MEDIAN_MS);
                }
                let median_ms = if changed.is_some() { CHANGED_MEDIAN_MS } else { MEDIAN_MS };
                pool.add_errors(median_ms, &mut errors);
            }
            let errors = errors.map(|mut errors| {
                errors.sort_by(f64::total_cmp);
                [0.5, 0.95].map(|share| errors[((errors.len() - 1) as f64 * share) as usize])
            });
            let cells = errors.map(|[median, high]| format!("{median:.2}, {high:.2}"));
            let deviation_cell = format!("{:.0}%", deviation * 100.0);
            table.add_row([deviation_cell, label.to_owned()].into_iter().chain(cells));
            rows.push(json!({ "deviation": deviation, "runs": label, "errors": errors }));
        }
    }
    println!("{table}");
    Ok(json!({ "errors": rows, "cost": measure_cost() }))
}

/// Cost of recording and asking, and the size of the model, with all kinds and workers.
fn measure_cost() -> Value {
    let before = resident_kb();
    let mut forecast = Forecast::default();
    let kinds: Vec<Kind> = (0..MAX_KINDS)
        .map(|number| {
            let workspace = Name::new(&format!("workspace-{number}"));
            Kind::new(Name::new(&format!("q{}", number % 8)), workspace, 1000, false)
        })
        .collect();
    let workers: Vec<Name> =
        (0..MAX_WORKERS).map(|number| Name::new(&format!("worker-{number:04}"))).collect();
    let started = Instant::now();
    for run in 0..COST_RUNS {
        let sample = Sample {
            kind: &kinds[run % kinds.len()],
            step: run as u64,
            tasks: 1,
            worker: &workers[run * 7 % workers.len()],
            incarnation: 1,
            estimate_ms: 1000,
            assumed: Duration::from_secs(1),
            run_time: Duration::from_millis(2000 + (run * 31 % 1000) as u64),
        };
        forecast.record(&sample, Duration::from_millis(run as u64));
    }
    let record_ns = started.elapsed().as_nanos() as u64 / COST_RUNS as u64;
    let used_kb = resident_kb().saturating_sub(before);
    let started = Instant::now();
    let mut sum = Duration::ZERO;
    for run in 0..COST_RUNS {
        let worker = &workers[run * 7 % workers.len()];
        let kind = &kinds[run % kinds.len()];
        sum += forecast.predict_on(worker, kind, 1000, Duration::from_secs(1)).expected;
    }
    let predict_ns = started.elapsed().as_nanos() as u64 / COST_RUNS as u64;
    std::hint::black_box(sum);
    let now = Duration::from_millis(COST_RUNS as u64);
    let cost = json!({
        "record_ns": record_ns,
        "predict_ns": predict_ns,
        "resident_kb": used_kb,
        "bound_bytes": Forecast::max_bytes(),
        "snapshot_bytes": forecast.snapshot(now).len(),
    });
    println!("{MAX_KINDS} kinds, {MAX_WORKERS} workers: {cost}");
    cost
}

/// Resident memory of the process, in KB; 0 if the system does not tell it.
fn resident_kb() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let digits = line.and_then(|line| line.split_whitespace().next());
    digits.and_then(|digits| digits.parse().ok()).unwrap_or(0)
}
