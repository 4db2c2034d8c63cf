//! The home of one partition's requests: the one place that accounts for them.
//!
//! A home owes each caller one answer. It changes its book only by events that the
//! journal has made durable, and acts on a change only then: a start is sent after its
//! attempt is recorded, an answer is given after it is recorded. `docs/STATES.md` shows
//! each step and what the caller hears if power goes there.

mod arrivals;
mod outcomes;
mod placing;
mod view;

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
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Closed requests whose spans are kept.
const TRACES_MAX: usize = 256;

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
enum After {
    Nothing,
    Admitted,
    Started(Vec<Place>),
    Waiting,
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
        Yielded,
    }
}

#[derive(Debug)]
struct Pending {
    event: Event,
    after: After,
    ack: Option<Waiter>,
}

#[derive(Debug, Clone)]
struct Grant {
    task: u32,
    rack: Name,
    epoch: u64,
    reservation: u64,
    worker: Name,
}

/// What is known of an open request beyond the book.
#[derive(Debug, Default)]
struct Work {
    waits: Vec<Wait>,
    /// The admission, while it is not durable.
    admission: Option<(Spec, Terms, u64)>,
    /// Whether events of it are on their way into the journal.
    pending: usize,
    wants_cancel: bool,
    is_reserving: bool,
    retry_at: Option<Instant>,
    refusals: u32,
    grants: Vec<Grant>,
    tried: Vec<Name>,
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
type Rank = (Class, i64, Key);

/// The home of one partition.
#[derive(Debug)]
pub struct Home {
    /// The partition.
    pub partition: u32,
    claim: Claim,
    log: Log,
    book: Book,
    /// Requests with events on their way, as they will be when those are durable.
    ahead: Book,
    work: HashMap<Key, Work>,
    pending: HashMap<u64, Pending>,
    next_token: u64,
    waiting: BTreeSet<Rank>,
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
            ahead: Book::default(),
            work: HashMap::new(),
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
            .filter(|(_, one)| one.answer.is_none())
            .map(|(key, _)| key.clone())
            .collect();
        for key in open {
            home.work.insert(key.clone(), Work::default());
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
        self.work.len()
    }

    /// Whether every event is durable and nothing is being reserved.
    pub fn is_calm(&self) -> bool {
        self.log.backlog() == 0 && self.reserving == 0
    }

    /// Everybody who waits here, to be sent to the next owner.
    pub fn take_waits(&mut self) -> Vec<(Key, Wait)> {
        let mut all = Vec::new();
        for (key, work) in &mut self.work {
            all.extend(work.waits.drain(..).map(|wait| (key.clone(), wait)));
        }
        all
    }

    // The journal.

    fn append(&mut self, event: Event, after: After, ack: Option<Waiter>) -> u64 {
        self.next_token += 1;
        let token = self.next_token;
        if let Some(work) = self.work.get_mut(event.key()) {
            work.pending += 1;
        }
        self.look_ahead(&event);
        self.log.append(event.clone(), token);
        self.pending.insert(token, Pending { event, after, ack });
        token
    }

    fn look_ahead(&mut self, event: &Event) {
        let key = event.key();
        if self.ahead.get(key).is_none()
            && let Some(request) = self.book.get(key)
        {
            self.ahead.insert(key.clone(), request.clone());
        }
        if let Err(error) = self.ahead.apply(event.clone()) {
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

    fn apply(&mut self, shared: &mut Shared, pending: Pending) {
        let key = pending.event.key().clone();
        self.unindex(&key);
        if let Err(error) = self.book.apply(pending.event) {
            self.actions.push(Action::Log(crate::event::Event::BookRefused, error.to_string()));
        }
        self.index(&key);
        if let Some(work) = self.work.get_mut(&key) {
            work.pending = work.pending.saturating_sub(1);
            work.admission = None;
            if work.pending == 0 {
                self.ahead.remove(&key);
            }
        }
        if let Some(waiter) = pending.ack {
            self.actions.push(Action::Ack(waiter, None, String::new()));
        }
        self.follow(shared, &key, pending.after);
    }

    fn follow(&mut self, shared: &mut Shared, key: &Key, after: After) {
        match after {
            After::Nothing => {}
            After::Admitted => {
                self.actions.push(Action::Log(crate::event::Event::Admitted, key.to_string()));
                self.answer_admission(key);
            }
            After::Started(places) => self.send_starts(shared, key, &places),
            After::Waiting => {
                if let Some(work) = self.work.get_mut(key) {
                    work.retry_at = Some(shared.now + RETRY_PAUSE);
                }
            }
            After::Cancelling => {
                if let Some(work) = self.work.get_mut(key) {
                    work.wants_cancel = true;
                }
            }
            After::Closed => self.answer_closed(key),
        }
        if self.work.get(key).is_some_and(|work| work.wants_cancel) {
            self.settle_cancel(shared, key);
        }
    }

    fn answer_admission(&mut self, key: &Key) {
        let answer = self.describe(key);
        let Some(work) = self.work.get_mut(key) else { return };
        let admitted: Vec<Wait> = work.waits.extract_if(.., |wait| !wait.wants_result).collect();
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
        let waits = self.work.remove(key).map(|work| work.waits).unwrap_or_default();
        self.keep_trace(key, answer.spans.clone());
        for wait in waits {
            self.answer(wait.waiter, answer.clone());
        }
    }

    fn keep_trace(&mut self, key: &Key, spans: Vec<Span>) {
        self.traces.push_back((key.clone(), spans));
        if self.traces.len() > TRACES_MAX {
            self.traces.pop_front();
        }
    }

    fn spans_of(&self, key: &Key) -> Vec<Span> {
        if let Some(work) = self.work.get(key) {
            return work.spans.clone();
        }
        let kept = self.traces.iter().find(|(kept, _)| kept == key);
        kept.map(|(_, spans)| spans.clone()).unwrap_or_default()
    }

    fn close(&mut self, key: &Key, answer: Answer, ack: Option<Waiter>) {
        let event = Event::Closed { key: key.clone(), answer };
        self.append(event, After::Closed, ack);
    }

    // Indexes over the book.

    fn index(&mut self, key: &Key) {
        self.reindex(key, true);
    }

    fn unindex(&mut self, key: &Key) {
        self.reindex(key, false);
    }

    fn reindex(&mut self, key: &Key, is_in: bool) {
        let Some(request) = self.book.get(key) else { return };
        if request.answer.is_some() {
            return;
        }
        let rank = view::rank(key, request);
        let is_waiting = request.tasks.iter().any(|task| task.state == State::Waiting);
        let is_running = request.tasks.iter().any(Task::is_started);
        let expiry = request.terms.start_by_ms.map(|at| (at, key.clone()));
        set(&mut self.waiting, rank, is_in && is_waiting);
        set(&mut self.running, key.clone(), is_in && is_running);
        if let Some(expiry) = expiry {
            let never_ran = request.tasks.iter().all(Task::never_ran);
            set(&mut self.expiries, expiry, is_in && never_ran);
        }
        let usage = self.usage.entry(key.customer.clone()).or_default();
        account(usage, request, is_in);
        if usage.open == 0 {
            self.usage.remove(&key.customer);
        }
    }

    // Time.

    /// Does what time asks for.
    pub fn tick(&mut self, shared: &mut Shared) {
        self.end_waits(shared);
        self.expire(shared);
        if !self.is_closing {
            self.place_waiting(shared);
        }
        self.probe_running(shared);
    }
}

fn set<T: Ord>(into: &mut BTreeSet<T>, item: T, is_in: bool) {
    if is_in {
        into.insert(item);
    } else {
        into.remove(&item);
    }
}

fn account(usage: &mut Usage, request: &Request, is_in: bool) {
    let running = request.tasks.iter().filter(|task| task.is_started()).count() as u64;
    let size = &request.terms.size;
    let held = settings::quantity::Size {
        cpu: size.cpu * running,
        memory: size.memory * running,
        accelerators: size.accelerators * running,
    };
    if is_in {
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
