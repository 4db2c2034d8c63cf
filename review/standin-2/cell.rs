//! A small deployment of real processes on loopback: daemons, executors, and the platform's store.

use std::collections::{BTreeMap, BTreeSet};
use std::fs::File;
use std::io::{BufRead, BufReader, Error, Result, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use crate::http::{Call, Response};
use crate::json::{Json, object};
use crate::store::Store;

/// Program of a daemon, as in the deploy file.
const DAEMON: &str = "target/release/bronzerail-platform";

/// Daemons of a deployment.
const DAEMONS: u8 = 3;

/// Cores of an executor, in thousandths.
pub const EXECUTOR_CPU: u64 = 16_000;

/// Interval at which executors write their entries (`heartbeat_ms`).
const HEARTBEAT: Duration = Duration::from_millis(1500);

/// Silence after which an entry is removed.
const ENTRY_EXPIRY: Duration = Duration::from_millis(4500);

/// Host and path prefix of the queue.
pub const QUEUE: (&str, &str) = ("plain.example", "/plain/");

/// Failed runs of a task after which its job may fail (`max_attempts`).
pub const MAX_ATTEMPTS: usize = 3;

/// Longest time of a case; then all its processes are ended.
const MAX_TIME: Duration = Duration::from_secs(112);

/// How long a client waits for a response.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(3);

/// Lines of a daemon's log that the record has if it is not ready in time.
const MAX_LOG_LINES: usize = 40;

/// Status with which a case ends that could not run.
pub const COULD_NOT_RUN: i32 = 2;

/// Lines of what was sent, answered and run.
#[derive(Debug)]
pub struct Record {
    started: Instant,
    file: Mutex<File>,
}

impl Record {
    /// Adds a line.
    pub fn add(&self, line: &str) {
        let at_s = self.started.elapsed().as_secs_f64();
        let mut file = lock(&self.file);
        if writeln!(file, "{at_s:8.3} {line}").is_err() {
            eprintln!("cannot write the record");
            std::process::exit(COULD_NOT_RUN);
        }
    }
}

/// Something that happened to a run.
#[derive(Debug, Clone, PartialEq)]
pub enum Kind {
    /// The executor began it.
    Started,
    /// It ended in this way.
    Ended(String),
    /// Its executor was killed.
    Killed,
}

/// What an executor printed, or what became of it.
#[derive(Debug, Clone)]
pub struct Event {
    pub at: Instant,
    pub executor: String,
    pub task: String,
    pub run: u64,
    pub kind: Kind,
}

/// What all executors did, in order.
#[derive(Debug, Default)]
pub struct Events {
    pub runs: Vec<Event>,
    /// Ends that were listed, and those that were taken note of, by executor.
    pub ends: BTreeMap<String, (u64, u64)>,
}

/// An executor to start.
#[derive(Debug, Clone)]
pub struct Executor {
    pub id: String,
    /// Its kind, which is the first of its labels.
    pub kind: &'static str,
}

/// Entry of an executor in the store.
#[derive(Debug)]
struct Entry {
    address: SocketAddr,
    labels: Vec<String>,
    born: u64,
    sequence: u64,
    is_alive: bool,
    written: Instant,
}

impl Entry {
    fn row(&self) -> Json {
        let labels = self.labels.iter().map(|label| label.as_str().into());
        object([
            ("service", "service".into()),
            ("address", self.address.to_string().into()),
            ("zone", "zone-a".into()),
            ("version", "v1".into()),
            ("slots", 8.into()),
            ("state", "ready".into()),
            ("cold_remaining_ms", 0.into()),
            (
                "capacity",
                object([
                    ("cpu", EXECUTOR_CPU.into()),
                    ("mem_mb", 64_000.into()),
                    ("gpus", 0.into()),
                ]),
            ),
            ("labels", labels.collect::<Vec<_>>().into()),
            ("sequence", self.sequence.into()),
            ("born", self.born.into()),
        ])
    }
}

type Entries = Arc<Mutex<BTreeMap<String, Entry>>>;
type Children = Arc<Mutex<BTreeMap<String, Child>>>;

/// The deployment; its processes end when it is dropped.
pub struct Cell {
    pub record: Arc<Record>,
    pub events: Arc<Mutex<Events>>,
    pub store: Arc<Store>,
    folder: PathBuf,
    /// Longest lease (`max_hold_ms`).
    max_hold: Duration,
    entries: Entries,
    children: Children,
    /// Addresses at which daemons take callers' requests.
    pub callers: Vec<SocketAddr>,
}

/// Locks a mutex, whatever became of other threads.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Finds a free port of a loopback address that no other case uses at the same time.
fn free_port(host: u8) -> Result<SocketAddr> {
    let case = std::process::id();
    let [high, low] = [case / 250 % 250 + 1, case % 250 + 1].map(|part| part as u8);
    TcpListener::bind((Ipv4Addr::new(127, high, low, host), 0))?.local_addr()
}

impl Cell {
    /// Starts the store, the executors and the daemons; waits until all are ready.
    pub fn start(record: &str, executors: &[Executor]) -> Result<Self> {
        Self::start_with(record, executors, Duration::from_millis(10_000))
    }

    /// The same with another longest lease.
    pub fn start_with(record: &str, executors: &[Executor], max_hold: Duration) -> Result<Self> {
        let record =
            Arc::new(Record { started: Instant::now(), file: Mutex::new(File::create(record)?) });
        let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        let (store, store_address) = Store::start()?;
        store.put("op", "config", &config());
        let mut cell = Self {
            record,
            events: Arc::default(),
            store,
            folder,
            max_hold,
            entries: Arc::default(),
            children: Arc::default(),
            callers: Vec::new(),
        };
        cell.watch_time();
        cell.write_heartbeats();
        for executor in executors {
            cell.add_executor(executor, 0)?;
        }
        for number in 1..=DAEMONS {
            cell.start_daemon(number, store_address)?;
        }
        Ok(cell)
    }

    /// Starts an executor at an address that it keeps.
    pub fn add_executor(&self, executor: &Executor, clock_ms: i64) -> Result<()> {
        let entry = Entry {
            // At an address of its own, no outgoing connection takes its port while it is down.
            address: free_port(100 + lock(&self.entries).len() as u8)?,
            labels: vec![executor.kind.to_owned(), "r1".to_owned()],
            born: 0,
            sequence: 0,
            is_alive: false,
            written: Instant::now(),
        };
        lock(&self.entries).insert(executor.id.clone(), entry);
        self.start_executor(&executor.id, clock_ms)
    }

    /// Ends all processes when a case takes too long.
    fn watch_time(&self) {
        let (children, record) = (Arc::clone(&self.children), Arc::clone(&self.record));
        std::thread::spawn(move || {
            std::thread::sleep(MAX_TIME);
            record.add("the case took too long");
            end_all(&children);
            std::process::exit(COULD_NOT_RUN);
        });
    }

    /// Writes the entries of executors that run, and removes those that have been silent.
    fn write_heartbeats(&self) {
        let (entries, store) = (Arc::clone(&self.entries), Arc::clone(&self.store));
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(100));
                for (id, entry) in lock(&entries).iter_mut() {
                    if entry.is_alive && entry.written.elapsed() >= HEARTBEAT {
                        entry.sequence += 1;
                        entry.written = Instant::now();
                        store.put("servers", id, &entry.row());
                    } else if !entry.is_alive
                        && entry.sequence > 0
                        && entry.written.elapsed() >= ENTRY_EXPIRY
                    {
                        entry.sequence = 0;
                        store.remove("servers", id);
                    }
                }
            }
        });
    }

    /// Starts an executor at its address under its id; its machine's time of day is ahead by
    /// `clock_ms`.
    pub fn start_executor(&self, id: &str, clock_ms: i64) -> Result<()> {
        let address = lock(&self.entries)[id].address;
        let mut command = Command::new(std::env::current_exe()?);
        let max_hold_ms = self.max_hold.as_millis().to_string();
        let (address, clock_ms) = (address.to_string(), clock_ms.to_string());
        command.args(["executor", id, &address, &clock_ms, &max_hold_ms]);
        let mut child = command.stdin(Stdio::piped()).stdout(Stdio::piped()).spawn()?;
        let output = child.stdout.take().ok_or_else(|| Error::other("no output"))?;
        lock(&self.children).insert(id.to_owned(), child);
        let mut lines = BufReader::new(output).lines();
        let first = lines.next().ok_or_else(|| Error::other("the executor ended"))??;
        let born = first.strip_prefix("up ").and_then(|text| text.parse().ok());
        let born: u64 = born.ok_or_else(|| Error::other("the executor is not up"))?;
        self.record.add(&format!("executor {id} is up, born {born}"));
        if let Some(entry) = lock(&self.entries).get_mut(id) {
            (entry.born, entry.sequence, entry.is_alive) = (born, 1, true);
            entry.written = Instant::now();
            self.store.put("servers", id, &entry.row());
        }
        let (events, record) = (Arc::clone(&self.events), Arc::clone(&self.record));
        let executor = id.to_owned();
        std::thread::spawn(move || {
            for line in lines.map_while(Result::ok) {
                note(&events, &record, &executor, &line);
            }
        });
        Ok(())
    }

    /// Kills an executor, and all that runs on it.
    pub fn kill_executor(&self, id: &str) {
        let child = lock(&self.children).remove(id);
        if let Some(mut child) = child {
            // It may have ended already.
            drop(child.kill());
            drop(child.wait());
        }
        let now = Instant::now();
        if let Some(entry) = lock(&self.entries).get_mut(id) {
            entry.is_alive = false;
        }
        // The last lines that it printed are read by now.
        std::thread::sleep(Duration::from_millis(20));
        self.record.add(&format!("executor {id} is killed"));
        let mut events = lock(&self.events);
        for (task, run) in events.running_on(id) {
            self.record.add(&format!("{id} killed {task} run {run}"));
            let kind = Kind::Killed;
            events.runs.push(Event { at: now, executor: id.to_owned(), task, run, kind });
        }
    }

    /// Partitions an executor from all daemons for a time; it runs on, and reaches the store.
    pub fn cut_executor(&self, id: &str, time: Duration) -> Result<()> {
        self.record.add(&format!("executor {id} is cut off from all daemons for {time:?}"));
        let mut children = lock(&self.children);
        let input = children.get_mut(id).and_then(|child| child.stdin.as_mut());
        let input = input.ok_or_else(|| Error::other("the executor does not run"))?;
        writeln!(input, "cut {}", time.as_millis())
    }

    fn start_daemon(&mut self, number: u8, store: SocketAddr) -> Result<()> {
        let host = 20 + number;
        let (callers, readiness, peers) = (free_port(host)?, free_port(host)?, free_port(host)?);
        let name = format!("frontend-{number}");
        let settings = settings(&name, [callers, readiness, peers], store, self.max_hold);
        let path = self.folder.join(format!("{name}.toml"));
        std::fs::write(&path, settings)?;
        let log = File::create(self.folder.join(format!("{name}.log")))?;
        let mut command = Command::new(DAEMON);
        command.env("BRONZERAIL_CONFIG", &path).stdin(Stdio::null()).stdout(log.try_clone()?);
        let child = command.stderr(log).spawn()?;
        lock(&self.children).insert(name.clone(), child);
        let deadline = Instant::now() + Duration::from_secs(20);
        let ready = Call {
            address: readiness,
            method: "GET",
            host: "readiness",
            path: "/api/ready",
            body: None,
            timeout: Duration::from_secs(1),
        };
        while !ready.send().is_ok_and(|response| response.status == 200) {
            if Instant::now() > deadline {
                let log = std::fs::read_to_string(self.folder.join(format!("{name}.log")));
                for line in log.unwrap_or_default().lines().take(MAX_LOG_LINES) {
                    self.record.add(&format!("{name}: {line}"));
                }
                return Err(Error::other(format!("{name} is not ready")));
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        self.record.add(&format!("daemon {name} is ready"));
        self.callers.push(callers);
        Ok(())
    }

    /// A client's call at a daemon.
    pub fn call(
        &self,
        daemon: usize,
        method: &str,
        id: &str,
        body: Option<&Json>,
    ) -> Result<Response> {
        let call = Call {
            address: self.callers[daemon % self.callers.len()],
            method,
            host: QUEUE.0,
            path: &format!("{}{id}", QUEUE.1),
            body,
            timeout: CLIENT_TIMEOUT,
        };
        let response = call.send();
        let told = match &response {
            Ok(response) => format!("{} {}", response.status, response.body),
            Err(error) => format!("no response: {error}"),
        };
        self.record.add(&format!("{method} {id} at daemon {daemon}: {told}"));
        response
    }

    /// Hands a job in until it is accepted; false if it is not within a time.
    pub fn submit(&self, first_daemon: usize, id: &str, body: &Json) -> bool {
        for attempt in 0..5 {
            match self.call(first_daemon + attempt, "POST", id, Some(body)) {
                Ok(response) if response.status == 200 => return true,
                Ok(Response { retry_after: Some(seconds), .. }) => {
                    std::thread::sleep(Duration::from_secs(seconds));
                }
                _ => std::thread::sleep(Duration::from_millis(200)),
            }
        }
        false
    }

    /// The state of a job; empty if no daemon tells it.
    pub fn state(&self, id: &str) -> String {
        for daemon in 0..self.callers.len() {
            if let Ok(response) = self.call(daemon, "GET", id, None)
                && response.status == 200
            {
                return response.body.get("state").text().to_owned();
            }
        }
        String::new()
    }

    /// Waits for the first start of a task after a time; `None` if there is none in time.
    pub fn await_start(&self, task: &str, after: Instant, most: Duration) -> Option<Event> {
        let deadline = Instant::now() + most;
        while Instant::now() < deadline {
            let events = lock(&self.events);
            let mut starts = events.runs.iter().filter(|event| event.kind == Kind::Started);
            if let Some(start) = starts.find(|event| event.task == task && event.at > after) {
                return Some(start.clone());
            }
            drop(events);
            std::thread::sleep(Duration::from_millis(10));
        }
        None
    }

    /// Copies the daemons' logs to a folder, for whoever wants to see the cause.
    pub fn keep_logs(&self) {
        if let Ok(folder) = std::env::var("KEEP_LOGS") {
            for number in 1..=self.callers.len() {
                let name = format!("frontend-{number}.log");
                drop(std::fs::copy(self.folder.join(&name), PathBuf::from(&folder).join(&name)));
            }
        }
    }
}

impl Drop for Cell {
    fn drop(&mut self) {
        self.keep_logs();
        end_all(&self.children);
        // A folder that cannot be removed does no harm.
        drop(std::fs::remove_dir_all(&self.folder));
    }
}

fn end_all(children: &Children) {
    for child in lock(children).values_mut() {
        // It may have ended already.
        drop(child.kill());
        drop(child.wait());
    }
}

/// Takes note of a line that an executor printed.
fn note(events: &Mutex<Events>, record: &Record, executor: &str, line: &str) {
    let words: Vec<&str> = line.split(' ').collect();
    let at = Instant::now();
    record.add(&format!("{executor} {line}"));
    let mut events = lock(events);
    let mut add = |task: &str, run: &str, kind: Kind| {
        let (executor, task) = (executor.to_owned(), task.to_owned());
        let run = run.parse().unwrap_or(0);
        events.runs.push(Event { at, executor, task, run, kind });
    };
    match words.as_slice() {
        ["started", task, run] => add(task, run, Kind::Started),
        ["ended", task, run, how, number] => {
            add(task, run, Kind::Ended((*how).to_owned()));
            let ends = events.ends.entry(executor.to_owned()).or_default();
            ends.0 = number.parse().unwrap_or(0);
        }
        ["noted", number] => {
            let ends = events.ends.entry(executor.to_owned()).or_default();
            ends.1 = number.parse().unwrap_or(0);
        }
        _ => {}
    }
}

impl Events {
    /// Runs that an executor has begun and not ended, as task and number.
    pub fn running_on(&self, executor: &str) -> Vec<(String, u64)> {
        let mut running = Vec::new();
        for event in self.runs.iter().filter(|event| event.executor == executor) {
            let run = (event.task.clone(), event.run);
            if event.kind == Kind::Started {
                running.push(run);
            } else {
                running.retain(|other| *other != run);
            }
        }
        running
    }

    /// Runs that are not known to have ended, as task and number.
    pub fn running(&self) -> Vec<(String, u64)> {
        let executors: BTreeSet<&str> = self.runs.iter().map(|event| &*event.executor).collect();
        executors.into_iter().flat_map(|executor| self.running_on(executor)).collect()
    }

    /// Times for which two runs of a task were there at the same time, each with what ran.
    pub fn overlaps(&self) -> Vec<(Duration, String)> {
        let mut open: BTreeMap<(&str, &str), &Event> = BTreeMap::new();
        let mut overlaps = Vec::new();
        let mut runs = Vec::new();
        for event in &self.runs {
            let key = (event.executor.as_str(), event.task.as_str());
            if event.kind == Kind::Started {
                open.insert(key, event);
            } else if let Some(start) = open.remove(&key) {
                runs.push((start, event.at));
            }
        }
        let now = Instant::now();
        runs.extend(open.into_values().map(|start| (start, now)));
        for (index, (first, first_end)) in runs.iter().enumerate() {
            for (second, second_end) in &runs[index + 1..] {
                let from = first.at.max(second.at);
                let time = (*first_end).min(*second_end).saturating_duration_since(from);
                if first.task == second.task && !time.is_zero() {
                    let told = format!(
                        "task {} run {} on {} and run {} on {}",
                        first.task, first.run, first.executor, second.run, second.executor
                    );
                    overlaps.push((time, told));
                }
            }
        }
        overlaps
    }

    /// Whether a task has ended `done`.
    pub fn is_done(&self, task: &str) -> bool {
        let done = Kind::Ended("done".to_owned());
        self.runs.iter().any(|event| event.task == task && event.kind == done)
    }
}

/// The operator's configuration: one queue.
fn config() -> Json {
    let route = object([
        ("name", "plain".into()),
        ("host", QUEUE.0.into()),
        ("path_prefix", QUEUE.1.into()),
        ("type", "non_idempotent".into()),
        ("timeout_ms", 3000.into()),
        ("target_runtime_ms", 1000.into()),
        ("priority", 1.into()),
        ("service", "service".into()),
        ("max_attempts", (MAX_ATTEMPTS as u64).into()),
        ("stretch", Json::Number(2.2)),
    ]);
    let service = object([
        ("name", "service".into()),
        ("health_path", "/health".into()),
        ("max_connections", 64.into()),
        ("protocol", "h1".into()),
        ("tls", false.into()),
        ("admission_control", false.into()),
        ("standby", false.into()),
    ]);
    let limits = object([
        ("max_header_bytes", 16_384.into()),
        ("max_body_bytes", 262_144.into()),
        ("header_timeout_ms", 3000.into()),
        ("idle_timeout_ms", 15_000.into()),
    ]);
    object([
        ("version", 4.into()),
        ("routes", vec![route].into()),
        ("services", vec![service].into()),
        ("limits", limits),
    ])
}

/// Settings file of a daemon.
fn settings(
    name: &str,
    [callers, readiness, peers]: [SocketAddr; 3],
    store: SocketAddr,
    max_hold: Duration,
) -> String {
    format!(
        r#"node_name = "{name}"
role = "daemon"
machine_class = "frontend"
serving_roles = ["frontend"]
ip = "{ip}"
zone = "zone-a"
region = "es-north"
internal_ports = [{peers}, {peers}]
seed_nodes = []
bootstrap = true
in_tolerance = false
discovery = "platform"
entry_mode = "vip"
heartbeat_ms = 1500
commands = "invoke"
[listen_addrs]
frontend = "{callers}"
readiness = "{readiness}"
[limits]
cpu_share = 0.25
cpu_cores = 1
memory_mb = 260
max_fds = 4100
bandwidth_mbps = 1000.0
disk_mb = 0
[bounds]
max_hold_ms = {max_hold_ms}
stop_timeout_ms = 400
gang_timeout_ms = 3000
cancel_ms = 3000
status_s = 120
grace_s = 6
finish_s = 14
[platform]
address = "{store}"
form = "table"
writes_per_s = 800
reads_per_s = 2000
txn_latency_ms = 8.0
part_iops_s = 150
row_bytes = 65536
cross_shard = false
retention_s = 20
"#,
        ip = callers.ip(),
        peers = peers.port(),
        max_hold_ms = max_hold.as_millis(),
    )
}
