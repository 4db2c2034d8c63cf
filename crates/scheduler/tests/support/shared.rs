//! A pool that workspaces share, without advice calls, on a simulated clock.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use common::Name;
use scheduler::{
    ActiveRun, Job, Listing, Outcome, Phase, Queue, Registration, Resources, RunState, Scheduler,
    StartOrder, Step, Submission, TaskKey, Workspace, Workspaces,
};

use super::{NO_DELAY, NOW, ample_advice, end_run, new_registration, rules, secs};

/// Time between two passes.
pub const TICK: Duration = Duration::from_millis(20);

/// Capacity of each worker.
const CAPACITY: Resources = Resources { cpu: 16_000, mem: 64_000, gpus: 0 };

/// Queue of priority 0, for the first jobs.
pub const FIRST: &str = "first";

/// Queue of priority 1, for all other jobs.
pub const USUAL: &str = "usual";

/// Jobs of a workspace that arrive at a steady rate, each of one step.
#[derive(Debug, Clone)]
pub struct Load {
    pub workspace: &'static str,
    pub queue: &'static str,
    pub per_second: f64,
    pub step: Step,
    pub run_time: Duration,
}

/// A submitted job.
#[derive(Debug)]
pub struct Submitted {
    pub workspace: Name,
    pub arrived: Duration,
    pub run_time: Duration,
    pub first_start: Option<Duration>,
}

/// A pool, its runs and its jobs.
pub struct SharedPool {
    pub scheduler: Scheduler,
    pub now: Duration,
    workspaces: Vec<Workspace>,
    workers: usize,
    /// Runs, by their end and number.
    runs: BTreeMap<(Duration, u64), (StartOrder, Name, Resources)>,
    active: BTreeMap<Name, BTreeMap<TaskKey, u32>>,
    last_number: u64,
    pub submitted: BTreeMap<Name, Submitted>,
    /// Jobs of each workspace that were refused, with how far beyond its slack each would wait.
    pub refused: HashMap<Name, Vec<Duration>>,
    /// Core seconds that each workspace has used.
    pub work: HashMap<Name, f64>,
    /// Order in which tasks were started.
    pub started: Vec<TaskKey>,
    /// Whether jobs that the scheduler would refuse are not submitted.
    pub has_admission: bool,
}

pub fn workspace(name: &str, weight: u32) -> Workspace {
    let limit = Resources::default();
    Workspace { name: Name::new(name), weight, limit, keys: Vec::new() }
}

/// Tasks of a number of cores each.
pub fn tasks(count: u32, cores: u32) -> Step {
    let need = Resources { cpu: cores * 1000, mem: 100, gpus: 0 };
    Step { count, need, estimate: 1000, ..Step::default() }
}

impl SharedPool {
    pub fn new(workers: usize, workspaces: Vec<Workspace>) -> Self {
        let scheduler = new_scheduler(workers, &workspaces);
        let ids = scheduler.pool.iter().map(|worker| worker.registration.id.clone());
        let active = ids.map(|id| (id, BTreeMap::new())).collect();
        Self {
            scheduler,
            now: NOW,
            workspaces,
            workers,
            runs: BTreeMap::new(),
            active,
            last_number: 0,
            submitted: BTreeMap::new(),
            refused: HashMap::new(),
            work: HashMap::new(),
            started: Vec::new(),
            has_admission: false,
        }
    }

    /// Submits a job of one step whose tasks all run for a time, unless it is refused.
    pub fn submit(&mut self, workspace: &str, queue: &str, step: Step, run_time: Duration) -> Name {
        self.last_number += 1;
        let id = Name::from(format!("{workspace}-{:06}", self.last_number));
        let estimate = run_time.as_millis() as u32;
        let job = Submission {
            id: id.to_string(),
            steps: vec![Step { estimate, ..step }],
            workspace: workspace.to_owned(),
            ..Submission::default()
        };
        let queue = Name::new(queue);
        if self.has_admission
            && let Some(excess) = self.scheduler.excess_wait(&job, &queue, self.now)
        {
            self.refused.entry(Name::new(workspace)).or_default().push(excess);
            return id;
        }
        self.scheduler.submit(job, queue, self.now, 0);
        let workspace = Name::new(workspace);
        let (arrived, first_start) = (self.now, None);
        self.submitted.insert(id.clone(), Submitted { workspace, arrived, run_time, first_start });
        id
    }

    /// Advances the clock, ends what is due and runs a pass.
    pub fn tick(&mut self) {
        self.now += TICK;
        for (_, workspace, need) in self.runs.values() {
            let core_seconds = f64::from(need.cpu) / 1000.0 * TICK.as_secs_f64();
            *self.work.entry(workspace.clone()).or_default() += core_seconds;
        }
        while let Some(entry) = self.runs.first_entry().filter(|entry| entry.key().0 <= self.now) {
            let (start, ..) = entry.remove();
            let active = self.active.get_mut(&start.worker).expect("the worker is known");
            active.remove(&start.key);
            let others = active.iter().map(|(key, run)| (key, *run));
            end_run(&mut self.scheduler, &start, Outcome::Done, others, self.now);
        }
        self.scheduler.plan(self.now, NO_DELAY, ample_advice());
        for start in std::mem::take(&mut self.scheduler.starts) {
            self.start_run(start);
        }
    }

    fn start_run(&mut self, start: StartOrder) {
        let worker = self.scheduler.pool.get_mut(&start.worker).expect("the worker is known");
        let assignment = worker.assignment_mut(&start.key, start.run);
        assignment.expect("the run is assigned").state = RunState::Sent;
        self.scheduler.confirm_start(&start, self.now);
        let active = self.active.get_mut(&start.worker).expect("the worker is known");
        active.insert(start.key.clone(), start.run);
        let job = self.submitted.get_mut(&start.key.job).expect("the job was submitted");
        job.first_start.get_or_insert(self.now);
        let need = self.scheduler.jobs[&start.key.job].submission.steps[0].need;
        self.started.push(start.key.clone());
        self.last_number += 1;
        let end = (self.now + job.run_time, self.last_number);
        self.runs.insert(end, (start, job.workspace.clone(), need));
    }

    pub fn run_for(&mut self, span: Duration) {
        self.offer(&[], span);
    }

    /// Submits loads for a time; the run times vary by half.
    pub fn offer(&mut self, loads: &[Load], span: Duration) {
        let begin = self.now;
        let mut counts = vec![0_u32; loads.len()];
        while self.now < begin + span {
            let elapsed = self.now.saturating_sub(begin).as_secs_f64();
            for (load, count) in loads.iter().zip(&mut counts) {
                while f64::from(*count) < elapsed * load.per_second {
                    *count += 1;
                    // Runs that all take equally long would end in bursts, and begin in bursts again.
                    let percent = 50 + (self.last_number * 61 % 101) as u32;
                    let run_time = load.run_time * percent / 100;
                    self.submit(load.workspace, load.queue, load.step.clone(), run_time);
                }
            }
            self.tick();
        }
    }

    /// Replaces the leader: the next one reads the jobs and asks the workers what they run.
    pub fn change_leader(&mut self) {
        let former =
            std::mem::replace(&mut self.scheduler, new_scheduler(self.workers, &self.workspaces));
        for job in former.jobs.values().filter(|job| job.phase == Phase::Open) {
            let read = Job::from_record(job.record(), job.arrived);
            self.scheduler.add_job(read.expect("the record is valid"));
        }
        for (worker, active) in &self.active {
            let running = active.iter().map(|(key, run)| ActiveRun {
                key: Some(key.clone()),
                run: *run,
                checkpoint: Name::default(),
                percent: 10,
            });
            let listing = Listing {
                incarnation: 1,
                running: running.collect(),
                finished: Vec::new(),
                is_complete: true,
            };
            self.scheduler.apply_listing(worker, &listing, false, self.now, self.now, 0);
        }
    }

    /// Waits for the first start of a workspace's jobs that arrived within a span; those that still
    /// wait count until now.
    pub fn waits(&self, workspace: &str, from: Duration, until: Duration) -> Vec<Duration> {
        let jobs = self.submitted.values().filter(|job| &*job.workspace == workspace);
        let jobs = jobs.filter(|job| (from..until).contains(&job.arrived));
        jobs.map(|job| job.first_start.unwrap_or(self.now).saturating_sub(job.arrived)).collect()
    }

    /// Forgets what was used so far.
    pub fn restart_work(&mut self) {
        self.work.clear();
    }

    /// Part of the pool's CPU that a workspace used in a time, since the work was last restarted.
    pub fn used_part(&self, workspace: &str, span: Duration) -> f64 {
        let cores = f64::from(CAPACITY.cpu) / 1000.0 * self.workers as f64;
        self.work.get(workspace).copied().unwrap_or_default() / (cores * span.as_secs_f64())
    }

    /// Cores that a workspace has in use now.
    pub fn running_cores(&self, workspace: &str) -> u32 {
        let runs = self.runs.values().filter(|(_, name, _)| &**name == workspace);
        runs.map(|(.., need)| need.cpu / 1000).sum()
    }

    /// When a job first started; `None` if it waits.
    pub fn first_start(&self, id: &Name) -> Option<Duration> {
        self.submitted[id].first_start
    }
}

fn new_scheduler(workers: usize, workspaces: &[Workspace]) -> Scheduler {
    let mut scheduler = Scheduler::default();
    let mut rules = rules(None);
    let template = rules.queues.remove(0);
    for (priority, name) in (0..).zip([FIRST, USUAL]) {
        rules.queues.push(Queue { name: Name::new(name), priority, ..template.clone() });
    }
    rules.workspaces = Workspaces::new(workspaces.to_vec());
    scheduler.set_rules(rules);
    for number in 0..workers {
        let registration = new_registration(&format!("w{number:03}"), 0);
        let id = registration.id.clone();
        scheduler.pool.register(Registration { capacity: CAPACITY, ..registration });
        scheduler.pool.get_mut(&id).expect("the worker is registered").has_current_token = true;
    }
    scheduler
}

/// Mean of durations, in ms.
pub fn mean_ms(durations: &[Duration]) -> f64 {
    let total: Duration = durations.iter().sum();
    total.as_secs_f64() * 1000.0 / durations.len().max(1) as f64
}

/// A load of single tasks of one core that run for a second.
pub fn singles(workspace: &'static str, per_second: f64) -> Load {
    Load { workspace, queue: USUAL, per_second, step: tasks(1, 1), run_time: secs(1) }
}
