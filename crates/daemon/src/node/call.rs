//! Calls to other daemons that await a reply.

use std::collections::HashMap;
use std::time::Instant;

use border::workers::AttemptId;
use common::Name;
use journal::event::RequestKey;

use crate::front::Token;

/// Purpose of a call; determines how its reply is handled.
#[derive(Debug)]
pub enum Purpose {
    /// Caller's request, forwarded to its home.
    Forward(Token),
    /// Reservation requested from a rack's owner.
    Reserve {
        /// Partition of the request.
        partition: u32,
        /// Key of the request.
        key: RequestKey,
        /// Name of the rack.
        rack: Name,
    },
    /// Task start sent to a rack's owner.
    Start {
        /// Partition of the request.
        partition: u32,
        /// Key of the request.
        key: RequestKey,
        /// Index of the task.
        task: u32,
        /// Number of the attempt.
        attempt: u32,
    },
    /// Query to a rack's owner about the state of an attempt.
    Probe {
        /// Partition of the request.
        partition: u32,
    },
    /// State of an attempt, reported to the request's home.
    Report {
        /// Name of the rack.
        rack: Name,
        /// Reported attempt.
        run: AttemptId,
    },
    /// Quick request sent to a rack's owner.
    Quick {
        /// Key of the request.
        key: RequestKey,
        /// Name of the rack.
        rack: Name,
    },
    /// Non-repeatable quick request sent to a rack's owner.
    QuickOnce {
        /// Partition of the request.
        partition: u32,
        /// Key of the request.
        key: RequestKey,
        /// Number of the attempt.
        attempt: u32,
    },
    /// One member's part of a survey, by survey number.
    Survey(u64),
}

/// Call that awaits a reply.
#[derive(Debug)]
pub struct Call {
    /// Member that was called.
    pub to: Name,
    /// When the call times out.
    pub deadline: Instant,
    /// How to handle the reply.
    pub purpose: Purpose,
}

/// Call numbers reserved for each microsecond between the starts of two incarnations.
const NUMBERS_PER_INCARNATION: u64 = 4096;

/// All calls that await a reply, by number.
#[derive(Debug)]
pub struct Calls {
    next: u64,
    open: HashMap<u64, Call>,
}

impl Calls {
    /// Creates an empty set of calls.
    ///
    /// Numbers start at a value derived from the incarnation, so that a late reply to a
    /// call of an earlier incarnation matches no call of this one.
    pub fn new(incarnation: u64) -> Self {
        Self { next: incarnation.wrapping_mul(NUMBERS_PER_INCARNATION), open: HashMap::new() }
    }

    /// Adds a call and returns its number.
    pub fn add(&mut self, call: Call) -> u64 {
        self.next = self.next.wrapping_add(1);
        self.open.insert(self.next, call);
        self.next
    }

    /// Removes the call that a peer's reply answers; `None` if unknown.
    pub fn take(&mut self, number: u64, from: &Name) -> Option<Call> {
        let is_from_callee = self.open.get(&number).is_some_and(|call| call.to == *from);
        if is_from_callee { self.open.remove(&number) } else { None }
    }

    /// Removes a call by its number.
    pub fn remove(&mut self, number: u64) -> Option<Call> {
        self.open.remove(&number)
    }

    /// Removes and returns every call to a peer.
    pub fn take_calls_to(&mut self, to: &Name) -> Vec<Call> {
        self.take_where(|call| call.to == *to)
    }

    /// Removes and returns every call past its deadline.
    pub fn take_expired(&mut self, now: Instant) -> Vec<Call> {
        self.take_where(|call| call.deadline <= now)
    }

    fn take_where(&mut self, is_taken: impl Fn(&Call) -> bool) -> Vec<Call> {
        let taken = self.open.extract_if(|_, call| is_taken(call));
        taken.map(|(_, call)| call).collect()
    }
}
