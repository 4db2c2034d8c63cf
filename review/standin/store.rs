//! Stand-in of the platform's store: versioned rows, conditional transactions, a feed of changes.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Request, Server};
use crate::json::{Json, object};
use crate::record::Record;

/// Time that a transaction takes.
const TRANSACTION_TIME: Duration = Duration::from_millis(4);

/// Most rows in a response.
const MAX_ROWS: usize = 500;

/// Most bytes of values in a response.
const MAX_RESPONSE_BYTES: usize = 1_000_000;

/// Most entries in a transaction.
const MAX_ENTRIES: usize = 100;

/// Largest value of a row, in bytes of base64, as the settings file tells the daemons.
pub const ROW_BYTES: usize = 65_536;

/// Table, part and key.
type Key = (String, String, String);

struct Row {
    /// In base64; `None` once the row is removed.
    value: Option<String>,
    version: u64,
}

#[derive(Default)]
struct Rows {
    rows: BTreeMap<Key, Row>,
    version: u64,
}

pub struct Store {
    rows: Mutex<Rows>,
    changed: Condvar,
    started: Instant,
    /// Whether every call is answered 503.
    is_down: AtomicBool,
    record: Arc<Record>,
}

impl Store {
    /// Starts the store; returns it and its server.
    pub fn start(record: &Arc<Record>) -> (Arc<Self>, Arc<Server>) {
        let store = Arc::new(Self {
            rows: Mutex::default(),
            changed: Condvar::new(),
            started: Instant::now(),
            is_down: AtomicBool::new(false),
            record: Arc::clone(record),
        });
        let own = Arc::clone(&store);
        let server = Server::start(move |request| own.handle(request));
        (store, server)
    }

    /// Lets the store refuse all calls, or serve again.
    pub fn set_down(&self, is_down: bool) {
        self.is_down.store(is_down, Ordering::SeqCst);
        self.changed.notify_all();
    }

    /// Writes a row as the operator or an executor does.
    pub fn put(&self, table: &str, key: &str, value: &Json) {
        let mut rows = self.rows.lock().unwrap();
        rows.version += 1;
        let row =
            Row { value: Some(to_base64(value.to_string().as_bytes())), version: rows.version };
        rows.rows.insert((table.into(), String::new(), key.into()), row);
        self.changed.notify_all();
    }

    fn handle(&self, request: &Request) -> (u16, Json) {
        if self.is_down.load(Ordering::SeqCst) {
            return (503, Json::Null);
        }
        match request.call.as_str() {
            "POST /api/rows-tx" => self.commit(&request.body),
            "GET /api/rows-get" => self.read(request),
            "GET /api/rows-feed" => self.feed(request),
            _ => (404, Json::Null),
        }
    }

    fn commit(&self, body: &Json) -> (u16, Json) {
        std::thread::sleep(TRANSACTION_TIME);
        let (expected, writes, removed) =
            (body.get("expect_rev").list(), body.get("writes").list(), body.get("remove").list());
        let entries = expected.len() + writes.len() + removed.len();
        let largest = writes.iter().map(|write| write.get("value").text().len()).max().unwrap_or(0);
        if entries > MAX_ENTRIES || largest > ROW_BYTES {
            let what = format!(
                "store refuses a transaction: 400, {entries} entries, largest value \
                {largest} bytes of base64, {ROW_BYTES} allowed"
            );
            self.record.write_sampled(&what);
            return (400, Json::Null);
        }
        let mut rows = self.rows.lock().unwrap();
        let version_of = |rows: &Rows, key: &Key| {
            rows.rows.get(key).filter(|row| row.value.is_some()).map_or(0, |row| row.version)
        };
        let is_met = |entry: &Json| {
            entry.get("format").number().unwrap_or(0) == version_of(&rows, &key_of(entry))
        };
        if !expected.iter().all(is_met) {
            let current = expected.iter().filter_map(|entry| {
                let key = key_of(entry);
                rows.rows.get(&key).filter(|row| row.value.is_some()).map(|row| to_json(&key, row))
            });
            let current = current.collect();
            return (412, self.answer(&rows, current, false));
        }
        rows.version += 1;
        let version = rows.version;
        for write in writes {
            let value = Some(write.get("value").text().to_owned());
            rows.rows.insert(key_of(write), Row { value, version });
        }
        for entry in removed {
            rows.rows.insert(key_of(entry), Row { value: None, version });
        }
        self.changed.notify_all();
        (200, self.answer(&rows, Vec::new(), false))
    }

    fn answer(&self, rows: &Rows, list: Vec<Json>, has_more: bool) -> Json {
        object([
            ("rows", Json::List(list)),
            ("has_more", Json::Bool(has_more)),
            ("format", rows.version.into()),
            ("server_time_ms", (self.started.elapsed().as_millis() as u64 + 1000).into()),
        ])
    }

    fn read(&self, request: &Request) -> (u16, Json) {
        let field = |name: &str| request.query.get(name).cloned().unwrap_or_default();
        let (table, part, from) = (field("table"), field("part"), field("start_key"));
        let to = request.query.get("to");
        let rows = self.rows.lock().unwrap();
        let (mut list, mut size, mut has_more) = (Vec::new(), 0, false);
        for (key, row) in rows.rows.range((table.clone(), part.clone(), from)..) {
            if key.0 != table || key.1 != part || to.is_some_and(|to| key.2 >= *to) {
                break;
            }
            let Some(value) = &row.value else { continue };
            size += value.len();
            if list.len() >= MAX_ROWS || (size > MAX_RESPONSE_BYTES && !list.is_empty()) {
                has_more = true;
                break;
            }
            list.push(to_json(key, row));
        }
        (200, self.answer(&rows, list, has_more))
    }

    fn feed(&self, request: &Request) -> (u16, Json) {
        let number = |name: &str| request.query.get(name).and_then(|text| text.parse().ok());
        let (after, wait) = (number("after").unwrap_or(0), number("wait_ms").unwrap_or(0u64));
        let table = request.query.get("table").cloned().unwrap_or_default();
        let until = Instant::now() + Duration::from_millis(wait);
        let mut rows = self.rows.lock().unwrap();
        loop {
            let is_new = |(key, row): &(&Key, &Row)| key.0 == table && row.version > after;
            let mut found: Vec<(&Key, &Row)> = rows.rows.iter().filter(is_new).collect();
            let left = until.saturating_duration_since(Instant::now());
            if !found.is_empty() || left.is_zero() || self.is_down.load(Ordering::SeqCst) {
                found.sort_by_key(|(_, row)| row.version);
                let list = found.into_iter().map(|(key, row)| to_json(key, row)).collect();
                return (200, self.answer(&rows, list, false));
            }
            rows = self.changed.wait_timeout(rows, left).unwrap().0;
        }
    }
}

fn key_of(entry: &Json) -> Key {
    let text = |name: &str| entry.get(name).text().to_owned();
    (text("table"), text("part"), text("key"))
}

fn to_json(key: &Key, row: &Row) -> Json {
    object([
        ("table", key.0.as_str().into()),
        ("part", key.1.as_str().into()),
        ("key", key.2.as_str().into()),
        ("value", row.value.as_deref().unwrap_or_default().into()),
        ("format", row.version.into()),
        ("deleted", Json::Bool(row.value.is_none())),
    ])
}

fn to_base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = [0u8; 3];
        group[..chunk.len()].copy_from_slice(chunk);
        let bits = u32::from_be_bytes([0, group[0], group[1], group[2]]);
        for position in 0..4 {
            if position <= chunk.len() {
                text.push(DIGITS[(bits >> (18 - 6 * position)) as usize & 63] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}
