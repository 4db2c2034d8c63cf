//! Tests of a rack's capacity accounting against a simple model.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use arbtest::arbitrary::{Result, Unstructured};
use common::Name;
use policy::index::best_fit_by_scan;
use policy::preemption::{PreemptionCandidate, select_victims};
use policy::rack::{ReserveError, ReserveRequest};
use policy::{CapacityIndex, Health, Rack};
use settings::Inventory;
use settings::quantity::Resources;

/// Number of random inputs per test.
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
    Inventory::parse(&text).expect("the inventory is valid")
}

fn size(u: &mut Unstructured<'_>) -> Result<Resources> {
    Ok(Resources {
        cpu: 1000 * u.int_in_range(0..=8)?,
        memory: 1024 * u.int_in_range(0..=16)?,
        accelerators: u.int_in_range(0..=2)?,
    })
}

fn reconciled_rack(inventory: &Inventory) -> Rack {
    let mut rack = Rack::default();
    rack.set_inventory("r", inventory);
    let workers: Vec<Name> = rack.workers().cloned().collect();
    for worker in workers {
        rack.set_reconciled(&worker, true);
    }
    rack
}

/// Checks reservations against a model of free capacity: none is wrongly refused or overcommits.
fn check_against_model(u: &mut Unstructured<'_>) -> Result<()> {
    let now = Instant::now();
    let mut workers = Vec::new();
    for _ in 0..u.int_in_range(1..=6)? {
        workers.push((u.int_in_range(1..=16)?, u.int_in_range(1..=64)?, u.int_in_range(0..=4)?));
    }
    let inventory = inventory(&workers);
    let mut rack = reconciled_rack(&inventory);
    let mut free: HashMap<Name, Resources> = inventory
        .workers()
        .map(|(_, worker)| (worker.name.clone(), worker.task_capacity))
        .collect();
    let mut reservations: Vec<(u64, Name, Resources)> = Vec::new();
    for _ in 0..40 {
        if u.ratio(1, 3)? && !reservations.is_empty() {
            let (reservation, worker, size) =
                reservations.swap_remove(u.choose_index(reservations.len())?);
            rack.release(reservation);
            let free_capacity = free.get_mut(&worker).expect("the worker is in the model");
            *free_capacity = free_capacity.plus(&size);
            continue;
        }
        let size = size(u)?;
        let is_feasible = free.values().any(|free_capacity| size.fits_in(free_capacity));
        let expires = now + Duration::from_secs(5);
        match rack.reserve(&ReserveRequest::single(size), now, expires) {
            Ok(placements) => {
                let placement = &placements[0];
                let free_capacity =
                    free.get_mut(&placement.worker).expect("the worker is in the model");
                assert!(
                    size.fits_in(free_capacity),
                    "{size:?} does not fit into {free_capacity:?}"
                );
                *free_capacity = free_capacity.minus(&size);
                reservations.push((placement.reservation, placement.worker.clone(), size));
            }
            Err(error) => assert!(!is_feasible, "{error:?} despite enough free capacity"),
        }
    }
    rack.expire(now + Duration::from_secs(6));
    let used_total: u64 =
        rack.worker_statuses(now).map(|(_, _, used, _, _)| used.cpu + used.memory).sum();
    assert_eq!(used_total, 0, "expired reservations free all their capacity");
    Ok(())
}

#[test]
fn reserve_matches_model() {
    for seed in 0..INPUTS {
        arbtest::arbtest(check_against_model).seed(seed << 32 | 1024);
    }
}

/// Checks that the index and the scan choose the same worker after random updates.
fn check_best_fit(u: &mut Unstructured<'_>) -> Result<()> {
    let mut index = CapacityIndex::default();
    let mut workers: HashMap<u32, Resources> = HashMap::new();
    for _ in 0..60 {
        let worker = u.int_in_range(0..=20)?;
        let free = Resources { cpu: 125 * u.int_in_range(0..=64)?, ..size(u)? };
        if let Some(old) = workers.remove(&worker) {
            index.remove(worker, &old);
        }
        if u.ratio(4, 5)? {
            index.insert(worker, &free);
            workers.insert(worker, free);
        }
        let wanted = Resources { cpu: 125 * u.int_in_range(0..=64)?, ..size(u)? };
        let excluded = u.int_in_range(0..=20)?;
        let expected = best_fit_by_scan(
            workers.iter().map(|(worker, free)| (*worker, free)),
            &wanted,
            |candidate| candidate != excluded,
        );
        assert_eq!(
            index.best_fit(&wanted, |candidate| candidate != excluded),
            expected,
            "{wanted:?}"
        );
    }
    Ok(())
}

#[test]
fn best_fit_matches_scan() {
    for seed in 0..INPUTS {
        arbtest::arbtest(check_best_fit).seed(seed << 32 | 4096);
    }
}

#[test]
fn reserve_unreconciled_worker_withheld() {
    let now = Instant::now();
    let mut rack = Rack::default();
    rack.set_inventory("r", &inventory(&[(8, 8, 0)]));
    let size = Resources { cpu: 1000, memory: 1024, accelerators: 0 };
    assert_eq!(
        rack.reserve(&ReserveRequest::single(size), now, now),
        Err(ReserveError::Unavailable)
    );
}

#[test]
fn reserve_reports_exceeded_resource() {
    let now = Instant::now();
    let mut rack = reconciled_rack(&inventory(&[(8, 8, 0)]));
    let size = |cpu, accelerators| Resources { cpu, memory: 1, accelerators };
    assert_eq!(
        rack.reserve(&ReserveRequest::single(size(1, 1)), now, now),
        Err(ReserveError::Infeasible("accelerators"))
    );
    rack.reserve(&ReserveRequest::single(size(8000, 0)), now, now).expect("capacity is free");
    assert_eq!(
        rack.reserve(&ReserveRequest::single(size(1, 0)), now, now),
        Err(ReserveError::Full("processors"))
    );
}

#[test]
fn hold_urgent_only_until_expiry() {
    let now = Instant::now();
    let later = now + Duration::from_secs(3);
    let mut rack = reconciled_rack(&inventory(&[(4, 8, 0)]));
    let size = Resources { cpu: 2000, memory: 1024, accelerators: 0 };
    rack.hold_for_urgent("w0", later);
    assert_eq!(
        rack.reserve(&ReserveRequest::single(size), now, later),
        Err(ReserveError::Unavailable)
    );
    let urgent = ReserveRequest { is_urgent: true, ..ReserveRequest::single(size) };
    rack.reserve(&urgent, now, later).expect("urgent work may use held capacity");
    rack.reserve(&ReserveRequest::single(size), now, later)
        .expect("an urgent reservation ends the hold");
    rack.hold_for_urgent("w0", later);
    rack.expire(later);
    rack.reserve(&ReserveRequest::single(size), later, later + Duration::from_secs(1))
        .expect("the hold has expired");
}

#[test]
fn select_victims_least_lost_work() {
    let now = Instant::now();
    let mut rack = reconciled_rack(&inventory(&[(4, 8, 0), (4, 8, 0)]));
    let size = |cpu| Resources { cpu, memory: 1024, accelerators: 0 };
    let mut candidates = Vec::new();
    for (task, lost_cpu_ms) in [(0, 900), (1, 100), (2, 300), (3, 300)] {
        let placement = &rack
            .reserve(&ReserveRequest::single(size(2000)), now, now)
            .expect("capacity is free")[0];
        let worker = placement.worker.clone();
        candidates.push(PreemptionCandidate { task, worker, size: size(2000), lost_cpu_ms });
    }
    assert_eq!(
        select_victims(&rack, &candidates, &size(2000)),
        [1],
        "the task that loses the least work"
    );
    assert_eq!(
        select_victims(&rack, &candidates, &size(4000)),
        [2, 3],
        "600 ms of lost work against 1,000 ms"
    );
    assert!(
        select_victims(&rack, &candidates, &size(5000)).is_empty(),
        "the size exceeds every worker"
    );
}

#[test]
fn health_quarantine_then_trial() {
    let mut now = Instant::now();
    let mut health = Health::default();
    for _ in 0..3 {
        assert!(health.allows(now, 0));
        health.record_failure(now);
    }
    assert!(!health.allows(now, 0));
    now += Duration::from_secs(16);
    assert!(health.allows(now, 0));
    assert!(!health.allows(now, 1), "only one task at a time on trial");
    health.record_dispatch(now);
    assert!(!health.allows(now, 0));
    health.record_failure(now);
    now += Duration::from_secs(16);
    assert!(!health.allows(now, 0), "the second quarantine is twice as long");
    now += Duration::from_secs(20);
    health.record_dispatch(now);
    health.record_success();
    assert!(health.allows(now, 5));
}

#[test]
fn health_old_failures_decay() {
    let mut now = Instant::now();
    let mut health = Health::default();
    for _ in 0..10 {
        health.record_failure(now);
        now += Duration::from_mins(3);
    }
    assert!(health.allows(now, 3));
}
