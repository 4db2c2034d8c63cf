//! State of one attempt and its code in the protocol.

/// What a rack's owner knows about one attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum AttemptStatus {
    /// The attempt is running or being started.
    Running,
    /// The attempt ended with a result.
    Done,
    /// The attempt ran and failed.
    Failed,
    /// The attempt was stopped on request.
    Stopped,
    /// The worker does not know the attempt, and no start of it can still arrive.
    NotFound,
    /// No start of the attempt was ever sent, and none will be.
    NotSent,
    /// The attempt's lease expired or its worker lost it; it may have run.
    LeaseExpired,
    /// The rack's owner does not know yet.
    Undetermined,
}

/// All statuses, indexed by code.
const STATUSES_BY_CODE: [AttemptStatus; 8] = [
    AttemptStatus::Running,
    AttemptStatus::Done,
    AttemptStatus::Failed,
    AttemptStatus::Stopped,
    AttemptStatus::NotFound,
    AttemptStatus::NotSent,
    AttemptStatus::LeaseExpired,
    AttemptStatus::Undetermined,
];

impl AttemptStatus {
    /// Code of the status in the protocol.
    pub fn code(self) -> u32 {
        self as u32
    }

    /// Status for a code; [`AttemptStatus::Undetermined`] if the code is unknown.
    pub fn from_code(code: u32) -> Self {
        STATUSES_BY_CODE.get(code as usize).copied().unwrap_or(Self::Undetermined)
    }
}
