//! Checks from outside that no job is left idle while its pool has room for it.
//!
//! It judges by what callers submitted and by what workers run, never by what the scheduler says,
//! so that it sees each wait, whatever its cause.
//!
//! A job is idle if it has nothing running, a step's turn has come (all tasks of the steps that it
//! depends on have succeeded), less than half of the pool is in use, and the pool has room for the
//! step twice over. That is room for twice the tasks that wait if the step is a gang, as it starts
//! as a whole, and for two tasks of any other step, as one of them would be something running.
//! Free capacity counts whether or not anything reserves it, but only on workers that may run the
//! step: those with its label that the advice service would allow.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::Duration;

use common::Name;
use scheduler::{Resources, Step, Submission, TaskKey};

/// Longest time for which a job may be idle.
const MAX_IDLE_TIME: Duration = Duration::from_secs(3);

/// Share of the pool in use from which no job counts as idle, in percent.
const BUSY_PERCENT: u64 = 50;

/// How often the waiting tasks must fit into the room.
const ROOM_FACTOR: u32 = 2;

/// Capacity of a worker that accepts starts, and what its runs leave of it.
#[derive(Debug)]
pub struct Room {
    pub worker: Name,
    pub capacity: Resources,
    pub free: Resources,
}

/// An accepted job that has not ended.
#[derive(Debug)]
struct OpenJob {
    steps: Vec<Step>,
    /// Tasks of each step that have succeeded, by index.
    succeeded: Vec<HashSet<u32>>,
}

impl OpenJob {
    fn waiting_tasks(&self, step: usize) -> u32 {
        self.steps[step].count - self.succeeded[step].len() as u32
    }

    fn has_ended(&self) -> bool {
        (0..self.steps.len()).all(|step| self.waiting_tasks(step) == 0)
    }

    /// Steps with waiting tasks whose turn has come.
    fn ready_steps(&self) -> impl Iterator<Item = usize> {
        let is_done = |step: &u32| self.waiting_tasks(*step as usize) == 0;
        (0..self.steps.len()).filter(move |step| {
            self.waiting_tasks(*step) > 0 && self.steps[*step].after.iter().all(is_done)
        })
    }
}

/// Open jobs, and since when each has been idle.
#[derive(Debug, Default)]
pub struct IdleCheck {
    jobs: BTreeMap<Name, OpenJob>,
    idle_since: HashMap<Name, Duration>,
}

impl IdleCheck {
    /// Adds a job that was accepted.
    pub fn add(&mut self, job: &Submission) {
        let succeeded = vec![HashSet::new(); job.steps.len()];
        let open = OpenJob { steps: job.steps.clone(), succeeded };
        self.jobs.insert(Name::new(&job.id), open);
    }

    /// Removes a job that was cancelled or has failed.
    pub fn remove(&mut self, id: &str) {
        self.jobs.remove(id);
    }

    /// Records the success of a task; that of any member is the success of a whole gang.
    pub fn record_success(&mut self, key: &TaskKey) {
        let Some(job) = self.jobs.get_mut(&key.job) else { return };
        let step = &job.steps[key.step as usize];
        let succeeded = if step.is_gang { 0..step.count } else { key.index..key.index + 1 };
        job.succeeded[key.step as usize].extend(succeeded);
        if job.has_ended() {
            self.jobs.remove(&key.job);
        }
    }

    /// Starts anew, as after a fault.
    pub fn reset(&mut self) {
        self.idle_since.clear();
    }

    /// Returns a description of each job that has been idle for too long.
    ///
    /// `busy` are the jobs that have something running; `may_run` tells whether a worker may run a
    /// step of a job.
    pub fn observe(
        &mut self,
        now: Duration,
        rooms: &[Room],
        busy: &HashSet<&Name>,
        may_run: impl Fn(&Name, u32, &Step, &Name) -> bool,
    ) -> Vec<String> {
        let used_percent = used_percent(rooms);
        if used_percent >= BUSY_PERCENT {
            self.reset();
            return Vec::new();
        }
        let former = std::mem::take(&mut self.idle_since);
        let mut violations = Vec::new();
        for (id, job) in self.jobs.iter().filter(|(id, _)| !busy.contains(id)) {
            let room = job.ready_steps().find_map(|index| {
                let step = &job.steps[index];
                let may_run = |worker: &Name| may_run(id, index as u32, step, worker);
                let places = places(step, rooms.iter().filter(|room| may_run(&room.worker)));
                let wanted = if step.is_gang { job.waiting_tasks(index) } else { 1 };
                (places >= wanted.saturating_mul(ROOM_FACTOR)).then_some((index, places))
            });
            let Some((index, places)) = room else { continue };
            let mut since = former.get(id).copied().unwrap_or(now);
            if now > since + MAX_IDLE_TIME {
                let tasks = job.waiting_tasks(index);
                let kind = if job.steps[index].is_gang { "gang of " } else { "" };
                violations.push(format!(
                    "{id} has had nothing running from {since:?} to {now:?}: {kind}{tasks} tasks \
                     of step {index} wait, {places} places are free where they may run, \
                     {used_percent}% of the pool is in use"
                ));
                since = now;
            }
            self.idle_since.insert(id.clone(), since);
        }
        violations
    }
}

/// Share of the capacity in use, in percent; that of the resource that is used most.
fn used_percent(rooms: &[Room]) -> u64 {
    let percent = |amount: fn(&Resources) -> u32| {
        let capacity: u64 = rooms.iter().map(|room| u64::from(amount(&room.capacity))).sum();
        let free: u64 = rooms.iter().map(|room| u64::from(amount(&room.free))).sum();
        capacity.saturating_sub(free) * 100 / capacity.max(1)
    };
    percent(|all| all.cpu).max(percent(|all| all.mem)).max(percent(|all| all.gpus))
}

/// Number of tasks of a step that fit into rooms.
fn places<'a>(step: &Step, rooms: impl Iterator<Item = &'a Room>) -> u32 {
    let limit = if step.spread == 0 { u32::MAX } else { step.spread };
    rooms.map(|room| step.need.max_copies_in(&room.free).min(limit)).fold(0, u32::saturating_add)
}
