//! Stand-in of an executor: runs tasks under a lease, lists running and ended runs.

use std::collections::{BTreeMap, HashMap};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Request, Server};
use crate::json::{Json, object};
use crate::record::Record;
use crate::store::Store;

/// Longest lease, in ms: `max_hold_ms`.
const MAX_LEASE_MS: u64 = 10_000;

/// Interval at which a worker looks for ends.
const TICK: Duration = Duration::from_millis(5);

/// Interval of a worker's writes to the store: `heartbeat_ms`.
const HEARTBEAT: Duration = Duration::from_millis(1500);

/// Work after which a task has a new checkpoint: `checkpoint_interval_s`.
const CHECKPOINT_MS: u64 = 2000;

/// Most ends in a response.
const MAX_ENDS: usize = 500;

#[derive(Clone)]
pub struct Run {
    pub run_id: u64,
    pub began: Instant,
    ends: Instant,
    has_checkpoints: bool,
}

struct End {
    number: u64,
    task: String,
    run_id: u64,
    how: &'static str,
    saved: String,
}

/// What one incarnation knows.
struct State {
    born_ms: u64,
    started: Instant,
    token: u64,
    lease_end_ms: u64,
    running: BTreeMap<String, Run>,
    ends: Vec<End>,
    last_number: u64,
    /// Highest run that ended or was stopped, by task.
    highest: HashMap<String, u64>,
    labels: Vec<String>,
    sequence: u64,
}

pub struct Worker {
    pub id: String,
    cpu: u64,
    state: Mutex<State>,
    changed: Condvar,
    is_up: AtomicBool,
    /// Whether it answers each start 503, as an unhealthy executor does.
    is_sick: AtomicBool,
    refused: AtomicU64,
    store: Arc<Store>,
    record: Arc<Record>,
    pub server: std::sync::OnceLock<Arc<Server>>,
    /// Label that a task's spec asks for and the worker lacked at the start: task and label.
    pub misplaced: Mutex<Vec<String>>,
    /// Whether each start and end is written to the record.
    is_recorded: bool,
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

fn new_state(labels: Vec<String>) -> State {
    State {
        born_ms: unix_ms(),
        started: Instant::now(),
        token: 0,
        lease_end_ms: 0,
        running: BTreeMap::new(),
        ends: Vec::new(),
        last_number: 0,
        highest: HashMap::new(),
        labels,
        sequence: 0,
    }
}

impl State {
    fn clock_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    fn checkpoint(&self, run: &Run) -> String {
        let saved = run.began.elapsed().as_millis() as u64 / CHECKPOINT_MS;
        if run.has_checkpoints && saved > 0 {
            format!("{:08x}{:08x}", saved, run.run_id)
        } else {
            String::new()
        }
    }

    fn end(&mut self, task: &str, how: &'static str) {
        let Some(run) = self.running.get(task).cloned() else { return };
        let saved = self.checkpoint(&run);
        self.running.remove(task);
        self.last_number += 1;
        let highest = self.highest.entry(task.to_owned()).or_insert(0);
        *highest = run.run_id.max(*highest);
        self.ends.push(End {
            number: self.last_number,
            task: task.to_owned(),
            run_id: run.run_id,
            how,
            saved,
        });
    }
}

impl Worker {
    pub fn start(
        id: &str,
        cpu: u64,
        labels: &[&str],
        store: &Arc<Store>,
        record: &Arc<Record>,
        is_recorded: bool,
    ) -> Arc<Self> {
        let labels = labels.iter().map(|label| (*label).to_owned()).collect();
        let worker = Arc::new(Self {
            id: id.to_owned(),
            cpu,
            state: Mutex::new(new_state(labels)),
            changed: Condvar::new(),
            is_up: AtomicBool::new(true),
            is_sick: AtomicBool::new(false),
            refused: AtomicU64::new(0),
            store: Arc::clone(store),
            record: Arc::clone(record),
            server: std::sync::OnceLock::new(),
            misplaced: Mutex::default(),
            is_recorded,
        });
        let own = Arc::clone(&worker);
        drop(worker.server.set(Server::start(move |request| own.handle(request))));
        worker.register();
        let own = Arc::clone(&worker);
        std::thread::spawn(move || own.run_clock());
        worker
    }

    fn server(&self) -> &Arc<Server> {
        self.server.get().expect("a started server")
    }

    /// Ends due runs, and writes heartbeats.
    fn run_clock(&self) {
        let mut next_heartbeat = Instant::now() + HEARTBEAT;
        loop {
            std::thread::sleep(TICK);
            if !self.is_up.load(Ordering::SeqCst) {
                next_heartbeat = Instant::now() + HEARTBEAT;
                continue;
            }
            let mut state = self.state.lock().unwrap();
            let (now, has_lapsed) = (Instant::now(), state.clock_ms() > state.lease_end_ms);
            let due: Vec<(String, bool)> = state
                .running
                .iter()
                .filter(|(_, run)| has_lapsed || run.ends <= now)
                .map(|(task, run)| (task.clone(), run.ends <= now))
                .collect();
            for (task, is_done) in &due {
                let how = if *is_done { "done" } else { "lapsed" };
                state.end(task, how);
                self.note(|| format!("{} ends {task}: {how}", self.id));
                if *is_done {
                    let end = (self.id.clone(), state.last_number, false);
                    self.record.ledger.lock().unwrap().done.entry(task.clone()).or_insert(end);
                }
            }
            if has_lapsed && !state.ends.is_empty() {
                // What is taken note of after a lapse does not count.
                let is_kept = |end: &(String, u64, bool)| end.0 != self.id || end.2;
                self.record.ledger.lock().unwrap().done.retain(|_, end| is_kept(end));
            }
            drop(state);
            if !due.is_empty() {
                self.changed.notify_all();
            }
            if now >= next_heartbeat {
                next_heartbeat = now + HEARTBEAT;
                self.register();
            }
        }
    }

    fn note(&self, line: impl FnOnce() -> String) {
        if self.is_recorded {
            self.record.write(&line());
        }
    }

    /// Writes the worker's row in the store.
    fn register(&self) {
        let mut state = self.state.lock().unwrap();
        state.sequence += 1;
        let labels = state.labels.iter().map(|label| label.as_str().into()).collect();
        let entry = object([
            ("service", "flowcheck".into()),
            ("address", self.server().address.to_string().into()),
            ("zone", "bilbao-a".into()),
            ("version", "v1".into()),
            ("slots", 8.into()),
            ("state", "ready".into()),
            ("cold_remaining_ms", 0.into()),
            (
                "capacity",
                object([("cpu", self.cpu.into()), ("mem_mb", 131_072.into()), ("gpus", 0.into())]),
            ),
            ("labels", Json::List(labels)),
            ("timestamp_ms", state.clock_ms().into()),
            ("born", state.born_ms.into()),
            ("sequence", state.sequence.into()),
        ]);
        self.store.put("servers", &self.id, &entry);
    }

    /// Ends the worker's process.
    pub fn crash(&self) {
        self.record.write(&format!("{} crashes", self.id));
        self.is_up.store(false, Ordering::SeqCst);
        self.server().close();
        self.state.lock().unwrap().running.clear();
    }

    /// Starts the worker again under its id, of a kind.
    pub fn restart(&self, labels: &[&str]) {
        let labels: Vec<String> = labels.iter().map(|label| (*label).to_owned()).collect();
        self.record.write(&format!("{} starts again, labels {labels:?}", self.id));
        *self.state.lock().unwrap() = new_state(labels);
        self.register();
        self.is_up.store(true, Ordering::SeqCst);
        self.server().open();
    }

    /// Lets the worker refuse all starts, or take them again; returns those that it has refused.
    pub fn set_sick(&self, is_sick: bool) -> u64 {
        self.is_sick.store(is_sick, Ordering::SeqCst);
        self.refused.load(Ordering::SeqCst)
    }

    /// Runs at work, by task.
    pub fn running(&self) -> BTreeMap<String, Run> {
        self.state.lock().unwrap().running.clone()
    }

    fn handle(&self, request: &Request) -> (u16, Json) {
        if request.headers.get("expect-instance").is_some_and(|id| *id != self.id) {
            return (421, Json::Null);
        }
        let body = &request.body;
        let mut state = self.state.lock().unwrap();
        let token = body.get("fencing_token").number().unwrap_or(0);
        if token < state.token {
            return refusal(&state, "fence");
        }
        state.token = token;
        if let Some(end) = body.get("deadline_ms").number() {
            let longest = state.clock_ms() + MAX_LEASE_MS;
            state.lease_end_ms = state.lease_end_ms.max(end.min(longest));
        }
        match request.call.as_str() {
            "POST /api/run-start" if self.is_sick.load(Ordering::SeqCst) => {
                self.refused.fetch_add(1, Ordering::SeqCst);
                (503, Json::Null)
            }
            "POST /api/run-start" => self.start_run(&mut state, body),
            "POST /api/run-stop" => {
                let (task, run) =
                    (body.get("task").text(), body.get("run_id").number().unwrap_or(0));
                self.note(|| {
                    format!("{} is told to stop {task} run {run}, token {token}", self.id)
                });
                if state.running.get(task).is_some_and(|own| own.run_id == run) {
                    state.end(task, "stopped");
                    self.note(|| format!("{} ends {task}: stopped", self.id));
                }
                let highest = state.highest.entry(task.to_owned()).or_insert(0);
                *highest = run.max(*highest);
                self.changed.notify_all();
                (200, object([("timestamp_ms", state.clock_ms().into())]))
            }
            "POST /api/hold" => {
                let seen = body.get("last_seen").number().unwrap_or(0);
                let (noted, ends) =
                    std::mem::take(&mut state.ends).into_iter().partition(|end| end.number <= seen);
                state.ends = ends;
                self.take_note(noted);
                let wait = body.get("wait_ms").number().unwrap_or(0).min(2000);
                let until = Instant::now() + Duration::from_millis(wait);
                let born = state.born_ms;
                while state.ends.is_empty() && state.born_ms == born {
                    let left = until.saturating_duration_since(Instant::now());
                    if left.is_zero() {
                        break;
                    }
                    state = self.changed.wait_timeout(state, left).unwrap().0;
                }
                (200, lists(&state))
            }
            _ => (404, Json::Null),
        }
    }

    /// Records ends that the system has taken note of.
    fn take_note(&self, ends: Vec<End>) {
        let mut ledger = self.record.ledger.lock().unwrap();
        for end in ends {
            if let Some(done) = ledger.done.get_mut(&end.task)
                && done.0 == self.id
                && done.1 == end.number
            {
                done.2 = true;
            }
        }
    }

    fn start_run(&self, state: &mut State, body: &Json) -> (u16, Json) {
        let (task, run_id) = (body.get("task").text(), body.get("run_id").number().unwrap_or(0));
        let answer = object([("timestamp_ms", state.clock_ms().into())]);
        if state.running.get(task).is_some_and(|run| run.run_id == run_id) {
            return (200, answer);
        }
        if state.running.contains_key(task)
            || state.highest.get(task).is_some_and(|run| run_id <= *run)
        {
            return refusal(state, "old");
        }
        if body.get("deadline_ms").number().is_none_or(|end| end < state.clock_ms()) {
            return refusal(state, "late");
        }
        let spec = body.get("spec").text();
        let field = |name: &str| {
            let text = spec.split(' ').find_map(|word| word.strip_prefix(name));
            text.map(str::to_owned)
        };
        let number = |name: &str| field(name).and_then(|text| text.parse::<u64>().ok());
        // Tasks last `ms`; each `every`th one lasts a time of its own, spread over `spread` ms.
        let index: u64 = task.rsplit('.').next().and_then(|text| text.parse().ok()).unwrap_or(0);
        let mut ms = number("ms=").unwrap_or(500);
        if let (Some(every), Some(spread)) = (number("every="), number("spread="))
            && index % every == 0
        {
            ms = 1500 + index * 7919 % spread;
        }
        let mut ledger = self.record.ledger.lock().unwrap();
        if let Some((worker, number, is_noted)) = ledger.done.get(task) {
            self.record.write_sampled(&format!(
                "{} starts {task} run {run_id}, which has ended done at {worker} (end {number}, \
                 taken note of: {is_noted})",
                self.id
            ));
            ledger.started_again.push((task.to_owned(), self.id.clone()));
        }
        drop(ledger);
        let now = Instant::now();
        let run = Run {
            run_id,
            began: now,
            ends: now + Duration::from_millis(ms),
            has_checkpoints: spec.contains("checkpoints"),
        };
        state.running.insert(task.to_owned(), run);
        let token = state.token;
        self.note(|| format!("{} starts {task} run {run_id}, token {token}", self.id));
        if let Some(label) = field("label=").filter(|label| !state.labels.contains(label)) {
            let what = format!(
                "{} with labels {:?} starts {task}, which requires {label}",
                self.id, state.labels
            );
            self.record.write(&format!("BROKEN: {what}"));
            self.misplaced.lock().unwrap().push(what);
        }
        (200, answer)
    }
}

fn refusal(state: &State, reason: &str) -> (u16, Json) {
    (409, object([("timestamp_ms", state.clock_ms().into()), ("reason", reason.into())]))
}

fn lists(state: &State) -> Json {
    let running = state.running.iter().map(|(task, run)| {
        let percent =
            run.began.elapsed().as_millis() * 100 / (run.ends - run.began).as_millis().max(1);
        let saved = state.checkpoint(run);
        Json::List(vec![
            task.as_str().into(),
            run.run_id.into(),
            saved.into(),
            (percent as u64).min(99).into(),
            0.into(),
        ])
    });
    let ends = state.ends.iter().take(MAX_ENDS).map(|end| {
        Json::List(vec![
            end.number.into(),
            end.task.as_str().into(),
            end.run_id.into(),
            end.how.into(),
            end.saved.as_str().into(),
        ])
    });
    object([
        ("timestamp_ms", state.clock_ms().into()),
        ("born", state.born_ms.into()),
        ("running", Json::List(running.collect())),
        ("finished", Json::List(ends.collect())),
    ])
}
