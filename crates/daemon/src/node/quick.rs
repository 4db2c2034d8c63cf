//! Quick requests at their home: deduplicated by id, sent to a rack with a free slot.
//!
//! Nothing here is durable: the requests are repeatable, so the loss of a home causes a
//! second run, never a wrong answer. A request waits at its home, not at an executor,
//! until a rack has a free slot; so none queues behind a slow request.

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::time::{Duration, Instant};

use common::{ErrorKind, Execution, Name};
use journal::event::RequestKey;
use settings::RequestSpec;
use wire::{Answer, Body};

use super::action::{Action, Refusal, Waiter, failure};
use super::call::Purpose;
use super::home::{span, to_wire};
use super::shared::Shared;
use crate::event::Event;

/// How long an answer is kept for repeated requests.
const ANSWER_RETENTION: Duration = Duration::from_mins(1);

/// Maximum number of answers kept.
const MAX_KEPT_ANSWERS: usize = 10_000;

/// Shortest interval between log lines about shed requests.
const SHED_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Lost answers after which a request ends with an unknown outcome.
const MAX_LOST_ANSWERS: u32 = 3;

/// Maximum number of racks remembered as tried without success.
const MAX_TRIED_RACKS: usize = 8;

/// Quick request on arrival at its home.
#[derive(Debug)]
pub struct Arrival {
    /// Parsed request.
    pub spec: RequestSpec,
    /// Service whose executors can run it.
    pub service: Name,
    /// Recipient of the answer.
    pub waiter: Waiter,
    /// Deadline of the request.
    pub deadline: Instant,
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
    spec: RequestSpec,
    service: Name,
    waiters: Vec<Waiter>,
    deadline: Instant,
    stage: Stage,
    /// Sends whose answers were lost, so that they may have run.
    lost_answers: u32,
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
    entries: HashMap<RequestKey, Entry>,
    /// Requests not sent, by deadline.
    waiting: BTreeSet<(Instant, RequestKey)>,
    /// Answered requests, with the time at which each answer is dropped.
    done: VecDeque<(Instant, RequestKey)>,
    actions: Vec<Action>,
    /// Number of unanswered requests by customer.
    open_by_customer: HashMap<Name, usize>,
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
        let key = RequestKey::from_spec(&arrival.spec);
        if let Some(entry) = self.entries.get_mut(&key) {
            if entry.spec != arrival.spec {
                let text = format!("request {key} was already submitted with a different body");
                return self.answer(arrival.waiter, failure(ErrorKind::IdTaken, text));
            }
            if let Stage::Done(answer) = &entry.stage {
                let answer = (**answer).clone();
                return self.answer(arrival.waiter, answer);
            }
            entry.waiters.push(arrival.waiter);
            return;
        }
        if let Err(refusal) = self.check_limits(shared, &key) {
            self.log_shed(shared, &key, &refusal);
            return self.answer(arrival.waiter, refusal.answer());
        }
        self.insert(shared, key, arrival);
    }

    /// Refuses a request over the queue limit or the customer's share.
    fn check_limits(&self, shared: &Shared, key: &RequestKey) -> Result<(), Refusal> {
        if self.waiting.len() >= shared.config.bounds.max_waiting_quick {
            let text = "too many quick requests are waiting for a slot";
            return Err(Refusal::new(ErrorKind::Overloaded, text));
        }
        let customer = &key.customer;
        let rules = shared.versions.rules.customers.get(customer);
        let members = shared.membership.live().len().max(1);
        // Twice the even share: ids are not distributed evenly over the homes.
        let share = rules
            .map_or(usize::MAX, |rules| (rules.max_open_requests as usize * 2 / members).max(1));
        let open = self.open_by_customer.get(customer).copied().unwrap_or(0);
        if open >= share {
            let text = format!("customer {customer} has {open} open quick requests on this daemon");
            return Err(Refusal::new(ErrorKind::Quota, text));
        }
        Ok(())
    }

    /// Logs that requests are shed, at most once a second.
    fn log_shed(&mut self, shared: &Shared, key: &RequestKey, refusal: &Refusal) {
        if self.shed_at.is_none_or(|at| shared.now >= at + SHED_LOG_INTERVAL) {
            self.shed_at = Some(shared.now);
            let text = format!("{key}: {}", refusal.text);
            self.actions.push(Action::Log(Event::RequestShed, text));
        }
    }

    fn insert(&mut self, shared: &mut Shared, key: RequestKey, arrival: Arrival) {
        let entry = Entry {
            spec: arrival.spec,
            service: arrival.service,
            waiters: vec![arrival.waiter],
            deadline: arrival.deadline,
            stage: Stage::Waiting,
            lost_answers: 0,
            tried: Vec::new(),
            trace: arrival.trace,
            arrived_us: shared.wall_us,
            sent_us: 0,
        };
        self.waiting.insert((entry.deadline, key.clone()));
        *self.open_by_customer.entry(key.customer.clone()).or_default() += 1;
        self.entries.insert(key.clone(), entry);
        self.dispatch(shared, &key);
    }

    /// Sends a waiting request to a rack with a free slot; false if there is none.
    fn dispatch(&mut self, shared: &mut Shared, key: &RequestKey) -> bool {
        let Some(entry) = self.entries.get_mut(key) else {
            return true;
        };
        let rack = shared.digests.choose_slot(&entry.service, &entry.tried, &mut shared.random);
        let Some(rack) = rack else {
            entry.tried.clear();
            return false;
        };
        let remaining = entry.deadline.saturating_duration_since(shared.now);
        let quick = wire::Quick {
            key: Some(to_wire(key)),
            rack: rack.to_string(),
            service: entry.service.to_string(),
            body: entry.spec.payload.clone().into_bytes(),
            remaining_ms: remaining.as_millis() as u64,
            trace: entry.trace.clone(),
        };
        entry.stage = Stage::Sent;
        if entry.sent_us == 0 {
            self.waits_us.push(shared.wall_us.saturating_sub(entry.arrived_us));
        }
        entry.sent_us = shared.wall_us;
        self.waiting.remove(&(entry.deadline, key.clone()));
        let purpose = Purpose::Quick { key: key.clone(), rack: rack.clone() };
        self.actions.push(Action::CallRack(rack, Body::Quick(quick), purpose));
        true
    }

    /// Handles a rack's answer; `None` if it was lost.
    pub fn handle_answer(
        &mut self,
        shared: &mut Shared,
        key: &RequestKey,
        rack: &Name,
        answer: Option<Answer>,
    ) {
        let Some(entry) = self.entries.get_mut(key) else { return };
        let service = entry.service.clone();
        let kind = answer.as_ref().map(|answer| ErrorKind::from_code(answer.code));
        match kind {
            Some(None | Some(ErrorKind::Failed)) => {
                shared.digests.release_slot(rack, &service);
                self.finish(shared, key, answer.unwrap_or_default());
            }
            Some(Some(kind)) if kind.execution() == Execution::No => {
                shared.digests.clear_slots(rack, &service);
                self.requeue(shared, key, rack);
            }
            Some(Some(_)) | None => {
                entry.lost_answers += 1;
                let is_last = entry.lost_answers >= MAX_LOST_ANSWERS;
                if is_last || !may_retry(shared, key, rack) {
                    let text = "the executors' answers were lost";
                    self.finish(shared, key, failure(ErrorKind::Unknown, text));
                } else {
                    self.requeue(shared, key, rack);
                }
            }
        }
    }

    /// Returns a request to the queue and dispatches it if the budget allows.
    fn requeue(&mut self, shared: &mut Shared, key: &RequestKey, rack: &Name) {
        let Some(entry) = self.entries.get_mut(key) else { return };
        entry.stage = Stage::Waiting;
        entry.tried.push(rack.clone());
        if entry.tried.len() > MAX_TRIED_RACKS {
            entry.tried.remove(0);
        }
        self.waiting.insert((entry.deadline, key.clone()));
        // If the retry budget is exhausted, the request waits for the next tick.
        if may_retry(shared, key, rack) {
            self.dispatch(shared, key);
        }
    }

    fn finish(&mut self, shared: &Shared, key: &RequestKey, mut answer: Answer) {
        let Some(entry) = self.entries.get_mut(key) else { return };
        self.waiting.remove(&(entry.deadline, key.clone()));
        let waited = entry.sent_us.saturating_sub(entry.arrived_us);
        let home_span = span("home", shared.own_name(), entry.arrived_us, waited);
        answer.spans.insert(0, home_span);
        let waiters = std::mem::take(&mut entry.waiters);
        if let Some(open) = self.open_by_customer.get_mut(&key.customer) {
            *open = open.saturating_sub(1);
        }
        entry.stage = Stage::Done(Box::new(answer.clone()));
        self.done.push_back((shared.now + ANSWER_RETENTION, key.clone()));
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
        self.drop_old_answers(shared.now);
        let waiting: Vec<RequestKey> = self.waiting.iter().map(|(_, key)| key.clone()).collect();
        let mut services_without_slot: Vec<Name> = Vec::new();
        for key in waiting {
            let service = self.entries.get(&key).map(|entry| entry.service.clone());
            let service = service.unwrap_or_default();
            if !services_without_slot.contains(&service) && !self.dispatch(shared, &key) {
                services_without_slot.push(service);
            }
        }
    }

    /// Answers the waiting requests past their deadline.
    fn expire(&mut self, shared: &Shared) {
        let expired = self.waiting.iter().take_while(|(deadline, _)| *deadline <= shared.now);
        let expired: Vec<RequestKey> = expired.map(|(_, key)| key.clone()).collect();
        for key in expired {
            let lost_answers = self.entries.get(&key).map_or(0, |entry| entry.lost_answers);
            let answer = if lost_answers == 0 {
                failure(ErrorKind::Expired, "no executor had a free slot before the deadline")
            } else {
                failure(ErrorKind::Unknown, "the executors' answers were lost")
            };
            self.finish(shared, &key, answer);
        }
    }

    /// Drops answers that are too old or too many.
    fn drop_old_answers(&mut self, now: Instant) {
        while let Some((at, key)) = self.done.front() {
            if *at > now && self.done.len() <= MAX_KEPT_ANSWERS {
                return;
            }
            self.entries.remove(key);
            self.done.pop_front();
        }
    }
}

/// Whether the retry budgets of the customer and of the rack's owner allow a retry.
fn may_retry(shared: &mut Shared, key: &RequestKey, rack: &Name) -> bool {
    let now = shared.now;
    let owner = shared.rack_owner(rack).unwrap_or_default();
    shared.retries.allow_customer(&key.customer, now) && shared.retries.allow_peer(&owner, now)
}
