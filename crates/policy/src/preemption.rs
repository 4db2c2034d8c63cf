//! Preemption: selects the tasks to stop so that urgent work can start.

use std::collections::BTreeMap;

use common::Name;
use settings::quantity::Resources;

use crate::Rack;

/// A task that may be preempted at a checkpoint.
#[derive(Debug, Clone, PartialEq)]
pub struct PreemptionCandidate<T> {
    /// Caller's identifier of the task.
    pub task: T,
    /// Worker that runs the task.
    pub worker: Name,
    /// Capacity freed by stopping the task.
    pub size: Resources,
    /// Work lost by stopping the task, in milliseconds of CPU time.
    pub lost_cpu_ms: u64,
}

/// Selects tasks to stop on one worker to fit `size`; empty if none suffice.
///
/// On each worker, tasks are selected in order of increasing lost work until `size` fits.
/// The worker with the least total loss is chosen; ties go to the first name.
pub fn select_victims<T: Clone>(
    rack: &Rack,
    candidates: &[PreemptionCandidate<T>],
    size: &Resources,
) -> Vec<T> {
    let mut by_worker: BTreeMap<&Name, Vec<&PreemptionCandidate<T>>> = BTreeMap::new();
    for candidate in candidates {
        by_worker.entry(&candidate.worker).or_default().push(candidate);
    }
    let choices = by_worker.into_iter().filter_map(|(worker, mut tasks)| {
        tasks.sort_by_key(|task| task.lost_cpu_ms);
        let selected = take_until_fits(rack.free_capacity(worker)?, &tasks, size)?;
        let lost: u64 = selected.iter().map(|task| task.lost_cpu_ms).sum();
        Some((lost, selected))
    });
    let cheapest = choices.min_by_key(|(lost, _)| *lost);
    cheapest.map_or_else(Vec::new, |(_, selected)| {
        selected.iter().map(|task| task.task.clone()).collect()
    })
}

/// Takes tasks in order until their capacity and `free` together fit `size`.
fn take_until_fits<'c, T>(
    free: Resources,
    tasks: &[&'c PreemptionCandidate<T>],
    size: &Resources,
) -> Option<Vec<&'c PreemptionCandidate<T>>> {
    let mut available = free;
    let mut selected = Vec::new();
    for task in tasks {
        if size.fits_in(&available) {
            break;
        }
        available = available.plus(&task.size);
        selected.push(*task);
    }
    size.fits_in(&available).then_some(selected)
}
