//! Commands on collected logs.

use std::time::Duration;

use jiff::Timestamp;
use logs::{Day, Line, Second, Span, Story};
use serde_json::{Value, json};
use snafu::ResultExt;

use crate::args::Report;
use crate::config::Config;
use crate::error::{Error, FileSnafu};
use crate::output::{Column, print_json, table};

const STORY: [Column; 4] =
    [("AFTER", "after"), ("MEMBER", "member"), ("EVENT", "text"), ("DETAIL", "detail")];

const TOTALS: [Column; 5] = [
    ("ACCEPTED", "accepted"),
    ("IN TIME", "in_time"),
    ("LATE", "late"),
    ("UNANSWERED", "unanswered"),
    ("LINES LEFT OUT", "left_out"),
];

const QUEUES: [Column; 4] =
    [("QUEUE", "queue"), ("ENDED", "ended"), ("P50 MS", "p50"), ("P99 MS", "p99")];

const TROUBLES: [Column; 4] =
    [("TROUBLE", "what"), ("FROM S", "from"), ("TO S", "to"), ("MEMBER", "member")];

fn read(files: &[String]) -> Result<Vec<Line>, Error> {
    let texts: Result<Vec<String>, Error> = files
        .iter()
        .map(|path| std::fs::read_to_string(path).context(FileSnafu { path }))
        .collect();
    let texts = texts?;
    let (lines, unread) = logs::read(texts.iter().flat_map(|text| text.lines()));
    if unread > 0 {
        eprintln!("bronzerail: {unread} lines hold no event and are left out");
    }
    Ok(lines)
}

/// Shows what daemons wrote about a job.
pub(super) fn trace(config: &Config, job: &str, files: &[String]) -> Result<(), Error> {
    let lines = read(files)?;
    let story = Story::of(&lines, job);
    let Some(first) = story.lines.first().map(|line| line.at) else {
        return Err(Error::NoLines { job: job.to_owned() });
    };
    if config.is_json {
        print_json(&story_json(&story, first));
    } else {
        tell_story(&story, first);
    }
    Ok(())
}

fn line_rows(lines: &[Line], first: Timestamp) -> Vec<Value> {
    let row = |line: &Line| {
        let after = line.at.duration_since(first).as_secs_f64();
        json!({
            "at": line.at.to_string(), "after": format!("{after:+.3}"), "member": line.member,
            "event": line.event, "text": line.text, "detail": line.detail(),
        })
    };
    lines.iter().map(row).collect()
}

fn story_json(story: &Story, first: Timestamp) -> Value {
    let longest = story.longest.as_ref();
    json!({
        "job": story.job, "late": story.is_late, "lines": line_rows(&story.lines, first),
        "longest_ms": longest.map(|wait| wait.length.as_millis() as u64),
        "longest_after": longest.map(|wait| &wait.after),
        "longest_until": longest.map(|wait| &wait.until),
        "meanwhile": longest.map(|wait| line_rows(&wait.meanwhile, first)),
    })
}

fn tell_story(story: &Story, first: Timestamp) {
    print!("{}", table(&STORY, &line_rows(&story.lines, first)));
    if let Some(wait) = &story.longest {
        let length = wait.length.as_secs_f64();
        println!("\nlongest wait: {length:.3} s from '{}' to '{}'", wait.after, wait.until);
        if wait.meanwhile.is_empty() {
            println!("nothing else was logged meanwhile that explains it");
        } else {
            println!("meanwhile:");
            print!("{}", table(&STORY, &line_rows(&wait.meanwhile, first)));
        }
    }
    match story.is_late {
        Some(true) => println!("it ended after its objective"),
        Some(false) => println!("it ended within its objective"),
        None => println!("no line tells its end"),
    }
}

/// Draws a day and prints its figures.
pub(super) fn report(config: &Config, report: &Report) -> Result<(), Error> {
    let lines = read(&report.logs)?;
    let Some(day) = Day::of(&lines) else {
        return Err(Error::NoLines { job: String::new() });
    };
    if let Some(path) = &report.out {
        let chart = day.chart().map_err(|error| Error::Chart { text: error.to_string() })?;
        std::fs::write(path, chart).context(FileSnafu { path })?;
    }
    let queues: Vec<Value> =
        day.queues.iter().map(|(queue, ages)| queue_row(queue, ages)).collect();
    let troubles: Vec<Value> = day.troubles.iter().map(span_row).collect();
    let totals = totals(&day);
    if config.is_json {
        print_json(&json!({ "totals": totals, "queues": queues, "troubles": troubles }));
        return Ok(());
    }
    println!("{}", table(&TOTALS, &[totals]));
    println!("{}", table(&QUEUES, &queues));
    print!("{}", table(&TROUBLES, &troubles));
    Ok(())
}

fn totals(day: &Day) -> Value {
    let sum = |of: fn(&Second) -> u32| day.seconds.iter().map(of).sum::<u32>();
    json!({
        "accepted": sum(|second| second.accepted),
        "in_time": sum(|second| second.in_time),
        "late": sum(|second| second.late),
        "unanswered": sum(|second| second.unanswered),
        "left_out": day.left_out,
    })
}

fn span_row(span: &Span) -> Value {
    let seconds = |span: Duration| format!("{:.2}", span.as_secs_f64());
    json!({
        "what": span.what, "from": seconds(span.from), "to": seconds(span.to),
        "member": span.member,
    })
}

fn queue_row(queue: &str, ages: &[u64]) -> Value {
    let quantile = |share: f64| {
        let at = (ages.len() as f64 * share) as usize;
        ages.get(at.min(ages.len().saturating_sub(1))).copied()
    };
    json!({ "queue": queue, "ended": ages.len(), "p50": quantile(0.5), "p99": quantile(0.99) })
}
