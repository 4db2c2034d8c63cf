//! Starts, stops, and questions about attempts.

use std::time::Duration;

use border::Error;
use border::workers::{Run, Start, Stop};
use common::Name;
use settings::Spec;
use wire::Fate;

use super::{Allocator, Held, Order, Phase, Yielding, report, run_of};
use crate::node::home::span;
use crate::node::shared::Shared;

/// Tries of a start whose answers are lost, before the worker's list decides.
const START_TRIES: u32 = 5;

impl Allocator {
    /// Takes a start, or says why no start was sent and none will be.
    ///
    /// # Errors
    ///
    /// The reason; the attempt is remembered as refused.
    pub fn start(&mut self, shared: &Shared, start: &wire::Start) -> Result<(), String> {
        let run = run_of(start.key.as_ref(), start.task, start.attempt);
        if self.runs.contains_key(&run) {
            return Ok(());
        }
        let taken = self.check_start(&run, start);
        if let Err(reason) = taken {
            self.refused.insert(run, shared.now);
            return Err(reason);
        }
        let Some(reservation) = self.rack.commit(start.reservation) else {
            return Err("the reservation expired".to_owned());
        };
        let payload = serde_json::from_slice(&start.spec).map(|spec: Spec| spec.payload);
        let order = Start {
            run: run.clone(),
            fence: self.claim.epoch,
            lease_ms: shared.config.timing.task_lease.as_millis() as u64,
            size: reservation.size,
            payload: payload.unwrap_or_default(),
            trace: start.trace.clone(),
        };
        let phase = Phase::Starting { start: Box::new(order.clone()), tries: 1, retry_at: None };
        let mut held = Held::new(reservation.worker.clone(), reservation.size, phase, shared.now);
        held.started_us = shared.wall_us;
        held.is_verified = true;
        if start.may_yield {
            held.yielding = Yielding::Possible;
        }
        self.runs.insert(run, held);
        self.orders.push(Order::Start(reservation.worker, order));
        Ok(())
    }

    pub(super) fn check_start(&mut self, run: &Run, start: &wire::Start) -> Result<(), String> {
        if start.rack_epoch != self.claim.epoch {
            return Err("the rack has a newer owner".to_owned());
        }
        let fence = self.fences.entry(start.partition).or_default();
        if start.partition_epoch < *fence {
            return Err("the partition has a newer owner".to_owned());
        }
        *fence = start.partition_epoch;
        if self.refused.contains_key(run) {
            return Err("the attempt was refused before".to_owned());
        }
        let reservation = self.rack.reservation(start.reservation);
        if reservation.is_none_or(|reservation| *reservation.worker != *start.worker) {
            return Err("the reservation expired".to_owned());
        }
        Ok(())
    }

    /// Takes a worker's answer to a start.
    pub fn started(&mut self, shared: &Shared, run: &Run, answer: Result<(), Error>) {
        let Some(held) = self.runs.get_mut(run) else { return };
        let Phase::Starting { tries, retry_at, .. } = &mut held.phase else {
            return;
        };
        match answer {
            Ok(()) => {
                held.phase = Phase::Running { since: shared.now };
                let length = shared.wall_us.saturating_sub(held.started_us);
                held.spans.push(span("worker-start", shared.me(), held.started_us, length));
            }
            Err(Error::Refused { text }) if !held.was_lost => {
                self.end(shared, run, Fate::NotSent, format!("worker refused: {text}"));
            }
            Err(Error::Unsent { text }) if !held.was_lost && *tries >= START_TRIES => {
                self.end(shared, run, Fate::NotSent, format!("worker not reached: {text}"));
            }
            Err(error) => {
                held.was_lost |= error.may_have_happened();
                *retry_at = Some(shared.now + Duration::from_millis(200 * u64::from(*tries)));
                let worker = held.worker.clone();
                self.extended(shared, &worker);
            }
        }
    }

    /// A start or renewal that may have arrived extends what a lease may last.
    pub(super) fn extended(&mut self, shared: &Shared, worker: &Name) {
        if let Some(line) = self.lines.get_mut(worker) {
            line.extended_until = shared.now;
        }
    }

    /// Stops an attempt.
    pub fn stop(&mut self, shared: &Shared, stop: &wire::Stop) {
        let run = run_of(stop.key.as_ref(), stop.task, stop.attempt);
        let Some(held) = self.runs.get_mut(&run) else { return };
        match &held.phase {
            Phase::Ended { .. } => held.report_at = shared.now,
            Phase::Starting { .. } | Phase::Running { .. } => {
                let order = Stop { run, fence: self.claim.epoch, checkpoint: stop.checkpoint };
                self.orders.push(Order::Stop(held.worker.clone(), order));
            }
        }
    }

    /// Says what is known of an attempt, and takes no older home's start from now on.
    pub fn probe(&mut self, shared: &Shared, probe: &wire::Probe) -> wire::Report {
        let fence = self.fences.entry(probe.partition).or_default();
        *fence = probe.partition_epoch.max(*fence);
        let run = run_of(probe.key.as_ref(), probe.task, probe.attempt);
        if let Some(held) = self.runs.get(&run) {
            return report(&self.name, &run, held);
        }
        let fate = self.judge_missing(shared, probe);
        if fate == Fate::NotSent {
            self.refused.insert(run.clone(), shared.now);
        }
        wire::Report {
            key: probe.key.clone(),
            task: probe.task,
            attempt: probe.attempt,
            fate: fate.code(),
            text: missing_text(fate).to_owned(),
            rack: self.name.to_string(),
            worker: probe.worker.clone(),
            ..Default::default()
        }
    }

    pub(super) fn judge_missing(&self, shared: &Shared, probe: &wire::Probe) -> Fate {
        if probe.rack_epoch == self.claim.epoch {
            return Fate::NotSent;
        }
        let line = self.lines.get(probe.worker.as_str());
        if line.is_some_and(|line| line.last_ok.is_some()) {
            return Fate::Absent;
        }
        let no_lease_left = shared.now >= self.claimed_at + shared.leases_gone();
        if no_lease_left { Fate::Lapsed } else { Fate::Unsure }
    }
}

fn missing_text(fate: Fate) -> &'static str {
    match fate {
        Fate::NotSent => "the start never reached the rack's owner",
        Fate::Absent => "the worker does not know the attempt",
        Fate::Lapsed => "the worker is silent and every lease is over",
        _ => "",
    }
}
