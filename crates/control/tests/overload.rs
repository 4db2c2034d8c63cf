//! Cells that are offered more than their daemons can do.

mod support;

use std::time::Duration;

use control::{Answer, Operation};
use support::cost::CostModel;
use support::{Simulation, job, step};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn simulation_inputs_queue_up() {
    let mut sim = Simulation::new(1, 1, 1);
    assert!(sim.run_until(ms(5000), |sim| sim.leader().is_some()));
    sim.run(ms(500));
    sim.costs = CostModel { call: ms(10), ..CostModel::default() };
    let start = sim.now;
    for _ in 0..5 {
        sim.call(0, Operation::CountPending);
    }
    sim.run(ms(25));
    assert_eq!(sim.slots[0].backlog(), 3, "two calls and a tick");
    sim.run(ms(100));
    let mut delays: Vec<_> = sim.answered_at.values().map(|at| at.saturating_sub(start)).collect();
    delays.sort();
    assert_eq!(delays.len(), 5);
    assert!(delays.iter().zip(1..).all(|(delay, place)| *delay >= ms(10 * place)), "{delays:?}");
    assert_eq!(sim.slots[0].backlog(), 0);
}

#[test]
fn simulation_slow_link_delays_frames() {
    let mut sim = Simulation::new(2, 3, 1);
    assert!(sim.run_until(ms(5000), |sim| sim.leader().is_some()));
    sim.run(ms(500));
    let follower = (0..3).find(|node| Some(*node) != sim.leader()).expect("there are followers");
    sim.network.bandwidths.insert(follower, 10_000);
    let mut large = job("j1", vec![step(1, 300)]);
    large.payload = "x".repeat(3000);
    let token = sim.call(follower, Operation::Submit(large));
    sim.run(ms(300));
    assert_eq!(sim.answers.get(&token), None);
    sim.run(ms(200));
    assert_eq!(sim.answers.get(&token), Some(&Answer::Accepted));
}
