//! What can happen to a request, as the journal keeps it.

use std::fmt;

use common::{Kind, Name};
use settings::Spec;
use settings::quantity::Size;
use settings::rules::{Class, Mode};

common::record! {
    /// A request's name: the customer and the customer's own id.
    #[derive(Eq, Hash, PartialOrd, Ord)]
    pub struct Key {
        /// The customer.
        pub customer: Name,
        /// The customer's id of the request.
        pub id: Name,
    }

    /// What was promised to the caller when the request was admitted.
    pub struct Terms {
        /// How the work is carried.
        pub mode: Mode,
        /// How much it matters.
        pub class: Class,
        /// Whether a second attempt is harmless.
        pub is_repeatable: bool,
        /// Attempts in all.
        pub attempts: u32,
        /// The size of each task.
        pub size: Size,
        /// Number of tasks.
        pub tasks: u32,
        /// When it was admitted, in milliseconds since 1970.
        pub admitted_ms: i64,
        /// When it must have started, in milliseconds since 1970.
        pub start_by_ms: Option<i64>,
    }

    /// Where one attempt is to run.
    pub struct Place {
        /// The task's index.
        pub task: u32,
        /// The attempt's number, from 1.
        pub attempt: u32,
        /// The rack.
        pub rack: Name,
        /// The worker or executor.
        pub worker: Name,
        /// Epoch of the rack's owner that reserved the room.
        pub rack_epoch: u64,
    }

    /// The answer that a caller gets.
    pub struct Answer {
        /// The error kind's code; zero for success.
        pub code: u32,
        /// What happened, for people.
        pub text: String,
        /// The result of each task, in order.
        pub results: Vec<String>,
        /// When it was given, in milliseconds since 1970.
        pub at_ms: i64,
    }

    /// How a task ended.
    #[derive(Copy, Eq)]
    pub enum Outcome {
        /// With a result.
        Done,
        /// It ran and failed.
        Failed,
        /// It was stopped at the caller's wish.
        Stopped,
        /// It may have run; nobody can tell.
        Unknown,
    }

    /// One change of one request.
    pub enum Event {
        /// The request was taken in.
        Admitted {
            /// The request.
            key: Key,
            /// What the caller sent.
            spec: Spec,
            /// What the caller was promised.
            terms: Terms,
        },
        /// Starts of these attempts may be sent from now on.
        Started {
            /// The request.
            key: Key,
            /// The attempts.
            places: Vec<Place>,
        },
        /// An attempt ended in a way that lets its task wait for another one.
        Again {
            /// The request.
            key: Key,
            /// The task's index.
            task: u32,
            /// The attempt's number.
            attempt: u32,
            /// Whether the attempt may have run.
            may_have_run: bool,
            /// Whether it gave its room to more urgent work, which is no failure.
            #[serde(default)]
            has_yielded: bool,
            /// Why it ended.
            reason: String,
        },
        /// A task ended.
        Ended {
            /// The request.
            key: Key,
            /// The task's index.
            task: u32,
            /// The attempt's number.
            attempt: u32,
            /// How it ended.
            outcome: Outcome,
            /// The result, or why it failed.
            result: String,
        },
        /// The caller wants the request stopped.
        Cancelling {
            /// The request.
            key: Key,
        },
        /// The request has its answer.
        Closed {
            /// The request.
            key: Key,
            /// The answer.
            answer: Answer,
        },
    }
}

impl Event {
    /// The request that the event is about.
    pub fn key(&self) -> &Key {
        match self {
            Self::Admitted { key, .. }
            | Self::Started { key, .. }
            | Self::Again { key, .. }
            | Self::Ended { key, .. }
            | Self::Cancelling { key }
            | Self::Closed { key, .. } => key,
        }
    }
}

impl Answer {
    /// The error kind; none for success.
    pub fn kind(&self) -> Option<Kind> {
        Kind::from_code(self.code)
    }
}

impl Key {
    /// The key of a submitted request.
    pub fn of(spec: &Spec) -> Self {
        Self { customer: spec.customer.clone(), id: spec.id.clone() }
    }

    /// The same number on every daemon; the separator is in no name.
    pub fn hash(&self) -> u64 {
        common::stable_hash(self.to_string().as_bytes())
    }

    /// The partition that accounts for the request.
    pub fn partition(&self, partitions: u32) -> u32 {
        (self.hash() % u64::from(partitions)) as u32
    }
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.customer, self.id)
    }
}
