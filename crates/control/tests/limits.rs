//! Limits of workspaces, as callers and operators see them.

mod support;

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use common::Name;
use control::{
    Answer, Counter, Credential, Event, Gauge, Meter, OTHER_WORKSPACES, Operation, Timing, View,
    WorkspaceGauge, WorkspaceValues,
};
use scheduler::{JobState, Resources, Step, Submission, Workspace, Workspaces};
use serde_json::Value;
use slog::{Drain, Logger, OwnedKVList, Record};
use support::{Simulation, job, rules, step};

/// Workspace with a limit of two cores and the largest weight.
const RED: &str = "red";

/// Workspaces without a limit.
const FREE_WORKSPACES: u32 = 40;

/// Workspaces with metrics of their own.
const REPORTED: usize = 32;

/// Time within which a leader reports what has changed.
const REPORT_TIME: Duration = Duration::from_secs(5);

/// The latest values of workspaces, and the number of starts withdrawn for their limits.
#[derive(Debug, Default)]
struct Values(RefCell<Vec<WorkspaceValues>>, Cell<u64>);

impl Meter for Values {
    fn add(&self, counter: Counter, label: &'static str, by: u64) {
        if counter == Counter::StartsRejected && label == "limit" {
            self.1.set(self.1.get() + by);
        }
    }

    fn record_duration(&self, _timing: Timing, _duration: Duration) {}
    fn set_gauge(&self, _gauge: Gauge, _value: u64) {}

    fn set_workspaces(&self, workspaces: Vec<WorkspaceValues>) {
        *self.0.borrow_mut() = workspaces;
    }
}

/// Drain that counts the lines about workspaces at their limits.
#[derive(Debug, Default, Clone)]
struct LimitLines(Arc<Mutex<usize>>);

impl Drain for LimitLines {
    type Ok = ();
    type Err = slog::Never;

    fn log(&self, record: &Record<'_>, _values: &OwnedKVList) -> Result<(), slog::Never> {
        if record.msg().to_string() == Event::WorkspaceAtLimit.text() {
            *self.0.lock().expect("no test panicked") += 1;
        }
        Ok(())
    }
}

fn workspace(name: &str, weight: u32, cpu: u32) -> Workspace {
    let limit = Resources { cpu, ..Resources::default() };
    Workspace { name: Name::new(name), weight, limit, keys: Vec::new() }
}

/// A cell of nodes with two workers of four cores, in which the first workspace has a limit.
fn limited_cell(nodes: usize) -> Simulation {
    let mut sim = Simulation::new(1, nodes, 2);
    let free = (0..FREE_WORKSPACES).map(|number| workspace(&format!("free{number:02}"), 5, 0));
    let all = std::iter::once(workspace(RED, 9, 2000)).chain(free);
    sim.rules = scheduler::Rules { workspaces: Workspaces::new(all), ..rules(false) };
    // An operator names the workspace of each job, and may ask for views.
    sim.credential = Credential::Operator;
    sim
}

fn start(sim: &mut Simulation) {
    for node in 0..sim.slots.len() {
        sim.start(node);
    }
    assert!(sim.run_until(Duration::from_secs(5), |sim| sim.leader().is_some()));
    sim.run(Duration::from_secs(1));
}

fn red_job(id: &str, steps: Vec<Step>) -> Submission {
    Submission { workspace: RED.to_owned(), ..job(id, steps) }
}

fn answer(sim: &mut Simulation, node: usize, op: Operation) -> Answer {
    let token = sim.call(node, op);
    sim.run_until(Duration::from_secs(4), |sim| sim.answers.contains_key(&token));
    sim.answers.get(&token).cloned().expect("it is answered")
}

fn view(sim: &mut Simulation, node: usize, view: View) -> Value {
    let Answer::View(text) = answer(sim, node, Operation::View(view)) else {
        panic!("it is a view")
    };
    serde_json::from_str(&text).expect("it is JSON")
}

// Guards against gangs that are accepted and wait for ever, and against a reason that is lost
// between daemons.
#[test]
fn gang_beyond_limit_is_refused_with_reason() {
    let mut sim = limited_cell(2);
    start(&mut sim);
    let gang = Step { is_gang: true, ..step(3, 300) };
    let expected = "the gang of step 0 needs 3000 mcpu at a time, and its workspace may use 2000";
    for node in 0..2 {
        let id = format!("gang{node}");
        let submission = red_job(&id, vec![gang.clone()]);
        let refused = answer(&mut sim, node, Operation::Submit(submission));
        assert_eq!(refused, Answer::NeverFits(expected.to_owned()), "node {node}");
        let state = answer(&mut sim, node, Operation::GetState(Name::new(&id)));
        assert_eq!(state, Answer::JobNotFound);
    }
    let fitting = Step { count: 2, ..gang };
    let accepted = answer(&mut sim, 0, Operation::Submit(red_job("fits", vec![fitting])));
    assert_eq!(accepted, Answer::Accepted);
    assert!(sim.wait_for_state("fits", JobState::Completed, Duration::from_secs(5)));
}

// Guards against workers that run more of a workspace than its limit allows, and against jobs that
// are left behind at it.
#[test]
fn workspace_runs_within_limit() {
    let mut sim = limited_cell(1);
    sim.run_time = Some(Duration::from_millis(300));
    start(&mut sim);
    for number in 0..8 {
        assert_eq!(
            sim.submit(red_job(&format!("red{number}"), vec![step(1, 300)])),
            Some(Answer::Accepted)
        );
    }
    let mut most = 0;
    for _ in 0..300 {
        sim.run(Duration::from_millis(10));
        most = most.max(sim.workers.values().map(|worker| worker.running.len()).sum());
    }
    assert_eq!(most, 2);
    for number in 0..8 {
        assert!(sim.wait_for_state(&format!("red{number}"), JobState::Completed, REPORT_TIME));
    }
}

// Guards against a limit that no view, metric or line shows, and against one series for each
// workspace.
#[test]
fn waits_at_limit_are_shown() {
    let values = Rc::new(Values::default());
    let lines = LimitLines::default();
    let mut sim = limited_cell(2);
    sim.meter = Rc::<Values>::clone(&values);
    sim.log = Some(Logger::root(lines.clone(), slog::o!()));
    sim.run_time = Some(Duration::from_secs(20));
    start(&mut sim);
    for number in 0..3 {
        let submission = red_job(&format!("red{number}"), vec![step(1, 300)]);
        assert_eq!(sim.submit(submission), Some(Answer::Accepted));
    }
    sim.run(REPORT_TIME);
    for node in 0..2 {
        let shown = view(&mut sim, node, View::Workspaces);
        let rows = shown["rows"].as_array().expect("it has rows");
        assert_eq!(rows.len(), 1 + FREE_WORKSPACES as usize);
        let red = &rows[0];
        assert_eq!((&red["workspace"], &red["weight"]), (&RED.into(), &9.into()), "{red}");
        assert_eq!((&red["used"]["cpu"], &red["limit"]["cpu"]), (&2000.into(), &2000.into()));
        assert_eq!((&red["tasks"], &red["waiting"]), (&2.into(), &1.into()), "{red}");
        assert_eq!(red["at_limit"], true);
        assert!(red["at_limit_ms"].as_u64().is_some_and(|ms| ms > 3000), "{red}");
        let explained = view(&mut sim, node, View::Job(Name::new("red2")));
        let reason =
            "workspace red is at its limit: 2000 of 2000 mcpu are in use, 1000 more are needed";
        assert_eq!(explained["steps"][0]["waits"], reason);
    }
    let values = values.0.borrow();
    assert_eq!(values.len(), REPORTED + 1);
    let red = &values[0];
    assert_eq!(&*red.workspace, RED);
    assert_eq!(red.values[WorkspaceGauge::Tasks as usize], 2);
    assert_eq!(red.values[WorkspaceGauge::WaitingJobs as usize], 1);
    assert_eq!(red.values[WorkspaceGauge::LimitCpu as usize], 2000);
    assert_eq!(&*values[REPORTED].workspace, OTHER_WORKSPACES);
    assert_eq!(*lines.0.lock().expect("no test panicked"), 1, "once a minute");
}

/// Submits six jobs some time after a version of the rules with a limit of two cores instead of six
/// was stored; returns the starts that were withdrawn and the most tasks that ran at a time.
fn jobs_around_falling_limit(submitted_after: Duration) -> (u64, usize) {
    let values = Rc::new(Values::default());
    let mut sim = limited_cell(1);
    sim.meter = Rc::<Values>::clone(&values);
    sim.run_time = Some(Duration::from_millis(300));
    sim.rules.workspaces = Workspaces::new([workspace(RED, 9, 6000)]);
    start(&mut sim);
    sim.faults.commit_answer_delay = Duration::from_millis(300);
    sim.rules.version = 2;
    sim.rules.workspaces = Workspaces::new([workspace(RED, 9, 2000)]);
    sim.run(submitted_after);
    for number in 0..6 {
        sim.call(0, Operation::Submit(red_job(&format!("red{number}"), vec![step(1, 300)])));
    }
    let mut most = 0;
    for _ in 0..200 {
        sim.run(Duration::from_millis(10));
        most = most.max(sim.workers.values().map(|worker| worker.running.len()).sum());
    }
    for number in 0..6 {
        let id = format!("red{number}");
        assert!(sim.wait_for_state(&id, JobState::Completed, 2 * REPORT_TIME), "{id}");
    }
    assert!(sim.violations.is_empty(), "{:?}", sim.violations);
    (values.1.get(), most)
}

// Guards against starts that are sent after their commit although the limit fell meanwhile, against
// a withdrawal that no metric shows, and against jobs that are lost by it.
#[test]
fn falling_limit_withdraws_starts_that_await_commit() {
    // The leader learns of the version 1.6 to 2 s after it was stored.
    let offsets = (60..100).map(|number| Duration::from_millis(25) * number);
    let results: Vec<(u64, usize)> = offsets.map(jobs_around_falling_limit).collect();
    assert!(results.iter().any(|(withdrawn, most)| *withdrawn > 0 && *most == 2), "{results:?}");
    for (withdrawn, most) in &results {
        // Starts that were sent before go on; those that were not are withdrawn.
        let is_obeyed = *most <= 2 || *withdrawn as usize + *most == 6;
        assert!(is_obeyed, "{withdrawn} withdrawn, {most} ran: {results:?}");
    }
}
