//! A worker of a pool: capacity, assigned runs and health.

use std::collections::HashMap;
use std::time::Duration;

use common::Name;

use crate::job::TaskKey;
use crate::record::{Need, Step};
use crate::rules::Queue;

/// Consecutive failed runs after which a worker is quarantined.
const QUARANTINE_AFTER_FAILURES: u32 = 3;

/// First quarantine period; doubled with each further failure.
const BASE_QUARANTINE: Duration = Duration::from_secs(3);

/// Longest quarantine period.
const MAX_QUARANTINE: Duration = Duration::from_secs(24);

common::data! {
    /// What a worker's registration says about it.
    pub struct Report {
        /// Its id, which may or may not change with each incarnation.
        pub id: Name,
        /// Start of its incarnation, in ms of Unix time.
        pub born: u64,
        /// Address that accepts orders.
        pub address: Name,
        /// The service that it belongs to.
        pub service: Name,
        /// Name of its zone.
        pub zone: Name,
        /// Its kind and its rack.
        pub labels: Vec<Name>,
        /// Its total capacity.
        pub capacity: Need,
        /// Whether it is draining and accepts no new tasks.
        pub is_draining: bool,
    }
}

common::key! {
    /// State of the orders for one run.
    pub enum Order {
        /// The placement is not durable yet; nothing was sent.
        Writing,
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
        pub need: Need,
        /// State of its orders.
        pub order: Order,
        /// Time of the placement, or of the latest sent start or confirmation.
        pub since: Duration,
        /// Whether a start without a definite answer may still take effect.
        pub is_undecided: bool,
    }

    /// State of a worker.
    #[expect(clippy::struct_excessive_bools, reason = "each has a different source")]
    pub struct Worker {
        /// Its latest registration.
        pub report: Report,
        /// Whether the list of workers contains it.
        pub is_listed: bool,
        /// Whether it has acknowledged the current fencing token.
        pub is_fenced: bool,
        /// Whether its latest call succeeded.
        pub is_reachable: bool,
        /// Capacity used by assigned runs.
        pub used: Need,
        /// Assigned runs that have not ended.
        pub assigned: HashMap<TaskKey, Assignment>,
        /// Whether it listed runs that the scheduler does not know, of unknown size.
        pub has_strangers: bool,
        /// Failed runs since the last success.
        pub consecutive_failures: u32,
        /// End of its quarantine; zero if it has not been quarantined since a success.
        pub avoided_until: Duration,
    }
}

impl Worker {
    /// Creates a listed worker without runs.
    pub fn new(report: Report) -> Self {
        Self {
            report,
            is_listed: true,
            is_fenced: false,
            is_reachable: true,
            used: Need::default(),
            assigned: HashMap::new(),
            has_strangers: false,
            consecutive_failures: 0,
            avoided_until: Duration::ZERO,
        }
    }

    /// Capacity that no assigned run uses.
    pub fn free(&self) -> Need {
        self.report.capacity.minus(&self.used)
    }

    /// Whether new tasks may be placed on it.
    pub fn is_usable(&self, now: Duration) -> bool {
        self.is_listed
            && self.is_fenced
            && self.is_reachable
            && !self.has_strangers
            && !self.report.is_draining
            && self.avoided_until <= now
    }

    /// Adds a run and allocates its capacity.
    pub fn assign(&mut self, key: TaskKey, assignment: Assignment) {
        self.used = self.used.plus(&assignment.need);
        self.assigned.insert(key, assignment);
    }

    /// Removes a run and frees its capacity; `None` if it is not assigned.
    pub fn release(&mut self, key: &TaskKey, run: u32) -> Option<Assignment> {
        if self.assigned.get(key)?.run != run {
            return None;
        }
        let assignment = self.assigned.remove(key)?;
        self.used = self.used.minus(&assignment.need);
        Some(assignment)
    }

    /// The assignment of a task, if `run` is the assigned one.
    pub fn run_mut(&mut self, key: &TaskKey, run: u32) -> Option<&mut Assignment> {
        self.assigned.get_mut(key).filter(|assignment| assignment.run == run)
    }

    /// Records a successful run, which ends any quarantine.
    pub fn record_success(&mut self) {
        self.consecutive_failures = 0;
        self.avoided_until = Duration::ZERO;
    }

    /// Records a failed run; true if the worker is now quarantined.
    pub fn record_failure(&mut self, now: Duration) -> bool {
        self.consecutive_failures += 1;
        if self.consecutive_failures < QUARANTINE_AFTER_FAILURES {
            return false;
        }
        let doublings = (self.consecutive_failures - QUARANTINE_AFTER_FAILURES).min(3);
        self.avoided_until = now + (BASE_QUARANTINE * (1 << doublings)).min(MAX_QUARANTINE);
        true
    }

    /// Whether it has the queue's service and the label that a step requires.
    pub fn can_run(&self, queue: &Queue, step: &Step) -> bool {
        self.report.service == queue.service
            && (step.requirement.is_empty() || self.has_label(&step.requirement))
    }

    /// Whether it has a label.
    pub fn has_label(&self, label: &str) -> bool {
        self.report.labels.iter().any(|own| &**own == label)
    }
}
