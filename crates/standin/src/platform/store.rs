//! The store: rows with versions, conditional transactions, a feed of changes.

use std::collections::BTreeMap;
use std::sync::{Condvar, Mutex, PoisonError};
use std::time::{Duration, Instant};

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use serde_json::{Value, json};

use super::http::{Answer, Request};

/// Table, part and key.
type Place = (String, String, String);

#[derive(Debug, Clone)]
struct Row {
    /// Base64; none once it was dropped.
    value: Option<String>,
    version: u64,
}

#[derive(Debug, Default)]
struct Rows {
    rows: BTreeMap<Place, Row>,
    version: u64,
}

/// The rows, and a signal for those that wait for a change.
#[derive(Debug)]
pub struct Store {
    rows: Mutex<Rows>,
    changed: Condvar,
    began: Instant,
}

impl Default for Store {
    fn default() -> Self {
        Self { rows: Mutex::default(), changed: Condvar::new(), began: Instant::now() }
    }
}

impl Store {
    /// Writes a row as the operator or a worker does.
    pub fn put(&self, table: &str, key: &str, value: &Value) {
        let mut rows = self.rows.lock().unwrap_or_else(PoisonError::into_inner);
        rows.version += 1;
        let version = rows.version;
        let value = Some(STANDARD.encode(value.to_string()));
        rows.rows.insert((table.into(), String::new(), key.into()), Row { value, version });
        self.changed.notify_all();
    }

    /// Number of rows that exist.
    pub fn len(&self) -> usize {
        let rows = self.rows.lock().unwrap_or_else(PoisonError::into_inner);
        rows.rows.values().filter(|row| row.value.is_some()).count()
    }

    /// Whether there are no rows.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn clock(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    pub(super) fn answer(&self, request: &Request) -> Answer {
        match request.call.as_str() {
            "POST /api/rows-tx" => self.commit(&request.body),
            "GET /api/rows-get" => self.read(request),
            "GET /api/rows-feed" => self.feed(request),
            _ => (404, Value::Null),
        }
    }

    fn commit(&self, body: &Value) -> Answer {
        let mut rows = self.rows.lock().unwrap_or_else(PoisonError::into_inner);
        let list = |name: &str| body[name].as_array().cloned().unwrap_or_default();
        let expected = list("expect_rev");
        let version_of = |rows: &Rows, place: &Place| {
            rows.rows.get(place).filter(|row| row.value.is_some()).map_or(0, |row| row.version)
        };
        let is_met = |entry: &Value| entry["format"] == version_of(&rows, &place(entry));
        if !expected.iter().all(is_met) {
            let current = expected.iter().filter_map(|entry| {
                let place = place(entry);
                rows.rows.get(&place).map(|row| wire(&place, row))
            });
            let current: Vec<Value> = current.collect();
            return (412, self.about(&rows, current, false));
        }
        rows.version += 1;
        let version = rows.version;
        for entry in list("writes") {
            let value = entry["value"].as_str().map(str::to_owned);
            rows.rows.insert(place(&entry), Row { value, version });
        }
        for entry in list("remove") {
            rows.rows.insert(place(&entry), Row { value: None, version });
        }
        self.changed.notify_all();
        (200, self.about(&rows, Vec::new(), false))
    }

    fn about(&self, rows: &Rows, list: Vec<Value>, has_more: bool) -> Value {
        json!({"rows": list, "has_more": has_more, "format": rows.version,
            "server_time_ms": self.clock()})
    }

    fn read(&self, request: &Request) -> Answer {
        let field = |name: &str| request.query.get(name).cloned().unwrap_or_default();
        let (table, part, from, to) =
            (field("table"), field("part"), field("start_key"), request.query.get("to"));
        let rows = self.rows.lock().unwrap_or_else(PoisonError::into_inner);
        let is_in = |place: &Place| {
            place.0 == table
                && place.1 == part
                && place.2 >= from
                && to.is_none_or(|to| place.2 < *to)
        };
        let found = rows.rows.iter().filter(|(place, row)| is_in(place) && row.value.is_some());
        let found: Vec<Value> = found.map(|(place, row)| wire(place, row)).collect();
        (200, self.about(&rows, found, false))
    }

    fn feed(&self, request: &Request) -> Answer {
        let number = |name: &str| request.query.get(name).and_then(|text| text.parse().ok());
        let (after, wait) = (number("after").unwrap_or(0), number("wait_ms").unwrap_or(0));
        let table = request.query.get("table").cloned().unwrap_or_default();
        let rows = self.rows.lock().unwrap_or_else(PoisonError::into_inner);
        let news = |rows: &Rows| -> Vec<Value> {
            let is_new = |(place, row): &(&Place, &Row)| place.0 == table && row.version > after;
            rows.rows.iter().filter(is_new).map(|(place, row)| wire(place, row)).collect()
        };
        let wait = Duration::from_millis(wait);
        let waited = self.changed.wait_timeout_while(rows, wait, |rows| news(rows).is_empty());
        let (rows, _) = waited.unwrap_or_else(PoisonError::into_inner);
        (200, self.about(&rows, news(&rows), false))
    }
}

fn place(entry: &Value) -> Place {
    let text = |name: &str| entry[name].as_str().unwrap_or_default().to_owned();
    (text("table"), text("part"), text("key"))
}

fn wire(place: &Place, row: &Row) -> Value {
    json!({"table": place.0, "part": place.1, "key": place.2, "format": row.version,
        "value": row.value.as_deref().unwrap_or_default(), "deleted": row.value.is_none()})
}
