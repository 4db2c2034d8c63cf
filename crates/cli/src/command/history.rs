//! Commands that read collected logs: the history of a job and the report of a cell.

use std::time::Duration;

use jiff::Timestamp;
use logs::{CellReport, JobHistory, Line, Outage, SecondCounts};
use serde_json::{Value, json};
use snafu::ResultExt;

use crate::args::Report;
use crate::config::Config;
use crate::error::{Error, FileSnafu};
use crate::output::{Column, format_table, print_json};

/// Columns of log lines.
const LINE_COLUMNS: [Column; 4] =
    [("AFTER", "after"), ("MEMBER", "member"), ("EVENT", "text"), ("DETAIL", "detail")];

/// Columns of the totals of a report.
const TOTAL_COLUMNS: [Column; 5] = [
    ("ACCEPTED", "accepted"),
    ("IN TIME", "in_time"),
    ("LATE", "late"),
    ("UNANSWERED", "unanswered"),
    ("LINES LEFT OUT", "left_out"),
];

/// Columns of the queues of a report.
const QUEUE_COLUMNS: [Column; 4] =
    [("QUEUE", "queue"), ("ENDED", "ended"), ("P50 MS", "p50"), ("P99 MS", "p99")];

/// Columns of the outages of a report.
const OUTAGE_COLUMNS: [Column; 4] =
    [("TROUBLE", "what"), ("FROM S", "from"), ("TO S", "to"), ("MEMBER", "member")];

/// Reads log files; prints a warning if lines hold no event.
fn read_logs(files: &[String]) -> Result<Vec<Line>, Error> {
    let texts: Result<Vec<String>, Error> = files
        .iter()
        .map(|path| std::fs::read_to_string(path).context(FileSnafu { path }))
        .collect();
    let texts = texts?;
    let (lines, skipped) = logs::read(texts.iter().flat_map(|text| text.lines()));
    if skipped > 0 {
        eprintln!("bronzerail: skipped {skipped} lines that hold no event");
    }
    Ok(lines)
}

/// Prints the lines that daemons logged about a job.
pub(super) fn trace(config: &Config, job: &str, files: &[String]) -> Result<(), Error> {
    let lines = read_logs(files)?;
    let history = JobHistory::from_lines(&lines, job);
    let Some(first) = history.lines.first().map(|line| line.time) else {
        return Err(Error::NoLines { job: job.to_owned() });
    };
    if config.is_json {
        print_json(&history_json(&history, first));
    } else {
        print_history(&history, first);
    }
    Ok(())
}

/// Rows of log lines; `after` is the time in seconds since `first`.
fn line_rows(lines: &[Line], first: Timestamp) -> Vec<Value> {
    let row = |line: &Line| {
        let after = line.time.duration_since(first).as_secs_f64();
        json!({
            "at": line.time.to_string(), "after": format!("{after:+.3}"), "member": line.member,
            "event": line.event, "text": line.message, "detail": line.format_fields(),
        })
    };
    lines.iter().map(row).collect()
}

/// JSON object of a job's history.
fn history_json(history: &JobHistory, first: Timestamp) -> Value {
    let longest_wait = history.longest_wait.as_ref();
    json!({
        "job": history.job, "late": history.is_late, "lines": line_rows(&history.lines, first),
        "longest_ms": longest_wait.map(|wait| wait.duration.as_millis() as u64),
        "longest_after": longest_wait.map(|wait| &wait.after),
        "longest_until": longest_wait.map(|wait| &wait.until),
        "meanwhile": longest_wait.map(|wait| line_rows(&wait.possible_causes, first)),
    })
}

/// Prints a job's lines, its longest wait with possible causes, and whether it was late.
fn print_history(history: &JobHistory, first: Timestamp) {
    print!("{}", format_table(&LINE_COLUMNS, &line_rows(&history.lines, first)));
    if let Some(wait) = &history.longest_wait {
        let seconds = wait.duration.as_secs_f64();
        println!("\nlongest wait: {seconds:.3} s from '{}' to '{}'", wait.after, wait.until);
        if wait.possible_causes.is_empty() {
            println!("no event that explains it was logged meanwhile");
        } else {
            println!("meanwhile:");
            print!("{}", format_table(&LINE_COLUMNS, &line_rows(&wait.possible_causes, first)));
        }
    }
    match history.is_late {
        Some(true) => println!("it ended after its objective"),
        Some(false) => println!("it ended within its objective"),
        None => println!("its end was not logged"),
    }
}

/// Prints the totals, queues and outages of a cell, and writes its chart.
pub(super) fn report(config: &Config, args: &Report) -> Result<(), Error> {
    let lines = read_logs(&args.logs)?;
    let Some(report) = CellReport::from_lines(&lines) else {
        return Err(Error::NoLines { job: String::new() });
    };
    if let Some(path) = &args.out {
        let chart =
            report.draw_chart().map_err(|error| Error::Chart { text: error.to_string() })?;
        std::fs::write(path, chart).context(FileSnafu { path })?;
    }
    let queues: Vec<Value> =
        report.queues.iter().map(|(queue, ages)| queue_row(queue, ages)).collect();
    let outages: Vec<Value> = report.outages.iter().map(outage_row).collect();
    let totals = totals_row(&report);
    if config.is_json {
        print_json(&json!({ "totals": totals, "queues": queues, "troubles": outages }));
        return Ok(());
    }
    println!("{}", format_table(&TOTAL_COLUMNS, &[totals]));
    println!("{}", format_table(&QUEUE_COLUMNS, &queues));
    print!("{}", format_table(&OUTAGE_COLUMNS, &outages));
    Ok(())
}

/// Row with the sums over all seconds.
fn totals_row(report: &CellReport) -> Value {
    let sum = |count: fn(&SecondCounts) -> u32| report.seconds.iter().map(count).sum::<u32>();
    json!({
        "accepted": sum(|second| second.accepted),
        "in_time": sum(|second| second.in_time),
        "late": sum(|second| second.late),
        "unanswered": sum(|second| second.unanswered),
        "left_out": report.dropped_lines,
    })
}

/// Row of an outage, with its start and end in seconds.
fn outage_row(outage: &Outage) -> Value {
    let seconds = |offset: Duration| format!("{:.2}", offset.as_secs_f64());
    json!({
        "what": outage.kind, "from": seconds(outage.from), "to": seconds(outage.to),
        "member": outage.member,
    })
}

/// Row of a queue: number of ended jobs and quantiles of their sorted ages in ms.
fn queue_row(queue: &str, ages: &[u64]) -> Value {
    let quantile = |fraction: f64| {
        let index = (ages.len() as f64 * fraction) as usize;
        ages.get(index.min(ages.len().saturating_sub(1))).copied()
    };
    json!({ "queue": queue, "ended": ages.len(), "p50": quantile(0.5), "p99": quantile(0.99) })
}
