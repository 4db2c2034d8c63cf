//! Fair shares of workspaces in the capacity of a pool.
//!
//! The shares are weighted max-min fair in the dominant resource (dominant resource fairness): the
//! shares of all workspaces grow in proportion to their weights until a workspace has what it
//! demands or a resource that it demands is used up. They follow from what is running and waiting
//! now. Past use does not count, so there is no state to be kept or handed over.

use crate::record::Resources;

/// Number of resources of a worker.
const RESOURCES: usize = 3;

/// Rate of growth below which a resource counts as not demanded; differences of sums are not exact.
const MIN_GROWTH: f64 = 1e-12;

/// A workspace that has something running or waiting.
#[derive(Debug)]
struct Member {
    weight: f64,
    /// What it has running, with what was placed or set aside for it since.
    usage: Resources,
    /// What it has running or waiting.
    demand: Resources,
    /// Dominant part of the capacity up to which it comes first; infinite if its demand is met.
    share: f64,
    /// Whether it has no room for its next task.
    is_full: bool,
}

/// Fair shares of the workspaces that have something running or waiting.
#[derive(Debug)]
pub(crate) struct Shares {
    capacity: Resources,
    members: Vec<Member>,
    /// Whether the demand of some member exceeds its share.
    is_scarce: bool,
}

impl Shares {
    /// Creates shares of a capacity without members.
    pub fn new(capacity: Resources) -> Self {
        Self { capacity, members: Vec::new(), is_scarce: false }
    }

    /// Adds a workspace and returns its index; a weight of 0 counts as 1, the smallest weight.
    pub fn add(&mut self, weight: u32, usage: Resources) -> usize {
        let weight = f64::from(weight.max(1));
        self.members.push(Member {
            weight,
            usage,
            demand: usage,
            share: f64::INFINITY,
            is_full: false,
        });
        self.members.len() - 1
    }

    /// Adds to what a workspace has waiting.
    pub fn demand(&mut self, index: usize, need: &Resources) {
        let member = &mut self.members[index];
        member.demand = member.demand.plus(need);
    }

    /// Counts capacity that is placed or set aside for a workspace as used.
    pub fn charge(&mut self, index: usize, need: &Resources) {
        let member = &mut self.members[index];
        member.usage = member.usage.plus(need);
    }

    /// Leaves a workspace no demand beyond what it uses.
    pub fn settle(&mut self, index: usize) {
        let member = &mut self.members[index];
        member.demand = member.usage;
    }

    /// Whether a workspace demands the whole capacity, so that more demand changes no share.
    pub fn demands_all(&self, index: usize) -> bool {
        let demand = &self.members[index].demand;
        demand.cpu >= self.capacity.cpu || demand.mem >= self.capacity.mem
    }

    /// Whether some demand exceeds the share that it has.
    pub fn is_scarce(&self) -> bool {
        self.is_scarce
    }

    /// Whether a workspace uses its share or more, or waits for room for its next task.
    pub fn is_reached(&self, index: usize) -> bool {
        let member = &self.members[index];
        member.is_full
            || (member.share.is_finite() && dominant(&self.parts(&member.usage)) >= member.share)
    }

    /// Whether a workspace has no room for one more task in its share.
    ///
    /// Half of the task must fit, so that what workspaces with large tasks use differs from their
    /// shares by as much in both directions. Without anything running, any task fits. Once a task
    /// does not fit, none does until the shares are computed again: smaller ones would keep it out.
    pub fn excludes(&mut self, index: usize, need: &Resources) -> bool {
        if self.is_reached(index) {
            return true;
        }
        let member = &self.members[index];
        if member.share.is_finite() && member.usage != Resources::default() {
            let usage = member.usage.plus(&need.divided(2));
            self.members[index].is_full = dominant(&self.parts(&usage)) > self.members[index].share;
        }
        self.members[index].is_full
    }

    /// What a workspace uses of the resource that it uses most, and its share, in percent.
    pub fn percents(&self, index: usize) -> (u32, u32) {
        let member = &self.members[index];
        let percent = |part: f64| (part * 100.0).round().min(f64::from(u32::MAX)) as u32;
        (percent(dominant(&self.parts(&member.usage))), percent(member.share))
    }

    /// Computes the shares from the demands.
    pub fn compute(&mut self) {
        let demands: Vec<_> =
            self.members.iter().map(|member| self.parts(&member.demand)).collect();
        // Level, as share by weight, at which each member has what it demands.
        let full_levels = self.members.iter().zip(&demands);
        let full_levels: Vec<f64> =
            full_levels.map(|(member, demand)| dominant(demand) / member.weight).collect();
        let mut growing: Vec<usize> =
            (0..demands.len()).filter(|index| full_levels[*index] > 0.0).collect();
        growing.sort_by(|one, other| full_levels[*one].total_cmp(&full_levels[*other]));
        for member in &mut self.members {
            (member.share, member.is_full) = (f64::INFINITY, false);
        }
        self.is_scarce = false;
        // Parts of the resources that the members have which no longer grow.
        let mut settled = [0.0; RESOURCES];
        while !growing.is_empty() {
            let level = grow(&mut growing, &demands, &full_levels, &mut settled);
            let Some((level, resource)) = level else { return };
            self.is_scarce = true;
            growing.retain(|index| {
                let demand = &demands[*index];
                if demand[resource] <= 0.0 {
                    return true;
                }
                let member = &mut self.members[*index];
                member.share = member.weight * level;
                add(&mut settled, demand, level / full_levels[*index]);
                false
            });
        }
    }

    /// Parts of the capacity that resources are; none of a resource of which there is no capacity.
    fn parts(&self, resources: &Resources) -> [f64; RESOURCES] {
        let part = |amount: u32, capacity: u32| {
            if capacity == 0 { 0.0 } else { f64::from(amount) / f64::from(capacity) }
        };
        [
            part(resources.cpu, self.capacity.cpu),
            part(resources.mem, self.capacity.mem),
            part(resources.gpus, self.capacity.gpus),
        ]
    }
}

/// Raises the level until a resource is used up; returns both, or `None` if all demand is met.
///
/// Members that have what they demand are removed from `growing`, which is ordered by the level
/// at which they do.
fn grow(
    growing: &mut Vec<usize>,
    demands: &[[f64; RESOURCES]],
    full_levels: &[f64],
    settled: &mut [f64; RESOURCES],
) -> Option<(f64, usize)> {
    let mut growth = [0.0; RESOURCES];
    for index in &*growing {
        add(&mut growth, &demands[*index], 1.0 / full_levels[*index]);
    }
    let mut met = 0;
    let used_up = loop {
        let is_demanded = |resource: &usize| growth[*resource] > MIN_GROWTH;
        let limits = (0..RESOURCES).filter(is_demanded);
        let limits = limits
            .map(|resource| ((1.0 - settled[resource]).max(0.0) / growth[resource], resource));
        let first_limit = limits.min_by(|one, other| one.0.total_cmp(&other.0));
        let Some(index) = growing.get(met) else { break None };
        match first_limit {
            Some(limit) if limit.0 < full_levels[*index] => break Some(limit),
            _ => {}
        }
        add(settled, &demands[*index], 1.0);
        add(&mut growth, &demands[*index], -1.0 / full_levels[*index]);
        met += 1;
    };
    growing.drain(..met);
    used_up
}

/// The largest part.
fn dominant(parts: &[f64; RESOURCES]) -> f64 {
    parts.iter().copied().fold(0.0, f64::max)
}

/// Adds a multiple of parts.
fn add(sum: &mut [f64; RESOURCES], parts: &[f64; RESOURCES], factor: f64) {
    for (sum, part) in sum.iter_mut().zip(parts) {
        *sum += part * factor;
    }
}
