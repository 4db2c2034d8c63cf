//! What a home or a rack wants done; the node does it.

use common::{Kind, Name};
use wire::{Answer, Body};

use super::call::Purpose;
use crate::event::Event;
use crate::front::Token;

/// Whoever waits for an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Waiter {
    /// A caller of ours.
    Front(Token),
    /// Another daemon, and the number of its call.
    Peer(Name, u64),
}

/// One thing to do.
#[derive(Debug)]
pub enum Action {
    /// Answer a request.
    Answer(Waiter, Box<Answer>),
    /// Answer a call with a bare code.
    Ack(Waiter, Option<Kind>, String),
    /// Ask a rack's owner.
    AskRack(Name, Body, Purpose),
    /// Tell a rack's owner, without a reply.
    TellRack(Name, Body),
    /// Tell the home of a partition.
    AskHome(u32, Body, Purpose),
    /// Write a log event.
    Log(Event, String),
}

/// Why something is not done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// The error kind.
    pub kind: Kind,
    /// What stands in the way.
    pub text: String,
}

impl Refusal {
    /// A refusal with its reason.
    pub fn new(kind: Kind, text: impl Into<String>) -> Self {
        Self { kind, text: text.into() }
    }

    /// The answer that says so.
    pub fn answer(self) -> Answer {
        failure(self.kind, self.text)
    }
}

/// An answer for an error kind.
pub fn failure(kind: Kind, text: impl Into<String>) -> Answer {
    Answer {
        code: kind.code(),
        state: kind.word().to_owned(),
        text: text.into(),
        ..Answer::default()
    }
}
