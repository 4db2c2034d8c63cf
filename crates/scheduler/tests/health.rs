//! Tests of the backoff of workers that refuse starts or fail runs.

mod support;

use std::collections::BTreeSet;
use std::time::Duration;

use common::Name;
use scheduler::{
    Outcome, Phase, Refusal, Rules, RunState, Scheduler, StartOrder, Step, Submission,
};
use support::{NO_DELAY, NOW, ample_advice, new_registration, pool, secs, step, submit};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn place(scheduler: &mut Scheduler, now: Duration) -> Vec<StartOrder> {
    scheduler.plan(now, NO_DELAY, ample_advice());
    std::mem::take(&mut scheduler.starts)
}

fn refuse(scheduler: &mut Scheduler, start: &StartOrder, reason: Refusal, now: Duration) {
    let proof = scheduler.not_started(start).expect("it was not sent");
    scheduler.reject_start(start, proof, reason, now, 0);
}

fn confirm(scheduler: &mut Scheduler, start: &StartOrder, now: Duration) {
    let worker = scheduler.pool.get_mut(&start.worker).expect("the worker is known");
    let assignment = worker.assignment_mut(&start.key, start.run);
    assignment.expect("the run is assigned").state = RunState::Sent;
    scheduler.confirm_start(start, now);
}

fn end(scheduler: &mut Scheduler, start: &StartOrder, outcome: Outcome, now: Duration) {
    let worker = scheduler.pool.get(&start.worker).expect("the worker is known");
    let assigned = worker.assignments.clone();
    let others = assigned.iter().filter(|(key, _)| **key != start.key);
    support::end_run(scheduler, start, outcome, others.map(|(key, run)| (key, run.run)), now);
}

/// Places one task and lets its worker refuse it as unhealthy; the task's job is then cancelled.
fn refuse_next(scheduler: &mut Scheduler, job: &str, now: Duration) {
    submit(scheduler, job, vec![step(1)]);
    let starts = place(scheduler, now);
    refuse(scheduler, &starts[0], Refusal::Unhealthy, now);
    scheduler.cancel(job, 0);
}

fn workers(starts: &[StartOrder]) -> Vec<&str> {
    starts.iter().map(|start| &*start.worker).collect()
}

// Guards against a worker that refuses each start and is chosen again for each waiting task.
#[test]
fn worker_that_refuses_is_passed_over_and_returns_by_one_trial() {
    let mut scheduler = pool(&["w1", "w2"], None);
    submit(&mut scheduler, "j", vec![step(2)]);
    let starts = place(&mut scheduler, NOW);
    assert_eq!(workers(&starts), ["w1", "w1"]);
    for start in &starts {
        refuse(&mut scheduler, start, Refusal::Unhealthy, NOW);
    }
    let starts = place(&mut scheduler, NOW);
    assert_eq!(workers(&starts), ["w2", "w2"]);
    submit(&mut scheduler, "k", vec![step(2)]);
    assert_eq!(place(&mut scheduler, NOW + ms(199)).len(), 0, "both refusals count once");
    let trial = place(&mut scheduler, NOW + ms(200));
    assert_eq!(workers(&trial), ["w1"], "one trial, although two tasks would fit");
    assert_eq!(place(&mut scheduler, NOW + secs(9)).len(), 0, "its trial is under way");
    confirm(&mut scheduler, &trial[0], NOW + secs(9));
    assert_eq!(workers(&place(&mut scheduler, NOW + secs(9))), ["w1"]);
}

// Guards against a worker that is tried at a constant rate, and against one that is never tried.
#[test]
fn backoff_grows_up_to_a_bound_and_work_is_tried_without_other_workers() {
    let mut scheduler = pool(&["w1"], None);
    submit(&mut scheduler, "j", vec![step(1)]);
    let (mut now, mut last, mut waits) = (NOW, NOW, Vec::new());
    while now < NOW + secs(20) {
        if let Some(start) = place(&mut scheduler, now).first() {
            refuse(&mut scheduler, start, Refusal::Unhealthy, now);
            waits.push(now.saturating_sub(last).as_millis());
            last = now;
        }
        now += ms(10);
    }
    assert_eq!(waits, [0, 200, 400, 800, 1600, 3200, 3200, 3200, 3200, 3200]);
    let trial = place(&mut scheduler, now + secs(4));
    confirm(&mut scheduler, &trial[0], now + secs(4));
    end(&mut scheduler, &trial[0], Outcome::Done, now + secs(5));
    assert_eq!(scheduler.jobs["j"].phase, Phase::Completed);
}

// Guards against backoff for refusals that say nothing of the worker's health.
#[test]
fn other_refusals_do_not_count_against_worker() {
    for reason in [Refusal::NoCapacity, Refusal::Ticket, Refusal::StaleToken, Refusal::Withdrawn] {
        let mut scheduler = pool(&["w1", "w2"], None);
        submit(&mut scheduler, "j", vec![step(1)]);
        for _ in 0..5 {
            let starts = place(&mut scheduler, NOW);
            assert_eq!(workers(&starts), ["w1"], "{reason:?}");
            refuse(&mut scheduler, &starts[0], reason, NOW);
        }
    }
}

// Guards against a job that every worker refuses, which would close them all one by one.
#[test]
fn step_that_all_refuse_closes_one_worker_and_is_delayed() {
    let mut scheduler = pool(&["w1", "w2", "w3", "w4"], None);
    submit(&mut scheduler, "bad", vec![step(1)]);
    let (mut tried, mut refusals) = (BTreeSet::new(), 0);
    for tick in 0..500 {
        let now = NOW + ms(tick * 10);
        for start in place(&mut scheduler, now) {
            refuse(&mut scheduler, &start, Refusal::Unhealthy, now);
            tried.insert(start.worker.to_string());
            refusals += 1;
        }
        let passed_over = scheduler.pool.iter().filter(|worker| !worker.is_usable(now));
        assert!(passed_over.count() <= 1, "at {now:?}");
    }
    assert_eq!(tried.len(), 4, "it is tried on each worker");
    assert!(refusals < 14, "{refusals} refusals");
    let reason = scheduler.first_wait_reason("bad", NOW + secs(5));
    assert_eq!(reason, Some(scheduler::WaitReason::Refused { workers: 4 }));
    submit(&mut scheduler, "good", vec![step(6)]);
    assert!(place(&mut scheduler, NOW + secs(5)).len() >= 6);
}

// Guards against a worker that fails each run at once and gets the next tasks as the idlest.
#[test]
fn worker_that_fails_is_passed_over_and_returns_by_one_trial() {
    let mut scheduler = pool(&["w1", "w2"], None);
    for number in 0..3 {
        let job = format!("j{number}");
        submit(&mut scheduler, &job, vec![step(1)]);
        let starts = place(&mut scheduler, NOW);
        assert_eq!(workers(&starts), ["w1"]);
        confirm(&mut scheduler, &starts[0], NOW);
        end(&mut scheduler, &starts[0], Outcome::Failed, NOW);
        scheduler.cancel(&job, 0);
    }
    assert_eq!(scheduler.newly_quarantined, [Name::new("w1")]);
    submit(&mut scheduler, "others", vec![step(2)]);
    assert_eq!(workers(&place(&mut scheduler, NOW)), ["w2", "w2"]);
    submit(&mut scheduler, "waiting", vec![step(2)]);
    assert_eq!(place(&mut scheduler, NOW + ms(2999)).len(), 0);
    let trial = place(&mut scheduler, NOW + secs(3));
    assert_eq!(workers(&trial), ["w1"]);
    confirm(&mut scheduler, &trial[0], NOW + secs(3));
    assert_eq!(place(&mut scheduler, NOW + secs(3)).len(), 0, "the trial has to last");
    assert_eq!(place(&mut scheduler, NOW + secs(4)).len(), 1);
}

// Guards against a job that fails on each worker by its own fault and closes them one by one.
#[test]
fn step_that_fails_everywhere_closes_one_worker() {
    let mut scheduler = pool(&["w1", "w2", "w3"], None);
    submit(&mut scheduler, "bad", vec![step(40)]);
    let mut failures = 0;
    for tick in 0.. {
        let now = NOW + ms(tick * 10);
        let starts = place(&mut scheduler, now);
        for start in &starts {
            confirm(&mut scheduler, start, now);
        }
        for start in &starts {
            end(&mut scheduler, start, Outcome::Failed, now);
            failures += 1;
        }
        if scheduler.jobs["bad"].phase == Phase::Failed {
            break;
        }
    }
    assert!(failures > 9, "{failures} failures are enough to close all workers");
    let closed: BTreeSet<_> = scheduler.newly_quarantined.iter().collect();
    assert_eq!(closed, BTreeSet::from([&Name::new("w1")]));
}

// Guards against a gang that waits for ever on workers that take one trial at a time.
#[test]
fn gang_is_placed_on_workers_that_need_trials() {
    let mut scheduler = pool(&["w1", "w2"], None);
    refuse_next(&mut scheduler, "a", NOW);
    refuse_next(&mut scheduler, "b", NOW);
    submit(&mut scheduler, "gang", vec![Step { is_gang: true, ..step(4) }]);
    assert_eq!(place(&mut scheduler, NOW + ms(199)).len(), 0);
    assert_eq!(place(&mut scheduler, NOW + ms(200)).len(), 4);
}

/// A pool of one worker with room for eight tasks.
fn pool_of_one() -> Scheduler {
    let mut scheduler = pool(&[], None);
    scheduler.pool.register(new_registration("w1", 8000));
    scheduler.pool.get_mut("w1").expect("the worker is registered").has_current_token = true;
    scheduler
}

/// Places what fits and lets all of it fail; returns the jobs of the runs.
fn fail_all(scheduler: &mut Scheduler, now: Duration) -> Vec<Name> {
    let starts = place(scheduler, now);
    for start in &starts {
        confirm(scheduler, start, now);
    }
    for start in &starts {
        end(scheduler, start, Outcome::Failed, now);
    }
    starts.into_iter().map(|start| start.key.job).collect()
}

// Guards against a job that can never be done and closes the only worker that fits another one.
#[test]
fn hopeless_job_leaves_its_only_worker_to_others() {
    let mut scheduler = pool_of_one();
    submit(&mut scheduler, "bad", vec![step(8)]);
    assert_eq!(fail_all(&mut scheduler, NOW).len(), 8);
    assert_eq!(scheduler.newly_quarantined, [Name::new("w1")], "the third run closes it");
    submit(&mut scheduler, "good", vec![step(2)]);
    let trial = place(&mut scheduler, NOW);
    assert_eq!(trial.iter().map(|start| &*start.key.job).collect::<Vec<_>>(), ["good"]);
    confirm(&mut scheduler, &trial[0], NOW);
    assert_eq!(place(&mut scheduler, NOW + ms(900)).len(), 0, "the trial has to last");
    end(&mut scheduler, &trial[0], Outcome::Done, NOW + ms(900));
    let starts = place(&mut scheduler, NOW + ms(900));
    assert_eq!(starts.len(), 8, "the success speaks for the worker");
}

// Guards against runs that were under way as a quarantine began and doubled it one by one.
#[test]
fn failures_under_way_do_not_lengthen_quarantine() {
    let mut scheduler = pool_of_one();
    let mut rules = support::rules(None);
    rules.queues[0].max_attempts = 9;
    scheduler.set_rules(Rules { version: 2, ..rules });
    submit(&mut scheduler, "bad", vec![step(8)]);
    fail_all(&mut scheduler, NOW);
    assert_eq!(place(&mut scheduler, NOW + ms(2999)).len(), 0);
    assert_eq!(fail_all(&mut scheduler, NOW + secs(3)).len(), 1, "one trial");
    assert_eq!(place(&mut scheduler, NOW + ms(8999)).len(), 0, "its failure counts");
    assert_eq!(place(&mut scheduler, NOW + secs(9)).len(), 1);
}

// Guards against a trial that jobs whose runs failed on the worker take before those that have none there.
#[test]
fn trial_goes_first_to_job_that_has_not_failed() {
    let mut scheduler = pool_of_one();
    for id in ["bad1", "bad2", "bad3"] {
        submit(&mut scheduler, id, vec![step(2)]);
    }
    assert_eq!(fail_all(&mut scheduler, NOW).len(), 6);
    assert_eq!(place(&mut scheduler, NOW + ms(2999)).len(), 0, "it is closed to all");
    submit(&mut scheduler, "good", vec![step(1)]);
    let trial = place(&mut scheduler, NOW + secs(4));
    assert_eq!(trial.iter().map(|start| &*start.key.job).collect::<Vec<_>>(), ["good"]);
}

// Guards against a job whose starts are always refused and that keeps the only worker from another one.
#[test]
fn refused_job_leaves_its_only_worker_to_others() {
    let mut scheduler = pool(&["w1"], None);
    submit(&mut scheduler, "bad", vec![step(1)]);
    for tick in 0..1000 {
        let now = NOW + ms(tick * 10);
        if let Some(start) = place(&mut scheduler, now).first() {
            refuse(&mut scheduler, start, Refusal::Unhealthy, now);
        }
        if tick >= 100 {
            let wait = scheduler.first_wait("bad", now).map(|wait| wait.to_string());
            assert!(wait.is_some_and(|wait| wait.contains("worker w1")), "at {now:?}");
        }
    }
    submit(&mut scheduler, "good", vec![step(1)]);
    let starts = place(&mut scheduler, NOW + secs(10));
    assert_eq!(starts.iter().map(|start| &*start.key.job).collect::<Vec<_>>(), ["good"]);
}

// Guards against jobs that can never be done and close the only worker that fits to the others for long,
// and against a worker that is tried too soon while others fit.
#[test]
fn several_hopeless_jobs_close_worker_briefly_to_steps_without_another() {
    for others in [0, 1] {
        let mut scheduler = pool_of_one();
        if others > 0 {
            scheduler.pool.register(new_registration("w2", 1000));
            scheduler.pool.get_mut("w2").expect("it is registered").has_current_token = true;
            submit(&mut scheduler, "long", vec![step(1)]);
            assert_eq!(workers(&place(&mut scheduler, NOW)), ["w2"]);
        }
        for id in ["bad1", "bad2", "bad3"] {
            submit(&mut scheduler, id, vec![step(2)]);
        }
        assert_eq!(fail_all(&mut scheduler, NOW).len(), 6);
        submit(&mut scheduler, "good", vec![step(1)]);
        assert_eq!(place(&mut scheduler, NOW + ms(2499)).len(), 0);
        let trial = place(&mut scheduler, NOW + ms(2500));
        assert_eq!(trial.len(), 1 - others, "{others} others");
        assert_eq!(place(&mut scheduler, NOW + secs(3)).len(), others, "{others} others");
    }
}

/// Longest time for which good jobs have nothing running while one job in twenty can never be done, as
/// many as come at once on the users' days, and one worker fits them all.
fn longest_idle_time(seed: u64) -> Duration {
    let draw = |tick: u64, what: &str, of: u64| {
        common::stable_hash(format!("{seed} {tick} {what}").as_bytes()) % of
    };
    let mut scheduler = pool_of_one();
    let mut running: Vec<(Duration, StartOrder)> = Vec::new();
    let (mut idle_since, mut longest) = (None, Duration::ZERO);
    let is_bad = |key: &scheduler::TaskKey| key.job.starts_with("bad");
    for tick in 0..1500_u64 {
        let now = NOW + ms(tick * 20);
        if tick < 1000 && draw(tick, "arrival", 10) == 0 {
            let (kind, count) = if draw(tick, "kind", 20) == 0 { ("bad", 8) } else { ("good", 1) };
            let id = format!("{kind}{tick}");
            let job = Submission { id, steps: vec![step(count)], ..Submission::default() };
            scheduler.submit(job, Name::new("q"), now, 0);
        }
        for (_, start) in running.extract_if(.., |(end, _)| *end <= now) {
            let outcome = if is_bad(&start.key) { Outcome::Failed } else { Outcome::Done };
            end(&mut scheduler, &start, outcome, now);
        }
        for start in place(&mut scheduler, now) {
            confirm(&mut scheduler, &start, now);
            running.push((now + ms(if is_bad(&start.key) { 50 } else { 100 }), start));
        }
        let is_running = running.iter().any(|(_, start)| !is_bad(&start.key));
        let is_open = |(id, job): (&Name, &scheduler::Job)| {
            id.starts_with("good") && job.phase == Phase::Open
        };
        let is_idle = !is_running && scheduler.jobs.iter().any(is_open);
        idle_since = if is_idle { idle_since.or(Some(now)) } else { None };
        longest = longest.max(idle_since.map_or(longest, |since| now.saturating_sub(since)));
    }
    longest
}

// Guards against good jobs that wait behind a stream of hopeless ones for the only worker that fits.
#[test]
fn hopeless_share_of_stream_leaves_good_jobs_running() {
    let count = std::env::var("BRONZERAIL_SCHEDULES").ok().and_then(|text| text.parse().ok());
    for seed in 1..=count.unwrap_or(4) {
        let longest = longest_idle_time(seed);
        assert!(longest < secs(3), "seed {seed}: good jobs had nothing running for {longest:?}");
    }
}

#[test]
fn wait_names_worker_that_is_passed_over() {
    let mut scheduler = pool(&["w1", "w2"], None);
    refuse_next(&mut scheduler, "a", NOW);
    submit(&mut scheduler, "busy", vec![step(2)]);
    assert_eq!(workers(&place(&mut scheduler, NOW)), ["w2", "w2"]);
    submit(&mut scheduler, "j", vec![step(1)]);
    let wait = scheduler.first_wait("j", NOW + ms(50)).expect("the job waits");
    assert_eq!(
        wait.to_string(),
        "workers with room, as w1, refused starts or failed tasks; worker w1 is expected to have \
         room in 150 ms"
    );
}
