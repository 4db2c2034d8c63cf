//! Simulated worker: runs tasks under a lease and lists running and ended runs.

use std::collections::{HashMap, HashSet};
use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use serde_json::{Value, json};

use super::http::{Reply, Request};

/// Interval at which a waiting renewal checks for ended runs.
const END_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Longest lease that a call can set, in milliseconds.
const MAX_LEASE_MS: u64 = 10_000;

/// Most ended runs that a renewal lists.
const MAX_LISTED_ENDS: usize = 500;

/// Processor share that each task takes, in thousandths of a core.
const TASK_CPU_MILLICORES: u32 = 1000;

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

/// A run in progress.
#[derive(Debug)]
struct Run {
    run_id: u64,
    ends_at: Instant,
}

#[derive(Debug, Default)]
struct State {
    /// Runs in progress by task.
    running: HashMap<String, Run>,
    /// Ended runs that no renewal has acknowledged: sequence, task, run id, outcome.
    finished: Vec<(u64, String, u64, &'static str)>,
    /// Highest run id seen by task; starts up to it are rejected.
    highest_run_ids: HashMap<String, u64>,
    succeeded: HashSet<String>,
    /// Sequence number of the last ended run.
    last_end_sequence: u64,
    fencing_token: u64,
    /// When the lease expires, in milliseconds of the worker's own clock.
    lease_expires_ms: u64,
    counts: Counts,
}

/// A worker and the runs that it holds.
#[derive(Debug)]
pub struct Worker {
    id: String,
    cpu: u32,
    started_unix_ms: u64,
    created_at: Instant,
    state: Mutex<State>,
    changed: Condvar,
}

impl Worker {
    /// Creates an idle worker of `cpu` thousandths of a core.
    pub fn new(id: String, cpu: u32) -> Self {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self {
            id,
            cpu,
            started_unix_ms: since_epoch.as_millis() as u64,
            created_at: Instant::now(),
            state: Mutex::default(),
            changed: Condvar::new(),
        }
    }

    /// Instance id, as listed in the store and in the `Expect-Instance` header of calls.
    pub fn id(&self) -> &str {
        &self.id
    }

    /// When the worker started, in Unix milliseconds.
    pub fn started_unix_ms(&self) -> u64 {
        self.started_unix_ms
    }

    /// Copy of the counters so far.
    pub fn counts(&self) -> Counts {
        self.lock().counts.clone()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Milliseconds since the worker started.
    fn elapsed_ms(&self) -> u64 {
        self.created_at.elapsed().as_millis() as u64
    }

    pub(super) fn handle(&self, request: &Request) -> Reply {
        if request.expected_instance.as_ref().is_some_and(|instance| *instance != self.id) {
            return (421, Value::Null);
        }
        let body = &request.body;
        let mut state = self.lock();
        state.end_due_runs(self.elapsed_ms());
        let fencing_token = body["fencing_token"].as_u64().unwrap_or(0);
        if fencing_token < state.fencing_token {
            return self.rejection("fence");
        }
        state.fencing_token = fencing_token;
        if let Some(end) = body["deadline_ms"].as_u64() {
            state.lease_expires_ms =
                state.lease_expires_ms.max(end.min(self.elapsed_ms() + MAX_LEASE_MS));
        }
        match request.method_and_path.as_str() {
            "POST /api/run-start" => self.start_run(&mut state, body),
            "POST /api/run-stop" => self.stop_run(&mut state, body),
            "POST /api/hold" => self.renew_lease(state, body),
            _ => (404, Value::Null),
        }
    }

    /// Reply 409 with a reason.
    fn rejection(&self, reason: &str) -> Reply {
        (409, json!({"timestamp_ms": self.elapsed_ms(), "reason": reason}))
    }

    fn start_run(&self, state: &mut State, body: &Value) -> Reply {
        let task = body["task"].as_str().unwrap_or_default().to_owned();
        let run_id = body["run_id"].as_u64().unwrap_or(0);
        if state.running.get(&task).is_some_and(|run| run.run_id == run_id) {
            return (200, json!({"timestamp_ms": self.elapsed_ms()}));
        }
        if state.highest_run_ids.get(&task).is_some_and(|highest| run_id <= *highest) {
            return self.rejection("old");
        }
        state.highest_run_ids.insert(task.clone(), run_id);
        state.counts.starts += 1;
        state.counts.reruns += u64::from(state.succeeded.contains(&task));
        let text = body["spec"].as_str().unwrap_or_default();
        if text.contains("advised") && body["ticket"].is_null() {
            state.counts.without_ticket += 1;
        }
        let run_ms = text.split("ms=").nth(1).and_then(|rest| rest.split(' ').next());
        let run_ms = run_ms.and_then(|digits| digits.parse().ok()).unwrap_or(50);
        let ends_at = Instant::now() + Duration::from_millis(run_ms);
        state.running.insert(task, Run { run_id, ends_at });
        if state.running.len() as u32 * TASK_CPU_MILLICORES > self.cpu {
            state.counts.over_capacity += 1;
        }
        (200, json!({"timestamp_ms": self.elapsed_ms()}))
    }

    fn stop_run(&self, state: &mut State, body: &Value) -> Reply {
        let task = body["task"].as_str().unwrap_or_default().to_owned();
        let run_id = body["run_id"].as_u64().unwrap_or(0);
        if state.running.get(&task).is_some_and(|run| run.run_id == run_id) {
            state.end_run(&task, "stopped");
        }
        let highest = state.highest_run_ids.entry(task).or_insert(0);
        *highest = run_id.max(*highest);
        self.changed.notify_all();
        (200, json!({"timestamp_ms": self.elapsed_ms()}))
    }

    /// Drops acknowledged ends, waits for the next one, lists running and ended runs.
    fn renew_lease(&self, mut state: MutexGuard<'_, State>, body: &Value) -> Reply {
        let seen = body["last_seen"].as_u64().unwrap_or(0);
        state.finished.retain(|(sequence, ..)| *sequence > seen);
        let wait = Duration::from_millis(body["wait_ms"].as_u64().unwrap_or(0));
        let until = Instant::now() + wait;
        while state.finished.is_empty() && Instant::now() < until {
            let waited = self.changed.wait_timeout(state, END_POLL_INTERVAL);
            (state, _) = waited.unwrap_or_else(PoisonError::into_inner);
            state.end_due_runs(self.elapsed_ms());
        }
        let running = state.running.iter().map(|(task, run)| json!([task, run.run_id, "", 50]));
        let running: Vec<Value> = running.collect();
        let finished = state.finished.iter().take(MAX_LISTED_ENDS);
        let finished = finished
            .map(|(sequence, task, run, outcome)| json!([sequence, task, run, outcome, ""]));
        let finished: Vec<Value> = finished.collect();
        let reply = json!({"timestamp_ms": self.elapsed_ms(), "born": self.started_unix_ms,
            "running": running, "finished": finished});
        (200, reply)
    }
}

impl State {
    /// Ends runs that are complete, and all other runs if the lease has expired.
    fn end_due_runs(&mut self, elapsed_ms: u64) {
        let now = Instant::now();
        let is_lease_expired = elapsed_ms > self.lease_expires_ms;
        let due = self.running.iter().filter(|(_, run)| is_lease_expired || run.ends_at <= now);
        let due: Vec<(String, bool)> =
            due.map(|(task, run)| (task.clone(), run.ends_at <= now)).collect();
        for (task, is_done) in due {
            self.end_run(&task, if is_done { "done" } else { "lapsed" });
            if is_done {
                self.counts.done += 1;
                self.succeeded.insert(task);
            }
        }
    }

    /// Moves a run to the ended runs with its outcome.
    fn end_run(&mut self, task: &str, outcome: &'static str) {
        let Some(run) = self.running.remove(task) else { return };
        self.last_end_sequence += 1;
        self.finished.push((self.last_end_sequence, task.to_owned(), run.run_id, outcome));
    }
}
