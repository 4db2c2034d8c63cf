//! State of one attempt and its code in the protocol.

/// What a rack's owner knows about one attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Fate {
    /// The attempt is running or being started.
    Running,
    /// The attempt ended with a result.
    Done,
    /// The attempt ran and failed.
    Failed,
    /// The attempt was stopped on request.
    Stopped,
    /// The worker does not know the attempt, and no start of it can still arrive.
    Absent,
    /// No start of the attempt was ever sent, and none will be.
    NotSent,
    /// The attempt's lease expired or its worker lost it; it may have run.
    Lapsed,
    /// The rack's owner does not know yet.
    Unsure,
}

/// All fates, indexed by code.
const FATES_BY_CODE: [Fate; 8] = [
    Fate::Running,
    Fate::Done,
    Fate::Failed,
    Fate::Stopped,
    Fate::Absent,
    Fate::NotSent,
    Fate::Lapsed,
    Fate::Unsure,
];

impl Fate {
    /// Code of the fate in the protocol.
    pub fn code(self) -> u32 {
        self as u32
    }

    /// Fate for a code; [`Fate::Unsure`] if the code is unknown.
    pub fn from_code(code: u32) -> Self {
        FATES_BY_CODE.get(code as usize).copied().unwrap_or(Self::Unsure)
    }
}
