//! Expected run times of steps and runs, and the runs that they are learned from.

use std::time::Duration;

use common::Name;

use crate::forecast::{Kind, Prediction, Sample};
use crate::job::{Job, TaskKey};
use crate::record::Step;
use crate::scheduler::Scheduler;
use crate::worker::Assignment;

impl Scheduler {
    /// Expected run time of a step's tasks on a worker of usual speed.
    pub(crate) fn predict(&self, queue: &Name, workspace: &Name, spec: &Step) -> Prediction<'_> {
        let assumed = self.estimator.run_time(queue, spec.estimate);
        if !self.forecast.has_effect() {
            return Prediction::assumed(assumed);
        }
        self.forecast.predict(&kind(queue, workspace, spec), spec.estimate, assumed)
    }

    /// Expected run time of a task on a worker; `None` if its job is unknown.
    pub fn predict_on(&self, worker: &str, key: &TaskKey) -> Option<Prediction<'_>> {
        let job = self.jobs.get(&key.job)?;
        let spec = job.submission.steps.get(key.step as usize)?;
        let assumed = self.estimator.run_time(&job.queue, spec.estimate);
        // A pass asks for thousands of runs.
        if !self.forecast.has_effect() {
            return Some(Prediction::assumed(assumed));
        }
        let kind = kind(&job.queue, &job.workspace, spec);
        if spec.is_gang {
            // Its members end together, whatever the speed of each worker.
            return Some(self.forecast.predict(&kind, spec.estimate, assumed));
        }
        Some(self.forecast.predict_on(worker, &kind, spec.estimate, assumed))
    }

    /// Learns from a run that ended successfully, as `assignment` was then.
    pub(crate) fn record_run_time(
        &mut self,
        worker: &Name,
        key: &TaskKey,
        assignment: &Assignment,
        run_time: Duration,
        now: Duration,
    ) {
        let Some(job) = self.jobs.get(&key.job) else { return };
        let Some(spec) = job.submission.steps.get(key.step as usize) else { return };
        if assignment.is_timed {
            let sample = Sample {
                kind: &kind(&job.queue, &job.workspace, spec),
                step: step_id(job, key.step),
                tasks: spec.count,
                worker,
                incarnation: assignment.incarnation,
                estimate_ms: spec.estimate,
                assumed: self.estimator.run_time(&job.queue, spec.estimate),
                run_time,
            };
            self.forecast.record(&sample, now);
        }
        self.estimator.observe_run(&job.queue, spec.estimate, run_time);
    }
}

fn kind(queue: &Name, workspace: &Name, spec: &Step) -> Kind {
    Kind::new(queue.clone(), workspace.clone(), spec.need.cpu, spec.is_gang)
}

/// Identifies a step of a job.
fn step_id(job: &Job, step: u32) -> u64 {
    common::stable_hash(job.id.as_bytes()) ^ u64::from(step)
}
