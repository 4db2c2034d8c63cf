//! What became of one attempt, as a number on the wire.

/// What the owner of a rack knows of one attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Fate {
    /// The attempt runs, or its start is under way.
    Running,
    /// The attempt ended with a result.
    Done,
    /// The attempt ran and failed.
    Failed,
    /// The attempt was stopped on request.
    Stopped,
    /// The attempt is not there, and no start of it can arrive any more.
    Absent,
    /// No start of the attempt was ever sent, and none will be.
    NotSent,
    /// The attempt's lease lapsed, or its worker is gone; it may have run.
    Lapsed,
    /// The owner cannot tell yet.
    Unsure,
}

const FATES: [Fate; 8] = [
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
    /// The number on the wire.
    pub fn code(self) -> u32 {
        self as u32
    }

    /// The fate for a number; one that is not known counts as unsure.
    pub fn from_code(code: u32) -> Self {
        FATES.get(code as usize).copied().unwrap_or(Self::Unsure)
    }
}
