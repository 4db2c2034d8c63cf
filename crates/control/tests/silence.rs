//! Workers that fall silent under a task and run on, in a simulated cell.
//!
//! `BRONZERAIL_SCHEDULES` sets the number of seeds, `BRONZERAIL_SEED` the first seed.

mod support;

use std::time::Duration;

use common::Name;
use control::Answer;
use scheduler::JobState;
use support::{Simulation, for_seeds, job, step};

/// Daemons of a cell.
const NODES: usize = 4;

/// Workers of a cell.
const WORKERS: usize = 12;

/// Seeds that CI runs of each test.
const DEFAULT_SEEDS: u64 = 12;

/// Workers that fall silent under the job, one after the other.
const SILENCES: usize = 7;

/// Time without a heartbeat after which a worker leaves the list.
const LISTED_WITHOUT_HEARTBEAT: Duration = Duration::from_millis(4500);

/// Time after the last fault within which the job has to end.
const RECOVERY_TIME: Duration = Duration::from_mins(1);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Starts a cell with a leader and a job of two tasks that outlast a lease.
fn start(seed: u64) -> Simulation {
    let mut sim = Simulation::new(seed, NODES, WORKERS);
    sim.rules = support::rules(seed.is_multiple_of(2));
    sim.run_time = Some(ms(6000));
    assert!(sim.run_until(ms(5000), |sim| sim.leader().is_some()));
    sim.run(ms(500));
    assert_eq!(sim.submit(job("j1", vec![step(2, 6000)])), Some(Answer::Accepted));
    sim
}

/// The worker that runs a task of the job and can be reached; none if there is none within 15 s.
fn running_worker(sim: &mut Simulation) -> Option<Name> {
    let find = |sim: &Simulation| {
        let mut workers = sim.workers.iter();
        let is_cut = |id: &Name| sim.cut_from_workers.contains(&(0, id.clone()));
        let found = workers.find(|(id, worker)| !worker.running.is_empty() && !is_cut(id));
        found.map(|(id, _)| id.clone())
    };
    sim.run_until(ms(15_000), |sim| find(sim).is_some());
    find(sim)
}

/// Cuts a worker off from all daemons.
fn cut(sim: &mut Simulation, id: &Name) {
    sim.cut_from_workers.extend((0..NODES).map(|node| (node, id.clone())));
}

/// Ends the cut of a worker, which is listed again.
fn heal(sim: &mut Simulation, id: &Name) {
    sim.cut_from_workers.retain(|(_, cut)| cut != id);
    sim.workers.get_mut(id).expect("the worker is known").is_listed = true;
}

/// Lets workers fall silent under the job for a time, each as soon as it runs a task. Those that leave
/// the list do so once their heartbeats are missing.
fn silence_workers(
    sim: &mut Simulation,
    leaves_list: bool,
    mut between: impl FnMut(&mut Simulation),
) {
    let mut silent: Vec<(Duration, Name)> = Vec::new();
    for _ in 0..SILENCES {
        let Some(id) = running_worker(sim) else { break };
        let delay = ms(sim.random(1500));
        sim.run(delay);
        cut(sim, &id);
        silent.push((sim.now, id.clone()));
        sim.run(LISTED_WITHOUT_HEARTBEAT);
        sim.workers.get_mut(&id).expect("the worker is known").is_listed = !leaves_list;
        between(sim);
        let (now, healed) = (sim.now, ms(9000));
        for (_, id) in silent.extract_if(.., |(since, _)| *since + healed <= now) {
            heal(sim, &id);
        }
    }
    for (_, id) in &silent {
        heal(sim, id);
    }
}

/// Waits until the job has completed, and checks the invariants.
fn check(sim: &mut Simulation, seed: u64) {
    let is_completed = sim.wait_for_state("j1", JobState::Completed, RECOVERY_TIME);
    assert!(is_completed, "seed {seed}: {:?}", sim.state("j1"));
    assert_eq!(sim.violations, Vec::<String>::new(), "seed {seed}");
}

// Guards against a job that is shown as failed as its workers were silent for a while and left the list.
#[test]
fn workers_that_are_silent_and_leave_the_list_fail_no_job() {
    for_seeds(DEFAULT_SEEDS, |seed| {
        let mut sim = start(seed);
        silence_workers(&mut sim, true, |_| {});
        check(&mut sim, seed);
    });
}

// Guards against the same if the workers stay listed, as their heartbeats still arrive.
#[test]
fn workers_that_are_silent_and_stay_listed_fail_no_job() {
    for_seeds(DEFAULT_SEEDS, |seed| {
        let mut sim = start(seed);
        silence_workers(&mut sim, false, |_| {});
        check(&mut sim, seed);
    });
}

// Guards against the same if a next leader cannot take the count back.
#[test]
fn workers_that_are_silent_over_changes_of_leader_fail_no_job() {
    for_seeds(DEFAULT_SEEDS, |seed| {
        let mut sim = start(seed);
        silence_workers(&mut sim, seed.is_multiple_of(3), |sim| {
            let Some(leader) = sim.leader() else { return };
            sim.kill(leader);
            let downtime = ms(200 + sim.random(1500));
            sim.run(downtime);
            sim.start(leader);
        });
        check(&mut sim, seed);
    });
}
