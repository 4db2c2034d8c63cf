//! The order in which a pass visits jobs: by rank, with shares of workspaces in each priority.
//!
//! Jobs of workspaces below their fair share come first in their priority. A workspace that reaches
//! its share during the pass is postponed. Once the others have been visited, what they cannot use
//! is divided among the postponed workspaces in the same way; the rest goes by rank.
//!
//! A gang that collects room comes before all others of its priority, if its workspace was below its
//! share when it began, as the tasks of other workspaces below theirs would take what it lacks.
//! All that the gang needs counts as used meanwhile, so that a workspace with many gangs collects
//! no more room than its share and one gang. A task or gang that fits nowhere also collects
//! pieces of room that are too small for it, as small tasks of postponed workspaces would otherwise
//! take each piece that becomes free.

use std::collections::{BTreeSet, HashMap};

use common::Name;

use super::{MAX_STEPS_PER_PASS, Pass, PendingStep, Slot};
use crate::explain::WaitReason;
use crate::job::Job;
use crate::pool::Pool;
use crate::record::Resources;
use crate::rules::Queue;
use crate::scheduler::Scheduler;
use crate::shares::Shares;

/// Rounds of a priority in which workspaces keep within shares; in the second, those that cannot use
/// theirs leave it to others.
const SHARED_ROUNDS: usize = 2;

/// Most workers on which a pass collects room for single tasks.
///
/// Each search visits all workers. At 32, the pieces of room that become free in some passes of a
/// large pool find a task, and a pass spends less on them than on its other steps.
const MAX_COLLECTIONS: usize = 32;

/// A job with ready steps, and the index of its workspace; `None` for none.
#[derive(Debug)]
struct Turn {
    id: Name,
    workspace: Option<usize>,
}

/// Shares of the workspaces during a pass.
#[derive(Debug)]
pub(super) struct Order {
    shares: Shares,
    /// Indexes of the workspaces in the shares.
    indexes: HashMap<Name, usize>,
    /// Names of the workspaces, by index.
    names: Vec<Name>,
    /// Gangs that keep their places, as job id and index of the step.
    kept: BTreeSet<(Name, u32)>,
    /// Workspace of the visited job; `None` if that need not keep within a share.
    limited: Option<usize>,
    /// Whether the visited job has steps that were postponed.
    is_postponed: bool,
    /// Searches for room that was collected for single tasks.
    collections: usize,
}

impl Order {
    /// The order of a pass; `None` if the rules have no workspaces.
    pub(super) fn new(scheduler: &mut Scheduler, slots: &[Slot]) -> Option<Self> {
        let kept = std::mem::take(&mut scheduler.kept_gangs);
        scheduler.postponed_workspaces.clear();
        if !scheduler.has_workspaces() {
            return None;
        }
        let mut order = Self {
            shares: Shares::new(shared_capacity(&scheduler.pool, slots)),
            indexes: HashMap::new(),
            names: Vec::new(),
            kept: BTreeSet::new(),
            limited: None,
            is_postponed: false,
            collections: 0,
        };
        for (name, usage) in scheduler.workspace_usage() {
            order.add(scheduler, name, usage);
        }
        for (id, step_index) in kept {
            let Some(job) = scheduler.jobs.get(&id) else { continue };
            let step = step_index as usize;
            let waits =
                job.ready_steps().any(|ready| ready == step && job.steps[ready].all_waiting());
            if !waits || scheduler.is_at_limit(job, step) {
                continue;
            }
            let Some(workspace) = order.index(scheduler, job) else { continue };
            let spec = &job.submission.steps[step];
            order.shares.charge(workspace, &spec.need.times(spec.count));
            order.kept.insert((id, step_index));
        }
        Some(order)
    }

    fn add(&mut self, scheduler: &Scheduler, name: Name, usage: Resources) -> usize {
        let rules = scheduler.rules.as_ref();
        let workspace = rules.and_then(|rules| rules.workspaces.get(&name));
        let index = self.shares.add(workspace.map_or(0, |workspace| workspace.weight), usage);
        self.names.push(name.clone());
        self.indexes.insert(name, index);
        index
    }

    /// Index of a job's workspace; `None` if it has none.
    fn index(&mut self, scheduler: &Scheduler, job: &Job) -> Option<usize> {
        if job.workspace.is_empty() {
            return None;
        }
        let known = self.indexes.get(&job.workspace).copied();
        let add = || self.add(scheduler, job.workspace.clone(), Resources::default());
        Some(known.unwrap_or_else(add))
    }

    /// Whether a step must wait as the workspace of the visited job uses its share.
    pub(super) fn postpones(&mut self, id: &Name, step_index: u32) -> bool {
        let is_postponed = self.is_used_up() && !self.keeps_place(id, step_index);
        self.is_postponed |= is_postponed;
        is_postponed
    }

    /// Whether the workspace of the visited job may not use more for now.
    fn is_used_up(&self) -> bool {
        self.limited.is_some_and(|workspace| self.shares.is_reached(workspace))
    }

    fn keeps_place(&self, id: &Name, step_index: u32) -> bool {
        !self.kept.is_empty() && self.kept.contains(&(id.clone(), step_index))
    }

    /// Whether any gang of a job keeps its place.
    fn keeps_any(&self, id: &Name) -> bool {
        let of_job = || self.kept.range((id.clone(), 0)..=(id.clone(), u32::MAX));
        !self.kept.is_empty() && of_job().next().is_some()
    }

    /// Counts tasks of a step that were placed.
    pub(super) fn charge(&mut self, workspace: &Name, (id, step): (&Name, u32), need: &Resources) {
        let index = self.indexes.get(workspace).copied();
        if let Some(index) = index.filter(|_| !self.keeps_place(id, step)) {
            self.shares.charge(index, need);
        }
    }

    /// Leaves the workspaces without postponed jobs no more than they use, and divides the rest among
    /// the others.
    fn share_unused(&mut self, waiting: &BTreeSet<usize>) {
        for index in 0..self.indexes.len() {
            if !waiting.contains(&index) {
                self.shares.settle(index);
            }
        }
        self.shares.compute();
    }
}

impl Pass<'_> {
    /// Visits the open jobs, of which as many are placed as a pass may handle.
    pub(super) fn visit_jobs(&mut self) {
        let ranked = self.scheduler.ranked_jobs.iter();
        if self.order.is_none() {
            let ranked: Vec<Name> = ranked.map(|(_, _, id)| id.clone()).collect();
            for id in ranked {
                if self.steps_handled >= MAX_STEPS_PER_PASS {
                    break;
                }
                self.place_job(&id);
            }
            return;
        }
        let mut ranked: Vec<(u32, Name)> =
            ranked.map(|(priority, _, id)| (*priority, id.clone())).collect();
        let mut rest = ranked.as_mut_slice();
        while let Some((priority, _)) = rest.first()
            && self.steps_handled < MAX_STEPS_PER_PASS
        {
            let priority = *priority;
            let length = rest.partition_point(|(other, _)| *other <= priority);
            let (jobs, later) = rest.split_at_mut(length);
            let turns = self.take_turns(jobs);
            self.visit_priority(priority, turns);
            rest = later;
        }
        if self.steps_handled >= MAX_STEPS_PER_PASS
            && let Some(order) = &self.order
        {
            self.scheduler.kept_gangs.extend(order.kept.iter().cloned());
        }
    }

    /// The jobs of a priority that have ready steps, those with gangs that keep their places first;
    /// computes the shares by what they demand.
    fn take_turns(&mut self, jobs: &[(u32, Name)]) -> Vec<Turn> {
        let Some(order) = &mut self.order else { return Vec::new() };
        for index in 0..order.indexes.len() {
            order.shares.settle(index);
        }
        let mut turns = Vec::new();
        for (_, id) in jobs {
            let Some(job) = self.scheduler.jobs.get(id) else { continue };
            if job.ready_steps().next().is_none() {
                continue;
            }
            let workspace = order.index(self.scheduler, job);
            if let Some(index) = workspace
                && !order.shares.demands_all(index)
            {
                for step_index in job.ready_steps() {
                    let (spec, step) = (&job.submission.steps[step_index], &job.steps[step_index]);
                    if !order.keeps_place(id, step_index as u32) {
                        order.shares.demand(index, &spec.need.times(step.waiting_tasks()));
                    }
                }
            }
            turns.push(Turn { id: id.clone(), workspace });
        }
        order.shares.compute();
        if !order.kept.is_empty() {
            turns.sort_by_key(|turn| !order.keeps_any(&turn.id));
        }
        turns
    }

    /// Visits the jobs of a priority: first those whose workspaces are below their shares.
    fn visit_priority(&mut self, priority: u32, mut turns: Vec<Turn>) {
        for round in 0..=SHARED_ROUNDS {
            let mut postponed = Vec::new();
            for turn in turns {
                if self.steps_handled >= MAX_STEPS_PER_PASS {
                    return;
                }
                if let Some(order) = &mut self.order {
                    order.limited = turn.workspace.filter(|_| round < SHARED_ROUNDS);
                    order.is_postponed = order.is_used_up();
                    if order.is_postponed && !order.keeps_any(&turn.id) {
                        postponed.push(turn);
                        continue;
                    }
                }
                self.place_job(&turn.id);
                if self.order.as_ref().is_some_and(|order| order.is_postponed) {
                    postponed.push(turn);
                }
            }
            if postponed.is_empty() {
                return;
            }
            if let Some(order) = &mut self.order
                && round + 1 < SHARED_ROUNDS
            {
                let waiting: BTreeSet<_> =
                    postponed.iter().filter_map(|turn| turn.workspace).collect();
                for index in &waiting {
                    let key = (priority, order.names[*index].clone());
                    let percents = order.shares.percents(*index);
                    self.scheduler.postponed_workspaces.insert(key, percents);
                }
                order.share_unused(&waiting);
            }
            turns = postponed;
        }
    }

    /// Whether the share of the visited job's workspace has no room for one more task; if so, the job
    /// is postponed.
    pub(super) fn exceeds_share(&mut self, need: &Resources) -> bool {
        let Some(order) = &mut self.order else { return false };
        let Some(workspace) = order.limited else { return false };
        let is_excluded = order.shares.excludes(workspace, need);
        order.is_postponed |= is_excluded;
        is_excluded
    }

    /// Whether the visited job's workspace has used its share, so that the job is postponed.
    pub(super) fn has_used_share(&mut self) -> bool {
        let Some(order) = &mut self.order else { return false };
        let is_used_up = order.is_used_up();
        order.is_postponed |= is_used_up;
        is_used_up
    }

    /// Whether a step of the visited job is postponed.
    pub(super) fn is_step_postponed(&mut self, id: &Name, step_index: usize) -> bool {
        self.order.as_mut().is_some_and(|order| order.postpones(id, step_index as u32))
    }

    /// Whether the visited job gets only what all workspaces with a share have left.
    pub(super) fn gets_leftovers(&self) -> bool {
        let order = self.order.as_ref();
        order.is_some_and(|order| order.limited.is_none() && order.shares.is_scarce())
    }

    /// Lets a gang that collects room keep its place if its workspace is below its share, or was when
    /// it began.
    pub(super) fn keep_place(&mut self, key: (&Name, u32), need: &Resources) {
        let key = (key.0.clone(), key.1);
        let Some(order) = &mut self.order else { return };
        let Some(workspace) = order.limited else { return };
        if self.scheduler.collecting_gangs.contains_key(&key) {
            if !order.kept.contains(&key) {
                order.shares.charge(workspace, need);
            }
            self.scheduler.kept_gangs.insert(key);
        }
    }

    /// Sets aside room on workers on which a gang collects that is too small for any of its tasks, while
    /// its workspace is below its share.
    pub(super) fn reserve_pieces(&mut self, pending: &PendingStep<'_>, slots: &[usize]) {
        let Some(order) = &self.order else { return };
        if order.limited.is_none() || !order.shares.is_scarce() {
            return;
        }
        let need = &pending.spec.need;
        let part = |slot: usize| covered_part(need, &self.slots[slot].free_capacity);
        let mut pieces: Vec<_> = slots.iter().map(|slot| (part(*slot), *slot)).collect();
        pieces.retain(|(part, _)| *part > 0.0);
        pieces.sort_by(|one, other| other.0.total_cmp(&one.0));
        for (_, slot) in pieces.into_iter().take(pending.waiting_tasks.len()) {
            self.reserve_piece(slot, need, pending.key.0);
        }
    }

    /// Reserves the free part of a need on a worker.
    fn reserve_piece(&mut self, slot: usize, need: &Resources, id: &Name) {
        let slot = &mut self.slots[slot];
        let room = need.minus(&need.minus(&slot.free_capacity));
        slot.reserve(&room, id);
    }

    /// Sets aside the free room of workers for tasks of a step that fit nowhere, each on the worker
    /// that lacks least, while its workspace is below its share.
    pub(super) fn collect_for_tasks(&mut self, id: &Name, step_index: usize, queue: &Queue) {
        let Some(order) = &self.order else { return };
        let Some(workspace) = order.limited else { return };
        if !order.shares.is_scarce() || order.collections >= MAX_COLLECTIONS {
            return;
        }
        let Some(job) = self.scheduler.jobs.get(id) else { return };
        let (spec, step) = (&job.submission.steps[step_index], &job.steps[step_index]);
        let startable = self.budgets.startable(&job.workspace, spec);
        let (need, waiting) = (spec.need, step.waiting_tasks().min(startable));
        let spec = spec.clone();
        let candidates = self.find_candidates(queue, &spec);
        let mut slots: Vec<usize> = self
            .find_allowed(id, step_index, queue, &candidates)
            .into_iter()
            .map(|(slot, _)| slot)
            .collect();
        if slots.is_empty() {
            slots.clone_from(&candidates.slots);
        }
        slots.retain(|slot| need.fits_in(&self.slots[*slot].capacity));
        if slots.iter().any(|slot| need.fits_in(&self.slots[*slot].free_capacity)) {
            return;
        }
        for _ in 0..waiting {
            let Some(order) = &mut self.order else { return };
            if order.collections >= MAX_COLLECTIONS || order.shares.excludes(workspace, &need) {
                return;
            }
            order.collections += 1;
            let part = |slot: &usize| covered_part(&need, &self.slots[*slot].free_capacity);
            let best = slots.iter().copied().map(|slot| (part(&slot), slot));
            let best = best.filter(|(part, _)| *part > 0.0);
            let Some((_, slot)) = best.max_by(|one, other| one.0.total_cmp(&other.0)) else {
                return;
            };
            order.shares.charge(workspace, &need);
            self.reserve_piece(slot, &need, id);
        }
    }
}

impl Scheduler {
    /// Why a step of a workspace waits if the last pass postponed it.
    pub(crate) fn share_reason(
        &self,
        workspace: &Name,
        priority: u32,
        (id, step_index): (&Name, u32),
    ) -> Option<WaitReason> {
        if self.kept_gangs.contains(&(id.clone(), step_index)) {
            return None;
        }
        let postponed = self.postponed_workspaces.get(&(priority, workspace.clone()));
        let (used, share) = postponed.copied()?;
        Some(WaitReason::Share { workspace: workspace.clone(), used, share })
    }
}

/// Capacity of usable workers that jobs without a workspace do not use.
fn shared_capacity(pool: &Pool, slots: &[Slot]) -> Resources {
    let mut capacity = Resources::default();
    for slot in slots {
        let Some(worker) = pool.get(&slot.id) else { continue };
        let used = worker.used_by.values().fold(Resources::default(), |sum, used| sum.plus(used));
        let unshared = worker.allocated.minus(&used);
        capacity = capacity.plus(&slot.capacity.minus(&unshared));
    }
    capacity
}

/// Part of a need for which there is room, in the resource that lacks most.
fn covered_part(need: &Resources, free: &Resources) -> f64 {
    let part = |need: u32, free: u32| {
        if need == 0 { 1.0 } else { f64::from(free.min(need)) / f64::from(need) }
    };
    part(need.cpu, free.cpu).min(part(need.mem, free.mem)).min(part(need.gpus, free.gpus))
}
