//! Runs that end because their worker is gone.

use std::time::Duration;

use common::Name;

use crate::job::TaskKey;
use crate::scheduler::Scheduler;
use crate::worker::{Assignment, RunState};

common::key! {
    /// What is known of a worker that is gone.
    pub enum Loss {
        /// Its process has ended, as another one answers in its place.
        Crash,
        /// It announced that it leaves.
        Departure,
        /// Its lease has expired: it crashed, or it cannot be reached.
        Silence,
    }
}

common::data! {
    /// A run that was lost with its worker.
    pub struct LostRun {
        /// Task of the run.
        pub key: TaskKey,
        /// Number of the run.
        pub run: u32,
        /// Id of the worker.
        pub worker: Name,
        /// What is known of the worker.
        pub loss: Loss,
        /// Whether the worker had confirmed the start or listed the run.
        pub is_confirmed: bool,
        /// Time since its state last changed, usually since its confirmed start.
        pub ran_for: Duration,
        /// Number of runs that were lost at the same time.
        pub lost_together: usize,
    }
}

impl Scheduler {
    /// Notes the runs that are lost with a worker, for the log.
    pub(crate) fn note_lost_runs<'a>(
        &mut self,
        worker: &Name,
        loss: Loss,
        runs: impl ExactSizeIterator<Item = (&'a TaskKey, &'a Assignment)>,
        now: Duration,
    ) {
        let lost_together = runs.len();
        let may_have_run = |assignment: &Assignment| {
            assignment.state == RunState::Recovered || assignment.fate.may_have_started()
        };
        let runs = runs.filter(|(_, assignment)| may_have_run(assignment));
        self.lost_runs.extend(runs.map(|(key, assignment)| LostRun {
            key: key.clone(),
            run: assignment.run,
            worker: worker.clone(),
            loss,
            is_confirmed: assignment.fate.is_seen(),
            ran_for: now.saturating_sub(assignment.changed_at),
            lost_together,
        }));
    }
}
