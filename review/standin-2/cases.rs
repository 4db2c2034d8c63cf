//! The cases: each returns whether its rule held.

use std::collections::BTreeSet;
use std::io::{Error, Result};
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::cell::{Cell, Executor, Kind, MAX_ATTEMPTS, lock};
use crate::json::{Json, object};

/// Executors of a case.
const EXECUTORS: usize = 8;

/// Time after the end of the traffic at which jobs are asked for (`finish_s`).
const FINISH: Duration = Duration::from_secs(14);

/// Time for which a job may have nothing running.
const IDLE: Duration = Duration::from_secs(3);

/// Shortest time for which two runs are there; lines of executors are read within a few ms.
const LEAST_OVERLAP: Duration = Duration::from_millis(100);

/// A step of equal tasks.
#[derive(Debug, Clone, Copy, Default)]
struct Step {
    count: u64,
    cpu: u64,
    /// Whether it waits for the step before it.
    is_later: bool,
    is_gang: bool,
    /// Label that its executors must have; empty for none.
    requirement: &'static str,
}

/// Body of a job whose tasks all run for the same time, and fail if they are hopeless.
fn job(steps: &[Step], run_ms: u64, is_hopeless: bool) -> Json {
    let step = |(index, step): (usize, &Step)| {
        let mut fields = vec![
            ("count", Json::from(step.count)),
            ("cpu", step.cpu.into()),
            ("mem_mb", 256.into()),
            ("estimate_ms", run_ms.into()),
        ];
        if step.is_later {
            fields.push(("after", vec![(index as u64 - 1).into()].into()));
        }
        if step.is_gang {
            fields.push(("all_or_nothing", true.into()));
        }
        if !step.requirement.is_empty() {
            fields.push(("requirements", step.requirement.into()));
        }
        Json::Object(fields.into_iter().map(|(name, value)| (name.to_owned(), value)).collect())
    };
    let steps: Vec<Json> = steps.iter().enumerate().map(step).collect();
    let spec = format!("ms={run_ms}{}", if is_hopeless { " fail" } else { "" });
    object([("spec", spec.into()), ("steps", steps.into())])
}

/// Name of a task of a job without occurrences.
fn task_name(job: &str, step: usize, index: u64) -> String {
    let occurrence = 0;
    format!("{job}.{occurrence}.{step}.{index}")
}

/// Executors `i-0` and on; the kind of each follows from its number.
fn executors(kind: impl Fn(usize) -> &'static str) -> Vec<Executor> {
    let executor = |number| Executor { id: format!("i-{number}"), kind: kind(number) };
    (0..EXECUTORS).map(executor).collect()
}

/// Jobs that have had nothing running for the time that they may, once the traffic has ended for
/// `FINISH`; each with the steps that it has.
fn idle_jobs(cell: &Cell, accepted: &[(String, Vec<Step>)]) -> Vec<String> {
    cell.record.add(&format!("end of the traffic; {} jobs are accepted", accepted.len()));
    sleep(FINISH);
    let since = Instant::now();
    sleep(IDLE);
    let states: Vec<String> = accepted.iter().map(|(id, _)| cell.state(id)).collect();
    let events = lock(&cell.events);
    for (executor, (listed, noted)) in &events.ends {
        cell.record.add(&format!("{executor} listed {listed} ends; {noted} were taken note of"));
    }
    let running = events.running();
    let active: BTreeSet<&str> = running
        .iter()
        .map(|(task, _)| task.as_str())
        .chain(events.runs.iter().filter(|event| event.at >= since).map(|event| &*event.task))
        .filter_map(|task| task.split('.').next())
        .collect();
    cell.record.add(&format!("{} tasks run on all executors", running.len()));
    let mut idle = Vec::new();
    for ((id, steps), state) in accepted.iter().zip(&states) {
        if ["completed", "failed", "cancelled"].contains(&state.as_str()) {
            continue;
        }
        let is_done = |step: usize| {
            (0..steps[step].count).all(|index| events.is_done(&task_name(id, step, index)))
        };
        let is_due = |step: usize| !is_done(step) && (!steps[step].is_later || is_done(step - 1));
        let has_turn = (0..steps.len()).any(is_due);
        let is_active = active.contains(id.as_str());
        cell.record.add(&format!(
            "job {id} is shown as {state:?}; a task's turn has come: {has_turn}; had a run in the \
             last 3 s: {is_active}"
        ));
        if has_turn && !is_active {
            idle.push(id.clone());
        }
    }
    idle
}

/// Records whether a rule held.
fn conclude(cell: &Cell, is_broken: bool) -> bool {
    cell.record.add(if is_broken { "the rule is broken" } else { "the rule held" });
    !is_broken
}

/// A job's only task runs on two executors that crash, one after the other; no run ends `failed`.
pub fn crashes(record: &str, has_trouble: bool) -> Result<bool> {
    const JOB: &str = "5c0e7a21d94b36f8";
    let cell = Cell::start(record, &executors(|_| "a"))?;
    let mut after = Instant::now();
    let step = Step { count: 1, cpu: 4000, ..Step::default() };
    if !cell.submit(0, JOB, &job(&[step], 8000, false)) {
        return Err(Error::other("the job was not accepted"));
    }
    if has_trouble {
        for _ in 0..2 {
            let task = task_name(JOB, 0, 0);
            let start = cell.await_start(&task, after, Duration::from_secs(15));
            let Some(start) = start else { break };
            sleep(Duration::from_secs(1));
            after = Instant::now();
            cell.kill_executor(&start.executor);
            sleep(Duration::from_millis(500));
            cell.start_executor(&start.executor, 0)?;
        }
    }
    let deadline = Instant::now() + Duration::from_secs(40);
    let mut state = String::new();
    while Instant::now() < deadline && state != "completed" && state != "failed" {
        sleep(Duration::from_millis(500));
        state = cell.state(JOB);
    }
    let failed = Kind::Ended("failed".to_owned());
    let failed = lock(&cell.events).runs.iter().filter(|event| event.kind == failed).count();
    cell.record.add(&format!(
        "the job is shown as {state:?}; {failed} of its runs have ended failed; max_attempts is \
         {MAX_ATTEMPTS}"
    ));
    let is_broken = state == "failed" && failed < MAX_ATTEMPTS;
    if state != "completed" && !is_broken {
        return Err(Error::other("the job has not ended"));
    }
    Ok(conclude(&cell, is_broken))
}

/// An executor joins while its machine's time of day is ahead, and crashes once after the time of
/// day is right again.
pub fn born(record: &str, has_trouble: bool) -> Result<bool> {
    const AHEAD_MS: i64 = 2400;
    const TRAFFIC: Duration = Duration::from_secs(40);
    const CLIENTS: u64 = 4;
    let mut executors = executors(|_| "a");
    let joining = executors.remove(0);
    let cell = Cell::start(record, &executors)?;
    if has_trouble {
        cell.record.add(&format!("the time of day is {AHEAD_MS} ms ahead on {}", joining.id));
        cell.add_executor(&joining, AHEAD_MS)?;
        sleep(Duration::from_millis(1000));
        cell.record.add(&format!("the time of day is right again on {}", joining.id));
        cell.kill_executor(&joining.id);
        sleep(Duration::from_millis(400));
        cell.start_executor(&joining.id, 0)?;
    } else {
        cell.add_executor(&joining, 0)?;
    }
    let first = Step { count: 10, cpu: 1000, ..Step::default() };
    let steps = [first, Step { count: 5, is_later: true, ..first }];
    let body = job(&steps, 100, false);
    let began = Instant::now();
    let accepted: Vec<_> = std::thread::scope(|scope| {
        let client = |client: u64| {
            let (cell, body) = (&cell, &body);
            scope.spawn(move || {
                let mut accepted = Vec::new();
                for number in 0.. {
                    if began.elapsed() >= TRAFFIC {
                        break;
                    }
                    let id = format!("{:016x}", (client + 1) << 32 | number);
                    if cell.submit(client as usize, &id, body) {
                        accepted.push((id, steps.to_vec()));
                    }
                    sleep(Duration::from_millis(300));
                }
                accepted
            })
        };
        let clients: Vec<_> = (0..CLIENTS).map(client).collect();
        clients.into_iter().flat_map(|client| client.join().unwrap_or_default()).collect()
    });
    let idle = idle_jobs(&cell, &accepted);
    Ok(conclude(&cell, !idle.is_empty()))
}

/// The time of day jumps back on the machine of an executor that has just joined; the executor crashes
/// once, and then is cut off while it runs tasks.
pub fn twice(record: &str, has_trouble: bool) -> Result<bool> {
    const JUMP_MS: i64 = -2400;
    const CUT: Duration = Duration::from_millis(5500);
    let mut executors = executors(|_| "a");
    let joining = executors.remove(0);
    let cell = Cell::start_with(record, &executors, Duration::from_millis(6000))?;
    // `JUMP=0`: the crash and the cut alone.
    let jump_ms = if std::env::var("JUMP").is_ok_and(|value| value == "0") { 0 } else { JUMP_MS };
    let step = Step { count: 28, cpu: 4000, ..Step::default() };
    let submit = |number: u64, run_ms: u64| {
        if cell.submit(0, &format!("{number:016x}"), &job(&[step], run_ms, false)) {
            return Ok(());
        }
        Err(Error::other("a job was not accepted"))
    };
    cell.add_executor(&joining, 0)?;
    let joined = Instant::now();
    let at = |time_ms| sleep(Duration::from_millis(time_ms).saturating_sub(joined.elapsed()));
    for number in 0..8 {
        at(300 + 200 * number);
        submit(number, 100)?;
    }
    at(1900);
    if has_trouble {
        cell.record.add(&format!("the time of day jumps by {jump_ms} ms on {}", joining.id));
        cell.kill_executor(&joining.id);
        at(2250);
        cell.start_executor(&joining.id, jump_ms)?;
    }
    at(2550);
    submit(255, 12_000)?;
    at(3750);
    if lock(&cell.events).running_on(&joining.id).is_empty() {
        return Err(Error::other("the executor runs nothing"));
    }
    if has_trouble {
        cell.cut_executor(&joining.id, CUT)?;
    }
    sleep(Duration::from_secs(25));
    Ok(conclude(&cell, has_overlap(&cell)))
}

/// An idle executor crashes once and starts again; it is given tasks at once, and then is cut off while it
/// runs them.
pub fn restart(record: &str, has_trouble: bool) -> Result<bool> {
    const CUT: Duration = Duration::from_millis(5500);
    let cell = Cell::start(record, &executors(|_| "a"))?;
    let step = Step { count: 28, cpu: 4000, ..Step::default() };
    sleep(Duration::from_secs(15));
    if has_trouble {
        cell.kill_executor("i-0");
        sleep(Duration::from_millis(300));
        cell.start_executor("i-0", 0)?;
    }
    if !cell.submit(0, "5c0e7a21d94b36f8", &job(&[step], 12_000, false)) {
        return Err(Error::other("the job was not accepted"));
    }
    sleep(Duration::from_millis(100));
    if lock(&cell.events).running_on("i-0").is_empty() {
        return Err(Error::other("the executor runs nothing"));
    }
    if has_trouble {
        cell.cut_executor("i-0", CUT)?;
    }
    sleep(Duration::from_secs(25));
    Ok(conclude(&cell, has_overlap(&cell)))
}

/// Whether two runs of a task were there at the same time; records them.
fn has_overlap(cell: &Cell) -> bool {
    let overlaps = lock(&cell.events).overlaps();
    for (time, told) in &overlaps {
        cell.record.add(&format!("{told} were there at the same time for {time:?}"));
    }
    overlaps.iter().any(|(time, _)| *time >= LEAST_OVERLAP)
}

/// Of the jobs that need the only executor of a kind, one in twenty-one can never be done.
pub fn hopeless(record: &str, has_trouble: bool) -> Result<bool> {
    const GOOD_JOBS: u64 = 20;
    let cell = Cell::start(record, &executors(|number| if number == 5 { "b" } else { "a" }))?;
    let step = Step { count: 1, cpu: 1000, requirement: "b", ..Step::default() };
    let mut accepted = Vec::new();
    let submit = |number: u64, body: &Json| {
        let id = format!("{number:016x}");
        cell.submit(number as usize, &id, body).then_some((id, vec![step]))
    };
    for number in 1..=GOOD_JOBS {
        accepted.extend(submit(number, &job(&[step], 100, false)));
        sleep(Duration::from_millis(100));
    }
    sleep(Duration::from_millis(300));
    if has_trouble {
        let steps = [Step { count: 8, ..step }];
        if !cell.submit(0, "00000000000000ff", &job(&steps, 50, true)) {
            return Err(Error::other("the hopeless job was not accepted"));
        }
        sleep(Duration::from_millis(300));
    }
    accepted.extend(submit(GOOD_JOBS + 1, &job(&[step], 100, false)));
    if accepted.len() as u64 != GOOD_JOBS + 1 {
        return Err(Error::other("a job was not accepted"));
    }
    let idle = idle_jobs(&cell, &accepted);
    Ok(conclude(&cell, !idle.is_empty()))
}

/// A gang that needs all executors waits for one that is busy; a long job needs a third of one.
pub fn gang(record: &str, has_trouble: bool) -> Result<bool> {
    /// Between two large jobs: those of the site come at 1.04 a second for six times as many executors.
    const INTERVAL: Duration = Duration::from_secs(6);
    let cell = Cell::start(record, &executors(|_| "a"))?;
    let mut accepted = Vec::new();
    let mut submit = |number: u64, step: Step, run_ms: u64| {
        let id = format!("{number:016x}");
        let is_accepted = cell.submit(number as usize, &id, &job(&[step], run_ms, false));
        accepted.push((id, vec![step]));
        if is_accepted { Ok(()) } else { Err(Error::other("a job was not accepted")) }
    };
    submit(1, Step { count: 2, cpu: 6000, ..Step::default() }, 50_000)?;
    sleep(INTERVAL);
    if has_trouble {
        let all = 2 * EXECUTORS as u64;
        submit(2, Step { count: all, cpu: 7500, is_gang: true, ..Step::default() }, 2000)?;
    }
    sleep(INTERVAL);
    submit(3, Step { count: 1, cpu: 5000, ..Step::default() }, 50_000)?;
    let idle = idle_jobs(&cell, &accepted);
    // The gang itself has no room.
    Ok(conclude(&cell, idle.iter().any(|id| id.ends_with('3'))))
}
