//! Schedules the jobs of one worker pool, without I/O.
//!
//! [`Scheduler`] holds the state of a pool. The leader passes it submissions, worker
//! reports and advice, and commits the changed jobs before it sends the starts that the
//! scheduler requested; stops are sent at once. All times are durations since the start of
//! the leader's event loop.

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
pub use step::{Eligibility, StepState};
pub use worker::{Assignment, Order, Report, Worker};
