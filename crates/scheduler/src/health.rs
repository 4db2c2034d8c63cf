//! Health of the workers: refused starts and failed runs, and the backoff that follows from them.
//!
//! A worker whose start was refused as unhealthy or stayed unanswered gets no further ones until
//! its backoff has ended, and then one trial start; a confirmed trial ends the backoffs, any other
//! result begins a longer one. Runs that fail one after the other have the same effect, and there
//! the trial has to last. Until then other workers with room are preferred.
//!
//! What a second worker says of the same step tells of the step: it does not count against that
//! worker, and the starts of a step that several workers refused are delayed.

use std::time::Duration;

use common::Name;

use crate::job::TaskKey;
use crate::scheduler::{Scheduler, StartOrder};
use crate::step::StepState;
use crate::worker::{Assignment, RunState, Worker};

/// First backoff after a refused start; doubled with each further one.
const BASE_BACKOFF: Duration = Duration::from_millis(200);

/// Longest backoff after refused starts.
const MAX_BACKOFF: Duration = Duration::from_millis(3200);

/// Consecutive failed runs after which a worker is quarantined.
const QUARANTINE_AFTER_FAILURES: u32 = 3;

/// First quarantine period; doubled with each further failure.
const BASE_QUARANTINE: Duration = Duration::from_secs(3);

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

/// A delay that doubles, up to a longest one.
fn doubled(base: Duration, doublings: u32, longest: Duration) -> Duration {
    (base * (1 << doublings.min(MAX_DOUBLINGS))).min(longest)
}

impl Worker {
    /// Whether it takes trial starts only.
    pub(crate) fn needs_trial(&self) -> bool {
        self.refused_starts > 0 || self.consecutive_failures >= QUARANTINE_AFTER_FAILURES
    }

    /// Whether it is passed over: for a backoff, or for a trial that is under way.
    pub(crate) fn is_passed_over(&self, now: Duration) -> bool {
        self.quarantined_until > now || self.has_trial(now)
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

    /// Ends its backoff and quarantine, after a successful run or a restart.
    pub(crate) fn end_quarantine(&mut self) {
        self.consecutive_failures = 0;
        self.refused_starts = 0;
        self.quarantined_until = Duration::ZERO;
    }

    /// Records a failed run; true if the worker is now quarantined.
    pub fn record_failure(&mut self, now: Duration) -> bool {
        self.consecutive_failures += 1;
        if self.consecutive_failures < QUARANTINE_AFTER_FAILURES {
            return false;
        }
        let doublings = self.consecutive_failures - QUARANTINE_AFTER_FAILURES;
        let period = doubled(BASE_QUARANTINE, doublings, MAX_QUARANTINE);
        self.quarantined_until = self.quarantined_until.max(now + period);
        true
    }

    /// Records a start that was refused or stayed unanswered.
    ///
    /// Those that were on their way when the backoff began do not make it longer.
    fn record_refusal(&mut self, now: Duration) {
        if self.quarantined_until > now {
            return;
        }
        self.quarantined_until = now + doubled(BASE_BACKOFF, self.refused_starts, MAX_BACKOFF);
        self.refused_starts += 1;
    }

    /// Records a confirmed start, which ends backoffs if it is the trial.
    fn record_confirmation(&mut self, now: Duration) {
        if self.quarantined_until <= now {
            self.refused_starts = 0;
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
            worker.record_refusal(now);
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
            && worker.record_failure(now)
        {
            self.newly_quarantined.push(id.clone());
        }
    }

    /// The state of a task's step.
    fn step_mut(&mut self, key: &TaskKey) -> Option<&mut StepState> {
        self.jobs.get_mut(&key.job)?.steps.get_mut(key.step as usize)
    }
}
