//! Handlers of the calls to racks: calls from homes, calls to workers, quick requests.

use std::time::Duration;

use border::executors::{self, Call};
use border::workers::{AttemptId, CommandResult, RenewResult};
use common::{ErrorKind, Name};
use stakker::{CX, ret_some_to};
use wire::{Answer, Body};

use super::Node;
use super::action::{Waiter, failure};
use super::allocator::WorkerCall;
use super::home::span;
use super::homes::unconfirmed_answer;
use super::peers::decode_key;

/// Quick request in progress on an executor.
#[derive(Debug, Clone)]
struct ActiveQuick {
    rack: Name,
    executor: Name,
    from: Waiter,
    /// Unix microseconds.
    started_us: u64,
}

impl Node {
    // Calls from homes.

    /// Handles a home's request for a reservation.
    pub(super) fn handle_reserve(&mut self, cx: CX![], from: &Waiter, reserve: &wire::Reserve) {
        let grant = match self.allocators.get_mut(reserve.rack.as_str()) {
            Some(allocator)
                if self.shared.can_act_as_owner() && self.shared.has_confirmed_settings() =>
            {
                allocator.reserve(&self.shared, reserve)
            }
            _ => wire::Grant {
                code: ErrorKind::NoOwner.code(),
                text: "this daemon does not own the rack".to_owned(),
                ..Default::default()
            },
        };
        self.reply(cx, from, Body::Grant(grant));
    }

    /// Handles the release of unused reservations.
    pub(super) fn handle_release(&mut self, release: &wire::Release) {
        if let Some(allocator) = self.allocators.get_mut(release.rack.as_str()) {
            allocator.release(&release.reservations);
        }
    }

    /// Handles a home's request to start a task.
    pub(super) fn handle_start(&mut self, cx: CX![], from: &Waiter, start: &wire::Start) {
        let can_act_as_owner = self.shared.can_act_as_owner();
        let result = match self.allocators.get_mut(start.rack.as_str()) {
            Some(allocator) if can_act_as_owner => allocator.start(&self.shared, start),
            // Not the rack's owner: no start is sent from here. Only the rack's allocator
            // can guarantee that none was sent, so the home gets no reply and probes.
            _ => return,
        };
        let ack = match result {
            Ok(()) => wire::Ack::default(),
            Err(text) => wire::Ack { code: ErrorKind::NoOwner.code(), text },
        };
        self.reply(cx, from, Body::Ack(ack));
    }

    /// Handles a home's query about the state of an attempt.
    pub(super) fn handle_probe(&mut self, cx: CX![], from: &Waiter, probe: &wire::Probe) {
        let can_act_as_owner = self.shared.can_act_as_owner();
        let Some(allocator) =
            self.allocators.get_mut(probe.rack.as_str()).filter(|_| can_act_as_owner)
        else {
            return;
        };
        let report = allocator.probe(&self.shared, probe);
        self.reply(cx, from, Body::Report(report));
    }

    /// Handles a home's request to stop a task.
    pub(super) fn handle_stop(&mut self, stop: &wire::Stop) {
        if let Some(allocator) = self.allocators.get_mut(stop.rack.as_str()) {
            allocator.stop(&self.shared, stop);
        }
    }

    // Calls to workers.

    /// Sends the calls that the allocators have queued for workers.
    pub(super) fn send_worker_calls(&mut self, cx: CX![]) {
        let mut worker_calls = Vec::new();
        for allocator in self.allocators.values_mut() {
            let rack = allocator.name.clone();
            worker_calls.extend(
                allocator
                    .take_worker_calls()
                    .into_iter()
                    .map(|worker_call| (rack.clone(), worker_call)),
            );
        }
        for (rack, worker_call) in worker_calls {
            self.send_worker_call(cx, rack, worker_call);
        }
    }

    fn send_worker_call(&mut self, cx: CX![], rack: Name, worker_call: WorkerCall) {
        let workers = &mut self.interfaces.workers;
        match worker_call {
            WorkerCall::Start(worker, start) => {
                let run = start.run.clone();
                let ret = ret_some_to!([cx], on_start_answered(rack, run) as (CommandResult));
                workers.start(worker, start, ret);
            }
            WorkerCall::Stop(worker, stop) => {
                let to = worker.clone();
                let ret = ret_some_to!([cx], on_stop_answered(rack, worker) as (CommandResult));
                workers.stop(to, stop, ret);
            }
            WorkerCall::Renew(worker, renew) => {
                let forget = renew.forget.clone();
                let to = worker.clone();
                let ret =
                    ret_some_to!([cx], on_renew_answered(rack, worker, forget) as (RenewResult));
                workers.renew(to, renew, ret);
            }
        }
    }

    fn on_start_answered(&mut self, cx: CX![], rack: Name, run: AttemptId, result: CommandResult) {
        self.update_clock(cx);
        if let Some(allocator) = self.allocators.get_mut(&rack) {
            allocator.handle_start_result(&self.shared, &run, result);
        }
        self.perform_actions(cx);
    }

    /// The next renewal shows whether the task stopped; if not, the home repeats the stop.
    fn on_stop_answered(&mut self, cx: CX![], rack: Name, worker: Name, _result: CommandResult) {
        self.update_clock(cx);
        if let Some(allocator) = self.allocators.get_mut(&rack) {
            allocator.renew_soon(&worker, self.shared.now);
        }
    }

    fn on_renew_answered(
        &mut self,
        cx: CX![],
        rack: Name,
        worker: Name,
        forget: Vec<AttemptId>,
        result: RenewResult,
    ) {
        self.update_clock(cx);
        if let Some(allocator) = self.allocators.get_mut(&rack) {
            allocator.handle_renewal(&self.shared, &worker, forget, result);
        }
        self.perform_actions(cx);
    }

    // Quick requests.

    /// Runs a quick request on an executor of the rack, if a slot is free.
    pub(super) fn handle_quick(&mut self, cx: CX![], from: Waiter, quick: wire::Quick) {
        if !self.shared.has_confirmed_settings() {
            return self.answer(cx, from, unconfirmed_answer());
        }
        let now = self.shared.now;
        let can_act_as_owner = self.shared.can_act_as_owner();
        let allocator = self.allocators.get_mut(quick.rack.as_str());
        let Some(allocator) =
            allocator.filter(|allocator| can_act_as_owner && !allocator.is_handing_over)
        else {
            let text = "this daemon does not own the rack";
            return self.answer(cx, from, failure(ErrorKind::NoOwner, text));
        };
        let Ok(executor) = allocator.rack.allocate_slot(&quick.service, &[], now) else {
            let text = "no executor of the rack has a free slot";
            return self.answer(cx, from, failure(ErrorKind::Overloaded, text));
        };
        let active = ActiveQuick {
            rack: Name::from(quick.rack),
            executor: executor.clone(),
            from,
            started_us: self.shared.wall_us,
        };
        let key = decode_key(quick.key.as_ref());
        let call = Call {
            executor,
            request: key.to_string(),
            trace: quick.trace,
            payload: quick.body,
            timeout: Duration::from_millis(quick.remaining_ms.max(1)),
        };
        self.metrics.count_placement();
        let ret = ret_some_to!([cx], on_quick_answered(active) as (executors::CallResult));
        self.interfaces.executors.call(call, ret);
    }

    fn on_quick_answered(&mut self, cx: CX![], active: ActiveQuick, result: executors::CallResult) {
        self.update_clock(cx);
        let success = match &result {
            Ok(_) => Some(true),
            Err(error) if error.may_have_taken_effect() => Some(false),
            Err(border::Error::Refused { .. }) => Some(false),
            Err(_) => None,
        };
        if let Some(allocator) = self.allocators.get_mut(&active.rack) {
            allocator.rack.release_slot(&active.executor, success, self.shared.now);
        }
        let sent_at_us = result.as_ref().map_or(0, |reply| reply.sent_at_us).max(active.started_us);
        let mut answer = to_answer(result);
        let queued = sent_at_us - active.started_us;
        let length = self.shared.wall_us.saturating_sub(sent_at_us);
        answer.spans.push(span("rack", self.shared.own_name(), active.started_us, queued));
        answer.spans.push(span("executor", &active.executor, sent_at_us, length));
        answer.worker = active.executor.to_string();
        self.answer(cx, active.from, answer);
        self.perform_actions(cx);
    }
}

/// Converts an executor's result to the caller's answer.
fn to_answer(result: executors::CallResult) -> Answer {
    match result {
        Ok(reply) if reply.is_ok => {
            Answer { state: "done".to_owned(), body: reply.body, ..Answer::default() }
        }
        Ok(reply) => failure(ErrorKind::Failed, String::from_utf8_lossy(&reply.body)),
        Err(error) if error.may_have_taken_effect() => {
            failure(ErrorKind::Unknown, error.to_string())
        }
        Err(error) => failure(ErrorKind::Overloaded, error.to_string()),
    }
}
