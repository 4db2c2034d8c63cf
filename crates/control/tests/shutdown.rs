//! Graceful shutdown while no leader accepts requests.

mod support;

use std::time::Duration;

use common::Name;
use control::{Action, Answer, CallerRequest, Credential, Input, Operation, Role, Target};
use support::{Simulation, job, step};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Starts a cell whose new leader needs `read_delay_per_row` for each row that it recovers.
fn start_recovering(seed: u64, read_delay_per_row: Duration) -> Simulation {
    let mut sim = Simulation::new(seed, 3, 4);
    assert!(sim.run_until(ms(5000), |sim| sim.leader().is_some()));
    for number in 0..20 {
        sim.submit(job(&format!("old{number}"), vec![step(1, 300)]));
    }
    for node in 0..3 {
        sim.kill(node);
    }
    sim.faults.read_delay_per_row = read_delay_per_row;
    for node in 0..3 {
        sim.start(node);
    }
    sim.run(ms(1500));
    assert_eq!(sim.leader(), None);
    sim
}

// Guards against connections that a stopping daemon ends without an answer.
#[test]
fn stopping_daemon_answers_all_requests_before_exit() {
    let mut sim = Simulation::new(70, 3, 4);
    assert!(sim.run_until(ms(5000), |sim| sim.leader().is_some()));
    sim.run(ms(500));
    let follower = (0..3).find(|node| Some(*node) != sim.leader()).expect("there are followers");
    sim.faults.store_slowdown = 100;
    sim.stop(follower);
    sim.run(ms(3000));
    let mut tokens = Vec::new();
    while !sim.exited_nodes.contains(&follower) {
        let id = format!("j{}", tokens.len());
        tokens.push(sim.call(follower, Operation::Submit(job(&id, vec![step(1, 300)]))));
        sim.run(ms(100));
    }
    for token in tokens {
        assert!(sim.answers.contains_key(&token), "request {token}");
    }
}

// Guards against requests that a stopping daemon holds although another one may serve them.
#[test]
fn stopping_daemon_refuses_at_once_without_leader() {
    let mut sim = start_recovering(71, ms(2000));
    for node in 0..3 {
        sim.stop(node);
    }
    sim.run(ms(500));
    let token = sim.call(0, Operation::Submit(job("j1", vec![step(1, 300)])));
    sim.run(ms(200));
    let answer = sim.answers.get(&token);
    assert!(matches!(answer, Some(Answer::Refused { try_other_daemon: true, .. })), "{answer:?}");
}

// Guards against calls that get no answer because they were queued when the daemon exited.
#[test]
fn exited_daemon_answers_queued_calls() {
    let mut sim = Simulation::new(72, 3, 4);
    assert!(sim.run_until(ms(5000), |sim| sim.leader().is_some()));
    sim.run(ms(500));
    let follower = (0..3).find(|node| Some(*node) != sim.leader()).expect("there are followers");
    sim.stop(follower);
    sim.run(ms(3150));
    let now = sim.now + ms(100);
    let node = sim.slots[follower].node.as_mut().expect("the follower runs");
    let actions = node.handle(now, Input::Tick);
    assert!(actions.iter().any(|action| matches!(action, Action::Exit)), "{actions:?}");
    assert_eq!(node.role(), Role::Following);
    let call = CallerRequest {
        target: Target::Queue(Name::new("quick")),
        op: Operation::Submit(job("j1", vec![step(1, 300)])),
        credential: Credential::Missing,
        timeout: ms(3000),
    };
    let actions = node.handle(now, Input::Call { token: 1, call });
    let is_refused = |action: &Action| {
        let Action::Answer { token: 1, answer } = action else { return false };
        matches!(answer, Answer::Refused { try_other_daemon: true, .. })
    };
    assert!(actions.iter().any(is_refused), "{actions:?}");
    assert!(!actions.iter().any(|action| matches!(action, Action::Send { .. })), "{actions:?}");
}
