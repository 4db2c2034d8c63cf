//! The path of a job, and what becomes of it when its leader or its worker is lost.

mod support;

use std::time::Duration;

use common::Name;
use control::{Answer, Op};
use scheduler::Shown;
use support::{World, job, step};

fn secs(secs: u64) -> Duration {
    Duration::from_secs(secs)
}

fn ready(seed: u64, nodes: usize, workers: usize) -> World {
    let mut world = World::new(seed, nodes, workers);
    assert!(world.run_until(secs(5), |world| world.leader().is_some()));
    world
}

#[test]
fn submit_runs_to_completed() {
    let mut world = ready(1, 3, 4);
    assert_eq!(world.submit(job("j1", vec![step(3, 300)])), Some(Answer::Accepted));
    assert!(world.reaches("j1", Shown::Completed, secs(5)));
    assert_eq!(world.violations, Vec::<String>::new());
}

#[test]
fn submit_twice_is_one_job() {
    let mut world = ready(2, 3, 4);
    let first = world.call(0, Op::Submit(job("j1", vec![step(2, 300)])));
    let second = world.call(1, Op::Submit(job("j1", vec![step(2, 300)])));
    world.run(secs(5));
    assert_eq!(world.answers.get(&first), Some(&Answer::Accepted));
    assert_eq!(world.answers.get(&second), Some(&Answer::Accepted));
    assert_eq!(world.starts, 2);
}

#[test]
fn state_of_unknown_job_is_gone() {
    let mut world = ready(3, 3, 1);
    assert_eq!(world.state("none"), Some(Answer::NoJob));
}

#[test]
fn cancel_stops_what_runs() {
    let mut world = ready(4, 3, 2);
    world.submit(job("j21", vec![step(2, 900)]));
    world.run_until(secs(2), |world| world.starts == 2);
    let token = world.call(0, Op::Cancel(Name::new("j21")));
    world.run(Duration::from_millis(300));
    assert_eq!(world.answers.get(&token), Some(&Answer::Cancelled));
    assert!(world.workers.values().all(|worker| worker.running.is_empty()));
    assert_eq!(world.state("j21"), Some(Answer::State(Shown::Cancelled)));
}

#[test]
fn steps_run_in_order() {
    let mut world = ready(5, 3, 4);
    let mut second = step(2, 300);
    second.after = vec![0];
    world.submit(job("j1", vec![step(2, 300), second]));
    assert!(world.reaches("j1", Shown::Completed, secs(8)));
    assert_eq!(world.starts, 4);
}

#[test]
fn leader_killed_work_goes_on_once() {
    let mut world = ready(6, 4, 4);
    for number in 0..8 {
        world.submit(job(&format!("j{number}"), vec![step(2, 800)]));
    }
    let leader = world.leader().expect("a leader was seen");
    world.kill(leader);
    for number in 0..8 {
        assert!(world.reaches(&format!("j{number}"), Shown::Completed, secs(20)), "j{number}");
    }
    assert_eq!(world.violations, Vec::<String>::new());
    assert_eq!(world.starts, 16);
}

#[test]
fn all_killed_state_comes_back() {
    let mut world = ready(7, 3, 4);
    world.submit(job("j1", vec![step(2, 800)]));
    for node in 0..3 {
        world.kill(node);
    }
    world.run(secs(1));
    for node in 0..3 {
        world.start(node);
    }
    assert!(world.reaches("j1", Shown::Completed, secs(20)));
    assert_eq!(world.violations, Vec::<String>::new());
}

#[test]
fn worker_dies_during_takeover_work_moves() {
    let mut world = ready(8, 3, 2);
    world.submit(job("j21", vec![step(2, 900)]));
    world.run_until(secs(2), |world| world.starts == 2);
    let busy = world.workers.values().find(|worker| !worker.running.is_empty());
    let busy = busy.map(|worker| worker.id.clone()).expect("a worker runs tasks");
    for node in 0..3 {
        world.kill(node);
    }
    for node in 0..3 {
        world.start(node);
    }
    // The new leader hears of the worker once, then never again.
    assert!(world.run_until(secs(5), |world| world.leader().is_some()));
    world.run(Duration::from_millis(200));
    world.workers.get_mut(&busy).expect("it is known").die();
    assert!(world.reaches("j21", Shown::Completed, secs(25)));
    assert_eq!(world.violations, Vec::<String>::new());
}

#[test]
fn pending_counts_jobs_whose_start_is_on_its_way() {
    let mut world = ready(9, 3, 2);
    world.trouble.late_orders = 1.0;
    world.submit(job("j21", vec![step(1, 900)]));
    world.run(Duration::from_millis(500));
    let token = world.call(1, Op::Pending);
    world.run(Duration::from_millis(200));
    assert_eq!(world.answers.get(&token), Some(&Answer::Pending(1)));
    assert_eq!(world.state("j21"), Some(Answer::State(Shown::Queued)));
}

#[test]
fn rules_never_go_back() {
    let mut world = ready(10, 3, 2);
    let former = world.rules.clone();
    world.rules.version += 1;
    world.rules.queues[0].max_attempts = 7;
    world.run(secs(2));
    let version = |world: &World| {
        let leader = world.leader().expect("one leads");
        let node = world.slots[leader].node.as_ref().expect("it runs");
        let rules = node.scheduler().and_then(|scheduler| scheduler.rules.clone());
        rules.map(|rules| (rules.version, rules.queues[0].max_attempts))
    };
    assert_eq!(version(&world), Some((former.version + 1, 7)));
    world.rules = former.clone();
    world.run(secs(3));
    assert_eq!(version(&world), Some((former.version + 1, 7)));
}

#[test]
fn woken_former_leader_does_not_deny_a_job() {
    let mut world = ready(11, 5, 2);
    let former = world.leader().expect("one leads");
    world.freeze(former);
    let other = (former + 1) % 5;
    let leads = |world: &World| {
        let nodes = world.slots.iter().enumerate().filter(|(number, _)| *number != former);
        let mut roles = nodes.filter_map(|(_, slot)| slot.node.as_ref()).map(control::Node::role);
        roles.any(|role| role == control::Role::Leading)
    };
    assert!(world.run_until(secs(4), leads));
    let token = world.call(other, Op::Submit(job("j1", vec![step(1, 300)])));
    world.run(secs(1));
    assert_eq!(world.answers.get(&token), Some(&Answer::Accepted));
    world.thaw(former, secs(5));
    let token = world.call(former, Op::State(Name::new("j1")));
    world.run(secs(3));
    let answer = world.answers.get(&token);
    assert!(matches!(answer, Some(Answer::State(_))), "{answer:?}");
}
