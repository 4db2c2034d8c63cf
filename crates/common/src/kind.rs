//! Closed list of error kinds and their codes.
//!
//! `KIND_TABLE` is the only place that maps a kind to its HTTP status, its exit code and
//! what the caller may conclude about the work. `docs/ANSWERS.md` shows the same table, and
//! a test compares the two.

use std::fmt;

crate::key! {
    /// What the caller may conclude about whether the work ran.
    pub enum Execution {
        /// The work ran, wholly or in part.
        Yes,
        /// The work did not run and will not run.
        No,
        /// The work may have run.
        Unknown,
    }

    /// Reason why a request ended without a result.
    pub enum ErrorKind {
        /// The input does not parse or breaks a rule.
        Malformed,
        /// The input exceeds a size limit.
        TooLarge,
        /// The request, file or path does not exist.
        NotFound,
        /// The request id is already used by a request with a different body.
        IdTaken,
        /// The settings version given as base is not the current one.
        StaleVersion,
        /// No worker in the inventory has the capacity for the work, even when idle.
        Impossible,
        /// The customer has reached a limit of its quota.
        Quota,
        /// A queue is full, and the work was not admitted.
        Overloaded,
        /// The deadline passed before the work started.
        Expired,
        /// The platform's store cannot be reached.
        StoreDown,
        /// The daemon cannot confirm that its settings are current.
        Unconfirmed,
        /// No daemon currently owns the request's partition.
        NoOwner,
        /// The caller cancelled the request before any attempt was started.
        Cancelled,
        /// The caller cancelled the request after an attempt was started.
        Stopped,
        /// The work ran and failed.
        Failed,
        /// The work may have run; its outcome is lost.
        Unknown,
        /// An internal error of the scheduler.
        Internal,
    }
}

/// Codes of one kind.
struct Row {
    kind: ErrorKind,
    code: u32,
    word: &'static str,
    status: u16,
    exit: u8,
    execution: Execution,
}

const fn row(
    kind: ErrorKind,
    code: u32,
    word: &'static str,
    status: u16,
    exit: u8,
    execution: Execution,
) -> Row {
    Row { kind, code, word, status, exit, execution }
}

/// Codes of all kinds, indexed by kind.
const KIND_TABLE: [Row; 17] = [
    row(ErrorKind::Malformed, 1, "malformed", 400, 2, Execution::No),
    row(ErrorKind::TooLarge, 2, "too-large", 413, 2, Execution::No),
    row(ErrorKind::NotFound, 3, "not-found", 404, 3, Execution::No),
    row(ErrorKind::IdTaken, 4, "id-taken", 409, 4, Execution::No),
    row(ErrorKind::StaleVersion, 5, "stale-version", 412, 5, Execution::No),
    row(ErrorKind::Impossible, 6, "impossible", 422, 6, Execution::No),
    row(ErrorKind::Quota, 7, "quota", 429, 7, Execution::No),
    row(ErrorKind::Overloaded, 8, "overloaded", 503, 8, Execution::No),
    row(ErrorKind::Expired, 9, "expired", 504, 9, Execution::No),
    row(ErrorKind::StoreDown, 10, "store-down", 503, 10, Execution::No),
    row(ErrorKind::Unconfirmed, 11, "unconfirmed", 503, 11, Execution::No),
    row(ErrorKind::NoOwner, 12, "no-owner", 503, 12, Execution::No),
    row(ErrorKind::Cancelled, 13, "cancelled", 410, 13, Execution::No),
    row(ErrorKind::Stopped, 14, "stopped", 410, 14, Execution::Yes),
    row(ErrorKind::Failed, 15, "failed", 502, 15, Execution::Yes),
    row(ErrorKind::Unknown, 16, "unknown", 502, 16, Execution::Unknown),
    row(ErrorKind::Internal, 17, "internal", 500, 17, Execution::Unknown),
];

impl ErrorKind {
    /// All kinds, in declaration order.
    pub fn all() -> impl Iterator<Item = Self> {
        KIND_TABLE.iter().map(|row| row.kind)
    }

    fn row(self) -> &'static Row {
        &KIND_TABLE[self as usize]
    }

    /// Code in the protocol and in stored data; never zero, which stands for success.
    pub fn code(self) -> u32 {
        self.row().code
    }

    /// Kind for a code; `None` for zero, which means success.
    ///
    /// Unknown codes, such as those of a newer version, map to [`ErrorKind::Internal`].
    pub fn from_code(code: u32) -> Option<Self> {
        if code == 0 {
            return None;
        }
        let known = KIND_TABLE.iter().find(|row| row.code == code);
        Some(known.map_or(Self::Internal, |row| row.kind))
    }

    /// Word for the kind in answers and logs.
    pub fn as_str(self) -> &'static str {
        self.row().word
    }

    /// Kind for a word in an answer; `None` if the word is unknown.
    pub fn from_name(word: &str) -> Option<Self> {
        KIND_TABLE.iter().find(|row| row.word == word).map(|row| row.kind)
    }

    /// HTTP status code of an answer with this kind.
    pub fn http_status(self) -> u16 {
        self.row().status
    }

    /// Exit code of the command-line tool.
    pub fn exit_code(self) -> u8 {
        self.row().exit
    }

    /// What the caller may conclude about whether the work ran.
    pub fn execution(self) -> Execution {
        self.row().execution
    }
}

impl Execution {
    /// Word for the conclusion in answers.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Yes => "ran",
            Self::No => "not run",
            Self::Unknown => "unknown",
        }
    }
}

impl fmt::Display for ErrorKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl fmt::Display for Execution {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
