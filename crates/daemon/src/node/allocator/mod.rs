//! The allocator of one rack: the one place that commits its room.
//!
//! An allocator grants reservations, starts tasks under leases, renews them, and tells each
//! request's home how its attempts end, until the home has made the outcome durable.
//! A start is taken only with a reservation of the same epoch, so one from before a
//! takeover finds nothing; the worker's fence refuses one that an earlier allocator sends.

mod renewals;
mod reports;
mod room;
mod starts;

use std::collections::{BTreeMap, HashMap};
use std::time::Instant;

use border::workers::{Renew, Run, Start, Stop};
use common::Name;
use journal::event::Key;
use settings::quantity::Size;
use wire::{Fate, Span};

use super::action::Action;
use super::claims::Claim;
use super::home::{from_wire, to_wire};
use super::shared::Shared;

/// What the allocator wants of a worker.
#[derive(Debug)]
pub enum Order {
    /// Start a task.
    Start(Name, Start),
    /// Stop a task.
    Stop(Name, Stop),
    /// Renew all leases.
    Renew(Name, Renew),
}

#[derive(Debug, Clone, PartialEq)]
enum Phase {
    /// The start is under way.
    Starting { start: Box<Start>, tries: u32, retry_at: Option<Instant> },
    /// It runs, since a time.
    Running { since: Instant },
    /// It ended; the home is told until it acknowledges.
    Ended { fate: Fate, result: String },
}

common::key! {
    /// Whether a task gives its room to urgent work.
    enum Yielding {
        /// It does not.
        Never,
        /// It may be stopped at a checkpoint.
        Possible,
        /// It was stopped for that.
        Done,
    }
}

type Candidate = policy::yielding::Candidate<Run>;

/// One attempt on one of the rack's workers.
#[derive(Debug, Clone)]
struct Held {
    worker: Name,
    size: Size,
    phase: Phase,
    /// Whether any start's answer was lost.
    was_lost: bool,
    /// Whether the home has confirmed an attempt that was found running.
    is_verified: bool,
    report_at: Instant,
    spans: Vec<Span>,
    started_us: u64,
    cpu_ms: u64,
    yielding: Yielding,
}

/// Where the renewals of one worker stand.
#[derive(Debug, Clone)]
struct Line {
    next: Instant,
    is_asked: bool,
    /// When the renewal that is on its way was sent.
    sent_at: Instant,
    last_ok: Option<Instant>,
    /// When the last renewal that may have extended leases came to its end.
    extended_until: Instant,
    forget: Vec<(Run, Instant)>,
    is_silent: bool,
}

/// The allocator of one rack.
#[derive(Debug)]
pub struct Allocator {
    /// The rack.
    pub name: Name,
    claim: Claim,
    claimed_at: Instant,
    /// The rack's room.
    pub rack: policy::Rack,
    runs: BTreeMap<Run, Held>,
    lines: HashMap<Name, Line>,
    /// The lowest epoch of each partition whose starts are taken.
    fences: HashMap<u32, u64>,
    refused: HashMap<Run, Instant>,
    /// Whether it grants nothing new because it is about to be handed over.
    pub is_closing: bool,
    sequence: u64,
    yielded_at: Option<Instant>,
    told: Option<wire::Digest>,
    told_at: Instant,
    actions: Vec<Action>,
    orders: Vec<Order>,
}

impl Allocator {
    /// An allocator that knows none of its workers yet; all count as full.
    pub fn new(name: Name, claim: Claim, shared: &Shared) -> Self {
        let mut allocator = Self {
            name,
            claim,
            claimed_at: shared.now,
            rack: policy::Rack::default(),
            runs: BTreeMap::new(),
            lines: HashMap::new(),
            fences: HashMap::new(),
            refused: HashMap::new(),
            is_closing: false,
            sequence: 0,
            yielded_at: None,
            told: None,
            told_at: shared.now,
            actions: Vec::new(),
            orders: Vec::new(),
        };
        allocator.set_inventory(shared);
        allocator
    }

    /// Takes over the inventory in force.
    pub fn set_inventory(&mut self, shared: &Shared) {
        self.rack.set_inventory(&self.name, &shared.versions.inventory);
        let workers: Vec<Name> = self.rack.workers().cloned().collect();
        for worker in workers {
            self.lines.entry(worker).or_insert_with(|| Line::new(shared.now));
        }
    }

    /// The claim under which the allocator actions.
    pub fn claim(&self) -> Claim {
        self.claim
    }

    /// What the allocator wants done.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// What the allocator wants of its workers.
    pub fn take_orders(&mut self) -> Vec<Order> {
        std::mem::take(&mut self.orders)
    }

    /// Whether no start is under way and no slot is in use.
    pub fn is_calm(&self) -> bool {
        let is_starting = |held: &Held| matches!(held.phase, Phase::Starting { .. });
        !self.runs.values().any(is_starting) && self.rack.slots_used() == 0
    }

    /// Attempts that take room.
    pub fn running(&self) -> usize {
        self.runs.values().filter(|held| !held.is_ended()).count()
    }
}

impl Held {
    fn new(worker: Name, size: Size, phase: Phase, now: Instant) -> Self {
        Self {
            worker,
            size,
            phase,
            was_lost: false,
            is_verified: false,
            report_at: now,
            spans: Vec::new(),
            started_us: 0,
            cpu_ms: 0,
            yielding: Yielding::Never,
        }
    }

    fn is_ended(&self) -> bool {
        matches!(self.phase, Phase::Ended { .. })
    }

    fn fate(&self) -> Fate {
        match &self.phase {
            Phase::Starting { .. } | Phase::Running { .. } => Fate::Running,
            Phase::Ended { fate, .. } => *fate,
        }
    }
}

impl Line {
    fn new(now: Instant) -> Self {
        Self {
            next: now,
            is_asked: false,
            sent_at: now,
            last_ok: None,
            extended_until: now,
            forget: Vec::new(),
            is_silent: false,
        }
    }
}

fn report(rack: &Name, run: &Run, held: &Held) -> wire::Report {
    let result = match &held.phase {
        Phase::Ended { result, .. } => result.as_str(),
        Phase::Starting { .. } | Phase::Running { .. } => "",
    };
    wire::Report {
        key: Some(to_wire(&key_of(run))),
        task: run.task,
        attempt: run.attempt,
        fate: held.fate().code(),
        body: result.as_bytes().to_vec(),
        text: result.to_owned(),
        rack: rack.to_string(),
        worker: held.worker.to_string(),
        spans: held.spans.clone(),
        cpu_ms: held.cpu_ms,
        has_yielded: held.yielding == Yielding::Done,
    }
}

fn run_of(key: Option<&wire::Key>, task: u32, attempt: u32) -> Run {
    let key = key.map(from_wire);
    let (customer, id) = key.map_or_else(Default::default, |key| (key.customer, key.id));
    Run { customer, id, task, attempt }
}

fn key_of(run: &Run) -> Key {
    Key { customer: run.customer.clone(), id: run.id.clone() }
}
