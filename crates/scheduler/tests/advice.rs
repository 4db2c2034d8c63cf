//! Gangs of a large pool that wait for a serial advice service, on a simulated clock.

mod support;

use std::collections::BTreeSet;
use std::time::Duration;

use common::Name;
use scheduler::Step;
use support::model::{Model, Size, slow_policy};
use support::{NOW, step, submit};

const GANG_SIZE: u32 = 20;
const JOBS: u32 = 300;

const LARGE: Size = Size {
    workers: 350,
    tasks_per_worker: 4,
    daemons: 25,
    allowed_percent: 30,
    run_time: Duration::from_secs(5),
};

// Guards against gangs that compete for the same workers while others are free.
#[test]
fn concurrent_gangs_ask_about_different_workers() {
    let mut model = Model::new(LARGE);
    for number in 0..5 {
        let gang = Step { is_gang: true, ..step(GANG_SIZE) };
        submit(&mut model.scheduler, &format!("j{number:03}"), vec![gang]);
    }
    model.tick();
    let named: Vec<&Name> = model.calls.values().flat_map(|call| &call.workers).collect();
    let distinct: BTreeSet<&Name> = named.iter().copied().collect();
    assert_eq!(model.calls.len(), 5);
    assert_eq!(distinct.len(), named.len());
}

// Guards against gangs that start a few at a time, however large the pool is.
#[test]
#[ignore = "known red: see KNOWN-RED.txt"]
fn gangs_start_at_rate_of_advice_service_in_large_pool() {
    let mut model = Model::new(LARGE);
    for number in 0..JOBS {
        let gang = Step { is_gang: true, ..step(GANG_SIZE) };
        submit(&mut model.scheduler, &format!("j{number:03}"), vec![gang]);
    }
    let policy = slow_policy();
    let call = policy.base_duration + policy.duration_per_worker * 30;
    let service_time = call * JOBS * 2 / LARGE.daemons as u32;
    let room_time = LARGE.run_time * JOBS * GANG_SIZE / (LARGE.workers * LARGE.tasks_per_worker);
    let end = NOW + service_time.max(room_time) + LARGE.run_time * 2;
    while model.now < end {
        model.tick();
    }
    assert_eq!(model.completed(), JOBS as usize, "{} calls", model.advice_calls);
    assert!(model.advice_calls <= u64::from(2 * JOBS), "{} calls", model.advice_calls);
}

/// A pool of the large deployment's size in which a quarter of the workers may run a step.
const QUARTER: Size = Size {
    workers: 540,
    tasks_per_worker: 2,
    daemons: 43,
    allowed_percent: 25,
    run_time: Duration::from_secs(5),
};

/// Time in which a gang learns enough workers, by two rounds of calls that name 100 workers.
fn two_rounds() -> Duration {
    let policy = slow_policy();
    (policy.base_duration + policy.duration_per_worker * 100) * 2
}

/// Guards against a wide gang that learns about new workers one by one while room is free.
#[test]
fn wide_gang_starts_in_two_rounds_of_calls() {
    for tasks_per_worker in [1, 2] {
        for count in [20, 45, 120] {
            let mut model = Model::new(Size { tasks_per_worker, ..QUARTER });
            submit(&mut model.scheduler, "wide", vec![Step { is_gang: true, ..step(count) }]);
            let end = NOW + two_rounds();
            while model.now < end && model.first_starts.is_empty() {
                model.tick();
            }
            let calls = model.advice_calls;
            assert!(
                model.first_starts.contains_key("wide"),
                "{count} tasks, {tasks_per_worker} a worker: not started after {calls} calls"
            );
        }
    }
}

/// Guards against a wide gang that waits behind others of lower rank in a busy pool.
#[test]
fn wide_gang_in_busy_pool_starts_after_runs_end() {
    for count in [40, 120] {
        let mut model = Model::new(QUARTER);
        // Narrow gangs take up the room, and more of them wait than the pool holds.
        for number in 0..150 {
            let gang = Step { is_gang: true, ..step(10) };
            submit(&mut model.scheduler, &format!("n{number:03}"), vec![gang]);
        }
        for _ in 0..300 {
            model.tick();
        }
        submit(&mut model.scheduler, "a-wide", vec![Step { is_gang: true, ..step(count) }]);
        // Its first calls run beside those of the others, which were submitted earlier.
        let end = model.now + QUARTER.run_time * 2 + two_rounds() * 2;
        while model.now < end && !model.first_starts.contains_key("a-wide") {
            model.tick();
        }
        let calls = model.advice_calls;
        assert!(
            model.first_starts.contains_key("a-wide"),
            "{count} tasks not started after {calls} calls, {} others done",
            model.completed()
        );
    }
}
