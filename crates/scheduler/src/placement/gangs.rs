//! Places gangs, whose tasks start together or not at all.

use std::cmp::Reverse;
use std::collections::HashMap;

use common::Name;

use super::backfill::LEND_DELAY;
use super::{Pass, PendingStep};
use crate::crash::Care;

/// Number of places on allowed workers that counts as enough, as a multiple of the gang's size.
///
/// Busy workers count too. The more workers a gang knows, the sooner its room comes together, but
/// beyond this it learns about more only while no other step lacks advice.
const GANG_CANDIDATE_FACTOR: u32 = 2;

/// Number of places on the workers on which a gang collects room, as a multiple of its size.
///
/// With more of them, its room comes together sooner; with fewer, more gangs collect at a time.
const COLLECTING_FACTOR: u32 = 4;

impl Pass<'_> {
    /// Places all tasks of a gang, or none.
    pub(super) fn place_gang(&mut self, pending: PendingStep<'_>) {
        self.release_holds(&pending);
        let mut feasible = pending.ticketed_slots(self.start_arrival);
        if pending.care != Care::Usual && self.may_wait(&pending) {
            feasible.retain(|slot| self.is_isolated(&pending, *slot));
        }
        if self.awaits_news(&pending) {
            feasible.clear();
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
        self.preempt(&pending);
        self.restore_holds(&pending);
        self.collect(&pending);
        self.keep_place(pending.key, &pending.spec.need.times(pending.spec.count));
    }

    /// Whether enough workers are allowed for a gang, so that it may do without learning about more.
    pub(super) fn has_enough_candidates(&self, pending: &PendingStep<'_>) -> bool {
        let allowed: Vec<usize> = pending.allowed.iter().map(|(slot, _)| *slot).collect();
        self.places_if_empty(pending, &allowed) >= pending.spec.count * GANG_CANDIDATE_FACTOR
    }

    /// Number of a step's tasks that workers would hold if they were empty.
    ///
    /// Only workers that are usable now have slots, as those that drain or left give no room.
    fn places_if_empty(&self, pending: &PendingStep<'_>, slots: &[usize]) -> u32 {
        let places = slots.iter().map(|slot| {
            let capacity = &self.slots[*slot].capacity;
            self.fitting_in(pending, *slot, capacity).min(pending.spec.count)
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
        let alike = self.choose_alike(pending, &feasible);
        alike.or_else(|| self.choose_among(pending, &feasible))
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
        let alike = racks.values().find_map(|slots| self.choose_alike(pending, slots));
        alike.or_else(|| racks.values().find_map(|slots| self.choose_among(pending, slots)))
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

    /// Reserves room for the tasks of a gang on allowed workers where no gang of higher rank collects
    /// room.
    ///
    /// Room that several gangs collect in parts on the same workers would be idle for longer. Once
    /// its calls name workers for all tasks, a gang leaves the others to the next one.
    fn collect(&mut self, pending: &PendingStep<'_>) {
        let Some(step) = self.step_state(pending) else { return };
        let count = pending.waiting_tasks.len() as u32;
        let held: u32 = step.holds.values().sum();
        if !step.holds.is_empty() {
            let named = step.holds.keys().filter_map(|id| self.slot_indexes.get(id).copied());
            let named: Vec<usize> = if held < count { named.collect() } else { Vec::new() };
            self.collect_on(pending, &named);
            self.reserve_pieces(pending, &named);
            return;
        }
        let slots = self.collecting_slots(pending);
        if self.places_if_empty(pending, &slots) >= count {
            // Where it gets no room soon, it keeps nobody away.
            let soon = self.now + LEND_DELAY;
            let useful = slots.iter().copied();
            let useful = useful.filter(|slot| self.places_at(pending, *slot, soon) > 0);
            let useful: Vec<usize> = useful.collect();
            self.collect_on(pending, &useful);
            let lend_until = self.lend_until(pending);
            self.reserve(pending, &slots, lend_until);
            self.reserve_pieces(pending, &useful);
        }
    }

    /// Allowed slots on which a gang may collect room, those with the most room first; no more than it
    /// has use for.
    fn collecting_slots(&self, pending: &PendingStep<'_>) -> Vec<usize> {
        let allowed = pending.allowed.iter().map(|(slot, _)| *slot);
        let uncollected = allowed.filter(|slot| !self.slots[*slot].is_collected);
        let mut slots: Vec<usize> = uncollected.collect();
        slots.sort_by_cached_key(|slot| Reverse(self.fitting_tasks(pending, *slot)));
        let wanted = pending.spec.count * COLLECTING_FACTOR;
        let mut places = 0;
        slots.retain(|slot| {
            let is_wanted = places < wanted;
            places += self.places_if_empty(pending, &[*slot]);
            is_wanted
        });
        slots
    }

    /// Keeps gangs of lower rank from collecting room on slots.
    fn collect_on(&mut self, pending: &PendingStep<'_>, slots: &[usize]) {
        for slot in slots {
            self.slots[*slot].is_collected = true;
        }
        self.scheduler.record_collecting(pending.key);
    }
}
