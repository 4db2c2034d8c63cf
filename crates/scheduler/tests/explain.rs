//! Tests of the reasons why jobs wait, and of submission checks.

mod support;

use common::Name;
use scheduler::{
    AdviceCapacity, Phase, Resources, Scheduler, Step, Submission, Wait, WaitReason, is_job_id,
};
use support::{NOW, advice_policy, ample_advice, answer_advice, secs, submit};

/// A pool of two-core workers with one queue.
fn pool(workers: &[&str], needs_advice: bool) -> Scheduler {
    support::pool(workers, needs_advice.then(advice_policy))
}

fn step(count: u32, cpu: u32) -> Step {
    Step { need: Resources { cpu, mem: 100, gpus: 0 }, ..support::step(count) }
}

fn wait_reason(scheduler: &Scheduler, id: &str) -> Option<WaitReason> {
    scheduler.first_wait_reason(id, NOW)
}

#[test]
fn wait_without_usable_worker() {
    let mut scheduler = pool(&[], false);
    submit(&mut scheduler, "j1", vec![step(1, 1000)]);
    assert_eq!(wait_reason(&scheduler, "j1"), Some(WaitReason::NoWorker));
}

#[test]
fn no_capacity_reports_need_and_most_free() {
    let mut scheduler = pool(&["w1", "w2"], false);
    submit(&mut scheduler, "j1", vec![step(2, 1500)]);
    scheduler.plan(NOW, secs(0), ample_advice());
    submit(&mut scheduler, "j2", vec![step(1, 1000)]);
    scheduler.plan(NOW, secs(0), ample_advice());
    assert_eq!(
        wait_reason(&scheduler, "j2"),
        Some(WaitReason::NoCapacity { cpu: 1000, most_free: 500 })
    );
    assert_eq!(scheduler.jobs_ahead_of("j2"), 1);
    assert_eq!(wait_reason(&scheduler, "j1"), None);
}

#[test]
fn gang_wait_reports_free_places() {
    let mut scheduler = pool(&["w1", "w2"], false);
    submit(&mut scheduler, "j1", vec![Step { is_gang: true, ..step(5, 1000) }]);
    scheduler.plan(NOW, secs(0), ample_advice());
    assert_eq!(wait_reason(&scheduler, "j1"), Some(WaitReason::Gang { places: 4, size: 5 }));
}

#[test]
fn wait_for_advice_then_denied() {
    let mut scheduler = pool(&["w1", "w2"], true);
    submit(&mut scheduler, "j1", vec![step(1, 1000)]);
    assert_eq!(wait_reason(&scheduler, "j1"), Some(WaitReason::NoneAllowed));
    scheduler.plan(NOW, secs(0), ample_advice());
    assert_eq!(wait_reason(&scheduler, "j1"), Some(WaitReason::Advice(2)));
    answer_advice(&mut scheduler, "j1", 0, Some((Vec::new(), secs(2))), NOW);
    assert_eq!(wait_reason(&scheduler, "j1"), Some(WaitReason::NoneAllowed));
}

#[test]
fn wait_for_advice_service_counts_steps_ahead() {
    let mut scheduler = pool(&["w1", "w2"], true);
    for id in ["j1", "j2", "j3"] {
        submit(&mut scheduler, id, vec![step(1, 500)]);
    }
    scheduler.plan(NOW, secs(0), AdviceCapacity::default());
    assert_eq!(wait_reason(&scheduler, "j3"), Some(WaitReason::AdviceService(2)));
    scheduler.plan(NOW, secs(0), ample_advice());
    assert_eq!(wait_reason(&scheduler, "j3"), Some(WaitReason::Advice(2)));
}

#[test]
fn explain_later_step_waits_for_earlier_one() {
    let mut scheduler = pool(&["w1"], false);
    let last = Step { after: vec![0], ..step(1, 1000) };
    submit(&mut scheduler, "j1", vec![step(2, 1000), last]);
    scheduler.plan(NOW, secs(0), ample_advice());
    let steps = scheduler.explain("j1", NOW).expect("j1 was submitted");
    assert_eq!((steps[0].tasks, steps[0].placed, &steps[0].wait), (2, 2, &None));
    let earlier_step = Wait { reason: WaitReason::EarlierStep(0), awaited: None };
    assert_eq!(steps[1].wait, Some(earlier_step));
    assert!(scheduler.explain("j2", NOW).is_none());
}

// Guards against a failed job that is said to be about to be placed.
#[test]
fn explain_ended_job_waits_for_nothing() {
    let mut scheduler = pool(&["w1", "w2"], false);
    submit(&mut scheduler, "j1", vec![step(1, 1000)]);
    scheduler.jobs.get_mut("j1").expect("it is known").phase = Phase::Failed;
    assert_eq!(wait_reason(&scheduler, "j1"), None);
    let progress = scheduler.explain("j1", NOW).expect("the job is known");
    assert!(progress.iter().all(|step| step.wait.is_none()), "{progress:?}");
}

#[test]
fn overdue_only_past_target_with_waiting_tasks() {
    let mut scheduler = pool(&["w1"], false);
    submit(&mut scheduler, "j1", vec![step(1, 1000)]);
    submit(&mut scheduler, "j2", vec![step(1, 3000)]);
    scheduler.plan(NOW, secs(0), ample_advice());
    assert_eq!(scheduler.overdue_jobs(NOW + secs(2)).count(), 0);
    let overdue: Vec<_> = scheduler.overdue_jobs(NOW + secs(4)).map(|job| job.id.clone()).collect();
    assert_eq!(overdue, [Name::new("j2")]);
}

/// The worker that a job waits for, and the time in ms until it is expected to have room.
fn awaited(scheduler: &Scheduler, id: &str) -> Option<(String, u128)> {
    let awaited = scheduler.first_wait(id, NOW)?.awaited?;
    Some((awaited.worker.to_string(), awaited.after.as_millis()))
}

#[test]
fn wait_without_room_names_worker_that_frees_it_first() {
    let mut scheduler = pool(&["w1", "w2"], false);
    submit(&mut scheduler, "j1", vec![Step { estimate: 4000, ..step(1, 1500) }]);
    scheduler.plan(NOW, secs(0), ample_advice());
    submit(&mut scheduler, "j2", vec![Step { estimate: 3000, ..step(1, 1500) }]);
    scheduler.plan(NOW, secs(0), ample_advice());
    submit(&mut scheduler, "j3", vec![step(1, 1000)]);
    submit(&mut scheduler, "j4", vec![step(1, 2500)]);
    scheduler.plan(NOW, secs(0), ample_advice());
    assert_eq!(awaited(&scheduler, "j3"), Some(("w2".to_owned(), 3000)));
    assert_eq!(awaited(&scheduler, "j4"), None, "no worker is large enough");
    let wait = scheduler.first_wait("j3", NOW).expect("the job waits");
    assert_eq!(
        wait.to_string(),
        "no room: a task needs 1000 mcpu, 500 are free at most; worker w2 is expected to have room \
         in 3000 ms"
    );
}

#[test]
fn wait_of_gang_names_worker_whose_room_completes_it() {
    let mut scheduler = pool(&["w1", "w2", "w3"], false);
    for (id, estimate) in [("j1", 2000), ("j2", 5000), ("j3", 3000)] {
        submit(&mut scheduler, id, vec![Step { estimate, ..step(1, 1500) }]);
        scheduler.plan(NOW, secs(0), ample_advice());
    }
    submit(&mut scheduler, "j4", vec![Step { is_gang: true, ..step(4, 1000) }]);
    scheduler.plan(NOW, secs(0), ample_advice());
    assert_eq!(wait_reason(&scheduler, "j4"), Some(WaitReason::Gang { places: 0, size: 4 }));
    assert_eq!(awaited(&scheduler, "j4"), Some(("w3".to_owned(), 3000)));
}

#[test]
fn wait_without_worker_names_first_out_of_quarantine() {
    let mut scheduler = pool(&["w1", "w2"], false);
    for (id, until) in [("w1", 8), ("w2", 5)] {
        let worker = scheduler.pool.get_mut(id).expect("the worker is registered");
        worker.quarantined_until = NOW + secs(until);
    }
    submit(&mut scheduler, "j1", vec![step(1, 1000)]);
    assert_eq!(wait_reason(&scheduler, "j1"), Some(WaitReason::NoWorker));
    assert_eq!(awaited(&scheduler, "j1"), Some(("w2".to_owned(), 5000)));
}

#[test]
fn wait_for_reserved_room_names_job() {
    let mut scheduler = pool(&["w1", "w2"], false);
    submit(&mut scheduler, "j1", vec![step(2, 1000)]);
    scheduler.plan(NOW, secs(0), ample_advice());
    submit(&mut scheduler, "j2", vec![Step { is_gang: true, ..step(3, 1000) }]);
    submit(&mut scheduler, "j3", vec![step(1, 1000)]);
    scheduler.plan(NOW, secs(0), ample_advice());
    assert_eq!(wait_reason(&scheduler, "j2"), Some(WaitReason::Gang { places: 2, size: 3 }));
    let reserved = WaitReason::Reserved { job: Name::new("j2"), worker: Name::new("w2") };
    assert_eq!(wait_reason(&scheduler, "j3"), Some(reserved));
}

#[test]
fn wait_for_spread_names_limit() {
    let mut scheduler = pool(&["w1", "w2"], false);
    submit(&mut scheduler, "j1", vec![Step { spread: 1, ..step(3, 500) }]);
    scheduler.plan(NOW, secs(0), ample_advice());
    assert_eq!(wait_reason(&scheduler, "j1"), Some(WaitReason::Spread(1)));
    assert_eq!(awaited(&scheduler, "j1"), Some(("w1".to_owned(), 1000)));
}

#[test]
fn wait_after_tickets_expired() {
    let mut scheduler = pool(&["w1"], true);
    submit(&mut scheduler, "j1", vec![step(1, 1000)]);
    scheduler.plan(NOW, secs(0), ample_advice());
    let allowed = vec![(Name::new("w1"), Name::new("t"))];
    answer_advice(&mut scheduler, "j1", 0, Some((allowed, secs(2))), NOW);
    assert_eq!(wait_reason(&scheduler, "j1"), Some(WaitReason::NextPass));
    let later = scheduler.first_wait_reason("j1", NOW + secs(3));
    assert_eq!(later, Some(WaitReason::Ticket));
}

/// Guards against a job that waits for many times its target without a line that says why.
#[test]
fn job_is_stuck_after_five_targets() {
    let mut scheduler = pool(&["w1"], false);
    submit(&mut scheduler, "j1", vec![step(1, 1000)]);
    let target = scheduler.jobs["j1"].due_at.checked_sub(NOW).unwrap();
    assert!(!scheduler.is_stuck("j1", NOW + target * 5));
    assert!(scheduler.is_stuck("j1", NOW + target * 5 + secs(1)));
    assert!(!scheduler.is_stuck("none", NOW + target * 100));
}

#[test]
fn validate_reports_first_error() {
    let job = |id: &str, steps| Submission {
        id: id.to_owned(),
        payload: String::new(),
        steps,
        ..Submission::default()
    };
    let error =
        |job: Submission| job.validate().expect_err("the submission is invalid").to_string();
    let id = "0123456789abcdef";
    assert!(is_job_id(id) && !is_job_id("0123456789abcdeg"));
    assert_eq!(job(id, vec![step(1, 1)]).validate(), Ok(()));
    assert_eq!(error(job("1", vec![step(1, 1)])), "the id is not 16 hexadecimal digits");
    assert_eq!(error(job(id, Vec::new())), "there are no steps");
    assert_eq!(error(job(id, vec![step(1, 1), step(0, 1)])), "step 1 has no tasks");
    let self_dependent = Step { after: vec![0], ..step(1, 1) };
    assert_eq!(
        error(job(id, vec![self_dependent])),
        "step 0 waits for a step that is not before it"
    );
    assert_eq!(job(id, vec![step(4000, 1), step(6000, 1)]).validate(), Ok(()));
    let too_many = job(id, vec![step(u32::MAX, 1), step(u32::MAX, 1)]);
    assert_eq!(error(too_many), "there are more than 10000 tasks");
    let too_long = Submission { payload: "x".repeat(4001), ..job(id, vec![step(1, 1)]) };
    assert_eq!(error(too_long), "the payload is longer than 4000 bytes");
}
