//! The real programs on loopback, through one small test environment.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

use measure::bench::Bench;
use serde_json::Value;

fn binaries() -> PathBuf {
    let own = Path::new(env!("CARGO_BIN_EXE_bronzerail"));
    let folder = own.parent().expect("a folder").to_owned();
    for name in ["bronzeraild", "standin"] {
        assert!(folder.join(name).exists(), "{name} is not built; run with --workspace");
    }
    folder
}

fn example(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples").join(name)
}

fn scratch(name: &str, text: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("bronzerail-{}-{name}", std::process::id()));
    std::fs::write(&path, text).expect("the file is written");
    path
}

fn run(program: &str, words: &[&str]) -> Output {
    Command::new(binaries().join(program)).args(words).output().expect("the program runs")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

/// A cell of three daemons with its tool.
struct Cell {
    bench: Bench,
}

impl Cell {
    fn start(name: &str) -> Self {
        let bench = Bench::start(&binaries(), &example(name), 3).expect("the cell starts");
        let cell = Self { bench };
        for what in ["inventory", "rules"] {
            let file = example(name).join(format!("{what}.jsonc"));
            let output = cell.tool(&[what, "apply", &file.display().to_string()]);
            assert_eq!(output.status.code(), Some(0), "{}", text(&output.stderr));
        }
        cell.bench.wait_for_service().expect("all is in service");
        cell
    }

    fn tool(&self, words: &[&str]) -> Output {
        let mut all = vec!["--server", &self.bench.daemons[0].url];
        all.extend(words);
        run("bronzerail", &all)
    }

    fn json(&self, words: &[&str]) -> Value {
        let output = self.tool(&[&["--json"], words].concat());
        serde_json::from_slice(&output.stdout).expect("JSON")
    }

    fn code(&self, words: &[&str]) -> Option<i32> {
        self.tool(words).status.code()
    }
}

#[test]
fn help_short_and_long() {
    let short = text(&run("bronzerail", &["-h"]).stdout);
    let long = text(&run("bronzerail", &["--help"]).stdout);
    assert!(short.contains("submit") && long.starts_with(&short.trim_end()[..20]));
    assert!(!short.contains("Examples:") && long.contains("Examples:"));
    assert_eq!(run("bronzerail", &["nonsense"]).status.code(), Some(2));
}

#[test]
fn check_bad_inventory_every_fault() {
    let file = scratch(
        "bad.jsonc",
        "{\n  \"cell\": \"a b\",\n  \"domains\": [{ \"name\": \"d\", \"racks\": [{ \"name\": \"r\",\n    \"workers\": [{ \"name\": \"w\", \"cpu\": -1, \"memory\": \"64\" }] }] }],\n  \"extra\": 1,\n}\n",
    );
    let output = run("bronzerail", &["inventory", "check", &file.display().to_string()]);
    assert_eq!(output.status.code(), Some(2));
    let faults = text(&output.stderr);
    for place in [":2:11:", ":4:39:", ":4:53:", ":5:3:"] {
        assert!(faults.contains(place), "no fault at {place}: {faults}");
    }
}

#[test]
fn check_bad_daemon_settings_every_fault() {
    let file =
        scratch("daemon.jsonc", "{\n  \"member\": \"m\",\n  \"peer_address\": \"here\",\n}\n");
    let output = run("bronzeraild", &["--check", &file.display().to_string()]);
    assert_eq!(output.status.code(), Some(2));
    let faults = text(&output.stderr);
    for fault in [":3:19: expected an IP", "`cell` is missing", "`platform` is missing"] {
        assert!(faults.contains(fault), "no {fault}: {faults}");
    }
    let good = example("es-north").join("daemon.jsonc");
    let output = run("bronzeraild", &["--check", &good.display().to_string()]);
    assert_eq!(output.status.code(), Some(0), "{}", text(&output.stderr));
}

#[test]
fn no_daemon_exit_code() {
    let output = run("bronzerail", &["--server", "http://127.0.0.1:1", "members"]);
    assert_eq!(output.status.code(), Some(20));
    assert!(text(&output.stderr).starts_with("bronzerail: http://127.0.0.1:1"));
}

#[test]
fn drive_whole_cell() {
    let cell = Cell::start("es-north");
    let submit = |id: &str, kind: &str, payload: &str, more: &[&str]| {
        let words = ["submit", "--customer", "toolroom", "--id", id, "--kind", kind];
        cell.tool(&[&words[..], &["--payload", payload], more].concat())
    };

    let quick = submit("q1", "wall-probe", "ms=5", &[]);
    assert_eq!(text(&quick.stdout).lines().nth(1), Some("result of toolroom/q1"));
    let study = submit("s1", "filling-study", "ms=200", &["--wait", "30s"]);
    assert_eq!(study.status.code(), Some(0), "{}", text(&study.stderr));
    let gang = submit("g1", "packing-gang", "ms=100", &["--tasks", "3", "--wait", "30s"]);
    assert_eq!(text(&gang.stdout).lines().count(), 4, "{}", text(&gang.stdout));
    assert_eq!(submit("f1", "billed-study", "fail", &["--wait", "30s"]).status.code(), Some(15));
    assert_eq!(submit("s1", "filling-study", "ms=201", &[]).status.code(), Some(4));
    let huge = ["--cpu", "999", "--memory", "1GB"];
    assert_eq!(submit("x1", "filling-study", "", &huge).status.code(), Some(6));
    assert_eq!(submit("x2", "no-such-kind", "", &[]).status.code(), Some(2));

    assert_eq!(submit("v1", "press-monitor", "forever", &[]).status.code(), Some(0));
    assert_eq!(cell.code(&["wait", "toolroom", "v1", "--for", "100ms"]), Some(21));
    assert_eq!(cell.json(&["members"]).as_array().map(Vec::len), Some(3));
    assert_eq!(cell.json(&["workers"]).as_array().map(Vec::len), Some(50));
    let queue = cell.json(&["queue"]);
    assert_eq!(queue[0]["id"], "v1", "{queue}");
    assert_eq!(cell.code(&["explain", "toolroom", "v1"]), Some(0));
    let trace = cell.json(&["trace", "toolroom", "s1"]);
    let hops: Vec<&str> =
        trace.as_array().into_iter().flatten().filter_map(|span| span["hop"].as_str()).collect();
    assert!(hops.contains(&"worker-start") && hops.contains(&"task"), "{hops:?}");
    assert_eq!(cell.code(&["cancel", "toolroom", "v1"]), Some(0));
    assert_eq!(cell.code(&["status", "toolroom", "v1"]), Some(14));
    assert_eq!(cell.code(&["status", "toolroom", "none"]), Some(3));
    assert_eq!(cell.code(&["top", "--count", "1"]), Some(0));

    let rules = text(&cell.tool(&["rules", "get"]).stdout);
    let changed = scratch("rules.jsonc", &rules.replace("\"weight\": 4", "\"weight\": 7"));
    let changed = changed.display().to_string();
    let output = cell.tool(&["rules", "apply", &changed, "--author", "ane"]);
    assert!(text(&output.stdout).contains("in force on 3 of 3"), "{}", text(&output.stdout));
    let output =
        cell.tool(&["rules", "apply", &scratch("r2", &rules).display().to_string(), "--base", "2"]);
    assert_eq!(output.status.code(), Some(5));
    assert!(text(&output.stderr).contains("ane"), "{}", text(&output.stderr));
}

/// Sends bytes to a daemon, ends the sending, and gives the first line of the answer.
fn raw(url: &str, bytes: &[u8]) -> String {
    use std::io::{Read, Write};
    let address = url.strip_prefix("http://").expect("an address");
    let mut stream = std::net::TcpStream::connect(address).expect("the daemon listens");
    // The daemon may answer and close before it has read all.
    let _ = stream.write_all(bytes);
    let _ = stream.shutdown(std::net::Shutdown::Write);
    let mut answer = String::new();
    let _ = stream.read_to_string(&mut answer);
    answer.lines().next().unwrap_or_default().to_owned()
}

#[test]
fn submit_bad_bodies_refused() {
    let cell = Cell::start("es-north");
    let url = &cell.bench.daemons[0].url;
    let post = |length: usize, body: &str| {
        let head =
            format!("POST /v1/requests HTTP/1.1\r\nhost: x\r\ncontent-length: {length}\r\n\r\n");
        raw(url, format!("{head}{body}").as_bytes())
    };
    let spec = r#"{"customer":"toolroom","id":"b1","kind":"wall-probe"}"#;
    assert_eq!(post(spec.len(), spec), "HTTP/1.1 200 OK");
    assert!(post(spec.len() + 2000, spec).starts_with("HTTP/1.1 400"), "truncated");
    assert!(post(10_000_000, "{").starts_with("HTTP/1.1 413"), "stated too large");
    let doubled = spec.replace("\"id\":\"b1\"", "\"id\":\"b1\",\"id\":\"b2\"");
    assert!(post(doubled.len(), &doubled).starts_with("HTTP/1.1 400"), "doubled key");
    assert!(post(3, "\u{1}{]").starts_with("HTTP/1.1 400"), "no JSON");
    assert!(raw(url, b"GET /nowhere HTTP/1.1\r\nhost: x\r\n\r\n").contains("404"));
    let metrics = raw(url, b"GET /metrics HTTP/1.1\r\nhost: x\r\n\r\n");
    assert_eq!(metrics, "HTTP/1.1 200 OK");
}

#[test]
fn wa_tally_counts_once() {
    let cell = Cell::start("wa");
    let words =
        ["submit", "--customer", "calendar-society", "--id", "t1", "--kind", "ballot-tally"];
    let output = cell.tool(&[&words[..], &["--payload", "once ms=20", "--wait", "30s"]].concat());
    assert_eq!(output.status.code(), Some(0), "{}", text(&output.stderr));
    let counts = cell.bench.platform().get("/counts").expect("counts");
    assert_eq!(counts["executors"]["rerun_once"], 0);
    assert_eq!(counts["executors"]["requests"], 1);
}
