//! Several daemons on one paused clock, with small fakes at their borders.
//!
//! Each daemon has its own loop, so that a pause stops its clock as SIGSTOP would. The
//! fakes share one queue of things that happen at a time; faults are switched in
//! [`Faults`].

#![allow(dead_code, reason = "each test file uses a part")]

mod borders;

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
use journal::event::Key;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use settings::Inventory;
use slog::{Logger, o};
use stakker::{ActorOwn, Stakker, actor_new, call, ret_do, ret_some_do};
use standin::executors::Executors;
use standin::objects::Objects;
use standin::table::Table;
use standin::workers::Workers;

/// One step of the clock.
const STEP: Duration = Duration::from_millis(5);

/// Silence after which a connection is dropped.
const SILENCE: Duration = Duration::from_secs(2);

/// Wall clock at the start of every test: 2026-12-01, a Tuesday, 12:00 in Madrid.
const WALL_START_S: u64 = 1_796_122_800;

/// How the platform and the links misbehave.
#[derive(Debug, Default)]
pub struct Faults {
    pub table_down: bool,
    pub table_down_for: BTreeSet<usize>,
    pub table_delay: Duration,
    pub lose_commits: f64,
    pub objects_down: bool,
    pub lose_starts: f64,
    /// How much later starts arrive at their workers.
    pub start_delay: Duration,
    pub silent_workers: BTreeSet<Name>,
    pub lose_reports: bool,
    /// Pairs of daemons between which nothing arrives; lesser index first.
    pub cuts: BTreeSet<(usize, usize)>,
}

type Inlet = Rc<dyn Fn(Input)>;

type Happening = Box<dyn FnOnce(&Rc<RefCell<World>>)>;

/// Everything outside the daemons.
pub struct World {
    pub now: Instant,
    pub faults: Faults,
    pub table: Table,
    pub objects: Objects,
    pub workers: Workers,
    pub executors: Executors,
    pub answers: HashMap<u64, Answer>,
    pub answered_twice: u64,
    queue: BTreeMap<(Instant, u64), (Option<usize>, Happening)>,
    sequence: u64,
    random: StdRng,
    /// By daemon, its name and the number of its current start; zero while it is dead.
    names: Vec<Name>,
    lives: Vec<u64>,
    inputs: Vec<Option<Inlet>>,
    up: BTreeSet<(usize, usize)>,
    paused: BTreeSet<usize>,
}

pub type Shared = Rc<RefCell<World>>;

struct Daemon {
    stakker: Stakker,
    node: ActorOwn<Node>,
    stopped: Rc<RefCell<Option<bool>>>,
    log: Logger,
}

/// A cell of daemons.
pub struct Cell {
    pub world: Shared,
    daemons: Vec<Option<Daemon>>,
    next_token: u64,
    start: Instant,
}

fn file(cell: &str, name: &str) -> String {
    let path = format!("{}/../../examples/{cell}/{name}", env!("CARGO_MANIFEST_DIR"));
    std::fs::read_to_string(path).expect("the example is there")
}

pub fn pair(one: usize, other: usize) -> (usize, usize) {
    (one.min(other), one.max(other))
}

impl Cell {
    /// A cell of so many daemons with es-north's inventory and rules in force.
    pub fn new(size: usize, seed: u64) -> Self {
        Self::with_files(
            size,
            seed,
            &file("es-north", "inventory.jsonc"),
            &file("es-north", "rules.jsonc"),
        )
    }

    pub fn with_files(size: usize, seed: u64, inventory: &str, rules: &str) -> Self {
        let mut cell = Self::bare(size, seed, inventory);
        cell.run_for(2.0);
        for (what, text) in [("inventory", inventory), ("rules", rules)] {
            let answer = cell.apply(0, what, 0, text);
            assert_eq!(answer.status, 200, "{}", answer.body);
        }
        cell.run_for(3.0);
        cell
    }

    /// A cell without settings.
    pub fn bare(size: usize, seed: u64, inventory: &str) -> Self {
        let inventory = Inventory::parse(inventory).expect("the inventory is fine");
        let start = Instant::now();
        let world = World {
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
            lives: vec![0; size],
            inputs: (0..size).map(|_| None).collect(),
            up: BTreeSet::new(),
            paused: BTreeSet::new(),
        };
        let world = Rc::new(RefCell::new(world));
        let daemons = (0..size).map(|_| None).collect();
        let mut cell = Self { world, daemons, next_token: 0, start };
        for index in 0..size {
            cell.boot(index);
        }
        cell
    }

    /// Starts a daemon that does not run.
    pub fn boot(&mut self, index: usize) {
        let now = self.now();
        let mut stakker = Stakker::new(now);
        stakker.set_systime(Some(self.wall()));
        let s = &mut stakker;
        let node = actor_new!(s, Node, ret_do!(|_| ()));
        let to = node.clone();
        let life = {
            let mut world = self.world.borrow_mut();
            world.sequence += 1;
            let life = world.sequence;
            world.lives[index] = life;
            world.inputs[index] = Some(Rc::new(move |input| call!([to], mesh(input))));
            life
        };
        let borders = borders::all(&self.world, index);
        let log = logger(index);
        let setup = Setup {
            config: config(index),
            incarnation: 1_000_000 + life,
            seed: life,
            log: log.clone(),
            metrics: Metrics::start("test", None).expect("metrics start"),
        };
        call!([node], <Node>::init(setup, borders));
        let stopped = Rc::default();
        self.daemons[index] = Some(Daemon { stakker, node, stopped, log });
    }

    pub fn now(&self) -> Instant {
        self.world.borrow().now
    }

    fn wall(&self) -> std::time::SystemTime {
        UNIX_EPOCH + Duration::from_secs(WALL_START_S) + (self.now() - self.start)
    }

    // Faults.

    /// Ends a daemon as SIGKILL would.
    pub fn kill(&mut self, index: usize) {
        self.daemons[index] = None;
        let mut world = self.world.borrow_mut();
        world.lives[index] = 0;
        world.inputs[index] = None;
        world.paused.remove(&index);
        world.links_down(index);
    }

    /// Stops a daemon's clock, as SIGSTOP would.
    ///
    /// Its peers drop their connections after 2 s of silence.
    pub fn pause(&mut self, index: usize) {
        let mut world = self.world.borrow_mut();
        world.paused.insert(index);
        let at = world.now + SILENCE;
        world.at(at, None, move |world| {
            let mut world = world.borrow_mut();
            if world.paused.contains(&index) {
                world.links_down(index);
            }
        });
    }

    pub fn wake(&mut self, index: usize) {
        let mut world = self.world.borrow_mut();
        if world.paused.remove(&index) {
            world.after(STEP * 4, None, move |world| world.borrow_mut().links_up(index));
        }
    }

    pub fn is_alive(&self, index: usize) -> bool {
        self.daemons[index].is_some()
    }

    /// Makes the link between two daemons swallow everything; both notice after 2 s.
    pub fn cut(&mut self, one: usize, other: usize) {
        let link = pair(one, other);
        let mut world = self.world.borrow_mut();
        world.faults.cuts.insert(link);
        let at = world.now + SILENCE;
        world.at(at, None, move |world| {
            let mut world = world.borrow_mut();
            if world.faults.cuts.contains(&link) {
                world.link_down(link);
            }
        });
    }

    pub fn heal(&mut self) {
        let mut world = self.world.borrow_mut();
        world.faults = Faults::default();
        let size = world.names.len();
        for one in 0..size {
            for other in one + 1..size {
                world.link_up((one, other));
            }
        }
    }

    /// Begins a graceful stop.
    pub fn stop(&mut self, index: usize) {
        let now = self.now();
        if let Some(daemon) = &mut self.daemons[index] {
            let stopped = Rc::clone(&daemon.stopped);
            let done = ret_some_do!(move |is_clean| *stopped.borrow_mut() = Some(is_clean));
            call!([daemon.node], stop(done));
            daemon.stakker.run(now, false);
        }
    }

    /// Whether a graceful stop came to its end, and whether it was clean.
    pub fn stopped(&self, index: usize) -> Option<bool> {
        self.daemons[index].as_ref().and_then(|daemon| *daemon.stopped.borrow())
    }

    // Time.

    pub fn run_for(&mut self, seconds: f64) {
        let end = self.now() + Duration::from_secs_f64(seconds);
        while self.now() < end {
            self.step();
        }
    }

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
        self.world.borrow_mut().now += STEP;
        let now = self.now();
        let wall = self.wall();
        self.deliver(now);
        let paused = self.world.borrow().paused.clone();
        let daemons = self.daemons.iter_mut().enumerate();
        let running = daemons.filter(|(index, _)| !paused.contains(index));
        for daemon in running.filter_map(|(_, daemon)| daemon.as_mut()) {
            daemon.stakker.set_systime(Some(wall));
            while daemon.stakker.run(now, false) {}
        }
    }

    fn deliver(&mut self, now: Instant) {
        let paused = self.world.borrow().paused.clone();
        let due = {
            let mut world = self.world.borrow_mut();
            let later = world.queue.split_off(&(now, u64::MAX));
            std::mem::replace(&mut world.queue, later)
        };
        for (key, (to, happening)) in due {
            if to.is_some_and(|index| paused.contains(&index)) {
                self.world.borrow_mut().queue.insert(key, (to, happening));
            } else {
                happening(&self.world);
            }
        }
    }

    // Callers.

    pub fn request(&mut self, at: usize, request: Request) -> u64 {
        self.next_token += 1;
        let token = self.next_token;
        if let Some(daemon) = &self.daemons[at] {
            call!([daemon.node], request(token, request));
        }
        token
    }

    pub fn submit(&mut self, at: usize, json: &str, wait_ms: u64) -> u64 {
        let body = json.as_bytes().to_vec();
        self.request(
            at,
            Request::Submit { body, wait_ms: Some(wait_ms), trace: None, arrived_us: 0 },
        )
    }

    /// Submits work of a kind for the trim supplier.
    pub fn work(&mut self, at: usize, id: &str, kind: &str, payload: &str, wait_ms: u64) -> u64 {
        let json = format!(
            r#"{{"customer":"trim-supplier","id":"{id}","kind":"{kind}","payload":"{payload}"}}"#
        );
        self.submit(at, &json, wait_ms)
    }

    pub fn status(&mut self, at: usize, id: &str, wait_ms: u64) -> u64 {
        self.request(at, Request::Status { key: key(id), wait_ms })
    }

    pub fn cancel(&mut self, at: usize, id: &str) -> u64 {
        self.request(at, Request::Cancel { key: key(id) })
    }

    /// Runs until a request is answered; panics where it is not in time.
    pub fn answer(&mut self, token: u64, seconds: f64) -> Answer {
        let is_there = |cell: &Self| cell.world.borrow().answers.contains_key(&token);
        assert!(self.run_until(seconds, is_there), "no answer to {token} in {seconds} s");
        self.world.borrow().answers[&token].clone()
    }

    pub fn peek(&self, token: u64) -> Option<Answer> {
        self.world.borrow().answers.get(&token).cloned()
    }

    pub fn apply(&mut self, at: usize, what: &str, base: u64, text: &str) -> Answer {
        let token = self.begin_apply(at, what, base, text);
        self.answer(token, 12.0)
    }

    pub fn begin_apply(&mut self, at: usize, what: &str, base: u64, text: &str) -> u64 {
        let (what, author) = (Name::new(what), Name::from(format!("operator-{at}")));
        self.request(at, Request::Apply { what, base, author, text: text.to_owned() })
    }

    pub fn survey(&mut self, at: usize, what: &str) -> Vec<serde_json::Value> {
        let token = self.request(at, Request::Survey { what: Name::new(what) });
        let answer = self.answer(token, 5.0);
        answer.body["rows"].as_array().cloned().unwrap_or_default()
    }

    pub fn is_ready(&mut self, at: usize) -> bool {
        let token = self.request(at, Request::Ready);
        self.answer(token, 1.0).status == 200
    }

    /// The member that owns the partition of the trim supplier's request.
    pub fn home_of(&mut self, id: &str) -> usize {
        let partition = key(id).partition(settings::daemon::DEFAULT_PARTITIONS);
        self.owner(&format!("own/partition/{partition:04}"))
    }

    /// The member that owns a scope, as the table's row says.
    pub fn owner(&mut self, row_key: &str) -> usize {
        let query = border::table::Query { keys: vec![Name::new(row_key)], prefixes: Vec::new() };
        let rows = self.world.borrow_mut().table.read(&query);
        let owner: serde_json::Value = serde_json::from_str(&rows[0].value).expect("a row");
        let name = owner["member"].as_str().expect("an owner").to_owned();
        let world = self.world.borrow();
        world.names.iter().position(|one| **one == *name).expect("a member")
    }

    /// The rack's owner and the worker of the one task of a running request.
    pub fn place_of(&mut self, at: usize, id: &str) -> (usize, Name) {
        let token = self.status(at, id, 0);
        let worker = self.answer(token, 5.0).body["worker"].as_str().unwrap_or_default().to_owned();
        let inventory = Inventory::parse(&file("es-north", "inventory.jsonc")).expect("fine");
        let rack = inventory.rack_of(&worker).expect("a rack").clone();
        (self.owner(&format!("own/rack/{rack}")), Name::from(worker))
    }

    pub fn counts(&self) -> standin::workers::Counts {
        let mut world = self.world.borrow_mut();
        let now = world.now;
        world.workers.advance(now);
        world.workers.counts.clone()
    }

    pub fn ran(&self, id: &str) -> bool {
        let world = self.world.borrow();
        let name = key(id).to_string();
        world.workers.ran().contains(&name) || world.executors.ran().contains(&name)
    }

    /// Panics where any promise that the workers can see is broken.
    pub fn check_promises(&self) {
        let counts = self.counts();
        assert_eq!(counts.doubled, 0, "a study ran in two places: {counts:?}");
        assert_eq!(counts.rerun_once, 0, "work that is not repeatable ran twice: {counts:?}");
        assert_eq!(counts.over_capacity, 0, "a worker was overfilled: {counts:?}");
        let world = self.world.borrow();
        let quick = &world.executors.counts;
        assert_eq!(quick.rerun_once, 0, "quick work that is not repeatable ran twice: {quick:?}");
        assert_eq!(quick.over_slots, 0, "an executor was overfilled: {quick:?}");
        assert_eq!(world.answered_twice, 0, "a caller was answered twice");
    }
}

pub fn key(id: &str) -> Key {
    Key { customer: Name::new("trim-supplier"), id: Name::new(id) }
}

pub fn example(name: &str) -> String {
    file("es-north", name)
}

fn config(index: usize) -> settings::Daemon {
    let text = file("es-north", "daemon.jsonc");
    let mut config = settings::Daemon::parse(&text).expect("the settings are fine");
    config.member = Name::from(format!("m{index}"));
    config.peer_address.set_port(7000 + index as u16);
    config.http_address.set_port(8000 + index as u16);
    config
}

/// Logs to stderr where `BRONZERAIL_TEST_LOG` is set, and nowhere otherwise.
fn logger(index: usize) -> Logger {
    if std::env::var_os("BRONZERAIL_TEST_LOG").is_some() {
        let format = bronzeraild::logger::Format::Text;
        return bronzeraild::logger::start(format, slog::Level::Debug, &format!("m{index}"));
    }
    Logger::root(slog::Discard, o!())
}

impl World {
    /// Lets something happen at a time; to a daemon, only while it runs.
    fn at(&mut self, at: Instant, to: Option<usize>, happening: impl FnOnce(&Shared) + 'static) {
        self.sequence += 1;
        let key = (at, self.sequence);
        let life = to.map(|index| self.lives[index]);
        let guarded = move |world: &Shared| {
            let is_same = to.is_none_or(|index| Some(world.borrow().lives[index]) == life);
            if is_same {
                happening(world);
            }
        };
        self.queue.insert(key, (to, Box::new(guarded)));
    }

    fn after(
        &mut self,
        delay: Duration,
        to: Option<usize>,
        happening: impl FnOnce(&Shared) + 'static,
    ) {
        let at = self.now + delay;
        self.at(at, to, happening);
    }

    fn chance(&mut self, share: f64) -> bool {
        share > 0.0 && self.random.random_bool(share)
    }

    fn input(&mut self, to: usize, delay: Duration, input: Input) {
        self.after(delay, Some(to), move |world| {
            let send = world.borrow().inputs[to].clone();
            if let Some(send) = send {
                send(input);
            }
        });
    }

    fn link_down(&mut self, link: (usize, usize)) {
        if self.up.remove(&link) {
            let (one, other) = link;
            let names = (self.names[one].clone(), self.names[other].clone());
            self.input(one, STEP, Input::Down(names.1));
            self.input(other, STEP, Input::Down(names.0));
        }
    }

    fn links_down(&mut self, index: usize) {
        let is_its = |link: &&(usize, usize)| link.0 == index || link.1 == index;
        let gone: Vec<_> = self.up.iter().filter(is_its).copied().collect();
        for link in gone {
            self.link_down(link);
        }
    }

    fn links_up(&mut self, index: usize) {
        for other in (0..self.names.len()).filter(|other| *other != index) {
            self.link_up(pair(index, other));
        }
    }

    fn link_up(&mut self, link: (usize, usize)) {
        let (one, other) = link;
        let are_alive =
            [one, other].iter().all(|end| self.lives[*end] > 0 && !self.paused.contains(end));
        if are_alive && !self.faults.cuts.contains(&link) && self.up.insert(link) {
            let names = (self.names[one].clone(), self.names[other].clone());
            self.input(one, STEP, Input::Up(names.1));
            self.input(other, STEP, Input::Up(names.0));
        }
    }
}
