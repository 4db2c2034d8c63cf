//! Which tasks give their room to urgent work: those on one worker that lose the least.

use std::collections::BTreeMap;

use common::Name;
use settings::quantity::Size;

use crate::Rack;

/// A task that may be stopped at a checkpoint.
#[derive(Debug, Clone, PartialEq)]
pub struct Candidate<T> {
    /// Names the task.
    pub run: T,
    /// Its worker.
    pub worker: Name,
    /// The room that it would give back.
    pub size: Size,
    /// Work that is lost with it, in milliseconds of processor time.
    pub lost_ms: u64,
}

/// The tasks to stop so that one worker has room for a size; none where none would do.
///
/// Of each worker the cheapest tasks are taken first, until the size fits; the worker
/// that loses the least in sum is chosen, and of equal ones the first by name.
pub fn victims<T: Clone>(rack: &Rack, candidates: &[Candidate<T>], size: &Size) -> Vec<T> {
    let mut by_worker: BTreeMap<&Name, Vec<&Candidate<T>>> = BTreeMap::new();
    for candidate in candidates {
        by_worker.entry(&candidate.worker).or_default().push(candidate);
    }
    let choices = by_worker.into_iter().filter_map(|(worker, mut tasks)| {
        tasks.sort_by_key(|task| task.lost_ms);
        let taken = enough(rack.free_of(worker)?, &tasks, size)?;
        let lost: u64 = taken.iter().map(|task| task.lost_ms).sum();
        Some((lost, taken))
    });
    let cheapest = choices.min_by_key(|(lost, _)| *lost);
    cheapest.map_or_else(Vec::new, |(_, taken)| taken.iter().map(|task| task.run.clone()).collect())
}

/// The first tasks whose room, with what is free, holds a size.
fn enough<'c, T>(
    free: Size,
    tasks: &[&'c Candidate<T>],
    size: &Size,
) -> Option<Vec<&'c Candidate<T>>> {
    let mut room = free;
    let mut taken = Vec::new();
    for task in tasks {
        if size.fits(&room) {
            break;
        }
        room = room.plus(&task.size);
        taken.push(*task);
    }
    size.fits(&room).then_some(taken)
}
