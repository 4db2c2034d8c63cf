//! Jobs, tasks and workers of one pool, and the decisions about them.
//!
//! [`Scheduler`] holds the whole state of a pool and does no I/O. Its owner feeds it
//! submissions, workers' reports and advice, makes the changed jobs durable, and only then
//! carries out the starts and stops that it asked for. All times are durations since the
//! start of the owner's loop.

mod check;
mod ends;
mod estimate;
mod explain;
mod job;
mod listing;
mod place;
mod pool;
mod record;
mod rules;
mod scheduler;
mod step;
mod worker;

pub use check::{Fault, is_job_id};
pub use ends::{End, How, Listing, Run};
pub use explain::{Progress, Wait};
pub use job::{Job, Phase, Shown, Task, TaskKey};
pub use pool::Pool;
pub use record::{JobRecord, Need, QueueRecord, Segment, Step, StepRecord, Submission, TaskRecord};
pub use rules::{Hint, Limits, Queue, Rules};
pub use scheduler::{Ask, Ended, Refusal, Scheduler, Start, Stop};
pub use step::{Fit, StepState};
pub use worker::{Assignment, Order, Report, Worker};
