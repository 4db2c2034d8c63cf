//! Health of the workers: refused starts and failed runs, and the backoff that follows from them.
//!
//! A refused or unanswered start and a failed run may be the fault of the worker or of the job. Each
//! worker keeps them by job: the job stays away from the worker for a backoff that grows with each
//! further one. The worker is passed over by all jobs only for a first backoff after a refused start, and
//! as several jobs had starts refused or runs failed there; that backoff grows with the number of such jobs.
//!
//! Until a run there ends `done`, or a start is confirmed, the worker takes trial starts only, one
//! at a time, if no other worker has room. A trial after failed runs has to last. Jobs without such a
//! start or run on the worker have their trial first: one job that can never be done leaves a worker that
//! alone fits to the others. A step that no other worker fits does not wait for the end of a long
//! backoff.
//!
//! What a second worker says of the same step tells of the step: it does not count against that
//! worker, and the starts of a step that several workers refused are delayed.

use std::time::Duration;

use common::Name;

use crate::job::TaskKey;
use crate::scheduler::{Scheduler, StartOrder};
use crate::step::StepState;
use crate::worker::{Assignment, RunState, Worker};

/// First backoff after a refused start; doubled with each further one of a job, and with each further job.
const BASE_BACKOFF: Duration = Duration::from_millis(200);

/// Longest backoff after refused starts.
const MAX_BACKOFF: Duration = Duration::from_millis(3200);

/// Consecutive failed runs after which a worker is closed to the jobs of further ones.
const QUARANTINE_AFTER_FAILURES: u32 = 3;

/// Jobs with failed runs after which a worker is quarantined for all jobs.
const QUARANTINE_AFTER_JOBS: u32 = 3;

/// Jobs whose refused starts and failed runs a worker keeps, the latest ones.
const MAX_DOUBTED_JOBS: usize = 32;

/// First quarantine period; doubled with each further failure or job.
const BASE_QUARANTINE: Duration = Duration::from_secs(3);

/// Time from a worker's first backoff or quarantine since a success after which it takes trials of steps
/// that no other worker fits.
///
/// Shorter than the time for which a job may have nothing running.
const LAST_RESORT_AFTER: Duration = Duration::from_millis(2500);

/// Longest quarantine period.
const MAX_QUARANTINE: Duration = Duration::from_secs(24);

/// Time for which a trial run after a quarantine keeps other starts away.
const TRIAL_TIME: Duration = Duration::from_secs(1);

/// First delay of a step's starts after several workers refused them; doubled with each refusal.
const BASE_STEP_DELAY: Duration = Duration::from_millis(20);

/// Longest delay of a step's starts.
const MAX_STEP_DELAY: Duration = Duration::from_millis(1280);

/// Most doublings of a delay, which keeps the product in range.
const MAX_DOUBLINGS: u32 = 8;

common::data! {
    /// What workers said of a step's starts and runs.
    #[derive(Default)]
    pub struct Doubt {
        /// Workers that refused a start or left it unanswered since the last confirmed one.
        pub(crate) refused_by: Vec<Name>,
        /// Delays since the last confirmed start.
        delays: u32,
        /// Earliest time of the next start.
        pub(crate) starts_not_before: Duration,
        /// The first worker on which a run failed since the last success.
        failed_on: Option<Name>,
    }
}

common::data! {
    /// Starts refused and runs failed on a worker that are of one job, since its last success.
    #[derive(Default)]
    pub struct JobDoubt {
        /// The job.
        job: Name,
        /// Starts that were refused or stayed unanswered after the end of the former backoff.
        refused_starts: u32,
        /// Runs that failed after the end of the former backoff.
        failed_runs: u32,
        /// Quarantines of the worker for the job.
        quarantines: u32,
        /// Until when the worker is closed to the job; zero if it is not.
        closed_until: Duration,
    }
}

/// A delay that doubles, up to a longest one.
fn doubled(base: Duration, doublings: u32, longest: Duration) -> Duration {
    (base * (1 << doublings.min(MAX_DOUBLINGS))).min(longest)
}

impl Worker {
    /// Whether it takes trial starts only.
    pub fn needs_trial(&self) -> bool {
        self.refusing_jobs() > 0 || self.consecutive_failures >= QUARANTINE_AFTER_FAILURES
    }

    /// Whether it is passed over: for a backoff, or for a trial that is under way.
    pub(crate) fn is_passed_over(&self, now: Duration) -> bool {
        self.quarantined_until > now || self.has_trial(now)
    }

    /// Whether it takes a trial of a step that no other worker fits, although it is passed over.
    pub(crate) fn is_last_resort(&self, now: Duration) -> bool {
        let is_due = self.quarantined_since.is_some_and(|since| now >= since + LAST_RESORT_AFTER);
        is_due && self.is_open() && self.quarantined_until > now && !self.has_trial(now)
    }

    /// Whether it needs a trial and one is under way.
    fn has_trial(&self, now: Duration) -> bool {
        let is_trial = |assignment: &Assignment| match assignment.state {
            RunState::Committing | RunState::Sent => true,
            RunState::Running => {
                self.consecutive_failures >= QUARANTINE_AFTER_FAILURES
                    && now < assignment.changed_at + TRIAL_TIME
            }
            _ => false,
        };
        self.needs_trial() && self.assignments.values().any(is_trial)
    }

    /// Whether it is closed to a job.
    pub(crate) fn is_closed_to(&self, job: &str, now: Duration) -> bool {
        self.doubts.iter().any(|doubt| *doubt.job == *job && doubt.closed_until > now)
    }

    /// When it is open to a job.
    pub(crate) fn opens_at(&self, job: &str) -> Duration {
        let own = self.doubts.iter().find(|doubt| *doubt.job == *job);
        own.map_or(Duration::ZERO, |doubt| doubt.closed_until).max(self.quarantined_until)
    }

    /// Jobs to which it is closed.
    pub(crate) fn jobs_kept_away(&self, now: Duration) -> Vec<Name> {
        let closed = self.doubts.iter().filter(|doubt| doubt.closed_until > now);
        closed.map(|doubt| doubt.job.clone()).collect()
    }

    /// Jobs whose starts it refused or whose runs failed on it.
    pub(crate) fn doubted_jobs(&self) -> Vec<Name> {
        self.doubts.iter().map(|doubt| doubt.job.clone()).collect()
    }

    /// Number of jobs whose starts it refused or left unanswered.
    fn refusing_jobs(&self) -> u32 {
        self.doubts.iter().filter(|doubt| doubt.refused_starts > 0).count() as u32
    }

    /// Number of jobs whose runs failed on it since the last success.
    pub fn failing_jobs(&self) -> u32 {
        self.doubts.iter().filter(|doubt| doubt.failed_runs > 0).count() as u32
    }

    /// What speaks against a job on it.
    fn doubt_mut(&mut self, job: &Name) -> &mut JobDoubt {
        let position = self.doubts.iter().position(|doubt| doubt.job == *job);
        let position = position.unwrap_or_else(|| {
            if self.doubts.len() >= MAX_DOUBTED_JOBS {
                self.doubts.remove(0);
            }
            self.doubts.push(JobDoubt { job: job.clone(), ..JobDoubt::default() });
            self.doubts.len() - 1
        });
        &mut self.doubts[position]
    }

    /// Ends its backoffs and quarantines, after a successful run or a restart.
    pub(crate) fn end_quarantine(&mut self) {
        self.consecutive_failures = 0;
        self.doubts.clear();
        self.quarantined_until = Duration::ZERO;
        self.quarantined_since = None;
    }

    /// Records a failed run of a job; true if the worker is now closed to the job, or to all.
    ///
    /// Runs that were under way when the quarantine began do not make it longer.
    pub fn record_failure(&mut self, job: &Name, now: Duration) -> bool {
        self.consecutive_failures += 1;
        let failures = self.consecutive_failures;
        let doubt = self.doubt_mut(job);
        if doubt.closed_until > now {
            return false;
        }
        let is_first = doubt.failed_runs == 0;
        doubt.failed_runs += 1;
        if failures < QUARANTINE_AFTER_FAILURES {
            return false;
        }
        doubt.closed_until = now + doubled(BASE_QUARANTINE, doubt.quarantines, MAX_QUARANTINE);
        doubt.quarantines += 1;
        let jobs = self.failing_jobs();
        if is_first && jobs >= QUARANTINE_AFTER_JOBS {
            let period = doubled(BASE_QUARANTINE, jobs - QUARANTINE_AFTER_JOBS, MAX_QUARANTINE);
            let until = self.quarantined_until.max(now + period);
            self.quarantined_until = until;
            self.quarantined_since.get_or_insert(now);
            for doubt in self.doubts.iter_mut().filter(|doubt| doubt.failed_runs > 0) {
                doubt.closed_until = doubt.closed_until.max(until);
            }
        }
        true
    }

    /// Records a start of a job that was refused or stayed unanswered.
    ///
    /// Those that were on their way when the backoff began do not make it longer.
    fn record_refusal(&mut self, job: &Name, now: Duration) {
        if self.quarantined_until > now {
            return;
        }
        let doubt = self.doubt_mut(job);
        if doubt.closed_until > now {
            return;
        }
        let is_first = doubt.refused_starts == 0;
        doubt.closed_until = now + doubled(BASE_BACKOFF, doubt.refused_starts, MAX_BACKOFF);
        doubt.refused_starts += 1;
        if is_first {
            let jobs = self.refusing_jobs();
            self.quarantined_until = now + doubled(BASE_BACKOFF, jobs - 1, MAX_BACKOFF);
            self.quarantined_since.get_or_insert(now);
        }
    }

    /// Records a confirmed start, which ends backoffs if it is the trial.
    fn record_confirmation(&mut self, now: Duration) {
        if self.quarantined_until <= now {
            self.doubts.retain(|doubt| doubt.failed_runs > 0);
            for doubt in &mut self.doubts {
                doubt.refused_starts = 0;
            }
            if self.doubts.is_empty() {
                self.quarantined_since = None;
            }
        }
    }
}

impl StepState {
    /// Records a start that a worker refused or left unanswered; true if it tells of the worker.
    fn record_refusal(&mut self, worker: &Name, now: Duration) -> bool {
        let doubt = &mut self.doubt;
        if !doubt.refused_by.contains(worker) {
            doubt.refused_by.push(worker.clone());
        }
        if doubt.refused_by.len() == 1 {
            return true;
        }
        if doubt.starts_not_before <= now {
            let delay = doubled(BASE_STEP_DELAY, doubt.delays, MAX_STEP_DELAY);
            doubt.starts_not_before = now + delay;
            doubt.delays += 1;
        }
        false
    }
}

impl Scheduler {
    /// Records that a worker refused a start as unhealthy or left it unanswered.
    pub fn record_refusal(&mut self, start: &StartOrder, now: Duration) {
        let step = self.step_mut(&start.key);
        let is_of_worker = step.is_none_or(|step| step.record_refusal(&start.worker, now));
        if is_of_worker && let Some(worker) = self.pool.get_mut(&start.worker) {
            worker.record_refusal(&start.key.job, now);
        }
    }

    /// Records that a worker confirmed a start.
    pub(crate) fn record_confirmation(&mut self, start: &StartOrder, now: Duration) {
        if let Some(worker) = self.pool.get_mut(&start.worker) {
            worker.record_confirmation(now);
        }
        if let Some(step) = self.step_mut(&start.key) {
            let failed_on = step.doubt.failed_on.take();
            step.doubt = Doubt { failed_on, ..Doubt::default() };
        }
    }

    /// Records that a run has ended `done`.
    pub(crate) fn record_success(&mut self, id: &str, key: &TaskKey) {
        if let Some(worker) = self.pool.get_mut(id) {
            worker.end_quarantine();
        }
        if let Some(step) = self.step_mut(key) {
            step.doubt.failed_on = None;
        }
    }

    /// Records that a run has ended `failed`.
    pub(crate) fn record_failed_run(&mut self, id: &Name, key: &TaskKey, now: Duration) {
        let step = self.step_mut(key);
        let first = step.map(|step| step.doubt.failed_on.get_or_insert_with(|| id.clone()));
        if first.is_none_or(|first| first == id)
            && let Some(worker) = self.pool.get_mut(id)
            && worker.record_failure(&key.job, now)
        {
            self.newly_quarantined.push(id.clone());
        }
    }

    /// The state of a task's step.
    fn step_mut(&mut self, key: &TaskKey) -> Option<&mut StepState> {
        self.jobs.get_mut(&key.job)?.steps.get_mut(key.step as usize)
    }
}
