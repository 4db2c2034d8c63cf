//! Injects one fault after another into a cell of nine daemons under load.

use std::time::{Duration, Instant};

use rustix::process::Signal;
use serde_json::{Value, json};

use crate::bench::{Result, TestCell};
use crate::environment::Environment;
use crate::load::{Audit, Load, Outcome, RequestTemplate};

/// Number of daemons in the cell.
const DAEMONS: usize = 9;

/// Duration of the table outage.
const OUTAGE_TIME: Duration = Duration::from_secs(30);

/// Time without faults after each phase.
const PAUSE_TIME: Duration = Duration::from_secs(4);

/// Further time that a daemon stays frozen after the takeover; exceeds a member's lease.
const FREEZE_TIME: Duration = Duration::from_secs(9);

/// Quick requests per second over all callers.
const QUICK_RATE: f64 = 400.0;

/// A named phase of the measurement and its time span.
struct Phase {
    name: &'static str,
    from: Instant,
    until: Instant,
}

/// The cell under test and the figures collected so far.
struct FaultRun {
    bench: TestCell,
    phases: Vec<Phase>,
    settings_max_s: f64,
    takeover_max_s: f64,
    forced_stops: u32,
}

impl FaultRun {
    /// Performs an action, records its time span as a phase and pauses.
    fn run_phase(
        &mut self,
        name: &'static str,
        action: impl FnOnce(&mut Self) -> Result<()>,
    ) -> Result<()> {
        eprintln!("{name}");
        let from = Instant::now();
        action(self)?;
        self.phases.push(Phase { name, from, until: Instant::now() });
        std::thread::sleep(PAUSE_TIME);
        Ok(())
    }

    /// Replaces the faults of the stand-in.
    fn set_faults(&self, faults: &Value) -> Result<()> {
        self.bench.control_standin(&json!({ "faults": faults }))
    }

    /// Waits until other members own all partitions, and records the longest wait.
    fn wait_for_takeover(&mut self, former_owner: &str) -> Result<()> {
        let began = Instant::now();
        let limit = Duration::from_secs(20);
        while began.elapsed() < limit {
            let members = self.bench.live_caller().get("/v1/members")?;
            let rows = members["rows"].as_array().cloned().unwrap_or_default();
            let others = rows.iter().filter(|row| row["member"] != former_owner);
            let held: u64 = others.filter_map(|row| row["partitions"].as_u64()).sum();
            if held >= u64::from(settings::daemon::DEFAULT_PARTITIONS) {
                self.takeover_max_s = self.takeover_max_s.max(began.elapsed().as_secs_f64());
                return Ok(());
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        Err(format!("no member took over the partitions of {former_owner}").into())
    }

    /// Appends a comment to the rules and checks that all members confirm the change.
    fn change_settings(&mut self) -> Result<()> {
        let caller = self.bench.live_caller();
        let current = caller.get("/v1/settings/rules")?;
        let text = current["text"].as_str().unwrap_or_default();
        let version = current["version"].as_u64().unwrap_or(0);
        let changed = format!("{text}// changed from version {version}\n");
        let began = Instant::now();
        let answer = caller.put(&format!("/v1/settings/rules?base={version}"), &changed)?;
        let unconfirmed = answer["not_confirmed"].as_array().map_or(usize::MAX, Vec::len);
        if unconfirmed > 0 {
            return Err(format!("not all members confirmed the change: {answer}").into());
        }
        self.settings_max_s = self.settings_max_s.max(began.elapsed().as_secs_f64());
        Ok(())
    }

    /// Submits two changes of the rules on the same version; exactly one must be accepted.
    fn race_settings(&mut self) -> Result<()> {
        let first_caller = self.bench.caller(0);
        let second_caller = self.bench.caller(1);
        let current = first_caller.get("/v1/settings/rules")?;
        let text = current["text"].as_str().unwrap_or_default().to_owned();
        let path = format!("/v1/settings/rules?base={}", current["version"]);
        let (second_path, second_text) = (path.clone(), format!("{text}// by the other\n"));
        let second_thread =
            std::thread::spawn(move || second_caller.put(&second_path, &second_text).ok());
        let first_answer = first_caller.put(&path, &format!("{text}// by one\n"))?;
        let second_answer = second_thread.join().ok().flatten().unwrap_or(Value::Null);
        let accepted = [&first_answer, &second_answer]
            .iter()
            .filter(|answer| answer["error"].is_null())
            .count();
        if accepted == 1 {
            Ok(())
        } else {
            Err(format!(
                "{accepted} of two racing changes were accepted: {first_answer} {second_answer}"
            )
            .into())
        }
    }
}

/// Runs the measurement, or just its graceful stops if `only_stops`; returns its JSON line.
///
/// # Errors
///
/// If the cell does not start or does not recover from a fault.
pub fn run(environment: &Environment, only_stops: bool) -> Result<Value> {
    let bench = environment.start_cell(DAEMONS)?;
    let urls: Vec<String> = bench.daemons.iter().map(|daemon| daemon.url.clone()).collect();
    let loads = start_loads(&urls);
    let mut run = FaultRun {
        bench,
        phases: Vec::new(),
        settings_max_s: 0.0,
        takeover_max_s: 0.0,
        forced_stops: 0,
    };
    if !only_stops {
        inject_all_faults(&mut run)?;
    }
    stop_daemons_in_turn(&mut run)?;
    let outcomes: Vec<Outcome> = loads.into_iter().flat_map(Load::finish).collect();
    let counts = run.bench.platform().get("/counts")?;
    let ran = run.bench.platform().get("/ran")?;
    let audit = Audit::check(&outcomes, &counts, &ran);
    for phase in &run.phases {
        eprintln!("{}: quick p99 {:.1} ms", phase.name, quick_p99(&outcomes, phase));
    }
    Ok(result_json(&run, &outcomes, &audit, &counts))
}

/// Starts callers for each kind of request.
fn start_loads(urls: &[String]) -> Vec<Load> {
    let template = |kind: &str, payload: &str, tasks, is_once| RequestTemplate {
        kind: kind.to_owned(),
        customer: "trim-supplier".to_owned(),
        payload: payload.to_owned(),
        tasks,
        wait_ms: 40_000,
        is_once,
    };
    vec![
        Load::start(urls, 64, QUICK_RATE, "q", &template("wall-probe", "ms=5", 1, false)),
        Load::start(urls, 64, 5.0, "s", &template("filling-study", "ms=2000", 1, false)),
        Load::start(urls, 48, 3.0, "b", &template("billed-study", "once ms=1500", 1, true)),
        Load::start(urls, 16, 0.5, "g", &template("packing-gang", "ms=1500", 3, false)),
        Load::start(urls, 16, 3.0, "o", &template("wall-probe", "once ms=20", 1, true)),
    ]
}

/// Injects each kind of fault once, except the graceful stops.
fn inject_all_faults(run: &mut FaultRun) -> Result<()> {
    run.run_phase("before", |_| {
        std::thread::sleep(Duration::from_secs(6));
        Ok(())
    })?;
    run.run_phase("settings", FaultRun::change_settings)?;
    run.run_phase("kill", |run| {
        let former_owner = run.bench.daemons[3].name.clone();
        run.bench.kill(3);
        run.wait_for_takeover(&former_owner)?;
        run.bench.start_daemon(3)
    })?;
    run.run_phase("freeze", |run| {
        run.bench.signal(4, Signal::STOP);
        let former_owner = run.bench.daemons[4].name.clone();
        let takeover_result = run.wait_for_takeover(&former_owner);
        std::thread::sleep(FREEZE_TIME);
        run.bench.signal(4, Signal::CONT);
        takeover_result
    })?;
    run.run_phase("table down", |run| {
        run.set_faults(&json!({ "table": { "down": true } }))?;
        std::thread::sleep(OUTAGE_TIME);
        run.set_faults(&json!({}))
    })?;
    run.run_phase("settings after outage", FaultRun::change_settings)?;
    run.run_phase("table slow", |run| {
        run.set_faults(&json!({ "table": { "delay_ms": 500 } }))?;
        std::thread::sleep(Duration::from_secs(10));
        run.change_settings()?;
        run.set_faults(&json!({}))
    })?;
    run.run_phase("table loses answers", |run| {
        run.set_faults(&json!({ "table": { "lose": 0.05 } }))?;
        std::thread::sleep(Duration::from_secs(10));
        run.set_faults(&json!({}))
    })?;
    run.run_phase("worker fails everything", |run| {
        run.bench.control_standin(&json!({ "failing": ["es-north-w01"] }))?;
        std::thread::sleep(Duration::from_secs(8));
        run.bench.control_standin(&json!({ "mended": ["es-north-w01"] }))
    })?;
    run.run_phase("worker silent", |run| {
        run.bench.control_standin(&json!({ "silent": ["es-north-w02"] }))?;
        std::thread::sleep(Duration::from_secs(20));
        run.bench.control_standin(&json!({ "speaking": ["es-north-w02"] }))
    })?;
    run.run_phase("settings race", FaultRun::race_settings)
}

/// Stops and restarts each daemon in turn, then waits for service.
fn stop_daemons_in_turn(run: &mut FaultRun) -> Result<()> {
    for index in 0..DAEMONS {
        run.run_phase("graceful stop", |run| {
            if run.bench.stop(index) != Some(0) {
                run.forced_stops += 1;
            }
            run.bench.start_daemon(index)
        })?;
    }
    run.bench.wait_for_service()
}

/// 99th percentile for quick requests submitted in a phase, in milliseconds; 0 without any.
fn quick_p99(outcomes: &[Outcome], phase: &Phase) -> f64 {
    let quick = outcomes.iter().filter(|outcome| outcome.id.starts_with("q-"));
    let within = quick
        .filter(|outcome| outcome.submitted_at >= phase.from && outcome.submitted_at < phase.until);
    let mut times_ms: Vec<f64> =
        within.map(|outcome| outcome.elapsed.as_secs_f64() * 1e3).collect();
    times_ms.sort_unstable_by(f64::total_cmp);
    let index = (times_ms.len().saturating_sub(1) as f64 * 0.99) as usize;
    times_ms.get(index).copied().unwrap_or(0.0)
}

/// Result of the measurement as JSON.
fn result_json(run: &FaultRun, outcomes: &[Outcome], audit: &Audit, counts: &Value) -> Value {
    let phase = |name: &str| run.phases.iter().find(|phase| phase.name == name);
    let p99 = |name: &str| phase(name).map_or(0.0, |phase| quick_p99(outcomes, phase));
    let stops: Vec<&Phase> =
        run.phases.iter().filter(|phase| phase.name == "graceful stop").collect();
    let is_in_stop = |outcome: &Outcome| {
        stops
            .iter()
            .any(|phase| outcome.submitted_at >= phase.from && outcome.submitted_at < phase.until)
    };
    let cut_by_stop = outcomes
        .iter()
        .filter(|outcome| is_in_stop(outcome) && outcome.broken_connections > 0)
        .count();
    json!({
        "measure": "faults",
        "requests": audit.requests,
        "lost": audit.lost,
        "doubled": audit.doubled,
        "false_not_run": audit.false_not_run,
        "over_capacity": audit.over_capacity,
        "wrong_answer": audit.wrong_answer,
        "cut_by_planned_stop": cut_by_stop,
        "forced_stops": run.forced_stops,
        "unknown": outcomes.iter().filter(|outcome| outcome.reported_ran() == "unknown").count(),
        "not_run": outcomes.iter().filter(|outcome| outcome.reported_ran() == "not run").count(),
        "starts": counts["workers"]["starts"],
        "settings_max_s": run.settings_max_s,
        "takeover_max_s": run.takeover_max_s,
        "quick_p99_ms_in_outage": p99("table down"),
        "quick_p99_ms_before": p99("before"),
    })
}
