//! Share of the event loop that a leader's periodic work takes.

mod support;

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use control::{Counter, Gauge, Meter, Operation, Timing};
use support::{Simulation, job, step};

/// Time that each piece of work seems to take.
const WORK_TIME: Duration = Duration::from_millis(25);

/// Meter whose clock advances by [`WORK_TIME`] from one piece of work to the next.
#[derive(Debug, Default)]
struct SlowMeter {
    clock: Cell<Duration>,
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
        self.clock.set(self.clock.get() + WORK_TIME);
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

// Guards against a leader whose loop is filled by looking for leases that need nothing.
#[test]
#[ignore = "known red: see KNOWN-RED.txt"]
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
