//! Room on the workers that a step may use: whom it is reserved for and when it comes.

use std::time::Duration;

use common::Name;

use crate::explain::Awaited;
use crate::forecast::Prediction;
use crate::job::{Job, TaskKey};
use crate::record::Resources;
use crate::scheduler::Scheduler;
use crate::worker::{Assignment, Worker};

/// Age of an overdue run, divided by the time for which it is expected to last on.
const OVERDUE_AGE_DIVISOR: u32 = 4;

/// Share of runs that end within the time after which a run has ended most likely.
///
/// With the median, calls for advice came before the room: 326 calls for 160 gangs instead of 317.
const LIKELY_END_SHARE: f64 = 0.9;

/// What a worker has left for tasks of one step.
struct Room {
    free: Resources,
    /// Number of tasks that the step's limit per worker allows.
    spread: u32,
}

impl Scheduler {
    /// Workers that accept tasks of a step now, by id.
    pub(crate) fn allowed_workers(
        &self,
        job: &Job,
        step_index: usize,
        now: Duration,
    ) -> Vec<&Worker> {
        let Some(queue) = self.queue(&job.queue) else { return Vec::new() };
        let spec = &job.submission.steps[step_index];
        let step = &job.steps[step_index];
        let is_allowed = |worker: &&Worker| {
            worker.is_usable(now)
                && !worker.is_closed_to(&job.id, now)
                && worker.can_run(queue, spec)
                && (queue.advice.is_none() || step.is_allowed(&worker.registration.id))
        };
        self.pool.iter().filter(is_allowed).collect()
    }

    /// Free capacity of a worker that the last pass did not reserve for jobs other than `own`.
    pub(crate) fn unreserved(&self, worker: &Worker, own: &str) -> Resources {
        let free = worker.free();
        match self.reservation(&worker.registration.id) {
            Some((first, capacity)) if **first != *own => free.minus(capacity),
            _ => free,
        }
    }

    /// The job other than `own` that the last pass first reserved a worker's capacity for.
    pub(crate) fn reserver(&self, worker: &str, own: &str) -> Option<&Name> {
        let (first, _) = self.reservation(worker)?;
        (**first != *own).then_some(first)
    }

    /// The worker whose runs, by their estimates, end last of those that a step needs to end.
    pub(crate) fn next_worker_with_room(
        &self,
        job: &Job,
        step_index: usize,
        now: Duration,
    ) -> Option<Awaited> {
        let spec = &job.submission.steps[step_index];
        let size = if spec.is_gang { spec.count } else { 1 };
        let key = (&job.id, step_index as u32);
        let allowed = self.allowed_workers(job, step_index, now);
        let mut rooms: Vec<Room> = allowed
            .iter()
            .map(|worker| Room { free: worker.free(), spread: worker.remaining_spread(key, spec) })
            .collect();
        let places = |room: &Room| spec.need.max_copies_in(&room.free).min(room.spread).min(size);
        let mut total: u32 = rooms.iter().map(places).sum();
        let mut ends = Vec::new();
        for (index, worker) in allowed.iter().enumerate() {
            let id = &worker.registration.id;
            let runs = worker.assignments.iter();
            ends.extend(
                runs.map(|(task, run)| (self.expected_end(id, task, run, now), index, task, run)),
            );
        }
        ends.sort_unstable_by_key(|(end, index, ..)| (*end, *index));
        for (end, index, task, run) in ends {
            let room = &mut rooms[index];
            total -= places(room);
            room.free = room.free.plus(&run.need);
            if task.job == *key.0 && task.step == key.1 {
                room.spread = room.spread.saturating_add(1);
            }
            total += places(room);
            if total >= size {
                let worker = allowed[index].registration.id.clone();
                return Some(Awaited { worker, after: end.saturating_sub(now) });
            }
        }
        None
    }

    /// The worker whose quarantine for a job ends first, of those that could run its step.
    pub(crate) fn next_released_worker(
        &self,
        job: &Job,
        step_index: usize,
        now: Duration,
    ) -> Option<Awaited> {
        let queue = self.queue(&job.queue)?;
        let spec = &job.submission.steps[step_index];
        let quarantined = self.pool.iter().filter(|worker| {
            let until = worker.opens_at(&job.id);
            until > now && worker.is_usable(until) && worker.can_run(queue, spec)
        });
        let next = quarantined.min_by_key(|worker| worker.opens_at(&job.id))?;
        Some(Awaited::after_backoff(next, &job.id, now))
    }

    /// The worker with room for a task of a step that is passed over, and released first.
    pub(crate) fn next_passed_over_worker(
        &self,
        job: &Job,
        step_index: usize,
        now: Duration,
    ) -> Option<Name> {
        let queue = self.queue(&job.queue)?;
        let spec = &job.submission.steps[step_index];
        let step = &job.steps[step_index];
        let key = (&job.id, step_index as u32);
        let has_room = |worker: &&Worker| {
            worker.is_open()
                && (worker.is_passed_over(now) || worker.is_closed_to(&job.id, now))
                && worker.can_run(queue, spec)
                && (queue.advice.is_none() || step.is_allowed(&worker.registration.id))
                && worker.places(key, spec, &worker.free()) > 0
        };
        let passed_over = self.pool.iter().filter(has_room);
        let next = passed_over.min_by_key(|worker| worker.opens_at(&job.id))?;
        Some(next.registration.id.clone())
    }

    /// First job and capacity that the last pass reserved on a worker.
    fn reservation(&self, worker: &str) -> Option<(&Name, &Resources)> {
        let index = self.last_slots.binary_search_by(|slot| (*slot.id).cmp(worker)).ok()?;
        let slot = &self.last_slots[index];
        Some((slot.reserved_for.as_ref()?, &slot.reserved))
    }

    /// When a worker's run is expected to end; if it is overdue, by the runs that took as long, or by
    /// its age.
    pub(crate) fn expected_end(
        &self,
        worker: &str,
        key: &TaskKey,
        run: &Assignment,
        now: Duration,
    ) -> Duration {
        let prediction = self.predict_on(worker, key);
        let run_time = prediction.map(|prediction| prediction.expected).unwrap_or_default();
        end_or_overdue(prediction, run_time, run, now)
    }

    /// When a worker's run has ended most likely; the same as its expected end without a history.
    pub(crate) fn likely_end(
        &self,
        worker: &str,
        key: &TaskKey,
        run: &Assignment,
        now: Duration,
    ) -> Duration {
        let prediction = self.predict_on(worker, key);
        let run_time = prediction
            .map(|prediction| prediction.quantile(LIKELY_END_SHARE).unwrap_or(prediction.expected));
        end_or_overdue(prediction, run_time.unwrap_or_default(), run, now)
    }
}

/// The end of a run after a run time; if it is overdue, by the runs that took as long, or by its age.
fn end_or_overdue(
    prediction: Option<Prediction<'_>>,
    run_time: Duration,
    run: &Assignment,
    now: Duration,
) -> Duration {
    if run.changed_at + run_time > now {
        return run.changed_at + run_time;
    }
    let age = now.saturating_sub(run.changed_at);
    let longer = prediction.and_then(|prediction| prediction.expected_beyond(age));
    longer.map_or(now + age / OVERDUE_AGE_DIVISOR, |run_time| run.changed_at + run_time)
}
