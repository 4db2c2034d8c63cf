//! The state of a pool and everything that changes it but placement.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use common::Name;

use crate::ends::{End, How, Listing};
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
            expected_end: Duration::ZERO,
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

    /// Takes a worker's answer to a renewal that was sent at `sent`.
    ///
    /// `is_new_life` says that the worker started anew since its former answer.
    /// Returns the position up to which its ends may be acknowledged once the changed
    /// jobs are durable.
    pub fn listing(
        &mut self,
        id: &Name,
        listing: &Listing,
        is_new_life: bool,
        sent: Duration,
        now: Duration,
        store_ms: u64,
    ) -> u64 {
        let mut seen = 0;
        for end in &listing.finished {
            seen = seen.max(end.number);
            self.end(id, end, now, store_ms);
        }
        self.compare(id, listing, is_new_life, sent, now, store_ms);
        seen
    }

    fn end(&mut self, id: &Name, end: &End, now: Duration, store_ms: u64) {
        let (Some(key), Some(how)) = (&end.key, end.how) else { return };
        let Some(worker) = self.pool.get_mut(id) else { return };
        let Some(assignment) = worker.release(key, end.run) else { return };
        match how {
            How::Done => worker.note_success(),
            How::Failed if worker.note_failure(now) => self.quarantined.push(id.clone()),
            _ => {}
        }
        let ran = now.saturating_sub(assignment.since);
        self.ended.push(Ended { key: key.clone(), run: end.run, how, ran });
        if how == How::Done && assignment.order == Order::Running {
            self.learn(key, ran);
        }
        self.begun(&key.job);
        self.keep_checkpoint(key, end.run, &end.saved);
        self.run_ended(key, end.run, how, now, store_ms);
    }

    fn learn(&mut self, key: &TaskKey, measured: Duration) {
        let Some(job) = self.jobs.get(&key.job) else { return };
        let Some(step) = job.submission.steps.get(key.step as usize) else { return };
        self.estimate.observe_run(&job.queue, step.estimate, measured);
    }

    /// Holds the worker's list of runs against what was ordered there.
    fn compare(
        &mut self,
        id: &Name,
        listing: &Listing,
        is_new_life: bool,
        sent: Duration,
        now: Duration,
        store_ms: u64,
    ) {
        let mut listed = BTreeSet::new();
        let mut strangers = Vec::new();
        let Some(worker) = self.pool.get_mut(id) else { return };
        worker.is_fenced = true;
        worker.is_reachable = true;
        let mut has_strangers = false;
        for run in &listing.running {
            let known = run.key.as_ref().and_then(|key| worker.run_mut(key, run.run));
            let Some(key) = run.key.clone() else {
                has_strangers = true;
                continue;
            };
            let Some(assignment) = known else {
                has_strangers = true;
                strangers.push(Stop { key, run: run.run, worker: id.clone() });
                continue;
            };
            if matches!(assignment.order, Order::Sent | Order::Recovered) {
                assignment.order = Order::Running;
                assignment.since = now;
                assignment.is_undecided = false;
            }
            listed.insert(key);
        }
        worker.has_strangers = has_strangers;
        let is_gone = |held: &Assignment| match held.order {
            Order::Recovered => true,
            Order::Running | Order::Stopped => held.since < sent,
            // An undecided start may have been sent to the new life.
            Order::Stopping => is_new_life && !held.is_undecided,
            Order::Writing | Order::Sent => false,
        };
        let gone =
            worker.assigned.iter().filter(|(key, held)| !listed.contains(*key) && is_gone(held));
        let gone: Vec<_> = gone.map(|(key, held)| (key.clone(), held.run)).collect();
        for (key, run) in &gone {
            worker.release(key, *run);
        }
        for (key, run) in gone {
            self.run_ended(&key, run, How::Lapsed, now, store_ms);
        }
        for key in listed {
            self.begun(&key.job);
        }
        self.stops.extend(strangers);
        for run in &listing.running {
            if let Some(key) = &run.key {
                self.keep_checkpoint(key, run.run, &run.saved);
            }
        }
    }

    fn keep_checkpoint(&mut self, key: &TaskKey, run: u32, saved: &Name) {
        if saved.is_empty() {
            return;
        }
        let Some(job) = self.jobs.get_mut(&key.job) else { return };
        let Some(spec) = job.submission.steps.get(key.step as usize) else { return };
        let index = if spec.is_gang { 0 } else { key.index as usize };
        let step = job.steps.get_mut(key.step as usize);
        let task = step.and_then(|step| step.tasks.get_mut(index));
        if let Some(task) = task.filter(|task| task.run == run && !task.is_done) {
            task.saved = saved.clone();
        }
    }

    /// Carries on after a run is no longer on its worker.
    fn run_ended(&mut self, key: &TaskKey, run: u32, how: How, now: Duration, store_ms: u64) {
        let Some(job) = self.jobs.get_mut(&key.job) else { return };
        let Some(spec) = job.submission.steps.get(key.step as usize) else { return };
        let is_gang = spec.is_gang;
        let Some(step) = job.steps.get_mut(key.step as usize) else { return };
        let Some(task) = step.tasks.get_mut(key.index as usize) else { return };
        if task.run != run || task.worker.is_none() {
            return;
        }
        task.worker = None;
        self.dirty.insert(key.job.clone());
        if job.phase != Phase::Open {
            return;
        }
        match how {
            How::Done if is_gang => {
                for member in &mut step.tasks {
                    member.is_done = true;
                    member.worker = None;
                }
            }
            How::Done => task.is_done = true,
            How::Failed if !is_gang => task.failed += 1,
            How::Failed if step.failed_run != run => {
                step.failed_run = run;
                step.tasks[0].failed += 1;
            }
            _ => {}
        }
        step.ask_after = step.ask_after.min(now);
        if how == How::Done {
            if job.steps.iter().all(crate::StepState::is_done) {
                self.close(&key.job.clone(), Phase::Completed, store_ms);
            }
            return;
        }
        if is_gang {
            self.stop_gang(key, run);
        }
        self.give_up_if_spent(key, store_ms);
    }

    fn give_up_if_spent(&mut self, key: &TaskKey, store_ms: u64) {
        let Some(job) = self.jobs.get(&key.job) else { return };
        let Some(attempts) = self.queue(&job.queue).map(|queue| queue.max_attempts) else { return };
        let step = &job.steps[key.step as usize];
        if step.tasks.iter().any(|task| !task.is_done && task.failed >= attempts) {
            self.close(&key.job, Phase::Failed, store_ms);
        }
    }

    /// Stops the members of a gang that remain after one of them ended.
    fn stop_gang(&mut self, key: &TaskKey, run: u32) {
        let Some(job) = self.jobs.get(&key.job) else { return };
        let step = &job.steps[key.step as usize];
        let mut held = Vec::new();
        for (index, task) in step.tasks.iter().enumerate() {
            let Some(worker) = task.worker.clone().filter(|_| task.run == run) else { continue };
            held.push((TaskKey { index: index as u32, ..key.clone() }, worker));
        }
        for (key, worker) in held {
            self.stop(key, run, worker);
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
    fn begun(&mut self, job: &str) {
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
