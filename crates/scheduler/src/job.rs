//! State of a job and its conversion to and from the stored record.

use std::sync::Arc;
use std::time::Duration;

use common::Name;

use crate::admission::Origin;
use crate::record::{JobRecord, QueueRecord, StepRecord, Submission, TaskRecord};
use crate::step::StepState;
use crate::validation::MAX_STORED_TASKS;

common::key! {
    /// Lifecycle phase of a job.
    pub enum Phase {
        /// Some tasks have not succeeded yet.
        Open,
        /// All tasks ended successfully.
        Completed,
        /// A task or gang used up its attempts.
        Failed,
        /// The caller cancelled it.
        Cancelled,
    }

    /// State of a job as reported to callers.
    pub enum JobState {
        /// No task has started.
        Queued,
        /// A task has started.
        Running,
        /// All tasks ended successfully.
        Completed,
        /// A task or gang used up its attempts.
        Failed,
        /// The caller cancelled it.
        Cancelled,
    }
}

/// Identifies a task by job, step and index.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TaskKey {
    /// Id of the job.
    pub job: Name,
    /// Index of the step in the job.
    pub step: u32,
    /// Index of the task in the step.
    pub index: u32,
}

common::data! {
    /// Where a worker takes orders, and which of its lives does so.
    #[derive(Default, Eq, Hash)]
    pub struct Site {
        /// Address that accepts orders; empty if it is unknown.
        pub address: Name,
        /// Start of the worker's incarnation, in ms of Unix time; 0 if it is unknown.
        pub incarnation: u64,
    }

    /// A worker, and where it was when a run was placed on it.
    #[derive(Eq, Hash)]
    pub struct StoredWorker {
        /// Id of the worker.
        pub id: Name,
        /// Where it was; `None` if that is unknown.
        pub site: Option<Arc<Site>>,
    }

    /// State of a task.
    pub struct Task {
        /// Whether it has ended successfully.
        pub is_done: bool,
        /// The number of its latest run; 0 before the first.
        pub run: u32,
        /// Number of failed runs; for a gang, counted on its first task.
        pub failed_runs: u32,
        /// Worker of its current run; `None` while it has no run.
        pub worker: Option<Name>,
        /// Where that worker was when the run was placed; of no meaning without a worker.
        pub site: Option<Arc<Site>>,
        /// Workers that crashed under it.
        pub crashes: u8,
        /// Workers that crashed when it may have run there.
        pub doubtful_crashes: u8,
        /// Workers that fell silent under it and were not heard of since, the latest last.
        pub silent_workers: Vec<StoredWorker>,
        /// Latest checkpoint; empty for none. A gang keeps it on its first task.
        pub checkpoint: Name,
    }

    /// State of a job.
    pub struct Job {
        /// Id chosen by the caller.
        pub id: Name,
        /// Name of the queue.
        pub queue: Name,
        /// Workspace that it belongs to; empty for none.
        pub workspace: Name,
        /// Rules of the queue when the job was submitted.
        pub queue_rules: Option<QueueRecord>,
        /// What the caller submitted; reduced once the job has ended.
        pub submission: Submission,
        /// Time of arrival; zero if that was before the event loop started.
        pub arrived: Duration,
        /// Time of arrival by the store's clock, in ms.
        pub arrived_ms: u64,
        /// Time of the end by the store's clock, in ms; 0 while open.
        pub ended_ms: u64,
        /// Current phase, which may not be durable yet.
        pub phase: Phase,
        /// Phase in the store; `None` before the first write.
        pub durable_phase: Option<Phase>,
        /// Whether any task is known to have started.
        pub has_started: bool,
        /// Target completion time; jobs of equal priority are ranked by it.
        pub due_at: Duration,
        /// State of each step; empty once the job's details are dropped.
        pub steps: Vec<StepState>,
    }
}

impl JobState {
    /// The state in lower case, as reported to callers.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Queued => "queued",
            Self::Running => "running",
            Self::Completed => "completed",
            Self::Failed => "failed",
            Self::Cancelled => "cancelled",
        }
    }
}

impl Site {
    /// Whether a life of the same worker is another one.
    pub(crate) fn is_other(&self, incarnation: u64) -> bool {
        self.incarnation > 0 && incarnation > 0 && self.incarnation != incarnation
    }

    /// Whether a life of another worker began later.
    pub(crate) fn is_before(&self, incarnation: u64) -> bool {
        self.incarnation > 0 && self.incarnation < incarnation
    }
}

impl Task {
    /// Incarnation of its worker when the run was placed; 0 if it is unknown.
    pub(crate) fn incarnation(&self) -> u64 {
        self.site.as_ref().map_or(0, |site| site.incarnation)
    }

    /// Creates a task without runs.
    pub(crate) fn new() -> Self {
        Self {
            is_done: false,
            run: 0,
            failed_runs: 0,
            worker: None,
            site: None,
            crashes: 0,
            doubtful_crashes: 0,
            silent_workers: Vec::new(),
            checkpoint: Name::default(),
        }
    }

    /// Whether it has had no run.
    pub(crate) fn is_initial(&self) -> bool {
        self.run == 0
            && !self.is_done
            && self.failed_runs == 0
            && self.lost_workers() == 0
            && self.checkpoint.is_empty()
    }

    /// Number of workers that crashed under it, whether or not it is known that it ran there.
    pub fn crashed_workers(&self) -> u32 {
        u32::from(self.crashes) + u32::from(self.doubtful_crashes)
    }

    /// Number of workers that crashed under it, or may have as they are silent.
    pub fn lost_workers(&self) -> u32 {
        self.crashed_workers() + self.silent_workers.len() as u32
    }

    /// Adds a worker that fell silent under it, in place of the first one if there are `most`.
    pub(crate) fn add_silent_worker(&mut self, worker: StoredWorker, most: usize) {
        if self.silent_workers.len() >= most {
            self.silent_workers.remove(0);
        }
        self.silent_workers.push(worker);
    }

    /// Whether it is neither done nor assigned to a worker.
    pub fn is_waiting(&self) -> bool {
        !self.is_done && self.worker.is_none()
    }
}

impl Phase {
    /// The number that records store.
    pub fn number(self) -> u32 {
        self as u32
    }

    /// The phase with a stored number; `None` if it is unknown.
    pub fn from_number(number: u32) -> Option<Self> {
        [Self::Open, Self::Completed, Self::Failed, Self::Cancelled].get(number as usize).copied()
    }
}

impl Job {
    /// Creates an open job that is not stored yet.
    pub fn new(submission: Submission, queue: Name, arrived: Duration, arrived_ms: u64) -> Self {
        let new_tasks = |count: u32| (0..count).map(|_| Task::new()).collect();
        let steps = submission.steps.iter().map(|step| StepState::new(new_tasks(step.count)));
        Self {
            id: Name::new(&submission.id),
            queue,
            workspace: Name::new(&submission.workspace),
            queue_rules: None,
            arrived,
            arrived_ms,
            ended_ms: 0,
            phase: Phase::Open,
            durable_phase: None,
            has_started: false,
            due_at: arrived,
            steps: steps.collect(),
            submission,
        }
    }

    /// Creates a job from its row; `None` if the row is inconsistent.
    pub fn from_record(record: JobRecord, arrived: Duration) -> Option<Self> {
        let phase = Phase::from_number(record.phase)?;
        if record.submission.task_count() > MAX_STORED_TASKS {
            return None;
        }
        let is_open = phase == Phase::Open;
        if is_open && record.steps.len() != record.submission.steps.len() {
            return None;
        }
        let queue = Name::new(&record.queue);
        let mut job = Self::new(record.submission, queue, arrived, record.arrived_ms);
        job.queue_rules = record.queue_rules;
        job.phase = phase;
        job.durable_phase = Some(phase);
        job.ended_ms = record.ended_ms;
        for (step, stored) in job.steps.iter_mut().zip(record.steps) {
            if step.tasks.len() != stored.tasks.len() {
                return None;
            }
            step.failed_run = stored.failed_run;
            step.tasks = stored.tasks.into_iter().map(task_from_record).collect();
        }
        // The record does not show whether assigned tasks have started; worker listings do.
        let has_progress =
            |task: &Task| task.is_done || task.failed_runs > 0 || !task.checkpoint.is_empty();
        job.has_started = job.steps.iter().any(|step| step.tasks.iter().any(has_progress));
        Some(job)
    }

    /// Its queue and workspace.
    pub(crate) fn origin(&self) -> Origin {
        Origin { queue: self.queue.clone(), workspace: self.workspace.clone() }
    }

    /// Whether any task is assigned to a worker.
    pub(crate) fn has_runs(&self) -> bool {
        self.steps.iter().any(|step| step.tasks.iter().any(|task| task.worker.is_some()))
    }

    /// Whether a run of one of its tasks must be stopped: the job was cancelled or failed, or
    /// another member of the task's gang has ended without success.
    pub(crate) fn has_given_up(&self, key: &TaskKey, run: u32) -> bool {
        match self.phase {
            Phase::Cancelled | Phase::Failed => true,
            Phase::Completed => false,
            Phase::Open => {
                let step = key.step as usize;
                let spec = self.submission.steps.get(step);
                let is_broken = |step: &StepState| {
                    step.tasks.iter().any(|task| task.run == run && task.is_waiting())
                };
                spec.is_some_and(|spec| spec.is_gang) && self.steps.get(step).is_some_and(is_broken)
            }
        }
    }

    /// Whether its record must tell its submission and tasks.
    pub(crate) fn needs_details(&self) -> bool {
        self.phase == Phase::Open || self.has_runs()
    }

    /// The record to store; reduced once the job has ended without remaining runs.
    pub fn record(&self) -> JobRecord {
        let is_open = self.phase == Phase::Open;
        let (submission, steps) = if is_open || self.has_runs() {
            (self.submission.clone(), self.steps.iter().map(step_to_record).collect())
        } else {
            (
                Submission {
                    id: self.submission.id.clone(),
                    workspace: self.submission.workspace.clone(),
                    ..Submission::default()
                },
                Vec::new(),
            )
        };
        JobRecord {
            submission,
            queue: self.queue.to_string(),
            arrived_ms: self.arrived_ms,
            phase: self.phase.number(),
            steps,
            ended_ms: self.ended_ms,
            queue_rules: self.queue_rules.clone().filter(|_| is_open),
        }
    }

    /// Checkpoint from which a task resumes; empty for none, `None` if it is unknown.
    pub fn checkpoint(&self, key: &TaskKey) -> Option<Name> {
        let is_gang = self.submission.steps.get(key.step as usize)?.is_gang;
        // Any member's checkpoint is valid for the whole gang; the first task stores it.
        let index = if is_gang { 0 } else { key.index as usize };
        let task = self.steps.get(key.step as usize)?.tasks.get(index)?;
        Some(task.checkpoint.clone())
    }

    /// Drops the details of a job that has ended and has no remaining runs.
    pub fn drop_details(&mut self) {
        if self.phase != Phase::Open && !self.has_runs() {
            self.steps = Vec::new();
            self.submission.steps = Vec::new();
            self.submission.payload = String::new();
            self.queue_rules = None;
        }
    }

    /// The state reported to callers, from the durable phase; `None` until stored.
    pub fn reported_state(&self) -> Option<JobState> {
        Some(match self.durable_phase? {
            Phase::Open if self.has_started => JobState::Running,
            Phase::Open => JobState::Queued,
            Phase::Completed => JobState::Completed,
            Phase::Failed => JobState::Failed,
            Phase::Cancelled => JobState::Cancelled,
        })
    }

    /// Indexes of steps whose waiting tasks may be placed now; none once the job has ended.
    pub fn ready_steps(&self) -> impl Iterator<Item = usize> {
        let can_place = |step_index: &usize| {
            self.steps[*step_index].has_waiting() && self.is_step_ready(*step_index)
        };
        let steps = if self.phase == Phase::Open { self.steps.len() } else { 0 };
        (0..steps).filter(can_place)
    }

    /// Whether all steps that a step depends on have completed.
    pub fn is_step_ready(&self, step: usize) -> bool {
        let after = &self.submission.steps[step].after;
        after
            .iter()
            .all(|earlier| self.steps.get(*earlier as usize).is_some_and(StepState::is_done))
    }
}

/// Converts a stored task.
fn task_from_record(stored: TaskRecord) -> Task {
    Task {
        is_done: stored.is_done,
        run: stored.run,
        failed_runs: stored.failed,
        worker: (!stored.worker.is_empty()).then(|| Name::new(&stored.worker)),
        checkpoint: Name::new(&stored.saved),
        ..Task::new()
    }
}

/// Converts a step for storage.
fn step_to_record(step: &StepState) -> StepRecord {
    let tasks = step.tasks.iter().map(|task| TaskRecord {
        is_done: task.is_done,
        run: task.run,
        failed: task.failed_runs,
        worker: task.worker.as_deref().unwrap_or_default().to_owned(),
        saved: task.checkpoint.to_string(),
    });
    StepRecord { tasks: tasks.collect(), failed_run: step.failed_run }
}
