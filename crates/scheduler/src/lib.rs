//! Schedules the jobs of one worker pool, without I/O.
//!
//! [`Scheduler`] holds the state of a pool. The leader passes it submissions, worker
//! registrations and advice, and commits the changed jobs before it sends the starts that the
//! scheduler requested; stops are sent at once. All times are durations since the start of
//! the leader's event loop.

mod admission;
mod advice;
mod crash;
mod estimate;
mod explain;
mod fate;
pub mod forecast;
mod health;
mod job;
mod placement;
mod pool;
mod reconcile;
mod record;
mod room;
mod rounds;
mod rules;
mod run_times;
mod runs;
mod scheduler;
mod segment;
mod shares;
mod step;
mod usage;
mod validation;
mod worker;
mod workspace;

pub use advice::{AdviceCapacity, CallClass};
pub use crash::{Explanation, Loss, LostRun};
pub use explain::{Awaited, Progress, Wait, WaitReason};
pub use fate::{Fate, NotStarted, StopMark};
pub use health::Doubt;
pub use job::{Job, JobState, Phase, Site, StoredWorker, Task, TaskKey};
pub use placement::{Resource, WorkspaceFigures};
pub use pool::Pool;
pub use record::{
    ChangeRecord, EndedRecord, FullRecord, JobRecord, QueueEntry, QueueRecord, Resources, Segment,
    Step, StepRecord, Submission, TaskRecord, TaskStates,
};
pub use rounds::Waste;
pub use rules::{AdvicePolicy, Limits, Queue, Rules, Service};
pub use runs::{ActiveRun, FinishedRun, Listing, Outcome};
pub use scheduler::{AdviceCall, AdviceKey, EndedRun, Refusal, Scheduler, StartOrder, StopOrder};
pub use segment::{JobDiff, Restored, SegmentBuilder, StoredState, max_base_size};
pub use step::{Eligibility, StepState};
pub use usage::Usage;
pub use validation::{SubmissionError, is_job_id};
pub use worker::{Assignment, Registration, RunState, Worker};
pub use workspace::{KeyDigest, Workspace, Workspaces};
