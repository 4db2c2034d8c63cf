//! Simulated store: versioned rows, conditional transactions, a feed of changes.

use std::collections::BTreeMap;
use std::sync::{Condvar, Mutex, PoisonError};
use std::time::{Duration, Instant};

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use serde_json::{Value, json};

use super::http::{Reply, Request};

/// Table, part and key of a row.
type RowKey = (String, String, String);

#[derive(Debug, Clone)]
struct Row {
    /// Base64 text; `None` once the row is deleted, which the feed reports.
    value: Option<String>,
    version: u64,
}

/// All rows, and the version of the last transaction.
#[derive(Debug, Default)]
struct Rows {
    rows: BTreeMap<RowKey, Row>,
    version: u64,
}

/// Store of versioned rows, with change notification for feeds.
#[derive(Debug)]
pub struct Store {
    rows: Mutex<Rows>,
    changed: Condvar,
    created_at: Instant,
}

impl Default for Store {
    fn default() -> Self {
        Self { rows: Mutex::default(), changed: Condvar::new(), created_at: Instant::now() }
    }
}

impl Store {
    /// Writes a row without conditions, as an operator or a worker does.
    pub fn put(&self, table: &str, key: &str, value: &Value) {
        self.put_bytes(table, key, value.to_string().as_bytes());
    }

    /// Writes a row of any bytes without conditions.
    pub fn put_bytes(&self, table: &str, key: &str, value: &[u8]) {
        let mut rows = self.rows.lock().unwrap_or_else(PoisonError::into_inner);
        rows.version += 1;
        let version = rows.version;
        let value = Some(STANDARD.encode(value));
        rows.rows.insert((table.into(), String::new(), key.into()), Row { value, version });
        self.changed.notify_all();
    }

    /// Number of rows, deleted ones excluded.
    pub fn len(&self) -> usize {
        let rows = self.rows.lock().unwrap_or_else(PoisonError::into_inner);
        rows.rows.values().filter(|row| row.value.is_some()).count()
    }

    /// Whether the store holds no rows, deleted ones excluded.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Milliseconds since the store was created.
    fn elapsed_ms(&self) -> u64 {
        self.created_at.elapsed().as_millis() as u64
    }

    pub(super) fn handle(&self, request: &Request) -> Reply {
        match request.method_and_path.as_str() {
            "POST /api/rows-tx" => self.commit(&request.body),
            "GET /api/rows-get" => self.read(request),
            "GET /api/rows-feed" => self.feed(request),
            _ => (404, Value::Null),
        }
    }

    /// Commits a transaction; 412 with the current rows if a version differs.
    fn commit(&self, body: &Value) -> Reply {
        let mut rows = self.rows.lock().unwrap_or_else(PoisonError::into_inner);
        let list = |name: &str| body[name].as_array().cloned().unwrap_or_default();
        let expected = list("expect_rev");
        let version_of = |rows: &Rows, row_key: &RowKey| {
            rows.rows.get(row_key).filter(|row| row.value.is_some()).map_or(0, |row| row.version)
        };
        let is_met = |entry: &Value| entry["format"] == version_of(&rows, &row_key(entry));
        if !expected.iter().all(is_met) {
            let current = expected.iter().filter_map(|entry| {
                let row_key = row_key(entry);
                rows.rows.get(&row_key).map(|row| row_to_json(&row_key, row))
            });
            let current: Vec<Value> = current.collect();
            return (412, self.reply_body(&rows, current, false));
        }
        rows.version += 1;
        let version = rows.version;
        for entry in list("writes") {
            let value = entry["value"].as_str().map(str::to_owned);
            rows.rows.insert(row_key(&entry), Row { value, version });
        }
        for entry in list("remove") {
            rows.rows.insert(row_key(&entry), Row { value: None, version });
        }
        self.changed.notify_all();
        (200, self.reply_body(&rows, Vec::new(), false))
    }

    /// Body of a reply: rows, version and server time.
    fn reply_body(&self, rows: &Rows, list: Vec<Value>, has_more: bool) -> Value {
        json!({"rows": list, "has_more": has_more, "format": rows.version,
            "server_time_ms": self.elapsed_ms()})
    }

    /// Lists the rows of one part from `start_key` up to `to`, which is excluded.
    fn read(&self, request: &Request) -> Reply {
        let field = |name: &str| request.query.get(name).cloned().unwrap_or_default();
        let (table, part, from, to) =
            (field("table"), field("part"), field("start_key"), request.query.get("to"));
        let rows = self.rows.lock().unwrap_or_else(PoisonError::into_inner);
        let is_in_range = |row_key: &RowKey| {
            row_key.0 == table
                && row_key.1 == part
                && row_key.2 >= from
                && to.is_none_or(|to| row_key.2 < *to)
        };
        let found =
            rows.rows.iter().filter(|(row_key, row)| is_in_range(row_key) && row.value.is_some());
        let found: Vec<Value> = found.map(|(row_key, row)| row_to_json(row_key, row)).collect();
        (200, self.reply_body(&rows, found, false))
    }

    /// Lists changes after a version; waits up to `wait_ms` for the first one.
    fn feed(&self, request: &Request) -> Reply {
        let number = |name: &str| request.query.get(name).and_then(|text| text.parse().ok());
        let (after, wait) = (number("after").unwrap_or(0), number("wait_ms").unwrap_or(0));
        let table = request.query.get("table").cloned().unwrap_or_default();
        let rows = self.rows.lock().unwrap_or_else(PoisonError::into_inner);
        let changes = |rows: &Rows| -> Vec<Value> {
            let is_new =
                |(row_key, row): &(&RowKey, &Row)| row_key.0 == table && row.version > after;
            rows.rows
                .iter()
                .filter(is_new)
                .map(|(row_key, row)| row_to_json(row_key, row))
                .collect()
        };
        let wait = Duration::from_millis(wait);
        let waited = self.changed.wait_timeout_while(rows, wait, |rows| changes(rows).is_empty());
        let (rows, _) = waited.unwrap_or_else(PoisonError::into_inner);
        (200, self.reply_body(&rows, changes(&rows), false))
    }
}

/// Reads the row key of a JSON entry.
fn row_key(entry: &Value) -> RowKey {
    let text = |name: &str| entry[name].as_str().unwrap_or_default().to_owned();
    (text("table"), text("part"), text("key"))
}

/// Row in the JSON form of the platform's protocol.
fn row_to_json(row_key: &RowKey, row: &Row) -> Value {
    json!({"table": row_key.0, "part": row_key.1, "key": row_key.2, "format": row.version,
        "value": row.value.as_deref().unwrap_or_default(), "deleted": row.value.is_none()})
}
