//! Best-fit search over workers by free capacity.
//!
//! Workers are sorted by free accelerators, then by bucket of free CPU, then by free
//! memory. The best fit is the first feasible worker in the order (accelerators, CPU bucket,
//! memory, CPU, worker number): accelerators are the scarcest resource, and whole
//! processors matter more than memory. [`best_fit_by_scan`] computes the same result by
//! checking every worker; a test compares the two.

use std::collections::{BTreeMap, BTreeSet};

use settings::quantity::Resources;

/// Width of a CPU bucket, in thousandths of a processor.
pub const CPU_BUCKET_MILLIS: u64 = 500;

/// Free memory, free CPU and number of a worker.
type SortKey = (u64, u64, u32);

/// Workers sorted by free capacity.
#[derive(Debug, Clone, Default)]
pub struct CapacityIndex {
    buckets: BTreeMap<(u64, u64), BTreeSet<SortKey>>,
}

fn bucket_key(free: &Resources) -> (u64, u64) {
    (free.accelerators, free.cpu / CPU_BUCKET_MILLIS)
}

fn sort_key(free: &Resources, worker: u32) -> SortKey {
    (free.memory, free.cpu, worker)
}

impl CapacityIndex {
    /// Adds a worker with its free capacity.
    pub fn insert(&mut self, worker: u32, free: &Resources) {
        self.buckets.entry(bucket_key(free)).or_default().insert(sort_key(free, worker));
    }

    /// Removes a worker; `free` must be the capacity it was inserted with.
    pub fn remove(&mut self, worker: u32, free: &Resources) {
        let key = bucket_key(free);
        if let Some(workers) = self.buckets.get_mut(&key) {
            workers.remove(&sort_key(free, worker));
            if workers.is_empty() {
                self.buckets.remove(&key);
            }
        }
    }

    /// Finds the best-fitting allowed worker; `None` if none is feasible.
    pub fn best_fit(&self, size: &Resources, is_allowed: impl Fn(u32) -> bool) -> Option<u32> {
        let first_bucket = size.cpu / CPU_BUCKET_MILLIS;
        for ((_, cpu_bucket), workers) in self.buckets.range((size.accelerators, 0)..) {
            if *cpu_bucket < first_bucket {
                continue;
            }
            let fitting = workers.range((size.memory, 0, 0)..);
            let mut fitting = fitting.filter(|(_, cpu, _)| *cpu >= size.cpu);
            if let Some((_, _, worker)) = fitting.find(|(_, _, worker)| is_allowed(*worker)) {
                return Some(*worker);
            }
        }
        None
    }
}

/// Finds the same worker as [`CapacityIndex::best_fit`] by checking every one.
pub fn best_fit_by_scan<'u>(
    workers: impl Iterator<Item = (u32, &'u Resources)>,
    size: &Resources,
    is_allowed: impl Fn(u32) -> bool,
) -> Option<u32> {
    let fitting = workers.filter(|(worker, free)| size.fits_in(free) && is_allowed(*worker));
    fitting
        .min_by_key(|(worker, free)| (bucket_key(free), sort_key(free, *worker)))
        .map(|(worker, _)| worker)
}
