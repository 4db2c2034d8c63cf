//! What is stored and sent of a job: prost messages written by hand, so no generator runs.

/// Room that a task asks for, or that a worker has.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct Need {
    /// Processors, in thousandths of a core.
    #[prost(uint32, tag = "1")]
    pub cpu: u32,
    /// Memory, in MB.
    #[prost(uint32, tag = "2")]
    pub mem: u32,
    /// Accelerators.
    #[prost(uint32, tag = "3")]
    pub gpus: u32,
}

impl Need {
    /// Whether `self` fits into `room`.
    pub fn fits(&self, room: &Self) -> bool {
        self.cpu <= room.cpu && self.mem <= room.mem && self.gpus <= room.gpus
    }

    /// How often `self` fits into `room`.
    pub fn times_in(&self, room: &Self) -> u32 {
        let cpu = room.cpu.checked_div(self.cpu).unwrap_or(u32::MAX);
        let mem = room.mem.checked_div(self.mem).unwrap_or(u32::MAX);
        let gpus = room.gpus.checked_div(self.gpus).unwrap_or(u32::MAX);
        cpu.min(mem).min(gpus)
    }

    /// What is left of `self` without `other`; zero where nothing is.
    #[must_use]
    pub fn less(&self, other: &Self) -> Self {
        Self {
            cpu: self.cpu.saturating_sub(other.cpu),
            mem: self.mem.saturating_sub(other.mem),
            gpus: self.gpus.saturating_sub(other.gpus),
        }
    }

    /// The sum of both.
    #[must_use]
    pub fn plus(&self, other: &Self) -> Self {
        Self {
            cpu: self.cpu.saturating_add(other.cpu),
            mem: self.mem.saturating_add(other.mem),
            gpus: self.gpus.saturating_add(other.gpus),
        }
    }

    /// `self` taken `n` times.
    #[must_use]
    pub fn times(&self, n: u32) -> Self {
        Self {
            cpu: self.cpu.saturating_mul(n),
            mem: self.mem.saturating_mul(n),
            gpus: self.gpus.saturating_mul(n),
        }
    }
}

/// One step of a job, as its caller describes it.
#[expect(clippy::struct_excessive_bools, reason = "each is a wish of its own in the interface")]
#[derive(Clone, PartialEq, prost::Message)]
pub struct Step {
    /// Number of tasks.
    #[prost(uint32, tag = "1")]
    pub count: u32,
    /// Room for each task.
    #[prost(message, required, tag = "2")]
    pub need: Need,
    /// The caller's rough estimate of a task's run time, in ms; 0 for none.
    #[prost(uint32, tag = "3")]
    pub estimate: u32,
    /// Earlier steps that must end first.
    #[prost(uint32, repeated, tag = "4")]
    pub after: Vec<u32>,
    /// Whether the tasks run only together.
    #[prost(bool, tag = "5")]
    pub is_gang: bool,
    /// Whether the tasks slow down where they span racks.
    #[prost(bool, tag = "6")]
    pub same_rack: bool,
    /// A label that the worker must have; empty for none.
    #[prost(string, tag = "7")]
    pub requirement: String,
    /// The rack where the data is; empty for none.
    #[prost(string, tag = "8")]
    pub affinity: String,
    /// Most tasks of the step on one worker; 0 for no bound.
    #[prost(uint32, tag = "9")]
    pub spread: u32,
    /// Whether tasks save checkpoints.
    #[prost(bool, tag = "10")]
    pub is_checkpointed: bool,
    /// Whether copies of a task may run in parallel.
    #[prost(bool, tag = "11")]
    pub may_copy: bool,
}

/// A job as its caller hands it in.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Submission {
    /// The caller's id.
    #[prost(string, tag = "1")]
    pub id: String,
    /// Opaque text handed to each task.
    #[prost(string, tag = "2")]
    pub payload: String,
    /// The steps, in order.
    #[prost(message, repeated, tag = "3")]
    pub steps: Vec<Step>,
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
    /// Runs that failed.
    #[prost(uint32, tag = "3")]
    pub failed: u32,
    /// The worker of its current run; empty for none.
    #[prost(string, tag = "4")]
    pub worker: String,
    /// Its latest checkpoint; empty for none.
    #[prost(string, tag = "5")]
    pub saved: String,
}

/// The stored state of a step.
#[derive(Clone, PartialEq, prost::Message)]
pub struct StepRecord {
    /// Its tasks, by index.
    #[prost(message, repeated, tag = "1")]
    pub tasks: Vec<TaskRecord>,
    /// The latest run of a gang that was counted as failed.
    #[prost(uint32, tag = "2")]
    pub failed_run: u32,
}

/// What a job's tasks need to know of its queue, should the operator remove that.
#[derive(Clone, PartialEq, prost::Message)]
pub struct QueueRecord {
    /// The service whose workers run the tasks.
    #[prost(string, tag = "1")]
    pub service: String,
    /// 0 comes first.
    #[prost(uint32, tag = "2")]
    pub priority: u32,
    /// Failed runs after which a task is given up.
    #[prost(uint32, tag = "3")]
    pub max_attempts: u32,
    /// Factor on the longest chain of work in the objective.
    #[prost(double, tag = "4")]
    pub stretch: f64,
    /// Addition to the objective, in ms.
    #[prost(uint32, tag = "5")]
    pub target_ms: u32,
    /// Time of an advice call without workers, in us; 0 where no advice is needed.
    #[prost(uint32, tag = "6")]
    pub hint_base_us: u32,
    /// Time for each worker named, in us.
    #[prost(uint32, tag = "7")]
    pub hint_each_us: u32,
    /// How long a ticket lasts, in ms.
    #[prost(uint32, tag = "8")]
    pub hint_validity_ms: u32,
}

/// A job's row.
#[derive(Clone, PartialEq, prost::Message)]
pub struct JobRecord {
    /// What the caller handed in; without steps once the job has ended.
    #[prost(message, required, tag = "1")]
    pub submission: Submission,
    /// The queue's name.
    #[prost(string, tag = "2")]
    pub queue: String,
    /// Time of arrival by the store's clock, in ms.
    #[prost(uint64, tag = "3")]
    pub arrived_ms: u64,
    /// 0 open, 1 completed, 2 failed, 3 cancelled.
    #[prost(uint32, tag = "4")]
    pub phase: u32,
    /// The steps' states, by number.
    #[prost(message, repeated, tag = "5")]
    pub steps: Vec<StepRecord>,
    /// Time of the end by the store's clock, in ms; 0 while open.
    #[prost(uint64, tag = "6")]
    pub ended_ms: u64,
    /// The queue as it was when the job came; none once the job has ended.
    #[prost(message, optional, tag = "7")]
    pub queue_rules: Option<QueueRecord>,
}

/// Jobs that were written together.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Segment {
    /// The jobs, each as it was then.
    #[prost(message, repeated, tag = "1")]
    pub jobs: Vec<JobRecord>,
}
