//! Run times and speeds learned from finished runs.
//!
//! The runs of each test follow from a seed: jobs whose usual run time varies, estimates up to 90%
//! off, workers with speeds of 0.6 to 1.6, and 3 in 100 runs that take seven times as long.

mod support;

use std::collections::HashMap;
use std::time::Duration;

use common::Name;
use scheduler::forecast::{Forecast, Kind, MAX_KINDS, MAX_WORKERS, Sample, Source};
use support::{NOW, secs};

/// Share of runs that take longer, and by what factor.
const STRAGGLER_SHARE: f64 = 0.03;
const STRAGGLER_FACTOR: f64 = 7.0;

/// Weight of a run in today's factor of a queue, and its bounds.
const FACTOR_WEIGHT: f64 = 0.05;

/// Numbers that follow from a seed.
struct Draws {
    seed: u64,
    count: u64,
}

impl Draws {
    fn uniform(&mut self) -> f64 {
        self.count += 1;
        let hash = common::stable_hash(format!("{}.{}", self.seed, self.count).as_bytes());
        ((hash % (1 << 20)) as f64 + 0.5) / f64::from(1 << 20)
    }

    fn between(&mut self, low: f64, high: f64) -> f64 {
        low + (high - low) * self.uniform()
    }

    fn below(&mut self, count: usize) -> usize {
        (self.uniform() * count as f64) as usize
    }

    /// A log-normal factor with median 1.
    fn factor(&mut self, deviation: f64) -> f64 {
        let radius = (-2.0 * self.uniform().ln()).sqrt();
        (radius * (std::f64::consts::TAU * self.uniform()).cos() * deviation).exp()
    }
}

/// How run times and estimates vary.
#[derive(Clone, Copy)]
struct Work {
    median_ms: f64,
    /// Deviation of the logarithm between steps.
    between_steps: f64,
    /// Most relative error of an estimate.
    estimate_error: f64,
    /// Tasks of a step.
    tasks: u32,
    /// Speeds of the slowest and the fastest worker.
    speeds: (f64, f64),
}

const WORK: Work = Work {
    median_ms: 2000.0,
    between_steps: 0.2,
    estimate_error: 0.9,
    tasks: 1,
    speeds: (0.6, 1.6),
};

/// Workers, a queue and what is learned of them.
struct World {
    draws: Draws,
    forecast: Forecast,
    /// Today's factor of the queue.
    factor: f64,
    steps: u64,
    now: Duration,
    workers: Vec<(Name, f64)>,
}

/// Prediction errors of the client's estimate, of today's factor and of the model.
#[derive(Default)]
struct Errors {
    estimate: Vec<f64>,
    factor: Vec<f64>,
    model: Vec<f64>,
}

fn kind(workspace: &str) -> Kind {
    Kind::new(Name::new("q"), Name::new(workspace), 1000, false)
}

impl World {
    fn new(seed: u64, workers: usize, work: &Work) -> Self {
        let mut draws = Draws { seed, count: 0 };
        let workers = (0..workers).map(|index| {
            let id = Name::new(&format!("w{index}"));
            (id, draws.between(work.speeds.0, work.speeds.1))
        });
        let workers = workers.collect();
        Self { draws, forecast: Forecast::default(), factor: 1.0, steps: 0, now: NOW, workers }
    }

    /// Estimate of a step, and the usual run time of its tasks on a worker of speed 1.
    fn next_step(&mut self, work: &Work) -> (u32, f64) {
        self.steps += 1;
        let usual = work.median_ms * self.draws.factor(work.between_steps);
        let error = work.estimate_error;
        let estimate = usual * self.draws.between(1.0 - error, 1.0 + error);
        (estimate.max(1.0) as u32, usual)
    }

    /// Runs a step and learns from it.
    fn run_step(&mut self, kind: &Kind, work: &Work) {
        let (estimate_ms, usual) = self.next_step(work);
        for _ in 0..work.tasks {
            let worker = self.draws.below(self.workers.len());
            let run_ms = self.run_ms(usual, worker);
            self.record(kind, estimate_ms, run_ms, worker, work.tasks);
        }
    }

    fn run_ms(&mut self, usual: f64, worker: usize) -> f64 {
        let is_straggler = self.draws.uniform() < STRAGGLER_SHARE;
        let factor = if is_straggler { STRAGGLER_FACTOR } else { 1.0 };
        usual * factor * self.draws.factor(0.1) / self.workers[worker].1
    }

    fn record(&mut self, kind: &Kind, estimate_ms: u32, run_ms: f64, worker: usize, tasks: u32) {
        self.now += Duration::from_millis(10);
        let sample = Sample {
            kind,
            step: self.steps,
            tasks,
            worker: &self.workers[worker].0,
            incarnation: 1,
            estimate_ms,
            assumed: millis(f64::from(estimate_ms) * self.factor),
            run_time: millis(run_ms),
        };
        self.forecast.record(&sample, self.now);
        let ratio = (run_ms / f64::from(estimate_ms)).clamp(0.1, 10.0);
        self.factor += (ratio - self.factor) * FACTOR_WEIGHT;
    }

    /// Errors of predictions of 2000 further runs, of which nothing is learned.
    ///
    /// Stragglers are left out: they cannot be predicted, and 3 in 100 do not touch the 95th
    /// percentile of the others.
    fn errors(&mut self, kind: &Kind, work: &Work) -> Errors {
        let mut errors = Errors::default();
        for _ in 0..2000 {
            let (estimate_ms, usual) = self.next_step(work);
            let worker = self.draws.below(self.workers.len());
            let run_ms = usual * self.draws.factor(0.1) / self.workers[worker].1;
            let estimate = f64::from(estimate_ms);
            let assumed = millis(estimate * self.factor);
            let (id, _) = &self.workers[worker];
            let predicted = self.forecast.predict_on(id, kind, estimate_ms, assumed).expected;
            let error = |predicted: f64| (predicted - run_ms).abs() / run_ms;
            errors.estimate.push(error(estimate));
            errors.factor.push(error(estimate * self.factor));
            errors.model.push(error(predicted.as_secs_f64() * 1000.0));
        }
        errors
    }

    /// Median of the logarithmic errors of the learned speeds.
    fn speed_error(&self) -> f64 {
        let mean_log = self.workers.iter().map(|(_, speed)| speed.ln()).sum::<f64>();
        let mean = (mean_log / self.workers.len() as f64).exp();
        let errors = self
            .workers
            .iter()
            .map(|(id, speed)| (self.forecast.speed(id).ln() - (speed / mean).ln()).abs());
        percentile(errors.collect(), 0.5)
    }
}

fn millis(ms: f64) -> Duration {
    Duration::from_secs_f64(ms / 1000.0)
}

fn percentile(mut values: Vec<f64>, share: f64) -> f64 {
    values.sort_by(f64::total_cmp);
    values[((values.len() - 1) as f64 * share) as usize]
}

/// Median and 95th percentile of each predictor's error, after some runs.
fn errors_after(runs: u32, work: &Work) -> [(f64, f64); 3] {
    let mut world = World::new(1, 35, work);
    (0..runs).for_each(|_| world.run_step(&kind("a"), work));
    let errors = world.errors(&kind("a"), work);
    let rows = [errors.estimate, errors.factor, errors.model]
        .map(|errors| (percentile(errors.clone(), 0.5), percentile(errors, 0.95)));
    println!("{runs} runs, between steps {}: {rows:.3?}", work.between_steps);
    rows
}

// Guards against predictions that follow estimates which are off by up to 90%.
#[test]
fn predict_errors_shrink_with_runs() {
    let [estimate, factor, model] = errors_after(20, &WORK);
    assert!(model.0 < estimate.0 && model.0 < factor.0);
    assert!(model.1 < estimate.1 && model.1 < factor.1);
    let [estimate, factor, model] = errors_after(100, &WORK);
    assert!(model.0 < 0.6 * estimate.0 && model.0 < 0.6 * factor.0);
    let [_, factor, model] = errors_after(1000, &WORK);
    assert!(model.0 < 0.4 * factor.0 && model.1 < 0.4 * factor.1);
    assert!(model.0 < 0.2);
}

// Guards against a history that replaces estimates which tell more than it does.
#[test]
fn predict_good_estimates_keep_their_weight() {
    let work = Work { between_steps: 0.9, estimate_error: 0.1, speeds: (1.0, 1.0), ..WORK };
    let [_, factor, model] = errors_after(1000, &work);
    assert!(model.0 <= factor.0 + 0.01 && model.1 <= factor.1 + 0.02);
}

/// Median error of the model after each ten runs; the work has changed by a factor at the start.
fn median_errors(world: &mut World, kind: &Kind, work: &Work, tens: u32) -> Vec<f64> {
    let errors = (0..tens).map(|_| {
        (0..10).for_each(|_| world.run_step(kind, work));
        percentile(world.errors(kind, work).model, 0.5)
    });
    errors.collect()
}

// Guards against predictions that stay wrong once a client's work has changed.
#[test]
fn predict_learns_again_after_work_changes() {
    for factor in [3.0, 0.25] {
        let mut world = World::new(2, 35, &WORK);
        (0..1000).for_each(|_| world.run_step(&kind("a"), &WORK));
        let changed = Work { median_ms: WORK.median_ms * factor, ..WORK };
        let errors = median_errors(&mut world, &kind("a"), &changed, 10);
        println!("work times {factor}: median errors after each 10 runs {errors:.2?}");
        assert!(errors[4] < 0.3 && errors[9] < 0.25);
        assert!(world.speed_error() < 0.1, "the change is not taken for one of the workers");
    }
}

// Guards against predictions for a step's kind that contain the speeds of its workers, and the
// other way round: two kinds on the same workers, one of which runs on fast workers more often.
#[test]
fn speeds_are_separated_from_work() {
    let mut world = World::new(3, 35, &WORK);
    let quick = Work { median_ms: 500.0, ..WORK };
    world.workers.sort_by(|(_, a), (_, b)| a.total_cmp(b));
    for _ in 0..1500 {
        world.run_step(&kind("a"), &WORK);
        let (estimate_ms, usual) = world.next_step(&quick);
        let worker = world.draws.below(35).max(world.draws.below(35));
        let run_ms = world.run_ms(usual, worker);
        world.record(&kind("b"), estimate_ms, run_ms, worker, 1);
    }
    println!("median error of speeds: {:.3}", world.speed_error());
    assert!(world.forecast.speeds_differ());
    assert!(world.speed_error() < 0.08);
    let mean_log = world.workers.iter().map(|(_, speed)| speed.ln()).sum::<f64>() / 35.0;
    let usual = 500.0 / mean_log.exp();
    let predicted = world.forecast.predict(&kind("b"), 0, secs(1)).expected;
    let ratio = predicted.as_secs_f64() * 1000.0 / usual;
    println!("work of the kind on fast workers: {ratio:.3} of the truth");
    assert!((0.85..1.15).contains(&ratio));
}

// Guards against differences read into noise: workers are alike, runs and estimates vary, and the
// tasks of a step, whose usual time nobody knows, share a worker.
#[test]
fn speeds_of_like_workers_do_not_differ() {
    for seed in 0..10 {
        let work = Work { speeds: (1.0, 1.0), between_steps: 0.5, ..WORK };
        let mut world = World::new(seed, 35, &work);
        for _ in 0..600 {
            world.run_step(&kind("a"), &work);
            let (estimate_ms, usual) = world.next_step(&work);
            let worker = world.draws.below(35);
            for _ in 0..4 {
                let run_ms = world.run_ms(usual, worker);
                world.record(&kind("b"), estimate_ms, run_ms, worker, 4);
            }
            assert!(!world.forecast.speeds_differ(), "seed {seed}, step {}", world.steps);
        }
        assert!(world.workers.iter().all(|(id, _)| (world.forecast.speed(id) - 1.0).abs() < 1e-9));
    }
}

// Guards against a worker that has become slow and still gets work first, and against one that is
// taken for slow after some runs that take long.
#[test]
fn is_slow_only_after_worker_slows_down() {
    let mut world = World::new(4, 35, &WORK);
    let mut slow = 0;
    for _ in 0..4000 {
        world.run_step(&kind("a"), &WORK);
        slow +=
            world.workers.iter().filter(|(id, _)| world.forecast.is_slow(id, world.now)).count();
    }
    println!("taken for slow: {:.5} of the time", slow as f64 / (35.0 * 4000.0));
    assert!((slow as f64) < 0.005 * 35.0 * 4000.0);
    world.workers[7].1 /= 3.0;
    let id = world.workers[7].0.clone();
    let runs_until_slow = (1..=60).find(|_| {
        (0..10).for_each(|_| world.run_step(&kind("a"), &WORK));
        let (estimate_ms, usual) = world.next_step(&WORK);
        let run_ms = world.run_ms(usual, 7);
        world.record(&kind("a"), estimate_ms, run_ms, 7, 1);
        world.forecast.is_slow(&id, world.now)
    });
    println!("slow after {runs_until_slow:?} runs");
    assert!(runs_until_slow.is_some_and(|runs| runs <= 15));
    assert!(!world.forecast.is_slow(&id, world.now + secs(31)), "it is tried again");
}

// Guards against a former life's speed that holds for a machine which came back another.
#[test]
fn restarted_worker_learns_its_speed_sooner() {
    let runs_until_learned = |incarnation: u64| {
        let mut world = World::new(5, 35, &WORK);
        (0..3000).for_each(|_| world.run_step(&kind("a"), &WORK));
        let id = world.workers[0].0.clone();
        let before = world.forecast.speed(&id);
        let runs = (1..=200).find(|_| {
            (0..10).for_each(|_| world.run_step(&kind("a"), &WORK));
            let (estimate_ms, usual) = world.next_step(&WORK);
            let run_ms = usual / world.workers[0].1 * 1.4;
            let sample = Sample {
                kind: &kind("a"),
                step: world.steps,
                tasks: 1,
                worker: &id,
                incarnation,
                estimate_ms,
                assumed: millis(f64::from(estimate_ms)),
                run_time: millis(run_ms),
            };
            world.forecast.record(&sample, world.now);
            world.forecast.speed(&id) < before / 1.25
        });
        runs.expect("the speed is learned")
    };
    let (same, restarted) = (runs_until_learned(1), runs_until_learned(2));
    println!("learned after {same} runs, after a restart {restarted}");
    assert!(restarted < same);
}

// Guards against one customer's odd runs that change what others are told.
#[test]
fn predict_ignores_runs_of_other_workspaces() {
    let mut world = World::new(6, 35, &WORK);
    (0..300).for_each(|_| world.run_step(&kind("a"), &WORK));
    let before = world.forecast.predict(&kind("a"), 2000, secs(2)).expected;
    let odd = Work { median_ms: 40_000.0, ..WORK };
    (0..1000).for_each(|_| world.run_step(&kind("b"), &odd));
    let after = world.forecast.predict(&kind("a"), 2000, secs(2)).expected;
    assert_eq!(before, after);
    // A new workspace has only the shared history of the queue.
    assert!(world.forecast.predict(&kind("c"), 2000, secs(2)).is_of_queue);
}

// Guards against predictions that follow a single step or few runs.
#[test]
fn predict_needs_runs_of_several_steps() {
    let work = Work { estimate_error: 0.0, between_steps: 0.0, ..WORK };
    let wrong_by_ten = |world: &mut World, tasks: u32| {
        let (estimate_ms, usual) = world.next_step(&work);
        for _ in 0..tasks {
            let worker = world.draws.below(35);
            let run_ms = world.run_ms(usual * 10.0, worker);
            world.record(&kind("a"), estimate_ms, run_ms, worker, tasks);
        }
    };
    let assumed = secs(2);
    let mut world = World::new(7, 35, &work);
    (0..19).for_each(|_| wrong_by_ten(&mut world, 1));
    assert_eq!(world.forecast.predict(&kind("a"), 2000, assumed).expected, assumed);
    wrong_by_ten(&mut world, 1);
    let prediction = world.forecast.predict(&kind("a"), 2000, assumed);
    assert!(prediction.expected > assumed * 5);
    let mut world = World::new(8, 35, &work);
    wrong_by_ten(&mut world, 40);
    let prediction = world.forecast.predict(&kind("a"), 2000, assumed);
    assert_eq!((prediction.expected, prediction.source), (assumed, Source::Assumption));
}

// Guards against decisions that change although the estimates are right.
#[test]
fn predict_keeps_assumption_that_history_confirms() {
    for seed in 0..20 {
        let work = Work { estimate_error: 0.2, speeds: (1.0, 1.0), ..WORK };
        let mut world = World::new(seed, 35, &work);
        for run in 0..1000 {
            // The factor has to be the right one: the mean of the runs, without those that take long.
            world.factor = 1.0;
            world.run_step(&kind("a"), &work);
            let prediction = world.forecast.predict(&kind("a"), 2000, secs(2));
            assert_eq!(prediction.expected, secs(2), "seed {seed}, run {run}");
            assert_eq!(prediction.quantile(0.95), None);
        }
    }
}

// Guards against a spread that does not show the runs that take long.
#[test]
fn quantiles_cover_stated_shares_of_runs() {
    let work = Work { speeds: (1.0, 1.0), ..WORK };
    let mut world = World::new(9, 35, &work);
    (0..1000).for_each(|_| world.run_step(&kind("a"), &work));
    let prediction = world.forecast.predict(&kind("a"), 2000, secs(2));
    let quantiles = [0.5, 0.9, 0.99].map(|share| prediction.quantile(share).expect("a history"));
    let beyond = prediction.expected_beyond(secs(6)).expect("some runs take seven times as long");
    assert!(beyond > secs(8));
    let mut covered = [0; 3];
    for _ in 0..4000 {
        let (_, usual) = world.next_step(&work);
        let run = millis(world.run_ms(usual, 0));
        for (count, quantile) in covered.iter_mut().zip(quantiles) {
            *count += u32::from(run <= quantile);
        }
    }
    let shares = covered.map(|count| f64::from(count) / 4000.0);
    println!("shares of runs within the quantiles 0.5, 0.9, 0.99: {shares:.3?}");
    assert!((0.4..0.6).contains(&shares[0]));
    assert!((0.85..0.95).contains(&shares[1]));
    assert!(shares[2] > 0.965);
}

// Guards against memory that grows with the kinds and workers ever seen.
#[test]
fn memory_is_bounded_and_latest_kinds_stay() {
    let mut world = World::new(10, 3 * MAX_WORKERS, &WORK);
    let mut estimates = HashMap::new();
    for number in 0..3 * MAX_WORKERS {
        let workspace = format!("w{}", number % (3 * MAX_KINDS));
        let kind =
            Kind::new(Name::new(&format!("q{}", number % 200)), Name::new(&workspace), 1000, false);
        let (estimate_ms, usual) = world.next_step(&WORK);
        world.record(&kind, estimate_ms, usual, number, 1);
        estimates.insert(kind, estimate_ms);
    }
    let counts = world.forecast.counts(world.now);
    assert_eq!((counts.kinds, counts.workers), (MAX_KINDS, MAX_WORKERS));
    assert!(counts.queues <= 64);
    println!("bytes at most: {}", Forecast::max_bytes());
    assert!(Forecast::max_bytes() < 1_500_000);
    let (latest, _) = &world.workers[3 * MAX_WORKERS - 1];
    assert!(world.forecast.speed_summaries(world.now).any(|speed| speed.worker == *latest));
    assert!(world.forecast.snapshot(world.now).len() <= 16 * 1024);
}

// Guards against a leader that reads what is learned and predicts something else.
#[test]
fn restore_keeps_predictions_and_speeds() {
    let mut world = World::new(11, 350, &WORK);
    for _ in 0..20_000 {
        let kind = kind(&format!("w{}", world.steps % 20));
        world.run_step(&kind, &WORK);
    }
    let snapshot = world.forecast.snapshot(world.now);
    println!("snapshot of 20 kinds and 350 workers: {} bytes", snapshot.len());
    assert!(snapshot.len() <= 16 * 1024);
    let mut restored = Forecast::default();
    restored.restore(&snapshot, secs(1)).expect("the snapshot is whole");
    let kind = kind("w3");
    for (id, _) in &world.workers[..50] {
        let [old, new] = [&world.forecast, &restored]
            .map(|forecast| forecast.predict_on(id, &kind, 2000, secs(2)).expected.as_secs_f64());
        assert!((new / old).ln().abs() < 0.1, "{old} {new}");
    }
    let mut damaged = snapshot;
    damaged.truncate(100);
    restored.restore(&damaged, secs(1)).expect_err("it is cut");
    assert_eq!(restored.counts(secs(1)).workers, 350, "what was learned is kept");
}

// Guards against runs that say nothing of the work: the time until their end is listed dominates.
#[test]
fn record_ignores_shortest_runs() {
    let mut world = World::new(12, 35, &WORK);
    let short = Work { median_ms: 2.0, speeds: (1.0, 1.0), ..WORK };
    (0..100).for_each(|_| world.run_step(&kind("a"), &short));
    let prediction = world.forecast.predict(&kind("a"), 2, millis(2.0));
    assert!(prediction.runs < 5);
}
