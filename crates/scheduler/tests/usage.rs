//! Figures about the use of the pool.

mod support;

use std::time::Duration;

use scheduler::{Refusal, Scheduler, StartOrder, Step, Usage};
use support::model::{Model, Size};
use support::{NO_DELAY, NOW, advice_policy, ample_advice, pool, secs, step, submit};

/// CPU of one place, in thousandths of a core.
const PLACE: u64 = 1000;

fn plan(scheduler: &mut Scheduler, now: Duration) -> Vec<StartOrder> {
    scheduler.plan(now, NO_DELAY, ample_advice());
    std::mem::take(&mut scheduler.starts)
}

/// Checks that the shares of the pool add up to its capacity.
fn assert_adds_up(usage: &Usage) {
    let sum = usage.used + usage.reserved + usage.withheld + usage.free;
    assert_eq!(sum, usage.capacity, "{usage:?}");
    assert!(usage.lent <= usage.reserved, "{usage:?}");
}

// Guards against shares that miss or double a part of the pool while gangs collect and borrow.
#[test]
fn usage_busy_pool() {
    let size = Size {
        workers: 48,
        tasks_per_worker: 4,
        daemons: 8,
        allowed_percent: 40,
        run_time: secs(2),
    };
    let mut model = Model::new(size);
    for number in 0..60 {
        let gang = Step { is_gang: true, ..step(4 + number % 5 * 8) };
        submit(&mut model.scheduler, &format!("g{number:02}"), vec![gang]);
        submit(&mut model.scheduler, &format!("s{number:02}"), vec![step(6)]);
    }
    let mut most = Usage::default();
    for _ in 0..1500 {
        model.tick();
        let usage = model.scheduler.usage();
        assert_adds_up(&usage);
        assert_eq!(usage.capacity, u64::from(size.workers * size.tasks_per_worker) * PLACE);
        let allocated: u64 =
            model.scheduler.pool.iter().map(|worker| u64::from(worker.allocated.cpu)).sum();
        assert_eq!(usage.used, allocated);
        most.reserved = most.reserved.max(usage.reserved);
        most.used = most.used.max(usage.used);
        most.collecting_gangs = most.collecting_gangs.max(usage.collecting_gangs);
    }
    assert!(most.reserved > 0 && most.used > 0 && most.collecting_gangs > 0, "{most:?}");
}

// Guards against room of a gang that collects which shows as free or in use.
#[test]
fn usage_collecting_gang() {
    let mut scheduler = pool(&["w1", "w2"], None);
    submit(&mut scheduler, "long", vec![step(1)]);
    plan(&mut scheduler, NOW);
    submit(&mut scheduler, "a-gang", vec![Step { is_gang: true, estimate: 100, ..step(4) }]);
    plan(&mut scheduler, NOW);
    let expected = Usage {
        capacity: 4 * PLACE,
        used: PLACE,
        reserved: 3 * PLACE,
        idle_steps: 1,
        idle_gangs: 1,
        collecting_gangs: 1,
        uncalled_gangs: 1,
        ..Usage::default()
    };
    assert_eq!(scheduler.usage(), expected);
    plan(&mut scheduler, NOW + secs(4));
    let lent = scheduler.usage();
    assert_adds_up(&lent);
    assert_eq!((lent.reserved, lent.lent), (3 * PLACE, 3 * PLACE));
}

// Guards against a gang that counts as one without a call while its call is under way.
#[test]
fn usage_gang_with_call() {
    let mut scheduler = pool(&["w1", "w2"], Some(advice_policy()));
    submit(&mut scheduler, "gang", vec![Step { is_gang: true, ..step(4) }]);
    plan(&mut scheduler, NOW);
    let all = ["w1", "w2"].map(|id| (id.into(), "t".into())).to_vec();
    support::answer_advice(&mut scheduler, "gang", 0, Some((all, secs(1))), NOW);
    // The tickets have expired, so the next pass reserves the room and calls again.
    plan(&mut scheduler, NOW + secs(2));
    let usage = scheduler.usage();
    assert_eq!((usage.collecting_gangs, usage.uncalled_gangs), (1, 0), "{usage:?}");
    assert_eq!((usage.reserved, usage.free), (4 * PLACE, 0));
}

// Guards against steps that count as idle before their turn or with a task at work.
#[test]
fn usage_idle_steps() {
    let mut scheduler = pool(&["w1"], None);
    let later = Step { after: vec![0], ..step(1) };
    submit(&mut scheduler, "a", vec![step(3), later]);
    submit(&mut scheduler, "b", vec![Step { estimate: 9000, ..step(1) }]);
    assert_eq!(scheduler.usage().idle_steps, 2, "the first step of each job");
    plan(&mut scheduler, NOW);
    let usage = scheduler.usage();
    assert_eq!((usage.idle_steps, usage.idle_gangs), (1, 0), "the first job has runs: {usage:?}");
    scheduler.cancel("b", 0);
    assert_eq!(scheduler.usage().idle_steps, 0);
}

// Guards against room beside a trial that counts as in use, though nothing may be placed there.
#[test]
fn usage_trial() {
    let mut scheduler = pool(&["w1"], None);
    submit(&mut scheduler, "job", vec![step(2)]);
    let starts = plan(&mut scheduler, NOW);
    for start in &starts {
        let proof = scheduler.not_started(start).expect("nothing was sent");
        scheduler.reject_start(start, proof, Refusal::Unhealthy, NOW, 0);
    }
    let trial = plan(&mut scheduler, NOW + secs(9));
    assert_eq!(trial.len(), 1);
    let usage = scheduler.usage();
    assert_adds_up(&usage);
    assert_eq!((usage.used, usage.withheld, usage.free), (PLACE, PLACE, 0));
}

// Guards against runs of workers that are not usable, whose capacity is not counted.
#[test]
fn usage_unusable_worker() {
    let mut scheduler = pool(&["w1", "w2"], None);
    submit(&mut scheduler, "job", vec![step(4)]);
    plan(&mut scheduler, NOW);
    scheduler.pool.get_mut("w2").expect("the worker is known").is_reachable = false;
    plan(&mut scheduler, NOW);
    let usage = scheduler.usage();
    assert_eq!((usage.capacity, usage.used), (2 * PLACE, 2 * PLACE));
}
