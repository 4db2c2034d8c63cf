//! Measures the whole path of a request: nine daemons under quick and study load together.

use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use serde_json::{Value, json};

use crate::bench::{Result, TestCell};
use crate::environment::Environment;
use crate::load::{Load, Outcome, RequestTemplate};
use crate::process;

/// Number of daemons in the cell.
const DAEMONS: usize = 9;

/// Duration of the measurement after the load has settled.
const MEASURED_TIME: Duration = Duration::from_secs(30);

/// Time for the load to settle before the measurement.
const SETTLE_TIME: Duration = Duration::from_secs(3);

/// Number of callers that send quick requests.
const QUICK_CALLERS: usize = 96;

/// Reading of the stand-in's counters and the daemons' processor time.
struct Usage {
    at: Instant,
    counts: Value,
    cpu: Vec<Duration>,
}

impl Usage {
    fn read(bench: &TestCell) -> Result<Self> {
        let pids = (0..DAEMONS).filter_map(|index| bench.pid(index));
        Ok(Self {
            at: Instant::now(),
            counts: bench.platform().get("/counts")?,
            cpu: pids.map(process::cpu_time).collect(),
        })
    }

    fn table_count(&self, name: &str) -> f64 {
        self.counts["table"][name].as_f64().unwrap_or(0.0)
    }
}

/// Runs the measurement with `rate` quick requests per second; returns its JSON line.
///
/// # Errors
///
/// If the cell does not start.
pub fn run(environment: &Environment, rate: f64) -> Result<Value> {
    let bench = environment.start_cell(DAEMONS)?;
    let urls: Vec<String> = bench.daemons.iter().map(|daemon| daemon.url.clone()).collect();
    let quick =
        Load::start(&urls, QUICK_CALLERS, rate, "q", &template("wall-probe", "ms=2", 10_000));
    let study = Load::start(&urls, 24, 20.0, "s", &template("filling-study", "ms=500", 30_000));
    std::thread::sleep(SETTLE_TIME);
    let before = Usage::read(&bench)?;
    std::thread::sleep(MEASURED_TIME);
    let after = Usage::read(&bench)?;
    let rss = (0..DAEMONS).filter_map(|index| bench.pid(index)).map(process::rss_mb);
    let rss = rss.fold(0.0, f64::max);
    let quick = quick.finish();
    let study = study.finish();
    Ok(result_json(&before, &after, rss, &quick, &study))
}

fn template(kind: &str, payload: &str, wait_ms: u64) -> RequestTemplate {
    RequestTemplate {
        kind: kind.to_owned(),
        customer: "trim-supplier".to_owned(),
        payload: payload.to_owned(),
        tasks: 1,
        wait_ms,
        is_once: false,
    }
}

/// Result of the measurement; only requests submitted between the readings count.
fn result_json(
    before: &Usage,
    after: &Usage,
    rss: f64,
    quick: &[Outcome],
    study: &[Outcome],
) -> Value {
    let seconds = (after.at - before.at).as_secs_f64();
    let is_measured =
        |outcome: &&Outcome| outcome.submitted_at >= before.at && outcome.submitted_at < after.at;
    let mut placements = Histogram::<u64>::new(3).expect("three digits are allowed");
    for outcome in quick.iter().filter(is_measured) {
        if let Some(us) = outcome.placement_us {
            placements.saturating_record(us);
        }
    }
    let cpu =
        before.cpu.iter().zip(&after.cpu).map(|(old, new)| new.saturating_sub(*old).as_secs_f64());
    let cpu = cpu.fold(0.0, f64::max);
    let ms = |quantile: f64| placements.value_at_quantile(quantile) as f64 / 1000.0;
    let rate = |name: &str| (after.table_count(name) - before.table_count(name)) / seconds;
    let all = quick.iter().chain(study);
    let errors = all.filter(|outcome| !outcome.is_done() || outcome.tries > 1).count();
    json!({
        "measure": "path",
        "daemons": DAEMONS,
        "placements_per_s": placements.len() as f64 / seconds,
        "p50_ms": ms(0.5),
        "p99_ms": ms(0.99),
        "table_writes_per_s": rate("writes"),
        "table_reads_per_s": rate("reads"),
        "daemon_cpu_percent": 100.0 * cpu / seconds,
        "daemon_rss_mb": rss,
        "studies_done": study.iter().filter(|outcome| outcome.is_done()).count(),
        "errors": errors,
    })
}
