//! State of a pool: admission, cancellation, confirmed orders and advice.
//!
//! Placement is in `placement`; worker listings are applied in `reconcile`.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use common::Name;

use crate::admission::{Admission, Origin};
use crate::advice::CallClass;
use crate::crash::{Explanation, LostRun};
use crate::estimate::Estimator;
use crate::fate::{Fate, NotStarted, StopMark};
use crate::forecast::Forecast;
use crate::job::{Job, Phase, Site, TaskKey};
use crate::placement::{LimitTime, Slot};
use crate::pool::Pool;
use crate::record::{Resources, Step, Submission};
use crate::rounds::Rounds;
use crate::rules::{Queue, Rules};
use crate::runs::Outcome;
use crate::step::Eligibility;
use crate::worker::{Assignment, Registration, RunState};

/// Subtracted from a ticket's validity, to leave time for delivery to the worker.
const TICKET_MARGIN: Duration = Duration::from_millis(120);

/// Multiple of its target time after which a job's completion is of no use to its caller.
const WORTHLESS_AFTER_TARGETS: u32 = 3;

common::data! {
    /// An order to start a run, sent once the job's row is durable.
    pub struct StartOrder {
        /// The task to start.
        pub key: TaskKey,
        /// Number of the run.
        pub run: u32,
        /// Id of the worker that gets the order.
        pub worker: Name,
    }

    /// An order to stop a run.
    pub struct StopOrder {
        /// The task to stop.
        pub key: TaskKey,
        /// Number of the run.
        pub run: u32,
        /// Id of the worker that gets the order.
        pub worker: Name,
    }

    /// A run that its worker reported as ended.
    pub struct EndedRun {
        /// Task of the run.
        pub key: TaskKey,
        /// Number of the run.
        pub run: u32,
        /// Outcome of the run.
        pub outcome: Outcome,
        /// Time since its state last changed, usually since its confirmed start.
        pub run_time: Duration,
    }

    /// Identifies a call to the advice service.
    #[derive(Eq, PartialOrd, Ord)]
    pub struct AdviceKey {
        /// Id of the job.
        pub job: Name,
        /// Index of the step in the job.
        pub step: u32,
        /// Number of the call among those of the step.
        pub number: u32,
    }

    /// A call to the advice service about one step.
    pub struct AdviceCall {
        /// Identifies the call.
        pub key: AdviceKey,
        /// Workers that it names.
        pub workers: Vec<Name>,
        /// Expected duration of the call.
        pub expected_duration: Duration,
    }
}

common::key! {
    /// Reason that a run was not started.
    pub enum Refusal {
        /// The ticket is missing or has expired.
        Ticket,
        /// The worker reports insufficient capacity.
        NoCapacity,
        /// The worker knows a higher fencing token.
        StaleToken,
        /// The order arrived too late, or the worker knows a later run.
        StaleRun,
        /// The worker does not accept tasks.
        Unhealthy,
        /// The order was never sent, or was withdrawn before it could take effect.
        Withdrawn,
    }
}

/// Jobs and workers of a pool, and the actions that wait for the leader.
#[derive(Debug, Default)]
pub struct Scheduler {
    /// The operator's rules; `None` until the first version is read.
    pub rules: Option<Rules>,
    /// Earlier queues of known jobs, used once the rules lack them.
    removed_queues: HashMap<Name, Queue>,
    /// The latest limit of each workspace, also of those that the rules no longer list.
    pub(crate) workspace_limits: HashMap<Name, Resources>,
    /// Time for which workspaces were at their limits.
    pub(crate) limit_times: HashMap<Name, LimitTime>,
    /// Unsent starts that were withdrawn as a limit fell, for the log.
    pub withdrawn_starts: Vec<StartOrder>,
    /// Open jobs and ended jobs not yet removed, by id.
    pub jobs: HashMap<Name, Job>,
    /// Workers of the pool.
    pub pool: Pool,
    /// Jobs changed since their rows were last queued for writing.
    pub changed_jobs: BTreeSet<Name>,
    /// Starts to send once their jobs' rows are durable.
    pub starts: Vec<StartOrder>,
    /// Stops to send at once.
    pub stops: Vec<StopOrder>,
    /// Advice calls to make.
    pub advice_calls: Vec<AdviceCall>,
    /// Runs that ended, for the log.
    pub ended_runs: Vec<EndedRun>,
    /// Runs that were lost with their workers, for the log.
    pub lost_runs: Vec<LostRun>,
    /// Silent workers that were heard of, for the log.
    pub explanations: Vec<Explanation>,
    /// Tasks whose jobs failed as workers crashed under them, for the log.
    pub crashing_tasks: Vec<TaskKey>,
    /// Steps of open jobs under which workers crashed, or may have: job id and index.
    pub(crate) suspects: BTreeSet<(Name, u32)>,
    /// Tasks of open jobs by the workers that fell silent under them and were not heard of since.
    pub(crate) silences: BTreeMap<Name, BTreeSet<TaskKey>>,
    /// When a step of each class of advice calls last found no daemon.
    pub(crate) advice_refused_at: [Option<Duration>; CallClass::ALL.len()],
    /// When a step of each priority last found no daemon for a call that it needs.
    pub(crate) advice_lacked_at: BTreeMap<u32, Duration>,
    /// Steps that hold room for their advice calls: job id and index.
    pub(crate) holders: BTreeSet<(Name, u32)>,
    /// Workers quarantined after repeated failures, for the log.
    pub newly_quarantined: Vec<Name>,
    /// Jobs of which a checkpoint was too long to be kept, for the log.
    pub long_checkpoints: BTreeSet<Name>,
    /// Runs stopped to make room for gangs of higher priority, for the log.
    pub preempted_runs: u64,
    /// Steps that placement passes have visited so far.
    pub steps_visited: u64,
    /// Observed run times and advice results.
    pub(crate) estimator: Estimator,
    /// Run times and speeds learned from finished runs.
    pub forecast: Forecast,
    /// Jobs that wait for their first start.
    pub(crate) admission: Admission,
    /// Usable workers and what was reserved on them at the end of the last pass, by id.
    pub(crate) last_slots: Vec<Slot>,
    /// Gangs, as job id and index of the step, for which the last pass reserved room; whether an
    /// advice call was under way.
    pub(crate) collecting_gangs: BTreeMap<(Name, u32), bool>,
    /// Gangs that collect room and keep their places though their workspaces use their shares: job id
    /// and index of the step.
    pub(crate) kept_gangs: BTreeSet<(Name, u32)>,
    /// Workspaces that the last pass postponed, by priority: what each used, and its share, in percent.
    pub(crate) postponed_workspaces: BTreeMap<(u32, Name), (u32, u32)>,
    /// Rounds of advice calls whose tickets may not have expired.
    pub(crate) rounds: Rounds,
    /// Open jobs by rank: priority, due time, id.
    pub(crate) ranked_jobs: BTreeSet<(u32, Duration, Name)>,
}

impl Scheduler {
    /// Adds a job, new or read from its row.
    pub fn add_job(&mut self, mut job: Job) {
        if let Some(record) = &job.queue_rules
            && self.queue(&job.queue).is_none()
        {
            let queue = Queue::from_record(job.queue.clone(), record);
            self.removed_queues.insert(job.queue.clone(), queue);
        }
        job.due_at = self.compute_due(&job);
        let id = job.id.clone();
        if job.phase == Phase::Open {
            self.ranked_jobs.insert(self.rank(&job));
            if !job.has_started {
                self.admission.add(job.origin(), job.arrived, &job.id);
            }
        }
        for (step_index, step) in job.steps.iter().enumerate() {
            for (index, task) in step.tasks.iter().enumerate() {
                if task.lost_workers() > 0 && !task.is_done {
                    self.suspects.insert((id.clone(), step_index as u32));
                }
                let key = TaskKey { job: id.clone(), step: step_index as u32, index: index as u32 };
                for silent in &task.silent_workers {
                    self.silences.entry(silent.id.clone()).or_default().insert(key.clone());
                }
                let Some(name) = &task.worker else { continue };
                let need = job.submission.steps[step_index].need;
                let site = task.site.as_deref().cloned().unwrap_or_default();
                self.recover_run(name, &site, key, task.run, need, job.workspace.clone());
            }
        }
        self.jobs.insert(id, job);
    }

    /// How far beyond its slack a job would wait that is submitted now; `None` if it is of use.
    ///
    /// The slack is the time that the job's longest chain of steps leaves until its completion is
    /// worthless.
    pub fn excess_wait(
        &mut self,
        submission: &Submission,
        queue: &Name,
        now: Duration,
    ) -> Option<Duration> {
        let path = self.critical_path(submission, queue);
        let rules = self.queue(queue)?;
        let target = path.mul_f64(rules.target_factor) + rules.target_offset;
        let slack = (target * WORTHLESS_AFTER_TARGETS).saturating_sub(path);
        let origin = Origin { queue: queue.clone(), workspace: Name::new(&submission.workspace) };
        self.admission.excess_wait(&origin, self.has_workspaces(), slack, now)
    }

    /// Whether workspaces share the pool.
    pub fn has_workspaces(&self) -> bool {
        self.rules.as_ref().is_some_and(|rules| !rules.workspaces.is_empty())
    }

    /// Adds a new job and marks its row for writing.
    pub fn submit(
        &mut self,
        submission: Submission,
        queue: Name,
        now: Duration,
        store_clock_ms: u64,
    ) {
        let mut job = Job::new(submission, queue, now, store_clock_ms);
        job.queue_rules = self.queue(&job.queue).map(Queue::record);
        self.changed_jobs.insert(job.id.clone());
        self.add_job(job);
    }

    /// Assigns a run read from a job's row; adds its worker if unknown.
    ///
    /// A worker that is no longer listed is asked at its former address: another process that
    /// answers there proves that it is gone.
    fn recover_run(
        &mut self,
        worker: &Name,
        site: &Site,
        key: TaskKey,
        run: u32,
        need: crate::Resources,
        workspace: Name,
    ) {
        if self.pool.get(worker).is_none() {
            let registration = Registration {
                id: worker.clone(),
                incarnation: site.incarnation,
                address: site.address.clone(),
                service: Name::default(),
                zone: Name::default(),
                labels: Vec::new(),
                capacity: need,
                is_draining: false,
            };
            self.pool.register(registration);
            if let Some(unlisted) = self.pool.get_mut(worker) {
                unlisted.is_listed = false;
            }
        }
        let assignment = Assignment {
            run,
            need,
            state: RunState::Recovered,
            changed_at: Duration::ZERO,
            fate: Fate::default(),
            incarnation: site.incarnation,
            is_lost: false,
            is_timed: false,
            workspace,
        };
        if let Some(worker) = self.pool.get_mut(worker) {
            worker.assign(key, assignment);
        }
    }

    /// The queue of a name, including removed queues still in use.
    pub fn queue(&self, name: &str) -> Option<&Queue> {
        let current = self.rules.as_ref().and_then(|rules| rules.queue(name));
        current.or_else(|| self.removed_queues.get(name))
    }

    /// Most open connections at a worker of a service; `None` if that is unknown.
    pub fn max_connections(&self, service: &str) -> Option<u32> {
        self.rules.as_ref().and_then(|rules| rules.max_connections(service))
    }

    /// Sort key among open jobs: priority, due time, id.
    fn rank(&self, job: &Job) -> (u32, Duration, Name) {
        let queue = self.queue(&job.queue);
        (queue.map_or(u32::MAX, |queue| queue.priority), job.due_at, job.id.clone())
    }

    /// Computes the target completion time: arrival, plus the critical path times the queue's factor,
    /// plus the queue's offset.
    ///
    /// The path is that of the estimates and the queue's factor: with learned run times, a full pool
    /// ended fewer jobs in time (docs/issues/011).
    fn compute_due(&self, job: &Job) -> Duration {
        let Some(queue) = self.queue(&job.queue) else { return job.arrived };
        let run_time = |step: &Step| self.estimator.run_time(&job.queue, step.estimate);
        let critical_path = longest_chain(&job.submission, run_time);
        job.arrived + critical_path.mul_f64(queue.target_factor) + queue.target_offset
    }

    /// Expected time of the longest chain of steps, by learned run times.
    fn critical_path(&self, submission: &Submission, queue: &Name) -> Duration {
        let workspace = Name::new(&submission.workspace);
        longest_chain(submission, |step| self.predict(queue, &workspace, step).expected)
    }

    /// Replaces the rules and recomputes the rank of each open job.
    pub fn set_rules(&mut self, rules: Rules) {
        let previous = self.rules.replace(rules);
        let previous = previous.into_iter().flat_map(|rules| rules.queues);
        self.removed_queues.extend(previous.map(|queue| (queue.name.clone(), queue)));
        let in_use: BTreeSet<&Name> = self.jobs.values().map(|job| &job.queue).collect();
        self.removed_queues.retain(|name, _| in_use.contains(name));
        let mut ranked_jobs = BTreeSet::new();
        for job in self.jobs.values().filter(|job| job.phase == Phase::Open) {
            ranked_jobs.insert(self.rank(job));
        }
        self.ranked_jobs = ranked_jobs;
        self.apply_limits();
    }

    /// Cancels a job; false if it is unknown, completed or failed.
    pub fn cancel(&mut self, id: &str, store_clock_ms: u64) -> bool {
        match self.jobs.get(id).map(|job| job.phase) {
            Some(Phase::Open) => self.finish_job(id, Phase::Cancelled, store_clock_ms),
            Some(Phase::Cancelled) => {}
            _ => return false,
        }
        true
    }

    /// Fails an open job that cannot be stored; one that was never stored is removed.
    pub fn give_up(&mut self, id: &str, store_clock_ms: u64) {
        let Some(job) = self.jobs.get(id) else { return };
        // No start of a job that was never stored has been sent.
        let is_stored = job.durable_phase.is_some();
        if job.phase == Phase::Open {
            self.finish_job(id, Phase::Failed, store_clock_ms);
        }
        if !is_stored {
            self.jobs.remove(id);
        }
    }

    /// Sets a job's final phase and stops its remaining runs.
    pub(crate) fn finish_job(&mut self, id: &str, phase: Phase, store_clock_ms: u64) {
        let Some(job) = self.jobs.get(id) else { return };
        let rank = self.rank(job);
        self.ranked_jobs.remove(&rank);
        let Some(job) = self.jobs.get_mut(id) else { return };
        job.phase = phase;
        job.ended_ms = store_clock_ms;
        if !job.has_started {
            self.admission.remove(&job.origin(), job.arrived, &job.id);
        }
        self.changed_jobs.insert(job.id.clone());
        let mut active_runs = Vec::new();
        for (step_index, step) in job.steps.iter().enumerate() {
            for (index, task) in step.tasks.iter().enumerate() {
                let Some(worker) = &task.worker else { continue };
                let key =
                    TaskKey { job: job.id.clone(), step: step_index as u32, index: index as u32 };
                active_runs.push((key, task.run, worker.clone()));
            }
        }
        for (key, run, worker) in active_runs {
            self.stop(key, run, worker);
        }
    }

    /// Requests that a run stops; a start not yet sent is withdrawn.
    pub fn stop(&mut self, key: TaskKey, run: u32, worker: Name) {
        let Some(assigned_worker) = self.pool.get_mut(&worker) else { return };
        let Some(assignment) = assigned_worker.assignment_mut(&key, run) else { return };
        match assignment.state {
            RunState::Committing => {
                assigned_worker.release(&key, run);
                self.clear_task(&key, run);
            }
            RunState::Stopping | RunState::Stopped => {}
            RunState::Sent | RunState::Running | RunState::Recovered => {
                assignment.state = RunState::Stopping;
                self.stops.push(StopOrder { key, run, worker });
            }
        }
    }

    /// Clears a task's worker if `run` is its current run.
    pub(crate) fn clear_task(&mut self, key: &TaskKey, run: u32) {
        let Some(job) = self.jobs.get_mut(&key.job) else { return };
        let task = job.steps.get_mut(key.step as usize);
        let task = task.and_then(|step| step.tasks.get_mut(key.index as usize));
        if let Some(task) = task.filter(|task| task.run == run && task.worker.is_some()) {
            task.worker = None;
            self.changed_jobs.insert(key.job.clone());
        }
    }

    /// Marks a worker as unlisted; true if it had no runs and was removed.
    pub fn mark_unlisted(&mut self, id: &str) -> bool {
        let Some(worker) = self.pool.get_mut(id) else { return false };
        worker.is_listed = false;
        let is_empty = worker.assignments.is_empty();
        if is_empty {
            self.pool.remove(id);
        }
        is_empty
    }

    /// Whether a placed start may be sent: its worker accepts starts and is still one that the task
    /// may run on, and has room for it unless it may have received the start before.
    pub fn may_send(&self, start: &StartOrder) -> bool {
        let Some(worker) = self.pool.get(&start.worker) else { return false };
        let assignment = worker.assignments.get(&start.key);
        let is_new = assignment.is_some_and(|run| run.state == RunState::Committing);
        if is_new && !worker.holds_its_runs() {
            return false;
        }
        let Some(job) = self.jobs.get(&start.key.job) else { return false };
        let spec = job.submission.steps.get(start.key.step as usize);
        let queue = self.queue(&job.queue);
        worker.accepts_starts()
            && queue.zip(spec).is_some_and(|(queue, spec)| worker.can_run(queue, spec))
    }

    /// Records that a worker confirmed a start.
    pub fn confirm_start(&mut self, start: &StartOrder, now: Duration) {
        let Some(worker) = self.pool.get_mut(&start.worker) else { return };
        let Some(assignment) = worker.assignment_mut(&start.key, start.run) else { return };
        assignment.fate.record_started(now);
        if assignment.state == RunState::Sent {
            assignment.state = RunState::Running;
            assignment.changed_at = now;
            let job = self.jobs.get(&start.key.job);
            let checkpoint = job.and_then(|job| job.checkpoint(&start.key));
            assignment.is_timed = checkpoint.is_some_and(|checkpoint| checkpoint.is_empty());
        }
        self.record_confirmation(start, now);
        self.mark_job_started(&start.key.job, now);
    }

    /// Records that a worker has started a task of a job.
    pub(crate) fn mark_job_started(&mut self, job: &str, now: Duration) {
        if let Some(job) = self.jobs.get_mut(job)
            && !std::mem::replace(&mut job.has_started, true)
        {
            self.admission.record_start(&job.origin(), job.arrived, &job.id, now);
        }
    }

    /// Proof that a run has not started; none if it may have, or if it is not assigned.
    pub fn not_started(&self, start: &StartOrder) -> Option<NotStarted> {
        let assignment = self.pool.get(&start.worker)?.assignments.get(&start.key)?;
        if assignment.run != start.run || assignment.state == RunState::Recovered {
            return None;
        }
        assignment.fate.not_started()
    }

    /// Releases a run that has not started and can no longer start.
    pub fn reject_start(
        &mut self,
        start: &StartOrder,
        _proof: NotStarted,
        reason: Refusal,
        now: Duration,
        store_clock_ms: u64,
    ) {
        let Some(worker) = self.pool.get_mut(&start.worker) else { return };
        if worker.release(&start.key, start.run).is_none() {
            return;
        }
        if let Some(job) = self.jobs.get_mut(&start.key.job)
            && reason == Refusal::Ticket
            && let Some(step) = job.steps.get_mut(start.key.step as usize)
            && let Some(Eligibility::Allowed { expires, .. }) =
                step.eligibility.get_mut(&start.worker)
        {
            *expires = Duration::ZERO;
        }
        if reason == Refusal::Unhealthy {
            self.record_refusal(start, now);
        }
        self.finish_run(&start.key, start.run, Outcome::Stopped, now, store_clock_ms);
    }

    /// Records that a worker confirmed a stop that was sent with a mark.
    ///
    /// The run has ended or can no longer start, unless sends of its start are still open.
    pub fn confirm_stop(&mut self, stop: &StopOrder, mark: StopMark, now: Duration) {
        let Some(worker) = self.pool.get_mut(&stop.worker) else { return };
        let Some(assignment) = worker.assignment_mut(&stop.key, stop.run) else { return };
        assignment.state = RunState::Stopped;
        assignment.changed_at = now;
        assignment.fate.record_stopped(mark);
    }

    /// Applies the result of an advice call; `None` if the call failed.
    pub fn apply_advice(
        &mut self,
        key: &AdviceKey,
        allowed: Option<(Vec<(Name, Name)>, Duration)>,
        now: Duration,
    ) {
        let Some(job) = self.jobs.get_mut(&key.job) else { return };
        let Some(step) = job.steps.get_mut(key.step as usize) else { return };
        let last_call = step.pending_advice.keys().next_back().copied().unwrap_or_default();
        let Some(named_workers) = step.pending_advice.remove(&key.number) else { return };
        let Some((allowed, validity)) = allowed else {
            let doublings = step.advice_failures.min(MAX_ADVICE_RETRY_DOUBLINGS);
            step.advice_failures += 1;
            step.advice_not_before = now + ADVICE_RETRY_DELAY * (1 << doublings);
            return;
        };
        step.last_advice_at = now;
        step.advice_failures = 0;
        let newly_named =
            named_workers.iter().filter(|worker| !step.eligibility.contains_key(*worker)).count();
        let (mut newly_allowed, mut ticketed) = (0, Vec::new());
        let expires = (now + validity).saturating_sub(TICKET_MARGIN);
        step.tickets_until = step.tickets_until.max(expires);
        for worker in named_workers {
            let is_new = !step.eligibility.contains_key(&worker);
            let ticket = allowed.iter().find(|(id, _)| *id == worker);
            let eligibility = ticket.map_or(Eligibility::Denied, |(_, ticket)| {
                newly_allowed += usize::from(is_new);
                ticketed.push(worker.clone());
                Eligibility::Allowed { ticket: ticket.clone(), expires }
            });
            step.eligibility.insert(worker, eligibility);
        }
        if job.phase == Phase::Open {
            let spec = job.submission.steps.get(key.step as usize);
            let is_gang = spec.is_some_and(|spec| spec.is_gang);
            self.rounds.record_tickets(key, is_gang, last_call, ticketed, expires);
        }
        self.estimator.observe_advice(&job.queue, newly_named, newly_allowed);
    }

    /// Number of open jobs.
    pub fn open_jobs(&self) -> usize {
        self.ranked_jobs.len()
    }

    /// Number of a queue's durable open jobs without a started task.
    pub fn pending_jobs(&self, queue: &str) -> usize {
        let open = self.ranked_jobs.iter().filter_map(|(_, _, id)| self.jobs.get(id));
        open.filter(|job| &*job.queue == queue && !job.has_started && job.durable_phase.is_some())
            .count()
    }

    /// Removes a job that has ended; false if it is open or unknown.
    pub fn remove_ended_job(&mut self, id: &str) -> bool {
        let ended = self.jobs.get(id).is_some_and(|job| job.phase != Phase::Open);
        ended && self.jobs.remove(id).is_some()
    }
}

/// Time of the longest chain of steps, given the run time of each.
fn longest_chain(submission: &Submission, run_time: impl Fn(&Step) -> Duration) -> Duration {
    let mut path_lengths = vec![Duration::ZERO; submission.steps.len()];
    for (step_index, step) in submission.steps.iter().enumerate() {
        let earliest_start =
            step.after.iter().filter_map(|earlier| path_lengths.get(*earlier as usize));
        let earliest_start = earliest_start.max().copied().unwrap_or_default();
        path_lengths[step_index] = earliest_start + run_time(step);
    }
    path_lengths.into_iter().max().unwrap_or_default()
}

/// Delay before a failed advice call is retried; doubled with each further failure.
const ADVICE_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Most doublings of the delay before a failed advice call is retried.
const MAX_ADVICE_RETRY_DOUBLINGS: u32 = 5;
