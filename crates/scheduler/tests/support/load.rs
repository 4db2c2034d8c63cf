//! The jobs of a large deployment: gangs of which advice allows a quarter of the workers, sweeps of
//! many single tasks, and short probes. Their advice calls take from 17 ms to a second.

use std::time::Duration;

use scheduler::{AdvicePolicy, Resources, Step, Submission};

use super::cell::QueueConfig;

/// Workers of the pool.
pub const WORKERS: usize = 540;

/// Capacity of each worker.
pub const CAPACITY: Resources = Resources { cpu: 16_000, mem: 65_536, gpus: 0 };

/// Share of tasks that take longer than the others of their step.
const STRAGGLER_SHARE: f64 = 0.03;

/// How much longer stragglers take.
const STRAGGLER_FACTOR: f64 = 7.0;

/// Validity of all tickets.
const TICKET_VALIDITY: Duration = Duration::from_millis(1500);

/// A log-normal distribution, cut off at its bounds.
#[derive(Debug, Clone, Copy)]
pub struct Distribution {
    mean: f64,
    /// Standard deviation of the logarithm.
    spread: f64,
    min: f64,
    max: f64,
}

const fn log_normal(mean: f64, spread: f64, min: f64, max: f64) -> Distribution {
    Distribution { mean, spread, min, max }
}

/// Jobs of a queue.
#[derive(Debug, Clone)]
pub struct Load {
    pub queue: QueueConfig,
    /// Number of jobs in a burst.
    pub jobs: u32,
    gang_share: f64,
    tasks: Distribution,
    cpu: Distribution,
    mem: Distribution,
    run_ms: Distribution,
}

fn advice(base_us: u64, per_worker_us: u64) -> AdvicePolicy {
    AdvicePolicy {
        base_duration: Duration::from_micros(base_us),
        duration_per_worker: Duration::from_micros(per_worker_us),
        validity: TICKET_VALIDITY,
    }
}

pub fn gangs() -> Load {
    let queue = QueueConfig {
        name: "gang",
        priority: 1,
        target_factor: 2.2,
        target_offset: Duration::from_secs(1),
        advice: advice(637_000, 9100),
        allowed_percent: 25,
    };
    Load {
        queue,
        jobs: 144,
        gang_share: 1.0,
        tasks: log_normal(20.0, 0.8, 2.0, 120.0),
        cpu: log_normal(4500.0, 0.4, 500.0, 7600.0),
        mem: log_normal(17_000.0, 0.5, 1000.0, 33_000.0),
        run_ms: log_normal(4200.0, 0.5, 200.0, 45_000.0),
    }
}

pub fn sweeps() -> Load {
    let queue = QueueConfig {
        name: "sweep",
        priority: 2,
        target_factor: 4.0,
        target_offset: Duration::from_secs(3),
        advice: advice(182_000, 2600),
        allowed_percent: 45,
    };
    Load {
        queue,
        jobs: 240,
        gang_share: 0.0,
        tasks: log_normal(24.0, 0.8, 1.0, 150.0),
        cpu: log_normal(2800.0, 0.45, 200.0, 8300.0),
        mem: log_normal(10_000.0, 0.6, 500.0, 30_000.0),
        run_ms: log_normal(1900.0, 0.5, 100.0, 20_000.0),
    }
}

pub fn probes() -> Load {
    let queue = QueueConfig {
        name: "probe",
        priority: 0,
        target_factor: 1.5,
        target_offset: Duration::from_millis(250),
        advice: advice(16_900, 234),
        allowed_percent: 70,
    };
    Load {
        queue,
        jobs: 300,
        gang_share: 0.3,
        tasks: log_normal(3.1, 0.8, 1.0, 19.0),
        cpu: log_normal(3900.0, 0.45, 200.0, 12_000.0),
        mem: log_normal(15_000.0, 0.6, 500.0, 44_000.0),
        run_ms: log_normal(540.0, 0.5, 50.0, 5800.0),
    }
}

/// Numbers that follow from a seed.
pub struct Draws {
    seed: u64,
    count: u64,
}

impl Draws {
    pub fn new(seed: u64) -> Self {
        Self { seed, count: 0 }
    }

    /// A number above 0 and below 1.
    fn uniform(&mut self) -> f64 {
        const STEPS: u64 = 1 << 20;
        self.count += 1;
        let hash = common::stable_hash(format!("{}.{}", self.seed, self.count).as_bytes());
        ((hash % STEPS) as f64 + 0.5) / STEPS as f64
    }

    pub fn chance(&mut self, share: f64) -> bool {
        self.uniform() < share
    }

    /// A log-normal factor with mean 1.
    fn factor(&mut self, spread: f64) -> f64 {
        let radius = (-2.0 * self.uniform().ln()).sqrt();
        let normal = radius * (std::f64::consts::TAU * self.uniform()).cos();
        (normal * spread - spread * spread / 2.0).exp()
    }

    fn from(&mut self, distribution: Distribution) -> f64 {
        let Distribution { mean, spread, min, max } = distribution;
        (mean * self.factor(spread)).clamp(min, max)
    }

    /// A job of one step, and the run times of its tasks.
    pub fn job(&mut self, load: &Load, id: String) -> (Submission, Vec<Vec<Duration>>) {
        self.chain(load, id, 1)
    }

    /// A job whose steps run one after the other, and the run times of their tasks.
    pub fn chain(
        &mut self,
        load: &Load,
        id: String,
        length: u32,
    ) -> (Submission, Vec<Vec<Duration>>) {
        let (mut steps, mut run_times) = (Vec::new(), Vec::new());
        for index in 0..length {
            let (step, times) = self.step(load);
            steps.push(Step { after: index.checked_sub(1).into_iter().collect(), ..step });
            run_times.push(times);
        }
        (Submission { id, payload: String::new(), steps, ..Submission::default() }, run_times)
    }

    /// A step, and the run times of its tasks.
    fn step(&mut self, load: &Load) -> (Step, Vec<Duration>) {
        let count = self.from(load.tasks) as u32;
        let need =
            Resources { cpu: self.from(load.cpu) as u32, mem: self.from(load.mem) as u32, gpus: 0 };
        let run_ms = self.from(load.run_ms);
        let estimate = (run_ms * self.factor(0.2)) as u32;
        let is_gang = self.chance(load.gang_share);
        let mut run_times: Vec<Duration> =
            (0..count).map(|_| self.task_run_time(run_ms, load.run_ms.max)).collect();
        if is_gang {
            // Its members end together.
            run_times = vec![run_times[0]; count as usize];
        }
        (Step { count, need, estimate, is_gang, ..Step::default() }, run_times)
    }

    fn task_run_time(&mut self, mean_ms: f64, max_ms: f64) -> Duration {
        let factor = if self.chance(STRAGGLER_SHARE) { STRAGGLER_FACTOR } else { 1.0 };
        let task_ms = mean_ms * self.factor(0.2) * factor;
        Duration::from_secs_f64(task_ms.min(max_ms) / 1000.0)
    }
}
