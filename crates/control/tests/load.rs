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
}

impl Meter for SlowMeter {
    fn add(&self, counter: Counter, label: &'static str, by: u64) {
        if counter == Counter::Placement && label == "passes" {
            self.passes.set(self.passes.get() + by);
        }
    }

    fn record_duration(&self, _timing: Timing, _duration: Duration) {}

    fn set_gauge(&self, _gauge: Gauge, _value: u64) {}

    fn work_clock(&self) -> Duration {
        self.clock.set(self.clock.get() + WORK_TIME);
        self.clock.get()
    }
}

// Guards against a leader that only runs placement passes: its commits and heartbeats are late,
// and its followers replace it.
#[test]
fn placement_leaves_time_for_other_work() {
    let meter = Rc::new(SlowMeter::default());
    let mut sim = Simulation::new(7, 1, 4);
    sim.meter = Rc::clone(&meter) as Rc<dyn Meter>;
    sim.kill(0);
    sim.start(0);
    assert!(sim.run_until(Duration::from_secs(5), |sim| sim.leader().is_some()));
    sim.run(Duration::from_secs(2));
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
