//! Tests of one pool: placement, advice, gangs, attempts and worker listings.

mod support;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use common::Name;
use scheduler::{
    ActiveRun, JobState, Listing, Outcome, Phase, Refusal, Registration, Resources, RunState,
    Scheduler, StartOrder, Step, TaskKey,
};
use support::{
    NO_DELAY, NOW, advice_policy, ample_advice, answer_advice, new_registration, pool, rules, secs,
    step, submit,
};

fn place(scheduler: &mut Scheduler, now: Duration) -> Vec<StartOrder> {
    scheduler.plan(now, NO_DELAY, ample_advice());
    std::mem::take(&mut scheduler.starts)
}

fn confirm_starts(scheduler: &mut Scheduler, starts: &[StartOrder]) {
    for start in starts {
        let worker = scheduler.pool.get_mut(&start.worker).expect("the worker is known");
        worker.assignment_mut(&start.key, start.run).expect("the run is assigned").state =
            RunState::Sent;
        scheduler.confirm_start(start, NOW);
    }
}

/// Ends a run; the others of its worker go on.
fn end_run(scheduler: &mut Scheduler, start: &StartOrder, outcome: Outcome) {
    let worker = scheduler.pool.get(&start.worker).expect("the worker is known");
    let assigned = worker.assignments.clone();
    let others = assigned.iter().filter(|(key, _)| **key != start.key);
    let active = others.map(|(key, assignment)| (key, assignment.run));
    support::end_run(scheduler, start, outcome, active, NOW + secs(1));
}

fn phase(scheduler: &Scheduler, id: &str) -> Phase {
    scheduler.jobs[id].phase
}

#[test]
fn plan_never_exceeds_capacity() {
    let mut scheduler = pool(&["w1", "w2"], None);
    submit(&mut scheduler, "j", vec![step(9)]);
    assert_eq!(place(&mut scheduler, NOW).len(), 4);
    assert_eq!(place(&mut scheduler, NOW).len(), 0);
    assert!(scheduler.pool.iter().all(|worker| worker.free().cpu == 0));
}

#[test]
fn plan_waits_for_earlier_steps() {
    let mut scheduler = pool(&["w1", "w2"], None);
    let mut second = step(1);
    second.after = vec![0];
    submit(&mut scheduler, "j", vec![step(1), second]);
    let starts = place(&mut scheduler, NOW);
    assert_eq!(starts.iter().map(|start| start.key.step).collect::<Vec<_>>(), [0]);
    confirm_starts(&mut scheduler, &starts);
    end_run(&mut scheduler, &starts[0], Outcome::Done);
    let starts = place(&mut scheduler, NOW);
    assert_eq!(starts.iter().map(|start| start.key.step).collect::<Vec<_>>(), [1]);
}

#[test]
fn plan_respects_tasks_per_worker() {
    let mut scheduler = pool(&["w1", "w2"], None);
    let mut spread = step(4);
    spread.spread = 1;
    submit(&mut scheduler, "j", vec![spread]);
    let starts = place(&mut scheduler, NOW);
    assert_eq!(starts.len(), 2);
    assert_ne!(starts[0].worker, starts[1].worker);
}

#[test]
fn plan_gang_all_or_none() {
    let mut scheduler = pool(&["w1", "w2"], None);
    submit(&mut scheduler, "busy", vec![step(1)]);
    let busy = place(&mut scheduler, NOW);
    confirm_starts(&mut scheduler, &busy);
    let mut gang = step(4);
    gang.is_gang = true;
    submit(&mut scheduler, "big", vec![gang.clone()]);
    assert_eq!(place(&mut scheduler, NOW).len(), 0);
    gang.count = 3;
    submit(&mut scheduler, "fits", vec![gang]);
    assert_eq!(place(&mut scheduler, NOW).len(), 0, "the first gang reserves the capacity");
    assert!(scheduler.cancel("big", 0));
    assert_eq!(place(&mut scheduler, NOW).len(), 3);
}

// Guards against jobs that wait for ever behind a gang that all workers together cannot hold.
#[test]
fn gang_that_workers_cannot_hold_holds_back_no_others() {
    let gang = Step { is_gang: true, ..step(2) };
    let need = |cpu, mem, gpus| Resources { cpu, mem, gpus };
    let cases = [
        ("cpu", Step { count: 5, ..gang.clone() }),
        ("memory", Step { count: 3, need: need(1, 1000, 0), ..gang.clone() }),
        ("gpus", Step { need: need(1, 1, 1), ..gang.clone() }),
        ("label", Step { count: 3, requirement: "other".to_owned(), ..gang.clone() }),
        ("tasks per worker", Step { count: 4, spread: 1, ..gang }),
    ];
    for (case, gang) in cases {
        let mut scheduler = pool(&["w1", "w2"], None);
        let labels = vec![Name::new("other"), Name::new("rack")];
        let other = Registration { labels, ..new_registration("w2", 2000) };
        scheduler.pool.register(other);
        submit(&mut scheduler, "a", vec![gang]);
        submit(&mut scheduler, "b", vec![step(4)]);
        let starts = place(&mut scheduler, NOW);
        assert_eq!(starts.iter().filter(|start| &*start.key.job == "b").count(), 4, "{case}");
        assert_eq!(starts.len(), 4, "{case}");
    }
}

#[test]
fn refused_member_stops_whole_gang() {
    let mut scheduler = pool(&["w1", "w2"], None);
    let mut gang = step(3);
    gang.is_gang = true;
    submit(&mut scheduler, "j", vec![gang]);
    let starts = place(&mut scheduler, NOW);
    confirm_starts(&mut scheduler, &starts[..2]);
    let proof = scheduler.not_started(&starts[2]).expect("it was not sent");
    scheduler.reject_start(&starts[2], proof, Refusal::NoCapacity, NOW, 0);
    let stops = std::mem::take(&mut scheduler.stops);
    assert_eq!(stops.len(), 2);
    assert_eq!(place(&mut scheduler, NOW).len(), 0, "two members have not ended");
    for start in &starts[..2] {
        end_run(&mut scheduler, start, Outcome::Stopped);
    }
    let restarts = place(&mut scheduler, NOW);
    assert_eq!(restarts.iter().map(|start| start.run).collect::<Vec<_>>(), [2, 2, 2]);
}

#[test]
fn gang_completes_when_one_member_is_done() {
    let mut scheduler = pool(&["w1", "w2"], None);
    let mut gang = step(3);
    gang.is_gang = true;
    submit(&mut scheduler, "j", vec![gang]);
    let starts = place(&mut scheduler, NOW);
    confirm_starts(&mut scheduler, &starts);
    end_run(&mut scheduler, &starts[0], Outcome::Done);
    assert_eq!(phase(&scheduler, "j"), Phase::Completed);
    assert!(scheduler.stops.is_empty());
}

#[test]
fn gang_failure_counts_once_per_run() {
    let mut scheduler = pool(&["w1", "w2"], None);
    let mut gang = step(2);
    gang.is_gang = true;
    submit(&mut scheduler, "j", vec![gang]);
    let starts = place(&mut scheduler, NOW);
    confirm_starts(&mut scheduler, &starts);
    end_run(&mut scheduler, &starts[0], Outcome::Failed);
    end_run(&mut scheduler, &starts[1], Outcome::Failed);
    assert_eq!(phase(&scheduler, "j"), Phase::Open);
    let starts = place(&mut scheduler, NOW);
    confirm_starts(&mut scheduler, &starts);
    end_run(&mut scheduler, &starts[0], Outcome::Failed);
    assert_eq!(phase(&scheduler, "j"), Phase::Failed);
}

#[test]
fn only_failed_runs_count_as_attempts() {
    let mut scheduler = pool(&["w1", "w2"], None);
    submit(&mut scheduler, "j", vec![step(1)]);
    for outcome in [Outcome::LeaseExpired, Outcome::GangBroken, Outcome::Failed, Outcome::Stopped] {
        let starts = place(&mut scheduler, NOW);
        confirm_starts(&mut scheduler, &starts);
        end_run(&mut scheduler, &starts[0], outcome);
        assert_eq!(phase(&scheduler, "j"), Phase::Open, "{outcome:?}");
    }
    let starts = place(&mut scheduler, NOW);
    assert_eq!(starts[0].run, 5);
    confirm_starts(&mut scheduler, &starts);
    end_run(&mut scheduler, &starts[0], Outcome::Failed);
    assert_eq!(phase(&scheduler, "j"), Phase::Failed);
    assert_eq!(place(&mut scheduler, NOW).len(), 0);
}

#[test]
fn advice_requested_before_placement() {
    let mut scheduler = pool(&["w1", "w2", "w3"], Some(advice_policy()));
    submit(&mut scheduler, "j", vec![step(2)]);
    assert_eq!(place(&mut scheduler, NOW).len(), 0);
    let advice_calls = std::mem::take(&mut scheduler.advice_calls);
    assert_eq!(advice_calls.len(), 1);
    assert_eq!(place(&mut scheduler, NOW).len(), 0);
    assert!(scheduler.advice_calls.is_empty(), "one advice call at a time for a step");
    let allowed = vec![(Name::new("w2"), Name::new("ticket"))];
    answer_advice(&mut scheduler, "j", 0, Some((allowed, Duration::from_millis(1500))), NOW);
    let starts = place(&mut scheduler, NOW);
    assert!(starts.iter().all(|start| &*start.worker == "w2"));
    assert_eq!(starts.len(), 2);
}

#[test]
fn expired_ticket_is_renewed_not_used() {
    let mut scheduler = pool(&["w1"], Some(advice_policy()));
    submit(&mut scheduler, "j", vec![step(1)]);
    place(&mut scheduler, NOW);
    scheduler.advice_calls.clear();
    let allowed = vec![(Name::new("w1"), Name::new("ticket"))];
    answer_advice(&mut scheduler, "j", 0, Some((allowed, Duration::from_millis(1500))), NOW);
    assert_eq!(place(&mut scheduler, NOW + secs(2)).len(), 0);
    let advice_calls = std::mem::take(&mut scheduler.advice_calls);
    assert_eq!(advice_calls[0].workers, [Name::new("w1")]);
}

#[test]
fn refused_ticket_is_requested_again() {
    let mut scheduler = pool(&["w1"], Some(advice_policy()));
    submit(&mut scheduler, "j", vec![step(1)]);
    place(&mut scheduler, NOW);
    scheduler.advice_calls.clear();
    let allowed = vec![(Name::new("w1"), Name::new("ticket"))];
    answer_advice(&mut scheduler, "j", 0, Some((allowed, Duration::from_millis(1500))), NOW);
    let starts = place(&mut scheduler, NOW);
    let proof = scheduler.not_started(&starts[0]).expect("it was not sent");
    scheduler.reject_start(&starts[0], proof, Refusal::Ticket, NOW, 0);
    assert_eq!(place(&mut scheduler, NOW).len(), 0);
    assert_eq!(scheduler.advice_calls.len(), 1);
}

#[test]
fn cancel_withdraws_unsent_starts() {
    let mut scheduler = pool(&["w1"], None);
    submit(&mut scheduler, "j", vec![step(2)]);
    let starts = place(&mut scheduler, NOW);
    confirm_starts(&mut scheduler, &starts[..1]);
    assert!(scheduler.cancel("j", 0));
    assert_eq!(scheduler.stops.len(), 1);
    let worker = scheduler.pool.get("w1").expect("the worker is known");
    assert_eq!(worker.assignments.len(), 1, "the started run keeps its capacity");
}

#[test]
fn worker_quarantined_after_consecutive_failures() {
    let mut scheduler = pool(&["w1"], None);
    for job in ["a", "b", "c"] {
        submit(&mut scheduler, job, vec![step(1)]);
        let starts = place(&mut scheduler, NOW);
        confirm_starts(&mut scheduler, &starts);
        end_run(&mut scheduler, &starts[0], Outcome::Failed);
        scheduler.cancel(job, 0);
    }
    assert_eq!(scheduler.newly_quarantined, [Name::new("w1")]);
    submit(&mut scheduler, "d", vec![step(1)]);
    assert_eq!(place(&mut scheduler, NOW + secs(2)).len(), 0);
    assert_eq!(place(&mut scheduler, NOW + secs(10)).len(), 1, "the quarantine has ended");
}

#[test]
fn listing_resolves_runs_of_previous_leader() {
    let mut first = pool(&["w1", "w2"], None);
    submit(&mut first, "j", vec![step(2)]);
    let starts = place(&mut first, NOW);
    let record = first.jobs["j"].record();
    let mut second = pool(&["w1", "w2"], None);
    second.add_job(scheduler::Job::from_record(record, NOW).expect("the record is valid"));
    assert_eq!(place(&mut second, NOW).len(), 0, "both runs may still be active");
    let run = ActiveRun {
        key: Some(starts[0].key.clone()),
        run: 1,
        checkpoint: Name::default(),
        percent: 0,
    };
    let listing =
        Listing { incarnation: 1, running: vec![run], finished: Vec::new(), is_complete: true };
    second.apply_listing(&starts[0].worker, &listing, false, NOW, NOW, 0);
    let restarts = place(&mut second, NOW);
    assert_eq!(restarts.len(), 1);
    assert_eq!((restarts[0].key.index, restarts[0].run), (starts[1].key.index, 2));
}

/// Applies an empty list of a new incarnation of `w1`.
fn list_incarnation(scheduler: &mut Scheduler, incarnation: u64, now: Duration) {
    let listing =
        Listing { incarnation, running: Vec::new(), finished: Vec::new(), is_complete: true };
    scheduler.apply_listing(&Name::new("w1"), &listing, true, now, now, 0);
}

// Guards against tasks that start on a worker which has restarted as one of another kind.
#[test]
fn restarted_worker_is_not_used_before_its_registration_is_known() {
    let mut scheduler = pool(&["w1"], None);
    list_incarnation(&mut scheduler, 1, NOW);
    list_incarnation(&mut scheduler, 2, NOW);
    submit(&mut scheduler, "j", vec![Step { requirement: "kind".to_owned(), ..step(1) }]);
    assert_eq!(place(&mut scheduler, NOW).len(), 0, "its kind is not known");
    let labels = vec![Name::new("other"), Name::new("rack")];
    let other = Registration { incarnation: 2, labels, ..new_registration("w1", 2000) };
    scheduler.pool.register(other);
    list_incarnation(&mut scheduler, 2, NOW);
    assert_eq!(place(&mut scheduler, NOW).len(), 0, "its kind is another one");
    let same = Registration { incarnation: 3, ..new_registration("w1", 2000) };
    scheduler.pool.register(same);
    assert_eq!(place(&mut scheduler, NOW).len(), 0, "it has not listed its runs");
    list_incarnation(&mut scheduler, 3, NOW);
    assert_eq!(place(&mut scheduler, NOW).len(), 1);
}

// Guards against advice on a worker's former incarnation, which may have been of another kind.
#[test]
fn restarted_worker_is_advised_anew() {
    for allowed in [vec![(Name::new("w1"), Name::new("ticket"))], Vec::new()] {
        let mut scheduler = pool(&["w1"], Some(advice_policy()));
        list_incarnation(&mut scheduler, 1, NOW);
        submit(&mut scheduler, "j", vec![step(1)]);
        place(&mut scheduler, NOW);
        scheduler.advice_calls.clear();
        answer_advice(&mut scheduler, "j", 0, Some((allowed, Duration::from_millis(1500))), NOW);
        let next = Registration { incarnation: 2, ..new_registration("w1", 2000) };
        scheduler.pool.register(next);
        list_incarnation(&mut scheduler, 2, NOW);
        assert_eq!(place(&mut scheduler, NOW).len(), 0);
        assert_eq!(scheduler.advice_calls.len(), 1);
    }
}

/// A pool in which the next leader knows only a job's record, and the listing of `w1`, which lists
/// its runs in `starts`.
fn take_over(former: &Scheduler, id: &str, starts: &[StartOrder]) -> (Scheduler, Listing) {
    let mut scheduler = pool(&["w1", "w2"], None);
    let record = former.jobs[id].record();
    scheduler.add_job(scheduler::Job::from_record(record, NOW).expect("the record is valid"));
    let own = starts.iter().filter(|start| &*start.worker == "w1");
    let running = own.map(|start| ActiveRun {
        key: Some(start.key.clone()),
        run: start.run,
        checkpoint: Name::default(),
        percent: 0,
    });
    let listing = Listing {
        incarnation: 1,
        running: running.collect(),
        finished: Vec::new(),
        is_complete: true,
    };
    (scheduler, listing)
}

// Guards against tasks of a cancelled or failed job that run on after a change of leader.
#[test]
fn listing_stops_runs_of_job_ended_under_previous_leader() {
    for phase in [Phase::Cancelled, Phase::Failed] {
        let mut first = pool(&["w1", "w2"], None);
        submit(&mut first, "j", vec![step(2)]);
        let starts = place(&mut first, NOW);
        confirm_starts(&mut first, &starts);
        first.cancel("j", 0);
        first.jobs.get_mut("j").expect("the job is known").phase = phase;
        let (mut second, listing) = take_over(&first, "j", &starts);
        second.apply_listing(&Name::new("w1"), &listing, false, NOW, NOW, 0);
        assert_eq!(second.stops.len(), listing.running.len(), "{phase:?}");
        second.apply_listing(&Name::new("w1"), &listing, false, NOW, NOW, 0);
        assert_eq!(second.stops.len(), listing.running.len(), "each run is stopped once");
    }
}

// Guards against tasks that run twice as a worker lists only the first of many ended runs.
#[test]
fn incomplete_list_ends_no_run_that_it_lacks() {
    let mut first = pool(&["w1"], None);
    submit(&mut first, "j", vec![step(2)]);
    let starts = place(&mut first, NOW);
    confirm_starts(&mut first, &starts);
    let (next, _) = take_over(&first, "j", &starts);
    let empty =
        Listing { incarnation: 1, running: Vec::new(), finished: Vec::new(), is_complete: false };
    for mut scheduler in [first, next] {
        scheduler.apply_listing(&Name::new("w1"), &empty, false, NOW + secs(1), NOW + secs(1), 0);
        assert_eq!(place(&mut scheduler, NOW + secs(2)).len(), 0, "both may have succeeded");
        assert_eq!(scheduler.pool.get("w1").expect("the worker is known").assignments.len(), 2);
        let complete = Listing { is_complete: true, ..empty.clone() };
        scheduler.apply_listing(
            &Name::new("w1"),
            &complete,
            false,
            NOW + secs(2),
            NOW + secs(2),
            0,
        );
        assert_eq!(place(&mut scheduler, NOW + secs(3)).len(), 2);
    }
}

// Guards against gang members that wait for an ended one after a change of leader.
#[test]
fn listing_stops_rest_of_gang_broken_under_previous_leader() {
    let mut first = pool(&["w1", "w2"], None);
    submit(&mut first, "j", vec![Step { is_gang: true, ..step(3) }]);
    let starts = place(&mut first, NOW);
    confirm_starts(&mut first, &starts);
    let ended = starts.iter().find(|start| &*start.worker == "w2").expect("w2 has a member");
    end_run(&mut first, ended, Outcome::LeaseExpired);
    let (mut second, listing) = take_over(&first, "j", &starts);
    second.apply_listing(&Name::new("w1"), &listing, false, NOW, NOW, 0);
    assert!(!listing.running.is_empty());
    assert_eq!(second.stops.len(), listing.running.len());
}

#[test]
fn reported_state_follows_durable_phase() {
    let mut scheduler = pool(&["w1"], None);
    submit(&mut scheduler, "j", vec![step(1)]);
    assert_eq!(scheduler.jobs["j"].reported_state(), None);
    let mark_durable = |scheduler: &mut Scheduler| {
        let job = scheduler.jobs.get_mut("j").expect("j was submitted");
        job.durable_phase = Some(job.phase);
        job.reported_state()
    };
    assert_eq!(mark_durable(&mut scheduler), Some(JobState::Queued));
    let starts = place(&mut scheduler, NOW);
    assert_eq!(mark_durable(&mut scheduler), Some(JobState::Queued));
    confirm_starts(&mut scheduler, &starts);
    assert_eq!(mark_durable(&mut scheduler), Some(JobState::Running));
    end_run(&mut scheduler, &starts[0], Outcome::Done);
    assert_eq!(
        scheduler.jobs["j"].reported_state(),
        Some(JobState::Running),
        "the end is not durable yet"
    );
    assert_eq!(mark_durable(&mut scheduler), Some(JobState::Completed));
    assert!(!scheduler.cancel("j", 0));
}

#[test]
fn unknown_run_is_stopped_and_blocks_placement() {
    let mut scheduler = pool(&["w1"], None);
    let key = TaskKey { job: Name::new("x"), step: 0, index: 0 };
    let run = ActiveRun { key: Some(key), run: 3, checkpoint: Name::default(), percent: 0 };
    let listing =
        Listing { incarnation: 1, running: vec![run], finished: Vec::new(), is_complete: true };
    scheduler.apply_listing(&Name::new("w1"), &listing, false, NOW, NOW, 0);
    assert_eq!(scheduler.stops.len(), 1);
    submit(&mut scheduler, "j", vec![step(1)]);
    assert_eq!(place(&mut scheduler, NOW).len(), 0, "its free capacity is unknown");
}

#[test]
fn jobs_of_removed_queue_still_run() {
    let mut scheduler = pool(&["w1"], None);
    submit(&mut scheduler, "j", vec![step(1)]);
    let mut rules_without_queue = rules(None);
    rules_without_queue.version = 2;
    rules_without_queue.queues.clear();
    scheduler.set_rules(rules_without_queue.clone());
    assert_eq!(place(&mut scheduler, NOW).len(), 1);

    let record = scheduler.jobs["j"].record();
    let mut later = pool(&["w1"], None);
    later.set_rules(rules_without_queue);
    later.add_job(scheduler::Job::from_record(record, NOW).expect("the record is valid"));
    let listing =
        Listing { incarnation: 1, running: Vec::new(), finished: Vec::new(), is_complete: true };
    later.apply_listing(&Name::new("w1"), &listing, false, NOW, NOW, 0);
    assert_eq!(place(&mut later, NOW).len(), 1);
}

#[test]
fn gang_with_enough_candidates_requests_no_advice() {
    let mut scheduler = pool(&["w1", "w2", "w3", "w4", "w5"], Some(advice_policy()));
    submit(&mut scheduler, "busy", vec![step(10)]);
    place(&mut scheduler, NOW);
    scheduler.advice_calls.clear();
    let tickets = |ids: &[&str]| {
        let allowed = ids.iter().map(|id| (Name::new(id), Name::new("t"))).collect();
        Some((allowed, Duration::from_millis(1500)))
    };
    answer_advice(&mut scheduler, "busy", 0, tickets(&["w1", "w2", "w3", "w4", "w5"]), NOW);
    let starts = place(&mut scheduler, NOW);
    confirm_starts(&mut scheduler, &starts);
    let first = starts.iter().find(|start| &*start.worker == "w5").expect("w5 has a run");
    end_run(&mut scheduler, first, Outcome::Done);
    let mut gang = step(2);
    gang.is_gang = true;
    submit(&mut scheduler, "gang", vec![gang]);
    place(&mut scheduler, NOW);
    let advice_calls = std::mem::take(&mut scheduler.advice_calls);
    assert_eq!(advice_calls.len(), 1);
    let allowed: Vec<&str> = vec!["w1", "w2"];
    scheduler.jobs.get_mut("gang").expect("the job is known").steps[0].pending_advice =
        BTreeMap::from([(1, vec![Name::new("w1"), Name::new("w2")])]);
    answer_advice(&mut scheduler, "gang", 0, tickets(&allowed), NOW);
    assert_eq!(place(&mut scheduler, NOW).len(), 0);
    assert!(scheduler.advice_calls.is_empty(), "four places are enough candidates for two tasks");
}

#[test]
fn plan_bounds_steps_per_pass() {
    let ids: Vec<String> = (0..400).map(|number| format!("w{number}")).collect();
    let ids: Vec<&str> = ids.iter().map(String::as_str).collect();
    let mut scheduler = pool(&ids, Some(advice_policy()));
    for number in 0..400 {
        submit(&mut scheduler, &format!("j{number:03}"), vec![step(1)]);
    }
    place(&mut scheduler, NOW);
    assert_eq!(scheduler.advice_calls.len(), 150);
    assert_eq!(&*scheduler.advice_calls[0].key.job, "j000", "the highest rank is visited first");
}

// Guards against gangs that no room suffices for and that hold back others for ever.
#[test]
fn gangs_with_too_few_allowed_workers_hold_back_no_others() {
    let mut scheduler = pool(&["w1", "w2"], Some(advice_policy()));
    for id in ["a1", "a2", "a3", "a4"] {
        submit(&mut scheduler, id, vec![Step { is_gang: true, ..step(4) }]);
    }
    submit(&mut scheduler, "b", vec![step(1)]);
    let mut starts = Vec::new();
    for tick in 0..10 {
        starts.extend(place(&mut scheduler, NOW + secs(tick)));
        for call in std::mem::take(&mut scheduler.advice_calls) {
            let tickets = vec![(Name::new("w1"), Name::new("t"))];
            scheduler.apply_advice(&call.key, Some((tickets, secs(2))), NOW + secs(tick));
        }
    }
    assert_eq!(starts.iter().map(|start| &*start.key.job).collect::<Vec<_>>(), ["b"]);
}

// Guards against a failing advice service that gets calls about the same step without pause.
#[test]
fn failed_advice_is_retried_with_growing_delay() {
    let mut scheduler = pool(&["w1"], Some(advice_policy()));
    submit(&mut scheduler, "j", vec![step(1)]);
    let mut calls = 0;
    for tick in 0..1000 {
        let now = NOW + Duration::from_millis(10) * tick;
        scheduler.plan(now, NO_DELAY, ample_advice());
        for call in std::mem::take(&mut scheduler.advice_calls) {
            calls += 1;
            scheduler.apply_advice(&call.key, None, now);
        }
    }
    assert!((5..=20).contains(&calls), "{calls} calls in ten seconds");
}

// Guards against steps that cannot run using up a pass, so that lower ranks never run.
#[test]
fn plan_places_step_behind_many_that_cannot_run() {
    let mut scheduler = pool(&["w1"], None);
    for number in 0..200 {
        let gang = Step { is_gang: true, requirement: "none".to_owned(), ..step(2) };
        submit(&mut scheduler, &format!("a{number:03}"), vec![gang]);
        let single = Step { requirement: "none".to_owned(), ..step(1) };
        submit(&mut scheduler, &format!("b{number:03}"), vec![single]);
    }
    submit(&mut scheduler, "c", vec![step(1)]);
    assert_eq!(place(&mut scheduler, NOW).len(), 1);
}

#[test]
fn gang_with_busy_candidates_requests_advice_after_delay() {
    let ids: Vec<String> = (0..28).map(|number| format!("w{number:02}")).collect();
    let ids: Vec<&str> = ids.iter().map(String::as_str).collect();
    let mut scheduler = pool(&ids, Some(advice_policy()));
    submit(&mut scheduler, "j1", vec![Step { is_gang: true, ..step(4) }]);
    scheduler.plan(NOW, NO_DELAY, ample_advice());
    let advice_call =
        std::mem::take(&mut scheduler.advice_calls).pop().expect("advice is requested");
    let allowed: Vec<Name> = advice_call.workers.iter().take(4).cloned().collect();
    for id in &allowed {
        scheduler.pool.get_mut(id).expect("the worker is known").allocated =
            Resources { cpu: 2000, mem: 0, gpus: 0 };
    }
    let tickets = allowed.into_iter().map(|id| (id, Name::new("t"))).collect();
    answer_advice(&mut scheduler, "j1", 0, Some((tickets, secs(2))), NOW);
    scheduler.plan(NOW + secs(1), NO_DELAY, ample_advice());
    assert!(scheduler.advice_calls.is_empty());
    scheduler.plan(NOW + secs(3), NO_DELAY, ample_advice());
    let advice_call =
        std::mem::take(&mut scheduler.advice_calls).pop().expect("advice is requested again");
    assert_eq!(advice_call.workers.len(), 4);
    let tickets = advice_call.workers.into_iter().take(2).map(|id| (id, Name::new("t"))).collect();
    answer_advice(&mut scheduler, "j1", 0, Some((tickets, secs(2))), NOW + secs(3));
    assert_eq!(place(&mut scheduler, NOW + secs(3)).len(), 4);
}

/// A pool of 40 workers of two places, in which five gangs of four have advice on the first four.
fn pool_with_gangs() -> Scheduler {
    let ids: Vec<String> = (0..40).map(|number| format!("w{number:02}")).collect();
    let ids: Vec<&str> = ids.iter().map(String::as_str).collect();
    let mut scheduler = pool(&ids, Some(advice_policy()));
    for id in ["a1", "a2", "a3", "a4", "b"] {
        submit(&mut scheduler, id, vec![Step { is_gang: true, ..step(4) }]);
        let gang = scheduler.jobs.get_mut(id).expect("the job is known");
        let named = ["w00", "w01", "w02", "w03"].map(Name::new);
        gang.steps[0].pending_advice = BTreeMap::from([(1, named.to_vec())]);
        let tickets = named.into_iter().map(|worker| (worker, Name::new("t"))).collect();
        answer_advice(&mut scheduler, id, 0, Some((tickets, Duration::from_millis(1500))), NOW);
    }
    scheduler
}

/// Jobs for which advice was requested up to two seconds later.
fn jobs_asked_about(scheduler: &mut Scheduler) -> BTreeSet<Name> {
    for tick in 0..=20 {
        scheduler.plan(NOW + Duration::from_millis(100) * tick, NO_DELAY, ample_advice());
    }
    scheduler.advice_calls.drain(..).map(|call| call.key.job).collect()
}

// Guards against gangs that wait for allowed workers that have left, while others are free.
#[test]
fn gangs_whose_allowed_workers_left_request_advice() {
    let mut scheduler = pool_with_gangs();
    for id in ["w00", "w01", "w02", "w03"] {
        let worker = scheduler.pool.get_mut(id).expect("the worker is known");
        worker.registration.is_draining = true;
    }
    let jobs = jobs_asked_about(&mut scheduler);
    assert_eq!(jobs.len(), 5, "{jobs:?}");
}

// Guards against gangs that never ask about free workers behind others that wait for room.
#[test]
fn gang_behind_gangs_that_wait_requests_advice() {
    let mut scheduler = pool_with_gangs();
    for id in ["w00", "w01", "w02", "w03"] {
        let worker = scheduler.pool.get_mut(id).expect("the worker is known");
        worker.allocated = Resources { cpu: 2000, mem: 0, gpus: 0 };
    }
    let jobs = jobs_asked_about(&mut scheduler);
    assert!(jobs.contains("b"), "{jobs:?}");
}

#[test]
fn plan_only_on_workers_of_service_and_label() {
    let mut scheduler = pool(&["w1"], None);
    let other = Registration { service: Name::new("other"), ..new_registration("w2", 9000) };
    let labelled = Registration {
        labels: vec![Name::new("gpu"), Name::new("rack")],
        ..new_registration("w3", 2000)
    };
    for registration in [other, labelled] {
        let id = registration.id.clone();
        scheduler.pool.register(registration);
        scheduler.pool.get_mut(&id).expect("the worker is registered").has_current_token = true;
    }
    submit(&mut scheduler, "j1", vec![Step { requirement: "gpu".to_owned(), ..step(3) }]);
    let starts = place(&mut scheduler, NOW);
    assert_eq!(starts.len(), 2);
    assert!(starts.iter().all(|start| &*start.worker == "w3"), "{starts:?}");
    submit(&mut scheduler, "j2", vec![step(3)]);
    let starts = place(&mut scheduler, NOW);
    assert!(starts.iter().all(|start| &*start.worker == "w1"), "{starts:?}");
    assert_eq!(starts.len(), 2);
}

#[test]
fn plan_skips_draining_or_unconfirmed_workers() {
    let mut scheduler = pool(&["w1", "w2"], None);
    let leaving = Registration { is_draining: true, ..new_registration("w1", 2000) };
    scheduler.pool.register(leaving);
    scheduler.pool.get_mut("w2").expect("the worker is registered").has_current_token = false;
    submit(&mut scheduler, "j1", vec![step(1)]);
    assert!(place(&mut scheduler, NOW).is_empty());
    scheduler.pool.get_mut("w2").expect("the worker is registered").has_current_token = true;
    assert_eq!(place(&mut scheduler, NOW).len(), 1);
}

/// Guards against a stop of a confirmed run that a listing requested earlier does not show.
#[test]
fn listing_requested_before_confirmed_resend_stops_nothing() {
    let mut scheduler = pool(&["w1"], None);
    submit(&mut scheduler, "j", vec![step(1)]);
    let starts = place(&mut scheduler, NOW);
    let start = &starts[0];
    let worker = scheduler.pool.get_mut("w1").expect("the worker is known");
    let assignment = worker.assignment_mut(&start.key, start.run).expect("the run is assigned");
    assignment.state = RunState::Sent;
    assignment.fate.record_send();
    assignment.fate.record_unanswered(NOW);
    assignment.fate.record_send();
    scheduler.confirm_start(start, NOW + secs(1));
    let empty =
        Listing { incarnation: 1, running: Vec::new(), finished: Vec::new(), is_complete: true };
    scheduler.apply_listing(&start.worker, &empty, false, NOW, NOW + secs(2), 0);
    assert!(scheduler.stops.is_empty(), "the listing may be older than the run");
    scheduler.apply_listing(&start.worker, &empty, false, NOW + secs(2), NOW + secs(3), 0);
    assert_eq!(scheduler.stops.len(), 1, "the first send may start the run again");
}
