//! Simulated store: versioned rows, conditional transactions, a feed of changes.

use std::collections::{BTreeMap, HashMap};
use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use serde_json::{Value, json};

use super::fault::{Fate, Fault, Faults};
use super::http::{Reply, Request};
use super::view::View;

/// Most rows in a response.
const MAX_PAGE_ROWS: usize = 500;

/// Most bytes of values in a response, in base64; one transaction's rows are never split.
const MAX_PAGE_BYTES: usize = 1_000_000;

/// Longest wait of a feed for the first change, in milliseconds.
const MAX_FEED_WAIT_MS: u64 = 30_000;

/// Most entries in a transaction.
const MAX_TRANSACTION_ENTRIES: usize = 100;

/// Most bytes of values in a transaction, in base64.
const MAX_TRANSACTION_BYTES: usize = 1_000_000;

/// Tables that callers can't write.
const PROTECTED_TABLES: [&str; 2] = ["op", "servers"];

/// Seed of the faults of a store that got no other one.
const DEFAULT_SEED: u64 = 0;

/// Table, part and key of a row.
type RowKey = (String, String, String);

#[derive(Debug, Clone)]
struct Row {
    /// Base64 text; `None` once the row is deleted, which the feed reports.
    value: Option<String>,
    version: u64,
}

/// A row as the store lists it, with its key.
type Entry<'a> = (&'a RowKey, &'a Row);

/// All rows, and the version of the last transaction.
#[derive(Debug, Default)]
struct Rows {
    rows: BTreeMap<RowKey, Row>,
    version: u64,
    /// Version of the last transaction by table.
    table_versions: HashMap<String, u64>,
}

/// Store of versioned rows, with change notification for feeds.
#[derive(Debug)]
pub struct Store {
    rows: Mutex<Rows>,
    changed: Condvar,
    created_at: Instant,
    faults: Mutex<Faults>,
}

impl Default for Store {
    fn default() -> Self {
        Self::seeded(DEFAULT_SEED)
    }
}

impl Store {
    /// Creates an empty store; the seed decides which calls its faults hit.
    pub fn seeded(seed: u64) -> Self {
        Self {
            rows: Mutex::default(),
            changed: Condvar::new(),
            created_at: Instant::now(),
            faults: Mutex::new(Faults::new(seed)),
        }
    }

    /// Sets the fault of all calls from now on; waiting feeds notice it at their end.
    pub fn set_fault(&self, fault: Fault) {
        self.lock_faults().fault = fault;
    }

    /// Writes a row without conditions, as an operator or a worker does.
    pub fn put(&self, table: &str, key: &str, value: &Value) {
        self.put_bytes(table, key, value.to_string().as_bytes());
    }

    /// Writes a row of any bytes without conditions.
    pub fn put_bytes(&self, table: &str, key: &str, value: &[u8]) {
        let row_key = (table.into(), String::new(), key.into());
        self.lock().apply([(row_key, Some(STANDARD.encode(value)))]);
        self.changed.notify_all();
    }

    /// Deletes a row without conditions.
    pub fn remove(&self, table: &str, key: &str) {
        self.lock().apply([((table.into(), String::new(), key.into()), None)]);
        self.changed.notify_all();
    }

    /// Value of a row, of the first one if several parts have the key.
    ///
    /// `None` if there is no such row, or its value isn't base64.
    pub fn get(&self, table: &str, key: &str) -> Option<Vec<u8>> {
        let rows = self.lock();
        let mut values = rows.of_table(table).filter(|(row_key, _)| row_key.2 == key);
        let value = values.find_map(|(_, row)| row.value.as_ref())?;
        STANDARD.decode(value).ok()
    }

    /// Number of rows, deleted ones excluded.
    pub fn len(&self) -> usize {
        self.lock().rows.values().filter(|row| row.value.is_some()).count()
    }

    /// Whether the store holds no rows, deleted ones excluded.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn lock(&self) -> MutexGuard<'_, Rows> {
        self.rows.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lock_faults(&self) -> MutexGuard<'_, Faults> {
        self.faults.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Milliseconds since the store was created.
    fn elapsed_ms(&self) -> u64 {
        self.created_at.elapsed().as_millis() as u64
    }

    /// Handles a call; `None` if a fault leaves it without an answer.
    pub(super) fn handle(&self, request: &Request, view: &dyn View) -> Option<Reply> {
        let fate = self.lock_faults().draw();
        let is_answered = match fate {
            Fate::Served { delay, is_answered } => {
                std::thread::sleep(delay);
                is_answered
            }
            Fate::Refused => return Some((503, Value::Null)),
            Fate::Dropped => return None,
        };
        let reply = match request.method_and_path.as_str() {
            "POST /api/rows-tx" => self.commit(&request.body, view),
            "GET /api/rows-get" => self.read(request, view),
            "GET /api/rows-feed" => self.feed(request, view),
            _ => (404, Value::Null),
        };
        let is_silent = self.lock_faults().fault == Fault::Silent;
        (is_answered && !is_silent).then_some(reply)
    }

    /// Commits a transaction; 412 with the current rows if a version differs.
    fn commit(&self, body: &Value, view: &dyn View) -> Reply {
        let list = |name: &str| body[name].as_array().map_or(&[][..], Vec::as_slice);
        let (expected, writes, removed) = (list("expect_rev"), list("writes"), list("remove"));
        if let Some(status) = refusal(body, expected, writes, removed) {
            return (status, Value::Null);
        }
        let mut rows = self.lock();
        let is_met = |entry: &Value| entry["format"] == rows.version_of(&row_key(entry));
        if !expected.iter().all(is_met) {
            let current = expected.iter().filter_map(|entry| {
                let row_key = row_key(entry);
                rows.rows.get(&row_key).map(|row| row_to_json((&row_key, row), view))
            });
            let current: Vec<Value> = current.collect();
            return (412, self.reply_body(rows.version, current, false));
        }
        let writes =
            writes.iter().map(|entry| (row_key(entry), entry["value"].as_str().map(str::to_owned)));
        rows.apply(writes.chain(removed.iter().map(|entry| (row_key(entry), None))));
        self.changed.notify_all();
        (200, self.reply_body(rows.version, Vec::new(), false))
    }

    /// Body of a reply: rows, version and server time.
    fn reply_body(&self, version: u64, list: Vec<Value>, has_more: bool) -> Value {
        json!({"rows": list, "has_more": has_more, "format": version,
            "server_time_ms": self.elapsed_ms()})
    }

    /// Lists the rows of one part from `start_key` up to `to`, which is excluded.
    fn read(&self, request: &Request, view: &dyn View) -> Reply {
        let field = |name: &str| request.query.get(name).cloned().unwrap_or_default();
        let (table, part, from, to) =
            (field("table"), field("part"), field("start_key"), request.query.get("to"));
        let limit = request.query.get("limit").and_then(|limit| limit.parse().ok());
        let limit = limit.unwrap_or(MAX_PAGE_ROWS).clamp(1, MAX_PAGE_ROWS);
        let rows = self.lock();
        let found = rows.rows.range((table.clone(), part.clone(), from)..);
        let found = found.take_while(|(row_key, _)| {
            row_key.0 == table && row_key.1 == part && to.is_none_or(|to| row_key.2 < *to)
        });
        let (mut list, mut bytes, mut has_more) = (Vec::new(), 0, false);
        for (row_key, row) in found.filter(|(_, row)| row.value.is_some()) {
            bytes += row.size();
            if list.len() >= limit || (bytes > MAX_PAGE_BYTES && !list.is_empty()) {
                has_more = true;
                break;
            }
            list.push(row_to_json((row_key, row), view));
        }
        (200, self.reply_body(rows.version, list, has_more))
    }

    /// Lists changes after a version; waits up to `wait_ms` for the first one.
    fn feed(&self, request: &Request, view: &dyn View) -> Reply {
        let number = |name: &str| request.query.get(name).and_then(|text| text.parse().ok());
        let (after, wait) = (number("after").unwrap_or(0), number("wait_ms").unwrap_or(0));
        let table = request.query.get("table").cloned().unwrap_or_default();
        let wait = Duration::from_millis(wait.min(MAX_FEED_WAIT_MS));
        let is_unchanged =
            |rows: &mut Rows| rows.table_versions.get(&table).is_none_or(|last| *last <= after);
        let waited = self.changed.wait_timeout_while(self.lock(), wait, is_unchanged);
        let (rows, _) = waited.unwrap_or_else(PoisonError::into_inner);
        let (page, has_more) = rows.changes(&table, after);
        // The next page starts after the last version of this one.
        let next_after = page.last().filter(|_| has_more).map(|(_, row)| row.version);
        let list = page.into_iter().map(|entry| row_to_json(entry, view)).collect();
        (200, self.reply_body(next_after.unwrap_or(rows.version), list, has_more))
    }
}

impl Rows {
    /// Applies the writes and deletions of one transaction.
    fn apply(&mut self, changes: impl IntoIterator<Item = (RowKey, Option<String>)>) {
        self.version += 1;
        for (row_key, value) in changes {
            self.table_versions.insert(row_key.0.clone(), self.version);
            self.rows.insert(row_key, Row { value, version: self.version });
        }
    }

    /// Rows of a table in all parts, deleted ones included.
    fn of_table(&self, table: &str) -> impl Iterator<Item = Entry<'_>> {
        let first = (table.to_owned(), String::new(), String::new());
        self.rows.range(first..).take_while(move |(row_key, _)| row_key.0 == table)
    }

    /// Version of a row; 0 if it doesn't exist.
    fn version_of(&self, row_key: &RowKey) -> u64 {
        self.rows.get(row_key).filter(|row| row.value.is_some()).map_or(0, |row| row.version)
    }

    /// Page of a table's changes after a version, in order, and whether more follow.
    ///
    /// Rows of one transaction share a version, so a page ends between transactions.
    fn changes(&self, table: &str, after: u64) -> (Vec<Entry<'_>>, bool) {
        let mut changes: Vec<Entry> =
            self.of_table(table).filter(|(_, row)| row.version > after).collect();
        changes.sort_by_key(|(_, row)| row.version);
        let (mut page_rows, mut bytes) = (0, 0);
        for transaction in changes.chunk_by(|(_, one), (_, next)| one.version == next.version) {
            bytes += transaction.iter().map(|(_, row)| row.size()).sum::<usize>();
            let is_full = page_rows + transaction.len() > MAX_PAGE_ROWS || bytes > MAX_PAGE_BYTES;
            if is_full && page_rows > 0 {
                break;
            }
            page_rows += transaction.len();
        }
        let has_more = page_rows < changes.len();
        changes.truncate(page_rows);
        (changes, has_more)
    }
}

impl Row {
    /// Bytes of the value, in base64.
    fn size(&self) -> usize {
        self.value.as_ref().map_or(0, String::len)
    }
}

/// Status with which the store refuses a transaction whatever its rows hold; `None` if valid.
fn refusal(body: &Value, expected: &[Value], writes: &[Value], removed: &[Value]) -> Option<u16> {
    let entries = || expected.iter().chain(writes).chain(removed);
    let bytes: usize =
        writes.iter().filter_map(|entry| entry["value"].as_str().map(str::len)).sum();
    if entries().count() > MAX_TRANSACTION_ENTRIES || bytes > MAX_TRANSACTION_BYTES {
        return Some(400);
    }
    let mut parts = entries().map(|entry| entry["part"].as_str().unwrap_or_default());
    let first = parts.next();
    if body["cross_shard"] != true && parts.any(|part| Some(part) != first) {
        return Some(400);
    }
    let mut changed = writes.iter().chain(removed);
    let is_protected = |entry: &Value| {
        entry["table"].as_str().is_some_and(|name| PROTECTED_TABLES.contains(&name))
    };
    changed.any(is_protected).then_some(403)
}

/// Reads the row key of a JSON entry.
fn row_key(entry: &Value) -> RowKey {
    let text = |name: &str| entry[name].as_str().unwrap_or_default().to_owned();
    (text("table"), text("part"), text("key"))
}

/// Row in the JSON form of the platform's protocol, as a caller sees it.
///
/// A value that isn't base64 is shown to all callers as it is.
fn row_to_json((row_key, row): Entry<'_>, view: &dyn View) -> Value {
    let value = row.value.as_deref().unwrap_or_default();
    let shown = match STANDARD.decode(value) {
        Ok(bytes) if row.value.is_some() => {
            STANDARD.encode(view.rewrite(&row_key.0, &row_key.2, bytes))
        }
        _ => value.to_owned(),
    };
    json!({"table": row_key.0, "part": row_key.1, "key": row_key.2, "format": row.version,
        "value": shown, "deleted": row.value.is_none()})
}
