//! Starts a cell of real processes on loopback: a stand-in and daemons.
//!
//! Dropping a cell kills its processes and removes its folder, which stays if the environment
//! variable `BRONZERAIL_KEEP` is set.

use std::fs;
use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};
use serde_json::Value;

use crate::caller::Caller;

/// Timeout for a process or the whole cell to become ready.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// Timeout for the graceful shutdown of a daemon; it is killed afterwards.
const STOP_TIMEOUT: Duration = Duration::from_secs(40);

/// Number of cells that this process has started; makes each folder's name unique.
static CELLS_STARTED: AtomicU64 = AtomicU64::new(0);

/// Loopback address whose port the system chooses.
const ANY_PORT_ADDRESS: &str = "127.0.0.1:0";

/// A daemon of the cell, running or stopped.
#[derive(Debug)]
pub struct Daemon {
    /// Member name in the cell.
    pub name: String,
    /// Base URL for callers; empty until the first start.
    pub url: String,
    /// `None` while the daemon does not run.
    child: Option<Child>,
    settings: PathBuf,
}

/// A stand-in and daemons that run as processes.
#[derive(Debug)]
pub struct TestCell {
    folder: PathBuf,
    binaries: PathBuf,
    standin: Child,
    /// Base URL of the stand-in.
    pub platform_url: String,
    /// Daemons in the order of their member names.
    pub daemons: Vec<Daemon>,
}

/// Result whose error is anything that prevents a measurement.
pub type Result<T> = std::result::Result<T, Box<dyn std::error::Error>>;

impl TestCell {
    /// Starts a cell of `size` daemons with the settings in an example's folder.
    ///
    /// # Errors
    ///
    /// If a process does not start or does not become ready in time.
    pub fn start(binaries: &Path, example: &Path, size: usize) -> Result<Self> {
        let number = CELLS_STARTED.fetch_add(1, Ordering::Relaxed);
        let name = format!("bronzerail-{}-{number}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        fs::create_dir_all(&folder)?;
        let mut standin = Command::new(binaries.join("standin"))
            .arg(example.join("inventory.jsonc"))
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()?;
        let mut line = String::new();
        let stdout = standin.stdout.take().ok_or("the stand-in has no output")?;
        BufReader::new(stdout).read_line(&mut line)?;
        let address = line
            .trim()
            .strip_prefix("listening on ")
            .ok_or("the stand-in did not print its address")?;
        let platform_url = format!("http://{address}");
        let binaries = binaries.to_owned();
        let mut bench = Self { folder, binaries, standin, platform_url, daemons: Vec::new() };
        let template = fs::read_to_string(example.join("daemon.jsonc"))?;
        for index in 0..size {
            bench.add_daemon(&template, index)?;
        }
        bench.wait_for_peers()?;
        Ok(bench)
    }

    fn add_daemon(&mut self, template: &str, index: usize) -> Result<()> {
        let config = settings::Daemon::parse(template)?;
        let name = format!("{}-{}", config.cell, index + 1);
        let settings = self.folder.join(format!("{name}.jsonc"));
        fs::write(&settings, daemon_settings(&config, &name, &self.platform_url))?;
        let daemon = Daemon { name, url: String::new(), child: None, settings };
        self.daemons.push(daemon);
        self.start_daemon(index)
    }

    /// Starts a stopped daemon and waits for its addresses in the log.
    ///
    /// # Errors
    ///
    /// If the log does not contain the addresses in time.
    pub fn start_daemon(&mut self, index: usize) -> Result<()> {
        let log = self.log_path(index);
        let daemon = &mut self.daemons[index];
        let child = Command::new(self.binaries.join("bronzeraild"))
            .arg(&daemon.settings)
            .stderr(fs::File::create(&log)?)
            .spawn()?;
        daemon.child = Some(child);
        let end = Instant::now() + START_TIMEOUT;
        while Instant::now() < end {
            if let Some((http, peers)) = parse_addresses(&fs::read_to_string(&log)?) {
                daemon.url = format!("http://{http}");
                // The next start uses the same addresses, as on a VM.
                let text = fs::read_to_string(&daemon.settings)?;
                let text = text.replace(
                    &json_field("http_address", ANY_PORT_ADDRESS),
                    &json_field("http_address", &http),
                );
                let text = text.replace(
                    &json_field("peer_address", ANY_PORT_ADDRESS),
                    &json_field("peer_address", &peers),
                );
                fs::write(&daemon.settings, text)?;
                return Ok(());
            }
            thread::sleep(Duration::from_millis(20));
        }
        Err(format!("{} did not start in time; see {}", daemon.name, log.display()).into())
    }

    /// Path of a daemon's log file.
    pub fn log_path(&self, index: usize) -> PathBuf {
        self.folder.join(format!("{}.log", self.daemons[index].name))
    }

    /// Waits until each member is listed and none is missing.
    fn wait_for_peers(&self) -> Result<()> {
        let size = self.daemons.len();
        let is_complete = || {
            let members = self.caller(0).get("/v1/members")?;
            let rows = members["rows"].as_array().map_or(0, Vec::len);
            Ok(rows == size && members["members_missing"] == 0)
        };
        Self::wait_until("all members to be connected", is_complete)
    }

    /// Waits until all partitions are owned and at least 50 workers are open.
    ///
    /// # Errors
    ///
    /// If the timeout passes first.
    pub fn wait_for_service(&self) -> Result<()> {
        Self::wait_until("all partitions and racks to be owned", || {
            let workers = self.live_caller().get("/v1/workers")?;
            let rows = workers["rows"].as_array().cloned().unwrap_or_default();
            let open = rows.iter().filter(|row| row["standing"] == "open").count();
            let members = self.live_caller().get("/v1/members")?;
            let rows = members["rows"].as_array().cloned().unwrap_or_default();
            let held: u64 = rows.iter().filter_map(|row| row["partitions"].as_u64()).sum();
            Ok(open >= 50 && held >= u64::from(settings::daemon::DEFAULT_PARTITIONS))
        })
    }

    fn wait_until(what: &str, is_done: impl Fn() -> Result<bool>) -> Result<()> {
        let end = Instant::now() + START_TIMEOUT;
        while Instant::now() < end {
            if is_done().unwrap_or(false) {
                return Ok(());
            }
            thread::sleep(Duration::from_millis(100));
        }
        Err(format!("timed out waiting for {what}").into())
    }

    /// Creates an HTTP client for one daemon.
    pub fn caller(&self, index: usize) -> Caller {
        Caller::new(&self.daemons[index].url)
    }

    /// Creates an HTTP client for the first running daemon.
    pub fn live_caller(&self) -> Caller {
        let alive = self.daemons.iter().position(|daemon| daemon.child.is_some());
        self.caller(alive.unwrap_or(0))
    }

    /// Creates an HTTP client for the stand-in.
    pub fn platform(&self) -> Caller {
        Caller::new(&self.platform_url)
    }

    /// Posts a change of behaviour to the stand-in's `/control`.
    ///
    /// # Errors
    ///
    /// If the stand-in does not answer.
    pub fn control_standin(&self, control: &Value) -> Result<()> {
        self.platform().post("/control", &control.to_string()).map(drop)
    }

    /// Process id of a daemon; `None` if it does not run.
    pub fn pid(&self, index: usize) -> Option<u32> {
        self.daemons[index].child.as_ref().map(Child::id)
    }

    /// Sends a signal to a daemon; no effect if it does not run.
    pub fn signal(&self, index: usize, signal: Signal) {
        let pid = self.pid(index).and_then(|pid| i32::try_from(pid).ok());
        if let Some(pid) = pid.and_then(Pid::from_raw) {
            // The process may have ended already.
            let _ = kill_process(pid, signal);
        }
    }

    /// Kills a daemon and waits for its end.
    pub fn kill(&mut self, index: usize) {
        if let Some(mut child) = self.daemons[index].child.take() {
            kill_and_wait(&mut child);
        }
    }

    /// Stops a daemon gracefully; returns its exit code, `None` if it had to be killed.
    pub fn stop(&mut self, index: usize) -> Option<i32> {
        self.signal(index, Signal::TERM);
        let mut child = self.daemons[index].child.take()?;
        let limit = Instant::now() + STOP_TIMEOUT;
        while Instant::now() < limit {
            if let Ok(Some(status)) = child.try_wait() {
                return status.code();
            }
            thread::sleep(Duration::from_millis(20));
        }
        kill_and_wait(&mut child);
        None
    }
}

impl Drop for TestCell {
    fn drop(&mut self) {
        for daemon in &mut self.daemons {
            if let Some(mut child) = daemon.child.take() {
                kill_and_wait(&mut child);
            }
        }
        kill_and_wait(&mut self.standin);
        if std::env::var_os("BRONZERAIL_KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

/// Kills a process and waits for its end.
fn kill_and_wait(child: &mut Child) {
    // The process may have ended already.
    let _ = child.kill();
    let _ = child.wait();
}

/// Addresses for callers and peers from the start event (1001) in a log.
fn parse_addresses(log: &str) -> Option<(String, String)> {
    let started = log.lines().find(|line| line.contains("\"event\":1001"))?;
    let line: Value = serde_json::from_str(started).ok()?;
    let mut words = line["detail"].as_str()?.split(' ');
    Some((words.nth(1)?.to_owned(), words.nth(1)?.to_owned()))
}

fn json_field(key: &str, value: &str) -> String {
    format!("\"{key}\":\"{value}\"")
}

fn daemon_settings(config: &settings::Daemon, name: &str, platform_url: &str) -> String {
    let part = |part: &str| format!("{platform_url}/{part}");
    serde_json::json!({
        "member": name,
        "cell": &*config.cell,
        "domain": &*config.domain,
        "peer_address": ANY_PORT_ADDRESS,
        "http_address": ANY_PORT_ADDRESS,
        "platform": {
            "table": part("table"),
            "objects": part("objects"),
            "workers": part("workers"),
            "executors": part("executors"),
            "fleet": part("fleet"),
        },
    })
    .to_string()
}
