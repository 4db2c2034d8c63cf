//! Keeps tasks under which workers crashed apart from others.

use std::cmp::Reverse;
use std::rc::Rc;

use common::Name;

use super::{Pass, PendingStep};
use crate::crash::Care;
use crate::record::Resources;

impl Pass<'_> {
    /// Marks the slots whose workers run a task on trial; the rest of their capacity is reserved if
    /// the task needs a worker to itself.
    pub(super) fn mark_suspects(&mut self) {
        self.scheduler.clear_suspects();
        for (worker, (job, step)) in self.scheduler.trials(self.now) {
            let Some(slot) = self.slot_indexes.get(&worker).copied() else { continue };
            if self.scheduler.care(&job, step, self.now) == Care::Alone {
                self.reserve_rest(slot, &job);
            }
            self.slots[slot].suspect = Some(Rc::new((job, step)));
        }
    }

    /// Reserves the rest of the slots that tasks use which need a worker to themselves.
    pub(super) fn keep_others_away(&mut self, pending: &PendingStep<'_>, used: &[usize]) {
        if pending.care == Care::Alone {
            for slot in used {
                self.reserve_rest(*slot, pending.key.0);
            }
        }
    }

    /// Reserves what is free on a slot.
    fn reserve_rest(&mut self, slot: usize, job: &Name) {
        let rest = self.slots[slot].free_capacity;
        self.slots[slot].reserve(&rest, job);
    }

    /// Whether a step is better placed elsewhere: another step may crash the slot's worker, or the step
    /// itself may, and others run there.
    pub(super) fn is_shunned(&self, pending: &PendingStep<'_>, slot: usize) -> bool {
        let slot = &self.slots[slot];
        if slot.suspect.as_ref().is_some_and(|step| (&step.0, step.1) != pending.key) {
            return true;
        }
        if pending.care == Care::Usual {
            return false;
        }
        let worker = self.scheduler.pool.get(&slot.id);
        worker.is_some_and(|worker| !worker.runs_only(pending.key))
    }

    /// Whether the care that a step needs lets it use a slot.
    pub(super) fn is_isolated(&self, pending: &PendingStep<'_>, slot: usize) -> bool {
        match pending.care {
            Care::Usual => true,
            Care::Apart => {
                let suspect = self.slots[slot].suspect.as_ref();
                suspect.is_none_or(|step| (&step.0, step.1) == pending.key)
            }
            Care::Alone => {
                let slot = &self.slots[slot];
                let worker = self.scheduler.pool.get(&slot.id);
                slot.held == Resources::default()
                    && worker.is_some_and(|worker| worker.assignments.is_empty())
            }
        }
    }

    /// Whether tasks under suspicion may wait any longer for a worker apart from others.
    pub(super) fn may_wait(&mut self, pending: &PendingStep<'_>) -> bool {
        let (id, step) = pending.key;
        let job = self.scheduler.jobs.get_mut(id);
        job.is_some_and(|job| job.steps[step as usize].may_isolate(self.now))
    }

    /// Whether tasks wait for the trial of others of their step.
    pub(super) fn awaits_trial(&self, pending: &PendingStep<'_>) -> bool {
        let is_own = |(_, step): &(Name, (Name, u32))| (&step.0, step.1) == pending.key;
        pending.care == Care::Alone && self.scheduler.trials(self.now).iter().any(is_own)
    }

    /// Whether tasks wait for news of their silent workers.
    pub(super) fn awaits_news(&mut self, pending: &PendingStep<'_>) -> bool {
        let (id, step) = pending.key;
        let job = self.scheduler.jobs.get_mut(id).filter(|_| pending.care != Care::Usual);
        job.is_some_and(|job| job.steps[step as usize].may_await_news(self.now))
    }

    /// Number of tasks of a step that fit on a slot which the care that it needs lets it use.
    #[inline]
    pub(super) fn isolated_places(&self, pending: &PendingStep<'_>, slot: usize) -> u32 {
        if pending.care == Care::Usual {
            return self.fitting_tasks(pending, slot);
        }
        let (id, step) = pending.key;
        let step = self.scheduler.jobs.get(id).and_then(|job| job.steps.get(step as usize));
        let has_waited = step.is_some_and(|step| step.has_isolated_too_long(self.now));
        if has_waited || self.is_isolated(pending, slot) {
            self.fitting_tasks(pending, slot)
        } else {
            0
        }
    }

    /// The feasible slots for tasks under suspicion; none while they wait.
    ///
    /// Tasks that need a worker to themselves get one, those under suspicion first. While none is
    /// vacant, the one with the least running gets no other tasks.
    pub(super) fn isolated_slots(
        &mut self,
        pending: &mut PendingStep<'_>,
        feasible: Vec<usize>,
    ) -> Vec<usize> {
        let (id, step_index) = pending.key;
        let may_wait = self.may_wait(pending);
        let is_usable = |slot: &usize| self.isolated_places(pending, *slot) > 0;
        let isolated: Vec<usize> = feasible.iter().copied().filter(is_usable).collect();
        if pending.care != Care::Alone {
            return isolated;
        }
        if isolated.is_empty() {
            if may_wait {
                self.clear_least_used(pending, &feasible);
            }
            return isolated;
        }
        let job = self.scheduler.jobs.get(id);
        let Some(step) = job.and_then(|job| job.steps.get(step_index as usize)) else {
            return Vec::new();
        };
        let lost = |index: &u32| step.tasks[*index as usize].lost_workers();
        pending.waiting_tasks.sort_by_key(|index| Reverse(lost(index)));
        let others = isolated.iter().copied();
        let others = others.filter(|slot| !step.has_crashed(&self.slots[*slot].id));
        let others: Vec<usize> = others.collect();
        let best = self.best_slot(pending, &others).or_else(|| self.best_slot(pending, &isolated));
        best.into_iter().collect()
    }

    /// Reserves what is free on the feasible slot with the least running that could hold a task.
    fn clear_least_used(&mut self, pending: &PendingStep<'_>, feasible: &[usize]) {
        let worker = |slot: &usize| self.scheduler.pool.get(&self.slots[*slot].id);
        let could_hold = |slot: &&usize| {
            let capacity = worker(slot).map(|worker| worker.registration.capacity);
            capacity.is_some_and(|capacity| pending.spec.need.fits_in(&capacity))
        };
        let used = |slot: &&usize| worker(slot).map(|worker| worker.allocated.cpu);
        if let Some(slot) = feasible.iter().filter(could_hold).min_by_key(used).copied() {
            self.reserve_rest(slot, pending.key.0);
        }
    }
}
