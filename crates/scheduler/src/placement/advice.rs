//! Decides which steps request advice, on which workers, and what they hold meanwhile.

use std::cmp::Reverse;
use std::time::Duration;

use common::Name;

use super::{Pass, PendingStep, Slot};
use crate::advice::{CallClass, MAX_CALL_WAIT, SHORTAGE_SPAN};
use crate::crash::Care;
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

/// Delay after which a gang with enough candidates learns about a few more workers.
///
/// It starts at the last advice. The candidates that the gang has may be busy for long.
const GANG_ADVICE_DELAY: Duration = Duration::from_millis(1500);

/// Factor on the expected number of places that a round of advice calls must yield.
const ADVICE_MARGIN_FACTOR: f64 = 1.4;

/// The workers of a round of advice calls.
#[derive(Debug, Default)]
struct Round {
    /// Workers that the calls name, in the order in which they matter.
    named: Vec<usize>,
    /// Places to hold until the tickets are used or expire, by slot.
    held: Vec<(usize, u32)>,
    /// Whether a gang cannot start after it, and only learns which workers may run it.
    is_to_learn: bool,
}

impl Pass<'_> {
    /// Requests the tickets that a step lacks, unless a call is pending.
    pub(super) fn ensure_advice(&mut self, pending: &PendingStep<'_>) {
        let Some(advice) = &pending.queue.advice else { return };
        let Some(step) = self.step_state(pending) else { return };
        if step.pending_advice.is_empty() {
            if step.advice_not_before <= self.now {
                self.request_advice(pending, advice);
            }
        } else {
            let workers = step.pending_advice.values().flatten();
            let slots = workers.filter_map(|worker| self.slot_indexes.get(worker).copied());
            let slots: Vec<usize> = slots.collect();
            self.expect_use(pending, &slots);
        }
    }

    /// Records that a step may use some of the unknown workers that its calls name.
    ///
    /// A gang may use any of many, so that these are only avoided by the calls of others. What other
    /// steps call for is left to them.
    fn expect_use(&mut self, pending: &PendingStep<'_>, slots: &[usize]) {
        let Some(step) = self.step_state(pending) else { return };
        let is_unknown = |slot: &usize| !step.is_allowed(&self.slots[*slot].id);
        let unknown: Vec<usize> = slots.iter().copied().filter(is_unknown).collect();
        let need = pending.spec.need.times(pending.waiting_tasks.len() as u32);
        let share = need.divided(unknown.len().max(1) as u32);
        for slot in unknown {
            let slot = &mut self.slots[slot];
            slot.expected_use = slot.expected_use.plus(&share);
            if !pending.spec.is_gang {
                slot.called_for = slot.called_for.plus(&share);
            }
        }
    }

    /// Queues a round of advice calls that can start soon, and holds the room that they are for.
    ///
    /// The calls of a round name about equally many workers, so that their tickets are valid at the
    /// same time.
    fn request_advice(&mut self, pending: &PendingStep<'_>, advice: &AdvicePolicy) {
        let (id, step_index) = pending.key;
        let mut round = self.choose_round(pending, advice);
        if round.named.is_empty() {
            return;
        }
        let priority = pending.queue.priority;
        let has_enough = round.is_to_learn && self.has_enough_candidates(pending);
        if has_enough && !self.is_worthwhile(pending, &round) {
            return;
        }
        let is_optional = has_enough && !self.may_preempt(pending);
        if is_optional && self.lacks_advice(priority) {
            return;
        }
        let class = CallClass::of(advice.call_duration(round.named.len().min(WORKERS_PER_CALL)));
        let free_daemons = self.advice_capacity.free_daemons(class);
        if free_daemons == 0 {
            if !is_optional {
                let steps_ahead = self.advice_capacity.refuse(class);
                self.scheduler.advice_refused_at[class as usize] = Some(self.now);
                self.scheduler.advice_lacked_at.insert(priority, self.now);
                if let Some(job) = self.scheduler.jobs.get_mut(id) {
                    job.steps[step_index as usize].steps_ahead = Some(steps_ahead);
                }
            }
            return;
        }
        // Larger calls take longer, but less of the service's time.
        let is_scarce = self.lacks_advice(priority);
        let per_call = if is_scarce { MAX_WORKERS_PER_CALL } else { WORKERS_PER_CALL };
        let calls = round.named.len().div_ceil(per_call).min(free_daemons);
        round.named.truncate(calls * MAX_WORKERS_PER_CALL);
        self.steps_handled += 1;
        let Some(job) = self.scheduler.jobs.get_mut(id) else { return };
        let step = &mut job.steps[step_index as usize];
        for named in round.named.chunks(round.named.len().div_ceil(calls)) {
            let expected_duration = advice.call_duration(named.len());
            self.advice_capacity.assign(expected_duration);
            step.last_advice_call += 1;
            let workers: Vec<Name> =
                named.iter().map(|slot| self.slots[*slot].id.clone()).collect();
            step.pending_advice.insert(step.last_advice_call, workers.clone());
            let key =
                AdviceKey { job: id.clone(), step: step_index, number: step.last_advice_call };
            self.scheduler.advice_calls.push(AdviceCall { key, workers, expected_duration });
        }
        self.expect_use(pending, &round.named);
        self.set_holds(pending, &round.held);
    }

    /// Whether a gang with enough candidates learns about more workers now: there are many of them, or
    /// it has waited for long.
    fn is_worthwhile(&self, pending: &PendingStep<'_>, round: &Round) -> bool {
        let last_advice_at = self.step_state(pending).map_or(self.now, |step| step.last_advice_at);
        let has_waited = self.now >= last_advice_at + GANG_ADVICE_DELAY;
        round.named.len() >= MIN_WORKERS_PER_GANG_ROUND || has_waited
    }

    /// Whether a step of a priority or a higher one lately found no daemon for a call that it needs.
    fn lacks_advice(&self, priority: u32) -> bool {
        let mut lacked = self.scheduler.advice_lacked_at.range(..=priority);
        lacked.any(|(_, at)| self.now < *at + SHORTAGE_SPAN)
    }

    /// Chooses the workers of a round of advice calls; none if a round is of no use now.
    fn choose_round(&self, pending: &PendingStep<'_>, advice: &AdvicePolicy) -> Round {
        let count = pending.waiting_tasks.len() as u32;
        // Tickets that are still valid when those of this round arrive are not renewed.
        let longest_call = advice.call_duration(WORKERS_PER_CALL.min(count as usize));
        let arrival = self.start_arrival + MAX_CALL_WAIT + longest_call;
        let known = self.known_places(pending, arrival);
        let known_places: u32 = known.iter().map(|(_, places)| places).sum();
        if known_places >= count {
            let slots = known.iter().map(|(slot, _)| *slot);
            let due = slots.filter(|slot| !pending.has_ticket(*slot, arrival));
            return Round { named: due.collect(), held: known, is_to_learn: false };
        }
        let awaited = self.round_for_awaited(pending, arrival);
        // Held room comes before all jobs, and what the others will leave is not known yet.
        if awaited.is_some() && self.gets_leftovers() {
            return Round::default();
        }
        awaited.unwrap_or_else(|| self.round_with_unknown(pending, known))
    }

    /// Places for the waiting tasks of a step on allowed workers with room; a gang prefers those with
    /// tickets that are valid after a time, then those with the most room.
    fn known_places(&self, pending: &PendingStep<'_>, until: Duration) -> Vec<(usize, u32)> {
        let mut places = self.places_on_allowed(pending);
        if pending.spec.is_gang {
            places.sort_by_key(|(slot, places)| {
                let is_due = !pending.has_ticket(*slot, until);
                (self.is_doubtful(pending, *slot), is_due, Reverse(*places))
            });
        }
        first_places(places.into_iter(), pending.waiting_tasks.len() as u32)
    }

    /// A round for a step whose known places are too few, which names unknown workers too.
    fn round_with_unknown(&self, pending: &PendingStep<'_>, known: Vec<(usize, u32)>) -> Round {
        let count = pending.waiting_tasks.len() as u32;
        let known_places: u32 = known.iter().map(|(_, places)| places).sum();
        let unknown = self.unknown_places(pending);
        if unknown.is_empty() && pending.spec.is_gang {
            return Round::default();
        }
        let share = self.scheduler.estimator.allowed_share(&pending.queue.name);
        let remaining = f64::from(count - known_places);
        let min_workers = if pending.spec.is_gang { MIN_WORKERS_PER_GANG_ROUND } else { 1 };
        let wanted_places = remaining * ADVICE_MARGIN_FACTOR;
        let (mut expected_places, mut expected_free_places) = (0.0, 0.0);
        let mut named = Vec::new();
        for (slot, places) in unknown {
            if expected_places >= wanted_places && named.len() >= min_workers {
                break;
            }
            // A full worker counts as one place: its runs end at some time.
            expected_places += share * f64::from(places.clamp(1, count));
            expected_free_places += share * f64::from(places.min(count));
            named.push(slot);
        }
        if pending.spec.is_gang && expected_free_places < remaining {
            return Round { named, held: Vec::new(), is_to_learn: true };
        }
        // Its calls take longer than those that renew tickets only, so all known workers are named.
        let known_slots = known.iter().map(|(slot, _)| *slot);
        Round { named: known_slots.chain(named).collect(), held: known, is_to_learn: false }
    }

    /// A round for a gang that is expected to have room when the tickets arrive.
    fn round_for_awaited(&self, pending: &PendingStep<'_>, arrival: Duration) -> Option<Round> {
        if !pending.spec.is_gang || pending.care != Care::Usual {
            return None;
        }
        let count = pending.waiting_tasks.len() as u32;
        let allowed = pending.allowed.iter().map(|(slot, _)| *slot);
        let uncollected = allowed.filter(|slot| !self.slots[*slot].is_collected);
        let places = uncollected.map(|slot| {
            (slot, self.isolated_places(pending, slot), self.places_at(pending, slot, arrival))
        });
        let mut places: Vec<_> = places.filter(|(_, _, later)| *later > 0).collect();
        if places.iter().map(|(_, _, later)| later).sum::<u32>() < count {
            return None;
        }
        let is_due = |slot: usize| !pending.has_ticket(slot, arrival);
        places.sort_by_key(|(slot, now, later)| {
            (self.is_doubtful(pending, *slot), Reverse(*now), is_due(*slot), Reverse(*later))
        });
        let wanted = (f64::from(count) * ADVICE_MARGIN_FACTOR) as u32;
        let (mut expected, mut held) = (0, 0);
        let mut round = Round::default();
        for (slot, now, later) in places {
            if expected >= wanted {
                break;
            }
            expected += later;
            let now = now.min(count - held);
            held += now;
            round.held.push((slot, now));
            if is_due(slot) {
                round.named.push(slot);
            }
        }
        Some(round)
    }

    /// Number of tasks of a step that a slot is expected to have room for at a time.
    pub(super) fn places_at(&self, pending: &PendingStep<'_>, slot: usize, at: Duration) -> u32 {
        let Slot { id, ends, free_capacity, .. } = &self.slots[slot];
        let Some(worker) = self.scheduler.pool.get(id) else { return 0 };
        let ends = ends.get_or_init(|| {
            let runs = worker.assignments.iter();
            let end = |(key, run)| self.scheduler.likely_end(id, key, run, self.now);
            runs.map(|run| (end(run), run.1.need)).collect()
        });
        let mut room = *free_capacity;
        for (_, need) in ends.iter().filter(|(end, _)| *end <= at) {
            room = room.plus(need);
        }
        if self.may_preempt(pending) {
            let runs = worker.assignments.iter();
            let preemptible = runs.zip(ends).filter(|((key, run), (end, _))| {
                *end > at && self.is_preemptible(pending, key, run)
            });
            for ((_, run), _) in preemptible {
                room = room.plus(&run.need);
            }
        }
        self.fitting_in(pending, slot, &room)
    }

    /// Allowed workers with room for tasks of a step, with numbers of places; doubtful ones last.
    fn places_on_allowed(&self, pending: &PendingStep<'_>) -> Vec<(usize, u32)> {
        let allowed = pending.allowed.iter().map(|(slot, _)| *slot);
        let places = allowed.map(|slot| (slot, self.isolated_places(pending, slot)));
        let mut places: Vec<_> = places.filter(|(_, places)| *places > 0).collect();
        places.sort_by_key(|(slot, _)| self.is_doubtful(pending, *slot));
        places
    }

    /// Unknown workers that may be asked about, with numbers of places; the best first.
    fn unknown_places(&self, pending: &PendingStep<'_>) -> Vec<(usize, u32)> {
        let Some(step) = self.step_state(pending) else { return Vec::new() };
        let mut unknown = Vec::new();
        for slot in pending.candidates.slots.iter().copied() {
            let mut places = self.isolated_places(pending, slot);
            if places > 0 && !pending.spec.is_gang {
                let called_for = &self.slots[slot].called_for;
                let uncalled = self.available(pending, slot).minus(called_for);
                places = places.min(self.fitting_in(pending, slot, &uncalled));
            }
            // A gang collects room over time, so workers that are full now count too.
            if (places > 0 || pending.spec.is_gang)
                && !step.eligibility.contains_key(&self.slots[slot].id)
            {
                unknown.push((slot, places));
            }
        }
        unknown.sort_by_cached_key(|(slot, _)| {
            let Slot { free_capacity, expected_use, .. } = &self.slots[*slot];
            let places = pending.spec.need.max_copies_in(&free_capacity.minus(expected_use));
            let places = self.weighted_places(pending, *slot, places);
            (self.is_doubtful(pending, *slot), Reverse(places), expected_use.cpu)
        });
        unknown
    }
}

/// The first places of slots, as many as are needed at most.
fn first_places(slots: impl Iterator<Item = (usize, u32)>, mut needed: u32) -> Vec<(usize, u32)> {
    let mut chosen = Vec::new();
    for (slot, places) in slots {
        if needed == 0 {
            break;
        }
        let taken = places.min(needed);
        needed -= taken;
        chosen.push((slot, taken));
    }
    chosen
}
