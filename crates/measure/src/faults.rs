//! One fault after another on nine real daemons under load.

use std::time::{Duration, Instant};

use rustix::process::Signal;
use serde_json::{Value, json};

use crate::bench::{Bench, Result};
use crate::load::{Load, Order, Told, Verdict};
use crate::setting::Setting;

const DAEMONS: usize = 9;

/// Length of an outage of the table.
const OUTAGE: Duration = Duration::from_secs(30);

/// Quiet time between two faults.
const PAUSE: Duration = Duration::from_secs(4);

/// Longer than a member's lease.
const FREEZE: Duration = Duration::from_secs(9);

/// Quick requests a second, over all callers.
const QUICK_RATE: f64 = 400.0;

/// A stretch of time with a name.
struct Stretch {
    name: &'static str,
    from: Instant,
    until: Instant,
}

struct Run {
    bench: Bench,
    stretches: Vec<Stretch>,
    settings_max_s: f64,
    takeover_max_s: f64,
    forced_stops: u32,
}

impl Run {
    fn during(
        &mut self,
        name: &'static str,
        act: impl FnOnce(&mut Self) -> Result<()>,
    ) -> Result<()> {
        eprintln!("{name}");
        let from = Instant::now();
        act(self)?;
        self.stretches.push(Stretch { name, from, until: Instant::now() });
        std::thread::sleep(PAUSE);
        Ok(())
    }

    fn faults(&self, faults: &Value) -> Result<()> {
        self.bench.control(&json!({ "faults": faults }))
    }

    /// Waits until others serve what a daemon held, and notes how long that took.
    fn takeover(&mut self, gone: &str) -> Result<()> {
        let began = Instant::now();
        let limit = Duration::from_secs(20);
        while began.elapsed() < limit {
            let members = self.bench.caller_alive().get("/v1/members")?;
            let rows = members["rows"].as_array().cloned().unwrap_or_default();
            let others = rows.iter().filter(|row| row["member"] != gone);
            let held: u64 = others.filter_map(|row| row["partitions"].as_u64()).sum();
            if held >= u64::from(settings::daemon::DEFAULT_PARTITIONS) {
                self.takeover_max_s = self.takeover_max_s.max(began.elapsed().as_secs_f64());
                return Ok(());
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        Err(format!("nobody took over from {gone}").into())
    }

    /// Changes a weight and waits until all members have it.
    fn change_settings(&mut self) -> Result<()> {
        let caller = self.bench.caller_alive();
        let current = caller.get("/v1/settings/rules")?;
        let text = current["text"].as_str().unwrap_or_default();
        let version = current["version"].as_u64().unwrap_or(0);
        let changed = format!("{text}// changed from version {version}\n");
        let began = Instant::now();
        let answer = caller.put(&format!("/v1/settings/rules?base={version}"), &changed)?;
        let lacking = answer["not_confirmed"].as_array().map_or(usize::MAX, Vec::len);
        if lacking > 0 {
            return Err(format!("the change did not spread: {answer}").into());
        }
        self.settings_max_s = self.settings_max_s.max(began.elapsed().as_secs_f64());
        Ok(())
    }

    /// Two operators change the rules from the same version; one must lose.
    fn race_settings(&mut self) -> Result<()> {
        let one = self.bench.caller(0);
        let other = self.bench.caller(1);
        let current = one.get("/v1/settings/rules")?;
        let text = current["text"].as_str().unwrap_or_default().to_owned();
        let path = format!("/v1/settings/rules?base={}", current["version"]);
        let (path2, text2) = (path.clone(), format!("{text}// by the other\n"));
        let racing = std::thread::spawn(move || other.put(&path2, &text2).ok());
        let mine = one.put(&path, &format!("{text}// by one\n"))?;
        let theirs = racing.join().ok().flatten().unwrap_or(Value::Null);
        let won = [&mine, &theirs].iter().filter(|answer| answer["error"].is_null()).count();
        if won == 1 { Ok(()) } else { Err(format!("{won} won: {mine} {theirs}").into()) }
    }
}

/// Takes the measure; gives its line.
///
/// # Errors
///
/// Where the cell does not start, or a fault's end is not reached.
pub fn run(setting: &Setting, only_stops: bool) -> Result<Value> {
    let bench = setting.cell(DAEMONS)?;
    let urls: Vec<String> = bench.daemons.iter().map(|daemon| daemon.url.clone()).collect();
    let loads = loads(&urls);
    let mut run = Run {
        bench,
        stretches: Vec::new(),
        settings_max_s: 0.0,
        takeover_max_s: 0.0,
        forced_stops: 0,
    };
    if !only_stops {
        all_faults(&mut run)?;
    }
    all_stops(&mut run)?;
    let told: Vec<Told> = loads.into_iter().flat_map(Load::finish).collect();
    let counts = run.bench.platform().get("/counts")?;
    let ran = run.bench.platform().get("/ran")?;
    let verdict = Verdict::judge(&told, &counts, &ran);
    for stretch in &run.stretches {
        eprintln!("{}: quick p99 {:.1} ms", stretch.name, quick_p99(&told, stretch));
    }
    Ok(line(&run, &told, &verdict, &counts))
}

fn loads(urls: &[String]) -> Vec<Load> {
    let order = |kind: &str, payload: &str, tasks, is_once| Order {
        kind: kind.to_owned(),
        customer: "trim-supplier".to_owned(),
        payload: payload.to_owned(),
        tasks,
        wait_ms: 40_000,
        is_once,
    };
    vec![
        Load::start(urls, 64, QUICK_RATE, "q", &order("wall-probe", "ms=5", 1, false)),
        Load::start(urls, 64, 5.0, "s", &order("filling-study", "ms=2000", 1, false)),
        Load::start(urls, 48, 3.0, "b", &order("billed-study", "once ms=1500", 1, true)),
        Load::start(urls, 16, 0.5, "g", &order("packing-gang", "ms=1500", 3, false)),
        Load::start(urls, 16, 3.0, "o", &order("wall-probe", "once ms=20", 1, true)),
    ]
}

fn all_faults(run: &mut Run) -> Result<()> {
    run.during("before", |_| {
        std::thread::sleep(Duration::from_secs(6));
        Ok(())
    })?;
    run.during("settings", Run::change_settings)?;
    run.during("kill", |run| {
        let gone = run.bench.daemons[3].name.clone();
        run.bench.kill(3);
        run.takeover(&gone)?;
        run.bench.boot(3)
    })?;
    run.during("freeze", |run| {
        run.bench.signal(4, Signal::STOP);
        let gone = run.bench.daemons[4].name.clone();
        let taken = run.takeover(&gone);
        std::thread::sleep(FREEZE);
        run.bench.signal(4, Signal::CONT);
        taken
    })?;
    run.during("table down", |run| {
        run.faults(&json!({ "table": { "down": true } }))?;
        std::thread::sleep(OUTAGE);
        run.faults(&json!({}))
    })?;
    run.during("settings after outage", Run::change_settings)?;
    run.during("table slow", |run| {
        run.faults(&json!({ "table": { "delay_ms": 500 } }))?;
        std::thread::sleep(Duration::from_secs(10));
        run.change_settings()?;
        run.faults(&json!({}))
    })?;
    run.during("table loses answers", |run| {
        run.faults(&json!({ "table": { "lose": 0.05 } }))?;
        std::thread::sleep(Duration::from_secs(10));
        run.faults(&json!({}))
    })?;
    run.during("worker fails everything", |run| {
        run.bench.control(&json!({ "failing": ["es-north-w01"] }))?;
        std::thread::sleep(Duration::from_secs(8));
        run.bench.control(&json!({ "mended": ["es-north-w01"] }))
    })?;
    run.during("worker silent", |run| {
        run.bench.control(&json!({ "silent": ["es-north-w02"] }))?;
        std::thread::sleep(Duration::from_secs(20));
        run.bench.control(&json!({ "speaking": ["es-north-w02"] }))
    })?;
    run.during("settings race", Run::race_settings)
}

fn all_stops(run: &mut Run) -> Result<()> {
    for index in 0..DAEMONS {
        run.during("graceful stop", |run| {
            if run.bench.stop(index) != Some(0) {
                run.forced_stops += 1;
            }
            run.bench.boot(index)
        })?;
    }
    run.bench.wait_for_service()
}

/// The 99th percentile of quick answers asked in a stretch, in milliseconds.
fn quick_p99(told: &[Told], stretch: &Stretch) -> f64 {
    let asked = told.iter().filter(|one| one.id.starts_with("q-"));
    let within = asked.filter(|one| one.asked >= stretch.from && one.asked < stretch.until);
    let mut took: Vec<f64> = within.map(|one| one.took.as_secs_f64() * 1e3).collect();
    took.sort_unstable_by(f64::total_cmp);
    let at = (took.len().saturating_sub(1) as f64 * 0.99) as usize;
    took.get(at).copied().unwrap_or(0.0)
}

fn line(run: &Run, told: &[Told], verdict: &Verdict, counts: &Value) -> Value {
    let stretch = |name: &str| run.stretches.iter().find(|stretch| stretch.name == name);
    let p99 = |name: &str| stretch(name).map_or(0.0, |stretch| quick_p99(told, stretch));
    let stops: Vec<&Stretch> =
        run.stretches.iter().filter(|stretch| stretch.name == "graceful stop").collect();
    let in_stop = |told: &Told| {
        stops.iter().any(|stretch| told.asked >= stretch.from && told.asked < stretch.until)
    };
    let cut = told.iter().filter(|one| in_stop(one) && one.broken > 0).count();
    json!({
        "measure": "faults",
        "requests": verdict.requests,
        "lost": verdict.lost,
        "doubled": verdict.doubled,
        "false_not_run": verdict.false_not_run,
        "over_capacity": verdict.over_capacity,
        "wrong_answer": verdict.wrong_answer,
        "cut_by_planned_stop": cut,
        "forced_stops": run.forced_stops,
        "unknown": told.iter().filter(|one| one.ran() == "unknown").count(),
        "not_run": told.iter().filter(|one| one.ran() == "not run").count(),
        "starts": counts["workers"]["starts"],
        "settings_max_s": run.settings_max_s,
        "takeover_max_s": run.takeover_max_s,
        "quick_p99_ms_in_outage": p99("table down"),
        "quick_p99_ms_before": p99("before"),
    })
}
