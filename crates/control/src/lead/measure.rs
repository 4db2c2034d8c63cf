//! Log lines and metrics about the leader's jobs, workers and followers.

use std::collections::HashMap;
use std::time::Duration;

use scheduler::Phase;

use crate::event::note_job;
use crate::lead::Leader;
use crate::meter::{Count, Hop, Level};
use crate::node::Port;

/// Interval between checks of what overdue jobs wait for.
const WAIT_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Most overdue jobs explained per check; each takes a pass over the workers.
const MAX_WAITS_PER_PASS: usize = 20;

impl Leader {
    /// Logs what each overdue job waits for, and again when that changes.
    pub(super) fn log_waits(&mut self, port: &mut Port) {
        if port.now < self.waits_logged_at + WAIT_LOG_INTERVAL {
            return;
        }
        self.waits_logged_at = port.now;
        let overdue = self.scheduler.overdue_jobs(port.now).take(MAX_WAITS_PER_PASS);
        let mut waits = HashMap::new();
        for id in overdue.map(|job| job.id.clone()).collect::<Vec<_>>() {
            let Some(wait) = self.scheduler.first_wait_reason(&id, port.now) else { continue };
            if self.logged_waits.get(&id) != Some(&wait) {
                let ahead = self.scheduler.jobs_ahead_of(&id);
                note_job!(port, &id, JobWaits, "reason" => %wait, "ahead" => ahead,
                    "epoch" => self.epoch);
            }
            waits.insert(id, wait);
        }
        self.logged_waits = waits;
    }

    /// Records that a job is durable in a phase; logs its end.
    pub(super) fn record_durable_phase(&mut self, port: &mut Port, id: &str, phase: Phase) {
        let Some(job) = self.scheduler.jobs.get_mut(id) else { return };
        let age = port.now.saturating_sub(job.arrived);
        if job.durable_phase.is_none() {
            port.meter.time(Hop::Accept, age);
        }
        if phase != Phase::Open && job.durable_phase != Some(phase) {
            let label = match phase {
                Phase::Open => "open",
                Phase::Completed => "completed",
                Phase::Failed => "failed",
                Phase::Cancelled => "cancelled",
            };
            port.meter.time(Hop::Job, age);
            port.meter.count(Count::Jobs, label, 1);
            let late = port.now.saturating_sub(job.due_at).as_millis() as u64;
            note_job!(port, id, JobEnded, "phase" => label, "queue" => %job.queue,
                "age_ms" => age.as_millis() as u64, "late_ms" => late, "epoch" => self.epoch);
            port.sampler.forget(id);
        }
        job.durable_phase = Some(phase);
        job.drop_details();
    }

    /// Reports the gauges of the leader's jobs, workers, followers and commits.
    pub fn measure(&self, port: &Port) {
        let meter = &port.meter;
        let usable = self.scheduler.pool.iter().filter(|worker| worker.is_usable(port.now));
        let (mut count, mut free) = (0, 0);
        for worker in usable {
            count += 1;
            free += u64::from(worker.free().cpu);
        }
        let assigned =
            self.scheduler.pool.iter().map(|worker| worker.assignments.len() as u64).sum();
        meter.level(Level::OpenJobs, self.scheduler.open_jobs() as u64);
        meter.level(Level::Assigned, assigned);
        meter.level(Level::UsableWorkers, count);
        meter.level(Level::FreeCpu, free);
        meter.level(Level::Followers, self.peers.count() as u64);
        meter.level(Level::StoreAge, self.journal.commit_age(port.now).as_millis() as u64);
    }
}
