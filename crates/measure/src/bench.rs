//! A cell of real processes on loopback: a stand-in and daemons, ended when dropped.

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

/// Longest wait for a process to be ready.
const START_WAIT: Duration = Duration::from_secs(20);

/// Longest graceful stop of a daemon.
const STOP_WAIT: Duration = Duration::from_secs(40);

/// Cells that this process has started; each has a folder of its own.
static STARTED: AtomicU64 = AtomicU64::new(0);

/// An address whose port the system chooses.
const FREE: &str = "127.0.0.1:0";

/// One daemon.
#[derive(Debug)]
pub struct Daemon {
    /// Its member name.
    pub name: String,
    /// Base URL for callers.
    pub url: String,
    child: Option<Child>,
    settings: PathBuf,
}

/// A cell of processes.
#[derive(Debug)]
pub struct Bench {
    folder: PathBuf,
    binaries: PathBuf,
    standin: Child,
    /// Base URL of the stand-in.
    pub platform: String,
    /// The daemons.
    pub daemons: Vec<Daemon>,
}

/// Anything that stands in the way of a measure.
pub type Result<T> = std::result::Result<T, Box<dyn std::error::Error>>;

impl Bench {
    /// Starts a cell of so many daemons from an example's folder.
    ///
    /// # Errors
    ///
    /// Where a process does not start or does not become ready in time.
    pub fn start(binaries: &Path, example: &Path, size: usize) -> Result<Self> {
        let number = STARTED.fetch_add(1, Ordering::Relaxed);
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
        let address = line.trim().strip_prefix("listening on ").ok_or("the stand-in is silent")?;
        let platform = format!("http://{address}");
        let binaries = binaries.to_owned();
        let mut bench = Self { folder, binaries, standin, platform, daemons: Vec::new() };
        let template = fs::read_to_string(example.join("daemon.jsonc"))?;
        for index in 0..size {
            bench.add(&template, index)?;
        }
        bench.wait_for_peers()?;
        Ok(bench)
    }

    fn add(&mut self, template: &str, index: usize) -> Result<()> {
        let config = settings::Daemon::parse(template)?;
        let name = format!("{}-{}", config.cell, index + 1);
        let settings = self.folder.join(format!("{name}.jsonc"));
        fs::write(&settings, daemon_settings(&config, &name, &self.platform))?;
        let daemon = Daemon { name, url: String::new(), child: None, settings };
        self.daemons.push(daemon);
        self.boot(index)
    }

    /// Starts a daemon that does not run.
    ///
    /// # Errors
    ///
    /// Where it does not say its address in time.
    pub fn boot(&mut self, index: usize) -> Result<()> {
        let log = self.log(index);
        let daemon = &mut self.daemons[index];
        let child = Command::new(self.binaries.join("bronzeraild"))
            .arg(&daemon.settings)
            .stderr(fs::File::create(&log)?)
            .spawn()?;
        daemon.child = Some(child);
        let end = Instant::now() + START_WAIT;
        while Instant::now() < end {
            if let Some((http, peers)) = addresses_in(&fs::read_to_string(&log)?) {
                daemon.url = format!("http://{http}");
                // The next start takes the same addresses, as on a VM.
                let text = fs::read_to_string(&daemon.settings)?;
                let text =
                    text.replace(&quoted("http_address", FREE), &quoted("http_address", &http));
                let text =
                    text.replace(&quoted("peer_address", FREE), &quoted("peer_address", &peers));
                fs::write(&daemon.settings, text)?;
                return Ok(());
            }
            thread::sleep(Duration::from_millis(20));
        }
        Err(format!("{} does not start; see {}", daemon.name, log.display()).into())
    }

    /// Where a daemon's log is.
    pub fn log(&self, index: usize) -> PathBuf {
        self.folder.join(format!("{}.log", self.daemons[index].name))
    }

    fn wait_for_peers(&self) -> Result<()> {
        let size = self.daemons.len();
        let is_complete = || {
            let members = self.caller(0).get("/v1/members")?;
            let rows = members["rows"].as_array().map_or(0, Vec::len);
            Ok(rows == size && members["members_missing"] == 0)
        };
        Self::wait_until("the members to meet", is_complete)
    }

    /// Waits until every partition and rack is in service.
    ///
    /// # Errors
    ///
    /// Where that takes too long.
    pub fn wait_for_service(&self) -> Result<()> {
        Self::wait_until("all scopes to be owned", || {
            let workers = self.caller_alive().get("/v1/workers")?;
            let rows = workers["rows"].as_array().cloned().unwrap_or_default();
            let open = rows.iter().filter(|row| row["standing"] == "open").count();
            let members = self.caller_alive().get("/v1/members")?;
            let rows = members["rows"].as_array().cloned().unwrap_or_default();
            let held: u64 = rows.iter().filter_map(|row| row["partitions"].as_u64()).sum();
            Ok(open >= 50 && held >= u64::from(settings::daemon::DEFAULT_PARTITIONS))
        })
    }

    fn wait_until(what: &str, is_done: impl Fn() -> Result<bool>) -> Result<()> {
        let end = Instant::now() + START_WAIT;
        while Instant::now() < end {
            if is_done().unwrap_or(false) {
                return Ok(());
            }
            thread::sleep(Duration::from_millis(100));
        }
        Err(format!("waited too long for {what}").into())
    }

    /// Calls to one daemon.
    pub fn caller(&self, index: usize) -> Caller {
        Caller::new(&self.daemons[index].url)
    }

    /// Calls to the first daemon that runs.
    pub fn caller_alive(&self) -> Caller {
        let alive = self.daemons.iter().position(|daemon| daemon.child.is_some());
        self.caller(alive.unwrap_or(0))
    }

    /// Calls to the stand-in.
    pub fn platform(&self) -> Caller {
        Caller::new(&self.platform)
    }

    /// Changes how the stand-in behaves.
    ///
    /// # Errors
    ///
    /// Where the stand-in does not answer.
    pub fn control(&self, control: &Value) -> Result<()> {
        self.platform().post("/control", &control.to_string()).map(drop)
    }

    /// The process id of a daemon that runs.
    pub fn pid(&self, index: usize) -> Option<u32> {
        self.daemons[index].child.as_ref().map(Child::id)
    }

    /// Sends a signal to a daemon.
    pub fn signal(&self, index: usize, signal: Signal) {
        let pid = self.pid(index).and_then(|pid| i32::try_from(pid).ok());
        if let Some(pid) = pid.and_then(Pid::from_raw) {
            // A process that has ended already is no error.
            let _ = kill_process(pid, signal);
        }
    }

    /// Ends a daemon at once.
    pub fn kill(&mut self, index: usize) {
        if let Some(mut child) = self.daemons[index].child.take() {
            end(&mut child);
        }
    }

    /// Stops a daemon gracefully; gives its exit code, none where it had to be ended.
    pub fn stop(&mut self, index: usize) -> Option<i32> {
        self.signal(index, Signal::TERM);
        let mut child = self.daemons[index].child.take()?;
        let limit = Instant::now() + STOP_WAIT;
        while Instant::now() < limit {
            if let Ok(Some(status)) = child.try_wait() {
                return status.code();
            }
            thread::sleep(Duration::from_millis(20));
        }
        end(&mut child);
        None
    }
}

impl Drop for Bench {
    fn drop(&mut self) {
        for daemon in &mut self.daemons {
            if let Some(mut child) = daemon.child.take() {
                end(&mut child);
            }
        }
        end(&mut self.standin);
        if std::env::var_os("BRONZERAIL_KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

fn end(child: &mut Child) {
    // A process that has ended already is no error.
    let _ = child.kill();
    let _ = child.wait();
}

/// The addresses for callers and peers that a log's first line names.
fn addresses_in(log: &str) -> Option<(String, String)> {
    let started = log.lines().find(|line| line.contains("\"event\":1001"))?;
    let line: Value = serde_json::from_str(started).ok()?;
    let mut words = line["detail"].as_str()?.split(' ');
    Some((words.nth(1)?.to_owned(), words.nth(1)?.to_owned()))
}

fn quoted(key: &str, value: &str) -> String {
    format!("\"{key}\":\"{value}\"")
}

fn daemon_settings(config: &settings::Daemon, name: &str, platform: &str) -> String {
    let part = |part: &str| format!("{platform}/{part}");
    serde_json::json!({
        "member": name,
        "cell": &*config.cell,
        "domain": &*config.domain,
        "peer_address": FREE,
        "http_address": FREE,
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
