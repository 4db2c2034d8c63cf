//! Commands on a single request.

use std::time::{Duration, Instant};

use common::Name;
use serde_json::Value;
use settings::RequestSpec;
use settings::quantity::{MILLIS_PER_CPU, Memory, Resources};
use snafu::ResultExt;

use super::parse_duration;
use crate::args::Submit;
use crate::client::{Answer, Client};
use crate::config::Config;
use crate::error::{Error, FileSnafu};
use crate::output::{format_table, format_us, print_json};

/// Longest time that `wait` waits if `--for` is not given.
const DEFAULT_WAIT: Duration = Duration::from_hours(1);

/// Maximum wait of one call; longer waits take several calls.
const MAX_CALL_WAIT: Duration = Duration::from_secs(30);

/// Submits a request, and waits for its result if asked to.
pub(super) fn submit(config: &Config, submit: &Submit) -> Result<(), Error> {
    let wait = submit.wait.as_deref().map(|text| parse_duration("wait", text)).transpose()?;
    let spec = build_spec(submit)?;
    let body = serde_json::to_string(&spec).unwrap_or_default();
    let first_wait = wait.map(|wait| wait.min(MAX_CALL_WAIT));
    let query = first_wait.map(|wait| format!("?wait_ms={}", wait.as_millis())).unwrap_or_default();
    let client = Client::new(config, MAX_CALL_WAIT);
    let start = Instant::now();
    let answer = client.post(&format!("/v1/requests{query}"), &body)?;
    let remaining = wait.unwrap_or_default().saturating_sub(start.elapsed());
    if is_open(&answer) && !remaining.is_zero() {
        let answer = wait_until_closed(&client, &spec.customer, &spec.id, remaining)?;
        return print_result(config, &answer);
    }
    if is_open(&answer) && wait.is_none() {
        print_answer(config, &answer);
        return Ok(());
    }
    print_result(config, &answer)
}

/// Builds the spec of a request from the options.
fn build_spec(submit: &Submit) -> Result<RequestSpec, Error> {
    let payload = match (&submit.payload, &submit.payload_file) {
        (Some(_), Some(_)) => {
            let text = "give either --payload or --payload-file".to_owned();
            return Err(Error::Option { option: "payload", text });
        }
        (None, Some(path)) => std::fs::read_to_string(path).context(FileSnafu { path })?,
        (payload, None) => payload.clone().unwrap_or_default(),
    };
    let within = submit.within.as_deref().map(|text| parse_duration("within", text)).transpose()?;
    Ok(RequestSpec {
        customer: Name::new(&submit.customer),
        id: Name::new(&submit.id),
        kind: Name::new(&submit.kind),
        payload,
        size: parse_size(submit)?,
        tasks: submit.tasks,
        within_ms: within.map(|within| within.as_millis() as u64),
        repeatable: submit.once.then_some(false),
    })
}

/// Parses the size of a task; `None` if no option gives one.
fn parse_size(submit: &Submit) -> Result<Option<Resources>, Error> {
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
    Ok(Some(Resources {
        cpu: (cpu * MILLIS_PER_CPU).round() as u64,
        memory: memory.mib,
        accelerators: submit.accelerators.unwrap_or(0),
    }))
}

/// URL path of a request.
fn request_path(customer: &str, id: &str) -> String {
    format!("/v1/requests/{customer}/{id}")
}

/// Whether the answer says that the request has not ended.
fn is_open(answer: &Answer) -> bool {
    answer.status == 202
}

/// Polls a request until it is no longer open or the wait is over.
fn wait_until_closed(
    client: &Client,
    customer: &str,
    id: &str,
    wait: Duration,
) -> Result<Answer, Error> {
    let deadline = Instant::now() + wait;
    loop {
        let remaining = deadline.saturating_duration_since(Instant::now());
        let wait_ms = remaining.min(MAX_CALL_WAIT).as_millis().max(1);
        let answer = client.get(&format!("{}?wait_ms={wait_ms}", request_path(customer, id)))?;
        if !is_open(&answer) || remaining.is_zero() {
            return Ok(answer);
        }
    }
}

/// Prints an answer; returns an error if the request is open or the answer reports one.
fn print_result(config: &Config, answer: &Answer) -> Result<(), Error> {
    if let Some(error) = answer.error() {
        if config.is_json {
            print_json(&answer.body);
        }
        return Err(error);
    }
    print_answer(config, answer);
    if is_open(answer) {
        return Err(Error::Open { state: answer.str_field("state").to_owned() });
    }
    Ok(())
}

/// Prints the state and the results of a request.
fn print_answer(config: &Config, answer: &Answer) {
    if config.is_json {
        return print_json(&answer.body);
    }
    let worker = answer.str_field("worker");
    let location = if worker.is_empty() { String::new() } else { format!(" on {worker}") };
    println!(
        "{}/{} {}{location}",
        answer.str_field("customer"),
        answer.str_field("id"),
        answer.str_field("state")
    );
    for result in answer.body["results"].as_array().into_iter().flatten() {
        println!("{}", result.as_str().unwrap_or(""));
    }
}

/// Prints the state of a request; an open request is no error.
pub(super) fn status(config: &Config, customer: &str, id: &str) -> Result<(), Error> {
    let answer = Client::new(config, Duration::ZERO).get(&request_path(customer, id))?;
    match print_result(config, &answer) {
        Err(Error::Open { .. }) => Ok(()),
        other => other,
    }
}

/// Waits until a request ends and prints its result.
pub(super) fn wait(
    config: &Config,
    customer: &str,
    id: &str,
    timeout: Option<&str>,
) -> Result<(), Error> {
    let wait = timeout.map(|text| parse_duration("for", text)).transpose()?.unwrap_or(DEFAULT_WAIT);
    let client = Client::new(config, MAX_CALL_WAIT);
    let answer = wait_until_closed(&client, customer, id, wait)?;
    print_result(config, &answer)
}

/// Cancels a request and prints whether it ran.
pub(super) fn cancel(config: &Config, customer: &str, id: &str) -> Result<(), Error> {
    let answer = Client::new(config, Duration::ZERO).delete(&request_path(customer, id))?;
    let is_stopped = matches!(answer.str_field("error"), "cancelled" | "stopped");
    if !is_stopped {
        return print_result(config, &answer);
    }
    if config.is_json {
        print_json(&answer.body);
    } else {
        println!("{customer}/{id} {} ({})", answer.str_field("error"), answer.str_field("ran"));
    }
    Ok(())
}

/// Prints why a request waits, or why it runs where it does.
pub(super) fn explain(config: &Config, customer: &str, id: &str) -> Result<(), Error> {
    let path = format!("{}/explain", request_path(customer, id));
    let answer = Client::new(config, Duration::ZERO).get(&path)?;
    if answer.str_field("state").is_empty() || answer.str_field("error") == "not-found" {
        return print_result(config, &answer);
    }
    if config.is_json {
        print_json(&answer.body);
    } else {
        println!("{}", answer.str_field("text"));
    }
    Ok(())
}

/// Prints the hops of a request.
pub(super) fn trace(config: &Config, customer: &str, id: &str) -> Result<(), Error> {
    let answer = Client::new(config, Duration::ZERO).get(&request_path(customer, id))?;
    if answer.str_field("error") == "not-found" {
        return print_result(config, &answer);
    }
    if config.is_json {
        print_json(&answer.body["trace"]);
        return Ok(());
    }
    let mut spans: Vec<Value> = answer.body["trace"].as_array().cloned().unwrap_or_default();
    // The first span is the hop of this status query.
    if !spans.is_empty() {
        spans.remove(0);
    }
    spans.sort_by_key(|span| span["start_us"].as_u64());
    let first = spans.first().and_then(|span| span["start_us"].as_u64()).unwrap_or(0);
    for span in &mut spans {
        let start = span["start_us"].as_u64().unwrap_or(0);
        let took = span["length_us"].as_u64().unwrap_or(0);
        span["after"] = Value::from(format_us(start.saturating_sub(first)));
        span["took"] = Value::from(format_us(took));
    }
    let columns = [("HOP", "hop"), ("WHERE", "member"), ("AFTER", "after"), ("TOOK", "took")];
    print!("{}", format_table(&columns, &spans));
    Ok(())
}
