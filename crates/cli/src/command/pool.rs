//! Commands on a pool of bronzerail-platform.

use std::time::Duration;

use serde_json::Value;
use snafu::ResultExt;

use super::{length, views};
use crate::args::{Pool, PoolSubmit, PoolVerb};
use crate::client::{Answer, Client};
use crate::config::Config;
use crate::error::{Error, FileSnafu};
use crate::output::{Column, print_json, table};

/// Time that a daemon takes for an answer at the most.
const WAIT: Duration = Duration::from_secs(5);

/// Between two looks at a job that is waited for.
const LOOK_PAUSE: Duration = Duration::from_millis(200);

const QUEUES: [Column; 7] = [
    ("QUEUE", "queue"),
    ("SERVICE", "service"),
    ("PRIORITY", "priority"),
    ("ATTEMPTS", "max_attempts"),
    ("ADVICE", "advice"),
    ("OPEN", "open"),
    ("WAITING", "waiting"),
];

const WORKERS: [Column; 7] = [
    ("WORKER", "worker"),
    ("ZONE", "zone"),
    ("LABELS", "labels"),
    ("STANDING", "standing"),
    ("TASKS", "tasks"),
    ("USED", "used"),
    ("ROOM", "room"),
];

const MEMBERS: [Column; 5] = [
    ("MEMBER", "member"),
    ("ADDRESS", "address"),
    ("ROLE", "role"),
    ("EPOCH", "epoch"),
    ("SILENT MS", "silent_ms"),
];

const STEPS: [Column; 6] = [
    ("STEP", "step"),
    ("TASKS", "tasks"),
    ("DONE", "done"),
    ("PLACED", "placed"),
    ("FAILED", "failed"),
    ("WAITS", "waits"),
];

pub(super) fn run(config: &Config, pool: &Pool) -> Result<(), Error> {
    match &pool.verb {
        PoolVerb::Submit(job) => submit(config, job),
        PoolVerb::Status(on) => {
            show(config, &on.id, &Client::new(config, WAIT).get(&path(&on.id))?)
        }
        PoolVerb::Cancel(on) => {
            show(config, &on.id, &Client::new(config, WAIT).delete(&path(&on.id))?)
        }
        PoolVerb::Explain(on) => explain(config, &on.id),
        PoolVerb::Queues(_) => views::show(config, "queues", &["queue"], &QUEUES),
        PoolVerb::Workers(_) => views::show(config, "workers", &["worker"], &WORKERS),
        PoolVerb::Members(_) => views::show(config, "members", &["role", "member"], &MEMBERS),
    }
}

fn path(id: &str) -> String {
    format!("/v1/jobs/{id}")
}

fn submit(config: &Config, job: &PoolSubmit) -> Result<(), Error> {
    let wait = job.wait.as_deref().map(|text| length("wait", text)).transpose()?;
    let body = std::fs::read_to_string(&job.file).context(FileSnafu { path: &job.file })?;
    let client = Client::new(config, WAIT);
    let answer = client.post(&path(&job.id), &body)?;
    let Some(wait) = wait.filter(|_| answer.error().is_none()) else {
        return show(config, &job.id, &answer);
    };
    let end = std::time::Instant::now() + wait;
    loop {
        let answer = client.get(&path(&job.id))?;
        let is_open = matches!(answer.text("state"), "queued" | "running");
        if !is_open || std::time::Instant::now() >= end {
            return show(config, &job.id, &answer);
        }
        std::thread::sleep(LOOK_PAUSE);
    }
}

/// Prints a job's state.
fn show(config: &Config, id: &str, answer: &Answer) -> Result<(), Error> {
    if config.is_json {
        print_json(&answer.body);
    }
    if let Some(error) = answer.error() {
        return Err(error);
    }
    if !config.is_json {
        println!("{id} {}", answer.text("state"));
    }
    Ok(())
}

fn explain(config: &Config, id: &str) -> Result<(), Error> {
    let answer = Client::new(config, WAIT).get(&format!("{}/explain", path(id)))?;
    if config.is_json || answer.error().is_some() {
        return show(config, id, &answer);
    }
    println!("{}", summary(&answer));
    let steps: Vec<Value> = answer.body["steps"].as_array().cloned().unwrap_or_default();
    print!("{}", table(&STEPS, &steps));
    Ok(())
}

fn summary(answer: &Answer) -> String {
    let number = |field: &str| answer.body[field].as_i64().unwrap_or(0);
    let due = number("due_in_ms");
    let due = if due < 0 {
        format!("{:.1} s past its objective", -due as f64 / 1000.0)
    } else {
        format!("{:.1} s left to its objective", due as f64 / 1000.0)
    };
    format!(
        "{} in {} is {}, {:.1} s old, {due}, {} jobs ahead",
        answer.text("id"),
        answer.text("queue"),
        answer.text("state"),
        number("age_ms") as f64 / 1000.0,
        number("ahead"),
    )
}
