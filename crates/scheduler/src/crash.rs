//! Workers that crash, and the tasks that may have crashed them.
//!
//! A worker's crash ends all that runs on it, and does not tell which run caused it. So each task
//! that was on the worker counts the crash, and what is counted is stored with the task before it
//! is started again. A task under which a worker crashed is not placed beside those of other
//! steps with that suspicion, and apart from all others where there is room. After a second crash, or if
//! several workers crashed under its step, it waits for a worker to itself, and the other tasks
//! of the step wait for its trial to end. The job fails once two workers have crashed under a task and
//! the last one ran nothing but its step, or once so many have that it has to end.
//!
//! Another process that answers in a worker's place, or a later life under its id, proves a crash. It
//! counts less for a run of which this leader does not know whether it was there, or which may have
//! ended before. A worker that is silent may have crashed, stand still or be cut off: its tasks remember
//! it until it is heard of, and keep apart from others meanwhile, but it fails no job. A worker that
//! has announced its departure counts for nothing.

use std::sync::Arc;
use std::time::Duration;

use common::Name;

use crate::job::{Phase, Site, StoredWorker, Task, TaskKey};
use crate::runs::Outcome;
use crate::scheduler::Scheduler;
use crate::step::StepState;
use crate::worker::{Assignment, Registration, RunState, Worker};

/// Workers that crash under a task before its job fails, if the last ran nothing but its step.
const MAX_CRASHES_ALONE: u8 = 2;

/// Workers that crash under a task before its job fails, whatever else ran there.
const MAX_CRASHED_WORKERS: u32 = 4;

/// Silent workers that a task remembers, the latest ones.
const MAX_SILENT_WORKERS: usize = MAX_CRASHED_WORKERS as usize;

/// Crashed workers of a task or of its step from which it needs a worker to itself.
const ALONE_AFTER: u32 = 2;

/// Part of its expected run time, as a divisor, after which a run may have ended before its worker
/// crashed.
const PROVEN_RUN_TIME_DIVISOR: u32 = 2;

/// Share of runs that end sooner than one that certainly has not ended, if a history shows it.
const SHORTEST_RUN_SHARE: f64 = 0.05;

/// Time from a confirmed start for which the run of a suspected task is on trial.
const TRIAL_TIME: Duration = Duration::from_secs(2);

/// Longest wait of suspected tasks for a worker to themselves.
const ISOLATION_WAIT: Duration = Duration::from_secs(6);

/// Longest wait of a task for news of its silent workers, if it has to end should they have crashed.
const NEWS_WAIT: Duration = Duration::from_millis(2500);

common::key! {
    /// What is known of a worker that is gone.
    pub enum Loss {
        /// Its process has ended, as another one answers in its place.
        Crash,
        /// It announced that it leaves.
        Departure,
        /// Its lease has expired: it crashed, stands still or cannot be reached.
        Silence,
    }

    /// How the waiting tasks of a step are placed.
    pub(crate) enum Care {
        /// Beside any others.
        Usual,
        /// Not beside others under suspicion, and away from all others if there is room.
        Apart,
        /// On a worker that runs nothing else, and not before the trial of others of the step.
        Alone,
    }
}

common::data! {
    /// A run that was lost with its worker.
    pub struct LostRun {
        /// Task of the run.
        pub key: TaskKey,
        /// Number of the run.
        pub run: u32,
        /// Id of the worker.
        pub worker: Name,
        /// What is known of the worker.
        pub loss: Loss,
        /// Whether the worker had confirmed the start or listed the run.
        pub is_confirmed: bool,
        /// Time from the last change of its state, usually its confirmed start, until its worker fell
        /// silent.
        pub ran_for: Duration,
        /// Number of runs that were lost at the same time.
        pub lost_together: usize,
    }

    /// A task's loss of a run by silence that is explained, as the worker was heard of.
    pub struct Explanation {
        /// Task of the run.
        pub key: TaskKey,
        /// Id of the worker.
        pub worker: Name,
        /// What became of the worker; `None` if its process was running all the while.
        pub loss: Option<Loss>,
    }

    /// What a step is suspected of.
    #[derive(Default)]
    pub struct Suspicion {
        /// Workers that crashed under its tasks, as far as this leader knows.
        crashed: Vec<Name>,
        /// Since when its tasks wait for a worker apart from others, or for news of silent ones.
        waits_since: Option<Duration>,
    }
}

impl Assignment {
    /// Whether it may have been running when its worker was lost, and that is not counted yet.
    fn may_have_run(&self) -> bool {
        let may_have_run = self.state == RunState::Recovered || self.fate.may_have_started();
        may_have_run && !self.is_lost
    }

    /// Whether it has not yet run for long enough to clear it of suspicion.
    fn is_on_trial(&self, now: Duration) -> bool {
        self.state != RunState::Running || now < self.changed_at + TRIAL_TIME
    }
}

impl StepState {
    /// Tasks that have not succeeded and lost workers, with their indexes.
    fn suspected_tasks(&self) -> impl Iterator<Item = (usize, &Task)> {
        let tasks = self.tasks.iter().enumerate();
        tasks.filter(|(_, task)| task.lost_workers() > 0 && !task.is_done)
    }

    /// Records that a worker crashed under the step.
    fn record_crash(&mut self, worker: &Name) {
        if !self.has_crashed(worker) {
            self.suspicion.get_or_insert_default().crashed.push(worker.clone());
        }
    }

    /// Whether a worker crashed under the step.
    pub(crate) fn has_crashed(&self, worker: &Name) -> bool {
        self.suspicion.as_ref().is_some_and(|suspicion| suspicion.crashed.contains(worker))
    }

    /// Number of workers that crashed under the step.
    fn crashed_workers(&self) -> u32 {
        self.suspicion.as_ref().map_or(0, |suspicion| suspicion.crashed.len() as u32)
    }

    /// Records that tasks wait for a worker to themselves; false if they have waited for too long.
    pub(crate) fn may_isolate(&mut self, now: Duration) -> bool {
        let suspicion = self.suspicion.get_or_insert_default();
        now < *suspicion.waits_since.get_or_insert(now) + ISOLATION_WAIT
    }

    /// Whether tasks wait for news of their silent workers, as they have to end if these have crashed;
    /// false if they have waited for too long.
    pub(crate) fn may_await_news(&mut self, now: Duration) -> bool {
        let is_at_limit = |task: &Task| {
            task.is_waiting()
                && !task.silent_workers.is_empty()
                && task.lost_workers() >= MAX_CRASHED_WORKERS
        };
        if !self.tasks.iter().any(is_at_limit) {
            return false;
        }
        let suspicion = self.suspicion.get_or_insert_default();
        now < *suspicion.waits_since.get_or_insert(now) + NEWS_WAIT
    }

    /// Records that tasks are placed.
    pub(crate) fn end_isolation(&mut self) {
        if let Some(suspicion) = &mut self.suspicion {
            suspicion.waits_since = None;
        }
    }

    /// Since when tasks wait for a worker to themselves; `None` if they do not.
    fn isolating_since(&self) -> Option<Duration> {
        self.suspicion.as_ref()?.waits_since
    }

    /// Whether tasks wait for a worker to themselves and may do so any longer.
    fn is_isolating(&self, now: Duration) -> bool {
        self.isolating_since().is_some_and(|since| now < since + ISOLATION_WAIT)
    }

    /// Whether tasks have waited for a worker to themselves for too long.
    pub(crate) fn has_isolated_too_long(&self, now: Duration) -> bool {
        self.isolating_since().is_some_and(|since| now >= since + ISOLATION_WAIT)
    }
}

impl Scheduler {
    /// Ends all runs of a worker once none can still be active: the worker is gone, or its lease has
    /// expired.
    pub fn abandon_runs(&mut self, id: &Name, loss: Loss, now: Duration, store_clock_ms: u64) {
        self.abandon_runs_of(id, loss, |_| true, now, store_clock_ms);
    }

    /// Ends the runs of some tasks on a worker, which can no longer be active.
    pub fn abandon_runs_of(
        &mut self,
        id: &Name,
        loss: Loss,
        is_meant: impl Fn(&TaskKey) -> bool,
        now: Duration,
        store_clock_ms: u64,
    ) {
        let Some(worker) = self.pool.get_mut(id) else { return };
        let was_one_step = is_one_step(worker.assignments.keys());
        let meant = worker.assignments.iter().filter(|(key, _)| is_meant(key));
        let meant: Vec<_> = meant.map(|(key, run)| (key.clone(), run.run)).collect();
        let runs = meant.into_iter().filter_map(|(key, run)| {
            let assignment = worker.release(&key, run)?;
            Some((key, assignment))
        });
        let runs: Vec<_> = runs.collect();
        let until = worker.silent_since.unwrap_or(now);
        if !worker.is_listed && worker.assignments.is_empty() {
            self.pool.remove(id);
        }
        if loss != Loss::Silence {
            self.explain_silence(id, Some(loss), |_| true, store_clock_ms);
        }
        let tasks = self.record_losses(id, loss, &runs, until);
        for (key, assignment) in &runs {
            self.finish_run(key, assignment.run, Outcome::LeaseExpired, now, store_clock_ms);
        }
        self.fail_crashing(&tasks, was_one_step, store_clock_ms);
    }

    /// Records the runs that were lost with a worker, which fell silent at `until`; returns the tasks
    /// that count it.
    pub(crate) fn record_losses(
        &mut self,
        worker: &Name,
        loss: Loss,
        runs: &[(TaskKey, Assignment)],
        until: Duration,
    ) -> Vec<TaskKey> {
        let mut tasks = Vec::new();
        for (key, assignment) in runs.iter().filter(|(_, run)| run.may_have_run()) {
            let ran_for = until.saturating_sub(assignment.changed_at);
            self.lost_runs.push(LostRun {
                key: key.clone(),
                run: assignment.run,
                worker: worker.clone(),
                loss,
                is_confirmed: assignment.fate.is_seen(),
                ran_for,
                lost_together: runs.len(),
            });
            let is_proven = loss == Loss::Crash
                && assignment.fate.is_seen()
                && ran_for <= self.proven_run_time(worker, key);
            if loss != Loss::Departure && self.count_loss(key, assignment, worker, loss, is_proven)
            {
                tasks.push(key.clone());
            }
        }
        tasks
    }

    /// Time for which a run of a task on a worker has certainly not ended.
    fn proven_run_time(&self, worker: &str, key: &TaskKey) -> Duration {
        let Some(prediction) = self.predict_on(worker, key) else { return Duration::ZERO };
        let shortest = prediction.quantile(SHORTEST_RUN_SHARE).unwrap_or(prediction.expected);
        shortest.min(prediction.expected / PROVEN_RUN_TIME_DIVISOR)
    }

    /// Counts a lost worker of a task; false if the run is not the task's present one.
    fn count_loss(
        &mut self,
        key: &TaskKey,
        assignment: &Assignment,
        worker: &Name,
        loss: Loss,
        is_proven: bool,
    ) -> bool {
        let Some(job) = self.jobs.get_mut(&key.job) else { return false };
        let Some(step) = job.steps.get_mut(key.step as usize) else { return false };
        let task = step.tasks.get_mut(key.index as usize);
        let task = task.filter(|task| task.run == assignment.run && !task.is_done);
        let Some(task) = task else { return false };
        let has_successor = |site: &Arc<Site>| {
            self.pool.iter().any(|other| is_successor(&other.registration, worker, site))
        };
        if loss == Loss::Silence && !task.site.as_ref().is_some_and(has_successor) {
            let silent = StoredWorker { id: worker.clone(), site: task.site.clone() };
            task.add_silent_worker(silent, MAX_SILENT_WORKERS);
            self.silences.entry(worker.clone()).or_default().insert(key.clone());
        } else if is_proven {
            task.crashes = task.crashes.saturating_add(1);
            step.record_crash(worker);
        } else {
            task.doubtful_crashes = task.doubtful_crashes.saturating_add(1);
        }
        self.changed_jobs.insert(key.job.clone());
        self.suspects.insert((key.job.clone(), key.step));
        true
    }

    /// Takes note of what became of a worker that was silent, for the tasks that lost it where `is_meant`
    /// holds.
    ///
    /// A crash does not prove that a run was still there: its lease had expired by then.
    fn explain_silence(
        &mut self,
        id: &Name,
        loss: Option<Loss>,
        is_meant: impl Fn(&Site) -> bool,
        store_clock_ms: u64,
    ) {
        let Some(keys) = self.silences.get_mut(id) else { return };
        let mut explained = Vec::new();
        keys.retain(|key| {
            let job = self.jobs.get_mut(&key.job).filter(|job| job.phase == Phase::Open);
            let Some(step) = job.and_then(|job| job.steps.get_mut(key.step as usize)) else {
                return false;
            };
            let Some(task) = step.tasks.get_mut(key.index as usize) else { return false };
            let is_explained = |worker: &mut StoredWorker| {
                worker.id == *id && is_meant(worker.site.as_deref().unwrap_or(&Site::default()))
            };
            let is_lost = task.silent_workers.extract_if(.., is_explained).count() > 0;
            let is_silent = task.silent_workers.iter().any(|worker| worker.id == *id);
            if is_lost {
                explained.push(key.clone());
            }
            if is_lost && loss == Some(Loss::Crash) {
                task.doubtful_crashes = task.doubtful_crashes.saturating_add(1);
                step.record_crash(id);
            }
            is_silent
        });
        if keys.is_empty() {
            self.silences.remove(id);
        }
        for key in &explained {
            self.changed_jobs.insert(key.job.clone());
            let (key, worker) = (key.clone(), id.clone());
            self.explanations.push(Explanation { key, worker, loss });
        }
        if loss == Some(Loss::Crash) {
            self.fail_crashing(&explained, false, store_clock_ms);
        }
    }

    /// Takes note that an incarnation of a worker answers.
    pub(crate) fn settle_silence(&mut self, id: &Name, incarnation: u64, store_clock_ms: u64) {
        if self.silences.contains_key(id) {
            let is_former = |site: &Site| site.is_other(incarnation);
            self.explain_silence(id, Some(Loss::Crash), is_former, store_clock_ms);
            self.explain_silence(id, None, |_| true, store_clock_ms);
        }
    }

    /// Adds a worker or updates its registration, which may tell that a silent one has crashed.
    pub fn register(&mut self, registration: Registration, store_clock_ms: u64) {
        self.pool.register(registration.clone());
        self.explain_former(&registration, store_clock_ms);
    }

    /// Takes note of silent workers that have crashed by what is known of all workers.
    pub fn explain_silences(&mut self, store_clock_ms: u64) {
        if self.silences.is_empty() {
            return;
        }
        let registrations = self.pool.iter().map(|worker| worker.registration.clone());
        for registration in registrations.collect::<Vec<_>>() {
            self.explain_former(&registration, store_clock_ms);
        }
    }

    /// Takes note of silent workers of which a registration tells that they have crashed.
    fn explain_former(&mut self, registration: &Registration, store_clock_ms: u64) {
        let silent: Vec<Name> = self.silences.keys().cloned().collect();
        for id in silent {
            let is_former = |site: &Site| is_successor(registration, &id, site);
            self.explain_silence(&id, Some(Loss::Crash), is_former, store_clock_ms);
        }
    }

    /// Fails the jobs of tasks under which too many workers were lost.
    pub(crate) fn fail_crashing(
        &mut self,
        tasks: &[TaskKey],
        was_alone: bool,
        store_clock_ms: u64,
    ) {
        for key in tasks {
            let job = self.jobs.get(&key.job).filter(|job| job.phase == Phase::Open);
            // The details of a job that has ended may be dropped.
            let step = job.and_then(|job| job.steps.get(key.step as usize));
            let Some(task) = step.and_then(|step| step.tasks.get(key.index as usize)) else {
                continue;
            };
            let is_proven = was_alone && task.crashes >= MAX_CRASHES_ALONE;
            if !task.is_done && (is_proven || task.crashed_workers() >= MAX_CRASHED_WORKERS) {
                self.crashing_tasks.push(key.clone());
                self.finish_job(&key.job, Phase::Failed, store_clock_ms);
            }
        }
    }

    /// Drops the steps that are no longer under suspicion.
    pub(crate) fn clear_suspects(&mut self) {
        let jobs = &self.jobs;
        self.silences.retain(|_, keys| {
            keys.retain(|key| jobs.get(&key.job).is_some_and(|job| job.phase == Phase::Open));
            !keys.is_empty()
        });
        self.suspects.retain(|(job, step)| {
            let job = jobs.get(job).filter(|job| job.phase == Phase::Open);
            let step = job.and_then(|job| job.steps.get(*step as usize));
            step.is_some_and(|step| step.suspected_tasks().next().is_some())
        });
    }

    /// How the waiting tasks of a step are to be placed.
    pub(crate) fn care(&self, job: &Name, step_index: u32, now: Duration) -> Care {
        if self.suspects.is_empty() || !self.suspects.contains(&(job.clone(), step_index)) {
            return Care::Usual;
        }
        let step = self.jobs.get(job).and_then(|job| job.steps.get(step_index as usize));
        let Some(step) = step else { return Care::Usual };
        let is_open = |(index, task): &(usize, &Task)| {
            task.worker.as_ref().is_none_or(|worker| {
                let key = TaskKey { job: job.clone(), step: step_index, index: *index as u32 };
                self.is_on_trial(worker, &key, now)
            })
        };
        let open = step.suspected_tasks().filter(is_open);
        match open.map(|(_, task)| task.crashed_workers()).max() {
            None => Care::Usual,
            Some(crashed) if crashed.max(step.crashed_workers()) >= ALONE_AFTER => Care::Alone,
            Some(_) => Care::Apart,
        }
    }

    /// Whether the run of a task on a worker is on trial.
    fn is_on_trial(&self, worker: &Name, key: &TaskKey, now: Duration) -> bool {
        let assignment = self.pool.get(worker).and_then(|worker| worker.assignments.get(key));
        assignment.is_some_and(|assignment| assignment.is_on_trial(now))
    }

    /// Workers with a suspected task on trial, and the task's step.
    pub(crate) fn trials(&self, now: Duration) -> Vec<(Name, (Name, u32))> {
        let mut trials = Vec::new();
        for (job, step_index) in &self.suspects {
            let step = self.jobs.get(job).and_then(|job| job.steps.get(*step_index as usize));
            for (index, task) in step.into_iter().flat_map(StepState::suspected_tasks) {
                let key = TaskKey { job: job.clone(), step: *step_index, index: index as u32 };
                if let Some(worker) = &task.worker
                    && self.is_on_trial(worker, &key, now)
                {
                    trials.push((worker.clone(), (job.clone(), *step_index)));
                }
            }
        }
        trials
    }

    /// Whether tasks of a step are held back: for a worker apart from others, or for a trial to end.
    pub(crate) fn is_isolating(&self, job: &Name, step_index: u32, now: Duration) -> bool {
        if self.care(job, step_index, now) == Care::Usual {
            return false;
        }
        let step = self.jobs.get(job).and_then(|job| job.steps.get(step_index as usize));
        let is_of_step = |(_, step): &(Name, (Name, u32))| step.0 == *job && step.1 == step_index;
        step.is_some_and(|step| step.is_isolating(now)) || self.trials(now).iter().any(is_of_step)
    }
}

impl Worker {
    /// Takes note of the runs of former incarnations, which a list of the present one lacks.
    ///
    /// A run is placed only once its worker's incarnation has listed its runs, so that any other one
    /// that lists them is later.
    ///
    /// What is still on its way to the worker is stopped.
    pub(crate) fn take_crashed_runs(
        &mut self,
        incarnation: u64,
        is_listed: impl Fn(&TaskKey) -> bool,
    ) -> Vec<(TaskKey, Assignment)> {
        let mut crashed = Vec::new();
        for (key, run) in &mut self.assignments {
            let is_former = run.incarnation > 0
                && incarnation > 0
                && run.incarnation != incarnation
                && !run.is_lost;
            let has_run = run.state == RunState::Recovered
                || run.fate.is_seen()
                || run.fate.has_unanswered_send();
            if is_former && has_run && !is_listed(key) {
                crashed.push((key.clone(), run.clone()));
                run.is_lost = true;
            }
        }
        crashed
    }
}

/// Whether a registration is that of a later life of a worker, or of a later worker in its place.
fn is_successor(registration: &Registration, id: &Name, site: &Site) -> bool {
    // The list of workers names the life that a run was placed in before the run is placed, and those of
    // one worker in their order. An earlier worker at the address may still be listed.
    if registration.id == *id {
        return site.is_other(registration.incarnation);
    }
    registration.address == site.address && site.is_before(registration.incarnation)
}

/// Whether all runs are of one step.
pub(crate) fn is_one_step<'a>(runs: impl IntoIterator<Item = &'a TaskKey>) -> bool {
    let mut steps = runs.into_iter().map(|key| (&key.job, key.step));
    let first = steps.next();
    steps.all(|step| Some(step) == first)
}
