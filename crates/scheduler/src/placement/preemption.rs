//! Stops checkpointed tasks of lower priority where a gang would otherwise miss its target time.
//!
//! Answers a full pool in which gangs wait for room that tasks with time to spare occupy. A stop
//! saves a checkpoint, so a preempted task loses only the time to resume. A gang preempts when it
//! must start soon, on workers for which it has tickets, and only if it fits then. It takes only
//! tasks that are expected to complete in time if they run again after it, and holds their room as
//! it becomes free. A run that began a short time ago is left alone, so that each run of a task
//! makes progress.

use std::cmp::Reverse;
use std::time::Duration;

use super::{Pass, PendingStep};
use crate::job::{Phase, TaskKey};
use crate::record::Resources;
use crate::worker::{Assignment, RunState};

/// Time left until a gang must start at which it preempts and learns about more workers first.
///
/// It covers two rounds of advice calls, a stop and a commit. Of 3, 6 and 12 s, the shorter one
/// leaves more gangs late, and the longer one makes more of the preempted tasks late.
const PREEMPTION_LEAD: Duration = Duration::from_secs(6);

/// Expected time from a decision until the room of a stopped run is free.
const STOP_TIME: Duration = Duration::from_millis(400);

/// Time for which a run is left alone; resuming from a checkpoint takes less.
const MIN_RUN_TIME: Duration = Duration::from_secs(1);

impl Pass<'_> {
    /// Whether a gang has so little time left that it may preempt tasks of lower priority.
    pub(super) fn may_preempt(&self, pending: &PendingStep<'_>) -> bool {
        if !pending.spec.is_gang {
            return false;
        }
        let Some(job) = self.scheduler.jobs.get(pending.key.0) else { return false };
        let run_time = self.expected_run_time(pending);
        self.now + run_time + PREEMPTION_LEAD >= job.due_at
    }

    /// Expected run time of a step's tasks.
    fn expected_run_time(&self, pending: &PendingStep<'_>) -> Duration {
        let job = self.scheduler.jobs.get(pending.key.0);
        job.map_or(Duration::ZERO, |job| {
            self.scheduler.predict(&job.queue, &job.workspace, pending.spec).expected
        })
    }

    /// Whether a gang that may preempt may take the room of a run.
    pub(super) fn is_preemptible(
        &self,
        pending: &PendingStep<'_>,
        key: &TaskKey,
        run: &Assignment,
    ) -> bool {
        if run.state != RunState::Running || self.now < run.changed_at + MIN_RUN_TIME {
            return false;
        }
        let Some(job) = self.scheduler.jobs.get(&key.job) else { return false };
        let Some(spec) = job.submission.steps.get(key.step as usize) else { return false };
        if job.phase != Phase::Open || spec.is_gang || !spec.is_checkpointed {
            return false;
        }
        let Some(queue) = self.scheduler.queue(&job.queue) else { return false };
        let own_run_time = self.scheduler.predict(&job.queue, &job.workspace, spec).expected;
        queue.priority > pending.queue.priority
            && self.now + self.expected_run_time(pending) + own_run_time <= job.due_at
    }

    /// Stops tasks of lower priority if the gang fits on workers with tickets without them, and holds
    /// their room.
    pub(super) fn preempt(&mut self, pending: &PendingStep<'_>) {
        if !self.may_preempt(pending) {
            return;
        }
        let mut remaining = pending.waiting_tasks.len() as u32;
        let ticketed = pending.ticketed_slots(self.start_arrival + STOP_TIME);
        let mut rooms: Vec<_> = ticketed
            .into_iter()
            .filter_map(|slot| {
                let room = self.room_without_preemptible(pending, slot)?;
                Some((slot, room))
            })
            .collect();
        // Workers that need the fewest stops for a place come first.
        rooms.sort_by_key(|(_, room)| {
            (room.stopped_cpu() / room.places.max(1), Reverse(room.places))
        });
        let mut chosen = Vec::new();
        for (slot, room) in rooms {
            if remaining == 0 {
                break;
            }
            let taken = room.places.min(remaining);
            remaining -= taken;
            chosen.push((slot, taken, room));
        }
        if remaining > 0 {
            return;
        }
        let mut holds = Vec::new();
        let mut stops = Vec::new();
        for (slot, taken, room) in chosen {
            holds.push((slot, room.free_places.min(taken)));
            let mut free = room.free;
            for (key, run, need) in room.preemptible {
                if self.fitting_in(pending, slot, &free) >= taken {
                    break;
                }
                free = free.plus(&need);
                stops.push((key, run, self.slots[slot].id.clone()));
            }
        }
        self.scheduler.preempted_runs += stops.len() as u64;
        for (key, run, worker) in stops {
            self.scheduler.stop(key, run, worker);
        }
        self.set_holds(pending, &holds);
    }

    /// What a gang would find on a slot if what it may preempt were stopped; `None` if that gives no
    /// place.
    fn room_without_preemptible(&self, pending: &PendingStep<'_>, slot: usize) -> Option<Room> {
        let worker = self.scheduler.pool.get(&self.slots[slot].id)?;
        let mut free = self.slots[slot].free_capacity;
        let free_places = self.fitting_in(pending, slot, &free);
        let mut preemptible = Vec::new();
        for (key, run) in &worker.assignments {
            if matches!(run.state, RunState::Stopping | RunState::Stopped) {
                free = free.plus(&run.need);
            } else if self.is_preemptible(pending, key, run) {
                let due_at = self.scheduler.jobs.get(&key.job).map(|job| job.due_at);
                preemptible.push((due_at, key.clone(), run.run, run.need));
            }
        }
        // Tasks with the most time left are stopped first.
        preemptible.sort_by(|(first, first_key, ..), (second, second_key, ..)| {
            (second, second_key).cmp(&(first, first_key))
        });
        let without = preemptible.iter().fold(free, |sum, (.., need)| sum.plus(need));
        let places = self.fitting_in(pending, slot, &without);
        let preemptible =
            preemptible.into_iter().map(|(_, key, run, need)| (key, run, need)).collect();
        (places > 0).then_some(Room { free, free_places, places, preemptible })
    }
}

/// What a gang would find on a worker without the runs that it may preempt.
#[derive(Debug)]
struct Room {
    /// What is free, with what runs use that are being stopped.
    free: Resources,
    /// Places that are free now.
    free_places: u32,
    /// Places without the preemptible runs.
    places: u32,
    /// Those runs, in the order in which they are stopped.
    preemptible: Vec<(TaskKey, u32, Resources)>,
}

impl Room {
    /// CPU of the runs that would be stopped for all places.
    fn stopped_cpu(&self) -> u32 {
        if self.free_places >= self.places {
            return 0;
        }
        self.preemptible.iter().map(|(.., need)| need.cpu).fold(0, u32::saturating_add)
    }
}
