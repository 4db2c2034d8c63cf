//! Tasks under which workers crash: what is counted and stored, where they are placed, and when they
//! are given up.

mod support;

use std::time::Duration;

use common::Name;
use prost::Message;
use scheduler::{
    Job, JobDiff, Listing, Loss, Outcome, Phase, Registration, Resources, Restored, Scheduler,
    Segment, SegmentBuilder, Site, StartOrder, Step, TaskKey,
};
use support::{NO_DELAY, NOW, ample_advice, end_run, new_registration, pool, secs, step, submit};

/// Time after a start at which its run has surely not ended.
const EARLY: Duration = Duration::from_millis(300);

/// Time for which nothing of a job may run, although there is ample room and its turn has come.
const IDLE_SPAN: Duration = Duration::from_secs(3);

/// Runs a pass and starts what it places; the workers confirm the starts.
fn place(scheduler: &mut Scheduler, now: Duration) -> Vec<StartOrder> {
    scheduler.plan(now, NO_DELAY, ample_advice());
    let starts = std::mem::take(&mut scheduler.starts);
    for start in &starts {
        send(scheduler, start);
        scheduler.confirm_start(start, now);
    }
    starts
}

/// Runs passes until one starts a task, which it must within the time for which a job may be idle.
fn place_within_idle_span(scheduler: &mut Scheduler, now: Duration) -> StartOrder {
    let times = (0..IDLE_SPAN.as_millis() as u64).step_by(100).map(Duration::from_millis);
    let mut starts = times.flat_map(|wait| place(scheduler, now + wait));
    starts.next().expect("it is started")
}

/// Records that a start was sent.
fn send(scheduler: &mut Scheduler, start: &StartOrder) {
    let worker = scheduler.pool.get_mut(&start.worker).expect("the worker is known");
    let assignment = worker.assignment_mut(&start.key, start.run).expect("the run is assigned");
    assignment.state = scheduler::RunState::Sent;
    assignment.fate.record_send();
}

/// Replaces a worker by another one, of which a request to the first has told.
fn crash(scheduler: &mut Scheduler, id: &Name, next: &str, now: Duration) {
    scheduler.mark_unlisted(id);
    scheduler.abandon_runs(id, Loss::Crash, now, 0);
    add_worker(scheduler, next);
}

fn add_worker(scheduler: &mut Scheduler, id: &str) {
    scheduler.pool.register(new_registration(id, 2000));
    scheduler.pool.get_mut(id).expect("the worker is registered").has_current_token = true;
}

/// Proven and doubtful crashes of the first task of job `j1`.
fn crash_counts(scheduler: &Scheduler) -> (u8, u8) {
    let task = &scheduler.jobs["j1"].steps[0].tasks[0];
    (task.crashes, task.doubtful_crashes)
}

/// What a next leader reads of a job.
fn restore(stored: &Job) -> Job {
    let mut builder = SegmentBuilder::default();
    builder.add(&JobDiff::full(stored));
    let bound = builder.size();
    let bytes = builder.finish();
    assert!(bytes.len() <= bound);
    let mut restored = None;
    let segment = Segment::decode(&*bytes).expect("it was encoded");
    segment.restore(|record, _, _| {
        if let Restored::Job(job) = record {
            restored = Some(job);
        }
    });
    restored.expect("the job is restored")
}

/// A registration with an address.
fn at(address: &str, registration: Registration) -> Registration {
    Registration { address: Name::new(address), ..registration }
}

fn phase(scheduler: &Scheduler, job: &str) -> Phase {
    scheduler.jobs[job].phase
}

fn key(job: &str, index: u32) -> TaskKey {
    TaskKey { job: Name::new(job), step: 0, index }
}

/// A list of a worker's incarnation on which nothing runs.
fn empty_listing(incarnation: u64) -> Listing {
    Listing { incarnation, running: Vec::new(), finished: Vec::new(), is_complete: true }
}

// Guards against a task that is started again without end while it crashes worker after worker.
#[test]
fn task_alone_on_two_crashed_workers_fails_its_job() {
    let mut scheduler = pool(&["w1", "w2", "w3"], None);
    submit(&mut scheduler, "j1", vec![step(1)]);
    for round in 0..2 {
        assert_eq!(phase(&scheduler, "j1"), Phase::Open, "round {round}");
        let starts = place(&mut scheduler, NOW + secs(round));
        assert_eq!(starts.len(), 1, "round {round}");
        crash(&mut scheduler, &starts[0].worker, &format!("n{round}"), NOW + secs(round));
    }
    assert_eq!(phase(&scheduler, "j1"), Phase::Failed);
    assert_eq!(scheduler.crashing_tasks, [key("j1", 0)]);
    assert_eq!(place(&mut scheduler, NOW + secs(9)), Vec::new());
}

// Guards against a neighbour that is given up for what another task has done.
#[test]
fn neighbour_on_one_crashed_worker_completes() {
    let mut scheduler = pool(&["w1"], None);
    submit(&mut scheduler, "deadly", vec![step(1)]);
    submit(&mut scheduler, "other", vec![step(1)]);
    let starts = place(&mut scheduler, NOW);
    assert_eq!(starts.len(), 2);
    add_worker(&mut scheduler, "w2");
    crash(&mut scheduler, &Name::new("w1"), "w3", NOW);
    let starts = place(&mut scheduler, NOW);
    assert_eq!(starts.len(), 2);
    assert_ne!(starts[0].worker, starts[1].worker, "each is tried on a worker of its own");
    let of = |job: &str| starts.iter().find(|start| *start.key.job == *job).expect("it is started");
    crash(&mut scheduler, &of("deadly").worker, "w4", NOW + EARLY);
    end_run(&mut scheduler, of("other"), Outcome::Done, std::iter::empty(), NOW + secs(2));
    assert_eq!(phase(&scheduler, "deadly"), Phase::Failed);
    assert_eq!(phase(&scheduler, "other"), Phase::Completed);
}

// Guards against tasks beside one on trial, which would crash with it.
#[test]
fn others_keep_away_from_worker_with_task_on_trial() {
    let mut scheduler = pool(&["w1", "w2"], None);
    submit(&mut scheduler, "j1", vec![step(1)]);
    let first = place(&mut scheduler, NOW);
    crash(&mut scheduler, &first[0].worker, "w3", NOW);
    let trial = place(&mut scheduler, NOW).remove(0);
    submit(&mut scheduler, "j2", vec![step(2)]);
    let others = place(&mut scheduler, NOW);
    assert_eq!(others.len(), 2);
    assert!(others.iter().all(|start| start.worker != trial.worker), "{others:?}");
    // With no other room, they use the rest of that worker.
    submit(&mut scheduler, "j3", vec![step(1)]);
    let last = place(&mut scheduler, NOW);
    assert_eq!(last.iter().map(|start| &start.worker).collect::<Vec<_>>(), [&trial.worker]);
}

// Guards against a step whose tasks crash many workers at a time, as each is tried on its own.
#[test]
fn step_under_which_several_workers_crashed_tries_one_worker() {
    let workers: Vec<String> = (0..8).map(|number| format!("w{number}")).collect();
    let ids: Vec<&str> = workers.iter().map(String::as_str).collect();
    let mut scheduler = pool(&ids, None);
    submit(&mut scheduler, "j1", vec![step(6)]);
    let starts = place(&mut scheduler, NOW);
    let mut used: Vec<Name> = starts.into_iter().map(|start| start.worker).collect();
    used.dedup();
    assert_eq!(used.len(), 3);
    for worker in &used {
        crash(&mut scheduler, worker, &format!("n{worker}"), NOW);
    }
    let trial = place(&mut scheduler, NOW);
    assert!(trial.iter().all(|start| start.worker == trial[0].worker), "{trial:?}");
    assert_eq!(trial.len(), 2);
    assert_eq!(place(&mut scheduler, NOW + secs(1)), Vec::new(), "the others wait for the trial");
    submit(&mut scheduler, "j2", vec![step(14)]);
    let others = place(&mut scheduler, NOW + secs(1));
    assert!(others.iter().all(|start| start.worker != trial[0].worker), "{others:?}");
    crash(&mut scheduler, &trial[0].worker, "n9", NOW + EARLY);
    assert_eq!(phase(&scheduler, "j1"), Phase::Failed);
}

// Guards against innocent tasks that wait for each other longer than a trial takes.
#[test]
fn step_goes_on_after_its_trial() {
    let mut scheduler = pool(&["w1", "w2", "w3", "w4"], None);
    submit(&mut scheduler, "j1", vec![step(4)]);
    let starts = place(&mut scheduler, NOW);
    for (number, worker) in [&starts[0].worker, &starts[2].worker].into_iter().enumerate() {
        crash(&mut scheduler, worker, &format!("n{number}"), NOW);
    }
    assert_eq!(place(&mut scheduler, NOW).len(), 2);
    assert_eq!(place(&mut scheduler, NOW + secs(1)), Vec::new());
    assert_eq!(place(&mut scheduler, NOW + secs(2)).len(), 2);
}

// Guards against a count that a new leader does not know, so that a task begins anew under each.
#[test]
fn crashes_survive_storing() {
    let mut scheduler = pool(&["w1", "w2", "w3"], None);
    submit(&mut scheduler, "j1", vec![step(2)]);
    let first = place(&mut scheduler, NOW);
    crash(&mut scheduler, &first[0].worker, "n1", NOW);
    let second = place(&mut scheduler, NOW);
    let stored = &scheduler.jobs["j1"];
    let job = restore(stored);
    assert_eq!(job.steps[0].tasks, stored.steps[0].tasks);
    let site = Site { address: Name::new("a"), incarnation: 1 };
    let task = &job.steps[0].tasks[0];
    assert_eq!((task.site.as_deref(), task.crashes), (Some(&site), 1));

    // The next leader, which has not heard of the worker, asks at its former address.
    let mut next = pool(&[], None);
    next.add_job(job);
    let worker = next.pool.get(&second[0].worker).expect("it holds a run");
    assert_eq!((&*worker.registration.address, worker.is_listed), ("a", false));
    next.abandon_runs(&second[0].worker, Loss::Crash, NOW, 0);
    let task = &next.jobs["j1"].steps[0].tasks[0];
    assert_eq!((task.crashes, task.doubtful_crashes), (1, 1), "nobody knows whether it ran");
}

// Guards against a worker that returns under its id, and a task on it whose crash is counted by the
// leader that sees it and by the next one again.
#[test]
fn later_life_under_same_id_is_one_crash() {
    let mut scheduler = pool(&["w1"], None);
    scheduler.apply_listing(&Name::new("w1"), &empty_listing(1), false, NOW, NOW, 0);
    submit(&mut scheduler, "j1", vec![step(1)]);
    let start = place(&mut scheduler, NOW).remove(0);
    for time in [NOW + EARLY, NOW + secs(2)] {
        scheduler.apply_listing(&start.worker, &empty_listing(7), true, time, time, 0);
        assert_eq!(scheduler.jobs["j1"].steps[0].tasks[0].crashes, 1);
    }
}

// Guards against a start without an answer that is sent again to the worker's next life.
#[test]
fn unanswered_start_is_stopped_in_next_life() {
    let mut scheduler = pool(&["w1"], None);
    scheduler.apply_listing(&Name::new("w1"), &empty_listing(1), false, NOW, NOW, 0);
    submit(&mut scheduler, "j1", vec![step(1)]);
    scheduler.plan(NOW, NO_DELAY, ample_advice());
    let start = scheduler.starts.remove(0);
    send(&mut scheduler, &start);
    let worker = scheduler.pool.get_mut("w1").expect("the worker is known");
    worker.assignment_mut(&start.key, 1).expect("it is assigned").fate.record_unanswered(NOW);
    let later = NOW + secs(3);
    scheduler.apply_listing(&start.worker, &empty_listing(7), true, later, later, 0);
    assert_eq!(scheduler.stops.iter().map(|stop| &stop.key).collect::<Vec<_>>(), [&start.key]);
    let task = &scheduler.jobs["j1"].steps[0].tasks[0];
    assert_eq!((task.crashes, task.doubtful_crashes), (0, 1));
}

// Guards against a run that is counted for each later life of its worker until its stop is confirmed.
#[test]
fn run_that_is_being_stopped_counts_one_crash() {
    let mut scheduler = pool(&["w1"], None);
    scheduler.apply_listing(&Name::new("w1"), &empty_listing(1), false, NOW, NOW, 0);
    submit(&mut scheduler, "j1", vec![step(1)]);
    scheduler.plan(NOW, NO_DELAY, ample_advice());
    let start = scheduler.starts.remove(0);
    send(&mut scheduler, &start);
    let worker = scheduler.pool.get_mut("w1").expect("the worker is known");
    worker.assignment_mut(&start.key, 1).expect("it is assigned").fate.record_unanswered(NOW);
    for (later, incarnation) in [(3, 7), (6, 9), (9, 11)] {
        let now = NOW + secs(later);
        scheduler.apply_listing(&start.worker, &empty_listing(incarnation), false, now, now, 0);
    }
    assert_eq!(scheduler.jobs["j1"].steps[0].tasks[0].lost_workers(), 1);
}

// Guards against a job that fails as its workers were cut off and lost their leases.
#[test]
fn silent_worker_that_answers_again_counts_for_nothing() {
    let mut scheduler = pool(&["w1"], None);
    let id = Name::new("w1");
    scheduler.apply_listing(&id, &empty_listing(1), false, NOW, NOW, 0);
    submit(&mut scheduler, "j1", vec![step(1)]);
    for round in 0..6 {
        let now = NOW + secs(20 * round);
        assert_eq!(place(&mut scheduler, now).len(), 1, "round {round}");
        scheduler.abandon_runs(&id, Loss::Silence, now, 0);
        let doubtful =
            |scheduler: &Scheduler| scheduler.jobs["j1"].steps[0].tasks[0].lost_workers();
        assert_eq!(doubtful(&scheduler), 1, "round {round}");
        scheduler.apply_listing(&id, &empty_listing(1), false, now, now, 0);
        assert_eq!(doubtful(&scheduler), 0, "round {round}");
    }
    assert_eq!(phase(&scheduler, "j1"), Phase::Open);
}

// Guards against a crash that is not noticed, as the worker's next life has a lower name.
#[test]
fn worker_that_restarted_with_lower_name_has_crashed() {
    for loss in [None, Some(Loss::Silence)] {
        let mut scheduler = pool(&[], None);
        let id = Name::new("w1");
        scheduler.register(Registration { incarnation: 9, ..new_registration("w1", 2000) }, 0);
        scheduler.apply_listing(&id, &empty_listing(9), false, NOW, NOW, 0);
        submit(&mut scheduler, "j1", vec![step(1)]);
        assert_eq!(place(&mut scheduler, NOW).len(), 1);
        let later = NOW + EARLY;
        if let Some(loss) = loss {
            scheduler.abandon_runs(&id, loss, later, 0);
        }
        scheduler.apply_listing(&id, &empty_listing(4), true, later, later, 0);
        let (proven, doubtful) = crash_counts(&scheduler);
        assert_eq!(proven + doubtful, 1, "{loss:?}");
        assert_eq!(place(&mut scheduler, later), Vec::new(), "its registration is not known");
        scheduler.register(Registration { incarnation: 4, ..new_registration("w1", 2000) }, 0);
        scheduler.apply_listing(&id, &empty_listing(4), false, later, later, 0);
        assert_eq!(place(&mut scheduler, later + secs(9)).len(), 1, "{loss:?}");
    }
}

// Guards against a job that fails as its workers were silent, left the list and came back unharmed.
#[test]
fn silent_worker_that_left_the_list_and_answers_again_counts_for_nothing() {
    let mut scheduler = pool(&["w1"], None);
    let id = Name::new("w1");
    scheduler.apply_listing(&id, &empty_listing(1), false, NOW, NOW, 0);
    submit(&mut scheduler, "j1", vec![step(1)]);
    for round in 0..6 {
        let now = NOW + secs(20 * round);
        assert_eq!(place(&mut scheduler, now).len(), 1, "round {round}");
        // It leaves the list before its lease expires, or after it.
        if round % 2 == 0 {
            scheduler.mark_unlisted(&id);
        }
        scheduler.abandon_runs(&id, Loss::Silence, now, 0);
        scheduler.mark_unlisted(&id);
        assert!(scheduler.pool.get(&id).is_none(), "round {round}");
        add_worker(&mut scheduler, "w1");
        scheduler.apply_listing(&id, &empty_listing(1), false, now, now, 0);
        let task = &scheduler.jobs["j1"].steps[0].tasks[0];
        assert_eq!(task.lost_workers(), 0, "round {round}");
    }
    assert_eq!(phase(&scheduler, "j1"), Phase::Open);
}

// Guards against a job that fails though none of its workers is known to have crashed.
#[test]
fn task_on_silent_workers_does_not_fail_its_job() {
    let workers: Vec<String> = (0..9).map(|number| format!("w{number}")).collect();
    let ids: Vec<&str> = workers.iter().map(String::as_str).collect();
    let mut scheduler = pool(&ids, None);
    submit(&mut scheduler, "j1", vec![step(1)]);
    for round in 0..8 {
        let now = NOW + secs(20 * round);
        let start = place_within_idle_span(&mut scheduler, now);
        scheduler.mark_unlisted(&start.worker);
        scheduler.abandon_runs(&start.worker, Loss::Silence, now + IDLE_SPAN, 0);
        assert_eq!(phase(&scheduler, "j1"), Phase::Open, "round {round}");
    }
}

// Guards against a silence that counts for nothing although the worker's next life shows a crash, and
// against taking that for proof: the run's lease had expired when the worker may have crashed.
#[test]
fn silent_worker_that_restarted_has_crashed_perhaps_without_the_run() {
    let mut scheduler = pool(&["w1"], None);
    let id = Name::new("w1");
    scheduler.apply_listing(&id, &empty_listing(1), false, NOW, NOW, 0);
    submit(&mut scheduler, "j1", vec![step(1)]);
    place(&mut scheduler, NOW);
    scheduler.abandon_runs(&id, Loss::Silence, NOW, 0);
    assert_eq!(crash_counts(&scheduler), (0, 0));
    scheduler.apply_listing(&id, &empty_listing(7), true, NOW + secs(9), NOW + secs(9), 0);
    assert_eq!(crash_counts(&scheduler), (0, 1));
    assert_eq!(scheduler.jobs["j1"].steps[0].tasks[0].silent_workers, Vec::new());
}

// Guards against a task that is started without end while the workers that it crashes are silent at first.
#[test]
fn task_on_four_silent_workers_that_crashed_fails_its_job() {
    let mut scheduler = pool(&[], None);
    for id in ["w1", "w2", "w3", "w4", "w5"] {
        scheduler.pool.register(at(id, new_registration(id, 2000)));
        scheduler.pool.get_mut(id).expect("the worker is registered").has_current_token = true;
    }
    submit(&mut scheduler, "j1", vec![step(1)]);
    for round in 0..4 {
        assert_eq!(phase(&scheduler, "j1"), Phase::Open, "round {round}");
        let now = NOW + secs(20 * round);
        let start = place_within_idle_span(&mut scheduler, now);
        scheduler.mark_unlisted(&start.worker);
        scheduler.abandon_runs(&start.worker, Loss::Silence, now + secs(4), 0);
        assert_eq!(crash_counts(&scheduler), (0, round as u8), "round {round}");
        // Another process registers at its address.
        let next = Registration { incarnation: 2, ..new_registration(&format!("n{round}"), 2000) };
        scheduler.register(at(&start.worker, next), 0);
        assert_eq!(crash_counts(&scheduler), (0, round as u8 + 1), "round {round}");
    }
    assert_eq!(phase(&scheduler, "j1"), Phase::Failed);
    assert_eq!(scheduler.crashing_tasks, [key("j1", 0)]);
}

// Guards against the same if the next process is listed before the lease of the former one expires.
#[test]
fn silent_worker_with_successor_has_crashed() {
    let mut scheduler = pool(&["w1"], None);
    submit(&mut scheduler, "j1", vec![step(1)]);
    let start = place(&mut scheduler, NOW).remove(0);
    let next = Registration { incarnation: 2, ..new_registration("w2", 2000) };
    scheduler.register(next, 0);
    scheduler.abandon_runs(&start.worker, Loss::Silence, NOW + secs(4), 0);
    assert_eq!(crash_counts(&scheduler), (0, 1));
}

// Guards against a third and later starts while the workers of the former ones may be crashing.
#[test]
fn task_on_four_silent_workers_awaits_news_of_them() {
    let mut scheduler = pool(&["w1", "w2", "w3", "w4", "w5"], None);
    submit(&mut scheduler, "j1", vec![step(1)]);
    for round in 0..4 {
        let start = place(&mut scheduler, NOW + secs(round)).remove(0);
        scheduler.mark_unlisted(&start.worker);
        scheduler.abandon_runs(&start.worker, Loss::Silence, NOW + secs(round), 0);
    }
    assert_eq!(place(&mut scheduler, NOW + secs(4)), Vec::new());
    // One of them answers.
    add_worker(&mut scheduler, "w2");
    scheduler.apply_listing(&Name::new("w2"), &empty_listing(1), false, NOW, NOW, 0);
    assert_eq!(place(&mut scheduler, NOW + secs(4)).len(), 1);
}

// Guards against a next leader that does not know of silent workers, and so never hears of a crash.
#[test]
fn silent_workers_survive_storing() {
    let mut scheduler = pool(&["w1", "w2"], None);
    submit(&mut scheduler, "j1", vec![step(2)]);
    for round in 0..2 {
        let start = place(&mut scheduler, NOW + secs(round)).remove(0);
        scheduler.mark_unlisted(&start.worker);
        scheduler.abandon_runs(&start.worker, Loss::Silence, NOW + secs(round), 0);
    }
    let stored = &scheduler.jobs["j1"];
    let silent = |job: &Job, index: usize| job.steps[0].tasks[index].silent_workers.clone();
    assert_eq!(silent(stored, 0).len(), 2);
    let job = restore(stored);
    assert_eq!([silent(&job, 0), silent(&job, 1)], [silent(stored, 0), silent(stored, 1)]);

    let mut next = pool(&["w1", "w2"], None);
    next.add_job(job);
    next.apply_listing(&Name::new("w1"), &empty_listing(1), false, NOW, NOW, 0);
    next.apply_listing(&Name::new("w2"), &empty_listing(2), false, NOW, NOW, 0);
    assert_eq!(crash_counts(&next), (0, 1));
    assert_eq!(next.jobs["j1"].steps[0].tasks[0].silent_workers, Vec::new());
}

// Guards against a next leader that has read the list of workers before its jobs, and so misses a crash.
#[test]
fn silent_worker_with_successor_has_crashed_for_next_leader() {
    let mut scheduler = pool(&["w1"], None);
    submit(&mut scheduler, "j1", vec![step(1)]);
    let start = place(&mut scheduler, NOW).remove(0);
    scheduler.abandon_runs(&start.worker, Loss::Silence, NOW, 0);
    let job = restore(&scheduler.jobs["j1"]);
    let mut next = pool(&[], None);
    next.register(Registration { incarnation: 2, ..new_registration("w2", 2000) }, 0);
    next.add_job(job);
    assert_eq!(crash_counts(&next), (0, 0));
    next.explain_silences(0);
    assert_eq!(crash_counts(&next), (0, 1));
}

// Guards against a run that has ended, unknown to the leader, before its worker crashed.
#[test]
fn crash_after_expected_run_time_is_doubtful() {
    let mut scheduler = pool(&["w1"], None);
    submit(&mut scheduler, "j1", vec![step(1)]);
    let start = place(&mut scheduler, NOW).remove(0);
    crash(&mut scheduler, &start.worker, "w2", NOW + secs(2));
    let task = &scheduler.jobs["j1"].steps[0].tasks[0];
    assert_eq!((task.crashes, task.doubtful_crashes), (0, 1));
}

// Guards against tasks that are suspected since their worker was taken away as announced.
#[test]
fn departure_counts_for_nothing() {
    let mut scheduler = pool(&["w1", "w2"], None);
    submit(&mut scheduler, "j1", vec![step(1)]);
    let start = place(&mut scheduler, NOW).remove(0);
    scheduler.abandon_runs(&start.worker, Loss::Departure, NOW, 0);
    assert_eq!(scheduler.jobs["j1"].steps[0].tasks[0].lost_workers(), 0);
}

// Guards against a gang that is tried beside other tasks after its workers crashed twice.
#[test]
fn suspected_gang_waits_for_vacant_workers() {
    let mut scheduler = pool(&["w1", "w2", "w3"], None);
    let gang = Step { is_gang: true, ..step(4) };
    submit(&mut scheduler, "j1", vec![gang]);
    let mut used: Vec<Name> =
        place(&mut scheduler, NOW).into_iter().map(|start| start.worker).collect();
    used.dedup();
    for worker in &used {
        crash(&mut scheduler, worker, &format!("n{worker}"), NOW);
    }
    submit(
        &mut scheduler,
        "j2",
        vec![Step { need: Resources { cpu: 500, mem: 10, gpus: 0 }, ..step(1) }],
    );
    scheduler.jobs.get_mut("j1").expect("it is known").steps[0].tasks[0].crashes = 2;
    let starts = place(&mut scheduler, NOW);
    let (gang, others): (Vec<_>, Vec<_>) =
        starts.into_iter().partition(|start| *start.key.job == *"j1");
    assert_eq!((gang.len(), others.len()), (4, 1));
    assert!(gang.iter().all(|start| start.worker != others[0].worker));
}
