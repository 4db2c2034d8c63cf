//! Calls to other daemons that wait for their replies.

use std::collections::HashMap;
use std::time::Instant;

use border::workers::Run;
use common::Name;
use journal::event::Key;

use crate::front::Token;

/// Why a call was made, and so what its end means.
#[derive(Debug)]
pub enum Purpose {
    /// A caller's request, passed on to its home.
    Forward(Token),
    /// Room asked of a rack's owner.
    Reserve {
        /// The request's partition.
        partition: u32,
        /// The request.
        key: Key,
        /// The rack.
        rack: Name,
    },
    /// A start handed to a rack's owner.
    Start {
        /// The request's partition.
        partition: u32,
        /// The request.
        key: Key,
        /// The task's index.
        task: u32,
        /// The attempt.
        attempt: u32,
    },
    /// A question to a rack's owner about an attempt.
    Probe {
        /// The request's partition.
        partition: u32,
    },
    /// An outcome told to a request's home.
    Report {
        /// The rack.
        rack: Name,
        /// The attempt.
        run: Run,
    },
    /// A quick request handed to a rack's owner.
    Quick {
        /// The request.
        key: Key,
        /// The rack.
        rack: Name,
    },
    /// A quick request that is not repeatable, handed to a rack's owner.
    Once {
        /// The request's partition.
        partition: u32,
        /// The request.
        key: Key,
        /// The attempt.
        attempt: u32,
    },
    /// A part of a survey.
    Survey(u64),
}

/// A call that waits for its reply.
#[derive(Debug)]
pub struct Call {
    /// Whom we asked.
    pub to: Name,
    /// When we stop waiting.
    pub deadline: Instant,
    /// What the reply is for.
    pub purpose: Purpose,
}

/// Call numbers that one microsecond between two starts keeps apart.
const NUMBERS_PER_INCARNATION: u64 = 4096;

/// All calls that wait.
#[derive(Debug)]
pub struct Calls {
    next: u64,
    open: HashMap<u64, Call>,
}

impl Calls {
    /// No calls yet.
    ///
    /// Numbers grow from the incarnation, so that a late reply to an earlier start of
    /// this daemon finds no call of this one.
    pub fn new(incarnation: u64) -> Self {
        Self { next: incarnation.wrapping_mul(NUMBERS_PER_INCARNATION), open: HashMap::new() }
    }

    /// Adds a call; gives its number.
    pub fn add(&mut self, call: Call) -> u64 {
        self.next = self.next.wrapping_add(1);
        self.open.insert(self.next, call);
        self.next
    }

    /// Takes the call that a reply from a peer answers.
    pub fn take(&mut self, number: u64, from: &Name) -> Option<Call> {
        let is_theirs = self.open.get(&number).is_some_and(|call| call.to == *from);
        if is_theirs { self.open.remove(&number) } else { None }
    }

    /// Takes a call by its number.
    pub fn remove(&mut self, number: u64) -> Option<Call> {
        self.open.remove(&number)
    }

    /// Takes every call to a peer.
    pub fn take_all(&mut self, to: &Name) -> Vec<Call> {
        self.take_where(|call| call.to == *to)
    }

    /// Takes every call whose time is up.
    pub fn take_late(&mut self, now: Instant) -> Vec<Call> {
        self.take_where(|call| call.deadline <= now)
    }

    fn take_where(&mut self, is_taken: impl Fn(&Call) -> bool) -> Vec<Call> {
        let taken = self.open.extract_if(|_, call| is_taken(call));
        taken.map(|(_, call)| call).collect()
    }
}
