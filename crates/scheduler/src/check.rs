//! What a submission must keep.

use std::fmt;

use crate::record::Submission;

/// Longest payload that a job may hand to its tasks, in bytes.
pub const MAX_PAYLOAD: usize = 4000;

/// Length of a job's id, in hexadecimal digits.
pub const ID_LENGTH: usize = 16;

common::key! {
    /// Why a submission cannot be taken.
    pub enum Fault {
        /// The id has the wrong form.
        Id,
        /// The payload is too long.
        Payload,
        /// There are no steps.
        NoSteps,
        /// A step has no tasks.
        NoTasks(usize),
        /// A step waits for one that is not before it.
        Order(usize),
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Id => write!(f, "the id is not {ID_LENGTH} hexadecimal digits"),
            Self::Payload => write!(f, "the payload is longer than {MAX_PAYLOAD} bytes"),
            Self::NoSteps => write!(f, "there are no steps"),
            Self::NoTasks(step) => write!(f, "step {step} has no tasks"),
            Self::Order(step) => write!(f, "step {step} waits for a step that is not before it"),
        }
    }
}

impl std::error::Error for Fault {}

/// Whether a text has the form of a job's id.
pub fn is_job_id(text: &str) -> bool {
    text.len() == ID_LENGTH && text.bytes().all(|byte| byte.is_ascii_hexdigit())
}

impl Submission {
    /// Checks the form; room and queue are not looked at.
    ///
    /// # Errors
    ///
    /// The first [`Fault`].
    pub fn check(&self) -> Result<(), Fault> {
        if !is_job_id(&self.id) {
            return Err(Fault::Id);
        }
        if self.payload.len() > MAX_PAYLOAD {
            return Err(Fault::Payload);
        }
        if self.steps.is_empty() {
            return Err(Fault::NoSteps);
        }
        for (number, step) in self.steps.iter().enumerate() {
            if step.count == 0 {
                return Err(Fault::NoTasks(number));
            }
            if step.after.iter().any(|earlier| *earlier as usize >= number) {
                return Err(Fault::Order(number));
            }
        }
        Ok(())
    }
}
