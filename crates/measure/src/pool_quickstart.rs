//! The quickstart of a pool: real daemons on a stand-in of the users' platform.
//!
//! Jobs of every shape go through it, the leader is killed while work runs, another daemon
//! is stopped gracefully, and the logs tell one job's story.

use std::fs::File;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitCode};
use std::time::{Duration, Instant};

use argh::FromArgs;
use rustix::process::{Pid, Signal, kill_process};
use serde_json::Value;
use standin::platform::{Platform, free_ports};

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

/// Run a small pool on loopback and put jobs through it.
#[derive(Debug, FromArgs)]
struct Args {
    /// the folder with the programs
    #[argh(option)]
    bin: PathBuf,
}

type Result<T> = std::result::Result<T, Box<dyn std::error::Error>>;

/// Last part of the first daemon's loopback address.
const FIRST_HOST: u8 = 101;

const DAEMONS: u8 = 3;

const WORKERS: usize = 4;

/// Processors of a worker, in thousandths.
const WORKER_CPU: u32 = 4000;

/// Port of the operators' address.
const OPERATORS_PORT: u16 = 9464;

/// Longest wait for anything; far above what it takes.
const PATIENCE: Duration = Duration::from_mins(1);

/// Jobs at work while the leader is killed.
const JOBS_UNDER_KILL: u64 = 6;

const STEPS: &str = r#"{"queue":"plain","payload":"ms=300",
  "steps":[{"tasks":3,"cpu":1000},{"tasks":2,"cpu":1000,"after":[0]}]}"#;

const GANG: &str = r#"{"queue":"advised","payload":"advised ms=500",
  "steps":[{"tasks":4,"cpu":1000,"gang":true}]}"#;

const PAIR: &str = r#"{"queue":"plain","payload":"ms=1500","steps":[{"tasks":2,"cpu":1000}]}"#;

/// Tasks of all jobs together.
const TASKS: u64 = 5 + 4 + JOBS_UNDER_KILL * 2;

struct Daemon {
    name: String,
    operators: SocketAddr,
    log: PathBuf,
    child: Child,
}

struct Cell {
    bin: PathBuf,
    folder: PathBuf,
    platform: Platform,
    daemons: Vec<Daemon>,
}

impl Drop for Cell {
    fn drop(&mut self) {
        for daemon in &mut self.daemons {
            // It may have ended already.
            drop(daemon.child.kill());
            drop(daemon.child.wait());
        }
        // The files are of no use any more.
        drop(std::fs::remove_dir_all(&self.folder));
    }
}

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    match run(&args.bin) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => {
            eprintln!("quickstart-pool: a promise broke");
            ExitCode::FAILURE
        }
        Err(error) => {
            eprintln!("quickstart-pool: {error}");
            ExitCode::FAILURE
        }
    }
}

impl Cell {
    fn start(bin: &Path) -> Result<Self> {
        let platform = Platform::start(WORKERS, WORKER_CPU)?;
        let folder = std::env::temp_dir().join(format!("bronzerail-{}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        let mut cell = Self { bin: bin.to_owned(), folder, platform, daemons: Vec::new() };
        for host in FIRST_HOST..FIRST_HOST + DAEMONS {
            cell.launch(host)?;
        }
        cell.wait("the pool to be led", |cell| cell.ask(0, &["queues"]).is_some())?;
        Ok(cell)
    }

    fn launch(&mut self, host: u8) -> Result<()> {
        let address = Ipv4Addr::new(127, 0, 0, host);
        let name = format!("entry-{host}");
        let settings = self.folder.join(format!("{name}.toml"));
        std::fs::write(&settings, self.platform.settings(&name, host, free_ports(host)?))?;
        let log = self.folder.join(format!("{name}.log"));
        let mut daemon = Command::new(self.bin.join("bronzerail-platform"));
        daemon.arg("--settings").arg(settings).stdout(File::create(&log)?);
        let child = daemon.spawn()?;
        let operators = SocketAddr::from((address, OPERATORS_PORT));
        self.daemons.push(Daemon { name, operators, log, child });
        Ok(())
    }

    /// A command of the tool against a daemon.
    fn tool(&self, daemon: usize, words: &[&str]) -> Command {
        let mut tool = Command::new(self.bin.join("bronzerail"));
        tool.args(["--server", &format!("http://{}", self.daemons[daemon].operators)]).args(words);
        tool
    }

    /// Runs a command of the tool for the reader to see.
    fn show(&self, daemon: usize, words: &[&str]) -> Result<()> {
        let folder = self.folder.display().to_string();
        println!("$ bronzerail {}", words.join(" ").replace(&format!("{folder}/"), ""));
        let status = self.tool(daemon, words).status()?;
        if status.success() { Ok(()) } else { Err(format!("bronzerail: {status}").into()) }
    }

    /// Asks a daemon for a view of the pool; none where it does not answer.
    fn ask(&self, daemon: usize, words: &[&str]) -> Option<Value> {
        let output = self.tool(daemon, &[&["--json", "pool"], words].concat()).output().ok()?;
        output.status.success().then(|| serde_json::from_slice(&output.stdout).ok())?
    }

    fn wait(&self, what: &str, holds: impl Fn(&Self) -> bool) -> Result<()> {
        let end = Instant::now() + PATIENCE;
        while !holds(self) {
            if Instant::now() >= end {
                return Err(format!("waited in vain for {what}").into());
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        Ok(())
    }

    fn submit(&self, daemon: usize, id: u64, job: &str, more: &[&str]) -> Result<()> {
        let path = self.folder.join(format!("job-{id}.json"));
        std::fs::write(&path, job)?;
        let (id, path) = (format!("{id:016x}"), path.display().to_string());
        self.show(daemon, &[&["pool", "submit", &id, &path], more].concat())
    }

    /// Ends a daemon's process; returns whether it ended with success.
    fn end(&mut self, daemon: usize, signal: Signal) -> Result<bool> {
        let mut ended = self.daemons.remove(daemon);
        kill_process(Pid::from_child(&ended.child), signal)?;
        Ok(ended.child.wait()?.success())
    }

    fn leader(&self) -> Result<usize> {
        let members = self.ask(0, &["members"]).unwrap_or_default();
        let rows = members.as_array().into_iter().flatten();
        let leader = rows.clone().find(|row| row["role"] == "leader");
        let name = leader.and_then(|row| row["member"].as_str()).unwrap_or_default();
        let position = self.daemons.iter().position(|daemon| daemon.name == name);
        position.ok_or_else(|| "no daemon leads".into())
    }
}

fn run(bin: &Path) -> Result<bool> {
    let began = Instant::now();
    println!("starting a stand-in of the users' platform and {DAEMONS} daemons");
    let mut cell = Cell::start(bin)?;
    let logs: Vec<String> =
        cell.daemons.iter().map(|daemon| daemon.log.display().to_string()).collect();
    let logs: Vec<&str> = logs.iter().flat_map(|log| ["--logs", log.as_str()]).collect();
    cell.show(0, &["pool", "members"])?;
    cell.show(0, &["pool", "queues"])?;
    cell.submit(1, 1, STEPS, &["--wait", "30s"])?;
    cell.submit(2, 2, GANG, &["--wait", "30s"])?;

    for id in 0..JOBS_UNDER_KILL {
        cell.submit(0, 100 + id, PAIR, &[])?;
    }
    let leader = cell.leader()?;
    println!("killing {}, which leads", cell.daemons[leader].name);
    cell.end(leader, Signal::KILL)?;
    let is_done = |cell: &Cell, id: u64| {
        let shown = cell.ask(0, &["status", &format!("{:016x}", 100 + id)]);
        shown.is_some_and(|shown| shown["state"] == "completed")
    };
    cell.wait("the jobs", |cell| (0..JOBS_UNDER_KILL).all(|id| is_done(cell, id)))?;
    cell.show(0, &["pool", "workers"])?;
    println!("stopping {} gracefully", cell.daemons[1].name);
    let is_graceful = cell.end(1, Signal::TERM)?;

    cell.show(0, &[&["trace", "0000000000000064"], logs.as_slice()].concat())?;
    cell.show(0, &[&["report"], logs.as_slice()].concat())?;
    let counts = cell.platform.counts();
    println!(
        "{TASKS} tasks: {} ended with success, {} ran again after it, {} starts over a worker's \
         room, {} without a ticket; ended after {:.0} s",
        counts.done,
        counts.again,
        counts.over,
        counts.without_ticket,
        began.elapsed().as_secs_f64()
    );
    let is_clean = (counts.again, counts.over, counts.without_ticket) == (0, 0, 0);
    Ok(is_clean && is_graceful && counts.done == TASKS)
}
