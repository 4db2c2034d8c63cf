//! Room that steps hold on the workers that their advice calls name.
//!
//! A ticket is of use only if there is room for the task when it arrives, so a call holds the room
//! that its tickets are for. What a step has set aside on a worker is its own in each pass,
//! whatever the ranks of others, for as long as a call that names the worker is under way or its
//! ticket is valid. It is given up sooner if the worker is lost, or once the tasks that it was for
//! are placed. A gang also names workers whose runs are expected to end before the tickets arrive;
//! their room is set aside as it becomes free, before that of others is placed: what it holds
//! already would be idle for as long as others take the rest.

use std::time::Duration;

use common::Name;

use super::{Pass, PendingStep, Slot};
use crate::record::Resources;
use crate::step::StepState;

impl StepState {
    /// Uses a place that is held on a worker, if there is one, for a task that is placed there.
    pub(super) fn use_hold(&mut self, worker: &Name) {
        if let Some(held) = self.holds.get_mut(worker) {
            *held = held.saturating_sub(1);
        }
    }

    /// Gives up what is held on workers that no call names and for which there is no ticket that is
    /// valid after `until`, and what is held for more than the waiting tasks or than `most`.
    fn expire_holds(&mut self, until: Duration, most: u32) {
        let named = |worker: &Name| self.pending_advice.values().flatten().any(|id| id == worker);
        let is_expired = |worker: &&Name| self.ticket(worker, until).is_none() && !named(worker);
        let expired: Vec<Name> = self.holds.keys().filter(is_expired).cloned().collect();
        for worker in expired {
            self.holds.remove(&worker);
        }
        let mut remaining = self.waiting_tasks().min(most);
        for held in self.holds.values_mut() {
            *held = (*held).min(remaining);
            remaining -= *held;
        }
        if self.waiting_tasks().min(most) == 0 {
            self.holds.clear();
        }
    }
}

impl Pass<'_> {
    /// Sets aside what all steps hold, before any of them is placed.
    pub(super) fn apply_holds(&mut self) {
        let mut holders = std::mem::take(&mut self.scheduler.holders);
        holders.retain(|(id, step_index)| self.apply_step_holds(id, *step_index as usize));
        self.scheduler.holders = holders;
    }

    /// Sets aside what a step holds; false if that is nothing.
    fn apply_step_holds(&mut self, id: &Name, step_index: usize) -> bool {
        let Some(job) = self.scheduler.jobs.get_mut(id) else { return false };
        let is_ready = job.ready_steps().any(|ready| ready == step_index);
        let Some(step) = job.steps.get_mut(step_index) else { return false };
        let spec = &job.submission.steps[step_index];
        let most = self.budgets.startable(&job.workspace, spec);
        if !is_ready || (spec.is_gang && !step.all_waiting()) || most == 0 {
            step.holds.clear();
            return false;
        }
        step.expire_holds(self.start_arrival, most);
        let held: u32 = step.holds.values().sum();
        let mut lacking = if spec.is_gang { step.waiting_tasks() - held } else { 0 };
        step.holds.retain(|id, held| {
            let Some(slot) = self.slot_indexes.get(id).copied() else { return false };
            let Some(worker) = self.scheduler.pool.get(id) else { return false };
            let slot = &mut self.slots[slot];
            // The worker's room may have shrunk, or awaited room may be free now.
            let places = worker.places((&job.id, step_index as u32), spec, &slot.free_capacity);
            let added = places.saturating_sub(*held).min(lacking);
            lacking -= added;
            *held = (*held + added).min(places);
            slot.hold(&spec.need.times(*held), &job.id);
            true
        });
        !step.holds.is_empty()
    }

    /// Frees what a step holds for its own placement.
    pub(super) fn release_holds(&mut self, pending: &PendingStep<'_>) {
        let (id, step_index) = pending.key;
        let job = self.scheduler.jobs.get(id);
        let Some(step) = job.and_then(|job| job.steps.get(step_index as usize)) else { return };
        for (worker, held) in &step.holds {
            if let Some(slot) = self.slot_indexes.get(worker) {
                self.slots[*slot].release(&pending.spec.need.times(*held));
            }
        }
    }

    /// Sets aside again what a step holds after its placement.
    pub(super) fn restore_holds(&mut self, pending: &PendingStep<'_>) {
        let (id, step_index) = pending.key;
        let Some(job) = self.scheduler.jobs.get_mut(id) else { return };
        let most = self.budgets.startable(&job.workspace, pending.spec);
        let step = &mut job.steps[step_index as usize];
        step.expire_holds(self.start_arrival, most);
        let mut holds = std::mem::take(&mut step.holds);
        for (worker, held) in &mut holds {
            let Some(slot) = self.slot_indexes.get(worker).copied() else { continue };
            *held = self.fitting_tasks(pending, slot).min(*held);
            self.slots[slot].hold(&pending.spec.need.times(*held), id);
        }
        if let Some(job) = self.scheduler.jobs.get_mut(id) {
            job.steps[step_index as usize].holds = holds;
        }
    }

    /// Replaces what a step holds by numbers of places on slots; zero for room that is awaited.
    pub(super) fn set_holds(&mut self, pending: &PendingStep<'_>, places: &[(usize, u32)]) {
        let (id, step_index) = pending.key;
        let Some(job) = self.scheduler.jobs.get_mut(id) else { return };
        let holds = places.iter().map(|(slot, places)| (self.slots[*slot].id.clone(), *places));
        job.steps[step_index as usize].holds = holds.collect();
        self.scheduler.holders.insert((id.clone(), step_index));
    }
}

impl Slot {
    /// Sets capacity aside for a step that holds it.
    fn hold(&mut self, capacity: &Resources, job: &Name) {
        if *capacity != Resources::default() {
            self.reserve(capacity, job);
            self.held = self.held.plus(capacity);
        }
    }

    /// Frees capacity for the step that holds it.
    pub(super) fn release(&mut self, capacity: &Resources) {
        if !self.is_trial_placed {
            self.free_capacity = self.free_capacity.plus(capacity);
        }
        self.reserved = self.reserved.minus(capacity);
        self.held = self.held.minus(capacity);
        if self.reserved == Resources::default() {
            self.reserved_for = None;
        }
    }
}
