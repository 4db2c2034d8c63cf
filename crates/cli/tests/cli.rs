//! Runs the tool against a cell of three daemons and a stand-in for the platform, on loopback.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

use measure::bench::TestCell;
use serde_json::Value;

/// Folder of the built programs; fails if a needed program is not built.
fn program_folder() -> PathBuf {
    let own = Path::new(env!("CARGO_BIN_EXE_bronzerail"));
    let folder = own.parent().expect("the program is in a folder").to_owned();
    for name in ["bronzeraild", "standin"] {
        assert!(folder.join(name).exists(), "{name} is not built; run with --workspace");
    }
    folder
}

/// Folder of an example configuration.
fn example(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples").join(name)
}

/// Writes a temporary file and returns its path.
fn write_temp_file(name: &str, text: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("bronzerail-{}-{name}", std::process::id()));
    std::fs::write(&path, text).expect("the file is written");
    path
}

fn run(program: &str, arguments: &[&str]) -> Output {
    Command::new(program_folder().join(program)).args(arguments).output().expect("the program runs")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

/// A cell of three daemons, with the example's inventory and rules in force.
struct Cell {
    bench: TestCell,
}

impl Cell {
    fn start(name: &str) -> Self {
        let bench = TestCell::start(&program_folder(), &example(name), 3).expect("the cell starts");
        let cell = Self { bench };
        for what in ["inventory", "rules"] {
            let file = example(name).join(format!("{what}.jsonc"));
            let output = cell.run_tool(&[what, "apply", &file.display().to_string()]);
            assert_eq!(output.status.code(), Some(0), "{}", text(&output.stderr));
        }
        cell.bench.wait_for_service().expect("the cell is in service");
        cell
    }

    /// Runs the tool against the first daemon.
    fn run_tool(&self, arguments: &[&str]) -> Output {
        let mut all = vec!["--server", &self.bench.daemons[0].url];
        all.extend(arguments);
        run("bronzerail", &all)
    }

    /// Runs the tool with `--json` and parses its output.
    fn run_json(&self, arguments: &[&str]) -> Value {
        let output = self.run_tool(&[&["--json"], arguments].concat());
        serde_json::from_slice(&output.stdout).expect("the output is JSON")
    }

    /// Runs the tool and returns its exit code.
    fn exit_code(&self, arguments: &[&str]) -> Option<i32> {
        self.run_tool(arguments).status.code()
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
fn check_bad_inventory_reports_every_fault() {
    let file = write_temp_file(
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
fn check_bad_daemon_settings_reports_every_fault() {
    let file = write_temp_file(
        "daemon.jsonc",
        "{\n  \"member\": \"m\",\n  \"peer_address\": \"here\",\n}\n",
    );
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
fn commands_against_whole_cell() {
    let cell = Cell::start("es-north");
    let submit = |id: &str, kind: &str, payload: &str, more: &[&str]| {
        let arguments = ["submit", "--customer", "toolroom", "--id", id, "--kind", kind];
        cell.run_tool(&[&arguments[..], &["--payload", payload], more].concat())
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
    assert_eq!(cell.exit_code(&["wait", "toolroom", "v1", "--for", "100ms"]), Some(21));
    assert_eq!(cell.run_json(&["members"]).as_array().map(Vec::len), Some(3));
    assert_eq!(cell.run_json(&["workers"]).as_array().map(Vec::len), Some(50));
    let queue = cell.run_json(&["queue"]);
    assert_eq!(queue[0]["id"], "v1", "{queue}");
    assert_eq!(cell.exit_code(&["explain", "toolroom", "v1"]), Some(0));
    let trace = cell.run_json(&["trace", "toolroom", "s1"]);
    let hops: Vec<&str> =
        trace.as_array().into_iter().flatten().filter_map(|span| span["hop"].as_str()).collect();
    assert!(hops.contains(&"worker-start") && hops.contains(&"task"), "{hops:?}");
    assert_eq!(cell.exit_code(&["cancel", "toolroom", "v1"]), Some(0));
    assert_eq!(cell.exit_code(&["status", "toolroom", "v1"]), Some(14));
    assert_eq!(cell.exit_code(&["status", "toolroom", "none"]), Some(3));
    assert_eq!(cell.exit_code(&["top", "--count", "1"]), Some(0));

    let rules = text(&cell.run_tool(&["rules", "get"]).stdout);
    let changed = write_temp_file("rules.jsonc", &rules.replace("\"weight\": 4", "\"weight\": 7"));
    let changed = changed.display().to_string();
    let output = cell.run_tool(&["rules", "apply", &changed, "--author", "ane"]);
    assert!(text(&output.stdout).contains("in force on 3 of 3"), "{}", text(&output.stdout));
    let output = cell.run_tool(&[
        "rules",
        "apply",
        &write_temp_file("r2", &rules).display().to_string(),
        "--base",
        "2",
    ]);
    assert_eq!(output.status.code(), Some(5));
    assert!(text(&output.stderr).contains("ane"), "{}", text(&output.stderr));
}

/// Sends bytes to a daemon, closes the sending side and returns the first line of the answer.
fn send_raw(url: &str, bytes: &[u8]) -> String {
    use std::io::{Read, Write};
    let address = url.strip_prefix("http://").expect("the URL starts with http://");
    let mut stream = std::net::TcpStream::connect(address).expect("the daemon listens");
    // Writing fails if the daemon answers and closes before it has read everything.
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
        send_raw(url, format!("{head}{body}").as_bytes())
    };
    let spec = r#"{"customer":"toolroom","id":"b1","kind":"wall-probe"}"#;
    assert_eq!(post(spec.len(), spec), "HTTP/1.1 200 OK");
    assert!(post(spec.len() + 2000, spec).starts_with("HTTP/1.1 400"), "truncated");
    assert!(post(10_000_000, "{").starts_with("HTTP/1.1 413"), "content-length too large");
    let duplicate = spec.replace("\"id\":\"b1\"", "\"id\":\"b1\",\"id\":\"b2\"");
    assert!(post(duplicate.len(), &duplicate).starts_with("HTTP/1.1 400"), "duplicate key");
    assert!(post(3, "\u{1}{]").starts_with("HTTP/1.1 400"), "not JSON");
    assert!(send_raw(url, b"GET /nowhere HTTP/1.1\r\nhost: x\r\n\r\n").contains("404"));
    let metrics = send_raw(url, b"GET /metrics HTTP/1.1\r\nhost: x\r\n\r\n");
    assert_eq!(metrics, "HTTP/1.1 200 OK");
}

#[test]
fn submit_wa_tally_runs_once() {
    let cell = Cell::start("wa");
    let arguments =
        ["submit", "--customer", "calendar-society", "--id", "t1", "--kind", "ballot-tally"];
    let output =
        cell.run_tool(&[&arguments[..], &["--payload", "once ms=20", "--wait", "30s"]].concat());
    assert_eq!(output.status.code(), Some(0), "{}", text(&output.stderr));
    let counts = cell.bench.platform().get("/counts").expect("the platform returns its counts");
    assert_eq!(counts["executors"]["rerun_once"], 0);
    assert_eq!(counts["executors"]["requests"], 1);
}
