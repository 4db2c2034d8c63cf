//! Reasons why the tasks of a job wait, for callers and operators.

use std::fmt;
use std::time::Duration;

use common::Name;

use crate::job::Job;
use crate::record::{Resources, Step};
use crate::scheduler::Scheduler;
use crate::step::StepState;
use crate::worker::Worker;

common::data! {
    /// Reason that waiting tasks of a step are not placed.
    pub enum WaitReason {
        /// The earlier step with this index has not completed.
        EarlierStep(u32),
        /// The operator removed the job's queue.
        NoQueue,
        /// No worker with the service and required label accepts tasks now.
        NoWorker,
        /// An advice call about this many workers is pending.
        Advice(usize),
        /// The advice service handles this many steps first.
        AdviceService(usize),
        /// Advice allows no worker that accepts tasks now.
        NoneAllowed,
        /// No allowed worker has enough free capacity for a task.
        NoCapacity {
            /// CPU that a task needs, in thousandths of a core.
            cpu: u32,
            /// Most free CPU of an allowed worker, in thousandths of a core.
            most_free: u32,
        },
        /// The gang needs more places than are free at the same time.
        Gang {
            /// Free places on allowed workers.
            places: u32,
            /// Number of tasks of the gang.
            size: u32,
        },
        /// Capacity is available; the next scheduling pass decides.
        NextPass,
    }

    /// Progress of a step, as numbers of tasks.
    pub struct Progress {
        /// Number of all tasks.
        pub tasks: usize,
        /// Tasks that ended successfully.
        pub done: usize,
        /// Tasks assigned to a worker.
        pub placed: usize,
        /// Most failed runs of any one task.
        pub failed_runs: u32,
        /// Why the other tasks wait; `None` if none waits.
        pub wait_reason: Option<WaitReason>,
    }
}

/// Multiple of its target time after which a waiting job counts as stuck.
const STUCK_AFTER_TARGETS: u32 = 5;

impl fmt::Display for WaitReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::EarlierStep(step) => write!(f, "waits for step {step}"),
            Self::NoQueue => write!(f, "its queue was removed"),
            Self::NoWorker => write!(f, "no suitable worker takes work"),
            Self::Advice(workers) => write!(f, "advice on {workers} workers is under way"),
            Self::AdviceService(ahead) => {
                write!(f, "waits for the advice service: {ahead} steps ahead")
            }
            Self::NoneAllowed => write!(f, "advice allows no worker that takes work"),
            Self::NoCapacity { cpu, most_free } => {
                write!(f, "no room: a task needs {cpu} mcpu, {most_free} are free at most")
            }
            Self::Gang { places, size } => {
                write!(f, "gang collects room: {places} of {size} places are free")
            }
            Self::NextPass => write!(f, "about to be placed"),
        }
    }
}

impl Scheduler {
    /// Progress of each step of a job; `None` if the job is unknown.
    pub fn explain(&self, id: &str, now: Duration) -> Option<Vec<Progress>> {
        let job = self.jobs.get(id)?;
        let steps = job.steps.iter().enumerate();
        Some(
            steps
                .map(|(step_index, step)| self.step_progress(job, step_index, step, now))
                .collect(),
        )
    }

    /// Why the first ready step waits; `None` without a ready step.
    pub fn first_wait_reason(&self, id: &str, now: Duration) -> Option<WaitReason> {
        let job = self.jobs.get(id)?;
        let step_index = job.ready_steps().next()?;
        Some(self.wait_reason(job, step_index, &job.steps[step_index], now))
    }

    /// Open jobs past their target completion time with ready steps, by rank.
    pub fn overdue_jobs(&self, now: Duration) -> impl Iterator<Item = &Job> {
        let jobs = self.ranked_jobs.iter().filter_map(|(_, _, id)| self.jobs.get(id));
        jobs.filter(move |job| job.due_at < now && job.ready_steps().next().is_some())
    }

    /// Whether an open job has waited for many times its target time.
    pub fn is_stuck(&self, id: &str, now: Duration) -> bool {
        self.jobs.get(id).is_some_and(|job| {
            let target = job.due_at.saturating_sub(job.arrived);
            now.saturating_sub(job.arrived) > target * STUCK_AFTER_TARGETS
        })
    }

    /// Number of open jobs of higher rank; 0 if the job is not open.
    pub fn jobs_ahead_of(&self, id: &str) -> usize {
        self.ranked_jobs.iter().position(|(_, _, open)| &**open == id).unwrap_or(0)
    }

    /// Counts the tasks of a step by state.
    fn step_progress(
        &self,
        job: &Job,
        step_index: usize,
        step: &StepState,
        now: Duration,
    ) -> Progress {
        let count =
            |matches: fn(&crate::Task) -> bool| step.tasks.iter().filter(|t| matches(t)).count();
        Progress {
            tasks: step.tasks.len(),
            done: count(|task| task.is_done),
            placed: count(|task| task.worker.is_some()),
            failed_runs: step.tasks.iter().map(|task| task.failed_runs).max().unwrap_or(0),
            wait_reason: step.has_waiting().then(|| self.wait_reason(job, step_index, step, now)),
        }
    }

    /// Why the waiting tasks of a step are not placed.
    fn wait_reason(
        &self,
        job: &Job,
        step_index: usize,
        step: &StepState,
        now: Duration,
    ) -> WaitReason {
        let spec = &job.submission.steps[step_index];
        let is_unfinished =
            |earlier: &&u32| job.steps.get(**earlier as usize).is_some_and(|step| !step.is_done());
        if let Some(earlier) = spec.after.iter().find(is_unfinished) {
            return WaitReason::EarlierStep(*earlier);
        }
        let Some(queue) = self.queue(&job.queue) else { return WaitReason::NoQueue };
        let is_candidate = |worker: &&Worker| worker.is_usable(now) && worker.can_run(queue, spec);
        let candidates: Vec<&Worker> = self.pool.iter().filter(is_candidate).collect();
        if candidates.is_empty() {
            return WaitReason::NoWorker;
        }
        if !step.pending_advice.is_empty() {
            return WaitReason::Advice(step.pending_advice.values().map(Vec::len).sum());
        }
        let may_run = |id: &Name| queue.advice.is_none() || step.is_allowed(id);
        let allowed: Vec<&Worker> =
            candidates.into_iter().filter(|worker| may_run(&worker.registration.id)).collect();
        let reason = if allowed.is_empty() {
            WaitReason::NoneAllowed
        } else {
            capacity_wait_reason(spec, &allowed)
        };
        match (reason, step.steps_ahead) {
            (WaitReason::NoneAllowed | WaitReason::NextPass, Some(ahead)) => {
                WaitReason::AdviceService(ahead)
            }
            (reason, _) => reason,
        }
    }
}

/// Why a step waits although `allowed` workers accept tasks.
fn capacity_wait_reason(spec: &Step, allowed: &[&Worker]) -> WaitReason {
    let free: Vec<Resources> = allowed.iter().map(|worker| worker.free()).collect();
    if spec.is_gang {
        let size = spec.count;
        let places = free.iter().map(|capacity| spec.need.max_copies_in(capacity).min(size)).sum();
        return if places < size {
            WaitReason::Gang { places, size }
        } else {
            WaitReason::NextPass
        };
    }
    if free.iter().any(|capacity| spec.need.fits_in(capacity)) {
        return WaitReason::NextPass;
    }
    let most_free = free.iter().map(|capacity| capacity.cpu).max().unwrap_or(0);
    WaitReason::NoCapacity { cpu: spec.need.cpu, most_free }
}
