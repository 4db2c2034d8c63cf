//! Tests of the check for idle jobs.

mod support;

use std::collections::HashSet;
use std::time::Duration;

use common::Name;
use scheduler::{Resources, Step, Submission, TaskKey};
use support::cell::{Cell, QueueConfig};
use support::idle::{IdleCheck, Room};
use support::{advice_policy, secs, step};

/// Places for tasks of [`step`] on a worker.
const PLACES: u32 = 10;

const CAPACITY: Resources = Resources { cpu: PLACES * 1000, mem: 64_000, gpus: 0 };

fn job(id: &str, steps: Vec<Step>) -> Submission {
    Submission { id: id.to_owned(), payload: String::new(), steps, ..Submission::default() }
}

fn gang(count: u32) -> Step {
    Step { is_gang: true, ..step(count) }
}

fn key(step: u32, index: u32) -> TaskKey {
    TaskKey { job: Name::new("j"), step, index }
}

/// A worker with so many places in use.
fn room(worker: &str, used: u32) -> Room {
    let free = Resources { cpu: CAPACITY.cpu - used * 1000, ..CAPACITY };
    Room { worker: Name::new(worker), capacity: CAPACITY, free }
}

/// A check of a job with the given steps.
fn check(steps: Vec<Step>) -> IdleCheck {
    let mut check = IdleCheck::default();
    check.add(&job("j", steps));
    check
}

/// Observes workers on which nothing of the job runs for so many seconds.
fn observe(check: &mut IdleCheck, span_s: u64, rooms: &[Room]) -> Vec<String> {
    let observe = |at| check.observe(secs(at), rooms, &HashSet::new(), |_, _, _, _| true);
    (0..=span_s).flat_map(observe).collect()
}

// Guards against a check that finds nothing.
#[test]
fn observe_job_without_runs() {
    let violations = observe(&mut check(vec![gang(5)]), 4, &[room("w", 0)]);
    assert_eq!(violations.len(), 1);
    assert!(violations[0].starts_with("j has had nothing running from 0ns to 4s: gang of 5 tasks"));
}

// Guards against reports of short waits.
#[test]
fn observe_short_wait() {
    assert!(observe(&mut check(vec![gang(5)]), 3, &[room("w", 0)]).is_empty());
}

// Guards against reports of jobs that the pool has no room for twice over.
#[test]
fn observe_room_for_less_than_twice_the_tasks() {
    assert!(observe(&mut check(vec![gang(6)]), 9, &[room("w", 0)]).is_empty());
    // One of these tasks would be enough to have something running.
    assert!(!observe(&mut check(vec![step(6)]), 9, &[room("w", 0)]).is_empty());
    let spread = Step { spread: 1, ..step(6) };
    assert!(observe(&mut check(vec![spread]), 9, &[room("w", 0)]).is_empty());
}

// Guards against reports of jobs that wait for a pool in use.
#[test]
fn observe_pool_half_in_use() {
    let steps = || vec![gang(2)];
    assert!(observe(&mut check(steps()), 9, &[room("a", 0), room("b", PLACES)]).is_empty());
    assert!(!observe(&mut check(steps()), 9, &[room("a", 0), room("b", PLACES - 1)]).is_empty());
}

// Guards against reports of steps that wait for others, and of jobs that have ended.
#[test]
fn observe_steps_in_turn() {
    let second = Step { after: vec![0], ..gang(20) };
    let mut check = check(vec![step(2), second]);
    check.record_success(&key(0, 0));
    assert!(observe(&mut check, 9, &[room("w", 0)])[0].contains("1 tasks of step 0"));
    check.record_success(&key(0, 1));
    assert!(observe(&mut check, 9, &[room("w", 0)]).is_empty(), "too large for the second");
    let rooms = ["a", "b", "c", "d"].map(|id| room(id, 0));
    assert!(observe(&mut check, 9, &rooms)[0].contains("gang of 20 tasks of step 1"));
    check.record_success(&key(1, 7));
    assert!(observe(&mut check, 9, &rooms).is_empty());
}

// Guards against reports of jobs with something running, or without a worker that may run them.
#[test]
fn observe_busy_job_and_denied_workers() {
    let id = Name::new("j");
    let mut check = check(vec![step(2)]);
    for at in 0..9 {
        let busy = if at == 3 || at == 6 { HashSet::from([&id]) } else { HashSet::new() };
        let rooms = [room("w", 0)];
        assert!(check.observe(secs(at), &rooms, &busy, |_, _, _, _| true).is_empty());
    }
    check.reset();
    for at in 9..20 {
        let rooms = [room("w", 0), room("full", PLACES - 1)];
        let may_run = |_: &_, _, _: &_, worker: &Name| &**worker == "full";
        assert!(check.observe(secs(at), &rooms, &HashSet::new(), may_run).is_empty());
    }
}

fn queue(allowed_percent: u64) -> QueueConfig {
    QueueConfig {
        name: "j",
        priority: 0,
        target_factor: 2.0,
        target_offset: secs(1),
        advice: advice_policy(),
        allowed_percent,
    }
}

/// A pool of four workers that have room for all gangs that are submitted to it.
fn start_with_gangs(queue: QueueConfig) -> Cell {
    let mut cell = Cell::new(4, CAPACITY, 3, vec![queue]);
    for number in 0..3 {
        let run_times = vec![vec![secs(2); 4]];
        cell.submit(job(&format!("j{number}"), vec![gang(4)]), run_times);
    }
    cell
}

// Guards against a check that trusts a scheduler which waits for advice without end.
#[test]
fn cell_without_answers_leaves_jobs_idle() {
    let mut cell = start_with_gangs(queue(100));
    cell.has_advice = false;
    cell.run_until(cell.now + secs(5));
    assert_eq!(cell.violations.len(), 3, "{:?}", cell.violations);
}

// Guards against reports of a pool that works, or whose workers are all denied.
#[test]
fn cell_with_advice_leaves_no_job_idle() {
    for allowed_percent in [100, 0] {
        let mut cell = start_with_gangs(queue(allowed_percent));
        cell.run_until(cell.now + secs(9));
        assert_eq!(cell.violations, Vec::<String>::new());
    }
}

// Guards against reports of jobs that wait in a full pool.
#[test]
fn full_cell_leaves_no_job_idle() {
    let mut cell = Cell::new(4, CAPACITY, 3, vec![queue(100)]);
    for number in 0..40 {
        let run_times = vec![vec![Duration::from_millis(900); 10]];
        cell.submit(job(&format!("j{number}"), vec![gang(10)]), run_times);
    }
    cell.run_until(cell.now + secs(15));
    assert_eq!(cell.violations, Vec::<String>::new());
    assert_eq!(cell.unstarted_jobs("j"), 0);
}
