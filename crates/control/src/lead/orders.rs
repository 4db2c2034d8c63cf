//! Orders to workers to start and stop runs.
//!
//! A start whose reply is lost is sent again, which is idempotent at the worker; if no reply
//! arrives, the run is stopped, and the worker then refuses a late start. The task and its
//! capacity stay allocated until [`scheduler::Fate`] proves that the run has not started, or the
//! worker no longer lists it, or its lease expires.

use std::collections::HashMap;
use std::time::Duration;

use scheduler::{
    Assignment, Fate, NotStarted, Phase, Refusal, RunState, StartOrder, StopMark, StopOrder,
};

use crate::action::Action;
use crate::event::{log_event, log_job_event};
use crate::input::OrderReply;
use crate::lead::Leader;
use crate::load::Late;
use crate::meter::{Counter, Timing};
use crate::node::Context;

/// Timeout of a start; it is then sent again.
const START_TIMEOUT: Duration = Duration::from_millis(350);

/// Sends of a start without a reply before the run is stopped.
const MAX_START_SENDS: u32 = 3;

/// Age of the latest commit above which a start is not sent again.
///
/// A worker's new incarnation has seen no fencing token, so it would accept orders from a
/// former leader.
const MAX_COMMIT_AGE_FOR_RESEND: Duration = Duration::from_millis(600);

/// Timeout of a stop; it is then sent again.
const STOP_TIMEOUT: Duration = Duration::from_millis(350);

/// Delay before a stop that failed is sent again.
const STOP_RETRY_DELAY: Duration = Duration::from_millis(100);

/// An order whose reply is outstanding.
#[derive(Debug)]
enum Pending {
    /// A start, and how often it was sent.
    Start { start: StartOrder, sends: u32 },
    /// A stop, and the sends of the start that it makes ineffective; none if the run is unknown.
    Stop { stop: StopOrder, mark: Option<StopMark> },
}

/// Orders under way, and stops to retry.
#[derive(Debug, Default)]
pub(crate) struct Orders {
    /// Orders without a reply, by call number, with the time at which each was sent.
    pending: HashMap<u64, (Duration, Pending)>,
    /// Stops that failed, with the time of their retry.
    stop_retries: Vec<(Duration, StopOrder)>,
}

impl Leader {
    /// Sends a start whose placement is durable.
    pub(super) fn send_start(&mut self, ctx: &mut Context, start: StartOrder) {
        self.try_start(ctx, start, 0);
    }

    /// Sends a start that was sent `sends` times before, or withdraws it.
    fn try_start(&mut self, ctx: &mut Context, start: StartOrder, sends: u32) {
        let now = ctx.now;
        let Some(worker) = self.scheduler.pool.get_mut(&start.worker) else { return };
        let Some(assignment) = worker.assignment_mut(&start.key, start.run) else { return };
        if !matches!(assignment.state, RunState::Committing | RunState::Sent) {
            return;
        }
        let is_first = assignment.state == RunState::Committing;
        let may_send = self.scheduler.may_send(&start);
        let Some(job) = self.scheduler.jobs.get(&start.key.job) else { return };
        let queue = self.scheduler.queue(&job.queue);
        let needs_ticket = queue.is_some_and(|queue| queue.advice.is_some());
        let ticket = job.ticket(start.key.step, &start.worker, now);
        let checkpoint = job.checkpoint(&start.key);
        let payload = job.submission.payload.clone();
        let has_ended = job.phase != Phase::Open;
        let is_withdrawn = has_ended || (needs_ticket && ticket.is_none());
        let address = self.leases.address(&start.worker);
        let lease_end_ms = self.leases.extend_lease(ctx, &start.worker, START_TIMEOUT);
        let max_connections = self.max_connections(&start.worker);
        let (Some(address), Some(lease_end_ms), Some(checkpoint), true, false) =
            (address, lease_end_ms, checkpoint, may_send, has_ended || (is_withdrawn && is_first))
        else {
            self.withdraw(ctx, start, is_first && is_withdrawn && needs_ticket);
            return;
        };
        if let Some(worker) = self.scheduler.pool.get_mut(&start.worker)
            && let Some(assignment) = worker.assignment_mut(&start.key, start.run)
        {
            assignment.state = RunState::Sent;
            assignment.changed_at = now;
            assignment.fate.record_send();
        }
        let call = ctx.next_call_id();
        ctx.actions.push(Action::Start {
            call,
            start: start.clone(),
            address,
            max_connections,
            payload,
            fencing_token: self.epoch,
            lease_end_ms,
            checkpoint,
            ticket,
            timeout: START_TIMEOUT,
        });
        self.orders.pending.insert(call, (now, Pending::Start { start, sends: sends + 1 }));
    }

    /// Withdraws a start; stops the run if it was sent before.
    fn withdraw(&mut self, ctx: &mut Context, start: StartOrder, lacks_ticket: bool) {
        let refusal = if lacks_ticket { Refusal::Ticket } else { Refusal::Withdrawn };
        self.settle_start(ctx, start, refusal);
    }

    /// Releases a run that has not started; stops it if it may have.
    fn settle_start(&mut self, ctx: &mut Context, start: StartOrder, refusal: Refusal) {
        match self.scheduler.not_started(&start) {
            Some(proof) if refusal != Refusal::StaleRun => {
                self.record_not_started(ctx, &start, proof, refusal);
            }
            // The worker's next listing decides about a run that it has confirmed.
            _ if self.fate_mut(&start).is_some_and(|fate| fate.is_seen()) => {}
            _ => self.scheduler.stop(start.key, start.run, start.worker),
        }
    }

    /// Logs and counts a start that did not happen, and releases its capacity.
    fn record_not_started(
        &mut self,
        ctx: &mut Context,
        start: &StartOrder,
        proof: NotStarted,
        refusal: Refusal,
    ) {
        ctx.meter.add(Counter::StartsRejected, refusal_label(refusal), 1);
        log_job_event!(ctx, &start.key.job, TaskNotStarted, "step" => start.key.step,
            "index" => start.key.index, "run" => start.run, "worker" => %start.worker,
            "reason" => refusal_label(refusal), "epoch" => self.epoch);
        let store_clock_ms = self.store_time_ms(ctx.now);
        self.scheduler.reject_start(start, proof, refusal, ctx.now, store_clock_ms);
    }

    /// The connections that a worker's service allows to it.
    fn max_connections(&self, id: &str) -> Option<u32> {
        let worker = self.scheduler.pool.get(id)?;
        self.scheduler.max_connections(&worker.registration.service)
    }

    /// Sends a stop.
    pub(super) fn send_stop(&mut self, ctx: &mut Context, stop: StopOrder) {
        let Some(address) = self.leases.address(&stop.worker) else { return };
        let max_connections = self.max_connections(&stop.worker);
        log_job_event!(ctx, &stop.key.job, TaskStopRequested, "step" => stop.key.step,
            "index" => stop.key.index, "run" => stop.run, "worker" => %stop.worker,
            "epoch" => self.epoch);
        let assignment = self.scheduler.pool.get_mut(&stop.worker);
        let assignment = assignment.and_then(|worker| worker.assignment_mut(&stop.key, stop.run));
        let mark = assignment.map(|assignment| assignment.fate.mark_stop());
        let call = ctx.next_call_id();
        ctx.actions.push(Action::Stop {
            call,
            stop: stop.clone(),
            address,
            max_connections,
            fencing_token: self.epoch,
            timeout: STOP_TIMEOUT,
        });
        self.orders.pending.insert(call, (ctx.now, Pending::Stop { stop, mark }));
    }

    /// Resends the failed stops that are due and still needed.
    pub(super) fn resend_stops(&mut self, ctx: &mut Context) {
        let now = ctx.now;
        let due = self.orders.stop_retries.extract_if(.., |(at, _)| *at <= now);
        let due: Vec<StopOrder> = due.map(|(_, stop)| stop).collect();
        for stop in due {
            let worker = self.scheduler.pool.get_mut(&stop.worker);
            let assignment = worker.and_then(|worker| worker.assignment_mut(&stop.key, stop.run));
            let needs_stop = |assignment: &mut Assignment| match assignment.state {
                RunState::Stopping => true,
                RunState::Stopped => assignment.fate.has_unanswered_send(),
                _ => false,
            };
            if assignment.is_some_and(needs_stop) {
                self.send_stop(ctx, stop);
            }
        }
    }

    /// Applies the reply to a start or stop.
    pub(super) fn apply_order_reply(&mut self, ctx: &mut Context, call: u64, reply: OrderReply) {
        match self.orders.pending.remove(&call) {
            Some((sent, Pending::Start { start, sends })) => {
                self.on_start_reply(ctx, start, sends, sent, reply);
            }
            Some((sent, Pending::Stop { stop, mark })) => {
                self.on_stop_reply(ctx, stop, mark, sent, &reply);
            }
            None => ctx.load.count_late(Late::Order),
        }
    }

    fn on_start_reply(
        &mut self,
        ctx: &mut Context,
        start: StartOrder,
        sends: u32,
        sent: Duration,
        reply: OrderReply,
    ) {
        let now = ctx.now;
        match reply {
            OrderReply::Done { clock_ms } => {
                self.leases.update_clock(ctx, &start.worker, clock_ms, sent);
                self.record_started(ctx, &start);
                self.scheduler.confirm_start(&start, now);
            }
            OrderReply::Refused { clock_ms, reason } => {
                self.leases.update_clock(ctx, &start.worker, clock_ms, sent);
                if reason == Refusal::StaleToken {
                    self.journal.request_commit();
                }
                if let Some(fate) = self.fate_mut(&start) {
                    fate.record_without_effect(now);
                }
                self.settle_start(ctx, start, reason);
            }
            OrderReply::OtherIncarnation => {
                if !self.abandon_if_gone(ctx, &start.worker, sent) {
                    self.on_start_without_effect(ctx, start, sends);
                }
            }
            // The worker is not silent, but other orders keep its connections in use.
            OrderReply::NotSent if self.leases.has_answered_since(&start.worker, sent) => {
                if let Some(fate) = self.fate_mut(&start) {
                    fate.record_without_effect(now);
                }
                self.resend_start(ctx, start, sends);
            }
            OrderReply::Unreachable | OrderReply::NotSent => {
                self.on_start_without_effect(ctx, start, sends);
            }
            OrderReply::OutcomeUnknown => {
                log_job_event!(ctx, &start.key.job, TaskStartUnanswered, "step" => start.key.step,
                    "index" => start.key.index, "run" => start.run, "worker" => %start.worker,
                    "tries" => sends);
                if let Some(fate) = self.fate_mut(&start) {
                    fate.record_unanswered(now);
                    self.scheduler.record_refusal(&start, now);
                }
                self.resend_start(ctx, start, sends);
            }
        }
    }

    /// Releases or resends a start of which nothing reached its worker.
    fn on_start_without_effect(&mut self, ctx: &mut Context, start: StartOrder, sends: u32) {
        if let Some(fate) = self.fate_mut(&start) {
            fate.record_without_effect(ctx.now);
            self.scheduler.record_refusal(&start, ctx.now);
        }
        if self.scheduler.not_started(&start).is_some() {
            self.mark_unreachable(&start.worker, ctx.now);
            self.settle_start(ctx, start, Refusal::Unhealthy);
        } else {
            self.resend_start(ctx, start, sends);
        }
    }

    /// Sends a start again whose run may have started; stops the run after the last send.
    ///
    /// A stop that was sent before does not cover a send that ended without an answer since.
    fn resend_start(&mut self, ctx: &mut Context, start: StartOrder, sends: u32) {
        let state = self.assignment_mut(&start).map(|assignment| assignment.state);
        match state {
            Some(RunState::Stopping | RunState::Stopped) => {
                let StartOrder { key, run, worker } = start;
                self.send_stop(ctx, StopOrder { key, run, worker });
            }
            Some(RunState::Sent) => {
                let is_confirmed = self.unconfirmed_since.is_none()
                    && self.journal.commit_age(ctx.now) < MAX_COMMIT_AGE_FOR_RESEND;
                if sends < MAX_START_SENDS && is_confirmed {
                    self.try_start(ctx, start, sends);
                } else {
                    self.mark_unreachable(&start.worker, ctx.now);
                    self.settle_start(ctx, start, Refusal::Unhealthy);
                }
            }
            // The worker has listed the run since.
            _ => {}
        }
    }

    /// The assignment of a start's run; none if it has ended.
    fn assignment_mut(&mut self, start: &StartOrder) -> Option<&mut Assignment> {
        self.scheduler.pool.get_mut(&start.worker)?.assignment_mut(&start.key, start.run)
    }

    /// What is known of a start's sends; none if its run has ended.
    fn fate_mut(&mut self, start: &StartOrder) -> Option<&mut Fate> {
        self.assignment_mut(start).map(|assignment| &mut assignment.fate)
    }

    /// Logs and counts a confirmed start, if it is the first confirmation.
    fn record_started(&self, ctx: &mut Context, start: &StartOrder) {
        let assignment = self.scheduler.pool.get(&start.worker);
        let assignment = assignment.and_then(|worker| worker.assignments.get(&start.key));
        let Some(assignment) = assignment
            .filter(|assignment| assignment.run == start.run && assignment.state == RunState::Sent)
        else {
            return;
        };
        let took = ctx.now.saturating_sub(assignment.changed_at);
        ctx.meter.add(Counter::Starts, "confirmed", 1);
        ctx.meter.record_duration(Timing::Start, took);
        let job = self.scheduler.jobs.get(&start.key.job);
        let age = job.map_or(Duration::ZERO, |job| ctx.now.saturating_sub(job.arrived));
        if start.run == 1 && start.key.step == 0 && start.key.index == 0 {
            ctx.meter.record_duration(Timing::FirstStart, age);
        }
        if ctx.sampler.should_log_start(&start.key.job, start.run, ctx.now) {
            let prediction = self.scheduler.predict_on(&start.worker, &start.key);
            let expected = prediction.map(|prediction| prediction.expected.as_millis() as u64);
            let source = prediction.map(|prediction| prediction.source.as_str());
            let speed = self.scheduler.forecast.speed(&start.worker);
            log_event!(ctx, TaskStarted, "job" => %start.key.job, "step" => start.key.step,
                "index" => start.key.index, "run" => start.run, "worker" => %start.worker,
                "expected_ms" => expected, "expected_by" => source,
                "speed_percent" => (speed * 100.0).round() as u64,
                "took_ms" => took.as_millis() as u64, "age_ms" => age.as_millis() as u64,
                "epoch" => self.epoch);
        }
    }

    /// Treats a worker as unreachable until it answers its next renewal.
    fn mark_unreachable(&mut self, id: &str, now: Duration) {
        if let Some(worker) = self.scheduler.pool.get_mut(id) {
            worker.record_silence(now);
            worker.has_current_token = false;
        }
        self.leases.renew_soon(id, now);
    }

    fn on_stop_reply(
        &mut self,
        ctx: &mut Context,
        stop: StopOrder,
        mark: Option<StopMark>,
        sent: Duration,
        reply: &OrderReply,
    ) {
        match reply {
            OrderReply::Done { clock_ms } => {
                self.leases.update_clock(ctx, &stop.worker, *clock_ms, sent);
                if let Some(mark) = mark {
                    self.scheduler.confirm_stop(&stop, mark, ctx.now);
                }
                self.leases.renew_soon(&stop.worker, ctx.now);
            }
            OrderReply::OtherIncarnation => {
                if !self.abandon_if_gone(ctx, &stop.worker, sent) {
                    self.orders.stop_retries.push((ctx.now + STOP_RETRY_DELAY, stop));
                }
            }
            OrderReply::Refused { reason, .. } => {
                if *reason == Refusal::StaleToken {
                    self.journal.request_commit();
                }
                self.orders.stop_retries.push((ctx.now + STOP_RETRY_DELAY, stop));
            }
            OrderReply::Unreachable | OrderReply::NotSent | OrderReply::OutcomeUnknown => {
                self.orders.stop_retries.push((ctx.now + STOP_RETRY_DELAY, stop));
            }
        }
    }
}

/// The label of a refusal in logs and metrics.
fn refusal_label(refusal: Refusal) -> &'static str {
    match refusal {
        Refusal::Ticket => "ticket",
        Refusal::NoCapacity => "room",
        Refusal::StaleToken => "fence",
        Refusal::StaleRun => "stale",
        Refusal::Unhealthy => "unhealthy",
        Refusal::Withdrawn => "withdrawn",
    }
}
