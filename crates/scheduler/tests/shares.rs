//! Shares of workspaces in a pool, on a simulated clock.

mod support;

use std::collections::HashMap;
use std::time::Duration;

use common::Name;
use scheduler::{Resources, Step, WaitReason};
use support::shared::{
    FIRST, Load, SharedPool, Submitted, TICK, USUAL, mean_ms, singles, tasks, workspace,
};
use support::{NOW, secs};

/// Workspaces of equal weight.
const NAMES: [&str; 10] = ["w0", "w1", "w2", "w3", "w4", "w5", "w6", "w7", "w8", "w9"];

fn equal_workspaces() -> Vec<scheduler::Workspace> {
    NAMES.map(|name| workspace(name, 1)).to_vec()
}

fn gang(count: u32, cores: u32) -> Step {
    Step { is_gang: true, ..tasks(count, cores) }
}

/// Twice what a pool of 5 workers bears, in tasks of a second.
fn flood(workspace: &'static str) -> Load {
    Load { per_second: 16.0, step: tasks(10, 1), ..singles(workspace, 0.0) }
}

/// Mean waits of the other workspaces, in ms, with `factor` times the usual load of the first one.
fn waits_of_others(factor: f64) -> Vec<f64> {
    let mut pool = SharedPool::new(10, equal_workspaces());
    // The pool bears 160 such jobs a second; each workspace has 16 of them as its share.
    let mut loads = NAMES.map(|name| singles(name, 14.0)).to_vec();
    loads[0].per_second *= factor;
    pool.offer(&loads, secs(15));
    let waits = NAMES[1..].iter().map(|name| pool.waits(name, NOW + secs(3), NOW + secs(14)));
    waits.map(|waits| mean_ms(&waits)).collect()
}

// Guards against one workspace that submits ten times its usual load and makes all others wait.
#[test]
fn flood_waits_behind_its_own_work() {
    let run_ms = 1000.0;
    let (usual, flooded) = (waits_of_others(1.0), waits_of_others(10.0));
    for (usual, flooded) in usual.iter().zip(&flooded) {
        assert!((run_ms + flooded) <= (run_ms + usual) * 1.1, "{usual} ms, flooded {flooded} ms");
    }
}

/// Parts of the pool that workspaces use, each with more work than its share.
fn used_parts(pool: &mut SharedPool, loads: &[Load], span: Duration) -> HashMap<Name, f64> {
    pool.offer(loads, secs(4));
    pool.restart_work();
    pool.offer(loads, span);
    let names = loads.iter().map(|load| load.workspace);
    names.map(|name| (Name::new(name), pool.used_part(name, span))).collect()
}

/// Tasks of a size and run time that demand twice a pool of 16 workers.
fn full_load(workspace: &'static str, cores: u32, run_ms: u64) -> Load {
    let run_time = Duration::from_millis(run_ms);
    let per_second = 2.0 * 256.0 / f64::from(cores) / run_time.as_secs_f64() / 10.0;
    Load { workspace, queue: USUAL, per_second, step: tasks(10, cores), run_time }
}

// Guards against shares by number of tasks, or by what is started, in place of what is running; and
// against small tasks that take each piece of room before a large one fits.
#[test]
fn weights_hold_for_tasks_of_any_size_and_run_time() {
    let workspaces = vec![workspace("a", 1), workspace("b", 2), workspace("c", 5)];
    for sizes in [[(1, 300), (4, 1000), (2, 3000)], [(4, 3000), (1, 300), (8, 1000)]] {
        // Each share is a whole number of tasks, as what is used differs by up to half a task.
        let mut pool = SharedPool::new(16, workspaces.clone());
        let loads = ["a", "b", "c"].iter().zip(sizes);
        let loads: Vec<Load> =
            loads.map(|(name, (cores, run_ms))| full_load(name, cores, run_ms)).collect();
        let parts = used_parts(&mut pool, &loads, secs(20));
        for (name, weight) in [("a", 1.0), ("b", 2.0), ("c", 5.0)] {
            let (part, share) = (parts[name], weight / 8.0);
            assert!((part - share).abs() <= share * 0.1, "{name}: {part} of {share}; {parts:?}");
        }
    }
}

// Guards against small tasks of a workspace above its share that take each piece of room before
// the pieces are enough for a large task.
#[test]
fn large_tasks_get_their_share_beside_small_ones() {
    let workspaces = vec![workspace("a", 1), workspace("b", 1)];
    let mut pool = SharedPool::new(5, workspaces);
    let large = Load { step: tasks(1, 8), ..singles("b", 8.0) };
    // The small ones are on all workers first.
    pool.offer(&[singles("a", 120.0)], secs(3));
    let parts = used_parts(&mut pool, &[singles("a", 60.0), large], secs(10));
    assert!((parts["b"] - 0.5).abs() < 0.06, "{parts:?}");
    assert!(parts["a"] + parts["b"] > 0.9, "{parts:?}");
}

// Guards against room that is kept for a workspace which does not use it.
#[test]
fn unused_share_goes_to_others() {
    let workspaces = vec![workspace("a", 1), workspace("b", 1), workspace("c", 8)];
    let mut pool = SharedPool::new(5, workspaces);
    let large = Load { per_second: 48.0, ..flood("b") };
    let loads = [flood("a"), large, singles("c", 8.0)];
    let parts = used_parts(&mut pool, &loads, secs(20));
    assert!((parts["c"] - 0.1).abs() < 0.01, "{parts:?}");
    assert!((parts["a"] - 0.45).abs() < 0.03, "{parts:?}");
    assert!((parts["b"] - 0.45).abs() < 0.03, "{parts:?}");
}

// Guards against the flood of a workspace that keeps the gangs of others from collecting room.
#[test]
fn gang_starts_despite_flood_of_small_tasks() {
    let mut pool = SharedPool::new(5, equal_workspaces());
    // Single tasks end at unlike times, so that a worker rarely has room for a task of the gang.
    pool.offer(&[singles("w0", 60.0), singles("w1", 60.0)], secs(5));
    // Half of the pool, far beyond the share of its workspace.
    let id = pool.submit("w2", USUAL, gang(10, 4), secs(1));
    pool.offer(&[singles("w0", 60.0), singles("w1", 60.0), singles("w2", 25.0)], secs(10));
    let wait = pool.first_start(&id).map(|at| at.saturating_sub(NOW + secs(5)));
    assert!(wait.is_some_and(|wait| wait < secs(5)), "{wait:?}");
}

// Guards against a gang that never starts as its workspace always uses its share.
#[test]
fn gang_starts_despite_own_flood() {
    let mut pool = SharedPool::new(5, equal_workspaces());
    let loads = [flood("w0"), flood("w1"), flood("w2")];
    pool.offer(&loads, secs(1));
    let id = pool.submit("w2", USUAL, gang(10, 4), secs(1));
    pool.offer(&loads, secs(30));
    let wait = pool.first_start(&id).map(|at| at.saturating_sub(NOW + secs(1)));
    // Earlier jobs of its workspace come first: a second's flood, at a third of the pool.
    assert!(wait.is_some_and(|wait| wait < secs(8)), "{wait:?}");
}

// Guards against gangs that keep their places in such a number that they take the pool.
#[test]
fn flood_of_gangs_keeps_to_its_share() {
    let workspaces = vec![workspace("a", 1), workspace("b", 1)];
    let mut pool = SharedPool::new(10, workspaces);
    // Small enough that many of them can collect at a time.
    let step = gang(2, 4);
    let gangs = Load { workspace: "a", queue: USUAL, per_second: 40.0, step, run_time: secs(1) };
    let others = singles("b", 110.0);
    let parts = used_parts(&mut pool, &[gangs, others], secs(10));
    assert!((parts["b"] - 0.5).abs() < 0.05, "{parts:?}");
    assert!((parts["a"] - 0.5).abs() < 0.1, "{parts:?}");
}

// Guards against gangs that all begin to collect before the first of them counts as used.
#[test]
fn collecting_gangs_count_as_used() {
    let mut pool = SharedPool::new(10, vec![workspace("a", 1), workspace("b", 1)]);
    let run_time = |number: u64| Duration::from_millis(600 + number * 61 % 800);
    (0..700).for_each(|number| {
        pool.submit("b", USUAL, tasks(1, 1), run_time(number));
    });
    pool.run_for(secs(1));
    (0..100).for_each(|number| {
        pool.submit("a", USUAL, gang(2, 4), run_time(number));
    });
    let mut most = 0;
    for _ in 0..100 {
        pool.tick();
        most = most.max(pool.running_cores("a"));
    }
    assert!(pool.running_cores("b") > 0, "the other one has work");
    // Half of the pool, and one gang.
    assert!((72..=88).contains(&most), "{most} cores");
}

// Guards against large tasks that always start below the share, so that their workspace has more
// than its share on average.
#[test]
fn large_tasks_exceed_share_by_half_a_task_at_most() {
    let mut pool = SharedPool::new(10, vec![workspace("a", 1), workspace("b", 2)]);
    // Of ten places, the shares are 3.3 and 6.7.
    let whole = |name: &'static str| Load { step: tasks(1, 16), ..singles(name, 14.0) };
    let parts = used_parts(&mut pool, &[whole("a"), whole("b")], secs(10));
    assert!((parts["a"] - 0.3).abs() < 0.015, "{parts:?}");
}

// Guards against a share that comes before a priority.
#[test]
fn priorities_come_before_shares() {
    let workspaces = vec![workspace("a", 1), workspace("b", 1000)];
    let mut pool = SharedPool::new(5, workspaces);
    let first = Load { queue: FIRST, ..flood("a") };
    let parts = used_parts(&mut pool, &[first, flood("b")], secs(20));
    assert!(parts["a"] > 0.98, "{parts:?}");
}

// Guards against a workspace of weight 0 that gets nothing, or all.
#[test]
fn weight_zero_counts_as_smallest_weight() {
    let workspaces = vec![workspace("a", 0), workspace("b", 1), workspace("c", 2)];
    let mut pool = SharedPool::new(5, workspaces);
    let parts = used_parts(&mut pool, &[flood("a"), flood("b"), flood("c")], secs(20));
    for (name, share) in [("a", 0.25), ("b", 0.25), ("c", 0.5)] {
        assert!((parts[name] - share).abs() < 0.03, "{parts:?}");
    }
}

// Guards against a next leader that does not count what the former one started, and against shares
// that depend on what only the former leader knew.
#[test]
fn shares_hold_after_change_of_leader() {
    let workspaces = vec![workspace("a", 1), workspace("b", 3)];
    let mut pool = SharedPool::new(5, workspaces);
    // The first has the whole pool and a long queue before the second begins.
    let long = Load { run_time: secs(4), ..flood("a") };
    pool.offer(&[long], secs(3));
    let former = pool.started.len();
    pool.change_leader();
    pool.offer(&[flood("b")], secs(1));
    let started = &pool.started[former..];
    assert!(!started.is_empty(), "room became free");
    assert!(started.iter().all(|key| key.job.starts_with("b-")), "{started:?}");
    let parts = used_parts(&mut pool, &[flood("a"), flood("b")], secs(10));
    assert!((parts["a"] - 0.25).abs() < 0.03, "{parts:?}");
    assert!((parts["b"] - 0.75).abs() < 0.03, "{parts:?}");
}

// Guards against room that stays empty as no share has room for the half of a task.
#[test]
fn room_between_shares_is_used() {
    let names = ["a", "b", "c", "d"];
    let mut pool = SharedPool::new(5, names.map(|name| workspace(name, 1)).to_vec());
    let step = tasks(1, 16);
    let loads = names.map(|name| Load { step: step.clone(), ..singles(name, 4.0) });
    let parts = used_parts(&mut pool, &loads, secs(10));
    assert!(parts.values().sum::<f64>() > 0.95, "{parts:?}");
}

// Guards against a share that is kept, or divided by due time, as its workspace demands what no
// worker can run.
#[test]
fn share_of_unusable_demand_goes_to_others_by_weight() {
    let workspaces = vec![workspace("a", 1), workspace("b", 1), workspace("c", 8)];
    let mut pool = SharedPool::new(5, workspaces);
    let step = Step { requirement: "none".to_owned(), ..tasks(200, 1) };
    pool.submit("c", USUAL, step, secs(1));
    let large = Load { per_second: 48.0, ..flood("b") };
    let parts = used_parts(&mut pool, &[flood("a"), large], secs(10));
    assert!((parts["a"] - 0.5).abs() < 0.05, "{parts:?}");
    assert!((parts["b"] - 0.5).abs() < 0.05, "{parts:?}");
}

/// Order in which tasks of jobs of unlike sizes and priorities start.
fn start_order(workspaces: Vec<scheduler::Workspace>, names: [&str; 2]) -> Vec<(Name, u32)> {
    let mut pool = SharedPool::new(3, workspaces);
    for number in 0..200_u32 {
        let queue = if number % 7 == 0 { FIRST } else { USUAL };
        let count = 1 + number % 5;
        let step = if number % 11 == 0 { gang(count + 4, 3) } else { tasks(count, 1 + number % 3) };
        let run_time = Duration::from_millis(u64::from(100 + number * 37 % 900));
        let name = names[usize::from(number % 3 == 0)];
        pool.submit(name, queue, step, run_time);
        pool.run_for(TICK);
    }
    pool.run_for(secs(60));
    let digits = |job: &Name| Name::new(job.rsplit('-').next().unwrap_or_default());
    pool.started.iter().map(|key| (digits(&key.job), key.index)).collect()
}

// Guards against another order where there are no workspaces to share the pool.
#[test]
fn order_without_workspaces_is_unchanged() {
    let expected = start_order(Vec::new(), ["", ""]);
    assert!(expected.len() > 400);
    let jobs_without = start_order(equal_workspaces(), ["", ""]);
    assert!(jobs_without == expected, "jobs without a workspace");
    // Same length of names, as ids are part of the rank.
    let rules_without = start_order(Vec::new(), ["w0", "w0"]);
    assert!(rules_without == expected, "rules without workspaces");
    assert!(start_order(equal_workspaces(), ["w0", "w1"]) != expected, "shares change the order");
}

// Guards against a second resource that is not counted: two workspaces that each need most of
// another resource can both have more than half.
#[test]
fn shares_are_of_the_dominant_resource() {
    let workspaces = vec![workspace("cpu", 1), workspace("mem", 1)];
    let mut pool = SharedPool::new(5, workspaces);
    let need = |cpu: u32, mem: u32| Step { need: Resources { cpu, mem, gpus: 0 }, ..tasks(10, 1) };
    let load = |workspace: &'static str, step: Step| Load {
        workspace,
        queue: USUAL,
        per_second: 16.0,
        step,
        run_time: secs(1),
    };
    // Of CPU and memory, the first needs 2 : 1 and the second 1 : 2; both get two thirds of one.
    let loads = [load("cpu", need(2000, 4000)), load("mem", need(1000, 8000))];
    let parts = used_parts(&mut pool, &loads, secs(20));
    assert!((parts["cpu"] - 0.667).abs() < 0.06, "{parts:?}");
    assert!((parts["mem"] - 0.333).abs() < 0.03, "{parts:?}");
}

/// Jobs of a workspace that were refused.
fn refusals(pool: &SharedPool, workspace: &str) -> usize {
    pool.refused.get(workspace).map_or(0, Vec::len)
}

// Guards against refusals of the jobs of workspaces that have no backlog, because another one has.
#[test]
fn refusals_hit_only_flooding_workspace() {
    let mut pool = SharedPool::new(5, equal_workspaces());
    pool.has_admission = true;
    let mut loads = NAMES.map(|name| singles(name, 6.0)).to_vec();
    loads[0].per_second *= 10.0;
    // Rare jobs say nothing of the rate at which their workspace could start more.
    loads[9].per_second = 0.4;
    pool.offer(&loads, secs(25));
    assert!(refusals(&pool, "w0") > 100, "{:?}", pool.refused);
    assert!(NAMES[1..].iter().all(|name| refusals(&pool, name) == 0), "{:?}", pool.refused);
    // The slack is three targets of two run times and a second, less the run.
    let accepted = pool.submitted.values().filter(|job| &*job.workspace == "w0");
    let is_late = |job: &&Submitted| {
        let wait = job.first_start.unwrap_or(pool.now).saturating_sub(job.arrived);
        wait > job.run_time * 5 + secs(3)
    };
    let late = accepted.clone().filter(is_late).count();
    // Those of the first seconds are accepted before a rate is known.
    assert!(late <= accepted.count() / 5, "{late} are late");
}

// Guards against a workspace that is refused for good once it was, and against a wait to return that
// does not follow from its own backlog.
#[test]
fn workspace_is_accepted_again_after_its_backlog() {
    let mut pool = SharedPool::new(5, equal_workspaces());
    pool.has_admission = true;
    let loads = NAMES.map(|name| singles(name, if name == "w0" { 60.0 } else { 7.0 }));
    pool.offer(&loads, secs(25));
    let refused = refusals(&pool, "w0");
    assert!(refused > 100, "{refused} refused");
    let excess = pool.refused["w0"].iter().max().copied().unwrap_or_default();
    // The slack of the jobs that run longest is 10.5 s, that of the shortest is 5.5 s.
    assert!(excess < secs(6), "{excess:?} beyond the slack");
    pool.offer(&[singles("w0", 6.0)], secs(8));
    let before = refusals(&pool, "w0");
    pool.offer(&[singles("w0", 6.0)], secs(8));
    assert_eq!(refusals(&pool, "w0"), before);
}

// Guards against refusals of a workspace whose few jobs wait for long, as gangs that collect room.
#[test]
fn rare_gangs_are_accepted() {
    let mut pool = SharedPool::new(5, equal_workspaces());
    pool.has_admission = true;
    let step = gang(10, 4);
    let gangs = Load { workspace: "w9", queue: USUAL, per_second: 0.5, step, run_time: secs(1) };
    pool.offer(&[flood("w0"), flood("w1"), gangs], secs(30));
    assert_eq!(refusals(&pool, "w9"), 0, "{:?}", pool.refused.get("w9"));
}

// Guards against a refusal after three jobs in a row that wait for long, as no rate is known.
#[test]
fn few_waiting_jobs_are_no_backlog() {
    let mut pool = SharedPool::new(5, equal_workspaces());
    pool.has_admission = true;
    pool.submit("w0", USUAL, tasks(80, 1), secs(20));
    pool.run_for(secs(3));
    for _ in 0..4 {
        pool.submit("w9", USUAL, tasks(1, 1), Duration::from_millis(500));
        pool.run_for(Duration::from_millis(900));
    }
    assert_eq!(refusals(&pool, "w9"), 0);
}

// Guards against a wait for a share that looks like a lack of room.
#[test]
fn explain_names_share_of_postponed_workspace() {
    let workspaces = vec![workspace("a", 1), workspace("b", 3)];
    let mut pool = SharedPool::new(5, workspaces);
    pool.offer(&[flood("a"), flood("b")], secs(4));
    let id = pool.submit("a", USUAL, tasks(1, 1), secs(1));
    pool.run_for(TICK);
    let reason = pool.scheduler.first_wait_reason(&id, pool.now).expect("the step waits");
    let WaitReason::Share { workspace, used, share } = reason else { panic!("{reason:?}") };
    assert_eq!((&*workspace, share), ("a", 25));
    assert!((24..=28).contains(&used), "{used}%");
    let id = pool.submit("", USUAL, tasks(1, 16), secs(1));
    pool.run_for(TICK);
    let reason = pool.scheduler.first_wait_reason(&id, pool.now);
    assert!(matches!(reason, Some(WaitReason::NoCapacity { .. })), "{reason:?}");
}
