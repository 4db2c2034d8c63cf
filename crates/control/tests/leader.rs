//! Lifecycle of a job, including failover of its leader and loss of its worker.

mod support;

use std::time::Duration;

use common::Name;
use control::{Answer, Operation};
use scheduler::JobState;
use support::{Simulation, job, step};

fn secs(secs: u64) -> Duration {
    Duration::from_secs(secs)
}

/// Starts a simulation and runs it until a node leads.
fn start_with_leader(seed: u64, nodes: usize, workers: usize) -> Simulation {
    let mut sim = Simulation::new(seed, nodes, workers);
    assert!(sim.run_until(secs(5), |sim| sim.leader().is_some()));
    sim
}

#[test]
fn submit_runs_to_completion() {
    let mut sim = start_with_leader(1, 3, 4);
    assert_eq!(sim.submit(job("j1", vec![step(3, 300)])), Some(Answer::Accepted));
    assert!(sim.wait_for_state("j1", JobState::Completed, secs(5)));
    assert_eq!(sim.violations, Vec::<String>::new());
}

#[test]
fn submit_twice_creates_one_job() {
    let mut sim = start_with_leader(2, 3, 4);
    let first = sim.call(0, Operation::Submit(job("j1", vec![step(2, 300)])));
    let second = sim.call(1, Operation::Submit(job("j1", vec![step(2, 300)])));
    sim.run(secs(5));
    assert_eq!(sim.answers.get(&first), Some(&Answer::Accepted));
    assert_eq!(sim.answers.get(&second), Some(&Answer::Accepted));
    assert_eq!(sim.started_runs, 2);
}

#[test]
fn state_unknown_job_is_not_found() {
    let mut sim = start_with_leader(3, 3, 1);
    assert_eq!(sim.state("none"), Some(Answer::JobNotFound));
}

#[test]
fn cancel_stops_running_tasks() {
    let mut sim = start_with_leader(4, 3, 2);
    sim.submit(job("j21", vec![step(2, 900)]));
    sim.run_until(secs(2), |sim| sim.started_runs == 2);
    let token = sim.call(0, Operation::Cancel(Name::new("j21")));
    sim.run(Duration::from_millis(300));
    assert_eq!(sim.answers.get(&token), Some(&Answer::Cancelled));
    assert!(sim.workers.values().all(|worker| worker.running.is_empty()));
    assert_eq!(sim.state("j21"), Some(Answer::State(JobState::Cancelled)));
}

#[test]
fn steps_run_in_order() {
    let mut sim = start_with_leader(5, 3, 4);
    let mut second = step(2, 300);
    second.after = vec![0];
    sim.submit(job("j1", vec![step(2, 300), second]));
    assert!(sim.wait_for_state("j1", JobState::Completed, secs(8)));
    assert_eq!(sim.started_runs, 4);
}

#[test]
fn leader_killed_tasks_run_once() {
    let mut sim = start_with_leader(6, 4, 4);
    for number in 0..8 {
        sim.submit(job(&format!("j{number}"), vec![step(2, 800)]));
    }
    let leader = sim.leader().expect("a node leads");
    sim.kill(leader);
    for number in 0..8 {
        assert!(
            sim.wait_for_state(&format!("j{number}"), JobState::Completed, secs(20)),
            "j{number}"
        );
    }
    assert_eq!(sim.violations, Vec::<String>::new());
    assert_eq!(sim.started_runs, 16);
}

#[test]
fn all_killed_state_is_recovered() {
    let mut sim = start_with_leader(7, 3, 4);
    sim.submit(job("j1", vec![step(2, 800)]));
    for node in 0..3 {
        sim.kill(node);
    }
    sim.run(secs(1));
    for node in 0..3 {
        sim.start(node);
    }
    assert!(sim.wait_for_state("j1", JobState::Completed, secs(20)));
    assert_eq!(sim.violations, Vec::<String>::new());
}

#[test]
fn worker_dies_during_failover_tasks_move() {
    let mut sim = start_with_leader(8, 3, 2);
    sim.submit(job("j21", vec![step(2, 900)]));
    sim.run_until(secs(2), |sim| sim.started_runs == 2);
    let busy = sim.workers.values().find(|worker| !worker.running.is_empty());
    let busy = busy.map(|worker| worker.id.clone()).expect("a worker runs tasks");
    for node in 0..3 {
        sim.kill(node);
    }
    for node in 0..3 {
        sim.start(node);
    }
    // The new leader gets one answer from the worker, which then dies.
    assert!(sim.run_until(secs(5), |sim| sim.leader().is_some()));
    sim.run(Duration::from_millis(200));
    sim.workers.get_mut(&busy).expect("the worker exists").die();
    assert!(sim.wait_for_state("j21", JobState::Completed, secs(25)));
    assert_eq!(sim.violations, Vec::<String>::new());
}

#[test]
fn pending_counts_jobs_with_unconfirmed_start() {
    let mut sim = start_with_leader(9, 3, 2);
    sim.faults.late_order_share = 1.0;
    sim.submit(job("j21", vec![step(1, 900)]));
    sim.run(Duration::from_millis(500));
    let token = sim.call(1, Operation::CountPending);
    sim.run(Duration::from_millis(200));
    assert_eq!(sim.answers.get(&token), Some(&Answer::Pending(1)));
    assert_eq!(sim.state("j21"), Some(Answer::State(JobState::Queued)));
}

#[test]
fn rules_older_version_is_ignored() {
    let mut sim = start_with_leader(10, 3, 2);
    let former = sim.rules.clone();
    sim.rules.version += 1;
    sim.rules.queues[0].max_attempts = 7;
    sim.run(secs(2));
    let version = |sim: &Simulation| {
        let leader = sim.leader().expect("a node leads");
        let node = sim.slots[leader].node.as_ref().expect("the leader is running");
        let rules = node.scheduler().and_then(|scheduler| scheduler.rules.clone());
        rules.map(|rules| (rules.version, rules.queues[0].max_attempts))
    };
    assert_eq!(version(&sim), Some((former.version + 1, 7)));
    sim.rules = former.clone();
    sim.run(secs(3));
    assert_eq!(version(&sim), Some((former.version + 1, 7)));
}

#[test]
fn resumed_former_leader_finds_new_job() {
    let mut sim = start_with_leader(11, 5, 2);
    let former = sim.leader().expect("a node leads");
    sim.suspend(former);
    let other = (former + 1) % 5;
    let leads = |sim: &Simulation| {
        let nodes = sim.slots.iter().enumerate().filter(|(number, _)| *number != former);
        let mut roles = nodes.filter_map(|(_, slot)| slot.node.as_ref()).map(control::Node::role);
        roles.any(|role| role == control::Role::Leading)
    };
    assert!(sim.run_until(secs(4), leads));
    let token = sim.call(other, Operation::Submit(job("j1", vec![step(1, 300)])));
    sim.run(secs(1));
    assert_eq!(sim.answers.get(&token), Some(&Answer::Accepted));
    sim.resume(former, secs(5));
    let token = sim.call(former, Operation::GetState(Name::new("j1")));
    sim.run(secs(3));
    let answer = sim.answers.get(&token);
    assert!(matches!(answer, Some(Answer::State(_))), "{answer:?}");
}

// Guards against a worker that stays unused as its registration did not change while it was unlisted.
#[test]
fn worker_listed_again_runs_tasks() {
    let mut sim = start_with_leader(20, 3, 1);
    let set_listed = |sim: &mut Simulation, is_listed| {
        sim.workers.values_mut().for_each(|worker| worker.is_listed = is_listed);
        sim.run(secs(1));
    };
    set_listed(&mut sim, false);
    assert_eq!(sim.submit(job("j1", vec![step(1, 300)])), Some(Answer::Accepted));
    sim.run(secs(2));
    assert_eq!(sim.state("j1"), Some(Answer::State(JobState::Queued)));
    set_listed(&mut sim, true);
    assert!(sim.wait_for_state("j1", JobState::Completed, secs(8)));
}

/// Guards against a feed of workers that falls behind while it has more changes than fit in a page.
#[test]
fn worker_feed_with_more_pages_is_read_on_at_once() {
    let mut sim = start_with_leader(9, 3, 4);
    sim.run(secs(1));
    sim.feed_pages = 20;
    sim.run(secs(1));
    assert_eq!(sim.feed_pages, 0);
}

// Guards against ended runs that are started again, as a worker has more of them than it lists.
#[test]
fn store_outage_with_many_ended_runs_runs_none_twice() {
    let mut sim = start_with_leader(21, 3, 1);
    sim.workers.values_mut().for_each(|worker| worker.capacity = 2_000_000);
    sim.run_time = Some(secs(2));
    sim.run(secs(1));
    for number in 0..20 {
        let submission = job(&format!("j{number}"), vec![step(40, 2000)]);
        sim.call(0, Operation::Submit(submission));
    }
    assert!(sim.run_until(secs(1), |sim| sim.started_runs == 800));
    sim.faults.is_store_down = true;
    sim.run(Duration::from_millis(4200));
    sim.faults.is_store_down = false;
    for number in 0..20 {
        assert!(sim.wait_for_state(&format!("j{number}"), JobState::Completed, secs(10)));
    }
    assert_eq!((sim.started_runs, &sim.violations), (800, &Vec::new()));
}
