//! Workers that renew their leases and do not start tasks, in a simulated cell.

mod support;

use std::time::Duration;

use common::Name;
use control::Operation;
use support::{PathFaults, Simulation, job, step};

/// Number of workers; one of them starts no task.
const WORKERS: usize = 10;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Starts a cell and submits six jobs after `break_worker`.
fn six_jobs(break_worker: impl Fn(&mut Simulation, &Name)) -> Simulation {
    let mut sim = Simulation::new(1, 1, WORKERS);
    sim.run_time = Some(ms(20_000));
    assert!(sim.run_until(ms(5000), |sim| sim.leader().is_some()));
    sim.run(ms(500));
    break_worker(&mut sim, &Name::new("w0"));
    for number in 0..6 {
        sim.call(0, Operation::Submit(job(&format!("j{number}"), vec![step(1, 20_000)])));
    }
    sim
}

/// Number of active runs of a worker.
fn active(sim: &Simulation, worker: &str) -> usize {
    sim.workers[&Name::new(worker)].running.len()
}

// Guards against a worker that refuses each start and keeps all tasks from nine sound, idle ones.
#[test]
fn worker_that_refuses_starts_does_not_hold_up_jobs() {
    let set = |sim: &mut Simulation, id: &Name, refuses: bool| {
        sim.workers.get_mut(id).expect("the worker exists").refuses_starts = refuses;
    };
    let mut sim = six_jobs(|sim, id| set(sim, id, true));
    sim.run(ms(1000));
    assert_eq!(sim.started_runs, 6);
    sim.run(ms(5500));
    let refused = sim.workers[&Name::new("w0")].refused_starts;
    assert!(refused <= 6, "{refused} starts were refused");
    set(&mut sim, &Name::new("w0"), false);
    for number in 6..40 {
        sim.call(0, Operation::Submit(job(&format!("j{number}"), vec![step(1, 20_000)])));
    }
    sim.run(ms(4000));
    assert_eq!((sim.started_runs, active(&sim, "w0")), (40, 4), "it is used again");
    assert_eq!(sim.violations, Vec::<String>::new());
}

// Guards against a worker that no start reaches and on which each next job spends a time limit.
#[test]
fn worker_that_no_start_reaches_holds_up_no_later_jobs() {
    let mut sim = six_jobs(|sim, id| {
        sim.lossy_workers.insert(id.clone());
        sim.faults.path =
            PathFaults { not_connected_share: 1.0, spares_renewals: true, ..PathFaults::default() };
    });
    sim.run(ms(1000));
    assert_eq!((sim.started_runs, active(&sim, "w0")), (6, 0));
    for number in 6..20 {
        sim.call(0, Operation::Submit(job(&format!("j{number}"), vec![step(1, 20_000)])));
        sim.run(ms(200));
        assert_eq!(sim.started_runs, number + 1, "no later job waits");
    }
    sim.lossy_workers.clear();
    for number in 20..40 {
        sim.call(0, Operation::Submit(job(&format!("j{number}"), vec![step(1, 20_000)])));
    }
    sim.run(ms(4000));
    assert_eq!((sim.started_runs, active(&sim, "w0")), (40, 4), "it is used again");
    assert_eq!(sim.violations, Vec::<String>::new());
}
