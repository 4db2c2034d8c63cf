//! Group commit of one partition's events, safe to repeat after a lost answer.
//!
//! At most one segment is on its way. It is conditional on the ownership row's version
//! and on its own key being free. After a lost answer the same segment is sent again;
//! a conflict is settled by reading the row back: our nonce means that the first try
//! took effect, anything else that the partition has another owner.

use std::collections::VecDeque;

use border::table::{Commit, Query, Row, Transaction};
use common::Name;

use crate::Event;
use crate::segment::{self, Segment};

/// Largest segment, in bytes; at least one event goes into each.
pub const SEGMENT_BYTES: usize = 128 * 1024;

/// Most events in one segment.
pub const SEGMENT_EVENTS: usize = 512;

/// What the log wants next.
#[derive(Debug, PartialEq)]
pub enum Step {
    /// These tokens' events are durable.
    Durable(Vec<u64>),
    /// Send the same segment again.
    Resend,
    /// Read these rows and hand them to [`Log::settle`].
    Read(Query),
    /// The partition has another owner; stop acting for it.
    Fenced,
}

#[derive(Debug)]
struct Entry {
    token: u64,
    event: Event,
    bytes: usize,
}

#[derive(Debug)]
struct Flight {
    segment: Segment,
    tokens: Vec<u64>,
}

/// The tail of one partition's journal.
#[derive(Debug)]
pub struct Log {
    partition: u32,
    epoch: u64,
    owner_key: Name,
    owner_version: u64,
    next: u64,
    waiting: VecDeque<Entry>,
    flight: Option<Flight>,
}

impl Log {
    /// A log that continues at a sequence, under one claim of the partition.
    pub fn new(partition: u32, epoch: u64, owner_key: Name, owner_version: u64, next: u64) -> Self {
        let waiting = VecDeque::new();
        Self { partition, epoch, owner_key, owner_version, next, waiting, flight: None }
    }

    /// First sequence that is not yet durable.
    pub fn next(&self) -> u64 {
        self.next
    }

    /// Events that are not yet durable.
    pub fn backlog(&self) -> usize {
        self.waiting.len() + self.flight.as_ref().map_or(0, |flight| flight.tokens.len())
    }

    /// Whether a segment is on its way.
    pub fn is_flying(&self) -> bool {
        self.flight.is_some()
    }

    /// Whether events wait for a segment.
    pub fn is_waiting(&self) -> bool {
        !self.waiting.is_empty()
    }

    /// Adds an event; the token comes back when it is durable.
    pub fn append(&mut self, event: Event, token: u64) {
        let bytes = serde_json::to_string(&event).map_or(0, |text| text.len());
        self.waiting.push_back(Entry { token, event, bytes });
    }

    /// Takes back an event that no segment holds yet.
    pub fn withdraw(&mut self, token: u64) -> Option<Event> {
        let at = self.waiting.iter().position(|entry| entry.token == token)?;
        self.waiting.remove(at).map(|entry| entry.event)
    }

    /// The transaction to send, where none is on its way and events wait.
    pub fn take(&mut self, nonce: u64) -> Option<Transaction> {
        if self.flight.is_some() || self.waiting.is_empty() {
            return None;
        }
        let mut events = Vec::new();
        let mut tokens = Vec::new();
        let mut bytes = 0;
        while let Some(entry) = self.waiting.front() {
            let is_full = bytes + entry.bytes > SEGMENT_BYTES || events.len() >= SEGMENT_EVENTS;
            if is_full && !events.is_empty() {
                break;
            }
            bytes += entry.bytes;
            if let Some(entry) = self.waiting.pop_front() {
                events.push(entry.event);
                tokens.push(entry.token);
            }
        }
        let segment = Segment { epoch: self.epoch, nonce, events };
        self.flight = Some(Flight { segment, tokens });
        self.resend()
    }

    /// The transaction of the segment that is on its way.
    pub fn resend(&self) -> Option<Transaction> {
        let flight = self.flight.as_ref()?;
        let key = segment::key(self.partition, self.next);
        let transaction = Transaction::default()
            .check(self.owner_key.clone(), self.owner_version)
            .check(key.clone(), 0)
            .put(key, flight.segment.encode());
        Some(transaction)
    }

    /// Takes the answer to the segment's commit; none stands for a lost or refused one.
    pub fn answer(&mut self, commit: Option<&Commit>) -> Step {
        match commit {
            None => Step::Resend,
            Some(commit) if commit.committed => self.land(),
            Some(_) => Step::Read(self.question()),
        }
    }

    fn question(&self) -> Query {
        let segment = Name::from(segment::key(self.partition, self.next));
        Query { keys: vec![self.owner_key.clone(), segment], prefixes: Vec::new() }
    }

    /// Settles a conflict with the rows that [`Step::Read`] asked for.
    pub fn settle(&mut self, rows: &[Row]) -> Step {
        let key = segment::key(self.partition, self.next);
        let there = rows.iter().find(|row| *row.key == *key);
        if let Some(row) = there {
            return if self.is_ours(&row.value) { self.land() } else { Step::Fenced };
        }
        let owner = rows.iter().find(|row| row.key == self.owner_key);
        match owner {
            Some(row) if row.version == self.owner_version => Step::Resend,
            _ => Step::Fenced,
        }
    }

    fn is_ours(&self, text: &str) -> bool {
        let Some(flight) = &self.flight else {
            return false;
        };
        let nonce = flight.segment.nonce;
        Segment::decode(text).is_ok_and(|there| there.nonce == nonce && there.epoch == self.epoch)
    }

    fn land(&mut self) -> Step {
        self.next += 1;
        let tokens = self.flight.take().map(|flight| flight.tokens);
        Step::Durable(tokens.unwrap_or_default())
    }
}
