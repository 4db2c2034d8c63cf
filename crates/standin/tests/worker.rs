//! Tests of the simulated worker of the users' platform: runs, leases, ends and its events.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

use serde_json::{Value, json};
use standin::platform::Worker;
use standin::platform::event::{Clock, Event, Kind, Observer};

mod support;

/// Path of an order to start a run.
const START: &str = "/api/run-start";

/// Path of an order to stop a run.
const STOP: &str = "/api/run-stop";

/// Path of a lease renewal.
const RENEW: &str = "/api/hold";

/// Time at which the workers start, in microseconds.
const ORIGIN_US: u64 = 5_000_000;

/// Clock that tests advance.
#[derive(Debug)]
struct Manual(AtomicU64);

impl Clock for Manual {
    fn now_us(&self) -> u64 {
        self.0.load(Ordering::SeqCst)
    }
}

/// Keeps all events.
#[derive(Debug, Default)]
struct Journal(Mutex<Vec<Event>>);

impl Observer for Journal {
    fn record(&self, event: Event) {
        self.0.lock().expect("no observer panics").push(event);
    }
}

/// A worker on loopback with a clock and a journal.
struct Bench {
    clock: Arc<Manual>,
    journal: Arc<Journal>,
    worker: Arc<Worker>,
    address: SocketAddr,
}

impl Bench {
    fn new(configure: impl Fn(Worker) -> Worker) -> Self {
        let clock = Arc::new(Manual(AtomicU64::new(ORIGIN_US)));
        let journal: Arc<Journal> = Arc::default();
        let worker = Worker::timed_by(Arc::clone(&clock) as Arc<dyn Clock>, "w".into(), 2000);
        let worker = worker.observed_by(Arc::clone(&journal) as Arc<dyn Observer>);
        let worker = Arc::new(configure(worker));
        let address = worker.serve(SocketAddr::from(([127, 0, 0, 1], 0))).expect("a free port");
        Self { clock, journal, worker, address }
    }

    /// Sets the worker's clock, in milliseconds since it started.
    fn set_ms(&self, at_ms: u64) {
        self.clock.0.store(ORIGIN_US + at_ms * 1000, Ordering::SeqCst);
    }

    fn call(&self, path: &str, body: Value) -> (u16, Value) {
        support::post(self.address, path, &body)
    }

    /// Orders a start with fencing token 1; returns the status and the reason of a refusal.
    fn start(&self, task: &str, run: u64, spec: &str, deadline_ms: u64) -> (u16, String) {
        let body = json!({"task": task, "run_id": run, "spec": spec, "deadline_ms": deadline_ms,
            "fencing_token": 1});
        let (status, reply) = self.call(START, body);
        (status, reply["reason"].as_str().unwrap_or_default().to_owned())
    }

    /// Renews the lease with fencing token 1; returns the lists.
    fn renew(&self, deadline_ms: u64, last_seen: u64) -> Value {
        let body = json!({"fencing_token": 1, "deadline_ms": deadline_ms, "last_seen": last_seen});
        let (status, reply) = self.call(RENEW, body);
        assert_eq!(status, 200);
        reply
    }

    /// Events but for the ones that the worker is up and that its lease was extended, with
    /// times in milliseconds since it started.
    fn events(&self) -> Vec<(u64, Kind)> {
        let events = self.journal.0.lock().expect("no observer panics");
        let told = events
            .iter()
            .filter(|event| !matches!(event.kind, Kind::Up { .. } | Kind::Leased { .. }));
        told.map(|event| ((event.at_us - ORIGIN_US) / 1000, event.kind.clone())).collect()
    }
}

fn started(task: &str, run: u64) -> Kind {
    Kind::Started { task: task.into(), run, token: 1 }
}

fn ended(task: &str, run: u64, how: &str) -> Kind {
    Kind::Ended { task: task.into(), run, how: how.into() }
}

fn accepted() -> (u16, String) {
    (200, String::new())
}

fn refused(reason: &str) -> (u16, String) {
    (409, reason.to_owned())
}

#[test]
fn event_json_one_line() {
    let event = Event {
        at_us: 7,
        worker: "w".into(),
        incarnation: 9,
        kind: Kind::Started { task: "a.0.0.0".into(), run: 2, token: 3 },
    };
    let line = serde_json::to_string(&event).expect("an event is valid JSON");
    let expected = r#"{"at_us":7,"worker":"w","incarnation":9,"kind":"started","task":"a.0.0.0","run":2,"token":3}"#;
    assert_eq!(line, expected);
    assert_eq!(serde_json::from_str::<Event>(&line).expect("the line is an event"), event);
    let expired = Event { kind: Kind::LeaseExpired, ..event };
    let line = serde_json::to_string(&expired).expect("an event is valid JSON");
    assert_eq!(serde_json::from_str::<Event>(&line).expect("the line is an event"), expired);
}

#[test]
fn serve_records_up_first() {
    let bench = Bench::new(|worker| worker);
    let events = bench.journal.0.lock().expect("no observer panics");
    let up = Kind::Up { address: bench.address.to_string() };
    assert_eq!(events[0].kind, up);
    assert_eq!(events[0].incarnation, bench.worker.started_unix_ms());
}

#[test]
fn run_ends_done_at_its_due_time() {
    let bench = Bench::new(|worker| worker);
    assert_eq!(bench.start("a.0.0.0", 1, "ms=300", 5000), accepted());
    bench.set_ms(4000);
    bench.worker.tick();
    assert_eq!(bench.events(), [(0, started("a.0.0.0", 1)), (300, ended("a.0.0.0", 1, "done"))]);
    let lists = bench.renew(9000, 0);
    assert_eq!(lists["finished"], json!([[1, "a.0.0.0", 1, "done", ""]]));
    assert_eq!(bench.renew(9000, 1)["finished"], json!([]));
    let noted = Kind::Noted { task: "a.0.0.0".into(), run: 1 };
    assert_eq!(bench.events().last(), Some(&(4000, noted)));
}

#[test]
fn lease_end_splits_done_and_lapsed_when_noticed_late() {
    let bench = Bench::new(|worker| worker);
    assert_eq!(bench.start("a.0.0.0", 1, "ms=900", 1000), accepted());
    assert_eq!(bench.start("a.0.0.1", 1, "ms=1500", 1000), accepted());
    bench.set_ms(9000);
    bench.worker.tick();
    bench.worker.tick();
    let expected = [
        (0, started("a.0.0.0", 1)),
        (0, started("a.0.0.1", 1)),
        (900, ended("a.0.0.0", 1, "done")),
        (1000, ended("a.0.0.1", 1, "lapsed")),
        (1000, Kind::LeaseExpired),
    ];
    assert_eq!(bench.events(), expected);
}

#[test]
fn lease_expired_recorded_without_a_run() {
    let bench = Bench::new(|worker| worker);
    bench.worker.tick();
    bench.renew(1000, 0);
    bench.set_ms(2000);
    bench.worker.tick();
    bench.renew(3000, 0);
    bench.set_ms(4000);
    bench.renew(0, 0);
    assert_eq!(bench.events(), [(1000, Kind::LeaseExpired), (3000, Kind::LeaseExpired)]);
}

#[test]
fn lease_shortened_to_its_maximum_and_never_shortens() {
    let bench = Bench::new(|worker| worker);
    assert_eq!(bench.start("a.0.0.0", 1, "ms=60000", 50_000), accepted());
    bench.renew(2000, 0);
    bench.set_ms(9999);
    assert_eq!(bench.renew(0, 0)["running"][0][0], "a.0.0.0");
    bench.set_ms(10_000);
    bench.worker.tick();
    assert_eq!(bench.events()[1], (10_000, ended("a.0.0.0", 1, "lapsed")));
}

#[test]
fn lower_token_does_nothing() {
    let bench = Bench::new(|worker| worker);
    assert_eq!(bench.start("a.0.0.0", 1, "ms=100", 5000), accepted());
    bench.set_ms(200);
    for (path, mut body) in [
        (START, json!({"task": "b.0.0.0", "run_id": 1, "spec": "", "deadline_ms": 9000})),
        (STOP, json!({"task": "a.0.0.0", "run_id": 1})),
        (RENEW, json!({"last_seen": 1, "deadline_ms": 9000})),
    ] {
        // A missing token counts as 0.
        let (status, reply) = bench.call(path, body.clone());
        assert_eq!((status, &reply["reason"]), (409, &json!("fence")));
        body["fencing_token"] = json!(0);
        assert_eq!(bench.call(path, body).0, 409);
    }
    bench.set_ms(5000);
    bench.worker.tick();
    let expected = [
        (0, started("a.0.0.0", 1)),
        (100, ended("a.0.0.0", 1, "done")),
        (5000, Kind::LeaseExpired),
    ];
    assert_eq!(bench.events(), expected);
}

#[test]
fn start_refused_by_reason() {
    let bench = Bench::new(|worker| worker);
    bench.set_ms(1000);
    assert_eq!(bench.start("a.0.0.0", 1, "ms=100", 1000), refused("late"));
    assert_eq!(bench.start("a.0.0.0", 2, "ms=100", 5000), accepted());
    assert_eq!(bench.start("a.0.0.0", 2, "ms=100", 5000), accepted());
    assert_eq!(bench.start("a.0.0.0", 1, "ms=100", 5000), refused("old"));
    bench.set_ms(1200);
    assert_eq!(bench.start("a.0.0.0", 2, "ms=100", 5000), refused("old"));
    bench.call(STOP, json!({"task": "b.0.0.0", "run_id": 3, "fencing_token": 1}));
    assert_eq!(bench.start("b.0.0.0", 3, "ms=100", 5000), refused("old"));
    assert_eq!(bench.start("b.0.0.0", 4, "ms=100", 5000), accepted());
    assert_eq!(bench.call(START, json!({"fencing_token": 1})).0, 400);
    let starts = [started("a.0.0.0", 2), started("b.0.0.0", 4)];
    let events = bench.events();
    let told = events.into_iter().map(|(_, kind)| kind);
    let told = told.filter(|kind| matches!(kind, Kind::Started { .. }));
    assert_eq!(told.collect::<Vec<_>>(), starts);
}

#[test]
fn start_beyond_room_recorded_or_refused() {
    let bench = Bench::new(|worker| worker);
    assert_eq!(bench.start("a.0.0.0", 1, "ms=100 cpu=1500", 5000), accepted());
    assert_eq!(bench.start("a.0.0.1", 1, "ms=100 cpu=600", 5000), accepted());
    assert_eq!(bench.events()[2], (0, Kind::OverRoom { used: 2100 }));
    assert_eq!(bench.worker.counts().over_capacity, 1);

    let guarded = Bench::new(Worker::guarding_room);
    assert_eq!(guarded.start("a.0.0.0", 1, "ms=100 cpu=1500", 5000), accepted());
    assert_eq!(guarded.start("a.0.0.1", 1, "ms=100 cpu=600", 5000), refused("room"));
    assert_eq!(guarded.start("a.0.0.1", 1, "ms=100 cpu=500", 5000), accepted());
}

#[test]
fn run_ends_failed_as_its_spec_says() {
    let bench = Bench::new(|worker| worker);
    assert_eq!(bench.start("a.0.0.2", 1, "ms=100 cpu=1 fail every=2", 5000), accepted());
    assert_eq!(bench.start("a.0.0.3", 1, "ms=100 cpu=1 fail every=2", 5000), accepted());
    assert_eq!(bench.start("b.0.0.3", 1, "ms=100 cpu=1 fail", 5000), accepted());
    bench.set_ms(100);
    bench.worker.tick();
    let ends = [
        (100, ended("a.0.0.2", 1, "failed")),
        (100, ended("a.0.0.3", 1, "done")),
        (100, ended("b.0.0.3", 1, "failed")),
    ];
    assert_eq!(bench.events()[3..], ends);
}

#[test]
fn renewal_lists_500_ends_until_acknowledged() {
    let bench = Bench::new(|worker| worker);
    for index in 0..501 {
        let task = format!("a.0.0.{index}");
        assert_eq!(bench.start(&task, 1, "ms=100 cpu=1", 5000), accepted());
    }
    bench.set_ms(100);
    let list = |last_seen| {
        let finished = bench.renew(5000, last_seen)["finished"].take();
        let numbers = finished.as_array().expect("a list").iter();
        numbers.map(|end| end[0].as_u64().expect("a number")).collect::<Vec<_>>()
    };
    assert_eq!(list(0), (1..=500).collect::<Vec<_>>());
    assert_eq!(list(0).len(), 500);
    assert_eq!(list(2), (3..=501).collect::<Vec<_>>());
}

#[test]
fn call_for_another_instance_refused() {
    let bench = Bench::new(|worker| worker);
    let request = support::agent().post(format!("http://{}{RENEW}", bench.address));
    let body = json!({"fencing_token": 9, "deadline_ms": 5000}).to_string();
    let response = request.header("Expect-Instance", "other").send(body).expect("an answer");
    assert_eq!(response.status().as_u16(), 421);
    // The token and the lease of that call counted for nothing.
    assert_eq!(bench.start("a.0.0.0", 1, "ms=100", 5000), accepted());
}

#[test]
fn shrunk_room_counts_after_grace() {
    let bench = Bench::new(|worker| worker);
    bench.worker.set_cpu(1000);
    assert_eq!(bench.start("a", 1, "ms=9000", 10_000), accepted());
    assert_eq!(bench.start("b", 1, "ms=9000", 10_000), accepted());
    bench.set_ms(4500);
    assert_eq!(bench.start("c", 1, "ms=9000", 10_000), accepted());
    bench.worker.set_cpu(8000);
    assert_eq!(bench.start("d", 1, "ms=9000", 10_000), accepted());
    let over = bench.events().into_iter().filter(|(_, kind)| matches!(kind, Kind::OverRoom { .. }));
    assert_eq!(over.collect::<Vec<_>>(), [(4500, Kind::OverRoom { used: 3000 })]);
}
