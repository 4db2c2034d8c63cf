//! The allocator of one rack: the one place that commits its room.
//!
//! An allocator grants reservations, starts tasks under leases, renews them, and tells each
//! request's home how its attempts end, until the home has made the outcome durable.
//! A start is taken only with a reservation of the same epoch, so one from before a
//! takeover finds nothing; the worker's fence refuses one that an earlier allocator sends.

mod renewals;
mod reports;
mod reservations;
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
    enum Preemption {
        /// It does not.
        Never,
        /// It may be stopped at a checkpoint.
        Allowed,
        /// It was stopped for that.
        Ordered,
    }
}

type Candidate = policy::yielding::Candidate<Run>;

/// One attempt on one of the rack's workers.
#[derive(Debug, Clone)]
struct TrackedAttempt {
    worker: Name,
    size: Size,
    phase: Phase,
    /// Whether any start's answer was lost.
    was_answer_lost: bool,
    /// Whether the home has confirmed an attempt that was found running.
    is_confirmed: bool,
    report_at: Instant,
    spans: Vec<Span>,
    started_us: u64,
    cpu_ms: u64,
    preemption: Preemption,
}

/// Where the renewals of one worker stand.
#[derive(Debug, Clone)]
struct RenewalState {
    next_at: Instant,
    is_in_flight: bool,
    /// When the renewal that is on its way was sent.
    sent_at: Instant,
    last_answer_at: Option<Instant>,
    /// When the last renewal that may have extended leases came to its end.
    extended_at: Instant,
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
    runs: BTreeMap<Run, TrackedAttempt>,
    renewal_states: HashMap<Name, RenewalState>,
    /// The lowest epoch of each partition whose starts are taken.
    fences: HashMap<u32, u64>,
    refused: HashMap<Run, Instant>,
    /// Whether it grants nothing new because it is about to be handed over.
    pub is_closing: bool,
    sequence: u64,
    preempted_at: Option<Instant>,
    sent_digest: Option<wire::Digest>,
    digest_sent_at: Instant,
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
            renewal_states: HashMap::new(),
            fences: HashMap::new(),
            refused: HashMap::new(),
            is_closing: false,
            sequence: 0,
            preempted_at: None,
            sent_digest: None,
            digest_sent_at: shared.now,
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
            self.renewal_states.entry(worker).or_insert_with(|| RenewalState::new(shared.now));
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
        let is_starting =
            |tracked: &TrackedAttempt| matches!(tracked.phase, Phase::Starting { .. });
        !self.runs.values().any(is_starting) && self.rack.slots_used() == 0
    }

    /// Attempts that take room.
    pub fn running(&self) -> usize {
        self.runs.values().filter(|tracked| !tracked.is_ended()).count()
    }
}

impl TrackedAttempt {
    fn new(worker: Name, size: Size, phase: Phase, now: Instant) -> Self {
        Self {
            worker,
            size,
            phase,
            was_answer_lost: false,
            is_confirmed: false,
            report_at: now,
            spans: Vec::new(),
            started_us: 0,
            cpu_ms: 0,
            preemption: Preemption::Never,
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

impl RenewalState {
    fn new(now: Instant) -> Self {
        Self {
            next_at: now,
            is_in_flight: false,
            sent_at: now,
            last_answer_at: None,
            extended_at: now,
            forget: Vec::new(),
            is_silent: false,
        }
    }
}

fn build_report(rack: &Name, run: &Run, tracked: &TrackedAttempt) -> wire::Report {
    let result = match &tracked.phase {
        Phase::Ended { result, .. } => result.as_str(),
        Phase::Starting { .. } | Phase::Running { .. } => "",
    };
    wire::Report {
        key: Some(to_wire(&key_of(run))),
        task: run.task,
        attempt: run.attempt,
        fate: tracked.fate().code(),
        body: result.as_bytes().to_vec(),
        text: result.to_owned(),
        rack: rack.to_string(),
        worker: tracked.worker.to_string(),
        spans: tracked.spans.clone(),
        cpu_ms: tracked.cpu_ms,
        has_yielded: tracked.preemption == Preemption::Ordered,
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
