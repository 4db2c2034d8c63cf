//! Commands that show members, workers and open requests of the whole cell.

use std::time::Duration;

use serde_json::Value;

use super::parse_duration;
use crate::args::Top;
use crate::client::Client;
use crate::config::Config;
use crate::error::Error;
use crate::output::{Column, format_table, print_json};

/// Maximum time that a daemon takes to answer.
const MAX_ANSWER_TIME: Duration = Duration::from_secs(2);

/// Time between refreshes of `top` if `--every` is not given.
const DEFAULT_REFRESH_INTERVAL: Duration = Duration::from_secs(2);

/// Maximum number of open requests that `top` shows.
const MAX_TOP_REQUESTS: usize = 15;

/// Columns of `members`.
const MEMBER_COLUMNS: [Column; 9] = [
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

/// Columns of `workers`.
const WORKER_COLUMNS: [Column; 6] = [
    ("RACK", "rack"),
    ("WORKER", "worker"),
    ("STANDING", "standing"),
    ("TASKS", "tasks"),
    ("USED", "used"),
    ("ROOM", "room"),
];

/// Columns of `queue`.
const REQUEST_COLUMNS: [Column; 6] = [
    ("CUSTOMER", "customer"),
    ("ID", "id"),
    ("KIND", "kind"),
    ("CLASS", "class"),
    ("STATE", "state"),
    ("TASKS", "tasks"),
];

/// Rows that a daemon collected from the members of the cell.
struct View {
    rows: Vec<Value>,
    /// Number of members that did not answer.
    missing_members: u64,
    /// Number of rows that the daemon cut off.
    omitted_rows: u64,
}

/// Fetches the view `name` and sorts its rows by the given fields.
fn fetch(config: &Config, name: &str, sort_fields: &[&str]) -> Result<View, Error> {
    let answer = Client::new(config, MAX_ANSWER_TIME).get(&format!("/v1/{name}"))?;
    if let Some(error) = answer.error() {
        return Err(error);
    }
    let mut rows = answer.body["rows"].as_array().cloned().unwrap_or_default();
    let key =
        |row: &Value| sort_fields.iter().map(|field| row[*field].to_string()).collect::<Vec<_>>();
    rows.sort_by_cached_key(key);
    let missing_members = answer.body["members_missing"].as_u64().unwrap_or(0);
    let omitted_rows = answer.body["left_out"].as_u64().unwrap_or(0);
    Ok(View { rows, missing_members, omitted_rows })
}

/// Prints the view `name`, with its rows sorted by the given fields.
pub(super) fn print_view(
    config: &Config,
    name: &str,
    sort_fields: &[&str],
    columns: &[Column],
) -> Result<(), Error> {
    let view = fetch(config, name, sort_fields)?;
    if config.is_json {
        print_json(&Value::from(view.rows));
        return Ok(());
    }
    print!("{}", format_table(columns, &view.rows));
    if view.missing_members > 0 {
        println!("{} members did not answer", view.missing_members);
    }
    if view.omitted_rows > 0 {
        println!("{} more rows are not shown", view.omitted_rows);
    }
    Ok(())
}

/// Prints the daemons of the cell.
pub(super) fn members(config: &Config) -> Result<(), Error> {
    print_view(config, "members", &["member"], &MEMBER_COLUMNS)
}

/// Prints the workers of the cell.
pub(super) fn workers(config: &Config) -> Result<(), Error> {
    print_view(config, "workers", &["rack", "worker"], &WORKER_COLUMNS)
}

/// Prints the open requests of the cell.
pub(super) fn queue(config: &Config) -> Result<(), Error> {
    print_view(config, "queue", &["state", "admitted_ms"], &REQUEST_COLUMNS)
}

/// Clears the screen and prints members and open requests, repeatedly.
pub(super) fn top(config: &Config, top: &Top) -> Result<(), Error> {
    let interval = top.every.as_deref().map(|text| parse_duration("every", text)).transpose()?;
    let interval = interval.unwrap_or(DEFAULT_REFRESH_INTERVAL);
    let mut refreshes = 0;
    loop {
        let members = fetch(config, "members", &["member"])?;
        let workers = fetch(config, "workers", &["rack", "worker"])?;
        let queue = fetch(config, "queue", &["state", "admitted_ms"])?;
        // Clears the screen and moves the cursor to its first line.
        print!("\x1b[2J\x1b[H");
        print!("{}", format_summary(&members, &workers, &queue));
        println!("\n{}", format_table(&MEMBER_COLUMNS, &members.rows));
        let shown = &queue.rows[..queue.rows.len().min(MAX_TOP_REQUESTS)];
        print!("{}", format_table(&REQUEST_COLUMNS, shown));
        refreshes += 1;
        if top.count.is_some_and(|count| refreshes >= count) {
            return Ok(());
        }
        std::thread::sleep(interval);
    }
}

/// Formats counts of members, workers and open requests, and the processors in use.
fn format_summary(members: &View, workers: &View, queue: &View) -> String {
    let sum = |field: &str| -> u64 {
        workers.rows.iter().filter_map(|row| row[field]["cpu"].as_u64()).sum()
    };
    let (used, capacity) = (sum("used"), sum("room"));
    let share = if capacity == 0 { 0.0 } else { 100.0 * used as f64 / capacity as f64 };
    let closed = workers.rows.iter().filter(|row| row["standing"] != "open").count();
    let waiting = queue.rows.iter().filter(|row| row["state"] == "queued").count();
    format!(
        "{} members, {} workers ({closed} not open), {share:.0}% of processors used, {} open requests, {waiting} waiting\n",
        members.rows.len(),
        workers.rows.len(),
        queue.rows.len(),
    )
}
