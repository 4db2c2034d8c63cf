//! Tests of the simulated store of the users' platform: transactions, pages, views, faults.

use std::io::{Read as _, Write as _};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use serde_json::{Value, json};
use standin::platform::{Fault, Store, View, serve_view};

mod support;

/// Seed of the faults.
const SEED: u64 = 11;

/// View that appends a text to the values of one table.
struct Suffix(&'static str);

impl View for Suffix {
    fn rewrite(&self, table: &str, key: &str, mut value: Vec<u8>) -> Vec<u8> {
        if table == "t" && key.starts_with('k') {
            value.extend(self.0.as_bytes());
        }
        value
    }
}

/// A store on loopback.
fn serve() -> (Arc<Store>, SocketAddr) {
    let store = Arc::new(Store::seeded(SEED));
    let address = serve_view(&store, Arc::new(Suffix(""))).expect("a free port");
    (store, address)
}

/// Body of a transaction that writes one row, if it has a version.
fn write(key: &str, value: &str, version: u64) -> Value {
    let row = |field: &str, value: Value| {
        let mut row = json!({"table": "t", "part": "", "key": key});
        row[field] = value;
        row
    };
    json!({"expect_rev": [row("format", json!(version))],
        "writes": [row("value", json!(STANDARD.encode(value)))]})
}

/// Sends a GET request; returns status and body.
fn get(address: SocketAddr, path: &str) -> (u16, Value) {
    let response = support::agent().get(format!("http://{address}{path}")).call();
    support::read(response.expect("the store answers"))
}

fn commit(address: SocketAddr, body: &Value) -> (u16, Value) {
    support::post(address, "/api/rows-tx", body)
}

/// Sends a transaction and the end of the connection; returns what comes back before its end.
fn commit_unanswered(address: SocketAddr, body: &Value) -> Vec<u8> {
    let body = body.to_string();
    let mut stream = TcpStream::connect(address).expect("the store listens");
    let head =
        format!("POST /api/rows-tx HTTP/1.1\r\nHost: s\r\nContent-Length: {}\r\n\r\n", body.len());
    stream.write_all(head.as_bytes()).expect("the store reads");
    stream.write_all(body.as_bytes()).expect("the store reads");
    stream.shutdown(Shutdown::Write).expect("the connection is open");
    let mut received = Vec::new();
    stream.read_to_end(&mut received).expect("the store closes the connection");
    received
}

/// Values of the rows in a reply.
fn values(reply: &Value) -> Vec<String> {
    let rows = reply["rows"].as_array().expect("a list").iter();
    let decode = |row: &Value| STANDARD.decode(row["value"].as_str().expect("a text"));
    rows.map(|row| String::from_utf8(decode(row).expect("base64")).expect("a text")).collect()
}

#[test]
fn get_and_remove_rows_outside_transactions() {
    let (store, address) = serve();
    assert_eq!(commit(address, &write("k", "1", 0)).0, 200);
    assert_eq!(store.get("t", "k"), Some(b"1".to_vec()));
    store.remove("t", "k");
    assert_eq!(store.get("t", "k"), None);
    let (_, feed) = get(address, "/api/rows-feed?table=t&after=1&wait_ms=0");
    assert_eq!(feed["rows"][0]["deleted"], true);
    assert_eq!(commit(address, &write("k", "2", 0)).0, 200);
}

#[test]
fn get_row_of_any_part() {
    let (store, address) = serve();
    let row = json!({"table": "t", "part": "p", "key": "k", "value": "MQ=="});
    assert_eq!(commit(address, &json!({"writes": [row]})).0, 200);
    assert_eq!(store.get("t", "k"), Some(b"1".to_vec()));
    assert_eq!(store.get("t", "j"), None);
}

#[test]
fn view_rewrites_reads_feeds_and_conflicts_of_one_caller() {
    let (store, plain) = serve();
    let rewritten = serve_view(&store, Arc::new(Suffix("!"))).expect("a free port");
    store.put_bytes("t", "k", b"1");
    let paths = ["/api/rows-get?table=t&part=", "/api/rows-feed?table=t&after=0&wait_ms=0"];
    for path in paths {
        assert_eq!(values(&get(plain, path).1), ["1"]);
        assert_eq!(values(&get(rewritten, path).1), ["1!"]);
    }
    let (status, conflict) = commit(rewritten, &write("k", "2", 9));
    assert_eq!((status, values(&conflict)), (412, vec!["1!".to_owned()]));
    assert_eq!(store.get("t", "k"), Some(b"1".to_vec()));
}

#[test]
fn read_ends_pages_at_500_rows_and_1_mb() {
    let (store, address) = serve();
    for number in 0..501 {
        store.put_bytes("t", &format!("r{number:03}"), b"1");
    }
    let (_, page) = get(address, "/api/rows-get?table=t&part=");
    assert_eq!((values(&page).len(), &page["has_more"]), (500, &json!(true)));
    let (_, page) = get(address, "/api/rows-get?table=t&part=&start_key=r500");
    assert_eq!((values(&page).len(), &page["has_more"]), (1, &json!(false)));
    let (_, page) = get(address, "/api/rows-get?table=t&part=&limit=3");
    assert_eq!((values(&page).len(), &page["has_more"]), (3, &json!(true)));
    for number in 0..20 {
        store.put_bytes("large", &format!("{number:02}"), &vec![b'x'; 60_000]);
    }
    let (_, page) = get(address, "/api/rows-get?table=large&part=");
    assert_eq!((values(&page).len(), &page["has_more"]), (12, &json!(true)));
}

#[test]
fn feed_continues_after_a_full_page() {
    let (store, address) = serve();
    for number in (0..501).rev() {
        store.put_bytes("t", &format!("r{number:03}"), number.to_string().as_bytes());
    }
    let (_, first) = get(address, "/api/rows-feed?table=t&after=0&wait_ms=0");
    assert_eq!((values(&first).len(), &first["has_more"]), (500, &json!(true)));
    assert_eq!(values(&first)[0], "500");
    let path = format!("/api/rows-feed?table=t&after={}&wait_ms=0", first["format"]);
    let (_, second) = get(address, &path);
    assert_eq!((values(&second), &second["has_more"]), (vec!["0".to_owned()], &json!(false)));
}

#[test]
fn feed_keeps_rows_of_a_transaction_together() {
    let (store, address) = serve();
    for number in 0..450 {
        store.put_bytes("t", &format!("r{number:03}"), b"1");
    }
    let rows = (0..100).map(
        |number| json!({"table": "t", "part": "", "key": format!("s{number}"), "value": "MQ=="}),
    );
    let body = json!({"writes": rows.collect::<Vec<_>>()});
    assert_eq!(commit(address, &body).0, 200);
    let (_, first) = get(address, "/api/rows-feed?table=t&after=0&wait_ms=0");
    assert_eq!((values(&first).len(), &first["has_more"]), (450, &json!(true)));
    let path = format!("/api/rows-feed?table=t&after={}&wait_ms=0", first["format"]);
    assert_eq!(values(&get(address, &path).1).len(), 100);
}

#[test]
fn transaction_refused_whatever_its_rows_hold() {
    let (store, address) = serve();
    let row = |table: &str, part: &str, key: usize| json!({"table": table, "part": part, "key": key.to_string(), "value": "MQ=="});
    let many: Vec<Value> = (0..101).map(|key| row("t", "", key)).collect();
    assert_eq!(commit(address, &json!({"writes": many})).0, 400);
    let two_parts = [row("t", "a", 1), row("t", "b", 1)];
    assert_eq!(commit(address, &json!({"writes": two_parts})).0, 400);
    assert_eq!(commit(address, &json!({"writes": [row("op", "", 1)]})).0, 403);
    assert_eq!(commit(address, &json!({"remove": [row("servers", "", 1)]})).0, 403);
    assert!(store.is_empty());
    assert_eq!(commit(address, &json!({"writes": two_parts, "cross_shard": true})).0, 200);
}

#[test]
fn fault_busy_answers_503_without_effect() {
    let (store, address) = serve();
    store.set_fault(Fault::Busy);
    assert_eq!(commit(address, &write("k", "1", 0)).0, 503);
    assert!(store.is_empty());
    store.set_fault(Fault::None);
    assert_eq!(commit(address, &write("k", "1", 0)).0, 200);
}

#[test]
fn fault_silent_neither_acts_nor_answers() {
    let (store, address) = serve();
    store.set_fault(Fault::Silent);
    assert!(commit_unanswered(address, &write("k", "1", 0)).is_empty());
    assert!(store.is_empty());
}

#[test]
fn fault_lost_answers_take_effect() {
    let (store, address) = serve();
    store.set_fault(Fault::LoseAnswers { share: 1.0 });
    assert!(commit_unanswered(address, &write("k", "1", 0)).is_empty());
    assert_eq!(store.get("t", "k"), Some(b"1".to_vec()));
    store.set_fault(Fault::LoseAnswers { share: 0.0 });
    assert_eq!(commit(address, &write("k", "2", 1)).0, 200);
}

#[test]
fn fault_late_takes_effect_only_if_its_condition_holds() {
    let (store, address) = serve();
    store.set_fault(Fault::Late { share: 1.0, delay: Duration::ZERO });
    assert!(commit_unanswered(address, &write("k", "1", 0)).is_empty());
    assert_eq!(store.get("t", "k"), Some(b"1".to_vec()));
    assert!(commit_unanswered(address, &write("k", "2", 0)).is_empty());
    assert_eq!(store.get("t", "k"), Some(b"1".to_vec()));
}

#[test]
fn fault_shares_repeat_with_the_seed() {
    let lost = || -> Vec<bool> {
        let (store, address) = serve();
        store.set_fault(Fault::LoseAnswers { share: 0.5 });
        let keys = (0..20).map(|number| format!("k{number}"));
        keys.map(|key| commit_unanswered(address, &write(&key, "1", 0)).is_empty()).collect()
    };
    let first = lost();
    assert!(first.contains(&true) && first.contains(&false));
    assert_eq!(first, lost());
}
