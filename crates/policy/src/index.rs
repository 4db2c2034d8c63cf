//! The tightest unit with room for a size, without looking at all of them.
//!
//! Units are kept by free accelerators, then in buckets of free processors, then by free
//! memory. The tightest fit is the least in the order (accelerators, bucket of
//! processors, memory, processors, number): accelerators are the scarcest thing to waste,
//! and whole processors matter more than memory. [`scan`] gives the same answer by
//! looking at every unit; a test compares the two.

use std::collections::{BTreeMap, BTreeSet};

use settings::quantity::Size;

/// Width of a bucket, in thousandths of a processor.
pub const BUCKET_CPU: u64 = 500;

/// Memory, processors and number of a unit in a bucket.
type Slot = (u64, u64, u32);

/// Units by their free room.
#[derive(Debug, Clone, Default)]
pub struct Index {
    buckets: BTreeMap<(u64, u64), BTreeSet<Slot>>,
}

fn bucket(free: &Size) -> (u64, u64) {
    (free.accelerators, free.cpu / BUCKET_CPU)
}

fn slot(free: &Size, unit: u32) -> Slot {
    (free.memory, free.cpu, unit)
}

impl Index {
    /// Adds a unit.
    pub fn insert(&mut self, unit: u32, free: &Size) {
        self.buckets.entry(bucket(free)).or_default().insert(slot(free, unit));
    }

    /// Takes a unit out that was added with this much free room.
    pub fn remove(&mut self, unit: u32, free: &Size) {
        let key = bucket(free);
        if let Some(units) = self.buckets.get_mut(&key) {
            units.remove(&slot(free, unit));
            if units.is_empty() {
                self.buckets.remove(&key);
            }
        }
    }

    /// The tightest unit that has room for a size and is allowed.
    pub fn tightest(&self, size: &Size, is_allowed: impl Fn(u32) -> bool) -> Option<u32> {
        let first = size.cpu / BUCKET_CPU;
        for ((_, cpu_bucket), units) in self.buckets.range((size.accelerators, 0)..) {
            if *cpu_bucket < first {
                continue;
            }
            let fitting = units.range((size.memory, 0, 0)..);
            let mut fitting = fitting.filter(|(_, cpu, _)| *cpu >= size.cpu);
            if let Some((_, _, unit)) = fitting.find(|(_, _, unit)| is_allowed(*unit)) {
                return Some(*unit);
            }
        }
        None
    }
}

/// The same answer as [`Index::tightest`], by looking at every unit.
pub fn scan<'u>(
    units: impl Iterator<Item = (u32, &'u Size)>,
    size: &Size,
    is_allowed: impl Fn(u32) -> bool,
) -> Option<u32> {
    let fitting = units.filter(|(unit, free)| size.fits(free) && is_allowed(*unit));
    fitting.min_by_key(|(unit, free)| (bucket(free), slot(free, *unit))).map(|(unit, _)| unit)
}
