//! Quick requests at their home: deduplicated by id, sent to a rack with a free slot.
//!
//! Nothing here is durable: the requests are repeatable, so the loss of a home causes a
//! second run, never a wrong answer. A request waits at its home, not at an executor,
//! until a rack has a free slot; so none queues behind a slow request.

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::time::{Duration, Instant};

use common::{Kind, Name, Ran};
use journal::event::Key;
use settings::Spec;
use wire::{Answer, Body};

use super::action::{Action, Refusal, Waiter, failure};
use super::call::Purpose;
use super::home::{span, to_wire};
use super::shared::Shared;
use crate::event::Event;

/// How long an answer is kept for repeated requests.
const KEEP: Duration = Duration::from_mins(1);

/// Most answers kept.
const KEEP_MAX: usize = 10_000;

/// Shortest interval between log lines about shed requests.
const SHED_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Lost answers after which a request ends with an unknown outcome.
const RUNS_MAX: u32 = 3;

/// Most racks remembered as tried without success.
const TRIED_MAX: usize = 8;

/// Quick request on arrival at its home.
#[derive(Debug)]
pub struct Arrival {
    /// Parsed request.
    pub spec: Spec,
    /// Service whose executors can run it.
    pub service: Name,
    /// Recipient of the answer.
    pub waiter: Waiter,
    /// Deadline of the request.
    pub until: Instant,
    /// Trace context of the caller.
    pub trace: String,
}

#[derive(Debug)]
enum Stage {
    Waiting,
    Sent,
    Done(Box<Answer>),
}

#[derive(Debug)]
struct Entry {
    spec: Spec,
    service: Name,
    waiters: Vec<Waiter>,
    until: Instant,
    stage: Stage,
    /// Sends whose answers were lost, so that they may have run.
    runs: u32,
    /// Racks tried without success since the last full round.
    tried: Vec<Name>,
    trace: String,
    /// Arrival, in Unix microseconds.
    arrived_us: u64,
    /// Last send, in Unix microseconds; 0 if not sent yet.
    sent_us: u64,
}

/// Quick requests whose home is this daemon.
#[derive(Debug, Default)]
pub struct Tracker {
    entries: HashMap<Key, Entry>,
    /// Requests not sent, by deadline.
    waiting: BTreeSet<(Instant, Key)>,
    /// Answered requests, with the time at which each answer is dropped.
    done: VecDeque<(Instant, Key)>,
    actions: Vec<Action>,
    /// Number of unanswered requests by customer.
    open_of: HashMap<Name, usize>,
    /// When a shed request was last logged.
    shed_at: Option<Instant>,
    /// Waiting times of requests sent since this was last drained, in microseconds.
    pub waits_us: Vec<u64>,
}

impl Tracker {
    /// Drains the queued actions.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Number of unanswered requests.
    pub fn open(&self) -> usize {
        self.entries.len() - self.done.len()
    }

    /// Accepts a request, or adds the caller as a waiter to the same one in progress.
    pub fn submit(&mut self, shared: &mut Shared, arrival: Arrival) {
        let key = Key::of(&arrival.spec);
        if let Some(entry) = self.entries.get_mut(&key) {
            if entry.spec != arrival.spec {
                let text = format!("request {key} was submitted with another body");
                return self.answer(arrival.waiter, failure(Kind::IdTaken, text));
            }
            if let Stage::Done(answer) = &entry.stage {
                let answer = (**answer).clone();
                return self.answer(arrival.waiter, answer);
            }
            entry.waiters.push(arrival.waiter);
            return;
        }
        if let Err(refusal) = self.check_room(shared, &key) {
            self.note_shed(shared, &key, &refusal);
            return self.answer(arrival.waiter, refusal.answer());
        }
        self.insert(shared, key, arrival);
    }

    /// Refuses a request over the queue limit or the customer's share.
    fn check_room(&self, shared: &Shared, key: &Key) -> Result<(), Refusal> {
        if self.waiting.len() >= shared.config.bounds.waiting {
            let text = "too many quick requests wait for a slot";
            return Err(Refusal::new(Kind::Overloaded, text));
        }
        let customer = &key.customer;
        let rules = shared.versions.rules.customers.get(customer);
        let members = shared.membership.live().len().max(1);
        // Twice the even share: ids are not distributed evenly over the homes.
        let share = rules.map_or(usize::MAX, |rules| (rules.open as usize * 2 / members).max(1));
        let open = self.open_of.get(customer).copied().unwrap_or(0);
        if open >= share {
            let text = format!("customer {customer} has {open} quick requests open here");
            return Err(Refusal::new(Kind::Quota, text));
        }
        Ok(())
    }

    /// Logs that requests are shed, at most once a second.
    fn note_shed(&mut self, shared: &Shared, key: &Key, refusal: &Refusal) {
        if self.shed_at.is_none_or(|at| shared.now >= at + SHED_LOG_INTERVAL) {
            self.shed_at = Some(shared.now);
            let text = format!("{key}: {}", refusal.text);
            self.actions.push(Action::Log(Event::Shed, text));
        }
    }

    fn insert(&mut self, shared: &mut Shared, key: Key, arrival: Arrival) {
        let entry = Entry {
            spec: arrival.spec,
            service: arrival.service,
            waiters: vec![arrival.waiter],
            until: arrival.until,
            stage: Stage::Waiting,
            runs: 0,
            tried: Vec::new(),
            trace: arrival.trace,
            arrived_us: shared.wall_us,
            sent_us: 0,
        };
        self.waiting.insert((entry.until, key.clone()));
        *self.open_of.entry(key.customer.clone()).or_default() += 1;
        self.entries.insert(key.clone(), entry);
        self.dispatch(shared, &key);
    }

    /// Sends a waiting request to a rack with a free slot; false if there is none.
    fn dispatch(&mut self, shared: &mut Shared, key: &Key) -> bool {
        let Some(entry) = self.entries.get_mut(key) else {
            return true;
        };
        let rack = shared.digests.pick_slot(&entry.service, &entry.tried, &mut shared.random);
        let Some(rack) = rack else {
            entry.tried.clear();
            return false;
        };
        let left = entry.until.saturating_duration_since(shared.now);
        let quick = wire::Quick {
            key: Some(to_wire(key)),
            rack: rack.to_string(),
            service: entry.service.to_string(),
            body: entry.spec.payload.clone().into_bytes(),
            remaining_ms: left.as_millis() as u64,
            trace: entry.trace.clone(),
        };
        entry.stage = Stage::Sent;
        if entry.sent_us == 0 {
            self.waits_us.push(shared.wall_us.saturating_sub(entry.arrived_us));
        }
        entry.sent_us = shared.wall_us;
        self.waiting.remove(&(entry.until, key.clone()));
        let purpose = Purpose::Quick { key: key.clone(), rack: rack.clone() };
        self.actions.push(Action::AskRack(rack, Body::Quick(quick), purpose));
        true
    }

    /// Handles a rack's answer; `None` if it was lost.
    pub fn answered(
        &mut self,
        shared: &mut Shared,
        key: &Key,
        rack: &Name,
        answer: Option<Answer>,
    ) {
        let Some(entry) = self.entries.get_mut(key) else { return };
        let service = entry.service.clone();
        let kind = answer.as_ref().map(|answer| Kind::from_code(answer.code));
        match kind {
            Some(None | Some(Kind::Failed)) => {
                shared.digests.freed(rack, &service);
                self.finish(shared, key, answer.unwrap_or_default());
            }
            Some(Some(kind)) if kind.ran() == Ran::No => {
                shared.digests.exhausted(rack, &service);
                self.wait_again(shared, key, rack);
            }
            Some(Some(_)) | None => {
                entry.runs += 1;
                let is_last = entry.runs >= RUNS_MAX;
                if is_last || !may_retry(shared, key, rack) {
                    let text = "the executors' answers were lost";
                    self.finish(shared, key, failure(Kind::Unknown, text));
                } else {
                    self.wait_again(shared, key, rack);
                }
            }
        }
    }

    /// Returns a request to the queue and dispatches it if the budget allows.
    fn wait_again(&mut self, shared: &mut Shared, key: &Key, rack: &Name) {
        let Some(entry) = self.entries.get_mut(key) else { return };
        entry.stage = Stage::Waiting;
        entry.tried.push(rack.clone());
        if entry.tried.len() > TRIED_MAX {
            entry.tried.remove(0);
        }
        self.waiting.insert((entry.until, key.clone()));
        // If the retry budget is exhausted, the request waits for the next tick.
        if may_retry(shared, key, rack) {
            self.dispatch(shared, key);
        }
    }

    fn finish(&mut self, shared: &Shared, key: &Key, mut answer: Answer) {
        let Some(entry) = self.entries.get_mut(key) else { return };
        self.waiting.remove(&(entry.until, key.clone()));
        let waited = entry.sent_us.saturating_sub(entry.arrived_us);
        let here = span("home", shared.me(), entry.arrived_us, waited);
        answer.spans.insert(0, here);
        let waiters = std::mem::take(&mut entry.waiters);
        if let Some(open) = self.open_of.get_mut(&key.customer) {
            *open = open.saturating_sub(1);
        }
        entry.stage = Stage::Done(Box::new(answer.clone()));
        self.done.push_back((shared.now + KEEP, key.clone()));
        for waiter in waiters {
            self.answer(waiter, answer.clone());
        }
    }

    fn answer(&mut self, to: Waiter, answer: Answer) {
        self.actions.push(Action::Answer(to, Box::new(answer)));
    }

    /// Expires requests, drops old answers and dispatches waiting requests.
    pub fn tick(&mut self, shared: &mut Shared) {
        self.expire(shared);
        self.forget(shared.now);
        let waiting: Vec<Key> = self.waiting.iter().map(|(_, key)| key.clone()).collect();
        let mut full: Vec<Name> = Vec::new();
        for key in waiting {
            let service = self.entries.get(&key).map(|entry| entry.service.clone());
            let service = service.unwrap_or_default();
            if !full.contains(&service) && !self.dispatch(shared, &key) {
                full.push(service);
            }
        }
    }

    /// Answers the waiting requests past their deadline.
    fn expire(&mut self, shared: &Shared) {
        let over = self.waiting.iter().take_while(|(until, _)| *until <= shared.now);
        let over: Vec<Key> = over.map(|(_, key)| key.clone()).collect();
        for key in over {
            let runs = self.entries.get(&key).map_or(0, |entry| entry.runs);
            let answer = if runs == 0 {
                failure(Kind::Expired, "no executor had a free slot in time")
            } else {
                failure(Kind::Unknown, "the executors' answers were lost")
            };
            self.finish(shared, &key, answer);
        }
    }

    /// Drops answers that are too old or too many.
    fn forget(&mut self, now: Instant) {
        while let Some((at, key)) = self.done.front() {
            if *at > now && self.done.len() <= KEEP_MAX {
                return;
            }
            self.entries.remove(key);
            self.done.pop_front();
        }
    }
}

/// Whether the retry budgets of the customer and of the rack's owner allow a retry.
fn may_retry(shared: &mut Shared, key: &Key, rack: &Name) -> bool {
    let now = shared.now;
    let owner = shared.rack_owner(rack).unwrap_or_default();
    shared.retries.allow_customer(&key.customer, now) && shared.retries.allow_peer(&owner, now)
}
