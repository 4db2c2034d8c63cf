//! Applies worker listings and handles the end of runs: retries, gangs and job completion.

use std::collections::BTreeSet;
use std::time::Duration;

use common::Name;

use crate::crash::{Loss, is_one_step};
use crate::job::{Phase, TaskKey};
use crate::runs::{FinishedRun, Listing, Outcome};
use crate::scheduler::{EndedRun, Scheduler, StopOrder};
use crate::worker::{Assignment, RunState};

impl Scheduler {
    /// Applies a worker's answer to the lease renewal sent at `sent`.
    ///
    /// `is_new_incarnation` means that the worker restarted since its previous answer.
    /// Returns the position up to which finished runs may be acknowledged once the changed
    /// jobs are durable; 0 if none are listed.
    pub fn apply_listing(
        &mut self,
        id: &Name,
        listing: &Listing,
        is_new_incarnation: bool,
        sent: Duration,
        now: Duration,
        store_clock_ms: u64,
    ) -> u64 {
        let mut last_position = 0;
        for finished in &listing.finished {
            last_position = last_position.max(finished.position);
            self.apply_finished_run(id, finished, now, store_clock_ms);
        }
        self.reconcile_runs(id, listing, is_new_incarnation, sent, now, store_clock_ms);
        self.settle_silence(id, listing.incarnation, store_clock_ms);
        self.forget_former_incarnation(id, listing.incarnation);
        last_position
    }

    /// Forgets what is known of a worker's former incarnations if another one lists its runs.
    ///
    /// Lists arrive in the order in which they were asked for, so that one is later.
    fn forget_former_incarnation(&mut self, id: &Name, incarnation: u64) {
        let Some(worker) = self.pool.get_mut(id) else { return };
        if worker.listed_incarnation == incarnation || incarnation == 0 {
            return;
        }
        let former = std::mem::replace(&mut worker.listed_incarnation, incarnation);
        if former == 0 {
            return;
        }
        worker.end_quarantine();
        for (_, _, job) in &self.ranked_jobs {
            let Some(job) = self.jobs.get_mut(job) else { continue };
            for step in &mut job.steps {
                step.forget_worker(id);
            }
        }
    }

    /// Releases a finished run's capacity and records its outcome.
    fn apply_finished_run(
        &mut self,
        id: &Name,
        finished: &FinishedRun,
        now: Duration,
        store_clock_ms: u64,
    ) {
        let (Some(key), Some(outcome)) = (&finished.key, finished.outcome) else { return };
        let Some(worker) = self.pool.get_mut(id) else { return };
        let Some(assignment) = worker.release(key, finished.run) else { return };
        match outcome {
            Outcome::Done => self.record_success(id, key),
            Outcome::Failed => self.record_failed_run(id, key, now),
            _ => {}
        }
        let run_time = now.saturating_sub(assignment.changed_at);
        self.ended_runs.push(EndedRun { key: key.clone(), run: finished.run, outcome, run_time });
        if outcome == Outcome::Done && assignment.state == RunState::Running {
            self.record_run_time(id, key, &assignment, run_time, now);
        }
        self.mark_job_started(&key.job, now);
        self.store_checkpoint(key, finished.run, &finished.checkpoint);
        self.finish_run(key, finished.run, outcome, now, store_clock_ms);
    }

    /// Compares the runs that a worker lists with the runs assigned to it.
    ///
    /// Runs that must have ended and that a complete list lacks count as expired leases. Unknown
    /// runs are stopped, and so are those that their jobs have given up: a former leader's orders
    /// to stop them may not have arrived.
    fn reconcile_runs(
        &mut self,
        id: &Name,
        listing: &Listing,
        is_new_incarnation: bool,
        sent: Duration,
        now: Duration,
        store_clock_ms: u64,
    ) {
        let mut listed = BTreeSet::new();
        let mut stops = Vec::new();
        let Some(worker) = self.pool.get_mut(id) else { return };
        worker.has_current_token = true;
        worker.is_reachable = true;
        let silent_since = worker.silent_since.take();
        let mut has_unknown_runs = false;
        for run in &listing.running {
            let known = run.key.as_ref().and_then(|key| worker.assignment_mut(key, run.run));
            let Some(key) = run.key.clone() else {
                has_unknown_runs = true;
                continue;
            };
            let Some(assignment) = known else {
                has_unknown_runs = true;
                stops.push(StopOrder { key, run: run.run, worker: id.clone() });
                continue;
            };
            assignment.fate.record_listed();
            if matches!(assignment.state, RunState::Sent | RunState::Recovered) {
                assignment.state = RunState::Running;
                assignment.changed_at = now;
            }
            let is_unwanted =
                self.jobs.get(&key.job).is_none_or(|job| job.has_given_up(&key, run.run));
            if assignment.state == RunState::Running && is_unwanted {
                assignment.state = RunState::Stopping;
                stops.push(StopOrder { key: key.clone(), run: run.run, worker: id.clone() });
            }
            listed.insert(key);
        }
        worker.has_unknown_runs = has_unknown_runs;
        let has_ended = |assignment: &Assignment| match assignment.state {
            RunState::Recovered => true,
            RunState::Running | RunState::Stopped => {
                assignment.changed_at < sent && assignment.fate.is_decided(sent)
            }
            RunState::Stopping => is_new_incarnation && assignment.fate.is_decided(sent),
            RunState::Committing | RunState::Sent => false,
        };
        let is_missing = |key: &TaskKey| listing.is_complete && !listed.contains(key);
        let crashed = worker.take_crashed_runs(listing.incarnation, |key| listed.contains(key));
        for (key, run) in &crashed {
            // A repeated send would start it again in the worker's new life.
            if let Some(assignment) = worker.assignment_mut(key, run.run)
                && assignment.state == RunState::Sent
            {
                assignment.state = RunState::Stopping;
                stops.push(StopOrder { key: key.clone(), run: run.run, worker: id.clone() });
            }
            // The next leader must not count the same crash again.
            let step = self.jobs.get_mut(&key.job).map(|job| &mut job.steps);
            let step = step.and_then(|steps| steps.get_mut(key.step as usize));
            if let Some(task) = step.and_then(|step| step.tasks.get_mut(key.index as usize))
                && task.run == run.run
            {
                task.site = None;
            }
        }
        // An unanswered send may still start it, also in the worker's next incarnation.
        let may_start_again = |assignment: &Assignment| {
            assignment.state == RunState::Running
                && assignment.changed_at < sent
                && assignment.fate.has_unanswered_send()
        };
        for (key, assignment) in &mut worker.assignments {
            if is_missing(key) && may_start_again(assignment) {
                assignment.state = RunState::Stopping;
                stops.push(StopOrder { key: key.clone(), run: assignment.run, worker: id.clone() });
            }
        }
        let ended_runs = worker
            .assignments
            .iter()
            .filter(|(key, assignment)| is_missing(key) && has_ended(assignment));
        let ended_runs: Vec<_> =
            ended_runs.map(|(key, assignment)| (key.clone(), assignment.run)).collect();
        for (key, run) in &ended_runs {
            worker.release(key, *run);
        }
        let until = silent_since.unwrap_or(now);
        let lost = self.record_losses(id, Loss::Crash, &crashed, until);
        for (key, run) in ended_runs {
            self.finish_run(&key, run, Outcome::LeaseExpired, now, store_clock_ms);
        }
        self.fail_crashing(&lost, is_one_step(crashed.iter().map(|(key, _)| key)), store_clock_ms);
        for key in listed {
            self.mark_job_started(&key.job, now);
        }
        self.stops.extend(stops);
        for run in &listing.running {
            if let Some(key) = &run.key {
                self.store_checkpoint(key, run.run, &run.checkpoint);
            }
        }
    }

    /// Keeps a checkpoint if it comes from the task's current run and is not too long.
    fn store_checkpoint(&mut self, key: &TaskKey, run: u32, checkpoint: &Name) {
        if checkpoint.is_empty() {
            return;
        }
        let Some(job) = self.jobs.get_mut(&key.job) else { return };
        let Some(spec) = job.submission.steps.get(key.step as usize) else { return };
        let index = if spec.is_gang { 0 } else { key.index as usize };
        let max_length = job.submission.max_checkpoint_bytes();
        let step = job.steps.get_mut(key.step as usize);
        let task = step.and_then(|step| step.tasks.get_mut(index));
        if let Some(task) = task.filter(|task| task.run == run && !task.is_done) {
            if checkpoint.len() > max_length {
                self.long_checkpoints.insert(key.job.clone());
                return;
            }
            task.checkpoint = checkpoint.clone();
        }
    }

    /// Updates the task and the job after a run has left its worker.
    pub(crate) fn finish_run(
        &mut self,
        key: &TaskKey,
        run: u32,
        outcome: Outcome,
        now: Duration,
        store_clock_ms: u64,
    ) {
        let Some(job) = self.jobs.get_mut(&key.job) else { return };
        let Some(spec) = job.submission.steps.get(key.step as usize) else { return };
        let is_gang = spec.is_gang;
        let Some(step) = job.steps.get_mut(key.step as usize) else { return };
        let Some(task) = step.tasks.get_mut(key.index as usize) else { return };
        if task.run != run || task.worker.is_none() {
            return;
        }
        task.worker = None;
        self.changed_jobs.insert(key.job.clone());
        if job.phase != Phase::Open {
            return;
        }
        match outcome {
            Outcome::Done if is_gang => {
                for member in &mut step.tasks {
                    member.is_done = true;
                    member.worker = None;
                }
            }
            Outcome::Done => task.is_done = true,
            Outcome::Failed if !is_gang => task.failed_runs += 1,
            Outcome::Failed if step.failed_run != run => {
                step.failed_run = run;
                step.tasks[0].failed_runs += 1;
            }
            _ => {}
        }
        step.advice_not_before = step.advice_not_before.min(now);
        if outcome == Outcome::Done {
            if job.steps.iter().all(crate::StepState::is_done) {
                self.finish_job(&key.job.clone(), Phase::Completed, store_clock_ms);
            }
            return;
        }
        if is_gang {
            self.stop_gang(key, run);
        }
        self.fail_if_attempts_exhausted(key, store_clock_ms);
    }

    /// Fails the job if a task of the step has no attempts left.
    fn fail_if_attempts_exhausted(&mut self, key: &TaskKey, store_clock_ms: u64) {
        let Some(job) = self.jobs.get(&key.job) else { return };
        let Some(attempts) = self.queue(&job.queue).map(|queue| queue.max_attempts) else { return };
        let step = &job.steps[key.step as usize];
        if step.tasks.iter().any(|task| !task.is_done && task.failed_runs >= attempts) {
            self.finish_job(&key.job, Phase::Failed, store_clock_ms);
        }
    }

    /// Stops the remaining members of a gang run after one of them ended.
    fn stop_gang(&mut self, key: &TaskKey, run: u32) {
        let Some(job) = self.jobs.get(&key.job) else { return };
        let step = &job.steps[key.step as usize];
        let mut remaining = Vec::new();
        for (index, task) in step.tasks.iter().enumerate() {
            let Some(worker) = task.worker.clone().filter(|_| task.run == run) else { continue };
            remaining.push((TaskKey { index: index as u32, ..key.clone() }, worker));
        }
        for (key, worker) in remaining {
            self.stop(key, run, worker);
        }
    }
}
