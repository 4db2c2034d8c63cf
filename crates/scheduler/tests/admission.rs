//! Admission to a queue whose jobs wait, on a simulated clock.

mod support;

use std::time::Duration;

use common::Name;
use scheduler::{Phase, Scheduler, Step, Submission};
use support::model::{Model, Size};
use support::{NOW, step, submit};

/// A pool whose advice service starts a few gangs a second.
const FEW_DAEMONS: Size = Size {
    workers: 200,
    tasks_per_worker: 4,
    daemons: 6,
    allowed_percent: 25,
    run_time: Duration::from_secs(1),
};

/// Time after which a completion is worthless: three targets of the queue's rules (2 x 1 s + 1 s).
const WORTHLESS_AFTER: Duration = Duration::from_secs(9);

fn gang() -> Vec<Step> {
    vec![Step { is_gang: true, ..step(20) }]
}

/// Offers gangs at a rate for a while, as callers that take a refusal; returns the accepted ones.
fn offer(model: &mut Model, per_second: u32, span: Duration) -> Vec<(Name, Duration)> {
    let mut accepted = Vec::new();
    let (start, mut offered) = (model.now, 0);
    let prefix = start.as_millis();
    while model.now < start + span {
        while model.now >= start + Duration::from_secs(offered) / per_second {
            offered += 1;
            let id = format!("j{prefix}-{offered:05}");
            let job = Submission {
                id: id.clone(),
                payload: String::new(),
                steps: gang(),
                ..Submission::default()
            };
            let queue = Name::new("q");
            if model.scheduler.excess_wait(&job, &queue, model.now).is_none() {
                model.scheduler.submit(job, queue, model.now, 0);
                accepted.push((Name::from(id.as_str()), model.now));
            }
        }
        model.tick();
    }
    accepted
}

fn is_completed(scheduler: &Scheduler, id: &Name) -> bool {
    scheduler.jobs.get(id).is_some_and(|job| job.phase == Phase::Completed)
}

/// Pattern: a flood of gangs far beyond what the advice service bears.
///
/// Guards against accepted jobs that complete when they are of no use any more.
#[test]
fn flood_of_gangs_accepted_ones_are_of_use() {
    let mut model = Model::new(FEW_DAEMONS);
    let accepted = offer(&mut model, 60, Duration::from_secs(20));
    assert!(accepted.len() < 60 * 20 / 2, "{} accepted", accepted.len());
    let end = model.now + WORTHLESS_AFTER;
    while model.now < end {
        model.tick();
    }
    let open = accepted.iter().filter(|(id, _)| !is_completed(&model.scheduler, id)).count();
    // The first two seconds are accepted before a rate is known.
    assert!(open <= accepted.len() / 5, "{open} of {} accepted jobs are open", accepted.len());
}

/// Pattern: a load that the pool bears begins at once.
///
/// Guards against refusals while the rate of starts lags behind the load.
#[test]
fn bearable_load_that_begins_at_once_is_accepted() {
    let mut model = Model::new(Size { daemons: 30, ..FEW_DAEMONS });
    let accepted = offer(&mut model, 1, Duration::from_secs(5)).len();
    assert_eq!(accepted, 5);
    for _ in 0..300 {
        model.tick();
    }
    let offered = 10 * 15;
    assert_eq!(offer(&mut model, 10, Duration::from_secs(15)).len(), offered);
}

/// Pattern: a new leader finds jobs that have waited for long.
///
/// Guards against refusals before it has measured a rate.
#[test]
fn first_jobs_after_takeover_are_accepted() {
    let mut model = Model::new(FEW_DAEMONS);
    for number in 0..100 {
        submit(&mut model.scheduler, &format!("old{number:03}"), gang());
    }
    model.now = NOW + Duration::from_mins(1);
    model.tick();
    let job = Submission {
        id: "new".to_owned(),
        payload: String::new(),
        steps: gang(),
        ..Submission::default()
    };
    assert_eq!(model.scheduler.excess_wait(&job, &Name::new("q"), model.now), None);
}

/// Pattern: a queue holds many jobs that no worker can run.
///
/// Guards against a queue that such jobs close for all others, for good.
#[test]
fn jobs_that_no_worker_can_run_leave_queue_open() {
    for has_earlier_load in [false, true] {
        let mut model = Model::new(Size { daemons: 30, ..FEW_DAEMONS });
        if has_earlier_load {
            offer(&mut model, 4, Duration::from_secs(5));
        }
        for number in 0..100 {
            let mut wide = step(1);
            wide.need.cpu = 1_000_000;
            let id = format!("x{number:03}");
            let job = Submission {
                id,
                payload: String::new(),
                steps: vec![wide],
                ..Submission::default()
            };
            model.scheduler.submit(job, Name::new("q"), model.now, 0);
        }
        for _ in 0..1500 {
            model.tick();
        }
        // The first few are accepted one by one, until some have started.
        offer(&mut model, 4, Duration::from_secs(4));
        let offered = 4 * 15;
        assert_eq!(offer(&mut model, 4, Duration::from_secs(15)).len(), offered);
    }
}

/// Pattern: nothing starts for some seconds, as while the store does not answer.
///
/// Guards against refusals because of a rate that was measured during the pause.
#[test]
fn jobs_after_pause_of_starts_are_accepted() {
    let mut model = Model::new(Size { daemons: 30, ..FEW_DAEMONS });
    offer(&mut model, 5, Duration::from_secs(10));
    for number in 0..20 {
        let id = format!("p{number:02}");
        let job = Submission { id, payload: String::new(), steps: gang(), ..Submission::default() };
        model.scheduler.submit(job, Name::new("q"), model.now, 0);
        model.now += Duration::from_millis(200);
    }
    let offered = 5 * 5;
    assert_eq!(offer(&mut model, 5, Duration::from_secs(5)).len(), offered);
}
