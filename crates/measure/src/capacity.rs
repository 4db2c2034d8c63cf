//! Extrapolates the cost of the control plane to the target size.
//!
//! Each axis (such as the number of workers) is varied alone on real daemons with a stand-in,
//! and a line is fitted to each figure of the worst daemon. The target is the share of one
//! region: seven regions are seven cells.

use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::bench::{Result, TestCell};
use crate::environment::Environment;
use crate::fit::Line;
use crate::load::{Load, RequestTemplate};
use crate::plot;
use crate::process;

/// Number of regions, and cells, that share the total target size.
const REGIONS: f64 = 7.0;

/// Number of daemons in a cell of the target size.
const DAEMONS: usize = 9;

/// Duration of one sample.
const SAMPLE_TIME: Duration = Duration::from_secs(8);

/// Time for a cell to settle before a sample.
const SETTLE_TIME: Duration = Duration::from_secs(5);

/// Figures of one sample; per second, except `cpu_percent` and `rss_mb`.
///
/// `writes`, `reads` and `starts` cover the whole cell; the others are the worst daemon's.
#[derive(Debug, Clone, Copy, Default)]
struct Sample {
    cpu_percent: f64,
    rss_mb: f64,
    control_kb: f64,
    writes: f64,
    reads: f64,
    starts: f64,
}

/// Names of a sample's figures that lines are fitted to.
const FIGURES: [&str; 5] = ["cpu_percent", "rss_mb", "control_kb", "writes", "reads"];

impl Sample {
    fn value(&self, figure: &str) -> f64 {
        match figure {
            "cpu_percent" => self.cpu_percent,
            "rss_mb" => self.rss_mb,
            "control_kb" => self.control_kb,
            "writes" => self.writes,
            _ => self.reads,
        }
    }
}

/// Samples along one axis, and the axis' value at the target size.
struct Axis {
    name: &'static str,
    points: Vec<(f64, Sample)>,
    target: f64,
}

impl Axis {
    /// Value of a figure at the target, extrapolated by the fitted line.
    fn value_at_target(&self, figure: &str) -> f64 {
        let line = self.fit_line(figure);
        line.intercept + line.slope * self.target
    }

    fn fit_line(&self, figure: &str) -> Line {
        let points: Vec<_> =
            self.points.iter().map(|(x, sample)| (*x, sample.value(figure))).collect();
        Line::fit(&points)
    }
}

/// Size of a cell to sample.
struct CellSize {
    workers: usize,
    daemons: usize,
    customers: usize,
}

impl Default for CellSize {
    fn default() -> Self {
        Self { workers: 50, daemons: DAEMONS, customers: 2 }
    }
}

impl CellSize {
    /// Starts the cell; returns it and the folder with its settings files.
    fn start(&self, environment: &Environment) -> Result<(TestCell, PathBuf)> {
        let folder = std::env::temp_dir().join(format!("bronzerail-files-{}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        std::fs::write(folder.join("inventory.jsonc"), inventory(self.workers))?;
        let rules = std::fs::read_to_string(environment.example.join("rules.jsonc"))?;
        std::fs::write(folder.join("rules.jsonc"), add_customers(&rules, self.customers))?;
        std::fs::copy(environment.example.join("daemon.jsonc"), folder.join("daemon.jsonc"))?;
        let own_environment =
            Environment { binaries: environment.binaries.clone(), example: folder.clone() };
        Ok((own_environment.start_cell(self.daemons)?, folder))
    }
}

/// Inventory of workers in racks of six, with one executor.
fn inventory(workers: usize) -> String {
    let racks: Vec<String> = (0..workers.div_ceil(6))
        .map(|rack| {
            let entries = (rack * 6..(rack * 6 + 6).min(workers)).map(|index| {
                format!(r#"{{"name":"w{index}","cpu":16,"memory":"64GB","accelerators":2}}"#)
            });
            let entries: Vec<String> = entries.collect();
            format!(r#"{{"name":"r{rack}","workers":[{}]}}"#, entries.join(","))
        })
        .collect();
    format!(
        r#"{{"cell":"es-north","domains":[{{"name":"d","racks":[{}]}}],"services":[{{"name":"flowcheck","executors":[{{"name":"e0","worker":"w0","slots":8,"connections":64,"cpu":1,"memory":"1GB"}}]}}]}}"#,
        racks.join(",")
    )
}

/// Adds customers to the rules of the example, which has two.
fn add_customers(rules: &str, count: usize) -> String {
    let customer = |index: usize| format!("{{ \"name\": \"team-{index}\" }},");
    let added: Vec<String> = (2..count).map(customer).collect();
    let added = added.concat();
    rules.replace("\"customers\": [", &format!("\"customers\": [{added}"))
}

/// Counters of daemons and stand-in at one time.
struct Reading {
    at: Instant,
    cpu: Vec<f64>,
    bytes: Vec<f64>,
    counts: Value,
}

fn take_reading(bench: &TestCell) -> Result<Reading> {
    let members = bench.caller(0).get("/v1/members")?;
    let mut rows = members["rows"].as_array().cloned().unwrap_or_default();
    rows.sort_by_key(|row| row["member"].to_string());
    let bytes = |row: &Value| {
        let count = |name: &str| row[name].as_f64().unwrap_or(0.0);
        count("peer_bytes_sent") + count("peer_bytes_received")
    };
    let pids = (0..bench.daemons.len()).filter_map(|index| bench.pid(index));
    Ok(Reading {
        at: Instant::now(),
        cpu: pids.map(|pid| process::cpu_time(pid).as_secs_f64()).collect(),
        bytes: rows.iter().map(bytes).collect(),
        counts: bench.platform().get("/counts")?,
    })
}

fn take_sample(bench: &TestCell) -> Result<Sample> {
    let before = take_reading(bench)?;
    std::thread::sleep(SAMPLE_TIME);
    let after = take_reading(bench)?;
    let seconds = (after.at - before.at).as_secs_f64();
    let worst = |old: &[f64], new: &[f64]| {
        old.iter().zip(new).map(|(old, new)| (new - old) / seconds).fold(0.0, f64::max)
    };
    let rate = |part: &str, name: &str| {
        let count = |reading: &Reading| reading.counts[part][name].as_f64().unwrap_or(0.0);
        (count(&after) - count(&before)) / seconds
    };
    let pids = (0..bench.daemons.len()).filter_map(|index| bench.pid(index));
    Ok(Sample {
        cpu_percent: 100.0 * worst(&before.cpu, &after.cpu),
        rss_mb: pids.map(process::rss_mb).fold(0.0, f64::max),
        control_kb: worst(&before.bytes, &after.bytes) / 1000.0,
        writes: rate("table", "writes"),
        reads: rate("table", "reads"),
        starts: rate("workers", "starts"),
    })
}

fn template(kind: &str, payload: &str, tasks: u32) -> RequestTemplate {
    RequestTemplate {
        kind: kind.to_owned(),
        customer: "trim-supplier".to_owned(),
        payload: payload.to_owned(),
        tasks,
        wait_ms: 0,
        is_once: false,
    }
}

/// Starts a cell, prepares it and takes a sample under the load that `prepare` returns.
fn sample_cell(
    environment: &Environment,
    cell: &CellSize,
    prepare: impl FnOnce(&TestCell) -> Result<Option<Load>>,
) -> Result<Sample> {
    let (bench, _) = cell.start(environment)?;
    let load = prepare(&bench)?;
    std::thread::sleep(SETTLE_TIME);
    let sample = take_sample(&bench);
    if let Some(load) = load {
        load.finish();
    }
    sample
}

fn urls(bench: &TestCell) -> Vec<String> {
    bench.daemons.iter().map(|daemon| daemon.url.clone()).collect()
}

/// Takes one sample for each value of an axis.
fn measure_axis(
    name: &'static str,
    values: &[f64],
    target: f64,
    mut sample: impl FnMut(f64) -> Result<Sample>,
) -> Result<Axis> {
    let mut points = Vec::new();
    for value in values {
        let point = sample(*value)?;
        // The cell may not reach the requested rate of starts; use the measured rate.
        let value = &if point.starts > 0.0 { point.starts } else { *value };
        eprintln!(
            "{name} {value}: {:.2}% cpu, {:.1} MB, {:.2} KB/s, {:.1} writes/s, {:.1} reads/s",
            point.cpu_percent, point.rss_mb, point.control_kb, point.writes, point.reads
        );
        points.push((*value, point));
    }
    Ok(Axis { name, points, target })
}

fn measure_axes(environment: &Environment) -> Result<Vec<Axis>> {
    let no_load = |_: &TestCell| Ok(None);
    Ok(vec![
        measure_axis("daemons", &[3.0, 6.0, 9.0], DAEMONS as f64, |value| {
            sample_cell(
                environment,
                &CellSize { daemons: value as usize, ..CellSize::default() },
                no_load,
            )
        })?,
        measure_axis("workers", &[50.0, 150.0, 300.0], 2000.0 / REGIONS, |value| {
            sample_cell(
                environment,
                &CellSize { workers: value as usize, ..CellSize::default() },
                no_load,
            )
        })?,
        measure_axis("running tasks", &[0.0, 400.0, 800.0], 17_000.0 / REGIONS, |value| {
            sample_cell(environment, &CellSize::default(), |bench| {
                run_tasks(bench, value as usize)?;
                Ok(None)
            })
        })?,
        measure_axis("starts a second", &[15.0, 30.0, 50.0], 360.0 / REGIONS, |value| {
            sample_cell(environment, &CellSize::default(), |bench| {
                let template = template("urgent-study", "ms=100", 1);
                Ok(Some(Load::start(&urls(bench), 16, value, "s", &template)))
            })
        })?,
        measure_axis("teams", &[2.0, 130.0, 260.0], 260.0, |value| {
            sample_cell(
                environment,
                &CellSize { customers: value as usize, ..CellSize::default() },
                no_load,
            )
        })?,
    ])
}

/// Submits gangs of 40 tasks that never end, `count` tasks in total.
fn run_tasks(bench: &TestCell, count: usize) -> Result<()> {
    for gang in 0..count / 40 {
        let body = json!({
            "customer": "trim-supplier",
            "id": format!("gang-{gang}"),
            "kind": "packing-gang",
            "payload": "forever",
            "tasks": 40,
            "size": { "cpu": 500, "memory": 512 },
        });
        bench.caller(0).submit(&body, 0)?;
    }
    Ok(())
}

/// Measures rules changes on nine daemons: longest time in seconds, and the cost.
///
/// A change ends when it is in force on all members. The sample holds the processor time of
/// one change as a percentage of one second.
fn measure_settings_changes(environment: &Environment) -> Result<(f64, Sample)> {
    let (bench, folder) =
        CellSize { workers: 300, daemons: DAEMONS, customers: 260 }.start(environment)?;
    let text = std::fs::read_to_string(folder.join("rules.jsonc"))?;
    let mut worst: f64 = 0.0;
    let began = Instant::now();
    let before = take_reading(&bench)?;
    for version in 2..12 {
        let changed = format!("{text}// {version}\n");
        let answer =
            bench.caller(0).put(&format!("/v1/settings/rules?base={version}"), &changed)?;
        let unconfirmed = answer["not_confirmed"].as_array().map_or(usize::MAX, Vec::len);
        if unconfirmed > 0 {
            return Err(format!("not all members confirmed a change: {answer}").into());
        }
        worst = worst.max(answer["after_ms"].as_f64().unwrap_or(0.0) / 1000.0);
    }
    let after = take_reading(&bench)?;
    let changes = 10.0;
    let cpu = before.cpu.iter().zip(&after.cpu).map(|(old, new)| new - old).fold(0.0, f64::max);
    eprintln!(
        "settings: worst {worst:.3} s, {:.1} ms of processor time per change on the worst daemon, \
         in {:.1} s",
        1000.0 * cpu / changes,
        began.elapsed().as_secs_f64()
    );
    Ok((worst, Sample { cpu_percent: 100.0 * cpu / changes, ..Sample::default() }))
}

/// Runs the measurement and returns its JSON line; draws plots if a folder is given.
///
/// # Errors
///
/// If a cell does not start.
pub fn run(environment: &Environment, plots: Option<&Path>) -> Result<Value> {
    let axes = measure_axes(environment)?;
    let (settings_s, change) = measure_settings_changes(environment)?;
    for axis in &axes {
        for figure in FIGURES {
            let line = axis.fit_line(figure);
            println!(
                "{}\t{figure}\tbase {:.4}\tslope {:.6}\tresidual {:.4}\tat {:.1}: {:.3}",
                axis.name,
                line.intercept,
                line.slope,
                line.residual,
                axis.target,
                axis.value_at_target(figure)
            );
        }
    }
    if let Some(folder) = plots {
        for figure in ["cpu_percent", "control_kb"] {
            let series = axes.iter().map(|axis| plot::Series {
                name: axis.name.to_owned(),
                points: axis
                    .points
                    .iter()
                    .map(|(x, sample)| (x / axis.target, sample.value(figure)))
                    .collect(),
            });
            plot::draw(&folder.join(format!("{figure}.svg")), figure, &series.collect::<Vec<_>>())?;
        }
    }
    // Rules changes per second at 960 a day.
    let changes = 960.0 / 86_400.0;
    // An idle cell of nine daemons plus what each axis adds to it.
    let at_target = |figure: &str| {
        let idle = axes[0].value_at_target(figure);
        let added = axes[1..].iter().map(|axis| (axis.value_at_target(figure) - idle).max(0.0));
        idle + added.sum::<f64>() + changes * change.value(figure)
    };
    Ok(json!({
        "measure": "capacity",
        "cpu_percent_at_target": at_target("cpu_percent"),
        "rss_mb_at_target": at_target("rss_mb"),
        "control_kb_per_s_at_target": at_target("control_kb"),
        "table_writes_per_s_at_target": at_target("writes"),
        "table_reads_per_s_at_target": at_target("reads"),
        "settings_s_at_target": settings_s,
    }))
}
