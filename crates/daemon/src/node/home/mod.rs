//! The home of one partition: owns the state of the partition's requests.
//!
//! A home gives each caller exactly one answer. It changes its request table only by events
//! that are durable in the journal, and acts on a change only after that: a start is sent once
//! its attempt is recorded, and an answer once the answer is recorded. `docs/STATES.md` lists
//! each step and what the caller learns after a power failure at that step.

mod outcomes;
mod placement;
mod requests;
mod status;

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque};
use std::time::{Duration, Instant};

use border::table::Transaction;
use common::{ErrorKind, Name};
use journal::event::{Answer, AttemptPlacement, Event, RequestKey, Terms};
use journal::request_table::{Request, State, Task};
use journal::{RequestTable, Writer};
use settings::RequestSpec;
use settings::rules::Class;
use wire::Span;

use super::action::{Action, Waiter};
use super::claims::Claim;
use super::shared::Shared;
use super::usage::Usage;

/// Delay before a task is placed again after an attempt that did not finish.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Maximum number of closed requests whose spans are kept.
const MAX_TRACES: usize = 256;

/// A caller that waits for an answer.
#[derive(Debug)]
pub struct WaitingCaller {
    /// Where the answer goes.
    pub waiter: Waiter,
    /// Deadline after which the current state is answered.
    pub deadline: Instant,
    /// Whether it waits for the result rather than only for the admission.
    pub wants_result: bool,
}

/// A newly submitted request.
#[derive(Debug)]
pub struct Submission {
    /// Specification sent by the caller.
    pub spec: RequestSpec,
    /// Terms under which it would be admitted.
    pub terms: Terms,
    /// Caller that waits for the answer.
    pub caller: WaitingCaller,
    /// Trace context of the caller; may be empty.
    pub trace: String,
    /// Time at which it reached the home, in Unix microseconds.
    pub arrived_us: u64,
}

/// Action taken once an event is durable.
#[derive(Debug, Clone, PartialEq)]
enum FollowUp {
    /// No action.
    Nothing,
    /// Answer callers that wait for the admission.
    Admitted,
    /// Send the starts of the recorded attempts.
    Started(Vec<AttemptPlacement>),
    /// Place the task again after [`RETRY_DELAY`].
    Retry,
    /// Stop the request's running tasks.
    Cancelling,
    /// Answer all callers that wait.
    Closed,
}

common::key! {
    /// How an attempt ended whose task is to be retried.
    pub(super) enum AttemptEnd {
        /// No start was sent.
        NotSent,
        /// It ran or may have run, and gave no result.
        Ran,
        /// It was preempted by urgent work.
        Preempted,
    }
}

/// An event that is not durable yet.
#[derive(Debug)]
struct PendingEvent {
    event: Event,
    follow_up: FollowUp,
    /// Caller to acknowledge once the event is durable.
    ack: Option<Waiter>,
}

/// A place reserved for a task by a rack's owner.
#[derive(Debug, Clone)]
struct GrantedPlace {
    task: u32,
    rack: Name,
    /// Epoch of the rack's owner that granted the reservation.
    epoch: u64,
    reservation: u64,
    worker: Name,
}

/// State of an open request beyond the request table; lost when the home moves.
#[derive(Debug, Default)]
struct Progress {
    waiting_callers: Vec<WaitingCaller>,
    /// Specification, terms and event token of the admission until it is durable.
    admission: Option<(RequestSpec, Terms, u64)>,
    /// Number of the request's events that are not durable yet.
    pending: usize,
    /// Whether a caller asked to cancel it.
    wants_cancel: bool,
    /// Whether a call for reservations is in progress.
    is_reserving: bool,
    /// Earliest time of the next placement; `None` for no limit.
    retry_at: Option<Instant>,
    /// Placements refused since the last start; sets the backoff.
    refusals: u32,
    /// Reservations obtained for the next start.
    grants: Vec<GrantedPlace>,
    /// Racks asked in the current placement.
    tried_racks: Vec<Name>,
    /// By task, the epoch of the rack's owner that confirmed the current attempt.
    confirmed: HashMap<u32, u64>,
    /// Tasks whose current attempt was sent a stop.
    stops_sent: HashSet<u32>,
    /// Time of the last start or probe.
    probed_at: Option<Instant>,
    /// Why the request waits; empty before the first placement.
    reason: String,
    trace: String,
    spans: Vec<Span>,
    /// Arrival at this home, in Unix microseconds; 0 if it was recovered.
    arrived_us: u64,
    /// Last placement, in Unix microseconds; 0 before the first.
    placed_us: u64,
}

/// Position in the queue: class, admission in Unix milliseconds, and key, all constant.
type QueueKey = (Class, i64, RequestKey);

/// Requests of one partition and their progress.
#[derive(Debug)]
pub struct Home {
    /// Number of the partition.
    pub partition: u32,
    claim: Claim,
    writer: Writer,
    request_table: RequestTable,
    /// Requests with pending events, in the state after these events.
    projected: RequestTable,
    progress: HashMap<RequestKey, Progress>,
    /// Events that are not durable yet, by token.
    pending: HashMap<u64, PendingEvent>,
    /// Token of the last appended event.
    next_token: u64,
    /// Open requests with a waiting task, in queue order.
    waiting: BTreeSet<QueueKey>,
    /// Open requests with a started task.
    running: BTreeSet<RequestKey>,
    /// Open requests that never ran, by start deadline in Unix milliseconds.
    expiries: BTreeSet<(i64, RequestKey)>,
    /// Number of requests with a reservation call in progress.
    reserving: usize,
    /// Number of segments since the last snapshot.
    pub segments: u64,
    /// Whether it is being handed over; it admits and places nothing.
    pub is_handing_over: bool,
    /// Usage of this partition by customer, without customers that have no open request.
    usage: BTreeMap<Name, Usage>,
    /// Spans of recently closed requests, oldest first.
    traces: VecDeque<(RequestKey, Vec<Span>)>,
    actions: Vec<Action>,
}

impl Home {
    /// Creates a home from a recovered request table and resumes its open requests.
    pub fn new(
        partition: u32,
        claim: Claim,
        writer: Writer,
        request_table: RequestTable,
        shared: &Shared,
    ) -> Self {
        let mut home = Self {
            partition,
            claim,
            writer,
            request_table,
            projected: RequestTable::default(),
            progress: HashMap::new(),
            pending: HashMap::new(),
            next_token: 0,
            waiting: BTreeSet::new(),
            running: BTreeSet::new(),
            expiries: BTreeSet::new(),
            reserving: 0,
            segments: 0,
            is_handing_over: false,
            usage: BTreeMap::new(),
            traces: VecDeque::new(),
            actions: Vec::new(),
        };
        let open: Vec<RequestKey> = home
            .request_table
            .iter()
            .filter(|(_, request)| request.answer.is_none())
            .map(|(key, _)| key.clone())
            .collect();
        for key in open {
            home.progress.insert(key.clone(), Progress::default());
            home.index(&key);
            home.resume(shared, &key);
        }
        home
    }

    /// Claim under which the home acts.
    pub fn claim(&self) -> Claim {
        self.claim
    }

    /// Durable state of the requests.
    pub fn request_table(&self) -> &RequestTable {
        &self.request_table
    }

    /// Tail of the journal, where events are appended.
    pub fn writer(&mut self) -> &mut Writer {
        &mut self.writer
    }

    /// Takes the actions to carry out, in order.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Usage of this partition by customer.
    pub fn usage(&self) -> &BTreeMap<Name, Usage> {
        &self.usage
    }

    /// Number of open requests, including those whose admission is not durable.
    pub fn open_requests(&self) -> usize {
        self.progress.len()
    }

    /// Whether all events are durable and no reservation call is in progress.
    pub fn is_quiescent(&self) -> bool {
        self.writer.undurable_count() == 0 && self.reserving == 0
    }

    /// Removes and returns all waiting callers, for the next owner to answer.
    pub fn take_waiting_callers(&mut self) -> Vec<(RequestKey, WaitingCaller)> {
        let mut all = Vec::new();
        for (key, progress) in &mut self.progress {
            all.extend(progress.waiting_callers.drain(..).map(|caller| (key.clone(), caller)));
        }
        all
    }

    // Journal.

    /// Appends an event to the journal; returns its token.
    fn append(&mut self, event: Event, follow_up: FollowUp, ack: Option<Waiter>) -> u64 {
        self.next_token += 1;
        let token = self.next_token;
        if let Some(progress) = self.progress.get_mut(event.key()) {
            progress.pending += 1;
        }
        self.project(&event);
        self.writer.append(event.clone(), token);
        self.pending.insert(token, PendingEvent { event, follow_up, ack });
        token
    }

    /// Applies a pending event to the projected state of its request.
    fn project(&mut self, event: &Event) {
        let key = event.key();
        if self.projected.get(key).is_none()
            && let Some(request) = self.request_table.get(key)
        {
            self.projected.insert(key.clone(), request.clone());
        }
        if let Err(error) = self.projected.apply(event.clone()) {
            self.actions
                .push(Action::Log(crate::event::Event::JournalEventRejected, error.to_string()));
        }
    }

    /// Takes the next segment to commit; `None` if there is nothing to commit.
    pub fn take_segment(&mut self, nonce: u64) -> Option<Transaction> {
        self.writer.begin_commit(nonce)
    }

    /// Applies the events that are now durable, given by token.
    pub fn handle_durable(&mut self, shared: &mut Shared, tokens: Vec<u64>) {
        self.segments += 1;
        for token in tokens {
            let Some(pending) = self.pending.remove(&token) else {
                continue;
            };
            self.apply(shared, pending);
        }
    }

    /// Applies a durable event to the request table and its indexes, and acts on it.
    fn apply(&mut self, shared: &mut Shared, pending: PendingEvent) {
        let key = pending.event.key().clone();
        self.unindex(&key);
        if let Err(error) = self.request_table.apply(pending.event) {
            self.actions
                .push(Action::Log(crate::event::Event::JournalEventRejected, error.to_string()));
        }
        self.index(&key);
        if let Some(progress) = self.progress.get_mut(&key) {
            progress.pending = progress.pending.saturating_sub(1);
            progress.admission = None;
            if progress.pending == 0 {
                self.projected.remove(&key);
            }
        }
        if let Some(waiter) = pending.ack {
            self.actions.push(Action::Ack(waiter, None, String::new()));
        }
        self.run_follow_up(shared, &key, pending.follow_up);
    }

    fn run_follow_up(&mut self, shared: &mut Shared, key: &RequestKey, follow_up: FollowUp) {
        match follow_up {
            FollowUp::Nothing => {}
            FollowUp::Admitted => {
                self.actions
                    .push(Action::Log(crate::event::Event::RequestAdmitted, key.to_string()));
                self.answer_admission(key);
            }
            FollowUp::Started(places) => self.send_starts(shared, key, &places),
            FollowUp::Retry => {
                if let Some(progress) = self.progress.get_mut(key) {
                    progress.retry_at = Some(shared.now + RETRY_DELAY);
                }
            }
            FollowUp::Cancelling => {
                if let Some(progress) = self.progress.get_mut(key) {
                    progress.wants_cancel = true;
                }
            }
            FollowUp::Closed => self.answer_closed(key),
        }
        if self.progress.get(key).is_some_and(|progress| progress.wants_cancel) {
            self.advance_cancel(shared, key);
        }
    }

    /// Answers callers that wait only for the admission.
    fn answer_admission(&mut self, key: &RequestKey) {
        let answer = self.describe(key);
        let Some(progress) = self.progress.get_mut(key) else { return };
        let admitted: Vec<WaitingCaller> =
            progress.waiting_callers.extract_if(.., |caller| !caller.wants_result).collect();
        for caller in admitted {
            self.answer(caller.waiter, answer.clone());
        }
    }

    /// Answers all callers of a closed request and drops its progress.
    fn answer_closed(&mut self, key: &RequestKey) {
        let answer = self.describe(key);
        if answer.code == ErrorKind::Unknown.code() {
            self.actions
                .push(Action::Log(crate::event::Event::RequestOutcomeUnknown, key.to_string()));
        }
        self.actions.push(Action::Log(
            crate::event::Event::RequestClosed,
            format!("{key} {}", answer.state),
        ));
        self.stop_reserving(key);
        let waiting_callers =
            self.progress.remove(key).map(|progress| progress.waiting_callers).unwrap_or_default();
        self.keep_trace(key, answer.spans.clone());
        for caller in waiting_callers {
            self.answer(caller.waiter, answer.clone());
        }
    }

    fn keep_trace(&mut self, key: &RequestKey, spans: Vec<Span>) {
        self.traces.push_back((key.clone(), spans));
        if self.traces.len() > MAX_TRACES {
            self.traces.pop_front();
        }
    }

    /// Spans of an open or recently closed request; empty if they are not kept.
    fn spans_for(&self, key: &RequestKey) -> Vec<Span> {
        if let Some(progress) = self.progress.get(key) {
            return progress.spans.clone();
        }
        let kept = self.traces.iter().find(|(kept, _)| kept == key);
        kept.map(|(_, spans)| spans.clone()).unwrap_or_default()
    }

    /// Records the answer of a request; callers are answered once it is durable.
    fn close(&mut self, key: &RequestKey, answer: Answer, ack: Option<Waiter>) {
        let event = Event::Closed { key: key.clone(), answer };
        self.append(event, FollowUp::Closed, ack);
    }

    // Indexes of the request table.

    fn index(&mut self, key: &RequestKey) {
        self.reindex(key, true);
    }

    fn unindex(&mut self, key: &RequestKey) {
        self.reindex(key, false);
    }

    /// Adds an open request to the indexes and usage, or removes it.
    fn reindex(&mut self, key: &RequestKey, is_insert: bool) {
        let Some(request) = self.request_table.get(key) else { return };
        if request.answer.is_some() {
            return;
        }
        let queue_key = status::queue_key(key, request);
        let is_waiting = request.tasks.iter().any(|task| task.state == State::Waiting);
        let is_running = request.tasks.iter().any(Task::is_started);
        let expiry = request.terms.start_by_ms.map(|at| (at, key.clone()));
        set_indexed(&mut self.waiting, queue_key, is_insert && is_waiting);
        set_indexed(&mut self.running, key.clone(), is_insert && is_running);
        if let Some(expiry) = expiry {
            let never_ran = request.tasks.iter().all(Task::never_ran);
            set_indexed(&mut self.expiries, expiry, is_insert && never_ran);
        }
        let usage = self.usage.entry(key.customer.clone()).or_default();
        update_usage(usage, request, is_insert);
        if usage.open == 0 {
            self.usage.remove(&key.customer);
        }
    }

    // Timers.

    /// Handles expired timers and places waiting requests.
    pub fn tick(&mut self, shared: &mut Shared) {
        self.expire_waits(shared);
        self.expire_requests(shared);
        if !self.is_handing_over {
            self.place_waiting(shared);
        }
        self.probe_running(shared);
    }
}

/// Inserts or removes an item.
fn set_indexed<T: Ord>(into: &mut BTreeSet<T>, item: T, is_insert: bool) {
    if is_insert {
        into.insert(item);
    } else {
        into.remove(&item);
    }
}

/// Adds an open request to a customer's usage, or subtracts it.
fn update_usage(usage: &mut Usage, request: &Request, is_insert: bool) {
    let running = request.tasks.iter().filter(|task| task.is_started()).count() as u64;
    let size = &request.terms.size;
    let held = settings::quantity::Resources {
        cpu: size.cpu * running,
        memory: size.memory * running,
        accelerators: size.accelerators * running,
    };
    if is_insert {
        usage.size = usage.size.plus(&held);
        usage.open += 1;
    } else {
        usage.size = usage.size.minus(&held);
        usage.open = usage.open.saturating_sub(1);
    }
}

/// Builds a span of a trace; `start_us` is in Unix microseconds.
pub fn span(hop: &str, member: &str, start_us: u64, length_us: u64) -> Span {
    Span { hop: hop.to_owned(), member: member.to_owned(), start_us, length_us }
}

/// Converts a key to its protocol form.
pub fn to_wire(key: &RequestKey) -> wire::Key {
    wire::Key { customer: key.customer.to_string(), id: key.id.to_string() }
}

/// Converts a key from its protocol form.
pub fn from_wire(key: &wire::Key) -> RequestKey {
    RequestKey { customer: Name::new(&key.customer), id: Name::new(&key.id) }
}
