//! Starts and stops on their way to workers.
//!
//! A start without an answer is undecided: it is sent again, which a worker answers the
//! same way, and if that does not help, the run is stopped, which bars it. Room and task
//! stay taken until the worker's word or the end of its lease decides.

use std::collections::HashMap;
use std::time::Duration;

use scheduler::{Order, Phase, Refusal, Start, Stop};

use crate::action::Action;
use crate::event::{note, note_job};
use crate::input::OrderReply;
use crate::lead::Leader;
use crate::meter::{Count, Hop};
use crate::node::Port;

/// How long a start may take before it is sent again.
const START_TIMEOUT: Duration = Duration::from_millis(350);

/// Sends of a start without an answer before the run is stopped instead.
const START_TRIES: u32 = 3;

/// Age of the latest commit up to which a start is sent again.
///
/// A worker's new life has seen no fencing token, so it would obey a former leader.
const SURE_FOR: Duration = Duration::from_millis(600);

/// How long a stop may take before it is sent again.
const STOP_TIMEOUT: Duration = Duration::from_millis(350);

/// Pause before a stop that was not answered is sent again.
const STOP_PAUSE: Duration = Duration::from_millis(100);

#[derive(Debug)]
enum Sent {
    Start { start: Start, tries: u32 },
    Stop { stop: Stop },
}

/// Orders under way.
#[derive(Debug, Default)]
pub(crate) struct Orders {
    calls: HashMap<u64, Sent>,
    stops: Vec<(Duration, Stop)>,
}

impl Leader {
    /// Sends a start whose job's row is durable.
    pub(super) fn send_start(&mut self, port: &mut Port, start: Start) {
        self.send_start_again(port, start, 0);
    }

    fn send_start_again(&mut self, port: &mut Port, start: Start, tries: u32) {
        let now = port.now;
        let Some(worker) = self.scheduler.pool.get_mut(&start.worker) else { return };
        let Some(held) = worker.run_mut(&start.key, start.run) else { return };
        if !matches!(held.order, Order::Writing | Order::Sent) {
            return;
        }
        let is_first = held.order == Order::Writing;
        let is_usable = worker.is_fenced && !worker.report.is_draining && worker.is_listed;
        let Some(job) = self.scheduler.jobs.get(&start.key.job) else { return };
        let queue = self.scheduler.queue(&job.queue);
        let needs_ticket = queue.is_some_and(|queue| queue.hint.is_some());
        let ticket = job.ticket(start.key.step, &start.worker, now);
        let saved = job.checkpoint(&start.key);
        let payload = job.submission.payload.clone();
        let is_over = job.phase != Phase::Open;
        let is_withdrawn = is_over || (needs_ticket && ticket.is_none());
        let address = self.links.address(&start.worker);
        let lease_end = self.links.lease_end(&start.worker, now);
        let (Some(address), Some(lease_end), Some(saved), true, false) =
            (address, lease_end, saved, is_usable, is_over || (is_withdrawn && is_first))
        else {
            self.withdraw(port, start, is_first, needs_ticket);
            return;
        };
        if let Some(worker) = self.scheduler.pool.get_mut(&start.worker)
            && let Some(held) = worker.run_mut(&start.key, start.run)
        {
            held.order = Order::Sent;
            held.since = now;
        }
        let call = port.call();
        port.out.push(Action::Start {
            call,
            start: start.clone(),
            address,
            payload,
            fence: self.epoch,
            lease_end,
            saved,
            ticket,
            timeout: START_TIMEOUT,
        });
        self.orders.calls.insert(call, Sent::Start { start, tries: tries + 1 });
    }

    /// Takes a start back that cannot be sent.
    fn withdraw(&mut self, port: &mut Port, start: Start, is_first: bool, needs_ticket: bool) {
        if is_first {
            let why = if needs_ticket { Refusal::Ticket } else { Refusal::Withdrawn };
            self.not_started(port, &start, why);
        } else {
            self.bar(start);
        }
    }

    fn not_started(&mut self, port: &mut Port, start: &Start, why: Refusal) {
        port.meter.count(Count::NotStarted, reason(why), 1);
        note_job!(port, &start.key.job, TaskNotStarted, "step" => start.key.step,
            "index" => start.key.index, "run" => start.run, "worker" => %start.worker,
            "reason" => reason(why), "epoch" => self.epoch);
        let store_ms = self.store_ms(port.now);
        self.scheduler.not_started(start, why, port.now, store_ms);
    }

    /// Stops a run of which nobody knows whether it started.
    fn bar(&mut self, start: Start) {
        self.scheduler.stop(start.key, start.run, start.worker);
    }

    /// Sends a stop.
    pub(super) fn send_stop(&mut self, port: &mut Port, stop: Stop) {
        let Some(address) = self.links.address(&stop.worker) else { return };
        note_job!(port, &stop.key.job, TaskStopped, "step" => stop.key.step,
            "index" => stop.key.index, "run" => stop.run, "worker" => %stop.worker,
            "epoch" => self.epoch);
        let call = port.call();
        port.out.push(Action::Stop {
            call,
            stop: stop.clone(),
            address,
            fence: self.epoch,
            timeout: STOP_TIMEOUT,
        });
        self.orders.calls.insert(call, Sent::Stop { stop });
    }

    /// Sends the stops again that were not answered.
    pub(super) fn retry_orders(&mut self, port: &mut Port) {
        let now = port.now;
        let due = self.orders.stops.extract_if(.., |(at, _)| *at <= now);
        let due: Vec<Stop> = due.map(|(_, stop)| stop).collect();
        for stop in due {
            let worker = self.scheduler.pool.get_mut(&stop.worker);
            let held = worker.and_then(|worker| worker.run_mut(&stop.key, stop.run));
            if held.is_some_and(|held| held.order == Order::Stopping) {
                self.send_stop(port, stop);
            }
        }
    }

    /// Takes the answer to an order.
    pub(super) fn ordered(&mut self, port: &mut Port, call: u64, reply: OrderReply) {
        match self.orders.calls.remove(&call) {
            Some(Sent::Start { start, tries }) => self.start_reply(port, start, tries, reply),
            Some(Sent::Stop { stop }) => self.stop_reply(port, stop, &reply),
            None => {}
        }
    }

    fn start_reply(&mut self, port: &mut Port, start: Start, tries: u32, reply: OrderReply) {
        let now = port.now;
        let is_undecided = self.is_undecided(&start);
        match reply {
            OrderReply::Done { clock_ms } => {
                self.links.heard(&start.worker, clock_ms, now);
                self.note_started(port, &start);
                self.scheduler.started(&start, now);
            }
            OrderReply::Refused { clock_ms, why } => {
                self.links.heard(&start.worker, clock_ms, now);
                if why == Refusal::Fence {
                    self.journal.confirm();
                }
                if is_undecided || why == Refusal::Stale {
                    self.bar(start);
                } else {
                    self.not_started(port, &start, why);
                }
            }
            OrderReply::OtherLife => {
                note!(port, WorkerWrittenOff, "worker" => %start.worker,
                    "reason" => "another life answers");
                self.scheduler.unlist(&start.worker);
                self.write_off(port, &start.worker);
            }
            OrderReply::Unreachable if !is_undecided => {
                self.lose_worker(&start.worker, now);
                self.not_started(port, &start, Refusal::Unhealthy);
            }
            OrderReply::Unreachable | OrderReply::Unknown => {
                note_job!(port, &start.key.job, TaskUndecided, "step" => start.key.step,
                    "index" => start.key.index, "run" => start.run, "worker" => %start.worker,
                    "tries" => tries);
                self.mark_undecided(&start);
                let is_sure = self.doubted.is_none() && self.journal.age(now) < SURE_FOR;
                if tries < START_TRIES && is_sure {
                    self.send_start_again(port, start, tries);
                } else {
                    self.lose_worker(&start.worker, now);
                    self.bar(start);
                }
            }
        }
    }

    fn note_started(&self, port: &mut Port, start: &Start) {
        let held = self.scheduler.pool.get(&start.worker);
        let held = held.and_then(|worker| worker.assigned.get(&start.key));
        let Some(held) = held.filter(|held| held.run == start.run && held.order == Order::Sent)
        else {
            return;
        };
        let took = port.now.saturating_sub(held.since);
        port.meter.count(Count::Starts, "confirmed", 1);
        port.meter.time(Hop::Start, took);
        let job = self.scheduler.jobs.get(&start.key.job);
        let age = job.map_or(Duration::ZERO, |job| port.now.saturating_sub(job.arrived));
        if start.run == 1 && start.key.step == 0 && start.key.index == 0 {
            port.meter.time(Hop::FirstStart, age);
        }
        note_job!(port, &start.key.job, TaskStarted, "step" => start.key.step,
            "index" => start.key.index, "run" => start.run, "worker" => %start.worker,
            "took_ms" => took.as_millis() as u64, "age_ms" => age.as_millis() as u64,
            "epoch" => self.epoch);
    }

    fn is_undecided(&self, start: &Start) -> bool {
        let worker = self.scheduler.pool.get(&start.worker);
        let held = worker.and_then(|worker| worker.assigned.get(&start.key));
        held.is_some_and(|held| held.run == start.run && held.is_undecided)
    }

    fn mark_undecided(&mut self, start: &Start) {
        if let Some(worker) = self.scheduler.pool.get_mut(&start.worker)
            && let Some(held) = worker.run_mut(&start.key, start.run)
        {
            held.is_undecided = true;
        }
    }

    /// Takes a worker for unreachable until its next answer to a renewal.
    fn lose_worker(&mut self, id: &str, now: Duration) {
        if let Some(worker) = self.scheduler.pool.get_mut(id) {
            worker.is_reachable = false;
            worker.is_fenced = false;
        }
        self.links.hasten(id, now);
    }

    fn stop_reply(&mut self, port: &mut Port, stop: Stop, reply: &OrderReply) {
        match reply {
            OrderReply::Done { clock_ms } => {
                self.links.heard(&stop.worker, *clock_ms, port.now);
                self.scheduler.stopped(&stop, port.now);
                self.links.hasten(&stop.worker, port.now);
            }
            OrderReply::OtherLife => {
                note!(port, WorkerWrittenOff, "worker" => %stop.worker,
                    "reason" => "another life answers");
                self.scheduler.unlist(&stop.worker);
                self.write_off(port, &stop.worker);
            }
            OrderReply::Refused { why, .. } => {
                if *why == Refusal::Fence {
                    self.journal.confirm();
                }
                self.orders.stops.push((port.now + STOP_PAUSE, stop));
            }
            OrderReply::Unreachable | OrderReply::Unknown => {
                self.orders.stops.push((port.now + STOP_PAUSE, stop));
            }
        }
    }
}

/// The word for a refusal in logs and metrics.
fn reason(why: Refusal) -> &'static str {
    match why {
        Refusal::Ticket => "ticket",
        Refusal::Room => "room",
        Refusal::Fence => "fence",
        Refusal::Stale => "stale",
        Refusal::Unhealthy => "unhealthy",
        Refusal::Withdrawn => "withdrawn",
    }
}
