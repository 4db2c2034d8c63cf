//! Tests of the worker's program: its output and its end.

use std::io::{BufRead as _, BufReader};
use std::process::{Command, Stdio};

use serde_json::json;
use standin::platform::event::{Event, Kind};

mod support;

#[test]
fn worker_prints_events_before_answers_and_ends_with_its_input() {
    let mut command = Command::new(env!("CARGO_BIN_EXE_standin-worker"));
    command.args(["--id", "w", "--cpu", "1000"]).stdin(Stdio::piped()).stdout(Stdio::piped());
    let mut child = command.spawn().expect("the worker starts");
    let output = child.stdout.take().expect("the output is a pipe");
    let mut events = BufReader::new(output).lines().map(|line| {
        let line = line.expect("the output is text");
        serde_json::from_str::<Event>(&line).expect("the line is an event")
    });
    let up = events.next().expect("the worker comes up");
    let Kind::Up { address } = up.kind else { panic!("{up:?} is not that the worker is up") };
    let address = address.parse().expect("an address");
    let body = json!({"task": "a.0.0.0", "run_id": 1, "spec": "ms=60000", "deadline_ms": 60000,
        "fencing_token": 3});
    assert_eq!(support::post(address, "/api/run-start", &body).0, 200);
    let lease = events.next().expect("the start extended the lease");
    assert!(matches!(lease.kind, Kind::Leased { until_us } if until_us > lease.at_us));
    let start = events.next().expect("the run started");
    assert_eq!(start.kind, Kind::Started { task: "a.0.0.0".into(), run: 1, token: 3 });
    assert_eq!((&*start.worker, start.incarnation), ("w", up.incarnation));
    drop(child.stdin.take());
    assert!(child.wait().expect("the worker ends").success());
    assert_eq!(events.next(), None);
}
