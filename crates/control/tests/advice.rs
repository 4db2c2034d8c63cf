//! Load on the advice service, which handles the calls of each node one after the other.

mod support;

use std::time::Duration;

use common::Name;
use control::{Answer, Operation};
use scheduler::{AdvicePolicy, JobState, Queue, Step};
use support::{AdviceService, PREFIX, Simulation, job, rules, step};

const NODES: usize = 9;
const WORKERS: usize = 48;

/// Nodes that a third of the nodes, kept for fast calls, leaves for slow ones.
const SLOW_CALL_NODES: u32 = 6;

const TASKS_PER_WORKER: u32 = 4;

/// Most workers that a call names, unless the step needs more.
const MAX_WORKERS_PER_CALL: u32 = 30;

const JOBS: u32 = 160;

const SUBMIT_INTERVAL: Duration = Duration::from_millis(50);

const GANG_SIZE: u32 = 8;

const SHORT_RUN_TIME: Duration = Duration::from_millis(300);

const RUN_TIME: Duration = Duration::from_secs(5);

fn policy(base_ms: u64, per_worker_us: u64) -> AdvicePolicy {
    AdvicePolicy {
        base_duration: Duration::from_millis(base_ms),
        duration_per_worker: Duration::from_micros(per_worker_us),
        validity: Duration::from_millis(1500),
    }
}

fn slow_policy() -> AdvicePolicy {
    policy(630, 9000)
}

fn medium_policy() -> AdvicePolicy {
    policy(120, 1000)
}

fn fast_policy() -> AdvicePolicy {
    policy(7, 100)
}

fn max_duration(policy: &AdvicePolicy) -> Duration {
    policy.base_duration + policy.duration_per_worker * MAX_WORKERS_PER_CALL
}

/// A cell with a leader and workers of four cores, in which advice allows three workers in ten.
///
/// Ids of jobs that start with s, m and f go to queues with slow, medium and fast advice, in
/// descending order of priority.
fn start_with_serial_advice(seed: u64, run_time: Duration) -> Simulation {
    let mut sim = Simulation::new(seed, NODES, WORKERS);
    for worker in sim.workers.values_mut() {
        worker.capacity = TASKS_PER_WORKER * 1000;
    }
    sim.run_time = Some(run_time);
    sim.rules = rules(true);
    // However long a job waits, its completion is of use, so that none is refused.
    sim.rules.queues[0].target_offset = Duration::from_hours(1);
    let policies = vec![("s", slow_policy()), ("m", medium_policy()), ("f", fast_policy())];
    let template = sim.rules.queues.remove(0);
    for (priority, (id_prefix, policy)) in policies.iter().enumerate() {
        sim.rules.queues.push(Queue {
            name: Name::new(id_prefix),
            prefix: Name::from(format!("{PREFIX}{id_prefix}")),
            priority: priority as u32,
            advice: Some(policy.clone()),
            ..template.clone()
        });
    }
    sim.advice_service = Some(AdviceService::new(policies, 3));
    assert!(sim.run_until(Duration::from_secs(5), |sim| sim.leader().is_some()));
    sim
}

fn count_completed(sim: &mut Simulation, id_prefix: &str, jobs: u32) -> u32 {
    let leader = sim.leader().expect("a node leads");
    let ids = (0..jobs).map(|number| Name::from(format!("{id_prefix}{number:03}")));
    let tokens: Vec<u64> = ids.map(|id| sim.call(leader, Operation::GetState(id))).collect();
    sim.run(Duration::from_millis(100));
    let completed = Answer::State(JobState::Completed);
    tokens.iter().filter(|token| sim.answers.get(token) == Some(&completed)).count() as u32
}

fn submit_gang(sim: &mut Simulation, id: &str) {
    let gang = Step { is_gang: true, ..step(GANG_SIZE, 1000) };
    sim.call(0, Operation::Submit(job(id, vec![gang])));
}

// Guards against a backlog of calls whose tickets expire before the room that they are for is free.
#[test]
fn burst_of_gangs_drains_at_rate_of_advice_service() {
    let mut sim = start_with_serial_advice(1, RUN_TIME);
    for number in 0..JOBS {
        submit_gang(&mut sim, &format!("s{number:03}"));
        sim.run(SUBMIT_INTERVAL);
    }
    // Two calls for each step: the room of its first tickets may be taken meanwhile.
    let service_time = max_duration(&slow_policy()) * JOBS * 2 / SLOW_CALL_NODES;
    let room_time = RUN_TIME * JOBS * GANG_SIZE / (WORKERS as u32 * TASKS_PER_WORKER);
    // One run time for the last tasks, and one for the room that gangs leave unused at the end.
    sim.run(service_time.max(room_time) + RUN_TIME * 2);
    assert_eq!(count_completed(&mut sim, "s", JOBS), JOBS);
    assert!(sim.advice_calls <= u64::from(2 * JOBS), "{} calls", sim.advice_calls);
    assert_eq!(sim.violations, Vec::<String>::new());
}

// Guards against medium and fast calls that wait behind all slow ones of higher priority.
#[test]
fn slow_backlog_does_not_delay_other_calls() {
    const OTHERS: u32 = 20;
    let mut sim = start_with_serial_advice(2, SHORT_RUN_TIME);
    for number in 0..JOBS {
        submit_gang(&mut sim, &format!("s{number:03}"));
    }
    sim.run(Duration::from_secs(1));
    for number in 0..OTHERS {
        for id_prefix in ["m", "f"] {
            let id = format!("{id_prefix}{number:03}");
            sim.call(0, Operation::Submit(job(&id, vec![step(1, 1000)])));
        }
        sim.run(SUBMIT_INTERVAL);
    }
    // Each may wait for a slow call under way and for the calls of its own class, and may need
    // a second call.
    let own = max_duration(&medium_policy()) * OTHERS / (SLOW_CALL_NODES - SLOW_CALL_NODES / 3);
    sim.run((max_duration(&slow_policy()) + own) * 2 + SHORT_RUN_TIME);
    assert_eq!(count_completed(&mut sim, "f", OTHERS), OTHERS);
    assert_eq!(count_completed(&mut sim, "m", OTHERS), OTHERS);
    assert!(count_completed(&mut sim, "s", JOBS) < JOBS, "the backlog outlasts the others");
}

// Guards against slow calls that never start while there are medium ones.
#[test]
fn medium_backlog_does_not_starve_slow_calls() {
    const SLOW_JOBS: u32 = 12;
    let mut sim = start_with_serial_advice(3, SHORT_RUN_TIME);
    let own = max_duration(&slow_policy()) * SLOW_JOBS / (SLOW_CALL_NODES / 3);
    let span = own * 2 + SHORT_RUN_TIME;
    // Twice the number of medium calls that all nodes for slow and medium calls can make.
    let interval = medium_policy().base_duration / (SLOW_CALL_NODES * 2);
    let end = sim.now + span;
    for number in 0.. {
        if sim.now >= end {
            break;
        }
        if number < SLOW_JOBS {
            sim.call(0, Operation::Submit(job(&format!("s{number:03}"), vec![step(1, 1000)])));
        }
        sim.call(0, Operation::Submit(job(&format!("m{number:03}"), vec![step(1, 1000)])));
        sim.run(interval);
    }
    assert_eq!(count_completed(&mut sim, "s", SLOW_JOBS), SLOW_JOBS);
}

// Guards against calls about a step that no worker may run.
#[test]
fn denied_step_makes_no_further_calls() {
    let mut sim = start_with_serial_advice(4, SHORT_RUN_TIME);
    sim.advice_service = Some(AdviceService::new(vec![("s", slow_policy())], 0));
    sim.call(0, Operation::Submit(job("s000", vec![step(1, 1000)])));
    sim.run(Duration::from_secs(20));
    let workers = u64::from(WORKERS as u32);
    assert!(sim.advice_calls <= workers, "{} calls", sim.advice_calls);
    let calls = sim.advice_calls;
    sim.run(Duration::from_secs(20));
    assert_eq!(sim.advice_calls, calls);
}

// Guards against a step that waits for an answer that a lost node would have got.
#[test]
fn call_of_killed_node_is_made_again() {
    let mut sim = start_with_serial_advice(5, SHORT_RUN_TIME);
    for number in 0..SLOW_CALL_NODES {
        sim.call(0, Operation::Submit(job(&format!("s{number:03}"), vec![step(1, 1000)])));
    }
    sim.run(Duration::from_millis(300));
    let leader = sim.leader().expect("a node leads");
    for node in (0..NODES).filter(|node| *node != leader).take(2) {
        sim.kill(node);
    }
    let call = max_duration(&slow_policy());
    // One call under way, one again, and one for a step whose first workers were all denied.
    sim.run(call * 3 + SHORT_RUN_TIME + Duration::from_secs(1));
    assert_eq!(count_completed(&mut sim, "s", SLOW_CALL_NODES), SLOW_CALL_NODES);
}
