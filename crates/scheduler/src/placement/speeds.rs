//! Prefers workers by their measured speeds.
//!
//! Steps that would end late go to fast workers, those with much slack leave these to others, and the
//! tasks of a gang, which ends with its slowest, go to workers of like speed. The preference is
//! bounded: it outweighs a difference in free room no larger than that in speed, so that tasks are
//! packed and the fast workers are not crowded. Without speeds that differ, it changes nothing.

use std::cmp::Reverse;
use std::time::Duration;

use common::Name;

use super::{Pass, PendingStep, Slot};
use crate::job::Job;
use crate::scheduler::Scheduler;

/// Slack, as a share of the time until the job's end, below which a step is urgent.
const TIGHT_SLACK: f64 = 0.25;

/// Slack, as a share of the same time, from which a step may take its time.
///
/// On a worker of speed 0.6, it uses less than half of that.
const AMPLE_SLACK: f64 = 1.5;

/// Units of a whole worker's free room, and of a speed of e, in a preference.
const UNITS: f64 = 1000.0;

/// Largest ratio between the speeds of a gang's workers that counts as like, as a logarithm, and the
/// step by which a range of them is moved.
const LIKE_SPEEDS: f64 = 0.25;
const RANGE_STEP: f64 = 0.125;

/// Fastest speed that is told apart, as a logarithm, in steps of a range; slower ones likewise.
const MAX_RANGE: i32 = 8;

common::key! {
    /// How much time a step has.
    pub(super) enum Urgency {
        /// It ends late unless it starts soon, on a fast worker.
        Tight,
        /// Neither of both, or speeds do not differ.
        Usual,
        /// It ends in time on a slow worker too.
        Ample,
    }
}

impl Scheduler {
    /// Expected time of the longest chain of steps that begins with a step.
    fn remaining_path(&self, job: &Job, first: usize) -> Duration {
        let steps = &job.submission.steps;
        let mut path_lengths = vec![None; steps.len()];
        for (index, spec) in steps.iter().enumerate().skip(first) {
            let earlier = spec.after.iter().filter_map(|earlier| path_lengths[*earlier as usize]);
            let start = if index == first { Some(Duration::ZERO) } else { earlier.max() };
            let run_time = || self.predict(&job.queue, &job.workspace, spec).expected;
            path_lengths[index] = start.map(|start: Duration| start + run_time());
        }
        path_lengths.into_iter().flatten().max().unwrap_or_default()
    }
}

impl Pass<'_> {
    /// How much time a step has that starts now.
    pub(super) fn urgency(&self, id: &Name, step_index: usize) -> Urgency {
        let job = self.scheduler.jobs.get(id).filter(|_| self.scheduler.forecast.speeds_differ());
        let Some(job) = job else { return Urgency::Usual };
        let path = self.scheduler.remaining_path(job, step_index);
        let slack = job.due_at.saturating_sub(self.now + path);
        if slack < path.mul_f64(TIGHT_SLACK) {
            Urgency::Tight
        } else if slack > path.mul_f64(AMPLE_SLACK) {
            Urgency::Ample
        } else {
            Urgency::Usual
        }
    }

    /// Rank of a slot by its speed and free room, the best least; 0 for steps without a preference.
    pub(super) fn speed_rank(&self, pending: &PendingStep<'_>, slot: usize) -> i64 {
        let slot = &self.slots[slot];
        let gain = slot.speed.ln() * UNITS;
        let free = f64::from(slot.free_capacity.cpu) / f64::from(slot.capacity.cpu.max(1)) * UNITS;
        match pending.urgency {
            Urgency::Usual => 0,
            Urgency::Tight => (free - gain) as i64,
            Urgency::Ample => (free + gain) as i64,
        }
    }

    /// Number of places weighted by the speed that a step prefers.
    pub(super) fn weighted_places(
        &self,
        pending: &PendingStep<'_>,
        slot: usize,
        places: u32,
    ) -> u64 {
        let speed = self.slots[slot].speed;
        let weight = match pending.urgency {
            Urgency::Tight if !pending.spec.is_gang => speed,
            Urgency::Ample if !pending.spec.is_gang => 1.0 / speed,
            _ => 1.0,
        };
        (f64::from(places) * weight * UNITS) as u64
    }

    /// When a task of a step that is placed on a slot now has ended at the latest.
    pub(super) fn latest_end_on(&self, pending: &PendingStep<'_>, slot: &Slot) -> Duration {
        if pending.ends_at == Duration::MAX || !self.scheduler.forecast.speeds_differ() {
            return pending.ends_at;
        }
        self.now + pending.ends_at.saturating_sub(self.now).div_f64(slot.speed)
    }

    /// Slots of like speed for all tasks of a gang, from feasible ones in their order; `None` if there
    /// are none, or speeds do not differ.
    ///
    /// An urgent gang gets the fastest, one with much slack the slowest, others those of usual speed.
    pub(super) fn choose_alike(
        &self,
        pending: &PendingStep<'_>,
        feasible: &[usize],
    ) -> Option<Vec<(u32, usize)>> {
        if !self.scheduler.forecast.speeds_differ() {
            return None;
        }
        let is_clean = |slot: &usize| {
            !self.is_shunned(pending, *slot)
                && !self.is_doubtful(pending, *slot)
                && self.has_affinity(pending.spec, *slot)
        };
        let clean: Vec<usize> = feasible.iter().copied().filter(is_clean).collect();
        self.choose_among(pending, &clean)?;
        let mut ranges: Vec<i32> = (-MAX_RANGE..=MAX_RANGE).collect();
        ranges.sort_by_key(|range| match pending.urgency {
            Urgency::Tight => Reverse(*range),
            Urgency::Usual => Reverse(-range.abs()),
            Urgency::Ample => Reverse(-range),
        });
        ranges.into_iter().find_map(|range| {
            let middle = f64::from(range) * RANGE_STEP;
            let is_alike =
                |slot: &usize| (self.slots[*slot].speed.ln() - middle).abs() <= LIKE_SPEEDS / 2.0;
            let alike: Vec<usize> = clean.iter().copied().filter(is_alike).collect();
            self.choose_among(pending, &alike)
        })
    }
}
