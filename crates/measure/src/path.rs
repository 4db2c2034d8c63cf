//! The whole path: nine daemons under quick and patient load together.

use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use serde_json::{Value, json};

use crate::bench::{Bench, Result};
use crate::load::{Load, Order, Told};
use crate::process;
use crate::setting::Setting;

const DAEMONS: usize = 9;

/// Length of the measured stretch.
const STRETCH: Duration = Duration::from_secs(30);

/// Time for the load to settle first.
const SETTLE: Duration = Duration::from_secs(3);

/// Callers of quick requests.
const CALLERS: usize = 96;

/// What the platform and the processes have used so far.
struct Meter {
    at: Instant,
    counts: Value,
    cpu: Vec<Duration>,
}

impl Meter {
    fn read(bench: &Bench) -> Result<Self> {
        let pids = (0..DAEMONS).filter_map(|index| bench.pid(index));
        Ok(Self {
            at: Instant::now(),
            counts: bench.platform().get("/counts")?,
            cpu: pids.map(process::cpu).collect(),
        })
    }

    fn table(&self, name: &str) -> f64 {
        self.counts["table"][name].as_f64().unwrap_or(0.0)
    }
}

/// Takes the measure; gives its line.
///
/// # Errors
///
/// Where the cell does not start.
pub fn run(setting: &Setting, rate: f64) -> Result<Value> {
    let bench = setting.cell(DAEMONS)?;
    let urls: Vec<String> = bench.daemons.iter().map(|daemon| daemon.url.clone()).collect();
    let quick = Load::start(&urls, CALLERS, rate, "q", &order("wall-probe", "ms=2", 10_000));
    let study = Load::start(&urls, 24, 20.0, "s", &order("filling-study", "ms=500", 30_000));
    std::thread::sleep(SETTLE);
    let before = Meter::read(&bench)?;
    std::thread::sleep(STRETCH);
    let after = Meter::read(&bench)?;
    let rss = (0..DAEMONS).filter_map(|index| bench.pid(index)).map(process::rss_mb);
    let rss = rss.fold(0.0, f64::max);
    let quick = quick.finish();
    let study = study.finish();
    Ok(line(&before, &after, rss, &quick, &study))
}

fn order(kind: &str, payload: &str, wait_ms: u64) -> Order {
    Order {
        kind: kind.to_owned(),
        customer: "trim-supplier".to_owned(),
        payload: payload.to_owned(),
        tasks: 1,
        wait_ms,
        is_once: false,
    }
}

fn line(before: &Meter, after: &Meter, rss: f64, quick: &[Told], study: &[Told]) -> Value {
    let seconds = (after.at - before.at).as_secs_f64();
    let in_stretch = |told: &&Told| told.asked >= before.at && told.asked < after.at;
    let mut placed = Histogram::<u64>::new(3).expect("three digits are allowed");
    for told in quick.iter().filter(in_stretch) {
        if let Some(us) = told.placed_us {
            placed.saturating_record(us);
        }
    }
    let cpu =
        before.cpu.iter().zip(&after.cpu).map(|(old, new)| new.saturating_sub(*old).as_secs_f64());
    let cpu = cpu.fold(0.0, f64::max);
    let ms = |quantile: f64| placed.value_at_quantile(quantile) as f64 / 1000.0;
    let rate = |name: &str| (after.table(name) - before.table(name)) / seconds;
    let all = quick.iter().chain(study);
    let errors = all.filter(|told| !told.is_done() || told.tries > 1).count();
    json!({
        "measure": "path",
        "daemons": DAEMONS,
        "placements_per_s": placed.len() as f64 / seconds,
        "p50_ms": ms(0.5),
        "p99_ms": ms(0.99),
        "table_writes_per_s": rate("writes"),
        "table_reads_per_s": rate("reads"),
        "daemon_cpu_percent": 100.0 * cpu / seconds,
        "daemon_rss_mb": rss,
        "studies_done": study.iter().filter(|told| told.is_done()).count(),
        "errors": errors,
    })
}
