//! Share of the event loop that a leader's periodic work takes.

mod support;

use std::cell::Cell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use common::Name;
use control::{
    Action, Change, Counter, Gauge, Input, Meter, Operation, QueuedInput, RenewReply, Timing,
    WatchResult, WatchTarget,
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

/// A watch result that adds workers to the leader's list.
fn list_workers(sim: &Simulation, count: usize) -> Input {
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
        has_more: false,
        rules: None,
        registrations: (0..count).map(registration).collect(),
        removed: Vec::new(),
        store_clock_ms: sim.now.as_millis() as u64,
    };
    let result = WatchResult::Changed(change);
    Input::Watch { call: 0, target: WatchTarget::Workers, result }
}

// Guards against a new leader that sends hundreds of renewals before it handles anything else.
#[test]
fn renewals_of_many_workers_are_spread() {
    let (mut sim, _) = measured_leader(13, 1);
    let mut input = list_workers(&sim, 200);
    let now = sim.now;
    let node = sim.slots[0].node.as_mut().expect("the leader runs");
    let mut renewals = Vec::new();
    for _ in 0..10 {
        let actions = node.handle(now, std::mem::replace(&mut input, Input::Tick));
        let sent = actions.iter().filter(|action| matches!(action, Action::Renew { .. }));
        renewals.push(sent.count());
    }
    assert!(renewals.iter().all(|sent| *sent <= 40), "{renewals:?}");
    assert!(renewals.iter().sum::<usize>() >= 200, "{renewals:?}");
}

// Guards against workers whose leases lapse because those with lower ids are renewed first.
#[test]
fn renewals_are_sent_in_order_of_due_time() {
    const WORKERS: usize = 300;
    let (mut sim, _) = measured_leader(19, 1);
    let mut now = sim.now;
    let mut inputs = vec![list_workers(&sim, WORKERS)];
    let node = sim.slots[0].node.as_mut().expect("the leader runs");
    // When each worker without a renewal under way last answered, and so became due again.
    let mut waiting: BTreeMap<_, _> = (0..WORKERS)
        .map(|number| (Name::from(format!("new{number}").as_str()), Duration::ZERO))
        .collect();
    let mut answered = Vec::new();
    let mut renewals = 0;
    for _ in 0..40 {
        waiting.extend(answered.drain(..).map(|worker| (worker, now)));
        let batch: Vec<_> =
            inputs.drain(..).map(|input| QueuedInput { input, queued_at: now }).collect();
        let mut latest = Duration::ZERO;
        for action in node.handle_batch(now, batch, 0) {
            let Action::Renew { call, worker, .. } = action else { continue };
            let Some(since) = waiting.remove(&worker) else { continue };
            latest = latest.max(since);
            renewals += 1;
            inputs.push(Input::Renew { call, reply: RenewReply::Failed });
            answered.push(worker);
        }
        let overtaken = waiting.iter().find(|(_, since)| **since < latest);
        assert_eq!(overtaken, None, "one that became due at {latest:?} was renewed before it");
        now += Duration::from_millis(50);
    }
    assert!(renewals >= 3 * WORKERS, "{renewals} renewals");
}
