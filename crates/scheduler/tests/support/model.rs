//! A pool whose advice calls are made by daemons, each one call after the other, on a simulated
//! clock.

use std::collections::BTreeMap;
use std::time::Duration;

use common::Name;
use scheduler::{
    AdviceCall, AdviceCapacity, AdvicePolicy, CallClass, Outcome, Phase, Registration, Resources,
    RunState, Scheduler, StartOrder,
};

use super::{NO_DELAY, NOW, end_run, new_registration, rules};

/// Time between two passes.
const TICK: Duration = Duration::from_millis(10);

/// Sizes of a pool.
#[derive(Debug, Clone, Copy)]
pub struct Size {
    pub workers: u32,
    /// Tasks that fit on a worker.
    pub tasks_per_worker: u32,
    pub daemons: usize,
    /// Workers in a hundred that advice allows on average; others for each step.
    pub allowed_percent: u64,
    pub run_time: Duration,
}

/// Duration of calls and validity of tickets for slow advice.
pub fn slow_policy() -> AdvicePolicy {
    AdvicePolicy {
        base_duration: Duration::from_millis(630),
        duration_per_worker: Duration::from_millis(9),
        validity: Duration::from_millis(1500),
    }
}

/// A pool, its daemons and its runs.
pub struct Model {
    pub scheduler: Scheduler,
    pub now: Duration,
    size: Size,
    /// When each daemon is free.
    free_at: Vec<Duration>,
    /// Calls under way, by their end and number.
    pub calls: BTreeMap<(Duration, u64), AdviceCall>,
    /// Runs, by their end and number.
    pub runs: BTreeMap<(Duration, u64), StartOrder>,
    last_number: u64,
    pub advice_calls: u64,
    /// Time of the first start of each job.
    pub first_starts: BTreeMap<Name, Duration>,
}

impl Model {
    pub fn new(size: Size) -> Self {
        let mut scheduler = Scheduler::default();
        scheduler.set_rules(rules(Some(slow_policy())));
        for number in 0..size.workers {
            let capacity = Resources { cpu: size.tasks_per_worker * 1000, mem: 64_000, gpus: 0 };
            let registration = new_registration(&format!("w{number:03}"), 0);
            let id = registration.id.clone();
            scheduler.pool.register(Registration { capacity, ..registration });
            scheduler.pool.get_mut(&id).expect("the worker is registered").has_current_token = true;
        }
        Self {
            scheduler,
            now: NOW,
            size,
            free_at: vec![Duration::ZERO; size.daemons],
            calls: BTreeMap::new(),
            runs: BTreeMap::new(),
            last_number: 0,
            advice_calls: 0,
            first_starts: BTreeMap::new(),
        }
    }

    /// Advances the clock, delivers what is due and runs a pass.
    pub fn tick(&mut self) {
        self.now += TICK;
        while let Some(entry) = self.calls.first_entry().filter(|entry| entry.key().0 <= self.now) {
            let call = entry.remove();
            let is_allowed = |worker: &Name| {
                let key = format!("{}.{worker}", call.key.job);
                common::stable_hash(key.as_bytes()) % 100 < self.size.allowed_percent
            };
            let allowed = call.workers.iter().filter(|worker| is_allowed(worker));
            let allowed = allowed.map(|worker| (worker.clone(), Name::new("t"))).collect();
            let answer = Some((allowed, slow_policy().validity));
            self.scheduler.apply_advice(&call.key, answer, self.now);
        }
        while let Some(entry) = self.runs.first_entry().filter(|entry| entry.key().0 <= self.now) {
            let start = entry.remove();
            self.end_run(&start);
        }
        let mut capacity = AdviceCapacity::default();
        for free_at in &self.free_at {
            capacity.add_daemon(&[CallClass::Slow], None, free_at.saturating_sub(self.now));
        }
        self.scheduler.plan(self.now, NO_DELAY, capacity);
        for call in std::mem::take(&mut self.scheduler.advice_calls) {
            let free_at = self.free_at.iter_mut().min().expect("there are daemons");
            *free_at = self.now.max(*free_at) + call.expected_duration;
            self.last_number += 1;
            self.advice_calls += 1;
            self.calls.insert((*free_at, self.last_number), call);
        }
        for start in std::mem::take(&mut self.scheduler.starts) {
            let worker = self.scheduler.pool.get_mut(&start.worker).expect("the worker is known");
            let assignment = worker.assignment_mut(&start.key, start.run);
            assignment.expect("the run is assigned").state = RunState::Sent;
            self.scheduler.confirm_start(&start, self.now);
            self.first_starts.entry(start.key.job.clone()).or_insert(self.now);
            self.last_number += 1;
            self.runs.insert((self.now + self.size.run_time, self.last_number), start);
        }
    }

    fn end_run(&mut self, start: &StartOrder) {
        let others = self.runs.values().filter(|run| run.worker == start.worker);
        let active = others.map(|run| (&run.key, run.run));
        end_run(&mut self.scheduler, start, Outcome::Done, active, self.now);
    }

    /// Number of jobs that have completed.
    pub fn completed(&self) -> usize {
        self.scheduler.jobs.values().filter(|job| job.phase == Phase::Completed).count()
    }
}
