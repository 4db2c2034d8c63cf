//! What the leader notes of its jobs and levels.

use std::collections::HashMap;
use std::time::Duration;

use scheduler::Phase;

use crate::event::note_job;
use crate::lead::Leader;
use crate::meter::{Count, Hop, Level};
use crate::node::Port;

/// Pause between two looks at what overdue jobs wait for.
const WAITS_PAUSE: Duration = Duration::from_secs(1);

/// Overdue jobs explained at a look, as each costs a pass over the workers.
const WAITS_AT_ONCE: usize = 20;

impl Leader {
    /// Logs what overdue jobs wait for, again where that has changed.
    pub(super) fn note_waits(&mut self, port: &mut Port) {
        if port.now < self.waits_noted + WAITS_PAUSE {
            return;
        }
        self.waits_noted = port.now;
        let overdue = self.scheduler.overdue(port.now).take(WAITS_AT_ONCE);
        let mut waits = HashMap::new();
        for id in overdue.map(|job| job.id.clone()).collect::<Vec<_>>() {
            let Some(wait) = self.scheduler.why_waiting(&id, port.now) else { continue };
            if self.waits.get(&id) != Some(&wait) {
                let rank = self.scheduler.ahead_of(&id);
                note_job!(port, &id, JobWaits, "reason" => %wait, "ahead" => rank,
                    "epoch" => self.epoch);
            }
            waits.insert(id, wait);
        }
        self.waits = waits;
    }

    /// Notes that the store has a job in a phase.
    pub(super) fn job_durable(&mut self, port: &mut Port, id: &str, phase: Phase) {
        let Some(job) = self.scheduler.jobs.get_mut(id) else { return };
        let age = port.now.saturating_sub(job.arrived);
        if job.durable.is_none() {
            port.meter.time(Hop::Accept, age);
        }
        if phase != Phase::Open && job.durable != Some(phase) {
            let word = match phase {
                Phase::Open => "open",
                Phase::Completed => "completed",
                Phase::Failed => "failed",
                Phase::Cancelled => "cancelled",
            };
            port.meter.time(Hop::Job, age);
            port.meter.count(Count::Jobs, word, 1);
            let late = port.now.saturating_sub(job.due).as_millis() as u64;
            note_job!(port, id, JobEnded, "phase" => word, "queue" => %job.queue,
                "age_ms" => age.as_millis() as u64, "late_ms" => late, "epoch" => self.epoch);
            port.sampler.forget(id);
        }
        job.durable = Some(phase);
        job.shrink();
    }

    /// Notes the levels of what the leader holds.
    pub fn measure(&self, port: &Port) {
        let meter = &port.meter;
        let usable = self.scheduler.pool.iter().filter(|worker| worker.is_usable(port.now));
        let (mut count, mut free) = (0, 0);
        for worker in usable {
            count += 1;
            free += u64::from(worker.free().cpu);
        }
        let assigned = self.scheduler.pool.iter().map(|worker| worker.assigned.len() as u64).sum();
        meter.level(Level::OpenJobs, self.scheduler.open_jobs() as u64);
        meter.level(Level::Assigned, assigned);
        meter.level(Level::UsableWorkers, count);
        meter.level(Level::FreeCpu, free);
        meter.level(Level::Followers, self.peers.count() as u64);
        meter.level(Level::StoreAge, self.journal.age(port.now).as_millis() as u64);
    }
}
