//! Measures the cost of one placement decision, by index and by scan, at two sizes.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use common::Name;
use hdrhistogram::Histogram;
use policy::Rack;
use policy::index::best_fit_by_scan;
use policy::rack::ReserveRequest;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::{Value, json};
use settings::Inventory;
use settings::quantity::Resources;

use crate::bench::Result;

/// Mean number of running tasks per worker at the target size.
const TASKS_PER_WORKER: f64 = 8.5;

/// Number of decisions measured with the index.
const INDEXED_DECISIONS: usize = 1_000_000;

/// Number of decisions measured with the linear scan.
const SCANNED_DECISIONS: usize = 20_000;

/// Seed of the random sizes and events, the same for all runs.
const RANDOM_SEED: u64 = 11;

/// Tracks the free capacity of workers; implemented by index and by scan.
trait CapacityTracker {
    fn reserve(&mut self, size: &Resources, now: Instant) -> Option<Name>;
    fn release(&mut self, worker: &Name, size: &Resources);
}

/// Capacity in a rack with its index.
struct IndexedTracker(Rack);

impl CapacityTracker for IndexedTracker {
    fn reserve(&mut self, size: &Resources, now: Instant) -> Option<Name> {
        let expires = now + Duration::from_secs(5);
        let place = self.0.reserve(&ReserveRequest::single(*size), now, expires).ok()?.pop()?;
        self.0.commit(place.reservation);
        Some(place.worker)
    }

    fn release(&mut self, worker: &Name, size: &Resources) {
        self.0.release_capacity(worker, size);
    }
}

/// Free capacity by worker, searched by linear scan.
struct ScannedTracker(Vec<(Name, Resources)>);

impl CapacityTracker for ScannedTracker {
    fn reserve(&mut self, size: &Resources, _now: Instant) -> Option<Name> {
        let candidates = self.0.iter().enumerate().map(|(index, (_, free))| (index as u32, free));
        let index = best_fit_by_scan(candidates, size, |_| true)?;
        let (name, free) = &mut self.0[index as usize];
        *free = free.minus(size);
        Some(name.clone())
    }

    fn release(&mut self, worker: &Name, size: &Resources) {
        if let Some((_, free)) = self.0.iter_mut().find(|(name, _)| name == worker) {
            *free = free.plus(size);
        }
    }
}

/// Inventory of one rack with all workers; every third one has accelerators.
fn single_rack_inventory(workers: usize) -> Result<Inventory> {
    let worker = |index: usize| {
        let accelerators = if index.is_multiple_of(3) { 5 } else { 0 };
        format!(r#"{{"name":"w{index}","cpu":16,"memory":"64GB","accelerators":{accelerators}}}"#)
    };
    let entries: Vec<String> = (0..workers).map(worker).collect();
    let text = format!(
        r#"{{"cell":"c","domains":[{{"name":"d","racks":[{{"name":"r","workers":[{}]}}]}}]}}"#,
        entries.join(",")
    );
    Ok(Inventory::parse(&text)?)
}

fn random_size(random: &mut StdRng) -> Resources {
    Resources {
        cpu: 250 * random.random_range(1..=12),
        memory: 512 * random.random_range(1..=20),
        accelerators: u64::from(random.random_bool(0.1)),
    }
}

/// Decisions per second and 99th percentile of one decision in microseconds.
struct DecisionCost {
    per_s: f64,
    p99_us: f64,
}

/// Measures a mix of arrivals, completions and cancels around a steady number of tasks.
fn measure_decisions(
    tracker: &mut impl CapacityTracker,
    tasks: usize,
    decisions: usize,
) -> DecisionCost {
    let mut random = StdRng::seed_from_u64(RANDOM_SEED);
    let now = Instant::now();
    let mut running: Vec<(Name, Resources)> = Vec::new();
    let mut waiting: VecDeque<Resources> = VecDeque::new();
    let mut rejections = 0;
    while running.len() < tasks && rejections < 1000 {
        let size = random_size(&mut random);
        match tracker.reserve(&size, now) {
            Some(worker) => running.push((worker, size)),
            None => rejections += 1,
        }
    }
    let mut times = Histogram::<u64>::new(3).expect("three digits are allowed");
    let mut total_time = Duration::ZERO;
    for _ in 0..decisions {
        let is_arrival = running.len() < tasks || random.random_bool(0.45);
        let is_cancel = !is_arrival && random.random_bool(0.2);
        let wanted = random_size(&mut random);
        let completed_index = random.random_range(0..running.len().max(1));
        let began = Instant::now();
        if is_arrival {
            match tracker.reserve(&wanted, now) {
                Some(worker) => running.push((worker, wanted)),
                None => waiting.push_back(wanted),
            }
        } else if is_cancel && !waiting.is_empty() {
            waiting.pop_front();
        } else if !running.is_empty() {
            let (worker, size) = running.swap_remove(completed_index);
            tracker.release(&worker, &size);
            if let Some(size) = waiting.pop_front() {
                match tracker.reserve(&size, now) {
                    Some(worker) => running.push((worker, size)),
                    None => waiting.push_back(size),
                }
            }
        }
        let took = began.elapsed();
        total_time += took;
        times.saturating_record(took.as_nanos() as u64);
        waiting.truncate(10_000);
    }
    eprintln!("{} running, {} waiting of {tasks} tasks", running.len(), waiting.len());
    DecisionCost {
        per_s: decisions as f64 / total_time.as_secs_f64(),
        p99_us: times.value_at_quantile(0.99) as f64 / 1000.0,
    }
}

fn measure_indexed(workers: usize) -> Result<DecisionCost> {
    let mut rack = Rack::default();
    rack.set_inventory("r", &single_rack_inventory(workers)?);
    let names: Vec<Name> = rack.workers().cloned().collect();
    for name in names {
        rack.set_reconciled(&name, true);
    }
    let tasks = (workers as f64 * TASKS_PER_WORKER) as usize;
    Ok(measure_decisions(&mut IndexedTracker(rack), tasks, INDEXED_DECISIONS))
}

fn measure_scanned(workers: usize) -> Result<DecisionCost> {
    let inventory = single_rack_inventory(workers)?;
    let free_sizes =
        inventory.workers().map(|(_, worker)| (worker.name.clone(), worker.task_capacity));
    let tasks = (workers as f64 * TASKS_PER_WORKER) as usize;
    Ok(measure_decisions(&mut ScannedTracker(free_sizes.collect()), tasks, SCANNED_DECISIONS))
}

/// Runs the measurement; returns its JSON line.
///
/// # Errors
///
/// If a generated inventory does not parse.
pub fn run() -> Result<Value> {
    let small = measure_indexed(50)?;
    let large = measure_indexed(2000)?;
    let scanned = measure_scanned(2000)?;
    Ok(json!({
        "measure": "decide",
        "decisions_per_s_50": small.per_s.round(),
        "decisions_per_s_2000": large.per_s.round(),
        "p99_us_50": small.p99_us,
        "p99_us_2000": large.p99_us,
        "naive_decisions_per_s_2000": scanned.per_s.round(),
    }))
}
