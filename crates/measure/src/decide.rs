//! The cost of one placement decision, by index and by scan, at two sizes.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use common::Name;
use hdrhistogram::Histogram;
use policy::Rack;
use policy::index::scan;
use policy::rack::Demand;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::{Value, json};
use settings::Inventory;
use settings::quantity::Resources;

use crate::bench::Result;

/// Tasks that run on a worker, in the mean, at the target size.
const TASKS_PER_WORKER: f64 = 8.5;

/// Decisions of one measured stretch.
const DECISIONS: usize = 1_000_000;

/// Decisions of the naive stretch.
const NAIVE_DECISIONS: usize = 20_000;

const SEED: u64 = 11;

/// One kind of account of the workers' room.
trait Room {
    fn reserve(&mut self, size: &Resources, now: Instant) -> Option<Name>;
    fn give_back(&mut self, worker: &Name, size: &Resources);
}

struct Indexed(Rack);

impl Room for Indexed {
    fn reserve(&mut self, size: &Resources, now: Instant) -> Option<Name> {
        let expires = now + Duration::from_secs(5);
        let place = self.0.reserve(&Demand::one(*size), now, expires).ok()?.pop()?;
        self.0.commit(place.reservation);
        Some(place.worker)
    }

    fn give_back(&mut self, worker: &Name, size: &Resources) {
        self.0.give_back(worker, size);
    }
}

struct Scanned(Vec<(Name, Resources)>);

impl Room for Scanned {
    fn reserve(&mut self, size: &Resources, _now: Instant) -> Option<Name> {
        let units = self.0.iter().enumerate().map(|(unit, (_, free))| (unit as u32, free));
        let unit = scan(units, size, |_| true)?;
        let (name, free) = &mut self.0[unit as usize];
        *free = free.minus(size);
        Some(name.clone())
    }

    fn give_back(&mut self, worker: &Name, size: &Resources) {
        if let Some((_, free)) = self.0.iter_mut().find(|(name, _)| name == worker) {
            *free = free.plus(size);
        }
    }
}

/// One rack that holds every worker, accelerators on some.
fn inventory(workers: usize) -> Result<Inventory> {
    let worker = |index: usize| {
        let accelerators = if index.is_multiple_of(3) { 5 } else { 0 };
        format!(r#"{{"name":"w{index}","cpu":16,"memory":"64GB","accelerators":{accelerators}}}"#)
    };
    let listed: Vec<String> = (0..workers).map(worker).collect();
    let text = format!(
        r#"{{"cell":"c","domains":[{{"name":"d","racks":[{{"name":"r","workers":[{}]}}]}}]}}"#,
        listed.join(",")
    );
    Ok(Inventory::parse(&text)?)
}

fn size(random: &mut StdRng) -> Resources {
    Resources {
        cpu: 250 * random.random_range(1..=12),
        memory: 512 * random.random_range(1..=20),
        accelerators: u64::from(random.random_bool(0.1)),
    }
}

struct Stretch {
    per_s: f64,
    p99_us: f64,
}

/// Mixes arrivals, completions and cancels around a steady number of tasks.
fn stretch(room: &mut impl Room, tasks: usize, decisions: usize) -> Stretch {
    let mut random = StdRng::seed_from_u64(SEED);
    let now = Instant::now();
    let mut running: Vec<(Name, Resources)> = Vec::new();
    let mut waiting: VecDeque<Resources> = VecDeque::new();
    let mut misses = 0;
    while running.len() < tasks && misses < 1000 {
        let size = size(&mut random);
        match room.reserve(&size, now) {
            Some(worker) => running.push((worker, size)),
            None => misses += 1,
        }
    }
    let mut times = Histogram::<u64>::new(3).expect("three digits are allowed");
    let mut busy = Duration::ZERO;
    for _ in 0..decisions {
        let is_arrival = running.len() < tasks || random.random_bool(0.45);
        let is_cancel = !is_arrival && random.random_bool(0.2);
        let wanted = size(&mut random);
        let victim = random.random_range(0..running.len().max(1));
        let began = Instant::now();
        if is_arrival {
            match room.reserve(&wanted, now) {
                Some(worker) => running.push((worker, wanted)),
                None => waiting.push_back(wanted),
            }
        } else if is_cancel && !waiting.is_empty() {
            waiting.pop_front();
        } else if !running.is_empty() {
            let (worker, size) = running.swap_remove(victim);
            room.give_back(&worker, &size);
            if let Some(size) = waiting.pop_front() {
                match room.reserve(&size, now) {
                    Some(worker) => running.push((worker, size)),
                    None => waiting.push_back(size),
                }
            }
        }
        let took = began.elapsed();
        busy += took;
        times.saturating_record(took.as_nanos() as u64);
        waiting.truncate(10_000);
    }
    eprintln!("{} running, {} waiting of {tasks} tasks", running.len(), waiting.len());
    Stretch {
        per_s: decisions as f64 / busy.as_secs_f64(),
        p99_us: times.value_at_quantile(0.99) as f64 / 1000.0,
    }
}

fn indexed(workers: usize) -> Result<Stretch> {
    let mut rack = Rack::default();
    rack.set_inventory("r", &inventory(workers)?);
    let names: Vec<Name> = rack.workers().cloned().collect();
    for name in names {
        rack.set_known(&name, true);
    }
    let tasks = (workers as f64 * TASKS_PER_WORKER) as usize;
    Ok(stretch(&mut Indexed(rack), tasks, DECISIONS))
}

fn scanned(workers: usize) -> Result<Stretch> {
    let inventory = inventory(workers)?;
    let units = inventory.workers().map(|(_, worker)| (worker.name.clone(), worker.task_capacity));
    let tasks = (workers as f64 * TASKS_PER_WORKER) as usize;
    Ok(stretch(&mut Scanned(units.collect()), tasks, NAIVE_DECISIONS))
}

/// Takes the measure; gives its line.
///
/// # Errors
///
/// Where an inventory that was made up does not parse.
pub fn run() -> Result<Value> {
    let small = indexed(50)?;
    let large = indexed(2000)?;
    let naive = scanned(2000)?;
    Ok(json!({
        "measure": "decide",
        "decisions_per_s_50": small.per_s.round(),
        "decisions_per_s_2000": large.per_s.round(),
        "p99_us_50": small.p99_us,
        "p99_us_2000": large.p99_us,
        "naive_decisions_per_s_2000": naive.per_s.round(),
    }))
}
