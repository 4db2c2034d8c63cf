//! Use of the pool and rounds of advice calls in vain, as a leader reports them.

mod support;

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fmt;
use std::rc::Rc;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use control::{Counter, Event, Gauge, Meter, Operation, Timing};
use scheduler::Step;
use slog::{Drain, KV, Logger, OwnedKVList, Record, Serializer};
use support::{Simulation, job, rules, step};

/// Time within which a leader reports what has changed.
const REPORT_TIME: Duration = Duration::from_secs(5);

/// CPU of the pool's two workers of four cores.
const POOL_CPU: u64 = 8000;

/// Levels, and sums of the counts by label.
#[derive(Debug, Default)]
struct Sums {
    gauges: RefCell<BTreeMap<Gauge, u64>>,
    counts: RefCell<BTreeMap<(Counter, &'static str), u64>>,
}

impl Sums {
    fn gauge(&self, gauge: Gauge) -> Option<u64> {
        self.gauges.borrow().get(&gauge).copied()
    }

    fn count(&self, counter: Counter, label: &'static str) -> u64 {
        self.counts.borrow().get(&(counter, label)).copied().unwrap_or_default()
    }
}

impl Meter for Sums {
    fn add(&self, counter: Counter, label: &'static str, by: u64) {
        *self.counts.borrow_mut().entry((counter, label)).or_default() += by;
    }

    fn record_duration(&self, _timing: Timing, _duration: Duration) {}

    fn set_gauge(&self, gauge: Gauge, value: u64) {
        self.gauges.borrow_mut().insert(gauge, value);
    }
}

/// Fields of a log line, as text.
#[derive(Debug, Default, Clone)]
struct Fields(BTreeMap<&'static str, String>);

impl Fields {
    fn number(&self, key: &str) -> u64 {
        let value = self.0.get(key).and_then(|text| text.parse().ok());
        value.unwrap_or_else(|| panic!("{key} is a number in {self:?}"))
    }
}

impl Serializer for Fields {
    fn emit_arguments(&mut self, key: slog::Key, val: &fmt::Arguments<'_>) -> slog::Result {
        self.0.insert(key, val.to_string());
        Ok(())
    }
}

/// Drain that keeps the lines about the load of the event loop.
#[derive(Debug, Default, Clone)]
struct LoadLines(Arc<Mutex<Vec<Fields>>>);

impl Drain for LoadLines {
    type Ok = ();
    type Err = slog::Never;

    fn log(&self, record: &Record<'_>, _values: &OwnedKVList) -> Result<(), slog::Never> {
        let mut fields = Fields::default();
        record.kv().serialize(record, &mut fields).expect("the fields are text");
        if fields.0.get("event") == Some(&Event::LoopLoad.number().to_string()) {
            self.0.lock().expect("no test panicked").push(fields);
        }
        Ok(())
    }
}

/// A cell of one daemon that leads, with a long task at work and a gang that waits for all places.
fn collecting_gang() -> (Simulation, Rc<Sums>, LoadLines) {
    let (sums, lines) = (Rc::new(Sums::default()), LoadLines::default());
    let mut sim = Simulation::new(23, 1, 2);
    sim.rules = rules(true);
    sim.run_time = Some(Duration::from_mins(1));
    sim.meter = Rc::clone(&sums) as Rc<dyn Meter>;
    sim.log = Some(Logger::root(lines.clone(), slog::o!()));
    sim.kill(0);
    sim.start(0);
    assert!(sim.run_until(REPORT_TIME, |sim| sim.leader().is_some()));
    sim.run(Duration::from_secs(2));
    sim.call(0, Operation::Submit(job("long", vec![step(1, 60_000)])));
    assert!(sim.run_until(REPORT_TIME, |sim| sim.has_run("long")));
    sim.call(0, Operation::Submit(job("gang", vec![Step { is_gang: true, ..step(8, 100) }])));
    sim.run(REPORT_TIME);
    (sim, sums, lines)
}

// Guards against a pool that seems busy or empty, while a gang holds the room that steps wait for.
#[test]
fn usage_is_reported() {
    let (_, sums, lines) = collecting_gang();
    let gauge = |gauge| sums.gauge(gauge).unwrap_or_else(|| panic!("{gauge:?} is reported"));
    assert_eq!(gauge(Gauge::PoolCpu), POOL_CPU);
    assert_eq!(gauge(Gauge::PoolUsedCpu), 1000);
    assert_eq!(gauge(Gauge::PoolReservedCpu), 7000);
    assert_eq!(gauge(Gauge::PoolFreeCpu) + gauge(Gauge::PoolWithheldCpu), 0);
    let gangs = [Gauge::IdleSteps, Gauge::IdleGangs, Gauge::CollectingGangs, Gauge::UncalledGangs];
    assert_eq!(gangs.map(gauge), [1; 4]);
    let learned = [Gauge::LearnedKinds, Gauge::CorrectedKinds, Gauge::LearnedWorkers];
    assert_eq!(learned.map(gauge), [0; 3], "no run has ended");
    assert_eq!((gauge(Gauge::SlowWorkers), gauge(Gauge::SpeedsDiffer)), (0, 0));
    let lines = lines.0.lock().expect("no test panicked");
    let line = lines.last().expect("the leader logs its load");
    let shares = ["used", "reserved", "withheld", "free"];
    let sum: u64 = shares.iter().map(|share| line.number(&format!("{share}_mcpu"))).sum();
    assert_eq!((sum, line.number("pool_mcpu")), (POOL_CPU, POOL_CPU));
    let percents = shares.map(|share| line.number(&format!("{share}_percent")));
    assert_eq!(percents, [12, 87, 0, 0], "rounded down");
    assert!(line.number("lent_mcpu") <= line.number("reserved_mcpu"));
    for key in ["idle_steps", "idle_gangs", "collecting_gangs", "uncalled_gangs"] {
        assert_eq!(line.number(key), 1, "{key}");
    }
}

// Guards against rounds of tickets in vain that no figure shows, or that count with each report.
#[test]
fn wasted_round_is_reported_once() {
    let (mut sim, sums, lines) = collecting_gang();
    sim.run(REPORT_TIME);
    let labels = ["rounds", "tickets", "gang_rounds", "gang_tickets"];
    assert_eq!(labels.map(|label| sums.count(Counter::Waste, label)), [1, 2, 1, 2]);
    let lines = lines.0.lock().expect("no test panicked");
    let sum = |key: &str| lines.iter().map(|line| line.number(key)).sum::<u64>();
    assert_eq!(labels.map(|label| sum(&format!("wasted_{label}"))), [1, 2, 1, 2]);
}
