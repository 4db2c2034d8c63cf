//! Prints the mean duration of a scheduling pass over many open jobs.
//!
//! `cargo run --release -p scheduler --example pass_cost`

#[path = "../tests/support/mod.rs"]
mod support;

use std::time::{Duration, Instant};

use common::Name;
use scheduler::{Resources, Scheduler, Step};
use support::{
    NO_DELAY, NOW, advice_daemons, advice_policy, new_registration, rules, step, submit,
};

const WORKERS: usize = 350;
const JOBS: usize = 3000;
const DAEMONS: usize = 13;
const PASSES: u32 = 200;

/// A large pool with sixteen places on each worker; one queue needs advice, if any.
fn large_pool(needs_advice: bool) -> Scheduler {
    let mut scheduler = Scheduler::default();
    scheduler.set_rules(rules(needs_advice.then(advice_policy)));
    for number in 0..WORKERS {
        let mut registration = new_registration(&format!("worker-{number:04}"), 16_000);
        registration.capacity.mem = 64_000;
        let id = registration.id.clone();
        scheduler.pool.register(registration);
        scheduler.pool.get_mut(&id).expect("the worker is registered").has_current_token = true;
    }
    scheduler
}

fn fill_workers(scheduler: &mut Scheduler, free_cpu: u32) {
    for number in 0..WORKERS {
        let worker = scheduler.pool.get_mut(&format!("worker-{number:04}"));
        worker.expect("the worker is registered").allocated =
            Resources { cpu: 16_000 - free_cpu, mem: 0, gpus: 0 };
    }
}

fn submit_jobs(scheduler: &mut Scheduler, steps: &[Step]) {
    for number in 0..JOBS {
        submit(scheduler, &format!("{number:016x}"), steps.to_vec());
    }
}

/// Mean duration of a pass; between passes, answers to a few calls arrive.
fn pass_duration(scheduler: &mut Scheduler) -> Duration {
    let mut total = Duration::ZERO;
    for pass in 0..PASSES {
        let now = NOW + Duration::from_millis(20) * pass;
        let started = Instant::now();
        scheduler.plan(now, NO_DELAY, advice_daemons(DAEMONS));
        total += started.elapsed();
        scheduler.starts.clear();
        let validity = Duration::from_millis(1500);
        for call in scheduler.advice_calls.drain(..).collect::<Vec<_>>() {
            let allowed = call.workers.into_iter().step_by(2);
            let allowed = allowed.map(|id| (id, Name::new("ticket"))).collect();
            scheduler.apply_advice(&call.job, call.step, Some((allowed, validity)), now);
        }
    }
    total / PASSES
}

fn main() {
    let mut scheduler = large_pool(false);
    fill_workers(&mut scheduler, 900);
    submit_jobs(&mut scheduler, &[step(4)]);
    println!("all waiting, no room: {:?}", pass_duration(&mut scheduler));

    let mut scheduler = large_pool(false);
    submit_jobs(&mut scheduler, &[step(1)]);
    scheduler.plan(NOW, NO_DELAY, advice_daemons(DAEMONS));
    println!("3,000 to place: {:?}", pass_duration(&mut scheduler));
    println!("all running: {:?}", pass_duration(&mut scheduler));

    let mut scheduler = large_pool(false);
    fill_workers(&mut scheduler, 1500);
    submit_jobs(&mut scheduler, &[Step { requirement: "none".to_owned(), ..step(4) }]);
    println!("all waiting for a label, room: {:?}", pass_duration(&mut scheduler));

    let mut scheduler = large_pool(true);
    fill_workers(&mut scheduler, 900);
    submit_jobs(&mut scheduler, &[Step { is_gang: true, ..step(4) }]);
    println!("gangs with advice, no room: {:?}", pass_duration(&mut scheduler));

    let mut scheduler = large_pool(true);
    fill_workers(&mut scheduler, 2000);
    submit_jobs(&mut scheduler, &[step(4)]);
    println!("tasks with advice, some room: {:?}", pass_duration(&mut scheduler));
}
