//! One executor as a process: runs tasks under a lease and lists running and ended runs.
//!
//! It prints a line for each thing that happens to a run, and exits when its standard input closes.
//! A line `cut MS` there partitions it from all daemons for a time; it runs on.

use std::collections::{BTreeMap, HashMap};
use std::io::Write;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{self, Reply, Request};
use crate::json::{Json, object};

/// Longest wait of a call for an end.
const MAX_WAIT_MS: u64 = 2000;

/// Most ends in a list.
const MAX_LISTED_ENDS: usize = 500;

/// Interval at which ends are noticed.
const TICK: Duration = Duration::from_millis(5);

/// Task and number of a run.
type RunKey = (String, u64);

#[derive(Debug)]
struct Run {
    started: Instant,
    due: Instant,
    /// How it ends when it is due.
    how: &'static str,
}

#[derive(Debug)]
struct End {
    number: u64,
    run: RunKey,
    how: &'static str,
}

#[derive(Debug, Default)]
struct State {
    running: BTreeMap<RunKey, Run>,
    /// Ends that no call has taken note of.
    finished: Vec<End>,
    last_number: u64,
    /// Highest run of each task that was started or stopped here.
    highest: HashMap<String, u64>,
    fencing_token: u64,
    lease_end: Option<Instant>,
}

/// An executor in one of its lives.
#[derive(Debug)]
struct Worker {
    id: String,
    /// Start of this life by the machine's time of day, in Unix ms.
    born: u64,
    started: Instant,
    /// Longest lease (`max_hold_ms`).
    max_hold: Duration,
    state: Mutex<State>,
    ended: Condvar,
    cut_until: Mutex<Option<Instant>>,
}

/// Serves an executor until standard input closes.
///
/// `clock_ms` is what the machine's time of day is ahead by.
pub fn run(id: &str, listen: SocketAddr, clock_ms: i64, max_hold: Duration) -> std::io::Result<()> {
    let unix_ms = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis();
    let worker = Arc::new(Worker {
        id: id.to_owned(),
        born: (unix_ms as i64 + clock_ms) as u64,
        started: Instant::now(),
        max_hold,
        state: Mutex::default(),
        ended: Condvar::new(),
        cut_until: Mutex::default(),
    });
    let own = Arc::clone(&worker);
    http::serve(listen, move |request| own.handle_over_link(request))?;
    print(&format!("up {}", worker.born));
    let own = Arc::clone(&worker);
    std::thread::spawn(move || {
        loop {
            std::thread::sleep(TICK);
            own.settle(&mut own.lock());
        }
    });
    for line in std::io::stdin().lines() {
        if let Some(time_ms) = line?.strip_prefix("cut ").and_then(|text| text.parse().ok()) {
            *worker.cut() = Some(Instant::now() + Duration::from_millis(time_ms));
        }
    }
    Ok(())
}

fn print(line: &str) {
    let mut output = std::io::stdout().lock();
    if writeln!(output, "{line}").and_then(|()| output.flush()).is_err() {
        std::process::exit(1);
    }
}

impl Worker {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn cut(&self) -> MutexGuard<'_, Option<Instant>> {
        self.cut_until.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Handles a request; while the link is cut, requests and responses are lost.
    fn handle_over_link(&self, request: &Request) -> Reply {
        let remaining = || {
            self.cut().map_or(Duration::ZERO, |end| end.saturating_duration_since(Instant::now()))
        };
        let mut wait = remaining();
        if wait.is_zero() {
            let reply = self.handle(request);
            wait = remaining();
            if wait.is_zero() {
                return reply;
            }
        }
        std::thread::sleep(wait);
        (http::NO_RESPONSE, Json::Null)
    }

    fn reply(&self, status: u16, reason: &str) -> Reply {
        let clock_ms: Json = (self.started.elapsed().as_millis() as u64).into();
        if reason.is_empty() {
            return (status, object([("timestamp_ms", clock_ms)]));
        }
        (status, object([("timestamp_ms", clock_ms), ("reason", reason.into())]))
    }

    /// Ends the runs that are due, and all once the lease has expired.
    fn settle(&self, state: &mut State) {
        let now = Instant::now();
        let expiry = state.lease_end.filter(|end| *end <= now);
        let last = expiry.unwrap_or(now);
        let due = state.running.iter().filter(|(_, run)| run.due <= last);
        let due: Vec<_> = due.map(|(key, run)| (key.clone(), run.how)).collect();
        for (key, how) in due {
            self.end(state, &key, how);
        }
        if expiry.is_some() {
            state.lease_end = None;
            let lapsed: Vec<RunKey> = state.running.keys().cloned().collect();
            for key in lapsed {
                self.end(state, &key, "lapsed");
            }
        }
    }

    fn end(&self, state: &mut State, key: &RunKey, how: &'static str) {
        if state.running.remove(key).is_none() {
            return;
        }
        state.last_number += 1;
        let number = state.last_number;
        state.finished.push(End { number, run: key.clone(), how });
        print(&format!("ended {} {} {how} {number}", key.0, key.1));
        self.ended.notify_all();
    }

    fn handle(&self, request: &Request) -> Reply {
        if request.headers.get("expect-instance").is_some_and(|id| *id != self.id) {
            return (421, Json::Null);
        }
        let body = &request.body;
        let mut state = self.lock();
        self.settle(&mut state);
        let token = body.get("fencing_token").number().unwrap_or(0);
        if token < state.fencing_token {
            return self.reply(409, "fence");
        }
        state.fencing_token = token;
        if let Some(deadline_ms) = body.get("deadline_ms").number() {
            let now = Instant::now();
            let end = (self.started + Duration::from_millis(deadline_ms)).min(now + self.max_hold);
            if end > now && state.lease_end.is_none_or(|present| end > present) {
                state.lease_end = Some(end);
            }
        }
        let run = (body.get("task").text().to_owned(), body.get("run_id").number().unwrap_or(0));
        match request.call.as_str() {
            "POST /api/run-start" => self.start(&mut state, body, run),
            "POST /api/run-stop" => {
                self.end(&mut state, &run, "stopped");
                let highest = state.highest.entry(run.0).or_default();
                *highest = run.1.max(*highest);
                self.reply(200, "")
            }
            "POST /api/hold" => self.hold(state, body),
            _ => (404, Json::Null),
        }
    }

    fn start(&self, state: &mut State, body: &Json, run: RunKey) -> Reply {
        if state.running.contains_key(&run) {
            return self.reply(200, "");
        }
        if state.highest.get(&run.0).is_some_and(|highest| run.1 <= *highest) {
            return self.reply(409, "old");
        }
        let deadline = Duration::from_millis(body.get("deadline_ms").number().unwrap_or(0));
        if deadline <= self.started.elapsed() {
            return self.reply(409, "late");
        }
        let spec = body.get("spec").text();
        let mut times = spec.split(' ').filter_map(|word| word.strip_prefix("ms=")?.parse().ok());
        let time = Duration::from_millis(times.next().unwrap_or(50));
        let how = if spec.split(' ').any(|word| word == "fail") { "failed" } else { "done" };
        let now = Instant::now();
        state.highest.insert(run.0.clone(), run.1);
        print(&format!("started {} {}", run.0, run.1));
        state.running.insert(run, Run { started: now, due: now + time, how });
        self.reply(200, "")
    }

    fn hold(&self, mut state: MutexGuard<'_, State>, body: &Json) -> Reply {
        let seen = body.get("last_seen").number().unwrap_or(0);
        let noted = state.finished.partition_point(|end| end.number <= seen);
        if noted > 0 {
            print(&format!("noted {seen}"));
        }
        state.finished.drain(..noted);
        let wait_ms = body.get("wait_ms").number().unwrap_or(0).min(MAX_WAIT_MS);
        let has_none = |state: &mut State| state.finished.is_empty();
        let wait = Duration::from_millis(wait_ms);
        let waited = self.ended.wait_timeout_while(state, wait, has_none);
        let (state, _) = waited.unwrap_or_else(PoisonError::into_inner);
        let running = state.running.iter().map(|((task, run), at)| {
            let whole = (at.due - at.started).as_millis().max(1);
            let percent = (at.started.elapsed().as_millis() * 100 / whole).min(99) as u64;
            let saved = Json::from("");
            Json::List(vec![task.as_str().into(), (*run).into(), saved, percent.into(), 0.into()])
        });
        let finished = state.finished.iter().take(MAX_LISTED_ENDS).map(|end| {
            let (task, run) = (end.run.0.as_str().into(), end.run.1.into());
            Json::List(vec![end.number.into(), task, run, end.how.into(), "".into()])
        });
        let body = object([
            ("timestamp_ms", (self.started.elapsed().as_millis() as u64).into()),
            ("born", self.born.into()),
            ("running", running.collect::<Vec<_>>().into()),
            ("finished", finished.collect::<Vec<_>>().into()),
        ]);
        (200, body)
    }
}
