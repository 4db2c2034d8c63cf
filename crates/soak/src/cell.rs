//! Store, workers and daemons of one run, with a proxy between any two of them.

use std::fs::File;
use std::io::{BufRead, BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::process::{Child, ChildStdout, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use control::Head;
use rustix::process::{Pid, Signal, kill_process};
use standin::platform::event::{Event, Kind, now_us};
use standin::platform::job::Entry;
use standin::platform::{Fault, Store, View, serve_view};
use tokio::runtime::Runtime;

use crate::address::Directory;
use crate::check::Checker;
use crate::effect::{Effects, Node, State};
use crate::keys;
use crate::link::{Frames, Link, Plain};
use crate::plan::Spec;

/// Ports of a daemon, each on a loopback address of its own.
const CALLERS_PORT: u16 = 8000;
const READINESS_PORT: u16 = 8001;
const PEERS_PORT: u16 = 8002;

/// Processor capacity of a worker, in thousandths of a core.
const WORKER_CPU: u32 = 8000;

/// How often a task may fail before its job fails.
pub const MAX_ATTEMPTS: u32 = 20;

/// Interval at which workers write their rows.
const ROW_INTERVAL: Duration = Duration::from_millis(1500);

/// Time without a written row after which a worker's row is removed.
const ROW_EXPIRY: Duration = Duration::from_millis(4500);

/// Interval of the registrar's checks.
const REGISTRAR_TICK: Duration = Duration::from_millis(100);

/// Longest wait for a cell to have a leader and all workers.
const START_TIMEOUT: Duration = Duration::from_secs(40);

/// Interval at which a condition is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Result whose error says what could not be run.
pub type Result<T> = std::result::Result<T, Box<dyn std::error::Error + Send + Sync>>;

common::data! {
    /// Programs and folder of a cell.
    pub struct Paths {
        /// The daemon.
        pub daemon: PathBuf,
        /// The worker.
        pub worker: PathBuf,
        /// Folder for settings, logs and the list of process ids.
        pub folder: PathBuf,
    }
}

#[derive(Debug)]
struct Daemon {
    child: Option<Child>,
    state: State,
}

/// A worker's process and row.
#[derive(Debug)]
struct Worker {
    child: Option<Child>,
    /// Reads the process's events.
    reader: Option<JoinHandle<()>>,
    state: State,
    reaches_store: bool,
    /// Address and start of the process that is up.
    up: Option<(SocketAddr, u64)>,
    /// Start and time of the row's last writing; `None` without a row.
    row: Option<(u64, Instant)>,
    /// When the worker last could have written its row.
    last_reachable: Instant,
    sequence: u64,
}

/// What threads of the cell share.
struct Shared {
    spec: Spec,
    store: Arc<Store>,
    workers: Vec<Mutex<Worker>>,
    /// Proxies to each worker.
    worker_links: Vec<Vec<Link>>,
    checker: Arc<Mutex<Checker>>,
    /// Starts and ends of runs so far.
    changes: AtomicU64,
    is_ended: AtomicBool,
}

/// A running cell; dropping it kills its processes.
pub struct Cell {
    paths: Paths,
    shared: Arc<Shared>,
    daemons: Vec<Daemon>,
    /// Proxies between daemons and to the store, with their ends.
    links: Vec<(Node, Node, Link)>,
    /// Second and third number of the daemons' loopback addresses.
    network: [u8; 2],
    store_addresses: Vec<SocketAddr>,
    directory: Arc<Mutex<Directory>>,
    effects: Effects,
    registrar: Option<JoinHandle<()>>,
    /// Runs the proxies; the last field, so that processes end first.
    _runtime: Runtime,
}

/// A daemon's view of the store.
struct DaemonView {
    directory: Arc<Mutex<Directory>>,
    daemon: usize,
}

impl View for DaemonView {
    fn rewrite(&self, table: &str, key: &str, value: Vec<u8>) -> Vec<u8> {
        lock(&self.directory).rewrite_row(self.daemon, table, key, value)
    }
}

/// Locks a mutex, also after a panic of another thread.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Name of a daemon.
fn daemon_name(daemon: usize) -> String {
    format!("daemon-{daemon}")
}

/// Id of a worker.
fn worker_id(worker: usize) -> String {
    format!("w-{worker}")
}

impl Cell {
    /// Starts all processes and waits until the cell has a leader.
    ///
    /// # Errors
    ///
    /// What could not be started.
    pub fn start(spec: &Spec, paths: Paths, checker: Arc<Mutex<Checker>>) -> Result<Self> {
        std::fs::create_dir_all(&paths.folder)?;
        let store = Arc::new(Store::default());
        keys::write_config(&store, keys::FIRST_VERSION, MAX_ATTEMPTS, &keys::changing_key(0));
        let runtime =
            tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build()?;
        let process = std::process::id();
        let network = [16 + (process % 200) as u8, (process / 200 % 200) as u8];
        let peer = |daemon| SocketAddr::from((daemon_ip(network, daemon), PEERS_PORT));
        let real = (0..spec.daemons).map(|daemon| peer(daemon).to_string()).collect();
        let directory = Arc::new(Mutex::new(Directory::new(real)));
        let mut links = Vec::new();
        let mut store_addresses = Vec::new();
        for from in 0..spec.daemons {
            for to in (0..spec.daemons).filter(|to| *to != from) {
                let traffic = Frames { directory: Arc::clone(&directory), from, to };
                let link = runtime.block_on(Link::open(peer(to), Arc::new(traffic)))?;
                lock(&directory).add_peer(from, to, link.address.to_string());
                links.push((Node::Daemon(from), Node::Daemon(to), link));
            }
            let view = DaemonView { directory: Arc::clone(&directory), daemon: from };
            let view = serve_view(&store, Arc::new(view))?;
            let link = runtime.block_on(Link::open(view, Arc::new(Plain)))?;
            store_addresses.push(link.address);
            links.push((Node::Daemon(from), Node::Store, link));
        }
        let mut worker_links = Vec::new();
        for worker in 0..spec.workers {
            let mut row = Vec::new();
            for from in 0..spec.daemons {
                // The target is set when the worker is up.
                let nowhere = SocketAddr::from((Ipv4Addr::LOCALHOST, 1));
                let link = runtime.block_on(Link::open(nowhere, Arc::new(Plain)))?;
                lock(&directory).add_worker(from, &worker_id(worker), link.address.to_string());
                row.push(link);
            }
            worker_links.push(row);
        }
        let now = Instant::now();
        let worker = || Worker {
            child: None,
            reader: None,
            state: State::Dead,
            reaches_store: true,
            up: None,
            row: None,
            last_reachable: now,
            sequence: 0,
        };
        let workers = (0..spec.workers).map(|_| Mutex::new(worker())).collect();
        let shared = Arc::new(Shared {
            spec: spec.clone(),
            store,
            workers,
            worker_links,
            checker,
            changes: AtomicU64::new(0),
            is_ended: AtomicBool::new(false),
        });
        let registrar = std::thread::spawn({
            let shared = Arc::clone(&shared);
            move || shared.keep_rows()
        });
        let daemons =
            (0..spec.daemons).map(|_| Daemon { child: None, state: State::Dead }).collect();
        let mut cell = Self {
            paths,
            shared,
            daemons,
            links,
            network,
            store_addresses,
            directory,
            effects: Effects::new(spec),
            registrar: Some(registrar),
            _runtime: runtime,
        };
        cell.apply()?;
        cell.wait_until_ready()?;
        Ok(cell)
    }

    fn wait_until_ready(&self) -> Result<()> {
        let until = Instant::now() + START_TIMEOUT;
        let has_rows = || self.shared.workers.iter().all(|worker| lock(worker).row.is_some());
        while self.leader().is_none() || !has_rows() {
            if Instant::now() > until {
                return Err("the cell has no leader, or not all workers are up".into());
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        Ok(())
    }

    /// Daemon that leads, by the store's head row; `None` if there is none.
    pub fn leader(&self) -> Option<usize> {
        let row = self.shared.store.get("bronzerail", "head")?;
        let head = Head::from_row(&row).ok().filter(|head| !head.is_released)?;
        lock(&self.directory).daemon_at(&head.address)
    }

    /// Starts and ends of runs on workers so far.
    pub fn changes(&self) -> u64 {
        self.shared.changes.load(Ordering::Relaxed)
    }

    /// The store, for what operators write.
    pub fn store(&self) -> Arc<Store> {
        Arc::clone(&self.shared.store)
    }

    /// Addresses at which daemons take clients' requests.
    pub fn client_addresses(&self) -> Vec<SocketAddr> {
        let address = |daemon| SocketAddr::from((daemon_ip(self.network, daemon), CALLERS_PORT));
        (0..self.daemons.len()).map(address).collect()
    }

    /// Daemons whose processes have ended although they should run.
    pub fn fallen(&mut self) -> Vec<usize> {
        let has_ended = |daemon: &mut Daemon| {
            daemon.state < State::Ending
                && daemon.child.as_mut().is_some_and(|child| !matches!(child.try_wait(), Ok(None)))
        };
        let daemons = self.daemons.iter_mut().enumerate();
        daemons.filter_map(|(number, daemon)| has_ended(daemon).then_some(number)).collect()
    }

    /// Starts a fault; returns the daemon that led then.
    ///
    /// # Errors
    ///
    /// What could not be started.
    pub fn start_fault(&mut self, number: usize, kind: &crate::plan::Kind) -> Result<usize> {
        let leader = self.leader().unwrap_or(0);
        self.effects.add(number, kind, leader);
        self.apply()?;
        Ok(leader)
    }

    /// Ends a fault.
    ///
    /// # Errors
    ///
    /// What could not be started.
    pub fn end_fault(&mut self, number: usize) -> Result<()> {
        self.effects.remove(number);
        self.apply()
    }

    /// Ends all faults.
    ///
    /// # Errors
    ///
    /// What could not be started.
    pub fn heal(&mut self) -> Result<()> {
        self.effects.clear();
        self.apply()
    }

    /// Puts all links and processes into the state that the faults demand.
    fn apply(&mut self) -> Result<()> {
        self.shared.store.set_fault(self.effects.store_fault().unwrap_or(Fault::None));
        for (from, to, link) in &self.links {
            link.set_mode(self.effects.mode(*from, *to));
        }
        for (worker, links) in self.shared.worker_links.iter().enumerate() {
            for (from, link) in links.iter().enumerate() {
                link.set_mode(self.effects.mode(Node::Daemon(from), Node::Worker(worker)));
            }
        }
        for daemon in 0..self.daemons.len() {
            self.apply_to_daemon(daemon)?;
        }
        for worker in 0..self.shared.workers.len() {
            self.apply_to_worker(worker)?;
        }
        Ok(())
    }

    fn apply_to_daemon(&mut self, number: usize) -> Result<()> {
        let state = self.effects.state(Node::Daemon(number));
        let old = self.daemons[number].state;
        if old == state {
            return Ok(());
        }
        if old >= State::Ending && state < State::Ending {
            end(self.daemons[number].child.take());
            self.daemons[number].child = Some(self.spawn_daemon(number)?);
        }
        let daemon = &mut self.daemons[number];
        change_state(&mut daemon.child, state);
        daemon.state = state;
        Ok(())
    }

    fn apply_to_worker(&self, number: usize) -> Result<()> {
        let state = self.effects.state(Node::Worker(number));
        let mut worker = lock(&self.shared.workers[number]);
        worker.reaches_store = self.effects.reaches_store(number);
        if worker.state == state {
            return Ok(());
        }
        if worker.state == State::Dead {
            let (child, reader) = self.spawn_worker(number)?;
            (worker.child, worker.reader) = (Some(child), Some(reader));
        }
        worker.state = state;
        if state != State::Dead {
            change_state(&mut worker.child, state);
            return Ok(());
        }
        worker.up = None;
        let (child, reader) = (worker.child.take(), worker.reader.take());
        drop(worker);
        end(child);
        let gone_us = now_us();
        // All that the process wrote is taken before its end is.
        if reader.is_some_and(|reader| reader.join().is_err()) {
            return Err("a reader of events failed".into());
        }
        lock(&self.shared.checker).worker_down(&worker_id(number), gone_us);
        Ok(())
    }

    fn spawn_daemon(&self, number: usize) -> Result<Child> {
        let name = daemon_name(number);
        let settings = self.paths.folder.join(format!("{name}.toml"));
        std::fs::write(&settings, self.settings(number))?;
        let log = self.paths.folder.join(format!("{name}.log"));
        let log = File::options().create(true).append(true).open(log)?;
        let mut command = Command::new(&self.paths.daemon);
        command.arg("--settings").arg(settings).stdin(Stdio::null());
        command.stdout(log.try_clone()?).stderr(log);
        self.spawn(command)
    }

    fn spawn_worker(&self, number: usize) -> Result<(Child, JoinHandle<()>)> {
        let mut command = Command::new(&self.paths.worker);
        command.arg("--id").arg(worker_id(number)).arg("--cpu").arg(WORKER_CPU.to_string());
        // The worker ends when its input closes.
        command.stdin(Stdio::piped()).stdout(Stdio::piped());
        let mut child = self.spawn(command)?;
        let output = child.stdout.take().ok_or("a worker's output is missing")?;
        let shared = Arc::clone(&self.shared);
        Ok((child, std::thread::spawn(move || shared.read_events(number, output))))
    }

    /// Starts a process and adds it to the list of process ids.
    fn spawn(&self, mut command: Command) -> Result<Child> {
        let child = command.spawn().map_err(|error| {
            format!("{} cannot be started: {error}", command.get_program().display())
        })?;
        let list = self.paths.folder.join("pids");
        let mut list = File::options().create(true).append(true).open(list)?;
        writeln!(list, "{}", child.id())?;
        Ok(child)
    }

    /// Text of a daemon's settings file.
    fn settings(&self, number: usize) -> String {
        let ip = daemon_ip(self.network, number);
        let (name, store) = (daemon_name(number), self.store_addresses[number]);
        let zone = self.shared.spec.zone(number);
        format!(
            r#"node_name = "{name}"
ip = "{ip}"
zone = "zone-{zone}"
internal_ports = [{PEERS_PORT}, {PEERS_PORT}]
hint = ""
[listen_addrs]
frontend = "{ip}:{CALLERS_PORT}"
readiness = "{ip}:{READINESS_PORT}"
[limits]
cpu_share = 0.25
cpu_cores = 1
max_fds = 4100
bandwidth_mbps = 1000.0
[bounds]
max_hold_ms = 10000
stop_timeout_ms = 400
status_s = 600
grace_s = 6
[platform]
address = "{store}"
txn_latency_ms = 8.0
row_bytes = 65536
"#
        )
    }
}

impl Drop for Cell {
    fn drop(&mut self) {
        self.shared.is_ended.store(true, Ordering::SeqCst);
        for daemon in &mut self.daemons {
            end(daemon.child.take());
        }
        for worker in &self.shared.workers {
            let mut worker = lock(worker);
            let (child, reader) = (worker.child.take(), worker.reader.take());
            drop(worker);
            end(child);
            // A panic of the thread was printed already.
            drop(reader.map(JoinHandle::join));
        }
        if let Some(registrar) = self.registrar.take() {
            // A panic of the thread was printed already.
            drop(registrar.join());
        }
    }
}

impl std::fmt::Debug for Cell {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Cell").field("paths", &self.paths).finish_non_exhaustive()
    }
}

impl Shared {
    /// Passes on a worker's events until its process ends.
    fn read_events(&self, number: usize, output: ChildStdout) {
        for line in BufReader::new(output).lines() {
            let Ok(line) = line else { return };
            // A killed process may leave a part of a line.
            let Ok(event) = serde_json::from_str::<Event>(&line) else { continue };
            if let Kind::Up { address } = &event.kind
                && let Ok(address) = address.parse()
            {
                for link in &self.worker_links[number] {
                    link.set_target(address);
                }
                lock(&self.workers[number]).up = Some((address, event.incarnation));
            }
            if let Kind::Started { .. } | Kind::Ended { .. } = event.kind {
                self.changes.fetch_add(1, Ordering::Relaxed);
            }
            lock(&self.checker).worker_event(event);
        }
    }

    /// Writes and removes the workers' rows as the workers and the store would.
    fn keep_rows(&self) {
        while !self.is_ended.load(Ordering::SeqCst) {
            for number in 0..self.workers.len() {
                self.keep_row(number);
            }
            std::thread::sleep(REGISTRAR_TICK);
        }
    }

    fn keep_row(&self, number: usize) {
        let mut worker = lock(&self.workers[number]);
        let up = worker.up.filter(|_| worker.reaches_store && worker.state == State::Running);
        let id = worker_id(number);
        let Some((address, born)) = up else {
            if worker.row.is_some() && worker.last_reachable.elapsed() >= ROW_EXPIRY {
                worker.row = None;
                self.store.remove("servers", &id);
            }
            return;
        };
        worker.last_reachable = Instant::now();
        let is_current = worker
            .row
            .is_some_and(|(row, written)| row == born && written.elapsed() < ROW_INTERVAL);
        if is_current {
            return;
        }
        worker.sequence += 1;
        worker.row = Some((born, Instant::now()));
        let entry = Entry {
            address: address.to_string(),
            zone: format!("zone-{}", self.spec.zone(number)),
            cpu: WORKER_CPU,
            born,
            sequence: worker.sequence,
        };
        self.store.put("servers", &id, &entry.row());
    }
}

/// Loopback address of a daemon.
fn daemon_ip(network: [u8; 2], daemon: usize) -> Ipv4Addr {
    Ipv4Addr::new(127, network[0], network[1], daemon as u8 + 1)
}

/// Kills a process and waits for its end.
fn end(child: Option<Child>) {
    if let Some(mut child) = child {
        // The process may have ended already.
        drop(child.kill());
        drop(child.wait());
    }
}

/// Signals a process so that it reaches a state; a dead one is waited for.
fn change_state(child: &mut Option<Child>, state: State) {
    if state == State::Dead {
        return end(child.take());
    }
    let Some(child) = child else { return };
    // The process may have ended already.
    let send = |signal| kill_process(Pid::from_child(child), signal).unwrap_or_default();
    match state {
        State::Stopped => send(Signal::STOP),
        State::Running => send(Signal::CONT),
        State::Ending => {
            send(Signal::TERM);
            send(Signal::CONT);
        }
        State::Dead => {}
    }
}
