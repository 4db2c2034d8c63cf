//! A pool with several queues whose advice calls are made by daemons, each one call after the
//! other, on a simulated clock.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::Duration;

use common::Name;
use scheduler::{
    AdviceCall, AdviceCapacity, AdvicePolicy, CallClass, Outcome, Queue, Registration, Resources,
    RunState, Scheduler, StartOrder, Step, Submission, TaskKey,
};

use super::idle::{IdleCheck, Room};
use super::{NO_DELAY, NOW, end_run, new_registration, rules};

/// Time between two passes.
const TICK: Duration = Duration::from_millis(30);

/// Time between two checks for idle jobs.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Rules of a queue and the decisions of its advice service.
#[derive(Debug, Clone)]
pub struct QueueConfig {
    /// Name of the queue; the ids of its jobs start with it.
    pub name: &'static str,
    pub priority: u32,
    pub target_factor: f64,
    pub target_offset: Duration,
    pub advice: AdvicePolicy,
    /// Workers in a hundred that advice allows on average; others for each step.
    pub allowed_percent: u64,
}

/// A pool, its daemons, its runs and what was wrong with them.
pub struct Cell {
    pub scheduler: Scheduler,
    pub now: Duration,
    queues: Vec<QueueConfig>,
    capacity: Resources,
    /// When each daemon is free; a group of them serves each class of calls.
    free_at: Vec<Duration>,
    /// Whether advice calls are answered.
    pub has_advice: bool,
    /// Calls under way, by their end and number.
    calls: BTreeMap<(Duration, u64), AdviceCall>,
    /// Runs, by their end and number.
    runs: BTreeMap<(Duration, u64), (StartOrder, Resources)>,
    /// Active runs of each worker.
    active: BTreeMap<Name, BTreeMap<TaskKey, u32>>,
    last_number: u64,
    /// Time of the last round of advice calls of each job, and number of its rounds.
    pub advice_rounds: BTreeMap<Name, (Duration, u32)>,
    /// Workers that advice allows, by job and step.
    allowed: HashMap<(Name, u32), HashSet<Name>>,
    /// Submitted jobs, and the run times of their tasks by step.
    pub jobs: BTreeMap<Name, (Submission, Vec<Vec<Duration>>)>,
    /// Tasks that have succeeded.
    succeeded: HashSet<TaskKey>,
    /// Time of the first start of each job.
    pub first_starts: HashMap<Name, Duration>,
    idle_check: IdleCheck,
    next_check: Duration,
    /// Jobs that were idle for too long.
    pub violations: Vec<String>,
}

impl Cell {
    pub fn new(
        workers: usize,
        capacity: Resources,
        daemons: usize,
        queues: Vec<QueueConfig>,
    ) -> Self {
        let mut scheduler = Scheduler::default();
        let mut rules = rules(None);
        let template = rules.queues.remove(0);
        rules.queues.extend(queues.iter().map(|queue| Queue {
            name: Name::new(queue.name),
            priority: queue.priority,
            target_factor: queue.target_factor,
            target_offset: queue.target_offset,
            advice: Some(queue.advice.clone()),
            ..template.clone()
        }));
        scheduler.set_rules(rules);
        for number in 0..workers {
            let registration = new_registration(&format!("w{number:03}"), 0);
            let id = registration.id.clone();
            scheduler.pool.register(Registration { capacity, ..registration });
            scheduler.pool.get_mut(&id).expect("the worker is registered").has_current_token = true;
        }
        let ids = scheduler.pool.iter().map(|worker| worker.registration.id.clone());
        let active = ids.map(|id| (id, BTreeMap::new())).collect();
        Self {
            scheduler,
            now: NOW,
            queues,
            capacity,
            free_at: vec![Duration::ZERO; daemons],
            has_advice: true,
            calls: BTreeMap::new(),
            runs: BTreeMap::new(),
            active,
            last_number: 0,
            advice_rounds: BTreeMap::new(),
            allowed: HashMap::new(),
            jobs: BTreeMap::new(),
            succeeded: HashSet::new(),
            first_starts: HashMap::new(),
            idle_check: IdleCheck::default(),
            next_check: NOW,
            violations: Vec::new(),
        }
    }

    /// Submits a job whose tasks have given run times, by step.
    pub fn submit(&mut self, job: Submission, run_times: Vec<Vec<Duration>>) {
        let id = Name::new(&job.id);
        let queue = self.queue(&id).clone();
        for step in 0..job.steps.len() as u32 {
            let is_allowed = |worker: &&Name| {
                let key = format!("{id}.{step}.{worker}");
                common::stable_hash(key.as_bytes()) % 100 < queue.allowed_percent
            };
            let allowed = self.active.keys().filter(is_allowed).cloned().collect();
            self.allowed.insert((id.clone(), step), allowed);
        }
        self.idle_check.add(&job);
        self.scheduler.submit(job.clone(), Name::new(queue.name), self.now, 0);
        self.jobs.insert(id, (job, run_times));
    }

    fn queue(&self, job: &str) -> &QueueConfig {
        let queue = self.queues.iter().find(|queue| job.starts_with(queue.name));
        queue.expect("the job's id starts with the name of a queue")
    }

    /// Advances the clock, delivers what is due, runs a pass and checks for idle jobs.
    pub fn tick(&mut self) {
        self.now += TICK;
        self.answer_calls();
        self.end_runs();
        let capacity = self.advice_capacity();
        self.scheduler.plan(self.now, NO_DELAY, capacity);
        for call in std::mem::take(&mut self.scheduler.advice_calls) {
            self.make_call(call);
        }
        for start in std::mem::take(&mut self.scheduler.starts) {
            self.start_run(start);
        }
        if self.now >= self.next_check {
            self.next_check = self.now + CHECK_INTERVAL;
            self.check_idle();
        }
    }

    pub fn run_until(&mut self, end: Duration) {
        while self.now < end {
            self.tick();
        }
    }

    /// Counts no job as idle for what was before.
    pub fn restart_idle_check(&mut self) {
        self.idle_check.reset();
        self.violations.clear();
    }

    fn answer_calls(&mut self) {
        while let Some(entry) = self.calls.first_entry().filter(|entry| entry.key().0 <= self.now) {
            let call = entry.remove();
            let queue = self.queue(&call.key.job);
            let known = &self.allowed[&(call.key.job.clone(), call.key.step)];
            let allowed = call.workers.iter().filter(|worker| known.contains(*worker));
            let allowed = allowed.map(|worker| (worker.clone(), Name::new("t"))).collect();
            let answer = Some((allowed, queue.advice.validity));
            self.scheduler.apply_advice(&call.key, answer, self.now);
        }
    }

    fn end_runs(&mut self) {
        while let Some(entry) = self.runs.first_entry().filter(|entry| entry.key().0 <= self.now) {
            let (start, _) = entry.remove();
            let active = self.active.get_mut(&start.worker).expect("the worker is known");
            active.remove(&start.key);
            let others = active.iter().map(|(key, run)| (key, *run));
            end_run(&mut self.scheduler, &start, Outcome::Done, others, self.now);
            self.idle_check.record_success(&start.key);
            self.succeeded.insert(start.key);
        }
    }

    /// Classes of the calls that a daemon makes, and the one that it is kept for: a third of all make
    /// fast calls, a third of the others only slow ones, and the rest both slow and medium ones.
    fn classes(&self, daemon: usize) -> (&'static [CallClass], Option<CallClass>) {
        const ALL: &[CallClass] = &CallClass::ALL;
        let fast = self.free_at.len() / 3;
        let share = ((self.free_at.len() - fast) / 3).max(1);
        if daemon < fast.div_ceil(2) {
            (&[CallClass::Fast], None)
        } else if daemon < fast {
            (ALL, Some(CallClass::Fast))
        } else if daemon < fast + share {
            (&[CallClass::Slow], None)
        } else {
            (&[CallClass::Medium, CallClass::Slow], Some(CallClass::Medium))
        }
    }

    fn advice_capacity(&self) -> AdviceCapacity {
        let mut capacity = AdviceCapacity::default();
        for (daemon, free_at) in self.free_at.iter().enumerate() {
            let (classes, kept_for) = self.classes(daemon);
            capacity.add_daemon(classes, kept_for, free_at.saturating_sub(self.now));
        }
        capacity
    }

    /// Assigns a call to the daemon of its class that is free first.
    fn make_call(&mut self, call: AdviceCall) {
        let (last, rounds) = self.advice_rounds.entry(call.key.job.clone()).or_default();
        if *last < self.now {
            (*last, *rounds) = (self.now, *rounds + 1);
        }
        let class = CallClass::of(call.expected_duration);
        let able =
            (0..self.free_at.len()).filter(|daemon| self.classes(*daemon).0.contains(&class));
        let first = able.min_by_key(|daemon| {
            (self.now.max(self.free_at[*daemon]), self.classes(*daemon).0.len())
        });
        let free_at = &mut self.free_at[first.expect("there are daemons")];
        *free_at = self.now.max(*free_at) + call.expected_duration;
        self.last_number += 1;
        if self.has_advice {
            self.calls.insert((*free_at, self.last_number), call);
        }
    }

    fn start_run(&mut self, start: StartOrder) {
        let worker = self.scheduler.pool.get_mut(&start.worker).expect("the worker is known");
        let assignment = worker.assignment_mut(&start.key, start.run);
        assignment.expect("the run is assigned").state = RunState::Sent;
        self.scheduler.confirm_start(&start, self.now);
        self.first_starts.entry(start.key.job.clone()).or_insert(self.now);
        let active = self.active.get_mut(&start.worker).expect("the worker is known");
        active.insert(start.key.clone(), start.run);
        let (job, run_times) = &self.jobs[&start.key.job];
        let step = start.key.step as usize;
        let end = self.now + run_times[step][start.key.index as usize];
        let need = job.steps[step].need;
        self.last_number += 1;
        self.runs.insert((end, self.last_number), (start, need));
    }

    fn check_idle(&mut self) {
        let rooms = self.rooms();
        let busy: HashSet<&Name> = self.runs.values().map(|(start, _)| &start.key.job).collect();
        let allowed = &self.allowed;
        let may_run = |job: &Name, step: u32, _: &Step, worker: &Name| {
            allowed.get(&(job.clone(), step)).is_some_and(|workers| workers.contains(worker))
        };
        let idle = self.idle_check.observe(self.now, &rooms, &busy, may_run);
        self.violations.extend(idle);
    }

    fn rooms(&self) -> Vec<Room> {
        let mut used: HashMap<&Name, Resources> = HashMap::new();
        for (start, need) in self.runs.values() {
            let worker = used.entry(&start.worker).or_default();
            *worker = worker.plus(need);
        }
        let room = |id: &Name| {
            let free = self.capacity.minus(&used.get(id).copied().unwrap_or_default());
            Room { worker: id.clone(), capacity: self.capacity, free }
        };
        self.active.keys().map(room).collect()
    }

    /// CPU in use, in percent of the pool.
    pub fn used_percent(&self) -> u64 {
        let used: u64 = self.runs.values().map(|(_, need)| u64::from(need.cpu)).sum();
        used * 100 / (u64::from(self.capacity.cpu) * self.active.len() as u64)
    }

    /// Time in which the whole pool would do the work of all tasks that have not ended.
    pub fn remaining_work_time(&self) -> Duration {
        let mut core_seconds = 0.0;
        for (id, (job, run_times)) in &self.jobs {
            for (step, tasks) in run_times.iter().enumerate() {
                let cores = f64::from(job.steps[step].need.cpu) / 1000.0;
                for (index, run_time) in tasks.iter().enumerate() {
                    let key = TaskKey { job: id.clone(), step: step as u32, index: index as u32 };
                    if !self.succeeded.contains(&key) {
                        core_seconds += cores * run_time.as_secs_f64();
                    }
                }
            }
        }
        let cores = f64::from(self.capacity.cpu) / 1000.0 * self.active.len() as f64;
        Duration::from_secs_f64(core_seconds / cores)
    }

    /// Number of a queue's jobs of which no task was ever started.
    pub fn unstarted_jobs(&self, queue: &str) -> usize {
        let jobs = self.jobs.keys().filter(|id| id.starts_with(queue));
        jobs.filter(|id| !self.first_starts.contains_key(*id)).count()
    }
}
