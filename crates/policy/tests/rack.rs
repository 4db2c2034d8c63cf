//! The room of a rack against a naive account of it.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use arbtest::arbitrary::{Result, Unstructured};
use common::Name;
use policy::index::scan;
use policy::rack::{Demand, Refusal};
use policy::yielding::{Candidate, victims};
use policy::{Health, Index, Rack};
use settings::Inventory;
use settings::quantity::Size;

/// Random inputs of one test.
const INPUTS: u64 = 1000;

fn inventory(workers: &[(u64, u64, u64)]) -> Inventory {
    let worker = |(index, (cpu, memory, accelerators)): (usize, &(u64, u64, u64))| {
        format!(
            r#"{{"name":"w{index}","cpu":{cpu},"memory":"{memory}GB","accelerators":{accelerators}}}"#
        )
    };
    let workers: Vec<String> = workers.iter().enumerate().map(worker).collect();
    let text = format!(
        r#"{{"cell":"c","domains":[{{"name":"d","racks":[{{"name":"r","workers":[{}]}}]}}]}}"#,
        workers.join(",")
    );
    Inventory::parse(&text).expect("the inventory is fine")
}

fn size(u: &mut Unstructured<'_>) -> Result<Size> {
    Ok(Size {
        cpu: 1000 * u.int_in_range(0..=8)?,
        memory: 1024 * u.int_in_range(0..=16)?,
        accelerators: u.int_in_range(0..=2)?,
    })
}

fn open_rack(inventory: &Inventory) -> Rack {
    let mut rack = Rack::default();
    rack.set_inventory("r", inventory);
    let workers: Vec<Name> = rack.workers().cloned().collect();
    for worker in workers {
        rack.set_known(&worker, true);
    }
    rack
}

/// Whether a naive scan finds room, and whether the rack's answer overfills anybody.
fn differential(u: &mut Unstructured<'_>) -> Result<()> {
    let now = Instant::now();
    let mut workers = Vec::new();
    for _ in 0..u.int_in_range(1..=6)? {
        workers.push((u.int_in_range(1..=16)?, u.int_in_range(1..=64)?, u.int_in_range(0..=4)?));
    }
    let inventory = inventory(&workers);
    let mut rack = open_rack(&inventory);
    let mut free: HashMap<Name, Size> =
        inventory.workers().map(|(_, worker)| (worker.name.clone(), worker.room)).collect();
    let mut held: Vec<(u64, Name, Size)> = Vec::new();
    for _ in 0..40 {
        if u.ratio(1, 3)? && !held.is_empty() {
            let (number, worker, size) = held.swap_remove(u.choose_index(held.len())?);
            rack.release(number);
            let room = free.get_mut(&worker).expect("a worker");
            *room = room.plus(&size);
            continue;
        }
        let size = size(u)?;
        let has_room = free.values().any(|room| size.fits(room));
        let expires = now + Duration::from_secs(5);
        match rack.reserve(&Demand::one(size), now, expires) {
            Ok(places) => {
                let place = &places[0];
                let room = free.get_mut(&place.worker).expect("a worker");
                assert!(size.fits(room), "{size:?} does not fit {room:?}");
                *room = room.minus(&size);
                held.push((place.reservation, place.worker.clone(), size));
            }
            Err(refusal) => assert!(!has_room, "{refusal:?} although there is room"),
        }
    }
    rack.expire(now + Duration::from_secs(6));
    let whole: u64 = rack.view(now).map(|(_, _, used, _, _)| used.cpu + used.memory).sum();
    assert_eq!(whole, 0, "expired reservations give everything back");
    Ok(())
}

#[test]
fn reserve_agrees_with_scan() {
    for seed in 0..INPUTS {
        arbtest::arbtest(differential).seed(seed << 32 | 1024);
    }
}

/// The index and the scan choose the same unit, however units come, go and change.
fn same_choice(u: &mut Unstructured<'_>) -> Result<()> {
    let mut index = Index::default();
    let mut units: HashMap<u32, Size> = HashMap::new();
    for _ in 0..60 {
        let unit = u.int_in_range(0..=20)?;
        let free = Size { cpu: 125 * u.int_in_range(0..=64)?, ..size(u)? };
        if let Some(old) = units.remove(&unit) {
            index.remove(unit, &old);
        }
        if u.ratio(4, 5)? {
            index.insert(unit, &free);
            units.insert(unit, free);
        }
        let wanted = Size { cpu: 125 * u.int_in_range(0..=64)?, ..size(u)? };
        let barred = u.int_in_range(0..=20)?;
        let naive =
            scan(units.iter().map(|(unit, free)| (*unit, free)), &wanted, |one| one != barred);
        assert_eq!(index.tightest(&wanted, |one| one != barred), naive, "{wanted:?}");
    }
    Ok(())
}

#[test]
fn tightest_agrees_with_scan() {
    for seed in 0..INPUTS {
        arbtest::arbtest(same_choice).seed(seed << 32 | 4096);
    }
}

#[test]
fn reserve_unknown_worker_full() {
    let now = Instant::now();
    let mut rack = Rack::default();
    rack.set_inventory("r", &inventory(&[(8, 8, 0)]));
    let size = Size { cpu: 1000, memory: 1024, accelerators: 0 };
    assert_eq!(rack.reserve(&Demand::one(size), now, now), Err(Refusal::Withheld));
}

#[test]
fn reserve_names_dimension() {
    let now = Instant::now();
    let mut rack = open_rack(&inventory(&[(8, 8, 0)]));
    let size = |cpu, accelerators| Size { cpu, memory: 1, accelerators };
    assert_eq!(
        rack.reserve(&Demand::one(size(1, 1)), now, now),
        Err(Refusal::Impossible("accelerators"))
    );
    rack.reserve(&Demand::one(size(8000, 0)), now, now).expect("there is room");
    assert_eq!(rack.reserve(&Demand::one(size(1, 0)), now, now), Err(Refusal::Full("processors")));
}

#[test]
fn hold_only_urgent_until_over() {
    let now = Instant::now();
    let later = now + Duration::from_secs(3);
    let mut rack = open_rack(&inventory(&[(4, 8, 0)]));
    let size = Size { cpu: 2000, memory: 1024, accelerators: 0 };
    rack.hold("w0", later);
    assert_eq!(rack.reserve(&Demand::one(size), now, later), Err(Refusal::Withheld));
    let urgent = Demand { is_urgent: true, ..Demand::one(size) };
    rack.reserve(&urgent, now, later).expect("it was held for this");
    rack.reserve(&Demand::one(size), now, later).expect("the rest is free again");
    rack.hold("w0", later);
    rack.expire(later);
    rack.reserve(&Demand::one(size), later, later + Duration::from_secs(1)).expect("it is over");
}

#[test]
fn victims_cheapest_worker() {
    let now = Instant::now();
    let mut rack = open_rack(&inventory(&[(4, 8, 0), (4, 8, 0)]));
    let size = |cpu| Size { cpu, memory: 1024, accelerators: 0 };
    let mut candidates = Vec::new();
    for (run, lost_ms) in [(0, 900), (1, 100), (2, 300), (3, 300)] {
        let place = &rack.reserve(&Demand::one(size(2000)), now, now).expect("there is room")[0];
        let worker = place.worker.clone();
        candidates.push(Candidate { run, worker, size: size(2000), lost_ms });
    }
    assert_eq!(victims(&rack, &candidates, &size(2000)), [1], "the one that loses the least");
    assert_eq!(victims(&rack, &candidates, &size(4000)), [2, 3], "600 ms against 1,000");
    assert!(victims(&rack, &candidates, &size(5000)).is_empty(), "no worker is that large");
}

#[test]
fn health_quarantine_and_trial() {
    let mut now = Instant::now();
    let mut health = Health::default();
    for _ in 0..3 {
        assert!(health.allows(now, 0));
        health.failed(now);
    }
    assert!(!health.allows(now, 0));
    now += Duration::from_secs(16);
    assert!(health.allows(now, 0));
    assert!(!health.allows(now, 1), "one task at a time while on trial");
    health.sent(now);
    assert!(!health.allows(now, 0));
    health.failed(now);
    now += Duration::from_secs(16);
    assert!(!health.allows(now, 0), "the second quarantine is longer");
    now += Duration::from_secs(20);
    health.sent(now);
    health.succeeded();
    assert!(health.allows(now, 5));
}

#[test]
fn health_old_failures_fade() {
    let mut now = Instant::now();
    let mut health = Health::default();
    for _ in 0..10 {
        health.failed(now);
        now += Duration::from_mins(3);
    }
    assert!(health.allows(now, 3));
}
