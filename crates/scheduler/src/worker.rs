//! A worker of a pool: capacity and assigned runs. `health` judges what they say of it.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use common::Name;

use crate::fate::Fate;
use crate::health::JobDoubt;
use crate::job::{Site, TaskKey};
use crate::record::{Resources, Step};
use crate::rules::Queue;

common::data! {
    /// A worker as described by its registration.
    pub struct Registration {
        /// Its id, which may or may not change with each incarnation.
        pub id: Name,
        /// Start of its incarnation, in ms of Unix time.
        pub incarnation: u64,
        /// Address that accepts orders.
        pub address: Name,
        /// The service that it belongs to.
        pub service: Name,
        /// Name of its zone.
        pub zone: Name,
        /// Its kind and its rack.
        pub labels: Vec<Name>,
        /// Its total capacity.
        pub capacity: Resources,
        /// Whether it is draining and accepts no new tasks.
        pub is_draining: bool,
    }
}

common::key! {
    /// State of a run assigned to a worker.
    pub enum RunState {
        /// The placement is not durable yet; nothing was sent.
        Committing,
        /// The start was sent; the worker has not confirmed it.
        Sent,
        /// The worker confirmed the start or listed the run.
        Running,
        /// A stop was requested; the worker has not confirmed it.
        Stopping,
        /// The worker confirmed the stop but has not listed the run as ended.
        Stopped,
        /// An earlier leader placed the run; the worker's listing decides.
        Recovered,
    }
}

common::data! {
    /// A run assigned to a worker.
    pub struct Assignment {
        /// Number of the run.
        pub run: u32,
        /// Capacity that it uses.
        pub need: Resources,
        /// State of the run.
        pub state: RunState,
        /// Time of the placement, or of the latest sent start or confirmation.
        pub changed_at: Duration,
        /// Sends of its start by this leader.
        pub fate: Fate,
        /// Incarnation of the worker when the run was placed; 0 if it is unknown.
        pub incarnation: u64,
        /// Whether it was lost with that incarnation, which is counted.
        pub is_lost: bool,
        /// Whether its time since `changed_at` is that of the whole task while it runs: its worker
        /// confirmed the start to this leader, and it did not resume from a checkpoint.
        pub is_timed: bool,
        /// Workspace of its job; empty for none.
        pub workspace: Name,
    }

    /// State of a worker.
    #[expect(clippy::struct_excessive_bools, reason = "each has a different source")]
    pub struct Worker {
        /// Its latest registration.
        pub registration: Registration,
        /// Where it took orders when its latest run was placed.
        site: Arc<Site>,
        /// Whether the list of workers contains it.
        pub is_listed: bool,
        /// Incarnation that sent the latest list of its runs; 0 before the first.
        pub listed_incarnation: u64,
        /// Whether it has acknowledged the current fencing token.
        pub has_current_token: bool,
        /// Whether its latest call succeeded.
        pub is_reachable: bool,
        /// Since when it has not listed its runs although it was asked; `None` if it has.
        pub(crate) silent_since: Option<Duration>,
        /// Capacity allocated to assigned runs.
        pub allocated: Resources,
        /// The part of it that each workspace uses.
        pub used_by: BTreeMap<Name, Resources>,
        /// Assigned runs that have not ended.
        pub assignments: HashMap<TaskKey, Assignment>,
        /// Whether it listed runs that the scheduler does not know, of unknown size.
        pub has_unknown_runs: bool,
        /// Failed runs since the last success.
        pub consecutive_failures: u32,
        /// Refused starts and failed runs since then, by job.
        pub(crate) doubts: Vec<JobDoubt>,
        /// End of its backoff or quarantine for all jobs; zero if it had none since a success.
        pub quarantined_until: Duration,
        /// When the first backoff or quarantine for all jobs since a success began.
        pub(crate) quarantined_since: Option<Duration>,
    }
}

impl Worker {
    /// Creates a listed worker without runs.
    pub fn new(registration: Registration) -> Self {
        Self {
            registration,
            site: Arc::default(),
            is_listed: true,
            listed_incarnation: 0,
            has_current_token: false,
            is_reachable: true,
            silent_since: None,
            allocated: Resources::default(),
            used_by: BTreeMap::new(),
            assignments: HashMap::new(),
            has_unknown_runs: false,
            consecutive_failures: 0,
            doubts: Vec::new(),
            quarantined_until: Duration::ZERO,
            quarantined_since: None,
        }
    }

    /// Records that it did not answer a call.
    pub fn record_silence(&mut self, now: Duration) {
        self.is_reachable = false;
        self.silent_since.get_or_insert(now);
    }

    /// Where it takes orders now.
    pub(crate) fn site(&mut self) -> Arc<Site> {
        let listed = self.listed_incarnation;
        let incarnation = if listed > 0 { listed } else { self.registration.incarnation };
        let address = &self.registration.address;
        if self.site.incarnation != incarnation || self.site.address != *address {
            self.site = Arc::new(Site { address: address.clone(), incarnation });
        }
        Arc::clone(&self.site)
    }

    /// Whether it runs nothing but tasks of a step, given as job id and index.
    pub(crate) fn runs_only(&self, (job, step): (&Name, u32)) -> bool {
        self.assignments.keys().all(|key| key.job == *job && key.step == step)
    }

    /// Capacity that is not allocated to assigned runs.
    pub fn free(&self) -> Resources {
        self.registration.capacity.minus(&self.allocated)
    }

    /// Whether new tasks may be placed on it.
    pub fn is_usable(&self, now: Duration) -> bool {
        self.is_open() && !self.is_passed_over(now)
    }

    /// Whether new tasks may be placed on it if it is healthy.
    pub(crate) fn is_open(&self) -> bool {
        self.accepts_starts() && self.is_reachable && !self.has_unknown_runs
    }

    /// Whether a start that was placed on it may be sent.
    pub(crate) fn accepts_starts(&self) -> bool {
        self.is_listed
            && self.has_current_token
            && !self.registration.is_draining
            && self.is_described()
    }

    /// Whether its capacity, which may have shrunk, holds all runs that are assigned to it.
    pub(crate) fn holds_its_runs(&self) -> bool {
        self.allocated.fits_in(&self.registration.capacity)
    }

    /// Whether the registration is that of the incarnation that lists its runs.
    ///
    /// The next incarnation may have other labels and another capacity. Registrations without an
    /// incarnation count as those of any.
    pub fn is_described(&self) -> bool {
        let (registered, listed) = (self.registration.incarnation, self.listed_incarnation);
        registered == 0 || listed == 0 || listed == registered
    }

    /// Adds a run and allocates its capacity.
    pub fn assign(&mut self, key: TaskKey, assignment: Assignment) {
        self.allocated = self.allocated.plus(&assignment.need);
        if !assignment.workspace.is_empty() {
            let used = self.used_by.entry(assignment.workspace.clone()).or_default();
            *used = used.plus(&assignment.need);
        }
        self.assignments.insert(key, assignment);
    }

    /// Removes a run and frees its capacity; `None` if it is not assigned.
    pub fn release(&mut self, key: &TaskKey, run: u32) -> Option<Assignment> {
        if self.assignments.get(key)?.run != run {
            return None;
        }
        let assignment = self.assignments.remove(key)?;
        self.allocated = self.allocated.minus(&assignment.need);
        if let Some(used) = self.used_by.get_mut(&assignment.workspace) {
            *used = used.minus(&assignment.need);
            if *used == Resources::default() {
                self.used_by.remove(&assignment.workspace);
            }
        }
        Some(assignment)
    }

    /// The assignment of a task, if `run` is the assigned one.
    pub fn assignment_mut(&mut self, key: &TaskKey, run: u32) -> Option<&mut Assignment> {
        self.assignments.get_mut(key).filter(|assignment| assignment.run == run)
    }

    /// Number of tasks of a step, given as job id and index, that `free` capacity would hold here.
    pub fn places(&self, key: (&Name, u32), step: &Step, free: &Resources) -> u32 {
        match step.need.max_copies_in(free) {
            0 => 0,
            copies => copies.min(self.remaining_spread(key, step)),
        }
    }

    /// Number of tasks that the limit per worker of a step, given as job id and index, still allows.
    pub(crate) fn remaining_spread(&self, (job, step_index): (&Name, u32), step: &Step) -> u32 {
        if step.spread == 0 {
            return u32::MAX;
        }
        let same_step = |key: &&TaskKey| key.job == *job && key.step == step_index;
        let placed = self.assignments.keys().filter(same_step).count() as u32;
        step.spread.saturating_sub(placed)
    }

    /// Whether it has the queue's service and the label that a step requires.
    pub fn can_run(&self, queue: &Queue, step: &Step) -> bool {
        self.registration.service == queue.service
            && (step.requirement.is_empty() || self.has_label(&step.requirement))
    }

    /// Whether it has a label.
    pub fn has_label(&self, label: &str) -> bool {
        self.registration.labels.iter().any(|own| &**own == label)
    }
}
