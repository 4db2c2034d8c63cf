//! A step at work: its tasks and the workers that may run them.

use std::collections::HashMap;
use std::time::Duration;

use common::Name;

use crate::job::Task;

common::data! {
    /// Whether a worker may run a step.
    pub enum Fit {
        /// The advice service said no; that does not change.
        Denied,
        /// The advice service said yes.
        Allowed {
            /// What a start must carry.
            ticket: Name,
            /// When the ticket is no longer of use.
            expires: Duration,
        },
    }

    /// A step's state.
    pub struct StepState {
        /// Its tasks, by index.
        pub tasks: Vec<Task>,
        /// The latest run of a gang that was counted as failed.
        pub failed_run: u32,
        /// What is known of workers, by worker.
        pub fit: HashMap<Name, Fit>,
        /// Workers named in the advice call under way.
        pub asking: Option<Vec<Name>>,
        /// Earliest time of the next advice call.
        pub ask_after: Duration,
        /// When an advice call was last answered.
        pub answered: Duration,
    }
}

impl StepState {
    /// A step of which nothing is known yet.
    pub fn new(tasks: Vec<Task>) -> Self {
        let none = HashMap::new();
        Self {
            tasks,
            failed_run: 0,
            fit: none,
            asking: None,
            ask_after: Duration::ZERO,
            answered: Duration::ZERO,
        }
    }

    /// Whether all tasks have ended successfully.
    pub fn is_done(&self) -> bool {
        self.tasks.iter().all(|task| task.is_done)
    }

    /// Whether any task could be placed now.
    pub fn has_waiting(&self) -> bool {
        self.tasks.iter().any(Task::is_waiting)
    }

    /// Whether a gang has no member on any worker.
    pub fn is_clear(&self) -> bool {
        self.tasks.iter().all(Task::is_waiting)
    }

    /// The ticket for a worker, if it lasts until `until`.
    pub fn ticket(&self, worker: &str, until: Duration) -> Option<&Name> {
        match self.fit.get(worker)? {
            Fit::Allowed { ticket, expires } if *expires > until => Some(ticket),
            _ => None,
        }
    }

    /// Whether a worker may run the step, with or without a valid ticket.
    pub fn is_allowed(&self, worker: &str) -> bool {
        matches!(self.fit.get(worker), Some(Fit::Allowed { .. }))
    }
}
