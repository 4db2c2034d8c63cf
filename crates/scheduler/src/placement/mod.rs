//! Assigns waiting tasks to workers and requests the advice that this needs.
//!
//! A scheduling pass visits the open jobs by rank and works on a copy of the workers' free
//! capacity. What steps hold for the tickets of their advice calls (`holds`) is set aside first.
//! Capacity that a gang collects until all its tasks fit is reserved in the copy, so that jobs
//! of lower rank do not take it; `backfill` lends it to those that end early enough. `gangs`
//! places gangs, `speeds` prefers workers by their speed, `isolation` keeps tasks apart that may
//! crash their workers, `advice` decides on the calls, and `order` on the order of jobs where
//! workspaces share the pool.

mod advice;
mod backfill;
mod gangs;
mod holds;
mod isolation;
mod limits;
mod order;
mod preemption;
mod speeds;

pub(crate) use backfill::GangWait;
use limits::Budgets;
pub(crate) use limits::LimitTime;
pub use limits::{Resource, WorkspaceFigures};

use std::cell::OnceCell;
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;

use common::Name;

use crate::advice::{AdviceCapacity, CallClass, SHORTAGE_SPAN};
use crate::crash::Care;
use crate::fate::Fate;
use crate::job::{Job, TaskKey};
use crate::record::{Resources, Step};
use crate::rules::Queue;
use crate::scheduler::{Scheduler, StartOrder};
use crate::step::{Eligibility, StepState};
use crate::worker::{Assignment, RunState, Worker};
use order::Order;
use speeds::Urgency;

/// Most steps that a pass places or requests advice for.
const MAX_STEPS_PER_PASS: usize = 150;

/// Free capacity of one worker during a pass.
#[derive(Debug)]
#[expect(clippy::struct_excessive_bools, reason = "each has a different source")]
pub(crate) struct Slot {
    pub(crate) id: Name,
    /// Capacity of the worker.
    pub(crate) capacity: Resources,
    pub(crate) free_capacity: Resources,
    /// Capacity that steps whose calls are under way are expected to use, not reserved.
    expected_use: Resources,
    /// Capacity on unknown workers that calls for single tasks are for, not reserved.
    called_for: Resources,
    /// Capacity reserved for jobs, which `free_capacity` no longer contains.
    pub(crate) reserved: Resources,
    /// Part of the reserved capacity that steps hold for their advice calls.
    held: Resources,
    /// The first job that capacity was reserved for.
    pub(crate) reserved_for: Option<Name>,
    /// Part of the reserved capacity that tasks may use which end by `lent_until`.
    pub(crate) lent: Resources,
    /// Earliest time at which a job is expected to need what is lent.
    lent_until: Duration,
    /// Whether its worker takes one task, or the tasks of one gang, as a trial, and others with room
    /// are preferred.
    is_trial: bool,
    /// Whether its worker is passed over but by steps that no other worker fits.
    is_last_resort: bool,
    /// Jobs to which its worker is closed.
    closed_to: Vec<Name>,
    /// Jobs that take a trial on it after the others, as their runs failed or starts were refused there.
    last_for: Vec<Name>,
    /// Capacity that was free when a trial was placed.
    pub(crate) withheld: Resources,
    /// Whether a gang collects room on its worker.
    is_collected: bool,
    /// Whether the trial of its worker is placed, so that it has no room left.
    is_trial_placed: bool,
    /// The step, as job id and index, that may crash the worker; others keep away.
    suspect: Option<Rc<(Name, u32)>>,
    /// Likely ends of its worker's runs and what they use, once a step has asked for them.
    ends: OnceCell<Vec<(Duration, Resources)>>,
    /// Speed of its worker; 1 if speeds do not differ.
    speed: f64,
    /// Whether its worker is far slower than others, or than it was.
    is_slow: bool,
}

/// Slots whose workers have a service and a label.
#[derive(Debug)]
struct Candidates {
    /// Indexes in ascending order.
    slots: Vec<usize>,
    /// Whether each slot is one of them.
    is_candidate: Vec<bool>,
    /// Whether the workers of all of them are passed over.
    are_last_resorts: bool,
}

/// State of one scheduling pass over the open jobs.
struct Pass<'a> {
    scheduler: &'a mut Scheduler,
    slots: Vec<Slot>,
    /// Index of each worker's slot.
    slot_indexes: HashMap<Name, usize>,
    /// Candidates by service and required label.
    candidates: HashMap<(Name, String), Rc<Candidates>>,
    /// Daemons that can make advice calls.
    advice_capacity: AdviceCapacity,
    now: Duration,
    /// Expected time at which a start decided now reaches its worker.
    start_arrival: Duration,
    /// Steps that this pass has placed or requested advice for.
    steps_handled: usize,
    /// Whether a worker that is passed over takes trials of steps that no other one fits.
    has_last_resorts: bool,
    /// Maximum of each resource over all slots but those of last resort.
    largest_free: Resources,
    /// The same at the start of the pass, with all that is lent since.
    largest_lent: Resources,
    /// Latest time until which capacity is lent.
    lent_until: Duration,
    /// Whether the expected start of a gang was refreshed.
    has_refreshed_wait: bool,
    /// Whether trials are left by the jobs that take them first.
    are_trials_left: bool,
    /// What workspaces with a limit may still start.
    budgets: Budgets,
    /// Shares of the workspaces; `None` if the rules have none.
    order: Option<Order>,
}

/// A step with tasks that wait for placement.
struct PendingStep<'a> {
    /// Job id and step index.
    key: (&'a Name, u32),
    spec: &'a Step,
    queue: &'a Queue,
    candidates: Rc<Candidates>,
    /// Candidates that may run it, in ascending order, with the expiry of their tickets.
    allowed: Vec<(usize, Duration)>,
    /// Indexes of the waiting tasks, of which its workspace may start all.
    waiting_tasks: Vec<u32>,
    /// When a task placed now has ended at the latest; the maximum if it may use no lent room.
    ends_at: Duration,
    /// Workers that refused its starts since the last confirmed one.
    refused_by: Vec<Name>,
    /// How its tasks are placed, as workers may have crashed under them.
    care: Care,
    /// How much time it has.
    urgency: Urgency,
}

impl Scheduler {
    /// Runs a scheduling pass: assigns tasks and requests missing advice.
    ///
    /// `write_delay` is the expected time until a job's row is committed and its start is sent.
    pub fn plan(
        &mut self,
        now: Duration,
        write_delay: Duration,
        mut advice_capacity: AdviceCapacity,
    ) {
        let is_used = |worker: &&Worker| worker.is_usable(now) || worker.is_last_resort(now);
        let usable = self.pool.iter().filter(is_used);
        let slots = usable.map(|worker| Slot {
            id: worker.registration.id.clone(),
            capacity: worker.registration.capacity,
            free_capacity: worker.free(),
            expected_use: Resources::default(),
            called_for: Resources::default(),
            reserved: Resources::default(),
            held: Resources::default(),
            reserved_for: None,
            lent: Resources::default(),
            lent_until: Duration::ZERO,
            is_trial: worker.needs_trial(),
            is_last_resort: !worker.is_usable(now),
            closed_to: worker.jobs_kept_away(now),
            last_for: worker.doubted_jobs(),
            withheld: Resources::default(),
            is_collected: false,
            is_trial_placed: false,
            suspect: None,
            ends: OnceCell::new(),
            speed: self.forecast.speed(&worker.registration.id),
            is_slow: self.forecast.is_slow(&worker.registration.id, now),
        });
        let slots: Vec<_> = slots.collect();
        self.last_slots.clear();
        self.collecting_gangs.clear();
        if slots.is_empty() || self.rules.is_none() {
            return;
        }
        self.admission.record_pass(now);
        for class in CallClass::ALL {
            let refused_at = self.advice_refused_at[class as usize];
            if refused_at.is_some_and(|at| now < at + SHORTAGE_SPAN) {
                advice_capacity.set_short(class);
            }
        }
        let has_last_resorts = slots.iter().any(|slot| slot.is_last_resort);
        let order = Order::new(self, &slots);
        let slot_indexes = slots.iter().enumerate().map(|(index, slot)| (slot.id.clone(), index));
        let budgets = Budgets::new(self);
        let mut pass = Pass {
            scheduler: self,
            slot_indexes: slot_indexes.collect(),
            slots,
            candidates: HashMap::new(),
            advice_capacity,
            now,
            start_arrival: now + write_delay,
            steps_handled: 0,
            has_last_resorts,
            largest_free: Resources::default(),
            largest_lent: Resources::default(),
            lent_until: Duration::ZERO,
            has_refreshed_wait: false,
            are_trials_left: false,
            budgets,
            order,
        };
        pass.mark_suspects();
        pass.apply_holds();
        pass.update_largest_free();
        pass.largest_lent = pass.largest_free;
        pass.visit_jobs();
        pass.place_last_trials();
        let (slots, reached) = (pass.slots, pass.budgets.reached());
        self.last_slots = slots;
        self.record_limits(&reached, now);
    }
}

impl Pass<'_> {
    /// Places the ready steps of a job.
    fn place_job(&mut self, id: &Name) {
        let Some(job) = self.scheduler.jobs.get_mut(id) else { return };
        let mut ready = job.ready_steps().peekable();
        if ready.peek().is_none() {
            return;
        }
        let mut ready: Vec<usize> = ready.collect();
        let has_limit = self.budgets.pass_by(job, &mut ready, self.now);
        if ready.is_empty() {
            return;
        }
        let queue = job.queue.clone();
        let Some(queue) = self.scheduler.queue(&queue).cloned() else { return };
        for step_index in ready {
            if self.is_step_postponed(id, step_index) {
                continue;
            }
            if has_limit {
                self.place_limited_step(id, step_index, &queue);
            } else {
                self.place_step(id, step_index, &queue, u32::MAX);
            }
        }
    }

    /// Places jobs on workers on trial that failed or refused them, if no other job has taken the trial.
    fn place_last_trials(&mut self) {
        let is_left = |slot: &&Slot| slot.is_trial && !slot.is_trial_placed;
        let slots = self.slots.iter().filter(is_left);
        let last: HashSet<Name> = slots.flat_map(|slot| slot.last_for.iter().cloned()).collect();
        if last.is_empty() {
            return;
        }
        self.are_trials_left = true;
        let ranked = self.scheduler.ranked_jobs.iter().map(|(_, _, id)| id);
        let ranked: Vec<Name> = ranked.filter(|id| last.contains(*id)).cloned().collect();
        for id in ranked {
            self.place_job(&id);
        }
    }

    /// Whether only workers that are passed over can run a step.
    fn needs_last_resort(&mut self, id: &Name, step_index: usize, queue: &Queue) -> bool {
        if !self.has_last_resorts {
            return false;
        }
        let Some(job) = self.scheduler.jobs.get(id) else { return false };
        let spec = job.submission.steps[step_index].clone();
        self.find_candidates(queue, &spec).are_last_resorts
    }

    /// Recomputes the largest free capacity over all slots but those of last resort, which few steps use.
    fn update_largest_free(&mut self) {
        let usual = self.slots.iter().filter(|slot| !slot.is_last_resort);
        let capacities = usual.map(|slot| slot.free_capacity);
        self.largest_free =
            capacities.fold(Resources::default(), |most, slot_capacity| Resources {
                cpu: most.cpu.max(slot_capacity.cpu),
                mem: most.mem.max(slot_capacity.mem),
                gpus: most.gpus.max(slot_capacity.gpus),
            });
    }

    /// Places at most some tasks of a step, unless they cannot fit or its gang has runs.
    fn place_step(&mut self, id: &Name, step_index: usize, queue: &Queue, most: u32) {
        let ends_at = self.latest_end(id, step_index, queue);
        let needs_last_resort = self.needs_last_resort(id, step_index, queue);
        let Some(job) = self.scheduler.jobs.get_mut(id) else { return };
        let spec = &job.submission.steps[step_index];
        let state = &mut job.steps[step_index];
        state.steps_ahead = None;
        if state.doubt.starts_not_before > self.now {
            return;
        }
        if spec.is_gang && !state.all_waiting() {
            return;
        }
        let may_fit = needs_last_resort
            || !state.holds.is_empty()
            || spec.need.fits_in(&self.largest_free)
            || (ends_at <= self.lent_until && spec.need.fits_in(&self.largest_lent));
        if !spec.is_gang && !may_fit {
            self.collect_for_tasks(id, step_index, queue);
            return;
        }
        if let Some(advice) = &queue.advice
            && !spec.is_gang
            && state.pending_advice.is_empty()
            && state.tickets_until <= self.start_arrival
        {
            // Without tickets or a call, there is nothing to do.
            if state.advice_not_before > self.now {
                return;
            }
            let class = CallClass::of(advice.base_duration);
            let capacity = &mut self.advice_capacity;
            if capacity.is_short(class) && !capacity.has_free_daemon(class) {
                state.steps_ahead = Some(capacity.refuse(class));
                return;
            }
        }
        let spec = spec.clone();
        self.scheduler.steps_visited += 1;
        let waiting_tasks = state.tasks.iter().enumerate().filter(|(_, task)| task.is_waiting());
        let waiting_tasks = waiting_tasks.map(|(index, _)| index as u32);
        let waiting_tasks = waiting_tasks.take(most as usize).collect();
        let refused_by = state.doubt.refused_by.clone();
        let care = self.scheduler.care(id, step_index as u32, self.now);
        let urgency = self.urgency(id, step_index);
        let candidates = self.find_candidates(queue, &spec);
        let allowed = self.find_allowed(id, step_index, queue, &candidates);
        let pending = PendingStep {
            key: (id, step_index as u32),
            spec: &spec,
            queue,
            candidates,
            allowed,
            waiting_tasks,
            ends_at,
            refused_by,
            care,
            urgency,
        };
        if spec.is_gang { self.place_gang(pending) } else { self.place_tasks(pending) }
    }

    /// Slots whose workers have the service and the label that a step requires.
    fn find_candidates(&mut self, queue: &Queue, spec: &Step) -> Rc<Candidates> {
        let (slots, pool) = (&self.slots, &self.scheduler.pool);
        let key = (queue.service.clone(), spec.requirement.clone());
        let candidates = self.candidates.entry(key).or_insert_with(|| {
            let can_run =
                |slot: &Slot| pool.get(&slot.id).is_some_and(|worker| worker.can_run(queue, spec));
            let is_candidate: Vec<bool> = slots.iter().map(can_run).collect();
            let candidates = (0..slots.len()).filter(|slot| is_candidate[*slot]);
            let candidates: Vec<usize> = candidates.collect();
            let are_last_resorts = candidates.iter().all(|slot| slots[*slot].is_last_resort);
            Rc::new(Candidates { slots: candidates, is_candidate, are_last_resorts })
        });
        Rc::clone(candidates)
    }

    /// Places tasks one by one, each on its best slot.
    fn place_tasks(&mut self, mut pending: PendingStep<'_>) {
        let mut feasible = pending.ticketed_slots(self.start_arrival);
        if pending.care != Care::Usual && self.awaits_trial(&pending) {
            return;
        }
        if self.awaits_news(&pending) {
            feasible.clear();
        }
        self.release_holds(&pending);
        if pending.care != Care::Usual {
            feasible = self.isolated_slots(&mut pending, feasible);
        }
        let mut placed = 0;
        // All tasks of a step are alike, so the first without a slot ends the search.
        while let Some(index) = pending.waiting_tasks.get(placed).copied()
            && let Some(slot) = self.best_slot(&pending, &feasible)
            && !self.exceeds_share(&pending.spec.need)
        {
            self.assign_tasks(&pending, &[(index, slot)]);
            placed += 1;
        }
        if placed > 0 {
            self.keep_others_away(&pending, &feasible);
            pending.waiting_tasks.drain(..placed);
            self.steps_handled += 1;
            self.update_largest_free();
        }
        if !pending.waiting_tasks.is_empty() && !self.has_used_share() {
            if pending.queue.advice.is_some() {
                self.ensure_advice(&pending);
            }
            if pending.care == Care::Usual {
                self.collect_for_tasks(pending.key.0, pending.key.1 as usize, pending.queue);
            }
        }
        self.restore_holds(&pending);
    }

    /// State of a step; `None` if its job is unknown.
    fn step_state(&self, pending: &PendingStep<'_>) -> Option<&StepState> {
        let (id, step_index) = pending.key;
        self.scheduler.jobs.get(id)?.steps.get(step_index as usize)
    }

    /// Candidates that may run a step, with the expiry of their tickets.
    fn find_allowed(
        &self,
        id: &Name,
        step_index: usize,
        queue: &Queue,
        candidates: &Candidates,
    ) -> Vec<(usize, Duration)> {
        if queue.advice.is_none() {
            return candidates.slots.iter().map(|slot| (*slot, Duration::MAX)).collect();
        }
        let job = self.scheduler.jobs.get(id);
        let Some(step) = job.and_then(|job| job.steps.get(step_index)) else { return Vec::new() };
        let allowed = step.eligibility.iter().filter_map(|(worker, eligibility)| {
            let Eligibility::Allowed { expires, .. } = eligibility else { return None };
            let slot = *self.slot_indexes.get(worker)?;
            candidates.is_candidate[slot].then_some((slot, *expires))
        });
        let mut allowed: Vec<_> = allowed.collect();
        allowed.sort_unstable();
        allowed
    }

    /// Number of tasks of a step that fit on a slot.
    fn fitting_tasks(&self, pending: &PendingStep<'_>, slot: usize) -> u32 {
        let available = self.available(pending, slot);
        self.fitting_in(pending, slot, &available)
    }

    /// Capacity of a slot for a task of a step, with what is lent until the task has ended.
    fn available(&self, pending: &PendingStep<'_>, slot: usize) -> Resources {
        let slot = &self.slots[slot];
        slot.available(self.latest_end_on(pending, slot))
    }

    /// Number of tasks of a step that a slot would hold with a free capacity.
    fn fitting_in(&self, pending: &PendingStep<'_>, slot: usize, free: &Resources) -> u32 {
        let slot = &self.slots[slot];
        let is_passed_over = slot.is_last_resort && !pending.candidates.are_last_resorts;
        if is_passed_over || !slot.is_open_to(pending.key.0, self.are_trials_left) {
            return 0;
        }
        let copies = pending.spec.need.max_copies_in(free);
        let copies = if slot.is_trial && !pending.spec.is_gang { copies.min(1) } else { copies };
        if copies == 0 || pending.spec.spread == 0 {
            return copies;
        }
        let worker = self.scheduler.pool.get(&slot.id);
        worker
            .map_or(copies, |worker| copies.min(worker.remaining_spread(pending.key, pending.spec)))
    }

    /// The feasible slot with the least free CPU, preferably with the affinity label and, if it has
    /// little or much time, of such a speed; on a doubtful
    /// worker or on room that is lent only if there is no other.
    fn best_slot(&self, pending: &PendingStep<'_>, feasible: &[usize]) -> Option<usize> {
        let feasible =
            feasible.iter().copied().filter(|slot| self.fitting_tasks(pending, *slot) > 0);
        feasible.min_by_key(|slot| {
            let free = &self.slots[*slot].free_capacity;
            let is_lent = !pending.spec.need.fits_in(free);
            let is_doubtful = self.is_doubtful(pending, *slot);
            let has_affinity = self.has_affinity(pending.spec, *slot);
            let speed_rank = self.speed_rank(pending, *slot);
            let is_shunned = self.is_shunned(pending, *slot);
            (is_shunned, is_doubtful, is_lent, !has_affinity, speed_rank, free.cpu)
        })
    }

    /// Whether a slot's worker refused or failed tasks, is far too slow, or refused this step.
    fn is_doubtful(&self, pending: &PendingStep<'_>, slot: usize) -> bool {
        let slot = &self.slots[slot];
        slot.is_trial || slot.is_slow || pending.refused_by.contains(&slot.id)
    }

    /// Whether a slot's worker has the step's preferred label, if any.
    fn has_affinity(&self, spec: &Step, slot: usize) -> bool {
        if spec.affinity.is_empty() {
            return true;
        }
        let worker = self.scheduler.pool.get(&self.slots[slot].id);
        worker.is_some_and(|worker| worker.has_label(&spec.affinity))
    }

    /// Assigns tasks to slots and queues their starts until the job is durable.
    fn assign_tasks(&mut self, pending: &PendingStep<'_>, chosen: &[(u32, usize)]) {
        let (id, step_index) = pending.key;
        let Some(job) = self.scheduler.jobs.get_mut(id) else { return };
        let step = &mut job.steps[step_index as usize];
        step.gang_wait = None;
        step.end_isolation();
        let gang_run = step.tasks.iter().map(|task| task.run).max().unwrap_or(0) + 1;
        for (index, slot) in chosen {
            let slot = &mut self.slots[*slot];
            step.use_hold(&slot.id);
            self.budgets.charge(&job.workspace, &pending.spec.need);
            let task = &mut step.tasks[*index as usize];
            task.run = if pending.spec.is_gang { gang_run } else { task.run + 1 };
            task.worker = Some(slot.id.clone());
            slot.take(&pending.spec.need);
            slot.ends.take();
            self.scheduler.rounds.record_use(pending.key, &slot.id);
            if let Some(order) = &mut self.order {
                order.charge(&job.workspace, pending.key, &pending.spec.need);
            }
            let key = TaskKey { job: id.clone(), step: step_index, index: *index };
            let assignment = Assignment {
                run: task.run,
                need: pending.spec.need,
                state: RunState::Committing,
                changed_at: self.now,
                fate: Fate::default(),
                incarnation: 0,
                is_lost: false,
                is_timed: false,
                workspace: job.workspace.clone(),
            };
            if let Some(worker) = self.scheduler.pool.get_mut(&slot.id) {
                task.site = Some(worker.site());
                let incarnation = task.incarnation();
                worker.assign(key.clone(), Assignment { incarnation, ..assignment });
            }
            let start = StartOrder { key, run: task.run, worker: slot.id.clone() };
            self.scheduler.starts.push(start);
        }
        for (_, slot) in chosen {
            self.slots[*slot].end_trial();
            if pending.care != Care::Usual {
                self.slots[*slot].suspect = Some(Rc::new((id.clone(), step_index)));
            }
        }
        self.scheduler.changed_jobs.insert(id.clone());
    }

    /// Reserves capacity for the waiting tasks of a step on the first slots with room, and lends it
    /// until a time, if there is one.
    fn reserve(
        &mut self,
        pending: &PendingStep<'_>,
        slots: &[usize],
        lend_until: Option<Duration>,
    ) {
        let mut remaining = pending.waiting_tasks.len() as u32;
        for slot in slots {
            let taken = self.fitting_tasks(pending, *slot).min(remaining);
            if taken == 0 {
                continue;
            }
            let capacity = pending.spec.need.times(taken);
            let slot = &mut self.slots[*slot];
            slot.reserve(&capacity, pending.key.0);
            if let Some(until) = lend_until {
                slot.lend(&capacity, until);
                self.lent_until = self.lent_until.max(until);
            }
            remaining -= taken;
            if remaining == 0 {
                return;
            }
        }
    }
}

impl PendingStep<'_> {
    /// Slots that may run it and whose tickets are valid after a time, in ascending order.
    fn ticketed_slots(&self, until: Duration) -> Vec<usize> {
        let valid = self.allowed.iter().filter(|(_, expires)| *expires > until);
        valid.map(|(slot, _)| *slot).collect()
    }

    /// Whether it has a ticket for a slot that is valid after a time.
    fn has_ticket(&self, slot: usize, until: Duration) -> bool {
        let index = self.allowed.binary_search_by_key(&slot, |(allowed, _)| *allowed);
        index.is_ok_and(|index| self.allowed[index].1 > until)
    }
}

impl Slot {
    /// Whether its worker takes tasks of a job, now or once the jobs that are first have had their turn.
    fn is_open_to(&self, job: &Name, are_trials_left: bool) -> bool {
        let is_later = self.is_trial && !are_trials_left && self.last_for.contains(job);
        !is_later && !self.closed_to.contains(job)
    }

    /// Leaves no room once the trial of its worker is placed.
    fn end_trial(&mut self) {
        if self.is_trial {
            self.withheld = self.withheld.plus(&self.free_capacity);
            self.is_trial_placed = true;
            (self.free_capacity, self.lent) = Default::default();
        }
    }
}

impl Job {
    /// The ticket that a start must carry; `None` without one still valid at `now`.
    pub fn ticket(&self, step: u32, worker: &str, now: Duration) -> Option<Name> {
        self.steps.get(step as usize)?.ticket(worker, now).cloned()
    }
}
