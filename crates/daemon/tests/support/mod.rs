//! Simulation of a cell: several daemons on a simulated clock, with fakes of their interfaces.
//!
//! Each daemon has its own event loop, so that pausing one stops its clock as SIGSTOP
//! would. The fakes share one queue of scheduled actions; [`Faults`] switches faults on.

#![allow(dead_code, reason = "each test file uses only part of this module")]

mod interfaces;

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::rc::Rc;
use std::time::{Duration, Instant, UNIX_EPOCH};

use bronzeraild::Node;
use bronzeraild::front::{Answer, Request};
use bronzeraild::mesh::Input;
use bronzeraild::node::Setup;
use bronzeraild::telemetry::Metrics;
use common::Name;
use journal::event::RequestKey;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use settings::Inventory;
use slog::{Logger, o};
use stakker::{ActorOwn, Stakker, actor_new, call, ret_do, ret_some_do};
use standin::executors::Executors;
use standin::objects::Objects;
use standin::table::Table;
use standin::workers::Workers;

/// Time that the simulated clock advances per step.
const STEP: Duration = Duration::from_millis(5);

/// Time without input after which a connection is closed.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(2);

/// Wall clock at the start of every test, in Unix seconds: 2026-12-01, a Tuesday, 12:00 in Madrid.
const WALL_START_S: u64 = 1_796_122_800;

/// Faults of the platform's services and of the links between daemons.
#[derive(Debug, Default)]
pub struct Faults {
    /// Whether all calls to the table time out.
    pub table_down: bool,
    /// Daemons, by index, whose calls to the table time out.
    pub table_down_for: BTreeSet<usize>,
    /// Additional latency of the table, each way.
    pub table_delay: Duration,
    /// Probability that a commit takes effect but its reply is lost, 0 to 1.
    pub lose_commits: f64,
    /// Whether all gets and puts of the object store time out.
    pub objects_down: bool,
    /// Probability that a start takes effect but its reply is lost, 0 to 1.
    pub lose_starts: f64,
    /// Additional latency of starts, each way.
    pub start_delay: Duration,
    /// Workers whose starts, renewals and stops time out.
    pub silent_workers: BTreeSet<Name>,
    /// Whether reports are lost; no fake implements this fault.
    pub lose_reports: bool,
    /// Pairs of daemons whose frames are lost, lower index first.
    pub cut_links: BTreeSet<(usize, usize)>,
}

/// Function that passes an input of the mesh to a daemon.
type InputSender = Rc<dyn Fn(Input)>;

/// Action that runs at a scheduled time.
type Action = Box<dyn FnOnce(&Rc<RefCell<Simulation>>)>;

/// State of everything outside the daemons.
pub struct Simulation {
    /// Simulated time.
    pub now: Instant,
    pub faults: Faults,
    pub table: Table,
    pub objects: Objects,
    pub workers: Workers,
    pub executors: Executors,
    /// Latest answer to each request, by token.
    pub answers: HashMap<u64, Answer>,
    /// Number of answers to requests that already had one.
    pub answered_twice: u64,
    /// Scheduled actions by time and sequence, with the daemon that receives each, if any.
    queue: BTreeMap<(Instant, u64), (Option<usize>, Action)>,
    /// Number of the last scheduled action or daemon start.
    sequence: u64,
    random: StdRng,
    /// Member name of each daemon.
    names: Vec<Name>,
    /// Number of each daemon's current start; 0 while it is not running.
    boot_numbers: Vec<u64>,
    /// Input of each daemon; `None` while it is not running.
    inputs: Vec<Option<InputSender>>,
    /// Pairs of connected daemons, lower index first.
    connected: BTreeSet<(usize, usize)>,
    /// Daemons whose clock is stopped.
    paused: BTreeSet<usize>,
}

pub type SharedSimulation = Rc<RefCell<Simulation>>;

/// Running daemon with its own event loop.
struct Daemon {
    stakker: Stakker,
    node: ActorOwn<Node>,
    /// Whether the graceful shutdown was clean; `None` until it ends.
    stopped: Rc<RefCell<Option<bool>>>,
    log: Logger,
}

/// Cell of several daemons and the simulation around them.
pub struct Cell {
    pub simulation: SharedSimulation,
    /// Daemons by index; `None` while one is not running.
    daemons: Vec<Option<Daemon>>,
    next_token: u64,
    start: Instant,
}

fn read_example(cell: &str, name: &str) -> String {
    let path = format!("{}/../../examples/{cell}/{name}", env!("CARGO_MANIFEST_DIR"));
    std::fs::read_to_string(path).expect("the example file exists")
}

/// Indices of the two daemons of a link, lower index first.
pub fn link_between(one: usize, other: usize) -> (usize, usize) {
    (one.min(other), one.max(other))
}

impl Cell {
    /// Starts a cell with the inventory and rules of the example `es-north` in force.
    pub fn new(size: usize, seed: u64) -> Self {
        Self::with_files(
            size,
            seed,
            &read_example("es-north", "inventory.jsonc"),
            &read_example("es-north", "rules.jsonc"),
        )
    }

    /// Starts a cell with the given inventory and rules in force.
    pub fn with_files(size: usize, seed: u64, inventory: &str, rules: &str) -> Self {
        let mut cell = Self::without_settings(size, seed, inventory);
        cell.run_for(2.0);
        for (file, text) in [("inventory", inventory), ("rules", rules)] {
            let answer = cell.apply(0, file, 0, text);
            assert_eq!(answer.status, 200, "{}", answer.body);
        }
        cell.run_for(3.0);
        cell
    }

    /// Starts a cell without settings in force.
    pub fn without_settings(size: usize, seed: u64, inventory: &str) -> Self {
        let inventory = Inventory::parse(inventory).expect("the inventory is valid");
        let start = Instant::now();
        let simulation = Simulation {
            now: start,
            faults: Faults::default(),
            table: Table::default(),
            objects: Objects::default(),
            workers: Workers::new(&inventory),
            executors: Executors::new(&inventory),
            answers: HashMap::new(),
            answered_twice: 0,
            queue: BTreeMap::new(),
            sequence: 0,
            random: StdRng::seed_from_u64(seed),
            names: (0..size).map(|index| Name::from(format!("m{index}"))).collect(),
            boot_numbers: vec![0; size],
            inputs: (0..size).map(|_| None).collect(),
            connected: BTreeSet::new(),
            paused: BTreeSet::new(),
        };
        let simulation = Rc::new(RefCell::new(simulation));
        let daemons = (0..size).map(|_| None).collect();
        let mut cell = Self { simulation, daemons, next_token: 0, start };
        for index in 0..size {
            cell.boot(index);
        }
        cell
    }

    /// Starts a daemon that is not running.
    pub fn boot(&mut self, index: usize) {
        let now = self.now();
        let mut stakker = Stakker::new(now);
        stakker.set_systime(Some(self.wall_clock()));
        let s = &mut stakker;
        let node = actor_new!(s, Node, ret_do!(|_| ()));
        let to = node.clone();
        let boot_number = {
            let mut simulation = self.simulation.borrow_mut();
            simulation.sequence += 1;
            let boot_number = simulation.sequence;
            simulation.boot_numbers[index] = boot_number;
            simulation.inputs[index] =
                Some(Rc::new(move |input| call!([to], handle_mesh_input(input))));
            boot_number
        };
        let interfaces = interfaces::for_daemon(&self.simulation, index);
        let log = logger(index);
        let setup = Setup {
            config: config(index),
            incarnation: 1_000_000 + boot_number,
            seed: boot_number,
            log: log.clone(),
            metrics: Metrics::start("test", None).expect("the metrics start"),
        };
        call!([node], <Node>::init(setup, interfaces));
        let stopped = Rc::default();
        self.daemons[index] = Some(Daemon { stakker, node, stopped, log });
    }

    /// Simulated time.
    pub fn now(&self) -> Instant {
        self.simulation.borrow().now
    }

    /// Simulated wall clock.
    fn wall_clock(&self) -> std::time::SystemTime {
        UNIX_EPOCH + Duration::from_secs(WALL_START_S) + (self.now() - self.start)
    }

    // Faults.

    /// Kills a daemon as SIGKILL would.
    pub fn kill(&mut self, index: usize) {
        self.daemons[index] = None;
        let mut simulation = self.simulation.borrow_mut();
        simulation.boot_numbers[index] = 0;
        simulation.inputs[index] = None;
        simulation.paused.remove(&index);
        simulation.disconnect_all(index);
    }

    /// Stops a daemon's clock, as SIGSTOP would.
    ///
    /// Its peers close their connections after 2 s without input.
    pub fn pause(&mut self, index: usize) {
        let mut simulation = self.simulation.borrow_mut();
        simulation.paused.insert(index);
        let at = simulation.now + SILENCE_TIMEOUT;
        simulation.schedule_at(at, None, move |simulation| {
            let mut simulation = simulation.borrow_mut();
            if simulation.paused.contains(&index) {
                simulation.disconnect_all(index);
            }
        });
    }

    /// Lets a paused daemon run again, as SIGCONT would.
    pub fn resume(&mut self, index: usize) {
        let mut simulation = self.simulation.borrow_mut();
        if simulation.paused.remove(&index) {
            simulation.schedule_after(STEP * 4, None, move |simulation| {
                simulation.borrow_mut().connect_all(index);
            });
        }
    }

    /// Whether a daemon is running, paused or not.
    pub fn is_alive(&self, index: usize) -> bool {
        self.daemons[index].is_some()
    }

    /// Loses all frames between two daemons; the connection closes after 2 s.
    pub fn cut_link(&mut self, one: usize, other: usize) {
        let link = link_between(one, other);
        let mut simulation = self.simulation.borrow_mut();
        simulation.faults.cut_links.insert(link);
        let at = simulation.now + SILENCE_TIMEOUT;
        simulation.schedule_at(at, None, move |simulation| {
            let mut simulation = simulation.borrow_mut();
            if simulation.faults.cut_links.contains(&link) {
                simulation.disconnect(link);
            }
        });
    }

    /// Clears all faults and reconnects all running daemons.
    pub fn clear_faults(&mut self) {
        let mut simulation = self.simulation.borrow_mut();
        simulation.faults = Faults::default();
        let size = simulation.names.len();
        for one in 0..size {
            for other in one + 1..size {
                simulation.connect((one, other));
            }
        }
    }

    /// Starts a graceful shutdown.
    pub fn stop(&mut self, index: usize) {
        let now = self.now();
        if let Some(daemon) = &mut self.daemons[index] {
            let stopped = Rc::clone(&daemon.stopped);
            let done = ret_some_do!(move |is_clean| *stopped.borrow_mut() = Some(is_clean));
            call!([daemon.node], stop(done));
            daemon.stakker.run(now, false);
        }
    }

    /// Whether the graceful shutdown was clean; `None` if it has not ended.
    pub fn stop_result(&self, index: usize) -> Option<bool> {
        self.daemons[index].as_ref().and_then(|daemon| *daemon.stopped.borrow())
    }

    // Simulated time.

    /// Advances the simulated clock.
    pub fn run_for(&mut self, seconds: f64) {
        let end = self.now() + Duration::from_secs_f64(seconds);
        while self.now() < end {
            self.step();
        }
    }

    /// Advances the clock until the condition holds; false if it does not hold in time.
    pub fn run_until(&mut self, seconds: f64, mut is_done: impl FnMut(&Self) -> bool) -> bool {
        let end = self.now() + Duration::from_secs_f64(seconds);
        while self.now() < end {
            if is_done(self) {
                return true;
            }
            self.step();
        }
        is_done(self)
    }

    fn step(&mut self) {
        self.simulation.borrow_mut().now += STEP;
        let now = self.now();
        let wall = self.wall_clock();
        self.run_due_actions(now);
        let paused = self.simulation.borrow().paused.clone();
        let daemons = self.daemons.iter_mut().enumerate();
        let running = daemons.filter(|(index, _)| !paused.contains(index));
        for daemon in running.filter_map(|(_, daemon)| daemon.as_mut()) {
            daemon.stakker.set_systime(Some(wall));
            while daemon.stakker.run(now, false) {}
        }
    }

    /// Runs the actions that are due; those for paused daemons stay queued.
    fn run_due_actions(&mut self, now: Instant) {
        let paused = self.simulation.borrow().paused.clone();
        let due = {
            let mut simulation = self.simulation.borrow_mut();
            let later = simulation.queue.split_off(&(now, u64::MAX));
            std::mem::replace(&mut simulation.queue, later)
        };
        for (key, (to, action)) in due {
            if to.is_some_and(|index| paused.contains(&index)) {
                self.simulation.borrow_mut().queue.insert(key, (to, action));
            } else {
                action(&self.simulation);
            }
        }
    }

    // Requests.

    /// Sends a request to a daemon and returns its token.
    pub fn send_request(&mut self, at: usize, request: Request) -> u64 {
        self.next_token += 1;
        let token = self.next_token;
        if let Some(daemon) = &self.daemons[at] {
            call!([daemon.node], handle_request(token, request));
        }
        token
    }

    /// Submits a request given as JSON.
    pub fn submit(&mut self, at: usize, json: &str, wait_ms: u64) -> u64 {
        let body = json.as_bytes().to_vec();
        self.send_request(
            at,
            Request::Submit { body, wait_ms: Some(wait_ms), trace: None, arrived_us: 0 },
        )
    }

    /// Submits work of a kind for the customer `trim-supplier`.
    pub fn submit_work(
        &mut self,
        at: usize,
        id: &str,
        kind: &str,
        payload: &str,
        wait_ms: u64,
    ) -> u64 {
        let json = format!(
            r#"{{"customer":"trim-supplier","id":"{id}","kind":"{kind}","payload":"{payload}"}}"#
        );
        self.submit(at, &json, wait_ms)
    }

    /// Requests the state of a request of `trim-supplier`.
    pub fn request_status(&mut self, at: usize, id: &str, wait_ms: u64) -> u64 {
        self.send_request(at, Request::Status { key: key(id), wait_ms })
    }

    /// Cancels a request of `trim-supplier`.
    pub fn cancel(&mut self, at: usize, id: &str) -> u64 {
        self.send_request(at, Request::Cancel { key: key(id) })
    }

    /// Runs until a request is answered; panics if that takes longer than `seconds`.
    pub fn wait_for_answer(&mut self, token: u64, seconds: f64) -> Answer {
        let has_answer = |cell: &Self| cell.simulation.borrow().answers.contains_key(&token);
        assert!(self.run_until(seconds, has_answer), "no answer to {token} in {seconds} s");
        self.simulation.borrow().answers[&token].clone()
    }

    /// Answer to a request; `None` if it has not arrived.
    pub fn received_answer(&self, token: u64) -> Option<Answer> {
        self.simulation.borrow().answers.get(&token).cloned()
    }

    /// Replaces a settings file and waits for the answer.
    pub fn apply(&mut self, at: usize, file: &str, base: u64, text: &str) -> Answer {
        let token = self.begin_apply(at, file, base, text);
        self.wait_for_answer(token, 12.0)
    }

    /// Sends a new settings file and returns the request's token.
    pub fn begin_apply(&mut self, at: usize, file: &str, base: u64, text: &str) -> u64 {
        let (file, author) = (Name::new(file), Name::from(format!("operator-{at}")));
        self.send_request(at, Request::ApplySettings { file, base, author, text: text.to_owned() })
    }

    /// Rows of a view of the cell's state.
    pub fn survey(&mut self, at: usize, view: &str) -> Vec<serde_json::Value> {
        let token = self.send_request(at, Request::Survey { view: Name::new(view) });
        let answer = self.wait_for_answer(token, 5.0);
        answer.body["rows"].as_array().cloned().unwrap_or_default()
    }

    /// Whether a daemon accepts new requests.
    pub fn is_ready(&mut self, at: usize) -> bool {
        let token = self.send_request(at, Request::Readiness);
        self.wait_for_answer(token, 1.0).status == 200
    }

    /// Index of the daemon that owns the partition of a request of `trim-supplier`.
    pub fn home_of(&mut self, id: &str) -> usize {
        let partition = key(id).partition(settings::daemon::DEFAULT_PARTITIONS);
        self.owner_of(&format!("own/partition/{partition:04}"))
    }

    /// Index of the daemon that owns a scope, according to the scope's row in the table.
    pub fn owner_of(&mut self, row_key: &str) -> usize {
        let query = border::table::Query { keys: vec![Name::new(row_key)], prefixes: Vec::new() };
        let rows = self.simulation.borrow_mut().table.read(&query);
        let owner: serde_json::Value =
            serde_json::from_str(&rows[0].value).expect("the row is valid");
        let name = owner["member"].as_str().expect("the scope has an owner").to_owned();
        let simulation = self.simulation.borrow();
        simulation.names.iter().position(|one| **one == *name).expect("the owner is a member")
    }

    /// Worker that runs a request's only task, preceded by the owner of the worker's rack.
    pub fn place_of(&mut self, at: usize, id: &str) -> (usize, Name) {
        let token = self.request_status(at, id, 0);
        let worker =
            self.wait_for_answer(token, 5.0).body["worker"].as_str().unwrap_or_default().to_owned();
        let inventory = Inventory::parse(&read_example("es-north", "inventory.jsonc"))
            .expect("the inventory is valid");
        let rack = inventory.rack_of(&worker).expect("the worker is in a rack").clone();
        (self.owner_of(&format!("own/rack/{rack}")), Name::from(worker))
    }

    /// Counts of the fake workers at the current time.
    pub fn counts(&self) -> standin::workers::Counts {
        let mut simulation = self.simulation.borrow_mut();
        let now = simulation.now;
        simulation.workers.advance(now);
        simulation.workers.counts.clone()
    }

    /// Whether a request of `trim-supplier` has started anywhere.
    pub fn has_run(&self, id: &str) -> bool {
        let simulation = self.simulation.borrow();
        let name = key(id).to_string();
        simulation.workers.started_requests().contains(&name)
            || simulation.executors.started_requests().contains(&name)
    }

    /// Panics if the counts of the fakes or the answers show a violated invariant.
    pub fn check_invariants(&self) {
        let counts = self.counts();
        assert_eq!(counts.doubled, 0, "a study ran on two workers at once: {counts:?}");
        assert_eq!(counts.rerun_once, 0, "work that is not repeatable ran twice: {counts:?}");
        assert_eq!(counts.over_capacity, 0, "a worker was over its capacity: {counts:?}");
        let simulation = self.simulation.borrow();
        let quick = &simulation.executors.counts;
        assert_eq!(quick.rerun_once, 0, "quick work that is not repeatable ran twice: {quick:?}");
        assert_eq!(quick.over_slots, 0, "an executor was over its slots: {quick:?}");
        assert_eq!(simulation.answered_twice, 0, "a caller was answered twice");
    }
}

/// Key of a request of `trim-supplier`.
pub fn key(id: &str) -> RequestKey {
    RequestKey { customer: Name::new("trim-supplier"), id: Name::new(id) }
}

/// Text of a file of the example `es-north`.
pub fn example(name: &str) -> String {
    read_example("es-north", name)
}

/// Settings of a daemon, by index.
fn config(index: usize) -> settings::Daemon {
    let text = read_example("es-north", "daemon.jsonc");
    let mut config = settings::Daemon::parse(&text).expect("the settings are valid");
    config.member = Name::from(format!("m{index}"));
    config.peer_address.set_port(7000 + index as u16);
    config.http_address.set_port(8000 + index as u16);
    config
}

/// Logger to stderr if `BRONZERAIL_TEST_LOG` is set, and to nowhere otherwise.
fn logger(index: usize) -> Logger {
    if std::env::var_os("BRONZERAIL_TEST_LOG").is_some() {
        let format = bronzeraild::logger::Format::Text;
        return bronzeraild::logger::start(format, slog::Level::Debug, &format!("m{index}"));
    }
    Logger::root(slog::Discard, o!())
}

impl Simulation {
    /// Schedules an action; one for a daemon is dropped if that daemon stops or restarts.
    fn schedule_at(
        &mut self,
        at: Instant,
        to: Option<usize>,
        action: impl FnOnce(&SharedSimulation) + 'static,
    ) {
        self.sequence += 1;
        let key = (at, self.sequence);
        let boot_number = to.map(|index| self.boot_numbers[index]);
        let guarded = move |simulation: &SharedSimulation| {
            let is_current =
                to.is_none_or(|index| Some(simulation.borrow().boot_numbers[index]) == boot_number);
            if is_current {
                action(simulation);
            }
        };
        self.queue.insert(key, (to, Box::new(guarded)));
    }

    /// Schedules an action after a delay.
    fn schedule_after(
        &mut self,
        delay: Duration,
        to: Option<usize>,
        action: impl FnOnce(&SharedSimulation) + 'static,
    ) {
        let at = self.now + delay;
        self.schedule_at(at, to, action);
    }

    /// Returns true with the given probability.
    fn draw(&mut self, share: f64) -> bool {
        share > 0.0 && self.random.random_bool(share)
    }

    /// Passes an input to a daemon after a delay.
    fn send_input(&mut self, to: usize, delay: Duration, input: Input) {
        self.schedule_after(delay, Some(to), move |simulation| {
            let send = simulation.borrow().inputs[to].clone();
            if let Some(send) = send {
                send(input);
            }
        });
    }

    /// Disconnects two daemons and tells both.
    fn disconnect(&mut self, link: (usize, usize)) {
        if self.connected.remove(&link) {
            let (one, other) = link;
            let names = (self.names[one].clone(), self.names[other].clone());
            self.send_input(one, STEP, Input::Disconnected(names.1));
            self.send_input(other, STEP, Input::Disconnected(names.0));
        }
    }

    /// Disconnects a daemon from all others.
    fn disconnect_all(&mut self, index: usize) {
        let has_end = |link: &&(usize, usize)| link.0 == index || link.1 == index;
        let links: Vec<_> = self.connected.iter().filter(has_end).copied().collect();
        for link in links {
            self.disconnect(link);
        }
    }

    /// Connects a daemon with all others that it can reach.
    fn connect_all(&mut self, index: usize) {
        for other in (0..self.names.len()).filter(|other| *other != index) {
            self.connect(link_between(index, other));
        }
    }

    /// Connects two daemons and tells both, if both run and their link is not cut.
    fn connect(&mut self, link: (usize, usize)) {
        let (one, other) = link;
        let are_alive = [one, other]
            .iter()
            .all(|end| self.boot_numbers[*end] > 0 && !self.paused.contains(end));
        if are_alive && !self.faults.cut_links.contains(&link) && self.connected.insert(link) {
            let names = (self.names[one].clone(), self.names[other].clone());
            self.send_input(one, STEP, Input::Connected(names.1));
            self.send_input(other, STEP, Input::Connected(names.0));
        }
    }
}
