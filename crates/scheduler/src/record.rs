//! Stored and transmitted records of jobs.
//!
//! The prost messages are written by hand, so the build needs no code generator.

/// Resources that a task needs or a worker has.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct Resources {
    /// CPU, in thousandths of a core.
    #[prost(uint32, tag = "1")]
    pub cpu: u32,
    /// Memory, in MB.
    #[prost(uint32, tag = "2")]
    pub mem: u32,
    /// Number of accelerators.
    #[prost(uint32, tag = "3")]
    pub gpus: u32,
}

impl Resources {
    /// Whether `self` fits into `capacity`.
    pub fn fits_in(&self, capacity: &Self) -> bool {
        self.cpu <= capacity.cpu && self.mem <= capacity.mem && self.gpus <= capacity.gpus
    }

    /// Number of times that `self` fits into `capacity`; `u32::MAX` if `self` is zero.
    pub fn max_copies_in(&self, capacity: &Self) -> u32 {
        let cpu = capacity.cpu.checked_div(self.cpu).unwrap_or(u32::MAX);
        let mem = capacity.mem.checked_div(self.mem).unwrap_or(u32::MAX);
        let gpus = capacity.gpus.checked_div(self.gpus).unwrap_or(u32::MAX);
        cpu.min(mem).min(gpus)
    }

    /// `self` without `other`, each resource at least zero.
    #[must_use]
    pub fn minus(&self, other: &Self) -> Self {
        Self {
            cpu: self.cpu.saturating_sub(other.cpu),
            mem: self.mem.saturating_sub(other.mem),
            gpus: self.gpus.saturating_sub(other.gpus),
        }
    }

    /// The sum of both, saturating.
    #[must_use]
    pub fn plus(&self, other: &Self) -> Self {
        Self {
            cpu: self.cpu.saturating_add(other.cpu),
            mem: self.mem.saturating_add(other.mem),
            gpus: self.gpus.saturating_add(other.gpus),
        }
    }

    /// `self` divided by `n`, which is not zero.
    #[must_use]
    pub fn divided(&self, n: u32) -> Self {
        Self { cpu: self.cpu / n, mem: self.mem / n, gpus: self.gpus / n }
    }

    /// `self` multiplied by `n`, saturating.
    #[must_use]
    pub fn times(&self, n: u32) -> Self {
        Self {
            cpu: self.cpu.saturating_mul(n),
            mem: self.mem.saturating_mul(n),
            gpus: self.gpus.saturating_mul(n),
        }
    }
}

/// A step of a job, as the caller describes it.
#[expect(clippy::struct_excessive_bools, reason = "each is a separate option of the interface")]
#[derive(Clone, PartialEq, prost::Message)]
pub struct Step {
    /// Number of tasks.
    #[prost(uint32, tag = "1")]
    pub count: u32,
    /// Resources for each task.
    #[prost(message, required, tag = "2")]
    pub need: Resources,
    /// The caller's estimate of a task's run time, in ms; 0 for none.
    #[prost(uint32, tag = "3")]
    pub estimate: u32,
    /// Indexes of earlier steps that must complete first.
    #[prost(uint32, repeated, tag = "4")]
    pub after: Vec<u32>,
    /// Whether all tasks must run at the same time.
    #[prost(bool, tag = "5")]
    pub is_gang: bool,
    /// Whether tasks slow down across racks; a gang then prefers one rack.
    #[prost(bool, tag = "6")]
    pub same_rack: bool,
    /// A label that the worker must have; empty for none.
    #[prost(string, tag = "7")]
    pub requirement: String,
    /// Preferred label, usually the rack of the data; empty for none.
    #[prost(string, tag = "8")]
    pub affinity: String,
    /// Most tasks of the step on one worker; 0 for no limit.
    #[prost(uint32, tag = "9")]
    pub spread: u32,
    /// Whether tasks save checkpoints.
    #[prost(bool, tag = "10")]
    pub is_checkpointed: bool,
    /// Whether copies of a task may run in parallel.
    #[prost(bool, tag = "11")]
    pub may_copy: bool,
}

/// A job as submitted by a caller.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Submission {
    /// Id chosen by the caller.
    #[prost(string, tag = "1")]
    pub id: String,
    /// Opaque text passed to each task.
    #[prost(string, tag = "2")]
    pub payload: String,
    /// The steps, in order.
    #[prost(message, repeated, tag = "3")]
    pub steps: Vec<Step>,
    /// Workspace that it belongs to; empty for none. The leader sets it.
    #[prost(string, tag = "4")]
    pub workspace: String,
}

/// The stored state of a task.
#[derive(Clone, PartialEq, prost::Message)]
pub struct TaskRecord {
    /// Whether it has ended successfully.
    #[prost(bool, tag = "1")]
    pub is_done: bool,
    /// The number of its latest run; 0 before the first.
    #[prost(uint32, tag = "2")]
    pub run: u32,
    /// Number of failed runs.
    #[prost(uint32, tag = "3")]
    pub failed: u32,
    /// Worker of its current run; empty for none.
    #[prost(string, tag = "4")]
    pub worker: String,
    /// Latest checkpoint; empty for none.
    #[prost(string, tag = "5")]
    pub saved: String,
}

/// The stored state of a step.
#[derive(Clone, PartialEq, prost::Message)]
pub struct StepRecord {
    /// State of each task, by index.
    #[prost(message, repeated, tag = "1")]
    pub tasks: Vec<TaskRecord>,
    /// The latest gang run counted as failed; 0 for none.
    #[prost(uint32, tag = "2")]
    pub failed_run: u32,
}

/// Queue rules stored with a job, in case the operator removes the queue.
#[derive(Clone, PartialEq, prost::Message)]
pub struct QueueRecord {
    /// The service whose workers run the tasks.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Priority; 0 is the highest.
    #[prost(uint32, tag = "2")]
    pub priority: u32,
    /// Failed runs of a task after which its job fails.
    #[prost(uint32, tag = "3")]
    pub max_attempts: u32,
    /// Factor on the critical path in the target completion time.
    #[prost(double, tag = "4")]
    pub stretch: f64,
    /// Constant part of the target completion time, in ms.
    #[prost(uint32, tag = "5")]
    pub target_ms: u32,
    /// Duration of an advice call without workers, in us.
    #[prost(uint32, tag = "6")]
    pub hint_base_us: u32,
    /// Additional duration for each worker named, in us.
    #[prost(uint32, tag = "7")]
    pub hint_each_us: u32,
    /// Validity of a ticket, in ms; 0 if the queue needs no advice.
    #[prost(uint32, tag = "8")]
    pub hint_validity_ms: u32,
}

/// A job's record as written by earlier versions.
#[derive(Clone, PartialEq, prost::Message)]
pub struct JobRecord {
    /// The submission; only its id once the job has ended without remaining runs.
    #[prost(message, required, tag = "1")]
    pub submission: Submission,
    /// Name of the queue.
    #[prost(string, tag = "2")]
    pub queue: String,
    /// Time of arrival by the store's clock, in ms.
    #[prost(uint64, tag = "3")]
    pub arrived_ms: u64,
    /// 0 open, 1 completed, 2 failed, 3 cancelled.
    #[prost(uint32, tag = "4")]
    pub phase: u32,
    /// State of each step; empty once the job has ended without remaining runs.
    #[prost(message, repeated, tag = "5")]
    pub steps: Vec<StepRecord>,
    /// Time of the end by the store's clock, in ms; 0 while open.
    #[prost(uint64, tag = "6")]
    pub ended_ms: u64,
    /// Queue rules at submission; `None` once the job has ended.
    #[prost(message, optional, tag = "7")]
    pub queue_rules: Option<QueueRecord>,
}

/// A queue that records of a segment refer to.
#[derive(Clone, PartialEq, prost::Message)]
pub struct QueueEntry {
    /// Name of the queue.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Rules at a job's submission; `None` if they are unknown.
    #[prost(message, optional, tag = "2")]
    pub rules: Option<QueueRecord>,
}

/// States of some tasks of a job.
///
/// Tasks are numbered through all steps of the job. A task that is listed in `tasks` has
/// exactly the state given here; any other is as it was before, which is initial in the full
/// record of a job.
#[derive(Clone, PartialEq, prost::Message)]
pub struct TaskStates {
    /// Three numbers for each task: its number, twice its latest run plus 1 if it is done, and
    /// the position of its worker in the segment's list plus 1, or 0 for none.
    #[prost(uint32, repeated, tag = "1")]
    pub tasks: Vec<u32>,
    /// Two numbers for each task with failed runs: its number and the count.
    #[prost(uint32, repeated, tag = "2")]
    pub failed: Vec<u32>,
    /// Numbers of tasks with a checkpoint.
    #[prost(uint32, repeated, tag = "3")]
    pub saved_tasks: Vec<u32>,
    /// The checkpoint of each task in `saved_tasks`.
    #[prost(string, repeated, tag = "4")]
    pub saved: Vec<String>,
    /// Two numbers for each changed step: its index and the latest gang run counted as failed.
    #[prost(uint32, repeated, tag = "5")]
    pub failed_runs: Vec<u32>,
    /// Three numbers for each task that lost workers: its number, and how many crashed under it and
    /// when it may have run there.
    #[prost(uint32, repeated, tag = "6")]
    pub lost_workers: Vec<u32>,
    /// Two numbers for each silent worker of a task: the task's number, and the worker's position in
    /// the segment's list plus 1.
    #[prost(uint32, repeated, tag = "7")]
    pub silent_workers: Vec<u32>,
}

/// Full record of a job that is open or has runs.
#[derive(Clone, PartialEq, prost::Message)]
pub struct FullRecord {
    /// The submission.
    #[prost(message, required, tag = "1")]
    pub submission: Submission,
    /// Position of the queue in the segment's list.
    #[prost(uint32, tag = "2")]
    pub queue: u32,
    /// Time of arrival by the store's clock, in ms.
    #[prost(uint64, tag = "3")]
    pub arrived_ms: u64,
    /// 0 open, 1 completed, 2 failed, 3 cancelled.
    #[prost(uint32, tag = "4")]
    pub phase: u32,
    /// Time of the end by the store's clock, in ms; 0 while open.
    #[prost(uint64, tag = "5")]
    pub ended_ms: u64,
    /// States of tasks that are not initial.
    #[prost(message, required, tag = "6")]
    pub states: TaskStates,
}

/// Change of a job's tasks since its previous record.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ChangeRecord {
    /// Id of the job.
    #[prost(string, tag = "1")]
    pub id: String,
    /// States of the tasks that changed.
    #[prost(message, required, tag = "2")]
    pub states: TaskStates,
}

/// Full record of a job that has ended without remaining runs.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct EndedRecord {
    /// Id of the job.
    #[prost(string, tag = "1")]
    pub id: String,
    /// Position of the queue in the segment's list.
    #[prost(uint32, tag = "2")]
    pub queue: u32,
    /// Time of arrival by the store's clock, in ms.
    #[prost(uint64, tag = "3")]
    pub arrived_ms: u64,
    /// 1 completed, 2 failed, 3 cancelled.
    #[prost(uint32, tag = "4")]
    pub phase: u32,
    /// Time of the end by the store's clock, in ms.
    #[prost(uint64, tag = "5")]
    pub ended_ms: u64,
    /// Workspace that it belongs to; empty for none.
    #[prost(string, tag = "6")]
    pub workspace: String,
}

/// Records written together; of a job, at most one full record and changes that follow it.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Segment {
    /// Full records in the form of earlier versions, which is still read.
    #[prost(message, repeated, tag = "1")]
    pub jobs: Vec<JobRecord>,
    /// Queues that other records refer to.
    #[prost(message, repeated, tag = "2")]
    pub queues: Vec<QueueEntry>,
    /// Ids of workers that other records refer to.
    #[prost(string, repeated, tag = "3")]
    pub workers: Vec<String>,
    /// Full records of jobs.
    #[prost(message, repeated, tag = "4")]
    pub full: Vec<FullRecord>,
    /// Changes of jobs whose full record is in this segment or an earlier one.
    #[prost(message, repeated, tag = "5")]
    pub changes: Vec<ChangeRecord>,
    /// Records of ended jobs.
    #[prost(message, repeated, tag = "6")]
    pub ended: Vec<EndedRecord>,
    /// Address of each worker in `workers`; empty in segments of earlier versions.
    #[prost(string, repeated, tag = "7")]
    pub worker_addresses: Vec<String>,
    /// Incarnation of each worker in `workers`; empty in segments of earlier versions.
    #[prost(uint64, repeated, tag = "8")]
    pub worker_incarnations: Vec<u64>,
}
