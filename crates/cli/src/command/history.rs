//! Commands on collected logs.

use logs::{Day, Line, Story};
use serde_json::{Value, json};
use snafu::ResultExt;

use crate::args::Report;
use crate::config::Config;
use crate::error::{Error, FileSnafu};
use crate::output::{print_json, table};

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
    let Some(first) = story.lines.first() else {
        return Err(Error::NoLines { job: job.to_owned() });
    };
    let after = |line: &Line| {
        let after = line.at.duration_since(first.at).as_secs_f64();
        format!("{after:+.3}")
    };
    let row = |line: &Line| {
        json!({
            "at": line.at.to_string(), "after": after(line), "member": line.member,
            "event": line.event, "text": line.text, "detail": line.detail(),
        })
    };
    let rows: Vec<Value> = story.lines.iter().map(row).collect();
    let longest = story.longest.as_ref();
    let meanwhile: Vec<Value> =
        longest.map(|wait| wait.meanwhile.iter().map(row).collect()).unwrap_or_default();
    if config.is_json {
        print_json(&json!({
            "job": story.job, "late": story.is_late, "lines": rows,
            "longest_ms": longest.map(|wait| wait.length.as_millis() as u64),
            "longest_after": longest.map(|wait| &wait.after),
            "longest_until": longest.map(|wait| &wait.until),
            "meanwhile": meanwhile,
        }));
        return Ok(());
    }
    let columns =
        [("AFTER", "after"), ("MEMBER", "member"), ("EVENT", "text"), ("DETAIL", "detail")];
    print!("{}", table(&columns, &rows));
    if let Some(wait) = longest {
        let length = wait.length.as_secs_f64();
        println!("\nlongest wait: {length:.3} s from '{}' to '{}'", wait.after, wait.until);
        if meanwhile.is_empty() {
            println!("nothing else was logged meanwhile that explains it");
        } else {
            println!("meanwhile:");
            print!("{}", table(&columns, &meanwhile));
        }
    }
    match story.is_late {
        Some(true) => println!("it ended after its objective"),
        Some(false) => println!("it ended within its objective"),
        None => println!("no line tells its end"),
    }
    Ok(())
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
    let seconds = |span: std::time::Duration| format!("{:.2}", span.as_secs_f64());
    let troubles: Vec<Value> = day
        .troubles
        .iter()
        .map(|span| {
            json!({
                "what": span.what, "from": seconds(span.from), "to": seconds(span.to),
                "member": span.member,
            })
        })
        .collect();
    let sum = |of: fn(&logs::Second) -> u32| day.seconds.iter().map(of).sum::<u32>();
    let totals = json!({
        "accepted": sum(|second| second.accepted),
        "in_time": sum(|second| second.in_time),
        "late": sum(|second| second.late),
        "unanswered": sum(|second| second.unanswered),
        "left_out": day.left_out,
    });
    if config.is_json {
        print_json(&json!({ "totals": totals, "queues": queues, "troubles": troubles }));
        return Ok(());
    }
    let columns = [
        ("ACCEPTED", "accepted"),
        ("IN TIME", "in_time"),
        ("LATE", "late"),
        ("UNANSWERED", "unanswered"),
        ("LINES LEFT OUT", "left_out"),
    ];
    println!("{}", table(&columns, &[totals]));
    let columns = [("QUEUE", "queue"), ("ENDED", "ended"), ("P50 MS", "p50"), ("P99 MS", "p99")];
    println!("{}", table(&columns, &queues));
    let columns = [("TROUBLE", "what"), ("FROM S", "from"), ("TO S", "to"), ("MEMBER", "member")];
    print!("{}", table(&columns, &troubles));
    Ok(())
}

fn queue_row(queue: &str, ages: &[u64]) -> Value {
    let quantile = |share: f64| {
        let at = (ages.len() as f64 * share) as usize;
        ages.get(at.min(ages.len().saturating_sub(1))).copied()
    };
    json!({ "queue": queue, "ended": ages.len(), "p50": quantile(0.5), "p99": quantile(0.99) })
}
