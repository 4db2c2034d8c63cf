//! Share of the event loop that a leader's periodic work takes.

mod support;

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use common::Name;
use control::{
    Action, Change, Counter, Gauge, Input, Meter, Operation, Timing, WatchResult, WatchTarget,
};
use scheduler::{Registration, Resources};
use support::{Simulation, job, step};

/// Time that each piece of work seems to take.
const WORK_TIME: Duration = Duration::from_millis(25);

/// Meter whose clock advances by [`WORK_TIME`] from one piece of work to the next.
#[derive(Debug, Default)]
struct SlowMeter {
    clock: Cell<Duration>,
    /// Added to the time of the pieces of work in progress.
    freeze: Cell<Duration>,
    passes: Cell<u64>,
    lease_checks: Cell<u64>,
    renewals: Cell<u64>,
}

impl Meter for SlowMeter {
    fn add(&self, counter: Counter, label: &'static str, by: u64) {
        let sum = match (counter, label) {
            (Counter::Placement, "passes") => &self.passes,
            (Counter::Leases, "checked") => &self.lease_checks,
            (Counter::Leases, "renewed") => &self.renewals,
            _ => return,
        };
        sum.set(sum.get() + by);
    }

    fn record_duration(&self, _timing: Timing, _duration: Duration) {}

    fn set_gauge(&self, _gauge: Gauge, _value: u64) {}

    fn work_clock(&self) -> Duration {
        self.clock.set(self.clock.get() + WORK_TIME + self.freeze.get());
        self.clock.get()
    }
}

/// A cell of one daemon that leads, and its meter.
fn measured_leader(seed: u64, workers: usize) -> (Simulation, Rc<SlowMeter>) {
    let meter = Rc::new(SlowMeter::default());
    let mut sim = Simulation::new(seed, 1, workers);
    sim.meter = Rc::clone(&meter) as Rc<dyn Meter>;
    sim.kill(0);
    sim.start(0);
    assert!(sim.run_until(Duration::from_secs(5), |sim| sim.leader().is_some()));
    sim.run(Duration::from_secs(2));
    (sim, meter)
}

// Guards against a leader that only runs placement passes: its commits and heartbeats are late,
// and its followers replace it.
#[test]
fn placement_leaves_time_for_other_work() {
    let (mut sim, meter) = measured_leader(7, 4);
    let (began, passes_before) = (sim.now, meter.passes.get());
    for number in 0..1000 {
        sim.call(0, Operation::Submit(job(&format!("j{number}"), vec![step(1, 20)])));
        sim.run(Duration::from_millis(10));
    }
    let placement_time = WORK_TIME * (meter.passes.get() - passes_before) as u32;
    let share = placement_time.as_secs_f64() / sim.now.saturating_sub(began).as_secs_f64();
    assert!(share > 0.1, "placement runs: {share}");
    assert!(share < 0.6, "placement takes {share} of the time");
}

// Guards against a leader that, after a freeze during a pass, places nothing for as long again.
#[test]
fn placement_continues_after_freeze() {
    let (mut sim, meter) = measured_leader(17, 4);
    meter.freeze.set(Duration::from_secs(5));
    sim.run(Duration::from_millis(200));
    meter.freeze.set(Duration::ZERO);
    sim.call(0, Operation::Submit(job("j1", vec![step(1, 20)])));
    sim.run(Duration::from_secs(1));
    assert!(sim.has_run("j1"), "not placed within a second of the freeze");
}

// Guards against a leader whose loop is filled by looking for leases that need nothing.
#[test]
fn lease_checks_follow_changes() {
    let (mut sim, meter) = measured_leader(11, 200);
    let (checks_before, renewals_before) = (meter.lease_checks.get(), meter.renewals.get());
    for number in 0..200 {
        sim.call(0, Operation::Submit(job(&format!("j{number}"), vec![step(1, 1000)])));
        sim.run(Duration::from_millis(50));
    }
    let checks = meter.lease_checks.get() - checks_before;
    let renewals = meter.renewals.get() - renewals_before;
    assert!(renewals > 200, "the idle workers and those with runs are renewed: {renewals}");
    assert!(checks < 10 * renewals, "{checks} checks for {renewals} renewals");
}

// Guards against a new leader that sends hundreds of renewals before it handles anything else.
#[test]
fn renewals_of_many_workers_are_spread() {
    let (mut sim, _) = measured_leader(13, 1);
    let registration = |number: usize| Registration {
        id: Name::from(format!("new{number}").as_str()),
        incarnation: 1,
        address: Name::new("worker:1"),
        service: Name::new("service"),
        zone: Name::new("zone"),
        labels: Vec::new(),
        capacity: Resources { cpu: 4000, mem: 10_000, gpus: 0 },
        is_draining: false,
    };
    let change = Change {
        cursor: 1000,
        is_snapshot: false,
        rules: None,
        registrations: (0..200).map(registration).collect(),
        removed: Vec::new(),
        store_clock_ms: sim.now.as_millis() as u64,
    };
    let result = WatchResult::Changed(change);
    let now = sim.now;
    let node = sim.slots[0].node.as_mut().expect("the leader runs");
    let mut renewals = Vec::new();
    let mut input = Input::Watch { call: 0, target: WatchTarget::Workers, result };
    for _ in 0..10 {
        let actions = node.handle(now, std::mem::replace(&mut input, Input::Tick));
        let sent = actions.iter().filter(|action| matches!(action, Action::Renew { .. }));
        renewals.push(sent.count());
    }
    assert!(renewals.iter().all(|sent| *sent <= 40), "{renewals:?}");
    assert!(renewals.iter().sum::<usize>() >= 200, "{renewals:?}");
}
