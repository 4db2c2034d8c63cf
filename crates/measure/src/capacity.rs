//! What control costs, from slopes along each axis, worked out for the target size.
//!
//! Each axis is varied alone on real daemons with a stand-in; the worst daemon counts.
//! The target is one region's share: seven regions are seven cells.

use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::bench::{Bench, Result};
use crate::fit::Line;
use crate::load::{Load, Order};
use crate::plot;
use crate::process;
use crate::setting::Setting;

const REGIONS: f64 = 7.0;
const DAEMONS: usize = 9;

/// Length of one sample.
const SAMPLE: Duration = Duration::from_secs(8);

/// Time for a cell to settle before a sample.
const SETTLE: Duration = Duration::from_secs(5);

/// What one sample gives; per second, of the worst daemon, the table's of the whole cell.
#[derive(Debug, Clone, Copy, Default)]
struct Sample {
    cpu_percent: f64,
    rss_mb: f64,
    control_kb: f64,
    writes: f64,
    reads: f64,
    starts: f64,
}

/// The figures of a sample, by name.
const FIGURES: [&str; 5] = ["cpu_percent", "rss_mb", "control_kb", "writes", "reads"];

impl Sample {
    fn get(&self, figure: &str) -> f64 {
        match figure {
            "cpu_percent" => self.cpu_percent,
            "rss_mb" => self.rss_mb,
            "control_kb" => self.control_kb,
            "writes" => self.writes,
            _ => self.reads,
        }
    }
}

/// One axis: its points, and its value at the target.
struct Axis {
    name: &'static str,
    points: Vec<(f64, Sample)>,
    target: f64,
}

impl Axis {
    /// The worst figure at the target, by the line.
    fn at_target(&self, figure: &str) -> f64 {
        let line = self.line(figure);
        line.base + line.slope * self.target
    }

    fn line(&self, figure: &str) -> Line {
        let points: Vec<_> = self.points.iter().map(|(x, one)| (*x, one.get(figure))).collect();
        Line::through(&points)
    }
}

struct Cell {
    workers: usize,
    daemons: usize,
    customers: usize,
}

impl Default for Cell {
    fn default() -> Self {
        Self { workers: 50, daemons: DAEMONS, customers: 2 }
    }
}

impl Cell {
    /// Starts the cell; gives it and the folder with its files.
    fn start(&self, setting: &Setting) -> Result<(Bench, PathBuf)> {
        let folder = std::env::temp_dir().join(format!("bronzerail-files-{}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        std::fs::write(folder.join("inventory.jsonc"), inventory(self.workers))?;
        let rules = std::fs::read_to_string(setting.example.join("rules.jsonc"))?;
        std::fs::write(folder.join("rules.jsonc"), with_customers(&rules, self.customers))?;
        std::fs::copy(setting.example.join("daemon.jsonc"), folder.join("daemon.jsonc"))?;
        let own = Setting { binaries: setting.binaries.clone(), example: folder.clone() };
        Ok((own.cell(self.daemons)?, folder))
    }
}

fn inventory(workers: usize) -> String {
    let racks: Vec<String> = (0..workers.div_ceil(6))
        .map(|rack| {
            let here = (rack * 6..(rack * 6 + 6).min(workers)).map(|index| {
                format!(r#"{{"name":"w{index}","cpu":16,"memory":"64GB","accelerators":2}}"#)
            });
            let here: Vec<String> = here.collect();
            format!(r#"{{"name":"r{rack}","workers":[{}]}}"#, here.join(","))
        })
        .collect();
    format!(
        r#"{{"cell":"es-north","domains":[{{"name":"d","racks":[{}]}}],"services":[{{"name":"flowcheck","executors":[{{"name":"e0","worker":"w0","slots":8,"connections":64,"cpu":1,"memory":"1GB"}}]}}]}}"#,
        racks.join(",")
    )
}

fn with_customers(rules: &str, count: usize) -> String {
    let team = |index: usize| format!("{{ \"name\": \"team-{index}\" }},");
    let more: Vec<String> = (2..count).map(team).collect();
    let more = more.concat();
    rules.replace("\"customers\": [", &format!("\"customers\": [{more}"))
}

struct Reading {
    at: Instant,
    cpu: Vec<f64>,
    bytes: Vec<f64>,
    counts: Value,
}

fn read(bench: &Bench) -> Result<Reading> {
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
        cpu: pids.map(|pid| process::cpu(pid).as_secs_f64()).collect(),
        bytes: rows.iter().map(bytes).collect(),
        counts: bench.platform().get("/counts")?,
    })
}

fn sample(bench: &Bench) -> Result<Sample> {
    let before = read(bench)?;
    std::thread::sleep(SAMPLE);
    let after = read(bench)?;
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

fn order(kind: &str, payload: &str, tasks: u32) -> Order {
    Order {
        kind: kind.to_owned(),
        customer: "trim-supplier".to_owned(),
        payload: payload.to_owned(),
        tasks,
        wait_ms: 0,
        is_once: false,
    }
}

/// Samples a cell, after something was done to it.
fn point(
    setting: &Setting,
    cell: &Cell,
    prepare: impl FnOnce(&Bench) -> Result<Option<Load>>,
) -> Result<Sample> {
    let (bench, _) = cell.start(setting)?;
    let load = prepare(&bench)?;
    std::thread::sleep(SETTLE);
    let sample = sample(&bench);
    if let Some(load) = load {
        load.finish();
    }
    sample
}

fn urls(bench: &Bench) -> Vec<String> {
    bench.daemons.iter().map(|daemon| daemon.url.clone()).collect()
}

fn axis(
    name: &'static str,
    values: &[f64],
    target: f64,
    mut sample: impl FnMut(f64) -> Result<Sample>,
) -> Result<Axis> {
    let mut points = Vec::new();
    for value in values {
        let one = sample(*value)?;
        // What was asked for may not be what the cell came to.
        let value = &if one.starts > 0.0 { one.starts } else { *value };
        eprintln!(
            "{name} {value}: {:.2}% cpu, {:.1} MB, {:.2} KB/s, {:.1} writes/s, {:.1} reads/s",
            one.cpu_percent, one.rss_mb, one.control_kb, one.writes, one.reads
        );
        points.push((*value, one));
    }
    Ok(Axis { name, points, target })
}

fn axes(setting: &Setting) -> Result<Vec<Axis>> {
    let nothing = |_: &Bench| Ok(None);
    Ok(vec![
        axis("daemons", &[3.0, 6.0, 9.0], DAEMONS as f64, |value| {
            point(setting, &Cell { daemons: value as usize, ..Cell::default() }, nothing)
        })?,
        axis("workers", &[50.0, 150.0, 300.0], 2000.0 / REGIONS, |value| {
            point(setting, &Cell { workers: value as usize, ..Cell::default() }, nothing)
        })?,
        axis("running tasks", &[0.0, 400.0, 800.0], 17_000.0 / REGIONS, |value| {
            point(setting, &Cell::default(), |bench| {
                run_tasks(bench, value as usize)?;
                Ok(None)
            })
        })?,
        axis("starts a second", &[15.0, 30.0, 50.0], 360.0 / REGIONS, |value| {
            point(setting, &Cell::default(), |bench| {
                let order = order("urgent-study", "ms=100", 1);
                Ok(Some(Load::start(&urls(bench), 16, value, "s", &order)))
            })
        })?,
        axis("teams", &[2.0, 130.0, 260.0], 260.0, |value| {
            point(setting, &Cell { customers: value as usize, ..Cell::default() }, nothing)
        })?,
    ])
}

/// Fills a cell with tasks that do not end, by gangs of forty.
fn run_tasks(bench: &Bench, count: usize) -> Result<()> {
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

/// How long one change takes to be in force on nine daemons, and what changes cost.
fn settings(setting: &Setting) -> Result<(f64, Sample)> {
    let (bench, folder) = Cell { workers: 300, daemons: DAEMONS, customers: 260 }.start(setting)?;
    let text = std::fs::read_to_string(folder.join("rules.jsonc"))?;
    let mut worst: f64 = 0.0;
    let began = Instant::now();
    let before = read(&bench)?;
    for version in 2..12 {
        let changed = format!("{text}// {version}\n");
        let answer =
            bench.caller(0).put(&format!("/v1/settings/rules?base={version}"), &changed)?;
        let lacking = answer["not_confirmed"].as_array().map_or(usize::MAX, Vec::len);
        if lacking > 0 {
            return Err(format!("a change did not spread: {answer}").into());
        }
        worst = worst.max(answer["after_ms"].as_f64().unwrap_or(0.0) / 1000.0);
    }
    let after = read(&bench)?;
    let changes = 10.0;
    let cpu = before.cpu.iter().zip(&after.cpu).map(|(old, new)| new - old).fold(0.0, f64::max);
    eprintln!(
        "settings: worst {worst:.3} s, {:.1} ms of processor each on the worst daemon, in {:.1} s",
        1000.0 * cpu / changes,
        began.elapsed().as_secs_f64()
    );
    Ok((worst, Sample { cpu_percent: 100.0 * cpu / changes, ..Sample::default() }))
}

/// Takes the measure; gives its line, and draws the slopes where a folder is given.
///
/// # Errors
///
/// Where a cell does not start.
pub fn run(setting: &Setting, plots: Option<&Path>) -> Result<Value> {
    let axes = axes(setting)?;
    let (settings_s, change) = settings(setting)?;
    for axis in &axes {
        for figure in FIGURES {
            let line = axis.line(figure);
            println!(
                "{}\t{figure}\tbase {:.4}\tslope {:.6}\tresidual {:.4}\tat {:.1}: {:.3}",
                axis.name,
                line.base,
                line.slope,
                line.residual,
                axis.target,
                axis.at_target(figure)
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
                    .map(|(x, one)| (x / axis.target, one.get(figure)))
                    .collect(),
            });
            plot::draw(&folder.join(format!("{figure}.svg")), figure, &series.collect::<Vec<_>>())?;
        }
    }
    // Changes a second at 960 a day.
    let changes = 960.0 / 86_400.0;
    // What each axis adds to an idle cell of nine daemons.
    let at_target = |figure: &str| {
        let idle = axes[0].at_target(figure);
        let added = axes[1..].iter().map(|axis| (axis.at_target(figure) - idle).max(0.0));
        idle + added.sum::<f64>() + changes * change.get(figure)
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
