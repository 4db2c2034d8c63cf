//! Workers whose capacity shrinks and grows while they run, in a simulated cell.
//!
//! `BRONZERAIL_SCHEDULES` sets the number of seeds, `BRONZERAIL_SEED` the first seed.

mod support;

use std::time::Duration;

use common::Name;
use control::Operation;
use scheduler::{JobState, Step};
use support::{Simulation, for_seeds, job, step};

/// Workers of a cell, and the cores of each.
const WORKERS: usize = 5;
const CAPACITY: u32 = 4000;

/// Seeds that CI runs.
const DEFAULT_SEEDS: u64 = 30;

/// Time after the last fault within which all jobs have to end.
const RECOVERY_TIME: Duration = Duration::from_mins(1);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn start(seed: u64) -> Simulation {
    let mut sim = Simulation::new(seed, 4, WORKERS);
    assert!(sim.run_until(ms(5000), |sim| sim.leader().is_some()));
    sim.run(ms(500));
    sim
}

fn set_capacity(sim: &mut Simulation, number: u64, capacity: u32) {
    let id = Name::from(format!("w{number}").as_str());
    let now = sim.now;
    sim.workers.get_mut(&id).expect("the worker exists").set_capacity(capacity, now);
}

fn set_capacities(sim: &mut Simulation, capacity: u32) {
    (0..WORKERS as u64).for_each(|number| set_capacity(sim, number, capacity));
}

/// Checks that nothing exceeded its room, and that the job completes once the workers have grown.
fn grow_and_complete(sim: &mut Simulation, is_gang: bool) {
    assert_eq!(sim.violations, Vec::<String>::new(), "gang: {is_gang}");
    set_capacities(sim, CAPACITY);
    let is_completed = sim.wait_for_state("j1", JobState::Completed, RECOVERY_TIME);
    assert!(is_completed, "gang: {is_gang}: {:?}", sim.state("j1"));
    assert_eq!(sim.violations, Vec::<String>::new(), "gang: {is_gang}");
}

// Guards against starts on workers that have shrunk while the list of workers could not be read.
#[test]
fn starts_wait_for_recent_list_of_workers() {
    for is_gang in [false, true] {
        let mut sim = start(1);
        sim.run_time = Some(ms(20_000));
        sim.faults.is_feed_down = true;
        set_capacities(&mut sim, 1000);
        sim.run(ms(5000));
        let steps = vec![Step { is_gang, ..step(10, 20_000) }];
        sim.call(0, Operation::Submit(job("j1", steps)));
        sim.run(ms(4000));
        sim.faults.is_feed_down = false;
        sim.run(ms(3000));
        grow_and_complete(&mut sim, is_gang);
    }
}

// Guards against the same after the leader's machine was suspended, which its clock does not count.
#[test]
fn suspended_leader_reads_list_of_workers_before_it_starts() {
    let mut sim = Simulation::new(3, 1, WORKERS);
    assert!(sim.run_until(ms(5000), |sim| sim.leader().is_some()));
    sim.run(ms(500));
    sim.run_time = Some(ms(20_000));
    sim.suspend(0);
    set_capacities(&mut sim, 1000);
    sim.run(ms(6000));
    sim.resume(0, ms(6000));
    sim.faults.is_feed_down = true;
    sim.call(0, Operation::Submit(job("j1", vec![step(10, 20_000)])));
    sim.run(ms(1500));
    assert_eq!(sim.started_runs, 0);
    sim.faults.is_feed_down = false;
    sim.run(ms(3000));
    assert_eq!((sim.started_runs, &sim.violations), (WORKERS as u64, &Vec::new()));
}

// Guards against starts that wait for a slow commit and are sent to workers that have shrunk since.
#[test]
fn starts_of_late_commit_respect_shrunk_room() {
    for is_gang in [false, true] {
        let mut sim = start(1);
        sim.run_time = Some(ms(20_000));
        // The answer to a commit takes far longer than the list of workers does.
        sim.faults.store_slowdown = 400;
        let steps = vec![Step { is_gang, ..step(10, 20_000) }];
        sim.call(0, Operation::Submit(job("j1", steps)));
        sim.run(ms(100));
        set_capacities(&mut sim, 1000);
        sim.run(ms(12_000));
        sim.faults.store_slowdown = 0;
        sim.run(ms(5000));
        grow_and_complete(&mut sim, is_gang);
    }
}

// Guards against tasks that are placed in room which runs that are being stopped still use.
#[test]
fn runs_being_stopped_use_shrunk_room() {
    let mut sim = start(2);
    sim.run_time = Some(ms(20_000));
    sim.call(0, Operation::Submit(job("j1", vec![step(20, 20_000)])));
    sim.run(ms(1000));
    assert_eq!(sim.started_runs, 20);
    set_capacities(&mut sim, 2000);
    sim.run(ms(5000));
    sim.cut_from_workers.extend((0..4).flat_map(|node| {
        (0..WORKERS).map(move |number| (node, Name::from(format!("w{number}").as_str())))
    }));
    sim.call(0, Operation::Cancel(Name::new("j1")));
    sim.call(0, Operation::Submit(job("j2", vec![step(10, 20_000)])));
    sim.run(ms(2000));
    sim.cut_from_workers.clear();
    sim.run(ms(4000));
    assert_eq!(sim.started_runs, 30, "the room is used once the runs have ended");
    assert_eq!(sim.violations, Vec::<String>::new());
}

// Guards against starts over the room at any moment of changes of leaders, commits and cancels.
#[test]
fn schedules_of_changing_capacity_keep_within_room() {
    for_seeds(DEFAULT_SEEDS, |seed| {
        let mut sim = start(seed);
        sim.rules = support::rules(seed.is_multiple_of(2));
        let mut killed = None;
        for round in 0..120 {
            match sim.random(8) {
                0 | 1 => {
                    let capacity = [500, 1000, 2000, CAPACITY][sim.random(4) as usize];
                    let worker = sim.random(WORKERS as u64);
                    set_capacity(&mut sim, worker, capacity);
                }
                2 => {
                    sim.faults.is_store_down = sim.random(3) == 0;
                    sim.faults.is_feed_down = sim.random(3) == 0;
                    sim.faults.store_slowdown = [0, 0, 200, 600][sim.random(4) as usize];
                }
                3 if killed.is_none() => {
                    killed = sim.leader();
                    if let Some(leader) = killed {
                        sim.kill(leader);
                    }
                }
                4 => {
                    if let Some(node) = killed.take() {
                        sim.start(node);
                    }
                }
                5 => {
                    let id = Name::from(format!("j{}", sim.random(round + 1)).as_str());
                    sim.call(0, Operation::Cancel(id));
                }
                _ => {
                    let is_gang = sim.random(3) == 0;
                    let count = 1 + sim.random(5) as u32;
                    let steps = vec![Step { is_gang, ..step(count, 500) }];
                    sim.call(1, Operation::Submit(job(&format!("j{round}"), steps)));
                }
            }
            let pause = ms(sim.random(400));
            sim.run(pause);
        }
        sim.faults = support::FaultConfig::default();
        if let Some(node) = killed {
            sim.start(node);
        }
        set_capacities(&mut sim, CAPACITY);
        sim.run(RECOVERY_TIME);
        let leader = sim.leader().and_then(|leader| sim.slots[leader].node.as_ref());
        let scheduler = leader.and_then(control::Node::scheduler).expect("a node leads");
        assert_eq!(scheduler.open_jobs(), 0, "seed {seed}");
        assert_eq!(sim.violations, Vec::<String>::new(), "seed {seed}");
    });
}
