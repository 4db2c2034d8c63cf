//! Commands on one request.

use std::time::{Duration, Instant};

use common::Name;
use serde_json::Value;
use settings::Spec;
use settings::quantity::{MILLIS_PER_CPU, Memory, Size};
use snafu::ResultExt;

use super::length;
use crate::args::Submit;
use crate::client::{Answer, Client};
use crate::config::Config;
use crate::error::{Error, FileSnafu};
use crate::output::{print_json, show_us, table};

/// How long `wait` waits where it is not told.
const DEFAULT_WAIT: Duration = Duration::from_hours(1);

/// Longest wait of one call.
const WAIT_AT_ONCE: Duration = Duration::from_secs(30);

pub(super) fn submit(config: &Config, submit: &Submit) -> Result<(), Error> {
    let wait = submit.wait.as_deref().map(|text| length("wait", text)).transpose()?;
    let spec = spec_of(submit)?;
    let body = serde_json::to_string(&spec).unwrap_or_default();
    let first = wait.map(|wait| wait.min(WAIT_AT_ONCE));
    let query = first.map(|wait| format!("?wait_ms={}", wait.as_millis())).unwrap_or_default();
    let client = Client::new(config, WAIT_AT_ONCE);
    let began = Instant::now();
    let answer = client.post(&format!("/v1/requests{query}"), &body)?;
    let left = wait.unwrap_or_default().saturating_sub(began.elapsed());
    if is_open(&answer) && !left.is_zero() {
        let answer = wait_on(&client, &spec.customer, &spec.id, left)?;
        return show(config, &answer);
    }
    if is_open(&answer) && wait.is_none() {
        tell(config, &answer);
        return Ok(());
    }
    show(config, &answer)
}

fn spec_of(submit: &Submit) -> Result<Spec, Error> {
    let payload = match (&submit.payload, &submit.payload_file) {
        (Some(_), Some(_)) => {
            let text = "give either --payload or --payload-file".to_owned();
            return Err(Error::Option { option: "payload", text });
        }
        (None, Some(path)) => std::fs::read_to_string(path).context(FileSnafu { path })?,
        (payload, None) => payload.clone().unwrap_or_default(),
    };
    let within = submit.within.as_deref().map(|text| length("within", text)).transpose()?;
    Ok(Spec {
        customer: Name::new(&submit.customer),
        id: Name::new(&submit.id),
        kind: Name::new(&submit.kind),
        payload,
        size: size_of(submit)?,
        tasks: submit.tasks,
        within_ms: within.map(|within| within.as_millis() as u64),
        repeatable: submit.once.then_some(false),
    })
}

fn size_of(submit: &Submit) -> Result<Option<Size>, Error> {
    let (Some(cpu), Some(memory)) = (submit.cpu, submit.memory.as_deref()) else {
        if submit.cpu.is_some() || submit.memory.is_some() || submit.accelerators.is_some() {
            let text = "a size needs both --cpu and --memory".to_owned();
            return Err(Error::Option { option: "cpu", text });
        }
        return Ok(None);
    };
    let memory: Result<Memory, _> = memory.parse();
    let memory =
        memory.map_err(|text| Error::Option { option: "memory", text: text.to_owned() })?;
    Ok(Some(Size {
        cpu: (cpu * MILLIS_PER_CPU).round() as u64,
        memory: memory.mib,
        accelerators: submit.accelerators.unwrap_or(0),
    }))
}

fn path(customer: &str, id: &str) -> String {
    format!("/v1/requests/{customer}/{id}")
}

fn is_open(answer: &Answer) -> bool {
    answer.status == 202
}

fn wait_on(client: &Client, customer: &str, id: &str, wait: Duration) -> Result<Answer, Error> {
    let end = Instant::now() + wait;
    loop {
        let left = end.saturating_duration_since(Instant::now());
        let now = left.min(WAIT_AT_ONCE).as_millis().max(1);
        let answer = client.get(&format!("{}?wait_ms={now}", path(customer, id)))?;
        if !is_open(&answer) || left.is_zero() {
            return Ok(answer);
        }
    }
}

/// Prints an answer; one that is open or an error decides the exit code.
fn show(config: &Config, answer: &Answer) -> Result<(), Error> {
    if let Some(error) = answer.error() {
        if config.is_json {
            print_json(&answer.body);
        }
        return Err(error);
    }
    tell(config, answer);
    if is_open(answer) {
        return Err(Error::Open { state: answer.text("state").to_owned() });
    }
    Ok(())
}

fn tell(config: &Config, answer: &Answer) {
    if config.is_json {
        return print_json(&answer.body);
    }
    let worker = answer.text("worker");
    let on = if worker.is_empty() { String::new() } else { format!(" on {worker}") };
    println!("{}/{} {}{on}", answer.text("customer"), answer.text("id"), answer.text("state"));
    for result in answer.body["results"].as_array().into_iter().flatten() {
        println!("{}", result.as_str().unwrap_or(""));
    }
}

pub(super) fn status(config: &Config, customer: &str, id: &str) -> Result<(), Error> {
    let answer = Client::new(config, Duration::ZERO).get(&path(customer, id))?;
    match show(config, &answer) {
        Err(Error::Open { .. }) => Ok(()),
        other => other,
    }
}

pub(super) fn wait(
    config: &Config,
    customer: &str,
    id: &str,
    text: Option<&str>,
) -> Result<(), Error> {
    let wait = text.map(|text| length("for", text)).transpose()?.unwrap_or(DEFAULT_WAIT);
    let client = Client::new(config, WAIT_AT_ONCE);
    let answer = wait_on(&client, customer, id, wait)?;
    show(config, &answer)
}

pub(super) fn cancel(config: &Config, customer: &str, id: &str) -> Result<(), Error> {
    let answer = Client::new(config, Duration::ZERO).delete(&path(customer, id))?;
    let is_stopped = matches!(answer.text("error"), "cancelled" | "stopped");
    if !is_stopped {
        return show(config, &answer);
    }
    if config.is_json {
        print_json(&answer.body);
    } else {
        println!("{customer}/{id} {} ({})", answer.text("error"), answer.text("ran"));
    }
    Ok(())
}

pub(super) fn explain(config: &Config, customer: &str, id: &str) -> Result<(), Error> {
    let path = format!("{}/explain", path(customer, id));
    let answer = Client::new(config, Duration::ZERO).get(&path)?;
    if answer.text("state").is_empty() || answer.text("error") == "not-found" {
        return show(config, &answer);
    }
    if config.is_json {
        print_json(&answer.body);
    } else {
        println!("{}", answer.text("text"));
    }
    Ok(())
}

pub(super) fn trace(config: &Config, customer: &str, id: &str) -> Result<(), Error> {
    let answer = Client::new(config, Duration::ZERO).get(&path(customer, id))?;
    if answer.text("error") == "not-found" {
        return show(config, &answer);
    }
    if config.is_json {
        print_json(&answer.body["trace"]);
        return Ok(());
    }
    let mut spans: Vec<Value> = answer.body["trace"].as_array().cloned().unwrap_or_default();
    // The first span is this question's own hop.
    if !spans.is_empty() {
        spans.remove(0);
    }
    spans.sort_by_key(|span| span["start_us"].as_u64());
    let first = spans.first().and_then(|span| span["start_us"].as_u64()).unwrap_or(0);
    for span in &mut spans {
        let start = span["start_us"].as_u64().unwrap_or(0);
        let took = span["length_us"].as_u64().unwrap_or(0);
        span["after"] = Value::from(show_us(start.saturating_sub(first)));
        span["took"] = Value::from(show_us(took));
    }
    let columns = [("HOP", "hop"), ("WHERE", "member"), ("AFTER", "after"), ("TOOK", "took")];
    print!("{}", table(&columns, &spans));
    Ok(())
}
