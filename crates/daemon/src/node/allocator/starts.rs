//! Starts, stops and probes of attempts.

use std::time::Duration;

use border::Error;
use border::workers::{AttemptId, StartRequest, StopRequest};
use common::Name;
use settings::RequestSpec;
use wire::AttemptStatus;

use super::{Allocator, Phase, Preemption, TrackedAttempt, WorkerCall, build_report, run_of};
use crate::node::home::span;
use crate::node::shared::Shared;

/// Number of tries after which a start that could not be sent is abandoned.
///
/// If a reply was lost, the worker's list of tasks decides instead.
const MAX_START_TRIES: u32 = 5;

impl Allocator {
    /// Starts an attempt on the reserved place; a known attempt is not started again.
    ///
    /// # Errors
    ///
    /// Returns the reason why no start was sent and none will be. The attempt is remembered
    /// as refused.
    pub fn start(&mut self, shared: &Shared, start: &wire::Start) -> Result<(), String> {
        let run = run_of(start.key.as_ref(), start.task, start.attempt);
        if self.runs.contains_key(&run) {
            return Ok(());
        }
        let checked = self.check_start(&run, start);
        if let Err(reason) = checked {
            self.refused.insert(run, shared.now);
            return Err(reason);
        }
        let Some(reservation) = self.rack.commit(start.reservation) else {
            return Err("the reservation expired".to_owned());
        };
        let payload = serde_json::from_slice(&start.spec).map(|spec: RequestSpec| spec.payload);
        let request = StartRequest {
            run: run.clone(),
            fence: self.claim.epoch,
            lease_ms: shared.config.timing.task_lease.as_millis() as u64,
            size: reservation.size,
            payload: payload.unwrap_or_default(),
            trace: start.trace.clone(),
        };
        let phase = Phase::Starting { start: Box::new(request.clone()), tries: 1, retry_at: None };
        let mut tracked =
            TrackedAttempt::new(reservation.worker.clone(), reservation.size, phase, shared.now);
        tracked.started_us = shared.wall_us;
        tracked.is_confirmed = true;
        if start.may_yield {
            tracked.preemption = Preemption::Allowed;
        }
        self.runs.insert(run, tracked);
        self.worker_calls.push(WorkerCall::Start(reservation.worker, request));
        Ok(())
    }

    /// Checks the epochs and the reservation of a start, and fences older partition epochs.
    pub(super) fn check_start(
        &mut self,
        run: &AttemptId,
        start: &wire::Start,
    ) -> Result<(), String> {
        if start.rack_epoch != self.claim.epoch {
            return Err("the rack has a newer owner".to_owned());
        }
        let fence = self.fences.entry(start.partition).or_default();
        if start.partition_epoch < *fence {
            return Err("the partition has a newer owner".to_owned());
        }
        *fence = start.partition_epoch;
        if self.refused.contains_key(run) {
            return Err("the attempt was refused earlier".to_owned());
        }
        let reservation = self.rack.reservation(start.reservation);
        if reservation.is_none_or(|reservation| *reservation.worker != *start.worker) {
            return Err("the reservation expired".to_owned());
        }
        Ok(())
    }

    /// Handles a worker's reply to a start.
    pub fn handle_start_result(
        &mut self,
        shared: &Shared,
        run: &AttemptId,
        result: Result<(), Error>,
    ) {
        let Some(tracked) = self.runs.get_mut(run) else { return };
        let Phase::Starting { tries, retry_at, .. } = &mut tracked.phase else {
            return;
        };
        match result {
            Ok(()) => {
                tracked.phase = Phase::Running { since: shared.now };
                let length = shared.wall_us.saturating_sub(tracked.started_us);
                tracked.spans.push(span(
                    "worker-start",
                    shared.own_name(),
                    tracked.started_us,
                    length,
                ));
            }
            Err(Error::Refused { text }) if !tracked.was_reply_lost => {
                self.end(shared, run, AttemptStatus::NotSent, format!("worker refused: {text}"));
            }
            Err(Error::NotSent { text })
                if !tracked.was_reply_lost && *tries >= MAX_START_TRIES =>
            {
                self.end(
                    shared,
                    run,
                    AttemptStatus::NotSent,
                    format!("worker unreachable: {text}"),
                );
            }
            Err(error) => {
                tracked.was_reply_lost |= error.may_have_taken_effect();
                *retry_at = Some(shared.now + Duration::from_millis(200 * u64::from(*tries)));
                let worker = tracked.worker.clone();
                self.note_extension(shared, &worker);
            }
        }
    }

    /// Notes that a start may have extended a lease on the worker.
    pub(super) fn note_extension(&mut self, shared: &Shared, worker: &Name) {
        if let Some(renewal) = self.renewal_states.get_mut(worker) {
            renewal.extended_at = shared.now;
        }
    }

    /// Queues the stop of an attempt; one that has ended is reported again.
    pub fn stop(&mut self, shared: &Shared, stop: &wire::Stop) {
        let run = run_of(stop.key.as_ref(), stop.task, stop.attempt);
        let Some(tracked) = self.runs.get_mut(&run) else { return };
        match &tracked.phase {
            Phase::Ended { .. } => tracked.report_at = shared.now,
            Phase::Starting { .. } | Phase::Running { .. } => {
                let request =
                    StopRequest { run, fence: self.claim.epoch, checkpoint: stop.checkpoint };
                self.worker_calls.push(WorkerCall::Stop(tracked.worker.clone(), request));
            }
        }
    }

    /// Reports the state of an attempt, and fences starts from older partition epochs.
    pub fn probe(&mut self, shared: &Shared, probe: &wire::Probe) -> wire::Report {
        let fence = self.fences.entry(probe.partition).or_default();
        *fence = probe.partition_epoch.max(*fence);
        let run = run_of(probe.key.as_ref(), probe.task, probe.attempt);
        if let Some(tracked) = self.runs.get(&run) {
            return build_report(&self.name, &run, tracked);
        }
        let status = self.missing_status(shared, probe);
        if status == AttemptStatus::NotSent {
            self.refused.insert(run.clone(), shared.now);
        }
        wire::Report {
            key: probe.key.clone(),
            task: probe.task,
            attempt: probe.attempt,
            fate: status.code(),
            text: missing_text(status).to_owned(),
            rack: self.name.to_string(),
            worker: probe.worker.clone(),
            ..Default::default()
        }
    }

    /// Status of an attempt that is not tracked.
    ///
    /// Placed in this epoch, it was never sent. Placed in an earlier one, it is not found once
    /// the worker has listed its tasks, and its lease has expired some time after the claim.
    pub(super) fn missing_status(&self, shared: &Shared, probe: &wire::Probe) -> AttemptStatus {
        if probe.rack_epoch == self.claim.epoch {
            return AttemptStatus::NotSent;
        }
        let renewal = self.renewal_states.get(probe.worker.as_str());
        if renewal.is_some_and(|renewal| renewal.last_reply_at.is_some()) {
            return AttemptStatus::NotFound;
        }
        let all_leases_expired = shared.now >= self.claimed_at + shared.max_inherited_lease();
        if all_leases_expired { AttemptStatus::LeaseExpired } else { AttemptStatus::Undetermined }
    }
}

/// Text that explains the status of an attempt that is not tracked.
fn missing_text(status: AttemptStatus) -> &'static str {
    match status {
        AttemptStatus::NotSent => "the start never reached the rack's owner",
        AttemptStatus::NotFound => "the worker does not know the attempt",
        AttemptStatus::LeaseExpired => "the worker does not answer and every lease has expired",
        _ => "",
    }
}
