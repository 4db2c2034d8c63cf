//! Builds small pools, rules and jobs for the scheduler tests.

#![allow(dead_code, reason = "each test file uses only some items")]

pub mod cell;
pub mod idle;
pub mod load;
pub mod model;
pub mod shared;

use std::time::Duration;

use common::Name;
use scheduler::{
    ActiveRun, AdviceCapacity, AdviceKey, AdvicePolicy, CallClass, FinishedRun, Limits, Listing,
    Outcome, Queue, Registration, Resources, Rules, Scheduler, StartOrder, Step, Submission,
    TaskKey, Workspace, Workspaces,
};

pub const NOW: Duration = Duration::from_secs(10);
pub const NO_DELAY: Duration = Duration::ZERO;

pub fn secs(secs: u64) -> Duration {
    Duration::from_secs(secs)
}

pub fn rules(advice: Option<AdvicePolicy>) -> Rules {
    let queue = Queue {
        name: Name::new("q"),
        host: Name::new("h"),
        prefix: Name::new("/p/"),
        service: Name::new("s"),
        priority: 0,
        max_attempts: 2,
        target_factor: 2.0,
        target_offset: secs(1),
        advice,
        is_public: false,
    };
    let limits =
        Limits { header_bytes: 1, body_bytes: 1, header_timeout: secs(1), idle_timeout: secs(1) };
    Rules {
        version: 1,
        queues: vec![queue],
        services: Vec::new(),
        limits,
        workspaces: Workspaces::default(),
    }
}

pub fn advice_policy() -> AdvicePolicy {
    let base_duration = Duration::from_millis(7);
    AdvicePolicy {
        base_duration,
        duration_per_worker: Duration::from_micros(100),
        validity: Duration::from_millis(1500),
    }
}

pub fn new_registration(id: &str, cpu: u32) -> Registration {
    Registration {
        id: Name::new(id),
        incarnation: 1,
        address: Name::new("a"),
        service: Name::new("s"),
        zone: Name::new("z"),
        labels: vec![Name::new("kind"), Name::new("rack")],
        capacity: Resources { cpu, mem: 1000, gpus: 0 },
        is_draining: false,
    }
}

/// A pool of two-core workers that have acknowledged the fencing token.
pub fn pool(workers: &[&str], advice: Option<AdvicePolicy>) -> Scheduler {
    let mut scheduler = Scheduler::default();
    scheduler.set_rules(rules(advice));
    for id in workers {
        scheduler.pool.register(new_registration(id, 2000));
        scheduler.pool.get_mut(id).expect("the worker is registered").has_current_token = true;
    }
    scheduler
}

pub fn step(count: u32) -> Step {
    let need = Resources { cpu: 1000, mem: 100, gpus: 0 };
    Step { count, need, estimate: 1000, ..Step::default() }
}

pub fn submit(scheduler: &mut Scheduler, id: &str, steps: Vec<Step>) {
    let job =
        Submission { id: id.to_owned(), payload: String::new(), steps, ..Submission::default() };
    scheduler.submit(job, Name::new("q"), NOW, 0);
}

/// Rules of a version in which workspaces have limits.
pub fn limited_rules(
    version: u64,
    advice: Option<AdvicePolicy>,
    limits: &[(&str, Resources)],
) -> Rules {
    let workspaces = limits.iter().map(|(name, limit)| Workspace {
        name: Name::new(name),
        weight: 1,
        limit: *limit,
        keys: Vec::new(),
    });
    Rules { version, workspaces: Workspaces::new(workspaces), ..rules(advice) }
}

/// Submits a job that belongs to a workspace.
pub fn submit_in(scheduler: &mut Scheduler, workspace: &str, id: &str, steps: Vec<Step>) {
    let job = Submission {
        id: id.to_owned(),
        payload: String::new(),
        steps,
        workspace: workspace.to_owned(),
    };
    scheduler.submit(job, Name::new("q"), NOW, 0);
}

/// Applies a list of a worker on which a run has ended and others are active.
pub fn end_run<'a>(
    scheduler: &mut Scheduler,
    start: &StartOrder,
    outcome: Outcome,
    active: impl Iterator<Item = (&'a TaskKey, u32)>,
    now: Duration,
) {
    let finished = FinishedRun {
        position: 1,
        key: Some(start.key.clone()),
        run: start.run,
        outcome: Some(outcome),
        checkpoint: Name::default(),
    };
    let running = active.map(|(key, run)| ActiveRun {
        key: Some(key.clone()),
        run,
        checkpoint: Name::default(),
        percent: 10,
    });
    let listing = Listing {
        incarnation: 1,
        running: running.collect(),
        finished: vec![finished],
        is_complete: true,
    };
    scheduler.apply_listing(&start.worker, &listing, false, now, now, 0);
}

/// Answers the oldest pending advice call of a step.
pub fn answer_advice(
    scheduler: &mut Scheduler,
    job: &str,
    step: u32,
    allowed: Option<(Vec<(Name, Name)>, Duration)>,
    now: Duration,
) {
    let known = scheduler.jobs.get(job).expect("the job is known");
    let pending = &known.steps[step as usize].pending_advice;
    let (number, _) = pending.first_key_value().expect("advice was requested");
    let key = AdviceKey { job: Name::new(job), step, number: *number };
    scheduler.apply_advice(&key, allowed, now);
}

/// So many daemons that every call can start at once.
pub fn ample_advice() -> AdviceCapacity {
    advice_daemons(1000)
}

/// Capacity of idle daemons for advice calls.
pub fn advice_daemons(daemons: usize) -> AdviceCapacity {
    let mut capacity = AdviceCapacity::default();
    for class in CallClass::ALL {
        (0..daemons).for_each(|_| capacity.add_daemon(&[class], None, Duration::ZERO));
    }
    capacity
}
