//! Commands that show the whole cell.

use std::time::Duration;

use serde_json::Value;

use super::length;
use crate::args::Top;
use crate::client::Client;
use crate::config::Config;
use crate::error::Error;
use crate::output::{Column, print_json, table};

const WAIT: Duration = Duration::from_secs(2);

/// Between two looks of `top` where it is not told.
const LOOK_INTERVAL: Duration = Duration::from_secs(2);

/// Rows of the queue that `top` shows.
const TOP_ROWS: usize = 15;

const MEMBERS: [Column; 9] = [
    ("MEMBER", "member"),
    ("DOMAIN", "domain"),
    ("HTTP", "http"),
    ("LEASE", "lease"),
    ("LEAVING", "leaving"),
    ("SETTINGS", "settings"),
    ("PARTITIONS", "partitions"),
    ("RACKS", "racks"),
    ("OPEN", "open_requests"),
];

const WORKERS: [Column; 6] = [
    ("RACK", "rack"),
    ("WORKER", "worker"),
    ("STANDING", "standing"),
    ("TASKS", "tasks"),
    ("USED", "used"),
    ("ROOM", "room"),
];

const QUEUE: [Column; 6] = [
    ("CUSTOMER", "customer"),
    ("ID", "id"),
    ("KIND", "kind"),
    ("CLASS", "class"),
    ("STATE", "state"),
    ("TASKS", "tasks"),
];

struct View {
    rows: Vec<Value>,
    missing: u64,
    left_out: u64,
}

fn fetch(config: &Config, what: &str, sort: &[&str]) -> Result<View, Error> {
    let answer = Client::new(config, WAIT).get(&format!("/v1/{what}"))?;
    if let Some(error) = answer.error() {
        return Err(error);
    }
    let mut rows = answer.body["rows"].as_array().cloned().unwrap_or_default();
    let key = |row: &Value| sort.iter().map(|field| row[*field].to_string()).collect::<Vec<_>>();
    rows.sort_by_cached_key(key);
    let missing = answer.body["members_missing"].as_u64().unwrap_or(0);
    let left_out = answer.body["left_out"].as_u64().unwrap_or(0);
    Ok(View { rows, missing, left_out })
}

pub(super) fn show(
    config: &Config,
    what: &str,
    sort: &[&str],
    columns: &[Column],
) -> Result<(), Error> {
    let view = fetch(config, what, sort)?;
    if config.is_json {
        print_json(&Value::from(view.rows));
        return Ok(());
    }
    print!("{}", table(columns, &view.rows));
    if view.missing > 0 {
        println!("{} members did not answer", view.missing);
    }
    if view.left_out > 0 {
        println!("{} more are not shown", view.left_out);
    }
    Ok(())
}

pub(super) fn members(config: &Config) -> Result<(), Error> {
    show(config, "members", &["member"], &MEMBERS)
}

pub(super) fn workers(config: &Config) -> Result<(), Error> {
    show(config, "workers", &["rack", "worker"], &WORKERS)
}

pub(super) fn queue(config: &Config) -> Result<(), Error> {
    show(config, "queue", &["state", "admitted_ms"], &QUEUE)
}

pub(super) fn top(config: &Config, top: &Top) -> Result<(), Error> {
    let every = top.every.as_deref().map(|text| length("every", text)).transpose()?;
    let every = every.unwrap_or(LOOK_INTERVAL);
    let mut looks = 0;
    loop {
        let members = fetch(config, "members", &["member"])?;
        let workers = fetch(config, "workers", &["rack", "worker"])?;
        let queue = fetch(config, "queue", &["state", "admitted_ms"])?;
        // Clears the screen and goes to its first line.
        print!("\x1b[2J\x1b[H");
        print!("{}", summary(&members, &workers, &queue));
        println!("\n{}", table(&MEMBERS, &members.rows));
        let shown = &queue.rows[..queue.rows.len().min(TOP_ROWS)];
        print!("{}", table(&QUEUE, shown));
        looks += 1;
        if top.count.is_some_and(|count| looks >= count) {
            return Ok(());
        }
        std::thread::sleep(every);
    }
}

fn summary(members: &View, workers: &View, queue: &View) -> String {
    let sum = |part: &str| -> u64 {
        workers.rows.iter().filter_map(|row| row[part]["cpu"].as_u64()).sum()
    };
    let (used, room) = (sum("used"), sum("room"));
    let share = if room == 0 { 0.0 } else { 100.0 * used as f64 / room as f64 };
    let closed = workers.rows.iter().filter(|row| row["standing"] != "open").count();
    let waiting = queue.rows.iter().filter(|row| row["state"] == "queued").count();
    format!(
        "{} members, {} workers ({closed} not open), {share:.0}% of processors used, {} open requests, {waiting} waiting\n",
        members.rows.len(),
        workers.rows.len(),
        queue.rows.len(),
    )
}
