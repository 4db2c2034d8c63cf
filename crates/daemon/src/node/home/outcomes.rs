//! Outcomes of attempts: reports, retries, probes and the resulting answers.

use std::time::Duration;

use common::ErrorKind;
use journal::event::{Answer, AttemptPlacement, Event, Outcome, RequestKey};
use journal::request_table::{Request, State, Task};
use settings::rules::Mode;
use wire::{AttemptStatus, Body};

use super::status::task_results;
use super::{AttemptEnd, FollowUp, Home, from_wire, to_wire};
use crate::node::action::{Action, Waiter};
use crate::node::call::Purpose;
use crate::node::shared::Shared;

/// Interval between probes of attempts that the rack's current owner has not confirmed.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Number of spans of a request after which further reports' spans are dropped.
const MAX_SPANS: usize = 64;

impl Home {
    /// Handles a rack owner's report about an attempt.
    pub fn handle_report(&mut self, shared: &Shared, report: wire::Report, ack: Option<Waiter>) {
        let Some(key) = report.key.as_ref().map(from_wire) else {
            return;
        };
        let (task, attempt) = (report.task, report.attempt);
        if self.current_place(&key, task, attempt).is_none() {
            if self.is_outcome_pending(&key, task, attempt) {
                // Not acknowledged: the rack must keep the attempt until its outcome is durable.
                return;
            }
            if let Some(waiter) = ack {
                let text = "not the current attempt".to_owned();
                self.actions.push(Action::Ack(waiter, Some(ErrorKind::NotFound), text));
            }
            return;
        }
        self.keep_spans(&key, &report);
        let text = report.text.clone();
        match AttemptStatus::from_code(report.fate) {
            AttemptStatus::Running => {
                self.confirm(shared, &key, task, attempt);
                if let Some(waiter) = ack {
                    self.actions.push(Action::Ack(waiter, None, String::new()));
                }
            }
            AttemptStatus::Undetermined => {}
            AttemptStatus::NotSent => {
                self.retry_task(&key, task, attempt, AttemptEnd::NotSent, text, ack);
            }
            AttemptStatus::Done => self.end_attempt(shared, &key, &report, Outcome::Done, ack),
            AttemptStatus::Failed => {
                self.handle_failure(shared, &key, &report, Outcome::Failed, ack);
            }
            AttemptStatus::Stopped => self.handle_stopped(shared, &key, &report, ack),
            AttemptStatus::NotFound | AttemptStatus::LeaseExpired => {
                self.handle_failure(shared, &key, &report, Outcome::Unknown, ack);
            }
        }
    }

    /// Whether an attempt is started in the durable request table, so its end is pending.
    pub(super) fn is_outcome_pending(&self, key: &RequestKey, task: u32, attempt: u32) -> bool {
        let request = self.request_table.get(key).filter(|request| request.answer.is_none());
        let task = request.and_then(|request| request.tasks.get(task as usize));
        task.and_then(Task::place).is_some_and(|place| place.attempt == attempt)
    }

    /// Adds a report's spans to the request's trace.
    pub(super) fn keep_spans(&mut self, key: &RequestKey, report: &wire::Report) {
        if let Some(progress) = self.progress.get_mut(key)
            && progress.spans.len() < MAX_SPANS
        {
            progress.spans.extend(report.spans.iter().cloned());
        }
    }

    /// Handles an attempt that failed or was lost: retries its task, or ends it.
    pub(super) fn handle_failure(
        &mut self,
        shared: &Shared,
        key: &RequestKey,
        report: &wire::Report,
        outcome: Outcome,
        ack: Option<Waiter>,
    ) {
        if self.may_retry(key, report.task) {
            let (task, attempt) = (report.task, report.attempt);
            self.retry_task(key, task, attempt, AttemptEnd::Ran, report.text.clone(), ack);
        } else {
            self.end_attempt(shared, key, report, outcome, ack);
        }
    }

    /// Handles a stopped attempt: retries its task if repeatable and not cancelled.
    pub(super) fn handle_stopped(
        &mut self,
        shared: &Shared,
        key: &RequestKey,
        report: &wire::Report,
        ack: Option<Waiter>,
    ) {
        let is_repeatable =
            self.latest_request(key).is_some_and(|request| request.terms.is_repeatable);
        let is_cancelling = self.latest_request(key).is_some_and(|request| request.is_cancelling);
        if is_repeatable && !is_cancelling {
            let end = if report.has_yielded { AttemptEnd::Preempted } else { AttemptEnd::Ran };
            self.retry_task(key, report.task, report.attempt, end, report.text.clone(), ack);
        } else {
            self.end_attempt(shared, key, report, Outcome::Stopped, ack);
        }
    }

    /// Whether a task may run again after a failure; services have no limit.
    pub(super) fn may_retry(&self, key: &RequestKey, task: u32) -> bool {
        let Some(request) = self.latest_request(key) else {
            return false;
        };
        let failures = request.tasks.get(task as usize).map_or(0, |task| task.failures);
        let has_attempts_left =
            failures + 1 < request.terms.attempts || request.terms.mode == Mode::Service;
        request.terms.is_repeatable && has_attempts_left && !request.is_cancelling
    }

    /// Records a task's outcome, and the request's answer after the last task.
    ///
    /// A gang is cancelled if one of its tasks ends without success.
    pub(super) fn end_attempt(
        &mut self,
        shared: &Shared,
        key: &RequestKey,
        report: &wire::Report,
        outcome: Outcome,
        ack: Option<Waiter>,
    ) {
        let Some(request) = self.open_request(key) else { return };
        let result = match outcome {
            Outcome::Done => String::from_utf8_lossy(&report.body).into_owned(),
            Outcome::Failed | Outcome::Stopped | Outcome::Unknown => report.text.clone(),
        };
        let answer = answer_after(request, report.task, outcome, &result, shared.wall_ms());
        let is_last = answer.is_some();
        let should_stop_gang =
            !is_last && outcome != Outcome::Done && request.terms.mode == Mode::Gang;
        let event = Event::Ended {
            key: key.clone(),
            task: report.task,
            attempt: report.attempt,
            outcome,
            result,
        };
        // An outcome that closes the request is acknowledged only with the durable answer.
        let (first_ack, last_ack) = if is_last { (None, ack) } else { (ack, None) };
        self.append(event, FollowUp::Nothing, first_ack);
        if let Some(answer) = answer {
            self.close(key, answer, last_ack);
        } else if should_stop_gang {
            self.append(Event::Cancelling { key: key.clone() }, FollowUp::Cancelling, None);
        }
    }

    /// Handles the answer to a non-repeatable quick request; `None` if it was lost.
    pub fn handle_quick_answer(
        &mut self,
        shared: &Shared,
        key: &RequestKey,
        attempt: u32,
        answer: Option<wire::Answer>,
    ) {
        let kind = answer.as_ref().map(|answer| ErrorKind::from_code(answer.code));
        let mut report = wire::Report { key: Some(to_wire(key)), attempt, ..Default::default() };
        if let Some(answer) = answer {
            report.body = answer.body;
            report.text = answer.text;
            report.spans = answer.spans;
            report.worker = answer.worker;
        }
        let status = match kind {
            Some(None) => AttemptStatus::Done,
            Some(Some(ErrorKind::Failed)) => AttemptStatus::Failed,
            Some(Some(kind)) if kind.execution() == common::Execution::No => AttemptStatus::NotSent,
            _ => AttemptStatus::LeaseExpired,
        };
        if status == AttemptStatus::LeaseExpired {
            "the executor's answer was lost".clone_into(&mut report.text);
        }
        report.fate = status.code();
        self.handle_report(shared, report, None);
    }

    /// Resumes a request found open in a recovered request table.
    ///
    /// A started quick request gets the outcome of a lost answer.
    pub(super) fn resume(&mut self, shared: &Shared, key: &RequestKey) {
        let Some(request) = self.request_table.get(key) else { return };
        if let Some(progress) = self.progress.get_mut(key) {
            progress.wants_cancel = request.is_cancelling;
        }
        let is_quick = request.terms.mode == Mode::Quick;
        let place = request.tasks.first().and_then(Task::place).filter(|_| is_quick).cloned();
        if let Some(place) = place {
            self.handle_quick_answer(shared, key, place.attempt, None);
        }
    }

    /// Probes attempts that their rack's current owner has not confirmed.
    ///
    /// Stops of cancelled requests are sent again.
    pub(super) fn probe_running(&mut self, shared: &Shared) {
        let mut probes = Vec::new();
        let mut stops = Vec::new();
        for key in &self.running {
            let (Some(request), Some(progress)) =
                (self.request_table.get(key), self.progress.get_mut(key))
            else {
                continue;
            };
            let is_due = progress.probed_at.is_none_or(|at| at + PROBE_INTERVAL <= shared.now);
            if request.terms.mode == Mode::Quick || progress.pending > 0 || !is_due {
                continue;
            }
            let places = request.tasks.iter().filter_map(Task::place);
            let unconfirmed = places.filter(|place| {
                let epoch = shared.rack_epoch(&place.rack);
                epoch.is_none() || progress.confirmed.get(&place.task).copied() != epoch
            });
            let probes_before = probes.len();
            probes.extend(unconfirmed.map(|place| (key.clone(), place.clone())));
            if request.is_cancelling {
                progress.stops_sent.clear();
                stops.push(key.clone());
            }
            if probes.len() > probes_before || request.is_cancelling {
                progress.probed_at = Some(shared.now);
            }
        }
        for key in stops {
            self.send_stops(&key);
        }
        for (key, place) in probes {
            self.probe(&key, &place);
        }
    }

    /// Asks a rack's owner for the state of an attempt.
    pub(super) fn probe(&mut self, key: &RequestKey, place: &AttemptPlacement) {
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
        self.actions.push(Action::CallRack(place.rack.clone(), Body::Probe(probe), purpose));
    }
}

/// Answer of a cancelled request: `Cancelled` if no task ran, otherwise `Stopped`.
pub(super) fn cancelled_answer(request: &Request, at_ms: i64) -> Answer {
    if request.tasks.iter().all(Task::never_ran) {
        closing_answer(ErrorKind::Cancelled, "cancelled before any start", request, at_ms)
    } else {
        closing_answer(ErrorKind::Stopped, "cancelled after a start", request, at_ms)
    }
}

/// Builds an answer with the results that the tasks have so far.
pub(super) fn closing_answer(kind: ErrorKind, text: &str, request: &Request, at_ms: i64) -> Answer {
    Answer { code: kind.code(), text: text.to_owned(), results: task_results(request), at_ms }
}

/// Answer of a request after a task ended; `None` if others are unfinished.
pub(super) fn answer_after(
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
            State::Waiting if request.is_cancelling => {}
            State::Started(_) | State::Waiting => return None,
            State::Ended { outcome, .. } => outcomes.push(*outcome),
        }
    }
    let has = |wanted| outcomes.contains(&wanted);
    let kind = if has(Outcome::Unknown) {
        Some(ErrorKind::Unknown)
    } else if has(Outcome::Failed) {
        Some(ErrorKind::Failed)
    } else if has(Outcome::Stopped) || outcomes.len() < request.tasks.len() {
        Some(ErrorKind::Stopped)
    } else {
        None
    };
    let mut results = task_results(request);
    result.clone_into(&mut results[task as usize]);
    let text = if kind.is_some() { result.to_owned() } else { String::new() };
    Some(Answer { code: kind.map_or(0, ErrorKind::code), text, results, at_ms })
}
