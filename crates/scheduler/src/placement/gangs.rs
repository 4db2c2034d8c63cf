//! Places gangs, whose tasks start together or not at all.

use std::collections::HashMap;

use common::Name;

use super::{Pass, PendingStep};
use crate::crash::Care;

/// Number of places on allowed workers that counts as enough, as a multiple of the gang's size.
///
/// Busy workers count too. A gang with enough candidates waits for free capacity instead of
/// requesting advice on more workers.
const GANG_CANDIDATE_FACTOR: u32 = 2;

impl Pass<'_> {
    /// Places all tasks of a gang, or none.
    pub(super) fn place_gang(&mut self, pending: PendingStep<'_>) {
        let mut feasible = self.allowed_slots(&pending, true);
        if pending.care != Care::Usual && self.may_wait(&pending) {
            feasible.retain(|slot| self.is_isolated(&pending, *slot));
        }
        if let Some(chosen) = self.choose_gang_slots(&pending, feasible) {
            self.assign_tasks(&pending, &chosen);
            let used: Vec<usize> = chosen.iter().map(|(_, slot)| *slot).collect();
            self.keep_others_away(&pending, &used);
            self.steps_handled += 1;
            self.update_largest_free();
            return;
        }
        if pending.queue.advice.is_some() {
            self.ensure_advice(&pending);
        }
        if self.reserving_gangs < self.max_reserving_gangs && self.can_collect(&pending) {
            self.reserving_gangs += 1;
            self.reserve_for_gang(&pending);
        }
    }

    /// Whether the workers that may run a gang would hold it if they were empty.
    pub(super) fn can_collect(&self, pending: &PendingStep<'_>) -> bool {
        self.allowed_places(pending) >= pending.spec.count
    }

    /// Whether enough workers are allowed for a gang, so that only capacity is missing.
    pub(super) fn has_enough_candidates(&self, pending: &PendingStep<'_>) -> bool {
        pending.spec.is_gang
            && self.allowed_places(pending) >= pending.spec.count * GANG_CANDIDATE_FACTOR
    }

    /// Number of a step's tasks that its allowed workers would hold if they were empty.
    ///
    /// Only workers that are usable now count, as those that drain or left give no room.
    pub(super) fn allowed_places(&self, pending: &PendingStep<'_>) -> u32 {
        let workers = self.allowed_slots(pending, false).into_iter();
        let workers = workers.filter_map(|slot| self.scheduler.pool.get(&self.slots[slot].id));
        let places = workers.map(|worker| {
            let capacity = &worker.registration.capacity;
            worker.places(pending.key, pending.spec, capacity).min(pending.spec.count)
        });
        places.fold(0, u32::saturating_add)
    }

    /// Slots for all tasks of a gang; `None` if they do not all fit.
    pub(super) fn choose_gang_slots(
        &self,
        pending: &PendingStep<'_>,
        mut feasible: Vec<usize>,
    ) -> Option<Vec<(u32, usize)>> {
        feasible.retain(|slot| pending.spec.need.fits_in(&self.slots[*slot].free_capacity));
        feasible.sort_by_key(|slot| {
            let has_affinity = self.has_affinity(pending.spec, *slot);
            let free_cpu = self.slots[*slot].free_capacity.cpu;
            let is_shunned = self.is_shunned(pending, *slot);
            (is_shunned, self.is_doubtful(pending, *slot), !has_affinity, free_cpu)
        });
        if pending.spec.same_rack
            && let Some(chosen) = self.choose_in_rack(pending, &feasible)
        {
            return Some(chosen);
        }
        self.choose_among(pending, &feasible)
    }

    /// Slots for all tasks of a gang within one rack.
    pub(super) fn choose_in_rack(
        &self,
        pending: &PendingStep<'_>,
        feasible: &[usize],
    ) -> Option<Vec<(u32, usize)>> {
        let mut racks: HashMap<&Name, Vec<usize>> = HashMap::new();
        for slot in feasible {
            let worker = self.scheduler.pool.get(&self.slots[*slot].id)?;
            if let Some(rack) = worker.registration.labels.last() {
                racks.entry(rack).or_default().push(*slot);
            }
        }
        racks.values().find_map(|slots| self.choose_among(pending, slots))
    }

    /// Chooses slots in the given order; `None` if the gang does not fit.
    pub(super) fn choose_among(
        &self,
        pending: &PendingStep<'_>,
        feasible: &[usize],
    ) -> Option<Vec<(u32, usize)>> {
        let mut remaining = pending.waiting_tasks.iter();
        let mut chosen = Vec::with_capacity(pending.waiting_tasks.len());
        for slot in feasible {
            for _ in 0..self.fitting_tasks(pending, *slot) {
                let Some(index) = remaining.next() else { return Some(chosen) };
                chosen.push((*index, *slot));
            }
        }
        remaining.next().is_none().then_some(chosen)
    }

    /// Reserves capacity for a gang on the slots that may run it.
    pub(super) fn reserve_for_gang(&mut self, pending: &PendingStep<'_>) {
        let allowed = self.allowed_slots(pending, false);
        let lend_until = self.lend_until(pending);
        self.reserve(pending, &allowed, lend_until);
    }
}
