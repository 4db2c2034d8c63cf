//! The closed list of error kinds and the answer that each one gives.
//!
//! The table in `rows` is the only place that maps a kind to its HTTP status, its exit
//! code and what the caller may conclude about the work. `docs/ANSWERS.md` shows the
//! same table, and a test compares the two.

use std::fmt;

crate::key! {
    /// What the caller may conclude about whether the work ran.
    pub enum Ran {
        /// The work ran, wholly or in part.
        Yes,
        /// The work did not run and will not run.
        No,
        /// The work may have run.
        Unknown,
    }

    /// Every way in which a request can end without its result.
    pub enum Kind {
        /// The input does not parse or breaks a rule.
        Malformed,
        /// The input is larger than the bound.
        TooLarge,
        /// No such request, file or path.
        NotFound,
        /// The request id is taken by a different body.
        IdTaken,
        /// The settings version named as base is not the current one.
        StaleVersion,
        /// No worker in the inventory could ever hold the work.
        Impossible,
        /// The customer is at a limit of its quota.
        Quota,
        /// A queue is full and the work was shed.
        Overloaded,
        /// The deadline passed before the work started.
        Expired,
        /// The platform's store does not answer.
        StoreDown,
        /// The daemon cannot confirm that its settings are current.
        Unconfirmed,
        /// No daemon owns the request's partition at the moment.
        NoOwner,
        /// The caller cancelled before any start.
        Cancelled,
        /// The caller cancelled after the start.
        Stopped,
        /// The work ran and failed.
        Failed,
        /// The work may have run; its outcome is lost.
        Unknown,
        /// A fault of our own.
        Internal,
    }
}

struct Row {
    kind: Kind,
    code: u32,
    word: &'static str,
    status: u16,
    exit: u8,
    ran: Ran,
}

const fn row(kind: Kind, code: u32, word: &'static str, status: u16, exit: u8, ran: Ran) -> Row {
    Row { kind, code, word, status, exit, ran }
}

const ROWS: [Row; 17] = [
    row(Kind::Malformed, 1, "malformed", 400, 2, Ran::No),
    row(Kind::TooLarge, 2, "too-large", 413, 2, Ran::No),
    row(Kind::NotFound, 3, "not-found", 404, 3, Ran::No),
    row(Kind::IdTaken, 4, "id-taken", 409, 4, Ran::No),
    row(Kind::StaleVersion, 5, "stale-version", 412, 5, Ran::No),
    row(Kind::Impossible, 6, "impossible", 422, 6, Ran::No),
    row(Kind::Quota, 7, "quota", 429, 7, Ran::No),
    row(Kind::Overloaded, 8, "overloaded", 503, 8, Ran::No),
    row(Kind::Expired, 9, "expired", 504, 9, Ran::No),
    row(Kind::StoreDown, 10, "store-down", 503, 10, Ran::No),
    row(Kind::Unconfirmed, 11, "unconfirmed", 503, 11, Ran::No),
    row(Kind::NoOwner, 12, "no-owner", 503, 12, Ran::No),
    row(Kind::Cancelled, 13, "cancelled", 410, 13, Ran::No),
    row(Kind::Stopped, 14, "stopped", 410, 14, Ran::Yes),
    row(Kind::Failed, 15, "failed", 502, 15, Ran::Yes),
    row(Kind::Unknown, 16, "unknown", 502, 16, Ran::Unknown),
    row(Kind::Internal, 17, "internal", 500, 17, Ran::Unknown),
];

impl Kind {
    /// Every kind, in the order of the table.
    pub fn all() -> impl Iterator<Item = Self> {
        ROWS.iter().map(|row| row.kind)
    }

    fn row(self) -> &'static Row {
        &ROWS[self as usize]
    }

    /// The number on the wire; zero stands for success.
    pub fn code(self) -> u32 {
        self.row().code
    }

    /// The kind for a number on the wire; none for success.
    ///
    /// A number that this version does not know counts as internal.
    pub fn from_code(code: u32) -> Option<Self> {
        if code == 0 {
            return None;
        }
        let known = ROWS.iter().find(|row| row.code == code);
        Some(known.map_or(Self::Internal, |row| row.kind))
    }

    /// The word in answers and logs.
    pub fn word(self) -> &'static str {
        self.row().word
    }

    /// The kind for a word in an answer.
    pub fn from_word(word: &str) -> Option<Self> {
        ROWS.iter().find(|row| row.word == word).map(|row| row.kind)
    }

    /// The HTTP status.
    pub fn status(self) -> u16 {
        self.row().status
    }

    /// The exit code of the command-line tool.
    pub fn exit(self) -> u8 {
        self.row().exit
    }

    /// Whether the work ran.
    pub fn ran(self) -> Ran {
        self.row().ran
    }
}

impl Ran {
    /// The word in answers.
    pub fn word(self) -> &'static str {
        match self {
            Self::Yes => "ran",
            Self::No => "not run",
            Self::Unknown => "unknown",
        }
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.word())
    }
}

impl fmt::Display for Ran {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.word())
    }
}
