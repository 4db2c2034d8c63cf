//! Keeps what each workspace has running within its limit.
//!
//! A pass starts from the usage of all assigned runs, and adds each placement. Steps take their
//! part of a limit by rank. One that can start nothing under it neither calls for advice nor holds
//! room. One that calls for tickets or collects room claims the part of the limit that it is
//! going to use: otherwise each waiting step of a workspace would call for the same part.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::time::Duration;

use common::Name;

use super::{Pass, Slot};
use crate::explain::WaitReason;
use crate::job::{Job, TaskKey};
use crate::record::{Resources, Step, Submission};
use crate::rules::Queue;
use crate::scheduler::{Scheduler, StartOrder};
use crate::step::{Eligibility, StepState};
use crate::worker::RunState;

/// Time after which a step that waits at a limit keeps steps of lower rank of its workspace from
/// using what the limit leaves.
///
/// A stream of small tasks would otherwise keep a large task or a gang from ever starting.
const CLOSING_DELAY: Duration = Duration::from_secs(3);

/// Steps for which a pass decides whether they keep others of their workspace waiting.
///
/// The decision may visit all workers.
const MAX_CLOSING_CHECKS: u32 = 2;

/// Limits of workspaces that the rules no longer list are kept beyond this number only while jobs
/// use them.
const MAX_UNLISTED_LIMITS: usize = 1000;

/// Tenths of its limit that a workspace with nothing running may use for a gang.
const GANG_TENTHS: u64 = 11;

common::key! {
    /// A kind of resource.
    pub enum Resource {
        /// CPU, in thousandths of a core.
        Cpu,
        /// Memory, in MB.
        Memory,
        /// Accelerators.
        Gpus,
    }
}

common::data! {
    /// Figures of a workspace, for operators.
    #[derive(Default)]
    pub struct WorkspaceFigures {
        /// Name of the workspace.
        pub name: Name,
        /// Its weight; 0 if the rules do not list it.
        pub weight: u32,
        /// Its limit; 0 for no limit on a resource.
        pub limit: Resources,
        /// Resources of its assigned runs.
        pub used: Resources,
        /// Number of these runs.
        pub runs: u64,
        /// Open jobs with a step whose turn has come, and without an assigned task.
        pub waiting_jobs: u64,
        /// Whether a step could start nothing under the limit in the last pass.
        pub is_at_limit: bool,
        /// Time for which that was so, since this scheduler began.
        pub time_at_limit: Duration,
    }

    /// Time for which a workspace was at its limit.
    #[derive(Copy, Default)]
    pub(crate) struct LimitTime {
        /// The sum of the times that are over.
        total: Duration,
        /// Since when it is at its limit; `None` if it is not.
        since: Option<Duration>,
    }
}

impl Resource {
    /// All kinds.
    pub const ALL: [Self; 3] = [Self::Cpu, Self::Memory, Self::Gpus];

    /// The amount of this kind.
    pub fn of(self, resources: &Resources) -> u32 {
        match self {
            Self::Cpu => resources.cpu,
            Self::Memory => resources.mem,
            Self::Gpus => resources.gpus,
        }
    }

    /// Its name and unit, as in "5000 mcpu".
    pub fn unit(self) -> &'static str {
        match self {
            Self::Cpu => "mcpu",
            Self::Memory => "MB",
            Self::Gpus => "accelerators",
        }
    }
}

/// Whether a limit leaves a workspace with nothing running room for so many tasks at a time, as a
/// gang that may exceed it by a tenth; otherwise the resource that does not suffice.
fn gang_excess(limit: &Resources, need: &Resources, count: u32) -> Option<Resource> {
    Resource::ALL.into_iter().find(|resource| {
        let limit = u64::from(resource.of(limit));
        let needed = u64::from(resource.of(need)) * u64::from(count);
        limit > 0 && needed * 10 > limit * GANG_TENTHS
    })
}

/// Number of tasks of a step that a workspace with some usage may start under a limit.
///
/// It may start one task that alone exceeds the limit, or a gang that exceeds it by a tenth, if it
/// has nothing running.
fn startable(limit: &Resources, used: &Resources, step: &Step) -> u32 {
    let mut copies = u32::MAX;
    for resource in Resource::ALL {
        let (limit, used) = (resource.of(limit), resource.of(used));
        if limit == 0 {
            continue;
        }
        let need = resource.of(&step.need);
        let fitting = match limit.checked_sub(used) {
            Some(rest) => rest.checked_div(need).unwrap_or(u32::MAX),
            None => 0,
        };
        copies = copies.min(fitting);
    }
    let is_idle = *used == Resources::default();
    if step.is_gang && step.count > 1 {
        let fits = copies >= step.count
            || (is_idle && gang_excess(limit, &step.need, step.count).is_none());
        return if fits { step.count } else { 0 };
    }
    if is_idle { copies.max(1) } else { copies }
}

/// What a limited workspace may still start in a pass.
#[derive(Debug)]
struct Budget {
    limit: Resources,
    /// Usage of its runs, with what steps of this pass claim.
    used: Resources,
    /// Whether a step of higher rank keeps what is left.
    is_closed: bool,
    /// Steps for which it was decided whether they close it.
    closing_checks: u32,
    /// Whether a step could start nothing under it.
    is_reached: bool,
}

/// What each limited workspace may still start in a pass.
#[derive(Debug, Default)]
pub(super) struct Budgets(HashMap<Name, Budget>);

impl Budgets {
    /// The budgets at the start of a pass.
    pub(super) fn new(scheduler: &Scheduler) -> Self {
        let limits = scheduler.workspace_limits.iter();
        let limited = limits.filter(|(_, limit)| **limit != Resources::default());
        let budgets = limited.map(|(name, limit)| {
            let used = Resources::default();
            (
                name.clone(),
                Budget {
                    limit: *limit,
                    used,
                    is_closed: false,
                    closing_checks: 0,
                    is_reached: false,
                },
            )
        });
        let mut budgets = Self(budgets.collect());
        if !budgets.0.is_empty() {
            for (workspace, used) in scheduler.pool.iter().flat_map(|worker| &worker.used_by) {
                budgets.charge(workspace, used);
            }
        }
        budgets
    }

    /// Removes the ready steps of a job that can start nothing and of which there is no more to
    /// decide; whether the workspace of the job has a limit.
    ///
    /// With an overload at the limits, most jobs end here in each pass.
    pub(super) fn pass_by(&mut self, job: &mut Job, ready: &mut Vec<usize>, now: Duration) -> bool {
        let Some(budget) = self.0.get_mut(&job.workspace) else { return false };
        ready.retain(|step_index| {
            let (spec, state) = (&job.submission.steps[*step_index], &mut job.steps[*step_index]);
            if (spec.is_gang && !state.all_waiting()) || budget.startable(spec) > 0 {
                return true;
            }
            let since = state.wait_at_limit(now);
            budget.is_reached = true;
            !state.holds.is_empty() || budget.may_close(spec, since, now)
        });
        true
    }

    /// Workspaces of which a step could start nothing.
    pub(super) fn reached(&self) -> HashSet<Name> {
        let reached = self.0.iter().filter(|(_, budget)| budget.is_reached);
        reached.map(|(name, _)| name.clone()).collect()
    }

    /// Adds to the usage of a workspace.
    pub(super) fn charge(&mut self, workspace: &Name, used: &Resources) {
        if let Some(budget) = self.0.get_mut(workspace) {
            budget.used = budget.used.plus(used);
        }
    }

    /// Number of tasks of a step that its workspace may start now.
    pub(super) fn startable(&self, workspace: &Name, step: &Step) -> u32 {
        self.0.get(workspace).map_or(u32::MAX, |budget| budget.startable(step))
    }
}

impl Budget {
    /// Number of tasks of a step that may start now.
    fn startable(&self, step: &Step) -> u32 {
        if self.is_closed { 0 } else { startable(&self.limit, &self.used, step) }
    }

    /// Whether a step that waits at the limit since some time may keep what is left.
    fn may_close(&self, step: &Step, since: Duration, now: Duration) -> bool {
        !self.is_closed
            && now >= since + CLOSING_DELAY
            && self.closing_checks < MAX_CLOSING_CHECKS
            && startable(&self.limit, &Resources::default(), step) > 0
    }
}

impl StepState {
    /// Records that it waits at the limit of its workspace; since when.
    fn wait_at_limit(&mut self, now: Duration) -> Duration {
        self.steps_ahead = None;
        self.gang_wait = None;
        *self.limited_since.get_or_insert(now)
    }
}

impl Pass<'_> {
    /// Places a step of a limited workspace, unless it can start nothing under the limit.
    pub(super) fn place_limited_step(&mut self, id: &Name, step_index: usize, queue: &Queue) {
        let Some(job) = self.scheduler.jobs.get_mut(id) else { return };
        let (spec, state) = (&job.submission.steps[step_index], &mut job.steps[step_index]);
        if spec.is_gang && !state.all_waiting() {
            return;
        }
        let startable = self.budgets.startable(&job.workspace, spec);
        if startable == 0 {
            self.wait_at_limit(id, step_index, queue);
            return;
        }
        state.limited_since = None;
        self.place_step(id, step_index, queue, startable);
        let Some(job) = self.scheduler.jobs.get(id) else { return };
        let spec = &job.submission.steps[step_index];
        if self.budgets.startable(&job.workspace, spec) > 0 {
            self.claim(id, step_index);
        } else if job.steps[step_index].has_waiting() {
            // The rest of a wave waits for the next one.
            self.wait_at_limit(id, step_index, queue);
        }
    }

    /// Claims the part of the limit that a step needs which calls for tickets or collects room.
    fn claim(&mut self, id: &Name, step_index: usize) {
        let Some(job) = self.scheduler.jobs.get(id) else { return };
        let (spec, state) = (&job.submission.steps[step_index], &job.steps[step_index]);
        let named: usize = state.pending_advice.values().map(Vec::len).sum();
        let held: u32 = state.holds.values().sum();
        let is_collecting = || {
            let key = (id.clone(), step_index as u32);
            self.scheduler.collecting_gangs.contains_key(&key)
        };
        let wanted = if !spec.is_gang {
            held.max(named as u32)
        } else if named > 0 || !state.holds.is_empty() || is_collecting() {
            spec.count
        } else {
            0
        };
        let startable = self.budgets.startable(&job.workspace, spec);
        let claimed = wanted.min(state.waiting_tasks()).min(startable);
        if claimed > 0 {
            self.budgets.charge(&job.workspace, &spec.need.times(claimed));
        }
    }

    /// Frees what a step holds that can start nothing under its limit.
    ///
    /// After some time, it keeps what the limit leaves from others of its workspace.
    fn wait_at_limit(&mut self, id: &Name, step_index: usize, queue: &Queue) {
        let Some(job) = self.scheduler.jobs.get_mut(id) else { return };
        let (spec, state) = (&job.submission.steps[step_index], &mut job.steps[step_index]);
        let since = state.wait_at_limit(self.now);
        let holds = std::mem::take(&mut state.holds);
        let Some(budget) = self.budgets.0.get_mut(&job.workspace) else { return };
        budget.is_reached = true;
        let may_close = budget.may_close(spec, since, self.now);
        let need = spec.need;
        for (worker, held) in &holds {
            if let Some(slot) = self.slot_indexes.get(worker) {
                self.slots[*slot].release(&need.times(*held));
            }
        }
        if may_close {
            budget.closing_checks += 1;
            let can_start = self.can_ever_start(id, step_index, queue);
            if let Some(job) = self.scheduler.jobs.get(id)
                && let Some(budget) = self.budgets.0.get_mut(&job.workspace)
            {
                budget.is_closed = can_start;
            }
        }
        if !holds.is_empty() {
            self.update_largest_free();
        }
    }

    /// Whether the usable workers that are not denied to a step could hold it if they were empty.
    fn can_ever_start(&mut self, id: &Name, step_index: usize, queue: &Queue) -> bool {
        let Some(job) = self.scheduler.jobs.get(id) else { return false };
        let spec = job.submission.steps[step_index].clone();
        let candidates = self.find_candidates(queue, &spec);
        let Some(job) = self.scheduler.jobs.get(id) else { return false };
        let eligibility = &job.steps[step_index].eligibility;
        let places = |slot: &Slot| match eligibility.get(&slot.id) {
            Some(Eligibility::Denied) => 0,
            _ if spec.spread > 0 => spec.need.max_copies_in(&slot.capacity).min(spec.spread),
            _ => spec.need.max_copies_in(&slot.capacity),
        };
        let mut lacking = if spec.is_gang { spec.count } else { 1 };
        candidates.slots.iter().any(|slot| {
            lacking = lacking.saturating_sub(places(&self.slots[*slot]));
            lacking == 0
        })
    }
}

impl Scheduler {
    /// The latest limit known for a workspace, also one that the rules no longer list; `None` if it
    /// has none.
    pub fn workspace_limit(&self, workspace: &str) -> Option<Resources> {
        let limit = self.workspace_limits.get(workspace).copied();
        limit.filter(|limit| *limit != Resources::default())
    }

    /// What the waiting tasks of a step need and the limit of their workspace does not leave; `None`
    /// if that is not what they wait for.
    pub(crate) fn limit_wait(&self, job: &Job, step_index: usize) -> Option<WaitReason> {
        if !self.is_at_limit(job, step_index) {
            return None;
        }
        let limit = self.workspace_limit(&job.workspace)?;
        let spec = &job.submission.steps[step_index];
        let need = spec.need.times(if spec.is_gang { spec.count } else { 1 });
        let used = self.used_by(&job.workspace);
        let limited = Resource::ALL.into_iter().filter(|resource| resource.of(&limit) > 0);
        // The resource of which the least is left, as a share of its limit, once the step has started.
        let resource = limited.max_by_key(|resource| {
            let wanted = u64::from(resource.of(&used)) + u64::from(resource.of(&need));
            wanted * 1000 / u64::from(resource.of(&limit))
        })?;
        Some(WaitReason::Limit {
            workspace: job.workspace.clone(),
            resource,
            need: resource.of(&need),
            used: resource.of(&used),
            limit: resource.of(&limit),
        })
    }

    /// Adds what a pass found of the limits to the times at them.
    pub(crate) fn record_limits(&mut self, reached: &HashSet<Name>, now: Duration) {
        self.limit_times.retain(|name, _| self.workspace_limits.contains_key(name));
        for (name, time) in &mut self.limit_times {
            if !reached.contains(name)
                && let Some(since) = time.since.take()
            {
                time.total += now.saturating_sub(since);
            }
        }
        for name in reached {
            self.limit_times.entry(name.clone()).or_default().since.get_or_insert(now);
        }
    }

    /// Figures of all workspaces that the rules list, or that have open jobs or runs; the largest by
    /// weight first.
    pub fn workspace_figures(&self, now: Duration) -> Vec<WorkspaceFigures> {
        let mut figures: BTreeMap<Name, WorkspaceFigures> = BTreeMap::new();
        let listed = self.rules.iter().flat_map(|rules| rules.workspaces.iter());
        let weights = listed.map(|own| (own.name.clone(), own.weight));
        for (name, weight) in weights {
            figures.entry(name).or_default().weight = weight;
        }
        for (name, used) in self.workspace_usage() {
            figures.entry(name).or_default().used = used;
        }
        for run in self.pool.iter().flat_map(|worker| worker.assignments.values()) {
            if !run.workspace.is_empty() {
                figures.entry(run.workspace.clone()).or_default().runs += 1;
            }
        }
        for job in self.ranked_jobs.iter().filter_map(|(_, _, id)| self.jobs.get(id)) {
            if !job.workspace.is_empty() {
                let own = figures.entry(job.workspace.clone()).or_default();
                let waits = !job.has_runs() && job.ready_steps().next().is_some();
                own.waiting_jobs += u64::from(waits);
            }
        }
        let mut all: Vec<WorkspaceFigures> = figures
            .into_iter()
            .map(|(name, own)| {
                let time = self.limit_times.get(&name).copied().unwrap_or_default();
                let current = time.since.map_or(Duration::ZERO, |since| now.saturating_sub(since));
                WorkspaceFigures {
                    limit: self.workspace_limit(&name).unwrap_or_default(),
                    is_at_limit: time.since.is_some(),
                    time_at_limit: time.total + current,
                    name,
                    ..own
                }
            })
            .collect();
        // The sort keeps the order of names among equal weights.
        all.sort_by_key(|own| Reverse(own.weight));
        all
    }

    /// Resources of all assigned runs of a workspace.
    fn used_by(&self, workspace: &Name) -> Resources {
        let used = self.pool.iter().filter_map(|worker| worker.used_by.get(workspace));
        used.fold(Resources::default(), |sum, used| sum.plus(used))
    }

    /// Whether a step could start nothing under the limit of its workspace in the last pass.
    pub(crate) fn is_at_limit(&self, job: &Job, step_index: usize) -> bool {
        job.steps[step_index].limited_since.is_some()
            && self.workspace_limit(&job.workspace).is_some()
    }

    /// Why a job can never start under the limit of its workspace; `None` if it can.
    ///
    /// A gang is placed as a whole, so one that exceeds the limit by more than a tenth never fits.
    pub fn never_fits(&self, submission: &Submission) -> Option<String> {
        let limit = self.workspace_limit(&submission.workspace)?;
        for (number, step) in submission.steps.iter().enumerate() {
            if !step.is_gang || step.count <= 1 {
                continue;
            }
            if let Some(resource) = gang_excess(&limit, &step.need, step.count) {
                let needed = u64::from(resource.of(&step.need)) * u64::from(step.count);
                let (unit, limit) = (resource.unit(), resource.of(&limit));
                return Some(format!(
                    "the gang of step {number} needs {needed} {unit} at a time, and its workspace \
                     may use {limit}"
                ));
            }
        }
        None
    }

    /// Takes over the limits of new rules, and withdraws unsent starts that exceed them.
    pub(crate) fn apply_limits(&mut self) {
        let Some(rules) = &self.rules else { return };
        let listed = rules.workspaces.iter();
        self.workspace_limits.extend(listed.map(|own| (own.name.clone(), own.limit)));
        let unlisted = |name: &Name| rules.workspaces.get(name).is_none();
        if self.workspace_limits.keys().filter(|name| unlisted(name)).count() > MAX_UNLISTED_LIMITS
        {
            let in_use: HashSet<&Name> = self.jobs.values().map(|job| &job.workspace).collect();
            self.workspace_limits.retain(|name, _| !unlisted(name) || in_use.contains(name));
        }
        self.withdraw_excess();
    }

    /// Withdraws unsent starts of workspaces that exceed their limits, those of the lowest rank
    /// first, until the others are within.
    ///
    /// A gang of which any start was sent is left alone: without one member, the others would stop.
    fn withdraw_excess(&mut self) {
        let mut over: HashMap<Name, (Resources, Resources)> = HashMap::new();
        for (name, used) in self.workspace_usage() {
            if let Some(limit) = self.workspace_limit(&name).filter(|limit| !used.is_within(limit))
            {
                over.insert(name, (limit, used));
            }
        }
        if over.is_empty() {
            return;
        }
        let runs = self.pool.iter().flat_map(|worker| &worker.assignments);
        let unsent = runs.filter(|(_, run)| {
            run.state == RunState::Committing && over.contains_key(&run.workspace)
        });
        let jobs: BTreeSet<&Name> = unsent.map(|(key, _)| &key.job).collect();
        let ranked = self.ranked_jobs.iter().rev().map(|(_, _, id)| id);
        let ranked: Vec<Name> = ranked.filter(|id| jobs.contains(id)).cloned().collect();
        for id in ranked {
            let Some(job) = self.jobs.get(&id) else { continue };
            let Some((limit, used)) = over.get_mut(&job.workspace) else { continue };
            let steps = job.submission.steps.iter().enumerate().rev();
            let mut withdrawn = Vec::new();
            for (step_index, spec) in steps {
                let mut unsent = self.unsent_starts(job, step_index);
                let at_once = if spec.is_gang { spec.count as usize } else { 1 };
                while unsent.len() >= at_once && !unsent.is_empty() {
                    let others = used.minus(&spec.need.times(at_once as u32));
                    if startable(limit, &others, spec) >= at_once as u32 {
                        break;
                    }
                    withdrawn.extend(unsent.split_off(unsent.len() - at_once));
                    *used = others;
                }
            }
            for (key, run, worker) in withdrawn {
                self.withdrawn_starts.push(StartOrder {
                    key: key.clone(),
                    run,
                    worker: worker.clone(),
                });
                self.stop(key, run, worker);
            }
        }
    }

    /// The starts of a step that were not sent yet: task, run and worker.
    fn unsent_starts(&self, job: &Job, step: usize) -> Vec<(TaskKey, u32, Name)> {
        let mut unsent = Vec::new();
        for (index, task) in job.steps[step].tasks.iter().enumerate() {
            let Some(worker) = &task.worker else { continue };
            let key = TaskKey { job: job.id.clone(), step: step as u32, index: index as u32 };
            let assignment = self.pool.get(worker).and_then(|own| own.assignments.get(&key));
            if assignment.is_some_and(|run| run.state == RunState::Committing) {
                unsent.push((key, task.run, worker.clone()));
            }
        }
        unsent
    }
}

impl Resources {
    /// Whether `self` exceeds no limited resource of `limit`, in which 0 means no limit.
    pub(crate) fn is_within(&self, limit: &Self) -> bool {
        Resource::ALL.into_iter().all(|resource| {
            let limit = resource.of(limit);
            limit == 0 || resource.of(self) <= limit
        })
    }
}
