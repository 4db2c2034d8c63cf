//! Limits on what workspaces have running.

mod support;

use std::time::Duration;

use common::Name;
use scheduler::{
    AdvicePolicy, Assignment, Fate, Job, Outcome, Refusal, Resource, Resources, RunState,
    Scheduler, StartOrder, Step, StopOrder, Submission, TaskKey, Usage, WaitReason,
};
use support::model::{Model, Size};
use support::{
    NO_DELAY, NOW, advice_policy, ample_advice, answer_advice, end_run, limited_rules,
    new_registration, pool, secs, step, submit_in,
};

/// Workspace with a limit.
const RED: &str = "red";

/// Workspace with another limit, or none.
const BLUE: &str = "blue";

/// Time after which a step that waits at a limit keeps others of its workspace from starting.
const CLOSING_DELAY: Duration = Duration::from_secs(3);

fn cpu(cpu: u32) -> Resources {
    Resources { cpu, ..Resources::default() }
}

fn gang(count: u32) -> Step {
    Step { is_gang: true, ..step(count) }
}

fn set_limits(scheduler: &mut Scheduler, version: u64, limits: &[(&str, Resources)]) {
    let advice = scheduler.rules.as_ref().and_then(|rules| rules.queues[0].advice.clone());
    scheduler.set_rules(limited_rules(version, advice, limits));
}

/// A pool of four workers with two places each, and a limit on one workspace.
fn limited_pool(limit: Resources) -> Scheduler {
    advised_pool(limit, None)
}

fn advised_pool(limit: Resources, advice: Option<AdvicePolicy>) -> Scheduler {
    let mut scheduler = pool(&["w1", "w2", "w3", "w4"], advice);
    set_limits(&mut scheduler, 2, &[(RED, limit)]);
    scheduler
}

fn plan(scheduler: &mut Scheduler, now: Duration) -> Vec<StartOrder> {
    scheduler.plan(now, NO_DELAY, ample_advice());
    let mut starts = std::mem::take(&mut scheduler.starts);
    starts.sort_by(|one, other| one.key.cmp(&other.key));
    starts
}

/// Jobs of starts, in order.
fn jobs(starts: &[StartOrder]) -> Vec<&str> {
    starts.iter().map(|start| &*start.key.job).collect()
}

/// Sends a start and, perhaps, confirms it.
fn send(scheduler: &mut Scheduler, start: &StartOrder, is_confirmed: bool) {
    let worker = scheduler.pool.get_mut(&start.worker).expect("the worker is known");
    let assignment = worker.assignment_mut(&start.key, start.run).expect("the run is assigned");
    assignment.state = RunState::Sent;
    assignment.fate.record_send();
    if is_confirmed {
        scheduler.confirm_start(start, NOW);
    }
}

fn run(scheduler: &mut Scheduler, starts: &[StartOrder]) {
    for start in starts {
        send(scheduler, start, true);
    }
}

/// Ends a run; the others on its worker go on.
fn end(scheduler: &mut Scheduler, start: &StartOrder, now: Duration) {
    let worker = scheduler.pool.get(&start.worker).expect("the worker is known");
    let others = worker.assignments.iter().filter(|(key, _)| **key != start.key);
    let others: Vec<_> = others.map(|(key, run)| (key.clone(), run.run)).collect();
    let others = others.iter().map(|(key, run)| (key, *run));
    end_run(scheduler, start, Outcome::Done, others, now);
}

fn usage(scheduler: &Scheduler, workspace: &str) -> Resources {
    scheduler.workspace_usage().get(workspace).copied().unwrap_or_default()
}

fn submission(workspace: &str, steps: Vec<Step>) -> Submission {
    let (id, workspace) = ("job".to_owned(), workspace.to_owned());
    Submission { id, payload: String::new(), steps, workspace }
}

/// A leader that reads the jobs of another one from their records, and the rules first or last.
fn next_leader(former: &Scheduler, limit: Resources, are_rules_first: bool) -> Scheduler {
    let mut next = if are_rules_first { limited_pool(limit) } else { Scheduler::default() };
    let mut jobs: Vec<&Job> = former.jobs.values().collect();
    jobs.sort_by(|one, other| one.id.cmp(&other.id));
    for job in jobs {
        next.add_job(Job::from_record(job.record(), NOW).expect("the record is valid"));
    }
    if !are_rules_first {
        for id in ["w1", "w2", "w3", "w4"] {
            next.pool.register(new_registration(id, 2000));
            next.pool.get_mut(id).expect("the worker is registered").has_current_token = true;
        }
        set_limits(&mut next, 3, &[(RED, limit)]);
    }
    next
}

// Guards against runs that do not count towards the limit in one of their states: each of them may
// have a worker at work.
#[test]
fn limit_counts_runs_of_each_kind() {
    type Change = fn(&mut Scheduler, &StartOrder);
    let stop = |scheduler: &mut Scheduler, start: &StartOrder| {
        send(scheduler, start, true);
        scheduler.cancel(&start.key.job, 0);
    };
    let kinds: [(&str, Change); 9] = [
        ("committing", |_, _| {}),
        ("sent", |scheduler, start| send(scheduler, start, false)),
        ("unanswered", |scheduler, start| {
            send(scheduler, start, false);
            let worker = scheduler.pool.get_mut(&start.worker).expect("the worker is known");
            let run = worker.assignment_mut(&start.key, start.run).expect("it is assigned");
            run.fate.record_unanswered(NOW);
        }),
        ("running", |scheduler, start| send(scheduler, start, true)),
        ("stopping", stop),
        ("stopped, not listed as ended", |scheduler, start| {
            send(scheduler, start, true);
            scheduler.cancel(&start.key.job, 0);
            let StartOrder { key, run, worker } = start.clone();
            let assigned = scheduler.pool.get(&worker).and_then(|own| own.assignments.get(&key));
            let mark = assigned.expect("it is assigned").fate.mark_stop();
            scheduler.confirm_stop(&StopOrder { key, run, worker }, mark, NOW);
        }),
        ("silent", |scheduler, start| {
            send(scheduler, start, true);
            let worker = scheduler.pool.get_mut(&start.worker).expect("the worker is known");
            worker.record_silence(NOW);
        }),
        ("unlisted", |scheduler, start| {
            send(scheduler, start, true);
            assert!(!scheduler.mark_unlisted(&start.worker), "it has runs");
        }),
        ("recovered from rows", |scheduler, _| {
            *scheduler = next_leader(scheduler, cpu(2000), true);
        }),
    ];
    for (kind, change) in kinds {
        let mut scheduler = limited_pool(cpu(2000));
        submit_in(&mut scheduler, RED, "a", vec![step(1)]);
        submit_in(&mut scheduler, RED, "b", vec![step(1)]);
        let starts = plan(&mut scheduler, NOW);
        assert_eq!(jobs(&starts), ["a", "b"]);
        for start in &starts {
            change(&mut scheduler, start);
        }
        assert_eq!(usage(&scheduler, RED).cpu, 2000, "{kind}");
        submit_in(&mut scheduler, RED, "c", vec![step(1)]);
        submit_in(&mut scheduler, BLUE, "d", vec![step(1)]);
        assert_eq!(jobs(&plan(&mut scheduler, NOW)), ["d"], "{kind}");
    }
}

// Guards against a limit that a wide step exceeds, and against a step that waits for all of it.
#[test]
fn limit_wide_step_runs_in_waves() {
    let mut scheduler = limited_pool(cpu(3500));
    submit_in(&mut scheduler, RED, "wide", vec![step(7)]);
    let first = plan(&mut scheduler, NOW);
    assert_eq!(first.len(), 3);
    run(&mut scheduler, &first);
    assert_eq!(plan(&mut scheduler, NOW).len(), 0);
    end(&mut scheduler, &first[0], NOW + secs(1));
    end(&mut scheduler, &first[1], NOW + secs(1));
    assert_eq!(plan(&mut scheduler, NOW + secs(1)).len(), 2);
    assert_eq!(usage(&scheduler, RED).cpu, 3000);
}

// Guards against a limit that holds for CPU alone, or for the first task of a pass alone.
#[test]
fn limit_holds_for_each_resource() {
    let need = Resources { cpu: 100, mem: 100, gpus: 0 };
    let limits = [
        (Resources { cpu: 200, mem: 0, gpus: 0 }, 2),
        (Resources { cpu: 5000, mem: 300, gpus: 0 }, 3),
        (Resources { cpu: 0, mem: 150, gpus: 0 }, 1),
        (Resources { cpu: 0, mem: 0, gpus: 1 }, 5),
        (Resources::default(), 5),
    ];
    for (limit, expected) in limits {
        let mut scheduler = limited_pool(limit);
        for number in 0..5 {
            let small = Step { need, ..step(1) };
            submit_in(&mut scheduler, RED, &format!("job{number}"), vec![small]);
        }
        assert_eq!(plan(&mut scheduler, NOW).len(), expected, "{limit:?}");
    }
    let mut scheduler = limited_pool(Resources { cpu: 0, mem: 0, gpus: 3 });
    for id in ["w1", "w2"] {
        let worker = scheduler.pool.get_mut(id).expect("the worker is known");
        worker.registration.capacity.gpus = 4;
    }
    let need = Resources { gpus: 2, ..need };
    submit_in(&mut scheduler, RED, "job", vec![Step { need, ..step(4) }]);
    assert_eq!(plan(&mut scheduler, NOW).len(), 1, "two of them need four accelerators");
}

// Guards against gangs that start in part, or beside runs with which they exceed the limit.
#[test]
fn limit_gang_starts_whole() {
    let mut scheduler = limited_pool(cpu(4000));
    submit_in(&mut scheduler, RED, "a", vec![step(1)]);
    submit_in(&mut scheduler, RED, "gang", vec![gang(4)]);
    let first = plan(&mut scheduler, NOW);
    assert_eq!(jobs(&first), ["a"]);
    run(&mut scheduler, &first);
    assert_eq!(plan(&mut scheduler, NOW).len(), 0);
    end(&mut scheduler, &first[0], NOW + secs(1));
    assert_eq!(jobs(&plan(&mut scheduler, NOW + secs(1))), ["gang"; 4]);
}

// Guards against a gang that exceeds the limit by less than a tenth and never starts, or that
// starts beside others.
#[test]
fn limit_gang_may_exceed_it_by_a_tenth_alone() {
    let limit = cpu(5500);
    let mut scheduler = limited_pool(limit);
    submit_in(&mut scheduler, RED, "a", vec![step(1)]);
    let first = plan(&mut scheduler, NOW);
    run(&mut scheduler, &first);
    submit_in(&mut scheduler, RED, "gang", vec![gang(6)]);
    assert_eq!(plan(&mut scheduler, NOW).len(), 0, "another task runs");
    end(&mut scheduler, &first[0], NOW + secs(1));
    assert_eq!(plan(&mut scheduler, NOW + secs(1)).len(), 6, "6000 are within 6050");
    assert_eq!(scheduler.never_fits(&submission(RED, vec![gang(6)])), None);
}

// Guards against gangs that are accepted and wait for ever, and against refusals of what can run.
#[test]
fn limit_refuses_gang_that_never_fits() {
    let scheduler = limited_pool(cpu(5000));
    let reason = scheduler.never_fits(&submission(RED, vec![step(9), gang(6)]));
    let expected = "the gang of step 1 needs 6000 mcpu at a time, and its workspace may use 5000";
    assert_eq!(reason.as_deref(), Some(expected));
    assert_eq!(scheduler.never_fits(&submission(RED, vec![gang(5), step(9)])), None);
    assert_eq!(scheduler.never_fits(&submission(BLUE, vec![gang(6)])), None, "it has no limit");
    let large = Step { need: cpu(9000), ..gang(1) };
    assert_eq!(scheduler.never_fits(&submission(RED, vec![large])), None, "it is a single task");
    let huge = Step { need: cpu(u32::MAX), ..gang(4) };
    assert!(scheduler.never_fits(&submission(RED, vec![huge])).is_some());
}

// Guards against a task larger than the limit that never starts, or that has others beside it.
#[test]
fn limit_single_large_task_starts_alone() {
    let mut scheduler = limited_pool(cpu(500));
    submit_in(&mut scheduler, RED, "large", vec![step(3)]);
    let first = plan(&mut scheduler, NOW);
    assert_eq!(first.len(), 1);
    run(&mut scheduler, &first);
    submit_in(&mut scheduler, RED, "small", vec![Step { need: cpu(100), ..step(1) }]);
    assert_eq!(plan(&mut scheduler, NOW).len(), 0);
    end(&mut scheduler, &first[0], NOW + secs(1));
    assert_eq!(jobs(&plan(&mut scheduler, NOW + secs(1))), ["large"]);
}

// Guards against a limit that applies only once it has changed twice, against work that is stopped,
// and against starts before the usage is below the limit.
#[test]
fn falling_limit_stops_nothing_and_starts_nothing() {
    let mut scheduler = limited_pool(cpu(5000));
    submit_in(&mut scheduler, RED, "a", vec![step(8)]);
    let starts = plan(&mut scheduler, NOW);
    assert_eq!(starts.len(), 5);
    run(&mut scheduler, &starts);
    set_limits(&mut scheduler, 3, &[(RED, cpu(2000))]);
    assert!(scheduler.stops.is_empty());
    assert_eq!(usage(&scheduler, RED).cpu, 5000);
    for start in &starts[..3] {
        assert_eq!(plan(&mut scheduler, NOW).len(), 0);
        end(&mut scheduler, start, NOW + secs(1));
    }
    assert_eq!(plan(&mut scheduler, NOW + secs(1)).len(), 0, "two tasks run");
    end(&mut scheduler, &starts[3], NOW + secs(1));
    assert_eq!(plan(&mut scheduler, NOW + secs(1)).len(), 1);
    set_limits(&mut scheduler, 4, &[(RED, cpu(4000))]);
    assert_eq!(plan(&mut scheduler, NOW + secs(1)).len(), 2);
}

// Guards against starts that are sent after the limit fell which they exceed, and against
// withdrawals of more than that, or of higher rank.
#[test]
fn falling_limit_withdraws_unsent_starts() {
    let mut scheduler = limited_pool(cpu(6000));
    submit_in(&mut scheduler, RED, "a", vec![step(2)]);
    submit_in(&mut scheduler, RED, "b", vec![step(2)]);
    submit_in(&mut scheduler, RED, "c", vec![step(2)]);
    submit_in(&mut scheduler, BLUE, "d", vec![step(2)]);
    let starts = plan(&mut scheduler, NOW);
    assert_eq!(starts.len(), 8);
    send(&mut scheduler, &starts[4], false);
    scheduler.changed_jobs.clear();
    set_limits(&mut scheduler, 3, &[(RED, cpu(4000)), (BLUE, cpu(0))]);
    let may_send = |scheduler: &Scheduler, start: &StartOrder| {
        let worker = scheduler.pool.get(&start.worker).expect("the worker is known");
        worker.assignments.contains_key(&start.key)
    };
    let kept: Vec<_> = starts.iter().filter(|start| may_send(&scheduler, start)).collect();
    let kept: Vec<_> = kept.iter().map(|start| (&*start.key.job, start.key.index)).collect();
    let expected = [("a", 0), ("a", 1), ("b", 0), ("c", 0), ("d", 0), ("d", 1)];
    assert_eq!(kept, expected, "c 0 was sent");
    assert!(scheduler.stops.is_empty());
    let changed: Vec<&str> = scheduler.changed_jobs.iter().map(|id| &**id).collect();
    assert_eq!(changed, ["b", "c"], "their rows must tell it");
    assert_eq!(usage(&scheduler, RED).cpu, 4000);
    set_limits(&mut scheduler, 4, &[(RED, cpu(6000))]);
    assert_eq!(jobs(&plan(&mut scheduler, NOW)), ["b", "c"]);
}

// Guards against a gang that loses one of its unsent starts, and then all of them.
#[test]
fn falling_limit_withdraws_gangs_whole_or_not() {
    for sent in [0, 1] {
        let mut scheduler = limited_pool(cpu(6000));
        submit_in(&mut scheduler, RED, "a", vec![step(2)]);
        submit_in(&mut scheduler, RED, "gang", vec![gang(3)]);
        let starts = plan(&mut scheduler, NOW);
        assert_eq!(starts.len(), 5);
        for start in &starts[2..2 + sent] {
            send(&mut scheduler, start, false);
        }
        set_limits(&mut scheduler, 3, &[(RED, cpu(4000))]);
        let expected = if sent == 0 { 2000 } else { 4000 };
        assert_eq!(usage(&scheduler, RED).cpu, expected, "{sent} starts were sent");
        assert!(scheduler.stops.is_empty());
        let state = &scheduler.jobs["gang"].steps[0];
        assert_eq!(state.all_waiting(), sent == 0);
    }
}

// Guards against the one task or gang that may start alone and is withdrawn as a limit falls.
#[test]
fn falling_limit_leaves_what_may_run_alone() {
    for (spec, limit) in [(step(1), 500), (gang(4), 3700)] {
        let mut scheduler = limited_pool(cpu(8000));
        submit_in(&mut scheduler, RED, "a", vec![spec]);
        let starts = plan(&mut scheduler, NOW);
        set_limits(&mut scheduler, 3, &[(RED, cpu(limit))]);
        assert_eq!(usage(&scheduler, RED).cpu, 1000 * starts.len() as u32);
    }
}

// Guards against a workspace that has no limit once the rules no longer list it, and against a limit
// that comes back after it was taken away.
#[test]
fn unlisted_workspace_keeps_last_limit() {
    let mut scheduler = limited_pool(cpu(2000));
    submit_in(&mut scheduler, RED, "a", vec![step(8)]);
    set_limits(&mut scheduler, 3, &[(BLUE, cpu(1000))]);
    assert_eq!(plan(&mut scheduler, NOW).len(), 2);
    set_limits(&mut scheduler, 4, &[(RED, cpu(0))]);
    assert_eq!(plan(&mut scheduler, NOW).len(), 6, "0 is no limit");
    let mut next = Scheduler::default();
    set_limits(&mut next, 4, &[]);
    assert_eq!(next.workspace_limit(RED), None, "this leader never knew it");
}

// Guards against limits that are kept for each workspace that ever was, without bound.
#[test]
fn unlisted_limits_are_bounded() {
    let mut scheduler = limited_pool(cpu(2000));
    submit_in(&mut scheduler, RED, "a", vec![step(1)]);
    let names: Vec<String> = (0..1500).map(|number| format!("old{number}")).collect();
    let limits: Vec<_> = names.iter().map(|name| (name.as_str(), cpu(1000))).collect();
    set_limits(&mut scheduler, 3, &limits);
    set_limits(&mut scheduler, 4, &[]);
    let known = names.iter().filter(|name| scheduler.workspace_limit(name).is_some()).count();
    assert_eq!(known, 0, "no job uses them");
    assert_eq!(scheduler.workspace_limit(RED), Some(cpu(2000)), "a job uses it");
}

// Guards against a next leader that starts work before it counts what runs, whatever it reads first.
#[test]
fn limit_holds_after_restart_from_rows() {
    for are_rules_first in [true, false] {
        let mut former = limited_pool(cpu(3000));
        submit_in(&mut former, RED, "a", vec![step(8)]);
        let starts = plan(&mut former, NOW);
        run(&mut former, &starts);
        let mut next = next_leader(&former, cpu(3000), are_rules_first);
        assert_eq!(usage(&next, RED).cpu, 3000);
        assert_eq!(plan(&mut next, NOW).len(), 0, "the runs are not listed yet");
        end(&mut next, &starts[0], NOW + secs(1));
        assert_eq!(plan(&mut next, NOW + secs(1)).len(), 1);
    }
}

// Guards against work at its limit that keeps others waiting: by the number of steps that a pass
// handles, by visits, or as idle steps.
#[test]
fn step_at_limit_costs_nothing_and_is_not_idle() {
    let mut scheduler = advised_pool(cpu(1000), Some(advice_policy()));
    scheduler.set_rules(limited_rules(3, None, &[(RED, cpu(1000))]));
    for number in 0..400 {
        let steps = vec![if number % 4 == 0 { gang(1 + number % 2) } else { step(1) }];
        submit_in(&mut scheduler, RED, &format!("a{number:03}"), steps);
    }
    let starts = plan(&mut scheduler, NOW);
    assert_eq!(starts.len(), 1);
    run(&mut scheduler, &starts);
    scheduler.set_rules(limited_rules(4, Some(advice_policy()), &[(RED, cpu(1000))]));
    submit_in(&mut scheduler, BLUE, "later", vec![step(1)]);
    let visited = scheduler.steps_visited;
    plan(&mut scheduler, NOW);
    assert_eq!(scheduler.steps_visited, visited + 1);
    let calls = std::mem::take(&mut scheduler.advice_calls);
    let called: Vec<&str> = calls.iter().map(|call| &*call.key.job).collect();
    assert_eq!(called, ["later"]);
    let Usage { idle_steps, idle_gangs, collecting_gangs, reserved, .. } = scheduler.usage();
    assert_eq!((idle_steps, idle_gangs, collecting_gangs), (1, 0, 0), "only the other workspace's");
    assert_eq!(reserved, 0, "nothing is set aside for steps at the limit");
}

// Guards against calls of each waiting step for the same part of the limit.
#[test]
fn steps_call_for_what_limit_leaves() {
    let mut scheduler = advised_pool(cpu(3000), Some(advice_policy()));
    for number in 0..20 {
        submit_in(&mut scheduler, RED, &format!("a{number:02}"), vec![step(1)]);
    }
    submit_in(&mut scheduler, RED, "wide", vec![step(20)]);
    plan(&mut scheduler, NOW);
    let called: usize =
        scheduler.jobs.values().filter(|job| !job.steps[0].pending_advice.is_empty()).count();
    assert!(called <= 3, "{called} jobs call, three tasks may run");
    assert!(called >= 1);
}

// Guards against room that a step holds for tickets which it cannot use, as its limit fell.
#[test]
fn step_at_limit_gives_up_what_it_holds() {
    for spec in [step(4), gang(4)] {
        let mut scheduler = advised_pool(cpu(4000), Some(advice_policy()));
        submit_in(&mut scheduler, RED, "a", vec![spec]);
        plan(&mut scheduler, NOW);
        let all = ["w1", "w2", "w3", "w4"].map(|id| (Name::new(id), Name::new("t")));
        while !scheduler.jobs["a"].steps[0].pending_advice.is_empty() {
            let allowed = Some((all.to_vec(), Duration::ZERO));
            answer_advice(&mut scheduler, "a", 0, allowed, NOW);
        }
        plan(&mut scheduler, NOW);
        assert_eq!(scheduler.usage().reserved, 4000, "it holds room for its calls");
        set_limits(&mut scheduler, 3, &[(RED, Resources { mem: 1, ..cpu(100) })]);
        // Another job of the workspace uses more than the limit.
        let run = Assignment {
            run: 1,
            need: cpu(200),
            state: RunState::Running,
            changed_at: NOW,
            fate: Fate::default(),
            incarnation: 1,
            is_timed: false,
            is_lost: false,
            workspace: Name::new(RED),
        };
        let worker = scheduler.pool.get_mut("w1").expect("the worker is known");
        worker.assign(TaskKey { job: Name::new("other"), step: 0, index: 0 }, run);
        plan(&mut scheduler, NOW);
        assert_eq!(scheduler.usage().reserved, 0);
    }
}

// Guards against a gang that never starts, as small tasks of its workspace use all that its limit
// leaves before the rest is free.
#[test]
fn small_tasks_do_not_starve_gang_at_limit() {
    for spec in [gang(4), Step { need: cpu(2000), ..step(1) }] {
        let needed = spec.need.cpu * spec.count;
        let mut scheduler = limited_pool(cpu(4000.min(needed + 1000)));
        for number in 0..4 {
            submit_in(&mut scheduler, RED, &format!("s{number}"), vec![step(1)]);
        }
        let mut running = plan(&mut scheduler, NOW);
        run(&mut scheduler, &running);
        // Its estimate is shorter, so it ranks before the small tasks.
        let large = Step { estimate: 1, ..spec };
        submit_in(&mut scheduler, RED, "large", vec![large]);
        let mut started_at = None;
        for number in 0..40 {
            let now = NOW + Duration::from_millis(500) * number;
            submit_in(&mut scheduler, RED, &format!("t{number:02}"), vec![step(1)]);
            if !running.is_empty() {
                let oldest = running.remove(0);
                end(&mut scheduler, &oldest, now);
            }
            let starts = plan(&mut scheduler, now);
            run(&mut scheduler, &starts);
            if starts.iter().any(|start| &*start.key.job == "large") {
                started_at = Some(now);
                break;
            }
            running.extend(starts);
        }
        let started_at = started_at.expect("it starts at some time");
        assert!(started_at <= NOW + CLOSING_DELAY + secs(3), "{started_at:?}");
    }
}

// Guards against a step that no worker can hold and that keeps its workspace from working.
#[test]
fn step_without_worker_leaves_limit_to_others() {
    let mut scheduler = limited_pool(cpu(4000));
    submit_in(&mut scheduler, RED, "a", vec![step(3)]);
    let starts = plan(&mut scheduler, NOW);
    run(&mut scheduler, &starts);
    let need = cpu(3000);
    submit_in(&mut scheduler, RED, "large", vec![Step { need, estimate: 1, ..step(1) }]);
    plan(&mut scheduler, NOW);
    submit_in(&mut scheduler, RED, "small", vec![step(1)]);
    assert_eq!(jobs(&plan(&mut scheduler, NOW + 2 * CLOSING_DELAY)), ["small"]);
}

// Guards against other decisions where no limit applies: without workspaces in the rules, whatever
// the jobs say, with workspaces without a limit, and for jobs without a workspace.
#[test]
fn decisions_without_limits_are_the_same() {
    let size = Size {
        workers: 24,
        tasks_per_worker: 4,
        daemons: 6,
        allowed_percent: 50,
        run_time: secs(1),
    };
    let course = |limits: &[(&str, Resources)], workspace: &str| {
        let mut model = Model::new(size);
        let mut rules = model.scheduler.rules.clone().expect("it has rules");
        rules.workspaces = limited_rules(1, None, limits).workspaces;
        model.scheduler.set_rules(rules);
        for number in 0..30 {
            let gang = gang(4 + number % 5 * 4);
            submit_in(&mut model.scheduler, workspace, &format!("g{number:02}"), vec![gang]);
            submit_in(&mut model.scheduler, workspace, &format!("s{number:02}"), vec![step(6)]);
        }
        let mut course = Vec::new();
        for _ in 0..400 {
            model.tick();
            let workers = model.scheduler.pool.iter();
            let mut runs: Vec<String> = workers
                .flat_map(|worker| {
                    let id = &worker.registration.id;
                    worker
                        .assignments
                        .iter()
                        .map(move |(key, run)| format!("{key:?} {} {id}", run.run))
                })
                .collect();
            runs.sort();
            course.push((runs, model.scheduler.usage(), model.scheduler.steps_visited));
        }
        course
    };
    let usual = course(&[], "");
    assert!(usual.iter().any(|(runs, ..)| runs.len() > 50), "the pool is used");
    let limits = [(RED, cpu(1000)), (BLUE, cpu(0))];
    // Workspaces share the pool, so a workspace without a limit is compared with itself: without the
    // limit of the other, and with one that it cannot reach.
    let unlimited = course(&limits, BLUE);
    let alone = course(&[(BLUE, cpu(0))], BLUE);
    let unreached = course(&[(RED, cpu(1000)), (BLUE, cpu(u32::MAX))], BLUE);
    for (name, one, other) in [
        ("jobs name an unknown workspace", &usual, course(&[], RED)),
        ("jobs have no workspace", &usual, course(&limits, "")),
        ("another workspace has a limit", &unlimited, alone),
        ("the limit is not reached", &unlimited, unreached),
    ] {
        let differs = one.iter().zip(&other).position(|(one, other)| one != other);
        assert_eq!(differs, None, "{name}");
    }
    assert_ne!(usual, course(&limits, RED), "the limit shows");
}

// Guards against a start that a worker refuses and that goes on to count.
#[test]
fn refused_start_frees_limit() {
    let mut scheduler = limited_pool(cpu(1000));
    submit_in(&mut scheduler, RED, "a", vec![step(1)]);
    submit_in(&mut scheduler, RED, "b", vec![step(1)]);
    let starts = plan(&mut scheduler, NOW);
    let proof = scheduler.not_started(&starts[0]).expect("nothing was sent");
    scheduler.reject_start(&starts[0], proof, Refusal::Withdrawn, NOW, 0);
    assert_eq!(usage(&scheduler, RED), Resources::default());
    assert_eq!(plan(&mut scheduler, NOW).len(), 1);
}

// Guards against a step at the limit that seems about to be placed, and against the resource or the
// usage of another.
#[test]
fn explain_names_limit() {
    let mut scheduler = limited_pool(Resources { cpu: 9000, mem: 250, gpus: 0 });
    submit_in(&mut scheduler, RED, "a", vec![step(3)]);
    submit_in(&mut scheduler, RED, "gang", vec![gang(2)]);
    plan(&mut scheduler, NOW);
    let reason = |scheduler: &Scheduler, id: &str| scheduler.first_wait_reason(id, NOW);
    let expected = |need| WaitReason::Limit {
        workspace: Name::new(RED),
        resource: Resource::Memory,
        need,
        used: 200,
        limit: 250,
    };
    assert_eq!(reason(&scheduler, "a"), Some(expected(100)));
    assert_eq!(reason(&scheduler, "gang"), Some(expected(200)), "all its tasks");
    let text = "workspace red is at its limit: 200 of 250 MB are in use, 100 more are needed";
    assert_eq!(expected(100).to_string(), text);
    set_limits(&mut scheduler, 3, &[(RED, cpu(0))]);
    assert_eq!(reason(&scheduler, "a"), Some(WaitReason::NextPass), "it has no limit any more");
}

// Guards against figures that miss runs, jobs or times at the limit.
#[test]
fn workspace_figures_are_complete() {
    let mut scheduler = limited_pool(cpu(2000));
    for id in ["a", "b", "c"] {
        submit_in(&mut scheduler, RED, id, vec![step(1), Step { after: vec![0], ..step(1) }]);
    }
    submit_in(&mut scheduler, BLUE, "d", vec![step(1)]);
    let starts = plan(&mut scheduler, NOW);
    run(&mut scheduler, &starts);
    plan(&mut scheduler, NOW + secs(2));
    let own = |scheduler: &Scheduler, name: &str, now| {
        let figures = scheduler.workspace_figures(now);
        figures.into_iter().find(|own| &*own.name == name).expect("it has figures")
    };
    let red = own(&scheduler, RED, NOW + secs(3));
    assert_eq!((red.weight, red.runs, red.waiting_jobs), (1, 2, 1));
    assert_eq!((red.used.cpu, red.limit, red.is_at_limit), (2000, cpu(2000), true));
    assert_eq!(red.time_at_limit, secs(3));
    let blue = own(&scheduler, BLUE, NOW);
    assert_eq!((blue.weight, blue.runs, blue.waiting_jobs, blue.is_at_limit), (0, 1, 0, false));
    set_limits(&mut scheduler, 3, &[(RED, cpu(4000))]);
    plan(&mut scheduler, NOW + secs(4));
    let red = own(&scheduler, RED, NOW + secs(9));
    assert_eq!((red.is_at_limit, red.time_at_limit), (false, secs(4)));
}

// Guards against withdrawn starts that no line tells of.
#[test]
fn withdrawn_starts_are_told() {
    let mut scheduler = limited_pool(cpu(3000));
    submit_in(&mut scheduler, RED, "a", vec![step(3)]);
    let starts = plan(&mut scheduler, NOW);
    set_limits(&mut scheduler, 3, &[(RED, cpu(2000))]);
    assert_eq!(scheduler.withdrawn_starts, starts[2..]);
}
