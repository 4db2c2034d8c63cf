//! Gangs that would miss their target time take the room of checkpointed tasks of lower priority.

mod support;

use std::time::Duration;

use common::Name;
use scheduler::{
    ActiveRun, AdviceCapacity, AdvicePolicy, FinishedRun, Listing, Outcome, Queue, Resources,
    RunState, Scheduler, StartOrder, Step, StopOrder, Submission, TaskKey,
};
use support::{NO_DELAY, NOW, advice_policy, ample_advice, new_registration, rules, secs, step};

/// A pool of two-core workers with a queue of gangs and one of sweeps, whose priority is lower.
fn pool(workers: &[&str], advice: Option<AdvicePolicy>) -> Scheduler {
    let mut scheduler = Scheduler::default();
    let mut rules = rules(advice);
    let gangs = rules.queues.remove(0);
    let sweeps = Queue {
        name: Name::new("sweeps"),
        priority: 2,
        target_offset: secs(60),
        advice: None,
        ..gangs.clone()
    };
    rules.queues =
        vec![Queue { priority: 1, target_factor: 1.0, target_offset: secs(2), ..gangs }, sweeps];
    scheduler.set_rules(rules);
    for id in workers {
        scheduler.pool.register(new_registration(id, 2000));
        scheduler.pool.get_mut(id).expect("the worker is registered").has_current_token = true;
    }
    scheduler
}

fn submit(scheduler: &mut Scheduler, id: &str, queue: &str, step: Step, now: Duration) {
    let job = Submission { id: id.to_owned(), steps: vec![step], ..Submission::default() };
    scheduler.submit(job, Name::new(queue), now, 0);
}

fn sweep(count: u32) -> Step {
    Step { is_checkpointed: true, ..step(count) }
}

fn gang(count: u32) -> Step {
    Step { is_gang: true, ..step(count) }
}

/// Runs a pass; returns the starts, which are all sent.
fn plan(scheduler: &mut Scheduler, now: Duration) -> Vec<StartOrder> {
    scheduler.plan(now, NO_DELAY, ample_advice());
    let starts = std::mem::take(&mut scheduler.starts);
    for start in &starts {
        let worker = scheduler.pool.get_mut(&start.worker).expect("the worker is known");
        let run = worker.assignment_mut(&start.key, start.run).expect("the run is assigned");
        run.state = RunState::Sent;
        run.fate.record_send();
    }
    starts
}

/// Confirms starts at a time.
fn confirm(scheduler: &mut Scheduler, starts: &[StartOrder], now: Duration) {
    for start in starts {
        scheduler.confirm_start(start, now);
    }
}

/// Lists stopped runs as ended, with a checkpoint.
fn end_stopped(scheduler: &mut Scheduler, stops: &[StopOrder], now: Duration) {
    for (position, stop) in (1..).zip(stops) {
        let worker = scheduler.pool.get(&stop.worker).expect("the worker is known");
        let active = worker.assignments.iter().filter(|(key, _)| **key != stop.key);
        let running = active.map(|(key, run)| ActiveRun {
            key: Some(key.clone()),
            run: run.run,
            checkpoint: Name::default(),
            percent: 10,
        });
        let finished = vec![FinishedRun {
            position,
            key: Some(stop.key.clone()),
            run: stop.run,
            outcome: Some(Outcome::Stopped),
            checkpoint: Name::new("saved"),
        }];
        let listing =
            Listing { incarnation: 1, running: running.collect(), finished, is_complete: true };
        scheduler.apply_listing(&stop.worker, &listing, false, now, now, 0);
    }
}

/// A full pool of two workers with four tasks of a sweep, which run since `NOW`.
fn full_pool(step: Step) -> (Scheduler, Vec<StartOrder>) {
    let mut scheduler = pool(&["w1", "w2"], None);
    submit(&mut scheduler, "sweep", "sweeps", step, NOW);
    let starts = plan(&mut scheduler, NOW);
    confirm(&mut scheduler, &starts, NOW);
    (scheduler, starts)
}

fn stopped_jobs(scheduler: &Scheduler) -> Vec<&str> {
    scheduler.stops.iter().map(|stop| &*stop.key.job).collect()
}

/// Without preemption, the gang would wait for the sweep, whose run time nobody knows.
#[test]
fn late_gang_starts_in_room_of_checkpointed_tasks() {
    let (mut scheduler, _) = full_pool(sweep(4));
    let now = NOW + secs(2);
    submit(&mut scheduler, "gang", "q", gang(3), now);
    plan(&mut scheduler, now);
    assert_eq!(stopped_jobs(&scheduler), ["sweep"; 3]);
    let stops = std::mem::take(&mut scheduler.stops);

    // Another pass before the runs have ended stops no more.
    plan(&mut scheduler, now + Duration::from_millis(50));
    assert!(scheduler.stops.is_empty(), "{:?}", scheduler.stops);

    let now = now + Duration::from_millis(200);
    end_stopped(&mut scheduler, &stops, now);
    let starts = plan(&mut scheduler, now);
    assert_eq!(starts.iter().filter(|start| &*start.key.job == "gang").count(), 3);
    let saved = TaskKey { job: Name::new("sweep"), step: 0, index: stops[0].key.index };
    let job = scheduler.jobs.get("sweep").expect("the job is open");
    assert_eq!(job.checkpoint(&saved), Some(Name::new("saved")), "its work was lost");
}

/// A gang that has time left must not cost others a restart.
#[test]
fn gang_with_time_left_preempts_nothing() {
    let (mut scheduler, _) = full_pool(sweep(4));
    let now = NOW + secs(2);
    let slow = Step { estimate: 30_000, ..gang(3) };
    let mut rules = scheduler.rules.clone().expect("the rules are set");
    rules.queues[0].target_offset = secs(30);
    rules.version = 2;
    scheduler.set_rules(rules);
    submit(&mut scheduler, "gang", "q", slow, now);
    plan(&mut scheduler, now);
    assert!(scheduler.stops.is_empty(), "{:?}", scheduler.stops);
}

/// Work without a checkpoint, of equal priority, of a gang, or begun just now must not be thrown away.
#[test]
fn other_tasks_are_not_preempted() {
    let without_checkpoint = step(4);
    let of_gang = Step { is_checkpointed: true, ..gang(4) };
    for victim in [without_checkpoint, of_gang] {
        let (mut scheduler, _) = full_pool(victim.clone());
        submit(&mut scheduler, "gang", "q", gang(3), NOW + secs(2));
        plan(&mut scheduler, NOW + secs(2));
        assert!(scheduler.stops.is_empty(), "{victim:?}: {:?}", scheduler.stops);
    }
    let (mut scheduler, _) = full_pool(sweep(4));
    submit(&mut scheduler, "gang", "q", gang(3), NOW);
    plan(&mut scheduler, NOW + Duration::from_millis(500));
    assert!(scheduler.stops.is_empty(), "a run that has just begun: {:?}", scheduler.stops);
    let mut scheduler = pool(&["w1", "w2"], None);
    let mut rules = scheduler.rules.clone().expect("the rules are set");
    rules.queues[1].priority = rules.queues[0].priority;
    rules.version = 2;
    scheduler.set_rules(rules);
    submit(&mut scheduler, "equal", "sweeps", sweep(4), NOW);
    let starts = plan(&mut scheduler, NOW);
    confirm(&mut scheduler, &starts, NOW);
    submit(&mut scheduler, "gang", "q", gang(3), NOW + secs(2));
    plan(&mut scheduler, NOW + secs(2));
    assert!(scheduler.stops.is_empty(), "of equal priority: {:?}", scheduler.stops);
}

/// A task that would itself be late must not pay for the gang.
#[test]
fn tasks_without_time_left_are_not_preempted() {
    let (mut scheduler, _) = full_pool(sweep(4));
    let now = NOW + secs(61);
    submit(&mut scheduler, "gang", "q", gang(3), now);
    plan(&mut scheduler, now);
    assert!(scheduler.stops.is_empty(), "{:?}", scheduler.stops);
}

/// Stops that do not make room for the whole gang would only delay others.
#[test]
fn gang_that_would_not_fit_preempts_nothing() {
    let (mut scheduler, _) = full_pool(sweep(4));
    let now = NOW + secs(2);
    submit(&mut scheduler, "gang", "q", gang(5), now);
    plan(&mut scheduler, now);
    assert!(scheduler.stops.is_empty(), "{:?}", scheduler.stops);
}

/// Under a stream of gangs, each run of a preempted task still makes progress for a second.
#[test]
fn preempted_task_is_left_alone_after_its_next_start() {
    let (mut scheduler, _) = full_pool(sweep(4));
    let mut now = NOW + secs(2);
    let mut stops = 0;
    for number in 0..40 {
        submit(&mut scheduler, &format!("gang{number}"), "q", gang(2), now);
        let starts = plan(&mut scheduler, now);
        confirm(&mut scheduler, &starts, now);
        let stopped = std::mem::take(&mut scheduler.stops);
        for stop in &stopped {
            let worker = scheduler.pool.get(&stop.worker).expect("the worker is known");
            let began = worker.assignments[&stop.key].changed_at;
            assert!(now >= began + secs(1), "a run that began at {began:?} is stopped at {now:?}");
        }
        stops += stopped.len();
        end_stopped(&mut scheduler, &stopped, now);
        scheduler.cancel(&format!("gang{number}"), 0);
        let cancelled = std::mem::take(&mut scheduler.stops);
        end_stopped(&mut scheduler, &cancelled, now);
        now += Duration::from_millis(100);
    }
    assert!(stops > 0, "no gang preempted");
}

/// The advice calls about a gang that knows four busy workers, while another step lacks a daemon.
fn calls_of_gang_beside_shortage(target_offset: Duration) -> usize {
    let ids: Vec<String> = (0..40).map(|number| format!("w{number:02}")).collect();
    let ids: Vec<&str> = ids.iter().map(String::as_str).collect();
    let mut scheduler = pool(&ids, Some(advice_policy()));
    let mut rules = scheduler.rules.clone().expect("the rules are set");
    rules.queues[0].target_offset = target_offset;
    rules.version = 2;
    scheduler.set_rules(rules);
    submit(&mut scheduler, "gang", "q", gang(4), NOW);
    scheduler.plan(NOW, NO_DELAY, ample_advice());
    let call = std::mem::take(&mut scheduler.advice_calls).pop().expect("it asks for advice");
    let allowed: Vec<Name> = call.workers.iter().take(4).cloned().collect();
    // One worker has room for the other step.
    for id in &ids[..39] {
        scheduler.pool.get_mut(id).expect("the worker is known").allocated =
            Resources { cpu: 2000, mem: 0, gpus: 0 };
    }
    let tickets = allowed.into_iter().map(|id| (id, Name::new("t"))).collect();
    scheduler.apply_advice(&call.key, Some((tickets, secs(1))), NOW);

    let now = NOW + secs(2);
    submit(&mut scheduler, "other", "q", step(1), now);
    scheduler.plan(now, NO_DELAY, AdviceCapacity::default());
    scheduler.advice_calls.clear();
    scheduler.plan(now + Duration::from_millis(1), NO_DELAY, ample_advice());
    scheduler.advice_calls.iter().filter(|call| &*call.key.job == "gang").count()
}

/// Under load some step always lacks a daemon, so a gang whose few workers are busy would never learn
/// about others; one with time left still leaves the daemons to those that need them.
#[test]
fn gang_that_must_start_soon_learns_beside_shortage_of_advice() {
    assert!(calls_of_gang_beside_shortage(secs(2)) > 0, "it waits for its busy workers");
    assert_eq!(calls_of_gang_beside_shortage(secs(60)), 0, "it takes daemons from others");
}
