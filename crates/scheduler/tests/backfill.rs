//! Room that a gang collects while a long task occupies what it lacks.
//!
//! The pattern: a pool is idle but for one long task, and a gang waits for the whole pool. Short
//! jobs that keep coming must not wait for the long task to end.

mod support;

use std::time::Duration;

use common::Name;
use scheduler::{Outcome, RunState, Scheduler, StartOrder, Step};
use support::{NO_DELAY, NOW, ample_advice, end_run, pool, secs, step, submit};

/// Interval between passes.
const TICK: Duration = Duration::from_millis(100);

/// A pool of two workers with two places each, and its runs with the times of their ends.
struct Cell {
    scheduler: Scheduler,
    now: Duration,
    runs: Vec<(Duration, StartOrder)>,
    /// Job and time of each start.
    starts: Vec<(Name, Duration)>,
}

impl Cell {
    /// A cell with a task of `estimate_ms` at work, and a gang that waits for all places.
    fn with_waiting_gang(estimate_ms: u32) -> Self {
        let scheduler = pool(&["w1", "w2"], None);
        let mut cell = Self { scheduler, now: NOW, runs: Vec::new(), starts: Vec::new() };
        submit(&mut cell.scheduler, "long", vec![Step { estimate: estimate_ms, ..step(1) }]);
        cell.tick();
        // Its estimate ranks it before the others.
        let gang = Step { is_gang: true, estimate: 100, ..step(4) };
        submit(&mut cell.scheduler, "a-gang", vec![gang]);
        cell.tick();
        cell
    }

    /// Ends the runs that are due and runs a pass; the long task takes 45 s, others 0.5 s.
    fn tick(&mut self) {
        self.now += TICK;
        let due: Vec<_> = self.runs.extract_if(.., |(end, _)| *end <= self.now).collect();
        for (_, start) in due {
            self.end_run(&start);
        }
        self.scheduler.plan(self.now, NO_DELAY, ample_advice());
        for start in std::mem::take(&mut self.scheduler.starts) {
            let worker = self.scheduler.pool.get_mut(&start.worker).expect("the worker is known");
            let assignment = worker.assignment_mut(&start.key, start.run);
            assignment.expect("the run is assigned").state = RunState::Sent;
            self.scheduler.confirm_start(&start, self.now);
            self.starts.push((start.key.job.clone(), self.now));
            let run_ms = if &*start.key.job == "long" { 45_000 } else { 500 };
            self.runs.push((self.now + Duration::from_millis(run_ms), start));
        }
    }

    fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.tick();
        }
    }

    fn end_run(&mut self, start: &StartOrder) {
        let others = self.runs.iter().filter(|(_, run)| run.worker == start.worker);
        let active = others.map(|(_, run)| (&run.key, run.run));
        end_run(&mut self.scheduler, start, Outcome::Done, active, self.now);
    }

    /// Time of a job's first start since the cell was made.
    fn started_at(&self, id: &str) -> Option<Duration> {
        self.starts.iter().find(|(job, _)| &**job == id).map(|(_, at)| *at)
    }
}

// Guards against an idle pool whose room is reserved for as long as another job's task runs.
#[test]
fn short_jobs_start_while_gang_waits_for_long_task() {
    let mut cell = Cell::with_waiting_gang(45_000);
    cell.run(secs(4));
    submit(&mut cell.scheduler, "short", vec![Step { estimate: 500, ..step(2) }]);
    cell.run(secs(1));
    assert!(cell.started_at("short").is_some());
}

// Guards against estimates that are too low: an overdue task may last on.
#[test]
fn short_jobs_start_while_gang_waits_for_overdue_task() {
    let mut cell = Cell::with_waiting_gang(1000);
    cell.run(secs(20));
    submit(&mut cell.scheduler, "short", vec![Step { estimate: 500, ..step(2) }]);
    cell.run(secs(3));
    assert!(cell.started_at("short").is_some());
}

// Guards against a gang that waits for ever, as later jobs take the room that it collects.
#[test]
fn gang_starts_after_long_task_under_load_of_short_jobs() {
    let mut cell = Cell::with_waiting_gang(45_000);
    for number in 0..450 {
        submit(&mut cell.scheduler, &format!("s{number}"), vec![Step { estimate: 500, ..step(1) }]);
        cell.tick();
    }
    cell.run(secs(3));
    let started = cell.started_at("a-gang").expect("the gang starts");
    assert!(started < NOW + secs(47), "{started:?}");
    let short_jobs = cell.starts.iter().filter(|(job, _)| job.starts_with('s')).count();
    assert!(short_jobs > 200, "{short_jobs}");
}

#[test]
fn job_that_would_outlast_wait_leaves_room_to_gang() {
    let mut cell = Cell::with_waiting_gang(45_000);
    cell.run(secs(4));
    submit(&mut cell.scheduler, "longer", vec![Step { estimate: 60_000, ..step(1) }]);
    cell.run(secs(5));
    assert_eq!(cell.started_at("longer"), None);
}
