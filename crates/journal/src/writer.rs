//! Group commit of one partition's events, idempotent under retries.
//!
//! At most one segment is in flight. Its commit requires that the ownership row's version
//! is unchanged and that the segment's key is unused. If the response is lost, the same
//! segment is sent again. A conflict is resolved by reading both rows: a segment with this
//! writer's nonce and epoch means that an earlier try took effect; any other segment, or a
//! changed ownership row, means that the partition has another owner.

use std::collections::VecDeque;

use border::table::{CommitReply, Query, Row, Transaction};
use common::Name;

use crate::Event;
use crate::segment::{self, Segment};

/// Maximum size of a segment's events, in bytes; a larger event gets its own segment.
pub const MAX_SEGMENT_BYTES: usize = 128 * 1024;

/// Maximum number of events in one segment.
pub const MAX_SEGMENT_EVENTS: usize = 512;

/// Next action for the caller.
#[derive(Debug, PartialEq)]
pub enum WriteAction {
    /// The events with these tokens are durable, in the order of appending.
    Durable(Vec<u64>),
    /// Send the segment in flight again.
    Resend,
    /// Read these rows and pass them to [`Writer::resolve_conflict`].
    Read(Query),
    /// Another owner has claimed the partition; stop acting as its owner.
    Fenced,
}

/// An event that is not in a segment yet.
#[derive(Debug)]
struct Entry {
    token: u64,
    event: Event,
    /// Length of the event as JSON.
    bytes: usize,
}

/// The segment in flight and the tokens of its events.
#[derive(Debug)]
struct InFlight {
    segment: Segment,
    tokens: Vec<u64>,
}

/// Appends events to one partition's journal, fenced by the owner's claim.
#[derive(Debug)]
pub struct Writer {
    partition: u32,
    epoch: u64,
    owner_key: Name,
    owner_version: u64,
    next_sequence: u64,
    pending: VecDeque<Entry>,
    in_flight: Option<InFlight>,
}

impl Writer {
    /// Creates a writer that continues at a sequence under one claim on the partition.
    pub fn new(
        partition: u32,
        epoch: u64,
        owner_key: Name,
        owner_version: u64,
        next_sequence: u64,
    ) -> Self {
        let pending = VecDeque::new();
        Self { partition, epoch, owner_key, owner_version, next_sequence, pending, in_flight: None }
    }

    /// Sequence of the first segment that is not durable.
    pub fn next_sequence(&self) -> u64 {
        self.next_sequence
    }

    /// Number of events that are not durable.
    pub fn undurable_count(&self) -> usize {
        self.pending.len() + self.in_flight.as_ref().map_or(0, |in_flight| in_flight.tokens.len())
    }

    /// Whether a segment is in flight.
    pub fn is_in_flight(&self) -> bool {
        self.in_flight.is_some()
    }

    /// Whether events wait to be put into a segment.
    pub fn has_pending_events(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Appends an event; [`WriteAction::Durable`] returns its token once it is durable.
    pub fn append(&mut self, event: Event, token: u64) {
        let bytes = serde_json::to_string(&event).map_or(0, |text| text.len());
        self.pending.push_back(Entry { token, event, bytes });
    }

    /// Removes an event by token; `None` unless it still waits for a segment.
    pub fn withdraw(&mut self, token: u64) -> Option<Event> {
        let index = self.pending.iter().position(|entry| entry.token == token)?;
        self.pending.remove(index).map(|entry| entry.event)
    }

    /// Builds the next segment's transaction; `None` if one is in flight or nothing waits.
    pub fn begin_commit(&mut self, nonce: u64) -> Option<Transaction> {
        if self.in_flight.is_some() || self.pending.is_empty() {
            return None;
        }
        let mut events = Vec::new();
        let mut tokens = Vec::new();
        let mut bytes = 0;
        while let Some(entry) = self.pending.front() {
            let is_full =
                bytes + entry.bytes > MAX_SEGMENT_BYTES || events.len() >= MAX_SEGMENT_EVENTS;
            if is_full && !events.is_empty() {
                break;
            }
            bytes += entry.bytes;
            if let Some(entry) = self.pending.pop_front() {
                events.push(entry.event);
                tokens.push(entry.token);
            }
        }
        let segment = Segment { epoch: self.epoch, nonce, events };
        self.in_flight = Some(InFlight { segment, tokens });
        self.in_flight_transaction()
    }

    /// Transaction of the segment in flight; `None` if there is none.
    pub fn in_flight_transaction(&self) -> Option<Transaction> {
        let in_flight = self.in_flight.as_ref()?;
        let key = segment::segment_key(self.partition, self.next_sequence);
        let transaction = Transaction::default()
            .check(self.owner_key.clone(), self.owner_version)
            .check(key.clone(), 0)
            .put(key, in_flight.segment.encode());
        Some(transaction)
    }

    /// Handles the response to a commit; `None` if it was lost or an error.
    pub fn handle_commit_reply(&mut self, commit: Option<&CommitReply>) -> WriteAction {
        match commit {
            None => WriteAction::Resend,
            Some(commit) if commit.committed => self.complete_commit(),
            Some(_) => WriteAction::Read(self.conflict_query()),
        }
    }

    /// Query for the ownership row and the row of the segment in flight.
    fn conflict_query(&self) -> Query {
        let segment_key = Name::from(segment::segment_key(self.partition, self.next_sequence));
        Query { keys: vec![self.owner_key.clone(), segment_key], prefixes: Vec::new() }
    }

    /// Resolves a conflict from the rows requested by [`WriteAction::Read`].
    pub fn resolve_conflict(&mut self, rows: &[Row]) -> WriteAction {
        let key = segment::segment_key(self.partition, self.next_sequence);
        let stored = rows.iter().find(|row| *row.key == *key);
        if let Some(row) = stored {
            return if self.is_own_segment(&row.value) {
                self.complete_commit()
            } else {
                WriteAction::Fenced
            };
        }
        let owner = rows.iter().find(|row| row.key == self.owner_key);
        match owner {
            Some(row) if row.version == self.owner_version => WriteAction::Resend,
            _ => WriteAction::Fenced,
        }
    }

    /// Whether a stored row is the segment in flight, committed by an earlier try.
    fn is_own_segment(&self, text: &str) -> bool {
        let Some(in_flight) = &self.in_flight else {
            return false;
        };
        let nonce = in_flight.segment.nonce;
        Segment::decode(text)
            .is_ok_and(|stored| stored.nonce == nonce && stored.epoch == self.epoch)
    }

    /// Marks the segment in flight as durable.
    fn complete_commit(&mut self) -> WriteAction {
        self.next_sequence += 1;
        let tokens = self.in_flight.take().map(|in_flight| in_flight.tokens);
        WriteAction::Durable(tokens.unwrap_or_default())
    }
}
