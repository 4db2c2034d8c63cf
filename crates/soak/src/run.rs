//! One run: starts a cell and clients, applies a plan of faults, heals and judges.

use std::fs::File;
use std::io::Write;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use standin::platform::event::now_us;

use crate::cell::{Cell, MAX_ATTEMPTS, Paths, Result, lock};
use crate::check::{Checker, Settings, Violation};
use crate::client::{Client, Progress};
use crate::keys::{self, KeyProbe, Probes};
use crate::plan::{Plan, Spec};

/// Number of clients.
const CLIENTS: u64 = 8;

/// Interval at which a run looks for violations and for its end.
const TICK: Duration = Duration::from_millis(100);

/// Interval at which violations are printed.
const REPORT_INTERVAL: Duration = Duration::from_secs(3);

/// Time without any change on workers and clients after which open jobs count as lost.
const QUIET_TIME: Duration = Duration::from_mins(1);

/// Longest time from the end of the faults to the end of the jobs.
const MAX_DRAIN: Duration = Duration::from_mins(5);

common::data! {
    /// What a run showed.
    pub struct Outcome {
        /// Violations, in the order of their times.
        pub violations: Vec<Violation>,
        /// Accepted jobs.
        pub accepted: u64,
        /// Jobs that ended.
        pub ended: u64,
        /// Answers that an accepted job is not known.
        pub unknown: u64,
        /// Requests without an answer.
        pub unanswered: u64,
        /// Starts and ends of runs on workers.
        pub changes: u64,
        /// Requests with removed keys.
        pub probes: Probes,
        /// Daemons that ended by themselves.
        pub fallen: Vec<usize>,
    }
}

/// Start or end of a fault.
struct Step {
    at: Duration,
    fault: usize,
    is_start: bool,
}

/// Clients' threads and what they share.
struct Clients {
    threads: Vec<JoinHandle<()>>,
    progress: Arc<Progress>,
}

impl Drop for Clients {
    fn drop(&mut self) {
        self.progress.is_ended.store(true, Ordering::SeqCst);
        for thread in self.threads.drain(..) {
            // A panic of the thread was printed already.
            drop(thread.join());
        }
    }
}

/// Runs a plan and judges what clients and workers saw.
///
/// # Errors
///
/// What could not be run, or why the run cannot be judged.
pub fn run(spec: &Spec, plan: &Plan, paths: Paths) -> Result<Outcome> {
    let origin_us = now_us();
    let settings = Settings {
        origin_us,
        max_attempts: MAX_ATTEMPTS as usize,
        // A daemon that is cut off may start tasks of a job that is cancelled elsewhere.
        judges_cancellations: false,
    };
    let checker = Arc::new(Mutex::new(Checker::new(settings)));
    let folder = paths.folder.clone();
    let mut cell = Cell::start(spec, paths, Arc::clone(&checker))?;
    let mut notes = File::create(folder.join("plan.log"))?;
    writeln!(notes, "seed {}\n{plan}", plan.seed)?;
    let origin = Instant::now();
    let mut clients = start_clients(&cell, plan, &checker);
    let probe = KeyProbe::new(&cell, origin_us, plan, Arc::clone(&checker));
    let (probes_ended, progress) = (Arc::clone(&clients.progress), Arc::clone(&clients.progress));
    let key_thread = std::thread::spawn(move || probe.run(&probes_ended.is_ended));
    let mut reporter = Reporter { checker: Arc::clone(&checker), last: origin };
    let mut note = |text: String| -> Result<()> {
        let at = (now_us() - origin_us) as f64 / 1e6;
        Ok(writeln!(notes, "{at:.3} s: {text}")?)
    };

    for step in steps(plan) {
        while origin.elapsed() < step.at {
            std::thread::sleep(TICK.min(step.at.saturating_sub(origin.elapsed())));
            reporter.report();
        }
        let fault = &plan.faults[step.fault];
        if step.is_start {
            let leader = cell.start_fault(step.fault, &fault.kind)?;
            note(format!("starts, daemon {leader} leads: {fault}"))?;
        } else {
            cell.end_fault(step.fault)?;
            note(format!("ends: {fault}"))?;
        }
    }
    while origin.elapsed() < spec.length {
        std::thread::sleep(TICK);
        reporter.report();
    }
    cell.heal()?;
    let fallen = cell.fallen();
    note(format!("healed; daemons that ended by themselves: {fallen:?}"))?;
    clients.progress.is_draining.store(true, Ordering::SeqCst);
    wait_for_jobs(&cell, &clients, &mut reporter)?;
    clients.progress.is_ended.store(true, Ordering::SeqCst);
    let probe = key_thread.join().map_err(|_panic| "the thread that changes keys failed")?;
    let probes = probe.check_at_end();
    for thread in clients.threads.drain(..) {
        if thread.join().is_err() {
            return Err("a client failed".into());
        }
    }
    let changes = cell.changes();
    let leader = cell.leader();
    note(format!("ended, daemon {leader:?} leads"))?;
    drop(cell);
    lock(&checker).end(now_us());
    reporter.print_new();
    let violations = lock(&checker).violations();
    for violation in &violations {
        note(violation.to_string())?;
    }
    let count = |counter: &std::sync::atomic::AtomicU64| counter.load(Ordering::SeqCst);
    Ok(Outcome {
        violations,
        accepted: count(&progress.accepted),
        ended: count(&progress.ended),
        unknown: count(&progress.unknown),
        unanswered: count(&progress.unanswered),
        changes,
        probes,
        fallen,
    })
}

/// Starts and ends of all faults, in order.
fn steps(plan: &Plan) -> Vec<Step> {
    let both = |(fault, entry): (usize, &crate::plan::Fault)| {
        let start = Step { at: entry.at, fault, is_start: true };
        [start, Step { at: entry.at + entry.lasts, fault, is_start: false }]
    };
    let mut steps: Vec<Step> = plan.faults.iter().enumerate().flat_map(both).collect();
    steps.sort_by_key(|step| step.at);
    steps
}

fn start_clients(cell: &Cell, plan: &Plan, checker: &Arc<Mutex<Checker>>) -> Clients {
    let progress = Arc::new(Progress::default());
    let addresses = cell.client_addresses();
    let start = |number| {
        let seed = plan.seed.wrapping_mul(CLIENTS).wrapping_add(number);
        let client = Client::new(
            &addresses,
            keys::client_key(number),
            seed,
            plan.has_long_tasks,
            Arc::clone(&progress),
            Arc::clone(checker),
        );
        std::thread::spawn(move || client.run())
    };
    let threads = (0..CLIENTS).map(start).collect();
    Clients { threads, progress }
}

/// Waits until all jobs have ended, or nothing has changed for a long time.
fn wait_for_jobs(cell: &Cell, clients: &Clients, reporter: &mut Reporter) -> Result<()> {
    let start = Instant::now();
    let mut last = (Instant::now(), 0);
    while !clients.threads.iter().all(JoinHandle::is_finished) {
        let changes = cell.changes() + clients.progress.ended.load(Ordering::SeqCst);
        if changes != last.1 {
            last = (Instant::now(), changes);
        }
        if last.0.elapsed() > QUIET_TIME {
            return Ok(());
        }
        if start.elapsed() > MAX_DRAIN {
            return Err("jobs still run, so the run cannot be judged".into());
        }
        std::thread::sleep(TICK);
        reporter.report();
    }
    Ok(())
}

/// Prints violations as they are found.
struct Reporter {
    checker: Arc<Mutex<Checker>>,
    last: Instant,
}

impl Reporter {
    fn report(&mut self) {
        if self.last.elapsed() >= REPORT_INTERVAL {
            self.last = Instant::now();
            self.print_new();
        }
    }

    fn print_new(&self) {
        let violations = lock(&self.checker).take_new();
        for violation in violations {
            println!("  {violation}");
        }
    }
}
