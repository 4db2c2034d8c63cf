//! The state of a pool and everything that changes it but placement.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use common::Name;

use crate::ends::How;
use crate::estimate::Estimate;
use crate::job::{Job, Phase, TaskKey};
use crate::pool::Pool;
use crate::record::Submission;
use crate::rules::{Queue, Rules};
use crate::step::Fit;
use crate::worker::{Assignment, Order, Report};

/// How much earlier than its validity a ticket is taken as expired, for the way to the worker.
const TICKET_MARGIN: Duration = Duration::from_millis(120);

common::data! {
    /// An order to start a run, due once the job's row is durable.
    pub struct Start {
        /// The task.
        pub key: TaskKey,
        /// The run's number.
        pub run: u32,
        /// The worker.
        pub worker: Name,
    }

    /// An order to stop a run.
    pub struct Stop {
        /// The task.
        pub key: TaskKey,
        /// The run's number.
        pub run: u32,
        /// The worker.
        pub worker: Name,
    }

    /// A run that its worker listed as ended.
    pub struct Ended {
        /// The task.
        pub key: TaskKey,
        /// The run's number.
        pub run: u32,
        /// How it ended.
        pub how: How,
        /// How long it ran, as seen from here.
        pub ran: Duration,
    }

    /// An advice call to make.
    pub struct Ask {
        /// The job.
        pub job: Name,
        /// Number of the step.
        pub step: u32,
        /// Workers to ask about.
        pub workers: Vec<Name>,
        /// How long the call is expected to take.
        pub cost: Duration,
    }
}

common::key! {
    /// Why a worker did not start a run.
    pub enum Refusal {
        /// The ticket is missing or has expired.
        Ticket,
        /// The worker has no room by its own count.
        Room,
        /// The worker has seen a higher fencing token.
        Fence,
        /// The order was too late, or a later run is known there.
        Stale,
        /// The worker does not take work.
        Unhealthy,
        /// The order was never sent, or was withdrawn before it could take effect.
        Withdrawn,
    }
}

/// Everything known of a pool's jobs and workers.
#[derive(Debug, Default)]
pub struct Scheduler {
    /// The operator's rules; none before the first version was read.
    pub rules: Option<Rules>,
    /// Queues that the operator removed and that open jobs came by.
    retired: HashMap<Name, Queue>,
    /// The jobs, by id.
    pub jobs: HashMap<Name, Job>,
    /// The workers.
    pub pool: Pool,
    /// Jobs whose rows are to be written.
    pub dirty: BTreeSet<Name>,
    /// Starts that wait for their job's row.
    pub starts: Vec<Start>,
    /// Stops to send at once.
    pub stops: Vec<Stop>,
    /// Advice calls to make.
    pub asks: Vec<Ask>,
    /// Ends that were listed, for the log.
    pub ended: Vec<Ended>,
    /// Workers avoided because they fail what they start, for the log.
    pub quarantined: Vec<Name>,
    pub(crate) estimate: Estimate,
    /// Jobs that are open, by rank: priority, due time, id.
    pub(crate) open: BTreeSet<(u32, Duration, Name)>,
}

impl Scheduler {
    /// Takes a job in, new or from its row.
    pub fn admit(&mut self, mut job: Job) {
        if let Some(record) = &job.queue_rules
            && self.queue(&job.queue).is_none()
        {
            let queue = Queue::from_record(job.queue.clone(), record);
            self.retired.insert(job.queue.clone(), queue);
        }
        job.due = self.due(&job);
        let id = job.id.clone();
        if job.phase == Phase::Open {
            self.open.insert(self.rank(&job));
        }
        for (number, step) in job.steps.iter().enumerate() {
            for (index, task) in step.tasks.iter().enumerate() {
                let Some(name) = &task.worker else { continue };
                let key = TaskKey { job: id.clone(), step: number as u32, index: index as u32 };
                let need = job.submission.steps[number].need;
                self.recover_run(name, key, task.run, need);
            }
        }
        self.jobs.insert(id, job);
    }

    /// Takes a new job in and marks it for writing.
    pub fn submit(&mut self, submission: Submission, queue: Name, now: Duration, store_ms: u64) {
        let mut job = Job::new(submission, queue, now, store_ms);
        job.queue_rules = self.queue(&job.queue).map(Queue::record);
        self.dirty.insert(job.id.clone());
        self.admit(job);
    }

    fn recover_run(&mut self, worker: &Name, key: TaskKey, run: u32, need: crate::Need) {
        if self.pool.get(worker).is_none() {
            let report = Report {
                id: worker.clone(),
                born: 0,
                address: Name::default(),
                service: Name::default(),
                zone: Name::default(),
                labels: Vec::new(),
                capacity: need,
                is_draining: false,
            };
            self.pool.report(report);
            if let Some(unlisted) = self.pool.get_mut(worker) {
                unlisted.is_listed = false;
            }
        }
        let assignment = Assignment {
            run,
            need,
            order: Order::Recovered,
            since: Duration::ZERO,
            is_undecided: false,
        };
        if let Some(worker) = self.pool.get_mut(worker) {
            worker.assign(key, assignment);
        }
    }

    /// The queue of a name, also where the operator removed it.
    pub fn queue(&self, name: &str) -> Option<&Queue> {
        let current = self.rules.as_ref().and_then(|rules| rules.queue(name));
        current.or_else(|| self.retired.get(name))
    }

    fn rank(&self, job: &Job) -> (u32, Duration, Name) {
        let queue = self.queue(&job.queue);
        (queue.map_or(u32::MAX, |queue| queue.priority), job.due, job.id.clone())
    }

    /// The time by which a job's caller wants it.
    fn due(&self, job: &Job) -> Duration {
        let Some(queue) = self.queue(&job.queue) else { return job.arrived };
        let mut chain = vec![Duration::ZERO; job.submission.steps.len()];
        for (number, step) in job.submission.steps.iter().enumerate() {
            let before = step.after.iter().filter_map(|earlier| chain.get(*earlier as usize));
            let before = before.max().copied().unwrap_or_default();
            chain[number] = before + self.estimate.run_time(&job.queue, step.estimate);
        }
        let longest = chain.into_iter().max().unwrap_or_default();
        job.arrived + longest.mul_f64(queue.stretch) + queue.target
    }

    /// Takes new rules; open jobs are ranked anew.
    pub fn set_rules(&mut self, rules: Rules) {
        let former = self.rules.replace(rules);
        let former = former.into_iter().flat_map(|rules| rules.queues);
        self.retired.extend(former.map(|queue| (queue.name.clone(), queue)));
        let in_use: BTreeSet<&Name> = self.jobs.values().map(|job| &job.queue).collect();
        self.retired.retain(|name, _| in_use.contains(name));
        let mut open = BTreeSet::new();
        for job in self.jobs.values().filter(|job| job.phase == Phase::Open) {
            open.insert(self.rank(job));
        }
        self.open = open;
    }

    /// Ends a job at its caller's wish; false where it has ended otherwise.
    pub fn cancel(&mut self, id: &str, store_ms: u64) -> bool {
        match self.jobs.get(id).map(|job| job.phase) {
            Some(Phase::Open) => self.close(id, Phase::Cancelled, store_ms),
            Some(Phase::Cancelled) => {}
            _ => return false,
        }
        true
    }

    /// Gives an open job its final phase and stops what still runs of it.
    pub(crate) fn close(&mut self, id: &str, phase: Phase, store_ms: u64) {
        let Some(job) = self.jobs.get(id) else { return };
        let rank = self.rank(job);
        self.open.remove(&rank);
        let Some(job) = self.jobs.get_mut(id) else { return };
        job.phase = phase;
        job.ended_ms = store_ms;
        self.dirty.insert(job.id.clone());
        let mut held = Vec::new();
        for (number, step) in job.steps.iter().enumerate() {
            for (index, task) in step.tasks.iter().enumerate() {
                let Some(worker) = &task.worker else { continue };
                let key = TaskKey { job: job.id.clone(), step: number as u32, index: index as u32 };
                held.push((key, task.run, worker.clone()));
            }
        }
        for (key, run, worker) in held {
            self.stop(key, run, worker);
        }
    }

    /// Orders a run to end; one that was never sent is withdrawn.
    pub fn stop(&mut self, key: TaskKey, run: u32, worker: Name) {
        let Some(held) = self.pool.get_mut(&worker) else { return };
        let Some(assignment) = held.run_mut(&key, run) else { return };
        match assignment.order {
            Order::Writing => {
                held.release(&key, run);
                self.clear_task(&key, run);
            }
            Order::Stopping | Order::Stopped => {}
            Order::Sent | Order::Running | Order::Recovered => {
                assignment.order = Order::Stopping;
                self.stops.push(Stop { key, run, worker });
            }
        }
    }

    /// Makes a task's run no longer current.
    pub(crate) fn clear_task(&mut self, key: &TaskKey, run: u32) {
        let Some(job) = self.jobs.get_mut(&key.job) else { return };
        let task = job.steps.get_mut(key.step as usize);
        let task = task.and_then(|step| step.tasks.get_mut(key.index as usize));
        if let Some(task) = task.filter(|task| task.run == run && task.worker.is_some()) {
            task.worker = None;
            self.dirty.insert(key.job.clone());
        }
    }

    /// Notes that the list of workers no longer names one; true where it is dropped at once.
    pub fn unlist(&mut self, id: &str) -> bool {
        let Some(worker) = self.pool.get_mut(id) else { return false };
        worker.is_listed = false;
        let is_empty = worker.assigned.is_empty();
        if is_empty {
            self.pool.remove(id);
        }
        is_empty
    }

    /// Gives up a worker whose runs have surely ended.
    pub fn write_off(&mut self, id: &str, now: Duration, store_ms: u64) {
        let Some(worker) = self.pool.get_mut(id) else { return };
        worker.used = crate::Need::default();
        let held: Vec<_> = worker.assigned.drain().collect();
        if !worker.is_listed {
            self.pool.remove(id);
        }
        for (key, assignment) in held {
            self.run_ended(&key, assignment.run, How::Lapsed, now, store_ms);
        }
    }

    /// Notes that a worker confirmed a start.
    pub fn started(&mut self, start: &Start, now: Duration) {
        let Some(worker) = self.pool.get_mut(&start.worker) else { return };
        let Some(assignment) = worker.run_mut(&start.key, start.run) else { return };
        assignment.is_undecided = false;
        if assignment.order == Order::Sent {
            assignment.order = Order::Running;
            assignment.since = now;
        }
        self.begun(&start.key.job);
    }

    /// Notes that a worker has begun a task of a job.
    pub(crate) fn begun(&mut self, job: &str) {
        if let Some(job) = self.jobs.get_mut(job) {
            job.has_started = true;
        }
    }

    /// Notes that a run surely neither started nor will.
    pub fn not_started(&mut self, start: &Start, why: Refusal, now: Duration, store_ms: u64) {
        let Some(worker) = self.pool.get_mut(&start.worker) else { return };
        if worker.release(&start.key, start.run).is_none() {
            return;
        }
        if let Some(job) = self.jobs.get_mut(&start.key.job)
            && why == Refusal::Ticket
            && let Some(step) = job.steps.get_mut(start.key.step as usize)
            && let Some(Fit::Allowed { expires, .. }) = step.fit.get_mut(&start.worker)
        {
            *expires = Duration::ZERO;
        }
        self.run_ended(&start.key, start.run, How::Stopped, now, store_ms);
    }

    /// Notes that a worker confirmed a stop: the run has ended, or will never begin.
    pub fn stopped(&mut self, stop: &Stop, now: Duration) {
        let Some(worker) = self.pool.get_mut(&stop.worker) else { return };
        let Some(assignment) = worker.run_mut(&stop.key, stop.run) else { return };
        assignment.order = Order::Stopped;
        assignment.since = now;
        assignment.is_undecided = false;
    }

    /// Takes the answer of an advice call; none where there was no answer.
    pub fn advised(
        &mut self,
        job: &str,
        step: u32,
        allowed: Option<(Vec<(Name, Name)>, Duration)>,
        now: Duration,
    ) {
        let Some(job) = self.jobs.get_mut(job) else { return };
        let Some(step) = job.steps.get_mut(step as usize) else { return };
        let asked = step.asking.take().unwrap_or_default();
        let Some((allowed, validity)) = allowed else {
            step.ask_after = now + ADVICE_RETRY;
            return;
        };
        step.answered = now;
        let fresh = asked.iter().filter(|worker| !step.fit.contains_key(*worker)).count();
        let mut granted = 0;
        let expires = (now + validity).saturating_sub(TICKET_MARGIN);
        for worker in asked {
            let is_new = !step.fit.contains_key(&worker);
            let ticket = allowed.iter().find(|(id, _)| *id == worker);
            let fit = ticket.map_or(Fit::Denied, |(_, ticket)| {
                granted += usize::from(is_new);
                Fit::Allowed { ticket: ticket.clone(), expires }
            });
            step.fit.insert(worker, fit);
        }
        self.estimate.observe_advice(&job.queue, fresh, granted);
    }

    /// Number of jobs that are open.
    pub fn open_jobs(&self) -> usize {
        self.open.len()
    }

    /// Jobs of a queue that wait for their first start.
    pub fn pending(&self, queue: &str) -> usize {
        let open = self.open.iter().filter_map(|(_, _, id)| self.jobs.get(id));
        open.filter(|job| &*job.queue == queue && !job.has_started && job.durable.is_some()).count()
    }

    /// Forgets a job that ended long ago and holds nothing.
    pub fn forget(&mut self, id: &str) -> bool {
        let ended = self.jobs.get(id).is_some_and(|job| job.phase != Phase::Open);
        ended && self.jobs.remove(id).is_some()
    }
}

/// Pause before an advice call that was not answered is made again.
const ADVICE_RETRY: Duration = Duration::from_millis(50);
