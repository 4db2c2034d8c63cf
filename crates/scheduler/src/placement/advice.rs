//! Decides which steps request advice, on which workers, and what they reserve meanwhile.

use std::cmp::Reverse;
use std::time::Duration;

use common::Name;

use super::{GANG_ADVICE_DELAY, Pass, PendingStep, Slot};
use crate::advice::CallClass;
use crate::rules::AdvicePolicy;
use crate::scheduler::{AdviceCall, AdviceKey};

/// Workers named in an advice call above which a step makes several calls at a time.
///
/// The base duration of a call is spent once for each call, and its tickets expire soon after the
/// others' if they end at different times.
const WORKERS_PER_CALL: usize = 40;

/// Most workers that the advice service accepts in a call.
const MAX_WORKERS_PER_CALL: usize = 100;

/// Fewest unknown workers named in a round of calls for a gang.
///
/// The base duration of a call dominates the added duration of each worker named.
const MIN_WORKERS_PER_GANG_ROUND: usize = 24;

/// Delay before a gang that reserves no capacity checks again whether advice is of use.
const GANG_RECHECK_DELAY: Duration = Duration::from_millis(100);

/// Factor on the expected number of places that a round of advice calls must yield.
const ADVICE_MARGIN_FACTOR: f64 = 1.4;

impl Pass<'_> {
    /// Requests the tickets that a step lacks, unless a call is pending.
    pub(super) fn ensure_advice(&mut self, pending: &PendingStep<'_>) {
        let Some(advice) = &pending.queue.advice else { return };
        let Some(step) = self.step_state(pending) else { return };
        let workers = if step.pending_advice.is_empty() {
            if step.advice_not_before > self.now {
                return;
            }
            self.request_advice(pending, advice)
        } else {
            step.pending_advice.values().flatten().cloned().collect()
        };
        self.reserve_for_advice(pending, &workers);
    }

    /// Reserves the capacity that a step will use after its advice arrives.
    ///
    /// A gang may use any of many unknown workers, so that these are only avoided by the calls of
    /// other gangs.
    pub(super) fn reserve_for_advice(&mut self, pending: &PendingStep<'_>, workers: &[Name]) {
        let slots = workers.iter().filter_map(|worker| self.slot_indexes.get(worker).copied());
        let mut slots: Vec<usize> = slots.collect();
        if pending.spec.is_gang {
            let Some(step) = self.step_state(pending) else { return };
            let is_allowed = |slot: &usize| step.is_allowed(&self.slots[*slot].id);
            let (allowed, unknown): (Vec<usize>, Vec<usize>) =
                slots.into_iter().partition(is_allowed);
            let need = pending.spec.need.times(pending.waiting_tasks.len() as u32);
            let share = need.divided(unknown.len().max(1) as u32);
            for slot in unknown {
                let expected_use = &mut self.slots[slot].expected_use;
                *expected_use = expected_use.plus(&share);
            }
            if self.reserving_gangs < self.max_reserving_gangs {
                return;
            }
            slots = allowed;
        }
        self.reserve(pending, &slots, None);
    }

    /// Queues a round of advice calls that can start soon, and returns the workers that they name.
    ///
    /// The calls of a round name about equally many workers, so that their tickets are valid at the
    /// same time.
    pub(super) fn request_advice(
        &mut self,
        pending: &PendingStep<'_>,
        advice: &AdvicePolicy,
    ) -> Vec<Name> {
        let (id, step_index) = pending.key;
        let mut workers = self.choose_advice_workers(pending);
        if workers.is_empty() {
            if self.reserving_gangs >= self.max_reserving_gangs
                && let Some(job) = self.scheduler.jobs.get_mut(id)
            {
                let step = &mut job.steps[step_index as usize];
                step.advice_not_before = self.now + GANG_RECHECK_DELAY;
            }
            return workers;
        }
        let duration =
            |named: usize| advice.base_duration + advice.duration_per_worker * named as u32;
        let class = CallClass::of(duration(workers.len().min(WORKERS_PER_CALL)));
        let Some(job) = self.scheduler.jobs.get_mut(id) else { return Vec::new() };
        let step = &mut job.steps[step_index as usize];
        let free_daemons = self.advice_capacity.free_daemons(class);
        if free_daemons == 0 {
            step.steps_ahead = Some(self.advice_capacity.refuse(class));
            self.scheduler.advice_refused_at[class as usize] = Some(self.now);
            return Vec::new();
        }
        let calls = workers.len().div_ceil(WORKERS_PER_CALL).min(free_daemons);
        workers.truncate(calls * MAX_WORKERS_PER_CALL);
        self.steps_handled += 1;
        for named in workers.chunks(workers.len().div_ceil(calls)) {
            let expected_duration = duration(named.len());
            self.advice_capacity.assign(expected_duration);
            step.last_advice_call += 1;
            step.pending_advice.insert(step.last_advice_call, named.to_vec());
            let key =
                AdviceKey { job: id.clone(), step: step_index, number: step.last_advice_call };
            let advice_call = AdviceCall { key, workers: named.to_vec(), expected_duration };
            self.scheduler.advice_calls.push(advice_call);
        }
        workers
    }

    /// Chooses the workers of a round of advice calls: allowed ones, then unknown ones by capacity.
    pub(super) fn choose_advice_workers(&self, pending: &PendingStep<'_>) -> Vec<Name> {
        let Some(step) = self.step_state(pending) else { return Vec::new() };
        let count = pending.waiting_tasks.len() as u32;
        let (mut known, mut known_places) = (Vec::new(), 0);
        let mut allowed = self.allowed_slots(pending, false);
        allowed.sort_by_key(|slot| self.is_doubtful(pending, *slot));
        for slot in allowed {
            let free_places = self.isolated_places(pending, slot);
            if free_places > 0 {
                known_places += free_places;
                known.push(self.slots[slot].id.clone());
            }
            if known_places >= count {
                return known;
            }
        }
        let has_candidates = self.has_enough_candidates(pending);
        if has_candidates && self.now < step.last_advice_at + GANG_ADVICE_DELAY {
            return Vec::new();
        }
        let mut unknown = Vec::new();
        for slot in pending.candidates.slots.iter().copied() {
            let free_places = self.isolated_places(pending, slot);
            let id = &self.slots[slot].id;
            // A gang reserves capacity over time, so workers that are full now count too.
            if (free_places > 0 || pending.spec.is_gang) && !step.eligibility.contains_key(id) {
                unknown.push((free_places, slot));
            }
        }
        let share = self.scheduler.estimator.allowed_share(&pending.queue.name);
        let remaining = f64::from(count - known_places);
        if has_candidates {
            unknown.retain(|(free_places, _)| *free_places > 0);
            let places: u32 = unknown.iter().map(|(free_places, _)| free_places.min(&count)).sum();
            if known_places + places < count {
                return Vec::new();
            }
        }
        if unknown.is_empty() {
            return if pending.spec.is_gang { Vec::new() } else { known };
        }
        unknown.sort_by_key(|(_, slot)| {
            let Slot { free_capacity, expected_use, .. } = &self.slots[*slot];
            let places = pending.spec.need.max_copies_in(&free_capacity.minus(expected_use));
            (self.is_doubtful(pending, *slot), Reverse(places), expected_use.cpu)
        });
        let min_workers = if pending.spec.is_gang { MIN_WORKERS_PER_GANG_ROUND } else { 1 };
        let wanted_places = remaining * ADVICE_MARGIN_FACTOR;
        let mut expected_places = 0.0;
        let mut new_workers = 0;
        for (free_places, _) in &unknown {
            if expected_places >= wanted_places && new_workers >= min_workers {
                break;
            }
            // A full worker counts as one place: its runs end at some time.
            expected_places += share * f64::from((*free_places).clamp(1, count));
            new_workers += 1;
        }
        let chosen = unknown.into_iter().take(new_workers);
        known.extend(chosen.map(|(_, slot)| self.slots[slot].id.clone()));
        known
    }
}
