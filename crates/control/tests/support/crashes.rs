//! Workers that crash and come back, and the tasks that crash them.

use std::collections::HashMap;
use std::time::Duration;

use common::Name;
use control::Action;
use scheduler::TaskKey;

use super::{Event, Simulation, fakes::FakeWorker, ms};

/// Workers that may crash under a task before its starts are counted.
const COUNTED_AFTER: u32 = 3;

/// Starts after that by which the users' limit is exceeded.
const TOO_MANY_STARTS: u32 = 3;

/// Tasks that crash the workers that start them, and what became of that.
#[derive(Debug)]
pub struct Deadly {
    /// Whether a task is deadly.
    pub is_deadly: fn(&TaskKey) -> bool,
    /// Time from a start to the crash.
    pub delay: Duration,
    /// Time from a crash to the return of the worker.
    pub downtime: Duration,
    /// Whether a worker returns under its former id, not under a new one at its address.
    pub keeps_id: bool,
    /// Number of workers that crashed.
    pub crashes: u32,
    /// Workers that crashed under each deadly task.
    pub by_task: HashMap<TaskKey, u32>,
    /// Starts of each deadly task since it had crashed as many as allowed.
    starts_after: HashMap<TaskKey, u32>,
}

impl Default for Deadly {
    fn default() -> Self {
        Self {
            is_deadly: |_| false,
            delay: ms(10),
            downtime: ms(3200),
            keeps_id: false,
            crashes: 0,
            by_task: HashMap::new(),
            starts_after: HashMap::new(),
        }
    }
}

impl Simulation {
    /// Counts the start of a deadly task and lets its worker crash.
    pub(super) fn note_deadly_start(&mut self, key: &TaskKey, worker: &Name) {
        if !(self.deadly.is_deadly)(key) {
            return;
        }
        // It may be given up at any time.
        self.idle_watch.forget(&key.job);
        if self.deadly.by_task.get(key).is_some_and(|crashes| *crashes >= COUNTED_AFTER) {
            let starts = self.deadly.starts_after.entry(key.clone()).or_default();
            *starts += 1;
            if *starts == TOO_MANY_STARTS {
                self.violations.push(format!(
                    "{:?}: {key:?} started three times more after three workers had crashed",
                    self.now
                ));
            }
        }
        self.schedule(self.now + self.deadly.delay, Event::Crash(worker.clone()));
    }

    /// Ends a worker's process; it answers nothing until another one is started in its place.
    pub fn crash_worker(&mut self, id: &Name) {
        let Some(worker) = self.workers.get_mut(id).filter(|worker| !worker.is_dead) else {
            return;
        };
        let running: Vec<TaskKey> = worker.running.keys().cloned().collect();
        let is_listed = worker.is_listed;
        worker.die();
        worker.is_listed = is_listed;
        self.deadly.crashes += 1;
        for key in running {
            if (self.deadly.is_deadly)(&key) {
                *self.deadly.by_task.entry(key).or_default() += 1;
            }
        }
        self.schedule(self.now + self.deadly.downtime, Event::Return(id.clone()));
    }

    /// Starts a worker in place of one that crashed.
    pub(super) fn return_worker(&mut self, id: &Name) {
        let now = self.now;
        let Some(worker) = self.workers.get_mut(id) else { return };
        if self.deadly.keeps_id {
            worker.restart(now);
            return;
        }
        worker.is_replaced = true;
        worker.is_listed = false;
        let number = self.deadly.crashes;
        let next = Name::from(format!("{id}.{number}").as_str());
        let mut started = FakeWorker::new(next.clone(), worker.capacity);
        started.address = worker.address.clone();
        started.incarnation = worker.incarnation + 1;
        started.begin_clock(now);
        self.workers.insert(next, started);
    }

    /// Whether a connection that was open led to a process that crashed since.
    pub(super) fn is_connection_of_crashed(&self, order: &Action, opened: Option<u64>) -> bool {
        let id = match order {
            Action::Start { start, .. } => &start.worker,
            Action::Stop { stop, .. } => &stop.worker,
            Action::Renew { worker, .. } => worker,
            _ => return false,
        };
        let is_crashed = |worker: &FakeWorker| worker.is_dead && !worker.is_replaced;
        opened.is_some() && self.workers.get(id).is_some_and(is_crashed)
    }
}
