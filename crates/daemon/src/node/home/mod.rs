//! The home of one partition's requests: the one place that accounts for them.
//!
//! A home owes each caller one answer. It changes its book only by events that the
//! journal has made durable, and acts on a change only then: a start is sent after its
//! attempt is recorded, an answer is given after it is recorded. `docs/STATES.md` shows
//! each step and what the caller hears if power goes there.

mod outcomes;
mod placement;
mod requests;
mod status;

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque};
use std::time::{Duration, Instant};

use border::table::Transaction;
use common::{Kind, Name};
use journal::book::{Request, State, Task};
use journal::event::{Answer, Event, Key, Place, Terms};
use journal::{Book, Log};
use settings::Spec;
use settings::rules::Class;
use wire::Span;

use super::action::{Action, Waiter};
use super::claims::Claim;
use super::shared::Shared;
use super::usage::Usage;

/// Pause before an attempt follows one that failed.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Closed requests whose spans are kept.
const MAX_TRACES: usize = 256;

/// A caller's request for an answer.
#[derive(Debug)]
pub struct Wait {
    /// Who waits.
    pub waiter: Waiter,
    /// Until when.
    pub until: Instant,
    /// Whether for the result, or only for the admission.
    pub wants_result: bool,
}

/// A request as it arrives.
#[derive(Debug)]
pub struct Arrival {
    /// What the caller sent.
    pub spec: Spec,
    /// What it is promised.
    pub terms: Terms,
    /// Who waits for the answer.
    pub wait: Wait,
    /// The trace context.
    pub trace: String,
    /// When the home got it, in microseconds since 1970.
    pub arrived_us: u64,
}

/// What a durable event sets going.
#[derive(Debug, Clone, PartialEq)]
enum FollowUp {
    Nothing,
    Admitted,
    Started(Vec<Place>),
    Retry,
    Cancelling,
    Closed,
}

common::key! {
    /// How an attempt ended whose task waits again.
    pub(super) enum AttemptEnd {
        /// No start was sent.
        NotSent,
        /// It ran, and failed or vanished.
        Ran,
        /// It ran and gave its room to more urgent work.
        Preempted,
    }
}

#[derive(Debug)]
struct PendingEvent {
    event: Event,
    follow_up: FollowUp,
    ack: Option<Waiter>,
}

#[derive(Debug, Clone)]
struct GrantedPlace {
    task: u32,
    rack: Name,
    epoch: u64,
    reservation: u64,
    worker: Name,
}

/// What is known of an open request beyond the book.
#[derive(Debug, Default)]
struct Progress {
    waits: Vec<Wait>,
    /// The admission, while it is not durable.
    admission: Option<(Spec, Terms, u64)>,
    /// Whether events of it are on their way into the journal.
    pending: usize,
    wants_cancel: bool,
    is_reserving: bool,
    retry_at: Option<Instant>,
    refusals: u32,
    grants: Vec<GrantedPlace>,
    tried_racks: Vec<Name>,
    /// By task, the epoch of the rack's owner that confirmed the attempt.
    confirmed: HashMap<u32, u64>,
    stops_sent: HashSet<u32>,
    probed_at: Option<Instant>,
    reason: String,
    trace: String,
    spans: Vec<Span>,
    arrived_us: u64,
    placed_us: u64,
}

/// Where a waiting request stands in the queue, by what never changes.
type QueueKey = (Class, i64, Key);

/// The home of one partition.
#[derive(Debug)]
pub struct Home {
    /// The partition.
    pub partition: u32,
    claim: Claim,
    log: Log,
    book: Book,
    /// Requests with events on their way, as they will be when those are durable.
    projected: Book,
    progress: HashMap<Key, Progress>,
    pending: HashMap<u64, PendingEvent>,
    next_token: u64,
    waiting: BTreeSet<QueueKey>,
    running: BTreeSet<Key>,
    expiries: BTreeSet<(i64, Key)>,
    reserving: usize,
    /// Segments since the last snapshot.
    pub segments: u64,
    /// Whether it takes nothing new because it is about to be handed over.
    pub is_closing: bool,
    usage: BTreeMap<Name, Usage>,
    traces: VecDeque<(Key, Vec<Span>)>,
    actions: Vec<Action>,
}

impl Home {
    /// A home that continues from a recovered book.
    pub fn new(partition: u32, claim: Claim, log: Log, book: Book, shared: &Shared) -> Self {
        let mut home = Self {
            partition,
            claim,
            log,
            book,
            projected: Book::default(),
            progress: HashMap::new(),
            pending: HashMap::new(),
            next_token: 0,
            waiting: BTreeSet::new(),
            running: BTreeSet::new(),
            expiries: BTreeSet::new(),
            reserving: 0,
            segments: 0,
            is_closing: false,
            usage: BTreeMap::new(),
            traces: VecDeque::new(),
            actions: Vec::new(),
        };
        let open: Vec<Key> = home
            .book
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

    /// The claim under which the home actions.
    pub fn claim(&self) -> Claim {
        self.claim
    }

    /// The book, as far as it is durable.
    pub fn book(&self) -> &Book {
        &self.book
    }

    /// The journal's tail.
    pub fn log(&mut self) -> &mut Log {
        &mut self.log
    }

    /// What the home wants done.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// What each customer holds here.
    pub fn usage(&self) -> &BTreeMap<Name, Usage> {
        &self.usage
    }

    /// Open requests.
    pub fn open(&self) -> usize {
        self.progress.len()
    }

    /// Whether every event is durable and nothing is being reserved.
    pub fn is_calm(&self) -> bool {
        self.log.backlog() == 0 && self.reserving == 0
    }

    /// Everybody who waits here, to be sent to the next owner.
    pub fn take_waits(&mut self) -> Vec<(Key, Wait)> {
        let mut all = Vec::new();
        for (key, progress) in &mut self.progress {
            all.extend(progress.waits.drain(..).map(|wait| (key.clone(), wait)));
        }
        all
    }

    // The journal.

    fn append(&mut self, event: Event, follow_up: FollowUp, ack: Option<Waiter>) -> u64 {
        self.next_token += 1;
        let token = self.next_token;
        if let Some(progress) = self.progress.get_mut(event.key()) {
            progress.pending += 1;
        }
        self.project(&event);
        self.log.append(event.clone(), token);
        self.pending.insert(token, PendingEvent { event, follow_up, ack });
        token
    }

    fn project(&mut self, event: &Event) {
        let key = event.key();
        if self.projected.get(key).is_none()
            && let Some(request) = self.book.get(key)
        {
            self.projected.insert(key.clone(), request.clone());
        }
        if let Err(error) = self.projected.apply(event.clone()) {
            self.actions.push(Action::Log(crate::event::Event::BookRefused, error.to_string()));
        }
    }

    /// The next segment to commit.
    pub fn take_segment(&mut self, nonce: u64) -> Option<Transaction> {
        self.log.take(nonce)
    }

    /// Takes the tokens of events that are durable now.
    pub fn landed(&mut self, shared: &mut Shared, tokens: Vec<u64>) {
        self.segments += 1;
        for token in tokens {
            let Some(pending) = self.pending.remove(&token) else {
                continue;
            };
            self.apply(shared, pending);
        }
    }

    fn apply(&mut self, shared: &mut Shared, pending: PendingEvent) {
        let key = pending.event.key().clone();
        self.unindex(&key);
        if let Err(error) = self.book.apply(pending.event) {
            self.actions.push(Action::Log(crate::event::Event::BookRefused, error.to_string()));
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

    fn run_follow_up(&mut self, shared: &mut Shared, key: &Key, follow_up: FollowUp) {
        match follow_up {
            FollowUp::Nothing => {}
            FollowUp::Admitted => {
                self.actions.push(Action::Log(crate::event::Event::Admitted, key.to_string()));
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

    fn answer_admission(&mut self, key: &Key) {
        let answer = self.describe(key);
        let Some(progress) = self.progress.get_mut(key) else { return };
        let admitted: Vec<Wait> =
            progress.waits.extract_if(.., |wait| !wait.wants_result).collect();
        for wait in admitted {
            self.answer(wait.waiter, answer.clone());
        }
    }

    fn answer_closed(&mut self, key: &Key) {
        let answer = self.describe(key);
        if answer.code == Kind::Unknown.code() {
            self.actions.push(Action::Log(crate::event::Event::UnknownOutcome, key.to_string()));
        }
        self.actions
            .push(Action::Log(crate::event::Event::Closed, format!("{key} {}", answer.state)));
        self.stop_reserving(key);
        let waits = self.progress.remove(key).map(|progress| progress.waits).unwrap_or_default();
        self.keep_trace(key, answer.spans.clone());
        for wait in waits {
            self.answer(wait.waiter, answer.clone());
        }
    }

    fn keep_trace(&mut self, key: &Key, spans: Vec<Span>) {
        self.traces.push_back((key.clone(), spans));
        if self.traces.len() > MAX_TRACES {
            self.traces.pop_front();
        }
    }

    fn spans_for(&self, key: &Key) -> Vec<Span> {
        if let Some(progress) = self.progress.get(key) {
            return progress.spans.clone();
        }
        let kept = self.traces.iter().find(|(kept, _)| kept == key);
        kept.map(|(_, spans)| spans.clone()).unwrap_or_default()
    }

    fn close(&mut self, key: &Key, answer: Answer, ack: Option<Waiter>) {
        let event = Event::Closed { key: key.clone(), answer };
        self.append(event, FollowUp::Closed, ack);
    }

    // Indexes over the book.

    fn index(&mut self, key: &Key) {
        self.reindex(key, true);
    }

    fn unindex(&mut self, key: &Key) {
        self.reindex(key, false);
    }

    fn reindex(&mut self, key: &Key, is_insert: bool) {
        let Some(request) = self.book.get(key) else { return };
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

    // Time.

    /// Does what time asks for.
    pub fn tick(&mut self, shared: &mut Shared) {
        self.expire_waits(shared);
        self.expire_requests(shared);
        if !self.is_closing {
            self.place_waiting(shared);
        }
        self.probe_running(shared);
    }
}

fn set_indexed<T: Ord>(into: &mut BTreeSet<T>, item: T, is_insert: bool) {
    if is_insert {
        into.insert(item);
    } else {
        into.remove(&item);
    }
}

fn update_usage(usage: &mut Usage, request: &Request, is_insert: bool) {
    let running = request.tasks.iter().filter(|task| task.is_started()).count() as u64;
    let size = &request.terms.size;
    let held = settings::quantity::Size {
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

/// A span of a trace.
pub fn span(hop: &str, member: &str, start_us: u64, length_us: u64) -> Span {
    Span { hop: hop.to_owned(), member: member.to_owned(), start_us, length_us }
}

/// A key for the wire.
pub fn to_wire(key: &Key) -> wire::Key {
    wire::Key { customer: key.customer.to_string(), id: key.id.to_string() }
}

/// A key from the wire.
pub fn from_wire(key: &wire::Key) -> Key {
    Key { customer: Name::new(&key.customer), id: Name::new(&key.id) }
}
