//! Submissions, queries and cancellations, and their timeouts.

use std::time::Instant;

use common::ErrorKind;
use journal::event::{Event, RequestKey};
use journal::request_table::{Request, Task};
use settings::RequestSpec;
use settings::rules::Mode;
use wire::Body;

use super::outcomes::{cancelled_answer, closing_answer};
use super::{FollowUp, Home, Progress, Submission, WaitingCaller, to_wire};
use crate::node::action::{Action, Refusal, Waiter, failure};
use crate::node::shared::Shared;

impl Home {
    /// Admits a request, or adds the caller to an identical existing one.
    pub fn submit(&mut self, shared: &mut Shared, submission: Submission) {
        let key = RequestKey::from_spec(&submission.spec);
        if let Some(spec) = self.find_spec(&key) {
            if *spec == submission.spec {
                self.join(&key, submission.caller);
            } else {
                let text = format!("request {key} was already submitted with a different body");
                self.answer(submission.caller.waiter, failure(ErrorKind::IdTaken, text));
            }
            return;
        }
        if let Err(refusal) = self.check_admission(shared, &submission) {
            self.answer(submission.caller.waiter, refusal.answer());
            return;
        }
        self.admit(key, submission);
    }

    /// Specification of a request, even if its admission is not durable yet.
    pub(super) fn find_spec(&self, key: &RequestKey) -> Option<&RequestSpec> {
        let admitted = self.request_table.get(key).map(|request| &request.spec);
        let unrecorded = self.progress.get(key).and_then(|progress| progress.admission.as_ref());
        admitted.or(unrecorded.map(|(spec, _, _)| spec))
    }

    /// Checks whether a new request can be admitted.
    pub(super) fn check_admission(
        &self,
        shared: &mut Shared,
        submission: &Submission,
    ) -> Result<(), Refusal> {
        if self.is_handing_over {
            return Err(Refusal::new(
                ErrorKind::NoOwner,
                "the partition is moving to another daemon",
            ));
        }
        if shared.store.is_down() {
            return Err(Refusal::new(
                ErrorKind::StoreDown,
                "the table does not respond; the request was not stored",
            ));
        }
        if self.progress.len() >= shared.config.bounds.max_kept_requests {
            return Err(Refusal::new(ErrorKind::Overloaded, "the partition's queue is full"));
        }
        let customer = &submission.spec.customer;
        let open = shared.usages.total(customer).open;
        let rules = shared.versions.rules.customers.get(customer);
        if rules.is_some_and(|rules| open >= rules.max_open_requests) {
            let text = format!("customer {customer} has {open} open requests, which is its limit");
            return Err(Refusal::new(ErrorKind::Quota, text));
        }
        Ok(())
    }

    /// Records an admission; the caller is answered once it is durable.
    pub(super) fn admit(&mut self, key: RequestKey, submission: Submission) {
        let Submission { spec, terms, caller, trace, arrived_us } = submission;
        let event = Event::Admitted { key: key.clone(), spec: spec.clone(), terms: terms.clone() };
        let progress =
            Progress { waiting_callers: vec![caller], trace, arrived_us, ..Progress::default() };
        self.progress.insert(key.clone(), progress);
        let token = self.append(event, FollowUp::Admitted, None);
        if let Some(progress) = self.progress.get_mut(&key) {
            progress.admission = Some((spec, terms, token));
        }
    }

    /// Adds a caller to a request; answers at once if nothing is pending for it.
    pub(super) fn join(&mut self, key: &RequestKey, caller: WaitingCaller) {
        let is_closed = self.request_table.get(key).is_some_and(|request| request.answer.is_some());
        let is_admitted = self.request_table.get(key).is_some();
        if is_closed || (is_admitted && !caller.wants_result) {
            let answer = self.describe(key);
            self.answer(caller.waiter, answer);
        } else if let Some(progress) = self.progress.get_mut(key) {
            progress.waiting_callers.push(caller);
        }
    }

    /// Answers with the state of a request, or waits for its result.
    pub fn query(&mut self, key: &RequestKey, caller: WaitingCaller) {
        if self.find_spec(key).is_none() {
            let text = format!("no request {key}");
            self.answer(caller.waiter, failure(ErrorKind::NotFound, text));
        } else {
            self.join(key, caller);
        }
    }

    /// Cancels a request; the caller gets the request's final answer.
    pub fn cancel(&mut self, shared: &Shared, key: &RequestKey, waiter: Waiter, deadline: Instant) {
        if self.find_spec(key).is_none() {
            let text = format!("no request {key}");
            return self.answer(waiter, failure(ErrorKind::NotFound, text));
        }
        self.join(key, WaitingCaller { waiter, deadline, wants_result: true });
        if let Some(progress) = self.progress.get_mut(key) {
            progress.wants_cancel = true;
        }
        self.advance_cancel(shared, key);
    }

    /// Takes the next step of a cancellation: record, stop tasks, or close.
    pub(super) fn advance_cancel(&mut self, shared: &Shared, key: &RequestKey) {
        let Some(request) = self.open_request(key) else {
            return;
        };
        let is_recorded = request.is_cancelling;
        if request.tasks.iter().any(Task::is_started) {
            if is_recorded {
                self.send_stops(key);
            } else {
                let event = Event::Cancelling { key: key.clone() };
                self.append(event, FollowUp::Cancelling, None);
            }
            return;
        }
        let answer = cancelled_answer(request, shared.wall_ms());
        self.close(key, answer, None);
    }

    /// State of a request after its pending events.
    pub(super) fn latest_request(&self, key: &RequestKey) -> Option<&Request> {
        self.projected.get(key).or_else(|| self.request_table.get(key))
    }

    /// State of a durably admitted request; `None` if closed, even by a pending event.
    pub(super) fn open_request(&self, key: &RequestKey) -> Option<&Request> {
        self.request_table.get(key)?;
        self.latest_request(key).filter(|request| request.answer.is_none())
    }

    /// Sends missing stops to started tasks; quick requests cannot be stopped.
    pub(super) fn send_stops(&mut self, key: &RequestKey) {
        let (Some(request), Some(progress)) =
            (self.request_table.get(key), self.progress.get_mut(key))
        else {
            return;
        };
        let places = request.tasks.iter().filter_map(Task::place);
        for place in places.filter(|_| request.terms.mode != Mode::Quick) {
            if progress.stops_sent.insert(place.task) {
                let stop = wire::Stop {
                    key: Some(to_wire(key)),
                    rack: place.rack.to_string(),
                    worker: place.worker.to_string(),
                    task: place.task,
                    attempt: place.attempt,
                    checkpoint: false,
                };
                self.actions.push(Action::NotifyRack(place.rack.clone(), Body::Stop(stop)));
            }
        }
    }

    /// Answers the callers whose deadline passed.
    pub(super) fn expire_waits(&mut self, shared: &Shared) {
        let has_timed_out = |caller: &WaitingCaller| caller.deadline <= shared.now;
        let timed_out = self
            .progress
            .iter()
            .filter(|(_, progress)| progress.waiting_callers.iter().any(has_timed_out));
        let timed_out: Vec<RequestKey> = timed_out.map(|(key, _)| key.clone()).collect();
        for key in timed_out {
            let admission =
                self.progress.get(&key).and_then(|progress| progress.admission.as_ref());
            match admission.map(|(_, _, token)| *token) {
                Some(token) => self.abandon_admission(&key, token),
                None => self.answer_timed_out(&key, shared.now),
            }
        }
    }

    /// Answers the callers of an admission that was not durable by their deadline.
    ///
    /// While the event is in no segment, it is withdrawn, and the request has certainly
    /// not run. Once a segment is being committed, the admission may become durable, so the
    /// outcome is unknown.
    pub(super) fn abandon_admission(&mut self, key: &RequestKey, token: u64) {
        let is_withdrawn = self.writer.withdraw(token).is_some();
        if is_withdrawn {
            self.pending.remove(&token);
        }
        let answer = if is_withdrawn {
            failure(ErrorKind::StoreDown, "the request could not be stored in time; it did not run")
        } else {
            let text = "the request may have been stored; retry with the same id";
            failure(ErrorKind::Unknown, text)
        };
        let waiting_callers = self
            .progress
            .get_mut(key)
            .map(|progress| std::mem::take(&mut progress.waiting_callers));
        if is_withdrawn {
            self.progress.remove(key);
            self.projected.remove(key);
        }
        for caller in waiting_callers.unwrap_or_default() {
            self.answer(caller.waiter, answer.clone());
        }
    }

    /// Answers a request's callers whose deadline passed with its current state.
    pub(super) fn answer_timed_out(&mut self, key: &RequestKey, now: Instant) {
        let answer = self.describe(key);
        let Some(progress) = self.progress.get_mut(key) else { return };
        let timed_out: Vec<WaitingCaller> =
            progress.waiting_callers.extract_if(.., |caller| caller.deadline <= now).collect();
        for caller in timed_out {
            self.answer(caller.waiter, answer.clone());
        }
    }

    /// Closes requests whose start deadline passed before any task ran.
    ///
    /// A request that is reserving is left open until that is over.
    pub(super) fn expire_requests(&mut self, shared: &Shared) {
        let wall_ms = shared.wall_ms();
        let expired = self.expiries.iter().take_while(|(at, _)| *at <= wall_ms);
        let expired: Vec<RequestKey> = expired.map(|(_, key)| key.clone()).collect();
        for key in expired {
            let is_reserving =
                self.progress.get(&key).is_some_and(|progress| progress.is_reserving);
            let Some(request) = self.open_request(&key).filter(|_| !is_reserving) else {
                continue;
            };
            if request.tasks.iter().all(Task::never_ran) {
                let text = "the start deadline passed while the request waited";
                let answer = closing_answer(ErrorKind::Expired, text, request, wall_ms);
                self.close(&key, answer, None);
            }
        }
    }
}
