//! Validation of submissions.

use std::fmt;

use crate::record::Submission;

/// Longest payload of a job, in bytes.
pub const MAX_PAYLOAD_BYTES: usize = 4000;

/// Most tasks of a job.
pub const MAX_TASKS: u64 = 10_000;

/// Most tasks of a job in a stored row; earlier builds accepted more than [`MAX_TASKS`].
pub const MAX_STORED_TASKS: u64 = 1_000_000;

/// Longest checkpoint of a task that is kept, in bytes.
const MAX_CHECKPOINT_BYTES: usize = 4000;

/// Most bytes of checkpoints that are kept for a job.
const MAX_JOB_CHECKPOINT_BYTES: usize = 300_000;

/// Number of hexadecimal digits in a job id.
pub const JOB_ID_DIGITS: usize = 16;

common::key! {
    /// Reason that a submission is invalid.
    pub enum SubmissionError {
        /// The id does not have the required format.
        InvalidId,
        /// The payload is too long.
        PayloadTooLong,
        /// There are no steps.
        NoSteps,
        /// The step with this index has no tasks.
        NoTasks(usize),
        /// There are too many tasks in all.
        TooManyTasks,
        /// The step with this index depends on itself or a later step.
        StepOrder(usize),
    }
}

impl fmt::Display for SubmissionError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::InvalidId => write!(f, "the id is not {JOB_ID_DIGITS} hexadecimal digits"),
            Self::PayloadTooLong => {
                write!(f, "the payload is longer than {MAX_PAYLOAD_BYTES} bytes")
            }
            Self::NoSteps => write!(f, "there are no steps"),
            Self::NoTasks(step) => write!(f, "step {step} has no tasks"),
            Self::TooManyTasks => write!(f, "there are more than {MAX_TASKS} tasks"),
            Self::StepOrder(step) => {
                write!(f, "step {step} waits for a step that is not before it")
            }
        }
    }
}

impl std::error::Error for SubmissionError {}

/// Whether a text has the format of a job id.
pub fn is_job_id(text: &str) -> bool {
    text.len() == JOB_ID_DIGITS && text.bytes().all(|byte| byte.is_ascii_hexdigit())
}

impl Submission {
    /// Number of tasks in all steps.
    pub fn task_count(&self) -> u64 {
        self.steps.iter().map(|step| u64::from(step.count)).sum()
    }

    /// Longest checkpoint that is kept for a task, so that the job's record can be stored.
    pub fn max_checkpoint_bytes(&self) -> usize {
        let tasks = self.task_count().max(1) as usize;
        (MAX_JOB_CHECKPOINT_BYTES / tasks).min(MAX_CHECKPOINT_BYTES)
    }

    /// Validates the format; capacity and queue are not checked.
    ///
    /// # Errors
    ///
    /// Returns the first [`SubmissionError`] found.
    pub fn validate(&self) -> Result<(), SubmissionError> {
        if !is_job_id(&self.id) {
            return Err(SubmissionError::InvalidId);
        }
        if self.payload.len() > MAX_PAYLOAD_BYTES {
            return Err(SubmissionError::PayloadTooLong);
        }
        self.validate_steps()
    }

    /// Validates the numbers of tasks and the order of the steps.
    ///
    /// # Errors
    ///
    /// Returns the first [`SubmissionError`] found.
    pub fn validate_steps(&self) -> Result<(), SubmissionError> {
        if self.steps.is_empty() {
            return Err(SubmissionError::NoSteps);
        }
        if self.task_count() > MAX_TASKS {
            return Err(SubmissionError::TooManyTasks);
        }
        for (step_index, step) in self.steps.iter().enumerate() {
            if step.count == 0 {
                return Err(SubmissionError::NoTasks(step_index));
            }
            if step.after.iter().any(|earlier| *earlier as usize >= step_index) {
                return Err(SubmissionError::StepOrder(step_index));
            }
        }
        Ok(())
    }
}
