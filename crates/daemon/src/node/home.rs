//! The home of one partition's requests: the one place that accounts for them.
//!
//! A home owes each caller one answer. It changes its book only by events that the
//! journal has made durable, and acts on a change only then: a start is sent after its
//! attempt is recorded, an answer is given after it is recorded. `docs/STATES.md` shows
//! each step and what the caller hears if power goes there.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque};
use std::time::{Duration, Instant};

use common::{Kind, Name};
use journal::book::{Request, State, Task};
use journal::event::{Answer, Event, Key, Outcome, Place, Terms};
use journal::{Book, Log};
use platform::table::Transaction;
use settings::Spec;
use settings::rules::{Class, Mode};
use wire::{Body, Fate, Span};

use super::act::{Act, Refusal, Waiter, failure};
use super::call::Purpose;
use super::claims::Claim;
use super::shared::Shared;
use super::usage::Usage;

/// Reservations that one home asks for at once.
const RESERVING_MAX: usize = 32;

/// Waiting requests that one look at the queue considers.
const SCAN_MAX: usize = 256;

/// Pause after no rack had room.
const ROOM_PAUSE: Duration = Duration::from_millis(250);

/// Longest pause after repeated refusals.
const ROOM_PAUSE_MAX: Duration = Duration::from_secs(2);

/// Pause before an attempt follows one that failed.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Between questions about attempts whose owner is not known to have them.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Racks asked for one request before it pauses.
const RACKS_TRIED_MAX: usize = 4;

/// Closed requests whose spans are kept.
const TRACES_MAX: usize = 256;

/// Spans kept for one request.
const SPANS_MAX: usize = 64;

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
    acts: Vec<Act>,
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
            acts: Vec::new(),
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

    /// The claim under which the home acts.
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
    pub fn take_acts(&mut self) -> Vec<Act> {
        std::mem::take(&mut self.acts)
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

    // Arrivals.

    /// Takes in a request, or joins the caller to the one that is there.
    pub fn submit(&mut self, shared: &mut Shared, arrival: Arrival) {
        let key = Key::of(&arrival.spec);
        if let Some(spec) = self.spec_of(&key) {
            if *spec == arrival.spec {
                self.join(&key, arrival.wait);
            } else {
                let text = format!("request {key} was submitted with another body");
                self.answer(arrival.wait.waiter, failure(Kind::IdTaken, text));
            }
            return;
        }
        if let Err(refusal) = self.check_room(shared, &arrival) {
            self.answer(arrival.wait.waiter, refusal.answer());
            return;
        }
        self.admit(key, arrival);
    }

    fn spec_of(&self, key: &Key) -> Option<&Spec> {
        let admitted = self.book.get(key).map(|request| &request.spec);
        let coming = self.work.get(key).and_then(|work| work.admission.as_ref());
        admitted.or(coming.map(|(spec, _, _)| spec))
    }

    fn check_room(&self, shared: &mut Shared, arrival: &Arrival) -> Result<(), Refusal> {
        if self.is_closing {
            return Err(Refusal::new(Kind::NoOwner, "the partition moves to another daemon"));
        }
        if shared.store.is_down() {
            return Err(Refusal::new(
                Kind::StoreDown,
                "the table does not answer; nothing was kept",
            ));
        }
        if self.work.len() >= shared.config.bounds.kept {
            return Err(Refusal::new(Kind::Overloaded, "the partition's queue is full"));
        }
        let customer = &arrival.spec.customer;
        let open = shared.usages.total(customer).open;
        let rules = shared.versions.rules.customers.get(customer);
        if rules.is_some_and(|rules| open >= rules.open) {
            let text = format!("customer {customer} has {open} open requests, all it may");
            return Err(Refusal::new(Kind::Quota, text));
        }
        Ok(())
    }

    fn admit(&mut self, key: Key, arrival: Arrival) {
        let Arrival { spec, terms, wait, trace, arrived_us } = arrival;
        let event = Event::Admitted { key: key.clone(), spec: spec.clone(), terms: terms.clone() };
        let work = Work { waits: vec![wait], trace, arrived_us, ..Work::default() };
        self.work.insert(key.clone(), work);
        let token = self.append(event, After::Admitted, None);
        if let Some(work) = self.work.get_mut(&key) {
            work.admission = Some((spec, terms, token));
        }
    }

    /// Adds a waiter to a request; answers at once where there is nothing to wait for.
    fn join(&mut self, key: &Key, wait: Wait) {
        let is_closed = self.book.get(key).is_some_and(|request| request.answer.is_some());
        let is_admitted = self.book.get(key).is_some();
        if is_closed || (is_admitted && !wait.wants_result) {
            let answer = self.describe(key);
            self.answer(wait.waiter, answer);
        } else if let Some(work) = self.work.get_mut(key) {
            work.waits.push(wait);
        }
    }

    /// Tells where a request stands, or waits for its answer.
    pub fn query(&mut self, key: &Key, wait: Wait) {
        if self.spec_of(key).is_none() {
            let text = format!("no request {key}");
            self.answer(wait.waiter, failure(Kind::NotFound, text));
        } else {
            self.join(key, wait);
        }
    }

    /// Stops a request; the waiter hears the answer that the request ends with.
    pub fn cancel(&mut self, shared: &Shared, key: &Key, waiter: Waiter, until: Instant) {
        if self.spec_of(key).is_none() {
            let text = format!("no request {key}");
            return self.answer(waiter, failure(Kind::NotFound, text));
        }
        self.join(key, Wait { waiter, until, wants_result: true });
        if let Some(work) = self.work.get_mut(key) {
            work.wants_cancel = true;
        }
        self.settle_cancel(shared, key);
    }

    fn settle_cancel(&mut self, shared: &Shared, key: &Key) {
        let Some(request) = self.open_request(key) else {
            return;
        };
        let is_recorded = request.is_cancelling;
        if request.tasks.iter().any(Task::is_started) {
            if is_recorded {
                self.send_stops(key);
            } else {
                let event = Event::Cancelling { key: key.clone() };
                self.append(event, After::Cancelling, None);
            }
            return;
        }
        let answer = cancelled_answer(request, shared.wall_ms());
        self.close(key, answer, None);
    }

    /// A request with the events that are on their way.
    fn latest(&self, key: &Key) -> Option<&Request> {
        self.ahead.get(key).or_else(|| self.book.get(key))
    }

    /// A request that was admitted durably and that no event on its way closes.
    fn open_request(&self, key: &Key) -> Option<&Request> {
        self.book.get(key)?;
        self.latest(key).filter(|request| request.answer.is_none())
    }

    fn send_stops(&mut self, key: &Key) {
        let (Some(request), Some(work)) = (self.book.get(key), self.work.get_mut(key)) else {
            return;
        };
        let places = request.tasks.iter().filter_map(Task::place);
        for place in places.filter(|_| request.terms.mode != Mode::Quick) {
            if work.stops_sent.insert(place.task) {
                let stop = wire::Stop {
                    key: Some(to_wire(key)),
                    rack: place.rack.to_string(),
                    worker: place.worker.to_string(),
                    task: place.task,
                    attempt: place.attempt,
                    checkpoint: false,
                };
                self.acts.push(Act::TellRack(place.rack.clone(), Body::Stop(stop)));
            }
        }
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
            self.acts.push(Act::Log(crate::event::Event::BookRefused, error.to_string()));
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
            self.acts.push(Act::Log(crate::event::Event::BookRefused, error.to_string()));
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
            self.acts.push(Act::Ack(waiter, None, String::new()));
        }
        self.follow(shared, &key, pending.after);
    }

    fn follow(&mut self, shared: &mut Shared, key: &Key, after: After) {
        match after {
            After::Nothing => {}
            After::Admitted => {
                self.acts.push(Act::Log(crate::event::Event::Admitted, key.to_string()));
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
            self.acts.push(Act::Log(crate::event::Event::UnknownOutcome, key.to_string()));
        }
        self.acts.push(Act::Log(crate::event::Event::Closed, format!("{key} {}", answer.state)));
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
        let rank = rank(key, request);
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

    fn end_waits(&mut self, shared: &Shared) {
        let is_over = |wait: &Wait| wait.until <= shared.now;
        let late = self.work.iter().filter(|(_, work)| work.waits.iter().any(is_over));
        let late: Vec<Key> = late.map(|(key, _)| key.clone()).collect();
        for key in late {
            let admission = self.work.get(&key).and_then(|work| work.admission.as_ref());
            match admission.map(|(_, _, token)| *token) {
                Some(token) => self.give_up_admission(&key, token),
                None => self.answer_late(&key, shared.now),
            }
        }
    }

    /// An admission that is not durable when its caller's time is up.
    ///
    /// While no segment holds it, it can be taken back, and "not run" is true. Once a
    /// segment is on its way it may become durable, and only "unknown" is true.
    fn give_up_admission(&mut self, key: &Key, token: u64) {
        let is_withdrawn = self.log.withdraw(token).is_some();
        if is_withdrawn {
            self.pending.remove(&token);
        }
        let answer = if is_withdrawn {
            failure(Kind::StoreDown, "the request could not be kept in time; it did not run")
        } else {
            let text = "the request may have been kept; ask again under the same id";
            failure(Kind::Unknown, text)
        };
        let waits = self.work.get_mut(key).map(|work| std::mem::take(&mut work.waits));
        if is_withdrawn {
            self.work.remove(key);
            self.ahead.remove(key);
        }
        for wait in waits.unwrap_or_default() {
            self.answer(wait.waiter, answer.clone());
        }
    }

    fn answer_late(&mut self, key: &Key, now: Instant) {
        let answer = self.describe(key);
        let Some(work) = self.work.get_mut(key) else { return };
        let late: Vec<Wait> = work.waits.extract_if(.., |wait| wait.until <= now).collect();
        for wait in late {
            self.answer(wait.waiter, answer.clone());
        }
    }

    fn expire(&mut self, shared: &Shared) {
        let wall_ms = shared.wall_ms();
        let over = self.expiries.iter().take_while(|(at, _)| *at <= wall_ms);
        let over: Vec<Key> = over.map(|(_, key)| key.clone()).collect();
        for key in over {
            let is_reserving = self.work.get(&key).is_some_and(|work| work.is_reserving);
            let Some(request) = self.open_request(&key).filter(|_| !is_reserving) else {
                continue;
            };
            if request.tasks.iter().all(Task::never_ran) {
                let text = "the time to start by passed while it waited";
                let answer = closing(Kind::Expired, text, request, wall_ms);
                self.close(&key, answer, None);
            }
        }
    }

    // Placing.

    fn place_waiting(&mut self, shared: &mut Shared) {
        if self.waiting.is_empty() || !shared.versions.is_complete() {
            return;
        }
        let wall_ms = shared.wall_ms();
        let scanned = self.waiting.iter().take(SCAN_MAX);
        let mut ready: Vec<(policy::order::Candidate, Key)> = Vec::new();
        for (_, _, key) in scanned {
            if self.is_ready(key, shared.now)
                && let Some(request) = self.book.get(key)
            {
                ready.push((candidate(request, shared), key.clone()));
            }
        }
        ready.sort_by(|(one, _), (other, _)| policy::order::compare(one, other, wall_ms));
        for (_, key) in ready {
            if self.reserving >= RESERVING_MAX {
                break;
            }
            self.place(shared, &key);
        }
    }

    fn is_ready(&self, key: &Key, now: Instant) -> bool {
        self.work.get(key).is_some_and(|work| {
            work.pending == 0
                && !work.is_reserving
                && !work.wants_cancel
                && work.retry_at.is_none_or(|at| at <= now)
        })
    }

    /// Tries to find room for a waiting request's tasks.
    fn place(&mut self, shared: &mut Shared, key: &Key) {
        let Some(request) = self.open_request(key) else { return };
        if let Err(reason) = may_start(request, shared) {
            return self.pause(shared, key, reason);
        }
        if request.terms.mode == Mode::Quick {
            return self.place_once(shared, key);
        }
        self.reserve_next(shared, key);
    }

    fn reserve_next(&mut self, shared: &mut Shared, key: &Key) {
        let Some(request) = self.book.get(key) else { return };
        let Some(work) = self.work.get_mut(key) else { return };
        let wanted = wanted_tasks(request, &work.grants);
        let size = request.terms.size;
        let mut tried = work.tried.clone();
        if request.terms.mode == Mode::Service {
            tried.extend(crowded_racks(request, shared, &tried));
        }
        let rack = if work.tried.len() >= RACKS_TRIED_MAX {
            None
        } else {
            shared.digests.pick(&size, &tried, &mut shared.random)
        };
        let Some(rack) = rack else {
            return self.no_room(shared, key);
        };
        let avoid = request.tasks[wanted[0] as usize].failed_on.iter();
        let reserve = wire::Reserve {
            key: Some(to_wire(key)),
            rack: rack.to_string(),
            cpu: size.cpu,
            memory: size.memory,
            accelerators: size.accelerators,
            count: wanted.len() as u32,
            partition_epoch: self.claim.epoch,
            partition: self.partition,
            avoid: avoid.map(ToString::to_string).collect(),
            task: wanted[0],
        };
        if !work.is_reserving {
            work.is_reserving = true;
            self.reserving += 1;
        }
        work.tried.push(rack.clone());
        let purpose =
            Purpose::Reserve { partition: self.partition, key: key.clone(), rack: rack.clone() };
        self.acts.push(Act::AskRack(rack, Body::Reserve(reserve), purpose));
    }

    /// Takes a rack's answer to a reservation; none where it is lost.
    pub fn granted(
        &mut self,
        shared: &mut Shared,
        key: &Key,
        rack: &Name,
        grant: Option<wire::Grant>,
    ) {
        let is_waited_for = self.work.get(key).is_some_and(|work| work.is_reserving);
        if !is_waited_for {
            if let Some(grant) = grant {
                self.release(rack, grant.places.iter().map(|place| place.reservation).collect());
            }
            return;
        }
        let (Some(request), Some(work)) = (self.book.get(key), self.work.get_mut(key)) else {
            return;
        };
        if let Some(grant) = grant {
            let wanted = wanted_tasks(request, &work.grants);
            if !grant.text.is_empty() {
                work.reason = format!("rack {rack}: {}", grant.text);
            }
            for (task, place) in wanted.into_iter().zip(grant.places) {
                work.grants.push(Grant {
                    task,
                    rack: rack.clone(),
                    epoch: grant.rack_epoch,
                    reservation: place.reservation,
                    worker: Name::from(place.worker),
                });
            }
        }
        let is_open = request.answer.is_none() && !work.wants_cancel;
        if !is_open {
            self.stop_reserving(key);
        } else if wanted_tasks(request, &work.grants).is_empty() {
            self.record_start(shared, key);
        } else {
            self.reserve_next(shared, key);
        }
    }

    fn record_start(&mut self, shared: &Shared, key: &Key) {
        let (Some(request), Some(work)) = (self.book.get(key), self.work.get_mut(key)) else {
            return;
        };
        let place = |grant: &Grant| Place {
            task: grant.task,
            attempt: request.tasks[grant.task as usize].attempts + 1,
            rack: grant.rack.clone(),
            worker: grant.worker.clone(),
            rack_epoch: grant.epoch,
        };
        let places: Vec<Place> = work.grants.iter().map(place).collect();
        work.is_reserving = false;
        work.tried.clear();
        work.refusals = 0;
        work.placed_us = shared.wall_us;
        self.reserving = self.reserving.saturating_sub(1);
        let event = Event::Started { key: key.clone(), places: places.clone() };
        self.append(event, After::Started(places), None);
    }

    /// Gives back what was granted and waits a while.
    fn no_room(&mut self, shared: &mut Shared, key: &Key) {
        self.stop_reserving(key);
        let reason = self.work.get(key).map(|work| work.reason.clone()).unwrap_or_default();
        let reason =
            if reason.is_empty() { "no rack reports enough free room".to_owned() } else { reason };
        self.pause(shared, key, reason);
    }

    fn stop_reserving(&mut self, key: &Key) {
        let Some(work) = self.work.get_mut(key) else { return };
        if work.is_reserving {
            work.is_reserving = false;
            self.reserving = self.reserving.saturating_sub(1);
        }
        work.tried.clear();
        let grants = std::mem::take(&mut work.grants);
        for grant in grants {
            self.release(&grant.rack, vec![grant.reservation]);
        }
    }

    fn release(&mut self, rack: &Name, reservations: Vec<u64>) {
        if reservations.is_empty() {
            return;
        }
        let release = wire::Release { rack: rack.to_string(), reservations };
        self.acts.push(Act::TellRack(rack.clone(), Body::Release(release)));
    }

    fn pause(&mut self, shared: &mut Shared, key: &Key, reason: String) {
        use rand::RngExt;
        let Some(work) = self.work.get_mut(key) else { return };
        work.refusals += 1;
        let pause = ROOM_PAUSE.saturating_mul(1 << work.refusals.min(4)).min(ROOM_PAUSE_MAX);
        let jitter = shared.random.random_range(0.5..1.0);
        work.retry_at = Some(shared.now + pause.mul_f64(jitter));
        work.reason = reason;
    }

    fn send_starts(&mut self, shared: &Shared, key: &Key, places: &[Place]) {
        let (Some(request), Some(work)) = (self.book.get(key), self.work.get_mut(key)) else {
            return;
        };
        let grants = std::mem::take(&mut work.grants);
        if request.terms.mode == Mode::Quick {
            let once = once_call(key, request, work, &places[0], shared);
            let purpose = Purpose::Once {
                partition: self.partition,
                key: key.clone(),
                attempt: places[0].attempt,
            };
            self.acts.push(Act::AskRack(places[0].rack.clone(), Body::Quick(once), purpose));
            return;
        }
        let spec = serde_json::to_vec(&request.spec).unwrap_or_default();
        for place in places {
            let grant = grants.iter().find(|grant| grant.task == place.task);
            let start = wire::Start {
                key: Some(to_wire(key)),
                rack: place.rack.to_string(),
                rack_epoch: place.rack_epoch,
                reservation: grant.map_or(0, |grant| grant.reservation),
                worker: place.worker.to_string(),
                task: place.task,
                attempt: place.attempt,
                spec: spec.clone(),
                partition: self.partition,
                partition_epoch: self.claim.epoch,
                trace: work.trace.clone(),
            };
            work.confirmed.remove(&place.task);
            work.stops_sent.remove(&place.task);
            work.probed_at = Some(shared.now);
            let purpose = Purpose::Start {
                partition: self.partition,
                key: key.clone(),
                task: place.task,
                attempt: place.attempt,
            };
            self.acts.push(Act::AskRack(place.rack.clone(), Body::Start(start), purpose));
        }
    }

    /// Takes a rack owner's answer to a start; none where it is lost.
    pub fn start_answered(
        &mut self,
        shared: &Shared,
        key: &Key,
        task: u32,
        attempt: u32,
        ack: Option<wire::Ack>,
    ) {
        // A lost answer is settled by the next probe.
        let Some(ack) = ack else { return };
        if ack.code == 0 {
            self.confirm(shared, key, task, attempt);
            return;
        }
        let reason = format!("start refused: {}", ack.text);
        self.try_again(key, task, attempt, false, reason, None);
    }

    fn confirm(&mut self, shared: &Shared, key: &Key, task: u32, attempt: u32) {
        let place = self.current(key, task, attempt).cloned();
        if let (Some(place), Some(work)) = (place, self.work.get_mut(key)) {
            let epoch = shared.rack_epoch(&place.rack).unwrap_or(place.rack_epoch);
            work.confirmed.insert(task, epoch);
        }
    }

    fn current(&self, key: &Key, task: u32, attempt: u32) -> Option<&Place> {
        let request = self.open_request(key)?;
        let place = request.tasks.get(task as usize)?.place()?;
        (place.attempt == attempt).then_some(place)
    }

    fn try_again(
        &mut self,
        key: &Key,
        task: u32,
        attempt: u32,
        may_have_run: bool,
        reason: String,
        ack: Option<Waiter>,
    ) {
        if self.current(key, task, attempt).is_none() {
            return;
        }
        if let Some(work) = self.work.get_mut(key) {
            work.confirmed.remove(&task);
            work.reason.clone_from(&reason);
        }
        let event = Event::Again { key: key.clone(), task, attempt, may_have_run, reason };
        self.append(event, After::Waiting, ack);
    }

    // Outcomes.

    /// Takes what a rack's owner says of an attempt.
    pub fn report(&mut self, shared: &Shared, report: wire::Report, ack: Option<Waiter>) {
        let Some(key) = report.key.as_ref().map(from_wire) else {
            return;
        };
        let (task, attempt) = (report.task, report.attempt);
        if self.current(&key, task, attempt).is_none() {
            if self.is_outcome_coming(&key, task, attempt) {
                // The rack must remember the attempt until its outcome is durable.
                return;
            }
            if let Some(waiter) = ack {
                let text = "not the current attempt".to_owned();
                self.acts.push(Act::Ack(waiter, Some(Kind::NotFound), text));
            }
            return;
        }
        self.keep_spans(&key, &report);
        let text = report.text.clone();
        match Fate::from_code(report.fate) {
            Fate::Running => {
                self.confirm(shared, &key, task, attempt);
                if let Some(waiter) = ack {
                    self.acts.push(Act::Ack(waiter, None, String::new()));
                }
            }
            Fate::Unsure => {}
            Fate::NotSent => self.try_again(&key, task, attempt, false, text, ack),
            Fate::Done => self.end(shared, &key, &report, Outcome::Done, ack),
            Fate::Failed => self.failed(shared, &key, &report, ack),
            Fate::Stopped => self.stopped(shared, &key, &report, ack),
            Fate::Absent | Fate::Lapsed => self.vanished(shared, &key, &report, ack),
        }
    }

    fn is_outcome_coming(&self, key: &Key, task: u32, attempt: u32) -> bool {
        let request = self.book.get(key).filter(|request| request.answer.is_none());
        let task = request.and_then(|request| request.tasks.get(task as usize));
        task.and_then(Task::place).is_some_and(|place| place.attempt == attempt)
    }

    fn keep_spans(&mut self, key: &Key, report: &wire::Report) {
        if let Some(work) = self.work.get_mut(key)
            && work.spans.len() < SPANS_MAX
        {
            work.spans.extend(report.spans.iter().cloned());
        }
    }

    fn failed(&mut self, shared: &Shared, key: &Key, report: &wire::Report, ack: Option<Waiter>) {
        if self.may_repeat(key, report.task) {
            self.try_again(key, report.task, report.attempt, true, report.text.clone(), ack);
        } else {
            self.end(shared, key, report, Outcome::Failed, ack);
        }
    }

    fn stopped(&mut self, shared: &Shared, key: &Key, report: &wire::Report, ack: Option<Waiter>) {
        let is_repeatable = self.latest(key).is_some_and(|one| one.terms.is_repeatable);
        let is_cancelling = self.latest(key).is_some_and(|one| one.is_cancelling);
        if is_repeatable && !is_cancelling {
            self.try_again(key, report.task, report.attempt, true, report.text.clone(), ack);
        } else {
            self.end(shared, key, report, Outcome::Stopped, ack);
        }
    }

    fn vanished(&mut self, shared: &Shared, key: &Key, report: &wire::Report, ack: Option<Waiter>) {
        if self.may_repeat(key, report.task) {
            self.try_again(key, report.task, report.attempt, true, report.text.clone(), ack);
        } else {
            self.end(shared, key, report, Outcome::Unknown, ack);
        }
    }

    fn may_repeat(&self, key: &Key, task: u32) -> bool {
        let Some(request) = self.latest(key) else {
            return false;
        };
        let runs = request.tasks.get(task as usize).map_or(0, |task| task.runs);
        let has_attempts = runs + 1 < request.terms.attempts || request.terms.mode == Mode::Service;
        request.terms.is_repeatable && has_attempts && !request.is_cancelling
    }

    fn end(
        &mut self,
        shared: &Shared,
        key: &Key,
        report: &wire::Report,
        outcome: Outcome,
        ack: Option<Waiter>,
    ) {
        let Some(request) = self.open_request(key) else { return };
        let result = match outcome {
            Outcome::Done => String::from_utf8_lossy(&report.body).into_owned(),
            Outcome::Failed | Outcome::Stopped | Outcome::Unknown => report.text.clone(),
        };
        let answer = closing_after(request, report.task, outcome, &result, shared.wall_ms());
        let is_last = answer.is_some();
        let stops = !is_last && outcome != Outcome::Done && request.terms.mode == Mode::Gang;
        let event = Event::Ended {
            key: key.clone(),
            task: report.task,
            attempt: report.attempt,
            outcome,
            result,
        };
        // The outcome is safe only with the answer that follows from it.
        let (first_ack, last_ack) = if is_last { (None, ack) } else { (ack, None) };
        self.append(event, After::Nothing, first_ack);
        if let Some(answer) = answer {
            self.close(key, answer, last_ack);
        } else if stops {
            self.append(Event::Cancelling { key: key.clone() }, After::Cancelling, None);
        }
    }

    // Quick requests that are not repeatable.

    fn place_once(&mut self, shared: &mut Shared, key: &Key) {
        let Some(request) = self.book.get(key) else { return };
        let kind = shared.versions.rules.kinds.get(&request.spec.kind);
        let service = kind.and_then(|kind| kind.service.clone()).unwrap_or_default();
        let rack = shared.digests.pick_slot(&service, &[], &mut shared.random);
        let epoch = rack.as_ref().and_then(|rack| shared.rack_epoch(rack));
        let (Some(rack), Some(epoch)) = (rack, epoch) else {
            return self.pause(shared, key, format!("no executor of {service} has a free slot"));
        };
        let attempt = request.tasks[0].attempts + 1;
        let place = Place { task: 0, attempt, worker: rack.clone(), rack, rack_epoch: epoch };
        let event = Event::Started { key: key.clone(), places: vec![place.clone()] };
        self.append(event, After::Started(vec![place]), None);
    }

    /// Takes the answer to a quick request that may run once; none where it is lost.
    pub fn once_answered(
        &mut self,
        shared: &Shared,
        key: &Key,
        attempt: u32,
        answer: Option<wire::Answer>,
    ) {
        let kind = answer.as_ref().map(|answer| Kind::from_code(answer.code));
        let mut report = wire::Report { key: Some(to_wire(key)), attempt, ..Default::default() };
        if let Some(answer) = answer {
            report.body = answer.body;
            report.text = answer.text;
            report.spans = answer.spans;
            report.worker = answer.worker;
        }
        let fate = match kind {
            Some(None) => Fate::Done,
            Some(Some(Kind::Failed)) => Fate::Failed,
            Some(Some(kind)) if kind.ran() == common::Ran::No => Fate::NotSent,
            _ => Fate::Lapsed,
        };
        if fate == Fate::Lapsed {
            report.text = "the executor's answer is lost".to_owned();
        }
        report.fate = fate.code();
        self.report(shared, report, None);
    }

    // Recovery and changes of rack owners.

    /// Takes up a request found open in a recovered book.
    fn resume(&mut self, shared: &Shared, key: &Key) {
        let Some(request) = self.book.get(key) else { return };
        if let Some(work) = self.work.get_mut(key) {
            work.wants_cancel = request.is_cancelling;
        }
        let once = request.terms.mode == Mode::Quick;
        let place = request.tasks.first().and_then(Task::place).filter(|_| once).cloned();
        if let Some(place) = place {
            self.once_answered(shared, key, place.attempt, None);
        }
    }

    /// Asks about attempts that the current owner of their rack has not confirmed.
    fn probe_running(&mut self, shared: &Shared) {
        let mut asks = Vec::new();
        let mut stops = Vec::new();
        for key in &self.running {
            let (Some(request), Some(work)) = (self.book.get(key), self.work.get_mut(key)) else {
                continue;
            };
            let is_due = work.probed_at.is_none_or(|at| at + PROBE_INTERVAL <= shared.now);
            if request.terms.mode == Mode::Quick || work.pending > 0 || !is_due {
                continue;
            }
            let places = request.tasks.iter().filter_map(Task::place);
            let unconfirmed = places.filter(|place| {
                let epoch = shared.rack_epoch(&place.rack);
                epoch.is_none() || work.confirmed.get(&place.task).copied() != epoch
            });
            let before = asks.len();
            asks.extend(unconfirmed.map(|place| (key.clone(), place.clone())));
            if request.is_cancelling {
                work.stops_sent.clear();
                stops.push(key.clone());
            }
            if asks.len() > before || request.is_cancelling {
                work.probed_at = Some(shared.now);
            }
        }
        for key in stops {
            self.send_stops(&key);
        }
        for (key, place) in asks {
            self.probe(&key, &place);
        }
    }

    fn probe(&mut self, key: &Key, place: &Place) {
        let probe = wire::Probe {
            key: Some(to_wire(key)),
            rack: place.rack.to_string(),
            worker: place.worker.to_string(),
            task: place.task,
            attempt: place.attempt,
            partition: self.partition,
            partition_epoch: self.claim.epoch,
            rack_epoch: place.rack_epoch,
        };
        let purpose = Purpose::Probe { partition: self.partition };
        self.acts.push(Act::AskRack(place.rack.clone(), Body::Probe(probe), purpose));
    }

    // Answers.

    fn answer(&mut self, to: Waiter, answer: wire::Answer) {
        self.acts.push(Act::Answer(to, Box::new(answer)));
    }

    /// Where a request stands, as its caller is told.
    pub fn describe(&self, key: &Key) -> wire::Answer {
        let Some(request) = self.book.get(key) else {
            return wire::Answer { state: "queued".to_owned(), ..Default::default() };
        };
        let work = self.work.get(key);
        let last = request.tasks.last();
        let place = request.tasks.iter().find_map(Task::place);
        let mut answer = wire::Answer {
            code: request.answer.as_ref().map_or(0, |answer| answer.code),
            state: request.word().to_owned(),
            text: request.answer.as_ref().map(|answer| answer.text.clone()).unwrap_or_default(),
            body: results(request),
            spans: self.spans_of(key),
            attempt: last.map_or(0, |task| task.attempts),
            worker: place.map(|place| place.worker.to_string()).unwrap_or_default(),
        };
        if let Some(work) = work.filter(|work| work.arrived_us > 0 && work.placed_us > 0) {
            let waited = work.placed_us.saturating_sub(work.arrived_us);
            answer.spans.insert(0, span("home-queue", "", work.arrived_us, waited));
        }
        answer
    }

    /// Why a request waits, or why it is where it is, in one sentence.
    pub fn explain(&self, key: &Key, shared: &Shared) -> String {
        let Some(request) = self.book.get(key) else {
            return format!("no request {key}");
        };
        if let Some(answer) = &request.answer {
            return format!("closed: {} {}", request.word(), answer.text);
        }
        let running: Vec<String> = request
            .tasks
            .iter()
            .filter_map(Task::place)
            .map(|place| {
                format!(
                    "task {} attempt {} on {} in rack {}",
                    place.task, place.attempt, place.worker, place.rack
                )
            })
            .collect();
        if !running.is_empty() {
            return format!("{}; the tightest fit that the rack's owner had", running.join("; "));
        }
        if let Err(reason) = may_start(request, shared) {
            return format!("waiting: {reason}");
        }
        let rank = rank(key, request);
        let ahead = self.waiting.range(..&rank).count();
        let reason = self.work.get(key).map_or("", |work| work.reason.as_str());
        let reason = if reason.is_empty() { "not tried yet" } else { reason };
        format!("waiting: {reason}; {ahead} ahead in its partition")
    }

    /// Open requests in the order of the queue, running ones last, at most `most`.
    pub fn queue(&self, most: usize) -> Vec<(&Key, &Request)> {
        let waiting = self.waiting.iter().map(|(_, _, key)| key);
        let running = self.running.iter();
        let both = waiting.chain(running).take(most);
        both.filter_map(|key| self.book.get(key).map(|request| (key, request))).collect()
    }

    /// Drops old answers from the book, before a snapshot.
    pub fn prune(&mut self, before_ms: i64) {
        self.book.prune(before_ms);
    }
}

fn set<T: Ord>(into: &mut BTreeSet<T>, item: T, is_in: bool) {
    if is_in {
        into.insert(item);
    } else {
        into.remove(&item);
    }
}

fn rank(key: &Key, request: &Request) -> Rank {
    (request.terms.class, request.terms.admitted_ms, key.clone())
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

fn candidate(request: &Request, shared: &Shared) -> policy::order::Candidate {
    let customer = &request.spec.customer;
    let weight = shared.versions.rules.customers.get(customer).map_or(1, |rules| rules.weight);
    let held = shared.usages.total(customer).size.cpu as f64;
    policy::order::Candidate {
        class: request.terms.class,
        admitted_ms: request.terms.admitted_ms,
        start_by_ms: request.terms.start_by_ms,
        share: held / settings::quantity::MILLIS_PER_CPU / f64::from(weight),
    }
}

/// Whether the rules let a request's tasks start now.
///
/// # Errors
///
/// The rule that speaks against it.
fn may_start(request: &Request, shared: &Shared) -> Result<(), String> {
    let rules = &shared.versions.rules;
    let Some(kind) = rules.kinds.get(&request.spec.kind) else {
        return Err(format!("the rules have no kind {} any more", request.spec.kind));
    };
    if !rules.is_open(kind, shared.wall()) {
        let name = kind.window.clone().unwrap_or_default();
        let next = rules.window_of(kind).and_then(|one| one.next_open(&rules.clock, shared.wall()));
        let next = next.map(|at| rules.clock.local(at).to_string()).unwrap_or_default();
        return Err(format!("window {name} is closed; it opens at {next} local time"));
    }
    let customer = &request.spec.customer;
    let quota = rules.customers.get(customer).and_then(|customer| customer.quota);
    if let Some(quota) = quota {
        let held = shared.usages.total(customer).size.plus(&request.terms.size);
        if let Some(dimension) = held.excess(&quota) {
            return Err(format!("customer {customer} is at its quota of {dimension}"));
        }
    }
    Ok(())
}

/// The tasks that still need a place before the request's next start.
fn wanted_tasks(request: &Request, grants: &[Grant]) -> Vec<u32> {
    let waiting = request.tasks.iter().enumerate();
    let waiting = waiting.filter(|(_, task)| task.state == State::Waiting);
    let mut wanted: Vec<u32> = waiting.map(|(index, _)| index as u32).collect();
    if request.terms.mode == Mode::Service {
        // Each task of a service starts by itself, so that they spread.
        wanted.truncate(1);
    }
    wanted.retain(|task| grants.iter().all(|grant| grant.task != *task));
    wanted
}

/// Racks in the failure domains that hold the most of a service's tasks.
fn crowded_racks(request: &Request, shared: &Shared, tried: &[Name]) -> Vec<Name> {
    let inventory = &shared.versions.inventory;
    let domain = |rack: &Name| inventory.racks.get(rack).map(|rack| rack.domain.clone());
    let mut load: HashMap<Name, usize> = HashMap::new();
    for rack in request.tasks.iter().filter_map(Task::place).filter_map(|place| domain(&place.rack))
    {
        *load.entry(rack).or_default() += 1;
    }
    let open: Vec<&Name> = inventory.racks.keys().filter(|rack| !tried.contains(rack)).collect();
    let of = |rack: &Name| domain(rack).and_then(|name| load.get(&name).copied()).unwrap_or(0);
    let least = open.iter().map(|rack| of(rack)).min().unwrap_or(0);
    open.into_iter().filter(|rack| of(rack) > least).cloned().collect()
}

fn once_call(
    key: &Key,
    request: &Request,
    work: &Work,
    place: &Place,
    shared: &Shared,
) -> wire::Quick {
    let kind = shared.versions.rules.kinds.get(&request.spec.kind);
    let service = kind.and_then(|kind| kind.service.as_ref()).map(ToString::to_string);
    wire::Quick {
        key: Some(to_wire(key)),
        rack: place.rack.to_string(),
        service: service.unwrap_or_default(),
        body: request.spec.payload.clone().into_bytes(),
        remaining_ms: shared.config.bounds.wait.as_millis() as u64,
        trace: work.trace.clone(),
    }
}

/// The answer to a cancel, from what the tasks did.
fn cancelled_answer(request: &Request, at_ms: i64) -> Answer {
    if request.tasks.iter().all(Task::never_ran) {
        closing(Kind::Cancelled, "cancelled before any start", request, at_ms)
    } else {
        closing(Kind::Stopped, "cancelled after a start", request, at_ms)
    }
}

fn closing(kind: Kind, text: &str, request: &Request, at_ms: i64) -> Answer {
    Answer { code: kind.code(), text: text.to_owned(), results: texts(request), at_ms }
}

fn texts(request: &Request) -> Vec<String> {
    let text = |task: &Task| match &task.state {
        State::Ended { result, .. } => result.clone(),
        State::Waiting | State::Started(_) => String::new(),
    };
    request.tasks.iter().map(text).collect()
}

/// The answer that a request has once one more task ended; none while others go on.
fn closing_after(
    request: &Request,
    task: u32,
    outcome: Outcome,
    result: &str,
    at_ms: i64,
) -> Option<Answer> {
    let others = request.tasks.iter().enumerate().filter(|(index, _)| *index != task as usize);
    let mut outcomes = vec![outcome];
    for (_, other) in others {
        match &other.state {
            State::Started(_) => return None,
            State::Waiting if request.is_cancelling => {}
            State::Waiting => return None,
            State::Ended { outcome, .. } => outcomes.push(*outcome),
        }
    }
    let has = |wanted| outcomes.contains(&wanted);
    let kind = if has(Outcome::Unknown) {
        Some(Kind::Unknown)
    } else if has(Outcome::Failed) {
        Some(Kind::Failed)
    } else if has(Outcome::Stopped) || outcomes.len() < request.tasks.len() {
        Some(Kind::Stopped)
    } else {
        None
    };
    let mut results = texts(request);
    results[task as usize] = result.to_owned();
    let text = if kind.is_some() { result.to_owned() } else { String::new() };
    Some(Answer { code: kind.map_or(0, Kind::code), text, results, at_ms })
}

fn results(request: &Request) -> Vec<u8> {
    let results = request.answer.as_ref().map(|answer| &answer.results);
    results.map(|results| serde_json::to_vec(results).unwrap_or_default()).unwrap_or_default()
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
