//! A worker: runs tasks under a lease, lists what runs and what has ended.

use std::collections::{HashMap, HashSet};
use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use serde_json::{Value, json};

use super::http::{Answer, Request};

/// How often a waiting renewal looks for ends.
const LOOK_PAUSE: Duration = Duration::from_millis(5);

/// Longest lease, in ms.
const MAX_LEASE_MS: u64 = 10_000;

/// Room that a task takes, in thousandths of a core.
const TASK_CPU: u32 = 1000;

/// What a worker saw.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct Counts {
    /// Runs that were started.
    pub starts: u64,
    /// Runs that succeeded.
    pub done: u64,
    /// Tasks that were started again after they had succeeded here.
    pub again: u64,
    /// Starts that brought it over its room.
    pub over: u64,
    /// Starts without a ticket on a queue that needs one.
    pub without_ticket: u64,
}

impl Counts {
    pub(super) fn add(&mut self, other: &Self) {
        self.starts += other.starts;
        self.done += other.done;
        self.again += other.again;
        self.over += other.over;
        self.without_ticket += other.without_ticket;
    }
}

#[derive(Debug)]
struct Run {
    number: u64,
    ends: Instant,
}

#[derive(Debug, Default)]
struct State {
    running: HashMap<String, Run>,
    finished: Vec<(u64, String, u64, &'static str)>,
    highest: HashMap<String, u64>,
    succeeded: HashSet<String>,
    ends: u64,
    fence: u64,
    lease_end: u64,
    counts: Counts,
}

/// One worker.
#[derive(Debug)]
pub struct Worker {
    id: String,
    cpu: u32,
    born: u64,
    began: Instant,
    state: Mutex<State>,
    changed: Condvar,
}

impl Worker {
    /// A worker with room.
    pub fn new(id: String, cpu: u32) -> Self {
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self {
            id,
            cpu,
            born: born.as_millis() as u64,
            began: Instant::now(),
            state: Mutex::default(),
            changed: Condvar::new(),
        }
    }

    /// Its id.
    pub fn id(&self) -> &str {
        &self.id
    }

    /// When it started, in ms of Unix time.
    pub fn born(&self) -> u64 {
        self.born
    }

    /// What it saw.
    pub fn counts(&self) -> Counts {
        self.lock().counts.clone()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn clock(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    pub(super) fn answer(&self, request: &Request) -> Answer {
        if request.expected_life.as_ref().is_some_and(|life| *life != self.id) {
            return (421, Value::Null);
        }
        let body = &request.body;
        let mut state = self.lock();
        state.settle(self.clock());
        let fence = body["fencing_token"].as_u64().unwrap_or(0);
        if fence < state.fence {
            return self.refuse("fence");
        }
        state.fence = fence;
        if let Some(end) = body["deadline_ms"].as_u64() {
            state.lease_end = state.lease_end.max(end.min(self.clock() + MAX_LEASE_MS));
        }
        match request.call.as_str() {
            "POST /api/run-start" => self.start(&mut state, body),
            "POST /api/run-stop" => self.stop(&mut state, body),
            "POST /api/hold" => self.hold(state, body),
            _ => (404, Value::Null),
        }
    }

    fn refuse(&self, reason: &str) -> Answer {
        (409, json!({"timestamp_ms": self.clock(), "reason": reason}))
    }

    fn start(&self, state: &mut State, body: &Value) -> Answer {
        let task = body["task"].as_str().unwrap_or_default().to_owned();
        let number = body["run_id"].as_u64().unwrap_or(0);
        if state.running.get(&task).is_some_and(|run| run.number == number) {
            return (200, json!({"timestamp_ms": self.clock()}));
        }
        if state.highest.get(&task).is_some_and(|highest| number <= *highest) {
            return self.refuse("old");
        }
        state.highest.insert(task.clone(), number);
        state.counts.starts += 1;
        state.counts.again += u64::from(state.succeeded.contains(&task));
        let text = body["spec"].as_str().unwrap_or_default();
        if text.contains("advised") && body["ticket"].is_null() {
            state.counts.without_ticket += 1;
        }
        let run_ms = text.split("ms=").nth(1).and_then(|rest| rest.split(' ').next());
        let run_ms = run_ms.and_then(|digits| digits.parse().ok()).unwrap_or(50);
        let ends = Instant::now() + Duration::from_millis(run_ms);
        state.running.insert(task, Run { number, ends });
        if state.running.len() as u32 * TASK_CPU > self.cpu {
            state.counts.over += 1;
        }
        (200, json!({"timestamp_ms": self.clock()}))
    }

    fn stop(&self, state: &mut State, body: &Value) -> Answer {
        let task = body["task"].as_str().unwrap_or_default().to_owned();
        let number = body["run_id"].as_u64().unwrap_or(0);
        if state.running.get(&task).is_some_and(|run| run.number == number) {
            state.end(&task, "stopped");
        }
        let highest = state.highest.entry(task).or_insert(0);
        *highest = number.max(*highest);
        self.changed.notify_all();
        (200, json!({"timestamp_ms": self.clock()}))
    }

    fn hold(&self, mut state: MutexGuard<'_, State>, body: &Value) -> Answer {
        let seen = body["last_seen"].as_u64().unwrap_or(0);
        state.finished.retain(|(number, ..)| *number > seen);
        let wait = Duration::from_millis(body["wait_ms"].as_u64().unwrap_or(0));
        let until = Instant::now() + wait;
        while state.finished.is_empty() && Instant::now() < until {
            let waited = self.changed.wait_timeout(state, LOOK_PAUSE);
            (state, _) = waited.unwrap_or_else(PoisonError::into_inner);
            state.settle(self.clock());
        }
        let running = state.running.iter().map(|(task, run)| json!([task, run.number, "", 50]));
        let running: Vec<Value> = running.collect();
        let finished = state.finished.iter();
        let finished = finished.map(|(at, task, run, how)| json!([at, task, run, how, ""]));
        let finished: Vec<Value> = finished.collect();
        let answer = json!({"timestamp_ms": self.clock(), "born": self.born, "running": running,
            "finished": finished});
        (200, answer)
    }
}

impl State {
    /// Ends what is due.
    fn settle(&mut self, clock: u64) {
        let now = Instant::now();
        let has_lapsed = clock > self.lease_end;
        let over = self.running.iter().filter(|(_, run)| has_lapsed || run.ends <= now);
        let over: Vec<(String, bool)> =
            over.map(|(task, run)| (task.clone(), run.ends <= now)).collect();
        for (task, is_done) in over {
            self.end(&task, if is_done { "done" } else { "lapsed" });
            if is_done {
                self.counts.done += 1;
                self.succeeded.insert(task);
            }
        }
    }

    fn end(&mut self, task: &str, how: &'static str) {
        let Some(run) = self.running.remove(task) else { return };
        self.ends += 1;
        self.finished.push((self.ends, task.to_owned(), run.number, how));
    }
}
