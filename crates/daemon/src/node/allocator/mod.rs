//! The allocator of one rack: the only component that allocates the rack's capacity.
//!
//! An allocator grants reservations, starts tasks under leases and renews the leases. It
//! reports how each attempt ends to the request's home until the home has made the outcome
//! durable. A start is accepted only with a reservation of the same epoch, so a start from
//! before a takeover is refused. A start sent by an earlier allocator is refused by the
//! worker, which checks the fencing token.

mod renewals;
mod reports;
mod reservations;
mod starts;

use std::collections::{BTreeMap, HashMap};
use std::time::Instant;

use border::workers::{AttemptId, RenewRequest, StartRequest, StopRequest};
use common::Name;
use journal::event::RequestKey;
use settings::quantity::Resources;
use wire::{AttemptStatus, Span};

use super::action::Action;
use super::claims::Claim;
use super::home::{from_wire, to_wire};
use super::shared::Shared;

/// Call to a worker that the node sends for the allocator.
#[derive(Debug)]
pub enum WorkerCall {
    /// Start a task.
    Start(Name, StartRequest),
    /// Stop a task.
    Stop(Name, StopRequest),
    /// Renew all leases.
    Renew(Name, RenewRequest),
}

/// Progress of an attempt on its worker.
#[derive(Debug, Clone, PartialEq)]
enum Phase {
    /// The start was sent `tries` times; it is sent again at `retry_at`, if set.
    Starting { start: Box<StartRequest>, tries: u32, retry_at: Option<Instant> },
    /// The attempt runs; the allocator learned so at `since`.
    Running { since: Instant },
    /// The attempt ended; this is reported to the home until acknowledged.
    Ended { status: AttemptStatus, result: String },
}

common::key! {
    /// Whether a task can be preempted by urgent work.
    enum Preemption {
        /// It must not be preempted.
        Never,
        /// It may be preempted at a checkpoint.
        Allowed,
        /// A stop was ordered to preempt it.
        Ordered,
    }
}

/// An attempt that may be preempted.
type Candidate = policy::preemption::PreemptionCandidate<AttemptId>;

/// State of one attempt on one of the rack's workers.
#[derive(Debug, Clone)]
struct TrackedAttempt {
    worker: Name,
    size: Resources,
    phase: Phase,
    /// Whether a start's reply was lost, so the start may still arrive.
    was_reply_lost: bool,
    /// Whether the home has the attempt as current; initially false if adopted.
    is_confirmed: bool,
    /// Time of the next report to the home.
    report_at: Instant,
    spans: Vec<Span>,
    /// Time of the first start, in Unix microseconds; 0 if found on the worker.
    started_us: u64,
    /// CPU time used, in milliseconds, as last reported by the worker.
    cpu_ms: u64,
    preemption: Preemption,
}

/// State of the lease renewals of one worker.
#[derive(Debug, Clone)]
struct RenewalState {
    /// Earliest time of the next renewal.
    next_at: Instant,
    /// Whether a renewal waits for its reply.
    is_in_flight: bool,
    /// Time at which the last renewal was sent.
    sent_at: Instant,
    /// Time of the last successful renewal; `None` before the first.
    last_reply_at: Option<Instant>,
    /// Latest time at which a start or renewal may have extended a lease.
    extended_at: Instant,
    /// Ended attempts that the worker may drop, each from a time on.
    forget: Vec<(AttemptId, Instant)>,
    /// Whether the worker counts as unresponsive; its leases are not extended meanwhile.
    is_unresponsive: bool,
}

/// Reservations, attempts and leases of one rack.
#[derive(Debug)]
pub struct Allocator {
    /// Name of the rack.
    pub name: Name,
    claim: Claim,
    claimed_at: Instant,
    /// Capacity, health and reservations of the rack's workers and executors.
    pub rack: policy::Rack,
    runs: BTreeMap<AttemptId, TrackedAttempt>,
    renewal_states: HashMap<Name, RenewalState>,
    /// By partition, the lowest epoch whose starts are accepted.
    fences: HashMap<u32, u64>,
    /// Attempts that must never start, with the time of the refusal.
    refused: HashMap<AttemptId, Instant>,
    /// Whether it is being handed over; it grants no reservations.
    pub is_handing_over: bool,
    /// Sequence number of the last digest.
    sequence: u64,
    /// Time of the last preemption.
    preempted_at: Option<Instant>,
    /// Digest last sent to the peers.
    sent_digest: Option<wire::Digest>,
    digest_sent_at: Instant,
    actions: Vec<Action>,
    worker_calls: Vec<WorkerCall>,
}

impl Allocator {
    /// Creates an allocator; each worker counts as full until it has listed its tasks.
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
            is_handing_over: false,
            sequence: 0,
            preempted_at: None,
            sent_digest: None,
            digest_sent_at: shared.now,
            actions: Vec::new(),
            worker_calls: Vec::new(),
        };
        allocator.set_inventory(shared);
        allocator
    }

    /// Applies the inventory in force.
    pub fn set_inventory(&mut self, shared: &Shared) {
        self.rack.set_inventory(&self.name, &shared.versions.inventory);
        let workers: Vec<Name> = self.rack.workers().cloned().collect();
        for worker in workers {
            self.renewal_states.entry(worker).or_insert_with(|| RenewalState::new(shared.now));
        }
    }

    /// Claim under which the allocator acts.
    pub fn claim(&self) -> Claim {
        self.claim
    }

    /// Takes the actions to carry out, in order.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Takes the calls to send to workers, in order.
    pub fn take_worker_calls(&mut self) -> Vec<WorkerCall> {
        std::mem::take(&mut self.worker_calls)
    }

    /// Whether no attempt is being started and no slot is in use.
    pub fn is_quiescent(&self) -> bool {
        let is_starting =
            |tracked: &TrackedAttempt| matches!(tracked.phase, Phase::Starting { .. });
        !self.runs.values().any(is_starting) && self.rack.used_slots() == 0
    }

    /// Number of attempts that hold capacity.
    pub fn active_attempts(&self) -> usize {
        self.runs.values().filter(|tracked| !tracked.is_ended()).count()
    }
}

impl TrackedAttempt {
    fn new(worker: Name, size: Resources, phase: Phase, now: Instant) -> Self {
        Self {
            worker,
            size,
            phase,
            was_reply_lost: false,
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

    fn status(&self) -> AttemptStatus {
        match &self.phase {
            Phase::Starting { .. } | Phase::Running { .. } => AttemptStatus::Running,
            Phase::Ended { status, .. } => *status,
        }
    }
}

impl RenewalState {
    fn new(now: Instant) -> Self {
        Self {
            next_at: now,
            is_in_flight: false,
            sent_at: now,
            last_reply_at: None,
            extended_at: now,
            forget: Vec::new(),
            is_unresponsive: false,
        }
    }
}

/// Builds the report of an attempt's current state.
fn build_report(rack: &Name, run: &AttemptId, tracked: &TrackedAttempt) -> wire::Report {
    let result = match &tracked.phase {
        Phase::Ended { result, .. } => result.as_str(),
        Phase::Starting { .. } | Phase::Running { .. } => "",
    };
    wire::Report {
        key: Some(to_wire(&key_of(run))),
        task: run.task,
        attempt: run.attempt,
        fate: tracked.status().code(),
        body: result.as_bytes().to_vec(),
        text: result.to_owned(),
        rack: rack.to_string(),
        worker: tracked.worker.to_string(),
        spans: tracked.spans.clone(),
        cpu_ms: tracked.cpu_ms,
        has_yielded: tracked.preemption == Preemption::Ordered,
    }
}

/// Builds the identifier of an attempt; the names are empty without a key.
fn run_of(key: Option<&wire::Key>, task: u32, attempt: u32) -> AttemptId {
    let key = key.map(from_wire);
    let (customer, id) = key.map_or_else(Default::default, |key| (key.customer, key.id));
    AttemptId { customer, id, task, attempt }
}

/// Key of the request that an attempt belongs to.
fn key_of(run: &AttemptId) -> RequestKey {
    RequestKey { customer: run.customer.clone(), id: run.id.clone() }
}
