//! Lease renewals, and reconciliation with the tasks that workers list in reply.

use std::time::{Duration, Instant};

use border::Error;
use border::workers::{AttemptId, AttemptReport, AttemptState, RenewRequest};
use common::Name;
use wire::AttemptStatus;

use super::{Allocator, Phase, TrackedAttempt, WorkerCall};
use crate::event::Event;
use crate::node::action::Action;
use crate::node::home::span;
use crate::node::membership::LEASE_MARGIN;
use crate::node::shared::Shared;

/// How long a refused attempt is remembered, to refuse a late start.
const REFUSED_RETENTION: Duration = Duration::from_mins(10);

impl Allocator {
    /// Handles expired timers: renewals, start retries, leases and reports.
    pub fn tick(&mut self, shared: &Shared) {
        self.rack.expire(shared.now);
        self.refused.retain(|_, at| shared.now < *at + REFUSED_RETENTION);
        self.renew_due(shared);
        if shared.can_act_as_owner() {
            self.retry_starts(shared);
        }
        self.expire_leases(shared);
        self.report_due(shared);
    }

    /// Renews the leases on workers whose renewal is due.
    ///
    /// An unresponsive worker gets a lease of zero, which extends nothing. So do all workers of a
    /// daemon that may have lost the rack: the next owner waits for the leases of those that it
    /// cannot reach.
    pub(super) fn renew_due(&mut self, shared: &Shared) {
        let timing = &shared.config.timing;
        for (worker, renewal) in &mut self.renewal_states {
            if renewal.is_in_flight || renewal.next_at > shared.now {
                continue;
            }
            renewal.is_in_flight = true;
            renewal.sent_at = shared.now;
            let may_extend = !renewal.is_unresponsive && shared.can_act_as_owner();
            let lease = if may_extend { timing.task_lease } else { Duration::ZERO };
            let (due, later): (Vec<_>, Vec<_>) =
                renewal.forget.drain(..).partition(|(_, at)| *at <= shared.now);
            renewal.forget = later;
            let forget: Vec<AttemptId> = due.into_iter().map(|(run, _)| run).collect();
            let renew = RenewRequest {
                fence: self.claim.epoch,
                lease_ms: lease.as_millis() as u64,
                forget,
            };
            self.worker_calls.push(WorkerCall::Renew(worker.clone(), renew));
        }
    }

    /// Handles a worker's reply to a renewal.
    pub fn handle_renewal(
        &mut self,
        shared: &Shared,
        worker: &Name,
        forget: Vec<AttemptId>,
        result: Result<Vec<AttemptReport>, Error>,
    ) {
        let Some(renewal) = self.renewal_states.get_mut(worker) else { return };
        renewal.is_in_flight = false;
        renewal.next_at = shared.now + shared.config.timing.task_renew_interval;
        if !renewal.is_unresponsive {
            renewal.extended_at = shared.now;
        }
        match result {
            Ok(tasks) => {
                let sent_at = renewal.sent_at;
                renewal.last_reply_at = Some(shared.now);
                if renewal.is_unresponsive {
                    renewal.is_unresponsive = false;
                    let text = worker.to_string();
                    self.actions.push(Action::Log(Event::WorkerResponsive, text));
                }
                self.reconcile(shared, worker, sent_at, &tasks);
                self.rack.set_reconciled(worker, true);
            }
            Err(error) => {
                renewal.forget.extend(forget.into_iter().map(|run| (run, shared.now)));
                self.note_unanswered(shared, worker, &error);
            }
        }
    }

    /// Marks a worker as unresponsive after a third of the lease without a reply.
    pub(super) fn note_unanswered(&mut self, shared: &Shared, worker: &Name, error: &Error) {
        let Some(renewal) = self.renewal_states.get_mut(worker) else { return };
        let reply_timeout = shared.config.timing.task_lease / 3;
        let last = renewal.last_reply_at.unwrap_or(self.claimed_at);
        if !renewal.is_unresponsive && shared.now.saturating_duration_since(last) >= reply_timeout {
            renewal.is_unresponsive = true;
            self.rack.set_reconciled(worker, false);
            let text = format!("{worker}: {error}");
            self.actions.push(Action::Log(Event::WorkerUnresponsive, text));
        }
    }

    /// Reconciles the worker's list of tasks with the attempts tracked for it.
    ///
    /// An attempt that ran before the renewal was sent and is not listed is lost.
    pub(super) fn reconcile(
        &mut self,
        shared: &Shared,
        worker: &Name,
        sent_at: Instant,
        tasks: &[AttemptReport],
    ) {
        for task in tasks {
            self.reconcile_task(shared, worker, task);
        }
        let is_lost = |run: &AttemptId, tracked: &TrackedAttempt| {
            tracked.worker == *worker
                && matches!(tracked.phase, Phase::Running { since } if since < sent_at)
                && !tasks.iter().any(|task| task.run == *run)
        };
        let lost = self.runs.iter().filter(|(run, tracked)| is_lost(run, tracked));
        let lost: Vec<AttemptId> = lost.map(|(run, _)| run.clone()).collect();
        for run in lost {
            self.end(
                shared,
                &run,
                AttemptStatus::LeaseExpired,
                "the worker lost the task".to_owned(),
            );
        }
    }

    /// Updates an attempt from the worker's list; adopts it if it is unknown.
    pub(super) fn reconcile_task(&mut self, shared: &Shared, worker: &Name, task: &AttemptReport) {
        if !self.runs.contains_key(&task.run) {
            let is_forgotten = self
                .renewal_states
                .get(worker)
                .is_some_and(|renewal| renewal.forget.iter().any(|(run, _)| *run == task.run));
            if is_forgotten {
                return;
            }
            self.adopt(shared, worker, task);
        }
        let Some(tracked) = self.runs.get_mut(&task.run) else { return };
        tracked.cpu_ms = task.cpu_ms;
        if task.state == AttemptState::Running {
            if matches!(tracked.phase, Phase::Starting { .. }) {
                tracked.phase = Phase::Running { since: shared.now };
            }
            return;
        }
        if !tracked.is_ended() {
            let status = status_of(task.state);
            self.end(shared, &task.run, status, task.result.clone());
        }
    }

    /// Tracks an attempt found on a worker and allocates its capacity.
    pub(super) fn adopt(&mut self, shared: &Shared, worker: &Name, task: &AttemptReport) {
        let phase = Phase::Running { since: shared.now };
        let tracked = TrackedAttempt::new(worker.clone(), task.size, phase, shared.now);
        self.rack.add_running_task(worker, &task.size);
        self.runs.insert(task.run.clone(), tracked);
    }

    /// Sends starts again whose retry is due.
    pub(super) fn retry_starts(&mut self, shared: &Shared) {
        for tracked in self.runs.values_mut() {
            if let Phase::Starting { start, tries, retry_at } = &mut tracked.phase
                && retry_at.is_some_and(|at| at <= shared.now)
            {
                *tries += 1;
                *retry_at = None;
                self.worker_calls
                    .push(WorkerCall::Start(tracked.worker.clone(), (**start).clone()));
            }
        }
    }

    /// Ends attempts on unresponsive workers once all their leases must have expired.
    pub(super) fn expire_leases(&mut self, shared: &Shared) {
        let longest_lease = shared.config.timing.task_lease + LEASE_MARGIN * 2;
        let unresponsive = self.renewal_states.iter().filter(|(_, renewal)| {
            renewal.is_unresponsive && shared.now >= renewal.extended_at + longest_lease
        });
        let unresponsive: Vec<Name> = unresponsive.map(|(worker, _)| worker.clone()).collect();
        for worker in unresponsive {
            let affected = self
                .runs
                .iter()
                .filter(|(_, tracked)| tracked.worker == worker && !tracked.is_ended());
            let affected: Vec<AttemptId> = affected.map(|(run, _)| run.clone()).collect();
            for run in affected {
                self.actions.push(Action::Log(Event::TaskLeaseExpired, run.to_string()));
                self.end(
                    shared,
                    &run,
                    AttemptStatus::LeaseExpired,
                    "the lease expired while the worker did not answer".to_owned(),
                );
            }
        }
    }

    /// Ends an attempt: frees its capacity, records the worker's health and reports the end.
    pub(super) fn end(
        &mut self,
        shared: &Shared,
        run: &AttemptId,
        status: AttemptStatus,
        result: String,
    ) {
        let Some(tracked) = self.runs.get_mut(run) else { return };
        let was_running = !tracked.is_ended();
        tracked.phase = Phase::Ended { status, result };
        tracked.report_at = shared.now;
        if !was_running {
            return;
        }
        let (worker, size) = (tracked.worker.clone(), tracked.size);
        if tracked.started_us > 0 {
            let length = shared.wall_us.saturating_sub(tracked.started_us);
            tracked.spans.push(span("task", &worker, tracked.started_us, length));
        }
        self.rack.release_capacity(&worker, &size);
        match status {
            AttemptStatus::Done => self.rack.record_result(&worker, true, shared.now),
            AttemptStatus::Failed | AttemptStatus::LeaseExpired | AttemptStatus::NotSent => {
                self.rack.record_result(&worker, false, shared.now);
            }
            AttemptStatus::Running
            | AttemptStatus::Stopped
            | AttemptStatus::NotFound
            | AttemptStatus::Undetermined => {}
        }
    }
}

/// Converts the state that a worker lists for a task.
fn status_of(state: AttemptState) -> AttemptStatus {
    match state {
        AttemptState::Running => AttemptStatus::Running,
        AttemptState::Done => AttemptStatus::Done,
        AttemptState::Failed => AttemptStatus::Failed,
        AttemptState::Stopped => AttemptStatus::Stopped,
        AttemptState::LeaseExpired => AttemptStatus::LeaseExpired,
    }
}
