//! A worker as its pool sees it: room, what was ordered there, and its health.

use std::collections::HashMap;
use std::time::Duration;

use common::Name;

use crate::job::TaskKey;
use crate::record::{Need, Step};
use crate::rules::Queue;

/// Failed runs in a row, without a success, after which a worker is avoided.
const FAILURES_TO_QUARANTINE: u32 = 3;

/// How long a worker is avoided after failures; doubled with each further one.
const QUARANTINE: Duration = Duration::from_secs(3);

/// Longest time that a worker is avoided.
const MAX_QUARANTINE: Duration = Duration::from_secs(24);

common::data! {
    /// What a worker says of itself.
    pub struct Report {
        /// Its id, new with each life or not.
        pub id: Name,
        /// Start of its life, in ms of Unix time.
        pub born: u64,
        /// Where it takes orders.
        pub address: Name,
        /// The service that it belongs to.
        pub service: Name,
        /// Its zone.
        pub zone: Name,
        /// Its kind and its rack.
        pub labels: Vec<Name>,
        /// All of its room.
        pub capacity: Need,
        /// Whether it is about to leave.
        pub is_draining: bool,
    }
}

common::key! {
    /// How far an order to run a task is.
    pub enum Order {
        /// The placement is not durable yet; nothing was sent.
        Writing,
        /// The start was sent; the worker has not confirmed it.
        Sent,
        /// The worker confirmed that the run is there.
        Running,
        /// The run is to end, and the worker has not confirmed the stop.
        Stopping,
        /// The worker confirmed the stop; the run's end is not listed yet.
        Stopped,
        /// An earlier owner placed the run; the worker's list decides.
        Recovered,
    }
}

common::data! {
    /// A task's run on a worker.
    pub struct Assignment {
        /// The run's number.
        pub run: u32,
        /// Room that it takes.
        pub need: Need,
        /// How far the order is.
        pub order: Order,
        /// When the order last moved.
        pub since: Duration,
        /// Whether a start was sent that may still be carried out.
        pub is_undecided: bool,
    }

    /// A worker's state.
    #[expect(clippy::struct_excessive_bools, reason = "each is known from another source")]
    pub struct Worker {
        /// What it says of itself.
        pub report: Report,
        /// Whether the list of workers names it.
        pub is_listed: bool,
        /// Whether it has answered under the present fencing token.
        pub is_fenced: bool,
        /// Whether its latest call was answered.
        pub is_reachable: bool,
        /// Room taken by what is assigned.
        pub used: Need,
        /// What was ordered there and has not ended.
        pub assigned: HashMap<TaskKey, Assignment>,
        /// Whether it runs something that nobody here knows the size of.
        pub has_strangers: bool,
        /// Failed runs since the latest success.
        pub failures: u32,
        /// Until when it is avoided.
        pub avoided_until: Duration,
    }
}

impl Worker {
    /// A worker that was just listed.
    pub fn new(report: Report) -> Self {
        Self {
            report,
            is_listed: true,
            is_fenced: false,
            is_reachable: true,
            used: Need::default(),
            assigned: HashMap::new(),
            has_strangers: false,
            failures: 0,
            avoided_until: Duration::ZERO,
        }
    }

    /// Room that nothing assigned takes.
    pub fn free(&self) -> Need {
        self.report.capacity.less(&self.used)
    }

    /// Whether it may take new tasks.
    pub fn is_usable(&self, now: Duration) -> bool {
        self.is_listed
            && self.is_fenced
            && self.is_reachable
            && !self.has_strangers
            && !self.report.is_draining
            && self.avoided_until <= now
    }

    /// Takes room for a run.
    pub fn assign(&mut self, key: TaskKey, assignment: Assignment) {
        self.used = self.used.plus(&assignment.need);
        self.assigned.insert(key, assignment);
    }

    /// Gives the room of a run back; none where another run or nothing is there.
    pub fn release(&mut self, key: &TaskKey, run: u32) -> Option<Assignment> {
        if self.assigned.get(key)?.run != run {
            return None;
        }
        let assignment = self.assigned.remove(key)?;
        self.used = self.used.less(&assignment.need);
        Some(assignment)
    }

    /// The run of a task, if it is the one assigned.
    pub fn run_mut(&mut self, key: &TaskKey, run: u32) -> Option<&mut Assignment> {
        self.assigned.get_mut(key).filter(|assignment| assignment.run == run)
    }

    /// Notes that a run succeeded.
    pub fn note_success(&mut self) {
        self.failures = 0;
        self.avoided_until = Duration::ZERO;
    }

    /// Notes that a run failed; true where the worker is avoided from now on.
    pub fn note_failure(&mut self, now: Duration) -> bool {
        self.failures += 1;
        if self.failures < FAILURES_TO_QUARANTINE {
            return false;
        }
        let doublings = (self.failures - FAILURES_TO_QUARANTINE).min(3);
        self.avoided_until = now + (QUARANTINE * (1 << doublings)).min(MAX_QUARANTINE);
        true
    }

    /// Whether it is of a queue's service and has the label that a step asks for.
    pub fn suits(&self, queue: &Queue, step: &Step) -> bool {
        self.report.service == queue.service
            && (step.requirement.is_empty() || self.has_label(&step.requirement))
    }

    /// Whether it carries a label.
    pub fn has_label(&self, label: &str) -> bool {
        self.report.labels.iter().any(|own| &**own == label)
    }
}
