//! Lends room that a gang has collected for long to tasks that end before the gang can start.
//!
//! A gang keeps the room that it has collected while the last of its places are occupied. If a
//! task there takes long, the collected room would be idle all the while. So a gang that has
//! waited for some time expects its start at the time at which, by the estimates, enough runs have
//! ended; a task of a job of lower rank may use its room if it ends well before. The expected start
//! is refreshed for one gang in each pass.

use std::time::Duration;

use common::Name;

use super::{Pass, PendingStep, Slot};
use crate::record::Resources;
use crate::rules::Queue;

/// Time for which a gang keeps what it collects to itself.
pub(super) const LEND_DELAY: Duration = Duration::from_secs(3);

/// Age at which the expected start of a gang is refreshed.
const REFRESH_INTERVAL: Duration = Duration::from_secs(1);

/// Share of runs that end within the time that is assumed for a task that uses a gang's room.
///
/// Up to 3 in 100 runs take several times as long as usual.
const LATEST_END_SHARE: f64 = 0.95;

/// The same time without a history, as a multiple of the expected run time.
const RUN_TIME_MARGIN: u32 = 2;

common::data! {
    /// A gang's wait for the room that it lacks.
    #[derive(Copy)]
    pub(crate) struct GangWait {
        /// When it first reserved capacity.
        since: Duration,
        /// When it is expected to start; `since` before the first estimate.
        expected_start: Duration,
        /// When that was estimated.
        estimated_at: Duration,
    }
}

impl Pass<'_> {
    /// Time until which others may use the room that a gang reserves; `None` if they may not.
    pub(super) fn lend_until(&mut self, pending: &PendingStep<'_>) -> Option<Duration> {
        let (id, step_index) = pending.key;
        let now = self.now;
        let job = self.scheduler.jobs.get_mut(id)?;
        let step = &mut job.steps[step_index as usize];
        let new_wait = GangWait { since: now, expected_start: now, estimated_at: now };
        let wait = *step.gang_wait.get_or_insert(new_wait);
        if now < wait.since + LEND_DELAY {
            return None;
        }
        let is_fresh = wait.estimated_at > wait.since && now < wait.estimated_at + REFRESH_INTERVAL;
        if is_fresh || self.has_refreshed_wait {
            return Some(wait.expected_start);
        }
        self.has_refreshed_wait = true;
        let job = self.scheduler.jobs.get(id)?;
        let awaited = self.scheduler.next_worker_with_room(job, step_index as usize, now);
        let expected_start = awaited.map_or(now, |awaited| now + awaited.after);
        let wait = GangWait { expected_start, estimated_at: now, ..wait };
        self.scheduler.jobs.get_mut(id)?.steps[step_index as usize].gang_wait = Some(wait);
        Some(expected_start)
    }

    /// When a task of a step that is placed now has ended at the latest.
    ///
    /// The maximum if the step may use no room that is lent.
    pub(super) fn latest_end(&self, id: &Name, step_index: usize, queue: &Queue) -> Duration {
        if self.lent_until <= self.now {
            return Duration::MAX;
        }
        let job = self.scheduler.jobs.get(id);
        let spec = job.and_then(|job| job.submission.steps.get(step_index));
        spec.filter(|spec| !spec.is_gang).map_or(Duration::MAX, |spec| {
            let workspace = &job.map(|job| job.workspace.clone()).unwrap_or_default();
            let prediction = self.scheduler.predict(&queue.name, workspace, spec);
            let run_time = prediction.quantile(LATEST_END_SHARE);
            self.now + run_time.unwrap_or(prediction.expected * RUN_TIME_MARGIN)
        })
    }
}

impl Slot {
    /// Capacity for a task that ends at a time: what is free, and what is lent until then.
    pub(super) fn available(&self, ends_at: Duration) -> Resources {
        if ends_at <= self.lent_until {
            self.free_capacity.plus(&self.lent)
        } else {
            self.free_capacity
        }
    }

    /// Takes capacity; what is not free is taken from what is lent.
    pub(super) fn take(&mut self, capacity: &Resources) {
        let borrowed = capacity.minus(&self.free_capacity);
        self.free_capacity = self.free_capacity.minus(capacity);
        self.lent = self.lent.minus(&borrowed);
        self.reserved = self.reserved.minus(&borrowed);
    }

    /// Reserves capacity for a job.
    pub(super) fn reserve(&mut self, capacity: &Resources, job: &Name) {
        self.take(capacity);
        self.reserved = self.reserved.plus(capacity);
        self.reserved_for.get_or_insert_with(|| job.clone());
    }

    /// Lends reserved capacity to tasks that end by a time.
    pub(super) fn lend(&mut self, capacity: &Resources, until: Duration) {
        let is_first = self.lent == Resources::default();
        self.lent_until = if is_first { until } else { self.lent_until.min(until) };
        self.lent = self.lent.plus(capacity);
    }
}
