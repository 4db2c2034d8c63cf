//! A job at work: its phase, its steps' states and how they become a record.

use std::time::Duration;

use common::Name;

use crate::record::{JobRecord, QueueRecord, StepRecord, Submission, TaskRecord};
use crate::step::StepState;

common::key! {
    /// How far a job is.
    pub enum Phase {
        /// Tasks remain.
        Open,
        /// All tasks ended successfully.
        Completed,
        /// A task or gang used up its attempts.
        Failed,
        /// Its caller cancelled it.
        Cancelled,
    }

    /// What a caller is shown of a job.
    pub enum Shown {
        /// No task has started.
        Queued,
        /// A task has started.
        Running,
        /// All tasks ended successfully.
        Completed,
        /// A task or gang used up its attempts.
        Failed,
        /// Its caller cancelled it.
        Cancelled,
    }
}

/// A task's address: job, step and index.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TaskKey {
    /// The job.
    pub job: Name,
    /// Number of the step.
    pub step: u32,
    /// Index in the step.
    pub index: u32,
}

common::data! {
    /// A task's state.
    pub struct Task {
        /// Whether it has ended successfully.
        pub is_done: bool,
        /// The number of its latest run; 0 before the first.
        pub run: u32,
        /// Runs that failed.
        pub failed: u32,
        /// The worker of its current run.
        pub worker: Option<Name>,
        /// Its latest checkpoint; empty for none.
        pub saved: Name,
    }

    /// A job's state.
    pub struct Job {
        /// The caller's id.
        pub id: Name,
        /// The queue's name.
        pub queue: Name,
        /// The queue as it was when the job came.
        pub queue_rules: Option<QueueRecord>,
        /// What the caller handed in.
        pub submission: Submission,
        /// When it arrived.
        pub arrived: Duration,
        /// Time of arrival by the store's clock, in ms.
        pub arrived_ms: u64,
        /// Time of the end by the store's clock, in ms; 0 while open.
        pub ended_ms: u64,
        /// How far it is.
        pub phase: Phase,
        /// The phase that the store has; none before the first write.
        pub durable: Option<Phase>,
        /// Whether a worker is known to have begun any task.
        pub has_started: bool,
        /// The time by which its caller wants it.
        pub due: Duration,
        /// The steps' states.
        pub steps: Vec<StepState>,
    }
}

impl Shown {
    /// The state in one word.
    pub fn word(self) -> &'static str {
        match self {
            Self::Queued => "queued",
            Self::Running => "running",
            Self::Completed => "completed",
            Self::Failed => "failed",
            Self::Cancelled => "cancelled",
        }
    }
}

impl Task {
    fn new() -> Self {
        Self { is_done: false, run: 0, failed: 0, worker: None, saved: Name::default() }
    }

    /// Whether the task could be placed now.
    pub fn is_waiting(&self) -> bool {
        !self.is_done && self.worker.is_none()
    }
}

impl Phase {
    /// The number in a record.
    pub fn number(self) -> u32 {
        self as u32
    }

    /// The phase of a number in a record.
    pub fn from_number(number: u32) -> Option<Self> {
        [Self::Open, Self::Completed, Self::Failed, Self::Cancelled].get(number as usize).copied()
    }
}

impl Job {
    /// A new job of a submission.
    pub fn new(submission: Submission, queue: Name, arrived: Duration, arrived_ms: u64) -> Self {
        let fresh = |count: u32| (0..count).map(|_| Task::new()).collect();
        let steps = submission.steps.iter().map(|step| StepState::new(fresh(step.count)));
        Self {
            id: Name::new(&submission.id),
            queue,
            queue_rules: None,
            arrived,
            arrived_ms,
            ended_ms: 0,
            phase: Phase::Open,
            durable: None,
            has_started: false,
            due: arrived,
            steps: steps.collect(),
            submission,
        }
    }

    /// The job of a row; none where the row makes no sense.
    pub fn from_record(record: JobRecord, arrived: Duration) -> Option<Self> {
        let phase = Phase::from_number(record.phase)?;
        let is_open = phase == Phase::Open;
        if is_open && record.steps.len() != record.submission.steps.len() {
            return None;
        }
        let queue = Name::new(&record.queue);
        let mut job = Self::new(record.submission, queue, arrived, record.arrived_ms);
        job.queue_rules = record.queue_rules;
        job.phase = phase;
        job.durable = Some(phase);
        job.ended_ms = record.ended_ms;
        for (step, stored) in job.steps.iter_mut().zip(record.steps) {
            if step.tasks.len() != stored.tasks.len() {
                return None;
            }
            step.failed_run = stored.failed_run;
            step.tasks = stored.tasks.into_iter().map(read_task).collect();
        }
        // What runs now is learned from the workers.
        let has_ended = |task: &Task| task.is_done || task.failed > 0 || !task.saved.is_empty();
        job.has_started = job.steps.iter().any(|step| step.tasks.iter().any(has_ended));
        Some(job)
    }

    /// Whether any task is on a worker.
    fn has_runs(&self) -> bool {
        self.steps.iter().any(|step| step.tasks.iter().any(|task| task.worker.is_some()))
    }

    /// The job's row.
    pub fn record(&self) -> JobRecord {
        let is_open = self.phase == Phase::Open;
        let (submission, steps) = if is_open || self.has_runs() {
            (self.submission.clone(), self.steps.iter().map(write_step).collect())
        } else {
            (Submission { id: self.submission.id.clone(), ..Submission::default() }, Vec::new())
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

    /// The checkpoint from which a task goes on; empty for none, none for no such task.
    pub fn checkpoint(&self, key: &TaskKey) -> Option<Name> {
        let is_gang = self.submission.steps.get(key.step as usize)?.is_gang;
        // Any member's checkpoint is valid for the gang; the first task keeps it.
        let index = if is_gang { 0 } else { key.index as usize };
        let task = self.steps.get(key.step as usize)?.tasks.get(index)?;
        Some(task.saved.clone())
    }

    /// Drops what nobody needs of a job that has ended and holds no worker.
    pub fn shrink(&mut self) {
        if self.phase != Phase::Open && !self.has_runs() {
            self.steps = Vec::new();
            self.submission.steps = Vec::new();
            self.submission.payload = String::new();
            self.queue_rules = None;
        }
    }

    /// What the caller is shown, of what the store has.
    pub fn shown(&self) -> Option<Shown> {
        Some(match self.durable? {
            Phase::Open if self.has_started => Shown::Running,
            Phase::Open => Shown::Queued,
            Phase::Completed => Shown::Completed,
            Phase::Failed => Shown::Failed,
            Phase::Cancelled => Shown::Cancelled,
        })
    }

    /// Steps with tasks that could be placed now.
    pub fn ready(&self) -> impl Iterator<Item = usize> {
        let is_ready = |number: &usize| self.steps[*number].has_waiting() && self.is_ready(*number);
        (0..self.steps.len()).filter(is_ready)
    }

    /// Whether all steps that a step waits for have ended.
    pub fn is_ready(&self, step: usize) -> bool {
        let after = &self.submission.steps[step].after;
        after
            .iter()
            .all(|earlier| self.steps.get(*earlier as usize).is_some_and(StepState::is_done))
    }
}

fn read_task(stored: TaskRecord) -> Task {
    Task {
        is_done: stored.is_done,
        run: stored.run,
        failed: stored.failed,
        worker: (!stored.worker.is_empty()).then(|| Name::new(&stored.worker)),
        saved: Name::new(&stored.saved),
    }
}

fn write_step(step: &StepState) -> StepRecord {
    let tasks = step.tasks.iter().map(|task| TaskRecord {
        is_done: task.is_done,
        run: task.run,
        failed: task.failed,
        worker: task.worker.as_deref().unwrap_or_default().to_owned(),
        saved: task.saved.to_string(),
    });
    StepRecord { tasks: tasks.collect(), failed_run: step.failed_run }
}
