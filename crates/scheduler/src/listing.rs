//! What workers list, and what follows from the end of a run.

use std::collections::BTreeSet;
use std::time::Duration;

use common::Name;

use crate::ends::{End, How, Listing};
use crate::job::{Phase, TaskKey};
use crate::scheduler::{Ended, Scheduler, Stop};
use crate::worker::{Assignment, Order};

impl Scheduler {
    /// Takes a worker's answer to a renewal that was sent at `sent`.
    ///
    /// `is_new_life` says that the worker started anew since its former answer.
    /// Returns the position up to which its ends may be acknowledged once the changed
    /// jobs are durable.
    pub fn listing(
        &mut self,
        id: &Name,
        listing: &Listing,
        is_new_life: bool,
        sent: Duration,
        now: Duration,
        store_ms: u64,
    ) -> u64 {
        let mut seen = 0;
        for end in &listing.finished {
            seen = seen.max(end.number);
            self.end(id, end, now, store_ms);
        }
        self.compare(id, listing, is_new_life, sent, now, store_ms);
        seen
    }

    fn end(&mut self, id: &Name, end: &End, now: Duration, store_ms: u64) {
        let (Some(key), Some(how)) = (&end.key, end.how) else { return };
        let Some(worker) = self.pool.get_mut(id) else { return };
        let Some(assignment) = worker.release(key, end.run) else { return };
        match how {
            How::Done => worker.note_success(),
            How::Failed if worker.note_failure(now) => self.quarantined.push(id.clone()),
            _ => {}
        }
        let ran = now.saturating_sub(assignment.since);
        self.ended.push(Ended { key: key.clone(), run: end.run, how, ran });
        if how == How::Done && assignment.order == Order::Running {
            self.learn(key, ran);
        }
        self.begun(&key.job);
        self.keep_checkpoint(key, end.run, &end.saved);
        self.run_ended(key, end.run, how, now, store_ms);
    }

    fn learn(&mut self, key: &TaskKey, measured: Duration) {
        let Some(job) = self.jobs.get(&key.job) else { return };
        let Some(step) = job.submission.steps.get(key.step as usize) else { return };
        self.estimate.observe_run(&job.queue, step.estimate, measured);
    }

    /// Holds the worker's list of runs against what was ordered there.
    fn compare(
        &mut self,
        id: &Name,
        listing: &Listing,
        is_new_life: bool,
        sent: Duration,
        now: Duration,
        store_ms: u64,
    ) {
        let mut listed = BTreeSet::new();
        let mut strangers = Vec::new();
        let Some(worker) = self.pool.get_mut(id) else { return };
        worker.is_fenced = true;
        worker.is_reachable = true;
        let mut has_strangers = false;
        for run in &listing.running {
            let known = run.key.as_ref().and_then(|key| worker.run_mut(key, run.run));
            let Some(key) = run.key.clone() else {
                has_strangers = true;
                continue;
            };
            let Some(assignment) = known else {
                has_strangers = true;
                strangers.push(Stop { key, run: run.run, worker: id.clone() });
                continue;
            };
            if matches!(assignment.order, Order::Sent | Order::Recovered) {
                assignment.order = Order::Running;
                assignment.since = now;
                assignment.is_undecided = false;
            }
            listed.insert(key);
        }
        worker.has_strangers = has_strangers;
        let is_gone = |held: &Assignment| match held.order {
            Order::Recovered => true,
            Order::Running | Order::Stopped => held.since < sent,
            // An undecided start may have been sent to the new life.
            Order::Stopping => is_new_life && !held.is_undecided,
            Order::Writing | Order::Sent => false,
        };
        let gone =
            worker.assigned.iter().filter(|(key, held)| !listed.contains(*key) && is_gone(held));
        let gone: Vec<_> = gone.map(|(key, held)| (key.clone(), held.run)).collect();
        for (key, run) in &gone {
            worker.release(key, *run);
        }
        for (key, run) in gone {
            self.run_ended(&key, run, How::Lapsed, now, store_ms);
        }
        for key in listed {
            self.begun(&key.job);
        }
        self.stops.extend(strangers);
        for run in &listing.running {
            if let Some(key) = &run.key {
                self.keep_checkpoint(key, run.run, &run.saved);
            }
        }
    }

    fn keep_checkpoint(&mut self, key: &TaskKey, run: u32, saved: &Name) {
        if saved.is_empty() {
            return;
        }
        let Some(job) = self.jobs.get_mut(&key.job) else { return };
        let Some(spec) = job.submission.steps.get(key.step as usize) else { return };
        let index = if spec.is_gang { 0 } else { key.index as usize };
        let step = job.steps.get_mut(key.step as usize);
        let task = step.and_then(|step| step.tasks.get_mut(index));
        if let Some(task) = task.filter(|task| task.run == run && !task.is_done) {
            task.saved = saved.clone();
        }
    }

    /// Carries on after a run is no longer on its worker.
    pub(crate) fn run_ended(
        &mut self,
        key: &TaskKey,
        run: u32,
        how: How,
        now: Duration,
        store_ms: u64,
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
        self.dirty.insert(key.job.clone());
        if job.phase != Phase::Open {
            return;
        }
        match how {
            How::Done if is_gang => {
                for member in &mut step.tasks {
                    member.is_done = true;
                    member.worker = None;
                }
            }
            How::Done => task.is_done = true,
            How::Failed if !is_gang => task.failed += 1,
            How::Failed if step.failed_run != run => {
                step.failed_run = run;
                step.tasks[0].failed += 1;
            }
            _ => {}
        }
        step.ask_after = step.ask_after.min(now);
        if how == How::Done {
            if job.steps.iter().all(crate::StepState::is_done) {
                self.close(&key.job.clone(), Phase::Completed, store_ms);
            }
            return;
        }
        if is_gang {
            self.stop_gang(key, run);
        }
        self.give_up_if_spent(key, store_ms);
    }

    fn give_up_if_spent(&mut self, key: &TaskKey, store_ms: u64) {
        let Some(job) = self.jobs.get(&key.job) else { return };
        let Some(attempts) = self.queue(&job.queue).map(|queue| queue.max_attempts) else { return };
        let step = &job.steps[key.step as usize];
        if step.tasks.iter().any(|task| !task.is_done && task.failed >= attempts) {
            self.close(&key.job, Phase::Failed, store_ms);
        }
    }

    /// Stops the members of a gang that remain after one of them ended.
    fn stop_gang(&mut self, key: &TaskKey, run: u32) {
        let Some(job) = self.jobs.get(&key.job) else { return };
        let step = &job.steps[key.step as usize];
        let mut held = Vec::new();
        for (index, task) in step.tasks.iter().enumerate() {
            let Some(worker) = task.worker.clone().filter(|_| task.run == run) else { continue };
            held.push((TaskKey { index: index as u32, ..key.clone() }, worker));
        }
        for (key, worker) in held {
            self.stop(key, run, worker);
        }
    }
}
