//! Daemons that make advice calls of several classes.

mod support;

use std::time::Duration;

use common::Name;
use scheduler::{AdviceCapacity, AdvicePolicy, CallClass, Queue, Scheduler, Submission};
use support::{NO_DELAY, NOW, pool, rules, step};

/// Queue with slow calls, whose jobs rank above the others.
const SLOW: &str = "slow";

/// Queue with medium calls.
const MEDIUM: &str = "medium";

/// Time after which a class that found no daemon is no longer short of them.
const SHORTAGE_SPAN: Duration = Duration::from_secs(1);

/// A pool with room for all jobs, in each of whose queues some jobs of one task wait.
fn pool_with_jobs(slow: u32, medium: u32) -> Scheduler {
    let mut scheduler = pool(&["w1", "w2", "w3", "w4"], None);
    let mut rules = rules(None);
    let template = rules.queues.remove(0);
    let queues = [(SLOW, 600, slow), (MEDIUM, 100, medium)];
    for (priority, (name, call_ms, _)) in (0..).zip(queues) {
        let advice = Some(AdvicePolicy {
            base_duration: Duration::from_millis(call_ms),
            duration_per_worker: Duration::ZERO,
            validity: Duration::from_millis(1500),
        });
        rules.queues.push(Queue { name: Name::new(name), priority, advice, ..template.clone() });
    }
    scheduler.set_rules(rules);
    for (name, _, jobs) in queues {
        for number in 0..jobs {
            let id = format!("{name}{number}");
            let job = Submission {
                id,
                payload: String::new(),
                steps: vec![step(1)],
                ..Submission::default()
            };
            scheduler.submit(job, Name::new(name), NOW, 0);
        }
    }
    scheduler
}

/// Runs a pass with some free daemons for medium and slow calls; returns the jobs that it calls for.
fn called_jobs(
    scheduler: &mut Scheduler,
    now: Duration,
    daemons: u32,
    kept_for: Option<CallClass>,
) -> Vec<Name> {
    let mut capacity = AdviceCapacity::default();
    for _ in 0..daemons {
        capacity.add_daemon(&[CallClass::Medium, CallClass::Slow], kept_for, Duration::ZERO);
    }
    scheduler.plan(now, NO_DELAY, capacity);
    let calls = std::mem::take(&mut scheduler.advice_calls);
    calls.into_iter().map(|call| call.key.job).collect()
}

// Guards against a daemon that counts once for each class of its calls, so that calls which wait
// behind others are requested.
#[test]
fn daemon_of_two_classes_counts_once() {
    let mut scheduler = pool_with_jobs(1, 1);
    assert_eq!(called_jobs(&mut scheduler, NOW, 1, None), [Name::new("slow0")]);
}

// Guards against slow calls of higher rank that take all daemons while medium steps wait.
#[test]
fn kept_daemons_are_left_to_medium_calls() {
    let kept_for = Some(CallClass::Medium);
    let mut scheduler = pool_with_jobs(3, 1);
    let calls = called_jobs(&mut scheduler, NOW, 2, kept_for);
    assert_eq!(calls, ["slow0", "slow1"].map(Name::new), "medium steps were not short before");
    let calls = called_jobs(&mut scheduler, NOW + SHORTAGE_SPAN / 2, 2, kept_for);
    assert_eq!(calls, [Name::new("medium0")], "the other is kept for more medium steps");
    let calls = called_jobs(&mut scheduler, NOW + SHORTAGE_SPAN, 2, kept_for);
    assert_eq!(calls, [Name::new("slow2")], "medium steps are not short any more");
}
