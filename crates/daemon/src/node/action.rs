//! Actions requested by homes and racks; the node performs them.

use common::{ErrorKind, Name};
use wire::{Answer, Body};

use super::call::Purpose;
use crate::event::Event;
use crate::front::Token;

/// Recipient of an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Waiter {
    /// Caller connected to this daemon.
    Caller(Token),
    /// Other daemon, and the number of its call.
    Peer(Name, u64),
}

/// Action for the node to perform.
#[derive(Debug)]
pub enum Action {
    /// Answer a request.
    Answer(Waiter, Box<Answer>),
    /// Acknowledge a call; the kind is `None` on success.
    Ack(Waiter, Option<ErrorKind>, String),
    /// Call the owner of a rack.
    CallRack(Name, Body, Purpose),
    /// Send the owner of a rack a message without reply.
    NotifyRack(Name, Body),
    /// Call the home of a partition.
    CallHome(u32, Body, Purpose),
    /// Log an event with its detail.
    Log(Event, String),
}

/// Reason for refusing a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// Error kind of the answer.
    pub kind: ErrorKind,
    /// Reason, as shown to the caller.
    pub text: String,
}

impl Refusal {
    /// Creates a refusal with its reason.
    pub fn new(kind: ErrorKind, text: impl Into<String>) -> Self {
        Self { kind, text: text.into() }
    }

    /// Converts the refusal to an answer.
    pub fn answer(self) -> Answer {
        failure(self.kind, self.text)
    }
}

/// Builds the answer for an error kind.
pub fn failure(kind: ErrorKind, text: impl Into<String>) -> Answer {
    Answer {
        code: kind.code(),
        state: kind.as_str().to_owned(),
        text: text.into(),
        ..Answer::default()
    }
}
