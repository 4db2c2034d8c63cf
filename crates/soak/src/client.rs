//! Clients that submit, query and cancel jobs at any daemon, and tell the checker what they saw.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::Value;
use standin::platform::event::now_us;
use standin::platform::job::{HOST, Job, PREFIX, Step};

use crate::cell::lock;
use crate::check::{Checker, State};

/// How long a client waits for a response.
const TIMEOUT: Duration = Duration::from_secs(3);

/// Most jobs that a client has open at a time.
const MAX_OPEN_JOBS: usize = 6;

/// Longest pause between two requests of a client, in ms.
const MAX_PAUSE_MS: u64 = 250;

/// Share of the queries that cancel the job instead.
const CANCEL_SHARE: f64 = 0.004;

/// Run time of tasks, in ms.
const RUN_MS: std::ops::Range<u64> = 200..12_000;

/// Run time of tasks in runs of long tasks, in ms; some outlast a cut and the next lease.
const LONG_RUN_MS: std::ops::Range<u64> = 5_000..25_000;

/// Most tasks of a job.
const MAX_TASKS: u32 = 6;

/// A connection to a daemon that stays open until it fails.
#[derive(Debug)]
pub struct Connection {
    address: SocketAddr,
    stream: Option<BufReader<TcpStream>>,
}

impl Connection {
    /// A connection to an address, opened when it is first used.
    pub fn new(address: SocketAddr) -> Self {
        Self { address, stream: None }
    }

    /// Sends a request with a key; `None` without a complete response in time.
    pub fn call(
        &mut self,
        method: &str,
        path: &str,
        key: &str,
        body: &str,
    ) -> Option<(u16, Value)> {
        let mut stream = match self.stream.take() {
            Some(stream) => stream,
            None => self.connect().ok()?,
        };
        let reply = exchange(&mut stream, method, path, key, body).ok()?;
        self.stream = Some(stream);
        Some(reply)
    }

    fn connect(&self) -> std::io::Result<BufReader<TcpStream>> {
        let stream = TcpStream::connect_timeout(&self.address, TIMEOUT)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(TIMEOUT))?;
        stream.set_write_timeout(Some(TIMEOUT))?;
        Ok(BufReader::new(stream))
    }
}

/// Writes a request and reads its response.
fn exchange(
    stream: &mut BufReader<TcpStream>,
    method: &str,
    path: &str,
    key: &str,
    body: &str,
) -> std::io::Result<(u16, Value)> {
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nAuthorization: Bearer {key}\r\n\
         Content-Type: application/json\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    stream.get_mut().write_all((head + body).as_bytes())?;
    let mut line = String::new();
    stream.read_line(&mut line)?;
    let status = line.split(' ').nth(1).and_then(|status| status.parse().ok());
    let status = status.ok_or(std::io::ErrorKind::InvalidData)?;
    let mut length = 0;
    loop {
        line.clear();
        if stream.read_line(&mut line)? == 0 {
            return Err(std::io::ErrorKind::UnexpectedEof.into());
        }
        match line.trim_end().split_once(':') {
            Some((name, value)) if name.eq_ignore_ascii_case("content-length") => {
                length = value.trim().parse().map_err(std::io::Error::other)?;
            }
            Some(_) => {}
            None => break,
        }
    }
    let mut body = vec![0; length];
    stream.read_exact(&mut body)?;
    Ok((status, serde_json::from_slice(&body).unwrap_or(Value::Null)))
}

/// Progress that all clients of a run share.
#[derive(Debug, Default)]
pub struct Progress {
    /// Whether clients submit no further jobs.
    pub is_draining: AtomicBool,
    /// Whether clients stop at once.
    pub is_ended: AtomicBool,
    /// Accepted jobs.
    pub accepted: AtomicU64,
    /// Jobs that ended.
    pub ended: AtomicU64,
    /// Answers that an accepted job is not known.
    pub unknown: AtomicU64,
    /// Submissions, queries and cancellations without an answer.
    pub unanswered: AtomicU64,
}

impl Progress {
    fn count(counter: &AtomicU64) {
        counter.fetch_add(1, Ordering::Relaxed);
    }
}

/// A submitted job and what is known of it.
#[derive(Debug)]
struct Open {
    body: String,
    is_accepted: bool,
    /// Whether an attempt to submit it went unanswered.
    is_unsure: bool,
}

/// A client with connections to all daemons.
#[derive(Debug)]
pub struct Client {
    connections: Vec<Connection>,
    key: &'static str,
    random: StdRng,
    has_long_tasks: bool,
    open: BTreeMap<String, Open>,
    progress: Arc<Progress>,
    checker: Arc<Mutex<Checker>>,
}

impl Client {
    /// Creates a client of daemons at addresses, with the key of its workspace.
    pub fn new(
        addresses: &[SocketAddr],
        key: &'static str,
        seed: u64,
        has_long_tasks: bool,
        progress: Arc<Progress>,
        checker: Arc<Mutex<Checker>>,
    ) -> Self {
        Self {
            connections: addresses.iter().copied().map(Connection::new).collect(),
            key,
            random: StdRng::seed_from_u64(seed),
            has_long_tasks,
            open: BTreeMap::new(),
            progress,
            checker,
        }
    }

    /// Submits and queries jobs until the run drains and all of them have ended.
    pub fn run(mut self) {
        while !self.progress.is_ended.load(Ordering::SeqCst) {
            let is_draining = self.progress.is_draining.load(Ordering::SeqCst);
            if is_draining && self.open.is_empty() {
                return;
            }
            if !is_draining && self.open.len() < MAX_OPEN_JOBS {
                self.add_job();
            }
            let index = self.random.random_range(0..self.open.len().max(1));
            if let Some(id) = self.open.keys().nth(index).cloned() {
                self.advance(&id);
            }
            let pause = self.random.random_range(0..MAX_PAUSE_MS);
            std::thread::sleep(Duration::from_millis(pause));
        }
    }

    /// Draws a job and sends it.
    fn add_job(&mut self) {
        let id = format!("{:016x}", self.random.random::<u64>());
        let body = draw_job(&mut self.random, self.has_long_tasks).body().to_string();
        lock(&self.checker).submitted(&id);
        self.open.insert(id.clone(), Open { body, is_accepted: false, is_unsure: false });
        self.advance(&id);
    }

    /// Sends the next request for a job: the job itself until it is accepted, then a query.
    fn advance(&mut self, id: &str) {
        let Some(open) = self.open.get(id) else { return };
        if !open.is_accepted {
            self.submit(id, open.body.clone());
        } else if self.random.random_bool(CANCEL_SHARE) {
            self.cancel(id);
        } else {
            self.query(id);
        }
    }

    /// Sends a request for a job to any daemon.
    fn call(&mut self, method: &str, id: &str, body: &str) -> Option<(u16, Value)> {
        let daemon = self.random.random_range(0..self.connections.len());
        let path = format!("{PREFIX}{id}");
        let reply = self.connections[daemon].call(method, &path, self.key, body);
        match &reply {
            None => Progress::count(&self.progress.unanswered),
            Some((status @ (401 | 409), _)) => {
                let text = format!("{method} of job {id} with a valid key was answered {status}");
                lock(&self.checker).key_violation(id, now_us(), text);
            }
            Some(_) => {}
        }
        reply
    }

    fn submit(&mut self, id: &str, body: String) {
        let reply = self.call("POST", id, &body);
        let Some(open) = self.open.get_mut(id) else { return };
        match reply {
            Some((200..=299, _)) => {
                open.is_accepted = true;
                lock(&self.checker).accepted(id);
                Progress::count(&self.progress.accepted);
            }
            // An earlier attempt without an answer may still have stored the job.
            Some((429 | 503 | 404, _)) if !open.is_unsure => {
                lock(&self.checker).refused(id);
                self.open.remove(id);
            }
            _ => open.is_unsure = true,
        }
    }

    fn query(&mut self, id: &str) {
        let (state, at_us) = match self.call("GET", id, "") {
            Some((200, body)) => (body["state"].as_str().and_then(State::from_name), now_us()),
            Some((410, _)) => {
                Progress::count(&self.progress.unknown);
                (Some(State::Unknown), now_us())
            }
            _ => return,
        };
        let Some(state) = state else { return };
        lock(&self.checker).state(id, state, at_us);
        if matches!(state, State::Completed | State::Failed | State::Cancelled) {
            Progress::count(&self.progress.ended);
            self.open.remove(id);
        }
    }

    fn cancel(&mut self, id: &str) {
        lock(&self.checker).cancel_sent(id);
        if let Some((200..=299 | 410, _)) = self.call("DELETE", id, "") {
            lock(&self.checker).cancel_acked(id, now_us());
            Progress::count(&self.progress.ended);
            self.open.remove(id);
        }
    }
}

/// Draws a job of few tasks in one or two steps; some are gangs.
fn draw_job(random: &mut StdRng, has_long_tasks: bool) -> Job {
    let run_ms = random.random_range(if has_long_tasks { LONG_RUN_MS } else { RUN_MS });
    let tasks = random.random_range(1..=MAX_TASKS);
    let first = random.random_range(1..=tasks);
    let mut steps =
        vec![Step { tasks: first, after: Vec::new(), is_gang: random.random_bool(0.15) }];
    if first < tasks {
        let after = if random.random_bool(0.5) { vec![0] } else { Vec::new() };
        steps.push(Step { tasks: tasks - first, after, is_gang: false });
    }
    Job { run_ms, steps }
}
