//! Room that steps hold for their advice calls.

mod support;

use std::time::Duration;

use common::Name;
use scheduler::{
    AdviceCall, AdvicePolicy, Outcome, Queue, RunState, Scheduler, StartOrder, Step, Submission,
};
use support::{
    NO_DELAY, NOW, advice_policy, ample_advice, answer_advice, new_registration, pool, rules, step,
};

/// Validity of tickets.
const VALIDITY: Duration = Duration::from_millis(1500);

/// Time between two passes.
const TICK: Duration = Duration::from_millis(10);

/// Queue without advice whose jobs rank above the others.
const HIGH: &str = "high";

/// Queue with advice.
const ADVISED: &str = "advised";

/// Queue without advice whose jobs rank below the others.
const LOW: &str = "low";

/// Two workers with two places each, all occupied by a job of the highest rank.
fn full_pool(advice: AdvicePolicy) -> (Scheduler, Vec<StartOrder>) {
    let mut scheduler = pool(&["w1", "w2"], None);
    let mut rules = rules(None);
    let template = rules.queues.remove(0);
    for (priority, name) in (0..).zip([HIGH, ADVISED, LOW]) {
        let advice = (name == ADVISED).then(|| advice.clone());
        rules.queues.push(Queue { name: Name::new(name), priority, advice, ..template.clone() });
    }
    scheduler.set_rules(rules);
    submit(&mut scheduler, HIGH, "full", step(4));
    let starts = place(&mut scheduler, NOW);
    for start in &starts {
        let worker = scheduler.pool.get_mut(&start.worker).expect("the worker is known");
        let assignment = worker.assignment_mut(&start.key, start.run);
        assignment.expect("the run is assigned").state = RunState::Sent;
        scheduler.confirm_start(start, NOW);
    }
    (scheduler, starts)
}

/// Two workers of which the first is free, and a step that may run on both and calls for tickets.
fn pool_with_call(spec: Step) -> (Scheduler, Vec<StartOrder>) {
    let (mut scheduler, runs) = full_pool(advice_policy());
    end_runs(&mut scheduler, &runs, "w1");
    submit_known(&mut scheduler, spec, &["w1", "w2"]);
    let calls = plan(&mut scheduler, NOW);
    assert!(calls.iter().any(|call| call.workers.contains(&Name::new("w1"))), "{calls:?}");
    (scheduler, runs)
}

fn submit(scheduler: &mut Scheduler, queue: &str, id: &str, spec: Step) {
    let job = Submission {
        id: id.to_owned(),
        payload: String::new(),
        steps: vec![spec],
        ..Submission::default()
    };
    scheduler.submit(job, Name::new(queue), NOW, 0);
}

/// Submits a step that has learned which workers may run it, but has no valid ticket.
fn submit_known(scheduler: &mut Scheduler, spec: Step, workers: &[&str]) {
    submit(scheduler, ADVISED, "job", spec);
    let pending = workers.iter().map(|id| Name::new(id)).collect();
    let job = scheduler.jobs.get_mut("job").expect("the job is known");
    job.steps[0].pending_advice.insert(0, pending);
    answer_advice(scheduler, "job", 0, Some((tickets(workers), Duration::ZERO)), NOW);
}

fn gang(count: u32) -> Step {
    Step { is_gang: true, ..step(count) }
}

fn tickets(workers: &[&str]) -> Vec<(Name, Name)> {
    workers.iter().map(|id| (Name::new(id), Name::new("t"))).collect()
}

/// Answers the call of the step with tickets for some workers, and denies the others.
fn answer(scheduler: &mut Scheduler, workers: &[&str]) {
    answer_advice(scheduler, "job", 0, Some((tickets(workers), VALIDITY)), NOW);
}

/// Runs a pass; returns its calls.
fn plan(scheduler: &mut Scheduler, now: Duration) -> Vec<AdviceCall> {
    scheduler.plan(now, NO_DELAY, ample_advice());
    std::mem::take(&mut scheduler.advice_calls)
}

/// Runs a pass; returns its starts.
fn place(scheduler: &mut Scheduler, now: Duration) -> Vec<StartOrder> {
    plan(scheduler, now);
    std::mem::take(&mut scheduler.starts)
}

/// Number of tasks of a job that a pass starts on a worker.
fn started(starts: &[StartOrder], job: &str, worker: &str) -> usize {
    starts.iter().filter(|start| &*start.key.job == job && &*start.worker == worker).count()
}

/// Ends the runs of a worker.
fn end_runs(scheduler: &mut Scheduler, runs: &[StartOrder], worker: &str) {
    let mut active: Vec<&StartOrder> = runs.iter().filter(|run| &*run.worker == worker).collect();
    while let Some(ended) = active.pop() {
        let others = active.iter().map(|run| (&run.key, run.run));
        support::end_run(scheduler, ended, Outcome::Done, others, NOW);
    }
}

/// Asserts that a step of higher rank finds no place while a call is under way, and two on the first
/// worker once something has happened.
fn assert_freed_by(spec: Step, event: impl FnOnce(&mut Scheduler)) {
    let (mut scheduler, _) = pool_with_call(spec);
    submit(&mut scheduler, HIGH, "other", step(2));
    assert_eq!(place(&mut scheduler, NOW + TICK), [], "the room is held");
    event(&mut scheduler);
    let starts = place(&mut scheduler, NOW + TICK);
    assert_eq!(started(&starts, "other", "w1"), 2, "{starts:?}");
}

// Guards against a reservation that moves to other workers as runs end there, so that a step of
// lower rank takes the room that the call names.
#[test]
fn held_room_is_kept_when_runs_end_elsewhere() {
    let (mut scheduler, runs) = full_pool(advice_policy());
    end_runs(&mut scheduler, &runs, "w2");
    submit_known(&mut scheduler, gang(2), &["w1", "w2"]);
    let calls = plan(&mut scheduler, NOW);
    assert_eq!(calls[0].workers, [Name::new("w2")]);
    end_runs(&mut scheduler, &runs, "w1");
    submit(&mut scheduler, LOW, "other", step(2));
    let starts = place(&mut scheduler, NOW + TICK);
    assert_eq!(started(&starts, "other", "w1"), 2, "{starts:?}");
    answer(&mut scheduler, &["w2"]);
    let starts = place(&mut scheduler, NOW + TICK);
    assert_eq!(started(&starts, "job", "w2"), 2, "{starts:?}");
}

// Guards against a gang that is late for ever, as steps of higher rank keep taking the room that
// its calls name.
#[test]
fn gang_starts_with_its_tickets_beside_higher_rank() {
    let (mut scheduler, _) = pool_with_call(gang(2));
    submit(&mut scheduler, HIGH, "other", step(2));
    assert_eq!(place(&mut scheduler, NOW + TICK), []);
    answer(&mut scheduler, &["w1"]);
    let starts = place(&mut scheduler, NOW + TICK);
    assert_eq!(started(&starts, "job", "w1"), 2, "{starts:?}");
}

// Guards against room that is held for a call that has failed.
#[test]
fn failed_call_frees_room() {
    assert_freed_by(step(2), |scheduler| answer_advice(scheduler, "job", 0, None, NOW));
}

// Guards against room that is held on a worker that may not run the step.
#[test]
fn denied_worker_is_freed() {
    assert_freed_by(step(2), |scheduler| answer(scheduler, &[]));
}

// Guards against room that is held for a job that has ended.
#[test]
fn cancelled_job_frees_room() {
    assert_freed_by(step(2), |scheduler| assert!(scheduler.cancel("job", 0)));
}

// Guards against room that is held on a worker that comes back without it.
#[test]
fn worker_that_left_is_freed() {
    assert_freed_by(step(2), |scheduler| {
        assert!(scheduler.mark_unlisted("w1"), "it has no runs");
        assert_eq!(place(scheduler, NOW + TICK), []);
        scheduler.pool.register(new_registration("w1", 2000));
        scheduler.pool.get_mut("w1").expect("it is registered").has_current_token = true;
    });
}

// Guards against room that is held for longer than its tickets are valid, or not as long.
#[test]
fn expired_tickets_free_room() {
    let (mut scheduler, _) = pool_with_call(gang(2));
    answer(&mut scheduler, &["w1"]);
    // One of its places is lost, so that the gang cannot start.
    scheduler.pool.register(new_registration("w1", 1000));
    submit(&mut scheduler, HIGH, "other", step(1));
    for now in [NOW + TICK, NOW + Duration::from_secs(1)] {
        assert_eq!(place(&mut scheduler, now), [], "its ticket is valid");
    }
    let starts = place(&mut scheduler, NOW + VALIDITY);
    assert_eq!(started(&starts, "other", "w1"), 1, "{starts:?}");
}

// Guards against room that is held although the limit per worker keeps the step from using it.
#[test]
fn step_with_spread_holds_what_it_may_use() {
    let (mut scheduler, _) = pool_with_call(Step { spread: 1, ..step(2) });
    submit(&mut scheduler, HIGH, "other", step(2));
    let starts = place(&mut scheduler, NOW + TICK);
    assert_eq!(started(&starts, "other", "w1"), 1, "{starts:?}");
}

/// Slow advice; a call about two workers takes 0.6 s.
fn slow_policy() -> AdvicePolicy {
    let base_duration = Duration::from_millis(600);
    AdvicePolicy { base_duration, duration_per_worker: Duration::ZERO, validity: VALIDITY }
}

// Guards against a gang that asks only once all of its room is free, which is then idle until the
// tickets arrive, or asks so early that they expire.
#[test]
fn gang_calls_before_its_room_is_free() {
    let (mut scheduler, runs) = full_pool(slow_policy());
    end_runs(&mut scheduler, &runs, "w1");
    submit_known(&mut scheduler, gang(4), &["w1", "w2"]);
    assert!(plan(&mut scheduler, NOW + TICK).is_empty(), "the other runs last for 1 s");
    let calls = plan(&mut scheduler, NOW + Duration::from_millis(500));
    let named: Vec<&Name> = calls.iter().flat_map(|call| &call.workers).collect();
    assert_eq!(named, ["w1", "w2"].map(Name::new).iter().collect::<Vec<_>>());
    // The awaited room becomes free, and others want it.
    end_runs(&mut scheduler, &runs, "w2");
    submit(&mut scheduler, LOW, "other", step(4));
    let later = NOW + Duration::from_secs(1);
    assert_eq!(place(&mut scheduler, later), []);
    answer(&mut scheduler, &["w1", "w2"]);
    let starts = place(&mut scheduler, later);
    assert_eq!(started(&starts, "job", "w1") + started(&starts, "job", "w2"), 4, "{starts:?}");
}
