//! Commands on the jobs and views of a bronzerail-platform pool.

use std::time::Duration;

use serde_json::Value;
use snafu::ResultExt;

use super::{check_config, parse_duration, views};
use crate::args::{Pool, PoolSubmit, PoolVerb};
use crate::client::{Answer, Client};
use crate::config::Config;
use crate::error::{Error, FileSnafu};
use crate::output::{Column, format_table, print_json};

/// Maximum time that a daemon takes to answer.
const MAX_ANSWER_TIME: Duration = Duration::from_secs(5);

/// Time between two polls of a job's state.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Columns of `pool queues`.
const QUEUE_COLUMNS: [Column; 7] = [
    ("QUEUE", "queue"),
    ("SERVICE", "service"),
    ("PRIORITY", "priority"),
    ("ATTEMPTS", "max_attempts"),
    ("ADVICE", "advice"),
    ("OPEN", "open"),
    ("WAITING", "waiting"),
];

/// Columns of `pool workers`.
const WORKER_COLUMNS: [Column; 7] = [
    ("WORKER", "worker"),
    ("ZONE", "zone"),
    ("LABELS", "labels"),
    ("STANDING", "standing"),
    ("TASKS", "tasks"),
    ("USED", "used"),
    ("ROOM", "room"),
];

/// Columns of `pool members`.
const MEMBER_COLUMNS: [Column; 5] = [
    ("MEMBER", "member"),
    ("ADDRESS", "address"),
    ("ROLE", "role"),
    ("EPOCH", "epoch"),
    ("SILENT MS", "silent_ms"),
];

/// Columns of `pool workspaces`.
const WORKSPACE_COLUMNS: [Column; 8] = [
    ("WORKSPACE", "workspace"),
    ("WEIGHT", "weight"),
    ("LIMIT", "limit"),
    ("USED", "used"),
    ("TASKS", "tasks"),
    ("WAITING", "waiting"),
    ("AT LIMIT", "at_limit"),
    ("AT LIMIT MS", "at_limit_ms"),
];

/// Columns of the kinds of steps that `pool estimates` prints.
const KIND_COLUMNS: [Column; 11] = [
    ("QUEUE", "queue"),
    ("WORKSPACE", "workspace"),
    ("MCPU FROM", "cpu_from"),
    ("GANG", "gang"),
    ("RUNS", "runs"),
    ("HALF WITHIN MS", "median_ms"),
    ("95% WITHIN MS", "high_ms"),
    ("RATIO", "ratio"),
    ("RATIO ERROR", "ratio_error"),
    ("HISTORY ERROR", "history_error"),
    ("SOURCE", "source"),
];

/// Columns of the workers that `pool estimates` prints.
const SPEED_COLUMNS: [Column; 6] = [
    ("WORKER", "worker"),
    ("SPEED", "speed"),
    ("ERROR", "error"),
    ("RUNS", "runs"),
    ("AGE S", "age_s"),
    ("SLOW", "slow"),
];

/// Columns of the steps that `pool explain` prints.
const STEP_COLUMNS: [Column; 6] = [
    ("STEP", "step"),
    ("TASKS", "tasks"),
    ("DONE", "done"),
    ("PLACED", "placed"),
    ("FAILED", "failed"),
    ("WAITS", "waits"),
];

/// Runs a pool command.
pub(super) fn run(config: &Config, pool: &Pool) -> Result<(), Error> {
    match &pool.verb {
        PoolVerb::Submit(job) => submit(config, job),
        PoolVerb::Status(job) => print_state(
            config,
            &job.id,
            &Client::new(config, MAX_ANSWER_TIME).get(&job_path(&job.id))?,
        ),
        PoolVerb::Cancel(job) => print_state(
            config,
            &job.id,
            &Client::new(config, MAX_ANSWER_TIME).delete(&job_path(&job.id))?,
        ),
        PoolVerb::Explain(job) => explain(config, &job.id),
        PoolVerb::Queues(_) => views::print_view(config, "queues", &["queue"], &QUEUE_COLUMNS),
        PoolVerb::Workers(_) => views::print_view(config, "workers", &["worker"], &WORKER_COLUMNS),
        PoolVerb::Members(_) => {
            views::print_view(config, "members", &["role", "member"], &MEMBER_COLUMNS)
        }
        PoolVerb::CheckConfig(args) => check_config::run(config, args),
        PoolVerb::Workspaces(_) => {
            views::print_view(config, "workspaces", &["workspace"], &WORKSPACE_COLUMNS)
        }
        PoolVerb::Estimates(_) => estimates(config),
    }
}

/// URL path of a job.
fn job_path(id: &str) -> String {
    format!("/v1/jobs/{id}")
}

/// Submits a job, and polls its state for the given time or until it ends.
fn submit(config: &Config, job: &PoolSubmit) -> Result<(), Error> {
    let wait = job.wait.as_deref().map(|text| parse_duration("wait", text)).transpose()?;
    let body = std::fs::read_to_string(&job.file).context(FileSnafu { path: &job.file })?;
    let body = match &job.workspace {
        Some(workspace) => with_workspace(&body, &job.file, workspace)?,
        None => body,
    };
    let client = Client::new(config, MAX_ANSWER_TIME);
    let answer = client.post(&job_path(&job.id), &body)?;
    let Some(wait) = wait.filter(|_| answer.error().is_none()) else {
        return print_state(config, &job.id, &answer);
    };
    let deadline = std::time::Instant::now() + wait;
    loop {
        let answer = client.get(&job_path(&job.id))?;
        let is_open = matches!(answer.str_field("state"), "queued" | "running");
        if !is_open || std::time::Instant::now() >= deadline {
            return print_state(config, &job.id, &answer);
        }
        std::thread::sleep(POLL_INTERVAL);
    }
}

/// Sets the workspace in the JSON text of a job.
fn with_workspace(body: &str, path: &str, workspace: &str) -> Result<String, Error> {
    let error = |text: String| Error::Option { option: "workspace", text };
    let mut job: Value =
        serde_json::from_str(body).map_err(|source| error(format!("{path}: {source}")))?;
    let fields = job.as_object_mut().ok_or_else(|| error(format!("{path}: not a JSON object")))?;
    fields.insert("workspace".to_owned(), Value::from(workspace));
    Ok(job.to_string())
}

/// Prints a job's state, or returns the error that the answer reports.
fn print_state(config: &Config, id: &str, answer: &Answer) -> Result<(), Error> {
    if config.is_json {
        print_json(&answer.body);
    }
    if let Some(error) = answer.error() {
        return Err(error);
    }
    if !config.is_json {
        println!("{id} {}", answer.str_field("state"));
    }
    Ok(())
}

/// Prints the progress of a job's steps and what they wait for.
fn explain(config: &Config, id: &str) -> Result<(), Error> {
    let answer = Client::new(config, MAX_ANSWER_TIME).get(&format!("{}/explain", job_path(id)))?;
    if config.is_json || answer.error().is_some() {
        return print_state(config, id, &answer);
    }
    println!("{}", format_summary(&answer));
    let steps: Vec<Value> = answer.body["steps"].as_array().cloned().unwrap_or_default();
    print!("{}", format_table(&STEP_COLUMNS, &steps));
    Ok(())
}

/// Prints the learned run times and worker speeds.
fn estimates(config: &Config) -> Result<(), Error> {
    let answer = Client::new(config, MAX_ANSWER_TIME).get("/v1/estimates")?;
    if let Some(error) = answer.error() {
        return Err(error);
    }
    if config.is_json {
        print_json(&answer.body);
        return Ok(());
    }
    print_table(&KIND_COLUMNS, &answer.body);
    let differ = answer.body["speeds_differ"].as_bool().unwrap_or(false);
    let use_of_speeds =
        if differ { "used" } else { "not used, as they do not differ beyond noise" };
    println!("\nspeeds of workers, {use_of_speeds}:");
    print_table(&SPEED_COLUMNS, &answer.body["speeds"]);
    Ok(())
}

/// Prints rows and the number of those left out.
fn print_table(columns: &[Column], body: &Value) {
    let rows: Vec<Value> = body["rows"].as_array().cloned().unwrap_or_default();
    print!("{}", format_table(columns, &rows));
    let left_out = body["left_out"].as_u64().unwrap_or(0);
    if left_out > 0 {
        println!("{left_out} more rows are not shown");
    }
}

/// Formats the state, age, objective and queue position of a job.
fn format_summary(answer: &Answer) -> String {
    let number = |field: &str| answer.body[field].as_i64().unwrap_or(0);
    let due_in_ms = number("due_in_ms");
    let due = if due_in_ms < 0 {
        format!("{:.1} s past its objective", -due_in_ms as f64 / 1000.0)
    } else {
        format!("{:.1} s left to its objective", due_in_ms as f64 / 1000.0)
    };
    format!(
        "{} in {} is {}, {:.1} s old, {due}, {} jobs ahead",
        answer.str_field("id"),
        answer.str_field("queue"),
        answer.str_field("state"),
        number("age_ms") as f64 / 1000.0,
        number("ahead"),
    )
}
