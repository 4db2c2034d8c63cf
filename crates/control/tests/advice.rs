//! Load on the advice service, which handles the calls of each node one after the other.

mod support;

use std::time::Duration;

use common::Name;
use control::{Answer, Operation};
use scheduler::{AdvicePolicy, JobState, Step};
use support::{AdviceService, Simulation, job, rules, step};

const NODES: usize = 9;
const WORKERS: usize = 48;

/// Nodes that a third of the nodes, kept for fast calls, leaves for slow ones.
const SLOW_CALL_NODES: u32 = 6;

const TASKS_PER_WORKER: u32 = 4;

/// Most workers that a call names, unless the step needs more.
const MAX_WORKERS_PER_CALL: u32 = 30;

const JOBS: u32 = 160;

const SUBMIT_INTERVAL: Duration = Duration::from_millis(50);

const RUN_TIME: Duration = Duration::from_secs(5);

fn slow_policy() -> AdvicePolicy {
    AdvicePolicy {
        base_duration: Duration::from_millis(630),
        duration_per_worker: Duration::from_millis(9),
        validity: Duration::from_millis(1500),
    }
}

/// A cell with a leader and workers of four cores, in which advice allows three workers in ten.
fn start_with_slow_advice(seed: u64) -> Simulation {
    let mut sim = Simulation::new(seed, NODES, WORKERS);
    for worker in sim.workers.values_mut() {
        worker.capacity = TASKS_PER_WORKER * 1000;
    }
    sim.run_time = Some(RUN_TIME);
    sim.rules = rules(true);
    sim.rules.queues[0].advice = Some(slow_policy());
    sim.advice_service = Some(AdviceService::new(&slow_policy(), 3));
    assert!(sim.run_until(Duration::from_secs(5), |sim| sim.leader().is_some()));
    sim
}

fn count_completed(sim: &mut Simulation, jobs: u32) -> u32 {
    let ids = (0..jobs).map(|number| Name::from(format!("j{number:03}").as_str()));
    let tokens: Vec<u64> = ids.map(|id| sim.call(0, Operation::GetState(id))).collect();
    sim.run(Duration::from_millis(100));
    let completed = Answer::State(JobState::Completed);
    tokens.iter().filter(|token| sim.answers.get(token) == Some(&completed)).count() as u32
}

// Guards against a backlog of calls whose tickets expire before the room that they are for is free.
#[test]
fn burst_of_gangs_drains_at_rate_of_advice_service() {
    const GANG_SIZE: u32 = 8;
    let mut sim = start_with_slow_advice(1);
    for number in 0..JOBS {
        let gang = Step { is_gang: true, ..step(GANG_SIZE, RUN_TIME.as_millis() as u32) };
        sim.call(0, Operation::Submit(job(&format!("j{number:03}"), vec![gang])));
        sim.run(SUBMIT_INTERVAL);
    }
    let policy = slow_policy();
    let call = policy.base_duration + policy.duration_per_worker * MAX_WORKERS_PER_CALL;
    // Two calls for each step: the room of its first tickets may be taken meanwhile.
    let service_time = call * JOBS * 2 / SLOW_CALL_NODES;
    let room_time = RUN_TIME * JOBS * GANG_SIZE / (WORKERS as u32 * TASKS_PER_WORKER);
    // One run time for the last tasks, and one for the room that gangs leave unused at the end.
    sim.run(service_time.max(room_time) + RUN_TIME * 2);
    assert_eq!(count_completed(&mut sim, JOBS), JOBS);
    assert!(sim.advice_calls <= u64::from(2 * JOBS), "{} calls", sim.advice_calls);
    assert_eq!(sim.violations, Vec::<String>::new());
}
