//! Workers that run tasks under leases, and count what they were asked to run.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::{Duration, Instant};

use border::workers::{
    AttemptId, AttemptReport, AttemptState, RenewRequest, StartRequest, StopRequest,
    ThrottleRequest,
};
use common::Name;
use settings::Inventory;
use settings::quantity::Resources;

use crate::work::{self, Work};

common::record! {
    /// What the workers counted.
    #[derive(Default)]
    pub struct Counts {
        /// Starts that took effect.
        pub starts: u64,
        /// Starts of an attempt that the worker already had.
        pub repeated_starts: u64,
        /// Tasks that ended with a result.
        pub done: u64,
        /// Tasks that were stopped because their lease lapsed.
        pub lapsed: u64,
        /// Starts while another attempt at the same task ran elsewhere.
        pub doubled: u64,
        /// Second starts of work that is not repeatable.
        pub rerun_once: u64,
        /// Starts that took a worker over its size.
        pub over_capacity: u64,
        /// Starts on workers that were leaving.
        pub on_leaving: u64,
        /// Calls refused for their fence.
        pub fenced: u64,
    }
}

#[derive(Debug)]
struct Running {
    task: AttemptReport,
    work: Work,
    ends_at: Option<Instant>,
    lease_until: Instant,
    started_at: Instant,
}

#[derive(Debug, Default)]
struct Worker {
    room: Resources,
    fence: u64,
    tasks: BTreeMap<AttemptId, Running>,
    fails_all: bool,
    is_silent: bool,
}

/// All workers.
#[derive(Debug, Default)]
pub struct Workers {
    workers: HashMap<Name, Worker>,
    /// By task, the attempts that run now.
    places: HashMap<(Name, Name, u32), HashSet<u32>>,
    once: HashMap<(Name, Name, u32), u32>,
    leaving: HashSet<Name>,
    ran: HashSet<(Name, Name)>,
    /// What was counted.
    pub counts: Counts,
}

fn place_of(run: &AttemptId) -> (Name, Name, u32) {
    (run.customer.clone(), run.id.clone(), run.task)
}

impl Workers {
    /// The workers of an inventory.
    pub fn new(inventory: &Inventory) -> Self {
        let worker = |room| Worker { room, ..Worker::default() };
        let workers =
            inventory.workers().map(|(_, one)| (one.name.clone(), worker(one.task_capacity)));
        Self { workers: workers.collect(), ..Self::default() }
    }

    /// Makes a worker fail everything, or not.
    pub fn set_failing(&mut self, worker: &str, fails: bool) {
        if let Some(worker) = self.workers.get_mut(worker) {
            worker.fails_all = fails;
        }
    }

    /// Makes a worker answer nobody, or answer again.
    pub fn set_silent(&mut self, worker: &str, is_silent: bool) {
        if let Some(worker) = self.workers.get_mut(worker) {
            worker.is_silent = is_silent;
        }
    }

    /// Marks VMs as leaving.
    pub fn set_leaving(&mut self, leaving: HashSet<Name>) {
        self.leaving = leaving;
    }

    /// Every VM with whether it is leaving.
    pub fn vms(&self) -> Vec<border::fleet::Vm> {
        let vm = |name: &Name| border::fleet::Vm {
            name: name.clone(),
            leaving: self.leaving.contains(name),
        };
        self.workers.keys().map(vm).collect()
    }

    /// Requests that ran at least once, as `customer/id`.
    pub fn ran(&self) -> Vec<String> {
        self.ran.iter().map(|(customer, id)| format!("{customer}/{id}")).collect()
    }

    /// Whether a worker answers nobody.
    pub fn is_silent(&self, worker: &str) -> bool {
        self.workers.get(worker).is_some_and(|worker| worker.is_silent)
    }

    fn fenced(&mut self, worker: &str, fence: u64) -> Result<(), String> {
        let worker = self.workers.get_mut(worker).ok_or("no such worker")?;
        if fence < worker.fence {
            self.counts.fenced += 1;
            return Err(format!("fence {fence} is below {}", worker.fence));
        }
        worker.fence = fence;
        Ok(())
    }

    /// Starts a task.
    ///
    /// # Errors
    ///
    /// Why the start is refused.
    pub fn start(&mut self, name: &str, start: StartRequest, now: Instant) -> Result<(), String> {
        self.advance(now);
        self.fenced(name, start.fence)?;
        let Some(worker) = self.workers.get_mut(name) else {
            return Err("no such worker".to_owned());
        };
        if worker.tasks.contains_key(&start.run) {
            self.counts.repeated_starts += 1;
            return Ok(());
        }
        let running = worker.tasks.values().filter(|one| one.task.state == AttemptState::Running);
        let used = running.fold(Resources::default(), |sum, one| sum.plus(&one.task.size));
        if !used.plus(&start.size).fits_in(&worker.room) {
            self.counts.over_capacity += 1;
        }
        let mut work = work::parse(&start.payload);
        work.fails |= worker.fails_all;
        let task = AttemptReport {
            run: start.run.clone(),
            state: AttemptState::Running,
            size: start.size,
            result: String::new(),
            cpu_ms: 0,
            memory: 0,
        };
        let running = Running {
            task,
            work,
            ends_at: work.length.map(|length| now + length),
            lease_until: now + Duration::from_millis(start.lease_ms),
            started_at: now,
        };
        worker.tasks.insert(start.run.clone(), running);
        self.count_start(name, &start.run, work);
        Ok(())
    }

    fn count_start(&mut self, worker: &str, run: &AttemptId, work: Work) {
        self.counts.starts += 1;
        self.ran.insert((run.customer.clone(), run.id.clone()));
        if self.leaving.contains(worker) {
            self.counts.on_leaving += 1;
        }
        let attempts = self.places.entry(place_of(run)).or_default();
        if !attempts.is_empty() {
            self.counts.doubled += 1;
        }
        attempts.insert(run.attempt);
        if work.is_once {
            let starts = self.once.entry(place_of(run)).or_default();
            *starts += 1;
            if *starts > 1 {
                self.counts.rerun_once += 1;
            }
        }
    }

    /// Renews leases, forgets what may be forgotten, and lists the rest.
    ///
    /// # Errors
    ///
    /// Why the renewal is refused.
    pub fn renew(
        &mut self,
        name: &str,
        renew: &RenewRequest,
        now: Instant,
    ) -> Result<Vec<AttemptReport>, String> {
        self.advance(now);
        self.fenced(name, renew.fence)?;
        let Some(worker) = self.workers.get_mut(name) else {
            return Err("no such worker".to_owned());
        };
        for run in &renew.forget {
            worker.tasks.remove(run);
        }
        let lease = Duration::from_millis(renew.lease_ms);
        for running in worker.tasks.values_mut() {
            if renew.lease_ms > 0 && running.task.state == AttemptState::Running {
                running.lease_until = now + lease;
            }
            running.task.cpu_ms = now.duration_since(running.started_at).as_millis() as u64;
        }
        Ok(worker.tasks.values().map(|running| running.task.clone()).collect())
    }

    /// Stops a task.
    ///
    /// # Errors
    ///
    /// Why the stop is refused.
    pub fn stop(&mut self, name: &str, stop: &StopRequest, now: Instant) -> Result<(), String> {
        self.advance(now);
        self.fenced(name, stop.fence)?;
        let worker = self.workers.get_mut(name);
        let Some(running) = worker.and_then(|worker| worker.tasks.get_mut(&stop.run)) else {
            return Err("no such task".to_owned());
        };
        if running.task.state == AttemptState::Running {
            running.task.state = AttemptState::Stopped;
            "stopped".clone_into(&mut running.task.result);
            leave(&mut self.places, &stop.run);
        }
        Ok(())
    }

    /// Takes note of a throttle.
    ///
    /// # Errors
    ///
    /// Why it is refused.
    pub fn throttle(&mut self, name: &str, throttle: &ThrottleRequest) -> Result<(), String> {
        self.fenced(name, throttle.fence)
    }

    /// Ends tasks whose time has come, and those whose lease lapsed.
    pub fn advance(&mut self, now: Instant) {
        for worker in self.workers.values_mut() {
            for running in worker.tasks.values_mut() {
                if running.task.state != AttemptState::Running {
                    continue;
                }
                let is_over =
                    running.ends_at.is_some_and(|at| at <= now && at <= running.lease_until);
                if is_over {
                    running.finish();
                    self.counts.done += u64::from(!running.work.fails);
                } else if running.lease_until <= now {
                    running.task.state = AttemptState::LeaseExpired;
                    "the lease lapsed".clone_into(&mut running.task.result);
                    self.counts.lapsed += 1;
                } else {
                    continue;
                }
                leave(&mut self.places, &running.task.run);
            }
        }
    }
}

fn leave(places: &mut HashMap<(Name, Name, u32), HashSet<u32>>, run: &AttemptId) {
    let place = place_of(run);
    if let Some(attempts) = places.get_mut(&place) {
        attempts.remove(&run.attempt);
        if attempts.is_empty() {
            places.remove(&place);
        }
    }
}

impl Running {
    fn finish(&mut self) {
        if self.work.fails {
            self.task.state = AttemptState::Failed;
            "the task failed".clone_into(&mut self.task.result);
        } else {
            self.task.state = AttemptState::Done;
            let run = &self.task.run;
            self.task.result = format!("result of {}/{} task {}", run.customer, run.id, run.task);
        }
    }
}
