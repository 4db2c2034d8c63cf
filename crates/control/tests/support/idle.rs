//! Observes a cell for the check that no job is left idle while the pool has room for it.
//!
//! A job counts from the answer that accepted it until its cancel was requested, all its tasks have
//! succeeded, or so many runs have failed or crashed that it may have failed. A task has succeeded once its
//! worker's listed end is acknowledged; until then it counts as running.

#[path = "../../../scheduler/tests/support/idle.rs"]
mod check;

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use common::Name;
use control::{Answer, Operation};
use scheduler::{Resources, Step, Submission, TaskKey};

use super::fakes::{FakeWorker, WORKER_MEM, WORKER_SERVICE};
use super::{FaultConfig, HOST, PREFIX, Simulation};
use check::{IdleCheck, Room};

/// Time between two checks.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Time after a fault in which nothing is checked.
const CONTACT_TIME: Duration = Duration::from_secs(5);

/// Workers lost under a task from which its job may be given up.
const CRASHES_TO_FAIL: u32 = 2;

/// Need of a task whose job no caller has submitted.
const DEFAULT_NEED: Resources = Resources { cpu: 1000, mem: 100, gpus: 0 };

/// What callers have asked for, and when the cell was last disturbed.
#[derive(Debug, Default)]
pub struct IdleWatch {
    check: IdleCheck,
    /// Whether jobs may be idle for now.
    pub is_paused: bool,
    next_at: Duration,
    /// Submitted jobs.
    submissions: HashMap<Name, Submission>,
    /// Jobs of submissions without an answer, by token.
    unanswered: HashMap<u64, Name>,
    accepted: HashSet<Name>,
    /// Jobs that were cancelled or may have failed.
    forgotten: HashSet<Name>,
    /// Number of runs of each job that failed.
    failed_runs: HashMap<Name, u32>,
    /// What changes with each restart of a node or worker, and when it last did.
    incarnations: Vec<u64>,
    disturbed_at: Duration,
}

impl IdleWatch {
    /// Notes a caller's request.
    pub fn note_call(&mut self, token: u64, op: &Operation) {
        match op {
            Operation::Submit(job) => {
                let id = Name::new(&job.id);
                self.unanswered.insert(token, id.clone());
                self.submissions.entry(id).or_insert_with(|| job.clone());
            }
            Operation::Cancel(id) => self.forget(id),
            _ => {}
        }
    }

    /// Notes an answer to a caller; `succeeded` are the tasks that have succeeded so far.
    pub fn note_answer(&mut self, token: u64, answer: &Answer, succeeded: &HashSet<TaskKey>) {
        let Some(id) = self.unanswered.remove(&token) else { return };
        let is_new = *answer == Answer::Accepted && self.accepted.insert(id.clone());
        if is_new && !self.forgotten.contains(&id) {
            self.check.add(&self.submissions[&id]);
            for key in succeeded.iter().filter(|key| key.job == id) {
                self.check.record_success(key);
            }
        }
    }

    pub fn note_success(&mut self, key: &TaskKey) {
        self.check.record_success(key);
    }

    /// Notes a failed run, which may be the last one that the job is allowed.
    pub fn note_failure(&mut self, key: &TaskKey, max_attempts: u32) {
        let failed_runs = self.failed_runs.entry(key.job.clone()).or_default();
        *failed_runs += 1;
        if *failed_runs >= max_attempts {
            self.forget(&key.job);
        }
    }

    /// Stops checking a job.
    pub fn forget(&mut self, job: &Name) {
        self.check.remove(job);
        self.forgotten.insert(job.clone());
    }

    /// What a task needs.
    pub fn need(&self, key: &TaskKey) -> Resources {
        let step = self.submissions.get(&key.job).and_then(|job| job.steps.get(key.step as usize));
        step.map_or(DEFAULT_NEED, |step| step.need)
    }
}

impl Simulation {
    /// Records each job that has been idle for too long as a violation.
    pub(super) fn check_idle(&mut self) {
        if self.now < self.idle_watch.next_at {
            return;
        }
        self.idle_watch.next_at = self.now + CHECK_INTERVAL;
        let incarnations = self.incarnations();
        if self.idle_watch.incarnations != incarnations {
            self.forget_crashing_jobs();
        }
        if self.idle_watch.incarnations != incarnations || self.is_disturbed() {
            self.idle_watch.incarnations = incarnations;
            self.idle_watch.disturbed_at = self.now;
        }
        if self.idle_watch.is_paused || self.now < self.idle_watch.disturbed_at + CONTACT_TIME {
            self.idle_watch.check.reset();
            return;
        }
        // A leader may have read these ends or not.
        for key in self.workers.values_mut().flat_map(|worker| worker.lost_ends.drain(..)) {
            self.idle_watch.forget(&key.job);
        }
        let mut check = std::mem::take(&mut self.idle_watch.check);
        let rooms = self.rooms();
        let busy = self.busy_jobs();
        let may_run = |job: &Name, index: u32, step: &Step, worker: &Name| {
            self.may_run(job, index, step, worker)
        };
        let idle = check.observe(self.now, &rooms, &busy, may_run);
        self.idle_watch.check = check;
        self.violations.extend(idle);
    }

    /// Stops checking the jobs that may be given up because workers were lost under a task.
    fn forget_crashing_jobs(&mut self) {
        let mut crashes: HashMap<&TaskKey, u32> = HashMap::new();
        for key in self.workers.values().flat_map(|worker| &worker.lost) {
            *crashes.entry(key).or_default() += 1;
        }
        let crashing = crashes.into_iter().filter(|(_, count)| *count >= CRASHES_TO_FAIL);
        for (key, _) in crashing {
            self.idle_watch.forget(&key.job);
        }
    }

    /// Whether a fault is switched on or no node leads.
    fn is_disturbed(&self) -> bool {
        let FaultConfig {
            lost_commit_share,
            late_order_share,
            store_slowdown,
            commit_answer_delay,
            read_delay_per_row,
            is_store_busy,
            is_store_down,
            is_feed_down,
            ..
        } = self.faults;
        let has_store_fault = lost_commit_share > 0.0
            || store_slowdown > 1
            || !commit_answer_delay.is_zero()
            || !read_delay_per_row.is_zero()
            || is_store_busy
            || is_store_down
            || is_feed_down
            || self.feed_pages > 0
            || self.store.rejects.is_some();
        let has_path_fault = late_order_share > 0.0
            || !self.cut_from_store.is_empty()
            || !self.cut_from_peers.is_empty()
            || !self.cut_from_workers.is_empty()
            || !self.lossy_workers.is_empty();
        let has_slow_node = !self.timer_lags.is_empty()
            || self.speeds.values().any(|speed| *speed < 1.0)
            || !self.network.bandwidths.is_empty()
            || self.slots.iter().any(|slot| slot.is_suspended);
        let is_faulty = |worker: &FakeWorker| {
            !worker.is_dead && (!worker.is_reachable || worker.refuses_starts || worker.fails_all)
        };
        let has_faulty_worker = self.workers.values().any(is_faulty);
        let has_fault = has_store_fault || has_path_fault || has_slow_node || has_faulty_worker;
        has_fault || self.leader().is_none()
    }

    /// Numbers that change with each start or end of a node or worker and with each set of rules.
    fn incarnations(&self) -> Vec<u64> {
        let mut numbers = vec![self.rules.version, self.leader().map_or(0, |node| node as u64 + 1)];
        numbers.extend(self.slots.iter().map(|slot| slot.incarnation));
        for worker in self.workers.values() {
            let state = u64::from(worker.is_dead)
                + 2 * u64::from(worker.is_draining)
                + 4 * u64::from(worker.is_listed);
            numbers.extend([worker.incarnation, state, worker.capacity.into()]);
        }
        numbers
    }

    /// Workers that are up and accept starts.
    fn rooms(&self) -> Vec<Room> {
        let is_open = |worker: &&FakeWorker| {
            !worker.is_dead && !worker.is_replaced && worker.is_listed && !worker.is_draining
        };
        let room = |worker: &FakeWorker| {
            let capacity = Resources { cpu: worker.capacity, mem: WORKER_MEM, gpus: 0 };
            let needs = worker.running.keys().map(|key| self.idle_watch.need(key));
            let used = needs.fold(Resources::default(), |used, need| used.plus(&need));
            Room { worker: worker.id.clone(), capacity, free: capacity.minus(&used) }
        };
        self.workers.values().filter(is_open).map(room).collect()
    }

    /// Jobs with a run at work, one whose end is not acknowledged, or one that was lost and that
    /// leaders cannot tell from one at work.
    fn busy_jobs(&self) -> HashSet<&Name> {
        let keys = self.workers.values().flat_map(|worker| {
            let ended = worker.finished.iter().filter_map(|finished| finished.key.as_ref());
            let is_leased = worker.is_dead && !worker.is_lease_over(self.now, CONTACT_TIME);
            let lost = worker.lost.iter().filter(move |_| is_leased);
            worker.running.keys().chain(ended).chain(lost)
        });
        keys.map(|key| &key.job).collect()
    }

    /// Whether a worker may run a step: it has the label, and the advice service would allow it.
    fn may_run(&self, job: &Name, index: u32, step: &Step, worker: &Name) -> bool {
        let Some(queue) = self.rules.route(HOST, &format!("{PREFIX}{job}")) else {
            return false;
        };
        let has_label = step.requirement.is_empty();
        let is_allowed = || match &self.advice_service {
            Some(service) => service.allows((job, index), worker),
            None => self.is_allowed(worker),
        };
        &*queue.service == WORKER_SERVICE && has_label && (queue.advice.is_none() || is_allowed())
    }
}
