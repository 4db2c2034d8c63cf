//! Tests of the check for idle jobs in the simulation.

mod support;

use std::time::Duration;

use common::Name;
use control::{Answer, Operation};
use scheduler::{AdvicePolicy, JobState, Step};
use support::{AdviceService, Simulation, job, rules, step};

const NODES: usize = 3;
const WORKERS: usize = 4;

/// Places for tasks of [`step`] in the pool.
const PLACES: u32 = 4 * WORKERS as u32;

fn secs(secs: u64) -> Duration {
    Duration::from_secs(secs)
}

fn gang(count: u32) -> Step {
    Step { is_gang: true, ..step(count, 500) }
}

/// A cell whose leader leads for some seconds.
fn start(needs_advice: bool) -> Simulation {
    let mut sim = Simulation::new(1, NODES, WORKERS);
    sim.rules = rules(needs_advice);
    assert!(sim.run_until(secs(5), |sim| sim.leader().is_some()));
    sim.run(secs(6));
    sim
}

/// An advice service that answers after days.
fn silent_advice() -> AdviceService {
    let policy = AdvicePolicy {
        base_duration: Duration::from_hours(48),
        duration_per_worker: Duration::ZERO,
        validity: Duration::from_millis(1500),
    };
    AdviceService::new(vec![("j", policy)], 10)
}

// Guards against a check that trusts a leader which waits for advice without end.
#[test]
fn waiting_for_advice_is_reported() {
    let mut sim = start(true);
    sim.advice_service = Some(silent_advice());
    assert_eq!(sim.submit(job("j1", vec![gang(4)])), Some(Answer::Accepted));
    sim.run(secs(4));
    assert_eq!(sim.violations.len(), 1, "{:?}", sim.violations);
    assert!(sim.violations[0].starts_with("j1 has had nothing running"), "{:?}", sim.violations);
}

// Guards against reports of jobs that callers have cancelled.
#[test]
fn cancelled_job_is_not_reported() {
    let mut sim = start(true);
    sim.advice_service = Some(silent_advice());
    assert_eq!(sim.submit(job("j1", vec![gang(4)])), Some(Answer::Accepted));
    sim.call(0, Operation::Cancel(Name::new("j1")));
    sim.run(secs(9));
    assert_eq!(sim.violations, Vec::<String>::new());
}

// Guards against reports of jobs that wait while and shortly after a fault is switched on.
#[test]
fn waits_near_faults_are_not_reported() {
    let mut sim = start(true);
    sim.advice_service = Some(silent_advice());
    assert_eq!(sim.submit(job("j1", vec![gang(4)])), Some(Answer::Accepted));
    sim.cut_from_workers.insert((0, Name::new("w0")));
    sim.run(secs(5));
    sim.cut_from_workers.clear();
    sim.run(secs(7));
    assert_eq!(sim.violations, Vec::<String>::new());
    sim.run(secs(2));
    assert_eq!(sim.violations.len(), 1, "{:?}", sim.violations);
}

// Guards against reports of jobs that wait in a full pool.
#[test]
fn full_pool_is_not_reported() {
    for needs_advice in [false, true] {
        let mut sim = start(needs_advice);
        sim.run_time = Some(secs(2));
        // However long a job waits, its completion is of use, so that none is refused.
        sim.rules.queues[0].target_offset = Duration::from_hours(1);
        sim.run(secs(1));
        for number in 0..8 {
            let steps = vec![gang(PLACES / 2), Step { after: vec![0], ..step(PLACES, 500) }];
            let id = format!("j{number}");
            assert_eq!(sim.submit(job(&id, steps)), Some(Answer::Accepted), "{id}");
        }
        sim.run(secs(40));
        for number in 0..8 {
            let id = format!("j{number}");
            assert_eq!(sim.state(&id), Some(Answer::State(JobState::Completed)), "{id}");
        }
        assert_eq!(sim.violations, Vec::<String>::new());
    }
}
