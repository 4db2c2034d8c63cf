//! The platform's store: versioned rows, conditional transactions, a feed of changes.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::time::{Duration, Instant};

use crate::http::{self, Reply, Request};
use crate::json::{Json, object};

/// Most rows of a response.
const MAX_PAGE_ROWS: usize = 500;

/// Most bytes of the rows of a response.
const MAX_PAGE_BYTES: usize = 1_000_000;

/// Most entries of a transaction.
const MAX_ENTRIES: usize = 100;

/// Time that a call takes.
const CALL_TIME: Duration = Duration::from_millis(4);

/// Table, part and key.
type RowKey = (String, String, String);

#[derive(Debug, Clone)]
struct Row {
    /// Base64 text; `None` once the row is removed.
    value: Option<String>,
    version: u64,
}

#[derive(Debug, Default)]
struct Rows {
    rows: BTreeMap<RowKey, Row>,
    version: u64,
}

/// The store.
#[derive(Debug)]
pub struct Store {
    rows: Mutex<Rows>,
    changed: Condvar,
    started: Instant,
}

impl Store {
    /// Starts the store on a free port of loopback.
    pub fn start() -> std::io::Result<(Arc<Self>, SocketAddr)> {
        let store =
            Self { rows: Mutex::default(), changed: Condvar::new(), started: Instant::now() };
        let store = Arc::new(store);
        let own = Arc::clone(&store);
        let address = http::serve(([127, 0, 0, 1], 0).into(), move |request| own.handle(request))?;
        Ok((store, address))
    }

    /// Writes a row outside all parts, as the operator or an executor does.
    pub fn put(&self, table: &str, key: &str, value: &Json) {
        let value = encode_base64(value.to_string().as_bytes());
        self.apply([((table.to_owned(), String::new(), key.to_owned()), Some(value))]);
    }

    /// Removes a row outside all parts.
    pub fn remove(&self, table: &str, key: &str) {
        self.apply([((table.to_owned(), String::new(), key.to_owned()), None)]);
    }

    fn apply(&self, changes: impl IntoIterator<Item = (RowKey, Option<String>)>) {
        let mut rows = self.rows.lock().unwrap_or_else(PoisonError::into_inner);
        rows.apply(changes);
        self.changed.notify_all();
    }

    fn handle(&self, request: &Request) -> Reply {
        std::thread::sleep(CALL_TIME);
        match request.call.as_str() {
            "POST /api/rows-tx" => self.commit(&request.body),
            "GET /api/rows-get" => self.read(request),
            "GET /api/rows-feed" => self.feed(request),
            _ => (404, Json::Null),
        }
    }

    fn reply(&self, version: u64, rows: Vec<Json>, has_more: bool) -> Json {
        object([
            ("rows", rows.into()),
            ("has_more", has_more.into()),
            ("format", version.into()),
            ("server_time_ms", (self.started.elapsed().as_millis() as u64).into()),
        ])
    }

    fn commit(&self, body: &Json) -> Reply {
        let expected = body.get("expect_rev").items();
        let (writes, removed) = (body.get("writes").items(), body.get("remove").items());
        if expected.len() + writes.len() + removed.len() > MAX_ENTRIES {
            return (400, Json::Null);
        }
        let mut changed = writes.iter().chain(removed);
        if changed.any(|entry| ["op", "servers"].contains(&entry.get("table").text())) {
            return (403, Json::Null);
        }
        let mut rows = self.rows.lock().unwrap_or_else(PoisonError::into_inner);
        let is_met = |entry: &Json| entry.get("format").number() == Some(rows.version_of(entry));
        if !expected.iter().all(is_met) {
            let keys = expected.iter().map(row_key);
            let found = keys.filter_map(|key| rows.rows.get(&key).map(|row| row_json(&key, row)));
            let found = found.collect();
            return (412, self.reply(rows.version, found, false));
        }
        let value = |entry: &Json| Some(entry.get("value").text().to_owned());
        let writes = writes.iter().map(|entry| (row_key(entry), value(entry)));
        rows.apply(writes.chain(removed.iter().map(|entry| (row_key(entry), None))));
        self.changed.notify_all();
        (200, self.reply(rows.version, Vec::new(), false))
    }

    fn read(&self, request: &Request) -> Reply {
        let field = |name: &str| request.query.get(name).cloned().unwrap_or_default();
        let (table, part, to) = (field("table"), field("part"), request.query.get("to"));
        let rows = self.rows.lock().unwrap_or_else(PoisonError::into_inner);
        let from = (table.clone(), part.clone(), field("start_key"));
        let found = rows.rows.range(from..).filter(|(_, row)| row.value.is_some());
        let found = found.take_while(|(key, _)| {
            key.0 == table && key.1 == part && to.is_none_or(|to| key.2 < *to)
        });
        let (mut page, mut bytes, mut has_more) = (Vec::new(), 0, false);
        for (key, row) in found {
            bytes += row.value.as_ref().map_or(0, String::len);
            if page.len() == MAX_PAGE_ROWS || (bytes > MAX_PAGE_BYTES && !page.is_empty()) {
                has_more = true;
                break;
            }
            page.push(row_json(key, row));
        }
        (200, self.reply(rows.version, page, has_more))
    }

    fn feed(&self, request: &Request) -> Reply {
        let number = |name: &str| request.query.get(name).and_then(|text| text.parse::<u64>().ok());
        let (after, wait) = (number("after").unwrap_or(0), number("wait_ms").unwrap_or(0));
        let table = request.query.get("table").cloned().unwrap_or_default();
        let rows = self.rows.lock().unwrap_or_else(PoisonError::into_inner);
        let is_unchanged = |rows: &mut Rows| rows.changes(&table, after).is_empty();
        let wait = Duration::from_millis(wait.min(30_000));
        let waited = self.changed.wait_timeout_while(rows, wait, is_unchanged);
        let (rows, _) = waited.unwrap_or_else(PoisonError::into_inner);
        let changes = rows.changes(&table, after);
        let has_more = changes.len() > MAX_PAGE_ROWS;
        // Rows of one transaction are not divided: those of these tables are written one by one.
        let page = &changes[..changes.len().min(MAX_PAGE_ROWS)];
        let last = page.last().filter(|_| has_more).map(|(_, row)| row.version);
        let list = page.iter().map(|(key, row)| row_json(key, row)).collect();
        (200, self.reply(last.unwrap_or(rows.version), list, has_more))
    }
}

impl Rows {
    fn apply(&mut self, changes: impl IntoIterator<Item = (RowKey, Option<String>)>) {
        self.version += 1;
        for (key, value) in changes {
            self.rows.insert(key, Row { value, version: self.version });
        }
    }

    fn version_of(&self, entry: &Json) -> u64 {
        let row = self.rows.get(&row_key(entry)).filter(|row| row.value.is_some());
        row.map_or(0, |row| row.version)
    }

    fn changes(&self, table: &str, after: u64) -> Vec<(&RowKey, &Row)> {
        let first = (table.to_owned(), String::new(), String::new());
        let rows = self.rows.range(first..).take_while(|(key, _)| key.0 == table);
        let mut changes: Vec<_> = rows.filter(|(_, row)| row.version > after).collect();
        changes.sort_by_key(|(_, row)| row.version);
        changes
    }
}

fn row_key(entry: &Json) -> RowKey {
    let text = |name: &str| entry.get(name).text().to_owned();
    (text("table"), text("part"), text("key"))
}

fn row_json(key: &RowKey, row: &Row) -> Json {
    object([
        ("table", key.0.as_str().into()),
        ("part", key.1.as_str().into()),
        ("key", key.2.as_str().into()),
        ("format", row.version.into()),
        ("value", row.value.clone().unwrap_or_default().into()),
        ("deleted", row.value.is_none().into()),
    ])
}

fn encode_base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let byte = |index: usize| u32::from(chunk.get(index).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for digit in 0..4 {
            let index = (bits >> (18 - 6 * digit)) & 63;
            text.push(if digit <= chunk.len() { DIGITS[index as usize] as char } else { '=' });
        }
    }
    text
}
