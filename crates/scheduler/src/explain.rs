//! Reasons why the tasks of a job wait, for callers and operators.
//!
//! `room` tells which worker a step without room waits for.

use std::fmt;
use std::time::Duration;

use common::Name;

use crate::job::{Job, Phase};
use crate::placement::Resource;
use crate::record::Resources;
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
        /// Its workspace may start nothing of it under its limit.
        Limit {
            /// Name of the workspace.
            workspace: Name,
            /// The resource that decides.
            resource: Resource,
            /// What a task needs of it, or all tasks of a gang.
            need: u32,
            /// What the workspace uses of it.
            used: u32,
            /// What it may use.
            limit: u32,
        },
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
        /// The workers with room have as many tasks of the step as it allows.
        Spread(u32),
        /// The room is reserved for a job of higher rank.
        Reserved {
            /// Id of the job that it is reserved for.
            job: Name,
            /// Id of one of the workers with room.
            worker: Name,
        },
        /// Its workspace uses its share of the pool, and others with less come first.
        Share {
            /// Name of the workspace.
            workspace: Name,
            /// What it uses of the resource that it uses most, in percent of the pool.
            used: u32,
            /// Its share of the pool, in percent.
            share: u32,
        },
        /// Workers with room are passed over after refused starts or failed runs.
        Backoff {
            /// Id of the one that is released first.
            worker: Name,
        },
        /// Several workers refused its starts; they are delayed.
        Refused {
            /// Number of the workers.
            workers: usize,
        },
        /// Workers were lost under its tasks; they wait for one apart from others, or for news.
        Isolation,
        /// The tickets for workers with room have expired.
        Ticket,
        /// Capacity is available; the next scheduling pass decides.
        NextPass,
    }

    /// A worker that a step waits for.
    pub struct Awaited {
        /// Id of the worker.
        pub worker: Name,
        /// Time until it is expected to have room, by the estimates of its runs.
        pub after: Duration,
    }

    /// What the waiting tasks of a step wait for.
    pub struct Wait {
        /// Why they are not placed.
        pub reason: WaitReason,
        /// The worker that they wait for, if they wait for one.
        pub awaited: Option<Awaited>,
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
        /// Most workers that crashed under any one task.
        pub crashes: u8,
        /// What the other tasks wait for; `None` if none waits.
        pub wait: Option<Wait>,
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
            Self::Limit { workspace, resource, need, used, limit } => write!(
                f,
                "workspace {workspace} is at its limit: {used} of {limit} {} are in use, {need} more \
                 are needed",
                resource.unit()
            ),
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
            Self::Spread(most) => {
                write!(f, "workers with room have {most} tasks of the step, as many as it allows")
            }
            Self::Reserved { job, worker } => {
                write!(f, "room is reserved for job {job}, as on worker {worker}")
            }
            Self::Share { workspace, used, share } => {
                write!(f, "workspace {workspace} uses {used}% of the pool, its share is {share}%")
            }
            Self::Backoff { worker } => {
                write!(f, "workers with room, as {worker}, refused starts or failed tasks")
            }
            Self::Refused { workers } => {
                write!(f, "{workers} workers refused its starts; the next one is delayed")
            }
            Self::Isolation => {
                write!(f, "workers were lost under its tasks, which wait for one apart from others")
            }
            Self::Ticket => write!(f, "tickets for workers with room have expired"),
            Self::NextPass => write!(f, "about to be placed"),
        }
    }
}

impl fmt::Display for Wait {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.reason)?;
        match &self.awaited {
            Some(Awaited { worker, after }) => {
                write!(f, "; worker {worker} is expected to have room in {} ms", after.as_millis())
            }
            None => Ok(()),
        }
    }
}

impl Awaited {
    /// A worker, awaited until the end of its backoff for a job.
    pub(crate) fn after_backoff(worker: &Worker, job: &str, now: Duration) -> Self {
        let after = worker.opens_at(job).saturating_sub(now);
        Self { worker: worker.registration.id.clone(), after }
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

    /// What the first ready step waits for; `None` without a ready step.
    ///
    /// Examines each run on the workers that may run the step.
    pub fn first_wait(&self, id: &str, now: Duration) -> Option<Wait> {
        let job = self.jobs.get(id)?;
        let step_index = job.ready_steps().next()?;
        Some(self.wait(job, step_index, &job.steps[step_index], now))
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
            crashes: step.tasks.iter().map(|task| task.crashes).max().unwrap_or(0),
            wait: (job.phase == Phase::Open && step.has_waiting())
                .then(|| self.wait(job, step_index, step, now)),
        }
    }

    /// What the waiting tasks of a step wait for.
    fn wait(&self, job: &Job, step_index: usize, step: &StepState, now: Duration) -> Wait {
        let reason = self.wait_reason(job, step_index, step, now);
        let awaited = match &reason {
            WaitReason::NoWorker => self.next_released_worker(job, step_index, now),
            WaitReason::Gang { .. } | WaitReason::NoCapacity { .. } | WaitReason::Spread(_) => {
                self.next_worker_with_room(job, step_index, now)
            }
            WaitReason::Backoff { worker } => {
                self.pool.get(worker).map(|worker| Awaited::after_backoff(worker, &job.id, now))
            }
            _ => None,
        };
        Wait { reason, awaited }
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
        let is_candidate = |worker: &&Worker| {
            worker.is_usable(now)
                && !worker.is_closed_to(&job.id, now)
                && worker.can_run(queue, spec)
        };
        if !self.pool.iter().any(|worker| is_candidate(&worker)) {
            return WaitReason::NoWorker;
        }
        if let Some(reason) = self.limit_wait(job, step_index) {
            return reason;
        }
        if !step.pending_advice.is_empty() {
            return WaitReason::Advice(step.pending_advice.values().map(Vec::len).sum());
        }
        let allowed = self.allowed_workers(job, step_index, now);
        let reason = if allowed.is_empty() {
            WaitReason::NoneAllowed
        } else {
            self.room_wait_reason(job, step_index, &allowed, now)
        };
        let reason = match reason {
            WaitReason::Gang { .. }
            | WaitReason::NoCapacity { .. }
            | WaitReason::Reserved { .. }
            | WaitReason::NextPass => {
                let step = (&job.id, step_index as u32);
                self.share_reason(&job.workspace, queue.priority, step).unwrap_or(reason)
            }
            reason => reason,
        };
        let is_delayed = step.doubt.starts_not_before > now;
        let reason = match reason {
            WaitReason::Gang { .. } | WaitReason::NoCapacity { .. } | WaitReason::Spread(_) => self
                .next_passed_over_worker(job, step_index, now)
                .map_or(reason, |worker| WaitReason::Backoff { worker }),
            WaitReason::NextPass | WaitReason::Ticket if is_delayed => {
                WaitReason::Refused { workers: step.doubt.refused_by.len() }
            }
            WaitReason::NextPass | WaitReason::Ticket
                if self.is_isolating(&job.id, step_index as u32, now) =>
            {
                WaitReason::Isolation
            }
            reason => reason,
        };
        match (reason, step.steps_ahead) {
            (WaitReason::NoneAllowed | WaitReason::Ticket | WaitReason::NextPass, Some(ahead)) => {
                WaitReason::AdviceService(ahead)
            }
            (reason, _) => reason,
        }
    }

    /// Why a step waits although `allowed` workers accept tasks.
    fn room_wait_reason(
        &self,
        job: &Job,
        step_index: usize,
        allowed: &[&Worker],
        now: Duration,
    ) -> WaitReason {
        let spec = &job.submission.steps[step_index];
        let size = if spec.is_gang { spec.count } else { 1 };
        let key = (&job.id, step_index as u32);
        let places = |free: &dyn Fn(&Worker) -> Resources| {
            let places = allowed.iter().map(|worker| worker.places(key, spec, &free(worker)));
            places.fold(0, u32::saturating_add)
        };
        let free_places = places(&Worker::free);
        if free_places < size {
            if spec.is_gang {
                return WaitReason::Gang { places: free_places, size };
            }
            if allowed.iter().any(|worker| spec.need.fits_in(&worker.free())) {
                return WaitReason::Spread(spec.spread);
            }
            let most_free = allowed.iter().map(|worker| worker.free().cpu).max().unwrap_or(0);
            return WaitReason::NoCapacity { cpu: spec.need.cpu, most_free };
        }
        if places(&|worker| self.unreserved(worker, &job.id)) < size {
            let reserver = allowed.iter().find_map(|worker| {
                let reserver = self.reserver(&worker.registration.id, &job.id)?;
                Some((reserver.clone(), worker.registration.id.clone()))
            });
            if let Some((job, worker)) = reserver {
                return WaitReason::Reserved { job, worker };
            }
        }
        let step = &job.steps[step_index];
        let has_ticket = |worker: &Worker| step.ticket(&worker.registration.id, now).is_some();
        let needs_ticket = self.queue(&job.queue).is_some_and(|queue| queue.advice.is_some());
        let with_ticket = |worker: &Worker| {
            if has_ticket(worker) { worker.free() } else { Resources::default() }
        };
        if needs_ticket && places(&with_ticket) < size {
            return WaitReason::Ticket;
        }
        WaitReason::NextPass
    }
}
