//! Simulated worker: runs tasks under a lease and lists running and ended runs.
//!
//! A run ends at its due time or at the lease's end, whichever is earlier. Ends that are
//! noticed later, for example because the process was stopped, keep their exact times.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use serde_json::{Value, json};

use super::event::{Clock, Event, Ignore, Kind, Observer, Steady};
use super::http::{self, Reply, Request};

/// Longest interval at which a waiting renewal checks for ended runs, in microseconds.
const END_POLL_INTERVAL_US: u64 = 5000;

/// Longest lease that a call can set, in microseconds.
const MAX_LEASE_US: u64 = 10_000_000;

/// Longest wait of a renewal for an ended run, in milliseconds.
const MAX_RENEWAL_WAIT_MS: u64 = 2000;

/// Time after which a capacity that has shrunk counts for starts, in microseconds.
const ROOM_GRACE_US: u64 = 4_500_000;

/// Most ended runs that a renewal lists.
const MAX_LISTED_ENDS: usize = 500;

/// Processor share of a task whose spec names none, in thousandths of a core.
const DEFAULT_TASK_CPU: u32 = 1000;

/// Run time of a task whose spec names none, in milliseconds.
const DEFAULT_RUN_MS: u64 = 50;

/// Counters of a worker.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct Counts {
    /// Number of runs started.
    pub starts: u64,
    /// Number of runs that succeeded.
    pub done: u64,
    /// Starts of tasks that had already succeeded on this worker.
    pub reruns: u64,
    /// Starts that exceeded the worker's processor capacity.
    pub over_capacity: u64,
    /// Starts without a ticket on a queue that requires one.
    pub without_ticket: u64,
}

impl Counts {
    pub(super) fn add(&mut self, other: &Self) {
        self.starts += other.starts;
        self.done += other.done;
        self.reruns += other.reruns;
        self.over_capacity += other.over_capacity;
        self.without_ticket += other.without_ticket;
    }
}

/// Task and number of a run.
type RunKey = (String, u64);

/// A run in progress; times in microseconds of the steady clock.
#[derive(Debug)]
struct Run {
    started_us: u64,
    due_us: u64,
    /// Outcome at the due time.
    outcome: &'static str,
    /// Processor share, in thousandths of a core.
    cpu: u32,
}

/// An ended run that no renewal has acknowledged.
#[derive(Debug)]
struct End {
    sequence: u64,
    task: String,
    run: u64,
    outcome: &'static str,
}

/// What the spec of a task says about its runs.
#[derive(Debug)]
struct Spec {
    run_us: u64,
    cpu: u32,
    does_fail: bool,
}

#[derive(Debug, Default)]
struct State {
    /// Runs in progress.
    running: BTreeMap<RunKey, Run>,
    /// Ended runs that no renewal has acknowledged, in order.
    finished: Vec<End>,
    /// Highest run id started or stopped by task; starts up to it are rejected.
    highest_run_ids: HashMap<String, u64>,
    succeeded: HashSet<String>,
    /// Sequence number of the last ended run.
    last_end_sequence: u64,
    fencing_token: u64,
    /// When the lease expires, in microseconds of the steady clock; `None` without a lease.
    lease_end_us: Option<u64>,
    counts: Counts,
    /// Capacities in thousandths of a core, the present one last, each with the time until which
    /// the one before it still counts, in microseconds of the steady clock.
    rooms: Vec<(u64, u32)>,
}

/// A worker and the runs that it holds.
#[derive(Debug)]
pub struct Worker {
    id: String,
    started_unix_ms: u64,
    created_us: u64,
    clock: Arc<dyn Clock>,
    observer: Arc<dyn Observer>,
    /// Whether it rejects starts that exceed its capacity.
    does_guard_room: bool,
    state: Mutex<State>,
    changed: Condvar,
}

impl Worker {
    /// Creates an idle worker of `cpu` thousandths of a core.
    pub fn new(id: String, cpu: u32) -> Self {
        Self::timed_by(Arc::new(Steady), id, cpu)
    }

    /// Creates an idle worker with a clock of its own.
    pub fn timed_by(clock: Arc<dyn Clock>, id: String, cpu: u32) -> Self {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let state = State { rooms: vec![(0, cpu)], ..State::default() };
        Self {
            id,
            started_unix_ms: since_epoch.as_millis() as u64,
            created_us: clock.now_us(),
            clock,
            observer: Arc::new(Ignore),
            does_guard_room: false,
            state: Mutex::new(state),
            changed: Condvar::new(),
        }
    }

    /// Reports the worker's events to an observer.
    #[must_use]
    pub fn observed_by(self, observer: Arc<dyn Observer>) -> Self {
        Self { observer, ..self }
    }

    /// Lets the worker reject starts that exceed its capacity.
    #[must_use]
    pub fn guarding_room(self) -> Self {
        Self { does_guard_room: true, ..self }
    }

    /// Instance id, as listed in the store and in the `Expect-Instance` header of calls.
    pub fn id(&self) -> &str {
        &self.id
    }

    /// When the worker started, in Unix milliseconds.
    pub fn started_unix_ms(&self) -> u64 {
        self.started_unix_ms
    }

    /// Changes its capacity, in thousandths of a core, while it runs.
    ///
    /// One that has shrunk counts after a while, as those who start tasks have to learn of it. The
    /// worker's entry in the store is not changed.
    pub fn set_cpu(&self, cpu: u32) {
        self.lock().rooms.push((self.clock.now_us() + ROOM_GRACE_US, cpu));
    }

    /// Copy of the counters so far.
    pub fn counts(&self) -> Counts {
        self.lock().counts.clone()
    }

    /// Takes calls on an address, and records that the worker is up; returns the address.
    ///
    /// # Errors
    ///
    /// The I/O error if the address can't be bound.
    pub fn serve(self: &Arc<Self>, listen: SocketAddr) -> std::io::Result<SocketAddr> {
        let handler = Arc::clone(self);
        let address = http::serve_at(listen, move |request| Some(handler.handle(request)))?;
        self.record(self.clock.now_us(), Kind::Up { address: address.to_string() });
        Ok(address)
    }

    /// Ends the runs that are due, and all runs if the lease has expired.
    pub fn tick(&self) {
        self.settle(&mut self.lock(), self.clock.now_us());
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn record(&self, at_us: u64, kind: Kind) {
        let event =
            Event { at_us, worker: self.id.clone(), incarnation: self.started_unix_ms, kind };
        self.observer.record(event);
    }

    /// The worker's own clock: milliseconds since it started.
    fn elapsed_ms(&self) -> u64 {
        (self.clock.now_us() - self.created_us) / 1000
    }

    /// Applies everything that has come due up to a time, in order.
    fn settle(&self, state: &mut State, now_us: u64) {
        let expiry_us = state.lease_end_us.filter(|end| *end <= now_us);
        let last_us = expiry_us.unwrap_or(now_us);
        let due = state.running.iter().filter(|(_, run)| run.due_us <= last_us);
        let mut due: Vec<(u64, RunKey)> =
            due.map(|(run_key, run)| (run.due_us, run_key.clone())).collect();
        due.sort_unstable();
        for (due_us, run_key) in due {
            let outcome = state.running.get(&run_key).map_or("done", |run| run.outcome);
            self.end_run(state, &run_key, outcome, due_us);
        }
        let Some(expiry_us) = expiry_us else { return };
        state.lease_end_us = None;
        let expired: Vec<RunKey> = state.running.keys().cloned().collect();
        for run_key in expired {
            self.end_run(state, &run_key, "lapsed", expiry_us);
        }
        self.record(expiry_us, Kind::LeaseExpired);
    }

    /// Moves a run to the ended runs with its outcome.
    fn end_run(&self, state: &mut State, run_key: &RunKey, outcome: &'static str, at_us: u64) {
        if state.running.remove(run_key).is_none() {
            return;
        }
        let (task, run) = run_key.clone();
        state.last_end_sequence += 1;
        let sequence = state.last_end_sequence;
        state.finished.push(End { sequence, task: task.clone(), run, outcome });
        if outcome == "done" {
            state.counts.done += 1;
            state.succeeded.insert(task.clone());
        }
        self.record(at_us, Kind::Ended { task, run, how: outcome.to_owned() });
        self.changed.notify_all();
    }

    pub(super) fn handle(&self, request: &Request) -> Reply {
        if request.expected_instance.as_ref().is_some_and(|instance| *instance != self.id) {
            return (421, Value::Null);
        }
        let body = &request.body;
        let mut state = self.lock();
        let now_us = self.clock.now_us();
        self.settle(&mut state, now_us);
        let fencing_token = body["fencing_token"].as_u64().unwrap_or(0);
        if fencing_token < state.fencing_token {
            return self.rejection("fence");
        }
        state.fencing_token = fencing_token;
        if let Some(deadline_ms) = body["deadline_ms"].as_u64() {
            self.extend_lease(&mut state, deadline_ms, now_us);
        }
        match request.method_and_path.as_str() {
            "POST /api/run-start" => self.start_run(&mut state, body, now_us),
            "POST /api/run-stop" => self.stop_run(&mut state, body, now_us),
            "POST /api/hold" => self.renew_lease(state, body, now_us),
            _ => (404, Value::Null),
        }
    }

    /// Extends the lease to a time of the worker's own clock; never shortens it.
    fn extend_lease(&self, state: &mut State, deadline_ms: u64, now_us: u64) {
        let asked_us = deadline_ms.saturating_mul(1000).saturating_add(self.created_us);
        let until_us = asked_us.min(now_us + MAX_LEASE_US);
        if until_us > state.lease_end_us.unwrap_or(now_us) {
            state.lease_end_us = Some(until_us);
            self.record(now_us, Kind::Leased { until_us });
        }
    }

    /// Reply 409 with a reason.
    fn rejection(&self, reason: &str) -> Reply {
        (409, json!({"timestamp_ms": self.elapsed_ms(), "reason": reason}))
    }

    fn start_run(&self, state: &mut State, body: &Value, now_us: u64) -> Reply {
        let (Some(task), Some(run)) = (body["task"].as_str(), body["run_id"].as_u64()) else {
            return (400, json!({"timestamp_ms": self.elapsed_ms()}));
        };
        let run_key = (task.to_owned(), run);
        if state.running.contains_key(&run_key) {
            return (200, json!({"timestamp_ms": self.elapsed_ms()}));
        }
        if state.highest_run_ids.get(task).is_some_and(|highest| run <= *highest) {
            return self.rejection("old");
        }
        let deadline_us = body["deadline_ms"].as_u64().unwrap_or(0).saturating_mul(1000);
        if deadline_us.saturating_add(self.created_us) <= now_us {
            return self.rejection("late");
        }
        let text = body["spec"].as_str().unwrap_or_default();
        let spec = parse_spec(text, task);
        let used = spec.cpu + state.running.values().map(|run| run.cpu).sum::<u32>();
        let room = state.room(now_us);
        if self.does_guard_room && used > state.present_room() {
            return self.rejection("room");
        }
        state.highest_run_ids.insert(task.to_owned(), run);
        state.counts.starts += 1;
        state.counts.reruns += u64::from(state.succeeded.contains(task));
        if text.contains("advised") && body["ticket"].is_null() {
            state.counts.without_ticket += 1;
        }
        let outcome = if spec.does_fail { "failed" } else { "done" };
        let due_us = now_us + spec.run_us;
        let started = Run { started_us: now_us, due_us, outcome, cpu: spec.cpu };
        state.running.insert(run_key, started);
        let (task, token) = (task.to_owned(), state.fencing_token);
        self.record(now_us, Kind::Started { task, run, token });
        if used > room {
            state.counts.over_capacity += 1;
            self.record(now_us, Kind::OverRoom { used });
        }
        (200, json!({"timestamp_ms": self.elapsed_ms()}))
    }

    fn stop_run(&self, state: &mut State, body: &Value, now_us: u64) -> Reply {
        let (Some(task), Some(run)) = (body["task"].as_str(), body["run_id"].as_u64()) else {
            return (400, json!({"timestamp_ms": self.elapsed_ms()}));
        };
        self.end_run(state, &(task.to_owned(), run), "stopped", now_us);
        let highest = state.highest_run_ids.entry(task.to_owned()).or_insert(0);
        *highest = run.max(*highest);
        (200, json!({"timestamp_ms": self.elapsed_ms()}))
    }

    /// Drops acknowledged ends, waits for the next one, lists running and ended runs.
    fn renew_lease(
        &self,
        mut state: MutexGuard<'_, State>,
        body: &Value,
        received_us: u64,
    ) -> Reply {
        let seen = body["last_seen"].as_u64().unwrap_or(0);
        let noted = state.finished.partition_point(|end| end.sequence <= seen);
        for end in state.finished.drain(..noted) {
            self.record(received_us, Kind::Noted { task: end.task, run: end.run });
        }
        let wait_ms = body["wait_ms"].as_u64().unwrap_or(0).min(MAX_RENEWAL_WAIT_MS);
        let until_us = received_us + wait_ms * 1000;
        loop {
            let now_us = self.clock.now_us();
            self.settle(&mut state, now_us);
            if !state.finished.is_empty() || now_us >= until_us {
                break;
            }
            let pause = Duration::from_micros((until_us - now_us).min(END_POLL_INTERVAL_US));
            let waited = self.changed.wait_timeout(state, pause);
            (state, _) = waited.unwrap_or_else(PoisonError::into_inner);
        }
        (200, self.list_runs(&state))
    }

    fn list_runs(&self, state: &State) -> Value {
        let now_us = self.clock.now_us();
        let running = state.running.iter().map(|((task, run_id), run)| {
            let (elapsed_us, run_us) = (now_us - run.started_us, run.due_us - run.started_us);
            let percent = (elapsed_us * 100 / run_us.max(1)).min(99);
            json!([task, run_id, "", percent, run.cpu])
        });
        let running: Vec<Value> = running.collect();
        let finished = state.finished.iter().take(MAX_LISTED_ENDS);
        let finished =
            finished.map(|end| json!([end.sequence, end.task, end.run, end.outcome, ""]));
        let finished: Vec<Value> = finished.collect();
        json!({"timestamp_ms": self.elapsed_ms(), "born": self.started_unix_ms,
            "running": running, "finished": finished})
    }
}

impl State {
    /// The present capacity, in thousandths of a core.
    fn present_room(&self) -> u32 {
        self.rooms.last().map_or(0, |(_, cpu)| *cpu)
    }

    /// The capacity that a start must not exceed, in thousandths of a core.
    fn room(&self, now_us: u64) -> u32 {
        let former = self.rooms.windows(2).filter(|pair| now_us < pair[1].0);
        former.map(|pair| pair[0].1).fold(self.present_room(), u32::max)
    }
}

/// Reads what a spec says: `ms=` and `cpu=` of each task, and whether its runs `fail`.
///
/// With `every=N`, only the tasks fail whose index is a multiple of N.
fn parse_spec(text: &str, task: &str) -> Spec {
    let number = |name: &str| -> Option<u64> {
        let digits = text.split(' ').find_map(|word| word.strip_prefix(name));
        digits.and_then(|digits| digits.parse().ok())
    };
    let index: u64 = task.rsplit('.').next().and_then(|text| text.parse().ok()).unwrap_or(0);
    let is_chosen = number("every=").is_none_or(|every| index.is_multiple_of(every));
    Spec {
        run_us: number("ms=").unwrap_or(DEFAULT_RUN_MS) * 1000,
        cpu: number("cpu=").and_then(|cpu| cpu.try_into().ok()).unwrap_or(DEFAULT_TASK_CPU),
        does_fail: is_chosen && text.split(' ').any(|word| word == "fail"),
    }
}
