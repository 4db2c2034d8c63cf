//! Why the tasks of a job wait.

use std::fmt;
use std::time::Duration;

use common::Name;

use crate::job::Job;
use crate::record::{Need, Step};
use crate::scheduler::Scheduler;
use crate::step::StepState;
use crate::worker::Worker;

common::data! {
    /// Why waiting tasks of a step are not on workers.
    pub enum Wait {
        /// Tasks of an earlier step have not ended.
        EarlierStep(u32),
        /// The operator removed the job's queue.
        NoQueue,
        /// No worker of the service, with the label asked for, takes work now.
        NoWorker,
        /// An advice call about this many workers is under way.
        Advice(usize),
        /// Advice allows no worker that takes work now.
        NoneAllowed,
        /// No worker that may run a task has room for it.
        NoRoom {
            /// Processors of one task, in thousandths.
            cpu: u32,
            /// The most free processors of such a worker, in thousandths.
            most_free: u32,
        },
        /// The gang needs more places than there are at once.
        Gang {
            /// Places that are free on workers that may run it.
            places: u32,
            /// Places that it needs.
            size: u32,
        },
        /// A worker has room; the next pass decides.
        NextPass,
    }

    /// How far a step is, in numbers of tasks.
    pub struct Progress {
        /// All of its tasks.
        pub tasks: usize,
        /// Ended successfully.
        pub done: usize,
        /// On a worker.
        pub placed: usize,
        /// Failed runs of the task that failed most often.
        pub failed: u32,
        /// Why the rest waits; none where nothing does.
        pub wait: Option<Wait>,
    }
}

impl fmt::Display for Wait {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::EarlierStep(step) => write!(f, "waits for step {step}"),
            Self::NoQueue => write!(f, "its queue was removed"),
            Self::NoWorker => write!(f, "no suitable worker takes work"),
            Self::Advice(workers) => write!(f, "advice on {workers} workers is under way"),
            Self::NoneAllowed => write!(f, "advice allows no worker that takes work"),
            Self::NoRoom { cpu, most_free } => {
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
    /// How far a job's steps are and what they wait for; none for no such job.
    pub fn explain(&self, id: &str, now: Duration) -> Option<Vec<Progress>> {
        let job = self.jobs.get(id)?;
        let steps = job.steps.iter().enumerate();
        Some(steps.map(|(number, step)| self.progress(job, number, step, now)).collect())
    }

    /// Why the first step that waits does so; none where no task of the job waits.
    pub fn why_waiting(&self, id: &str, now: Duration) -> Option<Wait> {
        let job = self.jobs.get(id)?;
        let number = job.ready().next()?;
        Some(self.wait(job, number, &job.steps[number], now))
    }

    /// Open jobs that are past their objective and have tasks that could be placed, by rank.
    pub fn overdue(&self, now: Duration) -> impl Iterator<Item = &Job> {
        let jobs = self.open.iter().filter_map(|(_, _, id)| self.jobs.get(id));
        jobs.filter(move |job| job.due < now && job.ready().next().is_some())
    }

    /// Open jobs of higher rank; 0 for a job that has ended.
    pub fn ahead_of(&self, id: &str) -> usize {
        self.open.iter().position(|(_, _, open)| &**open == id).unwrap_or(0)
    }

    fn progress(&self, job: &Job, number: usize, step: &StepState, now: Duration) -> Progress {
        let count =
            |holds: fn(&crate::Task) -> bool| step.tasks.iter().filter(|t| holds(t)).count();
        Progress {
            tasks: step.tasks.len(),
            done: count(|task| task.is_done),
            placed: count(|task| task.worker.is_some()),
            failed: step.tasks.iter().map(|task| task.failed).max().unwrap_or(0),
            wait: step.has_waiting().then(|| self.wait(job, number, step, now)),
        }
    }

    fn wait(&self, job: &Job, number: usize, step: &StepState, now: Duration) -> Wait {
        let spec = &job.submission.steps[number];
        let is_open =
            |earlier: &&u32| job.steps.get(**earlier as usize).is_some_and(|step| !step.is_done());
        if let Some(earlier) = spec.after.iter().find(is_open) {
            return Wait::EarlierStep(*earlier);
        }
        let Some(queue) = self.queue(&job.queue) else { return Wait::NoQueue };
        let is_candidate = |worker: &&Worker| worker.is_usable(now) && worker.suits(queue, spec);
        let candidates: Vec<&Worker> = self.pool.iter().filter(is_candidate).collect();
        if candidates.is_empty() {
            return Wait::NoWorker;
        }
        if let Some(asked) = &step.asking {
            return Wait::Advice(asked.len());
        }
        let may_run = |id: &Name| queue.hint.is_none() || step.is_allowed(id);
        let allowed: Vec<&Worker> =
            candidates.into_iter().filter(|worker| may_run(&worker.report.id)).collect();
        if allowed.is_empty() {
            return Wait::NoneAllowed;
        }
        room_wait(spec, &allowed)
    }
}

/// Why workers that may run a step do not run it.
fn room_wait(spec: &Step, allowed: &[&Worker]) -> Wait {
    let free: Vec<Need> = allowed.iter().map(|worker| worker.free()).collect();
    if spec.is_gang {
        let size = spec.count;
        let places = free.iter().map(|room| spec.need.times_in(room).min(size)).sum();
        return if places < size { Wait::Gang { places, size } } else { Wait::NextPass };
    }
    if free.iter().any(|room| spec.need.fits(room)) {
        return Wait::NextPass;
    }
    let most_free = free.iter().map(|room| room.cpu).max().unwrap_or(0);
    Wait::NoRoom { cpu: spec.need.cpu, most_free }
}
