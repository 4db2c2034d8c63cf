//! Rounds of advice calls whose tickets run out unused.

mod support;

use std::time::Duration;

use common::Name;
use scheduler::{AdviceKey, Scheduler, Step, Waste};
use support::{NO_DELAY, NOW, advice_policy, ample_advice, pool, secs, step, submit};

const VALIDITY: Duration = Duration::from_secs(1);

/// A pool of two workers with two places each, and a step whose calls the tests make.
fn waiting_step(spec: Step) -> Scheduler {
    let mut scheduler = pool(&["w1", "w2"], Some(advice_policy()));
    submit(&mut scheduler, "job", vec![spec]);
    scheduler
}

fn waiting_gang(count: u32) -> Scheduler {
    waiting_step(Step { is_gang: true, ..step(count) })
}

/// Begins a call about workers.
fn call(scheduler: &mut Scheduler, number: u32, workers: &[&str]) {
    let job = scheduler.jobs.get_mut("job").expect("the job is known");
    let workers = workers.iter().map(|id| Name::new(id)).collect();
    job.steps[0].pending_advice.insert(number, workers);
}

/// Answers a call with tickets for workers.
fn answer(scheduler: &mut Scheduler, number: u32, workers: &[&str], now: Duration) {
    let key = AdviceKey { job: Name::new("job"), step: 0, number };
    let tickets = workers.iter().map(|id| (Name::new(id), Name::new("t"))).collect();
    scheduler.apply_advice(&key, Some((tickets, VALIDITY)), now);
}

fn fail(scheduler: &mut Scheduler, number: u32, now: Duration) {
    let key = AdviceKey { job: Name::new("job"), step: 0, number };
    scheduler.apply_advice(&key, None, now);
}

/// Waste of rounds that were all for gangs.
fn waste(rounds: u64, tickets: u64) -> Waste {
    Waste { rounds, tickets, gang_rounds: rounds, gang_tickets: tickets }
}

// Guards against a round that is never counted, or again with each report.
#[test]
fn wasted_round_once() {
    let mut scheduler = waiting_gang(4);
    call(&mut scheduler, 1, &["w1", "w2"]);
    answer(&mut scheduler, 1, &["w1", "w2"], NOW);
    assert_eq!(scheduler.take_wasted_rounds(NOW), waste(0, 0), "its tickets are valid");
    assert_eq!(scheduler.take_wasted_rounds(NOW + VALIDITY), waste(1, 2));
    assert_eq!(scheduler.take_wasted_rounds(NOW + VALIDITY * 2), waste(0, 0));
}

// Guards against rounds of other steps that count as those of gangs, whose cure differs.
#[test]
fn wasted_round_of_tasks() {
    let mut scheduler = waiting_step(step(4));
    call(&mut scheduler, 1, &["w1", "w2"]);
    answer(&mut scheduler, 1, &["w1", "w2"], NOW);
    let expected = Waste { rounds: 1, tickets: 2, ..Waste::default() };
    assert_eq!(scheduler.take_wasted_rounds(NOW + VALIDITY), expected);
}

// Guards against several calls of a round that count as so many rounds.
#[test]
fn wasted_round_of_calls() {
    let mut scheduler = waiting_gang(4);
    call(&mut scheduler, 1, &["w1"]);
    call(&mut scheduler, 2, &["w2"]);
    answer(&mut scheduler, 2, &["w2"], NOW);
    let later = NOW + VALIDITY * 2;
    assert_eq!(scheduler.take_wasted_rounds(later), waste(0, 0), "a call is under way");
    answer(&mut scheduler, 1, &["w1"], later);
    assert_eq!(scheduler.take_wasted_rounds(later), waste(0, 0), "its ticket is valid");
    assert_eq!(scheduler.take_wasted_rounds(later + VALIDITY), waste(1, 2));
}

// Guards against a round that is kept for ever, as one of its calls failed.
#[test]
fn wasted_round_with_failed_call() {
    let mut scheduler = waiting_gang(4);
    call(&mut scheduler, 1, &["w1"]);
    call(&mut scheduler, 2, &["w2"]);
    answer(&mut scheduler, 1, &["w1"], NOW);
    fail(&mut scheduler, 2, NOW + VALIDITY);
    assert_eq!(scheduler.take_wasted_rounds(NOW + VALIDITY), waste(1, 1));
}

// Guards against used rounds that count as wasted: by its last call, or by the tickets left over.
#[test]
fn used_round() {
    let mut scheduler = waiting_gang(2);
    call(&mut scheduler, 1, &["w1"]);
    call(&mut scheduler, 2, &["w2"]);
    answer(&mut scheduler, 1, &["w1"], NOW);
    scheduler.plan(NOW, NO_DELAY, ample_advice());
    assert_eq!(scheduler.starts.len(), 2, "the gang is placed on the first worker");
    answer(&mut scheduler, 2, &["w2"], NOW + VALIDITY);
    assert_eq!(scheduler.take_wasted_rounds(NOW + VALIDITY * 3), waste(0, 0));
}

// Guards against use of one round that hides the waste of an earlier one.
#[test]
fn wasted_round_before_used_one() {
    let mut scheduler = waiting_gang(2);
    for (number, workers) in [(1, &["w1", "w2"][..]), (2, &["w1"])] {
        call(&mut scheduler, number, workers);
        answer(&mut scheduler, number, workers, NOW + VALIDITY * number);
    }
    scheduler.plan(NOW + VALIDITY * 2, NO_DELAY, ample_advice());
    assert_eq!(scheduler.starts.len(), 2, "the gang is placed");
    assert_eq!(scheduler.take_wasted_rounds(NOW + VALIDITY * 4), waste(1, 2));
}

// Guards against answers that allow no worker: there is nothing that could be used.
#[test]
fn round_without_tickets() {
    let mut scheduler = waiting_gang(4);
    call(&mut scheduler, 1, &["w1", "w2"]);
    answer(&mut scheduler, 1, &[], NOW);
    assert_eq!(scheduler.take_wasted_rounds(NOW + secs(9)), waste(0, 0));
}

// Guards against rounds of a job that ends: they are counted if their tickets came while it was open.
#[test]
fn wasted_round_of_ended_job() {
    let mut scheduler = waiting_gang(4);
    call(&mut scheduler, 1, &["w1"]);
    call(&mut scheduler, 2, &["w2"]);
    answer(&mut scheduler, 1, &["w1"], NOW);
    scheduler.cancel("job", 0);
    answer(&mut scheduler, 2, &["w2"], NOW);
    assert_eq!(scheduler.take_wasted_rounds(NOW + VALIDITY), waste(1, 1));
}
